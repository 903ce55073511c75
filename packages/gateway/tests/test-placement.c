/* Tests of where requests are sent, without input or output. */
#include "fleet_fixture.h"

/* Tokens of this entry's requests that an engine keeps. */
#define KEPT 100000

/* The shared part only, as another request with it leaves it behind. */
static void note_shared(ks_member_t *member, const ks_prompt_t *prompt)
{
	ks_prompt_t shared = *prompt;

	shared.n_parts--;
	ks_member_record_cached(member, &shared, KEPT, SECOND);
}

struct placed {
	ks_fleet_t fleet;
	ks_member_t *reader;
	ks_member_t *generators[2];
	ks_service_t service;
	ks_prompt_t prompt;
	ks_placement_query_t query;
	GPtrArray *avoid;
};

static void init_placed(struct placed *p, const char *parts)
{
	memset(p, 0, sizeof(*p));
	ks_fleet_init(&p->fleet);
	p->reader = put(&p->fleet, "reader", KS_STAGE_PREFILL, 1);
	p->generators[0] = put(&p->fleet, "gen0", KS_STAGE_DECODE, 1);
	p->generators[1] = put(&p->fleet, "gen1", KS_STAGE_DECODE, 1);
	p->service.fetches_kv = true;
	p->avoid = g_ptr_array_new();
	g_assert_true(ks_prompt_parse(&p->prompt, ks_str_from(parts)));
	p->query = (ks_placement_query_t){ .service = &p->service,
					   .prompt = &p->prompt,
					   .domain = "d1",
					   .avoid = p->avoid,
					   .may_split = true,
					   .cache_tokens = KEPT,
					   .now_us = SECOND };
}

static ks_placement_t place(const struct placed *p)
{
	GPtrArray *members = ks_fleet_members(&p->fleet, "llm");
	ks_placement_t placement = ks_placement_choose(members, &p->query);

	g_ptr_array_free(members, TRUE);
	return placement;
}

static void deinit_placed(struct placed *p)
{
	g_ptr_array_free(p->avoid, TRUE);
	ks_fleet_deinit(&p->fleet);
}

/* Guards against long prompts read between the tokens of other streams. */
static void test_long_prompt_is_split(void)
{
	struct placed p;

	init_placed(&p, "aa:13000,bb:4000");
	g_assert_true(place(&p).prefill == p.reader);
	g_assert_nonnull(place(&p).run);
	p.query.may_split = false;
	g_assert_null(place(&p).prefill);
	g_assert_nonnull(place(&p).run);
	deinit_placed(&p);
}

/* Guards against the detour for a prompt that is nearly all cached. */
static void test_cached_prompt_runs_where_it_is(void)
{
	struct placed p;

	init_placed(&p, "aa:13000,bb:50");
	note_shared(p.generators[0], &p.prompt);
	note_shared(p.generators[1], &p.prompt);
	g_assert_null(place(&p).prefill);
	g_assert_cmpint(place(&p).run_tokens, ==, 50);
	deinit_placed(&p);
}

/* Guards against a queue at one engine that other entries have filled. */
static void test_others_load_counts(void)
{
	struct placed p;
	ks_member_t *home;

	init_placed(&p, "aa:1000,bb:50");
	home = place(&p).run;
	home->peer_prefill_tokens = 100000;
	home->peer_running = 60;
	g_assert_nonnull(place(&p).run);
	g_assert_true(place(&p).run != home);
	deinit_placed(&p);
}

/* Guards against sending to engines that refuse, fail or change. */
static void test_unusable_engines(void)
{
	struct placed p;

	init_placed(&p, "aa:1000,bb:50");
	g_ptr_array_add(p.avoid, p.generators[0]);
	g_assert_true(place(&p).run == p.generators[1]);
	p.generators[1]->pending_stage = KS_STAGE_PREFILL;
	g_assert_null(place(&p).run);
	g_ptr_array_set_size(p.avoid, 0);
	g_assert_true(place(&p).run == p.generators[0]);
	p.generators[0]->accepting = false;
	g_assert_null(place(&p).run);
	deinit_placed(&p);
}

/* Guards against an outage in which every upstream is left out. */
static void test_most_failing(void)
{
	struct placed p;
	ks_rng_t rng;

	init_placed(&p, "aa:1000,bb:50");
	ks_rng_init(&rng, 1);
	for (int i = 0; i < 5; i++)
		ks_ejection_failure(&p.generators[0]->health, SECOND, &rng);
	for (int i = 0; i < 20; i++)
		g_assert_true(place(&p).run == p.generators[1]);
	for (int i = 0; i < 5; i++)
		ks_ejection_failure(&p.generators[1]->health, SECOND, &rng);
	g_assert_nonnull(place(&p).run);
	ks_rng_deinit(&rng);
	deinit_placed(&p);
}

/* Guards against requests to an upstream that loses some of its answers. */
static void test_partly_failing(void)
{
	struct placed p;

	init_placed(&p, "aa:1000,bb:50");
	for (int i = 0; i < 20; i++) {
		ks_member_record_outcome(p.generators[0], i % 2, SECOND);
		ks_member_record_outcome(p.generators[1], false, SECOND);
	}
	g_assert_true(place(&p).run == p.generators[1]);
	p.query.prompt = NULL;
	for (uint32_t draw = 0; draw < 4; draw++) {
		p.query.draw = draw;
		g_assert_true(place(&p).run == p.generators[1]);
	}
	/* It is tried again after a while. */
	g_assert_cmpfloat(ks_member_failure_rate(p.generators[0], 60 * SECOND),
			  <, 0.01);
	deinit_placed(&p);
}

