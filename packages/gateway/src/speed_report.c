/* Reports learned speeds in logs and metrics. */
#include "gateway_internal.h"

/* Unit of the gauges. */
#define PERMILLE 1000

/**
 * struct service_speeds - gauges of a service
 * @slowness: of the upstreams with an estimate
 */
struct service_speeds {
	ks_counter_t *slowest;
	ks_counter_t *median;
	ks_counter_t *known;
	GArray *slowness;
};

static void free_service_speeds(gpointer data)
{
	struct service_speeds *speeds = data;

	g_array_free(speeds->slowness, TRUE);
	g_free(speeds);
}

GHashTable *gateway_new_speed_gauges(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_service_speeds);
}

/* Names of services are from the operator and may have any characters. */
static char *service_label(const char *service)
{
	GString *label = g_string_new("service=\"");

	for (; *service; service++) {
		if (*service == '"' || *service == '\\')
			g_string_append_c(label, '\\');
		g_string_append_c(label, *service == '\n' ? ' ' : *service);
	}
	g_string_append_c(label, '"');
	return g_string_free(label, FALSE);
}

static struct service_speeds *find_speeds(ks_gateway_t *gateway,
					  const char *service)
{
	struct service_speeds *speeds =
		g_hash_table_lookup(gateway->speed_gauges, service);
	char *label;

	if (speeds)
		return speeds;
	label = service_label(service);
	speeds = g_new0(struct service_speeds, 1);
	speeds->slowest = ks_metrics_gauge(
		gateway->metrics, "ks_gateway_slowest_permille",
		"Time that the slowest upstream takes for its work, in "
		"thousandths of the median upstream's",
		label);
	speeds->median = ks_metrics_gauge(
		gateway->metrics, "ks_gateway_median_slowness_permille",
		"Median of the times that upstreams take for their work, in "
		"thousandths of the median upstream's",
		label);
	speeds->known = ks_metrics_gauge(
		gateway->metrics, "ks_gateway_upstreams_with_speed",
		"Upstreams whose speed has been observed lately", label);
	speeds->slowness = g_array_new(FALSE, FALSE, sizeof(double));
	g_hash_table_insert(gateway->speed_gauges, g_strdup(service), speeds);
	g_free(label);
	return speeds;
}

static void report_member(ks_member_t *member, int64_t now)
{
	if (!ks_capacity_update_report(&member->capacity, now))
		return;
	ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
	       member->capacity.is_slow
		       ? "an upstream has become slow upstream=%s service=%s "
			 "slowness=%.2f"
		       : "an upstream is no longer slow upstream=%s service=%s "
			 "slowness=%.2f",
	       member->id, member->service, member->capacity.slowness);
}

static gint compare_slowness(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

static int64_t permille(const GArray *slowness, guint i)
{
	return slowness->len ? (int64_t)(g_array_index(slowness, double, i) *
					 PERMILLE)
			     : 0;
}

static void set_gauges(struct service_speeds *speeds)
{
	GArray *slowness = speeds->slowness;

	g_array_sort(slowness, compare_slowness);
	ks_counter_set(speeds->slowest, permille(slowness, slowness->len - 1));
	ks_counter_set(speeds->median, permille(slowness, slowness->len / 2));
	ks_counter_set(speeds->known, slowness->len);
	g_array_set_size(slowness, 0);
}

/**
 * gateway_compare_speeds() - compare the speeds of the upstreams and report
 * them, if it has not been done lately
 */
void gateway_compare_speeds(ks_gateway_t *gateway)
{
	int64_t now = ks_loop_now(gateway->loop);
	GHashTableIter iter;
	gpointer value;

	if (!ks_fleet_compare_speeds(&gateway->fleet, now))
		return;
	g_hash_table_iter_init(&iter, gateway->fleet.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ks_member_t *member = value;

		report_member(member, now);
		if (member->capacity.is_known)
			g_array_append_val(
				find_speeds(gateway, member->service)->slowness,
				member->capacity.slowness);
	}
	g_hash_table_iter_init(&iter, gateway->speed_gauges);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_gauges(value);
}
