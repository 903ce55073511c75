/*
 * Fuzzes the parsing of snapshots, which are complete versions of the
 * configuration. Processes receive them from the store or from a peer.
 */
#include "fuzz.h"
#include "ks/version.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ks_str_t body = fuzz_str(data, size);
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	GError *error = NULL;
	ks_snapshot_t *snapshot = ks_snapshot_parse(body, &error);
	char *diff;

	g_assert((snapshot != NULL) == (error == NULL));
	if (snapshot) {
		/* Only the canonical encoding is accepted. */
		g_assert(ks_str_equal(
			(ks_str_t){ snapshot->body, snapshot->body_len },
			body));
		diff = ks_snapshot_diff(empty, snapshot);
		g_free(diff);
		ks_snapshot_unref(snapshot);
	}
	g_clear_error(&error);
	ks_snapshot_unref(empty);
	return 0;
}
