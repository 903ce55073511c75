/*
 * A request on its way through the gateway, from its arrival to its one final
 * answer.
 */
#include "gateway_internal.h"

#include <string.h>

/*
 * After the time that the upstream was given, so that its own answer at the
 * deadline still arrives.
 */
#define FINAL_MARGIN_US (60 * KS_USEC_PER_MSEC)

static void on_final(void *ctx)
{
	struct exchange *x = ctx;

	if (x->step == EXCHANGE_DETACHED) {
		exchange_free(x);
		return;
	}
	/* A run that has been sent and not answered may have run. */
	if (x->step == EXCHANGE_RUN && ks_http_call_is_active(&x->call) &&
	    x->call.sent)
		x->runs++;
	if (x->started || !exchange_may_have_run(x))
		exchange_give_up(x, RETRY_OVERLOADED_S, "timeout");
	else
		exchange_answer_own(x, 504, 0, "timeout");
}

/* A call that must not be repeated is left to run, so that it is not half done.
 */
static void on_gone(void *ctx)
{
	struct exchange *x = ctx;
	ks_http1_request_t *caller = x->caller;

	x->caller = NULL;
	ks_http1_abort(caller);
	ks_counter_add(x->gateway->counters.gone, 1);
	exchange_log(x, KS_LOG_DEBUG, "caller gone", 0);
	if (x->route->kind == KS_CALL_ONCE && x->step == EXCHANGE_RUN &&
	    x->call.sent) {
		x->step = EXCHANGE_DETACHED;
		return;
	}
	exchange_free(x);
}

static struct exchange *new_exchange(ks_gateway_t *gateway,
				     ks_http1_request_t *request)
{
	struct exchange *x = g_new0(struct exchange, 1);
	ks_str_t id = ks_header_value(request->headers, request->n_headers,
				      gateway->dialect->request_id.data);

	x->gateway = gateway;
	x->caller = request;
	x->id = ks_str_dup(id);
	x->arrived_us = ks_loop_now(gateway->loop);
	x->request_fields = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	x->field_texts = g_ptr_array_new_with_free_func(g_free);
	x->avoid =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_member_unref);
	x->kv_source = g_string_new(NULL);
	x->fields = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	x->fields_text = g_string_new(NULL);
	x->body = g_string_new(NULL);
	ks_events_init(&x->events);
	ks_timer_init(&x->timer, gateway->loop, on_final, x);
	ks_list_append(&gateway->exchanges, &x->node);
	exchange_keep_request(x, request);
	request->ctx = x;
	request->disconnected = on_gone;
	request->drained = exchange_resume_answer;
	return x;
}

static void set_deadline(struct exchange *x, const ks_http1_request_t *request)
{
	int64_t left_ms, left_us = x->route->timeout_us;
	ks_str_t text = ks_header_value(request->headers, request->n_headers,
					x->gateway->dialect->time_left_ms.data);

	if (ks_str_parse_int(text, 0, G_MAXINT32, &left_ms))
		left_us = MIN(left_us, left_ms * KS_USEC_PER_MSEC);
	x->left_us = x->arrived_us + left_us;
	x->final_us = x->left_us + FINAL_MARGIN_US;
	ks_timer_set(&x->timer, x->final_us - x->arrived_us);
}

static ks_str_t path_of(ks_str_t target)
{
	const char *query =
		target.len ? memchr(target.data, '?', target.len) : NULL;

	if (query)
		target.len = (size_t)(query - target.data);
	return target;
}

/*
 * A configuration that was confirmed this recently knows every route: the store
 * holds a call for changes for 2 s at most.
 */
#define FRESH_US (2500 * KS_USEC_PER_MSEC)

static void refuse_unrouted(struct exchange *x)
{
	const ks_gateway_t *gateway = x->gateway;

	if (!gateway->traffic)
		exchange_answer_own(x, 503, RETRY_NOT_READY_S,
				    "no configuration yet");
	else if (exchange_now(x) - gateway->confirmed_us > FRESH_US)
		exchange_answer_own(x, 503, RETRY_NOT_READY_S,
				    "no route in an old configuration");
	else
		exchange_answer_own(x, 404, 0, "no route");
}

/**
 * exchange_start() - forward a request
 */
void exchange_start(ks_gateway_t *gateway, ks_http1_request_t *request)
{
	struct exchange *x = new_exchange(gateway, request);
	ks_str_t parts;

	ks_counter_add(gateway->counters.requests, 1);
	if (gateway->traffic) {
		x->traffic = ks_traffic_ref(gateway->traffic);
		x->route = ks_traffic_match(
			x->traffic, (ks_str_t){ x->host->str, x->host->len },
			path_of(request->target));
	}
	if (!x->route) {
		refuse_unrouted(x);
		return;
	}
	if (!*x->id) {
		exchange_answer_own(x, 400, 0, "no request id");
		return;
	}
	x->service_name = ks_route_pick(
		x->route, ks_rng_below(&gateway->rng, G_MAXINT32));
	x->service = x->service_name
			     ? ks_traffic_service(x->traffic, x->service_name)
			     : NULL;
	if (!x->service) {
		exchange_answer_own(x, 503, RETRY_NOT_READY_S,
				    "route without service");
		return;
	}
	set_deadline(x, request);
	parts = ks_header_value(request->headers, request->n_headers,
				gateway->dialect->prompt_parts.data);
	x->has_prompt =
		x->service->is_engine && ks_prompt_parse(&x->prompt, parts);
	x->may_split = x->has_prompt && x->service->moves_kv;
	x->has_events = x->route->kind == KS_CALL_STREAM && x->route->resumable;
	ks_budget_request(gateway_budget(gateway, x->service_name),
			  exchange_now(x));
	exchange_dispatch(x);
}

/**
 * exchange_abandon() - end an exchange because the process ends
 */
void exchange_abandon(struct exchange *x)
{
	if (x->caller)
		ks_http1_abort(x->caller);
	x->caller = NULL;
	exchange_free(x);
}
