/*
 * Tests of the balance between prefill and decode engines, which does no I/O.
 */
#include "fleet_fixture.h"
#include "ks/settings.h"

static void put_engines(ks_fleet_t *fleet, int prefill, int decode)
{
	char id[16];

	for (int i = 0; i < prefill + decode; i++) {
		g_snprintf(id, sizeof(id), "e%d", i);
		put(fleet, id, i < prefill ? KS_STAGE_PREFILL : KS_STAGE_DECODE,
		    1);
	}
}

/*
 * Makes every change that is due, and returns their number. With at_once, the
 * engines show the new stage immediately; otherwise they stay in the change.
 */
static int change_stages(ks_stage_balance_t *stages, const ks_fleet_t *fleet,
			 int64_t now, bool at_once)
{
	GPtrArray *members = ks_fleet_members(fleet, "llm");
	ks_member_t *next;
	ks_stage_t stage;
	int changes = 0;

	while ((next = ks_stage_balance_next(stages, members, now, &stage))) {
		ks_stage_balance_record(stages, stage, now);
		if (at_once)
			next->stage = stage;
		else
			next->pending_stage = stage;
		g_assert_cmpint(++changes, <=, 12);
	}
	g_ptr_array_free(members, TRUE);
	return changes;
}

static int count_prefill(const ks_fleet_t *fleet)
{
	GPtrArray *members = ks_fleet_members(fleet, "llm");
	int n = 0;

	for (guint i = 0; i < members->len; i++)
		n += ((ks_member_t *)members->pdata[i])->stage ==
		     KS_STAGE_PREFILL;
	g_ptr_array_free(members, TRUE);
	return n;
}

/* Guards against a prefill share that stays away from its target. */
static void test_stages_reach_target(void)
{
	for (int prefill = 0; prefill <= 12; prefill++) {
		ks_stage_balance_t stages = { .prefill_share = 0.6 };
		ks_fleet_t fleet;

		ks_fleet_init(&fleet);
		put_engines(&fleet, prefill, 12 - prefill);
		change_stages(&stages, &fleet, SECOND, true);
		g_assert_cmpint(count_prefill(&fleet), ==, 7);
		ks_fleet_deinit(&fleet);
	}
}

/*
 * Guards against decode engines that state a limit and count as if they took
 * their part of the load, and against orders to them.
 */
static void test_stages_without_limited(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.5 };
	ks_member_t *limited[2];
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 4, 4);
	for (int i = 0; i < 2; i++) {
		limited[i] =
			ks_fleet_find(&fleet, i ? KS_STR("e7") : KS_STR("e6"));
		ks_stated_limit_set(&limited[i]->withdrawal.limit, 3, SECOND,
				    true, SECOND);
	}
	change_stages(&stages, &fleet, SECOND, true);
	g_assert_cmpint(count_prefill(&fleet), ==, 3);
	for (int i = 0; i < 2; i++)
		g_assert_cmpint(limited[i]->stage, ==, KS_STAGE_DECODE);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against an engine that joins and leaves repeatedly and makes others
 * change their stage each time.
 */
static void test_stages_tolerate_flapping(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.6 };
	ks_fleet_t fleet;
	int changes = 0;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 7, 5);
	for (int i = 1; i <= 9; i++) {
		put(&fleet, "flaps", KS_STAGE_DECODE, 1);
		changes += change_stages(&stages, &fleet, 2 * i * SECOND, true);
		ks_fleet_remove(&fleet, KS_STR("flaps"));
		changes += change_stages(&stages, &fleet, (2 * i + 1) * SECOND,
					 true);
	}
	g_assert_cmpint(changes, <=, 1);
	ks_fleet_deinit(&fleet);
}

/* Guards against changing all engines at the same time. */
static void test_stages_change_few_at_once(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.6 };
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 0, 12);
	g_assert_cmpint(change_stages(&stages, &fleet, SECOND, false), ==, 3);
	ks_fleet_deinit(&fleet);
}

/* Guards against removing the last engine of a stage. */
static void test_stages_keep_one(void)
{
	static const double shares[] = { 0, 1 };

	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		ks_stage_balance_t stages = { .prefill_share = shares[i] };
		ks_fleet_t fleet;

		ks_fleet_init(&fleet);
		put_engines(&fleet, 2, 2);
		change_stages(&stages, &fleet, SECOND, true);
		g_assert_cmpint(count_prefill(&fleet), ==, i ? 3 : 1);
		ks_fleet_deinit(&fleet);
	}
}

