/* Claim rows: row keys, JSON encoding and request fingerprints. */
#include "ks/request.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#define HOUR_US (3600 * KS_USEC_PER_SEC)

static const char *const state_names[] = {
	[KS_CLAIM_CLAIMED] = "claimed",
	[KS_CLAIM_DONE] = "done",
	[KS_CLAIM_NOT_RUN] = "not_run",
	[KS_CLAIM_UNKNOWN] = "unknown",
};

/**
 * ks_claim_deinit() - free the contents of a claim
 */
void ks_claim_deinit(ks_claim_t *claim)
{
	g_free(claim->content_type);
	g_free(claim->object);
	if (claim->answer)
		g_bytes_unref(claim->answer);
	memset(claim, 0, sizeof(*claim));
}

static void hash_part(XXH3_state_t *state, ks_str_t part)
{
	uint64_t len = GUINT64_TO_LE((uint64_t)part.len);

	/* Hash the length too, so that ("ab", "c") and ("a", "bc") differ. */
	XXH3_128bits_update(state, &len, sizeof(len));
	if (part.len)
		XXH3_128bits_update(state, part.data, part.len);
}

/**
 * ks_claim_fingerprint() - hash a request
 *
 * A request whose key is known but whose fingerprint differs is not a retry but
 * a reuse of the key, and is refused.
 */
void ks_claim_fingerprint(uint8_t fingerprint[KS_FINGERPRINT_SIZE],
			  ks_str_t method, ks_str_t path, ks_str_t body)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_canonical_t canonical;

	XXH3_128bits_reset(state);
	hash_part(state, method);
	hash_part(state, path);
	hash_part(state, body);
	XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
	XXH3_freeState(state);
	G_STATIC_ASSERT(sizeof(canonical.digest) == KS_FINGERPRINT_SIZE);
	memcpy(fingerprint, canonical.digest, KS_FINGERPRINT_SIZE);
}

/**
 * ks_claim_hour() - hour that is part of the row key, since the Unix epoch
 * @issued_us: when the idempotency key was created, Unix time
 */
int64_t ks_claim_hour(int64_t issued_us)
{
	return issued_us / HOUR_US;
}

/*
 * Percent-encodes a path segment. A leading dot is encoded too, because "." and
 * ".." are special in paths.
 */
static char *escape_segment(ks_str_t text)
{
	char *escaped =
		g_uri_escape_bytes((const guint8 *)text.data, text.len, NULL);
	char *dotted;

	if (*escaped != '.')
		return escaped;
	dotted = g_strconcat("%2E", escaped + 1, NULL);
	g_free(escaped);
	return dotted;
}

/**
 * ks_claim_row_key() - format the row key "claim/HOUR/TENANT/KEY"
 *
 * Return: string to be freed with g_free().
 */
char *ks_claim_row_key(const ks_idempotency_key_t *key, ks_str_t tenant)
{
	char *tenant_part = escape_segment(tenant);
	char *key_part = escape_segment(key->text);
	char *row = g_strdup_printf("claim/%" G_GINT64_FORMAT "/%s/%s",
				    ks_claim_hour(key->issued_us), tenant_part,
				    key_part);

	g_free(tenant_part);
	g_free(key_part);
	return row;
}

static void set_hex(json_t *object, const char *name, const uint8_t bytes[16])
{
	char hex[KS_ID_HEX_SIZE];
	ks_id_t id;

	memcpy(id.bytes, bytes, KS_ID_SIZE);
	json_object_set_new(object, name, json_string(ks_id_format(&id, hex)));
}

static void set_response(json_t *object, const ks_claim_t *claim)
{
	json_object_set_new(object, "status", json_integer(claim->status));
	/* JSON cannot represent a content type that is not UTF-8: omit it. */
	if (claim->content_type &&
	    g_utf8_validate(claim->content_type, -1, NULL))
		json_object_set_new(object, "content_type",
				    json_string(claim->content_type));
	if (claim->object)
		json_object_set_new(object, "object",
				    json_string(claim->object));
	if (claim->answer) {
		gsize len;
		const guchar *data = g_bytes_get_data(claim->answer, &len);
		char *text = g_base64_encode(data, len);

		json_object_set_new(object, "body", json_string(text));
		g_free(text);
	}
}

