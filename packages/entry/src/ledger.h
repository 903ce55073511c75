/* Declarations shared by ledger.c and ledger_group.c. */
#ifndef KS_PROCESS_LEDGER_H
#define KS_PROCESS_LEDGER_H

#include "ks/entry.h"

/**
 * struct ks_ledger_group - claims inserted by one transaction
 * @ledger: NULL once the ledger has been freed
 * @records: array of ks_ledger_record_t *, NULL where the record was freed
 */
typedef struct ks_ledger_group {
	ks_list_t node;
	ks_ledger_t *ledger;
	GPtrArray *records;
} ks_ledger_group_t;

/**
 * struct ks_ledger_op - context of a store operation of one record
 * @record: NULL once the record has been freed
 */
typedef struct ks_ledger_op {
	ks_ledger_record_t *record;
} ks_ledger_op_t;

/**
 * struct ks_ledger - the ledger of one entry process
 * @wall: clock of Unix time
 * @holder: incarnation of the process, stored in its claims
 * @records: struct ks_ledger_record of the requests that hold or wait for a
 *	claim, or whose outcome is still to be stored
 * @waiting: records whose claim is to be inserted
 * @groups: transactions in flight
 * @n_groups: number of transactions in @groups
 * @group_timer: sends the claims in @waiting
 */
struct ks_ledger {
	ks_loop_t *loop;
	ks_store_t *store;
	const ks_clock_t *wall;
	ks_rng_t *rng;
	ks_id_t holder;
	ks_list_t records;
	ks_list_t waiting;
	ks_list_t groups;
	unsigned n_groups;
	ks_timer_t group_timer;
	ks_claim_sweep_t *sweep;
};

/**
 * struct ks_ledger_record - a request that holds or waits for a claim
 * @waiting: node in the list @waiting of the ledger
 * @key: key of the claim's row
 * @hour: hour in which the idempotency key was issued, part of the row key
 * @row: the claim in the store, as last read
 * @events: NULL once the owner has received its last event
 * @op: store operation in flight
 * @deadline: fails the request at the caller's deadline
 * @wait: next retry of a store operation
 * @group: transaction that inserts the claim
 * @is_written_alone: the claim is inserted by a write of its own
 * @large_body: response body too large for the row, stored as an object
 * @put_deadline_us: time after which storing @large_body is not retried
 */
struct ks_ledger_record {
	ks_list_t node;
	ks_list_t waiting;
	ks_ledger_t *ledger;
	ks_claim_machine_t machine;
	char *key;
	int64_t hour;
	ks_claim_t row;
	const ks_ledger_events_t *events;
	void *ctx;
	ks_timer_t deadline;
	ks_timer_t wait;
	ks_backoff_t backoff;
	ks_ledger_op_t *op;
	ks_ledger_group_t *group;
	bool is_written_alone;
	GBytes *large_body;
	int64_t put_deadline_us;
};

void ks_ledger_record_event(ks_ledger_record_t *record,
			    ks_store_outcome_t outcome, ks_str_t etag);

void ks_ledger_group_init(ks_ledger_t *ledger);
void ks_ledger_group_deinit(ks_ledger_t *ledger);
void ks_ledger_group_add(ks_ledger_record_t *record);
void ks_ledger_group_forget(ks_ledger_record_t *record);

#endif
