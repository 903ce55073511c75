/*
 * What a process that was told to stop still does for requests that it has
 * taken. Guards against work that the end of the process cuts.
 */
#include "gateway_fixture.h"
#include "gateway_internal.h"
#include "raw_caller.h"

#define LONG_TIMEOUT_US (20 * KS_USEC_PER_SEC)

static const char *const targets[] = { "/book/", "/read/", "/tell/",
				       "/resume/" };

/* Gives all routes a timeout beyond the grace period. */
static void apply_long_timeouts(struct fixture *f)
{
	const GPtrArray *routes = f->gateway->traffic->routes;

	for (guint i = 0; i < routes->len; i++)
		((ks_route_t *)routes->pdata[i])->timeout_us = LONG_TIMEOUT_US;
}

static void call(struct fixture *f, struct fixture_caller *caller,
		 const char *target, const char *left_ms)
{
	ks_header_t left = { KS_STR("x-left"), ks_str_from(left_ms) };

	fixture_call_with(f, caller, "POST", target, "body", &left, 1);
}

/*
 * A request that an upstream refuses late in the grace period has not run, and
 * another entry can serve it.
 */
static void test_sent_again(void)
{
	struct fixture_caller caller;
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		fixture_init(&f);
		apply_long_timeouts(&f);
		call(&f, &caller, targets[i], "9000");
		fixture_wait_request(&f);
		ks_gateway_stop(f.gateway);
		fixture_advance(&f, 5000);
		fixture_respond(fixture_pending_upstream(&f), 503, true, "");
		FIXTURE_WAIT(&f, caller.done || fixture_n_requests(&f) > 1);
		g_assert_cmpuint(fixture_n_requests(&f), ==, 1);
		g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
		g_assert_cmpint(caller.status, ==, 503);
		fixture_end_call(&caller);
		fixture_deinit(&f);
	}
}

/* One that ends before the process does is sent again as before. */
static void test_sent_again_in_time(void)
{
	struct fixture_caller caller;
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		fixture_init(&f);
		apply_long_timeouts(&f);
		call(&f, &caller, targets[i], "7000");
		fixture_wait_request(&f);
		ks_gateway_stop(f.gateway);
		fixture_advance(&f, 5000);
		fixture_respond(fixture_pending_upstream(&f), 503, true, "");
		FIXTURE_WAIT(&f, fixture_n_requests(&f) == 2);
		fixture_respond(fixture_pending_upstream(&f), 200, false,
				"data: done\n\n");
		FIXTURE_WAIT(&f, caller.done);
		g_assert_cmpint(caller.status, ==, 200);
		fixture_end_call(&caller);
		fixture_deinit(&f);
	}
}

/* A loss of a request that may be repeated is still made good. */
static void test_sent_again_after_a_loss(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	apply_long_timeouts(&f);
	call(&f, &caller, "/read/", "9000");
	fixture_wait_request(&f);
	ks_gateway_stop(f.gateway);
	fixture_advance(&f, 5000);
	fixture_abort_response(fixture_pending_upstream(&f));
	FIXTURE_WAIT(&f, fixture_n_requests(&f) == 2);
	fixture_respond(fixture_pending_upstream(&f), 200, false, "done");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.status, ==, 200);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* A prompt that is read ahead late in the grace period is not run here. */
static void test_run_after_prefill(void)
{
	ks_header_t fields[] = { { KS_STR("x-parts"),
				   KS_STR("aa:9000,bb:7000") },
				 { KS_STR("x-left"), KS_STR("9000") } };
	struct fixture_caller caller;
	struct fixture f;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	fixture_put_upstream(&f, 0, "llm", KS_STAGE_PREFILL);
	fixture_put_upstream(&f, 1, "llm", KS_STAGE_DECODE);
	fixture_call_with(&f, &caller, "POST", "/advise/", "prompt", fields,
			  G_N_ELEMENTS(fields));
	FIXTURE_WAIT(&f, f.upstreams[0].request);
	ks_gateway_stop(f.gateway);
	fixture_advance(&f, 5000);
	fixture_respond(&f.upstreams[0], 200, false, "{\"handle\":\"h7\"}");
	FIXTURE_WAIT(&f, caller.done || f.upstreams[1].request);
	g_assert_null(f.upstreams[1].request);
	g_assert_cmpint(caller.status, ==, 503);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* The connection to the upstream comes up after the drain delay. */
static void test_connection_late(void)
{
	struct fixture_caller caller;
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		fixture_init(&f);
		apply_long_timeouts(&f);
		ks_gateway_stop(f.gateway);
		fixture_advance(&f, 2900);
		call(&f, &caller, targets[i], "9000");
		while (ks_list_is_empty(&f.gateway->exchanges))
			ks_loop_run_once(&f.loop, 0);
		ks_test_clock_advance(&f.clock, 200 * KS_USEC_PER_MSEC);
		FIXTURE_WAIT(&f, caller.done || fixture_n_requests(&f));
		g_assert_cmpuint(fixture_n_requests(&f), ==, 0);
		g_assert_cmpint(caller.status, ==, 503);
		fixture_end_call(&caller);
		fixture_deinit(&f);
	}
}

