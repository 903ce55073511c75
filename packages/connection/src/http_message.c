/* Header fields, listeners and socket options of HTTP clients and servers. */
#include "http_message.h"

#include <arpa/inet.h>
#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

void http_fields_init(struct http_fields *fields)
{
	fields->text = g_string_new(NULL);
	fields->spans = g_array_new(FALSE, TRUE, sizeof(struct http_span));
	fields->in_value = true;
	fields->is_malformed = false;
	fields->is_listed = false;
	fields->trailer_bytes = 0;
}

void http_fields_deinit(struct http_fields *fields)
{
	g_string_free(fields->text, TRUE);
	g_array_free(fields->spans, TRUE);
}

void http_fields_clear(struct http_fields *fields)
{
	g_string_truncate(fields->text, 0);
	g_array_set_size(fields->spans, 0);
	fields->in_value = true;
	fields->is_malformed = false;
	fields->is_listed = false;
	fields->trailer_bytes = 0;
}

static struct http_span *last_span(struct http_fields *fields)
{
	return &g_array_index(fields->spans, struct http_span,
			      fields->spans->len - 1);
}

/*
 * The parser passes names and values in fragments of any size, and trailer
 * fields by the same callbacks as those of the head. Trailer fields must not
 * replace or join the fields of the head (RFC 9110, 6.5.1).
 */
void http_fields_add_name(struct http_fields *fields, const char *at,
			  size_t len)
{
	/* The parser takes a blank for a byte of a name. */
	fields->is_malformed |= !ks_header_is_name((ks_str_t){ at, len });
	if (fields->is_listed) {
		fields->trailer_bytes += len;
		return;
	}
	if (fields->in_value) {
		g_array_set_size(fields->spans, fields->spans->len + 1);
		last_span(fields)->name = fields->text->len;
		fields->in_value = false;
	}
	for (size_t i = 0; i < len; i++)
		g_string_append_c(fields->text, g_ascii_tolower(at[i]));
	last_span(fields)->name_len += len;
}

void http_fields_add_value(struct http_fields *fields, const char *at,
			   size_t len)
{
	fields->is_malformed |= !ks_header_is_value((ks_str_t){ at, len });
	if (fields->is_listed) {
		fields->trailer_bytes += len;
		return;
	}
	if (!fields->spans->len)
		return;
	if (!fields->in_value) {
		last_span(fields)->value = fields->text->len;
		fields->in_value = true;
	}
	g_string_append_len(fields->text, at, (gssize)len);
	last_span(fields)->value_len += len;
}

/**
 * http_fields_bytes() - length of all names and values, of the trailer too
 */
size_t http_fields_bytes(const struct http_fields *fields)
{
	return fields->text->len + fields->trailer_bytes;
}

/* The value of a field excludes white space around it (RFC 9110, 5.5). */
static ks_str_t trim(ks_str_t value)
{
	while (value.len && (*value.data == ' ' || *value.data == '\t')) {
		value.data++;
		value.len--;
	}
	while (value.len && (value.data[value.len - 1] == ' ' ||
			     value.data[value.len - 1] == '\t'))
		value.len--;
	return value;
}

/**
 * http_fields_list() - list the fields at the end of the head
 *
 * Fields that are added later are those of the trailer, and are dropped.
 *
 * Return: an array to be freed with g_free(). Its strings point into @fields
 * and are valid until http_fields_clear().
 */
ks_header_t *http_fields_list(struct http_fields *fields, size_t *count)
{
	ks_header_t *list = g_new(ks_header_t, fields->spans->len + 1);
	const char *text = fields->text->str;

	fields->is_listed = true;
	*count = fields->spans->len;
	for (size_t i = 0; i < *count; i++) {
		const struct http_span *span =
			&g_array_index(fields->spans, struct http_span, i);

		list[i].name = (ks_str_t){ text + span->name, span->name_len };
		list[i].value =
			trim((ks_str_t){ text + span->value, span->value_len });
	}
	return list;
}

/**
 * http_fields_drop() - free listed fields before the message has ended
 *
 * Fields that follow are still those of the trailer.
 */
void http_fields_drop(struct http_fields *fields)
{
	http_fields_deinit(fields);
	fields->text = g_string_new(NULL);
	fields->spans = g_array_new(FALSE, TRUE, sizeof(struct http_span));
}

/**
 * http_sockaddr() - convert an address to a socket address
 *
 * Return: its length.
 */
socklen_t http_sockaddr(const ks_address_t *address,
			struct sockaddr_storage *storage)
{
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;
	struct sockaddr_in *v4 = (struct sockaddr_in *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, address->ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(address->port);
		return sizeof(*v4);
	}
	inet_pton(AF_INET6, address->ip, &v6->sin6_addr);
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(address->port);
	return sizeof(*v6);
}

/**
 * http_set_tcp_user_timeout() - close a connection with unacknowledged data
 * @timeout_ms: time without an acknowledgement
 *
 * A peer that lost power or is cut off by the network never sends a reset.
 */
void http_set_tcp_user_timeout(int fd, unsigned timeout_ms)
{
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
}

/**
 * http_reset_at_close() - close a connection later with a reset, not a FIN
 *
 * A FIN would be the regular end of a response without a length.
 */
void http_reset_at_close(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static int open_listener(const ks_address_t *address, uint16_t *port)
{
	struct sockaddr_storage storage;
	socklen_t len = http_sockaddr(address, &storage);
	int reuse = 1;
	int fd = socket(storage.ss_family,
			SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	if (bind(fd, (struct sockaddr *)&storage, len) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&storage, &len)) {
		int saved = errno;

		close(fd);
		errno = saved;
		return -1;
	}
	/* The port has the same offset in sockaddr_in and sockaddr_in6. */
	*port = ntohs(((struct sockaddr_in *)&storage)->sin_port);
	return fd;
}

/**
 * http_listen() - listen on an address
 * @port: set to the port, also when the kernel chose it
 *
 * Return: NULL, with KS_ERROR_INTERNAL, if the address cannot be bound.
 */
h2o_socket_t *http_listen(ks_loop_t *loop, const ks_address_t *address,
			  uint16_t *port,
			  void (*on_accept)(h2o_socket_t *, const char *),
			  GError **error)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	int fd = open_listener(address, port);
	h2o_socket_t *sock;

	if (fd < 0) {
		ks_error_set(
			error, KS_ERROR_INTERNAL, "cannot listen on %s: %s",
			ks_address_format(address, text), g_strerror(errno));
		return NULL;
	}
	sock = h2o_evloop_socket_create(loop->h2o, fd,
					H2O_SOCKET_FLAG_DONT_READ);
	h2o_socket_read_start(sock, on_accept);
	return sock;
}

/**
 * http_socket_written() - must be called at the end of each write
 * @on_input: callback for input of the socket
 *
 * If a write that waited for the peer is followed by one that ends at once, h2o
 * 2.2.5 goes on polling the socket for writability, and aborts the process when
 * the peer reads on while nothing is being written. Setting the state of
 * reading again lets h2o look at what it has to poll for.
 */
void http_socket_written(h2o_socket_t *sock, h2o_socket_cb on_input)
{
	if (h2o_socket_is_reading(sock))
		h2o_socket_read_start(sock, on_input);
	else
		h2o_socket_read_stop(sock);
}
