/*
 * Properties of the link between an entry and an upstream process, over a
 * network that loses, delays and silences connections, with restarts of the
 * upstream process.
 */
#include "ks/connection.h"

#include <deque>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

const int64_t HEARTBEAT_US = 1000000;
const int64_t SILENCE_US = 3000000;

struct Connection {
	std::deque<std::string> to_server;
	std::deque<std::string> to_client;
	bool silent = false;
};

/* One attempt as the caller's side and the upstream's side know it. */
struct Attempt {
	ks_attempt_t *handle = nullptr;
	ks_attempt_key_t key;
	bool idempotent;
	std::string written; /* by the upstream */
	std::string read;    /* by the caller */
	size_t unconsumed = 0;
	int requests = 0;
	int handed_on = 0;
	int final_events = 0;
	bool told_not_started = false;
	bool told_whole = false;
	bool whole = false;
};

struct World {
	ks_test_clock_t clock;
	ks_loop_t loop;
	std::vector<Connection> connections;
	size_t current = 0;
	ks_link_client_t *client = nullptr;
	ks_link_server_t *server = nullptr;
	std::vector<std::unique_ptr<Attempt>> attempts;
	std::map<ks_job_t *, Attempt *> waiting, running;
	ks_rng_t rng;
};

std::string to_string(ks_str_t s)
{
	return std::string(s.data ? s.data : "", s.len);
}

ks_str_t to_str(const std::string &s)
{
	return { s.data(), s.size() };
}

bool client_send(void *impl, ks_str_t, ks_str_t message)
{
	World *world = static_cast<World *>(impl);
	Connection &connection = world->connections[world->current];

	if (!connection.silent)
		connection.to_server.push_back(to_string(message));
	return true;
}

bool client_reopen(void *impl)
{
	World *world = static_cast<World *>(impl);

	world->connections.emplace_back();
	world->current = world->connections.size() - 1;
	return true;
}

bool server_send(void *impl, ks_str_t peer, ks_str_t message)
{
	World *world = static_cast<World *>(impl);
	Connection &connection =
		world->connections[std::stoul(to_string(peer))];

	if (!connection.silent)
		connection.to_client.push_back(to_string(message));
	return true;
}

void transport_close(void *)
{
}

Attempt *find_attempt(World *world, const ks_attempt_key_t *key)
{
	for (auto &attempt : world->attempts)
		if (ks_id_equal(&attempt->key.id, &key->id) &&
		    attempt->key.attempt == key->attempt)
			return attempt.get();
	return nullptr;
}

void on_request(void *ctx, ks_job_t *job, const ks_attempt_request_t *request)
{
	World *world = static_cast<World *>(ctx);
	Attempt *attempt = find_attempt(world, &request->key);

	RC_ASSERT(attempt != nullptr);
	attempt->requests++;
	RC_ASSERT(attempt->requests == 1);
	world->waiting[job] = attempt;
}

void on_cancelled(void *ctx, ks_job_t *job)
{
	World *world = static_cast<World *>(ctx);

	if (world->waiting.erase(job)) {
		ks_job_refuse(job, KS_ERROR_OVERLOADED, 0);
	} else if (world->running.count(job) &&
		   world->running[job]->idempotent) {
		world->running.erase(job);
		ks_job_end(job, KS_ERROR_UPSTREAM_FAILED, KS_STR("cancelled"));
	}
}

void on_config(void *, uint64_t, ks_str_t, ks_str_t)
{
}

ks_str_t no_config(void *, uint64_t *, ks_str_t *)
{
	return { nullptr, 0 };
}

void on_leaving(void *)
{
}

void on_accepted(void *)
{
}

void on_not_started(void *ctx, ks_error_kind_t, int64_t)
{
	Attempt *attempt = static_cast<Attempt *>(ctx);

	attempt->final_events++;
	attempt->told_not_started = true;
	attempt->handle = nullptr;
}

void on_head(void *, int status, const ks_header_t *, size_t)
{
	RC_ASSERT(status == 200);
}

void on_body(void *ctx, ks_str_t data)
{
	Attempt *attempt = static_cast<Attempt *>(ctx);

	attempt->read += to_string(data);
	attempt->unconsumed += data.len;
}

void on_end(void *ctx, ks_error_kind_t kind, ks_str_t)
{
	Attempt *attempt = static_cast<Attempt *>(ctx);

	attempt->final_events++;
	attempt->told_whole = kind == KS_ERROR_NONE;
	attempt->handle = nullptr;
}

void on_changed(void *, ks_link_client_t *)
{
}