/* A call that may not be repeated must not be left half done. */
static void test_caller_left(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	apply_long_timeouts(&f);
	call(&f, &caller, "/book/", "9000");
	upstream = fixture_wait_request(&f);
	fixture_end_call(&caller);
	fixture_run_pending(&f);
	ks_gateway_stop(f.gateway);
	fixture_advance(&f, 5000);
	g_assert_false(f.loop.stopping);
	g_assert_false(upstream->left);
	fixture_respond(upstream, 200, false, "done");
	fixture_run_pending(&f);
	fixture_advance(&f, 100);
	g_assert_true(f.loop.stopping);
	fixture_deinit(&f);
}

static const char head[] = "POST /book/ HTTP/1.1\r\nhost: shop.example\r\n"
			   "x-id: r1\r\nx-left: 1500\r\n"
			   "content-length: 4\r\n\r\n";

static void begin_request(struct fixture *f, struct caller *caller,
			  const char *text)
{
	fixture_init(f);
	f->gateway->server.header_timeout_us = 60 * KS_USEC_PER_SEC;
	connect_caller(f, caller);
	send_text(caller, text);
	fixture_run_pending(f);
	ks_gateway_stop(f->gateway);
}

/* Nothing else is in progress. */
static void test_being_received(void)
{
	struct caller caller;
	struct fixture f;

	begin_request(&f, &caller, head);
	fixture_advance(&f, 4000);
	g_assert_false(f.loop.stopping);
	send_text(&caller, "body");
	fixture_respond(fixture_wait_request(&f), 200, false, "done");
	wait_closed(&f, &caller);
	g_assert_true(g_str_has_prefix(caller.received->str, "HTTP/1.1 200 "));
	end_caller(&caller);
	fixture_advance(&f, 100);
	g_assert_true(f.loop.stopping);
	fixture_deinit(&f);
}

/* A caller that has not sent all of its request learns that it has not run. */
static void test_never_received(void)
{
	struct caller caller;
	struct fixture f;

	begin_request(&f, &caller, head);
	fixture_advance(&f, 8000);
	g_assert_true(f.loop.stopping);
	wait_closed(&f, &caller);
	g_assert_true(g_str_has_prefix(caller.received->str, "HTTP/1.1 503 "));
	g_assert_cmpuint(fixture_n_requests(&f), ==, 0);
	end_caller(&caller);
	fixture_deinit(&f);
}

/* Requests that no read has seen yet at the end of the drain delay. */
static void test_unread(void)
{
	struct caller caller;
	struct fixture f;

	fixture_init(&f);
	ks_gateway_stop(f.gateway);
	fixture_advance(&f, 2900);
	connect_caller(&f, &caller);
	send_text(&caller, head);
	send_text(&caller, "body");
	ks_test_clock_advance(&f.clock, 200 * KS_USEC_PER_MSEC);
	fixture_respond(fixture_wait_request(&f), 200, false, "done");
	wait_closed(&f, &caller);
	g_assert_true(g_str_has_prefix(caller.received->str, "HTTP/1.1 200 "));
	end_caller(&caller);
	fixture_deinit(&f);
}

/* The settings don't keep the two times in their order. */
static void test_drain_delay_as_long_as_grace(void)
{
	struct caller caller;
	struct fixture f;

	begin_request(&f, &caller,
		      "POST /tell/ HTTP/1.1\r\nhost: shop.example\r\n"
		      "x-id: r1\r\nx-left: 8000\r\n"
		      "content-length: 4\r\n\r\n");
	f.gateway->settings.drain_delay_us = f.gateway->settings.grace_us;
	fixture_advance(&f, 7000);
	send_text(&caller, "body");
	fixture_run_pending(&f);
	receive(&caller);
	g_assert_cmpuint(fixture_n_requests(&f), ==, 0);
	g_assert_true(g_str_has_prefix(caller.received->str, "HTTP/1.1 503 "));
	end_caller(&caller);
	fixture_deinit(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/work-after-stop/sent-again", test_sent_again);
	g_test_add_func("/work-after-stop/sent-again-in-time",
			test_sent_again_in_time);
	g_test_add_func("/work-after-stop/sent-again-after-a-loss",
			test_sent_again_after_a_loss);
	g_test_add_func("/work-after-stop/run-after-prefill",
			test_run_after_prefill);
	g_test_add_func("/work-after-stop/connection-late",
			test_connection_late);
	g_test_add_func("/work-after-stop/caller-left", test_caller_left);
	g_test_add_func("/work-after-stop/being-received", test_being_received);
	g_test_add_func("/work-after-stop/never-received", test_never_received);
	g_test_add_func("/work-after-stop/unread", test_unread);
	g_test_add_func("/work-after-stop/drain-delay-as-long-as-grace",
			test_drain_delay_as_long_as_grace);
	return g_test_run();
}
