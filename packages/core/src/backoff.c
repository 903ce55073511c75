/* Exponential backoff with full jitter. */
#include "ks/core.h"

/* Beyond this the shift would overflow; the ceiling is reached long before. */
#define MAX_DOUBLINGS 20

/**
 * ks_backoff_init() - set up a backoff with no failures
 * @base_us: ceiling of the first delay
 * @max_us: ceiling of every later delay
 */
void ks_backoff_init(ks_backoff_t *backoff, int64_t base_us, int64_t max_us)
{
	backoff->base_us = base_us;
	backoff->max_us = max_us;
	backoff->failures = 0;
}

/**
 * ks_backoff_next() - count a failure and draw the delay before the next try
 *
 * Full jitter spreads the clients of a service that comes back, so that its
 * recovery does not start with a burst.
 *
 * Return: delay in microseconds, at least 1.
 */
int64_t ks_backoff_next(ks_backoff_t *backoff, ks_rng_t *rng)
{
	unsigned doublings = MIN(backoff->failures, MAX_DOUBLINGS);
	int64_t ceiling = MIN(backoff->base_us << doublings, backoff->max_us);

	backoff->failures++;
	return 1 + (int64_t)(ks_rng_unit(rng) * (double)ceiling);
}

/**
 * ks_backoff_reset() - note a success
 */
void ks_backoff_reset(ks_backoff_t *backoff)
{
	backoff->failures = 0;
}
