/*
 * Properties of the link between an entry and an upstream process, over a
 * simulated network. Generated operations delay frames, make connections drop
 * everything, restart the upstream process and cancel attempts.
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

/* Frames in transit; a silent connection drops new ones. */
struct Connection {
	std::deque<std::string> to_server;
	std::deque<std::string> to_client;
	bool silent = false;
};

/* State of an attempt at the entry and at the upstream process. */
struct Attempt {
	ks_attempt_t *handle = nullptr;
	ks_attempt_key_t key;
	bool idempotent;
	std::string written; /* by the upstream */
	std::string read;    /* by the caller */
	size_t unconsumed = 0;
	int requests = 0;
	int forwarded = 0;
	int final_events = 0;
	bool reported_not_started = false;
	bool reported_complete = false;
	bool complete = false;
};

struct Network {
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
	Network *net = static_cast<Network *>(impl);
	Connection &connection = net->connections[net->current];

	if (!connection.silent)
		connection.to_server.push_back(to_string(message));
	return true;
}

bool client_reopen(void *impl)
{
	Network *net = static_cast<Network *>(impl);

	net->connections.emplace_back();
	net->current = net->connections.size() - 1;
	return true;
}

bool server_send(void *impl, ks_str_t peer, ks_str_t message)
{
	Network *net = static_cast<Network *>(impl);
	Connection &connection = net->connections[std::stoul(to_string(peer))];

	if (!connection.silent)
		connection.to_client.push_back(to_string(message));
	return true;
}

void transport_close(void *)
{
}

Attempt *find_attempt(Network *net, const ks_attempt_key_t *key)
{
	for (auto &attempt : net->attempts)
		if (ks_id_equal(&attempt->key.id, &key->id) &&
		    attempt->key.attempt == key->attempt)
			return attempt.get();
	return nullptr;
}

void on_request(void *ctx, ks_job_t *job, const ks_attempt_request_t *request)
{
	Network *net = static_cast<Network *>(ctx);
	Attempt *attempt = find_attempt(net, &request->key);

	RC_ASSERT(attempt != nullptr);
	attempt->requests++;
	RC_ASSERT(attempt->requests == 1);
	net->waiting[job] = attempt;
}

