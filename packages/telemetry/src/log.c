/*
 * Logs through log4c, to standard output, one line for each event. Each part of
 * the system has a log4c category with a level of its own.
 *
 * A part that has used up its lines of a second leaves further ones out, and a
 * reader that does not keep up loses lines; both are counted, and the count is
 * logged. Writing never blocks.
 */
#include "ks/telemetry.h"

#include <errno.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MAX_LINE 1024

/* Lines of a part in a second, errors excepted. */
#define LINES_PER_S 100

static const char *const part_names[KS_LOG_N_PARTS] = {
	[KS_LOG_MAIN] = "main",	    [KS_LOG_HTTP] = "http",
	[KS_LOG_LINK] = "link",	    [KS_LOG_ROUTE] = "route",
	[KS_LOG_LEDGER] = "ledger", [KS_LOG_STORE] = "store",
	[KS_LOG_CONFIG] = "config", [KS_LOG_LEASE] = "lease",
	[KS_LOG_ORDER] = "order",   [KS_LOG_PLAN] = "plan",
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static const int log4c_levels[] = {
	LOG4C_PRIORITY_ERROR,
	LOG4C_PRIORITY_WARN,
	LOG4C_PRIORITY_INFO,
	LOG4C_PRIORITY_DEBUG,
};

static log4c_category_t *categories[KS_LOG_N_PARTS];
static const char *program_name = "";

/**
 * struct line_budget - lines that a part may still write in this second
 */
struct line_budget {
	int64_t second;
	unsigned written;
	unsigned left_out;
};

static struct line_budget budgets[KS_LOG_N_PARTS];
static unsigned lines_lost;

static const char *level_name(int priority)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (log4c_levels[i] == priority)
			return level_names[i];
	return "info";
}

/* Length of the sentence before the first " name=value" of a message. */
static size_t sentence_length(const char *message)
{
	for (const char *at = strchr(message, ' '); at;
	     at = strchr(at + 1, ' ')) {
		size_t name = strspn(at + 1, "abcdefghijklmnopqrstuvwxyz_");

		if (name && at[1 + name] == '=')
			return (size_t)(at - message);
	}
	return strlen(message);
}

static const char *format_event(const log4c_layout_t *layout G_GNUC_UNUSED,
				const log4c_logging_event_t *event)
{
	static char line[MAX_LINE + 128];
	int64_t now = ks_clock_now(ks_clock_wall());
	time_t seconds = (time_t)(now / KS_USEC_PER_SEC);
	char stamp[32];
	struct tm tm;

	gmtime_r(&seconds, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(line, sizeof(line),
		 "time=%s.%03dZ name=%s level=%s part=%s msg=\"%.*s\"%s\n",
		 stamp, (int)(now % KS_USEC_PER_SEC / 1000), program_name,
		 level_name(event->evt_priority), event->evt_category,
		 (int)sentence_length(event->evt_msg), event->evt_msg,
		 event->evt_msg + sentence_length(event->evt_msg));
	return line;
}

static const log4c_layout_type_t layout_type = { "ks", format_event };

/* A pipe takes a line of this length whole once it can be written at all. */
static bool can_write(void)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT);
}

static int append_to_stdout(log4c_appender_t *appender G_GNUC_UNUSED,
			    const log4c_logging_event_t *event)
{
	const char *line = event->evt_rendered_msg;
	size_t len = strlen(line);

	if (can_write() && write(STDOUT_FILENO, line, len) == (ssize_t)len)
		return 0;
	lines_lost++;
	return -1;
}

static const log4c_appender_type_t appender_type = { "ks-stdout", NULL,
						     append_to_stdout, NULL };

/**
 * ks_log_init() - start logging to standard output
 * @program: name put on each line; must outlive the logs
 * @level: level of every part
 */
void ks_log_init(const char *program, ks_log_level_t level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	program_name = program;
	log4c_init();
	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	layout = log4c_layout_get("ks");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("ks-stdout");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	for (int i = 0; i < KS_LOG_N_PARTS; i++) {
		categories[i] = log4c_category_get(part_names[i]);
		log4c_category_set_appender(categories[i], appender);
		log4c_category_set_additivity(categories[i], 0);
		log4c_category_set_priority(categories[i], log4c_levels[level]);
	}
}

/**
 * ks_log_deinit() - stop logging
 */
void ks_log_deinit(void)
{
	for (int i = 0; i < KS_LOG_N_PARTS; i++)
		categories[i] = NULL;
	log4c_fini();
}

/**
 * ks_log_level_parse() - read the name of a level
 */
bool ks_log_level_parse(ks_log_level_t *level, ks_str_t name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (ks_str_equal(name, ks_str_from(level_names[i]))) {
			*level = (ks_log_level_t)i;
			return true;
		}
	}
	return false;
}

/**
 * ks_log_part_parse() - read the name of a part
 */
bool ks_log_part_parse(ks_log_part_t *part, ks_str_t name)
{
	for (int i = 0; i < KS_LOG_N_PARTS; i++) {
		if (ks_str_equal(name, ks_str_from(part_names[i]))) {
			*part = (ks_log_part_t)i;
			return true;
		}
	}
	return false;
}

/**
 * ks_log_set_part_level() - give one part a level of its own
 */
void ks_log_set_part_level(ks_log_part_t part, ks_log_level_t level)
{
	log4c_category_set_priority(categories[part], log4c_levels[level]);
}

static bool is_enabled(ks_log_part_t part, ks_log_level_t level)
{
	return categories[part] &&
	       log4c_category_is_priority_enabled(categories[part],
						  log4c_levels[level]);
}

static void report_left_out(ks_log_part_t part, unsigned left_out)
{
	char message[128];

	snprintf(message, sizeof(message),
		 "lines were left out part_lines=%u unread_lines=%u", left_out,
		 lines_lost);
	lines_lost = 0;
	log4c_category_log(categories[part], LOG4C_PRIORITY_WARN, "%s",
			   message);
}

/* Whether a line of the part may be written now. */
static bool take_line(ks_log_part_t part, ks_log_level_t level)
{
	struct line_budget *budget = &budgets[part];
	int64_t second = ks_clock_now(ks_clock_monotonic()) / KS_USEC_PER_SEC;

	if (level == KS_LOG_ERROR)
		return true;
	if (second != budget->second) {
		unsigned left_out = budget->left_out;

		*budget = (struct line_budget){ .second = second };
		if (left_out || lines_lost)
			report_left_out(part, left_out);
	}
	if (budget->written >= LINES_PER_S) {
		budget->left_out++;
		return false;
	}
	budget->written++;
	return true;
}

/**
 * ks_log() - log one short sentence
 */
void ks_log(ks_log_part_t part, ks_log_level_t level, const char *format, ...)
{
	char message[MAX_LINE];
	va_list args;

	if (!is_enabled(part, level) || !take_line(part, level))
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	log4c_category_log(categories[part], log4c_levels[level], "%s",
			   message);
}

/**
 * ks_log_request() - log one short sentence about a request
 * @id: request id
 * @version: version of the configuration that the request was served under
 */
void ks_log_request(ks_log_part_t part, ks_log_level_t level, const ks_id_t *id,
		    uint64_t version, const char *format, ...)
{
	char message[MAX_LINE];
	char hex[KS_ID_HEX_SIZE];
	va_list args;

	if (!is_enabled(part, level) || !take_line(part, level))
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	log4c_category_log(categories[part], log4c_levels[level],
			   "%s request=%s version=%" G_GUINT64_FORMAT, message,
			   ks_id_format(id, hex), version);
}
