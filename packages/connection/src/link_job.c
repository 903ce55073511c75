/* Jobs: the upstream process's side of the attempts on a link. */
#include "link_server.h"

#include <string.h>

static void fill_key(const ks_job_t *job, ProtobufCBinaryData *id,
		     uint32_t *attempt)
{
	*id = ks_frame_id(&job->key.id);
	*attempt = job->key.attempt;
}

static void send_accepted(const ks_job_t *job)
{
	Ks__Link__Accepted accepted = KS__LINK__ACCEPTED__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	Ks__Link__Load load;

	ks_frame_load_fill(&load, &job->peer->server->load);
	accepted.load = &load;
	fill_key(job, &accepted.id, &accepted.attempt);
	frame.kind_case = KS__LINK__FRAME__KIND_ACCEPTED;
	frame.accepted = &accepted;
	ks_link_peer_send(job->peer, &frame);
}

/**
 * ks_link_peer_send_not_started() - report that an attempt was never executed
 * and never will be
 */
void ks_link_peer_send_not_started(const ks_link_peer_t *peer,
				   const ks_attempt_key_t *key,
				   ks_error_kind_t kind, int64_t retry_after_us)
{
	Ks__Link__NotStarted message = KS__LINK__NOT_STARTED__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	Ks__Link__Load load;

	ks_frame_load_fill(&load, &peer->server->load);
	message.load = &load;
	message.id = ks_frame_id(&key->id);
	message.attempt = key->attempt;
	message.code = (char *)ks_error_answer(kind)->code;
	message.retry_after_ms = (uint32_t)(retry_after_us / KS_USEC_PER_MSEC);
	frame.kind_case = KS__LINK__FRAME__KIND_NOT_STARTED;
	frame.not_started = &message;
	ks_link_peer_send(peer, &frame);
}

static void send_pending(ks_job_t *job)
{
	const ks_transport_t *transport = &job->peer->server->transport;
	ks_str_t identity, message;
	GBytes *frame;

	identity.data = g_bytes_get_data(job->peer->identity, &identity.len);
	while ((frame = ks_stream_sender_next(&job->sender))) {
		message.data = g_bytes_get_data(frame, &message.len);
		transport->send(transport->impl, identity, message);
	}
}

static void push_frame(ks_job_t *job, const ks_frame_t *frame)
{
	if (job->orphaned)
		return;
	ks_stream_sender_push(&job->sender, ks_frame_encode(frame));
	send_pending(job);
}

/**
 * ks_job_free() - free a job and its unacknowledged frames
 */
void ks_job_free(ks_job_t *job)
{
	ks_stream_sender_deinit(&job->sender);
	g_free(job);
}

static void remove_job(ks_job_t *job)
{
	g_hash_table_remove(job->peer->jobs, &job->key);
	ks_job_free(job);
}

/**
 * ks_job_notify_cancelled() - call the cancelled event, at most once
 */
void ks_job_notify_cancelled(ks_job_t *job)
{
	const ks_link_server_t *server = job->peer->server;

	if (job->ended || job->cancel_notified)
		return;
	job->cancel_notified = true;
	server->events->cancelled(server->ctx, job);
}

static void orphan_job(ks_job_t *job)
{
	if (job->ended) {
		remove_job(job);
		return;
	}
	job->orphaned = true;
	ks_stream_sender_drop_unsent(&job->sender);
	if (job->idempotent)
		ks_job_notify_cancelled(job);
}

/**
 * ks_job_drop_unresumed() - drop the jobs that the entry did not resume
 *
 * On a new session, an entry resumes all its attempts before it sends its first
 * heartbeat. It has ended the attempt of any other job, and the acknowledgement
 * that would have freed the job was lost with an earlier session.
 */
void ks_job_drop_unresumed(ks_link_peer_t *peer)
{
	GList *jobs = g_hash_table_get_values(peer->jobs);

	for (GList *it = jobs; it; it = it->next) {
		ks_job_t *job = it->data;

		if (job->session != peer->session && !job->orphaned)
			orphan_job(job);
	}
	g_list_free(jobs);
}

