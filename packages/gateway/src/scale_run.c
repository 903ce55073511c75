/*
 * Orders the number of upstreams of services while holding the lease for
 * duties. Load pattern: a few orders a minute, to a platform that may be slow,
 * refuse calls or be away; hundreds of entries, each of which knows the load of
 * all from their messages.
 *
 * The entries that compete for the lease all observe the demand, so that the
 * next holder knows its history. Only the holder decides and sends orders.
 */
#include "ks/scale_run.h"

#include <math.h>
#include <string.h>

#define TICK_US (500 * KS_USEC_PER_MSEC)

/* Evens out requests that begin and end between two observations. */
#define DEMAND_AVERAGE_US (2 * KS_USEC_PER_SEC)

/*
 * Bounds the orders of a new holder with many services to a fifth of the 50
 * calls per second that the platform accepts, as usage reports are urgent.
 */
#define MAX_CALLS_PER_TICK 5
#define MAX_CALLS_IN_FLIGHT 5

/* After a call that was refused or had no answer. */
#define RETRY_US (2 * KS_USEC_PER_SEC)

/* Requests that a plain upstream runs at once if it does not announce it. */
#define DEFAULT_SLOTS 6

/*
 * Prompt tokens that an engine reads within the shortest objective for a first
 * event: 48 tokens per ms for 500 ms.
 */
#define MAX_PREFILL_TOKENS 24000

/*
 * Requests queue up at an upstream whose load is only a little above its
 * capacity, until they say nothing about the load. The demand of an upstream
 * counts up to this multiple of its capacity, as bursts reach twice the load.
 */
#define MAX_OVERLOAD 2.0

/*
 * Share of the entries that may be silent while the demand counts as complete.
 * Among hundreds of entries, one or the other always starts or stops. What they
 * hide is less than the margin of the decision.
 */
#define MAX_SILENT_SHARE 0.05

enum {
	ACKNOWLEDGED,
	REFUSED,
	UNANSWERED
};

/**
 * struct scaled_domain - failure domain of a scaled service
 * @demand, @capacity, @members, @current: sums over the upstreams at this tick
 * @average: moving average of the demand
 * @ordered: acknowledged number, -1 if none or not known
 * @in_flight: an order is in flight
 * @due_us: earliest time of the next order
 */
struct scaled_domain {
	double demand;
	double capacity;
	unsigned members;
	unsigned current;
	double average;
	int64_t averaged_us;
	int64_t ordered;
	bool in_flight;
	int64_t due_us;
};

/**
 * struct scaled_service - service with a number of upstreams to be ordered
 * @capacity: mean capacity of an upstream when there was one last, 0 before
 * @domains: struct scaled_domain by name
 */
struct scaled_service {
	ks_scale_t scale;
	bool is_engine;
	double capacity;
	GHashTable *domains;
};

/* Order in flight. */
struct scale_call {
	ks_list_t node;
	ks_scale_run_t *run;
	char *service;
	char *domain;
	unsigned desired;
	uint64_t fence;
};

static void free_service(gpointer data)
{
	struct scaled_service *service = data;

	ks_scale_deinit(&service->scale);
	g_hash_table_destroy(service->domains);
	g_free(service);
}

static void free_call(struct scale_call *call)
{
	ks_list_remove(&call->node);
	g_free(call->service);
	g_free(call->domain);
	g_free(call);
}

static struct scaled_domain *find_domain(struct scaled_service *service,
					 const char *name)
{
	struct scaled_domain *domain =
		g_hash_table_lookup(service->domains, name);

	if (domain)
		return domain;
	domain = g_new0(struct scaled_domain, 1);
	domain->ordered = -1;
	g_hash_table_insert(service->domains, g_strdup(name), domain);
	return domain;
}

/* Returns what one upstream handles, in the unit of demand_at(). */
static double capacity_of(const struct scaled_service *service,
			  const ks_member_t *member)
{
	if (service->is_engine)
		return 1;
	return member->slots ? member->slots : DEFAULT_SLOTS;
}

