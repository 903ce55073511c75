/*
 * Counters, gauges and histograms of a process, printed in Prometheus's text
 * format. Histograms have logarithmic buckets.
 */
#include "ks/telemetry.h"

#include <string.h>

/*
 * The range between consecutive powers of two is divided into this many
 * buckets, so a bucket is at most 12.5% wide.
 */
#define SUB_BITS 3
#define SUB_BUCKETS (1 << SUB_BITS)
#define N_BUCKETS ((64 - SUB_BITS) * SUB_BUCKETS)
/* Powers of two that are printed as bucket bounds: 64 us to 1,074 s. */
#define FIRST_PRINTED_BIT 6
#define LAST_PRINTED_BIT 30

struct ks_counter {
	char *labels;
	int64_t value;
};

struct ks_histogram {
	char *labels;
	uint64_t count;
	int64_t sum_us;
	uint64_t buckets[N_BUCKETS];
};

enum family_type {
	FAMILY_COUNTER,
	FAMILY_GAUGE,
	FAMILY_HISTOGRAM
};

struct family {
	char *name;
	char *help;
	enum family_type type;
	GPtrArray *series;
	GHashTable *by_labels;
};

struct ks_metrics {
	GPtrArray *families;
	GHashTable *by_name;
};

static void free_counter(void *data)
{
	ks_counter_t *counter = data;

	g_free(counter->labels);
	g_free(counter);
}

static void free_histogram(void *data)
{
	ks_histogram_t *histogram = data;

	g_free(histogram->labels);
	g_free(histogram);
}

static void free_family(void *data)
{
	struct family *family = data;

	g_hash_table_unref(family->by_labels);
	g_ptr_array_unref(family->series);
	g_free(family->name);
	g_free(family->help);
	g_free(family);
}

/**
 * ks_metrics_new() - create an empty registry
 */
ks_metrics_t *ks_metrics_new(void)
{
	ks_metrics_t *metrics = g_new0(ks_metrics_t, 1);

	metrics->families = g_ptr_array_new_with_free_func(free_family);
	metrics->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return metrics;
}

/**
 * ks_metrics_free() - free a registry with its counters, gauges and histograms
 */
void ks_metrics_free(ks_metrics_t *metrics)
{
	g_hash_table_unref(metrics->by_name);
	g_ptr_array_unref(metrics->families);
	g_free(metrics);
}

static struct family *get_family(ks_metrics_t *metrics, const char *name,
				 const char *help, enum family_type type)
{
	struct family *family = g_hash_table_lookup(metrics->by_name, name);

	if (family) {
		g_assert(family->type == type);
		return family;
	}
	family = g_new0(struct family, 1);
	family->name = g_strdup(name);
	family->help = g_strdup(help);
	family->type = type;
	family->series = g_ptr_array_new_with_free_func(
		type == FAMILY_HISTOGRAM ? free_histogram : free_counter);
	family->by_labels = g_hash_table_new(g_str_hash, g_str_equal);
	g_ptr_array_add(metrics->families, family);
	g_hash_table_insert(metrics->by_name, family->name, family);
	return family;
}

static ks_counter_t *get_counter(struct family *family, const char *labels)
{
	ks_counter_t *counter;

	labels = labels ? labels : "";
	counter = g_hash_table_lookup(family->by_labels, labels);
	if (counter)
		return counter;
	counter = g_new0(ks_counter_t, 1);
	counter->labels = g_strdup(labels);
	g_ptr_array_add(family->series, counter);
	g_hash_table_insert(family->by_labels, counter->labels, counter);
	return counter;
}

/**
 * ks_metrics_counter() - get a counter, creating it if necessary
 * @labels: e.g. `tenant="a",class="0"`, with escaped values; may be NULL
 */
ks_counter_t *ks_metrics_counter(ks_metrics_t *metrics, const char *name,
				 const char *help, const char *labels)
{
	return get_counter(get_family(metrics, name, help, FAMILY_COUNTER),
			   labels);
}

/**
 * ks_metrics_gauge() - as ks_metrics_counter() for a gauge
 */
ks_counter_t *ks_metrics_gauge(ks_metrics_t *metrics, const char *name,
			       const char *help, const char *labels)
{
	return get_counter(get_family(metrics, name, help, FAMILY_GAUGE),
			   labels);
}

/**
 * ks_metrics_histogram() - as ks_metrics_counter() for a histogram of durations
 * @name: ends in "_seconds", the unit in which it is printed
 */
ks_histogram_t *ks_metrics_histogram(ks_metrics_t *metrics, const char *name,
				     const char *help, const char *labels)
{
	struct family *family =
		get_family(metrics, name, help, FAMILY_HISTOGRAM);
	ks_histogram_t *histogram;

	labels = labels ? labels : "";
	histogram = g_hash_table_lookup(family->by_labels, labels);
	if (histogram)
		return histogram;
	histogram = g_new0(ks_histogram_t, 1);
	histogram->labels = g_strdup(labels);
	g_ptr_array_add(family->series, histogram);
	g_hash_table_insert(family->by_labels, histogram->labels, histogram);
	return histogram;
}

/**
 * ks_counter_add() - add to a counter
 */
void ks_counter_add(ks_counter_t *counter, int64_t delta)
{
	counter->value += delta;
}

/**
 * ks_counter_set() - set a gauge
 */
