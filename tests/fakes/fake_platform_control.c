/* Fault injection, host list and statistics of the fake platform. */
#include "fake_platform.h"

#include <h2o.h>
#include <jansson.h>
#include <stdlib.h>

#define JSON_TYPE "application/json"
#define MAX_BODY ((size_t)64 * 1024 * 1024)

/**
 * struct prefix_count - accesses to the keys with one first component
 */
struct prefix_count {
	unsigned reads;
	unsigned writes;
};

static int compare_keys(const void *a, const void *b, void *ctx G_GNUC_UNUSED)
{
	return strcmp(a, b);
}

/**
 * fake_platform_init() - initialize an empty platform and start its server
 * @platform: zeroed, except for the rates and the token
 *
 * Return: false if the address cannot be bound.
 */
bool fake_platform_init(fake_platform_t *platform, ks_loop_t *loop,
			const ks_address_t *address, GError **error)
{
	platform->loop = loop;
	fake_tables_init(&platform->tables);
	platform->hosts = g_ptr_array_new_with_free_func(g_free);
	platform->leaving = g_ptr_array_new_with_free_func(g_free);
	platform->prefixes =
		g_tree_new_full(compare_keys, NULL, g_free, g_free);
	return ks_http_server_init(&platform->server, loop, address, MAX_BODY,
				   fake_platform_handle, platform, error);
}

static void drop_copy(fake_platform_t *platform)
{
	if (platform->has_copy)
		fake_tables_deinit(&platform->copy);
	platform->has_copy = false;
}

/**
 * fake_platform_deinit() - free the state
 *
 * The server is not freed, so the loop must not be run again.
 */
void fake_platform_deinit(fake_platform_t *platform)
{
	drop_copy(platform);
	fake_tables_deinit(&platform->tables);
	g_ptr_array_free(platform->hosts, TRUE);
	g_ptr_array_free(platform->leaving, TRUE);
	g_tree_destroy(platform->prefixes);
	g_free(platform->lose_matching);
	g_free(platform->token);
}

static bool take_copy(fake_platform_t *platform, json_t *value)
{
	if (!json_is_true(value))
		return false;
	drop_copy(platform);
	fake_tables_copy(&platform->copy, &platform->tables);
	platform->has_copy = true;
	return true;
}

/* Returns to the copy, which stays for the next time. */
static bool return_to_copy(fake_platform_t *platform, json_t *value)
{
	uint64_t last_etag = platform->tables.last_etag;

	if (!json_is_true(value) || !platform->has_copy)
		return false;
	fake_tables_deinit(&platform->tables);
	fake_tables_copy(&platform->tables, &platform->copy);
	platform->tables.last_etag = last_etag;
	platform->era++;
	return true;
}

/**
 * fake_platform_reset() - remove all rows, objects, hosts, faults and limits
 */
void fake_platform_reset(fake_platform_t *platform)
{
	platform->down = false;
	platform->stale_reads = false;
	platform->hosts_down = false;
	platform->delay_us = 0;
	platform->lose_answers = 0;
	g_clear_pointer(&platform->lose_matching, g_free);
	platform->write_rate = (fake_rate_t){ 0 };
	platform->read_rate = (fake_rate_t){ 0 };
	platform->weight_rate = (fake_rate_t){ 0 };
	g_ptr_array_set_size(platform->hosts, 0);
	g_ptr_array_set_size(platform->leaving, 0);
	drop_copy(platform);
	platform->era = 0;
	fake_tables_deinit(&platform->tables);
	fake_tables_init(&platform->tables);
}

/**
 * fake_platform_count() - count accesses by the first component of a key
 *
 * Components are separated by slashes.
 */
void fake_platform_count(fake_platform_t *platform, ks_str_t key,
			 unsigned reads, unsigned writes)
{
	const char *slash = key.len ? memchr(key.data, '/', key.len) : NULL;
	size_t len = slash ? (size_t)(slash - key.data) : key.len;
	char *prefix = ks_str_dup((ks_str_t){ key.data, len });
	struct prefix_count *count;

	platform->reads += reads;
	platform->writes += writes;
	if (!g_tree_lookup(platform->prefixes, prefix))
		g_tree_insert(platform->prefixes, g_strdup(prefix),
			      g_new0(struct prefix_count, 1));
	count = g_tree_lookup(platform->prefixes, prefix);
	count->reads += reads;
	count->writes += writes;
	g_free(prefix);
}

