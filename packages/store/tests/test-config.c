/* Tests of following releases: polls, peers and faults of the store. */
#include "ks/store.h"
#include "memory_store.h"

#include <string.h>

#define POLL_US (5 * KS_USEC_PER_SEC)
#define STEP_US (50 * KS_USEC_PER_MSEC)

static ks_test_clock_t test_clock;
static ks_loop_t loop;

struct fixture {
	memory_store_t memory;
	ks_rng_t rng;
	ks_config_t *config;
	unsigned n_applied;
	uint64_t applied_version;
	bool free_in_callback;
};

static void on_applied(void *ctx, ks_snapshot_t *snapshot)
{
	struct fixture *fixture = ctx;

	g_assert_cmpuint(snapshot->version, >, fixture->applied_version);
	fixture->applied_version = snapshot->version;
	fixture->n_applied++;
	if (!fixture->free_in_callback)
		return;
	ks_config_free(fixture->config);
	fixture->config = NULL;
}

static void setup(struct fixture *fixture)
{
	*fixture = (struct fixture){ 0 };
	memory_store_init(&fixture->memory, &test_clock.clock);
	ks_rng_init(&fixture->rng, 11);
	fixture->config =
		ks_config_new(&loop, &fixture->memory.store, &fixture->rng,
			      POLL_US, on_applied, fixture);
}

static void teardown(struct fixture *fixture)
{
	ks_config_free(fixture->config);
	memory_store_run(&fixture->memory);
	memory_store_deinit(&fixture->memory);
	ks_rng_deinit(&fixture->rng);
}

static void advance_time(struct fixture *fixture, int64_t delta_us)
{
	for (int64_t t = 0; t < delta_us; t += STEP_US) {
		ks_test_clock_advance(&test_clock, STEP_US);
		ks_loop_run_once(&loop, 0);
		memory_store_run(&fixture->memory);
	}
}

/* Return: a snapshot of version @version with @version services. */
static ks_snapshot_t *make_snapshot(uint64_t version)
{
	ks_snapshot_t *snapshot = ks_snapshot_new_empty();

	for (unsigned i = 0; i < version; i++) {
		char *yaml = g_strdup_printf(
			"base: %u\nupstreams: {add: [{id: s%u, process: "
			"'127.0.0.1:%u', endpoint: '127.0.0.1:1', host: h, "
			"domain: d, service: s, limit: 1}]}\n",
			i, i, 1000 + i);
		ks_release_t *release =
			ks_release_parse(ks_str_from(yaml), "n", NULL);
		ks_snapshot_t *next = ks_release_apply(release, snapshot, NULL);

		g_assert_nonnull(next);
		ks_snapshot_unref(snapshot);
		ks_release_free(release);
		g_free(yaml);
		snapshot = next;
	}
	return snapshot;
}

static void put_row(struct fixture *fixture, const char *key, const char *value)
{
	ks_store_write_t write = { .key = ks_str_from(key),
				   .value = ks_str_from(value),
				   .unconditional = true };

	fake_tables_transact(&fixture->memory.tables, &write, 1);
}

static void put_head(struct fixture *fixture, const ks_snapshot_t *snapshot)
{
	ks_release_record_t record = { .version = snapshot->version,
				       .digest = snapshot->digest };
	char *value = ks_release_record_format(&record);

	put_row(fixture, KS_RELEASE_HEAD_KEY, value);
	g_free(value);
}

static void put_object(struct fixture *fixture, const ks_snapshot_t *snapshot,
		       ks_str_t body)
{
	char *name =
		ks_release_object_name(snapshot->version, &snapshot->digest);

	fake_tables_put_object(&fixture->memory.tables, ks_str_from(name),
			       body);
	g_free(name);
}

static void publish(struct fixture *fixture, uint64_t version)
{
	ks_snapshot_t *snapshot = make_snapshot(version);

	put_object(fixture, snapshot,
		   (ks_str_t){ snapshot->body, snapshot->body_len });
	put_head(fixture, snapshot);
	ks_snapshot_unref(snapshot);
}

static void offer_snapshot(struct fixture *fixture, uint64_t version)
{
	ks_snapshot_t *snapshot = make_snapshot(version);

	ks_config_offer(fixture->config, version,
			(ks_str_t){ (const char *)snapshot->digest.bytes,
				    KS_DIGEST_SIZE },
			(ks_str_t){ snapshot->body, snapshot->body_len });
	ks_snapshot_unref(snapshot);
}

/* Guards against a published version that polls do not put in force. */
static void test_config_follows_newest_version(void)
{
	struct fixture fixture;

	setup(&fixture);
	advance_time(&fixture, STEP_US);
	g_assert_null(ks_config_current(fixture.config));
	publish(&fixture, 1);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 1);
	publish(&fixture, 2);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 2);
	g_assert_cmpuint(fixture.n_applied, ==, 2);
	teardown(&fixture);
}

