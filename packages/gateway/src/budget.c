/*
 * Retry budget of a service. Without a limit, every request that fails under
 * overload or partial failure is retried, and the retries keep the upstreams
 * overloaded after the cause has gone.
 */
#include "ks/gateway.h"

#include <string.h>

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

static void advance(ks_budget_t *budget, int64_t now_us)
{
	int64_t bucket_us = budget->window_us / KS_BUDGET_BUCKETS;
	int64_t epoch = now_us / bucket_us;
	int64_t steps = MIN(epoch - budget->epoch, KS_BUDGET_BUCKETS + 1);

	for (int64_t i = 0; i < steps; i++) {
		size_t at = (size_t)((epoch - i) % (KS_BUDGET_BUCKETS + 1));

		budget->requests[at] = 0;
		budget->extra[at] = 0;
	}
	if (steps > 0)
		budget->epoch = epoch;
}

static size_t current(const ks_budget_t *budget)
{
	return (size_t)(budget->epoch % (KS_BUDGET_BUCKETS + 1));
}

/**
 * ks_budget_request() - count a request, which raises the limit
 */
void ks_budget_request(ks_budget_t *budget, int64_t now_us)
{
	advance(budget, now_us);
	budget->requests[current(budget)]++;
}

/**
 * ks_budget_take() - request permission for one retry
 *
 * Retries are counted over one bucket more than the window and requests over
 * one bucket less, so that the limit holds for every interval of the window's
 * length, wherever it begins.
 *
 * Return: whether the retry is allowed; if so, it has been counted.
 */
bool ks_budget_take(ks_budget_t *budget, int64_t now_us)
{
	unsigned requests = 0, extra = 0;
	size_t oldest;

	advance(budget, now_us);
	oldest = (size_t)((budget->epoch + 1) % (KS_BUDGET_BUCKETS + 1));
	for (size_t i = 0; i <= KS_BUDGET_BUCKETS; i++) {
		extra += budget->extra[i];
		if (i != oldest)
			requests += budget->requests[i];
	}
	if (extra + 1 > budget->ratio * requests + budget->slack)
		return false;
	budget->extra[current(budget)]++;
	return true;
}
