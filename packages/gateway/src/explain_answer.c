/*
 * Explains where a request would be sent now, and why, without sending it.
 *
 * The answer comes from the functions that decide on the requests of callers.
 * They are given copies of the upstreams, so that the gateway's state does not
 * change, and a fixed number in place of the random ones.
 */
#include "gateway_internal.h"

#include <jansson.h>
#include <string.h>

/* Stands for the random numbers that choose a service and among equals. */
#define EXPLAIN_DRAW 0

#define STATUS_NOT_RUN 503

static const char *const kinds[] = {
	[KS_CALL_IDEMPOTENT] = "idempotent",
	[KS_CALL_ONCE] = "once",
	[KS_CALL_STREAM] = "stream",
};

static const char *const stages[] = {
	[KS_STAGE_ANY] = "any",
	[KS_STAGE_PREFILL] = "prefill",
	[KS_STAGE_DECODE] = "decode",
};

static const char *const objections[KS_N_OBJECTIONS] = {
	[KS_OBJECTION_CHANGES_STAGE] = "changes its stage",
	[KS_OBJECTION_HAS_FAILED] = "has failed this request",
	[KS_OBJECTION_EJECTED] = "ejected after failures in a row",
	[KS_OBJECTION_UNREACHABLE] = "several entries get no response from it",
	[KS_OBJECTION_FAILURE_RATE] = "too large a share of requests fails",
};

/**
 * struct explanation - an answer while it is built
 * @answer: JSON object
 * @fleet: copies of the upstreams of the service
 * @notice_us: for how long upstreams that leave are considered
 * @may_run, @may_prefill: sets of the upstreams that can serve the stages
 */
struct explanation {
	const ks_gateway_t *gateway;
	const ks_http1_request_t *request;
	const struct gateway_question *question;
	json_t *answer;
	const ks_route_t *route;
	const ks_service_t *service;
	ks_prompt_t prompt;
	bool has_prompt;
	ks_fleet_t fleet;
	ks_placement_query_t query;
	ks_placement_t placement;
	int64_t notice_us;
	GHashTable *may_run;
	GHashTable *may_prefill;
};

/* Names in a configuration or an announcement may be any bytes. */
static json_t *text(const char *value)
{
	char *valid = value ? g_utf8_make_valid(value, -1) : NULL;
	json_t *json = valid ? json_string(valid) : json_null();

	g_free(valid);
	return json;
}

static void set(json_t *object, const char *name, json_t *value)
{
	json_object_set_new(object, name, value);
}

static void set_int(json_t *object, const char *name, int64_t value)
{
	set(object, name, json_integer(value));
}

static json_t *milliseconds(int64_t us)
{
	return json_real((double)us / KS_USEC_PER_MSEC);
}

static void set_result(struct explanation *explanation, int status,
		       const char *why)
{
	json_t *result = json_object();

	set(result, "sent", json_boolean(!status));
	set(result, "status", status ? json_integer(status) : json_null());
	set(result, "why", text(why));
	set(explanation->answer, "result", result);
}

static void add_configuration(struct explanation *explanation)
{
	const ks_gateway_t *gateway = explanation->gateway;

	set_int(explanation->answer, "draw", EXPLAIN_DRAW);
	set(explanation->answer, "version",
	    gateway->traffic ? json_integer(gateway->traffic->version)
			     : json_null());
	set(explanation->answer, "config_age_ms",
	    gateway->traffic ? milliseconds(gateway_config_age_us(gateway))
			     : json_null());
	set(explanation->answer, "config_is_current",
	    json_boolean(gateway_config_is_current(gateway)));
}

static bool add_route(struct explanation *explanation)
{
	const ks_gateway_t *gateway = explanation->gateway;
	const struct gateway_question *question = explanation->question;
	json_t *json = json_object();
	const ks_route_t *route = NULL;
	const char *why;

	if (gateway->traffic)
		route = ks_traffic_match(
			gateway->traffic, ks_str_from(question->host),
			gateway_path_of(ks_str_from(question->path)));
	if (!route) {
		int status = gateway_unrouted_status(gateway, &why);

		json_decref(json);
		set(explanation->answer, "route", json_null());
		set_result(explanation, status, why);
		return false;
	}
	set(json, "name", text(route->name));
	set(json, "host", text(route->host));
	set(json, "prefix", text(route->prefix));
	set(json, "kind", json_string(kinds[route->kind]));
	set(json, "public", json_boolean(route->is_public));
	set(explanation->answer, "route", json);
	explanation->route = route;
	return true;
}

