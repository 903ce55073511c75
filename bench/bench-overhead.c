/*
 * Overhead of the system compared with a direct connection to the same
 * upstream: latency, throughput, CPU time and memory. Requests go directly to
 * the upstream or through the entry and the upstream process beside it. A
 * measurement that compares both paths does so in one run, so that other load
 * on the machine affects both.
 */
#include "overhead.h"

#include <argtable2.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAM "bench-overhead"
#define EXIT_USAGE 2

/* Kind of the direct stream that records when the engine emits tokens. */
#define KIND_REFERENCE_STREAM 1
/* A token may be read this much before the reference token of its step. */
#define STEP_TOLERANCE_US (2 * KS_USEC_PER_MSEC)
/*
 * One direct lookup is sent for this many through the entry. More of them would
 * make this process the bottleneck.
 */
#define DIRECT_INTERVAL 8
#define DRAIN_TIMEOUT_US (60 * KS_USEC_PER_SEC)

/* Latencies in microseconds: direct at index 0, through the entry at 1. */
struct latency_samples {
	GArray *us[2];
};

static void samples_init(struct latency_samples *samples)
{
	for (int i = 0; i < 2; i++)
		samples->us[i] = g_array_new(FALSE, FALSE, sizeof(double));
}

static void samples_deinit(struct latency_samples *samples)
{
	for (int i = 0; i < 2; i++)
		g_array_free(samples->us[i], TRUE);
}

static void samples_print(struct latency_samples *samples, const char *name)
{
	static const double quantiles[] = { 0.5, 0.99 };

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		double direct = stats_quantile(samples->us[0], quantiles[i]);
		double via = stats_quantile(samples->us[1], quantiles[i]);

		printf("%s p%g: direct %.0f us, via %.0f us, added %.0f us, "
		       "ratio %.2f\n",
		       name, quantiles[i] * 100, direct, via, via - direct,
		       direct > 0 ? via / direct : 0);
	}
	printf("%s samples: direct %u, via %u\n", name, samples->us[0]->len,
	       samples->us[1]->len);
}

/*
 * Latency of short requests at a fixed rate. The direct ones are sent halfway
 * between two that go through the entry.
 */

static void record_latency(overhead_call_t *call)
{
	struct latency_samples *samples = call->run->ctx;
	double us = (double)(call->done_us - call->sent_us);

	if (call->complete)
		g_array_append_val(samples->us[call->via], us);
}

static void measure_latency(overhead_run_t *run)
{
	double interval = 1e6 / run->options->rate;
	unsigned n = (unsigned)(run->options->rate * run->options->duration_s);
	int64_t start = ks_loop_now(&run->loop);
	struct latency_samples samples;

	samples_init(&samples);
	/* The pointer to the local variable is cleared before the return. */
	/* cppcheck-suppress autoVariables */
	run->ctx = &samples;
	run->on_finished = record_latency;
	for (unsigned i = 0; i < n; i++) {
		overhead_run_until(run, start + (int64_t)(interval * i));
		overhead_lookup(run, true, 0);
		if (i % DIRECT_INTERVAL > 0)
			continue;
		overhead_run_until(run,
				   start + (int64_t)(interval * (i + 0.5)));
		overhead_lookup(run, false, 0);
	}
	overhead_wait(run, DRAIN_TIMEOUT_US);
	samples_print(&samples, "request latency");
	samples_deinit(&samples);
	run->ctx = NULL;
}

/* CPU time that the two processes of the system use per unit of work. */

struct cpu_sample {
	stats_process_t processes[2];
	int64_t at_us;
};

static void sample_cpu(overhead_run_t *run, struct cpu_sample *sample)
{
	for (int i = 0; i < 2; i++)
		stats_process_read(run->options->pids[i],
				   &sample->processes[i]);
	sample->at_us = ks_loop_now(&run->loop);
}

static void print_cpu(const struct cpu_sample *from,
		      const struct cpu_sample *to, double work,
		      const char *unit)
{
	static const char *const names[] = { "entry", "upstream process" };
	double seconds = (double)(to->at_us - from->at_us) / 1e6;

	printf("%s: %.0f a second\n", unit, work / seconds);
	for (int i = 0; i < 2; i++) {
		double cpu = to->processes[i].cpu_s - from->processes[i].cpu_s;

		printf("%s: %s %.1f us of CPU time each, %.0f per second "
		       "and core, %.0f%% of a core used\n",
		       unit, names[i], 1e6 * cpu / work,
		       cpu > 0 ? work / cpu : 0, 100 * cpu / seconds);
	}
}

