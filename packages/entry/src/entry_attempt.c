/* Events of attempts: relayed responses, retries and resumption of streams. */
#include "entry_internal.h"

#include <jansson.h>

/* Weight of the newest value in exponentially weighted moving averages. */
#define EWMA_WEIGHT 0.1
/*
 * With less time left, an attempt cannot complete: the upstream process aborts
 * it at its own deadline, which is slightly earlier than that of the entry.
 */
#define MIN_RETRY_US (20 * KS_USEC_PER_MSEC)

static void update_ewma(double *mean, double value)
{
	*mean += EWMA_WEIGHT * (value - *mean);
}

static void subtract_output(struct entry_attempt *attempt, uint64_t tokens)
{
	tokens = MIN(tokens, attempt->output_tokens);
	attempt->output_tokens -= tokens;
	attempt->upstream->output_tokens -= tokens;
}

static void subtract_prompt(struct entry_attempt *attempt)
{
	attempt->upstream->prompt_tokens -= attempt->prompt_tokens;
	attempt->prompt_tokens = 0;
}

static void free_attempt(struct entry_attempt *attempt)
{
	struct entry_upstream *upstream = attempt->upstream;

	subtract_prompt(attempt);
	subtract_output(attempt, attempt->output_tokens);
	upstream->in_flight--;
	ks_list_remove(&attempt->node);
	g_free(attempt);
	if (upstream->is_withdrawn && !upstream->in_flight)
		ks_timer_set(&upstream->entry->reap_timer, 0);
}

/* Frees an attempt after its last event. Return: its request, or NULL. */
static struct entry_request *end_attempt(struct entry_attempt *attempt)
{
	struct entry_request *request = attempt->request;

	if (request) {
		request->attempt = NULL;
		entry_stream_reset_attempt(request);
	}
	free_attempt(attempt);
	return request;
}

/**
 * entry_attempt_detach() - detach a request from its attempt in flight, if any
 *
 * The attempt is cancelled if the request is idempotent. It counts as in flight
 * until its last event.
 */
void entry_attempt_detach(struct entry_request *request)
{
	struct entry_attempt *attempt = request->attempt;

	if (!attempt)
		return;
	request->attempt = NULL;
	entry_stream_reset_attempt(request);
	attempt->request = NULL;
	/* Unread data would use up the flow control credit of the end event. */
	ks_attempt_consume(attempt->attempt, SIZE_MAX);
	if (request->is_idempotent)
		ks_attempt_cancel(attempt->attempt);
	if (attempt->upstream->is_withdrawn && attempt->upstream->is_link_lost)
		ks_timer_set(&request->entry->reap_timer, 0);
}

/**
 * entry_attempt_consume() - return flow control credit to the attempt in flight
 * @len: bytes of the response that were consumed
 */
void entry_attempt_consume(struct entry_request *request, size_t len)
{
	if (len && request->attempt)
		ks_attempt_consume(request->attempt->attempt, len);
}

/*
 * Called once the prompt is prefilled, not when it is sent: an engine looks up
 * its cache when a prompt joins the batch, so prompts that share a prefix and
 * arrive together are all computed in full.
 */
static void record_cached_prefix(const struct entry_request *request,
				 int64_t now)
{
	const GArray *hashes = request->completion.prefix_hashes;

	if (hashes && hashes->len)
		ks_prefix_index_add(
			request->attempt->upstream->prefix_cache,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, now);
}

/**
 * entry_attempt_record_token() - update estimates and histograms for a token
 * event of a stream
 */
void entry_attempt_record_token(struct entry_request *request)
{
	struct entry_attempt *attempt = request->attempt;
	int64_t now = ks_loop_now(request->entry->loop);

	if (!attempt)
		return;
	subtract_output(attempt, 1);
	if (attempt->tokens++ == 0) {
		entry_capacity_record_first_token(attempt, now);
		record_cached_prefix(request, now);
		subtract_prompt(attempt);
		if (!request->stream.delivered)
			ks_histogram_record(request->class->first_token,
					    now - request->start_us);
	} else {
		entry_capacity_record_decode_step(attempt, now);
		ks_histogram_record(request->class->between_tokens,
				    now - attempt->last_token_us);
	}
	attempt->last_token_us = now;
}

/**
 * entry_attempt_record_cached() - correct the estimate of the engine's cache
 * @tokens: prompt tokens that the engine reported as cached
 */
void entry_attempt_record_cached(struct entry_request *request, uint32_t tokens)
{
	const GArray *hashes = request->completion.prefix_hashes;
	int64_t now = ks_loop_now(request->entry->loop);
	struct entry_upstream *upstream;

	if (!request->attempt || !hashes || !hashes->len)
		return;
	upstream = request->attempt->upstream;
	ks_prefix_index_correct(upstream->prefix_cache,
				(const uint64_t *)(const void *)hashes->data,
				hashes->len, tokens / KS_PREFIX_BLOCK_TOKENS,
				now);
	/* When usage is reported, the whole prompt has been prefilled. */
	record_cached_prefix(request, now);
}

