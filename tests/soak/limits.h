/*
 * Check of the soak: replicas that state a limit on the requests of all
 * gateways get no more than it allows.
 */
#ifndef SOAK_LIMITS_H
#define SOAK_LIMITS_H

#include "ks/core.h"

/**
 * struct limits - what the replicas have stated
 * @by_replica: struct limited by the replica's id
 */
struct limits {
	GHashTable *by_replica;
};

void limits_init(struct limits *limits);
void limits_state(struct limits *limits, const char *replica, unsigned gateway,
		  double per_s, int64_t at_us);
bool limits_arrive(struct limits *limits, const char *replica, unsigned gateway,
		   int64_t excused_us, int64_t at_us);

#endif
