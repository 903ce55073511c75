/* Whether an upstream process takes new requests, and when it is drained. */
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
 * ks_drain_init() - start without a snapshot, so not accepting
 */
void ks_drain_init(ks_drain_t *drain)
{
	*drain = (ks_drain_t){ 0 };
}

/**
 * ks_drain_set_snapshot() - a snapshot came into force
 * @listed: it has this upstream
 */
void ks_drain_set_snapshot(ks_drain_t *drain, bool listed)
{
	drain->has_snapshot = true;
	drain->listed = listed;
}

/**
 * ks_drain_set_changing() - orders are being carried out, or are done
 */
void ks_drain_set_changing(ks_drain_t *drain, bool changing)
{
	drain->changing = changing;
}

/**
 * ks_drain_set_host_list() - the host list was read
 * @leaving: it has this host as leaving
 * @requested_us: when the read was begun, on the clock of
 *	ks_drain_note_leaving_seen()
 *
 * A list without this host also withdraws an entry's report, but only once the
 * report is older than KS_DRAIN_REPORT_HOLD_US.
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
 * ks_drain_note_leaving_seen() - an entry saw this host as leaving
 */
void ks_drain_note_leaving_seen(ks_drain_t *drain, int64_t now_us)
{
	drain->leaving_seen = true;
	drain->leaving_seen_us = now_us;
}

/**
 * ks_drain_stop() - the process was told to stop; cannot be undone
 */
void ks_drain_stop(ks_drain_t *drain)
{
	drain->stopping = true;
}

/**
 * ks_drain_begin() - a request was taken
 */
void ks_drain_begin(ks_drain_t *drain)
{
	drain->in_flight++;
}

/**
 * ks_drain_end() - a request that was taken has ended
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
 * ks_drain_reason_name() - the reason in words, for a log line
 */
const char *ks_drain_reason_name(ks_drain_reason_t reason)
{
	return reason_names[reason];
}

/**
 * ks_drain_state() - the state to announce to entries
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
 * ks_drain_is_accepting() - whether a new request may be taken
 */
bool ks_drain_is_accepting(const ks_drain_t *drain)
{
	return ks_drain_reason(drain) == KS_DRAIN_NONE;
}

/**
 * ks_drain_is_drained() - whether no request is left and none will be taken
 */
bool ks_drain_is_drained(const ks_drain_t *drain)
{
	return !ks_drain_is_accepting(drain) && drain->in_flight == 0;
}
