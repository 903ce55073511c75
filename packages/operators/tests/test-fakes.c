/* Tests of the fake engine and the fake service that other tests use. */
#include "fake_process.h"

#include <stdlib.h>
#include <xxhash.h>

#define ARGS "--model m1 --decode-us 1000 --prefill-us-per-token 0.1 "
#define N_CONCURRENT 8

/* Returns the text that docs/engine.md specifies for a prompt. */
static char *expected_text(const char *prompt, unsigned from, unsigned to)
{
	uint64_t hash = XXH64(prompt, strlen(prompt), 0);
	GString *text = g_string_new(NULL);

	for (unsigned i = from; i < to; i++)
		g_string_append_printf(
			text, "t%u ",
			(unsigned)((hash ^ (i * UINT64_C(0x9E3779B97F4A7C15))) %
				   100000));
	return g_string_free(text, FALSE);
}

static char *completion_body(const char *prompt, unsigned max_tokens,
			     bool stream)
{
	return g_strdup_printf("{\"model\":\"m1\",\"prompt\":\"%s\","
			       "\"max_tokens\":%u,\"stream\":%s}",
			       prompt, max_tokens, stream ? "true" : "false");
}

static struct reply complete(const struct fake *fake, const char *prompt,
			     unsigned max_tokens)
{
	char *body = completion_body(prompt, max_tokens, false);
	struct reply reply = call(fake, "POST", "/v1/completions", body);

	g_free(body);
	return reply;
}

static void assert_contains(const struct reply *reply, const char *text)
{
	g_assert_cmpint(reply->result, ==, KS_HTTP_COMPLETE);
	if (!strstr(reply->body, text))
		g_test_message("no '%s' in: %s", text, reply->body);
	g_assert_nonnull(strstr(reply->body, text));
}

/* Returns the concatenated text of all events of a stream. */
static char *stream_text(const char *body)
{
	GString *text = g_string_new(NULL);
	const char *at = body;

	while ((at = strstr(at, "\"text\":\""))) {
		at += strlen("\"text\":\"");
		g_string_append_len(text, at, strchr(at, '"') - at);
	}
	return g_string_free(text, FALSE);
}

/*
 * Guards against completions that do not only depend on the prompt: other tests
 * could not tell whether one is complete and belongs to its request.
 */
static void test_completions_depend_on_prompt(void)
{
	struct fake fake = fake_start("fake-engine", ARGS);
	struct reply replies[N_CONCURRENT];
	char prompt[32];
	char *text;

	for (int i = 0; i < N_CONCURRENT; i++) {
		char *body;

		g_snprintf(prompt, sizeof(prompt), "prompt %d", i);
		body = completion_body(prompt, 20, i % 2);
		call_start(&fake, "POST", "/v1/completions", NULL, body,
			   &replies[i]);
		g_free(body);
	}
	for (int i = 0; i < N_CONCURRENT; i++) {
		char *got;

		WAIT_FOR(replies[i].done);
		g_snprintf(prompt, sizeof(prompt), "prompt %d", i);
		text = expected_text(prompt, 0, 20);
		got = stream_text(replies[i].body);
		g_assert_cmpstr(got, ==, text);
		if (i % 2)
			g_assert_true(g_str_has_suffix(replies[i].body,
						       "data: [DONE]\n\n"));
		assert_contains(&replies[i], "\"completion_tokens\":20");
		g_free(got);
		g_free(text);
		g_free(replies[i].body);
	}
	g_assert_cmpint(fetch_stat(&fake, "completed"), ==, N_CONCURRENT);
	/* The requests were batched, not run one after the other. */
	g_assert_cmpint(fetch_stat(&fake, "max_running"), >, 1);
	fake_stop(&fake);
}

static void assert_resumes(const struct fake *fake, const char *from)
{
	ks_header_t resume = { KS_STR("x-ks-resume-from"), ks_str_from(from) };
	char *body = completion_body("abc", 12, true);
	char *expected = expected_text("abc", (unsigned)atoi(from), 12);
	struct reply reply;
	char *got;

	call_start(fake, "POST", "/v1/completions", &resume, body, &reply);
	WAIT_FOR(reply.done);
	got = stream_text(reply.body);
	g_assert_cmpstr(got, ==, expected);
	assert_contains(&reply, "\"completion_tokens\":12");
	g_assert_true(g_str_has_suffix(reply.body, "data: [DONE]\n\n"));
	g_free(got);
	g_free(expected);
	g_free(body);
	g_free(reply.body);
}

/*
 * Guards against a resumed stream that repeats or skips a token, or that does
 * not end if only its end was lost.
 */
static void test_resume_continues_at_token(void)
{
	struct fake fake = fake_start("fake-engine", ARGS);

	assert_resumes(&fake, "7");
	assert_resumes(&fake, "11");
	assert_resumes(&fake, "12");
	fake_stop(&fake);
}

