/* Tests of the HTTP drivers against a fake platform in the same process. */
#include "fake_platform.h"
#include "ks/store.h"

#include <signal.h>

#define MAX_LOOP_ITERATIONS 10000

static ks_loop_t loop;
static fake_platform_t platform;
static ks_http_client_t client;
static ks_store_http_t driver;
static ks_address_t address = { "127.0.0.1", 0 };

/* Arguments of a callback. */
struct result {
	bool done;
	ks_store_outcome_t outcome;
	char *etag;
	char *value;
	uint64_t era;
	size_t n_rows;
	int failed;
};

static void wait_for(const bool *done)
{
	for (int i = 0; i < MAX_LOOP_ITERATIONS && !*done; i++)
		ks_loop_run_once(&loop, 10 * KS_USEC_PER_MSEC);
	g_assert_true(*done);
}

static void clear_result(struct result *result)
{
	g_free(result->etag);
	g_free(result->value);
	*result = (struct result){ 0 };
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	struct result *result = ctx;

	g_assert_false(result->done);
	result->done = true;
	result->outcome = outcome;
	if (!row)
		return;
	result->etag = ks_str_dup(row->etag);
	result->value = ks_str_dup(row->value);
	result->era = row->era;
}

static void on_rows(void *ctx, ks_store_outcome_t outcome, const ks_row_t *rows,
		    size_t n_rows, int failed)
{
	on_row(ctx, outcome, n_rows ? rows : NULL);
	((struct result *)ctx)->n_rows = n_rows;
	((struct result *)ctx)->failed = failed;
}

static ks_store_outcome_t get(struct result *result, const char *key)
{
	clear_result(result);
	driver.store.get(driver.store.impl, ks_str_from(key), on_row, result);
	wait_for(&result->done);
	return result->outcome;
}

static ks_store_outcome_t write_row(struct result *result,
				    const ks_store_write_t *write)
{
	clear_result(result);
	driver.store.write(driver.store.impl, write, on_row, result);
	wait_for(&result->done);
	return result->outcome;
}

static ks_store_outcome_t transact(struct result *result,
				   const ks_store_write_t *writes, size_t n)
{
	clear_result(result);
	driver.store.transact(driver.store.impl, writes, n, on_rows, result);
	wait_for(&result->done);
	return result->outcome;
}

static void reset_platform(void)
{
	fake_platform_reset(&platform);
	driver.timeout_us = 5 * KS_USEC_PER_SEC;
	driver.era = 0;
	driver.answered = false;
}

/*
 * Guards against keys or values changed by encoding, and against etags that
 * fail as precondition of the next write.
 */
static void test_store_rows(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("claim/1/t n/k%?#\"/é"),
				   .value = KS_STR("{\"a\":\"é\"}") };
	char *etag;

	reset_platform();
	g_assert_cmpint(get(&result, "claim/none"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_DONE);
	etag = g_strdup(result.etag);
	g_assert_cmpint(get(&result, write.key.data), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, etag);
	g_assert_cmpstr(result.value, ==, write.value.data);
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_REFUSED);
	write.etag = ks_str_from(etag);
	write.value = KS_STR("2");
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, !=, etag);
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_REFUSED);
	write.remove = true;
	write.unconditional = true;
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_DONE);
	g_assert_cmpint(get(&result, write.key.data), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	g_free(etag);
	clear_result(&result);
}

/* Guards against a check that writes the row or misses a change of it. */
static void test_store_check_only(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("lease/a"),
				   .value = KS_STR("1") };
	ks_store_write_t check = { .key = KS_STR("lease/a"),
				   .check_only = true };

	reset_platform();
	g_assert_cmpint(write_row(&result, &check), ==, KS_STORE_DONE);
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_DONE);
	g_assert_cmpint(write_row(&result, &check), ==, KS_STORE_REFUSED);
	clear_result(&result);
}

