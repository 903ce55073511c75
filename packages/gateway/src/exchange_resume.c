/*
 * Serves callers that resume a stream. What upstreams of two versions of their
 * software write does not fit together, so a stream goes on only where
 * upstreams have the origin that began it. An entry that does not know the
 * origin asks others.
 *
 * A stream that its caller does not name, or that no entry knows, as those that
 * knew it may all have been lost, goes on only if there has been no second
 * version since before it can have begun.
 */
#include "gateway_internal.h"

#include <string.h>
#include <xxhash.h>

/* An entry that shares its processor may take this long to answer. */
#define ASK_TIMEOUT_US (200 * KS_USEC_PER_MSEC)

/*
 * Time for the store, or for the upstream itself, to tell whether the process
 * that is said to have begun a stream is there, after ASK_TIMEOUT_US.
 */
#define CLAIM_TIMEOUT_US (600 * KS_USEC_PER_MSEC)

/*
 * A stream that is resumed is at most this many timeouts of its route old: one
 * for the try that began it, and one for the try that resumes it.
 */
#define MAX_STREAM_TIMEOUTS 2

/* Time that a request may spend on its way and unread. */
#define MAX_UNREAD_US (2 * KS_USEC_PER_SEC)

/* A long stream is announced again before its record is forgotten. */
#define REANNOUNCE_US (30 * KS_USEC_PER_SEC)

/* Longest id of a caller that is logged, in bytes. */
#define MAX_LOGGED_ID 64

static ks_str_t request_field(const struct exchange *exchange, ks_str_t name)
{
	return ks_header_value(
		(const ks_header_t *)(void *)exchange->request_fields->data,
		exchange->request_fields->len, name.data);
}

/**
 * exchange_note_stream() - note which stream the request begins or resumes
 */
void exchange_note_stream(struct exchange *exchange)
{
	const ks_dialect_t *dialect = exchange->gateway->dialect;
	ks_str_t first = request_field(exchange, dialect->resumes);
	ks_str_t after = request_field(exchange, dialect->last_event_id);
	ks_str_t id = first.len ? first : ks_str_from(exchange->id);

	exchange->stream = XXH64(id.data, id.len, 0);
	exchange->names_stream = first.len > 0;
	exchange->is_resume_request = exchange->route->kind == KS_CALL_STREAM &&
				      (first.len || after.len);
	exchange->gateway->longest_wait_us =
		MAX(exchange->gateway->longest_wait_us, exchange->stated_us);
	if (!exchange->is_resume_request)
		return;
	ks_counter_add(exchange->gateway->counters.resume_requests, 1);
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "a caller resumes a stream request=%s resumes=%.*s after=%.*s",
	       exchange->id, (int)MIN(first.len, MAX_LOGGED_ID), first.data,
	       (int)MIN(after.len, MAX_LOGGED_ID), after.data);
}

/**
 * exchange_record_stream() - record where the stream began
 *
 * Called with each of its events.
 */
void exchange_record_stream(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	int64_t now = exchange_now(exchange);
	bool is_told;

	if (!exchange->has_events ||
	    (exchange->announced_us &&
	     now - exchange->announced_us < REANNOUNCE_US))
		return;
	is_told = !exchange->announced_us && !exchange->is_resume_request &&
		  ks_stream_origins_find(&gateway->origins, exchange->stream,
					 now) == exchange->origin;
	exchange->announced_us = now;
	/* The claim has been settled, which has told the others. */
	if (is_told)
		return;
	ks_log(KS_LOG_ROUTE, KS_LOG_DEBUG,
	       "origin of a stream recorded request=%s stream=%016" PRIx64
	       " origin=%016" PRIx64,
	       exchange->id, exchange->stream, exchange->origin);
	ks_stream_origins_record(&gateway->origins, exchange->stream,
				 exchange->origin, now);
	ks_peers_announce_stream(&gateway->peers, exchange->stream,
				 exchange->origin, 0);
}

/*
 * Adds the origins of the upstreams of a service; returns false if there are
 * several.
 */
static bool add_origins(const struct exchange *exchange, const char *service,
			uint64_t *origin)
{
	GPtrArray *members =
		ks_fleet_listed(&exchange->gateway->fleet, service);
	bool is_only = true;

	for (guint i = 0; i < members->len && is_only; i++) {
		const ks_member_t *member = members->pdata[i];

		is_only = !*origin || member->origin == *origin;
		*origin = member->origin;
	}
	g_ptr_array_free(members, TRUE);
	return is_only;
}

/*
 * Returns the origin of all upstreams that the route leads to, 0 if there are
 * several or none.
 */
