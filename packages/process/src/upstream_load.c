/* Load of the upstream, as announced to the entries. */
#include "upstream.h"

#include <string.h>

#define LOAD_INTERVAL_US (50 * KS_USEC_PER_MSEC)
#define MIN_RETRY_AFTER_US (100 * KS_USEC_PER_MSEC)
#define MAX_RETRY_AFTER_US (10 * KS_USEC_PER_SEC)
/* A change takes seconds, and a replacement of a leaving upstream longer. */
#define DRAINING_RETRY_AFTER_US (1 * KS_USEC_PER_SEC)

/**
 * upstream_limit() - requests handed on at once
 *
 * An upstream without a limit of its own takes what the settings allow.
 */
unsigned upstream_limit(const ks_upstream_process_t *process)
{
	if (process->entry && process->entry->limit > 0)
		return process->entry->limit;
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

/**
 * upstream_load_send() - announce the load now
 */
void upstream_load_send(ks_upstream_process_t *process)
{
	const ks_upstream_t *entry = process->entry;

	ks_timer_clear(&process->load_timer);
	process->load_sent_us = ks_loop_now(process->loop);
	process->load.in_flight = process->n_running + process->n_queued;
	process->load.limit = upstream_limit(process);
	if (entry && entry->model && !process->load.role[0])
		g_strlcpy(process->load.role, ks_engine_role_name(entry->role),
			  sizeof(process->load.role));
	if (process->link)
		ks_link_server_set_load(process->link, &process->load);
}

static void on_load_timer(void *ctx)
{
	upstream_load_send(ctx);
}

/**
 * upstream_load_init() - set up the counts
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
 * upstream_load_observed() - the engine's own view
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
	upstream_load_changed(process);
}
