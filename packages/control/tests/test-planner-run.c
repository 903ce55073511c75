/*
 * Tests of planner_run.c with an in-memory store, a lease that the test grants
 * and revokes, and a simulated clock.
 */
#include "ks/control.h"

#include <string.h>

#define SEC KS_USEC_PER_SEC
#define DWELL (32 * SEC)
#define N_ENGINES 8

/*
 * Replacements of functions from modules that this test does not link. They are
 * weak, so that the real functions take precedence if they are linked.
 */
#define WEAK __attribute__((weak))

WEAK const char *ks_store_outcome_name(ks_store_outcome_t outcome)
{
	return outcome == KS_STORE_DONE ? "done" : "not done";
}

WEAK const char *ks_engine_role_name(ks_engine_role_t role)
{
	static const char *const names[] = { "both", "prefill", "decode" };

	return names[role];
}

WEAK bool ks_engine_role_parse(ks_engine_role_t *role, ks_str_t name)
{
	for (int i = 0; i < 3; i++)
		if (ks_str_equal(name, ks_str_from(ks_engine_role_name(
					       (ks_engine_role_t)i)))) {
			*role = (ks_engine_role_t)i;
			return true;
		}
	return false;
}

/* Fake of the lease keeper. */
struct ks_lease_keeper {
	bool held;
	ks_lease_func_t func;
	void *ctx;
};

static struct ks_lease_keeper the_keeper;

ks_lease_keeper_t *ks_lease_keeper_new(
	ks_loop_t *loop G_GNUC_UNUSED, ks_store_t *store G_GNUC_UNUSED,
	const ks_clock_t *boottime G_GNUC_UNUSED, ks_rng_t *rng G_GNUC_UNUSED,
	const char *key, const ks_id_t *holder G_GNUC_UNUSED,
	int64_t lifetime_us G_GNUC_UNUSED, ks_lease_func_t func, void *ctx)
{
	g_assert_cmpstr(key, ==, "lease/planner");
	the_keeper.func = func;
	the_keeper.ctx = ctx;
	return &the_keeper;
}

void ks_lease_keeper_free(ks_lease_keeper_t *keeper G_GNUC_UNUSED)
{
}

void ks_lease_keeper_set_wanted(ks_lease_keeper_t *keeper G_GNUC_UNUSED,
				bool wanted)
{
	g_assert_true(wanted);
}

bool ks_lease_keeper_is_held(const ks_lease_keeper_t *keeper)
{
	return keeper->held;
}

uint64_t ks_lease_keeper_fence(const ks_lease_keeper_t *keeper G_GNUC_UNUSED)
{
	return 7;
}

ks_store_write_t
ks_lease_keeper_precondition(const ks_lease_keeper_t *keeper G_GNUC_UNUSED)
{
	return (ks_store_write_t){ .key = KS_STR("lease/planner"),
				   .etag = KS_STR("lease-etag"),
				   .check_only = true };
}

/* Fake store with one row and a configurable outcome of writes. */
struct fake_store {
	ks_store_t store;
	char *value;
	unsigned etag;
	unsigned n_writes;
	ks_store_outcome_t outcome;
	bool apply;
	bool delay_response;
	ks_store_rows_func_t delayed_func;
	void *delayed_ctx;
};

static void fake_list(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
		      void *ctx)
{
	struct fake_store *fake = impl;
	char etag[16];
	ks_row_t row = { .key = KS_STR("plan/m") };

	g_assert_true(ks_str_equal(prefix, KS_STR("plan/")));
	g_snprintf(etag, sizeof(etag), "e%u", fake->etag);
	row.etag = ks_str_from(etag);
	row.value = ks_str_from(fake->value);
	func(ctx, KS_STORE_DONE, &row, fake->value ? 1 : 0, -1);
}