/* Guards against a transaction of which only a part takes effect. */
static void test_store_transactions(void)
{
	struct result result = { 0 };
	ks_store_write_t writes[] = {
		{ .key = KS_STR("release/1"), .value = KS_STR("one") },
		{ .key = KS_STR("release/head"), .value = KS_STR("head") },
	};

	reset_platform();
	g_assert_cmpint(transact(&result, &writes[1], 1), ==, KS_STORE_DONE);
	g_assert_cmpint(transact(&result, writes, 2), ==, KS_STORE_REFUSED);
	g_assert_cmpint(result.failed, ==, 1);
	g_assert_cmpint(get(&result, "release/1"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	writes[1].unconditional = true;
	g_assert_cmpint(transact(&result, writes, 2), ==, KS_STORE_DONE);
	g_assert_cmpuint(result.n_rows, ==, 2);
	g_assert_cmpint(get(&result, "release/1"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.value, ==, "one");
	clear_result(&result);
}

/*
 * Guards against storing a value that is not UTF-8 as empty without an error.
 */
static void test_store_refuses_non_utf8(void)
{
	struct result result = { 0 };
	ks_store_write_t writes[] = {
		{ .key = KS_STR("claim/1/a"), .value = KS_STR("good") },
		{ .key = KS_STR("claim/1/b"), .value = KS_STR("\xff\xfe") },
	};

	reset_platform();
	g_assert_cmpint(transact(&result, writes, 2), ==, KS_STORE_UNREACHABLE);
	g_assert_cmpint(write_row(&result, &writes[1]), ==,
			KS_STORE_UNREACHABLE);
	g_assert_cmpint(get(&result, "claim/1/a"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	clear_result(&result);
}

/* Guards against lists or removals that include rows outside their prefix. */
static void test_store_prefixes(void)
{
	struct result result = { 0 };
	ks_store_write_t writes[] = {
		{ .key = KS_STR("claim/1/a"), .value = KS_STR("1") },
		{ .key = KS_STR("claim/1/b"), .value = KS_STR("2") },
		{ .key = KS_STR("claim/10/a"), .value = KS_STR("3") },
	};

	reset_platform();
	g_assert_cmpint(transact(&result, writes, 3), ==, KS_STORE_DONE);
	clear_result(&result);
	driver.store.list(driver.store.impl, KS_STR("claim/1/"), on_rows,
			  &result);
	wait_for(&result.done);
	g_assert_cmpint(result.outcome, ==, KS_STORE_DONE);
	g_assert_cmpuint(result.n_rows, ==, 2);
	g_assert_cmpstr(result.value, ==, "1");
	clear_result(&result);
	driver.store.remove_prefix(driver.store.impl, KS_STR("claim/1/"),
				   on_row, &result);
	wait_for(&result.done);
	g_assert_cmpint(result.outcome, ==, KS_STORE_DONE);
	g_assert_cmpint(get(&result, "claim/1/a"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	g_assert_cmpint(get(&result, "claim/10/a"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.value, ==, "3");
	clear_result(&result);
}

/* Guards against objects changed by a write and a read. */
static void test_store_objects(void)
{
	struct result result = { 0 };
	char *body = g_strnfill(200000, 'x');

	reset_platform();
	driver.store.object_put(driver.store.impl, KS_STR("snapshot/1/ab"),
				ks_str_from(body), on_row, &result);
	wait_for(&result.done);
	g_assert_cmpint(result.outcome, ==, KS_STORE_DONE);
	clear_result(&result);
	driver.store.object_get(driver.store.impl, KS_STR("snapshot/1/ab"),
				on_row, &result);
	wait_for(&result.done);
	g_assert_cmpint(result.outcome, ==, KS_STORE_DONE);
	g_assert_cmpstr(result.value, ==, body);
	g_free(body);
	clear_result(&result);
}

/* Guards against reporting a write whose response was lost as failed. */
static void test_store_lost_answer_is_unknown(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("claim/1/a"),
				   .value = KS_STR("1") };

	reset_platform();
	platform.lose_answers = 1;
	platform.lose_matching = g_strdup("claim/");
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_UNKNOWN);
	g_assert_cmpint(get(&result, "claim/1/a"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.value, ==, "1");
	platform.lose_answers = 1;
	write.key = KS_STR("lease/a");
	g_assert_cmpint(transact(&result, &write, 1), ==, KS_STORE_DONE);
	clear_result(&result);
}

/* Guards against reporting a write that timed out as failed. */
static void test_store_slow_answer_is_unknown(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("plan/a"),
				   .value = KS_STR("1") };

	reset_platform();
	platform.delay_us = 3600 * KS_USEC_PER_SEC;
	driver.timeout_us = 50 * KS_USEC_PER_MSEC;
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_UNKNOWN);
	g_assert_cmpint(get(&result, "plan/a"), ==, KS_STORE_UNREACHABLE);
	clear_result(&result);
}

/* Guards against an unknown outcome if the platform says it had no effect. */
static void test_store_refused_without_effect_is_unreachable(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("plan/a"),
				   .value = KS_STR("1") };

	reset_platform();
	platform.down = true;
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_UNREACHABLE);
	g_assert_cmpint(get(&result, "plan/a"), ==, KS_STORE_UNREACHABLE);
	reset_platform();
	platform.write_rate.per_s = 1e-9;
	platform.write_rate.refilled_us = 1;
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_UNREACHABLE);
	g_assert_cmpint(get(&result, "plan/a"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	clear_result(&result);
}

/* Guards against an unknown outcome if no connection was established. */
static void test_store_no_connection_is_unreachable(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("plan/a") };
	ks_address_t good = driver.address;

	reset_platform();
	/* Nothing listens on port 1. */
	driver.address.port = 1;
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_UNREACHABLE);
	driver.address = good;
	clear_result(&result);
}

/* Guards against calls without the bearer token. */
static void test_store_sends_its_token(void)
{
	struct result result = { 0 };

	reset_platform();
	platform.token = g_strdup("secret");
	g_assert_cmpint(get(&result, "plan/a"), ==, KS_STORE_UNREACHABLE);
	ks_store_http_deinit(&driver);
	ks_store_http_init(&driver, &client, &address, "secret");
	g_assert_cmpint(get(&result, "plan/a"), ==, KS_STORE_DONE);
	g_clear_pointer(&platform.token, g_free);
	clear_result(&result);
}

struct hosts {
	bool done;
	bool ok;
	size_t n_leaving;
	char *first;
};

static void on_hosts(void *ctx, bool ok, const ks_str_t *leaving,
		     size_t n_leaving)
{
	struct hosts *hosts = ctx;

	hosts->done = true;
	hosts->ok = ok;
	hosts->n_leaving = n_leaving;
	hosts->first = n_leaving ? ks_str_dup(leaving[0]) : NULL;
}

static void on_controlled(void *ctx, const ks_http_response_t *response)
{
	g_assert_cmpint(response->status, ==, 200);
	*(bool *)ctx = true;
}

/* Takes a copy, or returns to it. */
static void control(const char *body)
{
	ks_http_request_t request = { .address = driver.address,
				      .method = KS_STR("POST"),
				      .target = KS_STR("/control"),
				      .body = ks_str_from(body) };
	bool done = false;

	ks_http_fetch(driver.client, &request, 1000, on_controlled, &done);
	wait_for(&done);
}

/*
 * Guards against the response to a call that a return from an older copy
 * overtakes counting as its result, and against an era that users are not told.
 */
static void test_store_era(void)
{
	struct result result = { 0 };
	ks_store_write_t write = { .key = KS_STR("a"), .value = KS_STR("1") };
	ks_store_write_t check = { .key = KS_STR("b"), .value = KS_STR("2") };

	reset_platform();
	control("{\"copy\":true}");
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_DONE);
	g_assert_cmpuint(result.era, ==, 0);
	control("{\"return\":true}");
	g_assert_cmpint(get(&result, "a"), ==, KS_STORE_UNREACHABLE);
	g_assert_cmpint(get(&result, "a"), ==, KS_STORE_DONE);
	g_assert_cmpstr(result.etag, ==, "");
	g_assert_cmpuint(result.era, ==, 1);
	control("{\"return\":true}");
	g_assert_cmpint(write_row(&result, &write), ==, KS_STORE_UNKNOWN);
	g_assert_cmpint(transact(&result, &check, 1), ==, KS_STORE_DONE);
	g_assert_cmpuint(result.era, ==, 2);
	/* An earlier era, as if another store answered. */
	driver.era = 3;
	g_assert_cmpint(get(&result, "a"), ==, KS_STORE_UNREACHABLE);
	clear_result(&result);
}

/*
 * Guards against reporting other hosts as leaving, and against reporting a
 * failure as an empty list.
 */
static void test_platform_hosts(void)
{
	ks_platform_http_t hosts_driver;
	struct hosts hosts = { 0 };

	reset_platform();
	ks_platform_http_init(&hosts_driver, &client, &address, NULL);
	g_ptr_array_add(platform.hosts, g_strdup("h1"));
	g_ptr_array_add(platform.hosts, g_strdup("h2"));
	g_ptr_array_add(platform.leaving, g_strdup("h2"));
	hosts_driver.platform.hosts(hosts_driver.platform.impl, on_hosts,
				    &hosts);
	wait_for(&hosts.done);
	g_assert_true(hosts.ok);
	g_assert_cmpuint(hosts.n_leaving, ==, 1);
	g_assert_cmpstr(hosts.first, ==, "h2");
	g_free(hosts.first);
	hosts = (struct hosts){ 0 };
	platform.hosts_down = true;
	hosts_driver.platform.hosts(hosts_driver.platform.impl, on_hosts,
				    &hosts);
	wait_for(&hosts.done);
	g_assert_false(hosts.ok);
	ks_platform_http_deinit(&hosts_driver);
}

static void start_platform(void)
{
	GError *error = NULL;

	ks_loop_init(&loop, ks_clock_monotonic());
	fake_platform_init(&platform, &loop, &address, &error);
	g_assert_no_error(error);
	address.port = ks_http_server_port(&platform.server);
	ks_http_client_init(&client, &loop);
	ks_store_http_init(&driver, &client, &address, NULL);
}

int main(int argc, char **argv)
{
	int status;

	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	start_platform();
	g_test_add_func("/store-http/rows", test_store_rows);
	g_test_add_func("/store-http/check-only", test_store_check_only);
	g_test_add_func("/store-http/transactions", test_store_transactions);
	g_test_add_func("/store-http/refuses-non-utf8",
			test_store_refuses_non_utf8);
	g_test_add_func("/store-http/prefixes", test_store_prefixes);
	g_test_add_func("/store-http/objects", test_store_objects);
	g_test_add_func("/store-http/lost-answer-is-unknown",
			test_store_lost_answer_is_unknown);
	g_test_add_func("/store-http/slow-answer-is-unknown",
			test_store_slow_answer_is_unknown);
	g_test_add_func("/store-http/refused-without-effect-is-unreachable",
			test_store_refused_without_effect_is_unreachable);
	g_test_add_func("/store-http/no-connection-is-unreachable",
			test_store_no_connection_is_unreachable);
	g_test_add_func("/store-http/sends-its-token",
			test_store_sends_its_token);
	g_test_add_func("/store-http/era", test_store_era);
	g_test_add_func("/platform-http/hosts", test_platform_hosts);
	status = g_test_run();
	ks_store_http_deinit(&driver);
	fake_platform_deinit(&platform);
	return status;
}