/* Guards against stage changes of engines that do not support them. */
static void test_plain_services_have_no_stages(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.6 };
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put(&fleet, "a", KS_STAGE_ANY, 1);
	put(&fleet, "b", KS_STAGE_ANY, 1);
	g_assert_cmpint(change_stages(&stages, &fleet, SECOND, true), ==, 0);
	ks_fleet_deinit(&fleet);
}

#define OBSERVE_US (500 * KS_USEC_PER_MSEC)

static void set_occupancy(const ks_fleet_t *fleet, ks_stage_t stage,
			  double occupancy)
{
	GPtrArray *members = ks_fleet_members(fleet, "llm");

	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];

		/* Half of it comes from other entries. */
		member->occupancy = member->peer_occupancy =
			member->stage == stage
				? (unsigned)(occupancy * KS_OCCUPANCY_UNIT / 2)
				: 0;
	}
	g_ptr_array_free(members, TRUE);
}

/* Keeps the load of decode engines as it is, and makes the changes due. */
static int run_at_occupancy(ks_stage_balance_t *stages, const ks_fleet_t *fleet,
			    double occupancy, int64_t *now, int seconds)
{
	int64_t end = *now + seconds * SECOND;
	int changes = 0;

	for (; *now < end; *now += OBSERVE_US) {
		GPtrArray *members = ks_fleet_members(fleet, "llm");

		set_occupancy(fleet, KS_STAGE_DECODE, occupancy);
		ks_stage_balance_observe(stages, members, *now);
		g_ptr_array_free(members, TRUE);
		changes += change_stages(stages, fleet, *now, true);
	}
	return changes;
}

static ks_stage_balance_t follow_demand(void)
{
	return (ks_stage_balance_t){ .prefill_share = KS_PREFILL_SHARE_AUTO };
}

/* Guards against stages that wait for a demand before they leave the start. */
static void test_stages_start(void)
{
	ks_stage_balance_t stages = follow_demand();
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 4, 8);
	change_stages(&stages, &fleet, SECOND, true);
	g_assert_cmpint(count_prefill(&fleet), ==, 8);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against decode engines that stay full while prefill engines are idle,
 * as with many short prompts: most requests are then refused.
 */
static void test_stages_follow_long_responses(void)
{
	ks_stage_balance_t stages = follow_demand();
	int64_t now = 100 * SECOND;
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 10, 4);
	run_at_occupancy(&stages, &fleet, 1, &now, 8);
	/* Four full engines at an occupancy of 0.6 are seven engines. */
	g_assert_cmpint(count_prefill(&fleet), <=, 7);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against engines that change their stage although none is short of
 * them. Each change takes an engine away for seconds.
 */
static void test_stages_stay_in_range(void)
{
	static const double occupancies[] = { 0.2, 0.4, 0.6, 0.8 };
	ks_stage_balance_t stages = follow_demand();
	int64_t now = 100 * SECOND;
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 8, 4);
	for (size_t i = 0; i < G_N_ELEMENTS(occupancies); i++)
		g_assert_cmpint(run_at_occupancy(&stages, &fleet,
						 occupancies[i], &now, 30),
				==, 0);
	ks_fleet_deinit(&fleet);
}

static void set_prefill_tokens(const ks_fleet_t *fleet, int64_t tokens)
{
	GPtrArray *members = ks_fleet_members(fleet, "llm");

	for (guint i = 0; i < members->len; i++)
		((ks_member_t *)members->pdata[i])->peer_prefill_tokens =
			tokens;
	g_ptr_array_free(members, TRUE);
}

/*
 * Guards against decode engines that stay idle for good while the prefill
 * engines are overloaded.
 */
static void test_stages_follow_long_prompts(void)
{
	ks_stage_balance_t stages = follow_demand();
	int64_t now = 100 * SECOND;
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 8, 4);
	set_prefill_tokens(&fleet, 9000);
	run_at_occupancy(&stages, &fleet, 0.05, &now, 60);
	g_assert_cmpint(count_prefill(&fleet), >=, 10);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against hundreds of orders in a fleet that is larger than its load
 * needs, after which a burst finds few decode engines.
 */
static void test_stages_stay_when_idle(void)
{
	ks_stage_balance_t stages = follow_demand();
	int64_t now = 100 * SECOND;
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 8, 4);
	g_assert_cmpint(run_at_occupancy(&stages, &fleet, 0.05, &now, 60), ==,
			0);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against a shortage of prefill engines that is taken for one of decode
 * engines, and so made worse: requests that decode engines have yet to prefill
 * are in flight there, but generate nothing.
 */