static void fake_transact(void *impl, const ks_store_write_t *writes,
			  size_t n_writes, ks_store_rows_func_t func, void *ctx)
{
	struct fake_store *fake = impl;
	char etag[16] = "";

	g_assert_cmpuint(n_writes, ==, 2);
	g_assert_true(writes[0].check_only);
	g_assert_true(ks_str_equal(writes[0].etag, KS_STR("lease-etag")));
	g_assert_true(ks_str_equal(writes[1].key, KS_STR("plan/m")));
	if (fake->value)
		g_snprintf(etag, sizeof(etag), "e%u", fake->etag);
	g_assert_true(ks_str_equal(writes[1].etag, ks_str_from(etag)));
	g_assert_false(writes[1].unconditional);
	fake->n_writes++;
	if (fake->apply) {
		g_free(fake->value);
		fake->value = ks_str_dup(writes[1].value);
		fake->etag++;
	}
	if (fake->delay_response) {
		fake->delayed_func = func;
		fake->delayed_ctx = ctx;
		return;
	}
	func(ctx, fake->outcome, NULL, 0, -1);
}

struct fixture {
	ks_loop_t loop;
	ks_test_clock_t clock;
	ks_rng_t rng;
	struct fake_store fake;
	ks_planner_run_t *run;
	ks_engine_role_t observed[N_ENGINES];
};

