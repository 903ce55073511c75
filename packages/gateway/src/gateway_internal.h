/* Declarations shared by the sources of the gateway. */
#ifndef KS_GATEWAY_INTERNAL_H
#define KS_GATEWAY_INTERNAL_H

#include "ks/gateway.h"
#include "ks/usage.h"

/**
 * struct gateway_metrics - counters and histograms of all requests
 * @requests: requests read from callers
 * @answered: complete responses of upstreams forwarded to callers
 * @refused: requests that got a 503 or 429 of the gateway itself
 * @failed: requests that got another error response of the gateway itself
 * @cut: responses broken off after their start
 * @gone: callers that disconnected before the end of the response
 * @retries: requests sent to an upstream again
 * @splits: prefill requests sent to a separate upstream
 * @skipped: responses to other requests that upstreams sent on the connection
 *	of a request
 * @unnamed: responses without the id of a request
 * @truncated: streams of upstreams that ended inside an event
 * @resume_requests: requests of callers that resume a stream
 * @resume_refused: of these, the ones that were refused as it is not known
 *which version of the software began the stream, or none of it is left
 * @origins_late: streams whose origin was not known when they began
 * @origins_lost: of these, the ones whose process was gone before it was known
 * @resumed_same, @resumed_other: streams that went on at the version of the
 *	software that began the response, and at another one
 * @held: parts of prompts that were held, by this entry's own decision or not
 * @held_refused: requests refused because a part of their prompt is held
 * @lost_at_start: requests that were lost before the first byte of the response
 *	body
 * @leaving: upstreams that said in a response that they leave
 * @backed_off: refusals of upstreams that requested a back-off
 * @key_refused: requests refused for their API key, by verdict; NULL for
 *	verdicts that refuse none
 * @organisations: organisations in the configuration in force
 * @limits_stated: limits that upstreams stated, changed ones included
 * @limited_runs, @limited_prefills, @limited_releases: requests, prefill
 *	requests and releases of KV cache handles sent to upstreams that state
 *	a limit
 * @late: forwarded responses that missed the route's objective for the first
 *	data, or its limit on pauses
 * @first_byte: time from the arrival of a request to the first bytes of its
 *	response
 * @prefill: time spent on prefill requests for one request
 * @run_wait: time from sending a request to an upstream to its first data
 * @pause: longest time between two arrivals of data of a response
 * @whole: time from the arrival of a request to the end of its response
 *
 * Times are in microseconds.
 */
struct gateway_metrics {
	ks_counter_t *requests;
	ks_counter_t *answered;
	ks_counter_t *refused;
	ks_counter_t *failed;
	ks_counter_t *cut;
	ks_counter_t *gone;
	ks_counter_t *retries;
	ks_counter_t *splits;
	ks_counter_t *malformed;
	ks_counter_t *skipped;
	ks_counter_t *unnamed;
	ks_counter_t *truncated;
	ks_counter_t *resume_requests;
	ks_counter_t *resume_refused;
	ks_counter_t *origins_late;
	ks_counter_t *origins_lost;
	ks_counter_t *resumed_same;
	ks_counter_t *resumed_other;
	ks_counter_t *held;
	ks_counter_t *held_refused;
	ks_counter_t *lost_at_start;
	ks_counter_t *leaving;
	ks_counter_t *backed_off;
	ks_counter_t *key_refused[KS_N_KEY_VERDICTS];
	ks_counter_t *organisations;
	ks_counter_t *limits_stated;
	ks_counter_t *limited_runs;
	ks_counter_t *limited_prefills;
	ks_counter_t *limited_releases;
	ks_counter_t *late;
	ks_histogram_t *first_byte;
	ks_histogram_t *prefill;
	ks_histogram_t *run_wait;
	ks_histogram_t *pause;
	ks_histogram_t *whole;
};

/**
 * struct memory_report - metrics of the memory account
 * @logged: what the latest log lines have told
 */
