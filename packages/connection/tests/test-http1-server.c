/* Tests of the server whose answers may be streamed or cut. */
#include "ks/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_TURNS 3000
#define TURN_US (2 * KS_USEC_PER_MSEC)

enum reaction {
	ANSWER,
	CUT,
	HOLD
};

struct world {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http1_server_t server;
	enum reaction reaction;
	ks_http1_request_t *held;
	unsigned requests;
	unsigned gone;
	GString *bodies;
	int fd;
	GString *received;
	bool closed;
};

static void on_gone(void *ctx)
{
	struct world *w = ctx;

	w->gone++;
	ks_http1_abort(w->held);
	w->held = NULL;
}

static void on_request(void *ctx, ks_http1_request_t *request)
{
	struct world *w = ctx;

	w->requests++;
	g_string_append_len(w->bodies, request->body.data,
			    (gssize)request->body.len);
	g_string_append_c(w->bodies, '|');
	if (w->reaction == CUT) {
		ks_http1_abort(request);
	} else if (w->reaction == ANSWER) {
		ks_http1_start(request, 200, NULL, 0, 2);
		ks_http1_body(request, KS_STR("ok"));
		ks_http1_end(request);
	} else {
		w->held = request;
		request->ctx = w;
		request->disconnected = on_gone;
	}
}

static void connect_caller(struct world *w)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons(w->server.port) };

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	w->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(w->fd, (struct sockaddr *)&in, sizeof(in)), ==,
			0);
	w->closed = false;
	g_string_truncate(w->received, 0);
}

static void init_world(struct world *w, enum reaction reaction)
{
	ks_address_t address = { "127.0.0.1", 0 };

	memset(w, 0, sizeof(*w));
	w->reaction = reaction;
	w->bodies = g_string_new(NULL);
	w->received = g_string_new(NULL);
	ks_test_clock_init(&w->clock, KS_USEC_PER_SEC);
	ks_loop_init(&w->loop, &w->clock.clock);
	g_assert_true(ks_http1_server_init(&w->server, &w->loop, &address,
					   on_request, w, NULL));
	connect_caller(w);
}

static void deinit_world(struct world *w)
{
	close(w->fd);
	ks_http1_server_deinit(&w->server);
	g_string_free(w->bodies, TRUE);
	g_string_free(w->received, TRUE);
	ks_loop_deinit(&w->loop);
}

static void turn(struct world *w)
{
	char buf[4096];
	ssize_t n;

	ks_loop_run_once(&w->loop, TURN_US);
	n = recv(w->fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n > 0)
		g_string_append_len(w->received, buf, n);
	else if (n == 0 || errno != EAGAIN)
		w->closed = true;
}

#define WAIT(w, condition)                               \
	do {                                             \
		for (int t_ = 0; t_ < MAX_TURNS; t_++) { \
			if (condition)                   \
				break;                   \
			turn(w);                         \
		}                                        \
		g_assert_true(condition);                \
	} while (0)

static void send_text(struct world *w, const char *text)
{
	g_assert_cmpint(send(w->fd, text, strlen(text), MSG_NOSIGNAL), ==,
			strlen(text));
}

static unsigned count(const struct world *w, const char *text)
{
	unsigned n = 0;

	for (const char *at = w->received->str; (at = strstr(at, text)); at++)
		n++;
	return n;
}

