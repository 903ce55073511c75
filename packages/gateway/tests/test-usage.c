/* Tests of counting and reporting the requests of organisations. */
#include "gateway_fixture.h"
#include "ks/usage.h"
#include "usage_row.h"

#define KEY "f75rjvz48wuakn2ftima"
#define WINDOW_US (5 * KS_USEC_PER_SEC)
#define LATE_US (10 * KS_USEC_PER_SEC)

static void apply_organisation(struct fixture *f)
{
	ks_traffic_t *traffic = ks_traffic_new(1);
	ks_organisations_t *organisations = ks_organisations_new();
	ks_service_t *llm;

	ks_traffic_add_service(traffic, KS_STR("app"));
	llm = ks_traffic_add_service(traffic, KS_STR("llm"));
	llm->is_engine = true;
	llm->transfers_kv = true;
	llm->memory_tokens = FIXTURE_MEMORY_TOKENS;
	fixture_add_route(traffic, "/open/", KS_CALL_IDEMPOTENT, false, "app");
	fixture_add_route(traffic, "/read/", KS_CALL_IDEMPOTENT, false, "app");
	fixture_add_route(traffic, "/book/", KS_CALL_ONCE, false, "app");
	fixture_add_route(traffic, "/continue/", KS_CALL_STREAM, true, "llm");
	((ks_route_t *)traffic->routes->pdata[0])->is_public = true;
	ks_organisations_add_key(
		organisations,
		ks_organisations_add(organisations, KS_STR("org")),
		KS_STR(KEY));
	ks_organisations_seal(organisations);
	traffic->organisations = organisations;
	ks_gateway_apply(f->gateway, traffic);
	ks_gateway_confirm(f->gateway);
	ks_traffic_unref(traffic);
}

/* Fixture whose wall clock is the monotonic one. */
static void init_counting(struct fixture *f, ks_usage_t *usage)
{
	fixture_init_bare(f);
	ks_usage_init(usage, &f->clock.clock, WINDOW_US, LATE_US);
	ks_gateway_set_usage(f->gateway, usage);
	apply_organisation(f);
	fixture_put_upstream(f, 0, "app", KS_STAGE_ANY);
	fixture_put_upstream(f, 1, "app", KS_STAGE_ANY);
}

static void deinit_counting(struct fixture *f, ks_usage_t *usage,
			    struct fixture_caller *caller)
{
	fixture_end_call(caller);
	ks_gateway_set_usage(f->gateway, NULL);
	fixture_deinit(f);
	ks_usage_deinit(usage);
}

static void call_with_key(struct fixture *f, struct fixture_caller *caller,
			  const char *method, const char *target)
{
	ks_header_t extra[] = {
		{ KS_STR("x-parts"), KS_STR("aa:9000,bb:7000") },
		{ KS_STR("authorization"), KS_STR("Token " KEY) },
	};

	fixture_call_with(f, caller, method, target, "", extra, 2);
}

static unsigned counted(ks_usage_t *usage, int64_t now_us)
{
	int64_t window = ks_usage_window_at(usage, now_us);
	unsigned n = 0;

	for (int64_t i = window - 2; i <= window; i++) {
		GArray *counts = ks_usage_sum(usage, i);

		if (counts->len)
			n += (unsigned)g_array_index(counts, ks_usage_count_t,
						     0)
				     .count;
		g_array_free(counts, TRUE);
	}
	return n;
}

/*
 * Guards against prefill requests that are counted, and against a request to an
 * engine that is counted before its first token, or again as it is resumed.
 */
