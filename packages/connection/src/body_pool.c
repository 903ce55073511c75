/*
 * Decides which bodies of requests may grow. It addresses callers that send
 * many bodies at once, most of which stop short of their end while the
 * connection stays open.
 *
 * A body that may not grow is not read: the caller's window fills. Room for the
 * rest of the oldest incomplete body is kept free, so that bodies which share
 * the memory cannot all wait for each other: the oldest one is completed, is
 * served and makes room for the next.
 */
#include "body_pool.h"

#include <string.h>

/* Parts of the budget, of which the rest is for heads and responses. */
#define SMALL_SHARE 4
#define LARGE_SHARE 2

/**
 * body_pool_init() - start an empty pool
 * @budget: memory for callers in bytes; SIZE_MAX for no limit
 */
void body_pool_init(struct body_pool *pool, size_t budget)
{
	bool limited = budget != SIZE_MAX;

	memset(pool, 0, sizeof(*pool));
	pool->size[BODY_SMALL] = limited ? budget / SMALL_SHARE : SIZE_MAX;
	pool->size[BODY_LARGE] = limited ? budget / LARGE_SHARE : SIZE_MAX;
	for (int i = 0; i < BODY_N_CLASSES; i++)
		ks_list_init(&pool->growing[i]);
	ks_list_init(&pool->complete);
}

/**
 * body_pool_add() - add the newest body
 * @declared: its length if that is known, else 0
 * @most: limit for its length
 */
void body_pool_add(struct body_pool *pool, struct body_share *share,
		   uint64_t origin, size_t declared, size_t most)
{
	memset(share, 0, sizeof(*share));
	share->origin = origin;
	share->most = declared ? MIN(declared, most) : most;
	if (declared > BODY_SMALL_BYTES)
		share->class = BODY_LARGE;
	ks_list_append(&pool->growing[share->class], &share->node);
}

static struct body_share *share_of(ks_list_t *node)
{
	return KS_CONTAINER_OF(node, struct body_share, node);
}

/* What the body may take in its class at most. */
static size_t most_in_class(const struct body_share *share)
{
	return share->class == BODY_SMALL ? MIN(share->most, BODY_SMALL_BYTES)
					  : share->most;
}

/*
 * Room to keep free for the oldest body of a class that may still grow there,
 * unless that is @share.
 */
static size_t kept_free(struct body_pool *pool, enum body_class class,
			const struct body_share *share)
{
	KS_LIST_FOREACH (it, &pool->growing[class]) {
		const struct body_share *oldest = share_of(it);
		size_t most = most_in_class(oldest);

		if (oldest == share)
			return 0;
		if (oldest->bytes < most)
			return most - oldest->bytes;
	}
	return 0;
}

static bool others_wait(struct body_pool *pool, uint64_t origin)
{
	KS_LIST_FOREACH (it, &pool->growing[BODY_LARGE])
		if (share_of(it)->wanted && share_of(it)->origin != origin)
			return true;
	return false;
}

static size_t sum_of_origin(ks_list_t *shares, uint64_t origin)
{
	size_t sum = 0;

	KS_LIST_FOREACH (it, shares)
		if (share_of(it)->origin == origin)
			sum += share_of(it)->bytes;
	return sum;
}

/* Whether a caller takes half of the pool while others wait for it. */
static bool exceeds_half(struct body_pool *pool, const struct body_share *share,
			 size_t bytes)
{
	size_t sum;

	if (!others_wait(pool, share->origin))
		return false;
	sum = sum_of_origin(&pool->growing[BODY_LARGE], share->origin) +
	      sum_of_origin(&pool->complete, share->origin);
	return sum + bytes > pool->size[BODY_LARGE] / 2;
}

static enum body_class class_after(const struct body_share *share, size_t bytes)
{
	return share->bytes + bytes > BODY_SMALL_BYTES ? BODY_LARGE
						       : share->class;
}

static bool has_room(struct body_pool *pool, const struct body_share *share,
		     size_t bytes)
{
	enum body_class class = class_after(share, bytes);
	size_t added = bytes + (class != share->class ? share->bytes : 0);
	size_t size = pool->size[class];

	if (size == SIZE_MAX)
		return true;
	if (pool->used[class] + added + kept_free(pool, class, share) > size)
		return false;
	return class == BODY_SMALL || !exceeds_half(pool, share, added);
}

/**
 * body_pool_force() - let a body grow in any case, for what was read already
 */
void body_pool_force(struct body_pool *pool, struct body_share *share,
		     size_t bytes)
{
	enum body_class class = class_after(share, bytes);

	if (class != share->class) {
		pool->used[share->class] -= share->bytes;
		pool->used[class] += share->bytes;
		share->class = class;
		ks_list_remove(&share->node);
		ks_list_append(&pool->growing[class], &share->node);
	}
	pool->used[class] += bytes;
	share->bytes += bytes;
	share->wanted = 0;
}

/**
 * body_pool_grow() - let a body grow, or wait until body_pool_next() returns it
 *
 * Return: whether it may take @bytes more now.
 */
bool body_pool_grow(struct body_pool *pool, struct body_share *share,
		    size_t bytes)
{
	if (!has_room(pool, share, bytes)) {
		share->wanted = bytes;
		return false;
	}
	body_pool_force(pool, share, bytes);
	return true;
}

/**
 * body_pool_complete() - note that a body was received completely
 * @bytes: what it takes now, at most as much as before
 */
void body_pool_complete(struct body_pool *pool, struct body_share *share,
			size_t bytes)
{
	pool->used[share->class] -= share->bytes - bytes;
	share->bytes = bytes;
	share->wanted = 0;
	share->complete = true;
	ks_list_remove(&share->node);
	if (share->class == BODY_LARGE)
		ks_list_append(&pool->complete, &share->node);
}

/**
 * body_pool_remove() - remove a body whose memory was freed
 */
void body_pool_remove(struct body_pool *pool, struct body_share *share)
{
	pool->used[share->class] -= share->bytes;
	ks_list_remove(&share->node);
	share->bytes = 0;
	share->wanted = 0;
}

/**
 * body_pool_next() - find the oldest body that waits and may grow now
 *
 * It waits no more, and has to ask again.
 *
 * Return: NULL if there is none.
 */
struct body_share *body_pool_next(struct body_pool *pool)
{
	for (int i = 0; i < BODY_N_CLASSES; i++)
		KS_LIST_FOREACH (it, &pool->growing[i]) {
			struct body_share *share = share_of(it);

			if (!share->wanted ||
			    !has_room(pool, share, share->wanted))
				continue;
			share->wanted = 0;
			return share;
		}
	return NULL;
}
