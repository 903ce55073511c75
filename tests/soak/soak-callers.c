/*
 * Callers of the soak, and the check of what they and the replicas saw.
 *
 * Each caller sends one request after the other to one of the gateways, on
 * connections that it keeps until the gateway closes them. A refusal that
 * promises that the request has not run is followed by another attempt with an
 * id of its own, on a new connection. The check reads the replicas' record of
 * runs while the callers run, and for a while afterwards, as a request that was
 * refused must not run later either.
 */
#include "fake_main.h"
#include "limits.h"
#include "resumed.h"
#include "soak.h"

#include <argtable2.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_USAGE 2

#define CHECK_US (200 * KS_USEC_PER_MSEC)
#define SETTLE_US (4 * KS_USEC_PER_SEC)
#define KEEP_IDLE_US (30 * KS_USEC_PER_SEC)
#define CONNECT_TIMEOUT_US (1 * KS_USEC_PER_SEC)
/* Wait for an answer beyond the deadline that the request states. */
#define PATIENCE_US (1500 * KS_USEC_PER_MSEC)
#define MIN_DEADLINE_MS 700
#define MAX_DEADLINE_MS 4000
#define MAX_THINK_US (20 * KS_USEC_PER_MSEC)
#define DEFAULT_RETRY_US (300 * KS_USEC_PER_MSEC)
#define MAX_ATTEMPTS 3
#define MAX_ATTEMPTS_BROKEN 4
/* The notice of a leaving replica in the settings of tests/system/site.sh. */
#define NOTICE_US (2000 * KS_USEC_PER_MSEC)
/* Requests on their way when a replica answered, and those that may come. */
#define GRACE_US (500 * KS_USEC_PER_MSEC)
#define MAX_ARRIVALS 2
/* Longest freeze, with some time to wake up. */
#define EXCUSE_US (4500 * KS_USEC_PER_MSEC)
/* Requests with the crashing part that may arrive later than this after
 * crashes.
 */
#define KNOWN_AFTER_CRASHES 5
/* The same for a request that comes again. */
#define REPEAT_KNOWN_AFTER_CRASHES 3
#define CONTACT_US (3000 * KS_USEC_PER_MSEC)
#define MAX_CRASHING_ARRIVALS 3
/* Of 100 streams, so many have that part. */
#define CRASHING_OF_100 5
/* Of 100 requests, so many are given up before their answer. */
#define GIVEN_UP_OF_100 4
/* With several versions, of 100 streams that may be resumed, so many break. */
#define BROKEN_OF_100 40
/* Where replicas break streams off, so many of 100 requests are streams. */
#define STREAMS_OF_100 50
/* Shared parts of prompts; with few of them, each is in too many streams that
 * break off, and is taken for a part that crashes replicas.
 */
#define SHARED_PARTS 4
#define SHARED_PARTS_BROKEN 200
/* Streams that callers resume for the share that goes on to be checked. */
#define MIN_RESUMED 12

/**
 * struct attempt - what is known of one request id
 * @sent_us: Unix microseconds
 * @status: of its answer; 0 without one
 * @promised: the answer promises that the request has not run
 * @cut: the connection ended before the end of the answer
 * @is_crashing: a part of its prompt crashes replicas
 * @is_repeat: it crashes replicas itself, and comes again with the same content
 */
struct attempt {
	GString *id;
	int64_t sent_us;
	int status;
	unsigned runs;
	unsigned gateway;
	bool promised;
	bool cut;
	bool is_crashing;
	bool is_repeat;
	bool reported;
};

struct soak;

/**
 * struct caller - sends one request at a time
 * @attempts: attempts of the current request so far
 * @class: its class, see soak.h
 * @stream: id of the attempt that brought the first event, empty before
 * @breaks: the caller closes the connection in the middle of the stream
 * @is_resuming: the attempt resumes a stream
 * @has_gone_on: it has brought bytes of it
 * @try: the attempts since the stream was new or broke off, where replicas
 *	break streams off
 * @leaves: the caller gives the attempt up early
 * @deadline_us: of the attempt, from when it was sent
 */
