/*
 * Test doubles of the modules that the upstream process uses: link server,
 * configuration, order driver, store, host list and snapshot. They record the
 * calls of the process, and the tests trigger their events.
 */
#ifndef UPSTREAM_DOUBLES_H
#define UPSTREAM_DOUBLES_H

#include "ks/upstream.h"

#include <string.h>

/* Recorded calls, and the callbacks that the process registered. */
static struct {
	const ks_link_server_events_t *link_events;
	void *link_ctx;
	ks_upstream_state_t state;
	ks_load_t load;
	unsigned n_load_updates;
	ks_load_t load_at_state_change;
	uint64_t version;
	bool link_idle;
	ks_config_func_t config_func;
	void *config_ctx;
	uint64_t offered_version;
	const ks_order_driver_events_t *order_driver_events;
	void *order_driver_ctx;
	unsigned orders_in_flight;
	bool orders_stopped;
	bool orders_idle;
	ks_hosts_func_t hosts_func;
	void *hosts_ctx;
	unsigned n_host_polls;
} doubles;

struct ks_link_server {
	int unused;
};

struct ks_config {
	int unused;
};

struct ks_order_driver {
	int unused;
};

/**
 * struct ks_job - records the answer to one attempt
 * @body_refused: set by the test to let ks_job_body() end the attempt
 * @n_final_events: number of final events; more than one is an error
 */
struct ks_job {
	void *ctx;
	ks_attempt_key_t key;
	bool accepted;
	bool refused;
	bool ended;
	bool body_refused;
	unsigned n_final_events;
	ks_error_kind_t kind;
	int64_t retry_after_us;
	int status;
	bool has_framing_header;
	GString *body;
};

/* Link server */

ks_link_server_t *ks_link_server_new(ks_loop_t *loop G_GNUC_UNUSED,
				     void *zmq_context G_GNUC_UNUSED,
				     const ks_link_server_options_t *options,
				     const ks_link_server_events_t *events,
				     void *ctx, GError **error G_GNUC_UNUSED)
{
	g_assert_false(ks_id_is_zero(&options->incarnation));
	doubles.link_events = events;
	doubles.link_ctx = ctx;
	return g_new0(ks_link_server_t, 1);
}

void ks_link_server_free(ks_link_server_t *server)
{
	g_free(server);
}

uint16_t ks_link_server_port(const ks_link_server_t *server G_GNUC_UNUSED)
{
	return 1;
}

void ks_link_server_set_state(ks_link_server_t *server G_GNUC_UNUSED,
			      ks_upstream_state_t state)
{
	doubles.state = state;
	doubles.load_at_state_change = doubles.load;
}

void ks_link_server_set_load(ks_link_server_t *server G_GNUC_UNUSED,
			     const ks_load_t *load)
{
	doubles.load = *load;
	doubles.n_load_updates++;
}

void ks_link_server_set_version(ks_link_server_t *server G_GNUC_UNUSED,
				uint64_t version)
{
	doubles.version = version;
}

bool ks_link_server_is_idle(const ks_link_server_t *server G_GNUC_UNUSED)
{
	return doubles.link_idle;
}

void ks_job_set_context(ks_job_t *job, void *ctx)
{
	job->ctx = ctx;
}

void *ks_job_context(const ks_job_t *job)
{
	return job->ctx;
}

const ks_attempt_key_t *ks_job_key(const ks_job_t *job)
{
	return &job->key;
}

void ks_job_accept(ks_job_t *job)
{
	g_assert_cmpuint(job->n_final_events, ==, 0);
	job->accepted = true;
}

void ks_job_refuse(ks_job_t *job, ks_error_kind_t kind, int64_t retry_after_us)
{
	g_assert_false(job->accepted);
	g_assert_cmpuint(job->n_final_events++, ==, 0);
	job->refused = true;
	job->kind = kind;
	job->retry_after_us = retry_after_us;
}

void ks_job_head(ks_job_t *job, int status, const ks_header_t *headers,
		 size_t n_headers)
{
	g_assert_cmpuint(job->n_final_events, ==, 0);
	job->status = status;
	job->has_framing_header =
		ks_header_find(headers, n_headers, "transfer-encoding") ||
		ks_header_find(headers, n_headers, "content-length") ||
		ks_header_find(headers, n_headers, "connection");
}

bool ks_job_body(ks_job_t *job, ks_str_t data)
{
	g_assert_cmpuint(job->n_final_events, ==, 0);
	if (job->body_refused) {
		job->n_final_events++;
		job->ended = true;
		job->kind = KS_ERROR_SLOW_READER;
		return false;
	}
	g_string_append_len(job->body, data.data, (gssize)data.len);
	return true;
}

void ks_job_end(ks_job_t *job, ks_error_kind_t kind,
		ks_str_t message G_GNUC_UNUSED)
{
	g_assert_true(job->accepted);
	g_assert_cmpuint(job->n_final_events++, ==, 0);
	job->ended = true;
	job->kind = kind;
}

/* Configuration */

