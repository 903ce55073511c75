/*
 * Order driver: polls the state of one engine and carries out the steps that
 * ks_order_next() chooses, with leases from the store and orders to the engine.
 */
#include "orders.h"

#include <string.h>

#define OBSERVE_POLL_US (1 * KS_USEC_PER_SEC)
#define POLL_JITTER 0.3
/* No order is sent on an observation older than this. */
#define MAX_OBSERVATION_AGE_US (5 * KS_USEC_PER_SEC)
/*
 * The timeout of an order is the lease lifetime divided by this. A lease is
 * renewed once a third of its lifetime has passed, so at least two thirds are
 * left when a renewal is due: enough for an order.
 */
#define ORDER_TIMEOUT_DIVISOR 2
#define BACKOFF_BASE_US (200 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * KS_USEC_PER_SEC)

static void run_next_step(void *ctx);

static int64_t current_time(const ks_order_driver_t *driver)
{
	return ks_clock_now(driver->boottime);
}

/**
 * ks_order_driver_schedule() - run the next step after a delay
 */
void ks_order_driver_schedule(ks_order_driver_t *driver, int64_t delay_us)
{
	ks_timer_set(&driver->step_timer, delay_us);
}

static void destroy(ks_order_driver_t *driver)
{
	ks_order_target_deinit(&driver->target);
	g_ptr_array_free(driver->state.adapters, TRUE);
	g_free(driver->upstream_id);
	g_free(driver);
}

/**
 * ks_order_driver_end_operation() - drop the reference of a pending operation
 *
 * To be called first in the operation's callback.
 *
 * Return: false if the driver was freed in the meantime.
 */
bool ks_order_driver_end_operation(ks_order_driver_t *driver)
{
	bool freed = driver->freed;

	driver->refs--;
	if (freed && !driver->refs)
		destroy(driver);
	return !freed;
}

static ks_order_view_t build_view(const ks_order_driver_t *driver)
{
	int64_t now = current_time(driver);
	ks_order_view_t view = {
		.target = &driver->target,
		.state = driver->state_known ? &driver->state : NULL,
		.order_pending = driver->order_pending,
		.stopping = driver->stopping,
		.leases_held = ks_order_driver_leases_held(driver),
		.permit_held = ks_order_driver_permit_held(driver),
		.lease_requested =
			driver->lease || driver->slot || driver->permit,
		.accepting = driver->accepting,
		.changing = driver->changing,
		.abandoned = driver->changing && !driver->order_sent &&
			     now - driver->leases_held_us > driver->lease_us,
		.in_flight = driver->in_flight,
		.order_timeout_us = driver->lease_us / ORDER_TIMEOUT_DIVISOR,
	};

	view.fresh = driver->state_known &&
		     driver->observed_us >= driver->fresh_from_us &&
		     now - driver->observed_us < MAX_OBSERVATION_AGE_US;
	if (view.leases_held)
		view.time_left_us = ks_order_driver_time_left(driver);
	return view;
}

static void copy_state(ks_engine_state_t *to, const ks_engine_state_t *from)
{
	GPtrArray *adapters = to->adapters;

	*to = *from;
	to->adapters = adapters;
	g_ptr_array_set_size(adapters, 0);
	for (size_t i = 0; from->adapters && i < from->adapters->len; i++)
		g_ptr_array_add(adapters,
				g_strdup(g_ptr_array_index(from->adapters, i)));
}

static void on_observed(void *ctx, const ks_engine_state_t *state)
{
	ks_order_driver_t *driver = ctx;

	if (!ks_order_driver_end_operation(driver))
		return;
	driver->observing = false;
	driver->state_known = state != NULL;
	ks_timer_set(&driver->observe_timer,
		     ks_rng_jitter(driver->rng, OBSERVE_POLL_US, POLL_JITTER));
	if (!state)
		return;
	driver->events->observed(driver->ctx, state);
	copy_state(&driver->state, state);
	driver->observed_us = driver->observe_started_us;
	run_next_step(driver);
}

static void observe(void *ctx)
{
	ks_order_driver_t *driver = ctx;

	/* A state read while an order is pending does not tell its outcome. */
	if (driver->observing || driver->order_pending)
		return;
	ks_timer_clear(&driver->observe_timer);
	driver->observing = true;
	driver->refs++;
	driver->observe_started_us = current_time(driver);
	driver->engine->observe(driver->engine->impl, on_observed, driver);
}

static void on_order_result(void *ctx, ks_order_outcome_t outcome)
{
	ks_order_driver_t *driver = ctx;

	if (!ks_order_driver_end_operation(driver))
		return;
	driver->order_pending = false;
	driver->fresh_from_us = current_time(driver);
	if (driver->stopping)
		ks_order_driver_schedule(driver, 0);
	if (outcome == KS_ORDER_DONE) {
		ks_backoff_reset(&driver->backoff);
		observe(driver);
		return;
	}
	driver->refresh_fence = outcome == KS_ORDER_OUTCOME_UNKNOWN;
	ks_log(KS_LOG_ORDER, KS_LOG_WARN, "order to %s failed with outcome %d",
	       driver->upstream_id, (int)outcome);
	ks_timer_set(&driver->observe_timer,
		     ks_backoff_next(&driver->backoff, driver->rng));
}

static void send_order(ks_order_driver_t *driver, ks_order_t *order,
		       int64_t timeout_us)
{
	order->fence = ks_lease_keeper_fence(driver->lease);
	driver->order_pending = true;
	driver->order_sent = true;
	driver->refs++;
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "sending order %d %s %s to %s with fencing token "
	       "%" G_GUINT64_FORMAT,
	       (int)order->kind, order->name, order->version,
	       driver->upstream_id, order->fence);
	driver->engine->order(driver->engine->impl, order, timeout_us,
			      on_order_result, driver);
}

