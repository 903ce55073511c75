/* Batches the inserts of new claims into transactions of the store. */
#include "ledger.h"

/* Keeps transactions small; several may be in flight at once. */
#define MAX_GROUP_CLAIMS 64
#define MAX_GROUPS_IN_FLIGHT 4

static void send_groups(void *ctx);

static ks_ledger_record_t *record_at(const ks_ledger_group_t *group, size_t i)
{
	return (ks_ledger_record_t *)g_ptr_array_index(group->records, i);
}

/*
 * Two claims of the same key never share a transaction: a store that checks all
 * preconditions before the first write would accept both.
 */
static bool has_key(const ks_ledger_group_t *group, const char *key)
{
	for (size_t i = 0; i < group->records->len; i++) {
		if (g_str_equal(record_at(group, i)->key, key))
			return true;
	}
	return false;
}

static ks_ledger_group_t *next_group(ks_ledger_t *ledger)
{
	ks_ledger_group_t *group = g_new0(ks_ledger_group_t, 1);

	group->ledger = ledger;
	group->records = g_ptr_array_new();
	KS_LIST_FOREACH_SAFE (it, next, &ledger->waiting) {
		ks_ledger_record_t *record =
			KS_CONTAINER_OF(it, ks_ledger_record_t, waiting);

		if (group->records->len == MAX_GROUP_CLAIMS)
			break;
		if (has_key(group, record->key) ||
		    (record->is_written_alone && group->records->len > 0))
			continue;
		ks_list_remove(&record->waiting);
		record->group = group;
		g_ptr_array_add(group->records, record);
		if (record->is_written_alone)
			break;
	}
	ks_list_append(&ledger->groups, &group->node);
	ledger->n_groups++;
	return group;
}

static void free_group(ks_ledger_group_t *group)
{
	if (group->ledger) {
		ks_list_remove(&group->node);
		group->ledger->n_groups--;
	}
	g_ptr_array_free(group->records, TRUE);
	g_free(group);
}

/*
 * When a transaction is refused, only the claim at index @failed has a result.
 * The others are inserted again, each by a write of its own if the store did
 * not name the failed one.
 */
static void split_group(ks_ledger_group_t *group, int failed)
{
	bool located = failed >= 0 && failed < (int)group->records->len;

	for (size_t i = 0; i < group->records->len; i++) {
		ks_ledger_record_t *record = record_at(group, i);

		if (!record)
			continue;
		if (located && i == (size_t)failed)
			continue;
		record->group = NULL;
		record->is_written_alone = !located;
		if (record->events)
			ks_list_append(&group->ledger->waiting,
				       &record->waiting);
		else
			ks_ledger_record_event(record, KS_STORE_UNREACHABLE,
					       NULL);
	}
	if (located && record_at(group, (size_t)failed)) {
		ks_ledger_record_t *record = record_at(group, (size_t)failed);

		record->group = NULL;
		ks_ledger_record_event(record, KS_STORE_REFUSED, NULL);
	}
}

static void end_group(ks_ledger_group_t *group, ks_store_outcome_t outcome,
		      const ks_row_t *rows, size_t n_rows)
{
	/* Rows without a new etag are read back, as after a lost response. */
	if (outcome == KS_STORE_DONE && n_rows < group->records->len)
		outcome = KS_STORE_UNKNOWN;
	for (size_t i = 0; i < group->records->len; i++) {
		ks_ledger_record_t *record = record_at(group, i);

		if (!record)
			continue;
		record->group = NULL;
		ks_ledger_record_event(record, outcome,
				       outcome == KS_STORE_DONE ? &rows[i]
								: NULL);
	}
}

static void on_rows(void *ctx, ks_store_outcome_t outcome, const ks_row_t *rows,
		    size_t n_rows, int failed)
{
	ks_ledger_group_t *group = ctx;
	ks_ledger_t *ledger = group->ledger;

	if (ledger) {
		if (outcome == KS_STORE_REFUSED && group->records->len > 1)
			split_group(group, failed);
		else
			end_group(group, outcome, rows, n_rows);
	}
	free_group(group);
	if (ledger)
		send_groups(ledger);
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	on_rows(ctx, outcome, row, row ? 1 : 0, 0);
}

static void send_group(ks_ledger_group_t *group)
{
	ks_store_t *store = group->ledger->store;
	size_t count = group->records->len;
	ks_store_write_t *writes = g_new0(ks_store_write_t, count);
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < count; i++) {
		ks_ledger_record_t *record = record_at(group, i);
		char *value = ks_claim_encode(&record->machine.claim);

		g_ptr_array_add(values, value);
		writes[i].key = ks_str_from(record->key);
		writes[i].value = ks_str_from(value);
	}
	if (count == 1)
		store->write(store->impl, writes, on_row, group);
	else
		store->transact(store->impl, writes, count, on_rows, group);
	g_ptr_array_free(values, TRUE);
	g_free(writes);
}

static void send_groups(void *ctx)
{
	ks_ledger_t *ledger = ctx;

	while (!ks_list_is_empty(&ledger->waiting) &&
	       ledger->n_groups < MAX_GROUPS_IN_FLIGHT)
		send_group(next_group(ledger));
}

/**
 * ks_ledger_group_add() - queue the claim of a record for a batched insert
 *
 * The result is passed to ks_ledger_record_event().
 */
void ks_ledger_group_add(ks_ledger_record_t *record)
{
	ks_ledger_t *ledger = record->ledger;

	ks_list_append(&ledger->waiting, &record->waiting);
	/* Claims added in the same iteration of the event loop are batched. */
	if (!ks_timer_is_set(&ledger->group_timer))
		ks_timer_set(&ledger->group_timer, 0);
}

/**
 * ks_ledger_group_forget() - drop a record from its transaction in flight
 */
void ks_ledger_group_forget(ks_ledger_record_t *record)
{
	ks_ledger_group_t *group = record->group;

	if (!group)
		return;
	for (size_t i = 0; i < group->records->len; i++) {
		if (record_at(group, i) == record)
			g_ptr_array_index(group->records, i) = NULL;
	}
	record->group = NULL;
}

/**
 * ks_ledger_group_init() - initialize the batching of a ledger
 */
void ks_ledger_group_init(ks_ledger_t *ledger)
{
	ks_list_init(&ledger->waiting);
	ks_list_init(&ledger->groups);
	ledger->n_groups = 0;
	ks_timer_init(&ledger->group_timer, ledger->loop, send_groups, ledger);
}

/**
 * ks_ledger_group_deinit() - stop batching; transactions in flight are detached
 *
 * Their results are ignored, and their memory is freed when they complete.
 */
void ks_ledger_group_deinit(ks_ledger_t *ledger)
{
	ks_timer_clear(&ledger->group_timer);
	KS_LIST_FOREACH_SAFE (it, next, &ledger->groups) {
		ks_ledger_group_t *group =
			KS_CONTAINER_OF(it, ks_ledger_group_t, node);

		ks_list_remove(&group->node);
		group->ledger = NULL;
	}
}
