/*
 * The upstream process: startup, the state that it announces to the entries,
 * and graceful stop.
 */
#include "upstream_internal.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#define POLL_JITTER 0.2
#define STOP_CHECK_US (20 * KS_USEC_PER_MSEC)

/**
 * upstream_is_engine() - whether the upstream is a model engine
 */
bool upstream_is_engine(const ks_upstream_process_t *process)
{
	return process->upstream_config && process->upstream_config->model;
}

static bool is_stop_complete(const ks_upstream_process_t *process)
{
	return ks_drain_is_drained(&process->drain) &&
	       ks_link_server_is_idle(process->link) &&
	       (!process->order_driver ||
		ks_order_driver_is_idle(process->order_driver));
}

/* Polls, since no event reports that the last frame was acknowledged. */
static void on_stop_timer(void *ctx)
{
	ks_upstream_process_t *process = ctx;

	if (is_stop_complete(process))
		ks_loop_stop(process->loop);
	else
		ks_timer_set(&process->stop_timer, STOP_CHECK_US);
}

static void announce_state(ks_upstream_process_t *process)
{
	ks_upstream_state_t state = ks_drain_state(&process->drain);

	if (state == process->announced)
		return;
	process->announced = state;
	ks_log(KS_LOG_LINK, KS_LOG_INFO, "upstream %s is %s",
	       process->settings->upstream,
	       ks_drain_reason_name(ks_drain_reason(&process->drain)));
	upstream_jobs_dispatch(process);
	/* ks_link_server_set_state() sends a heartbeat with this load. */
	upstream_load_send(process);
	ks_link_server_set_state(process->link, state);
}

/**
 * upstream_update_state() - apply and announce the current drain state
 */
void upstream_update_state(ks_upstream_process_t *process)
{
	if (process->order_driver)
		ks_order_driver_set_in_flight(process->order_driver,
					      process->drain.in_flight);
	if (process->link)
		announce_state(process);
}

static void on_accepting(void *ctx, bool accepting)
{
	ks_upstream_process_t *process = ctx;

	/*
	 * The order driver has compared the engine with the snapshot, so an
	 * earlier observation no longer decides which model is served.
	 */
	if (accepting)
		process->engine_model_current = false;
	ks_drain_set_changing(&process->drain, !accepting);
	upstream_update_state(process);
}

static void on_observed(void *ctx, const ks_engine_state_t *state)
{
	upstream_load_observed(ctx, state);
}

static const ks_order_driver_events_t order_driver_events = {
	.accepting = on_accepting,
	.observed = on_observed,
};

/*
 * An engine counts as changing until the order driver has compared its state
 * with the target, since a restarted process does not know what model its
 * engine serves.
 */
static void start_order_driver(ks_upstream_process_t *process)
{
	ks_drain_set_changing(&process->drain, true);
	process->order_driver = ks_order_driver_new(
		process->loop,
		ks_write_budget_store(process->writes, KS_WRITE_LEASE),
		&process->engine.engine, ks_clock_boottime(), &process->rng,
		&process->incarnation, process->settings->upstream,
		(int64_t)process->settings->lease_ms * KS_USEC_PER_MSEC,
		&order_driver_events, process);
}

static void on_snapshot(void *ctx, ks_snapshot_t *snapshot)
{
	ks_upstream_process_t *process = ctx;
	ks_snapshot_t *old = process->snapshot;

	process->snapshot = ks_snapshot_ref(snapshot);
	process->upstream_config = ks_snapshot_find_upstream(
		snapshot, ks_str_from(process->settings->upstream));
	if (old)
		ks_snapshot_unref(old);
	ks_drain_set_snapshot(&process->drain,
			      process->upstream_config != NULL);
	if (!process->order_driver && upstream_is_engine(process))
		start_order_driver(process);
	if (process->order_driver)
		ks_order_driver_set_snapshot(process->order_driver, snapshot);
	if (process->link)
		ks_link_server_set_version(process->link, snapshot->version);
	upstream_load_changed(process);
	upstream_update_state(process);
	upstream_jobs_dispatch(process);
}