void ks_counter_set(ks_counter_t *counter, int64_t value)
{
	counter->value = value;
}

/**
 * ks_counter_value() - return the value of a counter or gauge
 */
int64_t ks_counter_value(const ks_counter_t *counter)
{
	return counter->value;
}

/* Returns the bucket of a value; each value below SUB_BUCKETS has its own. */
static unsigned bucket_of(uint64_t value)
{
	unsigned bit;

	if (value < SUB_BUCKETS)
		return (unsigned)value;
	bit = 63 - (unsigned)__builtin_clzll(value);
	return (bit - SUB_BITS + 1) * SUB_BUCKETS +
	       (unsigned)(value >> (bit - SUB_BITS)) % SUB_BUCKETS;
}

/* Returns the smallest value of a bucket. */
static uint64_t bucket_start(unsigned bucket)
{
	unsigned group = bucket / SUB_BUCKETS;

	if (!group)
		return bucket;
	return (uint64_t)(SUB_BUCKETS + bucket % SUB_BUCKETS) << (group - 1);
}

/**
 * ks_histogram_record() - record one value
 * @value_us: a negative value is recorded as 0
 */
void ks_histogram_record(ks_histogram_t *histogram, int64_t value_us)
{
	uint64_t value = value_us > 0 ? (uint64_t)value_us : 0;

	histogram->buckets[bucket_of(value)]++;
	histogram->count++;
	histogram->sum_us += (int64_t)value;
}

/**
 * ks_histogram_count() - return the number of values recorded
 */
uint64_t ks_histogram_count(const ks_histogram_t *histogram)
{
	return histogram->count;
}

/**
 * ks_histogram_quantile() - estimate a quantile
 * @q: from 0 to 1
 *
 * Return: the middle of the bucket that contains the quantile, in microseconds,
 * with an error of at most 6.25%; 0 if no value was recorded.
 */
int64_t ks_histogram_quantile(const ks_histogram_t *histogram, double q)
{
	/*
	 * Reduced slightly against rounding: 0.28 * 25 is greater than 7 in
	 * floating point and would select the 8th of 25 values.
	 */
	double rank =
		CLAMP(q, 0.0, 1.0) * (double)histogram->count * (1.0 - 1e-12);
	uint64_t cumulative = 0;

	if (!histogram->count)
		return 0;
	for (unsigned i = 0; i < N_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (histogram->buckets[i] && (double)cumulative >= rank) {
			uint64_t start = bucket_start(i);
			uint64_t width = i < 2 * SUB_BUCKETS
						 ? 1
						 : bucket_start(i + 1) - start;

			return (int64_t)(start + (width - 1) / 2);
		}
	}
	return 0;
}

static void print_series(GString *out, const char *name, const char *suffix,
			 const char *labels, const char *le)
{
	const char *comma = *labels && *le ? "," : "";

	g_string_append_printf(out, "%s%s", name, suffix);
	if (*labels || *le)
		g_string_append_printf(out, "{%s%s%s}", labels, comma, le);
	g_string_append_c(out, ' ');
}

static void print_seconds(GString *out, const char *format, double us)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append(out, g_ascii_formatd(text, sizeof(text), format,
					     us / (double)KS_USEC_PER_SEC));
}

static void print_histogram(GString *out, const char *name,
			    const ks_histogram_t *histogram)
{
	const char *labels = histogram->labels;
	unsigned bucket = 0;
	uint64_t cumulative = 0;

	for (unsigned bit = FIRST_PRINTED_BIT; bit <= LAST_PRINTED_BIT; bit++) {
		uint64_t bound = UINT64_C(1) << bit;
		GString *le = g_string_new("le=\"");

		while (bucket_start(bucket) < bound)
			cumulative += histogram->buckets[bucket++];
		print_seconds(le, "%.6f", (double)bound);
		g_string_append_c(le, '"');
		print_series(out, name, "_bucket", labels, le->str);
		g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
				       cumulative);
		g_string_free(le, TRUE);
	}
	print_series(out, name, "_bucket", labels, "le=\"+Inf\"");
	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
			       histogram->count);
	print_series(out, name, "_sum", labels, "");
	print_seconds(out, "%.6f", (double)histogram->sum_us);
	g_string_append_c(out, '\n');
	print_series(out, name, "_count", labels, "");
	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
			       histogram->count);
}

static void print_counter(GString *out, const char *name,
			  const ks_counter_t *counter)
{
	print_series(out, name, "", counter->labels, "");
	g_string_append_printf(out, "%" G_GINT64_FORMAT "\n", counter->value);
}

/**
 * ks_metrics_format() - append every series in Prometheus's text format
 */
void ks_metrics_format(const ks_metrics_t *metrics, GString *out)
{
	static const char *const types[] = {
		[FAMILY_COUNTER] = "counter",
		[FAMILY_GAUGE] = "gauge",
		[FAMILY_HISTOGRAM] = "histogram",
	};

	for (unsigned i = 0; i < metrics->families->len; i++) {
		const struct family *family =
			g_ptr_array_index(metrics->families, i);

		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
				       family->name, family->help, family->name,
				       types[family->type]);
		for (unsigned j = 0; j < family->series->len; j++) {
			const void *series =
				g_ptr_array_index(family->series, j);

			if (family->type == FAMILY_HISTOGRAM)
				print_histogram(out, family->name, series);
			else
				print_counter(out, family->name, series);
		}
	}
}
