/*
 * Admission control: decides which requests may use the upstreams of a model or
 * service now, which are queued and which are refused.
 *
 * Within a service class, tenants share the capacity by self-clocked fair
 * queueing (SCFQ). The finish tag of a ticket is the virtual time at which its
 * tenant has received service for the ticket's cost; the smallest tag is served
 * first. The service classes share the capacity in the same way. Their weights
 * are so far apart that a lower class gets just enough not to starve.
 */
#include "ks/request.h"

#include "admission.h"

#include <math.h>

static bool has_smaller_tag(const ks_ticket_t *a, const ks_ticket_t *b)
{
	if (a->finish_tag < b->finish_tag)
		return true;
	return a->finish_tag <= b->finish_tag &&
	       a->deadline_us < b->deadline_us;
}

static bool has_earlier_latest_start(const ks_ticket_t *a, const ks_ticket_t *b)
{
	return (double)a->deadline_us - a->work_us <
	       (double)b->deadline_us - b->work_us;
}

static unsigned *fair_index(ks_ticket_t *ticket)
{
	return &ticket->fair_index;
}

static unsigned *deadline_index(ks_ticket_t *ticket)
{
	return &ticket->deadline_index;
}

/**
 * ks_admission_new() - create admission control with a capacity of 1
 *
 * Each model or service needs its own. Memory use grows only with the number of
 * distinct tenant names and of queued tickets.
 *
 * Return: to be freed with ks_admission_free().
 */
ks_admission_t *ks_admission_new(void)
{
	ks_admission_t *admission = g_new0(ks_admission_t, 1);
	double weight = 1.0;

	admission->tenants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = N_CLASSES - 1; i >= 0; i--) {
		ks_ticket_heap_init(&admission->classes[i].queue,
				    has_smaller_tag, fair_index);
		admission->classes[i].weight = weight;
		weight *= CLASS_WEIGHT_RATIO;
	}
	ks_ticket_heap_init(&admission->deadlines, has_earlier_latest_start,
			    deadline_index);
	ks_list_init(&admission->unschedulable);
	admission->capacity = 1.0;
	admission->servers = 1.0;
	admission->work_ratio = 1.0;
	ks_limit_init(&admission->limit, MAX_SLOTS, 1.0, MAX_SLOTS);
	admission->limit_reduced_us = INT64_MIN;
	admission->class0_arrival_us = INT64_MIN / 2;
	return admission;
}

/**
 * ks_admission_free() - free admission control
 * @admission: may be NULL; tickets that are still queued are not freed
 */
void ks_admission_free(ks_admission_t *admission)
{
	if (!admission)
		return;
	for (int i = 0; i < N_CLASSES; i++)
		ks_ticket_heap_deinit(&admission->classes[i].queue);
	ks_ticket_heap_deinit(&admission->deadlines);
	g_hash_table_destroy(admission->tenants);
	g_free(admission);
}

/**
 * ks_admission_set_capacity() - set the maximum number of admitted requests
 * @concurrency: sum of the concurrency limits of the upstreams in use; nothing
 *	is admitted if it is less than 1
 */
void ks_admission_set_capacity(ks_admission_t *admission, double concurrency)
{
	admission->capacity = MAX(concurrency, 0.0);
}

/**
 * ks_admission_set_forecast() - let a forecast decide which requests may start
 * @forecast: called for each request that could start
 * @ctx: passed to @forecast
 *
 * The forecast replaces the work ratio and the adaptive limit. Unlike these, it
 * distinguishes prefill, which an upstream does for one prompt at a time, from
 * decode, which it does for many requests at once.
 */
void ks_admission_set_forecast(ks_admission_t *admission,
			       ks_admission_forecast_func_t forecast, void *ctx)
{
	admission->forecast = forecast;
	admission->forecast_ctx = ctx;
}

