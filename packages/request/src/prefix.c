/*
 * Prefix index: an entry's estimate of which prompt blocks are in the prefix
 * cache of one upstream.
 *
 * The index is a set-associative table. A block hash maps to one set of a few
 * slots; if the set is full, the slot with the lowest confidence is replaced.
 * Memory is allocated once and never grows, even if cache events from the
 * engine arrive late or are lost. The confidence in a block decays
 * exponentially, so that lost eviction events are corrected over time.
 */
#include "ks/request.h"

#include <math.h>

#define SLOTS_PER_SET 8

/*
 * Resolution of timestamps. A 32-bit tick count does not wrap during the life
 * of a process.
 */
#define TICKS_PER_HALF_LIFE 64

/* A block with less confidence than this ends the cached prefix. */
#define MIN_CONFIDENCE 0.05

/*
 * Confidence in a block that the engine did not find in its cache. The engine
 * has computed it again, so it is cached now, but may soon be evicted again.
 */
#define RECOMPUTED_CONFIDENCE 0.5f

/**
 * struct slot - estimate for one block
 * @hash: chained hash of the block; 0 if the slot is free
 * @tick: when @confidence was set
 * @confidence: probability at @tick that the block was cached
 */
struct slot {
	uint64_t hash;
	uint32_t tick;
	float confidence;
};

/**
 * struct ks_prefix_index - see the top of this file
 * @slots: @n_sets sets of SLOTS_PER_SET slots each
 * @n_sets: number of sets
 * @tick_us: duration of a tick
 */
struct ks_prefix_index {
	struct slot *slots;
	size_t n_sets;
	int64_t tick_us;
};

/**
 * ks_prefix_index_new() - create an empty index
 * @max_blocks: maximum number of blocks; rounded up to a multiple of 8
 * @half_life_us: half-life of the confidence in a block that is not confirmed
 *
 * Return: to be freed with ks_prefix_index_free().
 */
ks_prefix_index_t *ks_prefix_index_new(size_t max_blocks, int64_t half_life_us)
{
	ks_prefix_index_t *index = g_new0(ks_prefix_index_t, 1);

	index->n_sets =
		MAX((max_blocks + SLOTS_PER_SET - 1) / SLOTS_PER_SET, 1);
	index->slots = g_new0(struct slot, index->n_sets * SLOTS_PER_SET);
	index->tick_us = MAX(half_life_us / TICKS_PER_HALF_LIFE, 1);
	return index;
}

/**
 * ks_prefix_index_free() - free an index
 * @index: may be NULL
 */
void ks_prefix_index_free(ks_prefix_index_t *index)
{
	if (!index)
		return;
	g_free(index->slots);
	g_free(index);
}

/* Maps hash 0 to 1, since 0 marks a free slot. */
static uint64_t nonzero_hash(uint64_t hash)
{
	return hash ? hash : 1;
}

static struct slot *set_of(const ks_prefix_index_t *index, uint64_t hash)
{
	return index->slots + hash % index->n_sets * SLOTS_PER_SET;
}

static uint32_t tick_at(const ks_prefix_index_t *index, int64_t now_us)
{
	return (uint32_t)(now_us / index->tick_us);
}

static double confidence_at(const struct slot *slot, uint32_t tick)
{
	int32_t age = (int32_t)(tick - slot->tick);

	return slot->confidence *
	       exp2(-(double)MAX(age, 0) / TICKS_PER_HALF_LIFE);
}

static struct slot *find_slot(const ks_prefix_index_t *index, uint64_t hash)
{
	struct slot *set = set_of(index, hash);

	for (int i = 0; i < SLOTS_PER_SET; i++)
		if (set[i].hash == hash)
			return &set[i];
	return NULL;
}

/* Slot to replace: a free one, or the one with the lowest confidence. */
static struct slot *find_victim(const ks_prefix_index_t *index, uint64_t hash,
				uint32_t tick)
{
	struct slot *set = set_of(index, hash);
	struct slot *victim = &set[0];

	for (int i = 0; i < SLOTS_PER_SET; i++) {
		if (set[i].hash == 0)
			return &set[i];
		if (confidence_at(&set[i], tick) < confidence_at(victim, tick))
			victim = &set[i];
	}
	return victim;
}

static void insert_block(ks_prefix_index_t *index, uint64_t hash, uint32_t tick)
{
	struct slot *slot;

	hash = nonzero_hash(hash);
	slot = find_slot(index, hash);
	if (!slot)
		slot = find_victim(index, hash, tick);
	*slot = (struct slot){ hash, tick, 1.0f };
}

/**
 * ks_prefix_index_add() - record that the upstream has cached blocks
 * @hashes: chained hashes of the blocks of a prompt
 * @count: number of hashes
 *
 * Called when an attempt is sent and for cache events from the engine.
 */
void ks_prefix_index_add(ks_prefix_index_t *index, const uint64_t *hashes,
			 size_t count, int64_t now_us)
{
	uint32_t tick = tick_at(index, now_us);

	for (size_t i = 0; i < count; i++)
		insert_block(index, hashes[i], tick);
}

/**
 * ks_prefix_index_evict() - record that the upstream has evicted a block
 * @hash: chained hash of the block
 */
void ks_prefix_index_evict(ks_prefix_index_t *index, uint64_t hash)
{
	struct slot *slot = find_slot(index, nonzero_hash(hash));

	if (slot)
		slot->hash = 0;
}

/**
 * ks_prefix_index_correct() - update the index from a response of the engine
 * @hashes: chained hashes of the prompt's blocks
 * @count: number of hashes
 * @cached_blocks: number of leading blocks that the engine reported as cached
 *
 * The engine computed the other blocks for this request, even if the index had
 * them as cached.
 */
void ks_prefix_index_correct(ks_prefix_index_t *index, const uint64_t *hashes,
			     size_t count, size_t cached_blocks, int64_t now_us)
{
	uint32_t tick = tick_at(index, now_us);

	cached_blocks = MIN(cached_blocks, count);
	ks_prefix_index_add(index, hashes, cached_blocks, now_us);
	for (size_t i = cached_blocks; i < count; i++) {
		struct slot *slot = find_slot(index, nonzero_hash(hashes[i]));

		if (!slot)
			continue;
		slot->confidence = MIN((float)confidence_at(slot, tick),
				       RECOMPUTED_CONFIDENCE);
		slot->tick = tick;
	}
}

/**
 * ks_prefix_index_tokens() - estimate the cached tokens of a prompt
 * @hashes: chained hashes of the prompt's blocks
 * @count: number of hashes
 *
 * A cached block can be used only if all blocks before it are cached too, so
 * its confidence is at most that of each block before it.
 *
 * Return: expected number of cached tokens at the start of the prompt.
 */
uint32_t ks_prefix_index_tokens(const ks_prefix_index_t *index,
				const uint64_t *hashes, size_t count,
				int64_t now_us)
{
	uint32_t tick = tick_at(index, now_us);
	double confidence_so_far = 1.0, blocks = 0.0;

	for (size_t i = 0; i < count; i++) {
		struct slot *slot = find_slot(index, nonzero_hash(hashes[i]));

		if (!slot)
			break;
		confidence_so_far =
			MIN(confidence_so_far, confidence_at(slot, tick));
		if (confidence_so_far < MIN_CONFIDENCE)
			break;
		blocks += confidence_so_far;
	}
	return (uint32_t)(blocks * KS_PREFIX_BLOCK_TOKENS);
}
