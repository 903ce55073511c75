/*
 * Scaling measurements for capacity planning: cost of a configuration snapshot
 * by number of upstreams, and cost of an idempotency claim by the number of
 * claims inserted in one store transaction.
 */
#include "links.h"

#include <inttypes.h>
#include <stdio.h>

#define POLL_INTERVAL_US (10 * KS_USEC_PER_MSEC)
#define N_DOMAINS 19

static const unsigned batch_sizes[] = { 1, 8, 16, 32, 64 };
static const unsigned snapshot_sizes[] = { 175, 350, 700, 1400, 2800 };

/* Configuration: size and parse time of a snapshot. */

static ks_snapshot_t *build_snapshot(unsigned n)
{
	GString *yaml = g_string_new(
		"base: 0\nnote: fleet\nmodels:\n  add:\n"
		"    - {name: fitting, version: v1, adapters: [straps]}\n"
		"upstreams:\n  add:\n");
	ks_snapshot_t *empty = ks_snapshot_new_empty(), *snapshot = NULL;
	ks_release_t *release;

	for (unsigned i = 0; i < n; i++)
		g_string_append_printf(
			yaml,
			"    - {id: engine-%05u, process: '10.1.%u.%u:7000', "
			"endpoint: '10.1.%u.%u:8000', host: host-%05u, "
			"domain: domain-%u, model: fitting, limit: 32, "
			"checks_fencing: true, resumes: true}\n",
			i, i / 250, i % 250, i / 250, i % 250, i,
			i % N_DOMAINS);
	release = ks_release_parse((ks_str_t){ yaml->str, yaml->len }, "bench",
				   NULL);
	if (release)
		snapshot = ks_release_apply(release, empty, NULL);
	ks_release_free(release);
	ks_snapshot_unref(empty);
	g_string_free(yaml, TRUE);
	return snapshot;
}

/**
 * links_measure_snapshots() - measure size and parse time of snapshots
 *
 * Return: false if a snapshot could not be built.
 */
bool links_measure_snapshots(void)
{
	enum {
		REPEATS = 20
	};
	stats_fit_t size = { .n = 0 }, cpu = { .n = 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(snapshot_sizes); i++) {
		ks_snapshot_t *snapshot = build_snapshot(snapshot_sizes[i]);
		double before = stats_own_cpu_s();

		if (!snapshot)
			return false;
		for (int r = 0; r < REPEATS; r++)
			ks_snapshot_unref(ks_snapshot_parse(
				(ks_str_t){ snapshot->body,
					    snapshot->body_len },
				NULL));
		stats_fit_add(&cpu, snapshot_sizes[i],
			      1e6 * (stats_own_cpu_s() - before) / REPEATS);
		stats_fit_add(&size, snapshot_sizes[i],
			      (double)snapshot->body_len);
		ks_snapshot_unref(snapshot);
	}
	stats_fit_print(&size, "size of a snapshot", "bytes per upstream");
	stats_fit_print(&cpu, "CPU time to parse a snapshot",
			"us per upstream");
	return true;
}

/*
 * Claims: rows that the entry inserts before it runs a request with an
 * idempotency key. The ledger of the entry batches them into transactions.
 */

/*
 * @size: claims per batch
 * @in_flight: batches sent but not answered
 * @done: claims inserted
 * @failed: batches not inserted
 * @end_us: no batch is sent after this time
 */
struct claims {
	ks_loop_t loop;
	ks_http_client_t client;
	ks_store_http_t store;
	unsigned size;
	unsigned in_flight;
	unsigned done;
	unsigned failed;
	uint64_t next_key;
	int64_t end_us;
};

static void insert_batch(struct claims *claims);

static void finish_batch(struct claims *claims, ks_store_outcome_t outcome)
{
	claims->in_flight--;
	if (outcome == KS_STORE_DONE)
		claims->done += claims->size;
	else
		claims->failed++;
	if (ks_loop_now(&claims->loop) < claims->end_us)
		insert_batch(claims);
}

static void on_rows(void *ctx, ks_store_outcome_t outcome,
		    const ks_row_t *rows G_GNUC_UNUSED,
		    size_t n_rows G_GNUC_UNUSED, int failed G_GNUC_UNUSED)
{
	finish_batch(ctx, outcome);
}

static void on_row(void *ctx, ks_store_outcome_t outcome,
		   const ks_row_t *row G_GNUC_UNUSED)
{
	finish_batch(ctx, outcome);
}

static void insert_batch(struct claims *claims)
{
	ks_store_t *store = &claims->store.store;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	char *value = g_strnfill(200, 'c');
	ks_store_write_t *writes = g_new0(ks_store_write_t, claims->size);

	for (unsigned i = 0; i < claims->size; i++) {
		char *key = g_strdup_printf("claim/1/bench/%" PRIu64,
					    claims->next_key++);

		g_ptr_array_add(keys, key);
		writes[i].key = ks_str_from(key);
		writes[i].value = ks_str_from(value);
	}
	claims->in_flight++;
	if (claims->size == 1)
		store->write(store->impl, writes, on_row, claims);
	else
		store->transact(store->impl, writes, claims->size, on_rows,
				claims);
	g_ptr_array_free(keys, TRUE);
	g_free(writes);
	g_free(value);
}

/**
 * links_measure_claims() - measure the rate of claim insertions
 * @platform: address of the store
 * @token: access token of the store
 *
 * Return: false if any batch was not inserted.
 */
bool links_measure_claims(const ks_address_t *platform, const char *token)
{
	enum {
		CONCURRENCY = 4,
		DURATION_S = 2
	};
	stats_fit_t fit = { .n = 0 };
	struct claims claims = { .next_key = 0 };

	ks_loop_init(&claims.loop, ks_clock_monotonic());
	ks_http_client_init(&claims.client, &claims.loop);
	ks_store_http_init(&claims.store, &claims.client, platform, token);
	for (size_t i = 0; i < G_N_ELEMENTS(batch_sizes); i++) {
		int64_t start = ks_loop_now(&claims.loop);
		double seconds;

		claims.size = batch_sizes[i];
		claims.done = 0;
		claims.end_us = start + DURATION_S * KS_USEC_PER_SEC;
		for (unsigned n = 0; n < CONCURRENCY; n++)
			insert_batch(&claims);
		while (claims.in_flight > 0)
			ks_loop_run_once(&claims.loop, POLL_INTERVAL_US);
		seconds = (double)(ks_loop_now(&claims.loop) - start) / 1e6;
		printf("claims in batches of %u: %.0f per second\n",
		       claims.size, claims.done / seconds);
		if (claims.done > 0)
			stats_fit_add(&fit, claims.size,
				      1e6 * seconds * claims.size /
					      claims.done);
	}
	stats_fit_print(&fit, "time between transactions by batch size",
			"us per claim");
	if (claims.failed > 0)
		printf("%u batches failed\n", claims.failed);
	ks_store_http_deinit(&claims.store);
	ks_http_client_deinit(&claims.client);
	ks_loop_deinit(&claims.loop);
	return claims.failed == 0;
}
