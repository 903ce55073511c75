/*
 * Upstreams that send bytes without end which are no response: in the head, in
 * the body of an error, in an event, or instead of a KV cache handle. The
 * gateway has to close the connection, and to keep only a few of the bytes.
 */
#include "gateway_fixture.h"
#include "http1_conn.h"

#define PIECE_BYTES (64 * 1024)

/* The gateway has closed the connection before this much was sent. */
#define MAX_BYTES (8 * 1024 * 1024)

#define HEAD "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n"

static void init_one(struct fixture *f, const char *service, ks_stage_t stage)
{
	fixture_init_bare(f);
	fixture_apply(f, 1);
	fixture_put_upstream(f, 0, service, stage);
}

/*
 * Writes @begin and then @piece again and again, until the gateway closes the
 * connection.
 */
static void send_without_end(struct fixture *f,
			     struct fixture_upstream *upstream,
			     const char *begin, const char *piece)
{
	struct http1_conn *conn = http1_conn_of(upstream->request);
	GString *pieces = g_string_new(NULL);
	size_t sent = 0;

	while (pieces->len < PIECE_BYTES)
		g_string_append(pieces, piece);
	g_string_append(conn->queued, begin);
	for (int i = 0; i < FIXTURE_MAX_STEPS && upstream->request; i++) {
		if (!conn->writing && sent < MAX_BYTES) {
			g_string_append_len(conn->queued, pieces->str,
					    (gssize)pieces->len);
			sent += pieces->len;
			http1_conn_flush(conn);
		}
		fixture_run_once(f);
	}
	g_string_free(pieces, TRUE);
	g_assert_true(upstream->left);
	g_assert_cmpuint(sent, <, MAX_BYTES);
}

/*
 * Sends a request whose only upstream responds without end, and returns the
 * status that the caller got.
 */
static int status_of(const char *target, const char *begin, const char *piece)
{
	struct fixture_caller caller;
	struct fixture f;
	int status;

	init_one(&f, "app", KS_STAGE_ANY);
	fixture_call(&f, &caller, "POST", target);
	send_without_end(&f, fixture_wait_request(&f), begin, piece);
	while (!caller.done) {
		FIXTURE_WAIT(&f, caller.done || fixture_pending_upstream(&f));
		/* The request to resume the stream. */
		if (fixture_pending_upstream(&f))
			fixture_abort_response(fixture_pending_upstream(&f));
	}
	g_assert_cmpint(caller.result, ==,
			caller.status == 200 ? KS_HTTP_INCOMPLETE
					     : KS_HTTP_COMPLETE);
	status = caller.status;
	fixture_end_call(&caller);
	fixture_deinit(&f);
	return status;
}

/* Guards against a head that is read for as long as it lasts. */
static void test_head(void)
{
	g_assert_cmpint(
		status_of("/book/", "HTTP/1.1 200 OK\r\n", "x-y: z\r\n"), ==,
		502);
	g_assert_cmpint(status_of("/book/", "HTTP/1.1 200 OK\r\nx: ", "z"), ==,
			502);
	g_assert_cmpint(status_of("/book/", "", "no response"), ==, 502);
}

/* Guards against interim responses that are read for as long as they come. */
static void test_interim_responses(void)
{
	g_assert_cmpint(
		status_of("/book/", "", "HTTP/1.1 102 Processing\r\n\r\n"), ==,
		502);
}

/* Guards against responses to other requests that come without end. */
static void test_other_responses(void)
{
	g_assert_cmpint(status_of("/book/", "",
				  "HTTP/1.1 200 OK\r\nx-id: r0\r\n"
				  "content-length: 0\r\n\r\n"),
			==, 502);
	g_assert_cmpint(
		status_of("/book/", "HTTP/1.1 200 OK\r\nx-id: r0\r\n\r\n", "z"),
		==, 502);
}

/* Guards against the body of an error that fills the memory. */
static void test_error_body(void)
{
	g_assert_cmpint(status_of("/book/",
				  "HTTP/1.1 500 Failed\r\nx-id: r1\r\n\r\n",
				  "z"),
			==, 502);
	g_assert_cmpint(status_of("/book/",
				  "HTTP/1.1 404 None\r\nx-id: r1\r\n"
				  "transfer-encoding: chunked\r\n\r\n",
				  "4\r\nzzzz\r\n"),
			==, 502);
}

/* Guards against an event that fills the memory, or goes on for ever. */
static void test_event(void)
{
	static const char begin[] =
		HEAD "content-type: text/event-stream\r\n\r\n"
		     "id: 1\ndata: a\n\ndata: ";

	g_assert_cmpint(status_of("/resume/", begin, "z"), ==, 200);
	g_assert_cmpint(status_of("/tell/", begin, "z"), ==, 200);
	g_assert_cmpint(status_of("/tell/", begin, "data: z\n"), ==, 200);
}

/* Guards against waiting for the end of what is no KV cache handle. */
static void test_handle(void)
{
	ks_header_t parts = { KS_STR("x-parts"), KS_STR("aa:9000,bb:7000") };
	struct fixture_caller caller;
	struct fixture f;

	init_one(&f, "llm", KS_STAGE_PREFILL);
	fixture_put_upstream(&f, 1, "llm", KS_STAGE_DECODE);
	fixture_call_with(&f, &caller, "POST", "/advise/", "prompt", &parts, 1);
	FIXTURE_WAIT(&f, f.upstreams[0].request);
	send_without_end(&f, &f.upstreams[0], HEAD "\r\n", "z");
	FIXTURE_WAIT(&f, f.upstreams[1].request);
	fixture_respond(&f.upstreams[1], 200, false, "data: a\n\n");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endless-response/head", test_head);
	g_test_add_func("/endless-response/interim-responses",
			test_interim_responses);
	g_test_add_func("/endless-response/other-responses",
			test_other_responses);
	g_test_add_func("/endless-response/error-body", test_error_body);
	g_test_add_func("/endless-response/event", test_event);
	g_test_add_func("/endless-response/handle", test_handle);
	return g_test_run();
}
