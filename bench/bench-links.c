/*
 * Scaling measurements for capacity planning: CPU time, memory and bytes of
 * idle links by their number, and the measurements of links_store.c. A link is
 * the connection between an entry and an upstream process; both sides of all
 * links run in this process.
 */
#include "links.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#define PROGRAM "bench-links"
#define EXIT_USAGE 2

#define HEARTBEAT_US (100 * KS_USEC_PER_MSEC)
/* Long, so that no link is replaced for silence during a measurement. */
#define SILENCE_US (60 * KS_USEC_PER_SEC)
#define N_HEARTBEATS 20
#define POLL_INTERVAL_US (10 * KS_USEC_PER_MSEC)
#define CONNECT_TIMEOUT_US (30 * KS_USEC_PER_SEC)

static const unsigned link_counts[] = { 16, 32, 64, 128, 256 };

static double resident_kib(void)
{
	stats_process_t process = { 0, 0 };

	stats_process_read(getpid(), &process);
	return process.rss_bytes / 1024;
}

/* Links over ZeroMQ: one upstream process with a session for each entry. */

static void on_request(void *ctx G_GNUC_UNUSED, ks_job_t *job,
		       const ks_attempt_request_t *request G_GNUC_UNUSED)
{
	ks_job_refuse(job, KS_ERROR_NO_UPSTREAM, 0);
}

static void on_cancelled(void *ctx G_GNUC_UNUSED, ks_job_t *job G_GNUC_UNUSED)
{
}

static void on_config(void *ctx G_GNUC_UNUSED, uint64_t version G_GNUC_UNUSED,
		      ks_str_t digest G_GNUC_UNUSED,
		      ks_str_t body G_GNUC_UNUSED)
{
}

static ks_str_t config_body(void *ctx G_GNUC_UNUSED, uint64_t *version,
			    ks_str_t *digest)
{
	*version = 0;
	*digest = KS_STR("");
	return KS_STR("");
}

static void on_leaving_seen(void *ctx G_GNUC_UNUSED)
{
}

static void on_changed(void *ctx G_GNUC_UNUSED,
		       ks_link_client_t *link G_GNUC_UNUSED)
{
}

static const ks_link_server_events_t server_events = {
	.request = on_request,
	.cancelled = on_cancelled,
	.config = on_config,
	.config_body = config_body,
	.leaving_seen = on_leaving_seen,
};

static const ks_link_client_events_t client_events = {
	.changed = on_changed,
	.config = on_config,
	.config_body = config_body,
};

struct links {
	ks_loop_t loop;
	void *zmq;
	ks_link_server_t *server;
	ks_link_client_options_t options;
	GPtrArray *clients;
};

static void links_init(struct links *links)
{
	ks_link_server_options_t options = {
		.upstream = "engine-0001",
		.address = { "127.0.0.1", 0 },
		.security = { .plain = true },
		.heartbeat_us = HEARTBEAT_US,
		.silence_us = SILENCE_US,
		.max_buffer = 1 << 20,
	};

	memset(links, 0, sizeof(*links));
	ks_loop_init(&links->loop, ks_clock_monotonic());
	links->zmq = zmq_ctx_new();
	links->clients = g_ptr_array_new();
	links->server = ks_link_server_new(&links->loop, links->zmq, &options,
					   &server_events, NULL, NULL);
	g_assert(links->server);
	links->options = (ks_link_client_options_t){
		.entry = "entry-0001",
		.domain = "domain-1",
		.upstream = "engine-0001",
		.address = { "127.0.0.1", ks_link_server_port(links->server) },
		.security = { .plain = true },
		.heartbeat_us = HEARTBEAT_US,
		.silence_us = SILENCE_US,
	};
}

static void links_deinit(struct links *links)
{
	for (guint i = 0; i < links->clients->len; i++)
		ks_link_client_free(g_ptr_array_index(links->clients, i));
	g_ptr_array_free(links->clients, TRUE);
	ks_link_server_free(links->server);
	zmq_ctx_term(links->zmq);
	ks_loop_deinit(&links->loop);
}

static bool all_up(const struct links *links)
{
	for (guint i = 0; i < links->clients->len; i++) {
		if (!ks_link_client_is_up(g_ptr_array_index(links->clients, i)))
			return false;
	}
	return true;
}

