/* Property test of the drain state over random sequences of events. */
#include "ks/upstream.h"

#include <rapidcheck.h>

namespace
{

enum event {
	SNAPSHOT_LISTED,
	SNAPSHOT_NOT_LISTED,
	CHANGE_BEGINS,
	CHANGE_ENDS,
	HOST_LEAVING,
	HOST_NOT_LEAVING,
	LEAVING_REPORTED,
	REQUEST,
	REQUEST_ENDS,
	STOP,
	N_EVENTS
};

struct model {
	unsigned in_flight = 0;
	bool stopped = false;
	bool host_leaving = false;
	bool listed = false;
	bool changing = false;
};

void apply(ks_drain_t *drain, model *expected, int event, int64_t now)
{
	switch (event) {
	case SNAPSHOT_LISTED:
	case SNAPSHOT_NOT_LISTED:
		expected->listed = event == SNAPSHOT_LISTED;
		ks_drain_set_snapshot(drain, expected->listed);
		break;
	case CHANGE_BEGINS:
	case CHANGE_ENDS:
		expected->changing = event == CHANGE_BEGINS;
		ks_drain_set_changing(drain, expected->changing);
		break;
	case HOST_LEAVING:
	case HOST_NOT_LEAVING:
		expected->host_leaving = event == HOST_LEAVING;
		ks_drain_set_host_list(drain, expected->host_leaving, now);
		break;
	case LEAVING_REPORTED:
		ks_drain_note_leaving_seen(drain, now);
		RC_ASSERT(!ks_drain_is_accepting(drain));
		break;
	case REQUEST:
		if (!ks_drain_is_accepting(drain))
			break;
		ks_drain_begin(drain);
		expected->in_flight++;
		break;
	case REQUEST_ENDS:
		if (expected->in_flight == 0)
			break;
		ks_drain_end(drain);
		expected->in_flight--;
		break;
	default:
		ks_drain_stop(drain);
		expected->stopped = true;
	}
}

void check(const ks_drain_t *drain, const model &expected)
{
	bool accepting = ks_drain_is_accepting(drain);

	if (expected.stopped || expected.host_leaving || !expected.listed ||
	    expected.changing)
		RC_ASSERT(!accepting);
	RC_ASSERT(accepting == (ks_drain_state(drain) == KS_UPSTREAM_READY));
	RC_ASSERT(ks_drain_is_drained(drain) ==
		  (!accepting && expected.in_flight == 0));
	RC_ASSERT(drain->in_flight == expected.in_flight);
}

} // namespace

int main()
{
	return rc::check("no request is accepted while any reason applies, and "
			 "drained means that none is in flight",
			 [](const std::vector<uint8_t> &events) {
				 ks_drain_t drain;
				 model expected;
				 int64_t now = 0;

				 ks_drain_init(&drain);
				 for (uint8_t byte : events) {
					 now += (byte / N_EVENTS) *
						KS_USEC_PER_SEC;
					 apply(&drain, &expected,
					       byte % N_EVENTS, now);
					 check(&drain, expected);
				 }
			 })
		       ? 0
		       : 1;
}
