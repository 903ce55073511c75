/*
 * upstream: the upstream process. It runs next to an engine or a plain HTTP
 * service, receives attempts from the entries over the link, forwards them and
 * reports state and load.
 */
#ifndef KS_UPSTREAM_H
#define KS_UPSTREAM_H

#include "ks/control.h"
#include "ks/settings.h"

G_BEGIN_DECLS

/* drain.c: whether an upstream process accepts requests; performs no I/O */

/**
 * enum ks_drain_reason - why new requests are refused
 * @KS_DRAIN_NONE: they are accepted
 * @KS_DRAIN_NO_SNAPSHOT: no configuration snapshot has been received yet
 * @KS_DRAIN_CHANGING: the order driver is changing or has yet to check the
 *	engine
 * @KS_DRAIN_WITHDRAWN: the snapshot does not list this upstream
 * @KS_DRAIN_HOST_LEAVING: the host list or an entry has the host as leaving
 * @KS_DRAIN_STOPPING: the process is stopping
 *
 * If several apply, the last one in this order is reported.
 */
typedef enum ks_drain_reason {
	KS_DRAIN_NONE,
	KS_DRAIN_NO_SNAPSHOT,
	KS_DRAIN_CHANGING,
	KS_DRAIN_WITHDRAWN,
	KS_DRAIN_HOST_LEAVING,
	KS_DRAIN_STOPPING,
} ks_drain_reason_t;

/*
 * For this long, an entry's report that the host is leaving takes precedence
 * over a host list without it, since the list lags behind.
 */
#define KS_DRAIN_REPORT_HOLD_US (10 * KS_USEC_PER_SEC)

/**
 * struct ks_drain - state that decides whether new requests are accepted
 * @listed: the snapshot lists this upstream
 * @changing: the order driver has requests refused; see KS_DRAIN_CHANGING
 * @host_leaving: the host list has this host as leaving
 * @leaving_seen: an entry reported that this host is leaving
 * @leaving_seen_us: time of that report
 * @in_flight: requests that were accepted and have not ended
 */
typedef struct ks_drain {
	bool has_snapshot;
	bool listed;
	bool changing;
	bool host_leaving;
	bool leaving_seen;
	bool stopping;
	int64_t leaving_seen_us;
	unsigned in_flight;
} ks_drain_t;

void ks_drain_init(ks_drain_t *drain);
void ks_drain_set_snapshot(ks_drain_t *drain, bool listed);
void ks_drain_set_changing(ks_drain_t *drain, bool changing);
void ks_drain_set_host_list(ks_drain_t *drain, bool leaving,
			    int64_t requested_us);
void ks_drain_note_leaving_seen(ks_drain_t *drain, int64_t now_us);
void ks_drain_stop(ks_drain_t *drain);
void ks_drain_begin(ks_drain_t *drain);
void ks_drain_end(ks_drain_t *drain);
ks_drain_reason_t ks_drain_reason(const ks_drain_t *drain);
const char *ks_drain_reason_name(ks_drain_reason_t reason);
ks_upstream_state_t ks_drain_state(const ks_drain_t *drain);
bool ks_drain_is_accepting(const ks_drain_t *drain);
bool ks_drain_is_drained(const ks_drain_t *drain);

/* upstream.c: the process as a whole */

typedef struct ks_upstream_process ks_upstream_process_t;

ks_upstream_process_t *ks_upstream_process_new(ks_loop_t *loop,
					       const ks_settings_t *settings,
					       GError **error);
void ks_upstream_process_stop(ks_upstream_process_t *process);
void ks_upstream_process_free(ks_upstream_process_t *process);

G_END_DECLS

#endif
