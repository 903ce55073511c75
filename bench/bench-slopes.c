/*
 * Measures how the cost of each decision grows with its input: four or more
 * sizes each, and the straight line through them. docs/CAPACITY.md works from
 * these lines.
 */
#include "link.pb-c.h"

#include "ks/entry.h"
#include "ks/upstream.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define MAX_POINTS 8
#define MIN_TIME_NS 100e6

/* Sizes that docs/CAPACITY.md is about. */
#define N_ENTRIES 350
#define N_UPSTREAMS 2800
#define N_DOMAINS 19
#define N_MODELS 12

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

/* Least squares on relative errors, so that small sizes count as well. */
static void print_slope(const struct slope *slope)
{
	double w = 0, x = 0, y = 0, xx = 0, xy = 0, a, b, worst = 0;

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

		worst = MAX(worst, residual);
		printf("  %8.0f %s: %12.1f %s\n", slope->sizes[i],
		       slope->size_unit, slope->costs[i], slope->cost_unit);
	}
	printf("  fit: %.4g + %.4g * %s, worst residual %.0f%%\n\n", a, b,
	       slope->size_unit, worst * 100);
}

/* Runs @func until MIN_TIME_NS have passed; returns nanoseconds for each run.
 */
static double time_of(void (*func)(void *ctx), void *ctx)
{
	double start = now_ns(), passed;
	uint64_t runs = 0, batch = 1;

	do {
		for (uint64_t i = 0; i < batch; i++)
			func(ctx);
		runs += batch;
		batch *= 2;
		passed = now_ns() - start;
	} while (passed < MIN_TIME_NS);
	return passed / (double)runs;
}

struct routing {
	ks_candidate_t *candidates;
	size_t n;
	ks_rng_t rng;
};

static void route_once(void *ctx)
{
	struct routing *routing = ctx;
	ks_route_request_t request = { 4000, 200, 30 * KS_USEC_PER_SEC };

	ks_route_choose(&request, routing->candidates, routing->n,
			&routing->rng);
}

static void measure_route(void)
{
	static const size_t sizes[] = { 8, 32, 128, 512, 2048 };
	struct slope slope = { .name = "routing one request",
			       .size_unit = "candidates",
			       .cost_unit = "ns" };
	struct routing routing;

	ks_rng_init(&routing.rng, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		routing.n = sizes[i];
		routing.candidates = g_new0(ks_candidate_t, routing.n);
		for (size_t j = 0; j < routing.n; j++)
			routing.candidates[j] = (ks_candidate_t){
				.limit = 32,
				.in_flight = ks_rng_below(&routing.rng, 32),
				.prompt_tokens =
					ks_rng_below(&routing.rng, 50000),
				.output_tokens =
					ks_rng_below(&routing.rng, 8000),
				.prefill_us_per_token = 100,
				.decode_us_per_token = 30000,
			};
		add_point(&slope, (double)routing.n,
			  time_of(route_once, &routing));
		g_free(routing.candidates);
	}
	ks_rng_deinit(&routing.rng);
	print_slope(&slope);
}

struct queueing {
	ks_admission_t *admission;
	ks_ticket_t *tickets;
	char (*names)[16];
	size_t n_tickets;
	size_t n_tenants;
	size_t next;
};

/* One request ends, the next one starts and a new one is queued. */
static void admit_once(void *ctx)
{
	struct queueing *queueing = ctx;
	ks_ticket_t *ticket = ks_admission_next(queueing->admission, 0);
	int64_t retry;

	ks_admission_leave(queueing->admission, ticket, 0);
	ticket->tenant =
		queueing->names[queueing->next++ % queueing->n_tenants];
	ks_admission_arrive(queueing->admission, ticket, 0, &retry);
}

