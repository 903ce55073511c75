/*
 * Second answers of a faulty replica: copies of an answer, with or without the
 * id of its request, or bytes that are no response. They arrive right after the
 * first answer, later, or when the next request has arrived on the connection.
 */
#ifndef SOAK_SECOND_H
#define SOAK_SECOND_H

#include "http1_conn.h"

/**
 * struct seconds - the second answers of a replica
 * @named_of_3: of three of them, so many bear the id of their request
 * @late: those that wait for the next request on their connection, as struct
 *	second by connection
 */
struct seconds {
	ks_loop_t *loop;
	ks_http1_server_t *server;
	ks_rng_t *rng;
	unsigned named_of_3;
	GHashTable *late;
};

/**
 * struct second_text - a second answer that has not been planned
 * @text: NULL if there is none
 * @ends: no response can follow @text, so the connection is closed after it
 */
struct second_text {
	GString *text;
	bool ends;
};

void seconds_init(struct seconds *seconds, ks_loop_t *loop,
		  ks_http1_server_t *server, ks_rng_t *rng,
		  unsigned named_of_3);
uint16_t seconds_peer_port(const struct http1_conn *conn);
struct second_text seconds_format(struct seconds *seconds, int status,
				  ks_str_t id, const ks_header_t *header,
				  const char *body);
void seconds_plan(struct seconds *seconds, struct http1_conn *conn,
		  uint16_t port, struct second_text text);
void seconds_send_late(struct seconds *seconds, struct http1_conn *conn);

#endif
