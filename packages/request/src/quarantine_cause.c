/*
 * Decides whether losses point to a part of a prompt: how probable they would
 * be if it were sound.
 */
#include "quarantine_internal.h"

#include <math.h>
#include <string.h>

/* Upstreams that are lost with a part before it is held, at least. */
#define MIN_CRASHES 3

/*
 * A part is held if the losses would have a lower probability than this if it
 * were sound: by the upstreams that were lost with it, the second one for a
 * part that was in an answered request shortly before, and by the requests that
 * were not answered.
 */
#define MAX_PRESENCE 0.05
#define MAX_PRESENCE_ANSWERED 0.001
#define MAX_OUTCOME 1e-4

/* Least share of requests that counts as lost, as a few answers say little. */
#define MIN_LOST_SHARE 0.2

/* More upstreams than this make no difference. */
#define MAX_TALLIED 100

/**
 * struct tally - losses that count against a part
 * @last_position: index of the part in the latest of them
 * @first_us: time of the first one
 * @upstreams: the upstreams lost
 */
struct tally {
	uint64_t part;
	unsigned last_position;
	int64_t first_us;
	unsigned n_upstreams;
	uint32_t upstreams[MAX_TALLIED];
};

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

static bool is_in_scope(const ks_quarantine_t *quarantine,
			const ks_loss_t *loss, const struct scope *scope)
{
	return loss->at_us <= scope->until_us &&
	       (loss->begun || !scope->begun) &&
	       !quarantine_is_explained(quarantine, loss);
}

/* Counts the losses of a scope against one part. */
static void count_losses(const ks_quarantine_t *quarantine, uint64_t id,
			 const struct scope *scope, struct tally *tally)
{
	const ks_part_t *part = quarantine_find_part(quarantine, id);

	memset(tally, 0, sizeof(*tally));
	tally->part = id;
	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		for (unsigned i = 0; i < loss->n_parts; i++)
			if (loss->parts[i] == id &&
			    counts_against(loss, part) &&
			    is_in_scope(quarantine, loss, scope))
				add_loss(tally, loss, i);
	}
}

static void count_one(GHashTable *counts, uint64_t *id)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, id));

	g_hash_table_insert(counts, id, GUINT_TO_POINTER(n + 1));
}

/* Returns the number of losses in a scope by the id of the part. */
static GHashTable *count_parts(const ks_quarantine_t *quarantine,
			       const struct scope *scope)
{
	GHashTable *counts = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		ks_loss_t *loss = it->data;

		for (unsigned i = 0; i < loss->n_parts; i++)
			if (is_in_scope(quarantine, loss, scope))
				count_one(counts, &loss->parts[i]);
	}
	return counts;
}

static bool was_answered(const ks_quarantine_t *quarantine,
			 const struct tally *tally)
{
	const ks_part_t *part = quarantine_find_part(quarantine, tally->part);

	return part && part->answered_us &&
	       tally->first_us - part->answered_us <= QUARANTINE_MEMORY_US;
}

static unsigned count_answers(const ks_quarantine_t *quarantine,
			      int64_t since_us)
{
	int64_t from = MAX(since_us / QUARANTINE_ANSWER_BUCKET_US,
			   quarantine->answers_epoch - KS_ANSWER_BUCKETS + 1);
	unsigned n = 0;

	for (int64_t i = MAX(from, 0); i <= quarantine->answers_epoch; i++)
		n += quarantine->answers[i % KS_ANSWER_BUCKETS];
	return n;
}

/**
 * struct context - what else happened since the first loss with a part
 * @lost, @lost_with: requests that were lost, and those of them with the part
 * @answered: requests that were answered
 * @by_upstream: number of requests in the scope by the upstream that was lost
 */
struct context {
	unsigned lost;
	unsigned lost_with;
	unsigned answered;
	GHashTable *by_upstream;
};

