/* Properties of the prefix belief and of the choice of subsets. */
#include "ks/request.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace
{

const int64_t SEC = KS_USEC_PER_SEC;
const int64_t HALF_LIFE = 60 * SEC;

struct Belief {
	ks_prefix_index_t *ptr;

	explicit Belief(size_t blocks)
	    : ptr(ks_prefix_index_new(blocks, HALF_LIFE))
	{
	}
	~Belief()
	{
		ks_prefix_index_free(ptr);
	}
	uint32_t tokens(const std::vector<uint64_t> &hashes, int64_t now)
	{
		return ks_prefix_index_tokens(ptr, hashes.data(), hashes.size(),
					      now);
	}
	void add(const std::vector<uint64_t> &hashes, int64_t now)
	{
		ks_prefix_index_add(ptr, hashes.data(), hashes.size(), now);
	}
};

/* Spread like real hashes, so that no set of the table fills up early. */
std::vector<uint64_t> make_hashes(size_t count, uint64_t seed)
{
	std::vector<uint64_t> hashes;

	for (size_t i = 0; i < count; i++)
		hashes.push_back((seed * 1000003 + i + 1) *
				 UINT64_C(0x9E3779B97F4A7C15));
	return hashes;
}

/* Guards against a belief that is not used, or that lasts forever. */
bool check_decay()
{
	return rc::check("belief halves with each half-life", [] {
		auto count = *rc::gen::inRange<size_t>(1, 20);
		auto halves = *rc::gen::inRange(0, 8);
		auto hashes = make_hashes(count, 1);
		Belief belief(4096);
		double expected = (double)count * KS_PREFIX_BLOCK_TOKENS;

		belief.add(hashes, 1000 * SEC);
		for (int i = 0; i < halves; i++)
			expected /= 2;
		if (halves > 4)
			expected = 0;
		RC_ASSERT(std::abs(belief.tokens(hashes,
						 1000 * SEC +
							 halves * HALF_LIFE) -
				   expected) < 1 + expected * 0.02);
	});
}

/* Guards against blocks after a missing one being counted as of use. */
bool check_gap_ends_prefix()
{
	return rc::check("a missing block ends the prefix", [] {
		auto count = *rc::gen::inRange<size_t>(1, 20);
		auto gap = *rc::gen::inRange<size_t>(0, count);
		auto hashes = make_hashes(count, 2);
		Belief belief(4096);

		belief.add(hashes, 0);
		ks_prefix_index_evict(belief.ptr, hashes[gap]);
		RC_ASSERT(belief.tokens(hashes, 0) ==
			  gap * KS_PREFIX_BLOCK_TOKENS);
	});
}

/* Guards against a belief that the engine's own count does not correct. */
bool check_correction()
{
	return rc::check("the cached count corrects the belief", [] {
		auto count = *rc::gen::inRange<size_t>(1, 20);
		auto cached = *rc::gen::inRange<size_t>(0, count + 3);
		auto believed = *rc::gen::arbitrary<bool>();
		auto hashes = make_hashes(count, 3);
		size_t known = std::min(cached, count);
		Belief belief(4096);

		if (believed)
			belief.add(hashes, 0);
		ks_prefix_index_correct(belief.ptr, hashes.data(), count,
					cached, SEC);
		RC_ASSERT(belief.tokens(hashes, SEC) >=
			  known * KS_PREFIX_BLOCK_TOKENS);
		RC_ASSERT(belief.tokens(hashes, SEC) <=
			  known * KS_PREFIX_BLOCK_TOKENS +
				  (count - known) * KS_PREFIX_BLOCK_TOKENS / 2);
	});
}

/*
 * Guards against events that arrive late, twice, out of order or not at all
 * leading to growth, or to more tokens than the prompt has.
 */
bool check_events_in_any_order()
{
	return rc::check("events in any order keep the belief bounded", [] {
		auto steps = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 100000));
		Belief belief(16);
		int64_t now = 100 * SEC;

		for (int step : steps) {
			auto hashes = make_hashes(step % 9, step % 40);
			int64_t when = now - step % 7 * SEC;

			now += step;
			if (step % 3 == 0)
				belief.add(hashes, when);
			else if (step % 3 == 1 && !hashes.empty())
				ks_prefix_index_evict(belief.ptr,
						      hashes.back());
			else
				ks_prefix_index_correct(
					belief.ptr, hashes.data(),
					hashes.size(), step % 11, when);
			RC_ASSERT(belief.tokens(hashes, now) <=
				  hashes.size() * KS_PREFIX_BLOCK_TOKENS);
		}
		size_t known = 0;
		for (uint64_t seed = 0; seed < 40; seed++)
			for (uint64_t hash : make_hashes(9, seed))
				known += belief.tokens({ hash }, now) > 0;
		RC_ASSERT(known <= 16u);
	});
}

struct Fleet {
	std::vector<std::string> ids, domains;

