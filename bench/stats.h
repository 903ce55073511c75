/* Statistics that the benchmarks share: quantiles and straight-line fits. */
#ifndef STATS_H
#define STATS_H

#include "ks/core.h"

#define STATS_MAX_POINTS 16

/**
 * struct stats_fit - least-squares line through a few points
 * @residual: largest distance of a point from the line
 * @r2: share of the variance that the line explains
 */
typedef struct stats_fit {
	double xs[STATS_MAX_POINTS];
	double ys[STATS_MAX_POINTS];
	unsigned n;
	double slope;
	double intercept;
	double residual;
	double r2;
} stats_fit_t;

/**
 * struct stats_process - what the kernel counts for a process
 * @cpu_s: processor time of all threads
 * @rss_bytes: resident memory
 */
typedef struct stats_process {
	double cpu_s;
	double rss_bytes;
} stats_process_t;

double stats_quantile(GArray *values, double q);
void stats_fit_add(stats_fit_t *fit, double x, double y);
void stats_fit_print(stats_fit_t *fit, const char *name, const char *unit);
double stats_own_cpu_s(void);
bool stats_process_read(int pid, stats_process_t *process);

#endif
