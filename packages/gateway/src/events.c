/*
 * Splits a server-sent event stream into complete events. A stream that can be
 * resumed is forwarded one complete event at a time: an upstream may fail in
 * the middle of an event, and its replacement sends that event again from the
 * start.
 */
#include "ks/gateway.h"

#include <string.h>

/* Blocks of an event up to this size are kept for the next one. */
#define KEPT_BYTES (16 * 1024)

void ks_events_init(ks_events_t *events)
{
	events->partial = g_string_new(NULL);
	events->last_id = g_string_new(NULL);
	events->event_bytes = 0;
	events->has_long_id = false;
	events->in_line = false;
	events->in_event = false;
	events->after_cr = false;
}

void ks_events_deinit(ks_events_t *events)
{
	g_string_free(events->partial, TRUE);
	g_string_free(events->last_id, TRUE);
}

/* Empties @partial, which keeps the block of its longest event otherwise. */
static void clear_partial(ks_events_t *events)
{
	g_string_truncate(events->partial, 0);
	if (events->partial->allocated_len <= KEPT_BYTES)
		return;
	g_string_free(events->partial, TRUE);
	events->partial = g_string_new(NULL);
}

/**
 * ks_events_reset() - discard the incomplete event
 */
void ks_events_reset(ks_events_t *events)
{
	clear_partial(events);
	events->event_bytes = 0;
	events->has_long_id = false;
	events->in_line = false;
	events->in_event = false;
	events->after_cr = false;
}

/* Returns false if the line has no id. */
static bool read_id(ks_str_t line, ks_str_t *id)
{
	if (!ks_str_has_prefix(line, KS_STR("id:")))
		return false;
	*id = (ks_str_t){ line.data + 3, line.len - 3 };
	if (id->len && id->data[0] == ' ') {
		id->data++;
		id->len--;
	}
	return true;
}

/* Notes the id of an event. Returns false if it is too long. */
static bool note_event(ks_events_t *events, ks_str_t event)
{
	ks_str_t id = { NULL, 0 };
	bool has_id = false;
	size_t start = 0;

	for (size_t i = 0; i < event.len; i++) {
		if (event.data[i] != '\n' && event.data[i] != '\r')
			continue;
		has_id |= read_id((ks_str_t){ event.data + start, i - start },
				  &id);
		start = i + 1;
	}
	if (id.len > KS_EVENTS_MAX_ID_BYTES)
		return false;
	if (has_id) {
		g_string_truncate(events->last_id, 0);
		g_string_append_len(events->last_id, id.data, (gssize)id.len);
	}
	return true;
}

/*
 * Follows the next bytes up to the end of an event, and returns how many there
 * are. A line ends with LF, CR or CRLF, and an event with an empty line.
 */
static size_t scan_event(ks_events_t *events, ks_str_t data, bool *ended)
{
	*ended = false;
	for (size_t i = 0; i < data.len; i++) {
		char c = data.data[i];
		bool ends_crlf = c == '\n' && events->after_cr;

		events->after_cr = c == '\r';
		events->event_bytes++;
		if (ends_crlf)
			continue;
		if (c != '\n' && c != '\r') {
			events->in_line = true;
			events->in_event = true;
		} else if (events->in_line) {
			events->in_line = false;
		} else {
			events->in_event = false;
			events->event_bytes = 0;
			*ended = true;
			return i + 1;
		}
	}
	return data.len;
}

/**
 * ks_events_scan() - follow the next bytes of the stream without keeping them
 */
void ks_events_scan(ks_events_t *events, ks_str_t data)
{
	while (data.len) {
		bool ended;
		size_t n = scan_event(events, data, &ended);

		data.data += n;
		data.len -= n;
	}
}

/**
 * ks_events_feed() - process the next bytes of the stream
 * @whole: the events that are now complete are appended to it
 */
void ks_events_feed(ks_events_t *events, ks_str_t data, GString *whole)
{
	/* The second half of the line end of an event that has been passed on.
	 */
	if (data.len && *data.data == '\n' && events->after_cr &&
	    !events->partial->len) {
		g_string_append_c(whole, '\n');
		events->after_cr = false;
		data.data++;
		data.len--;
	}
	while (data.len && !events->has_long_id) {
		bool ended;
		size_t n = scan_event(events, data, &ended);

		g_string_append_len(events->partial, data.data, (gssize)n);
		data.data += n;
		data.len -= n;
		if (!ended)
			break;
		if (events->after_cr && data.len && *data.data == '\n') {
			g_string_append_c(events->partial, '\n');
			events->after_cr = false;
			data.data++;
			data.len--;
		}
		events->has_long_id =
			!note_event(events, (ks_str_t){ events->partial->str,
							events->partial->len });
		if (events->has_long_id)
			return;
		g_string_append_len(whole, events->partial->str,
				    (gssize)events->partial->len);
		clear_partial(events);
	}
}

/**
 * ks_events_is_inside() - whether the bytes so far end inside an event
 */
bool ks_events_is_inside(const ks_events_t *events)
{
	return events->in_event;
}