/* Guards against short prompts that wait for long ones of their own route. */
static void test_rank(void)
{
	g_assert_cmpuint(ks_placement_rank(0, 0), ==, 0);
	g_assert_cmpuint(ks_placement_rank(2, 100), ==, 2);
	g_assert_cmpuint(ks_placement_rank(2, 20000), >,
			 ks_placement_rank(2, 1000));
	g_assert_cmpuint(ks_placement_rank(0, 1000), <,
			 ks_placement_rank(1, 1000));
	g_assert_cmpuint(ks_placement_rank(9, G_MAXINT64 / 2), ==, 9);
	g_assert_cmpuint(ks_placement_rank(0, -5), ==, 0);
}

/* Guards against a shared part that is read again at each busy moment. */
static void test_home_is_kept_when_busy(void)
{
	struct placed p;
	ks_member_t *home;

	init_placed(&p, "aa:13000,bb:4000");
	put(&p.fleet, "reader2", KS_STAGE_PREFILL, 1);
	home = place(&p).prefill;
	g_assert_nonnull(home);
	note_shared(home, &p.prompt);
	home->peer_prefill_tokens = 5000;
	g_assert_true(place(&p).prefill == home);
	home->peer_prefill_tokens = 100000;
	g_assert_true(place(&p).prefill != home);
	deinit_placed(&p);
}

/* Guards against reading a part again where fetching it takes a moment. */
static void test_kept_part_is_fetched(void)
{
	struct placed p;
	ks_member_t *home, *other;
	ks_placement_t placement;

	init_placed(&p, "aa:13000,bb:4000");
	other = put(&p.fleet, "reader2", KS_STAGE_PREFILL, 1);
	home = place(&p).prefill;
	if (home == other)
		other = p.reader;
	note_shared(home, &p.prompt);
	g_assert_null(place(&p).source);
	home->peer_prefill_tokens = 20000;
	placement = place(&p);
	g_assert_true(placement.prefill == other);
	g_assert_true(placement.source == home);
	g_assert_cmpint(placement.prefill_tokens, ==, 4000);
	/* What an upstream that fails keeps may not be had. */
	for (int i = 0; i < 10; i++)
		ks_member_record_outcome(home, true, SECOND);
	g_assert_null(place(&p).source);
	deinit_placed(&p);
}

/*
 * Guards against a queue that is thought short: the first prompts with a part
 * were counted as if their home kept it.
 */
static void test_first_prompt_is_read_whole(void)
{
	struct placed p;

	init_placed(&p, "aa:13000,bb:4000");
	g_assert_cmpint(place(&p).prefill_tokens, ==, 17000);
	note_shared(p.reader, &p.prompt);
	g_assert_cmpint(place(&p).prefill_tokens, ==, 4000);
	deinit_placed(&p);
}

/* Guards against asking engines for what they do not offer. */
static void test_no_fetch_without_links(void)
{
	struct placed p;
	ks_member_t *home;

	init_placed(&p, "aa:13000,bb:4000");
	put(&p.fleet, "reader2", KS_STAGE_PREFILL, 1);
	p.service.fetches_kv = false;
	home = place(&p).prefill;
	note_shared(home, &p.prompt);
	home->peer_prefill_tokens = 100000;
	g_assert_true(place(&p).prefill != home);
	g_assert_null(place(&p).source);
	deinit_placed(&p);
}

/*
 * Guards against streams that stand still for seconds while their engine reads
 * a long prompt of which it was wrongly thought to keep the most.
 */
static void test_no_guess_on_generators(void)
{
	struct placed p;
	ks_placement_t placement;

	init_placed(&p, "aa:40000,bb:50");
	placement = place(&p);
	g_assert_true(placement.prefill == p.reader);
	p.query.may_split = false;
	g_assert_cmpint(place(&p).run_tokens, ==, 40050);
	deinit_placed(&p);
}

/* Guards against a KV cache that crosses failure domains without need. */
static void test_generator_is_near(void)
{
	struct placed p;
	ks_member_t *near;

	init_placed(&p, "aa:13000,bb:4000");
	near = put_in(&p.fleet, "gen2", "d2", KS_STAGE_DECODE, 1);
	ks_fleet_remove(&p.fleet, KS_STR("reader"));
	p.reader = put_in(&p.fleet, "reader2", "d2", KS_STAGE_PREFILL, 1);
	g_assert_true(place(&p).prefill == p.reader);
	g_assert_true(place(&p).run == near);
	near->peer_running = 60;
	g_assert_true(place(&p).run != near);
	deinit_placed(&p);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/long-prompt-split",
			test_long_prompt_is_split);
	g_test_add_func("/placement/cached-prompt",
			test_cached_prompt_runs_where_it_is);
	g_test_add_func("/placement/others-load", test_others_load_counts);
	g_test_add_func("/placement/unusable", test_unusable_engines);
	g_test_add_func("/placement/most-failing", test_most_failing);
	g_test_add_func("/placement/partly-failing", test_partly_failing);
	g_test_add_func("/placement/rank", test_rank);
	g_test_add_func("/placement/home-is-kept", test_home_is_kept_when_busy);
	g_test_add_func("/placement/fetch", test_kept_part_is_fetched);
	g_test_add_func("/placement/first-prompt",
			test_first_prompt_is_read_whole);
	g_test_add_func("/placement/no-links", test_no_fetch_without_links);
	g_test_add_func("/placement/no-guess", test_no_guess_on_generators);
	g_test_add_func("/placement/near", test_generator_is_near);
	return g_test_run();
}