struct caller {
	struct soak *soak;
	ks_http_call_t call;
	ks_timer_t timer;
	struct attempt *attempt;
	unsigned attempts;
	char class;
	GString *stream;
	bool breaks;
	bool is_resuming;
	bool has_gone_on;
	struct resumed_try try;
	bool leaves;
	int64_t deadline_us;
	GString *body;
	GString *seal;
	GString *echo;
	int64_t retry_us;
};

/**
 * struct word - what a replica has told a gateway of itself
 * @leaves_us: when it first answered that it leaves, 0 before
 * @away_from_us, @away_until_us: the last time for which it asked to be left
 *	alone
 * @arrivals: requests that came within that time
 */
struct word {
	int64_t leaves_us;
	int64_t away_from_us;
	int64_t away_until_us;
	unsigned arrivals;
};

/**
 * struct crashes - what requests of a kind have done
 * @n: replicas that they have crashed
 * @known_us: when no entry in touch may send one any more, 0 before
 * @arrivals: requests that arrived nevertheless
 */
struct crashes {
	unsigned n;
	int64_t known_us;
	unsigned arrivals;
};

/**
 * struct soak - state of the program
 * @attempts: struct attempt by id
 * @words: struct word by replica and gateway
 * @excused_us: when each gateway was last killed, stopped or frozen
 * @limits: what replicas have stated, checked with @timed
 * @timed: check the rules that have a time bound, which a machine with other
 *	load can break
 * @record: what the replicas did, see enum soak_event
 * @rest: beginning of a line of which the end has not been read
 * @planned: only planned changes take place, so that no answer may be cut
 * @crashing: some prompts have a part that crashes replicas
 * @repeating: class of the request that crashes replicas itself, 0 for none
 * @versions: replicas have several versions of their software, and callers
 *	resume streams
 * @broken: replicas break streams off
 * @shares: how often streams go on, checked with @broken
 * @streams, @begun: new streams that may be resumed, and those that began
 * @resumed, @gone_on: the same for streams that callers resumed
 * @versions_rng: draws which break
 * @crashing_rng: draws them, without a change to the other draws of a seed
 * @parts, @repeats: what requests with that part have done, and requests that
 *	crash replicas themselves
 */
struct soak {
	ks_loop_t loop;
	ks_http_client_t client;
	ks_rng_t rng;
	ks_timer_t check;
	ks_timer_t end;
	GHashTable *attempts;
	GHashTable *words;
	int64_t *excused_us;
	GArray *gateways;
	struct caller *callers;
	unsigned n_callers;
	unsigned n_ids;
	unsigned seed;
	FILE *record;
	GString *rest;
	unsigned answered, promised, failed, cut, given_up, violations;
	bool stopping;
	bool planned;
	bool crashing;
	char repeating;
	bool versions;
	bool broken;
	struct resumed shares;
	unsigned streams, begun, resumed, gone_on;
	ks_rng_t versions_rng;
	ks_rng_t crashing_rng;
	struct crashes parts;
	struct crashes repeats;
	struct limits limits;
	bool timed;
};

static ks_str_t text_of(const GString *string)
{
	return (ks_str_t){ string->str, string->len };
}

static void report(struct soak *soak, const char *rule,
		   const struct attempt *attempt, const char *what)
{
	soak->violations++;
	printf("violation rule=%s request=%s gateway=%u status=%d runs=%u "
	       "cut=%d what=\"%s\"\n",
	       rule, attempt->id->str, attempt->gateway, attempt->status,
	       attempt->runs, attempt->cut, what);
	fflush(stdout);
}

/* Checks an attempt after it ran, was answered or was cut. */
static void check(struct soak *soak, struct attempt *attempt)
{
	bool once = !soak_may_repeat(soak_class(text_of(attempt->id)));

	if (attempt->reported)
		return;
	attempt->reported = true;
	if (once && attempt->promised && attempt->runs)
		report(soak, "REFUSED", attempt,
		       "ran and was refused as not run");
	else if (once && attempt->runs > 1)
		report(soak, "TWICE", attempt, "ran twice");
	else if (soak->planned && attempt->cut && attempt->runs)
		report(soak, "LOST", attempt, "cut by a planned change");
	else
		attempt->reported = false;
}

