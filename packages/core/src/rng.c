/* Random number generator with an optional seed. */
#include "ks/core.h"

/**
 * ks_rng_init() - set up a generator whose sequence depends only on @seed
 */
void ks_rng_init(ks_rng_t *rng, uint32_t seed)
{
	rng->rand = g_rand_new_with_seed(seed);
}

/**
 * ks_rng_init_random() - set up a generator with a seed from the system
 */
void ks_rng_init_random(ks_rng_t *rng)
{
	rng->rand = g_rand_new();
}

/**
 * ks_rng_deinit() - free a generator
 */
void ks_rng_deinit(ks_rng_t *rng)
{
	g_rand_free(rng->rand);
	rng->rand = NULL;
}

/**
 * ks_rng_below() - return a uniform random integer
 *
 * Return: a value in [0, @limit), or 0 when @limit is 0.
 */
uint32_t ks_rng_below(ks_rng_t *rng, uint32_t limit)
{
	return limit ? (uint32_t)(g_rand_double(rng->rand) * limit) : 0;
}

/**
 * ks_rng_unit() - return a uniform random number in [0, 1)
 */
double ks_rng_unit(ks_rng_t *rng)
{
	return g_rand_double(rng->rand);
}

/**
 * ks_rng_jitter() - add jitter to a period, so that processes do not
 * synchronize
 * @base: period in any unit
 * @fraction: largest deviation as a fraction of @base
 *
 * Return: a uniform random value in [@base * (1 - @fraction), @base * (1 +
 * @fraction)).
 */
int64_t ks_rng_jitter(ks_rng_t *rng, int64_t base, double fraction)
{
	double factor = 1.0 + fraction * (2.0 * ks_rng_unit(rng) - 1.0);

	return (int64_t)((double)base * factor);
}
