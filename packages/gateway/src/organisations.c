/*
 * Finds the organisation of a request by its API key.
 *
 * Keys are kept as digests only, so that neither a log line nor a core of the
 * process can show a key of the configuration, and the time of a search does
 * not tell how much of a key is right.
 */
#include "ks/organisations.h"

#include <string.h>

#define DIGEST_SIZE 32 /* SHA-256 */

struct key_digest {
	uint8_t bytes[DIGEST_SIZE];
	uint32_t organisation;
};

static void free_organisation(gpointer data)
{
	ks_organisation_t *organisation = data;

	g_free(organisation->name);
	g_free(organisation);
}

ks_organisations_t *ks_organisations_new(void)
{
	ks_organisations_t *organisations = g_new0(ks_organisations_t, 1);

	organisations->list = g_ptr_array_new_with_free_func(free_organisation);
	organisations->digests =
		g_array_new(FALSE, FALSE, sizeof(struct key_digest));
	return organisations;
}

/**
 * ks_organisations_free() - free organisations; NULL is ignored
 */
void ks_organisations_free(ks_organisations_t *organisations)
{
	if (!organisations)
		return;
	g_ptr_array_free(organisations->list, TRUE);
	g_array_free(organisations->digests, TRUE);
	g_free(organisations);
}

/**
 * ks_organisations_add() - add an organisation
 *
 * Return: owned by @organisations; the caller sets its priority.
 */
ks_organisation_t *ks_organisations_add(ks_organisations_t *organisations,
					ks_str_t name)
{
	ks_organisation_t *organisation = g_new0(ks_organisation_t, 1);

	organisation->name = ks_str_dup(name);
	organisation->index = organisations->list->len;
	g_ptr_array_add(organisations->list, organisation);
	return organisation;
}

static void digest_key(uint8_t digest[DIGEST_SIZE], ks_str_t key)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DIGEST_SIZE;

	g_checksum_update(checksum, (const guchar *)key.data, (gssize)key.len);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
}

/**
 * ks_organisations_add_key() - add a key of an organisation; an empty one is
 * ignored
 */
void ks_organisations_add_key(ks_organisations_t *organisations,
			      const ks_organisation_t *organisation,
			      ks_str_t key)
{
	struct key_digest digest = { .organisation = organisation->index };

	if (!key.len)
		return;
	digest_key(digest.bytes, key);
	g_array_append_val(organisations->digests, digest);
}

/* Among equal keys, that of the first organisation comes first. */
static gint compare_digests(gconstpointer a, gconstpointer b)
{
	const struct key_digest *left = a, *right = b;
	int order = memcmp(left->bytes, right->bytes, DIGEST_SIZE);

	if (order)
		return order;
	return (left->organisation > right->organisation) -
	       (left->organisation < right->organisation);
}

static const ks_organisation_t *
organisation_at(const ks_organisations_t *organisations, guint i)
{
	const struct key_digest *digest =
		&g_array_index(organisations->digests, struct key_digest, i);

	return g_ptr_array_index(organisations->list, digest->organisation);
}

static void warn_about_shared_keys(const ks_organisations_t *organisations)
{
	const GArray *digests = organisations->digests;

	for (guint i = 1; i < digests->len; i++) {
		const struct key_digest *one =
			&g_array_index(digests, struct key_digest, i - 1);
		const struct key_digest *next =
			&g_array_index(digests, struct key_digest, i);

		if (memcmp(one->bytes, next->bytes, DIGEST_SIZE) != 0 ||
		    one->organisation == next->organisation)
			continue;
		ks_log(KS_LOG_CONFIG, KS_LOG_WARN,
		       "two organisations have the same key, the first one "
		       "gets its requests first=%s second=%s",
		       organisation_at(organisations, i - 1)->name,
		       organisation_at(organisations, i)->name);
	}
}

/**
 * ks_organisations_seal() - end the additions; keys can be found afterwards
 */
void ks_organisations_seal(ks_organisations_t *organisations)
{
	g_array_sort(organisations->digests, compare_digests);
	organisations->sealed = true;
	warn_about_shared_keys(organisations);
}

/**
 * ks_organisations_find() - find the organisation that has a key
 *
 * Return: NULL if none has it.
 */
const ks_organisation_t *
ks_organisations_find(const ks_organisations_t *organisations, ks_str_t key)
{
	struct key_digest wanted = { .organisation = 0 };
	const GArray *digests = organisations->digests;
	guint low = 0, high = digests->len;

	g_return_val_if_fail(organisations->sealed, NULL);
	if (!key.len)
		return NULL;
	digest_key(wanted.bytes, key);
	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (compare_digests(
			    &g_array_index(digests, struct key_digest, middle),
			    &wanted) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == digests->len ||
	    memcmp(g_array_index(digests, struct key_digest, low).bytes,
		   wanted.bytes, DIGEST_SIZE) != 0)
		return NULL;
	return organisation_at(organisations, low);
}

/* Sets the key to what follows the scheme and the spaces after it. */
static bool parse_credentials(ks_str_t text, ks_str_t scheme, ks_str_t *key)
{
	size_t at = scheme.len;

	if (text.len <= scheme.len ||
	    g_ascii_strncasecmp(text.data, scheme.data, scheme.len) != 0 ||
	    text.data[at] != ' ')
		return false;
	while (at < text.len && text.data[at] == ' ')
		at++;
	*key = (ks_str_t){ text.data + at, text.len - at };
	return key->len && !memchr(key->data, ' ', key->len);
}

/**
 * ks_organisations_check() - check the API key of a request
 * @organisation: set to the organisation for KS_KEY_ACCEPTED, else to NULL
 */
ks_key_verdict_t ks_organisations_check(const ks_key_query_t *query,
					const ks_organisation_t **organisation)
{
	const ks_header_t *found = NULL;
	ks_str_t key;

	*organisation = NULL;
	if (!query->organisations || query->is_public)
		return KS_KEY_NOT_NEEDED;
	if (query->max_age_us && query->age_us > query->max_age_us)
		return KS_KEY_STALE;
	for (size_t i = 0; i < query->n_headers; i++) {
		if (!ks_str_equal(query->headers[i].name, query->field))
			continue;
		if (found)
			return KS_KEY_MALFORMED;
		found = &query->headers[i];
	}
	if (!found)
		return KS_KEY_MISSING;
	if (!parse_credentials(found->value, query->scheme, &key))
		return KS_KEY_MALFORMED;
	*organisation = ks_organisations_find(query->organisations, key);
	return *organisation ? KS_KEY_ACCEPTED : KS_KEY_UNKNOWN;
}

/**
 * ks_key_verdict_status() - status that refuses a request for its key
 * @is_current: no newer configuration can be in force elsewhere. One may have
 *	the key, or make the route public, so that without this the request is
 *	refused as not run.
 *
 * Return: 0 if the request is not refused.
 */
int ks_key_verdict_status(ks_key_verdict_t verdict, bool is_current)
{
	if (verdict == KS_KEY_NOT_NEEDED || verdict == KS_KEY_ACCEPTED)
		return 0;
	return is_current && verdict != KS_KEY_STALE ? 401 : 503;
}

const char *ks_key_verdict_name(ks_key_verdict_t verdict)
{
	static const char *const names[] = {
		[KS_KEY_NOT_NEEDED] = "not_needed",
		[KS_KEY_ACCEPTED] = "accepted",
		[KS_KEY_MISSING] = "missing",
		[KS_KEY_MALFORMED] = "malformed",
		[KS_KEY_UNKNOWN] = "unknown",
		[KS_KEY_STALE] = "stale",
	};

	return names[verdict];
}
