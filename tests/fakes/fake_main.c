/* Signal handling and listening of the fake servers. */
#include "fake_main.h"

#include <signal.h>
#include <stdio.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define MAX_BODY (64 * 1024 * 1024)

static void on_signal(void *ctx)
{
	struct fake_signals *signals = ctx;
	struct signalfd_siginfo info;

	while (read(signals->fd, &info, sizeof(info)) == sizeof(info))
		ks_loop_stop(signals->loop);
}

/**
 * fake_signals_init() - stop a loop on SIGTERM or SIGINT
 *
 * Also ignores SIGPIPE.
 *
 * Return: false if the signals cannot be watched.
 */
bool fake_signals_init(struct fake_signals *signals, ks_loop_t *loop)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	signals->loop = loop;
	signals->fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	return ks_watch_init(&signals->watch, loop, signals->fd, on_signal,
			     signals, NULL);
}

/**
 * fake_signals_deinit() - stop watching for signals
 */
void fake_signals_deinit(struct fake_signals *signals)
{
	ks_watch_deinit(&signals->watch);
	close(signals->fd);
}

/**
 * fake_echo_call() - name the call in the response, as an upstream should
 */
void fake_echo_call(h2o_req_t *req)
{
	ks_str_t call = ks_http_req_header(req, "x-ks-call");

	if (call.len)
		h2o_add_header_by_str(&req->pool, &req->res.headers,
				      H2O_STRLIT("x-ks-call"), 0, NULL,
				      call.data, call.len);
}

/**
 * fake_listen() - start an HTTP server and print its address to standard error
 * @address: address to bind; a port of 0 is replaced by the port chosen
 *
 * Test scripts wait for the line "listens on IP:PORT" and parse it.
 *
 * Return: false if the address cannot be bound.
 */
bool fake_listen(ks_http_server_t *server, ks_loop_t *loop,
		 ks_address_t *address, ks_http_handler_func_t handler,
		 void *ctx)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	GError *error = NULL;

	if (!ks_http_server_init(server, loop, address, MAX_BODY, handler, ctx,
				 &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	address->port = ks_http_server_port(server);
	fprintf(stderr, "listens on %s\n", ks_address_format(address, text));
	return true;
}
