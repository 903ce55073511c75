/*
 * Parser of release notes. Each error message names the file, the line and what
 * was expected there.
 */
#include "build.h"
#include "release.h"

#include <string.h>
#include <yaml.h>

#define MAX_NOTE_BASE (INT64_C(1) << 62)

/* A release note while it is parsed. */
struct reader {
	yaml_document_t doc;
	ks_release_t *release;
	GError **error;
};

/* Called for each key of a mapping; returns false after an error. */
typedef bool (*pair_func_t)(struct reader *reader, void *ctx, const char *key,
			    yaml_node_t *value);

static int node_line(const yaml_node_t *node)
{
	return (int)node->start_mark.line + 1;
}

static bool fail(struct reader *reader, int line, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

static bool fail(struct reader *reader, int line, const char *format, ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	ks_error_set(reader->error, KS_ERROR_BAD_REQUEST, "%s:%d: %s",
		     reader->release->file, line, message);
	g_free(message);
	return false;
}

/*
 * Return: the text of a scalar, or NULL for a sequence, a mapping or a scalar
 * with a null byte.
 */
static const char *scalar_text(const yaml_node_t *node)
{
	const char *text;

	if (node->type != YAML_SCALAR_NODE)
		return NULL;
	text = (const char *)node->data.scalar.value;
	/* The rest of a value after a null byte would be ignored silently. */
	return strlen(text) == node->data.scalar.length ? text : NULL;
}

static bool for_each_pair(struct reader *reader, const yaml_node_t *node,
			  const char *what, pair_func_t func, void *ctx)
{
	GHashTable *seen;
	bool ok = true;

	if (node->type != YAML_MAPPING_NODE)
		return fail(reader, node_line(node), "%s: expected a mapping",
			    what);
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     ok && pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key =
			yaml_document_get_node(&reader->doc, pair->key);
		yaml_node_t *value =
			yaml_document_get_node(&reader->doc, pair->value);
		const char *text = scalar_text(key);

		if (!text)
			ok = fail(reader, node_line(key),
				  "%s: expected a name as key", what);
		else if (!g_hash_table_add(seen, (void *)text))
			ok = fail(reader, node_line(key),
				  "%s: key '%s' occurs twice", what, text);
		else
			ok = func(reader, ctx, text, value);
	}
	g_hash_table_destroy(seen);
	return ok;
}

static bool read_text(struct reader *reader, const char *key,
		      const yaml_node_t *value, char **text)
{
	const char *scalar = scalar_text(value);

	if (!scalar || !*scalar)
		return fail(reader, node_line(value),
			    "%s: expected a non-empty string", key);
	if (!g_utf8_validate(scalar, -1, NULL))
		return fail(reader, node_line(value), "%s: expected UTF-8",
			    key);
	g_free(*text);
	*text = g_strdup(scalar);
	return true;
}

static bool read_name(struct reader *reader, const char *key,
		      const yaml_node_t *value, char **text)
{
	if (!read_text(reader, key, value, text))
		return false;
	return ks_name_is_valid(*text) ||
	       fail(reader, node_line(value),
		    "%s: expected at most %d letters, digits or ._:@+-", key,
		    KS_NAME_MAX_LEN);
}

static bool read_bool(struct reader *reader, const char *key,
		      const yaml_node_t *value, bool *flag)
{
	const char *scalar = scalar_text(value);

	if (!scalar || (strcmp(scalar, "true") && strcmp(scalar, "false")))
		return fail(reader, node_line(value),
			    "%s: expected true or false", key);
	*flag = !strcmp(scalar, "true");
	return true;
}

static bool read_int(struct reader *reader, const char *key,
		     const yaml_node_t *value, int64_t min, int64_t max,
		     int64_t *number)
{
	const char *scalar = scalar_text(value);

	if (!scalar || !ks_str_parse_int(ks_str_from(scalar), min, max, number))
		return fail(reader, node_line(value),
			    "%s: expected an integer from %" G_GINT64_FORMAT
			    " to %" G_GINT64_FORMAT,
			    key, min, max);
	return true;
}

static bool read_names(struct reader *reader, const char *key,
		       const yaml_node_t *value, GPtrArray *names)
{
	if (value->type != YAML_SEQUENCE_NODE)
		return fail(reader, node_line(value),
			    "%s: expected a list of names", key);
	for (yaml_node_item_t *item = value->data.sequence.items.start;
	     item < value->data.sequence.items.top; item++) {
		yaml_node_t *node = yaml_document_get_node(&reader->doc, *item);
		char *name = NULL;

		if (!read_name(reader, key, node, &name)) {
			g_free(name);
			return false;
		}
		if (g_ptr_array_find_with_equal_func(names, name, g_str_equal,
						     NULL)) {
			fail(reader, node_line(node), "%s: '%s' occurs twice",
			     key, name);
			g_free(name);
			return false;
		}
		g_ptr_array_add(names, name);
	}
	return true;
}

