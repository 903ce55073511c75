/*
 * Measures how the cost of each decision scales with the size of its input, at
 * four or more sizes each, and fits a line. docs/CAPACITY.md calculates with
 * these slopes.
 */
#include "link.pb-c.h"

#include "ks/entry.h"
#include "ks/upstream.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define MAX_POINTS 8
#define MIN_DURATION_NS 100e6

/* Size of the deployment in docs/CAPACITY.md. */
#define N_ENTRIES 350
#define N_UPSTREAMS 2800
#define N_DOMAINS 19
#define N_MODELS 12

/* Cost by size of one decision: the points measured. */
struct slope {
	const char *name;
	const char *size_unit;
	const char *cost_unit;
	double sizes[MAX_POINTS];
	double costs[MAX_POINTS];
	int n;
};

static double now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static void add_point(struct slope *slope, double size, double cost)
{
	slope->sizes[slope->n] = size;
	slope->costs[slope->n] = cost;
	slope->n++;
}

/*
 * Prints the points and a line fitted by least squares of the relative errors,
 * so that the small costs are not outweighed by the large ones.
 */
static void print_slope(const struct slope *slope)
{
	double w = 0, x = 0, y = 0, xx = 0, xy = 0, a, b, max_residual = 0;

	for (int i = 0; i < slope->n; i++) {
		double weight = 1 / (slope->costs[i] * slope->costs[i]);

		w += weight;
		x += weight * slope->sizes[i];
		y += weight * slope->costs[i];
		xx += weight * slope->sizes[i] * slope->sizes[i];
		xy += weight * slope->sizes[i] * slope->costs[i];
	}
	b = (w * xy - x * y) / (w * xx - x * x);
	a = (y - b * x) / w;
	printf("%s\n", slope->name);
	for (int i = 0; i < slope->n; i++) {
		double fit = a + b * slope->sizes[i];
		double residual = fabs(fit / slope->costs[i] - 1);

		max_residual = MAX(max_residual, residual);
		printf("  %8.0f %s: %12.1f %s\n", slope->sizes[i],
		       slope->size_unit, slope->costs[i], slope->cost_unit);
	}
	printf("  fit: %.4g + %.4g * %s, largest residual %.0f%%\n\n", a, b,
	       slope->size_unit, max_residual * 100);
}

/* Calls @func for at least MIN_DURATION_NS; returns the mean ns per call. */
static double measure_ns(void (*func)(void *ctx), void *ctx)
{
	double start = now_ns(), elapsed;
	uint64_t runs = 0, batch = 1;

	do {
		for (uint64_t i = 0; i < batch; i++)
			func(ctx);
		runs += batch;
		batch *= 2;
		elapsed = now_ns() - start;
	} while (elapsed < MIN_DURATION_NS);
	return elapsed / (double)runs;
}

struct routing_bench {
	ks_candidate_t *candidates;
	size_t n;
	ks_rng_t rng;
};

static void route_once(void *ctx)
{
	struct routing_bench *bench = ctx;
	ks_route_request_t request = { 4000, 200, 30 * KS_USEC_PER_SEC };

	ks_route_choose(&request, bench->candidates, bench->n, &bench->rng);
}

static void measure_route(void)
{
	static const size_t sizes[] = { 8, 32, 128, 512, 2048 };
	struct slope slope = { .name = "routing one request",
			       .size_unit = "candidates",
			       .cost_unit = "ns" };
	struct routing_bench bench;

	ks_rng_init(&bench.rng, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bench.n = sizes[i];
		bench.candidates = g_new0(ks_candidate_t, bench.n);
		for (size_t j = 0; j < bench.n; j++)
			bench.candidates[j] = (ks_candidate_t){
				.limit = 32,
				.in_flight = ks_rng_below(&bench.rng, 32),
				.prompt_tokens =
					ks_rng_below(&bench.rng, 50000),
				.output_tokens = ks_rng_below(&bench.rng, 8000),
				.prefill_us_per_token = 100,
				.decode_us_per_token = 30000,
			};
		add_point(&slope, (double)bench.n,
			  measure_ns(route_once, &bench));
		g_free(bench.candidates);
	}
	ks_rng_deinit(&bench.rng);
	print_slope(&slope);
}

struct admission_bench {
	ks_admission_t *admission;
	ks_ticket_t *tickets;
	char (*names)[16];
	size_t n_tickets;
	size_t n_tenants;
	size_t next_tenant;
};

