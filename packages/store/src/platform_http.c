/* Driver for the host list over HTTP; see docs/platform.md. */
#include "ks/store.h"

#include <jansson.h>
#include <string.h>

#define TIMEOUT_US (5 * KS_USEC_PER_SEC)
#define MAX_LIST_SIZE ((size_t)4 * 1024 * 1024)
#define STATUS_OK 200

struct hosts_call {
	ks_hosts_func_t func;
	void *ctx;
};

/*
 * Appends the names of the hosts in state "leaving" to @leaving. The strings
 * point into @root.
 */
static bool parse_hosts(json_t *root, GArray *leaving)
{
	json_t *hosts = json_object_get(root, "hosts");
	const char *name, *state;
	json_t *item;
	size_t i;

	if (!json_is_array(hosts))
		return false;
	json_array_foreach(hosts, i, item)
	{
		ks_str_t text;

		if (json_unpack(item, "{s:s, s:s}", "name", &name, "state",
				&state))
			return false;
		if (strcmp(state, "leaving"))
			continue;
		text = ks_str_from(name);
		g_array_append_val(leaving, text);
	}
	return true;
}

static void on_hosts(void *ctx, const ks_http_response_t *answer)
{
	struct hosts_call *call = ctx;
	GArray *leaving = g_array_new(FALSE, FALSE, sizeof(ks_str_t));
	json_t *root = NULL;
	bool ok = false;

	if (answer->result == KS_HTTP_COMPLETE && answer->status == STATUS_OK)
		root = json_loadb(answer->body.data, answer->body.len, 0, NULL);
	if (root)
		ok = parse_hosts(root, leaving);
	if (!ok)
		ks_log(KS_LOG_STORE, KS_LOG_WARN,
		       "cannot read the host list, status %d", answer->status);
	call->func(call->ctx, ok, (const ks_str_t *)(void *)leaving->data,
		   ok ? leaving->len : 0);
	json_decref(root);
	g_array_free(leaving, TRUE);
	g_free(call);
}

static void platform_hosts(void *impl, ks_hosts_func_t func, void *ctx)
{
	const ks_platform_http_t *driver = impl;
	struct hosts_call *call = g_new0(struct hosts_call, 1);
	char *bearer = driver->token
			       ? g_strconcat("Bearer ", driver->token, NULL)
			       : NULL;
	ks_header_t header = { KS_STR("authorization"), ks_str_from(bearer) };
	ks_http_request_t request = {
		.address = driver->address,
		.method = KS_STR("GET"),
		.target = KS_STR("/v1/hosts"),
		.headers = &header,
		.n_headers = bearer ? 1 : 0,
		.timeout_us = TIMEOUT_US,
	};

	call->func = func;
	call->ctx = ctx;
	ks_http_fetch(driver->client, &request, MAX_LIST_SIZE, on_hosts, call);
	g_free(bearer);
}

/**
 * ks_platform_http_init() - initialize a driver
 * @client: must outlive the driver
 * @token: bearer token, copied; NULL for none
 *
 * Users of the host list get @driver->platform.
 */
void ks_platform_http_init(ks_platform_http_t *driver, ks_http_client_t *client,
			   const ks_address_t *address, const char *token)
{
	driver->platform =
		(ks_platform_t){ .hosts = platform_hosts, .impl = driver };
	driver->client = client;
	driver->address = *address;
	driver->token = g_strdup(token);
}

void ks_platform_http_deinit(ks_platform_http_t *driver)
{
	g_free(driver->token);
	driver->token = NULL;
}
