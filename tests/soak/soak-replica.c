/*
 * Replica of a service, as a process of the soak: a plain service, or an engine
 * with the stage prefill or decode. It announces itself in the store, and
 * appends to a record what the check needs; see enum soak_event in soak.h.
 *
 * SIGUSR1 turns faults on and off: refusals, lost and cut answers, failures,
 * streams without a length, and second answers to a request, which arrive right
 * after the first, later, or when the next request has arrived on the
 * connection. SIGUSR2 makes it state a limit on the requests of all gateways,
 * or none any more. A third of the refusals request a back-off for a time.
 * SIGTERM announces that the replica leaves, here and in all its answers, and
 * ends it after the notice.
 *
 * With an id and an address of its own, it listens only once the store has
 * accepted its announcement, as a process before it may have had both.
 */
#include "fake_main.h"
#include "second.h"
#include "soak.h"

#include <argtable2.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define EXIT_USAGE 2

#define HEARTBEAT_US (1200 * KS_USEC_PER_MSEC)
#define LEAVING_NOTICE_US (2500 * KS_USEC_PER_MSEC)
#define STORE_TIMEOUT_US (800 * KS_USEC_PER_MSEC)
#define EXIT_RETRY_US (200 * KS_USEC_PER_MSEC)
/* Requests per second of a stated limit, between these. */
#define MIN_LIMIT_PER_S 1.0
#define MAX_LIMIT_PER_S 8.0
#define SERVES_US (100 * KS_USEC_PER_MSEC)
/* As the services of soak-store.c state. */
#define KV_TOKENS 400000
#define PREFILL_US (15 * KS_USEC_PER_MSEC)
#define EVENT_US (20 * KS_USEC_PER_MSEC)

/* While faults are on, of 100 requests so many meet each of them. */
#define REFUSED_OF_100 30
#define LOST_OF_100 5
#define CUT_OF_100 5
#define FAILED_OF_100 5
#define SILENT_OF_100 2
#define UNFRAMED_OF_100 20
/* Of 100 refusals, so many request a back-off. */
#define AWAY_OF_100 33

/**
 * struct replica - state of the program
 * @id: key of its row, new at each start unless it is given
 * @stage: "prefill" or "decode"; NULL for a plain service
 * @software: version of its software
 * @second_of_100: while faults are on, so many of 100 whole answers are given
 *	a second time
 * @break_of_100: of 100 streams, so many break off after an event or two
 * @close_of_100: of 100 connections, so many are closed after a response
 * @listen: where it will listen
 * @is_listening: it does
 * @is_announced: the store has accepted that it is ready
 * @serves: fires when it records that it serves
 * @record: descriptor of the record
 * @is_exiting: the time to the exit is over
 * @accepted_era: era in which the store accepted that the replica leaves, 0 if
 *	it has not
 * @is_relayed: behind a relay, which may hold up or lose an answer; the replica
 *	then says nothing of itself
 * @framing_rng: draws which streams have no length, without a change to the
 *	other faults of a seed
 * @running: requests that occupy a slot
 * @limit: text of the limit that it states; empty for none
 * @has_stated: it has stated a limit before
 */
struct replica {
	ks_loop_t loop;
	ks_http1_server_t server;
	ks_http_client_t client;
	ks_address_t store;
	ks_address_t announced;
	ks_timer_t heartbeat;
	ks_timer_t exit;
	ks_watch_t watch;
	int signal_fd;
	const char *service;
	const char *stage;
	const char *software;
	char id[32];
	int64_t started_ms;
	int64_t work_us;
	unsigned slots;
	unsigned running;
	unsigned orders;
	unsigned handles;
	int record;
	ks_rng_t rng;
	ks_rng_t framing_rng;
	unsigned second_of_100;
	unsigned break_of_100;
	unsigned close_of_100;
	ks_address_t listen;
	bool is_listening;
	bool is_announced;
	ks_timer_t serves;
	struct seconds seconds;
	bool is_relayed;
	bool faulty;
	bool leaving;
	bool is_exiting;
	char limit[8];
	bool has_stated;
	int64_t accepted_era;
};

