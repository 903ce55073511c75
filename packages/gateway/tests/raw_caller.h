/* A caller of a gateway whose test sends and receives its bytes. */
#ifndef KS_GATEWAY_RAW_CALLER_H
#define KS_GATEWAY_RAW_CALLER_H

#include "gateway_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

struct caller {
	int fd;
	GString *received;
	bool closed;
};

static inline void connect_caller(struct fixture *f, struct caller *caller)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port =
					  htons(ks_gateway_port(f->gateway)) };

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(connect(caller->fd, (struct sockaddr *)&in, sizeof(in)),
			==, 0);
	caller->received = g_string_new(NULL);
	caller->closed = false;
}

static inline void send_text(const struct caller *caller, const char *text)
{
	g_assert_cmpint(send(caller->fd, text, strlen(text), MSG_NOSIGNAL), ==,
			strlen(text));
}

static inline void receive(struct caller *caller)
{
	char buf[4096];
	ssize_t n = recv(caller->fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n > 0)
		g_string_append_len(caller->received, buf, n);
	else if (n == 0 || errno != EAGAIN)
		caller->closed = true;
}

static inline void wait_closed(struct fixture *f, struct caller *caller)
{
	for (int i = 0; i < FIXTURE_MAX_STEPS && !caller->closed; i++) {
		fixture_run_once(f);
		receive(caller);
	}
	g_assert_true(caller->closed);
}

static inline void end_caller(struct caller *caller)
{
	close(caller->fd);
	g_string_free(caller->received, TRUE);
}

#endif
