/*
 * What an engine can still take. Prefill is serial: an engine does one prompt
 * after the other. Decoding is shared: a step serves the whole batch. So a
 * prompt delays everything under way by its prefill, and an answer hardly
 * delays anything.
 */
#include "entry_internal.h"

#include <math.h>

/*
 * Share of the time left that a forecast may use. The rest covers what other
 * entries have sent since the last load report, and errors of the estimates.
 */
#define DEADLINE_SHARE 0.8

/* Shorter prompts say more of the network and the step than of prefill. */
#define MIN_PREFILL_SAMPLE 512
/* Rates may move by this factor with one sample; the rest is taken as noise. */
#define MAX_SAMPLE_RATIO 4.0
#define PREFILL_GAIN 0.2
#define DECODE_GAIN 0.1

/* The first samples count more, as the initial rates are only guesses. */
static void learn(double *mean, unsigned *samples, double value, double gain)
{
	double first = 1.0 / (1.0 + *samples);

	(*samples)++;
	gain = MAX(gain, first);
	value = CLAMP(value, *mean / MAX_SAMPLE_RATIO,
		      *mean * MAX_SAMPLE_RATIO);
	*mean += gain * (value - *mean);
}

/*
 * The report holds what every entry had sent by then; this entry's own later
 * prompts come on top of it.
 */
static uint64_t pending_prompt(const struct entry_upstream *upstream)
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
 * entry_capacity_queued_prompt() - prompt tokens that wait for prefill there
 *
 * Return: tokens, less what has been done of the first prompt.
 */
uint64_t entry_capacity_queued_prompt(const struct entry_upstream *upstream,
				      int64_t now)
{
	uint64_t queued = pending_prompt(upstream);
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
 * entry_capacity_note_first() - the first token of an attempt has arrived
 *
 * Called before its prompt is taken off the upstream's count. The time since
 * it was sent was spent on the prompts ahead of it and its own.
 */
void entry_capacity_note_first(const struct entry_attempt *attempt, int64_t now)
{
	struct entry_upstream *upstream = attempt->upstream;
	uint64_t tokens = attempt->ahead_tokens + attempt->uncached_tokens;

	upstream->prefill_since_us = now;
	upstream->prefill_until_us = now;
	if (attempt->had_place && tokens >= MIN_PREFILL_SAMPLE)
		learn(&upstream->prefill_us, &upstream->prefill_samples,
		      (double)(now - attempt->sent_us) / (double)tokens,
		      PREFILL_GAIN);
}

/**
 * entry_capacity_note_step() - a further token of an attempt has arrived
 *
 * A step during which a prompt was prefilled tells nothing about decoding: it
 * may be forty times as long. Taken as the time of a token, it once made
 * admission refuse most long answers after a time of long prompts.
 */
void entry_capacity_note_step(const struct entry_attempt *attempt, int64_t now)
{
	struct entry_upstream *upstream = attempt->upstream;

	if (pending_prompt(upstream) > 0)
		upstream->prefill_until_us = now;
	if (upstream->prefill_until_us >= attempt->last_token_us)
		return;
	learn(&upstream->decode_us, &upstream->decode_samples,
	      (double)(now - attempt->last_token_us), DECODE_GAIN);
}

static double queued_prefill_us(const struct entry_upstream *upstream,
				int64_t now)
{
	return (double)entry_capacity_queued_prompt(upstream, now) *
	       upstream->prefill_us;
}

/* Steps get longer when the batch fills up after an answer has begun. */
#define BATCH_MARGIN 1.15

static double output_us(const struct entry_upstream *upstream, double tokens)
{
	return tokens * upstream->group->output_share * upstream->decode_us *
	       BATCH_MARGIN;
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
			upstream->belief,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, now);
	return (double)(prompt - MIN(cached, prompt)) * upstream->prefill_us;
}

/* Time until a prompt of @own_us no longer delays what ends at @end_us. */
static double wait_for_end(double end_us, double own_us, double left_us)
{
	if (end_us > left_us)
		return 0;
	return end_us + own_us > DEADLINE_SHARE * left_us ? end_us : 0;
}

/* The most urgent request there may be another entry's. */
static double wait_for_urgent(const struct entry_upstream *upstream,
			      double queued, double own, int64_t now)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);
	double left = (double)load->urgent_left_us -
		      (double)(now - load->received_us);

	if (!load->urgent_left_us)
		return 0;
	return wait_for_end(
		queued + output_us(upstream, load->urgent_output_tokens), own,
		left);
}

/**
 * entry_capacity_wait() - time until a request delays no other beyond its
 * deadline at an upstream, and has a place in the batch
 *
 * What is under way ends when all queued prompts are prefilled and its output
 * is decoded. A prompt added now puts that off by its own prefill. Requests
 * that are late already are not considered.
 *
 * Return: microseconds.
 */
double entry_capacity_wait(const struct entry_upstream *upstream,
			   const struct entry_request *request, int64_t now)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);
	uint32_t in_flight = MAX(upstream->in_flight, load->in_flight);
	uint32_t limit = load->limit ? load->limit : MAX(upstream->limit, 1);
	double queued = queued_prefill_us(upstream, now);
	double own = uncached_prefill_us(upstream, request, now);
	double wait, place = INFINITY;

	wait = wait_for_urgent(upstream, queued, own, now);
	KS_LIST_FOREACH (it, &upstream->attempts) {
		const struct entry_attempt *attempt =
			KS_CONTAINER_OF(it, struct entry_attempt, node);
		double end = queued + output_us(upstream,
						(double)attempt->output_tokens);
		int64_t left;

		place = MIN(place, end);
		if (!attempt->request)
			continue;
		left = attempt->request->deadline_us - now;
		wait = MAX(wait, wait_for_end(end, own, (double)left));
	}
	if (in_flight < limit)
		return wait;
	return MAX(wait, place < INFINITY ? place : queued);
}

/**
 * entry_capacity_own_us() - time that a request takes at an upstream when it is
 * the only one there
 */
double entry_capacity_own_us(const struct entry_upstream *upstream,
			     const struct entry_request *request, int64_t now)
{
	return uncached_prefill_us(upstream, request, now) +
	       output_us(upstream, request->completion.max_tokens);
}

/* Time until the request could be sent there; INFINITY when it would be late.
 */
static double usable_after(const struct entry_upstream *upstream,
			   const struct entry_request *request, int64_t now)
{
	double wait = entry_capacity_wait(upstream, request, now);
	double queued = queued_prefill_us(upstream, now);
	double own = entry_capacity_own_us(upstream, request, now);
	double left = (double)(request->deadline_us - now);

	if (MAX(wait, queued) + own > DEADLINE_SHARE * left)
		return INFINITY;
	return wait;
}

/**
 * entry_capacity_gate() - the gate of a model's admission
 * @ctx: the group
 */
double entry_capacity_gate(void *ctx, const ks_ticket_t *ticket)
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
		wait = usable_after(upstream, request, now);
		least = MIN(least, wait);
	}
	/* Without any upstream the dispatch finds the true error. */
	return any ? least : 0;
}

/**
 * entry_capacity_fill_ticket() - expected work of a completion
 *
 * The work is that at the best upstream. The cost counts prefill in full and
 * decoding divided by the places in the batch.
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
		own = entry_capacity_own_us(upstream, request, now);
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
