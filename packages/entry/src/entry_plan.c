/* Feeds the planner with what this entry sees: demand and engines. */
#include "entry_internal.h"

/* A bucket of the planner's history has at least two samples. */
#define TICKS_PER_DWELL 32
#define TICK_MIN_US (20 * KS_USEC_PER_MSEC)
#define TICK_MAX_US (1 * KS_USEC_PER_SEC)
/* Assumed; engines are out of service for seconds. */
#define CHANGE_US (3 * KS_USEC_PER_SEC)
/* Sequences that an engine decodes at once, if its limit allows; assumed. */
#define FULL_BATCH 32
/* Weight of the newest sample, since requests in flight are few. */
#define SHARE_GAIN 0.1

/**
 * struct plan_model - a model whose engines have roles
 * @own: requests of this entry in flight, averaged
 * @all: requests of all entries in flight, averaged
 */
struct plan_model {
	double own;
	double all;
};

/**
 * struct entry_plan - the planner of this entry
 * @run: NULL while no model's engines have roles
 * @models: name to struct plan_model
 * @ended: changes by planners of this entry that have ended
 */
struct entry_plan {
	ks_planner_run_t *run;
	GHashTable *models;
	ks_timer_t timer;
	int64_t tick_us;
	ks_planner_report_t ended;
};

static struct entry_upstream *find_member(const struct entry_group *group,
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

/* An engine of which this entry sees nothing is neither ready nor changing. */
static void fill_engine(const struct entry_plan *plan,
			const struct entry_group *group,
			const ks_upstream_t *from, ks_plan_engine_t *engine)
{
	const struct entry_upstream *upstream = find_member(group, from->id);
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
	model->own += SHARE_GAIN * (own - model->own);
	model->all += SHARE_GAIN * (all - model->all);
	return model->all > 0 ? model->own / model->all : 1;
}

static void feed_model(ks_entry_t *entry, const ks_snapshot_t *snapshot,
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
		feed_model(entry, snapshot, name, model);
}

static void start_run(ks_entry_t *entry)
{
	const ks_settings_t *settings = entry->settings;
	struct entry_plan *plan = entry->plan;
	int64_t dwell_us = settings->role_dwell_ms * KS_USEC_PER_MSEC;
	ks_planner_run_options_t options = {
		.planner = {
			.role_change_cost = settings->role_change_cost,
			.change_us = CHANGE_US,
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
	plan->ended.changes += report.changes;
	plan->ended.undone += report.undone;
	ks_planner_run_free(plan->run);
	plan->run = NULL;
}

/**
 * entry_plan_init() - set up without a planner
 */
void entry_plan_init(ks_entry_t *entry)
{
	entry->plan = g_new0(struct entry_plan, 1);
	entry->plan->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ks_timer_init(&entry->plan->timer, entry->loop, on_tick, entry);
}

/**
 * entry_plan_deinit() - stop planning; the lease is given up or expires
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
 * entry_plan_apply() - plan for the models whose engines have roles
 *
 * A fleet without roles has no planner, and so writes no lease.
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

/* Mean time for each token over the members that are good at it. */
static double mean_us(const struct entry_group *group, bool prefill)
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

/* Sequences in a full batch, as a mean over the members. */
static double mean_batch(const struct entry_group *group)
{
	double sum = 0;

	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);

		sum += upstream->limit ? MIN(upstream->limit, FULL_BATCH)
				       : FULL_BATCH;
	}
	return sum > 0 ? sum / group->members->len : FULL_BATCH;
}

static uint32_t best_cached(const struct entry_request *request)
{
	const GArray *hashes = request->completion.prefix_hashes;
	const struct entry_group *group = request->group;
	uint32_t best = 0;

	if (!hashes || !hashes->len)
		return 0;
	for (unsigned i = 0; i < group->members->len; i++) {
		const struct entry_upstream *upstream =
			g_ptr_array_index(group->members, i);
		uint32_t cached = ks_prefix_belief_tokens(
			upstream->belief,
			(const uint64_t *)(const void *)hashes->data,
			hashes->len, request->start_us);

		best = MAX(best, cached);
	}
	return MIN(best, request->completion.prompt_tokens);
}

/**
 * entry_plan_note() - count a request as demand, whatever becomes of it
 */
void entry_plan_note(const struct entry_request *request)
{
	const struct entry_plan *plan = request->entry->plan;
	const struct entry_group *group = request->group;
	double prompt, output;

	if (!plan->run || !request->is_completion ||
	    !g_hash_table_contains(plan->models, group->name))
		return;
	prompt = request->completion.prompt_tokens - best_cached(request);
	output = request->completion.max_tokens * group->output_share;
	ks_planner_run_add_demand(
		plan->run, group->name, prompt * mean_us(group, true),
		output * mean_us(group, false) / mean_batch(group));
}

static ks_planner_report_t total_report(const struct entry_plan *plan)
{
	ks_planner_report_t sum = plan->ended;
	ks_planner_report_t report;

	if (!plan->run)
		return sum;
	report = ks_planner_run_report(plan->run);
	sum.changes += report.changes;
	sum.undone += report.undone;
	return sum;
}

/**
 * entry_plan_status() - the planner, as JSON
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
 * entry_plan_metrics() - bring the planner's metrics up to date
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
