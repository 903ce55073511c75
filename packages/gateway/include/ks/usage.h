/*
 * usage: counts the requests of organisations by windows of time, over all
 * entries, and reports them to the platform.
 */
#ifndef KS_USAGE_H
#define KS_USAGE_H

#include "ks/gateway.h"

G_BEGIN_DECLS

/* usage.c */

/* Sender of the totals of this entry in struct ks_usage_window. */
#define KS_USAGE_SELF 0

/* Number of no window. */
#define KS_USAGE_NONE INT64_MIN

/**
 * struct ks_usage_totals - what one process has counted in one window
 * @counts: requests by ks_usage_tag() of the organisation
 * @sum: of @counts
 * @digest: hash of @counts. A sum does not do, as a request may be taken back
 *	while another one is counted.
 * @stated: the digest by the latest message of another entry; it differs from
 *	@digest if a message was lost
 * @changed: tags whose counts the others have not been sent
 * @pending: requests in @counts that may turn out not to have run
 * @is_requested: another process misses some of them
 */
typedef struct ks_usage_totals {
	GHashTable *counts;
	uint64_t sum;
	uint32_t digest;
	uint32_t stated;
	GHashTable *changed;
	unsigned pending;
	bool is_requested;
} ks_usage_totals_t;

/**
 * struct ks_usage_window - a window of time
 * @senders: ks_usage_totals_t by the tag of the process
 */
typedef struct ks_usage_window {
	int64_t number;
	GHashTable *senders;
} ks_usage_window_t;

/**
 * struct ks_usage_sender - another process that counts
 * @heard_us: when its latest message arrived
 * @offset_us: its wall-clock time less this process's monotonic time
 * @message: number of its latest message with totals
 * @final: its counts of windows up to this one do not change any more
 */
typedef struct ks_usage_sender {
	int64_t heard_us;
	int64_t offset_us;
	uint64_t message;
	int64_t final;
} ks_usage_sender_t;

/**
 * struct ks_usage - counts of the last windows, own ones and those of others
 * @wall: wall clock of this host
 * @window_us: length of a window
 * @late_us: when the report of a window is due, after its end
 * @active: the configuration has organisations
 * @active_since_us: since when, 0 if it never had any
 * @names: names of organisations by their tag
 * @windows: ks_usage_window_t by number
 * @senders: ks_usage_sender_t by the tag of the process
 * @final: see struct ks_usage_sender; KS_USAGE_NONE before the first
 * @told_final: value of @final that the others have been sent
 * @told_us: when they were sent the last message with totals
 * @offset_us: estimate of true time less monotonic time
 * @estimated_us: when it was made, 0 before the first
 * @sealed: all windows before this one have been sealed or abandoned, as far as
 *	is known
 * @sealed_era: @sealed covers all that was sealed before this era of the store,
 *	see struct ks_row
 * @requested_us: when another process last asked for counts that it misses
 * @messages: number of messages with totals sent
 * @is_reporter: this entry reports the counts
 */
typedef struct ks_usage {
	const ks_clock_t *wall;
	int64_t window_us;
	int64_t late_us;
	bool active;
	int64_t active_since_us;
	GHashTable *names;
	GHashTable *windows;
	GHashTable *senders;
	int64_t final;
	int64_t told_final;
	int64_t told_us;
	int64_t offset_us;
	int64_t estimated_us;
	int64_t sealed;
	uint64_t sealed_era;
	int64_t requested_us;
	uint64_t messages;
	bool is_reporter;
} ks_usage_t;

void ks_usage_init(ks_usage_t *usage, const ks_clock_t *wall, int64_t window_us,
		   int64_t late_us);
void ks_usage_deinit(ks_usage_t *usage);
void ks_usage_set_organisations(ks_usage_t *usage,
				const ks_organisations_t *organisations,
				int64_t now_us);
uint32_t ks_usage_tag(const char *organisation);
int64_t ks_usage_true_us(ks_usage_t *usage, int64_t now_us);
int64_t ks_usage_window_at(ks_usage_t *usage, int64_t now_us);
int64_t ks_usage_age_us(ks_usage_t *usage, int64_t window, int64_t now_us);
int64_t ks_usage_begin(ks_usage_t *usage, const char *organisation,
		       int64_t now_us);
void ks_usage_end(ks_usage_t *usage, const char *organisation, int64_t window,
		  bool ran);
void ks_usage_update(ks_usage_t *usage, int64_t now_us);
void ks_usage_hear(ks_usage_t *usage, uint64_t sender, int64_t wall_us,
		   int64_t now_us);
ks_usage_sender_t *ks_usage_find_sender(ks_usage_t *usage, uint64_t sender,
					int64_t now_us);
ks_usage_totals_t *ks_usage_find_totals(ks_usage_t *usage, int64_t window,
					uint64_t sender, int64_t now_us);
void ks_usage_totals_set(ks_usage_totals_t *totals, uint32_t tag,
			 unsigned count);
int64_t ks_usage_first(const ks_usage_t *usage);
bool ks_usage_is_recent(ks_usage_t *usage, int64_t window, int64_t now_us);
bool ks_usage_is_complete(ks_usage_t *usage, int64_t window, int64_t now_us);
GArray *ks_usage_sum(ks_usage_t *usage, int64_t window);

/* peer_usage.c */

size_t ks_usage_missing(ks_usage_t *usage, uint64_t *senders, size_t max,
			int64_t now_us);
void ks_usage_request(ks_usage_t *usage, int64_t now_us);
bool ks_usage_pack(ks_usage_t *usage, uint64_t self, bool is_last,
		   int64_t now_us, GByteArray *message);
void ks_usage_receive(ks_usage_t *usage, uint64_t self, ks_str_t message,
		      int64_t now_us);
void ks_peers_set_usage(ks_peers_t *peers, ks_usage_t *usage);
void ks_peers_send_last_usage(ks_peers_t *peers);

/* exchange_usage.c */

void ks_gateway_set_usage(ks_gateway_t *gateway, ks_usage_t *usage);

/* usage_report.c */

typedef struct ks_usage_report ks_usage_report_t;

ks_usage_report_t *ks_usage_report_new(ks_loop_t *loop, ks_usage_t *usage,
				       ks_duty_lease_t *lease,
				       const ks_duty_driver_t *driver,
				       ks_store_t *store, ks_rng_t *rng,
				       ks_metrics_t *metrics);
void ks_usage_report_free(ks_usage_report_t *report);

G_END_DECLS

#endif
