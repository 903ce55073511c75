/* Builds and sends requests to upstreams. */
#include "gateway_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Header fields that apply to a single connection (RFC 9110, 7.6.1), or that
 * the HTTP client sets itself.
 */
static const char *const hop_by_hop_fields[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"transfer-encoding",
	"te",
	"trailer",
	"upgrade",
	"expect",
	"content-length",
	"host",
	"proxy-authorization",
};

/* An exchange with its lists and its call, and a field with two small blocks.
 */
#define EXCHANGE_BYTES (sizeof(struct exchange) + (size_t)2048)
#define FIELD_BYTES (sizeof(ks_header_t) + (size_t)32)

/* Limit for the JSON response that holds the KV cache handle. */
#define MAX_PREFILL_RESPONSE (64 * 1024)

/* Timeout for releasing a handle; the engine expires it otherwise. */
#define FREE_HANDLE_TIMEOUT_US (500 * KS_USEC_PER_MSEC)

static bool is_hop_by_hop_field(ks_str_t name, ks_str_t connection)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_fields); i++)
		if (ks_str_equal(name, ks_str_from(hop_by_hop_fields[i])))
			return true;
	/* The Connection field lists further hop-by-hop fields. */
	for (size_t at = 0; at < connection.len;) {
		size_t end = at;

		while (end < connection.len && connection.data[end] != ',')
			end++;
		while (at < end && connection.data[at] == ' ')
			at++;
		ks_str_t listed = { connection.data + at, end - at };

		while (listed.len && listed.data[listed.len - 1] == ' ')
			listed.len--;
		if (ks_str_equal_nocase(listed, name))
			return true;
		at = end + 1;
	}
	return false;
}

static bool is_system_field(const ks_dialect_t *dialect, ks_str_t name)
{
	for (size_t i = 0; i < dialect->n_system_fields; i++)
		if (ks_str_equal(name, dialect->system_fields[i]))
			return true;
	return false;
}

/*
 * The key of a caller and the organisation that it states are not forwarded,
 * unless the configuration has no organisations, so that both are ordinary
 * fields.
 */
static bool is_credential(const ks_gateway_t *gateway, ks_str_t name)
{
	const ks_dialect_t *dialect = gateway->dialect;

	if (gateway->traffic && !gateway->traffic->organisations)
		return false;
	return ks_str_equal(name, dialect->authorization) ||
	       ks_str_equal(name, dialect->organisation);
}

static ks_str_t copy_text(struct exchange *exchange, ks_str_t text)
{
	char *copy = ks_str_dup(text);

	g_ptr_array_add(exchange->field_texts, copy);
	return (ks_str_t){ copy, text.len };
}

/**
 * exchange_copy_request() - keep the parts of the request to be forwarded
 *
 * They are needed after the caller has disconnected. The body is taken over, as
 * it may be large; the rest is copied.
 */
void exchange_copy_request(struct exchange *exchange,
			   ks_http1_request_t *request)
{
	const ks_dialect_t *dialect = exchange->gateway->dialect;
	ks_str_t connection = ks_header_value(request->headers,
					      request->n_headers, "connection");
	ks_str_t host =
		ks_header_value(request->headers, request->n_headers, "host");
	size_t bytes = EXCHANGE_BYTES + request->target.len;

	exchange->method = g_string_new_len(request->method.data,
					    (gssize)request->method.len);
	exchange->target = g_string_new_len(request->target.data,
					    (gssize)request->target.len);
	exchange->request_body = ks_http1_take_body(request);
	exchange->host = g_string_new_len(host.data, (gssize)host.len);
	for (size_t i = 0; i < request->n_headers; i++) {
		const ks_header_t *field = &request->headers[i];
		ks_header_t copy;

		if (is_hop_by_hop_field(field->name, connection) ||
		    is_system_field(dialect, field->name) ||
		    is_credential(exchange->gateway, field->name))
			continue;
		copy.name = copy_text(exchange, field->name);
		copy.value = copy_text(exchange, field->value);
		bytes += FIELD_BYTES + field->name.len + field->value.len;
		g_array_append_val(exchange->request_fields, copy);
	}
	ks_memory_hold(&exchange->gateway->memory, KS_MEMORY_REQUESTS,
		       &exchange->held, bytes);
}

