/*
 * process: what lives as long as a process: settings, logs, metrics, the
 * platform's service, leases, orders, the planner and the two roles.
 */
#ifndef KS_PROCESS_H
#define KS_PROCESS_H

#include "ks/connection.h"
#include "ks/core.h"
#include "ks/request.h"
#include "ks/version.h"

G_BEGIN_DECLS

/* log.c */

/**
 * enum ks_log_part - parts of the system, each with a fixed prefix
 */
typedef enum ks_log_part {
	KS_LOG_MAIN,
	KS_LOG_HTTP,
	KS_LOG_LINK,
	KS_LOG_ROUTE,
	KS_LOG_LEDGER,
	KS_LOG_STORE,
	KS_LOG_CONFIG,
	KS_LOG_LEASE,
	KS_LOG_ORDER,
	KS_LOG_PLAN,
	KS_LOG_N_PARTS
} ks_log_part_t;

typedef enum ks_log_level {
	KS_LOG_ERROR,
	KS_LOG_WARN,
	KS_LOG_INFO,
	KS_LOG_DEBUG,
} ks_log_level_t;

void ks_log_init(const char *program, ks_log_level_t level);
void ks_log_deinit(void);
bool ks_log_level_parse(ks_log_level_t *level, ks_str_t name);
void ks_log_set_part_level(ks_log_part_t part, ks_log_level_t level);
bool ks_log_part_parse(ks_log_part_t *part, ks_str_t name);
void ks_log(ks_log_part_t part, ks_log_level_t level, const char *format, ...)
	G_GNUC_PRINTF(3, 4);
void ks_log_request(ks_log_part_t part, ks_log_level_t level, const ks_id_t *id,
		    uint64_t version, const char *format, ...)
	G_GNUC_PRINTF(5, 6);

/* metrics.c */

typedef struct ks_metrics ks_metrics_t;
typedef struct ks_counter ks_counter_t;
typedef struct ks_histogram ks_histogram_t;

ks_metrics_t *ks_metrics_new(void);
void ks_metrics_free(ks_metrics_t *metrics);
ks_counter_t *ks_metrics_counter(ks_metrics_t *metrics, const char *name,
				 const char *help, const char *labels);
ks_counter_t *ks_metrics_gauge(ks_metrics_t *metrics, const char *name,
			       const char *help, const char *labels);
ks_histogram_t *ks_metrics_histogram(ks_metrics_t *metrics, const char *name,
				     const char *help, const char *labels);
void ks_counter_add(ks_counter_t *counter, int64_t delta);
void ks_counter_set(ks_counter_t *counter, int64_t value);
int64_t ks_counter_value(const ks_counter_t *counter);
void ks_histogram_record(ks_histogram_t *histogram, int64_t value_us);
int64_t ks_histogram_quantile(const ks_histogram_t *histogram, double q);
uint64_t ks_histogram_count(const ks_histogram_t *histogram);
void ks_metrics_format(const ks_metrics_t *metrics, GString *out);

/* store.c: the platform's table service and object store */

/**
 * enum ks_store_outcome - how a store operation ended
 * @KS_STORE_DONE: it took effect, or the read succeeded
 * @KS_STORE_REFUSED: a precondition failed; it took no effect
 * @KS_STORE_UNREACHABLE: it took no effect and never will
 * @KS_STORE_UNKNOWN: the answer was lost; it may have taken effect or may do so
 *	later
 */
typedef enum ks_store_outcome {
	KS_STORE_DONE,
	KS_STORE_REFUSED,
	KS_STORE_UNREACHABLE,
	KS_STORE_UNKNOWN,
} ks_store_outcome_t;

const char *ks_store_outcome_name(ks_store_outcome_t outcome);

/**
 * struct ks_row - a row of a table
 * @key: path-like, e.g. "lease/planner"
 * @etag: changes whenever the row does; empty when there is no such row
 */
typedef struct ks_row {
	ks_str_t key;
	ks_str_t etag;
	ks_str_t value;
} ks_row_t;

/**
 * struct ks_store_write - one write with its precondition
 * @etag: the row must have this etag; empty: the row must not exist
 * @unconditional: no precondition
 * @check_only: only test the precondition
 * @remove: remove the row instead of writing @value
 */
