/* HTTP header fields. */
#include "ks/connection.h"

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
