/* SHA-256 digests of snapshots. */
#include "ks/version.h"

#include <string.h>

/**
 * ks_digest_compute() - compute the SHA-256 digest of a byte string
 */
void ks_digest_compute(ks_digest_t *digest, ks_str_t data)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = KS_DIGEST_SIZE;

	g_checksum_update(checksum, (const guchar *)data.data,
			  (gssize)data.len);
	g_checksum_get_digest(checksum, digest->bytes, &len);
	g_checksum_free(checksum);
}

/**
 * ks_digest_equal() - whether two digests are the same
 */
bool ks_digest_equal(const ks_digest_t *a, const ks_digest_t *b)
{
	return !memcmp(a->bytes, b->bytes, KS_DIGEST_SIZE);
}

/**
 * ks_digest_from_bytes() - read a digest in binary form
 *
 * Return: false if @bytes is not KS_DIGEST_SIZE long.
 */
bool ks_digest_from_bytes(ks_digest_t *digest, ks_str_t bytes)
{
	if (bytes.len != KS_DIGEST_SIZE)
		return false;
	memcpy(digest->bytes, bytes.data, KS_DIGEST_SIZE);
	return true;
}

/**
 * ks_digest_parse() - read a digest from hexadecimal digits
 *
 * Return: false if @hex is not exactly 2 * KS_DIGEST_SIZE hexadecimal digits.
 */
bool ks_digest_parse(ks_digest_t *digest, ks_str_t hex)
{
	if (hex.len != 2 * KS_DIGEST_SIZE)
		return false;
	for (size_t i = 0; i < KS_DIGEST_SIZE; i++) {
		int high = g_ascii_xdigit_value(hex.data[2 * i]);
		int low = g_ascii_xdigit_value(hex.data[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		digest->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

/**
 * ks_digest_format() - write a digest as hexadecimal digits
 *
 * Return: @buf, null-terminated.
 */
const char *ks_digest_format(const ks_digest_t *digest,
			     char buf[KS_DIGEST_HEX_SIZE])
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < KS_DIGEST_SIZE; i++) {
		buf[2 * i] = digits[digest->bytes[i] >> 4];
		buf[2 * i + 1] = digits[digest->bytes[i] & 15];
	}
	buf[2 * KS_DIGEST_SIZE] = '\0';
	return buf;
}
