/* Declarations shared by ledger.c, ledger_group.c and ledger_era.c. */
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
 * @era: highest era of the store that was looked up, see struct ks_row
 * @is_era_known: @era_since_us is when it began
 * @era_since_us: Unix time
 * @parked: records whose claim was inserted in an era that is not known yet
 * @lookup: lookup in flight
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
	uint64_t era;
	bool is_era_known;
	int64_t era_since_us;
	ks_list_t parked;
	struct ks_ledger_lookup *lookup;
	ks_claim_sweep_t *sweep;
};

/**
 * struct ks_ledger_record - a request that holds or waits for a claim
 * @waiting: node in the list @waiting of the ledger
 * @key: key of the claim's row
 * @parked: node in the list @parked of the ledger
 * @era: era of the store in which the claim was last inserted or read
 * @issued_us: when the idempotency key was issued, Unix time
 * @hour: hour of @issued_us, part of the row key
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
	ks_list_t parked;
	ks_ledger_t *ledger;
	ks_claim_machine_t machine;
	char *key;
	uint64_t era;
	int64_t issued_us;
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
			    ks_store_outcome_t outcome, const ks_row_t *row);
void ks_ledger_dispatch(ks_ledger_record_t *record);
void ks_ledger_refuse(ks_ledger_record_t *record, ks_error_kind_t kind,
		      ks_claim_state_t state);

void ks_ledger_era_init(ks_ledger_t *ledger);
void ks_ledger_era_deinit(ks_ledger_t *ledger);
void ks_ledger_era_dispatch(ks_ledger_record_t *record);
bool ks_ledger_era_unpark(ks_ledger_record_t *record);

void ks_ledger_group_init(ks_ledger_t *ledger);
void ks_ledger_group_deinit(ks_ledger_t *ledger);
void ks_ledger_group_add(ks_ledger_record_t *record);
void ks_ledger_group_forget(ks_ledger_record_t *record);

#endif
