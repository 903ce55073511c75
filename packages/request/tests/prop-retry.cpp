/* Property tests of retries, ejection and the concurrency limit. */
#include "ks/request.h"

#include <algorithm>
#include <memory>
#include <rapidcheck.h>
#include <vector>

namespace
{

const int64_t SEC = KS_USEC_PER_SEC;

struct Rng {
	ks_rng_t rng;

	explicit Rng(uint32_t seed)
	{
		ks_rng_init(&rng, seed);
	}
	~Rng()
	{
		ks_rng_deinit(&rng);
	}
};

ks_attempt_failure_t draw_failure()
{
	ks_attempt_failure_t failure;

	failure.kind = static_cast<ks_error_kind_t>(
		*rc::gen::inRange<int>(0, KS_ERROR_N_KINDS));
	failure.not_started = *rc::gen::arbitrary<bool>();
	failure.delivered = *rc::gen::arbitrary<bool>();
	return failure;
}

/* Guards against running a non-idempotent request, e.g. a payment, twice. */
bool check_not_repeated()
{
	return rc::check(
		"an attempt that may have started is retried only if "
		"idempotent",
		[] {
			ks_attempt_failure_t failure = draw_failure();
			auto idempotent = *rc::gen::arbitrary<bool>();
			ks_retry_budget_t budget;

			ks_retry_budget_init(&budget, 1, 100);
			if (!ks_retry_allowed(&budget, &failure, idempotent,
					      *rc::gen::inRange(1, 6),
					      *rc::gen::inRange(-SEC, SEC)))
				return;
			RC_ASSERT(failure.not_started ||
				  (idempotent && !failure.delivered));
		});
}

/* Guards against retries that multiply the load during an outage. */
bool check_budget()
{
	return rc::check("retries stay within the budget", [] {
		auto requests = *rc::gen::inRange(1, 2000);
		auto percent = *rc::gen::inRange(0, 50);
		ks_attempt_failure_t failure = { KS_ERROR_UPSTREAM_FAILED,
						 false, false };
		ks_retry_budget_t budget;
		double retries = 0;

		ks_retry_budget_init(&budget, percent / 100.0, 10);
		for (int i = 0; i < requests; i++) {
			ks_retry_budget_deposit(&budget);
			for (unsigned n = 1;
			     ks_retry_allowed(&budget, &failure, true, n, SEC);
			     n++)
				retries++;
		}
		RC_ASSERT(retries <= 10 + requests * percent / 100.0 + 1e-6);
	});
}

/*
 * Guards against requests that fail during a planned change because the retry
 * budget is exhausted.
 */
bool check_drain_needs_no_budget()
{
	return rc::check("rejections while draining need no budget", [] {
		ks_attempt_failure_t failure = { KS_ERROR_NOT_READY, true,
						 false };
		ks_retry_budget_t budget;

		ks_retry_budget_init(&budget, 0, 0);
		RC_ASSERT(ks_retry_allowed(&budget, &failure,
					   *rc::gen::arbitrary<bool>(), 1,
					   SEC));
		failure.kind = KS_ERROR_OVERLOADED;
		RC_ASSERT(!ks_retry_allowed(&budget, &failure, true, 1, SEC));
	});
}

/* Guards against an ejected upstream that is retried too often or never. */
bool check_ejection_backoff()
{
	return rc::check("ejection backs off exponentially and ends", [] {
		auto failures = *rc::gen::inRange(3, 100);
		Rng rng(*rc::gen::arbitrary<uint32_t>());
		ks_ejection_t ejection;
		int64_t now = 0;
		int probes = 0;

		ks_ejection_init(&ejection);
		for (int i = 0; i < failures; i++) {
			RC_ASSERT(!ks_ejection_is_active(&ejection, now));
			ks_ejection_dispatch(&ejection, now);
			/* Nothing else is sent while a probe runs. */
			RC_ASSERT(ks_ejection_is_active(&ejection, now) ==
				  (i >= 3));
			ks_ejection_failure(&ejection, now, &rng.rng);
			if (i < 2)
				continue;
			RC_ASSERT(ks_ejection_is_active(&ejection, now));
			RC_ASSERT(ejection.until_us - now <= 75 * SEC);
			RC_ASSERT(ejection.until_us - now >=
				  (i > 8 ? 45 * SEC : SEC / 2));
			now = ejection.until_us;
			probes++;
		}
		RC_ASSERT(probes == failures - 2);
		ks_ejection_success(&ejection);
		RC_ASSERT(!ks_ejection_is_active(&ejection, now));
		ks_ejection_failure(&ejection, now, &rng.rng);
		RC_ASSERT(!ks_ejection_is_active(&ejection, now));
	});
}

/* Guards against a burst of failures counting as several ejections. */
bool check_failure_burst()
{
	return rc::check("failures sent before an ejection count once", [] {
		auto burst = *rc::gen::inRange(3, 200);
		Rng rng(1);
		ks_ejection_t ejection;

		ks_ejection_init(&ejection);
		for (int i = 0; i < burst; i++)
			ks_ejection_failure(&ejection, 0, &rng.rng);
		RC_ASSERT(ejection.until_us <= 2 * SEC);
	});
}

/* Guards against a probe without a result ejecting an upstream forever. */
bool check_probe_timeout()
{
	return rc::check("a probe without a result is followed by another", [] {
		Rng rng(1);
		ks_ejection_t ejection;
		int64_t now;

		ks_ejection_init(&ejection);
		for (int i = 0; i < 3; i++)
			ks_ejection_failure(&ejection, 0, &rng.rng);
		for (int i = 0; i < *rc::gen::inRange(1, 5); i++) {
			now = ejection.until_us;
			RC_ASSERT(!ks_ejection_is_active(&ejection, now));
			ks_ejection_dispatch(&ejection, now);
			RC_ASSERT(ejection.until_us <= now + 10 * SEC);
		}
	});
}

/*
 * Guards against ejecting all upstreams when the cause of the failures is in
 * the entry itself.
 */
bool check_ejection_cap()
{
	return rc::check("at most half of a group is ejected", [] {
		auto end_times = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 20));
		std::vector<ks_ejection_t> group(end_times.size());
		std::vector<const ks_ejection_t *> pointers;
		std::unique_ptr<bool[]> out(new bool[end_times.size() + 1]);
		size_t n_ejected = 0, n_out = 0;

		for (size_t i = 0; i < end_times.size(); i++) {
			ks_ejection_init(&group[i]);
			group[i].until_us = end_times[i];
			pointers.push_back(&group[i]);
			n_ejected += end_times[i] > 10;
		}
		size_t result = ks_ejection_cap(
			pointers.data(), end_times.size(), 10, out.get());
		for (size_t i = 0; i < end_times.size(); i++) {
			n_out += out[i];
			RC_ASSERT(!out[i] || end_times[i] > 10);
			/* Those due earliest are readmitted first. */
			for (size_t j = 0; j < end_times.size(); j++)
				if (out[i] && !out[j])
					RC_ASSERT(end_times[j] <= end_times[i]);
		}
		RC_ASSERT(n_out == result);
		RC_ASSERT(n_out == std::min(n_ejected, end_times.size() / 2));
	});
}

