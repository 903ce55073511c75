/*
 * Fake of the platform that the gateway runs on: the platform's store, two
 * replicas of a plain service and three replicas of an LLM engine in one
 * process. tests/system/site.sh starts it. When stopped, it prints the number
 * of executed requests, and exits with an error if a non-idempotent request was
 * executed more than once.
 *
 * With the argument --organisations, requests need the API key of one, and the
 * program has the interface for calls by one entry at a time: it accepts usage
 * reports and prints them.
 */
#include "fake_main.h"
#include "fake_rows.h"
#include "faults.h"
#include "http1_conn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLAIN_REPLICAS 2
#define ENGINES 3
#define REPLICAS (PLAIN_REPLICAS + ENGINES)
/* Number of events in a streaming response, and the time between them. */
#define EVENTS 20
#define EVENT_US (50 * KS_USEC_PER_MSEC)

/* Response to a path that ends in "/long", below what a gateway buffers. */
#define LONG_RESPONSE_BYTES (900 * 1024)

/* Events of a stream on such a path, sent as fast as they are read. */
#define LONG_EVENTS 2000
#define LONG_EVENT_BYTES 4096
#define LONG_PENDING_BYTES (64 * 1024)

/* Prefix of paths that are answered as in faults.h, and size of one write. */
#define FAULT_PATH "/fault-"
#define FAULT_WRITE_BYTES (64 * 1024)

/* Delay of the response to a path that ends in "/slow". */
#define SLOW_RESPONSE_US (2 * KS_USEC_PER_SEC)

/*
 * Configuration that the gateway reads from the store, with one route of each
 * kind: requests to /read/ may be retried, those to /book/ must be executed at
 * most once, and /advise/ is streamed by the LLM engines.
 */
#define CONFIG                                                                \
	"{\"version\":1,\"services\":[{\"name\":\"app\"},{\"name\":\"llm\","  \
	"\"engine\":{\"slots\":8,\"kv-token-bytes\":1000,\"link-mbps\":"      \
	"1000.0,\"handle-ttl-s\":5.0}}],\"routes\":["                         \
	"{\"name\":\"read\",\"host\":\"shop.example\",\"prefix\":\"/read/\"," \
	"\"kind\":\"idempotent\",\"timeout-ms\":5000,\"max-attempts\":2,"     \
	"\"service\":\"app\"},"                                               \
	"{\"name\":\"book\",\"host\":\"shop.example\",\"prefix\":\"/book/\"," \
	"\"kind\":\"non_idempotent\",\"timeout-ms\":5000,"                    \
	"\"max-attempts\":1,\"service\":\"app\"},"                            \
	"{\"name\":\"advise\",\"host\":\"shop.example\",\"prefix\":"          \
	"\"/advise/\",\"kind\":\"streaming\",\"timeout-ms\":20000,"           \
	"\"max-attempts\":1,\"service\":\"llm\"},"                            \
	"{\"name\":\"follow\",\"host\":\"shop.example\",\"prefix\":"          \
	"\"/follow/\",\"kind\":\"streaming\",\"timeout-ms\":20000,"           \
	"\"max-attempts\":1,\"resumable\":true,\"service\":\"llm\"}]"

#define ORGANISATIONS \
	",\"tenants\":[{\"name\":\"org\",\"api-keys\":[\"site-key\"]}]"

struct site;

/**
 * struct replica - one server of a service
 * @id: key of its row in the table "servers"
 * @stage: "prefill" or "decode"; NULL for a replica of the plain service
 * @orders: number of orders received
 */
struct replica {
	struct site *site;
	ks_http1_server_t server;
	char id[16];
	const char *stage;
	unsigned orders;
};

/**
 * struct site - state of the program
 * @started_ms: start of the replicas, Unix milliseconds
 * @duties: interface for calls by one entry at a time
 * @executed_ids: set of the ids of executed requests
 * @runs: number of executed requests
 * @duplicate_runs: repeated executions of non-idempotent requests
 * @handles: number of prefilled prompts
 */
