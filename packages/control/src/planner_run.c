/*
 * Runs the planners of all models. Every entry records the demand, so that a
 * new holder of the planner lease already has a demand history; only the holder
 * writes plans.
 *
 * A plan is written in one transaction with a check of the lease row, so the
 * store refuses a write from a process that has lost the lease but does not
 * know it yet.
 */
#include "ks/control.h"

#include "planner_row.h"

#define LEASE_KEY "lease/planner"
#define PLAN_PREFIX "plan/"

/* Backoff before a failed read or write of plans is retried. */
#define RETRY_BASE_US (1 * KS_USEC_PER_SEC)
#define RETRY_MAX_US (30 * KS_USEC_PER_SEC)

/*
 * Lower bound of the share by which demand is scaled up. Extrapolating from
 * less of the demand is too uncertain.
 */
#define MIN_SHARE 0.01

/**
 * struct model_plan - planner and plan row of one model
 * @roles: map from engine id to role, as in the row
 * @etag: ETag of the row; empty if there is no row
 * @number: number of the plan in the row; 0 if there is no row
 * @prefill_us: prefill demand since the last tick, in engine time
 * @decode_us: decode demand since the last tick, in engine time
 * @share: fraction of the model's requests that this entry handles
 * @engines: latest view of the engines; ids and domains are owned
 * @view_us: when @engines was set
 */
struct model_plan {
	ks_planner_t *planner;
	char *model;
	GHashTable *roles;
	GString *etag;
	uint64_t number;
	double prefill_us;
	double decode_us;
	double share;
	GArray *engines;
	int64_t view_us;
};

/**
 * struct ks_planner_run - planners of all models
 * @models: map from model name to struct model_plan
 * @retry_at_us: no store call is made before this time
 * @plans_loaded: the rows have been read since the lease was acquired and since
 *	the last write
 * @store_call_pending: a store call will call back
 * @freed: freed during a store call, whose callback frees the memory
 * @writing: model whose plan is being written
 * @change: the change being written
 * @engine: id of the engine that @change concerns
 */
struct ks_planner_run {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_rng_t *rng;
	ks_planner_run_options_t options;
	ks_lease_keeper_t *keeper;
	ks_timer_t tick;
	ks_backoff_t backoff;
	GHashTable *models;
	int64_t last_tick_us;
	int64_t retry_at_us;
	bool plans_loaded;
	bool store_call_pending;
	bool freed;
	struct model_plan *writing;
	ks_plan_change_t change;
	char engine[64];
};

static void clear_engine(void *data)
{
	ks_plan_engine_t *engine = data;

	g_free((char *)engine->id.data);
	g_free((char *)engine->domain.data);
}

static void free_plan(void *data)
{
	struct model_plan *plan = data;

	ks_planner_free(plan->planner);
	g_hash_table_destroy(plan->roles);
	g_string_free(plan->etag, TRUE);
	g_array_free(plan->engines, TRUE);
	g_free(plan->model);
	g_free(plan);
}

static struct model_plan *get_plan(ks_planner_run_t *run, const char *model)
{
	struct model_plan *plan = g_hash_table_lookup(run->models, model);

	if (plan)
		return plan;
	plan = g_new0(struct model_plan, 1);
	plan->planner = ks_planner_new(&run->options.planner);
	plan->model = g_strdup(model);
	plan->roles =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	plan->etag = g_string_new(NULL);
	plan->engines = g_array_new(FALSE, TRUE, sizeof(ks_plan_engine_t));
	g_array_set_clear_func(plan->engines, clear_engine);
	plan->view_us = INT64_MIN / 2;
	g_hash_table_insert(run->models, plan->model, plan);
	return plan;
}

static void retry_later(ks_planner_run_t *run)
{
	run->retry_at_us = ks_loop_now(run->loop) +
			   ks_backoff_next(&run->backoff, run->rng);
}