static void on_hosts(void *ctx, bool ok, const ks_str_t *leaving,
		     size_t n_leaving)
{
	ks_upstream_process_t *process = ctx;
	ks_str_t host = ks_str_from(process->settings->host);
	bool found = false;

	if (!ok)
		return;
	for (size_t i = 0; i < n_leaving; i++)
		found = found || ks_str_equal(leaving[i], host);
	ks_drain_set_host_list(&process->drain, found,
			       process->hosts_requested_us);
	upstream_update_state(process);
}

static void on_poll_timer(void *ctx)
{
	ks_upstream_process_t *process = ctx;
	int64_t poll_us =
		(int64_t)process->settings->poll_ms * KS_USEC_PER_MSEC;

	process->hosts_requested_us = ks_loop_now(process->loop);
	process->platform.platform.hosts(process->platform.platform.impl,
					 on_hosts, process);
	ks_timer_set(&process->poll_timer,
		     ks_rng_jitter(&process->rng, poll_us, POLL_JITTER));
}

static void on_request(void *ctx, ks_job_t *job,
		       const ks_attempt_request_t *request)
{
	upstream_job_receive(ctx, job, request);
}

static void on_cancelled(void *ctx G_GNUC_UNUSED, ks_job_t *job)
{
	upstream_job_cancelled(job);
}

static void on_config(void *ctx, uint64_t version, ks_str_t digest,
		      ks_str_t body)
{
	ks_upstream_process_t *process = ctx;

	ks_config_offer(process->config, version, digest, body);
}

static ks_str_t on_config_body(void *ctx, uint64_t *version, ks_str_t *digest)
{
	ks_upstream_process_t *process = ctx;
	ks_snapshot_t *snapshot = process->snapshot;

	if (!snapshot) {
		*version = 0;
		*digest = (ks_str_t){ NULL, 0 };
		return (ks_str_t){ NULL, 0 };
	}
	*version = snapshot->version;
	*digest = (ks_str_t){ (const char *)snapshot->digest.bytes,
			      KS_DIGEST_SIZE };
	return ks_snapshot_compressed(snapshot);
}

static void on_leaving_seen(void *ctx)
{
	ks_upstream_process_t *process = ctx;

	ks_drain_note_leaving_seen(&process->drain, ks_loop_now(process->loop));
	upstream_update_state(process);
}

static const ks_link_server_events_t link_events = {
	.request = on_request,
	.cancelled = on_cancelled,
	.config = on_config,
	.config_body = on_config_body,
	.leaving_seen = on_leaving_seen,
};

static bool start_link(ks_upstream_process_t *process, GError **error)
{
	const ks_settings_t *settings = process->settings;
	char text[KS_ADDRESS_TEXT_SIZE];
	ks_link_server_options_t options = {
		.upstream = settings->upstream,
		.incarnation = process->incarnation,
		.security = {
			.plain = settings->link_plain,
			.public_key = settings->link_public_key,
			.secret_key = settings->link_secret_key,
			.allowed_keys =
				(const char *const *)settings->link_allowed_keys,
			.n_allowed_keys = settings->link_allowed_keys_count,
		},
		.heartbeat_us = settings->heartbeat_ms * KS_USEC_PER_MSEC,
		.silence_us = settings->silence_ms * KS_USEC_PER_MSEC,
		.max_buffer = (size_t)settings->max_answer_kib * 1024,
	};

	if (!ks_address_parse(&options.address, ks_str_from(settings->listen),
			      error))
		return false;
	process->link =
		ks_link_server_new(process->loop, process->zmq, &options,
				   &link_events, process, error);
	if (!process->link)
		return false;
	options.address.port = ks_link_server_port(process->link);
	ks_log(KS_LOG_LINK, KS_LOG_INFO, "listens on %s",
	       ks_address_format(&options.address, text));
	return true;
}

