/*
 * Relays the server-sent events of a completion. Only complete events are
 * relayed, so that another upstream can resume the stream after the last
 * delivered token.
 */
#include "entry_internal.h"

#include <jansson.h>

/* An event holds one token, so a larger one is not a completion's event. */
#define MAX_EVENT_BYTES (256 * 1024)

void entry_stream_init(struct entry_stream *stream)
{
	stream->partial = g_string_new(NULL);
	stream->out = g_string_new(NULL);
	stream->sending = g_string_new(NULL);
}

void entry_stream_deinit(struct entry_stream *stream)
{
	g_string_free(stream->partial, TRUE);
	g_string_free(stream->out, TRUE);
	g_string_free(stream->sending, TRUE);
}

/* Return: length of the first event with its blank line; 0 if incomplete. */
static size_t event_len(const char *data, size_t len)
{
	const char *at = data;
	const char *end = data + len;

	while ((at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		if (at < end && *at == '\n')
			return (size_t)(at + 1 - data);
		if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
			return (size_t)(at + 2 - data);
	}
	return 0;
}

static ks_str_t event_payload(ks_str_t event)
{
	ks_str_t payload;
	const char *eol;

	if (!ks_str_has_prefix(event, KS_STR("data:")))
		return (ks_str_t){ NULL, 0 };
	payload = (ks_str_t){ event.data + 5, event.len - 5 };
	if (payload.len && *payload.data == ' ') {
		payload.data++;
		payload.len--;
	}
	eol = memchr(payload.data, '\n', payload.len);
	if (eol)
		payload.len = (size_t)(eol - payload.data);
	if (payload.len && payload.data[payload.len - 1] == '\r')
		payload.len--;
	return payload;
}

/**
 * entry_json_load() - parse what an upstream has sent
 *
 * Return: NULL if it is no JSON, or too long to be parsed.
 */
json_t *entry_json_load(ks_str_t text)
{
	if (text.len <= ENTRY_MAX_JSON_BYTES)
		return json_loadb(text.data, text.len, 0, NULL);
	ks_log(KS_LOG_HTTP, KS_LOG_INFO,
	       "a response is too long to be parsed bytes=%zu", text.len);
	return NULL;
}

/**
 * entry_stream_read_usage() - read the usage and finish_reason of an event or
 * of a buffered response
 * @text: JSON
 *
 * Return: whether it holds a token. The event with a finish_reason holds none:
 * engines send it after the last token.
 */
bool entry_stream_read_usage(struct entry_request *request, ks_str_t text)
{
	json_t *json = entry_json_load(text);
	json_t *usage = json_object_get(json, "usage");
	json_t *details = json_object_get(usage, "prompt_tokens_details");
	json_t *cached = json_object_get(details, "cached_tokens");
	json_t *output = json_object_get(usage, "completion_tokens");
	json_t *choices = json_object_get(json, "choices");
	json_t *reason =
		json_object_get(json_array_get(choices, 0), "finish_reason");
	bool has_token = json_array_size(choices) > 0;

	if (json_is_integer(cached))
		entry_attempt_record_cached(
			request, (uint32_t)CLAMP(json_integer_value(cached), 0,
						 UINT32_MAX));
	if (json_is_integer(output))
		request->output_tokens = (uint32_t)CLAMP(
			json_integer_value(output), 0, UINT32_MAX);
	if (json_is_string(reason)) {
		request->stream.finish_seen = true;
		has_token = false;
	}
	json_decref(json);
	return has_token;
}

static bool has_finish_reason(ks_str_t payload)
{
	static const char field[] = "\"finish_reason\"";
	const char *end = payload.data + payload.len;
	const char *at =
		memmem(payload.data, payload.len, field, sizeof(field) - 1);

	if (!at)
		return false;
	at += sizeof(field) - 1;
	while (at < end && (*at == ':' || g_ascii_isspace(*at)))
		at++;
	return at < end && *at == '"';
}

static bool has_token(struct entry_request *request, ks_str_t payload)
{
	if (!payload.len)
		return false;
	/* Parsing every event would cost more than all other processing. */
	if (!memmem(payload.data, payload.len, "\"usage\"", 7) &&
	    !has_finish_reason(payload))
		return true;
	return entry_stream_read_usage(request, payload);
}

/* Queues one event for the caller; [DONE] is held until the attempt ends. */
static void append_event(struct entry_request *request, ks_str_t event)
{
	struct entry_stream *stream = &request->stream;
	ks_str_t payload = event_payload(event);

	if (ks_str_equal(payload, KS_STR("[DONE]"))) {
		stream->done_seen = true;
		return;
	}
	if (has_token(request, payload)) {
		entry_attempt_record_token(request);
		stream->delivered++;
	}
	g_string_append_len(stream->out, event.data, (gssize)event.len);
}

static void flush(struct entry_request *request);

/**
 * entry_stream_receive() - process received bytes of a stream
 *
 * Flow control credit for the bytes of an incomplete event is returned at once,
 * for the rest when the caller's connection has taken them.
 *
 * Return: false if an event is too large.
 */
bool entry_stream_receive(struct entry_request *request, ks_str_t data)
{
	struct entry_stream *stream = &request->stream;
	size_t taken = 0;
	size_t len, rest;

	g_string_append_len(stream->partial, data.data, (gssize)data.len);
	while ((len = event_len(stream->partial->str + taken,
				stream->partial->len - taken))) {
		append_event(request,
			     (ks_str_t){ stream->partial->str + taken, len });
		taken += len;
	}
	g_string_erase(stream->partial, 0, (gssize)taken);
	rest = taken ? stream->partial->len : data.len;
	if (stream->partial->len > MAX_EVENT_BYTES)
		return false;
	stream->out_credit += data.len - rest;
	entry_attempt_consume(request, rest);
	flush(request);
	return true;
}

/**
 * entry_stream_reset_attempt() - drop the state of an attempt that has ended
 */
void entry_stream_reset_attempt(struct entry_request *request)
{
	struct entry_stream *stream = &request->stream;

	g_string_truncate(stream->partial, 0);
	stream->out_credit = 0;
	stream->sending_credit = 0;
}

/* h2o callback: the caller's connection has taken the bytes sent. */
static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct entry_caller *caller = (struct entry_caller *)generator;
	struct entry_request *request = caller->request;
	struct entry_stream *stream;

	(void)req;
	if (!request)
		return;
	stream = &request->stream;
	stream->send_pending = false;
	entry_attempt_consume(request, stream->sending_credit);
	stream->sending_credit = 0;
	flush(request);
}

