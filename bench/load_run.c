/*
 * A run of the load generator: draws random requests and sends each at its
 * arrival time, independent of the responses to earlier ones (open loop).
 */
#include "load_request.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Groups of prompts; the prompts of a group start with the same words. */
#define N_PREFIX_GROUPS 16

/*
 * Fraction of the prompts that belong to a group, and the fraction of such a
 * prompt that is the common prefix of its group.
 */
#define PREFIX_GROUP_RATIO 0.5
#define PREFIX_LENGTH_RATIO 0.75

/*
 * Fraction of the charges that are sent twice, and the longest delay of the
 * duplicate.
 */
#define DUPLICATE_RATIO 0.25
#define MAX_DUPLICATE_DELAY_US (50 * KS_USEC_PER_MSEC)

/* Responses are awaited this long after the deadline of the last request. */
#define DRAIN_US (10 * KS_USEC_PER_SEC)

struct run;

/*
 * The arrival process of one class: @count numbers the requests, and @due_us is
 * the time of the next one.
 */
struct arrivals {
	struct run *run;
	load_class_t class;
	ks_timer_t timer;
	ks_rng_t interval_rng;
	uint32_t count;
	int64_t due_us;
};

/*
 * @request_rng: seeded anew for each request
 * @entry_rng: for LOAD_RANDOM
 * @next_entry: counter for LOAD_ROUND_ROBIN
 * @send_until_us: end of the arrivals
 */
struct run {
	ks_loop_t *loop;
	const load_options_t *options;
	load_stats_t *stats;
	ks_http_client_t client;
	ks_rng_t request_rng;
	ks_rng_t entry_rng;
	int64_t start_us;
	ks_timer_t drain_timer;
	struct arrivals arrivals[LOAD_N_CLASSES];
	ks_list_t requests;
	unsigned in_flight;
	unsigned in_flight_by_entry[LOAD_MAX_ENTRIES];
	unsigned next_entry;
	int64_t send_until_us;
	uint64_t n_lookups;
};

/**
 * load_stats_init() - zero the counts of every class
 */
void load_stats_init(load_stats_t stats[LOAD_N_CLASSES])
{
	memset(stats, 0, LOAD_N_CLASSES * sizeof(stats[0]));
	for (int i = 0; i < LOAD_N_CLASSES; i++) {
		stats[i].ttft_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
		stats[i].latency_us =
			g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
}

/**
 * load_stats_deinit() - free the samples of every class
 */
void load_stats_deinit(load_stats_t stats[LOAD_N_CLASSES])
{
	for (int i = 0; i < LOAD_N_CLASSES; i++) {
		g_array_free(stats[i].ttft_us, TRUE);
		g_array_free(stats[i].latency_us, TRUE);
	}
}

/* Three letters and a space: one token at the usual four bytes per token. */
static void append_words(GString *out, ks_rng_t *rng, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		uint32_t word = ks_rng_below(rng, 26 * 26 * 26);

		g_string_append_c(out, (char)('a' + word % 26));
		g_string_append_c(out, (char)('a' + word / 26 % 26));
		g_string_append_c(out, (char)('a' + word / 26 / 26));
		g_string_append_c(out, ' ');
	}
}

/* Returns the mix at a time of the run; the last phase has no end. */
static load_phase_t phase_at(const struct run *run, int64_t at_us)
{
	const load_options_t *options = run->options;
	double at_s = (double)(at_us - run->start_us) / KS_USEC_PER_SEC;
	load_phase_t phase = {
		.rate = options->rates[LOAD_COMPLETION],
		.prompt_min = options->prompt_min,
		.prompt_max = options->prompt_max,
		.output_min = options->output_min,
		.output_max = options->output_max,
	};

	for (unsigned i = 0; i < options->n_phases; i++) {
		phase = options->phases[i];
		if (at_s < phase.duration_s)
			break;
		at_s -= phase.duration_s;
	}
	return phase;
}

static unsigned random_between(ks_rng_t *rng, unsigned min, unsigned max)
{
	return min + ks_rng_below(rng, max - min + 1);
}

/*
 * Sets the prompt and max_tokens. Returns the group of the prompt; a prompt
 * without a common prefix returns a random group, so that LOAD_PREFIX spreads
 * these.
 */
