/* How long requests wait for admission. */
#include "admission.h"

#include <math.h>

/**
 * ks_admission_slots() - requests that may be admitted at once now
 */
double ks_admission_slots(const ks_admission_t *admission)
{
	/* Behind a gate the forecast of each upstream does this better. */
	if (admission->gate)
		return admission->capacity;
	return MIN(admission->capacity, admission->limit.value);
}

/**
 * ks_admission_scale() - real time over expected time
 */
double ks_admission_scale(const ks_admission_t *admission)
{
	return admission->gate ? 1.0 : admission->scale;
}

/* Tickets worked on at once, each taking its cost. */
static double servers(const ks_admission_t *admission)
{
	if (admission->gate)
		return admission->servers;
	return MAX(ks_admission_slots(admission), 1.0);
}

/**
 * ks_admission_reserved() - slots that only class 0 may use now
 */
double ks_admission_reserved(const ks_admission_t *admission, int64_t now_us)
{
	if (now_us - admission->class0_seen_us > RESERVE_FOR_US)
		return 0.0;
	return floor(ks_admission_slots(admission) * RESERVED_SHARE);
}

static double backlog_us(const ks_admission_t *admission)
{
	double sum = 0.0;

	for (int i = 0; i < N_CLASSES; i++)
		sum += admission->classes[i].queued_us;
	return sum;
}

static double running_us(const ks_admission_t *admission)
{
	double sum = 0.0;

	for (int i = 0; i < N_CLASSES; i++)
		sum += admission->classes[i].running_us;
	return sum;
}

/* Work done before a ticket that is to be queued, at its tenant's fair share.
 */
static double fair_work_ahead(const ks_admission_t *admission,
			      const ks_ticket_t *ticket,
			      const struct tenant *tenant)
{
	unsigned i = ks_admission_class(ticket);
	const struct service_class *class = &admission->classes[i];
	double weights = class->weights, shares = class->weight;

	if (tenant->queued[i] == 0)
		weights += tenant->weight;
	for (unsigned j = 0; j < N_CLASSES; j++)
		if (j != i &&
		    ks_ticket_heap_first(&admission->classes[j].queue))
			shares += admission->classes[j].weight;
	return (ticket->finish_tag - class->virtual_time) * weights * shares /
	       class->weight;
}

/**
 * ks_admission_wait() - time until a ticket that is to be queued would start
 */
double ks_admission_wait(const ks_admission_t *admission,
			 const ks_ticket_t *ticket, const struct tenant *tenant,
			 int64_t now_us)
{
	const struct service_class *first = &admission->classes[0];
	double reserved = ks_admission_reserved(admission, now_us);
	double wait;

	/* The gate tells when an upstream is free; this is the queue ahead. */
	if (admission->gate)
		return MIN(fair_work_ahead(admission, ticket, tenant) -
				   ks_admission_cost(ticket),
			   backlog_us(admission)) /
		       servers(admission);
	/* A slot comes free after the mean running work over the slots. */
	wait = (MIN(fair_work_ahead(admission, ticket, tenant),
		    backlog_us(admission) + ks_admission_cost(ticket)) +
		running_us(admission) / MAX(admission->running, 1.0)) /
	       servers(admission);
	/* The reserved slots serve class 0 alone, whatever runs beside it. */
	if (ks_admission_class(ticket) == 0 && reserved >= 1.0)
		wait = MIN(wait,
			   (first->queued_us +
			    first->running_us / MAX(first->running, 1.0)) /
				   reserved);
	return wait * ks_admission_scale(admission);
}

/**
 * ks_admission_retry_after() - time in which the backlog will be worked off
 */
int64_t ks_admission_retry_after(const ks_admission_t *admission)
{
	double left = (running_us(admission) + backlog_us(admission)) *
		      ks_admission_scale(admission) / servers(admission);

	return (int64_t)CLAMP(left, (double)RETRY_AFTER_MIN_US,
			      (double)RETRY_AFTER_MAX_US);
}
