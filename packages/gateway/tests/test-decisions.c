/*
 * Tests of routing, prompts, event streams, the fleet and stage balancing,
 * which do no I/O.
 */
#include "fleet_fixture.h"

static const ks_route_t *match(const ks_traffic_t *traffic, const char *host,
			       const char *path)
{
	return ks_traffic_match(traffic, ks_str_from(host), ks_str_from(path));
}

/* Guards against matching a shorter prefix or another host's route. */
static void test_routes(void)
{
	ks_traffic_t *traffic = ks_traffic_new(1);

	ks_traffic_add_route(traffic, KS_STR("all"), KS_STR("a.example"),
			     KS_STR("/"));
	ks_traffic_add_route(traffic, KS_STR("long"), KS_STR("a.example"),
			     KS_STR("/x/y/"));
	ks_traffic_add_route(traffic, KS_STR("short"), KS_STR("a.example"),
			     KS_STR("/x/"));
	g_assert_cmpstr(match(traffic, "a.example", "/x/y/z")->name, ==,
			"long");
	g_assert_cmpstr(match(traffic, "A.Example:80", "/x/yy")->name, ==,
			"short");
	g_assert_cmpstr(match(traffic, "a.example", "/xx")->name, ==, "all");
	g_assert_null(match(traffic, "b.example", "/x/"));
	g_assert_null(match(traffic, "", "/x/"));
	ks_traffic_unref(traffic);
}

/* Guards against sending requests to a service whose weight is 0. */
static void test_split(void)
{
	ks_traffic_t *traffic = ks_traffic_new(1);
	ks_route_t *route = ks_traffic_add_route(traffic, KS_STR("r"),
						 KS_STR("a"), KS_STR("/"));
	unsigned counts[2] = { 0, 0 };

	g_assert_null(ks_route_pick(route, 7));
	ks_route_add_split(route, KS_STR("zero"), 0);
	g_assert_null(ks_route_pick(route, 7));
	ks_route_add_split(route, KS_STR("one"), 90);
	ks_route_add_split(route, KS_STR("two"), 10);
	for (uint32_t draw = 0; draw < 1000; draw++) {
		const char *service = ks_route_pick(route, draw);

		g_assert_cmpstr(service, !=, "zero");
		counts[strcmp(service, "one") != 0]++;
	}
	g_assert_cmpuint(counts[0], ==, 900);
	g_assert_cmpuint(counts[1], ==, 100);
	ks_traffic_unref(traffic);
}

/*
 * Guards against treating parts as shared although the parts before them
 * differ.
 */
static void test_prompt(void)
{
	ks_prompt_t a, b;

	g_assert_true(ks_prompt_parse(&a, KS_STR("aa:10,bb:20,cc:30")));
	g_assert_true(ks_prompt_parse(&b, KS_STR("xx:10,bb:20,cc:30")));
	g_assert_cmpint(a.total_tokens, ==, 60);
	g_assert_cmpuint(ks_prompt_shared_id(&a), !=, ks_prompt_shared_id(&b));
	g_assert_true(ks_prompt_parse(&b, KS_STR("aa:10,bb:20,dd:5")));
	g_assert_cmpuint(ks_prompt_shared_id(&a), ==, ks_prompt_shared_id(&b));
	g_assert_false(ks_prompt_parse(&a, KS_STR("")));
	g_assert_false(ks_prompt_parse(&a, KS_STR("aa")));
	g_assert_false(ks_prompt_parse(&a, KS_STR("aa:x")));
	g_assert_false(ks_prompt_parse(&a, KS_STR("aa:-1")));
	g_assert_false(ks_prompt_parse(&a, KS_STR("aa:1,,bb:2")));
}

/* Guards against writing more parts than the arrays hold. */
static void test_long_prompt(void)
{
	GString *text = g_string_new("p0:1");
	ks_prompt_t prompt;

	for (int i = 1; i < 100; i++)
		g_string_append_printf(text, ",p%d:1", i);
	g_assert_true(
		ks_prompt_parse(&prompt, (ks_str_t){ text->str, text->len }));
	g_assert_cmpuint(prompt.n_parts, ==, KS_PROMPT_MAX_PARTS);
	g_assert_cmpint(prompt.total_tokens, ==, 100);
	g_string_free(text, TRUE);
}

/* Guards against splitting or joining events where reads split the stream. */
static void test_events(void)
{
	static const char stream[] = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"
				     "data: c\n\nid: 4\ndata";

	for (size_t cut = 0; cut < sizeof(stream); cut++) {
		GString *whole = g_string_new(NULL);
		ks_events_t events;

		ks_events_init(&events);
		ks_events_feed(&events, (ks_str_t){ stream, cut }, whole);
		ks_events_feed(
			&events,
			(ks_str_t){ stream + cut, sizeof(stream) - 1 - cut },
			whole);
		g_assert_cmpstr(whole->str, ==,
				"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"
				"data: c\n\n");
		g_assert_cmpstr(events.last_id->str, ==, "2");
		g_assert_cmpstr(events.partial->str, ==, "id: 4\ndata");
		ks_events_deinit(&events);
		g_string_free(whole, TRUE);
	}
}

