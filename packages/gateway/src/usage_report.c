/*
 * Reports the usage of each window while holding the lease for duties. Load
 * pattern: one report of up to 970 organisations each few seconds, to a
 * platform that may be slow, refuse calls or be away, by a holder that may be
 * killed or frozen, or cut off from the store, between any two steps.
 *
 * A report is sealed before it is sent: its exact bytes are written to a row of
 * the store, conditional on the row's version. Whoever sends the report of a
 * window, now or later, sends these bytes.
 *
 * A store that returns from an older copy may have lost what was sealed last.
 * The row names the era of the store in which it was written. In a later one,
 * only a process that held the lease until the store returned knows all that
 * was sealed, and tells the others. Without it, the windows that may have been
 * reported are abandoned.
 */
#include "usage_row.h"

#define ROW_KEY "usage/reports"

/* Sealing and sending need not be faster: reports are due after seconds. */
#define TICK_US (200 * KS_USEC_PER_MSEC)

#define BACKOFF_BASE_US (100 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * KS_USEC_PER_SEC)

/* A window is abandoned after this multiple of the time until it is due. */
#define ABANDON_FACTOR 2

struct report_metrics {
	ks_counter_t *holder;
	ks_counter_t *held_ms;
	ks_counter_t *next;
	ks_counter_t *oldest_ms;
	ks_counter_t *sealed;
	ks_counter_t *sent;
	ks_counter_t *acked;
	ks_counter_t *abandoned;
	ks_counter_t *refused_429;
	ks_counter_t *refused_other;
	ks_counter_t *unanswered;
};

/**
 * struct ks_usage_report - reports the usage while holding the lease
 * @row_known: @row and @etag are as last read or written
 * @etag: empty if there is no row
 * @era: of the store when the row was read
 * @returned_us: when the store last returned from an older copy, 0 if it has
 *	not since this process started
 * @store_pending: a store operation will call back
 * @store_due_us: earliest time of the next store operation
 * @called: window whose report is being sent, KS_USAGE_NONE for none
 * @call_due_us: earliest time of the next call
 * @freed: freed by the owner; the pending callback frees the memory
 */
struct ks_usage_report {
	ks_loop_t *loop;
	ks_usage_t *usage;
	ks_duty_lease_t *lease;
	ks_duty_user_t user;
	const ks_duty_driver_t *driver;
	ks_store_t *store;
	ks_rng_t *rng;
	struct report_metrics metrics;
	ks_timer_t timer;
	struct usage_row row;
	bool row_known;
	GString *etag;
	uint64_t era;
	int64_t returned_us;
	bool store_pending;
	int64_t store_due_us;
	ks_backoff_t store_backoff;
	int64_t called;
	int64_t call_due_us;
	ks_backoff_t call_backoff;
	bool freed;
};

static int64_t age_us(const ks_usage_report_t *report, int64_t window)
{
	return ks_usage_age_us(report->usage, window,
			       ks_loop_now(report->loop));
}

/* Returns the oldest window that can still be reported. */
static int64_t oldest_window(const ks_usage_report_t *report)
{
	int64_t true_us =
		ks_usage_true_us(report->usage, ks_loop_now(report->loop));

	return (true_us - ABANDON_FACTOR * report->usage->late_us) /
	       report->usage->window_us;
}

static void destroy(ks_usage_report_t *report)
{
	usage_row_deinit(&report->row);
	g_string_free(report->etag, TRUE);
	g_free(report);
}

/*
 * Return: false if the owner has freed @report, whose memory is then released.
 */
static bool end_operation(ks_usage_report_t *report)
{
	bool freed = report->freed;

	report->store_pending = false;
	if (freed)
		destroy(report);
	return !freed;
}

static void delay_store(ks_usage_report_t *report)
{
	report->store_due_us =
		ks_loop_now(report->loop) +
		ks_backoff_next(&report->store_backoff, report->rng);
}

