/*
 * Chooses the upstream for a request. The workload mixes long prompts that
 * share parts with long generations, and is placed by several entries that see
 * each other's load with a delay:
 *
 * - Rendezvous hashing assigns a first and a second prefill engine to the
 *   shared part of a prompt, the same ones at every entry, so that few engines
 *   prefill and cache it.
 * - Load is counted in prompt tokens. The second engine is used only if the
 *   first has so much more work that caching the part twice pays. It fetches
 *   cached parts from an engine that is known to have them, which takes a
 *   fraction of the time of prefilling them.
 * - A decode engine prefills at half the speed, so a prompt with many uncached
 *   tokens is prefilled by a prefill engine.
 * - Engines take KV cache only from engines of the same origin: what two
 * versions of their software write does not fit together.
 */
#include "ks/gateway.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * Preferred prefill engines for a shared part: the first choice and the one
 * used when that is overloaded.
 */
#define N_PREFERRED 2

/*
 * Cost of the second choice in prompt tokens: the part is cached there too and
 * evicts others, which are then prefilled again.
 */
#define SECOND_CHOICE_COST_TOKENS 6000

/*
 * Number of cached tokens that can be fetched in the time that it takes to
 * prefill one.
 */
#define FETCH_SPEEDUP 16

/*
 * Cost of sending a KV cache to another failure domain, in prompt tokens: it
 * takes twice as long, and traffic between domains costs more.
 */
#define CROSS_DOMAIN_TRANSFER_TOKENS 1000

/*
 * Uncached prompt tokens for which a request is ranked one place further back.
 */
#define TOKENS_PER_RANK 4000
#define LAST_RANK 9

/*
 * Time that a decode engine takes for a prompt token, relative to a prefill
 * engine. It prefills at half the speed, and all streams on it wait in the
 * meantime.
 */
#define DECODE_PREFILL_COST 8

/*
 * Additional cost of separate prefill, in prompt tokens of a prefill engine:
 * the wait for the handle and the transfer of the KV cache.
 */
#define SPLIT_OVERHEAD_TOKENS 1500

/*
 * An upstream with a higher failure rate is left out. It takes three failures
 * in a row to reach this, as single failures are common.
 */
#define MAX_FAILURE_RATE 0.45

/* Cost of a failure rate of 1, in prompt tokens and in running requests. */
#define FAILURE_COST_TOKENS 20000
#define FAILURE_COST 4.0

/* Cost of another failure domain, in running requests. */
#define CROSS_DOMAIN_COST 0.5

/*
 * Engines that an entry compares to choose one for decode: this many for each
 * engine and entry, so that a single entry compares all, but two at least.
 */
#define SAMPLES_PER_ENTRY 4
#define MIN_SAMPLE 2

/* Delay that a running request adds to the next one, in prompt tokens. */
#define RUNNING_COST_TOKENS 60

/*
 * Share of the shared parts that an engine owns, relative to the others: it is
 * proportional to the speed. Steps of a factor of two keep the owners of most
 * parts unchanged while the estimates of the speeds vary.
 */
static double ownership(const ks_member_t *member)
{
	return exp2(round(-log2(member->capacity.slowness)));
}

/* Weighted rendezvous hashing: the engine with the least value owns the key. */
static double rendezvous_rank(uint64_t key, const ks_member_t *member)
{
	uint64_t hash = XXH64(member->id, strlen(member->id), key);

	return -log(((double)hash + 1) / 18446744073709551616.0) /
	       ownership(member);
}

static bool is_avoided(const ks_placement_query_t *query,
		       const ks_member_t *member)
{
	for (guint i = 0; query->avoid && i < query->avoid->len; i++)
		if (g_ptr_array_index(query->avoid, i) == member)
			return true;
	return false;
}

static bool serves_stage(const ks_member_t *member, ks_stage_t stage)
{
	if (stage == KS_STAGE_PREFILL)
		return member->stage == KS_STAGE_PREFILL;
	return member->stage != KS_STAGE_PREFILL;
}

/**
 * ks_placement_objection() - why an upstream is avoided while others serve
 */
ks_objection_t ks_placement_objection(const ks_member_t *member,
				      const ks_placement_query_t *query)
{
	if (member->pending_stage)
		return KS_OBJECTION_CHANGES_STAGE;
	if (is_avoided(query, member))
		return KS_OBJECTION_HAS_FAILED;
	if (ks_ejection_is_active(&member->health, query->now_us))
		return KS_OBJECTION_EJECTED;
	if (ks_member_is_unreachable(member, query->now_us))
		return KS_OBJECTION_UNREACHABLE;
	if (ks_member_failure_rate(member, query->now_us) >= MAX_FAILURE_RATE)
		return KS_OBJECTION_FAILURE_RATE;
	return KS_OBJECTION_NONE;
}

