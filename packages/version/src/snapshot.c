/* Snapshots: immutable versions of the configuration with canonical JSON. */
#include "build.h"
#include "fields.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char *const role_names[] = { "both", "prefill", "decode" };

/**
 * ks_engine_role_name() - name of a role in release notes, snapshots and logs
 */
const char *ks_engine_role_name(ks_engine_role_t role)
{
	return role_names[role];
}

/**
 * ks_engine_role_parse() - parse the name of a role
 *
 * Return: false if there is no such role.
 */
bool ks_engine_role_parse(ks_engine_role_t *role, ks_str_t name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(role_names); i++) {
		if (ks_str_equal(name, ks_str_from(role_names[i]))) {
			*role = (ks_engine_role_t)i;
			return true;
		}
	}
	return false;
}

/**
 * ks_model_new() - create a model without adapters
 */
ks_model_t *ks_model_new(const char *name, const char *version)
{
	ks_model_t *model = g_new0(ks_model_t, 1);

	model->name = g_strdup(name);
	model->version = g_strdup(version);
	model->adapters = g_ptr_array_new_with_free_func(g_free);
	return model;
}

ks_model_t *ks_model_copy(const ks_model_t *model)
{
	ks_model_t *copy = ks_model_new(model->name, model->version);

	for (guint i = 0; i < model->adapters->len; i++)
		g_ptr_array_add(copy->adapters,
				g_strdup(model->adapters->pdata[i]));
	return copy;
}

void ks_model_free(ks_model_t *model)
{
	g_free(model->name);
	g_free(model->version);
	g_ptr_array_free(model->adapters, TRUE);
	g_free(model);
}

ks_upstream_t *ks_upstream_copy(const ks_upstream_t *upstream)
{
	ks_upstream_t *copy = g_new0(ks_upstream_t, 1);

	for (int i = 0; i < KS_UPSTREAM_N_FIELDS; i++)
		ks_upstream_field_copy(copy, upstream, &ks_upstream_fields[i]);
	return copy;
}

void ks_upstream_free(ks_upstream_t *upstream)
{
	g_free(upstream->id);
	g_free(upstream->process);
	g_free(upstream->endpoint);
	g_free(upstream->host);
	g_free(upstream->domain);
	g_free(upstream->model);
	g_free(upstream->service);
	g_free(upstream);
}

static int compare_text(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static int compare_models(const void *a, const void *b)
{
	return strcmp((*(const ks_model_t *const *)a)->name,
		      (*(const ks_model_t *const *)b)->name);
}

static int compare_upstreams(const void *a, const void *b)
{
	return strcmp((*(const ks_upstream_t *const *)a)->id,
		      (*(const ks_upstream_t *const *)b)->id);
}

static json_t *model_to_json(const ks_model_t *model)
{
	json_t *adapters = json_array();

	for (guint i = 0; i < model->adapters->len; i++)
		json_array_append_new(adapters,
				      json_string(model->adapters->pdata[i]));
	return json_pack("{ssssso}", "name", model->name, "version",
			 model->version, "adapters", adapters);
}

static json_t *upstream_to_json(const ks_upstream_t *upstream)
{
	json_t *object = json_object();

	for (int i = 0; i < KS_UPSTREAM_N_FIELDS; i++) {
		const ks_field_t *field = &ks_upstream_fields[i];
		char *text = ks_upstream_field_format(upstream, field);
		json_t *value;

		if (field->kind == KS_FIELD_UINT)
			value = json_integer(
				*KS_FIELD_CONST_AT(upstream, field, unsigned));
		else if (field->kind == KS_FIELD_BOOL)
			value = json_boolean(
				*KS_FIELD_CONST_AT(upstream, field, bool));
		else
			value = text ? json_string(text) : NULL;
		if (value)
			json_object_set_new(object, field->name, value);
		g_free(text);
	}
	return object;
}

static void format_body(ks_snapshot_t *snapshot)
{
	json_t *models = json_array();
	json_t *upstreams = json_array();
	json_t *root;

	for (guint i = 0; i < snapshot->models->len; i++)
		json_array_append_new(
			models, model_to_json(snapshot->models->pdata[i]));
	for (guint i = 0; i < snapshot->upstreams->len; i++)
		json_array_append_new(
			upstreams,
			upstream_to_json(snapshot->upstreams->pdata[i]));
	root = json_pack("{sisIsoso}", "format", KS_SNAPSHOT_FORMAT, "version",
			 (json_int_t)snapshot->version, "models", models,
			 "upstreams", upstreams);
	snapshot->body = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	snapshot->body_len = strlen(snapshot->body);
	json_decref(root);
	ks_digest_compute(&snapshot->digest,
			  (ks_str_t){ snapshot->body, snapshot->body_len });
}

/**
 * ks_snapshot_build() - create a snapshot from models and upstreams
 * @models: array of ks_model_t *, sorted in place and owned by the snapshot
 * @upstreams: array of ks_upstream_t *, sorted in place and owned by the
 *	snapshot
 *
 * Return: a snapshot with one reference.
 */
ks_snapshot_t *ks_snapshot_build(uint64_t version, GPtrArray *models,
				 GPtrArray *upstreams)
{
	ks_snapshot_t *snapshot = g_new0(ks_snapshot_t, 1);

	snapshot->refs = 1;
	snapshot->version = version;
	snapshot->models = models;
	snapshot->upstreams = upstreams;
	g_ptr_array_sort(models, compare_models);
	g_ptr_array_sort(upstreams, compare_upstreams);
	for (guint i = 0; i < models->len; i++)
		g_ptr_array_sort(((ks_model_t *)models->pdata[i])->adapters,
				 compare_text);
	format_body(snapshot);
	return snapshot;
}

/**
 * ks_snapshot_new_empty() - create version 0, before the first release
 *
 * Return: a snapshot with one reference.
 */
ks_snapshot_t *ks_snapshot_new_empty(void)
{
	return ks_snapshot_build(
		0,
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_model_free),
		g_ptr_array_new_with_free_func(
			(GDestroyNotify)ks_upstream_free));
}

