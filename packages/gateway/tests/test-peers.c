/*
 * Tests of the exchange of load and cache state between entries. Most tests
 * pass messages to the receiver directly.
 */
#include "ks/gateway.h"
#include "peer.pb-c.h"

#include <string.h>
#include <zmq.h>

struct peers_fixture {
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

static void init_fixture(struct peers_fixture *f)
{
	ks_address_t address = { "127.0.0.1", 0 };

	ks_test_clock_init(&f->clock, 100 * KS_USEC_PER_SEC);
	ks_loop_init(&f->loop, &f->clock.clock);
	ks_fleet_init(&f->fleet);
	f->member = put(&f->fleet, 1);
	g_assert_true(ks_peers_init(&f->peers, &f->loop, &f->fleet, "self",
				    &address, NULL));
}

static void deinit_fixture(struct peers_fixture *f)
{
	ks_peers_deinit(&f->peers);
	ks_fleet_deinit(&f->fleet);
	ks_loop_deinit(&f->loop);
}

static void receive_state(struct peers_fixture *f, const char *name,
			  uint8_t incarnation, uint64_t number, size_t n,
			  uint32_t running, uint32_t prefill_tokens)
{
	uint8_t id[KS_ID_SIZE], buf[512];
	uint32_t tag = f->member->tag;
	Ks__PeerState state = KS__PEER_STATE__INIT;
	size_t len;

	memset(id, incarnation, sizeof(id));
	state.name = (char *)name;
	state.incarnation.data = id;
	state.incarnation.len = sizeof(id);
	state.number = number;
	state.upstream = &tag;
	state.running = &running;
	state.reading_tokens = &prefill_tokens;
	state.n_upstream = state.n_running = state.n_reading_tokens = n;
	len = ks__peer_state__pack(&state, buf);
	ks_peers_receive(&f->peers, (ks_str_t){ (const char *)buf, len });
}

/*
 * Guards against load that is counted twice or that stays after it has ended.
 */
static void test_state_replaces(void)
{
	struct peers_fixture f;

	init_fixture(&f);
	receive_state(&f, "a", 1, 1, 1, 3, 500);
	receive_state(&f, "b", 1, 1, 1, 2, 100);
	g_assert_cmpuint(f.member->peer_running, ==, 5);
	g_assert_cmpint(f.member->peer_prefill_tokens, ==, 600);
	receive_state(&f, "a", 1, 2, 1, 1, 50);
	g_assert_cmpuint(f.member->peer_running, ==, 3);
	g_assert_cmpint(f.member->peer_prefill_tokens, ==, 150);
	receive_state(&f, "a", 1, 3, 0, 0, 0);
	receive_state(&f, "b", 1, 2, 0, 0, 0);
	g_assert_cmpuint(f.member->peer_running, ==, 0);
	g_assert_cmpint(f.member->peer_prefill_tokens, ==, 0);
	deinit_fixture(&f);
}

/* Guards against a delayed message that overwrites newer state. */
static void test_old_message(void)
{
	struct peers_fixture f;

	init_fixture(&f);
	receive_state(&f, "a", 1, 5, 1, 1, 0);
	receive_state(&f, "a", 1, 4, 1, 9, 0);
	g_assert_cmpuint(f.member->peer_running, ==, 1);
	/* A restarted entry numbers its messages from 1 again. */
	receive_state(&f, "a", 2, 1, 1, 7, 0);
	g_assert_cmpuint(f.member->peer_running, ==, 7);
	deinit_fixture(&f);
}

/* Guards against load of a stopped entry that is never removed. */
static void test_silent_entry(void)
{
	struct peers_fixture f;

	init_fixture(&f);
	receive_state(&f, "a", 1, 1, 1, 3, 500);
	g_assert_cmpuint(ks_peers_n_active(&f.peers), ==, 1);
	ks_test_clock_advance(&f.clock, 3 * KS_USEC_PER_SEC);
	ks_loop_run_once(&f.loop, 0);
	g_assert_cmpuint(ks_peers_n_active(&f.peers), ==, 0);
	g_assert_cmpuint(f.member->peer_running, ==, 0);
	deinit_fixture(&f);
}

/*
 * Guards against counting load that was placed on the previous process of a
 * restarted upstream.
 */
static void test_restarted_upstream(void)
{
	struct peers_fixture f;

	init_fixture(&f);
	receive_state(&f, "a", 1, 1, 1, 3, 500);
	f.member = put(&f.fleet, 2);
	g_assert_cmpuint(f.member->peer_running, ==, 0);
	receive_state(&f, "a", 1, 2, 1, 2, 10);
	g_assert_cmpuint(f.member->peer_running, ==, 2);
	receive_state(&f, "a", 1, 3, 0, 0, 0);
	g_assert_cmpuint(f.member->peer_running, ==, 0);
	deinit_fixture(&f);
}

/*
 * Guards against prefilling a part again because the request that cached it was
 * sent by another entry.
 */
static void test_cached_parts_are_announced(void)
{
	ks_address_t address = { "127.0.0.1", 0 };
	ks_prompt_t prompt, shared;
	ks_fleet_t other_fleet;
	ks_member_t *other;
	ks_peers_t peer;
	struct peers_fixture f;

	init_fixture(&f);
	ks_fleet_init(&other_fleet);
	other = put(&other_fleet, 1);
	ks_prompt_parse(&prompt, KS_STR("aa:100,bb:50,cc:20"));
	ks_prompt_parse(&shared, KS_STR("aa:100,bb:50"));
	g_assert_true(ks_peers_init(&peer, &f.loop, &other_fleet, "other",
				    &address, NULL));
	address.port = peer.port;
	ks_peers_add(&f.peers, "other", &address);
	for (int i = 0;
	     i < 4000 && !ks_member_cached_tokens(f.member, &shared, 1000,
						  ks_loop_now(&f.loop));
	     i++) {
		ks_peers_queue_cached(&peer, other, &prompt);
		ks_test_clock_advance(&f.clock, 10 * KS_USEC_PER_MSEC);
		ks_loop_run_once(&f.loop, 2000);
	}
	/* The last part is specific to the request and is not announced. */
	g_assert_cmpint(ks_member_cached_tokens(f.member, &prompt, 1000,
						ks_loop_now(&f.loop)),
			==, 150);
	ks_peers_deinit(&peer);
	ks_fleet_deinit(&other_fleet);
	deinit_fixture(&f);
}

/*
 * Guards against reading past the end of the upstream list of a message that
 * has more cached parts than upstreams.
 */
static void test_mismatched_parts(void)
{
	uint8_t id[KS_ID_SIZE] = { 1 }, buf[512];
	Ks__PeerState state = KS__PEER_STATE__INIT;
	uint64_t parts[] = { 1, 2 };
	struct peers_fixture f;
	uint32_t tag;
	size_t len;

	init_fixture(&f);
	tag = f.member->tag;
	state.name = (char *)"a";
	state.incarnation.data = id;
	state.incarnation.len = sizeof(id);
	state.number = 1;
	state.kept_part = parts;
	state.n_kept_part = 2;
	state.kept_by = &tag;
	state.n_kept_by = 1;
	len = ks__peer_state__pack(&state, buf);
	ks_peers_receive(&f.peers, (ks_str_t){ (const char *)buf, len });
	g_assert_cmpuint(ks_peers_n_active(&f.peers), ==, 0);
	deinit_fixture(&f);
}

/* Guards against accepting malformed messages and the entry's own messages. */
static void test_malformed(void)
{
	struct peers_fixture f;

	init_fixture(&f);
	ks_peers_receive(&f.peers, KS_STR("\xff\xff\xff"));
	ks_peers_receive(&f.peers, KS_STR(""));
	receive_state(&f, "self", 1, 1, 1, 3, 500);
	g_assert_cmpuint(f.member->peer_running, ==, 0);
	g_assert_cmpuint(ks_peers_n_active(&f.peers), ==, 0);
	deinit_fixture(&f);
}

/*
 * Guards against an entry that does not receive the messages of a subscribed
 * one.
 */
static void test_two_entries(void)
{
	ks_address_t address = { "127.0.0.1", 0 };
	ks_fleet_t other_fleet;
	ks_member_t *other;
	ks_peers_t peer;
	struct peers_fixture f;

	init_fixture(&f);
	ks_fleet_init(&other_fleet);
	other = put(&other_fleet, 1);
	g_assert_true(ks_peers_init(&peer, &f.loop, &other_fleet, "other",
				    &address, NULL));
	address.port = peer.port;
	ks_peers_add(&f.peers, "other", &address);
	other->running = 4;
	other->prefill_tokens = 77;
	for (int i = 0; i < 4000 && !f.member->peer_running; i++) {
		ks_peers_schedule_update(&peer);
		ks_test_clock_advance(&f.clock, 10 * KS_USEC_PER_MSEC);
		ks_loop_run_once(&f.loop, 2000);
	}
	g_assert_cmpuint(f.member->peer_running, ==, 4);
	g_assert_cmpint(f.member->peer_prefill_tokens, ==, 77);
	ks_peers_remove(&f.peers, "other");
	g_assert_cmpuint(f.member->peer_running, ==, 0);
	ks_peers_deinit(&peer);
	ks_fleet_deinit(&other_fleet);
	deinit_fixture(&f);
}

static void count_outdated(void *ctx, ks_table_t table)
{
	g_assert_cmpint(table, ==, KS_TABLE_MEMBERS);
	(*(unsigned *)ctx)++;
}

static void receive_views(struct peers_fixture *f, uint64_t number,
			  int64_t revision, uint64_t digest, size_t n)
{
	uint8_t id[KS_ID_SIZE] = { 1 }, buf[512];
	Ks__PeerState state = KS__PEER_STATE__INIT;
	int64_t revisions[] = { 5, revision, 0 };
	uint64_t digests[] = { 50, digest, 0 };
	uint32_t ages[] = { 10, 10, 10 };
	size_t len;

	state.name = (char *)"a";
	state.incarnation.data = id;
	state.incarnation.len = sizeof(id);
	state.number = number;
	state.table_revision = revisions;
	state.table_digest = digests;
	state.table_age_ms = ages;
	state.n_table_revision = n;
	state.n_table_digest = state.n_table_age_ms = KS_N_TABLES;
	len = ks__peer_state__pack(&state, buf);
	ks_peers_receive(&f->peers, (ks_str_t){ (const char *)buf, len });
}

/*
 * Guards against an entry that misses that another one has read something new,
 * and against one that reads for each message of an entry that never agrees.
 */
static void test_outdated_view(void)
{
	ks_view_t view = { 5, 50, 0 };
	struct peers_fixture f;
	unsigned outdated = 0;

	init_fixture(&f);
	view.read_us = ks_loop_now(&f.loop);
	f.peers.outdated = count_outdated;
	f.peers.ctx = &outdated;
	for (int i = 0; i < KS_N_TABLES; i++)
		ks_peers_set_view(&f.peers, (ks_table_t)i, &view);
	receive_views(&f, 1, 7, 50, KS_N_TABLES);
	g_assert_cmpuint(outdated, ==, 0);
	receive_views(&f, 2, 4, 60, KS_N_TABLES);
	g_assert_cmpuint(outdated, ==, 0);
	receive_views(&f, 3, 8, 60, KS_N_TABLES);
	g_assert_cmpuint(outdated, ==, 1);
	receive_views(&f, 4, 9, 60, KS_N_TABLES);
	g_assert_cmpuint(outdated, ==, 1);
	receive_views(&f, 5, 10, 70, KS_N_TABLES);
	g_assert_cmpuint(outdated, ==, 2);
	deinit_fixture(&f);
}

/*
 * Guards against a view that counts as current because another entry has read
 * the table later, although it found something else there.
 */
static void test_fresh_view(void)
{
	ks_view_t own = { 5, 50, 100 };
	ks_peer_view_t others[] = { { 1, { 6, 60, 300 } },
				    { 2, { 6, 50, 200 } },
				    { 3, { 0, 50, 0 } } };

	g_assert_cmpint(ks_view_fresh_us(&own, others, 1), ==, 100);
	g_assert_cmpint(ks_view_fresh_us(&own, others, 3), ==, 200);
}

/*
 * Guards against reading past the end of the list of a message that has fewer
 * revisions than digests.
 */
static void test_mismatched_views(void)
{
	ks_view_t view = { 5, 50, 0 };
	struct peers_fixture f;
	unsigned outdated = 0;

	init_fixture(&f);
	view.read_us = ks_loop_now(&f.loop);
	f.peers.outdated = count_outdated;
	f.peers.ctx = &outdated;
	ks_peers_set_view(&f.peers, KS_TABLE_MEMBERS, &view);
	for (size_t n = 0; n <= 3; n++)
		if (n != KS_N_TABLES)
			receive_views(&f, n + 1, 8, 60, n);
	g_assert_cmpuint(outdated, ==, 0);
	deinit_fixture(&f);
}

#define N_MESSAGES 20000

/*
 * Long enough for a ZeroMQ heartbeat of the subscriber on the closed
 * connection.
 */
#define PAUSE_US (4500 * KS_USEC_PER_MSEC)

static void count_message(void *ctx, ks_str_t sender G_GNUC_UNUSED,
			  ks_str_t message G_GNUC_UNUSED)
{
	(*(unsigned *)ctx)++;
}

/*
 * Guards against an abort inside ZeroMQ when a process resumes after a pause:
 * its input had stopped at the high-water mark when the publisher closed the
 * connection, and a heartbeat was then sent on it.
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
	g_assert_true(ks_socket_subscribe(&sub, KS_STR("")));
	g_assert_true(ks_socket_add_publisher(&sub, &address));
	while (!received) {
		ks_socket_send(&pub, nobody, payload);
		ks_loop_run_once(&loop, 1000);
	}
	/*
	 * The loop does not run, as in a paused process, but ZeroMQ's thread
	 * reads.
	 */
	for (int i = 0; i < N_MESSAGES; i++)
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

/*
 * Guards against a view of an earlier era of the store that confirms what this
 * entry has read, or makes it read again.
 */
static void test_views_of_eras(void)
{
	ks_peer_view_t other = { .rank = 1 };
	ks_view_t own = { ks_view_order(2, 3), 5, 10 };

	other.view = (ks_view_t){ ks_view_order(1, 900), 5, 50 };
	g_assert_cmpint(ks_view_fresh_us(&own, &other, 1), ==, 10);
	other.view.digest = 6;
	g_assert_false(ks_view_is_outdated(&own, &other.view));
	g_assert_true(ks_view_is_outdated(&other.view, &own));
	other.view = (ks_view_t){ ks_view_order(2, 1), 5, 60 };
	g_assert_cmpint(ks_view_fresh_us(&own, &other, 1), ==, 60);
	other.view = (ks_view_t){ ks_view_order(3, 1), 5, 70 };
	g_assert_cmpint(ks_view_fresh_us(&own, &other, 1), ==, 70);
	other.view.digest = 6;
	g_assert_true(ks_view_is_outdated(&own, &other.view));
}

#define CALLER 0xca11e4
#define CRASHING 0xc4a5
#define N_ANSWERS 50

/* Two entries that hear each other, each with a quarantine. */
struct pair_fixture {
	struct peers_fixture f;
	ks_fleet_t other_fleet;
	ks_peers_t other;
	ks_quarantine_t quarantines[2];
};

static void init_pair(struct pair_fixture *p)
{
	ks_address_t address = { "127.0.0.1", 0 };

	init_fixture(&p->f);
	ks_fleet_init(&p->other_fleet);
	g_assert_true(ks_peers_init(&p->other, &p->f.loop, &p->other_fleet,
				    "other", &address, NULL));
	for (int i = 0; i < 2; i++)
		ks_quarantine_init(&p->quarantines[i], NULL, NULL);
	p->f.peers.quarantine = &p->quarantines[0];
	p->other.quarantine = &p->quarantines[1];
	address.port = p->other.port;
	ks_peers_add(&p->f.peers, "other", &address);
	address.port = p->f.peers.port;
	ks_peers_add(&p->other, "self", &address);
}

static void deinit_pair(struct pair_fixture *p)
{
	ks_peers_deinit(&p->other);
	ks_fleet_deinit(&p->other_fleet);
	for (int i = 0; i < 2; i++)
		ks_quarantine_deinit(&p->quarantines[i]);
	deinit_fixture(&p->f);
}

static void lose(struct pair_fixture *p, int entry, uint32_t upstream)
{
	int64_t now = ks_loop_now(&p->f.loop);
	ks_loss_t loss = { .number = upstream,
			   .upstream = upstream,
			   .at_us = now,
			   .n_parts = 2,
			   .parts = { CALLER, CRASHING } };

	g_assert_true(
		ks_quarantine_record_loss(&p->quarantines[entry], &loss, now));
	ks_peers_queue_loss(entry ? &p->other : &p->f.peers, &loss);
}

static bool holds(struct pair_fixture *p, int entry, uint64_t part)
{
	ks_quarantine_evaluate(&p->quarantines[entry], ks_loop_now(&p->f.loop));
	return ks_quarantine_find_held(&p->quarantines[entry], &part, 1) == 0;
}

#define PAIR_WAIT(p, condition)                                       \
	do {                                                          \
		for (int i_ = 0; i_ < 4000 && !(condition); i_++) {   \
			ks_test_clock_advance(&(p)->f.clock,          \
					      10 * KS_USEC_PER_MSEC); \
			ks_loop_run_once(&(p)->f.loop, 2000);         \
		}                                                     \
		g_assert_true(condition);                             \
	} while (0)

/*
 * Guards against each entry sending requests with a part until it has seen
 * enough crashes by itself, against holding a part that another entry knows
 * from answers, and against a hold that one entry alone lifts.
 */
static void test_losses_are_shared(void)
{
	uint64_t caller = CALLER, crashing = CRASHING;
	struct pair_fixture p;

	init_pair(&p);
	PAIR_WAIT(&p, ks_peers_n_active(&p.f.peers) == 1 &&
			      ks_peers_n_active(&p.other) == 1);
	ks_quarantine_record_answer(&p.quarantines[0], &caller, 1,
				    ks_loop_now(&p.f.loop),
				    ks_loop_now(&p.f.loop));
	ks_test_clock_advance(&p.f.clock, 10 * KS_USEC_PER_MSEC);
	lose(&p, 0, 1);
	lose(&p, 1, 2);
	lose(&p, 1, 3);
	/* Of many requests, the part is in each that is lost. */
	p.quarantines[0].n_answers += N_ANSWERS;
	ks_quarantine_add_answers(&p.quarantines[0], N_ANSWERS,
				  ks_loop_now(&p.f.loop));
	PAIR_WAIT(&p, holds(&p, 0, CRASHING) && holds(&p, 1, CRASHING));
	g_assert_false(holds(&p, 0, CALLER));
	g_assert_false(holds(&p, 1, CALLER));
	ks_test_clock_advance(&p.f.clock, 10 * KS_USEC_PER_MSEC);
	ks_quarantine_record_answer(&p.quarantines[1], &crashing, 1,
				    ks_loop_now(&p.f.loop),
				    ks_loop_now(&p.f.loop));
	g_assert_false(holds(&p, 1, CRASHING));
	PAIR_WAIT(&p, !holds(&p, 0, CRASHING));
	g_assert_false(holds(&p, 1, CRASHING));
	deinit_pair(&p);
}

#define CONTENT 0xc0de

/* Records that a request with CONTENT was lost with an upstream. */
static void lose_content(struct pair_fixture *p, int entry, uint32_t upstream)
{
	int64_t now = ks_loop_now(&p->f.loop);
	ks_loss_t loss = { .number = upstream,
			   .upstream = upstream,
			   .at_us = now,
			   .content = CONTENT,
			   .request = upstream,
			   .service = 1 };

	g_assert_true(
		ks_quarantine_record_loss(&p->quarantines[entry], &loss, now));
	ks_peers_queue_loss(entry ? &p->other : &p->f.peers, &loss);
}

/*
 * Guards against each entry sending a request that crashes upstreams until it
 * has seen enough crashes by itself.
 */
static void test_lost_contents_are_shared(void)
{
	struct pair_fixture p;

	init_pair(&p);
	PAIR_WAIT(&p, ks_peers_n_active(&p.f.peers) == 1 &&
			      ks_peers_n_active(&p.other) == 1);
	lose_content(&p, 0, 1);
	lose_content(&p, 1, 2);
	lose_content(&p, 1, 3);
	PAIR_WAIT(&p, holds(&p, 0, CONTENT) && holds(&p, 1, CONTENT));
	ks_test_clock_advance(&p.f.clock, 10 * KS_USEC_PER_MSEC);
	ks_quarantine_record_content(&p.quarantines[1], CONTENT,
				     ks_loop_now(&p.f.loop),
				     ks_loop_now(&p.f.loop));
	g_assert_false(holds(&p, 1, CONTENT));
	PAIR_WAIT(&p, !holds(&p, 0, CONTENT));
	g_assert_false(holds(&p, 1, CONTENT));
	deinit_pair(&p);
}

/*
 * Guards against answers to requests that were lost before, which leave no room
 * in a message for an answered part: sound parts are then held.
 */
static void test_parts_are_told_first(void)
{
	uint64_t part = CALLER;
	GByteArray *message = g_byte_array_new();
	struct pair_fixture p;
	Ks__PeerState *state;
	bool told = false;
	int64_t now;

	init_pair(&p);
	for (uint32_t i = 1; i <= 40; i++) {
		ks_loss_t loss = { .number = i,
				   .upstream = i,
				   .at_us = ks_loop_now(&p.f.loop),
				   .content = i,
				   .request = i,
				   .n_parts = i == 40,
				   .parts = { part } };

		ks_quarantine_record_loss(&p.quarantines[0], &loss, loss.at_us);
	}
	ks_test_clock_advance(&p.f.clock, 10 * KS_USEC_PER_MSEC);
	now = ks_loop_now(&p.f.loop);
	for (uint32_t i = 1; i <= 40; i++)
		ks_quarantine_record_content(&p.quarantines[0], i, now, now);
	ks_quarantine_record_answer(&p.quarantines[0], &part, 1, now, now);
	ks_peers_pack(&p.f.peers, message);
	state = ks__peer_state__unpack(NULL, message->len, message->data);
	for (size_t i = 0; i < state->n_answered_part; i++)
		told |= state->answered_part[i] == part;
	g_assert_true(told);
	ks__peer_state__free_unpacked(state, NULL);
	g_byte_array_free(message, TRUE);
	deinit_pair(&p);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peers/state-replaces", test_state_replaces);
	g_test_add_func("/peers/old-message", test_old_message);
	g_test_add_func("/peers/silent-entry", test_silent_entry);
	g_test_add_func("/peers/restarted-upstream", test_restarted_upstream);
	g_test_add_func("/peers/malformed", test_malformed);
	g_test_add_func("/peers/two-entries", test_two_entries);
	g_test_add_func("/peers/cached-parts", test_cached_parts_are_announced);
	g_test_add_func("/peers/mismatched-parts", test_mismatched_parts);
	g_test_add_func("/peers/outdated-view", test_outdated_view);
	g_test_add_func("/peers/fresh-view", test_fresh_view);
	g_test_add_func("/peers/mismatched-views", test_mismatched_views);
	g_test_add_func("/peers/reset-while-paused", test_reset_while_paused);
	g_test_add_func("/peers/views-of-eras", test_views_of_eras);
	g_test_add_func("/peers/losses-are-shared", test_losses_are_shared);
	g_test_add_func("/peers/lost-contents-are-shared",
			test_lost_contents_are_shared);
	g_test_add_func("/peers/parts-are-told-first",
			test_parts_are_told_first);
	return g_test_run();
}
