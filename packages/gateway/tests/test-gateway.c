/*
 * Tests of forwarding, retries, streams, timeouts and stops through a gateway.
 */
#include "gateway_fixture.h"

/* Guards against changing a request or a response while forwarding it. */
static void test_pass_through(void)
{
	static const char *const methods[] = { "GET", "POST", "PUT", "PATCH",
					       "DELETE" };

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		ks_header_t extra = { KS_STR("x-other"), KS_STR("kept") };
		struct fixture_upstream *upstream;
		struct fixture_caller caller;
		struct fixture f;
		char *expected = g_strdup_printf("%s /read/a%%20b?c=d&e body",
						 methods[i]);

		fixture_init(&f);
		fixture_call_with(&f, &caller, methods[i], "/read/a%20b?c=d&e",
				  "body", &extra, 1);
		upstream = fixture_wait_request(&f);
		g_assert_cmpstr(upstream->received->pdata[0], ==, expected);
		g_assert_true(ks_str_equal(
			ks_header_value(upstream->request->headers,
					upstream->request->n_headers,
					"x-other"),
			KS_STR("kept")));
		g_assert_true(ks_str_equal(
			ks_header_value(upstream->request->headers,
					upstream->request->n_headers, "host"),
			KS_STR("shop.example")));
		fixture_respond(upstream, 200, false, "answer");
		FIXTURE_WAIT(&f, caller.done);
		g_assert_cmpint(caller.status, ==, 200);
		g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
		g_assert_cmpstr(caller.body->str, ==, "answer");
		g_assert_cmpstr(caller.seal->str, ==, "s");
		fixture_end_call(&caller);
		fixture_deinit(&f);
		g_free(expected);
	}
}

/* Guards against bodies that exceed a buffer of the gateway. */
static void test_large_bodies(void)
{
	size_t size = 4 * 1024 * 1024;
	char *body = g_malloc(size + 1);
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	memset(body, 'x', size);
	body[size] = '\0';
	fixture_init(&f);
	fixture_call_with(&f, &caller, "POST", "/read/", body, NULL, 0);
	upstream = fixture_wait_request(&f);
	g_assert_cmpuint(upstream->request->body.len, ==, size);
	fixture_respond(upstream, 200, false, body);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpuint(caller.body->len, ==, size);
	fixture_end_call(&caller);
	fixture_deinit(&f);
	g_free(body);
}

/* Guards against forwarding header fields that only the system may set. */
static void test_system_fields(void)
{
	ks_header_t extra[] = { { KS_STR("x-kv"), KS_STR("forged") },
				{ KS_STR("x-fetch"), KS_STR("forged") },
				{ KS_STR("x-stage"), KS_STR("prefill") },
				{ KS_STR("x-expect"), KS_STR("other") } };
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;
	ks_str_t expect;

	fixture_init(&f);
	fixture_call_with(&f, &caller, "GET", "/read/", "", extra, 4);
	upstream = fixture_wait_request(&f);
	g_assert_null(ks_header_find(upstream->request->headers,
				     upstream->request->n_headers, "x-kv"));
	g_assert_null(ks_header_find(upstream->request->headers,
				     upstream->request->n_headers, "x-stage"));
	g_assert_null(ks_header_find(upstream->request->headers,
				     upstream->request->n_headers, "x-fetch"));
	expect = ks_header_value(upstream->request->headers,
				 upstream->request->n_headers, "x-expect");
	g_assert_true(ks_str_equal(expect, upstream == &f.upstreams[0]
						   ? KS_STR("u0")
						   : KS_STR("u1")));
	fixture_respond(upstream, 200, false, "");
	FIXTURE_WAIT(&f, caller.done);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Guards against preferring an overloaded upstream: it refuses at once, so it
 * always has the fewest requests in flight.
 */
static void test_overloaded_is_avoided(void)
{
	struct fixture_upstream *full, *other;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "GET", "/read/");
	full = fixture_wait_request(&f);
	fixture_respond(full, 503, true, "");
	other = fixture_wait_request(&f);
	g_assert_true(other != full);
	fixture_respond(other, 200, false, "");
	FIXTURE_WAIT(&f, caller.done);
	fixture_end_call(&caller);
	for (int i = 0; i < 10; i++) {
		fixture_call(&f, &caller, "GET", "/read/");
		g_assert_true(fixture_wait_request(&f) == other);
		fixture_respond(other, 200, false, "");
		FIXTURE_WAIT(&f, caller.done);
		fixture_end_call(&caller);
	}
	fixture_deinit(&f);
}

