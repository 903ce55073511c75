/* HTTP request handler: maps methods and paths to endpoints and routes. */
#include "entry_internal.h"

static void respond_plain_error(h2o_req_t *req, ks_error_kind_t kind,
				const char *message)
{
	ks_id_t id;

	ks_id_generate(&id);
	entry_response_send_error(req, kind, message, &id, KS_USEC_PER_SEC);
}

static void respond_healthz(ks_entry_t *entry G_GNUC_UNUSED, h2o_req_t *req)
{
	ks_http_reply(req, 200, "text/plain", KS_STR("ok\n"));
}

static void respond_readyz(ks_entry_t *entry, h2o_req_t *req)
{
	if (entry->stopping)
		respond_plain_error(req, KS_ERROR_NOT_READY,
				    "the process is stopping");
	else if (!ks_config_current(entry->config))
		respond_plain_error(req, KS_ERROR_NOT_READY,
				    "there is no configuration yet");
	else
		ks_http_reply(req, 200, "text/plain", KS_STR("ready\n"));
}

static void respond_status(ks_entry_t *entry, h2o_req_t *req)
{
	if (entry_auth_is_operator(entry, req))
		entry_status_respond(entry, req);
	else
		respond_plain_error(req, KS_ERROR_UNAUTHORIZED,
				    "the operators' token is needed");
}

static void respond_models(ks_entry_t *entry, h2o_req_t *req)
{
	if (!entry_auth_authenticate(entry, req))
		respond_plain_error(req, KS_ERROR_UNAUTHORIZED,
				    "the API key is missing or unknown");
	else if (!ks_config_current(entry->config))
		respond_plain_error(req, KS_ERROR_NOT_READY,
				    "there is no configuration yet");
	else
		entry_models_respond(entry, req);
}

static void begin_chat(ks_entry_t *entry, h2o_req_t *req)
{
	entry_request_begin(entry, req, NULL, true);
}

static void begin_completion(ks_entry_t *entry, h2o_req_t *req)
{
	entry_request_begin(entry, req, NULL, false);
}

static const struct fixed_path {
	const char *method;
	const char *path;
	void (*respond)(ks_entry_t *entry, h2o_req_t *req);
} fixed_paths[] = {
	{ "POST", "/v1/chat/completions", begin_chat },
	{ "POST", "/v1/completions", begin_completion },
	{ "GET", "/v1/models", respond_models },
	{ "GET", "/healthz", respond_healthz },
	{ "GET", "/readyz", respond_readyz },
	{ "GET", "/metrics", entry_metrics_respond },
	{ "GET", "/internal/status", respond_status },
};

static const struct fixed_path *find_fixed_path(ks_str_t method, ks_str_t path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fixed_paths); i++)
		if (ks_str_equal(path, ks_str_from(fixed_paths[i].path)) &&
		    ks_str_equal(method, ks_str_from(fixed_paths[i].method)))
			return &fixed_paths[i];
	return NULL;
}

/* Prefix "/shop" matches "/shop" and "/shop/a" but not "/shopping". */
static bool route_covers(const char *prefix, ks_str_t path)
{
	ks_str_t wanted = ks_str_from(prefix);

	if (!ks_str_has_prefix(path, wanted))
		return false;
	return path.len == wanted.len || !wanted.len ||
	       wanted.data[wanted.len - 1] == '/' ||
	       path.data[wanted.len] == '/';
}

static const ks_route_settings_t *find_route(const ks_settings_t *settings,
					     ks_str_t method, ks_str_t path)
{
	const ks_route_settings_t *best = NULL;

	for (unsigned i = 0; i < settings->routes_count; i++) {
		const ks_route_settings_t *route = &settings->routes[i];

		if (route->method &&
		    !ks_str_equal(method, ks_str_from(route->method)))
			continue;
		if (!route_covers(route->path, path))
			continue;
		if (!best || strlen(route->path) > strlen(best->path))
			best = route;
	}
	return best;
}

/*
 * Whether a path has a "." or ".." segment, including percent-encoded ones. An
 * upstream that resolves them would serve a path other than the routed one.
 */
static bool has_dot_segment(ks_str_t path)
{
	size_t dots = 0;
	bool only_dots = false;

	for (size_t i = 0; i < path.len; i++) {
		const char *at = path.data + i;

		if (*at == '/') {
			if (only_dots && dots && dots <= 2)
				return true;
			only_dots = true;
			dots = 0;
		} else if (*at == '.') {
			dots++;
		} else if (path.len - i >= 3 &&
			   !g_ascii_strncasecmp(at, "%2e", 3)) {
			dots++;
			i += 2;
		} else {
			only_dots = false;
		}
	}
	return only_dots && dots && dots <= 2;
}

/**
 * entry_http_handle() - request handler of the entry's HTTP server
 * @ctx: ks_entry_t
 */
void entry_http_handle(void *ctx, h2o_req_t *req)
{
	ks_entry_t *entry = ctx;
	ks_str_t method = ks_http_req_method(req);
	ks_str_t path = ks_http_req_path(req);
	const struct fixed_path *fixed = find_fixed_path(method, path);
	const ks_route_settings_t *route;

	/* Persistent connections would delay the shutdown. */
	if (entry->stopping)
		req->http1_is_persistent = 0;
	if (fixed) {
		fixed->respond(entry, req);
		return;
	}
	if (has_dot_segment(path)) {
		respond_plain_error(req, KS_ERROR_BAD_REQUEST,
				    "the path has a dot segment");
		return;
	}
	route = find_route(entry->settings, method, path);
	if (route)
		entry_request_begin(entry, req, route, false);
	else
		respond_plain_error(req, KS_ERROR_UNKNOWN_ROUTE,
				    "no route covers this method and path");
}
