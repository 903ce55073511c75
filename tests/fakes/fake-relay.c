/*
 * Fake network device: a TCP proxy to one address that injects connection
 * faults.
 *
 * SIGUSR1 emulates a device that loses its connection tracking state: all open
 * connections stay open and their data is discarded from then on. New
 * connections are relayed.
 *
 * SIGUSR2 closes all open connections and closes new ones as soon as they are
 * accepted. The next SIGUSR2 lets new connections through again.
 *
 * SIGHUP cuts all open connections one way: requests reach the target, and what
 * it sends is discarded. SIGWINCH delays all data by DELAY_US, and the next one
 * no longer does. SIGURG resets all open connections.
 */
#include "fake_main.h"

#include <argtable2.h>
#include <h2o.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define EXIT_USAGE 2
#define BACKLOG 128
#define DELAY_US (250 * KS_USEC_PER_MSEC)

/**
 * struct relay - state of the program
 * @pairs: list of relayed connections
 * @refusing: new connections are closed
 * @delaying: data is passed on late
 */
struct relay {
	ks_loop_t loop;
	ks_address_t listen;
	ks_address_t target;
	h2o_socket_t *listener;
	ks_list_t pairs;
	ks_watch_t watch;
	int signal_fd;
	bool refusing;
	bool delaying;
};

struct pair;

/**
 * struct side - one of the two connections of a pair
 * @other: the connection that data read from @sock is written to
 * @writing: a write to @sock is in progress
 * @delay: set while data read from @sock waits to be written to @other
 */
struct side {
	struct pair *pair;
	struct side *other;
	h2o_socket_t *sock;
	bool writing;
	ks_timer_t delay;
};

/**
 * struct pair - relayed connection
 * @client: accepted connection
 * @server: connection to the target address
 * @blackholed: discard all data
 * @one_way: discard the data of the server
 * @closing: close when the write in progress has completed
 */
struct pair {
	ks_list_t node;
	struct relay *relay;
	struct side client;
	struct side server;
	bool blackholed;
	bool one_way;
	bool closing;
};

static void close_pair(struct pair *pair)
{
	if (pair->client.writing || pair->server.writing) {
		pair->closing = true;
		return;
	}
	ks_list_remove(&pair->node);
	ks_timer_clear(&pair->client.delay);
	ks_timer_clear(&pair->server.delay);
	if (pair->client.sock)
		h2o_socket_close(pair->client.sock);
	if (pair->server.sock)
		h2o_socket_close(pair->server.sock);
	g_free(pair);
}

static void on_read(h2o_socket_t *sock, const char *err);

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct side *to = sock->data;
	struct side *from = to->other;

	to->writing = false;
	if (err || to->pair->closing) {
		close_pair(to->pair);
		return;
	}
	h2o_buffer_consume(&from->sock->input, from->sock->input->size);
	h2o_socket_read_start(from->sock, on_read);
}

static void pass_on(void *ctx)
{
	struct side *from = ctx;
	h2o_iovec_t bytes = h2o_iovec_init(from->sock->input->bytes,
					   from->sock->input->size);

	from->other->writing = true;
	h2o_socket_write(from->other->sock, &bytes, 1, on_written);
}

static bool is_discarded(const struct side *from)
{
	return from->pair->blackholed ||
	       (from->pair->one_way && from == &from->pair->server);
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct side *from = sock->data;

	if (is_discarded(from)) {
		/* The end of the stream is not relayed either. */
		h2o_buffer_consume(&sock->input, sock->input->size);
		if (err)
			h2o_socket_read_stop(sock);
		return;
	}
	if (err) {
		h2o_socket_read_stop(sock);
		close_pair(from->pair);
		return;
	}
	h2o_socket_read_stop(sock);
	if (from->pair->relay->delaying)
		ks_timer_set(&from->delay, DELAY_US);
	else
		pass_on(from);
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct side *server = sock->data;

	if (err) {
		close_pair(server->pair);
		return;
	}
	h2o_socket_read_start(server->sock, on_read);
	h2o_socket_read_start(server->other->sock, on_read);
}

static struct sockaddr_in to_sockaddr(const ks_address_t *address)
{
	struct sockaddr_in in = { .sin_family = AF_INET };

	in.sin_port = htons(address->port);
	inet_pton(AF_INET, address->ip, &in.sin_addr);
	return in;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct relay *relay = listener->data;
	struct sockaddr_in target = to_sockaddr(&relay->target);
	h2o_socket_t *sock;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener))) {
		struct pair *pair;

		if (relay->refusing) {
			h2o_socket_close(sock);
			continue;
		}
		pair = g_new0(struct pair, 1);
		ks_list_append(&relay->pairs, &pair->node);
		pair->relay = relay;
		pair->client = (struct side){ .pair = pair,
					      .other = &pair->server,
					      .sock = sock };
		pair->server =
			(struct side){ .pair = pair, .other = &pair->client };
		ks_timer_init(&pair->client.delay, &relay->loop, pass_on,
			      &pair->client);
		ks_timer_init(&pair->server.delay, &relay->loop, pass_on,
			      &pair->server);
		sock->data = &pair->client;
		pair->server.sock = h2o_socket_connect(
			relay->loop.h2o, (struct sockaddr *)&target,
			sizeof(target), on_connect);
		if (!pair->server.sock)
			close_pair(pair);
		else
			pair->server.sock->data = &pair->server;
	}
}