/* Admits a queued request, ends it and queues it again for another tenant. */
static void admit_once(void *ctx)
{
	struct admission_bench *bench = ctx;
	ks_ticket_t *ticket = ks_admission_next(bench->admission, 0);
	int64_t retry;

	ks_admission_leave(bench->admission, ticket, 0);
	ticket->tenant = bench->names[bench->next_tenant++ % bench->n_tenants];
	ks_admission_arrive(bench->admission, ticket, 0, &retry);
}

static double time_admission(size_t n_tenants, size_t n_tickets)
{
	struct admission_bench bench = { .n_tickets = n_tickets,
					 .n_tenants = n_tenants };
	double ns;

	bench.admission = ks_admission_new();
	bench.tickets = g_new0(ks_ticket_t, n_tickets);
	bench.names = g_malloc0(n_tenants * sizeof(*bench.names));
	for (size_t i = 0; i < n_tenants; i++)
		g_snprintf(bench.names[i], sizeof(*bench.names), "tenant%zu",
			   i);
	ks_admission_set_capacity(bench.admission, 0);
	for (size_t i = 0; i < n_tickets; i++) {
		int64_t retry;

		bench.tickets[i] =
			(ks_ticket_t){ .tenant = bench.names[i % n_tenants],
				       .work_us = 1000 + i % 977,
				       .deadline_us = INT64_MAX / 4,
				       .priority = 1 };
		ks_admission_arrive(bench.admission, &bench.tickets[i], 0,
				    &retry);
	}
	ks_admission_set_capacity(bench.admission, 1);
	ns = measure_ns(admit_once, &bench);
	ks_admission_free(bench.admission);
	g_free(bench.tickets);
	g_free(bench.names);
	return ns;
}

static void measure_admission(void)
{
	static const size_t tenants[] = { 10, 100, 1000, 4000 };
	static const size_t queues[] = { 100, 1000, 10000, 100000 };
	struct slope by_tenants = { .name = "admission, 4,000 queued",
				    .size_unit = "tenants",
				    .cost_unit = "ns" };
	struct slope by_queue = { .name = "admission, 1,000 tenants",
				  .size_unit = "queued",
				  .cost_unit = "ns" };

	for (size_t i = 0; i < 4; i++)
		add_point(&by_tenants, (double)tenants[i],
			  time_admission(tenants[i], 4000));
	for (size_t i = 0; i < 4; i++)
		add_point(&by_queue, (double)queues[i],
			  time_admission(1000, queues[i]));
	print_slope(&by_tenants);
	print_slope(&by_queue);
}

/*
 * The prefix index records which blocks of prompts an upstream is expected to
 * hold in its KV cache.
 */

#define BLOCKS_PER_PROMPT 16

struct prefix_bench {
	ks_prefix_index_t *index;
	size_t n_blocks;
	uint64_t next_block;
};

/* Spreads block numbers over 64 bits, as the hashes of real blocks are. */
static uint64_t block_hash(uint64_t i)
{
	return (i + 1) * UINT64_C(0x9E3779B97F4A7C15);
}

static void update_prefix_once(void *ctx)
{
	struct prefix_bench *bench = ctx;
	uint64_t hashes[BLOCKS_PER_PROMPT];

	for (int i = 0; i < BLOCKS_PER_PROMPT; i++)
		hashes[i] = block_hash(bench->next_block++ % bench->n_blocks);
	ks_prefix_index_tokens(bench->index, hashes, BLOCKS_PER_PROMPT, 0);
	ks_prefix_index_add(bench->index, hashes, BLOCKS_PER_PROMPT, 0);
}

static size_t heap_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void measure_prefix(void)
{
	static const size_t sizes[] = { 1024, 4096, 16384, 65536, 262144 };
	struct slope memory = { .name = "prefix index of one upstream",
				.size_unit = "blocks",
				.cost_unit = "bytes" };
	struct slope time = { .name = "prefix lookup and update, 16 blocks",
			      .size_unit = "blocks",
			      .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		size_t before = heap_in_use();
		struct prefix_bench bench = { .n_blocks = sizes[i] };

		bench.index =
			ks_prefix_index_new(sizes[i], 300 * KS_USEC_PER_SEC);
		add_point(&memory, (double)sizes[i],
			  (double)(heap_in_use() - before));
		add_point(&time, (double)sizes[i],
			  measure_ns(update_prefix_once, &bench));
		ks_prefix_index_free(bench.index);
	}
	print_slope(&memory);
	print_slope(&time);
}

