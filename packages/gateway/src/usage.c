/*
 * Counts the requests of organisations by windows of time, and decides when the
 * counts of a window are complete. Load pattern: 12,000 requests per second of
 * 970 organisations at 350 entries, whose wall clocks may be wrong by seconds,
 * and which may be killed, frozen or cut off from each other at any time.
 */
#include "ks/usage.h"

#include <string.h>
#include <xxhash.h>

/* Clocks heard within this time take part in the estimate of true time. */
#define CLOCK_MAX_AGE_US (2 * KS_USEC_PER_SEC)

/* How often the estimate is made anew; it needs a sort of all clocks. */
#define ESTIMATE_INTERVAL_US (250 * KS_USEC_PER_MSEC)

/* Windows are kept for this time after their reports are due. */
#define KEEP_US (10 * KS_USEC_PER_SEC)

/*
 * A request that is pending for longer than this share of the time until its
 * window must be reported has most probably run: refusals take milliseconds.
 */
#define PENDING_DIVISOR 4

/* A window is sealed without missing counts after this share of it. */
#define SEAL_DIVISOR 2

/* Bounds on what other entries can make this one keep. */
#define MAX_SENDERS 2048
#define MAX_NAMES 8192

static void free_totals(gpointer data)
{
	ks_usage_totals_t *totals = data;

	g_hash_table_destroy(totals->counts);
	g_hash_table_destroy(totals->changed);
	g_free(totals);
}

static void free_window(gpointer data)
{
	ks_usage_window_t *window = data;

	g_hash_table_destroy(window->senders);
	g_free(window);
}

/**
 * ks_usage_init() - set up counts that are not active yet
 * @window_us: length of a window
 * @late_us: when the report of a window is due, after its end
 */
void ks_usage_init(ks_usage_t *usage, const ks_clock_t *wall, int64_t window_us,
		   int64_t late_us)
{
	memset(usage, 0, sizeof(*usage));
	usage->wall = wall;
	usage->window_us = window_us;
	usage->late_us = late_us;
	usage->final = KS_USAGE_NONE;
	usage->told_final = KS_USAGE_NONE;
	usage->sealed = KS_USAGE_NONE;
	usage->names = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	usage->windows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_window);
	usage->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
}

void ks_usage_deinit(ks_usage_t *usage)
{
	g_hash_table_destroy(usage->names);
	g_hash_table_destroy(usage->windows);
	g_hash_table_destroy(usage->senders);
	memset(usage, 0, sizeof(*usage));
}

/**
 * ks_usage_tag() - identifier of an organisation in messages between entries
 */
uint32_t ks_usage_tag(const char *organisation)
{
	return XXH32(organisation, strlen(organisation), 0);
}

static void add_name(ks_usage_t *usage, const char *name)
{
	gpointer tag = GUINT_TO_POINTER(ks_usage_tag(name));
	const char *known = g_hash_table_lookup(usage->names, tag);

	if (!known && g_hash_table_size(usage->names) < MAX_NAMES)
		g_hash_table_insert(usage->names, tag, g_strdup(name));
	else if (known && strcmp(known, name) != 0)
		ks_log(KS_LOG_CONFIG, KS_LOG_WARN,
		       "two organisations have the same hash, their requests "
		       "are reported for the first first=%s second=%s",
		       known, name);
}

/**
 * ks_usage_set_organisations() - note the organisations of a configuration
 * @organisations: NULL if it has none; nothing is counted then
 *
 * The names of earlier configurations stay known, as their requests may still
 * have to be reported.
 */
void ks_usage_set_organisations(ks_usage_t *usage,
				const ks_organisations_t *organisations,
				int64_t now_us)
{
	usage->active = organisations != NULL;
	if (!organisations)
		return;
	if (!usage->active_since_us)
		usage->active_since_us = now_us;
	for (guint i = 0; i < organisations->list->len; i++) {
		const ks_organisation_t *organisation =
			organisations->list->pdata[i];

		add_name(usage, organisation->name);
	}
}

