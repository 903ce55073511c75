/*
 * Upstreams that say in their responses that they leave, or that they want no
 * requests for a time.
 */
#include "gateway_fixture.h"

#define NOTICE_MS 2000

static void respond(struct fixture_upstream *upstream, int status, bool not_run,
		    const char *name, const char *value)
{
	ks_header_t headers[4] = {
		{ KS_STR("x-id"), KS_STR("r1") },
		{ KS_STR("x-seal"), KS_STR("s") },
		{ ks_str_from(name), ks_str_from(value) },
		{ KS_STR("x-not-run"), KS_STR("1") },
	};
	ks_http1_request_t *request = upstream->request;

	upstream->request = NULL;
	ks_http1_start(request, status, headers, not_run ? 4 : 3, 0);
	ks_http1_end(request);
}

/* Sends a booking and returns the upstream that gets it; NULL if none does. */
static struct fixture_upstream *book(struct fixture *f,
				     struct fixture_caller *caller)
{
	fixture_call(f, caller, "POST", "/book/");
	FIXTURE_WAIT(f, caller->done || fixture_pending_upstream(f));
	return fixture_pending_upstream(f);
}

/* Serves a booking with the given field in the response. */
static struct fixture_upstream *book_with(struct fixture *f, const char *name,
					  const char *value)
{
	struct fixture_caller caller;
	struct fixture_upstream *upstream = book(f, &caller);

	g_assert_nonnull(upstream);
	respond(upstream, 200, false, name, value);
	FIXTURE_WAIT(f, caller.done);
	g_assert_cmpint(caller.status, ==, 200);
	fixture_end_call(&caller);
	return upstream;
}

/* Guards against new requests for an upstream that said that it leaves, while
 * another one can serve. */
static void test_leaving_gets_nothing(void)
{
	struct fixture_upstream *leaving;
	struct fixture f;

	fixture_init(&f);
	leaving = book_with(&f, "x-leaving", "1");
	for (int i = 0; i < 10; i++)
		g_assert_true(book_with(&f, "x-other", "1") != leaving);
	fixture_deinit(&f);
}

/* Guards against an older reading of the announcement that makes an upstream
 * which leaves take requests again. */
static void test_leaving_is_not_undone(void)
{
	struct fixture_upstream *leaving;
	struct fixture f;

	fixture_init(&f);
	leaving = book_with(&f, "x-leaving", "1");
	fixture_put_upstream(&f, 0, "app", KS_STAGE_ANY);
	fixture_put_upstream(&f, 1, "app", KS_STAGE_ANY);
	for (int i = 0; i < 10; i++)
		g_assert_true(book_with(&f, "x-other", "1") != leaving);
	fixture_deinit(&f);
}

/*
 * Guards against refusing everything when all upstreams say that they leave,
 * and against using them beyond their notice.
 */
