#include "limits.h"

/* The rule: arrivals in a window, once the limit is known. */
#define WINDOW_US (4000 * KS_USEC_PER_MSEC)
#define TOLERANCE 1.5
#define ALLOWANCE 5
#define CONTACT_US (3000 * KS_USEC_PER_MSEC)
#define PASSED_ON_US (500 * KS_USEC_PER_MSEC)

/**
 * struct limited - a replica that states a limit
 * @per_s: the greatest one that it has stated since @first_us
 * @first_us: when it first stated one
 * @told_us: when it first did so to a gateway, as int64_t by the gateway
 * @arrivals: times of the requests of the last window
 */
struct limited {
	double per_s;
	int64_t first_us;
	GHashTable *told_us;
	GQueue arrivals;
};

static void free_limited(gpointer data)
{
	struct limited *limited = data;

	g_hash_table_destroy(limited->told_us);
	g_queue_clear_full(&limited->arrivals, g_free);
	g_free(limited);
}

void limits_init(struct limits *limits)
{
	limits->by_replica = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_limited);
}

/**
 * limits_state() - note what a replica says in an answer
 * @per_s: 0 if it states no limit
 */
void limits_state(struct limits *limits, const char *replica, unsigned gateway,
		  double per_s, int64_t at_us)
{
	struct limited *limited =
		g_hash_table_lookup(limits->by_replica, replica);

	if (per_s <= 0) {
		g_hash_table_remove(limits->by_replica, replica);
		return;
	}
	if (!limited) {
		limited = g_new0(struct limited, 1);
		limited->first_us = at_us;
		limited->told_us =
			g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_queue_init(&limited->arrivals);
		g_hash_table_insert(limits->by_replica, g_strdup(replica),
				    limited);
	}
	limited->per_s = MAX(limited->per_s, per_s);
	if (!g_hash_table_contains(limited->told_us, GUINT_TO_POINTER(gateway)))
		g_hash_table_insert(limited->told_us, GUINT_TO_POINTER(gateway),
				    g_memdup2(&at_us, sizeof(at_us)));
}

/**
 * limits_arrive() - note a request
 * @excused_us: until when the gateway need not know
 *
 * Return: whether it is one too many.
 */
bool limits_arrive(struct limits *limits, const char *replica, unsigned gateway,
		   int64_t excused_us, int64_t at_us)
{
	struct limited *limited =
		g_hash_table_lookup(limits->by_replica, replica);
	const int64_t *told_us, *oldest;

	if (!limited || at_us < limited->first_us + CONTACT_US)
		return false;
	told_us = g_hash_table_lookup(limited->told_us,
				      GUINT_TO_POINTER(gateway));
	if (!told_us || at_us < *told_us + PASSED_ON_US || at_us < excused_us)
		return false;
	g_queue_push_tail(&limited->arrivals, g_memdup2(&at_us, sizeof(at_us)));
	while ((oldest = g_queue_peek_head(&limited->arrivals)) &&
	       at_us - *oldest >= WINDOW_US)
		g_free(g_queue_pop_head(&limited->arrivals));
	return limited->arrivals.length >
	       TOLERANCE * limited->per_s * WINDOW_US / 1e6 + ALLOWANCE;
}
