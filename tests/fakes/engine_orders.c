/*
 * Orders from the control plane to the fake engine: load or unload a model or
 * adapter, or set the role. Orders run one at a time, each for a fixed time.
 */
#include "engine.h"

#include <stdio.h>
#include <unistd.h>

#define EXIT_CRASHED 3

enum order_kind {
	LOAD_MODEL,
	UNLOAD_MODEL,
	LOAD_ADAPTER,
	UNLOAD_ADAPTER,
	SET_ROLE,
	N_ORDER_KINDS
};

static const char *const kind_names[N_ORDER_KINDS] = {
	"load_model",	  "unload_model", "load_adapter",
	"unload_adapter", "set_role",
};

/**
 * struct engine_order - running order
 * @reply: NULL after the client has disconnected; the order still completes
 */
struct engine_order {
	struct fake_engine *engine;
	struct order_reply *reply;
	enum order_kind kind;
	char *name;
	char *version;
	char *role;
	uint64_t fence;
	ks_timer_t timer;
};

/* Freed with the HTTP request; clears the order's reference to it. */
struct order_reply {
	h2o_req_t *req;
	struct engine_order *order;
};

static void dispose_order_reply(void *data)
{
	struct order_reply *reply = data;

	if (reply->order)
		reply->order->reply = NULL;
}

/*
 * Reports an order that the control plane must never send: one that overlaps
 * another, or one with an outdated fencing token that the engine would execute.
 * The system tests fail if a log contains such a line.
 */
