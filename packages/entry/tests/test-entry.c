/*
 * Tests of the entry process with test doubles of its links, ledger, routing
 * and admission. Callers use real HTTP connections. The clock of the event loop
 * advances only when a test advances it.
 */
#include "entry-doubles.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY "sk-test"
#define BEARER "Bearer sk-test"
#define KEY7 "018f2d3c-0000-7000-8000-000000000000"
#define CHAT "/v1/chat/completions"
#define EVENT(token) "data: {\"choices\":[{\"text\":\"" token "\"}]}\n\n"
#define DONE "data: [DONE]\n\n"
#define SSE "text/event-stream"
#define STREAM_BODY                                      \
	"{\"model\":\"m\",\"stream\":true,\"messages\":" \
	"[{\"role\":\"user\",\"content\":\"hi\"}]}"
#define WHOLE_BODY                       \
	"{\"model\":\"m\",\"messages\":" \
	"[{\"role\":\"user\",\"content\":\"hi\"}]}"
/* Limit of event loop iterations while waiting for a condition. */
#define MAX_LOOP_ITERATIONS 2000
#define DRAIN_DELAY_US (2000 * KS_USEC_PER_MSEC)
#define SILENCE_US (3000 * KS_USEC_PER_MSEC)
#define LOOP_TIMEOUT_US (5 * KS_USEC_PER_MSEC)

static struct fixture {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_settings_t settings;
	ks_entry_t *entry;
	ks_http_client_t client;
	ks_snapshot_t snapshot;
	ks_model_t model;
	ks_upstream_t upstreams[4];
	unsigned n_upstreams;
} fx;

struct call {
	ks_http_call_t call;
	int status;
	GString *headers;
	GString *body;
	bool done;
	ks_http_result_t result;
};

static void run_loop_once(void)
{
	ks_loop_run_once(&fx.loop, LOOP_TIMEOUT_US);
}

#define WAIT_FOR(condition)                                           \
	do {                                                          \
		for (int iteration = 0;                               \
		     iteration < MAX_LOOP_ITERATIONS && !(condition); \
		     iteration++)                                     \
			run_loop_once();                              \
		g_assert_true(condition);                             \
	} while (0)

static void on_head(void *ctx, int status, const ks_header_t *headers, size_t n)
{
	struct call *call = ctx;

	call->status = status;
	for (size_t i = 0; i < n; i++)
		g_string_append_printf(
			call->headers, "%.*s: %.*s\n", (int)headers[i].name.len,
			headers[i].name.data, (int)headers[i].value.len,
			headers[i].value.data);
}

static void on_body(void *ctx, ks_str_t data)
{
	struct call *call = ctx;

	g_string_append_len(call->body, data.data, (gssize)data.len);
}

static void on_done(void *ctx, ks_http_result_t result)
{
	struct call *call = ctx;

	call->done = true;
	call->result = result;
}

static const ks_http_events_t call_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static struct call *start(const char *method, const char *path,
			  const char *body, const char *const *fields)
{
	struct call *call = g_new0(struct call, 1);
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	ks_http_request_t request = {
		.method = ks_str_from(method),
		.target = ks_str_from(path),
		.body = ks_str_from(body),
	};

	for (; fields && *fields; fields += 2) {
		ks_header_t header = { ks_str_from(fields[0]),
				       ks_str_from(fields[1]) };

		g_array_append_val(headers, header);
	}
	strcpy(request.address.ip, "127.0.0.1");
	request.address.port = ks_entry_port(fx.entry);
	request.headers = (const ks_header_t *)(const void *)headers->data;
	request.n_headers = headers->len;
	call->headers = g_string_new("\n");
	call->body = g_string_new(NULL);
	ks_http_call_start(&call->call, &fx.client, &request, &call_events,
			   call);
	g_array_unref(headers);
	return call;
}

static const char *const key_fields[] = { "authorization", BEARER, NULL };

static struct call *start_completion(const char *body)
{
	return start("POST", CHAT, body, key_fields);
}

static void finish(struct call *call)
{
	WAIT_FOR(call->done);
}

static void free_call(struct call *call)
{
	ks_http_call_cancel(&call->call);
	g_string_free(call->headers, TRUE);
	g_string_free(call->body, TRUE);
	g_free(call);
}

static void add_upstream(const char *id, const char *domain, const char *model,
			 const char *service)
{
	ks_upstream_t *upstream = &fx.upstreams[fx.n_upstreams++];

	memset(upstream, 0, sizeof(*upstream));
	upstream->id = (char *)id;
	upstream->process = (char *)"127.0.0.1:1";
	upstream->endpoint = (char *)"127.0.0.1:2";
	upstream->host = (char *)id;
	upstream->domain = (char *)domain;
	upstream->model = (char *)model;
	upstream->service = (char *)service;
	upstream->limit = 4;
	upstream->resumes = true;
	g_ptr_array_add(fx.snapshot.upstreams, upstream);
}

static ks_route_settings_t routes[] = {
	{ .path = (char *)"/pay",
	  .service = (char *)"shop",
	  .timeout_ms = 1000,
	  .tenant = (char *)"web" },
	{ .path = (char *)"/basket",
	  .method = (char *)"GET",
	  .service = (char *)"shop",
	  .idempotent = true,
	  .timeout_ms = 1000,
	  .tenant = (char *)"web" },
};

static ks_tenant_settings_t tenants[1];

static void fill_settings(void)
{
	static char digest[KS_DIGEST_HEX_SIZE];
	ks_settings_t *settings = &fx.settings;
	ks_digest_t sha;

	ks_digest_compute(&sha, KS_STR(KEY));
	ks_digest_format(&sha, digest);
	tenants[0] = (ks_tenant_settings_t){
		.name = (char *)"a\"b",
		.key_sha256 = digest,
		.weight = 1,
		.max_concurrency = 3,
	};
	memset(settings, 0, sizeof(*settings));
	settings->name = (char *)"entry-1";
	settings->domain = (char *)"z1";
	settings->listen = (char *)"127.0.0.1:0";
	settings->platform = (char *)"127.0.0.1:1";
	settings->link_plain = true;
	settings->tenants = tenants;
	settings->tenants_count = 1;
	settings->routes = routes;
	settings->routes_count = G_N_ELEMENTS(routes);
	settings->completion_timeout_ms = 60000;
	settings->max_body_kib = 64;
	settings->max_answer_kib = 1;
	settings->max_requests = 100;
	settings->poll_ms = 5000;
	settings->drain_delay_ms = DRAIN_DELAY_US / KS_USEC_PER_MSEC;
	settings->silence_ms = SILENCE_US / KS_USEC_PER_MSEC;
	settings->subset = 64;
	settings->lease_ms = 15000;
	settings->store_writes_per_s = 20;
	settings->role_change_cost = 1;
	settings->role_dwell_ms = 60000;
	settings->operator_token_sha256 = digest;
}

