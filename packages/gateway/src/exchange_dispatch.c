/*
 * Chooses the upstream for a request, and decides whether to retry it.
 *
 * A request may be retried if it is known not to have run: nothing was sent, or
 * the upstream said so. A request that may have run is retried only if it is
 * idempotent, or is a stream that can be resumed after the last event that the
 * caller received.
 */
#include "gateway_internal.h"

#include <jansson.h>

/*
 * Limit on the sends of one request, including those that were refused or
 * failed before anything was sent.
 */
#define MAX_SENDS 4

/* Share of the time to the return of an upstream over which callers retry. */
#define RETRY_SPREAD 0.5

/* Returns whether a request that may have run can be sent again. */
static bool may_repeat(const struct exchange *exchange)
{
	if (exchange->route->kind == KS_CALL_IDEMPOTENT)
		return !exchange->started;
	/* A stream that has begun goes on at its origin only. */
	if (exchange->route->kind == KS_CALL_STREAM)
		return exchange->route->resumable &&
		       (!exchange->started || exchange->origin);
	return false;
}

/**
 * exchange_may_be_cut() - whether a stop may cut the request if it is sent now
 *
 * A request that may have run can't be refused as not run, so that a further
 * send is worth a try.
 */
bool exchange_may_be_cut(const struct exchange *exchange)
{
	return !exchange_may_have_run(exchange) &&
	       gateway_may_cut(exchange->gateway, exchange->hard_deadline_us);
}

/**
 * exchange_refuse_stopping() - refuse a request that a stop may cut
 *
 * To be called before each send: a request may have been taken long ago.
 *
 * Return: whether it was refused, and the exchange has ended.
 */
bool exchange_refuse_stopping(struct exchange *exchange)
{
	if (!exchange_may_be_cut(exchange))
		return false;
	exchange_respond(exchange, 503, RETRY_AFTER_STOPPING_S,
			 GATEWAY_WHY_STOPPING);
	return true;
}

void exchange_exclude_member(struct exchange *exchange)
{
	if (exchange->member)
		g_ptr_array_add(exchange->avoid,
				ks_member_ref(exchange->member));
}

/*
 * Retries the request if that is safe and the retry budget allows it.
 * @has_arrived: the latest send may have reached an upstream; else this is no
 *	retry to the service, which a crashed upstream must not use up
 *
 * Returns whether it did; the exchange may then have ended.
 */
bool exchange_retry(struct exchange *exchange, bool has_arrived,
		    const char *why)
{
	ks_gateway_t *gateway = exchange->gateway;

	if (!exchange->caller || exchange->sends >= MAX_SENDS ||
	    exchange_now(exchange) >= exchange->deadline_us)
		return false;
	if (exchange_refuse_stopping(exchange))
		return true;
	if (exchange_may_have_run(exchange) &&
	    (!may_repeat(exchange) ||
	     exchange->runs >= exchange->route->max_attempts))
		return false;
	if (has_arrived &&
	    !ks_budget_take(gateway_budget(gateway, exchange->service_name),
			    exchange_now(exchange))) {
		exchange_log(exchange, KS_LOG_INFO, "retry budget used up", 0);
		return false;
	}
	ks_counter_add(gateway->counters.retries, 1);
	exchange_log(exchange, KS_LOG_INFO, why, exchange->status);
	exchange_free_handle(exchange);
	exchange_release_member(exchange);
	exchange_release_prefill(exchange);
	exchange->step = EXCHANGE_IDLE;
	exchange_dispatch(exchange);
	return true;
}

/**
 * exchange_record_cached() - record that an upstream has the prompt cached
 */
void exchange_record_cached(struct exchange *exchange, ks_member_t *member)
{
	ks_member_record_cached(
		member, &exchange->prompt,
		gateway_cache_tokens(exchange->gateway, exchange->service),
		exchange_now(exchange));
	ks_peers_queue_cached(&exchange->gateway->peers, member,
			      &exchange->prompt);
}

