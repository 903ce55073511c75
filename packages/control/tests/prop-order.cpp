/* Property test of ks_order_next(), which chooses the next step of an engine.
 */
#include "ks/control.h"

#include <rapidcheck.h>

namespace
{
/* Guards against an order sent while one of its preconditions is not met. */
bool check_conditions()
{
	return rc::check("an order is sent only if all preconditions hold", [] {
		ks_order_target_t target;
		ks_engine_state_t state = {};
		ks_order_view_t view = {};
		ks_order_t order = {};
		auto flag = [] { return *rc::gen::arbitrary<bool>(); };
		auto mostly = [] {
			return *rc::gen::element(true, true, true, true, false);
		};

		ks_order_target_init(&target);
		target.known = mostly();
		g_strlcpy(target.model, "m", sizeof(target.model));
		g_strlcpy(state.model, flag() ? "m" : "", sizeof(state.model));
		state.role = flag() ? KS_ROLE_BOTH : KS_ROLE_DECODE;
		state.busy_with_order = !mostly();
		view.target = &target;
		view.state = mostly() ? &state : nullptr;
		view.fresh = mostly();
		view.order_pending = !mostly();
		view.stopping = !mostly();
		view.leases_held = mostly();
		view.lease_requested = view.leases_held || flag();
		view.permit_held = mostly();
		view.accepting = !mostly();
		view.changing = mostly();
		view.abandoned = flag();
		view.in_flight = mostly() ? 0 : 1;
		view.order_timeout_us = 1000;
		view.time_left_us = *rc::gen::element(999, 1000, 2000);
		ks_order_step_t step = ks_order_next(&view, &order);

		ks_order_target_deinit(&target);
		RC_TAG(step == KS_ORDER_STEP_SEND ? "order" : "other");
		if (step != KS_ORDER_STEP_SEND)
			return;
		RC_ASSERT(view.state && target.known);
		RC_ASSERT(!view.order_pending && !view.stopping);
		RC_ASSERT(!state.busy_with_order);
		RC_ASSERT(view.leases_held && view.fresh);
		RC_ASSERT(view.changing && !view.accepting);
		RC_ASSERT(view.in_flight == 0u);
		RC_ASSERT(view.time_left_us >= view.order_timeout_us);
		RC_ASSERT(order.kind != KS_ORDER_LOAD_MODEL ||
			  view.permit_held);
	});
}
} // namespace

int main()
{
	return check_conditions() ? 0 : 1;
}
