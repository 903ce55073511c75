/* Store driver over HTTP/1.1 with ETag preconditions; see docs/platform.md. */
#include "ks/store.h"
#include "store_json.h"

#include <string.h>

#define DEFAULT_TIMEOUT_US (5 * KS_USEC_PER_SEC)
#define MAX_ANSWER_SIZE ((size_t)64 * 1024 * 1024)

/* The platform sends this header if a failed call has not changed anything. */
#define NO_EFFECT_FIELD "x-effect"
#define NO_EFFECT_VALUE "none"

/* How often the store has returned from an older copy, see struct ks_row. */
#define ERA_FIELD "store-era"
#define ERA_INVALID (-1)

#define STATUS_NOT_FOUND 404
#define STATUS_PRECONDITION_FAILED 412

enum operation_kind {
	OPERATION_READ,
	OPERATION_LIST,
	OPERATION_WRITE,
	OPERATION_TRANSACT,
};

/*
 * An operation in progress. Exactly one of row_func and rows_func is set.
 * no_effect is set if the response says that the call has not changed anything.
 * sent_era and was_answered are fields of the driver when the call was sent,
 * era is that of the response.
 */
struct operation {
	ks_http_call_t call;
	ks_store_http_t *driver;
	int64_t sent_era;
	bool was_answered;
	int64_t era;
	ks_timer_t reject_timer;
	enum operation_kind kind;
	ks_store_row_func_t row_func;
	ks_store_rows_func_t rows_func;
	void *ctx;
	char *key;
	size_t n_writes;
	int status;
	bool no_effect;
	GString *etag;
	GString *body;
};

static bool is_read(const struct operation *op)
{
	return op->kind == OPERATION_READ || op->kind == OPERATION_LIST;
}

static void on_head(void *ctx, int status, const ks_header_t *headers,
		    size_t n_headers)
{
	struct operation *op = ctx;
	ks_str_t etag = ks_header_value(headers, n_headers, "etag");
	ks_str_t effect = ks_header_value(headers, n_headers, NO_EFFECT_FIELD);
	ks_str_t era = ks_header_value(headers, n_headers, ERA_FIELD);

	op->status = status;
	op->era = 0;
	if (era.len && !ks_str_parse_int(era, 1, KS_ROW_MAX_ERA, &op->era))
		op->era = ERA_INVALID;
	op->no_effect = ks_str_equal(effect, KS_STR(NO_EFFECT_VALUE));
	g_string_append_len(op->etag, etag.data, (gssize)etag.len);
}

static void on_body(void *ctx, ks_str_t data)
{
	struct operation *op = ctx;

	g_string_append_len(op->body, data.data, (gssize)data.len);
}

/*
 * Notes the era of a response. One of another era than that of the request does
 * not count: its tags and contents were given out under other conditions.
 */
static bool check_era(const struct operation *op)
{
	ks_store_http_t *driver = op->driver;

	if (op->era < driver->era) {
		ks_log(KS_LOG_STORE, KS_LOG_WARN,
		       "a response of an earlier era of the store is ignored "
		       "era=%" PRId64 " current=%" PRId64,
		       op->era, driver->era);
		return false;
	}
	if (op->era > driver->era && driver->answered)
		ks_log(KS_LOG_STORE, KS_LOG_WARN,
		       "the store has returned from an older copy era=%" PRId64
		       " before=%" PRId64,
		       op->era, driver->era);
	driver->era = op->era;
	driver->answered = true;
	return !op->was_answered || op->sent_era == op->era;
}

/* Outcome of a call that may have reached the store but failed. */
static ks_store_outcome_t outcome_on_failure(const struct operation *op)
{
	return is_read(op) ? KS_STORE_UNREACHABLE : KS_STORE_UNKNOWN;
}

static ks_store_outcome_t classify_result(const struct operation *op,
					  ks_http_result_t result)
{
	if (result == KS_HTTP_NOT_SENT)
		return KS_STORE_UNREACHABLE;
	if (result != KS_HTTP_COMPLETE || !check_era(op))
		return outcome_on_failure(op);
	if (op->status >= 200 && op->status < 300)
		return KS_STORE_DONE;
	if (op->status == STATUS_NOT_FOUND && op->kind == OPERATION_READ)
		return KS_STORE_DONE;
	if (op->status == STATUS_PRECONDITION_FAILED && !is_read(op))
		return KS_STORE_REFUSED;
	if (op->no_effect)
		return KS_STORE_UNREACHABLE;
	return outcome_on_failure(op);
}

static void finish_row(struct operation *op, ks_store_outcome_t outcome)
{
	bool exists = op->status != STATUS_NOT_FOUND;
	ks_row_t row = { .key = ks_str_from(op->key),
			 .era = (uint64_t)op->era };

	if (outcome == KS_STORE_DONE && exists) {
		row.etag = (ks_str_t){ op->etag->str, op->etag->len };
		if (op->kind == OPERATION_READ)
			row.value = (ks_str_t){ op->body->str, op->body->len };
		/* An empty etag would be read as a row that does not exist. */
		if (op->kind == OPERATION_READ && !op->etag->len)
			outcome = KS_STORE_UNREACHABLE;
	}
	op->row_func(op->ctx, outcome, outcome == KS_STORE_DONE ? &row : NULL);
}

