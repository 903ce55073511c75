/*
 * Property tests of reading the store's tables for other entries, in virtual
 * time. Guard against an entry that misses a change of a table because the
 * entries that it relies on are frozen, cut off from the store or unheard, and
 * against entries that all poll the store although nothing changes.
 */
#include "ks/gateway.h"

#include <rapidcheck.h>
#include <vector>

static const int64_t step_us = 50 * KS_USEC_PER_MSEC;
static const int64_t message_us = 500 * KS_USEC_PER_MSEC;
static const int64_t silence_us = 1500 * KS_USEC_PER_MSEC;
static const int64_t max_delay_us = 100 * KS_USEC_PER_MSEC;
static const int64_t retry_us = 100 * KS_USEC_PER_MSEC;
static const ks_view_limits_t limits = {
	.alone_us = 2000 * KS_USEC_PER_MSEC,
	.poller_us = 1000 * KS_USEC_PER_MSEC,
	.max_age_us = 2000 * KS_USEC_PER_MSEC,
};

struct table {
	int64_t revision;
	uint64_t digest;
	int64_t changed_us;
	uint64_t digest_before;
};

struct message {
	int64_t due_us;
	size_t from;
	ks_view_t view;
	int64_t age_us;
};

struct heard {
	ks_view_t view;
	int64_t seen_us;
};

struct sim_entry {
	uint64_t rank;
	ks_view_t view;
	bool told;
	int64_t next_message_us;
	int64_t retry_at_us;
	int64_t frozen_until_us;
	int64_t cut_until_us;
	int64_t fault_us;
	unsigned reads;
	std::vector<heard> peers;
	std::vector<message> inbox;
};

struct sim {
	int64_t now_us;
	table store;
	std::vector<sim_entry> entries;
};

static sim make_sim(unsigned n)
{
	sim s = {};

	s.now_us = 1000 * KS_USEC_PER_SEC;
	s.store = { 1, 77, 0, 77 };
	s.entries.resize(n);
	for (unsigned i = 0; i < n; i++) {
		sim_entry &entry = s.entries[i];

		entry.rank = (uint64_t)i * 7919 % 1009;
		entry.view = { 1, 77, s.now_us };
		entry.peers.resize(n);
		entry.next_message_us = s.now_us + (int64_t)i * message_us / n;
	}
	return s;
}

static std::vector<ks_peer_view_t> views_heard(const sim &s, size_t self)
{
	std::vector<ks_peer_view_t> views;

	for (size_t i = 0; i < s.entries.size(); i++) {
		const heard &peer = s.entries[self].peers[i];

		if (i != self && peer.seen_us &&
		    s.now_us - peer.seen_us <= silence_us)
			views.push_back({ s.entries[i].rank, peer.view });
	}
	return views;
}

static void send_messages(sim &s, size_t self, bool lossy)
{
	sim_entry &entry = s.entries[self];

	entry.next_message_us = s.now_us + message_us;
	for (size_t i = 0; i < s.entries.size(); i++) {
		if (i == self || (lossy && *rc::gen::inRange(0, 4) == 0))
			continue;
		s.entries[i].inbox.push_back(
			{ s.now_us + max_delay_us * (int64_t)(i % 3) / 2, self,
			  entry.view, s.now_us - entry.view.read_us });
	}
}

static void receive_messages(sim &s, size_t self)
{
	sim_entry &entry = s.entries[self];
	std::vector<message> later;

	for (const message &m : entry.inbox) {
		if (m.due_us > s.now_us) {
			later.push_back(m);
			continue;
		}
		heard &peer = entry.peers[m.from];

		peer.seen_us = s.now_us;
		peer.view = m.view;
		peer.view.read_us = s.now_us - m.age_us;
		entry.told |= ks_view_is_outdated(&entry.view, &peer.view);
	}
	entry.inbox = later;
}

