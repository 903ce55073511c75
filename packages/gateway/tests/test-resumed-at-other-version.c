/*
 * Guards against a stream that goes on, within one response, at another version
 * of the upstreams' software than the one that began it.
 */
#include "versions_fixture.h"

#define ROUNDS 12

static const char *software_of(const struct versions *v,
			       const struct fixture_upstream *upstream)
{
	return v->software[versions_index(v, upstream)];
}

/* The other upstream of the same version takes over, never the third one. */
static void test_other_upstream(void)
{
	struct versions v;

	versions_init(&v, 1);
	versions_put_app(&v, 0, "v1");
	versions_put_app(&v, 1, "v2");
	versions_put_app(&v, 2, "v1");
	for (int i = 0; i < ROUNDS; i++) {
		struct fixture_caller caller;
		struct fixture_upstream *next;
		int first;

		versions_call(&v, &caller, "/resume/", NULL, NULL);
		first = versions_begin(&v);
		fixture_abort_response(&v.f.upstreams[first]);
		next = fixture_wait_request(&v.f);
		g_assert_cmpstr(software_of(&v, next), ==, v.software[first]);
		fixture_respond(next, 200, false, "id: 2\ndata: b\n\n");
		FIXTURE_WAIT(&v.f, caller.done);
		g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
		g_assert_cmpstr(caller.body->str, ==,
				"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
		fixture_end_call(&caller);
		fixture_advance(&v.f, 10000);
	}
	versions_deinit(&v);
}

/* The only upstream of its version is asked again. */
static void test_same_upstream(void)
{
	struct versions v;
	struct fixture_caller caller;
	struct fixture_upstream *next;
	int first;

	versions_init(&v, 1);
	versions_put_app(&v, 0, "v1");
	versions_put_app(&v, 1, "v2");
	versions_call(&v, &caller, "/resume/", NULL, NULL);
	first = versions_begin(&v);
	fixture_abort_response(&v.f.upstreams[first]);
	next = fixture_wait_request(&v.f);
	g_assert_cmpint(versions_index(&v, next), ==, first);
	fixture_respond(next, 200, false, "id: 2\ndata: b\n\n");
	FIXTURE_WAIT(&v.f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	fixture_end_call(&caller);
	versions_deinit(&v);
}

/* The response is broken off at once, and nothing runs. */
static void test_none_left(void)
{
	struct versions v;
	struct fixture_caller caller;
	unsigned before;
	int first;

	versions_init(&v, 1);
	versions_put_app(&v, 0, "v1");
	versions_put_app(&v, 1, "v2");
	versions_call(&v, &caller, "/resume/", NULL, NULL);
	first = versions_begin(&v);
	before = fixture_n_requests(&v.f);
	versions_put(&v, first, "app", v.software[first], KS_STAGE_ANY, false);
	fixture_abort_response(&v.f.upstreams[first]);
	FIXTURE_WAIT(&v.f, caller.done || fixture_pending_upstream(&v.f));
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, before);
	g_assert_cmpint(caller.result, ==, KS_HTTP_INCOMPLETE);
	fixture_end_call(&caller);
	versions_deinit(&v);
}

/* The process that follows at the same id and address has other software. */
static void test_restarted_with_other_software(void)
{
	struct versions v;
	struct fixture_caller caller;
	unsigned before;
	int first;

	versions_init(&v, 1);
	versions_put_app(&v, 0, "v1");
	versions_call(&v, &caller, "/resume/", NULL, NULL);
	first = versions_begin(&v);
	before = fixture_n_requests(&v.f);
	v.starts++;
	versions_put_app(&v, first, "v2");
	fixture_abort_response(&v.f.upstreams[first]);
	FIXTURE_WAIT(&v.f, caller.done || fixture_pending_upstream(&v.f));
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, before);
	g_assert_cmpint(caller.result, ==, KS_HTTP_INCOMPLETE);
	fixture_end_call(&caller);
	versions_deinit(&v);
}

/* What has not begun may be served by any version. */
static void test_not_begun(void)
{
	struct versions v;
	struct fixture_caller caller;
	struct fixture_upstream *first, *next;

	versions_init(&v, 1);
	versions_put_app(&v, 0, "v1");
	versions_put_app(&v, 1, "v2");
	versions_call(&v, &caller, "/resume/", NULL, NULL);
	first = fixture_wait_request(&v.f);
	fixture_abort_response(first);
	next = fixture_wait_request(&v.f);
	g_assert_cmpstr(software_of(&v, next), !=, software_of(&v, first));
	fixture_respond(next, 200, false, "id: 1\ndata: a\n\n");
	FIXTURE_WAIT(&v.f, caller.done);
	g_assert_cmpint(caller.result, ==, KS_HTTP_COMPLETE);
	fixture_end_call(&caller);
	versions_deinit(&v);
}

/* Texts that are long and differ at their end, or are empty, are versions. */
static void test_unusual_texts(void)
{
	GString *a = g_string_new(NULL), *b = g_string_new(NULL);
	const char *pairs[3][2] = { { "", "v1" }, { "v1\n", "v1" } };

	for (int i = 0; i < 20000; i++)
		g_string_append_c(a, 'x');
	g_string_assign(b, a->str);
	b->str[b->len - 1] = 'y';
	pairs[2][0] = a->str;
	pairs[2][1] = b->str;
	for (int i = 0; i < 3; i++) {
		struct versions v;
		struct fixture_caller caller;
		struct fixture_upstream *next;
		int first;

		versions_init(&v, 1);
		versions_put_app(&v, 0, pairs[i][0]);
		versions_put_app(&v, 1, pairs[i][1]);
		versions_call(&v, &caller, "/resume/", NULL, NULL);
		first = versions_begin(&v);
		fixture_abort_response(&v.f.upstreams[first]);
		next = fixture_wait_request(&v.f);
		g_assert_cmpint(versions_index(&v, next), ==, first);
		fixture_end_call(&caller);
		versions_deinit(&v);
	}
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/resumed-at-other-version/other-upstream",
			test_other_upstream);
	g_test_add_func("/resumed-at-other-version/same-upstream",
			test_same_upstream);
	g_test_add_func("/resumed-at-other-version/none-left", test_none_left);
	g_test_add_func("/resumed-at-other-version/restarted",
			test_restarted_with_other_software);
	g_test_add_func("/resumed-at-other-version/not-begun", test_not_begun);
	g_test_add_func("/resumed-at-other-version/unusual-texts",
			test_unusual_texts);
	return g_test_run();
}
