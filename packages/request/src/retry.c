/* Whether a failed attempt is followed by another one. */
#include "ks/request.h"

/*
 * Bounds the attempts at one request. Each needs another upstream, and a
 * request refused by this many is more likely at fault itself.
 */
#define MAX_ATTEMPTS 4

/**
 * ks_retry_budget_init() - set up a full budget
 * @ratio: retries earned by each request, e.g. 0.1
 * @max_tokens: most retries that can be saved up; also the first balance
 */
void ks_retry_budget_init(ks_retry_budget_t *budget, double ratio,
			  double max_tokens)
{
	budget->ratio = ratio;
	budget->max_tokens = max_tokens;
	budget->tokens = max_tokens;
}

/**
 * ks_retry_budget_deposit() - count a request, once, when its first attempt
 * starts
 */
void ks_retry_budget_deposit(ks_retry_budget_t *budget)
{
	budget->tokens =
		MIN(budget->tokens + budget->ratio, budget->max_tokens);
}

/* Kinds that another upstream may not end with. */
static bool may_differ_elsewhere(ks_error_kind_t kind)
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
 * A refusal by an upstream that drains or changes costs no engine time, and
 * the upstream announces its state at once, so few requests meet it. Charging
 * it could let a planned change fail requests when the budget is spent.
 */
static bool is_free(const ks_attempt_failure_t *failure)
{
	return failure->not_started &&
	       (failure->kind == KS_ERROR_NOT_READY ||
		failure->kind == KS_ERROR_UNKNOWN_MODEL);
}

/**
 * ks_retry_allowed() - whether to make another attempt, and pay for it
 * @failure: how the last attempt ended. When the next attempt resumes the
 *	answer after what was delivered, its owner clears the delivered flag.
 * @idempotent: the request may run more than once
 * @attempts: made so far
 * @time_left_us: until the request's deadline
 *
 * An attempt that may have started is repeated only when the request is
 * idempotent and the caller has not been sent a part of another answer.
 *
 * Return: true when an attempt may be made; the budget has then been charged.
 */
bool ks_retry_allowed(ks_retry_budget_t *budget,
		      const ks_attempt_failure_t *failure, bool idempotent,
		      unsigned attempts, int64_t time_left_us)
{
	if (!may_differ_elsewhere(failure->kind) || attempts >= MAX_ATTEMPTS ||
	    time_left_us <= 0)
		return false;
	if (!failure->not_started && (!idempotent || failure->delivered))
		return false;
	if (is_free(failure))
		return true;
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