static void apply_snapshot(void)
{
	fx.snapshot.version++;
	double_config->current = &fx.snapshot;
	double_config->func(double_config->ctx, &fx.snapshot);
}

static void set_up(void)
{
	GError *error = NULL;

	memset(&fx, 0, sizeof(fx));
	double_links = g_ptr_array_new();
	double_attempts = g_ptr_array_new_with_free_func(double_free_attempt);
	double_refuse = false;
	double_hosts_func = NULL;
	ks_test_clock_init(&fx.clock, 1000 * KS_USEC_PER_SEC);
	ks_loop_init(&fx.loop, &fx.clock.clock);
	ks_http_client_init(&fx.client, &fx.loop);
	fill_settings();
	fx.model.name = (char *)"m";
	fx.snapshot.models = g_ptr_array_new();
	fx.snapshot.upstreams = g_ptr_array_new();
	g_ptr_array_add(fx.snapshot.models, &fx.model);
	add_upstream("e1", "z1", "m", NULL);
	add_upstream("e2", "z2", "m", NULL);
	add_upstream("s1", "z1", NULL, "shop");
	add_upstream("s2", "z2", NULL, "shop");
	fx.entry = ks_entry_new(&fx.loop, &fx.settings, &error);
	g_assert_no_error(error);
	apply_snapshot();
}

static void tear_down(void)
{
	/* Let connections close before the event loop is destroyed. */
	for (int i = 0; i < 3; i++)
		run_loop_once();
	ks_entry_free(fx.entry);
	ks_http_client_deinit(&fx.client);
	ks_loop_deinit(&fx.loop);
	g_ptr_array_unref(fx.snapshot.models);
	g_ptr_array_unref(fx.snapshot.upstreams);
	g_assert_cmpuint(double_links->len, ==, 0);
	g_ptr_array_unref(double_links);
	g_ptr_array_unref(double_attempts);
}

static void assert_has(const GString *text, const char *wanted)
{
	if (!strstr(text->str, wanted))
		g_error("no '%s' in: %s", wanted, text->str);
}

static void assert_lacks(const GString *text, const char *unwanted)
{
	if (strstr(text->str, unwanted))
		g_error("'%s' in: %s", unwanted, text->str);
}

/* Guards against a stream that is delayed, altered or not terminated. */
static void test_stream_is_relayed(void)
{
	struct call *call;
	ks_attempt_t *attempt;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	attempt = double_attempt(0);
	g_assert_cmpstr(attempt->model, ==, "m");
	assert_lacks(attempt->headers, KEY);
	double_head(attempt, 200, SSE);
	double_body(attempt, EVENT("one"));
	WAIT_FOR(strstr(call->body->str, "one"));
	double_body(attempt, EVENT("two") DONE);
	double_end(attempt, KS_ERROR_NONE);
	finish(call);
	g_assert_cmpint(call->status, ==, 200);
	g_assert_cmpstr(call->body->str, ==, EVENT("one") EVENT("two") DONE);
	assert_has(call->headers, SSE);
	free_call(call);
	tear_down();
}

/* Guards against a buffered response that loses its status, type or body. */
static void test_service_response_is_relayed(void)
{
	struct call *call;

	set_up();
	call = start("GET", "/basket/7?x=1", "", NULL);
	WAIT_FOR(double_attempts->len == 1);
	g_assert_cmpstr(double_attempt(0)->path, ==, "/basket/7?x=1");
	g_assert_true(double_attempt(0)->idempotent);
	double_head(double_attempt(0), 201, "application/json");
	double_body(double_attempt(0), "{\"a\":");
	double_body(double_attempt(0), "1}");
	g_assert_cmpuint(double_attempt(0)->consumed, ==, 7);
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpint(call->status, ==, 201);
	g_assert_cmpstr(call->body->str, ==, "{\"a\":1}");
	free_call(call);
	tear_down();
}

/* Guards against a truncated stream that looks complete to the caller. */
static void test_truncated_stream_ends_with_error(void)
{
	struct call *call;

	set_up();
	fx.upstreams[0].resumes = false;
	apply_snapshot();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0), EVENT("one") "data: {\"cho");
	WAIT_FOR(strstr(call->body->str, "one"));
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	finish(call);
	assert_has(call->body,
		   "data: {\"error\":{\"code\":\"upstream_failed\"");
	assert_has(call->body, "\"not_run\":false");
	assert_lacks(call->body, "[DONE]");
	assert_lacks(call->body, "{\"cho\"");
	g_assert_cmpuint(double_attempts->len, ==, 1);
	free_call(call);
	tear_down();
}

/*
 * Guards against treating a stream as complete because the engine closed its
 * connection cleanly, although [DONE] is missing.
 */
static void test_stream_without_done_is_truncated(void)
{
	struct call *call;

	set_up();
	fx.upstreams[0].resumes = false;
	apply_snapshot();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0), EVENT("one"));
	WAIT_FOR(strstr(call->body->str, "one"));
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(call);
	assert_has(call->body, "upstream_failed");
	assert_lacks(call->body, "[DONE]");
	free_call(call);
	tear_down();
}

/*
 * Guards against repeated or missing tokens when another upstream resumes a
 * stream.
 */
static void test_stream_resumes_elsewhere(void)
{
	struct call *call;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	assert_has(double_attempt(0)->headers, "\n");
	assert_lacks(double_attempt(0)->headers, "x-ks-resume-from");
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0),
		    EVENT("one") EVENT("two") "data: {\"choices\":[{\"tex");
	double_end(double_attempt(0), KS_ERROR_OUTCOME_UNKNOWN);
	g_assert_cmpuint(double_attempts->len, ==, 2);
	assert_has(double_attempt(1)->headers, "\nx-ks-resume-from: 2\n");
	g_assert_cmpstr(double_attempt(1)->link->upstream, ==, "e2");
	g_assert_cmpstr(double_attempt(0)->body, ==, double_attempt(1)->body);
	g_assert_nonnull(strstr(double_attempt(0)->body, "\"seed\":"));
	double_head(double_attempt(1), 200, SSE);
	double_body(double_attempt(1), EVENT("three") DONE);
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpstr(call->body->str, ==,
			EVENT("one") EVENT("two") EVENT("three") DONE);
	free_call(call);
	tear_down();
}

