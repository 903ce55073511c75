/*
 * Guards against streams that can't be resumed while a version of the engines'
 * software has engines left, and against prompts that are prefilled for them
 * although no engine of the version decodes.
 */
#define FIXTURE_UPSTREAMS 6

#include "gateway_internal.h"
#include "ks/settings.h"
#include "memory_store.h"
#include "versions_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define MAX_OLD 4
#define STEP_US (100 * KS_USEC_PER_MSEC)
#define PLAYS 60
#define SEED 1
#define SWITCH_US (3 * KS_USEC_PER_SEC)
#define INTERLEAVE_US (3 * KS_USEC_PER_SEC)

/* How long the row of an engine is listed after its end. */
#define ROW_US (20 * KS_USEC_PER_SEC)

/*
 * Time for an order and the change: the lease is acquired and settles, the
 * order is sent, the engine is back.
 */
#define SETTLE_US (10 * KS_USEC_PER_SEC)

/**
 * enum change - what happens to an engine
 * @CHANGE_CRASH: connections are refused, the row stays for ROW_US
 * @CHANGE_DRAIN: the row says so; the engine ends later
 * @CHANGE_LEAVE: the engine says so, and refuses requests after the notice;
 *	the row stays
 * @CHANGE_STAGE: the engine changes its stage
 */
enum change {
	CHANGE_CRASH,
	CHANGE_DRAIN,
	CHANGE_LEAVE,
	CHANGE_STAGE,
	N_CHANGES,
};

static const char change_letters[] = "cdls";

struct engine {
	ks_stage_t stage;
	ks_stage_t next;
	int64_t switched_us;
	int64_t leaving_us;
	int64_t unlisted_us;
	bool is_down;
	bool is_draining;
	int reserved;
};

/**
 * struct cluster - an entry, its stage controller and the engines
 * @prefills: prompts prefilled for the current call
 * @releases: prefilled prompts that no engine was to take
 * @calls: number of calls so far
 * @name: of the current play, for messages
 */
struct cluster {
	struct versions v;
	memory_store_t store;
	ks_rng_t rng;
	ks_duty_lease_t lease;
	ks_stage_driver_t driver;
	ks_stage_controller_t controller;
	struct engine engines[FIXTURE_UPSTREAMS];
	unsigned n_old;
	unsigned prefills;
	unsigned releases;
	unsigned calls;
	char id[16];
	char name[32];
};

/* Results of all plays. */
struct results {
	unsigned resumed;
	unsigned went_on;
	unsigned refused_while_served;
	unsigned prefilled_in_vain;
	unsigned discarded;
	unsigned stuck;
};

static int64_t now_of(const struct cluster *c)
{
	return c->v.f.clock.time_us;
}

static bool is_old(const struct cluster *c, int i)
{
	return (unsigned)i < c->n_old;
}

static bool is_used(const struct cluster *c, int i)
{
	return is_old(c, i) || i >= MAX_OLD;
}

static ks_member_t *find_member(const struct cluster *c, int i)
{
	char id[8];

	g_snprintf(id, sizeof(id), "u%d", i);
	return ks_fleet_find(ks_gateway_fleet(c->v.entries[0]),
			     ks_str_from(id));
}

static void put_row(struct cluster *c, int i)
{
	const struct engine *engine = &c->engines[i];
	char id[8];

	g_snprintf(id, sizeof(id), "u%d", i);
	if (engine->unlisted_us && engine->unlisted_us <= now_of(c))
		ks_fleet_remove(ks_gateway_fleet(c->v.entries[0]),
				ks_str_from(id));
	else
		versions_put(&c->v, i, "llm", is_old(c, i) ? "v1" : "v2",
			     engine->stage, !engine->is_draining);
}

static void order(void *impl, ks_member_t *member, ks_stage_t stage,
		  ks_stage_permit_func_t permit, ks_stage_func_t func,
		  void *ctx)
{
	struct cluster *c = impl;
	struct engine *engine = &c->engines[member->id[1] - '0'];
	uint64_t fence;

	if (engine->is_down || !permit(ctx, &fence)) {
		func(ctx, member, KS_STAGE_NOT_ORDERED);
		return;
	}
	engine->next = stage;
	engine->switched_us = now_of(c) + SWITCH_US;
	func(ctx, member, KS_STAGE_ORDERED);
}

