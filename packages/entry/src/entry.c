/* Start and graceful stop of the entry process. */
#include "entry_internal.h"

#include <zmq.h>

#define RETRY_RATIO 0.1
#define RETRY_MAX_TOKENS 100
/*
 * h2o refuses bodies over its limit with its own error page. With this margin
 * above the configured limit, the handler can answer with a JSON error instead.
 */
#define BODY_MARGIN (64 * 1024)
/* Interval at which a stopping process checks for pending requests. */
#define STOP_CHECK_US (20 * KS_USEC_PER_MSEC)

static void on_snapshot(void *ctx, ks_snapshot_t *snapshot)
{
	ks_entry_t *entry = ctx;

	entry_fleet_apply(entry, snapshot);
	entry_plan_apply(entry, snapshot);
}

/* Outcomes not stored before the exit would become unknown. */
static bool has_pending_requests(const ks_entry_t *entry)
{
	return !ks_list_is_empty(&entry->requests) ||
	       !ks_ledger_is_idle(entry->ledger);
}

/*
 * Attempts outlive a request whose caller has disconnected. Until their end is
 * acknowledged, their upstream processes cannot stop. One that does not report
 * the end within the time after which a link counts as lost is not waited for.
 */
static bool has_pending_attempts(ks_entry_t *entry)
{
	int64_t now = ks_loop_now(entry->loop);

	if (!entry->requests_ended_us)
		entry->requests_ended_us = now;
	return entry_fleet_has_attempts(entry) &&
	       now - entry->requests_ended_us <
		       entry->settings->silence_ms * KS_USEC_PER_MSEC;
}

static void on_stop_timer(void *ctx)
{
	ks_entry_t *entry = ctx;

	if (!entry->listener_closed) {
		entry->listener_closed = true;
		ks_http_server_shutdown(&entry->server);
		ks_log(KS_LOG_HTTP, KS_LOG_INFO,
		       "listener closed; waiting for %u requests in flight",
		       entry->n_active);
	}
	if (!has_pending_requests(entry) && !has_pending_attempts(entry))
		ks_loop_stop(entry->loop);
	else
		ks_timer_set(&entry->stop_timer, STOP_CHECK_US);
}

static bool start_listener(ks_entry_t *entry, GError **error)
{
	const ks_settings_t *settings = entry->settings;
	char text[KS_ADDRESS_TEXT_SIZE];
	ks_address_t address;

	if (!ks_address_parse(&address, ks_str_from(settings->listen), error))
		return false;
	if (!ks_http_server_init(&entry->server, entry->loop, &address,
				 (size_t)settings->max_body_kib * 1024 +
					 BODY_MARGIN,
				 entry_http_handle, entry, error))
		return false;
	address.port = ks_http_server_port(&entry->server);
	ks_log(KS_LOG_HTTP, KS_LOG_INFO, "listens on %s",
	       ks_address_format(&address, text));
	return true;
}

static bool init_platform_clients(ks_entry_t *entry, GError **error)
{
	const ks_settings_t *settings = entry->settings;
	ks_address_t address;

	if (!ks_address_parse(&address, ks_str_from(settings->platform), error))
		return false;
	ks_http_client_init(&entry->client, entry->loop);
	ks_store_http_init(&entry->store, &entry->client, &address,
			   settings->platform_token);
	ks_platform_http_init(&entry->platform, &entry->client, &address,
			      settings->platform_token);
	entry->writes = ks_write_budget_new(
		entry->loop, &entry->store.store, &entry->rng,
		settings->store_writes_per_s, settings->store_writes_per_s);
	entry->ledger = ks_ledger_new(
		entry->loop,
		ks_write_budget_store(entry->writes, KS_WRITE_LEDGER),
		ks_clock_wall(), &entry->rng, &entry->incarnation);
	entry->config = ks_config_new(
		entry->loop, &entry->store.store, &entry->rng,
		settings->poll_ms * KS_USEC_PER_MSEC, on_snapshot, entry);
	return true;
}

