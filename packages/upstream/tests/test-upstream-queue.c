/* Tests of the upstream process: queue, load reports, draining and stopping. */
#include "../src/upstream_internal.h"
#include "upstream_fixture.h"

static ks_attempt_request_t request_of_priority(uint32_t priority)
{
	ks_attempt_request_t request = example_request(true);

	request.priority = priority;
	return request;
}

static void reply_ok(struct fixture *f, unsigned i)
{
	ks_http_reply(f->calls[i]->req, 200, "text/plain", KS_STR("ok"));
}

/*
 * Guards against exceeding the upstream's limit, an unbounded queue, and an
 * urgent request that waits behind less urgent ones.
 */
static void test_queue_is_bounded_and_by_priority(void)
{
	struct fixture *f = fixture_ready(false, 1);
	ks_job_t *running = submit(f, request_of_priority(2));
	ks_job_t *low = submit(f, request_of_priority(2));
	ks_job_t *middle = submit(f, request_of_priority(1));
	ks_job_t *refused = submit(f, request_of_priority(2));
	ks_job_t *urgent = submit(f, request_of_priority(0));

	g_assert_cmpint(refused->kind, ==, KS_ERROR_OVERLOADED);
	g_assert_cmpint(refused->retry_after_us, >, 0);
	/* The urgent request replaced the least urgent one in the queue. */
	g_assert_cmpint(low->kind, ==, KS_ERROR_OVERLOADED);
	g_assert_true(low->refused);
	RUN_UNTIL(f, f->n_calls == 1);
	run_turns(f, 20);
	g_assert_cmpuint(f->n_calls, ==, 1);
	reply_ok(f, 0);
	RUN_UNTIL(f, urgent->accepted);
	g_assert_true(running->ended);
	g_assert_false(middle->accepted);
	RUN_UNTIL(f, f->n_calls == 2);
	reply_ok(f, 1);
	RUN_UNTIL(f, f->n_calls == 3);
	reply_ok(f, 2);
	RUN_UNTIL(f, middle->ended);
	job_free(running);
	job_free(low);
	job_free(middle);
	job_free(refused);
	job_free(urgent);
	fixture_free(f);
}

/* Guards against running a request that was reported as not executed. */
static void test_cancelled_in_queue_never_runs(void)
{
	struct fixture *f = fixture_ready(false, 1);
	ks_job_t *running = submit(f, example_request(false));
	ks_job_t *queued = submit(f, example_request(false));

	RUN_UNTIL(f, f->n_calls == 1);
	cancel(queued);
	g_assert_true(queued->refused);
	reply_ok(f, 0);
	RUN_UNTIL(f, running->ended);
	run_turns(f, 20);
	g_assert_cmpuint(f->n_calls, ==, 1);
	job_free(running);
	job_free(queued);
	fixture_free(f);
}

/*
 * Guards against a queued request that is refused long after its deadline, or
 * dispatched after it.
 */
static void test_deadline_in_queue(void)
{
	struct fixture *f = fixture_ready(false, 1);
	ks_attempt_request_t request = example_request(false);
	ks_job_t *running = submit(f, request);
	ks_job_t *queued;

	RUN_UNTIL(f, f->n_calls == 1);
	request.timeout_us = 3 * SEC;
	queued = submit(f, request);
	ks_test_clock_advance(&f->clock, 3 * SEC);
	RUN_UNTIL(f, queued->refused);
	g_assert_cmpint(queued->kind, ==, KS_ERROR_DEADLINE_NOT_RUN);
	reply_ok(f, 0);
	RUN_UNTIL(f, running->ended);
	run_turns(f, 20);
	g_assert_cmpuint(f->n_calls, ==, 1);
	job_free(running);
	job_free(queued);
	fixture_free(f);
}

/*
 * Guards against orders that are carried out while requests are in flight, and
 * against queued requests that wait for the end of a change.
 */
