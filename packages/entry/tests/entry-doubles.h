/*
 * Test doubles for the dependencies of the entry process: links, configuration,
 * ledger, platform, routing, admission and retry modules. A test sets what they
 * report. They are weak symbols, so that they can be linked together with the
 * real functions in the static libraries.
 */
#ifndef ENTRY_DOUBLES_H
#define ENTRY_DOUBLES_H

#include "ks/entry.h"

#include <string.h>

#define DOUBLE __attribute__((weak))

/* Links */

struct ks_attempt {
	ks_link_client_t *link;
	const ks_attempt_events_t *events;
	void *ctx;
	ks_attempt_key_t key;
	char *method;
	char *path;
	char *body;
	char *model;
	GString *headers;
	unsigned priority;
	bool idempotent;
	size_t consumed;
	bool cancelled;
	bool over;
};

struct ks_link_client {
	char *upstream;
	const ks_link_client_events_t *events;
	void *ctx;
	bool up;
	ks_upstream_state_t state;
	ks_load_t load;
	uint64_t version;
	bool leaving_seen;
};

static GPtrArray *double_links;
static GPtrArray *double_attempts;

static void double_free_attempt(void *data)
{
	ks_attempt_t *attempt = data;

	g_free(attempt->method);
	g_free(attempt->path);
	g_free(attempt->body);
	g_free(attempt->model);
	g_string_free(attempt->headers, TRUE);
	g_free(attempt);
}

DOUBLE ks_link_client_t *
ks_link_client_new(ks_loop_t *loop, void *zmq_context,
		   const ks_link_client_options_t *options,
		   const ks_link_client_events_t *events, void *ctx)
{
	ks_link_client_t *link = g_new0(ks_link_client_t, 1);

	(void)loop;
	(void)zmq_context;
	link->upstream = g_strdup(options->upstream);
	link->events = events;
	link->ctx = ctx;
	link->up = true;
	link->state = KS_UPSTREAM_READY;
	link->load.limit = 4;
	g_ptr_array_add(double_links, link);
	return link;
}

DOUBLE void ks_link_client_free(ks_link_client_t *link)
{
	g_ptr_array_remove(double_links, link);
	g_free(link->upstream);
	g_free(link);
}

DOUBLE bool ks_link_client_is_up(const ks_link_client_t *link)
{
	return link->up;
}

DOUBLE ks_upstream_state_t ks_link_client_state(const ks_link_client_t *link)
{
	return link->state;
}

DOUBLE const ks_load_t *ks_link_client_load(const ks_link_client_t *link)
{
	return &link->load;
}

DOUBLE uint64_t ks_link_client_peer_version(const ks_link_client_t *link)
{
	return link->version;
}

DOUBLE void ks_link_client_set_version(ks_link_client_t *link, uint64_t version)
{
	link->version = version;
}

DOUBLE void
ks_link_client_set_idle_heartbeat(ks_link_client_t *link G_GNUC_UNUSED,
				  int64_t idle_heartbeat_us G_GNUC_UNUSED)
{
}

DOUBLE void ks_link_client_set_leaving_seen(ks_link_client_t *link,
					    bool leaving)
{
	link->leaving_seen = leaving;
}

DOUBLE ks_attempt_t *ks_link_client_send(ks_link_client_t *link,
					 const ks_attempt_request_t *request,
					 const ks_attempt_events_t *events,
					 void *ctx)
{
	ks_attempt_t *attempt = g_new0(ks_attempt_t, 1);

	attempt->link = link;
	attempt->events = events;
	attempt->ctx = ctx;
	attempt->key = request->key;
	attempt->method = ks_str_dup(request->method);
	attempt->path = ks_str_dup(request->path);
	attempt->body = ks_str_dup(request->body);
	attempt->model = ks_str_dup(request->model);
	attempt->priority = request->priority;
	attempt->idempotent = request->idempotent;
	attempt->headers = g_string_new("\n");
	for (size_t i = 0; i < request->n_headers; i++)
		g_string_append_printf(attempt->headers, "%.*s: %.*s\n",
				       (int)request->headers[i].name.len,
				       request->headers[i].name.data,
				       (int)request->headers[i].value.len,
				       request->headers[i].value.data);
	g_ptr_array_add(double_attempts, attempt);
	return attempt;
}

DOUBLE void ks_attempt_consume(ks_attempt_t *attempt, size_t len)
{
	g_assert_false(attempt->over);
	attempt->consumed += len;
}

DOUBLE void ks_attempt_cancel(ks_attempt_t *attempt)
{
	g_assert_false(attempt->over);
	attempt->cancelled = true;
}

