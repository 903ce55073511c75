/*
 * scale_run: orders the number of upstreams of services while holding the lease
 * for duties.
 */
#ifndef KS_SCALE_RUN_H
#define KS_SCALE_RUN_H

#include "ks/gateway.h"

G_BEGIN_DECLS

/**
 * struct ks_scale_run - orders the number of upstreams
 * @peers: other entries, NULL for none
 * @services: struct scaled_service by name
 * @calls: list of struct scale_call, in flight to the platform
 * @fence: fencing token under which the latest orders were decided, 0 before
 * @order_calls: calls by their result: acknowledged, refused, without answer
 * @desired, @current: sum over all services and failure domains; 0 without the
 *	lease
 * @incomplete: whether the load of some entries is not known
 */
typedef struct ks_scale_run {
	ks_loop_t *loop;
	const ks_fleet_t *fleet;
	const ks_peers_t *peers;
	ks_duty_lease_t *lease;
	ks_duty_user_t user;
	const ks_duty_driver_t *driver;
	GHashTable *services;
	ks_list_t calls;
	unsigned n_calls;
	uint64_t fence;
	ks_timer_t timer;
	ks_counter_t *order_calls[3];
	ks_counter_t *desired;
	ks_counter_t *current;
	ks_counter_t *incomplete;
} ks_scale_run_t;

void ks_scale_run_init(ks_scale_run_t *run, ks_loop_t *loop,
		       const ks_fleet_t *fleet, const ks_peers_t *peers,
		       ks_duty_lease_t *lease, const ks_duty_driver_t *driver,
		       ks_metrics_t *metrics);
void ks_scale_run_deinit(ks_scale_run_t *run);
void ks_scale_run_set_services(ks_scale_run_t *run,
			       const ks_traffic_t *traffic);

G_END_DECLS

#endif
