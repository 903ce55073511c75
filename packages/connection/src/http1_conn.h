/* A caller's connection; internal to the HTTP/1.1 server. */
#ifndef KS_CONNECTION_HTTP1_CONN_H
#define KS_CONNECTION_HTTP1_CONN_H

#include "body_pool.h"
#include "http_message.h"

#include <h2o.h>

/* Size of a server's buffer for input, and so of one read. */
#define HTTP1_INPUT_BYTES ((size_t)64 * 1024)

/*
 * With more input than this ahead of the request that is served, reading stops
 * until the next one. Until then a caller's disconnect is noticed at once.
 */
#define HTTP1_MAX_AHEAD_BYTES ((size_t)16 * 1024)

/**
 * struct http1_conn - connection of a caller
 * @node: entry in the server's list of connections
 * @request: the request being received or served
 * @target: request target received so far
 * @body: request body, NULL if there is none or it was handed over
 * @origin: hash of the caller's address
 * @progress_us: when a byte was last received or taken
 * @held: what the account was charged, without body and output
 * @held_output: what it was charged for output
 * @ahead: input after the request that is served
 * @queued: output to write after @sending
 * @sending: output being written, in pieces
 * @sent: size of the part of @sending that was written
 * @piece: size of the write in progress
 * @timer: request or idle timeout
 * @reject_status: status for a request that exceeds a limit; 0 for 400
 * @request_started: the first byte of the request was received
 * @request_complete: the request was received with its body
 * @draining: a response has ended and has not left; the next request is not
 *	handled until it has
 * @serving: the handler owns the request, until the response has ended
 * @response_started: status line and headers are queued
 * @chunked: the response uses chunked transfer coding
 * @ends_with_connection: the response has neither a length nor chunks
 * @no_body: the method is HEAD, or the status has no body
 * @close_after: close once all output is written
 * @writing: a write is in progress
 * @handling_input: inside on_input(), which must not free the connection
 * @free_deferred: free it at the end of on_input()
 * @closed: the socket is closed
 */
struct http1_conn {
	ks_list_t node;
	ks_http1_server_t *server;
	h2o_socket_t *sock;
	ks_http1_request_t request;
	http_parser parser;
	struct http_fields fields;
	GString *target;
	struct http1_body *body;
	uint64_t origin;
	int64_t progress_us;
	size_t held;
	size_t held_output;
	GString *ahead;
	GString *queued;
	GString *sending;
	size_t sent;
	size_t piece;
	ks_timer_t timer;
	unsigned reject_status;
	bool request_started;
	bool request_complete;
	bool draining;
	bool serving;
	bool response_started;
	bool chunked;
	bool ends_with_connection;
	bool no_body;
	bool keep_alive;
	bool close_after;
	bool writing;
	bool handling_input;
	bool free_deferred;
	bool closed;
};

static inline struct http1_conn *http1_conn_of(ks_http1_request_t *request)
{
	return KS_CONTAINER_OF(request, struct http1_conn, request);
}

/* http1_server.c */

void http1_conn_close(struct http1_conn *conn);
void http1_conn_close_socket(struct http1_conn *conn);
void http1_conn_discard(struct http1_conn *conn);
void http1_conn_next_request(struct http1_conn *conn);
void http1_conn_input_handled(struct http1_conn *conn);

/* http1_pressure.c */

void http1_conn_account(struct http1_conn *conn);
void http1_conn_await_drain(struct http1_conn *conn);
void http1_conn_check_stalled(struct http1_conn *conn);
bool http1_server_free_descriptor(ks_http1_server_t *server);
void http1_server_on_relief(void *ctx);
void http1_server_schedule_relief(ks_http1_server_t *server);

/* http1_body.c */

void http1_body_begin(struct http1_conn *conn, size_t declared);
size_t http1_body_reserve(struct http1_conn *conn);
bool http1_body_append(struct http1_conn *conn, const char *at, size_t len);
void http1_body_complete(struct http1_conn *conn);
void http1_body_free(struct http1_conn *conn);
ks_str_t http1_body_text(const struct http1_conn *conn);
size_t http1_body_size(const struct http1_conn *conn);
bool http1_body_waits(const struct http1_conn *conn);
struct http1_conn *http1_body_conn_of(struct body_share *share);

/* http1_input.c */

void http1_text_release(GString **text);
void http1_conn_parse_ahead(struct http1_conn *conn);
void http1_conn_on_readable(h2o_socket_t *sock, const char *err);

/* http1_response.c */

void http1_conn_flush(struct http1_conn *conn);

#endif
