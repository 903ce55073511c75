/*
 * Request handlers of the fake platform's store: rows with conditional writes,
 * transactions, objects and model weights. docs/platform.md describes the
 * protocol.
 */
#include "fake_platform.h"

#include <h2o.h>
#include <jansson.h>
#include <stdlib.h>
#include <sys/socket.h>

#define JSON_TYPE "application/json"
#define TEXT_TYPE "text/plain; charset=utf-8"

/**
 * struct delayed_reply - response to send after the delay; freed with its
 * request
 * @lost: close the connection instead of responding
 */
struct delayed_reply {
	ks_timer_t timer;
	h2o_req_t *req;
	bool lost;
	ks_str_t body;
};

/**
 * fake_rate_take() - take tokens from a bucket that holds at least one
 * @cost: number of tokens to take
 *
 * The balance may become negative; otherwise a transaction with more writes
 * than the bucket holds could never pass.
 *
 * Return: false if the bucket holds less than one token.
 */
bool fake_rate_take(fake_rate_t *rate, double cost, int64_t now_us)
{
	if (rate->per_s <= 0)
		return true;
	if (!rate->refilled_us)
		rate->tokens = rate->per_s;
	else
		rate->tokens += rate->per_s *
				(double)(now_us - rate->refilled_us) /
				(double)KS_USEC_PER_SEC;
	rate->tokens = MIN(rate->tokens, MAX(rate->per_s, 1));
	rate->refilled_us = now_us;
	if (rate->tokens < 1)
		return false;
	rate->tokens -= cost;
	return true;
}

static void add_field(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
			      0, NULL, copy.base, copy.len);
}

/* Responds to a request that changed nothing, and says so in X-Effect. */
static void reply_without_effect(h2o_req_t *req, int status, const char *why)
{
	add_field(req, "x-effect", "none");
	if (status == 429 || status == 503)
		add_field(req, "retry-after", "1");
	ks_http_reply(req, status, TEXT_TYPE, ks_str_from(why));
}

static void send_delayed(struct delayed_reply *reply)
{
	h2o_conn_t *conn = reply->req->conn;

	/* After the shutdown, h2o cannot send the response and closes the
	 * connection. */
	if (reply->lost)
		shutdown(h2o_socket_get_fd(conn->callbacks->get_socket(conn)),
			 SHUT_RDWR);
	ks_http_reply(reply->req, reply->req->res.status, JSON_TYPE,
		      reply->body);
}

static void on_delay_over(void *ctx)
{
	send_delayed(ctx);
}

static void dispose_delayed(void *ctx)
{
	ks_timer_clear(&((struct delayed_reply *)ctx)->timer);
}

static void answer(fake_platform_t *platform, h2o_req_t *req, int status,
		   ks_str_t body, bool lost)
{
	struct delayed_reply *reply = h2o_mem_alloc_shared(
		&req->pool, sizeof(*reply), dispose_delayed);
	h2o_iovec_t copy =
		h2o_strdup(&req->pool, body.data ? body.data : "", body.len);

	ks_timer_init(&reply->timer, platform->loop, on_delay_over, reply);
	reply->req = req;
	reply->lost = lost;
	reply->body = (ks_str_t){ copy.base, copy.len };
	req->res.status = status;
	if (platform->delay_us > 0)
		ks_timer_set(&reply->timer, platform->delay_us);
	else
		send_delayed(reply);
}

static void answer_json(fake_platform_t *platform, h2o_req_t *req, int status,
			json_t *root, bool lost)
{
	char *text = json_dumps(root, JSON_COMPACT);

	answer(platform, req, status, ks_str_from(text), lost);
	free(text);
	json_decref(root);
}

static char *unescape(ks_str_t text)
{
	char *copy = ks_str_dup(text);
	char *plain = g_uri_unescape_string(copy, NULL);

	g_free(copy);
	if (!plain)
		return g_strdup("");
	return plain;
}

