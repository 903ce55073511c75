/*
 * Several entries before upstreams that respond at once and may state a limit
 * on the requests of all entries. Everything shares one event loop and a clock
 * that the test advances; the entries' messages to each other are delivered by
 * the test.
 */
#ifndef KS_LIMIT_FIXTURE_H
#define KS_LIMIT_FIXTURE_H

#include "gateway_fixture.h"
#include "gateway_internal.h"

#include <stdlib.h>

#define LIMIT_MAX_ENTRIES 6
#define LIMIT_UPSTREAMS 3
#define LIMIT_STEP_MS 10
#define LIMIT_SEED 1
#define LIMIT_CLOSED_PORT 1
/* How often the test delivers the messages of the entries. */
#define LIMIT_MESSAGE_MS 100

/* The rule: arrivals in a window, once the limit is known. */
#define LIMIT_WINDOW_MS 4000
#define LIMIT_TOLERANCE 1.5
#define LIMIT_ALLOWANCE 5
#define LIMIT_KNOWN_MS 3000
#define LIMIT_PASSED_ON_MS 500

/**
 * struct limit_upstream - an upstream that responds at once
 * @limit: text of the field in its responses; NULL for none
 * @stated_ms: when it first stated a limit, -1 before
 * @arrived_ms, @arrived_from: time and entry of each request
 */
struct limit_upstream {
	struct limit_play *play;
	ks_http1_server_t server;
	const char *limit;
	bool is_prefill;
	int64_t stated_ms;
	GArray *arrived_ms;
	GArray *arrived_from;
	int64_t told_ms[LIMIT_MAX_ENTRIES];
};

/**
 * struct limit_entry - an entry and the load of its callers
 * @per_s: requests per second
 * @target: what they request
 * @due: requests that are due, as a fraction
 * @is_silent: its messages are lost, and those to it
 * @served, @refused: responses 200 and 503
 */
struct limit_entry {
	ks_gateway_t *gateway;
	double per_s;
	const char *target;
	double due;
	bool is_silent;
	unsigned served;
	unsigned refused;
	unsigned other;
	unsigned without_retry_after;
};

struct limit_play {
	ks_test_clock_t clock;
	ks_loop_t loop;
	ks_http_client_t client;
	unsigned n_entries;
	struct limit_entry entries[LIMIT_MAX_ENTRIES];
	struct limit_upstream upstreams[LIMIT_UPSTREAMS];
	int64_t now_ms;
	unsigned n_calls;
	unsigned n_open;
	int64_t process_start_ms;
};

/**
 * struct limit_call - a request of a caller
 */
struct limit_call {
	struct limit_play *play;
	struct limit_entry *entry;
	ks_http_call_t call;
	int status;
	bool has_retry_after;
	int64_t sent_ms;
	char id[24];
};

static void limit_on_request(void *ctx, ks_http1_request_t *request)
{
	struct limit_upstream *upstream = ctx;
	struct limit_play *play = upstream->play;
	ks_str_t id =
		ks_header_value(request->headers, request->n_headers, "x-id");
	int entry = id.len ? id.data[0] - '0' : -1;
	ks_header_t headers[3] = { { KS_STR("x-id"), id } };
	const char *body =
		upstream->is_prefill ? "{\"handle\":\"h1\"}" : "data: a\n\n";
	size_t n = 1;

	g_array_append_val(upstream->arrived_ms, play->now_ms);
	g_array_append_val(upstream->arrived_from, entry);
	if (upstream->limit) {
		headers[n++] = (ks_header_t){ KS_STR("x-limit"),
					      ks_str_from(upstream->limit) };
		if (upstream->stated_ms < 0)
			upstream->stated_ms = play->now_ms;
		if (entry >= 0 && upstream->told_ms[entry] < 0)
			upstream->told_ms[entry] = play->now_ms;
	}
	ks_http1_start(request, 200, headers, n, (int64_t)strlen(body));
	ks_http1_body(request, ks_str_from(body));
	ks_http1_end(request);
}

static inline void limit_announce(struct limit_play *play, unsigned i,
				  const char *service, ks_stage_t stage)
{
	char id[8];
	ks_member_spec_t spec = { .service = ks_str_from(service),
				  .domain = KS_STR("d1"),
				  .stage = stage,
				  .process_start_ms = ++play->process_start_ms,
				  .accepting = true };

	g_snprintf(id, sizeof(id), "u%u", i);
	spec.id = ks_str_from(id);
	g_strlcpy(spec.address.ip, "127.0.0.1", sizeof(spec.address.ip));
	spec.address.port = play->upstreams[i].server.port;
	play->upstreams[i].is_prefill = stage == KS_STAGE_PREFILL;
	for (unsigned j = 0; j < play->n_entries; j++)
		ks_fleet_put(ks_gateway_fleet(play->entries[j].gateway), &spec);
}

