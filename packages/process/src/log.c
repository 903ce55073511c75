/*
 * Logs through log4c, to standard error. Each part of the system has a fixed
 * prefix and a log4c category with a level of its own.
 */
#include "ks/process.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

#define MAX_LINE 1024

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
	snprintf(line, sizeof(line), "%s.%03dZ %s %-5s %s: %s\n", stamp,
		 (int)(now % KS_USEC_PER_SEC / 1000), program_name,
		 log4c_priority_to_string(event->evt_priority),
		 event->evt_category, event->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = { "ks", format_event };

static int append_to_stderr(log4c_appender_t *appender G_GNUC_UNUSED,
			    const log4c_logging_event_t *event)
{
	return fputs(event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type = { "ks-stderr", NULL,
						     append_to_stderr, NULL };

/**
 * ks_log_init() - start logging to standard error
 * @program: name put on each line; must outlive the logs
 * @level: level of every part
 */
void ks_log_init(const char *program, ks_log_level_t level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	program_name = program;
	setvbuf(stderr, NULL, _IOLBF, 0);
	log4c_init();
	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	layout = log4c_layout_get("ks");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("ks-stderr");
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

/**
 * ks_log() - log one short sentence
 */
void ks_log(ks_log_part_t part, ks_log_level_t level, const char *format, ...)
{
	char message[MAX_LINE];
	va_list args;

	if (!is_enabled(part, level))
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

	if (!is_enabled(part, level))
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	log4c_category_log(categories[part], log4c_levels[level],
			   "%s request=%s version=%" G_GUINT64_FORMAT, message,
			   ks_id_format(id, hex), version);
}