struct memory_report {
	ks_timer_t timer;
	ks_http1_stats_t logged;
	ks_counter_t *used[KS_MEMORY_N_KINDS];
	ks_counter_t *budget;
	ks_counter_t *conns;
	ks_counter_t *paused;
	ks_counter_t *refused;
	ks_counter_t *exhausted;
	ks_counter_t *slow;
	ks_counter_t *descriptors;
	ks_counter_t *accept;
};

/**
 * struct ks_gateway - an entry
 * @domain: failure domain of this entry
 * @name: name of this entry
 * @server: listener for callers
 * @ready: listener for readiness checks of the load balancer
 * @metrics_server: listener for metrics
 * @traffic: routes and services in force, or NULL before the first
 * @confirmed_us: when the store last confirmed that @traffic is current
 * @budgets: ks_budget_t for retries by service name
 * @quarantine: parts of prompts whose requests are refused
 * @origins: where the streams of this entry and some of the others' began
 * @usage: requests counted for organisations; NULL for none
 * @sent_last_usage: the other entries have been sent all counts, at the end of
 *	a stop
 * @read_members: NULL if nothing reads the announcements of upstreams again
 * @members_read_us: when the latest read of them was begun that has ended, 0
 *	before
 * @longest_wait_us: longest time that a caller of a stream has said it waits
 * @n_mixtures: value of the fleet's counter at that read
 * @read_process: NULL if upstreams can't be asked for their process
 * @to_identify: upstreams to be asked when @identify_timer expires
 * @hold_keeper: NULL for none
 * @n_losses: losses recorded by this entry
 * @n_exchanges: exchanges begun
 * @exchanges: struct exchange of the requests in progress
 * @memory: account of what is held for callers and upstreams
 * @memory_report: metrics and log lines of it
 * @speed_gauges: struct service_speeds by the name of the service
 * @stop_began_us: when the graceful stop began
 */
struct ks_gateway {
	ks_loop_t *loop;
	const ks_dialect_t *dialect;
	ks_gateway_settings_t settings;
	char *domain;
	char *name;
	ks_http1_server_t server;
	ks_http1_server_t ready;
	ks_http1_server_t metrics_server;
	ks_http_client_t client;
	ks_traffic_t *traffic;
	int64_t confirmed_us;
	ks_fleet_t fleet;
	ks_peers_t peers;
	GHashTable *budgets;
	ks_quarantine_t quarantine;
	ks_stream_origins_t origins;
	ks_usage_t *usage;
	bool sent_last_usage;
	ks_read_members_func_t read_members;
	void *read_members_ctx;
	int64_t members_read_us;
	int64_t longest_wait_us;
	uint64_t n_mixtures;
	ks_read_process_func_t read_process;
	void *read_process_ctx;
	GPtrArray *to_identify;
	ks_timer_t identify_timer;
	const ks_hold_keeper_t *hold_keeper;
	void *hold_keeper_ctx;
	uint64_t n_losses;
	uint64_t n_exchanges;
	ks_list_t exchanges;
	ks_rng_t rng;
	ks_metrics_t *metrics;
	struct gateway_metrics counters;
	ks_memory_t memory;
	struct memory_report memory_report;
	GHashTable *speed_gauges;
	ks_timer_t stop_timer;
	int64_t stop_began_us;
	bool stopping;
};

ks_budget_t *gateway_budget(ks_gateway_t *gateway, const char *service);
int64_t gateway_cache_tokens(const ks_gateway_t *gateway,
			     const ks_service_t *service);
int64_t gateway_config_age_us(const ks_gateway_t *gateway);
bool gateway_config_is_current(const ks_gateway_t *gateway);
bool gateway_may_cut(const ks_gateway_t *gateway, int64_t until_us);
void gateway_serve(void *ctx, ks_http1_request_t *request);

/*
 * Decisions on a request, shared by the exchanges and by the explanation of
 * where a request would be sent.
 */

