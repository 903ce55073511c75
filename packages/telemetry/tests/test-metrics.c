/* Tests of counters, gauges, histograms and their text format. */
#include "ks/telemetry.h"

#include <string.h>

/* Guards against a second request for a series that loses its counts. */
static void test_counter_is_reused(void)
{
	ks_metrics_t *metrics = ks_metrics_new();
	ks_counter_t *a = ks_metrics_counter(metrics, "c", "h", "x=\"1\"");
	ks_counter_t *b = ks_metrics_counter(metrics, "c", "h", "x=\"2\"");

	ks_counter_add(a, 3);
	g_assert_true(a == ks_metrics_counter(metrics, "c", "h", "x=\"1\""));
	g_assert_true(a != b);
	g_assert_cmpint(ks_counter_value(a), ==, 3);
	g_assert_cmpint(ks_counter_value(b), ==, 0);
	ks_metrics_free(metrics);
}

/* Guards against wrong quantiles of no value and of extreme values. */
static void test_histogram_of_few_values(void)
{
	ks_metrics_t *metrics = ks_metrics_new();
	ks_histogram_t *h = ks_metrics_histogram(metrics, "h", "h", NULL);

	g_assert_cmpint(ks_histogram_quantile(h, 0.95), ==, 0);
	ks_histogram_record(h, -5);
	g_assert_cmpint(ks_histogram_quantile(h, 0.95), ==, 0);
	ks_histogram_record(h, INT64_MAX);
	g_assert_cmpint(ks_histogram_quantile(h, 1.0), >, INT64_MAX / 2);
	g_assert_cmpuint(ks_histogram_count(h), ==, 2);
	ks_metrics_free(metrics);
}

/*
 * Guards against text that Prometheus refuses: buckets that are not cumulative,
 * or a count that differs from that of the last bucket.
 */
static void test_format(void)
{
	ks_metrics_t *metrics = ks_metrics_new();
	ks_histogram_t *h =
		ks_metrics_histogram(metrics, "t_seconds", "Time.", "a=\"b\"");
	GString *text = g_string_new(NULL);

	ks_counter_set(ks_metrics_gauge(metrics, "g", "A gauge.", NULL), -4);
	ks_histogram_record(h, 63);
	ks_histogram_record(h, 64);
	ks_histogram_record(h, 2 * KS_USEC_PER_SEC);
	ks_metrics_format(metrics, text);
	g_assert_nonnull(strstr(text->str, "# TYPE t_seconds histogram\n"));
	g_assert_nonnull(strstr(
		text->str, "t_seconds_bucket{a=\"b\",le=\"0.000064\"} 1\n"));
	g_assert_nonnull(strstr(
		text->str, "t_seconds_bucket{a=\"b\",le=\"0.000128\"} 2\n"));
	g_assert_nonnull(
		strstr(text->str, "t_seconds_bucket{a=\"b\",le=\"+Inf\"} 3\n"));
	g_assert_nonnull(
		strstr(text->str, "t_seconds_sum{a=\"b\"} 2.000127\n"));
	g_assert_nonnull(strstr(text->str, "t_seconds_count{a=\"b\"} 3\n"));
	g_assert_nonnull(strstr(text->str, "# TYPE g gauge\ng -4\n"));
	g_string_free(text, TRUE);
	ks_metrics_free(metrics);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/metrics/counter-is-reused", test_counter_is_reused);
	g_test_add_func("/metrics/histogram-of-few-values",
			test_histogram_of_few_values);
	g_test_add_func("/metrics/format", test_format);
	return g_test_run();
}
