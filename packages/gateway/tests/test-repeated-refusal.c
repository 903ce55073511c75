/*
 * Guards against an earlier refusal of an upstream, written once more on a kept
 * connection, that decides about the request which follows there.
 */
#include "gateway_fixture.h"
#include "http1_conn.h"

#include <netinet/in.h>

#define DRAWS 600

/* All requests have ended by then. */
#define DEADLINE_MS 12000

#define EARLIER_ID "r-earlier"
#define LATER_ID "r-later"

/* Longer than what a socket takes at once. */
#define LARGE_BODY_BYTES ((size_t)900 * 1024)

/**
 * enum moment - when the refusal is repeated
 * @IDLE: while the connection is idle
 * @TAKEN: after the last poll before the connection is used again
 * @IN_REQUEST: when a part of the next request has arrived
 * @AT_REQUEST: when the next request has arrived
 * @AFTER_INTERIM: after an interim response to the next request
 * @IN_RESPONSE: between two parts of the response to the next request
 * @AFTER_RESPONSE: after the response to the next request
 */
enum moment {
	IDLE,
	TAKEN,
	IN_REQUEST,
	AT_REQUEST,
	AFTER_INTERIM,
	IN_RESPONSE,
	AFTER_RESPONSE,
	N_MOMENTS,
};

static const char *const moment_names[] = {
	"idle",		 "taken",	"in-request",	  "at-request",
	"after-interim", "in-response", "after-response",
};

/* Fields of the repeated refusal that name a request, or none. */
static const char *const names[] = {
	"x-id: " EARLIER_ID "\r\n",
	"",
	"x-id: R-LATER\r\n",
	"x-id:  \t" EARLIER_ID " \r\n",
	"x-id: \r\n",
	"x-id: " LATER_ID ", " EARLIER_ID "\r\n",
	"x-id: " EARLIER_ID "\r\nx-id: " LATER_ID "\r\n",
	"x-id: " LATER_ID "\r\nX-Id: " EARLIER_ID "\r\n",
};

static const int statuses[] = { 503, 429, 408, 421, 400 };

static const char *const targets[] = { "/book/", "/read/", "/tell/" };

/**
 * struct draw - one case
 * @split: the repeated refusal arrives in two reads
 * @copies: how often it is repeated
 */
struct draw {
	enum moment moment;
	const char *name;
	const char *target;
	int status;
	bool has_length;
	bool split;
	unsigned copies;
	ks_rng_t rng;
};

/**
 * struct scene - a case with its gateway and upstreams
 * @conn: connection that the earlier request was refused on
 * @port: port of its peer, which tells @conn from a later one in its memory
 * @refusal: what is written once more
 * @written: it was written
 */
struct scene {
	struct fixture f;
	struct draw draw;
	const struct http1_conn *conn;
	uint16_t port;
	GString *refusal;
	ks_timer_t timer;
	bool written;
};

/* As fixture_run_pending(), without real time. */
static void settle(struct fixture *f)
{
	for (int i = 0; i < 40; i++)
		ks_loop_run_once(&f->loop, 0);
}

static void draw_case(struct draw *draw, unsigned seed)
{
	ks_rng_t *rng = &draw->rng;

	ks_rng_init(rng, seed);
	draw->moment = ks_rng_below(rng, N_MOMENTS);
	draw->name = names[ks_rng_below(rng, G_N_ELEMENTS(names))];
	draw->target = targets[ks_rng_below(rng, G_N_ELEMENTS(targets))];
	draw->status = statuses[ks_rng_below(rng, G_N_ELEMENTS(statuses))];
	draw->has_length = ks_rng_below(rng, 4);
	draw->split = ks_rng_below(rng, 2);
	draw->copies = 1 + ks_rng_below(rng, 2);
}

static GString *format_refusal(const struct draw *draw)
{
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < draw->copies; i++)
		g_string_append_printf(
			text, "HTTP/1.1 %d Again\r\n%sx-not-run: 1\r\n%s\r\n",
			draw->status, draw->name,
			draw->has_length ? "content-length: 0\r\n" : "");
	return text;
}

static void respond(struct fixture_upstream *upstream, const char *id,
		    int status, bool not_run, const char *body)
{
	ks_header_t headers[] = { { KS_STR("x-id"), ks_str_from(id) },
				  { KS_STR("x-seal"), KS_STR("s") },
				  { KS_STR("x-not-run"), KS_STR("1") } };
	ks_http1_request_t *request = upstream->request;

	upstream->request = NULL;
	ks_http1_start(request, status, headers, not_run ? 3 : 2,
		       (int64_t)strlen(body));
	ks_http1_body(request, ks_str_from(body));
	ks_http1_end(request);
}

