/*
 * Starts exchanges: matches a request to a route and a service, sets its
 * deadline and dispatches it. Also handles the deadline and the disconnection
 * of the caller.
 */
#include "gateway_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * How long the exchange outlives the deadline sent to the upstream, so that a
 * response sent right at the deadline still arrives.
 */
#define HARD_DEADLINE_MARGIN_US (60 * KS_USEC_PER_MSEC)

/**
 * exchange_end_unanswered() - end an exchange that has no time left
 */
void exchange_end_unanswered(struct exchange *exchange, const char *why)
{
	if (exchange->step == EXCHANGE_DETACHED) {
		exchange_free(exchange);
		return;
	}
	/* A request that was sent without a response may have run. */
	if (exchange->step == EXCHANGE_RUN &&
	    ks_http_call_is_active(&exchange->call) && exchange->call.sent)
		exchange->runs++;
	if (exchange->started || !exchange_may_have_run(exchange))
		exchange_give_up(exchange, RETRY_AFTER_OVERLOADED_S, why);
	else
		exchange_respond(exchange, 504, 0, why);
}

static void on_hard_deadline(void *ctx)
{
	exchange_end_unanswered(ctx, "timeout");
}

/*
 * Lets a request that must not be repeated run to its end when the caller
 * disconnects, since a cancelled one could be left half done.
 */
static void on_caller_gone(void *ctx)
{
	struct exchange *exchange = ctx;
	ks_http1_request_t *caller = exchange->caller;

	exchange->caller = NULL;
	ks_http1_abort(caller);
	ks_counter_add(exchange->gateway->counters.gone, 1);
	exchange_log(exchange, KS_LOG_DEBUG, "caller disconnected", 0);
	if (exchange->route->kind == KS_CALL_ONCE &&
	    exchange->step == EXCHANGE_RUN && exchange->call.sent) {
		exchange->step = EXCHANGE_DETACHED;
		return;
	}
	exchange_free(exchange);
}

static struct exchange *new_exchange(ks_gateway_t *gateway,
				     ks_http1_request_t *request)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	ks_str_t id = ks_header_value(request->headers, request->n_headers,
				      gateway->dialect->request_id.data);

	exchange->gateway = gateway;
	exchange->caller = request;
	exchange->id = ks_str_dup(id);
	exchange->number = ++gateway->n_exchanges;
	exchange->arrived_us = ks_loop_now(gateway->loop);
	exchange->request_fields =
		g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	exchange->field_texts = g_ptr_array_new_with_free_func(g_free);
	exchange->avoid =
		g_ptr_array_new_with_free_func((GDestroyNotify)ks_member_unref);
	exchange->sent_to = g_array_new(FALSE, FALSE, sizeof(ks_address_t));
	exchange->kv_source = g_string_new(NULL);
	exchange->fields = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	exchange->fields_text = g_string_new(NULL);
	exchange->body = g_string_new(NULL);
	ks_events_init(&exchange->events);
	ks_timer_init(&exchange->timer, gateway->loop, on_hard_deadline,
		      exchange);
	exchange_init_identity(exchange);
	ks_list_append(&gateway->exchanges, &exchange->node);
	exchange_copy_request(exchange, request);
	request->ctx = exchange;
	request->disconnected = on_caller_gone;
	request->drained = exchange_resume_response;
	return exchange;
}

/**
 * gateway_time_limit_us() - time limit of a request, from its arrival
 * @left_ms: how long the caller waits, as text; ignored if it is no number
 */
int64_t gateway_time_limit_us(const ks_route_t *route, ks_str_t left_ms)
{
	int64_t ms;

	if (!ks_str_parse_int(left_ms, 0, G_MAXINT32, &ms))
		return route->timeout_us;
	return MIN(route->timeout_us, ms * KS_USEC_PER_MSEC);
}

static int64_t parse_stated_us(ks_str_t left_ms)
{
	int64_t ms;

	return ks_str_parse_int(left_ms, 0, G_MAXINT32, &ms)
		       ? ms * KS_USEC_PER_MSEC
		       : 0;
}

/**
 * gateway_hard_deadline_us() - when an exchange is ended in any case
 * @deadline_us: when the caller stops waiting
 */
int64_t gateway_hard_deadline_us(int64_t deadline_us)
{
	return deadline_us + HARD_DEADLINE_MARGIN_US;
}

static void set_deadline(struct exchange *exchange,
			 const ks_http1_request_t *request)
{
	ks_str_t text =
		ks_header_value(request->headers, request->n_headers,
				exchange->gateway->dialect->time_left_ms.data);

	exchange->stated_us = parse_stated_us(text);
	exchange->deadline_us = exchange->arrived_us +
				gateway_time_limit_us(exchange->route, text);
	exchange->hard_deadline_us =
		gateway_hard_deadline_us(exchange->deadline_us);
	ks_timer_set(&exchange->timer,
		     exchange->hard_deadline_us - exchange->arrived_us);
}

static void hash_text(XXH64_state_t *state, ks_str_t text)
{
	XXH64_update(state, &text.len, sizeof(text.len));
	XXH64_update(state, text.data, text.len);
}

