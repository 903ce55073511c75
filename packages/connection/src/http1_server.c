/*
 * Connections of the HTTP/1.1 server for proxied requests. It keeps reading
 * while a request is being served, so that a caller's disconnect is detected at
 * once, and it can abort a response. h2o's own HTTP/1 server does not read
 * until the response has been sent.
 */
#include "http1_conn.h"
#include "http1_relief.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <xxhash.h>

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
	http1_body_free(conn);
	ks_memory_hold(conn->server->memory, KS_MEMORY_CONNECTIONS, &conn->held,
		       0);
	ks_memory_hold(conn->server->memory, KS_MEMORY_OUTPUT,
		       &conn->held_output, 0);
	g_string_free(conn->ahead, TRUE);
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

static void on_accept(h2o_socket_t *listener, const char *err);

static void close_sock(struct http1_conn *conn)
{
	ks_http1_server_t *server = conn->server;

	h2o_socket_close(conn->sock);
	server->n_conns--;
	if (server->accept_paused && server->listener)
		h2o_socket_read_start(server->listener, on_accept);
	server->accept_paused = false;
}

/* Whether the end of the connection would end a response too early. */
static bool truncates_response(const struct http1_conn *conn)
{
	return conn->ends_with_connection &&
	       (conn->serving || conn->writing || conn->queued->len ||
		conn->sent < conn->sending->len);
}

