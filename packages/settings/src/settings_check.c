/*
 * Checks the values of settings: ranges, addresses, keys, and settings that
 * depend on each other.
 */
#include "settings_check.h"

#include <string.h>

#define Z85_KEY_LEN 40
#define SHA256_HEX_LEN 64
#define MAX_NAME_LEN 63
#define MAX_WEIGHT 1000.0
#define MAX_ROLE_CHANGE_COST 1000.0
#define MAX_PRIORITY 9
#define HOUR_MS 3600000
#define DAY_MS 86400000

struct range {
	const char *name;
	size_t offset;
	unsigned min;
	unsigned max;
};

#define RANGE(name, min, max)                                  \
	{                                                      \
#name, offsetof(ks_settings_t, name), min, max \
	}

static const struct range ranges[] = {
	RANGE(completion_timeout_ms, 1, DAY_MS),
	RANGE(max_body_kib, 1, 1024 * 1024),
	RANGE(max_answer_kib, 1, 1024 * 1024),
	RANGE(max_requests, 1, 1000000),
	RANGE(poll_ms, 10, 60000),
	RANGE(heartbeat_ms, 10, 60000),
	RANGE(silence_ms, 20, HOUR_MS),
	RANGE(drain_delay_ms, 0, HOUR_MS),
	RANGE(subset, 1, 10000),
	RANGE(lease_ms, 100, HOUR_MS),
	RANGE(store_writes_per_s, 1, 10000),
	RANGE(role_dwell_ms, 1, DAY_MS),
	RANGE(memory_mb, 0, 1024 * 1024),
	RANGE(max_descriptors, 0, 1024 * 1024),
};

static const char *const methods[] = { "GET", "POST", "PUT", "PATCH",
				       "DELETE" };

/* Returns 1 for an absent setting, so that an error always names a line. */
static int setting_line(ks_settings_document_t *doc, const char *field)
{
	return MAX(ks_settings_document_line(doc, field, -1, NULL), 1);
}

/* Fields that are absent have their defaults, which are in range. */
static bool check_ranges(ks_settings_document_t *doc,
			 const ks_settings_t *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ranges); i++) {
		const struct range *range = &ranges[i];
		unsigned value = *(
			const unsigned *)(const void *)((const char *)settings +
							range->offset);

		if (ks_settings_document_line(doc, range->name, -1, NULL) &&
		    (value < range->min || value > range->max))
			return ks_settings_fail(
				doc, setting_line(doc, range->name),
				"%s: expected %u to %u", range->name,
				range->min, range->max);
	}
	return true;
}

static bool check_address(ks_settings_document_t *doc, const char *field,
			  const char *text, bool may_be_zero,
			  ks_address_t *address)
{
	if (ks_address_parse(address, ks_str_from(text), NULL) &&
	    (may_be_zero || address->port))
		return true;
	return ks_settings_fail(doc, setting_line(doc, field),
				"%s: '%s' is not an address; expected IP:PORT",
				field, text);
}

static bool check_name(ks_settings_document_t *doc, const char *field,
		       const char *text)
{
	size_t len = text ? strlen(text) : 0;
	bool ok = len <= MAX_NAME_LEN;

	for (size_t i = 0; ok && i < len; i++)
		ok = g_ascii_isalnum(text[i]) || strchr("._:@+-", text[i]);
	return ok || ks_settings_fail(doc, setting_line(doc, field),
				      "%s: expected at most %d letters, "
				      "digits or ._:@+-",
				      field, MAX_NAME_LEN);
}

static bool is_z85_key(const char *text)
{
	static const char digits[] = "0123456789abcdefghijklmnopqrstuvwxyz"
				     "ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()"
				     "[]{}@%$#";

	return strlen(text) == Z85_KEY_LEN &&
	       strspn(text, digits) == Z85_KEY_LEN;
}

/* The message does not contain the key, which may be the secret key. */
static bool check_z85(ks_settings_document_t *doc, const char *field,
		      const char *text, int line)
{
	return !text || is_z85_key(text) ||
	       ks_settings_fail(doc, line,
				"%s: expected a key of %d characters of Z85",
				field, Z85_KEY_LEN);
}

