/*
 * request: policy for a single request: parsing, admission control, idempotency
 * claims, routing and retries, and the per-upstream state these need
 * (concurrency limit, ejection, prefix cache index). Nothing here does I/O; the
 * current time is always passed in.
 *
 * Terms used in this package:
 *
 * entry - the proxy process that accepts requests from callers
 * upstream - a process that serves requests: an engine or a plain service
 * engine - an LLM inference server; it serves completions of one or more models
 * plain service - any other HTTP service; its requests have no tokens
 * failure domain - a set of hosts that may fail together, such as a rack
 * attempt - one dispatch of a request to one upstream
 * claim - a row in the shared store by which one entry reserves the execution
 * of a non-idempotent request
 */
#ifndef KS_REQUEST_H
#define KS_REQUEST_H

#include "ks/core.h"
#include "ks/quarantine.h"

G_BEGIN_DECLS

/* api.c: OpenAI-compatible completion requests */

/**
 * struct ks_completion - the fields of a completion request that routing uses
 * @model: model name as sent by the caller
 * @chat: chat completion: the body has "messages" instead of "prompt"
 * @stream: the response is sent as server-sent events
 * @has_seed: the request sets a sampling seed
 * @n_choices: number of completions requested
 * @prompt_tokens: estimated length of the prompt
 * @max_tokens: maximum number of tokens to generate
 * @prefix_hashes: array of uint64_t, one hash per full prompt block; each hash
 *	also covers all blocks before it
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

/*
 * Size of a prompt block: the unit in which prompts are hashed and the content
 * of prefix caches is tracked.
 */
#define KS_PREFIX_BLOCK_TOKENS 2000

bool ks_completion_parse(ks_completion_t *completion, ks_str_t body, bool chat,
			 GError **error);
void ks_completion_deinit(ks_completion_t *completion);

/* idempotency.c: the Idempotency-Key header */

/**
 * struct ks_idempotency_key - idempotency key of a non-idempotent request
 * @text: key as sent by the caller; not owned
 * @issued_us: when the caller created the key, Unix time
 */
typedef struct ks_idempotency_key {
	ks_str_t text;
	int64_t issued_us;
} ks_idempotency_key_t;

/* Age up to which a key is accepted; its claim row is kept longer than this. */
#define KS_KEY_RETENTION_US (24 * 3600 * KS_USEC_PER_SEC)
/* How far ahead of the entry's clock the time of issue may be. */
#define KS_KEY_MAX_SKEW_US (5 * 60 * KS_USEC_PER_SEC)

bool ks_idempotency_key_parse(ks_idempotency_key_t *key, ks_str_t text,
			      ks_str_t date, int64_t now_us, GError **error);

/* route.c: choice of the upstream with the earliest expected finish */

/**
 * struct ks_candidate - an upstream that may serve a request
 * @id: upstream id; needs to be valid only during the call
 * @one_way_delay_us: network delay to the upstream's failure domain
 * @in_flight: known requests dispatched to the upstream that have no complete
 *	response yet
 * @prompt_tokens: prompt tokens of those requests still to be prefilled
 * @output_tokens: output tokens of those requests still to be generated
 * @limit: concurrency limit; 0: unlimited
 * @cached_tokens: prompt tokens of this request estimated to be in the
 *	upstream's prefix cache
 * @excluded: it must not be used: it is already tried, ejected, draining or
 *being reconfigured
 * @same_domain_failed: an attempt at this request failed in the same failure
 *	domain
 * @delays_others: adding this request would make requests in flight on the
 *	upstream miss their deadlines
 * @affinity_us: prefill time that later requests are expected to save if this
 *	request is sent to the upstream
 * @prefill_us_per_token: time to prefill one prompt token
 * @decode_us_per_token: time to generate one output token
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
 * struct ks_route_request - the properties of a request that routing uses
 * @prompt_tokens: length of the prompt; 0 for a plain service
 * @output_tokens: expected length of the output; 0 for a plain service
 * @time_left_us: time until the deadline
 */
typedef struct ks_route_request {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	int64_t time_left_us;
} ks_route_request_t;

/**
 * struct ks_route_choice - result of routing
 * @index: index of the chosen candidate, or -1 if there is none
 * @finish_us: expected time until the response is complete
 */
typedef struct ks_route_choice {
	int index;
	int64_t finish_us;
} ks_route_choice_t;

