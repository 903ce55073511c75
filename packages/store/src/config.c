/*
 * Keeps the snapshot in force in this process up to date. Newer snapshots come
 * from polls of the store and from peers; the version never decreases.
 */
#include "ks/store.h"

#define POLL_JITTER 0.2
/*
 * The first retry after a failed poll comes well before the next regular poll.
 */
#define RETRY_BASE_DIVISOR 10

/**
 * struct ks_config - follows the newest release
 * @poll_us: interval of regular polls in microseconds
 * @head: row release/head as last read
 * @op_pending: a store operation will call back, so the memory must stay valid
 * @poll_again: a peer announced a higher version during a poll
 * @closed: freed by the owner; the pending callback frees the memory
 */
struct ks_config {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_rng_t *rng;
	int64_t poll_us;
	ks_config_func_t func;
	void *ctx;
	ks_snapshot_tracker_t tracker;
	ks_timer_t timer;
	ks_backoff_t backoff;
	ks_release_record_t head;
	bool op_pending;
	bool poll_again;
	bool closed;
};

static void destroy(ks_config_t *config)
{
	ks_timer_clear(&config->timer);
	ks_snapshot_tracker_deinit(&config->tracker);
	ks_release_record_deinit(&config->head);
	g_free(config);
}

/*
 * Return: false if the owner has freed @config, whose memory is then released.
 */
static bool is_open(ks_config_t *config)
{
	if (!config->closed)
		return true;
	destroy(config);
	return false;
}

static void end_poll(ks_config_t *config, bool ok)
{
	int64_t delay;

	config->op_pending = false;
	if (ok) {
		ks_backoff_reset(&config->backoff);
		delay = ks_rng_jitter(config->rng, config->poll_us,
				      POLL_JITTER);
	} else {
		delay = ks_backoff_next(&config->backoff, config->rng);
	}
	if (config->poll_again && ok)
		delay = 0;
	config->poll_again = false;
	ks_timer_set(&config->timer, delay);
}

static ks_snapshot_offer_result_t decompress_and_offer(ks_config_t *config,
						       uint64_t version,
						       ks_str_t digest,
						       ks_str_t compressed)
{
	ks_snapshot_offer_result_t result;
	ks_str_t body;
	GBytes *bytes;

	if (version <= ks_config_version(config))
		return KS_SNAPSHOT_NOT_NEWER;
	bytes = ks_snapshot_decompress(compressed);
	if (!bytes)
		return KS_SNAPSHOT_DAMAGED;
	body.data = g_bytes_get_data(bytes, &body.len);
	result = ks_snapshot_tracker_offer(&config->tracker, version, digest,
					   body);
	g_bytes_unref(bytes);
	return result;
}

/* @config may be closed on return, as the owner may free it in its callback. */
static void offer_snapshot(ks_config_t *config, uint64_t version,
			   ks_str_t digest, ks_str_t compressed,
			   const char *source)
{
	switch (decompress_and_offer(config, version, digest, compressed)) {
	case KS_SNAPSHOT_APPLIED:
		ks_log(KS_LOG_CONFIG, KS_LOG_INFO,
		       "version %" G_GUINT64_FORMAT " from %s is in force",
		       version, source);
		config->func(config->ctx, config->tracker.current);
		break;
	case KS_SNAPSHOT_DAMAGED:
		ks_log(KS_LOG_CONFIG, KS_LOG_WARN,
		       "version %" G_GUINT64_FORMAT
		       " from %s is invalid and was not applied",
		       version, source);
		break;
	case KS_SNAPSHOT_NOT_NEWER:
		break;
	}
}

static void on_object(void *ctx, ks_store_outcome_t outcome,
		      const ks_row_t *row)
{
	ks_config_t *config = ctx;
	char digest[KS_DIGEST_HEX_SIZE];
	uint64_t version = config->head.version;

	if (!is_open(config))
		return;
	if (outcome == KS_STORE_DONE)
		offer_snapshot(config, version,
			       ks_str_from(ks_digest_format(
				       &config->head.digest, digest)),
			       row->value, "the store");
	if (is_open(config))
		end_poll(config, ks_config_version(config) >= version);
}

