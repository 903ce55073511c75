/*
 * Fixture with an upstream process on a simulated clock, test doubles of the
 * modules that it uses, and an HTTP server as its upstream. The server runs in
 * the same loop; each test sends the responses itself.
 */
#ifndef UPSTREAM_FIXTURE_H
#define UPSTREAM_FIXTURE_H

#include "upstream_doubles.h"

#include <h2o.h>
#include <signal.h>

#define SEC KS_USEC_PER_SEC
#define MSEC KS_USEC_PER_MSEC
#define MAX_TURNS 2000
#define MAX_CALLS 64

/**
 * struct backend_call - a request received by the HTTP server
 * @stream: set up by stream_begin()
 * @response_started: the response has been started
 * @sending: a part of the response is being sent
 * @closed: the request has been disposed of, as the connection was closed
 */
struct backend_call {
	h2o_generator_t stream;
	h2o_req_t *req;
	bool response_started;
	bool sending;
	bool closed;
};

struct fixture {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http_server_t backend;
	struct backend_call *calls[MAX_CALLS];
	unsigned n_calls;
	char endpoint[KS_ADDRESS_TEXT_SIZE];
	ks_settings_t settings;
	ks_upstream_process_t *process;
	ks_model_t model;
	ks_upstream_t upstream;
	ks_snapshot_t snapshot;
	ks_snapshot_t snapshot_without_upstream;
	ks_rng_t rng;
};

struct call_link {
	struct backend_call *call;
};

static void on_request_disposed(void *data)
{
	((struct call_link *)data)->call->closed = true;
}

static void on_backend_request(void *ctx, h2o_req_t *req)
{
	struct fixture *f = ctx;
	struct backend_call *call = g_new0(struct backend_call, 1);
	struct call_link *link = h2o_mem_alloc_shared(&req->pool, sizeof(*link),
						      on_request_disposed);

	g_assert_cmpuint(f->n_calls, <, MAX_CALLS);
	link->call = call;
	call->req = req;
	f->calls[f->n_calls++] = call;
}

static inline void run_turns(struct fixture *f, int n)
{
	for (int i = 0; i < n; i++)
		ks_loop_run_once(&f->loop, 0);
}

/* Fails after MAX_TURNS iterations of the loop of at most 10 ms each. */
#define RUN_UNTIL(f, condition)                                        \
	do {                                                           \
		for (int turn_ = 0; turn_ < MAX_TURNS && !(condition); \
		     turn_++)                                          \
			ks_loop_run_once(&(f)->loop, 10 * MSEC);       \
		g_assert_true(condition);                              \
	} while (0)

static inline void fixture_init_snapshots(struct fixture *f, bool engine,
					  unsigned limit)
{
	f->model.name = (char *)"m1";
	f->model.version = (char *)"1";
	f->model.adapters = g_ptr_array_new();
	g_ptr_array_add(f->model.adapters, (char *)"m1-adapter");
	f->upstream.id = (char *)"u1";
	f->upstream.model = engine ? (char *)"m1" : NULL;
	f->upstream.service = engine ? NULL : (char *)"shop";
	f->upstream.limit = limit;
	f->snapshot.version = 7;
	f->snapshot.models = g_ptr_array_new();
	f->snapshot.upstreams = g_ptr_array_new();
	g_ptr_array_add(f->snapshot.models, &f->model);
	g_ptr_array_add(f->snapshot.upstreams, &f->upstream);
	f->snapshot_without_upstream = f->snapshot;
	f->snapshot_without_upstream.version = 8;
	f->snapshot_without_upstream.upstreams = g_ptr_array_new();
}

static inline void fixture_init_settings(struct fixture *f)
{
	f->settings.upstream = (char *)"u1";
	f->settings.host = (char *)"host1";
	f->settings.listen = (char *)"127.0.0.1:0";
	f->settings.platform = (char *)"127.0.0.1:1";
	f->settings.endpoint = f->endpoint;
	f->settings.link_plain = true;
	f->settings.poll_ms = 5000;
	f->settings.heartbeat_ms = 1000;
	f->settings.silence_ms = 3000;
	f->settings.max_answer_kib = 1024;
	f->settings.max_requests = 100;
	f->settings.lease_ms = 15000;
	f->settings.store_writes_per_s = 20;
}

