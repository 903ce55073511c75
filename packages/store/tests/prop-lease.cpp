/*
 * Property tests of leases: several processes compete for one lease while they
 * pause and restart, their clocks run at different rates, and the store delays,
 * refuses and loses writes.
 */
#include "sim.h"

#include <rapidcheck.h>

using namespace sim;

namespace
{
constexpr size_t N_HOLDERS = 3;
constexpr int64_t LIFETIME = 9 * SEC;
constexpr int64_t SETTLE_TIME = 600 * SEC;

struct holder {
	std::unique_ptr<process> proc;
	simulation *w = nullptr;
	/* Deviation of the boot-time clock in parts per thousand. */
	int clock_rate = 0;
	ks_clock_t boottime;
	ks_id_t incarnation;
	ks_lease_keeper_t *keeper = nullptr;
	unsigned n_restarts = 0;
	uint64_t last_fence = UINT64_MAX;
};

struct test_model {
	simulation w;
	table t;
	std::vector<std::unique_ptr<holder>> holders;
	uint64_t highest_fence = 0;
	bool has_fence = false;
	std::vector<std::string> violations;

	explicit test_model(std::vector<uint8_t> faults) : w(std::move(faults))
	{
	}
	~test_model()
	{
		for (auto &h : holders)
			ks_lease_keeper_free(h->keeper);
		w.clock.time_us += 3600 * SEC;
		w.run_due();
		for (auto &h : holders)
			h->proc->db.deliver();
	}
	std::vector<process *> processes()
	{
		std::vector<process *> list;

		for (auto &h : holders)
			list.push_back(h->proc.get());
		return list;
	}
	/*
	 * Compares what all holders, also paused ones, would answer now by
	 * their own clocks.
	 */
	void check()
	{
		unsigned held = 0;

		for (auto &h : holders) {
			if (!ks_lease_keeper_is_held(h->keeper))
				continue;
			uint64_t fence = ks_lease_keeper_fence(h->keeper);

			held++;
			if (has_fence && fence != h->last_fence &&
			    fence <= highest_fence)
				violations.push_back(
					"a fencing token was used again");
			h->last_fence = fence;
			has_fence = true;
			highest_fence = std::max(highest_fence, fence);
		}
		if (held > 1)
			violations.push_back("two holders of one lease");
	}
	void run_for(int64_t duration)
	{
		run_until(&w, processes(), w.now() + duration,
			  [this] { check(); });
	}
};

int64_t boot_now(void *ctx)
{
	auto *h = static_cast<holder *>(ctx);

	return h->w->now() / 1000 * (1000 + h->clock_rate);
}

void on_change(void *ctx, bool held)
{
	auto *h = static_cast<holder *>(ctx);

	/* The callback must agree with the state of the keeper. */
	RC_ASSERT(held == ks_lease_keeper_is_held(h->keeper));
}

void start_keeper(holder *h, uint32_t seed)
{
	ks_rng_t rng;

	ks_rng_init(&rng, seed);
	ks_id_generate_seeded(&h->incarnation, &rng);
	ks_rng_deinit(&rng);
	h->last_fence = UINT64_MAX;
	h->proc->db.answered = false;
	h->proc->db.era = 0;
	h->proc->db.returned = [h] { ks_lease_keeper_forget(h->keeper); };
	h->keeper = ks_lease_keeper_new(
		h->proc->loop, &h->proc->db.iface, &h->boottime, &h->proc->rng,
		"lease/test", &h->incarnation, LIFETIME, on_change, h);
}

void add_holder(test_model *m, size_t index, int clock_rate)
{
	auto h = std::make_unique<holder>();

	h->proc = std::make_unique<process>(index, &m->w, &m->t);
	h->w = &m->w;
	h->clock_rate = clock_rate;
	h->boottime = { boot_now, h.get() };
	start_keeper(h.get(), (uint32_t)index + 100);
	m->holders.push_back(std::move(h));
}

struct action {
	unsigned delay, kind, holder, arg;
};

void perform(test_model *m, const action &a)
{
	holder *h = m->holders[a.holder % N_HOLDERS].get();

	switch (a.kind) {
	case 8:
	case 9:
		m->t.go_back_to(m->w.now() - (int64_t)(a.arg % 40) * 750 * MS);
		break;
	case 0:
		h->proc->paused_until =
			m->w.now() + (1 + a.arg % 40) * 700 * MS;
		break;
	case 1:
		ks_lease_keeper_free(h->keeper);
		h->n_restarts++;
		h->proc->paused_until = 0;
		start_keeper(h,
			     (uint32_t)(100 + a.holder + 1000 * h->n_restarts));
		break;
	case 2:
		if (!h->proc->paused())
			ks_lease_keeper_set_wanted(h->keeper, false);
		break;
	default:
		if (!h->proc->paused())
			ks_lease_keeper_set_wanted(h->keeper, true);
		break;
	}
}

/*
 * Without faults, one of the processes that want the lease must hold it, and
 * after they stop wanting it, all must become idle and stop writing.
 */
void check_settled(test_model *m)
{
	unsigned held = 0;
	unsigned writes;

	m->w.faults.values.clear();
	for (auto &h : m->holders)
		ks_lease_keeper_set_wanted(h->keeper, true);
	m->run_for(SETTLE_TIME);
	for (auto &h : m->holders)
		held += ks_lease_keeper_is_held(h->keeper);
	RC_ASSERT(held == 1u);
	for (auto &h : m->holders)
		ks_lease_keeper_set_wanted(h->keeper, false);
	m->run_for(SETTLE_TIME);
	writes = m->t.writes;
	m->run_for(SETTLE_TIME);
	RC_ASSERT(m->t.writes == writes);
	for (auto &h : m->holders)
		RC_ASSERT(ks_lease_keeper_is_idle(h->keeper));
}

/* With @returns, the store goes back by up to 30 s at any moment. */
bool check_one_holder(const char *name, bool returns)
{
	return rc::check(name, [returns](const std::vector<uint8_t> &faults) {
		auto actions = *rc::gen::container<
			std::vector<action>>(rc::gen::build<action>(
			rc::gen::set(&action::delay, rc::gen::inRange(0u, 40u)),
			rc::gen::set(&action::kind,
				     rc::gen::inRange(0u, returns ? 10u : 8u)),
			rc::gen::set(&action::holder, rc::gen::inRange(0u, 3u)),
			rc::gen::set(&action::arg, rc::gen::inRange(0u, 40u))));
		auto rates = *rc::gen::container<std::vector<int>>(
			N_HOLDERS, rc::gen::element(-40, 0, 40));
		test_model m(faults);

		m.t.clock = &m.w.clock;
		m.t.era = returns;
		m.t.copy();
		for (size_t i = 0; i < N_HOLDERS; i++)
			add_holder(&m, i, rates[i]);
		for (const action &a : actions) {
			m.run_for(a.delay < 10 ? a.delay * 2 * MS
					       : (a.delay - 9) * 500 * MS);
			perform(&m, a);
		}
		m.run_for(60 * SEC);
		for (const auto &v : m.violations)
			RC_FAIL(v);
		check_settled(&m);
		for (const auto &v : m.violations)
			RC_FAIL(v);
	});
}

/*
 * Guards against taking over a lease that its holder still counts on: because
 * the observer's clock is fast, because the holder's clock is slow, or because
 * the holder counts from the response to its write.
 */
bool check_margin()
{
	return rc::check(
		"a lease is not taken over while its holder counts on it", [] {
			int64_t holder_rate = *rc::gen::elementOf(
				std::vector<int>{ -40, -20, 0, 20, 40 });
			int64_t observer_rate = *rc::gen::elementOf(
				std::vector<int>{ -40, -20, 0, 20, 40 });
			int64_t effect = *rc::gen::inRange(0, 200);
			int64_t seen = effect + *rc::gen::inRange(0, 200);
			int64_t response = effect + *rc::gen::inRange(0, 200);
			ks_id_t ids[2] = { { { 1 } }, { { 2 } } };
			ks_lease_t holder, observer;
			int64_t wait = 0;
			auto clock = [](int64_t ms, int64_t clock_rate) {
				return ms * (1000 + clock_rate);
			};

			ks_lease_init(&holder, &ids[0], LIFETIME);
			ks_lease_init(&observer, &ids[1], LIFETIME);
			ks_lease_observe(&holder, nullptr, KS_STR(""), 0);
			ks_lease_row_t row =
				*ks_lease_begin_write(&holder, true, 0);
			ks_lease_end_write(&holder, KS_STORE_DONE, KS_STR("1"),
					   clock(response, holder_rate));
			ks_lease_observe(&observer, &row, KS_STR("1"),
					 clock(seen, observer_rate));
			for (int64_t ms = seen; ms < 20000; ms += 10) {
				int64_t now = clock(ms, observer_rate);

				if (ks_lease_next(&observer, true, now,
						  &wait) != KS_LEASE_STEP_WRITE)
					continue;
				RC_ASSERT(!ks_lease_is_held(
					&holder, clock(ms, holder_rate)));
				break;
			}
			ks_lease_deinit(&holder);
			ks_lease_deinit(&observer);
		});
}

/* Guards against contents lost or changed by formatting and parsing. */
bool check_row_text()
{
	return rc::check(
		"a formatted lease row parses to the same row",
		[](uint32_t a, uint32_t b) {
			ks_lease_row_t row = {}, parsed = {};
			ks_rng_t rng;
			char *text;

			ks_rng_init(&rng, a);
			ks_id_generate_seeded(&row.holder, &rng);
			ks_rng_deinit(&rng);
			row.fence = a;
			row.serial = b;
			/* Shifted, as the product of both could overflow. */
			row.lifetime_us = (int64_t)a << 20 | (b & 0xfffff);
			text = ks_lease_row_encode(&row);
			RC_ASSERT(ks_lease_row_decode(&parsed,
						      ks_str_from(text)));
			RC_ASSERT(!ks_lease_row_decode(&row, { text, 5 }));
			g_free(text);
			RC_ASSERT(parsed.fence == row.fence);
			RC_ASSERT(parsed.serial == row.serial);
			RC_ASSERT(parsed.lifetime_us == row.lifetime_us);
			RC_ASSERT(ks_id_equal(&parsed.holder, &row.holder));
		});
}
} // namespace

int main()
{
	const char *name =
		"at most one process holds a lease by its own clock, "
		"and each acquisition has a higher fencing token";
	const char *returns = "the same if the store returns from older copies";

	return check_row_text() && check_margin() &&
			       check_one_holder(name, false) &&
			       check_one_holder(returns, true)
		       ? 0
		       : 1;
}
