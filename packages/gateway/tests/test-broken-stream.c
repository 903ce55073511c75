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

/*
 * Guards against reporting a stream without any event as complete. Its caller
 * has nothing of it yet, and gets a failure.
 */
static void test_unframed_without_events(void)
{
	struct fixture_caller caller;
	struct fixture f;

	call(&f, &caller, "/tell/", UNFRAMED);
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(caller.status, ==, 502);
	g_assert_cmpstr(caller.seal->str, ==, "");
	g_assert_cmpstr(caller.body->str, ==, "");
	fixture_end_call(&caller);
	fixture_deinit(&f);
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

/*
 * Guards against joining a response that is no event stream to the events that
 * the caller has, and ending the stream regularly after it.
 */
static void test_resumed_with_other_content(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &caller, "POST", "/resume/");
	respond_raw(&f, fixture_wait_request(&f),
		    UNFRAMED "id: 1\ndata: a\n\nid: 2\nda");
	respond_raw(&f, fixture_wait_request(&f),
		    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n"
		    "content-type: application/json\r\n"
		    "content-length: 2\r\n\r\n{}");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpstr(caller.body->str, ==, "id: 1\ndata: a\n\n");
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* How an upstream ends its connection. */
enum end {
	CLOSE,
	RESET,
	SILENCE
};

/* How it marks the end of its response. */
enum framing {
	BY_LENGTH,
	BY_CHUNKS,
	BY_CONNECTION
};

#define EVENTS "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

static void set_reset(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	g_assert_cmpint(
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)),
		==, 0);
}

static char *format_response(enum framing framing, const char *type,
			     const char *body, bool whole)
{
	size_t len = strlen(body);
	GString *text = g_string_new("HTTP/1.1 200 OK\r\nx-id: r1\r\n"
				     "x-seal: s\r\ncontent-type: ");

	g_string_append_printf(text, "%s\r\n", type);
	if (framing == BY_LENGTH)
		g_string_append_printf(text, "content-length: %zu\r\n\r\n%s",
				       len + !whole, body);
	else if (framing == BY_CHUNKS)
		g_string_append_printf(
			text,
			"transfer-encoding: chunked\r\n\r\n%zx\r\n%s\r\n%s",
			len, body, whole ? "0\r\n\r\n" : "");
	else
		g_string_append_printf(text, "\r\n%s", body);
	return g_string_free(text, FALSE);
}

/* Responds, and plays the end to each request that follows. */
static void play_end(struct fixture *f, struct fixture_caller *caller,
		     const char *bytes, enum end end)
{
	while (!caller->done) {
		struct fixture_upstream *upstream;
		struct http1_conn *conn;

		FIXTURE_WAIT(f, caller->done || fixture_pending_upstream(f));
		upstream = fixture_pending_upstream(f);
		if (!upstream)
			return;
		conn = http1_conn_of(upstream->request);
		g_string_append(conn->queued, bytes);
		http1_conn_flush(conn);
		fixture_run_pending(f);
		if (end == RESET && upstream->request)
			set_reset(h2o_socket_get_fd(conn->sock));
		if (end == SILENCE)
			fixture_advance(f, 11000);
		else if (upstream->request)
			fixture_abort_response(upstream);
		fixture_run_pending(f);
	}
}

/*
 * Guards against an end that tells the caller more than is known: for each way
 * in which a response may be framed and end, on each kind of route.
 */
static void test_ends(void)
{
	static const char *const targets[] = { "/tell/", "/resume/", "/read/",
					       "/book/" };

	for (int i = 0; i < 4 * 3 * 3 * 2; i++) {
		const char *target = targets[i % 4];
		enum framing framing = (enum framing)(i / 4 % 3);
		enum end end = (enum end)(i / 12 % 3);
		bool whole = i / 36;
		bool is_stream = i % 4 < 2;
		/* What the bytes and the end together show to be whole. */
		bool known =
			whole && (framing != BY_CONNECTION || end == CLOSE);
		const char *body = is_stream
					   ? (whole ? EVENTS : EVENTS "id: 3\n")
					   : "answer";
		char *bytes = format_response(
			framing, is_stream ? "text/event-stream" : "text/plain",
			body, whole);
		struct fixture_caller caller;
		struct fixture f;

		/* Not to be told from a whole one, as the pages say. */
		if (!is_stream && framing == BY_CONNECTION && end == CLOSE)
			known = true;
		fixture_init(&f);
		fixture_call(&f, &caller, "POST", target);
		play_end(&f, &caller, bytes, end);
		if (known) {
			g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
			g_assert_cmpint(caller.status, ==, 200);
			g_assert_cmpstr(caller.body->str, ==, body);
		} else {
			g_assert_true(caller.result != KS_HTTP_COMPLETE ||
				      caller.status == 502 ||
				      caller.status == 504);
		}
		fixture_end_call(&caller);
		fixture_deinit(&f);
		g_free(bytes);
	}
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
	g_test_add_func("/broken-stream/resumed-with-other-content",
			test_resumed_with_other_content);
	g_test_add_func("/broken-stream/ends", test_ends);
	return g_test_run();
}
