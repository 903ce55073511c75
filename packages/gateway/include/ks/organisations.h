/*
 * organisations: the organisations of a configuration and their API keys.
 * Included by ks/gateway.h.
 */
#ifndef KS_ORGANISATIONS_H
#define KS_ORGANISATIONS_H

#include "ks/connection.h"
#include "ks/core.h"
#include "ks/telemetry.h"

G_BEGIN_DECLS

/**
 * struct ks_organisation - a customer whose callers have API keys
 * @index: its position in the configuration
 * @priority: priority of its requests in place of the route's, if
 *	@has_priority
 */
typedef struct ks_organisation {
	char *name;
	unsigned index;
	bool has_priority;
	unsigned priority;
} ks_organisation_t;

/**
 * struct ks_organisations - organisations of one version of the configuration
 * @list: ks_organisation_t
 * @digests: struct key_digest; sorted once sealed. Keys are not kept.
 * @sealed: ks_organisations_seal() was called
 */
typedef struct ks_organisations {
	GPtrArray *list;
	GArray *digests;
	bool sealed;
} ks_organisations_t;

ks_organisations_t *ks_organisations_new(void);
void ks_organisations_free(ks_organisations_t *organisations);
ks_organisation_t *ks_organisations_add(ks_organisations_t *organisations,
					ks_str_t name);
void ks_organisations_add_key(ks_organisations_t *organisations,
			      const ks_organisation_t *organisation,
			      ks_str_t key);
void ks_organisations_seal(ks_organisations_t *organisations);
const ks_organisation_t *
ks_organisations_find(const ks_organisations_t *organisations, ks_str_t key);

/**
 * enum ks_key_verdict - result of the check of a request's API key
 * @KS_KEY_NOT_NEEDED: the route is public, or there are no organisations
 * @KS_KEY_ACCEPTED: the key is that of an organisation
 * @KS_KEY_MISSING: there is no key
 * @KS_KEY_MALFORMED: another scheme, several fields, or no key after the scheme
 * @KS_KEY_UNKNOWN: no organisation has the key
 * @KS_KEY_STALE: the configuration is too old for a decision on keys
 */
typedef enum ks_key_verdict {
	KS_KEY_NOT_NEEDED,
	KS_KEY_ACCEPTED,
	KS_KEY_MISSING,
	KS_KEY_MALFORMED,
	KS_KEY_UNKNOWN,
	KS_KEY_STALE,
	KS_N_KEY_VERDICTS,
} ks_key_verdict_t;

/**
 * struct ks_key_query - what the check of a request's API key depends on
 * @organisations: NULL if the configuration has none
 * @is_public: the route needs no key
 * @field: name of the header field with the key, in lower case
 * @scheme: authentication scheme that precedes the key
 * @age_us: time since the configuration was last confirmed
 * @max_age_us: limit of @age_us for requests that need a key; 0 for none
 */
typedef struct ks_key_query {
	const ks_organisations_t *organisations;
	bool is_public;
	const ks_header_t *headers;
	size_t n_headers;
	ks_str_t field;
	ks_str_t scheme;
	int64_t age_us;
	int64_t max_age_us;
} ks_key_query_t;

ks_key_verdict_t ks_organisations_check(const ks_key_query_t *query,
					const ks_organisation_t **organisation);
int ks_key_verdict_status(ks_key_verdict_t verdict, bool is_current);
const char *ks_key_verdict_name(ks_key_verdict_t verdict);

G_END_DECLS

#endif
