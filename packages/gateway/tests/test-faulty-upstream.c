/*
 * Upstreams whose bytes are no response, or never end: each fault of faults.h
 * for each kind of call. What is kept has a bound, and is charged.
 */
#include "faults.h"
#include "gateway_fixture.h"
#include "gateway_internal.h"
#include "http1_conn.h"

#include <malloc.h>

#define WRITE_BYTES ((size_t)64 * 1024)

/* What an upstream may send before its connection is closed. */
#define MAX_SENT_BYTES ((size_t)8 * 1024 * 1024)

/* One event, in a block that doubles, and what goes with it. */
#define MAX_CHARGED_BYTES ((size_t)3 * 1024 * 1024)

/* The same, and what the upstream and the caller in this process hold. */
#define MAX_HEAP_BYTES ((size_t)8 * 1024 * 1024)

static const char *const targets[] = { "/read/", "/book/", "/tell/",
				       "/resume/" };

/* 0 with sanitizers, whose allocator doesn't count here. */
static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/**
 * struct source - bytes that an upstream sends in response to a request
 * @pieces: number of pieces that were sent
 * @bytes: all that was sent
 */
struct source {
	const struct fault *fault;
	size_t pieces;
	size_t bytes;
	bool begun;
};

/* Sends on if the gateway has taken what was sent. */
static void send_some(struct source *source, struct fixture_upstream *upstream)
{
	struct http1_conn *conn = http1_conn_of(upstream->request);
	size_t before = conn->queued->len;

	if (conn->writing || source->bytes > MAX_SENT_BYTES)
		return;
	if (!source->begun) {
		ks_str_t id =
			ks_header_value(upstream->request->headers,
					upstream->request->n_headers, "x-id");
		char *text = ks_str_dup(id);

		fault_begin(source->fault, "x-id", text, conn->queued);
		g_free(text);
	}
	source->begun = true;
	fault_continue(source->fault, &source->pieces, WRITE_BYTES,
		       conn->queued);
	source->bytes += conn->queued->len - before;
	http1_conn_flush(conn);
}

static void check(const struct fault *fault, const char *target)
{
	struct fixture_caller caller;
	struct fixture f;
	struct source source = { .fault = fault };
	size_t charged = 0, heap, most = 0;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	fixture_put_upstream(&f, 0, "app", KS_STAGE_ANY);
	fixture_call(&f, &caller, "POST", target);
	FIXTURE_WAIT(&f, f.upstreams[0].request);
	heap = heap_bytes();
	for (int i = 0; i < 600 && !caller.done; i++) {
		if (f.upstreams[0].request)
			send_some(&source, &f.upstreams[0]);
		/* A further try gets the same. */
		else
			source = (struct source){ .fault = fault };
		/* The caller keeps what it receives. */
		g_string_truncate(caller.body, 0);
		fixture_run_once(&f);
		charged = MAX(charged, f.gateway->memory.total);
		most = MAX(most, heap_bytes());
	}
	g_test_message("%s%s: charged=%zu heap=%zu done=%d", target,
		       fault->name, charged, most > heap ? most - heap : 0,
		       caller.done);
	g_assert_cmpuint(charged, <=, MAX_CHARGED_BYTES);
	g_assert_cmpuint(most, <=, heap + MAX_HEAP_BYTES);
	/* What is not passed on to the caller ends soon. */
	if (!fault->n_pieces && strcmp(fault->name, "events") != 0 &&
	    g_str_has_prefix(target, "/resume/"))
		g_assert_cmpuint(source.bytes, <, MAX_SENT_BYTES);
	ks_http_call_cancel(&caller.call);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

static void test_what_is_kept(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(targets); j++)
			check(&faults[i], targets[j]);
}

/* Guards against an event that waits for its end and isn't charged. */
static void test_half_event_is_charged(void)
{
	const struct fault *fault = fault_find("half-event");
	struct source source = { .fault = fault };
	struct fixture_caller caller;
	struct fixture f;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	fixture_put_upstream(&f, 0, "app", KS_STAGE_ANY);
	fixture_call(&f, &caller, "POST", "/resume/");
	FIXTURE_WAIT(&f, f.upstreams[0].request);
	for (int i = 0; i < 300; i++) {
		send_some(&source, &f.upstreams[0]);
		fixture_run_once(&f);
	}
	g_assert_cmpuint(f.gateway->memory.used[KS_MEMORY_OUTPUT], >=,
			 fault->n_pieces);
	ks_http_call_cancel(&caller.call);
	FIXTURE_WAIT(&f, !f.gateway->memory.used[KS_MEMORY_OUTPUT]);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/* Guards against an id of an event that stays as long as the stream. */
static void test_long_event_id(void)
{
	GString *event = g_string_new("id: ");
	GString *whole = g_string_new(NULL);
	ks_events_t events;

	for (size_t i = 0; i <= KS_EVENTS_MAX_ID_BYTES; i++)
		g_string_append_c(event, 'z');
	g_string_append(event, "\ndata: b\n\n");
	ks_events_init(&events);
	ks_events_feed(&events, KS_STR("id: 1\ndata: a\n\n"), whole);
	ks_events_feed(&events, (ks_str_t){ event->str, event->len }, whole);
	g_assert_true(events.has_long_id);
	g_assert_cmpstr(whole->str, ==, "id: 1\ndata: a\n\n");
	g_assert_cmpstr(events.last_id->str, ==, "1");
	ks_events_deinit(&events);
	g_string_free(event, TRUE);
	g_string_free(whole, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/faulty-upstream/what-is-kept", test_what_is_kept);
	g_test_add_func("/faulty-upstream/half-event-is-charged",
			test_half_event_is_charged);
	g_test_add_func("/faulty-upstream/long-event-id", test_long_event_id);
	return g_test_run();
}
