/*
 * Upstreams whose process starts again under its id and address with another
 * version of its software, before the entry has read so. Guards against a
 * stream that one version began and that goes on at the other one.
 */
#include "processes_fixture.h"
#include "gateway_internal.h"

#include <xxhash.h>

#define FIRST_EVENT "id: 1\ndata: a\n\n"

/* Begins a stream, of which the entry learns which process it is at. */
static int begin(struct world *w, struct fixture_caller *caller, bool is_known)
{
	int i;

	fixture_advance(&w->v.f, 10);
	versions_call(&w->v, caller, "/resume/", NULL, NULL);
	i = versions_begin(&w->v);
	if (is_known) {
		world_read_and_wait(w);
		fixture_send(&w->v.f.upstreams[i], "id: 2\ndata: b\n\n");
		fixture_run_pending(&w->v.f);
	}
	return i;
}

static void expect_cut(struct world *w, struct fixture_caller *caller,
		       unsigned requests)
{
	for (int i = 0; i < 100 && !caller->done; i++)
		fixture_advance(&w->v.f, 10);
	g_assert_true(caller->done);
	g_assert_cmpint(caller->result, ==, KS_HTTP_INCOMPLETE);
	g_assert_cmpuint(fixture_n_requests(&w->v.f), ==, requests);
	fixture_end_call(caller);
}

/* Waits until the stream goes on at an upstream, and lets that end it. */
static void expect_goes_on(struct world *w, struct fixture_caller *caller,
			   int at, const char *rest)
{
	struct fixture_upstream *next = &w->v.f.upstreams[at];

	for (int i = 0; i < 100 && !next->request; i++)
		fixture_advance(&w->v.f, 10);
	g_assert_nonnull(next->request);
	versions_respond(&w->v, next, rest);
	FIXTURE_WAIT(&w->v.f, caller->done);
	g_assert_cmpint(caller->result, ==, KS_HTTP_COMPLETE);
	g_assert_cmpint(caller->status, ==, 200);
	fixture_end_call(caller);
}

/* Within one response: the last upstream of a version is replaced. */
static void test_within_response(void)
{
	struct fixture_caller caller;
	struct world w;

	world_init(&w, 1, "v1", NULL);
	begin(&w, &caller, true);
	world_start_again(&w, 0, "v2");
	fixture_abort_response(&w.v.f.upstreams[0]);
	expect_cut(&w, &caller, 1);
	world_deinit(&w);
}

/* The caller resumes at the entry. */
static void test_caller_resumes(void)
{
	struct fixture_caller caller;
	struct world w;

	world_init(&w, 1, "v1", NULL);
	begin(&w, &caller, true);
	fixture_end_call(&caller);
	FIXTURE_WAIT(&w.v.f, w.v.f.upstreams[0].left);
	world_start_again(&w, 0, "v2");
	w.v.id = "r2";
	versions_call(&w.v, &caller, "/resume/", "r1", "2");
	for (int i = 0; i < 100 && !caller.done; i++)
		fixture_advance(&w.v.f, 10);
	g_assert_true(caller.done);
	g_assert_cmpint(caller.status, ==, 503);
	g_assert_cmpuint(fixture_n_requests(&w.v.f), ==, 1);
	fixture_end_call(&caller);
	world_deinit(&w);
}

/* The stream begins at the new process, which passes for the one before. */
static void test_begun_at_new_process(void)
{
	struct fixture_caller caller;
	struct world w;

	world_init(&w, 1, "v1", "v1");
	world_start_again(&w, 0, "v2");
	world_start_again(&w, 1, "v2");
	fixture_abort_response(&w.v.f.upstreams[begin(&w, &caller, false)]);
	expect_cut(&w, &caller, 1);
	world_deinit(&w);
}

/* The same process: a broken connection is no reason to end the stream. */
static void test_same_process(void)
{
	struct fixture_caller caller;
	struct world w;

	for (int is_known = 0; is_known < 2; is_known++) {
		world_init(&w, 1, "v1", NULL);
		begin(&w, &caller, is_known);
		fixture_abort_response(&w.v.f.upstreams[0]);
		expect_goes_on(&w, &caller, 0, "id: 3\ndata: c\n\n");
		world_deinit(&w);
	}
}