const ks_attempt_events_t attempt_events = { on_accepted, on_not_started,
					     on_head, on_body, on_end };
const ks_link_client_events_t client_events = { on_changed, on_config,
						no_config };
const ks_link_server_events_t server_events = { on_request, on_cancelled,
						on_config, no_config,
						on_leaving };

void start_server(World *world)
{
	ks_transport_t transport = { server_send, nullptr, transport_close,
				     world };
	ks_link_server_options_t options = {};

	options.upstream = "u1";
	options.heartbeat_us = HEARTBEAT_US;
	options.silence_us = SILENCE_US;
	options.max_buffer = 1 << 20;
	world->server = ks_link_server_new_with_transport(
		&world->loop, &transport, &options, &server_events, world);
}

void start_client(World *world)
{
	ks_transport_t transport = { client_send, client_reopen,
				     transport_close, world };
	ks_link_client_options_t options = {};

	options.entry = "e1";
	options.domain = "d1";
	options.upstream = "u1";
	ks_id_generate_seeded(&options.incarnation, &world->rng);
	options.heartbeat_us = HEARTBEAT_US;
	options.silence_us = SILENCE_US;
	client_reopen(world);
	world->client = ks_link_client_new_with_transport(
		&world->loop, &transport, &options, &client_events, world);
}

void send_attempt(World *world, bool idempotent)
{
	auto attempt = std::make_unique<Attempt>();
	ks_attempt_request_t request = {};

	attempt->idempotent = idempotent;
	ks_id_generate_seeded(&attempt->key.id, &world->rng);
	attempt->key.attempt = 1;
	request.key = attempt->key;
	request.method = KS_STR("POST");
	request.path = KS_STR("/");
	request.timeout_us = 60000000;
	request.idempotent = idempotent;
	attempt->handle = ks_link_client_send(world->client, &request,
					      &attempt_events, attempt.get());
	if (attempt->handle)
		world->attempts.push_back(std::move(attempt));
}

void deliver_to_server(World *world, size_t index)
{
	Connection &connection = world->connections[index];
	std::string message, identity = std::to_string(index);

	if (connection.to_server.empty())
		return;
	message = connection.to_server.front();
	connection.to_server.pop_front();
	ks_link_server_receive(world->server, to_str(identity),
			       to_str(message));
}

/* What arrives on a connection that the client has closed is never read. */
void deliver_to_client(World *world)
{
	Connection &connection = world->connections[world->current];
	std::string message;

	if (connection.to_client.empty())
		return;
	message = connection.to_client.front();
	connection.to_client.pop_front();
	ks_link_client_receive(world->client, to_str(message));
}

ks_job_t *pick_job(const std::map<ks_job_t *, Attempt *> &jobs, size_t n)
{
	auto it = jobs.begin();

	std::advance(it, n % jobs.size());
	return it->first;
}

void decide_on_job(World *world, size_t n)
{
	ks_job_t *job;
	Attempt *attempt;

	if (world->waiting.empty())
		return;
	job = pick_job(world->waiting, n / 4);
	attempt = world->waiting[job];
	world->waiting.erase(job);
	if (n % 4 == 0) {
		ks_job_refuse(job, KS_ERROR_OVERLOADED, 1000);
		return;
	}
	attempt->handed_on++;
	RC_ASSERT(!attempt->told_not_started);
	world->running[job] = attempt;
	ks_job_accept(job);
	ks_job_head(job, 200, nullptr, 0);
}

void advance_job(World *world, size_t n)
{
	ks_job_t *job;
	Attempt *attempt;
	std::string piece;

	if (world->running.empty())
		return;
	job = pick_job(world->running, n / 8);
	attempt = world->running[job];
	if (n % 8 == 0) {
		attempt->whole = true;
		world->running.erase(job);
		ks_job_end(job, KS_ERROR_NONE, KS_STR(""));
		return;
	}
	piece = std::to_string(attempt->written.size()) + ",";
	attempt->written += piece;
	RC_ASSERT(ks_job_body(job, to_str(piece)));
}

void restart_server(World *world)
{
	world->waiting.clear();
	world->running.clear();
	ks_link_server_free(world->server);
	for (auto &connection : world->connections)
		connection.to_client.clear();
	start_server(world);
	/* A restart breaks the connection, and the client notices. */
	world->connections[world->current].silent = true;
	ks_link_client_disconnected(world->client);
}

void advance_time(World *world, int64_t delta_us)
{
	ks_test_clock_advance(&world->clock, delta_us);
	ks_loop_run_once(&world->loop, 0);
}