/**
 * exchange_record_unanswered() - record a send that got no response at all
 */
void exchange_record_unanswered(struct exchange *exchange, ks_member_t *member,
				ks_http_result_t result)
{
	if (result == KS_HTTP_COMPLETE || exchange->withheld ||
	    exchange->call.response_started)
		return;
	ks_member_record_unanswered(member, exchange_now(exchange));
	ks_peers_announce_unanswered(&exchange->gateway->peers);
}

static void on_prefill_head(void *ctx, int status, const ks_header_t *headers,
			    size_t n)
{
	struct exchange *exchange = ctx;

	exchange->status = status;
	exchange->refused_not_run =
		exchange_states_not_run(exchange, headers, n);
	ks_member_record_response(exchange->prefill_member,
				  exchange_now(exchange));
	exchange_note_upstream(exchange, exchange->prefill_member, headers, n);
	exchange_record_alive(exchange, exchange->prefill_member);
}

static void on_prefill_body(void *ctx, ks_str_t data)
{
	struct exchange *exchange = ctx;

	g_string_append_len(exchange->body, data.data, (gssize)data.len);
}

static char *parse_handle(const struct exchange *exchange)
{
	json_t *json =
		json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
	const char *handle = json_string_value(json_object_get(
		json, exchange->gateway->dialect->handle_member));
	char *copy = handle && *handle ? g_strdup(handle) : NULL;

	json_decref(json);
	return copy;
}

static void set_kv_source(struct exchange *exchange)
{
	char address[KS_ADDRESS_TEXT_SIZE];

	ks_address_format(&exchange->prefill_member->address, address);
	g_string_printf(exchange->kv_source, "%s/%s", address,
			exchange->handle);
	exchange_record_cached(exchange, exchange->prefill_member);
}

static GPtrArray *available_members(ks_fleet_t *fleet, uint64_t origin,
				    int64_t notice_us,
				    const ks_placement_query_t *query)
{
	GPtrArray *members = ks_fleet_available(fleet, query->service->name,
						notice_us, query->now_us);

	ks_members_keep_origin(members, origin);
	return members;
}

/**
 * gateway_placement_query() - describe a request that has not been sent yet
 * @prompt: NULL if the service has no engines or the request states no parts
 *
 * Return: a query whose @draw the caller sets.
 */
ks_placement_query_t gateway_placement_query(const ks_gateway_t *gateway,
					     const ks_route_t *route,
					     const ks_service_t *service,
					     const ks_prompt_t *prompt)
{
	return (ks_placement_query_t){
		.service = service,
		.prompt = prompt,
		.domain = gateway->domain,
		.may_split = prompt && service->transfers_kv,
		.max_pause_us = route->max_pause_us,
		.entries = 1 + (unsigned)ks_peers_n_announced(&gateway->peers),
		.cache_tokens = gateway_cache_tokens(gateway, service),
		.now_us = ks_loop_now(gateway->loop),
	};
}

static ks_placement_query_t placement_query(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	ks_placement_query_t query = gateway_placement_query(
		gateway, exchange->route, exchange->service,
		exchange->has_prompt ? &exchange->prompt : NULL);

	gateway_compare_speeds(gateway);
	query.avoid = exchange->avoid;
	/* Further prefills would bypass the retry budget. */
	query.may_split = query.may_split && !exchange->prefills;
	query.draw = ks_rng_below(&gateway->rng, G_MAXINT32);
	return query;
}

static void set_member(struct exchange *exchange, ks_member_t *member,
		       int64_t run_tokens)
{
	exchange->member = ks_member_ref(member);
	if (run_tokens)
		exchange->pending_tokens =
			member->prefill_tokens + member->peer_prefill_tokens;
	exchange->run_tokens = run_tokens;
	member->running++;
	member->prefill_tokens += run_tokens;
	ks_ejection_dispatch(&member->health, exchange_now(exchange));
	ks_peers_schedule_update(&exchange->gateway->peers);
}

