#define _GNU_SOURCE
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_NODES 32

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t began_ms;
static char work[] = "/tmp/review.XXXXXX";
static pid_t pids[MAX_NODES];
static int n_pids;

static int64_t steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t began_unix_ms;

int64_t unix_start_ms(void)
{
	return began_unix_ms;
}

int64_t now_ms(void)
{
	return steady_ms() - began_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&ts, NULL);
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void cannot_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(stderr, "cannot run: ");
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
	end_all();
	_exit(2);
}

bool with_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

static void on_alarm(int signal)
{
	(void)signal;
	for (int i = 0; i < n_pids; i++)
		kill(pids[i], SIGKILL);
	_exit(2);
}

void harness_init(int argc, char **argv)
{
	struct timespec unix_time;
	char path[512];

	if (argc != 2) {
		fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
		exit(2);
	}
	clock_gettime(CLOCK_REALTIME, &unix_time);
	began_unix_ms = (int64_t)unix_time.tv_sec * 1000 +
			unix_time.tv_nsec / 1000000;
	began_ms = steady_ms();
	snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
	record_file = fopen(path, "w");
	if (!record_file || !mkdtemp(work)) {
		perror(path);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	signal(SIGTERM, on_alarm);
	signal(SIGINT, on_alarm);
	alarm(110);
	record("disruption: %s", with_trouble() ? "yes" : "no");
}

const char *run_ip(int n, char ip[32])
{
	unsigned id = (unsigned)getpid();

	snprintf(ip, 32, "127.%u.%u.%d", 10 + id / 250 % 200, 1 + id % 250, n);
	return ip;
}

void start_thread(void *(*func)(void *ctx), void *ctx)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&thread, &attr, func, ctx))
		cannot_run("no thread");
	pthread_attr_destroy(&attr);
}

/* Messages */

const char *message_field(const struct message *m, const char *name)
{
	for (int i = 0; i < m->n_fields; i++)
		if (!strcasecmp(m->field[i].name, name))
			return m->field[i].value;
	return NULL;
}

void message_free(struct message *m)
{
	free(m->body);
	m->body = NULL;
	m->body_len = 0;
}

