/*
 * A job: sends a request to the upstream over HTTP and passes the answer back
 * over the link.
 */
#include "upstream_internal.h"

#include <string.h>

/*
 * A non-idempotent call may run this long beyond the caller's deadline, so that
 * its outcome can still be recorded. The limit keeps a service that does not
 * answer from occupying its slot and blocking the drain forever.
 */
#define NON_IDEMPOTENT_GRACE_US (30 * KS_USEC_PER_SEC)

/* Each job contributes 1/8 to the moving average of the job time. */
#define MEAN_JOB_WEIGHT 8
#define EXTRA_HEADERS 3

/* Size of the value of x-ks-call: the id of the request, "-" and the attempt.
 */
#define CALL_NAME_SIZE (KS_ID_HEX_SIZE + 12)

static ks_str_t append_copy(char **at, ks_str_t s)
{
	ks_str_t copy = { *at, s.len };

	if (s.len > 0)
		memcpy(*at, s.data, s.len);
	*at += s.len;
	return copy;
}

/* Copies the request, since its strings are valid only during the event. */
static void copy_request(struct upstream_job *job,
			 const ks_attempt_request_t *request)
{
	size_t size = request->method.len + request->path.len +
		      request->body.len + request->model.len +
		      request->tenant.len;
	char *at;

	for (size_t i = 0; i < request->n_headers; i++)
		size += request->headers[i].name.len +
			request->headers[i].value.len;
	job->text = at = g_malloc(size + 1);
	job->request = *request;
	job->request.method = append_copy(&at, request->method);
	job->request.path = append_copy(&at, request->path);
	job->request.body = append_copy(&at, request->body);
	job->request.model = append_copy(&at, request->model);
	job->request.tenant = append_copy(&at, request->tenant);
	job->headers = g_new(ks_header_t, request->n_headers + 1);
	for (size_t i = 0; i < request->n_headers; i++) {
		job->headers[i].name =
			append_copy(&at, request->headers[i].name);
		job->headers[i].value =
			append_copy(&at, request->headers[i].value);
	}
	job->request.headers = job->headers;
}

/*
 * The HTTP call has its own copy of the request; keeping a second one for the
 * duration of a long stream would waste memory.
 */
static void free_request_copy(struct upstream_job *job)
{
	g_free(job->headers);
	g_free(job->text);
	job->headers = NULL;
	job->text = NULL;
}

static void subtract_pending_output(struct upstream_job *job, uint32_t tokens)
{
	tokens = MIN(tokens, job->output_pending);
	job->output_pending -= tokens;
	job->process->load.output_tokens_pending -= tokens;
}

static void clear_pending_prompt(struct upstream_job *job)
{
	job->process->load.prompt_tokens_pending -= job->prompt_pending;
	job->prompt_pending = 0;
}

/* Frees a job whose answer has ended, and dispatches the next one. */
static void release_job(struct upstream_job *job)
{
	ks_upstream_process_t *process = job->process;

	ks_list_remove(&job->node);
	if (job->running)
		process->n_running--;
	else
		process->n_queued--;
	ks_timer_clear(&job->start_timer);
	ks_http_call_cancel(&job->call);
	clear_pending_prompt(job);
	subtract_pending_output(job, job->output_pending);
	ks_drain_end(&process->drain);
	free_request_copy(job);
	g_free(job);
	upstream_load_changed(process);
	upstream_jobs_dispatch(process);
	upstream_update_state(process);
}

/**
 * upstream_job_refuse() - answer that a job was not executed, and free it
 */
void upstream_job_refuse(struct upstream_job *job, ks_error_kind_t kind)
{
	if (job->link_job)
		ks_job_refuse(job->link_job, kind,
			      upstream_retry_after(job->process));
	job->link_job = NULL;
	release_job(job);
}

static void end_job(struct upstream_job *job, ks_error_kind_t kind,
		    const char *message)
{
	ks_upstream_process_t *process = job->process;

	if (kind != KS_ERROR_NONE)
		ks_log_request(KS_LOG_HTTP, KS_LOG_WARN, &job->request.key.id,
			       process->snapshot ? process->snapshot->version
						 : 0,
			       "attempt %u failed: %s",
			       job->request.key.attempt, message);
	if (job->link_job)
		ks_job_end(job->link_job, kind, ks_str_from(message));
	job->link_job = NULL;
	release_job(job);
}

