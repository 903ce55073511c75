/*
 * Guards against taking bytes that arrived before a request was sent for the
 * response to it.
 */
#include "http1_conn.h"

#include <string.h>

#define MAX_TURNS 400

#define UNASKED "HTTP/1.1 503 Again\r\ncontent-length: 0\r\n\r\n"

/**
 * struct scene - a client and a server in one loop
 * @received: requests that the server got
 * @before_use: does to the server's connection what @act says
 */
struct scene {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http1_server_t server;
	ks_http_client_t client;
	ks_timer_t before_use;
	void (*act)(struct http1_conn *conn);
	unsigned received;
};

/* A call without an id, and its outcome. */
struct outcome {
	ks_http_call_t call;
	ks_http_permit_t permit;
	bool done;
	int status;
	ks_http_result_t result;
};

static void on_request(void *ctx, ks_http1_request_t *request)
{
	((struct scene *)ctx)->received++;
	ks_http1_start(request, 200, NULL, 0, 0);
	ks_http1_end(request);
}

static ks_http_permit_t on_permits(void *ctx)
{
	return ((struct outcome *)ctx)->permit;
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
	.permits = on_permits,
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

/* The only connection of the server. */
static struct http1_conn *server_conn(struct scene *s)
{
	g_assert_false(ks_list_is_empty(&s->server.conns));
	return KS_CONTAINER_OF(s->server.conns.next, struct http1_conn, node);
}

static void write_unasked(struct http1_conn *conn)
{
	g_string_append(conn->queued, UNASKED);
	http1_conn_flush(conn);
}

static void on_before_use(void *ctx)
{
	struct scene *s = ctx;

	s->act(server_conn(s));
}

static void run(struct scene *s)
{
	for (int i = 0; i < MAX_TURNS; i++)
		ks_loop_run_once(&s->loop, 0);
}

static void start(struct scene *s, struct outcome *outcome,
		  ks_http_permit_t permit)
{
	ks_http_request_t request = {
		.address = { "127.0.0.1", s->server.port },
		.method = KS_STR("POST"),
		.target = KS_STR("/"),
		.reuse = true,
		.no_retry = true,
	};

	memset(outcome, 0, sizeof(*outcome));
	outcome->permit = permit;
	ks_http_call_start(&outcome->call, &s->client, &request, &events,
			   outcome);
}

static void init(struct scene *s)
{
	ks_address_t address = { "127.0.0.1", 0 };

	memset(s, 0, sizeof(*s));
	ks_test_clock_init(&s->clock, 100 * KS_USEC_PER_SEC);
	ks_loop_init(&s->loop, &s->clock.clock);
	ks_http_client_init(&s->client, &s->loop);
	ks_timer_init(&s->before_use, &s->loop, on_before_use, s);
	g_assert_true(ks_http1_server_init(&s->server, &s->loop, &address,
					   on_request, s, NULL));
}

static void deinit(struct scene *s)
{
	ks_timer_clear(&s->before_use);
	ks_http_client_deinit(&s->client);
	ks_http1_server_deinit(&s->server);
	ks_loop_deinit(&s->loop);
}

/* Leaves an idle connection, if the call is to have one. */
static void serve_earlier(struct scene *s, bool is_kept)
{
	struct outcome earlier;

	if (!is_kept)
		return;
	start(s, &earlier, KS_HTTP_SEND);
	run(s);
	g_assert_true(earlier.done);
	g_assert_cmpint(earlier.status, ==, 200);
}

static void expect_own_response(const struct scene *s,
				const struct outcome *outcome)
{
	g_assert_true(outcome->done);
	g_assert_cmpint(outcome->result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(outcome->status, ==, 200);
	g_assert_cmpuint(s->received, ==, 2);
}

/* After the last poll, in the iteration in which the connection is taken. */
static void act_as_taken(void (*act)(struct http1_conn *conn))
{
	struct outcome outcome;
	struct scene s;

	init(&s);
	serve_earlier(&s, true);
	s.act = act;
	ks_timer_set(&s.before_use, 0);
	ks_test_clock_advance(&s.clock, 1);
	start(&s, &outcome, KS_HTTP_SEND);
	run(&s);
	expect_own_response(&s, &outcome);
	deinit(&s);
}

static void test_written_as_taken(void)
{
	act_as_taken(write_unasked);
}

static void test_closed_as_taken(void)
{
	act_as_taken(http1_conn_close);
}

/* While the call waits for the permission to send. */
static void act_while_waiting(bool is_kept,
			      void (*act)(struct http1_conn *conn))
{
	struct outcome outcome;
	struct scene s;

	init(&s);
	serve_earlier(&s, is_kept);
	start(&s, &outcome, KS_HTTP_WAIT);
	run(&s);
	g_assert_true(outcome.call.is_waiting);
	act(server_conn(&s));
	run(&s);
	outcome.permit = KS_HTTP_SEND;
	ks_http_call_permit(&outcome.call);
	run(&s);
	if (is_kept) {
		expect_own_response(&s, &outcome);
	} else {
		g_assert_true(outcome.done);
		g_assert_cmpint(outcome.result, ==, KS_HTTP_NOT_SENT);
		g_assert_cmpuint(s.received, ==, 0);
	}
	deinit(&s);
}

static void test_written_while_waiting(void)
{
	act_while_waiting(false, write_unasked);
	act_while_waiting(true, write_unasked);
}

static void test_closed_while_waiting(void)
{
	act_while_waiting(false, http1_conn_close);
	act_while_waiting(true, http1_conn_close);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/unasked-response/written-as-taken",
			test_written_as_taken);
	g_test_add_func("/unasked-response/closed-as-taken",
			test_closed_as_taken);
	g_test_add_func("/unasked-response/written-while-waiting",
			test_written_while_waiting);
	g_test_add_func("/unasked-response/closed-while-waiting",
			test_closed_while_waiting);
	return g_test_run();
}
