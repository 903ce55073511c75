/* Commands that ask the entries: fleet status and release status. */
#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_US (3 * KS_USEC_PER_SEC)
#define MAX_STATUS_BYTES ((size_t)16 * 1024 * 1024)
#define POLL_INTERVAL_US (1 * KS_USEC_PER_SEC)
#define HTTP_OK 200

/**
 * struct ks_entry_status - response of an entry to a status request
 * @done: the request has ended
 * @status: HTTP status, 0 if there was no complete response
 * @root: parsed body, NULL if there is no valid one
 */
struct ks_entry_status {
	bool done;
	int status;
	json_t *root;
};

static bool is_status(json_t *root)
{
	return json_is_integer(json_object_get(root, "version")) &&
	       json_is_array(json_object_get(root, "links"));
}

static void on_status(void *ctx, const ks_http_response_t *answer)
{
	struct ks_entry_status *entry = ctx;

	entry->done = true;
	entry->status = answer->result == KS_HTTP_COMPLETE ? answer->status : 0;
	if (entry->status != HTTP_OK)
		return;
	entry->root = json_loadb(answer->body.data, answer->body.len, 0, NULL);
	if (!is_status(entry->root)) {
		json_decref(entry->root);
		entry->root = NULL;
	}
}

static struct ks_entry_status *fetch_statuses(ks_cli_t *cli)
{
	struct ks_entry_status *entries =
		g_new0(struct ks_entry_status, cli->n_entries + 1);
	char *bearer = g_strconcat(
		"Bearer ", cli->operator_token ? cli->operator_token : "",
		NULL);
	ks_header_t header = { KS_STR("authorization"), ks_str_from(bearer) };

	for (size_t i = 0; i < cli->n_entries; i++) {
		ks_http_request_t request = {
			.address = cli->entries[i],
			.method = KS_STR("GET"),
			.target = KS_STR("/internal/status"),
			.headers = &header,
			.n_headers = cli->operator_token ? 1 : 0,
			.timeout_us = FETCH_TIMEOUT_US,
		};

		ks_http_fetch(&cli->client, &request, MAX_STATUS_BYTES,
			      on_status, &entries[i]);
	}
	for (size_t i = 0; i < cli->n_entries; i++)
		ks_cli_wait(cli, &entries[i].done);
	g_free(bearer);
	return entries;
}

static void free_entries(const ks_cli_t *cli, struct ks_entry_status *entries)
{
	for (size_t i = 0; i < cli->n_entries; i++)
		json_decref(entries[i].root);
	g_free(entries);
}

static const char *get_string(json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "?";
}