bool conn_write(struct conn *conn, const void *data, size_t len)
{
	const char *at = data;

	while (len) {
		ssize_t n = send(conn->fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool conn_print(struct conn *conn, const char *format, ...)
{
	char text[8192];
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	return n >= 0 && (size_t)n < sizeof(text) &&
	       conn_write(conn, text, (size_t)n);
}

static bool fill(struct conn *conn)
{
	ssize_t n;

	if (conn->at == conn->have)
		conn->at = conn->have = 0;
	if (conn->have == sizeof(conn->buffer))
		return false;
	do
		n = recv(conn->fd, conn->buffer + conn->have,
			 sizeof(conn->buffer) - conn->have, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	conn->have += (size_t)n;
	return true;
}

static int read_byte(struct conn *conn)
{
	if (conn->at == conn->have && !fill(conn))
		return -1;
	return (unsigned char)conn->buffer[conn->at++];
}

/* Returns the length of a line without its end, or -1. */
static int read_line(struct conn *conn, char *line, size_t size)
{
	size_t n = 0;

	for (;;) {
		int c = read_byte(conn);

		if (c < 0 || n + 1 >= size)
			return -1;
		if (c == '\n')
			break;
		line[n++] = (char)c;
	}
	while (n && line[n - 1] == '\r')
		n--;
	line[n] = '\0';
	return (int)n;
}

bool conn_read_head(struct conn *conn, struct message *m, bool is_response)
{
	char *at = m->head;
	int n;

	memset(m, 0, sizeof(*m));
	n = read_line(conn, at, 2048);
	if (n <= 0)
		return false;
	if (is_response) {
		if (sscanf(at, "HTTP/1.%*c %d", &m->status) != 1)
			return false;
	} else if (sscanf(at, "%15s %1023s HTTP/1.1", m->method, m->target) !=
		   2) {
		return false;
	}
	at += n + 1;
	for (;;) {
		char *colon, *value;

		if (at > m->head + MAX_HEAD - 2048)
			return false;
		n = read_line(conn, at, 2048);
		if (n < 0)
			return false;
		if (!n)
			return true;
		colon = strchr(at, ':');
		if (!colon || m->n_fields == MAX_FIELDS)
			return false;
		*colon = '\0';
		value = colon + 1;
		while (*value == ' ')
			value++;
		m->field[m->n_fields].name = at;
		m->field[m->n_fields++].value = value;
		at += n + 1;
	}
}

static void add_body(struct message *m, const char *data, size_t len)
{
	m->body = realloc(m->body, m->body_len + len + 1);
	memcpy(m->body + m->body_len, data, len);
	m->body_len += len;
	m->body[m->body_len] = '\0';
}

typedef void (*piece_func_t)(void *ctx, const char *data, size_t len);

/* Reads @len bytes; false if the connection ends before. */
static bool read_exactly(struct conn *conn, struct message *m, size_t len,
			 piece_func_t piece, void *ctx)
{
	while (len) {
		size_t n;

		if (conn->at == conn->have && !fill(conn))
			return false;
		n = conn->have - conn->at;
		if (n > len)
			n = len;
		if (piece)
			piece(ctx, conn->buffer + conn->at, n);
		add_body(m, conn->buffer + conn->at, n);
		conn->at += n;
		len -= n;
	}
	return true;
}

static bool read_chunks(struct conn *conn, struct message *m,
			piece_func_t piece, void *ctx)
{
	char line[2048];

	for (;;) {
		size_t len;

		if (read_line(conn, line, sizeof(line)) <= 0)
			return false;
		len = strtoul(line, NULL, 16);
		if (!len)
			break;
		if (!read_exactly(conn, m, len, piece, ctx) ||
		    read_line(conn, line, sizeof(line)) != 0)
			return false;
	}
	for (;;) {
		int n = read_line(conn, line, sizeof(line));

		if (n <= 0)
			return n == 0;
	}
}

void conn_read_body(struct conn *conn, struct message *m, bool until_close,
		    piece_func_t piece, void *ctx)
{
	const char *length = message_field(m, "content-length");
	const char *coding = message_field(m, "transfer-encoding");

	add_body(m, "", 0);
	if (coding && !strcasecmp(coding, "chunked")) {
		m->complete = read_chunks(conn, m, piece, ctx);
	} else if (length) {
		m->complete = read_exactly(conn, m, strtoul(length, NULL, 10),
					   piece, ctx);
	} else if (until_close) {
		while (read_exactly(conn, m, 1, piece, ctx))
			;
		m->complete = true;
	} else {
		m->complete = true;
	}
}

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	inet_pton(AF_INET, ip, &address.sin_addr);
	address.sin_port = htons((uint16_t)port);
	return address;
}

int connect_to(const char *ip, int port)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd wait = { fd, POLLOUT, 0 };
	int error = 0, one = 1;
	socklen_t len = sizeof(error);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    (errno != EINPROGRESS || poll(&wait, 1, 1000) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* Servers */

struct accepted {
	struct server *server;
	int fd;
	int slot;
	unsigned generation;
};

static void *serve_conn(void *ctx)
{
	struct accepted *accepted = ctx;
	struct server *server = accepted->server;
	struct conn *conn = calloc(1, sizeof(*conn));
	struct message *request = calloc(1, sizeof(*request));
	bool open = true;

	conn->fd = accepted->fd;
	while (open && conn_read_head(conn, request, false)) {
		conn_read_body(conn, request, false, NULL, NULL);
		open = request->complete &&
		       server->func(server->ctx, server, conn, request);
		message_free(request);
	}
	pthread_mutex_lock(&server->lock);
	if (server->fds[accepted->slot] == conn->fd)
		server->fds[accepted->slot] = -1;
	close(conn->fd);
	pthread_mutex_unlock(&server->lock);
	free(request);
	free(conn);
	free(accepted);
	return NULL;
}

static void keep_conn(struct server *server, int fd, unsigned generation)
{
	struct accepted *accepted = calloc(1, sizeof(*accepted));
	int slot = 0, one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pthread_mutex_lock(&server->lock);
	while (slot < MAX_CONNS && server->fds[slot] >= 0)
		slot++;
	if (slot == MAX_CONNS || generation != server->generation) {
		close(fd);
		free(accepted);
		pthread_mutex_unlock(&server->lock);
		return;
	}
	server->fds[slot] = fd;
	pthread_mutex_unlock(&server->lock);
	*accepted = (struct accepted){ server, fd, slot, generation };
	start_thread(serve_conn, accepted);
}

struct listening {
	struct server *server;
	int fd;
	unsigned generation;
};

static void *accept_conns(void *ctx)
{
	struct listening *listening = ctx;

	for (;;) {
		int fd = accept4(listening->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0) {
			keep_conn(listening->server, fd,
				  listening->generation);
			continue;
		}
		if (errno != EINTR && errno != ECONNABORTED)
			break;
	}
	close(listening->fd);
	free(listening);
	return NULL;
}

static void open_listener(struct server *server)
{
	struct sockaddr_in address = address_of(server->ip, server->port);
	struct listening *listening = calloc(1, sizeof(*listening));
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, len) || listen(fd, 512) ||
	    getsockname(fd, (struct sockaddr *)&address, &len))
		cannot_run("cannot listen on %s:%d", server->ip, server->port);
	server->port = ntohs(address.sin_port);
	server->listener = fd;
	*listening = (struct listening){ server, fd, server->generation };
	start_thread(accept_conns, listening);
}

void server_start(struct server *server, const char *ip, int port,
		  server_func_t func, void *ctx)
{
	memset(server, 0, sizeof(*server));
	snprintf(server->ip, sizeof(server->ip), "%s", ip);
	server->port = port;
	server->func = func;
	server->ctx = ctx;
	pthread_mutex_init(&server->lock, NULL);
	memset(server->fds, -1, sizeof(server->fds));
	open_listener(server);
}

void server_crash(struct server *server)
{
	struct linger reset = { 1, 0 };

	pthread_mutex_lock(&server->lock);
	server->generation++;
	shutdown(server->listener, SHUT_RDWR);
	server->listener = -1;
	for (int i = 0; i < MAX_CONNS; i++) {
		if (server->fds[i] < 0)
			continue;
		setsockopt(server->fds[i], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		/* Its thread closes it, which resets the connection. */
		shutdown(server->fds[i], SHUT_RD);
		server->fds[i] = -1;
	}
	pthread_mutex_unlock(&server->lock);
}

void server_restart(struct server *server)
{
	open_listener(server);
}

/* The store */

#define MAX_ROWS 512

struct row {
	char table[64];
	char part[200];
	char key[200];
	char *value; /* in base64 */
	int64_t version;
	bool removed;
};

static struct server store;
static struct row rows[MAX_ROWS];
static int n_rows;
static int64_t version;
static pthread_mutex_t rows_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t rows_changed = PTHREAD_COND_INITIALIZER;

static char *to_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, len / 3 * 4 + 8), *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t word = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			word |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			word |= (unsigned char)text[i + 2];
		*at++ = digits[word >> 18];
		*at++ = digits[word >> 12 & 63];
		*at++ = i + 1 < len ? digits[word >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[word & 63] : '=';
	}
	return out;
}

static struct row *find_row(const char *table, const char *part,
			    const char *key)
{
	for (int i = 0; i < n_rows; i++)
		if (!strcmp(rows[i].table, table) &&
		    !strcmp(rows[i].part, part) && !strcmp(rows[i].key, key))
			return &rows[i];
	return NULL;
}

/* The lock is held, and the version is that of the transaction. */
static void set_row(const char *table, const char *part, const char *key,
		    const char *value)
{
	struct row *row = find_row(table, part, key);

	if (!row) {
		if (n_rows == MAX_ROWS)
			cannot_run("the store is full");
		row = &rows[n_rows++];
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->part, sizeof(row->part), "%s", part);
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	free(row->value);
	row->value = strdup(value ? value : "");
	row->removed = !value;
	row->version = version;
}

void store_put(const char *table, const char *key, const char *value)
{
	char *encoded = value ? to_base64(value) : NULL;

	pthread_mutex_lock(&rows_lock);
	version++;
	set_row(table, "", key, encoded);
	pthread_cond_broadcast(&rows_changed);
	pthread_mutex_unlock(&rows_lock);
	free(encoded);
}

void store_remove(const char *table, const char *key)
{
	store_put(table, key, NULL);
}

static bool answer(struct conn *conn, int status, const char *body)
{
	return conn_print(conn,
			  "HTTP/1.1 %d Status\r\nContent-Type: "
			  "application/json\r\nContent-Length: %zu\r\n\r\n",
			  status, strlen(body)) &&
	       conn_write(conn, body, strlen(body));
}

/* Copies the parameter @name of the query, or an empty text. */
static void parameter(const char *target, const char *name, char *out,
		      size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name), n = 0;

	*out = '\0';
	for (; at; at = strchr(at, '&')) {
		at++;
		if (strncmp(at, name, len) != 0 || at[len] != '=')
			continue;
		for (at += len + 1; *at && *at != '&' && n + 1 < size; at++) {
			if (*at == '%' && at[1] && at[2]) {
				char hex[3] = { at[1], at[2], '\0' };

				out[n++] = (char)strtol(hex, NULL, 16);
				at += 2;
			} else {
				out[n++] = *at;
			}
		}
		out[n] = '\0';
		return;
	}
}