/*
 * Returns the requests of all entries at an upstream: for an engine the share
 * of it that they take up, else their number.
 */
static double demand_at(const struct scaled_service *service,
			const ks_member_t *member)
{
	double demand = member->running + member->peer_running;

	if (service->is_engine)
		demand = (double)(member->occupancy + member->peer_occupancy) /
				 KS_OCCUPANCY_UNIT +
			 (double)(member->prefill_tokens +
				  member->peer_prefill_tokens) /
				 MAX_PREFILL_TOKENS;
	return MIN(demand, MAX_OVERLOAD * capacity_of(service, member));
}

static void add_member(ks_scale_run_t *run, const ks_member_t *member)
{
	struct scaled_service *service =
		g_hash_table_lookup(run->services, member->service);
	struct scaled_domain *domain;

	if (!service || !member->listed)
		return;
	domain = find_domain(service, member->domain);
	domain->demand += demand_at(service, member);
	domain->capacity += capacity_of(service, member);
	domain->members++;
	domain->current += member->accepting && !member->withdrawal.leaving_us;
}

static void clear_sums(struct scaled_service *service)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, service->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct scaled_domain *domain = value;

		domain->demand = domain->capacity = 0;
		domain->members = domain->current = 0;
	}
}

static void average_demand(struct scaled_domain *domain, int64_t now_us)
{
	double elapsed_us = (double)(now_us - domain->averaged_us);

	if (domain->averaged_us)
		domain->average +=
			-expm1(-elapsed_us / (double)DEMAND_AVERAGE_US) *
			(domain->demand - domain->average);
	else
		domain->average = domain->demand;
	domain->averaged_us = now_us;
}

static void observe_service(struct scaled_service *service, bool is_complete,
			    int64_t now_us)
{
	gpointer name, value;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, service->domains);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct scaled_domain *domain = value;
		ks_scale_observation_t seen = { .is_complete = is_complete };

		if (domain->members)
			service->capacity = domain->capacity / domain->members;
		average_demand(domain, now_us);
		seen.demand = domain->average;
		seen.capacity = service->capacity;
		seen.current = domain->current;
		ks_scale_observe(&service->scale, name, &seen, now_us);
	}
}

/* Returns whether the load of nearly all entries is known. */
static bool hears_entries(const ks_scale_run_t *run)
{
	double announced, active;

	if (!run->peers)
		return true;
	announced = (double)ks_peers_n_announced(run->peers);
	active = (double)ks_peers_n_active(run->peers);
	return announced - active <= MAX_SILENT_SHARE * announced;
}