static bool check_hash(ks_settings_document_t *doc, const char *field,
		       const char *text, int line)
{
	ks_digest_t digest;

	return !text || ks_digest_parse(&digest, ks_str_from(text)) ||
	       ks_settings_fail(doc, line, "%s: expected %d hexadecimal digits",
				field, SHA256_HEX_LEN);
}

/* A line break in the token would allow header injection. */
static bool check_token(ks_settings_document_t *doc, const char *token)
{
	for (size_t i = 0; token && token[i]; i++)
		if (!g_ascii_isgraph(token[i]))
			return ks_settings_fail(
				doc, setting_line(doc, "platform_token"),
				"platform_token: expected printable "
				"characters without spaces");
	return true;
}

static bool check_level(ks_settings_document_t *doc, const char *field,
			const char *component, const char *text)
{
	int line = ks_settings_document_line(doc, field, -1, component);
	ks_log_level_t level;

	return !text || ks_log_level_parse(&level, ks_str_from(text)) ||
	       ks_settings_fail(doc, MAX(line, 1),
				"%s: expected error, warn, info or debug",
				component ? component : field);
}

static bool check_levels(ks_settings_document_t *doc,
			 const ks_settings_t *settings)
{
	const ks_log_level_settings_t *levels = &settings->log_levels;

	return check_level(doc, "log_level", NULL, settings->log_level) &&
	       check_level(doc, "log_levels", "main", levels->main) &&
	       check_level(doc, "log_levels", "http", levels->http) &&
	       check_level(doc, "log_levels", "link", levels->link) &&
	       check_level(doc, "log_levels", "route", levels->route) &&
	       check_level(doc, "log_levels", "ledger", levels->ledger) &&
	       check_level(doc, "log_levels", "store", levels->store) &&
	       check_level(doc, "log_levels", "config", levels->config) &&
	       check_level(doc, "log_levels", "lease", levels->lease) &&
	       check_level(doc, "log_levels", "order", levels->order) &&
	       check_level(doc, "log_levels", "plan", levels->plan);
}

static bool check_key_formats(ks_settings_document_t *doc,
			      const ks_settings_t *settings)
{
	for (unsigned i = 0; i < settings->link_allowed_keys_count; i++)
		if (!check_z85(doc, "link_allowed_keys",
			       settings->link_allowed_keys[i],
			       ks_settings_document_line(
				       doc, "link_allowed_keys", (int)i, NULL)))
			return false;
	return check_z85(doc, "link_public_key", settings->link_public_key,
			 setting_line(doc, "link_public_key")) &&
	       check_z85(doc, "link_secret_key", settings->link_secret_key,
			 setting_line(doc, "link_secret_key")) &&
	       check_z85(doc, "link_server_key", settings->link_server_key,
			 setting_line(doc, "link_server_key"));
}

static bool require(ks_settings_document_t *doc, const char *field,
		    bool is_given)
{
	return is_given ||
	       ks_settings_fail(doc, 1,
				"expected '%s', or link_plain: true with a "
				"loopback address",
				field);
}

static bool check_link(ks_settings_document_t *doc,
		       const ks_settings_t *settings, bool is_entry,
		       const ks_address_t *listen)
{
	if (settings->link_plain)
		return ks_address_is_loopback(listen) ||
		       ks_settings_fail(doc, setting_line(doc, "link_plain"),
					"link_plain: allowed only when "
					"'listen' is a loopback address");
	return require(doc, "link_public_key", settings->link_public_key) &&
	       require(doc, "link_secret_key", settings->link_secret_key) &&
	       (is_entry ? require(doc, "link_server_key",
				   settings->link_server_key)
			 : require(doc, "link_allowed_keys",
				   settings->link_allowed_keys_count > 0));
}

