/* Tests of connection reuse in the HTTP client against a scripted server. */
#include "ks/connection.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_TURNS 3000
#define TURN_US (10 * KS_USEC_PER_MSEC)
#define PEER_TIMEOUT_S 20

/**
 * struct peer - scripted server in a thread
 * @script: steps: A accepts a connection, R reads a request, W writes a
 *	response, E writes a body without end until the client closes the
 *	connection, C closes the connection
 * @endless_bytes: size of the body that step E wrote
 */
struct peer {
	const char *script;
	int listener;
	ks_address_t address;
	size_t endless_bytes;
	GThread *thread;
};

struct outcome {
	unsigned sent;
	bool done;
	int status;
	ks_http_result_t result;
};

static void read_request(int fd)
{
	char buf[4096];
	size_t len = 0;
	ssize_t n;

	while (len < sizeof(buf) - 1) {
		n = read(fd, buf + len, sizeof(buf) - 1 - len);
		g_assert_cmpint(n, >, 0);
		len += (size_t)n;
		buf[len] = '\0';
		if (strstr(buf, "\r\n\r\n"))
			return;
	}
	g_assert_not_reached();
}

static void write_response(int fd)
{
	static const char response[] =
		"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

	g_assert_cmpint(write(fd, response, sizeof(response) - 1), ==,
			sizeof(response) - 1);
}

#define MAX_ENDLESS_BYTES (32 * 1024 * 1024)

static void write_without_end(struct peer *peer, int fd)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
	char piece[16384];
	ssize_t n = send(fd, head, sizeof(head) - 1, MSG_NOSIGNAL);

	memset(piece, 'z', sizeof(piece));
	while (n > 0 && peer->endless_bytes < MAX_ENDLESS_BYTES) {
		n = send(fd, piece, sizeof(piece), MSG_NOSIGNAL);
		peer->endless_bytes += n > 0 ? (size_t)n : 0;
	}
}

static gpointer run_peer(gpointer data)
{
	struct peer *peer = data;
	struct timeval limit = { PEER_TIMEOUT_S, 0 };
	int fd = -1;

	for (const char *step = peer->script; *step; step++) {
		if (*step == 'A') {
			if (fd >= 0)
				close(fd);
			fd = accept(peer->listener, NULL, NULL);
			g_assert_cmpint(fd, >=, 0);
			setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit,
				   sizeof(limit));
		} else if (*step == 'R') {
			read_request(fd);
		} else if (*step == 'W') {
			write_response(fd);
		} else if (*step == 'E') {
			write_without_end(peer, fd);
		} else {
			close(fd);
			fd = -1;
		}
	}
	/* The listener is closed first, so that no connection is accepted. */
	close(peer->listener);
	if (fd >= 0)
		close(fd);
	return NULL;
}

static void start_peer(struct peer *peer, const char *script)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	struct timeval limit = { PEER_TIMEOUT_S, 0 };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	peer->script = script;
	peer->endless_bytes = 0;
	peer->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(peer->listener, SOL_SOCKET, SO_RCVTIMEO, &limit,
		   sizeof(limit));
	g_assert_cmpint(bind(peer->listener, (struct sockaddr *)&address, len),
			==, 0);
	g_assert_cmpint(listen(peer->listener, 8), ==, 0);
	getsockname(peer->listener, (struct sockaddr *)&address, &len);
	g_strlcpy(peer->address.ip, "127.0.0.1", sizeof(peer->address.ip));
	peer->address.port = ntohs(address.sin_port);
	peer->thread = g_thread_new("peer", run_peer, peer);
}

static void on_sent(void *ctx)
{
	((struct outcome *)ctx)->sent++;
}

static void on_head(void *ctx, int status,
		    const ks_header_t *headers G_GNUC_UNUSED,
		    size_t n_headers G_GNUC_UNUSED)
{
	((struct outcome *)ctx)->status = status;
}

static void on_body(void *ctx G_GNUC_UNUSED, ks_str_t data G_GNUC_UNUSED)
{
}

static void on_done(void *ctx, ks_http_result_t result)
{
	struct outcome *outcome = ctx;

	outcome->done = true;
	outcome->result = result;
}