static unsigned generate_prompt(struct run *run, const load_phase_t *phase,
				load_request_t *request)
{
	unsigned group = ks_rng_below(&run->request_rng, N_PREFIX_GROUPS);
	const load_options_t *options = run->options;
	unsigned tokens = random_between(&run->request_rng, phase->prompt_min,
					 phase->prompt_max);
	unsigned shared = 0;
	ks_rng_t words;

	if (ks_rng_unit(&run->request_rng) < PREFIX_GROUP_RATIO) {
		shared = (unsigned)(PREFIX_LENGTH_RATIO * tokens);
		ks_rng_init(&words, options->seed + group);
		append_words(request->prompt, &words, shared);
		ks_rng_deinit(&words);
	}
	append_words(request->prompt, &run->request_rng, tokens - shared);
	request->max_tokens = random_between(
		&run->request_rng, phase->output_min, phase->output_max);
	return group;
}

/* A UUID of version 7, because the entry reads the time of issue from the key.
 */
static void generate_key(struct run *run, char *out, size_t size)
{
	uint64_t ms = (uint64_t)(ks_clock_now(ks_clock_wall()) / 1000);
	uint32_t a = ks_rng_below(&run->request_rng, 0x1000);
	uint32_t b = ks_rng_below(&run->request_rng, 0x4000) | 0x8000;
	uint32_t c = ks_rng_below(&run->request_rng, 0x1000000);
	uint32_t d = ks_rng_below(&run->request_rng, 0x1000000);

	snprintf(out, size, "%08x-%04x-7%03x-%04x-%06x%06x",
		 (unsigned)(ms >> 16), (unsigned)(ms & 0xffff), a, b, c, d);
}

static void stop_if_idle(struct run *run)
{
	if (ks_loop_now(run->loop) < run->send_until_us || run->in_flight > 0)
		return;
	for (int i = 0; i < LOAD_N_CLASSES; i++)
		if (ks_timer_is_set(&run->arrivals[i].timer))
			return;
	ks_loop_stop(run->loop);
}

static void on_finished(void *ctx, load_request_t *request)
{
	struct run *run = ctx;

	ks_list_remove(&request->node);
	run->in_flight--;
	run->in_flight_by_entry[request->entry]--;
	load_request_free(request);
	stop_if_idle(run);
}

static void on_delay_timer(void *ctx)
{
	load_request_send(ctx);
}

static unsigned choose_entry(struct run *run, unsigned group)
{
	unsigned n = run->options->n_entries, best = run->next_entry++ % n;

	switch (run->options->policy) {
	case LOAD_ROUND_ROBIN:
		return best;
	case LOAD_LEAST_CONNECTIONS:
		for (unsigned i = 0; i < n; i++)
			if (run->in_flight_by_entry[i] <
			    run->in_flight_by_entry[best])
				best = i;
		return best;
	case LOAD_PREFIX:
		return group % n;
	default:
		return ks_rng_below(&run->entry_rng, n);
	}
}

static void assign_entry(struct run *run, load_request_t *request,
			 unsigned entry)
{
	request->entry = entry;
	run->in_flight_by_entry[entry]++;
}

static load_request_t *create_request(struct run *run, load_class_t class)
{
	load_request_t *request = g_new0(load_request_t, 1);

	request->options = run->options;
	request->client = &run->client;
	request->stats = &run->stats[class];
	request->class = class;
	request->prompt = g_string_new(NULL);
	request->body = g_string_new(NULL);
	request->finished = on_finished;
	request->ctx = run;
	load_stream_init(&request->stream);
	ks_timer_init(&request->delay, run->loop, on_delay_timer, request);
	ks_list_append(&run->requests, &request->node);
	run->in_flight++;
	return request;
}

static void schedule_duplicate(struct run *run, load_request_t *first)
{
	load_request_t *copy = create_request(run, LOAD_CHARGE);

	g_strlcpy(copy->id, first->id, sizeof(copy->id));
	assign_entry(run, copy, (first->entry + 1) % run->options->n_entries);
	copy->max_tokens = first->max_tokens;
	copy->pair = first->pair = g_new0(load_pair_t, 1);
	copy->pair->refs = 2;
	ks_timer_set(&copy->delay, (int64_t)(ks_rng_unit(&run->request_rng) *
					     MAX_DUPLICATE_DELAY_US));
}

/*
 * Each request has its own seed, so that it does not depend on when and how
 * earlier requests were answered. 2654435761 is the multiplier of Knuth's
 * multiplicative hash, which keeps the seeds of different runs apart.
 */
static void seed_request(struct run *run, struct arrivals *arrivals)
{
	uint32_t number = arrivals->count++ * LOAD_N_CLASSES + arrivals->class;

	ks_rng_deinit(&run->request_rng);
	ks_rng_init(&run->request_rng,
		    run->options->seed * 2654435761U + number);
}

