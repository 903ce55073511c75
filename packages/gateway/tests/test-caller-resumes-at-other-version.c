/*
 * Guards against a stream that its caller resumes and that goes on at another
 * version of the upstreams' software than the one that began it.
 */
#include "versions_fixture.h"

#define ROUNDS 12

/* Begins a stream at an entry, and lets the caller disconnect. */
static int begin_and_leave(struct versions *v, unsigned entry, const char *id)
{
	struct fixture_caller caller;
	int first;

	v->f.gateway = v->entries[entry];
	v->id = id;
	versions_call(v, &caller, "/resume/", NULL, NULL);
	first = versions_begin(v);
	fixture_run_pending(&v->f);
	fixture_end_call(&caller);
	FIXTURE_WAIT(&v->f, v->f.upstreams[first].left);
	return first;
}

/* Resumes a stream; returns the upstream that it goes on at, -1 for none. */
static int resume(struct versions *v, unsigned entry, const char *id,
		  const char *resumes)
{
	struct fixture_caller caller;
	struct fixture_upstream *upstream;
	int next = -1;

	v->f.gateway = v->entries[entry];
	v->id = id;
	versions_call(v, &caller, "/resume/", resumes, "1");
	FIXTURE_WAIT(&v->f, caller.done || fixture_pending_upstream(&v->f));
	upstream = fixture_pending_upstream(&v->f);
	if (upstream) {
		next = versions_index(v, upstream);
		versions_respond(v, upstream, "id: 2\ndata: b\n\n");
		FIXTURE_WAIT(&v->f, caller.done);
		g_assert_cmpint(caller.status, ==, 200);
	} else {
		g_assert_cmpint(caller.status, ==, 503);
		g_assert_cmpstr(caller.retry_after->str, !=, "");
	}
	fixture_end_call(&caller);
	return next;
}

static void init(struct versions *v, unsigned n_entries)
{
	versions_init(v, n_entries);
	versions_put_app(v, 0, "v1");
	versions_put_app(v, 1, "v2");
	versions_put_app(v, 2, "v1");
}

static void check_rounds(unsigned n_entries, unsigned begins, unsigned resumes)
{
	struct versions v;
	char first_id[16], next_id[16];

	init(&v, n_entries);
	for (int i = 0; i < ROUNDS; i++) {
		int first, next;

		g_snprintf(first_id, sizeof(first_id), "first-%d", i);
		g_snprintf(next_id, sizeof(next_id), "next-%d", i);
		first = begin_and_leave(&v, begins, first_id);
		next = resume(&v, resumes, next_id, first_id);
		g_assert_cmpint(next, >=, 0);
		g_assert_cmpstr(v.software[next], ==, v.software[first]);
	}
	versions_deinit(&v);
}

static void test_same_entry(void)
{
	check_rounds(1, 0, 0);
}

static void test_other_entry(void)
{
	check_rounds(2, 0, 1);
}

static void test_one_of_four_entries(void)
{
	check_rounds(4, 2, 0);
}

/* The entry that began the stream has ended. */
static void test_after_the_end_of_its_entry(void)
{
	struct versions v;
	int first, next;

	init(&v, 3);
	first = begin_and_leave(&v, 0, "first");
	versions_end_entry(&v, 0);
	next = resume(&v, 2, "second", "first");
	g_assert_cmpint(next, >=, 0);
	g_assert_cmpstr(v.software[next], ==, v.software[first]);
	next = resume(&v, 1, "third", "first");
	g_assert_cmpint(next, >=, 0);
	g_assert_cmpstr(v.software[next], ==, v.software[first]);
	versions_deinit(&v);
}

/* Each try names the request that brought the first event. */
static void test_several_tries(void)
{
	struct versions v;
	int first, next;

	init(&v, 2);
	first = begin_and_leave(&v, 0, "first");
	for (int i = 0; i < ROUNDS; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "try-%d", i);
		next = resume(&v, i % 2, id, "first");
		g_assert_cmpint(next, >=, 0);
		g_assert_cmpstr(v.software[next], ==, v.software[first]);
		/* Tries go on for longer than a record is kept. */
		fixture_advance(&v.f, 30000);
	}
	versions_deinit(&v);
}

/* Nothing runs, and the caller is told so. */
static void test_unknown_stream(void)
{
	struct versions v;
	unsigned before;

	init(&v, 2);
	before = fixture_n_requests(&v.f);
	g_assert_cmpint(resume(&v, 0, "second", "unheard-of"), ==, -1);
	g_assert_cmpint(resume(&v, 0, "third", NULL), ==, -1);
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, before);
	versions_deinit(&v);
}

/*
 * A caller that does not say what it resumes is served by the only version,
 * once that has been the only one for longer than a stream lasts.
 */
static void test_one_version(void)
{
	struct versions v;

	versions_init(&v, 1);
	versions_put_app(&v, 0, "v1");
	versions_put_app(&v, 1, "v1");
	g_assert_cmpint(resume(&v, 0, "first", NULL), ==, -1);
	fixture_advance(&v.f, 20000);
	g_assert_cmpint(resume(&v, 0, "second", NULL), >=, 0);
	versions_deinit(&v);
}

