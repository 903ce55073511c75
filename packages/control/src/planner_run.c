/*
 * Runs the planners of all models. Every entry follows the demand, so that a
 * new holder of the lease can decide at once; only the holder writes plans.
 *
 * A plan is written in one transaction with a check of the lease row, so the
 * table refuses a planner that has lost its lease without knowing it.
 */
#include "ks/control.h"

#include "planner_row.h"

#define LEASE_KEY "lease/planner"
#define PLAN_PREFIX "plan/"

/* Delays before plans are read or written again after a failure. */
#define RETRY_BASE_US (1 * KS_USEC_PER_SEC)
#define RETRY_MAX_US (30 * KS_USEC_PER_SEC)

/* Extrapolating from less than this share of the demand is too uncertain. */
#define LEAST_SHARE 0.01

/**
 * struct model_plan - the planner of one model and its row
 * @roles: engine id to role, as in the row
 * @etag: of the row; empty: there is none
 * @engines: the latest view; ids and domains are owned
 * @share: of the model's requests that this entry handles
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
	int64_t retry_us;
	bool loaded;
	bool busy;
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

static struct model_plan *find_plan(ks_planner_run_t *run, const char *model)
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
	run->retry_us = ks_loop_now(run->loop) +
			ks_backoff_next(&run->backoff, run->rng);
}

/* Frees the run once the callback that was under way has come. */
static bool end_store_call(ks_planner_run_t *run)
{
	run->busy = false;
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
	plan = find_plan(run, model);
	if (ks_planner_row_parse(row->value, &plan->number, plan->roles))
		g_string_append_len(plan->etag, row->etag.data,
				    (gssize)row->etag.len);
	else
		ks_log(KS_LOG_PLAN, KS_LOG_ERROR,
		       "the plan of %s cannot be read", model);
	g_free(model);
}

static void forget_rows(ks_planner_run_t *run)
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

static void on_loaded(void *ctx, ks_store_outcome_t outcome,
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
	forget_rows(run);
	for (size_t i = 0; i < n_rows; i++)
		read_row(run, &rows[i]);
	run->loaded = true;
}

static void load(ks_planner_run_t *run)
{
	run->busy = true;
	run->store->list(run->store->impl, KS_STR(PLAN_PREFIX), on_loaded, run);
}

static void on_lease(void *ctx, bool held)
{
	ks_planner_run_t *run = ctx;
	GHashTableIter it;
	void *plan;

	ks_log(KS_LOG_PLAN, KS_LOG_INFO, "the planner lease is %s",
	       held ? "held" : "not held");
	run->loaded = false;
	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &plan))
		ks_planner_hold(((struct model_plan *)plan)->planner,
				ks_loop_now(run->loop));
}

static void note_change(ks_planner_run_t *run, struct model_plan *plan)
{
	const ks_plan_change_t *change = &run->change;

	ks_planner_changed(plan->planner, ks_str_from(run->engine),
			   change->from, change->to, ks_loop_now(run->loop));
	ks_log(KS_LOG_PLAN, KS_LOG_INFO,
	       "model %s: %s changes from %s to %s, expected gain %.1f",
	       plan->model, run->engine, ks_engine_role_name(change->from),
	       ks_engine_role_name(change->to), change->gain);
}

/* After anything but DONE the rows are read again before the next decision. */
static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *rows G_GNUC_UNUSED,
		       size_t n_rows G_GNUC_UNUSED, int failed G_GNUC_UNUSED)
{
	ks_planner_run_t *run = ctx;
	struct model_plan *plan = run->writing;

	if (!end_store_call(run))
		return;
	run->writing = NULL;
	run->loaded = false;
	if (outcome == KS_STORE_DONE || outcome == KS_STORE_UNKNOWN)
		note_change(run, plan);
	if (outcome == KS_STORE_DONE)
		return;
	ks_log(KS_LOG_PLAN, KS_LOG_WARN, "writing the plan of %s: %s",
	       plan->model, ks_store_outcome_name(outcome));
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
	run->busy = true;
	run->writing = plan;
	run->store->transact(run->store->impl, writes, G_N_ELEMENTS(writes),
			     on_written, run);
	g_free(part);
	g_free(key);
	g_free(value);
}

/* Engines take the role that the row gives them, which may be newer. */
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

static void observe(ks_planner_run_t *run, double seconds, int64_t now)
{
	GHashTableIter it;
	void *data;

	g_hash_table_iter_init(&it, run->models);
	while (g_hash_table_iter_next(&it, NULL, &data)) {
		struct model_plan *plan = data;
		double scale = 1.0 / (KS_USEC_PER_SEC * seconds *
				      MAX(plan->share, LEAST_SHARE));

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
		observe(run,
			(double)(now - run->last_tick_us) / KS_USEC_PER_SEC,
			now);
	run->last_tick_us = now;
	if (run->busy || now < run->retry_us ||
	    !ks_lease_keeper_is_held(run->keeper))
		return;
	if (run->loaded)
		decide(run);
	else
		load(run);
}

/**
 * ks_planner_run_new() - start following demand and asking for the lease
 * @incarnation: holder of the lease
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
	run->retry_us = INT64_MIN;
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
 * ks_planner_run_free() - stop; the lease is given up or expires
 */
void ks_planner_run_free(ks_planner_run_t *run)
{
	if (!run)
		return;
	ks_timer_clear(&run->tick);
	ks_lease_keeper_free(run->keeper);
	g_hash_table_destroy(run->models);
	if (run->busy)
		run->freed = true;
	else
		g_free(run);
}

/**
 * ks_planner_run_demand() - note a request that arrived, whatever became of it
 * @prefill_us: engine time of its prompt tokens that are not cached
 * @decode_us: engine time of its output, with a full batch
 */
void ks_planner_run_demand(ks_planner_run_t *run, const char *model,
			   double prefill_us, double decode_us)
{
	struct model_plan *plan = find_plan(run, model);

	plan->prefill_us += prefill_us;
	plan->decode_us += decode_us;
}

/**
 * ks_planner_run_engines() - the current view of a model's engines
 * @engines: every engine in the snapshot, from heartbeats that are not old;
 *	@role is the observed role
 * @share: of the model's requests that this entry handles, e.g. its own
 *	attempts in flight over those of all entries; demand is scaled up by it
 *
 * Without a call for the stale time, no change is decided.
 */
void ks_planner_run_engines(ks_planner_run_t *run, const char *model,
			    const ks_plan_engine_t *engines, size_t n_engines,
			    double share)
{
	struct model_plan *plan = find_plan(run, model);

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
 * ks_planner_run_role() - role of an engine in the plan as last read
 *
 * Return: false when this process has read no plan for the engine.
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
 * ks_planner_run_report() - sum of the changes of all models
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