static ks_attempt_t *double_attempt(unsigned index)
{
	g_assert_cmpuint(index, <, double_attempts->len);
	return g_ptr_array_index(double_attempts, index);
}

static void double_head(ks_attempt_t *attempt, int status, const char *type)
{
	ks_header_t header = { KS_STR("content-type"), ks_str_from(type) };

	attempt->events->accepted(attempt->ctx);
	attempt->events->head(attempt->ctx, status, &header, 1);
}

static void double_body(ks_attempt_t *attempt, const char *text)
{
	attempt->events->body(attempt->ctx, ks_str_from(text));
}

static void double_end(ks_attempt_t *attempt, ks_error_kind_t kind)
{
	attempt->over = true;
	attempt->events->end(attempt->ctx, kind, (ks_str_t){ NULL, 0 });
}

static void double_not_started(ks_attempt_t *attempt, ks_error_kind_t kind,
			       int64_t retry_after_us)
{
	attempt->over = true;
	attempt->events->not_started(attempt->ctx, kind, retry_after_us);
}

/* Configuration */

struct ks_config {
	ks_config_func_t func;
	void *ctx;
	ks_snapshot_t *current;
	unsigned offers;
};

static ks_config_t *double_config;

DOUBLE ks_config_t *ks_config_new(ks_loop_t *loop, ks_store_t *store,
				  ks_rng_t *rng, int64_t poll_us,
				  ks_config_func_t func, void *ctx)
{
	(void)loop;
	(void)store;
	(void)rng;
	(void)poll_us;
	double_config = g_new0(ks_config_t, 1);
	double_config->func = func;
	double_config->ctx = ctx;
	return double_config;
}

DOUBLE void ks_config_observe_version(ks_config_t *config, uint64_t version)
{
	(void)config;
	(void)version;
}

DOUBLE void ks_config_free(ks_config_t *config)
{
	g_free(config);
}

DOUBLE ks_snapshot_t *ks_config_current(const ks_config_t *config)
{
	return config->current;
}

DOUBLE uint64_t ks_config_version(const ks_config_t *config)
{
	return config->current ? config->current->version : 0;
}

DOUBLE void ks_config_offer(ks_config_t *config, uint64_t version,
			    ks_str_t digest, ks_str_t body)
{
	(void)version;
	(void)digest;
	(void)body;
	config->offers++;
}

DOUBLE const ks_model_t *ks_snapshot_find_model(const ks_snapshot_t *snapshot,
						ks_str_t name)
{
	for (unsigned i = 0; i < snapshot->models->len; i++) {
		const ks_model_t *model =
			g_ptr_array_index(snapshot->models, i);

		if (ks_str_equal(ks_str_from(model->name), name))
			return model;
	}
	return NULL;
}

/* Ledger */

struct ks_ledger {
	unsigned begun;
	unsigned done;
	unsigned not_run;
	unsigned unknown;
	unsigned abandoned;
	bool busy;
	const ks_ledger_events_t *events;
	void *ctx;
	GString *answer;
};

struct ks_ledger_record {
	int unused;
};

static ks_ledger_t double_ledger;
static ks_ledger_record_t double_claim;

DOUBLE ks_ledger_t *ks_ledger_new(ks_loop_t *loop, ks_store_t *store,
				  const ks_clock_t *wall, ks_rng_t *rng,
				  const ks_id_t *holder)
{
	(void)loop;
	(void)store;
	(void)wall;
	(void)rng;
	(void)holder;
	memset(&double_ledger, 0, sizeof(double_ledger));
	double_ledger.answer = g_string_new(NULL);
	return &double_ledger;
}

DOUBLE bool ks_ledger_is_idle(const ks_ledger_t *ledger)
{
	return !ledger->busy;
}

DOUBLE void ks_ledger_free(ks_ledger_t *ledger)
{
	g_string_free(ledger->answer, TRUE);
}

DOUBLE ks_ledger_record_t *
ks_ledger_begin(ks_ledger_t *ledger, const ks_idempotency_key_t *key,
		ks_str_t tenant, const uint8_t *fingerprint,
		const ks_id_t *request, int64_t timeout_us,
		const ks_ledger_events_t *events, void *ctx)
{
	(void)key;
	(void)tenant;
	(void)fingerprint;
	(void)request;
	(void)timeout_us;
	ledger->begun++;
	ledger->events = events;
	ledger->ctx = ctx;
	return &double_claim;
}

DOUBLE void ks_ledger_done(ks_ledger_record_t *record, int status,
			   ks_str_t content_type, ks_str_t body)
{
	(void)record;
	(void)status;
	(void)content_type;
	double_ledger.done++;
	g_string_append_len(double_ledger.answer, body.data, (gssize)body.len);
}

