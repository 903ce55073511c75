/*
 * HTTP client, buffered fetch, and two HTTP servers: one on h2o (HTTP/1.1 and
 * HTTP/2, request and response held in memory) and one for proxied HTTP/1.1
 * requests with streamed responses. Included by ks/connection.h, which declares
 * the loop, headers and addresses before it.
 */
#ifndef KS_HTTP_H
#define KS_HTTP_H

#include "ks/connection.h"
#include "ks/memory.h"

G_BEGIN_DECLS

/* http_client.c */

struct ks_http_conn;

/**
 * struct ks_http_client - HTTP/1.1 client with a pool of idle connections
 * @peers: idle connections by the address of their peer
 * @calls: active calls
 * @conns: connections that are not idle
 * @input: buffer for what is read from a connection
 * @n_opened: connections opened so far
 * @max_idle_us: idle connections are closed after this time, in microseconds
 * @connect_timeout_us: for a new connection, in microseconds; 0 for no limit
 * @n_conns: connections, idle or not
 * @max_conns: limit for @n_conns; 0 for none. Above it, calls end with
 *	KS_HTTP_NOT_SENT unless an idle connection can be closed.
 */
typedef struct ks_http_client {
	ks_loop_t *loop;
	GHashTable *peers;
	ks_list_t calls;
	ks_list_t conns;
	char *input;
	uint64_t n_opened;
	int64_t max_idle_us;
	int64_t connect_timeout_us;
	size_t n_conns;
	size_t max_conns;
} ks_http_client_t;

/**
 * enum ks_http_result - how a call ended
 * @KS_HTTP_COMPLETE: the complete response was received
 * @KS_HTTP_NOT_SENT: no byte of the request left this process
 * @KS_HTTP_INCOMPLETE: the request may have been processed, and the response
 *	is missing or truncated
 * @KS_HTTP_TIMED_OUT: as @KS_HTTP_INCOMPLETE, because a timeout expired
 */
typedef enum ks_http_result {
	KS_HTTP_COMPLETE,
	KS_HTTP_NOT_SENT,
	KS_HTTP_INCOMPLETE,
	KS_HTTP_TIMED_OUT,
} ks_http_result_t;

/**
 * enum ks_http_framing - what marks the end of a response
 * @KS_HTTP_FRAMING_NONE: it has no body, or has not been received
 * @KS_HTTP_FRAMING_LENGTH: Content-Length
 * @KS_HTTP_FRAMING_CHUNKED: the last chunk
 * @KS_HTTP_FRAMING_CLOSE: the end of the connection, which the failure of the
 *	peer brings about as well
 */
typedef enum ks_http_framing {
	KS_HTTP_FRAMING_NONE,
	KS_HTTP_FRAMING_LENGTH,
	KS_HTTP_FRAMING_CHUNKED,
	KS_HTTP_FRAMING_CLOSE,
} ks_http_framing_t;

/**
 * struct ks_http_request - a request to send
 * @address: peer
 * @method: e.g. "GET"
 * @target: path and query
 * @host: value of the Host field; empty for @address
 * @headers: without Host, Content-Length and Connection
 * @body: may be empty
 * @shared_body: the body instead of @body, which is then not copied; NULL for
 *	none
 * @response_id_header: name, in lower case, of the response header in which the
 *	peer echoes an id; empty if it echoes none. A response with another id
 *	belongs to an earlier request on the connection and is skipped, and so
 *	is one without an id, or with several that differ, which can belong to
 *	any of them. If no other response can follow, or there was no earlier
 *	request, the call ends with KS_HTTP_INCOMPLETE, but for
 *	@response_id_optional.
 * @response_id: value expected in that header. It must not have been that of an
 *	earlier request on the connection.
 * @response_id_optional: the peer may echo no id. A response without one is
 *	accepted on a connection that has served no other call, and the
 *	connection is closed after it.
 * @wanted_field: name, in lower case, of a response header that
 *	ks_http_fetch() passes on; NULL for none
 * @max_body: limit for the response body in bytes; 0 for no limit. A longer one
 *	may have no end: the connection is closed, and the call ends with
 *	KS_HTTP_INCOMPLETE.
 * @timeout_us: limit for the whole call; 0 for no limit
 * @idle_timeout_us: longest wait for the next bytes; 0 for no limit
 * @reuse: may use an idle connection, and leave it idle for other requests. If
 *	the peer may give a response late or twice, only with @response_id, by
 *	which the responses are told apart. Unless @no_retry is set, only for
 *	requests that may be repeated: if the reused connection closes before
 *	the head of the response, the request is sent once more on a new
 *	connection.
 * @no_retry: never send the request a second time
 */
