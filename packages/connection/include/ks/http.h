/*
 * HTTP of the connection package: client, fetch, and two servers. Included by
 * ks/connection.h, which declares the loop, headers and addresses before it.
 */
#ifndef KS_HTTP_H
#define KS_HTTP_H

#include "ks/connection.h"

G_BEGIN_DECLS

/* http_client.c */

struct ks_http_conn;

/**
 * struct ks_http_client - what the calls of a process share
 * @peers: idle connections by the address of their peer
 * @calls: active calls
 * @conns: connections that are not idle
 * @max_idle_us: longest time that a connection stays idle, in microseconds
 * @connect_timeout_us: for a new connection, in microseconds; 0 for no limit
 */
typedef struct ks_http_client {
	ks_loop_t *loop;
	GHashTable *peers;
	ks_list_t calls;
	ks_list_t conns;
	int64_t max_idle_us;
	int64_t connect_timeout_us;
} ks_http_client_t;

/**
 * enum ks_http_result - how a call ended
 * @KS_HTTP_WHOLE: the answer arrived to its end
 * @KS_HTTP_NOT_SENT: no byte of the request left this process
 * @KS_HTTP_LOST: the request may have been carried out, and the answer is
 *	missing or cut short
 * @KS_HTTP_TIMED_OUT: as @KS_HTTP_LOST, because the time given was used up
 */
typedef enum ks_http_result {
	KS_HTTP_COMPLETE,
	KS_HTTP_NOT_SENT,
	KS_HTTP_INCOMPLETE,
	KS_HTTP_TIMED_OUT,
} ks_http_result_t;

/**
 * struct ks_http_request - a request to send
 * @address: peer
 * @method: e.g. "GET"
 * @target: path and query
 * @host: value of the Host field; empty for @address
 * @headers: without Host, Content-Length and Connection
 * @body: may be empty
 * @response_id_header: field, in lower case, in which the peer echoes an id;
 *empty if it does not. An answer that echoes another id is skipped.
 * @response_id: the id expected in it
 * @timeout_us: time for the whole call; 0 for no limit
 * @idle_timeout_us: longest wait for the next bytes; 0 for no limit
 * @reuse: may use a connection that served another call. Unless @once is set,
 *	only for requests that may be repeated: one that ends on such a
 *	connection before any byte of the answer is sent once more, on a new
 *	connection.
 * @once: never send it a second time
 */
typedef struct ks_http_request {
	ks_address_t address;
	ks_str_t method;
	ks_str_t target;
	ks_str_t host;
	const ks_header_t *headers;
	size_t n_headers;
	ks_str_t body;
	ks_str_t response_id_header;
	ks_str_t response_id;
	int64_t timeout_us;
	int64_t idle_timeout_us;
	bool reuse;
	bool no_retry;
} ks_http_request_t;

/**
 * struct ks_http_events - what a call reports
 * @sent: the connection is up and the request is about to be written; optional
 * @head: status and headers; the strings are valid during the call only
 * @body: next bytes of the body, valid during the call only
 * @done: last event; the call's memory may be used again
 * @dropped: last event instead of @done when the client is freed; optional. It
 *	may free the call's memory, and nothing else may be done in it.
 *
 * None is called before ks_http_call_start() has returned.
 */
typedef struct ks_http_events {
	void (*sent)(void *ctx);
	void (*head)(void *ctx, int status, const ks_header_t *headers,
		     size_t n_headers);
	void (*body)(void *ctx, ks_str_t data);
	void (*done)(void *ctx, ks_http_result_t result);
	void (*dropped)(void *ctx);
} ks_http_events_t;

/**
 * struct ks_http_call - one request and its answer, on memory of its owner
 * @conn: NULL until the call has been started, and after it has ended
 * @sent: on this connection or an earlier one
 * @reused: the connection served another call before
 * @may_retry: may be sent again if a reused connection ends
 * @response_started: a byte of the answer has come
 * @deferred: starts the call, since no event may come before
 *	ks_http_call_start() returns
 */
typedef struct ks_http_call {
	ks_list_t node;
	ks_http_client_t *client;
	struct ks_http_conn *conn;
	const ks_http_events_t *events;
	void *ctx;
	GString *request;
	ks_str_t response_id_header;
	GString *response_id;
	ks_timer_t deadline;
	ks_timer_t idle;
	ks_timer_t deferred;
	int64_t idle_timeout_us;
	ks_address_t address;
	bool active;
	bool is_head;
	bool sent;
	bool reuse;
	bool reused;
	bool may_retry;
	bool response_started;
} ks_http_call_t;

void ks_http_client_init(ks_http_client_t *client, ks_loop_t *loop);
void ks_http_client_deinit(ks_http_client_t *client);
void ks_http_call_start(ks_http_call_t *call, ks_http_client_t *client,
			const ks_http_request_t *request,
			const ks_http_events_t *events, void *ctx);
void ks_http_call_cancel(ks_http_call_t *call);
void ks_http_call_pause(ks_http_call_t *call);
void ks_http_call_resume(ks_http_call_t *call);
bool ks_http_call_is_active(const ks_http_call_t *call);

