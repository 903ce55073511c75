/*
 * Which response may decide what a caller is told: upstreams give a response
 * for a second time, without an id, or to a call of the gateway's own.
 */
#include "gateway_fixture.h"
#include "http1_conn.h"

/* A refusal that states "not run"; the id is that of all requests here. */
#define REFUSAL(id) \
	"HTTP/1.1 503 Again\r\n" id "x-not-run: 1\r\ncontent-length: 0\r\n\r\n"
#define ANSWER(id)                                                       \
	"HTTP/1.1 200 Again\r\n" id "x-seal: s\r\ncontent-length: 5\r\n" \
	"\r\nother"
#define NAMED "x-id: r1\r\n"
#define UNNAMED ""

/* Sends made for a request at most; see MAX_SENDS. */
#define SENDS 4

/* Only u0 runs "app". */
static void init_one(struct fixture *f)
{
	fixture_init_bare(f);
	fixture_apply(f, 1);
	fixture_put_upstream(f, 0, "app", KS_STAGE_ANY);
}

static struct http1_conn *connection_of(struct fixture_upstream *upstream)
{
	return http1_conn_of(upstream->request);
}

/* Writes to a connection, unless the gateway has closed it. */
static void write_raw(struct fixture *f, struct fixture_upstream *upstream,
		      const struct http1_conn *conn, const char *text)
{
	KS_LIST_FOREACH (it, &upstream->server.conns) {
		struct http1_conn *open =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		if (open != conn || open->closed)
			continue;
		g_string_append(open->queued, text);
		http1_conn_flush(open);
		break;
	}
	fixture_run_pending(f);
}

/* Lets the upstream refuse a booking so many times, and returns the connection
 * of the first refusal. */
static const struct http1_conn *refuse(struct fixture *f, unsigned times)
{
	struct fixture_upstream *upstream = &f->upstreams[0];
	const struct http1_conn *first = NULL;

	for (unsigned i = 0; i < times; i++) {
		FIXTURE_WAIT(f, upstream->request);
		if (!first)
			first = connection_of(upstream);
		fixture_respond(upstream, 503, true, "");
	}
	FIXTURE_WAIT(f, upstream->request);
	return first;
}

/*
 * Guards against taking a second response to a send that was refused for the
 * response to a later send of the same request, which runs.
 */
static void test_refusal_comes_twice(void)
{
	for (unsigned refusals = 1; refusals < SENDS; refusals++) {
		struct fixture_upstream *upstream;
		const struct http1_conn *first;
		struct fixture_caller caller;
		struct fixture f;

		init_one(&f);
		upstream = &f.upstreams[0];
		fixture_call(&f, &caller, "POST", "/book/");
		first = refuse(&f, refusals);
		write_raw(&f, upstream, first, REFUSAL(NAMED));
		g_assert_false(caller.done);
		g_assert_nonnull(upstream->request);
		fixture_respond(upstream, 200, false, "booked");
		FIXTURE_WAIT(&f, caller.done);
		fixture_run_pending(&f);
		g_assert_cmpuint(upstream->received->len, ==, refusals + 1);
		g_assert_cmpint(caller.status, ==, 200);
		g_assert_cmpstr(caller.body->str, ==, "booked");
		fixture_end_call(&caller);
		fixture_deinit(&f);
	}
}

/*
 * Guards against the same between the prefill request and the request itself,
 * when the engine that refused the prefill runs the request.
 */
static void test_refused_prefill_comes_twice(void)
{
	struct fixture_upstream *engine;
	const struct http1_conn *first;
	struct fixture_caller caller;
	ks_header_t parts = { KS_STR("x-parts"), KS_STR("aa:9000,bb:7000") };
	struct fixture f;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	engine = &f.upstreams[0];
	fixture_put_upstream(&f, 0, "llm", KS_STAGE_PREFILL);
	fixture_put_upstream(&f, 1, "llm", KS_STAGE_DECODE);
	fixture_call_with(&f, &caller, "POST", "/advise/", "", &parts, 1);
	FIXTURE_WAIT(&f, engine->request);
	first = connection_of(engine);
	fixture_put_upstream(&f, 0, "llm", KS_STAGE_DECODE);
	fixture_put_upstream(&f, 1, "llm", KS_STAGE_PREFILL);
	fixture_respond(engine, 503, true, "");
	FIXTURE_WAIT(&f, engine->request);
	write_raw(&f, engine, first, REFUSAL(NAMED));
	g_assert_false(caller.done);
	fixture_respond(engine, 200, false, "advice");
	FIXTURE_WAIT(&f, caller.done);
	fixture_run_pending(&f);
	g_assert_cmpint(caller.status, ==, 200);
	g_assert_cmpuint(engine->received->len, ==, 2);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Sends a booking, to which the upstream sends @text before it answers. With
 * @after_lookup, a lookup was served on the same connection before. Returns the
 * status that the caller got, and checks that the booking was sent once.
 */
static int book_with(const char *text, bool after_lookup)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;
	int status;

	init_one(&f);
	upstream = &f.upstreams[0];
	if (after_lookup) {
		fixture_call(&f, &caller, "GET", "/read/");
		fixture_wait_request(&f);
		fixture_respond(upstream, 200, false, "read");
		FIXTURE_WAIT(&f, caller.done);
		fixture_end_call(&caller);
	}
	fixture_call(&f, &caller, "POST", "/book/");
	fixture_wait_request(&f);
	write_raw(&f, upstream, connection_of(upstream), text);
	if (upstream->request && !upstream->left)
		fixture_respond(upstream, 200, false, "booked");
	FIXTURE_WAIT(&f, caller.done);
	status = caller.status;
	if (status == 200)
		g_assert_cmpstr(caller.body->str, ==, "booked");
	g_assert_cmpuint(upstream->received->len, ==, after_lookup ? 2 : 1);
	fixture_end_call(&caller);
	fixture_deinit(&f);
	return status;
}

