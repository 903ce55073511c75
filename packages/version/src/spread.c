/*
 * Tracks which snapshot a process has in force. Snapshots arrive from the store
 * and from peers, in any order; the version in force only ever increases.
 */
#include "ks/version.h"

/**
 * ks_snapshot_tracker_init() - initialize with no snapshot in force
 */
void ks_snapshot_tracker_init(ks_snapshot_tracker_t *tracker)
{
	tracker->current = NULL;
	tracker->highest_seen = 0;
}

/**
 * ks_snapshot_tracker_deinit() - release the snapshot in force
 */
void ks_snapshot_tracker_deinit(ks_snapshot_tracker_t *tracker)
{
	ks_snapshot_unref(tracker->current);
	tracker->current = NULL;
}

/**
 * ks_snapshot_tracker_version() - get the version in force
 *
 * Return: the version, or 0 if no snapshot is in force.
 */
uint64_t ks_snapshot_tracker_version(const ks_snapshot_tracker_t *tracker)
{
	return tracker->current ? tracker->current->version : 0;
}

/**
 * ks_snapshot_tracker_observe_version() - record an announced version
 * @version: version announced by a peer or by the store
 *
 * Return: true if it is above the version in force and should be fetched.
 */
bool ks_snapshot_tracker_observe_version(ks_snapshot_tracker_t *tracker,
					 uint64_t version)
{
	tracker->highest_seen = MAX(tracker->highest_seen, version);
	return version > ks_snapshot_tracker_version(tracker);
}

/**
 * ks_snapshot_tracker_offer() - put a received snapshot in force if it is newer
 * @version: version announced by the sender
 * @digest: KS_DIGEST_SIZE bytes in binary or hexadecimal form
 * @body: canonical JSON
 *
 * The snapshot replaces the one in force if its version is higher, its digest
 * matches and its contents are valid. Otherwise nothing changes.
 */
ks_snapshot_offer_result_t
ks_snapshot_tracker_offer(ks_snapshot_tracker_t *tracker, uint64_t version,
			  ks_str_t digest, ks_str_t body)
{
	ks_digest_t expected, actual;
	ks_snapshot_t *snapshot;

	if (version <= ks_snapshot_tracker_version(tracker))
		return KS_SNAPSHOT_NOT_NEWER;
	if (!ks_digest_from_bytes(&expected, digest) &&
	    !ks_digest_parse(&expected, digest))
		return KS_SNAPSHOT_DAMAGED;
	ks_digest_compute(&actual, body);
	if (!ks_digest_equal(&actual, &expected))
		return KS_SNAPSHOT_DAMAGED;
	snapshot = ks_snapshot_parse(body, NULL);
	if (!snapshot)
		return KS_SNAPSHOT_DAMAGED;
	if (snapshot->version != version) {
		ks_snapshot_unref(snapshot);
		return KS_SNAPSHOT_DAMAGED;
	}
	ks_snapshot_unref(tracker->current);
	tracker->current = snapshot;
	tracker->highest_seen = MAX(tracker->highest_seen, version);
	return KS_SNAPSHOT_APPLIED;
}
