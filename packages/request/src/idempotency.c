/* Parsing of idempotency keys and of the time they were created. */
#include "ks/request.h"

#include <string.h>

#define MAX_KEY_LEN 200
#define UUID_LEN 36

static bool is_key_char(char c)
{
	return c > ' ' && c < 0x7f;
}

static bool check_key_text(ks_str_t text, GError **error)
{
	bool ok = text.len > 0 && text.len <= MAX_KEY_LEN;

	for (size_t i = 0; ok && i < text.len; i++)
		ok = is_key_char(text.data[i]);
	if (!ok)
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "Idempotency-Key is not 1 to %d visible ASCII "
			     "characters",
			     MAX_KEY_LEN);
	return ok;
}

/* A UUIDv7 starts with 48 bits of Unix time in milliseconds (RFC 9562). */
static bool parse_uuid7(ks_str_t text, int64_t *issued_us)
{
	int64_t ms = 0;

	if (text.len != UUID_LEN)
		return false;
	for (size_t i = 0; i < UUID_LEN; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (dash ? text.data[i] != '-'
			 : !g_ascii_isxdigit(text.data[i]))
			return false;
		if (!dash && i < 13)
			ms = ms * 16 + g_ascii_xdigit_value(text.data[i]);
	}
	/* Version 7; the two highest bits of the variant are 10. */
	if (text.data[14] != '7' ||
	    (g_ascii_xdigit_value(text.data[19]) & 0xc) != 0x8)
		return false;
	*issued_us = ms * KS_USEC_PER_MSEC;
	return true;
}

static bool parse_issue_time(ks_str_t text, ks_str_t date, int64_t *issued_us,
			     GError **error)
{
	int64_t seconds;

	if (!date.len) {
		if (parse_uuid7(text, issued_us))
			return true;
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "Idempotency-Key is no UUIDv7 and "
			     "Idempotency-Key-Date is missing");
		return false;
	}
	if (!ks_str_parse_int(date, 0, INT64_MAX / KS_USEC_PER_SEC, &seconds)) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "Idempotency-Key-Date is not a Unix time in "
			     "seconds");
		return false;
	}
	*issued_us = seconds * KS_USEC_PER_SEC;
	return true;
}

/**
 * ks_idempotency_key_parse() - parse a key and the time it was created
 * @key: set on success; refers to @text
 * @text: value of the Idempotency-Key header
 * @date: value of the Idempotency-Key-Date header, Unix time in seconds; if it
 *	is empty, @text must be a UUIDv7, which contains the time
 * @now_us: Unix time
 *
 * Return: false, with KS_ERROR_BAD_REQUEST if the key is malformed, has no time
 * or is more than KS_KEY_MAX_SKEW_US in the future; with KS_ERROR_KEY_EXPIRED
 * if it is older than KS_KEY_RETENTION_US.
 */
bool ks_idempotency_key_parse(ks_idempotency_key_t *key, ks_str_t text,
			      ks_str_t date, int64_t now_us, GError **error)
{
	int64_t issued_us;

	if (!check_key_text(text, error) ||
	    !parse_issue_time(text, date, &issued_us, error))
		return false;
	if (issued_us > now_us + KS_KEY_MAX_SKEW_US) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "the key's time of issue is in the future");
		return false;
	}
	if (issued_us < now_us - KS_KEY_RETENTION_US) {
		ks_error_set(error, KS_ERROR_KEY_EXPIRED,
			     "the key is older than the retention");
		return false;
	}
	key->text = text;
	key->issued_us = issued_us;
	return true;
}
