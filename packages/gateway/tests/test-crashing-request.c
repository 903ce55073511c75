/*
 * A request that crashes each upstream which runs it, and that comes again with
 * the same content, between sound requests.
 */
#include "crashing_fixture.h"

/* Crashes after which few repeats may be sent. */
#define KNOWN_AFTER_CRASHES 3

/**
 * struct content - what a repeat of a request has in common with it
 * @parts: of the prompt, NULL for none
 */
struct content {
	const char *method;
	const char *target;
	const char *body;
	const char *parts;
};

static void send_content(struct engines *e, struct fixture_caller *caller,
			 const struct content *content)
{
	ks_header_t parts = { KS_STR("x-parts"), { NULL, 0 } };

	if (content->parts)
		parts.value = ks_str_from(content->parts);
	fixture_call_with(&e->f, caller, content->method, content->target,
			  content->body, &parts, content->parts ? 1 : 0);
}

/* Sends a request that crashes upstreams, and returns its status. */
static int send_crashing(struct engines *e, const struct content *content)
{
	struct fixture_caller caller;
	int status;

	send_content(e, &caller, content);
	while (!caller.done) {
		FIXTURE_WAIT(&e->f,
			     caller.done || fixture_pending_upstream(&e->f));
		if (fixture_pending_upstream(&e->f))
			crash(e, fixture_pending_upstream(&e->f));
	}
	status = caller.status;
	fixture_end_call(&caller);
	return status;
}

static int send_sound(struct engines *e, const struct content *content)
{
	struct fixture_caller caller;
	int status;

	send_content(e, &caller, content);
	while (!caller.done) {
		FIXTURE_WAIT(&e->f,
			     caller.done || fixture_pending_upstream(&e->f));
		if (fixture_pending_upstream(&e->f))
			fixture_respond(fixture_pending_upstream(&e->f), 200,
					false, "data: a\n\n");
	}
	status = caller.status;
	fixture_end_call(&caller);
	return status;
}

/*
 * Plays repeats of one request between sound ones: one that is sent often, and
 * one with @target and a body of its own each time.
 */
static void play(const char *service, const struct content *crashing,
		 const struct content *often, bool without_head)
{
	struct engines e;

	init_engines(&e, service, KNOWN_AFTER_CRASHES);
	e.without_head = without_head;
	for (int i = 0; i < ROUNDS; i++) {
		struct content own = *often;
		char *body = g_strdup_printf("own-%d", i);

		own.body = body;
		g_assert_cmpint(send_sound(&e, often), ==, 200);
		g_assert_cmpint(send_sound(&e, &own), ==, 200);
		send_crashing(&e, crashing);
		fixture_advance(&e.f, ROUND_MS);
		g_free(body);
	}
	g_assert_cmpuint(e.sent_after, <=, MAX_SENT_AFTER);
	/* Refused at once, as not run. */
	g_assert_cmpint(send_crashing(&e, crashing), ==, 503);
	fixture_deinit(&e.f);
}

/* Guards against a lookup without a body that is sent again and again. */
static void test_lookup(void)
{
	struct content crashing = { "GET", "/read/crash?x=1", "", NULL };
	struct content often = { "GET", "/read/sound", "", NULL };

	play("app", &crashing, &often, true);
}

/* Guards against a call that may run once, and comes again under another id. */
static void test_call_that_runs_once(void)
{
	struct content crashing = { "POST", "/book/x", "crash", NULL };
	struct content often = { "POST", "/book/x", "sound", NULL };

	play("app", &crashing, &often, true);
}

/* Guards against streams, which fail after the head of their response. */
static void test_stream(void)
{
	struct content crashing = { "POST", "/tell/x", "crash", NULL };
	struct content often = { "POST", "/tell/x", "sound", NULL };

	play("app", &crashing, &often, false);
}

/* Guards against one request that is sent on to upstream after upstream. */
static void test_resumable_stream(void)
{
	struct content crashing = { "POST", "/resume/x", "crash", NULL };
	struct content often = { "POST", "/resume/x", "sound", NULL };

	play("app", &crashing, &often, false);
}

/* Guards against a prompt all of whose shared parts are in sound requests. */
static void test_prompt(void)
{
	struct content crashing = { "POST", "/advise/x", "crash",
				    "ca11e4:900,abc:100,deadb:50" };
	struct content often = { "POST", "/advise/x", "sound",
				 "ca11e4:900,abc:100,fffff:50" };

	play("llm", &crashing, &often, false);
}

/* Guards against prompts that differ only in the field that lists the parts. */
static void test_prompt_without_body(void)
{
	struct content crashing = { "POST", "/advise/x", "prompt",
				    "ca11e4:900,abc:100,deadb:50" };
	struct content often = { "POST", "/advise/x", "prompt",
				 "ca11e4:900,abc:100,fffff:50" };

	play("llm", &crashing, &often, false);
}

