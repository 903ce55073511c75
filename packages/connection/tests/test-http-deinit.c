/*
 * Tests that freeing an HTTP client ends its active calls. Guards against a
 * process that aborts at the end of a graceful stop, because a request to the
 * platform was still in flight.
 */
#include "ks/connection.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

struct result {
	unsigned count;
	ks_http_result_t result;
};

/* The kernel completes connections, but nothing accepts or responds. */
static int listen_without_accept(uint16_t *port)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&in, len), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&in, &len), ==, 0);
	*port = ntohs(in.sin_port);
	return fd;
}

static void on_response(void *ctx, const ks_http_response_t *response)
{
	struct result *result = ctx;

	result->count++;
	result->result = response->result;
}

static void on_sent(void *ctx)
{
	ks_loop_stop(ctx);
}

static void on_done(void *ctx G_GNUC_UNUSED,
		    ks_http_result_t result G_GNUC_UNUSED)
{
}

static const ks_http_events_t call_events = {
	.sent = on_sent,
	.done = on_done,
};

static void test_deinit_ends_calls(void)
{
	struct result first = { 0 }, second = { 0 };
	ks_http_request_t request = { .method = KS_STR("GET"),
				      .target = KS_STR("/"),
				      .address = { .ip = "127.0.0.1" } };
	ks_http_client_t client;
	ks_http_call_t call;
	ks_loop_t loop;
	int fd = listen_without_accept(&request.address.port);

	ks_loop_init(&loop, ks_clock_monotonic());
	ks_http_client_init(&client, &loop);
	ks_http_fetch(&client, &request, 100, on_response, &first);
	ks_http_call_start(&call, &client, &request, &call_events, &loop);
	ks_loop_run(&loop);
	ks_http_fetch(&client, &request, 100, on_response, &second);
	g_assert_cmpuint(first.count + second.count, ==, 0);
	ks_http_client_deinit(&client);
	g_assert_cmpuint(first.count, ==, 1);
	g_assert_cmpint(first.result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpuint(second.count, ==, 1);
	g_assert_cmpint(second.result, ==, KS_HTTP_NOT_SENT);
	g_assert_false(ks_http_call_is_active(&call));
	ks_loop_deinit(&loop);
	close(fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-deinit/ends-calls", test_deinit_ends_calls);
	return g_test_run();
}
