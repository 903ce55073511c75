/* HTTP server on h2o with one listener and one handler for all paths. */
#include "http_message.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

struct ks_http_server_state {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	uint16_t port;
};

struct server_handler {
	h2o_handler_t super;
	ks_http_server_t *server;
};

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	ks_http_server_t *server = ((struct server_handler *)self)->server;

	server->handler(server->ctx, req);
	return 0;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	ks_http_server_t *server = listener->data;
	h2o_socket_t *sock;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener)))
		h2o_accept(&server->state->accept, sock);
}

/**
 * ks_http_server_init() - start an HTTP/1.1 and HTTP/2 server
 * @address: port 0 lets the kernel choose; see ks_http_server_port()
 * @max_body: limit in bytes; longer request bodies are rejected with 413
 * @handler: called for each request once its body is complete
 *
 * Return: false, with KS_ERROR_INTERNAL, if the address cannot be bound.
 */
bool ks_http_server_init(ks_http_server_t *server, ks_loop_t *loop,
			 const ks_address_t *address, size_t max_body,
			 ks_http_handler_func_t handler, void *ctx,
			 GError **error)
{
	struct ks_http_server_state *state;
	struct server_handler *entry;
	h2o_socket_t *listener;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	uint16_t port;

	server->loop = loop;
	server->handler = handler;
	server->ctx = ctx;
	server->state = NULL;
	listener = http_listen(loop, address, &port, on_accept, error);
	if (!listener)
		return false;
	state = g_new0(struct ks_http_server_state, 1);
	server->state = state;
	state->port = port;
	h2o_config_init(&state->config);
	state->config.max_request_entity_size = max_body;
	state->config.server_name = h2o_iovec_init(H2O_STRLIT("knapweedstair"));
	host = h2o_config_register_host(
		&state->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	entry = (struct server_handler *)h2o_create_handler(path,
							    sizeof(*entry));
	entry->super.on_req = on_request;
	entry->server = server;
	h2o_context_init(&state->context, loop->h2o, &state->config);
	state->accept.ctx = &state->context;
	state->accept.hosts = state->config.hosts;
	state->listener = listener;
	state->listener->data = server;
	return true;
}

/**
 * ks_http_server_port() - port that the server listens on
 */
uint16_t ks_http_server_port(const ks_http_server_t *server)
{
	return server->state->port;
}

/**
 * ks_http_server_close_listener() - stop accepting connections
 */
void ks_http_server_close_listener(ks_http_server_t *server)
{
	if (!server->state || !server->state->listener)
		return;
	h2o_socket_read_stop(server->state->listener);
	h2o_socket_close(server->state->listener);
	server->state->listener = NULL;
}

/**
 * ks_http_server_shutdown() - stop gracefully
 *
 * Stops accepting connections and closes each one once the responses to its
 * requests have been sent.
 */
void ks_http_server_shutdown(ks_http_server_t *server)
{
	ks_http_server_close_listener(server);
	if (server->state)
		h2o_context_request_shutdown(&server->state->context);
}

/**
 * ks_http_server_deinit() - stop listening and free the server
 *
 * All connections must have been closed, and the loop must not run afterwards.
 */
void ks_http_server_deinit(ks_http_server_t *server)
{
	if (!server->state)
		return;
	ks_http_server_close_listener(server);
	h2o_context_dispose(&server->state->context);
	h2o_config_dispose(&server->state->config);
	g_free(server->state);
	server->state = NULL;
}

/**
 * ks_http_reply() - send a complete response
 * @content_type: NUL-terminated; copied
 * @body: copied
 *
 * Further header fields may be added to req->res before this call.
 */
void ks_http_reply(h2o_req_t *req, int status, const char *content_type,
		   ks_str_t body)
{
	h2o_iovec_t type = h2o_strdup(&req->pool, content_type, SIZE_MAX);

	req->res.status = status;
	req->res.reason = "";
	/*
	 * Without a length, h2o ends every response other than a 200 by closing
	 * the connection, which also drops pipelined requests.
	 */
	req->res.content_length = body.len;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, type.base, type.len);
	h2o_send_inline(req, body.data ? body.data : "", body.len);
}

/**
 * ks_http_req_header() - value of a request header field
 * @name: NUL-terminated, in lower case
 *
 * Return: the value; empty if the field is missing.
 */
ks_str_t ks_http_req_header(h2o_req_t *req, const char *name)
{
	ssize_t index = h2o_find_header_by_str(&req->headers, name,
					       strlen(name), SIZE_MAX);

	if (index == -1)
		return (ks_str_t){ NULL, 0 };
	return (ks_str_t){ req->headers.entries[index].value.base,
			   req->headers.entries[index].value.len };
}

/**
 * ks_http_req_method() - method of a request
 */
ks_str_t ks_http_req_method(h2o_req_t *req)
{
	return (ks_str_t){ req->method.base, req->method.len };
}

/**
 * ks_http_req_path() - path of a request as sent, without the query
 */
ks_str_t ks_http_req_path(h2o_req_t *req)
{
	size_t len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

	return (ks_str_t){ req->path.base, len };
}

/**
 * ks_http_req_query() - query of a request without the question mark, or empty
 */
ks_str_t ks_http_req_query(h2o_req_t *req)
{
	if (req->query_at == SIZE_MAX)
		return (ks_str_t){ NULL, 0 };
	return (ks_str_t){ req->path.base + req->query_at + 1,
			   req->path.len - req->query_at - 1 };
}

/**
 * ks_http_req_body() - body of a request
 */
ks_str_t ks_http_req_body(h2o_req_t *req)
{
	return (ks_str_t){ req->entity.base, req->entity.len };
}
