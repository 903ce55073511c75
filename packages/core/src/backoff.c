/* Exponential backoff with full jitter. */
#include "ks/core.h"

/* Keeps the shift from overflowing; max_us is reached long before. */
#define MAX_DOUBLINGS 20

/**
 * ks_backoff_init() - set up a backoff with no failures
 * @base_us: upper bound of the first delay; doubled after each failure
 * @max_us: limit of that upper bound
 */
void ks_backoff_init(ks_backoff_t *backoff, int64_t base_us, int64_t max_us)
{
	backoff->base_us = base_us;
	backoff->max_us = max_us;
	backoff->failures = 0;
}

/**
 * ks_backoff_next() - record a failure and return the delay before the next
 * attempt
 *
 * Full jitter spreads the retries of many clients, so that a service that
 * recovers does not receive all of them at once.
 *
 * Return: delay in microseconds, at least 1.
 */
int64_t ks_backoff_next(ks_backoff_t *backoff, ks_rng_t *rng)
{
	unsigned doublings = MIN(backoff->failures, MAX_DOUBLINGS);
	int64_t bound_us = MIN(backoff->base_us << doublings, backoff->max_us);

	backoff->failures++;
	return 1 + (int64_t)(ks_rng_unit(rng) * (double)bound_us);
}

/**
 * ks_backoff_reset() - record a success
 */
void ks_backoff_reset(ks_backoff_t *backoff)
{
	backoff->failures = 0;
}