static bool drops_reply(fake_platform_t *platform, ks_str_t key)
{
	if (!platform->lose_answers ||
	    (platform->lose_matching &&
	     !ks_str_has_prefix(key, ks_str_from(platform->lose_matching))))
		return false;
	platform->lose_answers--;
	return true;
}

static bool admit_read(fake_platform_t *platform, h2o_req_t *req, ks_str_t key)
{
	if (!fake_rate_take(&platform->read_rate, 1,
			    ks_loop_now(platform->loop))) {
		platform->limited++;
		reply_without_effect(req, 429, "too many reads");
		return false;
	}
	fake_platform_count(platform, key, 1, 0);
	return true;
}

static bool admit_writes(fake_platform_t *platform, h2o_req_t *req,
			 ks_str_t key, size_t n)
{
	if (!fake_rate_take(&platform->write_rate, (double)n,
			    ks_loop_now(platform->loop))) {
		platform->limited++;
		reply_without_effect(req, 429, "too many writes");
		return false;
	}
	fake_platform_count(platform, key, 0, (unsigned)n);
	return true;
}

static void read_one(fake_platform_t *platform, h2o_req_t *req,
		     const fake_row_t *row, ks_str_t key)
{
	bool stale = platform->stale_reads && row && row->old_etag;
	const char *etag = row ? (stale ? row->old_etag : row->etag) : "";
	const GString *value =
		row ? (stale ? row->old_value : row->value) : NULL;

	if (!admit_read(platform, req, key))
		return;
	if (!*etag) {
		answer(platform, req, 404, KS_STR(""), false);
		return;
	}
	add_field(req, "etag", etag);
	answer(platform, req, 200, (ks_str_t){ value->str, value->len }, false);
}

static json_t *row_to_json(const fake_row_t *row)
{
	return json_pack("{s:s, s:s, s:s%}", "key", row->key, "etag", row->etag,
			 "value", row->value->str, row->value->len);
}

static void list_rows(fake_platform_t *platform, h2o_req_t *req,
		      ks_str_t prefix)
{
	GPtrArray *rows = fake_tables_list(&platform->tables, prefix);
	json_t *array = json_array();

	for (guint i = 0; i < rows->len; i++)
		json_array_append_new(array, row_to_json(rows->pdata[i]));
	g_ptr_array_free(rows, TRUE);
	if (admit_read(platform, req, prefix))
		answer_json(platform, req, 200,
			    json_pack("{s:o}", "rows", array), false);
	else
		json_decref(array);
}

static void write_row(fake_platform_t *platform, h2o_req_t *req, ks_str_t key,
		      bool remove)
{
	ks_str_t match = ks_http_req_header(req, "if-match");
	ks_str_t none_match = ks_http_req_header(req, "if-none-match");
	ks_store_write_t write = {
		.key = key,
		.etag = match,
		.value = ks_http_req_body(req),
		.unconditional = !match.len && !none_match.len,
		.remove = remove,
	};
	bool lost;

	if (write.value.len &&
	    !g_utf8_validate_len(write.value.data, write.value.len, NULL)) {
		reply_without_effect(req, 400, "the value is not valid UTF-8");
		return;
	}
	if (!admit_writes(platform, req, key, 1))
		return;
	if (fake_tables_transact(&platform->tables, &write, 1) >= 0) {
		answer(platform, req, 412, KS_STR(""), false);
		return;
	}
	lost = drops_reply(platform, key);
	if (!remove)
		add_field(req, "etag",
			  fake_tables_get(&platform->tables, key)->etag);
	answer(platform, req, remove ? 204 : 200, KS_STR(""), lost);
}

static bool write_from_json(ks_store_write_t *write, json_t *item)
{
	const char *op, *key, *value = NULL, *match = NULL, *none_match = NULL;

	if (json_unpack(item, "{s:s, s:s, s?:s, s?:s, s?:s !}", "op", &op,
			"key", &key, "value", &value, "if_match", &match,
			"if_none_match", &none_match) ||
	    (match && none_match))
		return false;
	write->key = ks_str_from(key);
	write->value = ks_str_from(value);
	write->etag = ks_str_from(match);
	write->unconditional = !match && !none_match;
	write->check_only = !strcmp(op, "check");
	write->remove = !strcmp(op, "remove");
	return write->check_only || write->remove ||
	       (!strcmp(op, "put") && value);
}

