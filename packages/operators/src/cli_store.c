/* Blocking reads from the store. */
#include "cli.h"

/* Result of ks_release_fetch(). */
struct fetch {
	bool done;
	bool has_record;
	ks_store_outcome_t outcome;
	ks_snapshot_t *snapshot;
};

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_cli_row_t *result = ctx;

	result->done = true;
	result->outcome = outcome;
	if (outcome == KS_STORE_DONE && row->etag.len)
		result->value = g_string_new_len(row->value.data,
						 (gssize)row->value.len);
}

/**
 * ks_cli_get() - read a row and wait for the result
 * @row: set when the function returns; the caller frees its value
 */
void ks_cli_get(ks_cli_t *cli, ks_str_t key, ks_cli_row_t *row)
{
	*row = (ks_cli_row_t){ 0 };
	cli->store.store.get(cli->store.store.impl, key, on_row, row);
	ks_cli_wait(cli, &row->done);
}

static void on_fetched(void *ctx, ks_store_outcome_t outcome,
		       const ks_release_record_t *record,
		       ks_snapshot_t *snapshot)
{
	struct fetch *fetch = ctx;

	fetch->done = true;
	fetch->outcome = outcome;
	fetch->has_record = record != NULL;
	if (snapshot)
		fetch->snapshot = ks_snapshot_ref(snapshot);
}

/**
 * ks_cli_fetch() - read the snapshot of a version
 * @snapshot: set on success, with a reference for the caller
 *
 * Return: KS_EXIT_DONE, or another exit code after an error message was
 * printed.
 */
int ks_cli_fetch(ks_cli_t *cli, uint64_t version, ks_snapshot_t **snapshot)
{
	struct fetch fetch = { 0 };

	ks_release_fetch(&cli->store.store, version, on_fetched, &fetch);
	ks_cli_wait(cli, &fetch.done);
	*snapshot = fetch.snapshot;
	if (fetch.snapshot)
		return KS_EXIT_DONE;
	if (fetch.outcome == KS_STORE_DONE)
		return ks_cli_error(KS_EXIT_FAILED,
				    "there is no version %" G_GUINT64_FORMAT,
				    version);
	return ks_cli_unreachable();
}

/**
 * ks_cli_read_head() - read the record of the newest version
 * @head: all zeros if no version has been published; to be freed with
 *	ks_release_record_deinit()
 *
 * Return: as ks_cli_fetch().
 */
int ks_cli_read_head(ks_cli_t *cli, ks_release_record_t *head)
{
	ks_cli_row_t row;
	int code = KS_EXIT_DONE;

	*head = (ks_release_record_t){ 0 };
	ks_cli_get(cli, KS_STR(KS_RELEASE_HEAD_KEY), &row);
	if (row.outcome != KS_STORE_DONE)
		return ks_cli_unreachable();
	if (!row.value)
		return KS_EXIT_DONE;
	if (!ks_release_record_parse(
		    head, (ks_str_t){ row.value->str, row.value->len }))
		code = ks_cli_error(KS_EXIT_FAILED, "row %s is corrupt",
				    KS_RELEASE_HEAD_KEY);
	g_string_free(row.value, TRUE);
	return code;
}
