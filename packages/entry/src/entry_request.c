/* Lifecycle of a request, from its arrival to the response. */
#include "entry_internal.h"

#include <errno.h>
#include <sys/socket.h>

#define DEFAULT_RETRY_AFTER_US KS_USEC_PER_SEC
#define CONNECTION_CHECK_US (250 * KS_USEC_PER_MSEC)

static void dispose_caller(void *data)
{
	struct entry_caller *caller = data;

	if (caller->request)
		entry_request_caller_disconnected(caller->request);
}

static void on_deadline(void *ctx);

static struct entry_request *new_request(ks_entry_t *entry, h2o_req_t *req)
{
	struct entry_request *request = g_new0(struct entry_request, 1);

	request->entry = entry;
	request->req = req;
	request->start_us = ks_loop_now(entry->loop);
	ks_id_generate(&request->id);
	request->tried = g_ptr_array_new_with_free_func(g_free);
	request->failed_domains = g_ptr_array_new_with_free_func(g_free);
	request->headers = g_ptr_array_new_with_free_func(g_free);
	request->response_body = g_string_new(NULL);
	entry_stream_init(&request->stream);
	ks_timer_init(&request->deadline, entry->loop, on_deadline, request);
	ks_list_append(&entry->requests, &request->node);
	request->caller = h2o_mem_alloc_shared(
		&req->pool, sizeof(*request->caller), dispose_caller);
	memset(request->caller, 0, sizeof(*request->caller));
	request->caller->request = request;
	return request;
}

/**
 * entry_request_free() - free a request that is no longer referenced
 */
void entry_request_free(struct entry_request *request)
{
	if (request->caller)
		request->caller->request = NULL;
	if (request->has_ticket)
		ks_admission_leave(request->group->admission, &request->ticket,
				   ks_loop_now(request->entry->loop));
	ks_timer_clear(&request->deadline);
	ks_list_remove(&request->node);
	ks_completion_deinit(&request->completion);
	entry_stream_deinit(&request->stream);
	entry_split_deinit(&request->split);
	g_ptr_array_unref(request->tried);
	g_free(request->lost_link_upstream);
	g_ptr_array_unref(request->failed_domains);
	g_ptr_array_unref(request->headers);
	g_string_free(request->response_body, TRUE);
	g_free(request->content_type);
	g_free(request);
}

static void release_admission(struct entry_request *request)
{
	struct entry_group *group = request->group;

	if (!request->has_ticket)
		return;
	request->has_ticket = false;
	ks_admission_leave(group->admission, &request->ticket,
			   ks_loop_now(request->entry->loop));
	entry_group_admit_queued(group);
}

/**
 * entry_request_complete() - count the result and release limits and admission
 * @result: value of the result label in metrics
 *
 * The request is freed if its caller has disconnected.
 */
void entry_request_complete(struct entry_request *request, const char *result)
{
	ks_entry_t *entry = request->entry;
	bool was_queued = request->phase == ENTRY_QUEUED;

	request->phase = ENTRY_DONE;
	ks_timer_clear(&request->deadline);
	entry_count_result(entry, request->tenant ? request->tenant->label : "",
			   request->priority,
			   request->caller_closed ? "caller_gone" : result);
	if (request->class) {
		ks_histogram_record(request->class->completion,
				    ks_loop_now(entry->loop) -
					    request->start_us);
		request->class->in_flight--;
		request->class->tenant->in_flight--;
		entry->n_active--;
	}
	if (was_queued)
		request->group->queued--;
	if (!request->req) {
		release_admission(request);
		entry_request_free(request);
		return;
	}
	release_admission(request);
}

static void resolve_claim(struct entry_request *request)
{
	if (!request->claim)
		return;
	if (request->phase == ENTRY_CLAIMING)
		ks_ledger_abandon(request->claim);
	else if (request->may_have_run)
		ks_ledger_unknown(request->claim);
	else
		ks_ledger_not_run(request->claim);
	request->claim = NULL;
}

/*
 * Replaces an error that says "not run" if an attempt may have started. After
 * that a non-idempotent request always has an unknown outcome.
 */
static ks_error_kind_t effective_error_kind(const struct entry_request *request,
					    ks_error_kind_t kind)
{
	if (!request->may_have_run)
		return kind;
	if (!request->is_idempotent)
		return KS_ERROR_OUTCOME_UNKNOWN;
	if (!ks_error_answer(kind)->not_run)
		return kind;
	return request->failed_kind ? request->failed_kind
				    : KS_ERROR_UPSTREAM_FAILED;
}

