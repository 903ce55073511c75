/* Choice of the upstream that a request goes to. */
#include "ks/request.h"

/*
 * A candidate counts as equal to the best one when its wait is longer by no
 * more than this share of the best wait, or by NEAR_MIN_US. The load known
 * here is up to one heartbeat old, so finer differences mean nothing.
 */
#define NEAR_SHARE 0.25
#define NEAR_MIN_US 5000

/*
 * Cost of a request in flight beside its tokens. It orders plain services,
 * whose requests have no tokens.
 */
#define REQUEST_US 1000

/*
 * A decode step takes longer by this share for each further sequence, since
 * sequences are decoded together (engines differ; the stand-in has 2%).
 */
#define STEP_GROWTH 0.02

/* Order of preference; a lower rank is always chosen first. */
enum rank {
	RANK_GOOD,
	RANK_LATE,
	RANK_FAILED_DOMAIN,
	RANK_OVER_LIMIT,
};

struct option {
	int index;
	enum rank rank;
	double wait_us;
	double finish_us;
	double cost_us;
};

static double wait_for_slot(const ks_candidate_t *candidate)
{
	double over, mean_us;

	if (candidate->limit == 0 || candidate->in_flight < candidate->limit)
		return 0;
	over = 1.0 + candidate->in_flight - candidate->limit;
	mean_us = REQUEST_US + (double)candidate->output_tokens /
				       candidate->in_flight *
				       candidate->decode_us_per_token;
	return over * mean_us / candidate->limit;
}

/* Time until the first token: network, queue and prefill. */
static double expected_wait(const ks_route_request_t *request,
			    const ks_candidate_t *candidate)
{
	uint32_t cached = MIN(candidate->cached_tokens, request->prompt_tokens);
	double prefill = (double)candidate->prompt_tokens +
			 request->prompt_tokens - cached;

	return 2.0 * (double)candidate->one_way_delay_us +
	       prefill * candidate->prefill_us_per_token +
	       (double)candidate->in_flight * request->output_tokens *
		       candidate->decode_us_per_token * STEP_GROWTH +
	       (double)candidate->in_flight * REQUEST_US +
	       wait_for_slot(candidate);
}

static struct option evaluate(const ks_route_request_t *request,
			      const ks_candidate_t *candidate, int index)
{
	struct option option = { .index = index, .rank = RANK_GOOD };

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

static bool is_near(const struct option *option, const struct option *best)
{
	double spare = MAX(best->wait_us * NEAR_SHARE, NEAR_MIN_US);

	return option->rank == best->rank &&
	       option->cost_us <= best->cost_us + spare;
}

/*
 * Counts the candidates that are nearly as good as the best one, and sets
 * @found to the one with number @wanted among them.
 */
static uint32_t scan_near(const ks_route_request_t *request,
			  const ks_candidate_t *candidates, size_t n_candidates,
			  const struct option *best, uint32_t wanted,
			  struct option *found)
{
	uint32_t n = 0;

	for (size_t i = 0; i < n_candidates; i++) {
		struct option option;

		if (candidates[i].excluded)
			continue;
		option = evaluate(request, &candidates[i], (int)i);
		if (!is_near(&option, best))
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
 * @rng: breaks the agreement between entries that see the same load
 *
 * Estimates for each candidate the time to finish: network, prefill queued
 * there and needed here beyond the cached tokens, decoding under way, and the
 * request's own output. Of the candidates nearly as good as the best one, two
 * are drawn and the better one is taken. A cached prefix attracts a request
 * only as long as the queue costs less than the prefill saved.
 *
 * Candidates over their limit come last, before them those in a failure domain
 * where an attempt failed, before them those that would miss the deadline.
 * Takes time linear in @n_candidates.
 *
 * Return: the choice, with index -1 when every candidate is excluded.
 */
ks_route_choice_t ks_route_choose(const ks_route_request_t *request,
				  const ks_candidate_t *candidates,
				  size_t n_candidates, ks_rng_t *rng)
{
	struct option best = find_best(request, candidates, n_candidates);
	struct option first = best, second = best;
	uint32_t n_near;

	if (best.index < 0)
		return (ks_route_choice_t){ -1, 0 };
	n_near = scan_near(request, candidates, n_candidates, &best, UINT32_MAX,
			   &first);
	if (n_near > 1) {
		scan_near(request, candidates, n_candidates, &best,
			  ks_rng_below(rng, n_near), &first);
		scan_near(request, candidates, n_candidates, &best,
			  ks_rng_below(rng, n_near), &second);
	}
	if (second.cost_us < first.cost_us)
		first = second;
	return (ks_route_choice_t){ first.index, (int64_t)first.finish_us };
}
