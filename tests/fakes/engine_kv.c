/*
 * POST /kv/export and /kv/import: transfers the KV blocks of a prompt prefix.
 * Only block hashes are sent; the response is delayed by the transfer time of
 * the blocks.
 */
#include "engine.h"

/**
 * struct transfer - transfer in progress; freed with its HTTP request
 * @hashes: exported blocks, or blocks to import
 * @cached_tokens: for an export, the number of prompt tokens that were already
 *	cached before the prompt was prefilled
 */
struct transfer {
	struct fake_engine *engine;
	h2o_req_t *req;
	ks_timer_t timer;
	GArray *hashes;
	unsigned cached_tokens;
};

static void dispose_transfer(void *data)
{
	struct transfer *transfer = data;

	ks_timer_clear(&transfer->timer);
	g_array_free(transfer->hashes, TRUE);
}

static void start_transfer(struct fake_engine *engine, h2o_req_t *req,
			   GArray *hashes, unsigned cached_tokens,
			   ks_timer_func_t done)
{
	struct transfer *transfer = h2o_mem_alloc_shared(
		&req->pool, sizeof(*transfer), dispose_transfer);

	transfer->engine = engine;
	transfer->req = req;
	transfer->hashes = hashes;
	transfer->cached_tokens = cached_tokens;
	ks_timer_init(&transfer->timer, &engine->loop, done, transfer);
	ks_timer_set(&transfer->timer,
		     engine->options.block_us * (int64_t)hashes->len);
}

/**
 * engine_kv_hashes_to_json() - encode hashes as hexadecimal JSON strings
 */
json_t *engine_kv_hashes_to_json(const GArray *hashes)
{
	json_t *list = json_array();
	char hex[17];

	for (unsigned i = 0; i < hashes->len; i++) {
		g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
			   g_array_index(hashes, uint64_t, i));
		json_array_append_new(list, json_string(hex));
	}
	return list;
}

/**
 * engine_kv_hashes_from_json() - decode a list of hexadecimal hashes
 * @hashes: receives the hashes
 *
 * Return: false if @list is not a list of hashes.
 */
bool engine_kv_hashes_from_json(json_t *list, GArray *hashes)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		guint64 hash;

		if (!json_is_string(item) ||
		    !g_ascii_string_to_unsigned(json_string_value(item), 16, 0,
						G_MAXUINT64, &hash, NULL))
			return false;
		g_array_append_val(hashes, hash);
	}
	return json_is_array(list);
}

static void on_exported(void *ctx)
{
	struct transfer *transfer = ctx;

	engine_reply_json(
		transfer->req, 200,
		json_pack("{s:o,s:i,s:i}", "blocks",
			  engine_kv_hashes_to_json(transfer->hashes), "tokens",
			  (int)transfer->hashes->len * BLOCK_TOKENS,
			  "cached_tokens", (int)transfer->cached_tokens));
}

static void on_imported(void *ctx)
{
	struct transfer *transfer = ctx;
	int n = 0;

	/* A block is only usable together with all blocks before it. */
	while (n < (int)transfer->hashes->len &&
	       engine_cache_import(
		       &transfer->engine->cache,
		       g_array_index(transfer->hashes, uint64_t, n)))
		n++;
	engine_reply_json(transfer->req, 200,
			  json_pack("{s:i}", "imported", n));
}

/* Returns NULL if the request has neither a prompt nor a known handle. */
static GArray *hashes_to_export(struct fake_engine *engine, json_t *root,
				unsigned *cached_tokens)
{
	json_t *prompt = json_object_get(root, "prompt");
	json_t *handle = json_object_get(root, "handle");
	const GArray *hashes;
	GArray *copy;

	*cached_tokens = 0;
	if (json_is_string(prompt))
		return engine_cache_hashes(
			(ks_str_t){ json_string_value(prompt),
				    json_string_length(prompt) });
	if (!json_is_string(handle))
		return NULL;
	hashes = engine_kv_find_handle(
		engine, ks_str_from(json_string_value(handle)), cached_tokens);
	if (!hashes)
		return NULL;
	copy = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_vals(copy, hashes->data, hashes->len);
	return copy;
}

/**
 * engine_kv_handle_export() - POST /kv/export
 */
void engine_kv_handle_export(struct fake_engine *engine, h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	unsigned cached_tokens, n;
	GArray *hashes = hashes_to_export(engine, root, &cached_tokens);

	json_decref(root);
	if (!hashes) {
		engine_reply_error(req, 400, "bad_request",
				   "neither a prompt nor a known handle given");
		return;
	}
	/* Pinning finds the blocks still cached and refreshes them in the LRU
	 * list. */
	n = engine_cache_pin_prefix(&engine->cache, hashes);
	for (unsigned i = 0; i < n; i++)
		engine_cache_unpin(&engine->cache,
				   g_array_index(hashes, uint64_t, i));
	g_array_set_size(hashes, n);
	start_transfer(engine, req, hashes, cached_tokens, on_exported);
}

/**
 * engine_kv_handle_import() - POST /kv/import
 */
void engine_kv_handle_import(struct fake_engine *engine, h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	if (engine_kv_hashes_from_json(json_object_get(root, "blocks"),
				       hashes)) {
		start_transfer(engine, req, hashes, 0, on_imported);
	} else {
		g_array_free(hashes, TRUE);
		engine_reply_error(req, 400, "bad_request",
				   "blocks must be a list of block hashes");
	}
	json_decref(root);
}
