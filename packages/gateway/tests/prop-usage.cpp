/*
 * Property tests of usage reports in virtual time, with several entries that
 * share a store and a platform. Guard against two different reports of one
 * window, fencing tokens that fall or that two holders share, and calls of two
 * holders that interleave, after kills, freezes, cuts, outages of the store,
 * lost answers and wrong clocks, or after the store has returned from an older
 * copy, also if its holder or all entries end then; and against wrong counts,
 * windows that are left out, reports from before the first request, and more
 * than a write for each window without them.
 */
#include "ks/usage.h"
#include "memory_store.h"

#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <vector>

static const int64_t step_us = 50 * KS_USEC_PER_MSEC;
static const int64_t turns_us = 3 * KS_USEC_PER_SEC;
static const int64_t window_us = 5 * KS_USEC_PER_SEC;
static const int64_t late_us = 10 * KS_USEC_PER_SEC;
static const int64_t message_us = 500 * KS_USEC_PER_MSEC;
static const int64_t timeout_us = 1500 * KS_USEC_PER_MSEC;
static const int64_t traffic_us = 10 * KS_USEC_PER_SEC;
static const int64_t start_us = 100 * KS_USEC_PER_SEC;
/* True time less monotonic time. */
static const int64_t true_offset_us = 1700000000 * KS_USEC_PER_SEC;
static const unsigned n_organisations = 5;

struct sim;

/* Result of a store operation that the entry has not read yet. */
struct store_result {
	ks_store_row_func_t func;
	void *ctx;
	ks_store_outcome_t outcome;
	bool has_row;
	std::string etag, value;
	uint64_t era;
};

struct sim_entry {
	sim *s;
	uint64_t tag;
	ks_clock_t wall;
	int64_t wall_offset_us;
	ks_loop_t loop;
	ks_rng_t rng;
	ks_usage_t usage;
	ks_duty_lease_t lease;
	ks_duty_driver_t driver;
	ks_store_t store;
	ks_metrics_t *metrics;
	ks_usage_report_t *report;
	std::vector<store_result> results;
	std::vector<std::string> messages;
	std::vector<int64_t> pending;
	bool alive = true;
	int64_t frozen_until_us = 0;
	int64_t peers_cut_until_us = 0;
	int64_t store_cut_until_us = 0;
	int64_t api_cut_until_us = 0;
	int64_t next_message_us = 0;
};

struct store_operation {
	sim_entry *entry;
	ks_store_row_func_t func;
	void *ctx;
};

struct sim_call {
	sim_entry *entry;
	std::string body;
	uint64_t fence;
	ks_duty_func_t func;
	void *ctx;
	int64_t arrives_us;
	int64_t answered_us;
	int status;
};

struct arrival {
	uint64_t holder;
	int64_t at_us;
};

struct sim {
	ks_test_clock_t clock;
	memory_store_t store;
	ks_rng_t rng;
	bool faults;
	bool lossy;
	bool away;
	std::vector<int64_t> accepted;
	std::string older_row;
	uint64_t era = 1;
	std::vector<std::unique_ptr<sim_entry>> entries;
	std::vector<sim_call> calls;
	std::vector<arrival> arrivals;
	uint64_t last_fence = 0;
	uint64_t last_holder = 0;
	std::map<int64_t, std::string> reports;
	std::map<int64_t, std::map<std::string, unsigned>> truth;
};

static unsigned holder_changes;
static unsigned runs_with_faults;

static bool chance(sim &s, unsigned one_in)
{
	return ks_rng_below(&s.rng, one_in) == 0;
}

static int64_t wall_now(void *ctx)
{
	const sim_entry *entry = static_cast<const sim_entry *>(ctx);

	return entry->s->clock.time_us + true_offset_us + entry->wall_offset_us;
}