static void fetch_object(ks_config_t *config)
{
	char *name = ks_release_object_name(config->head.version,
					    &config->head.digest);

	config->store->object_get(config->store->impl, ks_str_from(name),
				  on_object, config);
	g_free(name);
}

static void on_head(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_config_t *config = ctx;

	if (!is_open(config))
		return;
	if (outcome != KS_STORE_DONE) {
		end_poll(config, false);
		return;
	}
	if (!row->etag.len) {
		end_poll(config, true);
		return;
	}
	ks_release_record_deinit(&config->head);
	if (!ks_release_record_parse(&config->head, row->value)) {
		ks_log(KS_LOG_CONFIG, KS_LOG_WARN, "row %s is invalid",
		       KS_RELEASE_HEAD_KEY);
		end_poll(config, false);
		return;
	}
	if (ks_snapshot_tracker_observe_version(&config->tracker,
						config->head.version))
		fetch_object(config);
	else
		end_poll(config, true);
}

static void poll_head(void *ctx)
{
	ks_config_t *config = ctx;

	config->op_pending = true;
	config->store->get(config->store->impl, KS_STR(KS_RELEASE_HEAD_KEY),
			   on_head, config);
}

/**
 * ks_config_new() - start to follow the newest release
 * @poll_us: interval of polls in microseconds, to which jitter is added
 * @func: called when a higher version comes into force
 *
 * Return: to be freed with ks_config_free().
 */
ks_config_t *ks_config_new(ks_loop_t *loop, ks_store_t *store, ks_rng_t *rng,
			   int64_t poll_us, ks_config_func_t func, void *ctx)
{
	ks_config_t *config = g_new0(ks_config_t, 1);

	config->loop = loop;
	config->store = store;
	config->rng = rng;
	config->poll_us = poll_us;
	config->func = func;
	config->ctx = ctx;
	ks_snapshot_tracker_init(&config->tracker);
	ks_timer_init(&config->timer, loop, poll_head, config);
	ks_backoff_init(&config->backoff, MAX(poll_us / RETRY_BASE_DIVISOR, 1),
			poll_us);
	ks_timer_set(&config->timer, 0);
	return config;
}

/**
 * ks_config_free() - stop following releases; no callback comes afterwards
 */
void ks_config_free(ks_config_t *config)
{
	if (!config)
		return;
	if (!config->op_pending) {
		destroy(config);
		return;
	}
	config->closed = true;
	ks_timer_clear(&config->timer);
}

/**
 * ks_config_current() - get the snapshot in force
 *
 * Return: the snapshot, or NULL before the first one. It is valid until the
 * next one comes into force, unless a reference is taken.
 */
ks_snapshot_t *ks_config_current(const ks_config_t *config)
{
	return config->tracker.current;
}

/**
 * ks_config_version() - get the version in force
 *
 * Return: the version, or 0 if no snapshot is in force.
 */
uint64_t ks_config_version(const ks_config_t *config)
{
	return ks_snapshot_tracker_version(&config->tracker);
}

/**
 * ks_config_observe_version() - report a version that a peer has in force
 *
 * The store is polled immediately if the version is above all those reported or
 * read before.
 */
void ks_config_observe_version(ks_config_t *config, uint64_t version)
{
	bool first_seen = version > config->tracker.highest_seen;

	if (!ks_snapshot_tracker_observe_version(&config->tracker, version) ||
	    !first_seen)
		return;
	if (config->op_pending)
		config->poll_again = true;
	else
		ks_timer_set(&config->timer, 0);
}

/**
 * ks_config_offer() - process a snapshot received from a peer
 * @digest: KS_DIGEST_SIZE bytes in binary or hexadecimal form
 * @body: canonical JSON, compressed or not
 */
void ks_config_offer(ks_config_t *config, uint64_t version, ks_str_t digest,
		     ks_str_t body)
{
	offer_snapshot(config, version, digest, body, "a peer");
}
