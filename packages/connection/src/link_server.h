/* The upstream process's side of its links, shared by its source files. */
#ifndef LINK_SERVER_H
#define LINK_SERVER_H

#include "link_frame.h"

/**
 * struct ks_link_server - the side of the upstream process, for all entries
 * @peers_by_entry: struct ks_link_peer by incarnation of the entry
 * @peers_by_identity: the same by identity of their current connection
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
 * struct ks_link_peer - what the upstream process remembers of one entry
 * @entry: incarnation of the entry
 * @record_id: drawn with this record and told in Welcome. An entry that comes
 *back after its record was dropped gets another one, and so knows that what
 *	became of its attempts is forgotten.
 * @session: number of the current session; frames of earlier ones are dropped
 * @identity: GBytes, ZeroMQ identity of the current connection
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
 * struct ks_job - one attempt that the upstream process has taken
 * @cancel_notified: the owner knows that the entry wants no more
 * @ended: the End frame is queued; the owner is done with the job
 * @orphaned: the entry no longer knows the attempt; frames are dropped
 * @session: last session on which the entry showed that it knows the attempt
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