static bool add_key(struct explanation *explanation)
{
	const ks_gateway_t *gateway = explanation->gateway;
	const ks_organisation_t *organisation;
	int status;
	ks_key_verdict_t verdict = gateway_check_key(
		gateway, explanation->route, gateway->traffic->organisations,
		explanation->request, &organisation, &status);

	set(explanation->answer, "key",
	    json_string(ks_key_verdict_name(verdict)));
	set(explanation->answer, "organisation",
	    text(organisation ? organisation->name : NULL));
	set_int(explanation->answer, "priority",
		gateway_request_priority(explanation->route, organisation));
	if (status)
		set_result(explanation, status, gateway_key_refusal(verdict));
	return !status;
}

static json_t *split_to_json(const ks_split_t *split)
{
	json_t *json = json_object();

	set(json, "service", text(split->service));
	set_int(json, "weight", split->weight);
	return json;
}

static bool add_service(struct explanation *explanation)
{
	const ks_route_t *route = explanation->route;
	const ks_gateway_t *gateway = explanation->gateway;
	const char *name =
		gateway_pick_service(gateway->traffic, route, EXPLAIN_DRAW);
	json_t *splits = json_array();

	for (guint i = 0; i < route->splits->len; i++)
		json_array_append_new(
			splits, split_to_json(&g_array_index(route->splits,
							     ks_split_t, i)));
	set(explanation->answer, "splits", splits);
	set(explanation->answer, "service", text(name));
	if (!name) {
		set_result(explanation, STATUS_NOT_RUN, GATEWAY_WHY_NO_SERVICE);
		return false;
	}
	explanation->service = ks_traffic_service(gateway->traffic, name);
	return true;
}

static bool add_time(struct explanation *explanation)
{
	const ks_gateway_t *gateway = explanation->gateway;
	const char *left = explanation->question->deadline_ms;
	int64_t limit_us = gateway_time_limit_us(explanation->route,
						 ks_str_from(left ? left : ""));
	int64_t until_us =
		gateway_hard_deadline_us(ks_loop_now(gateway->loop) + limit_us);

	set(explanation->answer, "time_limit_ms", milliseconds(limit_us));
	if (!gateway_may_cut(gateway, until_us))
		return true;
	set_result(explanation, STATUS_NOT_RUN, GATEWAY_WHY_STOPPING);
	return false;
}

static bool add_prompt(struct explanation *explanation)
{
	const char *parts = explanation->question->parts;
	const ks_prompt_t *prompt = &explanation->prompt;
	const ks_quarantine_t *quarantine = &explanation->gateway->quarantine;

	explanation->has_prompt =
		gateway_read_prompt(&explanation->prompt, explanation->service,
				    ks_str_from(parts ? parts : ""));
	set(explanation->answer, "prompt_tokens",
	    explanation->has_prompt ? json_integer(prompt->total_tokens)
				    : json_null());
	if (!explanation->has_prompt ||
	    ks_quarantine_find_held(quarantine, prompt->shared,
				    prompt->n_shared) < 0)
		return true;
	set_result(explanation, STATUS_NOT_RUN, GATEWAY_WHY_PART_HELD);
	return false;
}

/*
 * Copies the upstreams of the service. The copies share their texts and tables
 * with the originals, but not the speeds, which the placement compares anew.
 */
static void copy_fleet(struct explanation *explanation)
{
	const ks_fleet_t *fleet = &explanation->gateway->fleet;
	GPtrArray *members = ks_fleet_listed(fleet, explanation->service->name);
	ks_fleet_t *copy = &explanation->fleet;

	copy->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	copy->compared_us = fleet->compared_us;
	for (guint i = 0; i < members->len; i++) {
		ks_member_t *member =
			g_memdup2(members->pdata[i], sizeof(*member));

		g_hash_table_insert(copy->by_id, member->id, member);
	}
	g_ptr_array_free(members, TRUE);
}

