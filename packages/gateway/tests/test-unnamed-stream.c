/*
 * Streams whose caller resumes them without naming them. Guards against one
 * that goes on at another version of the upstreams' software than the one that
 * began it, as the entry sees only one version.
 */
#include "versions_fixture.h"

/* Streams of the route's timeout can still be resumed for this long. */
#define SETTLED_MS 20000

/* Resumes a stream without its name; returns whether it goes on. */
static bool goes_on(struct versions *v)
{
	struct fixture_caller caller;
	struct fixture_upstream *upstream;
	bool served;

	versions_call(v, &caller, "/resume/", NULL, "1");
	for (int i = 0; i < 200 && !caller.done; i++) {
		upstream = fixture_pending_upstream(&v->f);
		if (upstream)
			versions_respond(v, upstream, "id: 2\ndata: b\n\n");
		fixture_advance(&v->f, 10);
	}
	g_assert_true(caller.done);
	served = caller.status == 200;
	if (!served) {
		g_assert_cmpint(caller.status, ==, 503);
		g_assert_cmpstr(caller.retry_after->str, !=, "");
	}
	fixture_end_call(&caller);
	return served;
}

static void remove_upstream(struct versions *v, int i)
{
	char id[8];

	g_snprintf(id, sizeof(id), "u%d", i);
	for (unsigned j = 0; j < v->n_entries; j++)
		ks_fleet_remove(ks_gateway_fleet(v->entries[j]),
				ks_str_from(id));
}

static void settle(struct versions *v)
{
	versions_put_app(v, 0, "v1");
	for (unsigned i = 0; i < v->n_entries; i++)
		versions_read_members(v->entries[i], 0);
	fixture_advance(&v->f, SETTLED_MS);
}

/* All entries have just started, and know nothing of the time before. */
static void test_all_entries_restarted(void)
{
	struct versions v;

	versions_init(&v, 2);
	versions_put_app(&v, 0, "v2");
	g_assert_false(goes_on(&v));
	settle(&v);
	g_assert_true(goes_on(&v));
	versions_deinit(&v);
}

/* The upstreams of the other version have just left, or left the list. */
static void test_version_has_left(void)
{
	struct versions v;

	versions_init(&v, 1);
	settle(&v);
	g_assert_true(goes_on(&v));
	versions_put_app(&v, 1, "v2");
	fixture_advance(&v.f, SETTLED_MS);
	remove_upstream(&v, 0);
	g_assert_false(goes_on(&v));
	fixture_advance(&v.f, SETTLED_MS);
	g_assert_true(goes_on(&v));
	/* An upstream that drains still serves the streams that it began. */
	versions_put_app(&v, 0, "v1");
	fixture_advance(&v.f, SETTLED_MS);
	versions_put(&v, 0, "app", "v1", KS_STAGE_ANY, false);
	g_assert_false(goes_on(&v));
	versions_deinit(&v);
}

/* All upstreams have been replaced, each under its id. */
static void test_version_was_replaced(void)
{
	struct versions v;

	versions_init(&v, 1);
	settle(&v);
	v.starts = 2;
	versions_put_app(&v, 0, "v2");
	g_assert_false(goes_on(&v));
	versions_deinit(&v);
}

/* A version joined that this entry has not read of yet. */
static void read_other_version(void *ctx, int64_t within_us G_GNUC_UNUSED)
{
	struct versions *v = ctx;

	versions_put_app(v, 1, "v2");
	versions_read_members(v->entries[0], 0);
}

static void test_view_was_old(void)
{
	struct versions v;

	versions_init(&v, 1);
	settle(&v);
	ks_gateway_set_member_reader(v.entries[0], read_other_version, &v);
	g_assert_false(goes_on(&v));
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, 0);
	versions_deinit(&v);
}

static void read_nothing(void *ctx G_GNUC_UNUSED,
			 int64_t within_us G_GNUC_UNUSED)
{
}

/* What was read before the request came, and ends after it, is too old. */
static void test_store_is_away(void)
{
	struct versions v;
	struct fixture_caller caller;
	int64_t asked_us;

	versions_init(&v, 1);
	settle(&v);
	ks_gateway_set_member_reader(v.entries[0], read_nothing, NULL);
	asked_us = ks_loop_now(&v.f.loop);
	fixture_advance(&v.f, 10);
	versions_call(&v, &caller, "/resume/", NULL, "1");
	fixture_run_pending(&v.f);
	ks_gateway_members_read(v.entries[0], asked_us);
	fixture_advance(&v.f, 700);
	g_assert_false(caller.done);
	fixture_advance(&v.f, 150);
	FIXTURE_WAIT(&v.f, caller.done);
	g_assert_cmpint(caller.status, ==, 503);
	g_assert_cmpuint(fixture_n_requests(&v.f), ==, 0);
	fixture_end_call(&caller);
	versions_deinit(&v);
}

static void set_views(struct versions *v, unsigned entry, uint64_t digest)
{
	ks_peers_t *peers = ks_gateway_peers(v->entries[entry]);
	ks_view_t view = { 1, digest, ks_loop_now(&v->f.loop) };

	for (int i = 0; i < KS_N_TABLES; i++)
		ks_peers_set_view(peers, (ks_table_t)i, &view);
}

/* Starts entry 1 anew; it and the other have views of these digests. */
static bool goes_on_at_restarted(uint64_t digest, uint64_t other_digest)
{
	struct versions v;
	bool served;

	versions_init(&v, 2);
	settle(&v);
	versions_end_entry(&v, 1);
	versions_start_entry(&v, 1);
	versions_introduce(&v, 1, 0);
	versions_put_app(&v, 0, "v1");
	versions_read_members(v.entries[1], 0);
	set_views(&v, 0, other_digest);
	set_views(&v, 1, digest);
	fixture_advance(&v.f, 3000);
	v.f.gateway = v.entries[1];
	served = goes_on(&v);
	versions_deinit(&v);
	return served;
}

/* Another entry with the same view knows the time before a restart. */
static void test_other_entry_knows(void)
{
	g_assert_true(goes_on_at_restarted(7, 7));
	g_assert_false(goes_on_at_restarted(7, 8));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/unnamed-stream/all-entries-restarted",
			test_all_entries_restarted);
	g_test_add_func("/unnamed-stream/version-has-left",
			test_version_has_left);
	g_test_add_func("/unnamed-stream/version-was-replaced",
			test_version_was_replaced);
	g_test_add_func("/unnamed-stream/view-was-old", test_view_was_old);
	g_test_add_func("/unnamed-stream/store-is-away", test_store_is_away);
	g_test_add_func("/unnamed-stream/other-entry-knows",
			test_other_entry_knows);
	return g_test_run();
}
