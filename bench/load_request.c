/* Sends one request of the load generator and verifies its response. */
#include "load_request.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A call times out this long after the deadline, so that a response past the
 * deadline is counted as late rather than lost.
 */
#define DEADLINE_GRACE_US (5 * KS_USEC_PER_SEC)

/*
 * Error responses and those of plain services are short; data beyond this size
 * is dropped.
 */
#define MAX_BODY_BYTES (1024 * 1024)

static bool is_completion(const load_request_t *request)
{
	return request->class == LOAD_COMPLETION;
}

static void on_head(void *ctx, int status,
		    const ks_header_t *headers G_GNUC_UNUSED,
		    size_t n_headers G_GNUC_UNUSED)
{
	load_request_t *request = ctx;

	request->status = status;
}

static void on_body(void *ctx, ks_str_t data)
{
	load_request_t *request = ctx;

	if (is_completion(request) && request->status == 200) {
		load_stream_feed(&request->stream, data);
		if (request->first_token_us == 0 &&
		    request->stream.text->len > 0)
			request->first_token_us =
				ks_loop_now(request->client->loop);
	} else if (request->body->len + data.len <= MAX_BODY_BYTES) {
		g_string_append_len(request->body, data.data, (gssize)data.len);
	}
}

/* Both copies of a charge must receive the response of the one that ran. */
static bool matches_duplicate(load_request_t *request)
{
	load_pair_t *pair = request->pair;

	if (!pair)
		return true;
	if (pair->answer)
		return g_string_equal(pair->answer, request->body);
	pair->answer = g_string_new_len(request->body->str,
					(gssize)request->body->len);
	return true;
}

static load_verdict_t verify_service(load_request_t *request,
				     const char **reason)
{
	ks_str_t body = { request->body->str, request->body->len };
	const char *member = request->class == LOAD_CHARGE ? "order" : "basket";

	if (!load_verify_id(body, member, request->id))
		*reason = "it names another request";
	else if (request->class == LOAD_CHARGE && !load_verify_executions(body))
		*reason = "the request ran more than once";
	else if (!matches_duplicate(request))
		*reason = "it differs from the answer to the duplicate";
	return *reason ? LOAD_WRONG : LOAD_WHOLE;
}

static load_verdict_t verify_response(load_request_t *request,
				      ks_http_result_t result,
				      const char **reason)
{
	ks_str_t body = { request->body->str, request->body->len };

	if (result == KS_HTTP_NOT_SENT)
		return LOAD_FAILED;
	if (result != KS_HTTP_COMPLETE)
		return request->class == LOAD_CHARGE ? LOAD_UNKNOWN
						     : LOAD_FAILED;
	if (request->status < 200 || request->status > 299)
		return load_verify_error(request->status, body);
	if (!is_completion(request))
		return verify_service(request, reason);
	return load_verify_completion(
		&request->stream,
		(ks_str_t){ request->prompt->str, request->prompt->len },
		request->max_tokens, reason);
}

static void record_latency(load_request_t *request)
{
	load_stats_t *stats = request->stats;
	int64_t now = ks_loop_now(request->client->loop);
	int64_t whole = now - request->sent_us;
	int64_t first = request->first_token_us
				? request->first_token_us - request->sent_us
				: whole;

	g_array_append_val(stats->ttft_us, first);
	g_array_append_val(stats->latency_us, whole);
	if (whole > request->options->timeout_ms * KS_USEC_PER_MSEC)
		stats->late++;
	if (is_completion(request))
		stats->tokens += (uint64_t)request->stream.completion_tokens;
}

static void count_verdict(load_request_t *request, load_verdict_t verdict)
{
	request->stats->verdicts[verdict]++;
	if (request->class == LOAD_CHARGE && request->options->key_log)
		fprintf(request->options->key_log, "%s %s\n", request->id,
			load_verdict_name(verdict));
}

