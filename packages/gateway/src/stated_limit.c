/*
 * The limit that an upstream states in its responses: how many requests per
 * second it takes from all entries together. The load that this answers is an
 * upstream in need before several entries, each of which knows its own callers
 * only.
 *
 * Each entry may use a share of the limit, in proportion to the requests that
 * it has for the service. A share is worked out from what the entries have told
 * each other, so that all of them use the same numbers up to the delay of a
 * message. An entry with a small share would have to save for its next request,
 * and many of them could send theirs at the same moment; a small limit is
 * therefore shared by a few entries only.
 */
#include "ks/gateway.h"

#include <math.h>
#include <stdlib.h>

/*
 * Least and greatest rate. An upstream that states 0 is still sent a request
 * now and then, as only its responses tell when it takes more again.
 */
#define MIN_PER_S 0.1
#define MAX_PER_S 1e6

/* Requests that may be saved besides one, in seconds of an entry's rate. */
#define BURST_S 0.5

/*
 * A limit is shared by so many entries: each may have saved a request, which
 * may all be sent at the same moment.
 */
#define MIN_SHARERS 3
#define SHARERS_PER_RATE_S 0.5

/*
 * Least demand that counts, in requests per second, so that an entry without
 * callers has something to begin with.
 */
#define MIN_DEMAND_PER_S 0.1

/*
 * When an upstream no longer states a limit, the rate doubles after each of
 * these times, and is not limited any more at the end. The response that said
 * so may be an old one, and an upstream that recovers should not get all of the
 * load at once.
 */
#define DOUBLING_US (500 * KS_USEC_PER_MSEC)
#define RECOVERY_US (8 * DOUBLING_US)

/* Tokens are sums of fractions. */
#define ONE_TOKEN (1 - 1e-9)

/**
 * ks_stated_limit_is_in_force() - whether requests are limited
 */
bool ks_stated_limit_is_in_force(const ks_stated_limit_t *limit, int64_t now_us)
{
	return limit->per_s > 0 &&
	       (!limit->ended_us || now_us < limit->ended_us + RECOVERY_US);
}

/* Returns the limit on the requests of all entries, per second. */
static double total_rate(const ks_stated_limit_t *limit, int64_t now_us)
{
	if (!limit->ended_us)
		return limit->per_s;
	return limit->per_s *
	       exp2((double)(now_us - limit->ended_us) / (double)DOUBLING_US);
}

static double tokens_at(const ks_stated_limit_t *limit, int64_t now_us)
{
	double rate = total_rate(limit, now_us) * limit->share;
	double seconds =
		(double)(now_us - limit->filled_us) / (double)KS_USEC_PER_SEC;

	if (rate <= 0)
		return 0;
	return MIN(limit->tokens + rate * seconds, 1 + rate * BURST_S);
}

static void fill(ks_stated_limit_t *limit, int64_t now_us)
{
	limit->tokens = tokens_at(limit, now_us);
	limit->filled_us = now_us;
}

/**
 * ks_stated_limit_set() - record that an upstream states a limit
 * @per_s: requests per second
 * @heard_us: when an entry received the response
 * @is_own: this entry did
 *
 * Return: false if something newer is known.
 */
bool ks_stated_limit_set(ks_stated_limit_t *limit, double per_s,
			 int64_t heard_us, bool is_own, int64_t now_us)
{
	if (heard_us < limit->heard_us)
		return false;
	if (ks_stated_limit_is_in_force(limit, now_us)) {
		fill(limit, now_us);
	} else {
		limit->share = 0;
		limit->tokens = 0;
		limit->filled_us = now_us;
	}
	limit->per_s = CLAMP(per_s, MIN_PER_S, MAX_PER_S);
	limit->heard_us = heard_us;
	limit->ended_us = 0;
	limit->is_own = is_own;
	return true;
}

/**
 * ks_stated_limit_end() - record that an upstream states no limit any more
 *
 * Return: whether it did before, and nothing newer is known.
 */
