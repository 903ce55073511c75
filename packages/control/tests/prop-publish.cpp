/* Property tests of two operators who publish concurrently. */
#include "ks/control.h"
#include "memory_store.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace
{

/* An operator with a release note; both notes have the same base version. */
struct Operator {
	ks_release_t *release = nullptr;
	ks_publish_t *publish = nullptr;
	ks_id_t publisher{};
	int n_results = 0;
	ks_error_kind_t kind = KS_ERROR_INTERNAL;
	uint64_t version = 0;
	std::string difference;
};

void on_result(void *ctx, const ks_publish_result_t *result)
{
	auto *op = static_cast<Operator *>(ctx);

	op->n_results++;
	op->kind = result->kind;
	op->version = result->version;
	op->difference = result->difference;
}

/* Faults of the first store calls; later calls succeed. */
struct Faults {
	std::vector<int> drawn;
	size_t used = 0;
};

memory_fault_t next_fault(void *ctx, bool is_write G_GNUC_UNUSED,
			  ks_str_t key G_GNUC_UNUSED)
{
	auto *faults = static_cast<Faults *>(ctx);

	if (faults->used == faults->drawn.size())
		return MEMORY_FAULT_NONE;
	return static_cast<memory_fault_t>(faults->drawn[faults->used++]);
}

ks_release_t *make_note(const std::string &service, int base)
{
	std::string yaml = "base: " + std::to_string(base) +
			   "\nupstreams: {add: [{id: " + service +
			   ", process: '127.0.0.1:1', endpoint: "
			   "'127.0.0.1:1', host: h, domain: d, service: " +
			   service + ", limit: 1}]}\n";

	return ks_release_parse({ yaml.data(), yaml.size() }, "n", nullptr);
}

/*
 * State of a test case. The loop is reused by all cases, since an h2o loop
 * cannot be freed.
 */
struct Scenario {
	ks_test_clock_t clock;
	ks_loop_t loop;
	memory_store_t memory;
	ks_rng_t rng;
	Faults faults;
	Operator operators[2];
};

void start(Scenario *scenario, int index, const std::string &service)
{
	Operator *op = &scenario->operators[index];

	op->release = make_note(service, 0);
	op->publisher.bytes[0] = (uint8_t)(index + 1);
	op->publish = ks_publish_new(&scenario->loop, &scenario->memory.store,
				     &scenario->rng, op->release,
				     &op->publisher, on_result, op);
}

/*
 * Advances the clock until both operators have a result and no store operation
 * is pending. One minute is enough: publishing ends after 20 delays of at most
 * 2 s each.
 */
void run(Scenario *scenario)
{
	for (int i = 0; i < 60000; i++) {
		int64_t due = 0;
		bool is_done = scenario->operators[0].n_results &&
			       scenario->operators[1].n_results;

		memory_store_run_one(&scenario->memory);
		ks_loop_run_once(&scenario->loop, 0);
		if (is_done && !memory_store_next_due(&scenario->memory, &due))
			return;
		ks_test_clock_advance(&scenario->clock, 1 * KS_USEC_PER_MSEC);
	}
}

std::string winner_in_store(const Scenario *scenario)
{
	const fake_row_t *head = fake_tables_get(
		&scenario->memory.tables, ks_str_from(KS_RELEASE_HEAD_KEY));
	ks_release_record_t record;
	std::string service = "none";

	if (!head)
		return service;
	RC_ASSERT(ks_release_record_parse(
		&record, { head->value->str, head->value->len }));
	RC_ASSERT(record.version == 1U);
	service = record.publisher.bytes[0] == 1 ? "0" : "1";

	/* The object that the head names must exist and match its digest. */
	char *name = ks_release_object_name(1, &record.digest);
	const fake_row_t *object = fake_tables_get_object(
		&scenario->memory.tables, ks_str_from(name));
	ks_digest_t digest;

	g_free(name);
	RC_ASSERT(object != nullptr);
	GBytes *body = ks_snapshot_decompress(
		{ object->value->str, object->value->len });

	bool unpacked = body != nullptr;

	RC_ASSERT(unpacked);
	ks_digest_compute(&digest, { static_cast<const char *>(
					     g_bytes_get_data(body, nullptr)),
				     g_bytes_get_size(body) });
	g_bytes_unref(body);
	RC_ASSERT(ks_digest_equal(&digest, &record.digest));
	ks_release_record_deinit(&record);
	return service;
}

void check_results(const Scenario *scenario)
{
	std::string winner = winner_in_store(scenario);
	int n_won = 0;

	for (int i = 0; i < 2; i++) {
		const Operator &op = scenario->operators[i];

		RC_ASSERT(op.n_results == 1);
		if (op.kind == KS_ERROR_NONE) {
			n_won++;
			RC_ASSERT(winner == std::to_string(i));
			RC_ASSERT(op.version == 1U);
		} else {
			RC_ASSERT(op.kind == KS_ERROR_CONFLICT);
			RC_ASSERT(winner == std::to_string(1 - i));
			RC_ASSERT(op.difference.find("+ upstream") !=
				  std::string::npos);
		}
	}
	RC_ASSERT(n_won == 1);
}

void finish(Scenario *scenario)
{
	for (Operator &op : scenario->operators) {
		ks_publish_free(op.publish);
		ks_release_free(op.release);
		op = Operator();
	}
	memory_store_deinit(&scenario->memory);
	ks_rng_deinit(&scenario->rng);
}

/*
 * Guards against two successful operators, a conflict reported to the one who
 * published, and a success reported to the other. Store responses may be lost
 * or late, and both notes may have the same content.
 */
bool check_race(Scenario *scenario)
{
	return rc::check("exactly one operator succeeds, both learn it", [=] {
		bool same = *rc::gen::arbitrary<bool>();
		int head_start = *rc::gen::inRange(0, 12);

		memory_store_init(&scenario->memory, &scenario->clock.clock);
		ks_rng_init(&scenario->rng, *rc::gen::arbitrary<uint32_t>());
		scenario->faults = { *rc::gen::container<std::vector<int>>(
					     rc::gen::inRange(
						     0, MEMORY_FAULT_LATE + 1)),
				     0 };
		/* With more faults, the retries may run out. */
		if (scenario->faults.drawn.size() > 18)
			scenario->faults.drawn.resize(18);
		scenario->memory.fault = next_fault;
		scenario->memory.fault_ctx = &scenario->faults;
		scenario->memory.delay_us = *rc::gen::inRange(0, 5000);
		scenario->memory.late_us = *rc::gen::inRange(0, 3000000);
		start(scenario, 0, "a");
		for (int i = 0; i < head_start; i++) {
			memory_store_run_one(&scenario->memory);
			ks_loop_run_once(&scenario->loop, 0);
			ks_test_clock_advance(&scenario->clock, 1000);
		}
		start(scenario, 1, same ? "a" : "b");
		run(scenario);
		check_results(scenario);
		finish(scenario);
	});
}

/* Guards against a wrong result when the store stays unavailable. */
bool check_store_unavailable(Scenario *scenario)
{
	return rc::check("an unavailable store yields no wrong result", [=] {
		int healthy_calls = *rc::gen::inRange(0, 8);
		bool loses = *rc::gen::arbitrary<bool>();

		memory_store_init(&scenario->memory, &scenario->clock.clock);
		ks_rng_init(&scenario->rng, 1);
		scenario->faults = { std::vector<int>((size_t)healthy_calls, 0),
				     0 };
		for (int i = 0; i < 100; i++)
			scenario->faults.drawn.push_back(
				loses ? MEMORY_FAULT_LOSE_RESPONSE
				      : MEMORY_FAULT_DOWN);
		scenario->memory.fault = next_fault;
		scenario->memory.fault_ctx = &scenario->faults;
		start(scenario, 0, "a");
		scenario->operators[1].n_results = 1;
		run(scenario);

		const Operator &op = scenario->operators[0];
		std::string winner = winner_in_store(scenario);

		RC_ASSERT(op.n_results == 1);
		if (op.kind == KS_ERROR_NONE)
			RC_ASSERT(winner == "0");
		else if (op.kind == KS_ERROR_STORE_UNAVAILABLE)
			RC_ASSERT(winner == "none");
		else
			RC_ASSERT(op.kind == KS_ERROR_OUTCOME_UNKNOWN);
		finish(scenario);
	});
}

/* Guards against a success reported on the basis of a stale head row. */
bool check_stale_reads(Scenario *scenario)
{
	return rc::check("stale reads let no second operator succeed", [=] {
		memory_store_init(&scenario->memory, &scenario->clock.clock);
		ks_rng_init(&scenario->rng, *rc::gen::arbitrary<uint32_t>());
		scenario->operators[1].n_results = 1;
		start(scenario, 0, "a");
		run(scenario);
		RC_ASSERT(scenario->operators[0].kind == KS_ERROR_NONE);

		scenario->memory.stale_reads = true;
		scenario->memory.lose_responses = *rc::gen::inRange(0U, 4U);
		scenario->operators[1].n_results = 0;
		start(scenario, 1, "b");
		run(scenario);
		RC_ASSERT(scenario->operators[1].n_results == 1);
		RC_ASSERT(scenario->operators[1].kind == KS_ERROR_CONFLICT ||
			  scenario->operators[1].kind ==
				  KS_ERROR_OUTCOME_UNKNOWN);
		RC_ASSERT(winner_in_store(scenario) == "0");
		finish(scenario);
	});
}

/* Guards against a conflict reported to the operator who published. */
bool check_stale_reads_of_own_rows(Scenario *scenario)
{
	return rc::check("stale reads turn no success into a conflict", [=] {
		memory_store_init(&scenario->memory, &scenario->clock.clock);
		ks_rng_init(&scenario->rng, *rc::gen::arbitrary<uint32_t>());
		scenario->faults = { { MEMORY_FAULT_NONE, MEMORY_FAULT_NONE,
				       MEMORY_FAULT_LOSE_RESPONSE },
				     0 };
		scenario->memory.fault = next_fault;
		scenario->memory.fault_ctx = &scenario->faults;
		scenario->memory.stale_reads = true;
		scenario->operators[1].n_results = 1;
		start(scenario, 0, "a");
		run(scenario);
		RC_ASSERT(scenario->operators[0].n_results == 1);
		RC_ASSERT(scenario->operators[0].kind ==
			  KS_ERROR_OUTCOME_UNKNOWN);
		RC_ASSERT(winner_in_store(scenario) == "0");
		finish(scenario);
	});
}

} // namespace

int main()
{
	static Scenario scenario;

	ks_test_clock_init(&scenario.clock, KS_USEC_PER_SEC);
	ks_loop_init(&scenario.loop, &scenario.clock.clock);

	bool ok = check_race(&scenario) && check_store_unavailable(&scenario) &&
		  check_stale_reads(&scenario) &&
		  check_stale_reads_of_own_rows(&scenario);

	ks_loop_deinit(&scenario.loop);
	return ok ? 0 : 1;
}
