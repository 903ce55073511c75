/*
 * Fuzzes release notes, in which an operator describes changes to the
 * configuration. Each accepted note is applied to an empty snapshot and to one
 * with a model and an upstream.
 */
#include "fuzz.h"
#include "ks/version.h"

static const char base_note[] =
	"base: 0\n"
	"models: {add: [{name: m, version: v1, adapters: [a, b]}]}\n"
	"upstreams: {add: [{id: e1, process: '10.0.0.1:7400',\n"
	"  endpoint: '10.0.0.1:8000', host: h1, domain: d1, model: m,\n"
	"  limit: 8}]}\n";

static ks_snapshot_t *apply(const ks_release_t *release,
			    const ks_snapshot_t *base)
{
	GError *error = NULL;
	ks_snapshot_t *snapshot = ks_release_apply(release, base, &error);

	g_assert((snapshot != NULL) == (error == NULL));
	g_clear_error(&error);
	return snapshot;
}

/* A snapshot created from a note must be accepted by its own parser, which all
 * processes use. */
static void check_snapshot(const ks_snapshot_t *base, ks_snapshot_t *snapshot)
{
	ks_str_t body = { snapshot->body, snapshot->body_len };
	ks_snapshot_t *again = ks_snapshot_parse(body, NULL);
	char *diff = ks_snapshot_diff(base, snapshot);

	g_assert(again);
	g_assert(ks_digest_equal(&again->digest, &snapshot->digest));
	g_free(diff);
	ks_snapshot_unref(again);
	ks_snapshot_unref(snapshot);
}

static void try_note(ks_release_t *release, const ks_snapshot_t *base)
{
	ks_snapshot_t *snapshot;

	ks_release_set_base(release, base->version);
	snapshot = apply(release, base);
	if (snapshot)
		check_snapshot(base, snapshot);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ks_snapshot_t *empty = ks_snapshot_new_empty();
	ks_release_t *first = ks_release_parse(KS_STR(base_note), "b", NULL);
	ks_snapshot_t *base = apply(first, empty);
	GError *error = NULL;
	ks_release_t *release =
		ks_release_parse(fuzz_str(data, size), "note.yaml", &error);

	g_assert(base);
	g_assert((release != NULL) == (error == NULL));
	if (release) {
		try_note(release, empty);
		try_note(release, base);
		ks_release_free(release);
	}
	g_clear_error(&error);
	ks_release_free(first);
	ks_snapshot_unref(base);
	ks_snapshot_unref(empty);
	return 0;
}