/**
 * entry_request_fail() - fail a request and send the error to its caller
 * @retry_after_us: value of Retry-After in microseconds; 0 for the default
 * @message: NULL for the error code alone
 *
 * The kind sent may differ from @kind if an attempt may have run.
 */
void entry_request_fail(struct entry_request *request, ks_error_kind_t kind,
			int64_t retry_after_us, const char *message)
{
	h2o_req_t *req = request->responded ? NULL : request->req;
	ks_id_t id = request->id;

	/* The end of the stream is already queued for the caller. */
	if (request->stream.has_end)
		return;
	kind = effective_error_kind(request, kind);
	resolve_claim(request);
	entry_attempt_detach(request);
	if (req && request->stream.started) {
		entry_stream_abort(request, kind, message);
		return;
	}
	request->responded = true;
	entry_request_complete(request, ks_error_answer(kind)->code);
	if (req)
		entry_response_send_error(req, kind, message, &id,
					  retry_after_us
						  ? retry_after_us
						  : DEFAULT_RETRY_AFTER_US);
}

/**
 * entry_request_caller_disconnected() - handle the end of a caller's connection
 * or HTTP/2 stream
 *
 * Idempotent requests are cancelled. Other requests run to their end, so that
 * their outcome is known.
 */
void entry_request_caller_disconnected(struct entry_request *request)
{
	request->req = NULL;
	request->caller = NULL;
	if (request->phase == ENTRY_DONE) {
		entry_request_free(request);
		return;
	}
	if (request->phase == ENTRY_SENT && !request->is_idempotent)
		return;
	resolve_claim(request);
	entry_attempt_detach(request);
	entry_request_complete(request, "caller_gone");
}

