/* Unit tests of the parsing of completion requests and idempotency keys. */
#include "ks/request.h"

#include <string.h>

static bool parse(ks_completion_t *completion, const char *body, bool chat)
{
	return ks_completion_parse(completion, ks_str_from(body), chat, NULL);
}

/* Guards against a field that is misparsed or lacks its default value. */
static void test_parse_completion(void)
{
	ks_completion_t completion;

	g_assert_true(parse(&completion,
			    "{\"model\":\"m\",\"stream\":true,\"n\":2,"
			    "\"max_tokens\":7,\"messages\":[{\"role\":\"user\","
			    "\"content\":[{\"type\":\"text\",\"text\":\"hi\"}]"
			    "}]}",
			    true));
	g_assert_cmpstr(completion.model, ==, "m");
	g_assert_true(completion.stream);
	g_assert_false(completion.has_seed);
	g_assert_cmpuint(completion.max_tokens, ==, 7);
	g_assert_cmpuint(completion.n_choices, ==, 2);
	/* "user\nhi\n" has eight bytes, at four bytes per token. */
	g_assert_cmpuint(completion.prompt_tokens, ==, 2);
	g_assert_cmpuint(completion.prefix_hashes->len, ==, 0);
	ks_completion_deinit(&completion);
	g_assert_true(parse(&completion,
			    "{\"model\":\"m\",\"seed\":4,\"prompt\":[1,2,3]}",
			    false));
	g_assert_true(completion.has_seed);
	g_assert_false(completion.stream);
	g_assert_cmpuint(completion.prompt_tokens, ==, 3);
	g_assert_cmpuint(completion.max_tokens, >, 0);
	g_assert_cmpuint(completion.n_choices, ==, 1);
	ks_completion_deinit(&completion);
}

/* Guards against a malformed body being forwarded, and memory leaks. */
static void test_reject_malformed_bodies(void)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{",
		"{}",
		"{\"model\":\"\",\"prompt\":\"p\"}",
		"{\"model\":1,\"prompt\":\"p\"}",
		"{\"model\":\"m\"}",
		"{\"model\":\"m\",\"prompt\":{}}",
		"{\"model\":\"m\",\"prompt\":[[]]}",
		"{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}",
		"{\"model\":\"m\",\"prompt\":\"p\",\"n\":0}",
		"{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
		"{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1e9}",
		"{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"p\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		ks_completion_t completion;
		GError *error = NULL;

		g_assert_false(ks_completion_parse(
			&completion, ks_str_from(bodies[i]), false, &error));
		g_assert_cmpint(ks_error_kind(error), ==, KS_ERROR_BAD_REQUEST);
		g_assert_null(completion.model);
		g_error_free(error);
	}
	for (size_t i = 0; i < 2; i++) {
		static const char *const chats[] = {
			"{\"model\":\"m\",\"messages\":[]}",
			"{\"model\":\"m\",\"messages\":[{\"content\":\"\"}]}",
		};
		ks_completion_t completion;

		g_assert_false(parse(&completion, chats[i], true));
	}
}

static bool parse_key(const char *text, const char *date, int64_t now_us,
		      ks_error_kind_t *kind)
{
	ks_idempotency_key_t key;
	GError *error = NULL;
	bool ok = ks_idempotency_key_parse(&key, ks_str_from(text),
					   ks_str_from(date), now_us, &error);

	*kind = ks_error_kind(error);
	g_clear_error(&error);
	return ok;
}

/*
 * Guards against a key whose claim row is removed while retries of the request
 * are still accepted, which would run the request twice.
 */
static void test_key_issue_time(void)
{
	const int64_t day = 24 * 3600 * KS_USEC_PER_SEC;
	/* 0x0190c0ffee00 ms since the epoch. */
	const char *uuid = "0190c0ff-ee00-7abc-8def-0123456789ab";
	const int64_t issued = INT64_C(0x0190c0ffee00) * KS_USEC_PER_MSEC;
	ks_error_kind_t kind;

	g_assert_true(parse_key(uuid, NULL, issued, &kind));
	g_assert_true(parse_key(uuid, NULL, issued + day, &kind));
	g_assert_false(parse_key(uuid, NULL, issued + day + 1, &kind));
	g_assert_cmpint(kind, ==, KS_ERROR_KEY_EXPIRED);
	g_assert_true(
		parse_key(uuid, NULL, issued - KS_KEY_MAX_SKEW_US, &kind));
	g_assert_false(
		parse_key(uuid, NULL, issued - KS_KEY_MAX_SKEW_US - 1, &kind));
	g_assert_cmpint(kind, ==, KS_ERROR_BAD_REQUEST);
	g_assert_true(parse_key("any", "1000", 1000 * KS_USEC_PER_SEC, &kind));
	g_assert_false(parse_key("any", NULL, issued, &kind));
	g_assert_cmpint(kind, ==, KS_ERROR_BAD_REQUEST);
	/* UUID of version 4, of another variant, and with a missing digit. */
	g_assert_false(parse_key("0190c0ff-ee00-4abc-8def-0123456789ab", NULL,
				 issued, &kind));
	g_assert_false(parse_key("0190c0ff-ee00-7abc-cdef-0123456789ab", NULL,
				 issued, &kind));
	g_assert_false(parse_key("0190c0ff-ee00-7abc-8def-0123456789a", NULL,
				 issued, &kind));
}

/* Guards against keys that make row keys ambiguous, and time overflow. */
static void test_reject_malformed_keys(void)
{
	char long_key[202];
	ks_error_kind_t kind;

	memset(long_key, 'k', sizeof(long_key) - 1);
	long_key[201] = '\0';
	g_assert_false(parse_key("", "1000", 0, &kind));
	g_assert_false(parse_key("a b", "1000", 0, &kind));
	g_assert_false(parse_key("a\x80", "1000", 0, &kind));
	g_assert_false(parse_key(long_key, "1000", 0, &kind));
	g_assert_false(parse_key("a", "-1", 0, &kind));
	g_assert_false(parse_key("a", "soon", 0, &kind));
	g_assert_false(parse_key("a", "9223372036854775807", 0, &kind));
	g_assert_cmpint(kind, ==, KS_ERROR_BAD_REQUEST);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/api/parse-completion", test_parse_completion);
	g_test_add_func("/api/reject-malformed-bodies",
			test_reject_malformed_bodies);
	g_test_add_func("/key/issue-time", test_key_issue_time);
	g_test_add_func("/key/reject-malformed-keys",
			test_reject_malformed_keys);
	return g_test_run();
}