/*
 * A single check-only write is sent as a transaction, but its caller expects
 * the callback of a write.
 */
static void report_rows(struct operation *op, ks_store_outcome_t outcome,
			const ks_row_t *rows, size_t n_rows, int failed)
{
	if (op->rows_func)
		op->rows_func(op->ctx, outcome, rows, n_rows, failed);
	else
		op->row_func(op->ctx, outcome, n_rows ? rows : NULL);
}

static void finish_rows(struct operation *op, ks_store_outcome_t outcome)
{
	ks_str_t body = { op->body->str, op->body->len };
	ks_store_rows_t rows = { 0 };
	int failed = -1;

	if (outcome == KS_STORE_DONE &&
	    (!ks_store_rows_parse(&rows, body) ||
	     (op->kind == OPERATION_TRANSACT && rows.n_rows != op->n_writes)))
		outcome = outcome_on_failure(op);
	if (outcome == KS_STORE_REFUSED)
		failed = ks_store_failed_index_parse(body, op->n_writes);
	for (size_t i = 0; i < rows.n_rows; i++)
		rows.rows[i].era = (uint64_t)op->era;
	if (outcome == KS_STORE_DONE)
		report_rows(op, outcome, rows.rows, rows.n_rows, failed);
	else
		report_rows(op, outcome, NULL, 0, failed);
	ks_store_rows_deinit(&rows);
}

static void on_done(void *ctx, ks_http_result_t result)
{
	struct operation *op = ctx;
	ks_store_outcome_t outcome = classify_result(op, result);

	if (outcome == KS_STORE_UNREACHABLE || outcome == KS_STORE_UNKNOWN)
		ks_log(KS_LOG_STORE, KS_LOG_WARN, "%s %s failed: %s, status %d",
		       is_read(op) ? "read of" : "write of", op->key,
		       ks_store_outcome_name(outcome), op->status);
	if (op->kind == OPERATION_LIST || op->kind == OPERATION_TRANSACT)
		finish_rows(op, outcome);
	else
		finish_row(op, outcome);
	g_string_free(op->etag, TRUE);
	g_string_free(op->body, TRUE);
	g_free(op->key);
	g_free(op);
}

static const ks_http_events_t operation_events = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
};

static void on_rejected(void *ctx)
{
	on_done(ctx, KS_HTTP_NOT_SENT);
}

/*
 * Fails an operation whose keys or values are not UTF-8. JSON cannot represent
 * them: such a value would be missing from the body of a transaction, and the
 * row would be stored as empty.
 *
 * Return: true if the operation fails; its callback then runs from a timer, as
 * a store must not call back before its function has returned.
 */
static bool reject_non_utf8(ks_store_http_t *driver, struct operation *op,
			    const ks_store_write_t *writes, size_t n_writes)
{
	for (size_t i = 0; i < n_writes; i++) {
		ks_str_t key = writes[i].key;
		ks_str_t value = writes[i].value;

		if ((!key.len ||
		     g_utf8_validate_len(key.data, key.len, NULL)) &&
		    (!value.len ||
		     g_utf8_validate_len(value.data, value.len, NULL)))
			continue;
		ks_log(KS_LOG_STORE, KS_LOG_ERROR,
		       "the key or value of a row is not valid UTF-8");
		ks_timer_init(&op->reject_timer, driver->client->loop,
			      on_rejected, op);
		ks_timer_set(&op->reject_timer, 0);
		return true;
	}
	return false;
}

static struct operation *new_operation(ks_store_http_t *driver,
				       enum operation_kind kind, ks_str_t key,
				       void *ctx)
{
	struct operation *op = g_new0(struct operation, 1);

	op->driver = driver;
	op->sent_era = driver->era;
	op->was_answered = driver->answered;
	op->kind = kind;
	op->key = ks_str_dup(key);
	op->ctx = ctx;
	op->etag = g_string_new(NULL);
	op->body = g_string_new(NULL);
	return op;
}

/* @condition: header with the precondition, or NULL */
static void start(ks_store_http_t *driver, struct operation *op,
		  const char *method, const char *target,
		  const ks_header_t *condition, ks_str_t body)
{
	char *bearer = driver->token
			       ? g_strconcat("Bearer ", driver->token, NULL)
			       : NULL;
	ks_header_t headers[2];
	ks_http_request_t request = {
		.address = driver->address,
		.method = ks_str_from(method),
		.target = ks_str_from(target),
		.headers = headers,
		.body = body,
		.max_body = MAX_ANSWER_SIZE,
		.timeout_us = driver->timeout_us,
	};

	if (bearer)
		headers[request.n_headers++] =
			(ks_header_t){ KS_STR("authorization"),
				       ks_str_from(bearer) };
	if (condition)
		headers[request.n_headers++] = *condition;
	ks_http_call_start(&op->call, driver->client, &request,
			   &operation_events, op);
	g_free(bearer);
}