static bool is_for_current_record(const ks_link_peer_t *peer,
				  const Ks__Link__Request *message)
{
	ks_id_t record_id;

	return ks_id_from_bytes(&record_id, message->upstream_incarnation.data,
				message->upstream_incarnation.len) &&
	       ks_id_equal(&record_id, &peer->record_id);
}

static void pass_request(ks_job_t *job, const Ks__Link__Request *message)
{
	const ks_link_server_t *server = job->peer->server;
	ks_header_t *headers =
		ks_frame_headers_view(message->headers, message->n_headers);
	ks_attempt_request_t request = {
		.key = job->key,
		.method = ks_str_from(message->method),
		.path = ks_str_from(message->path),
		.headers = headers,
		.n_headers = message->n_headers,
		.body = ks_frame_str(message->body),
		.timeout_us = (int64_t)MIN(message->timeout_ms, UINT32_MAX) *
			      KS_USEC_PER_MSEC,
		.priority = message->priority,
		.idempotent = message->idempotent,
		.model = ks_str_from(message->model),
		.tenant = ks_str_from(message->tenant),
		.prompt_tokens = message->prompt_tokens,
		.output_tokens = message->output_tokens,
	};

	server->events->request(server->ctx, job, &request);
	g_free(headers);
}

static void on_request(ks_link_peer_t *peer, const ks_attempt_key_t *key,
		       const Ks__Link__Request *message)
{
	ks_job_t *job;

	if (g_hash_table_contains(peer->jobs, key))
		return;
	if (!is_for_current_record(peer, message)) {
		ks_link_peer_send_not_started(peer, key, KS_ERROR_NO_UPSTREAM,
					      0);
		return;
	}
	job = g_new0(ks_job_t, 1);
	job->peer = peer;
	job->key = *key;
	job->idempotent = message->idempotent;
	job->session = peer->session;
	ks_stream_sender_init(&job->sender);
	g_hash_table_insert(peer->jobs, &job->key, job);
	pass_request(job, message);
}

static void on_ack(ks_job_t *job, const Ks__Link__Ack *ack)
{
	if (!ks_stream_sender_ack(&job->sender, ack->seq))
		return;
	if (ack->finished && job->ended)
		remove_job(job);
	else
		send_pending(job);
}

static void on_resume(ks_job_t *job, const Ks__Link__Resume *resume)
{
	job->session = job->peer->session;
	if (!ks_stream_sender_rewind(&job->sender, resume->seq))
		return;
	if (job->accepted)
		send_accepted(job);
	send_pending(job);
}

/**
 * ks_job_receive() - process a frame of an attempt
 *
 * A Resume or Cancel of an unknown attempt is answered with NotStarted: the
 * request was refused or never received. It cannot arrive later either, as
 * sessions deliver in order and frames of earlier sessions are dropped.
 */
void ks_job_receive(ks_link_peer_t *peer, const ks_frame_t *frame)
{
	ks_attempt_key_t key;
	ks_job_t *job;

	if (!ks_frame_key(frame, &key))
		return;
	if (frame->kind_case == KS__LINK__FRAME__KIND_REQUEST) {
		on_request(peer, &key, frame->request);
		return;
	}
	job = g_hash_table_lookup(peer->jobs, &key);
	switch (frame->kind_case) {
	case KS__LINK__FRAME__KIND_ACK:
		if (job)
			on_ack(job, frame->ack);
		break;
	case KS__LINK__FRAME__KIND_RESUME:
		if (job)
			on_resume(job, frame->resume);
		else
			ks_link_peer_send_not_started(peer, &key,
						      KS_ERROR_NO_UPSTREAM, 0);
		break;
	case KS__LINK__FRAME__KIND_CANCEL:
		if (job)
			ks_job_notify_cancelled(job);
		else
			ks_link_peer_send_not_started(peer, &key,
						      KS_ERROR_NO_UPSTREAM, 0);
		break;
	default:
		break;
	}
}