/* Latency of an upstream that processes @capacity requests in parallel. */
int64_t latency_us(double in_flight, double capacity)
{
	return (int64_t)(SEC / 10 * std::max(1.0, in_flight / capacity));
}

/* Guards against a limit that grows under constant load or gets stuck. */
bool check_limit_converges()
{
	return rc::check("the limit converges near the capacity", [] {
		auto capacity = *rc::gen::inRange(8, 64);
		auto initial = *rc::gen::inRange(2, 200);
		ks_limit_t limit;

		ks_limit_init(&limit, initial, 2, 200);
		/* Low load establishes the baseline latency. */
		for (int i = 0; i < 20; i++)
			ks_limit_sample(&limit, SEC / 10, SEC / 10, 1);
		for (int i = 0; i < 20000; i++) {
			unsigned in_flight = ks_limit_value(&limit);

			ks_limit_sample(&limit, latency_us(in_flight, capacity),
					SEC / 10, in_flight);
		}
		RC_ASSERT(ks_limit_value(&limit) >= capacity * 0.8);
		RC_ASSERT(ks_limit_value(&limit) <= capacity * 2.5);
	});
}

/* Guards against a limit outside its bounds. */
bool check_limit_bounds()
{
	return rc::check("the limit stays inside its bounds", [] {
		auto steps = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 5000000));
		ks_limit_t limit;

		ks_limit_init(&limit, 10, 2, 40);
		for (int step : steps) {
			if (step % 3 == 0)
				ks_limit_overload(&limit);
			else
				ks_limit_sample(&limit, step, step % 1000,
						step % 60);
			RC_ASSERT(ks_limit_value(&limit) >= 2);
			RC_ASSERT(ks_limit_value(&limit) <= 40);
		}
	});
}

/*
 * Guards against a limit that stays at its minimum after a change of the
 * workload.
 */
bool check_limit_recovers()
{
	return rc::check("the limit recovers when requests get slower", [] {
		auto factor = *rc::gen::inRange(2, 10);
		ks_limit_t limit;

		ks_limit_init(&limit, 20, 2, 40);
		for (int i = 0; i < 20000; i++)
			ks_limit_sample(&limit, i < 100 ? SEC : factor * SEC,
					SEC, ks_limit_value(&limit));
		RC_ASSERT(ks_limit_value(&limit) >= 30);
	});
}

} // namespace

int main()
{
	bool ok = check_not_repeated();

	ok = check_budget() && ok;
	ok = check_drain_needs_no_budget() && ok;
	ok = check_ejection_backoff() && ok;
	ok = check_failure_burst() && ok;
	ok = check_probe_timeout() && ok;
	ok = check_ejection_cap() && ok;
	ok = check_limit_converges() && ok;
	ok = check_limit_bounds() && ok;
	ok = check_limit_recovers() && ok;
	return ok ? 0 : 1;
}
