/*
 * Changes the stages of engines (prefill or decode) while holding a lease. Only
 * one entry at a time sends orders. A new holder first waits until no order of
 * the previous holder can arrive any more, since it could arrive between its
 * own.
 */
#include "ks/gateway.h"

#include <string.h>

#define PERIOD_US (500 * KS_USEC_PER_MSEC)
#define LEASE_KEY "lease/stages"

/* Added to the time within which orders of two holders must not interleave. */
#define SETTLE_MARGIN_US (700 * KS_USEC_PER_MSEC)

/* Minimum remaining lease time for sending an order. */
#define MIN_LEASE_LEFT_US (1000 * KS_USEC_PER_MSEC)

/*
 * When an order is given up if the engine does not show the new stage: it may
 * have restarted, or the order was lost or is delayed. An order without a
 * response is retried later still, as the engine may execute it late.
 */
#define STAGE_CHANGE_TIMEOUT_US (6 * KS_USEC_PER_SEC)
#define UNKNOWN_RETRY_US (15 * KS_USEC_PER_SEC)

static bool may_order(const ks_stage_controller_t *run)
{
	return ks_lease_keeper_is_held(run->keeper) &&
	       ks_clock_now(run->boottime) - run->held_since_us >=
		       run->settle_us;
}

/*
 * Called again right before an order is sent, as the lease may be lost between
 * the decision and the request.
 */
static bool permit(void *ctx, uint64_t *fence)
{
	ks_stage_controller_t *run = ctx;

	if (!may_order(run) ||
	    ks_lease_keeper_remaining(run->keeper) < MIN_LEASE_LEFT_US)
		return false;
	*fence = ks_lease_keeper_fence(run->keeper);
	return true;
}

static void on_ordered(void *ctx, ks_member_t *member,
		       ks_stage_outcome_t outcome)
{
	ks_stage_controller_t *run = ctx;
	int64_t now = ks_loop_now(run->loop);

	run->orders_in_flight--;
	if (outcome == KS_STAGE_NOT_ORDERED) {
		member->pending_stage = KS_STAGE_ANY;
		member->next_order_us = now + PERIOD_US;
		return;
	}
	member->changed_us = now;
	member->next_order_us =
		now + (outcome == KS_STAGE_UNKNOWN ? UNKNOWN_RETRY_US
						   : STAGE_CHANGE_TIMEOUT_US);
}

static void order(ks_stage_controller_t *run, ks_stage_balance_t *stages,
		  ks_member_t *member, ks_stage_t stage)
{
	ks_stage_balance_record(stages, stage, ks_loop_now(run->loop));
	member->pending_stage = stage;
	member->changed_us = ks_loop_now(run->loop);
	run->orders_in_flight++;
	run->driver->order(run->driver->impl, member, stage, permit, on_ordered,
			   run);
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

static ks_member_t *next_change(ks_stage_controller_t *run, const char *service,
				const ks_stage_balance_t *stages,
				ks_stage_t *stage)
{
	GPtrArray *members = ks_fleet_members(run->fleet, service);
	int64_t now = ks_loop_now(run->loop);
	ks_member_t *next;

	end_changes(members, now);
	next = ks_stage_balance_next(stages, members, now, stage);
	g_ptr_array_free(members, TRUE);
	return next && next->next_order_us <= now ? next : NULL;
}

static void on_timer(void *ctx)
{
	ks_stage_controller_t *run = ctx;
	gpointer service, stages;
	GHashTableIter iter;
	bool wanted = false;

	g_hash_table_iter_init(&iter, run->services);
	while (g_hash_table_iter_next(&iter, &service, &stages)) {
		ks_stage_t stage;
		ks_member_t *member = next_change(run, service, stages, &stage);

		wanted |= member != NULL;
		while (member && may_order(run) && !run->stopping) {
			order(run, stages, member, stage);
			member = next_change(run, service, stages, &stage);
		}
	}
	if (wanted)
		run->last_due_us = ks_loop_now(run->loop);
	/* Keep the lease until the engines show the ordered stages. */
	wanted |= run->orders_in_flight ||
		  (ks_lease_keeper_is_held(run->keeper) &&
		   ks_loop_now(run->loop) - run->last_due_us <
			   STAGE_CHANGE_TIMEOUT_US);
	ks_lease_keeper_want(run->keeper, wanted && !run->stopping);
	ks_timer_set(&run->timer, PERIOD_US);
}

static void on_held(void *ctx, bool held)
{
	ks_stage_controller_t *run = ctx;

	if (held)
		run->held_since_us = ks_clock_now(run->boottime);
}

/**
 * ks_stage_controller_init() - start to control the stages of the engines
 * @boottime: clock that includes the time during which the system is suspended
 * @turns_us: orders of two holders closer together than this count as
 *	interleaved
 * @prefill_share: share of the engines that should run prefill, 0 to 1
 */
void ks_stage_controller_init(ks_stage_controller_t *run, ks_loop_t *loop,
			      ks_fleet_t *fleet, ks_store_t *store,
			      const ks_stage_driver_t *driver,
			      const ks_clock_t *boottime, ks_rng_t *rng,
			      int64_t turns_us, double prefill_share)
{
	ks_id_t holder;

	memset(run, 0, sizeof(*run));
	run->loop = loop;
	run->fleet = fleet;
	run->driver = driver;
	run->prefill_share = prefill_share;
	run->settle_us = turns_us + SETTLE_MARGIN_US;
	run->boottime = boottime;
	run->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ks_id_generate_seeded(&holder, rng);
	run->keeper =
		ks_lease_keeper_new(loop, store, run->boottime, rng, LEASE_KEY,
				    &holder, turns_us, on_held, run);
	ks_timer_init(&run->timer, loop, on_timer, run);
	ks_timer_set(&run->timer, PERIOD_US);
}

/**
 * ks_stage_controller_set_services() - add the services whose engines have
 * stages
 *
 * Services that are no longer configured are not removed; without engines, they
 * have no effect.
 */
void ks_stage_controller_set_services(ks_stage_controller_t *run,
				      const ks_traffic_t *traffic)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traffic->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_service_t *service = value;
		ks_stage_balance_t *stages;

		if (!service->transfers_kv ||
		    g_hash_table_contains(run->services, service->name))
			continue;
		stages = g_new0(ks_stage_balance_t, 1);
		stages->prefill_share = run->prefill_share;
		g_hash_table_insert(run->services, g_strdup(service->name),
				    stages);
	}
}

/**
 * ks_stage_controller_stop() - send no more orders and release the lease
 */
void ks_stage_controller_stop(ks_stage_controller_t *run)
{
	run->stopping = true;
}

void ks_stage_controller_deinit(ks_stage_controller_t *run)
{
	ks_timer_clear(&run->timer);
	ks_lease_keeper_free(run->keeper);
	g_hash_table_destroy(run->services);
}
