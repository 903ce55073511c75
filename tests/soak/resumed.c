#include "resumed.h"

#include <stdio.h>

/* The rule: of so many streams, at least half as many go on as begin. */
#define MIN_RESUMED 12
#define MIN_SHARE 0.5
#define MIN_SERVING 2
#define CONTACT_US (3000 * KS_USEC_PER_MSEC)
/* A replica that serves says so more often. */
#define SILENT_US (400 * KS_USEC_PER_MSEC)

/**
 * struct serving - a replica that serves
 * @born: start of its process
 * @since_us, @last_us: when it first and last said that it serves
 */
struct serving {
	char *software;
	double born;
	int64_t since_us;
	int64_t last_us;
};

static void free_serving(gpointer data)
{
	struct serving *serving = data;

	g_free(serving->software);
	g_free(serving);
}

void resumed_init(struct resumed *resumed)
{
	*resumed = (struct resumed){ .store_away_us = 0 };
	resumed->by_replica = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, free_serving);
}

/**
 * resumed_note_serving() - note that a process of a replica serves, has
 * announced itself, and does not leave
 */
void resumed_note_serving(struct resumed *resumed, const char *replica,
			  const char *software, double born, int64_t at_us)
{
	struct serving *serving =
		g_hash_table_lookup(resumed->by_replica, replica);

	if (!serving || serving->born != born ||
	    at_us - serving->last_us > SILENT_US) {
		serving = g_new0(struct serving, 1);
		serving->software = g_strdup(software);
		serving->born = born;
		serving->since_us = at_us;
		g_hash_table_replace(resumed->by_replica, g_strdup(replica),
				     serving);
	}
	serving->last_us = at_us;
}

void resumed_note_store(struct resumed *resumed, bool is_away, int64_t at_us)
{
	resumed->store_away_us = is_away ? G_MAXINT64 : at_us;
}

/**
 * resumed_open() - note that a caller begins to try
 * @software: version that began the stream, or "" for a new one
 */
void resumed_open(struct resumed_try *try, const char *software, int64_t at_us)
{
	try->is_open = true;
	try->is_excused = false;
	try->from_us = at_us;
	g_strlcpy(try->software, software, sizeof(try->software));
}

/**
 * resumed_note_attempt() - note that an attempt has ended
 * @excused_us: when its gateway was last disturbed
 */
void resumed_note_attempt(struct resumed_try *try, int64_t excused_us,
			  int64_t sent_us)
{
	try->is_excused |= excused_us > sent_us - CONTACT_US;
}

/* Replicas of the version that served all the while, and were known before. */
static unsigned count_serving(const struct resumed *resumed,
			      const struct resumed_try *try, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, resumed->by_replica);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct serving *serving = value;

		n += !strcmp(serving->software, try->software) &&
		     serving->since_us <= try->from_us - CONTACT_US &&
		     serving->last_us >= now - SILENT_US;
	}
	return n;
}

/**
 * resumed_close() - count what the attempts have led to
 */
void resumed_close(struct resumed *resumed, struct resumed_try *try,
		   bool is_served, int64_t at_us)
{
	bool is_calm = resumed->store_away_us <= try->from_us - CONTACT_US;
	struct resumed_shares *shares =
		is_calm ? &resumed->in_touch : &resumed->store_away;

	if (!try->is_open)
		return;
	try->is_open = false;
	if (try->is_excused) {
		resumed->n_excused++;
		return;
	}
	if (!*try->software) {
		shares->streams++;
		shares->begun += is_served;
	} else if (count_serving(resumed, try, at_us) >= MIN_SERVING) {
		shares->resumed++;
		shares->gone_on += is_served;
	} else {
		resumed->n_unserved++;
	}
}

static void print_shares(const char *when, const struct resumed_shares *shares)
{
	printf("streams=%s new=%u began=%u resumed=%u went_on=%u\n", when,
	       shares->streams, shares->begun, shares->resumed,
	       shares->gone_on);
}

static bool is_kept(const struct resumed_shares *shares)
{
	return 1.0 * shares->gone_on * shares->streams >=
	       MIN_SHARE * shares->begun * shares->resumed;
}

/**
 * resumed_check() - print the counts, and what is wrong with them
 *
 * A run in which too few streams were resumed to tell has failed. So few may
 * be resumed while the store is away.
 *
 * Return: the number of violations.
 */
unsigned resumed_check(const struct resumed *resumed)
{
	unsigned violations = 0;

	print_shares("in_touch", &resumed->in_touch);
	print_shares("store_away", &resumed->store_away);
	printf("streams=not_judged gateway_disturbed=%u version_gone=%u\n",
	       resumed->n_excused, resumed->n_unserved);
	if (resumed->in_touch.resumed < MIN_RESUMED) {
		violations++;
		printf("violation rule=LOST what=\"too few streams to tell\"\n");
	} else if (!is_kept(&resumed->in_touch)) {
		violations++;
		printf("violation rule=LOST what=\"streams that callers resume "
		       "do not go on\"\n");
	}
	if (resumed->store_away.resumed >= MIN_RESUMED &&
	    !is_kept(&resumed->store_away)) {
		violations++;
		printf("violation rule=LOST what=\"streams that callers resume "
		       "while the store is away do not go on\"\n");
	}
	return violations;
}