static void send_request(struct run *run, struct arrivals *arrivals,
			 int64_t due_us)
{
	load_class_t class = arrivals->class;
	load_request_t *request = create_request(run, class);
	load_phase_t phase = phase_at(run, due_us);
	unsigned group = 0;

	if (class == LOAD_COMPLETION) {
		group = generate_prompt(run, &phase, request);
		snprintf(request->id, sizeof(request->id), "completion");
	} else if (class == LOAD_LOOKUP) {
		snprintf(request->id, sizeof(request->id), "b%" PRIu64,
			 run->n_lookups++);
	} else {
		generate_key(run, request->id, sizeof(request->id));
		request->max_tokens =
			random_between(&run->request_rng, 1, 10000);
	}
	assign_entry(run, request, choose_entry(run, group));
	if (class == LOAD_CHARGE &&
	    ks_rng_unit(&run->request_rng) < DUPLICATE_RATIO)
		schedule_duplicate(run, request);
	load_request_send(request);
}

/* Schedules the next arrival of a Poisson process: open loop. */
static void schedule_arrival(struct arrivals *arrivals)
{
	struct run *run = arrivals->run;
	double rate = arrivals->class == LOAD_COMPLETION
			      ? phase_at(run, arrivals->due_us).rate
			      : run->options->rates[arrivals->class];
	double gap_s = -log(1.0 - ks_rng_unit(&arrivals->interval_rng)) / rate;

	arrivals->due_us += (int64_t)(gap_s * KS_USEC_PER_SEC);
	if (arrivals->due_us < run->send_until_us)
		ks_timer_set(&arrivals->timer,
			     MAX(arrivals->due_us - ks_loop_now(run->loop), 0));
}

static void on_arrival(void *ctx)
{
	struct arrivals *arrivals = ctx;
	struct run *run = arrivals->run;
	int64_t due_us = arrivals->due_us;

	schedule_arrival(arrivals);
	/* Also numbers skipped requests, so that later ones do not change. */
	seed_request(run, arrivals);
	if (run->in_flight < run->options->max_in_flight)
		send_request(run, arrivals, due_us);
	else
		run->stats[arrivals->class].skipped++;
}

static void on_drain_timer(void *ctx)
{
	struct run *run = ctx;
	int64_t limit = run->send_until_us +
			run->options->timeout_ms * KS_USEC_PER_MSEC + DRAIN_US;

	stop_if_idle(run);
	if (run->loop->stopping)
		return;
	if (ks_loop_now(run->loop) >= limit)
		ks_loop_stop(run->loop);
	else
		ks_timer_set(&run->drain_timer, KS_USEC_PER_SEC / 10);
}

static void start_run(struct run *run)
{
	int64_t now = ks_loop_now(run->loop);

	run->start_us = now;
	run->send_until_us =
		now + (int64_t)(run->options->duration_s * KS_USEC_PER_SEC);
	ks_timer_init(&run->drain_timer, run->loop, on_drain_timer, run);
	ks_timer_set(&run->drain_timer, run->send_until_us - now);
	for (int i = 0; i < LOAD_N_CLASSES; i++) {
		struct arrivals *arrivals = &run->arrivals[i];

		arrivals->run = run;
		arrivals->class = (load_class_t)i;
		arrivals->due_us = now;
		ks_rng_init(&arrivals->interval_rng,
			    run->options->seed * 31U + (uint32_t)i);
		ks_timer_init(&arrivals->timer, run->loop, on_arrival,
			      arrivals);
		if (run->options->rates[i] > 0)
			schedule_arrival(arrivals);
	}
}

/**
 * load_run() - send the load and wait for the responses
 * @loop: stopped on return
 * @stats: initialised with load_stats_init()
 *
 * Returns at most timeout_ms and 10 s after the end of the arrivals; requests
 * still in flight are then cancelled.
 */
void load_run(ks_loop_t *loop, const load_options_t *options,
	      load_stats_t stats[LOAD_N_CLASSES])
{
	struct run run = { .loop = loop, .options = options, .stats = stats };

	ks_rng_init(&run.request_rng, options->seed);
	ks_rng_init(&run.entry_rng, options->seed);
	ks_http_client_init(&run.client, loop);
	ks_list_init(&run.requests);
	start_run(&run);
	ks_loop_run(loop);
	ks_timer_clear(&run.drain_timer);
	while (!ks_list_is_empty(&run.requests)) {
		load_request_t *request = KS_CONTAINER_OF(run.requests.next,
							  load_request_t, node);

		ks_list_remove(&request->node);
		load_request_cancel(request);
		load_request_free(request);
	}
	ks_http_client_deinit(&run.client);
	ks_rng_deinit(&run.request_rng);
	ks_rng_deinit(&run.entry_rng);
	for (int i = 0; i < LOAD_N_CLASSES; i++)
		ks_rng_deinit(&run.arrivals[i].interval_rng);
}
