/*
 * Discrete-event simulation of processes that share an in-memory store with
 * faults, for the property tests of the claim ledger, leases and orders.
 *
 * Simulated time only advances from event to event. The fault of each store
 * operation is drawn from a list of choices that RapidCheck generates and can
 * shrink; once the list is exhausted, there are no more faults.
 */
#ifndef KS_TESTS_SIM_H
#define KS_TESTS_SIM_H

#include "ks/entry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sim
{
constexpr int64_t MS = KS_USEC_PER_MSEC;
constexpr int64_t SEC = KS_USEC_PER_SEC;

inline std::string text(ks_str_t s)
{
	return s.len ? std::string(s.data, s.len) : std::string();
}

inline ks_str_t view(const std::string &s)
{
	return { s.data(), s.size() };
}

/*
 * Faults of a store operation. Without a fault, an operation takes effect after
 * 1 ms and its response arrives after 2 ms; draw() has the times of each fault.
 *
 * FAULT_LOST_AFTER_EFFECT: takes effect, but the response is lost
 * FAULT_DELAYED_PAST_CALLER: takes effect after the process has given up
 * FAULT_LONG_DELAYED: the same, after a delay of 40 s
 * FAULT_DOWN: rejected without effect
 * FAULT_LOST_BEFORE_EFFECT: the request is lost
 * FAULT_SLOW_EFFECT: takes effect late, followed by the response
 * FAULT_SLOW_RESPONSE: takes effect at once, with a late response
 */
enum fault {
	FAULT_NONE,
	FAULT_LOST_AFTER_EFFECT,
	FAULT_DELAYED_PAST_CALLER,
	FAULT_LONG_DELAYED,
	FAULT_DOWN,
	FAULT_LOST_BEFORE_EFFECT,
	FAULT_SLOW_EFFECT,
	FAULT_SLOW_RESPONSE,
	N_FAULTS
};

/* Consumes the generated choices one by one; 0 once they are exhausted. */
struct choices {
	std::vector<uint8_t> values;
	size_t next = 0;

	unsigned draw(unsigned limit)
	{
		return next < values.size() ? values[next++] % limit : 0;
	}
};

/* Scheduled event; events of the same time run in the order of scheduling. */
struct event {
	int64_t at;
	uint64_t order;
	std::function<void()> run;
};

/* State of the simulation: true time, scheduled events and fault choices. */
struct simulation {
	ks_test_clock_t clock;
	std::vector<event> events;
	uint64_t order = 0;
	choices faults;

	explicit simulation(std::vector<uint8_t> fault_choices)
	{
		ks_test_clock_init(&clock, 1000000 * SEC);
		faults.values = std::move(fault_choices);
	}
	int64_t now() const
	{
		return clock.time_us;
	}
	/* Schedules an event. */
	void schedule(int64_t when, std::function<void()> run)
	{
		events.push_back({ when, order++, std::move(run) });
	}
	/* Returns the time of the next event, or INT64_MAX. */
	int64_t next_time() const
	{
		int64_t next = INT64_MAX;

		for (const auto &e : events)
			next = std::min(next, e.at);
		return next;
	}
	/* Runs the events that are due, in order of time. */
	void run_due()
	{
		for (;;) {
			size_t first = events.size();

			for (size_t i = 0; i < events.size(); i++) {
				if (events[i].at > now())
					continue;
				if (first == events.size() ||
				    std::tie(events[i].at, events[i].order) <
					    std::tie(events[first].at,
						     events[first].order))
					first = i;
			}
			if (first == events.size())
				return;
			auto run = std::move(events[first].run);
			events.erase(events.begin() + (long)first);
			run();
		}
	}
};

/*
 * Row of the store; at is the time of its last write, version the number of
 * that write.
 */
struct stored {
	std::string etag;
	std::string value;
	int64_t at = 0;
	uint64_t version = 0;
};

/* Copy of a ks_store_write_t. */
struct write {
	std::string key, etag, value;
	bool unconditional, check_only, remove;
};

/* What the store had at a time. */
struct store_copy {
	int64_t at;
	std::map<std::string, stored> rows;
	std::map<std::string, std::string> objects;
	uint64_t next_etag;
};

/*
 * Rows and objects of the store, shared by all processes. It tells its era, and
 * may return from an older copy, if the era is not 0. Etags are then given out
 * again.
 */
struct table {
	std::map<std::string, stored> rows;
	std::map<std::string, std::string> objects;
	uint64_t next_etag = 1;
	uint64_t era = 0;
	std::vector<store_copy> copies;
	unsigned writes = 0;
	const ks_test_clock_t *clock = nullptr;

	bool allows(const write &w) const
	{
		auto it = rows.find(w.key);

		return w.unconditional ||
		       (it == rows.end() ? w.etag.empty()
					 : it->second.etag == w.etag);
	}
	/* Keeps a copy of the present contents, to which it may go back. */
	void copy()
	{
		if (era)
			copies.push_back({ clock ? clock->time_us : 0, rows,
					   objects, next_etag });
	}
	/* Returns with what it had at a time. */
	void go_back_to(int64_t at)
	{
		era++;
		while (copies.size() > 1 && copies.back().at > at)
			copies.pop_back();
		if (copies.empty() || copies.back().at > at) {
			rows.clear();
			objects.clear();
			next_etag = 1;
			return;
		}
		rows = copies.back().rows;
		objects = copies.back().objects;
		next_etag = copies.back().next_etag;
	}
	/*
	 * Applies all writes, or none if a precondition fails. Returns the
	 * index of the first write whose precondition failed, or -1.
	 */
	int apply(const std::vector<write> &writes_in,
		  std::vector<std::string> *etags)
	{
		for (size_t i = 0; i < writes_in.size(); i++) {
			if (!allows(writes_in[i]))
				return (int)i;
		}
		for (const auto &w : writes_in) {
			if (w.remove) {
				rows.erase(w.key);
				etags->push_back("");
				continue;
			}
			if (!w.check_only) {
				rows[w.key] = { "e" + std::to_string(next_etag),
						w.value,
						clock ? clock->time_us : 0,
						next_etag };
				next_etag++;
				writes++;
			}
			etags->push_back(rows[w.key].etag);
		}
		copy();
		return -1;
	}
};

/*
 * One process's client of the store, which implements ks_store_t. Responses
 * wait in @inbox until the process runs.
 */
struct store {
	simulation *env;
	table *t;
	ks_store_t iface;
	std::vector<std::function<void()>> inbox;
	unsigned in_flight = 0;
	unsigned writes_sent = 0;
	/* As for the real client: era of the responses, and who is told. */
	uint64_t era = 0;
	bool answered = false;
	std::function<void()> returned;

	store(simulation *env_in, table *table_in) : env(env_in), t(table_in)
	{
		iface.get = get;
		iface.list = list;
		iface.write = write_one;
		iface.transact = transact;
		iface.remove_prefix = remove_prefix;
		iface.object_get = object_get;
		iface.object_put = object_put;
		iface.impl = this;
	}
	/* Calls the callbacks of all responses received. */
	void deliver()
	{
		while (!inbox.empty()) {
			auto run = std::move(inbox.front());

			inbox.erase(inbox.begin());
			in_flight--;
			run();
		}
	}

	/*
	 * Delays of an operation's effect and response. If @is_forced, the
	 * process sees the outcome @forced instead of the real one.
	 */
	struct timing {
		int64_t effect, response;
		ks_store_outcome_t forced;
		bool is_forced, no_effect;
	};
	timing draw()
	{
		switch (env->faults.draw(N_FAULTS)) {
		case FAULT_LOST_AFTER_EFFECT:
			return { 1 * MS, 100 * MS, KS_STORE_UNKNOWN, true,
				 false };
		case FAULT_DELAYED_PAST_CALLER:
			return { 3 * SEC, 100 * MS, KS_STORE_UNKNOWN, true,
				 false };
		case FAULT_LONG_DELAYED:
			return { 40 * SEC, 100 * MS, KS_STORE_UNKNOWN, true,
				 false };
		case FAULT_DOWN:
			return { 0, 5 * MS, KS_STORE_UNREACHABLE, true, true };
		case FAULT_LOST_BEFORE_EFFECT:
			return { 0, 100 * MS, KS_STORE_UNKNOWN, true, true };
		case FAULT_SLOW_EFFECT:
			return { 2 * SEC, 2 * SEC + MS, KS_STORE_DONE, false,
				 false };
		case FAULT_SLOW_RESPONSE:
			return { 1 * MS, 4 * SEC, KS_STORE_DONE, false, false };
		default:
			return { 1 * MS, 2 * MS, KS_STORE_DONE, false, false };
		}
	}
	struct result {
		ks_store_outcome_t outcome = KS_STORE_DONE;
		int failed = -1;
		std::vector<std::string> keys, etags, values;
		uint64_t era = 0, version = 0;
	};
	/* Returns whether a response may be used, and notes its era. */
	bool check_era(const result &r, uint64_t sent, bool was_answered)
	{
		if (r.era < era)
			return false;
		if (r.era > era) {
			era = r.era;
			if (answered && returned)
				returned();
		}
		answered = true;
		return !was_answered || sent == r.era;
	}
	/* Tags are kept with their era, and match no row in another one. */
	std::string add_era(const std::string &etag) const
	{
		return era && !etag.empty() ? std::to_string(era) + "." + etag
					    : etag;
	}
	std::string remove_era(const std::string &etag) const
	{
		std::string prefix = std::to_string(era) + ".";

		if (!era || etag.empty())
			return etag;
		return etag.rfind(prefix, 0) == 0 ? etag.substr(prefix.size())
						  : "none";
	}
	/*
	 * Starts an operation: @effect changes or reads the table at one time,
	 * and @respond calls the callback in the process at a later time.
	 */
	void start(std::function<void(result *)> effect,
		   std::function<void(const result &)> respond)
	{
		timing timing = draw();
		auto res = std::make_shared<result>();
		int64_t now = env->now();
		uint64_t sent = era;
		bool was_answered = answered;

		in_flight++;
		if (!timing.no_effect)
			env->schedule(now + timing.effect, [this, res, effect] {
				res->era = t->era;
				effect(res.get());
			});
		env->schedule(now + timing.response, [this, res, respond,
						      timing, sent,
						      was_answered] {
			result final = *res;

			if (timing.is_forced)
				final.outcome = timing.forced;
			inbox.push_back([this, respond, final, timing, sent,
					 was_answered] {
				result seen = final;

				if (!timing.is_forced &&
				    !check_era(seen, sent, was_answered))
					seen.outcome = KS_STORE_UNKNOWN;
				for (auto &etag : seen.etags)
					etag = add_era(etag);
				respond(seen);
			});
		});
	}
	static store *self(void *impl)
	{
		return static_cast<store *>(impl);
	}
	static void respond_row(const result &r, ks_store_row_func_t func,
				void *ctx)
	{
		ks_row_t row = {};

		if (r.outcome != KS_STORE_DONE) {
			func(ctx, r.outcome, nullptr);
			return;
		}
		row.key = view(r.keys[0]);
		row.etag = view(r.etags[0]);
		row.value = view(r.values[0]);
		row.era = r.era;
		row.version = r.version;
		func(ctx, r.outcome, &row);
	}
	static void respond_rows(const result &r, ks_store_rows_func_t func,
				 void *ctx)
	{
		std::vector<ks_row_t> rows;

		if (r.outcome != KS_STORE_DONE) {
			func(ctx, r.outcome, nullptr, 0, r.failed);
			return;
		}
		for (size_t i = 0; i < r.keys.size(); i++)
			rows.push_back({ view(r.keys[i]), view(r.etags[i]),
					 view(r.values[i]), r.era, 0 });
		func(ctx, r.outcome, rows.data(), rows.size(), -1);
	}
	static void get(void *impl, ks_str_t key, ks_store_row_func_t func,
			void *ctx)
	{
		table *t = self(impl)->t;
		std::string k = text(key);

		self(impl)->start(
			[t, k](result *r) {
				auto it = t->rows.find(k);

				r->keys = { k };
				r->etags = { "" };
				r->values = { "" };
				if (it == t->rows.end())
					return;
				r->etags = { it->second.etag };
				r->values = { it->second.value };
				r->version = it->second.version;
			},
			[func, ctx](const result &r) {
				respond_row(r, func, ctx);
			});
	}
	static void list(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
			 void *ctx)
	{
		table *t = self(impl)->t;
		std::string p = text(prefix);

		self(impl)->start(
			[t, p](result *r) {
				for (const auto &row : t->rows) {
					if (row.first.rfind(p, 0) != 0)
						continue;
					r->keys.push_back(row.first);
					r->etags.push_back(row.second.etag);
					r->values.push_back(row.second.value);
				}
			},
			[func, ctx](const result &r) {
				respond_rows(r, func, ctx);
			});
	}
	write copy(const ks_store_write_t *w) const
	{
		return { text(w->key),	 remove_era(text(w->etag)),
			 text(w->value), w->unconditional,
			 w->check_only,	 w->remove };
	}
	static void apply(table *t, const std::vector<write> &writes, result *r)
	{
		r->version = t->next_etag;
		r->failed = t->apply(writes, &r->etags);
		if (r->failed >= 0)
			r->outcome = KS_STORE_REFUSED;
		for (const auto &w : writes) {
			r->keys.push_back(w.key);
			r->values.push_back("");
		}
	}
	static void write_one(void *impl, const ks_store_write_t *w,
			      ks_store_row_func_t func, void *ctx)
	{
		table *t = self(impl)->t;
		std::vector<write> writes = { self(impl)->copy(w) };

		self(impl)->writes_sent++;
		self(impl)->start(
			[t, writes](result *r) { apply(t, writes, r); },
			[func, ctx](const result &r) {
				respond_row(r, func, ctx);
			});
	}
	static void transact(void *impl, const ks_store_write_t *w, size_t n,
			     ks_store_rows_func_t func, void *ctx)
	{
		table *t = self(impl)->t;
		std::vector<write> writes;

		for (size_t i = 0; i < n; i++)
			writes.push_back(self(impl)->copy(&w[i]));
		self(impl)->writes_sent++;
		self(impl)->start(
			[t, writes](result *r) { apply(t, writes, r); },
			[func, ctx](const result &r) {
				respond_rows(r, func, ctx);
			});
	}
	static void remove_prefix(void *impl, ks_str_t prefix,
				  ks_store_row_func_t func, void *ctx)
	{
		table *t = self(impl)->t;
		std::string p = text(prefix);

		self(impl)->start(
			[t, p](result *r) {
				auto it = t->rows.lower_bound(p);

				while (it != t->rows.end() &&
				       it->first.rfind(p, 0) == 0)
					it = t->rows.erase(it);
				r->keys = r->etags = r->values = { "" };
			},
			[func, ctx](const result &r) {
				respond_row(r, func, ctx);
			});
	}
	static void object_get(void *impl, ks_str_t name,
			       ks_store_row_func_t func, void *ctx)
	{
		table *t = self(impl)->t;
		std::string n = text(name);

		self(impl)->start(
			[t, n](result *r) {
				auto it = t->objects.find(n);
				bool found = it != t->objects.end();

				r->keys = { n };
				r->etags = { found ? "o" : "" };
				r->values = { found ? it->second : "" };
			},
			[func, ctx](const result &r) {
				respond_row(r, func, ctx);
			});
	}
	static void object_put(void *impl, ks_str_t name, ks_str_t body,
			       ks_store_row_func_t func, void *ctx)
	{
		table *t = self(impl)->t;
		std::string n = text(name), b = text(body);

		self(impl)->start(
			[t, n, b](result *r) {
				t->objects[n] = b;
				r->keys = { n };
				r->etags = { "o" };
				r->values = { "" };
			},
			[func, ctx](const result &r) {
				respond_row(r, func, ctx);
			});
	}
};

/*
 * Returns the event loop of a process, which later simulations reuse, as h2o
 * cannot free loops.
 */
inline ks_loop_t *loop_at(size_t index, simulation *env)
{
	static auto &loops = *new std::vector<ks_loop_t *>;

	while (loops.size() <= index) {
		loops.push_back(new ks_loop_t);
		ks_loop_init(loops.back(), &env->clock.clock);
	}
	loops[index]->clock = &env->clock.clock;
	return loops[index];
}

/*
 * Simulated process: event loop and store client. A paused process runs neither
 * callbacks nor timers, as if it were descheduled.
 */
struct process {
	simulation *env;
	ks_loop_t *loop;
	store db;
	ks_rng_t rng;
	int64_t paused_until = 0;

	process(size_t index, simulation *env_in, table *t)
	    : env(env_in), loop(loop_at(index, env_in)), db(env_in, t)
	{
		ks_rng_init(&rng, (uint32_t)index + 1);
	}
	~process()
	{
		ks_rng_deinit(&rng);
	}
	process(const process &) = delete;
	process &operator=(const process &) = delete;

	bool paused() const
	{
		return env->now() < paused_until;
	}
	int64_t next_time() const
	{
		int64_t next = INT64_MAX;

		if (loop->timers->len > 0)
			next = ((ks_timer_t *)g_ptr_array_index(loop->timers,
								0))
				       ->due_us;
		if (!db.inbox.empty())
			next = env->now();
		return std::max(next, paused_until);
	}
	/* Delivers responses first, as a loop handles sockets before timers. */
	void run()
	{
		if (paused())
			return;
		db.deliver();
		ks_loop_run_once(loop, 0);
	}
};

/*
 * Runs the events and the processes until the time @end. Calls @check after
 * each run of a process.
 */
inline void run_until(simulation *env, const std::vector<process *> &processes,
		      int64_t end, const std::function<void()> &check = nullptr)
{
	while (env->now() < end) {
		int64_t next = env->next_time();

		for (process *p : processes)
			next = std::min(next, p->next_time());
		next = std::max(next, env->now());
		if (next > end)
			next = end;
		env->clock.time_us = next;
		env->run_due();
		for (process *p : processes) {
			p->run();
			if (check)
				check();
		}
	}
}
} // namespace sim

#endif
