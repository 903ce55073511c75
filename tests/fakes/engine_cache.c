/*
 * Prefix cache of the fake engine. Cached blocks and the private blocks of
 * running sequences share one memory; private blocks are only counted.
 */
#include "engine.h"

#include <xxhash.h>

#define MAX_EVENTS 10000
/* On average one event in this many is lost, as real event streams have gaps.
 */
#define EVENT_LOSS_INTERVAL 50

/**
 * struct block - cached KV block
 * @node: in the LRU list while @pins is 0
 * @hash: chained hash of the block and all blocks before it
 * @pins: number of sequences that use the block
 */
struct block {
	ks_list_t node;
	uint64_t hash;
	unsigned pins;
};

/**
 * struct event - change of the cache
 * @seq: sequence number
 * @stored: true if the block was stored, false if it was evicted
 */
struct event {
	uint64_t seq;
	int64_t at_us;
	uint64_t hash;
	bool stored;
};

static void add_event(struct engine_cache *cache, uint64_t hash, bool stored)
{
	struct event event = { cache->next_event++, ks_loop_now(cache->loop),
			       hash, stored };

	if (ks_rng_below(&cache->rng, EVENT_LOSS_INTERVAL) == 0)
		return;
	if (cache->events->len == MAX_EVENTS)
		g_array_remove_range(cache->events, 0, MAX_EVENTS / 2);
	g_array_append_val(cache->events, event);
}

/**
 * engine_cache_init() - initialize an empty cache
 */
void engine_cache_init(struct engine_cache *cache, ks_loop_t *loop,
		       const struct engine_options *options)
{
	cache->loop = loop;
	ks_rng_init(&cache->rng, options->seed);
	cache->capacity = options->kv_blocks;
	cache->private_blocks = 0;
	cache->blocks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	ks_list_init(&cache->lru);
	cache->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	cache->next_event = 1;
	cache->event_lag_us = options->event_lag_us;
}

/**
 * engine_cache_deinit() - free the cache
 */
void engine_cache_deinit(struct engine_cache *cache)
{
	g_hash_table_destroy(cache->blocks);
	g_array_free(cache->events, TRUE);
	ks_rng_deinit(&cache->rng);
}

/**
 * engine_cache_hashes() - hash each full block of a prompt
 *
 * Each hash covers its block and all blocks before it.
 *
 * Return: array of uint64_t, which the caller frees.
 */
GArray *engine_cache_hashes(ks_str_t prompt)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t hash = 0;

	for (size_t at = 0; at + BLOCK_BYTES <= prompt.len; at += BLOCK_BYTES) {
		hash = XXH3_64bits_withSeed(prompt.data + at, BLOCK_BYTES,
					    hash);
		g_array_append_val(hashes, hash);
	}
	return hashes;
}

static struct block *find_block(const struct engine_cache *cache, uint64_t hash)
{
	return g_hash_table_lookup(cache->blocks, &hash);
}

/* Pinned blocks are not in the LRU list, so that they are not evicted. */
static void pin(struct block *block)
{
	ks_list_remove(&block->node);
	block->pins++;
}

/**
 * engine_cache_pin_prefix() - pin the longest cached prefix of a prompt
 * @hashes: block hashes of the prompt
 *
 * Return: number of pinned blocks; each has to be unpinned with
 * engine_cache_unpin().
 */
unsigned engine_cache_pin_prefix(struct engine_cache *cache,
				 const GArray *hashes)
{
	unsigned n = 0;

	while (n < hashes->len) {
		struct block *block =
			find_block(cache, g_array_index(hashes, uint64_t, n));

		if (!block)
			break;
		pin(block);
		n++;
	}
	return n;
}

/**
 * engine_cache_unpin() - release a pinned block
 *
 * The block can be evicted once no sequence pins it.
 */