/*
 * Guards against refusing a request that comes again and again, as it was lost
 * beside the one that crashes upstreams.
 */
static void test_sound_repeat_beside(void)
{
	struct content crashing = { "POST", "/book/x", "crash", NULL };
	struct content often = { "POST", "/book/x", "sound", NULL };
	struct engines e;

	init_engines(&e, "app", KNOWN_AFTER_CRASHES);
	e.without_head = true;
	for (int i = 0; i < ROUNDS; i++) {
		struct fixture_caller caller;

		g_assert_cmpint(send_sound(&e, &often), ==, 200);
		send_crashing(&e, &crashing);
		/* Now and then, an upstream crashes that has it. */
		if (i % 3 == 0) {
			send_content(&e, &caller, &often);
			crash(&e, fixture_wait_request(&e.f));
			FIXTURE_WAIT(&e.f, caller.done);
			g_assert_cmpint(caller.status, !=, 503);
			fixture_end_call(&caller);
		}
		fixture_advance(&e.f, ROUND_MS);
	}
	fixture_deinit(&e.f);
}

/*
 * Guards against refusing a request that was sent on to several upstreams which
 * failed together.
 */
static void test_one_unlucky_request(void)
{
	struct content unlucky = { "POST", "/resume/x", "unlucky", NULL };
	struct engines e;

	init_engines(&e, "app", KNOWN_AFTER_CRASHES);
	send_crashing(&e, &unlucky);
	fixture_advance(&e.f, 2 * ROUND_MS);
	g_assert_cmpint(send_sound(&e, &unlucky), ==, 200);
	fixture_deinit(&e.f);
}

/*
 * Guards against refusing a request that is lost with its connection each time,
 * while the upstreams go on serving.
 */
static void test_lost_connections(void)
{
	struct content unlucky = { "POST", "/book/x", "unlucky", NULL };
	struct engines e;

	init_engines(&e, "app", KNOWN_AFTER_CRASHES);
	for (int i = 0; i < ROUNDS; i++) {
		struct fixture_caller caller;

		send_content(&e, &caller, &unlucky);
		fixture_abort_response(fixture_wait_request(&e.f));
		FIXTURE_WAIT(&e.f, caller.done);
		g_assert_cmpint(caller.status, ==, 502);
		fixture_end_call(&caller);
		for (int j = 0; j < 4 * FIXTURE_UPSTREAMS; j++) {
			char body[16];
			struct content sound = { "POST", "/book/x", body,
						 NULL };

			g_snprintf(body, sizeof(body), "%d-%d", i, j);
			g_assert_cmpint(send_sound(&e, &sound), ==, 200);
		}
		fixture_advance(&e.f, ROUND_MS);
	}
	fixture_deinit(&e.f);
}

/* Guards against a refusal that counts as a sign that the request can be run.
 */
static void test_refused_between(void)
{
	struct content crashing = { "POST", "/book/x", "crash", NULL };
	struct engines e;

	init_engines(&e, "app", KNOWN_AFTER_CRASHES);
	e.without_head = true;
	for (int i = 0; i < ROUNDS; i++) {
		struct fixture_upstream *upstream;
		struct fixture_caller caller;

		send_content(&e, &caller, &crashing);
		while (!caller.done) {
			FIXTURE_WAIT(&e.f,
				     caller.done ||
					     fixture_pending_upstream(&e.f));
			upstream = fixture_pending_upstream(&e.f);
			if (upstream && i % 2)
				fixture_respond(upstream, 503, true, "");
			else if (upstream)
				crash(&e, upstream);
		}
		fixture_end_call(&caller);
		fixture_advance(&e.f, ROUND_MS);
	}
	g_assert_cmpuint(e.sent_after, <=, MAX_SENT_AFTER);
	fixture_deinit(&e.f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crashing-request/lookup", test_lookup);
	g_test_add_func("/crashing-request/call-that-runs-once",
			test_call_that_runs_once);
	g_test_add_func("/crashing-request/stream", test_stream);
	g_test_add_func("/crashing-request/resumable-stream",
			test_resumable_stream);
	g_test_add_func("/crashing-request/prompt", test_prompt);
	g_test_add_func("/crashing-request/prompt-without-body",
			test_prompt_without_body);
	g_test_add_func("/crashing-request/sound-repeat-beside",
			test_sound_repeat_beside);
	g_test_add_func("/crashing-request/one-unlucky-request",
			test_one_unlucky_request);
	g_test_add_func("/crashing-request/lost-connections",
			test_lost_connections);
	g_test_add_func("/crashing-request/refused-between",
			test_refused_between);
	return g_test_run();
}
