/*
 * The form of settings: libcyaml's schema compared with the YAML nodes.
 * libcyaml itself names neither the line of an unknown key nor a key that
 * occurs twice.
 */
#include "settings_check.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static int line_of(const yaml_node_t *node)
{
	return node ? (int)node->start_mark.line + 1 : 1;
}

/**
 * ks_settings_fail() - refuse the settings with file and line
 *
 * Return: false.
 */
bool ks_settings_fail(ks_settings_document_t *doc, int line, const char *format,
		      ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	ks_error_set(doc->error, KS_ERROR_BAD_REQUEST, "%s:%d: %s", doc->file,
		     line, message);
	g_free(message);
	return false;
}

/**
 * ks_settings_document_init() - read the YAML nodes
 * @file: name used in messages; must outlive @doc
 *
 * Return: false, with @error set, if it is no YAML or empty.
 */
bool ks_settings_document_init(ks_settings_document_t *doc, ks_str_t yaml,
			       const char *file, GError **error)
{
	yaml_parser_t parser;
	bool ok;
	int line;

	memset(doc, 0, sizeof(*doc));
	doc->file = file;
	doc->error = error;
	if (!ks_yaml_check_depth(yaml, &line))
		return ks_settings_fail(doc, line, "nested too deeply");
	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(
		&parser, (const unsigned char *)(yaml.data ? yaml.data : ""),
		yaml.len);
	ok = yaml_parser_load(&parser, &doc->yaml);
	if (!ok) {
		memset(&doc->yaml, 0, sizeof(doc->yaml));
		ks_settings_fail(doc, (int)parser.problem_mark.line + 1,
				 "no valid YAML: %s",
				 parser.problem ? parser.problem : "no memory");
	} else if (!yaml_document_get_root_node(&doc->yaml)) {
		yaml_document_delete(&doc->yaml);
		ok = ks_settings_fail(doc, 1, "the settings are empty");
	}
	yaml_parser_delete(&parser);
	return ok;
}

/**
 * ks_settings_document_deinit() - free the nodes
 */
void ks_settings_document_deinit(ks_settings_document_t *doc)
{
	yaml_document_delete(&doc->yaml);
}

static const char *text_of(const yaml_node_t *node)
{
	return node->type == YAML_SCALAR_NODE
		       ? (const char *)node->data.scalar.value
		       : NULL;
}

static yaml_node_t *find_entry(ks_settings_document_t *doc,
			       const yaml_node_t *node, const char *key)
{
	if (!node || node->type != YAML_MAPPING_NODE)
		return NULL;
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const char *text =
			text_of(yaml_document_get_node(&doc->yaml, pair->key));

		if (text && !strcmp(text, key))
			return yaml_document_get_node(&doc->yaml, pair->value);
	}
	return NULL;
}

/**
 * ks_settings_document_line() - line of a setting
 * @index: item of a list, or -1
 * @subfield: key inside of the item, or NULL
 *
 * Return: the line of the innermost node that is there, or 0 when the field is
 * missing.
 */
int ks_settings_document_line(ks_settings_document_t *doc, const char *field,
			      int index, const char *subfield)
{
	yaml_node_t *node =
		find_entry(doc, yaml_document_get_root_node(&doc->yaml), field);
	yaml_node_t *inner = node;

	if (!node)
		return 0;
	if (index >= 0 && node->type == YAML_SEQUENCE_NODE &&
	    index < node->data.sequence.items.top -
			    node->data.sequence.items.start) {
		inner = yaml_document_get_node(
			&doc->yaml, node->data.sequence.items.start[index]);
		node = inner;
	}
	if (subfield)
		inner = find_entry(doc, node, subfield);
	return line_of(inner ? inner : node);
}

/**
 * ks_settings_document_has() - whether an item of a list has a field
 */
bool ks_settings_document_has(ks_settings_document_t *doc, const char *list,
			      int index, const char *field)
{
	const yaml_node_t *node =
		find_entry(doc, yaml_document_get_root_node(&doc->yaml), list);

	if (!node || node->type != YAML_SEQUENCE_NODE ||
	    index >= node->data.sequence.items.top -
			     node->data.sequence.items.start)
		return false;
	return find_entry(doc,
			  yaml_document_get_node(
				  &doc->yaml,
				  node->data.sequence.items.start[index]),
			  field) != NULL;
}

