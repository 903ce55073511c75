/*
 * HTTP responses of the entry, and the header fields passed in each direction.
 */
#include "entry_internal.h"

#include <jansson.h>

/* Hop-by-hop header fields, and fields that this process writes itself. */
static const char *const dropped_headers[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"content-length",
	"host",
	"expect",
	"proxy-authenticate",
	"proxy-authorization",
	"server",
	"date",
	"x-request-timeout-ms",
};

static bool is_dropped_header(ks_str_t name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(dropped_headers); i++)
		if (ks_str_equal_nocase(name, ks_str_from(dropped_headers[i])))
			return true;
	/* Internal fields, which callers must not be able to set. */
	return name.len >= 5 && !g_ascii_strncasecmp(name.data, "x-ks-", 5);
}

/**
 * entry_response_error_body() - format the JSON body of an error response
 * @message: NULL for the error code alone
 *
 * Return: memory to be freed with free().
 */
char *entry_response_error_body(ks_error_kind_t kind, const char *message,
				const ks_id_t *id)
{
	const ks_error_answer_t *answer = ks_error_answer(kind);
	char hex[KS_ID_HEX_SIZE];
	json_t *json = json_pack(
		"{s:{s:s, s:s, s:b, s:s}}", "error", "code", answer->code,
		"message", message ? message : answer->code, "not_run",
		(int)answer->not_run, "request_id", ks_id_format(id, hex));
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static void add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
			      1, NULL, copy.base, copy.len);
}

/**
 * entry_response_add_id() - add the x-request-id response header
 */
void entry_response_add_id(h2o_req_t *req, const ks_id_t *id)
{
	char hex[KS_ID_HEX_SIZE];

	add_header(req, "x-request-id", ks_id_format(id, hex));
}

/**
 * entry_response_send_error() - send an error response
 * @message: NULL for the error code alone
 * @retry_after_us: value of Retry-After in microseconds, rounded up to seconds;
 *	ignored for kinds without this header
 */
void entry_response_send_error(h2o_req_t *req, ks_error_kind_t kind,
			       const char *message, const ks_id_t *id,
			       int64_t retry_after_us)
{
	const ks_error_answer_t *answer = ks_error_answer(kind);
	char *body = entry_response_error_body(kind, message, id);

	if (answer->retry_after) {
		int64_t seconds = (retry_after_us + KS_USEC_PER_SEC - 1) /
				  KS_USEC_PER_SEC;
		char text[24];

		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
			   MAX(seconds, 1));
		add_header(req, "retry-after", text);
	}
	entry_response_add_id(req, id);
	req->res.content_length = strlen(body);
	ks_http_reply(req, answer->status, "application/json",
		      ks_str_from(body));
	free(body);
}

/**
 * entry_response_store_headers() - copy an upstream's response headers
 *
 * request->headers then holds name, value, name, value. The content type is
 * stored apart, and hop-by-hop fields are dropped.
 */
void entry_response_store_headers(struct entry_request *request,
				  const ks_header_t *headers, size_t n_headers)
{
	g_ptr_array_set_size(request->headers, 0);
	g_clear_pointer(&request->content_type, g_free);
	request->content_type =
		ks_str_dup(ks_header_value(headers, n_headers, "content-type"));
	for (size_t i = 0; i < n_headers; i++) {
		if (is_dropped_header(headers[i].name) ||
		    ks_str_equal_nocase(headers[i].name,
					KS_STR("content-type")))
			continue;
		g_ptr_array_add(request->headers, ks_str_dup(headers[i].name));
		g_ptr_array_add(request->headers, ks_str_dup(headers[i].value));
	}
}

/**
 * entry_response_send_buffered() - send the buffered response of the upstream
 */
void entry_response_send_buffered(struct entry_request *request)
{
	h2o_req_t *req = request->req;
	const char *type = request->content_type;

	for (unsigned i = 0; i + 1 < request->headers->len; i += 2) {
		const char *name = g_ptr_array_index(request->headers, i);
		h2o_iovec_t copy = h2o_strdup(&req->pool, name, SIZE_MAX);

		h2o_strtolower(copy.base, copy.len);
		add_header(req, copy.base,
			   g_ptr_array_index(request->headers, i + 1));
	}
	entry_response_add_id(req, &request->id);
	req->res.content_length = request->response_body->len;
	ks_http_reply(req, request->status,
		      type && *type ? type : "application/octet-stream",
		      (ks_str_t){ request->response_body->str,
				  request->response_body->len });
}

/**
 * entry_response_send_replay() - send the stored response of an earlier request
 * with the same idempotency key
 */
void entry_response_send_replay(struct entry_request *request, int status,
				ks_str_t content_type, ks_str_t body)
{
	char *type = ks_str_dup(content_type);

	add_header(request->req, "idempotency-replayed", "true");
	entry_response_add_id(request->req, &request->id);
	request->req->res.content_length = body.len;
	ks_http_reply(request->req, status,
		      *type ? type : "application/octet-stream", body);
	g_free(type);
}

/**
 * entry_forwarded_request_headers() - request headers to forward to the
 * upstream
 *
 * Return: array of ks_header_t, valid as long as the h2o request.
 */
GArray *entry_forwarded_request_headers(struct entry_request *request)
{
	h2o_headers_t *from = &request->req->headers;
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(ks_header_t));

	for (size_t i = 0; i < from->size; i++) {
		ks_header_t header = {
			{ from->entries[i].name->base,
			  from->entries[i].name->len },
			{ from->entries[i].value.base,
			  from->entries[i].value.len },
		};

		if (is_dropped_header(header.name))
			continue;
		if (request->strip_authorization &&
		    ks_str_equal_nocase(header.name, KS_STR("authorization")))
			continue;
		g_array_append_val(headers, header);
	}
	return headers;
}
