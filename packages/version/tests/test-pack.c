/* Tests of the packed form of snapshots. */
#include "ks/version.h"

#include <string.h>

static ks_str_t view(GBytes *bytes)
{
	ks_str_t s;

	s.data = g_bytes_get_data(bytes, &s.len);
	return s;
}

/* Guards against a snapshot that changes on its way. */
static void test_pack_round_trip(void)
{
	GString *body = g_string_new("{\"upstreams\":[");
	GBytes *packed, *unpacked;

	for (int i = 0; i < 2800; i++)
		g_string_append_printf(
			body, "{\"id\":\"engine-%d\",\"domain\":\"d%d\"},", i,
			i % 19);
	packed = ks_snapshot_compress((ks_str_t){ body->str, body->len });
	g_assert_cmpint(view(packed).len * 4, <, body->len);
	unpacked = ks_snapshot_decompress(view(packed));
	g_assert_true(ks_str_equal(view(unpacked),
				   (ks_str_t){ body->str, body->len }));
	g_bytes_unref(packed);
	g_bytes_unref(unpacked);
	g_string_free(body, TRUE);
}

/* Guards against a half-read or damaged snapshot being taken as whole. */
static void test_pack_refuses_damage(void)
{
	ks_str_t body =
		KS_STR("{\"models\":[],\"upstreams\":[],\"version\":3}");
	GBytes *packed = ks_snapshot_compress(body);
	ks_str_t bytes = view(packed);
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
	g_bytes_unref(packed);
}

/* Guards against a small message that unpacks into all of the memory. */
static void test_pack_refuses_excess(void)
{
	size_t len = (size_t)65 * 1024 * 1024;
	char *zeros = g_malloc0(len);
	GBytes *packed = ks_snapshot_compress((ks_str_t){ zeros, len });

	g_assert_null(ks_snapshot_decompress(view(packed)));
	g_bytes_unref(packed);
	g_free(zeros);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pack/round-trip", test_pack_round_trip);
	g_test_add_func("/pack/refuses-damage", test_pack_refuses_damage);
	g_test_add_func("/pack/refuses-excess", test_pack_refuses_excess);
	return g_test_run();
}
