/*
 * Streams that end before their last event, though the HTTP framing of the
 * upstream's response says that they are complete.
 */
#include "gateway_fixture.h"
#include "http1_conn.h"

#define HEAD                                           \
	"HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n" \
	"content-type: text/event-stream\r\n"
#define UNFRAMED HEAD "\r\n"
#define CHUNKED HEAD "transfer-encoding: chunked\r\n\r\n"
#define LENGTH(n) HEAD "content-length: " #n "\r\n\r\n"

/*
 * Writes the bytes of a response to the waiting request and ends the connection
 * regularly, as the system does for a process that has ended.
 */
static void respond_raw(struct fixture *f, struct fixture_upstream *upstream,
			const char *bytes)
{
	ks_http1_request_t *request = upstream->request;
	struct http1_conn *conn = http1_conn_of(request);

	g_string_append(conn->queued, bytes);
	http1_conn_flush(conn);
	fixture_run_pending(f);
	if (!upstream->request)
		return;
	upstream->request = NULL;
	conn->keep_alive = false;
	ks_http1_end(request);
	fixture_run_pending(f);
}

/* Sends a request, to which its only upstream responds with @bytes. */
static void call(struct fixture *f, struct fixture_caller *caller,
		 const char *target, const char *bytes)
{
	fixture_init_bare(f);
	fixture_apply(f, 1);
	fixture_put_upstream(f, 0, "app", KS_STAGE_ANY);
	fixture_call(f, caller, "POST", target);
	respond_raw(f, fixture_wait_request(f), bytes);
}

static void expect(const char *target, const char *bytes,
		   ks_http_result_t result, const char *body)
{
	struct fixture_caller caller;
	struct fixture f;

	call(&f, &caller, target, bytes);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, result);
	if (body)
		g_assert_cmpstr(caller.body->str, ==, body);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Guards against ending a stream regularly whose upstream failed inside an
 * event, when only the end of the connection marks the end of the response.
 */
static void test_unframed_ends_inside_event(void)
{
	expect("/tell/", UNFRAMED "id: 1\ndata: a\n\nid: 2\nda",
	       KS_HTTP_INCOMPLETE, NULL);
	expect("/tell/", UNFRAMED "id: 1\ndata: a\n\nid: 2\ndata: b\n",
	       KS_HTTP_INCOMPLETE, NULL);
	expect("/tell/", UNFRAMED "id: 1\r\ndata: a\r\n\r\nid: 2\r\n",
	       KS_HTTP_INCOMPLETE, NULL);
	expect("/tell/", UNFRAMED "id: 1", KS_HTTP_INCOMPLETE, NULL);
}

/* Guards against the same when the upstream's framing is complete. */
static void test_framed_ends_inside_event(void)
{
	expect("/tell/", CHUNKED "7\r\nid: 1\nd\r\n0\r\n\r\n",
	       KS_HTTP_INCOMPLETE, NULL);
	expect("/tell/", LENGTH(7) "id: 1\nd", KS_HTTP_INCOMPLETE, NULL);
}

/* Guards against reporting a stream without any event as complete. */
static void test_unframed_without_events(void)
{
	expect("/tell/", UNFRAMED, KS_HTTP_INCOMPLETE, NULL);
}

/* Guards against breaking off a stream that has ended after an event. */
static void test_ends_after_event(void)
{
	static const char *const streams[] = {
		"id: 1\ndata: a\n\n",
		"id: 1\r\ndata: a\r\n\r\n",
		"id: 1\rdata: a\r\r",
		": comment\n\nid: 1\ndata: a\n\n\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		char *bytes = g_strconcat(UNFRAMED, streams[i], NULL);

		expect("/tell/", bytes, KS_HTTP_COMPLETE, streams[i]);
		g_free(bytes);
		bytes = g_strdup_printf(HEAD "content-length: %zu\r\n\r\n%s",
					strlen(streams[i]), streams[i]);
		expect("/tell/", bytes, KS_HTTP_COMPLETE, streams[i]);
		g_free(bytes);
	}
}

/* Guards against judging a response that does not consist of events. */
static void test_other_content(void)
{
	expect("/tell/",
	       "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n"
	       "content-type: application/json\r\n\r\n{}",
	       KS_HTTP_COMPLETE, "{}");
	expect("/read/",
	       "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n\r\nanswer",
	       KS_HTTP_COMPLETE, "answer");
}

/*
 * Guards against forwarding the incomplete event of a stream that can be
 * resumed, and against ending the stream there.
 */
static void test_resumed_after_regular_end(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/resume/");
	respond_raw(&f, fixture_wait_request(&f),
		    UNFRAMED "id: 1\ndata: a\n\nid: 2\nda");
	upstream = fixture_wait_request(&f);
	g_assert_true(ks_str_equal(ks_header_value(upstream->request->headers,
						   upstream->request->n_headers,
						   "last-event-id"),
				   KS_STR("1")));
	respond_raw(&f, upstream, UNFRAMED "id: 2\ndata: b\n\n");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpstr(caller.body->str, ==,
			"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/broken-stream/unframed-ends-inside-event",
			test_unframed_ends_inside_event);
	g_test_add_func("/broken-stream/framed-ends-inside-event",
			test_framed_ends_inside_event);
	g_test_add_func("/broken-stream/unframed-without-events",
			test_unframed_without_events);
	g_test_add_func("/broken-stream/ends-after-event",
			test_ends_after_event);
	g_test_add_func("/broken-stream/other-content", test_other_content);
	g_test_add_func("/broken-stream/resumed-after-regular-end",
			test_resumed_after_regular_end);
	return g_test_run();
}
