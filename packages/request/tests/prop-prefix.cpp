/* Property tests of the prefix index and of subsetting. */
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

struct PrefixIndex {
	ks_prefix_index_t *ptr;

	explicit PrefixIndex(size_t blocks)
	    : ptr(ks_prefix_index_new(blocks, HALF_LIFE))
	{
	}
	~PrefixIndex()
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

/* Evenly distributed like real hashes, so that no set overflows early. */
std::vector<uint64_t> make_hashes(size_t count, uint64_t seed)
{
	std::vector<uint64_t> hashes;

	for (size_t i = 0; i < count; i++)
		hashes.push_back((seed * 1000003 + i + 1) *
				 UINT64_C(0x9E3779B97F4A7C15));
	return hashes;
}

/* Guards against confidence that is ignored or that does not decay. */
bool check_decay()
{
	return rc::check("confidence halves with each half-life", [] {
		auto count = *rc::gen::inRange<size_t>(1, 20);
		auto half_lives = *rc::gen::inRange(0, 8);
		auto hashes = make_hashes(count, 1);
		PrefixIndex index(4096);
		double expected = (double)count * KS_PREFIX_BLOCK_TOKENS;

		index.add(hashes, 1000 * SEC);
		for (int i = 0; i < half_lives; i++)
			expected /= 2;
		if (half_lives > 4)
			expected = 0;
		RC_ASSERT(
			std::abs(index.tokens(hashes,
					      1000 * SEC +
						      half_lives * HALF_LIFE) -
				 expected) < 1 + expected * 0.02);
	});
}

/* Guards against counting cached blocks that follow a missing one. */
bool check_missing_block()
{
	return rc::check("a missing block ends the prefix", [] {
		auto count = *rc::gen::inRange<size_t>(1, 20);
		auto gap = *rc::gen::inRange<size_t>(0, count);
		auto hashes = make_hashes(count, 2);
		PrefixIndex index(4096);

		index.add(hashes, 0);
		ks_prefix_index_evict(index.ptr, hashes[gap]);
		RC_ASSERT(index.tokens(hashes, 0) ==
			  gap * KS_PREFIX_BLOCK_TOKENS);
	});
}

/* Guards against ignoring the cached token count reported by the engine. */
bool check_correction()
{
	return rc::check("the reported cached count corrects the index", [] {
		auto count = *rc::gen::inRange<size_t>(1, 20);
		auto cached = *rc::gen::inRange<size_t>(0, count + 3);
		auto was_added = *rc::gen::arbitrary<bool>();
		auto hashes = make_hashes(count, 3);
		size_t known = std::min(cached, count);
		PrefixIndex index(4096);

		if (was_added)
			index.add(hashes, 0);
		ks_prefix_index_correct(index.ptr, hashes.data(), count, cached,
					SEC);
		RC_ASSERT(index.tokens(hashes, SEC) >=
			  known * KS_PREFIX_BLOCK_TOKENS);
		RC_ASSERT(index.tokens(hashes, SEC) <=
			  known * KS_PREFIX_BLOCK_TOKENS +
				  (count - known) * KS_PREFIX_BLOCK_TOKENS / 2);
	});
}

/*
 * Guards against cache events that are late, duplicate, out of order or lost
 * making the index exceed its size or count more tokens than the prompt has.
 */
bool check_event_order()
{
	return rc::check("events in any order keep the index bounded", [] {
		auto steps = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 100000));
		PrefixIndex index(16);
		int64_t now = 100 * SEC;

		for (int step : steps) {
			auto hashes = make_hashes(step % 9, step % 40);
			int64_t when = now - step % 7 * SEC;

			now += step;
			if (step % 3 == 0)
				index.add(hashes, when);
			else if (step % 3 == 1 && !hashes.empty())
				ks_prefix_index_evict(index.ptr, hashes.back());
			else
				ks_prefix_index_correct(
					index.ptr, hashes.data(), hashes.size(),
					step % 11, when);
			RC_ASSERT(index.tokens(hashes, now) <=
				  hashes.size() * KS_PREFIX_BLOCK_TOKENS);
		}
		size_t known = 0;
		for (uint64_t seed = 0; seed < 40; seed++)
			for (uint64_t hash : make_hashes(9, seed))
				known += index.tokens({ hash }, now) > 0;
		RC_ASSERT(known <= 16u);
	});
}

