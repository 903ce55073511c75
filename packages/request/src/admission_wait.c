/* Capacity and queueing delay estimates for admission control. */
#include "admission.h"

#include <math.h>

/**
 * ks_admission_slots() - current maximum number of admitted requests
 */
double ks_admission_slots(const ks_admission_t *admission)
{
	/* The forecast models each upstream, so the limit is not needed. */
	if (admission->forecast)
		return admission->capacity;
	return MIN(admission->capacity, admission->limit.value);
}

/**
 * ks_admission_work_ratio() - average ratio of measured to expected time
 */
double ks_admission_work_ratio(const ks_admission_t *admission)
{
	return admission->forecast ? 1.0 : admission->work_ratio;
}

/* Number of tickets that are processed in parallel. */
static double servers(const ks_admission_t *admission)
{
	if (admission->forecast)
		return admission->servers;
	return MAX(ks_admission_slots(admission), 1.0);
}

/**
 * ks_admission_reserved() - number of slots currently reserved for class 0
 */
double ks_admission_reserved(const ks_admission_t *admission, int64_t now_us)
{
	if (now_us - admission->class0_arrival_us > RESERVE_TIMEOUT_US)
		return 0.0;
	return floor(ks_admission_slots(admission) * RESERVED_FRACTION);
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

/*
 * Cost of all work that is served up to and including a ticket that is about to
 * be queued, if every tenant and class uses its fair share.
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
 * ks_admission_wait() - queueing delay of a ticket that is about to be queued
 *
 * Return: microseconds, without the time given by the forecast.
 */
double ks_admission_wait(const ks_admission_t *admission,
			 const ks_ticket_t *ticket, const struct tenant *tenant,
			 int64_t now_us)
{
	const struct service_class *first = &admission->classes[0];
	double reserved = ks_admission_reserved(admission, now_us);
	double wait;

	/* The forecast covers the running work; this is the queue ahead. */
	if (admission->forecast)
		return MIN(fair_work_ahead(admission, ticket, tenant) -
				   ks_admission_cost(ticket),
			   backlog_us(admission)) /
		       servers(admission);
	/* A slot is freed after the mean running cost divided by the slots. */
	wait = (MIN(fair_work_ahead(admission, ticket, tenant),
		    backlog_us(admission) + ks_admission_cost(ticket)) +
		running_us(admission) / MAX(admission->running, 1.0)) /
	       servers(admission);
	/* The reserved slots serve class 0 independently of other classes. */
	if (ks_admission_class(ticket) == 0 && reserved >= 1.0)
		wait = MIN(wait,
			   (first->queued_us +
			    first->running_us / MAX(first->running, 1.0)) /
				   reserved);
	return wait * ks_admission_work_ratio(admission);
}

/**
 * ks_admission_retry_after() - expected time to process the current backlog
 *
 * Return: microseconds, within RETRY_AFTER_MIN_US and RETRY_AFTER_MAX_US.
 */
int64_t ks_admission_retry_after(const ks_admission_t *admission)
{
	double left = (running_us(admission) + backlog_us(admission)) *
		      ks_admission_work_ratio(admission) / servers(admission);

	return (int64_t)CLAMP(left, (double)RETRY_AFTER_MIN_US,
			      (double)RETRY_AFTER_MAX_US);
}
