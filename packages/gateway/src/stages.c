/*
 * Balances the engines of a service between prefill and decode. A decode engine
 * prefills slowly, and all of its streams wait in the meantime, so with long
 * prompts and short generations most prefill belongs on dedicated engines.
 *
 * The load shifts between long prompts and long generations. The number of
 * decode engines follows the slots and memory that responses take up. The
 * others prefill: besides doing the work, they keep the shared parts of more
 * prompts cached.
 *
 * Engines of one origin work together, see placement.c, so each origin has its
 * part of both stages. One without a decode engine could not go on with any of
 * its streams.
 *
 * A change makes an engine unavailable for seconds. To prevent an engine that
 * repeatedly joins and leaves from changing the others each time, a change in
 * the opposite direction is delayed.
 */
#include "ks/gateway.h"
#include "ks/settings.h"

#include <math.h>
#include <string.h>

/* How many engines the number of prefill engines may be off its target. */
#define TARGET_TOLERANCE 0.75

/*
 * Shares of the slots and memory of the decode engines that are in use. Stages
 * change only if the share leaves the range from MIN to MAX, as each change
 * takes an engine away for seconds. Then the share is brought to FROM_MIN or
 * FROM_MAX. The rest is for peaks that are shorter than a change: too few
 * decode engines refuse requests, whereas too many only cache less.
 */
#define MIN_DECODE_OCCUPANCY 0.15
#define FROM_MIN_DECODE_OCCUPANCY 0.3
#define FROM_MAX_DECODE_OCCUPANCY 0.6
#define MAX_DECODE_OCCUPANCY 0.85

/*
 * Engines are only taken from decode if this share of the prefill engines is
 * busy. In a fleet that is larger than its load needs, neither stage is short.
 */
#define MIN_PREFILL_BUSY 0.8

/*
 * Share of the engines that prefill until the demand is known. More than half,
 * as prefill engines also cache the shared parts of prompts.
 */
#define INITIAL_PREFILL_SHARE (2.0 / 3)

/*
 * Demand is averaged over the first time, and known after the second. The peak
 * of the average counts, and is forgotten slowly: undoing a change too early
 * costs more than keeping it.
 */
#define DEMAND_AVERAGE_US (2 * KS_USEC_PER_SEC)
#define DEMAND_KNOWN_US (2 * DEMAND_AVERAGE_US)
#define PEAK_HALF_LIFE_US (30 * KS_USEC_PER_SEC)

/* Minimum time between two changes in opposite directions. */
#define REVERSAL_DELAY_US (20 * KS_USEC_PER_SEC)

/* Share of a service's engines that may be changing at the same time. */
#define MAX_CHANGING_SHARE 0.25

static unsigned total_running(const ks_member_t *member)
{
	return member->running + member->peer_running;
}

static bool is_limited(const ks_member_t *member, int64_t now_us)
{
	return ks_stated_limit_is_in_force(&member->withdrawal.limit, now_us);
}

/* Whether an engine goes on serving, so that its stage matters. */
static bool is_staying(const ks_member_t *member, int64_t now_us)
{
	return !member->withdrawal.leaving_us &&
	       !ks_member_is_silent(member, now_us);
}

/* Whether an engine can be sent an order now. */
static bool takes_orders(const ks_member_t *member, int64_t now_us)
{
	return is_staying(member, now_us) && member->next_order_us <= now_us &&
	       !ks_withdrawal_is_away(&member->withdrawal, now_us);
}

/*
 * Returns the engine of a stage with the least load, so that few requests are
 * affected by the change.
 */
static ks_member_t *least_busy(const GPtrArray *members, uint64_t origin,
			       ks_stage_t stage, int64_t now_us)
{
	ks_member_t *best = NULL;

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];

		if (member->stage != stage || member->pending_stage ||
		    member->origin != origin || is_limited(member, now_us) ||
		    !takes_orders(member, now_us))
			continue;
		if (!best || total_running(member) + member->prefill_tokens <
				     total_running(best) + best->prefill_tokens)
			best = member;
	}
	return best;
}

/**
 * ks_stage_balance_observe() - measure the demand for decode
 * @members: engines of one service that accept requests
 *
 * Called several times a second. Requests that a decode engine has still to
 * prefill do not count: too few prefill engines are the reason for them.
 */
void ks_stage_balance_observe(ks_stage_balance_t *balance,
			      const GPtrArray *members, int64_t now_us)
{
	ks_demand_t *demand = &balance->decode;
	double elapsed_us = (double)(now_us - demand->observed_us);
	double engines = 0, prefill = 0, busy = 0;

	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];

		if (member->stage == KS_STAGE_PREFILL) {
			prefill++;
			busy += member->prefill_tokens +
					member->peer_prefill_tokens >
				0;
		}
		engines +=
			(double)(member->occupancy + member->peer_occupancy) /
			KS_OCCUPANCY_UNIT;
	}
	if (!demand->since_us && engines > 0)
		demand->since_us = now_us;
	if (demand->observed_us) {
		double weight = -expm1(-elapsed_us / (double)DEMAND_AVERAGE_US);

		demand->average += weight * (engines - demand->average);
		balance->prefill_busy += weight * (busy / MAX(prefill, 1) -
						   balance->prefill_busy);
		demand->peak *= exp2(-elapsed_us / (double)PEAK_HALF_LIFE_US);
	}
	demand->peak = MAX(demand->peak, demand->average);
	demand->observed_us = now_us;
}

/*
 * Returns how many of the engines should prefill.
 * @prefill: how many do so now or are changing to it
 */