struct site {
	ks_loop_t loop;
	int64_t started_ms;
	struct fake_rows store;
	struct replica replicas[REPLICAS];
	ks_http1_server_t duties;
	GHashTable *executed_ids;
	unsigned runs;
	unsigned duplicate_runs;
	unsigned handles;
};

/**
 * struct stream - response that is not sent at once
 * @sent: number of events sent
 */
struct stream {
	ks_http1_request_t *request;
	ks_timer_t timer;
	int sent;
};

static bool ends_with(ks_str_t text, ks_str_t end)
{
	return text.len >= end.len &&
	       !memcmp(text.data + text.len - end.len, end.data, end.len);
}

static ks_str_t field(const ks_http1_request_t *request, const char *name)
{
	return ks_header_value(request->headers, request->n_headers, name);
}

/* @not_run: tell the gateway that the request was not executed */
static void reply(ks_http1_request_t *request, int status, bool not_run,
		  const char *body)
{
	ks_header_t headers[] = { { KS_STR("request-id"),
				    field(request, "request-id") },
				  { KS_STR("response-seal"), KS_STR("seal") },
				  { KS_STR("not-executed"), KS_STR("1") } };

	ks_http1_start(request, status, headers, not_run ? 3 : 2,
		       (int64_t)strlen(body));
	ks_http1_body(request, ks_str_from(body));
	ks_http1_end(request);
}

static void end_stream(struct stream *stream)
{
	ks_timer_clear(&stream->timer);
	g_free(stream);
}

static void on_disconnect(void *ctx)
{
	struct stream *stream = ctx;

	ks_http1_abort(stream->request);
	end_stream(stream);
}

static void on_event(void *ctx)
{
	struct stream *stream = ctx;
	char event[64];

	g_snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n",
		   stream->sent, stream->sent);
	ks_http1_body(stream->request, ks_str_from(event));
	if (++stream->sent < EVENTS) {
		ks_timer_set(&stream->timer, EVENT_US);
		return;
	}
	ks_http1_end(stream->request);
	end_stream(stream);
}

static void send_long_events(void *ctx)
{
	struct stream *stream = ctx;
	ks_http1_request_t *request = stream->request;
	GString *event = g_string_new(NULL);

	while (stream->sent < LONG_EVENTS &&
	       ks_http1_pending(request) < LONG_PENDING_BYTES) {
		g_string_printf(event, "id: %d\ndata: ", stream->sent);
		while (event->len < LONG_EVENT_BYTES)
			g_string_append_c(event, 'x');
		g_string_append(event, "\n\n");
		stream->sent++;
		ks_http1_body(request, (ks_str_t){ event->str, event->len });
	}
	g_string_free(event, TRUE);
	if (stream->sent == LONG_EVENTS) {
		ks_http1_end(request);
		end_stream(stream);
	}
}

static void on_slow_end(void *ctx)
{
	struct stream *stream = ctx;

	reply(stream->request, 200, false, "done\n");
	end_stream(stream);
}

/* The response is delayed, so that the gateway has to keep the request. */
static void reply_later(struct replica *replica, ks_http1_request_t *request)
{
	struct stream *stream = g_new0(struct stream, 1);

	stream->request = request;
	request->ctx = stream;
	request->disconnected = on_disconnect;
	ks_timer_init(&stream->timer, &replica->site->loop, on_slow_end,
		      stream);
	ks_timer_set(&stream->timer, SLOW_RESPONSE_US);
}

static void reply_long(ks_http1_request_t *request)
{
	char *body = g_malloc(LONG_RESPONSE_BYTES + 1);

	memset(body, 'x', LONG_RESPONSE_BYTES);
	body[LONG_RESPONSE_BYTES] = '\0';
	reply(request, 200, false, body);
	g_free(body);
}

