/*
 * The upstream process's side of its links: sessions, heartbeats and
 * configuration versions. It replies to each heartbeat of an entry, and sends a
 * heartbeat to all entries when its state or version changes.
 */
#include "link_server.h"

#include <string.h>

/*
 * After silence_us an entry replaces its connection. If nothing is received
 * from it for this multiple of that time, its idempotent jobs are cancelled.
 */
#define CANCEL_AFTER_SILENCES 5
/* After this multiple its record is dropped, once it has no running job. */
#define EXPIRE_AFTER_SILENCES 20

/**
 * ks_link_peer_send() - send a frame to an entry on its current connection
 *
 * Return: false if it was dropped.
 */
bool ks_link_peer_send(const ks_link_peer_t *peer, const ks_frame_t *frame)
{
	ks_str_t identity;

	identity.data = g_bytes_get_data(peer->identity, &identity.len);
	return ks_frame_send(&peer->server->transport, identity, frame);
}

static void free_peer(void *data)
{
	ks_link_peer_t *peer = data;
	GList *jobs = g_hash_table_get_values(peer->jobs);

	for (GList *it = jobs; it; it = it->next)
		ks_job_free(it->data);
	g_list_free(jobs);
	g_hash_table_unref(peer->jobs);
	g_bytes_unref(peer->identity);
	g_free(peer);
}

static void send_welcome(const ks_link_peer_t *peer)
{
	const ks_link_server_t *server = peer->server;
	Ks__Link__Welcome welcome = KS__LINK__WELCOME__INIT;
	Ks__Link__Load load;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	ks_frame_load_fill(&load, &server->load);
	welcome.protocol = KS_LINK_PROTOCOL;
	welcome.incarnation = ks_frame_id(&peer->record_id);
	welcome.session = peer->session;
	welcome.upstream = (char *)server->options.upstream;
	welcome.config_version = server->version;
	welcome.state = ks_frame_state(server->state);
	welcome.load = &load;
	frame.kind_case = KS__LINK__FRAME__KIND_WELCOME;
	frame.welcome = &welcome;
	ks_link_peer_send(peer, &frame);
}

static void send_heartbeat(const ks_link_peer_t *peer)
{
	const ks_link_server_t *server = peer->server;
	Ks__Link__Heartbeat heartbeat = KS__LINK__HEARTBEAT__INIT;
	Ks__Link__Load load;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	ks_frame_load_fill(&load, &server->load);
	heartbeat.session = peer->session;
	heartbeat.config_version = server->version;
	heartbeat.state = ks_frame_state(server->state);
	heartbeat.load = &load;
	frame.kind_case = KS__LINK__FRAME__KIND_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	ks_link_peer_send(peer, &frame);
}

static int64_t silence_duration(const ks_link_peer_t *peer)
{
	return ks_loop_now(peer->server->loop) - peer->last_received_us;
}

static bool is_live(const ks_link_peer_t *peer)
{
	return silence_duration(peer) <
	       CANCEL_AFTER_SILENCES * peer->server->options.silence_us;
}

static void heartbeat_live_peers(ks_link_server_t *server)
{
	GHashTableIter it;
	void *peer;

	g_hash_table_iter_init(&it, server->peers_by_entry);
	while (g_hash_table_iter_next(&it, NULL, &peer))
		if (is_live(peer))
			send_heartbeat(peer);
}

static void fetch_config(ks_link_peer_t *peer, uint64_t version)
{
	Ks__Link__ConfigFetch fetch = KS__LINK__CONFIG_FETCH__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	if (version <= peer->server->version)
		return;
	fetch.have = peer->server->version;
	frame.kind_case = KS__LINK__FRAME__KIND_CONFIG_FETCH;
	frame.config_fetch = &fetch;
	ks_link_peer_send(peer, &frame);
}

static ks_link_peer_t *add_peer(ks_link_server_t *server, const ks_id_t *entry)
{
	ks_link_peer_t *peer = g_new0(ks_link_peer_t, 1);

	peer->server = server;
	peer->entry = *entry;
	ks_id_generate(&peer->record_id);
	peer->identity = g_bytes_new(NULL, 0);
	peer->jobs =
		g_hash_table_new(ks_attempt_key_hash, ks_attempt_key_equal);
	g_hash_table_insert(server->peers_by_entry, &peer->entry, peer);
	return peer;
}