static bool is_uint(const char *text)
{
	int64_t number;

	return ks_str_parse_int(ks_str_from(text), 0, UINT32_MAX, &number);
}

static bool is_float(const char *text)
{
	char *end;
	double number = g_ascii_strtod(text, &end);

	return *text && !*end && isfinite(number);
}

static bool fits_scalar(ks_settings_document_t *doc, const yaml_node_t *node,
			const char *key, cyaml_type_e type)
{
	const char *text = text_of(node);
	const char *expected = NULL;

	if (type == CYAML_UINT && (!text || !is_uint(text)))
		expected = "an integer from 0";
	else if (type == CYAML_FLOAT && (!text || !is_float(text)))
		expected = "a number";
	else if (type == CYAML_BOOL &&
		 (!text || (strcmp(text, "true") && strcmp(text, "false"))))
		expected = "true or false";
	else if (type == CYAML_STRING && (!text || !*text))
		expected = "a text that is not empty";
	return !expected || ks_settings_fail(doc, line_of(node),
					     "%s: expected %s", key, expected);
}

static bool fits(ks_settings_document_t *doc, const yaml_node_t *node,
		 const char *key, const cyaml_schema_value_t *schema);

static const cyaml_schema_field_t *
find_field(const cyaml_schema_field_t *fields, const char *key)
{
	for (; fields->key; fields++)
		if (!strcmp(fields->key, key))
			return fields;
	return NULL;
}

static bool fits_entry(ks_settings_document_t *doc,
		       const yaml_node_pair_t *pair,
		       const cyaml_schema_field_t *fields, GHashTable *seen)
{
	yaml_node_t *key_node = yaml_document_get_node(&doc->yaml, pair->key);
	const char *key = text_of(key_node);
	const cyaml_schema_field_t *field;

	if (!key)
		return ks_settings_fail(doc, line_of(key_node),
					"expected a name as key");
	field = find_field(fields, key);
	if (!field)
		return ks_settings_fail(doc, line_of(key_node),
					"unknown key '%s'", key);
	if (!g_hash_table_add(seen, (void *)key))
		return ks_settings_fail(doc, line_of(key_node),
					"key '%s' occurs twice", key);
	return fits(doc, yaml_document_get_node(&doc->yaml, pair->value), key,
		    &field->value);
}

static bool fits_mapping(ks_settings_document_t *doc, const yaml_node_t *node,
			 const char *key, const cyaml_schema_field_t *fields)
{
	GHashTable *seen;
	bool ok = true;

	if (node->type != YAML_MAPPING_NODE)
		return ks_settings_fail(doc, line_of(node),
					"%s: expected a mapping", key);
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     ok && pair < node->data.mapping.pairs.top; pair++)
		ok = fits_entry(doc, pair, fields, seen);
	for (; ok && fields->key; fields++)
		if (!(fields->value.flags & CYAML_FLAG_OPTIONAL) &&
		    !g_hash_table_contains(seen, fields->key))
			ok = ks_settings_fail(doc, line_of(node),
					      "%s: expected key '%s'", key,
					      fields->key);
	g_hash_table_destroy(seen);
	return ok;
}

static bool fits_sequence(ks_settings_document_t *doc, const yaml_node_t *node,
			  const char *key, const cyaml_schema_value_t *schema)
{
	if (node->type != YAML_SEQUENCE_NODE)
		return ks_settings_fail(doc, line_of(node),
					"%s: expected a list", key);
	for (yaml_node_item_t *item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++)
		if (!fits(doc, yaml_document_get_node(&doc->yaml, *item), key,
			  schema->sequence.entry))
			return false;
	return true;
}

static bool fits(ks_settings_document_t *doc, const yaml_node_t *node,
		 const char *key, const cyaml_schema_value_t *schema)
{
	if (schema->type == CYAML_MAPPING)
		return fits_mapping(doc, node, key, schema->mapping.fields);
	if (schema->type == CYAML_SEQUENCE)
		return fits_sequence(doc, node, key, schema);
	return fits_scalar(doc, node, key, schema->type);
}

/**
 * ks_settings_document_fits() - compare the nodes with a schema
 *
 * Return: false, with an error that names file, line and what was expected.
 */
bool ks_settings_document_fits(ks_settings_document_t *doc,
			       const cyaml_schema_value_t *schema)
{
	return fits(doc, yaml_document_get_root_node(&doc->yaml), "settings",
		    schema);
}
