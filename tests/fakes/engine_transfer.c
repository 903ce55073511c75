/*
 * Prompts that are prefilled on one engine and decoded on another. The engine
 * that decodes fetches the blocks from the one that prefilled them.
 */
#include "engine.h"

/* Offers beyond this number are forgotten, the oldest first. */
#define MAX_OFFERS 1024
#define FETCH_TIMEOUT_US (5 * KS_USEC_PER_SEC)
#define MAX_EXPORT_BYTES (1024 * 1024)

struct offer {
	char handle[17];
	unsigned cached_tokens;
	GArray *hashes;
};

static void forget_oldest(struct fake_engine *engine)
{
	struct offer *offer = g_queue_pop_head(&engine->offers);

	g_array_free(offer->hashes, TRUE);
	g_free(offer);
}

/**
 * engine_kv_offer() - answer a prefilled sequence with a handle of its blocks
 */
void engine_kv_offer(struct engine_sequence *seq)
{
	struct fake_engine *engine = seq->engine;
	struct offer *offer = g_new0(struct offer, 1);
	ks_address_t address = engine->options.listen;
	char text[KS_ADDRESS_TEXT_SIZE];

	address.port = ks_http_server_port(&engine->server);
	g_snprintf(offer->handle, sizeof(offer->handle),
		   "%016" G_GINT64_MODIFIER "x", seq->id);
	offer->cached_tokens = seq->cached_tokens;
	offer->hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_vals(offer->hashes, seq->hashes->data, seq->pinned);
	g_queue_push_tail(&engine->offers, offer);
	if (engine->offers.length > MAX_OFFERS)
		forget_oldest(engine);
	engine_reply_whole(seq, 200,
			   json_pack("{s:{s:s,s:i,s:s}}", "kv", "handle",
				     offer->handle, "blocks",
				     (int)offer->hashes->len, "endpoint",
				     ks_address_format(&address, text)));
}

/**
 * engine_kv_find_offer() - the blocks behind a handle, or NULL
 */
const GArray *engine_kv_find_offer(struct fake_engine *engine, ks_str_t handle,
				   unsigned *cached_tokens)
{
	for (const GList *it = engine->offers.tail; it; it = it->prev) {
		const struct offer *offer = it->data;

		if (!ks_str_equal(handle, ks_str_from(offer->handle)))
			continue;
		*cached_tokens = offer->cached_tokens;
		return offer->hashes;
	}
	return NULL;
}

/* A sequence that waits for its blocks. */
struct fetch {
	struct engine_sequence *seq;
	GArray *hashes;
	ks_timer_t timer;
};

static void end_fetch(struct fetch *fetch)
{
	ks_timer_clear(&fetch->timer);
	g_array_free(fetch->hashes, TRUE);
	g_free(fetch);
}

static void fail_fetch(struct fetch *fetch)
{
	struct engine_sequence *seq = fetch->seq;

	engine_reply_whole(seq, 424,
			   json_pack("{s:{s:s,s:s}}", "error", "code",
				     "kv_unavailable", "message",
				     "the KV blocks cannot be imported"));
	engine_sequence_free(seq);
	end_fetch(fetch);
}

static void on_transferred(void *ctx)
{
	struct fetch *fetch = ctx;
	struct engine_sequence *seq = fetch->seq;
	struct fake_engine *engine = seq->engine;

	for (unsigned i = 0; i < fetch->hashes->len; i++)
		if (!engine_cache_import(
			    &engine->cache,
			    g_array_index(fetch->hashes, uint64_t, i))) {
			fail_fetch(fetch);
			return;
		}
	engine->stats.kv_imports++;
	seq->imported = true;
	engine_batch_add(engine, seq);
	end_fetch(fetch);
}

/* The blocks of another prompt would give a wrong answer. */
static bool are_of_prompt(const struct fetch *fetch)
{
	const GArray *own = fetch->seq->hashes;

	return fetch->hashes->len > 0 && fetch->hashes->len <= own->len &&
	       !memcmp(fetch->hashes->data, own->data,
		       fetch->hashes->len * sizeof(uint64_t));
}

static void on_fetched(void *ctx, const ks_http_response_t *answer)
{
	struct fetch *fetch = ctx;
	const struct fake_engine *engine = fetch->seq->engine;
	json_t *root = NULL;
	bool ok = false;

	if (answer->result == KS_HTTP_COMPLETE && answer->status == 200)
		root = json_loadb(answer->body.data, answer->body.len, 0, NULL);
	ok = root &&
	     engine_kv_hashes_from_json(json_object_get(root, "blocks"),
					fetch->hashes) &&
	     are_of_prompt(fetch);
	fetch->seq->source_cached_tokens = (unsigned)json_integer_value(
		json_object_get(root, "cached_tokens"));
	json_decref(root);
	if (ok)
		ks_timer_set(&fetch->timer,
			     engine->options.block_us *
				     (int64_t)fetch->hashes->len);
	else
		fail_fetch(fetch);
}

/**
 * engine_kv_fetch() - import the blocks of a handle, then begin the sequence
 */
void engine_kv_fetch(struct engine_sequence *seq, ks_str_t source,
		     ks_str_t handle)
{
	struct fetch *fetch = g_new0(struct fetch, 1);
	char *body = g_strdup_printf("{\"handle\":\"%.*s\"}", (int)handle.len,
				     handle.data);
	ks_http_request_t request = {
		.method = KS_STR("POST"),
		.target = KS_STR("/kv/export"),
		.body = ks_str_from(body),
		.timeout_us = FETCH_TIMEOUT_US,
	};

	fetch->seq = seq;
	fetch->hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ks_timer_init(&fetch->timer, &seq->engine->loop, on_transferred, fetch);
	if (ks_address_parse(&request.address, source, NULL))
		ks_http_fetch(&seq->engine->client, &request, MAX_EXPORT_BYTES,
			      on_fetched, fetch);
	else
		fail_fetch(fetch);
	g_free(body);
}
