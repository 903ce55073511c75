/*
 * Sets up the gateway's listeners and metrics, applies configurations, and
 * stops it gracefully.
 */
#include "gateway_internal.h"

#include <string.h>

/* How long an idle connection is kept if the upstream states no limit. */
#define KEEP_IDLE_US (30 * KS_USEC_PER_SEC)

/*
 * Connecting to another failure domain takes a few milliseconds. A lost SYN is
 * resent after 1 s only, so that trying another upstream is faster.
 */
#define CONNECT_TIMEOUT_US (400 * KS_USEC_PER_MSEC)

/*
 * The slack of the retry budget is shared evenly between the entries. Divide it
 * by twice the number of known entries, as others may be about to start, and by
 * at least this many.
 */
#define MIN_SHARES 16
#define SHARES_PER_ENTRY 2

/* Health checks come from a few load balancers. */
#define MAX_READY_CONNS 16

/* Path on the address for metrics; all others show the metrics. */
#define EXPLAIN_PATH KS_STR("/explain")

#define STOP_POLL_US (50 * KS_USEC_PER_MSEC)

/*
 * Time reserved at the end of the grace period, to exit before the platform
 * kills the process.
 */
#define GRACE_MARGIN_US (300 * KS_USEC_PER_MSEC)

static double slack_share(const ks_gateway_t *gateway)
{
	size_t entries = 1 + ks_peers_n_announced(&gateway->peers);

	return gateway->settings.retry_slack /
	       (double)MAX(MIN_SHARES, SHARES_PER_ENTRY * entries);
}

/**
 * gateway_budget() - get the retry budget of a service
 */
ks_budget_t *gateway_budget(ks_gateway_t *gateway, const char *service)
{
	const ks_gateway_settings_t *settings = &gateway->settings;
	ks_budget_t *budget = g_hash_table_lookup(gateway->budgets, service);

	if (!budget) {
		budget = g_new0(ks_budget_t, 1);
		ks_budget_init(budget, settings->retry_ratio, 0,
			       settings->retry_window_us);
		g_hash_table_insert(gateway->budgets, g_strdup(service),
				    budget);
	}
	budget->slack = slack_share(gateway);
	return budget;
}

static double service_demand(void *ctx, const char *service)
{
	const ks_gateway_t *gateway = ctx;

	return ks_budget_demand(gateway_budget(ctx, service),
				ks_loop_now(gateway->loop));
}

/**
 * gateway_cache_tokens() - estimate this entry's share of an engine's cache
 *
 * The entries share the memory of an engine, which evicts the least recently
 * used parts. They are assumed to use it evenly.
 *
 * Return: the share in tokens.
 */
int64_t gateway_cache_tokens(const ks_gateway_t *gateway,
			     const ks_service_t *service)
{
	return service->memory_tokens /
	       (int64_t)(1 + ks_peers_n_announced(&gateway->peers));
}

/**
 * gateway_config_age_us() - time since the configuration in force was last
 * known to be the latest
 */
int64_t gateway_config_age_us(const ks_gateway_t *gateway)
{
	int64_t confirmed_us =
		MAX(gateway->confirmed_us,
		    ks_peers_fresh_us(&gateway->peers, KS_TABLE_TRAFFIC));

	return ks_loop_now(gateway->loop) - confirmed_us;
}

/*
 * What the configuration lacks is denied for good only if it was confirmed this
 * recently. The store responds to a long poll for changes after 2 s at the
 * latest.
 */
#define CONFIG_FRESH_US (2500 * KS_USEC_PER_MSEC)

/**
 * gateway_config_is_current() - whether a request may be denied because the
 * configuration in force lacks its route or its key
 */
bool gateway_config_is_current(const ks_gateway_t *gateway)
{
	return gateway->traffic &&
	       gateway_config_age_us(gateway) <= CONFIG_FRESH_US;
}