/* Reasons of refusals. */
#define GATEWAY_WHY_NO_SERVICE "the route has no known service"
#define GATEWAY_WHY_STOPPING "the process may end before the request"
#define GATEWAY_WHY_PART_HELD "upstreams crash on a part of the prompt"

int64_t gateway_time_limit_us(const ks_route_t *route, ks_str_t left_ms);
int64_t gateway_hard_deadline_us(int64_t deadline_us);
ks_str_t gateway_path_of(ks_str_t target);
int gateway_unrouted_status(const ks_gateway_t *gateway, const char **why);
const char *gateway_pick_service(const ks_traffic_t *traffic,
				 const ks_route_t *route, uint32_t draw);
bool gateway_read_prompt(ks_prompt_t *prompt, const ks_service_t *service,
			 ks_str_t parts);
ks_key_verdict_t gateway_check_key(const ks_gateway_t *gateway,
				   const ks_route_t *route,
				   const ks_organisations_t *organisations,
				   const ks_http1_request_t *request,
				   const ks_organisation_t **organisation,
				   int *status);
const char *gateway_key_refusal(ks_key_verdict_t verdict);
unsigned gateway_request_priority(const ks_route_t *route,
				  const ks_organisation_t *organisation);
ks_placement_query_t gateway_placement_query(const ks_gateway_t *gateway,
					     const ks_route_t *route,
					     const ks_service_t *service,
					     const ks_prompt_t *prompt);
ks_placement_t gateway_place(const ks_gateway_t *gateway, ks_fleet_t *fleet,
			     uint64_t origin, const ks_placement_query_t *query,
			     int64_t *notice_us);
const char *gateway_unplaced_reason(int64_t return_us);

/* explain_answer.c */

/**
 * struct gateway_question - a request that is explained instead of sent
 * @path: with or without a query
 * @parts: parts of its prompt, NULL if it states none
 * @deadline_ms: how long its caller waits, NULL if it does not say
 */
struct gateway_question {
	const char *host;
	const char *path;
	const char *parts;
	const char *deadline_ms;
};

struct json_t *gateway_explanation(const ks_gateway_t *gateway,
				   const ks_http1_request_t *request,
				   const struct gateway_question *question);

/* explain.c */

void gateway_explain(const ks_gateway_t *gateway, ks_http1_request_t *request);

/* exchange.c */

/**
 * enum exchange_step - what an exchange waits for
 * @EXCHANGE_IDLE: nothing; no upstream has been chosen yet
 * @EXCHANGE_ASK: the answers of other entries, at which upstreams the stream
 *	began that the caller resumes
 * @EXCHANGE_READ: a read of the announcements of upstreams, which may have
 *	changed since the last one, before a stream is resumed
 * @EXCHANGE_PREFILL: the response of the prefill engine, with a KV cache handle
 * @EXCHANGE_RUN: the response to the request
 * @EXCHANGE_DETACHED: the response to a request that must not be cancelled,
 *	after the caller has disconnected
 */
enum exchange_step {
	EXCHANGE_IDLE,
	EXCHANGE_ASK,
	EXCHANGE_READ,
	EXCHANGE_PREFILL,
	EXCHANGE_RUN,
	EXCHANGE_DETACHED,
};