/**
 * struct work - a request that occupies a slot
 * @stream: id of the request whose response began the stream
 * @next_event: number of the next event of a stream
 * @breaks_at: event before which the stream breaks off; 0 for none
 * @fate: drawn when the work begins
 * @is_unframed: only the end of the connection marks the end of the stream
 * @is_first: no event has been sent
 */
struct work {
	struct replica *replica;
	ks_http1_request_t *request;
	ks_timer_t timer;
	GString *id;
	GString *stream;
	int next_event;
	int breaks_at;
	enum fate {
		ANSWERED,
		LOST,
		CUT,
		FAILED,
		SILENT
	} fate;
	bool is_unframed;
	bool is_first;
	bool is_prefill;
};

static ks_str_t field(const ks_http1_request_t *request, const char *name)
{
	return ks_header_value(request->headers, request->n_headers, name);
}

static ks_str_t text_of(const GString *string)
{
	return (ks_str_t){ string->str, string->len };
}

static bool draw(struct replica *replica, unsigned of_100)
{
	return replica->faulty && ks_rng_below(&replica->rng, 100) < of_100;
}

static void record(const struct replica *replica, enum soak_event event,
		   ks_str_t id, double seconds)
{
	char *line = g_strdup_printf("%c %.*s %s %" PRId64 " %.2f\n",
				     (char)event, (int)id.len, id.data,
				     replica->id, g_get_real_time(), seconds);

	if (write(replica->record, line, strlen(line)) < 0)
		fprintf(stderr, "cannot write the record: %s\n",
			g_strerror(errno));
	g_free(line);
}

/* Adds the limit to the fields of an answer, and returns how many it adds. */
static size_t add_limit(struct replica *replica, ks_str_t id,
			ks_header_t *header)
{
	if (replica->has_stated)
		record(replica, SOAK_LIMITED, id,
		       g_ascii_strtod(replica->limit, NULL));
	if (!*replica->limit)
		return 0;
	*header = (ks_header_t){ KS_STR("server-limit"),
				 ks_str_from(replica->limit) };
	return 1;
}

/* As few connections are kept, many requests come on new ones. */
static void draw_close(struct replica *replica, ks_http1_request_t *request)
{
	if (replica->close_of_100 &&
	    ks_rng_below(&replica->framing_rng, 100) < replica->close_of_100)
		http1_conn_of(request)->keep_alive = false;
}

/* @not_run: state that the request was not executed */
static void reply(struct replica *replica, ks_http1_request_t *request,
		  int status, bool not_run, const char *body)
{
	struct http1_conn *conn = http1_conn_of(request);
	ks_str_t id = field(request, "request-id");
	GString *seal = g_string_new(NULL);
	ks_header_t headers[5] = { { KS_STR("request-id"), id },
				   { KS_STR("not-executed"), KS_STR("1") } };
	uint16_t port = seconds_peer_port(conn);
	struct second_text text = { NULL, false };
	bool again = id.len && draw(replica, replica->second_of_100);
	char wait[8];
	size_t n = 2;

	if (replica->leaving && !replica->is_relayed) {
		headers[n++] =
			(ks_header_t){ KS_STR("server-leaving"), KS_STR("1") };
		record(replica, SOAK_LEAVES, id, 0);
	}
	if (status == 503 && not_run && !replica->is_relayed &&
	    draw(replica, AWAY_OF_100)) {
		double seconds = 0.5 + 2 * ks_rng_unit(&replica->rng);

		g_ascii_formatd(wait, sizeof(wait), "%.2f", seconds);
		headers[n++] = (ks_header_t){ KS_STR("retry-after"),
					      ks_str_from(wait) };
		record(replica, SOAK_AWAY, id, seconds);
	}
	n += add_limit(replica, id, &headers[n]);
	soak_seal(id, seal);
	if (!not_run)
		headers[1] =
			(ks_header_t){ KS_STR("response-seal"), text_of(seal) };
	if (again)
		text = seconds_format(&replica->seconds, status, id,
				      &headers[1], body);
	draw_close(replica, request);
	ks_http1_start(request, status, headers, n, (int64_t)strlen(body));
	ks_http1_body(request, ks_str_from(body));
	ks_http1_end(request);
	g_string_free(seal, TRUE);
	if (again)
		seconds_plan(&replica->seconds, conn, port, text);
}