/* No upstream of the version is left. */
static void test_none_left(void)
{
	struct versions v;
	int first;

	versions_init(&v, 2);
	versions_put_app(&v, 0, "v1");
	versions_put_app(&v, 1, "v2");
	first = begin_and_leave(&v, 0, "first");
	versions_put(&v, first, "app", v.software[first], KS_STAGE_ANY, false);
	g_assert_cmpint(resume(&v, 0, "second", "first"), ==, -1);
	g_assert_cmpint(resume(&v, 1, "third", "first"), ==, -1);
	versions_put(&v, first, "app", v.software[first], KS_STAGE_ANY, true);
	g_assert_cmpint(resume(&v, 1, "fourth", "first"), ==, first);
	versions_deinit(&v);
}

/* Entries that do not answer are not waited for until the deadline. */
static void test_silent_entry(void)
{
	struct versions v;
	struct fixture_caller caller;

	init(&v, 2);
	versions_end_entry(&v, 1);
	v.f.gateway = v.entries[0];
	versions_call(&v, &caller, "/resume/", "first", "1");
	fixture_run_pending(&v.f);
	g_assert_false(caller.done);
	fixture_advance(&v.f, 200);
	FIXTURE_WAIT(&v.f, caller.done);
	g_assert_cmpint(caller.status, ==, 503);
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, 0);
	fixture_end_call(&caller);
	versions_deinit(&v);
}

/* A caller that disconnects while others are asked. */
static void test_caller_leaves_meanwhile(void)
{
	struct versions v;
	struct fixture_caller caller;

	init(&v, 2);
	versions_end_entry(&v, 1);
	v.f.gateway = v.entries[0];
	versions_call(&v, &caller, "/resume/", "first", "1");
	fixture_run_pending(&v.f);
	fixture_end_call(&caller);
	fixture_run_pending(&v.f);
	fixture_advance(&v.f, 400);
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, 0);
	versions_deinit(&v);
}

static void apply_split(struct versions *v, int64_t version, unsigned weight)
{
	ks_traffic_t *traffic = ks_traffic_new(version);
	ks_route_t *route;

	ks_traffic_add_service(traffic, KS_STR("app"));
	ks_traffic_add_service(traffic, KS_STR("new-app"));
	route = ks_traffic_add_route(traffic, KS_STR("r"),
				     KS_STR("shop.example"),
				     KS_STR("/resume/"));
	route->kind = KS_CALL_STREAM;
	route->resumable = true;
	route->timeout_us = 10 * KS_USEC_PER_SEC;
	route->max_attempts = 2;
	ks_route_add_split(route, KS_STR("app"), weight);
	ks_route_add_split(route, KS_STR("new-app"), 10);
	ks_gateway_apply(v->entries[0], traffic);
	ks_gateway_confirm(v->entries[0]);
	ks_traffic_unref(traffic);
}

/* A route that is split: the stream goes on at the service that began it. */
static void test_split_route(void)
{
	struct versions v;
	char id[16];

	versions_init(&v, 1);
	apply_split(&v, 2, 10);
	versions_put(&v, 0, "app", "v1", KS_STAGE_ANY, true);
	versions_put(&v, 1, "new-app", "v1", KS_STAGE_ANY, true);
	for (int i = 0; i < ROUNDS; i++) {
		int first;

		g_snprintf(id, sizeof(id), "first-%d", i);
		first = begin_and_leave(&v, 0, id);
		g_assert_cmpint(resume(&v, 0, "next", id), ==, first);
	}
	/* The route does not lead to the first service any more. */
	while (begin_and_leave(&v, 0, "last") != 0)
		;
	apply_split(&v, 3, 0);
	g_assert_cmpint(resume(&v, 0, "next", "last"), ==, -1);
	versions_deinit(&v);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller-resumes-at-other-version/same-entry",
			test_same_entry);
	g_test_add_func("/caller-resumes-at-other-version/other-entry",
			test_other_entry);
	g_test_add_func("/caller-resumes-at-other-version/four-entries",
			test_one_of_four_entries);
	g_test_add_func("/caller-resumes-at-other-version/entry-ended",
			test_after_the_end_of_its_entry);
	g_test_add_func("/caller-resumes-at-other-version/several-tries",
			test_several_tries);
	g_test_add_func("/caller-resumes-at-other-version/unknown-stream",
			test_unknown_stream);
	g_test_add_func("/caller-resumes-at-other-version/one-version",
			test_one_version);
	g_test_add_func("/caller-resumes-at-other-version/none-left",
			test_none_left);
	g_test_add_func("/caller-resumes-at-other-version/silent-entry",
			test_silent_entry);
	g_test_add_func("/caller-resumes-at-other-version/caller-leaves",
			test_caller_leaves_meanwhile);
	g_test_add_func("/caller-resumes-at-other-version/split-route",
			test_split_route);
	return g_test_run();
}
