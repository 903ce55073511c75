/*
 * scale: how many upstreams each failure domain of a service should have.
 * Included by ks/gateway.h.
 */
#ifndef KS_SCALE_H
#define KS_SCALE_H

#include "ks/core.h"

G_BEGIN_DECLS

/* scale.c */

/**
 * struct ks_scale_limits - what the configuration states for a service
 * @min, @max: number of upstreams of each failure domain
 * @boot_us: time until a new upstream serves, in microseconds
 */
typedef struct ks_scale_limits {
	unsigned min;
	unsigned max;
	int64_t boot_us;
} ks_scale_limits_t;

/**
 * struct ks_scale_observation - state of a failure domain at one time
 * @demand: requests that are running or waiting there, in any unit
 * @capacity: what one upstream handles of it, in the same unit
 * @current: number of upstreams that accept requests
 * @is_complete: the requests of all entries are included. If not, the demand is
 *	at least @demand.
 */
typedef struct ks_scale_observation {
	double demand;
	double capacity;
	unsigned current;
	bool is_complete;
} ks_scale_observation_t;

/* Parts of the window over which the demand is observed; a multiple of 3. */
#define KS_SCALE_BUCKETS 30

/**
 * struct ks_scale_bucket - loads observed during a part of the window, in
 * upstreams
 */
typedef struct ks_scale_bucket {
	double peak;
	double sum;
	unsigned n;
} ks_scale_bucket_t;

/**
 * struct ks_scale_domain - decisions for one failure domain
 * @buckets: loads of the window and of the bucket that is being filled, by
 *	number of the bucket
 * @bucket: number of the latest bucket
 * @load: latest load, in upstreams
 * @current: latest number of upstreams
 * @observed_us: when @load and @current were observed, 0 before
 * @complete_since_us: since when observations have been complete and without
 *	gaps; meaningless if @observed_us is 0
 * @needed_us: when @desired upstreams were last needed
 * @has_desired: @desired is known; if not, nothing is to be ordered
 * @desired: how many upstreams the failure domain should have
 */
typedef struct ks_scale_domain {
	char *name;
	ks_scale_bucket_t buckets[KS_SCALE_BUCKETS + 1];
	int64_t bucket;
	double load;
	unsigned current;
	int64_t observed_us;
	int64_t complete_since_us;
	int64_t needed_us;
	bool has_desired;
	unsigned desired;
} ks_scale_domain_t;

/**
 * struct ks_scale - decisions for one service
 * @domains: ks_scale_domain_t
 * @forgotten_us: when ks_scale_forget_orders() was called last
 * @lowered_us: when a number was last lowered
 */
typedef struct ks_scale {
	ks_scale_limits_t limits;
	GPtrArray *domains;
	int64_t forgotten_us;
	int64_t lowered_us;
} ks_scale_t;

void ks_scale_init(ks_scale_t *scale, int64_t now_us);
void ks_scale_deinit(ks_scale_t *scale);
void ks_scale_set_limits(ks_scale_t *scale, const ks_scale_limits_t *limits);
void ks_scale_forget_orders(ks_scale_t *scale, int64_t now_us);
void ks_scale_observe(ks_scale_t *scale, const char *domain,
		      const ks_scale_observation_t *observation,
		      int64_t now_us);
void ks_scale_decide(ks_scale_t *scale, int64_t now_us);
int64_t ks_scale_window_us(const ks_scale_limits_t *limits);

G_END_DECLS

#endif
