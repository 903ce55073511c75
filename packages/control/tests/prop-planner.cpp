/* Property tests of the planner in a simulation with a simulated clock. */
#include "ks/control.h"

#include <functional>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

const int64_t SEC = KS_USEC_PER_SEC;
const int64_t DWELL = 64 * SEC;
const int64_t CHANGE = 5 * SEC;
const ks_planner_options_t OPTIONS = { 2.0, CHANGE, DWELL, 5 * SEC };

struct Demand {
	double prefill, decode;
};

struct RoleChange {
	int64_t at;
	size_t engine;
	ks_engine_role_t from, to;
};

class Fleet
{
	ks_planner_t *planner = ks_planner_new(&OPTIONS);
	std::vector<std::string> names;
	std::vector<int64_t> changing_until;

      public:
	std::vector<ks_plan_engine_t> engines;
	std::vector<RoleChange> role_changes;
	size_t first_count[3];

	Fleet(int prefill, int decode, int both, int n_domains)
	{
		const int counts[] = { both, prefill, decode };
		size_t total = prefill + decode + both;

		for (size_t i = 0; i < total; i++)
			names.push_back("engine" + std::to_string(i));
		for (int role = 0; role < 3; role++) {
			first_count[role] = counts[role];
			for (int i = 0; i < counts[role]; i++)
				add(static_cast<ks_engine_role_t>(role),
				    n_domains);
		}
		changing_until.assign(total, -1);
	}
	Fleet(const Fleet &) = delete;
	~Fleet()
	{
		ks_planner_free(planner);
	}

	void add(ks_engine_role_t role, int n_domains)
	{
		static const char *const domains[] = { "d0", "d1", "d2", "d3" };
		size_t i = engines.size();

		engines.push_back({ ks_str_from(names[i].c_str()),
				    ks_str_from(domains[i % n_domains]), role,
				    true, false, 0 });
	}

	size_t count(ks_engine_role_t role) const
	{
		size_t n = 0;

		for (const auto &engine : engines)
			n += engine.role == role;
		return n;
	}

	const ks_planner_report_t *report() const
	{
		return ks_planner_report(planner);
	}

	bool decide(int64_t now, int64_t view, bool lease,
		    ks_plan_change_t *change)
	{
		return ks_planner_decide(planner, engines.data(),
					 engines.size(), view, lease, now,
					 change);
	}

	void apply(const ks_plan_change_t &change, int64_t now)
	{
		ks_plan_engine_t &engine = engines[change.engine];

		RC_ASSERT(engine.role == change.from);
		RC_ASSERT(change.from != change.to);
		RC_ASSERT(engine.ready && !engine.changing);
		for (const auto &other : engines)
			RC_ASSERT(!other.changing ||
				  !ks_str_equal(other.domain, engine.domain));
		if (!role_changes.empty())
			RC_ASSERT(now - role_changes.back().at >= DWELL);
		engine.role = change.to;
		engine.ready = false;
		engine.changing = true;
		changing_until[change.engine] = now + CHANGE;
		role_changes.push_back(
			{ now, change.engine, change.from, change.to });
		ks_planner_record_change(planner, engine.id, change.from,
					 change.to, now);
		for (int role = 0; role < 3; role++)
			RC_ASSERT((first_count[role] > 0) ==
				  (count(static_cast<ks_engine_role_t>(role)) >
				   0));
	}

	void step(int64_t now, Demand demand)
	{
		ks_plan_change_t change;

		for (size_t i = 0; i < engines.size(); i++)
			if (engines[i].changing && changing_until[i] <= now) {
				engines[i].changing = false;
				engines[i].ready = true;
			}
		ks_planner_observe(planner, demand.prefill, demand.decode, now);
		if (decide(now, now, true, &change))
			apply(change, now);
	}

	void run(int64_t from, int64_t to,
		 const std::function<Demand(int64_t)> &demand)
	{
		for (int64_t now = from; now < to; now += SEC)
			step(now, demand(now));
	}
};

Demand draw_demand(int engines)
{
	return { *rc::gen::inRange(0, 150 * engines) / 100.0,
		 *rc::gen::inRange(0, 150 * engines) / 100.0 };
}

/*
 * Guards against role changes that follow an oscillation of the demand: each
 * takes an engine out of service for seconds and is wrong half a period later.
 */
bool check_no_oscillation()
{
	return rc::check("no change is undone under a fast oscillation", [] {
		Fleet fleet(*rc::gen::inRange(1, 6), *rc::gen::inRange(1, 6),
			    *rc::gen::inRange(0, 3), 3);
		int size = (int)fleet.engines.size();
		Demand low = draw_demand(size), high = draw_demand(size);
		auto period = *rc::gen::inRange<int64_t>(2, DWELL / SEC + 1);
		auto duty = *rc::gen::inRange<int64_t>(1, 100);
		std::set<std::pair<int, int>> directions;

		fleet.run(0, 40 * DWELL, [&](int64_t now) {
			return now / SEC % period * 100 < duty * period ? high
									: low;
		});
		for (const RoleChange &role_change : fleet.role_changes) {
			RC_ASSERT(!directions.count(
				{ role_change.to, role_change.from }));
			directions.insert({ role_change.from, role_change.to });
		}
		RC_ASSERT(fleet.report()->undone == 0u);
		RC_ASSERT(fleet.report()->changes == fleet.role_changes.size());
	});
}