struct subset_bench {
	ks_str_t *ids;
	ks_str_t *domains;
	size_t n;
	size_t subset_size;
	size_t *chosen;
	char entry[16];
};

static void subset_bench_init(struct subset_bench *bench, size_t n,
			      size_t subset_size)
{
	bench->ids = g_new0(ks_str_t, n);
	bench->domains = g_new0(ks_str_t, n);
	bench->chosen = g_new0(size_t, subset_size);
	g_strlcpy(bench->entry, "entry", sizeof(bench->entry));
	bench->n = n;
	bench->subset_size = subset_size;
	for (size_t i = 0; i < n; i++) {
		bench->ids[i] = ks_str_from(g_strdup_printf("engine%zu", i));
		bench->domains[i] = ks_str_from(
			g_strdup_printf("domain%zu", i % N_DOMAINS));
	}
}

static void subset_bench_deinit(struct subset_bench *bench)
{
	for (size_t i = 0; i < bench->n; i++) {
		g_free((char *)bench->ids[i].data);
		g_free((char *)bench->domains[i].data);
	}
	g_free(bench->ids);
	g_free(bench->domains);
	g_free(bench->chosen);
}

static void choose_once(void *ctx)
{
	struct subset_bench *bench = ctx;

	ks_subset_choose(ks_str_from(bench->entry), bench->ids, bench->domains,
			 bench->n, bench->subset_size, bench->chosen);
}

static void measure_subset(void)
{
	static const size_t sizes[] = { 175, 350, 700, 1400, 2800 };
	struct slope slope = { .name = "choice of a subset of 64",
			       .size_unit = "upstreams",
			       .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct subset_bench bench;

		subset_bench_init(&bench, sizes[i], 64);
		add_point(&slope, (double)sizes[i],
			  measure_ns(choose_once, &bench));
		subset_bench_deinit(&bench);
	}
	print_slope(&slope);
}

static void print_subset_balance(size_t n_upstreams, size_t subset_size)
{
	unsigned n_entries[N_UPSTREAMS] = { 0 };
	unsigned low = UINT_MAX, high = 0;
	double mean =
		(double)N_ENTRIES * (double)subset_size / (double)n_upstreams;
	double squares = 0;
	struct subset_bench bench;

	subset_bench_init(&bench, n_upstreams, subset_size);
	for (int i = 0; i < N_ENTRIES; i++) {
		g_snprintf(bench.entry, sizeof(bench.entry), "entry%d", i);
		choose_once(&bench);
		for (size_t j = 0; j < subset_size; j++)
			n_entries[bench.chosen[j]]++;
	}
	for (size_t i = 0; i < n_upstreams; i++) {
		low = MIN(low, n_entries[i]);
		high = MAX(high, n_entries[i]);
		squares += (n_entries[i] - mean) * (n_entries[i] - mean);
	}
	printf("  %zu of %zu: entries per upstream: mean %.1f, deviation "
	       "%.1f, min %u, max %u\n",
	       subset_size, n_upstreams, mean,
	       sqrt(squares / (double)n_upstreams), low, high);
	subset_bench_deinit(&bench);
}

/*
 * Entries connected to each upstream if every entry chooses its subset on its
 * own: among the replicas of one of N_MODELS models, and among all upstreams.
 */
static void measure_subset_balance(void)
{
	static const size_t subset_sizes[] = { 4, 8, 16, 32, 64 };

	printf("balance of subsets over %d entries\n", N_ENTRIES);
	for (size_t i = 0; i < G_N_ELEMENTS(subset_sizes); i++)
		print_subset_balance(N_UPSTREAMS / N_MODELS, subset_sizes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(subset_sizes); i++)
		print_subset_balance(N_UPSTREAMS, 4 * subset_sizes[i]);
	printf("\n");
}

struct ejection_bench {
	ks_ejection_t *upstreams;
	const ks_ejection_t **upstream_ptrs;
	bool *is_ejected;
	size_t n;
	ks_retry_budget_t budget;
	ks_rng_t rng;
	int64_t now_us;
};

/*
 * A failure of one upstream, the decision on a retry, and the cap on the share
 * of ejected upstreams, which looks at the whole group.
 */
static void eject_once(void *ctx)
{
	struct ejection_bench *bench = ctx;
	ks_attempt_failure_t failure = { KS_ERROR_UPSTREAM_FAILED, false,
					 false };
	size_t i = ks_rng_below(&bench->rng, (uint32_t)bench->n);

	bench->now_us += 1000;
	ks_retry_budget_deposit(&bench->budget);
	ks_ejection_dispatch(&bench->upstreams[i], bench->now_us);
	ks_ejection_failure(&bench->upstreams[i], bench->now_us, &bench->rng);
	ks_retry_allowed(&bench->budget, &failure, true, 1, KS_USEC_PER_SEC);
	ks_ejection_cap(bench->upstream_ptrs, bench->n, bench->now_us,
			bench->is_ejected);
}