void gateway_serve(void *ctx, ks_http1_request_t *request)
{
	exchange_start(ctx, request);
}

static void on_malformed(void *ctx G_GNUC_UNUSED, const char *why)
{
	ks_log(KS_LOG_HTTP, KS_LOG_WARN, "malformed request: %s", why);
}

static void on_ready(void *ctx, ks_http1_request_t *request)
{
	ks_gateway_t *gateway = ctx;
	bool ready = gateway->traffic && !gateway->stopping;
	int status = ready ? 200 : 503;

	if (!ks_str_equal(request->target, gateway->dialect->ready_path))
		status = 404;
	ks_http1_start(request, status, NULL, 0, 0);
	ks_http1_end(request);
}

static void on_metrics(void *ctx, ks_http1_request_t *request)
{
	ks_gateway_t *gateway = ctx;
	ks_header_t type = { KS_STR("content-type"),
			     KS_STR("text/plain; version=0.0.4") };
	GString *text;

	if (ks_str_equal(gateway_path_of(request->target), EXPLAIN_PATH)) {
		gateway_explain(gateway, request);
		return;
	}
	text = g_string_new(NULL);
	ks_metrics_format(gateway->metrics, text);
	ks_http1_start(request, 200, &type, 1, (int64_t)text->len);
	ks_http1_body(request, (ks_str_t){ text->str, text->len });
	ks_http1_end(request);
	g_string_free(text, TRUE);
}