static void on_stored(void *ctx, ks_store_outcome_t outcome,
		      const ks_row_t *row)
{
	store_operation *op = static_cast<store_operation *>(ctx);
	store_result result = { op->func,	  op->ctx, outcome,
				row != nullptr,	  "",	   "",
				op->entry->s->era };

	if (row && row->etag.len)
		result.etag.assign(row->etag.data, row->etag.len);
	if (row && row->value.len)
		result.value.assign(row->value.data, row->value.len);
	op->entry->results.push_back(result);
	delete op;
}

static bool is_store_cut(const sim_entry *entry)
{
	return entry->store_cut_until_us > entry->s->clock.time_us;
}

static void store_get(void *impl, ks_str_t key, ks_store_row_func_t func,
		      void *ctx)
{
	sim_entry *entry = static_cast<sim_entry *>(impl);
	ks_store_t *store = &entry->s->store.store;

	if (is_store_cut(entry))
		entry->results.push_back(
			{ func, ctx, KS_STORE_UNREACHABLE, false, "", "", 0 });
	else
		store->get(store->impl, key, on_stored,
			   new store_operation{ entry, func, ctx });
}

static void store_write(void *impl, const ks_store_write_t *write,
			ks_store_row_func_t func, void *ctx)
{
	sim_entry *entry = static_cast<sim_entry *>(impl);
	ks_store_t *store = &entry->s->store.store;

	if (is_store_cut(entry))
		entry->results.push_back(
			{ func, ctx, KS_STORE_UNKNOWN, false, "", "", 0 });
	else
		store->write(store->impl, write, on_stored,
			     new store_operation{ entry, func, ctx });
}

static void deliver_results(sim_entry *entry)
{
	std::vector<store_result> results;

	results.swap(entry->results);
	for (const store_result &result : results) {
		ks_row_t row = {};

		row.etag = { result.etag.data(), result.etag.size() };
		row.value = { result.value.data(), result.value.size() };
		row.era = result.era;
		result.func(result.ctx, result.outcome,
			    result.has_row ? &row : nullptr);
	}
}

static void make_call(void *impl, ks_duty_kind_t, ks_str_t body, uint64_t fence,
		      ks_duty_func_t func, void *ctx)
{
	sim_entry *entry = static_cast<sim_entry *>(impl);
	sim &s = *entry->s;
	int64_t now = s.clock.time_us;
	sim_call call = { entry,	 std::string(body.data, body.len),
			  fence,	 func,
			  ctx,		 now,
			  now + step_us, 200 };

	if (s.faults && chance(s, 4))
		call.arrives_us += ks_rng_below(&s.rng, 28) * step_us;
	if (s.faults && chance(s, 4))
		call.status = chance(s, 2) ? 429 : 503;
	if (s.away)
		call.status = 503;
	/* Lost on the way there, or on the way back. */
	if (entry->api_cut_until_us > now)
		call.arrives_us = INT64_MAX;
	if (entry->api_cut_until_us > now || (s.faults && chance(s, 6))) {
		call.status = 0;
		call.answered_us = now + timeout_us;
	}
	call.answered_us =
		MAX(call.answered_us,
		    call.arrives_us == INT64_MAX ? 0 : call.arrives_us);
	s.calls.push_back(call);
}

static char *format_usage(void *, int64_t window,
			  const ks_usage_count_t *counts, size_t n)
{
	std::string text = std::to_string(window);

	for (size_t i = 0; i < n; i++)
		text += std::string(" ") + counts[i].name + "=" +
			std::to_string(counts[i].count);
	return g_strdup(text.c_str());
}

static void check_arrival(sim &s, const sim_call &call)
{
	uint64_t holder = call.entry->tag;
	int64_t now = s.clock.time_us, window = std::stoll(call.body);
	bool other = false;

	RC_ASSERT(call.fence >= s.last_fence);
	if (holder != s.last_holder) {
		RC_ASSERT(call.fence > s.last_fence);
		holder_changes += s.last_holder != 0;
	}
	s.last_fence = call.fence;
	s.last_holder = holder;
	for (auto it = s.arrivals.rbegin();
	     it != s.arrivals.rend() && now - it->at_us < turns_us; ++it) {
		other |= it->holder != holder;
		RC_ASSERT(!other || it->holder != holder);
	}
	s.arrivals.push_back({ holder, now });
	if (s.reports.count(window))
		RC_ASSERT(s.reports[window] == call.body);
	s.reports[window] = call.body;
}

