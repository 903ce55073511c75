/*
 * Encoding of the plan rows in the store. Row plan/MODEL is JSON:
 *	{"number":N,"fence":F,"roles":{"UPSTREAM":"prefill|decode|both"}}
 */
#include "planner_row.h"

#include <jansson.h>

/**
 * ks_planner_row_parse() - parse the value of a plan row
 * @number: number of the plan; set on success only
 * @roles: replaced by a map from engine id to role, on success only
 *
 * Engines with an unknown role name are skipped.
 *
 * Return: false if the value is malformed.
 */
bool ks_planner_row_parse(ks_str_t value, uint64_t *number, GHashTable *roles)
{
	json_t *root =
		json_loadb(value.len ? value.data : "", value.len, 0, NULL);
	const json_t *found = json_object_get(root, "number");
	json_t *entries = json_object_get(root, "roles");
	bool ok = json_is_integer(found) && json_is_object(entries);
	const char *engine;
	json_t *name;

	if (ok) {
		*number = (uint64_t)json_integer_value(found);
		g_hash_table_remove_all(roles);
	}
	json_object_foreach(ok ? entries : NULL, engine, name)
	{
		ks_str_t text = ks_str_from(json_string_value(name));
		ks_engine_role_t role;

		if (ks_engine_role_parse(&role, text))
			g_hash_table_insert(roles, g_strdup(engine),
					    GINT_TO_POINTER(role));
	}
	json_decref(root);
	return ok;
}

/**
 * ks_planner_row_format() - format the value of a plan row
 * @engines: every engine of the model, with its role before @change and a
 *	NUL-terminated id
 *
 * Return: memory to be freed with g_free().
 */
char *ks_planner_row_format(uint64_t number, uint64_t fence,
			    const ks_plan_engine_t *engines, size_t n_engines,
			    const ks_plan_change_t *change)
{
	json_t *roles = json_object();
	json_t *root;
	char *text, *copy;

	for (size_t i = 0; i < n_engines; i++) {
		ks_engine_role_t role =
			i == change->engine ? change->to : engines[i].role;

		json_object_set_new(roles, engines[i].id.data,
				    json_string(ks_engine_role_name(role)));
	}
	root = json_pack("{s:I,s:I,s:o}", "number", (json_int_t)number, "fence",
			 (json_int_t)fence, "roles", roles);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	copy = g_strdup(text);
	free(text);
	return copy;
}
