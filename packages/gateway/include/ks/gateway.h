/*
 * gateway: an entry that forwards requests unchanged and straight to upstreams,
 * by routes, and the decisions that it takes.
 */
#ifndef KS_GATEWAY_H
#define KS_GATEWAY_H

#include "ks/connection.h"
#include "ks/core.h"
#include "ks/store.h"
#include "ks/request.h"

G_BEGIN_DECLS

/* dialect.c */

/**
 * struct ks_dialect - the header fields and paths of a deployment
 *
 * Names are in lower case. The gateway attaches meaning to these only; every
 * other field of a request is forwarded as it is.
 *
 * @request_id: names the request; echoed in its answer
 * @time_left_ms: how long the caller will wait, in milliseconds
 * @expected_upstream: an upstream with another id refuses the request
 * @not_run: present in an answer that says that the request did not run
 * @retry_after: seconds after which to ask again
 * @last_event_id: the event after which a stream goes on
 * @prompt_parts: chain of the prompt's parts, ID:TOKENS separated by commas
 * @priority: rank of a request at an engine
 * @stage, @stage_prefill: field and value that ask for the prompt to be read
 * @kv_source: address and handle of the KV cache to take over
 * @kv_fetch: address of an upstream that keeps parts of the prompt
 * @handle_path: path prefix of a handle, for DELETE
 * @handle_member: member of the prefill answer that holds the handle
 * @ready_path: asked by the load balancer
 * @system_fields: set by the system; dropped when a caller sends them
 */
typedef struct ks_dialect {
	ks_str_t request_id;
	ks_str_t time_left_ms;
	ks_str_t expected_upstream;
	ks_str_t not_run;
	ks_str_t retry_after;
	ks_str_t last_event_id;
	ks_str_t prompt_parts;
	ks_str_t priority;
	ks_str_t stage;
	ks_str_t stage_prefill;
	ks_str_t kv_source;
	ks_str_t kv_fetch;
	ks_str_t handle_path;
	const char *handle_member;
	ks_str_t ready_path;
	const ks_str_t *system_fields;
	size_t n_system_fields;
} ks_dialect_t;

/* traffic.c */

/**
 * enum ks_call_kind - what may be repeated
 * @KS_CALL_IDEMPOTENT: may run more than once
 * @KS_CALL_ONCE: may run at most once
 * @KS_CALL_STREAM: a stream; may run at most once unless it can be resumed
 */
typedef enum ks_call_kind {
	KS_CALL_IDEMPOTENT,
	KS_CALL_ONCE,
	KS_CALL_STREAM,
} ks_call_kind_t;

/**
 * struct ks_split - share of a route's requests that a service gets
 */
typedef struct ks_split {
	char *service;
	unsigned weight;
} ks_split_t;

/**
 * struct ks_route - a rule that sends requests to services
 * @prefix: begins and ends with a slash
 * @timeout_us: longest time to the final answer
 * @objective_us: an answer, or the first event of a stream, that takes longer
 *	is late; 0 if not told
 * @max_pause_us: a stream with a longer pause between events is late; 0 if not
 *	told
 * @max_attempts: upstreams that one request may be sent to
 * @priority: 0 is the most urgent
 */
typedef struct ks_route {
	char *name;
	char *host;
	char *prefix;
	ks_call_kind_t kind;
	bool resumable;
	int64_t timeout_us;
	int64_t objective_us;
	int64_t max_pause_us;
	unsigned max_attempts;
	unsigned priority;
	GArray *splits;
} ks_route_t;

/**
 * struct ks_service - a group of upstreams that serve the same
 * @max_connections: that one upstream accepts from all callers together; not
 *	enforced yet
 * @is_engine: language model engines, as opposed to a plain service
 * @transfers_kv: prefill and decode may run on different upstreams
 * @fetches_kv: an upstream can fetch the parts of a prompt that another keeps
 * @memory_tokens: of one upstream, for running requests and kept parts
 */
