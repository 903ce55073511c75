/*
 * Tests of the records of where streams began, and of the messages about them.
 */
#include "peer.pb-c.h"
#include "versions_fixture.h"

#define SECOND KS_USEC_PER_SEC

/* Guards against records that are forgotten while callers may come back. */
static void test_kept_for_a_minute(void)
{
	ks_stream_origins_t origins;

	ks_stream_origins_init(&origins);
	for (int64_t s = 0; s < 300; s += 7) {
		uint64_t stream = (uint64_t)s + 1;

		ks_stream_origins_record(&origins, stream, 5, s * SECOND);
		for (int64_t age = 0; age <= MIN(s, 56); age += 7)
			g_assert_cmpuint(
				ks_stream_origins_find(&origins,
						       stream - (uint64_t)age,
						       s * SECOND),
				==, 5);
	}
	ks_stream_origins_deinit(&origins);
}

/* Guards against records that are never forgotten. */
static void test_forgotten(void)
{
	ks_stream_origins_t origins;

	ks_stream_origins_init(&origins);
	ks_stream_origins_record(&origins, 1, 5, 0);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 1, 130 * SECOND), ==,
			 0);
	ks_stream_origins_record(&origins, 2, 5, 140 * SECOND);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 2, 500 * SECOND), ==,
			 0);
	ks_stream_origins_deinit(&origins);
}

/* Guards against memory that grows with the number of streams. */
static void test_bounded(void)
{
	ks_stream_origins_t origins;

	ks_stream_origins_init(&origins);
	for (uint64_t i = 1; i <= 200000; i++)
		ks_stream_origins_record(&origins, i, i, SECOND);
	g_assert_cmpuint(g_hash_table_size(origins.recent) +
				 g_hash_table_size(origins.older),
			 <=, 2 * 65536);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 200000, SECOND), ==,
			 200000);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 1, SECOND), ==, 0);
	ks_stream_origins_deinit(&origins);
}

/**
 * struct process - what is known of one when claims are settled
 */
struct process {
	uint64_t id;
	int64_t seen_us;
	bool is_gone;
};

static bool settle(void *ctx, const ks_stream_claim_t *claim, uint64_t *origin)
{
	const struct process *process = ctx;

	g_assert_cmpuint(claim->process, ==, process->id);
	if (process->seen_us >= claim->since_us)
		*origin = 5;
	return !process->is_gone;
}

static void claim(ks_stream_origins_t *origins, uint64_t stream,
		  int64_t since_us, bool is_own)
{
	ks_stream_claim_t claim = {
		.stream = stream,
		.process = 9,
		.since_us = since_us,
		.is_own = is_own,
	};

	ks_stream_origins_claim(origins, &claim, since_us);
}

/* Guards against claims that are settled too early, twice, or not at all. */
static void test_claims(void)
{
	struct process process = { .id = 9, .seen_us = 9 };
	ks_stream_origins_t origins;

	ks_stream_origins_init(&origins);
	claim(&origins, 1, 10, true);
	ks_stream_origins_settle(&origins, settle, &process, 11);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 1, 11), ==, 0);
	process.seen_us = 10;
	ks_stream_origins_settle(&origins, settle, &process, 12);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 1, 12), ==, 5);
	g_assert_null(ks_stream_origins_find_claim(&origins, 1));
	/* What another entry claims does not change what is known. */
	claim(&origins, 1, 13, false);
	g_assert_null(ks_stream_origins_find_claim(&origins, 1));
	/* A stream that begins here has used the id again. */
	claim(&origins, 1, 14, true);
	g_assert_cmpuint(ks_stream_origins_find(&origins, 1, 14), ==, 0);
	process.is_gone = true;
	ks_stream_origins_settle(&origins, settle, &process, 15);
	g_assert_null(ks_stream_origins_find_claim(&origins, 1));
	g_assert_cmpuint(ks_stream_origins_find(&origins, 1, 15), ==, 0);
	ks_stream_origins_deinit(&origins);
}

/* Guards against claims that stay, or grow in number, without end. */
static void test_claims_forgotten(void)
{
	ks_stream_origins_t origins;

	ks_stream_origins_init(&origins);
	claim(&origins, 1, SECOND, true);
	ks_stream_origins_find(&origins, 1, 130 * SECOND);
	g_assert_null(ks_stream_origins_find_claim(&origins, 1));
	for (uint64_t i = 1; i <= 100000; i++)
		claim(&origins, i, 131 * SECOND, true);
	g_assert_cmpuint(g_hash_table_size(origins.claims), <=, 65536);
	ks_stream_origins_deinit(&origins);
}

