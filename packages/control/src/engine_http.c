/*
 * HTTP client of an engine's order endpoint: GET /state reads its state and
 * POST /orders sends an order. See docs/engine.md.
 */
#include "ks/control.h"

#include <jansson.h>
#include <string.h>

#define OBSERVE_TIMEOUT_US (2 * KS_USEC_PER_SEC)
#define MAX_STATE_SIZE (1024 * 1024)

static const char *const order_names[] = {
	[KS_ORDER_LOAD_MODEL] = "load_model",
	[KS_ORDER_UNLOAD_MODEL] = "unload_model",
	[KS_ORDER_LOAD_ADAPTER] = "load_adapter",
	[KS_ORDER_UNLOAD_ADAPTER] = "unload_adapter",
	[KS_ORDER_SET_ROLE] = "set_role",
};

struct observation {
	ks_observe_func_t func;
	void *ctx;
};

struct order_call {
	ks_order_func_t func;
	void *ctx;
};

static bool read_text(json_t *root, const char *name, char *out, size_t size)
{
	json_t *value = json_object_get(root, name);

	if (json_is_null(value))
		return true;
	return json_is_string(value) &&
	       g_strlcpy(out, json_string_value(value), size) < size;
}

static bool read_count(json_t *root, const char *name, uint32_t *out)
{
	json_t *value = json_object_get(root, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > UINT32_MAX)
		return false;
	*out = (uint32_t)json_integer_value(value);
	return true;
}

static bool read_adapters(json_t *root, GPtrArray *adapters)
{
	json_t *list = json_object_get(root, "adapters");
	json_t *item;
	size_t i;

	if (!json_is_array(list))
		return false;
	json_array_foreach(list, i, item)
	{
		if (!json_is_string(item))
			return false;
		g_ptr_array_add(adapters, g_strdup(json_string_value(item)));
	}
	return true;
}

static bool read_state(json_t *root, ks_engine_state_t *state)
{
	json_t *busy = json_object_get(root, "busy");
	json_t *fence = json_object_get(root, "fence");
	json_t *role = json_object_get(root, "role");

	if (!json_is_boolean(busy) || !json_is_integer(fence) ||
	    json_integer_value(fence) < 0 || !json_is_string(role) ||
	    !ks_engine_role_parse(&state->role,
				  ks_str_from(json_string_value(role))))
		return false;
	state->busy_with_order = json_is_true(busy);
	state->fence = (uint64_t)json_integer_value(fence);
	return read_text(root, "model", state->model, sizeof(state->model)) &&
	       read_text(root, "version", state->version,
			 sizeof(state->version)) &&
	       read_adapters(root, state->adapters) &&
	       read_count(root, "running", &state->running) &&
	       read_count(root, "waiting", &state->waiting) &&
	       read_count(root, "kv_blocks_free", &state->kv_blocks_free) &&
	       read_count(root, "kv_blocks_total", &state->kv_blocks_total);
}

static bool parse_state(ks_str_t body, ks_engine_state_t *state)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	bool ok = json_is_object(root) && read_state(root, state);

	json_decref(root);
	return ok;
}

static void on_state(void *ctx, const ks_http_response_t *answer)
{
	struct observation *observation = ctx;
	ks_engine_state_t state = {
		.adapters = g_ptr_array_new_with_free_func(g_free),
	};
	bool ok = answer->result == KS_HTTP_COMPLETE && answer->status == 200 &&
		  parse_state(answer->body, &state);

	if (!ok && answer->result == KS_HTTP_COMPLETE)
		ks_log(KS_LOG_ORDER, KS_LOG_WARN,
		       "cannot parse the engine state, HTTP status %d",
		       answer->status);
	observation->func(observation->ctx, ok ? &state : NULL);
	g_ptr_array_unref(state.adapters);
	g_free(observation);
}

static void observe(void *impl, ks_observe_func_t func, void *ctx)
{
	ks_engine_http_t *driver = impl;
	struct observation *observation = g_new0(struct observation, 1);
	ks_http_request_t request = {
		.address = driver->address,
		.method = KS_STR("GET"),
		.target = KS_STR("/state"),
		.timeout_us = OBSERVE_TIMEOUT_US,
	};

	observation->func = func;
	observation->ctx = ctx;
	ks_http_fetch(driver->client, &request, MAX_STATE_SIZE, on_state,
		      observation);
}

/*
 * Only a 200 or 4xx response tells the outcome of an order. A 5xx response may
 * come from an intermediary, or may follow an order that took effect.
 */
static ks_order_outcome_t order_outcome(const ks_http_response_t *answer)
{
	if (answer->result == KS_HTTP_NOT_SENT)
		return KS_ORDER_NOT_SENT;
	if (answer->result != KS_HTTP_COMPLETE)
		return KS_ORDER_OUTCOME_UNKNOWN;
	if (answer->status == 200)
		return KS_ORDER_DONE;
	if (answer->status >= 400 && answer->status < 500)
		return KS_ORDER_REFUSED;
	return KS_ORDER_OUTCOME_UNKNOWN;
}

static void on_order_answer(void *ctx, const ks_http_response_t *answer)
{
	struct order_call *call = ctx;

	call->func(call->ctx, order_outcome(answer));
	g_free(call);
}

static char *format_order(const ks_order_t *order)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "kind",
			    json_string(order_names[order->kind]));
	json_object_set_new(root, "fence",
			    json_integer((json_int_t)order->fence));
	if (order->kind == KS_ORDER_SET_ROLE)
		json_object_set_new(
			root, "role",
			json_string(ks_engine_role_name(order->role)));
	else
		json_object_set_new(root, "name", json_string(order->name));
	if (order->version[0])
		json_object_set_new(root, "version",
				    json_string(order->version));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void send_order(void *impl, const ks_order_t *order, int64_t timeout_us,
		       ks_order_func_t func, void *ctx)
{
	static const ks_header_t type = { KS_STR("content-type"),
					  KS_STR("application/json") };
	ks_engine_http_t *driver = impl;
	struct order_call *call = g_new0(struct order_call, 1);
	char *body = format_order(order);
	ks_http_request_t request = {
		.address = driver->address,
		.method = KS_STR("POST"),
		.target = KS_STR("/orders"),
		.headers = &type,
		.n_headers = 1,
		.body = ks_str_from(body),
		.timeout_us = timeout_us,
	};

	call->func = func;
	call->ctx = ctx;
	ks_http_fetch(driver->client, &request, MAX_STATE_SIZE, on_order_answer,
		      call);
	free(body); /* jansson uses malloc */
}

/**
 * ks_engine_http_init() - set up a driver for the engine at @address
 * @client: must outlive the driver
 */
void ks_engine_http_init(ks_engine_http_t *driver, ks_http_client_t *client,
			 const ks_address_t *address)
{
	driver->engine.observe = observe;
	driver->engine.order = send_order;
	driver->engine.impl = driver;
	driver->client = client;
	driver->address = *address;
}

/**
 * ks_engine_http_deinit() - stop using a driver
 *
 * Calls in progress still call back.
 */
void ks_engine_http_deinit(ks_engine_http_t *driver)
{
	driver->client = NULL;
}
