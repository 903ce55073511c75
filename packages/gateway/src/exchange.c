/*
 * A request on its way through the gateway: sent to an upstream, sent again
 * where that is safe, and answered exactly once.
 *
 * A request may be sent again if it is known not to have run: nothing was sent,
 * or the upstream said so. One that may have run is sent again only if it is
 * idempotent, or a stream that goes on after the last event that the caller
 * got.
 */
#include "gateway_internal.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* An answer that is not a stream is checked whole up to this size. */
#define MAX_HELD_BODY (1024 * 1024)

/* Output that the caller has yet to take, before an upstream is paused. */
#define HIGH_WATER_BYTES (256 * 1024)

/*
 * After the time that the upstream was given, so that its own answer at the
 * deadline still arrives.
 */
#define FINAL_MARGIN_US (60 * KS_USEC_PER_MSEC)

/* Sends of one request that an upstream refused or that were not sent. */
#define MAX_SENDS 4

/* When to come back after a refusal, by cause. */
#define RETRY_NOT_READY_S 0.5
#define RETRY_OVERLOADED_S 0.3

static void dispatch(struct exchange *x);

static int64_t now_of(const struct exchange *x)
{
	return ks_loop_now(x->gateway->loop);
}

static void log_end(const struct exchange *x, ks_log_level_t level,
		    const char *outcome, int status)
{
	ks_log(KS_LOG_ROUTE, level,
	       "%s request=%s status=%d route=%s service=%s version=%" PRId64
	       " upstream=%s sends=%u runs=%u age_ms=%" PRId64,
	       outcome, x->id, status, x->route ? x->route->name : "-",
	       x->service_name ? x->service_name : "-",
	       x->traffic ? x->traffic->version : 0,
	       x->member ? x->member->id : "-", x->sends, x->runs,
	       (now_of(x) - x->arrived_us) / KS_USEC_PER_MSEC);
}

static void release_members(struct exchange *x)
{
	if (x->member) {
		x->member->running--;
		x->member->reading_tokens -= x->run_tokens;
		ks_member_unref(x->member);
		ks_peers_note_change(&x->gateway->peers);
	}
	x->member = NULL;
	x->run_tokens = 0;
}

static void release_prefill(struct exchange *x)
{
	if (x->prefill_member) {
		x->prefill_member->reading_tokens -= x->reading_tokens;
		ks_member_unref(x->prefill_member);
	}
	x->prefill_member = NULL;
	x->reading_tokens = 0;
}

static void free_exchange(struct exchange *x)
{
	ks_http_call_cancel(&x->call);
	exchange_free_handle(x);
	ks_timer_clear(&x->timer);
	ks_list_remove(&x->node);
	release_members(x);
	release_prefill(x);
	ks_traffic_unref(x->traffic);
	g_free(x->id);
	g_free(x->handle);
	g_string_free(x->method, TRUE);
	g_string_free(x->target, TRUE);
	g_string_free(x->request_body, TRUE);
	g_string_free(x->host, TRUE);
	g_array_free(x->request_fields, TRUE);
	g_ptr_array_free(x->field_texts, TRUE);
	g_ptr_array_free(x->avoid, TRUE);
	g_string_free(x->kv_source, TRUE);
	g_array_free(x->fields, TRUE);
	g_string_free(x->fields_text, TRUE);
	g_string_free(x->body, TRUE);
	ks_events_deinit(&x->events);
	g_free(x);
}