static void test_engine(void)
{
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	struct fixture f;
	ks_usage_t usage;

	init_counting(&f, &usage);
	fixture_put_upstream(&f, 0, "llm", KS_STAGE_PREFILL);
	fixture_put_upstream(&f, 1, "llm", KS_STAGE_DECODE);
	fixture_put_upstream(&f, 2, "llm", KS_STAGE_DECODE);
	call_with_key(&f, &caller, "POST", "/continue/");
	upstream = fixture_wait_request(&f);
	fixture_respond(upstream, 200, false, "{\"handle\":\"h1\"}");
	upstream = fixture_wait_request(&f);
	fixture_start_response(upstream, 200, false, -1);
	fixture_run_pending(&f);
	g_assert_cmpuint(counted(&usage, f.clock.time_us), ==, 0);
	fixture_send(upstream, "id: 0\ndata: a\n\n");
	FIXTURE_WAIT(&f, caller.body->len);
	g_assert_cmpuint(counted(&usage, f.clock.time_us), ==, 1);
	fixture_abort_response(upstream);
	upstream = fixture_wait_request(&f);
	fixture_respond(upstream, 200, false, "id: 1\ndata: b\n\n");
	FIXTURE_WAIT(&f, caller.done);
	g_assert_cmpuint(counted(&usage, f.clock.time_us), ==, 1);
	deinit_counting(&f, &usage, &caller);
}

struct outcome {
	const char *target;
	const char *method;
	/* Of the first response and the others: 0 breaks off, 503 is not run */
	int statuses[2];
	unsigned expected;
};

/*
 * Guards against requests to plain services that are counted for a send that
 * was refused, twice for a retry, or not at all for a lost response, and
 * against counts of public routes.
 */