static void refuse(struct replica *replica, ks_http1_request_t *request,
		   int status)
{
	reply(replica, request, status, true, "");
}

static void free_work(struct work *work)
{
	ks_timer_clear(&work->timer);
	work->replica->running--;
	g_string_free(work->id, TRUE);
	g_string_free(work->stream, TRUE);
	g_free(work);
}

static void on_caller_left(void *ctx)
{
	struct work *work = ctx;

	ks_http1_abort(work->request);
	free_work(work);
}

static void finish_work(struct work *work, int status, const char *body)
{
	ks_http1_request_t *request = work->request;
	struct replica *replica = work->replica;

	free_work(work);
	reply(replica, request, status, false, body);
}

/*
 * A stream without a length is inside an event until its end, so that it has
 * broken off wherever its replica fails.
 */
static void send_event(struct work *work)
{
	GString *event = g_string_new(NULL);

	soak_event(text_of(work->stream), work->replica->software,
		   work->next_event, event);
	if (work->is_unframed) {
		g_string_truncate(event, event->len - 1);
		ks_http1_body(work->request,
			      work->is_first ? KS_STR("") : KS_STR("\n"));
		work->is_first = false;
	}
	/* A faulty replica may stop in the middle of an event. */
	if (work->fate == CUT && work->next_event == SOAK_EVENTS / 2)
		g_string_truncate(event, event->len / 2);
	ks_http1_body(work->request, text_of(event));
	g_string_free(event, TRUE);
	work->next_event++;
}

static void lose_answer(struct work *work)
{
	ks_http1_abort(work->request);
	free_work(work);
}

static void advance_stream(struct work *work)
{
	if (work->breaks_at && work->next_event >= work->breaks_at) {
		lose_answer(work);
		return;
	}
	if (work->next_event >= SOAK_EVENTS) {
		if (work->is_unframed && !work->is_first)
			ks_http1_body(work->request, KS_STR("\n"));
		ks_http1_end(work->request);
		free_work(work);
		return;
	}
	send_event(work);
	if (work->fate == CUT && work->next_event > SOAK_EVENTS / 2) {
		if (work->is_unframed)
			ks_http1_end(work->request);
		else
			ks_http1_abort(work->request);
		free_work(work);
		return;
	}
	ks_timer_set(&work->timer, EVENT_US);
}

static void start_answer(struct work *work, ks_str_t type, int64_t length)
{
	GString *seal = g_string_new(NULL);
	ks_header_t headers[] = {
		{ KS_STR("request-id"), text_of(work->id) },
		{ KS_STR("response-seal"), { NULL, 0 } },
		{ KS_STR("content-type"), type },
		{ KS_STR("server-leaving"), KS_STR("1") },
		{ { NULL, 0 }, { NULL, 0 } },
	};
	bool leaving = work->replica->leaving && !work->replica->is_relayed;
	size_t n = leaving ? 4 : 3;

	n += add_limit(work->replica, text_of(work->id), &headers[n]);
	if (leaving)
		record(work->replica, SOAK_LEAVES, text_of(work->id), 0);
	soak_seal(text_of(work->id), seal);
	headers[1].value = text_of(seal);
	draw_close(work->replica, work->request);
	ks_http1_start(work->request, 200, headers, n, length);
	g_string_free(seal, TRUE);
}

static bool is_crashing(const ks_http1_request_t *request)
{
	ks_str_t parts = field(request, "prompt-prefix");
	size_t len = strlen(SOAK_CRASHING_PATH);

	if (request->target.len > len &&
	    !memcmp(request->target.data + request->target.len - len,
		    SOAK_CRASHING_PATH, len))
		return true;
	return parts.len &&
	       memmem(parts.data, parts.len, "," SOAK_CRASHING_PART,
		      sizeof(SOAK_CRASHING_PART));
}

static void crash(const struct work *work)
{
	record(work->replica, SOAK_CRASHED, text_of(work->id), 0);
	_exit(EXIT_FAILURE);
}

