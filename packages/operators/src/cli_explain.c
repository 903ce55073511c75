/* The command that asks an entry where a request would be sent, and why. */
#include "cli.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define FETCH_TIMEOUT_US (3 * KS_USEC_PER_SEC)
#define HTTP_BAD_REQUEST 400
#define MAX_ANSWER_BYTES ((size_t)16 * 1024 * 1024)

/**
 * struct answer - response of an entry
 * @status: HTTP status, 0 if there was no complete response
 * @root: parsed body, NULL if it is no JSON object
 */
struct answer {
	bool done;
	int status;
	json_t *root;
};

static void on_answer(void *ctx, const ks_http_response_t *response)
{
	struct answer *answer = ctx;

	answer->done = true;
	if (response->result != KS_HTTP_COMPLETE)
		return;
	answer->status = response->status;
	answer->root =
		json_loadb(response->body.data, response->body.len, 0, NULL);
	if (!json_is_object(answer->root)) {
		json_decref(answer->root);
		answer->root = NULL;
	}
}

static void add_parameter(GString *target, const char *name, const char *value)
{
	g_string_append_printf(target, "&%s=", name);
	g_string_append_uri_escaped(target, value, NULL, FALSE);
}

static char *target_of(const ks_cli_t *cli)
{
	GString *target = g_string_new("/explain?method=");

	g_string_append_uri_escaped(target, cli->method, NULL, FALSE);
	add_parameter(target, "host", cli->host);
	add_parameter(target, "path", cli->path);
	if (cli->prompt)
		add_parameter(target, "prompt", cli->prompt);
	if (cli->deadline_ms >= 0)
		g_string_append_printf(target, "&deadline-ms=%" PRId64,
				       cli->deadline_ms);
	return g_string_free(target, FALSE);
}

static void ask(ks_cli_t *cli, struct answer *answer)
{
	char *target = target_of(cli);
	char *credentials =
		cli->key
			? g_strdup_printf("%.*s %s",
					  (int)cli->names->key_scheme.len,
					  cli->names->key_scheme.data, cli->key)
			: NULL;
	ks_header_t header = { cli->names->authorization,
			       ks_str_from(credentials ? credentials : "") };
	ks_http_request_t request = {
		.address = cli->entries[0],
		.method = KS_STR("GET"),
		.target = ks_str_from(target),
		.headers = &header,
		.n_headers = credentials ? 1 : 0,
		.timeout_us = FETCH_TIMEOUT_US,
	};

	ks_http_fetch(&cli->client, &request, MAX_ANSWER_BYTES, on_answer,
		      answer);
	ks_cli_wait(cli, &answer->done);
	g_free(credentials);
	g_free(target);
}

static const char *get_text(const json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return value ? value : "-";
}

