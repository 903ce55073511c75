/*
 * Exchanges between entries what the quarantine decides on: which requests were
 * lost, and which of their parts are known from answers. Each entry sees only a
 * few of the crashes that a part causes.
 */
#include "peers_internal.h"

#include <xxhash.h>

/* A loss is repeated in the messages of this time, as messages may be lost. */
#define REPEAT_LOSS_US (2 * KS_USEC_PER_SEC)

/*
 * Others are told of an answer if the last one that they know of is older by
 * this.
 */
#define ANSWER_INTERVAL_US (1 * KS_USEC_PER_SEC)

/* Answers and lifted holds are told for this long. */
#define TELL_ANSWER_US (60 * KS_USEC_PER_SEC)
#define TELL_LIFTED_US (10 * KS_USEC_PER_SEC)

static int64_t time_from_age(const ks_peers_t *peers, uint32_t age_ms)
{
	return MAX(ks_loop_now(peers->loop) - age_ms * KS_USEC_PER_MSEC, 1);
}

static uint32_t age_of(const ks_peers_t *peers, int64_t at_us)
{
	return (uint32_t)CLAMP((ks_loop_now(peers->loop) - at_us) /
				       KS_USEC_PER_MSEC,
			       0, G_MAXINT32);
}

static void record_loss(ks_peers_t *peers, const struct peer *peer,
			const Ks__PeerLoss *received)
{
	ks_loss_t loss = {
		.source =
			XXH64(&peer->incarnation, sizeof(peer->incarnation), 0),
		.number = received->number,
		.upstream = received->upstream,
		.at_us = time_from_age(peers, received->age_ms),
		.begun = received->begun,
		.content = received->content,
		.request = received->request,
		.service = received->service,
		.n_parts = (unsigned)MIN(received->n_part, KS_LOSS_MAX_PARTS),
	};

	for (unsigned i = 0; i < loss.n_parts; i++)
		loss.parts[i] = received->part[i];
	ks_quarantine_record_loss(peers->quarantine, &loss,
				  ks_loop_now(peers->loop));
}

/* Records the losses and parts in a message of another entry. */
void peers_record_losses(ks_peers_t *peers, struct peer *peer,
			 const Ks__PeerState *state)
{
	int64_t now = ks_loop_now(peers->loop);

	if (!peers->quarantine ||
	    state->n_answered_part != state->n_answered_age_ms ||
	    state->n_held_part != state->n_held_age_ms)
		return;
	if (state->answers > peer->answers)
		ks_quarantine_add_answers(
			peers->quarantine,
			(unsigned)MIN(state->answers - peer->answers, G_MAXINT),
			now);
	peer->answers = state->answers;
	for (size_t i = 0; i < state->n_answered_part; i++) {
		uint64_t part = state->answered_part[i];
		int64_t sent_us =
			time_from_age(peers, state->answered_age_ms[i]);

		ks_quarantine_record_answer(peers->quarantine, &part, 1,
					    sent_us, now);
		ks_quarantine_set_told(peers->quarantine, part, sent_us, now);
	}
	for (size_t i = 0; i < state->n_loss; i++)
		record_loss(peers, peer, state->loss[i]);
	for (size_t i = 0; i < state->n_held_part; i++)
		ks_quarantine_hold(peers->quarantine, state->held_part[i],
				   time_from_age(peers, state->held_age_ms[i]),
				   now);
}

static void add_own_losses(ks_peers_t *peers, Ks__PeerState *state,
			   struct peers_loss_fields *fields)
{
	int64_t now = ks_loop_now(peers->loop);
	const ks_loss_t *oldest;

