/*
 * Draws requests of all kinds over a whole stop, with bodies that arrive late,
 * callers that leave, and upstreams that take long, refuse and break off.
 * Guards against requests that are cut without an answer, refused although they
 * run, or sent when the end of the process may cut them.
 */
#include "gateway_fixture.h"
#include "gateway_internal.h"
#include "raw_caller.h"

#include <signal.h>

#define N_SCHEDULES 100
#define N_CALLERS 40
#define STEP_MS 10

/* Before the stop, and from its begin on. */
#define LEAD_MS 2000
#define GRACE_MS 8000
#define DRAIN_MS 3000

/* Reserved by the gateway at the end of the grace period. */
#define MARGIN_MS 300

/* Requests are read and connections come up some steps late. */
#define SLACK_MS 100

enum action {
	COMPLETE,
	REFUSE,
	BREAK_OFF
};

/**
 * struct plan - a request and what became of it; times in ms since the begin of
 *	the schedule, or -1
 * @whole_ms: when its last byte is sent
 * @leave_ms: when its caller leaves
 * @is_begun: its head was sent
 * @is_whole: its body was sent
 * @sent_late: it was first sent to an upstream, or sent again after a refusal,
 *	when the stop might cut it
 * @n_begun: how often an upstream began to work on it
 * @broke_off: an upstream broke off
 * @cut_ms: when the gateway cut an upstream's work
 * @ended_ms: when an upstream's work ended, cut or not
 */
struct plan {
	struct caller caller;
	const char *target;
	int begin_ms;
	int whole_ms;
	int leave_ms;
	int left_ms;
	int timeout_ms;
	bool is_begun;
	bool is_whole;
	bool has_left;
	bool sent_late;
	unsigned n_begun;
	bool broke_off;
	int cut_ms;
	int ended_ms;
};

struct job {
	struct schedule *schedule;
	struct plan *plan;
	ks_http1_request_t *request;
	ks_timer_t timer;
	enum action action;
	bool is_stream;
	int n_pieces;
};

struct schedule {
	struct fixture f;
	GRand *rng;
	ks_http1_server_t upstreams[FIXTURE_UPSTREAMS];
	struct plan plans[N_CALLERS];
	GPtrArray *jobs;
	int now_ms;
	int end_ms;
};

static bool is_once(const struct plan *plan)
{
	return !strcmp(plan->target, "/book/");
}

/* When the gateway ends the request in any case. */
static int limit_ms(const struct plan *plan)
{
	return plan->whole_ms + MIN(plan->left_ms, plan->timeout_ms);
}

static void end_job(struct job *job)
{
	job->plan->ended_ms = job->schedule->now_ms;
	ks_timer_clear(&job->timer);
	g_ptr_array_remove_fast(job->schedule->jobs, job);
	g_free(job);
}

static void on_job_cut(void *ctx)
{
	struct job *job = ctx;

	job->plan->cut_ms = job->schedule->now_ms;
	ks_http1_abort(job->request);
	end_job(job);
}

static void start_answer(const struct job *job, int status, int64_t length)
{
	char *id =
		g_strdup_printf("r%d", (int)(job->plan - job->schedule->plans));
	ks_header_t fields[] = { { KS_STR("x-id"), ks_str_from(id) },
				 { KS_STR("x-not-run"), KS_STR("1") } };

	ks_http1_start(job->request, status, fields, status == 503 ? 2 : 1,
		       length);
	g_free(id);
}

static void on_job_timer(void *ctx)
{
	struct job *job = ctx;

	if (job->action == BREAK_OFF) {
		job->plan->broke_off = true;
		ks_http1_abort(job->request);
		end_job(job);
		return;
	}
	if (job->action == REFUSE) {
		start_answer(job, 503, 0);
	} else if (job->is_stream) {
		char *event =
			g_strdup_printf("id: %d\ndata: a\n\n", job->n_pieces);

		ks_http1_body(job->request, ks_str_from(event));
		g_free(event);
		if (job->n_pieces--) {
			ks_timer_set(&job->timer, 200 * KS_USEC_PER_MSEC);
			return;
		}
	} else {
		start_answer(job, 200, 4);
		ks_http1_body(job->request, KS_STR("done"));
	}
	ks_http1_end(job->request);
	end_job(job);
}

