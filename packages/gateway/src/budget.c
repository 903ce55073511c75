/*
 * Retry budget of a service. Without a limit, every request that fails under
 * overload or partial failure is retried, and the retries keep the upstreams
 * overloaded after the cause has gone.
 *
 * The platform limits the retries of all entries together. In every interval of
 * the window's length they may not exceed a share of the requests of that
 * interval, of the one before it, or of the one that began half a window
 * earlier. An entry does not know which of these has most requests in total, so
 * each entry compares its retries with the mean of the latter two: the sum over
 * all entries is then within the limit even if their loads peak at different
 * times.
 */
#include "ks/gateway.h"

#include <string.h>

/* The demand is measured over so many whole buckets. */
#define DEMAND_BUCKETS 4

/**
 * ks_budget_init() - initialize a budget with an empty window
 * @window_us: length of the window in microseconds
 */
void ks_budget_init(ks_budget_t *budget, double ratio, double slack,
		    int64_t window_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->ratio = ratio;
	budget->slack = slack;
	budget->window_us = window_us;
}

static size_t slot(int64_t bucket)
{
	return (size_t)(bucket % KS_BUDGET_HISTORY);
}

static void advance(ks_budget_t *budget, int64_t now_us)
{
	int64_t bucket_us = budget->window_us / KS_BUDGET_BUCKETS;
	int64_t epoch = now_us / bucket_us;
	int64_t steps = MIN(epoch - budget->epoch, KS_BUDGET_HISTORY);

	for (int64_t i = 0; i < steps; i++) {
		budget->requests[slot(epoch - i)] = 0;
		budget->extra[slot(epoch - i)] = 0;
	}
	if (steps > 0)
		budget->epoch = epoch;
}

/**
 * ks_budget_request() - count a request, which raises the limit
 */
void ks_budget_request(ks_budget_t *budget, int64_t now_us)
{
	advance(budget, now_us);
	budget->requests[slot(budget->epoch)]++;
}

/* Counts the requests of the buckets from @first to @last, both included. */
static unsigned count_requests(const ks_budget_t *budget, int64_t first,
			       int64_t last)
{
	unsigned n = 0;

	/* The clock may have begun less than the history ago. */
	first = MAX(MAX(first, 0), budget->epoch - KS_BUDGET_HISTORY + 1);
	for (int64_t i = first; i <= MIN(last, budget->epoch); i++)
		n += budget->requests[slot(i)];
	return n;
}

/*
 * Returns the retries allowed in each interval that begins within a bucket.
 * Only buckets that are part of the compared interval wherever in the bucket it
 * begins are counted.
 */
static double allowed(const ks_budget_t *budget, int64_t begin)
{
	const int64_t half = KS_BUDGET_BUCKETS / 2;
	unsigned before = count_requests(budget, begin - KS_BUDGET_BUCKETS + 1,
					 begin - 1),
		 overlapping = count_requests(budget, begin - half + 1,
					      begin + half - 1);

	return budget->ratio * (before + overlapping) / 2 + budget->slack;
}

/**
 * ks_budget_take() - request permission for one retry
 *
 * Return: whether the retry is allowed; if so, it has been counted.
 */
bool ks_budget_take(ks_budget_t *budget, int64_t now_us)
{
	unsigned extra = 1;

	advance(budget, now_us);
	for (int64_t i = 0; i <= KS_BUDGET_BUCKETS; i++) {
		int64_t begin = budget->epoch - i;

		if (begin >= 0)
			extra += budget->extra[slot(begin)];
		if (extra > allowed(budget, begin))
			return false;
	}
	budget->extra[slot(budget->epoch)]++;
	return true;
}

/**
 * ks_budget_demand() - get the requests per second of the last few seconds
 */
double ks_budget_demand(ks_budget_t *budget, int64_t now_us)
{
	int64_t bucket_us = budget->window_us / KS_BUDGET_BUCKETS;

	advance(budget, now_us);
	return (double)count_requests(budget, budget->epoch - DEMAND_BUCKETS,
				      budget->epoch - 1) *
	       (double)KS_USEC_PER_SEC / (double)(DEMAND_BUCKETS * bucket_us);
}