bool ks_stated_limit_end(ks_stated_limit_t *limit, int64_t heard_us,
			 bool is_own, int64_t now_us)
{
	if (limit->per_s <= 0 || limit->ended_us || heard_us < limit->heard_us)
		return false;
	fill(limit, now_us);
	limit->heard_us = heard_us;
	limit->ended_us = heard_us;
	limit->is_own = is_own;
	return true;
}

/**
 * ks_stated_limit_merge() - add what another record of the upstream has
 */
void ks_stated_limit_merge(ks_stated_limit_t *limit,
			   const ks_stated_limit_t *other)
{
	if (other->heard_us > limit->heard_us)
		*limit = *other;
}

/**
 * ks_stated_limit_set_share() - set the share of the limit of this entry
 */
void ks_stated_limit_set_share(ks_stated_limit_t *limit, double share,
			       int64_t now_us)
{
	fill(limit, now_us);
	limit->share = share;
}

/**
 * ks_stated_limit_permits() - whether a request may be sent now
 */
bool ks_stated_limit_permits(const ks_stated_limit_t *limit, int64_t now_us)
{
	return !ks_stated_limit_is_in_force(limit, now_us) ||
	       tokens_at(limit, now_us) >= ONE_TOKEN;
}

/**
 * ks_stated_limit_take() - record that a request is sent
 *
 * Return: whether it counts against a limit.
 */
bool ks_stated_limit_take(ks_stated_limit_t *limit, int64_t now_us)
{
	if (!ks_stated_limit_is_in_force(limit, now_us))
		return false;
	fill(limit, now_us);
	limit->tokens = MAX(limit->tokens - 1, 0);
	return true;
}

/**
 * ks_stated_limit_next_us() - when a request may be sent
 *
 * For an entry without a share this is when another one may send a request.
 */
int64_t ks_stated_limit_next_us(const ks_stated_limit_t *limit, int64_t now_us)
{
	double rate = total_rate(limit, now_us);

	if (ks_stated_limit_permits(limit, now_us))
		return now_us;
	if (limit->share > 0)
		rate *= limit->share;
	return now_us + (int64_t)((1 - tokens_at(limit, now_us)) / rate *
				  (double)KS_USEC_PER_SEC);
}

static int compare_ranks(const void *a, const void *b)
{
	const ks_limit_claim_t *left = a, *right = b;

	return (left->rank > right->rank) - (left->rank < right->rank);
}

/* Returns the mean of the known demands; the first one is known. */
static double mean_demand(const ks_limit_claim_t *claims, size_t n)
{
	double sum = 0;
	size_t known = 0;

	for (size_t i = 0; i < n; i++) {
		if (claims[i].demand_per_s < 0)
			continue;
		sum += claims[i].demand_per_s;
		known++;
	}
	return sum / (double)known;
}

/**
 * ks_stated_limit_share() - work out the share of an entry
 * @per_s: the limit
 * @claims: the entries that may send requests, this one first; reordered
 * @n: at least 1
 *
 * Return: share of the limit, 0 to 1; the shares of all entries that know the
 * same claims add up to 1.
 */
double ks_stated_limit_share(double per_s, ks_limit_claim_t *claims, size_t n)
{
	size_t sharers = MIN_SHARERS + (size_t)(per_s * SHARERS_PER_RATE_S);
	double mean = mean_demand(claims, n), sum = 0, own_demand;
	uint64_t own = claims[0].rank;
	bool shares = false;

	for (size_t i = 0; i < n; i++) {
		if (claims[i].demand_per_s < 0)
			claims[i].demand_per_s = mean;
		claims[i].demand_per_s =
			MAX(claims[i].demand_per_s, MIN_DEMAND_PER_S);
	}
	own_demand = claims[0].demand_per_s;
	if (n > sharers)
		qsort(claims, n, sizeof(*claims), compare_ranks);
	for (size_t i = 0; i < MIN(n, sharers); i++) {
		sum += claims[i].demand_per_s;
		shares |= claims[i].rank == own;
	}
	return shares ? own_demand / sum : 0;
}