static void set_identity(ks_link_peer_t *peer, ks_str_t identity)
{
	GHashTable *table = peer->server->peers_by_identity;

	g_hash_table_remove(table, peer->identity);
	g_bytes_unref(peer->identity);
	peer->identity = g_bytes_new(identity.data, identity.len);
	g_hash_table_replace(table, peer->identity, peer);
}

/* A Hello with an older session is from a connection that was replaced. */
static void on_hello(ks_link_server_t *server, ks_str_t identity,
		     const Ks__Link__Hello *hello)
{
	ks_link_peer_t *peer;
	ks_id_t entry;

	if (hello->protocol != KS_LINK_PROTOCOL ||
	    !ks_id_from_bytes(&entry, hello->incarnation.data,
			      hello->incarnation.len))
		return;
	peer = g_hash_table_lookup(server->peers_by_entry, &entry);
	if (peer && hello->session <= peer->session)
		return;
	if (!peer)
		peer = add_peer(server, &entry);
	peer->session = hello->session;
	peer->last_received_us = ks_loop_now(server->loop);
	set_identity(peer, identity);
	send_welcome(peer);
	fetch_config(peer, hello->config_version);
}

static void send_config(const ks_link_peer_t *peer)
{
	const ks_link_server_t *server = peer->server;
	Ks__Link__Config config = KS__LINK__CONFIG__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	ks_str_t digest = { NULL, 0 };
	ks_str_t body = server->events->config_body(server->ctx,
						    &config.version, &digest);

	if (!body.len)
		return;
	config.digest = ks_frame_bytes(digest);
	config.body = ks_frame_bytes(body);
	frame.kind_case = KS__LINK__FRAME__KIND_CONFIG;
	frame.config = &config;
	ks_link_peer_send(peer, &frame);
}

static void on_frame(ks_link_peer_t *peer, const ks_frame_t *frame)
{
	ks_link_server_t *server = peer->server;

	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_HEARTBEAT:
		if (frame->heartbeat->session == peer->session) {
			ks_job_drop_unresumed(peer);
			send_heartbeat(peer);
		}
		fetch_config(peer, frame->heartbeat->config_version);
		if (frame->heartbeat->leaving_seen)
			server->events->leaving_seen(server->ctx);
		break;
	case KS__LINK__FRAME__KIND_CONFIG_FETCH:
		send_config(peer);
		break;
	case KS__LINK__FRAME__KIND_CONFIG:
		server->events->config(server->ctx, frame->config->version,
				       ks_frame_str(frame->config->digest),
				       ks_frame_str(frame->config->body));
		break;
	default:
		ks_job_receive(peer, frame);
		break;
	}
}

/**
 * ks_link_server_receive() - process a message
 * @identity: ZeroMQ identity of the connection it arrived on
 */
void ks_link_server_receive(ks_link_server_t *server, ks_str_t identity,
			    ks_str_t message)
{
	ks_frame_t *frame = ks_frame_decode(message);
	ks_link_peer_t *peer;
	GBytes *key;

	if (!frame)
		return;
	if (frame->kind_case == KS__LINK__FRAME__KIND_HELLO) {
		on_hello(server, identity, frame->hello);
		ks_frame_free(frame);
		return;
	}
	key = g_bytes_new_static(identity.data, identity.len);
	peer = g_hash_table_lookup(server->peers_by_identity, key);
	g_bytes_unref(key);
	if (peer) {
		peer->last_received_us = ks_loop_now(server->loop);
		on_frame(peer, frame);
	}
	ks_frame_free(frame);
}

static bool has_running_job(const ks_link_peer_t *peer)
{
	GHashTableIter it;
	void *job;

	g_hash_table_iter_init(&it, peer->jobs);
	while (g_hash_table_iter_next(&it, NULL, &job))
		if (!((ks_job_t *)job)->ended)
			return true;
	return false;
}

