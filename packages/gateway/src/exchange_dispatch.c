/*
 * Which upstream gets a request, and whether it is sent again.
 *
 * A request may be sent again if it is known not to have run: nothing was sent,
 * or the upstream said so. One that may have run is sent again only if it is
 * idempotent, or a stream that goes on after the last event that the caller
 * got.
 */
#include "gateway_internal.h"

#include <jansson.h>

/* Sends of one request that an upstream refused or that were not sent. */
#define MAX_SENDS 4

/* The handle of a prompt and what stands beside it. */
#define MAX_PREFILL_ANSWER (64 * 1024)

/* What has run may not be repeated, but to go on with a stream. */
static bool may_repeat(const struct exchange *x)
{
	if (x->route->kind == KS_CALL_IDEMPOTENT)
		return !x->started;
	if (x->route->kind == KS_CALL_STREAM)
		return x->route->resumable;
	return false;
}

void exchange_avoid_member(struct exchange *x)
{
	if (x->member)
		g_ptr_array_add(x->avoid, ks_member_ref(x->member));
}

/* Sends the request once more if that is safe and the budget allows. */
bool exchange_try_again(struct exchange *x, const char *why)
{
	ks_gateway_t *gateway = x->gateway;

	if (!x->caller || x->sends >= MAX_SENDS ||
	    exchange_now(x) >= x->left_us)
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
	exchange_release(x);
	exchange_release_prefill(x);
	x->step = EXCHANGE_IDLE;
	exchange_dispatch(x);
	return true;
}

/**
 * exchange_note_cached() - an upstream keeps the prompt from now on
 */
void exchange_note_cached(struct exchange *x, ks_member_t *member)
{
	ks_member_note_cached(member, &x->prompt,
			      gateway_kept_tokens(x->gateway, x->service),
			      exchange_now(x));
	ks_peers_note_cached(&x->gateway->peers, member, &x->prompt);
}

static void on_prefill_head(void *ctx, int status, const ks_header_t *headers,
			    size_t n)
{
	struct exchange *x = ctx;

	x->status = status;
	x->answer_not_run =
		ks_header_find(headers, n, x->gateway->dialect->not_run.data) !=
		NULL;
}

static void on_prefill_body(void *ctx, ks_str_t data)
{
	struct exchange *x = ctx;

	if (x->body->len + data.len <= MAX_PREFILL_ANSWER)
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

static void take_handle(struct exchange *x)
{
	char address[KS_ADDRESS_TEXT_SIZE];

	ks_address_format(&x->prefill_member->address, address);
	g_string_printf(x->kv_source, "%s/%s", address, x->handle);
	exchange_note_cached(x, x->prefill_member);
}

/*
 * The prompt can be read by the upstream that runs the request instead, which
 * is slower but needs no other upstream.
 */
static void on_prefill_done(void *ctx, ks_http_result_t result)
{
	struct exchange *x = ctx;
	ks_member_t *reader = x->prefill_member;

	x->prefill_us += exchange_now(x) - x->sent_us;
	reader->reading_tokens -= x->reading_tokens;
	x->reading_tokens = 0;
	ks_peers_note_change(&x->gateway->peers);
	if (result == KS_HTTP_COMPLETE && x->status == 200)
		x->handle = parse_handle(x);
	if (x->handle) {
		ks_ejection_success(&reader->health);
		ks_member_note_outcome(reader, false, exchange_now(x));
		take_handle(x);
	} else {
		ks_member_note_outcome(reader, !x->answer_not_run,
				       exchange_now(x));
		if (!x->answer_not_run)
			ks_ejection_failure(&reader->health, exchange_now(x),
					    &x->gateway->rng);
		exchange_log(x, KS_LOG_INFO,
			     "the prompt could not be read ahead", x->status);
	}
	if (!x->member->accepting) {
		exchange_free_handle(x);
		exchange_release(x);
		exchange_release_prefill(x);
		exchange_dispatch(x);
		return;
	}
	exchange_run(x);
}

static const ks_http_events_t prefill_events = {
	.head = on_prefill_head,
	.body = on_prefill_body,
	.done = on_prefill_done,
};

static void start_prefill(struct exchange *x)
{
	exchange_clear_answer(x);
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
		/* Only the first prefill is free of the retry budget. */
		.may_split = x->may_split && !x->prefills,
		.kept_tokens = gateway_kept_tokens(gateway, x->service),
		.now_us = exchange_now(x),
		.draw = ks_rng_below(&gateway->rng, G_MAXINT32),
	};
	ks_placement_t placement = ks_placement_choose(members, &query);

	if (!placement.run && x->avoid->len) {
		query.avoid = NULL;
		placement = ks_placement_choose(members, &query);
	}
	g_ptr_array_free(members, TRUE);
	if (!placement.run) {
		exchange_give_up(x, RETRY_NOT_READY_S, "no upstream");
		return;
	}
	x->member = ks_member_ref(placement.run);
	x->member->running++;
	x->run_tokens = placement.run_tokens;
	x->unread_tokens = placement.prefill ? placement.prefill_tokens
					     : placement.run_tokens;
	if (placement.source)
		ks_address_format(&placement.source->address, x->fetch_from);
	else
		*x->fetch_from = '\0';
	x->member->reading_tokens += x->run_tokens;
	ks_ejection_dispatch(&x->member->health, exchange_now(x));
	ks_peers_note_change(&gateway->peers);
	if (!placement.prefill) {
		exchange_run(x);
		return;
	}
	x->prefill_member = ks_member_ref(placement.prefill);
	x->reading_tokens = placement.prefill_tokens;
	x->prefill_member->reading_tokens += x->reading_tokens;
	ks_ejection_dispatch(&x->prefill_member->health, exchange_now(x));
	start_prefill(x);
}