static void start_stream(struct replica *replica, ks_http1_request_t *request)
{
	struct stream *stream = g_new0(struct stream, 1);
	ks_header_t headers[] = {
		{ KS_STR("request-id"), field(request, "request-id") },
		{ KS_STR("response-seal"), KS_STR("seal") },
		{ KS_STR("content-type"), KS_STR("text/event-stream") },
	};

	stream->request = request;
	request->ctx = stream;
	request->disconnected = on_disconnect;
	ks_http1_start(request, 200, headers, G_N_ELEMENTS(headers), -1);
	ks_timer_init(&stream->timer, &replica->site->loop, on_event, stream);
	if (ends_with(request->target, KS_STR("/long"))) {
		request->drained = send_long_events;
		send_long_events(stream);
	} else {
		ks_timer_set(&stream->timer, EVENT_US);
	}
}

/**
 * struct fault_stream - bytes of a faulty upstream
 * @sent: number of pieces
 */
struct fault_stream {
	ks_http1_request_t *request;
	const struct fault *fault;
	size_t sent;
};

static void on_fault_closed(void *ctx)
{
	struct fault_stream *stream = ctx;

	ks_http1_abort(stream->request);
	g_free(stream);
}

static void send_fault(void *ctx)
{
	struct fault_stream *stream = ctx;
	struct http1_conn *conn = http1_conn_of(stream->request);

	fault_continue(stream->fault, &stream->sent, FAULT_WRITE_BYTES,
		       conn->queued);
	http1_conn_flush(conn);
	http1_conn_account(conn);
}

/* Returns false if the path names no fault. */
static bool start_fault(ks_http1_request_t *request)
{
	char *target = ks_str_dup(request->target);
	char *id = ks_str_dup(field(request, "request-id"));
	const char *name = strstr(target, FAULT_PATH);
	const struct fault *fault =
		name ? fault_find(name + strlen(FAULT_PATH)) : NULL;

	if (fault) {
		struct fault_stream *stream = g_new0(struct fault_stream, 1);

		stream->request = request;
		stream->fault = fault;
		request->ctx = stream;
		request->disconnected = on_fault_closed;
		request->drained = send_fault;
		fault_begin(fault, "request-id", id,
			    http1_conn_of(request)->queued);
		send_fault(stream);
	}
	g_free(target);
	g_free(id);
	return fault;
}

static void record_execution(struct site *site,
			     const ks_http1_request_t *request)
{
	char *id = ks_str_dup(field(request, "request-id"));

	site->runs++;
	if (!g_hash_table_add(site->executed_ids, id) &&
	    ks_str_has_prefix(request->target, KS_STR("/book/")))
		site->duplicate_runs++;
}

/* Responds to the prefill stage of a request with the handle of its KV blocks.
 */
static void read_prompt(struct site *site, ks_http1_request_t *request)
{
	char body[64];

	g_snprintf(body, sizeof(body), "{\"handle\":\"h%u\"}", ++site->handles);
	reply(request, 200, false, body);
}

static void publish_replica(struct replica *replica)
{
	char *row = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"domain-1\",\"version\":\"v1\","
		"\"state\":\"ready\",\"slots\":8%s%s%s,"
		"\"born\":%" PRId64 "}",
		replica->stage ? "llm" : "app", replica->server.port,
		replica->stage ? ",\"stage\":\"" : "",
		replica->stage ? replica->stage : "",
		replica->stage ? "\"" : "", replica->site->started_ms);

	fake_put(&replica->site->store, "servers", replica->id, row);
	g_free(row);
}

/* Switches the stage that the replica serves and updates its row. */
static void apply_role_order(struct replica *replica,
			     ks_http1_request_t *request)
{
	json_t *json =
		json_loadb(request->body.data, request->body.len, 0, NULL);
	const char *stage = json_string_value(json_object_get(json, "stage"));

	replica->stage = !g_strcmp0(stage, "prefill") ? "prefill" : "decode";
	replica->orders++;
	json_decref(json);
	reply(request, 202, false, "");
	publish_replica(replica);
}

static void report(const struct replica *replica, ks_http1_request_t *request)
{
	char body[96];

	g_snprintf(body, sizeof(body),
		   "{\"busy\":false,\"seq\":%u,\"born\":%" PRId64 "}",
		   replica->orders, replica->site->started_ms);
	reply(request, 200, false, body);
}

