/*
 * Upstreams that state a limit on the requests of all entries together.
 */
#include "limit_fixture.h"

#define LIMIT_TEXT "3.0"
#define LIMIT_PER_S 3.0

/* Announces three plain upstreams, of which the first will state a limit. */
static void init_app(struct limit_play *play, unsigned n_entries)
{
	limit_init(play, n_entries);
	for (unsigned i = 0; i < LIMIT_UPSTREAMS; i++)
		limit_announce(play, i, "app", KS_STAGE_ANY);
}

/*
 * Guards against entries that each send as much as before, or as much as the
 * limit, when they hear of it at different times.
 */
static void test_told_at_different_times(void)
{
	struct limit_play play;

	init_app(&play, 4);
	play.entries[0].per_s = 20;
	limit_run(&play, 1000);
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 2000);
	play.entries[1].per_s = 15;
	limit_run(&play, 2500);
	play.entries[2].per_s = 10;
	play.entries[0].per_s = 2;
	limit_run(&play, 3000);
	play.entries[3].per_s = 30;
	limit_run(&play, 8000);
	g_assert_cmpuint(limit_most(&play.upstreams[0]), <=,
			 limit_allowed(LIMIT_PER_S));
	for (unsigned i = 0; i < play.n_entries; i++) {
		g_assert_cmpuint(play.entries[i].refused, ==, 0);
		g_assert_cmpuint(play.entries[i].other, ==, 0);
	}
	limit_deinit(&play);
}

/* Guards against one entry that alone exceeds the limit. */
static void test_one_entry(void)
{
	struct limit_play play;

	init_app(&play, 1);
	play.entries[0].per_s = 40;
	limit_run(&play, 1000);
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 10000);
	g_assert_cmpuint(limit_most(&play.upstreams[0]), <=,
			 limit_allowed(LIMIT_PER_S));
	g_assert_cmpuint(play.entries[0].refused, ==, 0);
	limit_deinit(&play);
}

/*
 * Guards against prefill requests, and releases of KV cache handles that were
 * not used, which exceed the limit of a prefill engine.
 */
static void test_prefill_and_release(void)
{
	struct limit_play play;

	limit_init(&play, 2);
	limit_announce(&play, 0, "llm", KS_STAGE_PREFILL);
	limit_announce(&play, 1, "llm", KS_STAGE_DECODE);
	limit_announce(&play, 2, "llm", KS_STAGE_DECODE);
	for (unsigned i = 0; i < 2; i++) {
		play.entries[i].per_s = 12;
		play.entries[i].target = "/advise/";
	}
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 12000);
	g_assert_cmpuint(play.upstreams[0].arrived_ms->len, >, 0);
	g_assert_cmpuint(limit_most(&play.upstreams[0]), <=,
			 limit_allowed(LIMIT_PER_S));
	limit_deinit(&play);
}

/*
 * Guards against leaving a limit unused, whose share some entry does not need,
 * and against sending less to the other upstreams.
 */
static void test_limit_is_used_up(void)
{
	struct limit_play play;
	unsigned arrived;

	init_app(&play, 4);
	for (unsigned i = 0; i < play.n_entries; i++)
		play.entries[i].per_s = i ? 1 : 40;
	play.upstreams[0].limit = "8";
	limit_run(&play, 20000);
	arrived = limit_count(&play.upstreams[0], 10000, 20000);
	g_assert_cmpuint(arrived, >=, 60);
	g_assert_cmpuint(arrived, <=, 90);
	for (unsigned i = 0; i < play.n_entries; i++)
		g_assert_cmpuint(play.entries[i].refused, ==, 0);
	limit_deinit(&play);
}

/*
 * Guards against requests that wait, or go beyond the limits, when every
 * upstream states one, and against refusals without a time to return.
 */
static void test_every_upstream_states_a_limit(void)
{
	struct limit_play play;
	unsigned served = 0;

	init_app(&play, 3);
	for (unsigned i = 0; i < 3; i++) {
		play.entries[i].per_s = 10;
		play.upstreams[i].limit = LIMIT_TEXT;
	}
	limit_run(&play, 15000);
	for (unsigned i = 0; i < 3; i++) {
		g_assert_cmpuint(limit_most(&play.upstreams[i]), <=,
				 limit_allowed(LIMIT_PER_S));
		g_assert_cmpuint(play.entries[i].other, ==, 0);
		g_assert_cmpuint(play.entries[i].without_retry_after, ==, 0);
		g_assert_cmpuint(play.entries[i].refused, >, 0);
		served += play.entries[i].served;
	}
	g_assert_cmpuint(served, >=, 15 * 3 * 2);
	limit_deinit(&play);
}

/* Guards against a limit that outlasts the statement. */
static void test_limit_ends(void)
{
	struct limit_play play;

	init_app(&play, 3);
	for (unsigned i = 0; i < 3; i++)
		play.entries[i].per_s = 10;
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 6000);
	play.upstreams[0].limit = NULL;
	limit_run(&play, 10000);
	g_assert_cmpuint(limit_count(&play.upstreams[0], 12000, 16000), >=, 30);
	limit_deinit(&play);
}

