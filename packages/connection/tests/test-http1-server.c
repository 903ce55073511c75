/* Tests of the HTTP/1.1 server with streamed responses. */
#include "ks/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_TURNS 3000
#define TURN_US (2 * KS_USEC_PER_MSEC)

enum handler_action {
	RESPOND,
	ABORT,
	DEFER
};

struct fixture {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http1_server_t server;
	enum handler_action action;
	ks_http1_request_t *pending;
	unsigned requests;
	unsigned disconnects;
	GString *bodies;
	GString *fields;
	int fd;
	GString *received;
	bool closed;
	bool reset;
};

static void on_disconnected(void *ctx)
{
	struct fixture *f = ctx;

	f->disconnects++;
	ks_http1_abort(f->pending);
	f->pending = NULL;
}

static void on_request(void *ctx, ks_http1_request_t *request)
{
	struct fixture *f = ctx;

	f->requests++;
	g_string_append_len(f->bodies, request->body.data,
			    (gssize)request->body.len);
	g_string_append_c(f->bodies, '|');
	for (size_t i = 0; i < request->n_headers; i++) {
		const ks_header_t *field = &request->headers[i];

		g_string_append_printf(f->fields, "%.*s=%.*s;",
				       (int)field->name.len, field->name.data,
				       (int)field->value.len,
				       field->value.data);
	}
	if (f->action == ABORT) {
		ks_http1_abort(request);
	} else if (f->action == RESPOND) {
		ks_http1_start(request, 200, NULL, 0, 2);
		ks_http1_body(request, KS_STR("ok"));
		ks_http1_end(request);
	} else {
		f->pending = request;
		request->ctx = f;
		request->disconnected = on_disconnected;
	}
}

static void connect_caller(struct fixture *f)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons(f->server.port) };

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(f->fd, (struct sockaddr *)&in, sizeof(in)), ==,
			0);
	f->closed = false;
	g_string_truncate(f->received, 0);
}

