/*
 * Admission: who may use the upstreams of a model or service now, who waits and
 * who is refused.
 *
 * Tenants share by self-clocked fair queueing: a ticket's finish tag is the
 * virtual time at which its tenant will have been given the ticket's work, and
 * the least tag goes first. The classes share in the same way one level up,
 * with weights so far apart that a lower class only gets what keeps it from
 * starving.
 */
#include "ks/request.h"

#include "admission.h"

#include <math.h>

static bool has_lesser_tag(const ks_ticket_t *a, const ks_ticket_t *b)
{
	if (a->finish_tag < b->finish_tag)
		return true;
	return a->finish_tag <= b->finish_tag &&
	       a->deadline_us < b->deadline_us;
}

static bool must_start_earlier(const ks_ticket_t *a, const ks_ticket_t *b)
{
	return (double)a->deadline_us - a->work_us <
	       (double)b->deadline_us - b->work_us;
}

static unsigned *fair_place(ks_ticket_t *ticket)
{
	return &ticket->fair_place;
}

static unsigned *deadline_place(ks_ticket_t *ticket)
{
	return &ticket->deadline_place;
}

/**
 * ks_admission_new() - set up admission with a capacity of 1
 *
 * One is needed for each model or service. Memory grows with the number of
 * tenant names and queued tickets only.
 */
ks_admission_t *ks_admission_new(void)
{
	ks_admission_t *admission = g_new0(ks_admission_t, 1);
	double weight = 1.0;

	admission->tenants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = N_CLASSES - 1; i >= 0; i--) {
		ks_ticket_heap_init(&admission->classes[i].queue,
				    has_lesser_tag, fair_place);
		admission->classes[i].weight = weight;
		weight *= CLASS_RATIO;
	}
	ks_ticket_heap_init(&admission->deadlines, must_start_earlier,
			    deadline_place);
	ks_list_init(&admission->missed);
	admission->capacity = 1.0;
	admission->servers = 1.0;
	admission->scale = 1.0;
	ks_limit_init(&admission->limit, MAX_SLOTS, 1.0, MAX_SLOTS);
	admission->reduced_us = INT64_MIN;
	admission->class0_seen_us = INT64_MIN / 2;
	return admission;
}

/**
 * ks_admission_free() - free it; tickets still queued belong to their owners
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
 * ks_admission_set_capacity() - set the number of requests admitted at once
 * @concurrency: sum of the learned limits of the upstreams in use; less than 1
 *	admits nothing
 */
void ks_admission_set_capacity(ks_admission_t *admission, double concurrency)
{
	admission->capacity = MAX(concurrency, 0.0);
}

/**
 * ks_admission_set_forecast() - let the owner's forecast decide what may start
 *
 * The forecast then replaces the learned ratio of real to expected work: it
 * knows prefill, which an upstream does one prompt after the other, from
 * decoding, which it does for many requests at once.
 */
void ks_admission_set_forecast(ks_admission_t *admission,
			       ks_admission_forecast_func_t gate, void *ctx)
{
	admission->gate = gate;
	admission->gate_ctx = ctx;
}

/**
 * ks_admission_set_servers() - set the number of upstreams behind a gate
 * @servers: the backlog of tickets' @cost_us is worked off by this many
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
 * ks_admission_set_weight() - set a tenant's share
 * @weight: relative to the other tenants, greater than 0; 1 unless set
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

/* With nothing under way no forecast is trusted; see can_finish(). */
static double gate_wait(const ks_admission_t *admission,
			const ks_ticket_t *ticket)
{
	if (!admission->gate || admission->running < 1.0)
		return 0.0;
	return admission->gate(admission->gate_ctx, ticket);
}

