/* State and request handlers of the fake platform; see fake-platform.c. */
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "fake_tables.h"

struct st_h2o_req_t;

/**
 * struct fake_rate - token bucket with a capacity of one second's tokens
 * @per_s: tokens added per second; 0 for no limit
 */
typedef struct fake_rate {
	double per_s;
	double tokens;
	int64_t refilled_us;
} fake_rate_t;

/**
 * struct fake_platform - the platform's data and the injected faults
 * @copy: what the store had when the copy was taken
 * @has_copy: a copy was taken
 * @era: how often the store has returned from it, and what it tells in each
 *	response; 0 if it has not
 * @token: bearer token that clients must send, or NULL
 * @weight_rate: limits the downloads of model weights
 * @down: the store responds with 503 to all requests
 * @hosts_down: the host list responds with 503
 * @stale_reads: single reads return the value before the last write
 * @delay_us: delay of the store's responses
 * @lose_answers: number of further writes to apply without responding
 * @lose_matching: restricts @lose_answers to keys with this prefix; may be NULL
 * @hosts: names of all hosts
 * @leaving: names of hosts that are about to be removed
 * @reads: number of reads of the store
 * @writes: number of written rows and objects
 * @limited: number of requests rejected by a rate limit
 * @prefixes: struct prefix_count by the first component of the key
 */
typedef struct fake_platform {
	ks_loop_t *loop;
	ks_http_server_t server;
	fake_tables_t tables;
	fake_tables_t copy;
	bool has_copy;
	unsigned era;
	char *token;
	fake_rate_t write_rate;
	fake_rate_t read_rate;
	fake_rate_t weight_rate;
	bool down;
	bool hosts_down;
	bool stale_reads;
	int64_t delay_us;
	unsigned lose_answers;
	char *lose_matching;
	GPtrArray *hosts;
	GPtrArray *leaving;
	uint64_t reads;
	uint64_t writes;
	uint64_t limited;
	GTree *prefixes;
} fake_platform_t;

bool fake_platform_init(fake_platform_t *platform, ks_loop_t *loop,
			const ks_address_t *address, GError **error);
void fake_platform_deinit(fake_platform_t *platform);
void fake_platform_reset(fake_platform_t *platform);
bool fake_rate_take(fake_rate_t *rate, double cost, int64_t now_us);
void fake_platform_handle(void *ctx, struct st_h2o_req_t *req);
void fake_platform_control(fake_platform_t *platform, struct st_h2o_req_t *req);
void fake_platform_stats(fake_platform_t *platform, struct st_h2o_req_t *req);
void fake_platform_hosts(fake_platform_t *platform, struct st_h2o_req_t *req);
void fake_platform_count(fake_platform_t *platform, ks_str_t key,
			 unsigned reads, unsigned writes);

#endif