/* Guards against resuming a stream at an upstream that cannot resume. */
static void test_stream_needs_upstream_that_resumes(void)
{
	struct call *call;

	set_up();
	fx.upstreams[1].resumes = false;
	apply_snapshot();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0), EVENT("one"));
	WAIT_FOR(strstr(call->body->str, "one"));
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	finish(call);
	g_assert_cmpuint(double_attempts->len, ==, 1);
	assert_has(call->body, "\"not_run\":false");
	assert_lacks(call->body, "[DONE]");
	free_call(call);
	tear_down();
}

/*
 * Guards against relaying a response that is no stream, such as an engine's
 * error, in the middle of a stream that the upstream should have resumed.
 */
static void test_resume_requires_stream(void)
{
	struct call *call;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0), EVENT("one"));
	WAIT_FOR(strstr(call->body->str, "one"));
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	double_head(double_attempt(1), 400, "application/json");
	double_body(double_attempt(1), "{\"no\":1}");
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(call);
	g_assert_true(g_str_has_prefix(call->body->str,
				       EVENT("one") "data: {\"error\""));
	assert_lacks(call->body, "\"no\"");
	assert_lacks(call->body, "[DONE]");
	free_call(call);
	tear_down();
}

/*
 * Guards against resuming a stream after its finish_reason, which would add
 * tokens past the end.
 */
static void test_finished_choice_is_not_resumed(void)
{
	struct call *call;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0),
		    EVENT("one") "data: {\"choices\":[{\"text\":\"\","
				 "\"finish_reason\": \"stop\"}]}\n\n");
	WAIT_FOR(strstr(call->body->str, "stop"));
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	finish(call);
	g_assert_cmpuint(double_attempts->len, ==, 1);
	assert_has(call->body, "upstream_failed");
	assert_lacks(call->body, "[DONE]");
	free_call(call);
	tear_down();
}

/*
 * Guards against a truncated buffered response reaching the caller, and against
 * a retry at the upstream that failed.
 */
static void test_buffered_response_is_retried(void)
{
	struct call *call;

	set_up();
	call = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, "application/json");
	double_body(double_attempt(0), "{\"half\":");
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	g_assert_cmpuint(double_attempts->len, ==, 2);
	g_assert_cmpstr(double_attempt(1)->link->upstream, ==, "e2");
	g_assert_cmpuint(double_attempt(1)->key.attempt, !=,
			 double_attempt(0)->key.attempt);
	double_head(double_attempt(1), 200, "application/json");
	double_body(double_attempt(1), "{}");
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpstr(call->body->str, ==, "{}");
	free_call(call);
	tear_down();
}

/*
 * Guards against forwarding half a completion as a whole one, when the engine
 * gives its response no length and fails.
 */
static void test_half_completion_is_retried(void)
{
	struct call *call;

	set_up();
	call = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, "application/json");
	double_body(double_attempt(0), "{\"half\":");
	double_end(double_attempt(0), KS_ERROR_NONE);
	g_assert_cmpuint(double_attempts->len, ==, 2);
	double_head(double_attempt(1), 200, "application/json");
	double_body(double_attempt(1), "{}");
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpstr(call->body->str, ==, "{}");
	free_call(call);
	tear_down();
}

/* Bytes that parsed JSON takes, and the most so far. */
static size_t json_bytes, most_json_bytes;

static void *count_malloc(size_t size)
{
	size_t *block = malloc(sizeof(max_align_t) + size);

	g_assert_nonnull(block);
	*block = size;
	json_bytes += size;
	most_json_bytes = MAX(most_json_bytes, json_bytes);
	return (char *)block + sizeof(max_align_t);
}

static void count_free(void *data)
{
	size_t *block;

	if (!data)
		return;
	block = (size_t *)(void *)((char *)data - sizeof(max_align_t));
	json_bytes -= *block;
	free(block);
}

/* A completion of 4 MB, of the smallest values. */
static GString *small_values(const char *end)
{
	GString *body = g_string_new("{\"a\":[[]");

	while (body->len < (size_t)4 * 1024 * 1024)
		g_string_append(body, ",[]");
	return g_string_append(body, end);
}

/*
 * Guards against a response of many small values, which take a multiple of its
 * size when it is parsed, and against forwarding half of one that is too long
 * for that.
 */
static void test_large_completion(void)
{
	GString *half = small_values(""), *whole = small_values("]}\n");
	json_malloc_t allocate;
	json_free_t release;
	struct call *call;

	json_get_alloc_funcs(&allocate, &release);
	json_set_alloc_funcs(count_malloc, count_free);
	set_up();
	fx.settings.max_answer_kib = 16 * 1024;
	call = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, "application/json");
	double_body(double_attempt(0), half->str);
	double_end(double_attempt(0), KS_ERROR_NONE);
	g_assert_cmpuint(double_attempts->len, ==, 2);
	double_head(double_attempt(1), 200, "application/json");
	double_body(double_attempt(1), whole->str);
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpint(call->status, ==, 200);
	g_assert_cmpuint(call->body->len, ==, whole->len);
	free_call(call);
	tear_down();
	json_set_alloc_funcs(allocate, release);
	g_string_free(half, TRUE);
	g_string_free(whole, TRUE);
	g_assert_cmpuint(most_json_bytes, <, (size_t)32 * 1024 * 1024);
}

/* Guards against reporting "not run" after an attempt has started. */
static void test_not_run_is_not_reported_after_start(void)
{
	struct call *call;

	set_up();
	call = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, "application/json");
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	double_not_started(double_attempt(1), KS_ERROR_OVERLOADED, 0);
	finish(call);
	g_assert_cmpint(call->status, ==, 502);
	assert_has(call->body, "\"not_run\":false");
	free_call(call);
	tear_down();
}

/*
 * Guards against a refusal without a correct Retry-After, and against a retry
 * in the failure domain of the upstream that refused.
 */
