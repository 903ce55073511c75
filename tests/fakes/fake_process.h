/* Runs a fake server as a child process and sends HTTP requests to it. */
#ifndef FAKE_PROCESS_H
#define FAKE_PROCESS_H

#include "ks/connection.h"
#include "ks/telemetry.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define CALL_TIMEOUT_US (60 * KS_USEC_PER_SEC)
#define MAX_WAITS 6000
#define WAIT_US (10 * KS_USEC_PER_MSEC)

/**
 * struct fake - running fake server
 * @address: address that it listens on
 * @log: pipe from its standard error
 */
struct fake {
	GPid pid;
	ks_address_t address;
	FILE *log;
};

/**
 * struct reply - response to a request
 * @done: the response was received or the request failed
 * @body: null-terminated; freed by the test
 */
struct reply {
	bool done;
	ks_http_result_t result;
	int status;
	char *body;
};

static ks_loop_t test_loop;
static ks_http_client_t test_client;
static char *fakes_dir;

/* Runs the loop until @condition is true; fails after 60 seconds. */
#define WAIT_FOR(condition)                                            \
	do {                                                           \
		for (int wait_ = 0; wait_ < MAX_WAITS && !(condition); \
		     wait_++)                                          \
			ks_loop_run_once(&test_loop, WAIT_US);         \
		g_assert_true(condition);                              \
	} while (0)

/* Must be called first. The fake servers are in the top build directory, three
 * levels above the test program. */
static inline void fakes_init(const char *argv0)
{
	char *dir = g_path_get_dirname(argv0);

	signal(SIGPIPE, SIG_IGN);
	fakes_dir = g_build_filename(dir, "..", "..", "..", NULL);
	g_free(dir);
	ks_loop_init(&test_loop, ks_clock_monotonic());
	ks_http_client_init(&test_client, &test_loop);
}

/* Child setup: a failing test must not leave server processes behind. */
static inline void kill_with_parent(gpointer data G_GNUC_UNUSED)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts a fake server and waits until it listens. @args: command line. */
static inline struct fake fake_start(const char *program, const char *args)
{
	char *path = g_build_filename(fakes_dir, program, NULL);
	char *line = g_strdup_printf("%s %s", path, args);
	char **argv = NULL;
	struct fake fake = { 0 };
	GError *error = NULL;
	char text[256];
	int fd;

	g_assert_true(g_shell_parse_argv(line, NULL, &argv, NULL));
	g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				 kill_with_parent, NULL, &fake.pid, NULL, NULL,
				 &fd, &error);
	g_assert_no_error(error);
	fake.log = fdopen(fd, "r");
	g_assert_nonnull(fgets(text, sizeof(text), fake.log));
	g_strchomp(text);
	g_assert_true(g_str_has_prefix(text, "listens on "));
	g_assert_true(ks_address_parse(
		&fake.address, ks_str_from(text + strlen("listens on ")),
		NULL));
	g_strfreev(argv);
	g_free(line);
	g_free(path);
	return fake;
}

static inline void fake_stop(struct fake *fake)
{
	kill(fake->pid, SIGKILL);
	waitpid(fake->pid, NULL, 0);
	fclose(fake->log);
}

static inline void on_reply(void *ctx, const ks_http_response_t *answer)
{
	struct reply *reply = ctx;

	reply->done = true;
	reply->result = answer->result;
	reply->status = answer->status;
	reply->body = ks_str_dup(answer->body);
}

/* Sends a request without waiting; @reply is filled in later. */
static inline void call_start(const struct fake *fake, const char *method,
			      const char *target, const ks_header_t *header,
			      const char *body, struct reply *reply)
{
	ks_http_request_t request = {
		.address = fake->address,
		.method = ks_str_from(method),
		.target = ks_str_from(target),
		.headers = header,
		.n_headers = header ? 1 : 0,
		.body = ks_str_from(body),
		.timeout_us = CALL_TIMEOUT_US,
	};

	memset(reply, 0, sizeof(*reply));
	ks_http_fetch(&test_client, &request, 16 << 20, on_reply, reply);
}

/* Sends a request and waits for the response. */
static inline struct reply call(const struct fake *fake, const char *method,
				const char *target, const char *body)
{
	struct reply reply;

	call_start(fake, method, target, NULL, body, &reply);
	WAIT_FOR(reply.done);
	return reply;
}

/* Returns a number from the JSON object of GET /stats. */
static inline int fetch_stat(const struct fake *fake, const char *name)
{
	struct reply reply = call(fake, "GET", "/stats", "");
	char *key = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(reply.body, key);
	int value;

	g_assert_nonnull(at);
	value = (int)g_ascii_strtoll(at + strlen(key), NULL, 10);
	g_free(key);
	g_free(reply.body);
	return value;
}

#endif
