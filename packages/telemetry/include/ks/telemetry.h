/*
 * telemetry: structured logs, counters, gauges and histograms.
 */
#ifndef KS_TELEMETRY_H
#define KS_TELEMETRY_H

#include "ks/core.h"

G_BEGIN_DECLS

/* log.c */

/**
 * enum ks_log_component - components that log; named by "part" in each line
 */
typedef enum ks_log_component {
	KS_LOG_MAIN,
	KS_LOG_HTTP,
	KS_LOG_LINK,
	KS_LOG_ROUTE,
	KS_LOG_LEDGER,
	KS_LOG_STORE,
	KS_LOG_CONFIG,
	KS_LOG_LEASE,
	KS_LOG_ORDER,
	KS_LOG_PLAN,
	KS_LOG_N_COMPONENTS
} ks_log_component_t;

typedef enum ks_log_level {
	KS_LOG_ERROR,
	KS_LOG_WARN,
	KS_LOG_INFO,
	KS_LOG_DEBUG,
} ks_log_level_t;

void ks_log_init(const char *program, ks_log_level_t level);
void ks_log_deinit(void);
bool ks_log_level_parse(ks_log_level_t *level, ks_str_t name);
void ks_log_set_component_level(ks_log_component_t component,
				ks_log_level_t level);
bool ks_log_component_parse(ks_log_component_t *component, ks_str_t name);
void ks_log(ks_log_component_t component, ks_log_level_t level,
	    const char *format, ...) G_GNUC_PRINTF(3, 4);
void ks_log_request(ks_log_component_t component, ks_log_level_t level,
		    const ks_id_t *id, uint64_t version, const char *format,
		    ...) G_GNUC_PRINTF(5, 6);

/* metrics.c */

typedef struct ks_metrics ks_metrics_t;
typedef struct ks_counter ks_counter_t;
typedef struct ks_histogram ks_histogram_t;

ks_metrics_t *ks_metrics_new(void);
void ks_metrics_free(ks_metrics_t *metrics);
ks_counter_t *ks_metrics_counter(ks_metrics_t *metrics, const char *name,
				 const char *help, const char *labels);
ks_counter_t *ks_metrics_gauge(ks_metrics_t *metrics, const char *name,
			       const char *help, const char *labels);
ks_histogram_t *ks_metrics_histogram(ks_metrics_t *metrics, const char *name,
				     const char *help, const char *labels);
void ks_counter_add(ks_counter_t *counter, int64_t delta);
void ks_counter_set(ks_counter_t *counter, int64_t value);
int64_t ks_counter_value(const ks_counter_t *counter);
void ks_histogram_record(ks_histogram_t *histogram, int64_t value_us);
int64_t ks_histogram_quantile(const ks_histogram_t *histogram, double q);
uint64_t ks_histogram_count(const ks_histogram_t *histogram);
void ks_metrics_format(const ks_metrics_t *metrics, GString *out);

G_END_DECLS

#endif