struct UpstreamList {
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

UpstreamList draw_list(int max)
{
	UpstreamList list;
	auto count = *rc::gen::inRange(1, max);
	auto n_domains = *rc::gen::inRange(1, 8);

	for (int i = 0; i < count; i++) {
		list.ids.push_back("u" + std::to_string(i));
		/* The domains have different sizes. */
		list.domains.push_back("d" +
				       std::to_string(i * i % 11 % n_domains));
	}
	return list;
}

/* Guards against a subset that misses failure domains or has duplicates. */
bool check_subset_spread()
{
	return rc::check("a subset spans the failure domains", [] {
		UpstreamList list = draw_list(80);
		auto wanted = *rc::gen::inRange<size_t>(1, 40);
		auto chosen = list.choose("entry", wanted);
		std::map<std::string, std::string> domain_of;
		std::set<std::string> all, covered, unique;

		for (size_t i = 0; i < list.ids.size(); i++) {
			domain_of[list.ids[i]] = list.domains[i];
			all.insert(list.domains[i]);
		}
		for (const auto &id : chosen) {
			covered.insert(domain_of[id]);
			unique.insert(id);
		}
		RC_ASSERT(chosen.size() == std::min(wanted, list.ids.size()));
		RC_ASSERT(unique.size() == chosen.size());
		RC_ASSERT(covered.size() ==
			  std::min(all.size(), chosen.size()));
	});
}

/*
 * Guards against replacing most connections of an entry when one upstream is
 * added or removed.
 */
bool check_subset_stable()
{
	return rc::check("removing an upstream changes few choices", [] {
		UpstreamList list = draw_list(80);
		auto wanted = *rc::gen::inRange<size_t>(1, 40);
		auto gone = *rc::gen::inRange<size_t>(0, list.ids.size());
		auto before = list.choose("entry", wanted);
		std::string name = list.ids[gone];

		list.ids.erase(list.ids.begin() + gone);
		list.domains.erase(list.domains.begin() + gone);
		auto after = list.choose("entry", wanted);
		size_t lost = 0;
		for (const auto &id : before)
			lost += id != name &&
				std::find(after.begin(), after.end(), id) ==
					after.end();
		/* The share of its domain may shrink by one, or to none. */
		RC_ASSERT(lost <= 2u);
	});
}

/* Guards against a subset that depends on the order of the list. */
bool check_subset_order()
{
	return rc::check("the subset is independent of list order", [] {
		UpstreamList list = draw_list(40);
		auto wanted = *rc::gen::inRange<size_t>(1, 40);
		auto first = list.choose("entry", wanted);

		std::reverse(list.ids.begin(), list.ids.end());
		std::reverse(list.domains.begin(), list.domains.end());
		auto second = list.choose("entry", wanted);
		std::sort(first.begin(), first.end());
		std::sort(second.begin(), second.end());
		RC_ASSERT(first == second);
	});
}

/* Guards against upstreams that are used by few entries or by none. */
bool check_subset_balance()
{
	return rc::check("entries spread evenly over upstreams", [](int salt) {
		const int n_entries = 100, n_upstreams = 60;
		std::map<std::string, int> users;
		UpstreamList list;

		for (int i = 0; i < n_upstreams; i++) {
			list.ids.push_back("u" + std::to_string(salt) + "-" +
					   std::to_string(i));
			list.domains.push_back("d" + std::to_string(i % 4));
			users[list.ids.back()] = 0;
		}
		for (int i = 0; i < n_entries; i++)
			for (const auto &id :
			     list.choose("e" + std::to_string(i), 12))
				users[id]++;
		/* The mean is 20, the standard deviation 4. */
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

	ok = check_missing_block() && ok;
	ok = check_correction() && ok;
	ok = check_event_order() && ok;
	ok = check_subset_spread() && ok;
	ok = check_subset_stable() && ok;
	ok = check_subset_order() && ok;
	ok = check_subset_balance() && ok;
	return ok ? 0 : 1;
}
