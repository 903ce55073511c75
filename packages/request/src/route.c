/* Routing by expected finish time. */
#include "ks/request.h"

/*
 * A candidate counts as equal to the best one if its cost is higher by at most
 * this fraction of the best candidate's wait, or by at most EQUAL_MIN_US. Load
 * information is up to one heartbeat old, so smaller differences are not
 * significant.
 */
#define EQUAL_FRACTION 0.25
#define EQUAL_MIN_US 5000

/*
 * Fixed cost of a request in flight, in addition to its tokens. It balances the
 * load of plain services, whose requests have no tokens.
 */
#define REQUEST_COST_US 1000

/*
 * Fraction by which each further sequence in the batch slows down a decode
 * step. Real engines differ; the fake engine used in tests has 2%.
 */
#define DECODE_STEP_GROWTH 0.02

/**
 * enum rank - order of preference; a lower rank is always chosen first
 * @RANK_ON_TIME: expected to meet all deadlines
 * @RANK_LATE: this request or one in flight would miss its deadline
 * @RANK_FAILED_DOMAIN: an attempt failed in the same failure domain
 * @RANK_OVER_LIMIT: at or over the concurrency limit
 */
enum rank {
	RANK_ON_TIME,
	RANK_LATE,
	RANK_FAILED_DOMAIN,
	RANK_OVER_LIMIT,
};

/**
 * struct option - a candidate with its estimates
 * @index: index of the candidate
 * @rank: see enum rank
 * @wait_us: time until the first token
 * @finish_us: time until the response is complete
 * @cost_us: @finish_us less the prefill that later requests save
 */
struct option {
	int index;
	enum rank rank;
	double wait_us;
	double finish_us;
	double cost_us;
};

/* Time until enough requests have finished to be below the limit. */
static double wait_for_slot(const ks_candidate_t *candidate)
{
	double over, mean_us;

	if (candidate->limit == 0 || candidate->in_flight < candidate->limit)
		return 0;
	over = 1.0 + candidate->in_flight - candidate->limit;
	mean_us = REQUEST_COST_US + (double)candidate->output_tokens /
					    candidate->in_flight *
					    candidate->decode_us_per_token;
	return over * mean_us / candidate->limit;
}

/* Time until the first token: network delay, queueing and prefill. */
static double expected_wait(const ks_route_request_t *request,
			    const ks_candidate_t *candidate)
{
	uint32_t cached = MIN(candidate->cached_tokens, request->prompt_tokens);
	double prefill = (double)candidate->prompt_tokens +
			 request->prompt_tokens - cached;

	return 2.0 * (double)candidate->one_way_delay_us +
	       prefill * candidate->prefill_us_per_token +
	       (double)candidate->in_flight * request->output_tokens *
		       candidate->decode_us_per_token * DECODE_STEP_GROWTH +
	       (double)candidate->in_flight * REQUEST_COST_US +
	       wait_for_slot(candidate);
}

static struct option evaluate(const ks_route_request_t *request,
			      const ks_candidate_t *candidate, int index)
{
	struct option option = { .index = index, .rank = RANK_ON_TIME };

	option.wait_us = expected_wait(request, candidate);
	option.finish_us =
		option.wait_us +
		request->output_tokens * candidate->decode_us_per_token;
	option.cost_us = option.finish_us - candidate->affinity_us;
	if (candidate->limit > 0 && candidate->in_flight >= candidate->limit)
		option.rank = RANK_OVER_LIMIT;
	else if (candidate->same_domain_failed)
		option.rank = RANK_FAILED_DOMAIN;
	else if (candidate->delays_others ||
		 option.finish_us > (double)request->time_left_us)
		option.rank = RANK_LATE;
	return option;
}

static bool is_better(const struct option *a, const struct option *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->cost_us < b->cost_us;
}

static struct option find_best(const ks_route_request_t *request,
			       const ks_candidate_t *candidates,
			       size_t n_candidates)
{
	struct option best = { .index = -1 };

	for (size_t i = 0; i < n_candidates; i++) {
		struct option option;

		if (candidates[i].excluded)
			continue;
		option = evaluate(request, &candidates[i], (int)i);
		if (best.index < 0 || is_better(&option, &best))
			best = option;
	}
	return best;
}

static bool is_equivalent(const struct option *option,
			  const struct option *best)
{
	double margin = MAX(best->wait_us * EQUAL_FRACTION, EQUAL_MIN_US);

	return option->rank == best->rank &&
	       option->cost_us <= best->cost_us + margin;
}

/*
 * Counts the candidates that count as equal to the best one. Stops at the one
 * with index @wanted among them and stores it in @found.
 */
static uint32_t scan_equivalent(const ks_route_request_t *request,
				const ks_candidate_t *candidates,
				size_t n_candidates, const struct option *best,
				uint32_t wanted, struct option *found)
{
	uint32_t n = 0;

	for (size_t i = 0; i < n_candidates; i++) {
		struct option option;

		if (candidates[i].excluded)
			continue;
		option = evaluate(request, &candidates[i], (int)i);
		if (!is_equivalent(&option, best))
			continue;
		if (n++ == wanted) {
			*found = option;
			return n;
		}
	}
	return n;
}

/**
 * ks_route_choose() - choose the upstream for a request
 * @candidates: upstreams that serve the model or service
 * @n_candidates: number of candidates
 * @rng: randomizes the choice, so that entries that see the same load do not
 *	all choose the same upstream
 *
 * Estimates the finish time on each candidate from the network delay, the
 * prefill of queued prompts, the prefill of this prompt without its cached
 * tokens, the requests being decoded, and the decode of this request. Of the
 * candidates that count as equal to the best one, two are drawn at random and
 * the better one is chosen. A cached prefix is preferred only as long as it
 * saves more prefill time than the queue on that upstream costs.
 *
 * Candidates are ranked first by enum rank. Runs in O(@n_candidates) time.
 *
 * Return: the choice; its index is -1 if every candidate is excluded.
 */
ks_route_choice_t ks_route_choose(const ks_route_request_t *request,
				  const ks_candidate_t *candidates,
				  size_t n_candidates, ks_rng_t *rng)
{
	struct option best = find_best(request, candidates, n_candidates);
	struct option first = best, second = best;
	uint32_t n_equivalent;

	if (best.index < 0)
		return (ks_route_choice_t){ -1, 0 };
	n_equivalent = scan_equivalent(request, candidates, n_candidates, &best,
				       UINT32_MAX, &first);
	if (n_equivalent > 1) {
		scan_equivalent(request, candidates, n_candidates, &best,
				ks_rng_below(rng, n_equivalent), &first);
		scan_equivalent(request, candidates, n_candidates, &best,
				ks_rng_below(rng, n_equivalent), &second);
	}
	if (second.cost_us < first.cost_us)
		first = second;
	return (ks_route_choice_t){ first.index, (int64_t)first.finish_us };
}