/* Closes the port, and keeps others from getting it. */
static void end_process(struct cluster *c, int i)
{
	ks_http1_server_t *server = &c->v.f.upstreams[i].server;
	struct engine *engine = &c->engines[i];
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(server->port) };
	int on = 1;

	if (engine->is_down)
		return;
	engine->is_down = true;
	ks_http1_server_deinit(server);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	engine->reserved = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(engine->reserved, >=, 0);
	setsockopt(engine->reserved, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	g_assert_cmpint(bind(engine->reserved,
			     (const struct sockaddr *)(void *)&address,
			     sizeof(address)),
			==, 0);
}

static void start_change(struct cluster *c, int i, enum change change)
{
	struct engine *engine = &c->engines[i];

	switch (change) {
	case CHANGE_CRASH:
		end_process(c, i);
		engine->unlisted_us = now_of(c) + ROW_US;
		break;
	case CHANGE_DRAIN:
		engine->is_draining = true;
		engine->unlisted_us = now_of(c) + ROW_US;
		break;
	case CHANGE_LEAVE:
		engine->leaving_us = now_of(c);
		engine->unlisted_us = now_of(c) + ROW_US;
		ks_withdrawal_leave(&find_member(c, i)->withdrawal, now_of(c));
		break;
	default:
		engine->next = engine->stage == KS_STAGE_PREFILL
				       ? KS_STAGE_DECODE
				       : KS_STAGE_PREFILL;
		engine->switched_us = now_of(c) + SWITCH_US;
		break;
	}
	put_row(c, i);
}

static void step(struct cluster *c)
{
	ks_test_clock_advance(&c->v.f.clock, STEP_US);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		struct engine *engine = &c->engines[i];

		if (!is_used(c, i))
			continue;
		if (engine->next && engine->switched_us <= now_of(c)) {
			engine->stage = engine->next;
			engine->next = KS_STAGE_ANY;
		}
		put_row(c, i);
	}
	memory_store_run(&c->store);
	ks_loop_run_once(&c->v.f.loop, 0);
}

static void advance(struct cluster *c, int64_t us)
{
	for (int64_t end = now_of(c) + us; now_of(c) < end;)
		step(c);
}

static bool is_in_notice(const struct cluster *c, const struct engine *engine)
{
	return !engine->leaving_us ||
	       now_of(c) < engine->leaving_us + 2 * KS_USEC_PER_SEC;
}

static void respond(const struct cluster *c, struct fixture_upstream *upstream,
		    int status, const char *body)
{
	ks_header_t headers[] = { { KS_STR("x-id"), ks_str_from(c->v.id) },
				  { KS_STR("x-not-run"), KS_STR("1") } };

	ks_http1_start(upstream->request, status, headers,
		       status == 200 ? 1 : 2, (int64_t)strlen(body));
	fixture_send(upstream, body);
	fixture_end_response(upstream);
}

static void serve(struct cluster *c, struct fixture_upstream *upstream)
{
	const ks_http1_request_t *request = upstream->request;
	int i = versions_index(&c->v, upstream);
	const struct engine *engine = &c->engines[i];
	bool prefill =
		ks_header_find(request->headers, request->n_headers, "x-stage");

	if (ks_str_equal(request->method, KS_STR("DELETE"))) {
		c->releases++;
		respond(c, upstream, 200, "");
	} else if (engine->next || !is_in_notice(c, engine)) {
		respond(c, upstream, 503, "");
	} else if (prefill != (engine->stage == KS_STAGE_PREFILL)) {
		respond(c, upstream, 421, "");
	} else if (prefill) {
		c->prefills++;
		respond(c, upstream, 200, "{\"handle\":\"h1\"}");
	} else {
		g_assert_true(is_old(c, i));
		respond(c, upstream, 200, "id: 2\ndata: b\n\n");
	}
}

static bool accepts(const struct cluster *c, const struct engine *engine)
{
	return !engine->is_down && !engine->is_draining && !engine->next &&
	       is_in_notice(c, engine);
}

/* Whether an engine of the old version runs requests. */
static bool can_run(const struct cluster *c)
{
	for (unsigned i = 0; i < c->n_old; i++)
		if (accepts(c, &c->engines[i]) &&
		    c->engines[i].stage == KS_STAGE_DECODE)
			return true;
	return false;
}

/* Whether an engine of the old version is left that may change its stage. */
static bool has_left(const struct cluster *c)
{
	for (unsigned i = 0; i < c->n_old; i++)
		if (accepts(c, &c->engines[i]) && !c->engines[i].leaving_us)
			return true;
	return false;
}