typedef struct ks_store_write {
	ks_str_t key;
	ks_str_t etag;
	ks_str_t value;
	bool unconditional;
	bool check_only;
	bool remove;
} ks_store_write_t;

/**
 * ks_store_row_func_t - result of a read, or the new row after a write
 * @row: for DONE of a read: the row, with an empty etag when it does not exist;
 *	for DONE of a write: key and new etag; for REFUSED: NULL
 */
typedef void (*ks_store_row_func_t)(void *ctx, ks_store_outcome_t outcome,
				    const ks_row_t *row);
/**
 * ks_store_rows_func_t - result of a list or a transaction
 * @rows: for a list, the rows; for a transaction, one row with the new etag for
 *	each write
 * @failed: for REFUSED of a transaction, index of the first write whose
 *	precondition failed, else -1
 */
typedef void (*ks_store_rows_func_t)(void *ctx, ks_store_outcome_t outcome,
				     const ks_row_t *rows, size_t n_rows,
				     int failed);

/**
 * struct ks_store - the platform's service behind callbacks
 *
 * Each function returns at once and calls back later, exactly once, with
 * pointers that are valid during the callback only. Arguments are copied.
 */
typedef struct ks_store {
	void (*get)(void *impl, ks_str_t key, ks_store_row_func_t func,
		    void *ctx);
	void (*list)(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
		     void *ctx);
	void (*write)(void *impl, const ks_store_write_t *write,
		      ks_store_row_func_t func, void *ctx);
	void (*transact)(void *impl, const ks_store_write_t *writes,
			 size_t n_writes, ks_store_rows_func_t func, void *ctx);
	void (*remove_prefix)(void *impl, ks_str_t prefix,
			      ks_store_row_func_t func, void *ctx);
	void (*object_get)(void *impl, ks_str_t name, ks_store_row_func_t func,
			   void *ctx);
	void (*object_put)(void *impl, ks_str_t name, ks_str_t body,
			   ks_store_row_func_t func, void *ctx);
	void *impl;
} ks_store_t;

/* store_http.c: driver over HTTP with ETag preconditions */

/**
 * struct ks_store_http - store driver; see docs/platform.md for the protocol
 */
typedef struct ks_store_http {
	ks_store_t store;
	ks_http_client_t *client;
	ks_address_t address;
	char *token;
	int64_t timeout_us;
} ks_store_http_t;

void ks_store_http_init(ks_store_http_t *driver, ks_http_client_t *client,
			const ks_address_t *address, const char *token);
void ks_store_http_deinit(ks_store_http_t *driver);

/* write_budget.c: share of the store's writes that this process may use */

/**
 * enum ks_write_priority - which writes go first when the budget is short
 */
typedef enum ks_write_priority {
	KS_WRITE_LEDGER,
	KS_WRITE_LEASE,
	KS_WRITE_REST,
	KS_WRITE_N_PRIORITIES
} ks_write_priority_t;

typedef struct ks_write_budget ks_write_budget_t;

ks_write_budget_t *ks_write_budget_new(ks_loop_t *loop, ks_store_t *store,
				       ks_rng_t *rng, double writes_per_s,
				       unsigned burst);
void ks_write_budget_free(ks_write_budget_t *budget);
ks_store_t *ks_write_budget_store(ks_write_budget_t *budget,
				  ks_write_priority_t priority);

/* release_store.c: releases and snapshots as they are kept in the store */

#define KS_RELEASE_PREFIX "release/"
#define KS_RELEASE_HEAD_KEY "release/head"

/**
 * struct ks_release_record - row release/N, and row release/head
 * @digest: of the snapshot
 * @publisher: drawn for each publishing, so that two operators who publish the
 *	same content can still tell who won
 * @published_us: Unix time in microseconds
 * @note: the operators' text; may be empty
 */
typedef struct ks_release_record {
	uint64_t version;
	ks_digest_t digest;
	ks_id_t publisher;
	int64_t published_us;
	char *note;
} ks_release_record_t;

/**
 * ks_release_fetch_func_t - a release read from the store
 * @outcome: UNREACHABLE also when what was read is damaged
 * @record: NULL when there is no such version, or for version 0
 * @snapshot: valid during the call unless a reference is taken
 */
typedef void (*ks_release_fetch_func_t)(void *ctx, ks_store_outcome_t outcome,
					const ks_release_record_t *record,
					ks_snapshot_t *snapshot);

