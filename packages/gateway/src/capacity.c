/*
 * Learns how fast each upstream of a service is.
 *
 * Upstreams of one service differ in speed, and some turn slow for seconds. A
 * fixed weight does not fit, and the load that an entry sees does not show it:
 * a slow engine with few requests looks idle. Each entry observes the time of a
 * unit of work and tells the others, as none of them sees enough responses of
 * each upstream alone.
 *
 * Times are averaged as logarithms: a single request that takes ten times as
 * long counts like two that take three times as long.
 */
#include "ks/capacity.h"

#include <math.h>

/*
 * An observation counts half after this time, so that a change is followed
 * within a few seconds, and an upstream that is avoided is tried again.
 */
#define HALF_LIFE_US (6 * KS_USEC_PER_SEC)

/* Limit on the observations that count, so that a change is not outweighed. */
#define MAX_OWN_WEIGHT 20.0
#define MAX_PEER_WEIGHT 20.0

/* Observations that count as much as the prior, the median of the service. */
#define PRIOR_WEIGHT 2.0

/* An estimate with a smaller weight does not enter the median. */
#define MIN_WEIGHT 0.5

/*
 * Bounds of an estimate, so that no wrong one takes an upstream out of service,
 * and those of an observation relative to the average before it.
 */
#define MAX_SLOWNESS 4.0
#define MAX_STEP 8.0

/*
 * Bounds of the time for a unit of work: no engine takes 1 ns for a token, and
 * no request may take 10 minutes. They keep the expected times finite.
 */
#define MIN_UNIT_US 0.001
#define MAX_UNIT_US (600.0 * KS_USEC_PER_SEC)

/*
 * Units of what other entries have observed. Sums of integers are exact, so
 * that nothing is left of what is taken back.
 */
#define PEER_LOG_UNITS 1000.0
#define PEER_WEIGHT_UNITS 1000.0

/* Slowness from which an upstream is reported as slow. */
#define REPORTED_SLOWNESS 1.5

/* An upstream whose speed varies about it is not reported more often. */
#define REPORT_INTERVAL_US (5 * KS_USEC_PER_SEC)

void ks_capacity_init(ks_capacity_t *capacity)
{
	*capacity = (ks_capacity_t){ .slowness = 1 };
}

static double bounded_log(double log_us)
{
	return CLAMP(log_us, log(MIN_UNIT_US), log(MAX_UNIT_US));
}

static double decayed_weight(const ks_speed_estimate_t *estimate,
			     int64_t now_us)
{
	double age = (double)(now_us - estimate->at_us) / (double)HALF_LIFE_US;

	return estimate->weight * exp2(-MAX(age, 0));
}

/**
 * ks_capacity_record() - record the time that an upstream took for work
 * @unit_us: time for one unit, in microseconds, above 0
 */
void ks_capacity_record(ks_capacity_t *capacity, ks_work_t work, double unit_us,
			int64_t now_us)
{
	ks_speed_estimate_t *estimate = &capacity->own[work];
	double weight = decayed_weight(estimate, now_us);
	double value = log(unit_us);

	if (!isfinite(value))
		return;
	value = bounded_log(value);
	if (weight >= MIN_WEIGHT)
		value = CLAMP(value, estimate->log_us - log(MAX_STEP),
			      estimate->log_us + log(MAX_STEP));
	estimate->log_us = (weight * estimate->log_us + value) / (weight + 1);
	estimate->weight = MIN(weight + 1, MAX_OWN_WEIGHT);
	estimate->at_us = now_us;
}

/**
 * ks_capacity_get_own() - get what this entry has observed, for the others
 *
 * Return: false if it has observed nothing lately.
 */
bool ks_capacity_get_own(const ks_capacity_t *capacity, ks_work_t work,
			 int64_t now_us, double *log_us, double *weight)
{
	*weight = decayed_weight(&capacity->own[work], now_us);
	*log_us = capacity->own[work].log_us;
	return *weight >= MIN_WEIGHT;
}

/* Adds @sign times what another entry has observed. */
static void add_peer(ks_capacity_t *capacity, ks_work_t work, double log_us,
		     double weight, int sign)
{
	int64_t log_units, weight_units;

	if (!isfinite(log_us) || isnan(weight) || weight <= 0)
		return;
	log_units = llround(bounded_log(log_us) * PEER_LOG_UNITS);
	weight_units =
		llround(MIN(weight, MAX_PEER_WEIGHT) * PEER_WEIGHT_UNITS);
	capacity->peers[work].weight += sign * weight_units;
	capacity->peers[work].sum += sign * weight_units * log_units;
}

