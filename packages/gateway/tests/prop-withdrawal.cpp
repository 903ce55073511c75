/*
 * Property tests of upstreams that leave or request a back-off, in virtual
 * time: an entry that chooses as dispatch does, requests and responses that
 * take a while on their way, and restarts of the upstreams.
 */
#include "ks/gateway.h"

#include <rapidcheck.h>
#include <map>
#include <string>
#include <vector>

static const int64_t ms = KS_USEC_PER_MSEC;
static const int64_t notice_us = 2000 * ms;
/* Requests that were on their way when the upstream answered may still come. */
static const int64_t grace_us = 500 * ms;
static const unsigned max_within = 2;
static const int64_t step_us = 10 * ms;
static const int64_t end_us = 15000 * ms;
/* A connection that does not come up within this time is given up. */
static const int64_t max_transit_us = 400 * ms;
static const int64_t max_way_us = 50 * ms;
static const int64_t max_answer_us = 200 * ms;

struct window {
	int64_t from_us;
	int64_t until_us;
	unsigned arrivals;
};

struct upstream {
	int64_t started_ms;
	bool leaving;
	double busy;
	/* When the entry passed on the first answer that said so, 0 before. */
	int64_t told_us;
	std::vector<window> windows;
};

/* A request that waits for its connection or is on its way, or the answer. */
enum message_state {
	CONNECTING,
	ARRIVING,
	ANSWERED
};

struct message {
	int64_t due_us;
	size_t to;
	int64_t started_ms;
	int64_t sent_us;
	message_state state;
	bool leaving;
	std::string wait;
};

struct sim {
	ks_fleet_t fleet;
	std::vector<upstream> upstreams;
	std::vector<message> wire;
	int64_t now_us;
};

static std::string name_of(size_t i)
{
	return "u" + std::to_string(i);
}

static void announce(sim &s, size_t i)
{
	std::string id = name_of(i);
	ks_member_spec_t spec = {};

	spec.id = ks_str_from(id.c_str());
	spec.service = ks_str_from("app");
	spec.domain = ks_str_from("d1");
	spec.address.port = (uint16_t)(1 + i);
	spec.process_start_ms = s.upstreams[i].started_ms;
	spec.accepting = true;
	ks_fleet_put(&s.fleet, &spec);
}

static ks_member_t *member_of(sim &s, size_t i)
{
	std::string id = name_of(i);

	return ks_fleet_find(&s.fleet, ks_str_from(id.c_str()));
}

/* Places a request as the gateway does and sends it. */
static void send_request(sim &s, uint32_t draw)
{
	GPtrArray *members = ks_fleet_available(&s.fleet, "app", 0, s.now_us);
	ks_member_t *member;

	if (!members->len) {
		g_ptr_array_free(members, TRUE);
		members = ks_fleet_available(&s.fleet, "app", notice_us,
					     s.now_us);
	}
	if (members->len) {
		member = (ks_member_t *)members->pdata[draw % members->len];
		ks_withdrawal_record_send(&member->withdrawal, s.now_us);
		message request = {};
		request.due_us = s.now_us + draw % (max_transit_us / 2);
		/* Some connections take long to come up. */
		if (draw % 7 == 0)
			request.due_us = s.now_us + max_transit_us;
		request.to = (size_t)(member->address.port - 1);
		request.started_ms = member->process_start_ms;
		request.sent_us = s.now_us;
		s.wire.push_back(request);
	}
	g_ptr_array_free(members, TRUE);
}

static void check_arrival(sim &s, const message &request)
{
	upstream &u = s.upstreams[request.to];

	if (u.told_us)
		RC_ASSERT(request.sent_us <= u.told_us + notice_us);
	for (window &w : u.windows) {
		if (s.now_us < w.from_us || s.now_us > w.until_us)
			continue;
		w.arrivals++;
		RC_ASSERT(w.arrivals <= max_within);
	}
}