static bool is_healthy(const ks_member_t *member,
		       const ks_placement_query_t *query)
{
	return ks_placement_objection(member, query) == KS_OBJECTION_NONE;
}

/**
 * ks_placement_usable() - get the upstreams that can serve a stage
 *
 * Unhealthy ones are left out unless they are the majority: then the cause is
 * probably elsewhere, and the healthy ones could not carry the load.
 *
 * Return: an array that holds no references; free it with g_ptr_array_free().
 */
GPtrArray *ks_placement_usable(const GPtrArray *members, ks_stage_t stage,
			       const ks_placement_query_t *query)
{
	GPtrArray *all = g_ptr_array_new(), *healthy = g_ptr_array_new();

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = g_ptr_array_index(members, i);

		if (!serves_stage(member, stage) || member->pending_stage ||
		    is_avoided(query, member))
			continue;
		g_ptr_array_add(all, member);
		if (is_healthy(member, query))
			g_ptr_array_add(healthy, member);
	}
	if (healthy->len * 2 < all->len) {
		g_ptr_array_free(healthy, TRUE);
		return all;
	}
	g_ptr_array_free(all, TRUE);
	return healthy;
}

static void swap_members(GPtrArray *members, guint i, guint j)
{
	gpointer swap = members->pdata[i];

	members->pdata[i] = members->pdata[j];
	members->pdata[j] = swap;
}

/*
 * Moves the upstreams that rendezvous hashing prefers for a key to the front,
 * and returns their number.
 */
static guint rank_members(GPtrArray *members, uint64_t key)
{
	guint n = MIN(members->len, N_PREFERRED);

	for (guint i = 0; i < n; i++) {
		guint best = i;

		for (guint j = i + 1; j < members->len; j++)
			if (rendezvous_rank(key, members->pdata[j]) <
			    rendezvous_rank(key, members->pdata[best]))
				best = j;
		swap_members(members, i, best);
	}
	return n;
}

/**
 * struct cache_source - the upstream of an origin that is known to have most of
 * a prompt cached
 * @tokens: prompt tokens cached there
 */
struct cache_source {
	uint64_t origin;
	ks_member_t *member;
	int64_t tokens;
};

static int64_t cached_tokens(const ks_member_t *member,
			     const ks_placement_query_t *query)
{
	int64_t known = ks_member_cached_tokens(
		member, query->prompt, query->cache_tokens, query->now_us);

	return MIN(known, query->prompt->total_tokens);
}

/* Returns the source for upstreams of an origin, NULL if none is known. */
static struct cache_source *find_source(const GArray *sources, uint64_t origin)
{
	for (guint i = 0; i < sources->len; i++) {
		struct cache_source *source =
			&g_array_index(sources, struct cache_source, i);

		if (source->origin == origin)
			return source;
	}
	return NULL;
}

/* Returns a struct cache_source for each origin that has one. */
static GArray *find_cache_sources(const GPtrArray *members,
				  const ks_placement_query_t *query)
{
	GArray *sources =
		g_array_new(FALSE, FALSE, sizeof(struct cache_source));

	for (guint i = 0; query->service->fetches_kv && i < members->len; i++) {
		ks_member_t *member = members->pdata[i];
		struct cache_source source = { member->origin, member,
					       cached_tokens(member, query) };
		struct cache_source *known =
			find_source(sources, member->origin);

		if (source.tokens <= (known ? known->tokens : 0) ||
		    !is_healthy(member, query))
			continue;
		if (known)
			*known = source;
		else
			g_array_append_val(sources, source);
	}
	return sources;
}

/* Time for prompt tokens, in tokens of the median engine. */
static int64_t scaled_tokens(const ks_member_t *member, int64_t tokens)
{
	return (int64_t)((double)tokens * member->capacity.slowness);
}

static int64_t pending_tokens(const ks_member_t *member)
{
	return member->prefill_tokens + member->peer_prefill_tokens +
	       (int64_t)(member->running + member->peer_running) *
		       RUNNING_COST_TOKENS;
}

static int64_t failure_cost(const ks_member_t *member,
			    const ks_placement_query_t *query)
{
	return (int64_t)(ks_member_failure_rate(member, query->now_us) *
			 FAILURE_COST_TOKENS);
}

/**
 * struct candidate - an upstream that may prefill a prompt
 * @source: upstream to fetch cached parts from, or NULL
 * @uncached: tokens that it would have to prefill
 * @cost: estimated time until the prompt is prefilled, in prompt tokens
 */