typedef struct ks_service {
	char *name;
	unsigned max_connections;
	bool is_engine;
	bool transfers_kv;
	bool fetches_kv;
	int64_t memory_tokens;
} ks_service_t;

/**
 * struct ks_limits - what callers may send, and how long they may take
 */
typedef struct ks_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
} ks_limits_t;

/**
 * struct ks_traffic - one version of the configuration; not changed once used
 */
typedef struct ks_traffic {
	unsigned refs;
	int64_t version;
	GPtrArray *routes;
	GHashTable *by_host;
	GHashTable *services;
	ks_limits_t limits;
} ks_traffic_t;

ks_traffic_t *ks_traffic_new(int64_t version);
ks_traffic_t *ks_traffic_ref(ks_traffic_t *traffic);
void ks_traffic_unref(ks_traffic_t *traffic);
ks_route_t *ks_traffic_add_route(ks_traffic_t *traffic, ks_str_t name,
				 ks_str_t host, ks_str_t prefix);
void ks_route_add_split(ks_route_t *route, ks_str_t service, unsigned weight);
ks_service_t *ks_traffic_add_service(ks_traffic_t *traffic, ks_str_t name);
const ks_route_t *ks_traffic_match(const ks_traffic_t *traffic, ks_str_t host,
				   ks_str_t path);
const ks_service_t *ks_traffic_service(const ks_traffic_t *traffic,
				       const char *name);
const char *ks_route_pick(const ks_route_t *route, uint32_t draw);

/* prompt.c */

#define KS_PROMPT_MAX_PARTS 16

/**
 * struct ks_prompt - the parts of a prompt, in order
 * @ids: hash of each part with all parts before it
 * @total_tokens: of all parts, including those beyond @n_parts
 */
typedef struct ks_prompt {
	size_t n_parts;
	uint64_t ids[KS_PROMPT_MAX_PARTS];
	int64_t tokens[KS_PROMPT_MAX_PARTS];
	int64_t total_tokens;
} ks_prompt_t;

bool ks_prompt_parse(ks_prompt_t *prompt, ks_str_t text);
uint64_t ks_prompt_shared_id(const ks_prompt_t *prompt);

/* fleet.c */

typedef enum ks_stage {
	KS_STAGE_ANY,
	KS_STAGE_PREFILL,
	KS_STAGE_DECODE,
} ks_stage_t;

/**
 * struct ks_member_spec - what is announced about an upstream
 * @process_start_ms: start of its process in Unix milliseconds, 0 if not told.
 *Another value means that it has lost everything that it held.
 * @accepting: false once it is leaving
 */
typedef struct ks_member_spec {
	ks_str_t id;
	ks_str_t service;
	ks_address_t address;
	ks_str_t domain;
	ks_stage_t stage;
	int64_t process_start_ms;
	bool accepting;
} ks_member_spec_t;

/**
 * struct ks_member - an upstream that requests are sent straight to
 * @tag: hash of @id, by which entries name it to each other
 * @listed: still announced; a member that is not is kept while it is in use
 * @remove_at_us: when a pending removal takes effect, 0 if there is none
 * @running: requests of this entry that are under way
 * @prefill_tokens: prompt tokens of this entry that have yet to be read
 * @peer_running, @peer_prefill_tokens: the same of the other entries, as
 *	they last told
 * @failure_rate: share of its requests that failed lately, as of
 *@failure_rate_us
 * @pending_stage: the stage that it has been ordered to take on, KS_STAGE_ANY
 *if it is not changing; it refuses requests meanwhile
 * @changed_us: when it was ordered
 * @next_order_us: no earlier than this is it ordered again
 * @stored_tokens: prompt tokens of this entry that were stored in its memory
 *	since it is known
 * @cached: struct part_use by the id of the prompt part
 */
