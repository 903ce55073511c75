/* Command that shows the state of a request. */
#include "cli.h"

#include <jansson.h>
#include <stdio.h>

#define UUID_VERSION_INDEX 14
#define HOUR_S 3600

/* Reads the time of a UUIDv7 from its first 48 bits, Unix milliseconds. */
static bool read_uuid_time(const char *key, int64_t *issued_s)
{
	int64_t ms = 0;

	if (!g_uuid_string_is_valid(key) || key[UUID_VERSION_INDEX] != '7')
		return false;
	for (int i = 0, digits = 0; digits < 12; i++) {
		if (key[i] == '-')
			continue;
		ms = ms << 4 | g_ascii_xdigit_value(key[i]);
		digits++;
	}
	*issued_s = ms / 1000;
	return true;
}

static int print_claim(const ks_cli_t *cli, const GString *value)
{
	json_t *root = json_loadb(value->str, value->len, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));

	if (!state) {
		json_decref(root);
		return ks_cli_error(KS_EXIT_FAILED,
				    "the row of the claim is corrupt");
	}
	if (cli->json) {
		ks_cli_print_json(root);
		return KS_EXIT_DONE;
	}
	printf("%s\n", state);
	json_decref(root);
	return KS_EXIT_DONE;
}

/**
 * ks_cli_request_status() - print the state of a non-idempotent request
 *
 * The entry that accepts such a request writes a row "claim/HOUR/TENANT/KEY",
 * where HOUR is the time of the idempotency key in hours since the Unix epoch.
 */
int ks_cli_request_status(ks_cli_t *cli)
{
	const char *key = cli->args[0];
	int64_t issued_s = cli->date_s;
	int code;
	ks_cli_row_t row;
	char *row_key;

	if (!cli->tenant)
		return ks_cli_error(KS_EXIT_USAGE,
				    "request status requires --tenant");
	if (issued_s < 0 && !read_uuid_time(key, &issued_s))
		return ks_cli_error(
			KS_EXIT_USAGE,
			"the key is not a UUIDv7; --date is required");
	row_key = g_strdup_printf("claim/%" G_GINT64_FORMAT "/%s/%s",
				  issued_s / HOUR_S, cli->tenant, key);
	ks_cli_get(cli, ks_str_from(row_key), &row);
	g_free(row_key);
	if (row.outcome != KS_STORE_DONE)
		return ks_cli_unreachable();
	if (!row.value)
		return ks_cli_error(KS_EXIT_FAILED, "there is no such claim");
	code = print_claim(cli, row.value);
	g_string_free(row.value, TRUE);
	return code;
}