bool ks_release_record_parse(ks_release_record_t *record, ks_str_t value);
char *ks_release_record_format(const ks_release_record_t *record);
void ks_release_record_deinit(ks_release_record_t *record);
char *ks_release_row_key(uint64_t version);
char *ks_release_object_name(uint64_t version, const ks_digest_t *digest);
void ks_release_fetch(ks_store_t *store, uint64_t version,
		      ks_release_fetch_func_t func, void *ctx);

/* publish.c: publishes a release note */

typedef struct ks_publish ks_publish_t;

/**
 * struct ks_publish_result - how publishing ended
 * @kind: KS_ERROR_NONE: this note is version @version. KS_ERROR_CONFLICT:
 *	another note is. KS_ERROR_OUTCOME_UNKNOWN: the store did not tell.
 *	KS_ERROR_STORE_UNAVAILABLE: nothing was published and nothing will be.
 *	KS_ERROR_BAD_REQUEST: the note does not fit its base.
 * @message: short sentence; empty for KS_ERROR_NONE
 * @difference: for a conflict, what changed since the note's base; may be empty
 */
typedef struct ks_publish_result {
	ks_error_kind_t kind;
	uint64_t version;
	const char *message;
	const char *difference;
} ks_publish_result_t;

typedef void (*ks_publish_func_t)(void *ctx, const ks_publish_result_t *result);

ks_publish_t *ks_publish_new(ks_loop_t *loop, ks_store_t *store, ks_rng_t *rng,
			     const ks_release_t *release,
			     const ks_id_t *publisher, ks_publish_func_t func,
			     void *ctx);
void ks_publish_free(ks_publish_t *publish);

/* platform_http.c: host list */

/**
 * ks_hosts_func_t - the host list
 * @ok: false when the list could not be read
 * @leaving: names of the leaving hosts
 */
typedef void (*ks_hosts_func_t)(void *ctx, bool ok, const ks_str_t *leaving,
				size_t n_leaving);

typedef struct ks_platform {
	void (*hosts)(void *impl, ks_hosts_func_t func, void *ctx);
	void *impl;
} ks_platform_t;

/**
 * struct ks_platform_http - driver for the host list over HTTP
 */
typedef struct ks_platform_http {
	ks_platform_t platform;
	ks_http_client_t *client;
	ks_address_t address;
	char *token;
} ks_platform_http_t;

void ks_platform_http_init(ks_platform_http_t *driver, ks_http_client_t *client,
			   const ks_address_t *address, const char *token);
void ks_platform_http_deinit(ks_platform_http_t *driver);

/* engine.c: orders to an engine and its observed state */

/**
 * enum ks_order_kind - orders that an engine takes
 */
typedef enum ks_order_kind {
	KS_ORDER_LOAD_MODEL,
	KS_ORDER_UNLOAD_MODEL,
	KS_ORDER_LOAD_ADAPTER,
	KS_ORDER_UNLOAD_ADAPTER,
	KS_ORDER_SET_ROLE,
} ks_order_kind_t;

/**
 * struct ks_order - one order with the fencing number of the lease it is under
 */
typedef struct ks_order {
	ks_order_kind_t kind;
	uint64_t fence;
	char name[64];
	char version[64];
	ks_engine_role_t role;
} ks_order_t;

/**
 * struct ks_engine_state - what an engine reports of itself
 */
typedef struct ks_engine_state {
	char model[64];
	char version[64];
	GPtrArray *adapters;
	ks_engine_role_t role;
	bool busy_with_order;
	uint64_t fence;
	uint32_t running;
	uint32_t waiting;
	uint32_t kv_blocks_free;
	uint32_t kv_blocks_total;
} ks_engine_state_t;

typedef enum ks_order_outcome {
	KS_ORDER_DONE,
	KS_ORDER_REFUSED,
	KS_ORDER_NOT_SENT,
	KS_ORDER_OUTCOME_UNKNOWN,
} ks_order_outcome_t;

typedef void (*ks_order_func_t)(void *ctx, ks_order_outcome_t outcome);
typedef void (*ks_observe_func_t)(void *ctx, const ks_engine_state_t *state);

/**
 * struct ks_engine - an engine's order endpoint behind callbacks
 * @observe: calls back with NULL when the engine cannot be reached
 * @order: calls back exactly once
 */