static void set_accepting(ks_order_driver_t *driver, bool accepting)
{
	driver->changing = !accepting;
	driver->order_sent = false;
	driver->accepting = accepting;
	driver->events->accepting(driver->ctx, accepting);
	ks_order_driver_schedule(driver, 0);
}

static void run_next_step(void *ctx)
{
	ks_order_driver_t *driver = ctx;
	ks_order_view_t view;
	ks_order_t order;

	if (driver->releasing) {
		ks_order_driver_release(driver);
		return;
	}
	if (driver->refresh_fence && !driver->stopping) {
		ks_order_driver_refresh_fence(driver);
		return;
	}
	if (ks_order_driver_leases_held(driver))
		driver->leases_held_us = current_time(driver);
	view = build_view(driver);
	switch (ks_order_next(&view, &order)) {
	case KS_ORDER_STEP_OBSERVE:
		if (!view.state || view.state->busy_with_order)
			/* The next scheduled poll reads the state. */
			break;
		observe(driver);
		break;
	case KS_ORDER_STEP_ACQUIRE:
		ks_order_driver_acquire(driver);
		break;
	case KS_ORDER_STEP_DRAIN:
		set_accepting(driver, false);
		break;
	case KS_ORDER_STEP_ACQUIRE_PERMIT:
		ks_order_driver_acquire_permit(driver);
		break;
	case KS_ORDER_STEP_SEND:
		send_order(driver, &order, view.order_timeout_us);
		break;
	case KS_ORDER_STEP_ACCEPT:
		set_accepting(driver, true);
		break;
	case KS_ORDER_STEP_RELEASE:
		driver->releasing = true;
		ks_order_driver_release(driver);
		break;
	case KS_ORDER_STEP_NONE:
	case KS_ORDER_STEP_WAIT:
		break;
	}
}

/**
 * ks_order_driver_new() - create the order driver of this process's engine
 * @boottime: clock that includes the time during which the system is suspended
 * @lease_us: lifetime of the leases; an order times out after half of it
 *
 * The driver starts in the state of refusing requests. It calls
 * @events->accepting once it has read the engine's state and found that it may
 * serve.
 */
ks_order_driver_t *
ks_order_driver_new(ks_loop_t *loop, ks_store_t *store, ks_engine_t *engine,
		    const ks_clock_t *boottime, ks_rng_t *rng,
		    const ks_id_t *incarnation, const char *upstream_id,
		    int64_t lease_us, const ks_order_driver_events_t *events,
		    void *ctx)
{
	ks_order_driver_t *driver = g_new0(ks_order_driver_t, 1);

	driver->loop = loop;
	driver->store = store;
	driver->engine = engine;
	driver->boottime = boottime;
	driver->rng = rng;
	driver->incarnation = *incarnation;
	driver->upstream_id = g_strdup(upstream_id);
	driver->lease_us = lease_us;
	driver->events = events;
	driver->ctx = ctx;
	ks_order_target_init(&driver->target);
	driver->state.adapters = g_ptr_array_new_with_free_func(g_free);
	ks_backoff_init(&driver->backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	ks_timer_init(&driver->step_timer, loop, run_next_step, driver);
	ks_timer_init(&driver->observe_timer, loop, observe, driver);
	ks_timer_init(&driver->plan_timer, loop, ks_order_driver_poll_plan,
		      driver);
	ks_timer_set(&driver->observe_timer, 0);
	return driver;
}

/**
 * ks_order_driver_free() - free the driver; leases that are held expire
 */
void ks_order_driver_free(ks_order_driver_t *driver)
{
	ks_timer_clear(&driver->step_timer);
	ks_timer_clear(&driver->observe_timer);
	ks_timer_clear(&driver->plan_timer);
	ks_lease_keeper_free(driver->lease);
	ks_lease_keeper_free(driver->slot);
	ks_lease_keeper_free(driver->permit);
	driver->freed = true;
	if (!driver->refs)
		destroy(driver);
}

/**
 * ks_order_driver_set_snapshot() - update the target from a new snapshot
 * @snapshot: read during the call only
 */
void ks_order_driver_set_snapshot(ks_order_driver_t *driver,
				  ks_snapshot_t *snapshot)
{
	char model[sizeof(driver->target.model)];

	g_strlcpy(model, driver->target.model, sizeof(model));
	ks_order_target_from_snapshot(&driver->target, snapshot,
				      driver->upstream_id);
	driver->snapshot_role = driver->target.role;
	if (strcmp(model, driver->target.model) != 0) {
		driver->planned = false;
		driver->plan_number = 0;
	}
	ks_order_driver_apply_role(driver);
	if (!driver->polling_plan)
		ks_timer_set(&driver->plan_timer, 0);
}

/**
 * ks_order_driver_set_in_flight() - set the number of requests at the engine
 */
void ks_order_driver_set_in_flight(ks_order_driver_t *driver,
				   unsigned in_flight)
{
	driver->in_flight = in_flight;
	if (!in_flight && driver->changing)
		ks_order_driver_schedule(driver, 0);
}

/**
 * ks_order_driver_stop() - send no more orders and release all leases
 */
void ks_order_driver_stop(ks_order_driver_t *driver)
{
	driver->stopping = true;
	ks_order_driver_schedule(driver, 0);
}

/**
 * ks_order_driver_is_idle() - whether no order is pending and no lease is held
 */
bool ks_order_driver_is_idle(const ks_order_driver_t *driver)
{
	return !driver->order_pending && !driver->lease && !driver->slot &&
	       !driver->permit;
}
