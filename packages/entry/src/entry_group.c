/*
 * The upstreams of one model or service: choice of an upstream for an attempt,
 * and the admission queue.
 */
#include "entry_internal.h"

/* Initial estimate of a service request's duration, until it is measured. */
#define DEFAULT_SERVICE_US 10000.0
/* One-way delay to another failure domain; the deployments have about 1 ms. */
#define OTHER_DOMAIN_US 1000
/*
 * Bonus of a prefix's home upstream, in multiples of the prefix's prefill time.
 */
#define HOME_PREFILL_FACTOR 2.0
/* Interval at which capacity and deadlines are checked while requests queue. */
#define QUEUE_POLL_US (10 * KS_USEC_PER_MSEC)

static char *group_key(bool is_model, ks_str_t name)
{
	return g_strdup_printf("%c%.*s", is_model ? 'm' : 's', (int)name.len,
			       name.data);
}

/**
 * entry_group_find() - find the group of a model or service
 *
 * Return: NULL if there is none.
 */
struct entry_group *entry_group_find(ks_entry_t *entry, bool is_model,
				     ks_str_t name)
{
	char *key = group_key(is_model, name);
	struct entry_group *group = g_hash_table_lookup(entry->groups, key);

	g_free(key);
	return group;
}

static void on_queue_timer(void *ctx)
{
	entry_group_admit_queued(ctx);
}

/**
 * entry_group_get() - find or create the group of a model or service
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
		ks_admission_set_forecast(group->admission,
					  entry_capacity_forecast, group);
	group->mean_service_us = DEFAULT_SERVICE_US;
	ks_timer_init(&group->queue_timer, entry->loop, on_queue_timer, group);
	g_hash_table_insert(entry->groups, group_key(is_model, name), group);
	return group;
}

/**
 * entry_group_free() - free a group; a GDestroyNotify
 */
void entry_group_free(void *data)
{
	struct entry_group *group = data;

	ks_timer_clear(&group->queue_timer);
	ks_admission_free(group->admission);
	g_ptr_array_unref(group->members);
	g_free(group->name);
	g_free(group);
}

/**
 * entry_upstream_is_usable() - whether an upstream accepts new requests
 */
bool entry_upstream_is_usable(const struct entry_upstream *upstream)
{
	return !upstream->is_withdrawn && !upstream->is_host_leaving &&
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

/*
 * A load report may or may not include the latest requests of this entry, so
 * the larger of both counts is used.
 */
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

static bool counts_as_tried(const struct entry_request *request, const char *id,
			    bool allow_lost)
{
	if (allow_lost && !g_strcmp0(request->lost_link_upstream, id))
		return false;
	return contains(request->tried, id);
}

/*
 * @allow_lost: request->lost_link_upstream is a candidate although it was
 * tried.
 */
static void fill_candidate(const struct entry_upstream *upstream,
			   const struct entry_request *request, bool allow_lost,
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
			upstream->prefix_cache,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, ks_loop_now(entry->loop));
	/* A partly delivered stream needs an upstream that can resume it. */
	candidate->excluded =
		!entry_upstream_is_usable(upstream) ||
		counts_as_tried(request, upstream->id, allow_lost) ||
		(request->stream.delivered && !upstream->can_resume);
	candidate->same_domain_failed =
		contains(request->failed_domains, upstream->domain);
	candidate->delays_others =
		request->is_completion &&
		entry_capacity_wait_us(upstream, request,
				       ks_loop_now(entry->loop)) > 0;
}

/* At most half of a group is ejected, so that some upstream is always left. */
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
 * entry_group_fill_candidates() - describe each upstream to the routing policy
 * @allow_lost: request->lost_link_upstream is a candidate although it was tried
 * @candidates: one element per upstream, in the order of
 *	group->members
 */
void entry_group_fill_candidates(const struct entry_group *group,
				 const struct entry_request *request,
				 bool allow_lost, ks_candidate_t *candidates)
{
	for (unsigned i = 0; i < group->members->len; i++) {
		struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		entry_split_update_role(upstream);
		fill_candidate(upstream, request, allow_lost, &candidates[i]);
	}
	exclude_ejected(group, candidates);
}

static uint64_t first_prefix(const struct entry_request *request)
{
	const GArray *hashes = request->completion.prefix_hashes;

	return hashes && hashes->len ? g_array_index(hashes, uint64_t, 0) : 0;
}

/*
 * Prefers the home upstream of the prompt's prefix. All entries derive the same
 * home by hashing, so prompts that share a prefix go where it is cached. As the
 * preference is limited, a long queue there diverts them to other upstreams.
 */
static void prefer_home_upstream(const struct entry_request *request,
				 ks_candidate_t *candidates, size_t count)
{
	int home;

	if (!first_prefix(request))
		return;
	home = ks_route_choose_by_policy(KS_ROUTING_PREFIX_AFFINITY, candidates,
					 count, 0, first_prefix(request));
	if (home >= 0)
		candidates[home].affinity_us =
			HOME_PREFILL_FACTOR *
			request->completion.prefix_hashes->len *
			KS_PREFIX_BLOCK_TOKENS *
			candidates[home].prefill_us_per_token;
}

static int choose_index(struct entry_group *group,
			const struct entry_request *request, bool allow_lost)
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

	entry_group_fill_candidates(group, request, allow_lost, candidates);
	entry_split_exclude_prefill(group, candidates);
	prefer_home_upstream(request, candidates, count);
	if (entry->policy == KS_ROUTING_EXPECTED_FINISH)
		choice = ks_route_choose(&wanted, candidates, count,
					 &entry->rng);
	else
		choice.index = ks_route_choose_by_policy(
			entry->policy, candidates, count,
			group->round_robin_index++, first_prefix(request));
	g_free(candidates);
	return choice.index;
}

/**
 * entry_group_choose() - choose the upstream of the next attempt
 *
 * An upstream gets a second attempt only if the first failed with its link and
 * no other upstream is left.
 *
 * Return: NULL if no upstream is left.
 */
struct entry_upstream *entry_group_choose(struct entry_group *group,
					  struct entry_request *request)
{
	int index;

	if (!group->members->len)
		return NULL;
	index = choose_index(group, request, false);
	if (index < 0 && request->lost_link_upstream)
		index = choose_index(group, request, true);
	return index < 0 ? NULL : g_ptr_array_index(group->members, index);
}

/**
 * entry_group_fill_ticket() - set the expected work of a request for admission
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

/* Slots left for this entry's requests, beside those that other entries use. */
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
 * entry_group_update_capacity() - pass the group's capacity to admission
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
 * entry_group_admit_queued() - admit queued requests as capacity allows, and
 * refuse those that can no longer meet their deadline
 */
void entry_group_admit_queued(struct entry_group *group)
{
	int64_t now = ks_loop_now(group->entry->loop);
	ks_ticket_t *ticket;

	/* A request that ends during its admission calls this recursively. */
	if (group->admitting)
		return;
	group->admitting = true;
	entry_group_update_capacity(group);
	while ((ticket = ks_admission_next(group->admission, now)))
		entry_request_admitted(ticket->ctx);
	refuse_expired(group, now);

	group->admitting = false;
	if (group->queued && !ks_timer_is_set(&group->queue_timer))
		ks_timer_set(&group->queue_timer, QUEUE_POLL_US);
}