static void G_GNUC_PRINTF(2, 3)
	report_conflict(struct fake_engine *engine, const char *format, ...)
{
	va_list args;

	engine->stats.conflicts++;
	fputs("CONFLICT ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}

static void replace_text(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static void apply_order(struct engine_orders *orders,
			const struct engine_order *order)
{
	switch (order->kind) {
	case LOAD_MODEL:
		replace_text(&orders->model, order->name);
		replace_text(&orders->version, order->version);
		g_hash_table_remove_all(orders->adapters);
		break;
	case UNLOAD_MODEL:
		replace_text(&orders->model, "");
		replace_text(&orders->version, "");
		g_hash_table_remove_all(orders->adapters);
		break;
	case LOAD_ADAPTER:
		g_hash_table_add(orders->adapters, g_strdup(order->name));
		break;
	case UNLOAD_ADAPTER:
		g_hash_table_remove(orders->adapters, order->name);
		break;
	default:
		replace_text(&orders->role, order->role);
	}
}

static void free_order(struct engine_order *order)
{
	ks_timer_clear(&order->timer);
	g_free(order->name);
	g_free(order->version);
	g_free(order->role);
	g_free(order);
}

static void on_order_done(void *ctx)
{
	struct engine_order *order = ctx;
	struct fake_engine *engine = order->engine;
	struct order_reply *reply = order->reply;

	if (engine->orders.crash_in_change)
		_exit(EXIT_CRASHED);
	apply_order(&engine->orders, order);
	if (order->kind == LOAD_MODEL || order->kind == UNLOAD_MODEL)
		engine_cache_clear(&engine->cache);
	engine->orders.current = NULL;
	fprintf(stderr, "order %s %s done\n", kind_names[order->kind],
		order->kind == SET_ROLE ? order->role : order->name);
	free_order(order);
	if (!reply)
		return;
	reply->order = NULL;
	if (!engine->silent)
		engine_reply_json(reply->req, 200,
				  json_pack("{s:b}", "done", 1));
}

static const char *text_of(json_t *root, const char *name)
{
	json_t *value = json_object_get(root, name);

	return json_is_string(value) ? json_string_value(value) : "";
}

static bool is_role(const char *role)
{
	return g_str_equal(role, "both") || g_str_equal(role, "prefill") ||
	       g_str_equal(role, "decode");
}

/* Fills in @order; returns false if the order is malformed. */
static bool parse_order(json_t *root, struct engine_order *order)
{
	json_t *fence = json_object_get(root, "fence");
	const char *kind = text_of(root, "kind");
	int i = 0;

	while (i < N_ORDER_KINDS && !g_str_equal(kind, kind_names[i]))
		i++;
	if (i == N_ORDER_KINDS || !json_is_integer(fence) ||
	    json_integer_value(fence) < 0)
		return false;
	order->kind = (enum order_kind)i;
	order->fence = (uint64_t)json_integer_value(fence);
	order->name = g_strdup(text_of(root, "name"));
	order->version = g_strdup(text_of(root, "version"));
	order->role = g_strdup(text_of(root, "role"));
	if (order->kind == SET_ROLE)
		return is_role(order->role);
	return order->name[0] || order->kind == UNLOAD_MODEL;
}

/* A model can only be loaded when none is; adapters need a loaded model. */
static bool is_valid_in_state(const struct engine_orders *orders,
			      const struct engine_order *order)
{
	switch (order->kind) {
	case LOAD_MODEL:
		return !orders->model[0];
	case UNLOAD_MODEL:
	case LOAD_ADAPTER:
	case UNLOAD_ADAPTER:
		return orders->model[0];
	default:
		return true;
	}
}

static void start_order(struct fake_engine *engine, struct engine_order *order,
			h2o_req_t *req)
{
	struct order_reply *reply = h2o_mem_alloc_shared(
		&req->pool, sizeof(*reply), dispose_order_reply);
	int64_t delay = engine->options.change_us;

	reply->req = req;
	reply->order = order;
	order->engine = engine;
	order->reply = reply;
	engine->orders.current = order;
	engine->orders.fence = MAX(engine->orders.fence, order->fence);
	engine->stats.orders++;
	if (engine->batch.n_running + engine->batch.n_waiting > 0)
		engine->stats.orders_while_running++;
	fprintf(stderr, "order %s %s fence %" G_GUINT64_FORMAT " begins\n",
		kind_names[order->kind],
		order->kind == SET_ROLE ? order->role : order->name,
		order->fence);
	if (engine->orders.crash_in_change)
		delay /= 2;
	ks_timer_init(&order->timer, &engine->loop, on_order_done, order);
	ks_timer_set(&order->timer, delay);
}

/* Returns 0 if the order can start, or the HTTP status to reject it with. */
static int check_order(struct fake_engine *engine,
		       const struct engine_order *order)
{
	struct engine_orders *orders = &engine->orders;

	if (orders->current) {
		report_conflict(engine, "order %s while %s runs",
				kind_names[order->kind],
				kind_names[orders->current->kind]);
		return 409;
	}
	if (order->fence < orders->fence) {
		engine->stats.stale_orders++;
		if (engine->options.checks_fencing)
			return 412;
		report_conflict(engine,
				"order %s with fence %" G_GUINT64_FORMAT
				" after %" G_GUINT64_FORMAT,
				kind_names[order->kind], order->fence,
				orders->fence);
	}
	return is_valid_in_state(orders, order) ? 0 : 422;
}

/**
 * engine_orders_handle() - POST /orders; responds when the order has completed
 */
void engine_orders_handle(struct fake_engine *engine, h2o_req_t *req)
{
	struct engine_order *order = g_new0(struct engine_order, 1);
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	int status = 400;

	ks_timer_init(&order->timer, &engine->loop, on_order_done, order);
	if (parse_order(root, order))
		status = check_order(engine, order);
	if (status == 0) {
		start_order(engine, order, req);
	} else {
		free_order(order);
		engine_reply_error(req, status, "order_refused",
				   status == 409 ? "another order is running"
				   : status == 412
					   ? "the fencing token is outdated"
					   : "the order is invalid or does not "
					     "apply to the loaded model");
	}
	json_decref(root);
}

/**
 * engine_orders_is_loaded() - whether a model or adapter is loaded
 */
bool engine_orders_is_loaded(const struct fake_engine *engine,
			     const char *model)
{
	return g_str_equal(engine->orders.model, model) ||
	       g_hash_table_contains(engine->orders.adapters, model);
}

/**
 * engine_orders_init() - set the model and role given on the command line
 */
void engine_orders_init(struct fake_engine *engine)
{
	struct engine_orders *orders = &engine->orders;

	orders->model = g_strdup(engine->options.model);
	orders->version = g_strdup(engine->options.version);
	orders->role = g_strdup(engine->options.role);
	orders->adapters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * engine_orders_deinit() - free the order state
 */
void engine_orders_deinit(struct fake_engine *engine)
{
	struct engine_orders *orders = &engine->orders;

	if (orders->current)
		free_order(orders->current);
	g_free(orders->model);
	g_free(orders->version);
	g_free(orders->role);
	g_hash_table_destroy(orders->adapters);
}
