/*
 * control: changes of the fleet: publishing a release note, orders to engines
 * and the planner of their roles.
 */
#ifndef KS_CONTROL_H
#define KS_CONTROL_H

#include "ks/store.h"

G_BEGIN_DECLS

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
 * @KS_ORDER_STEP_NONE: nothing; the engine is at its target
 * @KS_ORDER_STEP_WAIT: nothing until something changes
 * @KS_ORDER_STEP_OBSERVE: observe the engine
 * @KS_ORDER_STEP_ACQUIRE: acquire the engine lease and the change slot
 * @KS_ORDER_STEP_DRAIN: refuse new requests and wait for those in flight
 * @KS_ORDER_STEP_ACQUIRE_PERMIT: acquire a load permit
 * @KS_ORDER_STEP_SEND: send the order
 * @KS_ORDER_STEP_ACCEPT: take new requests again
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
 * struct ks_order_view - what the next step depends on
 * @target: what the engine is to become
 * @state: as last observed; NULL when it was not reached
 * @fresh: observed after the leases were acquired, after the last order ended,
 *	and a moment ago
 * @order_pending: an order has been sent and has not ended
 * @stopping: no more orders
 * @leases_held: engine lease and change slot are held
 * @permit_held: a load permit is held
 * @lease_requested: some lease, slot or permit is wanted or held
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

/* orders.c: brings an engine to its target state by orders */

typedef struct ks_order_driver ks_order_driver_t;

/**
 * struct ks_order_driver_events - what the order module asks of the upstream
 * process
 * @accepting: take new requests, or refuse them while the engine changes
 * @observed: the engine's state, each time that it was reached; never NULL
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

/* engine_http.c: order endpoint of an engine over HTTP */

typedef struct ks_engine_http {
	ks_engine_t engine;
	ks_http_client_t *client;
	ks_address_t address;
} ks_engine_http_t;

void ks_engine_http_init(ks_engine_http_t *driver, ks_http_client_t *client,
			 const ks_address_t *address);
void ks_engine_http_deinit(ks_engine_http_t *driver);

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
void ks_planner_hold_off(ks_planner_t *planner, int64_t now_us);
bool ks_planner_decide(const ks_planner_t *planner,
		       const ks_plan_engine_t *engines, size_t n_engines,
		       int64_t view_us, bool lease_held, int64_t now_us,
		       ks_plan_change_t *change);
void ks_planner_record_change(ks_planner_t *planner, ks_str_t engine,
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