/**
 * ks_admission_set_servers() - set the number of upstreams
 * @servers: number of upstreams that work on the backlog in parallel; used only
 *	with ks_admission_set_forecast()
 */
void ks_admission_set_servers(ks_admission_t *admission, double servers)
{
	admission->servers = MAX(servers, 1.0);
}

static struct tenant *find_tenant(ks_admission_t *admission, const char *name)
{
	struct tenant *tenant = g_hash_table_lookup(admission->tenants, name);

	if (!tenant) {
		tenant = g_new0(struct tenant, 1);
		tenant->weight = 1.0;
		g_hash_table_insert(admission->tenants, g_strdup(name), tenant);
	}
	return tenant;
}

/**
 * ks_admission_set_weight() - set a tenant's share of the capacity
 * @weight: relative to other tenants; greater than 0, 1 by default
 */
void ks_admission_set_weight(ks_admission_t *admission, const char *tenant,
			     double weight)
{
	struct tenant *found = find_tenant(admission, tenant);

	for (int i = 0; i < N_CLASSES; i++)
		if (found->queued[i] > 0)
			admission->classes[i].weights += weight - found->weight;
	found->weight = weight;
}

/* Whether a slot is free for this class; only class 0 may use reserved ones. */
static bool has_room(const ks_admission_t *admission, unsigned class,
		     int64_t now_us)
{
	double slots = ks_admission_slots(admission), low;

	if (admission->running + 1.0 > slots)
		return false;
	if (class == 0)
		return true;
	low = slots - ks_admission_reserved(admission, now_us);
	return admission->running - admission->classes[0].running + 1.0 <= low;
}

/* The forecast is ignored while nothing is running; see can_finish(). */
static double forecast_wait(const ks_admission_t *admission,
			    const ks_ticket_t *ticket)
{
	if (!admission->forecast || admission->running < 1.0)
		return 0.0;
	return admission->forecast(admission->forecast_ctx, ticket);
}

static void start(ks_admission_t *admission, ks_ticket_t *ticket,
		  int64_t now_us)
{
	unsigned i = ks_admission_class(ticket);
	struct service_class *class = &admission->classes[i];

	class->virtual_time = MAX(class->virtual_time, ticket->finish_tag);
	class->normalized_service =
		MAX(class->normalized_service, admission->virtual_time);
	admission->virtual_time = class->normalized_service;
	class->normalized_service += ks_admission_cost(ticket) / class->weight;
	admission->running += 1.0;
	class->running += 1.0;
	class->running_us += ks_admission_cost(ticket);
	ticket->admitted = true;
	ticket->admitted_us = now_us;
}

static void enqueue(ks_admission_t *admission, ks_ticket_t *ticket,
		    struct tenant *tenant)
{
	unsigned i = ks_admission_class(ticket);
	struct service_class *class = &admission->classes[i];

	if (tenant->queued[i]++ == 0)
		class->weights += tenant->weight;
	class->queued_us += ks_admission_cost(ticket);
	ks_ticket_heap_push(&class->queue, ticket);
	ks_ticket_heap_push(&admission->deadlines, ticket);
	ticket->queued = true;
}

static void dequeue(ks_admission_t *admission, ks_ticket_t *ticket)
{
	unsigned i = ks_admission_class(ticket);
	struct service_class *class = &admission->classes[i];
	struct tenant *tenant = find_tenant(admission, ticket->tenant);

	ks_ticket_heap_remove(&class->queue, ticket);
	ks_ticket_heap_remove(&admission->deadlines, ticket);
	class->queued_us -= ks_admission_cost(ticket);
	if (--tenant->queued[i] == 0)
		class->weights -= tenant->weight;
	if (!ks_ticket_heap_first(&class->queue)) {
		/* Do not accumulate rounding errors. */
		class->weights = 0.0;
		class->queued_us = 0.0;
	}
	ticket->queued = false;
}

