/* Reads a question about where a request would be sent, and responds to it. */
#include "gateway_internal.h"

#include <jansson.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_METHOD_NOT_ALLOWED 405

#define MAX_METHOD_LENGTH 32

static bool is_graphic(const char *value)
{
	for (const char *at = value; *at; at++)
		if (!g_ascii_isgraph(*at))
			return false;
	return *value != '\0';
}

static bool is_method(const char *value)
{
	size_t len = strlen(value);

	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isupper(value[i]))
			return false;
	return len && len <= MAX_METHOD_LENGTH;
}

static bool is_deadline(const char *value)
{
	int64_t ms;

	return ks_str_parse_int(ks_str_from(value), 0, G_MAXINT32, &ms);
}

static bool is_host(const char *value)
{
	return is_graphic(value) && !strpbrk(value, "/?#@");
}

static bool is_path(const char *value)
{
	return *value == '/' && is_graphic(value);
}

static bool is_prompt(const char *value)
{
	ks_prompt_t prompt;

	return ks_prompt_parse(&prompt, ks_str_from(value));
}

static const struct {
	const char *name;
	bool required;
	bool (*check)(const char *value);
	const char *error;
} parameters[] = {
	{ "method", true, is_method, "method: expected upper-case letters" },
	{ "host", true, is_host, "host: expected a host name" },
	{ "path", true, is_path, "path: expected a path that begins with /" },
	{ "prompt", false, is_prompt, "prompt: expected ID:TOKENS,..." },
	{ "deadline-ms", false, is_deadline,
	  "deadline-ms: expected a number of milliseconds" },
};

/* Returns what is wrong with the parameters, NULL if nothing is. */
static const char *check_parameters(GHashTable *values)
{
	guint n_known = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(parameters); i++) {
		const char *value =
			g_hash_table_lookup(values, parameters[i].name);

		n_known += value != NULL;
		if (value ? !parameters[i].check(value)
			  : parameters[i].required)
			return parameters[i].error;
	}
	/* Its name is not repeated, as it may be a misplaced key. */
	return n_known < g_hash_table_size(values) ? "unknown parameter" : NULL;
}

static void respond(ks_http1_request_t *request, int status, json_t *body)
{
	ks_header_t type = { KS_STR("content-type"),
			     KS_STR("application/json") };
	char *encoded = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	ks_http1_start(request, status, &type, 1, (int64_t)strlen(encoded));
	ks_http1_body(request, ks_str_from(encoded));
	ks_http1_end(request);
	free(encoded);
}

static void respond_error(ks_http1_request_t *request, int status,
			  const char *error)
{
	respond(request, status, json_pack("{s:s}", "error", error));
}

/**
 * gateway_explain() - respond with where a request would be sent now
 * @request: describes the other one in the query of its target, and has its key
 *
 * Sends nothing to upstreams, and changes no state of the gateway.
 */
void gateway_explain(const ks_gateway_t *gateway, ks_http1_request_t *request)
{
	size_t path_len = gateway_path_of(request->target).len;
	ks_str_t target = request->target;
	size_t skip = MIN(path_len + 1, target.len);
	GHashTable *values;
	struct gateway_question question;
	const char *error;

	if (!ks_str_equal(request->method, KS_STR("GET"))) {
		respond_error(request, STATUS_METHOD_NOT_ALLOWED,
			      "expected the method GET");
		return;
	}
	values = g_uri_parse_params(target.data + skip,
				    (gssize)(target.len - skip), "&",
				    G_URI_PARAMS_NONE, NULL);
	error = values ? check_parameters(values) : "malformed query";
	if (error) {
		respond_error(request, STATUS_BAD_REQUEST, error);
	} else {
		question.host = g_hash_table_lookup(values, "host");
		question.path = g_hash_table_lookup(values, "path");
		question.parts = g_hash_table_lookup(values, "prompt");
		question.deadline_ms =
			g_hash_table_lookup(values, "deadline-ms");
		respond(request, STATUS_OK,
			gateway_explanation(gateway, request, &question));
	}
	if (values)
		g_hash_table_destroy(values);
}
