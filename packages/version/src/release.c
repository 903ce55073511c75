/*
 * Release notes. A release note names a base version and the changes to it;
 * applying it to the snapshot of the base gives the snapshot of the next
 * version.
 */
#include "build.h"
#include "release.h"

#include <string.h>

/*
 * Application of a release note. @models and @upstreams start as copies of
 * those in @base and become those of the new snapshot.
 */
struct apply_state {
	const ks_release_t *release;
	const ks_snapshot_t *base;
	GPtrArray *models;
	GPtrArray *upstreams;
	GError **error;
};

/**
 * ks_change_new() - create an empty change
 * @is_model: the change is to a model, otherwise to an upstream
 * @line: line of the release note at which the change starts, from 1
 */
ks_change_t *ks_change_new(ks_change_action_t action, bool is_model, int line)
{
	ks_change_t *change = g_new0(ks_change_t, 1);

	change->action = action;
	change->line = line;
	change->adapters_removed = g_ptr_array_new_with_free_func(g_free);
	if (is_model)
		change->model = ks_model_new(NULL, NULL);
	else
		change->upstream = g_new0(ks_upstream_t, 1);
	return change;
}

static void free_change(ks_change_t *change)
{
	if (change->model)
		ks_model_free(change->model);
	if (change->upstream)
		ks_upstream_free(change->upstream);
	g_ptr_array_free(change->adapters_removed, TRUE);
	g_free(change);
}

/**
 * ks_release_free() - free a release note; NULL is allowed
 */
void ks_release_free(ks_release_t *release)
{
	if (!release)
		return;
	for (guint i = 0; i < release->changes->len; i++)
		free_change(release->changes->pdata[i]);
	g_ptr_array_free(release->changes, TRUE);
	g_free(release->file);
	g_free(release->note);
	g_free(release);
}

/**
 * ks_release_has_base() - whether the base version is set
 */
bool ks_release_has_base(const ks_release_t *release)
{
	return release->has_base;
}

/**
 * ks_release_base() - version that the release note applies to
 */
uint64_t ks_release_base(const ks_release_t *release)
{
	return release->base;
}

/**
 * ks_release_set_base() - set the version that the release note applies to
 */
void ks_release_set_base(ks_release_t *release, uint64_t base)
{
	release->base = base;
	release->has_base = true;
}

/**
 * ks_release_note() - free text that describes the release, or NULL
 */
const char *ks_release_note(const ks_release_t *release)
{
	return release->note;
}

static bool fail(const struct apply_state *state, int line, const char *format,
		 ...) G_GNUC_PRINTF(3, 4);

static bool fail(const struct apply_state *state, int line, const char *format,
		 ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	ks_error_set(state->error, KS_ERROR_BAD_REQUEST, "%s:%d: %s",
		     state->release->file, line, message);
	g_free(message);
	return false;
}

static ks_model_t *find_model(const struct apply_state *state, const char *name,
			      guint *index)
{
	for (guint i = 0; i < state->models->len; i++) {
		ks_model_t *model = state->models->pdata[i];

		if (strcmp(model->name, name))
			continue;
		if (index)
			*index = i;
		return model;
	}
	return NULL;
}

static ks_upstream_t *find_upstream(const struct apply_state *state,
				    const char *id, guint *index)
{
	for (guint i = 0; i < state->upstreams->len; i++) {
		ks_upstream_t *upstream = state->upstreams->pdata[i];

		if (strcmp(upstream->id, id))
			continue;
		if (index)
			*index = i;
		return upstream;
	}
	return NULL;
}

static bool has_adapter(const ks_model_t *model, const char *name, guint *index)
{
	return g_ptr_array_find_with_equal_func(model->adapters, name,
						g_str_equal, index);
}

static bool modify_model(struct apply_state *state, const ks_change_t *change,
			 ks_model_t *model)
{
	const ks_model_t *wanted = change->model;
	guint index;

	if (wanted->version) {
		g_free(model->version);
		model->version = g_strdup(wanted->version);
	}
	for (guint i = 0; i < change->adapters_removed->len; i++) {
		const char *name = change->adapters_removed->pdata[i];

		if (!has_adapter(model, name, &index))
			return fail(state, change->line,
				    "model '%s' has no adapter '%s'",
				    model->name, name);
		g_ptr_array_remove_index(model->adapters, index);
	}
	for (guint i = 0; i < wanted->adapters->len; i++) {
		const char *name = wanted->adapters->pdata[i];

		if (has_adapter(model, name, NULL))
			return fail(state, change->line,
				    "model '%s' has adapter '%s' already",
				    model->name, name);
		g_ptr_array_add(model->adapters, g_strdup(name));
	}
	return true;
}

