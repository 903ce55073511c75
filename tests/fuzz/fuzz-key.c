/*
 * Fuzzes the parsing of idempotency keys and their dates, and the row key that
 * is derived from them.
 */
#include "fuzz.h"
#include "ks/request.h"

#include <string.h>

/* The keys in the corpus are dated close to this time. */
#define NOW_US (INT64_C(1764000000) * KS_USEC_PER_SEC)

static void check_row(const ks_idempotency_key_t *key)
{
	char *row = ks_claim_row_key(key, KS_STR("t/../x"));
	unsigned slashes = 0;

	for (const char *at = row; *at; at++)
		slashes += *at == '/';
	/* The row must not be in the key space of another tenant or hour. */
	g_assert(slashes == 3 && !strstr(row, "/.."));
	g_free(row);
}

/* The first line of the input is the key, the rest is its date. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *end = size ? memchr(data, '\n', size) : NULL;
	size_t len = end ? (size_t)(end - data) : size;
	ks_str_t text = fuzz_str(data, len);
	ks_str_t date = { NULL, 0 };
	ks_idempotency_key_t key;
	GError *error = NULL;

	if (end)
		date = fuzz_str(end + 1, size - len - 1);
	if (ks_idempotency_key_parse(&key, text, date, NOW_US, &error)) {
		g_assert(key.issued_us >= NOW_US - KS_KEY_RETENTION_US);
		g_assert(key.issued_us <= NOW_US + KS_KEY_MAX_SKEW_US);
		check_row(&key);
	} else {
		g_assert(error);
		g_error_free(error);
	}
	return 0;
}
