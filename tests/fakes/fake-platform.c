/*
 * Stand-in for the platform: table service, object store, host list and weight
 * store in memory, with faults that a test sets through POST /control.
 */
#include "fake_platform.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2
#define MAX_BODY ((size_t)64 * 1024 * 1024)
#define DEFAULT_WRITES_PER_S 500
#define DEFAULT_READS_PER_S 2000
#define DEFAULT_WEIGHTS_PER_S 4

static int compare_keys(const void *a, const void *b, void *ctx G_GNUC_UNUSED)
{
	return strcmp(a, b);
}

static int serve(fake_platform_t *platform, const char *listen)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	ks_address_t address;
	GError *error = NULL;

	fake_tables_init(&platform->tables);
	platform->hosts = g_ptr_array_new_with_free_func(g_free);
	platform->leaving = g_ptr_array_new_with_free_func(g_free);
	platform->prefixes =
		g_tree_new_full(compare_keys, NULL, g_free, g_free);
	ks_loop_init(&platform->loop, ks_clock_monotonic());
	if (!ks_address_parse(&address, ks_str_from(listen), &error) ||
	    !ks_http_server_init(&platform->server, &platform->loop, &address,
				 MAX_BODY, fake_platform_handle, platform,
				 &error)) {
		fprintf(stderr, "fake-platform: %s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	address.port = ks_http_server_port(&platform->server);
	fprintf(stderr, "listens on %s\n", ks_address_format(&address, text));
	ks_loop_run(&platform->loop);
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
		arg_str1(NULL, "listen", "IP:PORT", "port 0: kernel chooses");
	struct arg_int *writes = arg_int0(NULL, "writes-per-s", "N",
					  "429 beyond them; 0 for no limit");
	struct arg_int *reads = arg_int0(NULL, "reads-per-s", "N",
					 "429 beyond them; 0 for no limit");
	struct arg_int *weights = arg_int0(NULL, "weights-per-s", "N",
					   "loads of weights; 0 for no limit");
	struct arg_str *token =
		arg_str0(NULL, "token", "TOKEN", "bearer token to demand");
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
