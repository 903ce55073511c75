/*
 * Fake LLM inference engine for tests and benchmarks. It emulates the timing of
 * continuous batching, the prefix cache and control-plane orders, and generates
 * deterministic tokens; docs/engine.md describes its interface:
 *
 *	POST /v1/completions		OpenAI completions API
 *	POST /v1/chat/completions	OpenAI chat API
 *	POST /orders			load a model or adapter, set the role
 *	GET /state			loaded model, role and delayed load
 *	GET /stats			counters
 *	GET /cache/events?since=N	changes of the prefix cache
 *	POST /kv/export, /kv/import	transfer of KV blocks
 *	POST /control			faults injected by a test
 */
#include "engine.h"
#include "fake_main.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_USAGE 2
#define EXIT_CRASHED 3

/* A request with X-KS-KV-Source imports its KV blocks first. */
static void begin_sequence(struct engine_sequence *seq, h2o_req_t *req)
{
	ks_str_t source = ks_http_req_header(req, "x-ks-kv-source");

	engine_reply_attach(seq, req);
	if (source.len)
		engine_kv_fetch(seq, source,
				ks_http_req_header(req, "x-ks-kv-handle"));
	else
		engine_batch_add(seq->engine, seq);
}

static void handle_completion(struct fake_engine *engine, h2o_req_t *req,
			      bool chat)
{
	struct engine_sequence *seq;
	json_t *model;
	const char *problem;

	engine->stats.requests++;
	seq = engine_sequence_parse(engine, req, chat, &problem);
	if (!seq) {
		engine_reply_error(req, 400, "bad_request", problem);
		return;
	}
	model = json_loads(seq->model_json, JSON_DECODE_ANY, NULL);
	if (engine->orders.current) {
		engine->stats.refused++;
		engine_reply_error(req, 503, "changing", "an order is running");
	} else if (!engine_orders_is_loaded(engine, json_string_value(model))) {
		engine->stats.refused++;
		engine_reply_error(req, 404, "model_not_found",
				   "the model is not loaded");
	} else {
		begin_sequence(seq, req);
		seq = NULL;
	}
	json_decref(model);
	if (seq)
		engine_sequence_free(seq);
}

static void handle_stats(struct fake_engine *engine, h2o_req_t *req)
{
	const struct engine_stats *stats = &engine->stats;

	engine_reply_json(
		req, 200,
		json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}",
			  "requests", (int)stats->requests, "completed",
			  (int)stats->completed, "cancelled",
			  (int)stats->cancelled, "refused", (int)stats->refused,
			  "orders", (int)stats->orders, "stale_orders",
			  (int)stats->stale_orders, "orders_while_running",
			  (int)stats->orders_while_running, "conflicts",
			  (int)stats->conflicts, "max_running",
			  (int)stats->max_running, "prefilled",
			  (int)stats->prefilled, "kv_imports",
			  (int)stats->kv_imports));
}

static void handle_events(struct fake_engine *engine, h2o_req_t *req)
{
	ks_str_t query = ks_http_req_query(req);
	int64_t since = 0;

	if (ks_str_has_prefix(query, KS_STR("since=")))
		ks_str_parse_int((ks_str_t){ query.data + 6, query.len - 6 }, 0,
				 INT64_MAX, &since);
	engine_reply_json(
		req, 200,
		engine_cache_events_since(&engine->cache, (uint64_t)since));
}

/* Also answered in silent mode, so that a test can turn that mode off. */
static void handle_control(struct fake_engine *engine, h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_t *silent = json_object_get(root, "silent");

	if (json_is_true(json_object_get(root, "crash")))
		_exit(EXIT_CRASHED);
	if (json_is_true(json_object_get(root, "crash_in_change")))
		engine->orders.crash_in_change = true;
	if (silent) {
		engine->silent = json_is_true(silent);
		engine_batch_pause(engine, engine->silent);
	}
	json_decref(root);
	engine_reply_json(req, 200, json_object());
}

static void handle(void *ctx, h2o_req_t *req)
{
	struct fake_engine *engine = ctx;
	ks_str_t path = ks_http_req_path(req);

	fake_echo_call(req);
	if (ks_str_equal(path, KS_STR("/control")))
		handle_control(engine, req);
	else if (engine->silent)
		return;
	else if (ks_str_equal(path, KS_STR("/v1/completions")))
		handle_completion(engine, req, false);
	else if (ks_str_equal(path, KS_STR("/v1/chat/completions")))
		handle_completion(engine, req, true);
	else if (ks_str_equal(path, KS_STR("/orders")))
		engine_orders_handle(engine, req);
	else if (ks_str_equal(path, KS_STR("/state")))
		engine_state_handle(engine, req);
	else if (ks_str_equal(path, KS_STR("/stats")))
		handle_stats(engine, req);
	else if (ks_str_equal(path, KS_STR("/cache/events")))
		handle_events(engine, req);
	else if (ks_str_equal(path, KS_STR("/kv/export")))
		engine_kv_handle_export(engine, req);
	else if (ks_str_equal(path, KS_STR("/kv/import")))
		engine_kv_handle_import(engine, req);
	else
		engine_reply_error(req, 404, "unknown_route", "unknown path");
}