/* The upstream answers, or turns the request away for a time. */
static void arrive(sim &s, const message &request, uint32_t draw)
{
	static const char *const waits[] = { "0.3", "1", "2.5",
					     "4",   "0", "later" };
	upstream &u = s.upstreams[request.to];
	message answer = request;

	/* Another incarnation answers 421, which does not count. */
	if (request.started_ms != u.started_ms)
		return;
	check_arrival(s, request);
	answer.state = ANSWERED;
	answer.leaving = u.leaving;
	answer.due_us = s.now_us + draw % max_answer_us;
	if (draw % 100 < u.busy * 100) {
		answer.wait = waits[draw / 100 % G_N_ELEMENTS(waits)];
		int64_t us =
			(int64_t)(g_ascii_strtod(answer.wait.c_str(), NULL) *
				  KS_USEC_PER_SEC);
		if (us > grace_us)
			u.windows.push_back(
				{ s.now_us + grace_us, s.now_us + us, 0 });
	}
	s.wire.push_back(answer);
}

static void receive(sim &s, const message &answer, double draw)
{
	ks_member_t *member = member_of(s, answer.to);
	upstream &u = s.upstreams[answer.to];

	if (!member || member->process_start_ms != answer.started_ms ||
	    u.started_ms != answer.started_ms)
		return;
	if (answer.leaving) {
		ks_withdrawal_leave(&member->withdrawal, s.now_us);
		if (!u.told_us)
			u.told_us = s.now_us;
	}
	ks_withdrawal_back_off(&member->withdrawal,
			       ks_str_from(answer.wait.c_str()), draw,
			       s.now_us);
}

/* The connection is up: the gateway asks again whether to send. */
static void connect(sim &s, message request)
{
	ks_member_t *member = member_of(s, request.to);

	if (!member || member->process_start_ms != request.started_ms ||
	    ks_withdrawal_is_away(&member->withdrawal, s.now_us))
		return;
	request.state = ARRIVING;
	request.due_us = s.now_us + max_way_us;
	s.wire.push_back(request);
}

static void deliver(sim &s, ks_rng_t *rng)
{
	for (size_t i = 0; i < s.wire.size();) {
		message m = s.wire[i];

		if (m.due_us > s.now_us) {
			i++;
			continue;
		}
		s.wire.erase(s.wire.begin() + (long)i);
		if (m.state == ANSWERED)
			receive(s, m, ks_rng_unit(rng));
		else if (m.state == CONNECTING)
			connect(s, m);
		else
			arrive(s, m, ks_rng_below(rng, G_MAXINT32));
	}
}

static void change(sim &s, ks_rng_t *rng)
{
	size_t i = ks_rng_below(rng, (uint32_t)s.upstreams.size());
	upstream &u = s.upstreams[i];

	switch (ks_rng_below(rng, 5)) {
	case 0:
		u.leaving = true;
		break;
	case 1:
		u.busy = ks_rng_unit(rng);
		break;
	case 2:
		u.busy = 0;
		break;
	case 3:
		/* An older reading of the announcement. */
		announce(s, i);
		break;
	default:
		u = {};
		u.started_ms = 1 + s.now_us / ms;
		announce(s, i);
	}
}

int main()
{
	bool ok = rc::check(
		"an upstream that leaves or requests a back-off gets nothing",
		[] {
			sim s = {};
			ks_rng_t rng;
			auto seed = *rc::gen::inRange(0, 1000000);
			auto n = *rc::gen::inRange(1, 5);
			auto per_step = *rc::gen::inRange(1, 4);

			ks_rng_init(&rng, (uint32_t)seed);
			ks_fleet_init(&s.fleet);
			s.upstreams.resize((size_t)n);
			for (size_t i = 0; i < s.upstreams.size(); i++) {
				s.upstreams[i].started_ms = 1;
				announce(s, i);
			}
			for (s.now_us = step_us; s.now_us < end_us;
			     s.now_us += step_us) {
				deliver(s, &rng);
				for (int i = 0; i < per_step; i++)
					send_request(
						s,
						ks_rng_below(&rng, G_MAXINT32));
				if (!ks_rng_below(&rng, 50))
					change(s, &rng);
			}
			ks_fleet_deinit(&s.fleet);
			ks_rng_deinit(&rng);
		});

	return ok ? 0 : 1;
}