/**
 * struct exchange - a request of a caller, until its final response
 * @caller: NULL once it has its response or has disconnected
 * @organisation: organisation of the caller, NULL for none; owned by @traffic
 * @priority: of the request; 0 is the most urgent
 * @held: what the account was charged for the request without its body
 * @held_output: what it was charged for the buffered response
 * @request_fields: forwarded header fields, with their text in @field_texts
 * @content: hash of what a repeat of the request has in common with it: method,
 *	host, target, body and prompt; for the service
 * @stream: hash of the id of the request whose response began the stream: of
 *	this one, or of the one that the caller names
 * @names_stream: the caller names it
 * @is_resume_request: the caller resumes a stream
 * @announced_us: when other entries were informed of the stream, 0 before
 * @asked, @n_asked: entries that were asked for it and have not answered
 * @n_answered: entries that have answered
 * @identifies_claim: it is found out whether the process that is said to have
 *	begun the stream is there
 * @awaits_claim: that alone is waited for
 * @read_after_us: a read counts that was begun then or later
 * @wait_timer: ends the wait for entries or for a read
 * @awaits_identity: the request waits for a read that tells whether the process
 *	at the end of its connection has the origin
 * @identity_waits: how often another process was there
 * @number: of the exchange, among those of this process
 * @stated_us: how long the caller says it waits, from its arrival; 0 if it does
 *	not say
 * @deadline_us: when the caller stops waiting or the route's timeout expires
 * @hard_deadline_us: when the exchange is ended in any case
 * @sends: requests sent to upstreams, except prefill requests
 * @prefills: prefill requests sent
 * @runs: sends that may have run
 * @avoid: upstreams that have failed or refused the request
 * @sent_to: ks_address_t of the upstreams that the request or its prefill was
 *	sent to
 * @member: upstream that runs the request, with a reference; NULL while
 *	another one prefills the prompt
 * @prefill_member: upstream that prefills the prompt, with a reference
 * @prefill_tokens: prompt tokens counted as pending at @prefill_member
 * @run_tokens: prompt tokens counted as pending at @member
 * @occupancy: share of @member counted for the response being generated
 * @kv_source: value of the header field of that name, empty without a handle
 * @fetch_from: address of an upstream that has parts of the prompt cached, or
 *	empty
 * @uncached_tokens: uncached tokens of the prompt, as estimated at placement
 * @pending_tokens: prompt tokens of other requests that were to be prefilled
 *	at the engine when the request was placed there
 * @handle: KV cache that the prefill engine holds for the request
 * @status, @fields, @body: response that is being received
 * @fields_text: text of @fields
 * @refused_not_run: the response states that the request was not executed
 * @backed_off: the upstream turned the request away and requested a back-off
 * @withheld: the request was not sent, as the upstream had requested a back-off
 *	or stated a limit, or a stop might cut it, by the time at which the
 *	connection was up
 * @is_counted: the latest send counts against a limit of the upstream
 * @is_unsent: the latest send has not left this process
 * @is_suspect: lost in a way in which requests that crash upstreams are lost
 * @is_try: may be sent once although a part of its prompt is held
 * @started: the head of the response has been sent to the caller
 * @began: upstream whose response that was, with a reference
 * @origin: the response comes only from upstreams of this origin; 0 for any
 *	before it has begun, and then while its origin is not known
 * @is_resumed: it had been before the latest request was sent to an upstream
 * @sent_us: when the latest request was sent to an upstream
 * @begun_us: when the first byte of the body of its response arrived, 0 before
 * @body_bytes: size of the part of the body that has arrived
 * @forwarded_bytes: size of the part of the body that the caller was sent
 * @prefill_us: time spent on prefill requests
 * @first_us: when the first data of the response arrived, 0 before
 * @latest_us: when the latest data arrived
 * @n_arrivals: how often data has arrived
 * @longest_pause_us: longest time between two arrivals of data
 * @events: events of a stream; whole ones are forwarded if @has_events
 * @has_events: the response is a stream that can be resumed
 * @is_event_response: the response that is being received consists of events
 * @began_with_events: so did the response whose head the caller has
 * @began_status: status of that response
 * @usage_window: window that the request is counted in
 * @is_usage_pending: it is counted there, but may turn out not to have run
 * @is_usage_counted: it is counted for good
 */
