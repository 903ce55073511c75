/*
 * Disaggregated serving: decides whether a completion is prefilled on one
 * engine and decoded on another.
 */
#include "ks/request.h"

/*
 * Minimum expected saving for a split. It covers the overhead of a second
 * attempt and estimation errors.
 */
#define MIN_SAVED_US 20000.0

static uint32_t uncached_tokens(const ks_route_request_t *request,
				const ks_candidate_t *engine)
{
	return request->prompt_tokens -
	       MIN(engine->cached_tokens, request->prompt_tokens);
}

static bool is_available(const ks_candidate_t *engine)
{
	return !engine->excluded && !engine->same_domain_failed &&
	       (engine->limit == 0 || engine->in_flight < engine->limit);
}

/* Time until @tokens are prefilled, after the prompts queued on the engine. */
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

static double single_engine_us(const ks_route_request_t *request,
			       const ks_candidate_t *engine)
{
	return prefill_us(engine, uncached_tokens(request, engine)) +
	       decode_us(request, engine);
}

/*
 * Shortest time on a single engine. Engines with the prefill role are
 * considered only if no other engine is available.
 */
static double best_single_engine_us(const ks_route_request_t *request,
				    const ks_split_engine_t *engines,
				    size_t n_engines)
{
	double best = -1, best_prefill = -1;

	for (size_t i = 0; i < n_engines; i++) {
		double *shortest =
			engines[i].is_prefill ? &best_prefill : &best;
		double cost;

		if (!is_available(&engines[i].candidate))
			continue;
		cost = single_engine_us(request, &engines[i].candidate);
		if (*shortest < 0 || cost < *shortest)
			*shortest = cost;
	}
	return best >= 0 ? best : best_prefill;
}

/* Engine with the shortest time for the prefill or the decode step. */
static int best_engine(const ks_route_request_t *request,
		       const ks_split_engine_t *engines, size_t n_engines,
		       bool for_prefill, double *best_us)
{
	uint32_t partial_block =
		request->prompt_tokens % KS_PREFIX_BLOCK_TOKENS;
	int best = -1;

	for (size_t i = 0; i < n_engines; i++) {
		const ks_candidate_t *engine = &engines[i].candidate;
		double cost;

		if (!is_available(engine) ||
		    !(for_prefill ? engines[i].is_prefill
				  : engines[i].is_decode))
			continue;
		cost = for_prefill ? prefill_us(engine, uncached_tokens(request,
									engine))
				   : prefill_us(engine, partial_block) +
					     decode_us(request, engine);
		if (best >= 0 && cost >= *best_us)
			continue;
		best = (int)i;
		*best_us = cost;
	}
	return best;
}

/**
 * ks_split_choose() - choose the engines of a split completion, if any
 * @engines: engines that serve the model
 * @n_engines: number of engines
 * @block_us: time to transfer the KV cache of one prompt block between two
 *	engines
 *
 * A completion is split only if that saves more time than the transfer takes.
 * It is never split if an available engine has all but less than one block of
 * the prompt cached.
 *
 * Return: the choice; prefill and decode are -1 if the completion should not be
 * split.
 */
ks_split_choice_t ks_split_choose(const ks_route_request_t *request,
				  const ks_split_engine_t *engines,
				  size_t n_engines, double block_us)
{
	ks_split_choice_t none = { .prefill = -1, .decode = -1 };
	ks_split_choice_t choice = none;
	uint32_t blocks = request->prompt_tokens / KS_PREFIX_BLOCK_TOKENS;
	double single, prefill = 0, decode = 0, saved;

	for (size_t i = 0; i < n_engines; i++)
		if (is_available(&engines[i].candidate) &&
		    uncached_tokens(request, &engines[i].candidate) <
			    KS_PREFIX_BLOCK_TOKENS)
			return none;
	single = best_single_engine_us(request, engines, n_engines);
	choice.prefill =
		best_engine(request, engines, n_engines, true, &prefill);
	choice.decode =
		best_engine(request, engines, n_engines, false, &decode);
	if (single < 0 || choice.prefill < 0 || choice.decode < 0)
		return none;
	saved = single - prefill - decode - blocks * block_us;
	if (saved < MIN_SAVED_US)
		return none;
	choice.saved_us = (int64_t)saved;
	return choice;
}