static void test_all_leave(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	book_with(&f, "x-leaving", "1");
	book_with(&f, "x-leaving", "1");
	fixture_advance(&f, NOTICE_MS / 2);
	book_with(&f, "x-leaving", "1");
	fixture_advance(&f, NOTICE_MS);
	g_assert_null(book(&f, &caller));
	g_assert_cmpint(caller.status, ==, 503);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Guards against an announcement that lapses and comes back, as one of a paused
 * upstream does, and makes the entry forget what the upstream has said.
 */
static void test_lapsed_is_not_forgotten(void)
{
	struct fixture_caller caller;
	ks_fleet_t *fleet;
	struct fixture f;

	fixture_init(&f);
	fleet = ks_gateway_fleet(f.gateway);
	ks_fleet_remove(fleet, KS_STR("u1"));
	g_assert_true(book_with(&f, "x-leaving", "1") == &f.upstreams[0]);
	ks_fleet_remove(fleet, KS_STR("u0"));
	fixture_put_upstream(&f, 1, "app", KS_STAGE_ANY);
	fixture_put_upstream(&f, 0, "app", KS_STAGE_ANY);
	for (int i = 0; i < 10; i++)
		g_assert_true(book_with(&f, "x-other", "1") == &f.upstreams[1]);
	g_assert_true(book(&f, &caller) == &f.upstreams[1]);
	ks_fleet_remove(fleet, KS_STR("u0"));
	respond(&f.upstreams[1], 503, true, "retry-after", "5");
	FIXTURE_WAIT(&f, caller.done);
	fixture_end_call(&caller);
	ks_fleet_remove(fleet, KS_STR("u1"));
	fixture_put_upstream(&f, 1, "app", KS_STAGE_ANY);
	g_assert_null(book(&f, &caller));
	g_assert_cmpint(caller.status, ==, 503);
	fixture_end_call(&caller);
	fixture_deinit(&f);
}

/*
 * Guards against losing what an upstream says in the response to a request that
 * was sent before its announcement lapsed and came back.
 */
static void test_response_after_lapse(void)
{
	struct fixture_upstream *leaving;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	leaving = book(&f, &caller);
	for (int i = 0; i < 2; i++) {
		ks_fleet_remove(ks_gateway_fleet(f.gateway),
				i ? KS_STR("u1") : KS_STR("u0"));
		fixture_put_upstream(&f, i, "app", KS_STAGE_ANY);
	}
	respond(leaving, 200, false, "x-leaving", "1");
	FIXTURE_WAIT(&f, caller.done);
	fixture_end_call(&caller);
	for (int i = 0; i < 10; i++)
		g_assert_true(book_with(&f, "x-other", "1") != leaving);
	fixture_deinit(&f);
}

/* Guards against a start of the upstream at the same address that is taken for
 * the one that leaves. */
static void test_restarted_is_used(void)
{
	ks_member_spec_t spec = { .id = KS_STR("u0"),
				  .service = KS_STR("app"),
				  .domain = KS_STR("d1"),
				  .process_start_ms = 7,
				  .accepting = true };
	struct fixture f;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	fixture_put_upstream(&f, 0, "app", KS_STAGE_ANY);
	book_with(&f, "x-leaving", "1");
	fixture_advance(&f, 2 * NOTICE_MS);
	g_strlcpy(spec.address.ip, "127.0.0.1", sizeof(spec.address.ip));
	spec.address.port = f.upstreams[0].server.port;
	ks_fleet_put(ks_gateway_fleet(f.gateway), &spec);
	book_with(&f, "x-other", "1");
	fixture_deinit(&f);
}

/* Guards against a leaving engine that is only known from the end of a stream:
 * the field comes with its head. */
static void test_stream_tells_at_its_head(void)
{
	ks_header_t headers[] = { { KS_STR("x-id"), KS_STR("r1") },
				  { KS_STR("x-leaving"), KS_STR("1") } };
	struct fixture_upstream *leaving;
	struct fixture_caller stream;
	struct fixture f;

	fixture_init(&f);
	fixture_call(&f, &stream, "POST", "/tell/");
	leaving = fixture_wait_request(&f);
	ks_http1_start(leaving->request, 200, headers, 2, -1);
	fixture_send(leaving, "id: 0\ndata: a\n\n");
	FIXTURE_WAIT(&f, stream.status);
	for (int i = 0; i < 5; i++) {
		struct fixture_upstream *other =
			&f.upstreams[leaving == &f.upstreams[0]];
		struct fixture_caller caller;

		fixture_call(&f, &caller, "POST", "/book/");
		FIXTURE_WAIT(&f, other->request);
		fixture_respond(other, 200, false, "");
		FIXTURE_WAIT(&f, caller.done);
		fixture_end_call(&caller);
	}
	g_assert_cmpuint(leaving->received->len, ==, 1);
	fixture_end_response(leaving);
	FIXTURE_WAIT(&f, stream.done);
	fixture_end_call(&stream);
	fixture_deinit(&f);
}

/* Lets the one upstream turn a booking away; returns the caller's status. */
static int turn_away(struct fixture *f, const char *wait)
{
	struct fixture_caller caller;
	struct fixture_upstream *upstream = book(f, &caller);
	int status;

	g_assert_nonnull(upstream);
	respond(upstream, 503, true, "retry-after", wait);
	FIXTURE_WAIT(f, caller.done || fixture_pending_upstream(f));
	if (!caller.done)
		respond(fixture_pending_upstream(f), 200, false, "x-other",
			"1");
	FIXTURE_WAIT(f, caller.done);
	status = caller.status;
	fixture_end_call(&caller);
	return status;
}

/*
 * Guards against sending requests to an upstream that requested a back-off,
 * and against a refusal that is late or does not say when to come back.
 */
static void test_back_off(void)
{
	struct fixture_caller caller;
	struct fixture f;

	fixture_init_bare(&f);
	fixture_apply(&f, 1);
	fixture_put_upstream(&f, 0, "app", KS_STAGE_ANY);
	g_assert_cmpint(turn_away(&f, "3"), ==, 503);
	for (int ms = 0; ms < 3000; ms += 500) {
		g_assert_null(book(&f, &caller));
		g_assert_cmpint(caller.status, ==, 503);
		g_assert_cmpfloat(g_ascii_strtod(caller.retry_after->str, NULL),
				  >=, (3000 - ms - 20) / 1000.0);
		fixture_end_call(&caller);
		fixture_advance(&f, 500);
	}
	g_assert_cmpuint(f.upstreams[0].received->len, ==, 1);
	fixture_advance(&f, 800);
	book_with(&f, "x-other", "1");
	fixture_deinit(&f);
}

/* Guards against sending a request whose connection came up only after its
 * upstream had requested a back-off. */
static void test_back_off_while_connecting(void)
{
	struct fixture_caller caller;
	ks_member_t *member;
	struct fixture f;

	fixture_init(&f);
	ks_fleet_remove(ks_gateway_fleet(f.gateway), KS_STR("u1"));
	member = ks_fleet_find(ks_gateway_fleet(f.gateway), KS_STR("u0"));
	fixture_call(&f, &caller, "POST", "/book/");
	/* One iteration at a time: the next one would connect. */
	for (int i = 0; i < FIXTURE_MAX_STEPS && !member->running; i++)
		ks_loop_run_once(&f.loop, FIXTURE_STEP_US);
	g_assert_cmpuint(member->running, ==, 1);
	ks_withdrawal_back_off(&member->withdrawal, KS_STR("2"), 0,
			       ks_loop_now(&f.loop));
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpint(caller.status, ==, 503);
	g_assert_cmpuint(fixture_n_requests(&f), ==, 0);
	fixture_end_call(&caller);
	/* The other upstream takes the next one. */
	fixture_put_upstream(&f, 1, "app", KS_STAGE_ANY);
	g_assert_true(book_with(&f, "x-other", "1") == &f.upstreams[1]);
	fixture_deinit(&f);
}

/* Guards against a refusal to the caller while another upstream can serve. */
static void test_other_serves(void)
{
	struct fixture_upstream *away;
	struct fixture_caller caller;
	struct fixture f;

	fixture_init(&f);
	away = book(&f, &caller);
	respond(away, 503, true, "retry-after", "5");
	FIXTURE_WAIT(&f, fixture_pending_upstream(&f));
	g_assert_true(fixture_pending_upstream(&f) != away);
	respond(fixture_pending_upstream(&f), 200, false, "x-other", "1");
	FIXTURE_WAIT(&f, caller.done);
	fixture_end_call(&caller);
	for (int i = 0; i < 10; i++)
		g_assert_true(book_with(&f, "x-other", "1") != away);
	fixture_deinit(&f);
}

/* Guards against values that are no time in seconds and keep requests from an
 * upstream, for ever in the worst case. */
static void test_absurd_times(void)
{
	static const char *const none[] = {
		"0",	"-3",  "soon", "Fri, 04 Dec 2026 08:00:00 GMT",
		"1e9",	"0.0", ".5",   "3 s",
		"0x10", ""
	};
	ks_withdrawal_t withdrawal;

	for (size_t i = 0; i < G_N_ELEMENTS(none); i++) {
		memset(&withdrawal, 0, sizeof(withdrawal));
		g_assert_false(ks_withdrawal_back_off(
			&withdrawal, ks_str_from(none[i]), 1, 5));
		g_assert_true(ks_withdrawal_permits(&withdrawal, 5));
	}
	memset(&withdrawal, 0, sizeof(withdrawal));
	g_assert_true(ks_withdrawal_back_off(&withdrawal, KS_STR("99999999999"),
					     0, 0));
	g_assert_cmpint(withdrawal.away_until_us, ==, 3600 * KS_USEC_PER_SEC);
	memset(&withdrawal, 0, sizeof(withdrawal));
	g_assert_true(
		ks_withdrawal_back_off(&withdrawal, KS_STR("0.25"), 0, 0));
	g_assert_cmpint(withdrawal.away_until_us, ==, 250 * KS_USEC_PER_MSEC);
}

/* Guards against all waiting requests arriving when the time is over. */
static void test_return_begins_with_few(void)
{
	ks_withdrawal_t withdrawal = { 0 };
	unsigned in_first_100_ms = 0, after = 0;

	ks_withdrawal_back_off(&withdrawal, KS_STR("2"), 0, 0);
	for (int64_t ms = 2000; ms < 3200; ms++) {
		int64_t now = ms * KS_USEC_PER_MSEC;

		if (!ks_withdrawal_permits(&withdrawal, now))
			continue;
		ks_withdrawal_record_send(&withdrawal, now);
		in_first_100_ms += ms < 2100;
		after += ms >= 3000;
	}
	g_assert_cmpuint(in_first_100_ms, <=, 2);
	g_assert_cmpuint(after, ==, 200);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/withdrawal/leaving", test_leaving_gets_nothing);
	g_test_add_func("/withdrawal/leaving-not-undone",
			test_leaving_is_not_undone);
	g_test_add_func("/withdrawal/all-leave", test_all_leave);
	g_test_add_func("/withdrawal/lapsed", test_lapsed_is_not_forgotten);
	g_test_add_func("/withdrawal/response-after-lapse",
			test_response_after_lapse);
	g_test_add_func("/withdrawal/restarted", test_restarted_is_used);
	g_test_add_func("/withdrawal/stream-head",
			test_stream_tells_at_its_head);
	g_test_add_func("/withdrawal/back-off", test_back_off);
	g_test_add_func("/withdrawal/while-connecting",
			test_back_off_while_connecting);
	g_test_add_func("/withdrawal/other-serves", test_other_serves);
	g_test_add_func("/withdrawal/absurd-times", test_absurd_times);
	g_test_add_func("/withdrawal/return", test_return_begins_with_few);
	return g_test_run();
}
