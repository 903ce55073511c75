/* HTTP message and socket helpers, shared by the client and the servers. */
#ifndef KS_CONNECTION_HTTP_MESSAGE_H
#define KS_CONNECTION_HTTP_MESSAGE_H

#include "ks/connection.h"

#include <h2o/socket.h>
#include <http_parser.h>
#include <sys/socket.h>

/**
 * struct http_fields - header fields of the message being parsed
 * @text: concatenated names, in lower case, and values
 * @spans: array of struct http_span, one for each field
 * @in_value: the last fragment was part of a value, so that the next name
 *	fragment begins a field
 * @is_malformed: a name or value, also one of the trailer, has a byte that must
 *	not be there
 * @is_listed: http_fields_list() was called, so that @text must not move
 * @trailer_bytes: length of the trailer fields, which are dropped
 */
struct http_fields {
	GString *text;
	GArray *spans;
	bool in_value;
	bool is_malformed;
	bool is_listed;
	size_t trailer_bytes;
};

/**
 * struct http_span - offsets and lengths of a field in struct http_fields.text
 */
struct http_span {
	size_t name, name_len;
	size_t value, value_len;
};

void http_fields_init(struct http_fields *fields);
void http_fields_deinit(struct http_fields *fields);
void http_fields_clear(struct http_fields *fields);
void http_fields_add_name(struct http_fields *fields, const char *at,
			  size_t len);
void http_fields_add_value(struct http_fields *fields, const char *at,
			   size_t len);
size_t http_fields_bytes(const struct http_fields *fields);
void http_fields_drop(struct http_fields *fields);
ks_header_t *http_fields_list(struct http_fields *fields, size_t *count);

void http_socket_written(h2o_socket_t *sock, h2o_socket_cb on_input);

socklen_t http_sockaddr(const ks_address_t *address,
			struct sockaddr_storage *storage);
struct st_h2o_socket_t *
http_listen(ks_loop_t *loop, const ks_address_t *address, uint16_t *port,
	    void (*on_accept)(struct st_h2o_socket_t *, const char *),
	    GError **error);
void http_set_tcp_user_timeout(int fd, unsigned timeout_ms);
void http_reset_at_close(int fd);

#endif
