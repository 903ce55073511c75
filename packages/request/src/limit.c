/* Adaptive concurrency limit of an upstream, computed from its latency. */
#include "ks/request.h"

#include <math.h>

/* The limit is reduced when latency exceeds the baseline by this factor. */
#define LATENCY_TOLERANCE 1.5

/* Weight of one sample in the moving average of the latency ratio. */
#define RECENT_WEIGHT 0.1

/*
 * The baseline drops immediately when latency falls below it, and rises towards
 * higher latency by this weight per sample, so that it adapts to a lasting
 * change of the workload. It rises only while less than half of the limit is in
 * use or the limit is near its minimum. Under constant load it would otherwise
 * come to include the queueing delay, and the limit would grow without bound.
 */
#define BASELINE_DRIFT 0.01

/* Lower bound of the factor by which one sample reduces the target limit. */
#define MIN_GRADIENT 0.5
/* Weight of the target in the new limit. */
#define SMOOTHING 0.05
/* Factors applied after an overload error and after a missed deadline. */
#define OVERLOAD_FACTOR 0.9
#define MISS_FACTOR 0.5

/**
 * ks_limit_init() - initialize a limit
 * @initial: initial value
 * @min: lower bound; raised to 1 if less
 * @max: upper bound
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
 * ks_limit_sample() - update the limit from the latency of a successful attempt
 * @latency_us: measured latency
 * @expected_us: expected latency on an idle upstream; dividing by it makes long
 *	and short requests comparable
 * @in_flight: attempts in flight when this one was sent, including this one
 *
 * The limit moves towards a target. If the latency ratio exceeds the baseline
 * by more than the tolerance, the target is the limit reduced in proportion to
 * the excess; otherwise it is the limit plus its square root. The limit does
 * not grow while less than half of it is in use, since such samples do not show
 * whether the upstream could handle more.
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
	gradient = CLAMP(LATENCY_TOLERANCE * limit->baseline / limit->recent,
			 MIN_GRADIENT, 1.0);
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
 * ks_limit_overload() - reduce the limit after an attempt was refused for
 * overload or timed out
 */
void ks_limit_overload(ks_limit_t *limit)
{
	limit->value = MAX(limit->value * OVERLOAD_FACTOR, limit->min);
}

/**
 * ks_limit_deadline() - update the limit from whether an attempt met its
 * deadline
 * @missed: the attempt missed its deadline
 * @in_flight: attempts in flight, including this one
 *
 * An alternative to ks_limit_sample() for workloads without a meaningful
 * latency baseline. A miss reduces the limit to a fraction of the attempts in
 * flight. Each attempt that meets its deadline while the limit is fully used
 * adds one, so the limit doubles with each round of attempts. Growth is this
 * fast because the mix of requests that caused the misses may last only
 * seconds.
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
 * ks_limit_value() - get the current limit on attempts in flight
 */
unsigned ks_limit_value(const ks_limit_t *limit)
{
	return (unsigned)limit->value;
}