static void run_loop(ks_loop_t *loop, int64_t us)
{
	int64_t end = ks_loop_now(loop) + us;

	while (ks_loop_now(loop) < end)
		ks_loop_run_once(loop, POLL_INTERVAL_US);
}

static bool open_links(struct links *links, unsigned n)
{
	int64_t end = ks_loop_now(&links->loop) + CONNECT_TIMEOUT_US;

	while (links->clients->len < n) {
		ks_id_generate(&links->options.incarnation);
		g_ptr_array_add(links->clients,
				ks_link_client_new(&links->loop, links->zmq,
						   &links->options,
						   &client_events, NULL));
	}
	while (!all_up(links) && ks_loop_now(&links->loop) < end)
		ks_loop_run_once(&links->loop, POLL_INTERVAL_US);
	return all_up(links);
}

static bool measure_links(void)
{
	stats_fit_t cpu = { .n = 0 }, memory = { .n = 0 };
	struct links links;
	bool ok = true;

	links_init(&links);
	for (size_t i = 0; i < G_N_ELEMENTS(link_counts) && ok; i++) {
		double before;

		ok = open_links(&links, link_counts[i]);
		run_loop(&links.loop, 2 * HEARTBEAT_US);
		before = stats_own_cpu_s();
		run_loop(&links.loop, N_HEARTBEATS * HEARTBEAT_US);
		stats_fit_add(&cpu, link_counts[i],
			      1e6 * (stats_own_cpu_s() - before) /
				      N_HEARTBEATS);
		stats_fit_add(&memory, link_counts[i], resident_kib());
	}
	stats_fit_print(&cpu, "CPU time of a heartbeat each way, both sides",
			"us per link");
	stats_fit_print(&memory, "memory of links, both sides", "KiB per link");
	links_deinit(&links);
	return ok;
}

/*
 * Size of heartbeats, counted on an in-memory transport: without the framing
 * of ZeroMQ.
 */

static const ks_load_t typical_load = {
	.in_flight = 16,
	.limit = 32,
	.prompt_tokens_pending = 40000,
	.output_tokens_pending = 8000,
	.kv_blocks_free = 300,
	.kv_blocks_total = 512,
	.role = "both",
};

/*
 * In-memory transport between one server and many clients.
 * @bytes: size of all messages sent
 */
struct wire {
	ks_loop_t loop;
	ks_link_server_t *server;
	GPtrArray *ends;
	GQueue messages;
	uint64_t bytes;
};

struct wire_end {
	struct wire *wire;
	ks_link_client_t *client;
	char name[16];
};

/*
 * @to: client to deliver to; NULL for the server
 * @from: name of the sending client; empty for the server
 */
struct wire_message {
	struct wire_end *to;
	char from[16];
	GBytes *data;
};

static bool wire_enqueue(struct wire *wire, struct wire_end *to,
			 const char *from, ks_str_t message)
{
	struct wire_message *item = g_new0(struct wire_message, 1);

	item->to = to;
	g_strlcpy(item->from, from, sizeof(item->from));
	item->data = g_bytes_new(message.data, message.len);
	g_queue_push_tail(&wire->messages, item);
	wire->bytes += message.len;
	return true;
}

static bool client_send(void *impl, ks_str_t peer G_GNUC_UNUSED,
			ks_str_t message)
{
	struct wire_end *end = impl;

	return wire_enqueue(end->wire, NULL, end->name, message);
}

static bool server_send(void *impl, ks_str_t peer, ks_str_t message)
{
	struct wire *wire = impl;

	for (guint i = 0; i < wire->ends->len; i++) {
		struct wire_end *end = g_ptr_array_index(wire->ends, i);

		if (ks_str_equal(peer, ks_str_from(end->name)))
			return wire_enqueue(wire, end, "", message);
	}
	return false;
}

static bool wire_reconnect(void *impl G_GNUC_UNUSED)
{
	return true;
}

static void wire_close(void *impl G_GNUC_UNUSED)
{
}

