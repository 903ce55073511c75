/*
 * HTTP/1.1 client. A call opens a new connection, unless its request may use an
 * idle one.
 */
#include "http_conn.h"

/*
 * Shorter than the idle timeout of common servers: a request that is sent while
 * the server closes the connection is lost and has to be repeated.
 */
#define DEFAULT_MAX_IDLE_US (2 * KS_USEC_PER_SEC)

/**
 * ks_http_client_init() - initialize an HTTP client
 */
void ks_http_client_init(ks_http_client_t *client, ks_loop_t *loop)
{
	client->loop = loop;
	client->input = g_malloc(HTTP_CONN_INPUT_BYTES);
	client->n_opened = 0;
	client->n_conns = 0;
	client->max_conns = 0;
	client->max_idle_us = DEFAULT_MAX_IDLE_US;
	client->connect_timeout_us = 0;
	ks_list_init(&client->calls);
	ks_list_init(&client->conns);
	http_peers_init(client);
}

static void end_call_on_deinit(ks_http_call_t *call)
{
	const ks_http_events_t *events = call->events;
	bool sent = call->sent;
	void *ctx = call->ctx;

	ks_http_call_cancel(call);
	events->done(ctx, sent ? KS_HTTP_INCOMPLETE : KS_HTTP_NOT_SENT);
}

/**
 * ks_http_client_deinit() - end all active calls and free the client
 *
 * Calls the done event of each active call, so that its owner frees the call.
 * The event must not start another call. Must not be called from an event.
 */
void ks_http_client_deinit(ks_http_client_t *client)
{
	while (!ks_list_is_empty(&client->calls))
		end_call_on_deinit(KS_CONTAINER_OF(client->calls.next,
						   ks_http_call_t, node));
	http_peers_deinit(client);
	g_free(client->input);
	client->input = NULL;
}

/* Releases a request that will not be sent again. */
void http_call_drop_request(ks_http_call_t *call)
{
	g_bytes_unref(call->request);
	g_bytes_unref(call->body);
	call->request = NULL;
	call->body = NULL;
}

/* Frees the resources of a call and marks it inactive. */
static void end_call(ks_http_call_t *call)
{
	call->active = false;
	call->conn = NULL;
	ks_list_remove(&call->node);
	ks_timer_clear(&call->deadline);
	ks_timer_clear(&call->idle);
	ks_timer_clear(&call->deferred);
	http_call_drop_request(call);
	g_string_free(call->response_id, TRUE);
	call->response_id = NULL;
}

static void finish_call(ks_http_call_t *call, ks_http_result_t result)
{
	end_call(call);
	call->events->done(call->ctx, result);
}

static void on_timeout(void *ctx)
{
	ks_http_call_t *call = ctx;

	if (call->conn)
		http_conn_close(call->conn);
	finish_call(call, call->sent ? KS_HTTP_TIMED_OUT : KS_HTTP_NOT_SENT);
}

static void restart_idle_timer(ks_http_call_t *call)
{
	if (call->idle_timeout_us > 0)
		ks_timer_set(&call->idle, call->idle_timeout_us);
}

void http_call_head(ks_http_call_t *call, int status,
		    const ks_header_t *headers, size_t n_headers)
{
	restart_idle_timer(call);
	call->events->head(call->ctx, status, headers, n_headers);
}

void http_call_body(ks_http_call_t *call, ks_str_t data)
{
	restart_idle_timer(call);
	call->body_bytes += data.len;
	if (call->max_body && call->body_bytes > call->max_body) {
		http_conn_close(call->conn);
		finish_call(call, KS_HTTP_INCOMPLETE);
		return;
	}
	call->events->body(call->ctx, data);
}

void http_call_complete(ks_http_call_t *call)
{
	finish_call(call, KS_HTTP_COMPLETE);
}

static void send_request(ks_http_call_t *call)
{
	bool first = !call->sent;
	ks_http_permit_t permit = KS_HTTP_SEND;

	call->conn_opened_us = call->conn->opened_us;
	if (first && call->events->permits)
		permit = call->events->permits(call->ctx);
	call->is_waiting = permit == KS_HTTP_WAIT;
	if (call->is_waiting)
		return;
	if (permit == KS_HTTP_WITHHOLD) {
		http_conn_close(call->conn);
		finish_call(call, KS_HTTP_NOT_SENT);
		return;
	}
	call->sent = true;
	if (first && call->events->sent) {
		call->events->sent(call->ctx);
		/* The event may have cancelled the call. */
		if (!call->active)
			return;
	}
	http_conn_send(call->conn, call);
}

static void connect_new(ks_http_call_t *call)
{
	call->reused = false;
	call->conn = http_conn_open(call->client, &call->address);
	if (!call->conn) {
		finish_call(call,
			    call->sent ? KS_HTTP_INCOMPLETE : KS_HTTP_NOT_SENT);
		return;
	}
	call->conn->call = call;
}

/*
 * Sends the request unless something has arrived on the connection, or the peer
 * has closed it. Input from before the request was sent is no response to it.
 */
static void send_if_silent(ks_http_call_t *call)
{
	if (http_conn_is_silent(call->conn)) {
		send_request(call);
		return;
	}
	http_conn_close(call->conn);
	call->conn = NULL;
	call->is_waiting = false;
	if (call->reused)
		connect_new(call);
	else
		finish_call(call,
			    call->sent ? KS_HTTP_INCOMPLETE : KS_HTTP_NOT_SENT);
}