static void test_service(void)
{
	static const struct outcome outcomes[] = {
		{ "/read/", "GET", { 200, 200 }, 1 },
		{ "/read/", "GET", { 503, 200 }, 1 },
		{ "/read/", "GET", { 503, 503 }, 0 },
		{ "/read/", "GET", { 0, 200 }, 1 },
		{ "/read/", "GET", { 500, 200 }, 1 },
		{ "/book/", "POST", { 0, 200 }, 1 },
		{ "/open/", "GET", { 200, 200 }, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		const struct outcome *outcome = &outcomes[i];
		struct fixture_upstream *upstream;
		struct fixture_caller caller;
		struct fixture f;
		ks_usage_t usage;

		g_test_message("outcome %zu", i);
		init_counting(&f, &usage);
		call_with_key(&f, &caller, outcome->method, outcome->target);
		for (int j = 0; !caller.done; j++) {
			int status = outcome->statuses[MIN(j, 1)];

			FIXTURE_WAIT(&f, caller.done ||
						 fixture_pending_upstream(&f));
			upstream = fixture_pending_upstream(&f);
			if (!upstream)
				break;
			if (status)
				fixture_respond(upstream, status, status == 503,
						"x");
			else
				fixture_abort_response(upstream);
		}
		FIXTURE_WAIT(&f, caller.done);
		g_assert_cmpuint(counted(&usage, f.clock.time_us), ==,
				 outcome->expected);
		deinit_counting(&f, &usage, &caller);
	}
}

/*
 * Guards against a request without a response by its deadline that is not
 * counted, or whose window is final while it may still be refused.
 */
static void test_no_response(void)
{
	struct fixture_caller caller;
	struct fixture f;
	ks_usage_t usage;
	int64_t window;

	init_counting(&f, &usage);
	/* Shortly before the end of a window. */
	fixture_advance(&f, 4900);
	ks_usage_update(&usage, f.clock.time_us);
	window = ks_usage_window_at(&usage, f.clock.time_us);
	call_with_key(&f, &caller, "GET", "/read/");
	fixture_wait_request(&f);
	fixture_advance(&f, 1000);
	ks_usage_update(&usage, f.clock.time_us);
	g_assert_cmpint(usage.final, <, window);
	fixture_advance(&f, 1200);
	FIXTURE_WAIT(&f, caller.done);
	ks_usage_update(&usage, f.clock.time_us);
	g_assert_cmpint(usage.final, ==, window);
	g_assert_cmpuint(counted(&usage, f.clock.time_us), ==, 1);
	deinit_counting(&f, &usage, &caller);
}

/* Guards against one wrong clock that moves the windows of all entries. */
static void test_clock(void)
{
	ks_test_clock_t wall;
	ks_usage_t usage;

	ks_test_clock_init(&wall, 1000 * KS_USEC_PER_SEC);
	ks_usage_init(&usage, &wall.clock, WINDOW_US, LATE_US);
	ks_usage_hear(&usage, 1, 1003 * KS_USEC_PER_SEC, 1);
	ks_usage_hear(&usage, 3, 1003 * KS_USEC_PER_SEC, 1);
	g_assert_cmpint(ks_usage_true_us(&usage, 1), ==,
			1003 * KS_USEC_PER_SEC);
	/* Clocks that were heard long ago do not count. */
	ks_test_clock_advance(&wall, 3 * KS_USEC_PER_SEC);
	ks_usage_hear(&usage, 3, 1008 * KS_USEC_PER_SEC, 3000001);
	g_assert_cmpint(ks_usage_true_us(&usage, 3000001) / KS_USEC_PER_MSEC,
			==, 1005500);
	ks_usage_deinit(&usage);
}

static void init_pair(ks_usage_t usages[2], const ks_test_clock_t *clock)
{
	ks_organisations_t *organisations = ks_organisations_new();

	ks_organisations_add(organisations, KS_STR("org"));
	for (int i = 0; i < 2; i++) {
		ks_usage_init(&usages[i], &clock->clock, WINDOW_US, LATE_US);
		ks_usage_set_organisations(&usages[i], organisations,
					   clock->time_us);
	}
	ks_organisations_free(organisations);
}

static void pass_message(ks_usage_t usages[2], const ks_test_clock_t *clock,
			 bool is_last, bool is_lost)
{
	GByteArray *message = g_byte_array_new();

	ks_usage_hear(&usages[1], 1, clock->time_us, clock->time_us);
	if (ks_usage_pack(&usages[0], 1, is_last, clock->time_us, message) &&
	    !is_lost)
		ks_usage_receive(
			&usages[1], 3,
			(ks_str_t){ (const char *)message->data, message->len },
			clock->time_us);
	g_byte_array_free(message, TRUE);
}

static void count(ks_usage_t *usage, const ks_test_clock_t *clock)
{
	int64_t window = ks_usage_begin(usage, "org", clock->time_us);

	ks_usage_end(usage, "org", window, true);
}

/*
 * Guards against a window that is taken for complete after a message was lost,
 * and against counts that a repeated message changes.
 */
static void test_lost_messages(void)
{
	ks_test_clock_t clock;
	ks_usage_t usages[2];
	uint64_t missing;
	int64_t window;

	ks_test_clock_init(&clock, 1000 * KS_USEC_PER_SEC);
	init_pair(usages, &clock);
	ks_test_clock_advance(&clock, 5 * KS_USEC_PER_SEC);
	pass_message(usages, &clock, false, false);
	window = ks_usage_window_at(&usages[0], clock.time_us);
	count(&usages[0], &clock);
	pass_message(usages, &clock, false, true);
	/* The digest of a window is sent with its end, the counts on request.
	 */
	ks_test_clock_advance(&clock, 5 * KS_USEC_PER_SEC);
	ks_usage_update(&usages[1], clock.time_us);
	pass_message(usages, &clock, false, false);
	g_assert_cmpint(usages[0].final, ==, window);
	g_assert_false(ks_usage_is_complete(&usages[1], window, clock.time_us));
	g_assert_cmpuint(
		ks_usage_missing(&usages[1], &missing, 1, clock.time_us), ==,
		1);
	g_assert_cmpuint(missing, ==, 1);
	ks_usage_request(&usages[0], clock.time_us);
	pass_message(usages, &clock, false, false);
	pass_message(usages, &clock, true, false);
	g_assert_true(ks_usage_is_complete(&usages[1], window, clock.time_us));
	g_assert_cmpuint(counted(&usages[1], clock.time_us), ==, 1);
	ks_usage_deinit(&usages[0]);
	ks_usage_deinit(&usages[1]);
}

/* Guards against an entry that ends and delays or falsifies the next reports.
 */
static void test_last_message(void)
{
	ks_test_clock_t clock;
	ks_usage_t usages[2];
	int64_t window;

	ks_test_clock_init(&clock, 1000 * KS_USEC_PER_SEC);
	init_pair(usages, &clock);
	ks_test_clock_advance(&clock, 5 * KS_USEC_PER_SEC);
	window = ks_usage_window_at(&usages[0], clock.time_us);
	ks_usage_update(&usages[1], clock.time_us);
	count(&usages[0], &clock);
	pass_message(usages, &clock, true, false);
	ks_test_clock_advance(&clock, 5 * KS_USEC_PER_SEC);
	ks_usage_update(&usages[1], clock.time_us);
	g_assert_true(ks_usage_is_complete(&usages[1], window, clock.time_us));
	g_assert_cmpuint(counted(&usages[1], clock.time_us), ==, 1);
	ks_usage_deinit(&usages[0]);
	ks_usage_deinit(&usages[1]);
}

/* Guards against a row that is too long, and against one that is misread. */
static void test_row(void)
{
	static const char *const malformed[] = { "x", "5\n4", "5\nx y\n" };
	char *body = g_strnfill(20000, 'b');
	struct usage_row row;
	GString *text, *value;

	usage_row_init(&row);
	text = usage_row_begin_write(&row, 0);
	for (int64_t window = 7; window < 10; window++)
		g_assert_true(usage_row_add(&row, text, window, body));
	g_assert_false(usage_row_add(&row, text, 10, body));
	row.written_next = 10;
	usage_row_adopt_write(&row);
	value = g_string_new("10\n");
	g_string_append_len(value, text->str, (gssize)text->len);
	g_string_free(text, TRUE);
	usage_row_deinit(&row);
	usage_row_init(&row);
	g_assert_true(
		usage_row_parse(&row, (ks_str_t){ value->str, value->len }));
	g_assert_cmpint(row.next, ==, 10);
	g_assert_cmpstr(usage_row_find(&row, 9)->body, ==, body);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		g_assert_false(
			usage_row_parse(&row, ks_str_from(malformed[i])));
	g_assert_cmpint(row.next, ==, 10);
	usage_row_deinit(&row);
	g_string_free(value, TRUE);
	g_free(body);
}

/*
 * Guards against a row of an earlier era of the store that passes for one of
 * the present era, and against a row of a version without eras that is refused.
 */
static void test_row_era(void)
{
	static const char *const malformed[] = { "5\n0 x\n", "5\n0 -1\n" };
	struct usage_row row;
	GString *text;
	char *value;

	usage_row_init(&row);
	text = usage_row_begin_write(&row, 0);
	g_assert_true(usage_row_add(&row, text, 7, "body"));
	row.written_next = 8;
	value = usage_row_format(&row, text->str, 3);
	g_assert_cmpstr(value, ==, "8\n0 3\n7 body\n");
	g_string_free(text, TRUE);
	usage_row_deinit(&row);
	usage_row_init(&row);
	g_assert_true(usage_row_parse(&row, ks_str_from(value)));
	g_assert_cmpuint(row.era, ==, 3);
	g_assert_cmpint(row.next, ==, 8);
	g_assert_cmpuint(row.reports.length, ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		g_assert_false(
			usage_row_parse(&row, ks_str_from(malformed[i])));
	g_assert_cmpuint(row.era, ==, 3);
	g_assert_true(usage_row_parse(&row, KS_STR("9\n7 body\n")));
	g_assert_cmpuint(row.era, ==, 0);
	g_assert_cmpint(row.next, ==, 9);
	g_assert_true(usage_row_parse(&row, KS_STR("")));
	g_assert_cmpuint(row.era, ==, 0);
	usage_row_deinit(&row);
	g_free(value);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/usage/engine", test_engine);
	g_test_add_func("/usage/service", test_service);
	g_test_add_func("/usage/no-response", test_no_response);
	g_test_add_func("/usage/clock", test_clock);
	g_test_add_func("/usage/lost-messages", test_lost_messages);
	g_test_add_func("/usage/last-message", test_last_message);
	g_test_add_func("/usage/row", test_row);
	g_test_add_func("/usage/row-era", test_row_era);
	return g_test_run();
}