/**
 * ks_capacity_add_peer() - add what another entry has observed
 *
 * Values that are no numbers are ignored, and others are limited.
 */
void ks_capacity_add_peer(ks_capacity_t *capacity, ks_work_t work,
			  double log_us, double weight)
{
	add_peer(capacity, work, log_us, weight, 1);
}

/**
 * ks_capacity_remove_peer() - take back what was added with the same values
 */
void ks_capacity_remove_peer(ks_capacity_t *capacity, ks_work_t work,
			     double log_us, double weight)
{
	add_peer(capacity, work, log_us, weight, -1);
}

/* Combines the observations of all entries. */
static double combined_weight(const ks_capacity_t *capacity, ks_work_t work,
			      int64_t now_us, double *log_us)
{
	double own = decayed_weight(&capacity->own[work], now_us);
	double peers = (double)capacity->peers[work].weight / PEER_WEIGHT_UNITS;
	double sum = (double)capacity->peers[work].sum /
		     (PEER_WEIGHT_UNITS * PEER_LOG_UNITS);
	double weight = own + peers;

	*log_us = weight > 0 ? (own * capacity->own[work].log_us + sum) / weight
			     : 0;
	return weight;
}

/**
 * ks_capacity_get() - get the time of a unit of work, as all entries observed
 * @unit_us: set to the time in microseconds
 *
 * Return: false if nothing was observed lately.
 */
bool ks_capacity_get(const ks_capacity_t *capacity, ks_work_t work,
		     int64_t now_us, double *unit_us)
{
	double log_us;
	double weight = combined_weight(capacity, work, now_us, &log_us);

	*unit_us = exp(log_us);
	return weight >= MIN_WEIGHT;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns false if nothing is known of any upstream. */
static bool median_log_us(ks_capacity_t *const *list, size_t n, ks_work_t work,
			  int64_t now_us, double *median)
{
	double *values = g_new(double, n + 1);
	size_t known = 0;

	for (size_t i = 0; i < n; i++)
		if (combined_weight(list[i], work, now_us, &values[known]) >=
		    MIN_WEIGHT)
			known++;
	qsort(values, known, sizeof(*values), compare_doubles);
	if (known)
		*median = values[known / 2];
	g_free(values);
	return known > 0;
}

/**
 * ks_capacities_compare() - compare the upstreams of one service
 *
 * Sets @slowness, @event_us, @direct_us and @is_known of each. What is known of
 * an upstream is mixed with the prior, by the number of observations.
 */
void ks_capacities_compare(ks_capacity_t *const *list, size_t n, int64_t now_us)
{
	double medians[KS_N_WORKS];
	bool known[KS_N_WORKS];

	for (ks_work_t work = 0; work < KS_N_WORKS; work++)
		known[work] =
			median_log_us(list, n, work, now_us, &medians[work]);
	for (size_t i = 0; i < n; i++) {
		double weight = PRIOR_WEIGHT, sum = 0, log_us;

		list[i]->is_known = false;
		for (ks_work_t work = 0; work < KS_N_WORKS; work++) {
			double observed =
				combined_weight(list[i], work, now_us, &log_us);

			if (!known[work])
				continue;
			list[i]->is_known |= observed >= MIN_WEIGHT;
			weight += observed;
			sum += observed * (log_us - medians[work]);
		}
		list[i]->slowness = CLAMP(exp(sum / weight), 1 / MAX_SLOWNESS,
					  MAX_SLOWNESS);
		list[i]->direct_us = known[KS_WORK_DIRECT]
					     ? exp(medians[KS_WORK_DIRECT]) *
						       list[i]->slowness
					     : 0;
		list[i]->event_us = known[KS_WORK_EVENTS]
					    ? exp(medians[KS_WORK_EVENTS]) *
						      list[i]->slowness
					    : 0;
	}
}

/**
 * ks_capacity_update_report() - find out whether an upstream has become slow,
 * or is no longer slow, since the last report
 *
 * Return: true if it is to be reported; @is_slow is set in this case.
 */
bool ks_capacity_update_report(ks_capacity_t *capacity, int64_t now_us)
{
	bool is_slow = capacity->slowness >= REPORTED_SLOWNESS;

	if (is_slow == capacity->is_slow ||
	    (capacity->reported_us &&
	     now_us - capacity->reported_us < REPORT_INTERVAL_US))
		return false;
	capacity->is_slow = is_slow;
	capacity->reported_us = now_us;
	return true;
}
