/* Whether a completion is prefilled on one engine and decoded on another. */
#include "ks/request.h"

/*
 * Least time that a split must save: it takes a second attempt, and the
 * estimates are rough.
 */
#define LEAST_SAVED_US 20000.0

static uint32_t uncached_tokens(const ks_route_request_t *request,
				const ks_candidate_t *engine)
{
	return request->prompt_tokens -
	       MIN(engine->cached_tokens, request->prompt_tokens);
}

static bool is_free(const ks_candidate_t *engine)
{
	return !engine->excluded && !engine->same_domain_failed &&
	       (engine->limit == 0 || engine->in_flight < engine->limit);
}

/* Time until @tokens are prefilled after what the engine has to prefill. */
static double prefill_us(const ks_candidate_t *engine, double tokens)
{
	return 2.0 * (double)engine->one_way_delay_us +
	       ((double)engine->prompt_tokens + tokens) *
		       engine->prefill_us_per_token;
}

static double decode_us(const ks_route_request_t *request,
			const ks_candidate_t *engine)
{
	return request->output_tokens * engine->decode_us_per_token;
}

static double whole_us(const ks_route_request_t *request,
		       const ks_candidate_t *engine)
{
	return prefill_us(engine, uncached_tokens(request, engine)) +
	       decode_us(request, engine);
}

/* Least time on one engine; those of the role prefill only when no other is. */
static double best_whole_us(const ks_route_request_t *request,
			    const ks_split_engine_t *engines, size_t n_engines)
{
	double best = -1, best_prefill = -1;

	for (size_t i = 0; i < n_engines; i++) {
		double *least = engines[i].is_prefill ? &best_prefill : &best;
		double cost;

		if (!is_free(&engines[i].candidate))
			continue;
		cost = whole_us(request, &engines[i].candidate);
		if (*least < 0 || cost < *least)
			*least = cost;
	}
	return best >= 0 ? best : best_prefill;
}

static int best_engine(const ks_route_request_t *request,
		       const ks_split_engine_t *engines, size_t n_engines,
		       bool for_prefill, double *best_us)
{
	uint32_t rest = request->prompt_tokens % KS_PREFIX_BLOCK_TOKENS;
	int best = -1;

	for (size_t i = 0; i < n_engines; i++) {
		const ks_candidate_t *engine = &engines[i].candidate;
		double cost;

		if (!is_free(engine) || !(for_prefill ? engines[i].is_prefill
						      : engines[i].is_decode))
			continue;
		cost = for_prefill ? prefill_us(engine, uncached_tokens(request,
									engine))
				   : prefill_us(engine, rest) +
					     decode_us(request, engine);
		if (best >= 0 && cost >= *best_us)
			continue;
		best = (int)i;
		*best_us = cost;
	}
	return best;
}

/**
 * ks_split_choose() - whether to split a completion, and between which engines
 * @block_us: time to move one block of KV between two engines
 *
 * It is split only when the move costs less than the time that it saves. A
 * prompt of which some engine lacks less than a block is never split.
 *
 * Return: @prefill and @decode are -1 when it is not to be split.
 */
ks_split_choice_t ks_split_choose(const ks_route_request_t *request,
				  const ks_split_engine_t *engines,
				  size_t n_engines, double block_us)
{
	ks_split_choice_t none = { .prefill = -1, .decode = -1 };
	ks_split_choice_t choice = none;
	uint32_t blocks = request->prompt_tokens / KS_PREFIX_BLOCK_TOKENS;
	double whole, first = 0, second = 0, saved;

	for (size_t i = 0; i < n_engines; i++)
		if (is_free(&engines[i].candidate) &&
		    uncached_tokens(request, &engines[i].candidate) <
			    KS_PREFIX_BLOCK_TOKENS)
			return none;
	whole = best_whole_us(request, engines, n_engines);
	choice.prefill = best_engine(request, engines, n_engines, true, &first);
	choice.decode =
		best_engine(request, engines, n_engines, false, &second);
	if (whole < 0 || choice.prefill < 0 || choice.decode < 0)
		return none;
	saved = whole - first - second - blocks * block_us;
	if (saved < LEAST_SAVED_US)
		return none;
	choice.saved_us = (int64_t)saved;
	return choice;
}
