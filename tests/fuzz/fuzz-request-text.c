/*
 * Fuzzes the gateway's parsers of prompts, which callers send, and of
 * server-sent events, which upstreams send.
 */
#include "fuzz.h"
#include "ks/gateway.h"

#include <string.h>

static void feed_in_two(ks_str_t text, size_t cut)
{
	GString *once = g_string_new(NULL), *twice = g_string_new(NULL);
	ks_events_t a, b;

	ks_events_init(&a);
	ks_events_init(&b);
	ks_events_feed(&a, text, once);
	ks_events_feed(&b, (ks_str_t){ text.data, cut }, twice);
	ks_events_feed(&b, (ks_str_t){ text.data + cut, text.len - cut },
		       twice);
	/* The result must not depend on where the input is split. */
	g_assert(g_string_equal(once, twice));
	g_assert(g_string_equal(a.partial, b.partial));
	g_assert(g_string_equal(a.last_id, b.last_id));
	g_assert(once->len + a.partial->len == text.len);
	ks_events_deinit(&a);
	ks_events_deinit(&b);
	g_string_free(once, TRUE);
	g_string_free(twice, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ks_str_t text = { (const char *)data, size };
	ks_prompt_t prompt;

	if (ks_prompt_parse(&prompt, text)) {
		int64_t sum = 0;

		g_assert(prompt.n_parts >= 1);
		for (size_t i = 0; i < prompt.n_parts; i++)
			sum += prompt.tokens[i];
		g_assert(prompt.total_tokens >= sum);
	}
	if (size && !memchr(data, '\0', size))
		feed_in_two(text, data[0] % size);
	return 0;
}
