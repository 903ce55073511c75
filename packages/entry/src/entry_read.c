/*
 * Validation of an incoming request: tenant, deadline, model or service,
 * idempotency key and limits.
 */
#include "entry_internal.h"

/* Maximum timeout that a caller may request. */
#define MAX_TIMEOUT_MS (3600 * 1000)
#define MAX_HEADERS 64
/* h2o accepts over 400 KiB, all of which is forwarded and kept in memory. */
#define MAX_HEAD_BYTES (32 * 1024)

static bool read_timeout(struct entry_request *request, unsigned fallback_ms,
			 GError **error)
{
	ks_str_t text =
		ks_http_req_header(request->req, "x-request-timeout-ms");
	int64_t timeout_ms = fallback_ms;

	if (text.len &&
	    !ks_str_parse_int(text, 1, MAX_TIMEOUT_MS, &timeout_ms)) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "X-Request-Timeout-Ms is not a whole number from "
			     "1 to %d",
			     MAX_TIMEOUT_MS);
		return false;
	}
	request->deadline_us =
		request->start_us + timeout_ms * KS_USEC_PER_MSEC;
	return true;
}

static bool resolve_tenant(struct entry_request *request, GError **error)
{
	ks_entry_t *entry = request->entry;
	const ks_route_settings_t *route = request->route;

	if (route && route->tenant) {
		request->tenant = entry_auth_find_tenant(entry, route->tenant);
	} else {
		request->tenant = entry_auth_authenticate(entry, request->req);
		request->strip_authorization = true;
	}
	if (!request->tenant) {
		ks_error_set(error, KS_ERROR_UNAUTHORIZED,
			     "the API key is missing or unknown");
		return false;
	}
	request->priority = route ? route->priority : request->tenant->priority;
	return true;
}

/* An adapter is requested by its own name and served by its base model. */
static const char *resolve_model(const ks_snapshot_t *snapshot,
				 const char *name)
{
	if (ks_snapshot_find_model(snapshot, ks_str_from(name)))
		return name;
	for (unsigned i = 0; i < snapshot->models->len; i++) {
		const ks_model_t *model =
			g_ptr_array_index(snapshot->models, i);

		for (unsigned j = 0;
		     model->adapters && j < model->adapters->len; j++)
			if (!strcmp(g_ptr_array_index(model->adapters, j),
				    name))
				return model->name;
	}
	return NULL;
}

static bool read_completion(struct entry_request *request, bool chat,
			    GError **error)
{
	ks_entry_t *entry = request->entry;
	const char *model;

	request->is_completion = true;
	request->is_idempotent = true;
	if (!ks_completion_parse(&request->completion,
				 ks_http_req_body(request->req), chat, error))
		return false;
	model = resolve_model(ks_config_current(entry->config),
			      request->completion.model);
	if (!model) {
		ks_error_set(error, KS_ERROR_UNKNOWN_MODEL,
			     "there is no model '%s'",
			     request->completion.model);
		return false;
	}
	request->group = entry_group_find(entry, true, ks_str_from(model));
	return read_timeout(request, entry->settings->completion_timeout_ms,
			    error);
}

static bool read_key(struct entry_request *request, GError **error)
{
	ks_str_t text = ks_http_req_header(request->req, "idempotency-key");
	ks_str_t date =
		ks_http_req_header(request->req, "idempotency-key-date");

	/* An empty header field is a malformed key, not a missing one. */
	if (request->is_idempotent || !text.data)
		return true;
	return ks_idempotency_key_parse(&request->key, text, date,
					ks_clock_now(ks_clock_wall()), error);
}

static bool read_service(struct entry_request *request, GError **error)
{
	const ks_route_settings_t *route = request->route;

	request->is_idempotent = route->idempotent;
	request->group = entry_group_find(request->entry, false,
					  ks_str_from(route->service));
	return read_key(request, error) &&
	       read_timeout(request, route->timeout_ms, error);
}

static bool check_limits(struct entry_request *request, GError **error)
{
	const ks_entry_t *entry = request->entry;
	const struct entry_tenant *tenant = request->tenant;

	if (entry->n_active >= entry->settings->max_requests) {
		ks_error_set(error, KS_ERROR_OVERLOADED,
			     "too many requests at once");
		return false;
	}
	if (tenant->max_concurrency &&
	    tenant->in_flight >= tenant->max_concurrency) {
		ks_error_set(error, KS_ERROR_RATE_LIMITED,
			     "too many requests of this tenant at once");
		return false;
	}
	if (!request->group || !entry_group_is_served(request->group)) {
		ks_error_set(error, KS_ERROR_NO_UPSTREAM,
			     "no upstream can take the request");
		return false;
	}
	return true;
}

/* Bytes of the path, the query and the header fields. */
static size_t head_bytes(const h2o_req_t *req)
{
	size_t bytes = req->path.len;

	for (size_t i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len;
	return bytes;
}

static bool check_head(const h2o_req_t *req, GError **error)
{
	if (req->headers.size > MAX_HEADERS) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "more than %d header fields", MAX_HEADERS);
		return false;
	}
	if (head_bytes(req) > MAX_HEAD_BYTES) {
		ks_error_set(error, KS_ERROR_BAD_REQUEST,
			     "path and header fields have more than %d bytes",
			     MAX_HEAD_BYTES);
		return false;
	}
	return true;
}

static bool parse_request(struct entry_request *request, bool chat,
			  GError **error)
{
	size_t max_body = (size_t)request->entry->settings->max_body_kib * 1024;

	if (ks_http_req_body(request->req).len > max_body) {
		ks_error_set(error, KS_ERROR_TOO_LARGE,
			     "the body has more than %zu bytes", max_body);
		return false;
	}
	if (!check_head(request->req, error) || !resolve_tenant(request, error))
		return false;
	if (!ks_config_current(request->entry->config)) {
		ks_error_set(error, KS_ERROR_NOT_READY,
			     "there is no configuration yet");
		return false;
	}
	return request->route ? read_service(request, error)
			      : read_completion(request, chat, error);
}

/**
 * entry_read_request() - parse a request, authenticate it and check its limits
 * @chat: a chat completion; ignored if the request has a route
 *
 * Return: false, with the error to send, if the request must be refused.
 */
bool entry_read_request(struct entry_request *request, bool chat,
			GError **error)
{
	return parse_request(request, chat, error) &&
	       check_limits(request, error);
}