static void test_change_refuses_new_and_queued_requests(void)
{
	struct fixture *f = fixture_ready(true, 1);
	ks_job_t *running = submit(f, example_request(true));
	ks_job_t *queued = submit(f, example_request(true));
	ks_job_t *late;

	RUN_UNTIL(f, f->n_calls == 1);
	g_assert_cmpuint(doubles.orders_in_flight, ==, 2);
	doubles.order_driver_events->accepting(doubles.order_driver_ctx, false);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_CHANGING);
	/* The load is sent with the state, not at the next interval. */
	g_assert_cmpuint(doubles.load_at_state_change.in_flight, ==, 1);
	g_assert_cmpint(queued->kind, ==, KS_ERROR_NO_UPSTREAM);
	late = submit(f, example_request(true));
	g_assert_cmpint(late->kind, ==, KS_ERROR_NO_UPSTREAM);
	g_assert_cmpuint(doubles.orders_in_flight, ==, 1);
	reply_ok(f, 0);
	RUN_UNTIL(f, running->ended);
	g_assert_cmpint(running->kind, ==, KS_ERROR_NONE);
	g_assert_cmpuint(doubles.orders_in_flight, ==, 0);
	doubles.order_driver_events->accepting(doubles.order_driver_ctx, true);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_READY);
	job_free(running);
	job_free(queued);
	job_free(late);
	fixture_free(f);
}

/*
 * Guards against accepting requests after a release or the host list has
 * removed the upstream, or an entry has reported its host as leaving.
 */
static void test_each_leaving_reason_is_announced(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_str_t hosts[] = { KS_STR("host0"), KS_STR("host1") };
	ks_job_t *job;

	doubles.config_func(doubles.config_ctx, &f->snapshot_without_upstream);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_LEAVING);
	g_assert_cmpuint(doubles.version, ==, 8);
	doubles.config_func(doubles.config_ctx, &f->snapshot);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_READY);

	doubles.hosts_func(doubles.hosts_ctx, true, hosts, 2);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_LEAVING);
	/* A failed read of the host list changes nothing. */
	doubles.hosts_func(doubles.hosts_ctx, false, NULL, 0);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_LEAVING);
	doubles.hosts_func(doubles.hosts_ctx, true, hosts, 1);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_READY);

	doubles.link_events->leaving_seen(doubles.link_ctx);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_LEAVING);
	job = submit(f, example_request(true));
	g_assert_cmpint(job->kind, ==, KS_ERROR_NO_UPSTREAM);
	job_free(job);
	fixture_free(f);
}

/* Guards against a host list that is read only once. */
static void test_host_list_is_polled(void)
{
	struct fixture *f = fixture_ready(false, 4);

	g_assert_cmpuint(doubles.n_host_polls, ==, 1);
	ks_test_clock_advance(&f->clock, 10 * SEC);
	run_turns(f, 2);
	g_assert_cmpuint(doubles.n_host_polls, ==, 2);
	fixture_free(f);
}

/* Whether the loop stops, given that link and orders are idle or not. */
static bool loop_stops(struct fixture *f, bool link_idle, bool orders_idle)
{
	doubles.link_idle = link_idle;
	doubles.orders_idle = orders_idle;
	ks_test_clock_advance(&f->clock, SEC);
	run_turns(f, 5);
	return f->loop.stopping;
}

/* Guards against a stop that loses an answer or interrupts an order. */
static void test_stop_waits_for_answers_and_orders(void)
{
	struct fixture *f = fixture_ready(true, 4);
	ks_job_t *running = submit(f, example_request(true));

	RUN_UNTIL(f, f->n_calls == 1);
	ks_upstream_process_stop(f->process);
	g_assert_cmpint(doubles.state, ==, KS_UPSTREAM_LEAVING);
	g_assert_true(doubles.orders_stopped);
	g_assert_false(loop_stops(f, true, true));
	reply_ok(f, 0);
	RUN_UNTIL(f, running->ended);
	g_assert_cmpint(running->kind, ==, KS_ERROR_NONE);
	g_assert_false(loop_stops(f, false, true));
	g_assert_false(loop_stops(f, true, false));
	g_assert_true(loop_stops(f, true, true));
	job_free(running);
	fixture_free(f);
}

/*
 * Guards against announcing the load for each request, and against an outdated
 * load after the last change.
 */