static struct context context_of(const ks_quarantine_t *quarantine,
				 const struct tally *tally,
				 const struct scope *scope)
{
	struct scope all = { scope->until_us, false };
	struct context context = {
		.answered = count_answers(quarantine, tally->first_us),
		.by_upstream = g_hash_table_new(NULL, NULL),
	};

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;
		gpointer key = GUINT_TO_POINTER(loss->upstream);
		guint n = GPOINTER_TO_UINT(
			g_hash_table_lookup(context.by_upstream, key));

		if (!loss->n_parts || loss->at_us < tally->first_us ||
		    !is_in_scope(quarantine, loss, &all))
			continue;
		context.lost++;
		context.lost_with += quarantine_has_part(loss, tally->part);
		if (is_in_scope(quarantine, loss, scope))
			g_hash_table_insert(context.by_upstream, key,
					    GUINT_TO_POINTER(n + 1));
	}
	return context;
}

/*
 * Probability that a sound part is among the requests lost with so many of the
 * upstreams: a part that few requests have is rarely among all of them.
 */
static double presence_probability(const struct tally *tally,
				   const struct context *context)
{
	double share = (double)context->lost_with /
		       (context->lost + context->answered + 1.0);
	unsigned k = tally->n_upstreams;
	unsigned all = g_hash_table_size(context->by_upstream);
	double result =
		lgamma(all + 1.0) - lgamma(k + 1.0) - lgamma(all - k + 1.0);

	for (unsigned i = 0; i < k; i++) {
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(
			context->by_upstream,
			GUINT_TO_POINTER(tally->upstreams[i])));

		result += log(1 - pow(1 - MIN(share, 0.99), n));
	}
	return exp(result);
}

/*
 * Probability that no request with a sound part is answered, while it is lost
 * with so many upstreams.
 */
static double outcome_probability(const struct tally *tally,
				  const struct context *context)
{
	unsigned without = context->lost - context->lost_with;
	double lost = (without + 1.0) / (without + context->answered + 2.0);

	return pow(MAX(lost, MIN_LOST_SHARE), tally->n_upstreams);
}

/* @more: counts so many losses with further upstreams as well */
static bool is_cause(const ks_quarantine_t *quarantine,
		     const struct tally *tally, unsigned more,
		     const struct scope *scope)
{
	double limit = was_answered(quarantine, tally) ? MAX_PRESENCE_ANSWERED
						       : MAX_PRESENCE;
	struct context context;
	double presence, outcome;

	if (tally->n_upstreams + more < MIN_CRASHES)
		return false;
	context = context_of(quarantine, tally, scope);
	presence = presence_probability(tally, &context);
	outcome = outcome_probability(tally, &context);
	g_hash_table_destroy(context.by_upstream);
	/* A further loss is as probable as those before on average. */
	if (more) {
		double n = 1 + (double)more / tally->n_upstreams;

		presence = pow(presence, n);
		outcome = pow(outcome, n);
	}
	return presence <= limit || outcome <= MAX_OUTCOME;
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

/**
 * quarantine_find_cause() - find the part that the losses of a scope point to
 *
 * Return: false if there is none.
 */
bool quarantine_find_cause(const ks_quarantine_t *quarantine,
			   const struct scope *scope, struct cause *cause)
{
	struct tally best = { 0 };
	GHashTable *counts = count_parts(quarantine, scope);
	bool found = false;
	GHashTableIter iter;
	gpointer id, n;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &id, &n)) {
		struct tally tally;

		if (GPOINTER_TO_UINT(n) < MIN_CRASHES)
			continue;
		count_losses(quarantine, *(const uint64_t *)id, scope, &tally);
		if (!is_cause(quarantine, &tally, 0, scope) ||
		    (found && !is_more_likely(quarantine, &tally, &best)))
			continue;
		best = tally;
		found = true;
	}
	g_hash_table_destroy(counts);
	*cause = (struct cause){ best.part, best.n_upstreams };
	return found;
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
	struct scope scopes[] = { { now_us, true }, { now_us, false } };

	for (unsigned i = 0; quarantine->losses.length && i < n_parts; i++)
		for (unsigned j = 0; j < G_N_ELEMENTS(scopes); j++) {
			struct tally tally;

			count_losses(quarantine, parts[i], &scopes[j], &tally);
			if (tally.n_upstreams &&
			    is_cause(quarantine, &tally, 1, &scopes[j]))
				return true;
		}
	return false;
}
