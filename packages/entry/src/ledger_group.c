/* Groups the claims that wait at the same time into one transaction. */
#include "ledger.h"

/* Keeps one transaction small; several may be under way. */
#define MAX_GROUP 64
#define MAX_GROUPS_UNDER_WAY 4

static void send_groups(void *ctx);

static ks_ledger_entry_t *entry_at(const ks_ledger_group_t *group, size_t i)
{
	return (ks_ledger_entry_t *)g_ptr_array_index(group->entries, i);
}

/*
 * Two claims on one key never share a transaction: a store that tests all
 * preconditions before it writes would let both through.
 */
static bool has_key(const ks_ledger_group_t *group, const char *key)
{
	for (size_t i = 0; i < group->entries->len; i++) {
		if (g_str_equal(entry_at(group, i)->key, key))
			return true;
	}
	return false;
}

static ks_ledger_group_t *next_group(ks_ledger_t *ledger)
{
	ks_ledger_group_t *group = g_new0(ks_ledger_group_t, 1);

	group->ledger = ledger;
	group->entries = g_ptr_array_new();
	KS_LIST_FOREACH_SAFE (it, next, &ledger->waiting) {
		ks_ledger_entry_t *entry =
			KS_CONTAINER_OF(it, ks_ledger_entry_t, waiting);

		if (group->entries->len == MAX_GROUP)
			break;
		if (has_key(group, entry->key) ||
		    (entry->alone && group->entries->len > 0))
			continue;
		ks_list_remove(&entry->waiting);
		entry->group = group;
		g_ptr_array_add(group->entries, entry);
		if (entry->alone)
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
	g_ptr_array_free(group->entries, TRUE);
	g_free(group);
}

/* After a refusal only the failed claim has a result; the rest go again. */
static void split_group(ks_ledger_group_t *group, int failed)
{
	bool located = failed >= 0 && failed < (int)group->entries->len;

	for (size_t i = 0; i < group->entries->len; i++) {
		ks_ledger_entry_t *entry = entry_at(group, i);

		if (!entry)
			continue;
		if (located && i == (size_t)failed)
			continue;
		entry->group = NULL;
		entry->alone = !located;
		if (entry->events)
			ks_list_append(&group->ledger->waiting,
				       &entry->waiting);
		else
			ks_ledger_entry_event(entry, KS_STORE_UNREACHABLE,
					      KS_STR(""));
	}
	if (located && entry_at(group, (size_t)failed)) {
		ks_ledger_entry_t *entry = entry_at(group, (size_t)failed);

		entry->group = NULL;
		ks_ledger_entry_event(entry, KS_STORE_REFUSED, KS_STR(""));
	}
}

static void end_group(ks_ledger_group_t *group, ks_store_outcome_t outcome,
		      const ks_row_t *rows, size_t n_rows)
{
	/* A row without its new etag is read back like a lost response. */
	if (outcome == KS_STORE_DONE && n_rows < group->entries->len)
		outcome = KS_STORE_UNKNOWN;
	for (size_t i = 0; i < group->entries->len; i++) {
		ks_ledger_entry_t *entry = entry_at(group, i);

		if (!entry)
			continue;
		entry->group = NULL;
		ks_ledger_entry_event(entry, outcome,
				      outcome == KS_STORE_DONE ? rows[i].etag
							       : KS_STR(""));
	}
}

static void on_rows(void *ctx, ks_store_outcome_t outcome, const ks_row_t *rows,
		    size_t n_rows, int failed)
{
	ks_ledger_group_t *group = ctx;
	ks_ledger_t *ledger = group->ledger;

	if (ledger) {
		if (outcome == KS_STORE_REFUSED && group->entries->len > 1)
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
	size_t count = group->entries->len;
	ks_store_write_t *writes = g_new0(ks_store_write_t, count);
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < count; i++) {
		ks_ledger_entry_t *entry = entry_at(group, i);
		char *value = ks_claim_encode(&entry->machine.claim);

		g_ptr_array_add(values, value);
		writes[i].key = ks_str_from(entry->key);
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
	       ledger->n_groups < MAX_GROUPS_UNDER_WAY)
		send_group(next_group(ledger));
}

/**
 * ks_ledger_group_add() - insert the claim of an entry with those of others
 *
 * The result arrives at ks_ledger_entry_event().
 */
void ks_ledger_group_add(ks_ledger_entry_t *entry)
{
	ks_ledger_t *ledger = entry->ledger;

	ks_list_append(&ledger->waiting, &entry->waiting);
	/* Claims that arrive in the same turn of the loop are sent together. */
	if (!ks_timer_is_set(&ledger->group_timer))
		ks_timer_set(&ledger->group_timer, 0);
}

/**
 * ks_ledger_group_forget() - an entry is freed while its claim is on its way
 */
void ks_ledger_group_forget(ks_ledger_entry_t *entry)
{
	ks_ledger_group_t *group = entry->group;

	if (!group)
		return;
	for (size_t i = 0; i < group->entries->len; i++) {
		if (entry_at(group, i) == entry)
			g_ptr_array_index(group->entries, i) = NULL;
	}
	entry->group = NULL;
}

/**
 * ks_ledger_group_init() - set up the groups of a ledger
 */
void ks_ledger_group_init(ks_ledger_t *ledger)
{
	ks_list_init(&ledger->waiting);
	ks_list_init(&ledger->groups);
	ledger->n_groups = 0;
	ks_timer_init(&ledger->group_timer, ledger->loop, send_groups, ledger);
}

/**
 * ks_ledger_group_deinit() - leave the transactions under way to themselves
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