/* Records the demand for all services, in one pass over the upstreams. */
static void observe(ks_scale_run_t *run, int64_t now_us)
{
	bool is_complete = hears_entries(run);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, run->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		clear_sums(value);
	g_hash_table_iter_init(&iter, run->fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_member(run, value);
	g_hash_table_iter_init(&iter, run->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		observe_service(value, is_complete, now_us);
	ks_counter_set(run->incomplete, !is_complete);
}

/*
 * Whether the same order is not to be sent again. One that was refused for its
 * contents would be refused again.
 */
static bool is_final(int status)
{
	return status >= 200 && status < 500 && status != 408 && status != 429;
}

static void on_answer(void *ctx, int status)
{
	static const char *const names[] = { "acknowledged", "refused",
					     "unanswered" };
	struct scale_call *call = ctx;
	ks_scale_run_t *run = call->run;
	int result = !status			     ? UNANSWERED
		     : status >= 200 && status < 300 ? ACKNOWLEDGED
						     : REFUSED;
	struct scaled_service *service =
		g_hash_table_lookup(run->services, call->service);
	struct scaled_domain *domain =
		service ? g_hash_table_lookup(service->domains, call->domain)
			: NULL;

	run->n_calls--;
	ks_counter_add(run->order_calls[result], 1);
	ks_log(KS_LOG_ORDER, result == ACKNOWLEDGED ? KS_LOG_INFO : KS_LOG_WARN,
	       "order of a number of upstreams outcome=%s status=%d "
	       "service=%s domain=%s desired=%u",
	       names[result], status, call->service, call->domain,
	       call->desired);
	if (domain) {
		domain->in_flight = false;
		domain->due_us = ks_loop_now(run->loop) + RETRY_US;
		if (call->fence == run->fence && is_final(status))
			domain->ordered = call->desired;
	}
	free_call(call);
}

static bool send_order(ks_scale_run_t *run, const char *service,
		       const ks_scale_domain_t *decision,
		       struct scaled_domain *domain)
{
	struct scale_call *call = g_new0(struct scale_call, 1);
	char *body = run->driver->format_scale(
		run->driver->impl, service, decision->name, decision->desired);
	bool sent;

	call->run = run;
	call->service = g_strdup(service);
	call->domain = g_strdup(decision->name);
	call->desired = decision->desired;
	call->fence = run->fence;
	ks_list_append(&run->calls, &call->node);
	sent = ks_duty_lease_call(run->lease, run->driver, KS_DUTY_SCALE,
				  ks_str_from(body), on_answer, call);
	g_free(body);
	if (!sent) {
		free_call(call);
		return false;
	}
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "a number of upstreams is to change service=%s domain=%s "
	       "desired=%u before=%" PRId64 " current=%u load=%.2f",
	       service, decision->name, decision->desired, domain->ordered,
	       decision->current, decision->load);
	run->n_calls++;
	domain->in_flight = true;
	return true;
}

static bool is_due(const ks_scale_domain_t *decision,
		   const struct scaled_domain *domain, int64_t now_us)
{
	return decision->has_desired && !domain->in_flight &&
	       decision->desired != domain->ordered && domain->due_us <= now_us;
}

/* Sends the orders of a service that are due. Returns how many. */
static unsigned send_orders(ks_scale_run_t *run, const char *name,
			    struct scaled_service *service, unsigned limit,
			    int64_t now_us)
{
	unsigned n = 0;

	for (guint i = 0; i < service->scale.domains->len; i++) {
		const ks_scale_domain_t *decision =
			service->scale.domains->pdata[i];
		struct scaled_domain *domain =
			find_domain(service, decision->name);

		if (n < limit && run->n_calls < MAX_CALLS_IN_FLIGHT &&
		    is_due(decision, domain, now_us))
			n += send_order(run, name, decision, domain);
	}
	return n;
}

/* Another entry may have ordered something since the latest order. */
static void forget_orders(struct scaled_service *service, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	ks_scale_forget_orders(&service->scale, now_us);
	g_hash_table_iter_init(&iter, service->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct scaled_domain *domain = value;

		domain->ordered = -1;
		domain->due_us = 0;
	}
}

static void add_to_gauges(const ks_scale_run_t *run,
			  const struct scaled_service *service)
{
	for (guint i = 0; i < service->scale.domains->len; i++) {
		const ks_scale_domain_t *domain =
			service->scale.domains->pdata[i];

		if (!domain->has_desired)
			continue;
		ks_counter_add(run->desired, domain->desired);
		ks_counter_add(run->current, domain->current);
	}
}

/* Decides and sends orders, under the fencing token of the lease. */
static void order(ks_scale_run_t *run, uint64_t fence, int64_t now_us)
{
	bool is_new = run->fence != fence;
	unsigned n = 0;
	gpointer name, value;
	GHashTableIter iter;

	run->fence = fence;
	g_hash_table_iter_init(&iter, run->services);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct scaled_service *service = value;

		if (is_new)
			forget_orders(service, now_us);
		ks_scale_decide(&service->scale, now_us);
		n += send_orders(run, name, service, MAX_CALLS_PER_TICK - n,
				 now_us);
		add_to_gauges(run, service);
	}
}