static void start_stream(struct work *work)
{
	ks_str_t last = field(work->request, "last-event-id");
	int64_t number;

	if (ks_str_parse_int(last, 0, SOAK_EVENTS, &number))
		work->next_event = (int)number + 1;
	if (work->replica->break_of_100 &&
	    ks_rng_below(&work->replica->framing_rng, 100) <
		    work->replica->break_of_100)
		work->breaks_at =
			work->next_event + 1 +
			(int)ks_rng_below(&work->replica->framing_rng, 2);
	work->is_first = true;
	work->is_unframed = work->replica->faulty &&
			    ks_rng_below(&work->replica->framing_rng, 100) <
				    UNFRAMED_OF_100;
	/* As if for a caller that knows no chunks. */
	if (work->is_unframed)
		http1_conn_of(work->request)->parser.http_minor = 0;
	start_answer(work, KS_STR("text/event-stream"), -1);
	if (is_crashing(work->request))
		crash(work);
	advance_stream(work);
}

static void answer_prefill(struct work *work)
{
	char body[96];

	g_snprintf(body, sizeof(body),
		   "{\"handle\":\"h%u\",\"tokens\":100,\"version\":1}",
		   ++work->replica->handles);
	finish_work(work, 200, body);
}

static void cut_answer(struct work *work)
{
	start_answer(work, KS_STR("text/plain"), 1000);
	ks_http1_body(work->request, KS_STR("done "));
	lose_answer(work);
}

static void on_work(void *ctx)
{
	struct work *work = ctx;
	bool is_stream = soak_is_stream(soak_class(text_of(work->id)));
	GString *body;

	if (work->fate == SILENT)
		return;
	if (!is_stream && is_crashing(work->request))
		crash(work);
	if (work->fate == LOST) {
		lose_answer(work);
	} else if (work->is_prefill) {
		answer_prefill(work);
	} else if (work->fate == FAILED) {
		/* A failure without a word on whether the request ran. */
		finish_work(work,
			    ks_rng_below(&work->replica->rng, 2) ? 500 : 503,
			    "failed\n");
	} else if (is_stream && work->next_event) {
		advance_stream(work);
	} else if (is_stream) {
		start_stream(work);
	} else if (work->fate == CUT) {
		cut_answer(work);
	} else {
		body = g_string_new(NULL);
		soak_body(text_of(work->id), work->replica->software, body);
		finish_work(work, 200, body->str);
		g_string_free(body, TRUE);
	}
}

static enum fate draw_fate(struct replica *replica)
{
	if (draw(replica, LOST_OF_100))
		return LOST;
	if (draw(replica, CUT_OF_100))
		return CUT;
	if (draw(replica, FAILED_OF_100))
		return FAILED;
	return draw(replica, SILENT_OF_100) ? SILENT : ANSWERED;
}

static void start_work(struct replica *replica, ks_http1_request_t *request,
		       bool is_prefill)
{
	struct work *work = g_new0(struct work, 1);
	ks_str_t id = field(request, "request-id");
	ks_str_t first = field(request, "resumes");

	if (!first.len)
		first = id;
	work->replica = replica;
	work->request = request;
	work->id = g_string_new_len(id.data, (gssize)id.len);
	work->stream = g_string_new_len(first.data, (gssize)first.len);
	work->is_prefill = is_prefill;
	work->fate = draw_fate(replica);
	request->ctx = work;
	request->disconnected = on_caller_left;
	replica->running++;
	ks_timer_init(&work->timer, &replica->loop, on_work, work);
	if (!is_prefill)
		record(replica, SOAK_RAN, id, 0);
	ks_timer_set(&work->timer,
		     is_prefill ? PREFILL_US
				: ks_rng_jitter(&replica->rng, replica->work_us,
						0.5));
}

static bool is_accepted(const ks_http_response_t *answer)
{
	if (answer->result == KS_HTTP_COMPLETE && answer->status == 200)
		return true;
	fprintf(stderr, "cannot write to the store: status %d\n",
		answer->status);
	return false;
}

static void listen_if_not_yet(struct replica *replica);

static void on_announced(void *ctx, const ks_http_response_t *answer)
{
	struct replica *replica = ctx;

	if (!is_accepted(answer))
		return;
	replica->is_announced = true;
	listen_if_not_yet(replica);
}