static gint compare_int64(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t median_offset(const ks_usage_t *usage, int64_t now_us)
{
	int64_t own_us = ks_clock_now(usage->wall) - now_us, median;
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(offsets, own_us);
	g_hash_table_iter_init(&iter, usage->senders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_sender_t *sender = value;

		if (now_us - sender->heard_us <= CLOCK_MAX_AGE_US)
			g_array_append_val(offsets, sender->offset_us);
	}
	g_array_sort(offsets, compare_int64);
	/* Of an even number, the mean of the middle two halves the error. */
	median = g_array_index(offsets, int64_t, (offsets->len - 1) / 2);
	median += (g_array_index(offsets, int64_t, offsets->len / 2) - median) /
		  2;
	g_array_free(offsets, TRUE);
	return median;
}

/**
 * ks_usage_true_us() - estimate the time since the start of 1970
 *
 * Return: the median of the wall clocks of this entry and of the others that
 * have been heard lately, in microseconds.
 */
int64_t ks_usage_true_us(ks_usage_t *usage, int64_t now_us)
{
	if (!usage->estimated_us ||
	    now_us - usage->estimated_us >= ESTIMATE_INTERVAL_US) {
		usage->offset_us = median_offset(usage, now_us);
		usage->estimated_us = now_us;
	}
	return now_us + usage->offset_us;
}

/**
 * ks_usage_window_at() - number of the window that a time is in
 */
int64_t ks_usage_window_at(ks_usage_t *usage, int64_t now_us)
{
	return ks_usage_true_us(usage, now_us) / usage->window_us;
}

/**
 * ks_usage_age_us() - time since the end of a window, negative before
 */
int64_t ks_usage_age_us(ks_usage_t *usage, int64_t window, int64_t now_us)
{
	return ks_usage_true_us(usage, now_us) -
	       (window + 1) * usage->window_us;
}

static ks_usage_window_t *find_window(ks_usage_t *usage, int64_t number)
{
	ks_usage_window_t *window =
		g_hash_table_lookup(usage->windows, &number);

	if (window)
		return window;
	window = g_new0(ks_usage_window_t, 1);
	window->number = number;
	window->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, free_totals);
	g_hash_table_insert(usage->windows, &window->number, window);
	return window;
}

/**
 * ks_usage_find_totals() - get the totals of a process for a window
 * @sender: KS_USAGE_SELF, or the tag of another process
 *
 * Return: NULL if the window is too old or lies in the future.
 */
ks_usage_totals_t *ks_usage_find_totals(ks_usage_t *usage, int64_t window,
					uint64_t sender, int64_t now_us)
{
	int64_t current = ks_usage_window_at(usage, now_us);
	ks_usage_window_t *found;
	ks_usage_totals_t *totals;

	if (window > current + 1 ||
	    ks_usage_age_us(usage, window, now_us) > usage->late_us + KEEP_US)
		return NULL;
	found = find_window(usage, window);
	totals = g_hash_table_lookup(found->senders, &sender);
	if (totals)
		return totals;
	totals = g_new0(ks_usage_totals_t, 1);
	totals->counts = g_hash_table_new(NULL, NULL);
	totals->changed = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(found->senders, g_memdup2(&sender, sizeof(sender)),
			    totals);
	return totals;
}

static unsigned count_of(const ks_usage_totals_t *totals, uint32_t tag)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(totals->counts, GUINT_TO_POINTER(tag)));
}

/* Share of a count in the digest of all counts, which is their sum. */
static uint32_t digest_of(uint32_t tag, unsigned count)
{
	return count ? XXH32(&count, sizeof(count), tag) : 0;
}

/**
 * ks_usage_totals_set() - set the requests of an organisation
 * @tag: see ks_usage_tag()
 */
void ks_usage_totals_set(ks_usage_totals_t *totals, uint32_t tag,
			 unsigned count)
{
	unsigned before = count_of(totals, tag);

	totals->sum = totals->sum - before + count;
	totals->digest += digest_of(tag, count) - digest_of(tag, before);
	g_hash_table_insert(totals->counts, GUINT_TO_POINTER(tag),
			    GUINT_TO_POINTER(count));
}

static void change(ks_usage_totals_t *totals, const char *organisation,
		   int delta)
{
	uint32_t tag = ks_usage_tag(organisation);

	ks_usage_totals_set(totals, tag,
			    count_of(totals, tag) + (unsigned)delta);
	g_hash_table_add(totals->changed, GUINT_TO_POINTER(tag));
}

/**
 * ks_usage_begin() - count a request that begins to run
 *
 * It is counted in the window of @now_us, or in the first one that this entry
 * has not called final, if its estimate of the time has gone back.
 *
 * Return: the window, for ks_usage_end(); KS_USAGE_NONE if nothing is counted.
 */