/* Returns why an upstream may not be sent requests now, NULL if it may. */
static const char *unavailable_reason(const ks_member_t *member,
				      int64_t notice_us, int64_t now_us)
{
	const ks_withdrawal_t *said = &member->withdrawal;

	if (!member->accepting)
		return "drains";
	if (!ks_withdrawal_accepts(said, notice_us, now_us))
		return "leaves";
	if (ks_withdrawal_is_away(said, now_us))
		return "requested a back-off";
	if (!ks_stated_limit_permits(&said->limit, now_us))
		return "this entry's share of its stated limit is used up";
	return ks_withdrawal_permits(said, now_us)
		       ? NULL
		       : "gets few requests after its back-off";
}

/* Returns the set of the upstreams that can serve a stage. */
static GHashTable *usable_for(const GPtrArray *available, ks_stage_t stage,
			      const ks_placement_query_t *query)
{
	GPtrArray *usable = ks_placement_usable(available, stage, query);
	GHashTable *set = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < usable->len; i++)
		g_hash_table_add(set, usable->pdata[i]);
	g_ptr_array_free(usable, TRUE);
	return set;
}

static const char *part_in_choice(const ks_placement_t *placement,
				  const ks_member_t *member)
{
	if (member == placement->run)
		return "run";
	if (member == placement->prefill)
		return "prefill";
	return member == placement->source ? "fetch" : NULL;
}

static const char *passed_over_reason(const struct explanation *explanation,
				      const ks_member_t *member)
{
	const ks_placement_query_t *query = &explanation->query;
	const char *reason = unavailable_reason(member, explanation->notice_us,
						query->now_us);
	bool may_run = g_hash_table_contains(explanation->may_run, member);

	if (reason || part_in_choice(&explanation->placement, member))
		return reason;
	if (!may_run &&
	    !g_hash_table_contains(explanation->may_prefill, member))
		return objections[ks_placement_objection(member, query)];
	if (!may_run && !explanation->placement.prefill)
		return "prefills only, and no separate prefill is needed";
	return "another one is preferred";
}

/*
 * Time of a call, or until the prompt is prefilled, from the responses that the
 * entries have had; null if there were none lately.
 */
static json_t *expected_time(const struct explanation *explanation,
			     const ks_member_t *member)
{
	const ks_placement_query_t *query = &explanation->query;
	ks_work_t work = KS_WORK_CALL;
	double units = 1, unit_us;

	if (query->prompt) {
		work = member->stage == KS_STAGE_PREFILL ? KS_WORK_PREFILL
							 : KS_WORK_DIRECT;
		units = (double)(query->prompt->total_tokens -
				 ks_member_cached_tokens(member, query->prompt,
							 query->cache_tokens,
							 query->now_us) +
				 member->prefill_tokens +
				 member->peer_prefill_tokens);
	}
	if (!ks_capacity_get(&member->capacity, work, query->now_us, &unit_us))
		return json_null();
	return milliseconds((int64_t)(units * unit_us));
}

static json_t *member_to_json(const struct explanation *explanation,
			      const ks_member_t *member, double cost)
{
	const ks_placement_query_t *query = &explanation->query;
	char address[KS_ADDRESS_TEXT_SIZE];
	json_t *json = json_object();

	set(json, "id", text(member->id));
	set(json, "address",
	    text(ks_address_format(&member->address, address)));
	set(json, "domain", text(member->domain));
	set(json, "stage", json_string(stages[member->stage]));
	set(json, "speed", json_real(1 / member->capacity.slowness));
	set_int(json, "running", member->running);
	set_int(json, "peer_running", member->peer_running);
	set_int(json, "pending_tokens", member->prefill_tokens);
	set_int(json, "peer_pending_tokens", member->peer_prefill_tokens);
	set_int(json, "cached_tokens",
		query->prompt ? ks_member_cached_tokens(member, query->prompt,
							query->cache_tokens,
							query->now_us)
			      : 0);
	set(json, "failure_rate",
	    json_real(ks_member_failure_rate(member, query->now_us)));
	set(json, "expected_ms", expected_time(explanation, member));
	set(json, "cost", json_real(cost));
	set(json, "chosen_to",
	    text(part_in_choice(&explanation->placement, member)));
	set(json, "passed_over", text(passed_over_reason(explanation, member)));
	return json;
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const ks_member_t *x = *(const ks_member_t *const *)a;
	const ks_member_t *y = *(const ks_member_t *const *)b;

	return strcmp(x->id, y->id);
}

