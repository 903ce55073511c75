/* The body of a request: received in one block, which outlives the request. */
#include "http1_conn.h"

#include <string.h>

/* Largest growth of a block at once. */
#define STEP_BYTES ((size_t)256 * 1024)

#define MIN_READ_BYTES ((size_t)16 * 1024)

/**
 * struct http1_body - body of a request
 * @share: its part of the memory for bodies
 * @conn: connection that receives it, NULL once it was handed over
 * @size: size of the block
 * @held: what the account was charged
 */
struct http1_body {
	struct body_share share;
	ks_http1_server_t *server;
	struct http1_conn *conn;
	char *data;
	size_t len;
	size_t size;
	size_t held;
};

static void resize(struct http1_body *body, size_t size)
{
	body->data = g_realloc(body->data, size);
	body->size = size;
	ks_memory_hold(body->server->memory, KS_MEMORY_BODIES, &body->held,
		       size + sizeof(*body));
}

static void free_body(void *ctx)
{
	struct http1_body *body = ctx;
	ks_http1_server_t *server = body->server;

	body_pool_remove(server->bodies, &body->share);
	ks_memory_hold(server->memory, KS_MEMORY_BODIES, &body->held, 0);
	http1_server_schedule_relief(server);
	g_free(body->data);
	g_free(body);
}

void http1_body_free(struct http1_conn *conn)
{
	if (conn->body)
		free_body(conn->body);
	conn->body = NULL;
}

/**
 * http1_body_begin() - expect the body of a request
 * @declared: its length, 0 if it is not known
 */
void http1_body_begin(struct http1_conn *conn, size_t declared)
{
	struct http1_body *body = g_new0(struct http1_body, 1);

	body->server = conn->server;
	body->conn = conn;
	body_pool_add(conn->server->bodies, &body->share, conn->origin,
		      declared, conn->server->max_body_bytes);
	conn->body = body;
	ks_memory_hold(conn->server->memory, KS_MEMORY_BODIES, &body->held,
		       sizeof(*body));
}

/**
 * http1_body_reserve() - make room for the next part of the body
 *
 * Growing by at least a half keeps the cost of copies linear.
 *
 * Return: how much may be read, 0 if the connection has to wait.
 */
size_t http1_body_reserve(struct http1_conn *conn)
{
	struct http1_body *body = conn->body;
	struct body_pool *pool = conn->server->bodies;
	size_t part = CLAMP(body->len, MIN_READ_BYTES, HTTP1_INPUT_BYTES);
	size_t most = body->share.most;
	size_t need = MIN(most, body->len + part);
	size_t size = MIN(
		most, MAX(need, body->size + MIN(body->size / 2, STEP_BYTES)));

	if (body->size < need) {
		if (!body_pool_grow(pool, &body->share, size - body->size)) {
			size = need;
			if (!body_pool_grow(pool, &body->share,
					    size - body->size))
				return 0;
		}
		resize(body, size);
	}
	/* Also the frames of chunks are read. */
	return CLAMP(body->size - body->len, MIN_READ_BYTES, HTTP1_INPUT_BYTES);
}

/**
 * http1_body_append() - append received bytes
 *
 * Return: false if the body is too long.
 */
bool http1_body_append(struct http1_conn *conn, const char *at, size_t len)
{
	struct http1_body *body = conn->body;

	if (body->len + len > body->server->max_body_bytes)
		return false;
	if (body->len + len > body->size) {
		body_pool_force(body->server->bodies, &body->share,
				body->len + len - body->size);
		resize(body, body->len + len);
	}
	memcpy(body->data + body->len, at, len);
	body->len += len;
	return true;
}

/**
 * http1_body_complete() - free what the complete body does not need
 */
void http1_body_complete(struct http1_conn *conn)
{
	struct http1_body *body = conn->body;

	if (!body)
		return;
	body_pool_complete(body->server->bodies, &body->share, body->len);
	if (body->size != body->len)
		resize(body, body->len);
	http1_server_schedule_relief(body->server);
}

ks_str_t http1_body_text(const struct http1_conn *conn)
{
	if (!conn->body)
		return (ks_str_t){ NULL, 0 };
	return (ks_str_t){ conn->body->data, conn->body->len };
}

size_t http1_body_size(const struct http1_conn *conn)
{
	return conn->body ? conn->body->size : 0;
}

/* Whether the body is not read for lack of memory. */
bool http1_body_waits(const struct http1_conn *conn)
{
	return conn->body && conn->body->share.wanted;
}

/**
 * http1_body_conn_of() - connection of a body that is being received
 */
struct http1_conn *http1_body_conn_of(struct body_share *share)
{
	return KS_CONTAINER_OF(share, struct http1_body, share)->conn;
}

/**
 * ks_http1_take_body() - hand the body of a request over to its handler
 *
 * @request->body points into the result from then on. The server must outlive
 * the result.
 *
 * Return: to be freed with g_bytes_unref().
 */
GBytes *ks_http1_take_body(ks_http1_request_t *request)
{
	struct http1_conn *conn = http1_conn_of(request);
	struct http1_body *body = conn->body;

	if (!body)
		return g_bytes_new_static("", 0);
	conn->body = NULL;
	body->conn = NULL;
	return g_bytes_new_with_free_func(body->data, body->len, free_body,
					  body);
}