void http1_conn_close_socket(struct http1_conn *conn)
{
	ks_timer_clear(&conn->timer);
	if (conn->sock && truncates_response(conn))
		http_reset_at_close(h2o_socket_get_fd(conn->sock));
	if (conn->sock)
		close_sock(conn);
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

static void on_timer(void *ctx)
{
	struct http1_conn *conn = ctx;

	if (conn->draining && !conn->writing) {
		http1_conn_next_request(conn);
		return;
	}
	if (conn->serving || conn->writing) {
		http1_conn_check_stalled(conn);
		return;
	}
	if (conn->request_started && !conn->close_after) {
		bool waits = http1_body_waits(conn);

		conn->server->stats.refused_bodies += waits;
		ks_http1_reject(&conn->request, waits ? 503 : 408);
		return;
	}
	http1_conn_close(conn);
}

/**
 * http1_conn_input_handled() - free the connection if it was closed meanwhile
 */
void http1_conn_input_handled(struct http1_conn *conn)
{
	conn->handling_input = false;
	if (conn->free_deferred)
		free_conn(conn);
	else
		http1_conn_account(conn);
}

/**
 * http1_conn_next_request() - wait for the next request, and handle what was
 * received of it while the last one was served
 *
 * Must not be called by a handler.
 */
void http1_conn_next_request(struct http1_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->request_started = false;
	conn->request_complete = false;
	conn->reject_status = 0;
	conn->draining = false;
	http1_body_free(conn);
	ks_timer_set(&conn->timer, conn->server->idle_timeout_us);
	h2o_socket_read_start(conn->sock, http1_conn_on_readable);
	conn->handling_input = true;
	http1_conn_parse_ahead(conn);
	http1_conn_input_handled(conn);
}

/* The address of a caller without its port. */
static uint64_t hash_address(const struct sockaddr_storage *address)
{
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;

	if (address->ss_family == AF_INET)
		return v4->sin_addr.s_addr;
	return XXH64(&v6->sin6_addr, sizeof(v6->sin6_addr), 0);
}

/* Stops to accept connections if there is none to close for a new one. */
static bool may_accept(ks_http1_server_t *server)
{
	if (!server->max_conns || server->n_conns < server->max_conns ||
	    http1_server_free_descriptor(server))
		return true;
	server->accept_paused = true;
	server->stats.accept_pauses++;
	h2o_socket_read_stop(server->listener);
	return false;
}

/*
 * Accepts a connection that h2o does not read from, as it would read all that
 * the kernel holds into a buffer of the connection.
 */
static h2o_socket_t *accept_socket(h2o_socket_t *listener, uint64_t *origin)
{
	struct sockaddr_storage address = { .ss_family = AF_UNSPEC };
	socklen_t len = sizeof(address);
	int fd = accept4(h2o_socket_get_fd(listener),
			 (struct sockaddr *)&address, &len,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	int on = 1;

	if (fd < 0)
		return NULL;
	*origin = hash_address(&address);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return h2o_evloop_socket_create(
		h2o_socket_get_loop(listener), fd,
		H2O_SOCKET_FLAG_DONT_READ |
			H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	ks_http1_server_t *server = listener->data;
	h2o_socket_t *sock;
	uint64_t origin;

	if (err)
		return;
	while (may_accept(server) &&
	       (sock = accept_socket(listener, &origin))) {
		struct http1_conn *conn = g_new0(struct http1_conn, 1);

		http_set_tcp_user_timeout(h2o_socket_get_fd(sock),
					  TCP_USER_TIMEOUT_MS);
		server->n_conns++;
		conn->server = server;
		conn->sock = sock;
		conn->origin = origin;
		conn->progress_us = ks_loop_now(server->loop);
		sock->data = conn;
		conn->target = g_string_new(NULL);
		conn->ahead = g_string_new(NULL);
		conn->queued = g_string_new(NULL);
		conn->sending = g_string_new(NULL);
		http_fields_init(&conn->fields);
		ks_list_append(&server->conns, &conn->node);
		ks_timer_init(&conn->timer, server->loop, on_timer, conn);
		http1_conn_next_request(conn);
		/* Only the listener tells whether another one waits. */
		if (server->max_conns && server->n_conns >= server->max_conns)
			return;
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
	server->input = g_malloc(HTTP1_INPUT_BYTES);
	server->bodies = g_new0(struct body_pool, 1);
	ks_timer_init(&server->relief, loop, http1_server_on_relief, server);
	ks_memory_init(&server->own_memory, 0);
	ks_http1_server_set_memory(server, &server->own_memory);
	server->listener =
		http_listen(loop, address, &server->port, on_accept, error);
	if (!server->listener)
		return false;
	server->listener->data = server;
	return true;
}

/**
 * ks_http1_server_set_memory() - set the account of the process
 *
 * Must be called before the loop runs.
 */
void ks_http1_server_set_memory(ks_http1_server_t *server, ks_memory_t *memory)
{
	server->memory = memory;
	body_pool_init(server->bodies, memory->budget);
}

/**
 * ks_http1_max_conns() - limit for the connections of callers, and for those to
 * upstreams, in a process with this many descriptors
 */
size_t ks_http1_max_conns(size_t max_descriptors)
{
	return http1_relief_max_conns(max_descriptors);
}

/**
 * ks_http1_server_close_listener() - stop accepting connections
 *
 * Those that are established already are accepted.
 */
void ks_http1_server_close_listener(ks_http1_server_t *server)
{
	if (!server->listener)
		return;
	on_accept(server->listener, NULL);
	h2o_socket_read_stop(server->listener);
	h2o_socket_close(server->listener);
	server->listener = NULL;
}

/* Whether the kernel holds input, which may be a whole request. */
static bool has_unread(const struct http1_conn *conn)
{
	int bytes = 0;

	return !ioctl(h2o_socket_get_fd(conn->sock), FIONREAD, &bytes) &&
	       bytes > 0;
}

/* Whether no request is served on a connection or being received. */
static bool is_idle(const struct http1_conn *conn)
{
	return !conn->serving && !conn->request_started && !conn->writing &&
	       conn->sock && !conn->ahead->len && !has_unread(conn);
}

/**
 * ks_http1_server_close_idle() - close connections without a request
 */
void ks_http1_server_close_idle(ks_http1_server_t *server)
{
	KS_LIST_FOREACH_SAFE (it, tmp, &server->conns) {
		struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		if (is_idle(conn))
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
	if (!server->input)
		return;
	ks_timer_clear(&server->relief);
	ks_memory_deinit(&server->own_memory);
	g_free(server->bodies);
	g_free(server->input);
	server->input = NULL;
}

/**
 * ks_http1_server_refuse_unfinished() - answer requests that are not received
 * completely with 503, and close their connections
 */
void ks_http1_server_refuse_unfinished(ks_http1_server_t *server)
{
	KS_LIST_FOREACH_SAFE (it, tmp, &server->conns) {
		struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		if (conn->request_started && !conn->request_complete &&
		    !conn->close_after && conn->sock)
			ks_http1_reject(&conn->request, 503);
	}
}

/**
 * ks_http1_server_n_serving() - number of requests without a complete response,
 * including those that are being received
 */
size_t ks_http1_server_n_serving(const ks_http1_server_t *server)
{
	size_t n = 0;

	KS_LIST_FOREACH (it, &server->conns) {
		const struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		n += !is_idle(conn);
	}
	return n;
}
