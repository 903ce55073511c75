/* Declarations shared by the sources of the exchange between entries. */
#ifndef KS_PEERS_INTERNAL_H
#define KS_PEERS_INTERNAL_H

#include "ks/gateway.h"
#include "peer.pb-c.h"

/**
 * struct peer - another entry, as of its latest message
 * @incarnation: random id of its process; a new one restarts @number
 * @number: number of the latest message
 * @seen_us: when the latest message arrived
 * @loads: struct load by the upstream's tag
 * @rank: see struct ks_peer_view
 * @views: what it knows of each table
 * @answers: number of requests that it has seen answered
 * @speeds: struct speed
 * @unanswered: ks_member_t * of the upstreams that give it no response
 * @speeds_us: when the latest message with speeds arrived
 */
struct peer {
	ks_id_t incarnation;
	uint64_t number;
	int64_t seen_us;
	GHashTable *loads;
	uint64_t rank;
	ks_view_t views[KS_N_TABLES];
	uint64_t answers;
	GArray *speeds;
	GArray *unanswered;
	int64_t speeds_us;
};

/**
 * struct peers_view_fields - views in the form of a message
 */
struct peers_view_fields {
	int64_t revisions[KS_N_TABLES];
	uint64_t digests[KS_N_TABLES];
	uint32_t ages_ms[KS_N_TABLES];
};

/* peer_views.c */

void peers_record_views(ks_peers_t *peers, struct peer *peer,
			const Ks__PeerState *state);
void peers_add_views(const ks_peers_t *peers, Ks__PeerState *state,
		     struct peers_view_fields *fields);

/* Limits on a message, which keep it to a packet in most cases. */
#define PEERS_MAX_LOSSES 8
#define PEERS_MAX_PARTS 16

/**
 * struct peers_loss_fields - losses and parts in the form of a message
 */
struct peers_loss_fields {
	Ks__PeerLoss losses[PEERS_MAX_LOSSES];
	Ks__PeerLoss *loss_list[PEERS_MAX_LOSSES];
	uint64_t answered[PEERS_MAX_PARTS];
	uint32_t answered_ages_ms[PEERS_MAX_PARTS];
	uint64_t held[PEERS_MAX_PARTS];
	uint32_t held_ages_ms[PEERS_MAX_PARTS];
};

/* Limits in a message; the others follow in the next ones. */
#define PEERS_MAX_LIMITS 16

/**
 * struct peers_limit_fields - limits in the form of a message
 */
struct peers_limit_fields {
	Ks__PeerLimit limits[PEERS_MAX_LIMITS];
	Ks__PeerLimit *limit_list[PEERS_MAX_LIMITS];
};

void peers_schedule_urgent(ks_peers_t *peers);

/* peer_streams.c */

void peers_init_streams(ks_peers_t *peers);
void peers_deinit_streams(ks_peers_t *peers);
bool peers_subscribe(ks_peers_t *peers);
bool peers_is_about_streams(ks_str_t message);
void peers_receive_streams(ks_peers_t *peers, ks_str_t message);

/* peer_limits.c */

void peers_init_limits(ks_peers_t *peers);
void peers_deinit_limits(ks_peers_t *peers);
void peers_record_limits(ks_peers_t *peers, const Ks__PeerState *state);
void peers_add_limits(ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_limit_fields *fields);

/* peer_speeds.c */

/* Limit on the speeds in a message. */
#define PEERS_MAX_SPEEDS 200

/**
 * struct peers_speed_fields - speeds of upstreams in the form of a message
 */
struct peers_speed_fields {
	uint32_t upstreams[PEERS_MAX_SPEEDS];
	uint32_t works[PEERS_MAX_SPEEDS];
	int32_t logs[PEERS_MAX_SPEEDS];
	uint32_t weights[PEERS_MAX_SPEEDS];
};

GArray *peers_new_speeds(void);
void peers_add_speeds(ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_speed_fields *fields);
void peers_record_speeds(const ks_peers_t *peers, struct peer *peer,
			 const Ks__PeerState *state);

/* peer_unanswered.c */

/* Limit on the upstreams in a message. */
#define PEERS_MAX_UNANSWERED 100

/**
 * struct peers_unanswered_fields - upstreams in the form of a message
 */
struct peers_unanswered_fields {
	uint32_t upstreams[PEERS_MAX_UNANSWERED];
};

GArray *peers_new_unanswered(void);
void peers_add_unanswered(const ks_peers_t *peers, Ks__PeerState *state,
			  struct peers_unanswered_fields *fields);
void peers_record_unanswered(const ks_peers_t *peers, struct peer *peer,
			     const Ks__PeerState *state);
/* peer_usage.c */

/* Processes in a message whose counts are missing. */
#define PEERS_MAX_MISSING 8

void peers_deinit_usage(ks_peers_t *peers);
bool peers_is_about_usage(ks_str_t message);
void peers_receive_usage(ks_peers_t *peers, ks_str_t message);
void peers_record_clock(const ks_peers_t *peers, const Ks__PeerState *state);
void peers_add_clock(const ks_peers_t *peers, Ks__PeerState *state,
		     uint64_t missing[PEERS_MAX_MISSING]);

/* peer_losses.c */

void peers_record_losses(ks_peers_t *peers, struct peer *peer,
			 const Ks__PeerState *state);
void peers_add_losses(ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_loss_fields *fields);

#endif