/* Returns false, with @run freed, if it was freed during the store call. */
static bool end_store_call(ks_planner_run_t *run)
{
	run->store_call_pending = false;
	if (!run->freed)
		return true;
	g_free(run);
	return false;
}

static void read_row(ks_planner_run_t *run, const ks_row_t *row)
{
	ks_str_t prefix = KS_STR(PLAN_PREFIX);
	struct model_plan *plan;
	char *model;

	if (!ks_str_has_prefix(row->key, prefix))
		return;
	model = g_uri_unescape_segment(row->key.data + prefix.len,
				       row->key.data + row->key.len, NULL);
	if (!model)
		return;
	plan = get_plan(run, model);
	if (ks_planner_row_parse(row->value, &plan->number, plan->roles))
		g_string_append_len(plan->etag, row->etag.data,
				    (gssize)row->etag.len);
	else
		ks_log(KS_LOG_PLAN, KS_LOG_ERROR,
		       "cannot parse the plan row of model %s", model);
	g_free(model);
}

static void clear_plans(ks_planner_run_t *run)
{
	GHashTableIter it;
	void *plan;

	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &plan)) {
		g_hash_table_remove_all(((struct model_plan *)plan)->roles);
		g_string_assign(((struct model_plan *)plan)->etag, "");
		((struct model_plan *)plan)->number = 0;
	}
}

static void on_plans_loaded(void *ctx, ks_store_outcome_t outcome,
			    const ks_row_t *rows, size_t n_rows,
			    int failed G_GNUC_UNUSED)
{
	ks_planner_run_t *run = ctx;

	if (!end_store_call(run))
		return;
	if (outcome != KS_STORE_DONE) {
		retry_later(run);
		return;
	}
	ks_backoff_reset(&run->backoff);
	clear_plans(run);
	for (size_t i = 0; i < n_rows; i++)
		read_row(run, &rows[i]);
	run->plans_loaded = true;
}

static void load_plans(ks_planner_run_t *run)
{
	run->store_call_pending = true;
	run->store->list(run->store->impl, KS_STR(PLAN_PREFIX), on_plans_loaded,
			 run);
}

static void on_lease(void *ctx, bool held)
{
	ks_planner_run_t *run = ctx;
	GHashTableIter it;
	void *plan;

	ks_log(KS_LOG_PLAN, KS_LOG_INFO, "the planner lease is %s",
	       held ? "held" : "not held");
	run->plans_loaded = false;
	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &plan))
		ks_planner_hold_off(((struct model_plan *)plan)->planner,
				    ks_loop_now(run->loop));
}

static void note_change(ks_planner_run_t *run, struct model_plan *plan)
{
	const ks_plan_change_t *change = &run->change;

	ks_planner_record_change(plan->planner, ks_str_from(run->engine),
				 change->from, change->to,
				 ks_loop_now(run->loop));
	ks_log(KS_LOG_PLAN, KS_LOG_INFO,
	       "model %s: %s changes from %s to %s, expected gain %.1f",
	       plan->model, run->engine, ks_engine_role_name(change->from),
	       ks_engine_role_name(change->to), change->gain);
}

/* The rows are read again before the next decision, whatever the outcome. */
static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *rows G_GNUC_UNUSED,
		       size_t n_rows G_GNUC_UNUSED, int failed G_GNUC_UNUSED)
{
	ks_planner_run_t *run = ctx;
	struct model_plan *plan = run->writing;

	if (!end_store_call(run))
		return;
	run->writing = NULL;
	run->plans_loaded = false;
	if (outcome == KS_STORE_DONE || outcome == KS_STORE_UNKNOWN)
		note_change(run, plan);
	if (outcome == KS_STORE_DONE)
		return;
	ks_log(KS_LOG_PLAN, KS_LOG_WARN,
	       "cannot write the plan of model %s: %s", plan->model,
	       ks_store_outcome_name(outcome));
	retry_later(run);
}

