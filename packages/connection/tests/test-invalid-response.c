/*
 * Guards against bytes that are no response in the protocol and are passed on
 * as one: wrong statuses and field names, and a response without a length whose
 * connection is reset while its request is still being written.
 */
#include "ks/connection.h"

#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_TURNS 3000
#define TURN_US (10 * KS_USEC_PER_MSEC)

#define OK "HTTP/1.1 200 OK\r\n"
#define REST "content-length: 2\r\n\r\nhi"

/* More than the sockets of both ends hold. */
#define LONG_BODY_BYTES ((size_t)16 * 1024 * 1024)

/**
 * enum ending - what the server does once it has responded
 * @ENDING_KEPT: waits for the client to close the connection
 * @ENDING_FIN_READ: sends a FIN, and reads the rest of the request
 * @ENDING_FIN_RESET: sends a FIN, and a reset when the client has read it
 */
enum ending {
	ENDING_KEPT,
	ENDING_CLOSE,
	ENDING_RESET,
	ENDING_FIN_READ,
	ENDING_FIN_RESET,
};

/**
 * struct server - server that responds to the first bytes of one request
 * @may_end: the client has read the response
 */
struct server {
	int listener;
	ks_address_t address;
	const char *response;
	size_t piece;
	enum ending ending;
	int may_end;
	GThread *thread;
};

struct outcome {
	bool done;
	int status;
	GString *folded;
	GString *body;
	ks_http_result_t result;
};

static void reset(int fd)
{
	struct linger linger = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void end_connection(struct server *server, int fd)
{
	char buf[65536];

	while (server->ending != ENDING_KEPT &&
	       !g_atomic_int_get(&server->may_end))
		g_usleep(1000);
	if (server->ending == ENDING_FIN_READ ||
	    server->ending == ENDING_FIN_RESET)
		shutdown(fd, SHUT_WR);
	if (server->ending == ENDING_FIN_RESET)
		g_usleep(50000);
	if (server->ending == ENDING_RESET ||
	    server->ending == ENDING_FIN_RESET)
		reset(fd);
	else if (server->ending != ENDING_CLOSE)
		while (read(fd, buf, sizeof(buf)) > 0)
			;
	close(fd);
}

static gpointer run_server(gpointer data)
{
	struct server *server = data;
	size_t len = strlen(server->response);
	int fd = accept(server->listener, NULL, NULL);
	char buf[1024];

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(read(fd, buf, sizeof(buf)), >, 0);
	for (size_t at = 0; at < len; at += server->piece) {
		size_t n = MIN(server->piece, len - at);

		/* The client may have closed the connection. */
		if (send(fd, server->response + at, n, MSG_NOSIGNAL) < 0)
			break;
		if (server->piece < len)
			g_usleep(200);
	}
	end_connection(server, fd);
	return NULL;
}

static void start_server(struct server *server)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t len = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(server->listener, (struct sockaddr *)&in, len), ==,
			0);
	g_assert_cmpint(listen(server->listener, 8), ==, 0);
	getsockname(server->listener, (struct sockaddr *)&in, &len);
	g_strlcpy(server->address.ip, "127.0.0.1", sizeof(server->address.ip));
	server->address.port = ntohs(in.sin_port);
	server->thread = g_thread_new("server", run_server, server);
}

static void on_head(void *ctx, int status, const ks_header_t *headers,
		    size_t n_headers)
{
	struct outcome *outcome = ctx;
	ks_str_t folded = ks_header_value(headers, n_headers, "folded");

	outcome->status = status;
	g_string_append_len(outcome->folded, folded.data, (gssize)folded.len);
}

static void on_body(void *ctx, ks_str_t data)
{
	struct outcome *outcome = ctx;

	g_string_append_len(outcome->body, data.data, (gssize)data.len);
}

static void on_done(void *ctx, ks_http_result_t result)
{
	struct outcome *outcome = ctx;

	outcome->done = true;
	outcome->result = result;
}

static const ks_http_events_t events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

/* Sends a request with a body of @body_len bytes. */
static void call(struct server *server, size_t body_len,
		 struct outcome *outcome)
{
	char *body = g_malloc0(body_len + 1);
	ks_http_request_t request = { .method = KS_STR("POST"),
				      .target = KS_STR("/"),
				      .body = { body, body_len } };
	ks_http_client_t client;
	ks_http_call_t http_call;
	ks_loop_t loop;

