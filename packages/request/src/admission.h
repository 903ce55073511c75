/* Inside of admission, shared by admission.c and admission_wait.c. */
#ifndef KS_ADMISSION_H
#define KS_ADMISSION_H

#include "ticket_heap.h"

#define N_CLASSES 4

/* Each class is owed this many times the work of the class below it. */
#define CLASS_RATIO 8.0

/*
 * Share of the time left that a request may be expected to use. The rest
 * covers the error of the estimate: without it every queued request would be
 * answered just before or just after its deadline under overload.
 */
#define DEADLINE_SHARE 0.8

/*
 * Share of the capacity that only class 0 may use, while class 0 is in use, so
 * that short lookups need not wait for a long prompt to end.
 */
#define RESERVED_SHARE 0.0625
#define RESERVE_FOR_US (10 * KS_USEC_PER_SEC)

/*
 * Share of recent requests that miss their deadline before the limit falls, and
 * the weight of one request in it. Fewer come from errors of the estimates.
 */
#define MISS_SHARE 0.3
#define MISS_WEIGHT 0.1

/* The learned limit starts here, above any capacity. */
#define MAX_SLOTS 65536.0

/* Weight of one finished request in the ratio of real to expected work. */
#define SCALE_WEIGHT 0.1
#define SCALE_MIN 0.25
#define SCALE_MAX 4.0

#define RETRY_AFTER_MIN_US (1 * KS_USEC_PER_SEC)
#define RETRY_AFTER_MAX_US (300 * KS_USEC_PER_SEC)

struct tenant {
	double weight;
	double last_tag[N_CLASSES];
	unsigned queued[N_CLASSES];
};

/**
 * struct service_class - tickets of one priority
 * @virtual_time: tag of the ticket admitted last
 * @weights: sum over the tenants with a queued ticket
 * @queued_us: expected work of the queued tickets
 * @running: number of admitted tickets
 * @running_us: their expected work
 * @given: work admitted, divided by the weight of the class
 */
struct service_class {
	ks_ticket_heap_t queue;
	double virtual_time;
	double weights;
	double queued_us;
	double running;
	double running_us;
	double weight;
	double given;
};

struct ks_admission {
	GHashTable *tenants;
	struct service_class classes[N_CLASSES];
	ks_ticket_heap_t deadlines;
	ks_list_t missed;
	double capacity;
	double servers;
	ks_admission_forecast_func_t gate;
	void *gate_ctx;
	ks_limit_t limit;
	double miss_share;
	int64_t reduced_us;
	double running;
	double scale;
	double class_time;
	int64_t class0_seen_us;
};

static inline unsigned ks_admission_class(const ks_ticket_t *ticket)
{
	return MIN(ticket->priority, N_CLASSES - 1);
}

static inline double ks_admission_cost(const ks_ticket_t *ticket)
{
	return ticket->cost_us > 0 ? ticket->cost_us : ticket->work_us;
}

double ks_admission_scale(const ks_admission_t *admission);
double ks_admission_slots(const ks_admission_t *admission);
double ks_admission_reserved(const ks_admission_t *admission, int64_t now_us);
double ks_admission_wait(const ks_admission_t *admission,
			 const ks_ticket_t *ticket, const struct tenant *tenant,
			 int64_t now_us);
int64_t ks_admission_retry_after(const ks_admission_t *admission);

#endif