static void record_failure(struct entry_request *request,
			   const struct entry_upstream *upstream,
			   ks_error_kind_t kind)
{
	g_ptr_array_add(request->failed_domains, g_strdup(upstream->domain));
	g_clear_pointer(&request->lost_link_upstream, g_free);
	/* A lost link does not mean that its upstream has failed. */
	if (kind == KS_ERROR_NO_UPSTREAM || kind == KS_ERROR_OUTCOME_UNKNOWN)
		request->lost_link_upstream = g_strdup(upstream->id);
}

/* Return: false if the request must not be retried and so has failed. */
static bool retry_elsewhere(struct entry_request *request,
			    const ks_attempt_failure_t *failure)
{
	ks_entry_t *entry = request->entry;
	int64_t left = request->deadline_us - ks_loop_now(entry->loop);

	if (!request->req || request->responded || left < MIN_RETRY_US)
		return false;
	if (!ks_retry_allowed(&entry->retries, failure, request->is_idempotent,
			      request->n_attempts, left))
		return false;
	g_string_truncate(request->response_body, 0);
	request->is_streaming = false;
	entry_attempt_dispatch(request);
	return true;
}

static void on_accepted(void *ctx)
{
	struct entry_attempt *attempt = ctx;

	if (attempt->request)
		attempt->request->may_have_run = true;
}

static void on_not_started(void *ctx, ks_error_kind_t kind,
			   int64_t retry_after_us)
{
	struct entry_attempt *attempt = ctx;
	struct entry_upstream *upstream = attempt->upstream;
	struct entry_request *request = end_attempt(attempt);
	ks_attempt_failure_t failure = { .kind = kind, .not_started = true };

	if (!request)
		return;
	if (request->split.step == ENTRY_SPLIT_PREFILL) {
		entry_split_fall_back(request);
		return;
	}
	record_failure(request, upstream, kind);
	if (retry_elsewhere(request, &failure))
		return;
	if (!ks_error_answer(kind)->not_run)
		kind = KS_ERROR_NO_UPSTREAM;
	entry_request_fail(request, kind, retry_after_us, NULL);
}

static bool is_event_stream(const char *content_type)
{
	return content_type &&
	       !g_ascii_strncasecmp(content_type, "text/event-stream", 17);
}

static void on_head(void *ctx, int status, const ks_header_t *headers,
		    size_t n_headers)
{
	struct entry_attempt *attempt = ctx;
	struct entry_request *request = attempt->request;

	if (!request)
		return;
	request->may_have_run = true;
	request->status = status;
	entry_response_store_headers(request, headers, n_headers);
	request->is_streaming = request->is_completion && status == 200 &&
				is_event_stream(request->content_type);
}

static void on_body(void *ctx, ks_str_t data)
{
	struct entry_attempt *attempt = ctx;
	struct entry_request *request = attempt->request;
	size_t limit;

	if (!request) {
		ks_attempt_consume(attempt->attempt, data.len);
		return;
	}
	limit = (size_t)request->entry->settings->max_answer_kib * 1024;
	if (request->is_streaming) {
		if (!entry_stream_receive(request, data))
			entry_request_fail(request, KS_ERROR_ANSWER_TOO_LARGE,
					   0, NULL);
		return;
	}
	if (request->response_body->len + data.len > limit) {
		entry_request_fail(request, KS_ERROR_ANSWER_TOO_LARGE, 0, NULL);
		return;
	}
	g_string_append_len(request->response_body, data.data,
			    (gssize)data.len);
	ks_attempt_consume(attempt->attempt, data.len);
}

static void record_upstream_result(struct entry_upstream *upstream,
				   ks_error_kind_t kind, int status)
{
	ks_entry_t *entry = upstream->entry;

	if (kind == KS_ERROR_NONE && status != 502 && status != 503 &&
	    status != 504)
		ks_ejection_success(&upstream->ejection);
	else if (kind != KS_ERROR_SLOW_READER &&
		 kind != KS_ERROR_ANSWER_TOO_LARGE &&
		 kind != KS_ERROR_DEADLINE_EXCEEDED)
		ks_ejection_failure(&upstream->ejection,
				    ks_loop_now(entry->loop), &entry->rng);
}

static void finish_buffered(struct entry_request *request)
{
	bool respond;

	if (request->claim) {
		ks_ledger_done(request->claim, request->status,
			       ks_str_from(request->content_type),
			       (ks_str_t){ request->response_body->str,
					   request->response_body->len });
		request->claim = NULL;
	}
	respond = request->req && !request->responded;
	request->responded = true;
	entry_request_complete(request,
			       request->status < 400 ? "ok" : "upstream_error");
	if (respond)
		entry_response_send_buffered(request);
}

static void fail_with_text(struct entry_request *request, ks_error_kind_t kind,
			   ks_str_t message)
{
	char *text = message.len ? ks_str_dup(message) : NULL;

	entry_request_fail(request, kind, 0, text);
	g_free(text);
}