/*
 * Guards against a prefix cache that has no effect or no limit, and against KV
 * blocks that are missing after a transfer.
 */
static void test_prefix_cache_and_transfer(void)
{
	struct fake one = fake_start("fake-engine",
				     ARGS "--kv-blocks 4 --kv-us-per-block 1");
	struct fake two = fake_start("fake-engine",
				     ARGS "--kv-blocks 4 --kv-us-per-block 1");
	char *prompt = g_strnfill(18000, 'a');
	char *other = g_strnfill(18000, 'b');
	char *body = g_strdup_printf("{\"prompt\":\"%s\"}", prompt);
	struct reply reply = complete(&one, prompt, 2);

	assert_contains(&reply, "\"cached_tokens\":0}");
	g_free(reply.body);
	reply = complete(&one, prompt, 2);
	assert_contains(&reply, "\"cached_tokens\":4000}");
	g_free(reply.body);

	reply = call(&one, "POST", "/kv/export", body);
	assert_contains(&reply, "\"tokens\":4000");
	g_free(body);
	body = reply.body;
	reply = call(&two, "POST", "/kv/import", body);
	assert_contains(&reply, "\"imported\":2");
	g_free(reply.body);
	reply = complete(&two, prompt, 2);
	assert_contains(&reply, "\"cached_tokens\":4000}");
	g_free(reply.body);

	/* The three blocks of another prompt evict those of the first. */
	reply = complete(&one, other, 2);
	g_free(reply.body);
	reply = complete(&one, prompt, 2);
	assert_contains(&reply, "\"cached_tokens\":0}");
	g_free(reply.body);
	reply = call(&one, "GET", "/cache/events?since=0", "");
	assert_contains(&reply, "\"evicted\"");
	g_free(reply.body);
	g_free(body);
	g_free(prompt);
	g_free(other);
	fake_stop(&one);
	fake_stop(&two);
}

static void ignore_head(void *ctx G_GNUC_UNUSED, int status G_GNUC_UNUSED,
			const ks_header_t *headers G_GNUC_UNUSED,
			size_t n_headers G_GNUC_UNUSED)
{
}

static void count_body(void *ctx, ks_str_t data)
{
	*(size_t *)ctx += data.len;
}

static void ignore_done(void *ctx G_GNUC_UNUSED,
			ks_http_result_t result G_GNUC_UNUSED)
{
}

static const ks_http_events_t count_events = {
	.head = ignore_head,
	.body = count_body,
	.done = ignore_done,
};

/* Starts a completion that takes 15 minutes. */
static void start_long_completion(const struct fake *fake, ks_http_call_t *call,
				  bool stream, size_t *n_bytes)
{
	char *body = completion_body("abc", 900000, stream);
	ks_http_request_t request = {
		.address = fake->address,
		.method = KS_STR("POST"),
		.target = KS_STR("/v1/completions"),
		.body = ks_str_from(body),
	};

	*n_bytes = 0;
	ks_http_call_start(call, &test_client, &request, &count_events,
			   n_bytes);
	g_free(body);
}

/* Guards against running on after the caller has disconnected. */
static void test_disconnect_cancels(void)
{
	struct fake fake = fake_start("fake-engine", ARGS);

	for (int stream = 0; stream < 2; stream++) {
		ks_http_call_t running;
		size_t n_bytes;

		start_long_completion(&fake, &running, stream, &n_bytes);
		WAIT_FOR(fetch_stat(&fake, "requests") == stream + 1);
		ks_http_call_cancel(&running);
		WAIT_FOR(fetch_stat(&fake, "cancelled") == stream + 1);
	}
	g_assert_cmpint(fetch_stat(&fake, "completed"), ==, 0);
	fake_stop(&fake);
}

/*
 * Guards against options for late reports that have no effect. With them, a
 * busy engine still reports to be idle.
 */
static void test_late_reports(void)
{
	struct fake now = fake_start("fake-engine", ARGS);
	struct fake late =
		fake_start("fake-engine",
			   ARGS "--load-lag-ms 600000 --event-lag-ms 600000");
	const struct fake *fakes[] = { &now, &late };
	char *prompt = g_strnfill(18000, 'a');

	for (size_t i = 0; i < G_N_ELEMENTS(fakes); i++) {
		struct reply reply = complete(fakes[i], prompt, 2);
		ks_http_call_t running;
		size_t n_bytes;

		g_free(reply.body);
		start_long_completion(fakes[i], &running, true, &n_bytes);
		WAIT_FOR(n_bytes > 0);
		reply = call(fakes[i], "GET", "/state", "");
		assert_contains(&reply,
				i == 0 ? "\"running\":1" : "\"running\":0");
		g_free(reply.body);
		reply = call(fakes[i], "GET", "/cache/events?since=0", "");
		assert_contains(&reply,
				i == 0 ? "\"stored\"" : "\"events\":[]");
		g_free(reply.body);
		ks_http_call_cancel(&running);
	}
	g_free(prompt);
	fake_stop(&now);
	fake_stop(&late);
}