static bool is_field(const ks_header_t *field, ks_str_t name)
{
	return ks_str_equal(field->name, name);
}

static void add_field(GArray *list, ks_str_t name, ks_str_t value)
{
	ks_header_t field = { name, value };

	g_array_append_val(list, field);
}

/**
 * exchange_permits_send() - whether the request may still be sent
 *
 * While the connection came up, the upstream may have requested a back-off or
 * stated a limit, and a stop may have gone on.
 */
bool exchange_permits_send(struct exchange *exchange, ks_member_t *member)
{
	ks_withdrawal_t *withdrawal = &member->withdrawal;
	int64_t now = exchange_now(exchange);

	exchange->withheld = ks_withdrawal_is_away(withdrawal, now) ||
			     exchange_may_be_cut(exchange);
	if (exchange->withheld || exchange->is_counted)
		return !exchange->withheld;
	exchange->withheld = !ks_stated_limit_permits(&withdrawal->limit, now);
	if (!exchange->withheld)
		exchange->is_counted =
			ks_stated_limit_take(&withdrawal->limit, now);
	return !exchange->withheld;
}

/* Records that the request is sent to an upstream, and returns whether it has
 * been before. */
static bool record_send(struct exchange *exchange, const ks_address_t *address)
{
	for (guint i = 0; i < exchange->sent_to->len; i++) {
		const ks_address_t *earlier =
			&g_array_index(exchange->sent_to, ks_address_t, i);

		if (earlier->port == address->port &&
		    !strcmp(earlier->ip, address->ip))
			return true;
	}
	g_array_append_val(exchange->sent_to, *address);
	return false;
}

/**
 * exchange_send() - send the request to an upstream
 * @is_prefill: request prefill only
 *
 * All sends of a request have the same id. On a connection that an earlier one
 * has used, a second response to that one would pass for the response to this
 * one, so a further send to an upstream gets a connection of its own.
 */
void exchange_send(struct exchange *exchange, ks_member_t *member,
		   bool is_prefill, const ks_http_events_t *events)
{
	const ks_dialect_t *dialect = exchange->gateway->dialect;
	const struct gateway_metrics *counters = &exchange->gateway->counters;
	int64_t now = ks_loop_now(exchange->gateway->loop);
	int64_t left_ms =
		MAX((exchange->deadline_us - now) / KS_USEC_PER_MSEC, 1);
	GArray *fields = g_array_new(FALSE, FALSE, sizeof(ks_header_t));
	bool resumes = exchange->has_events && exchange->events.last_id->len;
	char left[24], priority[8], own[KS_ADDRESS_TEXT_SIZE];
	ks_http_request_t request = {
		.address = member->address,
		.method = { exchange->method->str, exchange->method->len },
		.target = { exchange->target->str, exchange->target->len },
		.host = { exchange->host->str, exchange->host->len },
		.shared_body = exchange->request_body,
		.response_id_header = dialect->request_id,
		.response_id = ks_str_from(exchange->id),
		.max_body = is_prefill ? MAX_PREFILL_RESPONSE : 0,
		.timeout_us = 0,
		.reuse = !record_send(exchange, &member->address),
		.no_retry = true,
	};

	exchange->is_counted =
		ks_stated_limit_take(&member->withdrawal.limit, now);
	ks_counter_add(is_prefill ? counters->limited_prefills
				  : counters->limited_runs,
		       exchange->is_counted);
	if (ks_withdrawal_record_send(&member->withdrawal, now))
		ks_log(KS_LOG_ROUTE, KS_LOG_INFO,
		       "an upstream is used again after its back-off "
		       "upstream=%s request=%s over_ms=%" PRId64,
		       member->id, exchange->id,
		       (now - member->withdrawal.away_until_us) /
			       KS_USEC_PER_MSEC);
	for (guint i = 0; i < exchange->request_fields->len; i++) {
		const ks_header_t *field = &g_array_index(
			exchange->request_fields, ks_header_t, i);

		if (is_field(field, dialect->time_left_ms) ||
		    (resumes && is_field(field, dialect->last_event_id)))
			continue;
		g_array_append_val(fields, *field);
	}
	snprintf(left, sizeof(left), "%" PRId64, left_ms);
	add_field(fields, dialect->time_left_ms, ks_str_from(left));
	add_field(fields, dialect->expected_upstream, ks_str_from(member->id));
	if (exchange->organisation)
		add_field(fields, dialect->organisation,
			  ks_str_from(exchange->organisation->name));
	if (exchange->has_prompt) {
		snprintf(priority, sizeof(priority), "%u",
			 ks_placement_rank(exchange->priority,
					   is_prefill ? exchange->prefill_tokens
						      : exchange->run_tokens));
		add_field(fields, dialect->priority, ks_str_from(priority));
	}
	if (is_prefill)
		add_field(fields, dialect->stage, dialect->stage_prefill);
	else if (exchange->kv_source->len)
		add_field(fields, dialect->kv_source,
			  (ks_str_t){ exchange->kv_source->str,
				      exchange->kv_source->len });
	/*
	 * After a failed prefill, the request may run on the very engine that
	 * has the parts cached; it must not fetch from itself.
	 */
	ks_address_format(&member->address, own);
	if (*exchange->fetch_from && !exchange->kv_source->len &&
	    strcmp(exchange->fetch_from, own) != 0)
		add_field(fields, dialect->kv_fetch,
			  ks_str_from(exchange->fetch_from));
	if (resumes)
		add_field(fields, dialect->last_event_id,
			  (ks_str_t){ exchange->events.last_id->str,
				      exchange->events.last_id->len });
	request.headers = (const ks_header_t *)(void *)fields->data;
	request.n_headers = fields->len;
	ks_http_call_start(&exchange->call, &exchange->gateway->client,
			   &request, events, exchange);
	g_array_free(fields, TRUE);
}