static bool apply_to_models(struct apply_state *state,
			    const ks_change_t *change)
{
	const char *name = change->model->name;
	guint index = 0;
	ks_model_t *model = find_model(state, name, &index);

	if (change->action == KS_CHANGE_ADD) {
		if (model)
			return fail(state, change->line,
				    "model '%s' exists already", name);
		g_ptr_array_add(state->models, ks_model_copy(change->model));
		return true;
	}
	if (!model)
		return fail(state, change->line, "there is no model '%s'",
			    name);
	if (change->action == KS_CHANGE_WITHDRAW) {
		g_ptr_array_remove_index(state->models, index);
		return true;
	}
	return modify_model(state, change, model);
}

/*
 * An upstream has either a model or a service, so a change that sets one of
 * them clears the other.
 */
static void modify_upstream(const ks_change_t *change, ks_upstream_t *upstream)
{
	for (int i = 0; i < KS_UPSTREAM_N_FIELDS; i++)
		if (change->fields_given & 1U << i)
			ks_upstream_field_copy(upstream, change->upstream,
					       &ks_upstream_fields[i]);
	if (change->upstream->model && !change->upstream->service)
		g_clear_pointer(&upstream->service, g_free);
	if (change->upstream->service && !change->upstream->model)
		g_clear_pointer(&upstream->model, g_free);
}

static bool apply_to_upstreams(struct apply_state *state,
			       const ks_change_t *change)
{
	const char *id = change->upstream->id;
	guint index = 0;
	ks_upstream_t *upstream = find_upstream(state, id, &index);

	if (change->action == KS_CHANGE_ADD) {
		if (upstream)
			return fail(state, change->line,
				    "upstream '%s' exists already", id);
		g_ptr_array_add(state->upstreams,
				ks_upstream_copy(change->upstream));
		return true;
	}
	if (!upstream)
		return fail(state, change->line, "there is no upstream '%s'",
			    id);
	if (change->action == KS_CHANGE_WITHDRAW)
		g_ptr_array_remove_index(state->upstreams, index);
	else
		modify_upstream(change, upstream);
	return true;
}

static const char *change_name(const ks_change_t *change)
{
	return change->model ? change->model->name : change->upstream->id;
}

/*
 * Refuses two changes to the same model or upstream, as their result would
 * depend on their order in the file.
 */
static bool check_names_unique(const struct apply_state *state)
{
	const GPtrArray *changes = state->release->changes;

	for (guint i = 0; i < changes->len; i++) {
		const ks_change_t *a = changes->pdata[i];

		for (guint j = i + 1; j < changes->len; j++) {
			const ks_change_t *b = changes->pdata[j];

			if (!a->model == !b->model &&
			    !strcmp(change_name(a), change_name(b)))
				return fail(state, b->line,
					    "'%s' is named twice, first in "
					    "line %d",
					    change_name(b), a->line);
		}
	}
	return true;
}

/*
 * Return: the line of the change to upstream @id, else of the change to model
 * @model, else 1.
 */
static int find_change_line(const struct apply_state *state, const char *id,
			    const char *model)
{
	const GPtrArray *changes = state->release->changes;

	for (guint i = 0; i < changes->len; i++) {
		const ks_change_t *change = changes->pdata[i];

		if (change->upstream && id && !strcmp(change->upstream->id, id))
			return change->line;
	}
	for (guint i = 0; i < changes->len; i++) {
		const ks_change_t *change = changes->pdata[i];

		if (change->model && model &&
		    !strcmp(change->model->name, model))
			return change->line;
	}
	return 1;
}

static bool check_upstream(const struct apply_state *state,
			   const ks_upstream_t *upstream, GHashTable *processes)
{
	int line = find_change_line(state, upstream->id, upstream->model);
	const ks_upstream_t *other =
		g_hash_table_lookup(processes, upstream->process);

	if (!upstream->model == !upstream->service)
		return fail(state, line,
			    "upstream '%s' needs either 'model' or 'service'",
			    upstream->id);
	if (upstream->model && !find_model(state, upstream->model, NULL))
		return fail(state, line,
			    "upstream '%s' serves unknown model '%s'",
			    upstream->id, upstream->model);
	if (other)
		return fail(state,
			    MAX(line, find_change_line(state, other->id, NULL)),
			    "upstreams '%s' and '%s' have the same process "
			    "address %s",
			    other->id, upstream->id, upstream->process);
	g_hash_table_insert(processes, upstream->process, (void *)upstream);
	return true;
}

