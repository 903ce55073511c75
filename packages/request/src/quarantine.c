/*
 * Decides which parts of prompts crash upstreams, from the requests that were
 * lost as their upstream began to respond.
 *
 * A crash takes all requests of its upstream along, most of them sound. What
 * tells the part that caused it: no request that was sent with it after a crash
 * is answered, whereas the other parts of the lost requests are soon seen in
 * answers. A part is held once so many upstreams were lost with it and no
 * request with it was answered since. It then explains the loss of these
 * upstreams, and no request lost with them counts against another part.
 */
#include "quarantine_internal.h"

#include <string.h>

/* What another entry tells took this long on its way at most. */
#define CLOCK_SKEW_US (200 * KS_USEC_PER_MSEC)

/*
 * A loss counts after this time, in which a lost connection may turn out not to
 * be a crash, as its upstream responds to another request.
 */
#define CONFIRM_US (500 * KS_USEC_PER_MSEC)

/* Shortest time between two evaluations of the losses. */
#define EVALUATION_US (100 * KS_USEC_PER_MSEC)

/* The oldest loss is forgotten first. */
#define MAX_LOSSES 256

/* If there are more parts, those without a recent answer are forgotten. */
#define MAX_PARTS 8192

/*
 * Wait before a request with a held part is tried, by the number of tries. The
 * first one soon ends a hold that was wrong.
 */
static const int64_t try_waits_us[] = {
	3 * KS_USEC_PER_SEC,
	300 * KS_USEC_PER_SEC,
};

void ks_quarantine_init(ks_quarantine_t *quarantine,
			const ks_quarantine_events_t *events, void *ctx)
{
	g_queue_init(&quarantine->losses);
	quarantine->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	quarantine->explained = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	quarantine_init_contents(quarantine);
	quarantine->n_held = 0;
	quarantine->n_lifted = 0;
	quarantine->n_answers = 0;
	quarantine->answers_epoch = 0;
	memset(quarantine->answers, 0, sizeof(quarantine->answers));
	quarantine->due_us = 0;
	quarantine->events = events;
	quarantine->ctx = ctx;
}

void ks_quarantine_deinit(ks_quarantine_t *quarantine)
{
	g_queue_clear_full(&quarantine->losses, g_free);
	g_hash_table_destroy(quarantine->explained);
	g_hash_table_destroy(quarantine->parts);
	quarantine_deinit_contents(quarantine);
}

ks_part_t *quarantine_find_part(const ks_quarantine_t *quarantine, uint64_t id)
{
	return g_hash_table_lookup(quarantine->parts, &id);
}

static gboolean is_forgotten(gpointer key G_GNUC_UNUSED, gpointer value,
			     gpointer ctx)
{
	const ks_part_t *part = value;
	const int64_t *now_us = ctx;

	return !part->held_us &&
	       *now_us - part->answered_us > QUARANTINE_MEMORY_US;
}

static gboolean is_not_held(gpointer key G_GNUC_UNUSED, gpointer value,
			    gpointer ctx G_GNUC_UNUSED)
{
	return !((const ks_part_t *)value)->held_us;
}

static ks_part_t *get_part(ks_quarantine_t *quarantine, uint64_t id,
			   int64_t now_us)
{
	ks_part_t *part = quarantine_find_part(quarantine, id);

	if (part)
		return part;
	if (g_hash_table_size(quarantine->parts) >= MAX_PARTS)
		g_hash_table_foreach_remove(quarantine->parts, is_forgotten,
					    &now_us);
	if (g_hash_table_size(quarantine->parts) >= MAX_PARTS)
		g_hash_table_foreach_remove(quarantine->parts, is_not_held,
					    NULL);
	part = g_new0(ks_part_t, 1);
	part->id = id;
	g_hash_table_insert(quarantine->parts, &part->id, part);
	return part;
}

bool quarantine_has_part(const ks_loss_t *loss, uint64_t id)
{
	for (unsigned i = 0; i < loss->n_parts; i++)
		if (loss->parts[i] == id)
			return true;
	return loss->content && loss->content == id;
}

static void remove_loss(ks_quarantine_t *quarantine, GList *link)
{
	g_free(link->data);
	g_queue_delete_link(&quarantine->losses, link);
}

static void forget_old_losses(ks_quarantine_t *quarantine, int64_t now_us)
{
	for (GList *it = quarantine->losses.head, *next; it; it = next) {
		const ks_loss_t *loss = it->data;

		next = it->next;
		if (now_us - loss->at_us > QUARANTINE_MEMORY_US)
			remove_loss(quarantine, it);
	}
}

static bool is_known(const ks_quarantine_t *quarantine, const ks_loss_t *loss)
{
	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *known = it->data;

		if (known->source == loss->source &&
		    known->number == loss->number)
			return true;
	}
	return false;
}

/**
 * struct explanation - why an upstream was lost
 * @part: the held part
 */