/*
 * Guards against a lasting step in demand that leads to a late change, to none
 * or to more than one.
 */
bool check_step()
{
	return rc::check("a sustained step leads to one change", [] {
		auto prefill = *rc::gen::inRange(2, 8);
		auto decode = *rc::gen::inRange(1, 8);
		auto percent = *rc::gen::inRange(60, 100);
		bool more_decode = *rc::gen::arbitrary<bool>();
		Fleet fleet(more_decode ? prefill : decode,
			    more_decode ? decode : prefill, 0, 3);
		Demand before = { 0.9 * prefill, 0.9 * decode };
		/* Afterwards the demand fits with one engine moved. */
		Demand after = { prefill - 1.0, decode + percent / 100.0 };
		int64_t ramp = *rc::gen::inRange<int64_t>(0, 3) * DWELL;

		if (!more_decode) {
			std::swap(before.prefill, before.decode);
			std::swap(after.prefill, after.decode);
		}
		fleet.run(0, 20 * DWELL, [&](int64_t now) {
			double part = now < 4 * DWELL ? 0
				      : ramp == 0     ? 1
						  : (double)(now - 4 * DWELL) /
							    (double)ramp;

			part = std::min(part, 1.0);
			return Demand{ before.prefill + part * (after.prefill -
								before.prefill),
				       before.decode + part * (after.decode -
							       before.decode) };
		});
		RC_ASSERT(fleet.role_changes.size() == 1u);
		RC_ASSERT(fleet.role_changes[0].at >= 4 * DWELL);
		RC_ASSERT(fleet.role_changes[0].at <=
			  4 * DWELL + ramp + 2 * DWELL);
	});
}

/*
 * Guards against changing the last engine of a role, and against giving an
 * engine a role that no other engine has, which it then could not leave.
 */
bool check_never_last()
{
	return rc::check("the set of roles in use does not change", [] {
		Fleet fleet(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4),
			    *rc::gen::inRange(0, 4), 4);
		int size = (int)fleet.engines.size() + 1;

		/* Fleet::apply() checks this after each change. */
		for (int i = 0; i < 10; i++) {
			Demand demand = draw_demand(size);

			fleet.run(i * 5 * DWELL, (i + 1) * 5 * DWELL,
				  [&](int64_t) { return demand; });
		}
	});
}

/* Guards against decisions without the lease or on a stale view. */
bool check_stale()
{
	return rc::check("no decision without lease and current view", [] {
		Fleet fleet(4, 4, 0, 4);
		auto age = *rc::gen::inRange<int64_t>(0, 20 * SEC);
		auto lease = *rc::gen::arbitrary<bool>();
		auto not_ready = *rc::gen::inRange<size_t>(0, 8);
		ks_plan_change_t change;
		int64_t now = 0;

		/* This demand justifies a change from the start. */
		for (; now < DWELL; now += SEC) {
			RC_ASSERT(!fleet.decide(now, now, true, &change));
			fleet.step(now, { 1, 7 });
		}
		RC_ASSERT(fleet.role_changes.empty());
		for (size_t i = 0; i < not_ready; i++)
			fleet.engines[i].ready = false;
		bool decided = fleet.decide(now, now - age, lease, &change);
		if (!lease || age > OPTIONS.stale_us || not_ready > 2)
			RC_ASSERT(!decided);
		else
			RC_ASSERT(decided);
	});
}

/* Guards against two concurrent changes in one failure domain. */
bool check_changing_domain()
{
	return rc::check("one change at a time in a failure domain", [] {
		Fleet fleet(4, 4, 0, 2);
		auto busy = *rc::gen::inRange<size_t>(0, 8);
		ks_plan_change_t change;
		int64_t now = 0;

		for (; now < DWELL; now += SEC)
			fleet.step(now, { 1, 7 });
		fleet.engines[busy].changing = true;
		if (fleet.decide(now, now, true, &change))
			RC_ASSERT(!ks_str_equal(
				fleet.engines[change.engine].domain,
				fleet.engines[busy].domain));
	});
}

/* Guards against a change whose gain is less than its cost. */
bool check_cost()
{
	return rc::check("a change must gain more than it costs", [] {
		ks_planner_options_t options = OPTIONS;
		options.role_change_cost = *rc::gen::inRange(0, 50);
		/*
		 * Gains the goodput of two engines for 64 s, for one
		 * engine out of service for 5 s.
		 */
		bool pays = 2 * 64 > 5 * options.role_change_cost;
		ks_planner_t *planner = ks_planner_new(&options);
		ks_plan_engine_t engines[4] = {};
		ks_plan_change_t change;

		for (int i = 0; i < 4; i++) {
			engines[i].domain = ks_str_from("d");
			engines[i].ready = true;
			engines[i].role =
				i < 3 ? KS_ROLE_PREFILL : KS_ROLE_DECODE;
		}
		for (int64_t now = 0; now <= DWELL; now += SEC)
			ks_planner_observe(planner, 2, 2, now);
		RC_ASSERT(ks_planner_decide(planner, engines, 4, DWELL, true,
					    DWELL, &change) == pays);
		ks_planner_free(planner);
	});
}

} // namespace

int main()
{
	bool ok = check_no_oscillation();

	ok = check_step() && ok;
	ok = check_never_last() && ok;
	ok = check_stale() && ok;
	ok = check_changing_domain() && ok;
	ok = check_cost() && ok;
	return ok ? 0 : 1;
}