struct exchange {
	ks_list_t node;
	ks_gateway_t *gateway;
	ks_http1_request_t *caller;
	ks_traffic_t *traffic;
	const ks_route_t *route;
	const ks_service_t *service;
	const char *service_name;
	const ks_organisation_t *organisation;
	unsigned priority;
	char *id;
	GString *method;
	GString *target;
	GBytes *request_body;
	size_t held;
	size_t held_output;
	GArray *request_fields;
	GPtrArray *field_texts;
	GString *host;
	ks_prompt_t prompt;
	bool has_prompt;
	uint64_t content;
	uint64_t stream;
	bool names_stream;
	bool is_resume_request;
	int64_t announced_us;
	uint64_t asked[KS_STREAM_MAX_ASKED];
	unsigned n_asked;
	unsigned n_answered;
	bool identifies_claim;
	bool awaits_claim;
	int64_t read_after_us;
	ks_timer_t wait_timer;
	bool awaits_identity;
	unsigned identity_waits;
	uint64_t number;
	int64_t arrived_us;
	int64_t stated_us;
	int64_t deadline_us;
	int64_t hard_deadline_us;
	ks_timer_t timer;
	enum exchange_step step;
	unsigned sends;
	unsigned prefills;
	unsigned runs;
	GPtrArray *avoid;
	GArray *sent_to;
	ks_member_t *member;
	ks_member_t *prefill_member;
	int64_t prefill_tokens;
	int64_t pending_tokens;
	int64_t run_tokens;
	unsigned occupancy;
	GString *kv_source;
	char fetch_from[KS_ADDRESS_TEXT_SIZE];
	int64_t uncached_tokens;
	char *handle;
	ks_http_call_t call;
	int status;
	bool refused_not_run;
	bool backed_off;
	bool withheld;
	bool is_counted;
	bool is_unsent;
	bool is_suspect;
	bool is_try;
	GArray *fields;
	GString *fields_text;
	GString *body;
	bool is_stream_response;
	bool started;
	ks_member_t *began;
	uint64_t origin;
	bool is_resumed;
	bool first_event_seen;
	int64_t sent_us;
	int64_t begun_us;
	size_t body_bytes;
	size_t forwarded_bytes;
	int64_t prefill_us;
	int64_t first_us;
	int64_t latest_us;
	unsigned n_arrivals;
	int64_t longest_pause_us;
	ks_events_t events;
	bool has_events;
	bool is_event_response;
	int began_status;
	bool began_with_events;
	int64_t usage_window;
	bool is_usage_pending;
	bool is_usage_counted;
};

static inline int64_t exchange_now(const struct exchange *exchange)
{
	return ks_loop_now(exchange->gateway->loop);
}

void exchange_start(ks_gateway_t *gateway, ks_http1_request_t *request);
void exchange_abort(struct exchange *exchange);
void exchange_end_unanswered(struct exchange *exchange, const char *why);
void exchange_begin(struct exchange *exchange, const char *service);

/* memory_report.c */

void gateway_report_memory(ks_gateway_t *gateway);
void gateway_end_memory_report(ks_gateway_t *gateway);

/* exchange_key.c */

bool exchange_refuse_key(struct exchange *exchange,
			 const ks_http1_request_t *request);

/* exchange_usage.c */

void exchange_usage_sent(struct exchange *exchange);
void exchange_usage_settle(struct exchange *exchange, bool ran);
void exchange_usage_begun(struct exchange *exchange);

/* exchange_identity.c */

void exchange_init_identity(struct exchange *exchange);
void exchange_identify_origin(struct exchange *exchange);
bool exchange_permits_origin(struct exchange *exchange);
bool exchange_await_origin(struct exchange *exchange);
void exchange_await_read(struct exchange *exchange, int64_t after_us);
void exchange_identity_changed(struct exchange *exchange);
void exchange_note_beginning(struct exchange *exchange);

/* exchange_resume.c */

void exchange_note_stream(struct exchange *exchange);
void exchange_record_stream(struct exchange *exchange);
void exchange_resume(struct exchange *exchange);
void exchange_resume_after_read(struct exchange *exchange);
void exchange_refuse_unknown(struct exchange *exchange);
void exchange_resume_if_known(struct exchange *exchange);
void exchange_end_asking(struct exchange *exchange);
void gateway_on_stream_answer(void *ctx, uint64_t stream, uint64_t sender);