static void write_plan(ks_planner_run_t *run, struct model_plan *plan)
{
	char *part = g_uri_escape_string(plan->model, NULL, FALSE);
	char *key = g_strconcat(PLAN_PREFIX, part, NULL);
	const ks_plan_engine_t *engines =
		(const ks_plan_engine_t *)(void *)plan->engines->data;
	char *value = ks_planner_row_format(
		plan->number + 1, ks_lease_keeper_fence(run->keeper), engines,
		plan->engines->len, &run->change);
	ks_store_write_t writes[2] = {
		ks_lease_keeper_precondition(run->keeper),
		{ .key = ks_str_from(key),
		  .etag = { plan->etag->str, plan->etag->len },
		  .value = ks_str_from(value) },
	};

	g_strlcpy(run->engine, engines[run->change.engine].id.data,
		  sizeof(run->engine));
	run->store_call_pending = true;
	run->writing = plan;
	run->store->transact(run->store->impl, writes, G_N_ELEMENTS(writes),
			     on_written, run);
	g_free(part);
	g_free(key);
	g_free(value);
}

/* Sets the planned roles from the row, which may be newer than the view. */
static void update_roles(struct model_plan *plan)
{
	for (size_t i = 0; i < plan->engines->len; i++) {
		ks_plan_engine_t *engine =
			&g_array_index(plan->engines, ks_plan_engine_t, i);
		ks_engine_role_t planned;
		void *role;

		if (!g_hash_table_lookup_extended(plan->roles, engine->id.data,
						  NULL, &role))
			continue;
		planned = (ks_engine_role_t)GPOINTER_TO_INT(role);
		if (engine->ready && engine->role != planned)
			engine->changing = true;
		engine->role = planned;
	}
}

static void decide(ks_planner_run_t *run)
{
	int64_t now = ks_loop_now(run->loop);
	GHashTableIter it;
	void *data;

	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &data)) {
		struct model_plan *plan = data;
		const ks_plan_engine_t *engines =
			(const ks_plan_engine_t *)(void *)plan->engines->data;

		update_roles(plan);
		if (!ks_planner_decide(plan->planner, engines,
				       plan->engines->len, plan->view_us,
				       ks_lease_keeper_is_held(run->keeper),
				       now, &run->change))
			continue;
		write_plan(run, plan);
		return;
	}
}

static void observe_demand(ks_planner_run_t *run, double seconds, int64_t now)
{
	GHashTableIter it;
	void *data;

	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &data)) {
		struct model_plan *plan = data;
		double scale = 1.0 / (KS_USEC_PER_SEC * seconds *
				      MAX(plan->share, MIN_SHARE));

		ks_planner_observe(plan->planner, plan->prefill_us * scale,
				   plan->decode_us * scale, now);
		plan->prefill_us = 0;
		plan->decode_us = 0;
	}
}

static void on_tick(void *ctx)
{
	ks_planner_run_t *run = ctx;
	int64_t now = ks_loop_now(run->loop);

	ks_timer_set(&run->tick, run->options.tick_us);
	if (now > run->last_tick_us)
		observe_demand(run,
			       (double)(now - run->last_tick_us) /
				       KS_USEC_PER_SEC,
			       now);
	run->last_tick_us = now;
	if (run->store_call_pending || now < run->retry_at_us ||
	    !ks_lease_keeper_is_held(run->keeper))
		return;
	if (run->plans_loaded)
		decide(run);
	else
		load_plans(run);
}

/**
 * ks_planner_run_new() - start recording demand and acquire the planner lease
 * @boottime: clock that includes the time during which the system is suspended
 * @incarnation: id of this process as a lease holder
 */