static struct word *find_word(struct soak *soak, const char *replica,
			      unsigned gateway)
{
	char *key = g_strdup_printf("%s %u", replica, gateway);
	struct word *word = g_hash_table_lookup(soak->words, key);

	if (word) {
		g_free(key);
		return word;
	}
	word = g_new0(struct word, 1);
	g_hash_table_insert(soak->words, key, word);
	return word;
}

static bool is_excused(const struct soak *soak, const struct attempt *attempt,
		       int64_t told_us)
{
	return soak->excused_us[attempt->gateway] > told_us - EXCUSE_US;
}

static void check_arrival(struct soak *soak, struct attempt *attempt,
			  struct word *word, int64_t now)
{
	if (now >= word->away_from_us && now <= word->away_until_us &&
	    ++word->arrivals > MAX_ARRIVALS &&
	    !is_excused(soak, attempt, word->away_from_us))
		report(soak, "BUDGET", attempt,
		       "arrived where a replica requested a back-off");
	if (word->leaves_us && attempt->sent_us > word->leaves_us + NOTICE_US &&
	    !is_excused(soak, attempt, word->leaves_us))
		report(soak, "DRAIN", attempt,
		       "arrived at a replica that said that it leaves");
}

static void check_crashing_arrival(struct soak *soak, struct attempt *attempt,
				   struct crashes *crashes, int64_t at_us)
{
	if (crashes->known_us && at_us > crashes->known_us &&
	    soak->excused_us[attempt->gateway] < at_us - EXCUSE_US &&
	    ++crashes->arrivals > MAX_CRASHING_ARRIVALS)
		report(soak, "BUDGET", attempt,
		       attempt->is_repeat
			       ? "arrived, and crashes replicas"
			       : "arrived with a part that crashes replicas");
}

static void count_crash(struct crashes *crashes, unsigned known_after,
			int64_t at_us)
{
	if (++crashes->n == known_after)
		crashes->known_us = at_us + CONTACT_US;
}

static void apply_event(struct soak *soak, char event, struct attempt *attempt,
			const char *replica, int64_t at_us, double value)
{
	struct word *word = find_word(soak, replica, attempt->gateway);

	switch (event) {
	case SOAK_RAN:
		attempt->runs++;
		check(soak, attempt);
		break;
	case SOAK_ARRIVED:
		if (soak->timed)
			check_arrival(soak, attempt, word, at_us);
		if (soak->timed &&
		    limits_arrive(&soak->limits, replica, attempt->gateway,
				  soak->excused_us[attempt->gateway] +
					  EXCUSE_US,
				  at_us))
			report(soak, "LIMIT", attempt,
			       "arrived beyond the limit of a replica");
		if (soak->timed && attempt->is_crashing)
			check_crashing_arrival(soak, attempt, &soak->parts,
					       at_us);
		if (soak->timed && attempt->is_repeat)
			check_crashing_arrival(soak, attempt, &soak->repeats,
					       at_us);
		break;
	case SOAK_CRASHED:
		if (attempt->is_repeat)
			count_crash(&soak->repeats, REPEAT_KNOWN_AFTER_CRASHES,
				    at_us);
		else
			count_crash(&soak->parts, KNOWN_AFTER_CRASHES, at_us);
		break;
	case SOAK_LIMITED:
		limits_state(&soak->limits, replica, attempt->gateway, value,
			     at_us);
		break;
	case SOAK_LEAVES:
		if (!word->leaves_us)
			word->leaves_us = at_us;
		break;
	case SOAK_AWAY:
		word->away_from_us = at_us + GRACE_US;
		word->away_until_us = at_us + (int64_t)(value * 1e6);
		word->arrivals = 0;
		break;
	default:
		g_assert_not_reached();
	}
}

