/*
 * Changes the stages of engines (prefill or decode) while holding the lease for
 * duties, so that only one entry at a time sends orders.
 */
#include "ks/gateway.h"

#include <string.h>

#define CHECK_INTERVAL_US (500 * KS_USEC_PER_MSEC)

/*
 * How long to wait for an engine to show an ordered stage: it may have
 * restarted, or the order was lost or is delayed. If there was no response to
 * the order, the engine is left alone for longer, as it may execute the order
 * late.
 */
#define STAGE_CHANGE_TIMEOUT_US (6 * KS_USEC_PER_SEC)
#define UNKNOWN_RETRY_US (15 * KS_USEC_PER_SEC)

/*
 * Called again right before an order is sent, as the lease may be lost between
 * the decision and the request.
 */
static bool permit(void *ctx, uint64_t *fence)
{
	const ks_stage_controller_t *controller = ctx;

	return ks_duty_lease_permit(controller->lease, fence);
}

static void on_ordered(void *ctx, ks_member_t *member,
		       ks_stage_outcome_t outcome)
{
	ks_stage_controller_t *controller = ctx;
	int64_t now = ks_loop_now(controller->loop);

	controller->orders_in_flight--;
	if (outcome == KS_STAGE_NOT_ORDERED) {
		member->pending_stage = KS_STAGE_ANY;
		member->next_order_us = now + CHECK_INTERVAL_US;
		return;
	}
	member->changed_us = now;
	member->next_order_us =
		now + (outcome == KS_STAGE_UNKNOWN ? UNKNOWN_RETRY_US
						   : STAGE_CHANGE_TIMEOUT_US);
}

static void order(ks_stage_controller_t *controller,
		  ks_stage_balance_t *balance, ks_member_t *member,
		  ks_stage_t stage)
{
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "a stage is out of balance upstream=%s stage=%s "
	       "decode_demand=%.2f decode_demand_peak=%.2f",
	       member->id, stage == KS_STAGE_PREFILL ? "prefill" : "decode",
	       balance->decode.average, balance->decode.peak);
	ks_stage_balance_record(balance, stage, ks_loop_now(controller->loop));
	member->pending_stage = stage;
	member->changed_us = ks_loop_now(controller->loop);
	controller->orders_in_flight++;
	controller->driver->order(controller->driver->impl, member, stage,
				  permit, on_ordered, controller);
}

/* Ends the changes that the engines show, or that have timed out. */
static void end_changes(const GPtrArray *members, int64_t now)
{
	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member = members->pdata[i];

		if (member->pending_stage &&
		    (member->stage == member->pending_stage ||
		     now - member->changed_us > STAGE_CHANGE_TIMEOUT_US))
			member->pending_stage = KS_STAGE_ANY;
	}
}

static void observe(ks_stage_controller_t *controller, const char *service,
		    ks_stage_balance_t *balance)
{
	GPtrArray *members = ks_fleet_members(controller->fleet, service);

	ks_stage_balance_observe(balance, members,
				 ks_loop_now(controller->loop));
	g_ptr_array_free(members, TRUE);
}

static ks_member_t *next_change(ks_stage_controller_t *controller,
				const char *service,
				const ks_stage_balance_t *balance,
				ks_stage_t *stage)
{
	GPtrArray *members = ks_fleet_members(controller->fleet, service);
	int64_t now = ks_loop_now(controller->loop);
	ks_member_t *next;

	end_changes(members, now);
	next = ks_stage_balance_next(balance, members, now, stage);
	g_ptr_array_free(members, TRUE);
	if (!next || next->next_order_us > now ||
	    ks_withdrawal_is_away(&next->withdrawal, now))
		return NULL;
	return next;
}

static void on_timer(void *ctx)
{
	ks_stage_controller_t *controller = ctx;
	gpointer service, balance;
	GHashTableIter iter;
	bool wanted = false;

	g_hash_table_iter_init(&iter, controller->services);
	while (g_hash_table_iter_next(&iter, &service, &balance)) {
		ks_stage_t stage;
		ks_member_t *member;

		observe(controller, service, balance);
		member = next_change(controller, service, balance, &stage);
		wanted |= member != NULL;
		while (member && !controller->stopping &&
		       ks_duty_lease_is_settled(controller->lease)) {
			order(controller, balance, member, stage);
			member = next_change(controller, service, balance,
					     &stage);
		}
	}
	if (wanted)
		controller->last_due_us = ks_loop_now(controller->loop);
	/* Keep the lease until the engines show the ordered stages. */
	wanted |= controller->orders_in_flight ||
		  (ks_duty_lease_is_held(controller->lease) &&
		   ks_loop_now(controller->loop) - controller->last_due_us <
			   STAGE_CHANGE_TIMEOUT_US);
	ks_duty_lease_set_wanted(&controller->user,
				 wanted && !controller->stopping);
	ks_timer_set(&controller->timer, CHECK_INTERVAL_US);
}

/**
 * ks_stage_controller_init() - start to control the stages of the engines
 * @lease: must outlive the controller
 * @prefill_share: see struct ks_stage_balance
 */
void ks_stage_controller_init(ks_stage_controller_t *controller,
			      ks_loop_t *loop, ks_fleet_t *fleet,
			      ks_duty_lease_t *lease,
			      const ks_stage_driver_t *driver,
			      double prefill_share)
{
	memset(controller, 0, sizeof(*controller));
	controller->loop = loop;
	controller->fleet = fleet;
	controller->driver = driver;
	controller->prefill_share = prefill_share;
	controller->lease = lease;
	controller->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ks_duty_lease_add_user(lease, &controller->user);
	ks_timer_init(&controller->timer, loop, on_timer, controller);
	ks_timer_set(&controller->timer, CHECK_INTERVAL_US);
}

/**
 * ks_stage_controller_set_services() - add the services whose engines have
 * stages
 *
 * Services that are no longer configured are not removed; without engines, they
 * have no effect.
 */
void ks_stage_controller_set_services(ks_stage_controller_t *controller,
				      const ks_traffic_t *traffic)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traffic->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_service_t *service = value;
		ks_stage_balance_t *balance;

		if (!service->transfers_kv ||
		    g_hash_table_contains(controller->services, service->name))
			continue;
		balance = g_new0(ks_stage_balance_t, 1);
		balance->prefill_share = controller->prefill_share;
		g_hash_table_insert(controller->services,
				    g_strdup(service->name), balance);
	}
}

/**
 * ks_stage_controller_stop() - send no more orders
 */
void ks_stage_controller_stop(ks_stage_controller_t *controller)
{
	controller->stopping = true;
}

void ks_stage_controller_deinit(ks_stage_controller_t *controller)
{
	ks_timer_clear(&controller->timer);
	g_hash_table_destroy(controller->services);
}
