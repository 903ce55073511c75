/*
 * settings: a daemon's settings, read from a YAML file and checked.
 */
#ifndef KS_SETTINGS_H
#define KS_SETTINGS_H

#include "ks/connection.h"
#include "ks/request.h"
#include "ks/telemetry.h"
#include "ks/version.h"

G_BEGIN_DECLS

/* settings.c */

/**
 * struct ks_tenant_settings - organisation whose callers use an entry
 * @key_sha256: SHA-256 of its API key, in hexadecimal; NULL for none
 * @weight: its share relative to the other tenants
 * @priority: 0 is the most urgent
 * @max_concurrency: limit of its requests in flight; 0 for none
 */
typedef struct ks_tenant_settings {
	char *name;
	char *key_sha256;
	double weight;
	unsigned priority;
	unsigned max_concurrency;
} ks_tenant_settings_t;

/**
 * struct ks_route_settings - route to a service that is not an LLM engine
 * @method: HTTP method; NULL for any
 * @tenant: tenant of its requests; NULL to identify it by the API key
 */
typedef struct ks_route_settings {
	char *path;
	char *method;
	char *service;
	bool idempotent;
	unsigned timeout_ms;
	unsigned priority;
	char *tenant;
} ks_route_settings_t;

/**
 * struct ks_log_level_settings - log level of each component
 *
 * NULL: the component has the level of log_level.
 */
typedef struct ks_log_level_settings {
	char *main;
	char *http;
	char *link;
	char *route;
	char *ledger;
	char *store;
	char *config;
	char *lease;
	char *order;
	char *plan;
} ks_log_level_settings_t;

/* Value of prefill_share that lets the share follow the demand. */
#define KS_PREFILL_SHARE_AUTO (-1)

/**
 * struct ks_settings - settings of a daemon, read from YAML
 *
 * See docs/settings.md for each field, its unit, range and default.
 */
typedef struct ks_settings {
	char *role;
	char *name;
	char *domain;
	char *host;
	char *listen;
	char *upstream;
	char *endpoint;
	char *platform;
	char *platform_token;
	char *ready;
	char *metrics;
	char *peer;
	char *log_level;
	ks_log_level_settings_t log_levels;
	bool link_plain;
	char *link_public_key;
	char *link_secret_key;
	char *link_server_key;
	char **link_allowed_keys;
	unsigned link_allowed_keys_count;
	ks_tenant_settings_t *tenants;
	unsigned tenants_count;
	ks_route_settings_t *routes;
	unsigned routes_count;
	unsigned completion_timeout_ms;
	unsigned max_body_kib;
	unsigned max_answer_kib;
	unsigned max_requests;
	unsigned poll_ms;
	unsigned heartbeat_ms;
	unsigned silence_ms;
	unsigned drain_delay_ms;
	unsigned subset;
	char *routing_policy;
	unsigned lease_ms;
	unsigned store_writes_per_s;
	double role_change_cost;
	unsigned role_dwell_ms;
	char *operator_token_sha256;
	double stop_grace_s;
	double retry_ratio;
	double retry_slack;
	double retry_window_s;
	unsigned order_turns_ms;
	double prefill_share;
	unsigned announce_ms;
	unsigned leaving_notice_ms;
	unsigned key_max_age_ms;
	char *duty_api;
	char *duties;
	double usage_window_s;
	double usage_late_s;
	unsigned memory_mb;
	unsigned max_descriptors;
} ks_settings_t;

bool ks_settings_load(ks_settings_t **settings, const char *file,
		      GError **error);
bool ks_settings_has_duty(const ks_settings_t *settings, const char *duty);
bool ks_settings_parse(ks_settings_t **settings, ks_str_t yaml,
		       const char *file, GError **error);
void ks_settings_free(ks_settings_t *settings);
void ks_settings_init_logs(const ks_settings_t *settings);

G_END_DECLS

#endif