static int run_engine(struct fake_engine *engine)
{
	struct fake_signals signals;
	int status = EXIT_FAILURE;

	ks_loop_init(&engine->loop, ks_clock_monotonic());
	fake_signals_init(&signals, &engine->loop);
	ks_http_client_init(&engine->client, &engine->loop);
	g_queue_init(&engine->kv_handles);
	engine->loads = g_array_new(FALSE, FALSE, sizeof(struct engine_load));
	engine_cache_init(&engine->cache, &engine->loop, &engine->options);
	engine_batch_init(engine);
	engine_orders_init(engine);
	engine_state_record(engine);
	if (fake_listen(&engine->server, &engine->loop, &engine->options.listen,
			handle, engine)) {
		ks_loop_run(&engine->loop);
		status = EXIT_SUCCESS;
	}
	/* Open requests refer to the server, so it cannot be freed here. */
	fflush(stderr);
	_exit(status);
}

static const struct engine_options default_options = {
	.listen = { "127.0.0.1", 0 },
	.prefill_us = 20,
	.decode_us = 10000,
	.max_batch = 32,
	.kv_blocks = 512,
	.change_us = 2 * KS_USEC_PER_SEC,
	.block_us = 8000,
	.seed = 1,
	.model = "",
	.version = "",
	.role = "both",
};

/* Passed to argtable as an array of pointers, which @end terminates. */
struct engine_args {
	struct arg_str *listen;
	struct arg_dbl *prefill;
	struct arg_dbl *decode;
	struct arg_int *max_batch;
	struct arg_int *kv_blocks;
	struct arg_lit *fencing;
	struct arg_int *change;
	struct arg_int *load_lag;
	struct arg_int *event_lag;
	struct arg_int *block;
	struct arg_int *seed;
	struct arg_str *model;
	struct arg_str *version;
	struct arg_str *role;
	struct arg_end *end;
};

static void init_args(struct engine_args *args)
{
	args->listen = arg_str0(NULL, "listen", "IP:PORT", "listen address");
	args->prefill = arg_dbl0(NULL, "prefill-us-per-token", "US",
				 "prefill time per prompt token");
	args->decode =
		arg_dbl0(NULL, "decode-us", "US", "duration of a decode step");
	args->max_batch = arg_int0(NULL, "max-batch", "N",
				   "maximum number of running sequences");
	args->kv_blocks = arg_int0(NULL, "kv-blocks", "N",
				   "KV cache size in blocks of 2,000 tokens");
	args->fencing =
		arg_lit0(NULL, "checks-fencing",
			 "reject orders with an outdated fencing token");
	args->change =
		arg_int0(NULL, "change-ms", "MS", "execution time of an order");
	args->load_lag = arg_int0(NULL, "load-lag-ms", "MS",
				  "delay of the load in /state");
	args->event_lag =
		arg_int0(NULL, "event-lag-ms", "MS", "delay of cache events");
	args->block = arg_int0(NULL, "kv-us-per-block", "US",
			       "transfer time per KV block");
	args->seed = arg_int0(NULL, "seed", "N", "random seed");
	args->model = arg_str0(NULL, "model", "NAME",
			       "model that is loaded at startup");
	args->version = arg_str0(NULL, "model-version", "VERSION",
				 "version of that model");
	args->role = arg_str0(NULL, "role", "ROLE", "both, prefill or decode");
	args->end = arg_end(10);
}

static int64_t msec_or(const struct arg_int *arg, int64_t fallback_us)
{
	return arg->count ? arg->ival[0] * KS_USEC_PER_MSEC : fallback_us;
}

static unsigned int_or(const struct arg_int *arg, unsigned fallback)
{
	return arg->count && arg->ival[0] >= 0 ? (unsigned)arg->ival[0]
					       : fallback;
}

static double double_or(const struct arg_dbl *arg, double fallback)
{
	return arg->count ? arg->dval[0] : fallback;
}

static const char *text_or(const struct arg_str *arg, const char *fallback)
{
	return arg->count ? arg->sval[0] : fallback;
}

static bool read_args(const struct engine_args *args,
		      struct engine_options *options)
{
	options->prefill_us = double_or(args->prefill, options->prefill_us);
	options->decode_us = double_or(args->decode, options->decode_us);
	options->max_batch = int_or(args->max_batch, options->max_batch);
	options->kv_blocks = int_or(args->kv_blocks, options->kv_blocks);
	options->checks_fencing = args->fencing->count > 0;
	options->change_us = msec_or(args->change, options->change_us);
	options->load_lag_us = msec_or(args->load_lag, 0);
	options->event_lag_us = msec_or(args->event_lag, 0);
	options->block_us = int_or(args->block, (unsigned)options->block_us);
	options->seed = int_or(args->seed, options->seed);
	options->model = text_or(args->model, options->model);
	options->version = text_or(args->version, options->version);
	options->role = text_or(args->role, options->role);
	if (!args->listen->count ||
	    ks_address_parse(&options->listen,
			     ks_str_from(args->listen->sval[0]), NULL))
		return true;
	fprintf(stderr, "fake-engine: --listen: '%s' is not IP:PORT\n",
		args->listen->sval[0]);
	return false;
}

int main(int argc, char **argv)
{
	struct fake_engine engine = { .options = default_options };
	struct engine_args args;

	init_args(&args);
	if (arg_parse(argc, argv, (void **)&args) > 0) {
		arg_print_errors(stderr, args.end, "fake-engine");
		return EXIT_USAGE;
	}
	if (!read_args(&args, &engine.options))
		return EXIT_USAGE;
	return run_engine(&engine);
}
