/*
 * Stand-ins for the scripts of the review: the platform's store, replicas,
 * clients and a launcher of the system's own programs, all on loopback.
 * Each accepted connection has a thread of its own.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_FIELDS 64
#define MAX_HEAD 16384

/* One HTTP message, a request or the head of a response. */
struct message {
	char head[MAX_HEAD];
	char method[16];
	char target[1024];
	int status;
	struct {
		const char *name;
		const char *value;
	} field[MAX_FIELDS];
	int n_fields;
	char *body;
	size_t body_len;
	bool complete;
};

const char *message_field(const struct message *m, const char *name);
void message_free(struct message *m);

/* Unix time in milliseconds at the start of the program. */
int64_t unix_start_ms(void);
/* Milliseconds of the steady clock since the start of the program. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
/* Writes a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends the script with status 2: the case could not run. */
void cannot_run(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* A connection; input that is buffered belongs to the next message. */
struct conn {
	int fd;
	char buffer[65536];
	size_t have;
	size_t at;
};

bool conn_write(struct conn *conn, const void *data, size_t len);
bool conn_print(struct conn *conn, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Reads a request, or a response if @is_response; false at the end. */
bool conn_read_head(struct conn *conn, struct message *m, bool is_response);
/*
 * Reads the body by its length, its chunks, or up to the end of the connection
 * if @until_close. Each piece is passed to @piece, if there is one. Sets
 * @m->complete.
 */
void conn_read_body(struct conn *conn, struct message *m, bool until_close,
		    void (*piece)(void *ctx, const char *data, size_t len),
		    void *ctx);
/* Connects from a loopback address; -1 if it fails within a second. */
int connect_to(const char *ip, int port);

/* A server; the handler is called for each request on the thread of its
 * connection, and returns whether the connection stays open. */
struct server;
typedef bool (*server_func_t)(void *ctx, struct server *server,
			      struct conn *conn, struct message *request);

#define MAX_CONNS 1024
struct server {
	char ip[32];
	int port;
	int listener;
	server_func_t func;
	void *ctx;
	pthread_mutex_t lock;
	int fds[MAX_CONNS];
	unsigned generation;
};

/* Port 0 lets the kernel choose one, which the server keeps for good. */
void server_start(struct server *server, const char *ip, int port,
		  server_func_t func, void *ctx);
/* As the end of a process: closes the listener and resets each connection. */
void server_crash(struct server *server);
void server_restart(struct server *server);

/* The platform's store. */
void store_start(const char *ip);
int store_port(void);
const char *store_ip(void);
void store_put(const char *table, const char *key, const char *value);
void store_remove(const char *table, const char *key);

/* Calls @publish for each of @n replicas once in a heartbeat interval. */
void beat_start(void (*publish)(int i), int n);

/* A process of the system. */
struct node {
	char name[32];
	char ip[32];
	int port;
	int ready_port;
	int peer_port;
	pid_t pid;
};

/* Starts the role 'entry' of the deploy file, and waits until it is ready. */
void node_start(struct node *node, int number);
/* Starts the process of a node again, at the same addresses. */
void node_launch(struct node *node);
bool node_is_ready(const struct node *node);
/* Waits for the end; the status as of waitpid(), -1 if it still runs. */
int node_wait(struct node *node, int64_t ms);
/* Ends all processes that were started. */
void end_all(void);

/* Address of this run: "127.A.B.N". */
const char *run_ip(int n, char ip[32]);
/* Directory of the case and whether the disruption takes place. */
void harness_init(int argc, char **argv);
bool with_trouble(void);
void start_thread(void *(*func)(void *ctx), void *ctx);

#endif