static void test_not_started_is_retried_then_reported(void)
{
	struct call *call;

	set_up();
	call = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_not_started(double_attempt(0), KS_ERROR_OVERLOADED, 0);
	g_assert_cmpuint(double_attempts->len, ==, 2);
	double_not_started(double_attempt(1), KS_ERROR_OVERLOADED,
			   1500 * KS_USEC_PER_MSEC);
	finish(call);
	g_assert_cmpint(call->status, ==, 503);
	assert_has(call->body, "\"not_run\":true");
	assert_has(call->headers, "\nretry-after: ");
	free_call(call);
	tear_down();
}

/*
 * Guards against running a non-idempotent request without an idempotency key
 * twice.
 */
static void test_without_key_is_sent_once(void)
{
	struct call *call;

	set_up();
	call = start("POST", "/pay", "x", NULL);
	WAIT_FOR(double_attempts->len == 1);
	g_assert_cmpuint(double_ledger.begun, ==, 0);
	double_attempt(0)->events->accepted(double_attempt(0)->ctx);
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	finish(call);
	g_assert_cmpuint(double_attempts->len, ==, 1);
	g_assert_cmpint(call->status, ==, 504);
	assert_has(call->body, "outcome_unknown");
	free_call(call);
	tear_down();
}

static struct call *start_payment_for(const char *timeout_ms)
{
	char *now = g_strdup_printf("%" G_GINT64_FORMAT,
				    ks_clock_now(ks_clock_wall()) /
					    KS_USEC_PER_SEC);
	const char *fields[] = { "idempotency-key",
				 "k1",
				 "idempotency-key-date",
				 now,
				 "x-request-timeout-ms",
				 timeout_ms,
				 NULL };
	struct call *call = start("POST", "/pay", "x", fields);

	g_free(now);
	return call;
}

static struct call *start_payment(void)
{
	return start_payment_for("1000");
}

/*
 * Guards against sending a request before its claim is held, and against a
 * response that is not stored.
 */
static void test_payment_is_claimed_first(void)
{
	struct call *call;

	set_up();
	call = start_payment();
	WAIT_FOR(double_ledger.begun == 1);
	g_assert_cmpuint(double_attempts->len, ==, 0);
	double_ledger.events->dispatch(double_ledger.ctx, 5);
	g_assert_cmpuint(double_attempts->len, ==, 1);
	g_assert_cmpuint(double_attempt(0)->key.attempt, ==, 5);
	double_head(double_attempt(0), 200, "text/plain");
	double_body(double_attempt(0), "paid");
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpuint(double_ledger.done, ==, 1);
	g_assert_cmpstr(double_ledger.answer->str, ==, "paid");
	g_assert_cmpstr(call->body->str, ==, "paid");
	free_call(call);
	tear_down();
}

/* Guards against running a duplicate instead of replaying the response. */
static void test_payment_is_replayed(void)
{
	struct call *call;

	set_up();
	call = start_payment();
	WAIT_FOR(double_ledger.begun == 1);
	double_ledger.events->replay(double_ledger.ctx, 202,
				     KS_STR("text/plain"), KS_STR("paid"));
	finish(call);
	g_assert_cmpint(call->status, ==, 202);
	g_assert_cmpstr(call->body->str, ==, "paid");
	g_assert_cmpuint(double_attempts->len, ==, 0);
	free_call(call);
	tear_down();
}

/* Guards against a claim that stays open after all upstreams refused. */
static void test_payment_not_run_is_recorded(void)
{
	struct call *call;

	set_up();
	call = start_payment();
	WAIT_FOR(double_ledger.begun == 1);
	double_ledger.events->dispatch(double_ledger.ctx, 1);
	double_not_started(double_attempt(0), KS_ERROR_OVERLOADED, 0);
	double_not_started(double_attempt(1), KS_ERROR_OVERLOADED, 0);
	finish(call);
	g_assert_cmpuint(double_ledger.not_run, ==, 1);
	g_assert_cmpuint(double_ledger.unknown, ==, 0);
	assert_has(call->body, "\"not_run\":true");
	free_call(call);
	tear_down();
}

/* Guards against reporting an unknown outcome as not run, or retrying it. */
static void test_payment_unknown_is_recorded(void)
{
	struct call *call;

	set_up();
	call = start_payment();
	WAIT_FOR(double_ledger.begun == 1);
	double_ledger.events->dispatch(double_ledger.ctx, 1);
	double_end(double_attempt(0), KS_ERROR_OUTCOME_UNKNOWN);
	finish(call);
	g_assert_cmpuint(double_ledger.unknown, ==, 1);
	g_assert_cmpuint(double_ledger.not_run, ==, 0);
	g_assert_cmpuint(double_attempts->len, ==, 1);
	g_assert_cmpint(call->status, ==, 504);
	assert_has(call->body, "\"not_run\":false");
	free_call(call);
	tear_down();
}

/*
 * Guards against cancelling a non-idempotent request with its caller or at its
 * deadline: its response must still be stored for a later duplicate.
 */
static void test_payment_outlives_its_deadline(void)
{
	struct call *call;

	set_up();
	call = start_payment();
	WAIT_FOR(double_ledger.begun == 1);
	double_ledger.events->dispatch(double_ledger.ctx, 1);
	ks_test_clock_advance(&fx.clock, 1001 * KS_USEC_PER_MSEC);
	finish(call);
	assert_has(call->body, "outcome_unknown");
	for (int i = 0; i < 3; i++)
		run_loop_once();
	g_assert_false(double_attempt(0)->cancelled);
	double_head(double_attempt(0), 200, "text/plain");
	double_body(double_attempt(0), "paid");
	double_end(double_attempt(0), KS_ERROR_NONE);
	g_assert_cmpuint(double_ledger.done, ==, 1);
	free_call(call);
	tear_down();
}

/*
 * Guards against an attempt that keeps running after its caller disconnected.
 */
static void test_caller_gone_cancels(void)
{
	struct call *call;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	ks_http_call_cancel(&call->call);
	for (int i = 0;
	     i < MAX_LOOP_ITERATIONS && !double_attempt(0)->cancelled; i++) {
		ks_test_clock_advance(&fx.clock, 300 * KS_USEC_PER_MSEC);
		run_loop_once();
	}
	g_assert_true(double_attempt(0)->cancelled);
	double_end(double_attempt(0), KS_ERROR_OUTCOME_UNKNOWN);
	g_assert_cmpuint(double_attempts->len, ==, 1);
	free_call(call);
	tear_down();
}

/*
 * Guards against flow control credit for bytes that a slow caller has not yet
 * taken.
 */
