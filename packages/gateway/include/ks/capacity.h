/*
 * capacity: how fast each upstream of a service is, learned from its responses.
 * Included by ks/gateway.h.
 */
#ifndef KS_CAPACITY_H
#define KS_CAPACITY_H

#include "ks/core.h"

G_BEGIN_DECLS

/**
 * enum ks_work - kinds of work whose speed is learned, and their units
 * @KS_WORK_PREFILL: prompt tokens that a prefill engine processes, those of
 *	earlier requests there included
 * @KS_WORK_DIRECT: the same for an engine that runs the request as well, up to
 *	its first event
 * @KS_WORK_EVENTS: events of a stream after the first one
 * @KS_WORK_CALL: calls to a plain service
 */
typedef enum ks_work {
	KS_WORK_PREFILL,
	KS_WORK_DIRECT,
	KS_WORK_EVENTS,
	KS_WORK_CALL,
	KS_N_WORKS,
} ks_work_t;

/**
 * struct ks_speed_estimate - moving average of the time for a unit of work
 * @log_us: mean of the logarithms of the times in microseconds
 * @weight: number of observations, as of @at_us; it decays
 */
typedef struct ks_speed_estimate {
	double log_us;
	double weight;
	int64_t at_us;
} ks_speed_estimate_t;

/**
 * struct ks_capacity - what is known of the speed of an upstream
 * @own: from the responses to this entry
 * @peers: sums over the other entries, of weights and of weighted logarithms,
 *	in units of capacity.c
 * @slowness: time that it takes relative to the median upstream of its
 *	service; 1 if nothing is known of it
 * @event_us: time between two events of its streams, 0 if unknown
 * @direct_us: time for which a prompt token that it prefills holds up its
 *	streams, 0 if unknown
 * @is_known: any entry has observed it lately
 * @is_slow: as last reported, with the time @reported_us
 */
typedef struct ks_capacity {
	ks_speed_estimate_t own[KS_N_WORKS];
	struct {
		int64_t weight;
		int64_t sum;
	} peers[KS_N_WORKS];
	double slowness;
	double event_us;
	double direct_us;
	bool is_known;
	bool is_slow;
	int64_t reported_us;
} ks_capacity_t;

void ks_capacity_init(ks_capacity_t *capacity);
void ks_capacity_record(ks_capacity_t *capacity, ks_work_t work, double unit_us,
			int64_t now_us);
bool ks_capacity_get_own(const ks_capacity_t *capacity, ks_work_t work,
			 int64_t now_us, double *log_us, double *weight);
bool ks_capacity_get(const ks_capacity_t *capacity, ks_work_t work,
		     int64_t now_us, double *unit_us);
void ks_capacity_add_peer(ks_capacity_t *capacity, ks_work_t work,
			  double log_us, double weight);
void ks_capacity_remove_peer(ks_capacity_t *capacity, ks_work_t work,
			     double log_us, double weight);
void ks_capacities_compare(ks_capacity_t *const *list, size_t n,
			   int64_t now_us);
bool ks_capacity_update_report(ks_capacity_t *capacity, int64_t now_us);

G_END_DECLS

#endif
