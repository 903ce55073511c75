/*
 * Exchanges between entries which limits upstreams have stated, and what each
 * entry needs of them, and works out this entry's shares.
 */
#include "peers_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * An entry without a message for this time has ended, and leaves its share to
 * the others.
 */
#define CLAIMANT_TIMEOUT_US (5 * KS_USEC_PER_SEC)

/* Shortest time between two recalculations of all shares. */
#define SHARES_INTERVAL_US (100 * KS_USEC_PER_MSEC)

/* Upstreams remembered for each entry, of which some may have ended. */
#define MAX_CLAIMS 4096

/**
 * struct claimant - an entry that may send requests to upstreams with a limit
 * @seen_us: when its latest message arrived
 * @demands: its demand for the service of an upstream, by process tag; in
 *	thousandths of a request per second, plus 1
 */
struct claimant {
	int64_t seen_us;
	GHashTable *demands;
};

static void free_claimant(gpointer data)
{
	struct claimant *claimant = data;

	g_hash_table_destroy(claimant->demands);
	g_free(claimant);
}

void peers_init_limits(ks_peers_t *peers)
{
	peers->claimants = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_claimant);
	peers->own_claims = g_hash_table_new(NULL, NULL);
}

void peers_deinit_limits(ks_peers_t *peers)
{
	g_hash_table_destroy(peers->claimants);
	g_hash_table_destroy(peers->own_claims);
}

static uint32_t to_milli(double per_s)
{
	return (uint32_t)CLAMP(lround(per_s * 1000), 0, G_MAXINT32);
}

static ks_limit_claim_t claim_of(const char *name, uint32_t process,
				 GHashTable *demands)
{
	ks_limit_claim_t claim = { XXH64(name, strlen(name), process), -1 };
	guint milli = demands ? GPOINTER_TO_UINT(g_hash_table_lookup(
					demands, GUINT_TO_POINTER(process)))
			      : 0;

	if (milli)
		claim.demand_per_s = (milli - 1) / 1000.0;
	return claim;
}

static bool is_heard(const ks_peers_t *peers, const struct claimant *claimant)
{
	return claimant && ks_loop_now(peers->loop) - claimant->seen_us <=
				   CLAIMANT_TIMEOUT_US;
}

/*
 * If this entry hears the smaller part of the others, it is probably the one
 * that is cut off, and the others go on sending.
 */
static bool hears_most(const ks_peers_t *peers)
{
	GHashTableIter iter;
	gpointer name;
	guint heard = 1, all = 1;

	g_hash_table_iter_init(&iter, peers->addresses);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		all++;
		heard += is_heard(peers,
				  g_hash_table_lookup(peers->claimants, name));
	}
	return 2 * heard > all;
}

/* Works out the share of one limit. */
static void update_share(ks_peers_t *peers, ks_member_t *member,
			 bool without_silent)
{
	uint32_t process = ks_member_process_tag(member);
	ks_limit_claim_t *claims = g_new(
		ks_limit_claim_t, 1 + g_hash_table_size(peers->addresses));
	ks_stated_limit_t *limit = &member->withdrawal.limit;
	GHashTableIter iter;
	gpointer name;
	size_t n = 0;

	claims[n++] = claim_of(peers->name, process, peers->own_claims);
	g_hash_table_iter_init(&iter, peers->addresses);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const struct claimant *claimant =
			g_hash_table_lookup(peers->claimants, name);

		if (claimant && without_silent && !is_heard(peers, claimant))
			continue;
		claims[n++] = claim_of(name, process,
				       claimant ? claimant->demands : NULL);
	}
	ks_stated_limit_set_share(
		limit, ks_stated_limit_share(limit->per_s, claims, n),
		ks_loop_now(peers->loop));
	g_free(claims);
}

static void update_own_claim(ks_peers_t *peers, const ks_member_t *member)
{
	double demand = peers->demand ? peers->demand(peers->demand_ctx,
						      member->service)
				      : 0;

	g_hash_table_insert(peers->own_claims,
			    GUINT_TO_POINTER(ks_member_process_tag(member)),
			    GUINT_TO_POINTER(to_milli(demand) + 1));
}

static GPtrArray *limited_members(const ks_peers_t *peers)
{
	GPtrArray *members = g_ptr_array_new();
	int64_t now = ks_loop_now(peers->loop);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ks_member_t *member = value;

		if (ks_stated_limit_is_in_force(&member->withdrawal.limit, now))
			g_ptr_array_add(members, member);
	}
	return members;
}

/*
 * The own claims change only together with the shares, so that a share is
 * worked out from what the others are told.
 */
