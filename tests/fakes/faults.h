/*
 * What a faulty upstream sends: bytes that are no response, or none that ends.
 */
#ifndef KS_FAKE_FAULTS_H
#define KS_FAKE_FAULTS_H

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/**
 * enum fault_id - the field with the id of the request
 * @FAULT_NO_ID: left out
 * @FAULT_OWN_ID: the id of the request that is answered
 * @FAULT_OTHER_ID: that of another request
 */
enum fault_id {
	FAULT_NO_ID,
	FAULT_OWN_ID,
	FAULT_OTHER_ID,
};

/**
 * struct fault - bytes that an upstream sends
 * @start: sent once, before the id
 * @rest: sent once, after the id
 * @piece: sent again and again
 * @n_pieces: how often, with silence afterwards; 0 without end
 * @end: sent before the silence
 */
struct fault {
	const char *name;
	const char *start;
	enum fault_id id;
	const char *rest;
	const char *piece;
	size_t n_pieces;
	const char *end;
};

#define FAULT_OK "HTTP/1.1 200 OK\r\n"
#define FAULT_EVENTS FAULT_OK "content-type: text/event-stream\r\n"
#define FAULT_CHUNKED "transfer-encoding: chunked\r\n\r\n"

static const struct fault faults[] = {
	{ "garbage", "", FAULT_NO_ID, "", "no response", 0, "" },
	{ "blank-lines", "", FAULT_NO_ID, "", "\r\n", 0, "" },
	{ "interim-heads", "", FAULT_NO_ID, "",
	  "HTTP/1.1 102 Processing\r\n\r\n", 0, "" },
	{ "interim-fields", "HTTP/1.1 103 Early Hints\r\n", FAULT_NO_ID, "",
	  "a:\r\n", 0, "" },
	{ "reason", "HTTP/1.1 200 ", FAULT_NO_ID, "", "z", 0, "" },
	{ "field-name", FAULT_OK, FAULT_OWN_ID, "", "z", 0, "" },
	{ "field-value", FAULT_OK, FAULT_OWN_ID, "x: ", "z", 0, "" },
	{ "fields", FAULT_OK, FAULT_OWN_ID, "", "a:\r\n", 0, "" },
	{ "skipped-heads", "", FAULT_NO_ID, "",
	  FAULT_OK "x-id: other\r\nrequest-id: other\r\n"
		   "x-ks-call: other\r\ncontent-length: 0\r\n\r\n",
	  0, "" },
	{ "skipped-body", FAULT_OK, FAULT_OTHER_ID, "\r\n", "z", 0, "" },
	{ "chunk-size", FAULT_EVENTS, FAULT_OWN_ID, FAULT_CHUNKED, "0", 0, "" },
	{ "chunk-extension", FAULT_EVENTS, FAULT_OWN_ID, FAULT_CHUNKED "1;",
	  "z", 0, "" },
	{ "trailer", FAULT_EVENTS, FAULT_OWN_ID,
	  FAULT_CHUNKED "9\r\ndata: a\n\n\r\n0\r\n", "a:\r\n", 0, "" },
	{ "event", FAULT_EVENTS, FAULT_OWN_ID, "\r\ndata: a\n\ndata: ", "z", 0,
	  "" },
	{ "short-chunks", FAULT_EVENTS, FAULT_OWN_ID,
	  FAULT_CHUNKED "f\r\ndata: a\n\ndata: \r\n", "1\r\nz\r\n", 0, "" },
	{ "error-body", "HTTP/1.1 500 Failed\r\n", FAULT_OWN_ID, "\r\n", "z", 0,
	  "" },
	{ "after-response", FAULT_OK, FAULT_OWN_ID,
	  "content-length: 2\r\n\r\nok", "z", 0, "" },
	/* Below what is read of a head or of an event, then nothing more. */
	{ "many-fields", FAULT_EVENTS, FAULT_OWN_ID, "", "a:\r\n", 16000,
	  "\r\ndata: a\n\n" },
	{ "half-event", FAULT_EVENTS, FAULT_OWN_ID,
	  "\r\ndata: a\n\ndata: ", "z", 1000000, "" },
	{ "event-id", FAULT_EVENTS, FAULT_OWN_ID, "\r\nid: ", "z", 1000000,
	  "\n\ndata: a\n\n" },
	/* Complete events, as fast as they are read. */
	{ "events", FAULT_EVENTS, FAULT_OWN_ID, "\r\n", "data: aaaaaaaa\n\n", 0,
	  "" },
};

/**
 * fault_find() - the fault of a name
 *
 * Return: NULL if there is none.
 */
static inline const struct fault *fault_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		if (!strcmp(faults[i].name, name))
			return &faults[i];
	return NULL;
}

/**
 * fault_begin() - append what is sent once
 * @field: name of the field with the id
 */
static inline void fault_begin(const struct fault *fault, const char *field,
			       const char *id, GString *out)
{
	g_string_append(out, fault->start);
	if (fault->id != FAULT_NO_ID)
		g_string_append_printf(out, "%s: %s\r\n", field,
				       fault->id == FAULT_OWN_ID ? id
								 : "other");
	g_string_append(out, fault->rest);
}

/**
 * fault_continue() - append the next bytes
 * @sent: number of pieces that were appended before
 * @bytes: how much to append at least, if it doesn't end before
 *
 * Return: whether there are more to come.
 */
static inline bool fault_continue(const struct fault *fault, size_t *sent,
				  size_t bytes, GString *out)
{
	size_t end = out->len + bytes;

	if (fault->n_pieces && *sent == fault->n_pieces)
		return false;
	while (out->len < end) {
		g_string_append(out, fault->piece);
		if (++*sent == fault->n_pieces) {
			g_string_append(out, fault->end);
			return false;
		}
	}
	return true;
}

#endif
