/* Declarations shared by the source files of the entry process. */
#ifndef KS_ENTRY_INTERNAL_H
#define KS_ENTRY_INTERNAL_H

#include "ks/entry.h"

#include <h2o.h>
#include <jansson.h>

/*
 * Longer JSON of upstreams is not parsed: the values of a text take up to 50
 * times its size in memory.
 */
#define ENTRY_MAX_JSON_BYTES ((size_t)256 * 1024)

/* Initial estimates of an engine's time per token, until it is measured. */
#define ENTRY_PREFILL_US 50.0
#define ENTRY_DECODE_US 20000.0

struct entry_request;
struct entry_group;
struct entry_plan;

/**
 * struct entry_tenant - an organisation that sends requests
 * @label: @name, escaped as the value of a metric label
 * @has_key: it has an API key, whose SHA-256 digest is @key
 * @weight: its share in weighted fair queueing
 * @priority: priority class of its completions; 0 is served first
 * @max_concurrency: limit of @in_flight; 0 for none
 * @in_flight: number of its requests that have not completed
 * @classes: struct entry_class * by priority class
 */
struct entry_tenant {
	char *name;
	char *label;
	bool has_key;
	ks_digest_t key;
	double weight;
	unsigned priority;
	unsigned max_concurrency;
	unsigned in_flight;
	GHashTable *classes;
};

/**
 * struct entry_class - statistics of one tenant and priority class
 * @first_token: time from the arrival of a request to the first token
 * @between_tokens: time between two tokens of a stream
 * @completion: time from the arrival of a request to its completion
 */
struct entry_class {
	struct entry_tenant *tenant;
	unsigned in_flight;
	ks_histogram_t *first_token;
	ks_histogram_t *between_tokens;
	ks_histogram_t *completion;
};

/**
 * struct entry_upstream - an upstream that this process has a link to
 * @process: IP:PORT of the upstream process, to which the link connects
 * @domain: its failure domain
 * @limit: number of requests that it serves at once, as configured
 * @can_resume: it can continue a stream that another upstream began
 * @attempts: struct entry_attempt that have not ended
 * @in_flight: length of @attempts
 * @prompt_tokens: uncached prompt tokens sent by this process and not yet
 *	prefilled
 * @output_tokens: output tokens still expected of the attempts in flight
 * @role: role of the engine for which @prefill_us and @decode_us were estimated
 * @prefill_us: estimated prefill time per token, in microseconds
 * @decode_us: estimated time of a decode step, in microseconds
 * @prefill_samples: number of measurements averaged in @prefill_us
 * @decode_samples: number of measurements averaged in @decode_us
 * @prefill_since_us: start of the prefill of the first queued prompt
 * @prefill_until_us: last time at which a prompt was being prefilled; decode
 *	steps that began before it are not measured
 * @prefix_cache: estimate of the prompt prefixes that the engine has cached
 * @is_host_leaving: its host is about to leave, so it gets no new requests
 * @is_withdrawn: it is no longer in the configuration or in the subset that
 *	this process uses; the link is closed once nothing is in flight
 * @is_link_lost: the link has been down for longer than a reconnect takes
 */
struct entry_upstream {
	ks_list_t node;
	ks_entry_t *entry;
	struct entry_group *group;
	char *id;
	char *process;
	char *host;
	char *domain;
	unsigned limit;
	bool can_resume;
	ks_link_client_t *link;
	ks_list_t attempts;
	unsigned in_flight;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	char role[16];
	double prefill_us;
	double decode_us;
	unsigned prefill_samples;
	unsigned decode_samples;
	int64_t prefill_since_us;
	int64_t prefill_until_us;
	ks_ejection_t ejection;
	ks_prefix_index_t *prefix_cache;
	bool is_host_leaving;
	bool is_withdrawn;
	bool is_link_lost;
	ks_timer_t lost_timer;
};

