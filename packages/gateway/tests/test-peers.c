/* Tests of what entries tell each other, without a network between them. */
#include "ks/gateway.h"
#include "peer.pb-c.h"

#include <string.h>
#include <zmq.h>

struct world {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_fleet_t fleet;
	ks_peers_t peers;
	ks_member_t *member;
};

static ks_member_t *put(ks_fleet_t *fleet, int64_t process_start_ms)
{
	ks_member_spec_t spec = { .id = KS_STR("u1"),
				  .service = KS_STR("llm"),
				  .domain = KS_STR("d1"),
				  .address = { "10.0.0.1", 80 },
				  .process_start_ms = process_start_ms,
				  .accepting = true };

	return ks_fleet_put(fleet, &spec);
}

static void init_world(struct world *w)
{
	ks_address_t address = { "127.0.0.1", 0 };

	ks_test_clock_init(&w->clock, 100 * KS_USEC_PER_SEC);
	ks_loop_init(&w->loop, &w->clock.clock);
	ks_fleet_init(&w->fleet);
	w->member = put(&w->fleet, 1);
	g_assert_true(ks_peers_init(&w->peers, &w->loop, &w->fleet, "self",
				    &address, NULL));
}

static void deinit_world(struct world *w)
{
	ks_peers_deinit(&w->peers);
	ks_fleet_deinit(&w->fleet);
	ks_loop_deinit(&w->loop);
}

static void hear(struct world *w, const char *name, uint8_t incarnation,
		 uint64_t number, size_t n, uint32_t running, uint32_t reading)
{
	uint8_t id[KS_ID_SIZE], buf[512];
	uint32_t tag = w->member->tag;
	Ks__PeerState state = KS__PEER_STATE__INIT;
	size_t len;

	memset(id, incarnation, sizeof(id));
	state.name = (char *)name;
	state.incarnation.data = id;
	state.incarnation.len = sizeof(id);
	state.number = number;
	state.upstream = &tag;
	state.running = &running;
	state.reading_tokens = &reading;
	state.n_upstream = state.n_running = state.n_reading_tokens = n;
	len = ks__peer_state__pack(&state, buf);
	ks_peers_receive(&w->peers, (ks_str_t){ (const char *)buf, len });
}

/* Guards against load that is counted twice or kept after it has ended. */
static void test_state_replaces(void)
{
	struct world w;

	init_world(&w);
	hear(&w, "a", 1, 1, 1, 3, 500);
	hear(&w, "b", 1, 1, 1, 2, 100);
	g_assert_cmpuint(w.member->peer_running, ==, 5);
	g_assert_cmpint(w.member->peer_prefill_tokens, ==, 600);
	hear(&w, "a", 1, 2, 1, 1, 50);
	g_assert_cmpuint(w.member->peer_running, ==, 3);
	g_assert_cmpint(w.member->peer_prefill_tokens, ==, 150);
	hear(&w, "a", 1, 3, 0, 0, 0);
	hear(&w, "b", 1, 2, 0, 0, 0);
	g_assert_cmpuint(w.member->peer_running, ==, 0);
	g_assert_cmpint(w.member->peer_prefill_tokens, ==, 0);
	deinit_world(&w);
}

/* Guards against an old message that replaces a newer one. */
static void test_old_message(void)
{
	struct world w;

	init_world(&w);
	hear(&w, "a", 1, 5, 1, 1, 0);
	hear(&w, "a", 1, 4, 1, 9, 0);
	g_assert_cmpuint(w.member->peer_running, ==, 1);
	/* A restarted entry counts from 1 again. */
	hear(&w, "a", 2, 1, 1, 7, 0);
	g_assert_cmpuint(w.member->peer_running, ==, 7);
	deinit_world(&w);
}

