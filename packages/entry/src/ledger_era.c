/*
 * Decides whether a claim may be acted on after the store has returned from an
 * older copy. Claims that were inserted shortly before may be lost, so that a
 * second request with the same key gets a claim as well. A key that was issued
 * before the present era began counts as possibly claimed in the last one, and
 * its outcome is unknown. The row era/N tells when era N began, so that this
 * outlives the processes.
 */
#include "ledger.h"

#define ROW_PREFIX "era/"

/*
 * A key may be dated by the clock of a caller that is ahead by this much, and
 * the row by that of an entry that is behind by as much.
 */
#define CLOCK_MARGIN_US (2 * KS_KEY_MAX_SKEW_US)

/* Lookup in progress; @ledger is NULL once the ledger has been freed. */
struct ks_ledger_lookup {
	ks_ledger_t *ledger;
	uint64_t era;
	int64_t since_us;
};

static void start_lookup(ks_ledger_t *ledger, uint64_t era);

static bool is_parked(const ks_ledger_record_t *record)
{
	return !ks_list_is_empty(&record->parked);
}

/**
 * ks_ledger_era_unpark() - take a record out of those that wait for a lookup
 *
 * Return: whether it was one of them.
 */
bool ks_ledger_era_unpark(ks_ledger_record_t *record)
{
	bool parked = is_parked(record);

	ks_list_remove(&record->parked);
	return parked;
}

/* Returns whether it is known when the era of a claim began. */
static bool is_known(const ks_ledger_record_t *record)
{
	const ks_ledger_t *ledger = record->ledger;

	return !record->era ||
	       (record->era == ledger->era && ledger->is_era_known);
}

/* Dispatches or ends a record. Returns false if a lookup is needed before. */
static bool decide(ks_ledger_record_t *record)
{
	const ks_ledger_t *ledger = record->ledger;
	ks_claim_times_t now = { ks_loop_now(ledger->loop),
				 ks_clock_now(ledger->wall) };

	if (ks_claim_machine_is_late(&record->machine, now)) {
		ks_ledger_refuse(record, KS_ERROR_DEADLINE_NOT_RUN,
				 KS_CLAIM_NOT_RUN);
	} else if (record->era && record->era < ledger->era) {
		/* The claim may be lost, and was not acted on. */
		ks_ledger_refuse(record, KS_ERROR_STORE_UNAVAILABLE,
				 KS_CLAIM_NOT_RUN);
	} else if (!is_known(record)) {
		return false;
	} else if (record->era &&
		   record->issued_us < ledger->era_since_us + CLOCK_MARGIN_US) {
		ks_log(KS_LOG_LEDGER, KS_LOG_WARN,
		       "%s may have been claimed before the store returned "
		       "from an older copy; its outcome is unknown",
		       record->key);
		ks_ledger_refuse(record, KS_ERROR_OUTCOME_UNKNOWN,
				 KS_CLAIM_UNKNOWN);
	} else {
		ks_ledger_dispatch(record);
	}
	return true;
}

/* Decides on the parked records, and looks up what some of them still need. */
static void decide_parked(ks_ledger_t *ledger)
{
	uint64_t needed = 0;
	ks_list_t parked;

	ks_list_init(&parked);
	while (!ks_list_is_empty(&ledger->parked)) {
		ks_ledger_record_t *record = KS_CONTAINER_OF(
			ledger->parked.next, ks_ledger_record_t, parked);

		ks_list_remove(&record->parked);
		if (decide(record))
			continue;
		ks_list_append(&parked, &record->parked);
		needed = MAX(needed, record->era);
	}
	while (!ks_list_is_empty(&parked)) {
		ks_list_t *node = parked.next;

		ks_list_remove(node);
		ks_list_append(&ledger->parked, node);
	}
	if (needed)
		start_lookup(ledger, needed);
}