static void run_calls(sim &s)
{
	int64_t now = s.clock.time_us;

	for (size_t i = 0; i < s.calls.size();) {
		if (s.calls[i].arrives_us <= now) {
			s.calls[i].arrives_us = INT64_MAX;
			check_arrival(s, s.calls[i]);
		}
		if (s.calls[i].answered_us > now ||
		    s.calls[i].entry->frozen_until_us > now) {
			i++;
			continue;
		}
		sim_call call = s.calls[i];

		s.calls.erase(s.calls.begin() + static_cast<ptrdiff_t>(i));
		if (call.status == 200)
			s.accepted.push_back(std::stoll(call.body));
		if (call.entry->alive)
			call.func(call.ctx, call.status);
	}
}

static std::string organisation(unsigned i)
{
	return "org" + std::to_string(i);
}

static void add_entry(sim &s, int64_t wall_offset_us)
{
	std::unique_ptr<sim_entry> entry(new sim_entry());
	sim_entry *e = entry.get();
	ks_organisations_t *organisations = ks_organisations_new();

	for (unsigned i = 0; i < n_organisations; i++)
		ks_organisations_add(organisations,
				     ks_str_from(organisation(i).c_str()));
	e->s = &s;
	e->tag = 2 * s.entries.size() + 1;
	e->wall = { wall_now, e };
	e->wall_offset_us = wall_offset_us;
	e->store = {};
	e->store.get = store_get;
	e->store.write = store_write;
	e->store.impl = e;
	e->driver = { make_call, format_usage, nullptr, e };
	ks_loop_init(&e->loop, &s.clock.clock);
	ks_rng_init(&e->rng, ks_rng_below(&s.rng, G_MAXINT32));
	ks_usage_init(&e->usage, &e->wall, window_us, late_us);
	ks_usage_set_organisations(&e->usage, organisations, s.clock.time_us);
	ks_organisations_free(organisations);
	ks_duty_lease_init(&e->lease, &e->loop, &e->store, &s.clock.clock,
			   &e->rng, turns_us);
	e->metrics = ks_metrics_new();
	e->report =
		ks_usage_report_new(&e->loop, &e->usage, &e->lease, &e->driver,
				    &e->store, &e->rng, e->metrics);
	s.entries.push_back(std::move(entry));
}

static memory_fault_t draw_store_fault(void *ctx, bool, ks_str_t)
{
	sim &s = *static_cast<sim *>(ctx);

	if (!s.faults || !chance(s, 10))
		return MEMORY_FAULT_NONE;
	return static_cast<memory_fault_t>(1 + ks_rng_below(&s.rng, 4));
}

static void init_sim(sim &s, uint32_t seed, unsigned max)
{
	unsigned n;

	ks_test_clock_init(&s.clock, start_us);
	ks_rng_init(&s.rng, seed);
	memory_store_init(&s.store, &s.clock.clock);
	s.store.delay_us = 10 * KS_USEC_PER_MSEC;
	s.store.late_us = 2 * KS_USEC_PER_SEC;
	s.store.fault = draw_store_fault;
	s.store.fault_ctx = &s;
	n = 2 + ks_rng_below(&s.rng, max - 1);
	for (unsigned i = 0; i < n; i++) {
		/* Less than half of the clocks are wrong. */
		bool wrong = i < (n - 1) / 2;
		int64_t ms = static_cast<int64_t>(ks_rng_below(&s.rng, 10000)) -
			     5000;

		add_entry(s, wrong ? ms * KS_USEC_PER_MSEC : 0);
	}
}

