/* Reads the settings of a daemon from YAML, adds defaults and checks them. */
#include "settings_check.h"

#include <stdlib.h>
#include <string.h>

#define MAX_LIST_ITEMS 10000

/* Characters of the names of duties. */
#define DUTY_CHARACTERS "abcdefghijklmnopqrstuvwxyz_"

static const cyaml_schema_value_t string_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, CYAML_UNLIMITED),
};

#define STRING(type, name, flags)                                         \
	CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER | (flags), type, \
			       name, 0, CYAML_UNLIMITED)
#define UINT(type, name) \
	CYAML_FIELD_UINT(#name, CYAML_FLAG_OPTIONAL, type, name)
#define FLOAT(type, name) \
	CYAML_FIELD_FLOAT(#name, CYAML_FLAG_OPTIONAL, type, name)

static const cyaml_schema_field_t tenant_fields[] = {
	STRING(ks_tenant_settings_t, name, 0),
	STRING(ks_tenant_settings_t, key_sha256, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_FLOAT("weight", CYAML_FLAG_OPTIONAL, ks_tenant_settings_t,
			  weight),
	UINT(ks_tenant_settings_t, priority),
	UINT(ks_tenant_settings_t, max_concurrency),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t tenant_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ks_tenant_settings_t,
			    tenant_fields),
};

static const cyaml_schema_field_t route_fields[] = {
	STRING(ks_route_settings_t, path, 0),
	STRING(ks_route_settings_t, method, CYAML_FLAG_OPTIONAL),
	STRING(ks_route_settings_t, service, 0),
	CYAML_FIELD_BOOL("idempotent", CYAML_FLAG_OPTIONAL, ks_route_settings_t,
			 idempotent),
	UINT(ks_route_settings_t, timeout_ms),
	UINT(ks_route_settings_t, priority),
	STRING(ks_route_settings_t, tenant, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t route_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, ks_route_settings_t,
			    route_fields),
};

static const cyaml_schema_field_t level_fields[] = {
	STRING(ks_log_level_settings_t, main, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, http, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, link, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, route, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, ledger, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, store, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, config, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, lease, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, order, CYAML_FLAG_OPTIONAL),
	STRING(ks_log_level_settings_t, plan, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t settings_fields[] = {
	STRING(ks_settings_t, role, 0),
	STRING(ks_settings_t, name, 0),
	STRING(ks_settings_t, domain, 0),
	STRING(ks_settings_t, host, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, listen, 0),
	STRING(ks_settings_t, upstream, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, endpoint, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, platform, 0),
	STRING(ks_settings_t, platform_token, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, ready, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, metrics, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, peer, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, log_level, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_MAPPING("log_levels", CYAML_FLAG_OPTIONAL, ks_settings_t,
			    log_levels, level_fields),
	CYAML_FIELD_BOOL("link_plain", CYAML_FLAG_OPTIONAL, ks_settings_t,
			 link_plain),
	STRING(ks_settings_t, link_public_key, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, link_secret_key, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, link_server_key, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_SEQUENCE("link_allowed_keys",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     ks_settings_t, link_allowed_keys, &string_schema,
			     0, MAX_LIST_ITEMS),
	CYAML_FIELD_SEQUENCE(
		"tenants", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		ks_settings_t, tenants, &tenant_schema, 0, MAX_LIST_ITEMS),
	CYAML_FIELD_SEQUENCE("routes", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     ks_settings_t, routes, &route_schema, 0,
			     MAX_LIST_ITEMS),
	UINT(ks_settings_t, completion_timeout_ms),
	UINT(ks_settings_t, max_body_kib),
	UINT(ks_settings_t, max_answer_kib),
	UINT(ks_settings_t, max_requests),
	UINT(ks_settings_t, poll_ms),
	UINT(ks_settings_t, heartbeat_ms),
	UINT(ks_settings_t, silence_ms),
	UINT(ks_settings_t, drain_delay_ms),
	UINT(ks_settings_t, subset),
	STRING(ks_settings_t, routing_policy, CYAML_FLAG_OPTIONAL),
	UINT(ks_settings_t, lease_ms),
	UINT(ks_settings_t, store_writes_per_s),
	CYAML_FIELD_FLOAT("role_change_cost", CYAML_FLAG_OPTIONAL,
			  ks_settings_t, role_change_cost),
	UINT(ks_settings_t, role_dwell_ms),
	STRING(ks_settings_t, operator_token_sha256, CYAML_FLAG_OPTIONAL),
	FLOAT(ks_settings_t, stop_grace_s),
	FLOAT(ks_settings_t, retry_ratio),
	FLOAT(ks_settings_t, retry_slack),
	FLOAT(ks_settings_t, retry_window_s),
	UINT(ks_settings_t, order_turns_ms),
	FLOAT(ks_settings_t, prefill_share),
	UINT(ks_settings_t, announce_ms),
	UINT(ks_settings_t, leaving_notice_ms),
	UINT(ks_settings_t, key_max_age_ms),
	STRING(ks_settings_t, duty_api, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, duties, CYAML_FLAG_OPTIONAL),
	FLOAT(ks_settings_t, usage_window_s),
	FLOAT(ks_settings_t, usage_late_s),
	UINT(ks_settings_t, memory_mb),
	UINT(ks_settings_t, max_descriptors),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, ks_settings_t, settings_fields),
};

/* Appends a message of libcyaml, which names line and column, to @ctx. */
static void collect_message(cyaml_log_t level G_GNUC_UNUSED, void *ctx,
			    const char *format, va_list args)
{
	g_string_append_vprintf(ctx, format, args);
}

static const cyaml_config_t base_config = {
	.log_fn = collect_message,
	.mem_fn = cyaml_mem,
	.log_level = CYAML_LOG_ERROR,
	.flags = CYAML_CFG_DEFAULT,
};

/*
 * Sets the default of a key that is absent. An explicit 0 is kept, so that the
 * checks can refuse it.
 */
static void set_default(ks_settings_document_t *doc, const char *field,
			unsigned *value, unsigned default_value)
{
	if (!ks_settings_document_line(doc, field, -1, NULL))
		*value = default_value;
}

static void set_default_float(ks_settings_document_t *doc, const char *field,
			      double *value, double default_value)
{
	if (!ks_settings_document_line(doc, field, -1, NULL))
		*value = default_value;
}

static bool is_given(ks_settings_document_t *doc, const char *list, unsigned i,
		     const char *field)
{
	return ks_settings_document_has(doc, list, (int)i, field);
}

static void fill_list_defaults(ks_settings_document_t *doc,
			       ks_settings_t *settings)
{
	for (unsigned i = 0; i < settings->tenants_count; i++)
		if (!is_given(doc, "tenants", i, "weight"))
			settings->tenants[i].weight = 1;
	for (unsigned i = 0; i < settings->routes_count; i++)
		if (!is_given(doc, "routes", i, "timeout_ms"))
			settings->routes[i].timeout_ms = 10000;
}

static void fill_defaults(ks_settings_document_t *doc, ks_settings_t *settings)
{
	set_default(doc, "completion_timeout_ms",
		    &settings->completion_timeout_ms, 60000);
	set_default(doc, "max_body_kib", &settings->max_body_kib, 4096);
	set_default(doc, "max_answer_kib", &settings->max_answer_kib, 16384);
	set_default(doc, "max_requests", &settings->max_requests, 4096);
	set_default(doc, "poll_ms", &settings->poll_ms, 5000);
	set_default(doc, "heartbeat_ms", &settings->heartbeat_ms, 1000);
	set_default(doc, "silence_ms", &settings->silence_ms, 3000);
	set_default(doc, "subset", &settings->subset, 16);
	set_default(doc, "lease_ms", &settings->lease_ms, 15000);
	set_default(doc, "store_writes_per_s", &settings->store_writes_per_s,
		    20);
	set_default(doc, "role_dwell_ms", &settings->role_dwell_ms, 60000);
	if (!ks_settings_document_line(doc, "role_change_cost", -1, NULL))
		settings->role_change_cost = 1;
	set_default_float(doc, "stop_grace_s", &settings->stop_grace_s, 30);
	set_default_float(doc, "retry_ratio", &settings->retry_ratio, 0.1);
	set_default_float(doc, "retry_slack", &settings->retry_slack, 10);
	set_default_float(doc, "retry_window_s", &settings->retry_window_s, 10);
	set_default(doc, "announce_ms", &settings->announce_ms, 1200);
	set_default(doc, "leaving_notice_ms", &settings->leaving_notice_ms,
		    2000);
	set_default_float(doc, "prefill_share", &settings->prefill_share,
			  KS_PREFILL_SHARE_AUTO);
	set_default_float(doc, "usage_window_s", &settings->usage_window_s, 5);
	set_default_float(doc, "usage_late_s", &settings->usage_late_s, 10);
	fill_list_defaults(doc, settings);
}

/*
 * The environment takes precedence, so that a file can be shared without its
 * secrets.
 */
static void override_from_environment(char **field, const char *variable)
{
	const char *value = g_getenv(variable);

	if (!value || !*value)
		return;
	free(*field);
	*field = strdup(value); /* not g_strdup(): libcyaml frees it */
}

static bool load_data(ks_settings_t **settings, ks_str_t yaml, const char *file,
		      GError **error)
{
	GString *messages = g_string_new(NULL);
	cyaml_config_t config = base_config;
	cyaml_data_t *data = NULL;
	cyaml_err_t err;

	config.log_ctx = messages;
	err = cyaml_load_data((const uint8_t *)yaml.data, yaml.len, &config,
			      &settings_schema, &data, NULL);
	if (err != CYAML_OK)
		ks_error_set(error, KS_ERROR_BAD_REQUEST, "%s: %s\n%s", file,
			     cyaml_strerror(err), messages->str);
	g_string_free(messages, TRUE);
	*settings = data;
	return err == CYAML_OK;
}

/**
 * ks_settings_parse() - parse settings from YAML
 * @settings: set on success; to be freed with ks_settings_free()
 * @file: file name used in error messages
 *
 * Return: false, with KS_ERROR_BAD_REQUEST and a message with file, line and
 * what was expected.
 */
bool ks_settings_parse(ks_settings_t **settings, ks_str_t yaml,
		       const char *file, GError **error)
{
	ks_settings_document_t doc;
	bool ok;

	*settings = NULL;
	if (!ks_settings_document_init(&doc, yaml, file, error))
		return false;
	ok = ks_settings_document_check_schema(&doc, &settings_schema) &&
	     load_data(settings, yaml, file, error);
	if (ok) {
		fill_defaults(&doc, *settings);
		override_from_environment(&(*settings)->platform_token,
					  "KS_PLATFORM_TOKEN");
		override_from_environment(&(*settings)->link_secret_key,
					  "KS_LINK_SECRET_KEY");
		ok = ks_settings_check(&doc, *settings);
	}
	ks_settings_document_deinit(&doc);
	if (ok)
		return true;
	ks_settings_free(*settings);
	*settings = NULL;
	return false;
}

/**
 * ks_settings_load() - read settings from a file
 *
 * Return: as ks_settings_parse().
 */
bool ks_settings_load(ks_settings_t **settings, const char *file,
		      GError **error)
{
	GError *cause = NULL;
	char *text;
	size_t len;
	bool ok;

	if (!g_file_get_contents(file, &text, &len, &cause)) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST, "%s", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = ks_settings_parse(settings, (ks_str_t){ text, len }, file, error);
	g_free(text);
	return ok;
}

/**
 * ks_settings_free() - free settings
 * @settings: may be NULL
 */
void ks_settings_free(ks_settings_t *settings)
{
	cyaml_config_t config = base_config;

	config.log_fn = NULL;
	cyaml_free(&config, &settings_schema, settings, 0);
}

static void set_component_level(ks_log_component_t component, const char *text)
{
	ks_log_level_t level;

	if (text && ks_log_level_parse(&level, ks_str_from(text)))
		ks_log_set_component_level(component, level);
}

/**
 * ks_settings_init_logs() - start logging with the levels in the settings
 * @settings: must outlive logging, which keeps the name
 */
void ks_settings_init_logs(const ks_settings_t *settings)
{
	const ks_log_level_settings_t *levels = &settings->log_levels;
	ks_log_level_t level = KS_LOG_INFO;

	if (settings->log_level)
		ks_log_level_parse(&level, ks_str_from(settings->log_level));
	ks_log_init(settings->name, level);
	set_component_level(KS_LOG_MAIN, levels->main);
	set_component_level(KS_LOG_HTTP, levels->http);
	set_component_level(KS_LOG_LINK, levels->link);
	set_component_level(KS_LOG_ROUTE, levels->route);
	set_component_level(KS_LOG_LEDGER, levels->ledger);
	set_component_level(KS_LOG_STORE, levels->store);
	set_component_level(KS_LOG_CONFIG, levels->config);
	set_component_level(KS_LOG_LEASE, levels->lease);
	set_component_level(KS_LOG_ORDER, levels->order);
	set_component_level(KS_LOG_PLAN, levels->plan);
}

/**
 * ks_settings_has_duty() - whether this deployment has a duty
 *
 * The platform renders a list into one string, so anything that is no part of a
 * name separates the names.
 */
bool ks_settings_has_duty(const ks_settings_t *settings, const char *duty)
{
	size_t len = strlen(duty);
	const char *at = settings->duties;

	while (at && *at) {
		size_t n = strspn(at, DUTY_CHARACTERS);

		if (n == len && !memcmp(at, duty, n))
			return true;
		at += n;
		at += strcspn(at, DUTY_CHARACTERS);
	}
	return false;
}
