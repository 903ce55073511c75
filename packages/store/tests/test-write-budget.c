/* Tests of the rate limit for store writes. */
#include "ks/store.h"
#include "memory_store.h"

static ks_test_clock_t test_clock;
static ks_loop_t loop;

struct fixture {
	memory_store_t memory;
	ks_write_budget_t *budget;
	ks_rng_t rng;
	GString *written_keys;
	ks_store_outcome_t last_outcome;
	unsigned n_results;
	bool free_in_callback;
};

static void setup(struct fixture *fixture, double per_s, unsigned burst)
{
	*fixture = (struct fixture){ 0 };
	memory_store_init(&fixture->memory, &test_clock.clock);
	ks_rng_init(&fixture->rng, 3);
	fixture->written_keys = g_string_new(NULL);
	fixture->budget = ks_write_budget_new(&loop, &fixture->memory.store,
					      &fixture->rng, per_s, burst);
}

static void teardown(struct fixture *fixture)
{
	ks_write_budget_free(fixture->budget);
	memory_store_deinit(&fixture->memory);
	ks_rng_deinit(&fixture->rng);
	g_string_free(fixture->written_keys, TRUE);
}

static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row)
{
	struct fixture *fixture = ctx;

	fixture->last_outcome = outcome;
	fixture->n_results++;
	if (row)
		g_string_append_len(fixture->written_keys, row->key.data, 1);
	if (!fixture->free_in_callback)
		return;
	fixture->free_in_callback = false;
	ks_write_budget_free(fixture->budget);
	fixture->budget = NULL;
}

static void put(struct fixture *fixture, ks_write_priority_t priority,
		const char *key)
{
	ks_store_t *store = ks_write_budget_store(fixture->budget, priority);
	ks_store_write_t write = { .key = ks_str_from(key),
				   .value = KS_STR("v"),
				   .unconditional = true };

	store->write(store->impl, &write, on_written, fixture);
}

static void advance_time(struct fixture *fixture, int64_t delta_us)
{
	int64_t step = 10 * KS_USEC_PER_MSEC;

	for (int64_t t = 0; t < delta_us; t += step) {
		ks_test_clock_advance(&test_clock, step);
		ks_loop_run_once(&loop, 0);
		memory_store_run(&fixture->memory);
		ks_loop_run_once(&loop, 0);
	}
}

/* Guards against a lease or another write that delays a write of the ledger. */
static void test_budget_sends_ledger_first(void)
{
	struct fixture fixture;

	setup(&fixture, 10, 1);
	put(&fixture, KS_WRITE_OTHER, "r");
	put(&fixture, KS_WRITE_LEASE, "l");
	put(&fixture, KS_WRITE_LEDGER, "c");
	advance_time(&fixture, KS_USEC_PER_SEC);
	g_assert_cmpstr(fixture.written_keys->str, ==, "clr");
	teardown(&fixture);
}

/* Guards against exceeding the configured rate. */
static void test_budget_limits_rate(void)
{
	struct fixture fixture;

	setup(&fixture, 10, 2);
	for (int i = 0; i < 30; i++)
		put(&fixture, KS_WRITE_LEASE, "l");
	advance_time(&fixture, KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.memory.n_writes, >=, 10);
	g_assert_cmpuint(fixture.memory.n_writes, <=, 13);
	advance_time(&fixture, 2 * KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.n_results, ==, 30);
	teardown(&fixture);
}

/* Guards against sending writes at the full rate during a store outage. */
static void test_budget_backs_off(void)
{
	struct fixture fixture;

	setup(&fixture, 1000, 100);
	fixture.memory.down = true;
	for (int i = 0; i < 50; i++)
		put(&fixture, KS_WRITE_OTHER, "r");
	advance_time(&fixture, 20 * KS_USEC_PER_MSEC);
	g_assert_cmpuint(fixture.memory.n_writes, ==, 50);
	for (int i = 0; i < 50; i++)
		put(&fixture, KS_WRITE_OTHER, "r");
	advance_time(&fixture, 4 * KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.memory.n_writes, <, 65);
	fixture.memory.down = false;
	advance_time(&fixture, 10 * KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.n_results, ==, 100);
	teardown(&fixture);
}

/* Guards against sending a write that has waited until it is outdated. */
static void test_budget_fails_expired_writes(void)
{
	struct fixture fixture;

	setup(&fixture, 0.001, 1);
	put(&fixture, KS_WRITE_OTHER, "a");
	put(&fixture, KS_WRITE_OTHER, "b");
	advance_time(&fixture, 6 * KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.n_results, ==, 2);
	g_assert_cmpint(fixture.last_outcome, ==, KS_STORE_UNREACHABLE);
	g_assert_cmpuint(fixture.memory.n_writes, ==, 1);
	teardown(&fixture);
}

/* Guards against unbounded memory, and against writes that never call back. */
static void test_budget_limits_queue(void)
{
	struct fixture fixture;

	setup(&fixture, 0.001, 1);
	for (int i = 0; i < 5000; i++)
		put(&fixture, KS_WRITE_OTHER, "a");
	advance_time(&fixture, 10 * KS_USEC_PER_MSEC);
	g_assert_cmpuint(fixture.n_results, >=, 900);
	g_assert_cmpuint(fixture.memory.n_writes, <=, 1);
	advance_time(&fixture, 6 * KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.n_results, ==, 5000);
	teardown(&fixture);
}

/*
 * Guards against a use after free if the owner frees the budget in a callback.
 */
static void test_budget_may_be_freed_in_callback(void)
{
	struct fixture fixture;

	setup(&fixture, 1000, 10);
	put(&fixture, KS_WRITE_OTHER, "a");
	put(&fixture, KS_WRITE_OTHER, "b");
	fixture.free_in_callback = true;
	advance_time(&fixture, 100 * KS_USEC_PER_MSEC);
	g_assert_cmpuint(fixture.n_results, ==, 2);
	g_assert_null(fixture.budget);
	teardown(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ks_test_clock_init(&test_clock, KS_USEC_PER_SEC);
	ks_loop_init(&loop, &test_clock.clock);
	g_test_add_func("/write-budget/sends-ledger-first",
			test_budget_sends_ledger_first);
	g_test_add_func("/write-budget/limits-rate", test_budget_limits_rate);
	g_test_add_func("/write-budget/backs-off", test_budget_backs_off);
	g_test_add_func("/write-budget/fails-expired-writes",
			test_budget_fails_expired_writes);
	g_test_add_func("/write-budget/limits-queue", test_budget_limits_queue);
	g_test_add_func("/write-budget/may-be-freed-in-callback",
			test_budget_may_be_freed_in_callback);
	return g_test_run();
}