static json_int_t get_integer(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static double get_number(const json_t *object, const char *name)
{
	return json_number_value(json_object_get(object, name));
}

static void add_route(GString *out, const json_t *root)
{
	const json_t *route = json_object_get(root, "route");

	if (!json_is_object(route)) {
		g_string_append(out, "route         -\n");
		return;
	}
	g_string_append_printf(
		out, "route         %s (%s%s, %s%s)\n", get_text(route, "name"),
		get_text(route, "host"), get_text(route, "prefix"),
		get_text(route, "kind"),
		json_is_true(json_object_get(route, "public")) ? ", public"
							       : "");
	g_string_append_printf(out,
			       "key           %s\norganisation  %s\n"
			       "priority      %" JSON_INTEGER_FORMAT "\n",
			       get_text(root, "key"),
			       get_text(root, "organisation"),
			       get_integer(root, "priority"));
}

static void add_service(GString *out, const json_t *root)
{
	const json_t *splits = json_object_get(root, "splits");

	if (!splits)
		return;
	g_string_append_printf(out, "service       %s",
			       get_text(root, "service"));
	for (size_t i = 0; i < json_array_size(splits); i++) {
		const json_t *split = json_array_get(splits, i);

		g_string_append_printf(
			out, "%s%s %" JSON_INTEGER_FORMAT,
			i ? ", " : " (weights: ", get_text(split, "service"),
			get_integer(split, "weight"));
	}
	g_string_append(out, json_array_size(splits) ? ")\n" : "\n");
}

static void add_upstream(GString *out, const json_t *upstream)
{
	const json_t *expected = json_object_get(upstream, "expected_ms");
	const char *chosen_to =
		json_string_value(json_object_get(upstream, "chosen_to"));
	char time[32] = "-";

	if (json_is_number(expected))
		g_snprintf(time, sizeof(time), "%.1f",
			   json_number_value(expected));
	g_string_append_printf(
		out,
		"%-20s %-10s %-8s %5.2f %7" JSON_INTEGER_FORMAT
		" %8" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT
		" %11s %9.1f  %s%s\n",
		get_text(upstream, "id"), get_text(upstream, "domain"),
		get_text(upstream, "stage"), get_number(upstream, "speed"),
		get_integer(upstream, "running") +
			get_integer(upstream, "peer_running"),
		get_integer(upstream, "pending_tokens") +
			get_integer(upstream, "peer_pending_tokens"),
		get_integer(upstream, "cached_tokens"), time,
		get_number(upstream, "cost"), chosen_to ? "chosen to " : "",
		chosen_to ? chosen_to : get_text(upstream, "passed_over"));
}

static void add_upstreams(GString *out, const json_t *root)
{
	const json_t *upstreams = json_object_get(root, "upstreams");

	if (!upstreams)
		return;
	g_string_append_printf(
		out,
		"cost in       %s\n\n%-20s %-10s %-8s %5s %7s %8s %7s "
		"%11s %9s  %s\n",
		get_text(root, "cost_unit"), "UPSTREAM", "DOMAIN", "STAGE",
		"SPEED", "RUNNING", "PENDING", "CACHED", "EXPECTED_MS", "COST",
		"REASON");
	for (size_t i = 0; i < json_array_size(upstreams); i++)
		add_upstream(out, json_array_get(upstreams, i));
	g_string_append_c(out, '\n');
}

static void add_result(GString *out, const json_t *root)
{
	const json_t *result = json_object_get(root, "result");
	const json_t *choice = json_object_get(root, "choice");
	const char *why = json_string_value(json_object_get(result, "why"));

	if (!json_is_true(json_object_get(result, "sent"))) {
		g_string_append_printf(out,
				       "result        refused with status "
				       "%" JSON_INTEGER_FORMAT ": %s\n",
				       get_integer(result, "status"),
				       why ? why : "-");
		return;
	}
	g_string_append_printf(out,
			       "choice        run %s, prefill %s, fetch from "
			       "%s\nresult        would be sent%s%s\n",
			       get_text(choice, "run"),
			       get_text(choice, "prefill"),
			       get_text(choice, "fetch_from"), why ? "; " : "",
			       why ? why : "");
}

/**
 * ks_cli_format_explanation() - format the response of an entry for people
 *
 * What the response lacks is shown as a hyphen.
 */
void ks_cli_format_explanation(GString *out, const json_t *root)
{
	g_string_append_printf(
		out,
		"configuration version %" JSON_INTEGER_FORMAT
		", confirmed %.0f ms ago%s\n",
		get_integer(root, "version"), get_number(root, "config_age_ms"),
		json_is_true(json_object_get(root, "config_is_current"))
			? ""
			: ", not known to be current");
	add_route(out, root);
	add_service(out, root);
	add_upstreams(out, root);
	add_result(out, root);
	g_string_append_printf(out,
			       "random choices use the fixed draw "
			       "%" JSON_INTEGER_FORMAT "\n",
			       get_integer(root, "draw"));
}

static int check_options(const ks_cli_t *cli)
{
	if (cli->n_entries != 1)
		return ks_cli_error(KS_EXIT_USAGE,
				    "explain requires one --entry");
	if (!cli->method || !cli->host || !cli->path)
		return ks_cli_error(
			KS_EXIT_USAGE,
			"explain requires --method, --host and --path");
	if (cli->key && !*cli->key)
		return ks_cli_error(KS_EXIT_USAGE, "the key file is empty");
	return KS_EXIT_DONE;
}

static int print_answer(const ks_cli_t *cli, const struct answer *answer)
{
	const char *error =
		json_string_value(json_object_get(answer->root, "error"));
	GString *out;

	if (!answer->status)
		return ks_cli_error(KS_EXIT_FAILED,
				    "the entry did not respond");
	if (error && answer->status == HTTP_BAD_REQUEST)
		return ks_cli_error(KS_EXIT_USAGE, "%s", error);
	if (!json_is_object(json_object_get(answer->root, "result")))
		return ks_cli_error(KS_EXIT_FAILED,
				    "the entry gave no explanation, HTTP "
				    "status %d",
				    answer->status);
	if (cli->json) {
		ks_cli_print_json(json_incref(answer->root));
		return KS_EXIT_DONE;
	}
	out = g_string_new(NULL);
	ks_cli_format_explanation(out, answer->root);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	return KS_EXIT_DONE;
}

/**
 * ks_cli_explain() - ask an entry where a request would be sent, and why
 *
 * Return: KS_EXIT_DONE also if the request would be refused.
 */
int ks_cli_explain(ks_cli_t *cli)
{
	struct answer answer = { 0 };
	int code = check_options(cli);

	if (code != KS_EXIT_DONE)
		return code;
	ask(cli, &answer);
	code = print_answer(cli, &answer);
	json_decref(answer.root);
	return code;
}