/**
 * ks_claim_encode() - encode a claim as JSON
 *
 * Return: string to be freed with g_free().
 */
char *ks_claim_encode(const ks_claim_t *claim)
{
	json_t *object = json_object();
	char *dumped, *text;

	set_hex(object, "fingerprint", claim->fingerprint);
	set_hex(object, "holder", claim->holder.bytes);
	set_hex(object, "request", claim->request.bytes);
	json_object_set_new(object, "attempt", json_integer(claim->attempt));
	json_object_set_new(object, "state",
			    json_string(state_names[claim->state]));
	json_object_set_new(object, "expires_us",
			    json_integer(claim->expires_us));
	if (claim->state == KS_CLAIM_DONE)
		set_response(object, claim);
	dumped = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(object);
	return text;
}

static bool get_hex(const char *hex, uint8_t bytes[16])
{
	ks_id_t id;

	if (!ks_id_parse(&id, ks_str_from(hex)))
		return false;
	memcpy(bytes, id.bytes, KS_ID_SIZE);
	return true;
}

static bool parse_state(const char *name, ks_claim_state_t *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (!strcmp(name, state_names[i])) {
			*state = (ks_claim_state_t)i;
			return true;
		}
	}
	return false;
}

static bool get_response(const json_t *object, ks_claim_t *claim)
{
	const char *type =
		json_string_value(json_object_get(object, "content_type"));
	const char *name = json_string_value(json_object_get(object, "object"));
	const char *body = json_string_value(json_object_get(object, "body"));
	gsize len;

	claim->status =
		(int)json_integer_value(json_object_get(object, "status"));
	claim->content_type = g_strdup(type);
	claim->object = g_strdup(name);
	if (body) {
		guchar *data = g_base64_decode(body, &len);

		claim->answer = g_bytes_new_take(data, len);
	}
	return claim->status >= 100 && claim->status <= 599 && (name || body);
}

static bool get_claim(const json_t *object, ks_claim_t *claim)
{
	const char *fingerprint, *holder, *request, *state;
	json_int_t attempt, expires;

	if (json_unpack((json_t *)object, "{s:s,s:s,s:s,s:s,s:I,s:I}",
			"fingerprint", &fingerprint, "holder", &holder,
			"request", &request, "state", &state, "attempt",
			&attempt, "expires_us", &expires))
		return false;
	if (attempt < 1 || attempt > UINT32_MAX)
		return false;
	claim->attempt = (uint32_t)attempt;
	claim->expires_us = expires;
	return get_hex(fingerprint, claim->fingerprint) &&
	       get_hex(holder, claim->holder.bytes) &&
	       get_hex(request, claim->request.bytes) &&
	       parse_state(state, &claim->state) &&
	       (claim->state != KS_CLAIM_DONE || get_response(object, claim));
}

/**
 * ks_claim_decode() - decode a claim from JSON
 * @claim: set on success, to be freed with ks_claim_deinit(); zeroed on failure
 * @value: JSON text
 *
 * Return: false with KS_ERROR_INTERNAL if the row is malformed.
 */
bool ks_claim_decode(ks_claim_t *claim, ks_str_t value, GError **error)
{
	json_t *object =
		json_loadb(value.data ? value.data : "", value.len, 0, NULL);
	bool ok;

	memset(claim, 0, sizeof(*claim));
	ok = object && get_claim(object, claim);
	if (!ok) {
		ks_claim_deinit(claim);
		ks_error_set(error, KS_ERROR_INTERNAL, "malformed claim row");
	}
	json_decref(object);
	return ok;
}
