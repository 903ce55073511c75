/* What the files of the order driver share. */
#ifndef KS_PROCESS_ORDERS_H
#define KS_PROCESS_ORDERS_H

#include "ks/control.h"

/**
 * struct ks_orders - the orders to one engine
 * @state: as last observed; valid if @state_known
 * @observed_us: before the observation was sent, boot-time clock
 * @valid_from_us: observations sent earlier do not count for an order
 * @plan_role: role that the plan gives; valid if @planned
 * @ordered: an order has been sent since the engine was drained
 * @releasing: nothing else happens until all leases are released
 * @refence: the engine lease is acquired again for a new fencing number
 * @leased_us: when the engine lease and the slot were last held
 * @refs: operations under way that call back
 * @gone: freed while operations are under way
 */
struct ks_orders {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_engine_t *engine;
	const ks_clock_t *boottime;
	ks_rng_t *rng;
	ks_id_t incarnation;
	char *upstream_id;
	int64_t lease_us;
	const ks_orders_events_t *events;
	void *ctx;
	ks_order_target_t target;
	ks_engine_role_t snapshot_role;
	bool planned;
	ks_engine_role_t plan_role;
	uint64_t plan_number;
	ks_engine_state_t state;
	bool state_known;
	int64_t observed_us;
	int64_t observe_sent_us;
	int64_t valid_from_us;
	bool observing;
	bool ordering;
	bool polling_plan;
	bool accepting;
	bool changing;
	bool stopping;
	unsigned in_flight;
	ks_lease_keeper_t *lease;
	ks_lease_keeper_t *slot;
	ks_lease_keeper_t *permit;
	ks_timer_t advance;
	ks_timer_t observe_timer;
	ks_timer_t plan_timer;
	ks_backoff_t backoff;
	bool ordered;
	bool releasing;
	bool refence;
	int64_t leased_us;
	unsigned refs;
	bool gone;
};

void ks_orders_schedule(ks_orders_t *orders, int64_t delay_us);
bool ks_orders_end_operation(ks_orders_t *orders);

/* orders_lease.c */

void ks_orders_acquire(ks_orders_t *orders);
void ks_orders_acquire_permit(ks_orders_t *orders);
void ks_orders_release(ks_orders_t *orders);
void ks_orders_renew_fence(ks_orders_t *orders);
bool ks_orders_is_leased(const ks_orders_t *orders);
bool ks_orders_is_permitted(const ks_orders_t *orders);
int64_t ks_orders_time_left(const ks_orders_t *orders);

/* orders_plan.c */

void ks_orders_apply_role(ks_orders_t *orders);
void ks_orders_poll_plan(void *ctx);

#endif