static uint64_t only_origin(const struct exchange *exchange)
{
	const GArray *splits = exchange->route->splits;
	uint64_t origin = 0;

	for (guint i = 0; i < splits->len; i++)
		if (!add_origins(exchange,
				 g_array_index(splits, ks_split_t, i).service,
				 &origin))
			return 0;
	return origin;
}

/*
 * Returns how long ago a stream that is resumed can have begun. A caller waits
 * for a limited time in all, of which it states what is left with each try, so
 * less is left to one that began longer ago.
 */
static int64_t max_age_us(const struct exchange *exchange)
{
	int64_t timeout_us = exchange->route->timeout_us;
	int64_t max_us = MAX_STREAM_TIMEOUTS * timeout_us;
	int64_t longest_us =
		MAX(timeout_us, exchange->gateway->longest_wait_us);
	int64_t waited_us = exchange_now(exchange) - exchange->arrived_us;

	if (!exchange->stated_us)
		return max_us;
	return MIN(max_us, longest_us - exchange->stated_us + waited_us +
				   MAX_UNREAD_US);
}

/* Returns for how long there has been no second version; 0 if not known. */
static int64_t settled_for_us(const struct exchange *exchange)
{
	int64_t since_us = exchange->gateway->peers.settled_us;

	return since_us ? exchange_now(exchange) - since_us : 0;
}

/* Whether a stream that is resumed began after the latest second version. */
static bool is_settled(const struct exchange *exchange)
{
	return exchange->gateway->peers.settled_us &&
	       settled_for_us(exchange) >= max_age_us(exchange);
}

static bool has_origin(const struct exchange *exchange, const char *service)
{
	GPtrArray *members =
		ks_fleet_members(&exchange->gateway->fleet, service);
	bool found;

	ks_members_keep_origin(members, exchange->origin);
	found = members->len > 0;
	g_ptr_array_free(members, TRUE);
	return found;
}

/* Finds the service of the route that has upstreams of the stream's origin. */
static const char *find_service(const struct exchange *exchange)
{
	const GArray *splits = exchange->route->splits;

	for (guint i = 0; i < splits->len; i++) {
		const ks_split_t *split = &g_array_index(splits, ks_split_t, i);

		if (split->weight &&
		    ks_traffic_service(exchange->traffic, split->service) &&
		    has_origin(exchange, split->service))
			return split->service;
	}
	return NULL;
}

static void refuse(struct exchange *exchange, const char *why)
{
	ks_counter_add(exchange->gateway->counters.resume_refused, 1);
	exchange_respond(exchange, 503, RETRY_AFTER_NOT_READY_S, why);
}

static void continue_stream(struct exchange *exchange)
{
	const char *service = find_service(exchange);

	exchange->step = EXCHANGE_IDLE;
	ks_timer_clear(&exchange->wait_timer);
	/* Upstreams of the version may have joined since the last read. */
	if (!service && exchange->gateway->read_members &&
	    exchange->gateway->members_read_us < exchange->arrived_us) {
		exchange->step = EXCHANGE_READ;
		exchange_await_read(exchange, exchange->arrived_us);
		return;
	}
	if (!service) {
		refuse(exchange, "no upstream of the version that began the "
				 "stream");
		return;
	}
	exchange_begin(exchange, service);
}

/**
 * exchange_refuse_unknown() - refuse to resume a stream of unknown origin
 */
void exchange_refuse_unknown(struct exchange *exchange)
{
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "no entry knows where a stream began request=%s "
	       "stream=%016" PRIx64 " answered=%u silent=%u claimed=%d "
	       "max_age_ms=%" PRId64 " settled_ms=%" PRId64,
	       exchange->id, exchange->stream, exchange->n_answered,
	       exchange->n_asked, exchange->identifies_claim,
	       max_age_us(exchange) / KS_USEC_PER_MSEC,
	       settled_for_us(exchange) / KS_USEC_PER_MSEC);
	refuse(exchange, "not known which version began the stream");
}

/*
 * Serves a request that resumes a stream which no entry knows: reads the
 * announcements of upstreams if they can show that one version only can have
 * begun it, or refuses the request.
 */
static void resume_unknown(struct exchange *exchange)
{
	bool has_read = exchange->gateway->peers.settled_us != 0;

	ks_timer_clear(&exchange->wait_timer);
	/* A read can show another version, and never that there was none. */
	if (!exchange->gateway->read_members ||
	    (has_read && !is_settled(exchange))) {
		exchange_refuse_unknown(exchange);
		return;
	}
	exchange->step = EXCHANGE_READ;
	exchange_await_read(exchange, exchange_now(exchange));
}

