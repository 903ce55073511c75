/* memory: the account of what a process holds for its callers and upstreams. */
#ifndef KS_MEMORY_H
#define KS_MEMORY_H

#include "ks/core.h"

G_BEGIN_DECLS

/*
 * What the process needs for itself: program, libraries, configuration, what
 * it knows of other processes, and the unused parts of blocks and pages. A
 * gateway without requests takes 11 MB in tests/system/test-memory-heads.sh.
 */
#define KS_MEMORY_PROCESS_BYTES ((size_t)48 * 1024 * 1024)

/* The budget on a machine that is smaller than the above allows. */
#define KS_MEMORY_MIN_BUDGET ((size_t)16 * 1024 * 1024)

/**
 * enum ks_memory_kind - what memory is held for
 * @KS_MEMORY_CONNECTIONS: connections, heads and input that was sent ahead
 * @KS_MEMORY_BODIES: bodies of requests, until no call needs them
 * @KS_MEMORY_REQUESTS: requests being served, without their bodies
 * @KS_MEMORY_OUTPUT: responses that are not written yet
 */
typedef enum ks_memory_kind {
	KS_MEMORY_CONNECTIONS,
	KS_MEMORY_BODIES,
	KS_MEMORY_REQUESTS,
	KS_MEMORY_OUTPUT,
	KS_MEMORY_N_KINDS,
} ks_memory_kind_t;

/**
 * struct ks_memory - account of a process, in bytes
 * @budget: what may be held; SIZE_MAX for no limit
 * @used: what is held, by kind
 * @total: the sum of @used
 */
typedef struct ks_memory {
	size_t budget;
	size_t used[KS_MEMORY_N_KINDS];
	size_t total;
} ks_memory_t;

void ks_memory_init(ks_memory_t *memory, size_t machine_bytes);
void ks_memory_deinit(ks_memory_t *memory);
void ks_memory_charge(ks_memory_t *memory, ks_memory_kind_t kind, size_t bytes);
void ks_memory_release(ks_memory_t *memory, ks_memory_kind_t kind,
		       size_t bytes);
void ks_memory_hold(ks_memory_t *memory, ks_memory_kind_t kind, size_t *held,
		    size_t bytes);
size_t ks_memory_left(const ks_memory_t *memory);
double ks_memory_pressure(const ks_memory_t *memory);

G_END_DECLS

#endif