/**
 * struct round - which upstreams are considered besides the ordinary ones
 * @leaving: those that leave, within their notice
 * @failed: those that have failed this request
 */
static const struct round {
	bool leaving;
	bool failed;
} rounds[] = {
	{ false, false },
	{ true, false },
	{ false, true },
	{ true, true },
};

static void enter_round(const ks_gateway_t *gateway, size_t i,
			const ks_placement_query_t *query,
			ks_placement_query_t *round_query, int64_t *notice_us)
{
	*notice_us =
		rounds[i].leaving ? gateway->settings.leaving_notice_us : 0;
	round_query->avoid = rounds[i].failed ? NULL : query->avoid;
}

/*
 * Chooses the engine that runs the request once its prompt is prefilled: during
 * the prefill, the load of the engines changes. A request that is not bound to
 * an origin is better placed again than on an engine of last resort.
 */
static bool choose_decode(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	ks_placement_query_t query = placement_query(exchange);
	ks_placement_query_t round_query = query;
	size_t n = exchange->origin ? G_N_ELEMENTS(rounds) : 1;
	ks_member_t *member = NULL;
	int64_t notice_us;

	for (size_t i = 0; i < n && !member; i++) {
		GPtrArray *members;

		enter_round(gateway, i, &query, &round_query, &notice_us);
		members = available_members(&gateway->fleet, exchange->origin,
					    notice_us, &query);
		member = ks_placement_choose_decode(
			members, exchange->prefill_member, &round_query);
		g_ptr_array_free(members, TRUE);
	}
	if (member)
		set_member(exchange, member, 0);
	return member != NULL;
}

/*
 * A prefill request that was refused counts as the first send to the service,
 * so that the request itself is a retry. One that was accepted does not, also
 * if its response is lost: no request has run yet.
 */
static bool may_run_after_prefill(struct exchange *exchange,
				  ks_http_result_t result)
{
	return exchange->handle || result != KS_HTTP_COMPLETE ||
	       ks_budget_take(gateway_budget(exchange->gateway,
					     exchange->service_name),
			      exchange_now(exchange));
}

/*
 * If prefill fails, the request runs without a handle: the upstream that runs
 * it then prefills the prompt as well, which is slower but needs no other
 * upstream.
 */
static void on_prefill_done(void *ctx, ks_http_result_t result)
{
	struct exchange *exchange = ctx;
	ks_member_t *engine = exchange->prefill_member;

	exchange->prefill_us += exchange_now(exchange) - exchange->sent_us;
	if (result == KS_HTTP_COMPLETE && exchange->status == 200)
		exchange_record_prefill_speed(exchange);
	exchange_record_unanswered(exchange, engine, result);
	engine->prefill_tokens -= exchange->prefill_tokens;
	exchange->prefill_tokens = 0;
	ks_peers_schedule_update(&exchange->gateway->peers);
	if (result == KS_HTTP_COMPLETE && exchange->status == 200)
		exchange->handle = parse_handle(exchange);
	if (exchange->handle) {
		ks_ejection_success(&engine->health);
		ks_member_record_outcome(engine, false, exchange_now(exchange));
		set_kv_source(exchange);
	} else {
		bool neutral = exchange->backed_off || exchange->withheld;

		if (!neutral)
			ks_member_record_outcome(engine,
						 !exchange->refused_not_run,
						 exchange_now(exchange));
		if (!exchange->refused_not_run && !neutral)
			ks_ejection_failure(&engine->health,
					    exchange_now(exchange),
					    &exchange->gateway->rng);
		exchange_log(exchange, KS_LOG_INFO,
			     "the prompt could not be read ahead",
			     exchange->status);
	}
	if (exchange_refuse_stopping(exchange) ||
	    exchange_refuse_held(exchange))
		return;
	if (!may_run_after_prefill(exchange, result)) {
		exchange_give_up(exchange, RETRY_AFTER_OVERLOADED_S,
				 "retry budget used up");
		return;
	}
	if (!exchange->handle || !choose_decode(exchange)) {
		if (exchange->handle)
			exchange_log_origin(exchange, engine->origin,
					    "no engine takes the prompt that "
					    "was prefilled");
		exchange_free_handle(exchange);
		exchange_release_prefill(exchange);
		exchange_dispatch(exchange);
		return;
	}
	exchange_start_run(exchange);
}