static int by_version(const void *a, const void *b)
{
	const struct row *x = *(struct row *const *)a;
	const struct row *y = *(struct row *const *)b;

	return (x->version > y->version) - (x->version < y->version);
}

static int by_key(const void *a, const void *b)
{
	const struct row *x = *(struct row *const *)a;
	const struct row *y = *(struct row *const *)b;

	return strcmp(x->key, y->key);
}

/* The lock is held. */
static char *format_rows(struct row **list, int n)
{
	size_t size = 256;
	char *text, *at;

	for (int i = 0; i < n; i++)
		size += strlen(list[i]->value) + 700;
	at = text = malloc(size);
	at += sprintf(at, "{\"rows\":[");
	for (int i = 0; i < n; i++)
		at += sprintf(at,
			      "%s{\"table\":\"%s\",\"part\":\"%s\",\"key\":"
			      "\"%s\",\"value\":\"%s\",\"ver\":%lld%s}",
			      i ? "," : "", list[i]->table, list[i]->part,
			      list[i]->key, list[i]->value,
			      (long long)list[i]->version,
			      list[i]->removed ? ",\"tombstone\":true" : "");
	sprintf(at, "],\"has-more\":false,\"ver\":%lld,\"now-ms\":%lld}",
		(long long)version, (long long)now_ms());
	return text;
}

