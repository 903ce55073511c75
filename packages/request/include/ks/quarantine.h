/*
 * Quarantine of requests, and of prompt parts, that crash upstreams. Included
 * by ks/request.h.
 *
 * part - a piece of a prompt that several requests share, by a hash of its
 * content and of the service
 * content - what a repeat of a request has in common with it, by a hash
 * loss - a request whose upstream failed as it began to respond
 * hold - to refuse all requests with a part or a content
 *
 * A content is held, told and tried like a part, and its id is used where that
 * of a part is; only what losses say of it is decided differently.
 */
#ifndef KS_QUARANTINE_H
#define KS_QUARANTINE_H

#include "ks/core.h"

G_BEGIN_DECLS

#define KS_LOSS_MAX_PARTS 16

/* Answers are counted in buckets of 100 ms, for a minute. */
#define KS_ANSWER_BUCKETS 600

/**
 * struct ks_loss - a request that was lost as its upstream began to respond
 * @source: the entry that lost the request
 * @number: identifies the loss among those of @source
 * @upstream: the process of the upstream; a restarted one differs
 * @at_us: time of the loss
 * @begun: the head of the response had been received
 * @content: what a repeat of the request has in common with it, 0 if unknown
 * @request: identifies the request of a caller, which may be sent several times
 * @service: hash of the service
 * @parts: the parts that other requests may share, in their order
 */
typedef struct ks_loss {
	uint64_t source;
	uint64_t number;
	uint32_t upstream;
	int64_t at_us;
	bool begun;
	uint64_t content;
	uint32_t request;
	uint32_t service;
	unsigned n_parts;
	uint64_t parts[KS_LOSS_MAX_PARTS];
} ks_loss_t;

/**
 * struct ks_part - what is known of a part, or of a content that was lost
 * @answered_us: when the latest request was sent that was answered completely;
 *	0 if none is known
 * @told_us: the latest @answered_us that all entries were told, by this one or
 *	another
 * @held_us: since when the part is held, 0 if it is not
 * @lifted_us: when the hold was lifted, 0 if it was not
 */
typedef struct ks_part {
	uint64_t id;
	int64_t answered_us;
	int64_t told_us;
	int64_t held_us;
	int64_t lifted_us;
} ks_part_t;

/**
 * struct ks_quarantine_events - callbacks of a quarantine
 * @held: a part is held; @crashes is the number of upstreams that were lost, 0
 *	if another entry or the store said so
 * @lifted: a part is no longer held, as a request with it was answered
 */
typedef struct ks_quarantine_events {
	void (*held)(void *ctx, uint64_t part, unsigned crashes);
	void (*lifted)(void *ctx, uint64_t part);
} ks_quarantine_events_t;

/**
 * struct ks_quarantine - losses, and the parts that are held because of them
 * @losses: ks_loss_t in the order of arrival
 * @explained: struct explanation by the upstream that was lost because of a
 *held part
 * @parts: ks_part_t by id
 * @contents: contents of answered requests, in two generations
 * @contents_us: when the latest generation began
 * @n_held: number of parts that are held
 * @n_lifted: number of holds that were lifted
 * @n_answers: number of requests that this entry has seen answered
 * @answers: number of requests that all entries have seen answered in each
 *	bucket; a ring
 * @answers_epoch: number of the latest bucket
 * @due_us: when a loss begins to count that was not evaluated yet, 0 if all
 * were
 * @events: NULL for none
 */
typedef struct ks_quarantine {
	GQueue losses;
	GHashTable *explained;
	GHashTable *parts;
	GHashTable *contents[2];
	int64_t contents_us;
	unsigned n_held;
	unsigned n_lifted;
	uint64_t n_answers;
	unsigned answers[KS_ANSWER_BUCKETS];
	int64_t answers_epoch;
	int64_t due_us;
	const ks_quarantine_events_t *events;
	void *ctx;
} ks_quarantine_t;

void ks_quarantine_init(ks_quarantine_t *quarantine,
			const ks_quarantine_events_t *events, void *ctx);
void ks_quarantine_deinit(ks_quarantine_t *quarantine);
bool ks_quarantine_record_loss(ks_quarantine_t *quarantine,
			       const ks_loss_t *loss, int64_t now_us);
void ks_quarantine_record_answer(ks_quarantine_t *quarantine,
				 const uint64_t *parts, unsigned n_parts,
				 int64_t sent_us, int64_t now_us);
void ks_quarantine_record_content(ks_quarantine_t *quarantine, uint64_t content,
				  int64_t sent_us, int64_t now_us);
void ks_quarantine_add_answers(ks_quarantine_t *quarantine, unsigned n,
			       int64_t now_us);
void ks_quarantine_set_told(ks_quarantine_t *quarantine, uint64_t part,
			    int64_t answered_us, int64_t now_us);
void ks_quarantine_record_alive(ks_quarantine_t *quarantine, uint32_t upstream,
				int64_t sent_us);
void ks_quarantine_evaluate(ks_quarantine_t *quarantine, int64_t now_us);
bool ks_quarantine_hold(ks_quarantine_t *quarantine, uint64_t part,
			int64_t since_us, int64_t now_us);
void ks_quarantine_release(ks_quarantine_t *quarantine, uint64_t part,
			   int64_t now_us);
int ks_quarantine_find_held(const ks_quarantine_t *quarantine,
			    const uint64_t *parts, unsigned n_parts);
bool ks_quarantine_is_suspect(const ks_quarantine_t *quarantine,
			      const uint64_t *parts, unsigned n_parts,
			      int64_t now_us);
bool ks_quarantine_is_repeat_suspect(const ks_quarantine_t *quarantine,
				     uint64_t content, int64_t now_us);
int64_t ks_quarantine_try_wait_us(unsigned tries);

G_END_DECLS

#endif
