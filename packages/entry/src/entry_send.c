/* Sends attempts to upstreams. */
#include "entry_internal.h"

/*
 * Adjusts the token counts of an attempt that is one step of a split request,
 * since it only prefills or only decodes. A decode attempt does not measure
 * prefill, as most of its prompt is imported.
 */
static void adjust_for_split_step(struct entry_attempt *attempt)
{
	const struct entry_request *request = attempt->request;

	if (request->split.step == ENTRY_SPLIT_PREFILL)
		attempt->output_tokens = 0;
	if (request->split.step != ENTRY_SPLIT_DECODE)
		return;
	attempt->prompt_tokens =
		request->completion.prompt_tokens - request->split.kv_tokens;
	attempt->uncached_tokens = 0;
}

static struct entry_attempt *new_attempt(struct entry_request *request,
					 struct entry_upstream *upstream)
{
	struct entry_attempt *attempt = g_new0(struct entry_attempt, 1);
	const GArray *hashes = request->completion.prefix_hashes;
	uint32_t prompt = request->completion.prompt_tokens;
	uint32_t cached = 0;

	attempt->request = request;
	attempt->upstream = upstream;
	attempt->sent_us = ks_loop_now(request->entry->loop);
	attempt->ahead_tokens =
		entry_capacity_queued_prompt_tokens(upstream, attempt->sent_us);
	attempt->had_free_slot = upstream->in_flight < upstream->limit;
	if (!attempt->ahead_tokens)
		upstream->prefill_since_us = attempt->sent_us;
	ks_ejection_dispatch(&upstream->ejection, attempt->sent_us);
	if (hashes && hashes->len) {
		const uint64_t *data =
			(const uint64_t *)(const void *)hashes->data;

		cached = ks_prefix_index_tokens(upstream->prefix_cache, data,
						hashes->len, attempt->sent_us);
	}
	attempt->uncached_tokens = prompt > cached ? prompt - cached : 0;
	attempt->prompt_tokens = attempt->uncached_tokens;
	attempt->output_tokens = request->completion.max_tokens;
	adjust_for_split_step(attempt);
	upstream->prompt_tokens += attempt->prompt_tokens;
	upstream->output_tokens += attempt->output_tokens;
	upstream->in_flight++;
	ks_list_append(&upstream->attempts, &attempt->node);
	return attempt;
}

static void fill_request(const struct entry_request *request,
			 ks_attempt_request_t *out, const GArray *headers)
{
	int64_t now = ks_loop_now(request->entry->loop);

	out->key.id = request->id;
	out->key.attempt = request->attempt_number;
	out->method = ks_http_req_method(request->req);
	out->path =
		(ks_str_t){ request->req->path.base, request->req->path.len };
	out->headers = (const ks_header_t *)(const void *)headers->data;
	out->n_headers = headers->len;
	out->body = ks_http_req_body(request->req);
	out->timeout_us = request->deadline_us - now;
	out->priority = request->priority;
	out->idempotent = request->is_idempotent;
	out->model = request->is_completion ? ks_str_from(request->group->name)
					    : (ks_str_t){ NULL, 0 };
	out->tenant = ks_str_from(request->tenant->name);
	/* Cached prompt tokens take no time and do not count as pending. */
	out->prompt_tokens = request->attempt->uncached_tokens;
	out->output_tokens = request->completion.max_tokens;
	if (request->split.step == ENTRY_SPLIT_PREFILL)
		out->output_tokens = 0;
	if (request->split.step == ENTRY_SPLIT_DECODE)
		out->prompt_tokens -= request->split.kv_tokens;
}

/*
 * Another upstream can resume a stream only if it samples the same tokens, so a
 * stream without a seed from the caller gets one.
 */
static bool needs_seed(const struct entry_request *request)
{
	return request->completion.stream && !request->completion.has_seed;
}

static GString *add_seed(const struct entry_request *request, ks_str_t body)
{
	/* The body was parsed as a JSON object that is not empty. */
	const char *brace = memchr(body.data, '{', body.len);
	size_t skip = (size_t)(brace + 1 - body.data);
	GString *seeded = g_string_sized_new(body.len + 32);

	g_string_append_printf(seeded, "{\"seed\":%u,",
			       ks_id_hash(&request->id) & INT32_MAX);
	g_string_append_len(seeded, body.data + skip,
			    (gssize)(body.len - skip));
	return seeded;
}

/**
 * entry_attempt_send() - send a request, or one step of a split request, to an
 * upstream
 */
void entry_attempt_send(struct entry_request *request,
			struct entry_upstream *upstream)
{
	struct entry_attempt *attempt = new_attempt(request, upstream);
	GArray *headers = entry_forwarded_request_headers(request);
	GString *seeded = NULL;
	ks_attempt_request_t out;
	char resume_from[16];

	request->attempt = attempt;
	if (request->stream.delivered) {
		ks_header_t header = { KS_STR("x-ks-resume-from"),
				       { resume_from, 0 } };

		header.value.len =
			(size_t)g_snprintf(resume_from, sizeof(resume_from),
					   "%u", request->stream.delivered);
		g_array_append_val(headers, header);
	}
	entry_split_add_headers(request, headers);
	fill_request(request, &out, headers);
	if (upstream->can_resume && needs_seed(request)) {
		seeded = add_seed(request, out.body);
		out.body = (ks_str_t){ seeded->str, seeded->len };
	}
	/* The prefilling engine may still serve the whole request later. */
	if (request->split.step != ENTRY_SPLIT_PREFILL) {
		g_ptr_array_add(request->tried, g_strdup(upstream->id));
		request->n_attempts++;
	}
	request->attempt_number++;
	request->status = 0;
	attempt->attempt = ks_link_client_send(upstream->link, &out,
					       &entry_attempt_events, attempt);
	g_array_unref(headers);
	if (seeded)
		g_string_free(seeded, TRUE);
	if (!attempt->attempt)
		entry_attempt_events.not_started(attempt, KS_ERROR_NO_UPSTREAM,
						 0);
}

/**
 * entry_attempt_dispatch() - send a request to the best upstream not yet tried
 */
void entry_attempt_dispatch(struct entry_request *request)
{
	int64_t now = ks_loop_now(request->entry->loop);
	struct entry_upstream *upstream;

	if (now >= request->deadline_us) {
		entry_request_fail(request, KS_ERROR_DEADLINE_NOT_RUN, 0, NULL);
		return;
	}
	if (entry_split_begin(request))
		return;
	upstream = entry_group_choose(request->group, request);
	if (!upstream) {
		entry_request_fail(request, KS_ERROR_NO_UPSTREAM, 0,
				   "no upstream can take the request");
		return;
	}
	entry_attempt_send(request, upstream);
}