DOUBLE void ks_ledger_not_run(ks_ledger_record_t *record)
{
	(void)record;
	double_ledger.not_run++;
}

DOUBLE void ks_ledger_unknown(ks_ledger_record_t *record)
{
	(void)record;
	double_ledger.unknown++;
}

DOUBLE void ks_ledger_abandon(ks_ledger_record_t *record)
{
	(void)record;
	double_ledger.abandoned++;
}

DOUBLE void ks_claim_fingerprint(uint8_t fingerprint[KS_FINGERPRINT_SIZE],
				 ks_str_t method, ks_str_t path, ks_str_t body)
{
	(void)method;
	(void)path;
	(void)body;
	memset(fingerprint, 0, KS_FINGERPRINT_SIZE);
}

/* Platform */

static ks_hosts_func_t double_hosts_func;
static void *double_hosts_ctx;

static void double_hosts(void *impl, ks_hosts_func_t func, void *ctx)
{
	(void)impl;
	double_hosts_func = func;
	double_hosts_ctx = ctx;
}

DOUBLE void ks_store_http_init(ks_store_http_t *driver,
			       ks_http_client_t *client,
			       const ks_address_t *address, const char *token)
{
	(void)driver;
	(void)client;
	(void)address;
	(void)token;
}

DOUBLE void ks_store_http_deinit(ks_store_http_t *driver)
{
	(void)driver;
}

DOUBLE void ks_platform_http_init(ks_platform_http_t *driver,
				  ks_http_client_t *client,
				  const ks_address_t *address,
				  const char *token)
{
	(void)client;
	(void)address;
	(void)token;
	driver->platform.hosts = double_hosts;
	driver->platform.impl = driver;
}

DOUBLE void ks_platform_http_deinit(ks_platform_http_t *driver)
{
	(void)driver;
}

/*
 * Routing chooses the first upstream that is left; admission is a FIFO queue.
 */

DOUBLE ks_route_choice_t ks_route_choose(const ks_route_request_t *request,
					 const ks_candidate_t *candidates,
					 size_t n_candidates, ks_rng_t *rng)
{
	ks_route_choice_t choice = { .index = -1, .finish_us = 0 };

	(void)request;
	(void)rng;
	for (size_t i = 0; i < n_candidates; i++) {
		if (candidates[i].excluded)
			continue;
		if (choice.index < 0 ||
		    (candidates[choice.index].same_domain_failed &&
		     !candidates[i].same_domain_failed))
			choice.index = (int)i;
	}
	return choice;
}

DOUBLE int ks_route_choose_by_policy(ks_routing_policy_t policy,
				     const ks_candidate_t *candidates,
				     size_t n_candidates, unsigned turn,
				     uint64_t prefix)
{
	(void)policy;
	(void)turn;
	(void)prefix;
	return ks_route_choose(NULL, candidates, n_candidates, NULL).index;
}

DOUBLE bool ks_routing_policy_parse(ks_routing_policy_t *policy, ks_str_t name)
{
	(void)policy;
	(void)name;
	return true;
}

struct ks_admission {
	ks_list_t queue;
	double capacity;
	unsigned admitted;
};

static bool double_refuse;

DOUBLE ks_admission_t *ks_admission_new(void)
{
	ks_admission_t *admission = g_new0(ks_admission_t, 1);

	ks_list_init(&admission->queue);
	admission->capacity = 1;
	return admission;
}

DOUBLE void ks_admission_free(ks_admission_t *admission)
{
	g_free(admission);
}

DOUBLE void ks_admission_set_capacity(ks_admission_t *admission,
				      double concurrency)
{
	admission->capacity = concurrency;
}

DOUBLE void ks_admission_set_forecast(ks_admission_t *admission,
				      ks_admission_forecast_func_t forecast,
				      void *ctx)
{
	(void)admission;
	(void)forecast;
	(void)ctx;
}

DOUBLE void ks_admission_set_servers(ks_admission_t *admission, double servers)
{
	(void)admission;
	(void)servers;
}

DOUBLE void ks_admission_set_weight(ks_admission_t *admission,
				    const char *tenant, double weight)
{
	(void)admission;
	(void)tenant;
	(void)weight;
}

DOUBLE ks_admission_verdict_t ks_admission_arrive(ks_admission_t *admission,
						  ks_ticket_t *ticket,
						  int64_t now_us,
						  int64_t *retry_after_us)
{
	(void)now_us;
	if (double_refuse) {
		*retry_after_us = 2100 * KS_USEC_PER_MSEC;
		return KS_ADMIT_REFUSE;
	}
	if (admission->admitted < admission->capacity) {
		admission->admitted++;
		ticket->admitted = true;
		return KS_ADMIT;
	}
	ticket->queued = true;
	ks_list_append(&admission->queue, &ticket->node);
	return KS_ADMIT_QUEUE;
}

