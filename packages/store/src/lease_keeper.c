/* Acquires, renews and releases a lease in the store as its owner requests. */
#include "ks/store.h"

#define BACKOFF_BASE_US (100 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * KS_USEC_PER_SEC)

/**
 * struct ks_lease_keeper - runs the state machine of a lease over a store
 * @step_timer: runs the next step
 * @expiry_timer: fires when the lease expires
 * @wanted: the owner wants to hold the lease
 * @op_pending: a store operation will call back
 * @reported: value of the last call of @func
 * @freed: freed by the owner; the pending callback frees the memory
 * @release_until_us: end of the attempts to release, when the lease has expired
 *	anyway
 */
struct ks_lease_keeper {
	ks_lease_t lease;
	ks_loop_t *loop;
	ks_store_t *store;
	const ks_clock_t *boottime;
	ks_rng_t *rng;
	char *key;
	ks_lease_func_t func;
	void *ctx;
	ks_timer_t step_timer;
	ks_timer_t expiry_timer;
	ks_backoff_t backoff;
	bool wanted;
	bool op_pending;
	bool reported;
	bool freed;
	int64_t release_until_us;
};

static void run_next_step(void *ctx);

static int64_t current_time(const ks_lease_keeper_t *keeper)
{
	return ks_clock_now(keeper->boottime);
}

static void destroy(ks_lease_keeper_t *keeper)
{
	ks_lease_deinit(&keeper->lease);
	g_free(keeper->key);
	g_free(keeper);
}

static void report_held(ks_lease_keeper_t *keeper)
{
	bool held = ks_lease_keeper_is_held(keeper);

	if (held)
		ks_timer_set(&keeper->expiry_timer,
			     ks_lease_keeper_remaining(keeper));
	if (held == keeper->reported)
		return;
	keeper->reported = held;
	ks_log(KS_LOG_LEASE, KS_LOG_INFO, "%s is %s, fence %" G_GUINT64_FORMAT,
	       keeper->key, held ? "held" : "not held",
	       ks_lease_fence(&keeper->lease));
	keeper->func(keeper->ctx, held);
}

static void on_expiry(void *ctx)
{
	ks_lease_keeper_t *keeper = ctx;

	/*
	 * The timer's clock may be ahead of the boot-time clock, in which case
	 * the lease is still held and the timer is set again.
	 */
	report_held(keeper);
	if (!keeper->op_pending)
		run_next_step(keeper);
}

/*
 * Return: false if the owner has freed @keeper, whose memory is then released.
 */
static bool end_operation(ks_lease_keeper_t *keeper)
{
	bool freed = keeper->freed;

	keeper->op_pending = false;
	if (freed)
		destroy(keeper);
	return !freed;
}

/* Runs the next step immediately after a success, else after a backoff. */
static void continue_after(ks_lease_keeper_t *keeper,
			   ks_store_outcome_t outcome)
{
	if (outcome == KS_STORE_DONE)
		ks_backoff_reset(&keeper->backoff);
	report_held(keeper);
	if (keeper->op_pending)
		return;
	if (outcome == KS_STORE_DONE)
		run_next_step(keeper);
	else
		ks_timer_set(&keeper->step_timer,
			     ks_backoff_next(&keeper->backoff, keeper->rng));
}

static void on_read(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_lease_keeper_t *keeper = ctx;
	ks_lease_row_t decoded;

	if (!end_operation(keeper))
		return;
	if (outcome == KS_STORE_DONE)
		ks_lease_note_era(&keeper->lease, row->era, row->version,
				  current_time(keeper));
	if (outcome == KS_STORE_DONE && !row->etag.len) {
		ks_lease_observe(&keeper->lease, NULL, row->etag,
				 current_time(keeper));
	} else if (outcome == KS_STORE_DONE &&
		   ks_lease_row_decode(&decoded, row->value)) {
		ks_lease_observe(&keeper->lease, &decoded, row->etag,
				 current_time(keeper));
	} else if (outcome == KS_STORE_DONE) {
		ks_log(KS_LOG_LEASE, KS_LOG_ERROR, "row %s is invalid",
		       keeper->key);
		outcome = KS_STORE_UNREACHABLE;
	}
	continue_after(keeper, outcome);
}

static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row)
{
	ks_lease_keeper_t *keeper = ctx;

	if (!end_operation(keeper))
		return;
	if (outcome == KS_STORE_DONE)
		ks_lease_note_era(&keeper->lease, row->era, row->version,
				  current_time(keeper));
	ks_lease_end_write(&keeper->lease, outcome,
			   row ? row->etag : KS_STR(""), current_time(keeper));
	continue_after(keeper, outcome);
}

static void write_row(ks_lease_keeper_t *keeper)
{
	const ks_lease_row_t *row = ks_lease_begin_write(
		&keeper->lease, keeper->wanted, current_time(keeper));
	char *value = ks_lease_row_encode(row);
	ks_store_write_t write = { .key = ks_str_from(keeper->key),
				   .value = ks_str_from(value) };

	write.etag.data = keeper->lease.etag->str;
	write.etag.len = keeper->lease.etag->len;
	keeper->op_pending = true;
	keeper->store->write(keeper->store->impl, &write, on_written, keeper);
	g_free(value);
}