Attempt *pick_attempt(World *world, size_t n)
{
	if (world->attempts.empty())
		return nullptr;
	return world->attempts[n % world->attempts.size()].get();
}

void consume(World *world, size_t n)
{
	Attempt *attempt = pick_attempt(world, n);

	if (!attempt || !attempt->handle)
		return;
	ks_attempt_consume(attempt->handle, attempt->unconsumed);
	attempt->unconsumed = 0;
}

void cancel(World *world, size_t n)
{
	Attempt *attempt = pick_attempt(world, n);

	if (attempt && attempt->handle)
		ks_attempt_cancel(attempt->handle);
}

void step(World *world, uint32_t op)
{
	size_t n = op / 16;

	switch (op % 16) {
	case 0:
	case 1:
		send_attempt(world, n % 2);
		break;
	case 2:
	case 3:
	case 4:
		deliver_to_server(world, world->current);
		break;
	case 5:
		deliver_to_server(world, n % world->connections.size());
		break;
	case 6:
	case 7:
	case 8:
		deliver_to_client(world);
		break;
	case 9:
		decide_on_job(world, n);
		break;
	case 10:
	case 11:
		advance_job(world, n);
		break;
	case 12:
		consume(world, n);
		break;
	case 13:
		advance_time(world, (int64_t)(n % 4 + 1) * 500000);
		break;
	case 14:
		world->connections[world->current].silent = true;
		break;
	default:
		if (n % 4 == 0)
			restart_server(world);
		else
			cancel(world, n);
		break;
	}
}

void check_safety(World *world)
{
	for (auto &attempt : world->attempts) {
		RC_ASSERT(attempt->final_events <= 1);
		RC_ASSERT(!(attempt->told_not_started && attempt->handed_on));
		RC_ASSERT(attempt->written.compare(0, attempt->read.size(),
						   attempt->read) == 0);
		if (attempt->told_whole) {
			RC_ASSERT(attempt->whole);
			RC_ASSERT(attempt->read == attempt->written);
		}
	}
}

/* A network without faults for long enough lets every attempt end. */
void settle(World *world)
{
	for (int round = 0; round < 400; round++) {
		for (size_t i = 0; i < world->connections.size(); i++)
			while (!world->connections[i].to_server.empty())
				deliver_to_server(world, i);
		for (int i = 0; i < 200; i++)
			deliver_to_client(world);
		while (!world->waiting.empty())
			decide_on_job(world, 1);
		advance_job(world, 0);
		for (size_t i = 0; i < world->attempts.size(); i++)
			consume(world, i);
		advance_time(world, 200000);
	}
}

/* What the generated operations reached, to show that they reach anything. */
struct Coverage {
	int attempts, whole, not_started, unknown, sessions;
} coverage;

void count_coverage(const World *world)
{
	coverage.sessions += (int)world->connections.size();
	for (auto &attempt : world->attempts) {
		coverage.attempts++;
		coverage.whole += attempt->told_whole;
		coverage.not_started += attempt->told_not_started;
		coverage.unknown +=
			!attempt->told_whole && !attempt->told_not_started;
	}
}

void check_link(const std::vector<uint32_t> &ops)
{
	World world;

	ks_test_clock_init(&world.clock, 1000000);
	ks_loop_init(&world.loop, &world.clock.clock);
	ks_rng_init(&world.rng, 1);
	start_server(&world);
	start_client(&world);
	deliver_to_server(&world, world.current);
	deliver_to_client(&world);
	for (uint32_t op : ops) {
		step(&world, op);
		check_safety(&world);
	}
	settle(&world);
	check_safety(&world);
	for (auto &attempt : world.attempts)
		RC_ASSERT(attempt->final_events == 1);
	RC_ASSERT(ks_link_server_is_idle(world.server));
	count_coverage(&world);
	ks_link_client_free(world.client);
	ks_link_server_free(world.server);
	ks_rng_deinit(&world.rng);
	ks_loop_deinit(&world.loop);
}

} // namespace

int main()
{
	bool ok = rc::check(
		"each attempt gets its own whole answer or a true failure, and "
		"runs at most once",
		[]() {
			size_t len = *rc::gen::inRange<size_t>(0, 400);

			check_link(*rc::gen::container<std::vector<uint32_t>>(
				len, rc::gen::inRange<uint32_t>(0, 1 << 16)));
		});

	printf("attempts %d: whole %d, not started %d, failed or unknown %d; "
	       "sessions %d\n",
	       coverage.attempts, coverage.whole, coverage.not_started,
	       coverage.unknown, coverage.sessions);
	return ok ? 0 : 1;
}