static void init_components(ks_entry_t *entry)
{
	ks_rng_init_random(&entry->rng);
	entry->zmq = zmq_ctx_new();
	entry->metrics = ks_metrics_new();
	ks_retry_budget_init(&entry->retries, RETRY_RATIO, RETRY_MAX_TOKENS);
	if (entry->settings->routing_policy)
		ks_routing_policy_parse(
			&entry->policy,
			ks_str_from(entry->settings->routing_policy));
	ks_list_init(&entry->requests);
	ks_timer_init(&entry->stop_timer, entry->loop, on_stop_timer, entry);
	ks_timer_init(&entry->connection_check_timer, entry->loop,
		      entry_request_check_connections, entry);
	entry_fleet_init(entry);
	entry_plan_init(entry);
}

/**
 * ks_entry_new() - start the entry role
 * @settings: must outlive the entry
 *
 * Return: NULL, with @error set, if the settings are invalid or the address
 * cannot be bound.
 */
ks_entry_t *ks_entry_new(ks_loop_t *loop, const ks_settings_t *settings,
			 GError **error)
{
	ks_entry_t *entry = g_new0(ks_entry_t, 1);

	entry->loop = loop;
	entry->settings = settings;
	init_components(entry);
	if (!ks_id_generate(&entry->incarnation)) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot generate an incarnation id: no random "
			     "bytes");
		ks_entry_free(entry);
		return NULL;
	}
	if (!entry_auth_init(entry, error) ||
	    !init_platform_clients(entry, error) ||
	    !start_listener(entry, error)) {
		ks_entry_free(entry);
		return NULL;
	}
	entry_fleet_poll_hosts(entry);
	entry_request_check_connections(entry);
	return entry;
}

/**
 * ks_entry_port() - TCP port of the listener
 */
uint16_t ks_entry_port(const ks_entry_t *entry)
{
	return ks_http_server_port(&entry->server);
}

/**
 * ks_entry_stop() - shut down gracefully, then stop the event loop
 *
 * The listener is closed after settings->drain_delay_ms. The loop is stopped
 * when no request is in flight and all outcomes are stored.
 */
void ks_entry_stop(ks_entry_t *entry)
{
	if (entry->stopping)
		return;
	entry->stopping = true;
	ks_timer_set(&entry->stop_timer,
		     entry->settings->drain_delay_ms * KS_USEC_PER_MSEC);
}

/*
 * h2o 2.2 cannot close a server's idle connections, and asserts that none are
 * open when the server is freed. A server that was shut down is therefore kept
 * until the process exits; the list makes it reachable for leak checkers.
 */
static void release_server(ks_entry_t *entry)
{
	static GSList *kept;

	if (entry->listener_closed)
		kept = g_slist_prepend(kept, entry->server.state);
	else
		ks_http_server_deinit(&entry->server);
}

/**
 * ks_entry_free() - free the entry; the loop must not be run afterwards
 */
void ks_entry_free(ks_entry_t *entry)
{
	ks_timer_clear(&entry->stop_timer);
	ks_timer_clear(&entry->connection_check_timer);
	release_server(entry);
	KS_LIST_FOREACH_SAFE (it, tmp, &entry->requests)
		entry_request_free(
			KS_CONTAINER_OF(it, struct entry_request, node));
	entry_plan_deinit(entry);
	entry_fleet_deinit(entry);
	if (entry->config)
		ks_config_free(entry->config);
	if (entry->ledger)
		ks_ledger_free(entry->ledger);
	ks_write_budget_free(entry->writes);
	if (entry->client.loop) {
		ks_platform_http_deinit(&entry->platform);
		ks_store_http_deinit(&entry->store);
		ks_http_client_deinit(&entry->client);
		/* Cancelling a read of the host list has set this timer. */
		ks_timer_clear(&entry->hosts_timer);
	}
	entry_auth_deinit(entry);
	ks_metrics_free(entry->metrics);
	ks_rng_deinit(&entry->rng);
	zmq_ctx_term(entry->zmq);
	g_free(entry);
}
