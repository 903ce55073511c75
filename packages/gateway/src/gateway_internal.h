/* Internals of the gateway. */
#ifndef KS_GATEWAY_INTERNAL_H
#define KS_GATEWAY_INTERNAL_H

#include "ks/gateway.h"

/**
 * struct gateway_metrics - counters that the exchanges share
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
	ks_counter_t *late;
	ks_histogram_t *first_byte;
	ks_histogram_t *prefill;
	ks_histogram_t *run_wait;
	ks_histogram_t *pause;
	ks_histogram_t *whole;
};

struct ks_gateway {
	ks_loop_t *loop;
	const ks_dialect_t *dialect;
	ks_gateway_settings_t settings;
	char *domain;
	ks_http1_server_t server;
	ks_http1_server_t ready;
	ks_http1_server_t metrics_server;
	ks_http_client_t client;
	ks_traffic_t *traffic;
	int64_t confirmed_us;
	ks_fleet_t fleet;
	ks_peers_t peers;
	GHashTable *budgets;
	ks_list_t exchanges;
	ks_rng_t rng;
	ks_metrics_t *metrics;
	struct gateway_metrics counters;
	ks_timer_t stop_timer;
	int64_t stop_began_us;
	bool stopping;
};

ks_budget_t *gateway_budget(ks_gateway_t *gateway, const char *service);
int64_t gateway_cache_tokens(const ks_gateway_t *gateway,
			     const ks_service_t *service);
void gateway_serve(void *ctx, ks_http1_request_t *request);

/* exchange.c */

/**
 * enum exchange_step - what an exchange waits for
 * @EXCHANGE_PREFILL: the handle of a prompt that is being read
 * @EXCHANGE_RUN: the answer
 * @EXCHANGE_DETACHED: the answer of a request whose caller has been answered or
 *	has left, and that must not be cancelled
 */
enum exchange_step {
	EXCHANGE_IDLE,
	EXCHANGE_PREFILL,
	EXCHANGE_RUN,
	EXCHANGE_DETACHED,
};

/**
 * struct exchange - a request of a caller, until its final answer
 * @caller: NULL once it is gone
 * @deadline_us: when the caller stops waiting, or the route's timeout
 * @hard_deadline_us: when the exchange is ended whatever happens
 * @sends: to upstreams, without the first prefill
 * @runs: sends that may have run
 * @kv_source: value of the field of the same name, empty without a handle
 * @fetch_from: address of an upstream that keeps parts of the prompt, or empty
 * @unread_tokens: of the prompt, expected when it was placed
 * @status, @fields, @body: the answer that is being received
 * @started: the caller has been sent the head of the answer
 * @sent_us: when the request was last sent to be run
 * @prefill_us: spent on having the prompt read by another upstream
 * @first_us: when the first part of the answer came
 * @latest_us: when the latest part of it came
 * @longest_pause_us: between two parts of it
 * @events: set for a stream that can be resumed
 */
struct exchange {
	ks_list_t node;
	ks_gateway_t *gateway;
	ks_http1_request_t *caller;
	ks_traffic_t *traffic;
	const ks_route_t *route;
	const ks_service_t *service;
	const char *service_name;
	char *id;
	GString *method;
	GString *target;
	GString *request_body;
	GArray *request_fields;
	GPtrArray *field_texts;
	GString *host;
	ks_prompt_t prompt;
	bool has_prompt;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t hard_deadline_us;
	ks_timer_t timer;
	enum exchange_step step;
	bool may_split;
	unsigned sends;
	unsigned prefills;
	unsigned runs;
	GPtrArray *avoid;
	ks_member_t *member;
	ks_member_t *prefill_member;
	int64_t prefill_tokens;
	int64_t run_tokens;
	GString *kv_source;
	char fetch_from[KS_ADDRESS_TEXT_SIZE];
	int64_t unread_tokens;
	char *handle;
	ks_http_call_t call;
	int status;
	bool refused_not_run;
	GArray *fields;
	GString *fields_text;
	GString *body;
	bool is_stream_response;
	bool started;
	bool first_event_seen;
	int64_t sent_us;
	int64_t prefill_us;
	int64_t first_us;
	int64_t latest_us;
	int64_t longest_pause_us;
	ks_events_t events;
	bool has_events;
};

static inline int64_t exchange_now(const struct exchange *exchange)
{
	return ks_loop_now(exchange->gateway->loop);
}

void exchange_start(ks_gateway_t *gateway, ks_http1_request_t *request);
void exchange_abort(struct exchange *exchange);

/* exchange_end.c */

/* When to come back after a refusal, in seconds, by cause. */
#define RETRY_AFTER_NOT_READY_S 0.5
#define RETRY_AFTER_OVERLOADED_S 0.3

void exchange_log(const struct exchange *exchange, ks_log_level_t level,
		  const char *outcome, int status);
void exchange_log_times(const struct exchange *exchange, ks_log_level_t level,
			const char *outcome);
bool exchange_may_have_run(const struct exchange *exchange);
void exchange_respond(struct exchange *exchange, int status,
		      double retry_after_s, const char *why);
void exchange_give_up(struct exchange *exchange, double retry_after_s,
		      const char *why);
void exchange_release_member(struct exchange *exchange);
void exchange_release_prefill(struct exchange *exchange);
void exchange_free(struct exchange *exchange);

/* exchange_dispatch.c */

void exchange_dispatch(struct exchange *exchange);
bool exchange_retry(struct exchange *exchange, const char *why);
void exchange_record_cached(struct exchange *exchange, ks_member_t *member);
void exchange_exclude_member(struct exchange *exchange);

/* exchange_answer.c */

void exchange_start_run(struct exchange *exchange);
void exchange_clear_response(struct exchange *exchange);
void exchange_resume_response(void *ctx);

/* exchange_send.c */

void exchange_send(struct exchange *exchange, ks_member_t *member,
		   bool is_prefill, const ks_http_events_t *events);
void exchange_copy_request(struct exchange *exchange,
			   const ks_http1_request_t *request);
void exchange_free_handle(struct exchange *exchange);

#endif