static json_int_t get_integer(json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void print_entry(const ks_address_t *address,
			const struct ks_entry_status *entry)
{
	char text[KS_ADDRESS_TEXT_SIZE];
	json_t *link;
	size_t i;

	ks_address_format(address, text);
	if (!entry->root) {
		printf("entry %s: no status, HTTP status %d\n", text,
		       entry->status);
		return;
	}
	printf("entry %s: version %" JSON_INTEGER_FORMAT "\n", text,
	       get_integer(entry->root, "version"));
	json_array_foreach(json_object_get(entry->root, "links"), i, link)
		printf("  upstream %s: %s, version %" JSON_INTEGER_FORMAT
		       ", %" JSON_INTEGER_FORMAT " in flight\n",
		       get_string(link, "upstream"), get_string(link, "state"),
		       get_integer(link, "version"),
		       get_integer(link, "in_flight"));
}

static json_t *entry_to_json(const ks_address_t *address,
			     const struct ks_entry_status *entry)
{
	char text[KS_ADDRESS_TEXT_SIZE];

	return json_pack("{s:s, s:i, s:O?}", "entry",
			 ks_address_format(address, text), "http_status",
			 entry->status, "status", entry->root);
}

/**
 * ks_cli_fleet_status() - print the status of each entry
 *
 * Return: KS_EXIT_FAILED if an entry returned no status.
 */
int ks_cli_fleet_status(ks_cli_t *cli)
{
	struct ks_entry_status *entries;
	json_t *array = json_array();
	int code = KS_EXIT_DONE;

	if (!cli->n_entries) {
		json_decref(array);
		return ks_cli_error(KS_EXIT_USAGE,
				    "fleet status requires --entry");
	}
	entries = fetch_statuses(cli);
	for (size_t i = 0; i < cli->n_entries; i++) {
		if (!entries[i].root)
			code = KS_EXIT_FAILED;
		if (cli->json)
			json_array_append_new(
				array,
				entry_to_json(&cli->entries[i], &entries[i]));
		else
			print_entry(&cli->entries[i], &entries[i]);
	}
	if (cli->json)
		ks_cli_print_json(json_incref(array));
	json_decref(array);
	free_entries(cli, entries);
	return code;
}

/**
 * struct progress - number of processes in which a version is in force
 * @lines: state of each process that is not ready with the version
 */
struct progress {
	unsigned n_processes;
	unsigned n_in_force;
	GString *lines;
};

static void count_process(struct progress *progress, bool in_force)
{
	progress->n_processes++;
	progress->n_in_force += in_force;
}

/*
 * Returns the link of an upstream with the newest version, as entries may
 * report different versions for a while.
 */
static json_t *find_link(const ks_cli_t *cli,
			 const struct ks_entry_status *entries, const char *id)
{
	json_t *newest = NULL;
	json_t *link;
	size_t i;

	for (size_t e = 0; e < cli->n_entries; e++)
		json_array_foreach(json_object_get(entries[e].root, "links"), i,
				   link)
		{
			if (!strcmp(get_string(link, "upstream"), id) &&
			    (!newest || get_integer(link, "version") >
						get_integer(newest, "version")))
				newest = link;
		}
	return newest;
}

static void count_entries(const ks_cli_t *cli, struct progress *progress,
			  const struct ks_entry_status *entries,
			  uint64_t version)
{
	char text[KS_ADDRESS_TEXT_SIZE];

	for (size_t i = 0; i < cli->n_entries; i++) {
		json_t *root = entries[i].root;
		json_int_t entry_version = get_integer(root, "version");
		bool in_force = root && (uint64_t)entry_version >= version;

		count_process(progress, in_force);
		ks_address_format(&cli->entries[i], text);
		if (!root)
			g_string_append_printf(progress->lines,
					       "  entry %s: no status\n", text);
		else if (!in_force)
			g_string_append_printf(
				progress->lines,
				"  entry %s: version %" JSON_INTEGER_FORMAT
				"\n",
				text, entry_version);
	}
}

static void count_upstreams(const ks_cli_t *cli, struct progress *progress,
			    const struct ks_entry_status *entries,
			    const ks_snapshot_t *snapshot)
{
	for (guint i = 0; i < snapshot->upstreams->len; i++) {
		const ks_upstream_t *upstream = snapshot->upstreams->pdata[i];
		json_t *link = find_link(cli, entries, upstream->id);
		json_int_t version = get_integer(link, "version");
		bool in_force = link && (uint64_t)version >= snapshot->version;
		bool is_ready =
			in_force && !strcmp(get_string(link, "state"), "ready");

		count_process(progress, in_force);
		if (!link)
			g_string_append_printf(progress->lines,
					       "  upstream %s: no link\n",
					       upstream->id);
		else if (!is_ready)
			g_string_append_printf(
				progress->lines,
				"  upstream %s: %s, version "
				"%" JSON_INTEGER_FORMAT
				", %" JSON_INTEGER_FORMAT " in flight\n",
				upstream->id, get_string(link, "state"),
				version, get_integer(link, "in_flight"));
	}
}

static void update_progress(ks_cli_t *cli, const ks_snapshot_t *snapshot,
			    struct progress *progress)
{
	struct ks_entry_status *entries = fetch_statuses(cli);

	progress->n_processes = 0;
	progress->n_in_force = 0;
	g_string_truncate(progress->lines, 0);
	count_entries(cli, progress, entries, snapshot->version);
	count_upstreams(cli, progress, entries, snapshot);
	free_entries(cli, entries);
}

static void print_progress(const ks_cli_t *cli, const ks_snapshot_t *snapshot,
			   const struct progress *progress)
{
	if (cli->json)
		ks_cli_print_json(
			json_pack("{s:I, s:i, s:i, s:s}", "version",
				  (json_int_t)snapshot->version, "processes",
				  (int)progress->n_processes, "in_force",
				  (int)progress->n_in_force, "waiting_for",
				  progress->lines->str));
	else
		printf("version %" G_GUINT64_FORMAT
		       " is in force in %u of %u processes\n%s",
		       snapshot->version, progress->n_in_force,
		       progress->n_processes, progress->lines->str);
	fflush(stdout);
}

static void set_flag(void *ctx)
{
	*(bool *)ctx = true;
}

static void sleep_for(ks_cli_t *cli, int64_t delay_us)
{
	bool done = false;
	ks_timer_t timer;

	ks_timer_init(&timer, &cli->loop, set_flag, &done);
	ks_timer_set(&timer, delay_us);
	ks_cli_wait(cli, &done);
}

/*
 * Polls until the version is in force, if --wait is given. Prints the progress
 * only when it has changed, to keep the output of a long wait short.
 */
static int poll_progress(ks_cli_t *cli, const ks_snapshot_t *snapshot)
{
	int64_t end = ks_loop_now(&cli->loop) + cli->timeout_us;
	struct progress progress = { 0 };
	char *printed = NULL;
	bool complete;

	progress.lines = g_string_new(NULL);
	for (;;) {
		update_progress(cli, snapshot, &progress);
		complete = progress.n_in_force == progress.n_processes;
		if (g_strcmp0(printed, progress.lines->str)) {
			print_progress(cli, snapshot, &progress);
			g_free(printed);
			printed = g_strdup(progress.lines->str);
		}
		if (complete || !cli->wait || ks_loop_now(&cli->loop) >= end)
			break;
		sleep_for(cli, POLL_INTERVAL_US);
	}
	g_free(printed);
	g_string_free(progress.lines, TRUE);
	if (complete || !cli->wait)
		return KS_EXIT_DONE;
	return ks_cli_error(KS_EXIT_FAILED,
			    "the version is not in force everywhere yet");
}

/**
 * ks_cli_release_status() - show the newest version and where it is in force
 *
 * With --wait it polls the entries until the version is in force in every
 * process.
 */
int ks_cli_release_status(ks_cli_t *cli)
{
	ks_snapshot_t *snapshot = NULL;
	ks_release_record_t head;
	int code = ks_cli_read_head(cli, &head);

	if (code != KS_EXIT_DONE)
		return code;
	if (cli->wait && !cli->n_entries)
		code = ks_cli_error(KS_EXIT_USAGE, "--wait requires --entry");
	else
		code = ks_cli_fetch(cli, head.version, &snapshot);
	if (code == KS_EXIT_DONE && cli->n_entries)
		code = poll_progress(cli, snapshot);
	else if (code == KS_EXIT_DONE && cli->json)
		ks_cli_print_json(json_pack("{s:I}", "version",
					    (json_int_t)head.version));
	else if (code == KS_EXIT_DONE)
		printf("version %" G_GUINT64_FORMAT " is the newest\n",
		       head.version);
	ks_snapshot_unref(snapshot);
	ks_release_record_deinit(&head);
	return code;
}
