/* Properties of the configuration of several processes over one store. */
#include "ks/store.h"
#include "memory_store.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace
{

constexpr int64_t POLL_US = 5 * KS_USEC_PER_SEC;
constexpr int64_t STEP_US = 100 * KS_USEC_PER_MSEC;
constexpr int N_PROCESSES = 4;
constexpr int N_VERSIONS = 6;

struct Process {
	ks_config_t *config;
	uint64_t last;
	bool went_down;
};

void on_applied(void *ctx, ks_snapshot_t *snapshot)
{
	auto *process = static_cast<Process *>(ctx);

	if (snapshot->version <= process->last)
		process->went_down = true;
	process->last = snapshot->version;
}

struct World {
	ks_test_clock_t clock;
	ks_loop_t loop;
	memory_store_t memory;
	ks_rng_t rng;
	Process processes[N_PROCESSES];
	std::vector<ks_snapshot_t *> versions;
	uint64_t head;
};

void make_versions(World *world)
{
	ks_snapshot_t *last = ks_snapshot_new_empty();

	world->versions.push_back(last);
	for (int i = 0; i < N_VERSIONS; i++) {
		std::string yaml =
			"base: " + std::to_string(i) +
			"\nupstreams: {add: [{id: s" + std::to_string(i) +
			", process: '127.0.0.1:" + std::to_string(1000 + i) +
			"', endpoint: '127.0.0.1:1', host: h, "
			"domain: d, service: s, limit: 1}]}\n";
		ks_release_t *release = ks_release_parse(
			{ yaml.data(), yaml.size() }, "n", nullptr);

		last = ks_release_apply(release, last, nullptr);
		ks_release_free(release);
		world->versions.push_back(last);
	}
}

void publish_next(World *world)
{
	if (world->head == N_VERSIONS)
		return;

	const ks_snapshot_t *next = world->versions[++world->head];
	ks_release_record_t record = {};
	char *name = ks_release_object_name(next->version, &next->digest);
	char *value;
	ks_store_write_t write = {};

	record.version = next->version;
	record.digest = next->digest;
	value = ks_release_record_format(&record);
	write.key = ks_str_from(KS_RELEASE_HEAD_KEY);
	write.value = ks_str_from(value);
	write.unconditional = true;
	fake_tables_put_object(&world->memory.tables, ks_str_from(name),
			       { next->body, next->body_len });
	fake_tables_transact(&world->memory.tables, &write, 1);
	g_free(name);
	g_free(value);
}

/* One heartbeat from @from to @to, and the snapshot when @to is behind. */
void exchange(World *world, int from, int to, bool damaged)
{
	const ks_snapshot_t *snapshot =
		ks_config_current(world->processes[from].config);
	ks_config_t *receiver = world->processes[to].config;

	if (!snapshot)
		return;

	std::string body(snapshot->body, snapshot->body_len);
	std::string digest((const char *)snapshot->digest.bytes,
			   KS_DIGEST_SIZE);

	if (damaged)
		body.resize(body.size() / 2);
	ks_config_observe_version(receiver, snapshot->version);
	ks_config_offer(receiver, snapshot->version,
			{ digest.data(), digest.size() },
			{ body.data(), body.size() });
}

void pass(World *world, int64_t delta_us)
{
	for (int64_t t = 0; t < delta_us; t += STEP_US) {
		ks_test_clock_advance(&world->clock, STEP_US);
		ks_loop_run_once(&world->loop, 0);
		memory_store_run(&world->memory);
	}
}

void begin(World *world)
{
	memory_store_init(&world->memory, &world->clock.clock);
	ks_rng_init(&world->rng, *rc::gen::arbitrary<uint32_t>());
	world->head = 0;
	for (Process &process : world->processes) {
		process = {};
		process.config = ks_config_new(
			&world->loop, &world->memory.store, &world->rng,
			POLL_US, on_applied, &process);
	}
}

void finish(World *world)
{
	for (Process &process : world->processes)
		ks_config_free(process.config);
	memory_store_run(&world->memory);
	pass(world, STEP_US);
	memory_store_deinit(&world->memory);
	ks_rng_deinit(&world->rng);
}

void restart(World *world, int index)
{
	Process *process = &world->processes[index];

	ks_config_free(process->config);
	process->last = 0;
	process->config =
		ks_config_new(&world->loop, &world->memory.store, &world->rng,
			      POLL_US, on_applied, process);
}

void random_step(World *world)
{
	int index = *rc::gen::inRange(0, N_PROCESSES);
	int peer = *rc::gen::inRange(0, N_PROCESSES);

	switch (*rc::gen::inRange(0, 7)) {
	case 0:
		publish_next(world);
		break;
	case 1:
		world->memory.down = !world->memory.down;
		break;
	case 2:
		world->memory.stale_reads = !world->memory.stale_reads;
		break;
	case 3:
		world->memory.delay_us = *rc::gen::inRange(0, 1000000);
		break;
	case 4:
		exchange(world, index, peer, *rc::gen::arbitrary<bool>());
		break;
	case 5:
		restart(world, index);
		break;
	default:
		pass(world, *rc::gen::inRange<int64_t>(0, 2 * POLL_US));
		break;
	}
}

void check_monotonic(const World *world)
{
	for (const Process &process : world->processes) {
		RC_ASSERT(!process.went_down);
		RC_ASSERT(ks_config_version(process.config) == process.last);
		RC_ASSERT(process.last <= world->head);
	}
}

/*
 * Guards against a version that reverts, and against a process that never
 * catches up once the store is healthy again.
 */
bool check_convergence(World *world)
{
	return rc::check("every process reaches the head and none goes back",
			 [=] {
				 int n = *rc::gen::inRange(1, 25);

				 begin(world);
				 for (int i = 0; i < n; i++) {
					 random_step(world);
					 check_monotonic(world);
				 }
				 world->memory.down = false;
				 world->memory.stale_reads = false;
				 world->memory.delay_us = 0;
				 pass(world, 3 * POLL_US);
				 check_monotonic(world);
				 for (const Process &process : world->processes)
					 RC_ASSERT(process.last == world->head);
				 finish(world);
			 });
}

/* Guards against a version that is stuck in one process while the store is
 * away. */
bool check_spread_without_store(World *world)
{
	return rc::check("peers pass a version on without the store", [=] {
		int first = *rc::gen::inRange(0, N_PROCESSES);

		begin(world);
		publish_next(world);
		pass(world, 2 * POLL_US);
		publish_next(world);
		for (int t = 0; t < 100 && world->processes[first].last < 2;
		     t++)
			pass(world, STEP_US);
		world->memory.down = true;
		for (int i = 1; i < N_PROCESSES; i++)
			exchange(world, (first + i - 1) % N_PROCESSES,
				 (first + i) % N_PROCESSES, false);
		for (const Process &process : world->processes)
			RC_ASSERT(process.last == 2U);
		restart(world, first);
		exchange(world, (first + 1) % N_PROCESSES, first, false);
		RC_ASSERT(world->processes[first].last == 2U);
		finish(world);
	});
}

} // namespace

int main()
{
	static World world;

	ks_test_clock_init(&world.clock, KS_USEC_PER_SEC);
	ks_loop_init(&world.loop, &world.clock.clock);
	make_versions(&world);

	bool ok =
		check_convergence(&world) && check_spread_without_store(&world);

	for (ks_snapshot_t *snapshot : world.versions)
		ks_snapshot_unref(snapshot);
	ks_loop_deinit(&world.loop);
	return ok ? 0 : 1;
}
