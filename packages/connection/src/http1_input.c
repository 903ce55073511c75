/*
 * Reads and parses requests. All connections of a server read into one buffer,
 * so that a connection holds only what it has received of its request, and
 * what a caller has sent ahead of its next one.
 */
#include "http1_conn.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

/* Read at once of a head. */
#define HEAD_READ_BYTES ((size_t)16 * 1024)

/* Blocks of this size are kept for the next request of a connection. */
#define KEPT_BYTES (4 * 1024)

static int on_message_begin(http_parser *parser)
{
	struct http1_conn *conn = parser->data;

	conn->request_started = true;
	http_fields_clear(&conn->fields);
	g_string_truncate(conn->target, 0);
	return 0;
}

static bool head_fits(struct http1_conn *conn)
{
	if (conn->target->len + http_fields_bytes(&conn->fields) <=
	    conn->server->max_header_bytes)
		return true;
	conn->reject_status = 431;
	return false;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;

	g_string_append_len(conn->target, at, (gssize)len);
	return !head_fits(conn);
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;

	http_fields_add_name(&conn->fields, at, len);
	return !head_fits(conn);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;

	http_fields_add_value(&conn->fields, at, len);
	return !head_fits(conn);
}

static int on_head(http_parser *parser)
{
	struct http1_conn *conn = parser->data;
	const ks_header_t *expect;

	g_free((gpointer)conn->request.headers);
	conn->request.headers =
		http_fields_list(&conn->fields, &conn->request.n_headers);
	/* RFC 9112, 5.1: such a field may be read differently by others. */
	if (conn->fields.is_malformed)
		return -1;
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > conn->server->max_body_bytes) {
		conn->reject_status = 413;
		return -1;
	}
	if (parser->flags & F_CHUNKED)
		http1_body_begin(conn, 0);
	else if (parser->content_length && parser->content_length != ULLONG_MAX)
		http1_body_begin(conn, parser->content_length);
	expect = ks_header_find(conn->request.headers, conn->request.n_headers,
				"expect");
	if (expect &&
	    ks_str_equal_nocase(expect->value, KS_STR("100-continue"))) {
		g_string_append(conn->queued, "HTTP/1.1 100 Continue\r\n\r\n");
		http1_conn_flush(conn);
	}
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;

	if (http1_body_append(conn, at, len))
		return 0;
	conn->reject_status = 413;
	return -1;
}

static int on_complete(http_parser *parser)
{
	struct http1_conn *conn = parser->data;

	conn->request_complete = true;
	http1_body_complete(conn);
	conn->keep_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void serve_request(struct http1_conn *conn)
{
	ks_http1_request_t *request = &conn->request;

	ks_timer_clear(&conn->timer);
	conn->serving = true;
	conn->response_started = false;
	conn->ends_with_connection = false;
	conn->no_body = conn->parser.method == HTTP_HEAD;
	request->ctx = NULL;
	request->disconnected = NULL;
	request->drained = NULL;
	request->method = ks_str_from(
		http_method_str((enum http_method)conn->parser.method));
	request->target = (ks_str_t){ conn->target->str, conn->target->len };
	request->body = http1_body_text(conn);
	conn->server->handler(conn->server->ctx, request);
}

/* Frees the block of a text that is empty, unless it is small. */
void http1_text_release(GString **text)
{
	g_string_truncate(*text, 0);
	if ((*text)->allocated_len <= KEPT_BYTES)
		return;
	g_string_free(*text, TRUE);
	*text = g_string_new(NULL);
}

static void reject_input(struct http1_conn *conn)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);

	if (conn->server->malformed)
		conn->server->malformed(conn->server->ctx,
					http_errno_description(error));
	http1_text_release(&conn->ahead);
	ks_http1_reject(&conn->request,
			conn->reject_status ? conn->reject_status : 400);
}

/*
 * Parses input up to the end of one request. Returns how much of it was used;
 * what is left belongs to the next request.
 */
static size_t parse_input(struct http1_conn *conn, const char *data, size_t len)
{
	if (!conn->request_started)
		ks_timer_set(&conn->timer, conn->server->header_timeout_us);
	return http_parser_execute(&conn->parser, &parser_settings, data, len);
}

static void handle_parsed(struct http1_conn *conn)
{
	if (conn->request_complete)
		serve_request(conn);
	else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK ||
		 conn->parser.upgrade)
		reject_input(conn);
}

/* Whether input is kept, as an earlier request is not done with. */
static bool is_ahead(const struct http1_conn *conn)
{
	return conn->serving || conn->draining || conn->ahead->len;
}

static void handle_input(struct http1_conn *conn, const char *data, size_t len)
{
	size_t used;

	if (conn->close_after)
		return;
	if (is_ahead(conn)) {
		g_string_append_len(conn->ahead, data, (gssize)len);
		return;
	}
	used = parse_input(conn, data, len);
	if (conn->request_complete && used < len)
		g_string_append_len(conn->ahead, data + used,
				    (gssize)(len - used));
	handle_parsed(conn);
}

/**
 * http1_conn_parse_ahead() - parse what was received before the last response
 * had left
 */
void http1_conn_parse_ahead(struct http1_conn *conn)
{
	size_t used;

	if (!conn->ahead->len)
		return;
	used = parse_input(conn, conn->ahead->str, conn->ahead->len);
	if (used < conn->ahead->len)
		g_string_erase(conn->ahead, 0, (gssize)used);
	else
		http1_text_release(&conn->ahead);
	handle_parsed(conn);
}

/* How much may be read now; 0 stops reading. */
static size_t read_limit(struct http1_conn *conn)
{
	if (conn->close_after)
		return HTTP1_INPUT_BYTES;
	if (is_ahead(conn))
		return HTTP1_MAX_AHEAD_BYTES -
		       MIN(conn->ahead->len, HTTP1_MAX_AHEAD_BYTES);
	return conn->body ? http1_body_reserve(conn) : HEAD_READ_BYTES;
}

static const char *read_input(struct http1_conn *conn)
{
	size_t limit = read_limit(conn);
	char *input = conn->server->input;
	ssize_t n;

	if (!limit) {
		h2o_socket_read_stop(conn->sock);
		conn->server->stats.paused_bodies += http1_body_waits(conn);
		return NULL;
	}
	do
		n = read(h2o_socket_get_fd(conn->sock), input, limit);
	while (n < 0 && errno == EINTR);
	if (!n)
		return h2o_socket_error_closed;
	if (n < 0)
		return errno == EAGAIN ? NULL : h2o_socket_error_io;
	conn->progress_us = ks_loop_now(conn->server->loop);
	handle_input(conn, input, (size_t)n);
	return NULL;
}

/**
 * http1_conn_on_readable() - read and handle input
 *
 * The handler may end the request, and so close the connection, while its input
 * is being handled. The connection is then freed here.
 */
void http1_conn_on_readable(h2o_socket_t *sock, const char *err)
{
	struct http1_conn *conn = sock->data;

	conn->handling_input = true;
	if (!err)
		err = read_input(conn);
	if (err && !conn->closed)
		http1_conn_close(conn);
	http1_conn_input_handled(conn);
}