typedef struct ks_http_request {
	ks_address_t address;
	ks_str_t method;
	ks_str_t target;
	ks_str_t host;
	const ks_header_t *headers;
	size_t n_headers;
	ks_str_t body;
	GBytes *shared_body;
	ks_str_t response_id_header;
	ks_str_t response_id;
	bool response_id_optional;
	const char *wanted_field;
	size_t max_body;
	int64_t timeout_us;
	int64_t idle_timeout_us;
	bool reuse;
	bool no_retry;
} ks_http_request_t;

/**
 * enum ks_http_permit - whether a request is sent on its connection
 * @KS_HTTP_SEND: at once. If something has arrived on the connection, or the
 *	peer has closed it, the request is not sent there, but on a new one if
 *	the connection had been idle.
 * @KS_HTTP_WITHHOLD: not at all; the call ends with KS_HTTP_NOT_SENT
 * @KS_HTTP_WAIT: asked for again by ks_http_call_permit()
 */
typedef enum ks_http_permit {
	KS_HTTP_SEND,
	KS_HTTP_WITHHOLD,
	KS_HTTP_WAIT,
} ks_http_permit_t;

/**
 * struct ks_http_events - callbacks of a call
 * @permits: connected; may the request be sent; optional
 * @sent: connected and about to write the request; optional
 * @head: status and headers; the strings are valid during the call only
 * @body: next bytes of the body, valid during the call only
 * @done: last event, also when the client is freed; the memory of the call may
 *	be reused
 *
 * No event is called before ks_http_call_start() has returned.
 */
typedef struct ks_http_events {
	ks_http_permit_t (*permits)(void *ctx);
	void (*sent)(void *ctx);
	void (*head)(void *ctx, int status, const ks_header_t *headers,
		     size_t n_headers);
	void (*body)(void *ctx, ks_str_t data);
	void (*done)(void *ctx, ks_http_result_t result);
} ks_http_events_t;

/**
 * struct ks_http_call - one request and its response; allocated by its owner
 * @conn: NULL until the call has been started, and after it has ended
 * @request: head of the request; NULL once it cannot be sent again
 * @body: body of the request, as @request
 * @is_head: the method is HEAD, so the response has no body
 * @sent: the request was sent on this connection or an earlier one
 * @reused: the connection served another call before
 * @may_retry: may be sent again if a reused connection closes
 * @response_id_optional: see struct ks_http_request
 * @response_started: the head of the response was received
 * @response_named: the response has the expected id
 * @framing: what marks the end of the response
 * @fault: why what arrived is no response in the protocol, for logs; NULL if
 *	it is one. The call ends as one whose connection has failed.
 * @max_body: see struct ks_http_request
 * @body_bytes: size of the part of the body that has arrived
 * @conn_number: number of the connection, counted from the first of the client;
 *	0 before there is one
 * @conn_calls: calls that the connection served before this one
 * @conn_opened_us: when the connection was established, 0 before
 * @is_waiting: connected, and the request waits for ks_http_call_permit()
 * @skipped: responses to other requests, or without an id, that arrived before
 *	the response
 * @deferred: starts the call on the next loop iteration, since no event may
 *	be called before ks_http_call_start() returns
 */
typedef struct ks_http_call {
	ks_list_t node;
	ks_http_client_t *client;
	struct ks_http_conn *conn;
	const ks_http_events_t *events;
	void *ctx;
	GBytes *request;
	GBytes *body;
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
	bool response_id_optional;
	bool response_started;
	bool response_named;
	ks_http_framing_t framing;
	const char *fault;
	size_t max_body;
	size_t body_bytes;
	uint64_t conn_number;
	unsigned conn_calls;
	int64_t conn_opened_us;
	bool is_waiting;
	unsigned skipped;
} ks_http_call_t;

void ks_http_client_init(ks_http_client_t *client, ks_loop_t *loop);
void ks_http_client_deinit(ks_http_client_t *client);
void ks_http_call_start(ks_http_call_t *call, ks_http_client_t *client,
			const ks_http_request_t *request,
			const ks_http_events_t *events, void *ctx);
void ks_http_call_cancel(ks_http_call_t *call);
void ks_http_call_permit(ks_http_call_t *call);
void ks_http_call_pause(ks_http_call_t *call);
void ks_http_call_resume(ks_http_call_t *call);
bool ks_http_call_is_active(const ks_http_call_t *call);

/* http_fetch.c */

/**
 * struct ks_http_response - a response buffered in memory
 * @result: how the call ended; the other fields are valid for
 *	KS_HTTP_COMPLETE only
 * @wanted: value of the request's @wanted_field
 */
