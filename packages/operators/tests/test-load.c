/*
 * Tests of the load generator: which responses it accepts, and a run against a
 * server in the same process.
 */
#include "../../../bench/load.h"

#include <jansson.h>
#include <string.h>

#define PROMPT "abc def "
#define USAGE "data: {\"choices\":[],\"usage\":{\"completion_tokens\":%u}}\n\n"

static GString *format_stream(ks_str_t prompt, unsigned tokens, unsigned usage)
{
	GString *out = g_string_new(NULL);
	GString *text = g_string_new(NULL);

	load_expected_text(text, prompt, tokens);
	g_string_append_printf(out,
			       "data: {\"choices\":[{\"text\":\"%s\","
			       "\"finish_reason\":\"length\"}]}\n\n",
			       text->str);
	g_string_append_printf(out, USAGE, usage);
	g_string_append(out, "data: [DONE]\n\n");
	g_string_free(text, TRUE);
	return out;
}

static load_verdict_t verify_text(const char *text, size_t step)
{
	load_stream_t stream;
	load_verdict_t verdict;
	const char *why;

	load_stream_init(&stream);
	for (size_t i = 0; i < strlen(text); i += step)
		load_stream_feed(
			&stream,
			(ks_str_t){ text + i, MIN(step, strlen(text) - i) });
	verdict = load_verify_completion(&stream, KS_STR(PROMPT), 5, &why);
	load_stream_deinit(&stream);
	return verdict;
}

/* Guards against losing events that are split between two reads. */
static void test_complete_stream_is_accepted(void)
{
	GString *text = format_stream(KS_STR(PROMPT), 5, 5);

	for (size_t step = 1; step < 40; step++)
		g_assert_cmpint(verify_text(text->str, step), ==, LOAD_WHOLE);
	g_string_free(text, TRUE);
}

/* Guards against a truncated response being accepted. */
static void test_truncated_stream_is_wrong(void)
{
	GString *text = format_stream(KS_STR(PROMPT), 4, 5);

	g_assert_cmpint(verify_text(text->str, 100), ==, LOAD_WRONG);
	g_string_free(text, TRUE);
	text = format_stream(KS_STR(PROMPT), 4, 4);
	g_assert_cmpint(verify_text(text->str, 100), ==, LOAD_WRONG);
	g_string_free(text, TRUE);
	text = format_stream(KS_STR(PROMPT), 5, 5);
	for (size_t len = 0; len + 2 < text->len; len++) {
		char *truncated = g_strndup(text->str, len);

		g_assert_cmpint(verify_text(truncated, 100), ==, LOAD_WRONG);
		g_free(truncated);
	}
	g_string_free(text, TRUE);
}

/* Guards against the response to another prompt being accepted. */
static void test_other_prompt_is_wrong(void)
{
	GString *text = format_stream(KS_STR("abc deg "), 5, 5);

	g_assert_cmpint(verify_text(text->str, 100), ==, LOAD_WRONG);
	g_string_free(text, TRUE);
}

/* Guards against an error event being counted as wrong or complete. */
static void test_error_event_is_a_failure(void)
{
	g_assert_cmpint(
		verify_text("data: {\"error\":{\"code\":\"internal\"}}\n\n", 9),
		==, LOAD_FAILED);
	g_assert_cmpint(
		verify_text("data: {\"error\":{}}\n\ndata: [DONE]\n\n", 9), ==,
		LOAD_WRONG);
}

/* Guards against confusing refused requests and unknown outcomes. */
static void test_errors_are_distinguished(void)
{
	g_assert_cmpint(load_verify_error(
				503, KS_STR("{\"error\":{\"not_run\":true}}")),
			==, LOAD_REFUSED);
	g_assert_cmpint(load_verify_error(
				409, KS_STR("{\"error\":{\"code\":\"in_progress"
					    "\",\"not_run\":false}}")),
			==, LOAD_UNKNOWN);
	g_assert_cmpint(load_verify_error(502, KS_STR("bad gateway")), ==,
			LOAD_FAILED);
}

/* Guards against accepting a response that shows a second execution. */
static void test_service_responses(void)
{
	g_assert_true(
		load_verify_id(KS_STR("{\"order\":\"a\"}"), "order", "a"));
	g_assert_false(
		load_verify_id(KS_STR("{\"order\":\"b\"}"), "order", "a"));
	g_assert_true(load_verify_id(KS_STR("ok"), "order", "a"));
	g_assert_true(load_verify_executions(KS_STR("{\"executions\":1}")));
	g_assert_false(load_verify_executions(KS_STR("{\"executions\":2}")));
}