static void on_request(void *ctx, ks_http1_request_t *request)
{
	struct replica *replica = ctx;
	ks_str_t expected = field(request, "expect-instance");

	if (expected.len && !ks_str_equal(expected, ks_str_from(replica->id))) {
		reply(request, 421, true, "");
	} else if (ks_str_equal(request->target, KS_STR("/-/order"))) {
		apply_role_order(replica, request);
	} else if (ks_str_equal(request->target, KS_STR("/-/report"))) {
		report(replica, request);
	} else if (ks_str_has_prefix(request->target, KS_STR("/-/"))) {
		reply(request, 200, false, "");
	} else if (field(request, "stage").len) {
		read_prompt(replica->site, request);
	} else if (!start_fault(request)) {
		record_execution(replica->site, request);
		if (ks_str_has_prefix(request->target, KS_STR("/advise/")))
			start_stream(replica, request);
		else if (ends_with(request->target, KS_STR("/long")))
			reply_long(request);
		else if (ends_with(request->target, KS_STR("/slow")))
			reply_later(replica, request);
		else
			reply(request, 200, false, "done\n");
	}
}

static void start_replicas(struct site *site)
{
	ks_address_t address = { "127.0.0.1", 0 };

	for (int i = 0; i < REPLICAS; i++) {
		struct replica *replica = &site->replicas[i];

		replica->site = site;
		g_snprintf(replica->id, sizeof(replica->id), "i-%d", i);
		if (i >= PLAIN_REPLICAS)
			replica->stage = "decode";
		g_assert_true(ks_http1_server_init(&replica->server,
						   &site->loop, &address,
						   on_request, replica, NULL));
		publish_replica(replica);
	}
}

static void on_duty(void *ctx G_GNUC_UNUSED, ks_http1_request_t *request)
{
	ks_str_t holder = field(request, "duty-holder");
	ks_str_t token = field(request, "fencing-token");

	fprintf(stderr, "duty %.*s holder=%.*s token=%.*s body=%.*s\n",
		(int)request->target.len, request->target.data, (int)holder.len,
		holder.data, (int)token.len, token.data, (int)request->body.len,
		request->body.data);
	reply(request, 200, false, "");
}

static void start_duties(struct site *site)
{
	ks_address_t address = { "127.0.0.1", 0 };

	g_assert_true(ks_http1_server_init(&site->duties, &site->loop, &address,
					   on_duty, site, NULL));
	fprintf(stderr, "duty interface at 127.0.0.1:%u\n", site->duties.port);
}

int main(int argc, char **argv)
{
	bool has_organisations =
		argc > 1 && !strcmp(argv[1], "--organisations");
	struct fake_signals signals;
	struct site site = { .started_ms = g_get_real_time() / 1000 };

	ks_loop_init(&site.loop, ks_clock_monotonic());
	if (!fake_signals_init(&signals, &site.loop))
		return EXIT_FAILURE;
	site.executed_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_rows_init(&site.store, &site.loop);
	fake_put(&site.store, "op", "config",
		 has_organisations ? CONFIG ORGANISATIONS "}" : CONFIG "}");
	if (has_organisations)
		start_duties(&site);
	start_replicas(&site);
	fprintf(stderr, "listens on 127.0.0.1:%u\n", site.store.server.port);
	ks_loop_run(&site.loop);
	fprintf(stderr, "runs=%u twice=%u orders=%u handles=%u\n", site.runs,
		site.duplicate_runs,
		site.replicas[PLAIN_REPLICAS].orders +
			site.replicas[PLAIN_REPLICAS + 1].orders +
			site.replicas[PLAIN_REPLICAS + 2].orders,
		site.handles);
	for (int i = 0; i < REPLICAS; i++)
		ks_http1_server_deinit(&site.replicas[i].server);
	if (has_organisations)
		ks_http1_server_deinit(&site.duties);
	fake_rows_deinit(&site.store);
	g_hash_table_destroy(site.executed_ids);
	fake_signals_deinit(&signals);
	ks_loop_deinit(&site.loop);
	return site.duplicate_runs ? EXIT_FAILURE : EXIT_SUCCESS;
}