static void read_line(struct soak *soak, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	struct attempt *attempt;
	int64_t at_us;

	g_assert_cmpuint(g_strv_length(words), ==, 5);
	at_us = g_ascii_strtoll(words[3], NULL, 10);
	attempt = g_hash_table_lookup(soak->attempts, words[1]);
	if (*words[0] == SOAK_SERVES) {
		resumed_note_serving(&soak->shares, words[2], words[1],
				     g_ascii_strtod(words[4], NULL), at_us);
	} else if (*words[0] == SOAK_STORE) {
		resumed_note_store(&soak->shares, *words[4] != '0', at_us);
	} else if (*words[0] == SOAK_EXCUSED) {
		soak->excused_us[atoi(words[1]) - 1] = at_us;
	} else if (attempt) {
		apply_event(soak, *words[0], attempt, words[2], at_us,
			    g_ascii_strtod(words[4], NULL));
	} else if (*words[0] == SOAK_RAN) {
		struct attempt unknown = { .id = g_string_new(words[1]),
					   .runs = 1 };

		report(soak, "UNASKED", &unknown, "ran and was not sent");
		g_string_free(unknown.id, TRUE);
	}
	g_strfreev(words);
}

static void read_record(struct soak *soak)
{
	char buf[65536];
	size_t n;

	clearerr(soak->record);
	while ((n = fread(buf, 1, sizeof(buf), soak->record)) > 0)
		for (size_t i = 0; i < n; i++) {
			if (buf[i] != '\n') {
				g_string_append_c(soak->rest, buf[i]);
				continue;
			}
			read_line(soak, soak->rest->str);
			g_string_truncate(soak->rest, 0);
		}
}

static void on_check(void *ctx)
{
	struct soak *soak = ctx;

	read_record(soak);
	ks_timer_set(&soak->check, CHECK_US);
}

static void start_attempt(struct caller *caller);

static void on_think(void *ctx)
{
	struct caller *caller = ctx;
	static const char classes[] = { SOAK_BOOK, SOAK_BOOK,	SOAK_BOOK,
					SOAK_READ, SOAK_ADVISE, SOAK_ADVISE,
					SOAK_NOTES };

	if (caller->soak->stopping)
		return;
	if (!caller->attempts)
		caller->class = classes[ks_rng_below(&caller->soak->rng,
						     sizeof(classes))];
	if (!caller->attempts && caller->soak->broken &&
	    ks_rng_below(&caller->soak->versions_rng, 100) < STREAMS_OF_100)
		caller->class = SOAK_NOTES;
	start_attempt(caller);
}

static void wait_for(struct caller *caller, int64_t us)
{
	ks_timer_clear(&caller->timer);
	ks_timer_init(&caller->timer, &caller->soak->loop, on_think, caller);
	ks_timer_set(&caller->timer, us);
}

static unsigned max_attempts(const struct soak *soak)
{
	return soak->broken ? MAX_ATTEMPTS_BROKEN : MAX_ATTEMPTS;
}

/* Notes the gateway of an attempt that has ended or brought bytes. */
static void note_attempt(struct caller *caller)
{
	struct soak *soak = caller->soak;

	if (!soak->broken || !caller->try.is_open)
		return;
	read_record(soak);
	resumed_note_attempt(&caller->try,
			     soak->excused_us[caller->attempt->gateway],
			     caller->attempt->sent_us);
}

static void close_try(struct caller *caller, bool is_served)
{
	resumed_close(&caller->soak->shares, &caller->try, is_served,
		      g_get_real_time());
}

static void next_request(struct caller *caller)
{
	close_try(caller, false);
	caller->attempts = 0;
	caller->is_resuming = false;
	g_string_truncate(caller->stream, 0);
	g_string_truncate(caller->body, 0);
	wait_for(caller, 1 + ks_rng_below(&caller->soak->rng, MAX_THINK_US));
}

/* Leaves whole events in the body, and returns whether there are any. */
static bool keep_whole_events(struct caller *caller)
{
	const char *end = g_strrstr(caller->body->str, "\n\n");

	g_string_truncate(caller->body,
			  end ? (gsize)(end + 2 - caller->body->str) : 0);
	return end != NULL;
}

/* Returns the version of the software that began a stream. */
static char *software_of(const char *body)
{
	const char *at = strstr(body, " at ");

	return at ? g_strndup(at + 4, strcspn(at + 4, "\n")) : g_strdup("");
}