static void repeat_lookup(overhead_call_t *call)
{
	int64_t *end = call->run->ctx;

	if (ks_loop_now(&call->run->loop) < *end)
		overhead_lookup(call->run, true, 0);
}

static void measure_request_cpu(overhead_run_t *run)
{
	struct cpu_sample from = { .at_us = 0 }, to = { .at_us = 0 };
	int64_t end = ks_loop_now(&run->loop) +
		      (int64_t)(run->options->duration_s * 1e6);

	run->ctx = &end;
	run->on_finished = repeat_lookup;
	sample_cpu(run, &from);
	for (unsigned i = 0; i < run->options->concurrency; i++)
		overhead_lookup(run, true, 0);
	overhead_run_until(run, end);
	overhead_wait(run, DRAIN_TIMEOUT_US);
	sample_cpu(run, &to);
	run->ctx = NULL;
	print_cpu(&from, &to, (double)run->n_complete, "requests");
}

/*
 * Latency of tokens. The engine emits one token for each of its streams in a
 * decode step. The reference stream is direct, so the time between the arrival
 * of its token and that of another stream's token of the same step is the
 * latency which the path of the other stream adds.
 */

struct token_arrival {
	int64_t at_us;
	bool via;
};

struct token_run {
	GArray *references;
	GArray *arrivals;
	int64_t end_us;
};

static void record_token(overhead_call_t *call, int64_t now)
{
	struct token_run *tokens = call->run->ctx;
	struct token_arrival arrival = { now, call->via };

	if (call->kind == KIND_REFERENCE_STREAM)
		g_array_append_val(tokens->references, now);
	else if (call->n_tokens > 1)
		g_array_append_val(tokens->arrivals, arrival);
}

/*
 * Measures each token from the last reference token that arrived no later than
 * STEP_TOLERANCE_US after it, as tokens of the same step are read in any order.
 */
static void compare_tokens(const struct token_run *tokens,
			   struct latency_samples *samples)
{
	guint next = 0;

	for (guint i = 0; i < tokens->arrivals->len; i++) {
		struct token_arrival *arrival = &g_array_index(
			tokens->arrivals, struct token_arrival, i);
		double us;

		while (next < tokens->references->len &&
		       g_array_index(tokens->references, int64_t, next) <=
			       arrival->at_us + STEP_TOLERANCE_US)
			next++;
		if (next == 0)
			continue;
		us = (double)(arrival->at_us - g_array_index(tokens->references,
							     int64_t,
							     next - 1));
		g_array_append_val(samples->us[arrival->via], us);
	}
}

static void repeat_token_stream(overhead_call_t *call)
{
	struct token_run *tokens = call->run->ctx;

	if (ks_loop_now(&call->run->loop) < tokens->end_us)
		overhead_stream(call->run, call->via, call->kind,
				call->run->options->output_tokens);
}

static void measure_tokens(overhead_run_t *run)
{
	struct token_run tokens = {
		.references = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		.arrivals =
			g_array_new(FALSE, FALSE, sizeof(struct token_arrival)),
	};
	struct latency_samples samples;

	samples_init(&samples);
	tokens.end_us = ks_loop_now(&run->loop) +
			(int64_t)(run->options->duration_s * 1e6);
	run->ctx = &tokens;
	run->on_token = record_token;
	run->on_finished = repeat_token_stream;
	overhead_stream(run, false, KIND_REFERENCE_STREAM, 100000);
	for (unsigned i = 0; i < run->options->concurrency; i++)
		overhead_stream(run, i % 2 == 0, 0,
				run->options->output_tokens);
	overhead_run_until(run, tokens.end_us);
	compare_tokens(&tokens, &samples);
	samples_print(&samples, "token latency");
	samples_deinit(&samples);
	run->ctx = NULL;
	g_array_free(tokens.references, TRUE);
	g_array_free(tokens.arrivals, TRUE);
}

/*
 * Tokens per second, direct and through the entry in turn, with a constant
 * number of streams.
 */

static void repeat_stream(overhead_call_t *call)
{
	int64_t *end = call->run->ctx;

	if (ks_loop_now(&call->run->loop) < *end)
		overhead_stream(call->run, call->via, 0,
				call->run->options->output_tokens);
}

