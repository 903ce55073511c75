/*
 * Exchanges between entries how fast upstreams are. A message has all that its
 * sender has observed lately, so that the next one makes up for a lost one.
 */
#include "peers_internal.h"

/* Speeds change slowly, and most of a message would consist of them. */
#define SPEEDS_INTERVAL_US (3 * KS_USEC_PER_SEC)

/*
 * Speeds count for this time without new ones: three messages with them may be
 * lost. A sender that has observed nothing lately sends none, and its earlier
 * ones would keep requests off an upstream for good.
 */
#define SPEEDS_LIFETIME_US (4 * SPEEDS_INTERVAL_US)

/* Units of the values in a message. */
#define LOG_UNITS 1000.0
#define WEIGHT_UNITS 10.0

/**
 * struct speed - what another entry has observed of an upstream
 * @member: with a reference
 */
struct speed {
	ks_member_t *member;
	ks_work_t work;
	double log_us;
	double weight;
};

static void clear_speed(gpointer data)
{
	struct speed *speed = data;

	ks_capacity_remove_peer(&speed->member->capacity, speed->work,
				speed->log_us, speed->weight);
	ks_member_unref(speed->member);
}

GArray *peers_new_speeds(void)
{
	GArray *speeds = g_array_new(FALSE, FALSE, sizeof(struct speed));

	g_array_set_clear_func(speeds, clear_speed);
	return speeds;
}

static void add_member(const ks_member_t *member, int64_t now,
		       Ks__PeerState *state, struct peers_speed_fields *fields)
{
	for (ks_work_t work = 0; work < KS_N_WORKS; work++) {
		double log_us, weight;
		size_t i = state->n_speed_upstream;

		if (i == PEERS_MAX_SPEEDS ||
		    !ks_capacity_get_own(&member->capacity, work, now, &log_us,
					 &weight))
			continue;
		fields->upstreams[i] = member->tag;
		fields->works[i] = work;
		fields->logs[i] = (int32_t)(log_us * LOG_UNITS);
		fields->weights[i] = (uint32_t)(weight * WEIGHT_UNITS);
		state->n_speed_upstream++;
	}
}

/* Adds what this entry has observed, if it is due. */
void peers_add_speeds(ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_speed_fields *fields)
{
	int64_t now = ks_loop_now(peers->loop);
	GHashTableIter iter;
	gpointer value;

	if (now < peers->speeds_due_us)
		return;
	peers->speeds_due_us = now + SPEEDS_INTERVAL_US;
	g_hash_table_iter_init(&iter, peers->fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_member(value, now, state, fields);
	state->speed_upstream = fields->upstreams;
	state->speed_work = fields->works;
	state->speed_log = fields->logs;
	state->speed_weight = fields->weights;
	state->n_speed_work = state->n_speed_log = state->n_speed_weight =
		state->n_speed_upstream;
}

static bool has_speeds(const Ks__PeerState *state)
{
	return state->n_speed_upstream &&
	       state->n_speed_work == state->n_speed_upstream &&
	       state->n_speed_log == state->n_speed_upstream &&
	       state->n_speed_weight == state->n_speed_upstream;
}

/*
 * Replaces what the sender told before, if the message has any of it. Otherwise
 * it counts until it is outdated.
 */
void peers_record_speeds(const ks_peers_t *peers, struct peer *peer,
			 const Ks__PeerState *state)
{
	int64_t now = ks_loop_now(peers->loop);

	if (!has_speeds(state)) {
		if (now - peer->speeds_us > SPEEDS_LIFETIME_US)
			g_array_set_size(peer->speeds, 0);
		return;
	}
	peer->speeds_us = now;
	g_array_set_size(peer->speeds, 0);
	for (size_t i = 0; i < MIN(state->n_speed_upstream, PEERS_MAX_SPEEDS);
	     i++) {
		struct speed speed = {
			.member = ks_fleet_find_tag(peers->fleet,
						    state->speed_upstream[i]),
			.work = (ks_work_t)state->speed_work[i],
			.log_us = state->speed_log[i] / LOG_UNITS,
			.weight = state->speed_weight[i] / WEIGHT_UNITS,
		};

		if (!speed.member || state->speed_work[i] >= KS_N_WORKS)
			continue;
		ks_member_ref(speed.member);
		ks_capacity_add_peer(&speed.member->capacity, speed.work,
				     speed.log_us, speed.weight);
		g_array_append_val(peer->speeds, speed);
	}
}