/* Guards against a crash or silence requested with /control being ignored. */
static void test_control(void)
{
	static const char *const programs[] = { "fake-engine", "fake-service" };

	for (size_t i = 0; i < G_N_ELEMENTS(programs); i++) {
		struct fake fake = fake_start(programs[i], "");
		struct reply control, silent, crash;

		control = call(&fake, "POST", "/control", "{\"silent\":true}");
		call_start(&fake, "GET", "/state", NULL, "", &silent);
		crash = call(&fake, "POST", "/control", "{\"crash\":true}");
		g_assert_cmpint(crash.result, ==, KS_HTTP_INCOMPLETE);
		WAIT_FOR(silent.done);
		g_assert_cmpint(silent.result, !=, KS_HTTP_COMPLETE);
		g_free(control.body);
		g_free(silent.body);
		g_free(crash.body);
		fake_stop(&fake);
	}
}

/*
 * Guards against a role change that cancels running requests or accepts new
 * ones.
 */
static void test_role_change(void)
{
	struct fake fake = fake_start("fake-engine", ARGS "--change-ms 600000");
	struct reply order, refused;
	ks_http_call_t running;
	size_t n_bytes, n_bytes_before;

	start_long_completion(&fake, &running, true, &n_bytes);
	WAIT_FOR(n_bytes > 0);
	call_start(&fake, "POST", "/orders", NULL,
		   "{\"kind\":\"set_role\",\"role\":\"decode\",\"fence\":1}",
		   &order);
	WAIT_FOR(fetch_stat(&fake, "orders") == 1);
	refused = complete(&fake, "abc", 3);
	g_assert_cmpint(refused.status, ==, 503);
	g_assert_cmpint(fetch_stat(&fake, "orders_while_running"), ==, 1);
	n_bytes_before = n_bytes;
	WAIT_FOR(n_bytes > n_bytes_before + 1000);
	g_assert_cmpint(fetch_stat(&fake, "cancelled"), ==, 0);
	ks_http_call_cancel(&running);
	fake_stop(&fake);
	WAIT_FOR(order.done);
	g_free(refused.body);
	g_free(order.body);
}

/* Guards against executions whose response was lost not being counted. */
static void test_service_counts_every_execution(void)
{
	static const ks_header_t key = { KS_STR("idempotency-key"),
					 KS_STR("k1") };
	struct fake fake = fake_start("fake-service", "--delay-us 1000");
	struct reply reply;

	reply = call(&fake, "POST", "/control", "{\"lose_answers\":1}");
	g_free(reply.body);
	call_start(&fake, "POST", "/pay", &key, "{\"value\":5}", &reply);
	WAIT_FOR(reply.done);
	g_assert_cmpint(reply.result, ==, KS_HTTP_INCOMPLETE);
	g_free(reply.body);
	g_assert_cmpint(fetch_stat(&fake, "max_per_key"), ==, 1);
	call_start(&fake, "POST", "/pay", &key, "{\"value\":5}", &reply);
	WAIT_FOR(reply.done);
	assert_contains(&reply, "\"value\":5");
	assert_contains(&reply, "\"executions\":2");
	g_free(reply.body);
	reply = call(&fake, "GET", "/basket?basket=b7", "");
	assert_contains(&reply, "\"basket\":\"b7\"");
	g_free(reply.body);
	/* Requests without an idempotency key may be repeated. */
	reply = call(&fake, "GET", "/basket?basket=b7", "");
	g_free(reply.body);
	call_start(&fake, "POST", "/pay", &key, "{\"value\":6}", &reply);
	WAIT_FOR(reply.done);
	assert_contains(&reply, "\"executions\":1");
	g_free(reply.body);
	g_assert_cmpint(fetch_stat(&fake, "max_per_key"), ==, 2);
	g_assert_cmpint(fetch_stat(&fake, "total"), ==, 5);
	fake_stop(&fake);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fakes_init(argv[0]);
	g_test_add_func("/fakes/answers", test_completions_depend_on_prompt);
	g_test_add_func("/fakes/resume", test_resume_continues_at_token);
	g_test_add_func("/fakes/cache", test_prefix_cache_and_transfer);
	g_test_add_func("/fakes/cancel", test_disconnect_cancels);
	g_test_add_func("/fakes/lag", test_late_reports);
	g_test_add_func("/fakes/control", test_control);
	g_test_add_func("/fakes/change", test_role_change);
	g_test_add_func("/fakes/service", test_service_counts_every_execution);
	return g_test_run();
}
