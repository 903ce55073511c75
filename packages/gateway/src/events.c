/*
 * Splits a server-sent event stream into complete events. A stream that can be
 * resumed is forwarded one complete event at a time: an upstream may fail in
 * the middle of an event, and its replacement sends that event again from the
 * start.
 */
#include "ks/gateway.h"

#include <string.h>

void ks_events_init(ks_events_t *events)
{
	events->partial = g_string_new(NULL);
	events->last_id = g_string_new(NULL);
	events->in_line = false;
	events->in_event = false;
	events->after_cr = false;
}

void ks_events_deinit(ks_events_t *events)
{
	g_string_free(events->partial, TRUE);
	g_string_free(events->last_id, TRUE);
}

/**
 * ks_events_reset() - discard the incomplete event
 */
void ks_events_reset(ks_events_t *events)
{
	g_string_truncate(events->partial, 0);
	events->in_line = false;
	events->in_event = false;
	events->after_cr = false;
}

static void note_line(ks_events_t *events, ks_str_t line)
{
	if (!ks_str_has_prefix(line, KS_STR("id:")))
		return;
	line.data += 3;
	line.len -= 3;
	if (line.len && line.data[0] == ' ') {
		line.data++;
		line.len--;
	}
	g_string_truncate(events->last_id, 0);
	g_string_append_len(events->last_id, line.data, (gssize)line.len);
}

static void note_event(ks_events_t *events, ks_str_t event)
{
	while (event.len) {
		const char *end = memchr(event.data, '\n', event.len);
		ks_str_t line = event;

		if (end)
			line.len = (size_t)(end - event.data);
		event.data += line.len + (end ? 1 : 0);
		event.len -= line.len + (end ? 1 : 0);
		if (line.len && line.data[line.len - 1] == '\r')
			line.len--;
		note_line(events, line);
	}
}

/* Returns the length of the first complete event with its empty line, or 0. */
static size_t event_length(const GString *text)
{
	const char *lf = strstr(text->str, "\n\n");
	const char *crlf = strstr(text->str, "\n\r\n");

	if (crlf && (!lf || crlf < lf))
		return (size_t)(crlf - text->str) + 3;
	return lf ? (size_t)(lf - text->str) + 2 : 0;
}

/**
 * ks_events_feed() - process the next bytes of the stream
 * @whole: the events that are now complete are appended to it
 */
void ks_events_feed(ks_events_t *events, ks_str_t data, GString *whole)
{
	size_t len;

	g_string_append_len(events->partial, data.data, (gssize)data.len);
	while ((len = event_length(events->partial))) {
		note_event(events, (ks_str_t){ events->partial->str, len });
		g_string_append_len(whole, events->partial->str, (gssize)len);
		g_string_erase(events->partial, 0, (gssize)len);
	}
}

/**
 * ks_events_scan() - follow the next bytes of the stream without keeping them
 *
 * A line ends with LF, CR or CRLF, and an event with an empty line.
 */
void ks_events_scan(ks_events_t *events, ks_str_t data)
{
	for (size_t i = 0; i < data.len; i++) {
		char c = data.data[i];
		bool ends_crlf = c == '\n' && events->after_cr;

		events->after_cr = c == '\r';
		if (ends_crlf)
			continue;
		if (c != '\n' && c != '\r') {
			events->in_line = true;
			events->in_event = true;
		} else if (events->in_line) {
			events->in_line = false;
		} else {
			events->in_event = false;
		}
	}
}

/**
 * ks_events_is_inside() - whether the scanned bytes end inside an event
 */
bool ks_events_is_inside(const ks_events_t *events)
{
	return events->in_event;
}