static double prefill_target(const ks_stage_balance_t *balance, guint n,
			     guint prefill)
{
	const ks_demand_t *demand = &balance->decode;
	double occupancy;

	if (balance->prefill_share >= 0)
		return balance->prefill_share * n;
	if (!demand->since_us ||
	    demand->observed_us - demand->since_us < DEMAND_KNOWN_US)
		return INITIAL_PREFILL_SHARE * n;
	occupancy = demand->peak / MAX(n - prefill, 1);
	if (occupancy < MIN_DECODE_OCCUPANCY &&
	    balance->prefill_busy > MIN_PREFILL_BUSY)
		return n - demand->peak / FROM_MIN_DECODE_OCCUPANCY;
	if (occupancy > MAX_DECODE_OCCUPANCY)
		return n - demand->peak / FROM_MAX_DECODE_OCCUPANCY;
	return prefill;
}

static bool may_change(const ks_stage_balance_t *balance, ks_stage_t stage,
		       int64_t now_us)
{
	return !balance->last || balance->last == stage ||
	       now_us - balance->changed_us >= REVERSAL_DELAY_US;
}

/**
 * struct stage_count - engines of one origin
 * @n: number of engines
 * @prefill: how many of them prefill or are changing to it
 * @decode: how many of the others go on serving
 * @proven: how many of these have not lost a request since their last response
 */
struct stage_count {
	uint64_t origin;
	guint n;
	guint prefill;
	guint decode;
	guint proven;
};

static struct stage_count *find_count(GArray *counts, uint64_t origin)
{
	struct stage_count count = { .origin = origin };

	for (guint i = 0; i < counts->len; i++) {
		struct stage_count *known =
			&g_array_index(counts, struct stage_count, i);

		if (known->origin == origin)
			return known;
	}
	g_array_append_val(counts, count);
	return &g_array_index(counts, struct stage_count, counts->len - 1);
}

/* Counts the engines of each origin, and of all together in @total. */
static GArray *count_stages(const GPtrArray *members, int64_t now_us,
			    struct stage_count *total, guint *changing)
{
	GArray *counts = g_array_new(FALSE, FALSE, sizeof(struct stage_count));

	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];
		ks_stage_t becomes = member->pending_stage
					     ? member->pending_stage
					     : member->stage;
		bool prefills = becomes == KS_STAGE_PREFILL;
		bool decodes = !prefills && is_staying(member, now_us);
		struct stage_count *count;

		if (member->stage == KS_STAGE_ANY || is_limited(member, now_us))
			continue;
		count = find_count(counts, member->origin);
		count->n++;
		count->prefill += prefills;
		count->decode += decodes;
		count->proven += decodes && !member->unanswered_us;
		total->n++;
		total->prefill += prefills;
		*changing += member->pending_stage != KS_STAGE_ANY;
	}
	return counts;
}

/* How many more engines of an origin should prefill; negative for fewer. */
static double missing_prefill(const struct stage_count *count, double share)
{
	double target =
		count->n < 2 ? 0 : CLAMP(share * count->n, 1, count->n - 1);

	return target - count->prefill;
}

/*
 * Returns an engine of an origin whose engines all prefill. Its streams can't
 * go on until that one decodes, so this does not wait for other changes.
 */
static ks_member_t *missing_decode(const GPtrArray *members,
				   const GArray *counts, int64_t now_us)
{
	for (guint i = 0; i < counts->len; i++) {
		const struct stage_count *count =
			&g_array_index(counts, struct stage_count, i);
		ks_member_t *member;

		if (count->decode)
			continue;
		member = least_busy(members, count->origin, KS_STAGE_PREFILL,
				    now_us);
		if (member)
			return member;
	}
	return NULL;
}

/**
 * ks_stage_balance_next() - choose the next engine to change
 * @members: engines of one service that accept requests
 * @stage: set to the new stage of the engine
 *
 * An engine that states a limit takes next to no load, and the calls of a
 * change would count against its limit, so it counts as absent.
 *
 * Return: NULL if no change is needed or allowed yet, or if enough engines are
 * changing.
 */
ks_member_t *ks_stage_balance_next(const ks_stage_balance_t *balance,
				   const GPtrArray *members, int64_t now_us,
				   ks_stage_t *stage)
{
	struct stage_count total = { 0 };
	guint changing = 0;
	GArray *counts = count_stages(members, now_us, &total, &changing);
	ks_member_t *next = missing_decode(members, counts, now_us);
	double share = 0, most = TARGET_TOLERANCE;

	*stage = KS_STAGE_DECODE;
	if (!next && total.n >= 2 &&
	    changing < MAX(1, MAX_CHANGING_SHARE * total.n))
		share = CLAMP(prefill_target(balance, total.n, total.prefill),
			      1, total.n - 1) /
			total.n;
	for (guint i = 0; share > 0 && i < counts->len; i++) {
		const struct stage_count *count =
			&g_array_index(counts, struct stage_count, i);
		double missing = missing_prefill(count, share);
		ks_stage_t becomes =
			missing > 0 ? KS_STAGE_PREFILL : KS_STAGE_DECODE;
		ks_member_t *member;

		/* The only decode engine that is sure to serve is kept. */
		if (missing > 0 && count->proven < 2)
			continue;
		if (fabs(missing) <= most ||
		    !may_change(balance, becomes, now_us))
			continue;
		member = least_busy(members, count->origin,
				    missing > 0 ? KS_STAGE_DECODE
						: KS_STAGE_PREFILL,
				    now_us);
		if (!member)
			continue;
		most = fabs(missing);
		*stage = becomes;
		next = member;
	}
	g_array_free(counts, TRUE);
	return next;
}

/**
 * ks_stage_balance_record() - record that a change has been ordered
 */
void ks_stage_balance_record(ks_stage_balance_t *balance, ks_stage_t stage,
			     int64_t now_us)
{
	balance->last = stage;
	balance->changed_us = now_us;
}