static void on_timer(void *ctx)
{
	ks_scale_run_t *run = ctx;
	int64_t now = ks_loop_now(run->loop);
	bool has_services = g_hash_table_size(run->services) > 0;
	uint64_t fence;

	ks_timer_set(&run->timer, TICK_US);
	ks_duty_lease_set_wanted(&run->user, has_services);
	ks_counter_set(run->desired, 0);
	ks_counter_set(run->current, 0);
	if (!has_services ||
	    (run->peers && !ks_duty_lease_is_held(run->lease) &&
	     !ks_peers_is_poller(run->peers)))
		return;
	observe(run, now);
	if (ks_duty_lease_permit(run->lease, &fence))
		order(run, fence, now);
}

/**
 * ks_scale_run_init() - start to order the number of upstreams
 * @driver: has format_scale(); must outlive @run
 */
void ks_scale_run_init(ks_scale_run_t *run, ks_loop_t *loop,
		       const ks_fleet_t *fleet, const ks_peers_t *peers,
		       ks_duty_lease_t *lease, const ks_duty_driver_t *driver,
		       ks_metrics_t *metrics)
{
	static const char *const labels[] = { "result=\"acknowledged\"",
					      "result=\"refused\"",
					      "result=\"unanswered\"" };

	memset(run, 0, sizeof(*run));
	run->loop = loop;
	run->fleet = fleet;
	run->peers = peers;
	run->lease = lease;
	run->driver = driver;
	run->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_service);
	ks_list_init(&run->calls);
	for (size_t i = 0; i < G_N_ELEMENTS(labels); i++)
		run->order_calls[i] = ks_metrics_counter(
			metrics, "ks_gateway_scale_orders_total",
			"Orders of a number of upstreams", labels[i]);
	run->desired = ks_metrics_gauge(
		metrics, "ks_gateway_scale_desired",
		"Upstreams that scaled services should have", NULL);
	run->current = ks_metrics_gauge(metrics, "ks_gateway_scale_current",
					"Upstreams that they have", NULL);
	run->incomplete =
		ks_metrics_gauge(metrics, "ks_gateway_scale_incomplete",
				 "The load of some entries is not known", NULL);
	ks_duty_lease_add_user(lease, &run->user);
	ks_timer_init(&run->timer, loop, on_timer, run);
	ks_timer_set(&run->timer, TICK_US);
}

/**
 * ks_scale_run_deinit() - send no more orders
 *
 * To be called before ks_duty_lease_deinit(), and when the driver calls back no
 * more.
 */
void ks_scale_run_deinit(ks_scale_run_t *run)
{
	ks_timer_clear(&run->timer);
	ks_list_remove(&run->user.node);
	KS_LIST_FOREACH_SAFE (it, tmp, &run->calls)
		free_call(KS_CONTAINER_OF(it, struct scale_call, node));
	g_hash_table_destroy(run->services);
}

static gboolean is_unscaled(gpointer name, gpointer value G_GNUC_UNUSED,
			    gpointer traffic)
{
	const ks_service_t *service = ks_traffic_service(traffic, name);

	return !service || !service->is_scaled;
}

/**
 * ks_scale_run_set_services() - apply the limits of a configuration
 *
 * Nothing is ordered for services that it does not scale.
 */
void ks_scale_run_set_services(ks_scale_run_t *run, const ks_traffic_t *traffic)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(run->services, is_unscaled,
				    (gpointer)traffic);
	g_hash_table_iter_init(&iter, traffic->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ks_service_t *configured = value;
		struct scaled_service *service;

		if (!configured->is_scaled)
			continue;
		service = g_hash_table_lookup(run->services, configured->name);
		if (!service) {
			service = g_new0(struct scaled_service, 1);
			ks_scale_init(&service->scale, ks_loop_now(run->loop));
			service->domains = g_hash_table_new_full(
				g_str_hash, g_str_equal, g_free, g_free);
			g_hash_table_insert(run->services,
					    g_strdup(configured->name),
					    service);
		}
		service->is_engine = configured->is_engine;
		ks_scale_set_limits(&service->scale, &configured->scale);
	}
}