ks_route_choice_t ks_route_choose(const ks_route_request_t *request,
				  const ks_candidate_t *candidates,
				  size_t n_candidates, ks_rng_t *rng);

/*
 * split.c: disaggregated serving. A split completion is prefilled on one
 * engine; its KV cache is then transferred to another engine, which decodes.
 */

/**
 * struct ks_split_engine - an engine that may serve a completion
 * @candidate: load and speed of the engine
 * @is_prefill: the engine has the prefill role
 * @is_decode: the engine has the decode role
 */
typedef struct ks_split_engine {
	ks_candidate_t candidate;
	bool is_prefill;
	bool is_decode;
} ks_split_engine_t;

/**
 * struct ks_split_choice - engines of a split completion
 * @prefill: index of the engine that prefills, or -1 for no split
 * @decode: index of the engine that decodes, or -1 for no split
 * @saved_us: expected time saved compared to the best single engine
 */
typedef struct ks_split_choice {
	int prefill;
	int decode;
	int64_t saved_us;
} ks_split_choice_t;

ks_split_choice_t ks_split_choose(const ks_route_request_t *request,
				  const ks_split_engine_t *engines,
				  size_t n_engines, double block_us);

/* route_policy.c: baseline routing policies */

/**
 * enum ks_routing_policy - how an upstream is chosen
 * @KS_ROUTING_EXPECTED_FINISH: ks_route_choose(), with admission control
 * @KS_ROUTING_ROUND_ROBIN: each upstream in turn
 * @KS_ROUTING_LEAST_CONNECTIONS: fewest requests in flight
 * @KS_ROUTING_PREFIX_AFFINITY: rendezvous hash of the first prompt block
 * @KS_ROUTING_N_POLICIES: number of policies
 *
 * The policies other than KS_ROUTING_EXPECTED_FINISH are baselines for
 * comparison; admission control is off with them.
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

/* admission.c: admission control with fair queueing among tenants */

typedef struct ks_admission ks_admission_t;

/**
 * enum ks_admission_verdict - decision on an arriving request
 * @KS_ADMIT: dispatch it now
 * @KS_ADMIT_QUEUE: it waits in the queue
 * @KS_ADMIT_REFUSE: refuse it, as it could not finish by its deadline
 */
typedef enum ks_admission_verdict {
	KS_ADMIT,
	KS_ADMIT_QUEUE,
	KS_ADMIT_REFUSE,
} ks_admission_verdict_t;

/**
 * struct ks_ticket - admission state of one request, allocated by its owner
 * @tenant: NUL-terminated name; must stay valid until ks_admission_leave()
 * @work_us: expected time from admission to the end of the response
 * @cost_us: upstream time that the request occupies. Tenants share the
 *	capacity, and the backlog is measured, in this unit. 0: use @work_us.
 * @deadline_us: deadline on the monotonic clock
 * @priority: service class; 0 is the highest
 * @ctx: private data of the owner
 * @queued: it is in the queue
 * @admitted: it is admitted, and ks_admission_leave() has not been called
 * @admitted_us: when it was admitted
 * @finish_tag: virtual finish time in its class, see admission.c
 * @fair_index: index in the heap ordered by @finish_tag
 * @deadline_index: index in the heap ordered by latest start time
 * @node: link in the list of queued tickets that can no longer finish in time
 *
 * The owner sets the fields up to and including @ctx. The others are private to
 * admission control.
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
	unsigned fair_index;
	unsigned deadline_index;
	ks_list_t node;
} ks_ticket_t;

/**
 * ks_admission_forecast_func_t - predict when a request could be dispatched
 *
 * Return: microseconds until some upstream can take the request without making
 * it or a request in flight there miss its deadline; 0 if one can now, INFINITY
 * if none ever will.
 */
typedef double (*ks_admission_forecast_func_t)(void *ctx,
					       const ks_ticket_t *ticket);

ks_admission_t *ks_admission_new(void);
void ks_admission_free(ks_admission_t *admission);
void ks_admission_set_capacity(ks_admission_t *admission, double concurrency);
void ks_admission_set_forecast(ks_admission_t *admission,
			       ks_admission_forecast_func_t forecast,
			       void *ctx);
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

/* limit.c: adaptive concurrency limit */

/**
 * struct ks_limit - adaptive concurrency limit, see ks_limit_sample()
 * @value: current limit on attempts in flight
 * @min: lower bound of @value
 * @max: upper bound of @value
 * @baseline: latency ratio (measured / expected latency) without queueing;
 *	0 before the first sample
 * @recent: moving average of the latency ratio
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

/* retry.c: retry budget and retry policy */

