/*
 * Disaggregated prefill: a split request is prefilled on one engine and decoded
 * on another. The response of the first attempt holds a handle of the KV cache
 * blocks, which the engine of the second attempt imports. If either step fails,
 * the request is sent to a single engine as usual.
 */
#include "entry_internal.h"

/* Assumed time to export and import a KV block of 2,000 tokens. */
#define KV_TRANSFER_US_PER_BLOCK 16000.0

/*
 * Initial time per token of the slower phase of a role, relative to an engine
 * of the role "both", until it is measured.
 */
#define PREFILL_ROLE_DECODE_FACTOR 2.0
#define DECODE_ROLE_PREFILL_FACTOR 4.0

/* HTTP status of an engine that could not import the KV blocks. */
#define STATUS_FAILED_DEPENDENCY 424

static bool has_role(const struct entry_upstream *upstream, const char *role)
{
	return !strcmp(ks_link_client_load(upstream->link)->role, role);
}

/**
 * entry_split_update_role() - reset the time estimates of an engine whose role
 * has changed
 */
void entry_split_update_role(struct entry_upstream *upstream)
{
	const char *role = ks_link_client_load(upstream->link)->role;

	if (!strcmp(upstream->role, role))
		return;
	g_strlcpy(upstream->role, role, sizeof(upstream->role));
	upstream->prefill_us = ENTRY_PREFILL_US;
	upstream->decode_us = ENTRY_DECODE_US;
	if (has_role(upstream, "decode"))
		upstream->prefill_us *= DECODE_ROLE_PREFILL_FACTOR;
	if (has_role(upstream, "prefill"))
		upstream->decode_us *= PREFILL_ROLE_DECODE_FACTOR;
}

/**
 * entry_split_exclude_prefill() - exclude engines with the role "prefill"
 * @candidates: one for each upstream of @group
 *
 * They serve whole requests only when no other engine has a free slot.
 */
void entry_split_exclude_prefill(const struct entry_group *group,
				 ks_candidate_t *candidates)
{
	bool other = false;

	for (unsigned i = 0; i < group->members->len && !other; i++)
		other = !candidates[i].excluded &&
			candidates[i].in_flight < candidates[i].limit &&
			!has_role(g_ptr_array_index(group->members, i),
				  "prefill");
	for (unsigned i = 0; i < group->members->len && other; i++)
		if (has_role(g_ptr_array_index(group->members, i), "prefill"))
			candidates[i].excluded = true;
}

/*
 * A prefill step ignores the number of choices and the seed, so only requests
 * for one choice are split.
 */
static bool is_splittable(const struct entry_request *request)
{
	return request->is_completion && request->is_idempotent &&
	       !request->n_attempts && !request->stream.delivered &&
	       request->completion.n_choices == 1 &&
	       request->completion.prompt_tokens >= KS_PREFIX_BLOCK_TOKENS;
}

static ks_split_choice_t choose_split(const struct entry_request *request)
{
	const struct entry_group *group = request->group;
	unsigned count = group->members->len;
	ks_candidate_t *candidates = g_new0(ks_candidate_t, count + 1);
	ks_split_engine_t *engines = g_new0(ks_split_engine_t, count + 1);
	ks_route_request_t wanted = {
		.prompt_tokens = request->completion.prompt_tokens,
		.output_tokens = request->completion.max_tokens,
		.time_left_us = request->deadline_us -
				ks_loop_now(request->entry->loop),
	};
	ks_split_choice_t choice;

	entry_group_fill_candidates(group, request, false, candidates);
	for (unsigned i = 0; i < count; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		engines[i].candidate = candidates[i];
		engines[i].is_prefill = has_role(upstream, "prefill");
		engines[i].is_decode = has_role(upstream, "decode");
	}
	choice = ks_split_choose(&wanted, engines, count,
				 KV_TRANSFER_US_PER_BLOCK);
	g_free(candidates);
	g_free(engines);
	return choice;
}

/**
 * entry_split_begin() - send the prefill attempt of a request if splitting it
 * saves time
 *
 * Called for each attempt; a request is split only at the first one.
 *
 * Return: false if the whole request must be sent to one engine.
 */
bool entry_split_begin(struct entry_request *request)
{
	struct entry_split *split = &request->split;
	const GPtrArray *members = request->group->members;
	const struct entry_upstream *decoder;
	ks_split_choice_t choice;

	if (split->step != ENTRY_SPLIT_UNDECIDED) {
		split->step = ENTRY_SPLIT_INACTIVE;
		return false;
	}
	split->step = ENTRY_SPLIT_INACTIVE;
	if (!is_splittable(request))
		return false;
	choice = choose_split(request);
	if (choice.prefill < 0)
		return false;
	decoder = g_ptr_array_index(members, (unsigned)choice.decode);
	split->decode_upstream = g_strdup(decoder->id);
	split->step = ENTRY_SPLIT_PREFILL;
	entry_attempt_send(
		request, g_ptr_array_index(members, (unsigned)choice.prefill));
	return true;
}