/*
 * Sends a request whose first response fails, and returns how many requests
 * arrived at the upstreams.
 */
static unsigned fail_once(const char *target, int status, bool not_run,
			  bool cut, int *final_status)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;
	unsigned received;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", target);
	upstream = fixture_wait_request(&f);
	if (cut) {
		fixture_start_response(upstream, 200, false, 100);
		fixture_send(upstream, "part");
		fixture_run_pending(&f);
		fixture_abort_response(upstream);
	} else {
		fixture_respond(upstream, status, not_run, "");
	}
	FIXTURE_WAIT(&f, caller.done || fixture_pending_upstream(&f));
	if (fixture_pending_upstream(&f))
		fixture_respond(fixture_pending_upstream(&f), 200, false,
				"second");
	FIXTURE_WAIT(&f, caller.done);
	*final_status = caller.status;
	received = fixture_n_requests(&f);
	fixture_end_call(&caller);
	fixture_deinit(&f);
	return received;
}

/* Guards against running a payment twice after its response was lost. */
static void test_once_is_not_repeated(void)
{
	int status;

	g_assert_cmpuint(fail_once("/book/", 0, false, true, &status), ==, 1);
	g_assert_cmpint(status, ==, 502);
	g_assert_cmpuint(fail_once("/book/", 500, false, false, &status), ==,
			 1);
	g_assert_cmpint(status, ==, 500);
}

/*
 * Guards against forwarding a status that implies "not run" for a request that
 * may have run.
 */
static void test_no_false_not_run(void)
{
	static const int statuses[] = { 408, 421, 429, 503 };
	int status;

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		g_assert_cmpuint(
			fail_once("/book/", statuses[i], false, false, &status),
			==, 1);
		g_assert_cmpint(status, ==, 502);
	}
}

/* Guards against failing a request that the upstream states it has not run. */
static void test_not_run_is_sent_again(void)
{
	static const int refusals[] = { 421, 429, 503 };
	int status;

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		g_assert_cmpuint(
			fail_once("/book/", refusals[i], true, false, &status),
			==, 2);
		g_assert_cmpint(status, ==, 200);
	}
}

/*
 * Guards against failing an idempotent request that another upstream can serve.
 */
static void test_idempotent_is_repeated(void)
{
	int status;

	g_assert_cmpuint(fail_once("/read/", 0, false, true, &status), ==, 2);
	g_assert_cmpint(status, ==, 200);
	g_assert_cmpuint(fail_once("/read/", 500, false, false, &status), ==,
			 2);
	g_assert_cmpint(status, ==, 200);
}

/* Guards against running a request more often than its route allows. */
static void test_max_attempts(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_put_upstream(&f, 2, "app", KS_STAGE_ANY);
	fixture_call(&f, &caller, "GET", "/read/");
	for (int i = 0; i < 2; i++)
		fixture_respond(fixture_wait_request(&f), 500, false, "no");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.status, ==, 500);
	g_assert_cmpstr(caller.seal->str, ==, "s");
	g_assert_cmpuint(fixture_n_requests(&f), ==, 2);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against ending a stream regularly after its upstream broke it off. */
