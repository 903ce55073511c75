/*
 * Checks the YAML nodes of settings against libcyaml's schema, because libcyaml
 * reports no line for an unknown key and does not report duplicate keys.
 */
#include "settings_check.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static int node_line(const yaml_node_t *node)
{
	return node ? (int)node->start_mark.line + 1 : 1;
}

/**
 * ks_settings_fail() - set an error with file and line
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
 * ks_settings_document_init() - parse YAML into nodes
 * @file: file name used in error messages; must outlive @doc
 * @error: kept for ks_settings_fail()
 *
 * Return: false, with @error set, if @yaml is invalid, empty or nested too
 * deeply.
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
				 "invalid YAML: %s",
				 parser.problem ? parser.problem
						: "out of memory");
	} else if (!yaml_document_get_root_node(&doc->yaml)) {
		yaml_document_delete(&doc->yaml);
		ok = ks_settings_fail(doc, 1, "the file is empty");
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

static const char *scalar_text(const yaml_node_t *node)
{
	return node->type == YAML_SCALAR_NODE
		       ? (const char *)node->data.scalar.value
		       : NULL;
}

static yaml_node_t *find_value(ks_settings_document_t *doc,
			       const yaml_node_t *node, const char *key)
{
	if (!node || node->type != YAML_MAPPING_NODE)
		return NULL;
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const char *text = scalar_text(
			yaml_document_get_node(&doc->yaml, pair->key));

		if (text && !strcmp(text, key))
			return yaml_document_get_node(&doc->yaml, pair->value);
	}
	return NULL;
}

/**
 * ks_settings_document_line() - find the line of a setting
 * @index: index in a list, or -1
 * @subfield: key in the list item or mapping, or NULL
 *
 * Return: the line of the innermost node that exists, or 0 if @field is absent.
 */
int ks_settings_document_line(ks_settings_document_t *doc, const char *field,
			      int index, const char *subfield)
{
	yaml_node_t *node =
		find_value(doc, yaml_document_get_root_node(&doc->yaml), field);
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
		inner = find_value(doc, node, subfield);
	return node_line(inner ? inner : node);
}

/**
 * ks_settings_document_has() - whether a list item has a key
 */
bool ks_settings_document_has(ks_settings_document_t *doc, const char *list,
			      int index, const char *field)
{
	const yaml_node_t *node =
		find_value(doc, yaml_document_get_root_node(&doc->yaml), list);

	if (!node || node->type != YAML_SEQUENCE_NODE ||
	    index >= node->data.sequence.items.top -
			     node->data.sequence.items.start)
		return false;
	return find_value(doc,
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

static bool check_scalar(ks_settings_document_t *doc, const yaml_node_t *node,
			 const char *key, cyaml_type_e type)
{
	const char *text = scalar_text(node);
	const char *expected = NULL;

	if (type == CYAML_UINT && (!text || !is_uint(text)))
		expected = "an integer from 0 to 4294967295";
	else if (type == CYAML_FLOAT && (!text || !is_float(text)))
		expected = "a number";
	else if (type == CYAML_BOOL &&
		 (!text || (strcmp(text, "true") && strcmp(text, "false"))))
		expected = "true or false";
	else if (type == CYAML_STRING && (!text || !*text))
		expected = "a non-empty string";
	return !expected || ks_settings_fail(doc, node_line(node),
					     "%s: expected %s", key, expected);
}

static bool check_node(ks_settings_document_t *doc, const yaml_node_t *node,
		       const char *key, const cyaml_schema_value_t *schema);

static const cyaml_schema_field_t *
find_field(const cyaml_schema_field_t *fields, const char *key)
{
	for (; fields->key; fields++)
		if (!strcmp(fields->key, key))
			return fields;
	return NULL;
}

static bool check_pair(ks_settings_document_t *doc,
		       const yaml_node_pair_t *pair,
		       const cyaml_schema_field_t *fields, GHashTable *seen)
{
	yaml_node_t *key_node = yaml_document_get_node(&doc->yaml, pair->key);
	const char *key = scalar_text(key_node);
	const cyaml_schema_field_t *field;

	if (!key)
		return ks_settings_fail(doc, node_line(key_node),
					"expected a string as key");
	field = find_field(fields, key);
	if (!field)
		return ks_settings_fail(doc, node_line(key_node),
					"unknown key '%s'", key);
	if (!g_hash_table_add(seen, (void *)key))
		return ks_settings_fail(doc, node_line(key_node),
					"key '%s' occurs twice", key);
	return check_node(doc, yaml_document_get_node(&doc->yaml, pair->value),
			  key, &field->value);
}

static bool check_mapping(ks_settings_document_t *doc, const yaml_node_t *node,
			  const char *key, const cyaml_schema_field_t *fields)
{
	GHashTable *seen;
	bool ok = true;

	if (node->type != YAML_MAPPING_NODE)
		return ks_settings_fail(doc, node_line(node),
					"%s: expected a mapping", key);
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     ok && pair < node->data.mapping.pairs.top; pair++)
		ok = check_pair(doc, pair, fields, seen);
	for (; ok && fields->key; fields++)
		if (!(fields->value.flags & CYAML_FLAG_OPTIONAL) &&
		    !g_hash_table_contains(seen, fields->key))
			ok = ks_settings_fail(doc, node_line(node),
					      "%s: expected key '%s'", key,
					      fields->key);
	g_hash_table_destroy(seen);
	return ok;
}

static bool check_sequence(ks_settings_document_t *doc, const yaml_node_t *node,
			   const char *key, const cyaml_schema_value_t *schema)
{
	if (node->type != YAML_SEQUENCE_NODE)
		return ks_settings_fail(doc, node_line(node),
					"%s: expected a list", key);
	for (yaml_node_item_t *item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++)
		if (!check_node(doc, yaml_document_get_node(&doc->yaml, *item),
				key, schema->sequence.entry))
			return false;
	return true;
}

static bool check_node(ks_settings_document_t *doc, const yaml_node_t *node,
		       const char *key, const cyaml_schema_value_t *schema)
{
	if (schema->type == CYAML_MAPPING)
		return check_mapping(doc, node, key, schema->mapping.fields);
	if (schema->type == CYAML_SEQUENCE)
		return check_sequence(doc, node, key, schema);
	return check_scalar(doc, node, key, schema->type);
}

/**
 * ks_settings_document_check_schema() - check the nodes against a schema
 *
 * Return: false, with an error that names file, line and what was expected.
 */
bool ks_settings_document_check_schema(ks_settings_document_t *doc,
				       const cyaml_schema_value_t *schema)
{
	return check_node(doc, yaml_document_get_root_node(&doc->yaml),
			  "settings", schema);
}
