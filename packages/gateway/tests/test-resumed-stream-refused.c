/*
 * Guards against streams that their callers resume and that are refused, though
 * it can be known which version of the upstreams' software began them.
 */
#include "processes_fixture.h"

/* Begins a stream at an entry, on a new connection; returns its upstream. */
static int begin(struct world *w, unsigned entry, struct fixture_caller *caller)
{
	fixture_advance(&w->v.f, 10);
	w->v.f.gateway = w->v.entries[entry];
	w->v.id = "r1";
	versions_call(&w->v, caller, "/resume/", NULL, NULL);
	return versions_begin(&w->v);
}

/* The stream breaks off before any entry has read the rows again. */
static void lose(struct world *w, int at, struct fixture_caller *caller)
{
	fixture_run_pending(&w->v.f);
	fixture_end_call(caller);
	FIXTURE_WAIT(&w->v.f, w->v.f.upstreams[at].left);
}

/* Begins a stream at an entry, and loses it before its origin is known. */
static int begin_and_lose(struct world *w, unsigned entry)
{
	struct fixture_caller caller;
	int at = begin(w, entry, &caller);

	lose(w, at, &caller);
	return at;
}

/* Messages between entries take time while the clock of the test stands. */
static void let_entries_talk(struct world *w)
{
	for (int i = 0; i < 10; i++)
		fixture_run_once(&w->v.f);
}

/* Resumes the stream; returns the upstream that it goes on at, -1 for none. */
static int resume(struct world *w, unsigned entry)
{
	struct fixture_caller caller;
	int at = -1;

	w->v.f.gateway = w->v.entries[entry];
	w->v.id = "r2";
	versions_call(&w->v, &caller, "/resume/", "r1", "1");
	for (int i = 0; i < 200 && !caller.done; i++) {
		struct fixture_upstream *next =
			fixture_pending_upstream(&w->v.f);

		let_entries_talk(w);
		fixture_advance(&w->v.f, 10);
		if (!next)
			continue;
		at = versions_index(&w->v, next);
		versions_respond(&w->v, next, "id: 2\ndata: b\n\n");
		FIXTURE_WAIT(&w->v.f, caller.done);
		g_assert_cmpint(caller.status, ==, 200);
	}
	g_assert_true(caller.done);
	if (at < 0)
		g_assert_cmpint(caller.status, ==, 503);
	fixture_end_call(&caller);
	return at;
}

static void expect_same_version(struct world *w, int first, int next)
{
	g_assert_cmpint(next, >=, 0);
	g_assert_cmpstr(w->v.software[next], ==, w->v.software[first]);
}

/* The stream is lost before the rows are read again. */
static void test_lost_before_read(void)
{
	for (unsigned resumes = 0; resumes < 4; resumes++) {
		struct world w;
		int first;

		world_init(&w, 4, "v1", "v2");
		first = begin_and_lose(&w, 0);
		expect_same_version(&w, first, resume(&w, resumes));
		world_deinit(&w);
	}
}

/* The rows are read again after the end of the stream, and before it is
 * resumed.
 */
static void test_lost_and_read(void)
{
	for (unsigned resumes = 0; resumes < 4; resumes++) {
		struct world w;
		int first;

		world_init(&w, 4, "v1", "v2");
		first = begin_and_lose(&w, 0);
		world_read_and_wait(&w);
		expect_same_version(&w, first, resume(&w, resumes));
		world_deinit(&w);
	}
}

/* The entry ends right after the stream began there. */
static void test_lost_with_its_entry(void)
{
	struct world w;
	int first;

	world_init(&w, 4, "v1", "v2");
	first = begin_and_lose(&w, 0);
	world_end_entry(&w, 0);
	expect_same_version(&w, first, resume(&w, 2));
	world_deinit(&w);
}

/* The process is known only until another one follows it. */
static void test_known_before_replaced(void)
{
	struct world w;
	int first;

	world_init(&w, 2, "v1", "v2");
	first = begin_and_lose(&w, 0);
	world_read_and_wait(&w);
	world_start_again(&w, first, "v3");
	w.in_store[2] = first ? "v2" : "v1";
	world_read_and_wait(&w);
	expect_same_version(&w, 2, resume(&w, 1));
	world_deinit(&w);
}

/* Another process follows before the rows are read: either may have begun it.
 */
static void test_replaced_before_read(void)
{
	struct world w;
	int first;

	world_init(&w, 2, "v1", "v2");
	first = begin_and_lose(&w, 0);
	world_start_again(&w, first, "v3");
	w.in_store[2] = first ? "v2" : "v1";
	world_read_and_wait(&w);
	g_assert_cmpint(resume(&w, 1), ==, -1);
	g_assert_cmpint(resume(&w, 0), ==, -1);
	world_deinit(&w);
}