static void on_done(void *ctx, ks_http_result_t result)
{
	load_request_t *request = ctx;
	const char *reason = NULL;
	load_verdict_t verdict = verify_response(request, result, &reason);

	count_verdict(request, verdict);
	if (verdict == LOAD_WHOLE)
		record_latency(request);
	if (verdict == LOAD_WRONG)
		fprintf(stderr, "wrong answer to %s: %s\n", request->id,
			reason);
	request->finished(request->ctx, request);
}

static const ks_http_events_t request_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static char *format_body(const load_request_t *request)
{
	json_t *root;
	char *text;

	if (is_completion(request))
		root = json_pack("{s:s,s:s,s:i,s:b,s:{s:b}}", "model",
				 request->options->model, "prompt",
				 request->prompt->str, "max_tokens",
				 (int)request->max_tokens, "stream", 1,
				 "stream_options", "include_usage", 1);
	else
		root = json_pack("{s:s,s:i}", "order", request->id, "amount",
				 (int)request->max_tokens);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void start_call(load_request_t *request, ks_str_t method,
		       ks_str_t target, ks_str_t body)
{
	const load_options_t *options = request->options;
	char *bearer = g_strdup_printf("Bearer %s", options->api_key);
	char *timeout = g_strdup_printf("%u", options->timeout_ms);
	ks_header_t headers[4] = {
		{ KS_STR("authorization"), ks_str_from(bearer) },
		{ KS_STR("x-request-timeout-ms"), ks_str_from(timeout) },
		{ KS_STR("content-type"), KS_STR("application/json") },
		{ KS_STR("idempotency-key"), ks_str_from(request->id) },
	};
	ks_http_request_t http = {
		.address = options->entries[request->entry],
		.method = method,
		.target = target,
		.headers = headers,
		.n_headers = request->class == LOAD_CHARGE ? 4 : 3,
		.body = body,
		.timeout_us = options->timeout_ms * KS_USEC_PER_MSEC +
			      DEADLINE_GRACE_US,
	};

	ks_http_call_start(&request->call, request->client, &http,
			   &request_events, request);
	g_free(bearer);
	g_free(timeout);
}

/**
 * load_request_send() - send a request and count it as sent
 */
void load_request_send(load_request_t *request)
{
	const load_options_t *options = request->options;
	ks_str_t target = KS_STR("/v1/completions");
	char *lookup, *body;

	request->sent_us = ks_loop_now(request->client->loop);
	request->stats->sent++;
	if (request->class == LOAD_LOOKUP) {
		lookup = g_strdup_printf("%s?basket=%s", options->lookup_path,
					 request->id);
		start_call(request, KS_STR("GET"), ks_str_from(lookup),
			   (ks_str_t){ NULL, 0 });
		g_free(lookup);
		return;
	}
	if (request->class == LOAD_CHARGE)
		target = ks_str_from(options->charge_path);
	body = format_body(request);
	start_call(request, KS_STR("POST"), target, ks_str_from(body));
	free(body);
}

/**
 * load_request_cancel() - abort a request
 *
 * If it is in flight, it is counted as unknown (charges) or failed. @finished
 * is not called.
 */
void load_request_cancel(load_request_t *request)
{
	ks_timer_clear(&request->delay);
	if (!ks_http_call_is_active(&request->call))
		return;
	ks_http_call_cancel(&request->call);
	count_verdict(request, request->class == LOAD_CHARGE ? LOAD_UNKNOWN
							     : LOAD_FAILED);
}

/**
 * load_request_free() - free a request that is not in flight
 */
void load_request_free(load_request_t *request)
{
	load_pair_t *pair = request->pair;

	if (pair && --pair->refs == 0) {
		if (pair->answer)
			g_string_free(pair->answer, TRUE);
		g_free(pair);
	}
	load_stream_deinit(&request->stream);
	g_string_free(request->prompt, TRUE);
	g_string_free(request->body, TRUE);
	g_free(request);
}
