/*
 * Decides which connections of callers are closed when memory or descriptors
 * run out. It addresses callers that open many connections without sending
 * requests, and callers that leave bodies incomplete or responses unread.
 */
#include "http1_relief.h"

/* Descriptors for the store, other entries, listeners and health checks. */
#define RESERVE_SHARE 4
#define MIN_RESERVE 64

/**
 * http1_relief_max_conns() - limit for the connections of callers
 *
 * A request needs one connection to an upstream, so that the callers get half
 * of what the reserve leaves.
 */
size_t http1_relief_max_conns(size_t max_descriptors)
{
	size_t reserve = MAX(max_descriptors / RESERVE_SHARE, MIN_RESERVE);

	if (max_descriptors < reserve + 2)
		return 1;
	return (max_descriptors - reserve) / 2;
}

/**
 * http1_relief_frees_descriptor() - whether to close a connection rather than
 * the best one so far
 * @best: NULL for none
 *
 * Idle ones go first, starting with the longest idle, then those without a
 * complete head. No others are closed.
 */
bool http1_relief_frees_descriptor(const struct http1_relief_view *view,
				   const struct http1_relief_view *best)
{
	if (!view->is_idle && !view->awaits_head)
		return false;
	if (!best || view->is_idle != best->is_idle)
		return !best || view->is_idle;
	return view->progress_us < best->progress_us;
}

static double score(const struct http1_relief_view *view, int64_t now_us)
{
	return (double)view->bytes * (double)(now_us - view->progress_us + 1);
}

/**
 * http1_relief_frees_memory() - whether to close a connection rather than the
 * best one so far
 * @best: NULL for none
 *
 * The one goes first that has held the most memory for the longest time without
 * progress. A caller that waits for its upstream is not at fault.
 */
bool http1_relief_frees_memory(const struct http1_relief_view *view,
			       const struct http1_relief_view *best,
			       int64_t now_us)
{
	if (view->awaits_upstream)
		return false;
	return !best || score(view, now_us) > score(best, now_us);
}
