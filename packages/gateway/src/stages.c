/*
 * How many engines read prompts and how many generate. Answers a mix of long
 * prompts and short answers: an engine that generates reads prompts slowly, and
 * while it reads, every stream on it waits, so most of the reading belongs on
 * engines that do nothing else.
 *
 * A change takes an engine away for seconds, so an engine that comes and goes
 * may not change the stages of others each time: a change back waits.
 */
#include "ks/gateway.h"

#include <string.h>

/* Engines by which the number of readers may miss its target. */
#define TARGET_TOLERANCE 0.75

/* Between a change and one in the other direction. */
#define REVERSAL_DELAY_US (20 * KS_USEC_PER_SEC)

/* Share of the engines of a service that may be changing at once. */
#define MAX_CHANGING_SHARE 0.25

static unsigned total_running(const ks_member_t *member)
{
	return member->running + member->peer_running;
}

/* The one that is least busy, so that little work waits for the change. */
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

static bool may_change(const ks_stage_balance_t *stages, ks_stage_t stage,
		       int64_t now_us)
{
	return !stages->last || stages->last == stage ||
	       now_us - stages->changed_us >= REVERSAL_DELAY_US;
}

/**
 * ks_stage_balance_next() - the next engine whose stage should change
 * @members: engines of one service that accept requests
 * @stage: set to the stage that it should have
 *
 * Return: NULL if none should, or enough are changing.
 */
ks_member_t *ks_stage_balance_next(const ks_stage_balance_t *stages,
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
	target = CLAMP(stages->prefill_share * n, 1, n - 1);
	if (target - prefill > TARGET_TOLERANCE)
		*stage = KS_STAGE_PREFILL;
	else if (prefill - target > TARGET_TOLERANCE)
		*stage = KS_STAGE_DECODE;
	else
		return NULL;
	if (!may_change(stages, *stage, now_us))
		return NULL;
	return least_busy(members, *stage == KS_STAGE_PREFILL
					   ? KS_STAGE_DECODE
					   : KS_STAGE_PREFILL);
}

/**
 * ks_stage_balance_record() - a change has been ordered
 */
void ks_stage_balance_record(ks_stage_balance_t *stages, ks_stage_t stage,
			     int64_t now_us)
{
	stages->last = stage;
	stages->changed_us = now_us;
}
