/* Property tests of identifiers and integer parsing. */
#include "ks/core.h"

#include <rapidcheck.h>

/* Guards against identifiers that change when formatted and parsed. */
static bool check_id_text()
{
	return rc::check(
		"formatting and parsing an id returns the same id",
		[](uint32_t seed) {
			char text[KS_ID_HEX_SIZE];
			ks_id_t id, parsed;
			ks_rng_t rng;

			ks_rng_init(&rng, seed);
			ks_id_generate_seeded(&id, &rng);
			ks_rng_deinit(&rng);
			RC_ASSERT(ks_id_parse(
				&parsed, ks_str_from(ks_id_format(&id, text))));
			RC_ASSERT(ks_id_equal(&id, &parsed));
		});
}

/* Guards against integers of 64 bits that are refused or parsed as others. */
static bool check_parse_int()
{
	return rc::check("an int64_t is parsed from its decimal form",
			 [](int64_t value) {
				 std::string text = std::to_string(value);
				 int64_t parsed = 0;

				 RC_ASSERT(ks_str_parse_int(
					 { text.data(), text.size() },
					 INT64_MIN, INT64_MAX, &parsed));
				 RC_ASSERT(parsed == value);
			 });
}

int main()
{
	return check_id_text() && check_parse_int() ? 0 : 1;
}