static bool check_upstreams(const struct apply_state *state)
{
	GHashTable *processes = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < state->upstreams->len; i++)
		ok = check_upstream(state, state->upstreams->pdata[i],
				    processes);
	g_hash_table_destroy(processes);
	return ok;
}

static bool is_served(const GPtrArray *upstreams, const char *model)
{
	for (guint i = 0; i < upstreams->len; i++) {
		const ks_upstream_t *upstream = upstreams->pdata[i];

		if (upstream->model && !strcmp(upstream->model, model))
			return true;
	}
	return false;
}

/*
 * Looks for changes to a model or to the upstreams that served it in the base.
 * @allowed is set if any of them has allow_unserved.
 *
 * Return: the line of the first of these changes, or 0 if there is none.
 */
static int find_unserving_change(const struct apply_state *state,
				 const char *model, bool *allowed)
{
	const GPtrArray *changes = state->release->changes;
	int line = 0;

	*allowed = false;
	for (guint i = 0; i < changes->len; i++) {
		const ks_change_t *change = changes->pdata[i];
		const ks_upstream_t *before =
			change->upstream
				? ks_snapshot_find_upstream(
					  state->base,
					  ks_str_from(change->upstream->id))
				: NULL;
		bool affects =
			change->model
				? !strcmp(change->model->name, model)
				: before && !g_strcmp0(before->model, model);

		if (!affects)
			continue;
		line = line ? line : change->line;
		*allowed |= change->allow_unserved;
	}
	return line;
}

/*
 * Refuses a release note that leaves a model without upstreams, unless it says
 * allow_unserved. Models that had no upstream in the base are not checked.
 */
static bool check_models_served(const struct apply_state *state)
{
	for (guint i = 0; i < state->models->len; i++) {
		const ks_model_t *model = state->models->pdata[i];
		bool is_new = !ks_snapshot_find_model(state->base,
						      ks_str_from(model->name));
		bool allowed;
		int line;

		if (is_served(state->upstreams, model->name) ||
		    (!is_new &&
		     !is_served(state->base->upstreams, model->name)))
			continue;
		line = find_unserving_change(state, model->name, &allowed);
		if (!allowed)
			return fail(state, line,
				    "model '%s' is left without an upstream; "
				    "expected one, or allow_unserved: true",
				    model->name);
	}
	return true;
}

static bool apply_changes(struct apply_state *state)
{
	const GPtrArray *changes = state->release->changes;

	if (!check_names_unique(state))
		return false;
	for (guint i = 0; i < changes->len; i++) {
		const ks_change_t *change = changes->pdata[i];

		if (!(change->model ? apply_to_models(state, change)
				    : apply_to_upstreams(state, change)))
			return false;
	}
	return check_upstreams(state) && check_models_served(state);
}

static void copy_base(struct apply_state *state)
{
	state->models =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_model_free);
	state->upstreams = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ks_upstream_free);
	for (guint i = 0; i < state->base->models->len; i++)
		g_ptr_array_add(state->models,
				ks_model_copy(state->base->models->pdata[i]));
	for (guint i = 0; i < state->base->upstreams->len; i++)
		g_ptr_array_add(
			state->upstreams,
			ks_upstream_copy(state->base->upstreams->pdata[i]));
}

/**
 * ks_release_apply() - apply a release note to a snapshot
 * @base: snapshot of the version that the release note applies to; not modified
 * @error: set to KS_ERROR_CONFLICT if the release note applies to another
 *	version, or to KS_ERROR_BAD_REQUEST with file and line in the message if
 *	a change cannot be applied
 *
 * Return: a snapshot with one reference and the version after @base, or NULL on
 * error.
 */
ks_snapshot_t *ks_release_apply(const ks_release_t *release,
				const ks_snapshot_t *base, GError **error)
{
	struct apply_state state = { .release = release,
				     .base = base,
				     .error = error };

	if (release->base != base->version) {
		ks_error_set(error, KS_ERROR_CONFLICT,
			     "%s builds on version %" G_GUINT64_FORMAT
			     ", not on %" G_GUINT64_FORMAT,
			     release->file, release->base, base->version);
		return NULL;
	}
	copy_base(&state);
	if (apply_changes(&state))
		return ks_snapshot_build(base->version + 1, state.models,
					 state.upstreams);
	g_ptr_array_free(state.models, TRUE);
	g_ptr_array_free(state.upstreams, TRUE);
	return NULL;
}
