/*
 * upstream: the process beside an engine or a plain service.
 */
#ifndef KS_UPSTREAM_H
#define KS_UPSTREAM_H

#include "ks/control.h"
#include "ks/settings.h"

G_BEGIN_DECLS

/* drain.c: whether an upstream process takes requests, and why not */

/**
 * enum ks_drain_reason - why new requests are refused
 *
 * A later reason hides an earlier one.
 */
typedef enum ks_drain_reason {
	KS_DRAIN_NONE,
	KS_DRAIN_NO_SNAPSHOT,
	KS_DRAIN_CHANGING,
	KS_DRAIN_WITHDRAWN,
	KS_DRAIN_HOST_LEAVING,
	KS_DRAIN_STOPPING,
} ks_drain_reason_t;

/* An entry's report outweighs the host list, which lags, for this long. */
#define KS_DRAIN_REPORT_HOLD_US (10 * KS_USEC_PER_SEC)

/**
 * struct ks_drain - what decides whether new requests are taken; pure
 * @in_flight: requests taken and not yet ended
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

/* upstream.c */

typedef struct ks_upstream_process ks_upstream_process_t;

ks_upstream_process_t *ks_upstream_process_new(ks_loop_t *loop,
					       const ks_settings_t *settings,
					       GError **error);
void ks_upstream_process_stop(ks_upstream_process_t *process);
void ks_upstream_process_free(ks_upstream_process_t *process);

G_END_DECLS

#endif
