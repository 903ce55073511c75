/* The stand-in for a model engine: what its files share. */
#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "engine_token.h"
#include "ks/connection.h"

#include <h2o.h>
#include <jansson.h>

#define BLOCK_TOKENS 2000
#define BYTES_PER_TOKEN 4
#define BLOCK_BYTES (BLOCK_TOKENS * BYTES_PER_TOKEN)

/**
 * struct engine_options - the command line
 * @prefill_us: time for each prompt token
 * @decode_us: time of a decode step of one sequence
 * @change_us: time that an order takes
 * @load_lag_us: age of the load in /state
 * @event_lag_us: age of the newest event in /cache/events
 * @block_us: time to export or import one block
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
 * struct engine_stats - counts of GET /stats
 * @orders_while_running: orders accepted while completions were running
 * @prefilled: prompts that were prefilled for another engine
 * @kv_imports: completions that began with blocks of another engine
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

/* engine_cache.c: blocks of prompts kept in memory, least recently used out */

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
 * struct engine_sequence - a completion in the engine
 * @prompt_hash: of the prompt's text
 * @prompt_tokens: of the prompt alone
 * @resume_from: first token to generate
 * @prefill_left: tokens to be prefilled before the first token
 * @chunk: of @prefill_left, done in the current iteration
 * @pinned: blocks of @hashes that this sequence holds in the cache
 * @private_blocks: further blocks that it holds
 * @prefill_only: the prompt is prefilled for another engine
 * @source_cached_tokens: had in its cache by the engine that prefilled the
 *	prompt, if @imported
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
	unsigned prefill_left;
	unsigned chunk;
	unsigned pinned;
	unsigned private_blocks;
	bool prefill_only;
	bool imported;
	unsigned source_cached_tokens;
	GString *text;
};

/**
 * struct engine_batch - what runs and what waits
 * @prefill_runs: iterations of prefill alone since the last decode step
 * @steps: the current iteration has decode steps
 */
struct engine_batch {
	ks_list_t running;
	ks_list_t waiting;
	unsigned n_running;
	unsigned n_waiting;
	ks_timer_t timer;
	int64_t due_us;
	unsigned prefill_runs;
	bool steps;
};

void engine_batch_init(struct fake_engine *engine);
void engine_batch_add(struct fake_engine *engine, struct engine_sequence *seq);
void engine_batch_pause(struct fake_engine *engine, bool paused);

/* engine_request.c: reading a completion */

struct engine_sequence *engine_sequence_parse(struct fake_engine *engine,
					      h2o_req_t *req, bool chat,
					      const char **problem);
void engine_sequence_free(struct engine_sequence *seq);

/* engine_reply.c: answering a completion */

struct engine_reply;

void engine_reply_attach(struct engine_sequence *seq, h2o_req_t *req);
bool engine_reply_is_closed(const struct engine_reply *reply);
void engine_reply_token(struct engine_sequence *seq, unsigned token, bool last);
void engine_reply_finish(struct engine_sequence *seq);
void engine_reply_whole(struct engine_sequence *seq, int status, json_t *root);
void engine_reply_abort(struct engine_sequence *seq);
void engine_reply_error(h2o_req_t *req, int status, const char *code,
			const char *message);
void engine_reply_json(h2o_req_t *req, int status, json_t *root);

/* engine_orders.c: orders and the model that is loaded */

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
bool engine_orders_serves(const struct fake_engine *engine, const char *model);

/* engine_kv.c: moving blocks between engines */

void engine_kv_handle_export(struct fake_engine *engine, h2o_req_t *req);
void engine_kv_handle_import(struct fake_engine *engine, h2o_req_t *req);

/* engine_transfer.c: prompts prefilled on one engine and decoded on another */

void engine_kv_offer(struct engine_sequence *seq);
const GArray *engine_kv_find_offer(struct fake_engine *engine, ks_str_t handle,
				   unsigned *cached_tokens);
void engine_kv_fetch(struct engine_sequence *seq, ks_str_t source,
		     ks_str_t handle);
json_t *engine_kv_hashes_to_json(const GArray *hashes);
bool engine_kv_hashes_from_json(json_t *list, GArray *hashes);

/* engine_state.c: GET /state */

struct engine_load {
	int64_t at_us;
	unsigned running;
	unsigned waiting;
	unsigned kv_blocks_free;
};

void engine_state_record(struct fake_engine *engine);
void engine_state_handle(struct fake_engine *engine, h2o_req_t *req);

/**
 * struct fake_engine - the whole engine
 * @offers: prefilled prompts that other engines may fetch, newest last
 * @loads: array of struct engine_load, oldest first, back to the lag
 */
struct fake_engine {
	ks_loop_t loop;
	ks_http_server_t server;
	ks_http_client_t client;
	GQueue offers;
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
