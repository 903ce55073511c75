/* HTTP calls whose response is buffered in memory. */
#include "ks/connection.h"

/* A call and what has been received of its response. */
struct ks_http_fetch {
	ks_http_call_t call;
	ks_http_fetch_func_t func;
	void *ctx;
	int status;
	GString *etag;
	GString *retry_after;
	const char *wanted_field;
	GString *wanted;
	GString *body;
};

static void on_head(void *ctx, int status, const ks_header_t *headers,
		    size_t n_headers)
{
	ks_http_fetch_t *fetch = ctx;
	ks_str_t etag = ks_header_value(headers, n_headers, "etag");
	ks_str_t retry = ks_header_value(headers, n_headers, "retry-after");
	ks_str_t wanted = { 0 };

	if (fetch->wanted_field)
		wanted = ks_header_value(headers, n_headers,
					 fetch->wanted_field);
	fetch->status = status;
	g_string_append_len(fetch->etag, etag.data, (gssize)etag.len);
	g_string_append_len(fetch->retry_after, retry.data, (gssize)retry.len);
	g_string_append_len(fetch->wanted, wanted.data, (gssize)wanted.len);
}

static void free_fetch(ks_http_fetch_t *fetch)
{
	g_string_free(fetch->etag, TRUE);
	g_string_free(fetch->retry_after, TRUE);
	g_string_free(fetch->wanted, TRUE);
	g_string_free(fetch->body, TRUE);
	g_free(fetch);
}

static void on_done(void *ctx, ks_http_result_t result)
{
	ks_http_fetch_t *fetch = ctx;
	ks_http_response_t response = {
		.result = result,
		.status = fetch->status,
		.etag = { fetch->etag->str, fetch->etag->len },
		.retry_after = { fetch->retry_after->str,
				 fetch->retry_after->len },
		.wanted = { fetch->wanted->str, fetch->wanted->len },
		.body = { fetch->body->str, fetch->body->len },
	};

	fetch->func(fetch->ctx, &response);
	free_fetch(fetch);
}

static void on_body(void *ctx, ks_str_t data)
{
	ks_http_fetch_t *fetch = ctx;

	g_string_append_len(fetch->body, data.data, (gssize)data.len);
}

static const ks_http_events_t fetch_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

/**
 * ks_http_fetch() - send a request and buffer its response
 * @request: copied, as in ks_http_call_start(), except the string
 *	@wanted_field, which must outlive the call; its timeouts apply
 * @max_body: limit for the response body in bytes; the connection is closed in
 *	a longer one, which is reported as KS_HTTP_INCOMPLETE
 * @func: called once, after this function has returned; at the latest when the
 *	client is freed
 *
 * Return: valid until @func is called or ks_http_fetch_cancel().
 */
ks_http_fetch_t *ks_http_fetch(ks_http_client_t *client,
			       const ks_http_request_t *request,
			       size_t max_body, ks_http_fetch_func_t func,
			       void *ctx)
{
	ks_http_fetch_t *fetch = g_new0(ks_http_fetch_t, 1);
	ks_http_request_t limited = *request;

	limited.max_body = max_body;
	fetch->func = func;
	fetch->ctx = ctx;
	fetch->etag = g_string_new(NULL);
	fetch->retry_after = g_string_new(NULL);
	fetch->wanted_field = request->wanted_field;
	fetch->wanted = g_string_new(NULL);
	fetch->body = g_string_new(NULL);
	ks_http_call_start(&fetch->call, client, &limited, &fetch_events,
			   fetch);
	return fetch;
}

/**
 * ks_http_fetch_cancel() - close the connection without calling back
 *
 * The request may have been sent.
 */
void ks_http_fetch_cancel(ks_http_fetch_t *fetch)
{
	ks_http_call_cancel(&fetch->call);
	free_fetch(fetch);
}
