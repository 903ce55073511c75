/*
 * Leases of the order driver: the engine lease, whose fencing token orders the
 * writers, the change slot and the load permit.
 */
#include "orders.h"

/* Concurrent loads from the weight store, over the whole fleet. */
#define LOAD_PERMITS 8
#define RELEASE_POLL_US (100 * KS_USEC_PER_MSEC)

/* A state read before the lease changed hands may be out of date. */
static void on_lease(void *ctx, bool held G_GNUC_UNUSED)
{
	ks_order_driver_t *driver = ctx;

	driver->fresh_from_us = ks_clock_now(driver->boottime);
	ks_order_driver_schedule(driver, 0);
}

static ks_lease_keeper_t *start_lease(ks_order_driver_t *driver, char *key)
{
	ks_lease_keeper_t *keeper = ks_lease_keeper_new(
		driver->loop, driver->store, driver->boottime, driver->rng, key,
		&driver->incarnation, driver->lease_us, on_lease, driver);

	ks_lease_keeper_set_wanted(keeper, true);
	g_free(key);
	return keeper;
}

/* The slot belongs to the model that loses serving capacity by the change. */
static char *slot_key(const ks_order_driver_t *driver)
{
	const char *model = *driver->state.model ? driver->state.model
						 : driver->target.model;
	char *model_part = g_uri_escape_string(model, NULL, FALSE);
	char *domain_part =
		g_uri_escape_string(driver->target.domain, NULL, FALSE);
	char *key =
		g_strdup_printf("lease/change/%s/%s", model_part, domain_part);

	g_free(model_part);
	g_free(domain_part);
	return key;
}

static char *engine_key(const ks_order_driver_t *driver)
{
	char *part = g_uri_escape_string(driver->upstream_id, NULL, FALSE);
	char *key = g_strdup_printf("lease/engine/%s", part);

	g_free(part);
	return key;
}

/**
 * ks_order_driver_acquire() - acquire the change slot, then the engine lease
 */
void ks_order_driver_acquire(ks_order_driver_t *driver)
{
	/*
	 * Slot first: an engine lease acquired before it would only be
	 * renewed without use while other engines hold the slot.
	 */
	if (!driver->slot)
		driver->slot = start_lease(driver, slot_key(driver));
	else if (!driver->lease && ks_lease_keeper_is_held(driver->slot))
		driver->lease = start_lease(driver, engine_key(driver));
}

/* Returns true, with the keeper freed, once the release is stored. */
static bool release_lease(ks_lease_keeper_t **keeper)
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
 * ks_order_driver_release() - release the permit, the slot and the engine lease
 *
 * Schedules itself again until all of them have been released.
 */
void ks_order_driver_release(ks_order_driver_t *driver)
{
	bool released = release_lease(&driver->permit);

	released &= release_lease(&driver->slot);
	released &= release_lease(&driver->lease);
	driver->releasing = !released;
	ks_order_driver_schedule(driver, released ? 0 : RELEASE_POLL_US);
}

static bool is_held(const ks_lease_keeper_t *keeper)
{
	return keeper && ks_lease_keeper_is_held(keeper);
}

/**
 * ks_order_driver_time_left() - shortest remaining time of the leases
 *
 * Return: microseconds. The permit counts only if it was requested.
 */
int64_t ks_order_driver_time_left(const ks_order_driver_t *driver)
{
	int64_t left = MIN(ks_lease_keeper_remaining(driver->lease),
			   ks_lease_keeper_remaining(driver->slot));

	if (driver->permit)
		left = MIN(left, ks_lease_keeper_remaining(driver->permit));
	return left;
}

/**
 * ks_order_driver_acquire_permit() - acquire a permit to load from the weight
 * store
 *
 * The permit is chosen by a hash of the upstream id, which spreads the engines
 * over the permits.
 */
void ks_order_driver_acquire_permit(ks_order_driver_t *driver)
{
	unsigned number = g_str_hash(driver->upstream_id) % LOAD_PERMITS;

	if (!driver->permit)
		driver->permit = start_lease(
			driver, g_strdup_printf("lease/load/%u", number));
}

/**
 * ks_order_driver_refresh_fence() - release the engine lease to get a new token
 *
 * An order with an unknown outcome may still reach the engine. The lease is
 * acquired again by later steps, so the next order carries a higher fencing
 * token, after which an engine that checks tokens refuses the earlier order.
 */
void ks_order_driver_refresh_fence(ks_order_driver_t *driver)
{
	driver->refresh_fence = !release_lease(&driver->lease);
	ks_order_driver_schedule(driver,
				 driver->refresh_fence ? RELEASE_POLL_US : 0);
}

/**
 * ks_order_driver_leases_held() - whether the engine lease and the slot are
 * held
 */
bool ks_order_driver_leases_held(const ks_order_driver_t *driver)
{
	return is_held(driver->lease) && is_held(driver->slot);
}

/**
 * ks_order_driver_permit_held() - whether a load permit is held
 */
bool ks_order_driver_permit_held(const ks_order_driver_t *driver)
{
	return is_held(driver->permit);
}
