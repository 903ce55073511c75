/*
 * Load generator: options, response verification, the run and its report.
 *
 * The load has three classes of requests, each with Poisson arrivals at its own
 * rate: streamed completions for the stand-in engine (tests/fakes), and lookups
 * and charges for the stand-in plain service.
 */
#ifndef LOAD_H
#define LOAD_H

#include "ks/connection.h"

#include <stdio.h>

#define LOAD_MAX_ENTRIES 64
#define LOAD_MAX_PHASES 64

/**
 * enum load_class - kinds of requests
 * @LOAD_COMPLETION: POST of a prompt, answered by a stream of tokens
 * @LOAD_LOOKUP: idempotent GET
 * @LOAD_CHARGE: POST with an idempotency key, which has to run only once; some
 *	are sent twice
 */
typedef enum load_class {
	LOAD_COMPLETION,
	LOAD_LOOKUP,
	LOAD_CHARGE,
	LOAD_N_CLASSES
} load_class_t;

/**
 * enum load_policy - how the address of a request is chosen
 * @LOAD_LEAST_CONNECTIONS: the address with the fewest requests in flight
 * @LOAD_PREFIX: prompts that share a prefix go to the same address
 *
 * If the addresses are those of the engines, the load generator acts as a load
 * balancer in front of them that knows every request in flight: a baseline for
 * the routing policies of the entry.
 */
typedef enum load_policy {
	LOAD_RANDOM,
	LOAD_ROUND_ROBIN,
	LOAD_LEAST_CONNECTIONS,
	LOAD_PREFIX,
	LOAD_N_POLICIES
} load_policy_t;

/**
 * struct load_phase - part of a run with its own mix of completions
 * @rate: completions per second
 * @prompt_min: fewest tokens of a prompt
 * @prompt_max: most tokens of a prompt
 * @output_min: smallest max_tokens of a completion
 * @output_max: largest max_tokens of a completion
 */
typedef struct load_phase {
	double duration_s;
	double rate;
	unsigned prompt_min;
	unsigned prompt_max;
	unsigned output_min;
	unsigned output_max;
} load_phase_t;

/**
 * struct load_options - what to send and where
 * @entries: addresses to send to
 * @seed: determines all requests and their arrival times, except for the
 *	timestamps in the idempotency keys
 * @phases: consecutive mixes of completions; if there are any, they set the
 *	duration of the run and replace the token ranges and the rate of
 *	completions
 * @rates: mean requests per second of each class
 * @prompt_min: fewest tokens of a prompt
 * @prompt_max: most tokens of a prompt
 * @output_min: smallest max_tokens of a completion
 * @output_max: largest max_tokens of a completion
 * @timeout_ms: deadline of each request, sent as X-Request-Timeout-Ms
 * @max_in_flight: limit of requests in flight; an arrival beyond it is counted
 *	as skipped instead of sent
 * @key_log: receives a line with key and verdict for each charge, or NULL
 * @json: report as JSON instead of text
 */
typedef struct load_options {
	ks_address_t entries[LOAD_MAX_ENTRIES];
	unsigned n_entries;
	load_policy_t policy;
	uint32_t seed;
	load_phase_t phases[LOAD_MAX_PHASES];
	unsigned n_phases;
	double duration_s;
	double rates[LOAD_N_CLASSES];
	unsigned prompt_min;
	unsigned prompt_max;
	unsigned output_min;
	unsigned output_max;
	unsigned timeout_ms;
	unsigned max_in_flight;
	char *api_key;
	char *model;
	char *lookup_path;
	char *charge_path;
	FILE *key_log;
	bool json;
} load_options_t;

/* load_options.c */

const char *load_policy_name(load_policy_t policy);
bool load_options_parse(load_options_t *options, int argc, char **argv,
			int *status);
void load_options_deinit(load_options_t *options);

/* load_verify.c */

/**
 * enum load_verdict - outcome of a request
 * @LOAD_WHOLE: complete and correct response
 * @LOAD_REFUSED: error response which states that the request did not run
 * @LOAD_UNKNOWN: charge without a complete response, or an error response which
 *	leaves open whether the request ran
 * @LOAD_FAILED: any other failure, such as a stream that ends with an error
 * @LOAD_WRONG: response that ended as if complete but is truncated, belongs to
 *	another request, reports a second execution or differs from the response
 *	to the duplicate
 */
typedef enum load_verdict {
	LOAD_WHOLE,
	LOAD_REFUSED,
	LOAD_UNKNOWN,
	LOAD_FAILED,
	LOAD_WRONG,
	LOAD_N_VERDICTS
} load_verdict_t;

/**
 * struct load_stream - parser of a completion sent as server-sent events
 * @line: incomplete last line
 * @text: text of all tokens received
 * @finish_reason: empty until one arrives
 * @completion_tokens: token count in usage; valid if @has_usage
 * @done: [DONE] has arrived
 * @failed: an error event has arrived
 * @malformed: an event was not JSON or followed [DONE]
 */
typedef struct load_stream {
	GString *line;
	GString *text;
	char finish_reason[16];
	int64_t completion_tokens;
	bool has_usage;
	bool done;
	bool failed;
	bool malformed;
} load_stream_t;

const char *load_verdict_name(load_verdict_t verdict);
void load_stream_init(load_stream_t *stream);
void load_stream_deinit(load_stream_t *stream);
void load_stream_feed(load_stream_t *stream, ks_str_t data);
void load_expected_text(GString *out, ks_str_t prompt, unsigned tokens);
load_verdict_t load_verify_completion(const load_stream_t *stream,
				      ks_str_t prompt, unsigned max_tokens,
				      const char **reason);
load_verdict_t load_verify_error(int status, ks_str_t body);
bool load_verify_executions(ks_str_t body);
bool load_verify_id(ks_str_t body, const char *member, const char *value);

/* load_run.c */

/**
 * struct load_stats - outcomes of the requests of one class
 * @skipped: not sent because max_in_flight was reached
 * @verdicts: requests by outcome
 * @late: LOAD_WHOLE after the deadline
 * @tokens: completion tokens of all LOAD_WHOLE responses
 * @ttft_us: time to first token of each LOAD_WHOLE response, array of int64_t;
 *	for plain services that of the whole response
 * @latency_us: time to the end of each LOAD_WHOLE response, array of int64_t
 */
typedef struct load_stats {
	uint64_t sent;
	uint64_t skipped;
	uint64_t verdicts[LOAD_N_VERDICTS];
	uint64_t late;
	uint64_t tokens;
	GArray *ttft_us;
	GArray *latency_us;
} load_stats_t;

void load_stats_init(load_stats_t stats[LOAD_N_CLASSES]);
void load_stats_deinit(load_stats_t stats[LOAD_N_CLASSES]);
void load_run(ks_loop_t *loop, const load_options_t *options,
	      load_stats_t stats[LOAD_N_CLASSES]);

/* load_report.c */

void load_report(const load_options_t *options,
		 const load_stats_t stats[LOAD_N_CLASSES]);
bool load_any_wrong(const load_stats_t stats[LOAD_N_CLASSES]);

#endif
