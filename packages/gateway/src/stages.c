/*
 * How many engines read prompts and how many generate. Answers a mix of long
 * prompts and short answers: an engine that generates reads prompts slowly, and
 * while it reads, every stream on it waits, so most of the reading belongs on
 * engines that do nothing else.
 *
 * Hysteresis keeps an engine that comes and goes from changing the stages of
 * others each time, as a change takes an engine away for seconds.
 */
#include "ks/gateway.h"

#include <string.h>

/*
 * Engines by which the number of readers may miss its target. More than one, so
 * that the targets for a fleet with and without one engine have a number in
 * common.
 */
#define HYSTERESIS 1.1

/* Share of the engines of a service that may be changing at once. */
#define CHANGING_SHARE 0.25

static unsigned total_running(const ks_member_t *member)
{
	return member->running + member->others_running;
}

/* The one that is least busy, so that little work waits for the change. */
static ks_member_t *least_busy(const GPtrArray *members, ks_stage_t stage)
{
	ks_member_t *best = NULL;

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];

		if (member->stage != stage || member->changing_to)
			continue;
		if (!best || total_running(member) + member->reading_tokens <
				     total_running(best) + best->reading_tokens)
			best = member;
	}
	return best;
}

/**
 * ks_stages_next() - the next engine whose stage should change
 * @members: engines of one service that accept requests
 * @prefill_share: of the engines that should read prompts
 * @stage: set to the stage that it should have
 *
 * Return: NULL if none should, or enough are changing.
 */
ks_member_t *ks_stages_next(const GPtrArray *members, double prefill_share,
			    ks_stage_t *stage)
{
	double target, prefill = 0;
	guint n = 0, changing = 0;

	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];
		ks_stage_t becomes = member->changing_to ? member->changing_to
							 : member->stage;

		if (member->stage == KS_STAGE_ANY)
			continue;
		n++;
		changing += member->changing_to != KS_STAGE_ANY;
		prefill += becomes == KS_STAGE_PREFILL;
	}
	if (n < 2 || changing >= MAX(1, CHANGING_SHARE * n))
		return NULL;
	target = CLAMP(prefill_share * n, 1, n - 1);
	if (target - prefill > HYSTERESIS) {
		*stage = KS_STAGE_PREFILL;
		return least_busy(members, KS_STAGE_DECODE);
	}
	if (prefill - target > HYSTERESIS) {
		*stage = KS_STAGE_DECODE;
		return least_busy(members, KS_STAGE_PREFILL);
	}
	return NULL;
}