static bool ends_with_object(ks_str_t text)
{
	while (text.len && g_ascii_isspace(text.data[text.len - 1]))
		text.len--;
	return text.len && text.data[text.len - 1] == '}';
}

/*
 * A completion that is not streamed is one JSON document. An engine that gives
 * its response no length and fails ends it regularly, anywhere.
 */
static bool is_half_completion(const struct entry_request *request)
{
	const char *type = request->content_type;
	ks_str_t text = { request->response_body->str,
			  request->response_body->len };
	json_t *json;

	if (!request->is_completion || request->status != 200 || !type ||
	    g_ascii_strncasecmp(type, "application/json", 16) != 0)
		return false;
	if (text.len > ENTRY_MAX_JSON_BYTES)
		return !ends_with_object(text);
	json = entry_json_load(text);
	json_decref(json);
	return !json;
}

static bool is_complete(const struct entry_request *request)
{
	if (!request->status)
		return false;
	/* The engine truncated a stream that ends without [DONE]. */
	if (request->is_streaming)
		return request->stream.done_seen;
	/* A response that is not a stream cannot continue one already begun. */
	return !request->stream.started && !is_half_completion(request);
}

/*
 * The resume position is a count of token events, which is ambiguous when the
 * stream interleaves several choices.
 */
static bool can_resume(const struct entry_request *request)
{
	return request->completion.n_choices == 1 &&
	       !request->stream.finish_seen;
}

/* Retries, resumes or fails a request whose attempt may have run. */
static void handle_attempt_failure(struct entry_request *request,
				   const struct entry_upstream *upstream,
				   ks_error_kind_t kind, ks_str_t message)
{
	ks_attempt_failure_t failure = { .kind = kind };

	request->failed_kind = kind;
	record_failure(request, upstream, kind);
	/*
	 * Delivered tokens rule out a retry unless the stream can be resumed.
	 */
	failure.delivered = request->stream.delivered &&
			    !(upstream->can_resume && can_resume(request));
	if (failure.delivered || !retry_elsewhere(request, &failure))
		fail_with_text(request, kind, message);
}

static void on_end(void *ctx, ks_error_kind_t kind, ks_str_t message)
{
	struct entry_attempt *attempt = ctx;
	struct entry_upstream *upstream = attempt->upstream;
	int64_t took = ks_loop_now(upstream->entry->loop) - attempt->sent_us;
	struct entry_request *request = attempt->request;
	if (request && request->is_completion && !request->is_streaming)
		entry_stream_read_usage(
			request, (ks_str_t){ request->response_body->str,
					     request->response_body->len });
	if (request && kind == KS_ERROR_NONE &&
	    request->split.step == ENTRY_SPLIT_PREFILL)
		entry_capacity_record_first_token(
			attempt, ks_loop_now(upstream->entry->loop));
	end_attempt(attempt);
	if (!request)
		return;
	request->may_have_run = true;
	if (kind == KS_ERROR_NONE && !is_complete(request))
		kind = KS_ERROR_UPSTREAM_FAILED;
	record_upstream_result(upstream, kind, request->status);
	if (request->split.step == ENTRY_SPLIT_PREFILL) {
		entry_split_prefill_done(request, kind == KS_ERROR_NONE);
		return;
	}
	if (kind == KS_ERROR_NONE && entry_split_import_failed(request)) {
		entry_split_fall_back(request);
		return;
	}
	if (kind == KS_ERROR_NONE) {
		update_ewma(&upstream->group->mean_service_us, (double)took);
		if (request->output_tokens && request->completion.max_tokens)
			update_ewma(&upstream->group->output_share,
				    (double)request->output_tokens /
					    request->completion.max_tokens);
		if (request->is_streaming)
			entry_stream_finish(request);
		else
			finish_buffered(request);
		return;
	}
	handle_attempt_failure(request, upstream, kind, message);
}

/**
 * entry_attempt_link_lost() - handle a link that has been down for too long
 *
 * Idempotent requests are retried at another upstream. Other requests wait
 * until their deadline for the link to come back, as the upstream process keeps
 * the response.
 */
void entry_attempt_link_lost(struct entry_attempt *attempt)
{
	struct entry_upstream *upstream = attempt->upstream;
	struct entry_request *request = attempt->request;

	if (!request || (!request->is_idempotent && !request->responded))
		return;
	request->may_have_run = true;
	record_upstream_result(upstream, KS_ERROR_OUTCOME_UNKNOWN, 0);
	entry_attempt_detach(request);
	if (request->split.step == ENTRY_SPLIT_PREFILL) {
		entry_split_fall_back(request);
		return;
	}
	handle_attempt_failure(request, upstream, KS_ERROR_OUTCOME_UNKNOWN,
			       KS_STR("the link to the upstream is down"));
}

const ks_attempt_events_t entry_attempt_events = {
	.accepted = on_accepted,
	.not_started = on_not_started,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};
