/* Responses of the HTTP/1.1 server: buffered, streamed or aborted. */
#include "http1_conn.h"

/* Size of one write, after which the time without progress starts again. */
#define PIECE_BYTES ((size_t)64 * 1024)

static void on_written(h2o_socket_t *sock, const char *err);

/* Takes what was queued as the output to write next. */
static void take_queued(struct http1_conn *conn)
{
	GString *empty = conn->sending;

	http1_text_release(&empty);
	conn->sending = conn->queued;
	conn->queued = empty;
	conn->sent = 0;
}

void http1_conn_flush(struct http1_conn *conn)
{
	h2o_iovec_t buf;

	if (conn->writing || !conn->sock)
		return;
	if (conn->sent == conn->sending->len)
		take_queued(conn);
	if (conn->sent == conn->sending->len)
		return;
	buf = h2o_iovec_init(conn->sending->str + conn->sent,
			     MIN(conn->sending->len - conn->sent, PIECE_BYTES));
	conn->piece = buf.len;
	conn->writing = true;
	h2o_socket_write(conn->sock, &buf, 1, on_written);
}

/* The connection may be freed then. */
static void on_drained(struct http1_conn *conn)
{
	if (conn->serving) {
		if (conn->request.drained)
			conn->request.drained(conn->request.ctx);
	} else if (conn->close_after) {
		http1_conn_close(conn);
	} else if (conn->draining) {
		http1_conn_next_request(conn);
	}
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct http1_conn *conn = sock->data;

	conn->writing = false;
	conn->sent += conn->piece;
	conn->progress_us = ks_loop_now(conn->server->loop);
	http_socket_written(sock, http1_conn_on_readable);
	if (err) {
		http1_conn_close(conn);
		return;
	}
	http1_conn_flush(conn);
	if (!conn->writing) {
		http1_text_release(&conn->sending);
		conn->sent = 0;
		http1_conn_account(conn);
		on_drained(conn);
	} else if (!conn->serving) {
		http1_conn_await_drain(conn);
	}
}

static void finish_response(struct http1_conn *conn, bool keep)
{
	conn->serving = false;
	conn->request.ctx = NULL;
	if (conn->closed) {
		http1_conn_discard(conn);
		return;
	}
	/*
	 * The next request waits until this response has left: responses to
	 * requests sent ahead would pile up for a caller that reads none.
	 */
	conn->draining = keep && conn->keep_alive && !conn->server->stopping;
	conn->close_after = !conn->draining;
	if (conn->writing)
		http1_conn_await_drain(conn);
	else if (conn->draining)
		ks_timer_set(&conn->timer, 0); /* the handler is on the stack */
	else
		http1_conn_close(conn);
}

static const char *reason_phrase(int status)
{
	const char *reason = http_status_str((enum http_status)status);

	return reason[0] == '<' ? "Unknown" : reason;
}

/**
 * ks_http1_start() - queue the status line and headers of the response
 * @headers: without Content-Length, Transfer-Encoding and Connection
 * @length: length of the body in bytes, or -1 if it is not known. The body is
 *	then chunked, or for an HTTP/1.0 caller ends with the connection.
 *
 * They are written to the socket together with the first bytes of the body, or
 * by ks_http1_end().
 */
void ks_http1_start(ks_http1_request_t *request, int status,
		    const ks_header_t *headers, size_t n_headers,
		    int64_t length)
{
	struct http1_conn *conn = http1_conn_of(request);
	bool ends_with_head = status == 204 || status == 304;
	GString *out = conn->queued;

	if (conn->closed)
		return;
	conn->response_started = true;
	/* These end with their head (RFC 9112, 6.3). */
	conn->no_body |= ends_with_head;
	conn->chunked =
		length < 0 && !ends_with_head && conn->parser.http_minor > 0;
	conn->ends_with_connection =
		length < 0 && !ends_with_head && !conn->chunked;
	if (conn->ends_with_connection)
		conn->keep_alive = false;
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", status,
			       reason_phrase(status));
	for (size_t i = 0; i < n_headers; i++) {
		g_string_append_len(out, headers[i].name.data,
				    (gssize)headers[i].name.len);
		g_string_append(out, ": ");
		g_string_append_len(out, headers[i].value.data,
				    (gssize)headers[i].value.len);
		g_string_append(out, "\r\n");
	}
	if (conn->chunked)
		g_string_append(out, "transfer-encoding: chunked\r\n");
	else if (length >= 0 && !ends_with_head)
		g_string_append_printf(out, "content-length: %" PRId64 "\r\n",
				       length);
	if (!conn->keep_alive || conn->server->stopping) {
		conn->keep_alive = false;
		g_string_append(out, "connection: close\r\n");
	}
	g_string_append(out, "\r\n");
}

/**
 * ks_http1_body() - send the next bytes of the response body
 */
void ks_http1_body(ks_http1_request_t *request, ks_str_t data)
{
	struct http1_conn *conn = http1_conn_of(request);

	if (conn->closed || conn->no_body || !data.len)
		return;
	if (conn->chunked)
		g_string_append_printf(conn->queued, "%zx\r\n", data.len);
	g_string_append_len(conn->queued, data.data, (gssize)data.len);
	if (conn->chunked)
		g_string_append(conn->queued, "\r\n");
	http1_conn_flush(conn);
	http1_conn_account(conn);
}

/**
 * ks_http1_end() - complete the response
 *
 * @request is not valid afterwards.
 */
void ks_http1_end(ks_http1_request_t *request)
{
	struct http1_conn *conn = http1_conn_of(request);

	if (!conn->closed) {
		if (conn->chunked && !conn->no_body)
			g_string_append(conn->queued, "0\r\n\r\n");
		http1_conn_flush(conn);
		http1_conn_account(conn);
	}
	finish_response(conn, true);
}

/**
 * ks_http1_abort() - close the connection before the response is complete
 *
 * @request is not valid afterwards.
 */
void ks_http1_abort(ks_http1_request_t *request)
{
	struct http1_conn *conn = http1_conn_of(request);

	if (!conn->closed)
		http1_conn_close_socket(conn);
	finish_response(conn, false);
}

/**
 * ks_http1_reject() - send a response without a body and close the connection
 *
 * @request is not valid afterwards.
 */
void ks_http1_reject(ks_http1_request_t *request, int status)
{
	struct http1_conn *conn = http1_conn_of(request);

	conn->serving = true;
	conn->keep_alive = false;
	conn->parser.http_minor = 1;
	ks_http1_start(request, status, NULL, 0, 0);
	ks_http1_end(request);
}

/**
 * ks_http1_pending() - bytes of the response not yet written to the socket
 */
size_t ks_http1_pending(ks_http1_request_t *request)
{
	const struct http1_conn *conn = http1_conn_of(request);

	return conn->queued->len + conn->sending->len - conn->sent;
}