void http_call_connected(ks_http_call_t *call)
{
	send_if_silent(call);
}

/* The connection failed before the response was complete. */
void http_call_failed(ks_http_call_t *call)
{
	call->conn = NULL;
	/* The peer may have closed the connection before it got the request. */
	if (call->reused && call->may_retry && !call->response_started)
		connect_new(call);
	else
		finish_call(call,
			    call->sent ? KS_HTTP_INCOMPLETE : KS_HTTP_NOT_SENT);
}

static void on_deferred(void *ctx)
{
	ks_http_call_t *call = ctx;

	if (call->reuse)
		call->conn = http_conn_take_idle(call->client, &call->address);
	if (!call->conn) {
		connect_new(call);
		return;
	}
	call->reused = true;
	send_request(call);
}

static void append_field(GString *out, ks_str_t name, ks_str_t value)
{
	g_string_append_len(out, name.data, (gssize)name.len);
	g_string_append(out, ": ");
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append(out, "\r\n");
}

static bool implies_no_body(ks_str_t method)
{
	return ks_str_equal(method, KS_STR("GET")) ||
	       ks_str_equal(method, KS_STR("HEAD")) ||
	       ks_str_equal(method, KS_STR("DELETE"));
}

static GBytes *format_head(const ks_http_request_t *request, size_t body_len)
{
	GString *out = g_string_sized_new(512);
	char address[KS_ADDRESS_TEXT_SIZE];
	ks_str_t host = request->host;

	if (!host.len)
		host = ks_str_from(
			ks_address_format(&request->address, address));
	g_string_append_len(out, request->method.data,
			    (gssize)request->method.len);
	g_string_append_c(out, ' ');
	g_string_append_len(out, request->target.data,
			    (gssize)request->target.len);
	g_string_append(out, " HTTP/1.1\r\n");
	append_field(out, KS_STR("host"), host);
	for (size_t i = 0; i < request->n_headers; i++)
		append_field(out, request->headers[i].name,
			     request->headers[i].value);
	if (body_len || !implies_no_body(request->method))
		g_string_append_printf(out, "content-length: %zu\r\n",
				       body_len);
	g_string_append_printf(out, "connection: %s\r\n\r\n",
			       request->reuse ? "keep-alive" : "close");
	return g_string_free_to_bytes(out);
}

/**
 * ks_http_call_start() - send a request
 * @call: allocated by the owner; in use until the done event or
 *	ks_http_call_cancel()
 * @request: copied, except the string @response_id_header, which must outlive
 *	@call
 * @events: must outlive @call
 */
void ks_http_call_start(ks_http_call_t *call, ks_http_client_t *client,
			const ks_http_request_t *request,
			const ks_http_events_t *events, void *ctx)
{
	memset(call, 0, sizeof(*call));
	call->client = client;
	call->address = request->address;
	call->events = events;
	call->ctx = ctx;
	call->body = request->shared_body ? g_bytes_ref(request->shared_body)
					  : g_bytes_new(request->body.data,
							request->body.len);
	call->request = format_head(request, g_bytes_get_size(call->body));
	call->response_id_header = request->response_id_header;
	call->response_id = g_string_new_len(request->response_id.data,
					     (gssize)request->response_id.len);
	call->max_body = request->max_body;
	call->idle_timeout_us = request->idle_timeout_us;
	call->is_head = ks_str_equal(request->method, KS_STR("HEAD"));
	call->reuse = request->reuse;
	call->may_retry = !request->no_retry;
	call->response_id_optional = request->response_id_optional;
	call->active = true;
	ks_list_append(&client->calls, &call->node);
	ks_timer_init(&call->deadline, client->loop, on_timeout, call);
	ks_timer_init(&call->idle, client->loop, on_timeout, call);
	ks_timer_init(&call->deferred, client->loop, on_deferred, call);
	if (request->timeout_us > 0)
		ks_timer_set(&call->deadline, request->timeout_us);
	restart_idle_timer(call);
	ks_timer_set(&call->deferred, 0);
}

/**
 * ks_http_call_cancel() - close the connection without further events
 *
 * Does nothing if the call is not active.
 */
void ks_http_call_cancel(ks_http_call_t *call)
{
	if (!call->active)
		return;
	if (call->conn)
		http_conn_close(call->conn);
	end_call(call);
}

/**
 * ks_http_call_permit() - ask again whether a request that waits may be sent
 *
 * Does nothing if it does not wait. The call may have ended then.
 */
void ks_http_call_permit(ks_http_call_t *call)
{
	if (call->active && call->is_waiting)
		send_if_silent(call);
}

/**
 * ks_http_call_pause() - stop reading the response
 */
void ks_http_call_pause(ks_http_call_t *call)
{
	if (call->active && call->conn && call->sent)
		http_conn_pause(call->conn);
}

/**
 * ks_http_call_resume() - continue reading; does nothing if not paused
 */
void ks_http_call_resume(ks_http_call_t *call)
{
	if (call->active && call->conn && call->sent)
		http_conn_resume(call->conn);
}

/**
 * ks_http_call_is_active() - whether the call has neither ended nor been
 * cancelled
 */
bool ks_http_call_is_active(const ks_http_call_t *call)
{
	return call->active;
}
