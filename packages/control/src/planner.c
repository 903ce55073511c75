/*
 * Decides on role changes of the engines of one model.
 *
 * Demand is measured in engines: the engine-seconds of prefill and of decode
 * that arrive per second. An engine with a single role does one kind of work;
 * an engine with both roles does either, with lower efficiency. Goodput is the
 * demand that the engines can serve with both kinds served in the same
 * proportion, since a request needs both.
 *
 * The demand of the last dwell time is kept in buckets. A change is made only
 * if it would have increased goodput in every bucket, and if both its average
 * and its forecast gain exceed its cost. The buckets cover all phases of an
 * oscillation with a period of up to the dwell time. Since undoing a change
 * gains what the change loses, such an oscillation cannot justify a change and
 * then its reversal.
 */
#include "ks/control.h"

#include <string.h>

#define N_BUCKETS 16

/* Throughput of an engine with both roles relative to one with one role. */
#define MIXED_EFFICIENCY 0.9

/*
 * Minimum gain as a fraction of the goodput. If an oscillation aligns with the
 * bucket boundaries, bucket averages differ by up to half of this.
 */
#define MIN_GAIN_RATIO 0.02

/*
 * Minimum fraction of engines that must be visible. Below it, the view is more
 * likely wrong than the engines are down, or a failure domain is down and will
 * recover; neither calls for a role change.
 */
#define MIN_READY_RATIO 0.75

/* Number of recent changes kept, to detect changes that are undone. */
#define N_RECENT_CHANGES 8

/* Demand in engines, that is engine-seconds of work per second. */
struct demand {
	double prefill;
	double decode;
};

/* Sum of the demand samples in one interval, which has the index @number. */
struct bucket {
	int64_t number;
	unsigned samples;
	struct demand sum;
};

/* Number of engines with each role. */
struct capacity {
	double prefill;
	double decode;
	double both;
};

/* A role change, kept to detect that it is undone. */
struct recent_change {
	char engine[64];
	ks_engine_role_t from;
	int64_t at_us;
};

/**
 * struct ks_planner - planner of one model
 * @buckets: ring of the demand history, indexed by bucket number
 * @first_us: first sample since the last gap; INT64_MAX if none
 * @last_us: last sample; INT64_MIN if none
 * @hold_off_until_us: no change is made before this time
 * @recent: ring of the most recent changes
 */
struct ks_planner {
	ks_planner_options_t options;
	struct bucket buckets[N_BUCKETS];
	int64_t bucket_us;
	int64_t first_us;
	int64_t last_us;
	int64_t hold_off_until_us;
	struct recent_change recent[N_RECENT_CHANGES];
	ks_planner_report_t report;
};

/**
 * ks_planner_new() - create the planner of one model
 */
ks_planner_t *ks_planner_new(const ks_planner_options_t *options)
{
	ks_planner_t *planner = g_new0(ks_planner_t, 1);

	planner->options = *options;
	planner->bucket_us = MAX(options->dwell_us / N_BUCKETS, 1);
	planner->first_us = INT64_MAX;
	planner->last_us = INT64_MIN;
	planner->hold_off_until_us = INT64_MIN;
	return planner;
}

/**
 * ks_planner_free() - free a planner
 */
void ks_planner_free(ks_planner_t *planner)
{
	g_free(planner);
}

static size_t bucket_index(int64_t number)
{
	return (size_t)((number % N_BUCKETS + N_BUCKETS) % N_BUCKETS);
}

/**
 * ks_planner_observe() - record the demand since the last call
 * @prefill: engine-seconds of prefill that arrived per second
 * @decode: engine-seconds of decode that arrived per second
 */
void ks_planner_observe(ks_planner_t *planner, double prefill, double decode,
			int64_t now_us)
{
	int64_t number = now_us / planner->bucket_us;
	struct bucket *bucket = &planner->buckets[bucket_index(number)];

	/* After a gap in the samples, the history starts anew. */
	if (planner->last_us != INT64_MIN &&
	    now_us - planner->last_us > 2 * planner->bucket_us)
		planner->first_us = INT64_MAX;
	planner->first_us = MIN(planner->first_us, now_us);
	planner->last_us = now_us;
	if (bucket->number != number || bucket->samples == 0)
		*bucket = (struct bucket){ .number = number };
	bucket->samples++;
	bucket->sum.prefill += prefill;
	bucket->sum.decode += decode;
}

/**
 * ks_planner_hold_off() - make no change for a dwell time
 *
 * Called when the planner lease changes hands, since the previous holder may
 * have just made a change.
 */
void ks_planner_hold_off(ks_planner_t *planner, int64_t now_us)
{
	planner->hold_off_until_us = now_us + planner->options.dwell_us;
}

/* Fills @history, oldest first. Returns false if it covers no full dwell time.
 */