static void test_stages_ignore_waiting_requests(void)
{
	ks_stage_balance_t stages = follow_demand();
	int64_t now = 100 * SECOND;
	GPtrArray *members;
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 8, 4);
	members = ks_fleet_members(&fleet, "llm");
	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];

		member->running = member->peer_running = 60;
	}
	g_ptr_array_free(members, TRUE);
	run_at_occupancy(&stages, &fleet, 0.3, &now, 30);
	g_assert_cmpint(count_prefill(&fleet), ==, 8);
	ks_fleet_deinit(&fleet);
}

/* Guards against an engine that counts as free although its memory is full. */
static void test_occupancy(void)
{
	ks_service_t service = { .slots = 16, .memory_tokens = 400000 };

	g_assert_cmpuint(ks_service_occupancy(&service, 1000), ==,
			 KS_OCCUPANCY_UNIT / 16);
	g_assert_cmpuint(ks_service_occupancy(&service, 100000), ==,
			 KS_OCCUPANCY_UNIT / 4);
	g_assert_cmpuint(ks_service_occupancy(&service, 9000000), ==,
			 KS_OCCUPANCY_UNIT);
	service.slots = 0;
	service.memory_tokens = 0;
	g_assert_cmpuint(ks_service_occupancy(&service, 100000), ==, 0);
}

static void put_version(ks_fleet_t *fleet, const char *software, int prefill,
			int decode)
{
	for (int i = 0; i < prefill + decode; i++) {
		char *id = g_strdup_printf("%s-%d", software, i);
		ks_member_spec_t spec = {
			.id = ks_str_from(id),
			.service = KS_STR("llm"),
			.software = ks_str_from(software),
			.domain = KS_STR("d1"),
			.address = { "10.0.0.1", 80 },
			.stage = i < prefill ? KS_STAGE_PREFILL
					     : KS_STAGE_DECODE,
			.process_start_ms = 1,
			.accepting = true,
		};

		ks_fleet_put(fleet, &spec);
		g_free(id);
	}
}

static int count_version(const ks_fleet_t *fleet, const char *software,
			 ks_stage_t stage)
{
	GPtrArray *members = ks_fleet_members(fleet, "llm");
	int n = 0;

	for (guint i = 0; i < members->len; i++) {
		const ks_member_t *member = members->pdata[i];

		n += member->stage == stage &&
		     !strcmp(member->software, software);
	}
	g_ptr_array_free(members, TRUE);
	return n;
}

/*
 * Guards against a software version whose engines all prefill, so that none of
 * its streams can go on, or of which none prefills.
 */
static void test_each_version_has_both_stages(void)
{
	for (int old = 1; old <= 6; old++)
		for (int prefill = 0; prefill <= old; prefill++) {
			ks_stage_balance_t stages = { .prefill_share = 0.7 };
			ks_fleet_t fleet;

			ks_fleet_init(&fleet);
			put_version(&fleet, "v1", prefill, old - prefill);
			put_version(&fleet, "v2", 2, 4);
			change_stages(&stages, &fleet, SECOND, true);
			/* Changes in the opposite direction. */
			change_stages(&stages, &fleet, 30 * SECOND, true);
			g_assert_cmpint(
				count_version(&fleet, "v1", KS_STAGE_DECODE),
				>=, 1);
			g_assert_cmpint(
				count_version(&fleet, "v1", KS_STAGE_PREFILL),
				>=, MIN(old - 1, 1));
			g_assert_cmpint(
				count_version(&fleet, "v2", KS_STAGE_PREFILL),
				==, 4);
			ks_fleet_deinit(&fleet);
		}
}

/* Such a version does not wait until a change may be reversed. */
static void test_version_without_decode_is_urgent(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.7 };
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_version(&fleet, "v2", 0, 6);
	g_assert_cmpint(change_stages(&stages, &fleet, SECOND, true), ==, 4);
	put_version(&fleet, "v1", 2, 0);
	g_assert_cmpint(change_stages(&stages, &fleet, 2 * SECOND, true), ==,
			1);
	g_assert_cmpint(count_version(&fleet, "v1", KS_STAGE_DECODE), ==, 1);
	ks_fleet_deinit(&fleet);
}

static ks_member_t *find(const ks_fleet_t *fleet, const char *id)
{
	return ks_fleet_find(fleet, ks_str_from(id));
}

