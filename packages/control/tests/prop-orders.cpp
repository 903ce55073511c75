/*
 * Property test of the order driver in a simulation: processes are paused and
 * restarted, the store fails, and engines lose, delay and refuse orders.
 */
#include "sim.h"

#include <cstring>
#include <rapidcheck.h>

using namespace sim;

namespace
{
constexpr size_t N_ENGINES = 2;
constexpr int64_t LEASE = 12 * SEC;
constexpr int64_t CONVERGENCE_TIME = 400 * SEC;

enum order_fault {
	ORDER_QUICK,
	ORDER_SLOW,
	ORDER_LOST,
	ORDER_LATE,
	ORDER_REFUSED,
	ORDER_NOT_SENT,
	N_ORDER_FAULTS
};

struct model;

/*
 * A simulated engine, which checks fencing tokens, and its upstream process.
 * @generation counts restarts of the process.
 */
struct engine {
	model *m = nullptr;
	size_t index = 0;
	std::string name;
	std::unique_ptr<process> proc;
	ks_engine_t iface;
	ks_id_t incarnation;
	ks_order_driver_t *driver = nullptr;
	unsigned generation = 0;

	std::string loaded, version;
	std::vector<std::string> adapters;
	ks_engine_role_t role = KS_ROLE_BOTH;
	uint64_t fence = 0;
	uint64_t accepted_serial = 0, sent_serial = 0;
	bool busy = false;

	bool accepting = false, sending = false, observed = false;
	bool seen_model = false;
	unsigned in_flight = 0;
	unsigned orders_sent = 0;
};

struct model {
	simulation w;
	table t;
	choices order_faults;
	std::vector<std::unique_ptr<engine>> engines;
	std::vector<std::string> violations;