	std::vector<std::string> choose(const std::string &entry, size_t wanted)
	{
		std::vector<ks_str_t> upstreams, zones;
		std::vector<size_t> chosen(wanted + 1);
		std::vector<std::string> names;

		for (size_t i = 0; i < ids.size(); i++) {
			upstreams.push_back({ ids[i].data(), ids[i].size() });
			zones.push_back(
				{ domains[i].data(), domains[i].size() });
		}
		chosen.resize(ks_subset_choose(
			{ entry.data(), entry.size() }, upstreams.data(),
			zones.data(), ids.size(), wanted, chosen.data()));
		for (size_t index : chosen)
			names.push_back(ids[index]);
		return names;
	}
};

Fleet draw_fleet(int max)
{
	Fleet fleet;
	auto count = *rc::gen::inRange(1, max);
	auto n_domains = *rc::gen::inRange(1, 8);

	for (int i = 0; i < count; i++) {
		fleet.ids.push_back("u" + std::to_string(i));
		/* Domains of different sizes. */
		fleet.domains.push_back("d" +
					std::to_string(i * i % 11 % n_domains));
	}
	return fleet;
}

/* Guards against a subset in one failure domain, or with repeats. */
bool check_subset_spread()
{
	return rc::check("a subset spans the failure domains", [] {
		Fleet fleet = draw_fleet(80);
		auto wanted = *rc::gen::inRange<size_t>(1, 40);
		auto chosen = fleet.choose("entry", wanted);
		std::map<std::string, std::string> domain_of;
		std::set<std::string> all, covered, unique;

		for (size_t i = 0; i < fleet.ids.size(); i++) {
			domain_of[fleet.ids[i]] = fleet.domains[i];
			all.insert(fleet.domains[i]);
		}
		for (const auto &id : chosen) {
			covered.insert(domain_of[id]);
			unique.insert(id);
		}
		RC_ASSERT(chosen.size() == std::min(wanted, fleet.ids.size()));
		RC_ASSERT(unique.size() == chosen.size());
		RC_ASSERT(covered.size() ==
			  std::min(all.size(), chosen.size()));
	});
}

/* Guards against links that are all replaced when one host comes or goes. */
bool check_subset_stable()
{
	return rc::check("a host that goes changes few choices", [] {
		Fleet fleet = draw_fleet(80);
		auto wanted = *rc::gen::inRange<size_t>(1, 40);
		auto gone = *rc::gen::inRange<size_t>(0, fleet.ids.size());
		auto before = fleet.choose("entry", wanted);
		std::string name = fleet.ids[gone];

		fleet.ids.erase(fleet.ids.begin() + gone);
		fleet.domains.erase(fleet.domains.begin() + gone);
		auto after = fleet.choose("entry", wanted);
		size_t lost = 0;
		for (const auto &id : before)
			lost += id != name &&
				std::find(after.begin(), after.end(), id) ==
					after.end();
		/* Its domain's share may shrink by one, or the domain vanish.
		 */
		RC_ASSERT(lost <= 2u);
	});
}

/* Guards against a choice that depends on the order of the list. */
bool check_subset_order()
{
	return rc::check("the order of the list does not matter", [] {
		Fleet fleet = draw_fleet(40);
		auto wanted = *rc::gen::inRange<size_t>(1, 40);
		auto first = fleet.choose("entry", wanted);

		std::reverse(fleet.ids.begin(), fleet.ids.end());
		std::reverse(fleet.domains.begin(), fleet.domains.end());
		auto second = fleet.choose("entry", wanted);
		std::sort(first.begin(), first.end());
		std::sort(second.begin(), second.end());
		RC_ASSERT(first == second);
	});
}

/* Guards against upstreams that few entries, or no entry, would use. */
bool check_subset_balance()
{
	return rc::check("entries spread evenly over upstreams", [](int salt) {
		const int n_entries = 100, n_upstreams = 60;
		std::map<std::string, int> users;
		Fleet fleet;

		for (int i = 0; i < n_upstreams; i++) {
			fleet.ids.push_back("u" + std::to_string(salt) + "-" +
					    std::to_string(i));
			fleet.domains.push_back("d" + std::to_string(i % 4));
			users[fleet.ids.back()] = 0;
		}
		for (int i = 0; i < n_entries; i++)
			for (const auto &id :
			     fleet.choose("e" + std::to_string(i), 12))
				users[id]++;
		/* The mean is 20 with a deviation of 4. */
		for (const auto &user : users) {
			RC_ASSERT(user.second >= 3);
			RC_ASSERT(user.second <= 45);
		}
	});
}

} // namespace

int main()
{
	bool ok = check_decay();

	ok = check_gap_ends_prefix() && ok;
	ok = check_correction() && ok;
	ok = check_events_in_any_order() && ok;
	ok = check_subset_spread() && ok;
	ok = check_subset_stable() && ok;
	ok = check_subset_order() && ok;
	ok = check_subset_balance() && ok;
	return ok ? 0 : 1;
}