static void start_polling(ks_upstream_process_t *process)
{
	const ks_settings_t *settings = process->settings;

	process->config = ks_config_new(
		process->loop, &process->store.store, &process->rng,
		settings->poll_ms * KS_USEC_PER_MSEC, on_snapshot, process);
	if (settings->host)
		on_poll_timer(process);
}

static void init_drivers(ks_upstream_process_t *process,
			 const ks_address_t *platform)
{
	const char *token = process->settings->platform_token;

	ks_http_client_init(&process->client, process->loop);
	ks_store_http_init(&process->store, &process->client, platform, token);
	process->writes = ks_write_budget_new(
		process->loop, &process->store.store, &process->rng,
		process->settings->store_writes_per_s,
		process->settings->store_writes_per_s);
	ks_platform_http_init(&process->platform, &process->client, platform,
			      token);
	ks_engine_http_init(&process->engine, &process->client,
			    &process->endpoint);
	process->zmq = zmq_ctx_new();
}

static void init_state(ks_upstream_process_t *process, ks_loop_t *loop,
		       const ks_settings_t *settings)
{
	process->loop = loop;
	process->settings = settings;
	ks_rng_init_random(&process->rng);
	ks_drain_init(&process->drain);
	ks_list_init(&process->queue);
	ks_list_init(&process->running);
	upstream_load_init(process);
	ks_timer_init(&process->poll_timer, loop, on_poll_timer, process);
	ks_timer_init(&process->stop_timer, loop, on_stop_timer, process);
}

/**
 * ks_upstream_process_new() - start the upstream process of one upstream
 * @settings: must outlive the process
 *
 * Return: NULL, with @error set, if an address is invalid or cannot be bound,
 * or if the system provides no random numbers.
 */
ks_upstream_process_t *ks_upstream_process_new(ks_loop_t *loop,
					       const ks_settings_t *settings,
					       GError **error)
{
	ks_upstream_process_t *process;
	ks_address_t endpoint, platform;

	if (!ks_address_parse(&endpoint, ks_str_from(settings->endpoint),
			      error) ||
	    !ks_address_parse(&platform, ks_str_from(settings->platform),
			      error))
		return NULL;
	process = g_new0(ks_upstream_process_t, 1);
	process->endpoint = endpoint;
	init_state(process, loop, settings);
	init_drivers(process, &platform);
	if (!ks_id_generate(&process->incarnation)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot get random bytes from the system");
		ks_upstream_process_free(process);
		return NULL;
	}
	if (!start_link(process, error)) {
		ks_upstream_process_free(process);
		return NULL;
	}
	start_polling(process);
	return process;
}

/**
 * ks_upstream_process_stop() - begin a graceful stop
 *
 * New requests are refused. The loop is stopped once every request has been
 * answered, every frame has been acknowledged, no order is pending and all
 * leases have been released.
 */
void ks_upstream_process_stop(ks_upstream_process_t *process)
{
	if (process->drain.stopping)
		return;
	ks_drain_stop(&process->drain);
	if (process->order_driver)
		ks_order_driver_stop(process->order_driver);
	upstream_update_state(process);
	ks_timer_set(&process->stop_timer, 0);
}

/**
 * ks_upstream_process_free() - free the process without answering requests
 */
void ks_upstream_process_free(ks_upstream_process_t *process)
{
	upstream_jobs_free(process);
	ks_timer_clear(&process->load_timer);
	ks_timer_clear(&process->poll_timer);
	ks_timer_clear(&process->stop_timer);
	if (process->order_driver)
		ks_order_driver_free(process->order_driver);
	if (process->config)
		ks_config_free(process->config);
	if (process->link)
		ks_link_server_free(process->link);
	if (process->snapshot)
		ks_snapshot_unref(process->snapshot);
	ks_write_budget_free(process->writes);
	ks_engine_http_deinit(&process->engine);
	ks_platform_http_deinit(&process->platform);
	ks_store_http_deinit(&process->store);
	ks_http_client_deinit(&process->client);
	zmq_ctx_term(process->zmq);
	ks_rng_deinit(&process->rng);
	g_free(process);
}