/* The store is away: only a connection from before tells the process. */
static void test_store_is_away(void)
{
	struct fixture_caller first, second;
	struct world w;
	int at;

	world_init(&w, 1, "v1", NULL);
	begin(&w, &first, true);
	w.is_away = true;
	fixture_abort_response(&w.v.f.upstreams[0]);
	expect_cut(&w, &first, 1);
	world_deinit(&w);

	world_init(&w, 1, "v1", "v1");
	at = begin(&w, &first, true);
	/* Leaves an idle connection to the other upstream. */
	versions_call(&w.v, &second, "/resume/", NULL, NULL);
	FIXTURE_WAIT(&w.v.f, w.v.f.upstreams[1 - at].request);
	versions_respond(&w.v, &w.v.f.upstreams[1 - at], FIRST_EVENT);
	FIXTURE_WAIT(&w.v.f, second.done);
	fixture_end_call(&second);
	world_read_and_wait(&w);
	w.is_away = true;
	fixture_abort_response(&w.v.f.upstreams[at]);
	expect_goes_on(&w, &first, 1 - at, "id: 3\ndata: c\n\n");
	world_deinit(&w);
}

/*
 * A version joins, and a stream of it is resumed at an entry that has not read
 * of it yet. Guards against a refusal though the stream can go on.
 */
static void test_joined_unseen(void)
{
	struct fixture_caller caller;
	struct world w;
	uint64_t origin;

	world_init(&w, 1, "v1", "v2");
	origin = ks_fleet_find(ks_gateway_fleet(w.v.entries[0]), KS_STR("u1"))
			 ->origin;
	ks_fleet_remove(ks_gateway_fleet(w.v.entries[0]), KS_STR("u1"));
	fixture_advance(&w.v.f, 10);
	ks_stream_origins_record(&w.v.entries[0]->origins, XXH64("r0", 2, 0),
				 origin, ks_loop_now(&w.v.f.loop));
	versions_call(&w.v, &caller, "/resume/", "r0", "2");
	expect_goes_on(&w, &caller, 1, "id: 3\ndata: c\n\n");
	world_deinit(&w);
}

/* The store returns from a copy that has the row of the process before. */
static void return_from_copy(struct world *w, int i, const char *software)
{
	w->is_away = true;
	w->now[i] = w->starts[i];
	w->starts[i]--;
	w->in_store[i] = software;
	world_put_rows(w, w->v.entries[0]);
}

/*
 * A process passes for the one before, as the store has returned from an older
 * copy, and the entry has a connection to it.
 */
static void test_older_copy(void)
{
	struct fixture_caller caller;
	struct world w;

	world_init(&w, 1, "v1", NULL);
	begin(&w, &caller, true);
	fixture_end_call(&caller);
	FIXTURE_WAIT(&w.v.f, w.v.f.upstreams[0].left);
	world_start_again(&w, 0, "v2");
	world_read_and_wait(&w);
	/* Leaves an idle connection to the second process. */
	w.v.id = "r3";
	versions_call(&w.v, &caller, "/resume/", NULL, NULL);
	FIXTURE_WAIT(&w.v.f, w.v.f.upstreams[0].request);
	versions_respond(&w.v, &w.v.f.upstreams[0], FIRST_EVENT);
	FIXTURE_WAIT(&w.v.f, caller.done);
	fixture_end_call(&caller);
	world_read_and_wait(&w);
	return_from_copy(&w, 0, "v1");
	w.v.id = "r2";
	versions_call(&w.v, &caller, "/resume/", "r1", "2");
	for (int i = 0; i < 100 && !caller.done; i++)
		fixture_advance(&w.v.f, 10);
	g_assert_cmpuint(fixture_n_requests(&w.v.f), ==, 2);
	g_assert_true(caller.done);
	g_assert_cmpint(caller.status, ==, 503);
	fixture_end_call(&caller);
	world_deinit(&w);
}