static inline void limit_start_entry(struct limit_play *play, unsigned i)
{
	struct fixture f = { .loop = play->loop };
	ks_address_t address = { "127.0.0.1", 0 };
	char name[] = { 'e', (char)('0' + i), '\0' };
	ks_gateway_settings_t settings = {
		.listen = address,
		.ready = address,
		.peer = address,
		.name = name,
		.domain = "d1",
		.leaving_notice_us = 2 * KS_USEC_PER_SEC,
		.retry_ratio = 0.2,
		.retry_slack = 160,
		.retry_window_us = 10 * KS_USEC_PER_SEC,
	};

	play->entries[i].gateway =
		ks_gateway_new(&play->loop, &fixture_dialect, &settings, NULL);
	g_assert_nonnull(play->entries[i].gateway);
	/* Placement draws from it; a run must not differ from another. */
	ks_rng_deinit(&play->entries[i].gateway->rng);
	ks_rng_init(&play->entries[i].gateway->rng, LIMIT_SEED + i);
	f.gateway = play->entries[i].gateway;
	fixture_apply(&f, 1);
}

/*
 * Lets each entry know of all others. Nothing listens at the address: messages
 * that arrive while the clock is paused would make runs differ.
 */
static inline void limit_introduce(struct limit_play *play)
{
	ks_address_t address = { "127.0.0.1", LIMIT_CLOSED_PORT };

	for (unsigned i = 0; i < play->n_entries; i++)
		for (unsigned j = 0; j < play->n_entries; j++) {
			char name[] = { 'e', (char)('0' + j), '\0' };

			ks_peers_add(ks_gateway_peers(play->entries[i].gateway),
				     name, &address);
		}
}

static inline void limit_init(struct limit_play *play, unsigned n_entries)
{
	ks_address_t address = { "127.0.0.1", 0 };

	memset(play, 0, sizeof(*play));
	play->n_entries = n_entries;
	ks_test_clock_init(&play->clock, 100 * KS_USEC_PER_SEC);
	ks_loop_init(&play->loop, &play->clock.clock);
	ks_http_client_init(&play->client, &play->loop);
	for (unsigned i = 0; i < n_entries; i++) {
		limit_start_entry(play, i);
		play->entries[i].target = "/book/";
	}
	limit_introduce(play);
	for (unsigned i = 0; i < LIMIT_UPSTREAMS; i++) {
		struct limit_upstream *upstream = &play->upstreams[i];

		upstream->play = play;
		upstream->stated_ms = -1;
		for (unsigned j = 0; j < LIMIT_MAX_ENTRIES; j++)
			upstream->told_ms[j] = -1;
		upstream->arrived_ms =
			g_array_new(FALSE, FALSE, sizeof(int64_t));
		upstream->arrived_from = g_array_new(FALSE, FALSE, sizeof(int));
		g_assert_true(ks_http1_server_init(
			&upstream->server, &play->loop, &address,
			limit_on_request, upstream, NULL));
	}
}

static inline void limit_deinit(struct limit_play *play)
{
	ks_http_client_deinit(&play->client);
	for (unsigned i = 0; i < play->n_entries; i++)
		ks_gateway_free(play->entries[i].gateway);
	for (unsigned i = 0; i < LIMIT_UPSTREAMS; i++) {
		ks_http1_server_deinit(&play->upstreams[i].server);
		g_array_free(play->upstreams[i].arrived_ms, TRUE);
		g_array_free(play->upstreams[i].arrived_from, TRUE);
	}
	ks_loop_deinit(&play->loop);
}

static void limit_on_head(void *ctx, int status, const ks_header_t *headers,
			  size_t n)
{
	struct limit_call *call = ctx;

	call->status = status;
	call->has_retry_after =
		ks_header_value(headers, n, "retry-after").len > 0;
}

static void limit_on_body(void *ctx G_GNUC_UNUSED, ks_str_t data G_GNUC_UNUSED)
{
}

static void limit_on_done(void *ctx, ks_http_result_t result)
{
	struct limit_call *call = ctx;
	struct limit_entry *entry = call->entry;

	if (result == KS_HTTP_COMPLETE && call->status == 200)
		entry->served++;
	else if (result == KS_HTTP_COMPLETE && call->status == 503)
		entry->refused++;
	else
		entry->other++;
	entry->without_retry_after +=
		call->status == 503 && !call->has_retry_after;
	/* Neither served nor refused late: nothing waits for the limit. */
	g_assert_cmpint(call->play->now_ms - call->sent_ms, <=,
			LIMIT_PASSED_ON_MS);
	call->play->n_open--;
	g_free(call);
}

