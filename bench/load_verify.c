/*
 * Verification of responses. The tokens of the stand-in engine are a function
 * of the prompt, so a response that is truncated or belongs to another prompt
 * is detected.
 */
#include "engine_token.h"
#include "load.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/**
 * load_expected_text() - append the stand-in engine's answer to a prompt
 * @tokens: number of tokens
 */
void load_expected_text(GString *out, ks_str_t prompt, unsigned tokens)
{
	uint64_t hash = XXH64(prompt.data, prompt.len, 0);

	for (unsigned i = 0; i < tokens; i++)
		g_string_append_printf(out, "t%u ", engine_token(hash, i));
}

/**
 * load_verdict_name() - name of a verdict in the key log
 */
const char *load_verdict_name(load_verdict_t verdict)
{
	static const char *const names[LOAD_N_VERDICTS] = { "whole", "refused",
							    "unknown", "failed",
							    "wrong" };

	return names[verdict];
}

/**
 * load_stream_init() - initialise the parser of a stream
 */
void load_stream_init(load_stream_t *stream)
{
	memset(stream, 0, sizeof(*stream));
	stream->line = g_string_new(NULL);
	stream->text = g_string_new(NULL);
}

/**
 * load_stream_deinit() - free the buffers of a stream
 */
void load_stream_deinit(load_stream_t *stream)
{
	g_string_free(stream->line, TRUE);
	g_string_free(stream->text, TRUE);
}

static void parse_choice(load_stream_t *stream, const json_t *choice)
{
	const json_t *delta = json_object_get(choice, "delta");
	const char *reason =
		json_string_value(json_object_get(choice, "finish_reason"));
	const char *text =
		json_string_value(delta ? json_object_get(delta, "content")
					: json_object_get(choice, "text"));

	if (text)
		g_string_append(stream->text, text);
	if (reason)
		g_strlcpy(stream->finish_reason, reason,
			  sizeof(stream->finish_reason));
}

static void parse_event(load_stream_t *stream, const char *data, size_t len)
{
	json_t *event = json_loadb(data, len, 0, NULL);
	const json_t *usage = json_object_get(event, "usage");

	if (!event)
		stream->malformed = true;
	if (json_object_get(event, "error"))
		stream->failed = true;
	parse_choice(stream,
		     json_array_get(json_object_get(event, "choices"), 0));
	if (json_is_object(usage)) {
		stream->has_usage = true;
		stream->completion_tokens = json_integer_value(
			json_object_get(usage, "completion_tokens"));
	}
	json_decref(event);
}

static void parse_line(load_stream_t *stream)
{
	const char *line = stream->line->str;
	size_t len = stream->line->len;

	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len < 5 || strncmp(line, "data:", 5) != 0)
		return;
	line += 5;
	len -= 5;
	while (len > 0 && *line == ' ') {
		line++;
		len--;
	}
	if (stream->done)
		stream->malformed = true;
	else if (len == 6 && !strncmp(line, "[DONE]", 6))
		stream->done = true;
	else
		parse_event(stream, line, len);
}

/**
 * load_stream_feed() - parse the next bytes of a stream
 */
void load_stream_feed(load_stream_t *stream, ks_str_t data)
{
	for (size_t i = 0; i < data.len; i++) {
		if (data.data[i] != '\n') {
			g_string_append_c(stream->line, data.data[i]);
			continue;
		}
		parse_line(stream);
		g_string_truncate(stream->line, 0);
	}
}

static bool has_expected_text(const load_stream_t *stream, ks_str_t prompt)
{
	GString *expected = g_string_new(NULL);
	bool same;

	load_expected_text(expected, prompt,
			   (unsigned)stream->completion_tokens);
	same = g_string_equal(expected, stream->text);
	g_string_free(expected, TRUE);
	return same;
}

/**
 * load_verify_completion() - verify a stream whose HTTP response is complete
 * @max_tokens: value in the request
 * @reason: set to the fault for LOAD_WRONG, to NULL otherwise
 *
 * Return: LOAD_WHOLE, LOAD_FAILED if the stream ended with an error event, or
 * LOAD_WRONG.
 */
load_verdict_t load_verify_completion(const load_stream_t *stream,
				      ks_str_t prompt, unsigned max_tokens,
				      const char **reason)
{
	bool full = stream->completion_tokens == max_tokens;

	*reason = NULL;
	if (stream->failed && !stream->done)
		return LOAD_FAILED;
	if (stream->failed)
		*reason = "an error event and [DONE] in one stream";
	else if (stream->malformed)
		*reason = "an event is malformed or follows [DONE]";
	else if (!stream->done)
		*reason = "the stream ended without [DONE]";
	else if (!stream->has_usage)
		*reason = "usage is missing";
	else if (stream->completion_tokens < 1 ||
		 stream->completion_tokens > max_tokens)
		*reason = "the token count in usage is out of range";
	else if (strcmp(stream->finish_reason, "stop") != 0 &&
		 (strcmp(stream->finish_reason, "length") != 0 || !full))
		*reason = "the finish reason is missing or contradicts usage";
	else if (!has_expected_text(stream, prompt))
		*reason = "the tokens do not match the prompt";
	return *reason ? LOAD_WRONG : LOAD_WHOLE;
}

/**
 * load_verify_error() - verdict on a response with an error status
 */
load_verdict_t load_verify_error(int status, ks_str_t body)
{
	load_verdict_t verdict = LOAD_FAILED;
	json_t *root = json_loadb(body.len ? body.data : "", body.len, 0, NULL);
	const json_t *error = json_object_get(root, "error");
	const char *code = json_string_value(json_object_get(error, "code"));
	ks_error_kind_t kind =
		code ? ks_error_kind_from_code(code) : KS_ERROR_NONE;

	if (json_is_true(json_object_get(error, "not_run")))
		verdict = LOAD_REFUSED;
	else if (kind == KS_ERROR_OUTCOME_UNKNOWN ||
		 kind == KS_ERROR_IN_PROGRESS || status == 504)
		verdict = LOAD_UNKNOWN;
	json_decref(root);
	return verdict;
}

/**
 * load_verify_executions() - whether a call ran no more than once
 * @body: response body of a service that counts executions
 *
 * Return: false if the body is JSON and reports more than one execution.
 */
bool load_verify_executions(ks_str_t body)
{
	json_t *root = json_loadb(body.len ? body.data : "", body.len, 0, NULL);
	bool once =
		json_integer_value(json_object_get(root, "executions")) <= 1;

	json_decref(root);
	return once;
}

/**
 * load_verify_id() - whether a response belongs to a request
 * @member: JSON member that holds the ID of the request
 * @value: ID in the request
 *
 * Return: false if the body is JSON and holds another ID.
 */
bool load_verify_id(ks_str_t body, const char *member, const char *value)
{
	json_t *root = json_loadb(body.len ? body.data : "", body.len, 0, NULL);
	const char *found = json_string_value(json_object_get(root, member));
	bool same = !found || !strcmp(found, value);

	json_decref(root);
	return same;
}
