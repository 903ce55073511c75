/* The operators' command line: parses options and runs commands. */
#include "cli.h"

#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "0.1.0"
#define MAX_POSITIONAL 8
#define MAX_ENTRIES 1000
#define MAX_ERRORS 20
#define DEFAULT_WAIT_S 300
#define MAX_WAIT_S 86400

/**
 * struct command - a command
 * @verb: second word of its name, empty for none
 */
struct command {
	const char *noun;
	const char *verb;
	const char *arguments;
	int n_args;
	bool needs_platform;
	int (*run)(ks_cli_t *cli);
	const char *help;
};

static const struct command commands[] = {
	{ "release", "check", "FILE", 1, false, ks_cli_release_check,
	  "check a release note against the version on which it is based" },
	{ "release", "publish", "FILE", 1, true, ks_cli_release_publish,
	  "publish a release note" },
	{ "release", "status", "", 0, true, ks_cli_release_status,
	  "show the newest version and where it is in force" },
	{ "release", "history", "", 0, true, ks_cli_release_history,
	  "list the published versions" },
	{ "release", "show", "VERSION", 1, true, ks_cli_release_show,
	  "print the configuration of a version" },
	{ "release", "diff", "FROM TO", 2, true, ks_cli_release_diff,
	  "show what changed between two versions" },
	{ "fleet", "status", "", 0, false, ks_cli_fleet_status,
	  "show the upstreams as seen by each entry" },
	{ "request", "status", "KEY", 1, true, ks_cli_request_status,
	  "show the state of a non-idempotent request" },
	{ "explain", "", "", 0, false, ks_cli_explain,
	  "show where an entry would send a request, and why" },
};

struct options {
	struct arg_str *platform;
	struct arg_file *token_file;
	struct arg_file *operator_token_file;
	struct arg_str *entry;
	struct arg_str *output;
	struct arg_str *base;
	struct arg_lit *wait;
	struct arg_int *timeout;
	struct arg_str *tenant;
	struct arg_str *date;
	struct arg_str *method;
	struct arg_str *host;
	struct arg_str *path;
	struct arg_str *prompt;
	struct arg_str *deadline_ms;
	struct arg_file *key_file;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *positional;
	struct arg_end *end;
};

#define N_OPTIONS (sizeof(struct options) / sizeof(void *))

static void init_options(struct options *options)
{
	options->platform = arg_str0(NULL, "platform", "IP:PORT",
				     "address of the platform");
	options->token_file =
		arg_file0(NULL, "token-file", "FILE",
			  "platform's token; default: $KS_PLATFORM_TOKEN");
	options->operator_token_file =
		arg_file0(NULL, "operator-token-file", "FILE",
			  "entries' token; default: $KS_OPERATOR_TOKEN");
	options->entry = arg_strn(NULL, "entry", "IP:PORT", 0, MAX_ENTRIES,
				  "address of an entry; repeatable");
	options->output = arg_str0(NULL, "output", "text|json", "form");
	options->base = arg_str0(NULL, "base", "N",
				 "version on which the note is based");
	options->wait =
		arg_lit0(NULL, "wait", "wait until the version is in force");
	options->timeout = arg_int0(NULL, "timeout", "SECONDS",
				    "time limit of --wait (default 300)");
	options->tenant = arg_str0(NULL, "tenant", "T", "tenant of the key");
	options->date = arg_str0(NULL, "date", "SECONDS",
				 "Idempotency-Key-Date of the key");
	options->method =
		arg_str0(NULL, "method", "METHOD", "method of the request");
	options->host = arg_str0(NULL, "host", "HOST", "host of the request");
	options->path = arg_str0(NULL, "path", "PATH", "path of the request");
	options->prompt = arg_str0(NULL, "prompt", "PARTS",
				   "its prompt, as ID:TOKENS,...");
	options->deadline_ms =
		arg_str0(NULL, "deadline-ms", "N", "how long its caller waits");
	options->key_file =
		arg_file0(NULL, "key-file", "FILE", "API key of its caller");
	options->help = arg_lit0("h", "help", "print this help");
	options->version = arg_lit0(NULL, "version", "print the version");
	options->positional =
		arg_strn(NULL, NULL, "COMMAND", 0, MAX_POSITIONAL, "see above");
	options->end = arg_end(MAX_ERRORS);
}

