/*
 * Deletes claims whose retention period has ended, hour by hour. Idempotency
 * keys that old are refused, so no late duplicate can miss a deleted claim.
 */
#include "ks/entry.h"

#define HOUR_US (3600 * KS_USEC_PER_SEC)
#define SWEEP_INTERVAL_US HOUR_US
/* Claims of hour H expire at H + 1 h + retention; one hour is spare. */
#define RETENTION_HOURS (KS_KEY_RETENTION_US / HOUR_US + 2)
/* Hours checked again after a start, to cover a store outage of two days. */
#define LOOK_BACK_HOURS 48
#define RETRY_BASE_US (1 * KS_USEC_PER_SEC)
#define RETRY_MAX_US (60 * KS_USEC_PER_SEC)

/**
 * struct ks_claim_sweep - periodic deletion of expired claims
 * @next_hour: first hour whose claims may still exist
 * @removal_pending: a removal has no result from the store yet
 * @freed: ks_claim_sweep_free() was called during a removal, whose completion
 *	releases the memory
 */
struct ks_claim_sweep {
	ks_loop_t *loop;
	ks_store_t *store;
	const ks_clock_t *wall;
	ks_rng_t *rng;
	ks_timer_t timer;
	ks_backoff_t backoff;
	int64_t next_hour;
	bool removal_pending;
	bool freed;
};

static int64_t end_hour(const ks_claim_sweep_t *sweep)
{
	return ks_claim_hour(ks_clock_now(sweep->wall)) - RETENTION_HOURS;
}

static void remove_next(void *ctx);

static void on_removed(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row G_GNUC_UNUSED)
{
	ks_claim_sweep_t *sweep = ctx;

	sweep->removal_pending = false;
	if (sweep->freed) {
		g_free(sweep);
		return;
	}
	if (outcome != KS_STORE_DONE) {
		ks_timer_set(&sweep->timer,
			     ks_backoff_next(&sweep->backoff, sweep->rng));
		return;
	}
	ks_backoff_reset(&sweep->backoff);
	sweep->next_hour++;
	remove_next(sweep);
}

static void remove_next(void *ctx)
{
	ks_claim_sweep_t *sweep = ctx;
	char *prefix;

	if (sweep->next_hour > end_hour(sweep)) {
		ks_timer_set(&sweep->timer,
			     ks_rng_jitter(sweep->rng, SWEEP_INTERVAL_US, 0.5));
		return;
	}
	prefix = g_strdup_printf("claim/%" G_GINT64_FORMAT "/",
				 sweep->next_hour);
	sweep->removal_pending = true;
	sweep->store->remove_prefix(sweep->store->impl, ks_str_from(prefix),
				    on_removed, sweep);
	g_free(prefix);
}

/**
 * ks_claim_sweep_new() - start the periodic deletion of expired claims
 * @wall: Unix time
 */
ks_claim_sweep_t *ks_claim_sweep_new(ks_loop_t *loop, ks_store_t *store,
				     const ks_clock_t *wall, ks_rng_t *rng)
{
	ks_claim_sweep_t *sweep = g_new0(ks_claim_sweep_t, 1);

	sweep->loop = loop;
	sweep->store = store;
	sweep->wall = wall;
	sweep->rng = rng;
	sweep->next_hour = end_hour(sweep) - LOOK_BACK_HOURS;
	ks_backoff_init(&sweep->backoff, RETRY_BASE_US, RETRY_MAX_US);
	ks_timer_init(&sweep->timer, loop, remove_next, sweep);
	ks_timer_set(&sweep->timer,
		     ks_rng_jitter(rng, SWEEP_INTERVAL_US / 2, 0.9));
	return sweep;
}

/**
 * ks_claim_sweep_free() - stop the periodic deletion of expired claims
 */
void ks_claim_sweep_free(ks_claim_sweep_t *sweep)
{
	ks_timer_clear(&sweep->timer);
	if (sweep->removal_pending)
		sweep->freed = true;
	else
		g_free(sweep);
}
