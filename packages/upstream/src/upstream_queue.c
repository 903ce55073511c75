/* Admission of requests, and the queue of those that wait for a free slot. */
#include "upstream_internal.h"

#include <string.h>

/*
 * Size of the queue: a quarter of the upstream's limit, within bounds. The
 * queue only bridges the time between an answer and the next request from the
 * entries; a longer one would hide the backlog from routing.
 */
#define QUEUE_LIMIT_DIVISOR 4
#define MIN_QUEUE 2
#define MAX_QUEUE 32

/*
 * In a leaving or changing upstream, a queued request would wait for streams of
 * any length to end, although another upstream can serve it now.
 */
static void refuse_queued(ks_upstream_process_t *process)
{
	while (!ks_list_is_empty(&process->queue))
		upstream_job_refuse(KS_CONTAINER_OF(process->queue.next,
						    struct upstream_job, node),
				    KS_ERROR_NO_UPSTREAM);
}

/**
 * upstream_jobs_dispatch() - dispatch queued jobs while slots are free
 *
 * If the upstream does not accept requests, all queued jobs are refused.
 */
void upstream_jobs_dispatch(ks_upstream_process_t *process)
{
	if (!ks_drain_is_accepting(&process->drain)) {
		refuse_queued(process);
		return;
	}
	while (!ks_list_is_empty(&process->queue) &&
	       process->n_running < upstream_limit(process)) {
		struct upstream_job *job = KS_CONTAINER_OF(
			process->queue.next, struct upstream_job, node);

		/* The start timer may fire late, so check the deadline here. */
		if (job->deadline_us <= ks_loop_now(process->loop)) {
			upstream_job_refuse(job, KS_ERROR_DEADLINE_NOT_RUN);
			return; /* the refusal has called this function again */
		}
		upstream_job_dispatch(job);
	}
}

/* Inserts before the first job of lower priority; a lower number is higher. */
static void enqueue(ks_upstream_process_t *process, struct upstream_job *job)
{
	ks_list_t *before = &process->queue;

	KS_LIST_FOREACH (it, &process->queue) {
		struct upstream_job *other =
			KS_CONTAINER_OF(it, struct upstream_job, node);

		if (other->request.priority > job->request.priority) {
			before = it;
			break;
		}
	}
	ks_list_append(before, &job->node);
	process->n_queued++;
}

static bool has_adapter(const ks_upstream_process_t *process, ks_str_t name)
{
	const ks_model_t *model = ks_snapshot_find_model(
		process->snapshot,
		ks_str_from(process->upstream_config->model));

	for (unsigned i = 0; model && i < model->adapters->len; i++) {
		const char *adapter = g_ptr_array_index(model->adapters, i);

		if (ks_str_equal(name, ks_str_from(adapter)))
			return true;
	}
	return false;
}

static bool serves_model(const ks_upstream_process_t *process, ks_str_t name)
{
	const char *model = process->upstream_config->model;

	if (!model || name.len == 0)
		return true;
	if (process->engine_model_current &&
	    strcmp(process->engine_model, model))
		return false;
	return ks_str_equal(name, ks_str_from(model)) ||
	       has_adapter(process, name);
}

static unsigned queue_size(const ks_upstream_process_t *process)
{
	return CLAMP(upstream_limit(process) / QUEUE_LIMIT_DIVISOR, MIN_QUEUE,
		     MAX_QUEUE);
}

/* If the queue is full, refuses a queued job of lower priority, if any. */
static bool make_room(ks_upstream_process_t *process, uint32_t priority)
{
	struct upstream_job *last;

	if (process->n_running < upstream_limit(process) ||
	    process->n_queued < queue_size(process))
		return true;
	last = KS_CONTAINER_OF(process->queue.prev, struct upstream_job, node);
	if (last->request.priority <= priority)
		return false;
	upstream_job_refuse(last, KS_ERROR_OVERLOADED);
	return true;
}

static ks_error_kind_t check_request(ks_upstream_process_t *process,
				     const ks_attempt_request_t *request)
{
	if (!ks_drain_is_accepting(&process->drain))
		return KS_ERROR_NO_UPSTREAM;
	if (!serves_model(process, request->model))
		return KS_ERROR_UNKNOWN_MODEL;
	if (request->timeout_us <= 0)
		return KS_ERROR_DEADLINE_NOT_RUN;
	if (!make_room(process, request->priority))
		return KS_ERROR_OVERLOADED;
	return KS_ERROR_NONE;
}

/**
 * upstream_job_receive() - refuse, dispatch or queue a request
 */
void upstream_job_receive(ks_upstream_process_t *process, ks_job_t *link_job,
			  const ks_attempt_request_t *request)
{
	ks_error_kind_t kind = check_request(process, request);

	if (kind != KS_ERROR_NONE) {
		ks_job_refuse(link_job, kind, upstream_retry_after(process));
		return;
	}
	enqueue(process, upstream_job_new(process, link_job, request));
	upstream_jobs_dispatch(process);
	upstream_load_changed(process);
	upstream_update_state(process);
}