typedef struct ks_member {
	unsigned refs;
	uint32_t tag;
	char *id;
	char *service;
	char *domain;
	ks_address_t address;
	ks_stage_t stage;
	int64_t process_start_ms;
	bool accepting;
	bool listed;
	int64_t remove_at_us;
	unsigned running;
	int64_t prefill_tokens;
	unsigned peer_running;
	int64_t peer_prefill_tokens;
	ks_stage_t pending_stage;
	int64_t changed_us;
	int64_t next_order_us;
	ks_ejection_t health;
	double failure_rate;
	int64_t failure_rate_us;
	int64_t stored_tokens;
	GHashTable *cached;
} ks_member_t;

/**
 * struct ks_fleet - the upstreams that are known
 */
typedef struct ks_fleet {
	GHashTable *by_id;
	GHashTable *by_tag;
} ks_fleet_t;

void ks_fleet_init(ks_fleet_t *fleet);
void ks_fleet_deinit(ks_fleet_t *fleet);
ks_member_t *ks_fleet_put(ks_fleet_t *fleet, const ks_member_spec_t *spec);
void ks_fleet_remove(ks_fleet_t *fleet, ks_str_t id);
void ks_fleet_remove_at(ks_fleet_t *fleet, ks_str_t id, int64_t at_us);
size_t ks_fleet_expire(ks_fleet_t *fleet, int64_t now_us);
ks_member_t *ks_fleet_find(const ks_fleet_t *fleet, ks_str_t id);
ks_member_t *ks_fleet_find_tag(const ks_fleet_t *fleet, uint32_t tag);
GPtrArray *ks_fleet_members(const ks_fleet_t *fleet, const char *service);
ks_member_t *ks_member_ref(ks_member_t *member);
void ks_member_unref(ks_member_t *member);
void ks_member_record_outcome(ks_member_t *member, bool failed, int64_t now_us);
double ks_member_failure_rate(const ks_member_t *member, int64_t now_us);
void ks_member_record_cached(ks_member_t *member, const ks_prompt_t *prompt,
			     int64_t cache_tokens, int64_t now_us);
void ks_member_record_part(ks_member_t *member, uint64_t part, int64_t now_us);
int64_t ks_member_cached_tokens(const ks_member_t *member,
				const ks_prompt_t *prompt, int64_t cache_tokens,
				int64_t now_us);

/* budget.c */

#define KS_BUDGET_BUCKETS 10

/**
 * struct ks_budget - how many sends beyond the first a service may get
 * @ratio: of the requests of a window
 * @slack: further sends of a window, this entry's share
 */
typedef struct ks_budget {
	double ratio;
	double slack;
	int64_t window_us;
	int64_t epoch;
	unsigned requests[KS_BUDGET_BUCKETS + 1];
	unsigned extra[KS_BUDGET_BUCKETS + 1];
} ks_budget_t;

void ks_budget_init(ks_budget_t *budget, double ratio, double slack,
		    int64_t window_us);
void ks_budget_request(ks_budget_t *budget, int64_t now_us);
bool ks_budget_take(ks_budget_t *budget, int64_t now_us);

/* placement.c */

/**
 * struct ks_placement - where a request is sent
 * @prefill: reads the prompt first; NULL if @run reads it itself
 * @run: NULL if no upstream can take the request
 * @source: keeps parts of the prompt that the reading one should fetch; NULL if
 *	there is none
 * @prefill_tokens, @run_tokens: prompt tokens expected to be read there
 */
typedef struct ks_placement {
	ks_member_t *prefill;
	ks_member_t *run;
	ks_member_t *source;
	int64_t prefill_tokens;
	int64_t run_tokens;
} ks_placement_t;

/**
 * struct ks_placement_query - a request to be placed
 * @prompt: NULL for a plain service
 * @avoid: upstreams that have failed this request
 * @may_split: prefill may run on an upstream of its own
 * @cache_tokens: of the prompts of this entry that an engine keeps at a time
 * @draw: random number that breaks ties
 */