/* exchange_end.c */

/*
 * Values of Retry-After when the entry cannot place requests yet, and when
 * upstreams refuse or lose them, in seconds.
 */
#define RETRY_AFTER_NOT_READY_S 0.5
#define RETRY_AFTER_OVERLOADED_S 0.3

/* Retry-After while this entry stops: others serve, on a new connection. */
#define RETRY_AFTER_STOPPING_S 0.05

void exchange_log(const struct exchange *exchange, ks_log_level_t level,
		  const char *outcome, int status);
void exchange_log_times(const struct exchange *exchange, ks_log_level_t level,
			const char *outcome);
void exchange_log_loss(const struct exchange *exchange);
bool exchange_may_have_run(const struct exchange *exchange);
void exchange_respond(struct exchange *exchange, int status,
		      double retry_after_s, const char *why);
void exchange_give_up(struct exchange *exchange, double retry_after_s,
		      const char *why);
void exchange_release_member(struct exchange *exchange);
void exchange_release_prefill(struct exchange *exchange);
void exchange_free(struct exchange *exchange);

/* identity.c */

void gateway_identity_init(ks_gateway_t *gateway);
void gateway_identity_deinit(ks_gateway_t *gateway);
bool gateway_is_identified(const ks_gateway_t *gateway,
			   const ks_member_t *member, int64_t since_us);
bool gateway_is_silent(const ks_member_t *member);
void gateway_identify(ks_gateway_t *gateway, ks_member_t *member);

/* exchange_dispatch.c */

bool exchange_may_be_cut(const struct exchange *exchange);
bool exchange_refuse_stopping(struct exchange *exchange);
void exchange_dispatch(struct exchange *exchange);
void exchange_log_origin(struct exchange *exchange, uint64_t origin,
			 const char *why);
bool exchange_retry(struct exchange *exchange, bool has_arrived,
		    const char *why);
void exchange_record_cached(struct exchange *exchange, ks_member_t *member);
void exchange_record_unanswered(struct exchange *exchange, ks_member_t *member,
				ks_http_result_t result);
void exchange_exclude_member(struct exchange *exchange);

/* exchange_answer.c */

void exchange_start_run(struct exchange *exchange);
void exchange_place_again(struct exchange *exchange, const char *why);
void exchange_resume_lost(struct exchange *exchange);
void exchange_clear_response(struct exchange *exchange);
void exchange_note_upstream(struct exchange *exchange, ks_member_t *member,
			    const ks_header_t *headers, size_t n);
bool exchange_implies_not_run(const struct exchange *exchange);
bool exchange_states_not_run(const struct exchange *exchange,
			     const ks_header_t *headers, size_t n);
void exchange_resume_response(void *ctx);

/* exchange_speed.c */

void exchange_record_prefill_speed(const struct exchange *exchange);
void exchange_record_direct_speed(const struct exchange *exchange);
void exchange_record_run_speed(const struct exchange *exchange);

/* speed_report.c */

GHashTable *gateway_new_speed_gauges(void);
void gateway_compare_speeds(ks_gateway_t *gateway);

/* exchange_quarantine.c */

void gateway_quarantine_init(ks_gateway_t *gateway);
bool exchange_refuse_held(struct exchange *exchange);
bool exchange_is_suspect(const struct exchange *exchange);
void exchange_record_loss(struct exchange *exchange);
void exchange_record_answer(struct exchange *exchange);
void exchange_record_alive(struct exchange *exchange,
			   const ks_member_t *member);

/* exchange_send.c */

bool exchange_permits_send(struct exchange *exchange, ks_member_t *member);

void exchange_send(struct exchange *exchange, ks_member_t *member,
		   bool is_prefill, const ks_http_events_t *events);
void exchange_copy_request(struct exchange *exchange,
			   ks_http1_request_t *request);
void exchange_free_handle(struct exchange *exchange);

#endif
