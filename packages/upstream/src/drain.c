/* Decides whether an upstream process accepts requests and when it is drained.
 */
#include "ks/upstream.h"

static const char *const reason_names[] = {
	[KS_DRAIN_NONE] = "ready",
	[KS_DRAIN_NO_SNAPSHOT] = "without a snapshot",
	[KS_DRAIN_CHANGING] = "changing",
	[KS_DRAIN_WITHDRAWN] = "withdrawn by the configuration",
	[KS_DRAIN_HOST_LEAVING] = "on a leaving host",
	[KS_DRAIN_STOPPING] = "stopping",
};

/**
 * ks_drain_init() - set up a state without a snapshot, which refuses requests
 */
void ks_drain_init(ks_drain_t *drain)
{
	*drain = (ks_drain_t){ 0 };
}

/**
 * ks_drain_set_snapshot() - record that a new snapshot is in force
 * @listed: the snapshot lists this upstream
 */
void ks_drain_set_snapshot(ks_drain_t *drain, bool listed)
{
	drain->has_snapshot = true;
	drain->listed = listed;
}

/**
 * ks_drain_set_changing() - record whether the engine is being changed
 */
void ks_drain_set_changing(ks_drain_t *drain, bool changing)
{
	drain->changing = changing;
}

/**
 * ks_drain_set_host_list() - record what the host list says about this host
 * @leaving: the list has this host as leaving
 * @requested_us: when the list was requested, on the same clock as
 *	ks_drain_note_leaving_seen()
 *
 * A list that does not have the host as leaving also cancels an entry's report,
 * but only if it was requested more than KS_DRAIN_REPORT_HOLD_US after it.
 */
void ks_drain_set_host_list(ks_drain_t *drain, bool leaving,
			    int64_t requested_us)
{
	drain->host_leaving = leaving;
	if (!leaving &&
	    requested_us - drain->leaving_seen_us > KS_DRAIN_REPORT_HOLD_US)
		drain->leaving_seen = false;
}

/**
 * ks_drain_note_leaving_seen() - record an entry's report that this host is
 * leaving
 */
void ks_drain_note_leaving_seen(ks_drain_t *drain, int64_t now_us)
{
	drain->leaving_seen = true;
	drain->leaving_seen_us = now_us;
}

/**
 * ks_drain_stop() - refuse new requests for good, since the process is stopping
 */
void ks_drain_stop(ks_drain_t *drain)
{
	drain->stopping = true;
}

/**
 * ks_drain_begin() - count a request that was accepted
 */
void ks_drain_begin(ks_drain_t *drain)
{
	drain->in_flight++;
}

/**
 * ks_drain_end() - count the end of an accepted request
 */
void ks_drain_end(ks_drain_t *drain)
{
	g_assert(drain->in_flight > 0);
	drain->in_flight--;
}

/**
 * ks_drain_reason() - why new requests are refused
 */
ks_drain_reason_t ks_drain_reason(const ks_drain_t *drain)
{
	if (drain->stopping)
		return KS_DRAIN_STOPPING;
	if (drain->host_leaving || drain->leaving_seen)
		return KS_DRAIN_HOST_LEAVING;
	if (!drain->has_snapshot)
		return KS_DRAIN_NO_SNAPSHOT;
	if (!drain->listed)
		return KS_DRAIN_WITHDRAWN;
	return drain->changing ? KS_DRAIN_CHANGING : KS_DRAIN_NONE;
}

/**
 * ks_drain_reason_name() - description of a reason, for log messages
 */
const char *ks_drain_reason_name(ks_drain_reason_t reason)
{
	return reason_names[reason];
}

/**
 * ks_drain_state() - state to announce to the entries
 */
ks_upstream_state_t ks_drain_state(const ks_drain_t *drain)
{
	switch (ks_drain_reason(drain)) {
	case KS_DRAIN_NONE:
		return KS_UPSTREAM_READY;
	case KS_DRAIN_NO_SNAPSHOT:
		return KS_UPSTREAM_UNKNOWN;
	case KS_DRAIN_CHANGING:
		return KS_UPSTREAM_CHANGING;
	default:
		return KS_UPSTREAM_LEAVING;
	}
}

/**
 * ks_drain_is_accepting() - whether new requests are accepted
 */
bool ks_drain_is_accepting(const ks_drain_t *drain)
{
	return ks_drain_reason(drain) == KS_DRAIN_NONE;
}

/**
 * ks_drain_is_drained() - whether new requests are refused and none is in
 * flight
 */
bool ks_drain_is_drained(const ks_drain_t *drain)
{
	return !ks_drain_is_accepting(drain) && drain->in_flight == 0;
}