/* Ends the exchange with an answer of the gateway's own. */
static void answer_own(struct exchange *x, int status, double retry_after_s,
		       const char *why)
{
	const ks_dialect_t *dialect = x->gateway->dialect;
	ks_header_t fields[2];
	char retry[24];
	size_t n = 0;

	fields[n++] = (ks_header_t){ dialect->request_id, ks_str_from(x->id) };
	if (retry_after_s > 0) {
		g_ascii_formatd(retry, sizeof(retry), "%.2f", retry_after_s);
		fields[n++] = (ks_header_t){ dialect->retry_after,
					     ks_str_from(retry) };
	}
	if (x->caller) {
		ks_http1_request_t *caller = x->caller;

		ks_http1_start(caller, status, fields, n, 0);
		ks_http1_end(caller);
		x->caller = NULL;
	}
	ks_counter_add(status == 503 || status == 429
			       ? x->gateway->counters.refused
			       : x->gateway->counters.failed,
		       1);
	log_end(x, KS_LOG_INFO, why, status);
	free_exchange(x);
}

static bool may_have_run(const struct exchange *x)
{
	return x->runs > 0;
}

/* "Not run" is said only when it is known. */
static void give_up(struct exchange *x, double retry_after_s, const char *why)
{
	if (x->started) {
		if (x->caller)
			ks_http1_cut(x->caller);
		x->caller = NULL;
		ks_counter_add(x->gateway->counters.cut, 1);
		log_end(x, KS_LOG_INFO, why, 0);
		free_exchange(x);
		return;
	}
	if (may_have_run(x))
		answer_own(x, 502, 0, why);
	else
		answer_own(x, 503, retry_after_s, why);
}

static void on_final(void *ctx)
{
	struct exchange *x = ctx;

	if (x->step == EXCHANGE_DETACHED) {
		free_exchange(x);
		return;
	}
	/* A run that has been sent and not answered may have run. */
	if (x->step == EXCHANGE_RUN && ks_http_call_is_active(&x->call) &&
	    x->call.sent)
		x->runs++;
	if (x->started || !may_have_run(x))
		give_up(x, RETRY_OVERLOADED_S, "timeout");
	else
		answer_own(x, 504, 0, "timeout");
}

/* What has run may not be repeated, but to go on with a stream. */
static bool may_repeat(const struct exchange *x)
{
	if (x->route->kind == KS_CALL_IDEMPOTENT)
		return !x->started;
	if (x->route->kind == KS_CALL_STREAM)
		return x->route->resumable;
	return false;
}

static void avoid_member(struct exchange *x)
{
	if (x->member)
		g_ptr_array_add(x->avoid, ks_member_ref(x->member));
}

/* Sends the request once more if that is safe and the budget allows. */
static bool try_again(struct exchange *x, const char *why)
{
	ks_gateway_t *gateway = x->gateway;

	if (!x->caller || x->sends >= MAX_SENDS || now_of(x) >= x->left_us)
		return false;
	if (may_have_run(x) &&
	    (!may_repeat(x) || x->runs >= x->route->max_attempts))
		return false;
	if (!ks_budget_take(gateway_budget(gateway, x->service_name),
			    now_of(x))) {
		log_end(x, KS_LOG_INFO, "retry budget used up", 0);
		return false;
	}
	ks_counter_add(gateway->counters.retries, 1);
	log_end(x, KS_LOG_INFO, why, x->status);
	exchange_free_handle(x);
	release_members(x);
	release_prefill(x);
	x->step = EXCHANGE_IDLE;
	dispatch(x);
	return true;
}

static void clear_answer(struct exchange *x)
{
	x->status = 0;
	x->answer_not_run = false;
	x->is_stream_answer = false;
	x->body_overflow = false;
	g_array_set_size(x->fields, 0);
	g_string_truncate(x->fields_text, 0);
	g_string_truncate(x->body, 0);
	if (x->has_events)
		ks_events_reset(&x->events);
}

