/*
 * Exchanges between entries what each of them knows of the tables of the store.
 */
#include "peers_internal.h"

/*
 * An entry that has started lately takes over what another one with the same
 * view of the upstreams knows of the time before.
 */
static void extend_settled(ks_peers_t *peers, const ks_view_t *view,
			   uint32_t settled_ms)
{
	int64_t since_us =
		ks_loop_now(peers->loop) - settled_ms * KS_USEC_PER_MSEC;

	if (settled_ms && peers->settled_since_start &&
	    view->digest == peers->views[KS_TABLE_MEMBERS].digest)
		peers->settled_us = MIN(peers->settled_us, MAX(since_us, 1));
}

/* Notes what another entry knows of each table. */
void peers_record_views(ks_peers_t *peers, struct peer *peer,
			const Ks__PeerState *state)
{
	int64_t now = ks_loop_now(peers->loop);

	if (state->n_table_revision != KS_N_TABLES ||
	    state->n_table_digest != KS_N_TABLES ||
	    state->n_table_age_ms != KS_N_TABLES)
		return;
	for (int i = 0; i < KS_N_TABLES; i++) {
		ks_view_t *view = &peer->views[i];

		view->revision = state->table_revision[i];
		view->digest = state->table_digest[i];
		view->read_us =
			MAX(now - state->table_age_ms[i] * KS_USEC_PER_MSEC, 1);
		if (i == KS_TABLE_MEMBERS)
			extend_settled(peers, view, state->settled_ms);
		/*
		 * Once for each digest: if reading does not lead to the same
		 * one, reading again would not either.
		 */
		if (!peers->outdated || peers->outdated_by[i] == view->digest ||
		    !ks_view_is_outdated(&peers->views[i], view))
			continue;
		peers->outdated_by[i] = view->digest;
		peers->outdated(peers->ctx, (ks_table_t)i);
	}
}

/* Adds what this entry knows of each table to a message. */
void peers_add_views(const ks_peers_t *peers, Ks__PeerState *state,
		     struct peers_view_fields *fields)
{
	int64_t now = ks_loop_now(peers->loop);

	for (int i = 0; i < KS_N_TABLES; i++) {
		const ks_view_t *view = &peers->views[i];

		if (!view->read_us)
			return;
		fields->revisions[i] = view->revision;
		fields->digests[i] = view->digest;
		fields->ages_ms[i] = (uint32_t)CLAMP((now - view->read_us) /
							     KS_USEC_PER_MSEC,
						     0, G_MAXINT32);
	}
	state->table_revision = fields->revisions;
	state->table_digest = fields->digests;
	state->table_age_ms = fields->ages_ms;
	state->n_table_revision = state->n_table_digest = KS_N_TABLES;
	state->n_table_age_ms = KS_N_TABLES;
	if (peers->settled_us)
		state->settled_ms = (uint32_t)CLAMP((now - peers->settled_us) /
							    KS_USEC_PER_MSEC,
						    0, G_MAXINT32);
}

/**
 * ks_peers_set_view() - note what this entry has read of a table
 *
 * If the contents have changed, the other entries are told at once, so that
 * they read the table as well.
 */
void ks_peers_set_view(ks_peers_t *peers, ks_table_t table,
		       const ks_view_t *view)
{
	bool changed = peers->views[table].digest != view->digest;

	peers->views[table] = *view;
	if (changed && peers->context && ks_peers_share_views(peers))
		ks_timer_set(&peers->timer, 0);
}

/**
 * ks_peers_share_views() - whether entries rely on the reads of a few of them
 */
bool ks_peers_share_views(const ks_peers_t *peers)
{
	return ks_views_are_shared(1 + ks_peers_n_announced(peers));
}

static ks_peer_view_t *collect_views(const ks_peers_t *peers, ks_table_t table,
				     size_t *n)
{
	size_t used = 0, all = ks_peers_n_active(peers);
	ks_peer_view_t *views = g_new(ks_peer_view_t, all + 1);
	GHashTableIter iter;
	gpointer value;

	if (all)
		g_hash_table_iter_init(&iter, peers->by_name);
	while (used < all && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		views[used].rank = peer->rank;
		views[used++].view = peer->views[table];
	}
	*n = used;
	return views;
}

/**
 * ks_peers_read_due_us() - when this entry has to read a table
 *
 * Return: the time, which may have passed.
 */
int64_t ks_peers_read_due_us(const ks_peers_t *peers, ks_table_t table,
			     const ks_view_limits_t *limits)
{
	size_t n;
	ks_peer_view_t *others = collect_views(peers, table, &n);
	int64_t due = ks_view_due_us(&peers->views[table], peers->rank, others,
				     n, ks_peers_share_views(peers), limits);

	g_free(others);
	return due;
}

/**
 * ks_peers_fresh_us() - time up to which this entry's view is known to be
 * current
 */
int64_t ks_peers_fresh_us(const ks_peers_t *peers, ks_table_t table)
{
	size_t n;
	ks_peer_view_t *others = collect_views(peers, table, &n);
	int64_t fresh = ks_view_fresh_us(&peers->views[table], others, n);

	g_free(others);
	return fresh;
}

/**
 * ks_peers_is_poller() - whether this entry is one of the few that act on the
 * store for all
 */
bool ks_peers_is_poller(const ks_peers_t *peers)
{
	size_t n;
	ks_peer_view_t *others = collect_views(peers, KS_TABLE_MEMBERS, &n);
	bool is_poller = !ks_peers_share_views(peers) ||
			 ks_view_is_poller(peers->rank, others, n);

	g_free(others);
	return is_poller;
}