	model(std::vector<uint8_t> faults, std::vector<uint8_t> order_choices)
	    : w(std::move(faults))
	{
		t.clock = &w.clock;
		order_faults.values = std::move(order_choices);
	}
	~model()
	{
		for (auto &e : engines)
			ks_order_driver_free(e->driver);
		w.clock.time_us += 3600 * SEC;
		w.run_due();
		for (auto &e : engines)
			e->proc->db.deliver();
	}
	void report_violation(const engine *e, const std::string &what)
	{
		violations.push_back(e->name + ": " + what);
	}
	void run_for(int64_t duration)
	{
		std::vector<process *> list;

		for (auto &e : engines)
			list.push_back(e->proc.get());
		run_until(&w, list, w.now() + duration);
	}
	/*
	 * Whether, according to the store, the process of @e holds a lease for
	 * at least @time_us more. The lifetime counts from when the row was
	 * changed. The holder counts from before it sent the write, so by its
	 * own count the lease must expire earlier.
	 */
	bool has_lease(const engine *e, const std::string &key, int64_t time_us,
		       uint64_t *fence = nullptr)
	{
		ks_lease_row_t row;
		auto it = t.rows.find(key);

		if (it == t.rows.end() ||
		    !ks_lease_row_decode(&row, view(it->second.value)))
			return false;
		if (fence)
			*fence = row.fence;
		return ks_id_equal(&row.holder, &e->incarnation) &&
		       it->second.at + LEASE >= w.now() + time_us;
	}
	bool has_lease_with_prefix(const engine *e, const std::string &prefix,
				   int64_t time_us)
	{
		for (const auto &row : t.rows) {
			if (row.first.rfind(prefix, 0) == 0 &&
			    has_lease(e, row.first, time_us))
				return true;
		}
		return false;
	}
};

/*
 * Calls back in the process after a delay, also if it was restarted meanwhile:
 * a freed driver still gets the callbacks of its pending operations.
 */
void respond(engine *e, int64_t delay, std::function<void()> run)
{
	unsigned generation = e->generation;

	e->m->w.schedule(e->m->w.now() + delay, [e, generation, run] {
		e->proc->db.in_flight++;
		e->proc->db.inbox.push_back([e, generation, run] {
			(void)generation;
			run();
		});
	});
}

/* One in this many reads of the engine state fails. */
constexpr unsigned OBSERVE_LOST_ONE_IN = 8;

void observe(void *impl, ks_observe_func_t func, void *ctx)
{
	auto *e = static_cast<engine *>(impl);
	unsigned generation = e->generation;
	bool lost = e->m->order_faults.draw(OBSERVE_LOST_ONE_IN) == 1;

	respond(e, 2 * MS, [e, generation, lost, func, ctx] {
		ks_engine_state_t state = {};

		if (lost) {
			func(ctx, nullptr);
			return;
		}
		g_strlcpy(state.model, e->loaded.c_str(), sizeof(state.model));
		g_strlcpy(state.version, e->version.c_str(),
			  sizeof(state.version));
		state.adapters = g_ptr_array_new();
		for (auto &a : e->adapters)
			g_ptr_array_add(state.adapters, (void *)a.c_str());
		state.role = e->role;
		state.busy_with_order = e->busy;
		state.fence = e->fence;
		if (generation == e->generation) {
			e->observed = true;
			e->seen_model = !e->loaded.empty();
		}
		func(ctx, &state);
		g_ptr_array_free(state.adapters, TRUE);
	});
}

void apply(engine *e, const ks_order_t &order)
{
	switch (order.kind) {
	case KS_ORDER_LOAD_MODEL:
		e->loaded = order.name;
		e->version = order.version;
		break;
	case KS_ORDER_UNLOAD_MODEL:
		e->loaded.clear();
		e->adapters.clear();
		break;
	case KS_ORDER_LOAD_ADAPTER:
		e->adapters.push_back(order.name);
		break;
	case KS_ORDER_UNLOAD_ADAPTER:
		e->adapters.erase(std::remove(e->adapters.begin(),
					      e->adapters.end(),
					      std::string(order.name)),
				  e->adapters.end());
		break;
	case KS_ORDER_SET_ROLE:
		e->role = order.role;
		break;
	}
}

bool has_no_effect(const engine *e, const ks_order_t &order)
{
	bool has_adapter = std::count(e->adapters.begin(), e->adapters.end(),
				      order.name) > 0;

	switch (order.kind) {
	case KS_ORDER_LOAD_MODEL:
		return !e->loaded.empty();
	case KS_ORDER_UNLOAD_MODEL:
		return e->loaded != order.name || e->version != order.version;
	case KS_ORDER_LOAD_ADAPTER:
		return e->loaded.empty() || has_adapter;
	case KS_ORDER_UNLOAD_ADAPTER:
		return !has_adapter;
	case KS_ORDER_SET_ROLE:
		break;
	}
	return false;
}

/* Delivers an order to the engine. Returns whether it was accepted. */
bool deliver_order(engine *e, const ks_order_t &order, uint64_t serial,
		   int64_t takes)
{
	if (order.fence < e->fence || e->busy)
		return false;
	/* An order that arrives after its timeout may no longer apply. */
	if (has_no_effect(e, order))
		return false;
	e->fence = order.fence;
	if (serial < e->accepted_serial)
		e->m->report_violation(
			e, "an order was accepted after a newer one");
	e->accepted_serial = serial;
	e->busy = true;
	e->m->w.schedule(e->m->w.now() + takes, [e, order] {
		e->busy = false;
		apply(e, order);
	});
	return true;
}

/* Checks the preconditions of an order against the state of the simulation. */
void check_order(engine *e, const ks_order_t *order, int64_t timeout_us)
{
	model *m = e->m;
	uint64_t fence = 0;

	if (e->sending)
		m->report_violation(e, "order while another is pending");
	if (e->busy)
		m->report_violation(e, "order to a busy engine");
	if (!e->observed)
		m->report_violation(e, "order without a current observation");
	if (e->accepting || e->in_flight > 0)
		m->report_violation(e, "order with requests in flight");
	if (!m->has_lease(e, "lease/engine/" + e->name, timeout_us, &fence))
		m->report_violation(e, "order without the engine lease");
	if (fence != order->fence)
		m->report_violation(e, "order with an outdated fencing token");
	if (!m->has_lease_with_prefix(e, "lease/change/", timeout_us))
		m->report_violation(e, "order without a change slot");
	if ((order->kind == KS_ORDER_LOAD_MODEL ||
	     order->kind == KS_ORDER_LOAD_ADAPTER) &&
	    !m->has_lease_with_prefix(e, "lease/load/", timeout_us))
		m->report_violation(e, "load without a permit");
}

void send_order(void *impl, const ks_order_t *order_in, int64_t timeout_us,
		ks_order_func_t func, void *ctx)
{
	auto *e = static_cast<engine *>(impl);
	model *m = e->m;
	ks_order_t order = *order_in;
	uint64_t serial = ++e->sent_serial;
	unsigned generation = e->generation;
	unsigned fault = m->order_faults.draw(N_ORDER_FAULTS);

	check_order(e, order_in, timeout_us);
	e->orders_sent++;
	e->sending = true;
	e->observed = false;
	auto end = [e, generation, func, ctx](ks_order_outcome_t outcome) {
		if (generation == e->generation)
			e->sending = false;
		func(ctx, outcome);
	};
	switch (fault) {
	case ORDER_SLOW:
		deliver_order(e, order, serial, timeout_us + 7 * SEC);
		respond(e, timeout_us,
			[end] { end(KS_ORDER_OUTCOME_UNKNOWN); });
		break;
	case ORDER_LOST:
		respond(e, timeout_us,
			[end] { end(KS_ORDER_OUTCOME_UNKNOWN); });
		break;
	case ORDER_LATE:
		m->w.schedule(m->w.now() + timeout_us + 2500 * MS,
			      [e, order, serial] {
				      deliver_order(e, order, serial, 100 * MS);
			      });
		respond(e, timeout_us,
			[end] { end(KS_ORDER_OUTCOME_UNKNOWN); });
		break;
	case ORDER_REFUSED:
		respond(e, 5 * MS, [end] { end(KS_ORDER_REFUSED); });
		break;
	case ORDER_NOT_SENT:
		respond(e, 5 * MS, [end] { end(KS_ORDER_NOT_SENT); });
		break;
	default: {
		bool accepted = deliver_order(e, order, serial, 1 * SEC);

		respond(e, 1 * SEC + 2 * MS, [end, accepted] {
			end(accepted ? KS_ORDER_DONE : KS_ORDER_REFUSED);
		});
		break;
	}
	}
}

void on_accepting(void *ctx, bool accepting)
{
	auto *e = static_cast<engine *>(ctx);

	/* The model may have crashed since the observation. */
	if (accepting && !e->seen_model)
		e->m->report_violation(e, "accepts without a model");
	e->accepting = accepting;
}

void on_observed(void *ctx, const ks_engine_state_t *state)
{
	auto *e = static_cast<engine *>(ctx);

	if (!state)
		e->m->report_violation(
			e, "reports an observation without a state");
}

const ks_order_driver_events_t driver_events = { on_accepting, on_observed };

void start_order_driver(engine *e)
{
	ks_rng_t rng;

	ks_rng_init(&rng, (uint32_t)(100 + e->index + 1000 * e->generation));
	ks_id_generate_seeded(&e->incarnation, &rng);
	ks_rng_deinit(&rng);
	e->accepting = e->sending = e->observed = false;
	e->in_flight = 0;
	e->driver = ks_order_driver_new(
		e->proc->loop, &e->proc->db.iface, &e->iface,
		&e->m->w.clock.clock, &e->proc->rng, &e->incarnation,
		e->name.c_str(), LEASE, &driver_events, e);
}

void add_engine(model *m, size_t index)
{
	auto e = std::make_unique<engine>();

	e->m = m;
	e->index = index;
	e->name = "engine-" + std::to_string(index);
	e->proc = std::make_unique<process>(index, &m->w, &m->t);
	e->iface.observe = observe;
	e->iface.order = send_order;
	e->iface.impl = e.get();
	start_order_driver(e.get());
	m->engines.push_back(std::move(e));
}

/* A snapshot with only the two arrays that the driver reads. */
struct config {
	ks_snapshot_t snapshot = {};
	ks_model_t models[2] = {};
	ks_upstream_t upstreams[N_ENGINES] = {};
	std::string version;
	std::vector<std::string> names;

