/* Internals of admission control, for admission.c and admission_wait.c. */
#ifndef KS_ADMISSION_H
#define KS_ADMISSION_H

#include "ticket_heap.h"

/* Number of service classes; class 0 is the highest. */
#define N_CLASSES 4

/* Weight of a class relative to the next lower class. */
#define CLASS_WEIGHT_RATIO 8.0

/*
 * Fraction of the time until its deadline that an arriving request may be
 * expected to need. The rest is a margin for estimation errors: without it,
 * every queued request would finish just before or just after its deadline
 * under overload.
 */
#define DEADLINE_FRACTION 0.8

/*
 * Fraction of the capacity that is reserved for class 0, so that short lookups
 * need not wait for a long prompt to finish. The reservation ends when no
 * class 0 request has arrived for RESERVE_TIMEOUT_US.
 */
#define RESERVED_FRACTION 0.0625
#define RESERVE_TIMEOUT_US (10 * KS_USEC_PER_SEC)

/*
 * The limit is reduced when the moving average of the deadline miss rate
 * reaches this value; a lower rate is attributed to estimation errors.
 * MISS_WEIGHT is the weight of one request in the average.
 */
#define MISS_RATE_THRESHOLD 0.3
#define MISS_WEIGHT 0.1

/* Initial and maximum value of the adaptive limit, above any capacity. */
#define MAX_SLOTS 65536.0

/*
 * Weight of one finished request in the moving average of the work ratio
 * (measured / expected time), and the bounds of one sample.
 */
#define WORK_RATIO_WEIGHT 0.1
#define WORK_RATIO_MIN 0.25
#define WORK_RATIO_MAX 4.0

/* Bounds of the time that a refused caller is told to wait. */
#define RETRY_AFTER_MIN_US (1 * KS_USEC_PER_SEC)
#define RETRY_AFTER_MAX_US (300 * KS_USEC_PER_SEC)

/**
 * struct tenant - admission state of one tenant
 * @weight: share of the capacity relative to other tenants
 * @last_tag: finish tag of the last ticket, by class
 * @queued: number of queued tickets, by class
 */
struct tenant {
	double weight;
	double last_tag[N_CLASSES];
	unsigned queued[N_CLASSES];
};

/**
 * struct service_class - tickets of one priority
 * @queue: queued tickets, smallest finish tag first
 * @virtual_time: largest finish tag among the tickets admitted so far
 * @weights: sum of the weights of the tenants that have a queued ticket
 * @queued_us: total cost of the queued tickets
 * @running: number of admitted tickets
 * @running_us: total cost of the admitted tickets
 * @weight: share of the capacity relative to other classes
 * @normalized_service: admitted cost divided by @weight; the class with the
 *	smallest value is served next
 */
struct service_class {
	ks_ticket_heap_t queue;
	double virtual_time;
	double weights;
	double queued_us;
	double running;
	double running_us;
	double weight;
	double normalized_service;
};

/**
 * struct ks_admission - admission control of one model or service
 * @tenants: struct tenant by name
 * @classes: by priority
 * @deadlines: all queued tickets, earliest latest start time first
 * @unschedulable: tickets taken from the queue that can no longer finish in
 *	time, to be returned by ks_admission_expired()
 * @capacity: maximum number of admitted tickets
 * @servers: number of upstreams, used with @forecast
 * @forecast: predicts when a request can be dispatched, or NULL
 * @forecast_ctx: argument of @forecast
 * @limit: adaptive limit on admitted tickets, used without @forecast
 * @miss_rate: moving average of the deadline miss rate
 * @limit_reduced_us: when @limit was last reduced
 * @running: number of admitted tickets
 * @work_ratio: moving average of measured over expected time, used without
 *	@forecast
 * @virtual_time: @normalized_service of the class served last, before that
 *	ticket
 * @class0_arrival_us: last arrival of a class 0 request
 */
struct ks_admission {
	GHashTable *tenants;
	struct service_class classes[N_CLASSES];
	ks_ticket_heap_t deadlines;
	ks_list_t unschedulable;
	double capacity;
	double servers;
	ks_admission_forecast_func_t forecast;
	void *forecast_ctx;
	ks_limit_t limit;
	double miss_rate;
	int64_t limit_reduced_us;
	double running;
	double work_ratio;
	double virtual_time;
	int64_t class0_arrival_us;
};

static inline unsigned ks_admission_class(const ks_ticket_t *ticket)
{
	return MIN(ticket->priority, N_CLASSES - 1);
}

static inline double ks_admission_cost(const ks_ticket_t *ticket)
{
	return ticket->cost_us > 0 ? ticket->cost_us : ticket->work_us;
}

double ks_admission_work_ratio(const ks_admission_t *admission);
double ks_admission_slots(const ks_admission_t *admission);
double ks_admission_reserved(const ks_admission_t *admission, int64_t now_us);
double ks_admission_wait(const ks_admission_t *admission,
			 const ks_ticket_t *ticket, const struct tenant *tenant,
			 int64_t now_us);
int64_t ks_admission_retry_after(const ks_admission_t *admission);

#endif
