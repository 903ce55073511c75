/*
 * HTTP responses of the fake engine: a completion as one JSON object or as a
 * stream of server-sent events, and other JSON responses.
 */
#include "engine.h"

#include <sys/socket.h>

/**
 * struct engine_reply - response to a completion; freed with its request
 * @seq: NULL once the response is complete or aborted
 * @pending: data to send after h2o has sent @sending
 * @sending: data passed to h2o_send(), valid until h2o calls on_proceed()
 * @started: the response headers were sent
 * @busy: @sending is in use
 * @last: @pending ends with the end of the response
 * @aborted: close the connection before the end of the response
 * @closed: the client has disconnected
 */
struct engine_reply {
	h2o_generator_t super;
	h2o_req_t *req;
	struct engine_sequence *seq;
	GString *pending;
	GString *sending;
	bool started;
	bool busy;
	bool last;
	bool aborted;
	bool closed;
};

static void dispose_reply(void *data)
{
	struct engine_reply *reply = data;

	if (reply->seq)
		reply->seq->reply = NULL;
	g_string_free(reply->pending, TRUE);
	g_string_free(reply->sending, TRUE);
}

static void send_pending(struct engine_reply *reply)
{
	GString *next = reply->pending;
	h2o_iovec_t buf;

	if (reply->busy || (next->len == 0 && !reply->last && !reply->aborted))
		return;
	reply->pending = reply->sending;
	reply->sending = next;
	g_string_truncate(reply->pending, 0);
	buf = h2o_iovec_init(next->str, next->len);
	reply->busy = true;
	h2o_send(reply->req, &buf, 1,
		 reply->aborted ? H2O_SEND_STATE_ERROR
		 : reply->last	? H2O_SEND_STATE_FINAL
				: H2O_SEND_STATE_IN_PROGRESS);
}

static void on_proceed(h2o_generator_t *self, h2o_req_t *req G_GNUC_UNUSED)
{
	struct engine_reply *reply = (struct engine_reply *)self;

	reply->busy = false;
	send_pending(reply);
}

static void on_stop(h2o_generator_t *self, h2o_req_t *req G_GNUC_UNUSED)
{
	struct engine_reply *reply = (struct engine_reply *)self;

	reply->closed = true;
}

/**
 * engine_reply_attach() - create the response for a sequence
 */
void engine_reply_attach(struct engine_sequence *seq, h2o_req_t *req)
{
	struct engine_reply *reply =
		h2o_mem_alloc_shared(&req->pool, sizeof(*reply), dispose_reply);

	memset(reply, 0, sizeof(*reply));
	reply->super.proceed = on_proceed;
	reply->super.stop = on_stop;
	reply->req = req;
	reply->seq = seq;
	reply->pending = g_string_new(NULL);
	reply->sending = g_string_new(NULL);
	seq->reply = reply;
}

/*
 * h2o does not detect that a client disconnects while its request is pending,
 * so this peeks at the socket.
 */
static bool is_peer_disconnected(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	char byte;
	ssize_t n;

	if (!sock)
		return false;
	n = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/**
 * engine_reply_is_closed() - whether the client has disconnected
 * @reply: NULL after h2o has disposed of the request
 */
bool engine_reply_is_closed(const struct engine_reply *reply)
{
	return !reply || reply->closed || is_peer_disconnected(reply->req);
}

static void start_stream(struct engine_reply *reply)
{
	h2o_req_t *req = reply->req;

	if (reply->started)
		return;
	reply->started = true;
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("text/event-stream"));
	h2o_start_response(req, &reply->super);
}

static void append_id(GString *out, const struct engine_sequence *seq,
		      const char *object)
{
	g_string_append_printf(
		out,
		"{\"id\":\"cmpl-%" G_GUINT64_FORMAT
		"\",\"object\":\"%s\",\"created\":0,\"model\":%s,",
		seq->id, object, seq->model_json);
}

/*
 * completion_tokens includes the tokens before the one resumed from. After an
 * import, cached_tokens counts only tokens that the source engine had cached
 * before it prefilled the prompt.
 */
static void append_usage(GString *out, const struct engine_sequence *seq)
{
	unsigned n_output = seq->resume_from + seq->n_generated;

	g_string_append_printf(
		out,
		"\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
		"\"total_tokens\":%u,"
		"\"prompt_tokens_details\":{\"cached_tokens\":%u}}",
		seq->prompt_tokens, n_output, seq->prompt_tokens + n_output,
		seq->imported
			? MIN(seq->source_cached_tokens, seq->cached_tokens)
			: seq->cached_tokens);
}