ks_planner_run_t *ks_planner_run_new(ks_loop_t *loop, ks_store_t *store,
				     const ks_clock_t *boottime, ks_rng_t *rng,
				     const ks_id_t *incarnation,
				     const ks_planner_run_options_t *options)
{
	ks_planner_run_t *run = g_new0(ks_planner_run_t, 1);

	run->loop = loop;
	run->store = store;
	run->rng = rng;
	run->options = *options;
	run->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_plan);
	run->last_tick_us = ks_loop_now(loop);
	run->retry_at_us = INT64_MIN;
	ks_backoff_init(&run->backoff, RETRY_BASE_US, RETRY_MAX_US);
	run->keeper = ks_lease_keeper_new(loop, store, boottime, rng, LEASE_KEY,
					  incarnation, options->lease_us,
					  on_lease, run);
	ks_lease_keeper_set_wanted(run->keeper, true);
	ks_timer_init(&run->tick, loop, on_tick, run);
	ks_timer_set(&run->tick, options->tick_us);
	return run;
}

/**
 * ks_planner_run_free() - free the planners; a lease that is held expires
 */
void ks_planner_run_free(ks_planner_run_t *run)
{
	if (!run)
		return;
	ks_timer_clear(&run->tick);
	ks_lease_keeper_free(run->keeper);
	g_hash_table_destroy(run->models);
	if (run->store_call_pending)
		run->freed = true;
	else
		g_free(run);
}

/**
 * ks_planner_run_add_demand() - add the demand of a request that arrived
 * @prefill_us: engine time of its prompt tokens that are not cached
 * @decode_us: engine time of its output, with a full batch
 *
 * To be called for every request, also for one that was refused or failed.
 */
void ks_planner_run_add_demand(ks_planner_run_t *run, const char *model,
			       double prefill_us, double decode_us)
{
	struct model_plan *plan = get_plan(run, model);

	plan->prefill_us += prefill_us;
	plan->decode_us += decode_us;
}

/**
 * ks_planner_run_set_engines() - set the current view of a model's engines
 * @engines: every engine of the model in the snapshot, from recent heartbeats;
 *	@role is the observed role
 * @share: fraction of the model's requests that this entry handles, such as
 *	its attempts in flight divided by those of all entries. The demand is
 *	divided by it.
 *
 * No change is decided if the last call is older than @stale_us of the options.
 */
void ks_planner_run_set_engines(ks_planner_run_t *run, const char *model,
				const ks_plan_engine_t *engines,
				size_t n_engines, double share)
{
	struct model_plan *plan = get_plan(run, model);

	g_array_set_size(plan->engines, 0);
	for (size_t i = 0; i < n_engines; i++) {
		ks_plan_engine_t engine = engines[i];

		engine.id.data = ks_str_dup(engines[i].id);
		engine.domain.data = ks_str_dup(engines[i].domain);
		g_array_append_val(plan->engines, engine);
	}
	plan->share = share;
	plan->view_us = ks_loop_now(run->loop);
}

/**
 * ks_planner_run_role() - get the role of an engine in the plan last read
 *
 * Return: false if this process has not read a plan that names the engine.
 */
bool ks_planner_run_role(const ks_planner_run_t *run, const char *model,
			 ks_str_t engine, ks_engine_role_t *role)
{
	const struct model_plan *plan = g_hash_table_lookup(run->models, model);
	char *id = ks_str_dup(engine);
	void *found = NULL;
	bool known = plan && g_hash_table_lookup_extended(plan->roles, id, NULL,
							  &found);

	g_free(id);
	if (known)
		*role = (ks_engine_role_t)GPOINTER_TO_INT(found);
	return known;
}

/**
 * ks_planner_run_is_holder() - whether this process holds the planner lease
 */
bool ks_planner_run_is_holder(const ks_planner_run_t *run)
{
	return ks_lease_keeper_is_held(run->keeper);
}

/**
 * ks_planner_run_report() - sum of the counters of all models
 */
ks_planner_report_t ks_planner_run_report(const ks_planner_run_t *run)
{
	ks_planner_report_t sum = { 0 };
	GHashTableIter it;
	void *plan;

	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &plan)) {
		const ks_planner_report_t *report =
			ks_planner_report(((struct model_plan *)plan)->planner);

		sum.changes += report->changes;
		sum.undone += report->undone;
	}
	return sum;
}
