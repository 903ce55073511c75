/*
 * Remembers at which upstreams streams began, so that a caller that resumes one
 * is served by the same version of their software. Streams begin far more often
 * than they are resumed, and most are never asked for, so records are forgotten
 * in two generations instead of one by one.
 *
 * The origin of a stream may become known only after the stream has ended.
 * Until then there is a claim: the process that the entry which began the
 * stream knew at the upstream while the connection to it was up. An earlier
 * process of the upstream had ended by then, with its connections, so if that
 * process is there later on, no other one can have begun the stream.
 */
#include "ks/gateway.h"

/* A generation ends after this time or with this number of streams. */
#define GENERATION_US (60 * KS_USEC_PER_SEC)
#define MAX_STREAMS 65536

static GHashTable *new_generation(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     g_free);
}

void ks_stream_origins_init(ks_stream_origins_t *origins)
{
	origins->recent = new_generation();
	origins->older = new_generation();
	origins->claims = new_generation();
	origins->began_us = 0;
}

void ks_stream_origins_deinit(ks_stream_origins_t *origins)
{
	g_hash_table_destroy(origins->recent);
	g_hash_table_destroy(origins->older);
	g_hash_table_destroy(origins->claims);
}

static gboolean is_old_claim(gpointer key G_GNUC_UNUSED, gpointer value,
			     gpointer ctx)
{
	const ks_stream_claim_t *claim = value;
	const int64_t *now_us = ctx;

	return *now_us - claim->claimed_us >= GENERATION_US;
}

static void begin_generation(ks_stream_origins_t *origins, int64_t now_us)
{
	int64_t age_us = now_us - origins->began_us;

	if (age_us < GENERATION_US &&
	    g_hash_table_size(origins->recent) < MAX_STREAMS)
		return;
	g_hash_table_destroy(origins->older);
	origins->older = origins->recent;
	origins->recent = new_generation();
	if (age_us >= 2 * GENERATION_US)
		g_hash_table_remove_all(origins->older);
	origins->began_us = now_us;
	g_hash_table_foreach_remove(origins->claims, is_old_claim, &now_us);
}

/**
 * ks_stream_origins_record() - remember where a stream began
 * @stream: hash of the id of the request whose response began it
 * @origin: see struct ks_member
 *
 * The record is kept for a minute at least, or until as many streams as a
 * generation has have begun.
 */
void ks_stream_origins_record(ks_stream_origins_t *origins, uint64_t stream,
			      uint64_t origin, int64_t now_us)
{
	begin_generation(origins, now_us);
	g_hash_table_replace(origins->recent,
			     g_memdup2(&stream, sizeof(stream)),
			     g_memdup2(&origin, sizeof(origin)));
	g_hash_table_remove(origins->claims, &stream);
}

/**
 * ks_stream_origins_find() - find where a stream began
 *
 * Return: the origin, 0 if it is not known.
 */
uint64_t ks_stream_origins_find(ks_stream_origins_t *origins, uint64_t stream,
				int64_t now_us)
{
	const uint64_t *origin;

	begin_generation(origins, now_us);
	origin = g_hash_table_lookup(origins->recent, &stream);
	if (!origin)
		origin = g_hash_table_lookup(origins->older, &stream);
	return origin ? *origin : 0;
}

/**
 * ks_stream_origins_claim() - remember which process may have begun a stream
 *
 * Ignored if the origin of the stream is known, or there is a claim already,
 * unless this entry begins the stream: its caller then uses an id again.
 */
void ks_stream_origins_claim(ks_stream_origins_t *origins,
			     const ks_stream_claim_t *claim, int64_t now_us)
{
	ks_stream_claim_t *kept;

	if (claim->is_own) {
		g_hash_table_remove(origins->recent, &claim->stream);
		g_hash_table_remove(origins->older, &claim->stream);
		g_hash_table_remove(origins->claims, &claim->stream);
	}
	if (ks_stream_origins_find(origins, claim->stream, now_us) ||
	    g_hash_table_contains(origins->claims, &claim->stream) ||
	    g_hash_table_size(origins->claims) >= MAX_STREAMS)
		return;
	kept = g_memdup2(claim, sizeof(*claim));
	kept->claimed_us = now_us;
	g_hash_table_insert(origins->claims,
			    g_memdup2(&claim->stream, sizeof(claim->stream)),
			    kept);
}

/**
 * ks_stream_origins_find_claim() - find which process may have begun a stream
 *
 * Return: valid until the next change of @origins; NULL if there is none.
 */
const ks_stream_claim_t *
ks_stream_origins_find_claim(const ks_stream_origins_t *origins,
			     uint64_t stream)
{
	return g_hash_table_lookup(origins->claims, &stream);
}

/**
 * ks_stream_origins_settle() - record the origins that have become known
 * @func: called for each claim; must not change @origins
 */
void ks_stream_origins_settle(ks_stream_origins_t *origins,
			      ks_settle_func_t func, void *ctx, int64_t now_us)
{
	GArray *known = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, origins->claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_stream_claim_t *claim = value;
		uint64_t pair[2] = { claim->stream, 0 };

		if (!func(ctx, claim, &pair[1])) {
			g_hash_table_iter_remove(&iter);
		} else if (pair[1]) {
			g_array_append_vals(known, pair, 2);
		}
	}
	for (guint i = 0; i < known->len; i += 2)
		ks_stream_origins_record(
			origins, g_array_index(known, uint64_t, i),
			g_array_index(known, uint64_t, i + 1), now_us);
	g_array_free(known, TRUE);
}
