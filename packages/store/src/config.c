/*
 * The snapshot in force in this process: polled from the store, taken from
 * peers, and never lowered.
 */
#include "ks/store.h"

#define POLL_JITTER 0.2
/* The first retry comes well before the next regular poll. */
#define RETRY_BASE_DIVISOR 10

/**
 * struct ks_config - the snapshot in force
 * @busy: a store operation is out; the memory must stay until it calls back
 * @again: a peer named a higher version while a poll was under way
 */
struct ks_config {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_rng_t *rng;
	int64_t poll_us;
	ks_config_func_t func;
	void *ctx;
	ks_spread_t spread;
	ks_timer_t timer;
	ks_backoff_t backoff;
	ks_release_record_t head;
	bool busy;
	bool again;
	bool closed;
};

static void destroy(ks_config_t *config)
{
	ks_timer_clear(&config->timer);
	ks_spread_deinit(&config->spread);
	ks_release_record_deinit(&config->head);
	g_free(config);
}

/* Return: false if the owner freed the configuration in the meantime. */
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

	config->busy = false;
	if (ok) {
		ks_backoff_reset(&config->backoff);
		delay = ks_rng_jitter(config->rng, config->poll_us,
				      POLL_JITTER);
	} else {
		delay = ks_backoff_next(&config->backoff, config->rng);
	}
	if (config->again && ok)
		delay = 0;
	config->again = false;
	ks_timer_set(&config->timer, delay);
}

static ks_spread_result_t unpack_and_offer(ks_config_t *config,
					   uint64_t version, ks_str_t digest,
					   ks_str_t packed)
{
	ks_spread_result_t result;
	ks_str_t body;
	GBytes *bytes;

	if (version <= ks_config_version(config))
		return KS_SPREAD_OLD;
	bytes = ks_snapshot_decompress(packed);
	if (!bytes)
		return KS_SPREAD_DAMAGED;
	body.data = g_bytes_get_data(bytes, &body.len);
	result = ks_spread_offer(&config->spread, version, digest, body);
	g_bytes_unref(bytes);
	return result;
}

/* The owner may free the configuration from its callback. */
static void offer(ks_config_t *config, uint64_t version, ks_str_t digest,
		  ks_str_t packed, const char *source)
{
	switch (unpack_and_offer(config, version, digest, packed)) {
	case KS_SPREAD_APPLIED:
		ks_log(KS_LOG_CONFIG, KS_LOG_INFO,
		       "version %" G_GUINT64_FORMAT " from %s is in force",
		       version, source);
		config->func(config->ctx, config->spread.current);
		break;
	case KS_SPREAD_DAMAGED:
		ks_log(KS_LOG_CONFIG, KS_LOG_WARN,
		       "version %" G_GUINT64_FORMAT
		       " from %s is damaged and was not applied",
		       version, source);
		break;
	case KS_SPREAD_OLD:
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
		offer(config, version,
		      ks_str_from(
			      ks_digest_format(&config->head.digest, digest)),
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
		ks_log(KS_LOG_CONFIG, KS_LOG_WARN, "row %s is damaged",
		       KS_RELEASE_HEAD_KEY);
		end_poll(config, false);
		return;
	}
	if (ks_spread_note_version(&config->spread, config->head.version))
		fetch_object(config);
	else
		end_poll(config, true);
}

static void poll_head(void *ctx)
{
	ks_config_t *config = ctx;

	config->busy = true;
	config->store->get(config->store->impl, KS_STR(KS_RELEASE_HEAD_KEY),
			   on_head, config);
}

/**
 * ks_config_new() - begin to follow the head of the releases
 * @poll_us: time between polls; jitter is added
 * @func: called whenever a higher version comes into force
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
	ks_spread_init(&config->spread);
	ks_timer_init(&config->timer, loop, poll_head, config);
	ks_backoff_init(&config->backoff, MAX(poll_us / RETRY_BASE_DIVISOR, 1),
			poll_us);
	ks_timer_set(&config->timer, 0);
	return config;
}

/**
 * ks_config_free() - stop; no callback comes afterwards
 */
void ks_config_free(ks_config_t *config)
{
	if (!config)
		return;
	if (!config->busy) {
		destroy(config);
		return;
	}
	config->closed = true;
	ks_timer_clear(&config->timer);
}

/**
 * ks_config_current() - the snapshot in force
 *
 * Return: NULL before the first; valid until the next one comes into force
 * unless a reference is taken.
 */
ks_snapshot_t *ks_config_current(const ks_config_t *config)
{
	return config->spread.current;
}

/**
 * ks_config_version() - the version in force, or 0 when there is none
 */
uint64_t ks_config_version(const ks_config_t *config)
{
	return ks_spread_version(&config->spread);
}

/**
 * ks_config_observe_version() - a peer has a version in force
 *
 * A version that is news here makes the next poll come at once.
 */
void ks_config_observe_version(ks_config_t *config, uint64_t version)
{
	bool is_news = version > config->spread.known;

	if (!ks_spread_note_version(&config->spread, version) || !is_news)
		return;
	if (config->busy)
		config->again = true;
	else
		ks_timer_set(&config->timer, 0);
}

/**
 * ks_config_offer() - a peer sent a snapshot
 * @digest: KS_DIGEST_SIZE bytes, or the same in hexadecimal digits
 */
void ks_config_offer(ks_config_t *config, uint64_t version, ks_str_t digest,
		     ks_str_t body)
{
	offer(config, version, digest, body, "a peer");
}
