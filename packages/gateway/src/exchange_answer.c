/*
 * The answer of an upstream on its way to the caller. It is passed on only
 * where the caller can tell a whole answer from a cut one.
 */
#include "gateway_internal.h"

#include <string.h>

/* An answer that is not a stream is checked whole up to this size. */
#define MAX_HELD_BODY (1024 * 1024)

/* Output that the caller has yet to take, before an upstream is paused. */
#define HIGH_WATER_BYTES (256 * 1024)

void exchange_clear_answer(struct exchange *x)
{
	x->status = 0;
	x->answer_not_run = false;
	x->is_stream_answer = false;
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
			    exchange_now(x) - x->arrived_us);
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

static void note_part(struct exchange *x)
{
	int64_t now = exchange_now(x);

	if (x->first_us)
		x->longest_pause_us =
			MAX(x->longest_pause_us, now - x->latest_us);
	else
		x->first_us = now;
	x->latest_us = now;
}

static void note_read(struct exchange *x)
{
	note_part(x);
	if (x->first_event_seen)
		return;
	x->first_event_seen = true;
	x->member->reading_tokens -= x->run_tokens;
	x->run_tokens = 0;
	ks_peers_note_change(&x->gateway->peers);
	if (x->has_prompt)
		exchange_note_cached(x, x->member);
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

void exchange_resume_answer(void *ctx)
{
	struct exchange *x = ctx;

	ks_http_call_resume(&x->call);
}

static bool is_late(const struct exchange *x)
{
	int64_t first = x->first_us ? x->first_us : exchange_now(x);

	return (x->route->objective_us &&
		first - x->arrived_us > x->route->objective_us) ||
	       (x->route->max_pause_us &&
		x->longest_pause_us > x->route->max_pause_us);
}

/* Says which wait made an answer late. */
static void note_times(const struct exchange *x)
{
	const struct gateway_metrics *counters = &x->gateway->counters;
	bool late = is_late(x);

	ks_counter_add(counters->answered, 1);
	ks_counter_add(counters->late, late);
	ks_histogram_record(counters->whole, exchange_now(x) - x->arrived_us);
	if (x->prefills)
		ks_histogram_record(counters->prefill, x->prefill_us);
	if (x->first_us) {
		ks_histogram_record(counters->run_wait,
				    x->first_us - x->sent_us);
		ks_histogram_record(counters->pause, x->longest_pause_us);
	}
	exchange_log_times(x, late ? KS_LOG_INFO : KS_LOG_DEBUG,
			   late ? "answered late" : "answered");
}

static void end_answered(struct exchange *x)
{
	ks_http1_request_t *caller = x->caller;

	x->caller = NULL;
	ks_http1_end(caller);
	note_times(x);
	exchange_free(x);
}

static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Passes on an answer that is complete. */
static void pass_on(struct exchange *x)
{
	if (x->answer_not_run) {
		exchange_give_up(x, RETRY_OVERLOADED_S,
				 "refused by the upstream");
		return;
	}
	if (x->started && x->status / 100 != 2) {
		exchange_give_up(x, 0, "the stream could not be resumed");
		return;
	}
	/* Such a status would promise that the request has not run. */
	if (promises_not_run(x->status)) {
		exchange_answer_own(x, 502, 0, "the upstream failed");
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
	int64_t now = exchange_now(x);
	bool refused = result == KS_HTTP_COMPLETE && x->answer_not_run;
	bool failed =
		!refused && (result != KS_HTTP_COMPLETE || x->status >= 500);

	ks_member_note_outcome(x->member, failed || refused, now);
	if (failed)
		ks_ejection_failure(&x->member->health, now, &x->gateway->rng);
	else if (!refused)
		ks_ejection_success(&x->member->health);
}

/* An answer has come to its end. */
static void on_run_whole(struct exchange *x)
{
	if (x->answer_not_run) {
		exchange_avoid_member(x);
		if (exchange_try_again(x, "sent again after a refusal"))
			return;
	} else {
		x->runs++;
		if (x->status >= 500 && !x->started) {
			exchange_avoid_member(x);
			if (exchange_try_again(x, "sent again after a failure"))
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
		exchange_log(x, KS_LOG_INFO, "ended after its caller",
			     x->status);
		exchange_free(x);
		return;
	}
	if (result == KS_HTTP_COMPLETE) {
		on_run_whole(x);
		return;
	}
	exchange_avoid_member(x);
	if (result != KS_HTTP_NOT_SENT)
		x->runs++;
	if (exchange_try_again(x, x->started ? "resumed after a cut"
					     : "sent again after a loss"))
		return;
	exchange_give_up(x, RETRY_OVERLOADED_S, "lost");
}

static const ks_http_events_t run_events = {
	.head = on_run_head,
	.body = on_run_body,
	.done = on_run_done,
};

void exchange_run(struct exchange *x)
{
	exchange_clear_answer(x);
	x->step = EXCHANGE_RUN;
	x->first_event_seen = false;
	x->sends++;
	x->sent_us = exchange_now(x);
	exchange_send(x, x->member, false, &run_events);
}
