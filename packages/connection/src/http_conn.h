/* Active and idle connections of the HTTP client. */
#ifndef KS_CONNECTION_HTTP_CONN_H
#define KS_CONNECTION_HTTP_CONN_H

#include "http_check.h"

#include <h2o.h>

/*
 * Read at once from a connection. h2o would read until the socket is empty,
 * which is as much as its peer can send meanwhile.
 */
#define HTTP_CONN_INPUT_BYTES ((size_t)64 * 1024)

struct ks_http_peer;

/**
 * struct ks_http_conn - connection of the HTTP client, for one call at a time
 * @node: entry in the client's list of active connections, or in the idle list
 *	of @peer
 * @call: NULL when idle, or once the call has been cancelled
 * @head, @body: request being written, or NULL
 * @timer: connect timeout, or idle timeout
 * @number: counted from the first connection of the client
 * @n_calls: calls sent on this connection
 * @opened_us: when it was established
 * @status_line: of the response being parsed
 * @ignored_bytes: bytes received before the response to the call
 * @max_idle_us: longest idle time after this response; 0 to close at once
 * @write_failed: the last request was not written
 * @input_ended: there is no more input, and whether that is the end of the
 *	response is known once the request has been written
 * @parsing: inside the parser, which must not free the connection
 * @skipping_response: the response belongs to an earlier request
 * @response_complete: the complete response was parsed
 * @reusable: the response allows keep-alive
 * @single_use: the peer does not name the request in its response
 * @closing: freed when the parser returns
 */
struct ks_http_conn {
	ks_list_t node;
	ks_http_client_t *client;
	struct ks_http_peer *peer;
	h2o_socket_t *sock;
	ks_http_call_t *call;
	GBytes *head;
	GBytes *body;
	http_parser parser;
	struct http_fields fields;
	ks_timer_t timer;
	uint64_t number;
	unsigned n_calls;
	int64_t opened_us;
	struct http_status_line status_line;
	size_t ignored_bytes;
	int64_t max_idle_us;
	bool writing;
	bool write_failed;
	bool input_ended;
	bool parsing;
	bool skipping_response;
	bool response_complete;
	bool reusable;
	bool single_use;
	bool closing;
};

struct ks_http_conn *http_conn_take_idle(ks_http_client_t *client,
					 const ks_address_t *address);
bool http_conn_is_silent(const struct ks_http_conn *conn);
struct ks_http_conn *http_conn_open(ks_http_client_t *client,
				    const ks_address_t *address);
void http_conn_send(struct ks_http_conn *conn, ks_http_call_t *call);
void http_conn_close(struct ks_http_conn *conn);
void http_conn_pause(struct ks_http_conn *conn);
void http_conn_resume(struct ks_http_conn *conn);
void http_peers_init(ks_http_client_t *client);
void http_peers_deinit(ks_http_client_t *client);

/* Implemented by http_client.c. */
void http_call_drop_request(ks_http_call_t *call);
void http_call_connected(ks_http_call_t *call);
void http_call_failed(ks_http_call_t *call);
void http_call_head(ks_http_call_t *call, int status,
		    const ks_header_t *headers, size_t n_headers);
void http_call_body(ks_http_call_t *call, ks_str_t data);
void http_call_complete(ks_http_call_t *call);

#endif
