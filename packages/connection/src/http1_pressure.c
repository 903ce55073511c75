/*
 * Charges connections of callers to the account of the process, and acts when
 * memory or descriptors run out; http1_relief.c and body_pool.c decide.
 */
#include "http1_conn.h"
#include "http1_relief.h"

/*
 * A caller that takes nothing of its response for this time is disconnected,
 * while more than this share of the memory for callers is taken.
 */
#define SLOW_CALLER_US (2 * KS_USEC_PER_SEC)
#define SLOW_PRESSURE 0.5

/* A connection without its texts: its struct, h2o's, and small blocks. */
#define CONN_BYTES (sizeof(struct http1_conn) + (size_t)2048)

/* Whether callers that take nothing of their response are disconnected. */
static bool is_pressed(const ks_http1_server_t *server)
{
	return ks_memory_pressure(server->memory) > SLOW_PRESSURE;
}

static void set_stall_timer(struct http1_conn *conn)
{
	if (conn->server->memory->budget != SIZE_MAX &&
	    !ks_timer_is_set(&conn->timer))
		ks_timer_set(&conn->timer, SLOW_CALLER_US);
}

/* Disconnects a caller that takes nothing of its response. */
void http1_conn_check_stalled(struct http1_conn *conn)
{
	int64_t age = ks_loop_now(conn->server->loop) - conn->progress_us;
	bool is_slow = is_pressed(conn->server) && age >= SLOW_CALLER_US;

	if (!conn->writing)
		return;
	conn->server->stats.closed_slow += is_slow;
	if (is_slow || (!conn->serving && age >= conn->server->idle_timeout_us))
		http1_conn_close(conn);
	else if (conn->serving)
		set_stall_timer(conn);
	else
		http1_conn_await_drain(conn);
}

/**
 * http1_conn_await_drain() - wait until the output has left
 *
 * A caller that takes nothing of it for the idle timeout is disconnected.
 */
void http1_conn_await_drain(struct http1_conn *conn)
{
	int64_t timeout_us = conn->server->idle_timeout_us;

	if (conn->server->memory->budget != SIZE_MAX)
		timeout_us = MIN(timeout_us, SLOW_CALLER_US);
	ks_timer_set(&conn->timer, timeout_us);
}

/**
 * http1_conn_account() - charge the account for what the connection holds
 */
void http1_conn_account(struct http1_conn *conn)
{
	ks_memory_t *memory = conn->server->memory;

	ks_memory_hold(memory, KS_MEMORY_CONNECTIONS, &conn->held,
		       CONN_BYTES + conn->target->allocated_len +
			       conn->fields.text->allocated_len +
			       conn->ahead->allocated_len +
			       conn->fields.spans->len *
				       (sizeof(struct http_span) +
					sizeof(ks_header_t)));
	ks_memory_hold(memory, KS_MEMORY_OUTPUT, &conn->held_output,
		       conn->queued->allocated_len +
			       conn->sending->allocated_len);
	if (conn->serving && conn->writing)
		set_stall_timer(conn);
	if (!ks_memory_left(memory))
		http1_server_schedule_relief(conn->server);
}

static struct http1_relief_view view_of(const struct http1_conn *conn)
{
	bool receives = conn->request_started && !conn->serving &&
			!conn->draining && !conn->close_after;

	return (struct http1_relief_view){
		.is_idle = !conn->request_started && !conn->writing,
		.awaits_head = receives && !conn->body,
		.awaits_upstream = conn->serving && !conn->writing,
		.bytes = conn->held + conn->held_output + http1_body_size(conn),
		.progress_us = conn->progress_us,
	};
}

/* Closes connections until the budget suffices. */
static void free_memory(ks_http1_server_t *server)
{
	int64_t now = ks_loop_now(server->loop);

	while (!ks_memory_left(server->memory)) {
		struct http1_relief_view best;
		struct http1_conn *victim = NULL;

		KS_LIST_FOREACH (it, &server->conns) {
			struct http1_conn *conn =
				KS_CONTAINER_OF(it, struct http1_conn, node);
			struct http1_relief_view view = view_of(conn);

			if (conn->closed ||
			    !http1_relief_frees_memory(
				    &view, victim ? &best : NULL, now))
				continue;
			victim = conn;
			best = view;
		}
		if (!victim)
			return;
		server->stats.closed_for_memory++;
		http1_conn_close(victim);
	}
}

/* Closes a connection for a new one. Returns false if there is none to close.
 */
bool http1_server_free_descriptor(ks_http1_server_t *server)
{
	struct http1_relief_view best;
	struct http1_conn *victim = NULL;

	KS_LIST_FOREACH (it, &server->conns) {
		struct http1_conn *conn =
			KS_CONTAINER_OF(it, struct http1_conn, node);
		struct http1_relief_view view = view_of(conn);

		if (conn->closed || !http1_relief_frees_descriptor(
					    &view, victim ? &best : NULL))
			continue;
		victim = conn;
		best = view;
	}
	if (!victim)
		return false;
	server->stats.closed_for_descriptors++;
	http1_conn_close(victim);
	return true;
}

void http1_server_on_relief(void *ctx)
{
	ks_http1_server_t *server = ctx;
	struct body_share *share;

	free_memory(server);
	while ((share = body_pool_next(server->bodies)))
		h2o_socket_read_start(http1_body_conn_of(share)->sock,
				      http1_conn_on_readable);
}

/**
 * http1_server_schedule_relief() - have connections closed if the budget is
 * exceeded, and bodies that wait read on if there is room
 */
void http1_server_schedule_relief(ks_http1_server_t *server)
{
	if (server->memory->budget != SIZE_MAX &&
	    !ks_timer_is_set(&server->relief))
		ks_timer_set(&server->relief, 0);
}