static void test_load_is_announced_at_most_every_interval(void)
{
	struct fixture *f = fixture_ready(false, 50);
	ks_job_t *jobs[10];
	unsigned before;

	ks_test_clock_advance(&f->clock, SEC);
	run_turns(f, 1);
	before = doubles.n_load_updates;
	for (int i = 0; i < 10; i++)
		jobs[i] = submit(f, example_request(true));
	g_assert_cmpuint(doubles.n_load_updates, ==, before + 1);
	RUN_UNTIL(f, f->n_calls == 10);
	g_assert_cmpuint(doubles.n_load_updates, ==, before + 1);
	ks_test_clock_advance(&f->clock, 50 * MSEC);
	run_turns(f, 1);
	g_assert_cmpuint(doubles.n_load_updates, ==, before + 2);
	g_assert_cmpuint(doubles.load.in_flight, ==, 10);
	g_assert_cmpuint(doubles.load.limit, ==, 50);
	g_assert_cmpuint(doubles.load.prompt_tokens_pending, ==, 1000);
	g_assert_cmpuint(doubles.load.output_tokens_pending, ==, 100);
	for (int i = 0; i < 10; i++)
		cancel(jobs[i]);
	ks_test_clock_advance(&f->clock, 50 * MSEC);
	run_turns(f, 1);
	g_assert_cmpuint(doubles.load.in_flight, ==, 0);
	g_assert_cmpuint(doubles.load.prompt_tokens_pending, ==, 0);
	g_assert_cmpuint(doubles.load.output_tokens_pending, ==, 0);
	for (int i = 0; i < 10; i++)
		job_free(jobs[i]);
	fixture_free(f);
}

/* Guards against pending tokens that do not decrease during a stream. */
static void test_pending_tokens_shrink_with_events(void)
{
	struct fixture *f = fixture_ready(true, 4);
	ks_job_t *job = submit(f, example_request(true));

	RUN_UNTIL(f, f->n_calls == 1);
	stream_begin(f->calls[0], "text/event-stream");
	stream_send(f, f->calls[0], "data: 1\n\ndata: 2\n\ndata: 3\n\n",
		    H2O_SEND_STATE_IN_PROGRESS);
	RUN_UNTIL(f, job->body->len > 0);
	ks_test_clock_advance(&f->clock, 50 * MSEC);
	run_turns(f, 2);
	g_assert_cmpuint(doubles.load.prompt_tokens_pending, ==, 0);
	g_assert_cmpuint(doubles.load.output_tokens_pending, ==, 7);
	job_free(job);
	fixture_free(f);
}

/* Guards against a load that lacks the state reported by the engine. */
static void test_observed_engine_is_announced(void)
{
	struct fixture *f = fixture_ready(true, 4);
	ks_engine_state_t state = {
		.model = "m1",
		.role = KS_ROLE_DECODE,
		.kv_blocks_free = 5,
		.kv_blocks_total = 9,
	};

	doubles.order_driver_events->observed(doubles.order_driver_ctx, &state);
	ks_test_clock_advance(&f->clock, SEC);
	run_turns(f, 2);
	g_assert_cmpuint(doubles.load.kv_blocks_free, ==, 5);
	g_assert_cmpuint(doubles.load.kv_blocks_total, ==, 9);
	g_assert_cmpstr(doubles.load.role, ==, "decode");
	fixture_free(f);
}

/* Guards against miscounting events if a line is split between two reads. */
static void test_events_are_counted_across_any_split(void)
{
	static const char text[] = "data: {\"long\":\"line of text\"}\n\n"
				   ": comment\n\n"
				   "data:two\r\n\r\n"
				   "data: [DONE]\r\n\r\n";

	for (size_t step = 1; step < sizeof(text); step++) {
		struct upstream_sse sse = { 0 };

		for (size_t at = 0; at < sizeof(text) - 1; at += step)
			upstream_sse_feed(
				&sse,
				(ks_str_t){ text + at,
					    MIN(step, sizeof(text) - 1 - at) });
		g_assert_cmpuint(sse.events, ==, 2);
		g_assert_true(sse.done);
		upstream_sse_feed(&sse, KS_STR("data: more\n\n"));
		g_assert_false(sse.done);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upstream-queue/priority",
			test_queue_is_bounded_and_by_priority);
	g_test_add_func("/upstream-queue/cancel",
			test_cancelled_in_queue_never_runs);
	g_test_add_func("/upstream-queue/deadline", test_deadline_in_queue);
	g_test_add_func("/upstream-queue/change",
			test_change_refuses_new_and_queued_requests);
	g_test_add_func("/upstream-queue/leaving",
			test_each_leaving_reason_is_announced);
	g_test_add_func("/upstream-queue/host-list", test_host_list_is_polled);
	g_test_add_func("/upstream-queue/stop",
			test_stop_waits_for_answers_and_orders);
	g_test_add_func("/upstream-queue/load",
			test_load_is_announced_at_most_every_interval);
	g_test_add_func("/upstream-queue/tokens",
			test_pending_tokens_shrink_with_events);
	g_test_add_func("/upstream-queue/observed",
			test_observed_engine_is_announced);
	g_test_add_func("/upstream-queue/events",
			test_events_are_counted_across_any_split);
	return g_test_run();
}