static double next_tag(const struct tenant *tenant,
		       const struct service_class *class, unsigned i,
		       const ks_ticket_t *ticket)
{
	return MAX(tenant->last_tag[i], class->virtual_time) +
	       ks_admission_cost(ticket) / tenant->weight;
}

/*
 * Whether a request that waits @wait_us finishes within @fraction of the time
 * to its deadline. Estimates are ignored while nothing is running. Estimates
 * made while the upstreams were slow could otherwise refuse every request, and
 * they are only corrected by requests that run.
 */
static bool can_finish(const ks_admission_t *admission,
		       const ks_ticket_t *ticket, double wait_us,
		       double fraction, int64_t now_us)
{
	int64_t left = ticket->deadline_us - now_us;

	if (admission->running < 1.0)
		return left > 0;
	return wait_us + ticket->work_us * ks_admission_work_ratio(admission) <=
	       fraction * (double)left;
}

/**
 * ks_admission_arrive() - admit, queue or refuse a request
 * @ticket: the fields up to and including ctx are set by its owner. The ticket
 *	and its tenant name must stay valid and in place until
 *	ks_admission_leave().
 * @retry_after_us: if the request is refused, set to the time in which the
 *	current backlog is expected to be processed
 *
 * Return: KS_ADMIT if the request may start; KS_ADMIT_QUEUE if @ticket will be
 *	returned by ks_admission_next() or ks_admission_expired();
 *	KS_ADMIT_REFUSE if the request could not finish by its deadline, in
 *	which case @ticket is not referenced any more.
 */
ks_admission_verdict_t ks_admission_arrive(ks_admission_t *admission,
					   ks_ticket_t *ticket, int64_t now_us,
					   int64_t *retry_after_us)
{
	struct tenant *tenant = find_tenant(admission, ticket->tenant);
	unsigned i = ks_admission_class(ticket);
	struct service_class *class = &admission->classes[i];
	bool immediate;
	double wait = 0.0, forecast;

	ticket->queued = false;
	ticket->admitted = false;
	ks_list_init(&ticket->node);
	if (i == 0)
		admission->class0_arrival_us = now_us;
	ticket->finish_tag = next_tag(tenant, class, i, ticket);
	forecast = forecast_wait(admission, ticket);
	immediate = forecast <= 0.0 && has_room(admission, i, now_us) &&
		    !ks_ticket_heap_first(&class->queue);
	if (!immediate)
		wait = forecast +
		       ks_admission_wait(admission, ticket, tenant, now_us);
	if (!can_finish(admission, ticket, wait, DEADLINE_FRACTION, now_us)) {
		*retry_after_us = ks_admission_retry_after(admission);
		return KS_ADMIT_REFUSE;
	}
	tenant->last_tag[i] = ticket->finish_tag;
	if (immediate) {
		start(admission, ticket, now_us);
		return KS_ADMIT;
	}
	enqueue(admission, ticket, tenant);
	return KS_ADMIT_QUEUE;
}

static void update_work_ratio(ks_admission_t *admission,
			      const ks_ticket_t *ticket, int64_t now_us)
{
	double took = (double)(now_us - ticket->admitted_us);
	double ratio = took / MAX(ticket->work_us, 1.0);

	admission->work_ratio += WORK_RATIO_WEIGHT *
				 (CLAMP(ratio, WORK_RATIO_MIN, WORK_RATIO_MAX) -
				  admission->work_ratio);
}

/*
 * A miss by an admitted request shows that the upstreams are too slow at this
 * concurrency. After a reduction of the limit, only requests admitted since
 * then show whether it has to be reduced further.
 */
static void update_limit(ks_admission_t *admission, const ks_ticket_t *ticket,
			 int64_t now_us)
{
	bool missed = now_us >= ticket->deadline_us;

	admission->miss_rate +=
		MISS_WEIGHT * ((missed ? 1.0 : 0.0) - admission->miss_rate);
	if (missed && (admission->miss_rate < MISS_RATE_THRESHOLD ||
		       ticket->admitted_us <= admission->limit_reduced_us))
		return;
	if (missed)
		admission->limit_reduced_us = now_us;
	ks_limit_deadline(&admission->limit, missed, admission->running);
}