static bool check_tenant(ks_settings_document_t *doc,
			 const ks_settings_t *settings, unsigned i)
{
	const ks_tenant_settings_t *tenant = &settings->tenants[i];
	int line = ks_settings_document_line(doc, "tenants", (int)i, NULL);

	for (unsigned j = 0; j < i; j++)
		if (!strcmp(settings->tenants[j].name, tenant->name))
			return ks_settings_fail(doc, line,
						"tenant '%s' occurs twice",
						tenant->name);
	if (!check_name(doc, "tenants", tenant->name))
		return false;
	if (!(tenant->weight > 0) || tenant->weight > MAX_WEIGHT)
		return ks_settings_fail(
			doc, line,
			"weight: expected more than 0 and at most %g",
			MAX_WEIGHT);
	if (tenant->priority > MAX_PRIORITY)
		return ks_settings_fail(doc, line, "priority: expected 0 to %d",
					MAX_PRIORITY);
	return check_hash(doc, "key_sha256", tenant->key_sha256, line);
}

static bool has_tenant(const ks_settings_t *settings, const char *name)
{
	for (unsigned i = 0; i < settings->tenants_count; i++)
		if (!strcmp(settings->tenants[i].name, name))
			return true;
	return false;
}

static bool is_method(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++)
		if (!strcmp(methods[i], name))
			return true;
	return false;
}

static bool check_route(ks_settings_document_t *doc,
			const ks_settings_t *settings, unsigned i)
{
	const ks_route_settings_t *route = &settings->routes[i];
	int line = ks_settings_document_line(doc, "routes", (int)i, NULL);

	for (unsigned j = 0; j < i; j++)
		if (!strcmp(settings->routes[j].path, route->path) &&
		    !g_strcmp0(settings->routes[j].method, route->method))
			return ks_settings_fail(doc, line,
						"route '%s' occurs twice",
						route->path);
	if (route->path[0] != '/')
		return ks_settings_fail(doc, line,
					"path: expected a path that starts "
					"with '/'");
	if (route->method && !is_method(route->method))
		return ks_settings_fail(doc, line,
					"method: expected GET, POST, PUT, "
					"PATCH or DELETE");
	if (route->timeout_ms < 1 || route->timeout_ms > DAY_MS)
		return ks_settings_fail(doc, line,
					"timeout_ms: expected 1 to %d", DAY_MS);
	if (route->priority > MAX_PRIORITY)
		return ks_settings_fail(doc, line, "priority: expected 0 to %d",
					MAX_PRIORITY);
	if (route->tenant && !has_tenant(settings, route->tenant))
		return ks_settings_fail(doc, line,
					"tenant: '%s' is not among 'tenants'",
					route->tenant);
	return true;
}

static bool check_lists(ks_settings_document_t *doc,
			const ks_settings_t *settings)
{
	for (unsigned i = 0; i < settings->tenants_count; i++)
		if (!check_tenant(doc, settings, i))
			return false;
	for (unsigned i = 0; i < settings->routes_count; i++)
		if (!check_route(doc, settings, i))
			return false;
	return true;
}

static bool check_float(ks_settings_document_t *doc, const char *field,
			double value, double min, double max)
{
	return (value >= min && value <= max) ||
	       ks_settings_fail(doc, setting_line(doc, field),
				"%s: expected %g to %g", field, min, max);
}

/* The gateway role uses no links, so link keys are not required. */
static bool check_gateway(ks_settings_document_t *doc,
			  const ks_settings_t *settings)
{
	ks_address_t address;

	if (!settings->ready)
		return ks_settings_fail(doc, setting_line(doc, "role"),
					"role gateway: expected 'ready'");
	return check_address(doc, "ready", settings->ready, true, &address) &&
	       (!settings->metrics ||
		check_address(doc, "metrics", settings->metrics, true,
			      &address)) &&
	       (!settings->peer ||
		check_address(doc, "peer", settings->peer, true, &address)) &&
	       check_float(doc, "stop_grace_s", settings->stop_grace_s, 1,
			   DAY_MS / 1000.0) &&
	       check_float(doc, "retry_ratio", settings->retry_ratio, 0, 10) &&
	       check_float(doc, "retry_slack", settings->retry_slack, 0, 1e6) &&
	       (!ks_settings_document_line(doc, "prefill_share", -1, NULL) ||
		check_float(doc, "prefill_share", settings->prefill_share, 0,
			    1)) &&
	       check_float(doc, "announce_ms", settings->announce_ms, 10,
			   60000) &&
	       check_float(doc, "leaving_notice_ms",
			   settings->leaving_notice_ms, 500, 60000) &&
	       check_float(doc, "key_max_age_ms", settings->key_max_age_ms, 0,
			   3600000) &&
	       (!settings->duty_api ||
		check_address(doc, "duty_api", settings->duty_api, false,
			      &address)) &&
	       (settings->usage_window_s == 0 ||
		check_float(doc, "usage_window_s", settings->usage_window_s,
			    0.5, 3600)) &&
	       check_float(doc, "usage_late_s", settings->usage_late_s, 1,
			   3600) &&
	       check_float(doc, "retry_window_s", settings->retry_window_s, 1,
			   3600);
}

