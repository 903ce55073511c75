/* Tests of links over ZeroMQ sockets. */
#include "ks/connection.h"

#include <malloc.h>
#include <zmq.h>

#define HEARTBEAT_US (100 * KS_USEC_PER_MSEC)
#define SILENCE_US (500 * KS_USEC_PER_MSEC)
/* Loop iterations after which waiting for a condition fails. */
#define MAX_TURNS 3000
#define TURN_US (10 * KS_USEC_PER_MSEC)

struct keys {
	char public_key[41];
	char secret_key[41];
};

/**
 * struct pair - both sides of a link in one process
 */
struct pair {
	ks_loop_t loop;
	void *zmq;
	ks_link_server_t *server;
	ks_link_client_t *client;
	ks_job_t *job;
	GString *response;
	bool ended;
	ks_error_kind_t end_kind;
	uint64_t config_version;
	bool leaving_seen;
};

static void on_request(void *ctx, ks_job_t *job,
		       const ks_attempt_request_t *request)
{
	struct pair *pair = ctx;

	g_assert_true(ks_str_equal(request->path, KS_STR("/v1/x")));
	pair->job = job;
	ks_job_accept(job);
}

static void on_cancelled(void *ctx, ks_job_t *job)
{
	struct pair *pair = ctx;

	g_assert_true(pair->job == job);
	pair->job = NULL;
	ks_job_end(job, KS_ERROR_UPSTREAM_FAILED, KS_STR("cancelled"));
}

static void on_config(void *ctx, uint64_t version, ks_str_t digest,
		      ks_str_t body)
{
	struct pair *pair = ctx;

	g_assert_true(ks_str_equal(digest, KS_STR("digest")));
	g_assert_true(ks_str_equal(body, KS_STR("snapshot")));
	pair->config_version = version;
}

static ks_str_t config_body(void *ctx G_GNUC_UNUSED, uint64_t *version,
			    ks_str_t *digest)
{
	*version = 7;
	*digest = KS_STR("digest");
	return KS_STR("snapshot");
}

static void on_leaving_seen(void *ctx)
{
	((struct pair *)ctx)->leaving_seen = true;
}

static void on_changed(void *ctx G_GNUC_UNUSED,
		       ks_link_client_t *link G_GNUC_UNUSED)
{
}

static void on_accepted(void *ctx G_GNUC_UNUSED)
{
}

static void on_not_started(void *ctx, ks_error_kind_t kind,
			   int64_t retry_after_us G_GNUC_UNUSED)
{
	struct pair *pair = ctx;

	pair->ended = true;
	pair->end_kind = kind;
}

static void on_head(void *ctx G_GNUC_UNUSED, int status,
		    const ks_header_t *headers, size_t n_headers)
{
	g_assert_cmpint(status, ==, 200);
	g_assert_true(ks_str_equal(ks_header_value(headers, n_headers, "x-a"),
				   KS_STR("b")));
}

static void on_body(void *ctx, ks_str_t data)
{
	struct pair *pair = ctx;

	g_string_append_len(pair->response, data.data, (gssize)data.len);
}

static void on_end(void *ctx, ks_error_kind_t kind,
		   ks_str_t message G_GNUC_UNUSED)
{
	struct pair *pair = ctx;

	pair->ended = true;
	pair->end_kind = kind;
}

static const ks_link_server_events_t server_events = {
	.request = on_request,
	.cancelled = on_cancelled,
	.config = on_config,
	.config_body = config_body,
	.leaving_seen = on_leaving_seen,
};

static const ks_link_client_events_t client_events = {
	.changed = on_changed,
	.config = on_config,
	.config_body = config_body,
};

static const ks_attempt_events_t attempt_events = {
	.accepted = on_accepted,
	.not_started = on_not_started,
	.head = on_head,
	.body = on_body,
	.end = on_end,
};

static void make_keys(struct keys *keys)
{
	g_assert_cmpint(zmq_curve_keypair(keys->public_key, keys->secret_key),
			==, 0);
}

