/*
 * Store of the soak, as a process: the configuration, the rows of the replicas,
 * which lapse when their owner is silent, and the rows of the gateways.
 *
 * SIGUSR1 makes it answer 503, and the next one serve again; SIGURG makes it
 * answer nothing, and the next one serve again. SIGUSR2 publishes
 * a new version of the configuration. After SIGHUP it is away for a moment and
 * returns from an older copy, and the operator writes the configuration again.
 */
#include "fake_main.h"
#include "fake_rows.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define EXIT_USAGE 2

#define SCAN_US (500 * KS_USEC_PER_MSEC)
/* Three heartbeats of a replica. */
#define LAPSE_US (3600 * KS_USEC_PER_MSEC)
#define VERSION_STEP 3

/* Copies are taken with each scan, and kept for up to 30 s. */
#define MAX_COPIES 60

/* How long it is away, and until the operator writes again after that. */
#define RETURN_US (300 * KS_USEC_PER_MSEC)
#define REWRITE_US (1000 * KS_USEC_PER_MSEC)

/*
 * One route of each kind. The timeout in force alternates between versions, and
 * each version adds a route.
 */
#define ROUTE(name, kind, timeout, attempts, more, service)                    \
	"{\"name\":\"" name "\",\"host\":\"shop.example\",\"prefix\":\"/" name \
	"/\",\"kind\":\"" kind "\",\"timeout-ms\":" timeout                    \
	",\"max-attempts\":" attempts more ",\"service\":\"" service "\"}"
#define CONFIG                                                                                  \
	"{\"version\":%u,\"services\":[{\"name\":\"app\"},{\"name\":"                           \
	"\"llm\",\"engine\":{\"slots\":8,\"kv-token-bytes\":1000,"                              \
	"\"link-mbps\":1000.0,\"handle-ttl-s\":5.0,\"kv-capacity-tokens\":"                     \
	"400000}}],\"routes\":[" ROUTE("read", "idempotent", "4000", "3", "", "app") "," ROUTE( \
		"book", "non_idempotent", "%u", "1", "",                                        \
		"app") "," ROUTE("advise", "streaming", "6000", "1", "",                        \
				 "llm") "," ROUTE("notes", "streaming",                         \
						  "6000", "%d",                                 \
						  ",\"resumable\":true",                        \
						  "llm") "," ROUTE("extra-%u",                  \
								   "idempotent",                \
								   "4000",                      \
								   "2", "",                     \
								   "app") "]}"
#define MAX_ATTEMPTS 3

/**
 * struct seen - the last change of a row of a replica
 */
struct seen {
	int64_t revision;
	int64_t at_us;
};

/* Ages of the copies that it returns from, in scans, one after the other. */
static const unsigned copy_ages[] = { 4, 1, 10, 0, 24, 2, 59, 6 };

/**
 * struct store - state of the process
 * @max_attempts: of streams that may be resumed
 * @copies: array of struct fake_copy, the newest one last
 * @returning: fires when the store returns
 * @rewrite: fires when the operator writes the configuration again
 */
struct store {
	ks_loop_t loop;
	struct fake_rows rows;
	ks_timer_t scan;
	ks_watch_t watch;
	int signal_fd;
	unsigned version;
	int max_attempts;
	GHashTable *seen;
	GPtrArray *copies;
	ks_timer_t returning;
	ks_timer_t rewrite;
	unsigned n_returns;
};

static void put_config(struct store *store)
{
	char *config;

	config = g_strdup_printf(
		CONFIG, store->version, store->version % 2 ? 4000U : 3000U,
		store->max_attempts, store->version, store->version);
	fake_put(&store->rows, "op", "config", config);
	g_free(config);
}

static void publish(struct store *store)
{
	store->version += VERSION_STEP;
	put_config(store);
	fprintf(stderr, "version %u\n", store->version);
}

static void on_rewrite(void *ctx)
{
	put_config(ctx);
}

static void take_copy(struct store *store)
{
	g_ptr_array_add(store->copies, fake_copy_new(&store->rows));
	if (store->copies->len > MAX_COPIES)
		g_ptr_array_remove_index(store->copies, 0);
}

