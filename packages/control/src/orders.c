/*
 * Brings an engine to its target state: carries out the steps of
 * ks_order_next() with leases from the store and orders to the engine.
 */
#include "orders.h"

#include <string.h>

#define OBSERVE_POLL_US (1 * KS_USEC_PER_SEC)
#define POLL_JITTER 0.3
/* An older observation does not count for an order. */
#define FRESH_US (5 * KS_USEC_PER_SEC)
/*
 * An order takes at most this share of a lease. A lease that is renewed at a
 * third has two thirds left, so a renewed lease always covers an order.
 */
#define ORDER_SHARE_DIVISOR 2
#define BACKOFF_BASE_US (200 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * KS_USEC_PER_SEC)

static void advance(void *ctx);

static int64_t now_of(const ks_orders_t *orders)
{
	return ks_clock_now(orders->boottime);
}

/**
 * ks_orders_schedule() - decide on the next step after a delay
 */
void ks_orders_schedule(ks_orders_t *orders, int64_t delay_us)
{
	ks_timer_set(&orders->advance, delay_us);
}

static void destroy(ks_orders_t *orders)
{
	ks_order_target_deinit(&orders->target);
	g_ptr_array_free(orders->state.adapters, TRUE);
	g_free(orders->upstream_id);
	g_free(orders);
}

/**
 * ks_orders_end_operation() - an operation under way has called back
 *
 * Return: false if the orders have been freed in the meantime.
 */
bool ks_orders_end_operation(ks_orders_t *orders)
{
	bool gone = orders->gone;

	orders->refs--;
	if (gone && !orders->refs)
		destroy(orders);
	return !gone;
}

static ks_order_view_t view_of(const ks_orders_t *orders)
{
	int64_t now = now_of(orders);
	ks_order_view_t view = {
		.target = &orders->target,
		.state = orders->state_known ? &orders->state : NULL,
		.order_under_way = orders->ordering,
		.stopping = orders->stopping,
		.leased = ks_orders_is_leased(orders),
		.permitted = ks_orders_is_permitted(orders),
		.holding = orders->lease || orders->slot || orders->permit,
		.accepting = orders->accepting,
		.changing = orders->changing,
		.abandoned = orders->changing && !orders->ordered &&
			     now - orders->leased_us > orders->lease_us,
		.in_flight = orders->in_flight,
		.order_timeout_us = orders->lease_us / ORDER_SHARE_DIVISOR,
	};

	view.fresh = orders->state_known &&
		     orders->observed_us >= orders->valid_from_us &&
		     now - orders->observed_us < FRESH_US;
	if (view.leased)
		view.time_left_us = ks_orders_time_left(orders);
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
	ks_orders_t *orders = ctx;

	if (!ks_orders_end_operation(orders))
		return;
	orders->observing = false;
	orders->state_known = state != NULL;
	ks_timer_set(&orders->observe_timer,
		     ks_rng_jitter(orders->rng, OBSERVE_POLL_US, POLL_JITTER));
	if (!state)
		return;
	orders->events->observed(orders->ctx, state);
	copy_state(&orders->state, state);
	orders->observed_us = orders->observe_sent_us;
	advance(orders);
}

static void observe(void *ctx)
{
	ks_orders_t *orders = ctx;

	/* An observation beside an order would not tell its outcome. */
	if (orders->observing || orders->ordering)
		return;
	ks_timer_clear(&orders->observe_timer);
	orders->observing = true;
	orders->refs++;
	orders->observe_sent_us = now_of(orders);
	orders->engine->observe(orders->engine->impl, on_observed, orders);
}

static void on_ordered(void *ctx, ks_order_outcome_t outcome)
{
	ks_orders_t *orders = ctx;

	if (!ks_orders_end_operation(orders))
		return;
	orders->ordering = false;
	orders->valid_from_us = now_of(orders);
	if (orders->stopping)
		ks_orders_schedule(orders, 0);
	if (outcome == KS_ORDER_DONE) {
		ks_backoff_reset(&orders->backoff);
		observe(orders);
		return;
	}
	orders->refence = outcome == KS_ORDER_OUTCOME_UNKNOWN;
	ks_log(KS_LOG_ORDER, KS_LOG_WARN, "an order to %s ended with %d",
	       orders->upstream_id, (int)outcome);
	ks_timer_set(&orders->observe_timer,
		     ks_backoff_next(&orders->backoff, orders->rng));
}

static void send_order(ks_orders_t *orders, ks_order_t *order,
		       int64_t timeout_us)
{
	order->fence = ks_lease_keeper_fence(orders->lease);
	orders->ordering = true;
	orders->ordered = true;
	orders->refs++;
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "order %d %s %s to %s with fence %" G_GUINT64_FORMAT,
	       (int)order->kind, order->name, order->version,
	       orders->upstream_id, order->fence);
	orders->engine->order(orders->engine->impl, order, timeout_us,
			      on_ordered, orders);
}

static void set_accepting(ks_orders_t *orders, bool accepting)
{
	orders->changing = !accepting;
	orders->ordered = false;
	orders->accepting = accepting;
	orders->events->accepting(orders->ctx, accepting);
	ks_orders_schedule(orders, 0);
}

