/* JSON messages of the store protocol. */
#include "store_json.h"

#include <jansson.h>
#include <stdlib.h>

static json_t *text_to_json(ks_str_t text)
{
	return json_stringn(text.data ? text.data : "", text.len);
}

static json_t *write_to_json(const ks_store_write_t *write)
{
	const char *op = write->check_only ? "check"
			 : write->remove   ? "remove"
					   : "put";
	json_t *object = json_object();

	json_object_set_new(object, "op", json_string(op));
	json_object_set_new(object, "key", text_to_json(write->key));
	if (!write->check_only && !write->remove)
		json_object_set_new(object, "value",
				    text_to_json(write->value));
	if (write->unconditional)
		return object;
	if (write->etag.len)
		json_object_set_new(object, "if_match",
				    text_to_json(write->etag));
	else
		json_object_set_new(object, "if_none_match", json_string("*"));
	return object;
}

/**
 * ks_store_writes_format() - format the request body of a transaction
 *
 * Return: memory to be freed with g_free().
 */
char *ks_store_writes_format(const ks_store_write_t *writes, size_t n_writes)
{
	json_t *array = json_array();
	char *text, *copy;

	for (size_t i = 0; i < n_writes; i++)
		json_array_append_new(array, write_to_json(&writes[i]));
	text = json_dumps(array, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(array);
	return copy;
}

static bool parse_row(ks_row_t *row, json_t *item)
{
	const char *key, *etag, *value = "";
	size_t key_len, etag_len, value_len = 0;

	if (json_unpack(item, "{s:s%, s:s%, s?:s%}", "key", &key, &key_len,
			"etag", &etag, &etag_len, "value", &value, &value_len))
		return false;
	row->key = (ks_str_t){ key, key_len };
	row->etag = (ks_str_t){ etag, etag_len };
	row->value = (ks_str_t){ value, value_len };
	return true;
}

/**
 * ks_store_rows_parse() - parse {"rows":[{"key","etag","value"}, ...]}
 * @rows: to be freed with ks_store_rows_deinit(), also after a failure
 *
 * Return: false if @body has another form.
 */
bool ks_store_rows_parse(ks_store_rows_t *rows, ks_str_t body)
{
	json_t *array, *item;
	size_t i;

	rows->n_rows = 0;
	rows->rows = NULL;
	rows->root = json_loadb(body.data ? body.data : "", body.len,
				JSON_ALLOW_NUL, NULL);
	array = json_object_get(rows->root, "rows");
	if (!json_is_array(array))
		return false;
	rows->n_rows = json_array_size(array);
	rows->rows = g_new0(ks_row_t, rows->n_rows + 1);
	json_array_foreach(array, i, item)
	{
		if (!parse_row(&rows->rows[i], item))
			return false;
	}
	return true;
}

/**
 * ks_store_rows_deinit() - free rows; a zeroed structure is allowed
 */
void ks_store_rows_deinit(ks_store_rows_t *rows)
{
	g_free(rows->rows);
	json_decref(rows->root);
	rows->rows = NULL;
	rows->root = NULL;
}

/**
 * ks_store_failed_index_parse() - parse {"failed":INDEX}
 * @n_writes: number of writes of the transaction
 *
 * Return: the index, or -1 if it is missing or out of range.
 */
int ks_store_failed_index_parse(ks_str_t body, size_t n_writes)
{
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_t *failed = json_object_get(root, "failed");
	json_int_t index =
		json_is_integer(failed) ? json_integer_value(failed) : -1;

	json_decref(root);
	return index >= 0 && index < (json_int_t)n_writes ? (int)index : -1;
}
