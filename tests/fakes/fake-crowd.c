/*
 * Load generator of the memory tests: opens many connections to an HTTP server
 * and misbehaves on each in the same way.
 *
 * usage: fake-crowd IP:PORT PATTERN CONNECTIONS
 *
 * A PATTERN that begins with "/" is the path of requests whose responses are
 * read at once, and one that begins with "unread:/" of those left unread.
 *
 * It ends when every connection is closed, or when no byte was sent or received
 * on any of them for QUIET_MS, and prints how many were closed by the server.
 */
#include "ks/core.h"
#include "ks/connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longer than the gateway's default limit of 3 s for a complete request. */
#define QUIET_MS 4000

/* The kernel must not hold much of what is not read. */
#define UNREAD_BUFFER_BYTES 4096

#define SLOW_READ_BYTES 1024

#define HEAD(request_line)                                 \
	request_line " HTTP/1.1\r\nrequest-id: c%d-%d\r\n" \
		     "host: shop.example\r\ndeadline-ms: 20000\r\n"
#define CHUNKED_HEAD HEAD("POST /book/x") "transfer-encoding: chunked\r\n\r\n"
#define STREAM_HEAD               \
	HEAD("POST /advise/long") \
	"prompt-prefix: aa:90\r\ncontent-length: 0\r\n\r\n"

/**
 * enum reading - what a connection does with responses
 * @READ_ALL: reads them at once
 * @READ_SLOWLY: reads SLOW_READ_BYTES at each turn
 * @READ_NOTHING: leaves them unread
 */
enum reading {
	READ_ALL,
	READ_SLOWLY,
	READ_NOTHING,
};

/**
 * struct pattern - what each connection does
 * @head: sent once; formatted with the numbers of connection and of unit
 * @unit: sent @n_units times after it; formatted as @head if @formats_unit
 * @repeat: how often @unit is repeated in one unit, 0 for once
 * @unit_bytes: filler of each unit, after its text
 * @leaves_at: closes after this many units and connects again, @n_visits times
 */
struct pattern {
	const char *name;
	const char *head;
	const char *unit;
	bool formats_unit;
	int repeat;
	size_t unit_bytes;
	int n_units;
	enum reading reading;
	int leaves_at;
	int n_visits;
};

static const struct pattern patterns[] = {
	/* Chunked bodies just below the limit of 4 MB, without their end. */
	{ .name = "large-chunks",
	  .head = CHUNKED_HEAD,
	  .unit = "ea60\r\n",
	  .unit_bytes = 60002,
	  .n_units = 68 },
	/* The same of the smallest chunks, which take six bytes to send. */
	{ .name = "small-chunks",
	  .head = CHUNKED_HEAD,
	  .unit = "1\r\nx\r\n",
	  .repeat = 4000,
	  .n_units = 150 },
	/* Bodies that lack the last bytes of their declared length. */
	{ .name = "lengths",
	  .head = HEAD("POST /book/x") "content-length: 4194304\r\n\r\n",
	  .unit = "",
	  .unit_bytes = 60000,
	  .n_units = 69 },
	/* Heads just below the limit of 16 KB, without their end. */
	{ .name = "heads",
	  .head = HEAD("GET /read/x"),
	  .unit = "x-filler: 0123456789\r\n",
	  .n_units = 600 },
	/* Requests sent ahead, with unread responses. */
	{ .name = "pipelined",
	  .head = "",
	  .unit = HEAD("GET /read/x") "\r\n",
	  .formats_unit = true,
	  .n_units = 20000,
	  .reading = READ_NOTHING },
	{ .name = "pipelined-long",
	  .head = "",
	  .unit = HEAD("GET /read/long") "\r\n",
	  .formats_unit = true,
	  .n_units = 100,
	  .reading = READ_NOTHING },
	/* Long responses and fast streams, unread or read slowly. */
	{ .name = "unread-responses",
	  .head = HEAD("GET /read/long") "\r\n",
	  .unit = "",
	  .reading = READ_NOTHING },
	{ .name = "unread-streams",
	  .head = STREAM_HEAD,
	  .unit = "",
	  .reading = READ_NOTHING },
	{ .name = "slow-streams",
	  .head = STREAM_HEAD,
	  .unit = "",
	  .reading = READ_SLOWLY },
	/* Connections without a request. */
	{ .name = "idle", .head = "", .unit = "" },
	/* Callers that disconnect in the middle of a body, again and again. */
	{ .name = "leavers",
	  .head = CHUNKED_HEAD,
	  .unit = "ea60\r\n",
	  .unit_bytes = 60002,
	  .n_units = 60,
	  .leaves_at = 40,
	  .n_visits = 5 },
	/* Complete bodies, whose responses the upstream delays. */
	{ .name = "slow-upstreams",
	  .head = HEAD("POST /book/slow") "content-length: 4080000\r\n\r\n",
	  .unit = "",
	  .unit_bytes = 60000,
	  .n_units = 68 },
};