	config(unsigned number, unsigned which, bool adapter)
	    : version("v" + std::to_string(number))
	{
		static const char *const model_names[] = { "small", "large" };

		snapshot.version = number;
		snapshot.models = g_ptr_array_new();
		snapshot.upstreams = g_ptr_array_new();
		for (size_t i = 0; i < 2; i++) {
			models[i].name = (char *)model_names[i];
			models[i].version = (char *)version.c_str();
			models[i].adapters = g_ptr_array_new();
			if (adapter)
				g_ptr_array_add(models[i].adapters,
						(void *)"lora");
			g_ptr_array_add(snapshot.models, &models[i]);
		}
		for (size_t i = 0; i < N_ENGINES; i++)
			names.push_back("engine-" + std::to_string(i));
		for (size_t i = 0; i < N_ENGINES; i++) {
			upstreams[i].id = (char *)names[i].c_str();
			upstreams[i].domain = (char *)"zone";
			upstreams[i].model = (char *)model_names[which % 2];
			g_ptr_array_add(snapshot.upstreams, &upstreams[i]);
		}
	}
	~config()
	{
		for (auto &m : models)
			g_ptr_array_free(m.adapters, TRUE);
		g_ptr_array_free(snapshot.models, TRUE);
		g_ptr_array_free(snapshot.upstreams, TRUE);
	}
	config(const config &) = delete;
	config &operator=(const config &) = delete;
};

struct action {
	unsigned delay, kind, engine, arg;
};

std::ostream &operator<<(std::ostream &out, const action &a)
{
	return out << "{" << a.delay << "," << a.kind << "," << a.engine << ","
		   << a.arg << "}";
}

struct current {
	unsigned number = 1, which = 0, plan = 0;
	bool adapter = false;
	ks_engine_role_t role = KS_ROLE_BOTH;
};

void publish(model *m, const current &now)
{
	config c(now.number, now.which, now.adapter);

	for (auto &e : m->engines)
		ks_order_driver_set_snapshot(e->driver, &c.snapshot);
}

void publish_plan(model *m, current *now)
{
	std::string role = ks_engine_role_name(now->role);
	std::string value = "{\"number\":" + std::to_string(++now->plan) +
			    ",\"fence\":1,\"roles\":{";

	for (size_t i = 0; i < N_ENGINES; i++)
		value += (i ? ",\"" : "\"") + m->engines[i]->name + "\":\"" +
			 role + "\"";
	value += "}}";
	for (const char *key : { "plan/small", "plan/large" })
		m->t.rows[key] = { "p" + std::to_string(now->plan), value };
}

void start_request(engine *e, int64_t takes)
{
	unsigned generation = e->generation;

	if (!e->accepting || e->proc->paused())
		return;
	ks_order_driver_set_in_flight(e->driver, ++e->in_flight);
	respond(e, takes, [e, generation] {
		if (generation == e->generation)
			ks_order_driver_set_in_flight(e->driver,
						      --e->in_flight);
	});
}

void run_action(model *m, const action &a, current *now)
{
	engine *e = m->engines[a.engine % N_ENGINES].get();

	switch (a.kind % 9) {
	case 0:
		e->proc->paused_until =
			m->w.now() + (1 + a.arg % 40) * 700 * MS;
		break;
	case 1:
		ks_order_driver_free(e->driver);
		e->generation++;
		e->proc->paused_until = 0;
		start_order_driver(e);
		publish(m, *now);
		break;
	case 2:
		e->loaded.clear();
		e->adapters.clear();
		break;
	case 3:
		now->number++;
		now->which = a.arg;
		now->adapter = a.arg % 3 == 0;
		publish(m, *now);
		break;
	case 4:
		now->role = (ks_engine_role_t)(a.arg % 3);
		publish_plan(m, now);
		break;
	default:
		start_request(e, (1 + a.arg % 20) * 800 * MS);
		break;
	}
}

void check_converged(model *m, const current &now)
{
	unsigned writes, sent = 0;

	m->w.faults.values.clear();
	m->order_faults.values.clear();
	m->run_for(CONVERGENCE_TIME);
	for (auto &e : m->engines) {
		RC_ASSERT(e->loaded == (now.which % 2 ? "large" : "small"));
		RC_ASSERT(e->version == "v" + std::to_string(now.number));
		RC_ASSERT(e->adapters.size() == (now.adapter ? 1u : 0u));
		RC_ASSERT(e->role == now.role);
		RC_ASSERT(e->accepting);
		RC_ASSERT(ks_order_driver_is_idle(e->driver));
		sent += e->orders_sent;
	}
	/* Once the engines are at their target, nothing is written or sent. */
	writes = m->t.writes;
	m->run_for(CONVERGENCE_TIME);
	RC_ASSERT(m->t.writes == writes);
	for (auto &e : m->engines)
		sent -= e->orders_sent;
	RC_ASSERT(sent == 0u);
}

bool check_orders()
{
	return rc::check(
		"orders are sent one at a time, to drained and observed "
		"engines, under leases, and the engines reach their target",
		[](const std::vector<uint8_t> &faults,
		   const std::vector<uint8_t> &order_faults) {
			auto actions = *rc::gen::container<std::vector<action>>(
				rc::gen::build<action>(
					rc::gen::set(&action::delay,
						     rc::gen::inRange(0u, 40u)),
					rc::gen::set(&action::kind,
						     rc::gen::inRange(0u, 9u)),
					rc::gen::set(&action::engine,
						     rc::gen::inRange(0u, 2u)),
					rc::gen::set(
						&action::arg,
						rc::gen::inRange(0u, 40u))));
			model m(faults, order_faults);
			current now;

			for (size_t i = 0; i < N_ENGINES; i++)
				add_engine(&m, i);
			publish(&m, now);
			for (const action &a : actions) {
				m.run_for(a.delay < 15
						  ? a.delay * 2 * MS
						  : (a.delay - 14) * 300 * MS);
				run_action(&m, a, &now);
			}
			m.run_for(60 * SEC);
			for (const auto &v : m.violations)
				RC_FAIL(v);
			check_converged(&m, now);
			for (const auto &v : m.violations)
				RC_FAIL(v);
		});
}
} // namespace

int main()
{
	return check_orders() ? 0 : 1;
}
