/* Tests of the compression of snapshots. */
#include "ks/version.h"

#include <string.h>

static ks_str_t view(GBytes *bytes)
{
	ks_str_t s;

	s.data = g_bytes_get_data(bytes, &s.len);
	return s;
}

/*
 * Guards against contents changed by compression, and against poor compression.
 */
static void test_pack_round_trip(void)
{
	GString *body = g_string_new("{\"upstreams\":[");
	GBytes *compressed, *decompressed;

	for (int i = 0; i < 2800; i++)
		g_string_append_printf(
			body, "{\"id\":\"engine-%d\",\"domain\":\"d%d\"},", i,
			i % 19);
	compressed = ks_snapshot_compress((ks_str_t){ body->str, body->len });
	g_assert_cmpint(view(compressed).len * 4, <, body->len);
	decompressed = ks_snapshot_decompress(view(compressed));
	g_assert_true(ks_str_equal(view(decompressed),
				   (ks_str_t){ body->str, body->len }));
	g_bytes_unref(compressed);
	g_bytes_unref(decompressed);
	g_string_free(body, TRUE);
}

/* Guards against accepting a truncated, extended or corrupted snapshot. */
static void test_pack_refuses_damage(void)
{
	ks_str_t body =
		KS_STR("{\"models\":[],\"upstreams\":[],\"version\":3}");
	GBytes *compressed = ks_snapshot_compress(body);
	ks_str_t bytes = view(compressed);
	char *longer = g_malloc(bytes.len + 1);

	for (size_t len = 0; len < bytes.len; len++)
		g_assert_null(
			ks_snapshot_decompress((ks_str_t){ bytes.data, len }));
	memcpy(longer, bytes.data, bytes.len);
	longer[bytes.len] = 'x';
	g_assert_null(
		ks_snapshot_decompress((ks_str_t){ longer, bytes.len + 1 }));
	longer[bytes.len / 2] ^= 0x40;
	g_assert_null(ks_snapshot_decompress((ks_str_t){ longer, bytes.len }));
	g_free(longer);
	g_bytes_unref(compressed);
}

/*
 * Guards against a small message that decompresses until memory is exhausted.
 */
static void test_pack_refuses_too_large(void)
{
	size_t len = (size_t)65 * 1024 * 1024;
	char *zeros = g_malloc0(len);
	GBytes *compressed = ks_snapshot_compress((ks_str_t){ zeros, len });

	g_assert_null(ks_snapshot_decompress(view(compressed)));
	g_bytes_unref(compressed);
	g_free(zeros);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pack/round-trip", test_pack_round_trip);
	g_test_add_func("/pack/refuses-damage", test_pack_refuses_damage);
	g_test_add_func("/pack/refuses-too-large", test_pack_refuses_too_large);
	return g_test_run();
}
