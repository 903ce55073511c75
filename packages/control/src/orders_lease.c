/* Leases that the orders to an engine need. */
#include "orders.h"

/* Loads that the weight store serves at once, over the whole fleet. */
#define LOAD_PERMITS 8
#define RELEASE_POLL_US (100 * KS_USEC_PER_MSEC)

/* What was observed under an earlier lease does not count for an order. */
static void on_lease(void *ctx, bool held G_GNUC_UNUSED)
{
	ks_orders_t *orders = ctx;

	orders->valid_from_us = ks_clock_now(orders->boottime);
	ks_orders_schedule(orders, 0);
}

static ks_lease_keeper_t *want_lease(ks_orders_t *orders, char *key)
{
	ks_lease_keeper_t *keeper = ks_lease_keeper_new(
		orders->loop, orders->store, orders->boottime, orders->rng, key,
		&orders->incarnation, orders->lease_us, on_lease, orders);

	ks_lease_keeper_set_wanted(keeper, true);
	g_free(key);
	return keeper;
}

/* The slot is that of the model which loses an engine by the change. */
static char *slot_key(const ks_orders_t *orders)
{
	const char *model = *orders->state.model ? orders->state.model
						 : orders->target.model;
	char *model_part = g_uri_escape_string(model, NULL, FALSE);
	char *domain_part =
		g_uri_escape_string(orders->target.domain, NULL, FALSE);
	char *key =
		g_strdup_printf("lease/change/%s/%s", model_part, domain_part);

	g_free(model_part);
	g_free(domain_part);
	return key;
}

static char *engine_key(const ks_orders_t *orders)
{
	char *part = g_uri_escape_string(orders->upstream_id, NULL, FALSE);
	char *key = g_strdup_printf("lease/engine/%s", part);

	g_free(part);
	return key;
}

/**
 * ks_orders_acquire() - acquire the change slot, then the engine lease
 */
void ks_orders_acquire(ks_orders_t *orders)
{
	/* The slot first: an engine lease alone would only be renewed idly. */
	if (!orders->slot)
		orders->slot = want_lease(orders, slot_key(orders));
	else if (!orders->lease && ks_lease_keeper_is_held(orders->slot))
		orders->lease = want_lease(orders, engine_key(orders));
}

/* Frees a keeper once its release has reached the table. */
static bool release_one(ks_lease_keeper_t **keeper)
{
	if (!*keeper)
		return true;
	ks_lease_keeper_set_wanted(*keeper, false);
	if (!ks_lease_keeper_is_idle(*keeper))
		return false;
	ks_lease_keeper_free(*keeper);
	*keeper = NULL;
	return true;
}

/**
 * ks_orders_release() - release the permit, the slot and the engine lease
 *
 * Calls for another turn until all of them have been released.
 */
void ks_orders_release(ks_orders_t *orders)
{
	bool released = release_one(&orders->permit);

	released &= release_one(&orders->slot);
	released &= release_one(&orders->lease);
	orders->releasing = !released;
	ks_orders_schedule(orders, released ? 0 : RELEASE_POLL_US);
}

static bool is_held(const ks_lease_keeper_t *keeper)
{
	return keeper && ks_lease_keeper_is_held(keeper);
}

/**
 * ks_orders_time_left() - the least that is left of the leases that are wanted
 */
int64_t ks_orders_time_left(const ks_orders_t *orders)
{
	int64_t left = MIN(ks_lease_keeper_remaining(orders->lease),
			   ks_lease_keeper_remaining(orders->slot));

	if (orders->permit)
		left = MIN(left, ks_lease_keeper_remaining(orders->permit));
	return left;
}

/**
 * ks_orders_acquire_permit() - acquire a permit to load from the weight store
 *
 * The name of the engine gives the permit, so that engines spread over them.
 */
void ks_orders_acquire_permit(ks_orders_t *orders)
{
	unsigned number = g_str_hash(orders->upstream_id) % LOAD_PERMITS;

	if (!orders->permit)
		orders->permit = want_lease(
			orders, g_strdup_printf("lease/load/%u", number));
}

/**
 * ks_orders_renew_fence() - acquire the engine lease again
 *
 * An order with an unknown outcome may still be on its way. The next one
 * carries a higher number, after which the engine refuses the earlier one.
 */
void ks_orders_renew_fence(ks_orders_t *orders)
{
	orders->refence = !release_one(&orders->lease);
	ks_orders_schedule(orders, orders->refence ? RELEASE_POLL_US : 0);
}

/**
 * ks_orders_is_leased() - whether the engine lease and the slot are held
 */
bool ks_orders_is_leased(const ks_orders_t *orders)
{
	return is_held(orders->lease) && is_held(orders->slot);
}

/**
 * ks_orders_is_permitted() - whether a load permit is held
 */
bool ks_orders_is_permitted(const ks_orders_t *orders)
{
	return is_held(orders->permit);
}