/*
 * Guards against taking a response without an id for the response to the
 * request that is waiting: it can belong to an earlier one.
 */
static void test_response_without_id(void)
{
	g_assert_cmpint(book_with(REFUSAL(UNNAMED), true), ==, 200);
	g_assert_cmpint(book_with(ANSWER(UNNAMED), true), ==, 200);
	g_assert_cmpint(book_with(REFUSAL(UNNAMED), false), ==, 502);
	g_assert_cmpint(book_with(ANSWER(UNNAMED), false), ==, 502);
}

/*
 * Guards against waiting until the deadline for a response that cannot come: a
 * response without a length, which is skipped, goes on until the connection
 * ends.
 */
static void test_skipped_response_without_length(void)
{
	g_assert_cmpint(
		book_with("HTTP/1.1 200 Again\r\nx-id: other\r\n\r\nx", true),
		==, 502);
	g_assert_cmpint(book_with("HTTP/1.1 200 Again\r\n\r\nx", true), ==,
			502);
}

/*
 * Guards against a call of the gateway's own, whose response has no id, on a
 * connection of requests: a late response ends the call, and its own response
 * comes to the next request.
 */
static void test_own_call_has_own_connection(void)
{
	struct fixture_upstream *engine;
	struct http1_conn *conn;
	struct fixture_caller caller;
	ks_header_t parts = { KS_STR("x-parts"), KS_STR("aa:9000,bb:7000") };
	struct fixture f;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	engine = &f.upstreams[0];
	fixture_put_upstream(&f, 0, "llm", KS_STAGE_PREFILL);
	fixture_put_upstream(&f, 1, "llm", KS_STAGE_DECODE);
	fixture_call_with(&f, &caller, "POST", "/advise/", "", &parts, 1);
	FIXTURE_WAIT(&f, engine->request);
	conn = connection_of(engine);
	fixture_respond(engine, 200, false, "{\"handle\":\"h7\"}");
	FIXTURE_WAIT(&f, f.upstreams[1].request);
	/* The caller leaves, so that the handle is released. */
	fixture_end_call(&caller);
	FIXTURE_WAIT(&f, engine->request);
	g_assert_cmpstr(engine->received->pdata[1], ==, "DELETE /handle/h7 ");
	g_assert_true(connection_of(engine) != conn);
	fixture_deinit(&f);
}

/*
 * Guards against believing "not run" of a status that upstreams only give to
 * requests that have run.
 */
static void test_run_and_not_run(void)
{
	static const int statuses[] = { 200, 500, 504 };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct fixture_caller caller;
		struct fixture f;

		init_one(&f);
		fixture_call(&f, &caller, "POST", "/book/");
		fixture_respond(fixture_wait_request(&f), statuses[i], true,
				"");
		FIXTURE_WAIT(&f, caller.done || fixture_pending_upstream(&f));
		g_assert_cmpuint(fixture_n_requests(&f), ==, 1);
		g_assert_cmpint(caller.status, !=, 503);
		fixture_end_call(&caller);
		fixture_deinit(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attribution/refusal-comes-twice",
			test_refusal_comes_twice);
	g_test_add_func("/attribution/refused-prefill-comes-twice",
			test_refused_prefill_comes_twice);
	g_test_add_func("/attribution/response-without-id",
			test_response_without_id);
	g_test_add_func("/attribution/skipped-without-length",
			test_skipped_response_without_length);
	g_test_add_func("/attribution/own-call",
			test_own_call_has_own_connection);
	g_test_add_func("/attribution/run-and-not-run", test_run_and_not_run);
	return g_test_run();
}
