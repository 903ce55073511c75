/*
 * HTTP/1.1 server for proxied requests. It keeps reading while a request is
 * being served, so that a caller's disconnect is detected at once, and it can
 * abort a response. h2o's own HTTP/1 server does not read until the response
 * has been sent.
 */
#include "http1_conn.h"

#include <string.h>

/* With more pipelined input than this, reading stops until the next request. */
#define MAX_PIPELINED_BYTES (64 * 1024)

/*
 * A connection whose data stays unacknowledged for this long is closed: a
 * caller that lost power or its network sends neither FIN nor RST.
 */
#define TCP_USER_TIMEOUT_MS 10000

static void free_conn(struct http1_conn *conn)
{
	ks_list_remove(&conn->node);
	http_fields_deinit(&conn->fields);
	g_free((gpointer)conn->request.headers);
	g_string_free(conn->target, TRUE);
	g_string_free(conn->body, TRUE);
	g_string_free(conn->queued, TRUE);
	g_string_free(conn->sending, TRUE);
	g_free(conn);
}

void http1_conn_discard(struct http1_conn *conn)
{
	conn->free_deferred = true;
	if (!conn->handling_input)
		free_conn(conn);
}

void http1_conn_close_socket(struct http1_conn *conn)
{
	ks_timer_clear(&conn->timer);
	if (conn->sock)
		h2o_socket_close(conn->sock);
	conn->sock = NULL;
	conn->writing = false;
	conn->closed = true;
}

/*
 * If a request is being served, the connection is freed only when its handler
 * has ended that request.
 */
void http1_conn_close(struct http1_conn *conn)
{
	ks_http1_request_t *request = &conn->request;

	if (conn->closed)
		return;
	http1_conn_close_socket(conn);
	if (conn->serving) {
		if (request->disconnected)
			request->disconnected(request->ctx);
	} else {
		http1_conn_discard(conn);
	}
}

static void on_input(h2o_socket_t *sock, const char *err);

static void on_timer(void *ctx)
{
	struct http1_conn *conn = ctx;

	if (conn->request_started && !conn->close_after) {
		ks_http1_reject(&conn->request, 408);
		return;
	}
	http1_conn_close(conn);
}

static void on_written(h2o_socket_t *sock, const char *err);

void http1_conn_flush(struct http1_conn *conn)
{
	GString *next = conn->queued;
	h2o_iovec_t buf;

	if (conn->writing || !conn->sock || !next->len)
		return;
	conn->queued = conn->sending;
	conn->sending = next;
	g_string_truncate(conn->queued, 0);
	buf = h2o_iovec_init(next->str, next->len);
	conn->writing = true;
	h2o_socket_write(conn->sock, &buf, 1, on_written);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct http1_conn *conn = sock->data;

	conn->writing = false;
	http_socket_written(sock, on_input);
	g_string_truncate(conn->sending, 0);
	if (err) {
		http1_conn_close(conn);
		return;
	}
	if (conn->queued->len) {
		http1_conn_flush(conn);
		return;
	}
	if (conn->serving) {
		if (conn->request.drained)
			conn->request.drained(conn->request.ctx);
		return;
	}
	if (conn->close_after)
		http1_conn_close(conn);
}

static int on_message_begin(http_parser *parser)
{
	struct http1_conn *conn = parser->data;

	conn->request_started = true;
	http_fields_clear(&conn->fields);
	g_string_truncate(conn->target, 0);
	g_string_truncate(conn->body, 0);
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
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > conn->server->max_body_bytes) {
		conn->reject_status = 413;
		return -1;
	}
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

	if (conn->body->len + len > conn->server->max_body_bytes) {
		conn->reject_status = 413;
		return -1;
	}
	g_string_append_len(conn->body, at, (gssize)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http1_conn *conn = parser->data;

	conn->request_complete = true;
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
	request->body = (ks_str_t){ conn->body->str, conn->body->len };
	conn->server->handler(conn->server->ctx, request);
}

static void reject_input(struct http1_conn *conn)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);

	if (conn->server->malformed)
		conn->server->malformed(conn->server->ctx,
					http_errno_description(error));
	h2o_buffer_consume(&conn->sock->input, conn->sock->input->size);
	ks_http1_reject(&conn->request,
			conn->reject_status ? conn->reject_status : 400);
}

/* Parses the input up to the end of one request. */
static void parse_input(struct http1_conn *conn)
{
	h2o_buffer_t *input = conn->sock->input;
	size_t used;
	enum http_errno error;

	if (!input->size || conn->close_after)
		return;
	if (!conn->request_started)
		ks_timer_set(&conn->timer, conn->server->header_timeout_us);
	used = http_parser_execute(&conn->parser, &parser_settings,
				   input->bytes, input->size);
	error = HTTP_PARSER_ERRNO(&conn->parser);
	if (conn->request_complete) {
		h2o_buffer_consume(&conn->sock->input, used);
		serve_request(conn);
	} else if (error != HPE_OK || conn->parser.upgrade) {
		reject_input(conn);
	} else {
		h2o_buffer_consume(&conn->sock->input, used);
	}
}