void engine_cache_unpin(struct engine_cache *cache, uint64_t hash)
{
	struct block *block = find_block(cache, hash);

	if (--block->pins == 0)
		ks_list_append(&cache->lru, &block->node);
}

static unsigned used_blocks(const struct engine_cache *cache)
{
	return g_hash_table_size(cache->blocks) + cache->private_blocks;
}

static bool evict_one(struct engine_cache *cache)
{
	struct block *block;

	if (ks_list_is_empty(&cache->lru))
		return false;
	block = KS_CONTAINER_OF(cache->lru.next, struct block, node);
	ks_list_remove(&block->node);
	add_event(cache, block->hash, false);
	g_hash_table_remove(cache->blocks, &block->hash);
	return true;
}

/**
 * engine_cache_reserve() - reserve private blocks, evicting unused blocks
 *
 * Return: false if there is not enough memory; nothing is reserved then.
 */
bool engine_cache_reserve(struct engine_cache *cache, unsigned blocks)
{
	if (blocks > engine_cache_free_blocks(cache))
		return false;
	while (used_blocks(cache) + blocks > cache->capacity)
		if (!evict_one(cache))
			return false;
	cache->private_blocks += blocks;
	return true;
}

/**
 * engine_cache_release() - release reserved private blocks
 */
void engine_cache_release(struct engine_cache *cache, unsigned blocks)
{
	cache->private_blocks -= blocks;
}

static struct block *add_block(struct engine_cache *cache, uint64_t hash)
{
	struct block *block = g_new0(struct block, 1);

	block->hash = hash;
	ks_list_init(&block->node);
	g_hash_table_insert(cache->blocks, &block->hash, block);
	add_event(cache, hash, true);
	return block;
}

/**
 * engine_cache_store_reserved() - convert a private block to a pinned cached
 * one
 */
void engine_cache_store_reserved(struct engine_cache *cache, uint64_t hash)
{
	struct block *block = find_block(cache, hash);

	cache->private_blocks--;
	pin(block ? block : add_block(cache, hash));
}

/**
 * engine_cache_import() - store a block transferred from another engine
 *
 * Return: false if there is not enough memory.
 */
bool engine_cache_import(struct engine_cache *cache, uint64_t hash)
{
	if (find_block(cache, hash))
		return true;
	if (!engine_cache_reserve(cache, 1))
		return false;
	engine_cache_store_reserved(cache, hash);
	engine_cache_unpin(cache, hash);
	return true;
}

/**
 * engine_cache_clear() - evict all blocks that are not pinned
 */
void engine_cache_clear(struct engine_cache *cache)
{
	while (evict_one(cache))
		;
}

/**
 * engine_cache_free_blocks() - number of blocks that can be reserved
 *
 * Includes the cached blocks that can be evicted.
 */
unsigned engine_cache_free_blocks(const struct engine_cache *cache)
{
	unsigned unused = 0;

	KS_LIST_FOREACH (it, &cache->lru)
		unused++;
	return cache->capacity - used_blocks(cache) + unused;
}

/**
 * engine_cache_events_since() - events older than the reporting delay
 * @since: sequence number of the first event to return
 *
 * Return: JSON object with the events and the sequence number to request next.
 */
json_t *engine_cache_events_since(const struct engine_cache *cache,
				  uint64_t since)
{
	int64_t newest = ks_loop_now(cache->loop) - cache->event_lag_us;
	json_t *list = json_array();
	uint64_t next = since;
	char hex[17];

	for (unsigned i = 0; i < cache->events->len; i++) {
		const struct event *event =
			&g_array_index(cache->events, struct event, i);

		if (event->at_us > newest)
			break;
		if (event->seq < since)
			continue;
		next = event->seq + 1;
		g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
			   event->hash);
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:s}", "seq",
					(json_int_t)event->seq, "kind",
					event->stored ? "stored" : "evicted",
					"hash", hex));
	}
	return json_pack("{s:o,s:I}", "events", list, "next", (json_int_t)next);
}
