/*
 * Connections of the HTTP client on h2o's sockets. Responses are parsed with
 * http_parser, because h2o's own client reports a chunked response that was
 * truncated after a full chunk as complete. What http_parser accepts beyond the
 * protocol is rejected by http_check.c.
 */
#include "http_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define MAX_HEAD_BYTES (256 * 1024)

/* Short fields take many times their length in memory. */
#define MAX_FIELDS 1000

/*
 * Limit on what arrives before the response to a call: interim responses, and
 * responses to earlier requests on the connection.
 */
#define MAX_IGNORED_BYTES (2 * 1024 * 1024)

/*
 * A connection whose data stays unacknowledged for this long is closed; RFC
 * 9293 lets the application set this timeout.
 */
#define TCP_USER_TIMEOUT_MS 1500

/*
 * A server closes an idle connection at the timeout of its Keep-Alive header.
 * The client closes it earlier by this margin, so that no request is on its
 * way to the server at that time.
 */
#define KEEP_ALIVE_MARGIN_US (1 * KS_USEC_PER_SEC)

/**
 * struct ks_http_peer - pool of idle connections to one address
 * @idle: most recently used first; reused in this order
 */
struct ks_http_peer {
	ks_list_t idle;
};

void http_peers_init(ks_http_client_t *client)
{
	client->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static struct ks_http_peer *find_peer(ks_http_client_t *client,
				      const ks_address_t *address)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	struct ks_http_peer *peer;

	ks_address_format(address, text);
	peer = g_hash_table_lookup(client->peers, text);
	if (peer)
		return peer;
	peer = g_new0(struct ks_http_peer, 1);
	ks_list_init(&peer->idle);
	g_hash_table_insert(client->peers, g_strdup(text), peer);
	return peer;
}

static void drop_request(struct ks_http_conn *conn)
{
	g_bytes_unref(conn->head);
	g_bytes_unref(conn->body);
	conn->head = NULL;
	conn->body = NULL;
}

static void free_conn(struct ks_http_conn *conn)
{
	ks_list_remove(&conn->node);
	ks_timer_clear(&conn->timer);
	if (conn->sock)
		h2o_socket_close(conn->sock);
	http_fields_deinit(&conn->fields);
	drop_request(conn);
	conn->client->n_conns--;
	g_free(conn);
}

/**
 * http_conn_close() - close a connection and detach it from its call
 *
 * Does not notify the call. Inside the parser, freeing waits for its return.
 */
void http_conn_close(struct ks_http_conn *conn)
{
	conn->call = NULL;
	conn->closing = true;
	if (!conn->parsing)
		free_conn(conn);
}

static void free_conns(ks_list_t *conns)
{
	KS_LIST_FOREACH_SAFE (it, tmp, conns)
		free_conn(KS_CONTAINER_OF(it, struct ks_http_conn, node));
}

