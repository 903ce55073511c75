/* What the source files of the entry process share. */
#ifndef KS_ENTRY_INTERNAL_H
#define KS_ENTRY_INTERNAL_H

#include "ks/entry.h"

#include <h2o.h>
#include <jansson.h>

/* Time of an engine for each token, assumed until it has been measured. */
#define ENTRY_PREFILL_US 50.0
#define ENTRY_DECODE_US 20000.0

struct entry_request;
struct entry_group;
struct entry_plan;

/**
 * struct entry_tenant - a tenant and what it has in flight
 * @label: its name as the value of a metrics label
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
 * struct entry_class - histograms of one tenant and class
 */
struct entry_class {
	struct entry_tenant *tenant;
	unsigned in_flight;
	ks_histogram_t *first_token;
	ks_histogram_t *between_tokens;
	ks_histogram_t *answer;
};

/**
 * struct entry_upstream - an upstream of the subset and its link
 * @attempts: struct entry_attempt that have not ended
 * @prompt_tokens: handed out by this entry and not yet prefilled
 * @output_tokens: still expected of what this entry handed out
 * @role: of the engine to which @prefill_us and @decode_us apply
 * @withdrawn: no longer in the snapshot; closed once nothing is in flight
 * @lost: its link has been down for longer than a new session takes
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
	bool resumes;
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
	ks_prefix_index_t *belief;
	bool host_leaving;
	bool withdrawn;
	bool lost;
	ks_timer_t lost_timer;
};

/**
 * struct entry_group - the upstreams of one model or service
 * @members: struct entry_upstream * that are not withdrawn
 * @output_share: tokens of an answer over those asked for, on average
 * @mean_service_us: time that an answer has taken on average
 */
struct entry_group {
	ks_entry_t *entry;
	char *name;
	bool is_model;
	GPtrArray *members;
	ks_admission_t *admission;
	unsigned queued;
	unsigned turn;
	ks_timer_t pump;
	bool pumping;
	double output_share;
	double mean_service_us;
};

enum entry_phase {
	ENTRY_NEW,
	ENTRY_QUEUED,
	ENTRY_CLAIMING,
	ENTRY_SENT,
	ENTRY_DONE,
};

/**
 * struct entry_attempt - one attempt, from sending to its last event
 * @request: NULL once the request wants no more of it
 * @tokens: events with a token that arrived
 * @ahead_tokens: prompt tokens to be prefilled before its own
 * @had_place: the batch had room when it was sent
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
	bool had_place;
};

/**
 * struct entry_caller - the caller's side, in the pool of the h2o request
 * @request: NULL once the request is freed
 */
struct entry_caller {
	h2o_generator_t generator;
	struct entry_request *request;
};

/**
 * struct entry_stream - server-sent events on their way to the caller
 * @partial: start of an event that is not complete
 * @out: complete events that wait for the caller's connection
 * @sending: events handed to h2o
 * @out_credit: bytes of @out to be consumed of the current attempt
 * @sending_credit: likewise of @sending
 * @delivered: token events handed on
 * @finish_seen: a choice was delivered to its end; going on would repeat it
 * @done_seen: the engine sent [DONE], which is held until the attempt ends
 * @busy: h2o has not yet asked for more
 * @final: nothing follows @out
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
	bool busy;
	bool final;
	ks_error_kind_t result;
};

enum entry_split_step {
	ENTRY_SPLIT_UNDECIDED,
	ENTRY_SPLIT_PREFILL,
	ENTRY_SPLIT_DECODE,
	ENTRY_SPLIT_OVER,
};

/**
 * struct entry_split - a completion between two engines
 * @step: of the attempt in flight
 * @decoder: id of the upstream that is to decode
 * @source: IP:PORT of the engine that has prefilled, for the other engine
 * @handle: of its KV blocks
 * @tokens: in these blocks
 */
struct entry_split {
	enum entry_split_step step;
	char *decoder;
	char *source;
	char *handle;
	uint32_t tokens;
};

/**
 * struct entry_request - one request of a caller
 * @req: NULL once the caller's connection or its stream is gone
 * @answered: the caller has its answer, though an attempt may still run
 * @may_have_run: an attempt has started, so that "not run" is never true again
 * @failed_kind: how the attempt that started failed
 * @tried: struct entry_upstream ids that were given an attempt
 * @repeatable: id of the upstream whose attempt was lost with its link, so that
 *	it may be given another one when there is no other upstream; or NULL
 * @failed_domains: failure domains of attempts that failed
 * @output_tokens: tokens of the answer, as its usage says
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
	bool idempotent;
	bool is_completion;
	bool strip_authorization;
	bool caller_closed;
	bool answered;
	bool may_have_run;
	ks_error_kind_t failed_kind;
	ks_completion_t completion;
	ks_idempotency_key_t key;
	ks_ledger_entry_t *claim;
	ks_ticket_t ticket;
	bool ticket_held;
	int64_t start_us;
	int64_t deadline_us;
	ks_timer_t deadline;
	uint32_t attempt_number;
	unsigned n_attempts;
	struct entry_attempt *attempt;
	GPtrArray *tried;
	char *repeatable;
	GPtrArray *failed_domains;
	int status;
	char *content_type;
	GPtrArray *headers;
	GString *answer;
	bool streaming;
	struct entry_stream stream;
	struct entry_split split;
	uint32_t output_tokens;
};

/**
 * struct ks_entry - the entry process
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
	ks_timer_t sweep_timer;
	ks_timer_t stop_timer;
	bool stopping;
	bool listener_closed;
	int64_t stop_us;
};

/* entry_http.c */
void entry_http_handle(void *ctx, h2o_req_t *req);

