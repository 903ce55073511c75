/* Property tests of several processes that follow the releases of one store. */
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
	uint64_t applied_version;
	bool version_decreased;
};

void on_applied(void *ctx, ks_snapshot_t *snapshot)
{
	auto *process = static_cast<Process *>(ctx);

	if (snapshot->version <= process->applied_version)
		process->version_decreased = true;
	process->applied_version = snapshot->version;
}

struct Cluster {
	ks_test_clock_t clock;
	ks_loop_t loop;
	memory_store_t memory;
	ks_rng_t rng;
	Process processes[N_PROCESSES];
	std::vector<ks_snapshot_t *> versions;
	uint64_t head;
};

void make_versions(Cluster *cluster)
{
	ks_snapshot_t *last = ks_snapshot_new_empty();

	cluster->versions.push_back(last);
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
		cluster->versions.push_back(last);
	}
}

void publish_next(Cluster *cluster)
{
	if (cluster->head == N_VERSIONS)
		return;

	const ks_snapshot_t *next = cluster->versions[++cluster->head];
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
	fake_tables_put_object(&cluster->memory.tables, ks_str_from(name),
			       { next->body, next->body_len });
	fake_tables_transact(&cluster->memory.tables, &write, 1);
	g_free(name);
	g_free(value);
}

/* Sends the version and the snapshot of @from to @to, truncated if @damaged. */
void send_heartbeat(Cluster *cluster, int from, int to, bool damaged)
{
	const ks_snapshot_t *snapshot =
		ks_config_current(cluster->processes[from].config);
	ks_config_t *receiver = cluster->processes[to].config;

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

void advance_time(Cluster *cluster, int64_t delta_us)
{
	for (int64_t t = 0; t < delta_us; t += STEP_US) {
		ks_test_clock_advance(&cluster->clock, STEP_US);
		ks_loop_run_once(&cluster->loop, 0);
		memory_store_run(&cluster->memory);
	}
}

void start(Cluster *cluster)
{
	memory_store_init(&cluster->memory, &cluster->clock.clock);
	ks_rng_init(&cluster->rng, *rc::gen::arbitrary<uint32_t>());
	cluster->head = 0;
	for (Process &process : cluster->processes) {
		process = {};
		process.config = ks_config_new(
			&cluster->loop, &cluster->memory.store, &cluster->rng,
			POLL_US, on_applied, &process);
	}
}

void stop(Cluster *cluster)
{
	for (Process &process : cluster->processes)
		ks_config_free(process.config);
	memory_store_run(&cluster->memory);
	advance_time(cluster, STEP_US);
	memory_store_deinit(&cluster->memory);
	ks_rng_deinit(&cluster->rng);
}

void restart(Cluster *cluster, int index)
{
	Process *process = &cluster->processes[index];

	ks_config_free(process->config);
	process->applied_version = 0;
	process->config =
		ks_config_new(&cluster->loop, &cluster->memory.store,
			      &cluster->rng, POLL_US, on_applied, process);
}

void random_step(Cluster *cluster)
{
	int index = *rc::gen::inRange(0, N_PROCESSES);
	int peer = *rc::gen::inRange(0, N_PROCESSES);

	switch (*rc::gen::inRange(0, 7)) {
	case 0:
		publish_next(cluster);
		break;
	case 1:
		cluster->memory.down = !cluster->memory.down;
		break;
	case 2:
		cluster->memory.stale_reads = !cluster->memory.stale_reads;
		break;
	case 3:
		cluster->memory.delay_us = *rc::gen::inRange(0, 1000000);
		break;
	case 4:
		send_heartbeat(cluster, index, peer,
			       *rc::gen::arbitrary<bool>());
		break;
	case 5:
		restart(cluster, index);
		break;
	default:
		advance_time(cluster,
			     *rc::gen::inRange<int64_t>(0, 2 * POLL_US));
		break;
	}
}

void check_monotonic(const Cluster *cluster)
{
	for (const Process &process : cluster->processes) {
		RC_ASSERT(!process.version_decreased);
		RC_ASSERT(ks_config_version(process.config) ==
			  process.applied_version);
		RC_ASSERT(process.applied_version <= cluster->head);
	}
}

/*
 * Guards against a version that decreases, and against a process that does not
 * reach the newest version after the store has recovered.
 */
bool check_convergence(Cluster *cluster)
{
	return rc::check(
		"every process reaches the newest version and none decreases",
		[=] {
			int n = *rc::gen::inRange(1, 25);

			start(cluster);
			for (int i = 0; i < n; i++) {
				random_step(cluster);
				check_monotonic(cluster);
			}
			cluster->memory.down = false;
			cluster->memory.stale_reads = false;
			cluster->memory.delay_us = 0;
			advance_time(cluster, 3 * POLL_US);
			check_monotonic(cluster);
			for (const Process &process : cluster->processes)
				RC_ASSERT(process.applied_version ==
					  cluster->head);
			stop(cluster);
		});
}

/*
 * Guards against a version that does not reach other processes while the store
 * is unavailable.
 */
bool check_spread_without_store(Cluster *cluster)
{
	return rc::check("peers forward a version without the store", [=] {
		int first = *rc::gen::inRange(0, N_PROCESSES);

		start(cluster);
		publish_next(cluster);
		advance_time(cluster, 2 * POLL_US);
		publish_next(cluster);
		for (int t = 0;
		     t < 100 && cluster->processes[first].applied_version < 2;
		     t++)
			advance_time(cluster, STEP_US);
		cluster->memory.down = true;
		for (int i = 1; i < N_PROCESSES; i++)
			send_heartbeat(cluster, (first + i - 1) % N_PROCESSES,
				       (first + i) % N_PROCESSES, false);
		for (const Process &process : cluster->processes)
			RC_ASSERT(process.applied_version == 2U);
		restart(cluster, first);
		send_heartbeat(cluster, (first + 1) % N_PROCESSES, first,
			       false);
		RC_ASSERT(cluster->processes[first].applied_version == 2U);
		stop(cluster);
	});
}

} // namespace

int main()
{
	static Cluster cluster;

	ks_test_clock_init(&cluster.clock, KS_USEC_PER_SEC);
	ks_loop_init(&cluster.loop, &cluster.clock.clock);
	make_versions(&cluster);

	bool ok = check_convergence(&cluster) &&
		  check_spread_without_store(&cluster);

	for (ks_snapshot_t *snapshot : cluster.versions)
		ks_snapshot_unref(snapshot);
	ks_loop_deinit(&cluster.loop);
	return ok ? 0 : 1;
}