static json_t *rows_after(fake_platform_t *platform,
			  const ks_store_write_t *writes, size_t n)
{
	json_t *array = json_array();

	for (size_t i = 0; i < n; i++) {
		const fake_row_t *row =
			fake_tables_get(&platform->tables, writes[i].key);

		json_array_append_new(
			array, json_pack("{s:s%, s:s}", "key",
					 writes[i].key.data, writes[i].key.len,
					 "etag", row ? row->etag : ""));
	}
	return json_pack("{s:o}", "rows", array);
}

static bool drops_any_reply(fake_platform_t *platform,
			    const ks_store_write_t *writes, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (drops_reply(platform, writes[i].key))
			return true;
	return false;
}

static void run_transaction(fake_platform_t *platform, h2o_req_t *req,
			    const ks_store_write_t *writes, size_t n)
{
	int failed;

	if (!admit_writes(platform, req, n ? writes[0].key : KS_STR(""), n))
		return;
	failed = fake_tables_transact(&platform->tables, writes, n);
	if (failed >= 0)
		answer_json(platform, req, 412,
			    json_pack("{s:i}", "failed", failed), false);
	else
		answer_json(platform, req, 200, rows_after(platform, writes, n),
			    drops_any_reply(platform, writes, n));
}

static void transact(fake_platform_t *platform, h2o_req_t *req)
{
	ks_str_t body = ks_http_req_body(req);
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	size_t n = json_array_size(root);
	ks_store_write_t *writes = g_new0(ks_store_write_t, n + 1);
	bool ok = json_is_array(root);

	for (size_t i = 0; ok && i < n; i++)
		ok = write_from_json(&writes[i], json_array_get(root, i));
	if (ok)
		run_transaction(platform, req, writes, n);
	else
		reply_without_effect(req, 400,
				     "the body is not a list of writes");
	g_free(writes);
	json_decref(root);
}

static void remove_prefix(fake_platform_t *platform, h2o_req_t *req,
			  ks_str_t prefix)
{
	if (!prefix.len) {
		reply_without_effect(req, 400, "the prefix is empty");
		return;
	}
	if (!admit_writes(platform, req, prefix, 1))
		return;
	fake_tables_remove_prefix(&platform->tables, prefix);
	answer(platform, req, 204, KS_STR(""), drops_reply(platform, prefix));
}

static void put_object(fake_platform_t *platform, h2o_req_t *req, ks_str_t name)
{
	const fake_row_t *row;

	if (!admit_writes(platform, req, name, 1))
		return;
	row = fake_tables_put_object(&platform->tables, name,
				     ks_http_req_body(req));
	add_field(req, "etag", row->etag);
	answer(platform, req, 200, KS_STR(""), drops_reply(platform, name));
}

static void serve_row(fake_platform_t *platform, h2o_req_t *req,
		      ks_str_t method, ks_str_t key)
{
	if (ks_str_equal(method, KS_STR("GET")))
		read_one(platform, req, fake_tables_get(&platform->tables, key),
			 key);
	else if (ks_str_equal(method, KS_STR("PUT")))
		write_row(platform, req, key, false);
	else if (ks_str_equal(method, KS_STR("DELETE")))
		write_row(platform, req, key, true);
	else
		reply_without_effect(req, 405, "");
}

static void serve_object(fake_platform_t *platform, h2o_req_t *req,
			 ks_str_t method, ks_str_t name)
{
	if (ks_str_equal(method, KS_STR("GET")))
		read_one(platform, req,
			 fake_tables_get_object(&platform->tables, name), name);
	else if (ks_str_equal(method, KS_STR("PUT")))
		put_object(platform, req, name);
	else
		reply_without_effect(req, 405, "");
}