static void on_sent(void *ctx)
{
	struct upstream_job *job = ctx;

	ks_timer_clear(&job->start_timer);
	if (job->deadline_us <= ks_loop_now(job->process->loop)) {
		upstream_job_refuse(job, KS_ERROR_DEADLINE_NOT_RUN);
		return;
	}
	job->sent = true;
	if (job->link_job)
		ks_job_accept(job->link_job);
}

/*
 * Whether a header field is not forwarded: hop-by-hop fields (RFC 9110, 7.6.1)
 * and those that the HTTP client or the link sets itself.
 */
static bool is_connection_field(ks_str_t name)
{
	static const char *const names[] = {
		"connection", "content-length", "keep-alive",
		"te",	      "trailer",	"transfer-encoding",
		"upgrade",    "expect",		"host",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (ks_str_equal_nocase(name, ks_str_from(names[i])))
			return true;
	return false;
}

static void on_head(void *ctx, int status, const ks_header_t *headers,
		    size_t n_headers)
{
	struct upstream_job *job = ctx;
	ks_str_t type = ks_header_value(headers, n_headers, "content-type");
	ks_header_t *kept = g_new(ks_header_t, n_headers + 1);
	size_t n_kept = 0;

	for (size_t i = 0; i < n_headers; i++)
		if (!is_connection_field(headers[i].name))
			kept[n_kept++] = headers[i];
	job->is_sse = job->is_engine_request && status == 200 &&
		      ks_str_has_prefix(type, KS_STR("text/event-stream"));
	if (job->link_job)
		ks_job_head(job->link_job, status, kept, n_kept);
	g_free(kept);
}

static void on_body(void *ctx, ks_str_t data)
{
	struct upstream_job *job = ctx;
	unsigned events = job->sse.events;

	clear_pending_prompt(job);
	if (job->is_sse) {
		upstream_sse_feed(&job->sse, data);
		subtract_pending_output(job, job->sse.events - events);
	}
	upstream_load_changed(job->process);
	if (!job->link_job || ks_job_body(job->link_job, data))
		return;
	/* The link ended the attempt because the entry reads too slowly. */
	job->link_job = NULL;
	if (job->request.idempotent)
		release_job(job);
}

static void update_mean_job_time(struct upstream_job *job)
{
	ks_upstream_process_t *process = job->process;
	int64_t took = ks_loop_now(process->loop) - job->started_us;

	process->mean_job_us += (took - process->mean_job_us) / MEAN_JOB_WEIGHT;
}

static void end_complete(struct upstream_job *job)
{
	update_mean_job_time(job);
	if (job->is_sse && !upstream_sse_is_complete(&job->sse))
		end_job(job, KS_ERROR_UPSTREAM_FAILED,
			"the stream was cut short");
	else
		end_job(job, KS_ERROR_NONE, "");
}

static void on_done(void *ctx, ks_http_result_t result)
{
	struct upstream_job *job = ctx;
	int64_t left = job->deadline_us - ks_loop_now(job->process->loop);
	ks_error_kind_t kind = job->request.idempotent
				       ? KS_ERROR_UPSTREAM_FAILED
				       : KS_ERROR_OUTCOME_UNKNOWN;

	switch (result) {
	case KS_HTTP_COMPLETE:
		end_complete(job);
		break;
	case KS_HTTP_NOT_SENT:
		upstream_job_refuse(job, left > 0 ? KS_ERROR_NO_UPSTREAM
						  : KS_ERROR_DEADLINE_NOT_RUN);
		break;
	case KS_HTTP_TIMED_OUT:
		end_job(job, kind, "no whole answer from the upstream in time");
		break;
	default:
		end_job(job, kind,
			job->call.fault ? job->call.fault
					: "the connection to the upstream was "
					  "lost");
	}
}

static const ks_http_events_t call_events = {
	.sent = on_sent,
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

/*
 * Copies the caller's header fields, except hop-by-hop ones, and replaces
 * x-request-id, x-ks-call and x-priority, which the upstream relies on.
 */
static size_t build_headers(const struct upstream_job *job, ks_header_t *out,
			    const char *id, const char *call,
			    const char *priority)
{
	const ks_attempt_request_t *request = &job->request;
	size_t n = 0;

	for (size_t i = 0; i < request->n_headers; i++) {
		ks_str_t name = request->headers[i].name;

		if (!is_connection_field(name) &&
		    !ks_str_equal_nocase(name, KS_STR("x-request-id")) &&
		    !ks_str_equal_nocase(name, KS_STR("x-ks-call")) &&
		    !ks_str_equal_nocase(name, KS_STR("x-priority")))
			out[n++] = request->headers[i];
	}
	out[n++] = (ks_header_t){ KS_STR("x-request-id"), ks_str_from(id) };
	out[n++] = (ks_header_t){ KS_STR("x-ks-call"), ks_str_from(call) };
	out[n++] = (ks_header_t){ KS_STR("x-priority"), ks_str_from(priority) };
	return n;
}

static void start_call(struct upstream_job *job, int64_t timeout_us)
{
	ks_upstream_process_t *process = job->process;
	ks_header_t *headers =
		g_new(ks_header_t, job->request.n_headers + EXTRA_HEADERS);
	char id[KS_ID_HEX_SIZE];
	char call[CALL_NAME_SIZE];
	char priority[16];
	ks_http_request_t request = {
		.address = process->endpoint,
		.method = job->request.method,
		.target = job->request.path,
		.headers = headers,
		.body = job->request.body,
		.timeout_us = timeout_us,
		.response_id_header = KS_STR("x-ks-call"),
		.response_id_optional = true,
		/*
		 * The upstream may close an idle connection while the request
		 * is being sent on it; it is then unknown whether it ran.
		 */
		.reuse = job->request.idempotent,
	};

	g_snprintf(priority, sizeof(priority), "%u", job->request.priority);
	g_snprintf(call, sizeof(call), "%s-%u",
		   ks_id_format(&job->request.key.id, id),
		   job->request.key.attempt);
	request.response_id = ks_str_from(call);
	request.n_headers = build_headers(job, headers, id, call, priority);
	ks_http_call_start(&job->call, &process->client, &request, &call_events,
			   job);
	g_free(headers);
}

/**
 * upstream_job_dispatch() - send a queued job to the upstream
 */
void upstream_job_dispatch(struct upstream_job *job)
{
	ks_upstream_process_t *process = job->process;
	int64_t now = ks_loop_now(process->loop);
	int64_t timeout_us = job->deadline_us - now;

	ks_list_remove(&job->node);
	ks_list_append(&process->running, &job->node);
	process->n_queued--;
	process->n_running++;
	job->running = true;
	job->started_us = now;
	if (!job->request.idempotent)
		timeout_us += NON_IDEMPOTENT_GRACE_US;
	start_call(job, timeout_us);
	free_request_copy(job);
}

static void on_start_timer(void *ctx)
{
	upstream_job_refuse(ctx, KS_ERROR_DEADLINE_NOT_RUN);
}

/**
 * upstream_job_new() - accept a request; the caller then queues the job
 */
struct upstream_job *upstream_job_new(ks_upstream_process_t *process,
				      ks_job_t *link_job,
				      const ks_attempt_request_t *request)
{
	struct upstream_job *job = g_new0(struct upstream_job, 1);

	job->process = process;
	job->link_job = link_job;
	ks_job_set_context(link_job, job);
	copy_request(job, request);
	job->deadline_us = ks_loop_now(process->loop) + request->timeout_us;
	job->is_engine_request = upstream_is_engine(process);
	job->prompt_pending = request->prompt_tokens;
	job->output_pending = request->output_tokens;
	process->load.prompt_tokens_pending += job->prompt_pending;
	process->load.output_tokens_pending += job->output_pending;
	ks_timer_init(&job->start_timer, process->loop, on_start_timer, job);
	ks_timer_set(&job->start_timer, request->timeout_us);
	ks_drain_begin(&process->drain);
	return job;
}

/**
 * upstream_job_cancelled() - handle the entry's cancellation of a request
 *
 * A non-idempotent request that has been sent continues, since its outcome is
 * recorded even if its caller has disconnected.
 */
void upstream_job_cancelled(ks_job_t *link_job)
{
	struct upstream_job *job = ks_job_context(link_job);

	if (!job)
		return;
	if (!job->sent) {
		upstream_job_refuse(job, KS_ERROR_NO_UPSTREAM);
		return;
	}
	if (!job->request.idempotent)
		return;
	ks_job_end(link_job, KS_ERROR_UPSTREAM_FAILED, KS_STR("cancelled"));
	job->link_job = NULL;
	release_job(job);
}

/**
 * upstream_jobs_free() - free all jobs without answering them
 */
void upstream_jobs_free(ks_upstream_process_t *process)
{
	ks_list_t *lists[] = { &process->queue, &process->running };

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		KS_LIST_FOREACH_SAFE (it, next, lists[i]) {
			struct upstream_job *job =
				KS_CONTAINER_OF(it, struct upstream_job, node);

			ks_list_remove(&job->node);
			ks_timer_clear(&job->start_timer);
			ks_http_call_cancel(&job->call);
			free_request_copy(job);
			g_free(job);
		}
}
