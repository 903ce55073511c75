/* Keeps a lease in the table for as long as its owner wants it. */
#include "ks/store.h"

#define BACKOFF_BASE_US (100 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * KS_USEC_PER_SEC)

/**
 * struct ks_lease_keeper - a lease and its way to the table
 * @timer: next step
 * @lapse: end of the lease
 * @under_way: the store has an operation to answer
 * @reported: what the owner was told last
 * @gone: freed while an operation is under way
 * @release_until_us: end of the tries to release; it lapses then anyway
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
	ks_timer_t timer;
	ks_timer_t lapse;
	ks_backoff_t backoff;
	bool wanted;
	bool under_way;
	bool reported;
	bool gone;
	int64_t release_until_us;
};

static void take_step(void *ctx);

static int64_t now_of(const ks_lease_keeper_t *keeper)
{
	return ks_clock_now(keeper->boottime);
}

static void destroy(ks_lease_keeper_t *keeper)
{
	ks_lease_deinit(&keeper->lease);
	g_free(keeper->key);
	g_free(keeper);
}

static void report(ks_lease_keeper_t *keeper)
{
	bool held = ks_lease_keeper_is_held(keeper);

	if (held)
		ks_timer_set(&keeper->lapse, ks_lease_keeper_remaining(keeper));
	if (held == keeper->reported)
		return;
	keeper->reported = held;
	ks_log(KS_LOG_LEASE, KS_LOG_INFO, "%s is %s, fence %" G_GUINT64_FORMAT,
	       keeper->key, held ? "held" : "not held",
	       ks_lease_fence(&keeper->lease));
	keeper->func(keeper->ctx, held);
}

static void on_lapse(void *ctx)
{
	ks_lease_keeper_t *keeper = ctx;

	/* The timer's clock may be ahead of the boot-time clock. */
	report(keeper);
	if (!keeper->under_way)
		take_step(keeper);
}

/* Return: false if the keeper has been freed in the meantime. */
static bool end_operation(ks_lease_keeper_t *keeper)
{
	bool gone = keeper->gone;

	keeper->under_way = false;
	if (gone)
		destroy(keeper);
	return !gone;
}

/* After trouble the next step waits; otherwise it follows at once. */
static void go_on(ks_lease_keeper_t *keeper, ks_store_outcome_t outcome)
{
	if (outcome == KS_STORE_DONE)
		ks_backoff_reset(&keeper->backoff);
	report(keeper);
	if (keeper->under_way)
		return;
	if (outcome == KS_STORE_DONE)
		take_step(keeper);
	else
		ks_timer_set(&keeper->timer,
			     ks_backoff_next(&keeper->backoff, keeper->rng));
}

static void on_read(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_lease_keeper_t *keeper = ctx;
	ks_lease_row_t decoded;

	if (!end_operation(keeper))
		return;
	if (outcome == KS_STORE_DONE && !row->etag.len) {
		ks_lease_observe(&keeper->lease, NULL, row->etag,
				 now_of(keeper));
	} else if (outcome == KS_STORE_DONE &&
		   ks_lease_row_decode(&decoded, row->value)) {
		ks_lease_observe(&keeper->lease, &decoded, row->etag,
				 now_of(keeper));
	} else if (outcome == KS_STORE_DONE) {
		ks_log(KS_LOG_LEASE, KS_LOG_ERROR, "row %s is damaged",
		       keeper->key);
		outcome = KS_STORE_UNREACHABLE;
	}
	go_on(keeper, outcome);
}

static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row)
{
	ks_lease_keeper_t *keeper = ctx;

	if (!end_operation(keeper))
		return;
	ks_lease_end_write(&keeper->lease, outcome,
			   row ? row->etag : KS_STR(""), now_of(keeper));
	go_on(keeper, outcome);
}

static void write_row(ks_lease_keeper_t *keeper)
{
	const ks_lease_row_t *row = ks_lease_begin_write(
		&keeper->lease, keeper->wanted, now_of(keeper));
	char *value = ks_lease_row_encode(row);
	ks_store_write_t write = { .key = ks_str_from(keeper->key),
				   .value = ks_str_from(value) };

	write.etag.data = keeper->lease.etag->str;
	write.etag.len = keeper->lease.etag->len;
	keeper->under_way = true;
	keeper->store->write(keeper->store->impl, &write, on_written, keeper);
	g_free(value);
}

