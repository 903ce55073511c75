/*
 * Keeps the lease for the calls that only one entry at a time may make. Load
 * pattern: a few calls per second by one holder, whose process may be killed or
 * frozen, or cut off from the store or from the platform, at any time. A new
 * holder first waits until no call of the previous one can still arrive among
 * its own.
 */
#include "ks/gateway.h"

#include <string.h>

#define CHECK_INTERVAL_US (500 * KS_USEC_PER_MSEC)
#define LEASE_KEY "lease/stages"

/* Added to the time within which calls of two holders must not interleave. */
#define SETTLE_MARGIN_US (700 * KS_USEC_PER_MSEC)

/* Minimum remaining lease time for sending a call. */
#define MIN_LEASE_LEFT_US (1000 * KS_USEC_PER_MSEC)

/*
 * A holder without answers for this time is probably cut off from the platform.
 * It leaves the lease to others for some time, in which another one can acquire
 * it and begin to make calls. If all of them get no answers, the lease changes
 * hands rarely, as each change costs a pause.
 */
#define UNANSWERED_MAX_US (2 * KS_USEC_PER_SEC)
#define YIELD_US (5 * KS_USEC_PER_SEC)
#define YIELD_INTERVAL_US (20 * KS_USEC_PER_SEC)

/**
 * struct duty_call - call in flight
 * @sent_us: when it was sent
 */
struct duty_call {
	ks_list_t node;
	ks_duty_lease_t *lease;
	int64_t sent_us;
	ks_duty_func_t func;
	void *ctx;
};

static int64_t boottime_now(const ks_duty_lease_t *lease)
{
	return ks_clock_now(lease->boottime);
}

static bool is_yielding(const ks_duty_lease_t *lease)
{
	return lease->yielded_us &&
	       boottime_now(lease) - lease->yielded_us < YIELD_US;
}

/*
 * The lease is kept while a call is in flight, as the next holder counts the
 * time in which none may arrive from when the lease is released.
 */
static bool is_wanted(const ks_duty_lease_t *lease)
{
	bool wanted = false;

	if (!ks_list_is_empty(&lease->calls) && ks_duty_lease_is_held(lease))
		return true;
	if (lease->stopping || is_yielding(lease))
		return false;
	KS_LIST_FOREACH (it, &lease->users)
		wanted |= KS_CONTAINER_OF(it, ks_duty_user_t, node)->wanted;
	/* Hundreds of entries that compete for the lease would load the store.
	 */
	return wanted && (!lease->peers || ks_duty_lease_is_held(lease) ||
			  ks_peers_is_poller(lease->peers));
}

static void update(ks_duty_lease_t *lease)
{
	ks_lease_keeper_set_wanted(lease->keeper, is_wanted(lease));
}

static void on_timer(void *ctx)
{
	ks_duty_lease_t *lease = ctx;

	update(lease);
	ks_timer_set(&lease->timer, CHECK_INTERVAL_US);
}

static void on_held(void *ctx, bool held)
{
	ks_duty_lease_t *lease = ctx;

	lease->unanswered_us = 0;
	if (held)
		lease->held_since_us = boottime_now(lease);
}

/**
 * ks_duty_lease_init() - set up a lease that is not wanted yet
 * @boottime: clock that includes the time during which the system is suspended
 * @turns_us: calls of two holders closer together than this count as
 *	interleaved; also the lifetime of the lease
 */
void ks_duty_lease_init(ks_duty_lease_t *lease, ks_loop_t *loop,
			ks_store_t *store, const ks_clock_t *boottime,
			ks_rng_t *rng, int64_t turns_us)
{
	ks_id_t holder;

	memset(lease, 0, sizeof(*lease));
	lease->loop = loop;
	lease->boottime = boottime;
	lease->settle_us = turns_us + SETTLE_MARGIN_US;
	ks_list_init(&lease->users);
	ks_list_init(&lease->calls);
	ks_id_generate_seeded(&holder, rng);
	lease->keeper =
		ks_lease_keeper_new(loop, store, boottime, rng, LEASE_KEY,
				    &holder, turns_us, on_held, lease);
	ks_timer_init(&lease->timer, loop, on_timer, lease);
	ks_timer_set(&lease->timer, CHECK_INTERVAL_US);
}

/**
 * ks_duty_lease_deinit() - free the lease without releasing it
 *
 * The driver must not call back for calls in flight any more.
 */
void ks_duty_lease_deinit(ks_duty_lease_t *lease)
{
	ks_timer_clear(&lease->timer);
	ks_lease_keeper_free(lease->keeper);
	KS_LIST_FOREACH_SAFE (it, tmp, &lease->calls)
		g_free(KS_CONTAINER_OF(it, struct duty_call, node));
}

