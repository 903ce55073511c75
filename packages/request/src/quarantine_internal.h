/* Declarations shared by the sources of the quarantine. */
#ifndef KS_QUARANTINE_INTERNAL_H
#define KS_QUARANTINE_INTERNAL_H

#include "ks/request.h"

/* Losses, and answers before the first of them, count for this long. */
#define QUARANTINE_MEMORY_US (60 * KS_USEC_PER_SEC)

#define QUARANTINE_ANSWER_BUCKET_US (100 * KS_USEC_PER_MSEC)

/**
 * struct scope - the losses that are looked at
 * @until_us: later ones are left out
 * @begun: only those whose response had begun; an engine that fails after the
 *	head of the response is not lost because of requests that still wait
 */
struct scope {
	int64_t until_us;
	bool begun;
};

/**
 * struct cause - a part or content that explains the loss of upstreams
 * @crashes: number of the upstreams
 */
struct cause {
	uint64_t part;
	unsigned crashes;
};

/* quarantine.c */

ks_part_t *quarantine_find_part(const ks_quarantine_t *quarantine, uint64_t id);
bool quarantine_has_part(const ks_loss_t *loss, uint64_t id);
bool quarantine_is_explained(const ks_quarantine_t *quarantine,
			     const ks_loss_t *loss);

/* quarantine_cause.c */

bool quarantine_find_cause(const ks_quarantine_t *quarantine,
			   const struct scope *scope, struct cause *cause);

/* quarantine_repeat.c */

bool quarantine_find_repeat(const ks_quarantine_t *quarantine, int64_t until_us,
			    struct cause *cause);
void quarantine_init_contents(ks_quarantine_t *quarantine);
void quarantine_deinit_contents(ks_quarantine_t *quarantine);
int64_t quarantine_answered_us(const ks_quarantine_t *quarantine,
			       uint64_t content);

#endif