void http_peers_deinit(ks_http_client_t *client)
{
	GHashTableIter iter;
	gpointer value;

	free_conns(&client->conns);
	g_hash_table_iter_init(&iter, client->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		free_conns(&((struct ks_http_peer *)value)->idle);
	g_hash_table_destroy(client->peers);
	client->peers = NULL;
}

static void fail_conn(struct ks_http_conn *conn)
{
	ks_http_call_t *call = conn->call;

	http_conn_close(conn);
	if (call)
		http_call_failed(call);
}

static int on_message_begin(http_parser *parser)
{
	struct ks_http_conn *conn = parser->data;

	http_fields_clear(&conn->fields);
	return 0;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct ks_http_conn *conn = parser->data;

	http_fields_add_name(&conn->fields, at, len);
	return http_fields_bytes(&conn->fields) > MAX_HEAD_BYTES ||
	       conn->fields.spans->len > MAX_FIELDS;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct ks_http_conn *conn = parser->data;

	http_fields_add_value(&conn->fields, at, len);
	return http_fields_bytes(&conn->fields) > MAX_HEAD_BYTES;
}

static void update_idle_limit(struct ks_http_conn *conn,
			      const ks_header_t *headers, size_t n)
{
	ks_str_t text = ks_header_value(headers, n, "keep-alive");
	ks_str_t seconds = text;
	int64_t value;

	conn->max_idle_us = conn->client->max_idle_us;
	if (ks_str_has_prefix(text, KS_STR("timeout="))) {
		seconds.data += strlen("timeout=");
		seconds.len -= strlen("timeout=");
	}
	for (size_t i = 0; i < seconds.len; i++)
		if (!g_ascii_isdigit(seconds.data[i]))
			seconds.len = i;
	if (ks_str_parse_int(seconds, 0, G_MAXINT32, &value)) {
		int64_t stated = value * KS_USEC_PER_SEC;

		stated -= MIN(KEEP_ALIVE_MARGIN_US, stated / 2);
		conn->max_idle_us = MIN(conn->max_idle_us, stated);
	}
}

/**
 * enum response_owner - which request a response belongs to
 * @OWNER_CALL: the response has the id that the call expects, or the call
 *	expects none
 * @OWNER_UNNAMED: it has no id, or several that differ
 * @OWNER_OTHER: it has the id of another request
 */
enum response_owner {
	OWNER_CALL,
	OWNER_UNNAMED,
	OWNER_OTHER,
};

/* Whether a response names more than one request. */
static bool is_ambiguous(const ks_header_t *headers, size_t n, const char *name,
			 ks_str_t id)
{
	ks_str_t wanted = ks_str_from(name);

	for (size_t i = 0; i < n; i++)
		if (ks_str_equal_nocase(headers[i].name, wanted) &&
		    !ks_str_equal(headers[i].value, id))
			return true;
	return false;
}

static enum response_owner owner_of(const struct ks_http_conn *conn,
				    const ks_header_t *headers, size_t n)
{
	const ks_http_call_t *call = conn->call;
	const ks_header_t *echo;

	if (!call || !call->response_id->len)
		return OWNER_CALL;
	echo = ks_header_find(headers, n, call->response_id_header.data);
	if (!echo || is_ambiguous(headers, n, call->response_id_header.data,
				  echo->value))
		return OWNER_UNNAMED;
	return ks_str_equal(echo->value, (ks_str_t){ call->response_id->str,
						     call->response_id->len })
		       ? OWNER_CALL
		       : OWNER_OTHER;
}

/*
 * Whether a response is skipped: it belongs to an earlier request on the
 * connection, or may do so as it names none.
 */
static bool is_skipped(const struct ks_http_conn *conn,
		       enum response_owner owner)
{
	return owner == OWNER_OTHER ||
	       (owner == OWNER_UNNAMED && conn->call->conn_calls > 0);
}

static ks_http_framing_t framing_of(const struct ks_http_conn *conn)
{
	unsigned status = conn->parser.status_code;

	if (conn->call->is_head || status == 204 || status == 304)
		return KS_HTTP_FRAMING_NONE;
	if (conn->parser.flags & F_CHUNKED)
		return KS_HTTP_FRAMING_CHUNKED;
	return conn->parser.content_length == ULLONG_MAX
		       ? KS_HTTP_FRAMING_CLOSE
		       : KS_HTTP_FRAMING_LENGTH;
}

/*
 * Passes the head of a response to the call that it belongs to. Returns false
 * if the call's own response will not be recognized on this connection.
 */
static bool pass_head(struct ks_http_conn *conn, const ks_header_t *headers,
		      size_t n)
{
	ks_http_call_t *call = conn->call;
	enum response_owner owner = owner_of(conn, headers, n);

	conn->skipping_response = call && is_skipped(conn, owner);
	if (!call)
		return true;
	if (conn->skipping_response) {
		call->skipped++;
		/* Nothing can follow a response that ends the connection. */
		return http_should_keep_alive(&conn->parser);
	}
	call->response_started = true;
	call->response_named = owner == OWNER_CALL;
	call->framing = framing_of(conn);
	conn->single_use = owner == OWNER_UNNAMED;
	if (conn->single_use && !call->response_id_optional)
		return false;
	http_call_head(call, (int)conn->parser.status_code, headers, n);
	return true;
}

static void note_fault(struct ks_http_conn *conn, const char *fault)
{
	if (fault && conn->call)
		conn->call->fault = fault;
}

static int on_head(http_parser *parser)
{
	struct ks_http_conn *conn = parser->data;
	const char *fault;
	ks_header_t *headers;
	bool passed;
	size_t n;

	headers = http_fields_list(&conn->fields, &n);
	fault = http_find_fault(&conn->status_line, parser, &conn->fields,
				headers, n);
	note_fault(conn, fault);
	if (fault || parser->status_code / 100 == 1) {
		g_free(headers);
		return fault ? -1 : 0;
	}
	update_idle_limit(conn, headers, n);
	passed = pass_head(conn, headers, n);
	g_free(headers);
	http_fields_drop(&conn->fields);
	if (!passed)
		return -1;
	return conn->call && conn->call->is_head ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct ks_http_conn *conn = parser->data;

	if (conn->call && !conn->skipping_response)
		http_call_body(conn->call, (ks_str_t){ at, len });
	return conn->closing;
}

static int on_complete(http_parser *parser)
{
	struct ks_http_conn *conn = parser->data;

	if (conn->fields.is_malformed) {
		note_fault(conn, "malformed trailer field");
		return -1;
	}
	/* Ends parse_message(). */
	http_parser_pause(parser, 1);
	if (parser->status_code / 100 == 1 || conn->skipping_response)
		return 0;
	conn->response_complete = true;
	conn->reusable = http_should_keep_alive(parser) && !conn->single_use;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void on_idle_end(void *ctx)
{
	http_conn_close(ctx);
}

/* Input or a close on an idle connection: no request is waiting for it. */
static void on_idle_input(h2o_socket_t *sock, const char *err G_GNUC_UNUSED)
{
	http_conn_close(sock->data);
}

/*
 * Ends the call and keeps the connection for reuse, unless there was input
 * after the response: it would be parsed as the response to the next request.
 */
static void finish_response(struct ks_http_conn *conn, bool clean)
{
	ks_http_call_t *call = conn->call;

	conn->call = NULL;
	if (!clean || !conn->reusable || conn->writing ||
	    conn->max_idle_us <= 0) {
		http_conn_close(conn);
	} else {
		ks_list_remove(&conn->node);
		conn->node.next = conn->peer->idle.next;
		conn->node.prev = &conn->peer->idle;
		conn->node.next->prev = &conn->node;
		conn->peer->idle.next = &conn->node;
		h2o_socket_read_start(conn->sock, on_idle_input);
		ks_timer_init(&conn->timer, conn->client->loop, on_idle_end,
			      conn);
		ks_timer_set(&conn->timer, conn->max_idle_us);
	}
	http_call_complete(call);
}

/* Parses up to the end of one message; returns whether that was reached. */
static bool parse_message(struct ks_http_conn *conn, const char *data,
			  size_t len, size_t *used)
{
	http_status_line_note(&conn->status_line, data, len);
	*used = http_parser_execute(&conn->parser, &parser_settings, data, len);
	if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_PAUSED)
		return false;
	http_parser_pause(&conn->parser, 0);
	http_status_line_init(&conn->status_line);
	return true;
}

/*
 * Parses up to the end of the response to the call. No bytes stand for the end
 * of the connection.
 */
static bool parse(struct ks_http_conn *conn, const char *data, size_t len,
		  size_t *used)
{
	size_t n = 0;
	bool ended;

	*used = 0;
	conn->parsing = true;
	do {
		ended = parse_message(conn, data + *used, len - *used, &n);
		*used += n;
	} while (ended && !conn->response_complete && *used < len);
	conn->parsing = false;
	return HTTP_PARSER_ERRNO(&conn->parser) == HPE_OK;
}

/* Whether there is input that was not read yet. */
static bool has_input(const struct ks_http_conn *conn)
{
	char c;

	return recv(h2o_socket_get_fd(conn->sock), &c, 1,
		    MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Reads into the buffer of the client. Returns an error of h2o, or NULL. */
static const char *read_input(const struct ks_http_conn *conn, size_t *len)
{
	ssize_t n;

	do
		n = read(h2o_socket_get_fd(conn->sock), conn->client->input,
			 HTTP_CONN_INPUT_BYTES);
	while (n < 0 && errno == EINTR);
	*len = n > 0 ? (size_t)n : 0;
	if (!n)
		return h2o_socket_error_closed;
	return n > 0 || errno == EAGAIN ? NULL : h2o_socket_error_io;
}

/* Whether the response ends when the peer closes the connection. */
static bool ends_with_conn(const struct ks_http_conn *conn)
{
	const ks_http_call_t *call = conn->call;

	return call->response_started && !conn->skipping_response &&
	       call->framing == KS_HTTP_FRAMING_CLOSE;
}

/*
 * Acts on the end of the connection. A reset does not end a response without a
 * length, since data may have been lost, but only the first call on the socket
 * after it reports it. If that was the write of the request, reading reports a
 * regular end, so the end of the write is waited for.
 *
 * Return: false if the response is not complete and can't become so.
 */
static bool end_input(struct ks_http_conn *conn)
{
	size_t used;

	if (!ends_with_conn(conn))
		return parse(conn, "", 0, &used);
	if (conn->writing) {
		conn->input_ended = true;
		h2o_socket_read_stop(conn->sock);
		return true;
	}
	return !conn->write_failed && parse(conn, "", 0, &used);
}

/* Goes on after input has been parsed. */
static void conclude_input(struct ks_http_conn *conn, bool ok, const char *err,
			   bool is_all_used)
{
	if (conn->closing)
		free_conn(conn);
	else if (conn->response_complete)
		finish_response(conn, is_all_used && !err && !has_input(conn));
	else if (!ok || (err && !conn->input_ended))
		fail_conn(conn);
}

static void on_input(h2o_socket_t *sock, const char *err)
{
	struct ks_http_conn *conn = sock->data;
	size_t len = 0, used = 0;
	bool ok = true;

	if (!err)
		err = read_input(conn, &len);
	if (len)
		ok = parse(conn, conn->client->input, len, &used);
	if (conn->closing) {
		free_conn(conn);
		return;
	}
	if (!conn->call->response_started) {
		conn->ignored_bytes += used;
		ok &= conn->ignored_bytes <= MAX_IGNORED_BYTES;
	}
	if (ok && !conn->response_complete && err == h2o_socket_error_closed)
		ok = end_input(conn);
	conclude_input(conn, ok, err, used == len);
}

/* Acts on the end of the input, now that the request was written, or was not.
 */
static void end_input_late(struct ks_http_conn *conn)
{
	conn->input_ended = false;
	conclude_input(conn, end_input(conn), h2o_socket_error_closed, true);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct ks_http_conn *conn = sock->data;

	conn->writing = false;
	conn->write_failed = err != NULL;
	drop_request(conn);
	http_socket_written(sock, conn->call ? on_input : on_idle_input);
	if (conn->input_ended && conn->call)
		end_input_late(conn);
	/* The response may have been received already, so reading decides. */
	else if (err && conn->call && !h2o_socket_is_reading(sock))
		fail_conn(conn);
}

static void start_response(struct ks_http_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	http_status_line_init(&conn->status_line);
	conn->write_failed = false;
	conn->input_ended = false;
	conn->ignored_bytes = 0;
	conn->skipping_response = false;
	conn->response_complete = false;
	conn->reusable = false;
}

/**
 * http_conn_send() - write the request of a call on a connected connection
 */
void http_conn_send(struct ks_http_conn *conn, ks_http_call_t *call)
{
	h2o_iovec_t bufs[2];
	size_t n_bufs = 1;

	conn->call = call;
	call->conn_number = conn->number;
	call->conn_calls = conn->n_calls++;
	ks_timer_clear(&conn->timer);
	start_response(conn);
	conn->head = g_bytes_ref(call->request);
	conn->body = g_bytes_ref(call->body);
	if (!call->may_retry)
		http_call_drop_request(call);
	bufs[0].base = (char *)g_bytes_get_data(conn->head, &bufs[0].len);
	bufs[1].base = (char *)g_bytes_get_data(conn->body, &bufs[1].len);
	n_bufs += bufs[1].len > 0;
	conn->writing = true;
	h2o_socket_read_start(conn->sock, on_input);
	h2o_socket_write(conn->sock, bufs, n_bufs, on_written);
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct ks_http_conn *conn = sock->data;

	ks_timer_clear(&conn->timer);
	if (err) {
		fail_conn(conn);
		return;
	}
	conn->opened_us = ks_loop_now(conn->client->loop);
	http_call_connected(conn->call);
}

static void on_connect_timeout(void *ctx)
{
	fail_conn(ctx);
}

/* Closes the least recently used connection of a peer that has an idle one. */
static bool close_idle(ks_http_client_t *client)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ks_http_peer *peer = value;

		if (ks_list_is_empty(&peer->idle))
			continue;
		free_conn(KS_CONTAINER_OF(peer->idle.prev, struct ks_http_conn,
					  node));
		return true;
	}
	return false;
}

static h2o_socket_t *connect_to(ks_loop_t *loop, const ks_address_t *address)
{
	struct sockaddr_storage storage;
	socklen_t len = http_sockaddr(address, &storage);
	int fd = socket(storage.ss_family,
			SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	h2o_socket_t *sock;
	int on = 1;

	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	http_set_tcp_user_timeout(fd, TCP_USER_TIMEOUT_MS);
	if (connect(fd, (struct sockaddr *)&storage, len) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	sock = h2o_evloop_socket_create(loop->h2o, fd,
					H2O_SOCKET_FLAG_DONT_READ |
						H2O_SOCKET_FLAG_IS_CONNECTING);
	h2o_socket_notify_write(sock, on_connect);
	return sock;
}

/**
 * http_conn_open() - start to connect
 *
 * Ends in http_call_connected() or http_call_failed().
 *
 * Return: NULL if no socket can be created, or the client has too many.
 */
struct ks_http_conn *http_conn_open(ks_http_client_t *client,
				    const ks_address_t *address)
{
	struct ks_http_conn *conn;
	h2o_socket_t *sock;

	if (client->max_conns && client->n_conns >= client->max_conns &&
	    !close_idle(client))
		return NULL;
	sock = connect_to(client->loop, address);
	if (!sock)
		return NULL;
	client->n_conns++;
	conn = g_new0(struct ks_http_conn, 1);
	conn->client = client;
	conn->number = ++client->n_opened;
	conn->peer = find_peer(client, address);
	conn->sock = sock;
	conn->sock->data = conn;
	http_fields_init(&conn->fields);
	ks_timer_init(&conn->timer, client->loop, on_connect_timeout, conn);
	if (client->connect_timeout_us > 0)
		ks_timer_set(&conn->timer, client->connect_timeout_us);
	ks_list_append(&client->conns, &conn->node);
	return conn;
}

/**
 * http_conn_is_silent() - whether a connection that is not being read has
 * neither input nor been closed by the peer
 */
bool http_conn_is_silent(const struct ks_http_conn *conn)
{
	struct pollfd state = { .fd = h2o_socket_get_fd(conn->sock),
				.events = POLLIN };

	return !conn->sock->input->size && poll(&state, 1, 0) == 0;
}

/**
 * http_conn_take_idle() - take the most recently used idle connection
 *
 * Closes those on which something arrived that the loop has not seen yet.
 *
 * Return: NULL if there is none.
 */
struct ks_http_conn *http_conn_take_idle(ks_http_client_t *client,
					 const ks_address_t *address)
{
	struct ks_http_peer *peer = find_peer(client, address);

	KS_LIST_FOREACH_SAFE (it, tmp, &peer->idle) {
		struct ks_http_conn *conn =
			KS_CONTAINER_OF(it, struct ks_http_conn, node);

		h2o_socket_read_stop(conn->sock);
		if (http_conn_is_silent(conn)) {
			ks_list_remove(&conn->node);
			ks_list_append(&client->conns, &conn->node);
			ks_timer_clear(&conn->timer);
			return conn;
		}
		free_conn(conn);
	}
	return NULL;
}

/**
 * http_conn_pause() - stop reading until http_conn_resume()
 */
void http_conn_pause(struct ks_http_conn *conn)
{
	h2o_socket_read_stop(conn->sock);
}

void http_conn_resume(struct ks_http_conn *conn)
{
	h2o_socket_read_start(conn->sock, on_input);
}