/* Copies the fields of an answer that concern the caller. */
static void keep_fields(struct exchange *x, const ks_header_t *headers,
			size_t n)
{
	static const char *const dropped[] = { "connection", "keep-alive",
					       "transfer-encoding",
					       "content-length", "trailer" };
	const ks_dialect_t *dialect = x->gateway->dialect;

	for (size_t i = 0; i < n; i++) {
		ks_header_t field = headers[i];
		bool drop = ks_str_equal(field.name, dialect->not_run);

		for (size_t j = 0; j < G_N_ELEMENTS(dropped); j++)
			drop |= ks_str_equal(field.name,
					     ks_str_from(dropped[j]));
		if (drop)
			continue;
		/* Offsets for now, as the text may move while it grows. */
		field.name.data = GSIZE_TO_POINTER(x->fields_text->len);
		g_string_append_len(x->fields_text, headers[i].name.data,
				    (gssize)headers[i].name.len);
		field.value.data = GSIZE_TO_POINTER(x->fields_text->len);
		g_string_append_len(x->fields_text, headers[i].value.data,
				    (gssize)headers[i].value.len);
		g_array_append_val(x->fields, field);
	}
	for (guint i = 0; i < x->fields->len; i++) {
		ks_header_t *field = &g_array_index(x->fields, ks_header_t, i);

		field->name.data = x->fields_text->str +
				   GPOINTER_TO_SIZE(field->name.data);
		field->value.data = x->fields_text->str +
				    GPOINTER_TO_SIZE(field->value.data);
	}
}

static void start_answer(struct exchange *x, int64_t length)
{
	x->started = true;
	ks_http1_start(x->caller, x->status,
		       (const ks_header_t *)(void *)x->fields->data,
		       x->fields->len, length);
	ks_histogram_record(x->gateway->counters.first_byte,
			    now_of(x) - x->arrived_us);
}

static bool is_event_stream(const ks_header_t *headers, size_t n)
{
	return ks_str_has_prefix(ks_header_value(headers, n, "content-type"),
				 KS_STR("text/event-stream"));
}

static void on_run_head(void *ctx, int status, const ks_header_t *headers,
			size_t n)
{
	struct exchange *x = ctx;

	x->status = status;
	x->answer_not_run =
		ks_header_find(headers, n, x->gateway->dialect->not_run.data) !=
		NULL;
	x->is_stream_answer =
		status / 100 == 2 && (x->route->kind == KS_CALL_STREAM ||
				      is_event_stream(headers, n));
	/* A resumed stream keeps the head of its first upstream. */
	if (x->started)
		return;
	keep_fields(x, headers, n);
	if (x->is_stream_answer && x->caller)
		start_answer(x, -1);
}

static void note_read(struct exchange *x)
{
	if (x->first_event_seen)
		return;
	x->first_event_seen = true;
	x->member->reading_tokens -= x->run_tokens;
	x->run_tokens = 0;
	ks_peers_note_change(&x->gateway->peers);
	if (x->has_prompt)
		ks_member_note_cached(x->member, &x->prompt, now_of(x));
}

static void forward(struct exchange *x, ks_str_t data)
{
	ks_http1_body(x->caller, data);
	if (ks_http1_pending(x->caller) > HIGH_WATER_BYTES)
		ks_http_call_pause(&x->call);
}

static void forward_events(struct exchange *x, ks_str_t data)
{
	GString *whole = g_string_new(NULL);

	ks_events_feed(&x->events, data, whole);
	forward(x, (ks_str_t){ whole->str, whole->len });
	g_string_free(whole, TRUE);
}

static void on_run_body(void *ctx, ks_str_t data)
{
	struct exchange *x = ctx;

	if (x->step == EXCHANGE_DETACHED)
		return;
	/* A resumed stream that was refused or failed has no further events. */
	if (x->started && x->status / 100 != 2)
		return;
	if (x->is_stream_answer && x->started) {
		note_read(x);
		if (x->has_events)
			forward_events(x, data);
		else
			forward(x, data);
		return;
	}
	if (x->started) {
		forward(x, data);
		return;
	}
	g_string_append_len(x->body, data.data, (gssize)data.len);
	if (x->body->len > MAX_HELD_BODY && x->status / 100 == 2 && x->caller) {
		/* Too long to hold; a cut is passed on as a cut. */
		start_answer(x, -1);
		forward(x, (ks_str_t){ x->body->str, x->body->len });
		g_string_truncate(x->body, 0);
	}
}

