/* Error kinds and the HTTP response for each. */
#include "ks/core.h"

#include <stdarg.h>
#include <string.h>

/* Indexed by kind: HTTP status, code, not_run, Retry-After. */
static const ks_error_answer_t answers[KS_ERROR_N_KINDS] = {
	[KS_ERROR_NONE] = { 200, "none", false, false },
	[KS_ERROR_BAD_REQUEST] = { 400, "bad_request", true, false },
	[KS_ERROR_UNAUTHORIZED] = { 401, "unauthorized", true, false },
	[KS_ERROR_UNKNOWN_ROUTE] = { 404, "unknown_route", true, false },
	[KS_ERROR_UNKNOWN_MODEL] = { 404, "unknown_model", true, false },
	[KS_ERROR_IN_PROGRESS] = { 409, "in_progress", false, true },
	[KS_ERROR_KEY_EXPIRED] = { 410, "key_expired", true, false },
	[KS_ERROR_TOO_LARGE] = { 413, "too_large", true, false },
	[KS_ERROR_KEY_MISMATCH] = { 422, "key_mismatch", true, false },
	[KS_ERROR_RATE_LIMITED] = { 429, "rate_limited", true, true },
	[KS_ERROR_OVERLOADED] = { 503, "overloaded", true, true },
	[KS_ERROR_NO_UPSTREAM] = { 503, "no_upstream", true, true },
	[KS_ERROR_NOT_READY] = { 503, "not_ready", true, true },
	[KS_ERROR_STORE_UNAVAILABLE] = { 503, "store_unavailable", true, true },
	[KS_ERROR_DEADLINE_NOT_RUN] = { 504, "deadline_not_run", true, true },
	[KS_ERROR_DEADLINE_EXCEEDED] = { 504, "deadline_exceeded", false,
					 false },
	[KS_ERROR_OUTCOME_UNKNOWN] = { 504, "outcome_unknown", false, false },
	[KS_ERROR_UPSTREAM_FAILED] = { 502, "upstream_failed", false, false },
	[KS_ERROR_ANSWER_TOO_LARGE] = { 502, "answer_too_large", false, false },
	[KS_ERROR_SLOW_READER] = { 502, "slow_reader", false, false },
	[KS_ERROR_CONFLICT] = { 409, "conflict", true, false },
	[KS_ERROR_INTERNAL] = { 500, "internal", false, false },
};

/**
 * ks_error_quark() - GError domain whose codes are error kinds
 */
GQuark ks_error_quark(void)
{
	return g_quark_from_static_string("ks-error");
}

/**
 * ks_error_answer() - return the HTTP response for an error kind
 *
 * An unknown kind is treated as KS_ERROR_INTERNAL.
 */
const ks_error_answer_t *ks_error_answer(ks_error_kind_t kind)
{
	if ((unsigned)kind >= KS_ERROR_N_KINDS)
		kind = KS_ERROR_INTERNAL;
	return &answers[kind];
}

/**
 * ks_error_kind_from_code() - find the kind with a given code
 *
 * Return: KS_ERROR_INTERNAL for an unknown code.
 */
ks_error_kind_t ks_error_kind_from_code(const char *code)
{
	for (int i = 0; i < KS_ERROR_N_KINDS; i++)
		if (!strcmp(answers[i].code, code))
			return (ks_error_kind_t)i;
	return KS_ERROR_INTERNAL;
}

/**
 * ks_error_set() - create a GError from a kind and a message
 * @error: set to the new error; may be NULL
 * @kind: becomes the code of the error
 * @format: printf format of the message
 */
void ks_error_set(GError **error, ks_error_kind_t kind, const char *format, ...)
{
	va_list args;

	if (!error)
		return;
	va_start(args, format);
	*error = g_error_new_valist(KS_ERROR, kind, format, args);
	va_end(args);
}

/**
 * ks_error_kind() - return the kind of a GError
 *
 * Return: KS_ERROR_NONE for NULL, KS_ERROR_INTERNAL for an error whose GError
 * domain is not KS_ERROR.
 */
ks_error_kind_t ks_error_kind(const GError *error)
{
	if (!error)
		return KS_ERROR_NONE;
	if (error->domain != KS_ERROR)
		return KS_ERROR_INTERNAL;
	return (ks_error_kind_t)error->code;
}
