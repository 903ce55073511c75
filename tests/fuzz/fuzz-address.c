/*
 * Fuzzes ks_address_parse(). An accepted address has to stay the same when it
 * is formatted and parsed again.
 */
#include "fuzz.h"
#include "ks/connection.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[KS_ADDRESS_TEXT_SIZE], text2[KS_ADDRESS_TEXT_SIZE];
	ks_address_t address, again;
	GError *error = NULL;

	if (ks_address_parse(&address, fuzz_str(data, size), &error)) {
		ks_address_format(&address, text);
		g_assert(ks_address_parse(&again, ks_str_from(text), NULL));
		g_assert(!strcmp(text, ks_address_format(&again, text2)));
		ks_address_is_loopback(&address);
	} else {
		g_assert(error);
		g_error_free(error);
	}
	return 0;
}
