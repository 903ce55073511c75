/* Seeded random numbers. */
#include "ks/core.h"

/**
 * ks_rng_init() - set up a generator whose sequence depends on @seed only
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
 * ks_rng_deinit() - free what ks_rng_init() allocated
 */
void ks_rng_deinit(ks_rng_t *rng)
{
	g_rand_free(rng->rand);
	rng->rand = NULL;
}

/**
 * ks_rng_below() - uniform integer
 *
 * Return: a value in [0, @limit), or 0 when @limit is 0.
 */
uint32_t ks_rng_below(ks_rng_t *rng, uint32_t limit)
{
	return limit ? (uint32_t)(g_rand_double(rng->rand) * limit) : 0;
}

/**
 * ks_rng_unit() - uniform real number in [0, 1)
 */
double ks_rng_unit(ks_rng_t *rng)
{
	return g_rand_double(rng->rand);
}

/**
 * ks_rng_jitter() - spread a period so that processes do not fall into step
 * @base: the period
 * @fraction: greatest deviation as a share of @base
 *
 * Return: uniform in [@base * (1 - @fraction), @base * (1 + @fraction)).
 */
int64_t ks_rng_jitter(ks_rng_t *rng, int64_t base, double fraction)
{
	double factor = 1.0 + fraction * (2.0 * ks_rng_unit(rng) - 1.0);

	return (int64_t)((double)base * factor);
}
