/*
 * Decides on role changes of the engines of one model.
 *
 * Demand is counted in engines: the engine-seconds of prefill and of decoding
 * that arrive each second. An engine of one role does one kind of work; an
 * engine with both roles does either, somewhat less efficiently. Goodput is the
 * demand that the engines can serve while both kinds are served in proportion,
 * since a request needs both.
 *
 * The demand of the last dwell time is kept in buckets. A change is made only
 * when it would have paid in every one of them, and pays its cost on average
 * and by the forecast. An oscillation with a period up to the dwell time shows
 * all its phases in the buckets. Since undoing a change gains what the change
 * itself loses, such an oscillation cannot justify both.
 */
#include "ks/control.h"

#include <string.h>

#define N_BUCKETS 16

/* Work that an engine with both roles does, against one with a single role. */
#define MIXED_EFFICIENCY 0.9

/*
 * Least gain as a share of the goodput. Bucket averages of an oscillation that
 * falls into step with the buckets can differ by up to half of this.
 */
#define MIN_GAIN_RATIO 0.02

/*
 * With fewer ready engines than this share, more likely the view is at fault
 * than the engines, or a failure domain is lost and will come back.
 */
#define MIN_READY_RATIO 0.75

/* The most recent changes, kept to recognise those that are undone. */
#define N_RECENT_CHANGES 8

struct demand {
	double prefill;
	double decode;
};

struct bucket {
	int64_t number;
	unsigned samples;
	struct demand sum;
};

struct capacity {
	double prefill;
	double decode;
	double both;
};

struct recent_change {
	char engine[64];
	ks_engine_role_t from;
	int64_t at_us;
};

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
 * ks_planner_new() - set up the planner of one model
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
 * ks_planner_observe() - note the demand since the last call
 * @prefill: engine-seconds of prefill that arrived each second
 * @decode: engine-seconds of decoding that arrived each second
 */
void ks_planner_observe(ks_planner_t *planner, double prefill, double decode,
			int64_t now_us)
{
	int64_t number = now_us / planner->bucket_us;
	struct bucket *bucket = &planner->buckets[bucket_index(number)];

	/* Times without samples would be missing from the history. */
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
 * For a planner that takes over: the one before may have just made a change.
 */
void ks_planner_hold_off(ks_planner_t *planner, int64_t now_us)
{
	planner->hold_off_until_us = now_us + planner->options.dwell_us;
}

/* Fills @history, oldest first; false unless it covers a whole dwell time. */
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

		/* An empty bucket stands for the one before it. */
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

/* Trend of one series by least squares, for each bucket. */
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
 * Mean over the payback time, which is as long as the history. It stays inside
 * what was seen: a trend drawn through a step would otherwise overshoot, and
 * call for a change too many.
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

/* Gain over the payback time, less the cost; 0 or less: do not change. */
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

/* The engine of a role that disturbs least, or @n_engines. */
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
 * Counts the ready engines. False when too many are not ready. Engines that
 * change count with the role they are about to have.
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
 * @view_us: when @engines was put together from current heartbeats
 * @change: set when a change is to be made
 *
 * The last engine of a role keeps it, and no engine is given a role that none
 * has: it could not be taken back, and an engine with both roles on the way
 * from one to the other would make two changes of one. Nothing is decided
 * without the lease, with a stale view or a history that does not cover the
 * dwell time, within the dwell time after a change, or while more than a
 * quarter of the engines cannot be seen; and no engine is chosen in a failure
 * domain where another changes.
 *
 * Return: true when a change is to be made. The caller then writes the plan and
 * calls ks_planner_record_change() once that may have taken effect.
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
 * ks_planner_record_change() - note a change that was, or may have been, made
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
 * ks_planner_report() - changes so far
 */
const ks_planner_report_t *ks_planner_report(const ks_planner_t *planner)
{
	return &planner->report;
}