/*
 * Returns the process that may have begun the stream, if it can still turn out
 * to be the one that did.
 */
static const ks_stream_claim_t *find_claim(const struct exchange *exchange)
{
	const ks_gateway_t *gateway = exchange->gateway;
	const ks_stream_claim_t *claim = ks_stream_origins_find_claim(
		&gateway->origins, exchange->stream);
	const ks_member_t *member =
		claim ? ks_fleet_find_process(&gateway->fleet, claim->process)
		      : NULL;

	return member && member->is_replaced ? NULL : claim;
}

/* Has it found out, once, whether that process began the stream. */
static void identify_claim(struct exchange *exchange,
			   const ks_stream_claim_t *claim)
{
	ks_gateway_t *gateway = exchange->gateway;

	if (!exchange->identifies_claim)
		gateway_identify(
			gateway,
			ks_fleet_find_process(&gateway->fleet, claim->process));
	exchange->identifies_claim = true;
}

/**
 * exchange_resume_if_known() - serve a request that resumes a stream if its
 * origin has become known, or no other entry can tell it any more
 */
void exchange_resume_if_known(struct exchange *exchange)
{
	const ks_stream_claim_t *claim = find_claim(exchange);

	exchange->origin = ks_stream_origins_find(&exchange->gateway->origins,
						  exchange->stream,
						  exchange_now(exchange));
	if (exchange->origin)
		continue_stream(exchange);
	else if (claim)
		identify_claim(exchange, claim);
	else if (!exchange->n_asked)
		resume_unknown(exchange);
}

/**
 * exchange_end_asking() - go on without the entries that have not answered
 */
void exchange_end_asking(struct exchange *exchange)
{
	if (!find_claim(exchange)) {
		resume_unknown(exchange);
		return;
	}
	if (exchange->awaits_claim) {
		exchange_refuse_unknown(exchange);
		return;
	}
	exchange->awaits_claim = true;
	ks_timer_set(&exchange->wait_timer, CLAIM_TIMEOUT_US);
}

/* The others may know, or have had it found out while the process was there. */
static void ask(struct exchange *exchange)
{
	exchange->n_asked = ks_peers_ask_stream(
		&exchange->gateway->peers, exchange->stream, exchange->asked);
	exchange->step = EXCHANGE_ASK;
	ks_timer_set(&exchange->wait_timer, ASK_TIMEOUT_US);
	exchange_resume_if_known(exchange);
}

/**
 * exchange_resume_after_read() - serve a request that resumes a stream, once
 * the announcements of upstreams have been read
 */
void exchange_resume_after_read(struct exchange *exchange)
{
	/* Another entry may have answered late. */
	if (!exchange->origin && exchange->names_stream)
		exchange->origin = ks_stream_origins_find(
			&exchange->gateway->origins, exchange->stream,
			exchange_now(exchange));
	if (!exchange->origin && is_settled(exchange))
		exchange->origin = only_origin(exchange);
	if (exchange->origin)
		continue_stream(exchange);
	else
		exchange_refuse_unknown(exchange);
}

/**
 * exchange_resume() - serve a request that resumes a stream
 */
void exchange_resume(struct exchange *exchange)
{
	if (!exchange->names_stream) {
		resume_unknown(exchange);
		return;
	}
	exchange->origin = ks_stream_origins_find(&exchange->gateway->origins,
						  exchange->stream,
						  exchange_now(exchange));
	if (exchange->origin)
		continue_stream(exchange);
	else
		ask(exchange);
}

/* Handles an answer of another entry. The exchange may have ended then. */
static void handle_answer(struct exchange *exchange, uint64_t sender)
{
	unsigned n = 0;

	for (unsigned i = 0; i < exchange->n_asked; i++)
		if (exchange->asked[i] != sender)
			exchange->asked[n++] = exchange->asked[i];
	exchange->n_answered += exchange->n_asked - n;
	exchange->n_asked = n;
	exchange_resume_if_known(exchange);
}

/* Called when another entry has said what it knows of a stream. */
void gateway_on_stream_answer(void *ctx, uint64_t stream, uint64_t sender)
{
	ks_gateway_t *gateway = ctx;

	KS_LIST_FOREACH_SAFE (it, tmp, &gateway->exchanges) {
		struct exchange *exchange =
			KS_CONTAINER_OF(it, struct exchange, node);

		if (exchange->step == EXCHANGE_ASK &&
		    exchange->stream == stream)
			handle_answer(exchange, sender);
	}
}
