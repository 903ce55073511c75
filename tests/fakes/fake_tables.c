/* In-memory rows and objects with conditional writes. */
#include "fake_tables.h"

#include <string.h>

static void free_row(void *data)
{
	fake_row_t *row = data;

	g_free(row->key);
	g_free(row->etag);
	g_free(row->old_etag);
	g_string_free(row->value, TRUE);
	g_string_free(row->old_value, TRUE);
	g_free(row);
}

static int compare_keys(const void *a, const void *b, void *ctx G_GNUC_UNUSED)
{
	return strcmp(a, b);
}

/**
 * fake_tables_init() - initialize without rows and objects
 */
void fake_tables_init(fake_tables_t *tables)
{
	tables->rows = g_tree_new_full(compare_keys, NULL, NULL, free_row);
	tables->objects = g_tree_new_full(compare_keys, NULL, NULL, free_row);
	tables->last_etag = 0;
}

/**
 * fake_tables_deinit() - free every row and object
 */
void fake_tables_deinit(fake_tables_t *tables)
{
	g_tree_destroy(tables->rows);
	g_tree_destroy(tables->objects);
}

static fake_row_t *lookup(GTree *tree, ks_str_t key)
{
	char *text = ks_str_dup(key);
	fake_row_t *row = g_tree_lookup(tree, text);

	g_free(text);
	return row;
}

/**
 * fake_tables_get() - look up a row
 *
 * Return: the row, or NULL if there is none with that key.
 */
const fake_row_t *fake_tables_get(const fake_tables_t *tables, ks_str_t key)
{
	return lookup(tables->rows, key);
}

/**
 * fake_tables_get_object() - look up an object
 *
 * Return: the object, or NULL if there is none with that name.
 */
const fake_row_t *fake_tables_get_object(const fake_tables_t *tables,
					 ks_str_t name)
{
	return lookup(tables->objects, name);
}

/* Context of list_row(). */
struct listing {
	ks_str_t prefix;
	GPtrArray *rows;
};

static gboolean list_row(void *key, void *value, void *ctx)
{
	struct listing *listing = ctx;

	if (ks_str_has_prefix(ks_str_from(key), listing->prefix))
		g_ptr_array_add(listing->rows, value);
	return FALSE;
}

/**
 * fake_tables_list() - list the rows whose keys have a prefix
 *
 * Return: array of fake_row_t * in the order of the keys, freed by the caller;
 * the rows are owned by the tables.
 */
GPtrArray *fake_tables_list(const fake_tables_t *tables, ks_str_t prefix)
{
	struct listing listing = { prefix, g_ptr_array_new() };

	g_tree_foreach(tables->rows, list_row, &listing);
	return listing.rows;
}

/* Checks the precondition of a write; an empty etag requires a missing row. */
static bool holds(const fake_tables_t *tables, const ks_store_write_t *write)
{
	const fake_row_t *row = lookup(tables->rows, write->key);

	if (write->unconditional)
		return true;
	if (!write->etag.len)
		return !row;
	return row && ks_str_equal(ks_str_from(row->etag), write->etag);
}

static fake_row_t *put(fake_tables_t *tables, GTree *tree, ks_str_t key,
		       ks_str_t value)
{
	fake_row_t *row = lookup(tree, key);

	if (!row) {
		row = g_new0(fake_row_t, 1);
		row->key = ks_str_dup(key);
		row->value = g_string_new(NULL);
		row->old_value = g_string_new(NULL);
		g_tree_insert(tree, row->key, row);
	}
	g_string_truncate(row->old_value, 0);
	g_string_append_len(row->old_value, row->value->str,
			    (gssize)row->value->len);
	g_free(row->old_etag);
	row->old_etag = row->etag ? row->etag : g_strdup("");
	g_string_truncate(row->value, 0);
	g_string_append_len(row->value, value.data, (gssize)value.len);
	row->etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"",
				    ++tables->last_etag);
	return row;
}

/* Context of copy_row(). */
struct copying {
	fake_tables_t *tables;
	GTree *tree;
};

static gboolean copy_row(void *key, void *value, void *ctx)
{
	const struct copying *copying = ctx;
	const fake_row_t *row = value;
	fake_row_t *copy = put(copying->tables, copying->tree, ks_str_from(key),
			       (ks_str_t){ row->value->str, row->value->len });

	g_free(copy->etag);
	copy->etag = g_strdup(row->etag);
	g_free(copy->old_etag);
	copy->old_etag = g_strdup(row->old_etag);
	g_string_append_len(copy->old_value, row->old_value->str,
			    (gssize)row->old_value->len);
	return FALSE;
}

/**
 * fake_tables_copy() - initialize with the rows and objects of other tables
 *
 * The copy assigns no etag that the original has assigned.
 */
void fake_tables_copy(fake_tables_t *copy, const fake_tables_t *tables)
{
	struct copying rows, objects;

	fake_tables_init(copy);
	rows = (struct copying){ copy, copy->rows };
	objects = (struct copying){ copy, copy->objects };
	g_tree_foreach(tables->rows, copy_row, &rows);
	g_tree_foreach(tables->objects, copy_row, &objects);
	copy->last_etag = tables->last_etag;
}

static void apply(fake_tables_t *tables, const ks_store_write_t *write)
{
	char *key;

	if (write->check_only)
		return;
	if (!write->remove) {
		put(tables, tables->rows, write->key, write->value);
		return;
	}
	key = ks_str_dup(write->key);
	g_tree_remove(tables->rows, key);
	g_free(key);
}

/**
 * fake_tables_transact() - apply all writes atomically
 *
 * Return: -1 on success, or the index of the first write whose precondition
 * failed; no write is applied then.
 */
int fake_tables_transact(fake_tables_t *tables, const ks_store_write_t *writes,
			 size_t n_writes)
{
	for (size_t i = 0; i < n_writes; i++)
		if (!holds(tables, &writes[i]))
			return (int)i;
	for (size_t i = 0; i < n_writes; i++)
		apply(tables, &writes[i]);
	return -1;
}

/**
 * fake_tables_remove_prefix() - remove the rows whose keys have a prefix
 */
void fake_tables_remove_prefix(fake_tables_t *tables, ks_str_t prefix)
{
	GPtrArray *rows = fake_tables_list(tables, prefix);

	for (guint i = 0; i < rows->len; i++)
		g_tree_remove(tables->rows,
			      ((const fake_row_t *)rows->pdata[i])->key);
	g_ptr_array_free(rows, TRUE);
}

/**
 * fake_tables_put_object() - create or replace an object
 *
 * Return: the object, owned by the tables.
 */
const fake_row_t *fake_tables_put_object(fake_tables_t *tables, ks_str_t name,
					 ks_str_t body)
{
	return put(tables, tables->objects, name, body);
}