static void start_pair_with_silence(struct pair *pair,
				    const ks_socket_security_t *server,
				    const ks_socket_security_t *client,
				    int64_t silence_us)
{
	ks_link_server_options_t server_options = {
		.upstream = "u1",
		.address = { "127.0.0.1", 0 },
		.security = *server,
		.heartbeat_us = HEARTBEAT_US,
		.silence_us = silence_us,
		.max_buffer = 1 << 20,
	};
	ks_link_client_options_t client_options = {
		.entry = "e1",
		.domain = "d1",
		.upstream = "u1",
		.address = { "127.0.0.1", 0 },
		.security = *client,
		.heartbeat_us = HEARTBEAT_US,
		.silence_us = silence_us,
	};
	GError *error = NULL;

	memset(pair, 0, sizeof(*pair));
	pair->response = g_string_new(NULL);
	ks_loop_init(&pair->loop, ks_clock_monotonic());
	pair->zmq = zmq_ctx_new();
	pair->server =
		ks_link_server_new(&pair->loop, pair->zmq, &server_options,
				   &server_events, pair, &error);
	g_assert_no_error(error);
	client_options.address.port = ks_link_server_port(pair->server);
	g_assert_true(ks_id_generate(&client_options.incarnation));
	pair->client = ks_link_client_new(
		&pair->loop, pair->zmq, &client_options, &client_events, pair);
}

static void start_pair(struct pair *pair, const ks_socket_security_t *server,
		       const ks_socket_security_t *client)
{
	start_pair_with_silence(pair, server, client, SILENCE_US);
}

static void stop_pair(struct pair *pair)
{
	if (pair->client)
		ks_link_client_free(pair->client);
	if (pair->server)
		ks_link_server_free(pair->server);
	zmq_ctx_term(pair->zmq);
	ks_loop_deinit(&pair->loop);
	g_string_free(pair->response, TRUE);
}

static bool run_until(struct pair *pair, bool (*condition)(struct pair *))
{
	for (int i = 0; i < MAX_TURNS && !condition(pair); i++)
		ks_loop_run_once(&pair->loop, TURN_US);
	return condition(pair);
}

static bool is_up(struct pair *pair)
{
	return ks_link_client_is_up(pair->client);
}

static bool has_job(struct pair *pair)
{
	return pair->job != NULL;
}

static bool has_ended(struct pair *pair)
{
	return pair->ended;
}

static bool is_idle(struct pair *pair)
{
	return ks_link_server_is_idle(pair->server);
}

static bool has_config(struct pair *pair)
{
	return pair->config_version == 7;
}

static bool has_seen_leaving(struct pair *pair)
{
	return pair->leaving_seen;
}

static ks_attempt_t *send(struct pair *pair, bool idempotent)
{
	ks_attempt_request_t request = {
		.key = { .attempt = 1 },
		.method = KS_STR("POST"),
		.path = KS_STR("/v1/x"),
		.body = KS_STR("{}"),
		.timeout_us = 10 * KS_USEC_PER_SEC,
		.idempotent = idempotent,
	};

	g_assert_true(ks_id_generate(&request.key.id));
	return ks_link_client_send(pair->client, &request, &attempt_events,
				   pair);
}

static void serve_request(struct pair *pair)
{
	ks_header_t header = { KS_STR("x-a"), KS_STR("b") };

	g_assert_true(run_until(pair, is_up));
	g_assert_nonnull(send(pair, true));
	g_assert_true(run_until(pair, has_job));
	ks_job_head(pair->job, 200, &header, 1);
	g_assert_true(ks_job_body(pair->job, KS_STR("hello ")));
	g_assert_true(ks_job_body(pair->job, KS_STR("world")));
	ks_job_end(pair->job, KS_ERROR_NONE, KS_STR(""));
	g_assert_true(run_until(pair, has_ended));
	g_assert_cmpint(pair->end_kind, ==, KS_ERROR_NONE);
	g_assert_cmpstr(pair->response->str, ==, "hello world");
	g_assert_true(run_until(pair, is_idle));
}

static const ks_socket_security_t plain = { .plain = true };

/* Guards against a response that is lost or changed. */
static void test_link_carries_response(void)
{
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	serve_request(&pair);
	stop_pair(&pair);
}