void on_cancelled(void *ctx, ks_job_t *job)
{
	Network *net = static_cast<Network *>(ctx);

	if (net->waiting.erase(job)) {
		ks_job_refuse(job, KS_ERROR_OVERLOADED, 0);
	} else if (net->running.count(job) && net->running[job]->idempotent) {
		net->running.erase(job);
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
	attempt->reported_not_started = true;
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
	attempt->reported_complete = kind == KS_ERROR_NONE;
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

void start_server(Network *net)
{
	ks_transport_t transport = { server_send, nullptr, transport_close,
				     net };
	ks_link_server_options_t options = {};

	options.upstream = "u1";
	options.heartbeat_us = HEARTBEAT_US;
	options.silence_us = SILENCE_US;
	options.max_buffer = 1 << 20;
	net->server = ks_link_server_new_with_transport(
		&net->loop, &transport, &options, &server_events, net);
}

void start_client(Network *net)
{
	ks_transport_t transport = { client_send, client_reopen,
				     transport_close, net };
	ks_link_client_options_t options = {};

	options.entry = "e1";
	options.domain = "d1";
	options.upstream = "u1";
	ks_id_generate_seeded(&options.incarnation, &net->rng);
	options.heartbeat_us = HEARTBEAT_US;
	options.silence_us = SILENCE_US;
	client_reopen(net);
	net->client = ks_link_client_new_with_transport(
		&net->loop, &transport, &options, &client_events, net);
}

void send_attempt(Network *net, bool idempotent)
{
	auto attempt = std::make_unique<Attempt>();
	ks_attempt_request_t request = {};

	attempt->idempotent = idempotent;
	ks_id_generate_seeded(&attempt->key.id, &net->rng);
	attempt->key.attempt = 1;
	request.key = attempt->key;
	request.method = KS_STR("POST");
	request.path = KS_STR("/");
	request.timeout_us = 60000000;
	request.idempotent = idempotent;
	attempt->handle = ks_link_client_send(net->client, &request,
					      &attempt_events, attempt.get());
	if (attempt->handle)
		net->attempts.push_back(std::move(attempt));
}

void deliver_to_server(Network *net, size_t index)
{
	Connection &connection = net->connections[index];
	std::string message, identity = std::to_string(index);

	if (connection.to_server.empty())
		return;
	message = connection.to_server.front();
	connection.to_server.pop_front();
	ks_link_server_receive(net->server, to_str(identity), to_str(message));
}

/* Frames on connections that the client has closed are never received. */
void deliver_to_client(Network *net)
{
	Connection &connection = net->connections[net->current];
	std::string message;

	if (connection.to_client.empty())
		return;
	message = connection.to_client.front();
	connection.to_client.pop_front();
	ks_link_client_receive(net->client, to_str(message));
}

ks_job_t *pick_job(const std::map<ks_job_t *, Attempt *> &jobs, size_t n)
{
	auto it = jobs.begin();

	std::advance(it, n % jobs.size());
	return it->first;
}

void accept_or_refuse_job(Network *net, size_t n)
{
	ks_job_t *job;
	Attempt *attempt;

	if (net->waiting.empty())
		return;
	job = pick_job(net->waiting, n / 4);
	attempt = net->waiting[job];
	net->waiting.erase(job);
	if (n % 4 == 0) {
		ks_job_refuse(job, KS_ERROR_OVERLOADED, 1000);
		return;
	}
	attempt->forwarded++;
	RC_ASSERT(!attempt->reported_not_started);
	net->running[job] = attempt;
	ks_job_accept(job);
	ks_job_head(job, 200, nullptr, 0);
}

void advance_job(Network *net, size_t n)
{
	ks_job_t *job;
	Attempt *attempt;
	std::string piece;

	if (net->running.empty())
		return;
	job = pick_job(net->running, n / 8);
	attempt = net->running[job];
	if (n % 8 == 0) {
		attempt->complete = true;
		net->running.erase(job);
		ks_job_end(job, KS_ERROR_NONE, KS_STR(""));
		return;
	}
	piece = std::to_string(attempt->written.size()) + ",";
	attempt->written += piece;
	RC_ASSERT(ks_job_body(job, to_str(piece)));
}

void restart_server(Network *net)
{
	net->waiting.clear();
	net->running.clear();
	ks_link_server_free(net->server);
	for (auto &connection : net->connections)
		connection.to_client.clear();
	start_server(net);
	/* The restart breaks the connection, which the client detects. */
	net->connections[net->current].silent = true;
	ks_link_client_disconnected(net->client);
}

void advance_time(Network *net, int64_t delta_us)
{
	ks_test_clock_advance(&net->clock, delta_us);
	ks_loop_run_once(&net->loop, 0);
}

Attempt *pick_attempt(Network *net, size_t n)
{
	if (net->attempts.empty())
		return nullptr;
	return net->attempts[n % net->attempts.size()].get();
}

void consume(Network *net, size_t n)
{
	Attempt *attempt = pick_attempt(net, n);

	if (!attempt || !attempt->handle)
		return;
	ks_attempt_consume(attempt->handle, attempt->unconsumed);
	attempt->unconsumed = 0;
}

void cancel(Network *net, size_t n)
{
	Attempt *attempt = pick_attempt(net, n);

	if (attempt && attempt->handle)
		ks_attempt_cancel(attempt->handle);
}

void step(Network *net, uint32_t op)
{
	size_t n = op / 16;

	switch (op % 16) {
	case 0:
	case 1:
		send_attempt(net, n % 2);
		break;
	case 2:
	case 3:
	case 4:
		deliver_to_server(net, net->current);
		break;
	case 5:
		deliver_to_server(net, n % net->connections.size());
		break;
	case 6:
	case 7:
	case 8:
		deliver_to_client(net);
		break;
	case 9:
		accept_or_refuse_job(net, n);
		break;
	case 10:
	case 11:
		advance_job(net, n);
		break;
	case 12:
		consume(net, n);
		break;
	case 13:
		advance_time(net, (int64_t)(n % 4 + 1) * 500000);
		break;
	case 14:
		net->connections[net->current].silent = true;
		break;
	default:
		if (n % 4 == 0)
			restart_server(net);
		else
			cancel(net, n);
		break;
	}
}

void check_safety(Network *net)
{
	for (auto &attempt : net->attempts) {
		RC_ASSERT(attempt->final_events <= 1);
		RC_ASSERT(
			!(attempt->reported_not_started && attempt->forwarded));
		RC_ASSERT(attempt->written.compare(0, attempt->read.size(),
						   attempt->read) == 0);
		if (attempt->reported_complete) {
			RC_ASSERT(attempt->complete);
			RC_ASSERT(attempt->read == attempt->written);
		}
	}
}

/* Runs without faults for long enough that every attempt ends. */
void run_without_faults(Network *net)
{
	for (int round = 0; round < 400; round++) {
		for (size_t i = 0; i < net->connections.size(); i++)
			while (!net->connections[i].to_server.empty())
				deliver_to_server(net, i);
		for (int i = 0; i < 200; i++)
			deliver_to_client(net);
		while (!net->waiting.empty())
			accept_or_refuse_job(net, 1);
		advance_job(net, 0);
		for (size_t i = 0; i < net->attempts.size(); i++)
			consume(net, i);
		advance_time(net, 200000);
	}
}

/* Outcomes counted over all cases, to show that each one is covered. */
struct Coverage {
	int attempts, complete, not_started, unknown, sessions;
} coverage;

void count_coverage(const Network *net)
{
	coverage.sessions += (int)net->connections.size();
	for (auto &attempt : net->attempts) {
		coverage.attempts++;
		coverage.complete += attempt->reported_complete;
		coverage.not_started += attempt->reported_not_started;
		coverage.unknown += !attempt->reported_complete &&
				    !attempt->reported_not_started;
	}
}

void check_link(const std::vector<uint32_t> &ops)
{
	Network net;

	ks_test_clock_init(&net.clock, 1000000);
	ks_loop_init(&net.loop, &net.clock.clock);
	ks_rng_init(&net.rng, 1);
	start_server(&net);
	start_client(&net);
	deliver_to_server(&net, net.current);
	deliver_to_client(&net);
	for (uint32_t op : ops) {
		step(&net, op);
		check_safety(&net);
	}
	run_without_faults(&net);
	check_safety(&net);
	for (auto &attempt : net.attempts)
		RC_ASSERT(attempt->final_events == 1);
	RC_ASSERT(ks_link_server_is_idle(net.server));
	count_coverage(&net);
	ks_link_client_free(net.client);
	ks_link_server_free(net.server);
	ks_rng_deinit(&net.rng);
	ks_loop_deinit(&net.loop);
}

} // namespace

int main()
{
	bool ok = rc::check(
		"each attempt gets its own complete response or the correct "
		"failure, and is executed at most once",
		[]() {
			size_t len = *rc::gen::inRange<size_t>(0, 400);

			check_link(*rc::gen::container<std::vector<uint32_t>>(
				len, rc::gen::inRange<uint32_t>(0, 1 << 16)));
		});

	printf("attempts %d: complete %d, not started %d, failed or unknown %d; "
	       "sessions %d\n",
	       coverage.attempts, coverage.complete, coverage.not_started,
	       coverage.unknown, coverage.sessions);
	return ok ? 0 : 1;
}