/* Records for the check that it serves. */
static void on_serves(void *ctx)
{
	struct replica *replica = ctx;

	if (replica->is_announced && !replica->leaving)
		record(replica, SOAK_SERVES, ks_str_from(replica->software),
		       (double)replica->started_ms);
	ks_timer_set(&replica->serves, SERVES_US);
}

/*
 * The time to the exit begins when the store accepts that the replica leaves,
 * and anew if the store has lost that since. Before the exit, the replica makes
 * sure that it has not.
 */
static void on_leave_announced(void *ctx, const ks_http_response_t *answer)
{
	struct replica *replica = ctx;
	int64_t era = 0;

	if (!is_accepted(answer) ||
	    !ks_str_parse_int(answer->wanted, 1, G_MAXINT64, &era))
		return;
	if (era != replica->accepted_era) {
		replica->accepted_era = era;
		replica->is_exiting = false;
		ks_timer_set(&replica->exit, LEAVING_NOTICE_US);
	} else if (replica->is_exiting) {
		ks_loop_stop(&replica->loop);
	}
}

static void announce(struct replica *replica)
{
	char address[KS_ADDRESS_TEXT_SIZE];
	json_t *row = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:i,s:I}", "service", replica->service,
		"address", ks_address_format(&replica->announced, address),
		"zone", "domain-1", "version", replica->software, "state",
		replica->leaving ? "draining" : "ready", "slots",
		(int)replica->slots, "born", (json_int_t)replica->started_ms);
	char *text, *encoded, *body_text;
	json_t *body;
	ks_http_request_t request = { .address = replica->store,
				      .method = KS_STR("POST"),
				      .target = KS_STR("/-/rows-tx"),
				      .wanted_field = "store-era",
				      .timeout_us = STORE_TIMEOUT_US };

	if (replica->stage)
		json_object_set_new(row, "stage", json_string(replica->stage));
	text = json_dumps(row, JSON_COMPACT);
	encoded = g_base64_encode((const guchar *)text, strlen(text));
	body = json_pack("{s:[],s:[{s:s,s:s,s:s,s:s}],s:[]}",
			 "expected-revision", "puts", "table", "servers",
			 "part", "", "key", replica->id, "value", encoded,
			 "remove");
	body_text = json_dumps(body, JSON_COMPACT);
	request.body = ks_str_from(body_text);
	ks_http_fetch(&replica->client, &request, 65536,
		      replica->leaving ? on_leave_announced : on_announced,
		      replica);
	json_decref(row);
	json_decref(body);
	free(text);
	free(body_text);
	g_free(encoded);
}

static void on_heartbeat(void *ctx)
{
	struct replica *replica = ctx;

	announce(replica);
	ks_timer_set(&replica->heartbeat, HEARTBEAT_US);
}

static void obey_order(struct replica *replica, ks_http1_request_t *request)
{
	json_t *json =
		json_loadb(request->body.data, request->body.len, 0, NULL);
	const char *stage = json_string_value(json_object_get(json, "stage"));

	replica->stage = !g_strcmp0(stage, "prefill") ? "prefill" : "decode";
	replica->orders++;
	json_decref(json);
	reply(replica, request, 202, false, "");
	announce(replica);
}

