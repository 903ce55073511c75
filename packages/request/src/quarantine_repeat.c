/*
 * Decides whether losses point to a request that comes again with the same
 * content. Unlike a part of a prompt, the content of a sound request is rarely
 * lost more than once: other requests that are lost with the same upstreams do
 * not come again, or are answered in between.
 */
#include "quarantine_internal.h"

#include <string.h>

/* Upstreams that are lost with a content before it is held, at least. */
#define MIN_CRASHES 3

/* The same for a content that was answered shortly before. */
#define MIN_CRASHES_ANSWERED 6

/*
 * Requests with the content, at least: one alone may have been sent on to
 * upstreams that failed together.
 */
#define MIN_REQUESTS 2

/*
 * Share of the service's lost upstreams that the content must have been lost
 * with. The others failed for another reason.
 */
#define MIN_COVERED 0.5

/* More upstreams or requests than this make no difference. */
#define MAX_TALLIED 100

/* Contents of answered requests that are remembered, in each generation. */
#define MAX_ANSWERED 4096

/**
 * struct numbers - a set of numbers
 */
struct numbers {
	unsigned n;
	uint32_t values[MAX_TALLIED];
};

static void add_number(struct numbers *numbers, uint32_t value)
{
	for (unsigned i = 0; i < numbers->n; i++)
		if (numbers->values[i] == value)
			return;
	if (numbers->n < G_N_ELEMENTS(numbers->values))
		numbers->values[numbers->n++] = value;
}

/**
 * struct repeat - losses that count against a content
 * @service: of its requests
 * @first_us: time of the first loss
 * @is_answered: a request with it was answered before
 */
struct repeat {
	uint64_t content;
	uint32_t service;
	int64_t first_us;
	bool is_answered;
	struct numbers upstreams;
	struct numbers requests;
};

static bool is_in_scope(const ks_quarantine_t *quarantine,
			const ks_loss_t *loss, int64_t until_us)
{
	return loss->content && loss->at_us <= until_us &&
	       !quarantine_is_explained(quarantine, loss);
}

static void tally(const ks_quarantine_t *quarantine, uint64_t content,
		  int64_t until_us, struct repeat *repeat)
{
	const ks_part_t *known = quarantine_find_part(quarantine, content);
	int64_t answered_us = known ? known->answered_us : 0;

	memset(repeat, 0, sizeof(*repeat));
	repeat->content = content;
	repeat->is_answered = answered_us != 0;
	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		if (loss->content != content || loss->at_us < answered_us ||
		    !is_in_scope(quarantine, loss, until_us))
			continue;
		if (!repeat->upstreams.n || loss->at_us < repeat->first_us)
			repeat->first_us = loss->at_us;
		repeat->service = loss->service;
		add_number(&repeat->upstreams, loss->upstream);
		add_number(&repeat->requests, loss->request);
	}
}

/* Counts the upstreams of a service that were lost since a time. */
static unsigned count_lost(const ks_quarantine_t *quarantine,
			   const struct repeat *repeat, int64_t until_us)
{
	struct numbers lost = { 0 };

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		const ks_loss_t *loss = it->data;

		if (loss->service == repeat->service &&
		    loss->at_us >= repeat->first_us &&
		    is_in_scope(quarantine, loss, until_us))
			add_number(&lost, loss->upstream);
	}
	return lost.n;
}

/* @more: counts so many further upstreams as lost with the content */
static bool is_cause(const ks_quarantine_t *quarantine,
		     const struct repeat *repeat, unsigned more,
		     int64_t until_us)
{
	unsigned crashes = repeat->upstreams.n + more;

	return crashes >= (repeat->is_answered ? MIN_CRASHES_ANSWERED
					       : MIN_CRASHES) &&
	       repeat->requests.n >= MIN_REQUESTS &&
	       crashes >=
		       MIN_COVERED * (count_lost(quarantine, repeat, until_us) +
				      more);
}

static bool is_more_likely(const struct repeat *a, const struct repeat *b)
{
	if (a->is_answered != b->is_answered)
		return !a->is_answered;
	if (a->upstreams.n != b->upstreams.n)
		return a->upstreams.n > b->upstreams.n;
	if (a->requests.n != b->requests.n)
		return a->requests.n > b->requests.n;
	return a->content < b->content;
}

