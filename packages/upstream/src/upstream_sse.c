/* Counts the server-sent events of an answer and finds its end marker. */
#include "upstream_internal.h"

#include <string.h>

static void end_line(struct upstream_sse *sse)
{
	ks_str_t line = { sse->line, sse->line_len };
	ks_str_t value;

	sse->line_len = 0;
	if (line.len > 0 && line.data[line.len - 1] == '\r')
		line.len--;
	if (!line.len) {
		sse->done |= sse->is_last;
		sse->is_last = false;
		return;
	}
	if (!ks_str_has_prefix(line, KS_STR("data:")))
		return;
	value = (ks_str_t){ line.data + 5, line.len - 5 };
	if (value.len > 0 && value.data[0] == ' ')
		value = (ks_str_t){ value.data + 1, value.len - 1 };
	sse->done = false;
	sse->is_last = ks_str_equal(value, KS_STR("[DONE]"));
	if (!sse->is_last)
		sse->events++;
}

/**
 * upstream_sse_feed() - process the next bytes of a stream
 * @data: may begin and end anywhere within a line
 *
 * Only the start of a line that exceeds the buffer is kept, since such a line
 * cannot be the end marker.
 */
void upstream_sse_feed(struct upstream_sse *sse, ks_str_t data)
{
	while (data.len > 0) {
		const char *newline = memchr(data.data, '\n', data.len);
		size_t part =
			newline ? (size_t)(newline - data.data) : data.len;
		size_t kept = MIN(part, sizeof(sse->line) - sse->line_len);

		memcpy(sse->line + sse->line_len, data.data, kept);
		sse->line_len += kept;
		if (newline) {
			end_line(sse);
			part++;
		}
		data = (ks_str_t){ data.data + part, data.len - part };
	}
}

/**
 * upstream_sse_is_complete() - whether the stream has ended with its end marker
 */
bool upstream_sse_is_complete(const struct upstream_sse *sse)
{
	return sse->done && !sse->line_len;
}