/* Guards against the work of a dead entry that counts for ever. */
static void test_silent_entry(void)
{
	struct world w;

	init_world(&w);
	hear(&w, "a", 1, 1, 1, 3, 500);
	g_assert_cmpuint(ks_peers_n_active(&w.peers), ==, 1);
	ks_test_clock_advance(&w.clock, 3 * KS_USEC_PER_SEC);
	ks_loop_run_once(&w.loop, 0);
	g_assert_cmpuint(ks_peers_n_active(&w.peers), ==, 0);
	g_assert_cmpuint(w.member->peer_running, ==, 0);
	deinit_world(&w);
}

/* Guards against load of an upstream's earlier process that it is charged. */
static void test_reborn_upstream(void)
{
	struct world w;

	init_world(&w);
	hear(&w, "a", 1, 1, 1, 3, 500);
	w.member = put(&w.fleet, 2);
	g_assert_cmpuint(w.member->peer_running, ==, 0);
	hear(&w, "a", 1, 2, 1, 2, 10);
	g_assert_cmpuint(w.member->peer_running, ==, 2);
	hear(&w, "a", 1, 3, 0, 0, 0);
	g_assert_cmpuint(w.member->peer_running, ==, 0);
	deinit_world(&w);
}

/* Guards against a part that is read again because another entry sent it. */
static void test_parts_are_told(void)
{
	ks_address_t address = { "127.0.0.1", 0 };
	ks_prompt_t prompt, shared;
	ks_fleet_t other_fleet;
	ks_member_t *other;
	ks_peers_t peer;
	struct world w;

	init_world(&w);
	ks_fleet_init(&other_fleet);
	other = put(&other_fleet, 1);
	ks_prompt_parse(&prompt, KS_STR("aa:100,bb:50,cc:20"));
	ks_prompt_parse(&shared, KS_STR("aa:100,bb:50"));
	g_assert_true(ks_peers_init(&peer, &w.loop, &other_fleet, "other",
				    &address, NULL));
	address.port = peer.port;
	ks_peers_add(&w.peers, "other", &address);
	for (int i = 0;
	     i < 4000 && !ks_member_cached_tokens(w.member, &shared, 1000,
						  ks_loop_now(&w.loop));
	     i++) {
		ks_peers_queue_cached(&peer, other, &prompt);
		ks_test_clock_advance(&w.clock, 10 * KS_USEC_PER_MSEC);
		ks_loop_run_once(&w.loop, 2000);
	}
	/* The last part is the request's own and of no use to others. */
	g_assert_cmpint(ks_member_cached_tokens(w.member, &prompt, 1000,
						ks_loop_now(&w.loop)),
			==, 150);
	ks_peers_deinit(&peer);
	ks_fleet_deinit(&other_fleet);
	deinit_world(&w);
}

/* Guards against a message that names more parts than keepers. */
static void test_uneven_parts(void)
{
	uint8_t id[KS_ID_SIZE] = { 1 }, buf[512];
	Ks__PeerState state = KS__PEER_STATE__INIT;
	uint64_t parts[] = { 1, 2 };
	struct world w;
	uint32_t tag;
	size_t len;

	init_world(&w);
	tag = w.member->tag;
	state.name = (char *)"a";
	state.incarnation.data = id;
	state.incarnation.len = sizeof(id);
	state.number = 1;
	state.kept_part = parts;
	state.n_kept_part = 2;
	state.kept_by = &tag;
	state.n_kept_by = 1;
	len = ks__peer_state__pack(&state, buf);
	ks_peers_receive(&w.peers, (ks_str_t){ (const char *)buf, len });
	g_assert_cmpuint(ks_peers_n_active(&w.peers), ==, 0);
	deinit_world(&w);
}

/* Guards against messages that cannot be read, and against one's own. */
static void test_unreadable(void)
{
	struct world w;

	init_world(&w);
	ks_peers_receive(&w.peers, KS_STR("\xff\xff\xff"));
	ks_peers_receive(&w.peers, KS_STR(""));
	hear(&w, "self", 1, 1, 1, 3, 500);
	g_assert_cmpuint(w.member->peer_running, ==, 0);
	g_assert_cmpuint(ks_peers_n_active(&w.peers), ==, 0);
	deinit_world(&w);
}