/**
 * quarantine_find_repeat() - find the content that losses point to
 * @until_us: later losses are left out
 *
 * Return: false if there is none.
 */
bool quarantine_find_repeat(const ks_quarantine_t *quarantine, int64_t until_us,
			    struct cause *cause)
{
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	struct repeat best = { 0 }, repeat;

	for (GList *it = quarantine->losses.head; it; it = it->next) {
		ks_loss_t *loss = it->data;

		if (!is_in_scope(quarantine, loss, until_us) ||
		    !g_hash_table_add(seen, &loss->content))
			continue;
		tally(quarantine, loss->content, until_us, &repeat);
		if (is_cause(quarantine, &repeat, 0, until_us) &&
		    (!best.upstreams.n || is_more_likely(&repeat, &best)))
			best = repeat;
	}
	g_hash_table_destroy(seen);
	*cause = (struct cause){ best.content, best.upstreams.n };
	return best.upstreams.n > 0;
}

/**
 * ks_quarantine_is_repeat_suspect() - whether one more loss would be enough to
 * hold a content
 *
 * A request that was lost is then not sent to another upstream.
 */
bool ks_quarantine_is_repeat_suspect(const ks_quarantine_t *quarantine,
				     uint64_t content, int64_t now_us)
{
	struct repeat repeat;

	tally(quarantine, content, now_us, &repeat);
	return repeat.upstreams.n && is_cause(quarantine, &repeat, 1, now_us);
}

/**
 * struct answered_content - a content that was answered
 * @sent_us: when the latest request with it was sent that was answered
 */
struct answered_content {
	uint64_t content;
	int64_t sent_us;
};

void quarantine_init_contents(ks_quarantine_t *quarantine)
{
	for (size_t i = 0; i < G_N_ELEMENTS(quarantine->contents); i++)
		quarantine->contents[i] = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, g_free);
	quarantine->contents_us = 0;
}

void quarantine_deinit_contents(ks_quarantine_t *quarantine)
{
	for (size_t i = 0; i < G_N_ELEMENTS(quarantine->contents); i++)
		g_hash_table_destroy(quarantine->contents[i]);
}

/* Starts a new generation when the latest one is full or old. */
static void rotate(ks_quarantine_t *quarantine, int64_t now_us)
{
	GHashTable *oldest = quarantine->contents[1];

	if (g_hash_table_size(quarantine->contents[0]) < MAX_ANSWERED &&
	    now_us - quarantine->contents_us <= QUARANTINE_MEMORY_US)
		return;
	g_hash_table_remove_all(oldest);
	quarantine->contents[1] = quarantine->contents[0];
	quarantine->contents[0] = oldest;
	quarantine->contents_us = now_us;
}

/* Returns when a request with the content was answered, 0 if unknown. */
int64_t quarantine_answered_us(const ks_quarantine_t *quarantine,
			       uint64_t content)
{
	for (size_t i = 0; i < G_N_ELEMENTS(quarantine->contents); i++) {
		const struct answered_content *answered =
			g_hash_table_lookup(quarantine->contents[i], &content);

		if (answered)
			return answered->sent_us;
	}
	return 0;
}

/**
 * ks_quarantine_record_content() - record that a request was answered
 * completely
 * @sent_us: when it was sent to its upstream
 *
 * Lifts the hold of a content that was held before the request was sent.
 */
void ks_quarantine_record_content(ks_quarantine_t *quarantine, uint64_t content,
				  int64_t sent_us, int64_t now_us)
{
	struct answered_content *answered = g_new(struct answered_content, 1);

	rotate(quarantine, now_us);
	*answered = (struct answered_content){ content, sent_us };
	g_hash_table_replace(quarantine->contents[0], &answered->content,
			     answered);
	/* Of contents that were never lost, no more is remembered. */
	if (quarantine_find_part(quarantine, content))
		ks_quarantine_record_answer(quarantine, &content, 1, sent_us,
					    now_us);
}