static char *get_rows(const char *target)
{
	char table[64], part[200], from[200], to[200], limit[16];
	struct row *list[MAX_ROWS];
	int n = 0, most;
	char *text;

	parameter(target, "table", table, sizeof(table));
	parameter(target, "part", part, sizeof(part));
	parameter(target, "from", from, sizeof(from));
	parameter(target, "to", to, sizeof(to));
	parameter(target, "limit", limit, sizeof(limit));
	most = *limit ? atoi(limit) : 500;
	pthread_mutex_lock(&rows_lock);
	for (int i = 0; i < n_rows; i++)
		if (!rows[i].removed && !strcmp(rows[i].table, table) &&
		    !strcmp(rows[i].part, part) &&
		    strcmp(rows[i].key, from) >= 0 &&
		    (!*to || strcmp(rows[i].key, to) < 0))
			list[n++] = &rows[i];
	qsort(list, (size_t)n, sizeof(*list), by_key);
	text = format_rows(list, n < most ? n : most);
	pthread_mutex_unlock(&rows_lock);
	return text;
}

static char *feed_rows(const char *target)
{
	char table[64], after_text[32], wait_text[32];
	struct row *list[MAX_ROWS];
	int64_t after, until;
	int n = 0;
	char *text;

	parameter(target, "table", table, sizeof(table));
	parameter(target, "after", after_text, sizeof(after_text));
	parameter(target, "wait-ms", wait_text, sizeof(wait_text));
	after = atoll(after_text);
	until = now_ms() + atoll(wait_text);
	pthread_mutex_lock(&rows_lock);
	for (;;) {
		struct timespec ts;

		n = 0;
		for (int i = 0; i < n_rows; i++)
			if (!strcmp(rows[i].table, table) &&
			    rows[i].version > after)
				list[n++] = &rows[i];
		if (n || now_ms() >= until)
			break;
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 20 * 1000000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_nsec -= 1000000000;
			ts.tv_sec++;
		}
		pthread_cond_timedwait(&rows_changed, &rows_lock, &ts);
	}
	qsort(list, (size_t)n, sizeof(*list), by_version);
	text = format_rows(list, n);
	pthread_mutex_unlock(&rows_lock);
	return text;
}

/* The text of member @name of the flat object that begins at @at. */
static void member_text(const char *at, const char *end, const char *name,
			char *out, size_t size)
{
	char quoted[64];
	size_t n = 0;
	const char *found;

	snprintf(quoted, sizeof(quoted), "\"%s\"", name);
	found = strstr(at, quoted);
	*out = '\0';
	if (!found || found > end)
		return;
	found += strlen(quoted);
	while (*found == ' ' || *found == ':' || *found == '"')
		found++;
	while (*found && *found != '"' && *found != ',' && *found != '}' &&
	       n + 1 < size)
		out[n++] = *found++;
	out[n] = '\0';
}