DOUBLE void ks_admission_leave(ks_admission_t *admission, ks_ticket_t *ticket,
			       int64_t now_us)
{
	(void)now_us;
	if (ticket->admitted)
		admission->admitted--;
	if (ticket->queued)
		ks_list_remove(&ticket->node);
	ticket->admitted = ticket->queued = false;
}

DOUBLE ks_ticket_t *ks_admission_next(ks_admission_t *admission, int64_t now_us)
{
	ks_ticket_t *ticket;

	(void)now_us;
	if (ks_list_is_empty(&admission->queue) ||
	    admission->admitted >= admission->capacity)
		return NULL;
	ticket = KS_CONTAINER_OF(admission->queue.next, ks_ticket_t, node);
	ks_list_remove(&ticket->node);
	ticket->queued = false;
	ticket->admitted = true;
	admission->admitted++;
	return ticket;
}

DOUBLE ks_ticket_t *ks_admission_expired(ks_admission_t *admission,
					 int64_t now_us,
					 int64_t *retry_after_us)
{
	KS_LIST_FOREACH_SAFE (it, tmp, &admission->queue) {
		ks_ticket_t *ticket = KS_CONTAINER_OF(it, ks_ticket_t, node);

		if ((double)ticket->deadline_us - ticket->work_us >=
		    (double)now_us)
			continue;
		ks_list_remove(&ticket->node);
		ticket->queued = false;
		*retry_after_us = 3 * KS_USEC_PER_SEC;
		return ticket;
	}
	return NULL;
}

DOUBLE void ks_retry_budget_init(ks_retry_budget_t *budget, double ratio,
				 double max_tokens)
{
	budget->ratio = ratio;
	budget->max_tokens = max_tokens;
}

DOUBLE void ks_retry_budget_deposit(ks_retry_budget_t *budget)
{
	(void)budget;
}

DOUBLE bool ks_retry_allowed(ks_retry_budget_t *budget,
			     const ks_attempt_failure_t *failure,
			     bool idempotent, unsigned attempts,
			     int64_t time_left_us)
{
	(void)budget;
	return (failure->not_started || idempotent) && attempts < 4 &&
	       time_left_us > 0;
}

DOUBLE void ks_ejection_init(ks_ejection_t *ejection)
{
	memset(ejection, 0, sizeof(*ejection));
}

DOUBLE void ks_ejection_success(ks_ejection_t *ejection)
{
	ejection->failures = 0;
}

DOUBLE void ks_ejection_failure(ks_ejection_t *ejection, int64_t now_us,
				ks_rng_t *rng)
{
	(void)now_us;
	(void)rng;
	ejection->failures++;
}

DOUBLE bool ks_ejection_is_active(const ks_ejection_t *ejection, int64_t now_us)
{
	(void)now_us;
	return ejection->failures > 0;
}

struct ks_prefix_index {
	size_t cached_blocks;
};

DOUBLE ks_prefix_index_t *ks_prefix_index_new(size_t max_blocks,
					      int64_t half_life_us)
{
	(void)max_blocks;
	(void)half_life_us;
	return g_new0(ks_prefix_index_t, 1);
}

DOUBLE void ks_prefix_index_free(ks_prefix_index_t *belief)
{
	g_free(belief);
}

DOUBLE void ks_prefix_index_add(ks_prefix_index_t *belief,
				const uint64_t *hashes, size_t count,
				int64_t now_us)
{
	(void)belief;
	(void)hashes;
	(void)count;
	(void)now_us;
}

static size_t double_cached_blocks;

DOUBLE void ks_prefix_index_correct(ks_prefix_index_t *belief,
				    const uint64_t *hashes, size_t count,
				    size_t cached_blocks, int64_t now_us)
{
	(void)belief;
	(void)hashes;
	(void)count;
	(void)now_us;
	double_cached_blocks = cached_blocks;
}

DOUBLE uint32_t ks_prefix_index_tokens(const ks_prefix_index_t *belief,
				       const uint64_t *hashes, size_t count,
				       int64_t now_us)
{
	(void)belief;
	(void)hashes;
	(void)count;
	(void)now_us;
	return 0;
}

DOUBLE size_t ks_subset_choose(ks_str_t entry, const ks_str_t *upstreams,
			       const ks_str_t *domains, size_t count,
			       size_t wanted, size_t *chosen)
{
	(void)entry;
	(void)upstreams;
	(void)domains;
	for (size_t i = 0; i < count && i < wanted; i++)
		chosen[i] = i;
	return MIN(count, wanted);
}

#endif