static void reply_json(h2o_req_t *req, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	ks_http_reply(req, status, JSON_TYPE, ks_str_from(text));
	free(text);
	json_decref(root);
}

static bool set_bool(bool *flag, json_t *value)
{
	*flag = json_is_true(value);
	return json_is_boolean(value);
}

static bool set_names(GPtrArray *names, json_t *value)
{
	json_t *item;
	size_t i;

	g_ptr_array_set_size(names, 0);
	json_array_foreach(value, i, item)
	{
		if (!json_is_string(item))
			return false;
		g_ptr_array_add(names, g_strdup(json_string_value(item)));
	}
	return json_is_array(value);
}

static bool set_text(char **text, json_t *value)
{
	g_free(*text);
	*text = g_strdup(json_string_value(value));
	return json_is_string(value) || json_is_null(value);
}

static bool set_fault(fake_platform_t *platform, const char *name,
		      json_t *value)
{
	if (!strcmp(name, "down"))
		return set_bool(&platform->down, value);
	if (!strcmp(name, "stale_reads"))
		return set_bool(&platform->stale_reads, value);
	if (!strcmp(name, "hosts_down"))
		return set_bool(&platform->hosts_down, value);
	if (!strcmp(name, "leaving"))
		return set_names(platform->leaving, value);
	if (!strcmp(name, "hosts"))
		return set_names(platform->hosts, value);
	if (!strcmp(name, "copy"))
		return take_copy(platform, value);
	if (!strcmp(name, "return"))
		return return_to_copy(platform, value);
	if (!strcmp(name, "lose_matching"))
		return set_text(&platform->lose_matching, value);
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	if (!strcmp(name, "delay_ms"))
		platform->delay_us =
			json_integer_value(value) * KS_USEC_PER_MSEC;
	else if (!strcmp(name, "lose_answers"))
		platform->lose_answers = (unsigned)json_integer_value(value);
	else
		return false;
	return true;
}

/**
 * fake_platform_control() - POST /control: set faults from a JSON object
 *
 * Responds with 400 if a member is unknown or has the wrong type; the other
 * members take effect all the same.
 */
void fake_platform_control(fake_platform_t *platform, h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	bool ok = json_is_object(root);
	const char *name;
	json_t *value;

	json_object_foreach(root, name, value) ok =
		set_fault(platform, name, value) && ok;
	json_decref(root);
	reply_json(req, ok ? 200 : 400, json_pack("{s:b}", "ok", ok));
}

static gboolean add_prefix(void *key, void *value, void *ctx)
{
	const struct prefix_count *count = value;

	json_object_set_new(ctx, key,
			    json_pack("{s:i, s:i}", "reads", (int)count->reads,
				      "writes", (int)count->writes));
	return FALSE;
}

/**
 * fake_platform_stats() - GET /v1/stats: access counts of the store
 */
void fake_platform_stats(fake_platform_t *platform, h2o_req_t *req)
{
	json_t *prefixes = json_object();

	g_tree_foreach(platform->prefixes, add_prefix, prefixes);
	reply_json(req, 200,
		   json_pack("{s:I, s:I, s:I, s:o}", "reads",
			     (json_int_t)platform->reads, "writes",
			     (json_int_t)platform->writes, "limited",
			     (json_int_t)platform->limited, "prefixes",
			     prefixes));
}

/* Appends the hosts in @names that are not in @except, which may be NULL. */
static void add_hosts(json_t *array, const GPtrArray *names, const char *state,
		      const GPtrArray *except)
{
	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];

		if (except &&
		    g_ptr_array_find_with_equal_func((GPtrArray *)except, name,
						     g_str_equal, NULL))
			continue;
		json_array_append_new(array, json_pack("{s:s, s:s}", "name",
						       name, "state", state));
	}
}

/**
 * fake_platform_hosts() - GET /v1/hosts: hosts and their state
 */
void fake_platform_hosts(fake_platform_t *platform, h2o_req_t *req)
{
	json_t *hosts = json_array();

	if (platform->hosts_down) {
		json_decref(hosts);
		ks_http_reply(req, 503, "text/plain", KS_STR("down"));
		return;
	}
	add_hosts(hosts, platform->hosts, "live", platform->leaving);
	add_hosts(hosts, platform->leaving, "leaving", NULL);
	reply_json(req, 200, json_pack("{s:o}", "hosts", hosts));
}
