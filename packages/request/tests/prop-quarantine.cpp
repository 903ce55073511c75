/*
 * Property tests of the quarantine in virtual time: entries that exchange what
 * they know in messages, some of which are lost, requests of which some crash
 * their upstream, and upstreams and connections that fail for other reasons.
 */
#include "ks/request.h"

#include <rapidcheck.h>
#include <map>
#include <vector>

static const int64_t ms = KS_USEC_PER_MSEC;
static const int64_t step_us = 10 * ms;
static const int64_t end_us = 40000 * ms;
static const int64_t contact_us = 3000 * ms;
static const int64_t message_us = 100 * ms;
static const int64_t repeat_us = 2000 * ms;
static const int64_t restart_us = 3000 * ms;
static const int64_t beginning_us = 100 * ms;
static const unsigned known_after = 5;
static const unsigned max_after = 3;
static const size_t n_callers = 3;
static const size_t n_documents = 4;
static const uint64_t crashing_part = 1;
static const uint64_t first_caller = 100;
static const uint64_t first_document = 200;
/* Requests with a first part below which its share says nothing. */
static const unsigned min_requests = 20;

struct request {
	size_t entry;
	std::vector<uint64_t> parts;
	bool is_crashing;
	unsigned sends;
	size_t upstream;
	uint32_t process;
	int64_t sent_us, begins_us, ends_us;
};

struct entry {
	ks_quarantine_t quarantine;
	std::vector<ks_loss_t> losses;
	std::vector<uint64_t> told_answers;
};

/* Tries of a held part, which the store grants to one entry at a time. */
struct tries {
	int64_t since_us;
	unsigned n;
};

struct sim {
	std::map<uint64_t, tries> held;
	std::vector<entry> entries;
	std::vector<uint32_t> processes;
	std::vector<int64_t> up_at_us;
	std::vector<request> running;
	ks_rng_t rng;
	int64_t now_us;
	uint64_t n_losses;
	unsigned crashes;
	int64_t fifth_us;
	unsigned sent_after;
	unsigned asked[n_callers], refused[n_callers];
};

static bool chance(sim &s, double probability)
{
	return ks_rng_unit(&s.rng) < probability;
}

static int64_t between(sim &s, int64_t low_ms, int64_t high_ms)
{
	return (low_ms +
		ks_rng_below(&s.rng, (uint32_t)(high_ms - low_ms + 1))) *
	       ms;
}

static bool is_up(const sim &s, size_t upstream)
{
	return s.up_at_us[upstream] <= s.now_us;
}

static bool may_try(sim &s, uint64_t part)
{
	tries &t = s.held.insert({ part, { s.now_us, 0 } }).first->second;
	int64_t wait = ks_quarantine_try_wait_us(t.n);

	if (!wait || s.now_us - t.since_us < wait)
		return false;
	t = { s.now_us, t.n + 1 };
	return true;
}

static void send(sim &s, request r)
{
	ks_quarantine_t *q = &s.entries[r.entry].quarantine;
	size_t first = ks_rng_below(&s.rng, (uint32_t)s.processes.size());

	ks_quarantine_evaluate(q, s.now_us);
	int held = ks_quarantine_find_held(q, r.parts.data(),
					   (unsigned)r.parts.size());

	if (held >= 0 && (r.sends || !may_try(s, r.parts[(size_t)held]))) {
		if (!r.is_crashing && s.fifth_us &&
		    s.now_us > s.fifth_us + 2 * contact_us)
			s.refused[r.parts[0] - first_caller]++;
		return;
	}
	for (size_t i = 0; i < s.processes.size(); i++) {
		r.upstream = (first + i) % s.processes.size();
		if (!is_up(s, r.upstream))
			continue;
		r.sends++;
		r.process = s.processes[r.upstream];
		r.sent_us = s.now_us;
		r.begins_us = s.now_us + between(s, 50, 300);
		r.ends_us = r.begins_us + between(s, 50, 400);
		s.running.push_back(r);
		if (r.is_crashing && s.fifth_us &&
		    s.now_us > s.fifth_us + contact_us)
			s.sent_after++;
		return;
	}
}

static void lose(sim &s, const request &r, std::vector<request> &again)
{
	entry &e = s.entries[r.entry];
	ks_loss_t loss = {};

	loss.source = 0;
	loss.number = ++s.n_losses;
	loss.upstream = r.process;
	loss.at_us = s.now_us;
	loss.begun = r.begins_us <= s.now_us;
	loss.n_parts = (unsigned)r.parts.size();
	for (size_t i = 0; i < r.parts.size(); i++)
		loss.parts[i] = r.parts[i];
	if (s.now_us - r.begins_us <= beginning_us) {
		ks_quarantine_record_loss(&e.quarantine, &loss, s.now_us);
		e.losses.push_back(loss);
	}
	if (r.sends < 2 && !ks_quarantine_is_suspect(&e.quarantine, loss.parts,
						     loss.n_parts, s.now_us))
		again.push_back(r);
}

/* Ends the requests of an upstream; with @dies, also its process. */
static void fail(sim &s, size_t upstream, bool dies)
{
	std::vector<request> kept, again;

	if (dies) {
		s.processes[upstream] += 1000;
		s.up_at_us[upstream] = s.now_us + restart_us;
	}
	for (const request &r : s.running)
		if (r.upstream == upstream)
			lose(s, r, again);
		else
			kept.push_back(r);
	s.running = kept;
	for (const request &r : again)
		send(s, r);
}

static void crash_by_request(sim &s, size_t upstream)
{
	if (++s.crashes == known_after)
		s.fifth_us = s.now_us;
	fail(s, upstream, true);
}

