/* Property tests of routing by expected finish time. */
#include "ks/request.h"

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

namespace
{

ks_candidate_t make_candidate()
{
	ks_candidate_t candidate = {};

	candidate.id = ks_str_from("u");
	candidate.limit = 16;
	candidate.prefill_us_per_token = 100;
	candidate.decode_us_per_token = 30000;
	return candidate;
}

ks_candidate_t draw_candidate()
{
	ks_candidate_t candidate = make_candidate();

	candidate.one_way_delay_us = *rc::gen::inRange<int64_t>(0, 2000);
	candidate.in_flight = *rc::gen::inRange<uint32_t>(0, 32);
	candidate.prompt_tokens = *rc::gen::inRange<uint64_t>(0, 100000);
	candidate.output_tokens =
		candidate.in_flight * *rc::gen::inRange<uint64_t>(0, 500);
	candidate.cached_tokens = *rc::gen::inRange<uint32_t>(0, 20000);
	candidate.excluded = *rc::gen::inRange(0, 3) == 0;
	candidate.same_domain_failed = *rc::gen::inRange(0, 3) == 0;
	return candidate;
}

ks_route_request_t draw_request()
{
	ks_route_request_t request = {};

	request.prompt_tokens = *rc::gen::inRange<uint32_t>(0, 30000);
	request.output_tokens = *rc::gen::inRange<uint32_t>(0, 500);
	request.time_left_us = *rc::gen::inRange<int64_t>(0, 60000000);
	return request;
}

/* Preference group of a candidate: 0 is the best, 3 must not be used. */
int group_of(const ks_candidate_t &candidate)
{
	if (candidate.excluded)
		return 3;
	if (candidate.in_flight >= candidate.limit)
		return 2;
	return candidate.same_domain_failed ? 1 : 0;
}

/* Guards against using excluded upstreams or skipping better ones. */
bool check_groups()
{
	return rc::check("the best group of candidates is used", [] {
		auto count = *rc::gen::inRange<size_t>(0, 12);
		std::vector<ks_candidate_t> candidates;
		ks_route_request_t request = draw_request();
		int best = 3;
		ks_rng_t rng;

		for (size_t i = 0; i < count; i++) {
			candidates.push_back(draw_candidate());
			best = std::min(best, group_of(candidates.back()));
		}
		ks_rng_init(&rng, *rc::gen::arbitrary<uint32_t>());
		ks_route_choice_t choice = ks_route_choose(
			&request, candidates.data(), count, &rng);
		ks_rng_deinit(&rng);
		RC_ASSERT((choice.index < 0) == (best == 3));
		if (best < 3) {
			RC_ASSERT(choice.index < (int)count);
			RC_ASSERT(group_of(candidates[choice.index]) == best);
			RC_ASSERT(choice.finish_us >= 0);
		}
	});
}

/*
 * Guards against a popular prefix that overloads one upstream, and against a
 * cached prefix that is not used.
 */
bool check_cached_prefix()
{
	return rc::check("a cached prefix is used if the queue is short", [] {
		auto cached = *rc::gen::inRange<uint32_t>(2000, 50000);
		auto queued = *rc::gen::inRange<uint32_t>(0, 100000);
		std::vector<ks_candidate_t> candidates(5, make_candidate());
		ks_route_request_t request = { 50000, 100, 600000000 };
		ks_rng_t rng;

		candidates[2].cached_tokens = cached;
		candidates[2].prompt_tokens = queued;
		ks_rng_init(&rng, 1);
		int chosen =
			ks_route_choose(&request, candidates.data(), 5, &rng)
				.index;
		ks_rng_deinit(&rng);
		/* Between these bounds the upstreams count as equal. */
		if (queued > cached + 50000 / 4)
			RC_ASSERT(chosen != 2);
		if (queued + 50000 / 4 < cached)
			RC_ASSERT(chosen == 2);
	});
}

/*
 * Guards against all entries choosing the same upstream when they have the same
 * load data.
 */
bool check_spread()
{
	return rc::check(
		"entries with equal load data spread their requests",
		[](uint32_t seed) {
			const int n_entries = 100, n_upstreams = 20;
			std::vector<ks_candidate_t> candidates(
				n_upstreams, make_candidate());
			std::vector<int> chosen(n_upstreams, 0);
			ks_route_request_t request = { 1000, 100, 600000000 };

			for (int i = 0; i < n_upstreams; i++)
				candidates[i].prompt_tokens = 2000 + i * 10;
			for (int entry = 0; entry < n_entries; entry++) {
				ks_rng_t rng;

				ks_rng_init(&rng, seed + entry);
				chosen[ks_route_choose(&request,
						       candidates.data(),
						       n_upstreams, &rng)
					       .index]++;
				ks_rng_deinit(&rng);
			}
			/*
			 * The mean is 5; about 10 are expected for the
			 * best upstream.
			 */
			RC_ASSERT(*std::max_element(chosen.begin(),
						    chosen.end()) <= 25);
		});
}

/* Guards against choosing an upstream that would miss the deadline. */
bool check_deadline()
{
	return rc::check(
		"an upstream that meets the deadline is preferred", [] {
			auto far_us = *rc::gen::inRange<int64_t>(0, 1000);
			std::vector<ks_candidate_t> candidates(
				2, make_candidate());
			ks_route_request_t request = { 100, 10, 320000 };
			ks_rng_t rng;

			candidates[0].one_way_delay_us = far_us;
			/* Late, at 330 ms, but its cost counts as equal. */
			candidates[1].prompt_tokens = 200;
			ks_rng_init(&rng, 3);
			for (int i = 0; i < 20; i++)
				RC_ASSERT(ks_route_choose(&request,
							  candidates.data(), 2,
							  &rng)
						  .index == 0);
			ks_rng_deinit(&rng);
		});
}

/* Guards against unbalanced load on plain services, which have no tokens. */
bool check_plain_services()
{
	return rc::check("plain services are balanced by requests", [] {
		auto busy = *rc::gen::inRange<uint32_t>(8, 15);
		std::vector<ks_candidate_t> candidates(2, make_candidate());
		ks_route_request_t request = { 0, 0, 1000000 };
		ks_rng_t rng;

		candidates[0].in_flight = busy;
		ks_rng_init(&rng, 3);
		RC_ASSERT(ks_route_choose(&request, candidates.data(), 2, &rng)
				  .index == 1);
		ks_rng_deinit(&rng);
	});
}

} // namespace

int main()
{
	bool ok = check_groups();

	ok = check_cached_prefix() && ok;
	ok = check_spread() && ok;
	ok = check_deadline() && ok;
	ok = check_plain_services() && ok;
	return ok ? 0 : 1;
}