typedef struct ks_engine {
	void (*observe)(void *impl, ks_observe_func_t func, void *ctx);
	void (*order)(void *impl, const ks_order_t *order, int64_t timeout_us,
		      ks_order_func_t func, void *ctx);
	void *impl;
} ks_engine_t;

/* lease.c */

/**
 * struct ks_lease_row - a lease row
 * @holder: incarnation of the holder; all zero once it has been released
 * @fence: fencing number; each acquisition adds 1, so the row is never removed
 * @serial: number of the write within its holder, to tell writes apart whose
 *	outcome was unknown
 */
typedef struct ks_lease_row {
	ks_id_t holder;
	uint64_t fence;
	uint64_t serial;
	int64_t lifetime_us;
} ks_lease_row_t;

char *ks_lease_row_encode(const ks_lease_row_t *row);
bool ks_lease_row_decode(ks_lease_row_t *row, ks_str_t value);

/**
 * enum ks_lease_step - what the keeper of a lease does next
 */
typedef enum ks_lease_step {
	KS_LEASE_STEP_READ,
	KS_LEASE_STEP_WRITE,
	KS_LEASE_STEP_WAIT,
	KS_LEASE_STEP_IDLE,
} ks_lease_step_t;

/**
 * struct ks_lease - a lease in the table, seen by one process
 *
 * Pure. Times are on the boot-time clock, which counts suspended time. The
 * holder counts the lifetime from before its write was sent, an observer from
 * after it saw the row change, so their clocks are never compared.
 * @held_until_us: end of the lease by the holder's own reckoning
 * @held: false at once after a write that was refused or is unknown
 * @seen: @row and @etag show the row as last read or written
 * @row_exists: false when there was no row
 * @seen_since_us: when @etag was first seen
 * @read_us: when the row was last read
 * @writing: the row that was sent last
 * @write_sent_us: before it was sent
 */
typedef struct ks_lease {
	ks_id_t holder;
	int64_t lifetime_us;
	bool held;
	int64_t held_until_us;
	uint64_t fence;
	bool seen;
	bool row_exists;
	ks_lease_row_t row;
	GString *etag;
	int64_t seen_since_us;
	int64_t read_us;
	ks_lease_row_t writing;
	int64_t write_sent_us;
} ks_lease_t;

void ks_lease_init(ks_lease_t *lease, const ks_id_t *holder,
		   int64_t lifetime_us);
void ks_lease_deinit(ks_lease_t *lease);
bool ks_lease_is_held(const ks_lease_t *lease, int64_t now_us);
int64_t ks_lease_remaining(const ks_lease_t *lease, int64_t now_us);
uint64_t ks_lease_fence(const ks_lease_t *lease);
ks_lease_step_t ks_lease_next(const ks_lease_t *lease, bool wanted,
			      int64_t now_us, int64_t *wait_us);
void ks_lease_observe(ks_lease_t *lease, const ks_lease_row_t *row,
		      ks_str_t etag, int64_t now_us);
const ks_lease_row_t *ks_lease_begin_write(ks_lease_t *lease, bool wanted,
					   int64_t now_us);
void ks_lease_end_write(ks_lease_t *lease, ks_store_outcome_t outcome,
			ks_str_t etag, int64_t now_us);

/* lease_keeper.c: keeps a lease in the table for its holder */

typedef struct ks_lease_keeper ks_lease_keeper_t;
typedef void (*ks_lease_func_t)(void *ctx, bool held);

ks_lease_keeper_t *ks_lease_keeper_new(ks_loop_t *loop, ks_store_t *store,
				       const ks_clock_t *boottime,
				       ks_rng_t *rng, const char *key,
				       const ks_id_t *holder,
				       int64_t lifetime_us,
				       ks_lease_func_t func, void *ctx);
void ks_lease_keeper_free(ks_lease_keeper_t *keeper);
void ks_lease_keeper_want(ks_lease_keeper_t *keeper, bool wanted);
bool ks_lease_keeper_is_held(const ks_lease_keeper_t *keeper);
int64_t ks_lease_keeper_remaining(const ks_lease_keeper_t *keeper);
uint64_t ks_lease_keeper_fence(const ks_lease_keeper_t *keeper);
bool ks_lease_keeper_is_idle(const ks_lease_keeper_t *keeper);
ks_store_write_t ks_lease_keeper_check(const ks_lease_keeper_t *keeper);

