/*
 * Tests of the planner with real leases and an in-memory store. They guard
 * against a plan that is stored although its writer has lost the lease and does
 * not know it yet.
 */
#include "ks/control.h"

#include "../../../tests/fakes/memory_store.h"

#include <string.h>

#define SEC KS_USEC_PER_SEC
#define DWELL (32 * SEC)
#define LEASE (1000 * SEC)
#define N_ENGINES 4
#define MODEL "m:1"
#define PLAN_KEY "plan/m%3A1"

struct fixture {
	ks_loop_t loop;
	ks_test_clock_t clock;
	ks_rng_t rng;
	memory_store_t memory;
	ks_planner_run_t *run;
};

static void setup(struct fixture *f)
{
	static const ks_planner_run_options_t options = {
		.planner = { 0.1, 5 * SEC, DWELL, 5 * SEC },
		.tick_us = SEC,
		.lease_us = LEASE,
	};
	ks_id_t id = { { 1 } };

	memset(f, 0, sizeof(*f));
	ks_test_clock_init(&f->clock, 1000 * SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	ks_rng_init(&f->rng, 1);
	memory_store_init(&f->memory, &f->clock.clock);
	f->run = ks_planner_run_new(&f->loop, &f->memory.store, &f->clock.clock,
				    &f->rng, &id, &options);
}

static void teardown(struct fixture *f)
{
	ks_planner_run_free(f->run);
	memory_store_run(&f->memory);
	memory_store_deinit(&f->memory);
	ks_rng_deinit(&f->rng);
	ks_loop_deinit(&f->loop);
}

/* Runs one second with more decode demand than two decode engines can serve. */
static void run_second(struct fixture *f)
{
	static const char *const names[N_ENGINES] = { "e0", "e1", "e2", "e3" };
	ks_plan_engine_t engines[N_ENGINES] = { 0 };

	for (int i = 0; i < N_ENGINES; i++) {
		engines[i].id = ks_str_from(names[i]);
		engines[i].domain = ks_str_from(names[i]);
		engines[i].role = i < 2 ? KS_ROLE_PREFILL : KS_ROLE_DECODE;
		engines[i].ready = true;
	}
	ks_planner_run_add_demand(f->run, MODEL, 0.2 * SEC, 4.0 * SEC);
	ks_planner_run_set_engines(f->run, MODEL, engines, N_ENGINES, 1);
	ks_test_clock_advance(&f->clock, SEC);
	ks_loop_run_once(&f->loop, 0);
	memory_store_run(&f->memory);
	ks_loop_run_once(&f->loop, 0);
	memory_store_run(&f->memory);
}

static void run_for(struct fixture *f, int seconds)
{
	for (int i = 0; i < seconds; i++)
		run_second(f);
}

static void keep_value(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row)
{
	char **value = ctx;

	g_assert_cmpint(outcome, ==, KS_STORE_DONE);
	*value = row && row->etag.len ? ks_str_dup(row->value) : NULL;
}

static char *read_row(struct fixture *f, const char *key)
{
	char *value = NULL;

	f->memory.store.get(f->memory.store.impl, ks_str_from(key), keep_value,
			    &value);
	memory_store_run(&f->memory);
	return value;
}

static void ignore_row(void *ctx G_GNUC_UNUSED, ks_store_outcome_t outcome,
		       const ks_row_t *row G_GNUC_UNUSED)
{
	g_assert_cmpint(outcome, ==, KS_STORE_DONE);
}

static void write_row(struct fixture *f, const char *key, const char *value)
{
	ks_store_write_t write = {
		.key = ks_str_from(key),
		.value = ks_str_from(value),
		.unconditional = true,
	};

	f->memory.store.write(f->memory.store.impl, &write, ignore_row, NULL);
	memory_store_run(&f->memory);
}

/* Checks that the scenario of the next test leads to a plan at all. */
static void test_holder_writes(void)
{
	struct fixture f;
	char *plan;

	setup(&f);
	run_for(&f, 80);
	g_assert_true(ks_planner_run_is_holder(f.run));
	plan = read_row(&f, PLAN_KEY);
	g_assert_nonnull(plan);
	g_assert_nonnull(strstr(plan, "\"number\":1"));
	g_assert_cmpuint(ks_planner_run_report(f.run).changes, >=, 1);
	g_free(plan);
	teardown(&f);
}

/*
 * An entry that was paused still holds the lease by its own count, but another
 * entry has acquired it and has written a plan, which must not be overwritten.
 */
static void test_lost_lease(void)
{
	static const char other_plan[] =
		"{\"fence\":9,\"number\":5,\"roles\":{\"e0\":\"prefill\"}}";
	struct fixture f;
	char *plan;

	setup(&f);
	run_for(&f, 20);
	g_assert_true(ks_planner_run_is_holder(f.run));
	write_row(&f, "lease/planner",
		  "{\"holder\":\"02000000000000000000000000000000\","
		  "\"fence\":9,\"lifetime_us\":1000000000}");
	write_row(&f, PLAN_KEY, other_plan);
	run_for(&f, 60);
	plan = read_row(&f, PLAN_KEY);
	g_assert_cmpstr(plan, ==, other_plan);
	g_assert_cmpuint(ks_planner_run_report(f.run).changes, ==, 0);
	/* It tried to write, and the store refused. */
	g_assert_true(ks_planner_run_is_holder(f.run));
	g_assert_cmpuint(f.memory.n_writes, >, 3);
	g_free(plan);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/planner-lease/holder-writes", test_holder_writes);
	g_test_add_func("/planner-lease/lost-lease", test_lost_lease);
	return g_test_run();
}
