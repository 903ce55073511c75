/*
 * Connections that are written and closed by code outside h2o's event loop:
 * timers that are due together, as after the process stood still, and calls
 * between two iterations. Guards against a closed socket that is freed while
 * it waits for the callback of a write that has completed.
 */
#include "ks/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define N_CALLERS 16
#define ROUNDS 8

struct fixture {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http1_server_t server;
	ks_http_client_t client;
	ks_http1_request_t *pending[N_CALLERS];
	unsigned n_pending;
	ks_timer_t timers[3 * N_CALLERS];
	int fds[N_CALLERS];
	unsigned served;
};

static void on_disconnected(void *ctx G_GNUC_UNUSED)
{
}

static void on_request(void *ctx, ks_http1_request_t *request)
{
	struct fixture *f = ctx;

	request->ctx = f;
	request->disconnected = on_disconnected;
	f->pending[f->n_pending++] = request;
}

static void init_fixture(struct fixture *f)
{
	ks_address_t address = { "127.0.0.1", 0 };

	memset(f, 0, sizeof(*f));
	ks_test_clock_init(&f->clock, KS_USEC_PER_SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	ks_http_client_init(&f->client, &f->loop);
	g_assert_true(ks_http1_server_init(&f->server, &f->loop, &address,
					   on_request, f, NULL));
}

static void run_some(struct fixture *f)
{
	for (int i = 0; i < 20; i++)
		ks_loop_run_once(&f->loop, 1000);
}

static void connect_callers(struct fixture *f)
{
	static const char request[] = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons(f->server.port) };

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->n_pending = 0;
	for (int i = 0; i < N_CALLERS; i++) {
		f->fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(
			connect(f->fds[i], (struct sockaddr *)&in, sizeof(in)),
			==, 0);
		g_assert_cmpint(
			send(f->fds[i], request, sizeof(request) - 1, 0), >, 0);
	}
	for (int i = 0; i < 2000 && f->n_pending < N_CALLERS; i++)
		ks_loop_run_once(&f->loop, 1000);
	g_assert_cmpuint(f->n_pending, ==, N_CALLERS);
}

static void close_callers(struct fixture *f)
{
	for (int i = 0; i < N_CALLERS; i++)
		close(f->fds[i]);
	run_some(f);
}

static void deinit_fixture(struct fixture *f)
{
	ks_http_client_deinit(&f->client);
	ks_http1_server_deinit(&f->server);
	run_some(f);
	ks_loop_deinit(&f->loop);
}

static void write_response(void *ctx)
{
	ks_http1_start(ctx, 200, NULL, 0, -1);
	ks_http1_body(ctx, KS_STR("first bytes"));
}

static void abort_response(void *ctx)
{
	ks_http1_abort(ctx);
}

/* The server's connections, by timers that are due together. */
static void test_server_timers(void)
{
	struct fixture f;

	init_fixture(&f);
	for (int round = 0; round < ROUNDS; round++) {
		connect_callers(&f);
		for (int i = 0; i < N_CALLERS; i++) {
			ks_timer_init(&f.timers[2 * i], &f.loop, write_response,
				      f.pending[i]);
			ks_timer_init(&f.timers[2 * i + 1], &f.loop,
				      abort_response, f.pending[i]);
			ks_timer_set(&f.timers[2 * i], 1000 + i);
			ks_timer_set(&f.timers[2 * i + 1], 1000 + 2 * i);
		}
		ks_test_clock_advance(&f.clock, KS_USEC_PER_SEC);
		run_some(&f);
		close_callers(&f);
	}
	deinit_fixture(&f);
}

/* The same by calls between two iterations of the loop. */
static void test_server_calls(void)
{
	struct fixture f;

	init_fixture(&f);
	for (int round = 0; round < ROUNDS; round++) {
		connect_callers(&f);
		for (int i = 0; i < N_CALLERS; i++)
			write_response(f.pending[i]);
		for (int i = 0; i < N_CALLERS; i++)
			abort_response(f.pending[i]);
		run_some(&f);
		close_callers(&f);
	}
	deinit_fixture(&f);
}