/* order.c: from target, plan and observed state to the next step */

/**
 * struct ks_order_target - what an engine is to become
 * @known: false when the snapshot has no engine of this name; no orders then
 * @adapters: array of char *, owned
 */
typedef struct ks_order_target {
	bool known;
	char model[64];
	char version[64];
	char domain[64];
	ks_engine_role_t role;
	GPtrArray *adapters;
} ks_order_target_t;

/**
 * enum ks_order_step - what the order driver does next
 * @KS_ORDER_STEP_SETTLED: nothing; the engine is at its target
 * @KS_ORDER_STEP_WAIT: nothing until something changes
 * @KS_ORDER_STEP_OBSERVE: observe the engine
 * @KS_ORDER_STEP_ACQUIRE: acquire the engine lease and the change slot
 * @KS_ORDER_STEP_DRAIN: refuse new requests and wait for those in flight
 * @KS_ORDER_STEP_PERMIT: acquire a load permit
 * @KS_ORDER_STEP_ORDER: send the order
 * @KS_ORDER_STEP_ACCEPT: take new requests again
 * @KS_ORDER_STEP_RELEASE: release the permit, the slot and the engine lease
 */
typedef enum ks_order_step {
	KS_ORDER_STEP_SETTLED,
	KS_ORDER_STEP_WAIT,
	KS_ORDER_STEP_OBSERVE,
	KS_ORDER_STEP_ACQUIRE,
	KS_ORDER_STEP_DRAIN,
	KS_ORDER_STEP_PERMIT,
	KS_ORDER_STEP_ORDER,
	KS_ORDER_STEP_ACCEPT,
	KS_ORDER_STEP_RELEASE,
} ks_order_step_t;

/**
 * struct ks_order_view - what the next step depends on
 * @target: what the engine is to become
 * @state: as last observed; NULL when it was not reached
 * @fresh: observed after the leases were acquired, after the last order ended,
 *	and a moment ago
 * @order_under_way: an order has been sent and has not ended
 * @stopping: no more orders
 * @leased: engine lease and change slot are held
 * @permitted: a load permit is held
 * @holding: some lease, slot or permit is wanted or held
 * @accepting: new requests are taken
 * @changing: the engine was drained for a change that has not ended
 * @abandoned: the change has sent no order and lost its leases for a lifetime
 * @in_flight: requests at the engine
 * @time_left_us: of the leases that are held, the least
 * @order_timeout_us: longest time that an order takes
 */
typedef struct ks_order_view {
	const ks_order_target_t *target;
	const ks_engine_state_t *state;
	bool fresh;
	bool order_under_way;
	bool stopping;
	bool leased;
	bool permitted;
	bool holding;
	bool accepting;
	bool changing;
	bool abandoned;
	unsigned in_flight;
	int64_t time_left_us;
	int64_t order_timeout_us;
} ks_order_view_t;

void ks_order_target_init(ks_order_target_t *target);
void ks_order_target_deinit(ks_order_target_t *target);
void ks_order_target_from_snapshot(ks_order_target_t *target,
				   const ks_snapshot_t *snapshot,
				   const char *upstream_id);
bool ks_order_needed(const ks_order_target_t *target,
		     const ks_engine_state_t *state, ks_order_t *order);
ks_order_step_t ks_order_next(const ks_order_view_t *view, ks_order_t *order);

/* orders.c: brings an engine to its target state by orders */

typedef struct ks_orders ks_orders_t;

/**
 * struct ks_orders_events - what the order module asks of the upstream process
 * @accepting: take new requests, or refuse them while the engine changes
 * @observed: the engine's state, each time that it was reached; never NULL
 */
typedef struct ks_orders_events {
	void (*accepting)(void *ctx, bool accepting);
	void (*observed)(void *ctx, const ks_engine_state_t *state);
} ks_orders_events_t;

ks_orders_t *ks_orders_new(ks_loop_t *loop, ks_store_t *store,
			   ks_engine_t *engine, const ks_clock_t *boottime,
			   ks_rng_t *rng, const ks_id_t *incarnation,
			   const char *upstream_id, int64_t lease_us,
			   const ks_orders_events_t *events, void *ctx);
