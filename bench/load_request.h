/* One request of the load generator. */
#ifndef LOAD_REQUEST_H
#define LOAD_REQUEST_H

#include "load.h"

/**
 * struct load_pair - state shared by a charge and its duplicate
 * @refs: requests that refer to it
 * @answer: body of the first successful response, or NULL
 */
typedef struct load_pair {
	unsigned refs;
	GString *answer;
} load_pair_t;

/**
 * struct load_request - a request that is in flight or waits to be sent
 * @entry: index of its address in the options
 * @id: idempotency key of a charge, basket name of a lookup
 * @prompt: prompt of a completion
 * @max_tokens: of a completion; the amount of a charge
 * @pair: shared with the duplicate of a charge; NULL if it has none
 * @delay: time until a duplicate is sent
 * @stream: parser of a successful completion
 * @body: any other response body
 * @first_token_us: arrival of the first token; 0 before
 * @finished: called with the request once its verdict is counted; must free it
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