static char *format_report(const struct replica *replica)
{
	json_t *json = json_pack(
		"{s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:s,s:[],s:I}",
		"busy", 0, "seq", (int)replica->orders, "queued", 0, "running",
		(int)replica->running, "kv-used", 0, "kv-total", KV_TOKENS,
		"kv-handles", (int)replica->handles, "pinned", 0, "held", 0,
		"next", 0, "state", replica->leaving ? "draining" : "ready",
		"runs", "born", (json_int_t)replica->started_ms);
	char *text;

	if (replica->stage)
		json_object_update_new(
			json, json_pack("{s:s,s:[{s:s,s:i,s:[]}]}", "stage",
					replica->stage, "models", "name", "m",
					"version", 1, "adapters"));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

static void serve_own_call(struct replica *replica, ks_http1_request_t *request)
{
	char *report;

	if (ks_str_equal(request->target, KS_STR("/-/order"))) {
		obey_order(replica, request);
		return;
	}
	report = format_report(replica);
	reply(replica, request, 200, false, report);
	free(report);
}

/* Another incarnation is meant, or the other stage. */
static bool is_misdirected(const struct replica *replica,
			   const ks_http1_request_t *request)
{
	ks_str_t expected = field(request, "expect-instance");
	bool is_prefill = field(request, "stage").len > 0;

	if (expected.len && !ks_str_equal(expected, ks_str_from(replica->id)))
		return true;
	return replica->stage &&
	       !ks_str_has_prefix(request->target, KS_STR("/-/")) &&
	       is_prefill != !strcmp(replica->stage, "prefill");
}

static void on_request(void *ctx, ks_http1_request_t *request)
{
	struct replica *replica = ctx;

	seconds_send_late(&replica->seconds, http1_conn_of(request));
	if (!is_misdirected(replica, request) &&
	    !ks_str_has_prefix(request->target, KS_STR("/-/")))
		record(replica, SOAK_ARRIVED, field(request, "request-id"), 0);
	if (is_misdirected(replica, request))
		refuse(replica, request, 421);
	else if (ks_str_has_prefix(request->target, KS_STR("/-/")))
		serve_own_call(replica, request);
	else if (replica->running >= replica->slots ||
		 draw(replica, REFUSED_OF_100))
		refuse(replica, request, 503);
	else
		start_work(replica, request, field(request, "stage").len > 0);
}

static void on_exit_timer(void *ctx)
{
	struct replica *replica = ctx;

	replica->is_exiting = true;
	announce(replica);
	ks_timer_set(&replica->exit, EXIT_RETRY_US);
}

static void toggle_limit(struct replica *replica)
{
	if (replica->is_relayed)
		return;
	if (*replica->limit)
		*replica->limit = '\0';
	else
		g_ascii_formatd(replica->limit, sizeof(replica->limit), "%.1f",
				MIN_LIMIT_PER_S +
					(MAX_LIMIT_PER_S - MIN_LIMIT_PER_S) *
						ks_rng_unit(&replica->rng));
	replica->has_stated = true;
	fprintf(stderr, "limit is '%s'\n", replica->limit);
}

static void on_signal(void *ctx)
{
	struct replica *replica = ctx;
	struct signalfd_siginfo info;

	while (read(replica->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGUSR2) {
			toggle_limit(replica);
		} else if (info.ssi_signo == SIGUSR1) {
			replica->faulty = !replica->faulty;
			fprintf(stderr, "faults are %s\n",
				replica->faulty ? "on" : "off");
		} else if (!replica->leaving) {
			replica->leaving = true;
			announce(replica);
		}
	}
}

static bool watch_signals(struct replica *replica)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	sigaddset(&set, SIGUSR2);
	sigaddset(&set, SIGTERM);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	replica->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	return ks_watch_init(&replica->watch, &replica->loop,
			     replica->signal_fd, on_signal, replica, NULL);
}

