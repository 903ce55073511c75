/*
 * Runs the planner of engine roles, which assigns engines to prefill, decode or
 * both. Feeds it with the demand and the engine states that this entry
 * observes.
 */
#include "entry_internal.h"

/* So that each bucket of the planner's history has at least two samples. */
#define TICKS_PER_DWELL 32
#define TICK_MIN_US (20 * KS_USEC_PER_MSEC)
#define TICK_MAX_US (1 * KS_USEC_PER_SEC)
/* Assumed time that an engine is out of service for a role change. */
#define ROLE_CHANGE_US (3 * KS_USEC_PER_SEC)
/* Assumed number of sequences decoded at once, unless the limit is lower. */
#define MAX_DECODE_BATCH 32
/*
 * Weight of the newest sample; smooths the small counts of requests in flight.
 */
#define SHARE_EWMA_WEIGHT 0.1

/**
 * struct plan_model - a model with engines that have a role
 * @own_in_flight: moving average of this entry's requests in flight
 * @all_in_flight: moving average of all entries' requests in flight
 */
struct plan_model {
	double own_in_flight;
	double all_in_flight;
};

/**
 * struct entry_plan - the planner of this entry
 * @run: NULL while no engine of any model has a role
 * @models: struct plan_model by the name of the model
 * @tick_us: interval at which the planner gets the engine states
 * @past_runs: sum of the reports of earlier planner runs
 */
struct entry_plan {
	ks_planner_run_t *run;
	GHashTable *models;
	ks_timer_t timer;
	int64_t tick_us;
	ks_planner_report_t past_runs;
};

static struct entry_upstream *find_upstream(const struct entry_group *group,
					    const char *id)
{
	for (unsigned i = 0; i < group->members->len; i++) {
		struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		if (!strcmp(upstream->id, id))
			return upstream;
	}
	return NULL;
}

/*
 * An engine without a link from this entry is reported as neither ready nor
 * changing.
 */
static void fill_engine(const struct entry_plan *plan,
			const struct entry_group *group,
			const ks_upstream_t *from, ks_plan_engine_t *engine)
{
	const struct entry_upstream *upstream = find_upstream(group, from->id);
	ks_engine_role_t observed, planned;
	const ks_load_t *load;

	memset(engine, 0, sizeof(*engine));
	engine->id = ks_str_from(from->id);
	engine->domain = ks_str_from(from->domain);
	engine->role = from->role;
	if (!upstream || !ks_link_client_is_up(upstream->link))
		return;
	load = ks_link_client_load(upstream->link);
	if (!ks_engine_role_parse(&observed, ks_str_from(load->role)))
		return;
	engine->ready = entry_upstream_is_usable(upstream);
	engine->changing =
		ks_link_client_state(upstream->link) == KS_UPSTREAM_CHANGING;
	engine->in_flight = MAX(load->in_flight, upstream->in_flight);
	if (ks_planner_run_role(plan->run, group->name, engine->id, &planned))
		engine->role = observed;
	else if (engine->ready && observed != from->role)
		engine->changing = true;
}

static double update_share(struct plan_model *model,
			   const struct entry_group *group)
{
	double own = 0, all = 0;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);
		const ks_load_t *load = ks_link_client_load(upstream->link);

		own += upstream->in_flight;
		all += MAX(load->in_flight, upstream->in_flight);
	}
	model->own_in_flight +=
		SHARE_EWMA_WEIGHT * (own - model->own_in_flight);
	model->all_in_flight +=
		SHARE_EWMA_WEIGHT * (all - model->all_in_flight);
	return model->all_in_flight > 0
		       ? model->own_in_flight / model->all_in_flight
		       : 1;
}

