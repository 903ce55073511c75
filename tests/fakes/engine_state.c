/*
 * GET /state: model, adapters, role and fencing token are reported as they are;
 * the load is reported with the delay of --load-lag-ms.
 */
#include "engine.h"

static struct engine_load current_load(struct fake_engine *engine)
{
	return (struct engine_load){
		.at_us = ks_loop_now(&engine->loop),
		.running = engine->batch.n_running,
		.waiting = engine->batch.n_waiting,
		.kv_blocks_free = engine_cache_free_blocks(&engine->cache),
	};
}

/* Returns the index of the newest load that is older than the delay. */
static unsigned visible_load(struct fake_engine *engine)
{
	int64_t newest =
		ks_loop_now(&engine->loop) - engine->options.load_lag_us;
	unsigned i = 0;

	while (i + 1 < engine->loads->len &&
	       g_array_index(engine->loads, struct engine_load, i + 1).at_us <=
		       newest)
		i++;
	return i;
}

/**
 * engine_state_record() - record the load after a change
 *
 * Loads older than the one reported now are discarded.
 */
void engine_state_record(struct fake_engine *engine)
{
	struct engine_load load = current_load(engine);
	unsigned old;

	g_array_append_val(engine->loads, load);
	old = visible_load(engine);
	if (old > 0)
		g_array_remove_range(engine->loads, 0, old);
}

/**
 * engine_state_handle() - GET /state
 */
void engine_state_handle(struct fake_engine *engine, h2o_req_t *req)
{
	const struct engine_orders *orders = &engine->orders;
	struct engine_load load = g_array_index(
		engine->loads, struct engine_load, visible_load(engine));
	json_t *adapters = json_array();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, orders->adapters);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		json_array_append_new(adapters, json_string(name));
	engine_reply_json(
		req, 200,
		json_pack("{s:s,s:s,s:o,s:s,s:I,s:b,s:i,s:i,s:i,s:i}", "model",
			  orders->model, "version", orders->version, "adapters",
			  adapters, "role", orders->role, "fence",
			  (json_int_t)orders->fence, "busy",
			  orders->current != NULL, "running", (int)load.running,
			  "waiting", (int)load.waiting, "kv_blocks_free",
			  (int)load.kv_blocks_free, "kv_blocks_total",
			  (int)engine->options.kv_blocks));
}