static void add_upstreams(struct explanation *explanation)
{
	const ks_placement_query_t *query = &explanation->query;
	const char *service = explanation->service->name;
	GPtrArray *listed = ks_fleet_listed(&explanation->fleet, service);
	GPtrArray *available =
		ks_fleet_available(&explanation->fleet, service,
				   explanation->notice_us, query->now_us);
	double *costs = g_new(double, listed->len + 1);
	json_t *upstreams = json_array();

	explanation->may_run = usable_for(available, KS_STAGE_DECODE, query);
	explanation->may_prefill =
		usable_for(available, KS_STAGE_PREFILL, query);
	g_ptr_array_sort(listed, compare_ids);
	ks_placement_costs(available, listed, query, costs);
	for (guint i = 0; i < listed->len; i++)
		json_array_append_new(
			upstreams, member_to_json(explanation, listed->pdata[i],
						  costs[i]));
	set(explanation->answer, "cost_unit",
	    json_string(query->prompt ? "prompt tokens" : "running requests"));
	set(explanation->answer, "upstreams", upstreams);
	g_hash_table_destroy(explanation->may_run);
	g_hash_table_destroy(explanation->may_prefill);
	g_free(costs);
	g_ptr_array_free(listed, TRUE);
	g_ptr_array_free(available, TRUE);
}

static void add_choice(struct explanation *explanation)
{
	const ks_placement_t *chosen = &explanation->placement;
	json_t *choice = json_object();
	int64_t return_us;

	if (chosen->run) {
		set(choice, "run", text(chosen->run->id));
		set(choice, "prefill",
		    text(chosen->prefill ? chosen->prefill->id : NULL));
		set(choice, "fetch_from",
		    text(chosen->source ? chosen->source->id : NULL));
		set_int(choice, "uncached_tokens",
			chosen->prefill ? chosen->prefill_tokens
					: chosen->run_tokens);
		set(explanation->answer, "choice", choice);
		set_result(explanation, 0,
			   chosen->prefill ? "the upstream that runs it is "
					     "chosen again after the prefill"
					   : NULL);
		return;
	}
	json_decref(choice);
	return_us = ks_fleet_return_us(&explanation->fleet,
				       explanation->service->name, 0,
				       explanation->query.now_us);
	set(explanation->answer, "choice", json_null());
	set(explanation->answer, "return_ms",
	    return_us ? milliseconds(return_us - explanation->query.now_us)
		      : json_null());
	set_result(explanation, STATUS_NOT_RUN,
		   gateway_unplaced_reason(return_us));
}

static void add_placement(struct explanation *explanation)
{
	const ks_gateway_t *gateway = explanation->gateway;

	copy_fleet(explanation);
	explanation->query = gateway_placement_query(
		gateway, explanation->route, explanation->service,
		explanation->has_prompt ? &explanation->prompt : NULL);
	explanation->query.draw = EXPLAIN_DRAW;
	explanation->placement =
		gateway_place(gateway, &explanation->fleet, 0,
			      &explanation->query, &explanation->notice_us);
	add_upstreams(explanation);
	add_choice(explanation);
	g_hash_table_destroy(explanation->fleet.by_id);
}

/**
 * gateway_explanation() - explain where a request would be sent now, and why
 * @request: has the key in its fields
 *
 * Decides in the order of exchange_start().
 *
 * Return: a new reference.
 */
json_t *gateway_explanation(const ks_gateway_t *gateway,
			    const ks_http1_request_t *request,
			    const struct gateway_question *question)
{
	struct explanation explanation = {
		.gateway = gateway,
		.request = request,
		.question = question,
		.answer = json_object(),
	};

	add_configuration(&explanation);
	if (add_route(&explanation) && add_key(&explanation) &&
	    add_service(&explanation) && add_time(&explanation) &&
	    add_prompt(&explanation))
		add_placement(&explanation);
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       "explained where a request would be sent route=%s sent=%d",
	       explanation.route ? explanation.route->name : "-",
	       explanation.placement.run != NULL);
	return explanation.answer;
}
