/*
 * duty: calls that only one entry at a time may make, and the lease that
 * decides which one. Included by ks/gateway.h.
 */
#ifndef KS_DUTY_H
#define KS_DUTY_H

#include "ks/connection.h"
#include "ks/core.h"
#include "ks/store.h"

G_BEGIN_DECLS

struct ks_peers;

typedef struct ks_duty_lease ks_duty_lease_t;

/**
 * struct ks_duty_user - something that is done by the holder of the lease
 * @wanted: has something to do; see ks_duty_lease_set_wanted()
 * @returned: called when the store has returned from an older copy, before the
 *	lease counts as not held; may be NULL
 */
typedef struct ks_duty_user {
	ks_list_t node;
	ks_duty_lease_t *lease;
	bool wanted;
	void (*returned)(struct ks_duty_user *user, uint64_t era);
} ks_duty_user_t;

/**
 * struct ks_duty_lease - the lease for all duties of an entry
 * @peers: other entries; the lease is left to a few of them. NULL for none.
 * @users: list of ks_duty_user_t
 * @calls: list of struct duty_call, in flight to the platform
 * @settle_us: how long the lease must have been held before the first call
 * @held_since_us: when the lease was acquired, on the boot-time clock
 * @unanswered_us: when the first call was sent that was not answered and that
 *	no answered one has followed; 0 if there is none
 * @yielded_us: when the lease was last given up for lack of answers, 0 if never
 * @stopping: this entry ends and makes no more calls
 */
struct ks_duty_lease {
	ks_loop_t *loop;
	const ks_clock_t *boottime;
	const struct ks_peers *peers;
	ks_lease_keeper_t *keeper;
	ks_list_t users;
	ks_list_t calls;
	ks_timer_t timer;
	int64_t settle_us;
	int64_t held_since_us;
	int64_t unanswered_us;
	int64_t yielded_us;
	bool stopping;
};

/**
 * enum ks_duty_kind - kinds of calls
 */
typedef enum ks_duty_kind {
	KS_DUTY_USAGE,
	KS_DUTY_SCALE,
} ks_duty_kind_t;

/* @status: HTTP status; 0 if no answer came, and the call may have arrived */
typedef void (*ks_duty_func_t)(void *ctx, int status);

/**
 * struct ks_usage_count - requests of an organisation
 */
typedef struct ks_usage_count {
	const char *name;
	uint64_t count;
} ks_usage_count_t;

/**
 * struct ks_duty_driver - makes calls to the platform
 * @call: send @body, which is copied, and report the result to @func once,
 *	after @call has returned
 * @format_usage: write the body of a usage report, to be freed with g_free();
 *	it has no line breaks
 * @format_scale: write the body of an order of a number of upstreams, to be
 *	freed with g_free()
 */
typedef struct ks_duty_driver {
	void (*call)(void *impl, ks_duty_kind_t kind, ks_str_t body,
		     uint64_t fence, ks_duty_func_t func, void *ctx);
	char *(*format_usage)(void *impl, int64_t window,
			      const ks_usage_count_t *counts, size_t n);
	char *(*format_scale)(void *impl, const char *service,
			      const char *domain, unsigned desired);
	void *impl;
} ks_duty_driver_t;

void ks_duty_lease_init(ks_duty_lease_t *lease, ks_loop_t *loop,
			ks_store_t *store, const ks_clock_t *boottime,
			ks_rng_t *rng, int64_t turns_us);
void ks_duty_lease_deinit(ks_duty_lease_t *lease);
void ks_duty_lease_add_user(ks_duty_lease_t *lease, ks_duty_user_t *user);
void ks_duty_lease_set_wanted(ks_duty_user_t *user, bool wanted);
void ks_duty_lease_stop(ks_duty_lease_t *lease);
void ks_duty_lease_forget(ks_duty_lease_t *lease, uint64_t era);
bool ks_duty_lease_is_held(const ks_duty_lease_t *lease);
bool ks_duty_lease_is_settled(const ks_duty_lease_t *lease);
bool ks_duty_lease_permit(const ks_duty_lease_t *lease, uint64_t *fence);
bool ks_duty_lease_call(ks_duty_lease_t *lease, const ks_duty_driver_t *driver,
			ks_duty_kind_t kind, ks_str_t body, ks_duty_func_t func,
			void *ctx);

G_END_DECLS

#endif