void ks_orders_free(ks_orders_t *orders);
void ks_orders_set_snapshot(ks_orders_t *orders, ks_snapshot_t *snapshot);
void ks_orders_set_in_flight(ks_orders_t *orders, unsigned in_flight);
void ks_orders_stop(ks_orders_t *orders);
bool ks_orders_is_idle(const ks_orders_t *orders);

/* engine_http.c: order endpoint of an engine over HTTP */

typedef struct ks_engine_http {
	ks_engine_t engine;
	ks_http_client_t *client;
	ks_address_t address;
} ks_engine_http_t;

void ks_engine_http_init(ks_engine_http_t *driver, ks_http_client_t *client,
			 const ks_address_t *address);
void ks_engine_http_deinit(ks_engine_http_t *driver);

/* drain.c: whether an upstream process takes requests, and why not */

/**
 * enum ks_drain_reason - why new requests are refused
 *
 * A later reason hides an earlier one.
 */
typedef enum ks_drain_reason {
	KS_DRAIN_NONE,
	KS_DRAIN_NO_SNAPSHOT,
	KS_DRAIN_CHANGING,
	KS_DRAIN_WITHDRAWN,
	KS_DRAIN_HOST_LEAVING,
	KS_DRAIN_STOPPING,
} ks_drain_reason_t;

/* An entry's report outweighs the host list, which lags, for this long. */
#define KS_DRAIN_SEEN_HOLD_US (10 * KS_USEC_PER_SEC)

/**
 * struct ks_drain - what decides whether new requests are taken; pure
 * @in_flight: requests taken and not yet ended
 */
typedef struct ks_drain {
	bool has_snapshot;
	bool listed;
	bool changing;
	bool host_leaving;
	bool leaving_seen;
	bool stopping;
	int64_t leaving_seen_us;
	unsigned in_flight;
} ks_drain_t;

void ks_drain_init(ks_drain_t *drain);
void ks_drain_set_snapshot(ks_drain_t *drain, bool listed);
void ks_drain_set_changing(ks_drain_t *drain, bool changing);
void ks_drain_set_host_list(ks_drain_t *drain, bool leaving, int64_t asked_us);
void ks_drain_note_leaving_seen(ks_drain_t *drain, int64_t now_us);
void ks_drain_stop(ks_drain_t *drain);
void ks_drain_begin(ks_drain_t *drain);
void ks_drain_end(ks_drain_t *drain);
ks_drain_reason_t ks_drain_reason(const ks_drain_t *drain);
const char *ks_drain_reason_name(ks_drain_reason_t reason);
ks_upstream_state_t ks_drain_state(const ks_drain_t *drain);
bool ks_drain_is_accepting(const ks_drain_t *drain);
bool ks_drain_is_drained(const ks_drain_t *drain);

/* settings.c */

/**
 * struct ks_tenant_settings - a tenant of an entry
 * @key_sha256: SHA-256 of its API key, hexadecimal
 */
typedef struct ks_tenant_settings {
	char *name;
	char *key_sha256;
	double weight;
	unsigned priority;
	unsigned max_concurrency;
} ks_tenant_settings_t;

/**
 * struct ks_route_settings - a route to a plain service
 */
typedef struct ks_route_settings {
	char *path;
	char *method;
	char *service;
	bool idempotent;
	unsigned timeout_ms;
	unsigned priority;
	char *tenant;
} ks_route_settings_t;

/**
 * struct ks_log_level_settings - levels of single parts; NULL for log_level
 */
typedef struct ks_log_level_settings {
	char *main;
	char *http;
	char *link;
	char *route;
	char *ledger;
	char *store;
	char *config;
	char *lease;
	char *order;
	char *plan;
} ks_log_level_settings_t;

/**
 * struct ks_settings - settings of a daemon, read from YAML
 *
 * See docs/settings.md for each field, its unit, range and default.
 */