static void blackhole_all(struct relay *relay)
{
	unsigned count = 0;

	KS_LIST_FOREACH (it, &relay->pairs) {
		KS_CONTAINER_OF(it, struct pair, node)->blackholed = true;
		count++;
	}
	fprintf(stderr, "%u connections are silent\n", count);
}

static void cut_answers(struct relay *relay)
{
	KS_LIST_FOREACH (it, &relay->pairs)
		KS_CONTAINER_OF(it, struct pair, node)->one_way = true;
	fprintf(stderr, "answers are discarded\n");
}

static void set_reset_on_close(h2o_socket_t *sock)
{
	struct linger reset = { 1, 0 };

	if (sock)
		setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_LINGER,
			   &reset, sizeof(reset));
}

static void reset_all(struct relay *relay)
{
	/* See toggle_refusing(). */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	KS_LIST_FOREACH_SAFE (it, next, &relay->pairs) {
		struct pair *pair = KS_CONTAINER_OF(it, struct pair, node);

		set_reset_on_close(pair->client.sock);
		set_reset_on_close(pair->server.sock);
		close_pair(pair);
	}
	fprintf(stderr, "connections were reset\n");
}

static void toggle_refusing(struct relay *relay)
{
	relay->refusing = !relay->refusing;
	if (relay->refusing)
		/* The analyzer does not see that close_pair() unlinks the pair
		 * before freeing it. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		KS_LIST_FOREACH_SAFE (it, next, &relay->pairs)
			close_pair(KS_CONTAINER_OF(it, struct pair, node));
	fprintf(stderr, "new connections are %s\n",
		relay->refusing ? "refused" : "accepted");
}

static void on_signal(void *ctx)
{
	struct relay *relay = ctx;
	struct signalfd_siginfo info;

	while (read(relay->signal_fd, &info, sizeof(info)) == sizeof(info))
		switch (info.ssi_signo) {
		case SIGUSR1:
			blackhole_all(relay);
			break;
		case SIGHUP:
			cut_answers(relay);
			break;
		case SIGWINCH:
			relay->delaying = !relay->delaying;
			fprintf(stderr, "data is %s\n",
				relay->delaying ? "delayed" : "passed on");
			break;
		case SIGURG:
			reset_all(relay);
			break;
		default:
			toggle_refusing(relay);
		}
}

static bool watch_signals(struct relay *relay)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	sigaddset(&set, SIGUSR2);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGWINCH);
	sigaddset(&set, SIGURG);
	sigprocmask(SIG_BLOCK, &set, NULL);
	relay->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	return ks_watch_init(&relay->watch, &relay->loop, relay->signal_fd,
			     on_signal, relay, NULL);
}

static bool listen_relay(struct relay *relay)
{
	struct sockaddr_in in = to_sockaddr(&relay->listen);
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return false;
	if (bind(fd, (struct sockaddr *)&in, len) || listen(fd, BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&in, &len)) {
		close(fd);
		return false;
	}
	relay->listener = h2o_evloop_socket_create(relay->loop.h2o, fd,
						   H2O_SOCKET_FLAG_DONT_READ);
	relay->listener->data = relay;
	h2o_socket_read_start(relay->listener, on_accept);
	fprintf(stderr, "listens on %s:%u\n", relay->listen.ip,
		ntohs(in.sin_port));
	return true;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT", "listen address");
	struct arg_str *target = arg_str1(NULL, "target", "IP:PORT",
					  "address to relay connections to");
	struct arg_end *end = arg_end(10);
	void *table[] = { listen, target, end };
	struct relay relay = { 0 };
	struct fake_signals signals;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fake-relay");
		return EXIT_USAGE;
	}
	if (!ks_address_parse(&relay.listen, ks_str_from(listen->sval[0]),
			      NULL) ||
	    !ks_address_parse(&relay.target, ks_str_from(target->sval[0]),
			      NULL))
		return EXIT_USAGE;
	ks_list_init(&relay.pairs);
	ks_loop_init(&relay.loop, ks_clock_monotonic());
	if (!fake_signals_init(&signals, &relay.loop) ||
	    !watch_signals(&relay) || !listen_relay(&relay))
		return EXIT_FAILURE;
	ks_loop_run(&relay.loop);
	/* Exiting closes the open connections. */
	_exit(EXIT_SUCCESS);
}