static uint16_t peer_port(const struct http1_conn *conn)
{
	struct sockaddr_in in = { 0 };
	socklen_t len = sizeof(in);

	if (conn->closed || getpeername(h2o_socket_get_fd(conn->sock),
					(struct sockaddr *)&in, &len))
		return 0;
	return ntohs(in.sin_port);
}

/* The connection of the earlier request, NULL if it is closed. */
static struct http1_conn *find_conn(struct scene *s)
{
	KS_LIST_FOREACH (it, &s->f.upstreams[0].server.conns) {
		struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		if (conn == s->conn && peer_port(conn) == s->port)
			return conn;
	}
	return NULL;
}

static void write_raw(struct scene *s, ks_str_t text)
{
	struct http1_conn *conn = find_conn(s);

	if (!conn)
		return;
	g_string_append_len(conn->queued, text.data, (gssize)text.len);
	http1_conn_flush(conn);
}

static void repeat_refusal(struct scene *s)
{
	ks_str_t text = { s->refusal->str, s->refusal->len };
	ks_str_t first = text;

	if (s->written)
		return;
	s->written = true;
	if (s->draw.split) {
		first.len =
			1 + ks_rng_below(&s->draw.rng, (uint32_t)text.len - 1);
		write_raw(s, first);
		settle(&s->f);
		text.data += first.len;
		text.len -= first.len;
	}
	write_raw(s, text);
	settle(&s->f);
}

static void on_taken(void *ctx)
{
	struct scene *s = ctx;

	s->written = true;
	write_raw(s, (ks_str_t){ s->refusal->str, s->refusal->len });
}

/* u0 refuses the earlier request, which u1 runs then. */
static void refuse_earlier(struct scene *s)
{
	struct fixture *f = &s->f;
	struct fixture_caller caller;

	fixture_call_as(f, &caller, EARLIER_ID, "POST", "/book/", "", NULL, 0);
	FIXTURE_WAIT(f, f->upstreams[0].request);
	s->conn = http1_conn_of(f->upstreams[0].request);
	s->port = peer_port(s->conn);
	fixture_put_upstream(f, 1, "app", KS_STAGE_ANY);
	respond(&f->upstreams[0], EARLIER_ID, s->draw.status, true, "");
	FIXTURE_WAIT(f, f->upstreams[1].request);
	respond(&f->upstreams[1], EARLIER_ID, 200, false, "booked");
	FIXTURE_WAIT(f, caller.done);
	g_assert_cmpint(caller.status, ==, 200);
	fixture_end_call(&caller);
	ks_fleet_remove(ks_gateway_fleet(f->gateway), KS_STR("u1"));
	settle(f);
	g_assert_nonnull(find_conn(s));
}

static bool has_part(struct scene *s)
{
	struct http1_conn *conn = find_conn(s);

	return !conn || s->f.upstreams[0].request ||
	       (conn->request_started && !conn->request_complete);
}

static void answer_pending(struct scene *s)
{
	struct fixture *f = &s->f;

	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		if (f->upstreams[i].request)
			respond(&f->upstreams[i], LATER_ID, 200, false, "run");
}

static void respond_to_later(struct scene *s)
{
	struct fixture_upstream *u0 = &s->f.upstreams[0];
	enum moment moment = s->draw.moment;
	ks_header_t id = { KS_STR("x-id"), KS_STR(LATER_ID) };

	if (moment == AT_REQUEST)
		repeat_refusal(s);
	if (moment == AFTER_INTERIM) {
		write_raw(s, KS_STR("HTTP/1.1 103 Early Hints\r\n\r\n"));
		settle(&s->f);
		repeat_refusal(s);
	}
	if (moment == IN_RESPONSE && u0->request) {
		ks_http1_start(u0->request, 200, &id, 1, -1);
		ks_http1_body(u0->request, KS_STR("first"));
		settle(&s->f);
		repeat_refusal(s);
		if (u0->request)
			fixture_end_response(u0);
	}
	answer_pending(s);
	settle(&s->f);
	if (moment == AFTER_RESPONSE)
		repeat_refusal(s);
}

static bool is_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* How often the upstreams got the later request. */
static unsigned count_later(const struct scene *s)
{
	unsigned n = 0;

	for (int i = 0; i < FIXTURE_UPSTREAMS; i++)
		n += s->f.upstreams[i].received->len;
	return n - 2;
}

