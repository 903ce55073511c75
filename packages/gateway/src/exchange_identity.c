/*
 * Lets streams go on only at processes that are known to have the origin that
 * began them; see identity.c. A stream has the origin of an upstream only once
 * its process is known, which may be after the stream has ended.
 */
#include "gateway_internal.h"

/* A slow store responds within some hundred milliseconds. */
#define READ_TIMEOUT_US (800 * KS_USEC_PER_MSEC)

/*
 * The process of a new connection is known after this time at the latest if the
 * store responds.
 */
#define IDENTIFY_WITHIN_US (1 * KS_USEC_PER_SEC)

/* Processes that are waited for before a request that is not sent is given up.
 */
#define MAX_IDENTITY_WAITS 3

/* Whether the connection of the call leads to the process of the member. */
static bool is_identified(const struct exchange *exchange)
{
	return gateway_is_identified(exchange->gateway, exchange->member,
				     exchange->call.conn_opened_us);
}

/*
 * Notes the process that began a stream, so that the origin is recorded when it
 * is known, also if the stream has ended by then.
 */
static void claim_stream(const struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	ks_stream_claim_t claim = {
		.stream = exchange->stream,
		.process = exchange->member->process,
		.since_us = exchange->call.conn_opened_us,
		.is_own = true,
	};

	if (exchange->origin || !exchange->has_events)
		return;
	ks_stream_origins_claim(&gateway->origins, &claim,
				exchange_now(exchange));
	ks_peers_announce_stream(&gateway->peers, exchange->stream, 0,
				 claim.process);
}

/* Notes the origin of a stream that has begun, if it is known, and tells it. */
static void record_origin(struct exchange *exchange)
{
	if (!exchange->origin && is_identified(exchange))
		exchange->origin = exchange->member->origin;
	if (exchange->origin)
		exchange_record_stream(exchange);
}

/**
 * exchange_note_beginning() - note where a stream begins, and tell other
 * entries
 */
void exchange_note_beginning(struct exchange *exchange)
{
	exchange_identify_origin(exchange);
	claim_stream(exchange);
}

/**
 * exchange_identify_origin() - have the origin of a stream that has begun noted
 * and told to other entries
 *
 * Called with each of its events.
 */
void exchange_identify_origin(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;

	record_origin(exchange);
	if (!exchange->origin && exchange->has_events)
		gateway->read_members(gateway->read_members_ctx,
				      IDENTIFY_WITHIN_US);
}

/**
 * exchange_await_read() - wait for a read of the announcements of upstreams
 * @after_us: the read must begin then or later
 *
 * exchange_identity_changed() is called then, possibly before this returns.
 */
void exchange_await_read(struct exchange *exchange, int64_t after_us)
{
	ks_gateway_t *gateway = exchange->gateway;

	exchange->read_after_us = after_us;
	ks_timer_set(&exchange->wait_timer, READ_TIMEOUT_US);
	gateway->read_members(gateway->read_members_ctx, 0);
}

static void await_identity(struct exchange *exchange)
{
	ks_timer_set(&exchange->wait_timer, READ_TIMEOUT_US);
	gateway_identify(exchange->gateway, exchange->member);
}

/**
 * exchange_permits_origin() - whether the process that the request is about to
 * be sent to is known to have the stream's origin
 *
 * Otherwise, the exchange waits until it is known.
 */
bool exchange_permits_origin(struct exchange *exchange)
{
	if (!exchange->origin || is_identified(exchange))
		return true;
	exchange->awaits_identity = true;
	await_identity(exchange);
	return false;
}

/**
 * exchange_await_origin() - wait until it is known where a stream that was lost
 * had begun
 *
 * Return: false if that need not be known, or can't be.
 */
bool exchange_await_origin(struct exchange *exchange)
{
	if (!exchange->caller || !exchange->started || !exchange->has_events ||
	    exchange->origin)
		return false;
	if (is_identified(exchange)) {
		exchange->origin = exchange->member->origin;
		return false;
	}
	exchange->step = EXCHANGE_READ;
	await_identity(exchange);
	return true;
}

/* Sends the request to another upstream, as this one is not known. */
static void place_elsewhere(struct exchange *exchange, const char *why)
{
	exchange->awaits_identity = false;
	ks_timer_clear(&exchange->wait_timer);
	ks_http_call_cancel(&exchange->call);
	if (++exchange->identity_waits < MAX_IDENTITY_WAITS)
		exchange_place_again(exchange, why);
	else
		exchange_give_up(exchange, RETRY_AFTER_NOT_READY_S,
				 "the upstreams of the version change");
}

static void place_without_member(struct exchange *exchange)
{
	exchange_exclude_member(exchange);
	place_elsewhere(exchange, "placed again, not known which process the "
				  "upstream is");
}

/* Goes on with a request that waits, connected, for the process to be known. */
static void send_when_identified(struct exchange *exchange)
{
	if (is_identified(exchange)) {
		exchange->awaits_identity = false;
		ks_timer_clear(&exchange->wait_timer);
		ks_http_call_permit(&exchange->call);
	} else if (exchange->member->is_replaced ||
		   exchange->gateway->members_read_us >=
			   exchange->call.conn_opened_us) {
		place_elsewhere(exchange,
				"placed again, the process of the upstream is "
				"not the one before");
	} else if (gateway_is_silent(exchange->member)) {
		place_without_member(exchange);
	}
}

/* Resumes a lost stream once its origin is known. */
static void resume_when_known(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	const ks_stream_origins_t *origins = &gateway->origins;

	exchange->origin = ks_stream_origins_find(
		&gateway->origins, exchange->stream, exchange_now(exchange));
	if (!exchange->origin &&
	    ks_stream_origins_find_claim(origins, exchange->stream) &&
	    !exchange->member->is_replaced)
		return;
	ks_timer_clear(&exchange->wait_timer);
	exchange->step = EXCHANGE_RUN;
	exchange_resume_lost(exchange);
}

/**
 * exchange_identity_changed() - note that the announcements of upstreams have
 * been read, or that an upstream has said what its process is
 *
 * Continues an exchange that waits for it, which may have ended then.
 */
void exchange_identity_changed(struct exchange *exchange)
{
	switch (exchange->step) {
	case EXCHANGE_ASK:
		exchange_resume_if_known(exchange);
		break;
	case EXCHANGE_READ:
		if (exchange->started)
			resume_when_known(exchange);
		else if (exchange->gateway->members_read_us >=
			 exchange->read_after_us)
			exchange_resume_after_read(exchange);
		break;
	case EXCHANGE_RUN:
		if (exchange->awaits_identity && exchange->call.is_waiting)
			send_when_identified(exchange);
		else if (exchange->started && exchange->has_events &&
			 !exchange->origin)
			record_origin(exchange);
		break;
	default:
		break;
	}
}

/* Ends a wait for other entries, or for a process to be known. */
static void on_wait_timer(void *ctx)
{
	struct exchange *exchange = ctx;

	if (exchange->awaits_identity)
		ks_http_call_cancel(&exchange->call);
	if (exchange->step == EXCHANGE_ASK)
		exchange_end_asking(exchange);
	else if (exchange->step == EXCHANGE_READ && !exchange->started)
		exchange_refuse_unknown(exchange);
	else
		exchange_give_up(exchange, RETRY_AFTER_NOT_READY_S,
				 "not known which process the upstream is");
}

void exchange_init_identity(struct exchange *exchange)
{
	ks_timer_init(&exchange->wait_timer, exchange->gateway->loop,
		      on_wait_timer, exchange);
}
