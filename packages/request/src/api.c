/* Parsing of OpenAI-compatible completion requests, as far as routing needs. */
#include "ks/request.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

/* Text has about four bytes per token on average. */
#define BYTES_PER_TOKEN 4
#define BLOCK_BYTES ((size_t)KS_PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN)
/* Value of max_tokens if the request does not set it. */
#define DEFAULT_MAX_TOKENS 1024
#define MAX_MAX_TOKENS 1000000
#define MAX_CHOICES 128

static bool bad_request(GError **error, const char *message)
{
	ks_error_set(error, KS_ERROR_BAD_REQUEST, "%s", message);
	return false;
}

static void append_content(GString *prompt, const json_t *content)
{
	size_t i;
	json_t *part;

	if (json_is_string(content)) {
		g_string_append_len(prompt, json_string_value(content),
				    (gssize)json_string_length(content));
		return;
	}
	json_array_foreach(content, i, part)
	{
		const json_t *text = json_object_get(part, "text");

		if (json_is_string(text))
			append_content(prompt, text);
	}
}

static bool read_messages(GString *prompt, const json_t *root, GError **error)
{
	const json_t *messages = json_object_get(root, "messages");
	size_t i;
	json_t *message;

	if (!json_array_size(messages))
		return bad_request(error,
				   "'messages' is not a list with elements");
	json_array_foreach(messages, i, message)
	{
		const char *role =
			json_string_value(json_object_get(message, "role"));

		if (!role)
			return bad_request(error, "a message has no 'role'");
		g_string_append(prompt, role);
		g_string_append_c(prompt, '\n');
		append_content(prompt, json_object_get(message, "content"));
		g_string_append_c(prompt, '\n');
	}
	return true;
}

/* Appends as many bytes as a token of text has on average. */
static void append_token(GString *prompt, json_int_t token)
{
	uint32_t value = (uint32_t)token;

	G_STATIC_ASSERT(sizeof(value) == BYTES_PER_TOKEN);
	g_string_append_len(prompt, (const char *)&value, sizeof(value));
}

/* A prompt is a string, a list of strings, or a list of token ids. */
static bool read_prompt(GString *prompt, const json_t *root, GError **error)
{
	const json_t *value = json_object_get(root, "prompt");
	size_t i;
	json_t *part;

	if (json_is_string(value)) {
		append_content(prompt, value);
		return true;
	}
	if (!json_is_array(value))
		return bad_request(error,
				   "'prompt' is neither text nor a list");
	json_array_foreach(value, i, part)
	{
		if (json_is_string(part))
			append_content(prompt, part);
		else if (json_is_integer(part))
			append_token(prompt, json_integer_value(part));
		else
			return bad_request(error,
					   "'prompt' holds neither texts nor "
					   "tokens");
	}
	return true;
}

static bool read_positive_int(const json_t *root, const char *name,
			      uint32_t fallback, uint32_t max, uint32_t *count,
			      GError **error)
{
	const json_t *value = json_object_get(root, name);

	*count = fallback;
	if (!value || json_is_null(value))
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > max) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "'%s' is not a whole number from 1 to %u", name,
			     max);
		return false;
	}
	*count = (uint32_t)json_integer_value(value);
	return true;
}

static bool read_max_tokens(ks_completion_t *completion, const json_t *root,
			    GError **error)
{
	const char *name = "max_completion_tokens";

	if (!json_object_get(root, name))
		name = "max_tokens";
	return read_positive_int(root, name, DEFAULT_MAX_TOKENS, MAX_MAX_TOKENS,
				 &completion->max_tokens, error);
}

/*
 * Hashes each full block of the prompt. The seed is the hash of the block
 * before it, so a hash also covers all previous blocks and the model name.
 */
static void hash_blocks(ks_completion_t *completion, const GString *prompt)
{
	uint64_t hash = XXH64(completion->model, strlen(completion->model), 0);
	size_t n_blocks = prompt->len / BLOCK_BYTES;

	completion->prompt_tokens =
		(uint32_t)((prompt->len + BYTES_PER_TOKEN - 1) /
			   BYTES_PER_TOKEN);
	completion->prefix_hashes = g_array_sized_new(
		FALSE, FALSE, sizeof(uint64_t), (unsigned)n_blocks);
	for (size_t i = 0; i < n_blocks; i++) {
		hash = XXH64(prompt->str + i * BLOCK_BYTES, BLOCK_BYTES, hash);
		g_array_append_val(completion->prefix_hashes, hash);
	}
}

static bool read_body(ks_completion_t *completion, const json_t *root,
		      GString *prompt, GError **error)
{
	const json_t *model = json_object_get(root, "model");
	const json_t *stream = json_object_get(root, "stream");

	if (!json_is_object(root))
		return bad_request(error, "the body is not a JSON object");
	if (!json_is_string(model) || !json_string_length(model))
		return bad_request(error, "'model' is missing");
	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return bad_request(error, "'stream' is neither true nor false");
	if (!read_max_tokens(completion, root, error) ||
	    !read_positive_int(root, "n", 1, MAX_CHOICES,
			       &completion->n_choices, error))
		return false;
	if (!(completion->chat ? read_messages(prompt, root, error)
			       : read_prompt(prompt, root, error)))
		return false;
	completion->stream = json_is_true(stream);
	completion->has_seed = json_object_get(root, "seed") != NULL;
	completion->model = g_strdup(json_string_value(model));
	hash_blocks(completion, prompt);
	return true;
}

/**
 * ks_completion_parse() - parse the body of a completion request
 * @completion: set on success, to be freed with ks_completion_deinit(); zeroed
 *	on failure
 * @body: JSON text
 * @chat: the body has "messages" instead of "prompt"
 *
 * Return: false, with KS_ERROR_BAD_REQUEST, if the body is malformed.
 */
bool ks_completion_parse(ks_completion_t *completion, ks_str_t body, bool chat,
			 GError **error)
{
	json_error_t cause;
	json_t *root = json_loadb(body.data ? body.data : "", body.len,
				  JSON_REJECT_DUPLICATES, &cause);
	GString *prompt;
	bool ok;

	memset(completion, 0, sizeof(*completion));
	if (!root) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "the body is not valid JSON: line %d: %s",
			     cause.line, cause.text);
		return false;
	}
	completion->chat = chat;
	prompt = g_string_new(NULL);
	ok = read_body(completion, root, prompt, error);
	g_string_free(prompt, TRUE);
	json_decref(root);
	if (!ok)
		memset(completion, 0, sizeof(*completion));
	return ok;
}

/**
 * ks_completion_deinit() - free the contents of a parsed request
 */
void ks_completion_deinit(ks_completion_t *completion)
{
	g_free(completion->model);
	if (completion->prefix_hashes)
		g_array_unref(completion->prefix_hashes);
	memset(completion, 0, sizeof(*completion));
}
