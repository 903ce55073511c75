/*
 * Parser of snapshots. Snapshots arrive from the store and from peers, so every
 * field and every reference is validated before a snapshot is used.
 */
#include "build.h"
#include "fields.h"

#include <jansson.h>
#include <string.h>

#define MAX_VERSION ((json_int_t)1 << 62)

static bool fail(GError **error, const char *what)
{
	ks_error_set(error, KS_ERROR_BAD_REQUEST, "invalid snapshot: %s", what);
	return false;
}

static ks_model_t *parse_model(json_t *item)
{
	const char *name, *version, *adapter;
	json_t *adapters, *value;
	ks_model_t *model;
	size_t i;

	if (json_unpack(item, "{s:s, s:s, s:o !}", "name", &name, "version",
			&version, "adapters", &adapters) ||
	    !ks_name_is_valid(name) || !ks_name_is_valid(version))
		return NULL;
	model = ks_model_new(name, version);
	json_array_foreach(adapters, i, value)
	{
		adapter = json_string_value(value);
		if (adapter && ks_name_is_valid(adapter))
			g_ptr_array_add(model->adapters, g_strdup(adapter));
	}
	if (!json_is_array(adapters) ||
	    model->adapters->len != json_array_size(adapters)) {
		ks_model_free(model);
		model = NULL;
	}
	return model;
}

static bool parse_field(ks_upstream_t *upstream, const ks_field_t *field,
			json_t *value)
{
	const char *text = json_string_value(value);

	switch (field->kind) {
	case KS_FIELD_ROLE:
		return text &&
		       ks_engine_role_parse(
			       KS_FIELD_AT(upstream, field, ks_engine_role_t),
			       ks_str_from(text));
	case KS_FIELD_UINT:
		if (!json_is_integer(value) || json_integer_value(value) < 1 ||
		    json_integer_value(value) > KS_UPSTREAM_MAX_LIMIT)
			return false;
		*KS_FIELD_AT(upstream, field, unsigned) =
			(unsigned)json_integer_value(value);
		return true;
	case KS_FIELD_BOOL:
		*KS_FIELD_AT(upstream, field, bool) = json_is_true(value);
		return json_is_boolean(value);
	case KS_FIELD_ADDRESS:
		if (!text || !ks_address_text_is_valid(text))
			return false;
		break;
	case KS_FIELD_TEXT:
		if (!text || !ks_name_is_valid(text))
			return false;
		break;
	}
	*KS_FIELD_AT(upstream, field, char *) = g_strdup(text);
	return true;
}

static ks_upstream_t *parse_upstream(json_t *item)
{
	ks_upstream_t *upstream = g_new0(ks_upstream_t, 1);
	size_t n_known = 0;
	bool ok = json_is_object(item);

	for (int i = 0; ok && i < KS_UPSTREAM_N_FIELDS; i++) {
		const ks_field_t *field = &ks_upstream_fields[i];
		json_t *value = json_object_get(item, field->name);

		if (value) {
			n_known++;
			ok = parse_field(upstream, field, value);
		} else {
			ok = !field->required;
		}
	}
	if (ok && n_known == json_object_size(item) &&
	    !upstream->model != !upstream->service)
		return upstream;
	ks_upstream_free(upstream);
	return NULL;
}

static bool parse_lists(json_t *models, json_t *upstreams,
			GPtrArray *parsed_models, GPtrArray *parsed_upstreams)
{
	json_t *item;
	size_t i;

	if (!json_is_array(models) || !json_is_array(upstreams))
		return false;
	json_array_foreach(models, i, item)
	{
		ks_model_t *model = parse_model(item);

		if (!model)
			return false;
		g_ptr_array_add(parsed_models, model);
	}
	json_array_foreach(upstreams, i, item)
	{
		ks_upstream_t *upstream = parse_upstream(item);

		if (!upstream)
			return false;
		g_ptr_array_add(parsed_upstreams, upstream);
	}
	return true;
}

static bool are_names_unique(const ks_snapshot_t *snapshot)
{
	for (guint i = 1; i < snapshot->models->len; i++) {
		const ks_model_t *a = snapshot->models->pdata[i - 1];
		const ks_model_t *b = snapshot->models->pdata[i];

		if (!strcmp(a->name, b->name))
			return false;
	}
	for (guint i = 1; i < snapshot->upstreams->len; i++) {
		const ks_upstream_t *a = snapshot->upstreams->pdata[i - 1];
		const ks_upstream_t *b = snapshot->upstreams->pdata[i];

		if (!strcmp(a->id, b->id))
			return false;
	}
	return true;
}

static bool are_references_valid(const ks_snapshot_t *snapshot)
{
	GHashTable *processes = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < snapshot->upstreams->len; i++) {
		const ks_upstream_t *upstream = snapshot->upstreams->pdata[i];

		ok = g_hash_table_add(processes, upstream->process) &&
		     (!upstream->model ||
		      ks_snapshot_find_model(snapshot,
					     ks_str_from(upstream->model)));
	}
	g_hash_table_destroy(processes);
	return ok;
}

/*
 * The body must be canonical JSON. ks_snapshot_build() serializes the contents
 * again, so a body in any other form would get another digest here.
 */
static bool check_snapshot(const ks_snapshot_t *snapshot, ks_str_t body,
			   GError **error)
{
	ks_str_t canonical = { snapshot->body, snapshot->body_len };

	if (!are_names_unique(snapshot))
		return fail(error, "duplicate model name or upstream id");
	if (!are_references_valid(snapshot))
		return fail(error,
			    "unknown model or duplicate process address");
	if (!ks_str_equal(canonical, body))
		return fail(error, "the JSON is not canonical");
	return true;
}

static ks_snapshot_t *parse_root(json_t *root, GError **error)
{
	GPtrArray *parsed_models, *parsed_upstreams;
	json_t *models, *upstreams;
	json_int_t version;
	int format;

	if (json_unpack(root, "{s:i, s:I, s:o, s:o !}", "format", &format,
			"version", &version, "models", &models, "upstreams",
			&upstreams) ||
	    format != KS_SNAPSHOT_FORMAT || version < 0 ||
	    version > MAX_VERSION) {
		fail(error, "invalid fields, format or version");
		return NULL;
	}
	parsed_models =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_model_free);
	parsed_upstreams = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ks_upstream_free);
	if (parse_lists(models, upstreams, parsed_models, parsed_upstreams))
		return ks_snapshot_build((uint64_t)version, parsed_models,
					 parsed_upstreams);
	g_ptr_array_free(parsed_models, TRUE);
	g_ptr_array_free(parsed_upstreams, TRUE);
	fail(error, "invalid model or upstream");
	return NULL;
}

/**
 * ks_snapshot_parse() - parse and validate a snapshot
 * @body: canonical JSON
 *
 * Return: a snapshot with one reference, or NULL with KS_ERROR_BAD_REQUEST.
 */
ks_snapshot_t *ks_snapshot_parse(ks_str_t body, GError **error)
{
	json_t *root = json_loadb(body.data ? body.data : "", body.len,
				  JSON_REJECT_DUPLICATES, NULL);
	ks_snapshot_t *snapshot;

	if (!root) {
		fail(error, "not valid JSON");
		return NULL;
	}
	snapshot = parse_root(root, error);
	json_decref(root);
	if (snapshot && !check_snapshot(snapshot, body, error)) {
		ks_snapshot_unref(snapshot);
		return NULL;
	}
	return snapshot;
}
