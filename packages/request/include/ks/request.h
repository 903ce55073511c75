/*
 * request: what lives as long as a request: reading it, admitting it, claiming
 * it, choosing its upstream and retrying it. Nothing here does I/O.
 */
#ifndef KS_REQUEST_H
#define KS_REQUEST_H

#include "ks/core.h"

G_BEGIN_DECLS

/* api.c: OpenAI-style completion requests */

/**
 * struct ks_completion - what routing needs to know of a completion request
 * @model: as the caller named it
 * @stream: answer as server-sent events
 * @has_seed: the caller gave a seed for sampling
 * @n_choices: answers wanted
 * @prompt_tokens: estimate
 * @max_tokens: most tokens generated
 * @prefix_hashes: one chained hash for each whole block of the prompt, an
 *	array of uint64_t
 */
typedef struct ks_completion {
	char *model;
	bool chat;
	bool stream;
	bool has_seed;
	uint32_t n_choices;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	GArray *prefix_hashes;
} ks_completion_t;

#define KS_PREFIX_BLOCK_TOKENS 2000

bool ks_completion_parse(ks_completion_t *completion, ks_str_t body, bool chat,
			 GError **error);
void ks_completion_deinit(ks_completion_t *completion);

/* idempotency.c */

/**
 * struct ks_idempotency_key - key of a non-idempotent request
 * @text: the key as the caller sent it
 * @issued_us: time of issue, Unix time
 */
typedef struct ks_idempotency_key {
	ks_str_t text;
	int64_t issued_us;
} ks_idempotency_key_t;

#define KS_KEY_RETENTION_US (24 * 3600 * KS_USEC_PER_SEC)
#define KS_KEY_MAX_SKEW_US (5 * 60 * KS_USEC_PER_SEC)

bool ks_idempotency_key_parse(ks_idempotency_key_t *key, ks_str_t text,
			      ks_str_t date, int64_t now_us, GError **error);

/* route.c */

/**
 * struct ks_candidate - an upstream that may serve a request
 * @id: of the upstream; valid during the call only
 * @one_way_delay_us: one-way delay to its failure domain
 * @in_flight: requests handed out and not answered, as known here
 * @prompt_tokens: not yet prefilled, as known here
 * @output_tokens: still expected, as known here
 * @limit: requests accepted at once
 * @cached_tokens: tokens of this prompt believed to be in the prefix cache
 * @excluded: already tried, ejected, leaving or changing
 * @same_domain_failed: shares its failure domain with an attempt that failed
 * @delays_others: requests under way there would miss their deadlines
 * @affinity_us: prefill that later requests are expected to save when this one
 *	goes there
 */
typedef struct ks_candidate {
	ks_str_t id;
	int64_t one_way_delay_us;
	uint32_t in_flight;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint32_t limit;
	uint32_t cached_tokens;
	bool excluded;
	bool same_domain_failed;
	bool delays_others;
	double affinity_us;
	double prefill_us_per_token;
	double decode_us_per_token;
} ks_candidate_t;

/**
 * struct ks_route_request - what is to be placed
 */
typedef struct ks_route_request {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	int64_t time_left_us;
} ks_route_request_t;

/**
 * struct ks_route_choice - where a request goes
 * @index: of the candidate, or -1 when none can take it
 * @finish_us: expected time to finish
 */
typedef struct ks_route_choice {
	int index;
	int64_t finish_us;
} ks_route_choice_t;

ks_route_choice_t ks_route_choose(const ks_route_request_t *request,
				  const ks_candidate_t *candidates,
				  size_t n_candidates, ks_rng_t *rng);

/* split.c */

/**
 * struct ks_split_engine - an engine that may serve a completion
 * @is_prefill: it has the role prefill
 * @is_decode: it has the role decode
 */
typedef struct ks_split_engine {
	ks_candidate_t candidate;
	bool is_prefill;
	bool is_decode;
} ks_split_engine_t;

