/*
 * Tells which process of an upstream an exchange speaks to. A process may start
 * again under the id and at the address of the one before, with another version
 * of its software. It announces itself before it serves, so a connection leads
 * to the process of an announcement that was read after the connection had been
 * established: an earlier process has ended and its connections with it, and a
 * later one would have announced itself.
 *
 * A stream has the origin of an upstream only once that is known, and goes on
 * only at a process that is known to have it.
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
	const ks_gateway_t *gateway = exchange->gateway;
	const ks_member_t *member = exchange->member;

	return !gateway->read_members ||
	       (member->listed && !member->remove_at_us &&
		gateway->members_read_us >= exchange->call.conn_opened_us);
}

/**
 * exchange_log_unknown_origin() - log that a stream ends before its origin is
 * known
 *
 * No entry can tell then where it began.
 */
void exchange_log_unknown_origin(const struct exchange *exchange)
{
	const ks_gateway_t *gateway = exchange->gateway;
	int64_t now = exchange_now(exchange);

	if (!exchange->started || !exchange->has_events || exchange->origin)
		return;
	ks_counter_add(gateway->counters.origins_lost, 1);
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "a stream ended before its origin was known request=%s "
	       "stream=%016" PRIx64 " upstream=%s conn_ms=%" PRId64
	       " read_ms=%" PRId64,
	       exchange->id, exchange->stream, exchange->began->id,
	       (now - exchange->call.conn_opened_us) / KS_USEC_PER_MSEC,
	       (now - gateway->members_read_us) / KS_USEC_PER_MSEC);
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
 * exchange_identify_origin() - have the origin of a stream that has begun noted
 * and told to other entries
 *
 * Called at the beginning of the response, and with each of its events.
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
 * exchange_members_read() is called then, possibly before this returns.
 */
void exchange_await_read(struct exchange *exchange, int64_t after_us)
{
	ks_gateway_t *gateway = exchange->gateway;

	exchange->read_after_us = after_us;
	ks_timer_set(&exchange->wait_timer, READ_TIMEOUT_US);
	gateway->read_members(gateway->read_members_ctx, 0);
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
	exchange_await_read(exchange, exchange->call.conn_opened_us);
	if (!is_identified(exchange))
		return false;
	exchange->awaits_identity = false;
	ks_timer_clear(&exchange->wait_timer);
	return true;
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
	exchange_await_read(exchange, exchange->call.conn_opened_us);
	return true;
}

static void send_after_read(struct exchange *exchange)
{
	exchange->awaits_identity = false;
	ks_timer_clear(&exchange->wait_timer);
	if (is_identified(exchange)) {
		ks_http_call_permit(&exchange->call);
		return;
	}
	/* Another process is announced there now. */
	ks_http_call_cancel(&exchange->call);
	if (++exchange->identity_waits < MAX_IDENTITY_WAITS)
		exchange_place_again(
			exchange, "placed again, the process of the upstream "
				  "is not the one before");
	else
		exchange_give_up(exchange, RETRY_AFTER_NOT_READY_S,
				 "the upstreams of the version change");
}

/* The exchange may have ended then. */
static void go_on_after_read(struct exchange *exchange)
{
	ks_timer_clear(&exchange->wait_timer);
	exchange->step = EXCHANGE_RUN;
	if (is_identified(exchange))
		exchange->origin = exchange->member->origin;
	exchange_resume_lost(exchange);
}

/**
 * exchange_members_read() - note that the announcements of upstreams have been
 * read
 *
 * Continues an exchange that waits for it, which may have ended then.
 */
void exchange_members_read(struct exchange *exchange)
{
	bool is_read =
		exchange->gateway->members_read_us >= exchange->read_after_us;

	if (exchange->awaits_identity && exchange->call.is_waiting && is_read) {
		send_after_read(exchange);
	} else if (exchange->step == EXCHANGE_READ && is_read) {
		if (exchange->started)
			go_on_after_read(exchange);
		else
			exchange_resume_after_read(exchange);
	} else if (exchange->step == EXCHANGE_RUN && exchange->started &&
		   exchange->has_events && !exchange->origin) {
		record_origin(exchange);
	}
}

/* Ends a wait for other entries, or for a read that did not end in time. */
static void on_wait_timer(void *ctx)
{
	struct exchange *exchange = ctx;

	if (exchange->awaits_identity)
		ks_http_call_cancel(&exchange->call);
	if (exchange->step == EXCHANGE_ASK ||
	    (exchange->step == EXCHANGE_READ && !exchange->started))
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