/* Ends a lookup; without the time, the parked records are refused. */
static void end_lookup(struct ks_ledger_lookup *lookup, uint64_t era,
		       bool is_found, int64_t since_us)
{
	ks_ledger_t *ledger = lookup->ledger;

	g_free(lookup);
	if (!ledger)
		return;
	ledger->lookup = NULL;
	if (era > ledger->era) {
		ledger->era = era;
		ledger->is_era_known = false;
	}
	if (is_found) {
		ledger->is_era_known = true;
		ledger->era_since_us = since_us;
	} else {
		while (!ks_list_is_empty(&ledger->parked)) {
			ks_ledger_record_t *record =
				KS_CONTAINER_OF(ledger->parked.next,
						ks_ledger_record_t, parked);

			ks_list_remove(&record->parked);
			ks_ledger_refuse(record, KS_ERROR_STORE_UNAVAILABLE,
					 KS_CLAIM_NOT_RUN);
		}
	}
	decide_parked(ledger);
}

static void read_row(struct ks_ledger_lookup *lookup);

static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row)
{
	struct ks_ledger_lookup *lookup = ctx;

	if (outcome == KS_STORE_REFUSED && lookup->ledger)
		read_row(lookup);
	else if (outcome == KS_STORE_DONE && row->era == lookup->era)
		end_lookup(lookup, row->era, true, lookup->since_us);
	else
		end_lookup(lookup, row ? row->era : 0, false, 0);
}

static void on_read(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	struct ks_ledger_lookup *lookup = ctx;
	ks_ledger_t *ledger = lookup->ledger;
	char *key;

	if (!ledger || outcome != KS_STORE_DONE || row->era != lookup->era) {
		end_lookup(lookup, row ? row->era : 0, false, 0);
	} else if (row->etag.len) {
		bool ok = ks_str_parse_int(row->value, 0, G_MAXINT64,
					   &lookup->since_us);

		if (!ok)
			ks_log(KS_LOG_LEDGER, KS_LOG_ERROR,
			       "row " ROW_PREFIX "%" G_GUINT64_FORMAT
			       " is invalid",
			       lookup->era);
		end_lookup(lookup, row->era, ok, lookup->since_us);
	} else {
		ks_store_write_t write = { 0 };
		char *value;

		lookup->since_us = ks_clock_now(ledger->wall);
		key = g_strdup_printf(ROW_PREFIX "%" G_GUINT64_FORMAT,
				      lookup->era);
		value = g_strdup_printf("%" PRId64, lookup->since_us);
		write.key = ks_str_from(key);
		write.value = ks_str_from(value);
		ledger->store->write(ledger->store->impl, &write, on_written,
				     lookup);
		g_free(key);
		g_free(value);
	}
}

static void read_row(struct ks_ledger_lookup *lookup)
{
	ks_store_t *store = lookup->ledger->store;
	char *key =
		g_strdup_printf(ROW_PREFIX "%" G_GUINT64_FORMAT, lookup->era);

	store->get(store->impl, ks_str_from(key), on_read, lookup);
	g_free(key);
}

static void start_lookup(ks_ledger_t *ledger, uint64_t era)
{
	if (ledger->lookup)
		return;
	ledger->lookup = g_new0(struct ks_ledger_lookup, 1);
	ledger->lookup->ledger = ledger;
	ledger->lookup->era = era;
	read_row(ledger->lookup);
}

/**
 * ks_ledger_era_dispatch() - dispatch a record whose claim was inserted, or end
 * it if an earlier claim may be lost
 */
void ks_ledger_era_dispatch(ks_ledger_record_t *record)
{
	ks_ledger_t *ledger = record->ledger;

	if (decide(record))
		return;
	ks_list_append(&ledger->parked, &record->parked);
	start_lookup(ledger, record->era);
}

void ks_ledger_era_init(ks_ledger_t *ledger)
{
	ks_list_init(&ledger->parked);
}

/**
 * ks_ledger_era_deinit() - detach a lookup in flight
 */
void ks_ledger_era_deinit(ks_ledger_t *ledger)
{
	if (ledger->lookup)
		ledger->lookup->ledger = NULL;
}