static void set_etag(ks_usage_report_t *report, ks_str_t etag)
{
	g_string_truncate(report->etag, 0);
	if (etag.len)
		g_string_append_len(report->etag, etag.data, (gssize)etag.len);
}

/*
 * Returns since when this process knows of the store's present era, or a later
 * time.
 */
static int64_t era_known_since(const ks_usage_report_t *report)
{
	if (report->returned_us)
		return report->returned_us;
	/* The configuration has been read from the store. */
	if (report->usage->active_since_us)
		return report->usage->active_since_us;
	return ks_loop_now(report->loop);
}

/*
 * Gives up the windows that may have been sealed in an earlier era of the store
 * without a trace in the row.
 */
static void give_up_earlier_eras(ks_usage_report_t *report)
{
	ks_usage_t *usage = report->usage;
	int64_t now = ks_loop_now(report->loop);
	int64_t ago_us = now - era_known_since(report);
	int64_t running =
		(ks_usage_true_us(usage, now) - ago_us) / usage->window_us;

	if (report->row.era == report->era || usage->sealed_era >= report->era)
		return;
	/* The clocks of those that sealed it may have been ahead. */
	usage->sealed = MAX(usage->sealed, running + 1);
	usage->sealed_era = report->era;
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "the row with the usage reports is missing or of an earlier era, "
	       "windows that may have been reported are abandoned "
	       "row_era=%" PRIu64 " era=%" PRIu64 " before=%" PRId64,
	       report->row.era, report->era, running + 1);
}

static void on_read(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_usage_report_t *report = ctx;

	if (!end_operation(report))
		return;
	if (outcome != KS_STORE_DONE) {
		delay_store(report);
		return;
	}
	if (!usage_row_parse(&report->row,
			     row->etag.len ? row->value : KS_STR(""))) {
		ks_log(KS_LOG_ORDER, KS_LOG_ERROR,
		       "the row with the usage reports is malformed bytes=%zu",
		       row->value.len);
		delay_store(report);
		return;
	}
	ks_backoff_reset(&report->store_backoff);
	set_etag(report, row->etag);
	report->era = row->era;
	report->row_known = true;
	if (report->row.next != KS_USAGE_NONE)
		report->usage->sealed =
			MAX(report->usage->sealed, report->row.next);
	give_up_earlier_eras(report);
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "read the row with the usage reports next=%" PRId64
	       " reports=%u era=%" PRIu64 " row_era=%" PRIu64,
	       report->row.next, report->row.reports.length, report->era,
	       report->row.era);
}

static void read_row(ks_usage_report_t *report)
{
	report->store_pending = true;
	report->store->get(report->store->impl, KS_STR(ROW_KEY), on_read,
			   report);
}

static void abandon(const ks_usage_report_t *report, int64_t first, int64_t n,
		    const char *why)
{
	if (!n)
		return;
	ks_counter_add(report->metrics.abandoned, n);
	ks_log(KS_LOG_ORDER, KS_LOG_WARN,
	       "abandon the usage of windows, %s first=%" PRId64
	       " windows=%" PRId64,
	       why, first, n);
}

static void adopt_write(ks_usage_report_t *report)
{
	struct usage_row *row = &report->row;
	const struct usage_report *first = g_queue_peek_head(&row->reports);
	int64_t window = first ? first->window : row->next;

	ks_counter_add(report->metrics.sealed, row->sealing.length);
	abandon(report, window, usage_row_adopt_write(row),
		"the platform has not accepted their reports in time");
	report->usage->sealed = MAX(report->usage->sealed, row->next);
}

static void send_next(ks_usage_report_t *report);

static void on_written(void *ctx, ks_store_outcome_t outcome,
		       const ks_row_t *row)
{
	ks_usage_report_t *report = ctx;

	if (!end_operation(report))
		return;
	if (outcome == KS_STORE_DONE) {
		ks_backoff_reset(&report->store_backoff);
		set_etag(report, row->etag);
		adopt_write(report);
		send_next(report);
		return;
	}
	usage_row_drop_write(&report->row);
	/* It may have taken effect, or another holder may have written. */
	if (outcome != KS_STORE_UNREACHABLE)
		report->row_known = false;
	delay_store(report);
}

