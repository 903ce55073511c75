/*
 * Store in memory behind ks_store_t, for tests: answers come when the test says
 * so, and calls can be refused, lost or late.
 */
#ifndef MEMORY_STORE_H
#define MEMORY_STORE_H

#include "fake_tables.h"

G_BEGIN_DECLS

/**
 * enum memory_fault - what befalls one call
 * @MEMORY_FAULT_DOWN: UNREACHABLE, without effect
 * @MEMORY_FAULT_LOSE_ANSWER: takes effect; UNKNOWN (a read: UNREACHABLE)
 * @MEMORY_FAULT_LOSE_REQUEST: no effect; UNKNOWN (a read: UNREACHABLE)
 * @MEMORY_FAULT_LATE: UNKNOWN first, and the effect comes @late_us afterwards
 */
typedef enum memory_fault {
	MEMORY_FAULT_NONE,
	MEMORY_FAULT_DOWN,
	MEMORY_FAULT_LOSE_ANSWER,
	MEMORY_FAULT_LOSE_REQUEST,
	MEMORY_FAULT_LATE,
} memory_fault_t;

/**
 * memory_fault_func_t - decides on the fault of a call when it is made
 * @key: key, prefix, object name, or key of a transaction's first write
 */
typedef memory_fault_t (*memory_fault_func_t)(void *ctx, bool is_write,
					      ks_str_t key);

/**
 * struct memory_store - the store and its faults, set at any time
 * @store: the store to hand to the code under test
 * @clock: NULL: every answer is due at once
 * @calls: answers and effects to come, in order of their time
 * @down: every call ends with @MEMORY_FAULT_DOWN
 * @lose_answers: so many writes get @MEMORY_FAULT_LOSE_ANSWER
 * @stale_reads: single reads return what was there before the last write
 * @delay_us: from a call to its effect and answer
 * @fault: decides on calls that the fields above leave alone; may be NULL
 */
typedef struct memory_store {
	ks_store_t store;
	fake_tables_t tables;
	const ks_clock_t *clock;
	GQueue calls;
	bool down;
	unsigned lose_answers;
	bool stale_reads;
	int64_t delay_us;
	int64_t late_us;
	memory_fault_func_t fault;
	void *fault_ctx;
	unsigned n_reads;
	unsigned n_writes;
} memory_store_t;

void memory_store_init(memory_store_t *memory, const ks_clock_t *clock);
void memory_store_deinit(memory_store_t *memory);
bool memory_store_run_one(memory_store_t *memory);
unsigned memory_store_run(memory_store_t *memory);
bool memory_store_next_due(const memory_store_t *memory, int64_t *due_us);

G_END_DECLS

#endif
