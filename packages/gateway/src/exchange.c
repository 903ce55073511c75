/*
 * Starts exchanges: matches a request to a route and a service, sets its
 * deadline and dispatches it. Also handles the deadline and the disconnection
 * of the caller.
 */
#include "gateway_internal.h"

#include <string.h>

/*
 * How long the exchange outlives the deadline sent to the upstream, so that a
 * response sent right at the deadline still arrives.
 */
#define HARD_DEADLINE_MARGIN_US (60 * KS_USEC_PER_MSEC)

static void on_hard_deadline(void *ctx)
{
	struct exchange *x = ctx;

	if (x->step == EXCHANGE_DETACHED) {
		exchange_free(x);
		return;
	}
	/* A request that was sent without a response may have run. */
	if (x->step == EXCHANGE_RUN && ks_http_call_is_active(&x->call) &&
	    x->call.sent)
		x->runs++;
	if (x->started || !exchange_may_have_run(x))
		exchange_give_up(x, RETRY_AFTER_OVERLOADED_S, "timeout");
	else
		exchange_respond(x, 504, 0, "timeout");
}

/*
 * Lets a request that must not be repeated run to its end when the caller
 * disconnects, since a cancelled one could be left half done.
 */
static void on_caller_gone(void *ctx)
{
	struct exchange *x = ctx;
	ks_http1_request_t *caller = x->caller;

	x->caller = NULL;
	ks_http1_abort(caller);
	ks_counter_add(x->gateway->counters.gone, 1);
	exchange_log(x, KS_LOG_DEBUG, "caller disconnected", 0);
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
	ks_timer_init(&x->timer, gateway->loop, on_hard_deadline, x);
	ks_list_append(&gateway->exchanges, &x->node);
	exchange_copy_request(x, request);
	request->ctx = x;
	request->disconnected = on_caller_gone;
	request->drained = exchange_resume_response;
	return x;
}

static void set_deadline(struct exchange *x, const ks_http1_request_t *request)
{
	int64_t left_ms, deadline_us = x->route->timeout_us;
	ks_str_t text = ks_header_value(request->headers, request->n_headers,
					x->gateway->dialect->time_left_ms.data);

	if (ks_str_parse_int(text, 0, G_MAXINT32, &left_ms))
		deadline_us = MIN(deadline_us, left_ms * KS_USEC_PER_MSEC);
	x->deadline_us = x->arrived_us + deadline_us;
	x->hard_deadline_us = x->deadline_us + HARD_DEADLINE_MARGIN_US;
	ks_timer_set(&x->timer, x->hard_deadline_us - x->arrived_us);
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
 * A missing route is reported as 404 only if the configuration was confirmed
 * this recently, as an older one may lack new routes. The store answers a long
 * poll for changes after 2 s at the latest.
 */
#define CONFIG_FRESH_US (2500 * KS_USEC_PER_MSEC)

static void refuse_unrouted(struct exchange *x)
{
	const ks_gateway_t *gateway = x->gateway;

	if (!gateway->traffic)
		exchange_respond(x, 503, RETRY_AFTER_NOT_READY_S,
				 "no configuration yet");
	else if (exchange_now(x) - gateway->confirmed_us > CONFIG_FRESH_US)
		exchange_respond(x, 503, RETRY_AFTER_NOT_READY_S,
				 "no route in an old configuration");
	else
		exchange_respond(x, 404, 0, "no route");
}

/**
 * exchange_start() - begin to forward a request
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
		exchange_respond(x, 400, 0, "no request id");
		return;
	}
	x->service_name = ks_route_pick(
		x->route, ks_rng_below(&gateway->rng, G_MAXINT32));
	x->service = x->service_name
			     ? ks_traffic_service(x->traffic, x->service_name)
			     : NULL;
	if (!x->service) {
		exchange_respond(x, 503, RETRY_AFTER_NOT_READY_S,
				 "the route has no known service");
		return;
	}
	set_deadline(x, request);
	parts = ks_header_value(request->headers, request->n_headers,
				gateway->dialect->prompt_parts.data);
	x->has_prompt =
		x->service->is_engine && ks_prompt_parse(&x->prompt, parts);
	x->may_split = x->has_prompt && x->service->transfers_kv;
	x->has_events = x->route->kind == KS_CALL_STREAM && x->route->resumable;
	ks_budget_request(gateway_budget(gateway, x->service_name),
			  exchange_now(x));
	exchange_dispatch(x);
}

/**
 * exchange_abort() - end an exchange because the process exits
 */
void exchange_abort(struct exchange *x)
{
	if (x->caller)
		ks_http1_abort(x->caller);
	x->caller = NULL;
	exchange_free(x);
}
