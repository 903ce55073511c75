/* Parses the list of parts that a prompt consists of. */
#include "ks/gateway.h"

#include <string.h>
#include <xxhash.h>

/* Keeps the sum of tokens far below overflow. */
#define MAX_PART_TOKENS (INT64_C(1) << 32)

static ks_str_t next_entry(ks_str_t *text)
{
	const char *comma = memchr(text->data, ',', text->len);
	ks_str_t entry = *text;

	if (comma)
		entry.len = (size_t)(comma - text->data);
	text->data += entry.len;
	text->len -= entry.len;
	if (text->len) {
		text->data++;
		text->len--;
	}
	return entry;
}

/**
 * ks_prompt_parse() - parse "ID:TOKENS,ID:TOKENS,..."
 *
 * The cached data of a part depends on all parts before it, so each stored id
 * is a hash of the part and its predecessors. Parts beyond KS_PROMPT_MAX_PARTS
 * only count towards @total_tokens.
 *
 * Return: false if the text is empty or malformed.
 */
bool ks_prompt_parse(ks_prompt_t *prompt, ks_str_t text)
{
	uint64_t chain = 0;
	size_t n_all = 0;

	memset(prompt, 0, sizeof(*prompt));
	while (text.len) {
		ks_str_t entry = next_entry(&text);
		const char *colon =
			entry.len ? memchr(entry.data, ':', entry.len) : NULL;
		ks_str_t tokens;
		int64_t n;

		if (!colon)
			return false;
		tokens.data = colon + 1;
		tokens.len = entry.len - (size_t)(tokens.data - entry.data);
		if (!ks_str_parse_int(tokens, 0, MAX_PART_TOKENS, &n))
			return false;
		chain = XXH64(entry.data, (size_t)(colon - entry.data), chain);
		prompt->total_tokens += n;
		n_all++;
		if (prompt->n_parts == KS_PROMPT_MAX_PARTS)
			continue;
		prompt->ids[prompt->n_parts] = chain;
		prompt->tokens[prompt->n_parts] = n;
		prompt->shared[prompt->n_parts] =
			XXH64(entry.data, (size_t)(colon - entry.data), 0);
		prompt->n_parts++;
	}
	if (n_all)
		prompt->n_shared = (unsigned)MIN(n_all - 1, prompt->n_parts);
	return prompt->n_parts > 0;
}

/**
 * ks_prompt_shared_id() - id of the longest prefix that other requests can
 * share
 *
 * The last part is specific to the request or its session.
 */
uint64_t ks_prompt_shared_id(const ks_prompt_t *prompt)
{
	return prompt->ids[prompt->n_parts > 1 ? prompt->n_parts - 2 : 0];
}

/**
 * ks_prompt_set_service() - tell the parts of one service from those of others
 */
void ks_prompt_set_service(ks_prompt_t *prompt, const char *service)
{
	uint64_t seed = XXH64(service, strlen(service), 0);

	for (unsigned i = 0; i < prompt->n_shared; i++)
		prompt->shared[i] = XXH64(&prompt->shared[i],
					  sizeof(prompt->shared[i]), seed);
}