static void wire_run(struct wire *wire, int64_t us)
{
	int64_t end = ks_loop_now(&wire->loop) + us;

	while (ks_loop_now(&wire->loop) < end) {
		struct wire_message *item = g_queue_pop_head(&wire->messages);
		ks_str_t data;

		if (!item) {
			ks_loop_run_once(&wire->loop, KS_USEC_PER_MSEC);
			continue;
		}
		data.data = g_bytes_get_data(item->data, &data.len);
		if (item->to)
			ks_link_client_receive(item->to->client, data);
		else
			ks_link_server_receive(wire->server,
					       ks_str_from(item->from), data);
		g_bytes_unref(item->data);
		g_free(item);
	}
}

static void wire_connect(struct wire *wire)
{
	struct wire_end *end = g_new0(struct wire_end, 1);
	ks_transport_t transport = { client_send, wire_reconnect, wire_close,
				     end };
	ks_link_client_options_t options = {
		.entry = "entry-0001",
		.domain = "domain-1",
		.upstream = "engine-0001",
		.heartbeat_us = HEARTBEAT_US,
		.silence_us = SILENCE_US,
	};

	end->wire = wire;
	g_snprintf(end->name, sizeof(end->name), "%u", wire->ends->len);
	g_ptr_array_add(wire->ends, end);
	ks_id_generate(&options.incarnation);
	end->client = ks_link_client_new_with_transport(
		&wire->loop, &transport, &options, &client_events, NULL);
	ks_link_client_set_version(end->client, 2400);
}

static void wire_deinit(struct wire *wire)
{
	struct wire_message *item;

	for (guint i = 0; i < wire->ends->len; i++) {
		struct wire_end *end = g_ptr_array_index(wire->ends, i);

		ks_link_client_free(end->client);
	}
	ks_link_server_free(wire->server);
	while ((item = g_queue_pop_head(&wire->messages))) {
		g_bytes_unref(item->data);
		g_free(item);
	}
	g_ptr_array_set_free_func(wire->ends, g_free);
	g_ptr_array_free(wire->ends, TRUE);
	ks_loop_deinit(&wire->loop);
}

static void measure_bytes(void)
{
	ks_link_server_options_t options = {
		.upstream = "engine-0001",
		.heartbeat_us = HEARTBEAT_US,
		.silence_us = SILENCE_US,
		.max_buffer = 1 << 20,
	};
	stats_fit_t fit = { .n = 0 };
	struct wire wire = { .bytes = 0 };
	ks_transport_t transport = { server_send, wire_reconnect, wire_close,
				     &wire };

	ks_loop_init(&wire.loop, ks_clock_monotonic());
	wire.ends = g_ptr_array_new();
	g_queue_init(&wire.messages);
	wire.server = ks_link_server_new_with_transport(
		&wire.loop, &transport, &options, &server_events, NULL);
	ks_link_server_set_load(wire.server, &typical_load);
	ks_link_server_set_version(wire.server, 2400);
	for (size_t i = 0; i < G_N_ELEMENTS(link_counts); i++) {
		while (wire.ends->len < link_counts[i])
			wire_connect(&wire);
		wire_run(&wire, 2 * HEARTBEAT_US);
		wire.bytes = 0;
		wire_run(&wire, N_HEARTBEATS * HEARTBEAT_US);
		stats_fit_add(&fit, link_counts[i],
			      (double)wire.bytes / N_HEARTBEATS);
	}
	stats_fit_print(&fit, "bytes of a heartbeat each way, without ZeroMQ",
			"bytes per link");
	wire_deinit(&wire);
}

int main(int argc, char **argv)
{
	struct arg_str *platform =
		arg_str0(NULL, "platform", "IP:PORT",
			 "address of the store; without it, claims are "
			 "not measured");
	struct arg_str *token =
		arg_str0(NULL, "token", "TOKEN", "access token of the store");
	struct arg_end *end = arg_end(10);
	void *table[] = { platform, token, end };
	ks_address_t address;
	bool ok;

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, PROGRAM);
		return EXIT_USAGE;
	}
	measure_bytes();
	ok = measure_links() && links_measure_snapshots();
	if (platform->count && ok)
		ok = ks_address_parse(&address, ks_str_from(platform->sval[0]),
				      NULL) &&
		     links_measure_claims(&address,
					  token->count ? token->sval[0] : "");
	arg_freetable(table, G_N_ELEMENTS(table));
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