typedef struct ks_placement_query {
	const ks_service_t *service;
	const ks_prompt_t *prompt;
	const char *domain;
	const GPtrArray *avoid;
	bool may_split;
	int64_t cache_tokens;
	int64_t now_us;
	uint32_t draw;
} ks_placement_query_t;

ks_placement_t ks_placement_choose(const GPtrArray *members,
				   const ks_placement_query_t *query);
unsigned ks_placement_rank(unsigned priority, int64_t unread_tokens);

/* events.c */

/**
 * struct ks_events - splits a stream into whole events
 * @partial: bytes of the event that is not complete
 * @last_id: of the last whole event
 */
typedef struct ks_events {
	GString *partial;
	GString *last_id;
} ks_events_t;

void ks_events_init(ks_events_t *events);
void ks_events_deinit(ks_events_t *events);
void ks_events_reset(ks_events_t *events);
void ks_events_feed(ks_events_t *events, ks_str_t data, GString *whole);

/* peers.c */

/**
 * struct ks_peers - the other entries and the work that they have sent
 * @name: of this entry
 * @table: struct peer by name
 * @addresses: of the publishers that are connected to, by name
 * @bytes_per_s: that this entry may send
 * @announced: time at which a part was last told to be kept, by the hash of
 * both
 * @queued_parts, @kept_by: parts to tell, and the tags of the upstreams
 * @next_us: when the next message may be sent
 */
typedef struct ks_peers {
	ks_loop_t *loop;
	ks_fleet_t *fleet;
	void *context;
	ks_socket_t pub;
	ks_socket_t sub;
	uint16_t port;
	char *name;
	ks_id_t incarnation;
	uint64_t number;
	int64_t version;
	int64_t bytes_per_s;
	GHashTable *table;
	GHashTable *announced;
	GArray *queued_parts;
	GArray *kept_by;
	GHashTable *addresses;
	ks_timer_t timer;
	int64_t next_us;
} ks_peers_t;

bool ks_peers_init(ks_peers_t *peers, ks_loop_t *loop, ks_fleet_t *fleet,
		   const char *name, const ks_address_t *address,
		   GError **error);
void ks_peers_deinit(ks_peers_t *peers);
void ks_peers_add(ks_peers_t *peers, const char *name,
		  const ks_address_t *address);
void ks_peers_remove(ks_peers_t *peers, const char *name);
void ks_peers_schedule_update(ks_peers_t *peers);
void ks_peers_queue_cached(ks_peers_t *peers, const ks_member_t *member,
			   const ks_prompt_t *prompt);
void ks_peers_receive(ks_peers_t *peers, ks_str_t message);
size_t ks_peers_n_active(const ks_peers_t *peers);
size_t ks_peers_n_announced(const ks_peers_t *peers);

/* stages.c */

/**
 * struct ks_stage_balance - how the stages of a service are divided
 * @prefill_share: of the engines that should read prompts
 * @last: stage of the last change, KS_STAGE_ANY before the first
 * @changed_us: when it was ordered
 */
typedef struct ks_stage_balance {
	double prefill_share;
	ks_stage_t last;
	int64_t changed_us;
} ks_stage_balance_t;

ks_member_t *ks_stage_balance_next(const ks_stage_balance_t *stages,
				   const GPtrArray *members, int64_t now_us,
				   ks_stage_t *stage);
void ks_stage_balance_record(ks_stage_balance_t *stages, ks_stage_t stage,
			     int64_t now_us);

/* stage_run.c */

/**
 * enum ks_stage_outcome - how an order ended
 * @KS_STAGE_ORDERED: it is carried out, or the stage is the one ordered
 * @KS_STAGE_NOT_ORDERED: it was refused, or not sent
 * @KS_STAGE_UNKNOWN: the answer was lost; it may be carried out later
 */
typedef enum ks_stage_outcome {
	KS_STAGE_ORDERED,
	KS_STAGE_NOT_ORDERED,
	KS_STAGE_UNKNOWN,
} ks_stage_outcome_t;

typedef void (*ks_stage_func_t)(void *ctx, ks_member_t *member,
				ks_stage_outcome_t outcome);
