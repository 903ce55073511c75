/* Properties of publishing with two operators who race. */
#include "ks/control.h"
#include "memory_store.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace
{

/* One operator with a note of their own on the same base. */
struct Operator {
	ks_release_t *release = nullptr;
	ks_publish_t *publish = nullptr;
	ks_id_t publisher{};
	int answers = 0;
	ks_error_kind_t kind = KS_ERROR_INTERNAL;
	uint64_t version = 0;
	std::string difference;
};

void on_result(void *ctx, const ks_publish_result_t *result)
{
	auto *op = static_cast<Operator *>(ctx);

	op->answers++;
	op->kind = result->kind;
	op->version = result->version;
	op->difference = result->difference;
}

/* Faults drawn for the first calls; afterwards the store is healthy. */
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

/* The world of one case; the loop outlives the cases, since h2o's cannot be
 * freed. */
struct World {
	ks_test_clock_t clock;
	ks_loop_t loop;
	memory_store_t memory;
	ks_rng_t rng;
	Faults faults;
	Operator operators[2];
};

void start(World *world, int index, const std::string &service)
{
	Operator *op = &world->operators[index];

	op->release = make_note(service, 0);
	op->publisher.bytes[0] = (uint8_t)(index + 1);
	op->publish =
		ks_publish_new(&world->loop, &world->memory.store, &world->rng,
			       op->release, &op->publisher, on_result, op);
}

/*
 * Lets time pass until both have their answer and nothing is on its way: at
 * most a minute, and an operator gives up after 20 delays of at most 2 s.
 */
void run(World *world)
{
	for (int i = 0; i < 60000; i++) {
		int64_t due = 0;
		bool is_done = world->operators[0].answers &&
			       world->operators[1].answers;

		memory_store_run_one(&world->memory);
		ks_loop_run_once(&world->loop, 0);
		if (is_done && !memory_store_next_due(&world->memory, &due))
			return;
		ks_test_clock_advance(&world->clock, 1 * KS_USEC_PER_MSEC);
	}
}

std::string winner_in_store(const World *world)
{
	const fake_row_t *head = fake_tables_get(
		&world->memory.tables, ks_str_from(KS_RELEASE_HEAD_KEY));
	ks_release_record_t record;
	std::string service = "none";

	if (!head)
		return service;
	RC_ASSERT(ks_release_record_parse(
		&record, { head->value->str, head->value->len }));
	RC_ASSERT(record.version == 1U);
	service = record.publisher.bytes[0] == 1 ? "0" : "1";

	/* The winner's object must be the one that the head names. */
	char *name = ks_release_object_name(1, &record.digest);
	const fake_row_t *object = fake_tables_get_object(&world->memory.tables,
							  ks_str_from(name));
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

void check_truth(const World *world)
{
	std::string winner = winner_in_store(world);
	int n_won = 0;

	for (int i = 0; i < 2; i++) {
		const Operator &op = world->operators[i];

		RC_ASSERT(op.answers == 1);
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

void finish(World *world)
{
	for (Operator &op : world->operators) {
		ks_publish_free(op.publish);
		ks_release_free(op.release);
		op = Operator();
	}
	memory_store_deinit(&world->memory);
	ks_rng_deinit(&world->rng);
}

/*
 * Guards against two winners, against a winner who is told of a conflict, and
 * against a loser who is told of success, when answers are lost or late and
 * even when both notes have the same content.
 */
bool check_race(World *world)
{
	return rc::check("exactly one operator wins and both learn it", [=] {
		bool same = *rc::gen::arbitrary<bool>();
		int head_start = *rc::gen::inRange(0, 12);

		memory_store_init(&world->memory, &world->clock.clock);
		ks_rng_init(&world->rng, *rc::gen::arbitrary<uint32_t>());
		world->faults = { *rc::gen::container<std::vector<int>>(
					  rc::gen::inRange(
						  0, MEMORY_FAULT_LATE + 1)),
				  0 };
		/* Beyond this the operators may rightly give up. */
		if (world->faults.drawn.size() > 18)
			world->faults.drawn.resize(18);
		world->memory.fault = next_fault;
		world->memory.fault_ctx = &world->faults;
		world->memory.delay_us = *rc::gen::inRange(0, 5000);
		world->memory.late_us = *rc::gen::inRange(0, 3000000);
		start(world, 0, "a");
		for (int i = 0; i < head_start; i++) {
			memory_store_run_one(&world->memory);
			ks_loop_run_once(&world->loop, 0);
			ks_test_clock_advance(&world->clock, 1000);
		}
		start(world, 1, same ? "a" : "b");
		run(world);
		check_truth(world);
		finish(world);
	});
}

/* Guards against a guess when the store is away for good. */
bool check_store_away(World *world)
{
	return rc::check("without a store nothing is claimed", [=] {
		int healthy_calls = *rc::gen::inRange(0, 8);
		bool loses = *rc::gen::arbitrary<bool>();

		memory_store_init(&world->memory, &world->clock.clock);
		ks_rng_init(&world->rng, 1);
		world->faults = { std::vector<int>((size_t)healthy_calls, 0),
				  0 };
		for (int i = 0; i < 100; i++)
			world->faults.drawn.push_back(
				loses ? MEMORY_FAULT_LOSE_ANSWER
				      : MEMORY_FAULT_DOWN);
		world->memory.fault = next_fault;
		world->memory.fault_ctx = &world->faults;
		start(world, 0, "a");
		world->operators[1].answers = 1;
		run(world);

		const Operator &op = world->operators[0];
		std::string winner = winner_in_store(world);

		RC_ASSERT(op.answers == 1);
		if (op.kind == KS_ERROR_NONE)
			RC_ASSERT(winner == "0");
		else if (op.kind == KS_ERROR_STORE_UNAVAILABLE)
			RC_ASSERT(winner == "none");
		else
			RC_ASSERT(op.kind == KS_ERROR_OUTCOME_UNKNOWN);
		finish(world);
	});
}

/* Guards against a winner who only read an old head. */
bool check_stale_reads(World *world)
{
	return rc::check("stale reads make no second winner", [=] {
		memory_store_init(&world->memory, &world->clock.clock);
		ks_rng_init(&world->rng, *rc::gen::arbitrary<uint32_t>());
		world->operators[1].answers = 1;
		start(world, 0, "a");
		run(world);
		RC_ASSERT(world->operators[0].kind == KS_ERROR_NONE);

		world->memory.stale_reads = true;
		world->memory.lose_answers = *rc::gen::inRange(0U, 4U);
		world->operators[1].answers = 0;
		start(world, 1, "b");
		run(world);
		RC_ASSERT(world->operators[1].answers == 1);
		RC_ASSERT(world->operators[1].kind == KS_ERROR_CONFLICT ||
			  world->operators[1].kind == KS_ERROR_OUTCOME_UNKNOWN);
		RC_ASSERT(winner_in_store(world) == "0");
		finish(world);
	});
}

/* Guards against a conflict reported to an operator who has won. */
bool check_stale_reads_of_own_rows(World *world)
{
	return rc::check("stale reads do not turn a win into a conflict", [=] {
		memory_store_init(&world->memory, &world->clock.clock);
		ks_rng_init(&world->rng, *rc::gen::arbitrary<uint32_t>());
		world->faults = { { MEMORY_FAULT_NONE, MEMORY_FAULT_NONE,
				    MEMORY_FAULT_LOSE_ANSWER },
				  0 };
		world->memory.fault = next_fault;
		world->memory.fault_ctx = &world->faults;
		world->memory.stale_reads = true;
		world->operators[1].answers = 1;
		start(world, 0, "a");
		run(world);
		RC_ASSERT(world->operators[0].answers == 1);
		RC_ASSERT(world->operators[0].kind == KS_ERROR_OUTCOME_UNKNOWN);
		RC_ASSERT(winner_in_store(world) == "0");
		finish(world);
	});
}

} // namespace

int main()
{
	static World world;

	ks_test_clock_init(&world.clock, KS_USEC_PER_SEC);
	ks_loop_init(&world.loop, &world.clock.clock);

	bool ok = check_race(&world) && check_store_away(&world) &&
		  check_stale_reads(&world) &&
		  check_stale_reads_of_own_rows(&world);

	ks_loop_deinit(&world.loop);
	return ok ? 0 : 1;
}
