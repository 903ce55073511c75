/* Parses completion requests in the text and chat forms of the OpenAI API. */
#include "engine.h"

#include <xxhash.h>

#define DEFAULT_MAX_TOKENS 16
#define MAX_TOKENS 1000000

/* Appends a string, or the "text" members of a list of content parts. */
static void append_part(GString *text, json_t *value)
{
	json_t *part;
	size_t i;

	if (json_is_string(value))
		g_string_append_len(text, json_string_value(value),
				    (gssize)json_string_length(value));
	json_array_foreach(value, i, part)
		append_part(text, json_object_get(part, "text"));
}

/*
 * Appends the prompt to @text. The prompt of a chat has two lines per message,
 * the role and the content. Returns false if there is no prompt.
 */
static bool read_prompt(json_t *root, bool chat, GString *text)
{
	json_t *messages = json_object_get(root, "messages");
	json_t *message;
	size_t i;

	if (!chat) {
		append_part(text, json_object_get(root, "prompt"));
		return json_is_string(json_object_get(root, "prompt"));
	}
	json_array_foreach(messages, i, message)
	{
		append_part(text, json_object_get(message, "role"));
		g_string_append_c(text, '\n');
		append_part(text, json_object_get(message, "content"));
		g_string_append_c(text, '\n');
	}
	return json_is_array(messages) && json_array_size(messages) > 0;
}

/* Returns 0 if the header is missing or not an integer in range. */
static unsigned read_header(h2o_req_t *req, const char *name)
{
	int64_t value = 0;

	ks_str_parse_int(ks_http_req_header(req, name), 0, MAX_TOKENS, &value);
	return (unsigned)value;
}

static bool read_max_tokens(json_t *root, unsigned *out)
{
	json_t *value = json_object_get(root, "max_tokens");

	if (!value)
		value = json_object_get(root, "max_completion_tokens");
	*out = DEFAULT_MAX_TOKENS;
	if (!value)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > MAX_TOKENS)
		return false;
	*out = (unsigned)json_integer_value(value);
	return true;
}

static struct engine_sequence *read_sequence(struct fake_engine *engine,
					     h2o_req_t *req, json_t *root,
					     bool chat, ks_str_t prompt)
{
	struct engine_sequence *seq = g_new0(struct engine_sequence, 1);

	seq->engine = engine;
	seq->chat = chat;
	seq->id = engine->next_id++;
	seq->stream = json_is_true(json_object_get(root, "stream"));
	seq->model_json =
		json_dumps(json_object_get(root, "model"), JSON_ENCODE_ANY);
	seq->priority = read_header(req, "x-priority");
	seq->resume_from = read_header(req, "x-ks-resume-from");
	seq->prefill_only = read_header(req, "x-ks-prefill-only") == 1;
	seq->prompt_hash = XXH64(prompt.data, prompt.len, 0);
	seq->prompt_tokens = (unsigned)((prompt.len + BYTES_PER_TOKEN - 1) /
					BYTES_PER_TOKEN);
	seq->prompt_tokens = MAX(seq->prompt_tokens, 1);
	seq->hashes = engine_cache_hashes(prompt);
	seq->text = g_string_new(NULL);
	read_max_tokens(root, &seq->max_tokens);
	return seq;
}

/* Returns an error message, or NULL if the engine can run the sequence. */
static const char *check_size(const struct engine_sequence *seq)
{
	unsigned long tokens =
		(unsigned long)seq->prompt_tokens + seq->max_tokens;

	if (tokens >
	    (unsigned long)seq->engine->options.kv_blocks * BLOCK_TOKENS)
		return "prompt and max_tokens exceed the KV cache capacity";
	if (seq->resume_from > seq->max_tokens)
		return "x-ks-resume-from is greater than max_tokens";
	return NULL;
}

/**
 * engine_sequence_parse() - parse a completion request
 * @chat: the request has the chat form
 * @problem: set to an error message if the request is invalid, else to NULL
 *
 * Return: the sequence, or NULL if the request is invalid.
 */
struct engine_sequence *engine_sequence_parse(struct fake_engine *engine,
					      h2o_req_t *req, bool chat,
					      const char **problem)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	GString *text = g_string_new(NULL);
	struct engine_sequence *seq = NULL;
	unsigned max_tokens;

	*problem = NULL;
	if (!json_is_object(root))
		*problem = "the request body is not a JSON object";
	else if (!json_is_string(json_object_get(root, "model")))
		*problem = "model must be a string";
	else if (!read_prompt(root, chat, text))
		*problem = "prompt or messages is missing or invalid";
	else if (!read_max_tokens(root, &max_tokens))
		*problem = "max_tokens must be an integer from 1 to 1000000";
	if (!*problem) {
		ks_str_t prompt = { text->str, text->len };

		seq = read_sequence(engine, req, root, chat, prompt);
		*problem = check_size(seq);
	}
	if (seq && *problem) {
		engine_sequence_free(seq);
		seq = NULL;
	}
	g_string_free(text, TRUE);
	json_decref(root);
	return seq;
}

/**
 * engine_sequence_free() - free a sequence that is not in a list of the batch
 */
void engine_sequence_free(struct engine_sequence *seq)
{
	g_array_free(seq->hashes, TRUE);
	g_string_free(seq->text, TRUE);
	free(seq->model_json); /* allocated by jansson with malloc() */
	g_free(seq);
}