int64_t ks_usage_begin(ks_usage_t *usage, const char *organisation,
		       int64_t now_us)
{
	int64_t window = ks_usage_window_at(usage, now_us);
	ks_usage_totals_t *totals;

	if (!usage->active)
		return KS_USAGE_NONE;
	if (usage->final != KS_USAGE_NONE)
		window = MAX(window, usage->final + 1);
	/* It need not be near the present if the clocks were set back far. */
	totals = ks_usage_find_totals(usage, window, KS_USAGE_SELF, now_us);
	if (!totals)
		return KS_USAGE_NONE;
	change(totals, organisation, 1);
	totals->pending++;
	return window;
}

/**
 * ks_usage_end() - note whether a request that was counted has run
 *
 * A request that has not run is no longer counted, unless its window is final.
 */
void ks_usage_end(ks_usage_t *usage, const char *organisation, int64_t window,
		  bool ran)
{
	const ks_usage_window_t *found =
		g_hash_table_lookup(usage->windows, &window);
	int64_t self = KS_USAGE_SELF;
	ks_usage_totals_t *totals =
		found ? g_hash_table_lookup(found->senders, &self) : NULL;

	if (!totals)
		return;
	totals->pending--;
	if (!ran && window > usage->final)
		change(totals, organisation, -1);
}

static bool is_pending(const ks_usage_t *usage, int64_t window)
{
	const ks_usage_window_t *found =
		g_hash_table_lookup(usage->windows, &window);
	int64_t self = KS_USAGE_SELF;
	const ks_usage_totals_t *totals =
		found ? g_hash_table_lookup(found->senders, &self) : NULL;

	return totals && totals->pending;
}

static void update_final(ks_usage_t *usage, int64_t now_us)
{
	int64_t current = ks_usage_window_at(usage, now_us);

	/* The clocks of others are heard first. */
	if (usage->final == KS_USAGE_NONE) {
		if (now_us - usage->active_since_us >= CLOCK_MAX_AGE_US)
			usage->final = current - 1;
		return;
	}
	while (usage->final + 1 < current &&
	       (!is_pending(usage, usage->final + 1) ||
		ks_usage_age_us(usage, usage->final + 1, now_us) >=
			usage->late_us / PENDING_DIVISOR))
		usage->final++;
}

static void expire(ks_usage_t *usage, int64_t now_us)
{
	int64_t keep_us = usage->window_us + usage->late_us + KEEP_US;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, usage->windows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_window_t *window = value;

		if (ks_usage_age_us(usage, window->number, now_us) >
		    usage->late_us + KEEP_US)
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, usage->senders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_sender_t *sender = value;

		if (now_us - sender->heard_us > keep_us)
			g_hash_table_iter_remove(&iter);
	}
}

/**
 * ks_usage_update() - call windows final that are, and forget old ones
 */
void ks_usage_update(ks_usage_t *usage, int64_t now_us)
{
	if (usage->active)
		update_final(usage, now_us);
	expire(usage, now_us);
}

/**
 * ks_usage_find_sender() - get what is known of another process
 * @sender: its tag, which is not KS_USAGE_SELF
 *
 * Return: NULL if there are too many.
 */
ks_usage_sender_t *ks_usage_find_sender(ks_usage_t *usage, uint64_t sender,
					int64_t now_us)
{
	ks_usage_sender_t *found = g_hash_table_lookup(usage->senders, &sender);

	if (!found && g_hash_table_size(usage->senders) < MAX_SENDERS) {
		found = g_new0(ks_usage_sender_t, 1);
		found->final = KS_USAGE_NONE;
		/* Until it says otherwise, it does not affect the estimate. */
		found->heard_us = now_us;
		found->offset_us = usage->offset_us;
		g_hash_table_insert(usage->senders,
				    g_memdup2(&sender, sizeof(sender)), found);
	}
	return found;
}

/**
 * ks_usage_hear() - note the wall clock of another process
 * @sender: its tag
 */
void ks_usage_hear(ks_usage_t *usage, uint64_t sender, int64_t wall_us,
		   int64_t now_us)
{
	ks_usage_sender_t *found = ks_usage_find_sender(usage, sender, now_us);

	if (!found)
		return;
	found->heard_us = now_us;
	found->offset_us = wall_us - now_us;
}

