/*
 * Runs a gateway between a caller and upstreams whose responses are scripted by
 * the test. All of them share one event loop, and the test advances its clock.
 */
#ifndef KS_GATEWAY_FIXTURE_H
#define KS_GATEWAY_FIXTURE_H

#include "ks/gateway.h"

#include <string.h>

#ifndef FIXTURE_UPSTREAMS
#define FIXTURE_UPSTREAMS 3
#endif
#define FIXTURE_MAX_STEPS 4000
#define FIXTURE_STEP_US (2 * KS_USEC_PER_MSEC)

/* Cache size of an engine, and latency objectives of all routes. */
#define FIXTURE_MEMORY_TOKENS 400000
#define FIXTURE_OBJECTIVE_MS 400
#define FIXTURE_MAX_PAUSE_MS 200

static const ks_str_t fixture_system_fields[] = {
	{ "x-expect", 8 }, { "x-stage", 7 }, { "x-kv", 4 }, { "x-fetch", 7 }
};

static const ks_dialect_t fixture_dialect = {
	.request_id = { "x-id", 4 },
	.time_left_ms = { "x-left", 6 },
	.expected_upstream = { "x-expect", 8 },
	.not_run = { "x-not-run", 9 },
	.retry_after = { "retry-after", 11 },
	.leaving = { "x-leaving", 9 },
	.stated_limit = { "x-limit", 7 },
	.last_event_id = { "last-event-id", 13 },
	.resumes = { "x-resumes", 9 },
	.prompt_parts = { "x-parts", 7 },
	.priority = { "x-priority", 10 },
	.stage = { "x-stage", 7 },
	.stage_prefill = { "prefill", 7 },
	.kv_source = { "x-kv", 4 },
	.kv_fetch = { "x-fetch", 7 },
	.handle_path = { "/handle/", 8 },
	.handle_member = "handle",
	.authorization = { "authorization", 13 },
	.key_scheme = { "Token", 5 },
	.organisation = { "x-organisation", 14 },
	.ready_path = { "/ready", 6 },
	.system_fields = fixture_system_fields,
	.n_system_fields = G_N_ELEMENTS(fixture_system_fields),
};

/**
 * struct fixture_upstream - an upstream that responds when the test tells it to
 * @received: "METHOD TARGET BODY" of each request, in the order of arrival
 * @request: the request that has not been answered, NULL if there is none
 * @left: the gateway closed the connection of the last request
 */
struct fixture_upstream {
	ks_http1_server_t server;
	GPtrArray *received;
	ks_http1_request_t *request;
	bool left;
};

/**
 * struct fixture_caller - a call to the gateway and its response
 * @result: set once @done
 * @seal: value of the x-seal field, which upstreams set in their responses
 */
struct fixture_caller {
	ks_http_call_t call;
	bool done;
	int status;
	ks_http_result_t result;
	GString *body;
	GString *seal;
	GString *retry_after;
};

struct fixture {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http_client_t client;
	ks_gateway_t *gateway;
	struct fixture_upstream upstreams[FIXTURE_UPSTREAMS];
};

static void fixture_on_gone(void *ctx)
{
	struct fixture_upstream *upstream = ctx;
	ks_http1_request_t *request = upstream->request;

	upstream->left = true;
	upstream->request = NULL;
	ks_http1_abort(request);
}

static void fixture_on_request(void *ctx, ks_http1_request_t *request)
{
	struct fixture_upstream *upstream = ctx;

	g_ptr_array_add(
		upstream->received,
		g_strdup_printf("%.*s %.*s %.*s", (int)request->method.len,
				request->method.data, (int)request->target.len,
				request->target.data, (int)request->body.len,
				request->body.data));
	/* Its fields tell a request of this test from one of another program.
	 */
	if (upstream->request)
		for (size_t i = 0; i < request->n_headers; i++)
			g_printerr("a second request: %.*s: %.*s\n",
				   (int)request->headers[i].name.len,
				   request->headers[i].name.data,
				   (int)request->headers[i].value.len,
				   request->headers[i].value.data);
	g_assert_null(upstream->request);
	upstream->request = request;
	upstream->left = false;
	request->ctx = upstream;
	request->disconnected = fixture_on_gone;
}

static inline void fixture_run_once(struct fixture *f)
{
	ks_loop_run_once(&f->loop, 0);
	ks_loop_run_once(&f->loop, FIXTURE_STEP_US);
}

#define FIXTURE_WAIT(f, condition)                                        \
	do {                                                              \
		for (int step_ = 0; step_ < FIXTURE_MAX_STEPS; step_++) { \
			if (condition)                                    \
				break;                                    \
			fixture_run_once(f);                              \
		}                                                         \
		g_assert_true(condition);                                 \
	} while (0)

/* Runs everything that does not wait for the clock to advance. */
static inline void fixture_run_pending(struct fixture *f)
{
	for (int i = 0; i < 20; i++)
		fixture_run_once(f);
}

