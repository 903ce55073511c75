/*
 * Stand-ins for the scripts of this review: the platform's store, replicas and
 * clients, in one process with a thread for each connection, and the gateways
 * of the deploy file, which it starts as separate processes. All addresses are
 * on loopback.
 */
#ifndef WORLD_2_H
#define WORLD_2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_FIELDS 64

struct field {
	const char *name;
	const char *value;
};

struct request {
	int fd;
	char *method;
	char *target;
	struct field fields[MAX_FIELDS];
	size_t n_fields;
	char *body;
	size_t body_len;
};

/* Returns false to close the connection. */
typedef bool (*handler_t)(void *ctx, struct request *request);

int64_t now_ms(void);
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

int listen_on_free_port(int *port);
int free_port(void);
void serve(int listener, handler_t handler, void *ctx);
void start_thread(void *(*func)(void *), void *arg);
const char *field_of(const struct request *request, const char *name);
bool send_all(int fd, const void *data, size_t len);
bool send_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* The store of rows; returns its port. */
int store_start(void);
void store_put(const char *table, const char *key, const char *text);

/* Keeps copies of the store, from which it can return. */
void store_keep_copies(void);
void store_set_away(bool away);

/* Returns from a copy as it was @age_ms ago, with the next era. */
void store_return(int64_t age_ms);

/*
 * A replica of a service. Requests to a path that ends in "/stream" get
 * @events events, one each @gap_ms; others get a short body after @work_ms.
 */
struct replica {
	char id[32];
	const char *service;
	const char *zone;
	const char *software;
	int port;
	int events;
	int gap_ms;
	int work_ms;
	/* Padding of each event, for long answers. */
	int event_bytes;
	int64_t born_ms;
	int listener;
	int generation;
	/* "prefill" or "decode"; NULL for a replica without a stage. */
	const char *stage;
	bool draining;
	int seq;
	int handles;
	int64_t busy_until_ms;
};

/* Listens, on the port that it had, and announces itself. */
void replica_start(struct replica *replica);
void replica_listen(struct replica *replica);
void replica_announce(const struct replica *replica);
void replica_withdraw(const struct replica *replica);

/* Ends the process of the replica with its connections; its row stays. */
void replica_crash(struct replica *replica);

/* A gateway, started with the deploy file's command and template. */
struct gateway {
	char name[32];
	pid_t pid;
	int port;
	int ready_port;
	int peer_port;
	int metrics_port;
};

struct bounds {
	int drain_ms;
	int grace_s;
	int slack;
	int lease_ms;
	int memory_mb;
	int max_fds;
	int cloud_port;
	int usage_window_s;
};

void gateway_start(struct gateway *gateway, const char *name, const char *zone,
		   int store_port, const struct bounds *bounds);
bool gateway_is_ready(const struct gateway *gateway);
bool gateway_await_ready(const struct gateway *gateway, int64_t timeout_ms);
void gateway_signal(struct gateway *gateway, int signal);
void world_end(void);

/* Client side. */
int connect_to(int port, int64_t timeout_ms);
/* Appends what arrives; returns bytes, 0 at the end, -1 on error, -2 timeout.
 */
ssize_t read_more(int fd, char *buffer, size_t size, size_t *len,
		  int64_t until_ms);

#endif