static void log_sealed(const ks_usage_report_t *report, int64_t window,
		       const GArray *counts)
{
	uint64_t sum = 0;

	for (guint i = 0; i < counts->len; i++)
		sum += g_array_index(counts, ks_usage_count_t, i).count;
	ks_log(KS_LOG_ORDER, KS_LOG_INFO,
	       "seal the usage of a window window=%" PRId64
	       " organisations=%u requests=%" PRIu64 " age_ms=%" PRId64,
	       window, counts->len, sum,
	       age_us(report, window) / KS_USEC_PER_MSEC);
}

/* Returns the body of the report of a window, NULL if it is too early. */
static char *body_of(ks_usage_report_t *report, int64_t window)
{
	const struct usage_report *known = usage_row_find(&report->row, window);
	GArray *counts;
	char *body;

	if (known)
		return g_strdup(known->body);
	if (!ks_usage_is_complete(report->usage, window,
				  ks_loop_now(report->loop)))
		return NULL;
	counts = ks_usage_sum(report->usage, window);
	log_sealed(report, window, counts);
	body = report->driver->format_usage(
		report->driver->impl, window,
		(const ks_usage_count_t *)(void *)counts->data, counts->len);
	g_array_free(counts, TRUE);
	return body;
}

/* Skips windows that cannot be reported any more. */
static int64_t skip_lost(ks_usage_report_t *report, int64_t next)
{
	int64_t oldest = oldest_window(report);

	if (next < oldest) {
		abandon(report, next, oldest - next, "they are too old");
		next = oldest;
	}
	/* The row of an older copy of the store lacks what was sent. */
	while (next < report->usage->sealed &&
	       !usage_row_find(&report->row, next)) {
		abandon(report, next, 1, "they have or may have been sealed");
		next++;
	}
	return next;
}

/*
 * Adds the windows that can be sealed to the row's text, and returns the next
 * one after them.
 */
static int64_t add_sealed(ks_usage_report_t *report, GString *text,
			  int64_t next)
{
	char *body;

	while (age_us(report, next) >= 0 && (body = body_of(report, next))) {
		bool added = usage_row_add(&report->row, text, next, body);

		g_free(body);
		if (!added) {
			ks_log(KS_LOG_ORDER, KS_LOG_WARN,
			       "the row with the usage reports is full "
			       "next=%" PRId64,
			       next);
			report->store_due_us =
				ks_loop_now(report->loop) + BACKOFF_MAX_US;
			break;
		}
		next = skip_lost(report, next + 1);
	}
	return next;
}

static void write_row(ks_usage_report_t *report, const GString *text)
{
	char *value = usage_row_format(&report->row, text->str, report->era);
	ks_store_write_t write = {
		.key = KS_STR(ROW_KEY),
		.etag = { report->etag->str, report->etag->len },
		.value = ks_str_from(value),
	};

	report->store_pending = true;
	report->store->write(report->store->impl, &write, on_written, report);
	g_free(value);
}

/* Seals the windows that can be, in one write. */
static void seal(ks_usage_report_t *report)
{
	int64_t next = report->row.next;
	GString *text;

	/* The first window with a request is the first to be reported. */
	if (next == KS_USAGE_NONE)
		next = ks_usage_first(report->usage);
	if (next == KS_USAGE_NONE)
		return;
	next = skip_lost(report, next);
	report->row.next = next;
	if (age_us(report, next) < 0 ||
	    (!usage_row_find(&report->row, next) &&
	     !ks_usage_is_complete(report->usage, next,
				   ks_loop_now(report->loop))))
		return;
	text = usage_row_begin_write(&report->row, oldest_window(report));
	report->row.written_next = add_sealed(report, text, next);
	if (report->row.sealing.length)
		write_row(report, text);
	g_string_free(text, TRUE);
}