struct candidate {
	ks_member_t *member;
	ks_member_t *source;
	int64_t uncached;
	int64_t cost;
};

/* Estimates what prefilling the prompt on an upstream costs. */
static struct candidate prefill_candidate(ks_member_t *member,
					  const GArray *sources,
					  const ks_placement_query_t *query)
{
	const ks_prompt_t *prompt = query->prompt;
	const struct cache_source *source =
		find_source(sources, member->origin);
	struct candidate candidate = { .member = member };
	int64_t cached = cached_tokens(member, query), fetched;

	fetched = MAX((source ? source->tokens : 0) - cached, 0);
	if (fetched)
		candidate.source = source->member;
	candidate.uncached = prompt->total_tokens - cached - fetched;
	candidate.cost = scaled_tokens(member, candidate.uncached +
						       pending_tokens(member)) +
			 fetched / FETCH_SPEEDUP + failure_cost(member, query);
	return candidate;
}

/*
 * Moves a random sample of the engines from @first to before @end to @first.
 *
 * Entries see each other's load with a delay. If all of them chose the least
 * loaded engine of all, those of one interval would queue up there, so the more
 * entries there are, the fewer engines each of them compares.
 *
 * Return: the size of the sample.
 */
static guint sample_members(GPtrArray *members, guint first, guint end,
			    const ks_placement_query_t *query)
{
	guint len = end - first;
	guint n = len * SAMPLES_PER_ENTRY / MAX(query->entries, 1);
	uint32_t draw = query->draw;

	n = MIN(MAX(n, MIN_SAMPLE), len);
	for (guint i = 0; i < n; i++) {
		swap_members(members, first + i, first + i + draw % (len - i));
		draw = XXH32(&draw, sizeof(draw), i);
	}
	return n;
}

/* Chooses the engine for separate prefill. */
static struct candidate choose_prefill(GPtrArray *members,
				       const GArray *sources,
				       const ks_placement_query_t *query)
{
	struct candidate best = { .cost = INT64_MAX };
	guint n = rank_members(members, ks_prompt_shared_id(query->prompt));

	for (guint i = 0; i < n; i++) {
		struct candidate candidate =
			prefill_candidate(members->pdata[i], sources, query);

		if (i)
			candidate.cost += SECOND_CHOICE_COST_TOKENS;
		if (candidate.cost < best.cost)
			best = candidate;
	}
	return best;
}

/* Moves the engines of a failure domain to the front; returns their number. */
static guint partition_by_domain(GPtrArray *members, const char *domain)
{
	guint n = 0;

	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];

		if (!strcmp(member->domain, domain))
			swap_members(members, i, n++);
	}
	return n;
}

/*
 * Cost of prefilling a prompt on an engine whose streams would pause for longer
 * than their objective allows: one request is late otherwise, here all of them
 * are.
 */
#define HELD_UP_COST_TOKENS 1500

static int64_t held_up_cost(const struct candidate *candidate,
			    const ks_placement_query_t *query)
{
	const ks_member_t *member = candidate->member;
	int64_t tokens = candidate->uncached + member->prefill_tokens +
			 member->peer_prefill_tokens;
	double pause_us = member->capacity.event_us +
			  member->capacity.direct_us * (double)tokens;

	if (!query->max_pause_us || !member->capacity.direct_us ||
	    pause_us <= (double)query->max_pause_us)
		return 0;
	return (int64_t)(member->running + member->peer_running) *
	       HELD_UP_COST_TOKENS;
}

/*
 * Chooses the engine that runs the request if it prefills the prompt itself:
 * one of the sample, or one that has a part of the prompt.
 */
static struct candidate choose_direct(GPtrArray *members, const GArray *sources,
				      const ks_placement_query_t *query)
{
	struct candidate best = { .cost = INT64_MAX };
	guint n = sample_members(members, 0, members->len, query);

	for (guint i = 0; i < members->len; i++) {
		struct candidate candidate;

		if (i >= n && !cached_tokens(members->pdata[i], query))
			continue;
		candidate =
			prefill_candidate(members->pdata[i], sources, query);
		candidate.cost += held_up_cost(&candidate, query);
		if (candidate.cost < best.cost)
			best = candidate;
	}
	return best;
}

/*
 * Engines have short episodes in which they take two to three times as long. An
 * engine on which a pause in such an episode misses the objective comes after
 * others that are not much busier.
 */
#define SLOW_EPISODE 2.5
#define LONG_PAUSE_COST_TOKENS 1200

