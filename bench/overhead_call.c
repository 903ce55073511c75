/* Calls of the overhead benchmark and the event loop that runs them. */
#include "overhead.h"

#include <string.h>

#define CALL_TIMEOUT_US (600 * KS_USEC_PER_SEC)
#define POLL_INTERVAL_US (10 * KS_USEC_PER_MSEC)

static void on_head(void *ctx, int status,
		    const ks_header_t *headers G_GNUC_UNUSED,
		    size_t n_headers G_GNUC_UNUSED)
{
	overhead_call_t *call = ctx;

	call->status = status;
}

/* Counts server-sent events, each of which ends with an empty line. */
static void on_body(void *ctx, ks_str_t data)
{
	overhead_call_t *call = ctx;
	int64_t now = ks_loop_now(&call->run->loop);

	for (size_t i = 0; i < data.len; i++) {
		if (data.data[i] == '\n' && call->last_byte == '\n') {
			call->n_tokens++;
			call->run->n_tokens++;
			if (call->run->on_token)
				call->run->on_token(call, now);
		}
		call->last_byte = data.data[i];
	}
}

static void on_done(void *ctx, ks_http_result_t result)
{
	overhead_call_t *call = ctx;
	overhead_run_t *run = call->run;

	call->done_us = ks_loop_now(&run->loop);
	call->complete = result == KS_HTTP_COMPLETE && call->status == 200;
	ks_list_remove(&call->node);
	run->active--;
	if (call->complete)
		run->n_complete++;
	else
		run->n_failed++;
	if (run->on_finished)
		run->on_finished(call);
	g_free(call);
}

static const ks_http_events_t call_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static overhead_call_t *start_call(overhead_run_t *run, bool via, int kind,
				   ks_http_request_t *request)
{
	overhead_call_t *call = g_new0(overhead_call_t, 1);
	char *bearer = g_strdup_printf("Bearer %s", run->options->api_key);
	ks_header_t headers[] = {
		{ KS_STR("authorization"), ks_str_from(bearer) },
		{ KS_STR("x-request-timeout-ms"), KS_STR("600000") },
		{ KS_STR("content-type"), KS_STR("application/json") },
	};

	call->run = run;
	call->via = via;
	call->kind = kind;
	request->address = via ? run->options->via : run->options->direct;
	request->headers = headers;
	request->n_headers = G_N_ELEMENTS(headers);
	request->timeout_us = CALL_TIMEOUT_US;
	request->reuse = true;
	ks_list_append(&run->calls, &call->node);
	run->active++;
	call->sent_us = ks_loop_now(&run->loop);
	ks_http_call_start(&call->http, &run->client, request, &call_events,
			   call);
	g_free(bearer);
	return call;
}

/**
 * overhead_lookup() - send a short idempotent request to the plain service
 * @via: whether to send it through the entry
 * @kind: stored in the call
 *
 * Return: the call; it is freed when it ends.
 */
overhead_call_t *overhead_lookup(overhead_run_t *run, bool via, int kind)
{
	ks_http_request_t request = {
		.method = KS_STR("GET"),
		.target = KS_STR("/basket/size?basket=1"),
	};

	return start_call(run, via, kind, &request);
}

/**
 * overhead_stream() - request a streamed completion
 * @via: whether to send it through the entry
 * @kind: stored in the call
 *
 * Return: the call; it is freed when it ends.
 */
overhead_call_t *overhead_stream(overhead_run_t *run, bool via, int kind,
				 unsigned output_tokens)
{
	char *prompt = g_strnfill(run->options->prompt_tokens * 4, 'p');
	char *body = g_strdup_printf(
		"{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u,"
		"\"stream\":true}",
		run->options->model, prompt, output_tokens);
	ks_http_request_t request = {
		.method = KS_STR("POST"),
		.target = KS_STR("/v1/completions"),
		.body = ks_str_from(body),
	};
	overhead_call_t *call = start_call(run, via, kind, &request);

	g_free(prompt);
	g_free(body);
	return call;
}

/**
 * overhead_run_init() - set up a measurement without calls
 */
void overhead_run_init(overhead_run_t *run, const overhead_options_t *options)
{
	memset(run, 0, sizeof(*run));
	run->options = options;
	ks_list_init(&run->calls);
	ks_loop_init(&run->loop, ks_clock_monotonic());
	ks_http_client_init(&run->client, &run->loop);
}

/**
 * overhead_run_deinit() - cancel the calls in flight and free the run
 */
void overhead_run_deinit(overhead_run_t *run)
{
	KS_LIST_FOREACH_SAFE (it, next, &run->calls) {
		overhead_call_t *call =
			KS_CONTAINER_OF(it, overhead_call_t, node);

		ks_list_remove(&call->node);
		ks_http_call_cancel(&call->http);
		g_free(call);
	}
	ks_http_client_deinit(&run->client);
	ks_loop_deinit(&run->loop);
}

/**
 * overhead_run_until() - run the event loop until a time
 * @until_us: time of the loop's clock, in microseconds
 */
void overhead_run_until(overhead_run_t *run, int64_t until_us)
{
	int64_t now;

	while ((now = ks_loop_now(&run->loop)) < until_us)
		ks_loop_run_once(&run->loop,
				 MIN(until_us - now, POLL_INTERVAL_US));
}

/**
 * overhead_wait() - run the event loop until no call is in flight
 * @limit_us: longest wait, in microseconds
 */
void overhead_wait(overhead_run_t *run, int64_t limit_us)
{
	int64_t end = ks_loop_now(&run->loop) + limit_us;

	while (run->active > 0 && ks_loop_now(&run->loop) < end)
		ks_loop_run_once(&run->loop, POLL_INTERVAL_US);
}
