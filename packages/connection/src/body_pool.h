/* The memory that bodies of requests may take. */
#ifndef KS_CONNECTION_BODY_POOL_H
#define KS_CONNECTION_BODY_POOL_H

#include "ks/core.h"

/* Bodies up to this size draw on the reserve for small ones. */
#define BODY_SMALL_BYTES ((size_t)64 * 1024)

/**
 * enum body_class - which part of the memory a body draws on
 * @BODY_SMALL: a reserve that large bodies may not use
 * @BODY_LARGE: the shared pool
 */
enum body_class {
	BODY_SMALL,
	BODY_LARGE,
	BODY_N_CLASSES,
};

/**
 * struct body_share - what one body takes
 * @node: entry in one of the lists of the pool
 * @origin: tells callers apart, such as a hash of the address
 * @bytes: what it takes
 * @most: what it may take at most
 * @wanted: what it waits for, 0 if it does not wait
 * @complete: it grows no more
 */
struct body_share {
	ks_list_t node;
	enum body_class class;
	uint64_t origin;
	size_t bytes;
	size_t most;
	size_t wanted;
	bool complete;
};

/**
 * struct body_pool - memory for the bodies of a process
 * @size: limit by class, in bytes; SIZE_MAX for none
 * @used: what the bodies take
 * @growing: bodies that are being received, the oldest first
 * @complete: large bodies that were received and are still needed
 */
struct body_pool {
	size_t size[BODY_N_CLASSES];
	size_t used[BODY_N_CLASSES];
	ks_list_t growing[BODY_N_CLASSES];
	ks_list_t complete;
};

void body_pool_init(struct body_pool *pool, size_t budget);
void body_pool_add(struct body_pool *pool, struct body_share *share,
		   uint64_t origin, size_t declared, size_t most);
bool body_pool_grow(struct body_pool *pool, struct body_share *share,
		    size_t bytes);
void body_pool_force(struct body_pool *pool, struct body_share *share,
		     size_t bytes);
void body_pool_complete(struct body_pool *pool, struct body_share *share,
			size_t bytes);
void body_pool_remove(struct body_pool *pool, struct body_share *share);
struct body_share *body_pool_next(struct body_pool *pool);

#endif
