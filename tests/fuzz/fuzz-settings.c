/* Fuzzes the parsing of a daemon's settings file. */
#include "fuzz.h"
#include "ks/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ks_settings_t *settings = NULL;
	GError *error = NULL;
	bool ok = ks_settings_parse(&settings, fuzz_str(data, size), "s.yaml",
				    &error);

	g_assert(ok == (settings != NULL) && ok == (error == NULL));
	ks_settings_free(settings);
	g_clear_error(&error);
	return 0;
}
