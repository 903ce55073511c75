/*
 * Requests that a caller had begun to send when the process was told to stop,
 * and that are whole late in its grace period. Guards against one that is
 * passed on and cut by the end of the process.
 */
#include "gateway_fixture.h"
#include "gateway_internal.h"
#include "raw_caller.h"

/* Sends the head before the stop, and the body @after_ms after its begin. */
static void send_late(struct fixture *f, struct caller *caller,
		      const char *target, const char *deadline_ms, int after_ms)
{
	char *head = g_strdup_printf("POST %s HTTP/1.1\r\n"
				     "host: shop.example\r\nx-id: r1\r\n"
				     "x-left: %s\r\ncontent-length: 4\r\n\r\n",
				     target, deadline_ms);

	fixture_init(f);
	f->gateway->server.header_timeout_us = 60 * KS_USEC_PER_SEC;
	connect_caller(f, caller);
	send_text(caller, head);
	fixture_run_pending(f);
	ks_gateway_stop(f->gateway);
	fixture_advance(f, after_ms);
	send_text(caller, "body");
	fixture_run_pending(f);
	g_free(head);
}

/* It can't be known that it ends in time: refused as not run, to come again. */
static void test_may_outlast(void)
{
	static const char *const targets[] = { "/tell/", "/resume/", "/book/" };
	struct caller caller;
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		send_late(&f, &caller, targets[i], "8000",
			  i == 2 ? 6500 : 5000);
		wait_closed(&f, &caller);
		g_assert_true(g_str_has_prefix(caller.received->str,
					       "HTTP/1.1 503 "));
		g_assert_nonnull(strstr(caller.received->str, "retry-after: "));
		g_assert_nonnull(
			strstr(caller.received->str, "connection: close"));
		g_assert_cmpuint(fixture_n_requests(&f), ==, 0);
		end_caller(&caller);
		fixture_deinit(&f);
	}
}

/* One that ends in any case before the process does is served. */
static void test_ends_in_time(void)
{
	static const int after_ms[] = { 1000, 2900, 5000 };
	struct caller caller;
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(after_ms); i++) {
		send_late(&f, &caller, "/book/", "1500", after_ms[i]);
		fixture_respond(fixture_wait_request(&f), 200, false, "done");
		wait_closed(&f, &caller);
		g_assert_true(g_str_has_prefix(caller.received->str,
					       "HTTP/1.1 200 "));
		g_assert_true(g_str_has_suffix(caller.received->str, "done"));
		end_caller(&caller);
		fixture_deinit(&f);
	}
}

/* Callers still come while the load balancer does not know of the stop. */
static void test_before_the_drain_delay(void)
{
	struct caller caller;
	struct fixture f;

	send_late(&f, &caller, "/tell/", "8000", 2900);
	g_assert_nonnull(fixture_wait_request(&f));
	end_caller(&caller);
	fixture_deinit(&f);
}

/*
 * The end of the grace period. A caller that has nothing of its answer gets
 * one, of which only a request that was not sent says that it has not run.
 */
static void test_end_of_grace(void)
{
	struct fixture_caller sent, begun;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &sent, "POST", "/tell/");
	fixture_wait_request(&f);
	ks_gateway_stop(f.gateway);
	fixture_advance(&f, 2000);
	fixture_call(&f, &begun, "POST", "/tell/");
	FIXTURE_WAIT(&f, f.upstreams[0].request && f.upstreams[1].request);
	for (int i = 0; i < 2; i++)
		if (strstr(f.upstreams[i].received->pdata[0], "tell"))
			fixture_start_response(&f.upstreams[i], 200, false, -1);
	fixture_advance(&f, 6000);
	g_assert_true(f.loop.stopping);
	FIXTURE_WAIT(&f, sent.done && begun.done);
	g_assert_cmpint(sent.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(sent.status, ==, 504);
	g_assert_cmpint(begun.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(begun.status, ==, 504);
	fixture_end_call(&sent);
	fixture_end_call(&begun);
	fixture_deinit(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/late-request/may-outlast", test_may_outlast);
	g_test_add_func("/late-request/ends-in-time", test_ends_in_time);
	g_test_add_func("/late-request/before-the-drain-delay",
			test_before_the_drain_delay);
	g_test_add_func("/late-request/end-of-grace", test_end_of_grace);
	return g_test_run();
}