/**
 * ks_snapshot_ref() - take a reference
 *
 * Return: @snapshot.
 */
ks_snapshot_t *ks_snapshot_ref(ks_snapshot_t *snapshot)
{
	snapshot->refs++;
	return snapshot;
}

/**
 * ks_snapshot_unref() - drop a reference; NULL is allowed
 */
void ks_snapshot_unref(ks_snapshot_t *snapshot)
{
	if (!snapshot || --snapshot->refs)
		return;
	g_ptr_array_free(snapshot->models, TRUE);
	g_ptr_array_free(snapshot->upstreams, TRUE);
	if (snapshot->compressed)
		g_bytes_unref(snapshot->compressed);
	free(snapshot->body);
	g_free(snapshot);
}

typedef const char *(*name_func_t)(const void *item);

static const char *model_name(const void *item)
{
	return ((const ks_model_t *)item)->name;
}

static const char *upstream_id(const void *item)
{
	return ((const ks_upstream_t *)item)->id;
}

static int compare_names(ks_str_t a, ks_str_t b)
{
	size_t len = MIN(a.len, b.len);
	int order = len ? memcmp(a.data, b.data, len) : 0;

	return order ? order : (a.len > b.len) - (a.len < b.len);
}

/* Binary search, as requests look up one of thousands of upstreams. */
static const void *find_by_name(const GPtrArray *items, ks_str_t name,
				name_func_t name_of)
{
	guint low = 0;
	guint high = items->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const void *item = items->pdata[middle];
		int order = compare_names(name, ks_str_from(name_of(item)));

		if (!order)
			return item;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

/**
 * ks_snapshot_find_model() - find a model by name
 *
 * Return: the model, or NULL if there is none.
 */
const ks_model_t *ks_snapshot_find_model(const ks_snapshot_t *snapshot,
					 ks_str_t name)
{
	return find_by_name(snapshot->models, name, model_name);
}

/**
 * ks_snapshot_find_upstream() - find an upstream by id
 *
 * Return: the upstream, or NULL if there is none.
 */
const ks_upstream_t *ks_snapshot_find_upstream(const ks_snapshot_t *snapshot,
					       ks_str_t id)
{
	return find_by_name(snapshot->upstreams, id, upstream_id);
}

/**
 * ks_snapshot_compressed() - get the compressed form, which is stored and sent
 *
 * Compresses on the first call and keeps the result.
 *
 * Return: bytes that are valid as long as the snapshot.
 */
ks_str_t ks_snapshot_compressed(ks_snapshot_t *snapshot)
{
	ks_str_t compressed;

	if (!snapshot->compressed)
		snapshot->compressed = ks_snapshot_compress(
			(ks_str_t){ snapshot->body, snapshot->body_len });
	compressed.data =
		g_bytes_get_data(snapshot->compressed, &compressed.len);
	return compressed;
}