static void setup(struct fixture *f)
{
	static const ks_planner_run_options_t options = {
		.planner = { 2.0, 5 * SEC, DWELL, 5 * SEC },
		.tick_us = SEC,
		.lease_us = 10 * SEC,
	};
	ks_id_t id = { { 1 } };

	memset(f, 0, sizeof(*f));
	memset(&the_keeper, 0, sizeof(the_keeper));
	ks_test_clock_init(&f->clock, 1000 * SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	ks_rng_init(&f->rng, 1);
	f->fake.store.list = fake_list;
	f->fake.store.transact = fake_transact;
	f->fake.store.impl = &f->fake;
	f->fake.outcome = KS_STORE_DONE;
	f->fake.apply = true;
	f->run = ks_planner_run_new(&f->loop, &f->fake.store, &f->clock.clock,
				    &f->rng, &id, &options);
	for (int i = 0; i < N_ENGINES; i++)
		f->observed[i] = i < 4 ? KS_ROLE_PREFILL : KS_ROLE_DECODE;
}

static void teardown(struct fixture *f)
{
	ks_planner_run_free(f->run);
	g_free(f->fake.value);
	ks_rng_deinit(&f->rng);
	ks_loop_deinit(&f->loop);
}

static void set_lease(bool held)
{
	the_keeper.held = held;
	the_keeper.func(the_keeper.ctx, held);
}

/* Runs one second in which the entry handles half of the demand. */
static void run_second(struct fixture *f, double prefill, double decode)
{
	static const char *const names[N_ENGINES] = { "e0", "e1", "e2", "e3",
						      "e4", "e5", "e6", "e7" };
	static const char *const domains[4] = { "d0", "d1", "d2", "d3" };
	ks_plan_engine_t engines[N_ENGINES] = { 0 };

	for (int i = 0; i < N_ENGINES; i++) {
		engines[i].id = ks_str_from(names[i]);
		engines[i].domain = ks_str_from(domains[i % 4]);
		engines[i].role = f->observed[i];
		engines[i].ready = true;
	}
	ks_planner_run_add_demand(f->run, "m", prefill * SEC / 2,
				  decode * SEC / 2);
	ks_planner_run_set_engines(f->run, "m", engines, N_ENGINES, 0.5);
	ks_test_clock_advance(&f->clock, SEC);
	ks_loop_run_once(&f->loop, 0);
}

static void run_for(struct fixture *f, int seconds, double prefill,
		    double decode)
{
	for (int i = 0; i < seconds; i++)
		run_second(f, prefill, decode);
}

static const char *role_in_row(const struct fixture *f, const char *engine)
{
	char *pattern = g_strdup_printf("\"%s\":\"decode\"", engine);
	const char *role = f->fake.value && strstr(f->fake.value, pattern)
				   ? "decode"
				   : "other";

	g_free(pattern);
	return role;
}

/* Guards against a change that is not written or is written repeatedly. */
static void test_writes_one_change(void)
{
	struct fixture f;
	ks_engine_role_t role;

	setup(&f);
	set_lease(true);
	run_for(&f, 200, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, ==, 1);
	g_assert_nonnull(strstr(f.fake.value, "\"number\":1"));
	g_assert_nonnull(strstr(f.fake.value, "\"fence\":7"));
	g_assert_cmpstr(role_in_row(&f, "e0"), ==, "decode");
	g_assert_true(ks_planner_run_role(f.run, "m", KS_STR("e0"), &role));
	g_assert_cmpint(role, ==, KS_ROLE_DECODE);
	g_assert_cmpuint(ks_planner_run_report(f.run).changes, ==, 1);
	teardown(&f);
}

/* Guards against a write without the lease or right after acquiring it. */
static void test_waits_for_the_lease(void)
{
	struct fixture f;

	setup(&f);
	run_for(&f, 200, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, ==, 0);
	set_lease(true);
	/* The previous lease holder may have just made a change. */
	run_for(&f, 31, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, ==, 0);
	run_for(&f, 5, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, ==, 1);
	teardown(&f);
}

/* Guards against a second change if the response to the first was lost. */
static void test_reads_back_after_unknown(void)
{
	struct fixture f;

	setup(&f);
	set_lease(true);
	f.fake.outcome = KS_STORE_UNKNOWN;
	run_for(&f, 200, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, ==, 1);
	g_assert_cmpstr(role_in_row(&f, "e0"), ==, "decode");
	teardown(&f);
}

/* Guards against a planner that does not retry after a refused write. */
static void test_retries_when_refused(void)
{
	struct fixture f;

	setup(&f);
	set_lease(true);
	f.fake.outcome = KS_STORE_REFUSED;
	f.fake.apply = false;
	run_for(&f, 60, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, >=, 1);
	g_assert_cmpuint(ks_planner_run_report(f.run).changes, ==, 0);
	f.fake.outcome = KS_STORE_DONE;
	f.fake.apply = true;
	run_for(&f, 40, 3, 5);
	g_assert_cmpuint(ks_planner_run_report(f.run).changes, ==, 1);
	teardown(&f);
}

/* Guards against a use after free if the planners are freed during a write. */
static void test_freed_during_a_write(void)
{
	struct fixture f;

	setup(&f);
	set_lease(true);
	f.fake.delay_response = true;
	run_for(&f, 100, 3, 5);
	g_assert_cmpuint(f.fake.n_writes, ==, 1);
	ks_planner_run_free(f.run);
	f.run = NULL;
	f.fake.delayed_func(f.fake.delayed_ctx, KS_STORE_DONE, NULL, 0, -1);
	teardown(&f);
}

/* Guards against a crash on a malformed plan row. */
static void test_survives_a_malformed_row(void)
{
	struct fixture f;

	setup(&f);
	f.fake.value = g_strdup("not JSON");
	set_lease(true);
	run_for(&f, 100, 1, 1);
	g_assert_cmpuint(f.fake.n_writes, ==, 0);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/planner-run/writes-one-change",
			test_writes_one_change);
	g_test_add_func("/planner-run/waits-for-the-lease",
			test_waits_for_the_lease);
	g_test_add_func("/planner-run/reads-back-after-unknown",
			test_reads_back_after_unknown);
	g_test_add_func("/planner-run/tries-again-when-refused",
			test_retries_when_refused);
	g_test_add_func("/planner-run/freed-during-a-write",
			test_freed_during_a_write);
	g_test_add_func("/planner-run/survives-a-damaged-row",
			test_survives_a_malformed_row);
	return g_test_run();
}