static int64_t pause_cost(const ks_member_t *member,
			  const ks_placement_query_t *query)
{
	double pause_us = SLOW_EPISODE * member->capacity.event_us;

	return query->max_pause_us && pause_us > (double)query->max_pause_us
		       ? LONG_PAUSE_COST_TOKENS
		       : 0;
}

static int64_t decode_cost(const ks_member_t *member,
			   const ks_member_t *prefill,
			   const ks_placement_query_t *query)
{
	int64_t cost = scaled_tokens(member, pending_tokens(member)) +
		       failure_cost(member, query) + pause_cost(member, query);

	if (strcmp(member->domain, prefill->domain) != 0)
		cost += CROSS_DOMAIN_TRANSFER_TOKENS;
	return cost;
}

/*
 * Chooses the engine that runs the request after separate prefill, from samples
 * of the engines in the failure domain of the prefill engine and of the others.
 */
static ks_member_t *least_cost_decode(GPtrArray *members,
				      const ks_member_t *prefill,
				      const ks_placement_query_t *query,
				      int64_t *cost)
{
	guint near = partition_by_domain(members, prefill->domain);
	guint n_near = sample_members(members, 0, near, query);
	guint n_far = sample_members(members, near, members->len, query);
	ks_member_t *best = NULL;

	*cost = INT64_MAX;
	for (guint i = 0; i < n_near + n_far; i++) {
		ks_member_t *member =
			members->pdata[i < n_near ? i : near + i - n_near];
		int64_t sum = decode_cost(member, prefill, query);

		if (sum < *cost) {
			*cost = sum;
			best = member;
		}
	}
	return best;
}

/**
 * struct separation - separate prefill and decode by engines of one origin
 * @cost: estimated time until the prompt is prefilled and can be decoded, in
 *	prompt tokens at the speed of a prefill engine
 */
struct separation {
	struct candidate prefill;
	ks_member_t *decode;
	int64_t cost;
};

static GPtrArray *select_origin(const GPtrArray *members, uint64_t origin)
{
	GPtrArray *selected =
		g_ptr_array_copy((GPtrArray *)members, NULL, NULL);

	ks_members_keep_origin(selected, origin);
	return selected;
}

/* Whether an upstream is expected to respond. */
static bool may_respond(const GPtrArray *members, int64_t now_us)
{
	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];

		if (!member->unanswered_us &&
		    !ks_member_is_silent(member, now_us))
			return true;
	}
	return false;
}

/* Chooses the engines of one origin; @cost is INT64_MAX if some are missing. */
static struct separation separate_within(const GPtrArray *all_decode,
					 const GPtrArray *all_prefill,
					 uint64_t origin, const GArray *sources,
					 const ks_placement_query_t *query)
{
	GPtrArray *decode = select_origin(all_decode, origin);
	GPtrArray *prefill = select_origin(all_prefill, origin);
	struct separation best = { .cost = INT64_MAX };
	int64_t cost;

	/* A prefill would be lost if no decode engine responds. */
	if (may_respond(decode, query->now_us))
		best.prefill = choose_prefill(prefill, sources, query);
	if (best.prefill.member) {
		best.decode = least_cost_decode(decode, best.prefill.member,
						query, &cost);
		best.cost = best.prefill.cost + SPLIT_OVERHEAD_TOKENS + cost;
	}
	g_ptr_array_free(decode, TRUE);
	g_ptr_array_free(prefill, TRUE);
	return best;
}

static bool has_origin_before(const GPtrArray *members, guint end,
			      uint64_t origin)
{
	for (guint i = 0; i < end; i++)
		if (((const ks_member_t *)members->pdata[i])->origin == origin)
			return true;
	return false;
}

/* Chooses the best engines of all origins for separate prefill. */
static struct separation separate(const GPtrArray *decode,
				  const GPtrArray *prefill,
				  const GArray *sources,
				  const ks_placement_query_t *query)
{
	struct separation best = { .cost = INT64_MAX };

	for (guint i = 0; i < prefill->len; i++) {
		const ks_member_t *member = prefill->pdata[i];
		struct separation next;

		if (has_origin_before(prefill, i, member->origin))
			continue;
		next = separate_within(decode, prefill, member->origin, sources,
				       query);
		if (next.cost < best.cost)
			best = next;
	}
	return best;
}

static ks_placement_t place_prompt(GPtrArray *decode, GPtrArray *prefill,
				   const GArray *sources,
				   const ks_placement_query_t *query)
{
	struct candidate direct = choose_direct(decode, sources, query);
	struct separation separation;
	ks_placement_t placement = {
		.run = direct.member,
		.run_tokens = direct.uncached,
		.source = direct.source,
	};

	if (!direct.member || !query->may_split)
		return placement;
	separation = separate(decode, prefill, sources, query);
	if (!separation.decode ||
	    separation.cost >= DECODE_PREFILL_COST * direct.cost)
		return placement;
	placement.run = separation.decode;
	placement.run_tokens = 0;
	placement.prefill = separation.prefill.member;
	placement.prefill_tokens = separation.prefill.uncached;
	placement.source = separation.prefill.source;
	return placement;
}

