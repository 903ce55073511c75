/*
 * The row of the store that has the sealed usage reports, oldest first, until
 * the platform has accepted them. Load pattern: reports of up to 970
 * organisations, 16 KB each, several of which wait while the platform is away.
 */
#include "usage_row.h"

#include <string.h>

/* The platform's rows have less than 65,536 bytes. */
#define MAX_ROW_BYTES 65000

/* Space for the number of the next window and the era. */
#define MAX_HEAD_BYTES 40

/*
 * The line of the era has the form of a report of this window, which no row has
 * a report of. Versions of this program that know no eras drop it as too old.
 */
#define ERA_WINDOW 0

static void free_report(gpointer data)
{
	struct usage_report *report = data;

	g_free(report->body);
	g_free(report);
}

static struct usage_report *new_report(int64_t window, char *body)
{
	struct usage_report *report = g_new0(struct usage_report, 1);

	report->window = window;
	report->body = body;
	return report;
}

static gint compare_reports(gconstpointer a, gconstpointer b,
			    gpointer data G_GNUC_UNUSED)
{
	int64_t x = ((const struct usage_report *)a)->window;
	int64_t y = ((const struct usage_report *)b)->window;

	return (x > y) - (x < y);
}

void usage_row_init(struct usage_row *row)
{
	g_queue_init(&row->reports);
	g_queue_init(&row->sealing);
	row->next = KS_USAGE_NONE;
}

void usage_row_deinit(struct usage_row *row)
{
	g_queue_clear_full(&row->reports, free_report);
	g_queue_clear_full(&row->sealing, free_report);
}

/* Returns the report of a window, NULL if this process does not know it. */
struct usage_report *usage_row_find(const struct usage_row *row, int64_t window)
{
	for (GList *l = row->reports.head; l; l = l->next)
		if (((struct usage_report *)l->data)->window == window)
			return l->data;
	return NULL;
}

/*
 * Notes that the row has a report. Bytes that this process has sent are never
 * replaced: the row can only have others if the store has returned from an
 * older copy of it.
 */
static void take_report(struct usage_row *row, int64_t window, ks_str_t body)
{
	struct usage_report *report = usage_row_find(row, window);

	if (!report) {
		report = new_report(window, ks_str_dup(body));
		g_queue_insert_sorted(&row->reports, report, compare_reports,
				      NULL);
	} else if (!ks_str_equal(ks_str_from(report->body), body)) {
		if (report->sent) {
			ks_log(KS_LOG_ORDER, KS_LOG_ERROR,
			       "the row has another report than the one that "
			       "was sent window=%" PRId64,
			       window);
		} else {
			g_free(report->body);
			report->body = ks_str_dup(body);
		}
	}
	report->in_row = true;
}

static ks_str_t take_line(ks_str_t *text)
{
	const char *end =
		text->len ? memchr(text->data, '\n', text->len) : NULL;
	ks_str_t line = *text;

	if (!end) {
		*text = (ks_str_t){ NULL, 0 };
		return line;
	}
	line.len = (size_t)(end - text->data);
	text->data += line.len + 1;
	text->len -= line.len + 1;
	return line;
}

static bool split_line(ks_str_t line, int64_t *window, ks_str_t *body)
{
	const char *space = line.len ? memchr(line.data, ' ', line.len) : NULL;
	size_t n = space ? (size_t)(space - line.data) : 0;

	if (!space)
		return false;
	*body = (ks_str_t){ space + 1, line.len - n - 1 };
	return ks_str_parse_int((ks_str_t){ line.data, n }, 0, INT64_MAX,
				window);
}

/* Checks the lines after the first one, and finds the era, 0 if there is none.
 */
static bool check_lines(ks_str_t lines, int64_t *era)
{
	int64_t window;
	ks_str_t body;

	*era = 0;
	while (lines.len) {
		if (!split_line(take_line(&lines), &window, &body))
			return false;
		if (window == ERA_WINDOW &&
		    !ks_str_parse_int(body, 0, KS_ROW_MAX_ERA, era))
			return false;
	}
	return true;
}

