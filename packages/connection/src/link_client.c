/*
 * The entry's side of a link: sessions, heartbeats and configuration versions.
 * A session lasts as long as one connection and begins with a Hello from the
 * entry and a Welcome from the upstream process. When frames that expect a
 * reply get none, the link opens a new connection and session and resumes the
 * attempts in flight on it.
 */
#include "link_client.h"

#include <string.h>

/* Delay before a broken connection is replaced. */
#define REOPEN_DELAY_US (100 * KS_USEC_PER_MSEC)

/*
 * Consecutive sessions without a Welcome after which attempts fail with an
 * unknown outcome. Idempotent attempts fail early, so that they can be retried
 * on another upstream. For the others only this upstream process knows the
 * outcome, so they wait until it has to be considered lost.
 */
#define MAX_FAILED_SESSIONS_IDEMPOTENT 2
#define MAX_FAILED_SESSIONS_NON_IDEMPOTENT 20

static bool expects_reply(const ks_frame_t *frame)
{
	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_HELLO:
	case KS__LINK__FRAME__KIND_HEARTBEAT:
	case KS__LINK__FRAME__KIND_REQUEST:
		return true;
	default:
		return false;
	}
}

/**
 * ks_link_client_send_frame() - send a frame on the current session
 *
 * Return: false if it was dropped.
 */
bool ks_link_client_send_frame(ks_link_client_t *link, const ks_frame_t *frame)
{
	link->last_sent_us = ks_loop_now(link->loop);
	if (expects_reply(frame) && !link->awaiting_reply_since_us)
		link->awaiting_reply_since_us = link->last_sent_us;
	return ks_frame_send(&link->transport, (ks_str_t){ NULL, 0 }, frame);
}

static void send_hello(ks_link_client_t *link)
{
	Ks__Link__Hello hello = KS__LINK__HELLO__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	hello.protocol = KS_LINK_PROTOCOL;
	hello.incarnation = ks_frame_id(&link->options.incarnation);
	hello.session = link->session;
	hello.domain = (char *)link->options.domain;
	hello.entry = (char *)link->options.entry;
	hello.config_version = link->version;
	frame.kind_case = KS__LINK__FRAME__KIND_HELLO;
	frame.hello = &hello;
	ks_link_client_send_frame(link, &frame);
}

static void send_heartbeat(ks_link_client_t *link)
{
	Ks__Link__Heartbeat heartbeat = KS__LINK__HEARTBEAT__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	heartbeat.session = link->session;
	heartbeat.config_version = link->version;
	heartbeat.leaving_seen = link->leaving_seen;
	frame.kind_case = KS__LINK__FRAME__KIND_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	ks_link_client_send_frame(link, &frame);
}

static void notify(ks_link_client_t *link)
{
	link->events->changed(link->ctx, link);
}

static void fail_attempts_without_session(ks_link_client_t *link)
{
	GList *attempts = g_hash_table_get_values(link->attempts);

	for (GList *it = attempts; it; it = it->next) {
		ks_attempt_t *attempt = it->data;
		unsigned limit = attempt->idempotent
					 ? MAX_FAILED_SESSIONS_IDEMPOTENT
					 : MAX_FAILED_SESSIONS_NON_IDEMPOTENT;

		if (link->failed_sessions >= limit)
			ks_attempt_finish(attempt, KS_ERROR_OUTCOME_UNKNOWN,
					  KS_STR("the link is down"));
	}
	g_list_free(attempts);
}

/**
 * ks_link_client_replace() - replace the connection and start a new session
 */
void ks_link_client_replace(ks_link_client_t *link)
{
	bool was_up = link->up;

	ks_timer_clear(&link->reopen);
	if (!was_up)
		link->failed_sessions++;
	link->up = false;
	link->session++;
	link->awaiting_reply_since_us = ks_loop_now(link->loop);
	if (link->transport.reopen(link->transport.impl))
		send_hello(link);
	if (was_up)
		notify(link);
	fail_attempts_without_session(link);
}

static void on_reopen(void *ctx)
{
	ks_link_client_replace(ctx);
}

/**
 * ks_link_client_disconnected() - replace the connection after a short delay
 *
 * Called when the transport's connection broke, or frames were lost on it.
 */
void ks_link_client_disconnected(ks_link_client_t *link)
{
	if (!ks_timer_is_set(&link->reopen))
		ks_timer_set(&link->reopen, REOPEN_DELAY_US);
}

static bool is_reply_overdue(const ks_link_client_t *link, int64_t now)
{
	return link->awaiting_reply_since_us &&
	       now - link->awaiting_reply_since_us >= link->options.silence_us;
}

/*
 * Response frames and their acknowledgements show that the link works, so a
 * busy link sends no heartbeats. An idle link has a period of its own.
 */
