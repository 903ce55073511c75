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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stated-limit/told-at-different-times",
			test_told_at_different_times);
	g_test_add_func("/stated-limit/one-entry", test_one_entry);
	g_test_add_func("/stated-limit/prefill-and-release",
			test_prefill_and_release);
	return g_test_run();
}