static const ks_http_events_t events = {
	.sent = on_sent,
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static struct outcome call(ks_http_client_t *client, const struct peer *peer,
			   bool reuse)
{
	struct outcome outcome = { .done = false };
	ks_http_request_t request = {
		.address = peer->address,
		.method = KS_STR("GET"),
		.target = KS_STR("/"),
		.reuse = reuse,
	};
	ks_http_call_t http;

	ks_http_call_start(&http, client, &request, &events, &outcome);
	g_assert_cmpuint(outcome.sent, ==, 0);
	for (int i = 0; i < MAX_TURNS && !outcome.done; i++)
		ks_loop_run_once(client->loop, TURN_US);
	g_assert_true(outcome.done);
	return outcome;
}

static void expect_complete(struct outcome outcome)
{
	g_assert_cmpint(outcome.result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(outcome.status, ==, 200);
	g_assert_cmpuint(outcome.sent, ==, 1);
}

/* Makes two calls; the first one succeeds, and the second one is returned. */
static struct outcome call_twice(const char *script, bool reuse)
{
	ks_http_client_t client;
	struct outcome second;
	struct peer peer;
	ks_loop_t loop;

	start_peer(&peer, script);
	ks_loop_init(&loop, ks_clock_monotonic());
	ks_http_client_init(&client, &loop);
	expect_complete(call(&client, &peer, true));
	second = call(&client, &peer, reuse);
	ks_http_client_deinit(&client);
	ks_loop_deinit(&loop);
	g_thread_join(peer.thread);
	return second;
}

/* Guards against a new connection for each call that allows reuse. */
static void test_reuse(void)
{
	expect_complete(call_twice("ARWRW", true));
}

/*
 * Guards against sending a request that must not be repeated on an idle
 * connection, which the server may be closing at that time.
 */
static void test_no_reuse(void)
{
	expect_complete(call_twice("ARWARW", false));
}

/* Guards against a failed call when the server closes a reused connection. */
static void test_closed_on_reuse(void)
{
	expect_complete(call_twice("ARWRCARW", true));
}

/* Guards against sending a request more than twice. */
static void test_retried_once(void)
{
	struct outcome outcome = call_twice("ARWRCARC", true);

	g_assert_cmpint(outcome.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpuint(outcome.sent, ==, 1);
}

/*
 * Guards against KS_HTTP_NOT_SENT for a request that was sent on a reused
 * connection, when the new connection for the retry is refused.
 */
static void test_retry_refused(void)
{
	struct outcome outcome = call_twice("ARWR", true);

	g_assert_cmpint(outcome.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpuint(outcome.sent, ==, 1);
}

static void on_fetched(void *ctx, const ks_http_response_t *response)
{
	struct outcome *outcome = ctx;

	outcome->done = true;
	outcome->result = response->result;
}

/* Guards against reading a body on that is too long to be kept. */
static void test_fetch_without_end(void)
{
	struct outcome outcome = { 0 };
	ks_http_request_t request = { .method = KS_STR("GET"),
				      .target = KS_STR("/") };
	ks_http_client_t client;
	struct peer peer;
	ks_loop_t loop;

	start_peer(&peer, "ARE");
	request.address = peer.address;
	ks_loop_init(&loop, ks_clock_monotonic());
	ks_http_client_init(&client, &loop);
	ks_http_fetch(&client, &request, 65536, on_fetched, &outcome);
	for (int i = 0; i < MAX_TURNS && !outcome.done; i++)
		ks_loop_run_once(&loop, TURN_US);
	g_assert_true(outcome.done);
	g_assert_cmpint(outcome.result, ==, KS_HTTP_INCOMPLETE);
	ks_http_client_deinit(&client);
	ks_loop_deinit(&loop);
	g_thread_join(peer.thread);
	g_assert_cmpuint(peer.endless_bytes, <, MAX_ENDLESS_BYTES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-client/reuse", test_reuse);
	g_test_add_func("/http-client/no-reuse", test_no_reuse);
	g_test_add_func("/http-client/closed-on-reuse", test_closed_on_reuse);
	g_test_add_func("/http-client/retried-once", test_retried_once);
	g_test_add_func("/http-client/retry-refused", test_retry_refused);
	g_test_add_func("/http-client/fetch-without-end",
			test_fetch_without_end);
	return g_test_run();
}