static void advance(void *ctx)
{
	ks_orders_t *orders = ctx;
	ks_order_view_t view;
	ks_order_t order;

	if (orders->releasing) {
		ks_orders_release(orders);
		return;
	}
	if (orders->refence && !orders->stopping) {
		ks_orders_renew_fence(orders);
		return;
	}
	if (ks_orders_is_leased(orders))
		orders->leased_us = now_of(orders);
	view = view_of(orders);
	switch (ks_order_next(&view, &order)) {
	case KS_ORDER_STEP_OBSERVE:
		if (!view.state || view.state->busy_with_order)
			/* The poll that is set observes it again. */
			break;
		observe(orders);
		break;
	case KS_ORDER_STEP_ACQUIRE:
		ks_orders_acquire(orders);
		break;
	case KS_ORDER_STEP_DRAIN:
		set_accepting(orders, false);
		break;
	case KS_ORDER_STEP_PERMIT:
		ks_orders_acquire_permit(orders);
		break;
	case KS_ORDER_STEP_ORDER:
		send_order(orders, &order, view.order_timeout_us);
		break;
	case KS_ORDER_STEP_ACCEPT:
		set_accepting(orders, true);
		break;
	case KS_ORDER_STEP_RELEASE:
		orders->releasing = true;
		ks_orders_release(orders);
		break;
	case KS_ORDER_STEP_SETTLED:
	case KS_ORDER_STEP_WAIT:
		break;
	}
}

/**
 * ks_orders_new() - set up the orders to the engine beside this process
 * @boottime: clock that counts suspended time
 * @lease_us: lifetime of the leases; an order takes at most half of it
 *
 * Requests are refused until the engine has been observed and @accepting has
 * been called.
 */
ks_orders_t *ks_orders_new(ks_loop_t *loop, ks_store_t *store,
			   ks_engine_t *engine, const ks_clock_t *boottime,
			   ks_rng_t *rng, const ks_id_t *incarnation,
			   const char *upstream_id, int64_t lease_us,
			   const ks_orders_events_t *events, void *ctx)
{
	ks_orders_t *orders = g_new0(ks_orders_t, 1);

	orders->loop = loop;
	orders->store = store;
	orders->engine = engine;
	orders->boottime = boottime;
	orders->rng = rng;
	orders->incarnation = *incarnation;
	orders->upstream_id = g_strdup(upstream_id);
	orders->lease_us = lease_us;
	orders->events = events;
	orders->ctx = ctx;
	ks_order_target_init(&orders->target);
	orders->state.adapters = g_ptr_array_new_with_free_func(g_free);
	ks_backoff_init(&orders->backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	ks_timer_init(&orders->advance, loop, advance, orders);
	ks_timer_init(&orders->observe_timer, loop, observe, orders);
	ks_timer_init(&orders->plan_timer, loop, ks_orders_poll_plan, orders);
	ks_timer_set(&orders->observe_timer, 0);
	return orders;
}

/**
 * ks_orders_free() - drop the orders; leases that are held lapse
 */
void ks_orders_free(ks_orders_t *orders)
{
	ks_timer_clear(&orders->advance);
	ks_timer_clear(&orders->observe_timer);
	ks_timer_clear(&orders->plan_timer);
	ks_lease_keeper_free(orders->lease);
	ks_lease_keeper_free(orders->slot);
	ks_lease_keeper_free(orders->permit);
	orders->gone = true;
	if (!orders->refs)
		destroy(orders);
}

/**
 * ks_orders_set_snapshot() - a new version of the configuration is in force
 * @snapshot: read during the call only
 */
void ks_orders_set_snapshot(ks_orders_t *orders, ks_snapshot_t *snapshot)
{
	char model[sizeof(orders->target.model)];

	g_strlcpy(model, orders->target.model, sizeof(model));
	ks_order_target_from_snapshot(&orders->target, snapshot,
				      orders->upstream_id);
	orders->snapshot_role = orders->target.role;
	if (strcmp(model, orders->target.model) != 0) {
		orders->planned = false;
		orders->plan_number = 0;
	}
	ks_orders_apply_role(orders);
	if (!orders->polling_plan)
		ks_timer_set(&orders->plan_timer, 0);
}

/**
 * ks_orders_set_in_flight() - number of requests at the engine
 */
void ks_orders_set_in_flight(ks_orders_t *orders, unsigned in_flight)
{
	orders->in_flight = in_flight;
	if (!in_flight && orders->changing)
		ks_orders_schedule(orders, 0);
}

/**
 * ks_orders_stop() - send no more orders and release what is held
 */
void ks_orders_stop(ks_orders_t *orders)
{
	orders->stopping = true;
	ks_orders_schedule(orders, 0);
}

/**
 * ks_orders_is_idle() - whether no order is under way and nothing is held
 */
bool ks_orders_is_idle(const ks_orders_t *orders)
{
	return !orders->ordering && !orders->lease && !orders->slot &&
	       !orders->permit;
}