static ks_http_permit_t on_prefill_permits(void *ctx)
{
	struct exchange *exchange = ctx;

	return exchange_permits_send(exchange, exchange->prefill_member)
		       ? KS_HTTP_SEND
		       : KS_HTTP_WITHHOLD;
}

static const ks_http_events_t prefill_events = {
	.permits = on_prefill_permits,
	.head = on_prefill_head,
	.body = on_prefill_body,
	.done = on_prefill_done,
};

static void start_prefill(struct exchange *exchange)
{
	exchange_clear_response(exchange);
	exchange->step = EXCHANGE_PREFILL;
	exchange->sent_us = exchange_now(exchange);
	exchange->prefills++;
	ks_counter_add(exchange->gateway->counters.splits, 1);
	exchange_send(exchange, exchange->prefill_member, true,
		      &prefill_events);
}

static ks_placement_t place_within(ks_fleet_t *fleet, uint64_t origin,
				   int64_t notice_us,
				   const ks_placement_query_t *query)
{
	GPtrArray *members = available_members(fleet, origin, notice_us, query);
	ks_placement_t placement = ks_placement_choose(members, query);

	g_ptr_array_free(members, TRUE);
	return placement;
}

/**
 * gateway_place() - choose the upstreams for a request
 * @fleet: the gateway's, or a copy of it
 * @origin: origin of the upstreams that may serve, 0 for any
 * @notice_us: set to the time for which upstreams that leave were considered;
 *	they are used only if no other can serve
 *
 * Return: a placement whose @run is NULL if no upstream can take the request.
 */
ks_placement_t gateway_place(const ks_gateway_t *gateway, ks_fleet_t *fleet,
			     uint64_t origin, const ks_placement_query_t *query,
			     int64_t *notice_us)
{
	ks_placement_t placement = { 0 };
	ks_placement_query_t round_query = *query;

	for (size_t i = 0; i < G_N_ELEMENTS(rounds) && !placement.run; i++) {
		enter_round(gateway, i, query, &round_query, notice_us);
		placement =
			place_within(fleet, origin, *notice_us, &round_query);
	}
	return placement;
}

/**
 * gateway_unplaced_reason() - why no upstream takes a request
 * @return_us: when an upstream wants requests again, 0 if none will
 */
const char *gateway_unplaced_reason(int64_t return_us)
{
	return return_us ? "no upstream wants more requests now"
			 : "no upstream";
}

/**
 * struct origin_state - upstreams of one origin
 * @prefill, @decode: engines of each stage among @listed
 * @draining, @changing, @leaving, @away: those that are not used
 * @silent: see ks_member_is_silent()
 * @objected: those that are used only if too few others are left
 * @usable: those that run requests, and none of the above
 */
struct origin_state {
	unsigned listed, prefill, decode;
	unsigned draining, changing, leaving, away;
	unsigned silent, objected, usable;
};

static void add_state(struct origin_state *state, const ks_member_t *member,
		      const ks_placement_query_t *query)
{
	const ks_withdrawal_t *withdrawal = &member->withdrawal;
	bool is_away = !ks_withdrawal_permits(withdrawal, query->now_us);
	bool is_silent = ks_member_is_silent(member, query->now_us);
	bool is_objected = ks_placement_objection(member, query);

	state->listed++;
	state->prefill += member->stage == KS_STAGE_PREFILL;
	state->decode += member->stage == KS_STAGE_DECODE;
	state->draining += !member->accepting;
	state->changing += member->pending_stage != KS_STAGE_ANY;
	state->leaving += withdrawal->leaving_us != 0;
	state->away += is_away;
	state->silent += is_silent;
	state->objected += is_objected;
	state->usable += member->accepting && !withdrawal->leaving_us &&
			 !is_away && !is_silent && !is_objected &&
			 member->stage != KS_STAGE_PREFILL;
}