/* Whether an order may be sent now, and the fencing number that it carries. */
typedef bool (*ks_stage_permit_func_t)(void *ctx, uint64_t *fence);

/**
 * struct ks_stage_driver - the way to an engine
 * @order: observe the engine, ask for the permit, and order the stage
 */
typedef struct ks_stage_driver {
	void (*order)(void *impl, ks_member_t *member, ks_stage_t stage,
		      ks_stage_permit_func_t permit, ks_stage_func_t func,
		      void *ctx);
	void *impl;
} ks_stage_driver_t;

/**
 * struct ks_stage_controller - orders changes of stage while it holds the lease
 * @services: struct ks_stage_balance by the name of each that has engines with
 * stages
 * @settle_us: for which the lease has to be held before the first order
 * @held_since_us: on the boot-time clock
 * @last_due_us: when a change was last found to be due
 * @orders_in_flight: orders without an outcome
 */
typedef struct ks_stage_controller {
	ks_loop_t *loop;
	ks_fleet_t *fleet;
	const ks_stage_driver_t *driver;
	const ks_clock_t *boottime;
	ks_lease_keeper_t *keeper;
	GHashTable *services;
	double prefill_share;
	int64_t settle_us;
	int64_t held_since_us;
	int64_t last_due_us;
	unsigned orders_in_flight;
	ks_timer_t timer;
	bool stopping;
} ks_stage_controller_t;

void ks_stage_controller_init(ks_stage_controller_t *run, ks_loop_t *loop,
			      ks_fleet_t *fleet, ks_store_t *store,
			      const ks_stage_driver_t *driver,
			      const ks_clock_t *boottime, ks_rng_t *rng,
			      int64_t turns_us, double prefill_share);
void ks_stage_controller_deinit(ks_stage_controller_t *run);
void ks_stage_controller_stop(ks_stage_controller_t *run);
void ks_stage_controller_set_services(ks_stage_controller_t *run,
				      const ks_traffic_t *traffic);

/* gateway.c */

typedef struct ks_gateway ks_gateway_t;

/**
 * struct ks_gateway_settings - settings of a gateway
 * @listen: for callers
 * @ready: for the load balancer
 * @metrics: for metrics; port 0 and empty for none
 * @peer: for the other entries; empty for none
 * @name: of this entry
 * @domain: failure domain of this host
 * @drain_delay_us: from a stop until new connections are refused
 * @grace_us: from a stop until the process ends at the latest
 * @retry_ratio, @retry_slack, @retry_window_us: see struct ks_budget; the slack
 *	is that of all entries together
 */
typedef struct ks_gateway_settings {
	ks_address_t listen;
	ks_address_t ready;
	ks_address_t metrics;
	ks_address_t peer;
	const char *name;
	const char *domain;
	int64_t drain_delay_us;
	int64_t grace_us;
	double retry_ratio;
	double retry_slack;
	int64_t retry_window_us;
} ks_gateway_settings_t;

ks_gateway_t *ks_gateway_new(ks_loop_t *loop, const ks_dialect_t *dialect,
			     const ks_gateway_settings_t *settings,
			     GError **error);
void ks_gateway_free(ks_gateway_t *gateway);
void ks_gateway_stop(ks_gateway_t *gateway);
void ks_gateway_apply(ks_gateway_t *gateway, ks_traffic_t *traffic);
void ks_gateway_confirm(ks_gateway_t *gateway);
ks_fleet_t *ks_gateway_fleet(ks_gateway_t *gateway);
ks_peers_t *ks_gateway_peers(ks_gateway_t *gateway);
ks_metrics_t *ks_gateway_metrics(ks_gateway_t *gateway);
int64_t ks_gateway_version(const ks_gateway_t *gateway);
uint16_t ks_gateway_port(const ks_gateway_t *gateway);
uint16_t ks_gateway_ready_port(const ks_gateway_t *gateway);

G_END_DECLS

#endif
