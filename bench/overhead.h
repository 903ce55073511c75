/* Calls of the overhead benchmark and the event loop that runs them. */
#ifndef OVERHEAD_H
#define OVERHEAD_H

#include "stats.h"

#include "ks/connection.h"

/**
 * struct overhead_options - what to measure
 * @direct: address of the upstream itself
 * @via: address of the entry that forwards to the upstream
 * @pids: process IDs of the entry and the upstream process; 0 if not given
 * @rate: requests per second through the entry, for the latency measurement
 * @concurrency: calls in flight at once
 * @rounds: rounds of the throughput measurement
 * @sizes: numbers of open streams for the memory measurement, ascending
 */
typedef struct overhead_options {
	ks_address_t direct;
	ks_address_t via;
	int pids[2];
	double rate;
	double duration_s;
	unsigned concurrency;
	unsigned rounds;
	unsigned prompt_tokens;
	unsigned output_tokens;
	unsigned sizes[STATS_MAX_POINTS];
	unsigned n_sizes;
	const char *api_key;
	const char *model;
} overhead_options_t;

typedef struct overhead_call overhead_call_t;

/**
 * struct overhead_run - state shared by the calls of a measurement
 * @active: calls in flight
 * @n_complete: calls with status 200 and a complete response
 * @n_failed: all other finished calls
 * @n_tokens: server-sent events received by all calls; each is one token
 * @on_token: called for each event of a stream, or NULL
 * @on_finished: called when a call ends, or NULL; the call is freed on return
 * @ctx: for use by the measurement
 */
typedef struct overhead_run {
	ks_loop_t loop;
	ks_http_client_t client;
	const overhead_options_t *options;
	unsigned active;
	uint64_t n_complete;
	uint64_t n_failed;
	uint64_t n_tokens;
	ks_list_t calls;
	void (*on_token)(overhead_call_t *call, int64_t now);
	void (*on_finished)(overhead_call_t *call);
	void *ctx;
} overhead_run_t;

/**
 * struct overhead_call - one request
 * @via: sent to the entry rather than to the upstream
 * @kind: for use by the measurement
 * @n_tokens: server-sent events received
 * @last_byte: previous byte of the body, to find the ends of events
 * @complete: ended with status 200 and a complete response
 */
struct overhead_call {
	ks_list_t node;
	overhead_run_t *run;
	ks_http_call_t http;
	bool via;
	int kind;
	int64_t sent_us;
	int64_t done_us;
	int status;
	unsigned n_tokens;
	char last_byte;
	bool complete;
};

void overhead_run_init(overhead_run_t *run, const overhead_options_t *options);
void overhead_run_deinit(overhead_run_t *run);
overhead_call_t *overhead_lookup(overhead_run_t *run, bool via, int kind);
overhead_call_t *overhead_stream(overhead_run_t *run, bool via, int kind,
				 unsigned output_tokens);
void overhead_run_until(overhead_run_t *run, int64_t until_us);
void overhead_wait(overhead_run_t *run, int64_t limit_us);

#endif