/**
 * struct ks_split_choice - the engines of a split
 * @prefill: index of the engine that prefills, or -1
 * @decode: index of the engine that decodes, or -1
 * @saved_us: expected, against the best engine alone
 */
typedef struct ks_split_choice {
	int prefill;
	int decode;
	int64_t saved_us;
} ks_split_choice_t;

ks_split_choice_t ks_split_choose(const ks_route_request_t *request,
				  const ks_split_engine_t *engines,
				  size_t n_engines, double block_us);

/* route_policy.c */

/**
 * enum ks_routing_policy - how an upstream is chosen
 * @KS_ROUTING_EXPECTED_FINISH: ks_route_choose(), with admission by deadline
 *
 * The others are for comparison and go without admission.
 */
typedef enum ks_routing_policy {
	KS_ROUTING_EXPECTED_FINISH,
	KS_ROUTING_ROUND_ROBIN,
	KS_ROUTING_LEAST_CONNECTIONS,
	KS_ROUTING_PREFIX_AFFINITY,
	KS_ROUTING_N_POLICIES
} ks_routing_policy_t;

bool ks_routing_policy_parse(ks_routing_policy_t *policy, ks_str_t name);
int ks_route_choose_by_policy(ks_routing_policy_t policy,
			      const ks_candidate_t *candidates,
			      size_t n_candidates, unsigned turn,
			      uint64_t prefix);

/* admission.c */

typedef struct ks_admission ks_admission_t;

/**
 * enum ks_admission_verdict - what happens to a request that arrives
 */
typedef enum ks_admission_verdict {
	KS_ADMIT,
	KS_ADMIT_QUEUE,
	KS_ADMIT_REFUSE,
} ks_admission_verdict_t;

/**
 * struct ks_ticket - a request's place in admission, on memory of its owner
 * @tenant: terminated; valid until ks_admission_leave()
 * @work_us: expected time between admission and the end of the answer
 * @cost_us: share of an upstream's time that this takes, by which tenants share
 *	and the backlog is measured; 0 stands for @work_us
 * @deadline_us: on the monotonic clock
 * @priority: class; 0 is served first
 * @ctx: of the owner
 * @admitted: has started and not left
 *
 * The owner sets the members up to @ctx; the others belong to admission.
 */
typedef struct ks_ticket {
	const char *tenant;
	double work_us;
	double cost_us;
	int64_t deadline_us;
	unsigned priority;
	void *ctx;
	bool queued;
	bool admitted;
	int64_t admitted_us;
	double finish_tag;
	unsigned fair_place;
	unsigned deadline_place;
	ks_list_t node;
} ks_ticket_t;

/**
 * ks_admission_forecast_func_t - time until an upstream can take a request so
 * that neither it nor those under way there miss their deadlines
 *
 * Return: microseconds; 0 when one can take it now, INFINITY when none ever
 * will.
 */
typedef double (*ks_admission_forecast_func_t)(void *ctx,
					       const ks_ticket_t *ticket);

ks_admission_t *ks_admission_new(void);
void ks_admission_free(ks_admission_t *admission);
void ks_admission_set_capacity(ks_admission_t *admission, double concurrency);
void ks_admission_set_forecast(ks_admission_t *admission,
			       ks_admission_forecast_func_t gate, void *ctx);
void ks_admission_set_servers(ks_admission_t *admission, double servers);
void ks_admission_set_weight(ks_admission_t *admission, const char *tenant,
			     double weight);
ks_admission_verdict_t ks_admission_arrive(ks_admission_t *admission,
					   ks_ticket_t *ticket, int64_t now_us,
					   int64_t *retry_after_us);
void ks_admission_leave(ks_admission_t *admission, ks_ticket_t *ticket,
			int64_t now_us);
ks_ticket_t *ks_admission_next(ks_admission_t *admission, int64_t now_us);
ks_ticket_t *ks_admission_expired(ks_admission_t *admission, int64_t now_us,
				  int64_t *retry_after_us);

