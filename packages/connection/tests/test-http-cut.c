/*
 * Tests of truncated responses. Guards against reporting a response as complete
 * when the peer failed while sending it.
 */
#include "ks/connection.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_TURNS 3000
#define TURN_US (10 * KS_USEC_PER_MSEC)

#define CHUNKED "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
#define UNFRAMED "HTTP/1.1 200 OK\r\n\r\n"

/**
 * struct peer - server that responds to one request and ends the connection
 * @response: bytes of the response
 * @reset: end the connection with a TCP reset instead of a FIN
 */
struct peer {
	int listener;
	ks_address_t address;
	const char *response;
	bool reset;
	GThread *thread;
};

struct outcome {
	bool done;
	GString *body;
	ks_http_result_t result;
};

static gpointer run_peer(gpointer data)
{
	struct peer *peer = data;
	struct linger linger = { 1, 0 };
	int fd = accept(peer->listener, NULL, NULL);
	char buf[4096];

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(read(fd, buf, sizeof(buf)), >, 0);
	g_assert_cmpint(write(fd, peer->response, strlen(peer->response)), ==,
			strlen(peer->response));
	if (peer->reset) {
		/* The client must read before the reset discards the data. */
		g_usleep(50000);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	}
	close(fd);
	return NULL;
}

static void start_peer(struct peer *peer, const char *response, bool reset)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t len = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	peer->response = response;
	peer->reset = reset;
	peer->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(peer->listener, (struct sockaddr *)&in, len), ==,
			0);
	g_assert_cmpint(listen(peer->listener, 8), ==, 0);
	getsockname(peer->listener, (struct sockaddr *)&in, &len);
	g_strlcpy(peer->address.ip, "127.0.0.1", sizeof(peer->address.ip));
	peer->address.port = ntohs(in.sin_port);
	peer->thread = g_thread_new("peer", run_peer, peer);
}

static void on_head(void *ctx G_GNUC_UNUSED, int status G_GNUC_UNUSED,
		    const ks_header_t *headers G_GNUC_UNUSED,
		    size_t n_headers G_GNUC_UNUSED)
{
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

static void expect(const char *response, bool reset, ks_http_result_t result,
		   const char *body)
{
	struct outcome outcome = { .body = g_string_new(NULL) };
	ks_http_request_t request = { .method = KS_STR("GET"),
				      .target = KS_STR("/") };
	ks_http_client_t client;
	ks_http_call_t call;
	struct peer peer;
	ks_loop_t loop;

	start_peer(&peer, response, reset);
	request.address = peer.address;
	ks_loop_init(&loop, ks_clock_monotonic());
	ks_http_client_init(&client, &loop);
	ks_http_call_start(&call, &client, &request, &events, &outcome);
	for (int i = 0; i < MAX_TURNS && !outcome.done; i++)
		ks_loop_run_once(&loop, TURN_US);
	g_assert_true(outcome.done);
	g_assert_cmpint(outcome.result, ==, result);
	if (body)
		g_assert_cmpstr(outcome.body->str, ==, body);
	g_string_free(outcome.body, TRUE);
	ks_http_client_deinit(&client);
	ks_loop_deinit(&loop);
	g_thread_join(peer.thread);
	close(peer.listener);
}

static void test_complete(void)
{
	expect(CHUNKED "3\r\nabc\r\n0\r\n\r\n", false, KS_HTTP_COMPLETE, "abc");
	expect("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false,
	       KS_HTTP_COMPLETE, "abc");
}

static void test_truncated_in_head(void)
{
	expect("HTTP/1.1 200 OK\r\ncontent-le", false, KS_HTTP_INCOMPLETE, "");
}

static void test_truncated_in_length(void)
{
	expect("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", false,
	       KS_HTTP_INCOMPLETE, NULL);
}

static void test_truncated_in_chunk(void)
{
	expect(CHUNKED "9\r\nabc", false, KS_HTTP_INCOMPLETE, NULL);
}

static void test_truncated_after_chunk(void)
{
	expect(CHUNKED "3\r\nabc\r\n", false, KS_HTTP_INCOMPLETE, NULL);
}

static void test_truncated_before_last_chunk(void)
{
	expect(CHUNKED, false, KS_HTTP_INCOMPLETE, NULL);
	expect(CHUNKED "3\r\nabc\r\n0\r\n", false, KS_HTTP_INCOMPLETE, NULL);
}

static void test_without_length(void)
{
	expect(UNFRAMED "abc", false, KS_HTTP_COMPLETE, "abc");
}

static void test_reset_without_length(void)
{
	expect(UNFRAMED "abc", true, KS_HTTP_INCOMPLETE, NULL);
}

static void test_not_http(void)
{
	expect("garbage\r\n\r\n", false, KS_HTTP_INCOMPLETE, "");
}

/* Guards against trailer fields that pass for fields or bytes of a response. */
static void test_trailer_fields(void)
{
	expect(CHUNKED "3\r\nabc\r\n0\r\ncontent-length: 9\r\n"
		       "x: y\r\n\r\n",
	       false, KS_HTTP_COMPLETE, "abc");
	expect(CHUNKED "3\r\nabc\r\n0\r\nx: y\r\n", false, KS_HTTP_INCOMPLETE,
	       NULL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-cut/complete", test_complete);
	g_test_add_func("/http-cut/in-head", test_truncated_in_head);
	g_test_add_func("/http-cut/in-length", test_truncated_in_length);
	g_test_add_func("/http-cut/in-chunk", test_truncated_in_chunk);
	g_test_add_func("/http-cut/after-chunk", test_truncated_after_chunk);
	g_test_add_func("/http-cut/before-last-chunk",
			test_truncated_before_last_chunk);
	g_test_add_func("/http-cut/without-length", test_without_length);
	g_test_add_func("/http-cut/reset-without-length",
			test_reset_without_length);
	g_test_add_func("/http-cut/not-http", test_not_http);
	g_test_add_func("/http-cut/trailer-fields", test_trailer_fields);
	return g_test_run();
}
