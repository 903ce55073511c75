/*
 * Guards against answers of upstreams that are none in the protocol, or end
 * before their end, and that callers get as answers: with a wrong status, a
 * field whose name holds a blank, a head that was cut, or an error in the
 * middle of a stream.
 */
#include "gateway_fixture.h"
#include "http1_conn.h"

#include <signal.h>

#define HEAD "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n"
#define REST "content-length: 14\r\n\r\nid: 9\ndata: z\n\n"
#define EVENT "id: 1\ndata: a\n\n"

static const char *const targets[] = { "/read/", "/book/", "/tell/",
				       "/resume/" };

static const char *const malformed[] = {
	"HTTP/1.1 000 OK\r\nx-id: r1\r\n" REST,
	"HTTP/1.1 099 OK\r\nx-id: r1\r\n" REST,
	"HTTP/1.1 20 OK\r\nx-id: r1\r\n" REST,
	"HTTP/1.1 999 OK\r\nx-id: r1\r\n" REST,
	HEAD "a b: c\r\n" REST,
	HEAD "a\x01: c\r\n" REST,
	HEAD "content-length : 14\r\n\r\nid: 9\ndata: z\n\n",
	"HTTP/1.1 103 Early Hints\r\na b: c\r\n\r\n" HEAD REST,
	HEAD "transfer-encoding: gzip\r\n\r\nid: 9\ndata: z\n\n",
};

/**
 * enum ending - what the upstream does once it has sent its bytes
 */
enum ending {
	ENDING_KEPT,
	ENDING_FIN,
	ENDING_RESET,
	N_ENDINGS,
};

/* Sends bytes as they are, and ends the connection. */
static void answer(struct fixture *f, struct fixture_upstream *upstream,
		   const char *bytes, size_t len, enum ending ending)
{
	struct http1_conn *conn = http1_conn_of(upstream->request);

	g_string_append_len(conn->queued, bytes, (gssize)len);
	http1_conn_flush(conn);
	/* The gateway may close the connection, which frees it here. */
	FIXTURE_WAIT(f, !upstream->request || !conn->writing);
	if (!upstream->request)
		return;
	if (ending == ENDING_RESET) {
		fixture_abort_response(upstream);
		return;
	}
	if (ending == ENDING_FIN)
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_WR);
	/* The server of the fixture is told once the gateway has closed. */
	for (int i = 0; i < 50 && upstream->request; i++)
		fixture_run_once(f);
}

struct play {
	struct fixture f;
	struct fixture_caller caller;
};

static void begin(struct play *play, const char *target)
{
	fixture_init_bare(&play->f);
	fixture_apply(&play->f, 1);
	for (int i = 0; i < 2; i++)
		fixture_put_upstream(&play->f, i, "app", KS_STAGE_ANY);
	fixture_call(&play->f, &play->caller, "POST", target);
}

/* Answers each try with the same bytes, until the caller has its answer. */
static void answer_all(struct play *play, const char *bytes, size_t len,
		       enum ending ending)
{
	for (int i = 0; i < 1000 && !play->caller.done; i++) {
		struct fixture_upstream *next =
			fixture_pending_upstream(&play->f);

		if (next)
			answer(&play->f, next, bytes, len, ending);
		fixture_advance(&play->f, 10);
	}
	g_assert_true(play->caller.done);
}

static void end(struct play *play)
{
	fixture_end_call(&play->caller);
	fixture_deinit(&play->f);
}

/* The caller gets an answer of the gateway's own. */
static void expect_own_answer(const struct play *play, const char *target)
{
	const struct fixture_caller *caller = &play->caller;

	g_assert_cmpint(caller->result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpstr(caller->seal->str, ==, "");
	g_assert_null(strstr(caller->body->str, "data: z"));
	/* Unless it is known not to have run, 503 would say so. */
	if (g_str_equal(target, "/book/") || g_str_equal(target, "/tell/"))
		g_assert_true(caller->status == 502 || caller->status == 504);
	else
		g_assert_cmpint(caller->status / 100, ==, 5);
}

static void test_malformed(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(targets); j++)
			for (int ending = 0; ending < N_ENDINGS; ending++) {
				struct play play;

				g_test_message("%s malformed %zu, ending %d",
					       targets[j], i, ending);
				begin(&play, targets[j]);
				answer_all(&play, malformed[i],
					   strlen(malformed[i]),
					   (enum ending)ending);
				expect_own_answer(&play, targets[j]);
				end(&play);
			}
}

/* The upstream stops at any byte of its head. */
static void test_cut_head(void)
{
	static const char whole[] = HEAD "content-length: 14\r\n\r\n";

	for (size_t len = 1; len < sizeof(whole) - 1; len++)
		for (size_t j = 0; j < G_N_ELEMENTS(targets); j++) {
			struct play play;

			begin(&play, targets[j]);
			answer_all(&play, whole, len,
				   len % 2 ? ENDING_FIN : ENDING_RESET);
			expect_own_answer(&play, targets[j]);
			end(&play);
		}
}

static void start_stream(struct fixture_upstream *upstream, bool has_type)
{
	ks_header_t headers[] = { { KS_STR("x-id"), KS_STR("r1") },
				  { KS_STR("x-seal"), KS_STR("s") },
				  { KS_STR("content-type"),
				    KS_STR("text/event-stream") } };

	ks_http1_start(upstream->request, 200, headers, has_type ? 3 : 2, -1);
}

/* A stream has begun and broken off; the next upstream sends no more of it. */
static void test_after_break(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 500 Failed\r\nx-id: r1\r\nx-seal: t\r\n" REST,
		"HTTP/1.1 302 Found\r\nx-id: r1\r\nlocation: /\r\n" REST,
		"HTTP/1.1 503 No\r\nx-id: r1\r\nx-not-run: 1\r\n" REST,
		"HTTP/1.1 204 No Content\r\nx-id: r1\r\n\r\n",
		"HTTP/1.1 000 X\r\nx-id: r1\r\n" REST,
		HEAD "a b: c\r\n" REST,
		HEAD "a b: c\r\ncontent-length: 0\r\n\r\n",
		HEAD "content-le",
		HEAD "content-length: 14\r\n\r\n",
		"no response",
	};

	/* The stream begins with and without a content type. */
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(answers); i++)
		for (int ending = ENDING_FIN; ending < N_ENDINGS; ending++) {
			const char *bytes = answers[i / 2];
			struct fixture_upstream *first;
			struct play play;

			g_test_message("answer %zu, ending %d", i, ending);
			begin(&play, "/resume/");
			first = fixture_wait_request(&play.f);
			start_stream(first, i % 2);
			fixture_send(first, EVENT);
			FIXTURE_WAIT(&play.f, play.caller.body->len);
			fixture_abort_response(first);
			answer_all(&play, bytes, strlen(bytes),
				   (enum ending)ending);
			g_assert_cmpint(play.caller.result, !=,
					KS_HTTP_COMPLETE);
			g_assert_cmpint(play.caller.status, ==, 200);
			g_assert_cmpstr(play.caller.body->str, ==, EVENT);
			end(&play);
		}
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/malformed-response/malformed", test_malformed);
	g_test_add_func("/malformed-response/cut-head", test_cut_head);
	g_test_add_func("/malformed-response/after-break", test_after_break);
	return g_test_run();
}