/* Advances the clock in small steps, so that timers run in their order. */
static inline void fixture_advance(struct fixture *f, int64_t ms)
{
	for (int64_t i = 0; i < ms; i += 10) {
		ks_test_clock_advance(&f->clock, 10 * KS_USEC_PER_MSEC);
		fixture_run_once(f);
	}
}

static inline void fixture_put_upstream(struct fixture *f, int i,
					const char *service, ks_stage_t stage)
{
	char id[8];
	ks_member_spec_t spec = { .service = ks_str_from(service),
				  .domain = KS_STR("d1"),
				  .stage = stage,
				  .accepting = true };

	g_snprintf(id, sizeof(id), "u%d", i);
	spec.id = ks_str_from(id);
	g_strlcpy(spec.address.ip, "127.0.0.1", sizeof(spec.address.ip));
	spec.address.port = f->upstreams[i].server.port;
	ks_fleet_put(ks_gateway_fleet(f->gateway), &spec);
}

static inline void fixture_add_route(ks_traffic_t *traffic, const char *prefix,
				     ks_call_kind_t kind, bool resumable,
				     const char *service)
{
	ks_route_t *route = ks_traffic_add_route(traffic, ks_str_from(prefix),
						 KS_STR("shop.example"),
						 ks_str_from(prefix));

	route->kind = kind;
	route->resumable = resumable;
	route->timeout_us = (kind == KS_CALL_STREAM ? 10 : 2) * KS_USEC_PER_SEC;
	route->max_attempts = 2;
	route->objective_us = FIXTURE_OBJECTIVE_MS * KS_USEC_PER_MSEC;
	route->max_pause_us = FIXTURE_MAX_PAUSE_MS * KS_USEC_PER_MSEC;
	ks_route_add_split(route, ks_str_from(service), 1);
}

static inline void fixture_apply(struct fixture *f, int64_t version)
{
	ks_traffic_t *traffic = ks_traffic_new(version);
	ks_service_t *llm;

	ks_traffic_add_service(traffic, KS_STR("app"));
	llm = ks_traffic_add_service(traffic, KS_STR("llm"));
	llm->is_engine = true;
	llm->transfers_kv = true;
	llm->fetches_kv = true;
	llm->memory_tokens = FIXTURE_MEMORY_TOKENS;
	fixture_add_route(traffic, "/read/", KS_CALL_IDEMPOTENT, false, "app");
	fixture_add_route(traffic, "/book/", KS_CALL_ONCE, false, "app");
	fixture_add_route(traffic, "/tell/", KS_CALL_STREAM, false, "app");
	fixture_add_route(traffic, "/resume/", KS_CALL_STREAM, true, "app");
	fixture_add_route(traffic, "/advise/", KS_CALL_STREAM, false, "llm");
	fixture_add_route(traffic, "/continue/", KS_CALL_STREAM, true, "llm");
	ks_gateway_apply(f->gateway, traffic);
	ks_gateway_confirm(f->gateway);
	ks_traffic_unref(traffic);
}

/*
 * Creates a gateway without a configuration, and servers for the upstreams that
 * are not announced yet.
 */
static inline void fixture_init_bare(struct fixture *f)
{
	ks_address_t address = { "127.0.0.1", 0 };
	ks_gateway_settings_t settings = {
		.listen = address,
		.ready = address,
		.metrics = address,
		.name = "entry-1",
		.domain = "d1",
		.drain_delay_us = 3 * KS_USEC_PER_SEC,
		.grace_us = 8 * KS_USEC_PER_SEC,
		.leaving_notice_us = 2 * KS_USEC_PER_SEC,
		.retry_ratio = 0.2,
		.retry_slack = 160,
		.retry_window_us = 10 * KS_USEC_PER_SEC,
	};

	memset(f, 0, sizeof(*f));
	ks_test_clock_init(&f->clock, 100 * KS_USEC_PER_SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	ks_http_client_init(&f->client, &f->loop);
	f->gateway =
		ks_gateway_new(&f->loop, &fixture_dialect, &settings, NULL);
	g_assert_nonnull(f->gateway);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		struct fixture_upstream *upstream = &f->upstreams[i];

		upstream->received = g_ptr_array_new_with_free_func(g_free);
		g_assert_true(ks_http1_server_init(&upstream->server, &f->loop,
						   &address, fixture_on_request,
						   upstream, NULL));
	}
}

/* Announces u0 and u1 as upstreams of "app"; "llm" has no upstreams. */
static inline void fixture_init(struct fixture *f)
{
	fixture_init_bare(f);
	fixture_apply(f, 1);
	fixture_put_upstream(f, 0, "app", KS_STAGE_ANY);
	fixture_put_upstream(f, 1, "app", KS_STAGE_ANY);
}

static inline void fixture_deinit(struct fixture *f)
{
	ks_http_client_deinit(&f->client);
	ks_gateway_free(f->gateway);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		ks_http1_server_deinit(&f->upstreams[i].server);
		g_ptr_array_free(f->upstreams[i].received, TRUE);
	}
	ks_loop_deinit(&f->loop);
}