/**
 * ks_job_set_context() - attach the owner's state to a job
 */
void ks_job_set_context(ks_job_t *job, void *ctx)
{
	job->ctx = ctx;
}

/**
 * ks_job_context() - the owner's state
 */
void *ks_job_context(const ks_job_t *job)
{
	return job->ctx;
}

/**
 * ks_job_key() - request id and attempt
 */
const ks_attempt_key_t *ks_job_key(const ks_job_t *job)
{
	return &job->key;
}

/**
 * ks_job_accept() - report that the request is being forwarded
 */
void ks_job_accept(ks_job_t *job)
{
	job->accepted = true;
	send_accepted(job);
}

/**
 * ks_job_refuse() - report that the request was never forwarded and never will
 * be
 * @kind: reason
 * @retry_after_us: delay after which a retry may succeed; 0 if not known
 *
 * Frees the job.
 */
void ks_job_refuse(ks_job_t *job, ks_error_kind_t kind, int64_t retry_after_us)
{
	ks_link_peer_send_not_started(job->peer, &job->key, kind,
				      retry_after_us);
	remove_job(job);
}

/**
 * ks_job_head() - send the status and headers of the response
 */
void ks_job_head(ks_job_t *job, int status, const ks_header_t *headers,
		 size_t n_headers)
{
	Ks__Link__Head head = KS__LINK__HEAD__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	ks_frame_headers_t copies;

	ks_frame_headers_init(&copies, headers, n_headers);
	fill_key(job, &head.id, &head.attempt);
	head.seq = job->sender.last + 1;
	head.status = (uint32_t)status;
	head.headers = copies.list;
	head.n_headers = copies.count;
	frame.kind_case = KS__LINK__FRAME__KIND_HEAD;
	frame.head = &head;
	push_frame(job, &frame);
	ks_frame_headers_deinit(&copies);
}

/**
 * ks_job_body() - send the next bytes of the response body
 *
 * Return: false if the unacknowledged frames would exceed max_buffer, since the
 * caller reads too slowly. The job has then been ended with
 * KS_ERROR_SLOW_READER, and the owner must not use it.
 */
bool ks_job_body(ks_job_t *job, ks_str_t data)
{
	Ks__Link__Body body = KS__LINK__BODY__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;

	if (job->sender.bytes + data.len >
	    job->peer->server->options.max_buffer) {
		ks_stream_sender_drop_unsent(&job->sender);
		ks_job_end(job, KS_ERROR_SLOW_READER,
			   KS_STR("the caller reads too slowly"));
		return false;
	}
	fill_key(job, &body.id, &body.attempt);
	body.seq = job->sender.last + 1;
	body.data = ks_frame_bytes(data);
	job->body_bytes += data.len;
	frame.kind_case = KS__LINK__FRAME__KIND_BODY;
	frame.body = &body;
	push_frame(job, &frame);
	return true;
}

/**
 * ks_job_end() - end the response
 * @kind: KS_ERROR_NONE when it is complete
 *
 * The owner must not use the job after this call. Its frames are kept until the
 * entry has acknowledged them.
 */
void ks_job_end(ks_job_t *job, ks_error_kind_t kind, ks_str_t message)
{
	Ks__Link__End end = KS__LINK__END__INIT;
	ks_frame_t frame = KS__LINK__FRAME__INIT;
	char *text = ks_str_dup(message);
	Ks__Link__Load load;

	ks_frame_load_fill(&load, &job->peer->server->load);
	end.load = &load;
	fill_key(job, &end.id, &end.attempt);
	end.seq = job->sender.last + 1;
	if (kind != KS_ERROR_NONE)
		end.code = (char *)ks_error_answer(kind)->code;
	end.message = text;
	end.total_bytes = job->body_bytes;
	frame.kind_case = KS__LINK__FRAME__KIND_END;
	frame.end = &end;
	job->ended = true;
	job->ctx = NULL;
	push_frame(job, &frame);
	g_free(text);
	if (job->orphaned)
		remove_job(job);
}