static void cancel_idempotent_jobs(ks_link_peer_t *peer)
{
	GList *jobs = g_hash_table_get_values(peer->jobs);

	for (GList *it = jobs; it; it = it->next) {
		ks_job_t *job = it->data;

		if (job->idempotent)
			ks_job_notify_cancelled(job);
	}
	g_list_free(jobs);
}

static void expire_silent_peers(ks_link_server_t *server)
{
	GList *peers = g_hash_table_get_values(server->peers_by_entry);

	for (GList *it = peers; it; it = it->next) {
		ks_link_peer_t *peer = it->data;

		if (is_live(peer))
			continue;
		cancel_idempotent_jobs(peer);
		if (silence_duration(peer) <
			    EXPIRE_AFTER_SILENCES *
				    server->options.silence_us ||
		    has_running_job(peer))
			continue;
		g_hash_table_remove(server->peers_by_identity, peer->identity);
		g_hash_table_remove(server->peers_by_entry, &peer->entry);
	}
	g_list_free(peers);
}

static void on_tick(void *ctx)
{
	ks_link_server_t *server = ctx;

	ks_timer_set(&server->tick, server->options.heartbeat_us);
	expire_silent_peers(server);
}

/**
 * ks_link_server_new_with_transport() - serve links
 * @transport: listening; copied, and closed with the server
 */
ks_link_server_t *ks_link_server_new_with_transport(
	ks_loop_t *loop, const ks_transport_t *transport,
	const ks_link_server_options_t *options,
	const ks_link_server_events_t *events, void *ctx)
{
	ks_link_server_t *server = g_new0(ks_link_server_t, 1);

	server->loop = loop;
	server->transport = *transport;
	server->options = *options;
	server->options.upstream = g_strdup(options->upstream);
	server->events = events;
	server->ctx = ctx;
	server->peers_by_entry = g_hash_table_new_full(
		ks_id_hash, ks_id_hash_equal, NULL, free_peer);
	server->peers_by_identity =
		g_hash_table_new(g_bytes_hash, g_bytes_equal);
	ks_timer_init(&server->tick, loop, on_tick, server);
	ks_timer_set(&server->tick, options->heartbeat_us);
	return server;
}

/**
 * ks_link_server_free() - close all links; jobs end without events
 */
void ks_link_server_free(ks_link_server_t *server)
{
	ks_timer_clear(&server->tick);
	g_hash_table_unref(server->peers_by_identity);
	g_hash_table_unref(server->peers_by_entry);
	server->transport.close(server->transport.impl);
	g_free((char *)server->options.upstream);
	g_free(server);
}

/**
 * ks_link_server_port() - port that the server listens on
 */
uint16_t ks_link_server_port(const ks_link_server_t *server)
{
	return server->port;
}

/**
 * ks_link_server_set_state() - set the state and notify the entries at once
 */
void ks_link_server_set_state(ks_link_server_t *server,
			      ks_upstream_state_t state)
{
	if (state == server->state)
		return;
	server->state = state;
	heartbeat_live_peers(server);
}

/**
 * ks_link_server_set_load() - set the load that later frames carry
 */
void ks_link_server_set_load(ks_link_server_t *server, const ks_load_t *load)
{
	server->load = *load;
}

/**
 * ks_link_server_set_version() - set the active configuration version and
 * notify the entries at once
 */
void ks_link_server_set_version(ks_link_server_t *server, uint64_t version)
{
	if (version == server->version)
		return;
	server->version = version;
	heartbeat_live_peers(server);
}

/**
 * ks_link_server_is_idle() - whether all jobs have ended and all their frames
 * are acknowledged
 *
 * No acknowledgement is expected from an entry that has been silent for so long
 * that its idempotent jobs are cancelled.
 */
bool ks_link_server_is_idle(const ks_link_server_t *server)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, server->peers_by_entry);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const ks_link_peer_t *peer = value;

		if (is_live(peer) ? g_hash_table_size(peer->jobs) > 0
				  : has_running_job(peer))
			return false;
	}
	return true;
}