static void update_model(ks_entry_t *entry, const ks_snapshot_t *snapshot,
			 const char *name, struct plan_model *model)
{
	struct entry_group *group =
		entry_group_find(entry, true, ks_str_from(name));
	ks_plan_engine_t *engines =
		g_new(ks_plan_engine_t, snapshot->upstreams->len + 1);
	size_t count = 0;

	for (unsigned i = 0; group && i < snapshot->upstreams->len; i++) {
		const ks_upstream_t *from =
			g_ptr_array_index(snapshot->upstreams, i);

		if (!g_strcmp0(from->model, name))
			fill_engine(entry->plan, group, from,
				    &engines[count++]);
	}
	if (group)
		ks_planner_run_set_engines(entry->plan->run, name, engines,
					   count, update_share(model, group));
	g_free(engines);
}

static void on_tick(void *ctx)
{
	ks_entry_t *entry = ctx;
	const ks_snapshot_t *snapshot = ks_config_current(entry->config);
	GHashTableIter it;
	void *name, *model;

	ks_timer_set(&entry->plan->timer, entry->plan->tick_us);
	g_hash_table_iter_init(&it, entry->plan->models);
	while (snapshot && g_hash_table_iter_next(&it, &name, &model))
		update_model(entry, snapshot, name, model);
}

static void start_run(ks_entry_t *entry)
{
	const ks_settings_t *settings = entry->settings;
	struct entry_plan *plan = entry->plan;
	int64_t dwell_us = settings->role_dwell_ms * KS_USEC_PER_MSEC;
	ks_planner_run_options_t options = {
		.planner = {
			.role_change_cost = settings->role_change_cost,
			.change_us = ROLE_CHANGE_US,
			.dwell_us = dwell_us,
			.stale_us = settings->silence_ms * KS_USEC_PER_MSEC,
		},
		.lease_us = settings->lease_ms * KS_USEC_PER_MSEC,
	};

	plan->tick_us =
		CLAMP(dwell_us / TICKS_PER_DWELL, TICK_MIN_US, TICK_MAX_US);
	options.tick_us = plan->tick_us;
	plan->run = ks_planner_run_new(
		entry->loop,
		ks_write_budget_store(entry->writes, KS_WRITE_LEASE),
		ks_clock_boottime(), &entry->rng, &entry->incarnation,
		&options);
	ks_timer_set(&plan->timer, 0);
}

static void stop_run(struct entry_plan *plan)
{
	ks_planner_report_t report;

	ks_timer_clear(&plan->timer);
	if (!plan->run)
		return;
	report = ks_planner_run_report(plan->run);
	plan->past_runs.changes += report.changes;
	plan->past_runs.undone += report.undone;
	ks_planner_run_free(plan->run);
	plan->run = NULL;
}

/**
 * entry_plan_init() - initialize without a running planner
 */
void entry_plan_init(ks_entry_t *entry)
{
	entry->plan = g_new0(struct entry_plan, 1);
	entry->plan->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ks_timer_init(&entry->plan->timer, entry->loop, on_tick, entry);
}

/**
 * entry_plan_deinit() - stop the planner; its lease is released or expires
 */
void entry_plan_deinit(ks_entry_t *entry)
{
	stop_run(entry->plan);
	g_hash_table_destroy(entry->plan->models);
	g_free(entry->plan);
}

static bool has_role(const ks_upstream_t *upstream)
{
	return upstream->model && upstream->role != KS_ROLE_BOTH;
}

/**
 * entry_plan_apply() - start or stop the planner according to a configuration
 *
 * Without engines that have a role there is no planner, and so no lease is
 * written to the store.
 */
void entry_plan_apply(ks_entry_t *entry, const ks_snapshot_t *snapshot)
{
	struct entry_plan *plan = entry->plan;
	GHashTable *old = plan->models;

	plan->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (unsigned i = 0; i < snapshot->upstreams->len; i++) {
		const ks_upstream_t *upstream =
			g_ptr_array_index(snapshot->upstreams, i);
		struct plan_model *model, *known;

		if (!has_role(upstream) ||
		    g_hash_table_contains(plan->models, upstream->model))
			continue;
		model = g_new0(struct plan_model, 1);
		known = g_hash_table_lookup(old, upstream->model);
		if (known)
			*model = *known;
		g_hash_table_insert(plan->models, g_strdup(upstream->model),
				    model);
	}
	g_hash_table_destroy(old);
	if (!g_hash_table_size(plan->models))
		stop_run(plan);
	else if (!plan->run)
		start_run(entry);
}

