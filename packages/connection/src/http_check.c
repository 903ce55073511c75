/*
 * Checks of responses that http_parser leaves out: it takes any digits for a
 * status, a blank for a byte of a name, and any transfer coding.
 */
#include "http_check.h"

#include <string.h>

void http_status_line_init(struct http_status_line *line)
{
	line->len = 0;
	line->has_ended = false;
}

/**
 * http_status_line_note() - note input of a response
 *
 * Input after the status line is ignored.
 */
void http_status_line_note(struct http_status_line *line, const char *data,
			   size_t len)
{
	for (size_t i = 0; i < len && !line->has_ended; i++) {
		/* The parser skips empty lines before a response. */
		if (!line->len && (data[i] == '\r' || data[i] == '\n'))
			continue;
		if (line->len < HTTP_STATUS_LINE_BYTES)
			line->text[line->len++] = data[i];
		line->has_ended = data[i] == '\n';
	}
}

/* Whether it is a version, a blank and three digits, as RFC 9112, 4, has it. */
static bool is_valid(const struct http_status_line *line)
{
	const char *text = line->text;

	return line->len == HTTP_STATUS_LINE_BYTES &&
	       !memcmp(text, "HTTP/1.", 7) && g_ascii_isdigit(text[7]) &&
	       text[8] == ' ' && g_ascii_isdigit(text[9]) &&
	       g_ascii_isdigit(text[10]) && g_ascii_isdigit(text[11]) &&
	       (text[12] == ' ' || text[12] == '\r' || text[12] == '\n');
}

/* Whether the transfer coding is none, or the one that the parser decodes. */
static bool is_coding_known(const http_parser *parser,
			    const ks_header_t *headers, size_t n)
{
	ks_str_t name = KS_STR("transfer-encoding");
	unsigned n_codings = 0;
	bool is_known = true;

	for (size_t i = 0; i < n; i++) {
		if (!ks_str_equal_nocase(headers[i].name, name))
			continue;
		n_codings++;
		is_known &= ks_str_equal_nocase(headers[i].value,
						KS_STR("chunked"));
	}
	/* RFC 9112, 6.1: HTTP/1.0 has none. */
	return !n_codings ||
	       (n_codings == 1 && is_known && parser->http_minor > 0);
}

/**
 * http_find_fault() - check the head of a response
 * @parser: at the end of the head
 *
 * Return: why it is none in the protocol, NULL if it is one.
 */
const char *http_find_fault(const struct http_status_line *line,
			    const http_parser *parser,
			    const struct http_fields *fields,
			    const ks_header_t *headers, size_t n)
{
	unsigned status = parser->status_code;

	if (!is_valid(line))
		return "malformed status line";
	/* No request asks for another protocol, as 101 would answer. */
	if (status < KS_HTTP_MIN_STATUS || status > KS_HTTP_MAX_STATUS ||
	    status == 101)
		return "wrong status";
	if (fields->is_malformed)
		return "malformed field";
	if (!is_coding_known(parser, headers, n))
		return "unknown transfer coding";
	return NULL;
}