/* Guards against a changed limit of which only some entries hear. */
static void test_limit_changes(void)
{
	struct limit_play play;

	init_app(&play, 4);
	for (unsigned i = 0; i < 4; i++)
		play.entries[i].per_s = 15;
	play.upstreams[0].limit = "30";
	limit_run(&play, 6000);
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 7500);
	g_assert_cmpuint(limit_count(&play.upstreams[0], 7500, 11500), <=,
			 limit_allowed(LIMIT_PER_S));
	limit_deinit(&play);
}

/* Guards against a limit that outlasts the process that stated it. */
static void test_restarted_upstream(void)
{
	struct limit_play play;

	init_app(&play, 2);
	for (unsigned i = 0; i < 2; i++)
		play.entries[i].per_s = 20;
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 5000);
	play.upstreams[0].limit = NULL;
	limit_announce(&play, 0, "app", KS_STAGE_ANY);
	limit_run(&play, 1000);
	g_assert_cmpuint(limit_count(&play.upstreams[0], 5000, 6000), >=, 8);
	limit_deinit(&play);
}

/*
 * Guards against an entry whose messages are lost: its share is used by the
 * others once it must have ended, and those that hear nobody keep theirs.
 */
static void test_silent_entry(void)
{
	struct limit_play play;

	init_app(&play, 4);
	for (unsigned i = 0; i < 4; i++)
		play.entries[i].per_s = 10;
	play.upstreams[0].limit = "8";
	limit_run(&play, 6000);
	play.entries[0].is_silent = true;
	play.entries[0].per_s = 0;
	limit_run(&play, 16000);
	g_assert_cmpuint(limit_count(&play.upstreams[0], 12000, 22000), >=, 60);
	for (unsigned i = 1; i < 4; i++)
		play.entries[i].is_silent = true;
	limit_run(&play, 10000);
	g_assert_cmpuint(limit_most(&play.upstreams[0]), <=, limit_allowed(8));
	limit_deinit(&play);
}

/* Guards against a field that is no number, which sets or ends a limit. */
static void test_nonsense(void)
{
	static const char *const texts[] = { "",    "-1",    "many", "1e9",
					     "nan", "3, 40", "0x7",  "3;q=1" };
	struct limit_play play;

	init_app(&play, 1);
	play.entries[0].per_s = 30;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		play.upstreams[0].limit = texts[i];
		limit_run(&play, 500);
	}
	g_assert_cmpuint(limit_count(&play.upstreams[0], 0, 4000), >=, 32);
	play.upstreams[0].limit = LIMIT_TEXT;
	limit_run(&play, 4000);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		play.upstreams[0].limit = texts[i];
		limit_run(&play, 1000);
	}
	g_assert_cmpuint(limit_count(&play.upstreams[0], 8000, 16000), <=,
			 3 * 8 + LIMIT_ALLOWANCE);
	limit_deinit(&play);
}

/*
 * Guards against a limit of 0 after which nothing tells that the upstream takes
 * requests again, and against one that is larger than any number of requests.
 */
static void test_extremes(void)
{
	struct limit_play play;

	init_app(&play, 1);
	play.entries[0].per_s = 30;
	play.upstreams[0].limit = "0";
	play.upstreams[1].limit = "99999999999999999999";
	limit_run(&play, 15000);
	g_assert_cmpuint(limit_count(&play.upstreams[0], 5000, 15000), >=, 1);
	g_assert_cmpuint(limit_count(&play.upstreams[0], 5000, 15000), <=, 2);
	g_assert_cmpuint(limit_count(&play.upstreams[1], 5000, 15000), >=, 90);
	g_assert_cmpuint(play.entries[0].refused, ==, 0);
	limit_deinit(&play);
}

/* Guards against many entries of which each has saved a request. */
static void test_burst_of_all_entries(void)
{
	struct limit_play play;

	init_app(&play, LIMIT_MAX_ENTRIES);
	for (unsigned i = 0; i < LIMIT_MAX_ENTRIES; i++)
		play.entries[i].per_s = 2;
	play.upstreams[0].limit = "0.2";
	limit_run(&play, 10000);
	for (unsigned i = 0; i < LIMIT_MAX_ENTRIES; i++)
		play.entries[i].per_s = 0;
	limit_run(&play, 60000);
	for (unsigned i = 0; i < LIMIT_MAX_ENTRIES; i++)
		play.entries[i].per_s = 50;
	limit_run(&play, 4000);
	g_assert_cmpuint(limit_most(&play.upstreams[0]), <=,
			 limit_allowed(0.2));
	limit_deinit(&play);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stated-limit/told-at-different-times",
			test_told_at_different_times);
	g_test_add_func("/stated-limit/one-entry", test_one_entry);
	g_test_add_func("/stated-limit/prefill-and-release",
			test_prefill_and_release);
	g_test_add_func("/stated-limit/limit-is-used-up",
			test_limit_is_used_up);
	g_test_add_func("/stated-limit/every-upstream-states-a-limit",
			test_every_upstream_states_a_limit);
	g_test_add_func("/stated-limit/limit-ends", test_limit_ends);
	g_test_add_func("/stated-limit/limit-changes", test_limit_changes);
	g_test_add_func("/stated-limit/restarted-upstream",
			test_restarted_upstream);
	g_test_add_func("/stated-limit/silent-entry", test_silent_entry);
	g_test_add_func("/stated-limit/nonsense", test_nonsense);
	g_test_add_func("/stated-limit/extremes", test_extremes);
	g_test_add_func("/stated-limit/burst-of-all-entries",
			test_burst_of_all_entries);
	return g_test_run();
}