/*
 * A stream is claimed for a process whose row is gone and comes back with an
 * older copy of the store, while another process had begun the stream.
 */
static void test_claimed_before_older_copy(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct world w;
	int at;

	world_init(&w, 1, "v1", "v1");
	fixture_advance(&w.v.f, 10);
	versions_call(&w.v, &caller, "/resume/", NULL, NULL);
	upstream = fixture_wait_request(&w.v.f);
	at = versions_index(&w.v, upstream);
	world_start_again(&w, at, "v2");
	world_read_and_wait(&w);
	versions_start_response(&w.v, upstream);
	fixture_send(upstream, FIRST_EVENT);
	fixture_run_pending(&w.v.f);
	fixture_end_call(&caller);
	FIXTURE_WAIT(&w.v.f, upstream->left);
	world_allow_questions(&w);
	return_from_copy(&w, at, "v1");
	w.v.id = "r2";
	versions_call(&w.v, &caller, "/resume/", "r1", "1");
	for (int i = 0; i < 100 && !caller.done; i++)
		fixture_advance(&w.v.f, 10);
	g_assert_cmpuint(fixture_n_requests(&w.v.f), ==, 1);
	g_assert_true(caller.done);
	g_assert_cmpint(caller.status, ==, 503);
	fixture_end_call(&caller);
	world_deinit(&w);
}

/* Resumes r1 while others have upstreams asked all the time. */
static int resume_amid_questions(struct world *w, const char *asked)
{
	ks_gateway_t *gateway = w->v.entries[0];
	struct fixture_caller caller;
	int at = -1;

	w->v.id = "r2";
	versions_call(&w->v, &caller, "/resume/", "r1", "2");
	for (int i = 0; i < 1000 && at < 0 && !caller.done; i++) {
		struct fixture_upstream *next;

		fixture_advance(&w->v.f, 1);
		gateway_identify(gateway, ks_fleet_find(&gateway->fleet,
							ks_str_from(asked)));
		next = fixture_pending_upstream(&w->v.f);
		if (next)
			at = versions_index(&w->v, next);
	}
	if (at >= 0)
		versions_respond(&w->v, &w->v.f.upstreams[at],
				 "id: 3\ndata: c\n\n");
	FIXTURE_WAIT(&w->v.f, caller.done);
	fixture_end_call(&caller);
	return at;
}

/*
 * One of two upstreams does not say which process it is, and many requests
 * need to know. Guards against a wait for it until the stream is refused.
 */
static void test_mute_and_asked_often(void)
{
	for (int mute = 0; mute < 2; mute++) {
		struct fixture_caller caller;
		struct world w;
		int at;

		world_init(&w, 1, "v1", "v1");
		at = begin(&w, &caller, true);
		fixture_end_call(&caller);
		FIXTURE_WAIT(&w.v.f, w.v.f.upstreams[at].left);
		world_allow_questions(&w);
		w.is_away = true;
		w.is_mute[mute] = true;
		g_assert_cmpint(resume_amid_questions(&w, mute ? "u1" : "u0"),
				==, 1 - mute);
		world_deinit(&w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/restarted-process/within-response",
			test_within_response);
	g_test_add_func("/restarted-process/caller-resumes",
			test_caller_resumes);
	g_test_add_func("/restarted-process/begun-at-new-process",
			test_begun_at_new_process);
	g_test_add_func("/restarted-process/same-process", test_same_process);
	g_test_add_func("/restarted-process/store-is-away", test_store_is_away);
	g_test_add_func("/restarted-process/joined-unseen", test_joined_unseen);
	g_test_add_func("/restarted-process/older-copy", test_older_copy);
	g_test_add_func("/restarted-process/claimed-before-older-copy",
			test_claimed_before_older_copy);
	g_test_add_func("/restarted-process/mute-and-asked-often",
			test_mute_and_asked_often);
	return g_test_run();
}