/**
 * ks_admission_leave() - remove a request that finished or was cancelled
 * @ticket: in any state after ks_admission_arrive(); repeated calls have no
 *	effect
 *
 * The owner then calls ks_admission_next() until it returns NULL.
 */
void ks_admission_leave(ks_admission_t *admission, ks_ticket_t *ticket,
			int64_t now_us)
{
	struct service_class *class =
		&admission->classes[ks_admission_class(ticket)];

	if (ticket->queued)
		dequeue(admission, ticket);
	ks_list_remove(&ticket->node);
	if (!ticket->admitted)
		return;
	ticket->admitted = false;
	/* The full duration of a request cut off at its deadline is unknown. */
	if (now_us < ticket->deadline_us)
		update_work_ratio(admission, ticket, now_us);
	update_limit(admission, ticket, now_us);
	admission->running -= 1.0;
	class->running -= 1.0;
	class->running_us -= ks_admission_cost(ticket);
	if (class->running < 1.0)
		class->running_us = 0.0; /* drop rounding errors */
}

/* The class to serve next: least normalized service among those with room. */
static struct service_class *next_class(ks_admission_t *admission,
					int64_t now_us)
{
	struct service_class *next = NULL;

	for (unsigned i = 0; i < N_CLASSES; i++) {
		struct service_class *class = &admission->classes[i];

		if (!ks_ticket_heap_first(&class->queue) ||
		    !has_room(admission, i, now_us) ||
		    forecast_wait(admission,
				  ks_ticket_heap_first(&class->queue)) > 0.0)
			continue;
		class->normalized_service =
			MAX(class->normalized_service, admission->virtual_time);
		if (!next ||
		    class->normalized_service < next->normalized_service)
			next = class;
	}
	return next;
}

/**
 * ks_admission_next() - admit the next queued request, if one may start now
 *
 * A request that can no longer finish by its deadline is skipped and returned
 * by ks_admission_expired().
 *
 * Return: the admitted ticket, or NULL.
 */
ks_ticket_t *ks_admission_next(ks_admission_t *admission, int64_t now_us)
{
	struct service_class *class;

	while ((class = next_class(admission, now_us))) {
		ks_ticket_t *ticket = ks_ticket_heap_first(&class->queue);

		dequeue(admission, ticket);
		if (can_finish(admission, ticket, 0.0, 1.0, now_us)) {
			start(admission, ticket, now_us);
			return ticket;
		}
		ks_list_append(&admission->unschedulable, &ticket->node);
	}
	return NULL;
}

/**
 * ks_admission_expired() - dequeue a request that can no longer finish in time
 * @retry_after_us: if a ticket is returned, set to the time in which the
 *	current backlog is expected to be processed
 *
 * To be called periodically and after ks_admission_next(), until it returns
 * NULL.
 *
 * Return: a ticket that was removed from the queue and never admitted, or NULL.
 */
ks_ticket_t *ks_admission_expired(ks_admission_t *admission, int64_t now_us,
				  int64_t *retry_after_us)
{
	ks_ticket_t *ticket = ks_ticket_heap_first(&admission->deadlines);

	if (!ks_list_is_empty(&admission->unschedulable)) {
		ticket = KS_CONTAINER_OF(admission->unschedulable.next,
					 ks_ticket_t, node);
		ks_list_remove(&ticket->node);
	} else if (ticket &&
		   (double)(ticket->deadline_us - now_us) < ticket->work_us) {
		dequeue(admission, ticket);
	} else {
		return NULL;
	}
	*retry_after_us = ks_admission_retry_after(admission);
	return ticket;
}