static void on_upstream_request(void *ctx, ks_http1_request_t *request)
{
	struct schedule *s = ctx;
	ks_str_t id =
		ks_header_value(request->headers, request->n_headers, "x-id");
	int draw = g_rand_int_range(s->rng, 0, 10);
	struct job *job;
	bool may_be_cut;

	/* Another program calls a port that it has known before. */
	if (!id.len) {
		ks_http1_abort(request);
		return;
	}
	job = g_new0(struct job, 1);
	job->schedule = s;
	job->plan = &s->plans[atoi(id.data + 1)];
	job->request = request;
	job->is_stream = !strcmp(job->plan->target, "/tell/") ||
			 !strcmp(job->plan->target, "/resume/");
	job->action = draw < 6 ? COMPLETE : draw < 9 ? REFUSE : BREAK_OFF;
	request->ctx = job;
	request->disconnected = on_job_cut;
	may_be_cut = s->now_ms > LEAD_MS + DRAIN_MS + SLACK_MS &&
		     limit_ms(job->plan) > s->end_ms;
	job->plan->sent_late |= may_be_cut && !job->plan->n_begun;
	job->plan->n_begun += job->action != REFUSE;
	ks_timer_init(&job->timer, &s->f.loop, on_job_timer, job);
	ks_timer_set(&job->timer,
		     g_rand_int_range(s->rng, 0, 5000) * KS_USEC_PER_MSEC);
	g_ptr_array_add(s->jobs, job);
	if (job->is_stream && job->action == COMPLETE) {
		job->n_pieces = g_rand_int_range(s->rng, 0, 50);
		start_answer(job, 200, -1);
	}
}

static const char *const targets[] = { "/read/", "/book/", "/tell/",
				       "/resume/" };

static ks_route_t *route_of(const struct schedule *s, size_t kind)
{
	ks_route_t *route = s->f.gateway->traffic->routes->pdata[kind];

	g_assert_cmpstr(route->name, ==, targets[kind]);
	return route;
}

static int draw_one(struct schedule *s, const int *values, int n)
{
	return values[g_rand_int_range(s->rng, 0, n)];
}

static void draw_timeouts(struct schedule *s)
{
	static const int timeouts_ms[] = { 1000, 5000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		route_of(s, i)->timeout_us =
			KS_USEC_PER_MSEC *
			draw_one(s, timeouts_ms, G_N_ELEMENTS(timeouts_ms));
}

/* A request has a body that is sent later, in one of two cases. */
static void draw_plan(struct schedule *s, struct plan *plan)
{
	static const int lefts_ms[] = { 500, 1500, 4000, 9000, 15000 };
	GRand *rng = s->rng;
	int kind = g_rand_int_range(rng, 0, G_N_ELEMENTS(targets));
	bool is_split = g_rand_boolean(rng);
	bool leaves = !g_rand_int_range(rng, 0, 6);

	plan->target = targets[kind];
	plan->timeout_ms =
		(int)(route_of(s, kind)->timeout_us / KS_USEC_PER_MSEC);
	plan->left_ms = draw_one(s, lefts_ms, G_N_ELEMENTS(lefts_ms));
	plan->begin_ms = g_rand_int_range(rng, 0, LEAD_MS + DRAIN_MS + 100);
	plan->whole_ms = plan->begin_ms +
			 (is_split ? g_rand_int_range(rng, 0, 5000) : 0);
	plan->leave_ms =
		leaves ? plan->whole_ms + g_rand_int_range(rng, 0, 3000) : -1;
	plan->cut_ms = -1;
	plan->ended_ms = -1;
}

static void init_schedule(struct schedule *s, guint32 seed)
{
	ks_address_t address = { "127.0.0.1", 0 };

	memset(s, 0, sizeof(*s));
	fixture_init(&s->f);
	s->f.gateway->server.header_timeout_us = 60 * KS_USEC_PER_SEC;
	s->f.gateway->server.idle_timeout_us = 60 * KS_USEC_PER_SEC;
	s->rng = g_rand_new_with_seed(seed);
	s->jobs = g_ptr_array_new();
	s->end_ms = LEAD_MS + GRACE_MS - MARGIN_MS;
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		g_assert_true(ks_http1_server_init(
			&s->upstreams[i], &s->f.loop, &address,
			on_upstream_request, s, NULL));
		s->f.upstreams[i].server.port = s->upstreams[i].port;
		fixture_put_upstream(&s->f, i, "app", KS_STAGE_ANY);
	}
	draw_timeouts(s);
	for (int i = 0; i < N_CALLERS; i++)
		draw_plan(s, &s->plans[i]);
}

static void deinit_schedule(struct schedule *s)
{
	for (int i = 0; i < N_CALLERS; i++)
		if (s->plans[i].caller.received)
			end_caller(&s->plans[i].caller);
	ks_http_client_deinit(&s->f.client);
	for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
		ks_http1_server_deinit(&s->upstreams[i]);
		ks_http1_server_deinit(&s->f.upstreams[i].server);
		g_ptr_array_free(s->f.upstreams[i].received, TRUE);
	}
	ks_loop_deinit(&s->f.loop);
	g_assert_cmpuint(s->jobs->len, ==, 0);
	g_ptr_array_free(s->jobs, TRUE);
	g_rand_free(s->rng);
}