static double measure_stream_rate(const overhead_options_t *options, bool via,
				  struct cpu_sample *from,
				  struct cpu_sample *to)
{
	overhead_run_t run;
	int64_t end;
	double rate;

	overhead_run_init(&run, options);
	end = ks_loop_now(&run.loop) + (int64_t)(options->duration_s * 1e6);
	run.ctx = &end;
	run.on_finished = repeat_stream;
	sample_cpu(&run, from);
	for (unsigned i = 0; i < options->concurrency; i++)
		overhead_stream(&run, via, 0, options->output_tokens);
	overhead_run_until(&run, end);
	overhead_wait(&run, DRAIN_TIMEOUT_US);
	sample_cpu(&run, to);
	rate = (double)run.n_tokens * 1e6 / (double)(to->at_us - from->at_us);
	if (run.n_failed > 0)
		printf("%" PRIu64 " streams failed\n", run.n_failed);
	overhead_run_deinit(&run);
	return rate;
}

static void measure_throughput(overhead_run_t *run)
{
	struct cpu_sample from = { .at_us = 0 }, to = { .at_us = 0 };
	double sums[2] = { 0, 0 };

	for (unsigned i = 0; i < run->options->rounds; i++) {
		double direct =
			measure_stream_rate(run->options, false, &from, &to);
		double via =
			measure_stream_rate(run->options, true, &from, &to);

		sums[0] += direct;
		sums[1] += via;
		printf("streaming round %u: direct %.0f, via %.0f tokens/s, "
		       "ratio %.4f\n",
		       i + 1, direct, via, via / direct);
	}
	print_cpu(&from, &to,
		  sums[1] / run->options->rounds *
			  ((double)(to.at_us - from.at_us) / 1e6),
		  "tokens");
	printf("streaming throughput lost: %.2f%%\n",
	       100 * (1 - sums[1] / sums[0]));
}

/* Resident memory by the number of open streams. */

static bool all_received(overhead_run_t *run, unsigned tokens)
{
	KS_LIST_FOREACH (it, &run->calls) {
		if (KS_CONTAINER_OF(it, overhead_call_t, node)->n_tokens <
		    tokens)
			return false;
	}
	return true;
}

static void open_streams(overhead_run_t *run, unsigned n)
{
	int64_t end = ks_loop_now(&run->loop) + DRAIN_TIMEOUT_US;

	while (run->active < n) {
		overhead_stream(run, true, 0, run->options->output_tokens);
		ks_loop_run_once(&run->loop, KS_USEC_PER_MSEC);
	}
	while (!all_received(run, 20) && ks_loop_now(&run->loop) < end)
		ks_loop_run_once(&run->loop, KS_USEC_PER_MSEC);
}

static void measure_memory(overhead_run_t *run)
{
	stats_fit_t fits[3] = { { .n = 0 } };
	stats_process_t process;

	for (unsigned i = 0; i < run->options->n_sizes; i++) {
		double sum = 0;

		open_streams(run, run->options->sizes[i]);
		for (int p = 0; p < 2; p++) {
			if (!stats_process_read(run->options->pids[p],
						&process))
				continue;
			stats_fit_add(&fits[p], run->active,
				      process.rss_bytes / 1024);
			sum += process.rss_bytes / 1024;
		}
		stats_fit_add(&fits[2], run->active, sum);
	}
	if (run->n_failed > 0)
		printf("%" PRIu64 " streams failed\n", run->n_failed);
	stats_fit_print(&fits[0], "memory of the entry", "KiB per stream");
	stats_fit_print(&fits[1], "memory of the upstream process",
			"KiB per stream");
	stats_fit_print(&fits[2], "memory of both", "KiB per stream");
}

static const struct {
	const char *name;
	void (*measure)(overhead_run_t *run);
} measurements[] = {
	{ "latency", measure_latency },
	{ "requests", measure_request_cpu },
	{ "tokens", measure_tokens },
	{ "memory", measure_memory },
	{ "throughput", measure_throughput },
};

/* Also used as argtable's table of pointers, so @end has to be the last. */
struct args {
	struct arg_str *mode, *direct, *via, *key, *model;
	struct arg_int *entry_pid, *upstream_pid, *concurrency, *rounds;
	struct arg_int *prompt, *output, *sizes;
	struct arg_dbl *rate, *duration;
	struct arg_end *end;
};