static void update_shares(ks_peers_t *peers, const GPtrArray *members)
{
	int64_t now = ks_loop_now(peers->loop);
	bool without_silent = hears_most(peers);

	if (now - peers->shares_us < SHARES_INTERVAL_US)
		return;
	peers->shares_us = now;
	g_hash_table_remove_all(peers->own_claims);
	for (guint i = 0; i < members->len; i++) {
		update_own_claim(peers, members->pdata[i]);
		update_share(peers, members->pdata[i], without_silent);
	}
}

static void add_limit(const ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_limit_fields *fields,
		      const ks_member_t *member)
{
	const ks_stated_limit_t *limit = &member->withdrawal.limit;
	Ks__PeerLimit *sent = &fields->limits[state->n_limit];
	guint demand = GPOINTER_TO_UINT(g_hash_table_lookup(
		peers->own_claims,
		GUINT_TO_POINTER(ks_member_process_tag(member))));

	ks__peer_limit__init(sent);
	sent->upstream = member->tag;
	sent->process_start_ms = member->process_start_ms;
	sent->demand_milli = demand ? demand - 1 : 0;
	if (limit->is_own) {
		sent->limit_milli = to_milli(limit->per_s);
		sent->ended = limit->ended_us != 0;
		sent->age_ms = (uint32_t)CLAMP(
			(ks_loop_now(peers->loop) - limit->heard_us) /
				KS_USEC_PER_MSEC,
			0, G_MAXINT32);
	}
	fields->limit_list[state->n_limit++] = sent;
}

/* Adds limits to a message, after the shares are worked out anew. */
void peers_add_limits(ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_limit_fields *fields)
{
	GPtrArray *members = limited_members(peers);

	update_shares(peers, members);
	for (guint i = 0; i < MIN(members->len, PEERS_MAX_LIMITS); i++)
		add_limit(peers, state, fields,
			  members->pdata[peers->next_limit++ % members->len]);
	state->limit = fields->limit_list;
	g_ptr_array_free(members, TRUE);
}

static void record_limit(ks_peers_t *peers, struct claimant *claimant,
			 const Ks__PeerLimit *received)
{
	ks_member_t *member =
		ks_fleet_find_tag(peers->fleet, received->upstream);
	int64_t now = ks_loop_now(peers->loop);
	int64_t heard_us = MAX(now - received->age_ms * KS_USEC_PER_MSEC, 1);
	ks_stated_limit_t *limit;
	bool was_limited;

	if (!member || member->process_start_ms != received->process_start_ms)
		return;
	limit = &member->withdrawal.limit;
	was_limited = ks_stated_limit_is_in_force(limit, now);
	if (g_hash_table_size(claimant->demands) >= MAX_CLAIMS)
		g_hash_table_remove_all(claimant->demands);
	g_hash_table_insert(
		claimant->demands,
		GUINT_TO_POINTER(ks_member_process_tag(member)),
		GUINT_TO_POINTER(MIN(received->demand_milli, G_MAXINT32) + 1));
	if (!received->limit_milli)
		return;
	if (received->ended)
		ks_stated_limit_end(limit, heard_us, false, now);
	else
		ks_stated_limit_set(limit, received->limit_milli / 1000.0,
				    heard_us, false, now);
	if (!was_limited && ks_stated_limit_is_in_force(limit, now)) {
		ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
		       "another entry says that an upstream states a limit "
		       "upstream=%s per_s=%.3f age_ms=%u",
		       member->id, limit->per_s, received->age_ms);
		ks_peers_announce_limit(peers, member);
	}
}

/* Records the limits and claims in a message of another entry. */
void peers_record_limits(ks_peers_t *peers, const Ks__PeerState *state)
{
	struct claimant *claimant =
		g_hash_table_lookup(peers->claimants, state->name);

	if (!claimant) {
		claimant = g_new0(struct claimant, 1);
		claimant->demands = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(peers->claimants, g_strdup(state->name),
				    claimant);
	}
	claimant->seen_us = ks_loop_now(peers->loop);
	if (!state->n_limit)
		g_hash_table_remove_all(claimant->demands);
	for (size_t i = 0; i < state->n_limit; i++)
		record_limit(peers, claimant, state->limit[i]);
}

/**
 * ks_peers_announce_limit() - share a limit that an upstream has stated or
 * changed, and tell the other entries
 */
void ks_peers_announce_limit(ks_peers_t *peers, ks_member_t *member)
{
	if (!peers->context) {
		ks_stated_limit_set_share(&member->withdrawal.limit, 1,
					  ks_loop_now(peers->loop));
		return;
	}
	if (!g_hash_table_contains(
		    peers->own_claims,
		    GUINT_TO_POINTER(ks_member_process_tag(member))))
		update_own_claim(peers, member);
	update_share(peers, member, hears_most(peers));
	peers_schedule_urgent(peers);
}