static void on_drained(void *ctx)
{
	struct exchange *x = ctx;

	ks_http_call_resume(&x->call);
}

static void end_answered(struct exchange *x)
{
	ks_http1_request_t *caller = x->caller;

	x->caller = NULL;
	ks_http1_end(caller);
	ks_counter_add(x->gateway->counters.answered, 1);
	ks_histogram_record(x->gateway->counters.whole,
			    now_of(x) - x->arrived_us);
	log_end(x, KS_LOG_DEBUG, "answered", x->status);
	free_exchange(x);
}

static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Passes on an answer that is complete. */
static void pass_on(struct exchange *x)
{
	if (x->answer_not_run) {
		give_up(x, RETRY_OVERLOADED_S, "refused by the upstream");
		return;
	}
	if (x->started && x->status / 100 != 2) {
		give_up(x, 0, "the stream could not be resumed");
		return;
	}
	/* Such a status would promise that the request has not run. */
	if (promises_not_run(x->status)) {
		answer_own(x, 502, 0, "the upstream failed");
		return;
	}
	if (x->started && x->has_events)
		ks_http1_body(x->caller, (ks_str_t){ x->events.partial->str,
						     x->events.partial->len });
	if (!x->started) {
		start_answer(x, (int64_t)x->body->len);
		ks_http1_body(x->caller,
			      (ks_str_t){ x->body->str, x->body->len });
	}
	end_answered(x);
}

static void note_health(struct exchange *x, ks_http_result_t result)
{
	int64_t now = now_of(x);
	bool failed = result != KS_HTTP_WHOLE ||
		      (x->status >= 500 && !x->answer_not_run);

	ks_member_note_outcome(x->member, failed, now);
	if (failed)
		ks_ejection_failure(&x->member->health, now, &x->gateway->rng);
	else
		ks_ejection_success(&x->member->health);
}

/* An answer has come to its end. */
static void on_run_whole(struct exchange *x)
{
	if (x->answer_not_run) {
		x->refused_by_upstream = true;
		avoid_member(x);
		if (try_again(x, "sent again after a refusal"))
			return;
	} else {
		x->runs++;
		if (x->status >= 500 && !x->started) {
			avoid_member(x);
			if (try_again(x, "sent again after a failure"))
				return;
		}
	}
	pass_on(x);
}

static void on_run_done(void *ctx, ks_http_result_t result)
{
	struct exchange *x = ctx;

	/* Taken, or gone with the upstream that would have taken it. */
	g_free(x->handle);
	x->handle = NULL;
	g_string_truncate(x->kv_source, 0);
	note_health(x, result);
	if (!x->caller || x->step == EXCHANGE_DETACHED) {
		log_end(x, KS_LOG_INFO, "ended after its caller", x->status);
		free_exchange(x);
		return;
	}
	if (result == KS_HTTP_WHOLE) {
		on_run_whole(x);
		return;
	}
	avoid_member(x);
	if (result != KS_HTTP_NOT_SENT)
		x->runs++;
	if (try_again(x, x->started ? "resumed after a cut"
				    : "sent again after a loss"))
		return;
	give_up(x, RETRY_OVERLOADED_S, "lost");
}

static const ks_http_events_t run_events = {
	.head = on_run_head,
	.body = on_run_body,
	.done = on_run_done,
};

static void start_run(struct exchange *x)
{
	clear_answer(x);
	x->step = EXCHANGE_RUN;
	x->first_event_seen = false;
	x->sends++;
	exchange_send(x, x->member, false, &run_events);
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

	if (x->body->len + data.len <= MAX_HELD_BODY)
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
	ks_member_note_cached(x->prefill_member, &x->prompt, now_of(x));
}