/* Guards against two entries that never hear of each other. */
static void test_two_entries(void)
{
	ks_address_t address = { "127.0.0.1", 0 };
	ks_fleet_t other_fleet;
	ks_member_t *other;
	ks_peers_t peer;
	struct world w;

	init_world(&w);
	ks_fleet_init(&other_fleet);
	other = put(&other_fleet, 1);
	g_assert_true(ks_peers_init(&peer, &w.loop, &other_fleet, "other",
				    &address, NULL));
	address.port = peer.port;
	ks_peers_add(&w.peers, "other", &address);
	other->running = 4;
	other->prefill_tokens = 77;
	for (int i = 0; i < 4000 && !w.member->peer_running; i++) {
		ks_peers_schedule_update(&peer);
		ks_test_clock_advance(&w.clock, 10 * KS_USEC_PER_MSEC);
		ks_loop_run_once(&w.loop, 2000);
	}
	g_assert_cmpuint(w.member->peer_running, ==, 4);
	g_assert_cmpint(w.member->peer_prefill_tokens, ==, 77);
	ks_peers_remove(&w.peers, "other");
	g_assert_cmpuint(w.member->peer_running, ==, 0);
	ks_peers_deinit(&peer);
	ks_fleet_deinit(&other_fleet);
	deinit_world(&w);
}

#define FLOOD 20000

/* Long enough for a heartbeat of the subscriber to meet the closed connection.
 */
#define PAUSE_US (4500 * KS_USEC_PER_MSEC)

static void count_message(void *ctx, ks_str_t sender G_GNUC_UNUSED,
			  ks_str_t message G_GNUC_UNUSED)
{
	(*(unsigned *)ctx)++;
}

/*
 * Guards against a process that aborts inside ZeroMQ when it wakes from a
 * pause: its input had stopped at a limit when the other side closed the
 * connection.
 */
static void test_reset_while_paused(void)
{
	ks_address_t address = { "127.0.0.1", 0 };
	void *context = zmq_ctx_new();
	char bytes[200] = { 0 };
	ks_str_t payload = { bytes, sizeof(bytes) };
	ks_str_t nobody = { NULL, 0 };
	ks_socket_t pub, sub;
	unsigned received = 0;
	ks_loop_t loop;

	ks_loop_init(&loop, ks_clock_monotonic());
	g_assert_true(ks_socket_bind_pub(&pub, &loop, context, &address,
					 &address.port, NULL));
	g_assert_true(ks_socket_init_sub(&sub, &loop, context, count_message,
					 &received, NULL));
	g_assert_true(ks_socket_add_publisher(&sub, &address));
	while (!received) {
		ks_socket_send(&pub, nobody, payload);
		ks_loop_run_once(&loop, 1000);
	}
	/* The loop stands still, as in a pause; ZeroMQ's thread reads on. */
	for (int i = 0; i < FLOOD; i++)
		ks_socket_send(&pub, nobody, payload);
	ks_socket_deinit(&pub);
	g_usleep(PAUSE_US);
	for (int i = 0; i < 20; i++)
		ks_loop_run_once(&loop, 1000);
	g_assert_cmpuint(received, >, 1);
	ks_socket_deinit(&sub);
	zmq_ctx_term(context);
	ks_loop_deinit(&loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peers/state-replaces", test_state_replaces);
	g_test_add_func("/peers/old-message", test_old_message);
	g_test_add_func("/peers/silent-entry", test_silent_entry);
	g_test_add_func("/peers/reborn-upstream", test_reborn_upstream);
	g_test_add_func("/peers/unreadable", test_unreadable);
	g_test_add_func("/peers/two-entries", test_two_entries);
	g_test_add_func("/peers/parts-told", test_parts_are_told);
	g_test_add_func("/peers/uneven-parts", test_uneven_parts);
	g_test_add_func("/peers/reset-while-paused", test_reset_while_paused);
	return g_test_run();
}
