/* What the files of the ledger share. */
#ifndef KS_PROCESS_LEDGER_H
#define KS_PROCESS_LEDGER_H

#include "ks/entry.h"

/**
 * struct ks_ledger_group - claims that are inserted in one transaction
 * @ledger: NULL once the ledger has been freed
 * @entries: array of ks_ledger_entry_t *, NULL where the entry has been freed
 */
typedef struct ks_ledger_group {
	ks_list_t node;
	ks_ledger_t *ledger;
	GPtrArray *entries;
} ks_ledger_group_t;

/**
 * struct ks_ledger_op - an operation of one entry at the store
 * @entry: NULL once the entry has been freed
 */
typedef struct ks_ledger_op {
	ks_ledger_entry_t *entry;
} ks_ledger_op_t;

/**
 * struct ks_ledger - the ledger of one entry process
 * @entries: every request that is not finished
 * @waiting: those whose claim is to be inserted
 * @groups: transactions under way
 */
struct ks_ledger {
	ks_loop_t *loop;
	ks_store_t *store;
	const ks_clock_t *wall;
	ks_rng_t *rng;
	ks_id_t holder;
	ks_list_t entries;
	ks_list_t waiting;
	ks_list_t groups;
	unsigned n_groups;
	ks_timer_t group_timer;
	ks_claim_sweep_t *sweep;
};

/**
 * struct ks_ledger_entry - one request with a claim
 * @key: of the row
 * @row: as last read
 * @events: NULL once the owner has had its last event
 * @group: transaction that carries the claim
 * @alone: the claim is inserted in a write of its own
 * @large_answer: stored as an object
 * @put_until_us: end of the tries to store it
 */
struct ks_ledger_entry {
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
	bool alone;
	GBytes *large_answer;
	int64_t put_until_us;
};

void ks_ledger_entry_event(ks_ledger_entry_t *entry, ks_store_outcome_t outcome,
			   ks_str_t etag);

void ks_ledger_group_init(ks_ledger_t *ledger);
void ks_ledger_group_deinit(ks_ledger_t *ledger);
void ks_ledger_group_add(ks_ledger_entry_t *entry);
void ks_ledger_group_forget(ks_ledger_entry_t *entry);

#endif