struct entry {
	char table[64];
	char part[200];
	char key[200];
	char number[32];
	char value[8192];
};

/* Parses the next object of the list @name; the values hold no braces. */
static const char *next_entry(const char *body, const char *name,
			      const char *at, struct entry *entry)
{
	const char *end;

	if (!at) {
		char quoted[64];

		snprintf(quoted, sizeof(quoted), "\"%s\"", name);
		at = strstr(body, quoted);
		at = at ? strchr(at, '[') : NULL;
		if (!at)
			return NULL;
		at++;
	}
	while (*at == ',' || *at == ' ')
		at++;
	if (*at != '{')
		return NULL;
	end = strchr(at, '}');
	if (!end)
		return NULL;
	member_text(at, end, "table", entry->table, sizeof(entry->table));
	member_text(at, end, "part", entry->part, sizeof(entry->part));
	member_text(at, end, "key", entry->key, sizeof(entry->key));
	member_text(at, end, "ver", entry->number, sizeof(entry->number));
	member_text(at, end, "value", entry->value, sizeof(entry->value));
	return end + 1;
}

static char *transact(const char *body, int *status)
{
	struct entry *entry = calloc(1, sizeof(*entry));
	const char *at = NULL;
	char *text;

	*status = 200;
	pthread_mutex_lock(&rows_lock);
	while ((at = next_entry(body, "expected-revision", at, entry))) {
		const struct row *row =
			find_row(entry->table, entry->part, entry->key);
		int64_t has = row && !row->removed ? row->version : 0;

		if (has != atoll(entry->number))
			*status = 412;
	}
	if (*status == 200) {
		version++;
		while ((at = next_entry(body, "puts", at, entry)))
			set_row(entry->table, entry->part, entry->key,
				entry->value);
		while ((at = next_entry(body, "remove", at, entry)))
			set_row(entry->table, entry->part, entry->key, NULL);
		pthread_cond_broadcast(&rows_changed);
	}
	text = format_rows(NULL, 0);
	pthread_mutex_unlock(&rows_lock);
	free(entry);
	return text;
}

static bool on_store_request(void *ctx, struct server *server,
			     struct conn *conn, struct message *request)
{
	int status = 200;
	char *body;
	bool ok;

	(void)ctx;
	(void)server;
	if (!strncmp(request->target, "/-/rows-get?", 12))
		body = get_rows(request->target);
	else if (!strncmp(request->target, "/-/rows-feed?", 13))
		body = feed_rows(request->target);
	else if (!strcmp(request->target, "/-/rows-tx"))
		body = transact(request->body, &status);
	else
		return answer(conn, 404, "{}");
	ok = answer(conn, status, body);
	free(body);
	return ok;
}

void store_start(const char *ip)
{
	server_start(&store, ip, 0, on_store_request, NULL);
}

int store_port(void)
{
	return store.port;
}

const char *store_ip(void)
{
	return store.ip;
}

/* heartbeat-ms of the settings */
#define HEARTBEAT_MS 1200

struct beat {
	void (*publish)(int i);
	int n;
};

static void *run_beat(void *ctx)
{
	const struct beat *beat = ctx;

	for (;;)
		for (int i = 0; i < beat->n; i++) {
			sleep_ms(HEARTBEAT_MS / beat->n);
			beat->publish(i);
		}
	return NULL;
}

void beat_start(void (*publish)(int i), int n)
{
	static struct beat beat;

	beat = (struct beat){ publish, n };
	start_thread(run_beat, &beat);
}

/* Processes of the system */

static int free_port(const char *ip)
{
	struct sockaddr_in address = address_of(ip, 0);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&address, len) ||
	    getsockname(fd, (struct sockaddr *)&address, &len))
		cannot_run("no free port on %s", ip);
	close(fd);
	return ntohs(address.sin_port);
}

struct setting {
	const char *name;
	char value[64];
};

