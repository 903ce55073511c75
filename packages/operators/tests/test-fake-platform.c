/* Tests of the fake platform that the system tests use. */
#include "fake_platform.h"

#include <signal.h>
#include <string.h>

#define MAX_STEPS 10000

static ks_loop_t loop;
static fake_platform_t platform;
static ks_http_client_t client;
static ks_address_t address = { "127.0.0.1", 0 };

struct reply {
	bool done;
	int status;
	char *body;
};

static void on_reply(void *ctx, const ks_http_response_t *answer)
{
	struct reply *reply = ctx;

	g_assert_cmpint(answer->result, ==, KS_HTTP_COMPLETE);
	reply->done = true;
	reply->status = answer->status;
	reply->body = ks_str_dup(answer->body);
}

/* Returns the HTTP status. The caller frees @body, which may be NULL. */
static int request(const char *method, const char *target, const char *content,
		   char **body)
{
	struct reply reply = { 0 };
	ks_http_request_t http = { .address = address,
				   .method = ks_str_from(method),
				   .target = ks_str_from(target),
				   .body = ks_str_from(content) };

	ks_http_fetch(&client, &http, 1 << 20, on_reply, &reply);
	for (int i = 0; i < MAX_STEPS && !reply.done; i++)
		ks_loop_run_once(&loop, 10 * KS_USEC_PER_MSEC);
	g_assert_true(reply.done);
	if (body)
		*body = reply.body;
	else
		g_free(reply.body);
	return reply.status;
}

/* Guards against faults requested with /control that have no effect. */
static void test_platform_control(void)
{
	fake_platform_reset(&platform);
	g_assert_cmpint(request("POST", "/control",
				"{\"down\":true,\"delay_ms\":5,"
				"\"lose_answers\":2,\"stale_reads\":true,"
				"\"lose_matching\":\"claim/\","
				"\"hosts_down\":true,\"hosts\":[\"a\"],"
				"\"leaving\":[\"b\",\"c\"]}",
				NULL),
			==, 200);
	g_assert_true(platform.down);
	g_assert_true(platform.stale_reads);
	g_assert_true(platform.hosts_down);
	g_assert_cmpint(platform.delay_us, ==, 5 * KS_USEC_PER_MSEC);
	g_assert_cmpuint(platform.lose_answers, ==, 2);
	g_assert_cmpstr(platform.lose_matching, ==, "claim/");
	g_assert_cmpuint(platform.hosts->len, ==, 1);
	g_assert_cmpuint(platform.leaving->len, ==, 2);
	g_assert_cmpint(request("POST", "/control", "{\"dwn\":true}", NULL), ==,
			400);
	g_assert_cmpint(request("POST", "/control", "{\"down\":1}", NULL), ==,
			400);
	g_assert_cmpint(request("POST", "/control", "no JSON", NULL), ==, 400);
	g_ptr_array_set_size(platform.hosts, 0);
	g_ptr_array_set_size(platform.leaving, 0);
	fake_platform_reset(&platform);
}

/* Returns a token bucket with one token, refilled in 1000 s. */
static fake_rate_t nearly_empty(void)
{
	return (fake_rate_t){ .per_s = 0.001,
			      .tokens = 1,
			      .refilled_us = ks_loop_now(&loop) };
}

/* Guards against a rate limit that counts a transaction as one write. */
static void test_platform_counts_and_limits(void)
{
	static const char *const writes =
		"[{\"op\":\"put\",\"key\":\"plan/a\",\"value\":\"1\"},"
		"{\"op\":\"put\",\"key\":\"plan/b\",\"value\":\"1\"}]";
	uint64_t n_writes = platform.writes;
	char *stats = NULL;

	fake_platform_reset(&platform);
	platform.write_rate = nearly_empty();
	g_assert_cmpint(request("POST", "/v1/transactions", writes, NULL), ==,
			200);
	g_assert_cmpuint(platform.writes, ==, n_writes + 2);
	g_assert_cmpfloat(platform.write_rate.tokens, <, 0);
	g_assert_cmpint(request("POST", "/v1/transactions", writes, NULL), ==,
			429);
	g_assert_cmpint(request("GET", "/v1/stats", "", &stats), ==, 200);
	g_assert_nonnull(strstr(stats, "\"plan\":{\"reads\":0,\"writes\":2}"));
	g_free(stats);
	platform.weight_rate = nearly_empty();
	g_assert_cmpint(request("GET", "/v1/weights/m/v1", "", NULL), ==, 200);
	g_assert_cmpint(request("GET", "/v1/weights/m/v1", "", NULL), ==, 429);
}

/* Guards against malformed requests being accepted or writing empty rows. */
static void test_platform_refuses_malformed_writes(void)
{
	static const char both_conditions[] =
		"[{\"op\":\"check\",\"key\":\"a\",\"if_match\":\"1\","
		"\"if_none_match\":\"*\"}]";
	static const char *const bodies[] = {
		"",
		"{}",
		"[1]",
		"[{\"op\":\"put\",\"key\":\"a\"}]",
		"[{\"op\":\"add\",\"key\":\"a\",\"value\":\"1\"}]",
		both_conditions,
	};

	fake_platform_reset(&platform);
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		g_assert_cmpint(
			request("POST", "/v1/transactions", bodies[i], NULL),
			==, 400);
	g_assert_cmpint(request("DELETE", "/v1/rows?prefix=", "", NULL), ==,
			400);
	g_assert_cmpint(request("POST", "/v1/rows/a", "", NULL), ==, 405);
	g_assert_cmpint(request("GET", "/v1/nothing", "", NULL), ==, 404);
}

/* Guards against stale reads that return the newest value, or none. */
static void test_platform_stale_reads(void)
{
	char *body = NULL;

	fake_platform_reset(&platform);
	platform.stale_reads = true;
	g_assert_cmpint(request("PUT", "/v1/rows/release/head", "1", NULL), ==,
			200);
	g_assert_cmpint(request("GET", "/v1/rows/release/head", "", NULL), ==,
			404);
	g_assert_cmpint(request("PUT", "/v1/rows/release/head", "2", NULL), ==,
			200);
	g_assert_cmpint(request("GET", "/v1/rows/release/head", "", &body), ==,
			200);
	g_assert_cmpstr(body, ==, "1");
	g_free(body);
}

int main(int argc, char **argv)
{
	GError *error = NULL;
	int status;

	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	ks_loop_init(&loop, ks_clock_monotonic());
	fake_platform_init(&platform, &loop, &address, &error);
	g_assert_no_error(error);
	address.port = ks_http_server_port(&platform.server);
	ks_http_client_init(&client, &loop);
	g_test_add_func("/fake-platform/control", test_platform_control);
	g_test_add_func("/fake-platform/counts-and-limits",
			test_platform_counts_and_limits);
	g_test_add_func("/fake-platform/refuses-malformed-writes",
			test_platform_refuses_malformed_writes);
	g_test_add_func("/fake-platform/stale-reads",
			test_platform_stale_reads);
	status = g_test_run();
	fake_platform_deinit(&platform);
	return status;
}
