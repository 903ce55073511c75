/* The daemon: reads its settings, runs its role and stops gracefully. */
#include "ks/gateway.h"
#include "ks/entry.h"
#include "ks/settings.h"
#include "ks/upstream.h"
#include "platform.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define EXIT_USAGE 2
#define MMAP_THRESHOLD_BYTES (128 * 1024)
#define VERSION "0.1.0"

struct daemon {
	ks_loop_t loop;
	const char *settings_file;
	ks_settings_t *settings;
	ks_entry_t *entry;
	ks_upstream_process_t *upstream;
	ks_gateway_t *gateway;
	ks_platform_source_t *source;
	ks_watch_t signals;
	int signal_fd;
};

/*
 * Checks changed settings on SIGHUP without applying them: configuration that
 * may change while the process runs comes from the platform.
 */
static void check_settings(struct daemon *daemon)
{
	ks_settings_t *settings;
	GError *error = NULL;

	if (!ks_settings_load(&settings, daemon->settings_file, &error)) {
		ks_log(KS_LOG_MAIN, KS_LOG_WARN,
		       "the changed settings are not valid: %s",
		       error->message);
		g_error_free(error);
		return;
	}
	ks_log(KS_LOG_MAIN, KS_LOG_INFO,
	       "the changed settings are valid and take effect at the next "
	       "start");
	ks_settings_free(settings);
}

static void on_signal(void *ctx)
{
	struct daemon *daemon = ctx;
	struct signalfd_siginfo info;

	while (read(daemon->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP) {
			check_settings(daemon);
			continue;
		}
		ks_log(KS_LOG_MAIN, KS_LOG_INFO, "graceful stop begins");
		if (daemon->entry)
			ks_entry_stop(daemon->entry);
		if (daemon->upstream)
			ks_upstream_process_stop(daemon->upstream);
		if (daemon->gateway)
			ks_gateway_stop(daemon->gateway);
		if (daemon->source)
			ks_platform_source_stop(daemon->source);
	}
}

static bool watch_signals(struct daemon *daemon, GError **error)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	daemon->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	return ks_watch_init(&daemon->signals, &daemon->loop, daemon->signal_fd,
			     on_signal, daemon, error);
}

/* The setting, within the limit of the process. */
static size_t max_descriptors(const ks_settings_t *settings)
{
	struct rlimit limit;
	size_t max = settings->max_descriptors;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
		return max;
	return max ? MIN(max, limit.rlim_cur) : limit.rlim_cur;
}

static bool start_gateway(struct daemon *daemon, GError **error)
{
	const ks_settings_t *s = daemon->settings;
	ks_gateway_settings_t gateway = {
		.name = s->name,
		.domain = s->domain,
		.drain_delay_us = s->drain_delay_ms * KS_USEC_PER_MSEC,
		.grace_us = (int64_t)(s->stop_grace_s * KS_USEC_PER_SEC),
		.leaving_notice_us = s->leaving_notice_ms * KS_USEC_PER_MSEC,
		.retry_ratio = s->retry_ratio,
		.retry_slack = s->retry_slack,
		.retry_window_us =
			(int64_t)(s->retry_window_s * KS_USEC_PER_SEC),
		.key_max_age_us = s->key_max_age_ms * KS_USEC_PER_MSEC,
		.memory_bytes = (size_t)s->memory_mb * 1024 * 1024,
		.max_descriptors = max_descriptors(s),
	};
	ks_platform_settings_t platform = {
		.name = s->name,
		.peer = s->peer ? &gateway.peer : NULL,
		.order_turns_us = s->order_turns_ms * KS_USEC_PER_MSEC,
		.prefill_share = s->prefill_share,
		.announce_us = s->announce_ms * KS_USEC_PER_MSEC,
		.leaving_notice_us = s->leaving_notice_ms * KS_USEC_PER_MSEC,
		.scales = s->duty_api && ks_settings_has_duty(s, "autoscale"),
		.reports_usage = s->duty_api && s->usage_window_s > 0 &&
				 ks_settings_has_duty(s, "usage_report"),
		.usage_window_us =
			(int64_t)(s->usage_window_s * KS_USEC_PER_SEC),
		.usage_late_us = (int64_t)(s->usage_late_s * KS_USEC_PER_SEC),
	};

	if (!ks_address_parse(&gateway.listen, ks_str_from(s->listen), error) ||
	    !ks_address_parse(&gateway.ready, ks_str_from(s->ready), error) ||
	    !ks_address_parse(&platform.store, ks_str_from(s->platform),
			      error) ||
	    (s->metrics && !ks_address_parse(&gateway.metrics,
					     ks_str_from(s->metrics), error)) ||
	    (s->peer &&
	     !ks_address_parse(&gateway.peer, ks_str_from(s->peer), error)) ||
	    (s->duty_api && !ks_address_parse(&platform.duty_api,
					      ks_str_from(s->duty_api), error)))
		return false;
	daemon->gateway = ks_gateway_new(&daemon->loop, ks_platform_dialect(),
					 &gateway, error);
	if (!daemon->gateway)
		return false;
	/* The kernel may have chosen the port. */
	gateway.peer.port = ks_gateway_peers(daemon->gateway)->port;
	daemon->source = ks_platform_source_new(&daemon->loop, daemon->gateway,
						&platform);
	return true;
}