/* Share of an engine's cache that holds this entry's prompts, in tokens. */
#define CACHE_TOKENS 1000

/* Guards against cache entries that outlive a restart of their upstream. */
static void test_restarted_upstream(void)
{
	ks_prompt_t prompt;
	ks_member_t *member;
	ks_fleet_t fleet;

	ks_prompt_parse(&prompt, KS_STR("aa:100,bb:50"));
	ks_fleet_init(&fleet);
	member = put(&fleet, "u1", KS_STAGE_DECODE, 1);
	ks_member_record_cached(member, &prompt, CACHE_TOKENS, SECOND);
	g_assert_cmpint(
		ks_member_cached_tokens(member, &prompt, CACHE_TOKENS, SECOND),
		==, 150);
	g_assert_true(put(&fleet, "u1", KS_STAGE_DECODE, 1) == member);
	member = put(&fleet, "u1", KS_STAGE_DECODE, 2);
	g_assert_cmpint(
		ks_member_cached_tokens(member, &prompt, CACHE_TOKENS, SECOND),
		==, 0);
	ks_fleet_deinit(&fleet);
}

/* Guards against a part that counts as cached long after its last use. */
static void test_unused_part_expires(void)
{
	ks_prompt_t prompt;
	ks_member_t *member;
	ks_fleet_t fleet;

	ks_prompt_parse(&prompt, KS_STR("aa:100,bb:50"));
	ks_fleet_init(&fleet);
	member = put(&fleet, "u1", KS_STAGE_DECODE, 1);
	ks_member_record_cached(member, &prompt, CACHE_TOKENS, SECOND);
	g_assert_cmpint(ks_member_cached_tokens(member, &prompt, CACHE_TOKENS,
						3600 * SECOND),
			==, 0);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against a part that counts as cached although newer ones have evicted
 * it.
 */
static void test_part_is_evicted(void)
{
	ks_prompt_t first, other;
	ks_member_t *member;
	ks_fleet_t fleet;

	ks_prompt_parse(&first, KS_STR("aa:100,bb:50"));
	ks_prompt_parse(&other, KS_STR("cc:900,dd:40"));
	ks_fleet_init(&fleet);
	member = put(&fleet, "u1", KS_STAGE_DECODE, 1);
	ks_member_record_cached(member, &first, CACHE_TOKENS, SECOND);
	ks_member_record_cached(member, &other, CACHE_TOKENS, SECOND);
	g_assert_cmpint(
		ks_member_cached_tokens(member, &first, CACHE_TOKENS, SECOND),
		==, 150);
	/* Using a cached prompt again evicts nothing. */
	ks_member_record_cached(member, &other, CACHE_TOKENS, SECOND);
	g_assert_cmpint(
		ks_member_cached_tokens(member, &first, CACHE_TOKENS, SECOND),
		==, 150);
	ks_prompt_parse(&other, KS_STR("ee:60"));
	ks_member_record_cached(member, &other, CACHE_TOKENS, SECOND);
	g_assert_cmpint(
		ks_member_cached_tokens(member, &first, CACHE_TOKENS, SECOND),
		==, 0);
	g_assert_cmpint(
		ks_member_cached_tokens(member, &other, CACHE_TOKENS, SECOND),
		==, 60);
	ks_fleet_deinit(&fleet);
}

/*
 * Guards against the removal of an upstream whose announcement expired only
 * because the store was unavailable: it is announced again before the removal
 * is due.
 */
static void test_scheduled_removal(void)
{
	ks_fleet_t fleet;

	ks_fleet_init(&fleet);
	put(&fleet, "back", KS_STAGE_ANY, 1);
	put(&fleet, "gone", KS_STAGE_ANY, 1);
	ks_fleet_remove_at(&fleet, KS_STR("back"), 2 * SECOND);
	ks_fleet_remove_at(&fleet, KS_STR("gone"), 2 * SECOND);
	put(&fleet, "back", KS_STAGE_ANY, 1);
	g_assert_cmpuint(ks_fleet_expire(&fleet, 1 * SECOND), ==, 0);
	g_assert_cmpuint(ks_fleet_expire(&fleet, 2 * SECOND), ==, 1);
	g_assert_nonnull(ks_fleet_find(&fleet, KS_STR("back")));
	g_assert_null(ks_fleet_find(&fleet, KS_STR("gone")));
	ks_fleet_deinit(&fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/decisions/routes", test_routes);
	g_test_add_func("/decisions/split", test_split);
	g_test_add_func("/decisions/prompt", test_prompt);
	g_test_add_func("/decisions/long-prompt", test_long_prompt);
	g_test_add_func("/decisions/events", test_events);
	g_test_add_func("/decisions/restarted", test_restarted_upstream);
	g_test_add_func("/decisions/part-expires", test_unused_part_expires);
	g_test_add_func("/decisions/part-evicted", test_part_is_evicted);
	g_test_add_func("/decisions/scheduled-removal", test_scheduled_removal);
	return g_test_run();
}
