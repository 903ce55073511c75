/*
 * What the replicas of the soak answer, and the callers expect: the text of a
 * response follows from the id of its request. That of a stream follows from
 * the request that began it, and from the version of the replicas' software.
 */
#ifndef SOAK_H
#define SOAK_H

#include "ks/connection.h"

#include <stdio.h>
#include <string.h>

/* Number of events of a stream. */
#define SOAK_EVENTS 6

/* Part of a prompt on which replicas crash. */
#define SOAK_CRASHING_PART "crash"

/* End of the path of a request that crashes replicas. */
#define SOAK_CRASHING_PATH "/crash"

/* Last character of a request's id: what its route lets happen to it. */
#define SOAK_BOOK 'b'	/* at most once */
#define SOAK_READ 'r'	/* may be repeated */
#define SOAK_ADVISE 'a' /* stream, at most once */
#define SOAK_NOTES 'n'	/* stream that may be resumed */

/**
 * enum soak_event - first word of a line of the record, which goes on with the
 * id of a request, the replica, Unix microseconds and a value
 * @SOAK_ARRIVED: the request arrived; not if another replica was meant
 * @SOAK_RAN: the replica began to run it
 * @SOAK_LEAVES: answered, and said that the replica leaves
 * @SOAK_AWAY: refused, and requested a back-off of the seconds
 * @SOAK_LIMITED: answered, and stated a limit of the value, in requests per
 *	second; 0 for none any more
 * @SOAK_CRASHED: the replica crashed, as it began to answer the request
 * @SOAK_EXCUSED: in place of the id and the replica, the number of a gateway
 *	that was killed, stopped or frozen
 * @SOAK_SERVES: in place of the id, the version of the replica's software; the
 *	value is the start of its process. It serves, has announced itself, and
 *	does not leave
 * @SOAK_STORE: the store is disturbed, or no longer for the value 0
 */
enum soak_event {
	SOAK_ARRIVED = 'A',
	SOAK_RAN = 'R',
	SOAK_LEAVES = 'L',
	SOAK_AWAY = 'Q',
	SOAK_LIMITED = 'S',
	SOAK_CRASHED = 'C',
	SOAK_EXCUSED = 'X',
	SOAK_SERVES = 'V',
	SOAK_STORE = 'O',
};

static inline char soak_class(ks_str_t id)
{
	return id.len ? id.data[id.len - 1] : '\0';
}

static inline bool soak_is_stream(char class)
{
	return class == SOAK_ADVISE || class == SOAK_NOTES;
}

static inline bool soak_may_repeat(char class)
{
	return class == SOAK_READ || class == SOAK_NOTES;
}

static inline void soak_seal(ks_str_t id, GString *out)
{
	g_string_append_printf(out, "seal-%.*s", (int)id.len, id.data);
}

static inline void soak_event(ks_str_t id, const char *software, int number,
			      GString *out)
{
	g_string_append_printf(out, "id: %d\ndata: piece %d of %.*s at %s\n\n",
			       number, number, (int)id.len, id.data, software);
}

/* Body of a complete response with status 200. */
static inline void soak_body(ks_str_t id, const char *software, GString *out)
{
	if (!soak_is_stream(soak_class(id))) {
		g_string_append_printf(out, "done %.*s\n", (int)id.len,
				       id.data);
		return;
	}
	for (int i = 0; i < SOAK_EVENTS; i++)
		soak_event(id, software, i, out);
}

#endif