static void respond(sim &s)
{
	for (size_t i = 0; i < s.running.size();) {
		request r = s.running[i];
		ks_quarantine_t *q = &s.entries[r.entry].quarantine;

		if (r.begins_us <= s.now_us && r.is_crashing) {
			crash_by_request(s, r.upstream);
			i = 0;
			continue;
		}
		if (r.begins_us <= s.now_us)
			ks_quarantine_record_alive(q, r.process, r.sent_us);
		if (r.ends_us > s.now_us) {
			i++;
			continue;
		}
		q->n_answers++;
		for (uint64_t part : r.parts)
			s.held.erase(part);
		ks_quarantine_add_answers(q, 1, s.now_us);
		ks_quarantine_record_answer(q, r.parts.data(),
					    (unsigned)r.parts.size(), r.sent_us,
					    s.now_us);
		s.running.erase(s.running.begin() + (long)i);
	}
}

/* What a message of one entry tells another one; see peer_losses.c. */
static void tell(sim &s, size_t from, size_t to)
{
	ks_quarantine_t *source = &s.entries[from].quarantine;
	ks_quarantine_t *target = &s.entries[to].quarantine;
	GHashTableIter iter;
	uint64_t &told = s.entries[from].told_answers[to];
	gpointer value;

	ks_quarantine_add_answers(target, (unsigned)(source->n_answers - told),
				  s.now_us);
	told = source->n_answers;
	g_hash_table_iter_init(&iter, source->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_part_t *part = (const ks_part_t *)value;

		if (part->answered_us)
			ks_quarantine_record_answer(target, &part->id, 1,
						    part->answered_us,
						    s.now_us);
	}
	for (ks_loss_t loss : s.entries[from].losses) {
		loss.source = from + 1;
		if (s.now_us - loss.at_us <= repeat_us)
			ks_quarantine_record_loss(target, &loss, s.now_us);
	}
	g_hash_table_iter_init(&iter, source->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_part_t *part = (const ks_part_t *)value;

		if (part->held_us)
			ks_quarantine_hold(target, part->id, part->held_us,
					   s.now_us);
	}
}

static void exchange(sim &s)
{
	for (size_t from = 0; from < s.entries.size(); from++)
		for (size_t to = 0; to < s.entries.size(); to++)
			if (from != to && !chance(s, 0.2))
				tell(s, from, to);
}

/* The order of the parts after the first one differs between schedules. */
struct schedule {
	uint32_t seed;
	size_t entries;
	size_t upstreams;
	unsigned requests_per_s;
	unsigned crashing_of_100;
	bool document_follows;
	bool fails_otherwise;
};

static void arrive(sim &s, const schedule &plan)
{
	size_t caller = ks_rng_below(&s.rng, n_callers);
	uint64_t document = first_document + ks_rng_below(&s.rng, n_documents);
	request r = {};

	if (!chance(s, plan.requests_per_s * (double)step_us / 1e6))
		return;
	r.entry = ks_rng_below(&s.rng, (uint32_t)s.entries.size());
	r.is_crashing = chance(s, plan.crashing_of_100 / 100.0);
	r.parts.push_back(first_caller + caller);
	if (r.is_crashing)
		r.parts.push_back(crashing_part);
	if (!r.is_crashing || plan.document_follows)
		r.parts.push_back(document);
	if (!r.is_crashing && s.fifth_us &&
	    s.now_us > s.fifth_us + 2 * contact_us)
		s.asked[caller]++;
	send(s, r);
}

static void fail_otherwise(sim &s)
{
	size_t upstream = ks_rng_below(&s.rng, (uint32_t)s.processes.size());
	double step_s = (double)step_us / 1e6;

	if (chance(s, 0.3 * step_s) && is_up(s, upstream))
		fail(s, upstream, chance(s, 0.5));
}

static void play(const schedule &plan)
{
	sim s = {};

	ks_rng_init(&s.rng, plan.seed);
	s.entries.resize(plan.entries);
	for (entry &e : s.entries) {
		ks_quarantine_init(&e.quarantine, NULL, NULL);
		e.told_answers.resize(plan.entries);
	}
	for (size_t i = 0; i < plan.upstreams; i++) {
		s.processes.push_back((uint32_t)i + 1);
		s.up_at_us.push_back(0);
	}
	for (s.now_us = step_us; s.now_us < end_us; s.now_us += step_us) {
		arrive(s, plan);
		respond(s);
		if (plan.fails_otherwise)
			fail_otherwise(s);
		if (s.now_us % message_us == 0)
			exchange(s);
	}
	for (entry &e : s.entries)
		ks_quarantine_deinit(&e.quarantine);
	ks_rng_deinit(&s.rng);
	RC_ASSERT(s.sent_after <= max_after);
	for (size_t i = 0; i < n_callers; i++)
		RC_ASSERT(s.asked[i] < min_requests ||
			  s.refused[i] * 2 <= s.asked[i]);
}

static schedule draw_schedule()
{
	schedule plan;

	plan.seed = *rc::gen::arbitrary<uint32_t>();
	plan.entries = *rc::gen::inRange<size_t>(1, 7);
	plan.upstreams = *rc::gen::inRange<size_t>(5, 20);
	plan.requests_per_s = *rc::gen::inRange(20u, 60u);
	plan.crashing_of_100 = *rc::gen::inRange(1u, 11u);
	plan.document_follows = *rc::gen::arbitrary<bool>();
	plan.fails_otherwise = *rc::gen::arbitrary<bool>();
	return plan;
}

int main()
{
	bool ok = true;

	ok &= rc::check("requests with a part that crashes upstreams are "
			"refused soon, and sound ones are not",
			[] { play(draw_schedule()); });
	return ok ? 0 : 1;
}