static bool read_history(const ks_planner_t *planner, int64_t now_us,
			 struct demand history[N_BUCKETS])
{
	int64_t last = planner->last_us / planner->bucket_us;
	int64_t covered = N_BUCKETS * planner->bucket_us;

	if (planner->first_us == INT64_MAX ||
	    now_us - planner->first_us < covered ||
	    now_us - planner->last_us > 2 * planner->bucket_us)
		return false;
	for (int i = 0; i < N_BUCKETS; i++) {
		int64_t number = last - (N_BUCKETS - 1) + i;
		const struct bucket *bucket =
			&planner->buckets[bucket_index(number)];

		/* A bucket without samples repeats the previous one. */
		if (bucket->number == number && bucket->samples > 0)
			history[i] = (struct demand){
				bucket->sum.prefill / bucket->samples,
				bucket->sum.decode / bucket->samples
			};
		else if (i > 0)
			history[i] = history[i - 1];
		else
			return false;
	}
	return true;
}

static double goodput(const struct capacity *capacity,
		      const struct demand *demand)
{
	double both = capacity->both * MIXED_EFFICIENCY;
	double total = demand->prefill + demand->decode;
	double served = 1.0;

	if (demand->prefill > 0)
		served = MIN(served,
			     (capacity->prefill + both) / demand->prefill);
	if (demand->decode > 0)
		served =
			MIN(served, (capacity->decode + both) / demand->decode);
	if (total > 0)
		served = MIN(served, (capacity->prefill + capacity->decode +
				      both) / total);
	return served * total;
}

static double *capacity_of(struct capacity *capacity, ks_engine_role_t role)
{
	switch (role) {
	case KS_ROLE_PREFILL:
		return &capacity->prefill;
	case KS_ROLE_DECODE:
		return &capacity->decode;
	default:
		return &capacity->both;
	}
}

static struct capacity capacity_after_change(struct capacity capacity,
					     ks_engine_role_t from,
					     ks_engine_role_t to)
{
	*capacity_of(&capacity, from) -= 1.0;
	*capacity_of(&capacity, to) += 1.0;
	return capacity;
}

/* Slope per bucket of a least-squares line through @values. */
static double linear_slope(const double *values)
{
	double mean = 0, sum = 0, squares = 0;

	for (int i = 0; i < N_BUCKETS; i++)
		mean += values[i] / N_BUCKETS;
	for (int i = 0; i < N_BUCKETS; i++) {
		double x = i - (N_BUCKETS - 1) / 2.0;

		sum += x * (values[i] - mean);
		squares += x * x;
	}
	return sum / squares;
}

/*
 * Forecast of the mean over the payback time, which is as long as the history.
 * It is clamped to the range of @values: extrapolating a line fitted through a
 * step would overshoot and cause one change too many.
 */
static double forecast(const double *values)
{
	double low = values[0], high = values[0];
	double recent = (values[N_BUCKETS - 1] + values[N_BUCKETS - 2]) / 2;

	for (int i = 1; i < N_BUCKETS; i++) {
		low = MIN(low, values[i]);
		high = MAX(high, values[i]);
	}
	return CLAMP(recent + linear_slope(values) * N_BUCKETS / 2, low, high);
}

static struct demand forecast_demand(const struct demand *history)
{
	double prefill[N_BUCKETS], decode[N_BUCKETS];

	for (int i = 0; i < N_BUCKETS; i++) {
		prefill[i] = history[i].prefill;
		decode[i] = history[i].decode;
	}
	return (struct demand){ forecast(prefill), forecast(decode) };
}

/*
 * Returns the gain over the payback time minus the cost, in engine-seconds of
 * goodput. A change with a net gain of 0 or less is not made.
 */
static double net_gain(const ks_planner_t *planner,
		       const struct demand *history,
		       const struct capacity *before,
		       const struct capacity *after)
{
	double payback_s = (double)planner->options.dwell_us / KS_USEC_PER_SEC;
	double cost = (double)planner->options.change_us / KS_USEC_PER_SEC *
		      planner->options.role_change_cost;
	struct demand expected = forecast_demand(history);
	double mean = 0, base = 0, later;

	for (int i = 0; i < N_BUCKETS; i++) {
		double old = goodput(before, &history[i]);
		double gain = goodput(after, &history[i]) - old;

		if (gain <= 0)
			return 0;
		mean += gain / N_BUCKETS;
		base += old / N_BUCKETS;
	}
	later = goodput(after, &expected) - goodput(before, &expected);
	if (MIN(mean, later) < MIN_GAIN_RATIO * base)
		return 0;
	return MIN(mean, later) * payback_s - cost;
}

static bool domain_has_change(const ks_plan_engine_t *engines, size_t n_engines,
			      ks_str_t domain)
{
	for (size_t i = 0; i < n_engines; i++)
		if (engines[i].changing &&
		    ks_str_equal(engines[i].domain, domain))
			return true;
	return false;
}

