/*
 * Finds out which process of an upstream a connection leads to. A process may
 * start again under the id and at the address of the one before, with another
 * version of its software. It announces itself before it serves, so a
 * connection leads to the announced process if that one is there after the
 * connection had been established: an earlier process has ended and its
 * connections with it, and a later one would have announced itself.
 *
 * Two sources tell that it is there: a read of the announcements, and the
 * upstream itself, which states when its process started. The second one does
 * not depend on the store.
 */
#include "gateway_internal.h"

/* Questions to an upstream, one after the other, before it counts as silent. */
#define MAX_QUESTIONS 2

/**
 * gateway_is_identified() - whether a connection to an upstream leads to the
 * process that is known there
 * @since_us: when the connection was established, or later
 */
bool gateway_is_identified(const ks_gateway_t *gateway,
			   const ks_member_t *member, int64_t since_us)
{
	return !gateway->read_members || member->confirmed_us >= since_us;
}

/* An upstream that wants few requests now is not asked. */
static bool may_ask(const ks_member_t *member, int64_t now_us)
{
	return !member->asked_us && !member->is_replaced &&
	       !ks_withdrawal_is_away(&member->withdrawal, now_us) &&
	       ks_stated_limit_permits(&member->withdrawal.limit, now_us);
}

/**
 * gateway_is_silent() - whether an upstream does not say which process it is
 */
bool gateway_is_silent(const ks_member_t *member)
{
	return member->n_silent >= MAX_QUESTIONS;
}

static void ask_process(ks_gateway_t *gateway, ks_member_t *member)
{
	int64_t now_us = ks_loop_now(gateway->loop);

	if (!gateway->read_process || !may_ask(member, now_us))
		return;
	member->asked_us = now_us;
	gateway->read_process(gateway->read_process_ctx, member);
}

static void on_identify_timer(void *ctx)
{
	ks_gateway_t *gateway = ctx;
	GPtrArray *members = gateway->to_identify;

	gateway->to_identify =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_member_unref);
	for (guint i = 0; i < members->len; i++)
		ask_process(gateway, members->pdata[i]);
	g_ptr_array_free(members, TRUE);
	gateway->read_members(gateway->read_members_ctx, 0);
}

/**
 * gateway_identify() - find out whether the known process of an upstream is
 * there
 * @member: NULL if it is not known
 *
 * Exchanges that wait are told by exchange_identity_changed(), not before this
 * returns. The upstream is asked in addition to the store, which may be away.
 */
void gateway_identify(ks_gateway_t *gateway, ks_member_t *member)
{
	if (!gateway->read_members)
		return;
	if (member) {
		member->ask_after_us = ks_loop_now(gateway->loop);
		/* A question that is under way counts for this one as well. */
		if (!member->asked_us)
			member->n_silent = 0;
		if (!g_ptr_array_find(gateway->to_identify, member, NULL))
			g_ptr_array_add(gateway->to_identify,
					ks_member_ref(member));
	}
	if (!ks_timer_is_set(&gateway->identify_timer))
		ks_timer_set(&gateway->identify_timer, 0);
}

/**
 * struct settling - arguments of settle_claim()
 * @settled: uint64_t of the streams of this entry whose origin is known now
 */
struct settling {
	const ks_gateway_t *gateway;
	GArray *settled;
};

static bool settle_claim(void *ctx, const ks_stream_claim_t *claim,
			 uint64_t *origin)
{
	const struct settling *settling = ctx;
	const ks_gateway_t *gateway = settling->gateway;
	const ks_member_t *member =
		ks_fleet_find_process(&gateway->fleet, claim->process);

	if (!member && gateway->members_read_us >= claim->since_us) {
		ks_counter_add(gateway->counters.origins_lost, claim->is_own);
		ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
		       "the process that began a stream is gone, its origin "
		       "stays unknown stream=%016" PRIx64 " is_own=%d",
		       claim->stream, claim->is_own);
		return false;
	}
	if (!member)
		return true;
	if (!gateway_is_identified(gateway, member, claim->since_us))
		return true;
	*origin = member->origin;
	if (claim->is_own)
		g_array_append_val(settling->settled, claim->stream);
	return true;
}