/* limit.c: concurrency limit of one upstream, learned from latency */

/**
 * struct ks_limit - see ks_limit_sample()
 * @value: attempts that may be under way at once
 * @baseline: least recent ratio of real to expected latency
 * @recent: that ratio now
 */
typedef struct ks_limit {
	double value;
	double min;
	double max;
	double baseline;
	double recent;
} ks_limit_t;

void ks_limit_init(ks_limit_t *limit, double initial, double min, double max);
void ks_limit_sample(ks_limit_t *limit, int64_t latency_us, int64_t expected_us,
		     unsigned in_flight);
void ks_limit_overload(ks_limit_t *limit);
void ks_limit_deadline(ks_limit_t *limit, bool missed, double in_flight);
unsigned ks_limit_value(const ks_limit_t *limit);

/* retry.c */

/**
 * struct ks_retry_budget - retries allowed as a share of traffic
 * @ratio: retries earned by each request
 * @tokens: retries left
 * @max_tokens: most retries that can be saved up
 */
typedef struct ks_retry_budget {
	double ratio;
	double tokens;
	double max_tokens;
} ks_retry_budget_t;

/**
 * struct ks_attempt_failure - how an attempt ended
 * @kind: why
 * @not_started: the upstream process says that it never ran
 * @delivered: the caller has been sent part of the answer
 */
typedef struct ks_attempt_failure {
	ks_error_kind_t kind;
	bool not_started;
	bool delivered;
} ks_attempt_failure_t;

void ks_retry_budget_init(ks_retry_budget_t *budget, double ratio,
			  double max_tokens);
void ks_retry_budget_deposit(ks_retry_budget_t *budget);
bool ks_retry_allowed(ks_retry_budget_t *budget,
		      const ks_attempt_failure_t *failure, bool idempotent,
		      unsigned attempts, int64_t time_left_us);

/* ejection.c */

/**
 * struct ks_ejection - health of one upstream as seen by one entry
 * @failures: in a row
 * @until_us: no request is sent before this time
 * @probing: one request is under way to see whether the upstream has recovered
 */
typedef struct ks_ejection {
	unsigned failures;
	int64_t until_us;
	bool probing;
} ks_ejection_t;

void ks_ejection_init(ks_ejection_t *ejection);
void ks_ejection_success(ks_ejection_t *ejection);
void ks_ejection_failure(ks_ejection_t *ejection, int64_t now_us,
			 ks_rng_t *rng);
bool ks_ejection_is_active(const ks_ejection_t *ejection, int64_t now_us);
void ks_ejection_dispatch(ks_ejection_t *ejection, int64_t now_us);
size_t ks_ejection_cap(const ks_ejection_t *const *group, size_t count,
		       int64_t now_us, bool *out);

/* prefix.c */

typedef struct ks_prefix_index ks_prefix_index_t;

ks_prefix_index_t *ks_prefix_index_new(size_t max_blocks, int64_t half_life_us);
void ks_prefix_index_free(ks_prefix_index_t *belief);
void ks_prefix_index_add(ks_prefix_index_t *belief, const uint64_t *hashes,
			 size_t count, int64_t now_us);
void ks_prefix_index_evict(ks_prefix_index_t *belief, uint64_t hash);
void ks_prefix_index_correct(ks_prefix_index_t *belief, const uint64_t *hashes,
			     size_t count, size_t cached_blocks,
			     int64_t now_us);
uint32_t ks_prefix_index_tokens(const ks_prefix_index_t *belief,
				const uint64_t *hashes, size_t count,
				int64_t now_us);

/* subset.c */

size_t ks_subset_choose(ks_str_t entry, const ks_str_t *upstreams,
			const ks_str_t *domains, size_t count, size_t wanted,
			size_t *chosen);

/* claim.c: state machine of one non-idempotent request with a key */

/**
 * enum ks_claim_state - state of a claim row
 */
