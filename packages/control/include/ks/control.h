/*
 * control: the control plane. It publishes release notes, sends orders to
 * engines (load a model or an adapter, change the role), and plans which
 * engines run prefill, decode or both.
 */
#ifndef KS_CONTROL_H
#define KS_CONTROL_H

#include "ks/store.h"

G_BEGIN_DECLS

/* publish.c: publish a release note as the next configuration version */

typedef struct ks_publish ks_publish_t;

/**
 * struct ks_publish_result - outcome of publishing a release note
 * @kind: KS_ERROR_NONE: the note was published as @version.
 *	KS_ERROR_CONFLICT: another note was published as that version.
 *	KS_ERROR_OUTCOME_UNKNOWN: the store did not confirm or deny the write,
 *	so the note may have been published.
 *	KS_ERROR_STORE_UNAVAILABLE: the note was not published and will not be.
 *	KS_ERROR_BAD_REQUEST: the note cannot be applied to its base version,
 *	or that version has not been published.
 * @version: published version; if @kind is an error, the last head version read
 * @message: error text; empty for KS_ERROR_NONE
 * @difference: for a conflict, the changes since the note's base version; may
 *	be empty
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

/* Orders to an engine and its observed state */

typedef enum ks_order_kind {
	KS_ORDER_LOAD_MODEL,
	KS_ORDER_UNLOAD_MODEL,
	KS_ORDER_LOAD_ADAPTER,
	KS_ORDER_UNLOAD_ADAPTER,
	KS_ORDER_SET_ROLE,
} ks_order_kind_t;

/**
 * struct ks_order - a command to an engine
 * @fence: fencing token of the engine lease under which the order is sent; an
 *	engine that checks tokens refuses an order with a lower token than an
 *	earlier one had
 * @name: model or adapter; empty for KS_ORDER_SET_ROLE
 * @version: of the model; empty for the other kinds
 * @role: new role, for KS_ORDER_SET_ROLE
 */
typedef struct ks_order {
	ks_order_kind_t kind;
	uint64_t fence;
	char name[64];
	char version[64];
	ks_engine_role_t role;
} ks_order_t;

/**
 * struct ks_engine_state - state that an engine reports
 * @model: loaded model; empty if none
 * @adapters: names of the loaded adapters (char *)
 * @busy_with_order: an order is being executed
 * @fence: highest fencing token that the engine has accepted
 * @running: requests in the current batch
 * @waiting: requests in the engine's queue
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

/**
 * enum ks_order_outcome - result of an order
 * @KS_ORDER_DONE: the engine executed it
 * @KS_ORDER_REFUSED: the engine rejected it without effect
 * @KS_ORDER_NOT_SENT: it did not reach the engine
 * @KS_ORDER_OUTCOME_UNKNOWN: it may have taken effect, or still may
 */
typedef enum ks_order_outcome {
	KS_ORDER_DONE,
	KS_ORDER_REFUSED,
	KS_ORDER_NOT_SENT,
	KS_ORDER_OUTCOME_UNKNOWN,
} ks_order_outcome_t;

typedef void (*ks_order_func_t)(void *ctx, ks_order_outcome_t outcome);
typedef void (*ks_observe_func_t)(void *ctx, const ks_engine_state_t *state);

/**
 * struct ks_engine - interface to an engine's order endpoint
 * @observe: reads the engine's state; calls back with NULL if the engine cannot
 *	be reached or its response is invalid
 * @order: sends an order; calls back exactly once
 * @impl: first argument of both functions
 */
typedef struct ks_engine {
	void (*observe)(void *impl, ks_observe_func_t func, void *ctx);
	void (*order)(void *impl, const ks_order_t *order, int64_t timeout_us,
		      ks_order_func_t func, void *ctx);
	void *impl;
} ks_engine_t;

/* order.c: choose the next step from the target and the observed state */

/**
 * struct ks_order_target - desired state of an engine
 * @known: the snapshot configures this engine and its model; if false, no
 *	orders are sent
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
 * enum ks_order_step - next action of the order driver
 * @KS_ORDER_STEP_NONE: nothing to do; the engine is in its target state
 * @KS_ORDER_STEP_WAIT: wait for an event or for the next state poll
 * @KS_ORDER_STEP_OBSERVE: read the engine's state
 * @KS_ORDER_STEP_ACQUIRE: acquire the change slot and the engine lease. The
 *	change slot is a lease per model and failure domain, so that at most one
 *	of a model's engines in a domain is changed at a time.
 * @KS_ORDER_STEP_DRAIN: refuse new requests and wait for those in flight
 * @KS_ORDER_STEP_ACQUIRE_PERMIT: acquire a load permit, one of a fixed number
 *	of leases that limit concurrent reads from the weight store
 * @KS_ORDER_STEP_SEND: send the order
 * @KS_ORDER_STEP_ACCEPT: accept new requests again
 * @KS_ORDER_STEP_RELEASE: release the permit, the slot and the engine lease
 */
typedef enum ks_order_step {
	KS_ORDER_STEP_NONE,
	KS_ORDER_STEP_WAIT,
	KS_ORDER_STEP_OBSERVE,
	KS_ORDER_STEP_ACQUIRE,
	KS_ORDER_STEP_DRAIN,
	KS_ORDER_STEP_ACQUIRE_PERMIT,
	KS_ORDER_STEP_SEND,
	KS_ORDER_STEP_ACCEPT,
	KS_ORDER_STEP_RELEASE,
} ks_order_step_t;