static void create_args(struct args *args)
{
	args->mode =
		arg_str1(NULL, NULL, "MEASUREMENT",
			 "latency, requests, tokens, throughput or memory");
	args->direct =
		arg_str1(NULL, "direct", "IP:PORT", "address of the upstream");
	args->via = arg_str1(NULL, "via", "IP:PORT", "address of the entry");
	args->key = arg_str1(NULL, "api-key", "KEY", "API key");
	args->model =
		arg_str0(NULL, "model", "NAME", "model of the completions");
	args->entry_pid = arg_int0(NULL, "entry-pid", "PID", NULL);
	args->upstream_pid = arg_int0(NULL, "upstream-pid", "PID", NULL);
	args->concurrency =
		arg_int0(NULL, "concurrency", "N", "calls in flight");
	args->rounds = arg_int0(NULL, "rounds", "N",
				"rounds of the throughput measurement");
	args->prompt = arg_int0(NULL, "prompt-tokens", "N", NULL);
	args->output = arg_int0(NULL, "output-tokens", "N", NULL);
	args->sizes = arg_intn(NULL, "streams", "N", 0, STATS_MAX_POINTS,
			       "number of open streams; may be repeated in "
			       "ascending order");
	args->rate = arg_dbl0(NULL, "rate", "N", "requests per second");
	args->duration = arg_dbl0(NULL, "duration-s", "N", NULL);
	args->end = arg_end(10);
	args->model->sval[0] = "";
	args->entry_pid->ival[0] = args->upstream_pid->ival[0] = 0;
	args->concurrency->ival[0] = 32;
	args->rounds->ival[0] = 3;
	args->prompt->ival[0] = 100;
	args->output->ival[0] = 200;
	args->rate->dval[0] = 100;
	args->duration->dval[0] = 5;
}

static bool read_options(overhead_options_t *options, const struct args *args)
{
	memset(options, 0, sizeof(*options));
	if (!ks_address_parse(&options->direct,
			      ks_str_from(args->direct->sval[0]), NULL) ||
	    !ks_address_parse(&options->via, ks_str_from(args->via->sval[0]),
			      NULL))
		return false;
	options->pids[0] = args->entry_pid->ival[0];
	options->pids[1] = args->upstream_pid->ival[0];
	options->concurrency = (unsigned)args->concurrency->ival[0];
	options->rounds = (unsigned)args->rounds->ival[0];
	options->prompt_tokens = (unsigned)args->prompt->ival[0];
	options->output_tokens = (unsigned)args->output->ival[0];
	options->rate = args->rate->dval[0];
	options->duration_s = args->duration->dval[0];
	options->api_key = args->key->sval[0];
	options->model = args->model->sval[0];
	options->n_sizes = (unsigned)args->sizes->count;
	for (unsigned i = 0; i < options->n_sizes; i++)
		options->sizes[i] = (unsigned)args->sizes->ival[i];
	return args->concurrency->ival[0] > 0 && args->rounds->ival[0] > 0 &&
	       args->prompt->ival[0] > 0 && args->output->ival[0] > 0 &&
	       options->rate > 0 && options->duration_s > 0;
}

static int measure(const overhead_options_t *options, const char *name)
{
	overhead_run_t run;
	bool failed;

	for (size_t i = 0; i < G_N_ELEMENTS(measurements); i++) {
		if (!g_str_equal(measurements[i].name, name))
			continue;
		overhead_run_init(&run, options);
		measurements[i].measure(&run);
		failed = run.n_failed > 0;
		if (failed)
			printf("%" PRIu64 " calls failed\n", run.n_failed);
		overhead_run_deinit(&run);
		return failed ? EXIT_FAILURE : EXIT_SUCCESS;
	}
	fprintf(stderr, PROGRAM ": unknown measurement '%s'\n", name);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	overhead_options_t options;
	struct args args;

	signal(SIGPIPE, SIG_IGN);
	create_args(&args);
	if (arg_parse(argc, argv, (void **)&args) > 0) {
		arg_print_errors(stderr, args.end, PROGRAM);
		return EXIT_USAGE;
	}
	if (!read_options(&options, &args)) {
		fprintf(stderr, PROGRAM ": an option is out of range\n");
		return EXIT_USAGE;
	}
	return measure(&options, args.mode->sval[0]);
}