static bool listen_now(struct replica *replica)
{
	GError *error = NULL;

	if (!ks_http1_server_init(&replica->server, &replica->loop,
				  &replica->listen, on_request, replica,
				  &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_clear_error(&error);
		return false;
	}
	replica->server.idle_timeout_us = 60 * KS_USEC_PER_SEC;
	replica->is_listening = true;
	fprintf(stderr, "listens on %s:%u\n", replica->listen.ip,
		replica->server.port);
	return true;
}

static void listen_if_not_yet(struct replica *replica)
{
	if (!replica->is_listening && !listen_now(replica))
		exit(EXIT_FAILURE);
}

/* @announces_first: listen once the store has accepted the announcement */
static bool start(struct replica *replica, bool announces_first)
{
	if (!watch_signals(replica) ||
	    (!announces_first && !listen_now(replica)))
		return false;
	if (announces_first)
		fprintf(stderr, "waits for the store\n");
	if (!replica->is_relayed) {
		replica->announced = replica->listen;
		if (replica->is_listening)
			replica->announced.port = replica->server.port;
	}
	ks_http_client_init(&replica->client, &replica->loop);
	ks_timer_init(&replica->heartbeat, &replica->loop, on_heartbeat,
		      replica);
	ks_timer_init(&replica->exit, &replica->loop, on_exit_timer, replica);
	ks_timer_init(&replica->serves, &replica->loop, on_serves, replica);
	ks_timer_set(&replica->heartbeat, 0);
	if (replica->break_of_100)
		ks_timer_set(&replica->serves, 0);
	return true;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1(NULL, "listen", "IP:PORT", "listen address");
	struct arg_str *announced =
		arg_str0(NULL, "announce", "IP:PORT", "address of a relay");
	struct arg_str *store =
		arg_str1(NULL, "store", "IP:PORT", "address of the store");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_str *stage = arg_str0(NULL, "stage", "NAME", "stage");
	struct arg_str *software = arg_str0(NULL, "software", "VERSION",
					    "version of its software");
	struct arg_str *record =
		arg_str1(NULL, "record", "FILE", "record of runs");
	struct arg_int *work =
		arg_int1(NULL, "work-ms", "MS", "time that a request takes");
	struct arg_int *slots = arg_int1(NULL, "slots", "N", "slots");
	struct arg_int *seed = arg_int1(NULL, "seed", "N", "seed of faults");
	struct arg_int *second = arg_int0(NULL, "second-of-100", "N",
					  "answers that are given twice");
	struct arg_int *named = arg_int0(NULL, "named-of-3", "N",
					 "second answers that bear an id");
	struct arg_str *id =
		arg_str0(NULL, "id", "ID",
			 "key of its row, which an earlier process may have "
			 "had");
	struct arg_int *breaking =
		arg_int0(NULL, "break-of-100", "N", "streams that break off");
	struct arg_int *closing =
		arg_int0(NULL, "close-of-100", "N",
			 "connections that are closed after a response");
	struct arg_end *end = arg_end(10);
	void *table[] = { listen, announced, store,   service, stage,  software,
			  record, work,	     slots,   seed,    second, named,
			  id,	  breaking,  closing, end };
	struct replica replica = { .record = -1 };

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "soak-replica");
		return EXIT_USAGE;
	}
	if (!ks_address_parse(&replica.listen, ks_str_from(listen->sval[0]),
			      NULL) ||
	    !ks_address_parse(&replica.store, ks_str_from(store->sval[0]),
			      NULL) ||
	    (announced->count &&
	     !ks_address_parse(&replica.announced,
			       ks_str_from(announced->sval[0]), NULL)))
		return EXIT_USAGE;
	replica.record = open(record->sval[0],
			      O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	replica.service = service->sval[0];
	replica.stage = stage->count ? stage->sval[0] : NULL;
	replica.software = software->count ? software->sval[0] : "v1";
	replica.second_of_100 = second->count ? (unsigned)second->ival[0] : 40;
	replica.work_us = work->ival[0] * KS_USEC_PER_MSEC;
	replica.slots = (unsigned)slots->ival[0];
	replica.started_ms = g_get_real_time() / 1000;
	replica.break_of_100 =
		breaking->count ? (unsigned)breaking->ival[0] : 0;
	replica.close_of_100 = closing->count ? (unsigned)closing->ival[0] : 0;
	if (id->count)
		g_strlcpy(replica.id, id->sval[0], sizeof(replica.id));
	else
		g_snprintf(replica.id, sizeof(replica.id), "i-%d-%" PRId64,
			   (int)getpid(), replica.started_ms % 1000000);
	ks_rng_init(&replica.rng, (uint32_t)seed->ival[0]);
	ks_rng_init(&replica.framing_rng, (uint32_t)seed->ival[0]);
	ks_loop_init(&replica.loop, ks_clock_monotonic());
	seconds_init(&replica.seconds, &replica.loop, &replica.server,
		     &replica.rng, named->count ? (unsigned)named->ival[0] : 2);
	replica.is_relayed = announced->count > 0;
	if (replica.record < 0 ||
	    !start(&replica, id->count && replica.listen.port))
		return EXIT_FAILURE;
	ks_loop_run(&replica.loop);
	/* Exiting closes the open connections. */
	_exit(EXIT_SUCCESS);
}
