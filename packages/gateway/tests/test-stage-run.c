/*
 * Tests of the orders of several entries. Guards against orders of two entries
 * that take turns, or that reuse a fencing number, after pauses, lost answers
 * of the store, and late orders.
 */
#include "ks/gateway.h"
#include "memory_store.h"

#include <string.h>

#define ENTRIES 3
#define ENGINES 8
#define TURNS_US (3 * KS_USEC_PER_SEC)
#define STEP_US (50 * KS_USEC_PER_MSEC)
#define SWITCH_US (3 * KS_USEC_PER_SEC)
#define SEEDS 40
#define STEPS 1200

struct world;

/* An order between the decision and the engine. */
struct pending {
	ks_member_t *member;
	ks_stage_t stage;
	ks_stage_permit_func_t permit;
	ks_stage_func_t func;
	void *ctx;
	int64_t due_us;
};

struct entry {
	struct world *world;
	int index;
	ks_loop_t loop;
	ks_fleet_t fleet;
	ks_rng_t rng;
	ks_stage_driver_t driver;
	ks_stage_controller_t run;
	GArray *pending;
	int64_t paused_until_us;
};

struct engine {
	ks_stage_t stage;
	ks_stage_t next;
	int64_t switched_us;
};

struct world {
	ks_test_clock_t clock;
	memory_store_t store;
	ks_rng_t rng;
	struct entry entries[ENTRIES];
	struct engine engines[ENGINES];
	bool faults;
	int last_holder;
	uint64_t last_fence;
	int64_t last_us;
	unsigned orders;
	unsigned holders;
};

static bool chance(struct world *w, unsigned one_in)
{
	return ks_rng_below(&w->rng, one_in) == 0;
}

static memory_fault_t draw_fault(void *ctx, bool is_write G_GNUC_UNUSED,
				 ks_str_t key G_GNUC_UNUSED)
{
	struct world *w = ctx;

	if (!w->faults || !chance(w, 8))
		return MEMORY_FAULT_NONE;
	return (memory_fault_t)(1 + ks_rng_below(&w->rng, 4));
}

static void order(void *impl, ks_member_t *member, ks_stage_t stage,
		  ks_stage_permit_func_t permit, ks_stage_func_t func,
		  void *ctx)
{
	struct entry *entry = impl;
	struct world *w = entry->world;
	struct pending pending = {
		ks_member_ref(member), stage, permit, func, ctx,
		w->clock.time_us
	};

	if (w->faults)
		pending.due_us += ks_rng_below(&w->rng, 20) * STEP_US;
	g_array_append_val(entry->pending, pending);
}

/* What the users' bench checks of the orders that arrive. */
static void check_order(struct world *w, int holder, uint64_t fence)
{
	if (w->last_holder >= 0 && holder != w->last_holder) {
		g_assert_cmpint(w->clock.time_us - w->last_us, >=, TURNS_US);
		g_assert_cmpuint(fence, >, w->last_fence);
		w->holders++;
	}
	g_assert_cmpuint(fence, >=, w->last_fence);
	w->last_holder = holder;
	w->last_fence = fence;
	w->last_us = w->clock.time_us;
	w->orders++;
}

static void carry_out(struct entry *entry, const struct pending *pending)
{
	struct world *w = entry->world;
	uint64_t fence;
	int engine = pending->member->id[1] - '0';
	ks_stage_outcome_t outcome = KS_STAGE_ORDERED;

	if (!pending->permit(pending->ctx, &fence)) {
		pending->func(pending->ctx, pending->member,
			      KS_STAGE_NOT_ORDERED);
		return;
	}
	check_order(w, entry->index, fence);
	w->engines[engine].next = pending->stage;
	w->engines[engine].switched_us = w->clock.time_us + SWITCH_US;
	if (w->faults && chance(w, 4))
		outcome = KS_STAGE_UNKNOWN;
	pending->func(pending->ctx, pending->member, outcome);
}

static void run_pending(struct entry *entry)
{
	for (guint i = 0; i < entry->pending->len;) {
		struct pending pending =
			g_array_index(entry->pending, struct pending, i);

		if (pending.due_us > entry->world->clock.time_us) {
			i++;
			continue;
		}
		g_array_remove_index(entry->pending, i);
		carry_out(entry, &pending);
		ks_member_unref(pending.member);
	}
}

static void announce(struct entry *entry)
{
	char id[8];

	for (int i = 0; i < ENGINES; i++) {
		ks_member_spec_t spec = {
			.service = KS_STR("llm"),
			.domain = KS_STR("d"),
			.address = { "10.0.0.1", 80 },
			.stage = entry->world->engines[i].stage,
			.accepting = true
		};

		g_snprintf(id, sizeof(id), "e%d", i);
		spec.id = ks_str_from(id);
		ks_fleet_put(&entry->fleet, &spec);
	}
}

static void init_entry(struct world *w, int index)
{
	struct entry *entry = &w->entries[index];
	ks_traffic_t *traffic = ks_traffic_new(1);
	ks_service_t *service = ks_traffic_add_service(traffic, KS_STR("llm"));

	service->transfers_kv = true;
	entry->world = w;
	entry->index = index;
	entry->driver.order = order;
	entry->driver.impl = entry;
	entry->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
	ks_loop_init(&entry->loop, &w->clock.clock);
	ks_fleet_init(&entry->fleet);
	ks_rng_init(&entry->rng, ks_rng_below(&w->rng, G_MAXINT32));
	announce(entry);
	ks_stage_controller_init(&entry->run, &entry->loop, &entry->fleet,
				 &w->store.store, &entry->driver,
				 &w->clock.clock, &entry->rng, TURNS_US, 0.6);
	ks_stage_controller_set_services(&entry->run, traffic);
	ks_traffic_unref(traffic);
}