/* The store is away from before the stream begins. */
static void test_store_away(void)
{
	for (unsigned resumes = 0; resumes < 4; resumes++) {
		struct world w;
		int first;

		world_init(&w, 4, "v1", "v2");
		world_allow_questions(&w);
		w.is_away = true;
		first = begin_and_lose(&w, 0);
		fixture_advance(&w.v.f, 3000);
		expect_same_version(&w, first, resume(&w, resumes));
		world_deinit(&w);
	}
}

/* The entry sends a stream again that breaks off while the store is away. */
static void test_store_away_within_response(void)
{
	struct fixture_caller caller;
	struct fixture_upstream *next = NULL;
	struct world w;
	int first;

	world_init(&w, 1, "v1", "v2");
	w.in_store[2] = "v1";
	world_read_and_wait(&w);
	world_allow_questions(&w);
	w.is_away = true;
	first = begin(&w, 0, &caller);
	fixture_abort_response(&w.v.f.upstreams[first]);
	for (int i = 0; i < 100 && !next; i++) {
		fixture_advance(&w.v.f, 10);
		next = fixture_pending_upstream(&w.v.f);
	}
	g_assert_nonnull(next);
	expect_same_version(&w, first, versions_index(&w.v, next));
	versions_respond(&w.v, next, "id: 2\ndata: b\n\n");
	FIXTURE_WAIT(&w.v.f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	fixture_end_call(&caller);
	world_deinit(&w);
}

/* While the store is away, processes are followed by ones of another version.
 */
static void test_store_away_and_replaced(void)
{
	struct world w;
	int first;

	world_init(&w, 2, "v1", "v1");
	world_allow_questions(&w);
	w.is_away = true;
	first = begin_and_lose(&w, 0);
	fixture_advance(&w.v.f, 500);
	/* Not the one that began it: the other one has its version. */
	w.now[1 - first] = 2;
	expect_same_version(&w, first, resume(&w, 1));
	w.now[first] = 2;
	/* This entry has no connection to the process that was there before. */
	g_assert_cmpint(resume(&w, 0), ==, -1);
	g_assert_cmpuint(fixture_n_requests(&w.v.f), ==, 2);
	world_deinit(&w);
}

/* The stream begins at a process that the entry does not know. */
static void test_store_away_and_begun_at_other(void)
{
	struct world w;

	world_init(&w, 2, "v1", "v1");
	world_allow_questions(&w);
	w.is_away = true;
	w.now[0] = w.now[1] = 2;
	begin_and_lose(&w, 0);
	g_assert_cmpint(resume(&w, 1), ==, -1);
	g_assert_cmpint(resume(&w, 0), ==, -1);
	world_deinit(&w);
}

/* An upstream does not say which process it is, and another one does. */
static void test_one_mute(void)
{
	for (int mute = 0; mute < 2; mute++) {
		struct world w;

		world_init(&w, 1, "v1", "v1");
		begin_and_lose(&w, 0);
		world_read_and_wait(&w);
		world_allow_questions(&w);
		w.is_away = true;
		w.is_mute[mute] = true;
		g_assert_cmpint(resume(&w, 0), ==, 1 - mute);
		world_deinit(&w);
	}
}

/* The only upstream does not say which process it is, and later it does. */
static void test_mute(void)
{
	struct world w;

	world_init(&w, 1, "v1", NULL);
	world_allow_questions(&w);
	w.is_away = true;
	w.is_mute[0] = true;
	begin_and_lose(&w, 0);
	g_assert_cmpint(resume(&w, 0), ==, -1);
	w.is_mute[0] = false;
	g_assert_cmpint(resume(&w, 0), ==, 0);
	world_deinit(&w);
}

/* The route's timeout. */
#define TIMEOUT_MS 10000

/*
 * Resumes a stream that no entry knows, as after a loss of all that knew it.
 * Returns whether it goes on.
 */
static bool resume_forgotten(struct world *w, const char *left_ms)
{
	static unsigned n_forgotten;
	char first[32];
	ks_header_t extra[] = { { KS_STR("last-event-id"), KS_STR("1") },
				{ KS_STR("x-resumes"), { NULL, 0 } },
				{ KS_STR("x-left"), ks_str_from(left_ms) } };
	struct fixture_caller caller;
	bool goes_on = false;

	g_snprintf(first, sizeof(first), "forgotten-%u", n_forgotten++);
	extra[1].value = ks_str_from(first);
	w->v.f.gateway = w->v.entries[0];
	fixture_call_as(&w->v.f, &caller, w->v.id = "r2", "POST", "/resume/",
			"prompt", extra, G_N_ELEMENTS(extra));
	for (int i = 0; i < 200 && !caller.done; i++) {
		struct fixture_upstream *next =
			fixture_pending_upstream(&w->v.f);

		let_entries_talk(w);
		fixture_advance(&w->v.f, 10);
		goes_on |= next != NULL;
		if (next)
			versions_respond(&w->v, next, "id: 2\ndata: b\n\n");
	}
	g_assert_true(caller.done);
	g_assert_cmpint(caller.status, ==, goes_on ? 200 : 503);
	fixture_end_call(&caller);
	return goes_on;
}

/* Entries that have known one version for @settled_ms. */
static void init_settled(struct world *w, int settled_ms)
{
	world_init(w, 2, "v1", "v1");
	world_read_and_wait(w);
	fixture_advance(&w->v.f, settled_ms);
}

/* One version has served since before the stream can have begun. */
static void test_forgotten(void)
{
	struct world w;

	init_settled(&w, 4000);
	/* It began a second ago at most. */
	g_assert_true(resume_forgotten(&w, "9000"));
	world_deinit(&w);
}

/* The stream may be older than what the entry knows of the versions. */
static void test_forgotten_long_ago(void)
{
	struct world w;

	init_settled(&w, 4000);
	g_assert_false(resume_forgotten(&w, "1500"));
	g_assert_false(resume_forgotten(&w, "no number"));
	fixture_advance(&w.v.f, 2 * TIMEOUT_MS);
	g_assert_true(resume_forgotten(&w, "1500"));
	g_assert_true(resume_forgotten(&w, "no number"));
	world_deinit(&w);
}

/* Callers wait for longer than the route's timeout. */
static void test_forgotten_long_wait(void)
{
	struct world w;

	init_settled(&w, 4000);
	g_assert_true(resume_forgotten(&w, "20000"));
	g_assert_false(resume_forgotten(&w, "9000"));
	world_deinit(&w);
}

/* Another version served when the stream may have begun, or does now. */
static void test_forgotten_other_version(void)
{
	struct world w;

	init_settled(&w, 4000);
	w.in_store[1] = "v2";
	g_assert_false(resume_forgotten(&w, "9000"));
	fixture_advance(&w.v.f, 4000);
	w.in_store[1] = "v1";
	w.starts[1]++;
	world_read_and_wait(&w);
	g_assert_false(resume_forgotten(&w, "9000"));
	fixture_advance(&w.v.f, 4000);
	world_read_and_wait(&w);
	g_assert_true(resume_forgotten(&w, "9000"));
	world_deinit(&w);
}

/* The store, which could show another version, is away. */
static void test_forgotten_store_away(void)
{
	struct world w;

	init_settled(&w, 4000);
	w.is_away = true;
	g_assert_false(resume_forgotten(&w, "9000"));
	world_deinit(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/resumed-stream-refused/lost-before-read",
			test_lost_before_read);
	g_test_add_func("/resumed-stream-refused/lost-and-read",
			test_lost_and_read);
	g_test_add_func("/resumed-stream-refused/lost-with-its-entry",
			test_lost_with_its_entry);
	g_test_add_func("/resumed-stream-refused/known-before-replaced",
			test_known_before_replaced);
	g_test_add_func("/resumed-stream-refused/replaced-before-read",
			test_replaced_before_read);
	g_test_add_func("/resumed-stream-refused/store-away", test_store_away);
	g_test_add_func("/resumed-stream-refused/store-away-within-response",
			test_store_away_within_response);
	g_test_add_func("/resumed-stream-refused/store-away-and-replaced",
			test_store_away_and_replaced);
	g_test_add_func("/resumed-stream-refused/store-away-and-begun-at-other",
			test_store_away_and_begun_at_other);
	g_test_add_func("/resumed-stream-refused/one-mute", test_one_mute);
	g_test_add_func("/resumed-stream-refused/mute", test_mute);
	g_test_add_func("/resumed-stream-refused/forgotten", test_forgotten);
	g_test_add_func("/resumed-stream-refused/forgotten-long-ago",
			test_forgotten_long_ago);
	g_test_add_func("/resumed-stream-refused/forgotten-long-wait",
			test_forgotten_long_wait);
	g_test_add_func("/resumed-stream-refused/forgotten-other-version",
			test_forgotten_other_version);
	g_test_add_func("/resumed-stream-refused/forgotten-store-away",
			test_forgotten_store_away);
	return g_test_run();
}
