#include "world-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&t, &t) && errno == EINTR)
		;
}

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t began_ms;

/* A case takes 120 s at most. Its gateways end with this process. */
#define MAX_RUN_S 115

static void on_alarm(int signal)
{
	(void)signal;
	_exit(2);
}

void record_open(const char *path)
{
	signal(SIGALRM, on_alarm);
	alarm(MAX_RUN_S);
	record_file = fopen(path, "w");
	began_ms = now_ms();
	if (!record_file) {
		perror(path);
		exit(2);
	}
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7.3f ", (double)(now_ms() - began_ms) / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

int listen_on_free_port(int *port)
{
	struct sockaddr_in address = loopback(*port);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) ||
	    listen(fd, 1024) ||
	    getsockname(fd, (struct sockaddr *)&address, &len)) {
		perror("listen");
		exit(2);
	}
	*port = ntohs(address.sin_port);
	return fd;
}

/* Ports below those that the kernel gives to outgoing connections. */
int free_port(void)
{
	static int next;

	if (!next)
		next = 15000 + (int)(getpid() % 120) * 128;
	for (;; next = next < 31000 ? next + 1 : 15000) {
		struct sockaddr_in address = loopback(next);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		bool ok =
			!bind(fd, (struct sockaddr *)&address, sizeof(address));

		close(fd);
		if (ok)
			return next++;
	}
}

void start_thread(void *(*func)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 128 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, func, arg)) {
		perror("pthread_create");
		exit(2);
	}
	pthread_attr_destroy(&attr);
}