struct explanation {
	uint64_t part;
	int64_t at_us;
};

static gboolean is_old(gpointer key G_GNUC_UNUSED, gpointer value, gpointer ctx)
{
	const struct explanation *explanation = value;
	const int64_t *now_us = ctx;

	return *now_us - explanation->at_us > QUARANTINE_MEMORY_US;
}

bool quarantine_is_explained(const ks_quarantine_t *quarantine,
			     const ks_loss_t *loss)
{
	return g_hash_table_contains(quarantine->explained,
				     GUINT_TO_POINTER(loss->upstream));
}

static void explain(ks_quarantine_t *quarantine, const ks_loss_t *loss,
		    uint64_t part, int64_t now_us)
{
	struct explanation *explanation;

	if (quarantine_is_explained(quarantine, loss))
		return;
	g_hash_table_foreach_remove(quarantine->explained, is_old, &now_us);
	explanation = g_new(struct explanation, 1);
	*explanation = (struct explanation){ part, now_us };
	g_hash_table_insert(quarantine->explained,
			    GUINT_TO_POINTER(loss->upstream), explanation);
}

static gboolean is_because_of(gpointer key G_GNUC_UNUSED, gpointer value,
			      gpointer ctx)
{
	return ((const struct explanation *)value)->part ==
	       *(const uint64_t *)ctx;
}

/* Ends a hold; the losses that it explained count again. */
static void end_hold(ks_quarantine_t *quarantine, ks_part_t *part)
{
	part->held_us = 0;
	quarantine->n_held--;
	g_hash_table_foreach_remove(quarantine->explained, is_because_of,
				    &part->id);
}

/**
 * ks_quarantine_record_loss() - record a loss of this or another entry
 * @loss: copied
 *
 * Return: false if it is known already or too old.
 */
bool ks_quarantine_record_loss(ks_quarantine_t *quarantine,
			       const ks_loss_t *loss, int64_t now_us)
{
	int held =
		ks_quarantine_find_held(quarantine, loss->parts, loss->n_parts);
	ks_part_t *content;

	if ((!loss->n_parts && !loss->content) ||
	    now_us - loss->at_us > QUARANTINE_MEMORY_US ||
	    is_known(quarantine, loss))
		return false;
	if (held >= 0)
		explain(quarantine, loss, loss->parts[held], now_us);
	if (loss->content) {
		content = get_part(quarantine, loss->content, now_us);
		content->answered_us =
			MAX(content->answered_us,
			    quarantine_answered_us(quarantine, loss->content));
		if (content->held_us)
			explain(quarantine, loss, loss->content, now_us);
	}
	forget_old_losses(quarantine, now_us);
	if (quarantine->losses.length >= MAX_LOSSES)
		remove_loss(quarantine, quarantine->losses.head);
	g_queue_push_tail(&quarantine->losses, g_memdup2(loss, sizeof(*loss)));
	if (!quarantine->due_us ||
	    loss->at_us + CONFIRM_US < quarantine->due_us)
		quarantine->due_us = loss->at_us + CONFIRM_US;
	return true;
}

static void lift(ks_quarantine_t *quarantine, ks_part_t *part, int64_t now_us)
{
	end_hold(quarantine, part);
	part->lifted_us = now_us;
	quarantine->n_lifted++;
	if (quarantine->events)
		quarantine->events->lifted(quarantine->ctx, part->id);
}

/**
 * ks_quarantine_record_answer() - record a request that was answered completely
 * @sent_us: when it was sent to its upstream
 *
 * Lifts the hold of a part that was held before the request was sent.
 */
void ks_quarantine_record_answer(ks_quarantine_t *quarantine,
				 const uint64_t *parts, unsigned n_parts,
				 int64_t sent_us, int64_t now_us)
{
	for (unsigned i = 0; i < n_parts; i++) {
		ks_part_t *part = get_part(quarantine, parts[i], now_us);

		part->answered_us = MAX(part->answered_us, sent_us);
		if (part->held_us && part->answered_us > part->held_us)
			lift(quarantine, part, now_us);
	}
}

/**
 * ks_quarantine_add_answers() - count requests that were answered
 */
void ks_quarantine_add_answers(ks_quarantine_t *quarantine, unsigned n,
			       int64_t now_us)
{
	int64_t epoch = now_us / QUARANTINE_ANSWER_BUCKET_US;
	int64_t first = MAX(quarantine->answers_epoch + 1,
			    epoch - KS_ANSWER_BUCKETS + 1);

	for (int64_t i = first; i <= epoch; i++)
		quarantine->answers[i % KS_ANSWER_BUCKETS] = 0;
	quarantine->answers_epoch = MAX(quarantine->answers_epoch, epoch);
	quarantine->answers[epoch % KS_ANSWER_BUCKETS] += n;
}

/**
 * ks_quarantine_set_told() - note that all entries were told of an answer
 */
