/*
 * Decides which parts of prompts crash upstreams, from the requests that were
 * lost as their upstream began to respond.
 *
 * A crash takes all requests of its upstream along, most of them sound. What
 * tells the part that caused it: no request that was sent with it after a crash
 * is answered, whereas the other parts of the lost requests are soon seen in
 * answers. A part is held once so many upstreams were lost with it and no
 * request with it was answered since. Losses with a held part then count
 * against no other part.
 */
#include "ks/request.h"

/*
 * Upstreams lost with a part before it is held. More for a part that requests
 * were answered with shortly before, and for one that explains only a few of
 * the losses, as when a network fails.
 */
#define MIN_CRASHES 3
#define MIN_CRASHES_DOUBTFUL 5

/* Share of the lost upstreams that a part explains if it is the cause. */
#define MIN_EXPLAINED_SHARE 0.5

/*
 * A loss counts after this time, in which a lost connection may turn out not to
 * be a crash, as its upstream responds to another request.
 */
#define CONFIRM_US (500 * KS_USEC_PER_MSEC)

/* Losses, and answers before the first of them, count for this long. */
#define MEMORY_US (60 * KS_USEC_PER_SEC)

/* The oldest loss is forgotten first. */
#define MAX_LOSSES 256

/* If there are more parts, those without a recent answer are forgotten. */
#define MAX_PARTS 8192

/* Wait before a request with a held part is tried, by the number of tries. */
static const int64_t probe_waits_us[] = {
	60 * KS_USEC_PER_SEC,
	600 * KS_USEC_PER_SEC,
};

/**
 * struct tally - losses that count against a part
 * @last_position: index of the part in the latest of them
 * @first_us: time of the first one
 * @upstreams: the upstreams lost, up to MIN_CRASHES_DOUBTFUL
 */
struct tally {
	uint64_t part;
	unsigned last_position;
	int64_t first_us;
	unsigned n_upstreams;
	uint32_t upstreams[MIN_CRASHES_DOUBTFUL];
};

void ks_quarantine_init(ks_quarantine_t *quarantine,
			const ks_quarantine_events_t *events, void *ctx)
{
	g_queue_init(&quarantine->losses);
	quarantine->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	quarantine->n_held = 0;
	quarantine->n_lifted = 0;
	quarantine->due_us = 0;
	quarantine->events = events;
	quarantine->ctx = ctx;
}

void ks_quarantine_deinit(ks_quarantine_t *quarantine)
{
	g_queue_clear_full(&quarantine->losses, g_free);
	g_hash_table_destroy(quarantine->parts);
}

static ks_part_t *find_part(const ks_quarantine_t *quarantine, uint64_t id)
{
	return g_hash_table_lookup(quarantine->parts, &id);
}

static gboolean is_forgotten(gpointer key G_GNUC_UNUSED, gpointer value,
			     gpointer ctx)
{
	const ks_part_t *part = value;
	const int64_t *now_us = ctx;

	return !part->held_us && *now_us - part->answered_us > MEMORY_US;
}

static gboolean is_not_held(gpointer key G_GNUC_UNUSED, gpointer value,
			    gpointer ctx G_GNUC_UNUSED)
{
	return !((const ks_part_t *)value)->held_us;
}