static void init_fixture(struct fixture *f, enum handler_action action)
{
	ks_address_t address = { "127.0.0.1", 0 };

	memset(f, 0, sizeof(*f));
	f->action = action;
	f->bodies = g_string_new(NULL);
	f->fields = g_string_new(NULL);
	f->received = g_string_new(NULL);
	ks_test_clock_init(&f->clock, KS_USEC_PER_SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	g_assert_true(ks_http1_server_init(&f->server, &f->loop, &address,
					   on_request, f, NULL));
	connect_caller(f);
}

static void deinit_fixture(struct fixture *f)
{
	close(f->fd);
	ks_http1_server_deinit(&f->server);
	g_string_free(f->bodies, TRUE);
	g_string_free(f->fields, TRUE);
	g_string_free(f->received, TRUE);
	ks_loop_deinit(&f->loop);
}

static void turn(struct fixture *f)
{
	char buf[4096];
	ssize_t n;

	ks_loop_run_once(&f->loop, TURN_US);
	n = recv(f->fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n > 0)
		g_string_append_len(f->received, buf, n);
	else if (n == 0 || errno != EAGAIN)
		f->closed = true;
	f->reset |= n < 0 && errno == ECONNRESET;
}

#define WAIT(f, condition)                               \
	do {                                             \
		for (int t_ = 0; t_ < MAX_TURNS; t_++) { \
			if (condition)                   \
				break;                   \
			turn(f);                         \
		}                                        \
		g_assert_true(condition);                \
	} while (0)

static void send_text(struct fixture *f, const char *text)
{
	g_assert_cmpint(send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==,
			strlen(text));
}

static unsigned count(const struct fixture *f, const char *text)
{
	unsigned n = 0;

	for (const char *at = f->received->str; (at = strstr(at, text)); at++)
		n++;
	return n;
}

/* Guards against lost or merged requests on a persistent connection. */
static void test_pipelining(void)
{
	struct fixture f;

	init_fixture(&f, RESPOND);
	send_text(&f, "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\n"
		      "onePOST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: "
		      "chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n"
		      "GET /c HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&f, count(&f, "\r\n\r\nok") == 3);
	g_assert_cmpstr(f.bodies->str, ==, "one|two||");
	g_assert_false(f.closed);
	deinit_fixture(&f);
}

/* Guards against use of a connection after its handler aborted the response. */
static void test_abort_in_handler(void)
{
	struct fixture f;

	init_fixture(&f, ABORT);
	send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\nGET / HTTP/1.1\r\n");
	WAIT(&f, f.closed);
	g_assert_cmpuint(f.requests, ==, 1);
	g_assert_cmpuint(f.received->len, ==, 0);
	deinit_fixture(&f);
}

/* Guards against requests that are executed for disconnected callers. */
static void test_caller_disconnects(void)
{
	struct fixture f;

	init_fixture(&f, DEFER);
	send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&f, f.pending != NULL);
	close(f.fd);
	WAIT(&f, f.disconnects == 1);
	connect_caller(&f);
	deinit_fixture(&f);
}

static void expect_refusal(const char *request, const char *status)
{
	struct fixture f;

	init_fixture(&f, RESPOND);
	f.server.max_body_bytes = 10;
	f.server.max_header_bytes = 200;
	send_text(&f, request);
	WAIT(&f, f.closed);
	g_assert_cmpuint(f.requests, ==, 0);
	g_assert_true(g_str_has_prefix(f.received->str, status));
	deinit_fixture(&f);
}

/* Guards against request smuggling, malformed and oversized requests. */
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
	expect_refusal("POST / HTTP/1.1\r\nhost: a\r\n"
		       "content-length : 3\r\n\r\nabc",
		       "HTTP/1.1 400 ");
	expect_refusal("GET / HTTP/1.1\r\nhost: a\r\na b: c\r\n\r\n",
		       "HTTP/1.1 400 ");
	expect_refusal("GET / HTTP/1.1\r\n host: a\r\n\r\n", "HTTP/1.1 400 ");
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

/* Guards against callers that hold a connection without sending a request. */
static void test_timeouts(void)
{
	struct fixture f;

	init_fixture(&f, RESPOND);
	send_text(&f, "GET / HTTP/1.1\r\nhost:");
	for (int i = 0; i < 20; i++)
		turn(&f);
	ks_test_clock_advance(&f.clock, KS_HTTP1_HEADER_TIMEOUT_US);
	WAIT(&f, f.closed);
	g_assert_true(g_str_has_prefix(f.received->str, "HTTP/1.1 408 "));
	close(f.fd);
	connect_caller(&f);
	for (int i = 0; i < 20; i++)
		turn(&f);
	g_assert_false(f.closed);
	ks_test_clock_advance(&f.clock, KS_HTTP1_IDLE_TIMEOUT_US);
	WAIT(&f, f.closed);
	g_assert_cmpuint(f.received->len, ==, 0);
	deinit_fixture(&f);
}

/* Guards against a graceful stop that truncates the response in progress. */
static void test_stopping(void)
{
	struct fixture f;

	init_fixture(&f, DEFER);
	send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&f, f.pending != NULL);
	f.server.stopping = true;
	ks_http1_server_close_listener(&f.server);
	ks_http1_server_close_idle(&f.server);
	g_assert_cmpuint(ks_http1_server_n_serving(&f.server), ==, 1);
	ks_http1_start(f.pending, 200, NULL, 0, -1);
	ks_http1_body(f.pending, KS_STR("abc"));
	ks_http1_end(f.pending);
	WAIT(&f, f.closed);
	g_assert_cmpuint(count(&f, "connection: close"), ==, 1);
	g_assert_cmpuint(count(&f, "0\r\n\r\n"), ==, 1);
	g_assert_cmpuint(ks_http1_server_n_serving(&f.server), ==, 0);
	deinit_fixture(&f);
}

/*
 * Guards against a graceful stop that resets a connection whose request the
 * kernel holds, accepted or not.
 */
static void test_stopping_unread(void)
{
	for (int is_accepted = 0; is_accepted < 2; is_accepted++) {
		struct fixture f;

		init_fixture(&f, RESPOND);
		for (int i = 0; is_accepted && i < 20; i++)
			turn(&f);
		send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
		f.server.stopping = true;
		ks_http1_server_close_listener(&f.server);
		ks_http1_server_close_idle(&f.server);
		g_assert_cmpuint(ks_http1_server_n_serving(&f.server), ==, 1);
		WAIT(&f, f.closed);
		g_assert_false(f.reset);
		g_assert_true(
			g_str_has_prefix(f.received->str, "HTTP/1.1 200 "));
		deinit_fixture(&f);
	}
}

/*
 * Guards against responses to requests sent ahead that pile up for a caller
 * that reads none.
 */