static void begin(struct schedule *s, int i)
{
	struct plan *plan = &s->plans[i];
	char *head = g_strdup_printf(
		"POST %s HTTP/1.1\r\nhost: shop.example\r\n"
		"x-id: r%d\r\nx-left: %d\r\ncontent-length: 4\r\n\r\n",
		plan->target, i, plan->left_ms);

	send_text(&plan->caller, head);
	g_free(head);
}

/* Idle connections are closed after the drain delay; nothing is sent then. */
static bool is_open(struct plan *plan)
{
	if (!plan->caller.closed)
		receive(&plan->caller);
	return !plan->caller.closed;
}

static void act(struct schedule *s, int i)
{
	struct plan *plan = &s->plans[i];

	/* A stopping gateway closes its listener. */
	if (s->now_ms == 0)
		connect_caller(&s->f, &plan->caller);
	if (plan->has_left || !is_open(plan))
		return;
	if (s->now_ms == plan->begin_ms / STEP_MS * STEP_MS) {
		begin(s, i);
		plan->is_begun = true;
	}
	if (plan->is_begun && s->now_ms == plan->whole_ms / STEP_MS * STEP_MS) {
		send_text(&plan->caller, "body");
		plan->is_whole = true;
	}
	if (plan->is_whole && plan->leave_ms >= 0 &&
	    s->now_ms >= plan->leave_ms) {
		plan->has_left = true;
		shutdown(plan->caller.fd, SHUT_RDWR);
	}
}

static void run_step(struct schedule *s)
{
	for (int i = 0; i < N_CALLERS; i++)
		act(s, i);
	for (int i = 0; i < 6 && !s->f.loop.stopping; i++)
		ks_loop_run_once(&s->f.loop, 0);
	ks_test_clock_advance(&s->f.clock, STEP_MS * KS_USEC_PER_MSEC);
	s->now_ms += STEP_MS;
}

static bool is_complete(const char *text)
{
	const char *body = strstr(text, "\r\n\r\n");
	const char *length = strstr(text, "content-length: ");

	if (!body)
		return false;
	if (length && length < body)
		return strlen(body + 4) == strtoul(length + 16, NULL, 10);
	return g_str_has_suffix(text, "\r\n0\r\n\r\n");
}

static void check_left(const struct schedule *s, const struct plan *plan)
{
	if (is_once(plan) && plan->cut_ms >= 0)
		g_assert_cmpint(plan->cut_ms, >=,
				MIN(limit_ms(plan), s->end_ms));
}

/* The end of the process and the deadline may cut an answer that has begun. */
static bool may_be_incomplete(const struct schedule *s, const struct plan *plan)
{
	const char *text = plan->caller.received->str;

	if (!*text || strstr(text, "\r\n\r\n") == NULL)
		return false;
	return plan->broke_off || plan->ended_ms >= limit_ms(plan) ||
	       (plan->whole_ms <= LEAD_MS + DRAIN_MS + SLACK_MS &&
		plan->ended_ms >= s->end_ms);
}

static void check(const struct schedule *s, const struct plan *plan)
{
	const char *text = plan->caller.received->str;

	g_assert_false(plan->sent_late);
	if (is_once(plan))
		g_assert_cmpuint(plan->n_begun, <=, 1);
	if (plan->has_left) {
		check_left(s, plan);
		return;
	}
	if (!plan->is_whole) {
		g_assert_cmpuint(plan->n_begun, ==, 0);
		if (plan->is_begun)
			g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503 "));
		return;
	}
	if (!is_complete(text))
		g_assert_true(may_be_incomplete(s, plan));
	else if (g_str_has_prefix(text, "HTTP/1.1 503 "))
		g_assert_cmpuint(plan->n_begun, ==, 0);
}

static void test_schedules(void)
{
	struct schedule *s = g_new(struct schedule, 1);

	for (guint32 seed = 1; seed <= N_SCHEDULES; seed++) {
		init_schedule(s, seed);
		while (!s->f.loop.stopping) {
			if (s->now_ms == LEAD_MS)
				ks_gateway_stop(s->f.gateway);
			run_step(s);
			g_assert_cmpint(s->now_ms, <, LEAD_MS + GRACE_MS);
		}
		ks_gateway_free(s->f.gateway);
		for (int i = 0; i < 20; i++)
			ks_loop_run_once(&s->f.loop, 0);
		for (int i = 0; i < N_CALLERS; i++) {
			struct plan *plan = &s->plans[i];

			while (!plan->caller.closed)
				receive(&plan->caller);
			g_test_message("seed %u request %d %s whole %d "
				       "left %d timeout %d begun %u cut %d: %s",
				       seed, i, plan->target, plan->whole_ms,
				       plan->left_ms, plan->timeout_ms,
				       plan->n_begun, plan->cut_ms,
				       plan->caller.received->str);
			check(s, plan);
		}
		deinit_schedule(s);
	}
	g_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN); /* as the program does */
	g_test_add_func("/stop-schedules/drawn", test_schedules);
	return g_test_run();
}