/* Guards against a service whose last engine prefills for good. */
static void test_last_engine_decodes(void)
{
	ks_stage_balance_t stages = follow_demand();
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_engines(&fleet, 1, 0);
	g_assert_cmpint(change_stages(&stages, &fleet, SECOND, true), ==, 1);
	g_assert_cmpint(count_prefill(&fleet), ==, 0);
	ks_fleet_deinit(&fleet);
}

static void lose_requests(ks_member_t *member, int n, int64_t now)
{
	ks_rng_t rng;

	ks_rng_init(&rng, 1);
	for (int i = 0; i < n; i++)
		ks_ejection_failure(&member->health, now, &rng);
	ks_member_record_unanswered(member, now);
	ks_rng_deinit(&rng);
}

/*
 * Guards against a version whose decode engines have crashed or leave, and
 * whose others go on to prefill as long as these are listed.
 */
static void test_listed_engines_that_end(void)
{
	for (int i = 0; i < 2; i++) {
		ks_stage_balance_t stages = { .prefill_share = 0.5 };
		ks_fleet_t fleet;

		ks_fleet_init(&fleet);
		put_version(&fleet, "v1", 2, 1);
		put_version(&fleet, "v2", 2, 2);
		if (i)
			lose_requests(find(&fleet, "v1-2"), 3, SECOND);
		else
			ks_withdrawal_leave(&find(&fleet, "v1-2")->withdrawal,
					    SECOND);
		/* The ejection is over, the engine has not responded. */
		change_stages(&stages, &fleet, 10 * SECOND, true);
		g_assert_cmpint(count_version(&fleet, "v1", KS_STAGE_DECODE),
				==, 2);
		ks_fleet_deinit(&fleet);
	}
}

/* Guards against an order to the only decode engine that responds. */
static void test_last_sound_engine_stays(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.5 };
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_version(&fleet, "v1", 0, 2);
	put_version(&fleet, "v2", 2, 2);
	lose_requests(find(&fleet, "v1-0"), 1, SECOND);
	find(&fleet, "v1-0")->running = 5;
	change_stages(&stages, &fleet, 2 * SECOND, true);
	g_assert_cmpint(find(&fleet, "v1-1")->stage, ==, KS_STAGE_DECODE);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against a version that waits for other changes, or for an engine to
 * which no order may be sent yet.
 */
static void test_version_without_decode_waits_for_none(void)
{
	ks_stage_balance_t stages = { .prefill_share = 0.5 };
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put_version(&fleet, "v2", 0, 4);
	g_assert_cmpint(change_stages(&stages, &fleet, SECOND, false), ==, 1);
	put_version(&fleet, "v1", 2, 0);
	find(&fleet, "v1-0")->next_order_us = 16 * SECOND;
	g_assert_cmpint(change_stages(&stages, &fleet, 2 * SECOND, false), ==,
			1);
	g_assert_cmpint(find(&fleet, "v1-1")->pending_stage, ==,
			KS_STAGE_DECODE);
	ks_fleet_deinit(&fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stages/settle", test_stages_reach_target);
	g_test_add_func("/stages/flapping", test_stages_tolerate_flapping);
	g_test_add_func("/stages/few", test_stages_change_few_at_once);
	g_test_add_func("/stages/keep-one", test_stages_keep_one);
	g_test_add_func("/stages/none", test_plain_services_have_no_stages);
	g_test_add_func("/stages/start", test_stages_start);
	g_test_add_func("/stages/long-responses",
			test_stages_follow_long_responses);
	g_test_add_func("/stages/in-range", test_stages_stay_in_range);
	g_test_add_func("/stages/long-prompts",
			test_stages_follow_long_prompts);
	g_test_add_func("/stages/without-limited", test_stages_without_limited);
	g_test_add_func("/stages/idle", test_stages_stay_when_idle);
	g_test_add_func("/stages/waiting", test_stages_ignore_waiting_requests);
	g_test_add_func("/stages/occupancy", test_occupancy);
	g_test_add_func("/stages/each-version-has-both",
			test_each_version_has_both_stages);
	g_test_add_func("/stages/version-without-decode",
			test_version_without_decode_is_urgent);
	g_test_add_func("/stages/last-engine", test_last_engine_decodes);
	g_test_add_func("/stages/listed-engines-that-end",
			test_listed_engines_that_end);
	g_test_add_func("/stages/last-sound-engine",
			test_last_sound_engine_stays);
	g_test_add_func("/stages/waits-for-none",
			test_version_without_decode_waits_for_none);
	return g_test_run();
}