	while ((oldest = g_queue_peek_head(&peers->losses)) &&
	       now - oldest->at_us > REPEAT_LOSS_US)
		g_free(g_queue_pop_head(&peers->losses));
	for (GList *it = peers->losses.tail;
	     it && state->n_loss < PEERS_MAX_LOSSES; it = it->prev) {
		ks_loss_t *loss = it->data;
		Ks__PeerLoss *sent = &fields->losses[state->n_loss];

		ks__peer_loss__init(sent);
		sent->number = loss->number;
		sent->upstream = loss->upstream;
		sent->age_ms = age_of(peers, loss->at_us);
		sent->begun = loss->begun;
		sent->content = loss->content;
		sent->request = loss->request;
		sent->service = loss->service;
		sent->part = loss->parts;
		sent->n_part = loss->n_parts;
		fields->loss_list[state->n_loss++] = sent;
	}
	state->loss = fields->loss_list;
}

static void add_answered(const ks_peers_t *peers, Ks__PeerState *state,
			 struct peers_loss_fields *fields,
			 const ks_part_t *part)
{
	int64_t now = ks_loop_now(peers->loop);

	if (state->n_answered_part >= PEERS_MAX_PARTS)
		return;
	fields->answered[state->n_answered_part++] = part->id;
	fields->answered_ages_ms[state->n_answered_age_ms++] =
		age_of(peers, part->answered_us);
	ks_quarantine_set_told(peers->quarantine, part->id, part->answered_us,
			       now);
}

static bool is_news(const ks_part_t *part, int64_t now)
{
	return part && part->answered_us &&
	       now - part->answered_us <= TELL_ANSWER_US &&
	       (!part->told_us ||
		part->answered_us - part->told_us >= ANSWER_INTERVAL_US);
}

static void add_news(const ks_peers_t *peers, Ks__PeerState *state,
		     struct peers_loss_fields *fields, uint64_t id)
{
	const ks_part_t *part =
		g_hash_table_lookup(peers->quarantine->parts, &id);

	if (is_news(part, ks_loop_now(peers->loop)))
		add_answered(peers, state, fields, part);
}

/* Adds what is known of the parts of all lost requests, also of other entries.
 */
static void add_answers(const ks_peers_t *peers, Ks__PeerState *state,
			struct peers_loss_fields *fields)
{
	for (GList *it = peers->quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		for (unsigned i = 0; i < loss->n_parts; i++)
			add_news(peers, state, fields, loss->parts[i]);
	}
	/* Each part tells of more requests than a content does. */
	for (GList *it = peers->quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		add_news(peers, state, fields, loss->content);
	}
}

static void add_held(const ks_peers_t *peers, Ks__PeerState *state,
		     struct peers_loss_fields *fields)
{
	int64_t now = ks_loop_now(peers->loop);
	GHashTableIter iter;
	gpointer value;

	if (!peers->quarantine->n_held && !peers->quarantine->n_lifted)
		return;
	g_hash_table_iter_init(&iter, peers->quarantine->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ks_part_t *part = value;

		if (part->lifted_us && now - part->lifted_us <= TELL_LIFTED_US)
			add_answered(peers, state, fields, part);
		if (!part->held_us || state->n_held_part >= PEERS_MAX_PARTS)
			continue;
		fields->held[state->n_held_part++] = part->id;
		fields->held_ages_ms[state->n_held_age_ms++] =
			age_of(peers, part->held_us);
	}
}

/* Adds the losses of this entry, and what it knows of parts, to a message. */
void peers_add_losses(ks_peers_t *peers, Ks__PeerState *state,
		      struct peers_loss_fields *fields)
{
	if (!peers->quarantine)
		return;
	state->answers = peers->quarantine->n_answers;
	add_own_losses(peers, state, fields);
	add_held(peers, state, fields);
	add_answers(peers, state, fields);
	state->answered_part = fields->answered;
	state->answered_age_ms = fields->answered_ages_ms;
	state->held_part = fields->held;
	state->held_age_ms = fields->held_ages_ms;
}

/**
 * ks_peers_queue_loss() - tell the other entries of a loss
 */
void ks_peers_queue_loss(ks_peers_t *peers, const ks_loss_t *loss)
{
	if (!peers->context)
		return;
	g_queue_push_tail(&peers->losses, g_memdup2(loss, sizeof(*loss)));
	peers_schedule_urgent(peers);
}
