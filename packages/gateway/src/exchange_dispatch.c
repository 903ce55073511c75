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

/* Limit for the JSON response that holds the KV cache handle. */
#define MAX_PREFILL_RESPONSE (64 * 1024)

/* Returns whether a request that may have run can be sent again. */
static bool may_repeat(const struct exchange *x)
{
	if (x->route->kind == KS_CALL_IDEMPOTENT)
		return !x->started;
	if (x->route->kind == KS_CALL_STREAM)
		return x->route->resumable;
	return false;
}

void exchange_exclude_member(struct exchange *x)
{
	if (x->member)
		g_ptr_array_add(x->avoid, ks_member_ref(x->member));
}

/*
 * Retries the request if that is safe and the retry budget allows it.
 *
 * Returns whether it did; the exchange may then have ended.
 */
bool exchange_retry(struct exchange *x, const char *why)
{
	ks_gateway_t *gateway = x->gateway;

	if (!x->caller || x->sends >= MAX_SENDS ||
	    exchange_now(x) >= x->deadline_us)
		return false;
	if (exchange_may_have_run(x) &&
	    (!may_repeat(x) || x->runs >= x->route->max_attempts))
		return false;
	if (!ks_budget_take(gateway_budget(gateway, x->service_name),
			    exchange_now(x))) {
		exchange_log(x, KS_LOG_INFO, "retry budget used up", 0);
		return false;
	}
	ks_counter_add(gateway->counters.retries, 1);
	exchange_log(x, KS_LOG_INFO, why, x->status);
	exchange_free_handle(x);
	exchange_release_member(x);
	exchange_release_prefill(x);
	x->step = EXCHANGE_IDLE;
	exchange_dispatch(x);
	return true;
}

/**
 * exchange_record_cached() - record that an upstream has the prompt cached
 */
void exchange_record_cached(struct exchange *x, ks_member_t *member)
{
	ks_member_record_cached(member, &x->prompt,
				gateway_cache_tokens(x->gateway, x->service),
				exchange_now(x));
	ks_peers_queue_cached(&x->gateway->peers, member, &x->prompt);
}

static void on_prefill_head(void *ctx, int status, const ks_header_t *headers,
			    size_t n)
{
	struct exchange *x = ctx;

	x->status = status;
	x->refused_not_run =
		ks_header_find(headers, n, x->gateway->dialect->not_run.data) !=
		NULL;
}

static void on_prefill_body(void *ctx, ks_str_t data)
{
	struct exchange *x = ctx;

	if (x->body->len + data.len <= MAX_PREFILL_RESPONSE)
		g_string_append_len(x->body, data.data, (gssize)data.len);
}

static char *parse_handle(const struct exchange *x)
{
	json_t *json = json_loadb(x->body->str, x->body->len, 0, NULL);
	const char *handle = json_string_value(
		json_object_get(json, x->gateway->dialect->handle_member));
	char *copy = handle && *handle ? g_strdup(handle) : NULL;

	json_decref(json);
	return copy;
}

static void set_kv_source(struct exchange *x)
{
	char address[KS_ADDRESS_TEXT_SIZE];

	ks_address_format(&x->prefill_member->address, address);
	g_string_printf(x->kv_source, "%s/%s", address, x->handle);
	exchange_record_cached(x, x->prefill_member);
}

/*
 * If prefill fails, the request runs without a handle: the upstream that runs
 * it then prefills the prompt as well, which is slower but needs no other
 * upstream.
 */
static void on_prefill_done(void *ctx, ks_http_result_t result)
{
	struct exchange *x = ctx;
	ks_member_t *engine = x->prefill_member;

	x->prefill_us += exchange_now(x) - x->sent_us;
	engine->prefill_tokens -= x->prefill_tokens;
	x->prefill_tokens = 0;
	ks_peers_schedule_update(&x->gateway->peers);
	if (result == KS_HTTP_COMPLETE && x->status == 200)
		x->handle = parse_handle(x);
	if (x->handle) {
		ks_ejection_success(&engine->health);
		ks_member_record_outcome(engine, false, exchange_now(x));
		set_kv_source(x);
	} else {
		ks_member_record_outcome(engine, !x->refused_not_run,
					 exchange_now(x));
		if (!x->refused_not_run)
			ks_ejection_failure(&engine->health, exchange_now(x),
					    &x->gateway->rng);
		exchange_log(x, KS_LOG_INFO,
			     "the prompt could not be read ahead", x->status);
	}
	if (!x->member->accepting) {
		exchange_free_handle(x);
		exchange_release_member(x);
		exchange_release_prefill(x);
		exchange_dispatch(x);
		return;
	}
	exchange_start_run(x);
}

static const ks_http_events_t prefill_events = {
	.head = on_prefill_head,
	.body = on_prefill_body,
	.done = on_prefill_done,
};

static void start_prefill(struct exchange *x)
{
	exchange_clear_response(x);
	x->step = EXCHANGE_PREFILL;
	x->sent_us = exchange_now(x);
	x->prefills++;
	ks_counter_add(x->gateway->counters.splits, 1);
	exchange_send(x, x->prefill_member, true, &prefill_events);
}

void exchange_dispatch(struct exchange *x)
{
	ks_gateway_t *gateway = x->gateway;
	GPtrArray *members = ks_fleet_members(&gateway->fleet, x->service_name);
	ks_placement_query_t query = {
		.service = x->service,
		.prompt = x->has_prompt ? &x->prompt : NULL,
		.domain = gateway->domain,
		.avoid = x->avoid,
		/* Further prefills would bypass the retry budget. */
		.may_split = x->may_split && !x->prefills,
		.cache_tokens = gateway_cache_tokens(gateway, x->service),
		.now_us = exchange_now(x),
		.draw = ks_rng_below(&gateway->rng, G_MAXINT32),
	};
	ks_placement_t placement = ks_placement_choose(members, &query);

	/* An upstream that has failed this request is better than none. */
	if (!placement.run && x->avoid->len) {
		query.avoid = NULL;
		placement = ks_placement_choose(members, &query);
	}
	g_ptr_array_free(members, TRUE);
	if (!placement.run) {
		exchange_give_up(x, RETRY_AFTER_NOT_READY_S, "no upstream");
		return;
	}
	x->member = ks_member_ref(placement.run);
	x->member->running++;
	x->run_tokens = placement.run_tokens;
	x->uncached_tokens = placement.prefill ? placement.prefill_tokens
					       : placement.run_tokens;
	if (placement.source)
		ks_address_format(&placement.source->address, x->fetch_from);
	else
		*x->fetch_from = '\0';
	x->member->prefill_tokens += x->run_tokens;
	ks_ejection_dispatch(&x->member->health, exchange_now(x));
	ks_peers_schedule_update(&gateway->peers);
	if (!placement.prefill) {
		exchange_start_run(x);
		return;
	}
	x->prefill_member = ks_member_ref(placement.prefill);
	x->prefill_tokens = placement.prefill_tokens;
	x->prefill_member->prefill_tokens += x->prefill_tokens;
	ks_ejection_dispatch(&x->prefill_member->health, exchange_now(x));
	start_prefill(x);
}
