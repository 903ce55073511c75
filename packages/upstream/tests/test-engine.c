/* Tests of the HTTP client of an engine's order endpoint with a fake engine. */
#include "fake_process.h"
#include "upstream_doubles.h"

#define ENGINE_ARGS "--model m1 --model-version 1 --decode-us 1000 --change-ms "

struct engine {
	struct fake fake;
	ks_engine_http_t driver;
	bool answered;
	ks_order_outcome_t outcome;
	bool reachable;
	ks_engine_state_t state;
};

static struct engine *engine_start(const char *args)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->fake = fake_start("fake-engine", args);
	ks_engine_http_init(&engine->driver, &test_client,
			    &engine->fake.address);
	return engine;
}

static void engine_stop(struct engine *engine)
{
	ks_engine_http_deinit(&engine->driver);
	fake_stop(&engine->fake);
	g_free(engine);
}

static void on_outcome(void *ctx, ks_order_outcome_t outcome)
{
	struct engine *engine = ctx;

	engine->answered = true;
	engine->outcome = outcome;
}

static void send_order(struct engine *engine, ks_order_kind_t kind,
		       const char *name, uint64_t fence, int64_t timeout_us)
{
	ks_order_t order = { .kind = kind,
			     .fence = fence,
			     .role = KS_ROLE_PREFILL };

	g_strlcpy(order.name, name, sizeof(order.name));
	g_strlcpy(order.version, "2", sizeof(order.version));
	engine->answered = false;
	engine->driver.engine.order(engine->driver.engine.impl, &order,
				    timeout_us, on_outcome, engine);
}

static ks_order_outcome_t order(struct engine *engine, ks_order_kind_t kind,
				const char *name, uint64_t fence)
{
	send_order(engine, kind, name, fence, CALL_TIMEOUT_US);
	WAIT_FOR(engine->answered);
	return engine->outcome;
}

static void on_observed(void *ctx, const ks_engine_state_t *state)
{
	struct engine *engine = ctx;

	engine->answered = true;
	engine->reachable = state != NULL;
	if (state)
		engine->state = *state;
	engine->state.adapters = NULL; /* valid during the call only */
}

static bool observe(struct engine *engine)
{
	engine->answered = false;
	engine->driver.engine.observe(engine->driver.engine.impl, on_observed,
				      engine);
	WAIT_FOR(engine->answered);
	return engine->reachable;
}

/* Guards against confusing fields of an order or of the state. */
static void test_orders_take_effect(void)
{
	struct engine *engine = engine_start(ENGINE_ARGS "1 --kv-blocks 9");

	g_assert_cmpint(order(engine, KS_ORDER_SET_ROLE, "", 3), ==,
			KS_ORDER_DONE);
	g_assert_cmpint(order(engine, KS_ORDER_UNLOAD_MODEL, "m1", 3), ==,
			KS_ORDER_DONE);
	g_assert_cmpint(order(engine, KS_ORDER_LOAD_MODEL, "m2", 4), ==,
			KS_ORDER_DONE);
	g_assert_cmpint(order(engine, KS_ORDER_LOAD_ADAPTER, "a", 4), ==,
			KS_ORDER_DONE);
	g_assert_true(observe(engine));
	g_assert_cmpstr(engine->state.model, ==, "m2");
	g_assert_cmpstr(engine->state.version, ==, "2");
	g_assert_cmpint(engine->state.role, ==, KS_ROLE_PREFILL);
	g_assert_cmpuint(engine->state.fence, ==, 4);
	g_assert_false(engine->state.busy_with_order);
	g_assert_cmpuint(engine->state.kv_blocks_total, ==, 9);
	g_assert_cmpint(fetch_stat(&engine->fake, "conflicts"), ==, 0);
	engine_stop(engine);
}

