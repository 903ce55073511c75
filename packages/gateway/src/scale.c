/*
 * Decides how many upstreams each failure domain of a service should have. Load
 * pattern: demand that rises and falls over minutes, with waves of some seconds
 * and bursts that are shorter than the start of an upstream. Upstreams are paid
 * for by the second, but one that is ordered when it is needed comes too late.
 *
 * The number follows the peak of the demand within a window that is longer than
 * a wave, plus the growth expected until a new upstream serves. It is raised at
 * once and lowered by one at a time, with a margin between both, so that a wave
 * does not change it.
 *
 * Missing or incomplete observations can only raise a number. The entry that
 * decides may change at any time, and what the previous one has ordered cannot
 * be read. The next one therefore lets the upstreams start that may have been
 * ordered, unless the present ones are too few.
 */
#include "ks/scale.h"

#include <math.h>

/* Bounds the memory if the names of failure domains are wrong. */
#define MAX_DOMAINS 64

#define WINDOW_BOOTS 4
#define MIN_WINDOW_US (30 * KS_USEC_PER_SEC)

/* The growth is taken from the mean loads of these parts of the window. */
#define TREND_PARTS 3
#define TREND_BUCKETS (KS_SCALE_BUCKETS / TREND_PARTS)

/*
 * Share of the upstreams that the expected peak may take up. The rest replaces
 * one of five upstreams that is lost, until another one serves.
 */
#define MAX_LOAD 0.8

/*
 * Share that the peak of the window may take up of what is left when an
 * upstream is removed. The difference to MAX_LOAD is for the trend, which
 * varies by a tenth of the load in the course of a wave.
 */
#define MAX_LOAD_AFTER_REMOVAL 0.65

/*
 * Time between two removals, as a share of the window: the load of the others
 * must have been observed without the removed upstream.
 */
#define REMOVAL_INTERVAL_SHARE 0.25

/* Longest time between two observations that form a series without a gap. */
#define MAX_GAP_US (3 * KS_USEC_PER_SEC)

/*
 * Time until an upstream that has started is known here: it announces itself,
 * and the list of upstreams is read again.
 */
#define ANNOUNCE_MARGIN_US (5 * KS_USEC_PER_SEC)

/* Larger loads are wrong, or make no difference to the result. */
#define MAX_LOAD_UPSTREAMS 1e6

static void free_domain(gpointer data)
{
	ks_scale_domain_t *domain = data;

	g_free(domain->name);
	g_free(domain);
}

/**
 * ks_scale_init() - initialize the decisions for a service, which knows no
 * orders
 */
void ks_scale_init(ks_scale_t *scale, int64_t now_us)
{
	*scale = (ks_scale_t){ 0 };
	scale->domains = g_ptr_array_new_with_free_func(free_domain);
	ks_scale_forget_orders(scale, now_us);
}

void ks_scale_deinit(ks_scale_t *scale)
{
	g_ptr_array_free(scale->domains, TRUE);
}

/**
 * ks_scale_window_us() - time over which the demand is observed
 */
int64_t ks_scale_window_us(const ks_scale_limits_t *limits)
{
	return MAX(WINDOW_BOOTS * limits->boot_us, MIN_WINDOW_US);
}

/**
 * ks_scale_set_limits() - set or change the limits
 *
 * What has been observed is dropped if the window changes.
 */
void ks_scale_set_limits(ks_scale_t *scale, const ks_scale_limits_t *limits)
{
	bool is_new_window = ks_scale_window_us(limits) !=
			     ks_scale_window_us(&scale->limits);

	scale->limits = *limits;
	scale->limits.max = MAX(limits->max, limits->min);
	for (guint i = 0; is_new_window && i < scale->domains->len; i++)
		((ks_scale_domain_t *)scale->domains->pdata[i])->observed_us =
			0;
}

/**
 * ks_scale_forget_orders() - take the numbers that were ordered as not known
 *
 * To be called when another entry may have ordered something.
 */
void ks_scale_forget_orders(ks_scale_t *scale, int64_t now_us)
{
	scale->forgotten_us = now_us;
	scale->lowered_us = now_us;
	for (guint i = 0; i < scale->domains->len; i++)
		((ks_scale_domain_t *)scale->domains->pdata[i])->has_desired =
			false;
}

