/* Baseline routing policies, to be compared with ks_route_choose(). */
#include "ks/request.h"

#include <string.h>

static const char *const names[KS_ROUTING_N_POLICIES] = {
	[KS_ROUTING_EXPECTED_FINISH] = "expected_finish",
	[KS_ROUTING_ROUND_ROBIN] = "round_robin",
	[KS_ROUTING_LEAST_CONNECTIONS] = "least_connections",
	[KS_ROUTING_PREFIX_AFFINITY] = "prefix_affinity",
};

/**
 * ks_routing_policy_parse() - parse the name of a policy
 *
 * Return: false if there is no such policy.
 */
bool ks_routing_policy_parse(ks_routing_policy_t *policy, ks_str_t name)
{
	for (int i = 0; i < KS_ROUTING_N_POLICIES; i++)
		if (ks_str_equal(name, ks_str_from(names[i]))) {
			*policy = (ks_routing_policy_t)i;
			return true;
		}
	return false;
}

/* Rendezvous hashing weight of a candidate: FNV-1a with a final mix. */
static uint64_t prefix_weight(const ks_candidate_t *candidate, uint64_t prefix)
{
	uint64_t hash = prefix ^ 0xcbf29ce484222325ULL;

	for (size_t i = 0; i < candidate->id.len; i++) {
		hash ^= (uint8_t)candidate->id.data[i];
		hash *= 0x100000001b3ULL;
	}
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdULL;
	return hash ^ (hash >> 33);
}

static bool is_preferred(ks_routing_policy_t policy, const ks_candidate_t *a,
			 const ks_candidate_t *b, uint64_t prefix)
{
	if (policy == KS_ROUTING_PREFIX_AFFINITY && prefix)
		return prefix_weight(a, prefix) > prefix_weight(b, prefix);
	if (policy == KS_ROUTING_ROUND_ROBIN)
		return false;
	return a->in_flight < b->in_flight;
}

/**
 * ks_route_choose_by_policy() - choose an upstream by a baseline policy
 * @policy: any but KS_ROUTING_EXPECTED_FINISH
 * @turn: sequence number of the request; rotates between equal candidates
 * @prefix: hash of the prompt's first block, or 0 if it has no full block;
 *	KS_ROUTING_PREFIX_AFFINITY then chooses like
 *	KS_ROUTING_LEAST_CONNECTIONS
 *
 * Return: index of the candidate, or -1 if every candidate is excluded.
 */
int ks_route_choose_by_policy(ks_routing_policy_t policy,
			      const ks_candidate_t *candidates,
			      size_t n_candidates, unsigned turn,
			      uint64_t prefix)
{
	int best = -1;

	for (size_t i = 0; i < n_candidates; i++) {
		size_t at = (turn + i) % n_candidates;

		if (candidates[at].excluded)
			continue;
		if (best < 0 || is_preferred(policy, &candidates[at],
					     &candidates[best], prefix))
			best = (int)at;
	}
	return best;
}
