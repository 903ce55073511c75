/* Fuzzes the parsing of completion requests in their text and chat forms. */
#include "fuzz.h"
#include "ks/request.h"

static void try_form(ks_str_t body, bool chat)
{
	ks_completion_t completion;
	GError *error = NULL;

	if (ks_completion_parse(&completion, body, chat, &error)) {
		g_assert(completion.model && *completion.model);
		g_assert(completion.max_tokens && completion.n_choices);
		g_assert((size_t)completion.prefix_hashes->len *
				 KS_PREFIX_BLOCK_TOKENS <=
			 completion.prompt_tokens);
		ks_completion_deinit(&completion);
	} else {
		g_assert(ks_error_kind(error) == KS_ERROR_BAD_REQUEST);
		g_assert(g_utf8_validate(error->message, -1, NULL));
		g_error_free(error);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	try_form(fuzz_str(data, size), false);
	try_form(fuzz_str(data, size), true);
	return 0;
}