static void read_if_due(sim &s, size_t self)
{
	sim_entry &entry = s.entries[self];
	std::vector<ks_peer_view_t> others = views_heard(s, self);
	int64_t due = ks_view_due_us(
		&entry.view, entry.rank, others.data(), others.size(),
		ks_views_are_shared(s.entries.size()), &limits);

	if ((!entry.told && due > s.now_us) || entry.retry_at_us > s.now_us)
		return;
	entry.reads++;
	if (entry.cut_until_us > s.now_us) {
		entry.retry_at_us = s.now_us + retry_us;
		return;
	}
	bool changed = entry.view.digest != s.store.digest;

	entry.told = false;
	entry.view = { s.store.revision, s.store.digest, s.now_us };
	if (changed)
		entry.next_message_us = s.now_us;
}

static void step(sim &s, bool lossy)
{
	s.now_us += step_us;
	for (size_t i = 0; i < s.entries.size(); i++) {
		sim_entry &entry = s.entries[i];

		if (entry.frozen_until_us > s.now_us)
			continue;
		receive_messages(s, i);
		read_if_due(s, i);
		if (entry.next_message_us <= s.now_us)
			send_messages(s, i, lossy);
	}
}

static void change_table(sim &s)
{
	s.store.revision++;
	s.store.digest_before = s.store.digest;
	s.store.digest += 1000003;
	s.store.changed_us = s.now_us;
}

static void add_fault(sim_entry &entry, bool freezes, int64_t until)
{
	if (freezes)
		entry.frozen_until_us = until;
	else
		entry.cut_until_us = until;
	entry.fault_us = MAX(entry.fault_us, until);
}

/* Half of the faults hit all pollers at once, as then nobody tells the rest. */
static void draw_fault(sim &s)
{
	bool freezes = *rc::gen::inRange(0, 2);
	int64_t until =
		s.now_us + *rc::gen::inRange(1, 60) * 100 * KS_USEC_PER_MSEC;

	if (*rc::gen::inRange(0, 2)) {
		add_fault(s.entries[*rc::gen::inRange<size_t>(
				  0, s.entries.size())],
			  freezes, until);
		return;
	}
	for (size_t i = 0; i < s.entries.size(); i++) {
		std::vector<ks_peer_view_t> others = views_heard(s, i);

		if (ks_view_is_poller(s.entries[i].rank, others.data(),
				      others.size()))
			add_fault(s.entries[i], freezes, until);
	}
}

/* A change must be known everywhere this long after it. */
static const int64_t bound_us =
	limits.max_age_us + 2 * max_delay_us + 4 * step_us;

static void check_changes_known(const sim &s)
{
	if (s.now_us - s.store.changed_us < bound_us)
		return;
	for (const sim_entry &entry : s.entries)
		if (s.now_us - entry.fault_us >= bound_us)
			RC_ASSERT(entry.view.digest == s.store.digest);
}

static void run_with_faults(unsigned n, bool lossy)
{
	sim s = make_sim(n);

	for (int i = 0; i < 300; i++) {
		step(s, lossy);
		check_changes_known(s);
		if (*rc::gen::inRange(0, 30) == 0)
			draw_fault(s);
		if (s.now_us - s.store.changed_us >= bound_us &&
		    *rc::gen::inRange(0, 10) == 0)
			change_table(s);
	}
}

int main()
{
	bool ok = rc::check("a change is known in time despite faults", [] {
		run_with_faults(*rc::gen::inRange(2u, 30u), false);
	});

	ok &= rc::check("a change is known in time despite lost messages", [] {
		run_with_faults(*rc::gen::inRange(12u, 30u), true);
	});
	ok &= rc::check("few entries read while nothing changes", [] {
		sim s = make_sim(*rc::gen::inRange(12u, 60u));
		unsigned reads = 0;

		for (int i = 0; i < 200; i++)
			step(s, false);
		for (const sim_entry &entry : s.entries)
			reads += entry.reads;
		/* 10 s: three pollers, once a second, and the first seconds. */
		RC_ASSERT(reads <= 3 * 10 + 2 * s.entries.size());
	});
	return ok ? 0 : 1;
}
