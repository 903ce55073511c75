/* Tests of when an upstream accepts requests and when it is drained. */
#include "ks/upstream.h"

#define SEC KS_USEC_PER_SEC

static void make_ready(ks_drain_t *drain)
{
	ks_drain_init(drain);
	ks_drain_set_snapshot(drain, true);
	g_assert_true(ks_drain_is_accepting(drain));
}

/* Guards against accepting requests before a snapshot is in force. */
static void test_refuses_without_snapshot(void)
{
	ks_drain_t drain;

	ks_drain_init(&drain);
	g_assert_false(ks_drain_is_accepting(&drain));
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_UNKNOWN);
	ks_drain_set_snapshot(&drain, true);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_READY);
}

/* Guards against a reason to leave that is not announced. */
static void test_each_reason_is_announced_as_leaving(void)
{
	ks_drain_t drain;

	make_ready(&drain);
	ks_drain_set_snapshot(&drain, false);
	g_assert_cmpint(ks_drain_reason(&drain), ==, KS_DRAIN_WITHDRAWN);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_LEAVING);

	make_ready(&drain);
	ks_drain_set_host_list(&drain, true, SEC);
	g_assert_cmpint(ks_drain_reason(&drain), ==, KS_DRAIN_HOST_LEAVING);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_LEAVING);

	make_ready(&drain);
	ks_drain_note_leaving_seen(&drain, SEC);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_LEAVING);

	make_ready(&drain);
	ks_drain_stop(&drain);
	g_assert_cmpint(ks_drain_reason(&drain), ==, KS_DRAIN_STOPPING);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_LEAVING);
}

/* Guards against a change that hides a withdrawal or that does not end. */
static void test_change_is_undone_and_ranks_below_leaving(void)
{
	ks_drain_t drain;

	make_ready(&drain);
	ks_drain_set_changing(&drain, true);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_CHANGING);
	ks_drain_set_snapshot(&drain, false);
	g_assert_cmpint(ks_drain_state(&drain), ==, KS_UPSTREAM_LEAVING);
	ks_drain_set_snapshot(&drain, true);
	ks_drain_set_changing(&drain, false);
	g_assert_true(ks_drain_is_accepting(&drain));
}

/*
 * Guards against a stale host list that overrides an entry's newer report that
 * the host is leaving, and against an incorrect report that is never cleared.
 */
static void test_report_of_entry_outlasts_stale_host_list(void)
{
	ks_drain_t drain;

	make_ready(&drain);
	ks_drain_note_leaving_seen(&drain, 100 * SEC);
	ks_drain_set_host_list(&drain, false, 99 * SEC);
	g_assert_false(ks_drain_is_accepting(&drain));
	ks_drain_set_host_list(&drain, false,
			       100 * SEC + KS_DRAIN_REPORT_HOLD_US);
	g_assert_false(ks_drain_is_accepting(&drain));
	ks_drain_set_host_list(&drain, false,
			       100 * SEC + KS_DRAIN_REPORT_HOLD_US + 1);
	g_assert_true(ks_drain_is_accepting(&drain));
}

/* Guards against stopping while a request is in flight. */
static void test_drained_only_when_nothing_is_in_flight(void)
{
	ks_drain_t drain;

	make_ready(&drain);
	ks_drain_begin(&drain);
	ks_drain_begin(&drain);
	g_assert_false(ks_drain_is_drained(&drain));
	ks_drain_stop(&drain);
	g_assert_false(ks_drain_is_drained(&drain));
	ks_drain_end(&drain);
	g_assert_false(ks_drain_is_drained(&drain));
	ks_drain_end(&drain);
	g_assert_true(ks_drain_is_drained(&drain));
}

/* Guards against reporting an idle upstream that accepts requests as drained.
 */
static void test_idle_upstream_is_not_drained(void)
{
	ks_drain_t drain;

	make_ready(&drain);
	g_assert_false(ks_drain_is_drained(&drain));
}

/* Guards against a stop that a later event cancels. */
static void test_stop_is_final(void)
{
	ks_drain_t drain;

	make_ready(&drain);
	ks_drain_stop(&drain);
	ks_drain_set_snapshot(&drain, true);
	ks_drain_set_host_list(&drain, false, 1000 * SEC);
	ks_drain_set_changing(&drain, false);
	g_assert_false(ks_drain_is_accepting(&drain));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain/no-snapshot", test_refuses_without_snapshot);
	g_test_add_func("/drain/reasons",
			test_each_reason_is_announced_as_leaving);
	g_test_add_func("/drain/change",
			test_change_is_undone_and_ranks_below_leaving);
	g_test_add_func("/drain/report-of-entry",
			test_report_of_entry_outlasts_stale_host_list);
	g_test_add_func("/drain/in-flight",
			test_drained_only_when_nothing_is_in_flight);
	g_test_add_func("/drain/idle", test_idle_upstream_is_not_drained);
	g_test_add_func("/drain/stop", test_stop_is_final);
	return g_test_run();
}