static void on_head(void *ctx G_GNUC_UNUSED, int status G_GNUC_UNUSED,
		    const ks_header_t *headers G_GNUC_UNUSED,
		    size_t n G_GNUC_UNUSED)
{
}

static void on_body(void *ctx G_GNUC_UNUSED, ks_str_t data G_GNUC_UNUSED)
{
}

static void on_done(void *ctx, ks_http_result_t result)
{
	g_assert_cmpint(result, ==, KS_HTTP_COMPLETE);
	++*(unsigned *)ctx;
}

static const ks_http_events_t events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void cancel_call(void *ctx)
{
	ks_http_call_cancel(ctx);
}

static void start_calls(struct fixture *f, ks_http_call_t *calls, int n,
			unsigned *done)
{
	ks_http_request_t request = {
		.address = { "127.0.0.1", f->server.port },
		.method = KS_STR("GET"),
		.target = KS_STR("/"),
		.reuse = true,
	};

	f->n_pending = 0;
	for (int i = 0; i < n; i++)
		ks_http_call_start(&calls[i], &f->client, &request, &events,
				   done);
}

/*
 * The client's connections: a request is written to an idle one by a timer, and
 * its deadline has passed as well.
 */
static void test_client_timers(void)
{
	ks_http_call_t calls[N_CALLERS];
	unsigned done = 0;
	struct fixture f;

	init_fixture(&f);
	for (int round = 0; round < ROUNDS; round++) {
		/* Opens connections and leaves them idle. */
		done = 0;
		start_calls(&f, calls, N_CALLERS, &done);
		for (int i = 0; i < 2000 && f.n_pending < N_CALLERS; i++)
			ks_loop_run_once(&f.loop, 1000);
		for (unsigned i = 0; i < f.n_pending; i++) {
			ks_http1_start(f.pending[i], 200, NULL, 0, 0);
			ks_http1_end(f.pending[i]);
		}
		for (int i = 0; i < 2000 && done < N_CALLERS; i++)
			ks_loop_run_once(&f.loop, 1000);
		g_assert_cmpuint(done, ==, N_CALLERS);
		start_calls(&f, calls, N_CALLERS, &done);
		for (int i = 0; i < N_CALLERS; i++) {
			ks_timer_init(&f.timers[i], &f.loop, cancel_call,
				      &calls[i]);
			ks_timer_set(&f.timers[i], 1);
		}
		ks_test_clock_advance(&f.clock, 1000);
		run_some(&f);
		for (unsigned i = 0; i < f.n_pending; i++)
			ks_http1_abort(f.pending[i]);
		run_some(&f);
	}
	deinit_fixture(&f);
}

static void count_run(void *ctx)
{
	++*(unsigned *)ctx;
}

/* A write from a timer is completed without an unrelated event. */
static void test_drained(void)
{
	struct fixture f;
	unsigned drained = 0, received = 0;
	char buf[512];

	init_fixture(&f);
	connect_callers(&f);
	f.pending[0]->drained = count_run;
	f.pending[0]->ctx = &drained;
	ks_timer_init(&f.timers[0], &f.loop, write_response, f.pending[0]);
	ks_timer_set(&f.timers[0], 0);
	ks_loop_run_once(&f.loop, 0);
	g_assert_cmpuint(drained, ==, 1);
	for (int i = 0; i < N_CALLERS; i++)
		received += recv(f.fds[i], buf, sizeof(buf), MSG_DONTWAIT) > 0;
	g_assert_cmpuint(received, ==, 1);
	f.pending[0]->drained = NULL;
	for (int i = 0; i < N_CALLERS; i++)
		abort_response(f.pending[i]);
	close_callers(&f);
	deinit_fixture(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop/server-timers", test_server_timers);
	g_test_add_func("/loop/server-calls", test_server_calls);
	g_test_add_func("/loop/client-timers", test_client_timers);
	g_test_add_func("/loop/drained", test_drained);
	return g_test_run();
}
