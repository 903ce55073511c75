/* The load tool: options, verification of answers, the run and its report. */
#ifndef LOAD_H
#define LOAD_H

#include "ks/connection.h"

#include <stdio.h>

#define LOAD_MAX_ENTRIES 64
#define LOAD_MAX_PHASES 64

typedef enum load_class {
	LOAD_COMPLETION,
	LOAD_LOOKUP,
	LOAD_CHARGE,
	LOAD_N_CLASSES
} load_class_t;

/**
 * enum load_policy - how a request's address is chosen among the entries
 * @LOAD_PREFIX: prompts that share a prefix go to the same address
 *
 * Sent to the engines themselves, the load is that of a balancer in front of
 * them which knows every request under way: the baselines of run-mix.sh.
 */
typedef enum load_policy {
	LOAD_RANDOM,
	LOAD_ROUND_ROBIN,
	LOAD_LEAST_CONNECTIONS,
	LOAD_PREFIX,
	LOAD_N_POLICIES
} load_policy_t;

/**
 * struct load_phase - part of a run with a mix of completions of its own
 * @rate: completions a second
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
 * @rates: requests a second for each class
 * @phases: of the completions, one after the other; when there are any, they
 *	give the duration of the run and replace the ranges and the rate
 * @timeout_ms: deadline of each request, sent as X-Request-Timeout-Ms
 * @max_in_flight: requests beyond this are counted as skipped, not sent
 * @key_log: gets a line with key and verdict for each charge, or NULL
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
 * enum load_verdict - what became of a request
 * @LOAD_WHOLE: its own answer, to the end
 * @LOAD_REFUSED: an error that says it has not run
 * @LOAD_UNKNOWN: it may have run; the answer is missing
 * @LOAD_FAILED: an error, or an answer that is marked as cut short
 * @LOAD_WRONG: an answer that ended as if whole but is not, or is another
 *	request's
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
 * struct load_stream - a completion as it arrives in server-sent events
 * @line: the last line, as far as it has arrived
 * @text: of all tokens so far
 * @finish_reason: empty until one arrives
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
 * struct load_stats - outcome of one class
 * @skipped: not sent, because too many requests were in flight
 * @late: whole, but after the deadline
 * @first_us: time to the first token of each whole answer, array of int64_t
 * @whole_us: time to the end of each whole answer, array of int64_t
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