/**
 * struct ks_order_view - input of ks_order_next()
 * @target: desired state
 * @state: last observed state; NULL if the last attempt to read it failed
 * @fresh: @state was read after the leases were acquired and after the last
 *	order ended, and is only a few seconds old
 * @order_pending: an order was sent and has not called back
 * @stopping: the process is stopping; no more orders are sent
 * @leases_held: both the engine lease and the change slot are held
 * @permit_held: a load permit is held
 * @lease_requested: a lease, slot or permit is being acquired or is held
 * @accepting: new requests are accepted
 * @changing: the engine was drained for a change that has not ended
 * @abandoned: since the engine was drained no order was sent, and the engine
 *	lease and the change slot have not both been held for a lease lifetime
 * @in_flight: number of requests at the engine
 * @time_left_us: shortest remaining time of the leases that are held
 * @order_timeout_us: timeout of an order
 */
typedef struct ks_order_view {
	const ks_order_target_t *target;
	const ks_engine_state_t *state;
	bool fresh;
	bool order_pending;
	bool stopping;
	bool leases_held;
	bool permit_held;
	bool lease_requested;
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

/* orders.c: bring an engine to its target state by sending orders */

typedef struct ks_order_driver ks_order_driver_t;

/**
 * struct ks_order_driver_events - callbacks to the upstream process
 * @accepting: accept new requests, or refuse them while the engine changes
 * @observed: called each time the engine's state was read; @state is never NULL
 */
typedef struct ks_order_driver_events {
	void (*accepting)(void *ctx, bool accepting);
	void (*observed)(void *ctx, const ks_engine_state_t *state);
} ks_order_driver_events_t;

ks_order_driver_t *
ks_order_driver_new(ks_loop_t *loop, ks_store_t *store, ks_engine_t *engine,
		    const ks_clock_t *boottime, ks_rng_t *rng,
		    const ks_id_t *incarnation, const char *upstream_id,
		    int64_t lease_us, const ks_order_driver_events_t *events,
		    void *ctx);
void ks_order_driver_free(ks_order_driver_t *driver);
void ks_order_driver_set_snapshot(ks_order_driver_t *driver,
				  ks_snapshot_t *snapshot);
void ks_order_driver_set_in_flight(ks_order_driver_t *driver,
				   unsigned in_flight);
void ks_order_driver_stop(ks_order_driver_t *driver);
bool ks_order_driver_is_idle(const ks_order_driver_t *driver);

/* engine_http.c: HTTP client of an engine's order endpoint */

typedef struct ks_engine_http {
	ks_engine_t engine;
	ks_http_client_t *client;
	ks_address_t address;
} ks_engine_http_t;

void ks_engine_http_init(ks_engine_http_t *driver, ks_http_client_t *client,
			 const ks_address_t *address);
void ks_engine_http_deinit(ks_engine_http_t *driver);

/* planner.c: decide on role changes of a model's engines; performs no I/O */

typedef struct ks_planner ks_planner_t;

/**
 * struct ks_planner_options - cost and timing of role changes
 * @role_change_cost: goodput, in engine-seconds, that must be gained for each
 *	second that the engine is out of service
 * @change_us: time that a role change takes an engine out of service
 * @dwell_us: minimum time between two changes. Also the payback time, since
 *	a change is not guaranteed to last longer than this.
 * @stale_us: no decision is made on a view of the engines older than this
 */
typedef struct ks_planner_options {
	double role_change_cost;
	int64_t change_us;
	int64_t dwell_us;
	int64_t stale_us;
} ks_planner_options_t;

/**
 * struct ks_plan_engine - an engine of the model, as reported by its heartbeat
 * @role: planned role
 * @ready: its link is up and it accepts requests
 * @changing: its link is up, but it is executing an order or does not have
 *	@role yet
 * @in_flight: number of requests from all entries
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
 * struct ks_plan_change - a role change of one engine
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
 * struct ks_planner_report - counters of a planner
 * @changes: role changes made, including those whose outcome is unknown
 * @undone: changes that returned an engine to an earlier role within the dwell
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
void ks_planner_hold_off(ks_planner_t *planner, int64_t now_us);
bool ks_planner_decide(const ks_planner_t *planner,
		       const ks_plan_engine_t *engines, size_t n_engines,
		       int64_t view_us, bool lease_held, int64_t now_us,
		       ks_plan_change_t *change);
void ks_planner_record_change(ks_planner_t *planner, ks_str_t engine,
			      ks_engine_role_t from, ks_engine_role_t to,
			      int64_t now_us);
const ks_planner_report_t *ks_planner_report(const ks_planner_t *planner);

/* planner_run.c: run the planners of all models under the planner lease */

typedef struct ks_planner_run ks_planner_run_t;

/**
 * struct ks_planner_run_options - options of ks_planner_run_new()
 * @planner: for the planner of each model
 * @tick_us: interval between two decisions
 * @lease_us: lifetime of the planner lease
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
void ks_planner_run_add_demand(ks_planner_run_t *run, const char *model,
			       double prefill_us, double decode_us);
void ks_planner_run_set_engines(ks_planner_run_t *run, const char *model,
				const ks_plan_engine_t *engines,
				size_t n_engines, double share);
bool ks_planner_run_role(const ks_planner_run_t *run, const char *model,
			 ks_str_t engine, ks_engine_role_t *role);
bool ks_planner_run_is_holder(const ks_planner_run_t *run);
ks_planner_report_t ks_planner_run_report(const ks_planner_run_t *run);

G_END_DECLS

#endif