/* http_fetch.c */

/**
 * struct ks_http_response - a whole answer held in memory
 * @result: how the call ended; the rest is valid for KS_HTTP_WHOLE only
 */
typedef struct ks_http_response {
	ks_http_result_t result;
	int status;
	ks_str_t etag;
	ks_str_t retry_after;
	ks_str_t body;
} ks_http_response_t;

typedef void (*ks_http_fetch_func_t)(void *ctx,
				     const ks_http_response_t *answer);

void ks_http_fetch(ks_http_client_t *client, const ks_http_request_t *request,
		   size_t max_body, ks_http_fetch_func_t func, void *ctx);

/* http_server.c */

struct st_h2o_req_t;
struct ks_http_server_state;

typedef void (*ks_http_handler_func_t)(void *ctx, struct st_h2o_req_t *req);

/**
 * struct ks_http_server - HTTP/1.1 and cleartext HTTP/2 server
 */
typedef struct ks_http_server {
	ks_loop_t *loop;
	ks_http_handler_func_t handler;
	void *ctx;
	struct ks_http_server_state *state;
} ks_http_server_t;

bool ks_http_server_init(ks_http_server_t *server, ks_loop_t *loop,
			 const ks_address_t *address, size_t max_body,
			 ks_http_handler_func_t handler, void *ctx,
			 GError **error);
void ks_http_server_deinit(ks_http_server_t *server);
uint16_t ks_http_server_port(const ks_http_server_t *server);
void ks_http_server_close_listener(ks_http_server_t *server);
void ks_http_server_shutdown(ks_http_server_t *server);

void ks_http_reply(struct st_h2o_req_t *req, int status,
		   const char *content_type, ks_str_t body);
ks_str_t ks_http_req_header(struct st_h2o_req_t *req, const char *name);
ks_str_t ks_http_req_method(struct st_h2o_req_t *req);
ks_str_t ks_http_req_path(struct st_h2o_req_t *req);
ks_str_t ks_http_req_query(struct st_h2o_req_t *req);
ks_str_t ks_http_req_body(struct st_h2o_req_t *req);

/* http1_server.c */

/* Defaults of the limits, used until a configuration states its own. */
#define KS_HTTP1_MAX_HEADER_BYTES (16 * 1024)
#define KS_HTTP1_MAX_BODY_BYTES (4 * 1024 * 1024)
#define KS_HTTP1_HEADER_TIMEOUT_US (3 * KS_USEC_PER_SEC)
#define KS_HTTP1_IDLE_TIMEOUT_US (15 * KS_USEC_PER_SEC)

/**
 * struct ks_http1_request - a request, valid until its answer has ended
 * @target: path and query as sent
 * @headers: with names in lower case
 * @ctx: the handler's, passed to @gone and @drained
 * @gone: the caller has closed its connection; the request must still be ended
 * @drained: everything has been written, so that more may be
 */
typedef struct ks_http1_request {
	ks_str_t method;
	ks_str_t target;
	const ks_header_t *headers;
	size_t n_headers;
	ks_str_t body;
	void *ctx;
	void (*disconnected)(void *ctx);
	void (*drained)(void *ctx);
} ks_http1_request_t;

typedef void (*ks_http1_handler_func_t)(void *ctx, ks_http1_request_t *request);

/**
 * struct ks_http1_server - HTTP/1.1 server whose answers may be streamed
 * @malformed: told why a request could not be read; optional
 * @conns: open connections
 * @max_header_bytes: more is answered 431
 * @max_body_bytes: more is answered 413
 * @header_timeout_us: for a whole request; then 408
 * @idle_timeout_us: between requests
 * @stopping: answers ask callers to close their connection
 */
typedef struct ks_http1_server {
	ks_loop_t *loop;
	ks_http1_handler_func_t handler;
	void (*malformed)(void *ctx, const char *why);
	void *ctx;
	struct st_h2o_socket_t *listener;
	uint16_t port;
	ks_list_t conns;
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
	bool stopping;
} ks_http1_server_t;

bool ks_http1_server_init(ks_http1_server_t *server, ks_loop_t *loop,
			  const ks_address_t *address,
			  ks_http1_handler_func_t handler, void *ctx,
			  GError **error);
void ks_http1_server_deinit(ks_http1_server_t *server);
void ks_http1_server_close_listener(ks_http1_server_t *server);
void ks_http1_server_close_idle(ks_http1_server_t *server);
size_t ks_http1_server_n_serving(const ks_http1_server_t *server);

void ks_http1_start(ks_http1_request_t *request, int status,
		    const ks_header_t *headers, size_t n_headers,
		    int64_t length);
void ks_http1_body(ks_http1_request_t *request, ks_str_t data);
void ks_http1_end(ks_http1_request_t *request);
void ks_http1_abort(ks_http1_request_t *request);
void ks_http1_reject(ks_http1_request_t *request, int status);
size_t ks_http1_pending(ks_http1_request_t *request);

G_END_DECLS

#endif