/*
 * Cost of running a request without a prompt on an upstream, in running
 * requests.
 */
static double plain_cost(const ks_member_t *member,
			 const ks_placement_query_t *query)
{
	bool is_remote = query->domain && strcmp(member->domain, query->domain);

	return member->running * member->capacity.slowness +
	       (is_remote ? CROSS_DOMAIN_COST : 0) +
	       FAILURE_COST * ks_member_failure_rate(member, query->now_us);
}

static ks_member_t *choose_plain(const GPtrArray *members,
				 const ks_placement_query_t *query)
{
	ks_member_t *best = NULL;
	guint start = members->len ? query->draw % members->len : 0;

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member =
			members->pdata[(start + i) % members->len];

		if (!best ||
		    plain_cost(member, query) < plain_cost(best, query))
			best = member;
	}
	return best;
}

static double cost_at(ks_member_t *member, const GArray *sources,
		      const ks_placement_query_t *query)
{
	struct candidate candidate;

	if (!query->prompt)
		return plain_cost(member, query);
	candidate = prefill_candidate(member, sources, query);
	if (serves_stage(member, KS_STAGE_DECODE))
		candidate.cost += held_up_cost(&candidate, query);
	return (double)candidate.cost;
}

/**
 * ks_placement_costs() - costs of a request, as they are compared
 * @available: upstreams of the service that accept requests
 * @members: upstreams whose costs are wanted
 * @costs: set for each of @members, to prompt tokens of the median engine if
 *	the request has a prompt, else to running requests
 *
 * What depends on a second upstream, as separate prefill does, is left out.
 */
void ks_placement_costs(const GPtrArray *available, const GPtrArray *members,
			const ks_placement_query_t *query, double *costs)
{
	GArray *sources =
		query->prompt ? find_cache_sources(available, query) : NULL;

	for (guint i = 0; i < members->len; i++)
		costs[i] = cost_at(members->pdata[i], sources, query);
	if (sources)
		g_array_free(sources, TRUE);
}

/**
 * ks_placement_choose() - choose the upstreams for a request
 * @members: upstreams of the service that accept requests
 *
 * Return: a placement whose @run is NULL if no upstream can take the request.
 */
ks_placement_t ks_placement_choose(const GPtrArray *members,
				   const ks_placement_query_t *query)
{
	ks_placement_t placement = { 0 };
	GPtrArray *decode =
		ks_placement_usable(members, KS_STAGE_DECODE, query);
	GPtrArray *prefill =
		ks_placement_usable(members, KS_STAGE_PREFILL, query);

	if (query->prompt) {
		GArray *sources = find_cache_sources(members, query);

		placement = place_prompt(decode, prefill, sources, query);
		g_array_free(sources, TRUE);
	} else {
		placement.run = choose_plain(decode, query);
	}
	g_ptr_array_free(decode, TRUE);
	g_ptr_array_free(prefill, TRUE);
	return placement;
}

/**
 * ks_placement_choose_decode() - choose the engine that runs a request whose
 * prompt another engine has prefilled
 * @prefill: the engine that has the prompt
 *
 * Return: NULL if no engine can take the request.
 */
ks_member_t *ks_placement_choose_decode(const GPtrArray *members,
					const ks_member_t *prefill,
					const ks_placement_query_t *query)
{
	GPtrArray *decode =
		ks_placement_usable(members, KS_STAGE_DECODE, query);
	int64_t cost;
	ks_member_t *member;

	ks_members_keep_origin(decode, prefill->origin);
	member = least_cost_decode(decode, prefill, query, &cost);
	g_ptr_array_free(decode, TRUE);
	return member;
}

/**
 * ks_placement_rank() - rank of a request in an engine's queue, 0 is the first
 * @priority: priority of the request's route
 * @uncached_tokens: prompt tokens that the engine has to prefill
 *
 * Long prompts are ranked behind short ones: a long prompt at the head of the
 * queue delays many short ones, whereas waiting for them delays it by little.
 */
unsigned ks_placement_rank(unsigned priority, int64_t uncached_tokens)
{
	int64_t rank = priority + MAX(uncached_tokens, 0) / TOKENS_PER_RANK;

	return (unsigned)MIN(rank, LAST_RANK);
}