static void start_response(struct entry_request *request)
{
	h2o_req_t *req = request->req;

	request->stream.started = true;
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("text/event-stream"));
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CACHE_CONTROL,
		       NULL, H2O_STRLIT("no-cache"));
	entry_response_add_id(req, &request->id);
	request->caller->generator.proceed = on_proceed;
	h2o_start_response(req, &request->caller->generator);
}

static void flush(struct entry_request *request)
{
	struct entry_stream *stream = &request->stream;
	bool final = stream->has_end;
	h2o_req_t *req = request->req;
	GString *swap = stream->sending;
	h2o_iovec_t buf;

	if (!req || stream->send_pending || request->phase == ENTRY_DONE ||
	    (!stream->out->len && !final))
		return;
	if (!stream->started)
		start_response(request);
	stream->sending = stream->out;
	stream->out = swap;
	g_string_truncate(stream->out, 0);
	stream->sending_credit = stream->out_credit;
	stream->out_credit = 0;
	stream->send_pending = true;
	buf = h2o_iovec_init(stream->sending->str, stream->sending->len);
	if (final) {
		request->responded = true;
		entry_request_complete(
			request,
			stream->result == KS_ERROR_NONE
				? "ok"
				: ks_error_answer(stream->result)->code);
	}
	/* The request is not freed until h2o releases the buffer. */
	h2o_send(req, &buf, buf.len ? 1 : 0,
		 final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/**
 * entry_stream_finish() - end a complete stream with [DONE]
 */
void entry_stream_finish(struct entry_request *request)
{
	g_string_append(request->stream.out, "data: [DONE]\n\n");
	request->stream.has_end = true;
	flush(request);
}

/**
 * entry_stream_abort() - end a truncated stream with an error event
 */
void entry_stream_abort(struct entry_request *request, ks_error_kind_t kind,
			const char *message)
{
	struct entry_stream *stream = &request->stream;
	char *body = entry_response_error_body(kind, message, &request->id);

	g_string_append_printf(stream->out, "data: %s\n\n", body);
	free(body);
	stream->result = kind;
	stream->has_end = true;
	flush(request);
}
