/* Tests of the upstream process: forwarding of requests and answers. */
#include "upstream_fixture.h"

#include <netinet/in.h>
#include <unistd.h>

/* Guards against running a request before a snapshot is in force. */
static void test_refuses_without_snapshot(void)
{
	struct fixture *f = fixture_new(false, 4);
	ks_job_t *job = submit(f, example_request(true));

	g_assert_true(job->refused);
	g_assert_cmpint(job->kind, ==, KS_ERROR_NO_UPSTREAM);
	g_assert_cmpint(job->retry_after_us, >, 0);
	job_free(job);
	fixture_free(f);
}

/* Guards against lost header fields and an incomplete answer. */
static void test_forwards_request_and_returns_full_answer(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_header_t headers[] = {
		{ KS_STR("x-ks-resume-from"), KS_STR("5") },
		{ KS_STR("x-priority"), KS_STR("0") },
		{ KS_STR("connection"), KS_STR("keep-alive") },
	};
	ks_attempt_request_t request = example_request(true);
	char id[KS_ID_HEX_SIZE];
	h2o_req_t *req;
	ks_job_t *job;

	request.headers = headers;
	request.n_headers = G_N_ELEMENTS(headers);
	request.priority = 3;
	job = submit(f, request);
	RUN_UNTIL(f, f->n_calls == 1);
	req = f->calls[0]->req;
	g_assert_true(job->accepted);
	g_assert_true(ks_str_equal(ks_http_req_header(req, "x-ks-resume-from"),
				   KS_STR("5")));
	/* x-priority is the assigned priority, not the caller's value. */
	g_assert_true(ks_str_equal(ks_http_req_header(req, "x-priority"),
				   KS_STR("3")));
	g_assert_true(
		ks_str_equal(ks_http_req_header(req, "x-request-id"),
			     ks_str_from(ks_id_format(&job->key.id, id))));
	g_assert_true(ks_str_equal(ks_http_req_body(req), KS_STR("{}")));
	ks_http_reply(req, 201, "text/plain", KS_STR("answer"));
	RUN_UNTIL(f, job->ended);
	g_assert_cmpint(job->kind, ==, KS_ERROR_NONE);
	g_assert_cmpint(job->status, ==, 201);
	g_assert_cmpstr(job->body->str, ==, "answer");
	g_assert_false(job->has_framing_header);
	job_free(job);
	fixture_free(f);
}

/* Guards against a failed connection that is not reported as not executed. */
static void test_failed_connection_is_not_started(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *job;

	ks_http_server_close_listener(&f->backend);
	job = submit(f, example_request(false));
	RUN_UNTIL(f, job->n_final_events == 1);
	g_assert_true(job->refused);
	g_assert_cmpint(job->kind, ==, KS_ERROR_NO_UPSTREAM);
	job_free(job);
	fixture_free(f);
}

static ks_error_kind_t kind_of_truncated_answer(bool idempotent)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *job = submit(f, example_request(idempotent));
	ks_error_kind_t kind;

	RUN_UNTIL(f, f->n_calls == 1);
	stream_begin(f->calls[0], "text/plain");
	stream_send(f, f->calls[0], "part", H2O_SEND_STATE_IN_PROGRESS);
	stream_send(f, f->calls[0], "", H2O_SEND_STATE_ERROR);
	RUN_UNTIL(f, job->ended);
	kind = job->kind;
	job_free(job);
	fixture_free(f);
	return kind;
}

/* Guards against reporting a truncated answer as complete. */
static void test_truncated_answer_is_an_error(void)
{
	g_assert_cmpint(kind_of_truncated_answer(true), ==,
			KS_ERROR_UPSTREAM_FAILED);
	g_assert_cmpint(kind_of_truncated_answer(false), ==,
			KS_ERROR_OUTCOME_UNKNOWN);
}

