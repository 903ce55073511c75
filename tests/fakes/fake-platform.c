/*
 * Fake platform: an in-memory table service, object store, host list and model
 * weight store. Tests inject faults with POST /control.
 */
#include "fake_platform.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2
#define DEFAULT_WRITES_PER_S 500
#define DEFAULT_READS_PER_S 2000
#define DEFAULT_WEIGHTS_PER_S 4

static int serve(fake_platform_t *platform, const char *listen)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	ks_address_t address;
	GError *error = NULL;
	ks_loop_t loop;

	ks_loop_init(&loop, ks_clock_monotonic());
	if (!ks_address_parse(&address, ks_str_from(listen), &error) ||
	    !fake_platform_init(platform, &loop, &address, &error)) {
		fprintf(stderr, "fake-platform: %s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	address.port = ks_http_server_port(&platform->server);
	fprintf(stderr, "listens on %s\n", ks_address_format(&address, text));
	ks_loop_run(&loop);
	return EXIT_SUCCESS;
}

static double rate_or(const struct arg_int *option, double fallback)
{
	return option->count ? option->ival[0] : fallback;
}

int main(int argc, char **argv)
{
	static fake_platform_t platform;
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT",
			 "listen address; port 0 selects a free port");
	struct arg_int *writes = arg_int0(
		NULL, "writes-per-s", "N",
		"respond with 429 beyond this rate of writes; 0: no limit");
	struct arg_int *reads = arg_int0(
		NULL, "reads-per-s", "N",
		"respond with 429 beyond this rate of reads; 0: no limit");
	struct arg_int *weights = arg_int0(
		NULL, "weights-per-s", "N",
		"respond with 429 beyond this rate of weight downloads; "
		"0: no limit");
	struct arg_str *token = arg_str0(NULL, "token", "TOKEN",
					 "bearer token that clients must send");
	struct arg_end *end = arg_end(5);
	void *table[] = { listen, writes, reads, weights, token, end };
	int status;

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "fake-platform");
		arg_print_glossary(stderr, table, "  %-25s %s\n");
		arg_freetable(table, G_N_ELEMENTS(table));
		return EXIT_USAGE;
	}
	platform.write_rate.per_s = rate_or(writes, DEFAULT_WRITES_PER_S);
	platform.read_rate.per_s = rate_or(reads, DEFAULT_READS_PER_S);
	platform.weight_rate.per_s = rate_or(weights, DEFAULT_WEIGHTS_PER_S);
	platform.token = token->count ? g_strdup(token->sval[0]) : NULL;
	status = serve(&platform, listen->sval[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