static void test_slow_caller_gives_no_credit(void)
{
	GString *event = g_string_new("data: {\"choices\":[{\"text\":\"");
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int small = 4096;
	ks_attempt_t *attempt;
	size_t sent = 0;

	set_up();
	g_string_append_printf(event, "%065536d\"}]}\n\n", 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	to.sin_port = htons(ks_entry_port(fx.entry));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	dprintf(fd,
		"POST " CHAT
		" HTTP/1.1\r\nhost: x\r\nauthorization: Bearer " KEY
		"\r\ncontent-length: %zu\r\n\r\n" STREAM_BODY,
		strlen(STREAM_BODY));
	WAIT_FOR(double_attempts->len == 1);
	attempt = double_attempt(0);
	double_head(attempt, 200, SSE);
	for (int i = 0; i < 200; i++) {
		double_body(attempt, event->str);
		sent += event->len;
		run_loop_once();
	}
	g_assert_cmpuint(attempt->consumed, <, sent);
	close(fd);
	WAIT_FOR(attempt->cancelled);
	g_string_free(event, TRUE);
	tear_down();
}

/* Guards against buffering a response of unlimited size. */
static void test_response_size_is_limited(void)
{
	GString *big = g_string_new(NULL);
	struct call *call;

	set_up();
	g_string_append_printf(big, "%02000d", 0);
	call = start("GET", "/basket", "", NULL);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, "text/plain");
	double_body(double_attempt(0), big->str);
	finish(call);
	g_assert_cmpint(call->status, ==, 502);
	assert_has(call->body, "answer_too_large");
	g_assert_true(double_attempt(0)->cancelled);
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	g_string_free(big, TRUE);
	free_call(call);
	tear_down();
}

static void assert_error(const char *method, const char *path, const char *body,
			 const char *const *fields, int status,
			 const char *code)
{
	struct call *call = start(method, path, body, fields);

	finish(call);
	g_assert_cmpint(call->status, ==, status);
	assert_has(call->body, code);
	assert_has(call->body, "\"request_id\":\"");
	free_call(call);
}

/*
 * Guards against an invalid request that reaches an upstream, or that gets the
 * wrong error.
 */
static void test_invalid_requests_are_refused(void)
{
	const char *const bad_key[] = { "authorization", "Bearer no", NULL };
	const char *const bad_time[] = { "authorization", BEARER,
					 "x-request-timeout-ms", "soon", NULL };
	const char *const no_time[] = { "idempotency-key", "k", NULL };
	const char *const empty[] = { "idempotency-key", "", NULL };
	const char *const old[] = { "idempotency-key", KEY7, NULL };
	char *large;

	set_up();
	large = g_strnfill(65 * 1024, ' ');
	assert_error("POST", CHAT, WHOLE_BODY, NULL, 401, "unauthorized");
	assert_error("POST", CHAT, WHOLE_BODY, bad_key, 401, "unauthorized");
	assert_error("POST", CHAT, "{", key_fields, 400, "bad_request");
	assert_error("POST", CHAT, WHOLE_BODY, bad_time, 400, "bad_request");
	assert_error("POST", "/v1/completions",
		     "{\"model\":\"x\",\"prompt\":\"p\"}", key_fields, 404,
		     "unknown_model");
	assert_error("GET", "/payday", "", NULL, 404, "unknown_route");
	assert_error("GET", "/basket/../pay", "", NULL, 400, "bad_request");
	assert_error("GET", "/basket/%2E./pay", "", NULL, 400, "bad_request");
	assert_error("POST", "/pay", "x", no_time, 400, "bad_request");
	assert_error("POST", "/pay", "x", empty, 400, "bad_request");
	assert_error("POST", "/pay", "x", old, 410, "key_expired");
	assert_error("POST", "/pay", large, NULL, 413, "too_large");
	assert_error("GET", "/internal/status", "", NULL, 401, "unauthorized");
	g_assert_cmpuint(double_attempts->len, ==, 0);
	g_free(large);
	tear_down();
}

/*
 * Guards against a refusal by admission that is delayed, or whose Retry-After
 * is rounded down.
 */
static void test_admission_refuses_at_once(void)
{
	struct call *call;

	set_up();
	double_refuse = true;
	call = start_completion(WHOLE_BODY);
	finish(call);
	g_assert_cmpint(call->status, ==, 503);
	assert_has(call->body, "overloaded");
	assert_has(call->headers, "\nretry-after: 3\n");
	free_call(call);
	tear_down();
}

static void limit_to_one(const char *model_link)
{
	for (unsigned i = 0; i < double_links->len; i++) {
		ks_link_client_t *link = g_ptr_array_index(double_links, i);

		link->load.limit = 1;
		link->up = !strcmp(link->upstream, model_link);
	}
}

/*
 * Guards against a queued request that is not admitted when capacity frees up.
 */
static void test_queue_moves_on(void)
{
	struct call *first, *second;

	set_up();
	limit_to_one("e1");
	first = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	second = start_completion(WHOLE_BODY);
	for (int i = 0; i < 5; i++)
		run_loop_once();
	g_assert_cmpuint(double_attempts->len, ==, 1);
	double_head(double_attempt(0), 200, "text/plain");
	double_end(double_attempt(0), KS_ERROR_NONE);
	WAIT_FOR(double_attempts->len == 2);
	double_head(double_attempt(1), 200, "text/plain");
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(first);
	finish(second);
	g_assert_cmpint(second->status, ==, 200);
	free_call(first);
	free_call(second);
	tear_down();
}

/*
 * Guards against a request that occupies an admission slot while it waits for
 * the store to insert its claim, and so delays other requests.
 */
static void test_waiting_claim_takes_no_slot(void)
{
	struct call *payment, *lookup;

	set_up();
	limit_to_one("s1");
	payment = start_payment();
	WAIT_FOR(double_ledger.begun == 1);
	lookup = start("GET", "/basket", "", NULL);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, "text/plain");
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(lookup);
	g_assert_cmpint(lookup->status, ==, 200);
	double_ledger.events->fail(double_ledger.ctx,
				   KS_ERROR_STORE_UNAVAILABLE);
	finish(payment);
	assert_has(payment->body, "store_unavailable");
	free_call(payment);
	free_call(lookup);
	tear_down();
}

/*
 * Guards against keeping a request queued until its deadline although it can no
 * longer be served in time.
 */