/*
 * The prompt can be read by the upstream that runs the request instead, which
 * is slower but needs no other upstream.
 */
static void on_prefill_done(void *ctx, ks_http_result_t result)
{
	struct exchange *x = ctx;
	ks_member_t *reader = x->prefill_member;

	reader->reading_tokens -= x->reading_tokens;
	x->reading_tokens = 0;
	ks_peers_note_change(&x->gateway->peers);
	if (result == KS_HTTP_WHOLE && x->status == 200)
		x->handle = parse_handle(x);
	if (x->handle) {
		ks_ejection_success(&reader->health);
		ks_member_note_outcome(reader, false, now_of(x));
		take_handle(x);
	} else {
		ks_member_note_outcome(reader, !x->answer_not_run, now_of(x));
		if (!x->answer_not_run)
			ks_ejection_failure(&reader->health, now_of(x),
					    &x->gateway->rng);
		log_end(x, KS_LOG_INFO, "the prompt could not be read ahead",
			x->status);
	}
	if (!x->member->accepting) {
		exchange_free_handle(x);
		release_members(x);
		release_prefill(x);
		dispatch(x);
		return;
	}
	start_run(x);
}

static const ks_http_events_t prefill_events = {
	.head = on_prefill_head,
	.body = on_prefill_body,
	.done = on_prefill_done,
};

static void start_prefill(struct exchange *x)
{
	clear_answer(x);
	x->step = EXCHANGE_PREFILL;
	x->prefills++;
	ks_counter_add(x->gateway->counters.splits, 1);
	exchange_send(x, x->prefill_member, true, &prefill_events);
}

static void dispatch(struct exchange *x)
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
		.now_us = now_of(x),
		.draw = ks_rng_below(&gateway->rng, G_MAXINT32),
	};
	ks_placement_t placement = ks_placement_choose(members, &query);

	if (!placement.run && x->avoid->len) {
		query.avoid = NULL;
		placement = ks_placement_choose(members, &query);
	}
	g_ptr_array_free(members, TRUE);
	if (!placement.run) {
		give_up(x, RETRY_NOT_READY_S, "no upstream");
		return;
	}
	x->member = ks_member_ref(placement.run);
	x->member->running++;
	x->run_tokens = placement.run_tokens;
	x->member->reading_tokens += x->run_tokens;
	ks_ejection_dispatch(&x->member->health, now_of(x));
	ks_peers_note_change(&gateway->peers);
	if (!placement.prefill) {
		start_run(x);
		return;
	}
	x->prefill_member = ks_member_ref(placement.prefill);
	x->reading_tokens = placement.prefill_tokens;
	x->prefill_member->reading_tokens += x->reading_tokens;
	ks_ejection_dispatch(&x->prefill_member->health, now_of(x));
	start_prefill(x);
}

/* A call that must not be repeated is left to run, so that it is not half done.
 */
static void on_gone(void *ctx)
{
	struct exchange *x = ctx;
	ks_http1_request_t *caller = x->caller;

	x->caller = NULL;
	ks_http1_cut(caller);
	ks_counter_add(x->gateway->counters.gone, 1);
	log_end(x, KS_LOG_DEBUG, "caller gone", 0);
	if (x->route->kind == KS_CALL_ONCE && x->step == EXCHANGE_RUN &&
	    x->call.sent) {
		x->step = EXCHANGE_DETACHED;
		return;
	}
	free_exchange(x);
}

