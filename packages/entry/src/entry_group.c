/* The upstreams of one model or service: choice and admission. */
#include "entry_internal.h"

/* Assumed until answers have been measured. */
#define SERVICE_US 10000.0
/* One-way delay to another failure domain; the deployments have about 1 ms. */
#define OTHER_DOMAIN_US 1000
/* The home of a prefix is preferred by this many times the prompt's prefill. */
#define HOME_SHARE 2.0
/* While requests queue, capacity and deadlines are looked at this often. */
#define PUMP_US (10 * KS_USEC_PER_MSEC)

static char *group_key(bool is_model, ks_str_t name)
{
	return g_strdup_printf("%c%.*s", is_model ? 'm' : 's', (int)name.len,
			       name.data);
}

/**
 * entry_group_find() - the group of a model or service, or NULL
 */
struct entry_group *entry_group_find(ks_entry_t *entry, bool is_model,
				     ks_str_t name)
{
	char *key = group_key(is_model, name);
	struct entry_group *group = g_hash_table_lookup(entry->groups, key);

	g_free(key);
	return group;
}

static void on_pump(void *ctx)
{
	entry_group_pump(ctx);
}

/**
 * entry_group_get() - the group of a model or service, made when missing
 */
struct entry_group *entry_group_get(ks_entry_t *entry, bool is_model,
				    ks_str_t name)
{
	struct entry_group *group = entry_group_find(entry, is_model, name);

	if (group)
		return group;
	group = g_new0(struct entry_group, 1);
	group->entry = entry;
	group->name = ks_str_dup(name);
	group->is_model = is_model;
	group->members = g_ptr_array_new();
	group->admission = ks_admission_new();
	group->output_share = 1.0;
	if (is_model)
		ks_admission_set_forecast(group->admission, entry_capacity_gate,
					  group);
	group->mean_service_us = SERVICE_US;
	ks_timer_init(&group->pump, entry->loop, on_pump, group);
	g_hash_table_insert(entry->groups, group_key(is_model, name), group);
	return group;
}

/**
 * entry_group_free() - GDestroyNotify of a group
 */
void entry_group_free(void *data)
{
	struct entry_group *group = data;

	ks_timer_clear(&group->pump);
	ks_admission_free(group->admission);
	g_ptr_array_unref(group->members);
	g_free(group->name);
	g_free(group);
}

/**
 * entry_upstream_is_usable() - whether an upstream takes new requests
 */
bool entry_upstream_is_usable(const struct entry_upstream *upstream)
{
	return !upstream->withdrawn && !upstream->host_leaving &&
	       ks_link_client_is_up(upstream->link) &&
	       ks_link_client_state(upstream->link) == KS_UPSTREAM_READY;
}

/**
 * entry_group_is_served() - whether any upstream of a group is usable
 */
bool entry_group_is_served(const struct entry_group *group)
{
	for (unsigned i = 0; i < group->members->len; i++)
		if (entry_upstream_is_usable(
			    g_ptr_array_index(group->members, i)))
			return true;
	return false;
}

static bool contains(const GPtrArray *names, const char *name)
{
	for (unsigned i = 0; i < names->len; i++)
		if (!strcmp(g_ptr_array_index(names, i), name))
			return true;
	return false;
}

static uint32_t upstream_limit(const struct entry_upstream *upstream)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);

	return load->limit ? load->limit : MAX(upstream->limit, 1);
}

/* A load report may lag behind what this entry handed out, and may not. */
static void fill_load(const struct entry_upstream *upstream,
		      ks_candidate_t *candidate)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);

	candidate->in_flight = MAX(upstream->in_flight, load->in_flight);
	candidate->prompt_tokens =
		MAX(upstream->prompt_tokens, load->prompt_tokens_pending);
	candidate->output_tokens =
		MAX(upstream->output_tokens, load->output_tokens_pending);
	candidate->limit = upstream_limit(upstream);
	candidate->prefill_us_per_token = upstream->prefill_us;
	candidate->decode_us_per_token = upstream->decode_us;
}

static bool was_tried(const struct entry_request *request, const char *id,
		      bool repeat)
{
	if (repeat && !g_strcmp0(request->repeatable, id))
		return false;
	return contains(request->tried, id);
}

/* @repeat: the upstream whose attempt was lost with its link is a candidate. */
static void fill_candidate(const struct entry_upstream *upstream,
			   const struct entry_request *request, bool repeat,
			   ks_candidate_t *candidate)
{
	const ks_entry_t *entry = upstream->entry;
	const GArray *hashes = request->completion.prefix_hashes;

	memset(candidate, 0, sizeof(*candidate));
	candidate->id = ks_str_from(upstream->id);
	candidate->one_way_delay_us =
		strcmp(upstream->domain, entry->settings->domain)
			? OTHER_DOMAIN_US
			: 0;
	fill_load(upstream, candidate);
	if (hashes && hashes->len)
		candidate->cached_tokens = ks_prefix_index_tokens(
			upstream->belief,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, ks_loop_now(entry->loop));
	/* Only an upstream that resumes can go on with a stream. */
	candidate->excluded = !entry_upstream_is_usable(upstream) ||
			      was_tried(request, upstream->id, repeat) ||
			      (request->stream.delivered && !upstream->resumes);
	candidate->same_domain_failed =
		contains(request->failed_domains, upstream->domain);
	candidate->delays_others =
		request->is_completion &&
		entry_capacity_wait(upstream, request,
				    ks_loop_now(entry->loop)) > 0;
}