static double time_admission(size_t n_tenants, size_t n_tickets)
{
	struct queueing q = { .n_tickets = n_tickets, .n_tenants = n_tenants };
	double ns;

	q.admission = ks_admission_new();
	q.tickets = g_new0(ks_ticket_t, n_tickets);
	q.names = g_malloc0(n_tenants * sizeof(*q.names));
	for (size_t i = 0; i < n_tenants; i++)
		g_snprintf(q.names[i], sizeof(*q.names), "tenant%zu", i);
	ks_admission_set_capacity(q.admission, 0);
	for (size_t i = 0; i < n_tickets; i++) {
		int64_t retry;

		q.tickets[i] = (ks_ticket_t){ .tenant = q.names[i % n_tenants],
					      .work_us = 1000 + i % 977,
					      .deadline_us = INT64_MAX / 4,
					      .priority = 1 };
		ks_admission_arrive(q.admission, &q.tickets[i], 0, &retry);
	}
	ks_admission_set_capacity(q.admission, 1);
	ns = time_of(admit_once, &q);
	ks_admission_free(q.admission);
	g_free(q.tickets);
	g_free(q.names);
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

#define PROMPT_BLOCKS 16

struct believing {
	ks_prefix_index_t *belief;
	size_t n_blocks;
	uint64_t next;
};

static uint64_t block_hash(uint64_t i)
{
	return (i + 1) * UINT64_C(0x9E3779B97F4A7C15);
}

static void believe_once(void *ctx)
{
	struct believing *b = ctx;
	uint64_t hashes[PROMPT_BLOCKS];

	for (int i = 0; i < PROMPT_BLOCKS; i++)
		hashes[i] = block_hash(b->next++ % b->n_blocks);
	ks_prefix_index_tokens(b->belief, hashes, PROMPT_BLOCKS, 0);
	ks_prefix_index_add(b->belief, hashes, PROMPT_BLOCKS, 0);
}

static size_t heap_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void measure_prefix(void)
{
	static const size_t sizes[] = { 1024, 4096, 16384, 65536, 262144 };
	struct slope memory = { .name = "prefix belief of one upstream",
				.size_unit = "blocks",
				.cost_unit = "bytes" };
	struct slope time = { .name = "prefix lookup and update, 16 blocks",
			      .size_unit = "blocks",
			      .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		size_t before = heap_in_use();
		struct believing b = { .n_blocks = sizes[i] };

		b.belief = ks_prefix_index_new(sizes[i], 300 * KS_USEC_PER_SEC);
		add_point(&memory, (double)sizes[i],
			  (double)(heap_in_use() - before));
		add_point(&time, (double)sizes[i], time_of(believe_once, &b));
		ks_prefix_index_free(b.belief);
	}
	print_slope(&memory);
	print_slope(&time);
}

struct fleet {
	ks_str_t *ids;
	ks_str_t *domains;
	size_t n;
	size_t wanted;
	size_t *chosen;
	char entry[16];
};

static void init_fleet(struct fleet *fleet, size_t n, size_t wanted)
{
	fleet->ids = g_new0(ks_str_t, n);
	fleet->domains = g_new0(ks_str_t, n);
	fleet->chosen = g_new0(size_t, wanted);
	g_strlcpy(fleet->entry, "entry", sizeof(fleet->entry));
	fleet->n = n;
	fleet->wanted = wanted;
	for (size_t i = 0; i < n; i++) {
		fleet->ids[i] = ks_str_from(g_strdup_printf("engine%zu", i));
		fleet->domains[i] = ks_str_from(
			g_strdup_printf("domain%zu", i % N_DOMAINS));
	}
}

static void deinit_fleet(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->n; i++) {
		g_free((char *)fleet->ids[i].data);
		g_free((char *)fleet->domains[i].data);
	}
	g_free(fleet->ids);
	g_free(fleet->domains);
	g_free(fleet->chosen);
}

static void choose_once(void *ctx)
{
	struct fleet *fleet = ctx;

	ks_subset_choose(ks_str_from(fleet->entry), fleet->ids, fleet->domains,
			 fleet->n, fleet->wanted, fleet->chosen);
}

static void measure_subset(void)
{
	static const size_t sizes[] = { 175, 350, 700, 1400, 2800 };
	struct slope slope = { .name = "choice of a subset of 64",
			       .size_unit = "upstreams",
			       .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet fleet;

		init_fleet(&fleet, sizes[i], 64);
		add_point(&slope, (double)sizes[i],
			  time_of(choose_once, &fleet));
		deinit_fleet(&fleet);
	}
	print_slope(&slope);
}

