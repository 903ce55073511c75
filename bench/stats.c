/* Statistics of the benchmarks: quantiles, line fits and process counters. */
#include "stats.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

static int compare_values(const void *left, const void *right)
{
	double a = *(const double *)left, b = *(const double *)right;

	return (a > b) - (a < b);
}

/**
 * stats_quantile() - nearest-rank quantile
 * @values: array of double, sorted by this call
 * @q: from 0 to 1
 *
 * Return: the quantile, or 0 if there are no values.
 */
double stats_quantile(GArray *values, double q)
{
	guint rank;

	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_values);
	rank = (guint)(q * (double)(values->len - 1) + 0.5);
	return g_array_index(values, double, rank);
}

/**
 * stats_fit_add() - add a point; points beyond STATS_MAX_POINTS are ignored
 */
void stats_fit_add(stats_fit_t *fit, double x, double y)
{
	if (fit->n == STATS_MAX_POINTS)
		return;
	fit->xs[fit->n] = x;
	fit->ys[fit->n++] = y;
}

static void fit_line(stats_fit_t *fit)
{
	double mean_x = 0, mean_y = 0, xx = 0, xy = 0, yy = 0, residual_ss = 0;

	for (unsigned i = 0; i < fit->n; i++) {
		mean_x += fit->xs[i] / fit->n;
		mean_y += fit->ys[i] / fit->n;
	}
	for (unsigned i = 0; i < fit->n; i++) {
		double dx = fit->xs[i] - mean_x, dy = fit->ys[i] - mean_y;

		xx += dx * dx;
		xy += dx * dy;
		yy += dy * dy;
	}
	fit->slope = xx > 0 ? xy / xx : 0;
	fit->intercept = mean_y - fit->slope * mean_x;
	fit->residual = 0;
	for (unsigned i = 0; i < fit->n; i++) {
		double residual =
			fit->ys[i] - fit->intercept - fit->slope * fit->xs[i];

		residual_ss += residual * residual;
		fit->residual = MAX(fit->residual, fabs(residual));
	}
	fit->r2 = yy > 0 ? 1 - residual_ss / yy : 1;
}

/**
 * stats_fit_print() - fit a line; print it, the points and the residual
 * @unit: unit of the slope
 */
void stats_fit_print(stats_fit_t *fit, const char *name, const char *unit)
{
	fit_line(fit);
	printf("%s:", name);
	for (unsigned i = 0; i < fit->n; i++)
		printf(" %g=%.6g", fit->xs[i], fit->ys[i]);
	printf("\n%s: slope %.6g %s, intercept %.6g, largest residual %.3g, "
	       "R2 %.4f\n",
	       name, fit->slope, unit, fit->intercept, fit->residual, fit->r2);
}

static bool read_file(int pid, const char *name, char *buf, size_t size)
{
	char path[64];
	FILE *file;
	size_t len;

	g_snprintf(path, sizeof(path), "/proc/%d/%s", pid, name);
	file = fopen(path, "re");
	if (!file)
		return false;
	len = fread(buf, 1, size - 1, file);
	buf[len] = '\0';
	fclose(file);
	return len > 0;
}

/**
 * stats_process_read() - read the resource usage of a process
 *
 * Return: false if its files in /proc cannot be read or parsed.
 */
bool stats_process_read(int pid, stats_process_t *process)
{
	char buf[1024];
	char *at;

	if (!read_file(pid, "statm", buf, sizeof(buf)))
		return false;
	strtoul(buf, &at, 10);
	process->rss_bytes =
		(double)strtoul(at, NULL, 10) * (double)sysconf(_SC_PAGESIZE);
	if (!read_file(pid, "stat", buf, sizeof(buf)))
		return false;
	/*
	 * The name in parentheses may contain spaces; utime is the 12th field
	 * after it, followed by stime.
	 */
	at = strrchr(buf, ')');
	for (int i = 0; at && i < 12; i++)
		at = strchr(at + 1, ' ');
	if (!at)
		return false;
	process->cpu_s = (double)strtoul(at, &at, 10);
	process->cpu_s += (double)strtoul(at, NULL, 10);
	process->cpu_s /= (double)sysconf(_SC_CLK_TCK);
	return true;
}

/**
 * stats_own_cpu_s() - CPU time of this process so far, in seconds
 */
double stats_own_cpu_s(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_utime.tv_sec +
	       (double)usage.ru_utime.tv_usec / 1e6 +
	       (double)usage.ru_stime.tv_sec +
	       (double)usage.ru_stime.tv_usec / 1e6;
}
