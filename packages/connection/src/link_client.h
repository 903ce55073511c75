/* The entry's side of a link, shared by its source files. */
#ifndef LINK_CLIENT_H
#define LINK_CLIENT_H

#include "link_frame.h"

/**
 * struct ks_link_client - link from an entry to one upstream process
 * @session: number of the session, raised with each connection
 * @up: the Welcome of @session has arrived
 * @peer_incarnation: memory of the upstream process that attempts refer to;
 *	all zero before the first Welcome
 * @failed_sessions: sessions without a Welcome since the last one with
 * @last_received_us: when the last frame of @session arrived
 * @last_sent_us: when the last frame was sent
 * @awaiting_reply_since_us: when the first frame that asks for one back was
 *sent since
 *	@last_received_us; 0 when there is none
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
 * struct ks_attempt - one attempt in flight on a link
 * @abandoned: its owner wants no events
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
