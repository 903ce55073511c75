/*
 * Disaggregated prefill and decode. An engine that prefills a prompt for
 * another responds with a handle and its own address. The decoding engine
 * receives both in the headers of its request and fetches the KV blocks from
 * there with POST /kv/export.
 */
#include "engine.h"

/* The oldest handles beyond this number are dropped. */
#define MAX_KV_HANDLES 1024
#define FETCH_TIMEOUT_US (5 * KS_USEC_PER_SEC)
#define MAX_EXPORT_BYTES (1024 * 1024)

/**
 * struct kv_handle - prefilled prompt that another engine may fetch
 * @cached_tokens: prompt tokens already cached before the prefill
 * @hashes: prompt blocks pinned at the end of the prefill
 */
struct kv_handle {
	char handle[17];
	unsigned cached_tokens;
	GArray *hashes;
};

static void drop_oldest_handle(struct fake_engine *engine)
{
	struct kv_handle *entry = g_queue_pop_head(&engine->kv_handles);

	g_array_free(entry->hashes, TRUE);
	g_free(entry);
}

/**
 * engine_kv_publish() - respond to a prefill request with a handle
 * @seq: sequence whose prompt is prefilled
 */
void engine_kv_publish(struct engine_sequence *seq)
{
	struct fake_engine *engine = seq->engine;
	struct kv_handle *entry = g_new0(struct kv_handle, 1);
	ks_address_t address = engine->options.listen;
	char text[KS_ADDRESS_TEXT_SIZE];

	address.port = ks_http_server_port(&engine->server);
	g_snprintf(entry->handle, sizeof(entry->handle),
		   "%016" G_GINT64_MODIFIER "x", seq->id);
	entry->cached_tokens = seq->cached_tokens;
	entry->hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_vals(entry->hashes, seq->hashes->data, seq->pinned);
	g_queue_push_tail(&engine->kv_handles, entry);
	if (engine->kv_handles.length > MAX_KV_HANDLES)
		drop_oldest_handle(engine);
	engine_reply_sequence_json(
		seq, 200,
		json_pack("{s:{s:s,s:i,s:s}}", "kv", "handle", entry->handle,
			  "blocks", (int)entry->hashes->len, "endpoint",
			  ks_address_format(&address, text)));
}

/**
 * engine_kv_find_handle() - look up the blocks of a handle
 * @cached_tokens: set to the tokens that were cached before the prefill
 *
 * Return: block hashes owned by the engine, or NULL if the handle is unknown.
 */
const GArray *engine_kv_find_handle(struct fake_engine *engine, ks_str_t handle,
				    unsigned *cached_tokens)
{
	for (const GList *it = engine->kv_handles.tail; it; it = it->prev) {
		const struct kv_handle *entry = it->data;

		if (!ks_str_equal(handle, ks_str_from(entry->handle)))
			continue;
		*cached_tokens = entry->cached_tokens;
		return entry->hashes;
	}
	return NULL;
}

/**
 * struct fetch - import of a sequence's blocks
 * @hashes: blocks that the source engine exported
 * @timer: end of the transfer
 */
struct fetch {
	struct engine_sequence *seq;
	GArray *hashes;
	ks_timer_t timer;
};

static void release_fetch(struct fetch *fetch)
{
	ks_timer_clear(&fetch->timer);
	g_array_free(fetch->hashes, TRUE);
	g_free(fetch);
}

static void fail_fetch(struct fetch *fetch)
{
	struct engine_sequence *seq = fetch->seq;

	engine_reply_sequence_json(seq, 424,
				   json_pack("{s:{s:s,s:s}}", "error", "code",
					     "kv_unavailable", "message",
					     "importing the KV blocks failed"));
	engine_sequence_free(seq);
	release_fetch(fetch);
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
	release_fetch(fetch);
}

/* Checks that the blocks belong to the sequence's own prompt; decoding with the
 * blocks of another prompt would give wrong output. */
static bool is_prompt_prefix(const struct fetch *fetch)
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
	     is_prompt_prefix(fetch);
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
 * engine_kv_fetch() - import the blocks of a handle, then start the sequence
 * @source: address of the engine that prefilled the prompt
 * @handle: handle that it returned
 *
 * Responds with 424 and frees the sequence if the import fails.
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
