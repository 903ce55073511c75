/* Tests of strings, error kinds, identifiers, backoff and clocks. */
#include "ks/core.h"

/* Guards against an error kind that has no HTTP response. */
static void test_error_every_kind_has_answer(void)
{
	for (int i = 0; i < KS_ERROR_N_KINDS; i++) {
		const ks_error_answer_t *answer = ks_error_answer(i);

		g_assert_nonnull(answer->code);
		g_assert_cmpint(answer->status, >=, 200);
		g_assert_cmpint(ks_error_kind_from_code(answer->code), ==, i);
	}
}

/*
 * Guards against a response that says the request was not executed although it
 * may have been: the caller would repeat a non-idempotent request.
 */
static void test_error_unknown_outcome_is_not_reported_as_not_run(void)
{
	g_assert_false(ks_error_answer(KS_ERROR_OUTCOME_UNKNOWN)->not_run);
	g_assert_false(ks_error_answer(KS_ERROR_IN_PROGRESS)->not_run);
	g_assert_false(ks_error_answer(KS_ERROR_UPSTREAM_FAILED)->not_run);
	g_assert_false(ks_error_answer(KS_ERROR_DEADLINE_EXCEEDED)->not_run);
}

/* Guards against integers with trailing bytes or overflow being accepted. */
static void test_str_parse_int_is_strict(void)
{
	int64_t value = -1;

	g_assert_true(ks_str_parse_int(KS_STR("42"), 0, 100, &value));
	g_assert_cmpint(value, ==, 42);
	g_assert_false(ks_str_parse_int(KS_STR("42x"), 0, 100, &value));
	g_assert_false(ks_str_parse_int(KS_STR(""), 0, 100, &value));
	g_assert_false(ks_str_parse_int(KS_STR("101"), 0, 100, &value));
	g_assert_false(ks_str_parse_int(KS_STR("99999999999999999999999999"), 0,
					INT64_MAX, &value));
	g_assert_cmpint(value, ==, 42);
}

/* Guards against signs, exponents, lists and names being read as a number. */
static void test_str_parse_decimal_is_strict(void)
{
	static const char *const bad[] = {
		"",    "-1",	"+1",	"1e3",
		".5",  "1.2.3", "1,2",	" 1",
		"nan", "inf",	"0x10", "11111111111111111111111111111111"
	};
	double value = -1;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(
			ks_str_parse_decimal(ks_str_from(bad[i]), &value));
	g_assert_cmpfloat(value, ==, -1);
	g_assert_true(ks_str_parse_decimal(KS_STR("2.75"), &value));
	g_assert_cmpfloat(value, ==, 2.75);
	g_assert_true(ks_str_parse_decimal(KS_STR("0"), &value));
	g_assert_cmpfloat(value, ==, 0);
}

/* Guards against an id that changes when formatted and parsed. */
static void test_id_round_trip(void)
{
	char text[KS_ID_HEX_SIZE];
	ks_id_t id, parsed;

	g_assert_true(ks_id_generate(&id));
	g_assert_true(
		ks_id_parse(&parsed, ks_str_from(ks_id_format(&id, text))));
	g_assert_true(ks_id_equal(&id, &parsed));
	g_assert_false(ks_id_parse(&parsed, KS_STR("12")));
	text[3] = 'g';
	g_assert_false(ks_id_parse(&parsed, ks_str_from(text)));
}

/* Guards against delays that exceed the maximum or overflow. */
static void test_backoff_stays_below_maximum(void)
{
	ks_backoff_t backoff;
	ks_rng_t rng;

	ks_rng_init(&rng, 7);
	ks_backoff_init(&backoff, 100, 5000);
	g_assert_cmpint(ks_backoff_next(&backoff, &rng), <=, 101);
	for (int i = 0; i < 200; i++) {
		int64_t delay = ks_backoff_next(&backoff, &rng);

		g_assert_cmpint(delay, >=, 1);
		g_assert_cmpint(delay, <=, 5001);
	}
	ks_rng_deinit(&rng);
}

/* Guards against a test clock that moves without being advanced. */
static void test_clock_only_moves_when_advanced(void)
{
	ks_test_clock_t test;

	ks_test_clock_init(&test, 5);
	g_assert_cmpint(ks_clock_now(&test.clock), ==, 5);
	ks_test_clock_advance(&test, 10);
	g_assert_cmpint(ks_clock_now(&test.clock), ==, 15);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/error/every-kind-has-answer",
			test_error_every_kind_has_answer);
	g_test_add_func("/error/unknown-outcome-is-not-reported-as-not-run",
			test_error_unknown_outcome_is_not_reported_as_not_run);
	g_test_add_func("/str/parse-int-is-strict",
			test_str_parse_int_is_strict);
	g_test_add_func("/str/parse-decimal-is-strict",
			test_str_parse_decimal_is_strict);
	g_test_add_func("/id/round-trip", test_id_round_trip);
	g_test_add_func("/backoff/stays-below-maximum",
			test_backoff_stays_below_maximum);
	g_test_add_func("/clock/test-clock-only-moves-when-advanced",
			test_clock_only_moves_when_advanced);
	return g_test_run();
}
