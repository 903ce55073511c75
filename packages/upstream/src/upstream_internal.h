/* Internals of the upstream process. */
#ifndef KS_UPSTREAM_INTERNAL_H
#define KS_UPSTREAM_INTERNAL_H

#include "ks/upstream.h"

/**
 * struct upstream_sse - counts events in a stream of server-sent events
 * @line: start of the current line
 * @line_len: number of bytes in @line
 * @events: data events seen, without the end marker [DONE]
 * @is_last: the current event is [DONE]
 * @done: [DONE] and its empty line were the last event
 */
struct upstream_sse {
	char line[16];
	size_t line_len;
	unsigned events;
	bool is_last;
	bool done;
};

void upstream_sse_feed(struct upstream_sse *sse, ks_str_t data);
bool upstream_sse_is_complete(const struct upstream_sse *sse);

/**
 * struct ks_upstream_process - upstream process
 * @endpoint: HTTP address of the engine or service
 * @upstream_config: this upstream in @snapshot, or NULL
 * @announced: state last announced to the entries
 * @queue: jobs not yet dispatched, by priority and then by arrival
 * @running: jobs dispatched to the upstream
 * @mean_job_us: moving average of the time from dispatch to completion of a job
 * @load_sent_us: when @load was last announced
 * @engine_model: model that the engine was last observed with; empty if none
 * @engine_model_current: @engine_model was observed after the order driver last
 *	started to accept requests
 * @hosts_requested_us: when the host list was last requested
 */
struct ks_upstream_process {
	ks_loop_t *loop;
	const ks_settings_t *settings;
	ks_rng_t rng;
	ks_id_t incarnation;
	ks_http_client_t client;
	ks_address_t endpoint;
	ks_store_http_t store;
	ks_write_budget_t *writes;
	ks_platform_http_t platform;
	ks_engine_http_t engine;
	void *zmq;
	ks_link_server_t *link;
	ks_config_t *config;
	ks_order_driver_t *order_driver;
	ks_snapshot_t *snapshot;
	const ks_upstream_t *upstream_config;
	ks_drain_t drain;
	ks_upstream_state_t announced;

	ks_list_t queue;
	ks_list_t running;
	unsigned n_queued;
	unsigned n_running;
	int64_t mean_job_us;

	ks_load_t load;
	ks_timer_t load_timer;
	int64_t load_sent_us;
	char engine_model[64];
	bool engine_model_current;

	ks_timer_t poll_timer;
	int64_t hosts_requested_us;
	ks_timer_t stop_timer;
};

/**
 * struct upstream_job - a request that this process has accepted
 * @node: in the queue or the running list of @process
 * @link_job: receives the answer; NULL once the answer has ended
 * @start_timer: refuses the job if it was not sent by its deadline
 * @request: its strings are in @text and its headers in @headers until the job
 *	is dispatched, and invalid afterwards
 * @started_us: when the job was dispatched
 * @prompt_pending: prompt tokens of the job that the load counts as pending
 * @output_pending: output tokens of the job that the load counts as pending
 * @is_engine_request: the upstream was configured as an engine when the job was
 *	accepted
 * @running: handed to the HTTP client
 * @sent: the request is being written, so the upstream may execute it
 * @is_sse: the answer is a stream of server-sent events from an engine
 */
struct upstream_job {
	ks_list_t node;
	ks_upstream_process_t *process;
	ks_job_t *link_job;
	ks_http_call_t call;
	ks_timer_t start_timer;
	ks_attempt_request_t request;
	ks_header_t *headers;
	char *text;
	int64_t deadline_us;
	int64_t started_us;
	uint32_t prompt_pending;
	uint32_t output_pending;
	bool is_engine_request;
	bool running;
	bool sent;
	bool is_sse;
	struct upstream_sse sse;
};

/* upstream.c */
void upstream_update_state(ks_upstream_process_t *process);
bool upstream_is_engine(const ks_upstream_process_t *process);

/* upstream_queue.c */
void upstream_job_receive(ks_upstream_process_t *process, ks_job_t *link_job,
			  const ks_attempt_request_t *request);
void upstream_jobs_dispatch(ks_upstream_process_t *process);

/* upstream_job.c */
struct upstream_job *upstream_job_new(ks_upstream_process_t *process,
				      ks_job_t *link_job,
				      const ks_attempt_request_t *request);
void upstream_job_dispatch(struct upstream_job *job);
void upstream_job_refuse(struct upstream_job *job, ks_error_kind_t kind);
void upstream_job_cancelled(ks_job_t *link_job);
void upstream_jobs_free(ks_upstream_process_t *process);

/* upstream_load.c */
void upstream_load_init(ks_upstream_process_t *process);
void upstream_load_changed(ks_upstream_process_t *process);
void upstream_load_send(ks_upstream_process_t *process);
void upstream_load_observed(ks_upstream_process_t *process,
			    const ks_engine_state_t *state);
unsigned upstream_limit(const ks_upstream_process_t *process);
int64_t upstream_retry_after(const ks_upstream_process_t *process);

#endif