/* Returns whether the later request was sent on the kept connection. */
static bool send_later(struct scene *s, struct fixture_caller *caller,
		       const char *body)
{
	struct fixture *f = &s->f;
	bool kept;

	if (s->draw.moment == IDLE)
		repeat_refusal(s);
	fixture_call_as(f, caller, LATER_ID, "POST", s->draw.target, body, NULL,
			0);
	if (s->draw.moment == TAKEN) {
		ks_loop_run_once(&f->loop, 0);
		ks_timer_set(&s->timer, 0);
		ks_loop_run_once(&f->loop, 0);
	}
	if (s->draw.moment == IN_REQUEST) {
		FIXTURE_WAIT(f, has_part(s) || caller->done);
		fixture_put_upstream(f, 1, "app", KS_STAGE_ANY);
		repeat_refusal(s);
	}
	FIXTURE_WAIT(f, fixture_pending_upstream(f) || caller->done);
	kept = f->upstreams[0].request && find_conn(s);
	fixture_put_upstream(f, 1, "app", KS_STAGE_ANY);
	return kept;
}

/*
 * Plays a case; returns whether the later request was sent on the kept
 * connection.
 */
static bool play(struct scene *s, const char *large, unsigned *failed,
		 unsigned seed)
{
	struct fixture *f = &s->f;
	struct fixture_caller caller;
	bool kept;
	unsigned runs;

	refuse_earlier(s);
	kept = send_later(s, &caller,
			  s->draw.moment == IN_REQUEST ? large : "order");
	respond_to_later(s);
	for (int i = 0; i < DEADLINE_MS / 20 && !caller.done; i++) {
		answer_pending(s);
		fixture_advance(f, 20);
	}
	g_assert_true(caller.done);
	runs = count_later(s);
	if ((runs && is_not_run(caller.status)) ||
	    (runs > 1 && strcmp(s->draw.target, "/read/") != 0)) {
		g_test_message("seed %u: %s %d \"%s\" %s: runs %u, status %d",
			       seed, moment_names[s->draw.moment],
			       s->draw.status, s->draw.name, s->draw.target,
			       runs, caller.status);
		(*failed)++;
	}
	fixture_end_call(&caller);
	return kept;
}

static void test_drawn_cases(void)
{
	char *large = g_strnfill(LARGE_BODY_BYTES, 'b');
	unsigned kept[N_MOMENTS] = { 0 };
	unsigned failed = 0;

	for (unsigned seed = 1; seed <= DRAWS; seed++) {
		struct scene s = { .written = false };

		draw_case(&s.draw, seed);
		s.refusal = format_refusal(&s.draw);
		fixture_init_bare(&s.f);
		ks_timer_init(&s.timer, &s.f.loop, on_taken, &s);
		fixture_apply(&s.f, 1);
		fixture_put_upstream(&s.f, 0, "app", KS_STAGE_ANY);
		kept[s.draw.moment] += play(&s, large, &failed, seed);
		ks_timer_clear(&s.timer);
		fixture_deinit(&s.f);
		g_string_free(s.refusal, TRUE);
		ks_rng_deinit(&s.draw.rng);
	}
	g_free(large);
	for (int i = 0; i < N_MOMENTS; i++)
		g_test_message("%s: %u on the kept connection", moment_names[i],
			       kept[i]);
	g_assert_cmpuint(failed, ==, 0);
	/* The cases are worth something only if the connection is used. */
	g_assert_cmpuint(kept[AT_REQUEST], >, 0);
	g_assert_cmpuint(kept[IN_REQUEST], >, 0);
}

/*
 * Guards against waiting until the deadline for a response whose id was written
 * with white space around it, which is no part of a field's value (RFC 9110,
 * 5.5).
 */
static void test_white_space(void)
{
	struct scene s = { .draw = { .name = "x-id: \t " LATER_ID " \t\r\n",
				     .status = 503,
				     .has_length = true,
				     .copies = 1 } };
	struct fixture_caller caller;
	struct fixture *f = &s.f;

	s.refusal = format_refusal(&s.draw);
	fixture_init_bare(f);
	fixture_apply(f, 1);
	fixture_put_upstream(f, 0, "app", KS_STAGE_ANY);
	refuse_earlier(&s);
	fixture_call_as(f, &caller, LATER_ID, "POST", "/book/", "", NULL, 0);
	FIXTURE_WAIT(f, f->upstreams[0].request);
	fixture_put_upstream(f, 1, "app", KS_STAGE_ANY);
	/* The upstream refuses the request, in its own writing. */
	write_raw(&s, (ks_str_t){ s.refusal->str, s.refusal->len });
	FIXTURE_WAIT(f, f->upstreams[1].request);
	respond(&f->upstreams[1], LATER_ID, 200, false, "booked");
	FIXTURE_WAIT(f, caller.done);
	g_assert_cmpint(caller.status, ==, 200);
	fixture_end_call(&caller);
	fixture_deinit(f);
	g_string_free(s.refusal, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/repeated-refusal/drawn-cases", test_drawn_cases);
	g_test_add_func("/repeated-refusal/white-space", test_white_space);
	return g_test_run();
}