/**
 * struct entry_group - the upstreams of one model or service
 * @members: struct entry_upstream * that are not withdrawn
 * @is_model: it serves a model, not a service
 * @queued: number of requests in the admission queue
 * @round_robin_index: counts the choices of the simple routing policies
 * @queue_timer: next check of the admission queue
 * @admitting: entry_group_admit_queued() is running
 * @output_share: average ratio of generated tokens to the maximum requested
 * @mean_service_us: average duration of a successful attempt
 */
struct entry_group {
	ks_entry_t *entry;
	char *name;
	bool is_model;
	GPtrArray *members;
	ks_admission_t *admission;
	unsigned queued;
	unsigned round_robin_index;
	ks_timer_t queue_timer;
	bool admitting;
	double output_share;
	double mean_service_us;
};

/**
 * enum entry_phase - progress of a request
 * @ENTRY_NEW: not yet admitted
 * @ENTRY_QUEUED: in the admission queue
 * @ENTRY_CLAIMING: waits for the ledger to claim its idempotency key
 * @ENTRY_SENT: admitted; an attempt is in flight or about to be sent
 * @ENTRY_DONE: completed; kept only until the caller's side is released
 */
enum entry_phase {
	ENTRY_NEW,
	ENTRY_QUEUED,
	ENTRY_CLAIMING,
	ENTRY_SENT,
	ENTRY_DONE,
};

/**
 * struct entry_attempt - one attempt, from sending to its last event
 * @request: NULL once the attempt is detached from its request
 * @attempt: handle of the attempt in the link
 * @prompt_tokens: its share of the upstream's @prompt_tokens
 * @output_tokens: its share of the upstream's @output_tokens
 * @uncached_tokens: prompt tokens estimated not to be in the engine's cache
 * @ahead_tokens: prompt tokens queued for prefill ahead of it when it was sent
 * @last_token_us: arrival of the latest token
 * @tokens: number of token events received
 * @had_free_slot: the batch had a free slot when it was sent
 */
struct entry_attempt {
	ks_list_t node;
	struct entry_request *request;
	struct entry_upstream *upstream;
	ks_attempt_t *attempt;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint32_t uncached_tokens;
	uint64_t ahead_tokens;
	int64_t sent_us;
	int64_t last_token_us;
	unsigned tokens;
	bool had_free_slot;
};

/**
 * struct entry_caller - h2o response generator, in the pool of the h2o request
 * @request: NULL once the request is freed
 */
struct entry_caller {
	h2o_generator_t generator;
	struct entry_request *request;
};

/**
 * struct entry_stream - server-sent events being relayed to the caller
 * @partial: start of an incomplete event
 * @out: complete events not yet passed to h2o
 * @sending: events passed to h2o
 * @out_credit: bytes of @out to acknowledge to the current attempt, for flow
 *	control, when the caller's connection has taken them
 * @sending_credit: the same for @sending
 * @delivered: number of token events that were relayed or are in @out
 * @finish_seen: a choice has ended with a finish_reason; resuming the stream
 *	would generate past its end
 * @done_seen: the engine sent [DONE], which is held back until the attempt ends
 * @started: the response headers were sent
 * @send_pending: h2o has not yet asked for more
 * @has_end: @out holds the end of the stream
 * @result: error that ended the stream, or KS_ERROR_NONE
 */
struct entry_stream {
	GString *partial;
	GString *out;
	GString *sending;
	size_t out_credit;
	size_t sending_credit;
	unsigned delivered;
	bool finish_seen;
	bool done_seen;
	bool started;
	bool send_pending;
	bool has_end;
	ks_error_kind_t result;
};

/**
 * enum entry_split_step - step of a disaggregated completion
 * @ENTRY_SPLIT_UNDECIDED: no attempt has been sent
 * @ENTRY_SPLIT_PREFILL: the attempt in flight only prefills
 * @ENTRY_SPLIT_DECODE: the attempt in flight imports the KV blocks and decodes
 * @ENTRY_SPLIT_INACTIVE: one engine serves the whole request
 */
