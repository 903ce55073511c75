/*
 * Property tests of the shares of a stated limit, in virtual time: entries
 * whose callers come and go, and that hear of the limit and of each other late.
 */
#include "ks/gateway.h"

#include <rapidcheck.h>
#include <algorithm>
#include <deque>
#include <map>
#include <vector>

static const int64_t ms = KS_USEC_PER_MSEC;
static const int64_t step_us = 10 * ms;
static const int64_t known_us = 3000 * ms;
static const int64_t window_us = 4000 * ms;
static const int64_t passed_on_us = 500 * ms;
static const int64_t update_us = 500 * ms;
static const int64_t max_transit_us = 100 * ms;
static const int64_t max_answer_us = 300 * ms;
static const int64_t end_us = 20000 * ms;

struct entry {
	ks_stated_limit_t limit;
	double load_per_s;
	double due;
	double seen_per_s;
	/* Demand as told last, and what is known of the others. */
	double told_per_s;
	std::map<size_t, double> others;
	int64_t next_update_us;
	int64_t told_us;
};

struct message {
	int64_t due_us;
	size_t from;
	size_t to;
	double demand_per_s;
	/* 0 if the sender has not heard of the limit itself. */
	double per_s;
	int64_t heard_us;
};

struct answer {
	int64_t due_us;
	size_t to;
};

struct sim {
	std::vector<entry> entries;
	std::deque<message> messages;
	std::deque<answer> answers;
	std::vector<int64_t> arrivals;
	double per_s;
	int64_t stated_us;
	int64_t now_us;
};

static void update_share(sim &s, size_t i)
{
	entry &e = s.entries[i];
	std::vector<ks_limit_claim_t> claims;

	claims.push_back({ i + 1, e.told_per_s });
	for (size_t j = 0; j < s.entries.size(); j++)
		if (j != i)
			claims.push_back({ j + 1, e.others.count(j)
							  ? e.others[j]
							  : -1 });
	ks_stated_limit_set_share(&e.limit,
				  ks_stated_limit_share(e.limit.per_s,
							claims.data(),
							claims.size()),
				  s.now_us);
}

static void tell(sim &s, size_t i)
{
	entry &e = s.entries[i];

	e.told_per_s = e.seen_per_s;
	update_share(s, i);
	e.next_update_us = s.now_us + update_us;
	for (size_t j = 0; j < s.entries.size(); j++) {
		message m = {};

		if (j == i)
			continue;
		m.due_us = s.now_us + (int64_t)((i * 7 + j * 13) % 10) *
					      max_transit_us / 10;
		m.from = i;
		m.to = j;
		m.demand_per_s = e.told_per_s;
		m.per_s = e.limit.is_own ? e.limit.per_s : 0;
		m.heard_us = e.limit.heard_us;
		s.messages.push_back(m);
	}
}

static void hear(sim &s, size_t i, double per_s, int64_t heard_us, bool is_own)
{
	entry &e = s.entries[i];
	bool is_new = !ks_stated_limit_is_in_force(&e.limit, s.now_us);

	ks_stated_limit_set(&e.limit, per_s, heard_us, is_own, s.now_us);
	if (is_own && !e.told_us)
		e.told_us = s.now_us;
	if (is_new)
		tell(s, i);
}

static void deliver(sim &s)
{
	for (size_t n = s.messages.size(); n-- > 0;) {
		message m = s.messages.front();

		s.messages.pop_front();
		if (m.due_us > s.now_us) {
			s.messages.push_back(m);
			continue;
		}
		s.entries[m.to].others[m.from] = m.demand_per_s;
		if (m.per_s > 0)
			hear(s, m.to, m.per_s, m.heard_us, false);
	}
	for (size_t n = s.answers.size(); n-- > 0;) {
		answer a = s.answers.front();

		s.answers.pop_front();
		if (a.due_us > s.now_us)
			s.answers.push_back(a);
		else
			hear(s, a.to, s.per_s, s.now_us, true);
	}
}