ks_config_t *ks_config_new(ks_loop_t *loop G_GNUC_UNUSED,
			   ks_store_t *store G_GNUC_UNUSED,
			   ks_rng_t *rng G_GNUC_UNUSED,
			   int64_t poll_us G_GNUC_UNUSED, ks_config_func_t func,
			   void *ctx)
{
	doubles.config_func = func;
	doubles.config_ctx = ctx;
	return g_new0(ks_config_t, 1);
}

void ks_config_free(ks_config_t *config)
{
	g_free(config);
}

ks_snapshot_t *ks_config_current(const ks_config_t *config G_GNUC_UNUSED)
{
	return NULL;
}

uint64_t ks_config_version(const ks_config_t *config G_GNUC_UNUSED)
{
	return 0;
}

void ks_config_offer(ks_config_t *config G_GNUC_UNUSED, uint64_t version,
		     ks_str_t digest G_GNUC_UNUSED, ks_str_t body G_GNUC_UNUSED)
{
	doubles.offered_version = version;
}

/* Order driver */

ks_order_driver_t *ks_order_driver_new(
	ks_loop_t *loop G_GNUC_UNUSED, ks_store_t *store G_GNUC_UNUSED,
	ks_engine_t *engine G_GNUC_UNUSED,
	const ks_clock_t *boottime G_GNUC_UNUSED, ks_rng_t *rng G_GNUC_UNUSED,
	const ks_id_t *incarnation G_GNUC_UNUSED,
	const char *upstream_id G_GNUC_UNUSED, int64_t lease_us G_GNUC_UNUSED,
	const ks_order_driver_events_t *events, void *ctx)
{
	doubles.order_driver_events = events;
	doubles.order_driver_ctx = ctx;
	return g_new0(ks_order_driver_t, 1);
}

void ks_order_driver_free(ks_order_driver_t *driver)
{
	g_free(driver);
}

void ks_order_driver_set_snapshot(ks_order_driver_t *driver G_GNUC_UNUSED,
				  ks_snapshot_t *snapshot G_GNUC_UNUSED)
{
}

void ks_order_driver_set_in_flight(ks_order_driver_t *driver G_GNUC_UNUSED,
				   unsigned in_flight)
{
	doubles.orders_in_flight = in_flight;
}

void ks_order_driver_stop(ks_order_driver_t *driver G_GNUC_UNUSED)
{
	doubles.orders_stopped = true;
}

bool ks_order_driver_is_idle(const ks_order_driver_t *driver G_GNUC_UNUSED)
{
	return doubles.orders_idle;
}

/* Store and host list */

void ks_store_http_init(ks_store_http_t *driver, ks_http_client_t *client,
			const ks_address_t *address,
			const char *token G_GNUC_UNUSED)
{
	driver->client = client;
	driver->address = *address;
}

void ks_store_http_deinit(ks_store_http_t *driver G_GNUC_UNUSED)
{
}

static void request_hosts(void *impl G_GNUC_UNUSED, ks_hosts_func_t func,
			  void *ctx)
{
	doubles.hosts_func = func;
	doubles.hosts_ctx = ctx;
	doubles.n_host_polls++;
}

void ks_platform_http_init(ks_platform_http_t *driver, ks_http_client_t *client,
			   const ks_address_t *address,
			   const char *token G_GNUC_UNUSED)
{
	driver->platform.hosts = request_hosts;
	driver->client = client;
	driver->address = *address;
}

void ks_platform_http_deinit(ks_platform_http_t *driver G_GNUC_UNUSED)
{
}

/* Snapshot */

const char *ks_engine_role_name(ks_engine_role_t role)
{
	static const char *const names[] = { "both", "prefill", "decode" };

	return names[role];
}

bool ks_engine_role_parse(ks_engine_role_t *role, ks_str_t name)
{
	for (int i = KS_ROLE_BOTH; i <= KS_ROLE_DECODE; i++) {
		*role = (ks_engine_role_t)i;
		if (ks_str_equal(name, ks_str_from(ks_engine_role_name(*role))))
			return true;
	}
	return false;
}

ks_snapshot_t *ks_snapshot_ref(ks_snapshot_t *snapshot)
{
	snapshot->refs++;
	return snapshot;
}

void ks_snapshot_unref(ks_snapshot_t *snapshot)
{
	snapshot->refs--;
}

ks_str_t ks_snapshot_compressed(ks_snapshot_t *snapshot)
{
	return (ks_str_t){ snapshot->body, snapshot->body_len };
}

const ks_model_t *ks_snapshot_find_model(const ks_snapshot_t *snapshot,
					 ks_str_t name)
{
	for (unsigned i = 0; i < snapshot->models->len; i++) {
		ks_model_t *model = g_ptr_array_index(snapshot->models, i);

		if (ks_str_equal(name, ks_str_from(model->name)))
			return model;
	}
	return NULL;
}

const ks_upstream_t *ks_snapshot_find_upstream(const ks_snapshot_t *snapshot,
					       ks_str_t id)
{
	for (unsigned i = 0; i < snapshot->upstreams->len; i++) {
		ks_upstream_t *upstream =
			g_ptr_array_index(snapshot->upstreams, i);

		if (ks_str_equal(id, ks_str_from(upstream->id)))
			return upstream;
	}
	return NULL;
}

#endif