enum entry_split_step {
	ENTRY_SPLIT_UNDECIDED,
	ENTRY_SPLIT_PREFILL,
	ENTRY_SPLIT_DECODE,
	ENTRY_SPLIT_INACTIVE,
};

/**
 * struct entry_split - a completion prefilled and decoded on different engines
 * @step: step of the attempt in flight
 * @decode_upstream: id of the upstream chosen to decode
 * @kv_source: IP:PORT from which the decoding engine fetches the KV blocks
 * @kv_handle: handle of the KV blocks at @kv_source
 * @kv_tokens: prompt tokens that these blocks cover
 */
struct entry_split {
	enum entry_split_step step;
	char *decode_upstream;
	char *kv_source;
	char *kv_handle;
	uint32_t kv_tokens;
};

/**
 * struct entry_request - one request of a caller
 * @req: NULL once the caller's connection or HTTP/2 stream is closed
 * @is_idempotent: it may be sent again, or cancelled, after it may have run
 * @is_completion: it is a completion, so @completion is set
 * @strip_authorization: the authorization header holds the API key for this
 *	process and is not forwarded
 * @caller_closed: the caller closed its connection
 * @responded: a response was sent to the caller, or the request failed without
 *	one; an attempt may still run
 * @may_have_run: an attempt may have started, so the error sent to the caller
 *	must not state that the request was not run
 * @failed_kind: error of the latest attempt that failed after it started
 * @claim: its record in the ledger of idempotency keys, or NULL
 * @has_ticket: @ticket is queued or admitted
 * @attempt_number: number of the next attempt, unique for the request
 * @n_attempts: number of attempts sent, without the prefill step of a split
 *	request
 * @tried: ids of the upstreams that got an attempt
 * @lost_link_upstream: id of the upstream whose attempt failed with its link;
 *	it may get another attempt when no other upstream is left; or NULL
 * @failed_domains: failure domains of the upstreams whose attempts failed
 * @status: HTTP status of the response
 * @headers: response headers as name, value, name, value
 * @response_body: body of a response that is not streamed
 * @is_streaming: the current attempt responds with server-sent events
 * @output_tokens: generated tokens, as reported in the response's usage
 */
struct entry_request {
	ks_list_t node;
	ks_entry_t *entry;
	struct entry_caller *caller;
	h2o_req_t *req;
	ks_id_t id;
	struct entry_tenant *tenant;
	struct entry_class *class;
	unsigned priority;
	struct entry_group *group;
	const ks_route_settings_t *route;
	enum entry_phase phase;
	bool is_idempotent;
	bool is_completion;
	bool strip_authorization;
	bool caller_closed;
	bool responded;
	bool may_have_run;
	ks_error_kind_t failed_kind;
	ks_completion_t completion;
	ks_idempotency_key_t key;
	ks_ledger_record_t *claim;
	ks_ticket_t ticket;
	bool has_ticket;
	int64_t start_us;
	int64_t deadline_us;
	ks_timer_t deadline;
	uint32_t attempt_number;
	unsigned n_attempts;
	struct entry_attempt *attempt;
	GPtrArray *tried;
	char *lost_link_upstream;
	GPtrArray *failed_domains;
	int status;
	char *content_type;
	GPtrArray *headers;
	GString *response_body;
	bool is_streaming;
	struct entry_stream stream;
	struct entry_split split;
	uint32_t output_tokens;
};

/**
 * struct ks_entry - the entry process
 * @incarnation: identifies this run of the process
 * @groups: struct entry_group by kind and name
 * @upstreams: struct entry_upstream, including withdrawn ones
 * @requests: struct entry_request that are not freed
 * @n_active: number of requests that passed the limits and have not completed
 * @tenants: struct entry_tenant *
 * @hosts_timer: next poll of the list of hosts that are about to leave
 * @reap_timer: frees withdrawn upstreams
 * @requests_ended_us: when a stopping process had no pending request, 0 until
 *	then
 */
