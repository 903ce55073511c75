/* Spread: which snapshot a process has in force. */
#include "ks/version.h"

/**
 * ks_spread_init() - set up with no snapshot in force
 */
void ks_spread_init(ks_spread_t *spread)
{
	spread->current = NULL;
	spread->known = 0;
}

/**
 * ks_spread_deinit() - drop the snapshot in force
 */
void ks_spread_deinit(ks_spread_t *spread)
{
	ks_snapshot_unref(spread->current);
	spread->current = NULL;
}

/**
 * ks_spread_version() - version in force, or 0 when there is none
 */
uint64_t ks_spread_version(const ks_spread_t *spread)
{
	return spread->current ? spread->current->version : 0;
}

/**
 * ks_spread_note_version() - note a version that a peer or the store named
 *
 * Return: true if it is higher than the one in force and should be fetched.
 */
bool ks_spread_note_version(ks_spread_t *spread, uint64_t version)
{
	spread->known = MAX(spread->known, version);
	return version > ks_spread_version(spread);
}

/**
 * ks_spread_offer() - decide on a snapshot that arrived
 * @version: version that its sender named
 * @digest: KS_DIGEST_SIZE bytes, or the same in hexadecimal digits
 * @body: canonical JSON
 *
 * The snapshot comes into force only as a whole, only when its digest matches
 * and only when its version is higher than the one in force.
 */
ks_spread_result_t ks_spread_offer(ks_spread_t *spread, uint64_t version,
				   ks_str_t digest, ks_str_t body)
{
	ks_digest_t expected, actual;
	ks_snapshot_t *snapshot;

	if (version <= ks_spread_version(spread))
		return KS_SPREAD_OLD;
	if (!ks_digest_from_bytes(&expected, digest) &&
	    !ks_digest_parse(&expected, digest))
		return KS_SPREAD_DAMAGED;
	ks_digest_compute(&actual, body);
	if (!ks_digest_equal(&actual, &expected))
		return KS_SPREAD_DAMAGED;
	snapshot = ks_snapshot_parse(body, NULL);
	if (!snapshot)
		return KS_SPREAD_DAMAGED;
	if (snapshot->version != version) {
		ks_snapshot_unref(snapshot);
		return KS_SPREAD_DAMAGED;
	}
	ks_snapshot_unref(spread->current);
	spread->current = snapshot;
	spread->known = MAX(spread->known, version);
	return KS_SPREAD_APPLIED;
}