static void take_step(void *ctx)
{
	ks_lease_keeper_t *keeper = ctx;
	int64_t wait = 0;
	ks_lease_step_t step = ks_lease_next(&keeper->lease, keeper->wanted,
					     now_of(keeper), &wait);

	ks_timer_clear(&keeper->timer);
	if (!keeper->wanted && now_of(keeper) >= keeper->release_until_us)
		step = KS_LEASE_STEP_IDLE;
	switch (step) {
	case KS_LEASE_STEP_READ:
		keeper->under_way = true;
		keeper->store->get(keeper->store->impl,
				   ks_str_from(keeper->key), on_read, keeper);
		break;
	case KS_LEASE_STEP_WRITE:
		write_row(keeper);
		break;
	case KS_LEASE_STEP_WAIT:
		ks_timer_set(&keeper->timer, wait);
		break;
	case KS_LEASE_STEP_IDLE:
		break;
	}
}

/**
 * ks_lease_keeper_new() - set up a lease that is not wanted yet
 * @boottime: clock that counts suspended time
 * @key: of the row, e.g. "lease/planner"
 * @holder: incarnation of this process
 * @func: called when the lease begins or ends to be held
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
	ks_timer_init(&keeper->timer, loop, take_step, keeper);
	ks_timer_init(&keeper->lapse, loop, on_lapse, keeper);
	return keeper;
}

/**
 * ks_lease_keeper_free() - drop a lease without releasing it
 *
 * Must not be called from its own function.
 */
void ks_lease_keeper_free(ks_lease_keeper_t *keeper)
{
	if (!keeper)
		return;
	ks_timer_clear(&keeper->timer);
	ks_timer_clear(&keeper->lapse);
	if (keeper->under_way)
		keeper->gone = true;
	else
		destroy(keeper);
}

/**
 * ks_lease_keeper_set_wanted() - acquire and keep the lease, or release it
 *
 * Once it is not wanted it counts as not held, before the release is sent.
 */
void ks_lease_keeper_set_wanted(ks_lease_keeper_t *keeper, bool wanted)
{
	if (keeper->wanted == wanted)
		return;
	keeper->wanted = wanted;
	keeper->release_until_us =
		now_of(keeper) + 2 * keeper->lease.lifetime_us;
	if (!wanted) {
		keeper->lease.held = false;
		keeper->reported = false;
	}
	/* Not from here, so that the owner is never called back within. */
	if (!keeper->under_way)
		ks_timer_set(&keeper->timer, 0);
}

/**
 * ks_lease_keeper_is_held() - whether the lease is held now
 */
bool ks_lease_keeper_is_held(const ks_lease_keeper_t *keeper)
{
	return keeper->wanted &&
	       ks_lease_is_held(&keeper->lease, now_of(keeper));
}

/**
 * ks_lease_keeper_remaining() - time left of the lease, 0 when it is not held
 */
int64_t ks_lease_keeper_remaining(const ks_lease_keeper_t *keeper)
{
	return keeper->wanted
		       ? ks_lease_remaining(&keeper->lease, now_of(keeper))
		       : 0;
}

/**
 * ks_lease_keeper_fence() - fencing number of the last acquisition
 */
uint64_t ks_lease_keeper_fence(const ks_lease_keeper_t *keeper)
{
	return ks_lease_fence(&keeper->lease);
}

/**
 * ks_lease_keeper_is_idle() - whether nothing is wanted or under way
 */
bool ks_lease_keeper_is_idle(const ks_lease_keeper_t *keeper)
{
	return !keeper->wanted && !keeper->under_way &&
	       !ks_timer_is_set(&keeper->timer);
}

/**
 * ks_lease_keeper_precondition() - precondition that the lease row is this
 * holder's
 *
 * For a transaction that must not take effect once the lease is lost. A renewal
 * that lands first makes it fail too; the caller then tries again.
 *
 * Return: a write that is valid until the loop's next turn.
 */
ks_store_write_t ks_lease_keeper_precondition(const ks_lease_keeper_t *keeper)
{
	ks_store_write_t write = { .key = ks_str_from(keeper->key),
				   .check_only = true };

	write.etag.data = keeper->lease.etag->str;
	write.etag.len = keeper->lease.etag->len;
	return write;
}
