/* Property tests of the choice of engines for a split completion. */
#include "ks/request.h"

#include <rapidcheck.h>
#include <vector>

namespace
{

const double BLOCK_US = 16000;

/*
 * Draws from the whole range in every case. By default RapidCheck starts with
 * small values, and small prompts are never split.
 */
uint32_t draw(uint32_t min, uint32_t max)
{
	return *rc::gen::resize(rc::kNominalSize,
				rc::gen::inRange<uint32_t>(min, max));
}

ks_split_engine_t draw_engine()
{
	ks_split_engine_t engine = {};
	ks_candidate_t *candidate = &engine.candidate;
	int role = draw(0, 3);

	candidate->id = ks_str_from("u");
	candidate->limit = 16;
	candidate->in_flight = draw(0, 18);
	candidate->prompt_tokens = draw(0, 20000);
	candidate->cached_tokens =
		*rc::gen::element<uint32_t>(0, 0, 0, 0, 0, 2000, 8000);
	candidate->one_way_delay_us = draw(0, 2000);
	candidate->excluded = draw(0, 8) == 0;
	candidate->same_domain_failed = draw(0, 10) == 0;
	candidate->prefill_us_per_token = role == 2 ? 80 : 20;
	candidate->decode_us_per_token = role == 1 ? 20000 : 10000;
	engine.is_prefill = role == 1;
	engine.is_decode = role == 2;
	return engine;
}

std::vector<ks_split_engine_t> draw_engines()
{
	std::vector<ks_split_engine_t> engines;
	int n = draw(0, 10);

	for (int i = 0; i < n; i++)
		engines.push_back(draw_engine());
	return engines;
}

ks_route_request_t draw_request()
{
	ks_route_request_t request = {};

	request.prompt_tokens = draw(0, 60000);
	request.output_tokens = draw(1, 500);
	request.time_left_us = 60000000;
	return request;
}

ks_split_choice_t choose(const ks_route_request_t &request,
			 const std::vector<ks_split_engine_t> &engines,
			 double block_us)
{
	return ks_split_choose(&request, engines.data(), engines.size(),
			       block_us);
}

bool is_available(const ks_candidate_t &c)
{
	return !c.excluded && !c.same_domain_failed && c.in_flight < c.limit;
}

double prefill(const ks_candidate_t &c, double tokens)
{
	return 2.0 * (double)c.one_way_delay_us +
	       ((double)c.prompt_tokens + tokens) * c.prefill_us_per_token;
}

double uncached(const ks_route_request_t &request, const ks_candidate_t &c)
{
	return request.prompt_tokens -
	       std::min(c.cached_tokens, request.prompt_tokens);
}

/*
 * Guards against a prefill or decode on an engine that is at its limit, already
 * tried or of another role.
 */
bool check_engines()
{
	return rc::check("both steps use available engines of the role", [] {
		auto engines = draw_engines();
		auto choice = choose(draw_request(), engines, BLOCK_US);

		RC_ASSERT((choice.prefill < 0) == (choice.decode < 0));
		RC_CLASSIFY(choice.prefill >= 0, "split");
		if (choice.prefill < 0)
			return;
		RC_ASSERT(engines.at(choice.prefill).is_prefill);
		RC_ASSERT(engines.at(choice.decode).is_decode);
		RC_ASSERT(is_available(engines.at(choice.prefill).candidate));
		RC_ASSERT(is_available(engines.at(choice.decode).candidate));
	});
}

/* Guards against a split that is slower than an available single engine. */
bool check_saving()
{
	return rc::check("a split saves more time than the transfer takes", [] {
		auto engines = draw_engines();
		auto request = draw_request();
		auto choice = choose(request, engines, BLOCK_US);
		double transfer, split;

		if (choice.prefill < 0)
			return;
		const auto &first = engines.at(choice.prefill).candidate;
		const auto &second = engines.at(choice.decode).candidate;
		transfer = request.prompt_tokens / KS_PREFIX_BLOCK_TOKENS *
			   BLOCK_US;
		split = prefill(first, uncached(request, first)) + transfer +
			prefill(second, request.prompt_tokens %
						KS_PREFIX_BLOCK_TOKENS) +
			request.output_tokens * second.decode_us_per_token;
		for (const auto &engine : engines) {
			const auto &c = engine.candidate;

			if (!is_available(c) || engine.is_prefill)
				continue;
			RC_ASSERT(split <
				  prefill(c, uncached(request, c)) +
					  request.output_tokens *
						  c.decode_us_per_token);
		}
	});
}

/* Guards against a split that is chosen because the transfer is slower. */
bool check_slow_transfer()
{
	return rc::check("a slower transfer never causes a split", [] {
		auto engines = draw_engines();
		auto request = draw_request();
		double block_us = draw(0, 100000);

		if (choose(request, engines, block_us).prefill < 0)
			RC_ASSERT(choose(request, engines, block_us * 2 + 1)
					  .prefill < 0);
	});
}

/* Guards against a transfer of cached blocks, and splits of short prompts. */
bool check_cached()
{
	return rc::check("cached and short prompts are not split", [] {
		auto engines = draw_engines();
		auto request = draw_request();
		auto cached = draw_engine();

		cached.candidate.excluded = false;
		cached.candidate.same_domain_failed = false;
		cached.candidate.in_flight = 0;
		cached.candidate.cached_tokens = request.prompt_tokens;
		engines.push_back(cached);
		RC_ASSERT(choose(request, engines, BLOCK_US).prefill < 0);
		engines.pop_back();
		request.prompt_tokens %= KS_PREFIX_BLOCK_TOKENS;
		RC_ASSERT(choose(request, engines, 0).prefill < 0);
	});
}

/* Guards against engines with a role that never get a split completion. */
bool check_long_prompt()
{
	return rc::check("a long prompt is split between idle engines", [] {
		std::vector<ks_split_engine_t> engines(2);
		ks_route_request_t request = {};

		for (auto &engine : engines) {
			engine.candidate.limit = 16;
			engine.candidate.prefill_us_per_token = 20;
			engine.candidate.decode_us_per_token = 10000;
		}
		engines[0].is_prefill = true;
		engines[1].is_decode = true;
		engines[1].candidate.prefill_us_per_token = 80;
		request.prompt_tokens = draw(8000, 40000);
		request.output_tokens = 100;
		RC_ASSERT(choose(request, engines, BLOCK_US).prefill == 0);
		RC_ASSERT(choose(request, engines, 200000).prefill == -1);
	});
}
} // namespace

int main()
{
	bool ok = check_engines();

	ok = check_saving() && ok;
	ok = check_slow_transfer() && ok;
	ok = check_cached() && ok;
	ok = check_long_prompt() && ok;
	return ok ? 0 : 1;
}
