/*
 * Streams that fail before their caller has got anything of them. Guards
 * against closing the caller's connection without an answer.
 */
#include "gateway_fixture.h"
#include "http1_conn.h"

#define MAX_DEADLINE_MS 9200

#define ROUTE_TIMEOUT_MS 1000

struct call {
	struct fixture f;
	struct fixture_caller caller;
};

static void shorten_timeout(gpointer route, gpointer ctx G_GNUC_UNUSED)
{
	((ks_route_t *)route)->timeout_us = ROUTE_TIMEOUT_MS * KS_USEC_PER_MSEC;
}

static void begin(struct call *c, const char *target)
{
	fixture_init(&c->f);
	fixture_put_upstream(&c->f, 2, "llm", KS_STAGE_ANY);
	fixture_call(&c->f, &c->caller, "POST", target);
}

/* Expects an answer with @status, and the connection to serve a next request.
 */
static void expect_answer(struct call *c, int status)
{
	struct fixture_caller next;
	uint64_t opened = c->f.client.n_opened;

	FIXTURE_WAIT(&c->f, c->caller.done);
	g_assert_cmpint(c->caller.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(c->caller.status, ==, status);
	g_assert_cmpstr(c->caller.body->str, ==, "");
	g_assert_cmpstr(c->caller.seal->str, ==, "");
	fixture_end_call(&c->caller);
	ks_gateway_confirm(c->f.gateway);
	fixture_call(&c->f, &next, "GET", "/unknown/");
	FIXTURE_WAIT(&c->f, next.done);
	g_assert_cmpint(next.status, ==, 404);
	g_assert_cmpuint(c->f.client.n_opened, ==, opened);
	fixture_end_call(&next);
	fixture_deinit(&c->f);
}

static void start_stream(struct call *c, struct fixture_upstream *upstream,
			 const char *data)
{
	fixture_start_response(upstream, 200, false, -1);
	fixture_send(upstream, data);
	fixture_run_pending(&c->f);
}

static void advance_until_done(struct call *c, int64_t max_ms)
{
	for (int64_t ms = 0; ms < max_ms && !c->caller.done; ms += 10)
		fixture_advance(&c->f, 10);
}

/* Sends the head of a response alone. */
static void start_head(struct call *c, struct fixture_upstream *upstream)
{
	fixture_start_response(upstream, 200, false, 1000);
	http1_conn_flush(http1_conn_of(upstream->request));
	fixture_run_pending(&c->f);
}

/* The caller's deadline, which comes before the route's timeout. */
static void test_timeout(void)
{
	static const char *const targets[] = { "/tell/", "/resume/", "/advise/",
					       "/continue/" };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct call c;

		begin(&c, targets[i]);
		start_head(&c, fixture_wait_request(&c.f));
		advance_until_done(&c, MAX_DEADLINE_MS);
		expect_answer(&c, 504);
	}
}

/* A timeout of the route that ends before the caller's deadline. */
static void test_route_timeout(void)
{
	ks_traffic_t *traffic = ks_traffic_new(2);
	struct call c;

	ks_traffic_add_service(traffic, KS_STR("app"));
	fixture_add_route(traffic, "/tell/", KS_CALL_STREAM, false, "app");
	g_ptr_array_foreach(traffic->routes, shorten_timeout, NULL);
	fixture_init(&c.f);
	ks_gateway_apply(c.f.gateway, traffic);
	ks_traffic_unref(traffic);
	fixture_call(&c.f, &c.caller, "POST", "/tell/");
	start_head(&c, fixture_wait_request(&c.f));
	advance_until_done(&c, ROUTE_TIMEOUT_MS + 100);
	expect_answer(&c, 504);
}

/* An upstream that fails after its head; the request may have run. */
static void test_broken_off(void)
{
	static const char *const targets[] = { "/tell/", "/advise/" };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct call c;
		struct fixture_upstream *upstream;

		begin(&c, targets[i]);
		upstream = fixture_wait_request(&c.f);
		start_head(&c, upstream);
		fixture_abort_response(upstream);
		FIXTURE_WAIT(&c.f, c.caller.done);
		g_assert_cmpuint(fixture_n_requests(&c.f), ==, 1);
		expect_answer(&c, 502);
	}
}

/* Half an event is held back, so that the caller has nothing of it either. */
static void test_half_event(void)
{
	struct fixture_upstream *upstream;
	struct call c;

	begin(&c, "/resume/");
	for (int i = 0; i < 2; i++) {
		upstream = fixture_wait_request(&c.f);
		start_stream(&c, upstream, "id: 1\nda");
		fixture_abort_response(upstream);
	}
	expect_answer(&c, 502);

	begin(&c, "/resume/");
	start_stream(&c, fixture_wait_request(&c.f), "id: 1\nda");
	advance_until_done(&c, MAX_DEADLINE_MS);
	expect_answer(&c, 504);
}

/* The answer of the next upstream is the caller's, head included. */
static void test_begun_anew(void)
{
	struct fixture_upstream *upstream;
	struct call c;

	begin(&c, "/resume/");
	upstream = fixture_wait_request(&c.f);
	start_stream(&c, upstream, "id: 1\nda");
	fixture_abort_response(upstream);
	upstream = fixture_wait_request(&c.f);
	g_assert_cmpuint(ks_header_value(upstream->request->headers,
					 upstream->request->n_headers,
					 "last-event-id")
				 .len,
			 ==, 0);
	start_stream(&c, upstream, "id: 1\ndata: a\n\n");
	fixture_end_response(upstream);
	FIXTURE_WAIT(&c.f, c.caller.done);
	g_assert_cmpint(c.caller.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(c.caller.status, ==, 200);
	g_assert_cmpstr(c.caller.seal->str, ==, "s");
	g_assert_cmpstr(c.caller.body->str, ==, "id: 1\ndata: a\n\n");
	fixture_end_call(&c.caller);
	fixture_deinit(&c.f);
}

/* A stream that has begun is broken off, as nothing else can be said. */
static void test_after_first_event(void)
{
	struct fixture_upstream *upstream;
	struct call c;

	begin(&c, "/tell/");
	upstream = fixture_wait_request(&c.f);
	start_stream(&c, upstream, "id: 1\ndata: a\n\n");
	fixture_abort_response(upstream);
	FIXTURE_WAIT(&c.f, c.caller.done);
	g_assert_cmpint(c.caller.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpint(c.caller.status, ==, 200);
	fixture_end_call(&c.caller);
	fixture_deinit(&c.f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/failed-before-first-event/timeout", test_timeout);
	g_test_add_func("/failed-before-first-event/route-timeout",
			test_route_timeout);
	g_test_add_func("/failed-before-first-event/broken-off",
			test_broken_off);
	g_test_add_func("/failed-before-first-event/half-event",
			test_half_event);
	g_test_add_func("/failed-before-first-event/begun-anew",
			test_begun_anew);
	g_test_add_func("/failed-before-first-event/after-first-event",
			test_after_first_event);
	return g_test_run();
}
