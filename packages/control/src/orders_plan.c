/*
 * Polls row plan/MODEL of the store for the planned role of the engine:
 *	{"number":N,"fence":F,"roles":{"UPSTREAM":"ROLE"}}
 */
#include "orders.h"

#include <jansson.h>

#define PLAN_POLL_US (5 * KS_USEC_PER_SEC)
#define POLL_JITTER 0.3

/**
 * ks_order_driver_apply_role() - set the target role from the plan, or from the
 * snapshot if the plan does not name the engine
 */
void ks_order_driver_apply_role(ks_order_driver_t *driver)
{
	driver->target.role =
		driver->planned ? driver->plan_role : driver->snapshot_role;
	ks_order_driver_schedule(driver, 0);
}

/* Returns false if the row is malformed; @role is set only if @named is. */
static bool decode_plan(ks_str_t value, const char *upstream_id,
			uint64_t *number, bool *named, ks_engine_role_t *role)
{
	json_t *object =
		json_loadb(value.data ? value.data : "", value.len, 0, NULL);
	const char *name;
	json_int_t parsed;
	json_t *roles;
	bool ok;

	ok = object &&
	     !json_unpack(object, "{s:I,s:o}", "number", &parsed, "roles",
			  &roles) &&
	     parsed >= 0 && json_is_object(roles);
	if (ok) {
		name = json_string_value(json_object_get(roles, upstream_id));
		*number = (uint64_t)parsed;
		*named = name != NULL;
		ok = !name || ks_engine_role_parse(role, ks_str_from(name));
	}
	json_decref(object);
	return ok;
}

static void on_plan(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_order_driver_t *driver = ctx;
	ks_engine_role_t role;
	uint64_t number;
	bool named;

	if (!ks_order_driver_end_operation(driver))
		return;
	driver->polling_plan = false;
	ks_timer_set(&driver->plan_timer,
		     ks_rng_jitter(driver->rng, PLAN_POLL_US, POLL_JITTER));
	if (outcome != KS_STORE_DONE || !row->etag.len ||
	    !decode_plan(row->value, driver->upstream_id, &number, &named,
			 &role))
		return;
	/* A stale read must not restore an older plan. */
	if (number < driver->plan_number)
		return;
	driver->plan_number = number;
	driver->planned = named;
	driver->plan_role = role;
	ks_order_driver_apply_role(driver);
}

/**
 * ks_order_driver_poll_plan() - read the plan of the engine's model
 */
void ks_order_driver_poll_plan(void *ctx)
{
	ks_order_driver_t *driver = ctx;
	char *key, *part;

	if (driver->polling_plan || !driver->target.known)
		return;
	part = g_uri_escape_string(driver->target.model, NULL, FALSE);
	key = g_strdup_printf("plan/%s", part);
	driver->polling_plan = true;
	driver->refs++;
	driver->store->get(driver->store->impl, ks_str_from(key), on_plan,
			   driver);
	g_free(part);
	g_free(key);
}