static void init_world(struct world *w, uint32_t seed, bool faults)
{
	memset(w, 0, sizeof(*w));
	w->faults = faults;
	w->last_holder = -1;
	ks_test_clock_init(&w->clock, 100 * KS_USEC_PER_SEC);
	ks_rng_init(&w->rng, seed);
	memory_store_init(&w->store, &w->clock.clock);
	w->store.delay_us = 10 * KS_USEC_PER_MSEC;
	w->store.late_us = 2 * KS_USEC_PER_SEC;
	w->store.fault = draw_fault;
	w->store.fault_ctx = w;
	for (int i = 0; i < ENGINES; i++)
		w->engines[i].stage = KS_STAGE_DECODE;
	for (int i = 0; i < ENTRIES; i++)
		init_entry(w, i);
}

static void deinit_world(struct world *w)
{
	for (int i = 0; i < ENTRIES; i++)
		ks_stage_controller_deinit(&w->entries[i].run);
	/* A lease that is freed waits for the answer to its last call. */
	ks_test_clock_advance(&w->clock, 60 * KS_USEC_PER_SEC);
	memory_store_run(&w->store);
	memory_store_deinit(&w->store);
	for (int i = 0; i < ENTRIES; i++) {
		struct entry *entry = &w->entries[i];

		for (guint j = 0; j < entry->pending->len; j++)
			ks_member_unref(
				g_array_index(entry->pending, struct pending, j)
					.member);
		g_array_free(entry->pending, TRUE);
		ks_fleet_deinit(&entry->fleet);
		ks_rng_deinit(&entry->rng);
		ks_loop_deinit(&entry->loop);
	}
	ks_rng_deinit(&w->rng);
}

static void trouble(struct world *w)
{
	struct entry *entry = &w->entries[ks_rng_below(&w->rng, ENTRIES)];

	if (chance(w, 60))
		entry->paused_until_us =
			w->clock.time_us + ks_rng_below(&w->rng, 160) * STEP_US;
	if (chance(w, 60)) {
		struct engine *engine =
			&w->engines[ks_rng_below(&w->rng, ENGINES)];

		engine->stage = engine->stage == KS_STAGE_PREFILL
					? KS_STAGE_DECODE
					: KS_STAGE_PREFILL;
		engine->next = KS_STAGE_ANY;
	}
	if (chance(w, w->store.down ? 40 : 300))
		w->store.down = !w->store.down;
}

static void step(struct world *w)
{
	ks_test_clock_advance(&w->clock, STEP_US);
	for (int i = 0; i < ENGINES; i++) {
		struct engine *engine = &w->engines[i];

		if (engine->next && engine->switched_us <= w->clock.time_us) {
			engine->stage = engine->next;
			engine->next = KS_STAGE_ANY;
		}
	}
	if (w->faults)
		trouble(w);
	memory_store_run(&w->store);
	for (int i = 0; i < ENTRIES; i++) {
		struct entry *entry = &w->entries[i];

		if (entry->paused_until_us > w->clock.time_us)
			continue;
		announce(entry);
		run_pending(entry);
		ks_loop_run_once(&entry->loop, 0);
	}
}

static int count_readers(const struct world *w)
{
	int readers = 0;

	for (int i = 0; i < ENGINES; i++)
		readers += w->engines[i].stage == KS_STAGE_PREFILL;
	return readers;
}

static void test_calm(void)
{
	struct world w;

	init_world(&w, 1, false);
	for (int i = 0; i < 800; i++)
		step(&w);
	g_assert_cmpint(count_readers(&w), ==, 5);
	g_assert_cmpuint(w.orders, ==, 5);
	deinit_world(&w);
}

/* A fleet whose stages are right holds no lease and writes nothing. */
static void test_settled(void)
{
	unsigned writes, reads;
	struct world w;

	init_world(&w, 1, false);
	for (int i = 0; i < 800; i++)
		step(&w);
	writes = w.store.n_writes;
	reads = w.store.n_reads;
	for (int i = 0; i < 800; i++)
		step(&w);
	g_assert_cmpuint(w.store.n_writes, ==, writes);
	g_assert_cmpuint(w.store.n_reads, ==, reads);
	deinit_world(&w);
}

static void test_troubles(void)
{
	unsigned orders = 0, holders = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct world w;

		init_world(&w, seed, true);
		for (int i = 0; i < STEPS; i++)
			step(&w);
		orders += w.orders;
		holders += w.holders;
		deinit_world(&w);
	}
	/* The statements above were put to the test. */
	g_test_message("orders=%u changes of holder=%u", orders, holders);
	g_assert_cmpuint(orders, >, SEEDS);
	g_assert_cmpuint(holders, >, SEEDS / 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stage-run/calm", test_calm);
	g_test_add_func("/stage-run/settled", test_settled);
	g_test_add_func("/stage-run/troubles", test_troubles);
	return g_test_run();
}