static ks_error_kind_t kind_of_stream(const char *last)
{
	struct fixture *f = fixture_ready(true, 4);
	ks_job_t *job = submit(f, example_request(true));
	ks_error_kind_t kind;

	RUN_UNTIL(f, f->n_calls == 1);
	stream_begin(f->calls[0], "text/event-stream");
	stream_send(f, f->calls[0], "data: {}\n\nda",
		    H2O_SEND_STATE_IN_PROGRESS);
	stream_send(f, f->calls[0], last, H2O_SEND_STATE_FINAL);
	RUN_UNTIL(f, job->ended);
	kind = job->kind;
	job_free(job);
	fixture_free(f);
	return kind;
}

/* Guards against reporting a stream without an end marker as complete. */
static void test_stream_without_end_marker_is_an_error(void)
{
	g_assert_cmpint(kind_of_stream("ta: {}\n\ndata: [DONE]\n\n"), ==,
			KS_ERROR_NONE);
	g_assert_cmpint(kind_of_stream("ta: {}\n\n"), ==,
			KS_ERROR_UPSTREAM_FAILED);
	g_assert_cmpint(kind_of_stream("ta: \"[DONE]\"\n\n"), ==,
			KS_ERROR_UPSTREAM_FAILED);
	g_assert_cmpint(kind_of_stream("ta: [DONE]"), ==,
			KS_ERROR_UPSTREAM_FAILED);
}

/* Guards against reporting a stream that ends inside an event as complete. */
static void test_stream_that_ends_inside_event_is_an_error(void)
{
	g_assert_cmpint(kind_of_stream("ta: {}\n\ndata: [DONE]\n"), ==,
			KS_ERROR_UPSTREAM_FAILED);
	g_assert_cmpint(kind_of_stream("ta: {}\n\ndata: [DONE]\n\ndata: {"), ==,
			KS_ERROR_UPSTREAM_FAILED);
	g_assert_cmpint(kind_of_stream("ta: {}\r\n\r\ndata: [DONE]\r\n\r\n"),
			==, KS_ERROR_NONE);
}

/* Guards against continuing an idempotent call after its caller disconnected.
 */
static void test_cancel_closes_idempotent_call(void)
{
	struct fixture *f = fixture_ready(true, 4);
	ks_job_t *job = submit(f, example_request(true));

	RUN_UNTIL(f, f->n_calls == 1);
	cancel(job);
	g_assert_true(job->ended);
	g_assert_cmpuint(doubles.orders_in_flight, ==, 0);
	/* h2o detects a closed connection when it writes. */
	stream_begin(f->calls[0], "text/plain");
	for (int i = 0; i < MAX_TURNS && !f->calls[0]->closed; i++) {
		if (!f->calls[0]->sending)
			stream_send(f, f->calls[0], "x",
				    H2O_SEND_STATE_IN_PROGRESS);
		ks_loop_run_once(&f->loop, 10 * MSEC);
	}
	g_assert_true(f->calls[0]->closed);
	job_free(job);
	fixture_free(f);
}

/* Guards against aborting a non-idempotent call, such as a payment. */
static void test_cancel_lets_non_idempotent_call_finish(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *job = submit(f, example_request(false));

	RUN_UNTIL(f, f->n_calls == 1);
	cancel(job);
	g_assert_false(job->ended);
	ks_http_reply(f->calls[0]->req, 200, "text/plain", KS_STR("paid"));
	RUN_UNTIL(f, job->ended);
	g_assert_cmpint(job->kind, ==, KS_ERROR_NONE);
	g_assert_cmpstr(job->body->str, ==, "paid");
	job_free(job);
	fixture_free(f);
}

/* Guards against a call that continues after its attempt was ended. */
static void test_slow_reader_frees_its_slot(void)
{
	struct fixture *f = fixture_ready(true, 1);
	ks_job_t *job = submit(f, example_request(true));

	job->body_refused = true;
	RUN_UNTIL(f, f->n_calls == 1);
	stream_begin(f->calls[0], "text/event-stream");
	stream_send(f, f->calls[0], "data: {}\n\n", H2O_SEND_STATE_IN_PROGRESS);
	RUN_UNTIL(f, job->ended);
	RUN_UNTIL(f, doubles.orders_in_flight == 0);
	g_assert_cmpint(job->kind, ==, KS_ERROR_SLOW_READER);
	job_free(job);
	fixture_free(f);
}

