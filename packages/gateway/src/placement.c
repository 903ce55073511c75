/*
 * Where a request is sent. Answers a mix of long prompts with shared parts and
 * long answers, placed by several entries that see each other's load late:
 *
 * - The shared part of a prompt has a home and a second one by rendezvous
 * hashing, the same ones at every entry, so that the part is read on few
 * upstreams.
 * - Work is counted in prompt tokens, and a part moves to its second home only
 *   when the first has so much more to do that keeping it twice pays. The parts
 *   are fetched from an engine that is known to keep them, which takes a small
 *   part of the time to read them.
 * - An engine of the stage decode reads prompts at half the speed, so a prompt
 *   of which much has to be read is read by an engine of the stage prefill.
 */
#include "ks/gateway.h"

#include <string.h>
#include <xxhash.h>

/* Engines that read a shared part: its home and one to spread to. */
#define HOMES 2

/*
 * What it costs to use the second one, in prompt tokens: the part is kept there
 * too, and displaces others that are then read again. 500 to 20,000 were
 * compared (docs/decisions.md).
 */
#define SPREAD_COST_TOKENS 6000

/* Tokens whose KV cache is fetched in the time in which one is read. */
#define FETCHED_PER_READ 16

/*
 * A KV cache takes twice as long to another failure domain, and its bytes cost
 * more there. 0 to 3,000 were compared.
 */
#define FAR_MOVE_TOKENS 1000

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

static bool is_good(const ks_member_t *member,
		    const ks_placement_query_t *query)
{
	return !member->changing_to && !is_avoided(query, member) &&
	       !ks_ejection_is_active(&member->health, query->now_us) &&
	       ks_member_failing(member, query->now_us) < FAILING_LIMIT;
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
		if (is_good(member, query))
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

/**
 * struct keeper - the upstream that is known to keep most of a prompt
 * @member: NULL if none is known
 */
struct keeper {
	ks_member_t *member;
	int64_t tokens;
};

static int64_t known_tokens(const ks_member_t *member,
			    const ks_placement_query_t *query)
{
	int64_t known = ks_member_cached_tokens(
		member, query->prompt, query->kept_tokens, query->now_us);

	return MIN(known, query->prompt->total_tokens);
}

static struct keeper find_keeper(const GPtrArray *members,
				 const ks_placement_query_t *query)
{
	struct keeper keeper = { NULL, 0 };

	if (!query->service->fetches_kv)
		return keeper;
	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];
		int64_t known = known_tokens(member, query);

		if (known <= keeper.tokens || !is_good(member, query))
			continue;
		keeper.tokens = known;
		keeper.member = member;
	}
	return keeper;
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

/**
 * struct option - an upstream that may read a prompt
 * @source: that it should fetch kept parts from, or NULL
 * @unread: prompt tokens that it has to read
 */
struct option {
	ks_member_t *member;
	ks_member_t *source;
	int64_t unread;
	int64_t cost;
};

/* What reading the prompt costs at an upstream. */
static struct option reading_option(ks_member_t *member,
				    const struct keeper *keeper,
				    const ks_placement_query_t *query)
{
	const ks_prompt_t *prompt = query->prompt;
	struct option option = { .member = member };
	int64_t kept = known_tokens(member, query), fetched;

	fetched = MAX(keeper->tokens - kept, 0);
	if (fetched)
		option.source = keeper->member;
	option.unread = prompt->total_tokens - kept - fetched;
	option.cost = option.unread + fetched / FETCHED_PER_READ +
		      work_ahead(member) + failing_cost(member, query);
	return option;
}

/* Of an upstream that does nothing but read. */
static struct option choose_reader(GPtrArray *members,
				   const struct keeper *keeper,
				   const ks_placement_query_t *query)
{
	struct option best = { .cost = INT64_MAX };
	guint n = rank(members, ks_prompt_shared_id(query->prompt));

	for (guint i = 0; i < n; i++) {
		struct option option =
			reading_option(members->pdata[i], keeper, query);

		if (i)
			option.cost += SPREAD_COST_TOKENS;
		if (option.cost < best.cost)
			best = option;
	}
	return best;
}

/* Of one that generates, and reads the prompt itself. */
static struct option choose_direct(const GPtrArray *members,
				   const struct keeper *keeper,
				   const ks_placement_query_t *query)
{
	struct option best = { .cost = INT64_MAX };

	for (guint i = 0; i < members->len; i++) {
		struct option option =
			reading_option(members->pdata[i], keeper, query);

		if (option.cost < best.cost)
			best = option;
	}
	return best;
}

/* Of one that generates from a KV cache that another upstream hands over. */
static ks_member_t *choose_generator(const GPtrArray *members,
				     const ks_member_t *reader,
				     const ks_placement_query_t *query,
				     int64_t *cost)
{
	ks_member_t *best = NULL;

	*cost = INT64_MAX;
	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];
		int64_t sum = work_ahead(member) + failing_cost(member, query);

		if (strcmp(member->domain, reader->domain) != 0)
			sum += FAR_MOVE_TOKENS;
		if (sum < *cost) {
			*cost = sum;
			best = member;
		}
	}
	return best;
}

static ks_placement_t place_prompt(GPtrArray *decode, GPtrArray *prefill,
				   const struct keeper *keeper,
				   const ks_placement_query_t *query)
{
	struct option direct = choose_direct(decode, keeper, query), read;
	ks_placement_t placement = {
		.run = direct.member,
		.run_tokens = direct.unread,
		.source = direct.source,
	};
	ks_member_t *generator;
	int64_t cost;

	if (!direct.member || !query->may_split)
		return placement;
	read = choose_reader(prefill, keeper, query);
	if (!read.member)
		return placement;
	generator = choose_generator(decode, read.member, query, &cost);
	if (read.cost + SPLIT_OVERHEAD_TOKENS + cost >=
	    DECODE_READ_COST * direct.cost)
		return placement;
	placement.run = generator;
	placement.run_tokens = 0;
	placement.prefill = read.member;
	placement.prefill_tokens = read.unread;
	placement.source = read.source;
	return placement;
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
	ks_placement_t placement = { 0 };
	GPtrArray *decode = usable(members, KS_STAGE_DECODE, query);
	GPtrArray *prefill = usable(members, KS_STAGE_PREFILL, query);

	if (query->prompt) {
		struct keeper keeper = find_keeper(members, query);

		placement = place_prompt(decode, prefill, &keeper, query);
	} else {
		placement.run = least_running(decode, query);
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
