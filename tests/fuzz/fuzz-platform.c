/*
 * Fuzzes the decoding of rows in the platform's store: the configuration that
 * the operator writes and the member rows that replicas write.
 */
#include "fuzz.h"
#include "platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ks_str_t text = { (const char *)data, size };
	ks_member_spec_t spec;
	ks_traffic_t *traffic;
	GError *error = NULL;
	json_t *json;

	traffic = ks_platform_decode_traffic(text, &error);
	if (traffic) {
		ks_traffic_match(traffic, KS_STR("h.example"), KS_STR("/a/b"));
		for (guint i = 0; i < traffic->routes->len; i++)
			ks_route_pick(traffic->routes->pdata[i], 7);
	} else {
		g_assert(error != NULL);
	}
	ks_traffic_unref(traffic);
	g_clear_error(&error);
	if (ks_platform_decode_member(&spec, &json, KS_STR("i-1"), text,
				      &error)) {
		g_assert(spec.address.port && spec.service.len);
		json_decref(json);
	}
	g_clear_error(&error);
	return 0;
}