static ks_part_t *get_part(ks_quarantine_t *quarantine, uint64_t id,
			   int64_t now_us)
{
	ks_part_t *part = find_part(quarantine, id);

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

static bool has_part(const ks_loss_t *loss, uint64_t id)
{
	for (unsigned i = 0; i < loss->n_parts; i++)
		if (loss->parts[i] == id)
			return true;
	return false;
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
		if (now_us - loss->at_us > MEMORY_US)
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
 * ks_quarantine_record_loss() - record a loss of this or another entry
 * @loss: copied
 *
 * Return: false if it is known already, too old, or explained by a held part.
 */
bool ks_quarantine_record_loss(ks_quarantine_t *quarantine,
			       const ks_loss_t *loss, int64_t now_us)
{
	if (!loss->n_parts || now_us - loss->at_us > MEMORY_US ||
	    ks_quarantine_find_held(quarantine, loss->parts, loss->n_parts) >=
		    0 ||
	    is_known(quarantine, loss))
		return false;
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
	part->held_us = 0;
	part->lifted_us = now_us;
	quarantine->n_held--;
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

static bool counts_against(const ks_loss_t *loss, const ks_part_t *part)
{
	return !part || loss->at_us >= part->answered_us;
}

static void add_upstream(struct tally *tally, uint32_t upstream)
{
	for (unsigned i = 0; i < tally->n_upstreams; i++)
		if (tally->upstreams[i] == upstream)
			return;
	if (tally->n_upstreams < G_N_ELEMENTS(tally->upstreams))
		tally->upstreams[tally->n_upstreams++] = upstream;
}

static void add_loss(struct tally *tally, const ks_loss_t *loss,
		     unsigned position)
{
	if (!tally->n_upstreams || loss->at_us < tally->first_us)
		tally->first_us = loss->at_us;
	tally->last_position = position;
	add_upstream(tally, loss->upstream);
}

/*
 * Returns struct tally by the id of each part that losses up to @until_us count
 * against.
 */
static GHashTable *count_losses(const ks_quarantine_t *quarantine,
				int64_t until_us)
{
	GHashTable *tallies = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		for (unsigned i = 0; i < loss->n_parts; i++) {
			uint64_t id = loss->parts[i];
			struct tally *tally;

			if (loss->at_us > until_us ||
			    !counts_against(loss, find_part(quarantine, id)))
				continue;
			tally = g_hash_table_lookup(tallies, &id);
			if (!tally) {
				tally = g_new0(struct tally, 1);
				tally->part = id;
				g_hash_table_insert(tallies, &tally->part,
						    tally);
			}
			add_loss(tally, loss, i);
		}
	}
	return tallies;
}

static bool was_answered(const ks_quarantine_t *quarantine,
			 const struct tally *tally)
{
	const ks_part_t *part = find_part(quarantine, tally->part);

	return part && part->answered_us &&
	       tally->first_us - part->answered_us <= MEMORY_US;
}

/* Counts the upstreams lost since the first loss with a part. */
static unsigned n_lost_since(const ks_quarantine_t *quarantine,
			     int64_t since_us, int64_t until_us)
{
	GHashTable *upstreams = g_hash_table_new(NULL, NULL);
	unsigned n;

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		if (loss->at_us >= since_us && loss->at_us <= until_us)
			g_hash_table_add(upstreams,
					 GUINT_TO_POINTER(loss->upstream));
	}
	n = g_hash_table_size(upstreams);
	g_hash_table_destroy(upstreams);
	return n;
}

static unsigned min_crashes(const ks_quarantine_t *quarantine,
			    const struct tally *tally, int64_t until_us)
{
	unsigned lost = n_lost_since(quarantine, tally->first_us, until_us);

	return was_answered(quarantine, tally) ||
			       tally->n_upstreams < MIN_EXPLAINED_SHARE * lost
		       ? MIN_CRASHES_DOUBTFUL
		       : MIN_CRASHES;
}

static bool is_cause(const ks_quarantine_t *quarantine,
		     const struct tally *tally, int64_t until_us)
{
	return tally->n_upstreams >= MIN_CRASHES &&
	       tally->n_upstreams >= min_crashes(quarantine, tally, until_us);
}

/*
 * Of the parts of the same requests, one that was never answered comes first,
 * then one that fewer requests share.
 */
static bool is_more_likely(const ks_quarantine_t *quarantine,
			   const struct tally *a, const struct tally *b)
{
	bool a_answered = was_answered(quarantine, a);

	if (a_answered != was_answered(quarantine, b))
		return !a_answered;
	if (a->last_position != b->last_position)
		return a->last_position > b->last_position;
	if (a->n_upstreams != b->n_upstreams)
		return a->n_upstreams > b->n_upstreams;
	return a->part < b->part;
}

static bool find_cause(const ks_quarantine_t *quarantine, int64_t until_us,
		       struct tally *cause)
{
	GHashTable *tallies = count_losses(quarantine, until_us);
	bool found = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tallies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct tally *tally = value;

		if (!is_cause(quarantine, tally, until_us) ||
		    (found && !is_more_likely(quarantine, tally, cause)))
			continue;
		*cause = *tally;
		found = true;
	}
	g_hash_table_destroy(tallies);
	return found;
}

static void hold(ks_quarantine_t *quarantine, ks_part_t *part, int64_t since_us,
		 unsigned crashes)
{
	part->held_us = since_us;
	quarantine->n_held++;
	for (GList *it = quarantine->losses.head, *next; it; it = next) {
		next = it->next;
		if (has_part(it->data, part->id))
			remove_loss(quarantine, it);
	}
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
 * ks_quarantine_evaluate() - hold the parts that the losses point to
 *
 * To be called before a request is sent; it does nothing unless a loss has
 * begun to count since the last call.
 */
void ks_quarantine_evaluate(ks_quarantine_t *quarantine, int64_t now_us)
{
	struct tally cause = { 0 };

	if (!quarantine->due_us || now_us < quarantine->due_us)
		return;
	quarantine->due_us = next_due_us(quarantine, now_us);
	forget_old_losses(quarantine, now_us);
	while (find_cause(quarantine, now_us - CONFIRM_US, &cause))
		hold(quarantine, get_part(quarantine, cause.part, now_us),
		     now_us, cause.n_upstreams);
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

	if (part->answered_us > since_us)
		return false;
	if (!part->held_us)
		hold(quarantine, part, since_us, 0);
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
	ks_part_t *part = find_part(quarantine, id);

	if (!part || !part->held_us)
		return;
	part->held_us = 0;
	part->answered_us = now_us;
	quarantine->n_held--;
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
		const ks_part_t *part = find_part(quarantine, parts[i]);

		if (part && part->held_us)
			return (int)i;
	}
	return -1;
}

/**
 * ks_quarantine_is_suspect() - whether one more loss would be enough to hold a
 * part
 *
 * A request that was lost is then not sent to another upstream.
 */
bool ks_quarantine_is_suspect(const ks_quarantine_t *quarantine,
			      const uint64_t *parts, unsigned n_parts,
			      int64_t now_us)
{
	GHashTable *tallies;
	bool found = false;

	if (!quarantine->losses.length)
		return false;
	tallies = count_losses(quarantine, now_us);
	for (unsigned i = 0; i < n_parts && !found; i++) {
		const struct tally *tally =
			g_hash_table_lookup(tallies, &parts[i]);

		found = tally && tally->n_upstreams + 1 >= MIN_CRASHES &&
			tally->n_upstreams + 1 >=
				min_crashes(quarantine, tally, now_us);
	}
	g_hash_table_destroy(tallies);
	return found;
}

/**
 * ks_quarantine_probe_wait_us() - how long a part is held before a request with
 * it is tried
 * @probes: number of tries before
 *
 * Return: 0 if only an operator can lift the hold.
 */
int64_t ks_quarantine_probe_wait_us(unsigned probes)
{
	return probes < G_N_ELEMENTS(probe_waits_us) ? probe_waits_us[probes]
						     : 0;
}