static bool is_heartbeat_due(const ks_link_client_t *link, int64_t now)
{
	int64_t period = g_hash_table_size(link->attempts) > 0
				 ? link->options.heartbeat_us
				 : link->options.idle_heartbeat_us;

	return now - MIN(link->last_received_us, link->last_sent_us) >= period;
}

static void on_tick(void *ctx)
{
	ks_link_client_t *link = ctx;
	int64_t now = ks_loop_now(link->loop);

	ks_timer_set(&link->tick, link->options.heartbeat_us);
	if (is_reply_overdue(link, now))
		ks_link_client_replace(link);
	else if (link->up && is_heartbeat_due(link, now))
		send_heartbeat(link);
}

static void update_peer_version(ks_link_client_t *link, uint64_t version)
{
	Ks__Link__ConfigFetch fetch = KS__LINK__CONFIG_FETCH__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	link->peer_version = version;
	if (version <= link->version)
		return;
	fetch.have = link->version;
	frame.kind_case = KS__LINK__FRAME__KIND_CONFIG_FETCH;
	frame.config_fetch = &fetch;
	ks_link_client_send_frame(link, &frame);
}

static void fail_attempts_of_previous_process(ks_link_client_t *link)
{
	GList *attempts = g_hash_table_get_values(link->attempts);

	for (GList *it = attempts; it; it = it->next)
		ks_attempt_finish(it->data, KS_ERROR_OUTCOME_UNKNOWN,
				  KS_STR("the upstream process was replaced"));
	g_list_free(attempts);
}

static void resume_attempts(ks_link_client_t *link)
{
	GList *attempts = g_hash_table_get_values(link->attempts);

	for (GList *it = attempts; it; it = it->next)
		ks_attempt_resume(it->data);
	g_list_free(attempts);
}

static void record_received_frame(ks_link_client_t *link)
{
	link->last_received_us = ks_loop_now(link->loop);
	link->awaiting_reply_since_us = 0;
}

static void on_welcome(ks_link_client_t *link, const Ks__Link__Welcome *welcome)
{
	ks_id_t incarnation;

	if (welcome->protocol != KS_LINK_PROTOCOL ||
	    welcome->session != link->session || link->up ||
	    !ks_id_from_bytes(&incarnation, welcome->incarnation.data,
			      welcome->incarnation.len))
		return;
	record_received_frame(link);
	link->up = true;
	link->failed_sessions = 0;
	link->state = ks_frame_state_read(welcome->state);
	ks_frame_load_read(&link->load, welcome->load);
	link->load.received_us = ks_loop_now(link->loop);
	if (ks_id_equal(&incarnation, &link->peer_incarnation)) {
		resume_attempts(link);
	} else {
		link->peer_incarnation = incarnation;
		fail_attempts_of_previous_process(link);
	}
	/*
	 * The first heartbeat of a session tells the upstream process that
	 * every attempt has been resumed.
	 */
	send_heartbeat(link);
	update_peer_version(link, welcome->config_version);
	notify(link);
}

static void on_heartbeat(ks_link_client_t *link,
			 const Ks__Link__Heartbeat *heartbeat)
{
	if (heartbeat->session != link->session)
		return;
	link->state = ks_frame_state_read(heartbeat->state);
	ks_frame_load_read(&link->load, heartbeat->load);
	link->load.received_us = ks_loop_now(link->loop);
	update_peer_version(link, heartbeat->config_version);
	notify(link);
}

static void send_config(ks_link_client_t *link)
{
	Ks__Link__Config config = KS__LINK__CONFIG__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	ks_str_t digest = { NULL, 0 };
	ks_str_t body =
		link->events->config_body(link->ctx, &config.version, &digest);

	if (!body.len)
		return;
	config.digest = ks_frame_bytes(digest);
	config.body = ks_frame_bytes(body);
	frame.kind_case = KS__LINK__FRAME__KIND_CONFIG;
	frame.config = &config;
	ks_link_client_send_frame(link, &frame);
}

static void on_frame(ks_link_client_t *link, const ks_frame_t *frame)
{
	ks_attempt_key_t key;
	ks_attempt_t *attempt;

	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_HEARTBEAT:
		on_heartbeat(link, frame->heartbeat);
		return;
	case KS__LINK__FRAME__KIND_CONFIG_FETCH:
		send_config(link);
		return;
	case KS__LINK__FRAME__KIND_CONFIG:
		link->events->config(link->ctx, frame->config->version,
				     ks_frame_str(frame->config->digest),
				     ks_frame_str(frame->config->body));
		return;
	default:
		break;
	}
	if (!ks_frame_key(frame, &key))
		return;
	/* Frames of an attempt that has ended here are ignored. */
	attempt = g_hash_table_lookup(link->attempts, &key);
	if (attempt)
		ks_attempt_receive(attempt, frame);
}