/* Resumes a stream of which the caller has whole events; returns whether. */
static bool resume_stream(struct caller *caller)
{
	if (!caller->soak->versions || caller->class != SOAK_NOTES ||
	    !keep_whole_events(caller) ||
	    ++caller->attempts >= max_attempts(caller->soak))
		return false;
	if (!caller->stream->len)
		g_string_assign(caller->stream, caller->attempt->id->str);
	caller->is_resuming = true;
	if (caller->soak->broken && !caller->try.is_open) {
		char *software = software_of(caller->body->str);

		resumed_open(&caller->try, software, g_get_real_time());
		g_free(software);
	}
	wait_for(caller,
		 1 + ks_rng_below(&caller->soak->versions_rng, MAX_THINK_US));
	return true;
}

static void on_give_up(void *ctx)
{
	struct caller *caller = ctx;

	ks_http_call_cancel(&caller->call);
	caller->soak->given_up++;
	note_attempt(caller);
	caller->try.is_open &= !caller->leaves;
	next_request(caller);
}

static void on_head(void *ctx, int status, const ks_header_t *headers, size_t n)
{
	struct caller *caller = ctx;
	ks_str_t seal = ks_header_value(headers, n, "response-seal");
	ks_str_t echo = ks_header_value(headers, n, "request-id");
	ks_str_t retry = ks_header_value(headers, n, "retry-after");
	char *text = ks_str_dup(retry);

	caller->attempt->status = status;
	caller->retry_us = retry.len
				   ? (int64_t)(g_ascii_strtod(text, NULL) * 1e6)
				   : DEFAULT_RETRY_US;
	/* These callers wait for a third of their time at most. */
	if (caller->soak->broken)
		caller->retry_us =
			MIN(caller->retry_us, caller->deadline_us / 3);
	g_string_append_len(caller->seal, seal.data, (gssize)seal.len);
	g_string_append_len(caller->echo, echo.data, (gssize)echo.len);
	g_free(text);
}

static void on_body(void *ctx, ks_str_t data)
{
	struct caller *caller = ctx;
	struct soak *soak = caller->soak;

	g_string_append_len(caller->body, data.data, (gssize)data.len);
	if (caller->class != SOAK_NOTES || caller->attempt->status / 100 != 2)
		return;
	if (!caller->has_gone_on) {
		caller->has_gone_on = true;
		soak->begun += !caller->is_resuming;
		soak->gone_on += caller->is_resuming;
		note_attempt(caller);
		close_try(caller, true);
	}
	if (!caller->breaks || !strstr(caller->body->str, "\n\n"))
		return;
	ks_http_call_cancel(&caller->call);
	soak->given_up++;
	if (!resume_stream(caller))
		next_request(caller);
}

static bool is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A cut stream has whole events in their order, and no event twice. */
static void check_success(const struct caller *caller, bool complete)
{
	ks_str_t id = text_of(caller->attempt->id);
	GString *seal = g_string_new(NULL), *body = g_string_new(NULL);
	char *software = software_of(caller->body->str);

	soak_seal(id, seal);
	soak_body(caller->stream->len ? text_of(caller->stream) : id, software,
		  body);
	if (complete && (!g_string_equal(seal, caller->seal) ||
			 !ks_str_equal(id, text_of(caller->echo)) ||
			 (!soak_is_stream(caller->class) &&
			  !g_string_equal(body, caller->body))))
		report(caller->soak, "MIXED", caller->attempt,
		       "an answer that is not the request's own");
	else if (soak_is_stream(caller->class) &&
		 (complete ? !g_string_equal(body, caller->body)
			   : !g_str_has_prefix(body->str, caller->body->str)))
		report(caller->soak, "ORDER", caller->attempt,
		       "a piece is missing, comes twice, or is of another "
		       "version");
	g_free(software);
	g_string_free(seal, TRUE);
	g_string_free(body, TRUE);
}