static ks_scale_domain_t *find_domain(ks_scale_t *scale, const char *name)
{
	ks_scale_domain_t *domain;

	for (guint i = 0; i < scale->domains->len; i++) {
		domain = scale->domains->pdata[i];
		if (!g_strcmp0(domain->name, name))
			return domain;
	}
	if (scale->domains->len >= MAX_DOMAINS)
		return NULL;
	domain = g_new0(ks_scale_domain_t, 1);
	domain->name = g_strdup(name);
	g_ptr_array_add(scale->domains, domain);
	return domain;
}

static ks_scale_bucket_t *bucket_at(ks_scale_domain_t *domain, int64_t number)
{
	return &domain->buckets[number % (KS_SCALE_BUCKETS + 1)];
}

static int64_t bucket_us(const ks_scale_t *scale)
{
	return ks_scale_window_us(&scale->limits) / KS_SCALE_BUCKETS;
}

static void record_load(const ks_scale_t *scale, ks_scale_domain_t *domain,
			double load, int64_t now_us)
{
	int64_t number = now_us / bucket_us(scale);
	int64_t first = domain->observed_us ? domain->bucket + 1 : 0;
	ks_scale_bucket_t *bucket;

	for (int64_t i = MAX(first, number - KS_SCALE_BUCKETS); i <= number;
	     i++)
		*bucket_at(domain, i) = (ks_scale_bucket_t){ 0 };
	domain->bucket = number;
	bucket = bucket_at(domain, number);
	bucket->peak = MAX(bucket->peak, load);
	bucket->sum += load;
	bucket->n++;
}

/**
 * ks_scale_observe() - record the state of a failure domain
 * @now_us: on a monotonic clock
 *
 * An observation that cannot be right is ignored, which leaves a gap.
 */
void ks_scale_observe(ks_scale_t *scale, const char *name,
		      const ks_scale_observation_t *observation, int64_t now_us)
{
	double load = observation->demand / observation->capacity;
	ks_scale_domain_t *domain;

	if (!(observation->demand >= 0) || !(observation->capacity > 0) ||
	    !isfinite(observation->demand) || !isfinite(observation->capacity))
		return;
	domain = find_domain(scale, name);
	if (!domain || now_us < domain->observed_us)
		return;
	load = MIN(load, MAX_LOAD_UPSTREAMS);
	record_load(scale, domain, load, now_us);
	if (!domain->observed_us || !observation->is_complete ||
	    now_us - domain->observed_us > MAX_GAP_US)
		domain->complete_since_us = now_us;
	domain->load = load;
	domain->current = observation->current;
	domain->observed_us = now_us;
}

static bool is_fresh(const ks_scale_domain_t *domain, int64_t now_us)
{
	return domain->observed_us &&
	       now_us - domain->observed_us <= MAX_GAP_US;
}

static bool is_complete_for(const ks_scale_domain_t *domain,
			    int64_t duration_us, int64_t now_us)
{
	return is_fresh(domain, now_us) &&
	       now_us - domain->complete_since_us >= duration_us;
}

static double window_peak(const ks_scale_domain_t *domain)
{
	double peak = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(domain->buckets); i++)
		peak = MAX(peak, domain->buckets[i].peak);
	return peak;
}

/*
 * Returns the mean load of a part of the window, the latest of which is part 0.
 * The bucket that is being filled is left out.
 */
static double mean_load(ks_scale_domain_t *domain, int part)
{
	int64_t last = domain->bucket - 1 - (int64_t)part * TREND_BUCKETS;
	double sum = 0;
	unsigned n = 0;

	for (int64_t i = MAX(last - TREND_BUCKETS + 1, 0); i <= last; i++) {
		sum += bucket_at(domain, i)->sum;
		n += bucket_at(domain, i)->n;
	}
	return n ? sum / n : 0;
}

/*
 * Returns by how much the load is expected to grow until a new upstream serves.
 * Only growth that has lasted for the whole window counts, so that a burst is
 * not continued.
 */
static double expected_growth(const ks_scale_t *scale,
			      ks_scale_domain_t *domain, int64_t now_us)
{
	int64_t window_us = ks_scale_window_us(&scale->limits);
	double latest, middle, oldest;

	if (!is_complete_for(domain, window_us + bucket_us(scale), now_us))
		return 0;
	latest = mean_load(domain, 0);
	middle = mean_load(domain, 1);
	oldest = mean_load(domain, 2);
	return MAX(MIN(latest - middle, middle - oldest), 0) *
	       (double)scale->limits.boot_us * TREND_PARTS / (double)window_us;
}

/*
 * At least one upstream of a failure domain is kept. Without any, requests
 * would be refused, and no demand would be observed.
 */