/* Guards against a response that is none in HTTP and is passed on. */
static void test_link_rejects_response(void)
{
	static const struct {
		int status;
		const char *name, *value;
	} heads[] = {
		{ 0, "x-a", "b" },	     { 99, "x-a", "b" },
		{ 600, "x-a", "b" },	     { 200, "x a", "b" },
		{ 200, "x-a\x01", "b" },     { 200, "", "b" },
		{ 200, "x-a", "b\r\nc: d" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		ks_header_t headers[] = { { KS_STR("x-a"), KS_STR("b") },
					  { ks_str_from(heads[i].name),
					    ks_str_from(heads[i].value) } };
		struct pair pair;

		start_pair(&pair, &plain, &plain);
		g_assert_true(run_until(&pair, is_up));
		g_assert_nonnull(send(&pair, true));
		g_assert_true(run_until(&pair, has_job));
		ks_job_head(pair.job, heads[i].status, headers, 2);
		ks_job_body(pair.job, KS_STR("hello"));
		ks_job_end(pair.job, KS_ERROR_NONE, KS_STR(""));
		g_assert_true(run_until(&pair, has_ended));
		g_assert_cmpint(pair.end_kind, ==, KS_ERROR_UPSTREAM_FAILED);
		g_assert_cmpstr(pair.response->str, ==, "");
		g_assert_true(run_until(&pair, is_idle));
		stop_pair(&pair);
	}
}

static void start_secure_pair(struct pair *pair, const struct keys *server,
			      const struct keys *client,
			      const char *allowed_key)
{
	const char *allowed[] = { allowed_key };
	ks_socket_security_t server_security = {
		.public_key = server->public_key,
		.secret_key = server->secret_key,
		.allowed_keys = allowed,
		.n_allowed_keys = G_N_ELEMENTS(allowed),
	};
	ks_socket_security_t client_security = {
		.server_key = server->public_key,
		.public_key = client->public_key,
		.secret_key = client->secret_key,
	};

	start_pair(pair, &server_security, &client_security);
}

/* Guards against an encrypted link that does not work. */
static void test_link_is_encrypted(void)
{
	struct keys server, client;
	struct pair pair;

	make_keys(&server);
	make_keys(&client);
	start_secure_pair(&pair, &server, &client, client.public_key);
	serve_request(&pair);
	stop_pair(&pair);
}

/* Guards against an upstream process that accepts any client key. */
static void test_link_refuses_unknown_key(void)
{
	struct keys server, client, other;
	struct pair pair;

	make_keys(&server);
	make_keys(&client);
	make_keys(&other);
	start_secure_pair(&pair, &server, &client, other.public_key);
	for (int i = 0; i < 100; i++) {
		ks_loop_run_once(&pair.loop, TURN_US);
		g_assert_false(is_up(&pair));
	}
	stop_pair(&pair);
}

/* Guards against unencrypted frames on a network. */
static void test_link_needs_loopback_without_encryption(void)
{
	ks_link_server_options_t options = {
		.upstream = "u1",
		.address = { "0.0.0.0", 0 },
		.security = { .plain = true },
	};
	void *zmq = zmq_ctx_new();
	GError *error = NULL;
	ks_loop_t loop;

	ks_loop_init(&loop, ks_clock_monotonic());
	g_assert_null(ks_link_server_new(&loop, zmq, &options, &server_events,
					 NULL, &error));
	g_assert_error(error, KS_ERROR, KS_ERROR_BAD_REQUEST);
	g_error_free(error);
	zmq_ctx_term(zmq);
	ks_loop_deinit(&loop);
}

/* Guards against two upstream processes for the same upstream. */
static void test_link_address_is_a_lock(void)
{
	ks_link_server_options_t options = {
		.upstream = "u1",
		.address = { "127.0.0.1", 0 },
		.security = { .plain = true },
	};
	GError *error = NULL;
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	options.address.port = ks_link_server_port(pair.server);
	g_assert_null(ks_link_server_new(&pair.loop, pair.zmq, &options,
					 &server_events, NULL, &error));
	g_assert_error(error, KS_ERROR, KS_ERROR_INTERNAL);
	g_error_free(error);
	stop_pair(&pair);
}

/* Guards against a configuration that is sent in one direction only. */
static void test_link_exchanges_config(void)
{
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	g_assert_true(run_until(&pair, is_up));
	ks_link_server_set_version(pair.server, 7);
	g_assert_true(run_until(&pair, has_config));
	stop_pair(&pair);

	start_pair(&pair, &plain, &plain);
	g_assert_true(run_until(&pair, is_up));
	ks_link_client_set_version(pair.client, 7);
	g_assert_true(run_until(&pair, has_config));
	stop_pair(&pair);
}

/*
 * Guards against a server that waits for long for the acknowledgement of an
 * entry that has ended, so that its process does not stop.
 */
static void test_link_entry_ended(void)
{
	ks_header_t header = { KS_STR("x-a"), KS_STR("b") };
	ks_test_clock_t clock;
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	ks_test_clock_init(&clock, ks_loop_now(&pair.loop));
	g_assert_true(run_until(&pair, is_up));
	g_assert_nonnull(send(&pair, true));
	g_assert_true(run_until(&pair, has_job));
	ks_job_head(pair.job, 200, &header, 1);
	ks_job_end(pair.job, KS_ERROR_NONE, KS_STR(""));
	ks_link_client_free(pair.client);
	pair.client = NULL;
	clock.time_us = ks_loop_now(&pair.loop);
	pair.loop.clock = &clock.clock;
	ks_test_clock_advance(&clock, 4 * SILENCE_US);
	ks_loop_run_once(&pair.loop, 0);
	g_assert_false(ks_link_server_is_idle(pair.server));
	ks_test_clock_advance(&clock, 2 * SILENCE_US);
	ks_loop_run_once(&pair.loop, 0);
	g_assert_true(ks_link_server_is_idle(pair.server));
	stop_pair(&pair);
}

/* Guards against a leaving host whose upstream processes are not notified. */
static void test_link_reports_leaving_host(void)
{
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	g_assert_true(run_until(&pair, is_up));
	ks_link_client_set_leaving_seen(pair.client, true);
	g_assert_true(run_until(&pair, has_seen_leaving));
	stop_pair(&pair);
}

/* Guards against a caller that waits forever when a host fails permanently. */
static void end_when_peer_fails(bool idempotent)
{
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	g_assert_true(run_until(&pair, is_up));
	g_assert_nonnull(send(&pair, idempotent));
	g_assert_true(run_until(&pair, has_job));
	ks_link_server_free(pair.server);
	pair.server = NULL;
	g_assert_true(run_until(&pair, has_ended));
	g_assert_cmpint(pair.end_kind, ==, KS_ERROR_OUTCOME_UNKNOWN);
	stop_pair(&pair);
}

static void test_link_ends_attempts_of_failed_peer(void)
{
	end_when_peer_fails(true);
	end_when_peer_fails(false);
}

static bool is_down(struct pair *pair)
{
	return !is_up(pair);
}

/*
 * Guards against requests that are sent on a broken connection until the
 * silence timeout. That timeout is set too long here to end the link.
 */
static void test_link_detects_broken_connection(void)
{
	ks_socket_security_t security = plain;
	struct pair pair;

	start_pair_with_silence(&pair, &security, &security,
				3600 * KS_USEC_PER_SEC);
	g_assert_true(run_until(&pair, is_up));
	ks_link_server_free(pair.server);
	pair.server = NULL;
	g_assert_true(run_until(&pair, is_down));
	stop_pair(&pair);
}

/* Guards against an unbounded response buffer when a caller does not read. */
static void test_link_bounds_unread_response(void)
{
	char piece[64 * 1024] = { 0 };
	struct pair pair;
	int sent = 0;

	start_pair(&pair, &plain, &plain);
	g_assert_true(run_until(&pair, is_up));
	g_assert_nonnull(send(&pair, true));
	g_assert_true(run_until(&pair, has_job));
	while (ks_job_body(pair.job, (ks_str_t){ piece, sizeof(piece) }))
		sent++;
	g_assert_cmpint(sent, <=, 16);
	g_assert_true(run_until(&pair, has_ended));
	g_assert_cmpint(pair.end_kind, ==, KS_ERROR_SLOW_READER);
	stop_pair(&pair);
}

/* 0 with sanitizers, whose allocator doesn't count here. */
static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/*
 * Guards against frames of few bytes, of an upstream that sends chunks of one
 * byte, which take several times their size in memory.
 */
static void test_link_bounds_unread_short_frames(void)
{
	size_t before, limit = 1 << 20;
	struct pair pair;

	start_pair(&pair, &plain, &plain);
	g_assert_true(run_until(&pair, is_up));
	g_assert_nonnull(send(&pair, true));
	g_assert_true(run_until(&pair, has_job));
	before = heap_bytes();
	while (ks_job_body(pair.job, KS_STR("z")))
		g_assert_cmpuint(heap_bytes(), <, before + 2 * limit);
	stop_pair(&pair);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/carries-response", test_link_carries_response);
	g_test_add_func("/link/rejects-response", test_link_rejects_response);
	g_test_add_func("/link/is-encrypted", test_link_is_encrypted);
	g_test_add_func("/link/refuses-unknown-key",
			test_link_refuses_unknown_key);
	g_test_add_func("/link/needs-loopback-without-encryption",
			test_link_needs_loopback_without_encryption);
	g_test_add_func("/link/address-is-a-lock", test_link_address_is_a_lock);
	g_test_add_func("/link/exchanges-config", test_link_exchanges_config);
	g_test_add_func("/link/entry-ended", test_link_entry_ended);
	g_test_add_func("/link/reports-leaving-host",
			test_link_reports_leaving_host);
	g_test_add_func("/link/ends-attempts-of-failed-peer",
			test_link_ends_attempts_of_failed_peer);
	g_test_add_func("/link/detects-broken-connection",
			test_link_detects_broken_connection);
	g_test_add_func("/link/bounds-unread-response",
			test_link_bounds_unread_response);
	g_test_add_func("/link/bounds-unread-short-frames",
			test_link_bounds_unread_short_frames);
	return g_test_run();
}