/* The entries would send all requests to the upstream if they could. */
static void send(sim &s, size_t i, uint32_t draw)
{
	entry &e = s.entries[i];

	e.seen_per_s += (e.load_per_s - e.seen_per_s) * step_us / (1000 * ms);
	for (e.due += e.load_per_s * step_us / KS_USEC_PER_SEC; e.due >= 1;
	     e.due--) {
		if (!ks_stated_limit_permits(&e.limit, s.now_us))
			continue;
		ks_stated_limit_take(&e.limit, s.now_us);
		if (e.told_us && s.now_us >= e.told_us + passed_on_us)
			s.arrivals.push_back(s.now_us);
		if (s.now_us >= s.stated_us)
			s.answers.push_back({ s.now_us + (int64_t)(draw % 30) *
								 max_answer_us /
								 30,
					      i });
	}
}

static size_t most_in_window(const sim &s)
{
	size_t most = 0;

	for (size_t i = 0; i < s.arrivals.size(); i++) {
		auto from = s.arrivals.begin() + (long)i;

		if (*from < s.stated_us + known_us)
			continue;
		most = std::max(
			most, (size_t)(std::lower_bound(from, s.arrivals.end(),
							*from + window_us) -
				       from));
	}
	return most;
}

static void play(sim &s, const std::vector<uint32_t> &draws)
{
	size_t at = 0;

	for (s.now_us = step_us; s.now_us < end_us; s.now_us += step_us) {
		uint32_t draw = draws[at++ % draws.size()];

		deliver(s);
		/* The load of an entry changes every 0.7 s on average. */
		if (draw % 70 == 0)
			s.entries[draw / 70 % s.entries.size()].load_per_s =
				draw / 7000 % 3 ? draw / 21000 % 60 : 0;
		for (size_t i = 0; i < s.entries.size(); i++) {
			send(s, i, draw + (uint32_t)i * 17);
			if (ks_stated_limit_is_in_force(&s.entries[i].limit,
							s.now_us) &&
			    s.now_us >= s.entries[i].next_update_us)
				tell(s, i);
		}
	}
}

static sim make_sim(size_t n, double per_s)
{
	sim s = {};

	s.entries.resize(n);
	s.per_s = per_s;
	s.stated_us = 2000 * ms;
	return s;
}

static bool check_limit_is_kept()
{
	return rc::check("entries together keep to a stated limit", [] {
		size_t n = *rc::gen::inRange<size_t>(1, 60);
		double per_s = *rc::gen::inRange(1, 300) / 10.0;
		auto draws = *rc::gen::container<std::vector<uint32_t>>(
			997, rc::gen::arbitrary<uint32_t>());
		sim s = make_sim(n, per_s);

		for (size_t i = 0; i < n; i++)
			s.entries[i].load_per_s = draws[i] % 40;
		play(s, draws);
		RC_ASSERT((double)most_in_window(s) <= 1.5 * per_s * 4 + 5);
	});
}

/* Under steady load that exceeds it, the limit is used. */
static bool check_limit_is_used()
{
	return rc::check("entries together use a stated limit", [] {
		size_t n = *rc::gen::inRange<size_t>(1, 60);
		double per_s = *rc::gen::inRange(5, 300) / 10.0;
		std::vector<uint32_t> draws(1, 1);
		sim s = make_sim(n, per_s);
		size_t used;

		for (size_t i = 0; i < n; i++)
			s.entries[i].load_per_s = 40.0 + (double)i;
		play(s, draws);
		used = (size_t)(s.arrivals.end() -
				std::lower_bound(s.arrivals.begin(),
						 s.arrivals.end(), end_us / 2));
		RC_ASSERT((double)used >= 0.8 * per_s * 10 - 1);
	});
}

static bool check_shares_add_up()
{
	return rc::check("shares of a limit add up to one", [] {
		size_t n = *rc::gen::inRange<size_t>(1, 100);
		double per_s = *rc::gen::inRange(1, 1000) / 10.0, sum = 0;
		auto demands = *rc::gen::container<std::vector<int>>(
			n, rc::gen::inRange(0, 1000));

		for (size_t i = 0; i < n; i++) {
			std::vector<ks_limit_claim_t> claims;

			for (size_t j = 0; j < n; j++)
				claims.push_back(
					{ ((i + j) % n) * 7919 % 1009,
					  demands[(i + j) % n] / 10.0 });
			sum += ks_stated_limit_share(per_s, claims.data(), n);
		}
		RC_ASSERT(sum > 0.999 && sum < 1.001);
	});
}

int main()
{
	bool ok = check_limit_is_kept();

	ok &= check_limit_is_used();
	ok &= check_shares_add_up();
	return ok ? 0 : 1;
}