static bool on_adapter_change(struct reader *reader, void *ctx, const char *key,
			      yaml_node_t *value)
{
	ks_change_t *change = ctx;

	if (!strcmp(key, "add"))
		return read_names(reader, key, value, change->model->adapters);
	if (!strcmp(key, "remove"))
		return read_names(reader, key, value, change->adapters_removed);
	return fail(reader, node_line(value),
		    "adapters: unknown key '%s', expected add or remove", key);
}

static bool read_adapters(struct reader *reader, ks_change_t *change,
			  const yaml_node_t *value)
{
	if (change->action == KS_CHANGE_ADD)
		return read_names(reader, "adapters", value,
				  change->model->adapters);
	return for_each_pair(reader, value, "adapters", on_adapter_change,
			     change);
}

static bool on_model_key(struct reader *reader, void *ctx, const char *key,
			 yaml_node_t *value)
{
	ks_change_t *change = ctx;

	if (!strcmp(key, "name"))
		return read_name(reader, key, value, &change->model->name);
	if (!strcmp(key, "allow_unserved"))
		return read_bool(reader, key, value, &change->allow_unserved);
	if (change->action != KS_CHANGE_WITHDRAW) {
		if (!strcmp(key, "version"))
			return read_name(reader, key, value,
					 &change->model->version);
		if (!strcmp(key, "adapters"))
			return read_adapters(reader, change, value);
	}
	return fail(reader, node_line(value),
		    "unknown key '%s' of a model, expected name%s or "
		    "allow_unserved",
		    key,
		    change->action == KS_CHANGE_WITHDRAW
			    ? ""
			    : ", version, adapters");
}

static bool read_field(struct reader *reader, ks_upstream_t *upstream,
		       const ks_field_t *field, const yaml_node_t *value)
{
	char **text = KS_FIELD_AT(upstream, field, char *);
	int64_t number = 0;

	switch (field->kind) {
	case KS_FIELD_BOOL:
		return read_bool(reader, field->name, value,
				 KS_FIELD_AT(upstream, field, bool));
	case KS_FIELD_UINT:
		if (!read_int(reader, field->name, value, 1,
			      KS_UPSTREAM_MAX_LIMIT, &number))
			return false;
		*KS_FIELD_AT(upstream, field, unsigned) = (unsigned)number;
		return true;
	case KS_FIELD_ROLE:
		if (scalar_text(value) &&
		    ks_engine_role_parse(
			    KS_FIELD_AT(upstream, field, ks_engine_role_t),
			    ks_str_from(scalar_text(value))))
			return true;
		return fail(reader, node_line(value),
			    "%s: expected both, prefill or decode",
			    field->name);
	case KS_FIELD_ADDRESS:
		if (!read_text(reader, field->name, value, text))
			return false;
		return ks_address_text_is_valid(*text) ||
		       fail(reader, node_line(value),
			    "%s: '%s' is not an address, expected IP:PORT",
			    field->name, *text);
	case KS_FIELD_TEXT:
		break;
	}
	return read_name(reader, field->name, value, text);
}

static bool on_upstream_key(struct reader *reader, void *ctx, const char *key,
			    yaml_node_t *value)
{
	int index = ks_upstream_field_index(key);
	ks_change_t *change = ctx;

	if (!strcmp(key, "allow_unserved") && change->action != KS_CHANGE_ADD)
		return read_bool(reader, key, value, &change->allow_unserved);
	if (index < 0 || (index > 0 && change->action == KS_CHANGE_WITHDRAW))
		return fail(reader, node_line(value),
			    "unknown key '%s' of an upstream%s", key,
			    change->action == KS_CHANGE_WITHDRAW
				    ? ", expected id or allow_unserved"
				    : "");
	change->fields_given |= 1U << index;
	return read_field(reader, change->upstream, &ks_upstream_fields[index],
			  value);
}

static bool check_model_item(struct reader *reader, const ks_change_t *change)
{
	if (!change->model->name)
		return fail(reader, change->line, "a model needs 'name'");
	if (change->action == KS_CHANGE_ADD && !change->model->version)
		return fail(reader, change->line, "model '%s' needs 'version'",
			    change->model->name);
	return true;
}

static bool check_upstream_item(struct reader *reader,
				const ks_change_t *change)
{
	const char *id = change->upstream->id;

	if (!id)
		return fail(reader, change->line, "an upstream needs 'id'");
	if (change->action != KS_CHANGE_ADD)
		return true;
	for (int i = 0; i < KS_UPSTREAM_N_FIELDS; i++)
		if (ks_upstream_fields[i].required &&
		    !(change->fields_given & 1U << i))
			return fail(reader, change->line,
				    "upstream '%s' needs '%s'", id,
				    ks_upstream_fields[i].name);
	return true;
}

