/* The entry's side of a link; internal. */
#ifndef LINK_CLIENT_H
#define LINK_CLIENT_H

#include "link_frame.h"

/**
 * struct ks_link_client - link from an entry to one upstream process
 * @tick: checks for heartbeats and timeouts
 * @reopen: replaces a broken connection
 * @session: number of the session, incremented with each connection
 * @up: the Welcome of @session was received
 * @peer_incarnation: incarnation in the last Welcome: id of the record that the
 *	upstream process keeps of this entry; all zero before the first Welcome
 * @failed_sessions: consecutive sessions without a Welcome
 * @last_received_us: time of the last frame received on a session
 * @last_sent_us: time of the last frame sent
 * @awaiting_reply_since_us: time of the first frame that expects a reply and
 *	was sent after @last_received_us; 0 if there is none
 * @version: active configuration version of the entry
 * @peer_version: active configuration version of the upstream process
 * @attempts: struct ks_attempt by key
 */
struct ks_link_client {
	ks_loop_t *loop;
	ks_transport_t transport;
	ks_link_client_options_t options;
	const ks_link_client_events_t *events;
	void *ctx;
	ks_timer_t tick;
	ks_timer_t reopen;
	uint64_t session;
	bool up;
	ks_id_t peer_incarnation;
	unsigned failed_sessions;
	int64_t last_received_us;
	int64_t last_sent_us;
	int64_t awaiting_reply_since_us;
	uint64_t version;
	uint64_t peer_version;
	ks_upstream_state_t state;
	ks_load_t load;
	bool leaving_seen;
	GHashTable *attempts;
};

/**
 * struct ks_attempt - an attempt in flight on a link
 * @abandoned: no more events are called
 */
struct ks_attempt {
	ks_link_client_t *link;
	ks_attempt_key_t key;
	const ks_attempt_events_t *events;
	void *ctx;
	bool idempotent;
	bool accepted;
	bool cancelled;
	bool abandoned;
	ks_stream_receiver_t receiver;
};

bool ks_link_client_send_frame(ks_link_client_t *link, const ks_frame_t *frame);
void ks_link_client_replace(ks_link_client_t *link);
void ks_attempt_resume(ks_attempt_t *attempt);
void ks_attempt_receive(ks_attempt_t *attempt, const ks_frame_t *frame);
void ks_attempt_finish(ks_attempt_t *attempt, ks_error_kind_t kind,
		       ks_str_t message);

#endif
