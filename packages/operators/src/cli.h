/* Options, connections and helpers shared by the operators' commands. */
#ifndef KS_OPERATORS_CLI_H
#define KS_OPERATORS_CLI_H

#include "ks/operators.h"

#include <jansson.h>

/**
 * enum ks_exit - exit codes of the operators' command line
 * @KS_EXIT_CONFLICT: another release note was published first
 * @KS_EXIT_UNREACHABLE: the store cannot be reached; nothing was changed
 * @KS_EXIT_UNKNOWN: the store did not answer; the change may have been made
 */
enum ks_exit {
	KS_EXIT_DONE = 0,
	KS_EXIT_FAILED = 1,
	KS_EXIT_USAGE = 2,
	KS_EXIT_CONFLICT = 3,
	KS_EXIT_UNREACHABLE = 4,
	KS_EXIT_UNKNOWN = 5,
};

/**
 * struct ks_cli - state of a command
 * @entries: addresses given with --entry
 * @args: arguments of the command, without its name
 * @json: print JSON instead of text
 * @wait, @timeout_us: --wait and its time limit
 * @base: version given with --base, or -1
 * @date_s: Unix time given with --date, or -1
 * @tenant: NULL if --tenant was not given
 * @method, @host, @path, @prompt: values of the options, NULL if not given
 * @deadline_ms: time given with --deadline-ms, or -1
 * @key: content of the file given with --key-file, NULL if not given
 */
typedef struct ks_cli {
	ks_loop_t loop;
	ks_http_client_t client;
	ks_rng_t rng;
	ks_store_http_t store;
	bool has_platform;
	char *platform_token;
	char *operator_token;
	ks_address_t *entries;
	size_t n_entries;
	const char **args;
	int n_args;
	bool json;
	bool wait;
	int64_t timeout_us;
	int64_t base;
	int64_t date_s;
	const char *tenant;
	const ks_cli_names_t *names;
	const char *method;
	const char *host;
	const char *path;
	const char *prompt;
	int64_t deadline_ms;
	char *key;
} ks_cli_t;

/**
 * struct ks_cli_row - row read by ks_cli_get()
 * @value: NULL if there is no such row
 */
typedef struct ks_cli_row {
	ks_store_outcome_t outcome;
	GString *value;
	bool done;
} ks_cli_row_t;

int ks_cli_error(int code, const char *format, ...) G_GNUC_PRINTF(2, 3);
int ks_cli_unreachable(void);
void ks_cli_print_json(json_t *root);
void ks_cli_wait(ks_cli_t *cli, const bool *done);
void ks_cli_get(ks_cli_t *cli, ks_str_t key, ks_cli_row_t *row);
int ks_cli_fetch(ks_cli_t *cli, uint64_t version, ks_snapshot_t **snapshot);
int ks_cli_read_head(ks_cli_t *cli, ks_release_record_t *head);

int ks_cli_release_check(ks_cli_t *cli);
int ks_cli_release_publish(ks_cli_t *cli);
int ks_cli_release_history(ks_cli_t *cli);
int ks_cli_release_show(ks_cli_t *cli);
int ks_cli_release_diff(ks_cli_t *cli);
int ks_cli_release_status(ks_cli_t *cli);
int ks_cli_fleet_status(ks_cli_t *cli);
int ks_cli_request_status(ks_cli_t *cli);
int ks_cli_explain(ks_cli_t *cli);
void ks_cli_format_explanation(GString *out, const json_t *root);

#endif