/* Guards against a call that never ends if the upstream stops responding. */
static void test_unresponsive_upstream_times_out_at_deadline(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *job = submit(f, example_request(true));

	RUN_UNTIL(f, f->n_calls == 1);
	ks_test_clock_advance(&f->clock, 10 * SEC);
	RUN_UNTIL(f, job->ended);
	g_assert_cmpint(job->kind, ==, KS_ERROR_UPSTREAM_FAILED);
	job_free(job);
	fixture_free(f);
}

/* Guards against losing the outcome of a slow non-idempotent call. */
static void test_non_idempotent_call_outlasts_deadline(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *job = submit(f, example_request(false));

	RUN_UNTIL(f, f->n_calls == 1);
	ks_test_clock_advance(&f->clock, 11 * SEC);
	run_turns(f, 5);
	g_assert_false(job->ended);
	ks_test_clock_advance(&f->clock, 60 * SEC);
	RUN_UNTIL(f, job->ended);
	g_assert_cmpint(job->kind, ==, KS_ERROR_OUTCOME_UNKNOWN);
	job_free(job);
	fixture_free(f);
}

/* Guards against sending a request whose deadline has passed. */
static void test_nothing_is_sent_after_deadline(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_attempt_request_t request = example_request(false);
	ks_job_t *late = submit(f, request);
	ks_job_t *none;

	ks_test_clock_advance(&f->clock, request.timeout_us);
	RUN_UNTIL(f, late->n_final_events == 1);
	g_assert_true(late->refused);
	g_assert_cmpint(late->kind, ==, KS_ERROR_DEADLINE_NOT_RUN);
	request.timeout_us = 0;
	none = submit(f, request);
	g_assert_cmpint(none->kind, ==, KS_ERROR_DEADLINE_NOT_RUN);
	run_turns(f, 20);
	g_assert_cmpuint(f->n_calls, ==, 0);
	job_free(late);
	job_free(none);
	fixture_free(f);
}

/* Guards against running a request on an engine with another model. */
static void test_refuses_other_model(void)
{
	struct fixture *f = fixture_ready(true, 4);
	ks_engine_state_t state = { .model = "m2" };
	ks_attempt_request_t request = example_request(true);
	ks_job_t *job;

	request.model = KS_STR("m2");
	job = submit(f, request);
	g_assert_cmpint(job->kind, ==, KS_ERROR_UNKNOWN_MODEL);
	job_free(job);

	request.model = KS_STR("m1-adapter");
	job = submit(f, request);
	RUN_UNTIL(f, f->n_calls == 1);
	cancel(job);
	job_free(job);

	doubles.order_driver_events->observed(doubles.order_driver_ctx, &state);
	request.model = KS_STR("m1");
	job = submit(f, request);
	g_assert_cmpint(job->kind, ==, KS_ERROR_UNKNOWN_MODEL);
	job_free(job);

	/* An engine that was restarted has no model. */
	state.model[0] = '\0';
	doubles.order_driver_events->observed(doubles.order_driver_ctx, &state);
	job = submit(f, request);
	g_assert_cmpint(job->kind, ==, KS_ERROR_UNKNOWN_MODEL);
	job_free(job);

	/* An observation older than the driver's last event is ignored. */
	doubles.order_driver_events->accepting(doubles.order_driver_ctx, false);
	doubles.order_driver_events->accepting(doubles.order_driver_ctx, true);
	job = submit(f, request);
	RUN_UNTIL(f, f->n_calls == 2);
	cancel(job);
	job_free(job);
	fixture_free(f);
}

static void reply_named(h2o_req_t *req, const char *call, const char *body)
{
	if (call)
		h2o_add_header_by_str(&req->pool, &req->res.headers,
				      H2O_STRLIT("x-ks-call"), 0, NULL, call,
				      strlen(call));
	ks_http_reply(req, 200, "text/plain", ks_str_from(body));
}

static char *call_of(h2o_req_t *req)
{
	return ks_str_dup(ks_http_req_header(req, "x-ks-call"));
}