/* Whether an engine of the old version has crashed and no request has met it.
 */
static bool has_unmet_crash(const struct cluster *c)
{
	for (unsigned i = 0; i < c->n_old; i++) {
		const ks_member_t *member = find_member(c, (int)i);

		if (c->engines[i].is_down && member && !member->unanswered_us)
			return true;
	}
	return false;
}

/* Whether an engine of the old version changes its stage without an order. */
static bool has_unordered_change(const struct cluster *c)
{
	for (unsigned i = 0; i < c->n_old; i++) {
		const ks_member_t *member = find_member(c, (int)i);

		if (c->engines[i].next && member && !member->pending_stage)
			return true;
	}
	return false;
}

/* Resumes the stream, which the old version has begun. */
static bool resume(struct cluster *c, struct results *results)
{
	char *parts = g_strdup_printf("aa:9000,%x:700", ++c->calls);
	ks_header_t extra[] = { { KS_STR("last-event-id"), KS_STR("1") },
				{ KS_STR("x-resumes"), KS_STR("r0") },
				{ KS_STR("x-parts"), ks_str_from(parts) } };
	struct fixture_upstream *upstream;
	struct fixture_caller caller;
	bool went_on;

	c->prefills = 0;
	c->releases = 0;
	g_snprintf(c->id, sizeof(c->id), "r%u", c->calls);
	c->v.id = c->id;
	fixture_call_as(&c->v.f, &caller, c->id, "POST", "/continue/", "prompt",
			extra, G_N_ELEMENTS(extra));
	while (!caller.done) {
		FIXTURE_WAIT(&c->v.f,
			     caller.done || fixture_pending_upstream(&c->v.f));
		upstream = fixture_pending_upstream(&c->v.f);
		if (upstream)
			serve(c, upstream);
	}
	/* Handles are released without waiting for it. */
	while ((upstream = fixture_pending_upstream(&c->v.f)))
		serve(c, upstream);
	went_on = caller.status == 200 && caller.result == KS_HTTP_COMPLETE;
	if (!went_on)
		g_assert_cmpint(caller.status, ==, 503);
	results->resumed++;
	results->went_on += went_on;
	fixture_end_call(&caller);
	g_free(parts);
	return went_on;
}

/* What nothing has told the entry excuses a prompt that was prefilled. */
static void judge(struct cluster *c, struct results *results, const char *when)
{
	bool is_excused = has_unmet_crash(c) || has_unordered_change(c);
	bool served = can_run(c);

	if (resume(c, results)) {
		results->discarded += c->releases;
		if (c->releases)
			g_test_message("%s %s: a prefilled prompt discarded",
				       c->name, when);
		return;
	}
	if (served) {
		results->refused_while_served++;
		g_test_message("%s %s: refused while an engine decodes",
			       c->name, when);
	}
	if (c->prefills && !is_excused) {
		results->prefilled_in_vain++;
		g_test_message("%s %s: %u prompts prefilled in vain", c->name,
			       when, c->prefills);
	}
}

static void init_cluster(struct cluster *c, unsigned n_old, unsigned prefill)
{
	memset(c, 0, sizeof(*c));
	versions_init(&c->v, 1);
	c->n_old = n_old;
	ks_rng_deinit(&c->v.entries[0]->rng);
	ks_rng_init(&c->v.entries[0]->rng, SEED);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		c->engines[i].reserved = -1;
		c->engines[i].stage =
			prefill >> i & 1 ? KS_STAGE_PREFILL : KS_STAGE_DECODE;
		if (i >= MAX_OLD)
			c->engines[i].stage =
				i % 2 ? KS_STAGE_PREFILL : KS_STAGE_DECODE;
		if (is_used(c, i))
			put_row(c, i);
	}
	ks_rng_init(&c->rng, SEED);
	memory_store_init(&c->store, &c->v.f.clock.clock);
	c->driver = (ks_stage_driver_t){ .order = order, .impl = c };
	ks_duty_lease_init(&c->lease, &c->v.f.loop, &c->store.store,
			   &c->v.f.clock.clock, &c->rng, INTERLEAVE_US);
	ks_stage_controller_init(&c->controller, &c->v.f.loop,
				 ks_gateway_fleet(c->v.entries[0]), &c->lease,
				 &c->driver, KS_PREFILL_SHARE_AUTO);
	ks_stage_controller_set_services(&c->controller,
					 c->v.entries[0]->traffic);
	ks_stream_origins_record(&c->v.entries[0]->origins, XXH64("r0", 2, 0),
				 find_member(c, 0)->origin, now_of(c));
}