typedef struct ks_http_response {
	ks_http_result_t result;
	int status;
	ks_str_t etag;
	ks_str_t retry_after;
	ks_str_t wanted;
	ks_str_t body;
} ks_http_response_t;

typedef struct ks_http_fetch ks_http_fetch_t;

typedef void (*ks_http_fetch_func_t)(void *ctx,
				     const ks_http_response_t *response);

ks_http_fetch_t *ks_http_fetch(ks_http_client_t *client,
			       const ks_http_request_t *request,
			       size_t max_body, ks_http_fetch_func_t func,
			       void *ctx);
void ks_http_fetch_cancel(ks_http_fetch_t *fetch);

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

/* Default limits, used until the configuration sets them. */
#define KS_HTTP1_MAX_HEADER_BYTES (16 * 1024)
#define KS_HTTP1_MAX_BODY_BYTES (4 * 1024 * 1024)
#define KS_HTTP1_HEADER_TIMEOUT_US (3 * KS_USEC_PER_SEC)
#define KS_HTTP1_IDLE_TIMEOUT_US (15 * KS_USEC_PER_SEC)

/**
 * struct ks_http1_request - a request, valid until its response has ended
 * @target: path and query as sent
 * @headers: with names in lower case
 * @ctx: set by the handler; passed to @disconnected and @drained
 * @disconnected: the caller closed its connection; the handler must still end
 *	the request with ks_http1_end() or ks_http1_abort()
 * @drained: the write buffer is empty, so more can be written
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
 * struct ks_http1_stats - what a server did for lack of memory or descriptors
 * @paused_bodies: how often a body was not read on
 * @refused_bodies: bodies refused with 503 as they waited too long
 * @closed_for_memory: connections closed as the budget was exceeded
 * @closed_slow: connections closed as their caller took no response
 * @closed_for_descriptors: idle or slow connections closed for new ones
 * @accept_pauses: how often no connection was accepted
 */
typedef struct ks_http1_stats {
	uint64_t paused_bodies;
	uint64_t refused_bodies;
	uint64_t closed_for_memory;
	uint64_t closed_slow;
	uint64_t closed_for_descriptors;
	uint64_t accept_pauses;
} ks_http1_stats_t;

/**
 * struct ks_http1_server - HTTP/1.1 server with streamed responses
 * @malformed: called with the parse error of a rejected request; optional
 * @conns: open connections
 * @input: what was read from a connection last
 * @bodies: decides which bodies are read
 * @memory: account of the process, or @own_memory
 * @relief: runs what is to be done for lack of memory
 * @n_conns: connections with an open socket
 * @max_conns: limit for @n_conns; 0 for none
 * @accept_paused: the listener is not read
 * @max_header_bytes: larger request heads are rejected with 431
 * @max_body_bytes: larger request bodies are rejected with 413
 * @header_timeout_us: limit for receiving a complete request, including its
 *	body; then 408
 * @idle_timeout_us: limit for the time between requests
 * @stopping: responses carry "connection: close"
 */
typedef struct ks_http1_server {
	ks_loop_t *loop;
	ks_http1_handler_func_t handler;
	void (*malformed)(void *ctx, const char *why);
	void *ctx;
	struct st_h2o_socket_t *listener;
	uint16_t port;
	ks_list_t conns;
	char *input;
	struct body_pool *bodies;
	ks_memory_t *memory;
	ks_memory_t own_memory;
	ks_timer_t relief;
	size_t n_conns;
	size_t max_conns;
	bool accept_paused;
	ks_http1_stats_t stats;
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
void ks_http1_server_set_memory(ks_http1_server_t *server, ks_memory_t *memory);
void ks_http1_server_close_listener(ks_http1_server_t *server);
void ks_http1_server_close_idle(ks_http1_server_t *server);
void ks_http1_server_refuse_unfinished(ks_http1_server_t *server);
size_t ks_http1_max_conns(size_t max_descriptors);
size_t ks_http1_server_n_serving(const ks_http1_server_t *server);

void ks_http1_start(ks_http1_request_t *request, int status,
		    const ks_header_t *headers, size_t n_headers,
		    int64_t length);
void ks_http1_body(ks_http1_request_t *request, ks_str_t data);
void ks_http1_end(ks_http1_request_t *request);
void ks_http1_abort(ks_http1_request_t *request);
void ks_http1_reject(ks_http1_request_t *request, int status);
size_t ks_http1_pending(ks_http1_request_t *request);
GBytes *ks_http1_take_body(ks_http1_request_t *request);

G_END_DECLS

#endif
