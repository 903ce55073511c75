/*
 * Property tests of the ledger: several entry processes with pauses, restarts
 * and clock skew use a simulated store that loses, delays and refuses requests.
 */
#include "sim.h"

#include <rapidcheck.h>
#include <set>

using namespace sim;

namespace
{
constexpr int N_ENTRIES = 3;
constexpr int N_KEYS = 2;
constexpr int64_t SETTLED = 3600 * SEC;
/* A response too large for a row, so that it is stored as an object. */
constexpr size_t LARGE = KS_CLAIM_MAX_INLINE + 1;

struct model;

struct entry_process {
	std::unique_ptr<process> proc;
	ks_test_clock_t wall;
	int64_t skew = 0;
	ks_clock_t wall_clock;
	ks_id_t incarnation;
	ks_ledger_t *ledger = nullptr;
	model *m = nullptr;
	unsigned generation = 0;
};

/* A request and the events that its owner received. */
struct request {
	model *m;
	size_t index, process;
	unsigned generation;
	int key, body;
	int64_t deadline;
	ks_id_t id;
	ks_ledger_record_t *record = nullptr;
	unsigned dispatches = 0;
	bool ended = false, told_not_run = false, owner_done = false;
	ks_error_kind_t kind = KS_ERROR_NONE;
	std::string replay;
};

/* An attempt that reached the upstream. */
struct run {
	size_t request;
	uint32_t attempt;
	bool not_run;
	std::string answer;
};

struct model {
	simulation w;
	table t;
	choices ends;
	std::vector<std::unique_ptr<entry_process>> entries;
	std::vector<std::unique_ptr<request>> requests;
	std::map<int, std::vector<run>> runs;
	std::vector<std::string> violations;

