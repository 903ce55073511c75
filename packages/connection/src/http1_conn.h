/* Connections of callers, shared by the files of the HTTP/1.1 server. */
#ifndef KS_CONNECTION_HTTP1_CONN_H
#define KS_CONNECTION_HTTP1_CONN_H

#include "http_message.h"

#include <h2o.h>

/**
 * struct http1_conn - a connection of a caller
 * @node: in the server's list
 * @request: the one being read or served
 * @queued: bytes to write after @sending
 * @sending: bytes handed to the kernel, in part
 * @timer: header or idle timeout
 * @serving: the handler has the request, until the answer has ended
 * @chunked: the answer is sent in chunks
 * @close_after: close once everything is written
 * @handling_input: input is being handled, so that freeing waits
 * @free_deferred: to be freed when that is done
 */
struct http1_conn {
	ks_list_t node;
	ks_http1_server_t *server;
	h2o_socket_t *sock;
	ks_http1_request_t request;
	http_parser parser;
	struct http_fields fields;
	GString *target;
	GString *body;
	GString *queued;
	GString *sending;
	ks_timer_t timer;
	unsigned reject_status;
	bool request_started;
	bool request_complete;
	bool serving;
	bool response_started;
	bool chunked;
	bool no_body;
	bool keep_alive;
	bool close_after;
	bool writing;
	bool handling_input;
	bool free_deferred;
	bool closing;
};

static inline struct http1_conn *http1_conn_of(ks_http1_request_t *request)
{
	return KS_CONTAINER_OF(request, struct http1_conn, request);
}

/* http1_server.c */

void http1_conn_flush(struct http1_conn *conn);
void http1_conn_close(struct http1_conn *conn);
void http1_conn_close_socket(struct http1_conn *conn);
void http1_conn_discard(struct http1_conn *conn);
void http1_conn_await_request(struct http1_conn *conn);

#endif
