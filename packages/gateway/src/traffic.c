/*
 * Holds one version of the traffic configuration, and finds the route of a
 * request by host and longest path prefix.
 */
#include "ks/gateway.h"

#include <string.h>

static void free_split(gpointer data)
{
	ks_split_t *split = data;

	g_free(split->service);
}

static void free_route(gpointer data)
{
	ks_route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_free(route->splits, TRUE);
	g_free(route);
}

static void free_service(gpointer data)
{
	ks_service_t *service = data;

	g_free(service->name);
	g_free(service);
}

static void free_list(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

/**
 * ks_traffic_new() - create an empty configuration with one reference
 */
ks_traffic_t *ks_traffic_new(int64_t version)
{
	ks_traffic_t *traffic = g_new0(ks_traffic_t, 1);

	traffic->refs = 1;
	traffic->version = version;
	traffic->routes = g_ptr_array_new_with_free_func(free_route);
	traffic->by_host = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_list);
	traffic->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_service);
	traffic->limits = (ks_limits_t){
		.max_header_bytes = KS_HTTP1_MAX_HEADER_BYTES,
		.max_body_bytes = KS_HTTP1_MAX_BODY_BYTES,
		.header_timeout_us = KS_HTTP1_HEADER_TIMEOUT_US,
		.idle_timeout_us = KS_HTTP1_IDLE_TIMEOUT_US,
	};
	return traffic;
}

ks_traffic_t *ks_traffic_ref(ks_traffic_t *traffic)
{
	traffic->refs++;
	return traffic;
}

/**
 * ks_traffic_unref() - drop a reference; NULL is ignored
 */
void ks_traffic_unref(ks_traffic_t *traffic)
{
	if (!traffic || --traffic->refs)
		return;
	g_hash_table_destroy(traffic->by_host);
	g_ptr_array_free(traffic->routes, TRUE);
	g_hash_table_destroy(traffic->services);
	ks_organisations_free(traffic->organisations);
	g_free(traffic);
}

static char *dup_lower(ks_str_t text)
{
	return g_ascii_strdown(text.data ? text.data : "", (gssize)text.len);
}

/**
 * ks_traffic_add_route() - add a route
 *
 * Return: the route, owned by @traffic; the caller sets its other fields.
 */
ks_route_t *ks_traffic_add_route(ks_traffic_t *traffic, ks_str_t name,
				 ks_str_t host, ks_str_t prefix)
{
	ks_route_t *route = g_new0(ks_route_t, 1);
	GPtrArray *list;

	route->name = ks_str_dup(name);
	route->host = dup_lower(host);
	route->prefix = ks_str_dup(prefix);
	route->splits = g_array_new(FALSE, TRUE, sizeof(ks_split_t));
	g_array_set_clear_func(route->splits, free_split);
	g_ptr_array_add(traffic->routes, route);
	list = g_hash_table_lookup(traffic->by_host, route->host);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(traffic->by_host, g_strdup(route->host),
				    list);
	}
	g_ptr_array_add(list, route);
	return route;
}

void ks_route_add_split(ks_route_t *route, ks_str_t service, unsigned weight)
{
	ks_split_t split = { ks_str_dup(service), weight };

	g_array_append_val(route->splits, split);
}

/**
 * ks_traffic_add_service() - add a service, or replace the one of that name
 *
 * Return: the service, owned by @traffic; the caller sets its other fields.
 */
ks_service_t *ks_traffic_add_service(ks_traffic_t *traffic, ks_str_t name)
{
	ks_service_t *service = g_new0(ks_service_t, 1);

	service->name = ks_str_dup(name);
	g_hash_table_replace(traffic->services, service->name, service);
	return service;
}

const ks_service_t *ks_traffic_service(const ks_traffic_t *traffic,
				       const char *name)
{
	return g_hash_table_lookup(traffic->services, name);
}

static bool has_prefix(ks_str_t path, const char *prefix, size_t *len)
{
	*len = strlen(prefix);
	return path.len >= *len && !memcmp(path.data, prefix, *len);
}

/**
 * ks_service_occupancy() - share of an engine that a running request takes up
 * @tokens: length of its prompt
 *
 * An engine is full when all of its slots or all of its memory is in use.
 *
 * Return: the share in units of 1 / KS_OCCUPANCY_UNIT.
 */
unsigned ks_service_occupancy(const ks_service_t *service, int64_t tokens)
{
	int64_t by_slots =
		service->slots ? KS_OCCUPANCY_UNIT / service->slots : 0;
	int64_t by_memory =
		service->memory_tokens
			? tokens * KS_OCCUPANCY_UNIT / service->memory_tokens
			: 0;

	return (unsigned)CLAMP(MAX(by_slots, by_memory), 0, KS_OCCUPANCY_UNIT);
}

/**
 * ks_traffic_match() - find the route with the longest matching prefix
 * @host: as in the Host field; a port is ignored
 * @path: without the query
 *
 * Return: NULL if no route matches.
 */
const ks_route_t *ks_traffic_match(const ks_traffic_t *traffic, ks_str_t host,
				   ks_str_t path)
{
	const char *colon = host.len ? memchr(host.data, ':', host.len) : NULL;
	const ks_route_t *best = NULL;
	size_t best_len = 0, len;
	GPtrArray *list;
	char *name;

	if (colon)
		host.len = (size_t)(colon - host.data);
	name = dup_lower(host);
	list = g_hash_table_lookup(traffic->by_host, name);
	g_free(name);
	for (guint i = 0; list && i < list->len; i++) {
		const ks_route_t *route = g_ptr_array_index(list, i);

		if (has_prefix(path, route->prefix, &len) &&
		    (!best || len > best_len)) {
			best = route;
			best_len = len;
		}
	}
	return best;
}

/**
 * ks_route_pick() - choose a service by weight
 * @draw: random number
 *
 * Return: NULL if no service has a weight.
 */
const char *ks_route_pick(const ks_route_t *route, uint32_t draw)
{
	uint64_t total = 0, at;

	for (guint i = 0; i < route->splits->len; i++)
		total += g_array_index(route->splits, ks_split_t, i).weight;
	if (!total)
		return NULL;
	at = draw % total;
	for (guint i = 0; i < route->splits->len; i++) {
		const ks_split_t *split =
			&g_array_index(route->splits, ks_split_t, i);

		if (at < split->weight)
			return split->service;
		at -= split->weight;
	}
	return NULL;
}
