/*
 * Decides which entries read the tables of the store. If each of a hundred
 * entries polled, the store would get more than a hundred requests a second,
 * nearly all of which report no change. So a few entries, the pollers, poll and
 * tell the others how old their view is, with a digest of it. An entry with the
 * same digest is as up to date as the poller. An entry whose digest differs
 * reads the table itself, and so does one that has not been told in time.
 *
 * No entry takes over contents from another one, so a poller that lags, freezes
 * or reports a wrong digest delays the others by the maximum age at most.
 */
#include "ks/gateway.h"

/* Enough that a few may fail at the same time without the others noticing. */
#define POLLERS 3

/* With fewer entries than this, reading for others saves little. */
#define MIN_SHARING_ENTRIES 12

/**
 * ks_views_are_shared() - whether entries rely on pollers
 * @n_entries: number of entries, with this one
 */
bool ks_views_are_shared(size_t n_entries)
{
	return n_entries >= MIN_SHARING_ENTRIES;
}

/**
 * ks_view_is_poller() - whether an entry polls for the others
 * @rank: rank of this entry, a hash of its name
 * @others: the other entries that have been heard of lately
 *
 * All entries that hear of each other choose the same ones.
 */
bool ks_view_is_poller(uint64_t rank, const ks_peer_view_t *others, size_t n)
{
	size_t lower = 0;

	for (size_t i = 0; i < n; i++)
		lower += others[i].rank < rank;
	return lower < POLLERS;
}

/**
 * ks_view_order() - number that orders what was read of a table
 * @era: era of the store, which counts first; see struct ks_row
 * @revision: revision of the store up to which the table was read
 */
int64_t ks_view_order(int64_t era, int64_t revision)
{
	return (era << KS_VIEW_REVISION_BITS) +
	       MIN(revision, (1LL << KS_VIEW_REVISION_BITS) - 1);
}

static int64_t view_era(const ks_view_t *view)
{
	return view->revision >> KS_VIEW_REVISION_BITS;
}

/**
 * ks_view_fresh_us() - time up to which a view is known to be current
 */
int64_t ks_view_fresh_us(const ks_view_t *own, const ks_peer_view_t *others,
			 size_t n)
{
	int64_t fresh_us = own->read_us;

	for (size_t i = 0; i < n; i++)
		if (others[i].view.read_us &&
		    others[i].view.digest == own->digest &&
		    view_era(&others[i].view) >= view_era(own))
			fresh_us = MAX(fresh_us, others[i].view.read_us);
	return fresh_us;
}

/**
 * ks_view_is_outdated() - whether another entry has read something else later
 */
bool ks_view_is_outdated(const ks_view_t *own, const ks_view_t *other)
{
	return other->read_us && other->digest != own->digest &&
	       other->revision > own->revision;
}

/**
 * ks_view_due_us() - when an entry has to read a table
 * @rank: see ks_view_is_poller()
 * @shared: see ks_views_are_shared()
 *
 * Return: the time, which may have passed.
 */
int64_t ks_view_due_us(const ks_view_t *own, uint64_t rank,
		       const ks_peer_view_t *others, size_t n, bool shared,
		       const ks_view_limits_t *limits)
{
	if (!shared)
		return own->read_us + limits->alone_us;
	if (ks_view_is_poller(rank, others, n))
		return own->read_us + limits->poller_us;
	return ks_view_fresh_us(own, others, n) + limits->max_age_us;
}