/**
 * ks_usage_first() - first window with a request that is known
 *
 * Return: KS_USAGE_NONE if there is none.
 */
int64_t ks_usage_first(const ks_usage_t *usage)
{
	int64_t first = KS_USAGE_NONE;
	GHashTableIter iter, totals_iter;
	gpointer value, totals;

	g_hash_table_iter_init(&iter, usage->windows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_usage_window_t *window = value;
		uint64_t sum = 0;

		g_hash_table_iter_init(&totals_iter, window->senders);
		while (g_hash_table_iter_next(&totals_iter, NULL, &totals))
			sum += ((const ks_usage_totals_t *)totals)->sum;
		if (sum && (first == KS_USAGE_NONE || window->number < first))
			first = window->number;
	}
	return first;
}

/* Whether another process has sent its final counts of a window. */
static bool is_final(const ks_usage_window_t *window, const uint64_t *tag,
		     const ks_usage_sender_t *sender, int64_t number)
{
	const ks_usage_totals_t *totals =
		window ? g_hash_table_lookup(window->senders, tag) : NULL;

	return sender->final >= number &&
	       (!totals || totals->digest == totals->stated);
}

/**
 * ks_usage_is_recent() - whether counts of a window can still be used
 */
bool ks_usage_is_recent(ks_usage_t *usage, int64_t window, int64_t now_us)
{
	return ks_usage_age_us(usage, window, now_us) <
	       usage->late_us / SEAL_DIVISOR;
}

/**
 * ks_usage_is_complete() - whether a window can be sealed
 *
 * It can once all entries that were heard since its start have said that their
 * counts are final, and without them when it has to be reported soon.
 */
bool ks_usage_is_complete(ks_usage_t *usage, int64_t window, int64_t now_us)
{
	int64_t age_us = ks_usage_age_us(usage, window, now_us);
	const ks_usage_window_t *found =
		g_hash_table_lookup(usage->windows, &window);
	GHashTableIter iter;
	gpointer tag, value;

	if (age_us < 0)
		return false;
	if (age_us >= usage->late_us / SEAL_DIVISOR)
		return true;
	if (usage->final < window)
		return false;
	g_hash_table_iter_init(&iter, usage->senders);
	while (g_hash_table_iter_next(&iter, &tag, &value)) {
		const ks_usage_sender_t *sender = value;

		if (now_us - sender->heard_us <= age_us + usage->window_us &&
		    !is_final(found, tag, sender, window))
			return false;
	}
	return true;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(((const ks_usage_count_t *)a)->name,
		      ((const ks_usage_count_t *)b)->name);
}

static void add_totals(GHashTable *sums, const ks_usage_totals_t *totals)
{
	GHashTableIter iter;
	gpointer tag, count;

	g_hash_table_iter_init(&iter, totals->counts);
	while (g_hash_table_iter_next(&iter, &tag, &count)) {
		guint sum = GPOINTER_TO_UINT(g_hash_table_lookup(sums, tag));

		g_hash_table_insert(
			sums, tag,
			GUINT_TO_POINTER(sum + GPOINTER_TO_UINT(count)));
	}
}

/**
 * ks_usage_sum() - add up the counts of all entries
 *
 * Return: ks_usage_count_t of the organisations with requests, by name. The
 * names are valid as long as @usage.
 */
GArray *ks_usage_sum(ks_usage_t *usage, int64_t window)
{
	GArray *counts = g_array_new(FALSE, FALSE, sizeof(ks_usage_count_t));
	const ks_usage_window_t *found =
		g_hash_table_lookup(usage->windows, &window);
	GHashTable *sums = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer tag, value;

	if (found) {
		g_hash_table_iter_init(&iter, found->senders);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			add_totals(sums, value);
	}
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &tag, &value)) {
		ks_usage_count_t count = {
			g_hash_table_lookup(usage->names, tag),
			GPOINTER_TO_UINT(value),
		};

		if (count.count && count.name)
			g_array_append_val(counts, count);
		else if (count.count)
			ks_log(KS_LOG_ORDER, KS_LOG_WARN,
			       "requests of an organisation that this entry "
			       "does not know are not reported window=%" PRId64
			       " requests=%" PRIu64,
			       window, count.count);
	}
	g_hash_table_destroy(sums);
	g_array_sort(counts, compare_names);
	return counts;
}
