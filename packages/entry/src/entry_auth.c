/*
 * Authentication of tenants and operators. API keys and the operator token are
 * stored and compared as SHA-256 digests.
 */
#include "entry_internal.h"

#include <openssl/crypto.h>

static bool bearer_digest(h2o_req_t *req, ks_digest_t *digest)
{
	static const char scheme[] = "Bearer ";
	size_t skip = sizeof(scheme) - 1;
	ks_str_t value = ks_http_req_header(req, "authorization");

	if (value.len <= skip || g_ascii_strncasecmp(value.data, scheme, skip))
		return false;
	ks_digest_compute(digest,
			  (ks_str_t){ value.data + skip, value.len - skip });
	return true;
}

static bool digests_match(const ks_digest_t *a, const ks_digest_t *b)
{
	return CRYPTO_memcmp(a->bytes, b->bytes, KS_DIGEST_SIZE) == 0;
}

/* Escapes backslash, double quote and line feed for a Prometheus label. */
static char *escape_label(const char *name)
{
	GString *label = g_string_new(NULL);

	for (; *name; name++) {
		if (*name == '\n') {
			g_string_append(label, "\\n");
			continue;
		}
		if (*name == '\\' || *name == '"')
			g_string_append_c(label, '\\');
		g_string_append_c(label, *name);
	}
	return g_string_free(label, FALSE);
}

static void free_tenant(void *data)
{
	struct entry_tenant *tenant = data;

	g_free(tenant->name);
	g_free(tenant->label);
	g_hash_table_unref(tenant->classes);
	g_free(tenant);
}

static struct entry_tenant *add_tenant(ks_entry_t *entry, const char *name)
{
	struct entry_tenant *tenant = g_new0(struct entry_tenant, 1);

	tenant->name = g_strdup(name);
	tenant->label = escape_label(name);
	tenant->weight = 1;
	tenant->classes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_ptr_array_add(entry->tenants, tenant);
	return tenant;
}

static bool add_configured_tenant(ks_entry_t *entry,
				  const ks_tenant_settings_t *settings,
				  GError **error)
{
	struct entry_tenant *tenant = add_tenant(entry, settings->name);

	tenant->weight = settings->weight;
	tenant->priority = settings->priority;
	tenant->max_concurrency = settings->max_concurrency;
	if (!settings->key_sha256)
		return true;
	tenant->has_key = ks_digest_parse(&tenant->key,
					  ks_str_from(settings->key_sha256));
	if (!tenant->has_key)
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "tenant %s: key_sha256 is not a hexadecimal "
			     "SHA-256 digest",
			     settings->name);
	return tenant->has_key;
}

/**
 * entry_auth_init() - load the tenants and the operator token from settings
 *
 * Return: false, with KS_ERROR_BAD_REQUEST, if a digest is malformed.
 */
bool entry_auth_init(ks_entry_t *entry, GError **error)
{
	const ks_settings_t *settings = entry->settings;

	entry->tenants = g_ptr_array_new_with_free_func(free_tenant);
	for (unsigned i = 0; i < settings->tenants_count; i++)
		if (!add_configured_tenant(entry, &settings->tenants[i], error))
			return false;
	for (unsigned i = 0; i < settings->routes_count; i++) {
		const char *name = settings->routes[i].tenant;

		if (name && !entry_auth_find_tenant(entry, name))
			add_tenant(entry, name);
	}
	if (!settings->operator_token_sha256)
		return true;
	entry->has_operator_token =
		ks_digest_parse(&entry->operator_token,
				ks_str_from(settings->operator_token_sha256));
	if (!entry->has_operator_token)
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "operator_token_sha256 is not a hexadecimal "
			     "SHA-256 digest");
	return entry->has_operator_token;
}

/**
 * entry_auth_deinit() - free the tenants
 */
void entry_auth_deinit(ks_entry_t *entry)
{
	if (entry->tenants)
		g_ptr_array_unref(entry->tenants);
	entry->tenants = NULL;
}

/**
 * entry_auth_authenticate() - find the tenant of a request by its API key
 *
 * Every key is compared in constant time, so that the duration reveals nothing
 * about the keys.
 *
 * Return: NULL if the key is missing or unknown.
 */
struct entry_tenant *entry_auth_authenticate(ks_entry_t *entry, h2o_req_t *req)
{
	struct entry_tenant *found = NULL;
	ks_digest_t digest;

	if (!bearer_digest(req, &digest))
		return NULL;
	for (unsigned i = 0; i < entry->tenants->len; i++) {
		struct entry_tenant *tenant =
			g_ptr_array_index(entry->tenants, i);

		if (tenant->has_key && digests_match(&tenant->key, &digest))
			found = tenant;
	}
	return found;
}

/**
 * entry_auth_find_tenant() - find a tenant by name
 *
 * Return: NULL if there is none.
 */
struct entry_tenant *entry_auth_find_tenant(ks_entry_t *entry, const char *name)
{
	for (unsigned i = 0; i < entry->tenants->len; i++) {
		struct entry_tenant *tenant =
			g_ptr_array_index(entry->tenants, i);

		if (!strcmp(tenant->name, name))
			return tenant;
	}
	return NULL;
}

/**
 * entry_auth_is_operator() - whether a request carries the operator token
 */
bool entry_auth_is_operator(ks_entry_t *entry, h2o_req_t *req)
{
	ks_digest_t digest;

	return entry->has_operator_token && bearer_digest(req, &digest) &&
	       digests_match(&entry->operator_token, &digest);
}

static ks_histogram_t *class_histogram(ks_entry_t *entry, const char *name,
				       const char *help, const char *labels)
{
	return ks_metrics_histogram(entry->metrics, name, help, labels);
}

/**
 * entry_tenant_class() - get or create the statistics of a tenant and priority
 * class
 */
struct entry_class *entry_tenant_class(ks_entry_t *entry,
				       struct entry_tenant *tenant,
				       unsigned priority)
{
	struct entry_class *class = g_hash_table_lookup(
		tenant->classes, GUINT_TO_POINTER(priority));
	char *labels;

	if (class)
		return class;
	class = g_new0(struct entry_class, 1);
	class->tenant = tenant;
	labels = g_strdup_printf("tenant=\"%s\",class=\"%u\"", tenant->label,
				 priority);
	class->first_token =
		class_histogram(entry, "ks_first_token_seconds",
				"Time to the first token.", labels);
	class->between_tokens =
		class_histogram(entry, "ks_between_tokens_seconds",
				"Time between two tokens.", labels);
	class->completion =
		class_histogram(entry, "ks_answer_seconds",
				"Time to the whole answer.", labels);
	g_free(labels);
	g_hash_table_insert(tenant->classes, GUINT_TO_POINTER(priority), class);
	return class;
}
