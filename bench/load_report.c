/* Report of the load generator, as text or JSON. */
#include "load.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

static const char *const class_names[LOAD_N_CLASSES] = { "completions",
							 "lookups", "charges" };

static int compare_int64(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/* Nearest-rank quantile in milliseconds; 0 if there are no samples. */
static double quantile_ms(GArray *times, double q)
{
	guint rank;

	if (times->len == 0)
		return 0;
	g_array_sort(times, compare_int64);
	rank = (guint)(q * (double)(times->len - 1) + 0.5);
	return (double)g_array_index(times, int64_t, rank) / 1000.0;
}

static void print_text(load_class_t class, const load_stats_t *stats)
{
	printf("%-11s sent %" PRIu64 ", whole %" PRIu64 " (late %" PRIu64
	       "), refused not-run %" PRIu64 ", unknown %" PRIu64
	       ", failed %" PRIu64 ", wrong %" PRIu64 ", skipped %" PRIu64
	       ", first token p50 %.1f p95 %.1f ms, whole answer p50 %.1f "
	       "p95 %.1f ms\n",
	       class_names[class], stats->sent, stats->verdicts[LOAD_WHOLE],
	       stats->late, stats->verdicts[LOAD_REFUSED],
	       stats->verdicts[LOAD_UNKNOWN], stats->verdicts[LOAD_FAILED],
	       stats->verdicts[LOAD_WRONG], stats->skipped,
	       quantile_ms(stats->ttft_us, 0.5),
	       quantile_ms(stats->ttft_us, 0.95),
	       quantile_ms(stats->latency_us, 0.5),
	       quantile_ms(stats->latency_us, 0.95));
}

static json_t *stats_to_json(const load_stats_t *stats)
{
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f}",
		"sent", (json_int_t)stats->sent, "whole",
		(json_int_t)stats->verdicts[LOAD_WHOLE], "late",
		(json_int_t)stats->late, "refused_not_run",
		(json_int_t)stats->verdicts[LOAD_REFUSED], "unknown",
		(json_int_t)stats->verdicts[LOAD_UNKNOWN], "failed",
		(json_int_t)stats->verdicts[LOAD_FAILED], "wrong",
		(json_int_t)stats->verdicts[LOAD_WRONG], "skipped",
		(json_int_t)stats->skipped, "tokens", (json_int_t)stats->tokens,
		"first_token_p50_ms", quantile_ms(stats->ttft_us, 0.5),
		"first_token_p95_ms", quantile_ms(stats->ttft_us, 0.95),
		"whole_p50_ms", quantile_ms(stats->latency_us, 0.5),
		"whole_p95_ms", quantile_ms(stats->latency_us, 0.95),
		"whole_p99_ms", quantile_ms(stats->latency_us, 0.99));
}

static void print_json(const load_options_t *options,
		       const load_stats_t stats[LOAD_N_CLASSES])
{
	json_t *root = json_pack("{s:I,s:f}", "seed", (json_int_t)options->seed,
				 "duration_s", options->duration_s);

	for (int i = 0; i < LOAD_N_CLASSES; i++)
		json_object_set_new(root, class_names[i],
				    stats_to_json(&stats[i]));
	json_dumpf(root, stdout, JSON_REAL_PRECISION(8));
	printf("\n");
	json_decref(root);
}

/**
 * load_report() - print a line for each class with arrivals, or JSON
 */
void load_report(const load_options_t *options,
		 const load_stats_t stats[LOAD_N_CLASSES])
{
	if (options->json) {
		print_json(options, stats);
		return;
	}
	for (int i = 0; i < LOAD_N_CLASSES; i++)
		if (stats[i].sent + stats[i].skipped > 0)
			print_text((load_class_t)i, &stats[i]);
}

/**
 * load_any_wrong() - whether any request has the verdict LOAD_WRONG
 */
bool load_any_wrong(const load_stats_t stats[LOAD_N_CLASSES])
{
	for (int i = 0; i < LOAD_N_CLASSES; i++)
		if (stats[i].verdicts[LOAD_WRONG] > 0)
			return true;
	return false;
}