typedef struct ks_settings {
	char *role;
	char *name;
	char *domain;
	char *host;
	char *listen;
	char *upstream;
	char *endpoint;
	char *platform;
	char *platform_token;
	char *ready;
	char *metrics;
	char *peer;
	char *log_level;
	ks_log_level_settings_t log_levels;
	bool link_plain;
	char *link_public_key;
	char *link_secret_key;
	char *link_server_key;
	char **link_allowed_keys;
	unsigned link_allowed_keys_count;
	ks_tenant_settings_t *tenants;
	unsigned tenants_count;
	ks_route_settings_t *routes;
	unsigned routes_count;
	unsigned completion_timeout_ms;
	unsigned max_body_kib;
	unsigned max_answer_kib;
	unsigned max_requests;
	unsigned poll_ms;
	unsigned heartbeat_ms;
	unsigned silence_ms;
	unsigned drain_delay_ms;
	unsigned subset;
	char *routing_policy;
	unsigned lease_ms;
	unsigned store_writes_per_s;
	double role_change_cost;
	unsigned role_dwell_ms;
	char *operator_token_sha256;
	double stop_grace_s;
	double retry_ratio;
	double retry_slack;
	double retry_window_s;
	unsigned order_turns_ms;
	double prefill_share;
	unsigned leaving_notice_ms;
} ks_settings_t;

bool ks_settings_load(ks_settings_t **settings, const char *file,
		      GError **error);
bool ks_settings_parse(ks_settings_t **settings, ks_str_t yaml,
		       const char *file, GError **error);
void ks_settings_free(ks_settings_t *settings);
void ks_settings_init_logs(const ks_settings_t *settings);

/* config.c: keeps the snapshot in force up to date */

typedef struct ks_config ks_config_t;
typedef void (*ks_config_func_t)(void *ctx, ks_snapshot_t *snapshot);

ks_config_t *ks_config_new(ks_loop_t *loop, ks_store_t *store, ks_rng_t *rng,
			   int64_t poll_us, ks_config_func_t func, void *ctx);
void ks_config_free(ks_config_t *config);
void ks_config_note_version(ks_config_t *config, uint64_t version);
ks_snapshot_t *ks_config_current(const ks_config_t *config);
uint64_t ks_config_version(const ks_config_t *config);
void ks_config_offer(ks_config_t *config, uint64_t version, ks_str_t digest,
		     ks_str_t body);

/* planner.c: decides on role changes of one model's engines; pure */

typedef struct ks_planner ks_planner_t;

/**
 * struct ks_planner_options - what a role change costs and how long it lasts
 * @role_change_cost: engine-seconds of goodput that one engine-second out of
 *	service must earn back
 * @change_us: time that a role change takes an engine out of service
 * @dwell_us: least time between two changes; also the payback time, since a
 *	change is sure to last for no longer than that
 * @stale_us: a view of the engines older than this is not acted on
 */
typedef struct ks_planner_options {
	double role_change_cost;
	int64_t change_us;
	int64_t dwell_us;
	int64_t stale_us;
} ks_planner_options_t;

/**
 * struct ks_plan_engine - an engine of the model, as its heartbeat shows it
 * @role: according to the plan
 * @ready: its link is up and it takes requests
 * @changing: its link is up, but an order is under way or it has not reached
 *	@role yet
 * @in_flight: requests, of all entries
 */
typedef struct ks_plan_engine {
	ks_str_t id;
	ks_str_t domain;
	ks_engine_role_t role;
	bool ready;
	bool changing;
	unsigned in_flight;
} ks_plan_engine_t;

/**
 * struct ks_plan_change - one engine changes its role
 * @engine: index of the engine
 * @gain: engine-seconds of goodput gained over the payback time, less the cost
 */
typedef struct ks_plan_change {
	size_t engine;
	ks_engine_role_t from;
	ks_engine_role_t to;
	double gain;
} ks_plan_change_t;

/**
 * struct ks_planner_report - what a planner has done
 * @undone: changes that took an engine back to an earlier role within the dwell
 *	time
 */
typedef struct ks_planner_report {
	uint64_t changes;
	uint64_t undone;
} ks_planner_report_t;

ks_planner_t *ks_planner_new(const ks_planner_options_t *options);
void ks_planner_free(ks_planner_t *planner);
void ks_planner_observe(ks_planner_t *planner, double prefill, double decode,
			int64_t now_us);
void ks_planner_hold(ks_planner_t *planner, int64_t now_us);
bool ks_planner_decide(const ks_planner_t *planner,
		       const ks_plan_engine_t *engines, size_t n_engines,
		       int64_t view_us, bool lease_held, int64_t now_us,
		       ks_plan_change_t *change);
void ks_planner_changed(ks_planner_t *planner, ks_str_t engine,
			ks_engine_role_t from, ks_engine_role_t to,
			int64_t now_us);
