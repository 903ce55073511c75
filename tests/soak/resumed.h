/*
 * Check of the soak: streams that callers resume while replicas of their
 * version serve go on about as often as new streams begin.
 */
#ifndef SOAK_RESUMED_H
#define SOAK_RESUMED_H

#include "ks/core.h"

/**
 * struct resumed_shares - counts of streams
 * @streams, @begun: new streams, and those that began
 * @resumed, @gone_on: streams that callers resumed, and those that went on
 */
struct resumed_shares {
	unsigned streams, begun, resumed, gone_on;
};

/**
 * struct resumed - what is known of replicas and streams
 * @by_replica: struct serving by the replica's id
 * @store_away_us: when the store was last disturbed; G_MAXINT64 while it is
 * @in_touch: at gateways in touch, while the store is in order
 * @store_away: at other gateways without disturbance of their own
 * @n_excused: streams that are not counted, as a gateway was disturbed
 * @n_unserved: resumed ones that are not counted, as too few replicas of their
 *	version served
 */
struct resumed {
	GHashTable *by_replica;
	int64_t store_away_us;
	struct resumed_shares in_touch;
	struct resumed_shares store_away;
	unsigned n_excused, n_unserved;
};

/**
 * struct resumed_try - the attempts of a caller to have a stream begin, or to
 * have it go on after it has broken off
 * @is_open: not counted yet
 * @is_excused: a gateway that it was sent to was disturbed
 * @software: version that began the stream; empty for a new one
 * @from_us: when the first attempt was sent
 */
struct resumed_try {
	bool is_open;
	bool is_excused;
	char software[8];
	int64_t from_us;
};

void resumed_init(struct resumed *resumed);
void resumed_note_serving(struct resumed *resumed, const char *replica,
			  const char *software, double born, int64_t at_us);
void resumed_note_store(struct resumed *resumed, bool is_away, int64_t at_us);
void resumed_open(struct resumed_try *try, const char *software, int64_t at_us);
void resumed_note_attempt(struct resumed_try *try, int64_t excused_us,
			  int64_t sent_us);
void resumed_close(struct resumed *resumed, struct resumed_try *try,
		   bool is_served, int64_t at_us);
unsigned resumed_check(const struct resumed *resumed);

#endif
