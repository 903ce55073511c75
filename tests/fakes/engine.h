/*
 * Types and functions shared by the files of fake-engine, which emulates the
 * timing, KV cache and HTTP interface of an LLM inference engine. fake-engine.c
 * lists the interface.
 *
 * The control plane changes an engine by orders: load or unload a model or
 * adapter, or set the role, which says whether the engine favours prefill,
 * decode or neither. Each order has a fencing token, which increases when
 * another process takes over the control of the engine.
 */
#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "engine_token.h"
#include "ks/connection.h"

#include <h2o.h>
#include <jansson.h>

/* The KV cache is divided into blocks of this many tokens. */
#define BLOCK_TOKENS 2000
/* Prompt text is not tokenized; every 4 bytes count as one token. */
#define BYTES_PER_TOKEN 4
#define BLOCK_BYTES (BLOCK_TOKENS * BYTES_PER_TOKEN)

/**
 * struct engine_options - command-line options
 * @prefill_us: prefill time per prompt token
 * @decode_us: duration of a decode step with one sequence
 * @max_batch: maximum number of running sequences
 * @kv_blocks: KV cache capacity, in blocks
 * @checks_fencing: reject orders with a fencing token below the highest seen
 * @change_us: execution time of an order
 * @load_lag_us: delay before a load change appears in GET /state
 * @event_lag_us: delay before an event appears in GET /cache/events
 * @block_us: transfer time per exported or imported block
 */
struct engine_options {
	ks_address_t listen;
	double prefill_us;
	double decode_us;
	unsigned max_batch;
	unsigned kv_blocks;
	bool checks_fencing;
	int64_t change_us;
	int64_t load_lag_us;
	int64_t event_lag_us;
	int64_t block_us;
	uint32_t seed;
	const char *model;
	const char *version;
	const char *role;
};

/**
 * struct engine_stats - counters reported by GET /stats
 * @refused: completions rejected because an order was running or the model was
 *	not loaded
 * @orders: accepted orders
 * @stale_orders: received orders with a fencing token below the highest seen
 * @orders_while_running: orders accepted while completions were running or
 *	waiting
 * @conflicts: orders that the control plane must never send; see
 *	report_conflict()
 * @max_running: largest number of sequences that ran at once
 * @prefilled: prompts prefilled for another engine
 * @kv_imports: completions started with blocks imported from another engine
 */
struct engine_stats {
	unsigned requests;
	unsigned completed;
	unsigned cancelled;
	unsigned refused;
	unsigned orders;
	unsigned stale_orders;
	unsigned orders_while_running;
	unsigned conflicts;
	unsigned max_running;
	unsigned prefilled;
	unsigned kv_imports;
};

/* engine_cache.c: prefix cache with LRU eviction */

/**
 * struct engine_cache - KV cache memory
 * @capacity: size of the memory, in blocks
 * @private_blocks: blocks reserved by sequences and not shared
 * @blocks: cached prefix blocks by hash
 * @lru: cached blocks that no sequence uses, least recently used first
 * @events: stored and evicted blocks, oldest first
 * @next_event: sequence number of the next event
 * @event_lag_us: delay before an event is reported
 */
struct engine_cache {
	ks_loop_t *loop;
	ks_rng_t rng;
	unsigned capacity;
	unsigned private_blocks;
	GHashTable *blocks;
	ks_list_t lru;
	GArray *events;
	uint64_t next_event;
	int64_t event_lag_us;
};

void engine_cache_init(struct engine_cache *cache, ks_loop_t *loop,
		       const struct engine_options *options);
void engine_cache_deinit(struct engine_cache *cache);
GArray *engine_cache_hashes(ks_str_t prompt);
unsigned engine_cache_pin_prefix(struct engine_cache *cache,
				 const GArray *hashes);
void engine_cache_unpin(struct engine_cache *cache, uint64_t hash);
bool engine_cache_reserve(struct engine_cache *cache, unsigned blocks);
void engine_cache_release(struct engine_cache *cache, unsigned blocks);
void engine_cache_store_reserved(struct engine_cache *cache, uint64_t hash);
bool engine_cache_import(struct engine_cache *cache, uint64_t hash);
void engine_cache_clear(struct engine_cache *cache);
unsigned engine_cache_free_blocks(const struct engine_cache *cache);
json_t *engine_cache_events_since(const struct engine_cache *cache,
				  uint64_t since);

/* engine_batch.c: continuous batching */

/**
 * struct engine_sequence - a completion request being processed
 * @reply: NULL after h2o has disposed of the request
 * @model_json: requested model name, encoded as a JSON string
 * @running: in the running list of the batch, not in the waiting list
 * @priority: value of X-Priority; lower values are admitted first
 * @prompt_hash: XXH64() of the prompt text, the input of engine_token()
 * @hashes: chained hash of each full block of the prompt
 * @prompt_tokens: length of the prompt, in tokens
 * @cached_tokens: prompt tokens found in the prefix cache
 * @resume_from: index of the first output token to generate
 * @prefill_tokens_left: tokens to prefill before the first output token: prompt
 *	tokens that are not cached, and output tokens before @resume_from
 * @chunk: number of tokens prefilled in the current iteration
 * @pinned: number of blocks of @hashes pinned in the cache
 * @private_blocks: number of reserved blocks besides the pinned ones
 * @prefill_only: the prompt is prefilled for another engine
 * @imported: the prompt's blocks were imported from another engine
 * @source_cached_tokens: prompt tokens that were already cached on the source
 *	engine, if @imported
 * @text: generated text, for a response that is not streamed
 */