/**
 * struct caller - one connection
 * @fd: -1 if it is closed
 * @out: text being sent, from @sent on
 * @unit: number of the next unit, -1 for the head
 */
struct caller {
	int number;
	int fd;
	GString *out;
	size_t sent;
	int unit;
	int visits;
};

#define UNREAD "unread:"

static struct pattern path_pattern = { .unit = "" };
static const struct pattern *pattern;
static struct sockaddr_in target;
static int closed_by_server;

static void open_caller(struct caller *caller)
{
	int size = UNREAD_BUFFER_BYTES;

	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (pattern->reading != READ_ALL)
		setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &size,
			   sizeof(size));
	if (connect(caller->fd, (struct sockaddr *)&target, sizeof(target))) {
		perror("connect");
		exit(EXIT_FAILURE);
	}
	fcntl(caller->fd, F_SETFL, O_NONBLOCK);
	caller->unit = -1;
	caller->sent = 0;
	caller->visits++;
	g_string_truncate(caller->out, 0);
}

static void close_caller(struct caller *caller)
{
	close(caller->fd);
	caller->fd = -1;
}

/* Prepares what is sent next; false if that is all. */
static bool fill(struct caller *caller)
{
	const char *text = caller->unit < 0 ? pattern->head : pattern->unit;

	if (caller->sent < caller->out->len)
		return true;
	if (caller->unit >= pattern->n_units)
		return false;
	caller->sent = 0;
	if (caller->unit < 0 || pattern->formats_unit)
		/* NOLINTNEXTLINE(clang-diagnostic-format-nonliteral) */
		g_string_printf(caller->out, text, caller->number,
				caller->unit + 1 + caller->visits * 1000);
	else
		g_string_assign(caller->out, text);
	for (int i = 1; caller->unit >= 0 && i < pattern->repeat; i++)
		g_string_append(caller->out, text);
	if (caller->unit >= 0 && pattern->unit_bytes) {
		gsize end = caller->out->len + pattern->unit_bytes;

		g_string_set_size(caller->out, end);
		memset(caller->out->str + end - pattern->unit_bytes, 'x',
		       pattern->unit_bytes - 2);
		memcpy(caller->out->str + end - 2, "\r\n", 2);
	}
	caller->unit++;
	return caller->out->len > 0 || fill(caller);
}

/* Returns whether bytes were sent. */
static bool send_some(struct caller *caller)
{
	bool moved = false;

	for (int i = 0; i < 64 && fill(caller); i++) {
		ssize_t n = send(caller->fd, caller->out->str + caller->sent,
				 caller->out->len - caller->sent, MSG_NOSIGNAL);

		if (n < 0)
			return moved;
		caller->sent += (size_t)n;
		moved = true;
		if (pattern->leaves_at && caller->unit > pattern->leaves_at) {
			close_caller(caller);
			if (caller->visits < pattern->n_visits)
				open_caller(caller);
			return true;
		}
	}
	return moved;
}