static void start(ks_admission_t *admission, ks_ticket_t *ticket,
		  int64_t now_us)
{
	unsigned i = ks_admission_class(ticket);
	struct service_class *class = &admission->classes[i];

	class->virtual_time = MAX(class->virtual_time, ticket->finish_tag);
	class->given = MAX(class->given, admission->class_time);
	admission->class_time = class->given;
	class->given += ks_admission_cost(ticket) / class->weight;
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
		/* Rounding errors must not add up. */
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
 * With nothing under way no estimate is trusted. Estimates learned while the
 * upstreams were slow could refuse every request, and only a request that runs
 * can correct them.
 */
static bool can_finish(const ks_admission_t *admission,
		       const ks_ticket_t *ticket, double wait_us, double share,
		       int64_t now_us)
{
	int64_t left = ticket->deadline_us - now_us;

	if (admission->running < 1.0)
		return left > 0;
	return wait_us + ticket->work_us * ks_admission_scale(admission) <=
	       share * (double)left;
}

/**
 * ks_admission_arrive() - decide on a request that has just been read
 * @ticket: its tenant, work, deadline, priority and ctx are set; stays in place
 *	until ks_admission_leave(), and so does its tenant's name
 * @retry_after_us: set when it is refused, to the time in which the backlog
 *	will have been worked off
 *
 * Return: KS_ADMIT when it may start; KS_ADMIT_QUEUE when ks_admission_next()
 *	or ks_admission_expired() will return it; KS_ADMIT_REFUSE when it could
 *	not finish by its deadline, and @ticket is free again.
 */
ks_admission_verdict_t ks_admission_arrive(ks_admission_t *admission,
					   ks_ticket_t *ticket, int64_t now_us,
					   int64_t *retry_after_us)
{
	struct tenant *tenant = find_tenant(admission, ticket->tenant);
	unsigned i = ks_admission_class(ticket);
	struct service_class *class = &admission->classes[i];
	bool at_once;
	double wait = 0.0, gate;

	ticket->queued = false;
	ticket->admitted = false;
	ks_list_init(&ticket->node);
	if (i == 0)
		admission->class0_seen_us = now_us;
	ticket->finish_tag = next_tag(tenant, class, i, ticket);
	gate = gate_wait(admission, ticket);
	at_once = gate <= 0.0 && has_room(admission, i, now_us) &&
		  !ks_ticket_heap_first(&class->queue);
	if (!at_once)
		wait = gate +
		       ks_admission_wait(admission, ticket, tenant, now_us);
	if (!can_finish(admission, ticket, wait, DEADLINE_SHARE, now_us)) {
		*retry_after_us = ks_admission_retry_after(admission);
		return KS_ADMIT_REFUSE;
	}
	tenant->last_tag[i] = ticket->finish_tag;
	if (at_once) {
		start(admission, ticket, now_us);
		return KS_ADMIT;
	}
	enqueue(admission, ticket, tenant);
	return KS_ADMIT_QUEUE;
}

static void learn_scale(ks_admission_t *admission, const ks_ticket_t *ticket,
			int64_t now_us)
{
	double took = (double)(now_us - ticket->admitted_us);
	double ratio = took / MAX(ticket->work_us, 1.0);

	admission->scale += SCALE_WEIGHT * (CLAMP(ratio, SCALE_MIN, SCALE_MAX) -
					    admission->scale);
}

/*
 * A request that was admitted and missed its deadline shows that the upstreams
 * take longer for this many at once. Only those admitted after the limit was
 * reduced tell whether it has to be reduced further.
 */
static void learn_limit(ks_admission_t *admission, const ks_ticket_t *ticket,
			int64_t now_us)
{
	bool missed = now_us >= ticket->deadline_us;

	admission->miss_share +=
		MISS_WEIGHT * ((missed ? 1.0 : 0.0) - admission->miss_share);
	if (missed && (admission->miss_share < MISS_SHARE ||
		       ticket->admitted_us <= admission->reduced_us))
		return;
	if (missed)
		admission->reduced_us = now_us;
	ks_limit_deadline(&admission->limit, missed, admission->running);
}

/**
 * ks_admission_leave() - a request has ended, was cancelled or has been refused
 * @ticket: in any state after ks_admission_arrive(); harmless when repeated
 *
 * The owner then calls ks_admission_next() for as long as it returns a ticket.
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
	/* A request cut off at its deadline does not tell its real work. */
	if (now_us < ticket->deadline_us)
		learn_scale(admission, ticket, now_us);
	learn_limit(admission, ticket, now_us);
	admission->running -= 1.0;
	class->running -= 1.0;
	class->running_us -= ks_admission_cost(ticket);
	if (class->running < 1.0)
		class->running_us = 0.0; /* no sum of rounding errors */
}

/* The class that has been given the least for its weight. */
static struct service_class *next_class(ks_admission_t *admission,
					int64_t now_us)
{
	struct service_class *next = NULL;

	for (unsigned i = 0; i < N_CLASSES; i++) {
		struct service_class *class = &admission->classes[i];

		if (!ks_ticket_heap_first(&class->queue) ||
		    !has_room(admission, i, now_us) ||
		    gate_wait(admission, ks_ticket_heap_first(&class->queue)) >
			    0.0)
			continue;
		class->given = MAX(class->given, admission->class_time);
		if (!next || class->given < next->given)
			next = class;
	}
	return next;
}

/**
 * ks_admission_next() - take the queued request that may start now
 *
 * A request that can no longer finish by its deadline is not started; it is
 * returned by ks_admission_expired().
 *
 * Return: the ticket, which counts as admitted, or NULL.
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
		ks_list_append(&admission->missed, &ticket->node);
	}
	return NULL;
}

/**
 * ks_admission_expired() - take a queued request that cannot finish in time
 * @retry_after_us: set when a ticket is returned
 *
 * Called on a timer and after ks_admission_next(), until it returns NULL.
 *
 * Return: a ticket that is no longer queued and never ran, or NULL.
 */
ks_ticket_t *ks_admission_expired(ks_admission_t *admission, int64_t now_us,
				  int64_t *retry_after_us)
{
	ks_ticket_t *ticket = ks_ticket_heap_first(&admission->deadlines);

	if (!ks_list_is_empty(&admission->missed)) {
		ticket = KS_CONTAINER_OF(admission->missed.next, ks_ticket_t,
					 node);
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
