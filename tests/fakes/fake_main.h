/* Signal handling and listening of the fake servers. */
#ifndef FAKE_MAIN_H
#define FAKE_MAIN_H

#include "ks/connection.h"

#include <h2o.h>

/**
 * struct fake_signals - stops a loop on SIGTERM or SIGINT
 * @fd: signalfd
 */
struct fake_signals {
	ks_loop_t *loop;
	ks_watch_t watch;
	int fd;
};

bool fake_signals_init(struct fake_signals *signals, ks_loop_t *loop);
void fake_signals_deinit(struct fake_signals *signals);
void fake_echo_call(h2o_req_t *req);
bool fake_listen(ks_http_server_t *server, ks_loop_t *loop,
		 ks_address_t *address, ks_http_handler_func_t handler,
		 void *ctx);

#endif