void ks_quarantine_set_told(ks_quarantine_t *quarantine, uint64_t id,
			    int64_t answered_us, int64_t now_us)
{
	ks_part_t *part = get_part(quarantine, id, now_us);

	part->told_us = MAX(part->told_us, answered_us);
}

/**
 * ks_quarantine_record_alive() - record that an upstream has responded
 * @sent_us: when it was sent the request to which it responds
 *
 * It has not crashed before that time; only connections were lost.
 */
void ks_quarantine_record_alive(ks_quarantine_t *quarantine, uint32_t upstream,
				int64_t sent_us)
{
	for (GList *it = quarantine->losses.head, *next; it; it = next) {
		const ks_loss_t *loss = it->data;

		next = it->next;
		if (loss->upstream == upstream && loss->at_us < sent_us)
			remove_loss(quarantine, it);
	}
}

static void hold(ks_quarantine_t *quarantine, ks_part_t *part, int64_t since_us,
		 unsigned crashes, int64_t now_us)
{
	part->held_us = since_us;
	quarantine->n_held++;
	for (GList *it = quarantine->losses.head; it; it = it->next)
		if (quarantine_has_part(it->data, part->id))
			explain(quarantine, it->data, part->id, now_us);
	if (quarantine->events)
		quarantine->events->held(quarantine->ctx, part->id, crashes);
}

/* Returns when the next loss begins to count, 0 if all do. */
static int64_t next_due_us(const ks_quarantine_t *quarantine, int64_t now_us)
{
	int64_t due_us = 0;

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;
		int64_t at_us = loss->at_us + CONFIRM_US;

		if (at_us > now_us && (!due_us || at_us < due_us))
			due_us = at_us;
	}
	return due_us;
}

/**
 * ks_quarantine_evaluate() - hold the parts and contents that the losses point
 * to
 *
 * To be called before a request is sent; it does nothing unless a loss has
 * begun to count since the last call.
 */
void ks_quarantine_evaluate(ks_quarantine_t *quarantine, int64_t now_us)
{
	struct scope begun = { now_us - CONFIRM_US, true };
	struct scope all = { now_us - CONFIRM_US, false };
	struct cause cause;

	if (!quarantine->due_us || now_us < quarantine->due_us)
		return;
	quarantine->due_us = next_due_us(quarantine, now_us);
	if (quarantine->due_us)
		quarantine->due_us =
			MAX(quarantine->due_us, now_us + EVALUATION_US);
	forget_old_losses(quarantine, now_us);
	while (quarantine_find_cause(quarantine, &begun, &cause) ||
	       quarantine_find_cause(quarantine, &all, &cause))
		hold(quarantine, get_part(quarantine, cause.part, now_us),
		     now_us, cause.crashes, now_us);
	while (quarantine_find_repeat(quarantine, now_us - CONFIRM_US, &cause))
		hold(quarantine, get_part(quarantine, cause.part, now_us),
		     now_us, cause.crashes, now_us);
}

/**
 * ks_quarantine_hold() - hold a part that another entry holds
 * @since_us: time from which it is held there
 *
 * Return: false if a request with it was answered that was sent later.
 */
bool ks_quarantine_hold(ks_quarantine_t *quarantine, uint64_t id,
			int64_t since_us, int64_t now_us)
{
	ks_part_t *part = get_part(quarantine, id, now_us);

	if (MAX(part->answered_us, part->lifted_us) + CLOCK_SKEW_US > since_us)
		return false;
	if (!part->held_us)
		hold(quarantine, part, since_us, 0, now_us);
	return true;
}

/**
 * ks_quarantine_release() - hold a part no longer, as an operator said so
 *
 * Entries that have not heard of it yet do not make this one hold it again.
 */
void ks_quarantine_release(ks_quarantine_t *quarantine, uint64_t id,
			   int64_t now_us)
{
	ks_part_t *part = quarantine_find_part(quarantine, id);

	if (!part || !part->held_us)
		return;
	end_hold(quarantine, part);
	part->answered_us = now_us;
}

/**
 * ks_quarantine_find_held() - find a part that is held
 *
 * Return: its index in @parts, -1 if there is none.
 */
int ks_quarantine_find_held(const ks_quarantine_t *quarantine,
			    const uint64_t *parts, unsigned n_parts)
{
	for (unsigned i = 0; quarantine->n_held && i < n_parts; i++) {
		const ks_part_t *part =
			quarantine_find_part(quarantine, parts[i]);

		if (part && part->held_us)
			return (int)i;
	}
	return -1;
}

/**
 * ks_quarantine_try_wait_us() - how long a part is held before a request with
 * it is tried
 * @tries: number of tries before
 *
 * Return: 0 if only an operator can lift the hold.
 */
int64_t ks_quarantine_try_wait_us(unsigned tries)
{
	return tries < G_N_ELEMENTS(try_waits_us) ? try_waits_us[tries] : 0;
}
