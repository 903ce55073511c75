/* The entry's side of the attempts on a link. */
#include "link_client.h"

static bool is_response_frame(const ks_frame_t *frame, uint64_t *seq,
			      size_t *body_len)
{
	*body_len = 0;
	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_HEAD:
		*seq = frame->head->seq;
		return true;
	case KS__LINK__FRAME__KIND_BODY:
		*seq = frame->body->seq;
		*body_len = frame->body->data.len;
		return true;
	case KS__LINK__FRAME__KIND_END:
		*seq = frame->end->seq;
		return true;
	default:
		return false;
	}
}

static void send_ack(const ks_attempt_t *attempt, uint64_t seq, bool finished)
{
	Ks__Link__Ack ack = KS__LINK__ACK__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	ack.id = ks_frame_id(&attempt->key.id);
	ack.attempt = attempt->key.attempt;
	ack.seq = seq;
	ack.finished = finished;
	frame.kind_case = KS__LINK__FRAME__KIND_ACK;
	frame.ack = &ack;
	ks_link_client_send_frame(attempt->link, &frame);
}

static void send_cancel(const ks_attempt_t *attempt)
{
	Ks__Link__Cancel cancel = KS__LINK__CANCEL__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	cancel.id = ks_frame_id(&attempt->key.id);
	cancel.attempt = attempt->key.attempt;
	frame.kind_case = KS__LINK__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	ks_link_client_send_frame(attempt->link, &frame);
}

/* Frees an attempt without an event. */
static void remove_attempt(ks_attempt_t *attempt)
{
	g_hash_table_remove(attempt->link->attempts, &attempt->key);
	ks_stream_receiver_deinit(&attempt->receiver);
	g_free(attempt);
}

/**
 * ks_attempt_finish() - end an attempt with its last event
 * @kind: KS_ERROR_NONE when the response is complete
 */
void ks_attempt_finish(ks_attempt_t *attempt, ks_error_kind_t kind,
		       ks_str_t message)
{
	const ks_attempt_events_t *events = attempt->events;
	bool abandoned = attempt->abandoned;
	void *ctx = attempt->ctx;

	remove_attempt(attempt);
	if (!abandoned)
		events->end(ctx, kind, message);
}

static void finish_not_started(ks_attempt_t *attempt,
			       const Ks__Link__NotStarted *message)
{
	const ks_attempt_events_t *events = attempt->events;
	bool abandoned = attempt->abandoned;
	void *ctx = attempt->ctx;

	remove_attempt(attempt);
	if (!abandoned)
		events->not_started(ctx, ks_error_kind_from_code(message->code),
				    message->retry_after_ms * KS_USEC_PER_MSEC);
}

/*
 * Ends an attempt whose response is invalid. Its remaining frames are received
 * and acknowledged without events, so that the upstream process can free them.
 */
static void reject_response(ks_attempt_t *attempt, ks_str_t message)
{
	const ks_attempt_events_t *events = attempt->events;
	void *ctx = attempt->ctx;

	ks_attempt_abandon(attempt);
	events->end(ctx, KS_ERROR_UPSTREAM_FAILED, message);
}

static void on_head(ks_attempt_t *attempt, const Ks__Link__Head *head)
{
	ks_header_t *headers;

	if (attempt->abandoned)
		return;
	if (head->status < KS_HTTP_MIN_STATUS ||
	    head->status > KS_HTTP_MAX_STATUS) {
		reject_response(attempt,
				KS_STR("the answer has a wrong status"));
		return;
	}
	headers = ks_frame_headers_view(head->headers, head->n_headers);
	if (ks_headers_are_valid(headers, head->n_headers))
		attempt->events->head(attempt->ctx, (int)head->status, headers,
				      head->n_headers);
	else
		reject_response(attempt,
				KS_STR("the answer has a malformed field"));
	g_free(headers);
}

/* A response is complete only if every byte that was sent has arrived. */
static void on_end(ks_attempt_t *attempt, const Ks__Link__End *end)
{
	ks_error_kind_t kind = KS_ERROR_NONE;
	ks_str_t message = ks_str_from(end->message);

	if (*end->code)
		kind = ks_error_kind_from_code(end->code);
	if (kind == KS_ERROR_NONE &&
	    end->total_bytes != attempt->receiver.body_bytes) {
		kind = KS_ERROR_UPSTREAM_FAILED;
		message = KS_STR("the answer has the wrong length");
	}
	ks_frame_load_read(&attempt->link->load, end->load);
	send_ack(attempt, end->seq, true);
	ks_attempt_finish(attempt, kind, message);
}

static void on_response_frame(ks_attempt_t *attempt, const ks_frame_t *frame)
{
	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_HEAD:
		on_head(attempt, frame->head);
		break;
	case KS__LINK__FRAME__KIND_BODY:
		if (attempt->abandoned)
			ks_attempt_consume(attempt, frame->body->data.len);
		else
			attempt->events->body(attempt->ctx,
					      ks_frame_str(frame->body->data));
		break;
	default:
		on_end(attempt, frame->end);
		break;
	}
}

/**
 * ks_attempt_receive() - process a frame of an attempt
 */