struct ks_entry {
	ks_loop_t *loop;
	const ks_settings_t *settings;
	ks_id_t incarnation;
	ks_rng_t rng;
	void *zmq;
	ks_metrics_t *metrics;
	ks_http_client_t client;
	ks_http_server_t server;
	ks_store_http_t store;
	ks_write_budget_t *writes;
	ks_platform_http_t platform;
	ks_config_t *config;
	ks_ledger_t *ledger;
	struct entry_plan *plan;
	ks_retry_budget_t retries;
	ks_routing_policy_t policy;
	GHashTable *groups;
	ks_list_t upstreams;
	ks_list_t requests;
	unsigned n_active;
	GPtrArray *tenants;
	bool has_operator_token;
	ks_digest_t operator_token;
	ks_timer_t hosts_timer;
	ks_timer_t reap_timer;
	ks_timer_t connection_check_timer;
	ks_timer_t stop_timer;
	bool stopping;
	bool listener_closed;
	int64_t stop_us;
	int64_t requests_ended_us;
};

/* entry_http.c */
void entry_http_handle(void *ctx, h2o_req_t *req);

/* entry_auth.c */
bool entry_auth_init(ks_entry_t *entry, GError **error);
void entry_auth_deinit(ks_entry_t *entry);
struct entry_tenant *entry_auth_authenticate(ks_entry_t *entry, h2o_req_t *req);
struct entry_tenant *entry_auth_find_tenant(ks_entry_t *entry,
					    const char *name);
bool entry_auth_is_operator(ks_entry_t *entry, h2o_req_t *req);
struct entry_class *entry_tenant_class(ks_entry_t *entry,
				       struct entry_tenant *tenant,
				       unsigned priority);

/* entry_status.c */
void entry_status_respond(ks_entry_t *entry, h2o_req_t *req);
void entry_metrics_respond(ks_entry_t *entry, h2o_req_t *req);
void entry_models_respond(ks_entry_t *entry, h2o_req_t *req);
void entry_count_result(ks_entry_t *entry, const char *tenant,
			unsigned priority, const char *result);

/* entry_fleet.c */
void entry_fleet_init(ks_entry_t *entry);
void entry_fleet_apply(ks_entry_t *entry, ks_snapshot_t *snapshot);
void entry_fleet_poll_hosts(void *ctx);
bool entry_fleet_has_attempts(const ks_entry_t *entry);
void entry_fleet_reap(void *ctx);
void entry_fleet_deinit(ks_entry_t *entry);

/* entry_group.c */
struct entry_group *entry_group_find(ks_entry_t *entry, bool is_model,
				     ks_str_t name);
struct entry_group *entry_group_get(ks_entry_t *entry, bool is_model,
				    ks_str_t name);
void entry_group_free(void *group);
bool entry_upstream_is_usable(const struct entry_upstream *upstream);
bool entry_group_is_served(const struct entry_group *group);
void entry_group_fill_candidates(const struct entry_group *group,
				 const struct entry_request *request,
				 bool allow_lost, ks_candidate_t *candidates);
struct entry_upstream *entry_group_choose(struct entry_group *group,
					  struct entry_request *request);
void entry_group_fill_ticket(const struct entry_group *group,
			     const struct entry_request *request,
			     ks_ticket_t *ticket);
void entry_group_update_capacity(struct entry_group *group);
void entry_group_admit_queued(struct entry_group *group);

/* entry_plan.c */
void entry_plan_init(ks_entry_t *entry);
void entry_plan_deinit(ks_entry_t *entry);
void entry_plan_apply(ks_entry_t *entry, const ks_snapshot_t *snapshot);
void entry_plan_record_demand(const struct entry_request *request);
json_t *entry_plan_status(const ks_entry_t *entry);
void entry_plan_metrics(const ks_entry_t *entry);