const ks_planner_report_t *ks_planner_report(const ks_planner_t *planner);

/* planner_run.c: runs the planners of all models under the planner lease */

typedef struct ks_planner_run ks_planner_run_t;

/**
 * struct ks_planner_run_options - see struct ks_planner_options
 * @tick_us: time between two decisions
 */
typedef struct ks_planner_run_options {
	ks_planner_options_t planner;
	int64_t tick_us;
	int64_t lease_us;
} ks_planner_run_options_t;

ks_planner_run_t *ks_planner_run_new(ks_loop_t *loop, ks_store_t *store,
				     const ks_clock_t *boottime, ks_rng_t *rng,
				     const ks_id_t *incarnation,
				     const ks_planner_run_options_t *options);
void ks_planner_run_free(ks_planner_run_t *run);
void ks_planner_run_demand(ks_planner_run_t *run, const char *model,
			   double prefill_us, double decode_us);
void ks_planner_run_engines(ks_planner_run_t *run, const char *model,
			    const ks_plan_engine_t *engines, size_t n_engines,
			    double share);
bool ks_planner_run_role(const ks_planner_run_t *run, const char *model,
			 ks_str_t engine, ks_engine_role_t *role);
bool ks_planner_run_is_holder(const ks_planner_run_t *run);
ks_planner_report_t ks_planner_run_report(const ks_planner_run_t *run);

/* ledger.c: at most once for non-idempotent requests with a key */

typedef struct ks_ledger ks_ledger_t;
typedef struct ks_ledger_entry ks_ledger_entry_t;

/**
 * struct ks_ledger_events - what the ledger decides for a request
 * @dispatch: the claim is held; send attempt @attempt now, before its deadline
 * @replay: the request ran before; this is its answer
 * @fail: last event; the request is not dispatched by this entry
 */
typedef struct ks_ledger_events {
	void (*dispatch)(void *ctx, uint32_t attempt);
	void (*replay)(void *ctx, int status, ks_str_t content_type,
		       ks_str_t body);
	void (*fail)(void *ctx, ks_error_kind_t kind);
} ks_ledger_events_t;

ks_ledger_t *ks_ledger_new(ks_loop_t *loop, ks_store_t *store,
			   const ks_clock_t *wall, ks_rng_t *rng,
			   const ks_id_t *holder);
void ks_ledger_free(ks_ledger_t *ledger);
ks_ledger_entry_t *ks_ledger_begin(ks_ledger_t *ledger,
				   const ks_idempotency_key_t *key,
				   ks_str_t tenant, const uint8_t *fingerprint,
				   const ks_id_t *request, int64_t timeout_us,
				   const ks_ledger_events_t *events, void *ctx);
void ks_ledger_done(ks_ledger_entry_t *entry, int status, ks_str_t content_type,
		    ks_str_t body);
void ks_ledger_not_run(ks_ledger_entry_t *entry);
void ks_ledger_unknown(ks_ledger_entry_t *entry);
void ks_ledger_abandon(ks_ledger_entry_t *entry);
bool ks_ledger_is_idle(const ks_ledger_t *ledger);

/* claim_sweep.c: removes claims that are past their retention */

typedef struct ks_claim_sweep ks_claim_sweep_t;

ks_claim_sweep_t *ks_claim_sweep_new(ks_loop_t *loop, ks_store_t *store,
				     const ks_clock_t *wall, ks_rng_t *rng);
void ks_claim_sweep_free(ks_claim_sweep_t *sweep);

/* cli.c: the operators' command line */

int ks_cli_main(int argc, char **argv);

/* entry.c and upstream.c: the two roles */

typedef struct ks_entry ks_entry_t;
typedef struct ks_upstream_process ks_upstream_process_t;

ks_entry_t *ks_entry_new(ks_loop_t *loop, const ks_settings_t *settings,
			 GError **error);
uint16_t ks_entry_port(const ks_entry_t *entry);
void ks_entry_stop(ks_entry_t *entry);
void ks_entry_free(ks_entry_t *entry);

ks_upstream_process_t *ks_upstream_process_new(ks_loop_t *loop,
					       const ks_settings_t *settings,
					       GError **error);
void ks_upstream_process_stop(ks_upstream_process_t *process);
void ks_upstream_process_free(ks_upstream_process_t *process);

G_END_DECLS

#endif
