/*
 * Estimates how much more work an engine can accept. The model: an engine
 * prefills prompts one after the other, while one decode step generates a token
 * for every sequence of the batch. A prompt therefore delays everything in
 * flight by its prefill time; decoding one more sequence delays hardly
 * anything.
 */
#include "entry_internal.h"

#include <math.h>

/*
 * Fraction of the time to the deadline that a forecast may use up. The rest
 * allows for requests that other entries sent since the last load report, and
 * for estimation errors.
 */
#define DEADLINE_FRACTION 0.8

/* For shorter prompts, network and decode step time outweigh prefill time. */
#define MIN_PREFILL_SAMPLE_TOKENS 512
/* One sample counts as at most this factor off the mean; more is noise. */
#define MAX_SAMPLE_RATIO 4.0
#define PREFILL_EWMA_WEIGHT 0.2
#define DECODE_EWMA_WEIGHT 0.1

/*
 * Moving average. The first samples weigh more, as the initial values are only
 * assumed.
 */
static void update_estimate(double *mean, unsigned *samples, double value,
			    double weight)
{
	double first = 1.0 / (1.0 + *samples);

	(*samples)++;
	weight = MAX(weight, first);
	value = CLAMP(value, *mean / MAX_SAMPLE_RATIO,
		      *mean * MAX_SAMPLE_RATIO);
	*mean += weight * (value - *mean);
}

/*
 * Prompt tokens not yet prefilled at an upstream. The load report covers what
 * all entries had sent before it; this entry's later prompts are added.
 */
static uint64_t pending_prompt_tokens(const struct entry_upstream *upstream)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);
	uint64_t reported = 0;

	KS_LIST_FOREACH (it, &upstream->attempts) {
		const struct entry_attempt *attempt =
			KS_CONTAINER_OF(it, struct entry_attempt, node);

		if (attempt->sent_us < load->received_us)
			reported += attempt->prompt_tokens;
	}
	if (load->prompt_tokens_pending <= reported)
		return upstream->prompt_tokens;
	return upstream->prompt_tokens + load->prompt_tokens_pending - reported;
}

/**
 * entry_capacity_queued_prompt_tokens() - prompt tokens queued for prefill
 *
 * Return: tokens, less the part of the first prompt estimated to be prefilled.
 */
uint64_t
entry_capacity_queued_prompt_tokens(const struct entry_upstream *upstream,
				    int64_t now)
{
	uint64_t queued = pending_prompt_tokens(upstream);
	double done = (double)(now - upstream->prefill_since_us) /
		      upstream->prefill_us;

	KS_LIST_FOREACH (it, &upstream->attempts) {
		const struct entry_attempt *attempt =
			KS_CONTAINER_OF(it, struct entry_attempt, node);

		if (!attempt->prompt_tokens)
			continue;
		if (done > (double)attempt->prompt_tokens)
			return queued - attempt->prompt_tokens;
		return queued - (uint64_t)done;
	}
	return queued;
}

/**
 * entry_capacity_record_first_token() - measure prefill at an attempt's first
 * token
 *
 * Must be called before the prompt is subtracted from the upstream's count. The
 * time since the attempt was sent was spent on prefilling the prompts ahead of
 * it and its own.
 */
void entry_capacity_record_first_token(const struct entry_attempt *attempt,
				       int64_t now)
{
	struct entry_upstream *upstream = attempt->upstream;
	uint64_t tokens = attempt->ahead_tokens + attempt->uncached_tokens;

	upstream->prefill_since_us = now;
	upstream->prefill_until_us = now;
	if (attempt->had_free_slot && tokens >= MIN_PREFILL_SAMPLE_TOKENS)
		update_estimate(
			&upstream->prefill_us, &upstream->prefill_samples,
			(double)(now - attempt->sent_us) / (double)tokens,
			PREFILL_EWMA_WEIGHT);
}

/**
 * entry_capacity_record_decode_step() - measure a decode step at a further
 * token of an attempt
 *
 * A step during which a prompt was prefilled is not measured, as it may take
 * forty times as long as decoding. Including such steps made admission refuse
 * most long completions after a period of long prompts.
 */
void entry_capacity_record_decode_step(const struct entry_attempt *attempt,
				       int64_t now)
{
	struct entry_upstream *upstream = attempt->upstream;

	if (pending_prompt_tokens(upstream) > 0)
		upstream->prefill_until_us = now;
	if (upstream->prefill_until_us >= attempt->last_token_us)
		return;
	update_estimate(&upstream->decode_us, &upstream->decode_samples,
			(double)(now - attempt->last_token_us),
			DECODE_EWMA_WEIGHT);
}

static double queued_prefill_us(const struct entry_upstream *upstream,
				int64_t now)
{
	return (double)entry_capacity_queued_prompt_tokens(upstream, now) *
	       upstream->prefill_us;
}

/* Allows for steps that get longer as the batch fills up during a response. */
#define BATCH_GROWTH_FACTOR 1.15

static double output_us(const struct entry_upstream *upstream, double tokens)
{
	return tokens * upstream->group->output_share * upstream->decode_us *
	       BATCH_GROWTH_FACTOR;
}

static double uncached_prefill_us(const struct entry_upstream *upstream,
				  const struct entry_request *request,
				  int64_t now)
{
	const GArray *hashes = request->completion.prefix_hashes;
	uint32_t prompt = request->completion.prompt_tokens;
	uint32_t cached = 0;

	if (hashes && hashes->len)
		cached = ks_prefix_index_tokens(
			upstream->prefix_cache,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, now);
	return (double)(prompt - MIN(cached, prompt)) * upstream->prefill_us;
}