/* Starts the process, which has no snapshot yet, and the HTTP server. */
static inline struct fixture *fixture_new(bool engine, unsigned limit)
{
	struct fixture *f = g_new0(struct fixture, 1);
	ks_address_t address = { "127.0.0.1", 0 };

	signal(SIGPIPE, SIG_IGN); /* as the daemon does */
	memset(&doubles, 0, sizeof(doubles));
	doubles.link_idle = true;
	doubles.orders_idle = true;
	ks_test_clock_init(&f->clock, 1000 * SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	ks_rng_init(&f->rng, 1);
	g_assert_true(ks_http_server_init(&f->backend, &f->loop, &address,
					  1 << 20, on_backend_request, f,
					  NULL));
	address.port = ks_http_server_port(&f->backend);
	ks_address_format(&address, f->endpoint);
	fixture_init_snapshots(f, engine, limit);
	fixture_init_settings(f);
	f->process = ks_upstream_process_new(&f->loop, &f->settings, NULL);
	g_assert_nonnull(f->process);
	return f;
}

/* As fixture_new(), but with a snapshot and ready to accept requests. */
static inline struct fixture *fixture_ready(bool engine, unsigned limit)
{
	struct fixture *f = fixture_new(engine, limit);

	doubles.config_func(doubles.config_ctx, &f->snapshot);
	if (engine)
		doubles.order_driver_events->accepting(doubles.order_driver_ctx,
						       true);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_READY);
	return f;
}

/* Ends all calls, since the server cannot be freed with open connections. */
static inline void close_calls(struct fixture *f)
{
	for (unsigned i = 0; i < f->n_calls; i++) {
		struct backend_call *call = f->calls[i];
		h2o_iovec_t none = { NULL, 0 };

		if (call->closed)
			continue;
		if (!call->response_started)
			ks_http_reply(call->req, 500, "text/plain", KS_STR(""));
		else if (!call->sending)
			h2o_send(call->req, &none, 1, H2O_SEND_STATE_ERROR);
		RUN_UNTIL(f, call->closed);
	}
}

static inline void fixture_free(struct fixture *f)
{
	ks_upstream_process_free(f->process);
	close_calls(f);
	run_turns(f, 20);
	ks_http_server_deinit(&f->backend);
	for (unsigned i = 0; i < f->n_calls; i++)
		g_free(f->calls[i]);
	g_ptr_array_free(f->model.adapters, TRUE);
	g_ptr_array_free(f->snapshot.models, TRUE);
	g_ptr_array_free(f->snapshot.upstreams, TRUE);
	g_ptr_array_free(f->snapshot_without_upstream.upstreams, TRUE);
	ks_rng_deinit(&f->rng);
	ks_loop_deinit(&f->loop);
	g_free(f);
}

static inline ks_attempt_request_t example_request(bool idempotent)
{
	return (ks_attempt_request_t){
		.method = KS_STR("POST"),
		.path = KS_STR("/v1/completions"),
		.body = KS_STR("{}"),
		.timeout_us = 10 * SEC,
		.idempotent = idempotent,
		.prompt_tokens = 100,
		.output_tokens = 10,
	};
}

/* Submits an attempt as an entry would; returns the job that records it. */
static inline ks_job_t *submit(struct fixture *f, ks_attempt_request_t request)
{
	ks_job_t *job = g_new0(ks_job_t, 1);

	ks_id_generate_seeded(&request.key.id, &f->rng);
	request.key.attempt = 1;
	job->key = request.key;
	job->body = g_string_new(NULL);
	doubles.link_events->request(doubles.link_ctx, job, &request);
	return job;
}

static inline void cancel(ks_job_t *job)
{
	doubles.link_events->cancelled(doubles.link_ctx, job);
}

static inline void job_free(ks_job_t *job)
{
	g_string_free(job->body, TRUE);
	g_free(job);
}

static inline void on_stream_proceed(h2o_generator_t *self,
				     h2o_req_t *req G_GNUC_UNUSED)
{
	((struct backend_call *)self)->sending = false;
}

static inline void on_stream_stop(h2o_generator_t *self G_GNUC_UNUSED,
				  h2o_req_t *req G_GNUC_UNUSED)
{
}

static inline void stream_begin(struct backend_call *call, const char *type)
{
	call->response_started = true;
	call->stream.proceed = on_stream_proceed;
	call->stream.stop = on_stream_stop;
	call->req->res.status = 200;
	call->req->res.reason = "OK";
	h2o_add_header(&call->req->pool, &call->req->res.headers,
		       H2O_TOKEN_CONTENT_TYPE, NULL, type, strlen(type));
	h2o_start_response(call->req, &call->stream);
}

static inline void stream_send(struct fixture *f, struct backend_call *call,
			       const char *text, h2o_send_state_t state)
{
	h2o_iovec_t buf = h2o_strdup(&call->req->pool, text, SIZE_MAX);

	RUN_UNTIL(f, !call->sending);
	call->sending = true;
	h2o_send(call->req, &buf, 1, state);
}

#endif
