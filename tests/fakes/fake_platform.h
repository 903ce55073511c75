/* State of the fake-platform program and its handlers. */
#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

#include "fake_tables.h"

struct st_h2o_req_t;

/**
 * struct fake_rate - token bucket that holds one second's worth
 * @per_s: 0 for no limit
 */
typedef struct fake_rate {
	double per_s;
	double tokens;
	int64_t refilled_us;
} fake_rate_t;

/**
 * struct fake_platform - the platform in memory, with its faults
 * @down: the store answers 503 and does nothing
 * @delay_us: answers of the store are held back for this long
 * @lose_answers: so many writes take effect without being answered
 * @lose_matching: only writes whose key starts with this are lost
 * @stale_reads: reads return the value before the last write
 */
typedef struct fake_platform {
	ks_loop_t loop;
	ks_http_server_t server;
	fake_tables_t tables;
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

bool fake_rate_take(fake_rate_t *rate, double cost, int64_t now_us);
void fake_platform_handle(void *ctx, struct st_h2o_req_t *req);
void fake_platform_control(fake_platform_t *platform, struct st_h2o_req_t *req);
void fake_platform_stats(fake_platform_t *platform, struct st_h2o_req_t *req);
void fake_platform_hosts(fake_platform_t *platform, struct st_h2o_req_t *req);
void fake_platform_count(fake_platform_t *platform, ks_str_t key,
			 unsigned reads, unsigned writes);

#endif