/* The rows that it brings back have not lapsed yet. */
static void on_return(void *ctx)
{
	struct store *store = ctx;
	unsigned age = copy_ages[store->n_returns++ % G_N_ELEMENTS(copy_ages)];
	guint last = store->copies->len - 1;

	g_ptr_array_set_size(store->copies, (gint)(last - MIN(age, last) + 1));
	fake_return_to(&store->rows,
		       store->copies->pdata[store->copies->len - 1]);
	g_hash_table_remove_all(store->seen);
	store->rows.mode = FAKE_AVAILABLE;
	ks_timer_set(&store->rewrite, REWRITE_US);
	fprintf(stderr, "era %d, from a copy %u scans old\n",
		(int)store->rows.era, age);
}

/* Removes the first row that has lapsed, and returns whether there was one. */
static bool remove_lapsed(struct store *store)
{
	int64_t now = ks_loop_now(&store->loop);

	for (guint i = 0; i < store->rows.rows->len; i++) {
		const struct fake_row *row = store->rows.rows->pdata[i];
		struct seen *seen = g_hash_table_lookup(store->seen, row->key);

		if (row->removed || strcmp(row->table, "servers") != 0)
			continue;
		if (!seen) {
			seen = g_new0(struct seen, 1);
			g_hash_table_insert(store->seen, g_strdup(row->key),
					    seen);
		}
		if (seen->revision != row->revision) {
			*seen = (struct seen){ row->revision, now };
		} else if (now - seen->at_us > LAPSE_US) {
			char *key = g_strdup(row->key);

			fake_remove(&store->rows, "servers", key);
			g_free(key);
			return true;
		}
	}
	return false;
}

static void on_scan(void *ctx)
{
	struct store *store = ctx;

	while (remove_lapsed(store))
		continue;
	take_copy(store);
	ks_timer_set(&store->scan, SCAN_US);
}

static void on_signal(void *ctx)
{
	struct store *store = ctx;
	struct signalfd_siginfo info;

	while (read(store->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		enum fake_mode away = info.ssi_signo == SIGURG
					      ? FAKE_UNRESPONSIVE
					      : FAKE_UNAVAILABLE;

		if (info.ssi_signo == SIGUSR2) {
			publish(store);
			continue;
		}
		if (info.ssi_signo == SIGHUP) {
			store->rows.mode = FAKE_UNAVAILABLE;
			ks_timer_set(&store->returning, RETURN_US);
			continue;
		}
		store->rows.mode = store->rows.mode == FAKE_AVAILABLE
					   ? away
					   : FAKE_AVAILABLE;
		fprintf(stderr, "the store is %s\n",
			store->rows.mode == FAKE_AVAILABLE ? "available"
							   : "unavailable");
	}
}

static bool watch_signals(struct store *store)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	sigaddset(&set, SIGUSR2);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGURG);
	sigprocmask(SIG_BLOCK, &set, NULL);
	store->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	return ks_watch_init(&store->watch, &store->loop, store->signal_fd,
			     on_signal, store, NULL);
}

int main(int argc, char **argv)
{
	struct arg_int *attempts =
		arg_int0(NULL, "max-attempts", "N",
			 "replicas that a resumable stream is sent to");
	struct arg_end *end = arg_end(1);
	void *table[] = { attempts, end };
	struct fake_signals signals;
	struct store store = { .max_attempts = MAX_ATTEMPTS };

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "soak-store");
		return EXIT_USAGE;
	}
	if (attempts->count)
		store.max_attempts = attempts->ival[0];
	ks_loop_init(&store.loop, ks_clock_monotonic());
	if (!fake_signals_init(&signals, &store.loop) || !watch_signals(&store))
		return EXIT_FAILURE;
	store.seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store.copies = g_ptr_array_new_with_free_func(fake_copy_free);
	fake_rows_init(&store.rows, &store.loop);
	store.rows.era = 1;
	publish(&store);
	take_copy(&store);
	ks_timer_init(&store.returning, &store.loop, on_return, &store);
	ks_timer_init(&store.rewrite, &store.loop, on_rewrite, &store);
	ks_timer_init(&store.scan, &store.loop, on_scan, &store);
	ks_timer_set(&store.scan, SCAN_US);
	fprintf(stderr, "listens on 127.0.0.1:%u\n", store.rows.server.port);
	ks_loop_run(&store.loop);
	/* Exiting closes the open connections. */
	_exit(EXIT_SUCCESS);
}
