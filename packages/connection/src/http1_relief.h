/* Which connections of callers are closed when memory or descriptors run out.
 */
#ifndef KS_CONNECTION_HTTP1_RELIEF_H
#define KS_CONNECTION_HTTP1_RELIEF_H

#include "ks/core.h"

/**
 * struct http1_relief_view - what the decision knows of a connection
 * @is_idle: no byte of a request was received, and no response is left
 * @awaits_head: the head of a request is incomplete
 * @awaits_upstream: its request is served, and no response waits for the caller
 * @bytes: memory held for it
 * @progress_us: when a byte was last received from the caller or taken by it
 */
struct http1_relief_view {
	bool is_idle;
	bool awaits_head;
	bool awaits_upstream;
	size_t bytes;
	int64_t progress_us;
};

size_t http1_relief_max_conns(size_t max_descriptors);
bool http1_relief_frees_descriptor(const struct http1_relief_view *view,
				   const struct http1_relief_view *best);
bool http1_relief_frees_memory(const struct http1_relief_view *view,
			       const struct http1_relief_view *best,
			       int64_t now_us);

#endif
