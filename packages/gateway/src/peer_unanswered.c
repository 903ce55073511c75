/*
 * Exchanges between entries which upstreams give no response. Each message has
 * all of them, so that the next one makes up for a lost one.
 */
#include "peers_internal.h"

static void clear_member(gpointer data)
{
	ks_member_t *member = *(ks_member_t **)data;

	member->peer_unanswered--;
	ks_member_unref(member);
}

GArray *peers_new_unanswered(void)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(ks_member_t *));

	g_array_set_clear_func(members, clear_member);
	return members;
}

void peers_add_unanswered(const ks_peers_t *peers, Ks__PeerState *state,
			  struct peers_unanswered_fields *fields)
{
	GPtrArray *members =
		ks_fleet_unanswered(peers->fleet, ks_loop_now(peers->loop));

	state->n_unanswered = MIN(members->len, PEERS_MAX_UNANSWERED);
	for (size_t i = 0; i < state->n_unanswered; i++)
		fields->upstreams[i] =
			((const ks_member_t *)members->pdata[i])->tag;
	state->unanswered = fields->upstreams;
	g_ptr_array_free(members, TRUE);
}

/* Replaces what the sender told before. */
void peers_record_unanswered(const ks_peers_t *peers, struct peer *peer,
			     const Ks__PeerState *state)
{
	g_array_set_size(peer->unanswered, 0);
	for (size_t i = 0; i < MIN(state->n_unanswered, PEERS_MAX_UNANSWERED);
	     i++) {
		ks_member_t *member =
			ks_fleet_find_tag(peers->fleet, state->unanswered[i]);

		if (!member)
			continue;
		ks_member_ref(member);
		member->peer_unanswered++;
		g_array_append_val(peer->unanswered, member);
	}
}

/**
 * ks_peers_announce_unanswered() - tell the other entries soon
 */
void ks_peers_announce_unanswered(ks_peers_t *peers)
{
	if (peers->context)
		peers_schedule_urgent(peers);
}