/*
 * Returns the ready engine of a role with the fewest requests in flight, in a
 * failure domain without a change in progress; @n_engines if there is none.
 */
static size_t pick_engine(const ks_plan_engine_t *engines, size_t n_engines,
			  ks_engine_role_t role)
{
	size_t best = n_engines;

	for (size_t i = 0; i < n_engines; i++) {
		const ks_plan_engine_t *engine = &engines[i];

		if (!engine->ready || engine->changing || engine->role != role)
			continue;
		if (best != n_engines &&
		    engine->in_flight >= engines[best].in_flight)
			continue;
		if (!domain_has_change(engines, n_engines, engine->domain))
			best = i;
	}
	return best;
}

/*
 * Counts the visible engines by role; an engine that is changing counts with
 * its new role. Returns false if too few engines are visible.
 */
static bool count_engines(const ks_plan_engine_t *engines, size_t n_engines,
			  struct capacity *capacity)
{
	size_t known = 0;

	*capacity = (struct capacity){ 0 };
	for (size_t i = 0; i < n_engines; i++) {
		if (!engines[i].ready && !engines[i].changing)
			continue;
		known++;
		*capacity_of(capacity, engines[i].role) += 1.0;
	}
	return n_engines > 0 &&
	       (double)known >= MIN_READY_RATIO * (double)n_engines;
}

static bool may_decide(const ks_planner_t *planner, int64_t view_us,
		       bool lease_held, int64_t now_us)
{
	return lease_held && now_us >= planner->hold_off_until_us &&
	       now_us - view_us <= planner->options.stale_us;
}

/**
 * ks_planner_decide() - decide on at most one role change
 * @engines: every engine of the model in the plan
 * @view_us: when @engines was built from current heartbeats
 * @change: set if a change is to be made
 *
 * The last engine of a role keeps it. No engine is given a role that no engine
 * has, for two reasons: as the only engine of the role it could not be changed
 * back, and the role "both" as an intermediate step between prefill and decode
 * would turn one change into two.
 *
 * No decision is made without the lease, with a stale view, with a history that
 * does not cover the dwell time, within the dwell time after a change, or while
 * more than a quarter of the engines are not visible. No engine is chosen in a
 * failure domain in which another engine is changing.
 *
 * Return: true if a change is to be made. The caller then writes the plan and
 * calls ks_planner_record_change() once the write may have taken effect.
 */
bool ks_planner_decide(const ks_planner_t *planner,
		       const ks_plan_engine_t *engines, size_t n_engines,
		       int64_t view_us, bool lease_held, int64_t now_us,
		       ks_plan_change_t *change)
{
	static const ks_engine_role_t roles[] = { KS_ROLE_BOTH, KS_ROLE_PREFILL,
						  KS_ROLE_DECODE };
	struct demand history[N_BUCKETS];
	struct capacity before;

	change->gain = 0;
	if (!may_decide(planner, view_us, lease_held, now_us) ||
	    !count_engines(engines, n_engines, &before) ||
	    !read_history(planner, now_us, history))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
		size_t engine = pick_engine(engines, n_engines, roles[i]);

		if (engine == n_engines || *capacity_of(&before, roles[i]) < 2)
			continue;
		for (size_t j = 0; j < G_N_ELEMENTS(roles); j++) {
			struct capacity after = capacity_after_change(
				before, roles[i], roles[j]);
			double gain;

			if (i == j || *capacity_of(&before, roles[j]) < 1)
				continue;
			gain = net_gain(planner, history, &before, &after);
			if (gain > change->gain)
				*change = (ks_plan_change_t){ engine, roles[i],
							      roles[j], gain };
		}
	}
	return change->gain > 0;
}

/**
 * ks_planner_record_change() - record a change that was, or may have been, made
 */
void ks_planner_record_change(ks_planner_t *planner, ks_str_t engine,
			      ks_engine_role_t from, ks_engine_role_t to,
			      int64_t now_us)
{
	struct recent_change *next =
		&planner->recent[planner->report.changes % N_RECENT_CHANGES];

	for (int i = 0; i < N_RECENT_CHANGES; i++) {
		const struct recent_change *recent = &planner->recent[i];

		if (recent->engine[0] && recent->from == to &&
		    now_us - recent->at_us <= planner->options.dwell_us &&
		    ks_str_equal(ks_str_from(recent->engine), engine)) {
			planner->report.undone++;
			break;
		}
	}
	planner->report.changes++;
	memset(next, 0, sizeof(*next));
	memcpy(next->engine, engine.data,
	       MIN(engine.len, sizeof(next->engine) - 1));
	next->from = from;
	next->at_us = now_us;
	ks_planner_hold_off(planner, now_us);
}

/**
 * ks_planner_report() - counters of the changes made so far
 */
const ks_planner_report_t *ks_planner_report(const ks_planner_t *planner)
{
	return &planner->report;
}