bool send_all(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool send_text(int fd, const char *format, ...)
{
	char *text;
	va_list args;
	int len;
	bool ok;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	ok = len >= 0 && send_all(fd, text, (size_t)len);
	free(text);
	return ok;
}

ssize_t read_more(int fd, char *buffer, size_t size, size_t *len,
		  int64_t until_ms)
{
	struct pollfd state = { .fd = fd, .events = POLLIN };
	int64_t left = until_ms - now_ms();
	ssize_t n;

	if (left < 0)
		left = 0;
	if (poll(&state, 1, (int)left) <= 0)
		return -2;
	n = recv(fd, buffer + *len, size - *len - 1, 0);
	if (n > 0) {
		*len += (size_t)n;
		buffer[*len] = '\0';
	}
	return n;
}

const char *field_of(const struct request *request, const char *name)
{
	for (size_t i = 0; i < request->n_fields; i++)
		if (!strcasecmp(request->fields[i].name, name))
			return request->fields[i].value;
	return "";
}

static void forget_open(int fd);

/* One connection that is being served. */
struct served {
	int fd;
	handler_t handler;
	void *ctx;
};

/* Reads until @buffer has @need bytes. */
static bool fill(int fd, char **buffer, size_t *size, size_t *len, size_t need)
{
	while (*len < need) {
		ssize_t n;

		if (*size < need + 4096) {
			*size = need + 4096;
			*buffer = realloc(*buffer, *size);
		}
		n = recv(fd, *buffer + *len, *size - *len - 1, 0);
		if (n <= 0)
			return false;
		*len += (size_t)n;
		(*buffer)[*len] = '\0';
	}
	return true;
}

static void *serve_connection(void *arg)
{
	struct served served = *(struct served *)arg;
	size_t size = 16384, len = 0;
	char *buffer = malloc(size);
	bool keep = true;
	int on = 1;

	free(arg);
	setsockopt(served.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	buffer[0] = '\0';
	while (keep) {
		struct request request = { .fd = served.fd };
		char *end, *line, *head, *rest;
		size_t head_len, body_len = 0;

		while (!(end = strstr(buffer, "\r\n\r\n")))
			if (!fill(served.fd, &buffer, &size, &len, len + 1))
				goto out;
		head_len = (size_t)(end - buffer) + 4;
		head = strndup(buffer, head_len - 2);
		line = strtok_r(head, "\r\n", &rest);
		request.method = strtok_r(line, " ", &line);
		request.target = strtok_r(NULL, " ", &line);
		while ((line = strtok_r(NULL, "\r\n", &rest)) &&
		       request.n_fields < MAX_FIELDS) {
			char *colon = strchr(line, ':');

			if (!colon)
				continue;
			*colon++ = '\0';
			while (*colon == ' ')
				colon++;
			request.fields[request.n_fields++] =
				(struct field){ line, colon };
		}
		body_len =
			strtoul(field_of(&request, "content-length"), NULL, 10);
		if (!fill(served.fd, &buffer, &size, &len,
			  head_len + body_len)) {
			free(head);
			goto out;
		}
		request.body = malloc(body_len + 1);
		memcpy(request.body, buffer + head_len, body_len);
		request.body[body_len] = '\0';
		request.body_len = body_len;
		keep = served.handler(served.ctx, &request) &&
		       strcasecmp(field_of(&request, "connection"), "close");
		free(request.body);
		free(head);
		len -= head_len + body_len;
		memmove(buffer, buffer + head_len + body_len, len);
		buffer[len] = '\0';
	}
out:
	free(buffer);
	forget_open(served.fd);
	close(served.fd);
	return NULL;
}

static void *accept_all(void *arg)
{
	struct served *listener = arg;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		struct served *served;

		if (fd < 0 && (errno == EINVAL || errno == EBADF))
			break;
		if (fd < 0)
			continue;
		served = malloc(sizeof(*served));
		*served =
			(struct served){ fd, listener->handler, listener->ctx };
		start_thread(serve_connection, served);
	}
	free(listener);
	return NULL;
}

void serve(int listener, handler_t handler, void *ctx)
{
	struct served *served = malloc(sizeof(*served));

	*served = (struct served){ listener, handler, ctx };
	start_thread(accept_all, served);
}

/* The store. */

#define MAX_ROWS 1000

struct row {
	char *table;
	char *key;
	char *value;
	int64_t ver;
	bool removed;
};

static struct row rows[MAX_ROWS];
static int n_rows;
static int64_t store_ver = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;

static struct row *find_row(const char *table, const char *key)
{
	for (int i = 0; i < n_rows; i++)
		if (!strcmp(rows[i].table, table) && !strcmp(rows[i].key, key))
			return &rows[i];
	return NULL;
}

static int64_t ver_of(const struct row *row)
{
	return row && !row->removed ? row->ver : 0;
}

static void set_row(const char *table, const char *key, const char *value)
{
	struct row *row = find_row(table, key);

	if (!row) {
		if (n_rows == MAX_ROWS)
			exit(2);
		row = &rows[n_rows++];
		row->table = strdup(table);
		row->key = strdup(key);
	}
	free(row->value);
	row->value = value ? strdup(value) : NULL;
	row->removed = !value;
	row->ver = store_ver;
}

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t len = strlen(text), n = 0;
	char *out = malloc(len * 4 / 3 + 8);

	for (size_t i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (uint32_t)(unsigned char)text[i + 2];
		out[n++] = digits[v >> 18];
		out[n++] = digits[v >> 12 & 63];
		out[n++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? digits[v & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

void store_put(const char *table, const char *key, const char *text)
{
	char *value = base64(text);

	pthread_mutex_lock(&store_lock);
	store_ver++;
	set_row(table, key, value);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	free(value);
}

static int store_era = 1;
static bool store_away;

struct copy {
	struct row rows[MAX_ROWS];
	int n_rows;
	int64_t ver;
	int64_t at_ms;
};

#define COPY_EACH_MS 100
#define MAX_COPIES 100
static struct copy *copies[MAX_COPIES];
static int n_copies;

static char *copy_text(const char *text)
{
	return text ? strdup(text) : NULL;
}

static void *keep_copies(void *arg)
{
	(void)arg;
	for (;; sleep_ms(COPY_EACH_MS)) {
		struct copy *copy = calloc(1, sizeof(*copy));

		pthread_mutex_lock(&store_lock);
		copy->n_rows = n_rows;
		copy->ver = store_ver;
		copy->at_ms = now_ms();
		for (int i = 0; i < n_rows; i++) {
			copy->rows[i] = rows[i];
			copy->rows[i].table = copy_text(rows[i].table);
			copy->rows[i].key = copy_text(rows[i].key);
			copy->rows[i].value = copy_text(rows[i].value);
		}
		if (copies[n_copies % MAX_COPIES]) {
			struct copy *old = copies[n_copies % MAX_COPIES];

			for (int i = 0; i < old->n_rows; i++) {
				free(old->rows[i].table);
				free(old->rows[i].key);
				free(old->rows[i].value);
			}
			free(old);
		}
		copies[n_copies++ % MAX_COPIES] = copy;
		pthread_mutex_unlock(&store_lock);
	}
	return NULL;
}

void store_keep_copies(void)
{
	start_thread(keep_copies, NULL);
}

void store_set_away(bool away)
{
	pthread_mutex_lock(&store_lock);
	store_away = away;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void store_return(int64_t age_ms)
{
	struct copy *best = NULL;

	pthread_mutex_lock(&store_lock);
	for (int i = 0; i < MAX_COPIES; i++)
		if (copies[i] && copies[i]->at_ms <= now_ms() - age_ms &&
		    (!best || copies[i]->at_ms > best->at_ms))
			best = copies[i];
	if (!best)
		exit(2);
	n_rows = best->n_rows;
	for (int i = 0; i < n_rows; i++) {
		rows[i] = best->rows[i];
		rows[i].table = copy_text(best->rows[i].table);
		rows[i].key = copy_text(best->rows[i].key);
		rows[i].value = copy_text(best->rows[i].value);
	}
	store_ver = best->ver;
	store_era++;
	store_away = false;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

static void query(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strchr(target, '?');
	size_t n = strlen(name);

	*out = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, n) && at[n] == '=') {
			size_t used = 0;

			for (at += n + 1; *at && *at != '&' && used + 1 < size;
			     at++) {
				unsigned byte;

				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &byte) == 1) {
					out[used++] = (char)byte;
					at += 2;
				} else {
					out[used++] = *at;
				}
			}
			out[used] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static void answer(int fd, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	send_text(fd,
		  "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		  "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n%s",
		  status, store_era, strlen(text), text);
	free(text);
	json_decref(json);
}

static json_t *row_json(const struct row *row)
{
	json_t *json =
		json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part", "",
			  "key", row->key, "ver", (json_int_t)row->ver);

	if (row->removed)
		json_object_set_new(json, "tombstone", json_true());
	else
		json_object_set_new(json, "value", json_string(row->value));
	return json;
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static int by_ver(const void *a, const void *b)
{
	int64_t x = (*(struct row *const *)a)->ver,
		y = (*(struct row *const *)b)->ver;

	return (x > y) - (x < y);
}

static json_t *list_json(const char *table, const char *from, int64_t after)
{
	struct row *found[MAX_ROWS];
	json_t *list = json_array();
	size_t n = 0;

	for (int i = 0; i < n_rows; i++) {
		struct row *row = &rows[i];

		if (strcmp(row->table, table) != 0 ||
		    (after < 0 ? row->removed || strcmp(row->key, from) < 0
			       : row->ver <= after))
			continue;
		found[n++] = row;
	}
	qsort(found, n, sizeof(*found), after < 0 ? by_key : by_ver);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, row_json(found[i]));
	return list;
}

static json_t *rows_json(json_t *list)
{
	return json_pack("{s:o,s:I,s:I,s:b}", "rows", list, "ver",
			 (json_int_t)store_ver, "now-ms", (json_int_t)now_ms(),
			 "has-more", 0);
}

static void transact(struct request *request)
{
	json_t *body = json_loads(request->body, 0, NULL), *item, *current;
	size_t i;
	int status = 200;

	if (!body) {
		answer(request->fd, 400, json_object());
		return;
	}
	pthread_mutex_lock(&store_lock);
	current = json_array();
	json_array_foreach(json_object_get(body, "expected-revision"), i, item)
	{
		struct row *row = find_row(
			json_string_value(json_object_get(item, "table")),
			json_string_value(json_object_get(item, "key")));

		if (ver_of(row) !=
		    json_integer_value(json_object_get(item, "ver")))
			status = 412;
		if (ver_of(row))
			json_array_append_new(current, row_json(row));
	}
	if (status == 200) {
		store_ver++;
		json_array_foreach(json_object_get(body, "puts"), i, item)
			set_row(json_string_value(
					json_object_get(item, "table")),
				json_string_value(json_object_get(item, "key")),
				json_string_value(
					json_object_get(item, "value")));
		json_array_foreach(json_object_get(body, "remove"), i, item)
			set_row(json_string_value(
					json_object_get(item, "table")),
				json_string_value(json_object_get(item, "key")),
				NULL);
		pthread_cond_broadcast(&store_changed);
	}
	item = rows_json(current);
	pthread_mutex_unlock(&store_lock);
	answer(request->fd, status, item);
	json_decref(body);
}

static bool handle_store(void *ctx, struct request *request)
{
	char table[256], text[256];
	json_t *json = NULL;

	(void)ctx;
	sleep_ms(4);
	query(request->target, "table", table, sizeof(table));
	if (store_away)
		answer(request->fd, 503, json_object());
	else if (!strncmp(request->target, "/-/rows-tx", 10)) {
		transact(request);
	} else if (!strncmp(request->target, "/-/rows-get", 11)) {
		query(request->target, "from", text, sizeof(text));
		pthread_mutex_lock(&store_lock);
		json = rows_json(list_json(table, text, -1));
		pthread_mutex_unlock(&store_lock);
		answer(request->fd, 200, json);
	} else if (!strncmp(request->target, "/-/rows-feed", 12)) {
		int64_t after, until;
		int era = store_era;

		query(request->target, "after", text, sizeof(text));
		after = strtoll(text, NULL, 10);
		query(request->target, "wait-ms", text, sizeof(text));
		until = now_ms() + strtoll(text, NULL, 10);
		pthread_mutex_lock(&store_lock);
		for (;;) {
			struct timespec t = { until / 1000,
					      until % 1000 * 1000000 };
			json_t *list;

			if (store_away || era != store_era || after > store_ver)
				break;
			list = list_json(table, "", after);
			if (json_array_size(list) || now_ms() >= until) {
				json = rows_json(list);
				break;
			}
			json_decref(list);
			pthread_cond_timedwait(&store_changed, &store_lock, &t);
		}
		pthread_mutex_unlock(&store_lock);
		/* A version that the store does not have. */
		answer(request->fd,
		       json	    ? 200
		       : store_away ? 503
				    : 410,
		       json ? json : json_object());
	} else {
		answer(request->fd, 404, json_object());
	}
	return true;
}

int store_start(void)
{
	pthread_condattr_t attr;
	int port = 0, fd = listen_on_free_port(&port);

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &attr);
	serve(fd, handle_store, NULL);
	return port;
}

/* Replicas. */

/* Connections of replicas, to be ended with their process. */
#define MAX_OPEN 4096
static struct {
	struct replica *replica;
	int fd;
} open_fds[MAX_OPEN];
static pthread_mutex_t open_lock = PTHREAD_MUTEX_INITIALIZER;

static void note_open(struct replica *replica, int fd)
{
	int free_slot = -1;

	pthread_mutex_lock(&open_lock);
	for (int i = 0; i < MAX_OPEN; i++) {
		if (open_fds[i].replica == replica && open_fds[i].fd == fd) {
			free_slot = i;
			break;
		}
		if (!open_fds[i].replica && free_slot < 0)
			free_slot = i;
	}
	if (free_slot >= 0) {
		open_fds[free_slot].replica = replica;
		open_fds[free_slot].fd = fd;
	}
	pthread_mutex_unlock(&open_lock);
}

static void forget_open(int fd)
{
	pthread_mutex_lock(&open_lock);
	for (int i = 0; i < MAX_OPEN; i++)
		if (open_fds[i].replica && open_fds[i].fd == fd)
			open_fds[i].replica = NULL;
	pthread_mutex_unlock(&open_lock);
}

static void stream_events(struct replica *replica, struct request *request)
{
	int generation = replica->generation;
	int next = atoi(field_of(request, "last-event-id")) + 1;

	if (!send_text(request->fd,
		       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: "
		       "s.%s\r\nWeight-Versions: 1\r\nContent-Type: "
		       "text/event-stream\r\nTransfer-Encoding: "
		       "chunked\r\n\r\n",
		       field_of(request, "request-id"), replica->id))
		return;
	for (; next <= replica->events; next++) {
		char event[8192];
		int padding = replica->event_bytes;
		char byte;

		sleep_ms(replica->gap_ms);
		if (generation != replica->generation)
			return;
		/* The work ends when the connection closes. */
		if (recv(request->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
			return;
		snprintf(event, sizeof(event),
			 "id: %d\ndata: piece %d of %s%*s\n\n", next, next,
			 replica->software, padding, "");
		if (!send_text(request->fd, "%zx\r\n%s\r\n", strlen(event),
			       event))
			return;
	}
	send_text(request->fd, "0\r\n\r\n");
}

#define ROLE_SWITCH_MS 3000
#define PREFILL_MS 30

static bool answer_json(int fd, int status, const char *id, const char *more,
			const char *body)
{
	return send_text(fd,
			 "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Type: "
			 "application/json\r\nContent-Length: %zu\r\n\r\n%s",
			 status, id, more, strlen(body), body);
}

static void *switch_stage(void *arg)
{
	struct replica *replica = arg;
	int generation = replica->generation;

	sleep_ms(ROLE_SWITCH_MS);
	if (generation != replica->generation)
		return NULL;
	replica->stage =
		!strcmp(replica->stage, "prefill") ? "decode" : "prefill";
	record("%s has the stage %s", replica->id, replica->stage);
	replica_announce(replica);
	return NULL;
}

/* Orders to a replica with a stage, and requests that it doesn't run. */
static bool handle_stage(struct replica *replica, struct request *request,
			 bool *handled)
{
	const char *id = field_of(request, "request-id");
	bool is_prefill = !strcmp(field_of(request, "stage"), "prefill");
	char body[128];

	*handled = true;
	if (!strncmp(request->target, "/-/kv-handle/", 13))
		return answer_json(request->fd, 200, id, "", "");
	if (!strncmp(request->target, "/-/order", 8)) {
		json_t *json = json_loads(request->body, 0, NULL);
		const char *stage =
			json_string_value(json_object_get(json, "stage"));
		int status = 202;

		if (!stage)
			status = 400;
		else if (now_ms() < replica->busy_until_ms ||
			 json_integer_value(json_object_get(
				 json, "expected-revision")) != replica->seq)
			status = 409;
		else if (!strcmp(stage, replica->stage))
			status = 200;
		if (status == 202) {
			replica->seq++;
			replica->busy_until_ms = now_ms() + ROLE_SWITCH_MS;
			start_thread(switch_stage, replica);
		}
		record("order at=%s status=%d %s", replica->id, status,
		       request->body);
		json_decref(json);
		return answer_json(request->fd, status, id, "", "");
	}
	if (now_ms() < replica->busy_until_ms)
		return answer_json(request->fd, 503, id, "Not-Executed: 1\r\n",
				   "");
	if (is_prefill != !strcmp(replica->stage, "prefill"))
		return answer_json(request->fd, 421, id, "Not-Executed: 1\r\n",
				   "");
	if (is_prefill) {
		sleep_ms(PREFILL_MS);
		record("prefill at=%s request=%s", replica->id, id);
		snprintf(body, sizeof(body),
			 "{\"handle\":\"%s%08x\",\"tokens\":1460,"
			 "\"version\":1}",
			 replica->id, ++replica->handles);
		return answer_json(request->fd, 200, id, "", body);
	}
	*handled = false;
	return true;
}

static bool handle_replica(void *ctx, struct request *request)
{
	struct replica *replica = ctx;
	const char *id = field_of(request, "request-id");
	const char *expected = field_of(request, "expect-instance");
	size_t len = strlen(request->target);
	int generation = replica->generation;
	bool handled = false, keep;
	char body[256];

	note_open(replica, request->fd);
	if (*expected && strcmp(expected, replica->id) != 0)
		return send_text(request->fd,
				 "HTTP/1.1 421 Misdirected Request\r\n"
				 "Request-Id: %s\r\nNot-Executed: 1\r\n"
				 "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
				 id, replica->id);
	if (!strncmp(request->target, "/-/report", 9)) {
		snprintf(
			body, sizeof(body),
			"{\"stage\":\"%s\",\"busy\":%s,\"seq\":%d,\"queued\":0,"
			"\"running\":0,\"born\":%lld}",
			replica->stage ? replica->stage : "",
			now_ms() < replica->busy_until_ms ? "true" : "false",
			replica->seq, (long long)replica->born_ms);
		return send_text(request->fd,
				 "HTTP/1.1 200 OK\r\nContent-Type: "
				 "application/json\r\nContent-Length: "
				 "%zu\r\n\r\n%s",
				 strlen(body), body);
	}
	keep = replica->stage ? handle_stage(replica, request, &handled) : true;
	if (handled)
		return keep;
	record("run at=%s request=%s target=%s last_event=%s", replica->id, id,
	       request->target, field_of(request, "last-event-id"));
	if (len >= 7 && !strcmp(request->target + len - 7, "/stream")) {
		stream_events(replica, request);
		return generation == replica->generation;
	}
	sleep_ms(replica->work_ms);
	snprintf(body, sizeof(body), "done %s", id);
	return send_text(request->fd,
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: "
			 "s.%s\r\nContent-Length: %zu\r\n\r\n%s",
			 id, replica->id, strlen(body), body);
}

void replica_listen(struct replica *replica)
{
	replica->listener = listen_on_free_port(&replica->port);
	replica->born_ms = wall_ms();
	serve(replica->listener, handle_replica, replica);
}

void replica_announce(const struct replica *replica)
{
	char text[512], stage[32] = "";

	if (replica->stage)
		snprintf(stage, sizeof(stage), "\"stage\":\"%s\",",
			 replica->stage);
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
		 "\"%s\",\"version\":\"%s\",\"slots\":64,\"state\":\"%s\",%s"
		 "\"cold-remaining-ms\":0,\"seq\":1,\"born\":%lld}",
		 replica->service, replica->port, replica->zone,
		 replica->software, replica->draining ? "draining" : "ready",
		 stage, (long long)replica->born_ms);
	store_put("servers", replica->id, text);
}

/* The store removes the entry. */
void replica_withdraw(const struct replica *replica)
{
	pthread_mutex_lock(&store_lock);
	store_ver++;
	set_row("servers", replica->id, NULL);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void replica_start(struct replica *replica)
{
	replica_listen(replica);
	replica_announce(replica);
}

void replica_crash(struct replica *replica)
{
	struct linger reset = { 1, 0 };

	replica->generation++;
	shutdown(replica->listener, SHUT_RDWR);
	close(replica->listener);
	pthread_mutex_lock(&open_lock);
	for (int i = 0; i < MAX_OPEN; i++) {
		if (open_fds[i].replica != replica)
			continue;
		setsockopt(open_fds[i].fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		shutdown(open_fds[i].fd, SHUT_RDWR);
		open_fds[i].replica = NULL;
	}
	pthread_mutex_unlock(&open_lock);
}

/* Gateways. */

#define MAX_GATEWAYS 200
static pid_t gateway_pids[MAX_GATEWAYS];
static int n_gateways;
static char work[] = "/tmp/review-XXXXXX";
static bool has_work;

static const char *value_of(const char *name, size_t len,
			    const struct field *values)
{
	for (; values->name; values++)
		if (strlen(values->name) == len &&
		    !strncmp(values->name, name, len))
			return *values->value ? values->value : NULL;
	return NULL;
}

/* Fills in the template; a section without a value is left out. */
static void fill_in(FILE *in, FILE *out, const struct field *values)
{
	char line[1024];

	while (fgets(line, sizeof(line), in)) {
		char *at = line, *mark;

		if (!strncmp(line, "{{#", 3)) {
			char *close_mark = strstr(line, "}}");
			char *end = strstr(line, "{{/");

			if (!value_of(line + 3, (size_t)(close_mark - line - 3),
				      values))
				continue;
			*end++ = '\n';
			*end = '\0';
			at = close_mark + 2;
		}
		while ((mark = strstr(at, "{{"))) {
			char *end = strstr(mark, "}}");
			const char *value = value_of(
				mark + 2, (size_t)(end - mark - 2), values);

			fprintf(out, "%.*s%s", (int)(mark - at), at,
				value ? value : "");
			at = end + 2;
		}
		fputs(at, out);
	}
}

void gateway_start(struct gateway *gateway, const char *name, const char *zone,
		   int store_port, const struct bounds *bounds)
{
	char path[256], log[256], ready[32], front[32], store[32], first[16];
	char cloud[32] = "", window[16] = "";
	char drain[16], grace[16], slack[16], lease[16], memory[16], fds[16];
	struct field values[] = {
		{ "node-name", name },
		{ "zone", zone },
		{ "listen.front", front },
		{ "listen.ready", ready },
		{ "ip", "127.0.0.1" },
		{ "port-range.0", first },
		{ "platform.address", store },
		{ "bounds.grace-s", grace },
		{ "bounds.retry-budget-ratio", "0.2" },
		{ "bounds.retry-budget-slack", slack },
		{ "bounds.budget-window-s", "10" },
		{ "bounds.lease-ms", lease },
		{ "heartbeat-ms", "1200" },
		{ "bounds.drain-ms", drain },
		{ "limits.memory-mb", memory },
		{ "limits.max-fds", fds },
		{ "cloud-api.address", cloud },
		{ "cloud-api.duties", "usage_report" },
		{ "bounds.usage-window-s", window },
		{ NULL, NULL },
	};
	FILE *in = fopen("deploy/gateway.yaml.in", "r"), *out;
	char text[4096], metrics[64];
	size_t n;

	if (!has_work && !mkdtemp(work))
		exit(2);
	has_work = true;
	if (!gateway->port) {
		gateway->port = free_port();
		gateway->ready_port = free_port();
		gateway->peer_port = free_port();
		gateway->metrics_port = free_port();
	}
	snprintf(gateway->name, sizeof(gateway->name), "%s", name);
	snprintf(front, sizeof(front), "127.0.0.1:%d", gateway->port);
	snprintf(ready, sizeof(ready), "127.0.0.1:%d", gateway->ready_port);
	snprintf(store, sizeof(store), "127.0.0.1:%d", store_port);
	snprintf(first, sizeof(first), "%d", gateway->peer_port);
	snprintf(drain, sizeof(drain), "%d", bounds->drain_ms);
	snprintf(grace, sizeof(grace), "%d", bounds->grace_s);
	snprintf(slack, sizeof(slack), "%d", bounds->slack);
	snprintf(lease, sizeof(lease), "%d", bounds->lease_ms);
	snprintf(memory, sizeof(memory), "%d", bounds->memory_mb);
	snprintf(fds, sizeof(fds), "%d", bounds->max_fds);
	if (bounds->cloud_port)
		snprintf(cloud, sizeof(cloud), "127.0.0.1:%d",
			 bounds->cloud_port);
	if (bounds->usage_window_s)
		snprintf(window, sizeof(window), "%d", bounds->usage_window_s);
	snprintf(path, sizeof(path), "%s/%s.yaml", work, name);
	snprintf(log, sizeof(log), "%s/%s.log", work, name);
	out = fopen(path, "w+");
	if (!in || !out) {
		perror(in ? path : "deploy/gateway.yaml.in");
		exit(2);
	}
	fill_in(in, out, values);
	fclose(in);
	/* On one host, each gateway needs a metrics port of its own. */
	rewind(out);
	n = fread(text, 1, sizeof(text) - 1, out);
	text[n] = '\0';
	fclose(out);
	snprintf(metrics, sizeof(metrics), "127.0.0.1:%d",
		 gateway->metrics_port);
	out = fopen(path, "w");
	for (char *at = text, *mark; *at;) {
		mark = strstr(at, "127.0.0.1:9180");
		if (!mark) {
			fputs(at, out);
			break;
		}
		fprintf(out, "%.*s%s", (int)(mark - at), at, metrics);
		at = mark + strlen("127.0.0.1:9180");
	}
	fclose(out);
	gateway->pid = fork();
	if (!gateway->pid) {
		struct rlimit limit;
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		/* The soft limit may be lower than what the settings state. */
		getrlimit(RLIMIT_NOFILE, &limit);
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
		execl("target/knapweedstaird", "target/knapweedstaird",
		      "--config", path, (char *)NULL);
		_exit(127);
	}
	gateway_pids[n_gateways++] = gateway->pid;
}

bool gateway_is_ready(const struct gateway *gateway)
{
	int fd = connect_to(gateway->ready_port, 500);
	char buffer[256];
	size_t len = 0;
	bool ok = false;

	if (fd < 0)
		return false;
	if (send_text(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
	    read_more(fd, buffer, sizeof(buffer), &len, now_ms() + 500) > 0)
		ok = !strncmp(buffer, "HTTP/1.1 200", 12);
	close(fd);
	return ok;
}

bool gateway_await_ready(const struct gateway *gateway, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	while (!gateway_is_ready(gateway)) {
		if (now_ms() >= until)
			return false;
		sleep_ms(50);
	}
	return true;
}

void gateway_signal(struct gateway *gateway, int signal)
{
	kill(gateway->pid, signal);
	if (signal != SIGKILL)
		return;
	waitpid(gateway->pid, NULL, 0);
	for (int i = 0; i < n_gateways; i++)
		if (gateway_pids[i] == gateway->pid)
			gateway_pids[i] = 0;
}

void world_end(void)
{
	char command[300];

	for (int i = 0; i < n_gateways; i++)
		if (gateway_pids[i])
			kill(gateway_pids[i], SIGKILL);
	while (waitpid(-1, NULL, 0) > 0)
		;
	if (has_work && !getenv("KEEP_LOGS")) {
		snprintf(command, sizeof(command), "rm -rf %s", work);
		if (system(command))
			perror(command);
	} else if (has_work) {
		fprintf(stderr, "logs: %s\n", work);
	}
}

int connect_to(int port, int64_t timeout_ms)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd state = { .fd = fd, .events = POLLOUT };
	int error = 0, on = 1;
	socklen_t len = sizeof(error);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	if (poll(&state, 1, (int)timeout_ms) <= 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}