/* Returns whether bytes were received. */
static bool receive_some(struct caller *caller)
{
	char buffer[65536];
	size_t len = pattern->reading == READ_SLOWLY ? SLOW_READ_BYTES
						     : sizeof(buffer);
	ssize_t n = recv(caller->fd, buffer, len, 0);

	if (n > 0)
		return true;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	closed_by_server++;
	close_caller(caller);
	return true;
}

static bool turn(struct caller *callers, struct pollfd *polls, int n)
{
	bool moved = false;

	for (int i = 0; i < n; i++) {
		polls[i] = (struct pollfd){ .fd = callers[i].fd };
		if (callers[i].fd >= 0 && fill(&callers[i]))
			polls[i].events |= POLLOUT;
		if (pattern->reading != READ_NOTHING)
			polls[i].events |= POLLIN;
	}
	if (poll(polls, (nfds_t)n, 100) <= 0)
		return false;
	for (int i = 0; i < n; i++) {
		if (polls[i].revents & (POLLERR | POLLHUP)) {
			closed_by_server++;
			close_caller(&callers[i]);
			moved = true;
			continue;
		}
		if (polls[i].revents & POLLOUT)
			moved |= send_some(&callers[i]);
		if (callers[i].fd >= 0 && polls[i].revents & POLLIN)
			moved |= receive_some(&callers[i]);
	}
	if (pattern->reading == READ_SLOWLY)
		g_usleep(10000);
	return moved;
}

static const struct pattern *find_pattern(char *name)
{
	char *path = name;

	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++)
		if (!strcmp(patterns[i].name, name))
			return &patterns[i];
	if (g_str_has_prefix(name, UNREAD)) {
		path_pattern.reading = READ_NOTHING;
		path += strlen(UNREAD);
	}
	if (*path != '/')
		return NULL;
	path_pattern.name = name;
	path_pattern.head = g_strconcat("POST ", path,
					HEAD("") "prompt-prefix: aa:90\r\n"
						 "content-length: 0\r\n\r\n",
					NULL);
	return &path_pattern;
}

static bool is_open(const struct caller *callers, int n)
{
	for (int i = 0; i < n; i++)
		if (callers[i].fd >= 0)
			return true;
	return false;
}

int main(int argc, char **argv)
{
	int n = argc == 4 ? atoi(argv[3]) : 0;
	struct caller *callers;
	struct pollfd *polls;
	gint64 moved_us = g_get_monotonic_time();
	ks_address_t address;

	if (n > 0)
		pattern = find_pattern(argv[2]);
	if (!pattern ||
	    !ks_address_parse(&address, ks_str_from(argv[1]), NULL)) {
		fprintf(stderr, "usage: fake-crowd IP:PORT PATTERN COUNT\n");
		return EXIT_FAILURE;
	}
	callers = g_new0(struct caller, n);
	polls = g_new0(struct pollfd, n);
	target.sin_family = AF_INET;
	target.sin_port = htons(address.port);
	inet_pton(AF_INET, address.ip, &target.sin_addr);
	for (int i = 0; i < n; i++) {
		callers[i].number = i;
		callers[i].out = g_string_new(NULL);
		open_caller(&callers[i]);
	}
	while (is_open(callers, n) &&
	       g_get_monotonic_time() - moved_us <
		       QUIET_MS * G_GINT64_CONSTANT(1000))
		if (turn(callers, polls, n))
			moved_us = g_get_monotonic_time();
	printf("%s: %d connections, %d closed by the server\n", pattern->name,
	       n, closed_by_server);
	for (int i = 0; i < n; i++) {
		if (callers[i].fd >= 0)
			close_caller(&callers[i]);
		g_string_free(callers[i].out, TRUE);
	}
	g_free(callers);
	g_free(polls);
	return EXIT_SUCCESS;
}