/*
 * Time until a prompt that takes @own_us to prefill can be added without making
 * a request in flight miss its deadline. That request is expected to end in
 * @end_us and has @left_us to its deadline; it is ignored if it misses the
 * deadline in any case.
 */
static double wait_until_finished_us(double end_us, double own_us,
				     double left_us)
{
	if (end_us > left_us)
		return 0;
	return end_us + own_us > DEADLINE_FRACTION * left_us ? end_us : 0;
}

/*
 * Respects the most urgent request at the upstream, which may be another
 * entry's.
 */
static double wait_for_most_urgent_us(const struct entry_upstream *upstream,
				      double queued, double own, int64_t now)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);
	double left = (double)load->urgent_left_us -
		      (double)(now - load->received_us);

	if (!load->urgent_left_us)
		return 0;
	return wait_until_finished_us(
		queued + output_us(upstream, load->urgent_output_tokens), own,
		left);
}

/**
 * entry_capacity_wait_us() - time until an upstream has a free batch slot and
 * the request would not make others miss their deadline
 *
 * A request in flight is expected to end when all queued prompts are prefilled
 * and its own output is decoded. A prompt added now delays that by its prefill
 * time. Requests that will miss their deadline in any case are ignored.
 *
 * Return: microseconds.
 */
double entry_capacity_wait_us(const struct entry_upstream *upstream,
			      const struct entry_request *request, int64_t now)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);
	uint32_t in_flight = MAX(upstream->in_flight, load->in_flight);
	uint32_t limit = load->limit ? load->limit : MAX(upstream->limit, 1);
	double queued = queued_prefill_us(upstream, now);
	double own = uncached_prefill_us(upstream, request, now);
	double wait, slot_us = INFINITY;

	wait = wait_for_most_urgent_us(upstream, queued, own, now);
	KS_LIST_FOREACH (it, &upstream->attempts) {
		const struct entry_attempt *attempt =
			KS_CONTAINER_OF(it, struct entry_attempt, node);
		double end = queued + output_us(upstream,
						(double)attempt->output_tokens);
		int64_t left;

		slot_us = MIN(slot_us, end);
		if (!attempt->request)
			continue;
		left = attempt->request->deadline_us - now;
		wait = MAX(wait,
			   wait_until_finished_us(end, own, (double)left));
	}
	if (in_flight < limit)
		return wait;
	return MAX(wait, slot_us < INFINITY ? slot_us : queued);
}

/**
 * entry_capacity_service_us() - time that a request takes at an idle upstream
 *
 * Return: microseconds.
 */
double entry_capacity_service_us(const struct entry_upstream *upstream,
				 const struct entry_request *request,
				 int64_t now)
{
	return uncached_prefill_us(upstream, request, now) +
	       output_us(upstream, request->completion.max_tokens);
}

/*
 * Microseconds until the request can be sent; INFINITY if it would miss its
 * deadline.
 */
static double wait_until_usable_us(const struct entry_upstream *upstream,
				   const struct entry_request *request,
				   int64_t now)
{
	double wait = entry_capacity_wait_us(upstream, request, now);
	double queued = queued_prefill_us(upstream, now);
	double own = entry_capacity_service_us(upstream, request, now);
	double left = (double)(request->deadline_us - now);

	if (MAX(wait, queued) + own > DEADLINE_FRACTION * left)
		return INFINITY;
	return wait;
}

/**
 * entry_capacity_forecast() - predict when a completion can be sent
 * @ctx: struct entry_group of the model
 * @ticket: ticket of a struct entry_request
 *
 * This is the ks_admission_forecast_func_t of a model's admission queue.
 *
 * Return: microseconds until the request can be sent to some upstream; 0 for
 * now, INFINITY if it would miss its deadline everywhere.
 */
double entry_capacity_forecast(void *ctx, const ks_ticket_t *ticket)
{
	const struct entry_group *group = ctx;
	const struct entry_request *request = ticket->ctx;
	int64_t now = ks_loop_now(group->entry->loop);
	double least = INFINITY;
	bool any = false;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);
		double wait;

		if (!entry_upstream_is_usable(upstream))
			continue;
		any = true;
		wait = wait_until_usable_us(upstream, request, now);
		least = MIN(least, wait);
	}
	/* Without an upstream, the dispatch reports the appropriate error. */
	return any ? least : 0;
}

/**
 * entry_capacity_fill_ticket() - set the expected work and cost of a completion
 *
 * The work is the service time at the fastest usable upstream. The cost, which
 * fair queueing and the backlog estimate use, is its prefill time plus its
 * decode time divided by the batch limit, as one decode step serves the batch.
 */
void entry_capacity_fill_ticket(const struct entry_group *group,
				const struct entry_request *request,
				ks_ticket_t *ticket)
{
	int64_t now = ks_loop_now(group->entry->loop);
	double best = INFINITY;
	unsigned usable = 0;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);
		const ks_load_t *load = ks_link_client_load(upstream->link);
		double own, prefill;

		if (!entry_upstream_is_usable(upstream))
			continue;
		usable++;
		own = entry_capacity_service_us(upstream, request, now);
		if (own >= best)
			continue;
		best = own;
		prefill = uncached_prefill_us(upstream, request, now);
		ticket->work_us = own;
		ticket->cost_us =
			prefill + (own - prefill) / MAX(load->limit, 1);
	}
	ks_admission_set_servers(group->admission, usable);
	if (usable)
		return;
	ticket->work_us = request->completion.prompt_tokens * ENTRY_PREFILL_US +
			  request->completion.max_tokens * ENTRY_DECODE_US;
	ticket->cost_us = ticket->work_us;
}
