/* Endpoints for the status, the metrics and the list of models. */
#include "entry_internal.h"

#include <jansson.h>

static void reply_json(h2o_req_t *req, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	ks_http_reply(req, 200, "application/json", ks_str_from(text));
	free(text);
	json_decref(json);
}

static const char *state_name(ks_upstream_state_t state)
{
	static const char *const names[] = {
		[KS_UPSTREAM_UNKNOWN] = "unknown",
		[KS_UPSTREAM_READY] = "ready",
		[KS_UPSTREAM_CHANGING] = "changing",
		[KS_UPSTREAM_LEAVING] = "leaving",
	};

	return (unsigned)state < G_N_ELEMENTS(names) ? names[state] : "unknown";
}

static json_t *upstream_status(const struct entry_upstream *upstream)
{
	const ks_load_t *load = ks_link_client_load(upstream->link);
	int64_t now = ks_loop_now(upstream->entry->loop);

	return json_pack(
		"{s:s, s:s, s:s, s:b, s:s, s:b, s:b, s:b, s:I, s:i, s:{s:i, "
		"s:i, s:I, s:I, s:i, s:i, s:s}}",
		"id", upstream->id, "group", upstream->group->name, "domain",
		upstream->domain, "up",
		(int)ks_link_client_is_up(upstream->link), "state",
		state_name(ks_link_client_state(upstream->link)),
		"host_leaving", (int)upstream->is_host_leaving, "withdrawn",
		(int)upstream->is_withdrawn, "ejected",
		(int)ks_ejection_is_active(&upstream->ejection, now),
		"peer_version",
		(json_int_t)ks_link_client_peer_version(upstream->link),
		"in_flight", (int)upstream->in_flight, "load", "in_flight",
		(int)load->in_flight, "limit", (int)load->limit,
		"prompt_tokens_pending",
		(json_int_t)load->prompt_tokens_pending,
		"output_tokens_pending",
		(json_int_t)load->output_tokens_pending, "kv_blocks_free",
		(int)load->kv_blocks_free, "kv_blocks_total",
		(int)load->kv_blocks_total, "role", load->role);
}

static json_t *tenant_status(const struct entry_tenant *tenant)
{
	json_t *classes = json_object();
	GHashTableIter it;
	void *key, *value;

	g_hash_table_iter_init(&it, tenant->classes);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct entry_class *class = value;
		char name[16];

		g_snprintf(name, sizeof(name), "%u", GPOINTER_TO_UINT(key));
		json_object_set_new(classes, name,
				    json_integer(class->in_flight));
	}
	return classes;
}

/**
 * entry_status_respond() - send the state of the process as JSON
 */
void entry_status_respond(ks_entry_t *entry, h2o_req_t *req)
{
	char hex[KS_ID_HEX_SIZE];
	json_t *upstreams = json_array();
	json_t *in_flight = json_object();

	KS_LIST_FOREACH (it, &entry->upstreams)
		json_array_append_new(
			upstreams, upstream_status(KS_CONTAINER_OF(
					   it, struct entry_upstream, node)));
	for (unsigned i = 0; i < entry->tenants->len; i++) {
		const struct entry_tenant *tenant =
			g_ptr_array_index(entry->tenants, i);

		json_object_set_new(in_flight, tenant->name,
				    tenant_status(tenant));
	}
	reply_json(req,
		   json_pack("{s:s, s:s, s:I, s:b, s:i, s:o, s:o, s:o}", "name",
			     entry->settings->name, "incarnation",
			     ks_id_format(&entry->incarnation, hex), "version",
			     (json_int_t)ks_config_version(entry->config),
			     "stopping", (int)entry->stopping, "requests",
			     (int)entry->n_active, "in_flight", in_flight,
			     "upstreams", upstreams, "planner",
			     entry_plan_status(entry)));
}

/**
 * entry_models_respond() - send the configured models in the OpenAI list format
 */
void entry_models_respond(ks_entry_t *entry, h2o_req_t *req)
{
	const ks_snapshot_t *snapshot = ks_config_current(entry->config);
	json_t *data = json_array();

	for (unsigned i = 0; i < snapshot->models->len; i++) {
		const ks_model_t *model =
			g_ptr_array_index(snapshot->models, i);

		json_array_append_new(data,
				      json_pack("{s:s, s:s, s:s}", "id",
						model->name, "object", "model",
						"owned_by", "knapweedstair"));
	}
	reply_json(req,
		   json_pack("{s:s, s:o}", "object", "list", "data", data));
}

/**
 * entry_metrics_respond() - send the metrics in the Prometheus text format
 */
void entry_metrics_respond(ks_entry_t *entry, h2o_req_t *req)
{
	GString *text = g_string_new(NULL);

	ks_counter_set(ks_metrics_gauge(entry->metrics, "ks_config_version",
					"Version of the snapshot in force.",
					NULL),
		       (int64_t)ks_config_version(entry->config));
	ks_counter_set(ks_metrics_gauge(entry->metrics, "ks_requests_in_flight",
					"Requests being served.", NULL),
		       entry->n_active);
	entry_plan_metrics(entry);
	ks_metrics_format(entry->metrics, text);
	ks_http_reply(req, 200, "text/plain; version=0.0.4",
		      (ks_str_t){ text->str, text->len });
	g_string_free(text, TRUE);
}

/**
 * entry_count_result() - count a request by its result
 * @tenant: escaped as the value of a metric label
 * @result: value of the result label
 */
void entry_count_result(ks_entry_t *entry, const char *tenant,
			unsigned priority, const char *result)
{
	char *labels =
		g_strdup_printf("tenant=\"%s\",class=\"%u\",result=\"%s\"",
				tenant, priority, result);

	ks_counter_add(ks_metrics_counter(entry->metrics, "ks_requests_total",
					  "Requests by result.", labels),
		       1);
	g_free(labels);
}
