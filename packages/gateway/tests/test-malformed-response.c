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

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/malformed-response/malformed", test_malformed);
	g_test_add_func("/malformed-response/cut-head", test_cut_head);
	return g_test_run();
}
