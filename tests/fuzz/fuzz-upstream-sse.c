/* Fuzzes the upstream process's parser of server-sent events. */
#include "../../packages/upstream/src/upstream_internal.h"
#include "fuzz.h"

/* The result must not depend on how the input is split into pieces. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct upstream_sse whole = { .line_len = 0 };
	struct upstream_sse pieces = { .line_len = 0 };

	upstream_sse_feed(&whole, fuzz_str(data, size));
	for (size_t at = 0, len; at < size; at += len) {
		len = MIN(1 + data[at] % 7U, size - at);
		upstream_sse_feed(&pieces, fuzz_str(data + at, len));
	}
	g_assert(whole.events == pieces.events);
	g_assert(whole.done == pieces.done);
	g_assert(whole.line_len == pieces.line_len);
	return 0;
}