/**
 * ks_duty_lease_add_user() - add a user that does not want the lease yet
 * @user: must outlive the lease
 */
void ks_duty_lease_add_user(ks_duty_lease_t *lease, ks_duty_user_t *user)
{
	user->lease = lease;
	user->wanted = false;
	ks_list_append(&lease->users, &user->node);
}

/**
 * ks_duty_lease_set_wanted() - set whether a user has something to do
 */
void ks_duty_lease_set_wanted(ks_duty_user_t *user, bool wanted)
{
	user->wanted = wanted;
	update(user->lease);
}

/**
 * ks_duty_lease_stop() - release the lease once no call is in flight
 */
void ks_duty_lease_stop(ks_duty_lease_t *lease)
{
	lease->stopping = true;
	update(lease);
}

/**
 * ks_duty_lease_forget() - permit no calls until the lease has been acquired
 * again, as the store has returned from an older copy and may have lost it
 * @era: of the store now, see struct ks_row
 */
void ks_duty_lease_forget(ks_duty_lease_t *lease, uint64_t era)
{
	KS_LIST_FOREACH (it, &lease->users) {
		ks_duty_user_t *user =
			KS_CONTAINER_OF(it, ks_duty_user_t, node);

		if (user->returned)
			user->returned(user, era);
	}
	ks_lease_keeper_forget(lease->keeper);
}

bool ks_duty_lease_is_held(const ks_duty_lease_t *lease)
{
	return ks_lease_keeper_is_held(lease->keeper);
}

/**
 * ks_duty_lease_is_settled() - whether the lease has been held for long enough
 * to make calls
 */
bool ks_duty_lease_is_settled(const ks_duty_lease_t *lease)
{
	return ks_duty_lease_is_held(lease) && !lease->stopping &&
	       boottime_now(lease) - lease->held_since_us >= lease->settle_us;
}

/**
 * ks_duty_lease_permit() - whether a call may be sent now
 * @fence: set to the fencing token for it
 *
 * To be called right before each send, as the lease may be lost between the
 * decision and the call.
 */
bool ks_duty_lease_permit(const ks_duty_lease_t *lease, uint64_t *fence)
{
	if (!ks_duty_lease_is_settled(lease) || is_yielding(lease) ||
	    ks_lease_keeper_remaining(lease->keeper) < MIN_LEASE_LEFT_US)
		return false;
	*fence = ks_lease_keeper_fence(lease->keeper);
	return true;
}

/* Gives up the lease if another entry may have a working path. */
static void check_answers(ks_duty_lease_t *lease)
{
	int64_t now = boottime_now(lease);

	if (!lease->unanswered_us || !ks_duty_lease_is_held(lease) ||
	    now - lease->unanswered_us < UNANSWERED_MAX_US ||
	    (lease->yielded_us && now - lease->yielded_us < YIELD_INTERVAL_US))
		return;
	if (!lease->peers || !ks_peers_n_active(lease->peers))
		return;
	ks_log(KS_LOG_LEASE, KS_LOG_WARN,
	       "gave up the lease, the platform does not answer for_ms=%" PRId64,
	       (now - lease->unanswered_us) / KS_USEC_PER_MSEC);
	lease->yielded_us = now;
}

static void on_answer(void *ctx, int status)
{
	struct duty_call *call = ctx;
	ks_duty_lease_t *lease = call->lease;

	if (status)
		lease->unanswered_us = 0;
	else if (!lease->unanswered_us)
		lease->unanswered_us = call->sent_us;
	ks_list_remove(&call->node);
	check_answers(lease);
	call->func(call->ctx, status);
	g_free(call);
	update(lease);
}

/**
 * ks_duty_lease_call() - make a call if the lease permits it
 * @func: as for struct ks_duty_driver
 *
 * Return: false if the call was not made.
 */
bool ks_duty_lease_call(ks_duty_lease_t *lease, const ks_duty_driver_t *driver,
			ks_duty_kind_t kind, ks_str_t body, ks_duty_func_t func,
			void *ctx)
{
	struct duty_call *call;
	uint64_t fence;

	if (!ks_duty_lease_permit(lease, &fence))
		return false;
	call = g_new0(struct duty_call, 1);
	call->lease = lease;
	call->sent_us = boottime_now(lease);
	call->func = func;
	call->ctx = ctx;
	ks_list_append(&lease->calls, &call->node);
	driver->call(driver->impl, kind, body, fence, on_answer, call);
	return true;
}
