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
 */
struct peer {
	ks_id_t incarnation;
	uint64_t number;
	int64_t seen_us;
	GHashTable *loads;
	uint64_t rank;
	ks_view_t views[KS_N_TABLES];
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

#endif