static void make_key_counters(ks_gateway_t *gateway)
{
	static const struct {
		ks_key_verdict_t verdict;
		const char *label;
	} refusals[] = {
		{ KS_KEY_MISSING, "reason=\"missing\"" },
		{ KS_KEY_MALFORMED, "reason=\"malformed\"" },
		{ KS_KEY_UNKNOWN, "reason=\"unknown\"" },
		{ KS_KEY_STALE, "reason=\"stale\"" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		gateway->counters.key_refused[refusals[i].verdict] =
			ks_metrics_counter(gateway->metrics,
					   "ks_gateway_key_refused_total",
					   "Requests refused for their API key",
					   refusals[i].label);
	gateway->counters.organisations = ks_metrics_gauge(
		gateway->metrics, "ks_gateway_organisations",
		"Organisations in the configuration in force", NULL);
}

static void make_counters(ks_gateway_t *gateway)
{
	ks_metrics_t *m = gateway->metrics;
	struct gateway_metrics *c = &gateway->counters;

	c->requests = ks_metrics_counter(m, "ks_gateway_requests_total",
					 "Requests that were read", NULL);
	c->answered =
		ks_metrics_counter(m, "ks_gateway_answered_total",
				   "Answers of upstreams passed on", NULL);
	c->refused = ks_metrics_counter(m, "ks_gateway_refused_total",
					"Requests refused as not run", NULL);
	c->failed =
		ks_metrics_counter(m, "ks_gateway_failed_total",
				   "Requests answered with a failure", NULL);
	c->cut = ks_metrics_counter(m, "ks_gateway_cut_total",
				    "Answers that were cut", NULL);
	c->gone = ks_metrics_counter(m, "ks_gateway_gone_total",
				     "Callers that left", NULL);
	c->retries = ks_metrics_counter(m, "ks_gateway_retries_total",
					"Sends beyond the first", NULL);
	c->splits =
		ks_metrics_counter(m, "ks_gateway_splits_total",
				   "Prompts read by another upstream", NULL);
	c->first_byte =
		ks_metrics_histogram(m, "ks_gateway_first_byte_us",
				     "Time to the head of the answer", NULL);
	c->malformed = ks_metrics_counter(
		m, "ks_gateway_malformed_answers_total",
		"Answers that were none in the protocol", NULL);
	c->skipped = ks_metrics_counter(
		m, "ks_gateway_skipped_answers_total",
		"Answers to other requests, skipped on a connection", NULL);
	c->unnamed =
		ks_metrics_counter(m, "ks_gateway_unnamed_answers_total",
				   "Answers without the id of a request", NULL);
	c->truncated = ks_metrics_counter(
		m, "ks_gateway_truncated_streams_total",
		"Streams of upstreams that ended inside an event", NULL);
	c->resume_requests = ks_metrics_counter(
		m, "ks_gateway_resume_requests_total",
		"Requests of callers that resume a stream", NULL);
	c->resume_refused = ks_metrics_counter(
		m, "ks_gateway_resume_refused_total",
		"Requests that resume a stream, refused as it is not known "
		"which version of the software began it, or none is left",
		NULL);
	c->origins_late = ks_metrics_counter(
		m, "ks_gateway_late_origins_total",
		"Streams that began before it was known which process of the "
		"upstream responds",
		NULL);
	c->origins_lost = ks_metrics_counter(
		m, "ks_gateway_lost_origins_total",
		"Streams whose origin stays unknown, as their process was "
		"gone before it was known",
		NULL);
	c->resumed_same = ks_metrics_counter(
		m, "ks_gateway_resumed_streams_total",
		"Streams that went on after they had broken off, by the "
		"version of the upstream's software",
		"software=\"same\"");
	c->resumed_other = ks_metrics_counter(
		m, "ks_gateway_resumed_streams_total",
		"Streams that went on after they had broken off, by the "
		"version of the upstream's software",
		"software=\"other\"");
	c->held = ks_metrics_counter(
		m, "ks_gateway_held_parts_total",
		"Parts of prompts and contents that were held because "
		"upstreams crashed",
		NULL);
	c->held_refused = ks_metrics_counter(
		m, "ks_gateway_held_refused_total",
		"Requests refused because their content or a part of their "
		"prompt is held",
		NULL);
	c->lost_at_start = ks_metrics_counter(
		m, "ks_gateway_lost_at_start_total",
		"Requests that were lost before the first byte of the body of "
		"their answer",
		NULL);
	c->leaving = ks_metrics_counter(
		m, "ks_gateway_upstreams_leaving_total",
		"Upstreams that said in an answer that they leave", NULL);
	c->backed_off = ks_metrics_counter(
		m, "ks_gateway_backed_off_total",
		"Refusals of upstreams that requested a back-off", NULL);
	make_key_counters(gateway);
	c->limits_stated = ks_metrics_counter(
		m, "ks_gateway_limits_stated_total",
		"Limits on requests that upstreams stated or changed", NULL);
	c->limited_runs = ks_metrics_counter(
		m, "ks_gateway_limited_sends_total",
		"Requests sent to upstreams that state a limit",
		"call=\"run\"");
	c->limited_prefills = ks_metrics_counter(
		m, "ks_gateway_limited_sends_total",
		"Requests sent to upstreams that state a limit",
		"call=\"prefill\"");
	c->limited_releases = ks_metrics_counter(
		m, "ks_gateway_limited_sends_total",
		"Requests sent to upstreams that state a limit",
		"call=\"release\"");
	c->late = ks_metrics_counter(m, "ks_gateway_late_total",
				     "Answers passed on after their objective, "
				     "or with too long a pause",
				     NULL);
	c->prefill = ks_metrics_histogram(
		m, "ks_gateway_prefill_us",
		"Time to have a prompt read by another upstream", NULL);
	c->run_wait = ks_metrics_histogram(
		m, "ks_gateway_run_wait_us",
		"Time from the send of a request to its first event", NULL);
	c->pause = ks_metrics_histogram(
		m, "ks_gateway_longest_pause_us",
		"Longest pause between two events of a stream", NULL);
	c->whole = ks_metrics_histogram(m, "ks_gateway_whole_us",
					"Time to the end of the answer", NULL);
}

static bool listen_all(ks_gateway_t *gateway, GError **error)
{
	const ks_gateway_settings_t *s = &gateway->settings;

	if (!ks_http1_server_init(&gateway->server, gateway->loop, &s->listen,
				  gateway_serve, gateway, error) ||
	    !ks_http1_server_init(&gateway->ready, gateway->loop, &s->ready,
				  on_ready, gateway, error))
		return false;
	gateway->server.malformed = on_malformed;
	ks_http1_server_set_memory(&gateway->server, &gateway->memory);
	if (s->max_descriptors) {
		size_t max_conns = ks_http1_max_conns(s->max_descriptors);

		gateway->server.max_conns = max_conns;
		gateway->client.max_conns = max_conns;
		gateway->ready.max_conns = MAX_READY_CONNS;
	}
	return !*s->metrics.ip ||
	       ks_http1_server_init(&gateway->metrics_server, gateway->loop,
				    &s->metrics, on_metrics, gateway, error);
}

/* When the process ends at the latest, once a stop has begun. */
static int64_t stop_end_us(const ks_gateway_t *gateway)
{
	return gateway->stop_began_us + gateway->settings.grace_us -
	       GRACE_MARGIN_US;
}

/*
 * With a drain delay that leaves little of the grace period, requests would be
 * taken that can't end in it.
 */
static int64_t drain_delay_us(const ks_gateway_t *gateway)
{
	const ks_gateway_settings_t *settings = &gateway->settings;

	return MIN(settings->drain_delay_us,
		   (settings->grace_us - GRACE_MARGIN_US) / 2);
}

/**
 * gateway_may_cut() - whether a stop may cut a request that begins now
 * @until_us: when the request ends at the latest
 *
 * In the drain delay, the load balancer still sends requests here, and most of
 * them end in time. Later ones can be served by other entries.
 */
bool gateway_may_cut(const ks_gateway_t *gateway, int64_t until_us)
{
	return gateway->stopping &&
	       ks_loop_now(gateway->loop) - gateway->stop_began_us >=
		       drain_delay_us(gateway) &&
	       until_us > stop_end_us(gateway);
}

static void on_stop_timer(void *ctx);

static void log_start(const ks_gateway_t *gateway)
{
	const ks_gateway_settings_t *settings = &gateway->settings;

	ks_log(KS_LOG_MAIN, KS_LOG_INFO,
	       "the gateway listens on %s:%u ready_port=%u metrics_port=%u "
	       "peer_port=%u",
	       settings->listen.ip, gateway->server.port, gateway->ready.port,
	       gateway->metrics_server.port, gateway->peers.port);
}

/**
 * ks_gateway_new() - create a gateway and start to listen
 * @dialect: must outlive the gateway
 *
 * Requests are refused with 503 until a configuration is applied.
 *
 * Return: NULL, with KS_ERROR_INTERNAL, if an address cannot be bound.
 */
ks_gateway_t *ks_gateway_new(ks_loop_t *loop, const ks_dialect_t *dialect,
			     const ks_gateway_settings_t *settings,
			     GError **error)
{
	ks_gateway_t *gateway = g_new0(ks_gateway_t, 1);

	gateway->loop = loop;
	gateway->dialect = dialect;
	gateway->settings = *settings;
	gateway->domain = g_strdup(settings->domain);
	gateway->name = g_strdup(settings->name);
	gateway->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->metrics = ks_metrics_new();
	gateway->speed_gauges = gateway_new_speed_gauges();
	make_counters(gateway);
	ks_memory_init(&gateway->memory, settings->memory_bytes);
	gateway_report_memory(gateway);
	gateway_quarantine_init(gateway);
	ks_stream_origins_init(&gateway->origins);
	gateway_identity_init(gateway);
	ks_list_init(&gateway->exchanges);
	ks_list_init(&gateway->server.conns);
	ks_list_init(&gateway->ready.conns);
	ks_list_init(&gateway->metrics_server.conns);
	ks_fleet_init(&gateway->fleet);
	ks_rng_init_random(&gateway->rng);
	ks_http_client_init(&gateway->client, loop);
	gateway->client.max_idle_us = KEEP_IDLE_US;
	gateway->client.connect_timeout_us = CONNECT_TIMEOUT_US;
	/*
	 * Needed by a gateway without peers, for which ks_peers_init() is not
	 * called.
	 */
	gateway->peers.loop = loop;
	ks_timer_init(&gateway->stop_timer, loop, on_stop_timer, gateway);
	if (listen_all(gateway, error) &&
	    (!*settings->peer.ip ||
	     ks_peers_init(&gateway->peers, loop, &gateway->fleet,
			   settings->name, &settings->peer, error))) {
		gateway->peers.quarantine = &gateway->quarantine;
		gateway->peers.demand = service_demand;
		gateway->peers.demand_ctx = gateway;
		gateway->peers.origins = &gateway->origins;
		gateway->peers.answered = gateway_on_stream_answer;
		gateway->peers.answered_ctx = gateway;
		log_start(gateway);
		return gateway;
	}
	ks_gateway_free(gateway);
	return NULL;
}

/**
 * ks_gateway_free() - abort all requests and free the gateway
 */
void ks_gateway_free(ks_gateway_t *gateway)
{
	ks_timer_clear(&gateway->stop_timer);
	gateway_end_memory_report(gateway);
	KS_LIST_FOREACH_SAFE (it, tmp, &gateway->exchanges)
		exchange_abort(KS_CONTAINER_OF(it, struct exchange, node));
	ks_http1_server_deinit(&gateway->server);
	ks_http1_server_deinit(&gateway->ready);
	ks_http1_server_deinit(&gateway->metrics_server);
	ks_http_client_deinit(&gateway->client);
	ks_peers_deinit(&gateway->peers);
	ks_fleet_deinit(&gateway->fleet);
	ks_traffic_unref(gateway->traffic);
	ks_rng_deinit(&gateway->rng);
	g_hash_table_destroy(gateway->budgets);
	ks_quarantine_deinit(&gateway->quarantine);
	gateway_identity_deinit(gateway);
	ks_stream_origins_deinit(&gateway->origins);
	g_hash_table_destroy(gateway->speed_gauges);
	ks_metrics_free(gateway->metrics);
	ks_memory_deinit(&gateway->memory);
	g_free(gateway->domain);
	g_free(gateway->name);
	g_free(gateway);
}

/*
 * Stops the loop, after the other entries have been sent what this one has
 * counted, if anything, and ZeroMQ has had time to pass it on.
 */
static void end_stop(ks_gateway_t *gateway)
{
	if (!gateway->usage || !gateway->usage->active) {
		ks_loop_stop(gateway->loop);
		return;
	}
	ks_peers_send_last_usage(&gateway->peers);
	gateway->sent_last_usage = true;
	ks_timer_set(&gateway->stop_timer, STOP_POLL_US);
}

/*
 * Closes the listener once the load balancer has had time to notice the stop,
 * and stops the loop when no request is left or the grace period ends.
 */
static void on_stop_timer(void *ctx)
{
	ks_gateway_t *gateway = ctx;
	int64_t elapsed_us =
		ks_loop_now(gateway->loop) - gateway->stop_began_us;

	if (gateway->sent_last_usage) {
		ks_loop_stop(gateway->loop);
		return;
	}
	if (elapsed_us >= drain_delay_us(gateway)) {
		ks_http1_server_close_listener(&gateway->server);
		ks_http1_server_close_idle(&gateway->server);
		if (ks_list_is_empty(&gateway->exchanges) &&
		    !ks_http1_server_n_serving(&gateway->server)) {
			end_stop(gateway);
			return;
		}
	}
	if (ks_loop_now(gateway->loop) >= stop_end_us(gateway)) {
		ks_log(KS_LOG_MAIN, KS_LOG_WARN,
		       "the grace period is over serving=%zu",
		       ks_http1_server_n_serving(&gateway->server));
		KS_LIST_FOREACH_SAFE (it, tmp, &gateway->exchanges)
			exchange_end_unanswered(
				KS_CONTAINER_OF(it, struct exchange, node),
				"the process ends");
		ks_http1_server_refuse_unfinished(&gateway->server);
		end_stop(gateway);
		return;
	}
	ks_timer_set(&gateway->stop_timer, STOP_POLL_US);
}

/**
 * ks_gateway_stop() - start a graceful stop, which stops the loop at its end
 */
void ks_gateway_stop(ks_gateway_t *gateway)
{
	if (gateway->stopping)
		return;
	gateway->stopping = true;
	gateway->server.stopping = true;
	gateway->stop_began_us = ks_loop_now(gateway->loop);
	ks_timer_set(&gateway->stop_timer, STOP_POLL_US);
}

/**
 * ks_gateway_apply() - put a configuration in force
 * @traffic: the gateway takes a reference; ignored unless its version is newer
 */
void ks_gateway_apply(ks_gateway_t *gateway, ks_traffic_t *traffic)
{
	const ks_limits_t *limits = &traffic->limits;
	int64_t before = gateway->traffic ? gateway->traffic->version : 0;
	guint n_organisations =
		traffic->organisations ? traffic->organisations->list->len : 0;

	if (gateway->traffic && traffic->version <= before)
		return;
	ks_traffic_ref(traffic);
	ks_traffic_unref(gateway->traffic);
	gateway->traffic = traffic;
	gateway->peers.version = traffic->version;
	ks_counter_set(gateway->counters.organisations, n_organisations);
	if (gateway->usage)
		ks_usage_set_organisations(gateway->usage,
					   traffic->organisations,
					   ks_loop_now(gateway->loop));
	gateway->server.max_header_bytes = limits->max_header_bytes;
	gateway->server.max_body_bytes = limits->max_body_bytes;
	gateway->server.header_timeout_us = limits->header_timeout_us;
	gateway->server.idle_timeout_us = limits->idle_timeout_us;
	ks_log(KS_LOG_CONFIG, KS_LOG_INFO,
	       "configuration in force version=%" PRId64 " before=%" PRId64
	       " routes=%u services=%u organisations=%u",
	       traffic->version, before, traffic->routes->len,
	       g_hash_table_size(traffic->services), n_organisations);
}

/**
 * ks_gateway_confirm() - note that the configuration in force is still the
 * latest
 */
void ks_gateway_confirm(ks_gateway_t *gateway)
{
	gateway->confirmed_us = ks_loop_now(gateway->loop);
}

ks_fleet_t *ks_gateway_fleet(ks_gateway_t *gateway)
{
	return &gateway->fleet;
}

/**
 * ks_gateway_version() - get the version of the configuration in force
 *
 * Return: 0 if there is none.
 */
int64_t ks_gateway_version(const ks_gateway_t *gateway)
{
	return gateway->traffic ? gateway->traffic->version : 0;
}

ks_metrics_t *ks_gateway_metrics(ks_gateway_t *gateway)
{
	return gateway->metrics;
}

ks_quarantine_t *ks_gateway_quarantine(ks_gateway_t *gateway)
{
	return &gateway->quarantine;
}

ks_peers_t *ks_gateway_peers(ks_gateway_t *gateway)
{
	return &gateway->peers;
}

uint16_t ks_gateway_port(const ks_gateway_t *gateway)
{
	return gateway->server.port;
}

uint16_t ks_gateway_ready_port(const ks_gateway_t *gateway)
{
	return gateway->ready.port;
}

/**
 * ks_gateway_metrics_port() - port of the address for metrics
 *
 * Return: 0 if there is none.
 */
uint16_t ks_gateway_metrics_port(const ks_gateway_t *gateway)
{
	return gateway->metrics_server.port;
}
