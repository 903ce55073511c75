/*
 * In-memory implementation of ks_store_t for tests. Calls are processed when
 * the test runs the store, and can fail, lose their request or response, or
 * take effect late.
 */
#ifndef MEMORY_STORE_H
#define MEMORY_STORE_H

#include "fake_tables.h"

G_BEGIN_DECLS

/**
 * enum memory_fault - fault injected into one call
 * @MEMORY_FAULT_DOWN: no effect; fails with KS_STORE_UNREACHABLE
 * @MEMORY_FAULT_LOSE_RESPONSE: takes effect, but the response is lost
 * @MEMORY_FAULT_LOSE_REQUEST: no effect, as the request is lost
 * @MEMORY_FAULT_LATE: the response is lost, and a write takes effect @late_us
 *	after that is reported
 *
 * After a lost request or response, a write fails with KS_STORE_UNKNOWN and a
 * read with KS_STORE_UNREACHABLE.
 */
typedef enum memory_fault {
	MEMORY_FAULT_NONE,
	MEMORY_FAULT_DOWN,
	MEMORY_FAULT_LOSE_RESPONSE,
	MEMORY_FAULT_LOSE_REQUEST,
	MEMORY_FAULT_LATE,
} memory_fault_t;

/**
 * memory_fault_func_t - selects the fault of a call when the call is made
 * @key: key, prefix, object name, or key of a transaction's first write
 *
 * Return: fault of the call.
 */
typedef memory_fault_t (*memory_fault_func_t)(void *ctx, bool is_write,
					      ks_str_t key);

/**
 * struct memory_store - the store and its faults
 * @store: interface to pass to the code under test
 * @clock: clock for the delays; NULL if every response is due immediately
 * @calls: pending calls, by the time at which they are due
 * @down: every call fails with @MEMORY_FAULT_DOWN
 * @lose_responses: number of further writes to apply without a response
 * @stale_reads: single reads return the value before the last write
 * @delay_us: time from a call to its effect and response
 * @late_us: time from the response to the effect with @MEMORY_FAULT_LATE
 * @fault: selects the fault of calls that the fields above do not affect; may
 *	be NULL
 * @n_reads: number of read calls
 * @n_writes: number of write calls
 *
 * Tests may change the faults and delays at any time.
 */
typedef struct memory_store {
	ks_store_t store;
	fake_tables_t tables;
	const ks_clock_t *clock;
	GQueue calls;
	bool down;
	unsigned lose_responses;
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
