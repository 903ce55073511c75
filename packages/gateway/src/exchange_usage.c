/*
 * Counts the requests of organisations that begin to run: on an engine with the
 * first bytes of the response's body, on another service with the send, unless
 * it turns out that the request has not run.
 */
#include "gateway_internal.h"

static bool is_to_be_counted(const struct exchange *exchange)
{
	return exchange->gateway->usage && exchange->organisation &&
	       !exchange->is_usage_counted && !exchange->is_resume_request;
}

/**
 * exchange_usage_sent() - note that the request is sent to an upstream
 */
void exchange_usage_sent(struct exchange *exchange)
{
	if (!is_to_be_counted(exchange) || exchange->service->is_engine)
		return;
	exchange->usage_window = ks_usage_begin(exchange->gateway->usage,
						exchange->organisation->name,
						exchange_now(exchange));
	exchange->is_usage_pending = exchange->usage_window != KS_USAGE_NONE;
}

/**
 * exchange_usage_settle() - note whether the request that was sent has run
 */
void exchange_usage_settle(struct exchange *exchange, bool ran)
{
	if (!exchange->is_usage_pending)
		return;
	exchange->is_usage_pending = false;
	exchange->is_usage_counted = ran;
	if (exchange->gateway->usage)
		ks_usage_end(exchange->gateway->usage,
			     exchange->organisation->name,
			     exchange->usage_window, ran);
}

/**
 * exchange_usage_begun() - note that the body of the response has begun
 */
void exchange_usage_begun(struct exchange *exchange)
{
	if (!is_to_be_counted(exchange) || !exchange->service->is_engine ||
	    exchange->status / 100 != 2)
		return;
	exchange->usage_window = ks_usage_begin(exchange->gateway->usage,
						exchange->organisation->name,
						exchange_now(exchange));
	exchange->is_usage_pending = exchange->usage_window != KS_USAGE_NONE;
	exchange_usage_settle(exchange, true);
}

/**
 * ks_gateway_set_usage() - count the requests of organisations
 * @usage: must outlive the gateway, or this function be called again; NULL to
 *	count none
 */
void ks_gateway_set_usage(ks_gateway_t *gateway, ks_usage_t *usage)
{
	gateway->usage = usage;
	ks_peers_set_usage(&gateway->peers, usage);
	if (usage && gateway->traffic)
		ks_usage_set_organisations(usage,
					   gateway->traffic->organisations,
					   ks_loop_now(gateway->loop));
}
