/* Internals of the order driver: orders.c, orders_lease.c, orders_plan.c. */
#ifndef KS_CONTROL_ORDERS_H
#define KS_CONTROL_ORDERS_H

#include "ks/control.h"

/**
 * struct ks_order_driver - brings one engine to its target state
 * @target: desired state
 * @snapshot_role: role in the snapshot, used unless @planned
 * @planned: the plan of the engine's model names this engine
 * @plan_role: role in the plan; valid if @planned
 * @plan_number: number of the newest plan read
 * @state: last observed state; valid if @state_known
 * @observed_us: when the request for @state was sent, on @boottime
 * @observe_started_us: when the last request for the state was sent
 * @fresh_from_us: no order is sent on an observation started before this
 * @accepting: new requests are accepted
 * @changing: the engine was drained for a change that has not ended
 * @lease: engine lease; its fencing token goes into the orders
 * @slot: change slot, a lease per model and failure domain
 * @permit: load permit, a lease that limits reads from the weight store
 * @order_sent: an order has been sent since the engine was drained
 * @releasing: all leases are being released; no other step is run until then
 * @refresh_fence: the engine lease is being released, to acquire it again with
 *	a new fencing token
 * @leases_held_us: last time at which the engine lease and the slot were held
 * @refs: number of pending operations that will call back
 * @freed: the owner freed the driver; the memory stays until @refs is 0
 */
struct ks_order_driver {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_engine_t *engine;
	const ks_clock_t *boottime;
	ks_rng_t *rng;
	ks_id_t incarnation;
	char *upstream_id;
	int64_t lease_us;
	const ks_order_driver_events_t *events;
	void *ctx;
	ks_order_target_t target;
	ks_engine_role_t snapshot_role;
	bool planned;
	ks_engine_role_t plan_role;
	uint64_t plan_number;
	ks_engine_state_t state;
	bool state_known;
	int64_t observed_us;
	int64_t observe_started_us;
	int64_t fresh_from_us;
	bool observing;
	bool order_pending;
	bool polling_plan;
	bool accepting;
	bool changing;
	bool stopping;
	unsigned in_flight;
	ks_lease_keeper_t *lease;
	ks_lease_keeper_t *slot;
	ks_lease_keeper_t *permit;
	ks_timer_t step_timer;
	ks_timer_t observe_timer;
	ks_timer_t plan_timer;
	ks_backoff_t backoff;
	bool order_sent;
	bool releasing;
	bool refresh_fence;
	int64_t leases_held_us;
	unsigned refs;
	bool freed;
};

void ks_order_driver_schedule(ks_order_driver_t *driver, int64_t delay_us);
bool ks_order_driver_end_operation(ks_order_driver_t *driver);

/* orders_lease.c */

void ks_order_driver_acquire(ks_order_driver_t *driver);
void ks_order_driver_acquire_permit(ks_order_driver_t *driver);
void ks_order_driver_release(ks_order_driver_t *driver);
void ks_order_driver_refresh_fence(ks_order_driver_t *driver);
bool ks_order_driver_leases_held(const ks_order_driver_t *driver);
bool ks_order_driver_permit_held(const ks_order_driver_t *driver);
int64_t ks_order_driver_time_left(const ks_order_driver_t *driver);

/* orders_plan.c */

void ks_order_driver_apply_role(ks_order_driver_t *driver);
void ks_order_driver_poll_plan(void *ctx);

#endif
