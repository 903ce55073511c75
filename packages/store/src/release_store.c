/*
 * Published releases in the store: row release/N for each version N, row
 * release/head for the newest version, and object snapshot/N/DIGEST with the
 * snapshot. If two operators publish version N concurrently, both put an object
 * before one of them fails to write the rows. The digest in the name keeps the
 * objects apart, so that the failed publish cannot overwrite the snapshot.
 */
#include "ks/store.h"

#include <jansson.h>
#include <stdlib.h>

/* State of ks_release_fetch(). */
struct fetch {
	ks_store_t *store;
	uint64_t version;
	ks_release_fetch_func_t func;
	void *ctx;
	ks_release_record_t record;
};

/**
 * ks_release_record_parse() - parse the value of a release row
 *
 * Return: false if @value is invalid; @record then owns no memory.
 */
bool ks_release_record_parse(ks_release_record_t *record, ks_str_t value)
{
	const char *digest, *publisher, *note;
	json_int_t version, published;
	json_t *root =
		json_loadb(value.data ? value.data : "", value.len, 0, NULL);
	bool ok;

	*record = (ks_release_record_t){ 0 };
	ok = root &&
	     !json_unpack(root, "{s:I, s:s, s:s, s:I, s:s}", "version",
			  &version, "digest", &digest, "publisher", &publisher,
			  "published_us", &published, "note", &note) &&
	     version > 0 &&
	     ks_digest_parse(&record->digest, ks_str_from(digest)) &&
	     ks_id_parse(&record->publisher, ks_str_from(publisher));
	if (ok) {
		record->version = (uint64_t)version;
		record->published_us = published;
		record->note = g_strdup(note);
	}
	json_decref(root);
	return ok;
}

/**
 * ks_release_record_format() - format the value of a release row
 *
 * Return: memory to be freed with g_free().
 */
char *ks_release_record_format(const ks_release_record_t *record)
{
	char digest[KS_DIGEST_HEX_SIZE], publisher[KS_ID_HEX_SIZE];
	json_t *root = json_pack(
		"{s:I, s:s, s:s, s:I, s:s}", "version",
		(json_int_t)record->version, "digest",
		ks_digest_format(&record->digest, digest), "publisher",
		ks_id_format(&record->publisher, publisher), "published_us",
		(json_int_t)record->published_us, "note",
		record->note ? record->note : "");
	char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

/**
 * ks_release_record_deinit() - free the memory that a record owns
 */
void ks_release_record_deinit(ks_release_record_t *record)
{
	g_clear_pointer(&record->note, g_free);
}

/**
 * ks_release_row_key() - format the key of the row of a version
 *
 * Return: memory to be freed with g_free().
 */
char *ks_release_row_key(uint64_t version)
{
	return g_strdup_printf(KS_RELEASE_PREFIX "%" G_GUINT64_FORMAT, version);
}

/**
 * ks_release_object_name() - format the name of the object of a snapshot
 *
 * Return: memory to be freed with g_free().
 */
char *ks_release_object_name(uint64_t version, const ks_digest_t *digest)
{
	char hex[KS_DIGEST_HEX_SIZE];

	return g_strdup_printf("snapshot/%" G_GUINT64_FORMAT "/%s", version,
			       ks_digest_format(digest, hex));
}

static void finish(struct fetch *fetch, ks_store_outcome_t outcome,
		   bool has_record, ks_snapshot_t *snapshot)
{
	fetch->func(fetch->ctx, outcome, has_record ? &fetch->record : NULL,
		    snapshot);
	ks_snapshot_unref(snapshot);
	ks_release_record_deinit(&fetch->record);
	g_free(fetch);
}

static ks_snapshot_t *parse_compressed(ks_str_t compressed)
{
	GBytes *bytes = ks_snapshot_decompress(compressed);
	ks_snapshot_t *snapshot;
	ks_str_t body;

	if (!bytes)
		return NULL;
	body.data = g_bytes_get_data(bytes, &body.len);
	snapshot = ks_snapshot_parse(body, NULL);
	g_bytes_unref(bytes);
	return snapshot;
}

static void on_object(void *ctx, ks_store_outcome_t outcome,
		      const ks_row_t *row)
{
	struct fetch *fetch = ctx;
	ks_snapshot_t *snapshot = NULL;

	if (outcome == KS_STORE_DONE)
		snapshot = parse_compressed(row->value);
	if (snapshot && snapshot->version == fetch->record.version &&
	    ks_digest_equal(&snapshot->digest, &fetch->record.digest)) {
		finish(fetch, KS_STORE_DONE, true, snapshot);
		return;
	}
	if (outcome == KS_STORE_DONE)
		ks_log(KS_LOG_STORE, KS_LOG_WARN,
		       "snapshot %" G_GUINT64_FORMAT " is missing or invalid",
		       fetch->record.version);
	ks_snapshot_unref(snapshot);
	finish(fetch, KS_STORE_UNREACHABLE, false, NULL);
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	struct fetch *fetch = ctx;
	char *name;

	if (outcome != KS_STORE_DONE || !row->etag.len) {
		finish(fetch, outcome, false, NULL);
		return;
	}
	if (!ks_release_record_parse(&fetch->record, row->value) ||
	    fetch->record.version != fetch->version) {
		finish(fetch, KS_STORE_UNREACHABLE, false, NULL);
		return;
	}
	name = ks_release_object_name(fetch->version, &fetch->record.digest);
	fetch->store->object_get(fetch->store->impl, ks_str_from(name),
				 on_object, fetch);
	g_free(name);
}

/**
 * ks_release_fetch() - read a release and its snapshot
 * @version: version to read, or 0 for the empty snapshot
 * @func: called once; for version 0 before this function returns
 */
void ks_release_fetch(ks_store_t *store, uint64_t version,
		      ks_release_fetch_func_t func, void *ctx)
{
	struct fetch *fetch = g_new0(struct fetch, 1);
	char *key;

	fetch->store = store;
	fetch->version = version;
	fetch->func = func;
	fetch->ctx = ctx;
	if (!version) {
		finish(fetch, KS_STORE_DONE, false, ks_snapshot_new_empty());
		return;
	}
	key = ks_release_row_key(version);
	store->get(store->impl, ks_str_from(key), on_row, fetch);
	g_free(key);
}