static const char *stream_object(const struct engine_sequence *seq)
{
	return seq->chat ? "chat.completion.chunk" : "text_completion";
}

/* As in the OpenAI API, the chunk of the last token has a finish_reason. */
static void append_chunk(GString *out, const struct engine_sequence *seq,
			 unsigned token, bool last)
{
	const char *reason = last ? "\"length\"" : "null";

	g_string_append(out, "data: ");
	append_id(out, seq, stream_object(seq));
	g_string_append_printf(out,
			       seq->chat ? "\"choices\":[{\"index\":0,"
					   "\"delta\":{\"content\":\"t%u \"},"
					   "\"finish_reason\":%s}]}\n\n"
					 : "\"choices\":[{\"index\":0,"
					   "\"text\":\"t%u \","
					   "\"finish_reason\":%s}]}\n\n",
			       token, reason);
}

/**
 * engine_reply_token() - add an output token to the response
 * @last: the token is the last one
 */
void engine_reply_token(struct engine_sequence *seq, unsigned token, bool last)
{
	struct engine_reply *reply = seq->reply;

	if (!seq->stream) {
		g_string_append_printf(seq->text, "t%u ", token);
		return;
	}
	if (!reply || reply->closed)
		return;
	start_stream(reply);
	append_chunk(reply->pending, seq, token, last);
	send_pending(reply);
}

static void finish_stream(struct engine_sequence *seq)
{
	struct engine_reply *reply = seq->reply;
	GString *out = reply->pending;

	start_stream(reply);
	g_string_append(out, "data: ");
	append_id(out, seq, stream_object(seq));
	g_string_append(out, "\"choices\":[],");
	append_usage(out, seq);
	g_string_append(out, "}\n\ndata: [DONE]\n\n");
	reply->last = true;
	send_pending(reply);
}

static void finish_unary(struct engine_sequence *seq)
{
	GString *out = g_string_new(NULL);

	append_id(out, seq, seq->chat ? "chat.completion" : "text_completion");
	if (seq->chat)
		g_string_append_printf(
			out,
			"\"choices\":[{\"index\":0,\"message\":"
			"{\"role\":\"assistant\",\"content\":\"%s\"},"
			"\"finish_reason\":\"length\"}],",
			seq->text->str);
	else
		g_string_append_printf(out,
				       "\"choices\":[{\"index\":0,"
				       "\"text\":\"%s\","
				       "\"finish_reason\":\"length\"}],",
				       seq->text->str);
	append_usage(out, seq);
	g_string_append_c(out, '}');
	ks_http_reply(seq->reply->req, 200, "application/json",
		      (ks_str_t){ out->str, out->len });
	g_string_free(out, TRUE);
}

/**
 * engine_reply_finish() - complete the response
 */
void engine_reply_finish(struct engine_sequence *seq)
{
	struct engine_reply *reply = seq->reply;

	if (!reply || reply->closed)
		return;
	reply->seq = NULL;
	if (seq->stream)
		finish_stream(seq);
	else
		finish_unary(seq);
}

/**
 * engine_reply_sequence_json() - respond to a sequence's request with JSON
 * @root: JSON value; its reference is consumed
 */
void engine_reply_sequence_json(struct engine_sequence *seq, int status,
				json_t *root)
{
	struct engine_reply *reply = seq->reply;

	if (!reply || reply->closed) {
		json_decref(root);
		return;
	}
	reply->seq = NULL;
	engine_reply_json(reply->req, status, root);
}

/**
 * engine_reply_abort() - end the response after the client has disconnected
 *
 * Makes h2o close its side of the connection as well.
 */
void engine_reply_abort(struct engine_sequence *seq)
{
	struct engine_reply *reply = seq->reply;

	if (!reply)
		return;
	reply->seq = NULL;
	if (reply->closed)
		return;
	if (reply->started) {
		reply->aborted = true;
		send_pending(reply);
		return;
	}
	reply->req->http1_is_persistent = 0;
	ks_http_reply(reply->req, 499, "text/plain", KS_STR(""));
}

/**
 * engine_reply_error() - respond with an error object
 * @code: machine-readable error code
 */
void engine_reply_error(h2o_req_t *req, int status, const char *code,
			const char *message)
{
	engine_reply_json(req, status,
			  json_pack("{s:{s:s,s:s}}", "error", "code", code,
				    "message", message));
}

/**
 * engine_reply_json() - respond with a JSON value
 * @root: JSON value; its reference is consumed
 */
void engine_reply_json(h2o_req_t *req, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	ks_http_reply(req, status, "application/json", ks_str_from(text));
	free(text);
	json_decref(root);
}
