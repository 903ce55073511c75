/*
 * Remembers at which upstreams streams began, so that a caller that resumes one
 * is served by the same version of their software. Streams begin far more often
 * than they are resumed, and most are never asked for, so records are forgotten
 * in two generations instead of one by one.
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
	origins->began_us = 0;
}

void ks_stream_origins_deinit(ks_stream_origins_t *origins)
{
	g_hash_table_destroy(origins->recent);
	g_hash_table_destroy(origins->older);
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
