/*
 * Requests with a part of a prompt that crashes each engine which begins to
 * respond to them, between sound requests that share their other parts.
 */
#include "gateway_fixture.h"

/* Crashes after which few requests with the part may be sent, and when. */
#define KNOWN_AFTER_CRASHES 5
#define CONTACT_MS 3000
#define MAX_SENT_AFTER 3

#define ROUNDS 24
#define ROUND_MS 400

/**
 * struct engines - the engines of a test, and what it counts
 * @starts: starts of engines, whose number tells one process from another
 * @sent: requests with the part that reached an engine
 * @fifth_us: time of the fifth crash, 0 before
 * @sent_after: @sent from CONTACT_MS after that time on
 * @late_news: the gateway hears of a restart only after the new process has
 *	refused a request for the one before
 * @restarted: engines of whose restart it has not heard
 */
struct engines {
	struct fixture f;
	int64_t starts;
	unsigned sent;
	int64_t fifth_us;
	unsigned sent_after;
	unsigned own_parts;
	bool late_news;
	bool restarted[FIXTURE_UPSTREAMS];
};

static void start_engine(struct engines *e, int i)
{
	char id[8];
	ks_member_spec_t spec = { .service = KS_STR("llm"),
				  .domain = KS_STR("d1"),
				  .address = { "127.0.0.1",
					       e->f.upstreams[i].server.port },
				  .process_start_ms = ++e->starts,
				  .accepting = true };

	g_snprintf(id, sizeof(id), "u%d", i);
	spec.id = ks_str_from(id);
	ks_fleet_put(ks_gateway_fleet(e->f.gateway), &spec);
}

static void init_engines(struct engines *e)
{
	memset(e, 0, sizeof(*e));
	fixture_init_bare(&e->f);
	fixture_apply(&e->f, 1);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		start_engine(e, i);
}

/* Calls with the shared parts and one of its own. */
static void call(struct engines *e, struct fixture_caller *caller,
		 const char *target, const char *shared)
{
	char *text = g_strdup_printf("%s,%x:500", shared, ++e->own_parts);
	ks_header_t parts = { KS_STR("x-parts"), ks_str_from(text) };

	fixture_call_with(&e->f, caller, "POST", target, "prompt", &parts, 1);
	g_free(text);
}

/* Lets the engine crash after the head of its response, and start again. */
static void crash(struct engines *e, struct fixture_upstream *upstream)
{
	fixture_start_response(upstream, 200, false, -1);
	fixture_run_pending(&e->f);
	fixture_abort_response(upstream);
	if (e->late_news)
		e->restarted[upstream - e->f.upstreams] = true;
	else
		start_engine(e, (int)(upstream - e->f.upstreams));
	if (++e->sent == KNOWN_AFTER_CRASHES)
		e->fifth_us = ks_loop_now(&e->f.loop);
	else if (e->fifth_us &&
		 ks_loop_now(&e->f.loop) >
			 e->fifth_us + CONTACT_MS * KS_USEC_PER_MSEC)
		e->sent_after++;
}

/* Refuses a request that is meant for the process before. */
static bool refuse_restarted(struct engines *e,
			     struct fixture_upstream *upstream)
{
	int i = (int)(upstream - e->f.upstreams);

	if (!e->restarted[i])
		return false;
	e->restarted[i] = false;
	fixture_respond(upstream, 421, true, "");
	fixture_run_pending(&e->f);
	start_engine(e, i);
	return true;
}

/* Calls with the part, and lets each engine crash that the request reaches. */
static void call_crashing(struct engines *e, struct fixture_caller *caller,
			  const char *target, const char *shared)
{
	call(e, caller, target, shared);
	while (!caller->done) {
		FIXTURE_WAIT(&e->f,
			     caller->done || fixture_pending_upstream(&e->f));
		if (fixture_pending_upstream(&e->f) &&
		    !refuse_restarted(e, fixture_pending_upstream(&e->f)))
			crash(e, fixture_pending_upstream(&e->f));
	}
}

static int call_sound(struct engines *e, const char *shared)
{
	struct fixture_caller caller;
	int status;

	call(e, &caller, "/advise/", shared);
	while (!caller.done) {
		FIXTURE_WAIT(&e->f,
			     caller.done || fixture_pending_upstream(&e->f));
		if (fixture_pending_upstream(&e->f) &&
		    !refuse_restarted(e, fixture_pending_upstream(&e->f)))
			fixture_respond(fixture_pending_upstream(&e->f), 200,
					false, "data: a\n\n");
	}
	status = caller.status;
	fixture_end_call(&caller);
	return status;
}

static void play_with(const char *target, const char *crashing,
		      const char *sound, const char *other, bool late_news)
{
	struct fixture_caller caller;
	struct engines e;

	init_engines(&e);
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

	init_engines(&e);
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

	init_engines(&e);
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