/* Mean time per token, without the engines specialized on the other phase. */
static double mean_us_per_token(const struct entry_group *group, bool prefill)
{
	const char *other = prefill ? "decode" : "prefill";
	double sum = 0;
	unsigned count = 0;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		if (!strcmp(ks_link_client_load(upstream->link)->role, other))
			continue;
		sum += prefill ? upstream->prefill_us : upstream->decode_us;
		count++;
	}
	if (count)
		return sum / count;
	return prefill ? ENTRY_PREFILL_US : ENTRY_DECODE_US;
}

/* Mean size of a full batch over the engines. */
static double mean_batch_size(const struct entry_group *group)
{
	double sum = 0;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		sum += upstream->limit ? MIN(upstream->limit, MAX_DECODE_BATCH)
				       : MAX_DECODE_BATCH;
	}
	return sum > 0 ? sum / group->members->len : MAX_DECODE_BATCH;
}

static uint32_t max_cached_tokens(const struct entry_request *request)
{
	const GArray *hashes = request->completion.prefix_hashes;
	const struct entry_group *group = request->group;
	uint32_t best = 0;

	if (!hashes || !hashes->len)
		return 0;
	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);
		uint32_t cached = ks_prefix_index_tokens(
			upstream->prefix_cache,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, request->start_us);

		best = MAX(best, cached);
	}
	return MIN(best, request->completion.prompt_tokens);
}

/**
 * entry_plan_record_demand() - count a request as demand, whatever its outcome
 */
void entry_plan_record_demand(const struct entry_request *request)
{
	const struct entry_plan *plan = request->entry->plan;
	const struct entry_group *group = request->group;
	double prompt, output;

	if (!plan->run || !request->is_completion ||
	    !g_hash_table_contains(plan->models, group->name))
		return;
	prompt = request->completion.prompt_tokens - max_cached_tokens(request);
	output = request->completion.max_tokens * group->output_share;
	ks_planner_run_add_demand(plan->run, group->name,
				  prompt * mean_us_per_token(group, true),
				  output * mean_us_per_token(group, false) /
					  mean_batch_size(group));
}

static ks_planner_report_t total_report(const struct entry_plan *plan)
{
	ks_planner_report_t sum = plan->past_runs;
	ks_planner_report_t report;

	if (!plan->run)
		return sum;
	report = ks_planner_run_report(plan->run);
	sum.changes += report.changes;
	sum.undone += report.undone;
	return sum;
}

/**
 * entry_plan_status() - state of the planner, as JSON
 */
json_t *entry_plan_status(const ks_entry_t *entry)
{
	const struct entry_plan *plan = entry->plan;
	ks_planner_report_t report = total_report(plan);

	return json_pack("{s:b, s:b, s:I, s:I}", "running", plan->run != NULL,
			 "holds_lease",
			 plan->run && ks_planner_run_is_holder(plan->run),
			 "changes", (json_int_t)report.changes, "undone",
			 (json_int_t)report.undone);
}

/**
 * entry_plan_metrics() - update the planner's metrics
 */
void entry_plan_metrics(const ks_entry_t *entry)
{
	ks_planner_report_t report = total_report(entry->plan);

	ks_counter_set(
		ks_metrics_counter(entry->metrics, "ks_plan_changes_total",
				   "Role changes planned by this entry.", NULL),
		(int64_t)report.changes);
	ks_counter_set(ks_metrics_counter(
			       entry->metrics, "ks_plan_changes_undone_total",
			       "Role changes undone within the dwell time.",
			       NULL),
		       (int64_t)report.undone);
}
