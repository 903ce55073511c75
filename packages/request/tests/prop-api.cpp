/* Property tests of the parsing of completion requests. */
#include "ks/request.h"

#include <rapidcheck.h>

static std::vector<uint64_t> hashes_of(const std::string &prompt)
{
	std::string body = "{\"model\":\"m\",\"prompt\":\"" + prompt + "\"}";
	ks_completion_t completion;
	std::vector<uint64_t> hashes;

	if (!ks_completion_parse(&completion, { body.data(), body.size() },
				 false, nullptr))
		return hashes;
	for (unsigned i = 0; i < completion.prefix_hashes->len; i++)
		hashes.push_back(
			g_array_index(completion.prefix_hashes, uint64_t, i));
	ks_completion_deinit(&completion);
	return hashes;
}

/* Guards against prefix hashes that do not reflect the shared prefix. */
static bool check_prefix()
{
	return rc::check("hashes match exactly for shared full blocks", [] {
		const size_t block = KS_PREFIX_BLOCK_TOKENS * 4;
		const auto shared = *rc::gen::inRange<size_t>(0, 4 * block);
		const auto rest = *rc::gen::inRange<size_t>(1, 4 * block);
		std::string common(shared, 'a');
		auto a = hashes_of(common + std::string(rest, 'b'));
		auto b = hashes_of(common + std::string(rest, 'c'));

		RC_ASSERT(a.size() == (shared + rest) / block);
		RC_ASSERT(a.size() == b.size());
		for (size_t i = 0; i < a.size(); i++)
			RC_ASSERT((a[i] == b[i]) == (i < shared / block));
	});
}

/* Guards against a parser that reads past the end of a body or leaks. */
static bool check_arbitrary_input()
{
	return rc::check("any bytes are parsed or rejected", [] {
		const auto tail = *rc::gen::string<std::string>();
		std::string body =
			"{\"model\":\"m\",\"messages\":[{\"role\":\"" + tail;
		ks_completion_t completion;
		GError *error = nullptr;
		bool ok = ks_completion_parse(&completion,
					      { body.data(), body.size() },
					      true, &error);

		RC_ASSERT(ok == (error == nullptr));
		g_clear_error(&error);
		ks_completion_deinit(&completion);
	});
}

int main()
{
	return check_prefix() && check_arbitrary_input() ? 0 : 1;
}
