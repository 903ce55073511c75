/* Commands on release notes and published versions. */
#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHORT_DIGEST_LEN 12

/* Result of ks_publish_new(), copied in its callback. */
struct publish_state {
	bool done;
	ks_error_kind_t kind;
	uint64_t version;
	char *message;
	char *difference;
};

/* Result of listing the published versions. */
struct history {
	bool done;
	ks_store_outcome_t outcome;
	GPtrArray *records;
};

static int read_note(ks_cli_t *cli, ks_release_t **release)
{
	const char *file = cli->args[0];
	GError *error = NULL;
	char *text = NULL;
	size_t len = 0;

	*release = NULL;
	if (g_file_get_contents(file, &text, &len, &error))
		*release =
			ks_release_parse((ks_str_t){ text, len }, file, &error);
	g_free(text);
	if (!*release) {
		ks_cli_error(KS_EXIT_FAILED, "%s", error->message);
		g_error_free(error);
		return KS_EXIT_FAILED;
	}
	if (cli->base >= 0)
		ks_release_set_base(*release, (uint64_t)cli->base);
	if (ks_release_has_base(*release))
		return KS_EXIT_DONE;
	ks_release_free(*release);
	return ks_cli_error(
		KS_EXIT_FAILED,
		"%s: expected 'base', the version on which the note "
		"is based, or --base",
		file);
}

static int check_against_base(const ks_release_t *release,
			      const ks_snapshot_t *base)
{
	GError *error = NULL;
	ks_snapshot_t *target = ks_release_apply(release, base, &error);
	char *difference;

	if (!target) {
		ks_cli_error(KS_EXIT_FAILED, "%s", error->message);
		g_error_free(error);
		return KS_EXIT_FAILED;
	}
	difference = ks_snapshot_diff(base, target);
	printf("the note can be applied to version %" G_GUINT64_FORMAT "\n%s",
	       base->version, difference);
	g_free(difference);
	ks_snapshot_unref(target);
	return KS_EXIT_DONE;
}

/**
 * ks_cli_release_check() - check a release note
 *
 * Without --platform, a note that is not based on version 0 is only parsed.
 */
int ks_cli_release_check(ks_cli_t *cli)
{
	ks_snapshot_t *base = NULL;
	ks_release_t *release;
	int code = read_note(cli, &release);

	if (code != KS_EXIT_DONE)
		return code;
	if (!cli->has_platform && ks_release_base(release)) {
		printf("the note is well-formed; checking it against version "
		       "%" G_GUINT64_FORMAT " requires --platform\n",
		       ks_release_base(release));
	} else {
		code = ks_cli_fetch(cli, ks_release_base(release), &base);
		if (code == KS_EXIT_DONE)
			code = check_against_base(release, base);
	}
	ks_snapshot_unref(base);
	ks_release_free(release);
	return code;
}

static void on_published(void *ctx, const ks_publish_result_t *result)
{
	struct publish_state *state = ctx;

	state->done = true;
	state->kind = result->kind;
	state->version = result->version;
	state->message = g_strdup(result->message);
	state->difference = g_strdup(result->difference);
}

static int exit_code_for(ks_error_kind_t kind)
{
	switch (kind) {
	case KS_ERROR_NONE:
		return KS_EXIT_DONE;
	case KS_ERROR_CONFLICT:
		return KS_EXIT_CONFLICT;
	case KS_ERROR_STORE_UNAVAILABLE:
		return KS_EXIT_UNREACHABLE;
	case KS_ERROR_OUTCOME_UNKNOWN:
		return KS_EXIT_UNKNOWN;
	default:
		return KS_EXIT_FAILED;
	}
}

static int print_publish_result(const ks_cli_t *cli,
				const struct publish_state *state)
{
	int code = exit_code_for(state->kind);

	if (cli->json)
		ks_cli_print_json(json_pack(
			"{s:s, s:I, s:s, s:s}", "result",
			ks_error_answer(state->kind)->code, "version",
			(json_int_t)state->version, "message", state->message,
			"difference", state->difference));
	else if (code == KS_EXIT_DONE)
		printf("version %" G_GUINT64_FORMAT " is published\n",
		       state->version);
	else
		fputs(state->difference, stdout);
	return code == KS_EXIT_DONE ? code
				    : ks_cli_error(code, "%s", state->message);
}

/**
 * ks_cli_release_publish() - publish a release note and print the result
 */
int ks_cli_release_publish(ks_cli_t *cli)
{
	struct publish_state state = { 0 };
	ks_publish_t *publish;
	ks_release_t *release;
	ks_id_t publisher;
	int code = read_note(cli, &release);

	if (code != KS_EXIT_DONE)
		return code;
	if (!ks_id_generate(&publisher)) {
		ks_release_free(release);
		return ks_cli_error(KS_EXIT_FAILED,
				    "cannot generate a random identifier");
	}
	publish = ks_publish_new(&cli->loop, &cli->store.store, &cli->rng,
				 release, &publisher, on_published, &state);
	ks_cli_wait(cli, &state.done);
	ks_publish_free(publish);
	ks_release_free(release);
	code = print_publish_result(cli, &state);
	g_free(state.message);
	g_free(state.difference);
	return code;
}