static void deinit_sim(sim &s)
{
	for (auto &entry : s.entries) {
		ks_usage_report_free(entry->report);
		ks_duty_lease_deinit(&entry->lease);
	}
	/* Both are freed once their last store operation has called back. */
	ks_test_clock_advance(&s.clock, 60 * KS_USEC_PER_SEC);
	memory_store_run(&s.store);
	for (auto &entry : s.entries) {
		deliver_results(entry.get());
		ks_usage_deinit(&entry->usage);
		ks_metrics_free(entry->metrics);
		ks_rng_deinit(&entry->rng);
		ks_loop_deinit(&entry->loop);
	}
	memory_store_deinit(&s.store);
	ks_rng_deinit(&s.rng);
}

static bool is_cut(const sim_entry *entry)
{
	return entry->peers_cut_until_us > entry->s->clock.time_us;
}

static void send_message(sim &s, sim_entry *from, bool is_last)
{
	GByteArray *message = g_byte_array_new();
	int64_t now = s.clock.time_us;
	uint64_t missing[8];
	size_t n_missing = ks_usage_missing(&from->usage, missing, 8, now);
	bool any =
		ks_usage_pack(&from->usage, from->tag, is_last, now, message);

	for (auto &to : s.entries) {
		if (to.get() == from || !to->alive || is_cut(from) ||
		    is_cut(to.get()) || (s.lossy && chance(s, 40)))
			continue;
		if (to->frozen_until_us <= now)
			ks_usage_hear(&to->usage, from->tag, wall_now(from),
				      now);
		to->usage.sealed = MAX(to->usage.sealed, from->usage.sealed);
		to->usage.sealed_era =
			MAX(to->usage.sealed_era, from->usage.sealed_era);
		for (size_t i = 0; i < n_missing; i++)
			if (missing[i] == to->tag)
				ks_usage_request(&to->usage, now);
		if (any)
			to->messages.emplace_back(
				reinterpret_cast<char *>(message->data),
				message->len);
	}
	g_byte_array_free(message, TRUE);
}

/* One of eight requests turns out not to have run, in the next step. */
static void run_requests(sim &s, sim_entry *entry)
{
	int64_t now = s.clock.time_us;
	unsigned n = ks_rng_below(&s.rng, 3);

	for (unsigned i = 0; i < n; i++) {
		std::string name =
			organisation(ks_rng_below(&s.rng, n_organisations));
		int64_t window =
			ks_usage_begin(&entry->usage, name.c_str(), now);

		ks_usage_end(&entry->usage, name.c_str(), window, true);
		s.truth[(now + true_offset_us) / window_us][name]++;
	}
	if (chance(s, 8))
		entry->pending.push_back(
			ks_usage_begin(&entry->usage, "org0", now));
}

static void run_entry(sim &s, sim_entry *entry)
{
	int64_t now = s.clock.time_us;

	deliver_results(entry);
	for (const std::string &message : entry->messages)
		ks_usage_receive(&entry->usage, entry->tag,
				 { message.data(), message.size() }, now);
	entry->messages.clear();
	ks_loop_run_once(&entry->loop, 0);
	for (int64_t window : entry->pending)
		ks_usage_end(&entry->usage, "org0", window, false);
	entry->pending.clear();
	/* Some windows have no requests. */
	if (now - start_us >= traffic_us && now / (3 * window_us) % 2)
		run_requests(s, entry);
	if (entry->next_message_us <= now) {
		send_message(s, entry, false);
		entry->next_message_us = now + message_us;
	}
}

static sim_entry *draw_entry(sim &s)
{
	/* The holder is hit more often than the others. */
	for (auto &entry : s.entries)
		if (entry->alive && ks_duty_lease_is_held(&entry->lease) &&
		    chance(s, 2))
			return entry.get();
	return s.entries[ks_rng_below(&s.rng,
				      static_cast<uint32_t>(s.entries.size()))]
		.get();
}

