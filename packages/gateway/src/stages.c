/*
 * Balances the engines of a service between prefill and decode. A decode engine
 * prefills slowly, and all of its streams wait in the meantime, so with long
 * prompts and short generations most prefill belongs on dedicated engines.
 *
 * A change makes an engine unavailable for seconds. To prevent an engine that
 * repeatedly joins and leaves from changing the others each time, a change in
 * the opposite direction is delayed.
 */
#include "ks/gateway.h"

#include <string.h>

/* How many engines the number of prefill engines may be off its target. */
#define TARGET_TOLERANCE 0.75

/* Minimum time between two changes in opposite directions. */
#define REVERSAL_DELAY_US (20 * KS_USEC_PER_SEC)

/* Share of a service's engines that may be changing at the same time. */
#define MAX_CHANGING_SHARE 0.25

static unsigned total_running(const ks_member_t *member)
{
	return member->running + member->peer_running;
}

/*
 * Returns the engine of a stage with the least load, so that few requests are
 * affected by the change.
 */
static ks_member_t *least_busy(const GPtrArray *members, ks_stage_t stage)
{
	ks_member_t *best = NULL;

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];

		if (member->stage != stage || member->pending_stage)
			continue;
		if (!best || total_running(member) + member->prefill_tokens <
				     total_running(best) + best->prefill_tokens)
			best = member;
	}
	return best;
}

static bool may_change(const ks_stage_balance_t *balance, ks_stage_t stage,
		       int64_t now_us)
{
	return !balance->last || balance->last == stage ||
	       now_us - balance->changed_us >= REVERSAL_DELAY_US;
}

/**
 * ks_stage_balance_next() - choose the next engine to change
 * @members: engines of one service that accept requests
 * @stage: set to the new stage of the engine
 *
 * Return: NULL if no change is needed or allowed yet, or if enough engines are
 * changing.
 */
ks_member_t *ks_stage_balance_next(const ks_stage_balance_t *balance,
				   const GPtrArray *members, int64_t now_us,
				   ks_stage_t *stage)
{
	double target, prefill = 0;
	guint n = 0, changing = 0;

	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];
		ks_stage_t becomes = member->pending_stage
					     ? member->pending_stage
					     : member->stage;

		if (member->stage == KS_STAGE_ANY)
			continue;
		n++;
		changing += member->pending_stage != KS_STAGE_ANY;
		prefill += becomes == KS_STAGE_PREFILL;
	}
	if (n < 2 || changing >= MAX(1, MAX_CHANGING_SHARE * n))
		return NULL;
	target = CLAMP(balance->prefill_share * n, 1, n - 1);
	if (target - prefill > TARGET_TOLERANCE)
		*stage = KS_STAGE_PREFILL;
	else if (prefill - target > TARGET_TOLERANCE)
		*stage = KS_STAGE_DECODE;
	else
		return NULL;
	if (!may_change(balance, *stage, now_us))
		return NULL;
	return least_busy(members, *stage == KS_STAGE_PREFILL
					   ? KS_STAGE_DECODE
					   : KS_STAGE_PREFILL);
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