static uint64_t hash_content(const struct exchange *exchange, ks_str_t prompt)
{
	const GString *texts[] = { exchange->method, exchange->host,
				   exchange->target };
	ks_str_t body;
	XXH64_state_t *state = XXH64_createState();
	uint64_t hash;

	XXH64_reset(state, 0);
	hash_text(state, ks_str_from(exchange->service_name));
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		hash_text(state, (ks_str_t){ texts[i]->str, texts[i]->len });
	body.data = g_bytes_get_data(exchange->request_body, &body.len);
	hash_text(state, body);
	hash_text(state, prompt);
	hash = XXH64_digest(state);
	XXH64_freeState(state);
	return hash;
}

/**
 * gateway_path_of() - the part of a target before its query
 */
ks_str_t gateway_path_of(ks_str_t target)
{
	const char *query =
		target.len ? memchr(target.data, '?', target.len) : NULL;

	if (query)
		target.len = (size_t)(query - target.data);
	return target;
}

/**
 * gateway_unrouted_status() - status for a request without a route
 * @why: set to the reason
 *
 * An older configuration may lack new routes.
 */
int gateway_unrouted_status(const ks_gateway_t *gateway, const char **why)
{
	bool is_current = gateway_config_is_current(gateway);

	if (!gateway->traffic)
		*why = "no configuration yet";
	else
		*why = is_current ? "no route"
				  : "no route in an old configuration";
	return is_current ? 404 : 503;
}

static void refuse_unrouted(struct exchange *exchange)
{
	const char *why;
	int status = gateway_unrouted_status(exchange->gateway, &why);

	exchange_respond(exchange, status,
			 status == 503 ? RETRY_AFTER_NOT_READY_S : 0, why);
}

/**
 * gateway_pick_service() - choose a service of a route
 * @draw: random number
 *
 * Return: NULL if the route has none that the configuration has as well.
 */
const char *gateway_pick_service(const ks_traffic_t *traffic,
				 const ks_route_t *route, uint32_t draw)
{
	const char *service = ks_route_pick(route, draw);

	return service && ks_traffic_service(traffic, service) ? service : NULL;
}

/**
 * gateway_read_prompt() - read the parts of a request's prompt
 * @parts: as the request states them
 *
 * Return: false if the service has no engines, or there is no valid list.
 */
bool gateway_read_prompt(ks_prompt_t *prompt, const ks_service_t *service,
			 ks_str_t parts)
{
	bool has_prompt = service->is_engine && ks_prompt_parse(prompt, parts);

	ks_prompt_set_service(prompt, service->name);
	return has_prompt;
}

/**
 * exchange_begin() - send the request to an upstream of a service of its route
 * @service: a service that the configuration has
 */
void exchange_begin(struct exchange *exchange, const char *service)
{
	ks_gateway_t *gateway = exchange->gateway;
	ks_str_t parts = ks_header_value(
		(const ks_header_t *)(void *)exchange->request_fields->data,
		exchange->request_fields->len,
		gateway->dialect->prompt_parts.data);

	exchange->service_name = service;
	exchange->service = ks_traffic_service(exchange->traffic, service);
	exchange->has_prompt = gateway_read_prompt(&exchange->prompt,
						   exchange->service, parts);
	exchange->content = hash_content(
		exchange, exchange->has_prompt ? parts : (ks_str_t){ "", 0 });
	ks_budget_request(gateway_budget(gateway, service),
			  exchange_now(exchange));
	exchange_dispatch(exchange);
}

/**
 * exchange_start() - begin to forward a request
 */
void exchange_start(ks_gateway_t *gateway, ks_http1_request_t *request)
{
	struct exchange *exchange = new_exchange(gateway, request);
	const char *service;

	ks_counter_add(gateway->counters.requests, 1);
	if (gateway->traffic) {
		exchange->traffic = ks_traffic_ref(gateway->traffic);
		exchange->route = ks_traffic_match(
			exchange->traffic,
			(ks_str_t){ exchange->host->str, exchange->host->len },
			gateway_path_of(request->target));
	}
	if (!exchange->route) {
		refuse_unrouted(exchange);
		return;
	}
	if (exchange_refuse_key(exchange, request))
		return;
	if (!*exchange->id) {
		exchange_respond(exchange, 400, 0, "no request id");
		return;
	}
	service = gateway_pick_service(exchange->traffic, exchange->route,
				       ks_rng_below(&gateway->rng, G_MAXINT32));
	if (!service) {
		exchange_respond(exchange, 503, RETRY_AFTER_NOT_READY_S,
				 GATEWAY_WHY_NO_SERVICE);
		return;
	}
	set_deadline(exchange, request);
	if (exchange_refuse_stopping(exchange))
		return;
	exchange->has_events = exchange->route->kind == KS_CALL_STREAM &&
			       exchange->route->resumable;
	exchange_note_stream(exchange);
	if (exchange->is_resume_request)
		exchange_resume(exchange);
	else
		exchange_begin(exchange, service);
}

/**
 * exchange_abort() - end an exchange because the process exits
 */
void exchange_abort(struct exchange *exchange)
{
	if (exchange->caller)
		ks_http1_abort(exchange->caller);
	exchange->caller = NULL;
	exchange_free(exchange);
}