static void on_handle_freed(void *ctx G_GNUC_UNUSED,
			    const ks_http_response_t *response)
{
	if (response->result != KS_HTTP_COMPLETE || response->status / 100 != 2)
		ks_log(KS_LOG_ROUTE, KS_LOG_DEBUG,
		       "cannot release a KV cache handle, it will expire status=%d",
		       response->status);
}

/**
 * exchange_free_handle() - release a KV cache that will not be imported
 */
void exchange_free_handle(struct exchange *exchange)
{
	const ks_dialect_t *dialect = exchange->gateway->dialect;
	int64_t now = exchange_now(exchange);
	ks_withdrawal_t *withdrawal;
	ks_header_t expect = { dialect->expected_upstream, { NULL, 0 } };
	ks_http_request_t request = {
		.method = KS_STR("DELETE"),
		.headers = &expect,
		.n_headers = 1,
		.timeout_us = FREE_HANDLE_TIMEOUT_US,
		.no_retry = true,
	};
	GString *target;

	if (!exchange->handle || !exchange->prefill_member)
		return;
	withdrawal = &exchange->prefill_member->withdrawal;
	/* The handle expires by itself if the engine wants no requests now. */
	if (ks_withdrawal_is_away(withdrawal, now) ||
	    !ks_stated_limit_permits(&withdrawal->limit, now)) {
		g_free(exchange->handle);
		exchange->handle = NULL;
		g_string_truncate(exchange->kv_source, 0);
		return;
	}
	target = g_string_new_len(dialect->handle_path.data,
				  (gssize)dialect->handle_path.len);
	g_string_append(target, exchange->handle);
	expect.value = ks_str_from(exchange->prefill_member->id);
	request.address = exchange->prefill_member->address;
	request.target = (ks_str_t){ target->str, target->len };
	ks_counter_add(exchange->gateway->counters.limited_releases,
		       ks_stated_limit_take(&withdrawal->limit, now));
	ks_http_fetch(&exchange->gateway->client, &request, 4096,
		      on_handle_freed, NULL);
	g_string_free(target, TRUE);
	g_free(exchange->handle);
	exchange->handle = NULL;
	g_string_truncate(exchange->kv_source, 0);
}