static void write_settings(const struct node *node, const char *path)
{
	struct setting settings[] = {
		{ "node-name", "" },
		{ "zone", "zone-a" },
		{ "listen.front", "" },
		{ "listen.ready", "" },
		{ "ip", "" },
		{ "port-range.0", "" },
		{ "platform.address", "" },
		{ "bounds.grace-s", "8" },
		{ "bounds.retry-budget-ratio", "0.2" },
		{ "bounds.retry-budget-slack", "58" },
		{ "bounds.budget-window-s", "10" },
		{ "bounds.lease-ms", "3000" },
		{ "heartbeat-ms", "1200" },
		{ "bounds.drain-ms", "2000" },
	};
	char line[1024];
	FILE *in = fopen("deploy/settings.yaml.in", "r");
	FILE *out = fopen(path, "w");

	if (!in || !out)
		cannot_run("cannot write the settings");
	snprintf(settings[0].value, 64, "%s", node->name);
	snprintf(settings[2].value, 64, "%s:%d", node->ip, node->port);
	snprintf(settings[3].value, 64, "%s:%d", node->ip, node->ready_port);
	snprintf(settings[4].value, 64, "%s", node->ip);
	snprintf(settings[5].value, 64, "%d", node->peer_port);
	snprintf(settings[6].value, 64, "%s:%d", store.ip, store.port);
	while (fgets(line, sizeof(line), in)) {
		for (char *at = line; *at;) {
			char *end = strstr(at, "}}");
			size_t i;

			if (strncmp(at, "{{", 2) != 0 || !end) {
				fputc(*at++, out);
				continue;
			}
			*end = '\0';
			for (i = 0; i < sizeof(settings) / sizeof(*settings);
			     i++)
				if (!strcmp(settings[i].name, at + 2))
					break;
			if (i == sizeof(settings) / sizeof(*settings))
				cannot_run("unknown setting %s", at + 2);
			fputs(settings[i].value, out);
			at = end + 2;
		}
	}
	fclose(in);
	fclose(out);
}

bool node_is_ready(const struct node *node)
{
	struct conn *conn = calloc(1, sizeof(*conn));
	struct message *m = calloc(1, sizeof(*m));
	bool ready = false;

	conn->fd = connect_to(node->ip, node->ready_port);
	if (conn->fd >= 0) {
		ready = conn_print(conn, "GET /-/ready HTTP/1.1\r\nHost: x\r\n"
					 "Connection: close\r\n\r\n") &&
			conn_read_head(conn, m, true) && m->status == 200;
		close(conn->fd);
	}
	free(m);
	free(conn);
	return ready;
}

void node_start(struct node *node, int number)
{
	snprintf(node->name, sizeof(node->name), "front-%d", number);
	run_ip(100 + number, node->ip);
	node->port = free_port(node->ip);
	node->ready_port = free_port(node->ip);
	node->peer_port = free_port(node->ip);
	node_launch(node);
	for (int i = 0; i < 300 && !node_is_ready(node); i++)
		sleep_ms(50);
	if (!node_is_ready(node))
		cannot_run("%s is not ready; is target/ built?", node->name);
	record("%s is ready on %s:%d", node->name, node->ip, node->port);
}

void node_launch(struct node *node)
{
	char path[128], log[128];

	snprintf(path, sizeof(path), "%s/%s.yaml", work, node->name);
	snprintf(log, sizeof(log), "%s/%s.log", work, node->name);
	write_settings(node, path);
	node->pid = fork();
	if (node->pid < 0)
		cannot_run("no process");
	if (!node->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* Not to outlive the script, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);

		dup2(fd, 1);
		dup2(fd, 2);
		signal(SIGPIPE, SIG_DFL);
		execl("target/knapweedstaird", "target/knapweedstaird",
		      "--config", path, (char *)NULL);
		_exit(127);
	}
	pids[n_pids++] = node->pid;
}

int node_wait(struct node *node, int64_t ms)
{
	int64_t until = now_ms() + ms;
	int status;

	do {
		if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
			for (int i = 0; i < n_pids; i++)
				if (pids[i] == node->pid)
					pids[i] = pids[--n_pids];
			return status;
		}
		sleep_ms(20);
	} while (now_ms() < until);
	return -1;
}

static void remove_work(void)
{
	char command[128];
	const char *keep = getenv("KEEP");

	if (keep) {
		fprintf(stderr, "logs: %s\n", work);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf %s", work);
	if (system(command))
		fprintf(stderr, "cannot remove %s\n", work);
}

void end_all(void)
{
	for (int i = 0; i < n_pids; i++)
		kill(pids[i], SIGKILL);
	for (int i = 0; i < n_pids; i++)
		waitpid(pids[i], NULL, 0);
	n_pids = 0;
	remove_work();
}