static bool check_role(ks_settings_document_t *doc,
		       const ks_settings_t *settings, bool is_entry)
{
	ks_address_t endpoint;

	if (is_entry)
		return true;
	if (!strcmp(settings->role, "gateway"))
		return check_gateway(doc, settings);
	if (strcmp(settings->role, "upstream"))
		return ks_settings_fail(doc, setting_line(doc, "role"),
					"role: expected entry, upstream or "
					"gateway");
	if (!settings->upstream || !settings->endpoint)
		return ks_settings_fail(doc, setting_line(doc, "role"),
					"role upstream: expected 'upstream' "
					"and 'endpoint'");
	return check_address(doc, "endpoint", settings->endpoint, false,
			     &endpoint);
}

static bool check_policy(ks_settings_document_t *doc,
			 const ks_settings_t *settings)
{
	const char *name = settings->routing_policy;
	ks_routing_policy_t policy;

	return !name || ks_routing_policy_parse(&policy, ks_str_from(name)) ||
	       ks_settings_fail(doc, setting_line(doc, "routing_policy"),
				"routing_policy: expected expected_finish, "
				"round_robin, least_connections or "
				"prefix_affinity");
}

static bool check_times(ks_settings_document_t *doc,
			const ks_settings_t *settings)
{
	if (settings->silence_ms < 2 * settings->heartbeat_ms)
		return ks_settings_fail(doc, setting_line(doc, "silence_ms"),
					"silence_ms: expected at least twice "
					"heartbeat_ms, so that one lost "
					"heartbeat does not close a link");
	if (!(settings->role_change_cost > 0) ||
	    settings->role_change_cost > MAX_ROLE_CHANGE_COST)
		return ks_settings_fail(doc,
					setting_line(doc, "role_change_cost"),
					"role_change_cost: expected more than "
					"0 and at most %g",
					MAX_ROLE_CHANGE_COST);
	return true;
}

/**
 * ks_settings_check() - check the values of settings
 * @settings: with defaults and with the secrets of the environment
 *
 * Return: false, with an error that names file, line and what was expected.
 */
bool ks_settings_check(ks_settings_document_t *doc,
		       const ks_settings_t *settings)
{
	bool is_entry = !strcmp(settings->role, "entry");
	ks_address_t listen, platform;

	return check_role(doc, settings, is_entry) &&
	       check_name(doc, "name", settings->name) &&
	       check_name(doc, "domain", settings->domain) &&
	       check_name(doc, "host", settings->host) &&
	       check_name(doc, "upstream", settings->upstream) &&
	       check_address(doc, "listen", settings->listen, true, &listen) &&
	       check_address(doc, "platform", settings->platform, false,
			     &platform) &&
	       check_ranges(doc, settings) && check_times(doc, settings) &&
	       check_levels(doc, settings) && check_policy(doc, settings) &&
	       check_token(doc, settings->platform_token) &&
	       check_key_formats(doc, settings) &&
	       (!strcmp(settings->role, "gateway") ||
		check_link(doc, settings, is_entry, &listen)) &&
	       check_hash(doc, "operator_token_sha256",
			  settings->operator_token_sha256,
			  setting_line(doc, "operator_token_sha256")) &&
	       check_lists(doc, settings);
}
