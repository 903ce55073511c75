/*
 * gateway: an entry, the process that callers connect to, which forwards
 * requests unchanged and directly to upstreams.
 *
 * Requests are matched to routes, each route is split between services, and the
 * placement code picks an upstream of the service. The functions that make
 * these choices do no I/O, so that tests can call them without a network.
 */
#ifndef KS_GATEWAY_H
#define KS_GATEWAY_H

#include "ks/capacity.h"
#include "ks/connection.h"
#include "ks/core.h"
#include "ks/duty.h"
#include "ks/organisations.h"
#include "ks/store.h"
#include "ks/request.h"
#include "ks/scale.h"

G_BEGIN_DECLS

/* Defined by the platform, in platform/dialect.c. */

/**
 * struct ks_dialect - names of the header fields and paths of a deployment
 *
 * Field names are in lower case. Only the fields below have a meaning to the
 * gateway; all others are forwarded unchanged.
 *
 * @request_id: identifies the request; copied into its response
 * @time_left_ms: how long the caller will wait, in milliseconds
 * @expected_upstream: id of the upstream that the request is meant for; any
 *	other upstream refuses it
 * @not_run: set in a response to state that the request was not executed
 * @retry_after: seconds after which the caller may retry; in a refusal of an
 *	upstream, for which it wants no requests from this entry
 * @leaving: set in a response by an upstream that leaves
 * @stated_limit: set in the responses of an upstream that takes no more than
 *	this many requests per second from all entries together
 * @last_event_id: id of the last event received, to resume a stream after it
 * @resumes: set by a caller that resumes a stream: id of its request whose
 *	response had the first event
 * @prompt_parts: the parts of the prompt in order, as ID:TOKENS separated by
 *	commas; see ks_prompt_parse()
 * @priority: rank of the request in the engine's queue
 * @stage, @stage_prefill: field and value that request prefill only
 * @kv_source: address and handle of the KV cache to import
 * @kv_fetch: address of an upstream that has parts of the prompt cached
 * @handle_path: path prefix of a KV cache handle, used with DELETE
 * @handle_member: JSON member of the prefill response that holds the handle
 * @authorization, @key_scheme: field with a caller's API key, and the
 *	authentication scheme that precedes the key
 * @organisation: field that names the organisation of a request to upstreams
 * @ready_path: readiness check of the load balancer
 * @system_fields: fields set by the system; removed from the requests of
 *	callers
 */
typedef struct ks_dialect {
	ks_str_t request_id;
	ks_str_t time_left_ms;
	ks_str_t expected_upstream;
	ks_str_t not_run;
	ks_str_t retry_after;
	ks_str_t leaving;
	ks_str_t stated_limit;
	ks_str_t last_event_id;
	ks_str_t resumes;
	ks_str_t prompt_parts;
	ks_str_t priority;
	ks_str_t stage;
	ks_str_t stage_prefill;
	ks_str_t kv_source;
	ks_str_t kv_fetch;
	ks_str_t handle_path;
	const char *handle_member;
	ks_str_t authorization;
	ks_str_t key_scheme;
	ks_str_t organisation;
	ks_str_t ready_path;
	const ks_str_t *system_fields;
	size_t n_system_fields;
} ks_dialect_t;

/* traffic.c */

/**
 * enum ks_call_kind - whether a request may be repeated
 * @KS_CALL_IDEMPOTENT: may run more than once
 * @KS_CALL_ONCE: may run at most once
 * @KS_CALL_STREAM: streamed response; may run at most once unless the route is
 *	resumable
 */
typedef enum ks_call_kind {
	KS_CALL_IDEMPOTENT,
	KS_CALL_ONCE,
	KS_CALL_STREAM,
} ks_call_kind_t;

/**
 * struct ks_split - a service and its weight in a route
 */
typedef struct ks_split {
	char *service;
	unsigned weight;
} ks_split_t;

/**
 * struct ks_route - matches requests by host and path prefix
 * @host: host name in lower case
 * @prefix: path prefix, which begins and ends with a slash
 * @resumable: a stream may continue on another upstream after its last event
 * @timeout_us: time limit for the complete response
 * @objective_us: latency objective for a response, or for the first event of a
 *	stream; 0 for none
 * @max_pause_us: objective for the longest pause between two events of a
 *	stream; 0 for none
 * @max_attempts: limit on how many times one request may run
 * @priority: priority of the requests; 0 is the most urgent
 * @is_public: requests need no API key, also if there are organisations
 * @splits: struct ks_split
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
	bool is_public;
	GArray *splits;
} ks_route_t;

/**
 * struct ks_service - a group of interchangeable upstreams
 * @max_connections: connections that one upstream accepts from all callers
 *	together; not enforced yet
 * @is_engine: the upstreams are language model engines
 * @transfers_kv: prefill and decode may run on different upstreams
 * @fetches_kv: an upstream can fetch cached prompt parts from another
 * @memory_tokens: memory of one upstream, in tokens, for running requests and
 *	cached prompt parts
 * @slots: requests that one engine runs at the same time, 0 if unknown
 * @is_scaled: the number of upstreams is to be ordered, within @scale
 */
