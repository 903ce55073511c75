/*
 * What an entry believes of one upstream's prefix cache.
 *
 * The table is set-associative: a block belongs to one set of a few slots, and
 * the weakest slot of a full set makes room. Memory is fixed from the start,
 * and no event, however late or often missed, can make it grow.
 */
#include "ks/request.h"

#include <math.h>

#define SLOTS_PER_SET 8

/* Steps of time in a half-life; 32 bits of them outlast any process. */
#define STEPS_PER_HALF_LIFE 64

/* Blocks believed in less than this end the cached prefix. */
#define LEAST_STRENGTH 0.05

/*
 * Belief in a block that the engine had to compute again. It holds the block
 * now, but it has shown that it does not keep it for long.
 */
#define RECOMPUTED_STRENGTH 0.5f

struct slot {
	uint64_t hash; /* 0: free */
	uint32_t step;
	float strength;
};

struct ks_prefix_index {
	struct slot *slots;
	size_t n_sets;
	int64_t step_us;
};

/**
 * ks_prefix_index_new() - set up an empty belief
 * @max_blocks: most blocks remembered; rounded up to whole sets of 8
 * @half_life_us: time after which a belief that nothing confirms has halved
 */
ks_prefix_index_t *ks_prefix_index_new(size_t max_blocks, int64_t half_life_us)
{
	ks_prefix_index_t *belief = g_new0(ks_prefix_index_t, 1);

	belief->n_sets =
		MAX((max_blocks + SLOTS_PER_SET - 1) / SLOTS_PER_SET, 1);
	belief->slots = g_new0(struct slot, belief->n_sets * SLOTS_PER_SET);
	belief->step_us = MAX(half_life_us / STEPS_PER_HALF_LIFE, 1);
	return belief;
}

/**
 * ks_prefix_index_free() - free a belief
 */
void ks_prefix_index_free(ks_prefix_index_t *belief)
{
	if (!belief)
		return;
	g_free(belief->slots);
	g_free(belief);
}

static uint64_t used_hash(uint64_t hash)
{
	return hash ? hash : 1;
}

static struct slot *set_of(const ks_prefix_index_t *belief, uint64_t hash)
{
	return belief->slots + hash % belief->n_sets * SLOTS_PER_SET;
}

static uint32_t step_at(const ks_prefix_index_t *belief, int64_t now_us)
{
	return (uint32_t)(now_us / belief->step_us);
}

static double strength_at(const struct slot *slot, uint32_t step)
{
	int32_t age = (int32_t)(step - slot->step);

	return slot->strength *
	       exp2(-(double)MAX(age, 0) / STEPS_PER_HALF_LIFE);
}

static struct slot *find_slot(const ks_prefix_index_t *belief, uint64_t hash)
{
	struct slot *set = set_of(belief, hash);

	for (int i = 0; i < SLOTS_PER_SET; i++)
		if (set[i].hash == hash)
			return &set[i];
	return NULL;
}

static struct slot *weakest_slot(const ks_prefix_index_t *belief, uint64_t hash,
				 uint32_t step)
{
	struct slot *set = set_of(belief, hash);
	struct slot *weakest = &set[0];

	for (int i = 0; i < SLOTS_PER_SET; i++) {
		if (set[i].hash == 0)
			return &set[i];
		if (strength_at(&set[i], step) < strength_at(weakest, step))
			weakest = &set[i];
	}
	return weakest;
}

static void believe(ks_prefix_index_t *belief, uint64_t hash, uint32_t step)
{
	struct slot *slot;

	hash = used_hash(hash);
	slot = find_slot(belief, hash);
	if (!slot)
		slot = weakest_slot(belief, hash, step);
	*slot = (struct slot){ hash, step, 1.0f };
}

/**
 * ks_prefix_index_add() - the upstream has the blocks of a prompt
 * @hashes: chained hashes of the prompt's blocks
 *
 * Called when an attempt is sent, and for the events of the engine.
 */
void ks_prefix_index_add(ks_prefix_index_t *belief, const uint64_t *hashes,
			 size_t count, int64_t now_us)
{
	uint32_t step = step_at(belief, now_us);

	for (size_t i = 0; i < count; i++)
		believe(belief, hashes[i], step);
}

/**
 * ks_prefix_index_evict() - the upstream has dropped a block
 */
void ks_prefix_index_evict(ks_prefix_index_t *belief, uint64_t hash)
{
	struct slot *slot = find_slot(belief, used_hash(hash));

	if (slot)
		slot->hash = 0;
}

/**
 * ks_prefix_index_correct() - learn from the cached count of an answer
 * @hashes: chained hashes of the prompt's blocks
 * @cached_blocks: leading blocks that the engine found in its cache
 *
 * The rest were computed for this request, whatever was believed before.
 */
void ks_prefix_index_correct(ks_prefix_index_t *belief, const uint64_t *hashes,
			     size_t count, size_t cached_blocks, int64_t now_us)
{
	uint32_t step = step_at(belief, now_us);

	cached_blocks = MIN(cached_blocks, count);
	ks_prefix_index_add(belief, hashes, cached_blocks, now_us);
	for (size_t i = cached_blocks; i < count; i++) {
		struct slot *slot = find_slot(belief, used_hash(hashes[i]));

		if (!slot)
			continue;
		slot->strength = MIN((float)strength_at(slot, step),
				     RECOMPUTED_STRENGTH);
		slot->step = step;
	}
}

/**
 * ks_prefix_index_tokens() - tokens of a prompt expected in the cache
 * @hashes: chained hashes of the prompt's blocks
 *
 * A block is of use only when all blocks before it are there too.
 *
 * Return: expected number of tokens.
 */
uint32_t ks_prefix_index_tokens(const ks_prefix_index_t *belief,
				const uint64_t *hashes, size_t count,
				int64_t now_us)
{
	uint32_t step = step_at(belief, now_us);
	double least = 1.0, blocks = 0.0;

	for (size_t i = 0; i < count; i++) {
		struct slot *slot = find_slot(belief, used_hash(hashes[i]));

		if (!slot)
			break;
		least = MIN(least, strength_at(slot, step));
		if (least < LEAST_STRENGTH)
			break;
		blocks += least;
	}
	return (uint32_t)(blocks * KS_PREFIX_BLOCK_TOKENS);
}