static void test_cut_stream(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/tell/");
	upstream = fixture_wait_request(&f);
	fixture_start_response(upstream, 200, false, -1);
	fixture_send(upstream, "id: 1\ndata: a\n\n");
	FIXTURE_WAIT(&f, caller.body->len > 0);
	fixture_abort_response(upstream);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpuint(fixture_n_requests(&f), ==, 1);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against lost, repeated or joined events in a resumed stream. */
static void test_resume(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/resume/");
	upstream = fixture_wait_request(&f);
	fixture_start_response(upstream, 200, false, -1);
	fixture_send(upstream, "id: 1\ndata: a\n\nid: 2\nda");
	FIXTURE_WAIT(&f, caller.body->len > 0);
	fixture_abort_response(upstream);
	upstream = fixture_wait_request(&f);
	g_assert_true(ks_str_equal(ks_header_value(upstream->request->headers,
						   upstream->request->n_headers,
						   "last-event-id"),
				   KS_STR("1")));
	fixture_start_response(upstream, 200, false, -1);
	fixture_send(upstream, "id: 2\ndata: b\n\n");
	fixture_end_response(upstream);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpstr(caller.body->str, ==,
			"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Guards against ending a stream regularly when the attempt to resume it was
 * refused.
 */
static void test_resume_refused(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/resume/");
	upstream = fixture_wait_request(&f);
	fixture_start_response(upstream, 200, false, -1);
	fixture_send(upstream, "id: 1\ndata: a\n\n");
	FIXTURE_WAIT(&f, caller.body->len > 0);
	fixture_abort_response(upstream);
	fixture_respond(fixture_wait_request(&f), 404, false, "no such stream");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpstr(caller.body->str, ==, "id: 1\ndata: a\n\n");
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against holding events back until the end of the stream. */
static void test_events_are_not_held(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/tell/");
	upstream = fixture_wait_request(&f);
	fixture_start_response(upstream, 200, false, -1);
	for (int i = 1; i <= 3; i++) {
		fixture_send(upstream, "data: x\n\n");
		FIXTURE_WAIT(&f, caller.body->len == (size_t)i * 9);
	}
	fixture_end_response(upstream);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against upstreams that continue to work for a disconnected caller. */
static void test_caller_disconnects(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/tell/");
	upstream = fixture_wait_request(&f);
	ks_http_call_cancel(&caller.call);
	FIXTURE_WAIT(&f, upstream->left);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against cancelling a payment because its caller disconnected. */
static void test_caller_disconnects_payment(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/book/");
	upstream = fixture_wait_request(&f);
	ks_http_call_cancel(&caller.call);
	fixture_run_pending(&f);
	g_assert_false(upstream->left);
	fixture_respond(upstream, 200, false, "paid");
	fixture_run_pending(&f);
	g_assert_cmpuint(fixture_n_requests(&f), ==, 1);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Guards against callers that wait beyond their deadline, and against a
 * response that implies "not run" for a request that may have run.
 */
static void test_timeout(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/book/");
	fixture_wait_request(&f);
	fixture_advance(&f, 1400);
	g_assert_false(caller.done);
	fixture_advance(&f, 300);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.status, ==, 504);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against giving an upstream more time than the caller has left. */
static void test_time_left(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;
	ks_str_t left;
	int64_t ms;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/read/");
	upstream = fixture_wait_request(&f);
	left = ks_header_value(upstream->request->headers,
			       upstream->request->n_headers, "x-left");
	g_assert_true(ks_str_parse_int(left, 0, 1500, &ms));
	fixture_advance(&f, 500);
	fixture_respond(upstream, 500, false, "");
	upstream = fixture_wait_request(&f);
	left = ks_header_value(upstream->request->headers,
			       upstream->request->n_headers, "x-left");
	g_assert_true(ks_str_parse_int(left, 0, 1000, &ms));
	fixture_respond(upstream, 200, false, "");
	FIXTURE_WAIT(&f, caller.done);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

static void expect_refusal(struct fixture *f, const char *target, int status)
{
	struct fixture_caller caller;

	fixture_call(f, &caller, "POST", target);
	FIXTURE_WAIT(f, caller.done);
	g_assert_cmpint(caller.status, ==, status);
	g_assert_cmpuint(fixture_n_requests(f), ==, 0);
	if (status == 503)
		g_assert_cmpuint(caller.retry_after->len, >, 0);
	fixture_end_call(&caller);
}

/*
 * Guards against a 404 from an entry whose configuration is missing or
 * outdated.
 */
static void test_unknown_routes(void)
{
	struct fixture f;

	fixture_init_bare(&f);
	expect_refusal(&f, "/read/", 503);
	fixture_apply(&f, 1);
	expect_refusal(&f, "/nowhere/", 404);
	expect_refusal(&f, "/read/", 503);
	ks_test_clock_advance(&f.clock, 5 * KS_USEC_PER_SEC);
	expect_refusal(&f, "/nowhere/", 503);
	fixture_deinit(&f);
}

/* Guards against replacing a configuration by an older one. */
static void test_older_configuration(void)
{
	ks_traffic_t *older = ks_traffic_new(1);
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_apply(&f, 5);
	ks_gateway_apply(f.gateway, older);
	ks_traffic_unref(older);
	fixture_call(&f, &caller, "GET", "/read/");
	fixture_respond(fixture_wait_request(&f), 200, false, "");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.status, ==, 200);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against sending requests to an upstream that has been removed. */
static void test_removed_upstream(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	ks_fleet_remove(ks_gateway_fleet(f.gateway), KS_STR("u0"));
	for (int i = 0; i < 6; i++) {
		fixture_call(&f, &caller, "GET", "/read/");
		fixture_respond(fixture_wait_request(&f), 200, false, "");
		FIXTURE_WAIT(&f, caller.done);
		fixture_end_call(&caller);
	}
	g_assert_cmpuint(f.upstreams[0].received->len, ==, 0);
	fixture_deinit(&f);
}

/* Guards against a stop that cuts streams off or refuses callers too early. */
static void test_stop(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller stream, late;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &stream, "POST", "/tell/");
	upstream = fixture_wait_request(&f);
	fixture_start_response(upstream, 200, false, -1);
	fixture_send(upstream, "data: a\n\n");
	FIXTURE_WAIT(&f, stream.body->len > 0);
	ks_gateway_stop(f.gateway);
	fixture_advance(&f, 1000);
	fixture_call(&f, &late, "GET", "/read/");
	FIXTURE_WAIT(&f, f.upstreams[0].request && f.upstreams[1].request);
	fixture_respond(upstream == &f.upstreams[0] ? &f.upstreams[1]
						    : &f.upstreams[0],
			200, false, "late");
	FIXTURE_WAIT(&f, late.done);
	g_assert_cmpint(late.status, ==, 200);
	fixture_advance(&f, 3000);
	g_assert_false(f.loop.stopping);
	fixture_send(upstream, "data: b\n\n");
	fixture_end_response(upstream);
	FIXTURE_WAIT(&f, stream.done);
	g_assert_cmpint(stream.result, ==, KS_HTTP_COMPLETE);
	fixture_advance(&f, 200);
	g_assert_true(f.loop.stopping);
	fixture_end_call(&stream);
	fixture_end_call(&late);
	fixture_deinit(&f);
}

/* Guards against more retries than the retry budget allows. */
static void test_retry_budget(void)
{
	struct fixture_caller caller;
	unsigned extra;
	struct fixture f;

	fixture_init(&f);
	for (int i = 0; i < 40; i++) {
		fixture_call(&f, &caller, "GET", "/read/");
		while (!caller.done) {
			if (fixture_pending_upstream(&f))
				fixture_respond(fixture_pending_upstream(&f),
						500, false, "");
			fixture_run_once(&f);
		}
		fixture_end_call(&caller);
	}
	extra = fixture_n_requests(&f) - 40;
	g_assert_cmpuint(extra, >, 0);
	/*
	 * 0.2 retries for each of 40 requests, and this entry's 1/16 of the
	 * slack of 160.
	 */
	g_assert_cmpuint(extra, <=, 8 + 160);
	g_assert_cmpuint(extra, <=, 8 + 10);
	fixture_deinit(&f);
}

/*
 * Guards against delivering the response to another request: the upstream first
 * sends one with a different request id.
 */
static void test_response_to_other_request(void)
{
	ks_header_t other = { KS_STR("x-id"), KS_STR("other") };
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/book/");
	upstream = fixture_wait_request(&f);
	ks_http1_start(upstream->request, 200, &other, 1, 5);
	fixture_send(upstream, "wrong");
	fixture_run_pending(&f);
	g_assert_false(caller.done);
	g_assert_cmpuint(caller.body->len, ==, 0);
	fixture_start_response(upstream, 200, false, 5);
	fixture_send(upstream, "right");
	fixture_end_response(upstream);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpstr(caller.body->str, ==, "right");
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway/pass-through", test_pass_through);
	g_test_add_func("/gateway/large-bodies", test_large_bodies);
	g_test_add_func("/gateway/system-fields", test_system_fields);
	g_test_add_func("/gateway/once", test_once_is_not_repeated);
	g_test_add_func("/gateway/no-false-not-run", test_no_false_not_run);
	g_test_add_func("/gateway/not-run", test_not_run_is_sent_again);
	g_test_add_func("/gateway/refusing", test_overloaded_is_avoided);
	g_test_add_func("/gateway/idempotent", test_idempotent_is_repeated);
	g_test_add_func("/gateway/max-attempts", test_max_attempts);
	g_test_add_func("/gateway/cut-stream", test_cut_stream);
	g_test_add_func("/gateway/resume", test_resume);
	g_test_add_func("/gateway/resume-refused", test_resume_refused);
	g_test_add_func("/gateway/events-at-once", test_events_are_not_held);
	g_test_add_func("/gateway/caller-leaves", test_caller_disconnects);
	g_test_add_func("/gateway/caller-leaves-payment",
			test_caller_disconnects_payment);
	g_test_add_func("/gateway/timeout", test_timeout);
	g_test_add_func("/gateway/time-left", test_time_left);
	g_test_add_func("/gateway/unknown-routes", test_unknown_routes);
	g_test_add_func("/gateway/no-reversal", test_older_configuration);
	g_test_add_func("/gateway/leaving-upstream", test_removed_upstream);
	g_test_add_func("/gateway/stop", test_stop);
	g_test_add_func("/gateway/retry-budget", test_retry_budget);
	g_test_add_func("/gateway/late-answer", test_response_to_other_request);
	return g_test_run();
}
