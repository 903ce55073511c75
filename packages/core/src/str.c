/* Length-counted strings that do not own their bytes. */
#include "ks/core.h"

#include <string.h>

/**
 * ks_str_from() - make a view of a NUL-terminated string
 * @text: string, or NULL for the empty string
 *
 * Return: a view that is valid for as long as @text.
 */
ks_str_t ks_str_from(const char *text)
{
	return (ks_str_t){ text, text ? strlen(text) : 0 };
}

/**
 * ks_str_equal() - compare two strings byte for byte
 */
bool ks_str_equal(ks_str_t a, ks_str_t b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

/**
 * ks_str_equal_nocase() - compare two strings, ignoring the case of ASCII
 * letters
 */
bool ks_str_equal_nocase(ks_str_t a, ks_str_t b)
{
	return a.len == b.len &&
	       (!a.len || !g_ascii_strncasecmp(a.data, b.data, a.len));
}

/**
 * ks_str_has_prefix() - whether @s starts with @prefix
 */
bool ks_str_has_prefix(ks_str_t s, ks_str_t prefix)
{
	return s.len >= prefix.len &&
	       (!prefix.len || !memcmp(s.data, prefix.data, prefix.len));
}

/**
 * ks_str_parse_int() - parse a string that is a decimal integer and nothing
 * else
 * @s: digits, with an optional minus sign
 * @min: smallest value accepted
 * @max: largest value accepted
 * @value: set on success only
 *
 * Return: false if @s is not an integer or is out of range.
 */
bool ks_str_parse_int(ks_str_t s, int64_t min, int64_t max, int64_t *value)
{
	char digits[24];
	gint64 parsed;

	if (!s.len || s.len >= sizeof(digits))
		return false;
	memcpy(digits, s.data, s.len);
	digits[s.len] = '\0';
	if (!g_ascii_string_to_signed(digits, 10, min, max, &parsed, NULL))
		return false;
	*value = parsed;
	return true;
}

/**
 * ks_str_parse_decimal() - parse digits with an optional fraction
 * @value: set on success only
 *
 * Return: false if @s has a sign, an exponent, or is anything else.
 */
bool ks_str_parse_decimal(ks_str_t s, double *value)
{
	size_t point = s.len;
	char copy[32];

	if (!s.len || s.len >= sizeof(copy))
		return false;
	for (size_t i = 0; i < s.len; i++) {
		copy[i] = s.data[i];
		if (copy[i] == '.' && point == s.len && i)
			point = i;
		else if (!g_ascii_isdigit(copy[i]))
			return false;
	}
	copy[s.len] = '\0';
	*value = g_ascii_strtod(copy, NULL);
	return true;
}

/**
 * ks_str_dup() - make a NUL-terminated copy of a string
 *
 * Return: the copy, to be freed with g_free().
 */
char *ks_str_dup(ks_str_t s)
{
	return g_strndup(s.data ? s.data : "", s.len);
}
