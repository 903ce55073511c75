/* Formats and sends the second answers of a faulty replica. */
#include "second.h"

#include <netinet/in.h>
#include <string.h>

#define DELAY_US (5 * KS_USEC_PER_MSEC)

/**
 * struct second - a second answer
 * @conn: connection of the first answer, which may have been closed
 * @port: port of the peer, which tells @conn from a later one in its memory
 */
struct second {
	struct seconds *seconds;
	struct http1_conn *conn;
	uint16_t port;
	ks_timer_t timer;
	struct second_text text;
};

static void free_second(void *data)
{
	struct second *second = data;

	ks_timer_clear(&second->timer);
	g_string_free(second->text.text, TRUE);
	g_free(second);
}

void seconds_init(struct seconds *seconds, ks_loop_t *loop,
		  ks_http1_server_t *server, ks_rng_t *rng, unsigned named_of_3)
{
	seconds->loop = loop;
	seconds->server = server;
	seconds->rng = rng;
	seconds->named_of_3 = named_of_3;
	seconds->late = g_hash_table_new_full(NULL, NULL, NULL, free_second);
}

/**
 * seconds_peer_port() - port of the peer of a connection
 *
 * Return: 0 if the connection is closed.
 */
uint16_t seconds_peer_port(const struct http1_conn *conn)
{
	struct sockaddr_in in = { 0 };
	socklen_t len = sizeof(in);

	if (!conn->sock || getpeername(h2o_socket_get_fd(conn->sock),
				       (struct sockaddr *)&in, &len))
		return 0;
	return ntohs(in.sin_port);
}

/**
 * seconds_format() - copy a response, or make bytes that are none
 * @header: goes into the copy, as does the id unless it is left out
 */
struct second_text seconds_format(struct seconds *seconds, int status,
				  ks_str_t id, const ks_header_t *header,
				  const char *body)
{
	bool named = ks_rng_below(seconds->rng, 3) < seconds->named_of_3;
	GString *text = g_string_new(NULL);
	bool ends;

	if (!named && !ks_rng_below(seconds->rng, 4)) {
		g_string_append(text, "not a response\r\n\r\n");
		return (struct second_text){ text, true };
	}
	g_string_append_printf(text, "HTTP/1.1 %d Again\r\n%.*s: %.*s\r\n",
			       status, (int)header->name.len, header->name.data,
			       (int)header->value.len, header->value.data);
	if (named)
		g_string_append_printf(text, "request-id: %.*s\r\n",
				       (int)id.len, id.data);
	/* Without a length, the response ends with the connection. */
	ends = !ks_rng_below(seconds->rng, 4);
	if (!ends)
		g_string_append_printf(text, "content-length: %zu\r\n",
				       strlen(body));
	g_string_append_printf(text, "\r\n%s", body);
	return (struct second_text){ text, ends };
}

static bool is_open(const struct second *second)
{
	KS_LIST_FOREACH (it, &second->seconds->server->conns) {
		struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);

		if (conn == second->conn)
			return !conn->closed &&
			       seconds_peer_port(conn) == second->port;
	}
	return false;
}

static void write_second(struct second *second)
{
	const GString *text = second->text.text;

	if (!is_open(second))
		return;
	g_string_append_len(second->conn->queued, text->str, (gssize)text->len);
	second->conn->close_after |= second->text.ends;
	http1_conn_flush(second->conn);
}

static void on_delay_over(void *ctx)
{
	struct second *second = ctx;

	if (is_open(second) && !second->conn->serving)
		write_second(second);
	free_second(second);
}

/**
 * seconds_plan() - send a second answer at a time drawn at random
 * @conn: idle again after the first answer, or closed
 * @port: port of its peer before it may have been closed
 * @text: freed
 */
void seconds_plan(struct seconds *seconds, struct http1_conn *conn,
		  uint16_t port, struct second_text text)
{
	struct second *second = g_new0(struct second, 1);

	second->seconds = seconds;
	second->conn = conn;
	second->port = port;
	second->text = text;
	ks_timer_init(&second->timer, seconds->loop, on_delay_over, second);
	switch (ks_rng_below(seconds->rng, text.ends ? 2 : 4)) {
	case 0:
		write_second(second);
		free_second(second);
		break;
	case 1:
		ks_timer_set(&second->timer, DELAY_US);
		break;
	default:
		g_hash_table_replace(seconds->late, conn, second);
	}
}

/**
 * seconds_send_late() - send the second answer that waits for a request
 */
void seconds_send_late(struct seconds *seconds, struct http1_conn *conn)
{
	struct second *second = g_hash_table_lookup(seconds->late, conn);

	if (!second)
		return;
	write_second(second);
	g_hash_table_remove(seconds->late, conn);
}