static void test_unread_response(void)
{
	const size_t len = (size_t)32 * 1024 * 1024;
	char *body = g_malloc0(len);
	struct fixture f;

	init_fixture(&f, DEFER);
	send_text(&f, "GET /1 HTTP/1.1\r\nhost: h\r\n\r\n"
		      "GET /2 HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&f, f.pending != NULL);
	ks_http1_start(f.pending, 200, NULL, 0, (int64_t)len);
	ks_http1_body(f.pending, (ks_str_t){ body, len });
	ks_http1_end(f.pending);
	for (int i = 0; i < 100; i++)
		ks_loop_run_once(&f.loop, 0);
	g_assert_cmpuint(f.requests, ==, 1);
	while (f.requests == 1)
		turn(&f);
	g_assert_cmpuint(f.requests, ==, 2);
	deinit_fixture(&f);
	g_free(body);
}

/*
 * Guards against a connection that is not used again because all bytes of its
 * response had left before the response was ended.
 */
static void test_end_without_output(void)
{
	struct fixture f;

	init_fixture(&f, DEFER);
	for (unsigned i = 1; i <= 2; i++) {
		send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
		WAIT(&f, f.requests == i);
		ks_http1_start(f.pending, 200, NULL, 0, 2);
		ks_http1_body(f.pending, KS_STR("ok"));
		WAIT(&f, ks_http1_pending(f.pending) == 0);
		ks_http1_end(f.pending);
	}
	deinit_fixture(&f);
}

/*
 * Guards against a body that is refused as if its caller were slow, although
 * the server did not read it for lack of memory, and against one that is not
 * read on when there is room again.
 */
static void test_body_waits_for_memory(void)
{
	const size_t len = 9 * (size_t)1024 * 1024;
	char *body = g_malloc0(len);
	ks_memory_t memory;
	struct fixture f;
	size_t sent = 0;
	int first;

	ks_memory_init(&memory, 1);
	init_fixture(&f, DEFER);
	ks_http1_server_set_memory(&f.server, &memory);
	f.server.max_body_bytes = len;
	f.server.idle_timeout_us = G_MAXINT32;
	send_text(&f, "POST / HTTP/1.1\r\nhost: h\r\n"
		      "content-length: 7340032\r\n\r\n");
	while (!f.pending) {
		ssize_t n = send(f.fd, body, MIN(7340032 - sent, 65536),
				 MSG_DONTWAIT);

		sent += n > 0 ? (size_t)n : 0;
		turn(&f);
	}
	first = f.fd;
	connect_caller(&f);
	send_text(&f, "POST / HTTP/1.1\r\nhost: h\r\n"
		      "content-length: 7340032\r\n\r\n");
	send(f.fd, body, 65536 * 4, MSG_DONTWAIT);
	WAIT(&f, f.server.stats.paused_bodies > 0 ||
			 memory.used[KS_MEMORY_BODIES] > 7340032 + 200000);
	while (!f.server.stats.paused_bodies) {
		send(f.fd, body, 65536, MSG_DONTWAIT);
		turn(&f);
	}
	g_assert_cmpuint(memory.used[KS_MEMORY_BODIES], <, 9000000);
	ks_test_clock_advance(&f.clock, KS_HTTP1_HEADER_TIMEOUT_US);
	WAIT(&f, f.closed);
	g_assert_true(g_str_has_prefix(f.received->str, "HTTP/1.1 503 "));
	g_assert_cmpuint(f.requests, ==, 1);
	close(first);
	WAIT(&f, memory.total == 0);
	deinit_fixture(&f);
	ks_memory_deinit(&memory);
	g_free(body);
}

/* Guards against connections without requests that use up the descriptors. */
static void test_connection_limit(void)
{
	struct fixture f;
	int fds[4];

	init_fixture(&f, RESPOND);
	f.server.max_conns = 3;
	for (int i = 0; i < 4; i++) {
		fds[i] = f.fd;
		for (int j = 0; j < 20; j++)
			turn(&f);
		ks_test_clock_advance(&f.clock, KS_USEC_PER_MSEC);
		connect_caller(&f);
	}
	send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
	WAIT(&f, f.requests == 1);
	g_assert_cmpuint(f.server.n_conns, <=, 3);
	g_assert_cmpuint(f.server.stats.closed_for_descriptors, ==, 2);
	for (int i = 0; i < 4; i++)
		close(fds[i]);
	deinit_fixture(&f);
}

/*
 * Guards against a response that is broken off and looks complete to a caller
 * without chunks, for which the end of the connection ends the response.
 */
static void test_abort_without_chunks(void)
{
	struct fixture f;

	init_fixture(&f, DEFER);
	send_text(&f, "GET / HTTP/1.0\r\nhost: h\r\n\r\n");
	WAIT(&f, f.pending != NULL);
	ks_http1_start(f.pending, 200, NULL, 0, -1);
	ks_http1_body(f.pending, KS_STR("abc"));
	WAIT(&f, count(&f, "abc") == 1);
	ks_http1_abort(f.pending);
	WAIT(&f, f.closed);
	g_assert_true(f.reset);
	deinit_fixture(&f);
}

/*
 * Guards against a response that looks complete although the server has closed
 * the connection before all of it had left.
 */
static void test_close_without_chunks(void)
{
	const size_t len = (size_t)32 * 1024 * 1024;
	char *body = g_malloc0(len);
	struct fixture f;

	init_fixture(&f, DEFER);
	send_text(&f, "GET / HTTP/1.0\r\nhost: h\r\n\r\n");
	WAIT(&f, f.pending != NULL);
	ks_http1_start(f.pending, 200, NULL, 0, -1);
	ks_http1_body(f.pending, (ks_str_t){ body, len });
	ks_http1_end(f.pending);
	for (int i = 0; i < 100; i++)
		ks_loop_run_once(&f.loop, 0);
	ks_http1_server_deinit(&f.server);
	WAIT(&f, f.closed);
	g_assert_cmpuint(f.received->len, <, len);
	g_assert_true(f.reset);
	deinit_fixture(&f);
	g_free(body);
}

#define SLOW_ROUNDS 4000
#define SLOW_MAX_CHUNK (512 * 1024)

/*
 * Guards against an abort inside h2o while a caller reads slowly: a write that
 * waited for the caller is followed by one that ends at once and leaves too
 * little room for the socket to count as writable. The socket then becomes
 * writable when nothing is being written.
 */
static void test_slow_caller(void)
{
	char *data = g_malloc0(SLOW_MAX_CHUNK), buf[65536];
	size_t sent = 0, received = 0;
	struct fixture f;
	ks_rng_t rng;

	init_fixture(&f, DEFER);
	ks_rng_init(&rng, 11);
	send_text(&f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	WAIT(&f, f.pending);
	ks_http1_start(f.pending, 200, NULL, 0, -1);
	for (int i = 0; i < SLOW_ROUNDS; i++) {
		size_t reads = ks_rng_below(&rng, 7);

		if (ks_http1_pending(f.pending) < SLOW_MAX_CHUNK) {
			size_t len = 1 + ks_rng_below(&rng, SLOW_MAX_CHUNK);

			ks_http1_body(f.pending, (ks_str_t){ data, len });
			sent += len;
		}
		ks_loop_run_once(&f.loop, 0);
		for (size_t j = 0; j < reads; j++) {
			ssize_t n = recv(f.fd, buf, sizeof(buf), MSG_DONTWAIT);

			received += n > 0 ? (size_t)n : 0;
		}
		ks_loop_run_once(&f.loop, 0);
	}
	ks_http1_end(f.pending);
	f.pending = NULL;
	for (int i = 0; i < MAX_TURNS && received < sent; i++) {
		ssize_t n;

		ks_loop_run_once(&f.loop, TURN_US);
		while ((n = recv(f.fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			received += (size_t)n;
	}
	g_assert_cmpuint(received, >=, sent);
	ks_rng_deinit(&rng);
	g_free(data);
	deinit_fixture(&f);
}

#define CHUNKED_HEAD \
	"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
#define CHUNKED_FIELDS "host=h;transfer-encoding=chunked;"
#define CHUNKED_BODY "3\r\nabc\r\n0\r\n"

/* Sends a head of any length, and a body that ends with @trailer. */
static void expect_without_trailer(size_t pad_len, const char *trailer)
{
	char *pad = g_strnfill(pad_len, 'p');
	char *request = g_strdup_printf(CHUNKED_HEAD "pad: %s\r\n\r\n" //
					CHUNKED_BODY "%s\r\n"
						     "GET /b HTTP/1.1\r\n"
						     "host: b\r\n\r\n",
					pad, trailer);
	char *fields = g_strdup_printf(CHUNKED_FIELDS "pad=%s;"
						      "host=b;",
				       pad);
	struct fixture f;

	init_fixture(&f, RESPOND);
	send_text(&f, request);
	WAIT(&f, f.requests == 2);
	g_assert_cmpstr(f.fields->str, ==, fields);
	g_assert_cmpstr(f.bodies->str, ==, "abc||");
	deinit_fixture(&f);
	g_free(fields);
	g_free(request);
	g_free(pad);
}

/*
 * Guards against a request with trailer fields whose header fields are read
 * from freed memory, or are those of the trailer.
 */
static void test_trailer_fields(void)
{
	GString *many = g_string_new(NULL);

	for (int i = 0; i < 50; i++)
		g_string_append_printf(many, "x-%d: a value of the trailer\r\n",
				       i);
	for (size_t len = 0; len < 300; len++)
		expect_without_trailer(len,
				       "x-sum: 0123456789abcdef0123456789a"
				       "bcdef0123456789abcdef01234567\r\n");
	for (size_t len = 0; len < 2000; len += 40)
		expect_without_trailer(len, many->str);
	expect_without_trailer(10, "host: other\r\npad: other\r\n"
				   "content-length: 7\r\n");
	g_string_free(many, TRUE);
}

/* Guards against a trailer without end, and one in many pieces. */
static void test_endless_trailer(void)
{
	struct fixture f;

	init_fixture(&f, RESPOND);
	f.server.max_header_bytes = 1000;
	send_text(&f, CHUNKED_HEAD "\r\n" CHUNKED_BODY);
	for (int i = 0; i < 100 && !f.closed; i++) {
		send(f.fd, "x-more: 0123456789\r\n", 20, MSG_NOSIGNAL);
		turn(&f);
	}
	WAIT(&f, f.closed);
	g_assert_cmpuint(f.requests, ==, 0);
	g_assert_true(g_str_has_prefix(f.received->str, "HTTP/1.1 431 "));
	deinit_fixture(&f);
}

/*
 * Guards against a body, or the end of one, after a status that has none: the
 * caller would take it for the next response.
 */
static void test_no_content(void)
{
	static const int statuses[] = { 204, 304 };
	static const int64_t lengths[] = { -1, 0 };

	for (size_t i = 0; i < 4; i++) {
		struct fixture f;

		init_fixture(&f, DEFER);
		send_text(&f, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
		WAIT(&f, f.pending != NULL);
		ks_http1_start(f.pending, statuses[i / 2], NULL, 0,
			       lengths[i % 2]);
		ks_http1_body(f.pending, KS_STR(""));
		ks_http1_end(f.pending);
		WAIT(&f, count(&f, "\r\n\r\n") == 1);
		for (int j = 0; j < 20; j++)
			turn(&f);
		g_assert_true(g_str_has_suffix(f.received->str, "\r\n\r\n"));
		g_assert_cmpuint(count(&f, "\r\n\r\n"), ==, 1);
		g_assert_cmpuint(count(&f, "transfer-encoding"), ==, 0);
		g_assert_cmpuint(count(&f, "content-length"), ==, 0);
		f.pending = NULL;
		deinit_fixture(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http1-server/pipelining", test_pipelining);
	g_test_add_func("/http1-server/abort-in-handler",
			test_abort_in_handler);
	g_test_add_func("/http1-server/abort-without-chunks",
			test_abort_without_chunks);
	g_test_add_func("/http1-server/caller-disconnects",
			test_caller_disconnects);
	g_test_add_func("/http1-server/refusals", test_refusals);
	g_test_add_func("/http1-server/timeouts", test_timeouts);
	g_test_add_func("/http1-server/stopping", test_stopping);
	g_test_add_func("/http1-server/stopping-unread", test_stopping_unread);
	g_test_add_func("/http1-server/close-without-chunks",
			test_close_without_chunks);
	g_test_add_func("/http1-server/slow-caller", test_slow_caller);
	g_test_add_func("/http1-server/unread-response", test_unread_response);
	g_test_add_func("/http1-server/end-without-output",
			test_end_without_output);
	g_test_add_func("/http1-server/body-waits-for-memory",
			test_body_waits_for_memory);
	g_test_add_func("/http1-server/connection-limit",
			test_connection_limit);
	g_test_add_func("/http1-server/no-content", test_no_content);
	g_test_add_func("/http1-server/trailer-fields", test_trailer_fields);
	g_test_add_func("/http1-server/endless-trailer", test_endless_trailer);
	return g_test_run();
}