/**
 * ks_cli_error() - print an error message to standard error
 *
 * Return: @code.
 */
int ks_cli_error(int code, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fputs("knapweedstair: ", stderr);
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
	return code;
}

/**
 * ks_cli_unreachable() - report that the store cannot be reached
 *
 * Return: KS_EXIT_UNREACHABLE.
 */
int ks_cli_unreachable(void)
{
	return ks_cli_error(KS_EXIT_UNREACHABLE,
			    "the platform's store cannot be reached");
}

/**
 * ks_cli_print_json() - print a JSON value and drop the reference to it
 */
void ks_cli_print_json(json_t *root)
{
	json_dumpf(root, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
	json_decref(root);
}

/**
 * ks_cli_wait() - run the loop until a callback sets @done
 */
void ks_cli_wait(ks_cli_t *cli, const bool *done)
{
	while (!*done)
		ks_loop_run_once(&cli->loop, KS_USEC_PER_SEC);
}

static void print_help(struct options *options)
{
	printf("Usage: knapweedstair [OPTIONS] COMMAND\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		printf("  %s %s %-9s %s\n", commands[i].noun, commands[i].verb,
		       commands[i].arguments, commands[i].help);
	putchar('\n');
	arg_print_glossary(stdout, (void **)options, "  %-30s %s\n");
}

/* A line break in the token would allow header injection. */
static char *check_token(char *token, bool *ok)
{
	for (const char *at = token; at && *at; at++) {
		if (g_ascii_isgraph(*at))
			continue;
		ks_cli_error(KS_EXIT_USAGE,
			     "a token or key contains spaces or control "
			     "characters");
		*ok = false;
		break;
	}
	return token;
}

/* Reads a token from a file, else from a variable unless that is NULL. */
static char *read_token(const struct arg_file *file, const char *variable,
			bool *ok)
{
	const char *value = variable ? g_getenv(variable) : NULL;
	GError *error = NULL;
	char *text = NULL;

	if (!file->count)
		return check_token(value && *value ? g_strdup(value) : NULL,
				   ok);
	if (!g_file_get_contents(file->filename[0], &text, NULL, &error)) {
		ks_cli_error(KS_EXIT_USAGE, "%s", error->message);
		g_error_free(error);
		*ok = false;
		return NULL;
	}
	return check_token(g_strstrip(text), ok);
}

static bool read_entries(ks_cli_t *cli, const struct arg_str *option)
{
	cli->entries = g_new0(ks_address_t, (gsize)option->count + 1);
	for (int i = 0; i < option->count; i++) {
		GError *error = NULL;

		if (!ks_address_parse(&cli->entries[cli->n_entries++],
				      ks_str_from(option->sval[i]), &error)) {
			ks_cli_error(KS_EXIT_USAGE, "--entry: %s",
				     error->message);
			g_error_free(error);
			return false;
		}
	}
	return true;
}

static bool read_number(const struct arg_str *option, const char *name,
			int64_t *number)
{
	*number = -1;
	if (!option->count || ks_str_parse_int(ks_str_from(option->sval[0]), 0,
					       INT64_MAX / 2, number))
		return true;
	ks_cli_error(KS_EXIT_USAGE, "%s: '%s' is not a number", name,
		     option->sval[0]);
	return false;
}

static const char *value_of(const struct arg_str *option)
{
	return option->count ? option->sval[0] : NULL;
}

static bool read_request(ks_cli_t *cli, const struct options *options)
{
	bool ok = true;

	cli->method = value_of(options->method);
	cli->host = value_of(options->host);
	cli->path = value_of(options->path);
	cli->prompt = value_of(options->prompt);
	cli->key = read_token(options->key_file, NULL, &ok);
	return read_number(options->deadline_ms, "--deadline-ms",
			   &cli->deadline_ms) &&
	       ok;
}

static bool read_options(ks_cli_t *cli, const struct options *options)
{
	int wait_s = options->timeout->count ? options->timeout->ival[0]
					     : DEFAULT_WAIT_S;
	bool ok = true;

	if (options->output->count) {
		cli->json = !strcmp(options->output->sval[0], "json");
		if (!cli->json && strcmp(options->output->sval[0], "text")) {
			ks_cli_error(KS_EXIT_USAGE,
				     "--output: expected text or json");
			return false;
		}
	}
	if (wait_s < 1 || wait_s > MAX_WAIT_S) {
		ks_cli_error(KS_EXIT_USAGE, "--timeout: expected 1 to %d",
			     MAX_WAIT_S);
		return false;
	}
	cli->timeout_us = wait_s * KS_USEC_PER_SEC;
	cli->wait = options->wait->count > 0;
	cli->tenant = value_of(options->tenant);
	cli->platform_token =
		read_token(options->token_file, "KS_PLATFORM_TOKEN", &ok);
	cli->operator_token = read_token(options->operator_token_file,
					 "KS_OPERATOR_TOKEN", &ok);
	return ok && read_number(options->base, "--base", &cli->base) &&
	       read_number(options->date, "--date", &cli->date_s) &&
	       read_request(cli, options) && read_entries(cli, options->entry);
}

static bool connect_platform(ks_cli_t *cli, const struct options *options,
			     const struct command *command)
{
	ks_address_t address;
	GError *error = NULL;

	if (!options->platform->count) {
		if (command->needs_platform)
			ks_cli_error(KS_EXIT_USAGE, "%s %s requires --platform",
				     command->noun, command->verb);
		return !command->needs_platform;
	}
	if (!ks_address_parse(&address, ks_str_from(options->platform->sval[0]),
			      &error)) {
		ks_cli_error(KS_EXIT_USAGE, "--platform: %s", error->message);
		g_error_free(error);
		return false;
	}
	ks_store_http_init(&cli->store, &cli->client, &address,
			   cli->platform_token);
	cli->has_platform = true;
	return true;
}

/* Number of words of a command's name. */
static int n_words(const struct command *command)
{
	return *command->verb ? 2 : 1;
}

static const struct command *find_command(const struct arg_str *positional)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *command = &commands[i];

		if (positional->count == n_words(command) + command->n_args &&
		    !strcmp(positional->sval[0], command->noun) &&
		    (!*command->verb ||
		     !strcmp(positional->sval[1], command->verb)))
			return command;
	}
	return NULL;
}