/**
 * struct ks_retry_budget - token bucket that limits retries to a share of
 * traffic
 * @ratio: tokens added per request
 * @tokens: tokens available; a retry takes one
 * @max_tokens: capacity of the bucket
 */
typedef struct ks_retry_budget {
	double ratio;
	double tokens;
	double max_tokens;
} ks_retry_budget_t;

/**
 * struct ks_attempt_failure - how an attempt failed
 * @kind: cause of the failure
 * @not_started: the upstream process reported that the attempt never ran
 * @delivered: part of the response has been sent to the caller
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

/* ejection.c: outlier ejection */

/**
 * struct ks_ejection - health of one upstream as seen by one entry
 * @failures: number of consecutive failures
 * @until_us: no request is sent before this time
 * @probing: a single request is in flight to test whether the upstream has
 *	recovered
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
bool ks_ejection_is_failing(const ks_ejection_t *ejection);
void ks_ejection_dispatch(ks_ejection_t *ejection, int64_t now_us);
size_t ks_ejection_cap(const ks_ejection_t *const *group, size_t count,
		       int64_t now_us, bool *ejected);

/* prefix.c: estimated content of an upstream's prefix cache */

typedef struct ks_prefix_index ks_prefix_index_t;

ks_prefix_index_t *ks_prefix_index_new(size_t max_blocks, int64_t half_life_us);
void ks_prefix_index_free(ks_prefix_index_t *index);
void ks_prefix_index_add(ks_prefix_index_t *index, const uint64_t *hashes,
			 size_t count, int64_t now_us);
void ks_prefix_index_evict(ks_prefix_index_t *index, uint64_t hash);
void ks_prefix_index_correct(ks_prefix_index_t *index, const uint64_t *hashes,
			     size_t count, size_t cached_blocks,
			     int64_t now_us);
uint32_t ks_prefix_index_tokens(const ks_prefix_index_t *index,
				const uint64_t *hashes, size_t count,
				int64_t now_us);

/* subset.c: deterministic subsetting */

size_t ks_subset_choose(ks_str_t entry, const ks_str_t *upstreams,
			const ks_str_t *domains, size_t count, size_t wanted,
			size_t *chosen);

/*
 * claim.c: claim rows of non-idempotent requests; claim_machine.c: the state
 * machine of one such request
 */

/**
 * enum ks_claim_state - state of a claim row
 * @KS_CLAIM_CLAIMED: an entry has reserved the attempt and may dispatch it
 * @KS_CLAIM_DONE: the response is stored in the row
 * @KS_CLAIM_NOT_RUN: the attempt did not run and never will; the next attempt
 *	may be claimed
 * @KS_CLAIM_UNKNOWN: the attempt may have run; its outcome is not known
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
 * @fingerprint: hash of the request method, path and body
 * @attempt: number of the attempt, from 1, that the holder may dispatch
 * @holder: id of the entry process that made the claim; new at each start
 * @request: id of the request that made the claim
 * @state: state of the attempt, or of its stored outcome
 * @expires_us: Unix time after which another entry may set the state to
 *	KS_CLAIM_UNKNOWN
 * @status: HTTP status of the stored response
 * @content_type: content type of the stored response; owned, may be NULL
 * @answer: stored response body; owned, NULL if @object refers to it
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

/* A larger response body is stored as a separate object to keep rows small. */
#define KS_CLAIM_MAX_INLINE (64 * 1024)
/*
 * A claim expires this long after the request's deadline. The margin covers the
 * clock difference between two hosts. With a larger difference the outcome of a
 * request may be recorded as unknown, but an attempt never runs twice.
 */
#define KS_CLAIM_EXPIRY_MARGIN_US (10 * KS_USEC_PER_SEC)
/*
 * An attempt is dispatched until this long after the retention of its key. Rows
 * are removed an hour after the retention, well after the last dispatch.
 */
#define KS_CLAIM_DISPATCH_GRACE_US (30 * 60 * KS_USEC_PER_SEC)
/* How long an entry keeps trying to store the outcome of its attempt. */
#define KS_CLAIM_SETTLE_TIMEOUT_US (10 * 60 * KS_USEC_PER_SEC)

