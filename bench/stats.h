/* Statistics of the benchmarks: quantiles, line fits and process counters. */
#ifndef STATS_H
#define STATS_H

#include "ks/core.h"

#define STATS_MAX_POINTS 16

/**
 * struct stats_fit - least-squares line through a few points
 *
 * To be zeroed before use.
 *
 * @slope: set, like the fields below, by stats_fit_print()
 * @residual: largest absolute residual
 * @r2: coefficient of determination
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
 * struct stats_process - resource usage of a process
 * @cpu_s: CPU time of all threads, in seconds
 * @rss_bytes: resident set size
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
