/* The upstream process's side of its links; internal. */
#ifndef LINK_SERVER_H
#define LINK_SERVER_H

#include "link_frame.h"

/**
 * struct ks_link_server - links of an upstream process to all entries
 * @tick: checks for silent entries
 * @version: active configuration version
 * @peers_by_entry: struct ks_link_peer by incarnation of the entry
 * @peers_by_identity: the same, by ZeroMQ identity of the current connection
 */
struct ks_link_server {
	ks_loop_t *loop;
	ks_transport_t transport;
	ks_link_server_options_t options;
	const ks_link_server_events_t *events;
	void *ctx;
	ks_timer_t tick;
	uint64_t version;
	ks_upstream_state_t state;
	ks_load_t load;
	uint16_t port;
	GHashTable *peers_by_entry;
	GHashTable *peers_by_identity;
};

/**
 * struct ks_link_peer - record that the upstream process keeps of one entry
 * @entry: incarnation of the entry
 * @record_id: random id of this record, sent in Welcome as the incarnation. An
 *	entry that reconnects after its record was dropped gets another id, and
 *	so learns that the outcome of its attempts is unknown.
 * @session: number of the current session; frames of earlier ones are dropped
 * @identity: GBytes, ZeroMQ identity of the current connection
 * @last_received_us: time of the last frame received
 * @jobs: struct ks_job by key
 */
typedef struct ks_link_peer {
	ks_link_server_t *server;
	ks_id_t entry;
	ks_id_t record_id;
	uint64_t session;
	GBytes *identity;
	int64_t last_received_us;
	uint64_t fetched_version;
	GHashTable *jobs;
} ks_link_peer_t;

/**
 * struct ks_job - an attempt received by the upstream process
 * @accepted: the owner forwards the request
 * @cancel_notified: the cancelled event was called
 * @ended: the End frame is queued; the owner must not use the job
 * @orphaned: the entry did not resume the attempt; frames are dropped
 * @session: session on which the entry sent or last resumed the attempt
 * @body_bytes: size of all bodies queued
 */
struct ks_job {
	ks_link_peer_t *peer;
	ks_attempt_key_t key;
	void *ctx;
	bool idempotent;
	bool accepted;
	bool cancel_notified;
	bool ended;
	bool orphaned;
	uint64_t session;
	uint64_t body_bytes;
	ks_stream_sender_t sender;
};

bool ks_link_peer_send(const ks_link_peer_t *peer, const ks_frame_t *frame);
void ks_link_peer_send_not_started(const ks_link_peer_t *peer,
				   const ks_attempt_key_t *key,
				   ks_error_kind_t kind,
				   int64_t retry_after_us);
void ks_job_receive(ks_link_peer_t *peer, const ks_frame_t *frame);
void ks_job_notify_cancelled(ks_job_t *job);
void ks_job_drop_unresumed(ks_link_peer_t *peer);
void ks_job_free(ks_job_t *job);

#endif