static void draw_fault(sim &s)
{
	sim_entry *entry = draw_entry(s);
	int64_t until = s.clock.time_us + ks_rng_below(&s.rng, 160) * step_us;

	if (!entry->alive)
		return;
	switch (ks_rng_below(&s.rng, 7)) {
	case 0:
		entry->alive = false;
		add_entry(s, 0);
		break;
	case 1:
		entry->frozen_until_us = until;
		break;
	case 2:
		entry->peers_cut_until_us = until;
		break;
	case 3:
		entry->store_cut_until_us = until;
		break;
	case 4:
		entry->api_cut_until_us = until;
		break;
	case 5:
		s.store.down = !s.store.down;
		break;
	default:
		entry->wall_offset_us =
			(static_cast<int64_t>(ks_rng_below(&s.rng, 20)) - 10) *
			KS_USEC_PER_SEC;
	}
}

static void step(sim &s)
{
	ks_test_clock_advance(&s.clock, step_us);
	memory_store_run(&s.store);
	run_calls(s);
	if (s.faults && chance(s, s.store.down ? 20 : 40))
		draw_fault(s);
	for (size_t i = 0; i < s.entries.size(); i++)
		if (s.entries[i]->alive &&
		    s.entries[i]->frozen_until_us <= s.clock.time_us)
			run_entry(s, s.entries[i].get());
}

/* All windows that have to be reported by now are, with the true counts. */
static void check_exact(const sim &s)
{
	int64_t last = (s.clock.time_us + true_offset_us - late_us) / window_us;

	RC_ASSERT(s.truth.begin()->first < last);
	RC_ASSERT(s.reports.begin()->first == s.truth.begin()->first);
	/* Besides the lease, which is renewed each second. */
	RC_ASSERT(s.store.n_writes <=
		  s.reports.size() + 2 * s.entries.size() +
			  static_cast<uint64_t>((s.clock.time_us - start_us) /
						KS_USEC_PER_SEC));
	for (int64_t window = s.truth.begin()->first; window < last; window++) {
		std::string expected = std::to_string(window);
		auto counts = s.truth.find(window);

		if (counts != s.truth.end())
			for (const auto &count : counts->second)
				expected += " " + count.first + "=" +
					    std::to_string(count.second);
		RC_ASSERT(s.reports.count(window));
		RC_ASSERT(s.reports.at(window) == expected);
	}
}

static void ignore_row(void *, ks_store_outcome_t, const ks_row_t *)
{
}

/* Which entries end without another message as the store returns. */
enum returns {
	RETURNS_NONE,
	RETURNS_HOLDER_TOLD,
	RETURNS_HOLDER,
	RETURNS_ALL
};

static void replace_entries(sim &s, enum returns returns)
{
	size_t n = s.entries.size();

	for (size_t i = 0; i < n; i++) {
		bool reports = s.entries[i]->usage.is_reporter;

		if (!s.entries[i]->alive ||
		    (returns != RETURNS_ALL && !reports))
			continue;
		/* Another one takes over, which has heard all there is. */
		if (returns == RETURNS_HOLDER_TOLD)
			send_message(s, s.entries[i].get(), false);
		s.entries[i]->alive = false;
		add_entry(s, 0);
	}
}

/* The store loses what was written to the row since a while ago. */
static void return_store(sim &s, enum returns returns)
{
	ks_store_write_t write = {};
	/* Otherwise they end before they learn of the return. */
	bool end_later = returns == RETURNS_HOLDER_TOLD || chance(s, 2);
	size_t n = s.entries.size();

	write.key = KS_STR("usage/reports");
	write.value = { s.older_row.data(), s.older_row.size() };
	write.unconditional = true;
	s.store.store.write(s.store.store.impl, &write, ignore_row, nullptr);
	s.era++;
	if (!end_later)
		replace_entries(s, returns);
	for (size_t j = 0; j < n; j++) {
		sim_entry *entry = s.entries[j].get();
		int64_t now = s.clock.time_us;
		int64_t window = ks_usage_window_at(&entry->usage, now);

		if (!entry->alive)
			continue;
		ks_duty_lease_forget(&entry->lease, s.era);
		/* Counts that were not known when the windows were sealed. */
		for (int64_t i = window - 4; i < window; i++)
			ks_usage_totals_set(ks_usage_find_totals(&entry->usage,
								 i, 1000, now),
					    ks_usage_tag("org0"),
					    ks_rng_below(&s.rng, 9));
	}
	if (end_later)
		replace_entries(s, returns);
	s.older_row.clear();
}