static void count_refusal(const ks_usage_report_t *report, int status)
{
	const struct report_metrics *m = &report->metrics;

	if (!status)
		ks_counter_add(m->unanswered, 1);
	else
		ks_counter_add(
			status == 429 ? m->refused_429 : m->refused_other, 1);
}

static void on_called(void *ctx, int status)
{
	ks_usage_report_t *report = ctx;
	struct usage_report *entry =
		usage_row_find(&report->row, report->called);
	int64_t now = ks_loop_now(report->loop), window = report->called;

	report->called = KS_USAGE_NONE;
	if (status == 200) {
		ks_backoff_reset(&report->call_backoff);
		ks_counter_add(report->metrics.acked, 1);
		if (entry)
			entry->acked = true;
		ks_log(KS_LOG_ORDER, KS_LOG_INFO,
		       "a usage report was accepted window=%" PRId64
		       " age_ms=%" PRId64,
		       window, age_us(report, window) / KS_USEC_PER_MSEC);
		return;
	}
	count_refusal(report, status);
	ks_log(KS_LOG_ORDER, KS_LOG_WARN,
	       "a usage report was not accepted window=%" PRId64 " status=%d",
	       window, status);
	/* A report that is refused for itself does not hold up the others. */
	if (entry && status / 100 == 4 && status != 429)
		entry->next_try_us = now + BACKOFF_MAX_US;
	else
		report->call_due_us =
			now +
			MAX(ks_backoff_next(&report->call_backoff, report->rng),
			    BACKOFF_BASE_US);
}

/* Sends the oldest report that the platform has not accepted. */
static void send_next(ks_usage_report_t *report)
{
	int64_t now = ks_loop_now(report->loop);
	int64_t oldest = oldest_window(report);

	if (!report->row_known || report->called != KS_USAGE_NONE ||
	    now < report->call_due_us)
		return;
	for (GList *l = report->row.reports.head; l; l = l->next) {
		struct usage_report *entry = l->data;

		if (!entry->in_row || entry->acked ||
		    now < entry->next_try_us || entry->window < oldest)
			continue;
		report->called = entry->window;
		if (ks_duty_lease_call(report->lease, report->driver,
				       KS_DUTY_USAGE, ks_str_from(entry->body),
				       on_called, report)) {
			entry->sent = true;
			ks_counter_add(report->metrics.sent, 1);
		} else {
			report->called = KS_USAGE_NONE;
		}
		return;
	}
}

static void on_returned(ks_duty_user_t *user, uint64_t era)
{
	ks_usage_report_t *report =
		KS_CONTAINER_OF(user, ks_usage_report_t, user);

	report->returned_us = ks_loop_now(report->loop);
	/* No other process can have sealed anything meanwhile. */
	if (report->row_known && ks_duty_lease_is_held(report->lease))
		report->usage->sealed_era = era;
	report->row_known = false;
}

static void update_metrics(const ks_usage_report_t *report)
{
	const struct report_metrics *m = &report->metrics;
	bool held = ks_duty_lease_is_held(report->lease);
	int64_t oldest = 0;

	for (GList *l = report->row.reports.head; held && !oldest && l;
	     l = l->next) {
		const struct usage_report *entry = l->data;

		if (entry->in_row && !entry->acked)
			oldest = age_us(report, entry->window);
	}
	ks_counter_set(m->holder, held);
	ks_counter_set(m->held_ms,
		       held ? (ks_clock_now(report->lease->boottime) -
			       report->lease->held_since_us) /
				       KS_USEC_PER_MSEC
			    : 0);
	ks_counter_set(m->next, MAX(report->row.next, 0));
	ks_counter_set(m->oldest_ms, oldest / KS_USEC_PER_MSEC);
}

static void run(ks_usage_report_t *report)
{
	if (!ks_duty_lease_is_settled(report->lease)) {
		report->row_known = false;
		return;
	}
	usage_row_expire(&report->row, oldest_window(report), report->called);
	if (!report->store_pending &&
	    ks_loop_now(report->loop) >= report->store_due_us) {
		if (!report->row_known)
			read_row(report);
		else
			seal(report);
	}
	send_next(report);
}