static void fixture_on_head(void *ctx, int status, const ks_header_t *headers,
			    size_t n)
{
	struct fixture_caller *caller = ctx;
	ks_str_t seal = ks_header_value(headers, n, "x-seal");
	ks_str_t retry = ks_header_value(headers, n, "retry-after");

	caller->status = status;
	g_string_append_len(caller->seal, seal.data, (gssize)seal.len);
	g_string_append_len(caller->retry_after, retry.data, (gssize)retry.len);
}

static void fixture_on_body(void *ctx, ks_str_t data)
{
	struct fixture_caller *caller = ctx;

	g_string_append_len(caller->body, data.data, (gssize)data.len);
}

static void fixture_on_done(void *ctx, ks_http_result_t result)
{
	struct fixture_caller *caller = ctx;

	caller->done = true;
	caller->result = result;
}

static const ks_http_events_t fixture_events = {
	.head = fixture_on_head,
	.body = fixture_on_body,
	.done = fixture_on_done,
};

static inline void fixture_call_as(struct fixture *f,
				   struct fixture_caller *caller,
				   const char *id, const char *method,
				   const char *target, const char *body,
				   const ks_header_t *extra, size_t n_extra)
{
	ks_header_t headers[8] = { { KS_STR("x-id"), ks_str_from(id) },
				   { KS_STR("x-left"), KS_STR("1500") } };
	bool is_stream = g_str_has_prefix(target, "/tell/");
	ks_http_request_t request = {
		.address = { "127.0.0.1", ks_gateway_port(f->gateway) },
		.method = ks_str_from(method),
		.target = ks_str_from(target),
		.host = KS_STR("shop.example"),
		.headers = headers,
		.n_headers = 2,
		.body = ks_str_from(body),
		.reuse = true,
		.no_retry = true,
	};

	if (is_stream)
		headers[1].value = KS_STR("9000");
	for (size_t i = 0; i < n_extra; i++) {
		bool is_left = ks_str_equal(extra[i].name, headers[1].name);

		headers[is_left ? 1 : request.n_headers++] = extra[i];
	}
	memset(caller, 0, sizeof(*caller));
	caller->body = g_string_new(NULL);
	caller->seal = g_string_new(NULL);
	caller->retry_after = g_string_new(NULL);
	ks_http_call_start(&caller->call, &f->client, &request, &fixture_events,
			   caller);
}

static inline void fixture_call_with(struct fixture *f,
				     struct fixture_caller *caller,
				     const char *method, const char *target,
				     const char *body, const ks_header_t *extra,
				     size_t n_extra)
{
	fixture_call_as(f, caller, "r1", method, target, body, extra, n_extra);
}

static inline void fixture_call(struct fixture *f,
				struct fixture_caller *caller,
				const char *method, const char *target)
{
	fixture_call_with(f, caller, method, target, "", NULL, 0);
}

static inline void fixture_end_call(struct fixture_caller *caller)
{
	ks_http_call_cancel(&caller->call);
	g_string_free(caller->body, TRUE);
	g_string_free(caller->seal, TRUE);
	g_string_free(caller->retry_after, TRUE);
}

/* Returns an upstream with an unanswered request, or NULL. */
static inline struct fixture_upstream *
fixture_pending_upstream(struct fixture *f)
{
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		if (f->upstreams[i].request)
			return &f->upstreams[i];
	return NULL;
}

static inline unsigned fixture_n_requests(const struct fixture *f)
{
	unsigned n = 0;

	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		n += f->upstreams[i].received->len;
	return n;
}

static inline struct fixture_upstream *fixture_wait_request(struct fixture *f)
{
	FIXTURE_WAIT(f, fixture_pending_upstream(f) != NULL);
	return fixture_pending_upstream(f);
}

static inline void fixture_start_response(struct fixture_upstream *upstream,
					  int status, bool not_run,
					  int64_t length)
{
	ks_header_t headers[] = { { KS_STR("x-id"), KS_STR("r1") },
				  { KS_STR("x-seal"), KS_STR("s") },
				  { KS_STR("x-not-run"), KS_STR("1") } };

	ks_http1_start(upstream->request, status, headers, not_run ? 3 : 2,
		       length);
}

static inline void fixture_send(struct fixture_upstream *upstream,
				const char *data)
{
	ks_http1_body(upstream->request, ks_str_from(data));
}

static inline void fixture_end_response(struct fixture_upstream *upstream)
{
	ks_http1_request_t *request = upstream->request;

	upstream->request = NULL;
	ks_http1_end(request);
}

static inline void fixture_abort_response(struct fixture_upstream *upstream)
{
	ks_http1_request_t *request = upstream->request;

	upstream->request = NULL;
	ks_http1_abort(request);
}

static inline void fixture_respond(struct fixture_upstream *upstream,
				   int status, bool not_run, const char *body)
{
	fixture_start_response(upstream, status, not_run,
			       (int64_t)strlen(body));
	fixture_send(upstream, body);
	fixture_end_response(upstream);
}

#endif