static void measure_ejection(void)
{
	static const size_t sizes[] = { 8, 16, 32, 64, 128 };
	struct slope slope = { .name = "failure, retry and cap of ejections",
			       .size_unit = "upstreams",
			       .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct ejection_bench bench = { .n = sizes[i] };

		bench.upstreams = g_new0(ks_ejection_t, bench.n);
		bench.upstream_ptrs = g_new0(const ks_ejection_t *, bench.n);
		bench.is_ejected = g_new0(bool, bench.n);
		ks_rng_init(&bench.rng, 1);
		ks_retry_budget_init(&bench.budget, 0.1, 10);
		for (size_t j = 0; j < bench.n; j++) {
			ks_ejection_init(&bench.upstreams[j]);
			bench.upstream_ptrs[j] = &bench.upstreams[j];
		}
		add_point(&slope, (double)bench.n,
			  measure_ns(eject_once, &bench));
		ks_rng_deinit(&bench.rng);
		g_free(bench.upstreams);
		g_free(bench.upstream_ptrs);
		g_free(bench.is_ejected);
	}
	print_slope(&slope);
}

struct planner_bench {
	ks_planner_t *planner;
	ks_plan_engine_t *engines;
	size_t n;
	int64_t now_us;
};

static void plan_once(void *ctx)
{
	struct planner_bench *bench = ctx;
	ks_plan_change_t change;

	ks_planner_observe(bench->planner, 1, 1, bench->now_us);
	ks_planner_decide(bench->planner, bench->engines, bench->n,
			  bench->now_us, true, bench->now_us, &change);
}

static void measure_planner(void)
{
	static const size_t sizes[] = { 12, 48, 192, 768, 2800 };
	static const ks_planner_options_t options = { 1, KS_USEC_PER_SEC,
						      16 * KS_USEC_PER_SEC,
						      KS_USEC_PER_SEC };
	struct slope slope = { .name = "planner, one decision",
			       .size_unit = "engines",
			       .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct planner_bench bench = { .n = sizes[i] };

		bench.planner = ks_planner_new(&options);
		bench.engines = g_new0(ks_plan_engine_t, bench.n);
		for (size_t j = 0; j < bench.n; j++)
			bench.engines[j] = (ks_plan_engine_t){
				.id = KS_STR("engine"),
				.domain = KS_STR("domain"),
				.role = (ks_engine_role_t)(j % 3),
				.ready = true,
			};
		for (; bench.now_us < 20 * KS_USEC_PER_SEC;
		     bench.now_us += KS_USEC_PER_SEC)
			ks_planner_observe(bench.planner, 1, 1, bench.now_us);
		add_point(&slope, (double)bench.n,
			  measure_ns(plan_once, &bench));
		ks_planner_free(bench.planner);
		g_free(bench.engines);
	}
	print_slope(&slope);
}

/* Packed size of a heartbeat with the values of a busy engine in all fields. */
static void print_heartbeat(void)
{
	Ks__Link__Heartbeat heartbeat = KS__LINK__HEARTBEAT__INIT;
	Ks__Link__Frame frame = KS__LINK__FRAME__INIT;
	Ks__Link__Load load = KS__LINK__LOAD__INIT;

	load.in_flight = load.limit = 256;
	load.prompt_tokens_pending = load.output_tokens_pending = 1000000;
	load.kv_blocks_free = load.kv_blocks_total = 4096;
	load.role = (char *)"prefill";
	heartbeat.session = heartbeat.config_version = 1000000;
	heartbeat.state = KS__LINK__STATE__STATE_READY;
	heartbeat.load = &load;
	frame.kind_case = KS__LINK__FRAME__KIND_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	printf("heartbeat of an upstream process: %zu bytes\n",
	       ks__link__frame__get_packed_size(&frame));
	heartbeat.load = NULL;
	printf("heartbeat of an entry: %zu bytes\n\n",
	       ks__link__frame__get_packed_size(&frame));
}

int main(void)
{
	print_heartbeat();
	measure_route();
	measure_admission();
	measure_prefix();
	measure_subset();
	measure_subset_balance();
	measure_ejection();
	measure_planner();
	return 0;
}
