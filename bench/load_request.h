/* One request of the load tool; see load_request.c. */
#ifndef LOAD_REQUEST_H
#define LOAD_REQUEST_H

#include "load.h"

/**
 * struct load_pair - what the copies of one charge share
 * @answer: of the first copy that was answered, or NULL
 */
typedef struct load_pair {
	unsigned refs;
	GString *answer;
} load_pair_t;

/**
 * struct load_request - one request under way
 * @id: key of a charge or name of a basket
 * @delay: until it is sent
 * @finished: called with the request, which is then freed
 */
typedef struct load_request {
	ks_list_t node;
	const load_options_t *options;
	ks_http_client_t *client;
	load_stats_t *stats;
	load_class_t class;
	unsigned entry;
	char id[64];
	GString *prompt;
	unsigned max_tokens;
	load_pair_t *pair;
	ks_timer_t delay;
	ks_http_call_t call;
	load_stream_t stream;
	GString *body;
	int status;
	int64_t sent_us;
	int64_t first_token_us;
	void (*finished)(void *ctx, struct load_request *request);
	void *ctx;
} load_request_t;

void load_request_send(load_request_t *request);
void load_request_cancel(load_request_t *request);
void load_request_free(load_request_t *request);

#endif