static void free_record(void *data)
{
	ks_release_record_deinit(data);
	g_free(data);
}

static int compare_records(const void *a, const void *b)
{
	const ks_release_record_t *first =
		*(const ks_release_record_t *const *)a;
	const ks_release_record_t *second =
		*(const ks_release_record_t *const *)b;

	return (first->version > second->version) -
	       (first->version < second->version);
}

static void on_history(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *rows, size_t n_rows,
		       int failed G_GNUC_UNUSED)
{
	struct history *history = ctx;

	history->done = true;
	history->outcome = outcome;
	for (size_t i = 0; i < n_rows; i++) {
		ks_release_record_t *record;

		if (ks_str_equal(rows[i].key, KS_STR(KS_RELEASE_HEAD_KEY)))
			continue;
		record = g_new0(ks_release_record_t, 1);
		if (ks_release_record_parse(record, rows[i].value))
			g_ptr_array_add(history->records, record);
		else
			g_free(record);
	}
	g_ptr_array_sort(history->records, compare_records);
}

static char *format_time(int64_t unix_us)
{
	GDateTime *time =
		g_date_time_new_from_unix_utc(unix_us / KS_USEC_PER_SEC);
	char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");

	g_date_time_unref(time);
	return text;
}

static void print_history(const ks_cli_t *cli, const GPtrArray *records)
{
	json_t *array = json_array();

	for (guint i = 0; i < records->len; i++) {
		const ks_release_record_t *record = records->pdata[i];
		char *time = format_time(record->published_us);
		char digest[KS_DIGEST_HEX_SIZE];

		ks_digest_format(&record->digest, digest);
		if (cli->json)
			json_array_append_new(
				array,
				json_pack("{s:I, s:s, s:s, s:s}", "version",
					  (json_int_t)record->version,
					  "published", time, "digest", digest,
					  "note", record->note));
		else
			printf("%" G_GUINT64_FORMAT "  %s  %.*s  %s\n",
			       record->version, time, SHORT_DIGEST_LEN, digest,
			       record->note);
		g_free(time);
	}
	if (cli->json)
		ks_cli_print_json(array);
	else
		json_decref(array);
}

/**
 * ks_cli_release_history() - list the published versions
 */
int ks_cli_release_history(ks_cli_t *cli)
{
	struct history history = { 0 };
	int code = KS_EXIT_DONE;

	history.records = g_ptr_array_new_with_free_func(free_record);
	cli->store.store.list(cli->store.store.impl, KS_STR(KS_RELEASE_PREFIX),
			      on_history, &history);
	ks_cli_wait(cli, &history.done);
	if (history.outcome == KS_STORE_DONE)
		print_history(cli, history.records);
	else
		code = ks_cli_unreachable();
	g_ptr_array_free(history.records, TRUE);
	return code;
}

static bool parse_version(const char *word, uint64_t *version)
{
	int64_t number;

	if (!ks_str_parse_int(ks_str_from(word), 0, INT64_MAX, &number)) {
		ks_cli_error(KS_EXIT_USAGE, "'%s' is not a version", word);
		return false;
	}
	*version = (uint64_t)number;
	return true;
}

/**
 * ks_cli_release_show() - print the configuration of a version
 */
int ks_cli_release_show(ks_cli_t *cli)
{
	ks_snapshot_t *snapshot;
	uint64_t version;
	int code;

	if (!parse_version(cli->args[0], &version))
		return KS_EXIT_USAGE;
	code = ks_cli_fetch(cli, version, &snapshot);
	if (code != KS_EXIT_DONE)
		return code;
	ks_cli_print_json(
		json_loadb(snapshot->body, snapshot->body_len, 0, NULL));
	ks_snapshot_unref(snapshot);
	return KS_EXIT_DONE;
}

/**
 * ks_cli_release_diff() - show what changed between two versions
 */
int ks_cli_release_diff(ks_cli_t *cli)
{
	ks_snapshot_t *from = NULL, *to = NULL;
	uint64_t first, second;
	char *difference;
	int code;

	if (!parse_version(cli->args[0], &first) ||
	    !parse_version(cli->args[1], &second))
		return KS_EXIT_USAGE;
	code = ks_cli_fetch(cli, first, &from);
	if (code == KS_EXIT_DONE)
		code = ks_cli_fetch(cli, second, &to);
	if (code == KS_EXIT_DONE) {
		difference = ks_snapshot_diff(from, to);
		if (cli->json)
			ks_cli_print_json(
				json_pack("{s:s}", "difference", difference));
		else
			fputs(difference, stdout);
		g_free(difference);
	}
	ks_snapshot_unref(from);
	ks_snapshot_unref(to);
	return code;
}
