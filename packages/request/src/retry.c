/* Retry policy and retry budget. */
#include "ks/request.h"

/*
 * Maximum number of attempts at one request. Each uses a different upstream,
 * and a request that fails on this many is more likely to be at fault itself.
 */
#define MAX_ATTEMPTS 4

/**
 * ks_retry_budget_init() - initialize a full budget
 * @ratio: tokens added per request, e.g. 0.1 for one retry per ten requests
 * @max_tokens: capacity of the bucket and its initial content
 */
void ks_retry_budget_init(ks_retry_budget_t *budget, double ratio,
			  double max_tokens)
{
	budget->ratio = ratio;
	budget->max_tokens = max_tokens;
	budget->tokens = max_tokens;
}

/**
 * ks_retry_budget_deposit() - add the tokens for one request
 *
 * To be called once per request, when its first attempt starts.
 */
void ks_retry_budget_deposit(ks_retry_budget_t *budget)
{
	budget->tokens =
		MIN(budget->tokens + budget->ratio, budget->max_tokens);
}

/* Whether an attempt at another upstream may succeed after this error. */
static bool is_retryable_kind(ks_error_kind_t kind)
{
	switch (kind) {
	case KS_ERROR_UNKNOWN_MODEL:
	case KS_ERROR_OVERLOADED:
	case KS_ERROR_NO_UPSTREAM:
	case KS_ERROR_NOT_READY:
	case KS_ERROR_OUTCOME_UNKNOWN:
	case KS_ERROR_UPSTREAM_FAILED:
	case KS_ERROR_INTERNAL:
		return true;
	default:
		return false;
	}
}

/*
 * A retry after a refusal by an upstream that is draining or being
 * reconfigured takes no token from the budget. The refusal costs no engine
 * time, and few requests are refused because the upstream announces its state
 * immediately. If tokens were taken, a planned change could fail requests once
 * the budget is exhausted.
 */
static bool is_budget_exempt(const ks_attempt_failure_t *failure)
{
	return failure->not_started &&
	       (failure->kind == KS_ERROR_NOT_READY ||
		failure->kind == KS_ERROR_UNKNOWN_MODEL);
}

/**
 * ks_retry_allowed() - decide whether to retry, and take a token if so
 * @failure: how the last attempt failed. If the next attempt can resume the
 *	response after the part already delivered, the user clears the delivered
 *	flag.
 * @idempotent: the request may run more than once
 * @attempts: number of attempts made so far
 * @time_left_us: time until the deadline of the request
 *
 * An attempt that may have started is retried only if the request is idempotent
 * and the caller has received no part of its response.
 *
 * Return: true if another attempt may be made.
 */
bool ks_retry_allowed(ks_retry_budget_t *budget,
		      const ks_attempt_failure_t *failure, bool idempotent,
		      unsigned attempts, int64_t time_left_us)
{
	if (!is_retryable_kind(failure->kind) || attempts >= MAX_ATTEMPTS ||
	    time_left_us <= 0)
		return false;
	if (!failure->not_started && (!idempotent || failure->delivered))
		return false;
	if (is_budget_exempt(failure))
		return true;
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