static void deinit_cluster(struct cluster *c)
{
	ks_stage_controller_deinit(&c->controller);
	ks_duty_lease_deinit(&c->lease);
	ks_test_clock_advance(&c->v.f.clock, 60 * KS_USEC_PER_SEC);
	memory_store_run(&c->store);
	memory_store_deinit(&c->store);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		if (c->engines[i].reserved >= 0)
			close(c->engines[i].reserved);
	versions_deinit(&c->v);
	ks_rng_deinit(&c->rng);
}

/*
 * The engines change one after the other, in the order of their numbers.
 * @prefill: bit set of the engines that prefill at first
 */
static void play(unsigned n_old, unsigned prefill, const enum change *changes,
		 struct results *results)
{
	struct cluster c;
	char *name = c.name;

	init_cluster(&c, n_old, prefill);
	for (unsigned i = 0; i < n_old; i++)
		*name++ = prefill >> i & 1 ? 'P' : 'D';
	*name++ = '-';
	for (unsigned i = 0; i < n_old; i++)
		*name++ = change_letters[changes[i]];
	*name = '\0';
	judge(&c, results, "at first");
	for (unsigned i = 0; i < n_old; i++) {
		char when[32];
		bool is_told;

		start_change(&c, (int)i, changes[i]);
		g_snprintf(when, sizeof(when), "at change %u", i);
		judge(&c, results, when);
		advance(&c, KS_USEC_PER_SEC);
		g_snprintf(when, sizeof(when), "after change %u", i);
		judge(&c, results, when);
		is_told = !has_unmet_crash(&c);
		advance(&c, SETTLE_US);
		g_snprintf(when, sizeof(when), "long after change %u", i);
		if (is_told && has_left(&c) && !can_run(&c)) {
			results->stuck++;
			g_test_message("%s %s: no engine decodes", c.name,
				       when);
		}
		judge(&c, results, when);
	}
	deinit_cluster(&c);
}

static void check(const struct results *results)
{
	g_test_message("resumed=%u went_on=%u refused_while_served=%u "
		       "prefilled_in_vain=%u discarded=%u stuck=%u",
		       results->resumed, results->went_on,
		       results->refused_while_served,
		       results->prefilled_in_vain, results->discarded,
		       results->stuck);
	g_assert_cmpuint(results->went_on, >, 0);
	g_assert_cmpuint(results->refused_while_served, ==, 0);
	g_assert_cmpuint(results->prefilled_in_vain, ==, 0);
	g_assert_cmpuint(results->discarded, ==, 0);
	g_assert_cmpuint(results->stuck, ==, 0);
}

static void play_all(unsigned n_old)
{
	struct results results = { 0 };
	unsigned n = 1;

	for (unsigned i = 0; i < n_old; i++)
		n *= N_CHANGES;
	for (unsigned prefill = 0; prefill < 1u << n_old; prefill++)
		for (unsigned number = 0; number < n; number++) {
			enum change changes[MAX_OLD] = { 0 };
			unsigned rest = number;

			for (unsigned i = 0; i < n_old; i++) {
				changes[i] = rest % N_CHANGES;
				rest /= N_CHANGES;
			}
			play(n_old, prefill, changes, &results);
		}
	check(&results);
}

static void test_all_orders_of_one(void)
{
	play_all(1);
}

static void test_all_orders_of_two(void)
{
	play_all(2);
}

/* Stages and orders of three or four engines are drawn. */
static void test_drawn_orders(void)
{
	struct results results = { 0 };
	ks_rng_t rng;

	ks_rng_init(&rng, SEED);
	for (int i = 0; i < PLAYS; i++) {
		unsigned n_old = 3 + ks_rng_below(&rng, MAX_OLD - 2);
		unsigned prefill = ks_rng_below(&rng, 1u << n_old);
		enum change changes[MAX_OLD];

		for (int j = 0; j < MAX_OLD; j++)
			changes[j] = ks_rng_below(&rng, N_CHANGES);
		play(n_old, prefill, changes, &results);
	}
	ks_rng_deinit(&rng);
	check(&results);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/dwindling-version/one", test_all_orders_of_one);
	g_test_add_func("/dwindling-version/two", test_all_orders_of_two);
	g_test_add_func("/dwindling-version/drawn", test_drawn_orders);
	return g_test_run();
}