void ks_attempt_receive(ks_attempt_t *attempt, const ks_frame_t *frame)
{
	size_t body_len;
	uint64_t seq;

	if (frame->kind_case == KS__LINK__FRAME__KIND_NOT_STARTED) {
		ks_frame_load_read(&attempt->link->load,
				   frame->not_started->load);
		finish_not_started(attempt, frame->not_started);
		return;
	}
	if (frame->kind_case == KS__LINK__FRAME__KIND_ACCEPTED) {
		ks_frame_load_read(&attempt->link->load, frame->accepted->load);
		if (!attempt->accepted && !attempt->abandoned)
			attempt->events->accepted(attempt->ctx);
		attempt->accepted = true;
		return;
	}
	if (!is_response_frame(frame, &seq, &body_len))
		return;
	switch (ks_stream_receiver_accept(&attempt->receiver, seq, body_len)) {
	case KS_STREAM_NEW:
		on_response_frame(attempt, frame);
		break;
	case KS_STREAM_DUPLICATE:
		break;
	case KS_STREAM_GAP:
		/* Sessions deliver in order, so a frame was lost: reconnect. */
		ks_link_client_disconnected(attempt->link);
		break;
	}
}

/**
 * ks_attempt_resume() - continue an attempt on a new session
 *
 * Tells the upstream process the last frame received, and sends a pending
 * cancellation again.
 */
void ks_attempt_resume(ks_attempt_t *attempt)
{
	Ks__Link__Resume resume = KS__LINK__RESUME__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	resume.id = ks_frame_id(&attempt->key.id);
	resume.attempt = attempt->key.attempt;
	resume.seq = attempt->receiver.received;
	frame.kind_case = KS__LINK__FRAME__KIND_RESUME;
	frame.resume = &resume;
	ks_link_client_send_frame(attempt->link, &frame);
	if (attempt->cancelled)
		send_cancel(attempt);
}

static void fill_request(Ks__Link__Request *message,
			 const ks_attempt_request_t *request)
{
	message->id = ks_frame_id(&request->key.id);
	message->attempt = request->key.attempt;
	message->body = ks_frame_bytes(request->body);
	message->timeout_ms =
		(uint64_t)MAX(request->timeout_us / KS_USEC_PER_MSEC, 1);
	message->priority = request->priority;
	message->idempotent = request->idempotent;
	message->prompt_tokens = request->prompt_tokens;
	message->output_tokens = request->output_tokens;
	message->method = ks_str_dup(request->method);
	message->path = ks_str_dup(request->path);
	message->model = ks_str_dup(request->model);
	message->tenant = ks_str_dup(request->tenant);
}

static bool send_request(ks_link_client_t *link,
			 const ks_attempt_request_t *request)
{
	Ks__Link__Request message = KS__LINK__REQUEST__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	ks_frame_headers_t headers;
	bool sent;

	fill_request(&message, request);
	ks_frame_headers_init(&headers, request->headers, request->n_headers);
	message.headers = headers.list;
	message.n_headers = headers.count;
	message.upstream_incarnation = ks_frame_id(&link->peer_incarnation);
	frame.kind_case = KS__LINK__FRAME__KIND_REQUEST;
	frame.request = &message;
	sent = ks_link_client_send_frame(link, &frame);
	ks_frame_headers_deinit(&headers);
	g_free(message.method);
	g_free(message.path);
	g_free(message.model);
	g_free(message.tenant);
	return sent;
}

/**
 * ks_link_client_send() - start an attempt
 * @request: copied
 * @events: must outlive the attempt
 *
 * Return: the attempt, which belongs to the link and is valid until its last
 * event; NULL if the link is down, in which case the request was not sent.
 */
ks_attempt_t *ks_link_client_send(ks_link_client_t *link,
				  const ks_attempt_request_t *request,
				  const ks_attempt_events_t *events, void *ctx)
{
	ks_attempt_t *attempt;

	if (!link->up || !send_request(link, request))
		return NULL;
	attempt = g_new0(ks_attempt_t, 1);
	attempt->link = link;
	attempt->key = request->key;
	attempt->events = events;
	attempt->ctx = ctx;
	attempt->idempotent = request->idempotent;
	ks_stream_receiver_init(&attempt->receiver);
	g_hash_table_insert(link->attempts, &attempt->key, attempt);
	return attempt;
}

/**
 * ks_attempt_consume() - report body bytes written to the caller's connection
 * @len: number of bytes
 *
 * Consumed frames are acknowledged, which lets the upstream process send more.
 */
void ks_attempt_consume(ks_attempt_t *attempt, size_t len)
{
	uint64_t seq;

	ks_stream_receiver_consume(&attempt->receiver, len);
	if (ks_stream_receiver_ack_due(&attempt->receiver, &seq))
		send_ack(attempt, seq, false);
}

/**
 * ks_attempt_cancel() - ask the upstream process to cancel the request
 *
 * The last event is still called: not_started if the request was never
 * executed, otherwise end.
 */
void ks_attempt_cancel(ks_attempt_t *attempt)
{
	if (attempt->cancelled)
		return;
	attempt->cancelled = true;
	if (attempt->link->up)
		send_cancel(attempt);
}

/**
 * ks_attempt_abandon() - stop the events of an attempt
 *
 * An idempotent attempt is cancelled. Any other is executed to its end, and its
 * response is discarded.
 */
void ks_attempt_abandon(ks_attempt_t *attempt)
{
	attempt->abandoned = true;
	ks_attempt_consume(attempt, SIZE_MAX);
	if (attempt->idempotent)
		ks_attempt_cancel(attempt);
}
