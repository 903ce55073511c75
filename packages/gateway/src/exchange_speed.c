/* Records how fast upstreams are, from the times of a request. */
#include "gateway_internal.h"

/* Below this, the time of a prefill consists mostly of other things. */
#define MIN_PREFILL_TOKENS 1000
#define MIN_DIRECT_TOKENS 500

/* Events from which the time between two of them is taken. */
#define MIN_ARRIVALS 4

/**
 * exchange_record_prefill_speed() - record the time of a prefill request
 */
void exchange_record_prefill_speed(const struct exchange *exchange)
{
	int64_t now = exchange_now(exchange);
	int64_t tokens = exchange->prefill_tokens + exchange->pending_tokens;

	if (exchange->prefill_tokens >= MIN_PREFILL_TOKENS)
		ks_capacity_record(
			&exchange->prefill_member->capacity, KS_WORK_PREFILL,
			(double)(now - exchange->sent_us) / (double)tokens,
			now);
}

/**
 * exchange_record_direct_speed() - record the time to the first event of a
 * request whose prompt the same engine has prefilled
 */
void exchange_record_direct_speed(const struct exchange *exchange)
{
	int64_t now = exchange_now(exchange);
	int64_t tokens = exchange->run_tokens + exchange->pending_tokens;

	if (exchange->has_prompt && exchange->run_tokens >= MIN_DIRECT_TOKENS)
		ks_capacity_record(&exchange->member->capacity, KS_WORK_DIRECT,
				   (double)(now - exchange->sent_us) /
					   (double)tokens,
				   now);
}

/**
 * exchange_record_run_speed() - record the time of a complete response
 */
void exchange_record_run_speed(const struct exchange *exchange)
{
	ks_capacity_t *capacity = &exchange->member->capacity;
	int64_t now = exchange_now(exchange);

	if (exchange->status / 100 != 2 || exchange->sends != 1)
		return;
	if (!exchange->is_stream_response)
		ks_capacity_record(capacity, KS_WORK_CALL,
				   (double)(now - exchange->sent_us), now);
	else if (exchange->n_arrivals >= MIN_ARRIVALS)
		ks_capacity_record(
			capacity, KS_WORK_EVENTS,
			(double)(exchange->latest_us - exchange->first_us) /
				(exchange->n_arrivals - 1),
			now);
}