static bool start_role(struct daemon *daemon, GError **error)
{
	if (!g_strcmp0(daemon->settings->role, "entry")) {
		daemon->entry =
			ks_entry_new(&daemon->loop, daemon->settings, error);
		return daemon->entry != NULL;
	}
	if (!g_strcmp0(daemon->settings->role, "gateway"))
		return start_gateway(daemon, error);
	daemon->upstream =
		ks_upstream_process_new(&daemon->loop, daemon->settings, error);
	return daemon->upstream != NULL;
}

static int run_daemon(struct daemon *daemon)
{
	GError *error = NULL;

	ks_loop_init(&daemon->loop, ks_clock_monotonic());
	if (!watch_signals(daemon, &error) || !start_role(daemon, &error)) {
		ks_log(KS_LOG_MAIN, KS_LOG_ERROR, "cannot start: %s",
		       error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	ks_loop_run(&daemon->loop);
	ks_log(KS_LOG_MAIN, KS_LOG_INFO, "stopped");
	if (daemon->entry)
		ks_entry_free(daemon->entry);
	if (daemon->upstream)
		ks_upstream_process_free(daemon->upstream);
	if (daemon->source)
		ks_platform_source_free(daemon->source);
	if (daemon->gateway)
		ks_gateway_free(daemon->gateway);
	ks_watch_deinit(&daemon->signals);
	close(daemon->signal_fd);
	ks_loop_deinit(&daemon->loop);
	return EXIT_SUCCESS;
}

static int run_with_settings(const char *file, bool check_only)
{
	struct daemon daemon = { .settings_file = file };
	GError *error = NULL;
	int status;

	if (!ks_settings_load(&daemon.settings, file, &error)) {
		fprintf(stderr, "knapweedstaird: %s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (check_only) {
		printf("%s: the settings are valid\n", file);
		ks_settings_free(daemon.settings);
		return EXIT_SUCCESS;
	}
	/*
	 * glibc raises the threshold when a large block is freed. Bodies would
	 * then come from the heap, which keeps them as long as a small block
	 * above them is in use.
	 */
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	ks_settings_init_logs(daemon.settings);
	status = run_daemon(&daemon);
	ks_log_deinit();
	ks_settings_free(daemon.settings);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_str *config =
		arg_str1("c", "config", "FILE", "read settings from FILE");
	struct arg_lit *check =
		arg_lit0(NULL, "check-config", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version");
	struct arg_end *end = arg_end(10);
	void *table[] = { config, check, help, version, end };
	int status = EXIT_SUCCESS;
	int n_errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: knapweedstaird");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-25s %s\n");
	} else if (version->count) {
		printf("knapweedstaird %s\n", VERSION);
	} else if (n_errors) {
		arg_print_errors(stderr, end, "knapweedstaird");
		status = EXIT_USAGE;
	} else {
		status = run_with_settings(config->sval[0], check->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