/* Records, and tells other entries, which origins have become known. */
static void settle_claims(ks_gateway_t *gateway)
{
	struct settling settling = {
		.gateway = gateway,
		.settled = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};
	int64_t now_us = ks_loop_now(gateway->loop);

	ks_stream_origins_settle(&gateway->origins, settle_claim, &settling,
				 now_us);
	for (guint i = 0; i < settling.settled->len; i++) {
		uint64_t stream = g_array_index(settling.settled, uint64_t, i);

		ks_peers_announce_stream(
			&gateway->peers, stream,
			ks_stream_origins_find(&gateway->origins, stream,
					       now_us),
			0);
	}
	g_array_free(settling.settled, TRUE);
}

static void tell_exchanges(ks_gateway_t *gateway)
{
	settle_claims(gateway);
	KS_LIST_FOREACH_SAFE (it, tmp, &gateway->exchanges)
		exchange_identity_changed(
			KS_CONTAINER_OF(it, struct exchange, node));
}

static void note_mixtures(ks_gateway_t *gateway)
{
	ks_peers_t *peers = &gateway->peers;
	bool is_first = !peers->settled_us;

	if (!is_first && gateway->n_mixtures == gateway->fleet.n_mixtures)
		return;
	gateway->n_mixtures = gateway->fleet.n_mixtures;
	peers->settled_us = ks_loop_now(gateway->loop);
	peers->settled_since_start = is_first;
}

/* A row that only an older copy of the store has is in no read that counts. */
static void confirm_members(ks_gateway_t *gateway, int64_t asked_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->fleet.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ks_member_t *member = value;

		if (!member->remove_at_us)
			member->confirmed_us =
				MAX(member->confirmed_us, asked_us);
	}
}

/**
 * ks_gateway_members_read() - note that the fleet has what a read of the
 * announcements of upstreams reported
 * @asked_us: when the read was begun
 */
void ks_gateway_members_read(ks_gateway_t *gateway, int64_t asked_us)
{
	note_mixtures(gateway);
	gateway->members_read_us = asked_us;
	confirm_members(gateway, asked_us);
	tell_exchanges(gateway);
}

/**
 * ks_gateway_process_read() - note what an upstream has said of its process
 */
void ks_gateway_process_read(ks_gateway_t *gateway, ks_member_t *member,
			     ks_process_answer_t answer)
{
	int64_t asked_us = member->asked_us;

	member->asked_us = 0;
	if (answer == KS_PROCESS_SAME)
		member->confirmed_us = MAX(member->confirmed_us, asked_us);
	if (answer == KS_PROCESS_OTHER) {
		ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
		       "another process serves than the announced one "
		       "upstream=%s software=%s",
		       member->id, member->software);
		member->is_replaced = true;
	}
	member->n_silent =
		answer == KS_PROCESS_SILENT ? member->n_silent + 1 : 0;
	if (member->n_silent ? !gateway_is_silent(member)
			     : member->ask_after_us > asked_us)
		ask_process(gateway, member);
	tell_exchanges(gateway);
}

/**
 * ks_gateway_set_member_reader() - set what reads the announcements of
 * upstreams again
 * @func: NULL for none
 */
void ks_gateway_set_member_reader(ks_gateway_t *gateway,
				  ks_read_members_func_t func, void *ctx)
{
	gateway->read_members = func;
	gateway->read_members_ctx = ctx;
}

/**
 * ks_gateway_set_process_reader() - set what asks an upstream for the start of
 * its process
 * @func: NULL for none; the store alone identifies processes then
 */
void ks_gateway_set_process_reader(ks_gateway_t *gateway,
				   ks_read_process_func_t func, void *ctx)
{
	gateway->read_process = func;
	gateway->read_process_ctx = ctx;
}

void gateway_identity_init(ks_gateway_t *gateway)
{
	gateway->to_identify =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_member_unref);
	ks_timer_init(&gateway->identify_timer, gateway->loop,
		      on_identify_timer, gateway);
}

void gateway_identity_deinit(ks_gateway_t *gateway)
{
	ks_timer_clear(&gateway->identify_timer);
	g_ptr_array_free(gateway->to_identify, TRUE);
}
