/*
 * Chooses the next step that brings an engine from its observed state to its
 * target state. Performs no I/O; orders.c carries out the steps.
 */
#include "ks/control.h"

#include <string.h>

/**
 * ks_order_target_init() - set up an empty target, with @known false
 */
void ks_order_target_init(ks_order_target_t *target)
{
	memset(target, 0, sizeof(*target));
	target->adapters = g_ptr_array_new_with_free_func(g_free);
}

/**
 * ks_order_target_deinit() - free what a target owns
 */
void ks_order_target_deinit(ks_order_target_t *target)
{
	g_ptr_array_free(target->adapters, TRUE);
	target->adapters = NULL;
}

static const ks_upstream_t *find_engine(const ks_snapshot_t *snapshot,
					const char *id)
{
	for (size_t i = 0; i < snapshot->upstreams->len; i++) {
		const ks_upstream_t *upstream =
			(const ks_upstream_t *)g_ptr_array_index(
				snapshot->upstreams, i);

		if (upstream->model && !strcmp(upstream->id, id))
			return upstream;
	}
	return NULL;
}

static const ks_model_t *find_model(const ks_snapshot_t *snapshot,
				    const char *name)
{
	for (size_t i = 0; i < snapshot->models->len; i++) {
		const ks_model_t *model = (const ks_model_t *)g_ptr_array_index(
			snapshot->models, i);

		if (!strcmp(model->name, name))
			return model;
	}
	return NULL;
}

/**
 * ks_order_target_from_snapshot() - read the target of an engine
 *
 * The role is the one in the snapshot; a plan may override it afterwards.
 */
void ks_order_target_from_snapshot(ks_order_target_t *target,
				   const ks_snapshot_t *snapshot,
				   const char *upstream_id)
{
	const ks_upstream_t *engine = find_engine(snapshot, upstream_id);
	const ks_model_t *model =
		engine ? find_model(snapshot, engine->model) : NULL;

	g_ptr_array_set_size(target->adapters, 0);
	target->known = model != NULL;
	if (!model)
		return;
	g_strlcpy(target->model, model->name, sizeof(target->model));
	g_strlcpy(target->version, model->version, sizeof(target->version));
	g_strlcpy(target->domain, engine->domain, sizeof(target->domain));
	target->role = engine->role;
	for (size_t i = 0; model->adapters && i < model->adapters->len; i++)
		g_ptr_array_add(target->adapters,
				g_strdup((const char *)g_ptr_array_index(
					model->adapters, i)));
}

/* Returns the first name in @names that is not in @others, or NULL. */
static const char *first_missing(const GPtrArray *names,
				 const GPtrArray *others)
{
	for (size_t i = 0; names && i < names->len; i++) {
		const char *name = (const char *)g_ptr_array_index(names, i);
		bool found = false;

		for (size_t j = 0; others && j < others->len; j++)
			found |= !strcmp(name, (const char *)g_ptr_array_index(
						       others, j));
		if (!found)
			return name;
	}
	return NULL;
}

static bool set_order(ks_order_t *order, ks_order_kind_t kind, const char *name,
		      const char *version)
{
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	g_strlcpy(order->name, name, sizeof(order->name));
	g_strlcpy(order->version, version, sizeof(order->version));
	return true;
}

/**
 * ks_order_needed() - find the first order towards the target
 * @order: set, except for the fencing token, if an order is needed
 *
 * Return: false if the engine is in its target state.
 */
bool ks_order_needed(const ks_order_target_t *target,
		     const ks_engine_state_t *state, ks_order_t *order)
{
	const char *adapter;

	if (!*state->model)
		return set_order(order, KS_ORDER_LOAD_MODEL, target->model,
				 target->version);
	if (strcmp(state->model, target->model) != 0 ||
	    strcmp(state->version, target->version) != 0)
		return set_order(order, KS_ORDER_UNLOAD_MODEL, state->model,
				 state->version);
	adapter = first_missing(state->adapters, target->adapters);
	if (adapter)
		return set_order(order, KS_ORDER_UNLOAD_ADAPTER, adapter, "");
	adapter = first_missing(target->adapters, state->adapters);
	if (adapter)
		return set_order(order, KS_ORDER_LOAD_ADAPTER, adapter, "");
	if (state->role == target->role)
		return false;
	set_order(order, KS_ORDER_SET_ROLE, "", "");
	order->role = target->role;
	return true;
}

/* Both kinds read from the weight store, whose throughput is limited. */
static bool needs_permit(const ks_order_t *order)
{
	return order->kind == KS_ORDER_LOAD_MODEL ||
	       order->kind == KS_ORDER_LOAD_ADAPTER;
}

static ks_order_step_t next_at_target(const ks_order_view_t *view)
{
	if (!view->accepting)
		return KS_ORDER_STEP_ACCEPT;
	return view->lease_requested ? KS_ORDER_STEP_RELEASE
				     : KS_ORDER_STEP_NONE;
}

/* An engine with a model keeps serving until the leases have been acquired. */
static ks_order_step_t next_without_lease(const ks_order_view_t *view)
{
	bool serves = *view->state->model != '\0';

	if (view->accepting && !serves)
		return KS_ORDER_STEP_DRAIN;
	if (!view->accepting && serves && (!view->changing || view->abandoned))
		return KS_ORDER_STEP_ACCEPT;
	return KS_ORDER_STEP_ACQUIRE;
}

static ks_order_step_t next_in_change(const ks_order_view_t *view,
				      const ks_order_t *order)
{
	if (view->accepting || !view->changing)
		return KS_ORDER_STEP_DRAIN;
	if (view->in_flight > 0)
		return KS_ORDER_STEP_WAIT;
	if (needs_permit(order) && !view->permit_held)
		return KS_ORDER_STEP_ACQUIRE_PERMIT;
	if (!view->fresh)
		return KS_ORDER_STEP_OBSERVE;
	/*
	 * If a lease expired before the order's timeout, another process could
	 * acquire it and send an order that overlaps this one.
	 */
	if (view->time_left_us < view->order_timeout_us)
		return KS_ORDER_STEP_WAIT;
	return KS_ORDER_STEP_SEND;
}

/**
 * ks_order_next() - choose the next step for an engine
 * @order: set for KS_ORDER_STEP_SEND, except for the fencing token
 */
ks_order_step_t ks_order_next(const ks_order_view_t *view, ks_order_t *order)
{
	if (view->order_pending)
		return KS_ORDER_STEP_WAIT;
	if (view->stopping || !view->target->known)
		return view->lease_requested ? KS_ORDER_STEP_RELEASE
					     : KS_ORDER_STEP_WAIT;
	if (!view->state)
		return KS_ORDER_STEP_OBSERVE;
	/*
	 * An earlier order is still being executed, possibly one that a
	 * previous lease holder sent.
	 */
	if (view->state->busy_with_order)
		return KS_ORDER_STEP_OBSERVE;
	if (!ks_order_needed(view->target, view->state, order))
		return next_at_target(view);
	if (!view->leases_held)
		return next_without_lease(view);
	return next_in_change(view, order);
}