/* An item of a "withdraw" list may be the bare name instead of a mapping. */
static bool read_name_item(struct reader *reader, ks_change_t *change,
			   const yaml_node_t *node)
{
	return change->model
		       ? read_name(reader, "name", node, &change->model->name)
		       : read_name(reader, "id", node, &change->upstream->id);
}

static bool read_item(struct reader *reader, ks_change_t *change,
		      const yaml_node_t *node)
{
	if (change->action == KS_CHANGE_WITHDRAW &&
	    node->type == YAML_SCALAR_NODE)
		return read_name_item(reader, change, node);
	if (change->model)
		return for_each_pair(reader, node, "model", on_model_key,
				     change) &&
		       check_model_item(reader, change);
	return for_each_pair(reader, node, "upstream", on_upstream_key,
			     change) &&
	       check_upstream_item(reader, change);
}

static bool on_action(struct reader *reader, void *ctx, const char *key,
		      yaml_node_t *value)
{
	static const char *const names[] = { "add", "change", "withdraw" };
	const bool *is_model = ctx;
	size_t action = 0;

	while (action < G_N_ELEMENTS(names) && strcmp(key, names[action]))
		action++;
	if (action == G_N_ELEMENTS(names))
		return fail(reader, node_line(value),
			    "unknown key '%s', expected add, change or "
			    "withdraw",
			    key);
	if (value->type != YAML_SEQUENCE_NODE)
		return fail(reader, node_line(value), "%s: expected a list",
			    key);
	for (yaml_node_item_t *item = value->data.sequence.items.start;
	     item < value->data.sequence.items.top; item++) {
		yaml_node_t *node = yaml_document_get_node(&reader->doc, *item);
		ks_change_t *change = ks_change_new((ks_change_action_t)action,
						    *is_model, node_line(node));

		g_ptr_array_add(reader->release->changes, change);
		if (!read_item(reader, change, node))
			return false;
	}
	return true;
}

static bool on_top_level_key(struct reader *reader, void *ctx G_GNUC_UNUSED,
			     const char *key, yaml_node_t *value)
{
	ks_release_t *release = reader->release;
	bool is_model = !strcmp(key, "models");
	int64_t base = 0;

	if (!strcmp(key, "base")) {
		if (!read_int(reader, key, value, 0, MAX_NOTE_BASE, &base))
			return false;
		ks_release_set_base(release, (uint64_t)base);
		return true;
	}
	if (!strcmp(key, "note"))
		return read_text(reader, key, value, &release->note);
	if (is_model || !strcmp(key, "upstreams"))
		return for_each_pair(reader, value, key, on_action, &is_model);
	return fail(reader, node_line(value),
		    "unknown key '%s', expected base, note, models or "
		    "upstreams",
		    key);
}

static bool load_document(struct reader *reader, ks_str_t yaml)
{
	yaml_parser_t parser;
	bool ok = true;
	int line;

	if (!ks_yaml_check_depth(yaml, &line))
		return fail(reader, line, "nested too deeply");
	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(
		&parser, (const unsigned char *)(yaml.data ? yaml.data : ""),
		yaml.len);
	if (!yaml_parser_load(&parser, &reader->doc)) {
		memset(&reader->doc, 0, sizeof(reader->doc));
		ok = fail(reader, (int)parser.problem_mark.line + 1,
			  "invalid YAML: %s",
			  parser.problem ? parser.problem : "out of memory");
	}
	yaml_parser_delete(&parser);
	return ok;
}

/**
 * ks_release_parse() - parse a release note
 * @file: file name for error messages
 * @error: set to KS_ERROR_BAD_REQUEST with file, line and what was expected in
 *	the message
 *
 * Return: a release note to be freed with ks_release_free(), or NULL on error.
 */
ks_release_t *ks_release_parse(ks_str_t yaml, const char *file, GError **error)
{
	struct reader reader = { .error = error };
	yaml_node_t *root;
	bool ok;

	reader.release = g_new0(ks_release_t, 1);
	reader.release->file = g_strdup(file);
	reader.release->changes = g_ptr_array_new();
	ok = load_document(&reader, yaml);
	if (ok) {
		root = yaml_document_get_root_node(&reader.doc);
		ok = root ? for_each_pair(&reader, root, "release note",
					  on_top_level_key, NULL)
			  : fail(&reader, 1, "the release note is empty");
		yaml_document_delete(&reader.doc);
	}
	if (ok && !reader.release->changes->len)
		ok = fail(&reader, 1, "the release note changes nothing");
	if (ok)
		return reader.release;
	ks_release_free(reader.release);
	return NULL;
}