static unsigned lower_limit(const ks_scale_limits_t *limits)
{
	return MIN(MAX(limits->min, 1), limits->max);
}

/* Returns how many upstreams carry a load, within the limits. */
static unsigned upstreams_for(const ks_scale_t *scale, double load,
			      double max_load)
{
	double n = ceil(load / max_load);

	if (n >= scale->limits.max)
		return scale->limits.max;
	return MAX((unsigned)n, lower_limit(&scale->limits));
}

/* Returns the number needed for the peak that is expected. */
static unsigned wanted(const ks_scale_t *scale, ks_scale_domain_t *domain,
		       int64_t now_us)
{
	double growth;

	if (!is_fresh(domain, now_us))
		return lower_limit(&scale->limits);
	growth = expected_growth(scale, domain, now_us);
	if (upstreams_for(scale, domain->load + growth, MAX_LOAD) >=
	    domain->desired)
		domain->needed_us = now_us;
	return upstreams_for(scale, window_peak(domain) + growth, MAX_LOAD);
}

/*
 * Sets the first number after the orders were forgotten. What was ordered
 * before may still be starting, so that the number of present upstreams is
 * taken only after that time, unless it is too low already.
 */
static void begin(const ks_scale_t *scale, ks_scale_domain_t *domain,
		  bool is_settled, int64_t now_us)
{
	if (!is_fresh(domain, now_us) ||
	    (!is_settled &&
	     upstreams_for(scale, domain->load, 1) <= domain->current))
		return;
	domain->has_desired = true;
	domain->desired = MIN(domain->current, scale->limits.max);
	domain->needed_us = now_us;
}

static void decide_domain(const ks_scale_t *scale, ks_scale_domain_t *domain,
			  int64_t now_us)
{
	int64_t start_us = scale->limits.boot_us + ANNOUNCE_MARGIN_US;
	bool is_settled = now_us - scale->forgotten_us >= start_us &&
			  is_complete_for(domain, start_us, now_us);
	unsigned n;

	if (!domain->has_desired)
		begin(scale, domain, is_settled, now_us);
	if (!domain->has_desired)
		return;
	n = MAX(wanted(scale, domain, now_us), domain->desired);
	/* Upstreams that the previous holder ordered have started since. */
	if (now_us - scale->forgotten_us < start_us && is_fresh(domain, now_us))
		n = MAX(n, domain->current);
	domain->desired = MIN(n, scale->limits.max);
}

/*
 * Returns how much of the upstreams left after a removal the peak would take
 * up; infinity if none may be removed. Upstreams that are missing count as
 * absent, as their requests may have been lost with them.
 */
static double load_after_removal(const ks_scale_t *scale,
				 const ks_scale_domain_t *domain,
				 int64_t now_us)
{
	int64_t window_us = ks_scale_window_us(&scale->limits);
	unsigned present = MIN(domain->current, domain->desired);

	if (!domain->has_desired || present < 2 ||
	    domain->desired <= lower_limit(&scale->limits) ||
	    now_us - domain->needed_us < window_us ||
	    !is_complete_for(domain, window_us, now_us))
		return INFINITY;
	return window_peak(domain) / (present - 1);
}

/* Removes one upstream in the failure domain that needs it least. */
static void lower(ks_scale_t *scale, int64_t now_us)
{
	int64_t interval_us =
		(int64_t)(REMOVAL_INTERVAL_SHARE *
			  (double)ks_scale_window_us(&scale->limits));
	ks_scale_domain_t *best = NULL;
	double least = MAX_LOAD_AFTER_REMOVAL;

	if (now_us - scale->lowered_us < interval_us)
		return;
	for (guint i = 0; i < scale->domains->len; i++) {
		ks_scale_domain_t *domain = scale->domains->pdata[i];
		double load = load_after_removal(scale, domain, now_us);

		if (load > least)
			continue;
		least = load;
		best = domain;
	}
	if (!best)
		return;
	best->desired--;
	scale->lowered_us = now_us;
}

/**
 * ks_scale_decide() - update the desired number of each failure domain
 *
 * To be called several times in each bucket of the window, after
 * ks_scale_observe(). Sets @has_desired and @desired of the failure domains.
 */
void ks_scale_decide(ks_scale_t *scale, int64_t now_us)
{
	for (guint i = 0; i < scale->domains->len; i++)
		decide_domain(scale, scale->domains->pdata[i], now_us);
	lower(scale, now_us);
}
