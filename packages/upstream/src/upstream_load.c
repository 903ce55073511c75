/* Computes the load of the upstream and announces it to the entries. */
#include "upstream_internal.h"

#include <string.h>

#define LOAD_INTERVAL_US (50 * KS_USEC_PER_MSEC)
#define MIN_RETRY_AFTER_US (100 * KS_USEC_PER_MSEC)
#define MAX_RETRY_AFTER_US (10 * KS_USEC_PER_SEC)
/* A change of the engine takes seconds; replacing a leaving upstream longer. */
#define DRAINING_RETRY_AFTER_US (1 * KS_USEC_PER_SEC)

/**
 * upstream_limit() - maximum number of requests running at the upstream
 *
 * The limit in the snapshot or, if there is none, in the settings.
 */
unsigned upstream_limit(const ks_upstream_process_t *process)
{
	if (process->upstream_config && process->upstream_config->limit > 0)
		return process->upstream_config->limit;
	return process->settings->max_requests;
}

/**
 * upstream_retry_after() - expected time until a slot is free, in microseconds
 */
int64_t upstream_retry_after(const ks_upstream_process_t *process)
{
	int64_t slots = MAX(upstream_limit(process), 1);
	int64_t wait = process->mean_job_us * (process->n_queued + 1) / slots;

	if (!ks_drain_is_accepting(&process->drain))
		return DRAINING_RETRY_AFTER_US;
	return CLAMP(wait, MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US);
}

/*
 * Time assumed per output token when the slack of requests is compared. Only
 * the ranking depends on it; the entries know the actual rates.
 */
#define OUTPUT_TOKEN_WEIGHT_US (20 * KS_USEC_PER_MSEC)

static void find_most_urgent(ks_upstream_process_t *process,
			     const ks_list_t *jobs, int64_t *least_us)
{
	int64_t now = ks_loop_now(process->loop);

	KS_LIST_FOREACH (it, jobs) {
		const struct upstream_job *job =
			KS_CONTAINER_OF(it, struct upstream_job, node);
		int64_t left = job->deadline_us - now;
		int64_t spare =
			left - job->output_pending * OUTPUT_TOKEN_WEIGHT_US;

		/* A request that will miss its deadline is not protected. */
		if (spare <= 0 || spare >= *least_us)
			continue;
		*least_us = spare;
		process->load.urgent_left_us = (uint64_t)left;
		process->load.urgent_output_tokens = job->output_pending;
	}
}

/**
 * upstream_load_send() - update the load and announce it now
 */
void upstream_load_send(ks_upstream_process_t *process)
{
	const ks_upstream_t *upstream_config = process->upstream_config;
	int64_t least_us = INT64_MAX;

	ks_timer_clear(&process->load_timer);
	process->load_sent_us = ks_loop_now(process->loop);
	process->load.in_flight = process->n_running + process->n_queued;
	process->load.limit = upstream_limit(process);
	process->load.urgent_left_us = 0;
	find_most_urgent(process, &process->running, &least_us);
	find_most_urgent(process, &process->queue, &least_us);
	if (upstream_config && upstream_config->model && !process->load.role[0])
		g_strlcpy(process->load.role,
			  ks_engine_role_name(upstream_config->role),
			  sizeof(process->load.role));
	if (process->link)
		ks_link_server_set_load(process->link, &process->load);
}

static void on_load_timer(void *ctx)
{
	upstream_load_send(ctx);
}

/**
 * upstream_load_init() - set up the timer for load announcements
 */
void upstream_load_init(ks_upstream_process_t *process)
{
	ks_timer_init(&process->load_timer, process->loop, on_load_timer,
		      process);
	process->load_sent_us = ks_loop_now(process->loop) - LOAD_INTERVAL_US;
}

/**
 * upstream_load_changed() - announce the load, at most every 50 ms
 */
void upstream_load_changed(ks_upstream_process_t *process)
{
	int64_t since = ks_loop_now(process->loop) - process->load_sent_us;

	if (ks_timer_is_set(&process->load_timer))
		return;
	if (since >= LOAD_INTERVAL_US)
		upstream_load_send(process);
	else
		ks_timer_set(&process->load_timer, LOAD_INTERVAL_US - since);
}

/**
 * upstream_load_observed() - add the state that the engine reports to the load
 */
void upstream_load_observed(ks_upstream_process_t *process,
			    const ks_engine_state_t *state)
{
	process->load.kv_blocks_free = state->kv_blocks_free;
	process->load.kv_blocks_total = state->kv_blocks_total;
	g_strlcpy(process->load.role, ks_engine_role_name(state->role),
		  sizeof(process->load.role));
	g_strlcpy(process->engine_model, state->model,
		  sizeof(process->engine_model));
	process->engine_model_current = true;
	upstream_load_changed(process);
}
