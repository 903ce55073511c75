/* HTTP header fields. */
#include "ks/connection.h"

#include <string.h>

/**
 * ks_header_find() - find the first header field with a name
 * @name: NUL-terminated; compared without regard to case
 *
 * Return: the field, or NULL.
 */
const ks_header_t *ks_header_find(const ks_header_t *headers, size_t count,
				  const char *name)
{
	ks_str_t wanted = ks_str_from(name);

	for (size_t i = 0; i < count; i++)
		if (ks_str_equal_nocase(headers[i].name, wanted))
			return &headers[i];
	return NULL;
}

/**
 * ks_header_value() - value of the first header field with a name
 *
 * Return: the value; empty if there is no such field.
 */
ks_str_t ks_header_value(const ks_header_t *headers, size_t count,
			 const char *name)
{
	const ks_header_t *header = ks_header_find(headers, count, name);

	return header ? header->value : (ks_str_t){ NULL, 0 };
}

/**
 * ks_header_is_name() - whether all bytes may stand in the name of a header
 * field (RFC 9110, 5.6.2)
 */
bool ks_header_is_name(ks_str_t bytes)
{
	static const char marks[] = "!#$%&'*+-.^_`|~";

	for (size_t i = 0; i < bytes.len; i++)
		if (!g_ascii_isalnum(bytes.data[i]) &&
		    !memchr(marks, bytes.data[i], sizeof(marks) - 1))
			return false;
	return true;
}

/**
 * ks_header_is_value() - whether all bytes may stand in the value of a header
 * field (RFC 9110, 5.5)
 */
bool ks_header_is_value(ks_str_t bytes)
{
	for (size_t i = 0; i < bytes.len; i++)
		if (g_ascii_iscntrl(bytes.data[i]) && bytes.data[i] != '\t')
			return false;
	return true;
}

/**
 * ks_headers_are_valid() - whether names and values may stand in a message
 */
bool ks_headers_are_valid(const ks_header_t *headers, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!headers[i].name.len ||
		    !ks_header_is_name(headers[i].name) ||
		    !ks_header_is_value(headers[i].value))
			return false;
	return true;
}