static void on_done(void *ctx, ks_http_result_t result)
{
	struct caller *caller = ctx;
	struct soak *soak = caller->soak;
	struct attempt *attempt = caller->attempt;
	bool complete = result == KS_HTTP_COMPLETE;

	ks_timer_clear(&caller->timer);
	note_attempt(caller);
	attempt->promised = complete && is_promise(attempt->status);
	attempt->cut = !complete;
	if (attempt->status / 100 == 2)
		check_success(caller, complete);
	soak->answered += complete && attempt->status / 100 == 2;
	soak->promised += attempt->promised;
	soak->failed +=
		complete && attempt->status / 100 != 2 && !attempt->promised;
	soak->cut += attempt->cut;
	check(soak, attempt);
	if (attempt->cut && attempt->status / 100 == 2 && resume_stream(caller))
		return;
	if (attempt->promised && ++caller->attempts < max_attempts(soak))
		wait_for(caller, caller->retry_us);
	else
		next_request(caller);
}

static const ks_http_events_t events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static struct attempt *new_attempt(struct soak *soak, char class)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->id = g_string_new(NULL);
	g_string_printf(attempt->id, "s%u-%u-%c", soak->seed, ++soak->n_ids,
			class);
	attempt->gateway = ks_rng_below(&soak->rng, soak->gateways->len);
	g_hash_table_insert(soak->attempts, attempt->id->str, attempt);
	return attempt;
}

static const char *path_of(char class, bool is_repeat)
{
	if (is_repeat)
		return class == SOAK_READ ? "/read" SOAK_CRASHING_PATH
					  : "/book" SOAK_CRASHING_PATH;
	switch (class) {
	case SOAK_BOOK:
		return "/book/x";
	case SOAK_READ:
		return "/read/x";
	case SOAK_ADVISE:
		return "/advise/x";
	default:
		return "/notes/x";
	}
}

/* Counts an attempt at a stream, and draws whether the caller breaks it. */
static void count_stream(struct caller *caller)
{
	struct soak *soak = caller->soak;

	caller->has_gone_on = false;
	caller->breaks = false;
	if (caller->class != SOAK_NOTES)
		return;
	if (soak->broken && !caller->attempts)
		resumed_open(&caller->try, "", g_get_real_time());
	soak->streams += !caller->is_resuming;
	soak->resumed += caller->is_resuming;
	caller->breaks = soak->versions && !soak->broken &&
			 ks_rng_below(&soak->versions_rng, 100) < BROKEN_OF_100;
}