	model(std::vector<uint8_t> faults, std::vector<uint8_t> end_choices)
	    : w(std::move(faults))
	{
		ends.values = std::move(end_choices);
	}
	~model()
	{
		for (auto &e : entries)
			ks_ledger_free(e->ledger);
		/* Deliver late responses after their ledger was freed. */
		w.clock.time_us += 3600 * SEC;
		w.run_due();
		for (auto &e : entries)
			e->proc->db.deliver();
	}
	std::vector<process *> processes()
	{
		std::vector<process *> list;

		for (auto &e : entries)
			list.push_back(e->proc.get());
		return list;
	}
	void violated(const std::string &what)
	{
		violations.push_back(what);
	}
};

int64_t wall_now(void *ctx)
{
	auto *e = static_cast<entry_process *>(ctx);

	return e->m->w.now() + e->skew;
}

void start_ledger(entry_process *e, uint32_t seed)
{
	ks_rng_t rng;

	ks_rng_init(&rng, seed);
	ks_id_generate_seeded(&e->incarnation, &rng);
	ks_rng_deinit(&rng);
	e->ledger =
		ks_ledger_new(e->proc->loop, &e->proc->db.iface, &e->wall_clock,
			      &e->proc->rng, &e->incarnation);
}

void add_entry(model *m, size_t index, int64_t skew)
{
	auto e = std::make_unique<entry_process>();

	e->proc = std::make_unique<process>(index, &m->w, &m->t);
	e->m = m;
	e->skew = skew;
	e->wall_clock = { wall_now, e.get() };
	start_ledger(e.get(), (uint32_t)index + 100);
	m->entries.push_back(std::move(e));
}

bool is_alive(const request *r)
{
	return r->m->entries[r->process]->generation == r->generation;
}

/* Reports the end of an attempt to the ledger, unless its process restarted. */
void end_request(request *r, size_t run_index, unsigned how)
{
	if (!is_alive(r) || r->owner_done)
		return;
	run &done = r->m->runs[r->key][run_index];

	r->owner_done = true;
	switch (how) {
	case 1:
		done.not_run = true;
		ks_ledger_not_run(r->record);
		break;
	case 2:
		ks_ledger_unknown(r->record);
		break;
	case 3:
		ks_ledger_abandon(r->record);
		break;
	default:
		ks_ledger_done(r->record, 200, KS_STR("text/plain"),
			       view(done.answer));
		break;
	}
}

void on_dispatch(void *ctx, uint32_t attempt)
{
	auto *r = static_cast<request *>(ctx);
	model *m = r->m;
	auto &runs = m->runs[r->key];
	std::string name = "request " + std::to_string(r->index);

	for (const run &earlier : runs) {
		if (!earlier.not_run)
			m->violated("key dispatched twice by " + name);
		if (earlier.attempt >= attempt)
			m->violated("attempt used again by " + name);
	}
	if (r->dispatches++ > 0)
		m->violated("two dispatches of " + name);
	if (r->ended)
		m->violated("dispatch after the last event of " + name);
	if (m->w.now() >= r->deadline)
		m->violated("dispatch after the deadline of " + name);
	unsigned how = m->ends.draw(5);
	std::string answer = "answer to " + name;

	if (m->ends.draw(4) == 1)
		answer.resize(LARGE, 'x');
	runs.push_back({ r->index, attempt, false, answer });
	size_t index = runs.size() - 1;
	int64_t delay = (int64_t)m->ends.draw(4) * 1500 * MS;

	if (how == 4)
		return; /* The attempt never ends. */
	m->w.schedule(m->w.now() + delay, [r, index, how] {
		process *p = r->m->entries[r->process]->proc.get();

		p->db.in_flight++;
		p->db.inbox.push_back(
			[r, index, how] { end_request(r, index, how); });
	});
}

void on_replay(void *ctx, int status, ks_str_t type, ks_str_t body)
{
	auto *r = static_cast<request *>(ctx);
	model *m = r->m;
	bool found = false;

	if (r->ended || r->dispatches)
		m->violated("replay after another event");
	r->ended = true;
	for (const run &run : m->runs[r->key]) {
		if (!run.not_run && run.answer == text(body) &&
		    m->requests[run.request]->body == r->body)
			found = true;
	}
	if (!found || status != 200 || text(type) != "text/plain")
		m->violated("replay of an answer that no run gave");
}

void on_fail(void *ctx, ks_error_kind_t kind)
{
	auto *r = static_cast<request *>(ctx);

	if (r->ended || r->dispatches)
		r->m->violated("failure after another event");
	r->ended = true;
	r->kind = kind;
}

const ks_ledger_events_t ledger_events = { on_dispatch, on_replay, on_fail };

void begin(model *m, size_t process, int key, int body, int64_t timeout)
{
	auto r = std::make_unique<request>();
	entry_process *e = m->entries[process].get();
	std::string text_key = "key-" + std::to_string(key);
	std::string text_body = "body-" + std::to_string(body);
	uint8_t fingerprint[KS_FINGERPRINT_SIZE];
	/* Duplicates carry the same issue time, so it is fixed. */
	ks_idempotency_key_t k = { view(text_key), 999990 * SEC };
	ks_rng_t rng;

	r->m = m;
	r->index = m->requests.size();
	r->process = process;
	r->generation = e->generation;
	r->key = key;
	r->body = body;
	r->deadline = m->w.now() + timeout;
	ks_rng_init(&rng, (uint32_t)r->index + 1000);
	ks_id_generate_seeded(&r->id, &rng);
	ks_rng_deinit(&rng);
	ks_claim_fingerprint(fingerprint, KS_STR("POST"), KS_STR("/pay"),
			     view(text_body));
	r->record = ks_ledger_begin(e->ledger, &k, KS_STR("shop"), fingerprint,
				    &r->id, timeout, &ledger_events, r.get());
	m->requests.push_back(std::move(r));
}

void restart(model *m, size_t process)
{
	entry_process *e = m->entries[process].get();

	ks_ledger_free(e->ledger);
	e->generation++;
	e->proc->paused_until = 0;
	start_ledger(e, (uint32_t)(process + 100 + 1000 * e->generation));
}

struct action {
	unsigned delay, kind, process, arg;
};

void perform(model *m, const action &a)
{
	size_t process = a.process % N_ENTRIES;
	entry_process *e = m->entries[process].get();

	switch (a.kind) {
	case 8:
		m->t.go_back_to(m->w.now() - (int64_t)(a.arg % 40) * 750 * MS);
		break;
	case 0:
		e->proc->paused_until =
			m->w.now() + (1 + a.arg % 40) * 500 * MS;
		break;
	case 1:
		restart(m, process);
		break;
	default:
		if (e->proc->paused())
			break;
		begin(m, process, (int)(a.arg % N_KEYS),
		      a.arg % 11 == 10 ? 1 : 0,
		      (1 + a.arg / N_KEYS % 5) * 1000 * MS);
		break;
	}
}

void check_ended(model *m)
{
	for (const auto &r : m->requests) {
		if (is_alive(r.get()))
			RC_ASSERT(r->ended || r->dispatches);
		/* A key must not run again with a different body. */
		for (const run &run : m->runs[r->key])
			RC_ASSERT(run.request == r->index ||
				  m->requests[run.request]->body == r->body ||
				  r->dispatches == 0 || run.not_run);
	}
}

/* After all operations, only attempts that never ended keep their record. */
void check_idle(model *m)
{
	for (size_t i = 0; i < N_ENTRIES; i++) {
		bool running = false;

		for (const auto &r : m->requests)
			running |= r->process == i && is_alive(r.get()) &&
				   r->dispatches && !r->owner_done;
		RC_ASSERT(ks_ledger_is_idle(m->entries[i]->ledger) != running);
	}
}

/*
 * The store tells its era, and the first one began long before the keys were
 * issued, so that these are dispatched until it returns from an older copy.
 */
void start_eras(model *m)
{
	m->t.clock = &m->w.clock;
	m->t.era = 1;
	m->t.rows["era/1"] = { "e0", std::to_string(990000 * SEC) };
	m->t.copy();
}

/* With @returns, the store goes back by up to 30 s at any moment. */
bool check_at_most_once(const char *name, bool returns)
{
	return rc::check(name, [returns](const std::vector<uint8_t> &faults,
					 const std::vector<uint8_t> &ends) {
		auto actions = *rc::gen::container<
			std::vector<action>>(rc::gen::build<action>(
			rc::gen::set(&action::delay, rc::gen::inRange(0u, 40u)),
			rc::gen::set(&action::kind,
				     rc::gen::inRange(0u, returns ? 9u : 8u)),
			rc::gen::set(&action::process,
				     rc::gen::inRange(0u, 3u)),
			rc::gen::set(&action::arg, rc::gen::inRange(0u, 40u))));
		auto skews = *rc::gen::container<std::vector<int>>(
			N_ENTRIES, rc::gen::inRange(-30, 31));
		model m(faults, ends);

		if (returns)
			start_eras(&m);
		for (size_t i = 0; i < N_ENTRIES; i++)
			add_entry(&m, i, skews[i] * SEC);
		for (const action &a : actions) {
			/* Short and long delays between the actions. */
			int64_t gap = a.delay < 20 ? a.delay * 2 * MS
						   : (a.delay - 19) * 700 * MS;

			run_until(&m.w, m.processes(), m.w.now() + gap);
			perform(&m, a);
		}
		m.w.faults.values.clear();
		run_until(&m.w, m.processes(), m.w.now() + SETTLED);
		/*
		 * A late duplicate of each key, after all operations.
		 */
		for (int key = 0; key < N_KEYS; key++)
			begin(&m, 0, key, 0, 5 * SEC);
		run_until(&m.w, m.processes(), m.w.now() + SETTLED);
		for (const auto &v : m.violations)
			RC_FAIL(v);
		check_ended(&m);
		check_idle(&m);
	});
}
/* Guards against one write per claim, which would overload the store. */
bool check_grouping()
{
	return rc::check("claims that wait at the same time share a write", [] {
		int count = *rc::gen::inRange(1, 200);
		model m({}, {});

		add_entry(&m, 0, 0);
		for (int key = 0; key < count; key++)
			begin(&m, 0, key, 0, 5 * SEC);
		run_until(&m.w, m.processes(), m.w.now() + MS / 2);
		RC_ASSERT(m.entries[0]->proc->db.writes_sent ==
			  (unsigned)(count + 63) / 64);
		run_until(&m.w, m.processes(), m.w.now() + SEC);
		for (const auto &r : m.requests)
			RC_ASSERT(r->dispatches == 1u);
	});
}

/*
 * Guards against a duplicate key that fails the other claims of its
 * transaction.
 */
bool check_split()
{
	return rc::check("a duplicate does not fail the rest of its group", [] {
		int count = *rc::gen::inRange(2, 40);
		int duplicate = *rc::gen::inRange(0, count);
		model m({}, { 4 });

		for (size_t i = 0; i < 2; i++)
			add_entry(&m, i, 0);
		begin(&m, 1, duplicate, 0, 5 * SEC);
		run_until(&m.w, m.processes(), m.w.now() + SEC);
		for (int key = 0; key < count; key++)
			begin(&m, 0, key, 0, 5 * SEC);
		run_until(&m.w, m.processes(), m.w.now() + SEC);
		for (const auto &r : m.requests) {
			bool joins = r->process == 0 && r->key == duplicate;

			RC_ASSERT(r->dispatches == (joins ? 0u : 1u));
		}
		run_until(&m.w, m.processes(), m.w.now() + 10 * SEC);
		RC_ASSERT(m.requests[(size_t)duplicate + 1]->kind ==
			  KS_ERROR_IN_PROGRESS);
	});
}

/*
 * Guards against "not run" while an earlier request with the key may have run.
 */
bool check_store_outage()
{
	return rc::check("a store outage prevents runs and is reported", [] {
		bool row_exists = *rc::gen::arbitrary<bool>();
		model m({}, { 4 });

		for (size_t i = 0; i < 2; i++)
			add_entry(&m, i, 0);
		if (row_exists) {
			begin(&m, 1, 0, 0, 60 * SEC);
			run_until(&m.w, m.processes(), m.w.now() + SEC);
		}
		begin(&m, 0, 0, 0, 5 * SEC);
		if (row_exists)
			run_until(&m.w, m.processes(), m.w.now() + SEC);
		m.w.faults.values.assign(1000, FAULT_DOWN);
		run_until(&m.w, m.processes(), m.w.now() + 10 * SEC);
		RC_ASSERT(m.requests.back()->dispatches == 0u);
		RC_ASSERT(m.requests.back()->kind ==
			  (row_exists ? KS_ERROR_IN_PROGRESS
				      : KS_ERROR_STORE_UNAVAILABLE));
	});
}

/*
 * Guards against keeping expired claims and against deleting claims too early.
 */
bool check_sweep()
{
	return rc::check("claims are removed once their retention is over", [] {
		int64_t age = *rc::gen::inRange(0, 70);
		model m({}, {});
		int64_t hour = ks_claim_hour(m.w.now()) - age;
		std::string key = "claim/" + std::to_string(hour) + "/t/k";

		add_entry(&m, 0, 0);
		m.t.rows[key] = { "e", "" };
		run_until(&m.w, m.processes(), m.w.now() + 3600 * SEC);
		if (age < 25)
			RC_ASSERT(m.t.rows.count(key) == 1u);
		if (age >= 26)
			RC_ASSERT(m.t.rows.count(key) == 0u);
	});
}
} // namespace

int main()
{
	bool ok = check_grouping();

	ok = check_split() && ok;
	ok = check_store_outage() && ok;
	ok = check_sweep() && ok;
	ok = check_at_most_once("a key is dispatched at most once for each "
				"attempt that is not marked as not run",
				false) &&
	     ok;
	ok = check_at_most_once("the same if the store returns from older "
				"copies",
				true) &&
	     ok;
	return ok ? 0 : 1;
}