/**
 * ks_link_client_receive() - process a message from the current connection
 */
void ks_link_client_receive(ks_link_client_t *link, ks_str_t message)
{
	ks_frame_t *frame = ks_frame_decode(message);

	if (!frame)
		return;
	if (frame->kind_case == KS__LINK__FRAME__KIND_WELCOME) {
		on_welcome(link, frame->welcome);
	} else if (link->up) {
		record_received_frame(link);
		on_frame(link, frame);
	}
	ks_frame_free(frame);
}

static void copy_options(ks_link_client_options_t *to,
			 const ks_link_client_options_t *from)
{
	*to = *from;
	to->entry = g_strdup(from->entry);
	to->domain = g_strdup(from->domain);
	to->upstream = g_strdup(from->upstream);
}

/**
 * ks_link_client_new_with_transport() - open a link
 * @transport: connected; copied, and closed with the link
 */
ks_link_client_t *ks_link_client_new_with_transport(
	ks_loop_t *loop, const ks_transport_t *transport,
	const ks_link_client_options_t *options,
	const ks_link_client_events_t *events, void *ctx)
{
	ks_link_client_t *link = g_new0(ks_link_client_t, 1);

	link->loop = loop;
	link->transport = *transport;
	copy_options(&link->options, options);
	link->events = events;
	link->ctx = ctx;
	link->attempts =
		g_hash_table_new(ks_attempt_key_hash, ks_attempt_key_equal);
	link->session = 1;
	if (!options->idle_heartbeat_us)
		link->options.idle_heartbeat_us = options->heartbeat_us;
	ks_timer_init(&link->tick, loop, on_tick, link);
	ks_timer_init(&link->reopen, loop, on_reopen, link);
	ks_timer_set(&link->tick, options->heartbeat_us);
	send_hello(link);
	return link;
}

/**
 * ks_link_client_free() - close the link
 *
 * Attempts in flight end without events. The upstream process cancels the
 * idempotent ones when it has not heard from the entry for long enough; see
 * CANCEL_AFTER_SILENCES in link_server.c.
 */
void ks_link_client_free(ks_link_client_t *link)
{
	GList *attempts = g_hash_table_get_values(link->attempts);

	for (GList *it = attempts; it; it = it->next) {
		ks_attempt_t *attempt = it->data;

		ks_stream_receiver_deinit(&attempt->receiver);
		g_free(attempt);
	}
	g_list_free(attempts);
	g_hash_table_unref(link->attempts);
	ks_timer_clear(&link->tick);
	ks_timer_clear(&link->reopen);
	link->transport.close(link->transport.impl);
	g_free((char *)link->options.entry);
	g_free((char *)link->options.domain);
	g_free((char *)link->options.upstream);
	g_free(link);
}

/**
 * ks_link_client_is_up() - whether a session is established
 */
bool ks_link_client_is_up(const ks_link_client_t *link)
{
	return link->up;
}

/**
 * ks_link_client_state() - last state that the upstream process reported
 */
ks_upstream_state_t ks_link_client_state(const ks_link_client_t *link)
{
	return link->up ? link->state : KS_UPSTREAM_UNKNOWN;
}

/**
 * ks_link_client_load() - last load that the upstream process reported
 */
const ks_load_t *ks_link_client_load(const ks_link_client_t *link)
{
	return &link->load;
}

/**
 * ks_link_client_peer_version() - active configuration version of the upstream
 * process
 */
uint64_t ks_link_client_peer_version(const ks_link_client_t *link)
{
	return link->peer_version;
}

/**
 * ks_link_client_in_flight() - number of attempts that have not ended
 */
unsigned ks_link_client_in_flight(const ks_link_client_t *link)
{
	return g_hash_table_size(link->attempts);
}

/**
 * ks_link_client_set_version() - set the entry's active configuration version
 *
 * The upstream process is notified at once.
 */
void ks_link_client_set_version(ks_link_client_t *link, uint64_t version)
{
	if (version == link->version)
		return;
	link->version = version;
	if (link->up)
		send_heartbeat(link);
}

/**
 * ks_link_client_set_idle_heartbeat() - set the period of an idle link
 */
void ks_link_client_set_idle_heartbeat(ks_link_client_t *link,
				       int64_t idle_heartbeat_us)
{
	link->options.idle_heartbeat_us = idle_heartbeat_us;
}

/**
 * ks_link_client_set_leaving_seen() - set whether the host list marks the host
 * of the upstream as leaving
 *
 * The upstream process is notified at once.
 */
void ks_link_client_set_leaving_seen(ks_link_client_t *link, bool leaving)
{
	if (leaving == link->leaving_seen)
		return;
	link->leaving_seen = leaving;
	if (link->up)
		send_heartbeat(link);
}