	*outcome = (struct outcome){ .folded = g_string_new(NULL),
				     .body = g_string_new(NULL) };
	start_server(server);
	request.address = server->address;
	ks_loop_init(&loop, ks_clock_monotonic());
	ks_http_client_init(&client, &loop);
	ks_http_call_start(&http_call, &client, &request, &events, outcome);
	for (int i = 0; i < MAX_TURNS && !outcome->done; i++) {
		ks_loop_run_once(&loop, TURN_US);
		g_atomic_int_set(&server->may_end,
				 outcome->body->len >= 4 || !body_len);
	}
	g_assert_true(outcome->done);
	g_atomic_int_set(&server->may_end, 1);
	ks_http_client_deinit(&client);
	ks_loop_deinit(&loop);
	g_thread_join(server->thread);
	close(server->listener);
	g_free(body);
}

static void free_outcome(struct outcome *outcome)
{
	g_string_free(outcome->folded, TRUE);
	g_string_free(outcome->body, TRUE);
}

static void expect(const char *response, enum ending ending, size_t piece,
		   bool valid)
{
	struct server server = { .response = response,
				 .piece = piece,
				 .ending = ending };
	struct outcome outcome;
	char *text = g_strescape(response, NULL);

	g_test_message("ending=%d piece=%zu %s", ending, piece, text);
	g_free(text);
	call(&server, 0, &outcome);
	if (valid) {
		g_assert_cmpint(outcome.result, ==, KS_HTTP_COMPLETE);
		g_assert_cmpint(outcome.status, ==, 200);
		g_assert_cmpstr(outcome.body->str, ==, "hi");
	} else {
		g_assert_cmpint(outcome.result, ==, KS_HTTP_INCOMPLETE);
		g_assert_cmpint(outcome.status, ==, 0);
		g_assert_cmpuint(outcome.body->len, ==, 0);
	}
	free_outcome(&outcome);
}

static void on_fetched(void *ctx, const ks_http_response_t *response)
{
	struct outcome *outcome = ctx;

	outcome->done = true;
	outcome->result = response->result;
}

/* A call whose response is buffered, as to the platform or for an order. */
static void expect_fetch_fails(const char *response)
{
	struct server server = { .response = response,
				 .piece = 1000,
				 .ending = ENDING_CLOSE };
	struct outcome outcome = { .done = false };
	ks_http_request_t request = { .method = KS_STR("GET"),
				      .target = KS_STR("/") };
	ks_http_client_t client;
	ks_loop_t loop;

	start_server(&server);
	g_atomic_int_set(&server.may_end, 1);
	request.address = server.address;
	ks_loop_init(&loop, ks_clock_monotonic());
	ks_http_client_init(&client, &loop);
	ks_http_fetch(&client, &request, 1000, on_fetched, &outcome);
	for (int i = 0; i < MAX_TURNS && !outcome.done; i++)
		ks_loop_run_once(&loop, TURN_US);
	g_assert_true(outcome.done);
	g_assert_cmpint(outcome.result, ==, KS_HTTP_INCOMPLETE);
	ks_http_client_deinit(&client);
	ks_loop_deinit(&loop);
	g_thread_join(server.thread);
	close(server.listener);
}

static void expect_each(const char *const *responses, size_t n, bool valid)
{
	static const size_t pieces[] = { 1, 7, 1000 };

	for (size_t i = 0; i < n; i++)
		for (size_t j = 0; j < G_N_ELEMENTS(pieces); j++)
			for (int ending = 0; ending <= ENDING_CLOSE; ending++)
				expect(responses[i], (enum ending)ending,
				       pieces[j], valid);
	for (size_t i = 0; i < n && !valid; i++)
		expect_fetch_fails(responses[i]);
}

static void test_status(void)
{
	static const char *const responses[] = {
		"HTTP/1.1 000 OK\r\n" REST,
		"HTTP/1.1 099 OK\r\n" REST,
		"HTTP/1.1 20 OK\r\n" REST,
		"HTTP/1.1 2 OK\r\n" REST,
		"HTTP/1.1 0200 OK\r\n" REST,
		"HTTP/1.1 2000 OK\r\n" REST,
		"HTTP/1.1 600 OK\r\n" REST,
		"HTTP/1.1 999 OK\r\n" REST,
		"HTTP/1.1 2x0 OK\r\n" REST,
		"HTTP/1.1 -20 OK\r\n" REST,
		"HTTP/1.1  200 OK\r\n" REST,
		"HTTP/1.1 200OK\r\n" REST,
		"HTTP/1.1 \r\n" REST,
		"HTTP/2.0 200 OK\r\n" REST,
		"HTTP/0.9 200 OK\r\n" REST,
		"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n" OK REST,
		"HTTP/1.1 000 X\r\n\r\n" OK REST,
	};

	expect_each(responses, G_N_ELEMENTS(responses), false);
}