static struct exchange *new_exchange(ks_gateway_t *gateway,
				     ks_http1_request_t *request)
{
	struct exchange *x = g_new0(struct exchange, 1);
	ks_str_t id = ks_header_value(request->headers, request->n_headers,
				      gateway->dialect->request_id.data);

	x->gateway = gateway;
	x->caller = request;
	x->id = ks_str_dup(id);
	x->arrived_us = ks_loop_now(gateway->loop);
	x->request_fields = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	x->field_texts = g_ptr_array_new_with_free_func(g_free);
	x->avoid =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_member_unref);
	x->kv_source = g_string_new(NULL);
	x->fields = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	x->fields_text = g_string_new(NULL);
	x->body = g_string_new(NULL);
	ks_events_init(&x->events);
	ks_timer_init(&x->timer, gateway->loop, on_final, x);
	ks_list_append(&gateway->exchanges, &x->node);
	exchange_keep_request(x, request);
	request->ctx = x;
	request->gone = on_gone;
	request->drained = on_drained;
	return x;
}

static void set_deadline(struct exchange *x, const ks_http1_request_t *request)
{
	int64_t left_ms, left_us = x->route->timeout_us;
	ks_str_t text = ks_header_value(request->headers, request->n_headers,
					x->gateway->dialect->time_left_ms.data);

	if (ks_str_parse_int(text, 0, G_MAXINT32, &left_ms))
		left_us = MIN(left_us, left_ms * KS_USEC_PER_MSEC);
	x->left_us = x->arrived_us + left_us;
	x->final_us = x->left_us + FINAL_MARGIN_US;
	ks_timer_set(&x->timer, x->final_us - x->arrived_us);
}

static ks_str_t path_of(ks_str_t target)
{
	const char *query =
		target.len ? memchr(target.data, '?', target.len) : NULL;

	if (query)
		target.len = (size_t)(query - target.data);
	return target;
}

/*
 * A configuration that was confirmed this recently knows every route: the store
 * holds a call for changes for 2 s at most.
 */
#define FRESH_US (2500 * KS_USEC_PER_MSEC)

static void refuse_unrouted(struct exchange *x)
{
	const ks_gateway_t *gateway = x->gateway;

	if (!gateway->traffic)
		answer_own(x, 503, RETRY_NOT_READY_S, "no configuration yet");
	else if (now_of(x) - gateway->confirmed_us > FRESH_US)
		answer_own(x, 503, RETRY_NOT_READY_S,
			   "no route in an old configuration");
	else
		answer_own(x, 404, 0, "no route");
}

/**
 * exchange_start() - forward a request
 */
void exchange_start(ks_gateway_t *gateway, ks_http1_request_t *request)
{
	struct exchange *x = new_exchange(gateway, request);
	ks_str_t parts;

	ks_counter_add(gateway->counters.requests, 1);
	if (gateway->traffic) {
		x->traffic = ks_traffic_ref(gateway->traffic);
		x->route = ks_traffic_match(
			x->traffic, (ks_str_t){ x->host->str, x->host->len },
			path_of(request->target));
	}
	if (!x->route) {
		refuse_unrouted(x);
		return;
	}
	if (!*x->id) {
		answer_own(x, 400, 0, "no request id");
		return;
	}
	x->service_name = ks_route_pick(
		x->route, ks_rng_below(&gateway->rng, G_MAXINT32));
	x->service = x->service_name
			     ? ks_traffic_service(x->traffic, x->service_name)
			     : NULL;
	if (!x->service) {
		answer_own(x, 503, RETRY_NOT_READY_S, "route without service");
		return;
	}
	set_deadline(x, request);
	parts = ks_header_value(request->headers, request->n_headers,
				gateway->dialect->prompt_parts.data);
	x->has_prompt =
		x->service->is_engine && ks_prompt_parse(&x->prompt, parts);
	x->may_split = x->has_prompt && x->service->moves_kv;
	x->has_events = x->route->kind == KS_CALL_STREAM && x->route->resumable;
	ks_budget_request(gateway_budget(gateway, x->service_name), now_of(x));
	dispatch(x);
}

/**
 * exchange_abandon() - end an exchange because the process ends
 */
void exchange_abandon(struct exchange *x)
{
	if (x->caller)
		ks_http1_cut(x->caller);
	x->caller = NULL;
	free_exchange(x);
}