/* Guards against a fake engine that executes two orders at once. */
static void test_second_order_is_refused_and_counted(void)
{
	struct engine *engine = engine_start(ENGINE_ARGS "600000");
	struct reply second;

	send_order(engine, KS_ORDER_SET_ROLE, "", 1, CALL_TIMEOUT_US);
	WAIT_FOR(fetch_stat(&engine->fake, "orders") == 1);
	second = call(&engine->fake, "POST", "/orders",
		      "{\"kind\":\"set_role\",\"role\":\"both\",\"fence\":1}");
	g_assert_cmpint(second.status, ==, 409);
	g_assert_cmpint(fetch_stat(&engine->fake, "conflicts"), ==, 1);
	g_free(second.body);
	/* The first order is not answered before it has been executed. */
	g_assert_false(engine->answered);
	fake_stop(&engine->fake);
	WAIT_FOR(engine->answered);
	g_assert_cmpint(engine->outcome, ==, KS_ORDER_OUTCOME_UNKNOWN);
	ks_engine_http_deinit(&engine->driver);
	g_free(engine);
}

/*
 * Guards against an order with an outdated fencing token taking effect in an
 * engine that checks tokens. Other engines execute it and count a conflict.
 */
static void test_old_fence(void)
{
	struct engine *checks = engine_start(ENGINE_ARGS "1 --checks-fencing");
	struct engine *ignores = engine_start(ENGINE_ARGS "1");

	order(checks, KS_ORDER_SET_ROLE, "", 5);
	g_assert_cmpint(order(checks, KS_ORDER_UNLOAD_MODEL, "m1", 4), ==,
			KS_ORDER_REFUSED);
	g_assert_true(observe(checks));
	g_assert_cmpstr(checks->state.model, ==, "m1");
	g_assert_cmpint(fetch_stat(&checks->fake, "conflicts"), ==, 0);

	order(ignores, KS_ORDER_SET_ROLE, "", 5);
	g_assert_cmpint(order(ignores, KS_ORDER_UNLOAD_MODEL, "m1", 4), ==,
			KS_ORDER_DONE);
	g_assert_cmpint(fetch_stat(&ignores->fake, "conflicts"), ==, 1);
	engine_stop(checks);
	engine_stop(ignores);
}

/* Guards against reporting an unknown outcome as a refusal or a success. */
static void test_crash_in_change_is_an_unknown_outcome(void)
{
	struct engine *engine = engine_start(ENGINE_ARGS "20");
	struct reply reply = call(&engine->fake, "POST", "/control",
				  "{\"crash_in_change\":true}");

	g_assert_cmpint(order(engine, KS_ORDER_UNLOAD_MODEL, "m1", 1), ==,
			KS_ORDER_OUTCOME_UNKNOWN);
	g_assert_false(observe(engine));
	g_assert_cmpint(order(engine, KS_ORDER_UNLOAD_MODEL, "m1", 1), ==,
			KS_ORDER_NOT_SENT);
	g_free(reply.body);
	engine_stop(engine);
}

/* Guards against waiting forever for an engine that does not respond. */
static void test_unresponsive_engine_is_an_unknown_outcome(void)
{
	struct engine *engine = engine_start(ENGINE_ARGS "1");
	struct reply reply =
		call(&engine->fake, "POST", "/control", "{\"silent\":true}");

	send_order(engine, KS_ORDER_SET_ROLE, "", 1, 100 * KS_USEC_PER_MSEC);
	WAIT_FOR(engine->answered);
	g_assert_cmpint(engine->outcome, ==, KS_ORDER_OUTCOME_UNKNOWN);
	g_free(reply.body);
	engine_stop(engine);
}

/* Guards against reading a response without the state's fields as a state. */
static void test_invalid_state_is_rejected(void)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->fake = fake_start("fake-service", "");
	ks_engine_http_init(&engine->driver, &test_client,
			    &engine->fake.address);
	g_assert_false(observe(engine));
	engine_stop(engine);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fakes_init(argv[0]);
	g_test_add_func("/engine/orders", test_orders_take_effect);
	g_test_add_func("/engine/second-order",
			test_second_order_is_refused_and_counted);
	g_test_add_func("/engine/old-fence", test_old_fence);
	g_test_add_func("/engine/crash",
			test_crash_in_change_is_an_unknown_outcome);
	g_test_add_func("/engine/silent",
			test_unresponsive_engine_is_an_unknown_outcome);
	g_test_add_func("/engine/foreign", test_invalid_state_is_rejected);
	return g_test_run();
}