struct fake {
	ks_http_server_t server;
	unsigned n_requests;
	bool truncated;
};

static void reply_completion(struct fake *fake, struct st_h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	const char *prompt = json_string_value(json_object_get(root, "prompt"));
	unsigned tokens = (unsigned)json_integer_value(
		json_object_get(root, "max_tokens"));
	GString *text =
		format_stream(ks_str_from(prompt),
			      tokens - (fake->truncated ? 1 : 0), tokens);

	ks_http_reply(req, 200, "text/event-stream",
		      (ks_str_t){ text->str, text->len });
	g_string_free(text, TRUE);
	json_decref(root);
}

static void on_request(void *ctx, struct st_h2o_req_t *req)
{
	struct fake *fake = ctx;
	ks_str_t path = ks_http_req_path(req);
	char *answer;

	fake->n_requests++;
	if (ks_str_equal(path, KS_STR("/v1/completions"))) {
		reply_completion(fake, req);
		return;
	}
	/* Each charge gets another response, as if a copy had been executed. */
	answer = g_strdup_printf("{\"run\":%u}", fake->n_requests);
	ks_http_reply(req, 200, "application/json", ks_str_from(answer));
	g_free(answer);
}

static void run_against(struct fake *fake, load_options_t *options,
			load_stats_t stats[LOAD_N_CLASSES])
{
	ks_address_t address = { "127.0.0.1", 0 };
	ks_loop_t loop;

	ks_loop_init(&loop, ks_clock_monotonic());
	g_assert_true(ks_http_server_init(&fake->server, &loop, &address,
					  1024 * 1024, on_request, fake, NULL));
	options->entries[0] = address;
	options->entries[0].port = ks_http_server_port(&fake->server);
	options->n_entries = 1;
	options->seed = 7;
	options->duration_s = 0.3;
	options->prompt_min = 1;
	options->prompt_max = 50;
	options->output_min = 2;
	options->output_max = 20;
	options->timeout_ms = 20000;
	options->max_in_flight = 100;
	options->api_key = options->model = "x";
	options->lookup_path = "/lookup";
	options->charge_path = "/charge";
	load_stats_init(stats);
	load_run(&loop, options, stats);
	ks_http_server_deinit(&fake->server);
	ks_loop_deinit(&loop);
}

/* Guards against requests missing from the statistics of a run. */
static void test_run_accounts_for_every_request(void)
{
	load_options_t options = { .rates = { 100, 100, 0 } };
	load_stats_t stats[LOAD_N_CLASSES];
	struct fake fake = { 0 };

	run_against(&fake, &options, stats);
	g_assert_cmpuint(stats[LOAD_COMPLETION].sent, >, 0);
	g_assert_cmpuint(stats[LOAD_COMPLETION].verdicts[LOAD_WHOLE], ==,
			 stats[LOAD_COMPLETION].sent);
	g_assert_cmpuint(stats[LOAD_LOOKUP].verdicts[LOAD_WHOLE], ==,
			 stats[LOAD_LOOKUP].sent);
	g_assert_cmpuint(stats[LOAD_LOOKUP].sent + stats[LOAD_COMPLETION].sent,
			 ==, fake.n_requests);
	load_stats_deinit(stats);
}

/* Guards against duplicate charges and truncated responses going unnoticed. */
static void test_run_finds_wrong_answers(void)
{
	load_options_t options = { .rates = { 100, 0, 200 } };
	load_stats_t stats[LOAD_N_CLASSES];
	struct fake fake = { .truncated = true };

	run_against(&fake, &options, stats);
	g_assert_cmpuint(stats[LOAD_COMPLETION].verdicts[LOAD_WRONG], ==,
			 stats[LOAD_COMPLETION].sent);
	g_assert_cmpuint(stats[LOAD_CHARGE].verdicts[LOAD_WRONG], >, 0);
	load_stats_deinit(stats);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/complete-stream-is-accepted",
			test_complete_stream_is_accepted);
	g_test_add_func("/load/truncated-stream-is-wrong",
			test_truncated_stream_is_wrong);
	g_test_add_func("/load/other-prompt-is-wrong",
			test_other_prompt_is_wrong);
	g_test_add_func("/load/error-event-is-a-failure",
			test_error_event_is_a_failure);
	g_test_add_func("/load/errors-are-distinguished",
			test_errors_are_distinguished);
	g_test_add_func("/load/service-responses", test_service_responses);
	g_test_add_func("/load/run-accounts-for-every-request",
			test_run_accounts_for_every_request);
	g_test_add_func("/load/run-finds-wrong-answers",
			test_run_finds_wrong_answers);
	return g_test_run();
}