/**
 * exchange_log_origin() - log which upstreams of a stream's origin are left,
 * and why they are not used
 * @origin: 0 for all upstreams of the service
 */
void exchange_log_origin(struct exchange *exchange, uint64_t origin,
			 const char *why)
{
	ks_placement_query_t query = gateway_placement_query(
		exchange->gateway, exchange->route, exchange->service, NULL);
	GPtrArray *members = ks_fleet_listed(&exchange->gateway->fleet,
					     exchange->service_name);
	struct origin_state state = { 0 };

	query.avoid = exchange->avoid;
	ks_members_keep_origin(members, origin);
	for (guint i = 0; i < members->len; i++)
		add_state(&state, members->pdata[i], &query);
	g_ptr_array_free(members, TRUE);
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "%s request=%s origin=%016" PRIx64
	       " prefills=%u sends=%u listed=%u prefill=%u decode=%u"
	       " draining=%u changing=%u leaving=%u away=%u silent=%u"
	       " objected=%u usable=%u",
	       why, exchange->id, origin, exchange->prefills, exchange->sends,
	       state.listed, state.prefill, state.decode, state.draining,
	       state.changing, state.leaving, state.away, state.silent,
	       state.objected, state.usable);
}

/* Tells the caller when an upstream wants requests again. */
static void refuse_unplaced(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	int64_t now = exchange_now(exchange);
	int64_t return_us = ks_fleet_return_us(
		&gateway->fleet, exchange->service_name, exchange->origin, now);
	double wait_s = (double)(return_us - now) / KS_USEC_PER_SEC;

	if (!return_us) {
		exchange_give_up(exchange, RETRY_AFTER_NOT_READY_S,
				 gateway_unplaced_reason(return_us));
		return;
	}
	/* Callers come back one after the other. */
	wait_s *= 1 + RETRY_SPREAD * ks_rng_unit(&gateway->rng);
	exchange_give_up(exchange, MAX(wait_s, RETRY_AFTER_OVERLOADED_S),
			 gateway_unplaced_reason(return_us));
}

void exchange_dispatch(struct exchange *exchange)
{
	ks_gateway_t *gateway = exchange->gateway;
	ks_placement_query_t query;
	ks_placement_t placement;
	int64_t notice_us;

	if (exchange_refuse_stopping(exchange) ||
	    exchange_refuse_held(exchange))
		return;
	query = placement_query(exchange);
	placement = gateway_place(gateway, &gateway->fleet, exchange->origin,
				  &query, &notice_us);
	if (!placement.run) {
		refuse_unplaced(exchange);
		return;
	}
	exchange->uncached_tokens = placement.prefill ? placement.prefill_tokens
						      : placement.run_tokens;
	if (placement.source)
		ks_address_format(&placement.source->address,
				  exchange->fetch_from);
	else
		*exchange->fetch_from = '\0';
	if (!placement.prefill) {
		set_member(exchange, placement.run, placement.run_tokens);
		exchange_start_run(exchange);
		return;
	}
	exchange->prefill_member = ks_member_ref(placement.prefill);
	exchange->prefill_tokens = placement.prefill_tokens;
	exchange->pending_tokens = placement.prefill->prefill_tokens +
				   placement.prefill->peer_prefill_tokens;
	exchange->prefill_member->prefill_tokens += exchange->prefill_tokens;
	ks_ejection_dispatch(&exchange->prefill_member->health,
			     exchange_now(exchange));
	ks_peers_schedule_update(&exchange->gateway->peers);
	start_prefill(exchange);
}