static void start_attempt(struct caller *caller)
{
	struct soak *soak = caller->soak;
	unsigned before = caller->attempts ? caller->attempt->gateway : 0;
	struct attempt *attempt = new_attempt(soak, caller->class);
	unsigned deadline_ms =
		MIN_DEADLINE_MS +
		ks_rng_below(&soak->rng, MAX_DEADLINE_MS - MIN_DEADLINE_MS);
	char deadline[16], parts[64], after[16] = "";
	bool leaves = ks_rng_below(&soak->rng, 100) < GIVEN_UP_OF_100;
	ks_http_request_t request = {
		.method = caller->class == SOAK_READ ? KS_STR("GET")
						     : KS_STR("POST"),
		.target = ks_str_from(path_of(caller->class, false)),
		.host = KS_STR("shop.example"),
		.body = caller->class == SOAK_READ ? KS_STR("")
						   : KS_STR("value=1"),
		.reuse = caller->attempts == 0,
		.no_retry = true,
	};
	ks_header_t headers[] = {
		{ KS_STR("request-id"), text_of(attempt->id) },
		{ KS_STR("deadline-ms"), { deadline, 0 } },
		{ KS_STR("prompt-prefix"), { parts, 0 } },
		{ KS_STR("resumes"), text_of(caller->stream) },
		{ KS_STR("last-event-id"), { after, 0 } },
	};

	caller->leaves = leaves;
	caller->deadline_us = deadline_ms * KS_USEC_PER_MSEC;
	if (soak->broken && caller->is_resuming && attempt->gateway == before)
		attempt->gateway = (before + 1) % soak->gateways->len;
	request.address =
		g_array_index(soak->gateways, ks_address_t, attempt->gateway);
	headers[1].value.len = (size_t)g_snprintf(deadline, sizeof(deadline),
						  "%u", deadline_ms);
	if (soak->repeating && caller->class == soak->repeating &&
	    ks_rng_below(&soak->crashing_rng, 100) < CRASHING_OF_100) {
		attempt->is_repeat = true;
		request.target = ks_str_from(path_of(caller->class, true));
	}
	attempt->is_crashing =
		soak->crashing && soak_is_stream(caller->class) &&
		ks_rng_below(&soak->crashing_rng, 100) < CRASHING_OF_100;
	headers[2].value.len = (size_t)g_snprintf(
		parts, sizeof(parts), "a%u:9000%s,b%u:3000",
		ks_rng_below(&soak->rng,
			     soak->broken ? SHARED_PARTS_BROKEN : SHARED_PARTS),
		attempt->is_crashing ? "," SOAK_CRASHING_PART ":100" : "",
		soak->n_ids);
	request.headers = headers;
	request.n_headers = soak_is_stream(caller->class) ? 3 : 2;
	if (caller->is_resuming) {
		const char *id = g_strrstr(caller->body->str, "id: ");

		g_strlcpy(after, id + strlen("id: "), sizeof(after));
		headers[4].value.len = strcspn(after, "\n");
		request.n_headers = 5;
	}
	count_stream(caller);
	attempt->sent_us = g_get_real_time();
	caller->attempt = attempt;
	if (!caller->is_resuming)
		g_string_truncate(caller->body, 0);
	g_string_truncate(caller->seal, 0);
	g_string_truncate(caller->echo, 0);
	ks_http_call_start(&caller->call, &soak->client, &request, &events,
			   caller);
	ks_timer_clear(&caller->timer);
	ks_timer_init(&caller->timer, &soak->loop, on_give_up, caller);
	ks_timer_set(&caller->timer,
		     leaves ? 1 + ks_rng_below(&soak->rng, 300000)
			    : deadline_ms * KS_USEC_PER_MSEC + PATIENCE_US);
}

static void on_settled(void *ctx)
{
	ks_loop_stop(&((struct soak *)ctx)->loop);
}

static void on_end(void *ctx)
{
	struct soak *soak = ctx;

	soak->stopping = true;
	ks_timer_clear(&soak->end);
	ks_timer_init(&soak->end, &soak->loop, on_settled, soak);
	ks_timer_set(&soak->end, SETTLE_US);
}

static void start_callers(struct soak *soak)
{
	soak->callers = g_new0(struct caller, soak->n_callers);
	for (unsigned i = 0; i < soak->n_callers; i++) {
		struct caller *caller = &soak->callers[i];

		caller->soak = soak;
		caller->body = g_string_new(NULL);
		caller->stream = g_string_new(NULL);
		caller->seal = g_string_new(NULL);
		caller->echo = g_string_new(NULL);
		ks_timer_init(&caller->timer, &soak->loop, on_think, caller);
		next_request(caller);
	}
}

static bool parse_gateways(struct soak *soak, const char *list)
{
	char **texts = g_strsplit(list, ",", -1);
	bool ok = true;

	soak->gateways = g_array_new(FALSE, FALSE, sizeof(ks_address_t));
	for (char **text = texts; *text && ok; text++) {
		ks_address_t address;

		ok = ks_address_parse(&address, ks_str_from(*text), NULL);
		g_array_append_val(soak->gateways, address);
	}
	g_strfreev(texts);
	return ok;
}

/* With planned changes only, two replicas of each version serve. */
static void check_resumed(struct soak *soak)
{
	if (!soak->planned || !soak->timed || soak->resumed < MIN_RESUMED ||
	    !soak->streams)
		return;
	if (2.0 * soak->gone_on / soak->resumed >=
	    1.0 * soak->begun / soak->streams)
		return;
	soak->violations++;
	printf("violation rule=LOST gone_on=%u of=%u begun=%u of=%u "
	       "what=\"streams that callers resume do not go on\"\n",
	       soak->gone_on, soak->resumed, soak->begun, soak->streams);
}

