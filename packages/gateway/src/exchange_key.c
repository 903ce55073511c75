/* Refuses requests for their API key. */
#include "gateway_internal.h"

static const char *const reasons[] = {
	[KS_KEY_MISSING] = "no API key",
	[KS_KEY_MALFORMED] = "malformed API key",
	[KS_KEY_UNKNOWN] = "unknown API key",
	[KS_KEY_STALE] = "the configuration is too old to accept API keys",
};

/**
 * gateway_check_key() - check the API key of a request
 * @organisation: set to the organisation of the request, or NULL
 * @status: set to the status that refuses the request, 0 for none
 */
ks_key_verdict_t gateway_check_key(const ks_gateway_t *gateway,
				   const ks_route_t *route,
				   const ks_organisations_t *organisations,
				   const ks_http1_request_t *request,
				   const ks_organisation_t **organisation,
				   int *status)
{
	ks_key_query_t query = {
		.organisations = organisations,
		.is_public = route->is_public,
		.headers = request->headers,
		.n_headers = request->n_headers,
		.field = gateway->dialect->authorization,
		.scheme = gateway->dialect->key_scheme,
		.age_us = gateway_config_age_us(gateway),
		.max_age_us = gateway->settings.key_max_age_us,
	};
	ks_key_verdict_t verdict = ks_organisations_check(&query, organisation);

	*status = ks_key_verdict_status(verdict,
					gateway_config_is_current(gateway));
	return verdict;
}

/**
 * gateway_key_refusal() - reason for which a verdict refuses a request
 *
 * Return: NULL if it does not.
 */
const char *gateway_key_refusal(ks_key_verdict_t verdict)
{
	return verdict < G_N_ELEMENTS(reasons) ? reasons[verdict] : NULL;
}

/**
 * gateway_request_priority() - priority of the requests of an organisation
 * @organisation: NULL for none
 */
unsigned gateway_request_priority(const ks_route_t *route,
				  const ks_organisation_t *organisation)
{
	return organisation && organisation->has_priority
		       ? organisation->priority
		       : route->priority;
}

/**
 * exchange_refuse_key() - refuse the request unless its route is public or it
 * has the key of an organisation
 *
 * Sets the organisation and the priority of the request. The key is not copied
 * from the request.
 *
 * Return: true if the exchange has ended.
 */
bool exchange_refuse_key(struct exchange *exchange,
			 const ks_http1_request_t *request)
{
	const ks_gateway_t *gateway = exchange->gateway;
	int status;
	ks_key_verdict_t verdict = gateway_check_key(
		gateway, exchange->route, exchange->traffic->organisations,
		request, &exchange->organisation, &status);

	exchange->priority = gateway_request_priority(exchange->route,
						      exchange->organisation);
	if (!status)
		return false;
	ks_counter_add(gateway->counters.key_refused[verdict], 1);
	exchange_respond(exchange, status,
			 status == 503 ? RETRY_AFTER_NOT_READY_S : 0,
			 gateway_key_refusal(verdict));
	return true;
}