typedef enum ks_claim_state {
	KS_CLAIM_CLAIMED,
	KS_CLAIM_DONE,
	KS_CLAIM_NOT_RUN,
	KS_CLAIM_UNKNOWN,
} ks_claim_state_t;

#define KS_FINGERPRINT_SIZE 16

/**
 * struct ks_claim - a claim row
 * @fingerprint: hash of method, path and body
 * @attempt: attempt that the holder may dispatch
 * @holder: incarnation of the claiming entry
 * @request: request id of the attempt
 * @state: see enum ks_claim_state
 * @expires_us: wall clock; another entry may then mark it unknown
 * @status: HTTP status of a stored answer
 * @content_type: of a stored answer; owned, may be NULL
 * @answer: stored body; owned, NULL when @object holds it
 * @object: name of the object that holds a large body; owned, may be NULL
 */
typedef struct ks_claim {
	uint8_t fingerprint[KS_FINGERPRINT_SIZE];
	uint32_t attempt;
	ks_id_t holder;
	ks_id_t request;
	ks_claim_state_t state;
	int64_t expires_us;
	int status;
	char *content_type;
	GBytes *answer;
	char *object;
} ks_claim_t;

/* A larger body is stored as an object, which keeps rows small. */
#define KS_CLAIM_MAX_INLINE (64 * 1024)
/*
 * Added to the deadline for the expiry of a claim. It covers the difference of
 * the wall clocks of two hosts; a wrong clock makes an outcome unknown, but
 * never lets an attempt run twice.
 */
#define KS_CLAIM_EXPIRY_MARGIN_US (10 * KS_USEC_PER_SEC)
/* Rows are removed an hour after the retention; dispatch ends well before. */
#define KS_CLAIM_DISPATCH_GRACE_US (30 * 60 * KS_USEC_PER_SEC)
/* How long a holder tries to store how its attempt ended. */
#define KS_CLAIM_SETTLE_TIMEOUT_US (10 * 60 * KS_USEC_PER_SEC)

void ks_claim_deinit(ks_claim_t *claim);
void ks_claim_fingerprint(uint8_t fingerprint[KS_FINGERPRINT_SIZE],
			  ks_str_t method, ks_str_t path, ks_str_t body);
char *ks_claim_row_key(const ks_idempotency_key_t *key, ks_str_t tenant);
int64_t ks_claim_hour(int64_t issued_us);
char *ks_claim_encode(const ks_claim_t *claim);
bool ks_claim_decode(ks_claim_t *claim, ks_str_t value, GError **error);

/**
 * enum ks_claim_step - what the ledger does next for a request
 * @KS_CLAIM_STEP_INSERT: write the claim if there is no row
 * @KS_CLAIM_STEP_READ: read the row
 * @KS_CLAIM_STEP_TAKE_OVER: write the claim over the row with the known etag
 * @KS_CLAIM_STEP_MARK_UNKNOWN: mark the lapsed claim of another request unknown
 * @KS_CLAIM_STEP_STORE: write @claim over the row with the known etag, or
 *insert it if that is empty
 * @KS_CLAIM_STEP_WAIT: wait, then call ks_claim_machine_resume()
 * @KS_CLAIM_STEP_DISPATCH: hand the attempt on now
 * @KS_CLAIM_STEP_REPLAY: answer from the row
 * @KS_CLAIM_STEP_FAIL: answer with the machine's @failure, then call
 *	ks_claim_machine_settle()
 * @KS_CLAIM_STEP_FINISH: nothing is left to do
 * @KS_CLAIM_STEP_NONE: wait for the operation under way
 */
typedef enum ks_claim_step {
	KS_CLAIM_STEP_INSERT,
	KS_CLAIM_STEP_READ,
	KS_CLAIM_STEP_TAKE_OVER,
	KS_CLAIM_STEP_MARK_UNKNOWN,
	KS_CLAIM_STEP_STORE,
	KS_CLAIM_STEP_WAIT,
	KS_CLAIM_STEP_DISPATCH,
	KS_CLAIM_STEP_REPLAY,
	KS_CLAIM_STEP_FAIL,
	KS_CLAIM_STEP_FINISH,
	KS_CLAIM_STEP_NONE,
} ks_claim_step_t;