static int run(struct soak *soak, int seconds)
{
	soak->attempts = g_hash_table_new(g_str_hash, g_str_equal);
	limits_init(&soak->limits);
	resumed_init(&soak->shares);
	soak->words = g_hash_table_new(g_str_hash, g_str_equal);
	soak->excused_us = g_new0(int64_t, soak->gateways->len);
	soak->rest = g_string_new(NULL);
	ks_rng_init(&soak->rng, soak->seed);
	ks_rng_init(&soak->crashing_rng, soak->seed);
	ks_rng_init(&soak->versions_rng, soak->seed);
	ks_loop_init(&soak->loop, ks_clock_monotonic());
	ks_http_client_init(&soak->client, &soak->loop);
	soak->client.max_idle_us = KEEP_IDLE_US;
	soak->client.connect_timeout_us = CONNECT_TIMEOUT_US;
	ks_timer_init(&soak->check, &soak->loop, on_check, soak);
	ks_timer_set(&soak->check, CHECK_US);
	ks_timer_init(&soak->end, &soak->loop, on_end, soak);
	ks_timer_set(&soak->end, seconds * KS_USEC_PER_SEC);
	start_callers(soak);
	ks_loop_run(&soak->loop);
	read_record(soak);
	check_resumed(soak);
	if (soak->broken)
		soak->violations += resumed_check(&soak->shares);
	printf("requests=%u answered=%u refused=%u failed=%u cut=%u "
	       "given_up=%u begun=%u/%u gone_on=%u/%u violations=%u\n",
	       soak->n_ids, soak->answered, soak->promised, soak->failed,
	       soak->cut, soak->given_up, soak->begun, soak->streams,
	       soak->gone_on, soak->resumed, soak->violations);
	fflush(stdout);
	/* Nothing was checked if nothing was served. */
	_exit(soak->violations || !soak->answered ? EXIT_FAILURE
						  : EXIT_SUCCESS);
}

int main(int argc, char **argv)
{
	struct arg_str *gateways = arg_str1(NULL, "gateways", "IP:PORT,...",
					    "addresses of the gateways");
	struct arg_str *record =
		arg_str1(NULL, "record", "FILE", "record of runs");
	struct arg_int *seconds =
		arg_int1(NULL, "seconds", "S", "how long to send requests");
	struct arg_int *callers =
		arg_int1(NULL, "callers", "N", "number of callers");
	struct arg_int *seed = arg_int1(NULL, "seed", "N", "seed");
	struct arg_lit *planned =
		arg_lit0(NULL, "planned", "only planned changes take place");
	struct arg_lit *timed = arg_lit0(
		NULL, "timed", "check the rules that have a time bound");
	struct arg_lit *crashing =
		arg_lit0(NULL, "crashing",
			 "some prompts have a part that crashes replicas");
	struct arg_lit *repeating =
		arg_lit0(NULL, "repeating",
			 "a request that comes again crashes replicas");
	struct arg_lit *versions =
		arg_lit0(NULL, "versions", "callers resume streams");
	struct arg_lit *broken =
		arg_lit0(NULL, "broken-streams", "replicas break streams off");
	struct arg_end *end = arg_end(10);
	void *table[] = { gateways,  record,   seconds, callers,
			  seed,	     planned,  timed,	crashing,
			  repeating, versions, broken,	end };
	struct soak soak = { .n_ids = 0 };

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "soak-callers");
		return EXIT_USAGE;
	}
	soak.record = fopen(record->sval[0], "r");
	if (!soak.record || !parse_gateways(&soak, gateways->sval[0])) {
		fprintf(stderr, "soak-callers: --record or --gateways: %s\n",
			g_strerror(errno));
		return EXIT_USAGE;
	}
	soak.n_callers = (unsigned)callers->ival[0];
	soak.seed = (unsigned)seed->ival[0];
	soak.planned = planned->count > 0;
	soak.timed = timed->count > 0;
	soak.crashing = crashing->count > 0;
	soak.versions = versions->count > 0;
	soak.broken = broken->count > 0;
	if (repeating->count)
		soak.repeating = soak.seed % 2 ? SOAK_READ : SOAK_BOOK;
	return run(&soak, seconds->ival[0]);
}