/* Port of the peer, which differs between connections. */
static uint16_t port_of(h2o_req_t *req)
{
	struct sockaddr_storage peer;

	req->conn->callbacks->get_peername(req->conn, (struct sockaddr *)&peer);
	return ((struct sockaddr_in *)&peer)->sin_port;
}

/* Writes bytes that belong to no request to the connection of a request. */
static void write_raw(h2o_req_t *req, const char *text)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	g_assert_cmpint(write(h2o_socket_get_fd(sock), text, strlen(text)), ==,
			strlen(text));
}

/*
 * Guards against giving a caller the second response to an earlier call, which
 * arrives on a kept connection when the next call waits for its own.
 */
static void test_second_response_is_skipped(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *first = submit(f, example_request(true)), *second;
	char *call, *again;

	RUN_UNTIL(f, f->n_calls == 1);
	call = call_of(f->calls[0]->req);
	reply_named(f->calls[0]->req, call, "first");
	RUN_UNTIL(f, first->ended);
	second = submit(f, example_request(true));
	RUN_UNTIL(f, f->n_calls == 2);
	again = g_strdup_printf("HTTP/1.1 200 OK\r\nx-ks-call: %s\r\n"
				"content-length: 5\r\n\r\nfirst",
				call);
	write_raw(f->calls[1]->req, again);
	run_turns(f, 20);
	g_free(call);
	g_free(again);
	call = call_of(f->calls[1]->req);
	reply_named(f->calls[1]->req, call, "second");
	RUN_UNTIL(f, second->ended);
	g_assert_cmpint(second->kind, ==, KS_ERROR_NONE);
	g_assert_cmpstr(second->body->str, ==, "second");
	g_free(call);
	job_free(first);
	job_free(second);
	fixture_free(f);
}

/*
 * Guards against the same with an upstream that does not name the call in its
 * responses: its connections are used once.
 */
static void test_unnamed_responses_need_own_connections(void)
{
	struct fixture *f = fixture_ready(false, 4);
	ks_job_t *first = submit(f, example_request(true)), *second;
	uint16_t port;

	RUN_UNTIL(f, f->n_calls == 1);
	port = port_of(f->calls[0]->req);
	reply_named(f->calls[0]->req, NULL, "first");
	RUN_UNTIL(f, first->ended);
	g_assert_cmpint(first->kind, ==, KS_ERROR_NONE);
	second = submit(f, example_request(true));
	RUN_UNTIL(f, f->n_calls == 2);
	g_assert_cmpuint(port_of(f->calls[1]->req), !=, port);
	reply_named(f->calls[1]->req, NULL, "second");
	RUN_UNTIL(f, second->ended);
	g_assert_cmpstr(second->body->str, ==, "second");
	job_free(first);
	job_free(second);
	fixture_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upstream/no-snapshot", test_refuses_without_snapshot);
	g_test_add_func("/upstream/whole",
			test_forwards_request_and_returns_full_answer);
	g_test_add_func("/upstream/not-started",
			test_failed_connection_is_not_started);
	g_test_add_func("/upstream/lost", test_truncated_answer_is_an_error);
	g_test_add_func("/upstream/end-marker",
			test_stream_without_end_marker_is_an_error);
	g_test_add_func("/upstream/inside-event",
			test_stream_that_ends_inside_event_is_an_error);
	g_test_add_func("/upstream/cancel", test_cancel_closes_idempotent_call);
	g_test_add_func("/upstream/cancel-non-idempotent",
			test_cancel_lets_non_idempotent_call_finish);
	g_test_add_func("/upstream/slow-reader",
			test_slow_reader_frees_its_slot);
	g_test_add_func("/upstream/silent",
			test_unresponsive_upstream_times_out_at_deadline);
	g_test_add_func("/upstream/grace",
			test_non_idempotent_call_outlasts_deadline);
	g_test_add_func("/upstream/deadline",
			test_nothing_is_sent_after_deadline);
	g_test_add_func("/upstream/model", test_refuses_other_model);
	g_test_add_func("/upstream/second-response",
			test_second_response_is_skipped);
	g_test_add_func("/upstream/unnamed-responses",
			test_unnamed_responses_need_own_connections);
	return g_test_run();
}