static const ks_http_events_t limit_events = {
	.head = limit_on_head,
	.body = limit_on_body,
	.done = limit_on_done,
};

static inline void limit_call(struct limit_play *play, unsigned i)
{
	struct limit_call *call = g_new0(struct limit_call, 1);
	char parts[32];
	ks_header_t headers[] = { { KS_STR("x-id"), { NULL, 0 } },
				  { KS_STR("x-left"), KS_STR("2000") },
				  { KS_STR("x-parts"), { NULL, 0 } } };
	ks_http_request_t request = {
		.address = { "127.0.0.1",
			     ks_gateway_port(play->entries[i].gateway) },
		.method = KS_STR("POST"),
		.target = ks_str_from(play->entries[i].target),
		.host = KS_STR("shop.example"),
		.headers = headers,
		.n_headers = G_N_ELEMENTS(headers),
		.reuse = true,
		.no_retry = true,
	};

	call->play = play;
	call->entry = &play->entries[i];
	call->sent_ms = play->now_ms;
	g_snprintf(call->id, sizeof(call->id), "%u-%u", i, ++play->n_calls);
	g_snprintf(parts, sizeof(parts), "ca11e4:900,%x:9000", play->n_calls);
	headers[0].value = ks_str_from(call->id);
	headers[2].value = ks_str_from(parts);
	play->n_open++;
	ks_http_call_start(&call->call, &play->client, &request, &limit_events,
			   call);
}

static inline void limit_deliver(struct limit_play *play)
{
	for (unsigned i = 0; i < play->n_entries; i++) {
		GByteArray *message = g_byte_array_new();

		ks_peers_pack(ks_gateway_peers(play->entries[i].gateway),
			      message);
		for (unsigned j = 0; j < play->n_entries; j++)
			if (j != i && !play->entries[i].is_silent &&
			    !play->entries[j].is_silent)
				ks_peers_receive(
					ks_gateway_peers(
						play->entries[j].gateway),
					(ks_str_t){ (const char *)message->data,
						    message->len });
		g_byte_array_free(message, TRUE);
	}
}

/* Plays the load of all entries for a time. */
static inline void limit_run(struct limit_play *play, int64_t ms)
{
	for (int64_t end_ms = play->now_ms + ms; play->now_ms < end_ms;) {
		play->now_ms += LIMIT_STEP_MS;
		ks_test_clock_advance(&play->clock,
				      LIMIT_STEP_MS * KS_USEC_PER_MSEC);
		for (unsigned i = 0; i < play->n_entries; i++) {
			struct limit_entry *entry = &play->entries[i];

			entry->due += entry->per_s * LIMIT_STEP_MS / 1000;
			for (; entry->due >= 1; entry->due--)
				limit_call(play, i);
		}
		for (int i = 0; play->n_open && i < FIXTURE_MAX_STEPS; i++)
			ks_loop_run_once(&play->loop, FIXTURE_STEP_US);
		g_assert_cmpuint(play->n_open, ==, 0);
		ks_loop_run_once(&play->loop, 0);
		if (play->now_ms % LIMIT_MESSAGE_MS == 0)
			limit_deliver(play);
	}
}

/* Requests that arrived in a span, from all entries. */
static inline unsigned limit_count(const struct limit_upstream *upstream,
				   int64_t from_ms, int64_t until_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < upstream->arrived_ms->len; i++) {
		int64_t at = g_array_index(upstream->arrived_ms, int64_t, i);

		n += at > from_ms && at <= until_ms;
	}
	return n;
}

/* Returns the most requests in a window from entries that were told before. */
static inline unsigned limit_most(const struct limit_upstream *upstream)
{
	const GArray *times = upstream->arrived_ms;
	unsigned most = 0;

	for (guint i = 0; i < times->len; i++) {
		int64_t from_ms = g_array_index(times, int64_t, i);
		unsigned n = 0;

		if (upstream->stated_ms < 0 ||
		    from_ms < upstream->stated_ms + LIMIT_KNOWN_MS)
			continue;
		for (guint j = i; j < times->len; j++) {
			int64_t at = g_array_index(times, int64_t, j);
			int entry =
				g_array_index(upstream->arrived_from, int, j);
			int64_t told = entry < 0 ? 0 : upstream->told_ms[entry];

			n += at < from_ms + LIMIT_WINDOW_MS && told >= 0 &&
			     at >= told + LIMIT_PASSED_ON_MS;
		}
		most = MAX(most, n);
	}
	return most;
}

static inline unsigned limit_allowed(double per_s)
{
	return (unsigned)(LIMIT_TOLERANCE * per_s * LIMIT_WINDOW_MS / 1000 +
			  LIMIT_ALLOWANCE);
}

#endif
