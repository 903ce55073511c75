/*
 * Where a request is sent. Answers a mix of long prompts with shared parts and
 * long answers, placed by several entries that see each other's load late:
 *
 * - The shared part of a prompt has a home and a second one by rendezvous
 * hashing, the same ones at every entry, so that the part is read on few
 * upstreams.
 * - Work is counted in prompt tokens, and a part moves to its second home only
 *   when the first has so much more to do that reading the part again pays.
 * - An engine of the stage decode reads prompts at half the speed, so a prompt
 *   of which much has to be read is read by an engine of the stage prefill.
 */
#include "ks/gateway.h"

#include <string.h>
#include <xxhash.h>

/* Upstreams that keep a shared part: its home and one to spread to. */
#define HOMES 2

/*
 * What it costs to use another home than the first, in prompt tokens: the part
 * is read once more there, and displaces others that are then read again.
 */
#define SPREAD_COST_TOKENS 20000

/* Prompt tokens that move a request back by one rank. */
#define TOKENS_PER_RANK 4000
#define LAST_RANK 9

/*
 * Time of a decode engine for a prompt token, against a prefill engine's. It
 * reads at half the speed, and each stream on it waits meanwhile; 2, 4, 8 and
 * 16 were compared (docs/decisions.md).
 */
#define DECODE_READ_COST 8

/*
 * A split costs a request more, the wait for the handle and the transfer of the
 * KV cache, in prompt tokens at the speed of a prefill engine.
 */
#define SPLIT_OVERHEAD_TOKENS 1500

/*
 * An upstream of which more than this share of requests failed lately is left
 * out. Three failures in a row reach it, as single ones are common.
 */
#define FAILING_LIMIT 0.45

/* What certain failure costs, in prompt tokens and in running requests. */
#define FAILING_COST_TOKENS 20000
#define FAILING_COST 4.0

/* What another failure domain costs, in running requests. */
#define FAR_COST 0.5

/* What one running request adds to the next one's wait, in prompt tokens. */
#define RUNNING_COST_TOKENS 60

static uint64_t weight_of(uint64_t key, const ks_member_t *member)
{
	return XXH64(member->id, strlen(member->id), key);
}

static bool is_avoided(const ks_placement_query_t *query,
		       const ks_member_t *member)
{
	for (guint i = 0; query->avoid && i < query->avoid->len; i++)
		if (g_ptr_array_index(query->avoid, i) == member)
			return true;
	return false;
}

static bool serves(const ks_member_t *member, ks_stage_t stage)
{
	if (stage == KS_STAGE_PREFILL)
		return member->stage == KS_STAGE_PREFILL;
	return member->stage != KS_STAGE_PREFILL;
}

/*
 * The upstreams of a stage that may be used. Those that keep failing are left
 * out while they are the smaller part; with more of them, the cause is likely
 * not theirs, and the rest could not carry the load.
 */
static GPtrArray *usable(const GPtrArray *members, ks_stage_t stage,
			 const ks_placement_query_t *query)
{
	GPtrArray *all = g_ptr_array_new(), *good = g_ptr_array_new();

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = g_ptr_array_index(members, i);

		if (!serves(member, stage) || member->changing_to ||
		    is_avoided(query, member))
			continue;
		g_ptr_array_add(all, member);
		if (!ks_ejection_is_out(&member->health, query->now_us) &&
		    ks_member_failing(member, query->now_us) < FAILING_LIMIT)
			g_ptr_array_add(good, member);
	}
	if (good->len * 2 < all->len) {
		g_ptr_array_free(good, TRUE);
		return all;
	}
	g_ptr_array_free(all, TRUE);
	return good;
}

/* Moves the upstreams with the highest weights for a key to the front. */
static guint rank(GPtrArray *members, uint64_t key)
{
	guint n = MIN(members->len, HOMES);

	for (guint i = 0; i < n; i++) {
		guint best = i;

		for (guint j = i + 1; j < members->len; j++)
			if (weight_of(key, members->pdata[j]) >
			    weight_of(key, members->pdata[best]))
				best = j;
		gpointer swap = members->pdata[i];

		members->pdata[i] = members->pdata[best];
		members->pdata[best] = swap;
	}
	return n;
}