/**
 * enum ks_claim_event - how an operation on the row ended
 * @KS_CLAIM_EVENT_WRITTEN: the write took effect
 * @KS_CLAIM_EVENT_PRECONDITION_FAILED: its precondition failed
 * @KS_CLAIM_EVENT_UNKNOWN: it may have taken effect or may do so later
 * @KS_CLAIM_EVENT_FAILED: the write took no effect and never will, or the
 *	read failed
 */
typedef enum ks_claim_event {
	KS_CLAIM_EVENT_WRITTEN,
	KS_CLAIM_EVENT_PRECONDITION_FAILED,
	KS_CLAIM_EVENT_UNKNOWN,
	KS_CLAIM_EVENT_FAILED,
} ks_claim_event_t;

/**
 * enum ks_claim_phase - where a request with a claim stands
 */
typedef enum ks_claim_phase {
	KS_CLAIM_CLAIMING,
	KS_CLAIM_DISPATCHED,
	KS_CLAIM_SETTLING,
	KS_CLAIM_FINISHED,
} ks_claim_phase_t;

/**
 * struct ks_claim_times - one moment on both clocks
 * @loop_us: the loop's clock
 * @wall_us: Unix time
 */
typedef struct ks_claim_times {
	int64_t loop_us;
	int64_t wall_us;
} ks_claim_times_t;

/**
 * struct ks_claim_machine - state of one request that needs a claim
 * @claim: the row as this request writes it
 * @etag: of the row that the next conditional write expects; empty: no row
 * @deadline: no dispatch at or after it, on either clock
 * @settle_until_us: loop clock; the end of the tries to store the outcome
 * @asked: last step handed out
 * @in_flight: the operation of @asked has not ended
 * @maybe_claimed: a claim write of this request had an unknown outcome
 * @held: the row is known to have carried this request's claim
 * @row_exists: there is a row, which may be that of another request
 * @failure: why the request failed
 */
typedef struct ks_claim_machine {
	ks_claim_t claim;
	GString *etag;
	ks_claim_times_t deadline;
	int64_t settle_until_us;
	ks_claim_phase_t phase;
	ks_claim_step_t asked;
	bool in_flight;
	bool maybe_claimed;
	bool held;
	bool row_exists;
	ks_error_kind_t failure;
} ks_claim_machine_t;

void ks_claim_machine_init(ks_claim_machine_t *machine,
			   const uint8_t fingerprint[KS_FINGERPRINT_SIZE],
			   const ks_id_t *holder, const ks_id_t *request,
			   int64_t issued_us, int64_t timeout_us,
			   ks_claim_times_t now);
void ks_claim_machine_deinit(ks_claim_machine_t *machine);
ks_claim_step_t ks_claim_machine_start(ks_claim_machine_t *machine);
ks_claim_step_t ks_claim_machine_event(ks_claim_machine_t *machine,
				       ks_claim_event_t event, ks_str_t etag,
				       ks_claim_times_t now);
ks_claim_step_t ks_claim_machine_row(ks_claim_machine_t *machine,
				     const ks_claim_t *row, ks_str_t etag,
				     ks_claim_times_t now);
ks_claim_step_t ks_claim_machine_resume(ks_claim_machine_t *machine,
					ks_claim_times_t now);
ks_claim_step_t ks_claim_machine_deadline(ks_claim_machine_t *machine,
					  ks_claim_times_t now);
ks_claim_step_t ks_claim_machine_end(ks_claim_machine_t *machine,
				     ks_claim_state_t state,
				     ks_claim_times_t now);
ks_claim_step_t ks_claim_machine_settle(ks_claim_machine_t *machine,
					ks_claim_times_t now);

G_END_DECLS

#endif