static void on_timer(void *ctx)
{
	ks_usage_report_t *report = ctx;

	ks_usage_update(report->usage, ks_loop_now(report->loop));
	ks_duty_lease_set_wanted(&report->user, report->usage->active);
	report->usage->is_reporter = ks_duty_lease_is_held(report->lease);
	run(report);
	update_metrics(report);
	ks_timer_set(&report->timer, TICK_US);
}

static void make_metrics(struct report_metrics *m, ks_metrics_t *metrics)
{
	const char *refused = "ks_gateway_usage_refused_total";
	const char *refused_help = "Usage reports that were not accepted";

	m->holder =
		ks_metrics_gauge(metrics, "ks_gateway_usage_holder",
				 "This entry holds the lease for duties", NULL);
	m->held_ms = ks_metrics_gauge(metrics, "ks_gateway_usage_held_ms",
				      "How long it has held the lease", NULL);
	m->next = ks_metrics_gauge(metrics, "ks_gateway_usage_next_window",
				   "Next window to be sealed", NULL);
	m->oldest_ms = ks_metrics_gauge(
		metrics, "ks_gateway_usage_oldest_ms",
		"Age of the oldest sealed window that is not accepted", NULL);
	m->sealed = ks_metrics_counter(metrics, "ks_gateway_usage_sealed_total",
				       "Windows sealed", NULL);
	m->sent = ks_metrics_counter(metrics, "ks_gateway_usage_sent_total",
				     "Usage reports sent", NULL);
	m->acked =
		ks_metrics_counter(metrics, "ks_gateway_usage_accepted_total",
				   "Usage reports accepted", NULL);
	m->abandoned =
		ks_metrics_counter(metrics, "ks_gateway_usage_abandoned_total",
				   "Windows that were not reported", NULL);
	m->refused_429 = ks_metrics_counter(metrics, refused, refused_help,
					    "status=\"429\"");
	m->refused_other = ks_metrics_counter(metrics, refused, refused_help,
					      "status=\"other\"");
	m->unanswered = ks_metrics_counter(metrics, refused, refused_help,
					   "status=\"none\"");
}

/**
 * ks_usage_report_new() - report the usage while holding the lease
 *
 * The lease is wanted as long as @usage is active. All arguments must outlive
 * the report.
 *
 * Return: to be freed with ks_usage_report_free().
 */
ks_usage_report_t *ks_usage_report_new(ks_loop_t *loop, ks_usage_t *usage,
				       ks_duty_lease_t *lease,
				       const ks_duty_driver_t *driver,
				       ks_store_t *store, ks_rng_t *rng,
				       ks_metrics_t *metrics)
{
	ks_usage_report_t *report = g_new0(ks_usage_report_t, 1);

	report->loop = loop;
	report->usage = usage;
	report->lease = lease;
	report->driver = driver;
	report->store = store;
	report->rng = rng;
	report->etag = g_string_new(NULL);
	report->called = KS_USAGE_NONE;
	usage_row_init(&report->row);
	ks_backoff_init(&report->store_backoff, BACKOFF_BASE_US,
			BACKOFF_MAX_US);
	ks_backoff_init(&report->call_backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	make_metrics(&report->metrics, metrics);
	report->user.returned = on_returned;
	ks_duty_lease_add_user(lease, &report->user);
	ks_timer_init(&report->timer, loop, on_timer, report);
	ks_timer_set(&report->timer, TICK_US);
	return report;
}

/**
 * ks_usage_report_free() - stop reporting
 *
 * The lease makes no calls any more; a pending store operation may still call
 * back.
 */
void ks_usage_report_free(ks_usage_report_t *report)
{
	if (!report)
		return;
	ks_timer_clear(&report->timer);
	if (report->store_pending)
		report->freed = true;
	else
		destroy(report);
}