static int run_command(const struct options *options,
		       const ks_cli_names_t *names)
{
	const struct command *command = find_command(options->positional);
	int code = KS_EXIT_USAGE;
	ks_cli_t cli = { 0 };

	if (!command)
		return ks_cli_error(KS_EXIT_USAGE,
				    "unknown command or wrong number of "
				    "arguments; see --help");
	signal(SIGPIPE, SIG_IGN);
	ks_log_init("knapweedstair", KS_LOG_WARN);
	ks_loop_init(&cli.loop, ks_clock_monotonic());
	ks_http_client_init(&cli.client, &cli.loop);
	ks_rng_init_random(&cli.rng);
	cli.names = names;
	cli.args = options->positional->sval + n_words(command);
	cli.n_args = command->n_args;
	if (read_options(&cli, options) &&
	    connect_platform(&cli, options, command))
		code = command->run(&cli);
	if (cli.has_platform)
		ks_store_http_deinit(&cli.store);
	g_free(cli.platform_token);
	g_free(cli.operator_token);
	g_free(cli.key);
	g_free(cli.entries);
	ks_rng_deinit(&cli.rng);
	ks_http_client_deinit(&cli.client);
	ks_loop_deinit(&cli.loop);
	ks_log_deinit();
	return code;
}

/**
 * ks_cli_main() - parse the arguments and run the command
 * @names: must outlive the call
 *
 * Return: exit code, see enum ks_exit.
 */
int ks_cli_main(int argc, char **argv, const ks_cli_names_t *names)
{
	struct options options;
	int code = KS_EXIT_DONE;
	int n_errors;

	init_options(&options);
	n_errors = arg_parse(argc, argv, (void **)&options);
	if (options.help->count) {
		print_help(&options);
	} else if (options.version->count) {
		printf("knapweedstair %s\n", VERSION);
	} else if (n_errors) {
		arg_print_errors(stderr, options.end, "knapweedstair");
		code = KS_EXIT_USAGE;
	} else {
		code = run_command(&options, names);
	}
	arg_freetable((void **)&options, N_OPTIONS);
	return code;
}