/* Guards against a claim that is dropped early as its connection is old. */
static void test_claim_on_old_connection(void)
{
	ks_stream_claim_t claim = {
		.stream = 1,
		.process = 9,
		.since_us = SECOND,
		.is_own = true,
	};
	ks_stream_origins_t origins;

	ks_stream_origins_init(&origins);
	ks_stream_origins_find(&origins, 2, 100 * SECOND);
	ks_stream_origins_claim(&origins, &claim, 159 * SECOND);
	ks_stream_origins_find(&origins, 2, 161 * SECOND);
	g_assert_nonnull(ks_stream_origins_find_claim(&origins, 1));
	ks_stream_origins_find(&origins, 2, 222 * SECOND);
	g_assert_null(ks_stream_origins_find_claim(&origins, 1));
	ks_stream_origins_deinit(&origins);
}

static void receive(ks_peers_t *peers, uint64_t receiver, uint64_t stream,
		    uint64_t origin, bool has_origin)
{
	Ks__PeerStreams message = KS__PEER_STREAMS__INIT;
	uint8_t buf[128];
	size_t len;

	message.receiver = receiver;
	message.sender = 1;
	message.stream = &stream;
	message.n_stream = 1;
	message.origin = &origin;
	message.n_origin = has_origin;
	len = ks__peer_streams__pack(&message, buf);
	ks_peers_receive(peers, (ks_str_t){ (const char *)buf, len });
}

/* Guards against messages for others, or malformed ones, that are heeded. */
static void test_messages(void)
{
	struct versions v;
	ks_peers_t *peers;
	ks_stream_origins_t *origins;
	int64_t now;

	versions_init(&v, 1);
	peers = ks_gateway_peers(v.entries[0]);
	origins = peers->origins;
	now = ks_loop_now(&v.f.loop);
	receive(peers, peers->rank, 7, 70, true);
	g_assert_cmpuint(ks_stream_origins_find(origins, 7, now), ==, 70);
	receive(peers, peers->rank + 1, 8, 80, true);
	g_assert_cmpuint(ks_stream_origins_find(origins, 8, now), ==, 0);
	receive(peers, peers->rank, 9, 90, false);
	g_assert_cmpuint(ks_stream_origins_find(origins, 9, now), ==, 0);
	ks_peers_receive(peers, KS_STR("\xa1\x06\xff\xff"));
	versions_deinit(&v);
}

/* Guards against a message that an entry of the version before would heed. */
static void test_ignored_by_earlier_versions(void)
{
	Ks__PeerStreams message = KS__PEER_STREAMS__INIT;
	Ks__PeerState *state;
	uint64_t stream = 1, origin = 2;
	uint8_t buf[128];
	size_t len;

	message.receiver = 3;
	message.sender = 4;
	message.stream = &stream;
	message.origin = &origin;
	message.n_stream = message.n_origin = 1;
	len = ks__peer_streams__pack(&message, buf);
	/* The figures of docs/platform-design.md. */
	g_assert_cmpuint(len, ==, 42);
	message.process = &origin;
	message.n_process = 1;
	g_assert_cmpuint(ks__peer_streams__get_packed_size(&message), ==, 53);
	g_assert_cmpint(buf[0], ==, 0xa1);
	g_assert_cmpint(buf[1], ==, 0x06);
	state = ks__peer_state__unpack(NULL, len, buf);
	g_assert_nonnull(state);
	g_assert_cmpstr(state->name, ==, "");
	g_assert_cmpuint(state->incarnation.len, ==, 0);
	ks__peer_state__free_unpacked(state, NULL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-origins/kept-for-a-minute",
			test_kept_for_a_minute);
	g_test_add_func("/stream-origins/forgotten", test_forgotten);
	g_test_add_func("/stream-origins/bounded", test_bounded);
	g_test_add_func("/stream-origins/claims", test_claims);
	g_test_add_func("/stream-origins/claims-forgotten",
			test_claims_forgotten);
	g_test_add_func("/stream-origins/claim-on-old-connection",
			test_claim_on_old_connection);
	g_test_add_func("/stream-origins/messages", test_messages);
	g_test_add_func("/stream-origins/ignored-by-earlier-versions",
			test_ignored_by_earlier_versions);
	return g_test_run();
}
