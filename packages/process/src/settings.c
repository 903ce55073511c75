/* Settings of a daemon: read from YAML with a schema, then checked. */
#include "ks/process.h"

#include <cyaml/cyaml.h>
#include <string.h>

#define MAX_LIST 10000

static const cyaml_schema_value_t string_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, CYAML_UNLIMITED),
};

#define STRING(type, name, flags)                                         \
	CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER | (flags), type, \
			       name, 0, CYAML_UNLIMITED)
#define UINT(type, name) \
	CYAML_FIELD_UINT(#name, CYAML_FLAG_OPTIONAL, type, name)

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
	STRING(ks_settings_t, log_level, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_BOOL("link_plain", CYAML_FLAG_OPTIONAL, ks_settings_t,
			 link_plain),
	STRING(ks_settings_t, link_public_key, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, link_secret_key, CYAML_FLAG_OPTIONAL),
	STRING(ks_settings_t, link_server_key, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_SEQUENCE(
		"link_allowed_keys", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		ks_settings_t, link_allowed_keys, &string_schema, 0, MAX_LIST),
	CYAML_FIELD_SEQUENCE(
		"tenants", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		ks_settings_t, tenants, &tenant_schema, 0, MAX_LIST),
	CYAML_FIELD_SEQUENCE("routes", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     ks_settings_t, routes, &route_schema, 0, MAX_LIST),
	UINT(ks_settings_t, completion_timeout_ms),
	UINT(ks_settings_t, max_body_kib),
	UINT(ks_settings_t, max_answer_kib),
	UINT(ks_settings_t, max_requests),
	UINT(ks_settings_t, poll_ms),
	UINT(ks_settings_t, heartbeat_ms),
	UINT(ks_settings_t, silence_ms),
	UINT(ks_settings_t, drain_delay_ms),
	UINT(ks_settings_t, subset),
	UINT(ks_settings_t, lease_ms),
	CYAML_FIELD_FLOAT("role_change_cost", CYAML_FLAG_OPTIONAL,
			  ks_settings_t, role_change_cost),
	UINT(ks_settings_t, role_dwell_ms),
	STRING(ks_settings_t, operator_token_sha256, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, ks_settings_t, settings_fields),
};

/* Collects libcyaml's messages, which carry line and column. */
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

static void set_default(unsigned *value, unsigned fallback)
{
	if (!*value)
		*value = fallback;
}

static void fill_defaults(ks_settings_t *settings)
{
	set_default(&settings->completion_timeout_ms, 60000);
	set_default(&settings->max_body_kib, 4096);
	set_default(&settings->max_answer_kib, 16384);
	set_default(&settings->max_requests, 4096);
	set_default(&settings->poll_ms, 5000);
	set_default(&settings->heartbeat_ms, 1000);
	set_default(&settings->silence_ms, 3000);
	set_default(&settings->subset, 64);
	set_default(&settings->lease_ms, 15000);
	set_default(&settings->role_dwell_ms, 60000);
	if (settings->role_change_cost <= 0)
		settings->role_change_cost = 1;
	for (unsigned i = 0; i < settings->tenants_count; i++)
		if (settings->tenants[i].weight <= 0)
			settings->tenants[i].weight = 1;
	for (unsigned i = 0; i < settings->routes_count; i++)
		set_default(&settings->routes[i].timeout_ms, 10000);
}

static bool check_address(const char *file, const char *field, const char *text,
			  GError **error)
{
	ks_address_t address;
	GError *cause = NULL;

	if (ks_address_parse(&address, ks_str_from(text), &cause))
		return true;
	ks_error_set(error, KS_ERROR_BAD_REQUEST, "%s: %s: %s", file, field,
		     cause->message);
	g_error_free(cause);
	return false;
}

static bool check_settings(const ks_settings_t *settings, const char *file,
			   GError **error)
{
	bool is_entry = !strcmp(settings->role, "entry");

	if (!is_entry && strcmp(settings->role, "upstream")) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "%s: role: '%s' is neither entry nor upstream",
			     file, settings->role);
		return false;
	}
	if (!is_entry && (!settings->upstream || !settings->endpoint)) {
		ks_error_set(
			error, KS_ERROR_BAD_REQUEST,
			"%s: role upstream needs 'upstream' and 'endpoint'",
			file);
		return false;
	}
	return check_address(file, "listen", settings->listen, error) &&
	       check_address(file, "platform", settings->platform, error) &&
	       (is_entry ||
		check_address(file, "endpoint", settings->endpoint, error));
}

/**
 * ks_settings_parse() - read settings from YAML text
 * @settings: set on success; to be freed with ks_settings_free()
 * @file: name used in messages
 *
 * Return: false, with KS_ERROR_BAD_REQUEST and a message that names file, line
 * and what was expected.
 */
bool ks_settings_parse(ks_settings_t **settings, ks_str_t yaml,
		       const char *file, GError **error)
{
	GString *messages = g_string_new(NULL);
	cyaml_config_t config = base_config;
	cyaml_data_t *data = NULL;
	cyaml_err_t err;

	config.log_ctx = messages;
	err = cyaml_load_data((const uint8_t *)yaml.data, yaml.len, &config,
			      &settings_schema, &data, NULL);
	if (err != CYAML_OK) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST, "%s: %s\n%s", file,
			     cyaml_strerror(err), messages->str);
		g_string_free(messages, TRUE);
		return false;
	}
	g_string_free(messages, TRUE);
	*settings = data;
	fill_defaults(*settings);
	if (check_settings(*settings, file, error))
		return true;
	ks_settings_free(*settings);
	*settings = NULL;
	return false;
}

/**
 * ks_settings_load() - read settings from a file; see ks_settings_parse()
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
 * ks_settings_free() - free settings; NULL is harmless
 */
void ks_settings_free(ks_settings_t *settings)
{
	cyaml_config_t config = base_config;

	config.log_fn = NULL;
	cyaml_free(&config, &settings_schema, settings, 0);
}