static bool is_closed_by_peer(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	char byte;
	ssize_t got;

	if (!sock)
		return false;
	got = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/**
 * entry_request_check_connections() - detect callers that closed their
 * connection
 *
 * h2o does not read from an HTTP/1 connection while it serves a request on it,
 * so it would detect the close only at the first write.
 */
void entry_request_check_connections(void *ctx)
{
	ks_entry_t *entry = ctx;

	KS_LIST_FOREACH_SAFE (it, tmp, &entry->requests) {
		struct entry_request *request =
			KS_CONTAINER_OF(it, struct entry_request, node);

		if (request->phase == ENTRY_DONE || !request->req ||
		    request->req->version >= 0x200 || !request->is_idempotent ||
		    !is_closed_by_peer(request->req))
			continue;
		request->caller_closed = true;
		entry_request_fail(request, KS_ERROR_DEADLINE_EXCEEDED, 0,
				   "the caller has closed the connection");
	}
	ks_timer_set(&entry->connection_check_timer, CONNECTION_CHECK_US);
}

/*
 * A non-idempotent attempt keeps running, so that its response can be stored.
 */
static void on_sent_deadline(struct entry_request *request)
{
	if (request->is_idempotent || !request->attempt) {
		entry_request_fail(request, KS_ERROR_DEADLINE_EXCEEDED, 0,
				   NULL);
		return;
	}
	if (request->attempt->upstream->is_link_lost) {
		request->may_have_run = true;
		entry_request_fail(request, KS_ERROR_OUTCOME_UNKNOWN, 0, NULL);
		return;
	}
	if (!request->req || request->responded)
		return;
	request->responded = true;
	entry_response_send_error(request->req, KS_ERROR_OUTCOME_UNKNOWN, NULL,
				  &request->id, 0);
}

static void on_deadline(void *ctx)
{
	struct entry_request *request = ctx;

	switch (request->phase) {
	case ENTRY_SENT:
		on_sent_deadline(request);
		break;
	case ENTRY_CLAIMING:
		/* The ledger has the same deadline and reports the error. */
		break;
	default:
		entry_request_fail(request, KS_ERROR_DEADLINE_NOT_RUN, 0, NULL);
		break;
	}
}

static void request_admission(struct entry_request *request);

static void on_claim_dispatch(void *ctx, uint32_t attempt)
{
	struct entry_request *request = ctx;

	request->attempt_number = attempt;
	request->phase = ENTRY_NEW;
	request_admission(request);
}

static void on_claim_replay(void *ctx, int status, ks_str_t content_type,
			    ks_str_t body)
{
	struct entry_request *request = ctx;

	request->claim = NULL;
	request->responded = true;
	entry_request_complete(request, "replayed");
	entry_response_send_replay(request, status, content_type, body);
}

static void on_claim_fail(void *ctx, ks_error_kind_t kind)
{
	struct entry_request *request = ctx;

	request->claim = NULL;
	entry_request_fail(request, kind, 0, NULL);
}

static const ks_ledger_events_t claim_events = {
	.dispatch = on_claim_dispatch,
	.replay = on_claim_replay,
	.fail = on_claim_fail,
};

static void begin_claim(struct entry_request *request)
{
	uint8_t fingerprint[KS_FINGERPRINT_SIZE];
	ks_entry_t *entry = request->entry;
	ks_str_t path = { request->req->path.base, request->req->path.len };
	int64_t left = request->deadline_us - ks_loop_now(entry->loop);

	ks_claim_fingerprint(fingerprint, ks_http_req_method(request->req),
			     path, ks_http_req_body(request->req));
	request->phase = ENTRY_CLAIMING;
	request->claim =
		ks_ledger_begin(entry->ledger, &request->key,
				ks_str_from(request->tenant->name), fingerprint,
				&request->id, left, &claim_events, request);
}

/**
 * entry_request_admitted() - send a request that was admitted
 */
void entry_request_admitted(struct entry_request *request)
{
	if (request->phase == ENTRY_QUEUED)
		request->group->queued--;
	request->phase = ENTRY_SENT;
	entry_attempt_dispatch(request);
}

/**
 * entry_request_refuse() - fail a queued request that admission refused
 */
void entry_request_refuse(struct entry_request *request, ks_error_kind_t kind,
			  int64_t retry_after_us)
{
	request->has_ticket = false;
	entry_request_fail(request, kind, retry_after_us, NULL);
}

static void request_admission(struct entry_request *request)
{
	struct entry_group *group = request->group;
	ks_ticket_t *ticket = &request->ticket;
	int64_t retry_after_us = 0;

	ticket->tenant = request->tenant->name;
	ticket->deadline_us = request->deadline_us;
	ticket->priority = request->priority;
	ticket->ctx = request;
	entry_group_fill_ticket(group, request, ticket);
	ks_list_init(&ticket->node);
	if (request->entry->policy != KS_ROUTING_EXPECTED_FINISH) {
		entry_request_admitted(request);
		return;
	}
	entry_group_update_capacity(group);
	switch (ks_admission_arrive(group->admission, ticket,
				    ks_loop_now(request->entry->loop),
				    &retry_after_us)) {
	case KS_ADMIT:
		request->has_ticket = true;
		entry_request_admitted(request);
		break;
	case KS_ADMIT_QUEUE:
		request->has_ticket = true;
		request->phase = ENTRY_QUEUED;
		group->queued++;
		entry_group_admit_queued(group);
		break;
	case KS_ADMIT_REFUSE:
		entry_request_fail(request, KS_ERROR_OVERLOADED, retry_after_us,
				   NULL);
		break;
	}
}

/**
 * entry_request_begin() - start serving a request
 * @route: NULL for a completion
 * @chat: a chat completion
 */
void entry_request_begin(ks_entry_t *entry, h2o_req_t *req,
			 const ks_route_settings_t *route, bool chat)
{
	struct entry_request *request = new_request(entry, req);
	GError *error = NULL;

	request->route = route;
	if (!entry_read_request(request, chat, &error)) {
		entry_request_fail(request, ks_error_kind(error), 0,
				   error->message);
		g_error_free(error);
		return;
	}
	request->class =
		entry_tenant_class(entry, request->tenant, request->priority);
	request->class->in_flight++;
	request->tenant->in_flight++;
	entry->n_active++;
	ks_retry_budget_deposit(&entry->retries);
	ks_timer_set(&request->deadline,
		     request->deadline_us - request->start_us);
	ks_admission_set_weight(request->group->admission,
				request->tenant->name, request->tenant->weight);
	entry_plan_record_demand(request);
	/*
	 * Claim first: waiting for the store must not occupy an admission slot.
	 */
	if (request->key.text.len)
		begin_claim(request);
	else
		request_admission(request);
}
