/* Concurrency limit of an upstream, learned from latency. */
#include "ks/request.h"

#include <math.h>

/* Latency may exceed the baseline by this factor before the limit falls. */
#define TOLERANCE 1.5

/* Weight of a sample in the recent latency. */
#define RECENT_WEIGHT 0.1

/*
 * The baseline follows faster samples at once and slower ones by this weight,
 * so that a lasting change of the work's nature becomes the new baseline. It
 * rises only while the upstream is lightly used or the limit is near its
 * minimum: under steady load it would learn the queueing as normal, and the
 * limit would creep up without end.
 */
#define BASELINE_DRIFT 0.01

#define LEAST_GRADIENT 0.5
#define SMOOTHING 0.05
#define OVERLOAD_FACTOR 0.9
#define MISS_FACTOR 0.5

/**
 * ks_limit_init() - set up a limit
 * @initial: first value
 * @min: least value, at least 1
 * @max: greatest value
 */
void ks_limit_init(ks_limit_t *limit, double initial, double min, double max)
{
	limit->min = MAX(min, 1.0);
	limit->max = MAX(max, limit->min);
	limit->value = CLAMP(initial, limit->min, limit->max);
	limit->baseline = 0;
	limit->recent = 0;
}

/**
 * ks_limit_sample() - learn from an attempt that was answered
 * @latency_us: time it took
 * @expected_us: time expected for its work on an idle upstream, so that long
 *	and short requests can be compared
 * @in_flight: attempts under way when it was sent, itself included
 *
 * The limit shrinks in proportion to the growth of latency over its baseline
 * and otherwise grows by its square root. It does not grow while less than
 * half of it is in use, since such samples say nothing about it.
 */
void ks_limit_sample(ks_limit_t *limit, int64_t latency_us, int64_t expected_us,
		     unsigned in_flight)
{
	double ratio = (double)MAX(latency_us, 1) / (double)MAX(expected_us, 1);
	double gradient, target;

	if (limit->baseline <= 0) {
		limit->baseline = ratio;
		limit->recent = ratio;
	}
	limit->recent += RECENT_WEIGHT * (ratio - limit->recent);
	if (limit->recent < limit->baseline)
		limit->baseline = limit->recent;
	else if (2.0 * in_flight < limit->value ||
		 limit->value < 2.0 * limit->min)
		limit->baseline +=
			BASELINE_DRIFT * (limit->recent - limit->baseline);
	gradient = CLAMP(TOLERANCE * limit->baseline / limit->recent,
			 LEAST_GRADIENT, 1.0);
	target = gradient * limit->value;
	if (gradient >= 1.0) {
		if (2.0 * in_flight < limit->value)
			return;
		target += sqrt(limit->value);
	}
	limit->value += SMOOTHING * (target - limit->value);
	limit->value = CLAMP(limit->value, limit->min, limit->max);
}

/**
 * ks_limit_overload() - learn from an attempt refused as over the limit, or
 *	timed out
 */
void ks_limit_overload(ks_limit_t *limit)
{
	limit->value = MAX(limit->value * OVERLOAD_FACTOR, limit->min);
}

/**
 * ks_limit_deadline() - learn from whether an attempt met its deadline
 * @in_flight: attempts under way, itself included
 *
 * For uses in which latency has no meaningful baseline: the limit falls to a
 * share of what was in flight at a miss, and grows by one for each attempt in
 * time while it is in use. It so doubles with each round, since the mix of
 * requests that caused the misses may be over within seconds.
 */
void ks_limit_deadline(ks_limit_t *limit, bool missed, double in_flight)
{
	if (missed)
		limit->value = MIN(limit->value, in_flight) * MISS_FACTOR;
	else if (in_flight + 1.0 >= limit->value)
		limit->value += 1.0;
	limit->value = CLAMP(limit->value, limit->min, limit->max);
}

/**
 * ks_limit_value() - attempts that may be under way at once
 */
unsigned ks_limit_value(const ks_limit_t *limit)
{
	return (unsigned)limit->value;
}