static void keep_row(void *ctx, ks_store_outcome_t, const ks_row_t *row)
{
	if (row)
		static_cast<sim *>(ctx)->older_row.assign(row->value.data,
							  row->value.len);
}

/*
 * The loops of entries that have ended keep their descriptors until the process
 * ends, so there are fewer where many of them end.
 */
static const unsigned max_entries = 20;
static const unsigned max_entries_ending = 6;
static const unsigned max_returns = 3;

static void run(bool faults, bool lossy, enum returns returns, int steps)
{
	sim s = {};

	s.faults = faults;
	runs_with_faults += faults;
	s.lossy = lossy;
	init_sim(s, *rc::gen::arbitrary<uint32_t>(),
		 returns == RETURNS_HOLDER || returns == RETURNS_ALL
			 ? max_entries_ending
			 : max_entries);
	try {
		for (int i = 0; i < steps; i++) {
			step(s);
			if (returns != RETURNS_NONE && s.older_row.empty() &&
			    chance(s, 100))
				s.store.store.get(s.store.store.impl,
						  KS_STR("usage/reports"),
						  keep_row, &s);
			else if (!s.older_row.empty() &&
				 (returns != RETURNS_ALL ||
				  s.era <= max_returns) &&
				 chance(s, 200))
				return_store(s, returns);
		}
		if (!faults && returns == RETURNS_NONE)
			check_exact(s);
	} catch (...) {
		deinit_sim(s);
		throw;
	}
	deinit_sim(s);
}

/*
 * Guards against reports that are lost while the platform is away, or sent for
 * ever, and against newer ones that are sent before older ones.
 */
static void run_with_outage()
{
	sim s = {};
	int64_t oldest;

	init_sim(s, *rc::gen::arbitrary<uint32_t>(), max_entries);
	for (int i = 0; i < 1400; i++) {
		s.away = i >= 300 && i < 1200;
		if (i == 300)
			s.accepted.clear();
		step(s);
		if (i == 1200)
			oldest = (s.clock.time_us + true_offset_us -
				  2 * late_us) /
				 window_us;
	}
	deinit_sim(s);
	RC_ASSERT(s.accepted.size() >= 2 * late_us / window_us);
	RC_ASSERT(s.accepted.front() >= oldest);
	RC_ASSERT(s.accepted.front() <= oldest + 1);
	for (size_t i = 1; i < s.accepted.size(); i++)
		RC_ASSERT(s.accepted[i] == s.accepted[i - 1] + 1);
}

int main()
{
	bool ok = rc::check("reports, tokens and turns hold despite faults",
			    [] { run(true, true, RETURNS_NONE, 1600); });

	ok &= rc::check("each report is exact in calm",
			[] { run(false, false, RETURNS_NONE, 1200); });
	ok &= rc::check("each report is exact despite lost messages",
			[] { run(false, true, RETURNS_NONE, 1200); });
	ok &= rc::check("reports hold after the store returns",
			[] { run(false, false, RETURNS_HOLDER_TOLD, 1600); });
	ok &= rc::check("reports hold after the store returns and the holder "
			"ends without a message",
			[] { run(false, false, RETURNS_HOLDER, 1600); });
	ok &= rc::check("reports hold after the store returns and all entries "
			"end",
			[] { run(false, false, RETURNS_ALL, 1600); });
	ok &= rc::check("reports wait while the platform is away",
			run_with_outage);
	/* Fail if the seeds did not exercise the checks of holders. */
	printf("changes of holder: %u\n", holder_changes);
	return ok && holder_changes > runs_with_faults / 4 ? 0 : 1;
}