/* entry_capacity.c */
uint64_t
entry_capacity_queued_prompt_tokens(const struct entry_upstream *upstream,
				    int64_t now);
void entry_capacity_record_first_token(const struct entry_attempt *attempt,
				       int64_t now);
void entry_capacity_record_decode_step(const struct entry_attempt *attempt,
				       int64_t now);
double entry_capacity_wait_us(const struct entry_upstream *upstream,
			      const struct entry_request *request, int64_t now);
double entry_capacity_service_us(const struct entry_upstream *upstream,
				 const struct entry_request *request,
				 int64_t now);
double entry_capacity_forecast(void *ctx, const ks_ticket_t *ticket);
void entry_capacity_fill_ticket(const struct entry_group *group,
				const struct entry_request *request,
				ks_ticket_t *ticket);

/* entry_read.c */
bool entry_read_request(struct entry_request *request, bool chat,
			GError **error);

/* entry_request.c */
void entry_request_begin(ks_entry_t *entry, h2o_req_t *req,
			 const ks_route_settings_t *route, bool chat);
void entry_request_admitted(struct entry_request *request);
void entry_request_refuse(struct entry_request *request, ks_error_kind_t kind,
			  int64_t retry_after_us);
void entry_request_fail(struct entry_request *request, ks_error_kind_t kind,
			int64_t retry_after_us, const char *message);
void entry_request_complete(struct entry_request *request, const char *result);
void entry_request_caller_disconnected(struct entry_request *request);
void entry_request_free(struct entry_request *request);
void entry_request_check_connections(void *ctx);

/* entry_attempt.c */
extern const ks_attempt_events_t entry_attempt_events;

void entry_attempt_detach(struct entry_request *request);
void entry_attempt_link_lost(struct entry_attempt *attempt);
void entry_attempt_consume(struct entry_request *request, size_t len);
void entry_attempt_record_token(struct entry_request *request);
void entry_attempt_record_cached(struct entry_request *request,
				 uint32_t tokens);

/* entry_split.c */
void entry_split_update_role(struct entry_upstream *upstream);
void entry_split_exclude_prefill(const struct entry_group *group,
				 ks_candidate_t *candidates);
bool entry_split_begin(struct entry_request *request);
void entry_split_prefill_done(struct entry_request *request, bool ok);
void entry_split_fall_back(struct entry_request *request);
bool entry_split_import_failed(const struct entry_request *request);
void entry_split_add_headers(const struct entry_request *request,
			     GArray *headers);
void entry_split_deinit(struct entry_split *split);

/* entry_send.c */
void entry_attempt_send(struct entry_request *request,
			struct entry_upstream *upstream);
void entry_attempt_dispatch(struct entry_request *request);

/* entry_stream.c */
void entry_stream_init(struct entry_stream *stream);
void entry_stream_deinit(struct entry_stream *stream);
bool entry_stream_receive(struct entry_request *request, ks_str_t data);
void entry_stream_reset_attempt(struct entry_request *request);
json_t *entry_json_load(ks_str_t text);
bool entry_stream_read_usage(struct entry_request *request, ks_str_t json);
void entry_stream_finish(struct entry_request *request);
void entry_stream_abort(struct entry_request *request, ks_error_kind_t kind,
			const char *message);

/* entry_response.c */
void entry_response_send_error(h2o_req_t *req, ks_error_kind_t kind,
			       const char *message, const ks_id_t *id,
			       int64_t retry_after_us);
char *entry_response_error_body(ks_error_kind_t kind, const char *message,
				const ks_id_t *id);
void entry_response_send_buffered(struct entry_request *request);
void entry_response_send_replay(struct entry_request *request, int status,
				ks_str_t content_type, ks_str_t body);
void entry_response_add_id(h2o_req_t *req, const ks_id_t *id);
void entry_response_store_headers(struct entry_request *request,
				  const ks_header_t *headers, size_t n_headers);
GArray *entry_forwarded_request_headers(struct entry_request *request);

#endif