static void test_queue_refuses_late_request(void)
{
	struct call *first, *second;

	set_up();
	limit_to_one("e1");
	first = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	second = start_completion(WHOLE_BODY);
	for (int i = 0; i < 5; i++)
		run_loop_once();
	/* 1 s of 60 s is left, less than the expected service time. */
	ks_test_clock_advance(&fx.clock, 59 * KS_USEC_PER_SEC);
	finish(second);
	g_assert_cmpint(second->status, ==, 503);
	assert_has(second->headers, "\nretry-after: 3\n");
	assert_has(second->body, "\"not_run\":true");
	double_head(double_attempt(0), 200, "text/plain");
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(first);
	free_call(first);
	free_call(second);
	tear_down();
}

static void lose_link(ks_link_client_t *link)
{
	link->up = false;
	link->events->changed(link->ctx, link);
	ks_test_clock_advance(&fx.clock, 2001 * KS_USEC_PER_MSEC);
	run_loop_once();
}

/*
 * Guards against an idempotent request that waits until its deadline for an
 * upstream whose host has failed, and against cancelling or retrying a
 * non-idempotent one.
 */
static void test_lost_link(void)
{
	struct call *stream, *payment;

	set_up();
	stream = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0), EVENT("one"));
	payment = start_payment_for("5000");
	WAIT_FOR(double_ledger.begun == 1);
	double_ledger.events->dispatch(double_ledger.ctx, 1);
	lose_link(double_attempt(0)->link);
	g_assert_cmpuint(double_attempts->len, ==, 3);
	g_assert_true(double_attempt(0)->cancelled);
	assert_has(double_attempt(2)->headers, "\nx-ks-resume-from: 1\n");
	double_head(double_attempt(2), 200, SSE);
	double_body(double_attempt(2), EVENT("two") DONE);
	double_end(double_attempt(2), KS_ERROR_NONE);
	finish(stream);
	g_assert_cmpstr(stream->body->str, ==, EVENT("one") EVENT("two") DONE);
	lose_link(double_attempt(1)->link);
	g_assert_cmpuint(double_ledger.unknown, ==, 0);
	ks_test_clock_advance(&fx.clock, 2000 * KS_USEC_PER_MSEC);
	finish(payment);
	assert_has(payment->body, "outcome_unknown");
	g_assert_cmpuint(double_ledger.unknown, ==, 1);
	g_assert_false(double_attempt(1)->cancelled);
	g_assert_cmpuint(double_attempts->len, ==, 3);
	/* Withdrawn upstreams are freed although their attempts never ended. */
	g_ptr_array_set_size(fx.snapshot.upstreams, 0);
	apply_snapshot();
	WAIT_FOR(double_links->len == 0);
	free_call(stream);
	free_call(payment);
	tear_down();
}

/*
 * Guards against new requests for an upstream on a leaving host, and against
 * closing the link of a withdrawn upstream while a request is in flight.
 */
static void test_leaving_and_withdrawn(void)
{
	ks_str_t leaving[] = { KS_STR("e1") };
	struct call *call;

	set_up();
	double_hosts_func(double_hosts_ctx, true, leaving, 1);
	call = start_completion(WHOLE_BODY);
	WAIT_FOR(double_attempts->len == 1);
	g_assert_cmpstr(double_attempt(0)->link->upstream, ==, "e2");
	g_ptr_array_set_size(fx.snapshot.upstreams, 0);
	apply_snapshot();
	run_loop_once();
	g_assert_cmpuint(double_links->len, ==, 1);
	double_head(double_attempt(0), 200, "text/plain");
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpint(call->status, ==, 200);
	WAIT_FOR(double_links->len == 0);
	free_call(call);
	assert_error("POST", CHAT, WHOLE_BODY, key_fields, 503, "no_upstream");
	tear_down();
}

/* Guards against a tenant that exceeds its concurrency limit. */
static void test_tenant_is_limited(void)
{
	struct call *calls[3];

	set_up();
	for (unsigned i = 0; i < 3; i++) {
		calls[i] = start_completion(WHOLE_BODY);
		WAIT_FOR(double_attempts->len == i + 1);
	}
	assert_error("POST", CHAT, WHOLE_BODY, key_fields, 429, "rate_limited");
	for (unsigned i = 0; i < 3; i++) {
		double_head(double_attempt(i), 200, "text/plain");
		double_end(double_attempt(i), KS_ERROR_NONE);
		finish(calls[i]);
		free_call(calls[i]);
	}
	tear_down();
}

/*
 * Guards against a usage event that does not update the prefix cache estimate,
 * or that is counted as a token.
 */
static void test_usage_updates_prefix_cache(void)
{
	GString *body = g_string_new("{\"model\":\"m\",\"stream\":true,"
				     "\"seed\":1,\"messages\":[{\"role\":"
				     "\"user\",\"content\":\"");
	struct call *call;

	set_up();
	double_cached_blocks = 0;
	g_string_append_printf(body, "%020000d\"}]}", 0);
	call = start_completion(body->str);
	WAIT_FOR(double_attempts->len == 1);
	g_assert_cmpstr(double_attempt(0)->body, ==, body->str);
	double_head(double_attempt(0), 200, SSE);
	double_body(double_attempt(0),
		    EVENT("one") "data: {\"choices\":[],\"usage\":{"
				 "\"completion_tokens\":1,"
				 "\"prompt_tokens_details\":"
				 "{\"cached_tokens\":4000}}}\n\n");
	g_assert_cmpuint(double_cached_blocks, ==, 2);
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	assert_has(double_attempt(1)->headers, "\nx-ks-resume-from: 1\n");
	double_head(double_attempt(1), 200, SSE);
	double_body(double_attempt(1), DONE);
	double_end(double_attempt(1), KS_ERROR_NONE);
	finish(call);
	g_string_free(body, TRUE);
	free_call(call);
	tear_down();
}

/*
 * Guards against a shutdown that aborts requests, loses outcomes not yet
 * stored, or never completes.
 */