static char *build_path(const char *prefix, ks_str_t key)
{
	char *text = ks_str_dup(key);
	char *escaped = g_uri_escape_string(text, "/", FALSE);
	char *path = g_strconcat(prefix, escaped, NULL);

	g_free(text);
	g_free(escaped);
	return path;
}

static void start_on_key(ks_store_http_t *driver, struct operation *op,
			 const char *method, const char *prefix, ks_str_t key,
			 const ks_header_t *condition, ks_str_t body)
{
	char *path = build_path(prefix, key);

	start(driver, op, method, path, condition, body);
	g_free(path);
}

static void store_get(void *impl, ks_str_t key, ks_store_row_func_t func,
		      void *ctx)
{
	struct operation *op = new_operation(impl, OPERATION_READ, key, ctx);

	op->row_func = func;
	start_on_key(impl, op, "GET", "/v1/rows/", key, NULL, KS_STR(""));
}

static void store_list(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
		       void *ctx)
{
	struct operation *op = new_operation(impl, OPERATION_LIST, prefix, ctx);

	op->rows_func = func;
	start_on_key(impl, op, "GET", "/v1/rows?prefix=", prefix, NULL,
		     KS_STR(""));
}

static void start_transaction(ks_store_http_t *driver, struct operation *op,
			      const ks_store_write_t *writes, size_t n_writes)
{
	char *body;

	op->n_writes = n_writes;
	if (reject_non_utf8(driver, op, writes, n_writes))
		return;
	body = ks_store_writes_format(writes, n_writes);
	start(driver, op, "POST", "/v1/transactions", NULL, ks_str_from(body));
	g_free(body);
}

static void store_write(void *impl, const ks_store_write_t *write,
			ks_store_row_func_t func, void *ctx)
{
	struct operation *op = new_operation(
		impl, write->check_only ? OPERATION_TRANSACT : OPERATION_WRITE,
		write->key, ctx);
	ks_header_t condition = { KS_STR("if-match"), write->etag };

	op->row_func = func;
	if (write->check_only) {
		start_transaction(impl, op, write, 1);
		return;
	}
	if (reject_non_utf8(impl, op, write, 1))
		return;
	if (!write->etag.len)
		condition =
			(ks_header_t){ KS_STR("if-none-match"), KS_STR("*") };
	start_on_key(impl, op, write->remove ? "DELETE" : "PUT", "/v1/rows/",
		     write->key, write->unconditional ? NULL : &condition,
		     write->remove ? KS_STR("") : write->value);
}

static void store_transact(void *impl, const ks_store_write_t *writes,
			   size_t n_writes, ks_store_rows_func_t func,
			   void *ctx)
{
	struct operation *op =
		new_operation(impl, OPERATION_TRANSACT,
			      n_writes ? writes[0].key : KS_STR(""), ctx);

	op->rows_func = func;
	start_transaction(impl, op, writes, n_writes);
}

static void store_remove_prefix(void *impl, ks_str_t prefix,
				ks_store_row_func_t func, void *ctx)
{
	struct operation *op =
		new_operation(impl, OPERATION_WRITE, prefix, ctx);

	op->row_func = func;
	start_on_key(impl, op, "DELETE", "/v1/rows?prefix=", prefix, NULL,
		     KS_STR(""));
}

static void store_object_get(void *impl, ks_str_t name,
			     ks_store_row_func_t func, void *ctx)
{
	struct operation *op = new_operation(impl, OPERATION_READ, name, ctx);

	op->row_func = func;
	start_on_key(impl, op, "GET", "/v1/objects/", name, NULL, KS_STR(""));
}

static void store_object_put(void *impl, ks_str_t name, ks_str_t body,
			     ks_store_row_func_t func, void *ctx)
{
	struct operation *op = new_operation(impl, OPERATION_WRITE, name, ctx);

	op->row_func = func;
	start_on_key(impl, op, "PUT", "/v1/objects/", name, NULL, body);
}

/**
 * ks_store_http_init() - initialize a driver
 * @client: must outlive the driver
 * @token: bearer token, copied; NULL for none
 *
 * Users of the store get @driver->store.
 */
void ks_store_http_init(ks_store_http_t *driver, ks_http_client_t *client,
			const ks_address_t *address, const char *token)
{
	driver->store = (ks_store_t){
		.get = store_get,
		.list = store_list,
		.write = store_write,
		.transact = store_transact,
		.remove_prefix = store_remove_prefix,
		.object_get = store_object_get,
		.object_put = store_object_put,
		.impl = driver,
	};
	driver->client = client;
	driver->address = *address;
	driver->token = g_strdup(token);
	driver->timeout_us = DEFAULT_TIMEOUT_US;
	driver->era = 0;
	driver->answered = false;
}

/**
 * ks_store_http_deinit() - free the memory that a driver owns
 *
 * Operations in progress still call back as long as the client exists.
 */
void ks_store_http_deinit(ks_store_http_t *driver)
{
	g_free(driver->token);
	driver->token = NULL;
}