/*
 * Guards against a stale read or an outdated peer that decreases the version.
 */
static void test_config_version_never_decreases(void)
{
	struct fixture fixture;

	setup(&fixture);
	publish(&fixture, 1);
	publish(&fixture, 3);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 3);
	fixture.memory.stale_reads = true;
	advance_time(&fixture, 3 * POLL_US);
	offer_snapshot(&fixture, 2);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 3);
	g_assert_cmpuint(fixture.n_applied, ==, 1);
	teardown(&fixture);
}

/* Guards against waiting for the next regular poll when a peer is ahead. */
static void test_config_polls_at_once_when_a_peer_is_ahead(void)
{
	struct fixture fixture;

	setup(&fixture);
	advance_time(&fixture, STEP_US);
	publish(&fixture, 1);
	ks_config_observe_version(fixture.config, 1);
	advance_time(&fixture, 2 * STEP_US);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 1);
	teardown(&fixture);
}

/* Guards against polls for each heartbeat that repeats the same version. */
static void test_config_repeated_version_does_not_poll(void)
{
	struct fixture fixture;
	unsigned n_reads;

	setup(&fixture);
	ks_config_observe_version(fixture.config, 9);
	advance_time(&fixture, STEP_US);
	n_reads = fixture.memory.n_reads;
	for (int i = 0; i < 50; i++) {
		ks_config_observe_version(fixture.config, 9);
		ks_loop_run_once(&loop, 0);
		memory_store_run(&fixture.memory);
	}
	g_assert_cmpuint(fixture.memory.n_reads, ==, n_reads);
	teardown(&fixture);
}

/* Guards against a process that needs the store to get a version of a peer. */
static void test_config_applies_offers_during_store_outage(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.memory.down = true;
	advance_time(&fixture, POLL_US);
	offer_snapshot(&fixture, 4);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 4);
	teardown(&fixture);
}

/*
 * Guards against stopping polls, or polling too often, during a store outage.
 */
static void test_config_backs_off_and_recovers(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.memory.down = true;
	advance_time(&fixture, 60 * KS_USEC_PER_SEC);
	g_assert_cmpuint(fixture.memory.n_reads, >=, 10);
	g_assert_cmpuint(fixture.memory.n_reads, <=, 60);
	fixture.memory.down = false;
	publish(&fixture, 1);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 1);
	teardown(&fixture);
}

/* Guards against a damaged object or row that is applied or stops the polls. */
static void test_config_refuses_damaged_objects(void)
{
	struct fixture fixture;
	ks_snapshot_t *snapshot = make_snapshot(1);

	setup(&fixture);
	put_object(&fixture, snapshot, KS_STR("{\"format\":1}"));
	put_head(&fixture, snapshot);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_null(ks_config_current(fixture.config));
	put_row(&fixture, KS_RELEASE_HEAD_KEY, "no record");
	advance_time(&fixture, 2 * POLL_US);
	publish(&fixture, 1);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_cmpuint(ks_config_version(fixture.config), ==, 1);
	ks_snapshot_unref(snapshot);
	teardown(&fixture);
}

/*
 * Guards against a use after free if the owner frees the object in a callback.
 */
static void test_config_may_be_freed_in_callback(void)
{
	struct fixture fixture;

	setup(&fixture);
	fixture.free_in_callback = true;
	publish(&fixture, 1);
	advance_time(&fixture, 2 * POLL_US);
	g_assert_null(fixture.config);
	g_assert_cmpuint(fixture.n_applied, ==, 1);
	teardown(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ks_test_clock_init(&test_clock, KS_USEC_PER_SEC);
	ks_loop_init(&loop, &test_clock.clock);
	g_test_add_func("/config/follows-newest-version",
			test_config_follows_newest_version);
	g_test_add_func("/config/version-never-decreases",
			test_config_version_never_decreases);
	g_test_add_func("/config/polls-at-once-when-a-peer-is-ahead",
			test_config_polls_at_once_when_a_peer_is_ahead);
	g_test_add_func("/config/repeated-version-does-not-poll",
			test_config_repeated_version_does_not_poll);
	g_test_add_func("/config/applies-offers-during-store-outage",
			test_config_applies_offers_during_store_outage);
	g_test_add_func("/config/backs-off-and-recovers",
			test_config_backs_off_and_recovers);
	g_test_add_func("/config/refuses-damaged-objects",
			test_config_refuses_damaged_objects);
	g_test_add_func("/config/may-be-freed-in-callback",
			test_config_may_be_freed_in_callback);
	return g_test_run();
}