/* entry_auth.c */
bool entry_auth_init(ks_entry_t *entry, GError **error);
void entry_auth_deinit(ks_entry_t *entry);
struct entry_tenant *entry_auth_tenant(ks_entry_t *entry, h2o_req_t *req);
struct entry_tenant *entry_auth_named(ks_entry_t *entry, const char *name);
bool entry_auth_is_operator(ks_entry_t *entry, h2o_req_t *req);
struct entry_class *entry_tenant_class(ks_entry_t *entry,
				       struct entry_tenant *tenant,
				       unsigned priority);

/* entry_status.c */
void entry_status_answer(ks_entry_t *entry, h2o_req_t *req);
void entry_metrics_answer(ks_entry_t *entry, h2o_req_t *req);
void entry_models_answer(ks_entry_t *entry, h2o_req_t *req);
void entry_count_result(ks_entry_t *entry, const char *tenant,
			unsigned priority, const char *result);

/* entry_fleet.c */
void entry_fleet_init(ks_entry_t *entry);
void entry_fleet_apply(ks_entry_t *entry, ks_snapshot_t *snapshot);
void entry_fleet_poll_hosts(void *ctx);
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
				 bool repeat, ks_candidate_t *candidates);
struct entry_upstream *entry_group_choose(struct entry_group *group,
					  struct entry_request *request);
void entry_group_fill_ticket(const struct entry_group *group,
			     const struct entry_request *request,
			     ks_ticket_t *ticket);
void entry_group_update_capacity(struct entry_group *group);
void entry_group_pump(struct entry_group *group);

/* entry_plan.c */
void entry_plan_init(ks_entry_t *entry);
void entry_plan_deinit(ks_entry_t *entry);
void entry_plan_apply(ks_entry_t *entry, const ks_snapshot_t *snapshot);
void entry_plan_note(const struct entry_request *request);
json_t *entry_plan_status(const ks_entry_t *entry);
void entry_plan_metrics(const ks_entry_t *entry);

/* entry_capacity.c */
uint64_t entry_capacity_queued_prompt(const struct entry_upstream *upstream,
				      int64_t now);
void entry_capacity_note_first(const struct entry_attempt *attempt,
			       int64_t now);
void entry_capacity_note_step(const struct entry_attempt *attempt, int64_t now);
double entry_capacity_wait(const struct entry_upstream *upstream,
			   const struct entry_request *request, int64_t now);
double entry_capacity_own_us(const struct entry_upstream *upstream,
			     const struct entry_request *request, int64_t now);
double entry_capacity_gate(void *ctx, const ks_ticket_t *ticket);
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
void entry_request_caller_gone(struct entry_request *request);
void entry_request_free(struct entry_request *request);
void entry_request_sweep(void *ctx);

/* entry_attempt.c */
extern const ks_attempt_events_t entry_attempt_events;

void entry_attempt_drop(struct entry_request *request);
void entry_attempt_lost(struct entry_attempt *attempt);
void entry_attempt_consume(struct entry_request *request, size_t len);
void entry_attempt_note_token(struct entry_request *request);
void entry_attempt_note_cached(struct entry_request *request, uint32_t tokens);

/* entry_split.c */
void entry_split_note_role(struct entry_upstream *upstream);
void entry_split_avoid_prefill(const struct entry_group *group,
			       ks_candidate_t *candidates);
bool entry_split_begin(struct entry_request *request);
void entry_split_prefilled(struct entry_request *request, bool ok);
void entry_split_go_on(struct entry_request *request);
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
void entry_stream_attempt_over(struct entry_request *request);
bool entry_stream_read_usage(struct entry_request *request, ks_str_t json);
void entry_stream_finish(struct entry_request *request);
void entry_stream_abort(struct entry_request *request, ks_error_kind_t kind,
			const char *message);

/* entry_answer.c */
void entry_answer_error(h2o_req_t *req, ks_error_kind_t kind,
			const char *message, const ks_id_t *id,
			int64_t retry_after_us);
char *entry_answer_error_body(ks_error_kind_t kind, const char *message,
			      const ks_id_t *id);
void entry_answer_whole(struct entry_request *request);
void entry_answer_replay(struct entry_request *request, int status,
			 ks_str_t content_type, ks_str_t body);
void entry_answer_add_id(h2o_req_t *req, const ks_id_t *id);
void entry_answer_keep_headers(struct entry_request *request,
			       const ks_header_t *headers, size_t n_headers);
GArray *entry_answer_forward_headers(struct entry_request *request);

#endif