/*
 * Reads the row: the next window, then a line with the era, then one for each
 * report with its window and its body. There is no row if @value is empty.
 *
 * Return: false if the row is malformed.
 */
bool usage_row_parse(struct usage_row *row, ks_str_t value)
{
	int64_t next = KS_USAGE_NONE, window, era;
	ks_str_t body, rest = value;

	if (value.len &&
	    !ks_str_parse_int(take_line(&rest), 0, INT64_MAX, &next))
		return false;
	if (!check_lines(rest, &era))
		return false;
	for (GList *l = row->reports.head; l; l = l->next)
		((struct usage_report *)l->data)->in_row = false;
	row->next = next;
	row->era = (uint64_t)era;
	while (rest.len && split_line(take_line(&rest), &window, &body))
		if (window != ERA_WINDOW)
			take_report(row, window, body);
	return true;
}

static void append(GString *text, int64_t window, const char *body)
{
	g_string_append_printf(text, "%" PRId64 " %s\n", window, body);
}

/*
 * Begins a new version of the row with the reports that stay in it: those that
 * are not accepted and not older than the window @oldest.
 *
 * Return: the lines of the reports.
 */
GString *usage_row_begin_write(struct usage_row *row, int64_t oldest)
{
	GString *text = g_string_new(NULL);

	for (GList *l = row->reports.head; l; l = l->next) {
		struct usage_report *report = l->data;

		report->dropped = report->acked || report->window < oldest;
		if (report->in_row && !report->dropped)
			append(text, report->window, report->body);
	}
	return text;
}

/*
 * Adds a report to the new version of the row.
 *
 * Return: false if there is no space for it.
 */
bool usage_row_add(struct usage_row *row, GString *text, int64_t window,
		   const char *body)
{
	gsize before = text->len;

	append(text, window, body);
	if (text->len + MAX_HEAD_BYTES > MAX_ROW_BYTES) {
		g_string_truncate(text, before);
		return false;
	}
	g_queue_push_tail(&row->sealing, new_report(window, g_strdup(body)));
	return true;
}

/*
 * Writes the text of the new version.
 * @reports: lines of the reports, see usage_row_begin_write()
 * @era: of the store now, see struct ks_row
 *
 * Return: to be freed with g_free().
 */
char *usage_row_format(const struct usage_row *row, const char *reports,
		       uint64_t era)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%" PRId64 "\n", row->written_next);
	if (era)
		g_string_append_printf(text, "%d %" PRIu64 "\n", ERA_WINDOW,
				       era);
	g_string_append(text, reports);
	return g_string_free(text, FALSE);
}

/*
 * Takes over the new version, which has been written.
 *
 * Return: number of reports that were removed though they are not accepted.
 */
unsigned usage_row_adopt_write(struct usage_row *row)
{
	struct usage_report *report;
	unsigned lost = 0;

	for (GList *l = row->reports.head; l; l = l->next) {
		report = l->data;
		lost += report->in_row && report->dropped && !report->acked;
		report->in_row &= !report->dropped;
	}
	while ((report = g_queue_pop_head(&row->sealing))) {
		take_report(row, report->window, ks_str_from(report->body));
		free_report(report);
	}
	row->next = row->written_next;
	return lost;
}

/* Gives up the new version, which has not been written or may not have been. */
void usage_row_drop_write(struct usage_row *row)
{
	g_queue_clear_full(&row->sealing, free_report);
}

/*
 * Forgets reports that are in no row, if they are older than the window @oldest
 * and so can't be sealed again, but for that of the window @called.
 */
void usage_row_expire(struct usage_row *row, int64_t oldest, int64_t called)
{
	struct usage_report *first;

	while ((first = g_queue_peek_head(&row->reports)) && !first->in_row &&
	       first->window < oldest && first->window != called)
		free_report(g_queue_pop_head(&row->reports));
}