/* Guards against requests that are lost or joined on a kept connection. */
static void test_kept_connection(void)
{
	struct world w;

	init_world(&w, ANSWER);
	send_text(&w, "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\n"
		      "onePOST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: "
		      "chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n"
		      "GET /c HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&w, count(&w, "\r\n\r\nok") == 3);
	g_assert_cmpstr(w.bodies->str, ==, "one|two||");
	g_assert_false(w.closed);
	deinit_world(&w);
}

/* Guards against a connection that is used after its handler cut it. */
static void test_cut_at_once(void)
{
	struct world w;

	init_world(&w, CUT);
	send_text(&w, "GET / HTTP/1.1\r\nhost: h\r\n\r\nGET / HTTP/1.1\r\n");
	WAIT(&w, w.closed);
	g_assert_cmpuint(w.requests, ==, 1);
	g_assert_cmpuint(w.received->len, ==, 0);
	deinit_world(&w);
}

/* Guards against upstreams that work for callers that have left. */
static void test_gone(void)
{
	struct world w;

	init_world(&w, HOLD);
	send_text(&w, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&w, w.held != NULL);
	close(w.fd);
	WAIT(&w, w.gone == 1);
	connect_caller(&w);
	deinit_world(&w);
}

static void expect_refusal(const char *request, const char *status)
{
	struct world w;

	init_world(&w, ANSWER);
	w.server.max_body_bytes = 10;
	w.server.max_header_bytes = 200;
	send_text(&w, request);
	WAIT(&w, w.closed);
	g_assert_cmpuint(w.requests, ==, 0);
	g_assert_true(g_str_has_prefix(w.received->str, status));
	deinit_world(&w);
}

/* Guards against a request that is smuggled inside another, and its like. */
static void test_refusals(void)
{
	char *fields = g_strnfill(300, 'x');
	char *large = g_strdup_printf(
		"GET / HTTP/1.1\r\nhost: h\r\nx: %s\r\n\r\n", fields);

	expect_refusal("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
		       "transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /x",
		       "HTTP/1.1 400 ");
	expect_refusal("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
		       "content-length: 4\r\n\r\nabcd",
		       "HTTP/1.1 400 ");
	expect_refusal("nonsense\r\n\r\n", "HTTP/1.1 400 ");
	expect_refusal("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 11\r\n"
		       "\r\n",
		       "HTTP/1.1 413 ");
	expect_refusal("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: "
		       "chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n",
		       "HTTP/1.1 413 ");
	expect_refusal(large, "HTTP/1.1 431 ");
	g_free(fields);
	g_free(large);
}

/* Guards against callers that hold a connection without a whole request. */
static void test_timeouts(void)
{
	struct world w;

	init_world(&w, ANSWER);
	send_text(&w, "GET / HTTP/1.1\r\nhost:");
	for (int i = 0; i < 20; i++)
		turn(&w);
	ks_test_clock_advance(&w.clock, KS_HTTP1_HEADER_TIMEOUT_US);
	WAIT(&w, w.closed);
	g_assert_true(g_str_has_prefix(w.received->str, "HTTP/1.1 408 "));
	close(w.fd);
	connect_caller(&w);
	for (int i = 0; i < 20; i++)
		turn(&w);
	g_assert_false(w.closed);
	ks_test_clock_advance(&w.clock, KS_HTTP1_IDLE_TIMEOUT_US);
	WAIT(&w, w.closed);
	g_assert_cmpuint(w.received->len, ==, 0);
	deinit_world(&w);
}

/* Guards against a stop that closes a connection before its answer. */
static void test_stopping(void)
{
	struct world w;

	init_world(&w, HOLD);
	send_text(&w, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&w, w.held != NULL);
	w.server.stopping = true;
	ks_http1_server_close_listener(&w.server);
	ks_http1_server_close_idle(&w.server);
	g_assert_cmpuint(ks_http1_server_n_serving(&w.server), ==, 1);
	ks_http1_start(w.held, 200, NULL, 0, -1);
	ks_http1_body(w.held, KS_STR("abc"));
	ks_http1_end(w.held);
	WAIT(&w, w.closed);
	g_assert_cmpuint(count(&w, "connection: close"), ==, 1);
	g_assert_cmpuint(count(&w, "0\r\n\r\n"), ==, 1);
	g_assert_cmpuint(ks_http1_server_n_serving(&w.server), ==, 0);
	deinit_world(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http1-server/kept-connection", test_kept_connection);
	g_test_add_func("/http1-server/cut-at-once", test_cut_at_once);
	g_test_add_func("/http1-server/gone", test_gone);
	g_test_add_func("/http1-server/refusals", test_refusals);
	g_test_add_func("/http1-server/timeouts", test_timeouts);
	g_test_add_func("/http1-server/stopping", test_stopping);
	return g_test_run();
}