struct engine_sequence {
	ks_list_t node;
	struct fake_engine *engine;
	struct engine_reply *reply;
	char *model_json;
	bool chat;
	bool stream;
	bool running;
	unsigned priority;
	uint64_t id;
	uint64_t prompt_hash;
	GArray *hashes;
	unsigned prompt_tokens;
	unsigned cached_tokens;
	unsigned resume_from;
	unsigned max_tokens;
	unsigned n_generated;
	unsigned prefill_tokens_left;
	unsigned chunk;
	unsigned pinned;
	unsigned private_blocks;
	bool prefill_only;
	bool imported;
	unsigned source_cached_tokens;
	GString *text;
};

/**
 * struct engine_batch - running and waiting sequences
 * @waiting: by priority, then by arrival
 * @timer: end of the current iteration
 * @due_us: time at which the current iteration ends
 * @prefill_iterations: prefill-only iterations since the last decode step
 * @has_decode_step: the current iteration includes a decode step
 */
struct engine_batch {
	ks_list_t running;
	ks_list_t waiting;
	unsigned n_running;
	unsigned n_waiting;
	ks_timer_t timer;
	int64_t due_us;
	unsigned prefill_iterations;
	bool has_decode_step;
};

void engine_batch_init(struct fake_engine *engine);
void engine_batch_add(struct fake_engine *engine, struct engine_sequence *seq);
void engine_batch_pause(struct fake_engine *engine, bool paused);

/* engine_request.c: parsing a completion request */

struct engine_sequence *engine_sequence_parse(struct fake_engine *engine,
					      h2o_req_t *req, bool chat,
					      const char **problem);
void engine_sequence_free(struct engine_sequence *seq);

/* engine_reply.c: HTTP responses */

struct engine_reply;

void engine_reply_attach(struct engine_sequence *seq, h2o_req_t *req);
bool engine_reply_is_closed(const struct engine_reply *reply);
void engine_reply_token(struct engine_sequence *seq, unsigned token, bool last);
void engine_reply_finish(struct engine_sequence *seq);
void engine_reply_sequence_json(struct engine_sequence *seq, int status,
				json_t *root);
void engine_reply_abort(struct engine_sequence *seq);
void engine_reply_error(h2o_req_t *req, int status, const char *code,
			const char *message);
void engine_reply_json(h2o_req_t *req, int status, json_t *root);

/* engine_orders.c: control-plane orders and the loaded model */

/**
 * struct engine_orders - state that orders change
 * @model: name of the loaded model, or ""
 * @version: version of the loaded model, or ""
 * @adapters: set of the names of loaded adapters
 * @role: "both", "prefill" or "decode"
 * @fence: highest fencing token seen
 * @crash_in_change: exit halfway through the next order
 * @current: running order, or NULL
 */
struct engine_orders {
	char *model;
	char *version;
	GHashTable *adapters;
	char *role;
	uint64_t fence;
	bool crash_in_change;
	struct engine_order *current;
};

void engine_orders_init(struct fake_engine *engine);
void engine_orders_deinit(struct fake_engine *engine);
void engine_orders_handle(struct fake_engine *engine, h2o_req_t *req);
bool engine_orders_is_loaded(const struct fake_engine *engine,
			     const char *model);

/* engine_kv.c: export and import of KV blocks over HTTP */

void engine_kv_handle_export(struct fake_engine *engine, h2o_req_t *req);
void engine_kv_handle_import(struct fake_engine *engine, h2o_req_t *req);

/* engine_transfer.c: disaggregated prefill and decode */

void engine_kv_publish(struct engine_sequence *seq);
const GArray *engine_kv_find_handle(struct fake_engine *engine, ks_str_t handle,
				    unsigned *cached_tokens);
void engine_kv_fetch(struct engine_sequence *seq, ks_str_t source,
		     ks_str_t handle);
json_t *engine_kv_hashes_to_json(const GArray *hashes);
bool engine_kv_hashes_from_json(json_t *list, GArray *hashes);

/* engine_state.c: GET /state */

/**
 * struct engine_load - load at one moment
 * @at_us: time at which the load was recorded
 */
struct engine_load {
	int64_t at_us;
	unsigned running;
	unsigned waiting;
	unsigned kv_blocks_free;
};

void engine_state_record(struct fake_engine *engine);
void engine_state_handle(struct fake_engine *engine, h2o_req_t *req);

/**
 * struct fake_engine - state of the engine process
 * @client: fetches KV blocks from other engines
 * @kv_handles: handles of prefilled prompts that other engines may fetch,
 *	newest last
 * @loads: array of struct engine_load, oldest first, starting with the one that
 *	GET /state reports
 * @silent: accept connections but answer no request except POST /control
 */
struct fake_engine {
	ks_loop_t loop;
	ks_http_server_t server;
	ks_http_client_t client;
	GQueue kv_handles;
	struct engine_options options;
	struct engine_stats stats;
	struct engine_cache cache;
	struct engine_batch batch;
	struct engine_orders orders;
	GArray *loads;
	uint64_t next_id;
	bool silent;
};

#endif