static void print_balance(size_t n_upstreams, size_t wanted)
{
	unsigned users[N_UPSTREAMS] = { 0 };
	unsigned low = UINT_MAX, high = 0;
	double mean = (double)N_ENTRIES * (double)wanted / (double)n_upstreams;
	double squares = 0;
	struct fleet fleet;

	init_fleet(&fleet, n_upstreams, wanted);
	for (int i = 0; i < N_ENTRIES; i++) {
		g_snprintf(fleet.entry, sizeof(fleet.entry), "entry%d", i);
		choose_once(&fleet);
		for (size_t j = 0; j < wanted; j++)
			users[fleet.chosen[j]]++;
	}
	for (size_t i = 0; i < n_upstreams; i++) {
		low = MIN(low, users[i]);
		high = MAX(high, users[i]);
		squares += (users[i] - mean) * (users[i] - mean);
	}
	printf("  %zu of %zu: entries for each upstream: mean %.1f, deviation "
	       "%.1f, least %u, most %u\n",
	       wanted, n_upstreams, mean, sqrt(squares / (double)n_upstreams),
	       low, high);
	deinit_fleet(&fleet);
}

/* One model has a twelfth of the replicas. */
static void measure_balance(void)
{
	static const size_t wanted[] = { 4, 8, 16, 32, 64 };

	printf("balance of subsets over %d entries\n", N_ENTRIES);
	for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++)
		print_balance(N_UPSTREAMS / N_MODELS, wanted[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++)
		print_balance(N_UPSTREAMS, 4 * wanted[i]);
	printf("\n");
}

struct churn {
	ks_ejection_t *group;
	const ks_ejection_t **pointers;
	bool *out;
	size_t n;
	ks_retry_budget_t budget;
	ks_rng_t rng;
	int64_t now_us;
};

/* A failure at one upstream, a retry, and the state of the whole group. */
static void churn_once(void *ctx)
{
	struct churn *churn = ctx;
	ks_attempt_failure_t failure = { KS_ERROR_UPSTREAM_FAILED, false,
					 false };
	size_t i = ks_rng_below(&churn->rng, (uint32_t)churn->n);

	churn->now_us += 1000;
	ks_retry_budget_deposit(&churn->budget);
	ks_ejection_dispatch(&churn->group[i], churn->now_us);
	ks_ejection_failure(&churn->group[i], churn->now_us, &churn->rng);
	ks_retry_allowed(&churn->budget, &failure, true, 1, KS_USEC_PER_SEC);
	ks_ejection_cap(churn->pointers, churn->n, churn->now_us, churn->out);
}

static void measure_churn(void)
{
	static const size_t sizes[] = { 8, 16, 32, 64, 128 };
	struct slope slope = { .name = "failure, retry and cap of ejections",
			       .size_unit = "upstreams",
			       .cost_unit = "ns" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct churn churn = { .n = sizes[i] };

		churn.group = g_new0(ks_ejection_t, churn.n);
		churn.pointers = g_new0(const ks_ejection_t *, churn.n);
		churn.out = g_new0(bool, churn.n);
		ks_rng_init(&churn.rng, 1);
		ks_retry_budget_init(&churn.budget, 0.1, 10);
		for (size_t j = 0; j < churn.n; j++) {
			ks_ejection_init(&churn.group[j]);
			churn.pointers[j] = &churn.group[j];
		}
		add_point(&slope, (double)churn.n, time_of(churn_once, &churn));
		ks_rng_deinit(&churn.rng);
		g_free(churn.group);
		g_free(churn.pointers);
		g_free(churn.out);
	}
	print_slope(&slope);
}

struct planning {
	ks_planner_t *planner;
	ks_plan_engine_t *engines;
	size_t n;
	int64_t now_us;
};

static void plan_once(void *ctx)
{
	struct planning *p = ctx;
	ks_plan_change_t change;

	ks_planner_observe(p->planner, 1, 1, p->now_us);
	ks_planner_decide(p->planner, p->engines, p->n, p->now_us, true,
			  p->now_us, &change);
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
		struct planning p = { .n = sizes[i] };

		p.planner = ks_planner_new(&options);
		p.engines = g_new0(ks_plan_engine_t, p.n);
		for (size_t j = 0; j < p.n; j++)
			p.engines[j] = (ks_plan_engine_t){
				.id = KS_STR("engine"),
				.domain = KS_STR("domain"),
				.role = (ks_engine_role_t)(j % 3),
				.ready = true,
			};
		for (; p.now_us < 20 * KS_USEC_PER_SEC;
		     p.now_us += KS_USEC_PER_SEC)
			ks_planner_observe(p.planner, 1, 1, p.now_us);
		add_point(&slope, (double)p.n, time_of(plan_once, &p));
		ks_planner_free(p.planner);
		g_free(p.engines);
	}
	print_slope(&slope);
}

/* Packed size of a heartbeat with every field of a busy engine set. */
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
	measure_balance();
	measure_churn();
	measure_planner();
	return 0;
}
