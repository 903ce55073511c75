/* Textual difference of two snapshots, one line per change. */
#include "fields.h"

static void diff_adapters(GString *out, const char *sign, const ks_model_t *a,
			  const ks_model_t *b)
{
	for (guint i = 0; i < a->adapters->len; i++)
		if (!g_ptr_array_find_with_equal_func(b->adapters,
						      a->adapters->pdata[i],
						      g_str_equal, NULL))
			g_string_append_printf(
				out, "~ model %s: %sadapter %s\n", a->name,
				sign, (const char *)a->adapters->pdata[i]);
}

static void diff_model(GString *out, const ks_model_t *from,
		       const ks_model_t *to)
{
	if (!g_str_equal(from->version, to->version))
		g_string_append_printf(out, "~ model %s: version %s -> %s\n",
				       to->name, from->version, to->version);
	diff_adapters(out, "-", from, to);
	diff_adapters(out, "+", to, from);
}

static void diff_upstream(GString *out, const ks_upstream_t *from,
			  const ks_upstream_t *to)
{
	for (int i = 0; i < KS_UPSTREAM_N_FIELDS; i++) {
		const ks_field_t *field = &ks_upstream_fields[i];
		char *before = ks_upstream_field_format(from, field);
		char *after = ks_upstream_field_format(to, field);

		if (g_strcmp0(before, after))
			g_string_append_printf(
				out, "~ upstream %s: %s %s -> %s\n", to->id,
				field->name, before ? before : "(none)",
				after ? after : "(none)");
		g_free(before);
		g_free(after);
	}
}

static void diff_models(GString *out, const ks_snapshot_t *from,
			const ks_snapshot_t *to)
{
	for (guint i = 0; i < from->models->len; i++) {
		const ks_model_t *model = from->models->pdata[i];

		if (!ks_snapshot_find_model(to, ks_str_from(model->name)))
			g_string_append_printf(out, "- model %s %s\n",
					       model->name, model->version);
	}
	for (guint i = 0; i < to->models->len; i++) {
		const ks_model_t *model = to->models->pdata[i];
		const ks_model_t *old =
			ks_snapshot_find_model(from, ks_str_from(model->name));

		if (old)
			diff_model(out, old, model);
		else
			g_string_append_printf(out, "+ model %s %s\n",
					       model->name, model->version);
	}
}

static void diff_upstreams(GString *out, const ks_snapshot_t *from,
			   const ks_snapshot_t *to)
{
	for (guint i = 0; i < from->upstreams->len; i++) {
		const ks_upstream_t *upstream = from->upstreams->pdata[i];

		if (!ks_snapshot_find_upstream(to, ks_str_from(upstream->id)))
			g_string_append_printf(out, "- upstream %s at %s\n",
					       upstream->id, upstream->process);
	}
	for (guint i = 0; i < to->upstreams->len; i++) {
		const ks_upstream_t *upstream = to->upstreams->pdata[i];
		const ks_upstream_t *old = ks_snapshot_find_upstream(
			from, ks_str_from(upstream->id));

		if (old)
			diff_upstream(out, old, upstream);
		else
			g_string_append_printf(out, "+ upstream %s at %s\n",
					       upstream->id, upstream->process);
	}
}

/**
 * ks_snapshot_diff() - list the changes from one snapshot to another
 *
 * Return: one line per change, which starts with "+" for an addition, "-" for a
 * removal or "~" for a modification; empty when there are no changes. To be
 * freed with g_free().
 */
char *ks_snapshot_diff(const ks_snapshot_t *from, const ks_snapshot_t *to)
{
	GString *out = g_string_new(NULL);

	diff_models(out, from, to);
	diff_upstreams(out, from, to);
	return g_string_free(out, FALSE);
}