static int64_t unread_tokens(const ks_member_t *member, bool is_home,
			     const ks_placement_query_t *query)
{
	const ks_prompt_t *prompt = query->prompt;
	int64_t cached = ks_member_cached_tokens(member, prompt, query->now_us);

	/* Other entries send the same part to its home. */
	if (is_home && prompt->n_parts > 1)
		cached = MAX(cached, prompt->total_tokens -
					     ks_prompt_own_tokens(prompt));
	return prompt->total_tokens - MIN(cached, prompt->total_tokens);
}

static int64_t work_ahead(const ks_member_t *member)
{
	return member->reading_tokens + member->others_reading_tokens +
	       (int64_t)(member->running + member->others_running) *
		       RUNNING_COST_TOKENS;
}

static int64_t failing_cost(const ks_member_t *member,
			    const ks_placement_query_t *query)
{
	return (int64_t)(ks_member_failing(member, query->now_us) *
			 FAILING_COST_TOKENS);
}

static ks_member_t *cheapest(GPtrArray *members, guint n,
			     const ks_placement_query_t *query, int64_t *unread,
			     int64_t *cost)
{
	ks_member_t *best = NULL;

	*cost = INT64_MAX;
	*unread = 0;
	for (guint i = 0; i < n; i++) {
		ks_member_t *member = members->pdata[i];
		int64_t tokens = unread_tokens(member, i == 0, query);
		int64_t sum = tokens + work_ahead(member) +
			      failing_cost(member, query) +
			      (i ? SPREAD_COST_TOKENS : 0);

		if (sum < *cost) {
			*cost = sum;
			*unread = tokens;
			best = member;
		}
	}
	return best;
}

/* Requests that a plain upstream's running ones, failures and distance equal.
 */
static double plain_cost(const ks_member_t *member,
			 const ks_placement_query_t *query)
{
	bool is_far = query->domain && strcmp(member->domain, query->domain);

	return member->running + (is_far ? FAR_COST : 0) +
	       FAILING_COST * ks_member_failing(member, query->now_us);
}

static ks_member_t *least_running(const GPtrArray *members,
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

/**
 * ks_placement_choose() - choose the upstreams of a request
 * @members: upstreams of the service that accept requests
 */
ks_placement_t ks_placement_choose(const GPtrArray *members,
				   const ks_placement_query_t *query)
{
	ks_placement_t placement = { NULL, NULL, 0, 0 };
	GPtrArray *decode = usable(members, KS_STAGE_DECODE, query);
	GPtrArray *prefill = usable(members, KS_STAGE_PREFILL, query);
	int64_t direct_cost, split_cost, prefill_unread;

	if (!query->prompt) {
		placement.run = least_running(decode, query);
	} else {
		uint64_t key = ks_prompt_shared_id(query->prompt);
		guint n = rank(decode, key);

		placement.run = cheapest(decode, n, query,
					 &placement.run_tokens, &direct_cost);
		if (placement.run && query->may_split && prefill->len) {
			ks_member_t *reader =
				cheapest(prefill, rank(prefill, key), query,
					 &prefill_unread, &split_cost);

			split_cost += SPLIT_OVERHEAD_TOKENS +
				      work_ahead(placement.run);
			if (split_cost < DECODE_READ_COST * direct_cost) {
				placement.prefill = reader;
				placement.prefill_tokens = prefill_unread;
				placement.run_tokens = 0;
			}
		}
	}
	g_ptr_array_free(decode, TRUE);
	g_ptr_array_free(prefill, TRUE);
	return placement;
}

/**
 * ks_placement_rank() - rank of a request at an engine, 0 is the first
 * @priority: of its route
 * @unread_tokens: of its prompt at that engine
 *
 * Answers a queue of prompts of very different lengths: a long one in front
 * makes many short ones late, and is itself late by little if it waits for
 * them.
 */
unsigned ks_placement_rank(unsigned priority, int64_t unread_tokens)
{
	int64_t rank = priority + MAX(unread_tokens, 0) / TOKENS_PER_RANK;

	return (unsigned)MIN(rank, LAST_RANK);
}
