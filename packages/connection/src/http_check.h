/* Checks of responses that http_parser leaves out. */
#ifndef KS_CONNECTION_HTTP_CHECK_H
#define KS_CONNECTION_HTTP_CHECK_H

#include "http_message.h"

/* "HTTP/1.1 200" and the byte after it. */
#define HTTP_STATUS_LINE_BYTES 13

/**
 * struct http_status_line - start of the status line of a response
 * @text: its first bytes
 * @len: number of these
 * @has_ended: the end of the line was received
 */
struct http_status_line {
	char text[HTTP_STATUS_LINE_BYTES];
	unsigned len;
	bool has_ended;
};

void http_status_line_init(struct http_status_line *line);
void http_status_line_note(struct http_status_line *line, const char *data,
			   size_t len);
const char *http_find_fault(const struct http_status_line *line,
			    const http_parser *parser,
			    const struct http_fields *fields,
			    const ks_header_t *headers, size_t n);

#endif
