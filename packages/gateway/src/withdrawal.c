/*
 * What an upstream says of itself in its responses: that it leaves, that it
 * wants no requests from this entry for a time, or how many it takes from all
 * entries; see stated_limit.c. The load that this answers is
 * a service whose upstreams turn requests away one after the other until none
 * is left: the requests that waited must not all arrive at the moment at which
 * the time is over.
 */
#include "ks/gateway.h"

/* The longest time that an upstream can ask for. */
#define MAX_BACK_OFF_S 3600

/* The return is delayed by up to this share of the time, and at most this. */
#define RETURN_SPREAD 0.25
#define MAX_RETURN_SPREAD_US (1 * KS_USEC_PER_SEC)

/*
 * For this long after the time, requests are sent with gaps between them, which
 * shrink from MAX_GAP_US to none.
 */
#define RETURN_US (1 * KS_USEC_PER_SEC)
#define MAX_GAP_US (100 * KS_USEC_PER_MSEC)

/**
 * ks_withdrawal_leave() - record that the upstream says that it leaves
 *
 * The first time counts: a later response does not extend the notice.
 */
void ks_withdrawal_leave(ks_withdrawal_t *withdrawal, int64_t now_us)
{
	if (!withdrawal->leaving_us)
		withdrawal->leaving_us = now_us;
}

/**
 * ks_withdrawal_merge() - add what another record of the upstream has
 */
void ks_withdrawal_merge(ks_withdrawal_t *withdrawal,
			 const ks_withdrawal_t *other)
{
	if (other->leaving_us && (!withdrawal->leaving_us ||
				  other->leaving_us < withdrawal->leaving_us))
		withdrawal->leaving_us = other->leaving_us;
	withdrawal->away_until_us =
		MAX(withdrawal->away_until_us, other->away_until_us);
	withdrawal->next_send_us =
		MAX(withdrawal->next_send_us, other->next_send_us);
	withdrawal->is_awaited |= other->is_awaited;
	ks_stated_limit_merge(&withdrawal->limit, &other->limit);
}

/**
 * ks_withdrawal_back_off() - record that the upstream wants no requests
 * @text: the time in seconds, which may have a fraction. Zero, a date and
 *	anything else that is no such number state no time; more than an hour
 *	counts as an hour.
 * @draw: random number that spreads the return of the entries, 0 to 1
 *
 * Return: false if @text states no time.
 */
bool ks_withdrawal_back_off(ks_withdrawal_t *withdrawal, ks_str_t text,
			    double draw, int64_t now_us)
{
	double seconds;
	int64_t us, spread_us;

	if (!ks_str_parse_decimal(text, &seconds) || seconds <= 0)
		return false;
	us = (int64_t)(MIN(seconds, MAX_BACK_OFF_S) * KS_USEC_PER_SEC);
	spread_us = MIN((int64_t)((double)us * RETURN_SPREAD),
			MAX_RETURN_SPREAD_US);
	us += (int64_t)(draw * (double)spread_us);
	withdrawal->away_until_us = MAX(withdrawal->away_until_us, now_us + us);
	withdrawal->next_send_us = withdrawal->away_until_us;
	withdrawal->is_awaited = true;
	return true;
}

/**
 * ks_withdrawal_is_away() - whether the upstream wants no requests now
 */
bool ks_withdrawal_is_away(const ks_withdrawal_t *withdrawal, int64_t now_us)
{
	return now_us < withdrawal->away_until_us;
}

/**
 * ks_withdrawal_permits() - whether a request may be placed now
 *
 * Does not say whether the upstream leaves.
 */
bool ks_withdrawal_permits(const ks_withdrawal_t *withdrawal, int64_t now_us)
{
	return now_us >= withdrawal->next_send_us &&
	       ks_stated_limit_permits(&withdrawal->limit, now_us);
}

/**
 * ks_withdrawal_record_send() - record that a request is sent
 *
 * Return: whether it is the first one after a back-off.
 */
bool ks_withdrawal_record_send(ks_withdrawal_t *withdrawal, int64_t now_us)
{
	int64_t left_us = withdrawal->away_until_us + RETURN_US - now_us;
	bool is_first =
		withdrawal->is_awaited && now_us >= withdrawal->away_until_us;

	if (is_first)
		withdrawal->is_awaited = false;
	if (withdrawal->away_until_us && left_us > 0)
		withdrawal->next_send_us =
			now_us + MAX_GAP_US * left_us / RETURN_US;
	return is_first;
}

/**
 * ks_withdrawal_next_us() - when a request may be placed again
 *
 * Return: @now_us if it may be now. Does not say whether the upstream leaves.
 */
int64_t ks_withdrawal_next_us(const ks_withdrawal_t *withdrawal, int64_t now_us)
{
	return MAX(withdrawal->next_send_us,
		   ks_stated_limit_next_us(&withdrawal->limit, now_us));
}

/**
 * ks_withdrawal_accepts() - whether an upstream that leaves may be used
 * @notice_us: for how long, if no other upstream can serve
 */
bool ks_withdrawal_accepts(const ks_withdrawal_t *withdrawal, int64_t notice_us,
			   int64_t now_us)
{
	return !withdrawal->leaving_us ||
	       now_us < withdrawal->leaving_us + notice_us;
}
