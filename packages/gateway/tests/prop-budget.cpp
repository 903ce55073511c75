/*
 * Property test of the retry budget. Guards against an interval of the window's
 * length in which more retries are granted than the limit allows.
 */
#include "ks/gateway.h"

#include <rapidcheck.h>
#include <vector>

struct step {
	int64_t at_us;
	bool is_request;
	bool granted;
};

static const int64_t window_us = 10 * KS_USEC_PER_SEC;

static void check_span(const std::vector<step> &steps, size_t first,
		       double ratio, double slack)
{
	int64_t end = steps[first].at_us + window_us;
	unsigned requests = 0, extra = 0;

	/*
	 * Requests of the window before the interval count as well, as the
	 * budget's window may begin up to that much earlier.
	 */
	for (const step &s : steps) {
		if (s.is_request && s.at_us >= steps[first].at_us - window_us &&
		    s.at_us < end)
			requests++;
		if (!s.is_request && s.granted &&
		    s.at_us >= steps[first].at_us && s.at_us < end)
			extra++;
	}
	RC_ASSERT(extra <= ratio * requests + slack + 1e-9);
}

int main()
{
	bool ok = rc::check("no span exceeds the budget", [] {
		double ratio = *rc::gen::inRange(0, 10) / 10.0;
		double slack = *rc::gen::inRange(0, 20);
		auto gaps = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 400));
		std::vector<step> steps;
		ks_budget_t budget;
		int64_t now = 1000 * KS_USEC_PER_SEC;

		ks_budget_init(&budget, ratio, slack, window_us);
		for (int gap : gaps) {
			step s = { now, *rc::gen::inRange(0, 2) == 0, false };

			if (s.is_request)
				ks_budget_request(&budget, now);
			else
				s.granted = ks_budget_take(&budget, now);
			steps.push_back(s);
			now += gap * KS_USEC_PER_MSEC;
		}
		for (size_t i = 0; i < steps.size(); i++)
			check_span(steps, i, ratio, slack);
	});

	ok &= rc::check("an idle budget grants its slack", [] {
		unsigned slack = *rc::gen::inRange<unsigned>(0, 50);
		ks_budget_t budget;
		unsigned granted = 0;

		ks_budget_init(&budget, 0.2, slack, window_us);
		while (ks_budget_take(&budget, window_us))
			granted++;
		RC_ASSERT(granted == slack);
	});
	return ok ? 0 : 1;
}