static bool parse_kv_handle(struct entry_request *request)
{
	struct entry_split *split = &request->split;
	json_t *root = entry_json_load((ks_str_t){
		request->response_body->str, request->response_body->len });
	json_t *kv = json_object_get(root, "kv");
	const char *handle = json_string_value(json_object_get(kv, "handle"));
	const char *source = json_string_value(json_object_get(kv, "endpoint"));
	json_int_t blocks = json_integer_value(json_object_get(kv, "blocks"));
	ks_address_t address;
	bool ok = handle && source && blocks > 0 &&
		  blocks <= request->completion.prompt_tokens /
				    KS_PREFIX_BLOCK_TOKENS &&
		  ks_address_parse(&address, ks_str_from(source), NULL);

	if (ok) {
		split->kv_handle = g_strdup(handle);
		split->kv_source = g_strdup(source);
		split->kv_tokens = (uint32_t)blocks * KS_PREFIX_BLOCK_TOKENS;
	}
	json_decref(root);
	return ok;
}

static struct entry_upstream *
find_decode_upstream(const struct entry_request *request)
{
	const GPtrArray *members = request->group->members;

	for (unsigned i = 0; i < members->len; i++) {
		struct entry_upstream *upstream = g_ptr_array_index(members, i);

		if (!strcmp(upstream->id, request->split.decode_upstream))
			return entry_upstream_is_usable(upstream) ? upstream
								  : NULL;
	}
	return NULL;
}

static void count_split(const struct entry_request *request, const char *result)
{
	char *labels = g_strdup_printf("result=\"%s\"", result);

	ks_counter_add(ks_metrics_counter(request->entry->metrics,
					  "ks_splits_total",
					  "Completions prefilled and decoded "
					  "on two engines, by result.",
					  labels),
		       1);
	g_free(labels);
}

/**
 * entry_split_fall_back() - send a request to a single engine after its split
 * failed
 */
void entry_split_fall_back(struct entry_request *request)
{
	count_split(request, "failed");
	g_string_truncate(request->response_body, 0);
	request->is_streaming = false;
	request->split.step = ENTRY_SPLIT_INACTIVE;
	entry_attempt_dispatch(request);
}

/**
 * entry_split_prefill_done() - handle the end of the prefill attempt
 * @ok: the engine sent a complete response
 */
void entry_split_prefill_done(struct entry_request *request, bool ok)
{
	struct entry_upstream *decoder;

	if (!ok || request->status != 200 || !parse_kv_handle(request)) {
		entry_split_fall_back(request);
		return;
	}
	decoder = find_decode_upstream(request);
	if (!decoder) {
		entry_split_fall_back(request);
		return;
	}
	g_string_truncate(request->response_body, 0);
	request->split.step = ENTRY_SPLIT_DECODE;
	count_split(request, "prefilled");
	entry_attempt_send(request, decoder);
}

/**
 * entry_split_import_failed() - whether the engine could not import the KV
 * blocks
 */
bool entry_split_import_failed(const struct entry_request *request)
{
	return request->split.step == ENTRY_SPLIT_DECODE &&
	       request->status == STATUS_FAILED_DEPENDENCY;
}

static void add_header(GArray *headers, ks_str_t name, const char *value)
{
	ks_header_t header = { name, ks_str_from(value) };

	g_array_append_val(headers, header);
}

/**
 * entry_split_add_headers() - add the header fields of the current step
 * @headers: array of ks_header_t, valid as long as the request
 */
void entry_split_add_headers(const struct entry_request *request,
			     GArray *headers)
{
	const struct entry_split *split = &request->split;

	if (split->step == ENTRY_SPLIT_PREFILL)
		add_header(headers, KS_STR("x-ks-prefill-only"), "1");
	if (split->step != ENTRY_SPLIT_DECODE)
		return;
	add_header(headers, KS_STR("x-ks-kv-source"), split->kv_source);
	add_header(headers, KS_STR("x-ks-kv-handle"), split->kv_handle);
}

/**
 * entry_split_deinit() - free the contents of a split
 */
void entry_split_deinit(struct entry_split *split)
{
	g_free(split->decode_upstream);
	g_free(split->kv_source);
	g_free(split->kv_handle);
}