static void serve_rows(fake_platform_t *platform, h2o_req_t *req,
		       ks_str_t method)
{
	ks_str_t query = ks_http_req_query(req);
	ks_str_t name = KS_STR("prefix=");
	char *prefix;

	if (!ks_str_has_prefix(query, name)) {
		reply_without_effect(req, 400,
				     "the query does not start with prefix=");
		return;
	}
	prefix = unescape(
		(ks_str_t){ query.data + name.len, query.len - name.len });
	if (ks_str_equal(method, KS_STR("GET")))
		list_rows(platform, req, ks_str_from(prefix));
	else if (ks_str_equal(method, KS_STR("DELETE")))
		remove_prefix(platform, req, ks_str_from(prefix));
	else
		reply_without_effect(req, 405, "");
	g_free(prefix);
}

static void serve_weights(fake_platform_t *platform, h2o_req_t *req,
			  ks_str_t name)
{
	if (fake_rate_take(&platform->weight_rate, 1,
			   ks_loop_now(platform->loop)))
		ks_http_reply(req, 200, "application/octet-stream", name);
	else
		reply_without_effect(req, 429, "too many weight downloads");
}

static void serve_store(fake_platform_t *platform, h2o_req_t *req,
			ks_str_t path)
{
	static const ks_str_t rows = KS_STR("/v1/rows/");
	static const ks_str_t objects = KS_STR("/v1/objects/");
	ks_str_t method = ks_http_req_method(req);
	char *name = NULL;

	if (platform->down) {
		reply_without_effect(req, 503, "down");
	} else if (ks_str_equal(path, KS_STR("/v1/rows"))) {
		serve_rows(platform, req, method);
	} else if (ks_str_equal(path, KS_STR("/v1/transactions"))) {
		transact(platform, req);
	} else if (ks_str_has_prefix(path, rows)) {
		name = unescape((ks_str_t){ path.data + rows.len,
					    path.len - rows.len });
		serve_row(platform, req, method, ks_str_from(name));
	} else if (ks_str_has_prefix(path, objects)) {
		name = unescape((ks_str_t){ path.data + objects.len,
					    path.len - objects.len });
		serve_object(platform, req, method, ks_str_from(name));
	} else {
		reply_without_effect(req, 404, "");
	}
	g_free(name);
}

static bool is_authorized(const fake_platform_t *platform, h2o_req_t *req)
{
	ks_str_t field = ks_http_req_header(req, "authorization");
	ks_str_t scheme = KS_STR("Bearer ");

	if (!platform->token)
		return true;
	return ks_str_has_prefix(field, scheme) &&
	       ks_str_equal((ks_str_t){ field.data + scheme.len,
					field.len - scheme.len },
			    ks_str_from(platform->token));
}

/**
 * fake_platform_handle() - HTTP request handler
 * @ctx: the fake_platform_t
 */
void fake_platform_handle(void *ctx, h2o_req_t *req)
{
	static const ks_str_t weights = KS_STR("/v1/weights/");
	fake_platform_t *platform = ctx;
	ks_str_t path = ks_http_req_path(req);
	char era[16];

	if (platform->era) {
		g_snprintf(era, sizeof(era), "%u", platform->era);
		add_field(req, "store-era", era);
	}
	if (ks_str_equal(path, KS_STR("/control")))
		fake_platform_control(platform, req);
	else if (ks_str_equal(path, KS_STR("/v1/stats")))
		fake_platform_stats(platform, req);
	else if (!is_authorized(platform, req))
		reply_without_effect(req, 401,
				     "missing or invalid bearer token");
	else if (ks_str_equal(path, KS_STR("/v1/hosts")))
		fake_platform_hosts(platform, req);
	else if (ks_str_has_prefix(path, weights))
		serve_weights(platform, req,
			      (ks_str_t){ path.data + weights.len,
					  path.len - weights.len });
	else
		serve_store(platform, req, path);
}
