/*
 * Reports what the gateway holds for callers and upstreams, and what it did for
 * lack of memory or descriptors, in metrics and in the log.
 */
#include "gateway_internal.h"

/* Time between two looks, and so between two log lines. */
#define REPORT_US (1 * KS_USEC_PER_SEC)

static void add_counters(struct memory_report *report, ks_metrics_t *metrics)
{
	static const char *const kinds[KS_MEMORY_N_KINDS] = {
		[KS_MEMORY_CONNECTIONS] = "kind=\"connections\"",
		[KS_MEMORY_BODIES] = "kind=\"bodies\"",
		[KS_MEMORY_REQUESTS] = "kind=\"requests\"",
		[KS_MEMORY_OUTPUT] = "kind=\"output\"",
	};
	static const char *const closed = "ks_gateway_closed_connections_total";
	static const char *const closed_help =
		"Connections of callers that were closed for lack of memory or "
		"descriptors";

	for (int i = 0; i < KS_MEMORY_N_KINDS; i++)
		report->used[i] = ks_metrics_gauge(
			metrics, "ks_gateway_memory_bytes",
			"Memory held for callers and upstreams", kinds[i]);
	report->budget = ks_metrics_gauge(
		metrics, "ks_gateway_memory_budget_bytes",
		"Memory that may be held for them, 0 for no limit", NULL);
	report->conns = ks_metrics_gauge(metrics, "ks_gateway_connections",
					 "Connections of callers", NULL);
	report->paused = ks_metrics_counter(
		metrics, "ks_gateway_paused_bodies_total",
		"How often a body was not read on for lack of memory", NULL);
	report->refused = ks_metrics_counter(
		metrics, "ks_gateway_refused_bodies_total",
		"Bodies refused as not run after they had waited for memory",
		NULL);
	report->exhausted = ks_metrics_counter(metrics, closed, closed_help,
					       "reason=\"memory\"");
	report->slow = ks_metrics_counter(metrics, closed, closed_help,
					  "reason=\"unread\"");
	report->descriptors = ks_metrics_counter(metrics, closed, closed_help,
						 "reason=\"descriptors\"");
	report->accept = ks_metrics_counter(
		metrics, "ks_gateway_accept_pauses_total",
		"How often no connection was accepted for lack of descriptors",
		NULL);
}

static void update_counters(ks_gateway_t *gateway)
{
	struct memory_report *report = &gateway->memory_report;
	const ks_memory_t *memory = &gateway->memory;
	const ks_http1_stats_t *stats = &gateway->server.stats;

	for (int i = 0; i < KS_MEMORY_N_KINDS; i++)
		ks_counter_set(report->used[i], memory->used[i]);
	ks_counter_set(report->budget,
		       memory->budget == SIZE_MAX ? 0 : memory->budget);
	ks_counter_set(report->conns, gateway->server.n_conns);
	ks_counter_set(report->paused, stats->paused_bodies);
	ks_counter_set(report->refused, stats->refused_bodies);
	ks_counter_set(report->exhausted, stats->closed_for_memory);
	ks_counter_set(report->slow, stats->closed_slow);
	ks_counter_set(report->descriptors, stats->closed_for_descriptors);
	ks_counter_set(report->accept, stats->accept_pauses);
}

static void log_changes(ks_gateway_t *gateway)
{
	const ks_http1_stats_t *now = &gateway->server.stats;
	const ks_http1_stats_t *before = &gateway->memory_report.logged;

	if (now->paused_bodies != before->paused_bodies ||
	    now->refused_bodies != before->refused_bodies ||
	    now->closed_for_memory != before->closed_for_memory ||
	    now->closed_slow != before->closed_slow)
		ks_log(KS_LOG_HTTP, KS_LOG_WARN,
		       "memory for callers is short held=%zu budget=%zu "
		       "bodies=%zu output=%zu paused=%" PRIu64
		       " refused=%" PRIu64 " closed=%" PRIu64
		       " closed_unread=%" PRIu64,
		       gateway->memory.total, gateway->memory.budget,
		       gateway->memory.used[KS_MEMORY_BODIES],
		       gateway->memory.used[KS_MEMORY_OUTPUT],
		       now->paused_bodies - before->paused_bodies,
		       now->refused_bodies - before->refused_bodies,
		       now->closed_for_memory - before->closed_for_memory,
		       now->closed_slow - before->closed_slow);
	if (now->closed_for_descriptors != before->closed_for_descriptors ||
	    now->accept_pauses != before->accept_pauses)
		ks_log(KS_LOG_HTTP, KS_LOG_WARN,
		       "descriptors are short connections=%zu limit=%zu "
		       "upstreams=%zu closed=%" PRIu64 " pauses=%" PRIu64,
		       gateway->server.n_conns, gateway->server.max_conns,
		       gateway->client.n_conns,
		       now->closed_for_descriptors -
			       before->closed_for_descriptors,
		       now->accept_pauses - before->accept_pauses);
	gateway->memory_report.logged = *now;
}

static void on_report(void *ctx)
{
	ks_gateway_t *gateway = ctx;

	update_counters(gateway);
	log_changes(gateway);
	ks_timer_set(&gateway->memory_report.timer, REPORT_US);
}

/**
 * gateway_report_memory() - report until gateway_end_memory_report()
 */
void gateway_report_memory(ks_gateway_t *gateway)
{
	add_counters(&gateway->memory_report, gateway->metrics);
	ks_timer_init(&gateway->memory_report.timer, gateway->loop, on_report,
		      gateway);
	ks_timer_set(&gateway->memory_report.timer, REPORT_US);
}

void gateway_end_memory_report(ks_gateway_t *gateway)
{
	ks_timer_clear(&gateway->memory_report.timer);
}