static void test_stop_is_graceful(void)
{
	struct call *call, *ready;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	double_head(double_attempt(0), 200, SSE);
	ks_entry_stop(fx.entry);
	assert_error("GET", "/readyz", "", NULL, 503, "not_ready");
	ready = start("GET", "/healthz", "", NULL);
	finish(ready);
	g_assert_cmpint(ready->status, ==, 200);
	ks_test_clock_advance(&fx.clock, 2001 * KS_USEC_PER_MSEC);
	for (int i = 0; i < 5; i++)
		run_loop_once();
	g_assert_false(fx.loop.stopping);
	double_body(double_attempt(0), EVENT("one") DONE);
	double_end(double_attempt(0), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpstr(call->body->str, ==, EVENT("one") DONE);
	double_ledger.busy = true;
	for (int i = 0; i < 20; i++) {
		ks_test_clock_advance(&fx.clock, 100 * KS_USEC_PER_MSEC);
		run_loop_once();
	}
	g_assert_false(fx.loop.stopping);
	double_ledger.busy = false;
	for (int i = 0; i < MAX_LOOP_ITERATIONS && !fx.loop.stopping; i++) {
		ks_test_clock_advance(&fx.clock, 100 * KS_USEC_PER_MSEC);
		run_loop_once();
	}
	g_assert_true(fx.loop.stopping);
	free_call(call);
	free_call(ready);
	tear_down();
}

static bool stops_within(int64_t duration_us)
{
	for (int64_t us = 0; us < duration_us && !fx.loop.stopping;
	     us += 100 * KS_USEC_PER_MSEC) {
		ks_test_clock_advance(&fx.clock, 100 * KS_USEC_PER_MSEC);
		run_loop_once();
	}
	return fx.loop.stopping;
}

/*
 * Guards against an entry that stops before an attempt without a caller has
 * ended. Its upstream process would wait for the acknowledgement and not stop.
 * With @ends false, the end is not reported, and the entry must stop all the
 * same.
 */
static void check_stop_awaits_attempt(bool ends)
{
	struct call *call;

	set_up();
	call = start_completion(STREAM_BODY);
	WAIT_FOR(double_attempts->len == 1);
	ks_http_call_cancel(&call->call);
	for (int i = 0;
	     i < MAX_LOOP_ITERATIONS && !double_attempt(0)->cancelled; i++) {
		ks_test_clock_advance(&fx.clock, 300 * KS_USEC_PER_MSEC);
		run_loop_once();
	}
	ks_entry_stop(fx.entry);
	g_assert_false(stops_within(DRAIN_DELAY_US + SILENCE_US / 2));
	if (ends)
		double_end(double_attempt(0), KS_ERROR_OUTCOME_UNKNOWN);
	g_assert_true(stops_within(SILENCE_US));
	free_call(call);
	tear_down();
}

static void test_stop_awaits_attempts(void)
{
	check_stop_awaits_attempt(true);
	check_stop_awaits_attempt(false);
}

/* Guards against writing planner leases when no engine has a role. */
static void test_no_planner_without_roles(void)
{
	struct call *call;

	set_up();
	call = start("GET", "/internal/status", "", key_fields);
	finish(call);
	assert_has(call->body, "\"planner\":{\"running\":false");
	free_call(call);
	call = start("GET", "/metrics", "", NULL);
	finish(call);
	assert_has(call->body, "ks_plan_changes_total 0\n");
	assert_has(call->body, "ks_plan_changes_undone_total 0\n");
	free_call(call);
	tear_down();
}

/*
 * Guards against status, model list or metrics that are malformed or expose a
 * key.
 */
static void test_status_models_and_metrics(void)
{
	struct call *call;

	set_up();
	call = start("GET", "/internal/status", "", key_fields);
	finish(call);
	g_assert_cmpint(call->status, ==, 200);
	assert_has(call->body, "\"version\":1");
	assert_has(call->body, "\"id\":\"e1\"");
	free_call(call);
	call = start("GET", "/v1/models", "", key_fields);
	finish(call);
	assert_has(call->body, "\"id\":\"m\"");
	free_call(call);
	call = start("GET", "/metrics", "", NULL);
	finish(call);
	assert_has(call->body, "ks_config_version 1\n");
	free_call(call);
	tear_down();
}

/* Guards against reporting readiness without a configuration. */
static void test_not_ready_without_snapshot(void)
{
	set_up();
	double_config->current = NULL;
	assert_error("GET", "/readyz", "", NULL, 503, "not_ready");
	assert_error("POST", CHAT, WHOLE_BODY, key_fields, 503, "not_ready");
	tear_down();
}

#define OFFER \
	"{\"kv\":{\"handle\":\"h7\",\"blocks\":5,\"endpoint\":\"127.0.0.1:9\"}}"

static struct call *start_long_completion(void)
{
	GString *body =
		g_string_new("{\"model\":\"m\",\"stream\":true,\"messages\":"
			     "[{\"role\":\"user\",\"content\":\"");
	struct call *call;

	for (int i = 0; i < 40000; i++)
		g_string_append_c(body, 'a');
	g_string_append(body, "\"}]}");
	call = start_completion(body->str);
	g_string_free(body, TRUE);
	return call;
}

static void set_role(const char *upstream, const char *role)
{
	for (unsigned i = 0; i < double_links->len; i++) {
		ks_link_client_t *link = g_ptr_array_index(double_links, i);

		if (!strcmp(link->upstream, upstream))
			g_strlcpy(link->load.role, role,
				  sizeof(link->load.role));
	}
}

/* Starts a request that is split; attempt 0 is its prefill step. */
static struct call *start_split(void)
{
	struct call *call;

	set_up();
	set_role("e1", "prefill");
	set_role("e2", "decode");
	call = start_long_completion();
	WAIT_FOR(double_attempts->len == 1);
	g_assert_cmpstr(double_attempt(0)->link->upstream, ==, "e1");
	assert_has(double_attempt(0)->headers, "\nx-ks-prefill-only: 1\n");
	return call;
}

/* Completes the decode step, or an attempt for the whole request. */
static void finish_split(struct call *call, unsigned index)
{
	double_head(double_attempt(index), 200, SSE);
	double_body(double_attempt(index), EVENT("one") DONE);
	double_end(double_attempt(index), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpint(call->status, ==, 200);
	g_assert_cmpstr(call->body->str, ==, EVENT("one") DONE);
	g_assert_cmpuint(double_attempts->len, ==, index + 1);
	free_call(call);
	tear_down();
}

static void offer_kv(void)
{
	double_head(double_attempt(0), 200, "application/json");
	double_body(double_attempt(0), OFFER);
	double_end(double_attempt(0), KS_ERROR_NONE);
	WAIT_FOR(double_attempts->len == 2);
}

/*
 * Guards against relaying the response of the prefill step, and against a
 * decode step without the KV handle.
 */
static void test_split(void)
{
	struct call *call = start_split();

	offer_kv();
	g_assert_cmpstr(double_attempt(1)->link->upstream, ==, "e2");
	assert_has(double_attempt(1)->headers,
		   "\nx-ks-kv-source: 127.0.0.1:9\n");
	assert_has(double_attempt(1)->headers, "\nx-ks-kv-handle: h7\n");
	assert_lacks(double_attempt(1)->headers, "x-ks-prefill-only");
	finish_split(call, 1);
}

/* Guards against failing a request because its prefill step failed. */
static void test_split_prefill_fails(void)
{
	struct call *call = start_split();

	double_head(double_attempt(0), 200, "application/json");
	double_end(double_attempt(0), KS_ERROR_UPSTREAM_FAILED);
	WAIT_FOR(double_attempts->len == 2);
	assert_lacks(double_attempt(1)->headers, "x-ks-");
	finish_split(call, 1);
}

/* Guards against a request that waits for a prefill step that never started. */
static void test_split_not_started(void)
{
	struct call *call = start_split();

	double_not_started(double_attempt(0), KS_ERROR_NO_UPSTREAM, 0);
	WAIT_FOR(double_attempts->len == 2);
	assert_lacks(double_attempt(1)->headers, "x-ks-");
	finish_split(call, 1);
}

/* Guards against relaying the status of a failed KV import to the caller. */
static void test_split_import_fails(void)
{
	struct call *call = start_split();

	offer_kv();
	double_head(double_attempt(1), 424, "application/json");
	double_body(double_attempt(1), "{}");
	double_end(double_attempt(1), KS_ERROR_NONE);
	WAIT_FOR(double_attempts->len == 3);
	assert_lacks(double_attempt(2)->headers, "x-ks-");
	finish_split(call, 2);
}

/* Guards against sending the decode step to an engine that is leaving. */
static void test_split_decoder_leaves(void)
{
	struct call *call = start_split();

	for (unsigned i = 0; i < double_links->len; i++) {
		ks_link_client_t *link = g_ptr_array_index(double_links, i);

		if (!strcmp(link->upstream, "e2"))
			link->state = KS_UPSTREAM_LEAVING;
	}
	offer_kv();
	g_assert_cmpstr(double_attempt(1)->link->upstream, ==, "e1");
	assert_lacks(double_attempt(1)->headers, "x-ks-");
	finish_split(call, 1);
}

/*
 * Guards against restarting a stream from the beginning when the decoding
 * engine fails.
 */
static void test_split_stream_resumes(void)
{
	struct call *call = start_split();

	offer_kv();
	double_head(double_attempt(1), 200, SSE);
	double_body(double_attempt(1), EVENT("one"));
	WAIT_FOR(strstr(call->body->str, "one"));
	double_end(double_attempt(1), KS_ERROR_UPSTREAM_FAILED);
	WAIT_FOR(double_attempts->len == 3);
	assert_has(double_attempt(2)->headers, "\nx-ks-resume-from: 1\n");
	assert_lacks(double_attempt(2)->headers, "x-ks-kv");
	double_head(double_attempt(2), 200, SSE);
	double_body(double_attempt(2), EVENT("two") DONE);
	double_end(double_attempt(2), KS_ERROR_NONE);
	finish(call);
	g_assert_cmpstr(call->body->str, ==, EVENT("one") EVENT("two") DONE);
	free_call(call);
	tear_down();
}

static const struct {
	const char *path;
	void (*func)(void);
} tests[] = {
	{ "/entry/stream-is-passed-on", test_stream_is_relayed },
	{ "/entry/service-is-answered", test_service_response_is_relayed },
	{ "/entry/truncated-stream", test_truncated_stream_ends_with_error },
	{ "/entry/stream-without-done", test_stream_without_done_is_truncated },
	{ "/entry/stream-resumes", test_stream_resumes_elsewhere },
	{ "/entry/resume-needs-support",
	  test_stream_needs_upstream_that_resumes },
	{ "/entry/resume-answered-whole", test_resume_requires_stream },
	{ "/entry/finished-choice", test_finished_choice_is_not_resumed },
	{ "/entry/whole-retried", test_buffered_response_is_retried },
	{ "/entry/large-completion", test_large_completion },
	{ "/entry/half-completion", test_half_completion_is_retried },
	{ "/entry/not-run-is-true", test_not_run_is_not_reported_after_start },
	{ "/entry/not-started", test_not_started_is_retried_then_reported },
	{ "/entry/without-key", test_without_key_is_sent_once },
	{ "/entry/claim-first", test_payment_is_claimed_first },
	{ "/entry/replay", test_payment_is_replayed },
	{ "/entry/claim-not-run", test_payment_not_run_is_recorded },
	{ "/entry/claim-unknown", test_payment_unknown_is_recorded },
	{ "/entry/claim-deadline", test_payment_outlives_its_deadline },
	{ "/entry/caller-gone", test_caller_gone_cancels },
	{ "/entry/slow-caller", test_slow_caller_gives_no_credit },
	{ "/entry/answer-bounded", test_response_size_is_limited },
	{ "/entry/wrong-requests", test_invalid_requests_are_refused },
	{ "/entry/admission-refuses", test_admission_refuses_at_once },
	{ "/entry/queue-moves", test_queue_moves_on },
	{ "/entry/claim-holds-no-place", test_waiting_claim_takes_no_slot },
	{ "/entry/queue-refuses", test_queue_refuses_late_request },
	{ "/entry/lost-link", test_lost_link },
	{ "/entry/leaving", test_leaving_and_withdrawn },
	{ "/entry/tenant-limit", test_tenant_is_limited },
	{ "/entry/usage", test_usage_updates_prefix_cache },
	{ "/entry/stop", test_stop_is_graceful },
	{ "/entry/stop-awaits-attempts", test_stop_awaits_attempts },
	{ "/entry/operators-pages", test_status_models_and_metrics },
	{ "/entry/not-ready", test_not_ready_without_snapshot },
	{ "/entry/no-planner-without-roles", test_no_planner_without_roles },
	{ "/entry/split", test_split },
	{ "/entry/split-prefill-fails", test_split_prefill_fails },
	{ "/entry/split-not-started", test_split_not_started },
	{ "/entry/split-import-fails", test_split_import_fails },
	{ "/entry/split-decoder-leaves", test_split_decoder_leaves },
	{ "/entry/split-stream-resumes", test_split_stream_resumes },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add_func(tests[i].path, tests[i].func);
	return g_test_run();
}
