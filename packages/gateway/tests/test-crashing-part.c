/*
 * Requests with a part of a prompt that crashes each engine which begins to
 * respond to them, between sound requests that share their other parts.
 */
#include "crashing_fixture.h"

/* Crashes after which few requests with the part may be sent. */
#define KNOWN_AFTER_CRASHES 5

static void play_with(const char *target, const char *crashing,
		      const char *sound, const char *other, bool late_news)
{
	struct fixture_caller caller;
	struct engines e;

	init_engines(&e, "llm", KNOWN_AFTER_CRASHES);
	e.late_news = late_news;
	for (int i = 0; i < ROUNDS; i++) {
		g_assert_cmpint(call_sound(&e, sound), ==, 200);
		g_assert_cmpint(call_sound(&e, other), ==, 200);
		call_crashing(&e, &caller, target, crashing);
		fixture_end_call(&caller);
		fixture_advance(&e.f, ROUND_MS);
	}
	g_assert_cmpuint(e.sent_after, <=, MAX_SENT_AFTER);
	/* Refused at once, and told when to come back. */
	call_crashing(&e, &caller, target, crashing);
	g_assert_cmpint(caller.status, ==, 503);
	g_assert_cmpuint(caller.retry_after->len, >, 0);
	fixture_end_call(&caller);
	fixture_deinit(&e.f);
}

static void play(const char *target, const char *crashing, const char *sound,
		 const char *other)
{
	play_with(target, crashing, sound, other, false);
}

/*
 * Guards against sending requests with one part to engine after engine, each
 * of which crashes.
 */
static void test_engine_after_engine(void)
{
	play("/advise/", "caller:900,crashing:100", "caller:900,sound:100",
	     "caller:900");
}

/* Guards against holding a sound part that follows the one that crashes. */
static void test_sound_part_follows(void)
{
	play("/advise/", "caller:900,crashing:100,sound:50",
	     "caller:900,sound:50", "caller:900,other:70,sound:50");
}

/*
 * Guards against taking a refusal by the process that follows a crashed engine
 * at its address for a sign that the engine has not crashed.
 */
static void test_restarted_at_address(void)
{
	play_with("/advise/", "caller:900,crashing:100", "caller:900,sound:100",
		  "caller:900", true);
}

/* Guards against one request that is sent on to engine after engine. */
static void test_resumable_request(void)
{
	play("/continue/", "caller:900,crashing:100", "caller:900,sound:100",
	     "caller:900");
}

/*
 * Guards against refusing requests with a part because of lost connections,
 * while the engines go on serving.
 */
static void test_lost_connections(void)
{
	struct engines e;

	init_engines(&e, "llm", KNOWN_AFTER_CRASHES);
	for (int i = 0; i < ROUNDS; i++) {
		struct fixture_upstream *upstream;
		struct fixture_caller caller;

		call(&e, &caller, "/advise/", "caller:900,unlucky:100");
		upstream = fixture_wait_request(&e.f);
		fixture_abort_response(upstream);
		FIXTURE_WAIT(&e.f, caller.done);
		g_assert_cmpint(caller.status, !=, 503);
		fixture_end_call(&caller);
		for (int j = 0; j < 2 * FIXTURE_UPSTREAMS; j++)
			call_sound(&e, "caller:900");
		fixture_advance(&e.f, ROUND_MS);
	}
	fixture_deinit(&e.f);
}

/*
 * Guards against not sending a request again that was refused, as its parts are
 * suspect: it has not been lost.
 */
static void test_refused_request(void)
{
	struct fixture_upstream *first;
	struct fixture_caller caller;
	struct engines e;

	init_engines(&e, "llm", KNOWN_AFTER_CRASHES);
	for (int i = 0; i < 2; i++) {
		for (int j = 0; j < ROUNDS; j++)
			call_sound(&e, "caller:900");
		call_crashing(&e, &caller, "/advise/",
			      "caller:900,crashing:100");
		fixture_end_call(&caller);
		fixture_advance(&e.f, ROUND_MS);
	}
	call(&e, &caller, "/advise/", "caller:900,crashing:100");
	first = fixture_wait_request(&e.f);
	fixture_respond(first, 503, true, "");
	g_assert_true(fixture_wait_request(&e.f) != first);
	fixture_respond(fixture_pending_upstream(&e.f), 200, false,
			"data: a\n\n");
	FIXTURE_WAIT(&e.f, caller.done);
	g_assert_cmpint(caller.status, ==, 200);
	fixture_end_call(&caller);
	fixture_deinit(&e.f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crashing-part/engine-after-engine",
			test_engine_after_engine);
	g_test_add_func("/crashing-part/sound-part-follows",
			test_sound_part_follows);
	g_test_add_func("/crashing-part/restarted-at-address",
			test_restarted_at_address);
	g_test_add_func("/crashing-part/resumable-request",
			test_resumable_request);
	g_test_add_func("/crashing-part/refused-request", test_refused_request);
	g_test_add_func("/crashing-part/lost-connections",
			test_lost_connections);
	return g_test_run();
}