static void test_field_name(void)
{
	static const char *const responses[] = {
		OK "a b: c\r\n" REST,
		OK "a : c\r\n" REST,
		OK " a: c\r\n" REST,
		OK "\ta: c\r\n" REST,
		OK "a\tb: c\r\n" REST,
		OK "a\x01: c\r\n" REST,
		OK "a\x7f: c\r\n" REST,
		OK "a\x80: c\r\n" REST,
		OK "a(b): c\r\n" REST,
		OK ": c\r\n" REST,
		OK "a\r\n" REST,
		OK "content-length : 2\r\n\r\nhi",
		OK "content-length : 9\r\n" REST,
		OK "a: b\r\na b: c\r\n" REST,
		"HTTP/1.1 103 Early Hints\r\na b: c\r\n\r\n" OK REST,
		"HTTP/1.1 500 No\r\na b: c\r\n" REST,
	};

	expect_each(responses, G_N_ELEMENTS(responses), false);
}

static void test_field_value(void)
{
	static const char *const responses[] = {
		OK "a: b\x01\r\n" REST,
		OK "a: b\x7f\r\n" REST,
		OK "a: b\rc: d\r\n" REST,
	};

	expect_each(responses, G_N_ELEMENTS(responses), false);
}

/* The bytes of a body in another coding are not the body. */
static void test_transfer_coding(void)
{
	static const char *const responses[] = {
		OK "transfer-encoding: gzip\r\n\r\nhi",
		OK "transfer-encoding: chunked, gzip\r\n\r\nhi",
		OK
		"transfer-encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		OK "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n"
		   "\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
		"2\r\nhi\r\n0\r\n\r\n",
	};

	expect_each(responses, G_N_ELEMENTS(responses), false);
}

static void test_valid(void)
{
	static const char *const responses[] = {
		OK REST,
		"HTTP/1.1 200\r\n" REST,
		"HTTP/1.1 200 \r\n" REST,
		"HTTP/1.0 200 Not so\tbad\r\n" REST,
		OK "!#$%&'*+-.^_`|~09azAZ: \x80\t\"\r\na:\r\n" REST,
		OK "Transfer-Encoding: Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
		"a: b\r\n\r\n" OK REST,
	};

	expect_each(responses, G_N_ELEMENTS(responses), true);
}

/* RFC 9112, 5.2: a folded line is joined with blanks. */
static void test_folded_line(void)
{
	struct server server = { .response = OK "folded: a\r\n\tb\r\n" REST };
	struct outcome outcome;

	for (server.piece = 1; server.piece < 1000; server.piece += 499) {
		call(&server, 0, &outcome);
		g_assert_cmpint(outcome.result, ==, KS_HTTP_COMPLETE);
		g_assert_null(strpbrk(outcome.folded->str, "\r\n"));
		g_assert_true(g_str_has_prefix(outcome.folded->str, "a"));
		g_assert_true(g_str_has_suffix(outcome.folded->str, "b"));
		free_outcome(&outcome);
	}
}

static void expect_early(const char *response, enum ending ending,
			 ks_http_result_t result)
{
	for (int i = 0; i < 5; i++) {
		struct server server = { .response = response,
					 .piece = 1000,
					 .ending = ending };
		struct outcome outcome;

		call(&server, LONG_BODY_BYTES, &outcome);
		g_assert_cmpint(outcome.result, ==, result);
		g_assert_cmpstr(outcome.body->str, ==, "part");
		free_outcome(&outcome);
	}
}

/* The rest of the body may have been lost with the reset. */
static void test_reset_beside_request(void)
{
	expect_early(OK "\r\npart", ENDING_RESET, KS_HTTP_INCOMPLETE);
	expect_early(OK "\r\npart", ENDING_CLOSE, KS_HTTP_INCOMPLETE);
	expect_early(OK "\r\npart", ENDING_FIN_RESET, KS_HTTP_INCOMPLETE);
	expect_early("HTTP/1.0 500 No\r\n\r\npart", ENDING_RESET,
		     KS_HTTP_INCOMPLETE);
}

/* A server may respond before it has read the request. */
static void test_end_beside_request(void)
{
	expect_early(OK "\r\npart", ENDING_FIN_READ, KS_HTTP_COMPLETE);
	expect_early(OK "content-length: 4\r\n\r\npart", ENDING_RESET,
		     KS_HTTP_COMPLETE);
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/invalid-response/status", test_status);
	g_test_add_func("/invalid-response/field-name", test_field_name);
	g_test_add_func("/invalid-response/field-value", test_field_value);
	g_test_add_func("/invalid-response/transfer-coding",
			test_transfer_coding);
	g_test_add_func("/invalid-response/valid", test_valid);
	g_test_add_func("/invalid-response/folded-line", test_folded_line);
	g_test_add_func("/invalid-response/reset-beside-request",
			test_reset_beside_request);
	g_test_add_func("/invalid-response/end-beside-request",
			test_end_beside_request);
	return g_test_run();
}