static void handle_input(struct http1_conn *conn, const char *err)
{
	if (!conn->serving && !conn->close_after)
		parse_input(conn);
	if (conn->closed)
		return;
	if (err)
		http1_conn_close(conn);
	else if (conn->close_after)
		h2o_buffer_consume(&conn->sock->input, conn->sock->input->size);
	else if (conn->sock->input->size > MAX_PIPELINED_BYTES)
		h2o_socket_read_stop(conn->sock);
}

/*
 * The handler may end the request, and so close the connection, while its input
 * is being handled. The connection is then freed here.
 */
static void on_input(h2o_socket_t *sock, const char *err)
{
	struct http1_conn *conn = sock->data;

	conn->handling_input = true;
	handle_input(conn, err);
	conn->handling_input = false;
	if (conn->free_deferred)
		free_conn(conn);
}

/* The next request may have been received while the last one was served. */
static void on_next_request(void *ctx)
{
	struct http1_conn *conn = ctx;

	ks_timer_clear(&conn->timer);
	ks_timer_init(&conn->timer, conn->server->loop, on_timer, conn);
	ks_timer_set(&conn->timer, conn->server->idle_timeout_us);
	h2o_socket_read_start(conn->sock, on_input);
	on_input(conn->sock, NULL);
}

void http1_conn_await_request(struct http1_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->request_started = false;
	conn->request_complete = false;
	conn->reject_status = 0;
	/* On the next loop iteration, as the handler may be on the stack. */
	ks_timer_clear(&conn->timer);
	ks_timer_init(&conn->timer, conn->server->loop, on_next_request, conn);
	ks_timer_set(&conn->timer, 0);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	ks_http1_server_t *server = listener->data;
	h2o_socket_t *sock;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener))) {
		struct http1_conn *conn = g_new0(struct http1_conn, 1);

		http_set_tcp_user_timeout(h2o_socket_get_fd(sock),
					  TCP_USER_TIMEOUT_MS);
		conn->server = server;
		conn->sock = sock;
		sock->data = conn;
		conn->target = g_string_new(NULL);
		conn->body = g_string_new(NULL);
		conn->queued = g_string_new(NULL);
		conn->sending = g_string_new(NULL);
		http_fields_init(&conn->fields);
		ks_list_append(&server->conns, &conn->node);
		ks_timer_init(&conn->timer, server->loop, on_timer, conn);
		http1_conn_await_request(conn);
	}
}

/**
 * ks_http1_server_init() - start an HTTP/1.1 server
 * @address: port 0 lets the kernel choose one; the port is then in @server
 * @handler: called for each request once its body is complete; must end it with
 *	ks_http1_end(), ks_http1_abort() or ks_http1_reject()
 *
 * The limits in @server are set to defaults and may be changed at any time.
 *
 * Return: false, with KS_ERROR_INTERNAL, if the address cannot be bound.
 */
bool ks_http1_server_init(ks_http1_server_t *server, ks_loop_t *loop,
			  const ks_address_t *address,
			  ks_http1_handler_func_t handler, void *ctx,
			  GError **error)
{
	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->handler = handler;
	server->ctx = ctx;
	server->max_header_bytes = KS_HTTP1_MAX_HEADER_BYTES;
	server->max_body_bytes = KS_HTTP1_MAX_BODY_BYTES;
	server->header_timeout_us = KS_HTTP1_HEADER_TIMEOUT_US;
	server->idle_timeout_us = KS_HTTP1_IDLE_TIMEOUT_US;
	ks_list_init(&server->conns);
	server->listener =
		http_listen(loop, address, &server->port, on_accept, error);
	if (!server->listener)
		return false;
	server->listener->data = server;
	return true;
}

/**
 * ks_http1_server_close_listener() - stop accepting connections
 */
void ks_http1_server_close_listener(ks_http1_server_t *server)
{
	if (!server->listener)
		return;
	h2o_socket_read_stop(server->listener);
	h2o_socket_close(server->listener);
	server->listener = NULL;
}

/**
 * ks_http1_server_close_idle() - close connections without a request
 */
void ks_http1_server_close_idle(ks_http1_server_t *server)
{
	KS_LIST_FOREACH_SAFE (it, tmp, &server->conns) {
		struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		if (!conn->serving && !conn->request_started &&
		    !conn->writing && conn->sock && !conn->sock->input->size)
			http1_conn_close(conn);
	}
}

/**
 * ks_http1_server_deinit() - close every connection and free the server
 *
 * The disconnected callback of each request being served is called and must end
 * the request.
 */
void ks_http1_server_deinit(ks_http1_server_t *server)
{
	ks_http1_server_close_listener(server);
	KS_LIST_FOREACH_SAFE (it, tmp, &server->conns)
		http1_conn_close(KS_CONTAINER_OF(it, struct http1_conn, node));
}

/**
 * ks_http1_server_n_serving() - number of requests without a complete response
 */
size_t ks_http1_server_n_serving(const ks_http1_server_t *server)
{
	size_t n = 0;

	KS_LIST_FOREACH (it, &server->conns) {
		const struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		n += conn->serving || conn->writing;
	}
	return n;
}