static void run_next_step(void *ctx)
{
	ks_lease_keeper_t *keeper = ctx;
	int64_t wait = 0;
	ks_lease_step_t step = ks_lease_next(&keeper->lease, keeper->wanted,
					     current_time(keeper), &wait);

	ks_timer_clear(&keeper->step_timer);
	if (!keeper->wanted && current_time(keeper) >= keeper->release_until_us)
		step = KS_LEASE_STEP_IDLE;
	switch (step) {
	case KS_LEASE_STEP_READ:
		keeper->op_pending = true;
		keeper->store->get(keeper->store->impl,
				   ks_str_from(keeper->key), on_read, keeper);
		break;
	case KS_LEASE_STEP_WRITE:
		write_row(keeper);
		break;
	case KS_LEASE_STEP_WAIT:
		ks_timer_set(&keeper->step_timer, wait);
		break;
	case KS_LEASE_STEP_IDLE:
		break;
	}
}

/**
 * ks_lease_keeper_new() - create the keeper of a lease that is not wanted yet
 * @boottime: clock that includes suspended time
 * @key: key of the row, e.g. "lease/planner"
 * @holder: incarnation of this process
 * @lifetime_us: lifetime of the lease in microseconds
 * @func: called when this process starts or stops holding the lease
 *
 * Return: to be freed with ks_lease_keeper_free().
 */
ks_lease_keeper_t *ks_lease_keeper_new(ks_loop_t *loop, ks_store_t *store,
				       const ks_clock_t *boottime,
				       ks_rng_t *rng, const char *key,
				       const ks_id_t *holder,
				       int64_t lifetime_us,
				       ks_lease_func_t func, void *ctx)
{
	ks_lease_keeper_t *keeper = g_new0(ks_lease_keeper_t, 1);

	ks_lease_init(&keeper->lease, holder, lifetime_us);
	keeper->loop = loop;
	keeper->store = store;
	keeper->boottime = boottime;
	keeper->rng = rng;
	keeper->key = g_strdup(key);
	keeper->func = func;
	keeper->ctx = ctx;
	ks_backoff_init(&keeper->backoff, BACKOFF_BASE_US,
			MIN(BACKOFF_MAX_US, MAX(lifetime_us / 3, 1)));
	ks_timer_init(&keeper->step_timer, loop, run_next_step, keeper);
	ks_timer_init(&keeper->expiry_timer, loop, on_expiry, keeper);
	return keeper;
}

/**
 * ks_lease_keeper_free() - free a keeper without releasing its lease
 *
 * Must not be called from the keeper's callback.
 */
void ks_lease_keeper_free(ks_lease_keeper_t *keeper)
{
	if (!keeper)
		return;
	ks_timer_clear(&keeper->step_timer);
	ks_timer_clear(&keeper->expiry_timer);
	if (keeper->op_pending)
		keeper->freed = true;
	else
		destroy(keeper);
}

/**
 * ks_lease_keeper_set_wanted() - acquire and renew the lease, or release it
 *
 * A lease that is no longer wanted counts as not held immediately, before the
 * release is sent. The callback is not called for this.
 */
void ks_lease_keeper_set_wanted(ks_lease_keeper_t *keeper, bool wanted)
{
	if (keeper->wanted == wanted)
		return;
	keeper->wanted = wanted;
	keeper->release_until_us =
		current_time(keeper) + 2 * keeper->lease.lifetime_us;
	if (!wanted) {
		keeper->lease.held = false;
		keeper->reported = false;
	}
	/* Through the timer, so that the owner is not called back from here. */
	if (!keeper->op_pending)
		ks_timer_set(&keeper->step_timer, 0);
}

/**
 * ks_lease_keeper_is_held() - whether the lease is held now
 */
bool ks_lease_keeper_is_held(const ks_lease_keeper_t *keeper)
{
	return keeper->wanted &&
	       ks_lease_is_held(&keeper->lease, current_time(keeper));
}

/**
 * ks_lease_keeper_remaining() - time until the lease expires
 *
 * Return: microseconds, or 0 if the lease is not held.
 */
int64_t ks_lease_keeper_remaining(const ks_lease_keeper_t *keeper)
{
	return keeper->wanted ? ks_lease_remaining(&keeper->lease,
						   current_time(keeper))
			      : 0;
}

/**
 * ks_lease_keeper_fence() - fencing token of the last acquisition
 */
uint64_t ks_lease_keeper_fence(const ks_lease_keeper_t *keeper)
{
	return ks_lease_fence(&keeper->lease);
}

/**
 * ks_lease_keeper_forget() - count the lease as not held, and read its row
 * again
 *
 * To be called when the store may have lost writes that it acknowledged. Must
 * not be called from the keeper's callback.
 */
void ks_lease_keeper_forget(ks_lease_keeper_t *keeper)
{
	ks_lease_forget(&keeper->lease);
	report_held(keeper);
	if (!keeper->op_pending)
		ks_timer_set(&keeper->step_timer, 0);
}

/**
 * ks_lease_keeper_is_idle() - whether the lease is not wanted and no operation
 * or retry is pending
 */
bool ks_lease_keeper_is_idle(const ks_lease_keeper_t *keeper)
{
	return !keeper->wanted && !keeper->op_pending &&
	       !ks_timer_is_set(&keeper->step_timer);
}

/**
 * ks_lease_keeper_precondition() - get a check that the lease row is unchanged
 *
 * To be added to a transaction that must not take effect once the lease is
 * lost. The check also fails if a renewal takes effect first; the transaction
 * must then be retried.
 *
 * Return: a check-only write that is valid until the next loop iteration.
 */
ks_store_write_t ks_lease_keeper_precondition(const ks_lease_keeper_t *keeper)
{
	ks_store_write_t write = { .key = ks_str_from(keeper->key),
				   .check_only = true };

	write.etag.data = keeper->lease.etag->str;
	write.etag.len = keeper->lease.etag->len;
	return write;
}
