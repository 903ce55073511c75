/*
 * Logging to standard output through log4c, one line per event. Each component
 * of the system has a log4c category with its own level.
 *
 * Lines beyond the rate limit of a component are dropped, and so are lines that
 * standard output cannot take at once because its reader is too slow. Both are
 * counted, and the counts are logged. Writing never blocks.
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

/* Lines per second and component; errors are not limited. */
#define LINES_PER_S 100

static const char *const component_names[KS_LOG_N_COMPONENTS] = {
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

static log4c_category_t *categories[KS_LOG_N_COMPONENTS];
static const char *program_name = "";

/**
 * struct line_budget - rate limit of a component
 * @second: current second of the monotonic clock
 * @written: lines written in it
 * @dropped: lines dropped in it
 */
struct line_budget {
	int64_t second;
	unsigned written;
	unsigned dropped;
};

static struct line_budget budgets[KS_LOG_N_COMPONENTS];

/* Lines dropped because the reader of standard output was too slow. */
static unsigned lines_lost;

static const char *level_name(int priority)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (log4c_levels[i] == priority)
			return level_names[i];
	return "info";
}

/* Returns the length of the text before the first " name=value" pair. */
static size_t text_length(const char *message)
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
		 (int)text_length(event->evt_msg), event->evt_msg,
		 event->evt_msg + text_length(event->evt_msg));
	return line;
}

static const log4c_layout_type_t layout_type = { "ks", format_event };

/*
 * If a pipe can be written to at all, it takes a whole line, since a line is
 * shorter than PIPE_BUF.
 */
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
 * @program: name in each line; must outlive logging
 * @level: level of all components
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
	for (int i = 0; i < KS_LOG_N_COMPONENTS; i++) {
		categories[i] = log4c_category_get(component_names[i]);
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
	for (int i = 0; i < KS_LOG_N_COMPONENTS; i++)
		categories[i] = NULL;
	log4c_fini();
}

/**
 * ks_log_level_parse() - parse the name of a level
 *
 * Return: false if there is no such level.
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
 * ks_log_component_parse() - parse the name of a component
 *
 * Return: false if there is no such component.
 */
bool ks_log_component_parse(ks_log_component_t *component, ks_str_t name)
{
	for (int i = 0; i < KS_LOG_N_COMPONENTS; i++) {
		if (ks_str_equal(name, ks_str_from(component_names[i]))) {
			*component = (ks_log_component_t)i;
			return true;
		}
	}
	return false;
}

/**
 * ks_log_set_component_level() - set the level of one component
 */
void ks_log_set_component_level(ks_log_component_t component,
				ks_log_level_t level)
{
	log4c_category_set_priority(categories[component], log4c_levels[level]);
}

static bool is_enabled(ks_log_component_t component, ks_log_level_t level)
{
	return categories[component] &&
	       log4c_category_is_priority_enabled(categories[component],
						  log4c_levels[level]);
}

static void log_dropped_lines(ks_log_component_t component, unsigned dropped)
{
	char message[128];

	snprintf(message, sizeof(message),
		 "lines were left out part_lines=%u unread_lines=%u", dropped,
		 lines_lost);
	lines_lost = 0;
	log4c_category_log(categories[component], LOG4C_PRIORITY_WARN, "%s",
			   message);
}

/* Counts a line against the rate limit; returns false if it must be dropped. */
static bool count_line(ks_log_component_t component, ks_log_level_t level)
{
	struct line_budget *budget = &budgets[component];
	int64_t second = ks_clock_now(ks_clock_monotonic()) / KS_USEC_PER_SEC;

	if (level == KS_LOG_ERROR)
		return true;
	if (second != budget->second) {
		unsigned dropped = budget->dropped;

		*budget = (struct line_budget){ .second = second };
		if (dropped || lines_lost)
			log_dropped_lines(component, dropped);
	}
	if (budget->written >= LINES_PER_S) {
		budget->dropped++;
		return false;
	}
	budget->written++;
	return true;
}

/**
 * ks_log() - log a message
 * @format: printf format of a short sentence, then " name=value" pairs
 */
void ks_log(ks_log_component_t component, ks_log_level_t level,
	    const char *format, ...)
{
	char message[MAX_LINE];
	va_list args;

	if (!is_enabled(component, level) || !count_line(component, level))
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	log4c_category_log(categories[component], log4c_levels[level], "%s",
			   message);
}

/**
 * ks_log_request() - log a message about a request
 * @id: request id
 * @version: configuration version under which the request was served
 * @format: as for ks_log()
 */
void ks_log_request(ks_log_component_t component, ks_log_level_t level,
		    const ks_id_t *id, uint64_t version, const char *format,
		    ...)
{
	char message[MAX_LINE];
	char hex[KS_ID_HEX_SIZE];
	va_list args;

	if (!is_enabled(component, level) || !count_line(component, level))
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	log4c_category_log(categories[component], log4c_levels[level],
			   "%s request=%s version=%" G_GUINT64_FORMAT, message,
			   ks_id_format(id, hex), version);
}