typedef struct ks_service {
	char *name;
	unsigned max_connections;
	bool is_engine;
	bool transfers_kv;
	bool fetches_kv;
	int64_t memory_tokens;
	unsigned slots;
	bool is_scaled;
	ks_scale_limits_t scale;
} ks_service_t;

#define KS_OCCUPANCY_UNIT 10000

unsigned ks_service_occupancy(const ks_service_t *service, int64_t tokens);

/**
 * struct ks_limits - limits on the requests and connections of callers
 */
typedef struct ks_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
} ks_limits_t;

/**
 * struct ks_traffic - one version of the traffic configuration; immutable once
 * it is in use
 * @by_host: arrays of struct ks_route by host
 * @services: struct ks_service by name
 * @organisations: NULL if requests need no API key
 */
typedef struct ks_traffic {
	unsigned refs;
	int64_t version;
	GPtrArray *routes;
	GHashTable *by_host;
	GHashTable *services;
	ks_organisations_t *organisations;
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
 * @n_parts: number of parts in @ids and @tokens; further parts are not stored
 * @ids: hash of each part together with all parts before it
 * @tokens: length of each part
 * @total_tokens: length of the prompt, including the parts that are not stored
 * @n_shared: number of parts in @shared
 * @shared: the parts that other requests may share, which the last one is not:
 *	hash of each by itself, and of the service after
 *	ks_prompt_set_service()
 */
typedef struct ks_prompt {
	size_t n_parts;
	uint64_t ids[KS_PROMPT_MAX_PARTS];
	int64_t tokens[KS_PROMPT_MAX_PARTS];
	int64_t total_tokens;
	unsigned n_shared;
	uint64_t shared[KS_PROMPT_MAX_PARTS];
} ks_prompt_t;

bool ks_prompt_parse(ks_prompt_t *prompt, ks_str_t text);
void ks_prompt_set_service(ks_prompt_t *prompt, const char *service);
uint64_t ks_prompt_shared_id(const ks_prompt_t *prompt);

/* stated_limit.c */

/**
 * struct ks_stated_limit - limit that an upstream states on the requests of all
 * entries together
 * @per_s: requests per second, 0 if it has never stated a limit
 * @heard_us: when an entry received the response that this comes from
 * @ended_us: when the first response without a limit was received, 0 before
 * @is_own: this entry received the response
 * @share: share of the limit that this entry may use, 0 to 1
 * @tokens: requests that this entry may send, as of @filled_us
 */
typedef struct ks_stated_limit {
	double per_s;
	int64_t heard_us;
	int64_t ended_us;
	bool is_own;
	double share;
	double tokens;
	int64_t filled_us;
} ks_stated_limit_t;

/**
 * struct ks_limit_claim - the claim of an entry to a share of a limit
 * @rank: hash of the entry and the upstream
 * @demand_per_s: requests that it has for the service, negative if unknown
 */
typedef struct ks_limit_claim {
	uint64_t rank;
	double demand_per_s;
} ks_limit_claim_t;

bool ks_stated_limit_is_in_force(const ks_stated_limit_t *limit,
				 int64_t now_us);
bool ks_stated_limit_set(ks_stated_limit_t *limit, double per_s,
			 int64_t heard_us, bool is_own, int64_t now_us);
bool ks_stated_limit_end(ks_stated_limit_t *limit, int64_t heard_us,
			 bool is_own, int64_t now_us);
void ks_stated_limit_merge(ks_stated_limit_t *limit,
			   const ks_stated_limit_t *other);
void ks_stated_limit_set_share(ks_stated_limit_t *limit, double share,
			       int64_t now_us);
bool ks_stated_limit_permits(const ks_stated_limit_t *limit, int64_t now_us);
bool ks_stated_limit_take(ks_stated_limit_t *limit, int64_t now_us);
int64_t ks_stated_limit_next_us(const ks_stated_limit_t *limit, int64_t now_us);
double ks_stated_limit_share(double per_s, ks_limit_claim_t *claims, size_t n);

/* withdrawal.c */

/**
 * struct ks_withdrawal - what an upstream has said of itself
 * @leaving_us: when it first said that it leaves, 0 if it has not
 * @away_until_us: until when it wants no requests, 0 if it never asked
 * @next_send_us: earliest time of the next request
 * @is_awaited: no request has been sent after that time yet
 * @limit: limit on the requests of all entries
 */
typedef struct ks_withdrawal {
	int64_t leaving_us;
	int64_t away_until_us;
	int64_t next_send_us;
	bool is_awaited;
	ks_stated_limit_t limit;
} ks_withdrawal_t;

void ks_withdrawal_merge(ks_withdrawal_t *withdrawal,
			 const ks_withdrawal_t *other);
void ks_withdrawal_leave(ks_withdrawal_t *withdrawal, int64_t now_us);
bool ks_withdrawal_back_off(ks_withdrawal_t *withdrawal, ks_str_t text,
			    double draw, int64_t now_us);
bool ks_withdrawal_is_away(const ks_withdrawal_t *withdrawal, int64_t now_us);
bool ks_withdrawal_permits(const ks_withdrawal_t *withdrawal, int64_t now_us);
bool ks_withdrawal_record_send(ks_withdrawal_t *withdrawal, int64_t now_us);
int64_t ks_withdrawal_next_us(const ks_withdrawal_t *withdrawal,
			      int64_t now_us);
bool ks_withdrawal_accepts(const ks_withdrawal_t *withdrawal, int64_t notice_us,
			   int64_t now_us);

/* fleet.c */

/**
 * enum ks_stage - the part of inference that an engine is configured for
 * @KS_STAGE_ANY: both; also for upstreams that are not engines, and for none
 * @KS_STAGE_PREFILL: prefill only
 * @KS_STAGE_DECODE: mainly decode; it can prefill prompts as well
 */
typedef enum ks_stage {
	KS_STAGE_ANY,
	KS_STAGE_PREFILL,
	KS_STAGE_DECODE,
} ks_stage_t;

/**
 * struct ks_member_spec - the announcement of an upstream
 * @process_start_ms: start of its process in Unix milliseconds, 0 if unknown. A
 *	new value means that the process was restarted and its cache is empty.
 * @software: version of its software, any text
 * @slots: requests that it runs at the same time, 0 if unknown
 * @accepting: it accepts requests, and is not draining
 */
typedef struct ks_member_spec {
	ks_str_t id;
	ks_str_t service;
	ks_str_t software;
	ks_address_t address;
	ks_str_t domain;
	ks_stage_t stage;
	int64_t process_start_ms;
	unsigned slots;
	bool accepting;
} ks_member_spec_t;

/**
 * struct ks_member - an upstream, with the load and cache contents known to
 * this entry
 * @tag: hash of @id, which identifies the upstream in messages between entries
 * @software: version of its software, shortened and printable, for logs
 * @origin: hash of its service and of the version of its software. A stream
 *	goes on only at upstreams of the origin that began it.
 * @process: hash of @id, @process_start_ms and @origin, which identifies its
 *	process among all entries
 * @confirmed_us: the process was there then or later: a read was begun that
 *	has its announcement, or it was asked and has answered; 0 before
 * @is_replaced: an answer was that another process is there now
 * @asked_us: when the question was sent that has no answer yet, 0 for none
 * @n_silent: questions in a row that got no answer
 * @ask_after_us: an answer is needed to a question that is sent then or later
 * @slots: requests that it runs at the same time, 0 if unknown
 * @accepting: it accepts requests, and is not draining
 * @withdrawal: what it has said of itself in its responses
 * @listed: it is still announced; a removed upstream is freed with its last
 *	reference
 * @remove_at_us: when a scheduled removal takes effect, 0 if there is none
 * @running: number of requests that this entry has in flight there
 * @occupancy: share of it that the responses being generated take up, in units
 *	of 1 / KS_OCCUPANCY_UNIT
 * @prefill_tokens: prompt tokens of this entry's requests that still have to be
 *	prefilled there
 * @peer_running, @peer_occupancy, @peer_prefill_tokens: the same for all other
 *	entries, from their latest messages
 * @unanswered_us: when a request of this entry last got no response, 0 if there
 *	was a response since
 * @response_us: when this entry last received the head of a response, 0 before
 * @peer_unanswered: other entries whose requests get no response
 * @failure_rate: moving average of failed requests, 0 to 1, as of
 *	@failure_rate_us
 * @pending_stage: stage that it is changing to, KS_STAGE_ANY if it is not
 *	changing; it refuses requests in the meantime
 * @changed_us: when the change was ordered
 * @next_order_us: earliest time of the next order
 * @stored_tokens: prompt tokens that requests of this entry have added to its
 *	cache since the upstream became known
 * @cached: struct part_use by the id of the prompt part
 * @capacity: how fast it is, as learned from its responses
 */
typedef struct ks_member {
	unsigned refs;
	uint32_t tag;
	char *id;
	char *service;
	char *software;
	uint64_t origin;
	char *domain;
	ks_address_t address;
	ks_stage_t stage;
	int64_t process_start_ms;
	uint64_t process;
	int64_t confirmed_us;
	bool is_replaced;
	int64_t asked_us;
	int64_t ask_after_us;
	unsigned n_silent;
	unsigned slots;
	bool accepting;
	ks_withdrawal_t withdrawal;
	bool listed;
	int64_t remove_at_us;
	unsigned running;
	unsigned occupancy;
	int64_t prefill_tokens;
	unsigned peer_running;
	unsigned peer_occupancy;
	int64_t peer_prefill_tokens;
	int64_t unanswered_us;
	int64_t response_us;
	unsigned peer_unanswered;
	ks_stage_t pending_stage;
	int64_t changed_us;
	int64_t next_order_us;
	ks_ejection_t health;
	double failure_rate;
	int64_t failure_rate_us;
	int64_t stored_tokens;
	GHashTable *cached;
	ks_capacity_t capacity;
} ks_member_t;

/**
 * struct ks_fleet - the known upstreams of all services
 * @by_id, @by_tag: struct ks_member by its id and by its tag
 * @withdrawn: members that are no longer announced and have said something of
 *	themselves, in the order of their removal
 * @latest_origins: origin of the upstream of each service that was last put
 * @n_mixtures: counts the changes that showed two origins of one service
 * @compared_us: when the speeds of the upstreams were last compared
 */
typedef struct ks_fleet {
	GHashTable *by_id;
	GHashTable *by_tag;
	GQueue withdrawn;
	GHashTable *latest_origins;
	uint64_t n_mixtures;
	int64_t compared_us;
} ks_fleet_t;

void ks_fleet_init(ks_fleet_t *fleet);
void ks_fleet_deinit(ks_fleet_t *fleet);
ks_member_t *ks_fleet_put(ks_fleet_t *fleet, const ks_member_spec_t *spec);
void ks_fleet_remove(ks_fleet_t *fleet, ks_str_t id);
void ks_fleet_remove_at(ks_fleet_t *fleet, ks_str_t id, int64_t at_us);
size_t ks_fleet_expire(ks_fleet_t *fleet, int64_t now_us);
ks_member_t *ks_fleet_find(const ks_fleet_t *fleet, ks_str_t id);
ks_member_t *ks_fleet_find_tag(const ks_fleet_t *fleet, uint32_t tag);
GPtrArray *ks_fleet_listed(const ks_fleet_t *fleet, const char *service);
GPtrArray *ks_fleet_members(const ks_fleet_t *fleet, const char *service);
GPtrArray *ks_fleet_available(const ks_fleet_t *fleet, const char *service,
			      int64_t notice_us, int64_t now_us);
void ks_fleet_update_withdrawal(ks_fleet_t *fleet, ks_member_t *member);
ks_member_t *ks_fleet_find_process(const ks_fleet_t *fleet, uint64_t process);
void ks_members_keep_origin(GPtrArray *members, uint64_t origin);
int64_t ks_fleet_return_us(const ks_fleet_t *fleet, const char *service,
			   uint64_t origin, int64_t now_us);
uint64_t ks_fleet_digest(const ks_fleet_t *fleet);
bool ks_fleet_compare_speeds(ks_fleet_t *fleet, int64_t now_us);
uint32_t ks_member_process_tag(const ks_member_t *member);
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

/* reachability.c */

void ks_member_record_unanswered(ks_member_t *member, int64_t now_us);
void ks_member_record_response(ks_member_t *member, int64_t now_us);
bool ks_member_is_unanswered(const ks_member_t *member, int64_t now_us);
bool ks_member_is_unreachable(const ks_member_t *member, int64_t now_us);
bool ks_member_is_silent(const ks_member_t *member, int64_t now_us);
GPtrArray *ks_fleet_unanswered(const ks_fleet_t *fleet, int64_t now_us);

/* budget.c */

/* Buckets in a window, and buckets that are kept. */
#define KS_BUDGET_BUCKETS 20
#define KS_BUDGET_HISTORY (2 * KS_BUDGET_BUCKETS)

/**
 * struct ks_budget - limit on the retries of a service in a sliding window
 * @ratio: retries allowed for each request in the window
 * @slack: this entry's share of the retries allowed in addition
 * @window_us: length of the window
 * @epoch: number of the current bucket
 * @requests: number of requests in each bucket; a ring
 * @extra: number of retries in each bucket; a ring
 */
typedef struct ks_budget {
	double ratio;
	double slack;
	int64_t window_us;
	int64_t epoch;
	unsigned requests[KS_BUDGET_HISTORY];
	unsigned extra[KS_BUDGET_HISTORY];
} ks_budget_t;

void ks_budget_init(ks_budget_t *budget, double ratio, double slack,
		    int64_t window_us);
void ks_budget_request(ks_budget_t *budget, int64_t now_us);
bool ks_budget_take(ks_budget_t *budget, int64_t now_us);
double ks_budget_demand(ks_budget_t *budget, int64_t now_us);

/* placement.c */

/**
 * struct ks_placement - the upstreams chosen for a request
 * @prefill: prefills the prompt first; NULL if @run does so itself
 * @run: generates the response; NULL if no upstream can take the request. With
 *	@prefill, only an estimate; see ks_placement_choose_decode().
 * @source: has parts of the prompt cached that the prefilling upstream should
 *	fetch; NULL if there is none
 * @prefill_tokens, @run_tokens: prompt tokens that @prefill and @run are
 *	expected to process
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
 * @prompt: NULL if the service has no engines or the request states no parts
 * @domain: failure domain of this entry, NULL if unknown
 * @avoid: upstreams that have failed or refused this request
 * @may_split: prefill may run on a separate upstream
 * @max_pause_us: objective for the pauses between events, 0 for none
 * @entries: number of entries that place requests, with this one
 * @cache_tokens: share of an engine's cache that holds this entry's prompts, in
 *	tokens
 * @draw: random number that breaks ties
 */
typedef struct ks_placement_query {
	const ks_service_t *service;
	const ks_prompt_t *prompt;
	const char *domain;
	const GPtrArray *avoid;
	bool may_split;
	int64_t max_pause_us;
	unsigned entries;
	int64_t cache_tokens;
	int64_t now_us;
	uint32_t draw;
} ks_placement_query_t;

/**
 * enum ks_objection - why an upstream is avoided while others serve
 * @KS_OBJECTION_CHANGES_STAGE: it changes its stage and refuses requests
 * @KS_OBJECTION_HAS_FAILED: it has failed or refused this request
 * @KS_OBJECTION_EJECTED: several requests failed there in a row
 * @KS_OBJECTION_UNREACHABLE: several entries get no response from it
 * @KS_OBJECTION_FAILURE_RATE: too large a share of its requests fails
 */
typedef enum ks_objection {
	KS_OBJECTION_NONE,
	KS_OBJECTION_CHANGES_STAGE,
	KS_OBJECTION_HAS_FAILED,
	KS_OBJECTION_EJECTED,
	KS_OBJECTION_UNREACHABLE,
	KS_OBJECTION_FAILURE_RATE,
	KS_N_OBJECTIONS,
} ks_objection_t;

ks_objection_t ks_placement_objection(const ks_member_t *member,
				      const ks_placement_query_t *query);
GPtrArray *ks_placement_usable(const GPtrArray *members, ks_stage_t stage,
			       const ks_placement_query_t *query);
void ks_placement_costs(const GPtrArray *available, const GPtrArray *members,
			const ks_placement_query_t *query, double *costs);
ks_placement_t ks_placement_choose(const GPtrArray *members,
				   const ks_placement_query_t *query);
ks_member_t *ks_placement_choose_decode(const GPtrArray *members,
					const ks_member_t *prefill,
					const ks_placement_query_t *query);
unsigned ks_placement_rank(unsigned priority, int64_t uncached_tokens);

/* events.c */

/*
 * A caller sends an id back in a header field, and heads of requests have
 * KS_HTTP1_MAX_HEADER_BYTES at most.
 */
#define KS_EVENTS_MAX_ID_BYTES ((size_t)4 * 1024)

/**
 * struct ks_events - splits a server-sent event stream into complete events
 * @partial: bytes of the incomplete event at the end
 * @last_id: id of the last complete event that had one
 * @event_bytes: size of the incomplete event
 * @has_long_id: an event had an id that is longer than KS_EVENTS_MAX_ID_BYTES.
 *	Nothing is passed on from this event on, until ks_events_reset().
 * @in_line: the bytes so far end inside a line
 * @in_event: they end inside an event
 * @after_cr: they end with a carriage return
 */
typedef struct ks_events {
	GString *partial;
	GString *last_id;
	size_t event_bytes;
	bool has_long_id;
	bool in_line;
	bool in_event;
	bool after_cr;
} ks_events_t;

void ks_events_init(ks_events_t *events);
void ks_events_deinit(ks_events_t *events);
void ks_events_reset(ks_events_t *events);
void ks_events_feed(ks_events_t *events, ks_str_t data, GString *whole);
void ks_events_scan(ks_events_t *events, ks_str_t data);
bool ks_events_is_inside(const ks_events_t *events);

/* views.c */

/**
 * enum ks_table - tables of the store that all entries follow
 */
typedef enum ks_table {
	KS_TABLE_TRAFFIC,
	KS_TABLE_MEMBERS,
	KS_N_TABLES,
} ks_table_t;

/**
 * struct ks_view - what an entry knows of a table
 * @revision: up to where the table has been read, see ks_view_order()
 * @digest: hash of the contents that matter to entries
 * @read_us: when it was read, 0 if never
 */
typedef struct ks_view {
	int64_t revision;
	uint64_t digest;
	int64_t read_us;
} ks_view_t;

/* Revisions of the store have this many bits in ks_view_order(). */
#define KS_VIEW_REVISION_BITS 40

/**
 * struct ks_peer_view - another entry's view of a table
 * @rank: hash of the entry's name
 */
typedef struct ks_peer_view {
	uint64_t rank;
	ks_view_t view;
} ks_peer_view_t;

/**
 * struct ks_view_limits - how long after a read of a table the next one is due
 * @alone_us: for an entry that does not rely on others
 * @poller_us: for a poller, whose reads the others rely on
 * @max_age_us: for an entry that is not told that its view is still current
 */
typedef struct ks_view_limits {
	int64_t alone_us;
	int64_t poller_us;
	int64_t max_age_us;
} ks_view_limits_t;

bool ks_views_are_shared(size_t n_entries);
int64_t ks_view_order(int64_t era, int64_t revision);
bool ks_view_is_poller(uint64_t rank, const ks_peer_view_t *others, size_t n);
bool ks_view_is_outdated(const ks_view_t *own, const ks_view_t *other);
int64_t ks_view_fresh_us(const ks_view_t *own, const ks_peer_view_t *others,
			 size_t n);
int64_t ks_view_due_us(const ks_view_t *own, uint64_t rank,
		       const ks_peer_view_t *others, size_t n, bool shared,
		       const ks_view_limits_t *limits);

/* stream_origins.c */

/**
 * struct ks_stream_claim - a stream whose origin is not known yet
 * @stream: hash of the id of the request whose response began it
 * @process: of the upstream that the entry that began it knew, see struct
 *	ks_member
 * @since_us: if that process is there later than this, it began the stream
 * @claimed_us: set by ks_stream_origins_claim()
 * @is_own: this entry began the stream
 */
typedef struct ks_stream_claim {
	uint64_t stream;
	uint64_t process;
	int64_t since_us;
	int64_t claimed_us;
	bool is_own;
} ks_stream_claim_t;

/**
 * struct ks_stream_origins - where streams began
 * @recent, @older: origins by the stream, of two generations
 * @claims: ks_stream_claim_t by the stream
 * @began_us: when the recent generation began
 */
typedef struct ks_stream_origins {
	GHashTable *recent;
	GHashTable *older;
	GHashTable *claims;
	int64_t began_us;
} ks_stream_origins_t;

/*
 * Sets the origin of the process of a claim, if it is known. Returns false if
 * it will never be.
 */
typedef bool (*ks_settle_func_t)(void *ctx, const ks_stream_claim_t *claim,
				 uint64_t *origin);

void ks_stream_origins_init(ks_stream_origins_t *origins);
void ks_stream_origins_deinit(ks_stream_origins_t *origins);
void ks_stream_origins_record(ks_stream_origins_t *origins, uint64_t stream,
			      uint64_t origin, int64_t now_us);
uint64_t ks_stream_origins_find(ks_stream_origins_t *origins, uint64_t stream,
				int64_t now_us);
void ks_stream_origins_claim(ks_stream_origins_t *origins,
			     const ks_stream_claim_t *claim, int64_t now_us);
const ks_stream_claim_t *
ks_stream_origins_find_claim(const ks_stream_origins_t *origins,
			     uint64_t stream);
void ks_stream_origins_settle(ks_stream_origins_t *origins,
			      ks_settle_func_t func, void *ctx, int64_t now_us);

/* peers.c */

/*
 * Called when another entry knows something of a table that this one has not
 * read yet.
 */
typedef void (*ks_outdated_func_t)(void *ctx, ks_table_t table);

/*
 * Called when another entry has said what it knows of a stream, which is in the
 * records then. @sender is a hash of its name.
 */
typedef void (*ks_stream_answer_func_t)(void *ctx, uint64_t stream,
					uint64_t sender);

/* Limit on the entries that are asked for a stream. */
#define KS_STREAM_MAX_ASKED 4

/* Returns how many requests per second this entry has for a service. */
typedef double (*ks_demand_func_t)(void *ctx, const char *service);

/**
 * struct ks_peers - exchange of load and cache state with the other entries
 * @context: ZeroMQ context, NULL if peers are not configured
 * @name: name of this entry
 * @incarnation: random id of this process
 * @number: number of the last message sent
 * @version: version of the configuration in force
 * @bytes_per_s: bandwidth limit for sending
 * @by_name: struct peer by entry name
 * @announced: when a cached part was last announced, by a hash of the part and
 *	the upstream
 * @queued_parts: ids of the cached parts to announce in the next message
 * @queued_tags: tags of the upstreams that have @queued_parts cached
 * @addresses: addresses of the subscribed publishers, by entry name
 * @sent_us: when the last message was sent
 * @next_us: earliest time of the next message
 * @rank: see struct ks_peer_view
 * @views: what this entry knows of each table
 * @settled_us: since when no service has had upstreams of two origins, as far
 *	as this entry knows, or one that has the same view of them; 0 if unknown
 * @settled_since_start: it has known no such service since it started
 * @speeds_due_us: when the speeds of upstreams are sent next
 * @quarantine: exchanged with the other entries; NULL for none
 * @losses: ks_loss_t of this entry that are sent to the others
 * @claimants: struct claimant by entry name
 * @own_claims: demand of this entry in thousandths of a request per second, as
 *	it was told last, by the process tag of the upstream with a limit
 * @shares_us: when the shares of limits were last worked out
 * @next_limit: number of the limit that the next message begins with
 * @demand: NULL for no demand
 * @origins: where streams began; shared with the other entries. NULL for none
 * @stream_updates: struct stream_update to be sent by @update_timer
 * @answered: called for each answer about a stream; set if @origins is
 * @usage: requests counted for organisations; NULL for none
 * @usage_timer: sends changed counts
 * @hears_usage: subscribed to the counts of other entries
 * @outdated_by: digest that @outdated was last called for, by table
 * @outdated: NULL for none
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
	GHashTable *by_name;
	GHashTable *announced;
	GArray *queued_parts;
	GArray *queued_tags;
	GHashTable *addresses;
	ks_timer_t timer;
	int64_t sent_us;
	int64_t next_us;
	uint64_t rank;
	ks_view_t views[KS_N_TABLES];
	int64_t settled_us;
	bool settled_since_start;
	int64_t speeds_due_us;
	ks_quarantine_t *quarantine;
	GQueue losses;
	GHashTable *claimants;
	GHashTable *own_claims;
	int64_t shares_us;
	size_t next_limit;
	ks_demand_func_t demand;
	void *demand_ctx;
	ks_stream_origins_t *origins;
	GArray *stream_updates;
	ks_timer_t update_timer;
	ks_stream_answer_func_t answered;
	void *answered_ctx;
	struct ks_usage *usage;
	ks_timer_t usage_timer;
	bool hears_usage;
	uint64_t outdated_by[KS_N_TABLES];
	ks_outdated_func_t outdated;
	void *ctx;
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
void ks_peers_queue_loss(ks_peers_t *peers, const ks_loss_t *loss);
void ks_peers_announce_unanswered(ks_peers_t *peers);
void ks_peers_announce_limit(ks_peers_t *peers, ks_member_t *member);
void ks_peers_announce_stream(ks_peers_t *peers, uint64_t stream,
			      uint64_t origin, uint64_t process);
unsigned ks_peers_ask_stream(ks_peers_t *peers, uint64_t stream,
			     uint64_t *asked);
void ks_peers_receive(ks_peers_t *peers, ks_str_t message);
void ks_peers_pack(ks_peers_t *peers, GByteArray *message);
size_t ks_peers_n_active(const ks_peers_t *peers);
size_t ks_peers_n_announced(const ks_peers_t *peers);
void ks_peers_set_view(ks_peers_t *peers, ks_table_t table,
		       const ks_view_t *view);
bool ks_peers_share_views(const ks_peers_t *peers);
bool ks_peers_is_poller(const ks_peers_t *peers);
int64_t ks_peers_read_due_us(const ks_peers_t *peers, ks_table_t table,
			     const ks_view_limits_t *limits);
int64_t ks_peers_fresh_us(const ks_peers_t *peers, ks_table_t table);

/* stages.c */

/**
 * struct ks_demand - demand for a stage, in engines
 * @average: moving average
 * @peak: highest average, which decays slowly
 * @since_us: when a demand was first seen, 0 before
 * @observed_us: when it was last measured, 0 if never
 */
typedef struct ks_demand {
	double average;
	double peak;
	int64_t since_us;
	int64_t observed_us;
} ks_demand_t;

/**
 * struct ks_stage_balance - target and last change of a service's prefill share
 * @prefill_share: share of the engines that should run prefill, 0 to 1, or
 *	KS_PREFILL_SHARE_AUTO
 * @decode: slots and memory that the responses being generated take up
 * @prefill_busy: moving average of the share of prefill engines with work
 * @last: stage that the last change led to, KS_STAGE_ANY before the first
 * @changed_us: when the last change was ordered
 */
typedef struct ks_stage_balance {
	double prefill_share;
	ks_demand_t decode;
	double prefill_busy;
	ks_stage_t last;
	int64_t changed_us;
} ks_stage_balance_t;

void ks_stage_balance_observe(ks_stage_balance_t *balance,
			      const GPtrArray *members, int64_t now_us);
ks_member_t *ks_stage_balance_next(const ks_stage_balance_t *balance,
				   const GPtrArray *members, int64_t now_us,
				   ks_stage_t *stage);
void ks_stage_balance_record(ks_stage_balance_t *balance, ks_stage_t stage,
			     int64_t now_us);

/* stage_run.c */

/**
 * enum ks_stage_outcome - result of an order to change an engine's stage
 * @KS_STAGE_ORDERED: accepted, or the engine already has the stage
 * @KS_STAGE_NOT_ORDERED: refused, or not sent
 * @KS_STAGE_UNKNOWN: no response; the engine may still execute it
 */
typedef enum ks_stage_outcome {
	KS_STAGE_ORDERED,
	KS_STAGE_NOT_ORDERED,
	KS_STAGE_UNKNOWN,
} ks_stage_outcome_t;

typedef void (*ks_stage_func_t)(void *ctx, ks_member_t *member,
				ks_stage_outcome_t outcome);
/*
 * Returns whether an order may be sent now, and sets the fencing token for it.
 */
typedef bool (*ks_stage_permit_func_t)(void *ctx, uint64_t *fence);

/**
 * struct ks_stage_driver - sends orders to engines
 * @order: read the engine's state, call @permit, send the order and report the
 *	outcome to @func
 */
typedef struct ks_stage_driver {
	void (*order)(void *impl, ks_member_t *member, ks_stage_t stage,
		      ks_stage_permit_func_t permit, ks_stage_func_t func,
		      void *ctx);
	void *impl;
} ks_stage_driver_t;

/**
 * struct ks_stage_controller - changes engine stages while holding a lease
 * @lease, @user: the lease, and this user of it
 * @services: struct ks_stage_balance by the name of each service whose engines
 *	have stages
 * @last_due_us: when a change was last found to be due
 * @orders_in_flight: number of orders without an outcome
 */
typedef struct ks_stage_controller {
	ks_loop_t *loop;
	ks_fleet_t *fleet;
	const ks_stage_driver_t *driver;
	ks_duty_lease_t *lease;
	ks_duty_user_t user;
	GHashTable *services;
	double prefill_share;
	int64_t last_due_us;
	unsigned orders_in_flight;
	ks_timer_t timer;
	bool stopping;
} ks_stage_controller_t;

void ks_stage_controller_init(ks_stage_controller_t *controller,
			      ks_loop_t *loop, ks_fleet_t *fleet,
			      ks_duty_lease_t *lease,
			      const ks_stage_driver_t *driver,
			      double prefill_share);
void ks_stage_controller_deinit(ks_stage_controller_t *controller);
void ks_stage_controller_stop(ks_stage_controller_t *controller);
void ks_stage_controller_set_services(ks_stage_controller_t *controller,
				      const ks_traffic_t *traffic);

/* gateway.c */

typedef struct ks_gateway ks_gateway_t;

/**
 * struct ks_hold_keeper - keeps holds of prompt parts beyond this process
 * @changed: a part is held, or no longer; @own: by a decision of this entry
 * @may_try: whether a request with a held part may be sent now, to see whether
 *	it is answered
 */
typedef struct ks_hold_keeper {
	void (*changed)(void *ctx, uint64_t part, bool own);
	bool (*may_try)(void *ctx, uint64_t part);
} ks_hold_keeper_t;

/**
 * struct ks_gateway_settings - settings of a gateway
 * @listen: address for callers
 * @ready: address of the readiness check for the load balancer
 * @metrics: address for metrics; an empty IP address disables them
 * @peer: address for the other entries; an empty IP address disables the
 *	exchange
 * @name: name of this entry
 * @domain: failure domain of this host
 * @drain_delay_us: how long new connections are still accepted after a stop
 * @grace_us: time limit for a stop
 * @leaving_notice_us: time limit, from the first response of an upstream that
 *	says that it leaves, for sending it requests
 * @retry_ratio, @retry_slack, @retry_window_us: see struct ks_budget; the slack
 *	is the total of all entries
 * @key_max_age_us: requests that need an API key are refused if the
 *	configuration was confirmed longer ago; 0 for no limit
 * @memory_bytes: memory of the machine; 0 for no limit
 * @max_descriptors: descriptors that the process may have open; 0 for no limit
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
	int64_t leaving_notice_us;
	double retry_ratio;
	double retry_slack;
	int64_t retry_window_us;
	int64_t key_max_age_us;
	size_t memory_bytes;
	size_t max_descriptors;
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
ks_quarantine_t *ks_gateway_quarantine(ks_gateway_t *gateway);
/**
 * enum ks_process_answer - what an upstream has said of its process
 * @KS_PROCESS_SILENT: nothing that can be used
 * @KS_PROCESS_SAME: it is the one of the announcement
 * @KS_PROCESS_OTHER: it is another one
 */
typedef enum ks_process_answer {
	KS_PROCESS_SILENT,
	KS_PROCESS_SAME,
	KS_PROCESS_OTHER,
} ks_process_answer_t;

/*
 * Has the announcements of upstreams read within a time in microseconds, 0 for
 * at once; ks_gateway_members_read() is then called, possibly before this
 * returns. A read in progress does not count.
 */
typedef void (*ks_read_members_func_t)(void *ctx, int64_t within_us);

void ks_gateway_set_member_reader(ks_gateway_t *gateway,
				  ks_read_members_func_t func, void *ctx);
void ks_gateway_members_read(ks_gateway_t *gateway, int64_t asked_us);

/*
 * Asks the process of an upstream when it started, independently of the
 * announcements. ks_gateway_process_read() is called with the answer, not
 * before this returns.
 */
typedef void (*ks_read_process_func_t)(void *ctx, ks_member_t *member);

void ks_gateway_set_process_reader(ks_gateway_t *gateway,
				   ks_read_process_func_t func, void *ctx);
void ks_gateway_process_read(ks_gateway_t *gateway, ks_member_t *member,
			     ks_process_answer_t answer);
void ks_gateway_set_hold_keeper(ks_gateway_t *gateway,
				const ks_hold_keeper_t *keeper, void *ctx);
ks_metrics_t *ks_gateway_metrics(ks_gateway_t *gateway);
int64_t ks_gateway_version(const ks_gateway_t *gateway);
uint16_t ks_gateway_port(const ks_gateway_t *gateway);
uint16_t ks_gateway_ready_port(const ks_gateway_t *gateway);
uint16_t ks_gateway_metrics_port(const ks_gateway_t *gateway);

G_END_DECLS

#endif
