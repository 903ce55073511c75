/* 128-bit identifiers. */
#include "ks/core.h"

#include <string.h>
#include <sys/random.h>

/**
 * ks_id_generate() - generate a random identifier with getrandom()
 *
 * Return: false if getrandom() failed.
 */
bool ks_id_generate(ks_id_t *id)
{
	return getrandom(id->bytes, KS_ID_SIZE, 0) == KS_ID_SIZE;
}

/**
 * ks_id_generate_seeded() - generate an identifier from a seeded generator
 *
 * For tests, which need the same identifiers in each run. Identifiers that are
 * sent to other processes come from ks_id_generate().
 */
void ks_id_generate_seeded(ks_id_t *id, ks_rng_t *rng)
{
	for (size_t i = 0; i < KS_ID_SIZE; i++)
		id->bytes[i] = (uint8_t)ks_rng_below(rng, 256);
}

/**
 * ks_id_equal() - whether two identifiers are the same
 */
bool ks_id_equal(const ks_id_t *a, const ks_id_t *b)
{
	return !memcmp(a->bytes, b->bytes, KS_ID_SIZE);
}

/**
 * ks_id_is_zero() - whether an identifier is all zeros, that is, unset
 */
bool ks_id_is_zero(const ks_id_t *id)
{
	static const ks_id_t zero;

	return ks_id_equal(id, &zero);
}

/**
 * ks_id_from_bytes() - decode an identifier from a message field
 *
 * Return: false if @len is not KS_ID_SIZE.
 */
bool ks_id_from_bytes(ks_id_t *id, const void *data, size_t len)
{
	if (len != KS_ID_SIZE)
		return false;
	memcpy(id->bytes, data, KS_ID_SIZE);
	return true;
}

/**
 * ks_id_parse() - parse an identifier of 32 hexadecimal digits
 *
 * Return: false if @hex has another length or other characters.
 */
bool ks_id_parse(ks_id_t *id, ks_str_t hex)
{
	if (hex.len != 2 * KS_ID_SIZE)
		return false;
	for (size_t i = 0; i < KS_ID_SIZE; i++) {
		int high = g_ascii_xdigit_value(hex.data[2 * i]);
		int low = g_ascii_xdigit_value(hex.data[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		id->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

/**
 * ks_id_format() - format an identifier as 32 hexadecimal digits
 *
 * Return: @buf, NUL-terminated.
 */
const char *ks_id_format(const ks_id_t *id, char buf[KS_ID_HEX_SIZE])
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < KS_ID_SIZE; i++) {
		buf[2 * i] = digits[id->bytes[i] >> 4];
		buf[2 * i + 1] = digits[id->bytes[i] & 15];
	}
	buf[2 * KS_ID_SIZE] = '\0';
	return buf;
}

/**
 * ks_id_hash() - GHashFunc for identifiers
 *
 * The bits of an identifier are random, so its first bytes serve as the hash.
 */
unsigned ks_id_hash(const void *id)
{
	unsigned hash;

	memcpy(&hash, id, sizeof(hash));
	return hash;
}

/**
 * ks_id_hash_equal() - GEqualFunc for identifiers
 */
int ks_id_hash_equal(const void *a, const void *b)
{
	return ks_id_equal(a, b);
}