/* At most half of a group is ejected, so that it is never without upstreams. */
static void exclude_ejected(const struct entry_group *group,
			    ks_candidate_t *candidates)
{
	size_t count = group->members->len;
	const ks_ejection_t **health = g_new(const ks_ejection_t *, count);
	bool *out = g_new0(bool, count);

	for (size_t i = 0; i < count; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		health[i] = &upstream->ejection;
	}
	ks_ejection_cap(health, count, ks_loop_now(group->entry->loop), out);
	for (size_t i = 0; i < count; i++)
		candidates[i].excluded = candidates[i].excluded || out[i];
	g_free(health);
	g_free(out);
}

/**
 * entry_group_fill_candidates() - what routing needs to know of each member
 */
void entry_group_fill_candidates(const struct entry_group *group,
				 const struct entry_request *request,
				 bool repeat, ks_candidate_t *candidates)
{
	for (unsigned i = 0; i < group->members->len; i++) {
		struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		entry_split_note_role(upstream);
		fill_candidate(upstream, request, repeat, &candidates[i]);
	}
	exclude_ejected(group, candidates);
}

static uint64_t first_prefix(const struct entry_request *request)
{
	const GArray *hashes = request->completion.prefix_hashes;

	return hashes && hashes->len ? g_array_index(hashes, uint64_t, 0) : 0;
}

/*
 * A prefix has a home that all entries agree on, so that its prompts meet where
 * it is cached. A long queue there sends them elsewhere.
 */
static void prefer_home(const struct entry_request *request,
			ks_candidate_t *candidates, size_t count)
{
	int home;

	if (!first_prefix(request))
		return;
	home = ks_route_choose_by_policy(KS_ROUTING_PREFIX_AFFINITY, candidates,
					 count, 0, first_prefix(request));
	if (home >= 0)
		candidates[home].affinity_us =
			HOME_SHARE * request->completion.prefix_hashes->len *
			KS_PREFIX_BLOCK_TOKENS *
			candidates[home].prefill_us_per_token;
}

static int choose_index(struct entry_group *group,
			const struct entry_request *request, bool repeat)
{
	ks_entry_t *entry = group->entry;
	ks_route_request_t wanted = {
		.prompt_tokens = request->completion.prompt_tokens,
		.output_tokens = request->completion.max_tokens,
		.time_left_us = request->deadline_us - ks_loop_now(entry->loop),
	};
	size_t count = group->members->len;
	ks_candidate_t *candidates = g_new(ks_candidate_t, count);
	ks_route_choice_t choice;

	entry_group_fill_candidates(group, request, repeat, candidates);
	entry_split_avoid_prefill(group, candidates);
	prefer_home(request, candidates, count);
	if (entry->policy == KS_ROUTING_EXPECTED_FINISH)
		choice = ks_route_choose(&wanted, candidates, count,
					 &entry->rng);
	else
		choice.index = ks_route_choose_by_policy(
			entry->policy, candidates, count, group->turn++,
			first_prefix(request));
	g_free(candidates);
	return choice.index;
}

/**
 * entry_group_choose() - the upstream that the next attempt goes to, or NULL
 *
 * An upstream is given a second attempt only when its first was lost with the
 * link and no other upstream is left.
 */
struct entry_upstream *entry_group_choose(struct entry_group *group,
					  struct entry_request *request)
{
	int index;

	if (!group->members->len)
		return NULL;
	index = choose_index(group, request, false);
	if (index < 0 && request->repeatable)
		index = choose_index(group, request, true);
	return index < 0 ? NULL : g_ptr_array_index(group->members, index);
}

/**
 * entry_group_fill_ticket() - what admission is to know of a request's work
 */
void entry_group_fill_ticket(const struct entry_group *group,
			     const struct entry_request *request,
			     ks_ticket_t *ticket)
{
	if (group->is_model)
		entry_capacity_fill_ticket(group, request, ticket);
	else
		ticket->work_us = group->mean_service_us;
}

/* Places left for this entry once the other entries' requests are counted. */
static double group_capacity(const struct entry_group *group)
{
	double capacity = 0;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);
		const ks_load_t *load = ks_link_client_load(upstream->link);
		uint32_t limit = upstream_limit(upstream);
		uint32_t others =
			load->in_flight > upstream->in_flight
				? load->in_flight - upstream->in_flight
				: 0;

		if (entry_upstream_is_usable(upstream))
			capacity += limit - MIN(others, limit);
	}
	return MAX(capacity, 1);
}

/**
 * entry_group_update_capacity() - tell admission how much the group takes now
 */
void entry_group_update_capacity(struct entry_group *group)
{
	ks_admission_set_capacity(group->admission, group_capacity(group));
}

static void refuse_expired(struct entry_group *group, int64_t now)
{
	int64_t retry_after_us = 0;
	ks_ticket_t *ticket;

	while ((ticket = ks_admission_expired(group->admission, now,
					      &retry_after_us)))
		entry_request_refuse(ticket->ctx, KS_ERROR_OVERLOADED,
				     retry_after_us);
}

/**
 * entry_group_pump() - admit what has become possible, refuse what has expired
 */
void entry_group_pump(struct entry_group *group)
{
	int64_t now = ks_loop_now(group->entry->loop);
	ks_ticket_t *ticket;

	/* A request that ends while it is admitted calls this again. */
	if (group->pumping)
		return;
	group->pumping = true;
	entry_group_update_capacity(group);
	while ((ticket = ks_admission_next(group->admission, now)))
		entry_request_admitted(ticket->ctx);
	refuse_expired(group, now);

	group->pumping = false;
	if (group->queued && !ks_timer_is_set(&group->pump))
		ks_timer_set(&group->pump, PUMP_US);
}