void ks_claim_deinit(ks_claim_t *claim);
void ks_claim_fingerprint(uint8_t fingerprint[KS_FINGERPRINT_SIZE],
			  ks_str_t method, ks_str_t path, ks_str_t body);
char *ks_claim_row_key(const ks_idempotency_key_t *key, ks_str_t tenant);
int64_t ks_claim_hour(int64_t issued_us);
char *ks_claim_encode(const ks_claim_t *claim);
bool ks_claim_decode(ks_claim_t *claim, ks_str_t value, GError **error);

/**
 * enum ks_claim_step - what the user of the state machine has to do next
 * @KS_CLAIM_STEP_INSERT: insert the claim; fails if the row exists
 * @KS_CLAIM_STEP_READ: read the row
 * @KS_CLAIM_STEP_TAKE_OVER: replace the row that has the known etag with the
 *	claim
 * @KS_CLAIM_STEP_MARK_UNKNOWN: set the expired claim of another request to
 *	KS_CLAIM_UNKNOWN
 * @KS_CLAIM_STEP_STORE: replace the row that has the known etag with the
 *	machine's claim, or insert it if the etag is empty
 * @KS_CLAIM_STEP_WAIT: wait, then call ks_claim_machine_resume()
 * @KS_CLAIM_STEP_DISPATCH: dispatch the attempt now
 * @KS_CLAIM_STEP_REPLAY: send the stored response of the row to the caller
 * @KS_CLAIM_STEP_FAIL: send the machine's @failure to the caller, then call
 *	ks_claim_machine_settle()
 * @KS_CLAIM_STEP_FINISH: the machine is finished
 * @KS_CLAIM_STEP_NONE: wait for the store operation in progress
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
 * enum ks_claim_event - result of a store operation on the row
 * @KS_CLAIM_EVENT_WRITTEN: the write took effect
 * @KS_CLAIM_EVENT_PRECONDITION_FAILED: the row exists or has another etag, so
 *	the conditional write had no effect
 * @KS_CLAIM_EVENT_UNKNOWN: the write may have taken effect, or may do so later
 * @KS_CLAIM_EVENT_FAILED: the write has had no effect and never will, or the
 *	read failed
 */
typedef enum ks_claim_event {
	KS_CLAIM_EVENT_WRITTEN,
	KS_CLAIM_EVENT_PRECONDITION_FAILED,
	KS_CLAIM_EVENT_UNKNOWN,
	KS_CLAIM_EVENT_FAILED,
} ks_claim_event_t;

/**
 * enum ks_claim_phase - phase of a request with a claim
 * @KS_CLAIM_CLAIMING: trying to obtain the claim
 * @KS_CLAIM_DISPATCHED: the attempt has been dispatched and has not ended
 * @KS_CLAIM_SETTLING: storing the outcome of the attempt in the row
 * @KS_CLAIM_FINISHED: no further operation follows
 */
typedef enum ks_claim_phase {
	KS_CLAIM_CLAIMING,
	KS_CLAIM_DISPATCHED,
	KS_CLAIM_SETTLING,
	KS_CLAIM_FINISHED,
} ks_claim_phase_t;

/**
 * struct ks_claim_times - the same point in time on two clocks
 * @loop_us: monotonic clock of the event loop
 * @wall_us: Unix time
 */
typedef struct ks_claim_times {
	int64_t loop_us;
	int64_t wall_us;
} ks_claim_times_t;

/**
 * struct ks_claim_machine - state of one request that needs a claim
 * @claim: row contents that this request writes
 * @etag: etag that the next conditional write requires; empty: no row
 * @deadline: the attempt is not dispatched once either clock reaches this
 * @settle_until_us: when to stop trying to store the outcome, loop clock
 * @phase: what the state machine is waiting for or doing
 * @last_step: step from which ks_claim_machine_resume() continues: the last one
 *	other than WAIT, FAIL and NONE, or READ after a write of unknown outcome
 * @in_flight: the store operation of @last_step is still in progress
 * @maybe_claimed: a write of this request's claim had an unknown outcome
 * @held: the row is known to have contained this request's claim
 * @row_exists: a row was found; it may belong to another request
 * @failure: why the request failed
 */
typedef struct ks_claim_machine {
	ks_claim_t claim;
	GString *etag;
	ks_claim_times_t deadline;
	int64_t settle_until_us;
	ks_claim_phase_t phase;
	ks_claim_step_t last_step;
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
bool ks_claim_machine_is_late(const ks_claim_machine_t *machine,
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
