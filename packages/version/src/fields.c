/* Table of the fields of an upstream, and the formats of their values. */
#include "fields.h"

#include <arpa/inet.h>
#include <string.h>

#define FIELD(field_name, field_kind, is_required)             \
	{                                                      \
		.name = #field_name, .kind = (field_kind),     \
		.offset = offsetof(ks_upstream_t, field_name), \
		.required = (is_required)                      \
	}

/* Differences and error messages list the fields in this order. */
const ks_field_t ks_upstream_fields[KS_UPSTREAM_N_FIELDS] = {
	FIELD(id, KS_FIELD_TEXT, true),
	FIELD(process, KS_FIELD_ADDRESS, true),
	FIELD(endpoint, KS_FIELD_ADDRESS, true),
	FIELD(host, KS_FIELD_TEXT, true),
	FIELD(domain, KS_FIELD_TEXT, true),
	FIELD(model, KS_FIELD_TEXT, false),
	FIELD(service, KS_FIELD_TEXT, false),
	FIELD(role, KS_FIELD_ROLE, false),
	FIELD(limit, KS_FIELD_UINT, true),
	FIELD(checks_fencing, KS_FIELD_BOOL, false),
	FIELD(resumes, KS_FIELD_BOOL, false),
};

/**
 * ks_upstream_field_index() - find a field in ks_upstream_fields by name
 *
 * Return: the index, or -1 if there is no such field.
 */
int ks_upstream_field_index(const char *name)
{
	for (int i = 0; i < KS_UPSTREAM_N_FIELDS; i++)
		if (!strcmp(ks_upstream_fields[i].name, name))
			return i;
	return -1;
}

/**
 * ks_upstream_field_format() - format the value of a field as text
 *
 * Return: text to be freed with g_free(), or NULL if the field is not set.
 */
char *ks_upstream_field_format(const ks_upstream_t *upstream,
			       const ks_field_t *field)
{
	switch (field->kind) {
	case KS_FIELD_ROLE:
		return g_strdup(ks_engine_role_name(
			*KS_FIELD_CONST_AT(upstream, field, ks_engine_role_t)));
	case KS_FIELD_UINT:
		return g_strdup_printf(
			"%u", *KS_FIELD_CONST_AT(upstream, field, unsigned));
	case KS_FIELD_BOOL:
		return g_strdup(*KS_FIELD_CONST_AT(upstream, field, bool)
					? "true"
					: "false");
	case KS_FIELD_TEXT:
	case KS_FIELD_ADDRESS:
		break;
	}
	return g_strdup(*KS_FIELD_CONST_AT(upstream, field, char *));
}

/**
 * ks_upstream_field_copy() - copy a field, freeing its previous value
 */
void ks_upstream_field_copy(ks_upstream_t *to, const ks_upstream_t *from,
			    const ks_field_t *field)
{
	char **text;

	switch (field->kind) {
	case KS_FIELD_ROLE:
		*KS_FIELD_AT(to, field, ks_engine_role_t) =
			*KS_FIELD_CONST_AT(from, field, ks_engine_role_t);
		return;
	case KS_FIELD_UINT:
		*KS_FIELD_AT(to, field, unsigned) =
			*KS_FIELD_CONST_AT(from, field, unsigned);
		return;
	case KS_FIELD_BOOL:
		*KS_FIELD_AT(to, field, bool) =
			*KS_FIELD_CONST_AT(from, field, bool);
		return;
	case KS_FIELD_TEXT:
	case KS_FIELD_ADDRESS:
		break;
	}
	text = KS_FIELD_AT(to, field, char *);
	g_free(*text);
	*text = g_strdup(*KS_FIELD_CONST_AT(from, field, char *));
}

/**
 * ks_address_text_is_valid() - whether a text is an address of the form IP:PORT
 *
 * The port is from 1 to 65535. An IPv6 address must be in brackets.
 */
bool ks_address_text_is_valid(const char *text)
{
	unsigned char bytes[sizeof(struct in6_addr)];
	const char *colon = strrchr(text, ':');
	bool bracketed = text[0] == '[';
	int64_t port;
	char *ip;
	bool ok;

	if (!colon ||
	    !ks_str_parse_int(ks_str_from(colon + 1), 1, UINT16_MAX, &port))
		return false;
	if (bracketed && (colon - text < 2 || colon[-1] != ']'))
		return false;
	ip = bracketed ? g_strndup(text + 1, (gsize)(colon - text) - 2)
		       : g_strndup(text, (gsize)(colon - text));
	ok = inet_pton(bracketed ? AF_INET6 : AF_INET, ip, bytes) == 1;
	g_free(ip);
	return ok;
}

/**
 * ks_name_is_valid() - whether a text is a valid name of a model, host, etc.
 *
 * Names are used in row keys of the store and in label values of metrics.
 * Therefore only ASCII letters, digits and "._:@+-" are allowed, and at most
 * KS_NAME_MAX_LEN characters.
 */
bool ks_name_is_valid(const char *text)
{
	size_t len = strlen(text);

	if (!len || len > KS_NAME_MAX_LEN)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) && !strchr("._:@+-", text[i]))
			return false;
	return true;
}
