/* In-memory implementation of ks_store_t with fault injection. */
#include "memory_store.h"

/* Ends a run in which every response makes the code under test call again. */
#define MAX_RUN 100000

enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_WRITE,
	CALL_REMOVE_PREFIX,
	CALL_OBJECT_GET,
	CALL_OBJECT_PUT,
};

/**
 * struct call - pending call
 * @due_us: time of its effect and response
 * @key: key, prefix or object name
 * @body: object to write
 * @row_func: callback of single-row calls; NULL together with @rows_func if the
 *	response was already sent and only the late effect is pending
 * @rows_func: callback of lists and transactions
 */
struct call {
	enum call_kind kind;
	int64_t due_us;
	memory_fault_t fault;
	char *key;
	GString *body;
	ks_store_write_t *writes;
	size_t n_writes;
	ks_store_row_func_t row_func;
	ks_store_rows_func_t rows_func;
	void *ctx;
};

static ks_str_t copy_str(ks_str_t text)
{
	return (ks_str_t){ ks_str_dup(text), text.len };
}

static void free_call(void *data)
{
	struct call *call = data;

	for (size_t i = 0; i < call->n_writes; i++) {
		g_free((char *)call->writes[i].key.data);
		g_free((char *)call->writes[i].etag.data);
		g_free((char *)call->writes[i].value.data);
	}
	g_free(call->writes);
	g_free(call->key);
	g_string_free(call->body, TRUE);
	g_free(call);
}

static int64_t now(const memory_store_t *memory)
{
	return memory->clock ? ks_clock_now(memory->clock) : 0;
}

static bool is_read(enum call_kind kind)
{
	return kind == CALL_GET || kind == CALL_LIST || kind == CALL_OBJECT_GET;
}

static memory_fault_t select_fault(memory_store_t *memory,
				   const struct call *call)
{
	if (memory->down)
		return MEMORY_FAULT_DOWN;
	if (memory->lose_responses && !is_read(call->kind)) {
		memory->lose_responses--;
		return MEMORY_FAULT_LOSE_RESPONSE;
	}
	if (memory->fault)
		return memory->fault(memory->fault_ctx, !is_read(call->kind),
				     ks_str_from(call->key));
	return MEMORY_FAULT_NONE;
}

/* Sorts by due time; calls that are due at the same time keep their order. */
static void insert_call(memory_store_t *memory, struct call *call)
{
	GList *at = memory->calls.tail;

	while (at && ((const struct call *)at->data)->due_us > call->due_us)
		at = at->prev;
	if (at)
		g_queue_insert_after(&memory->calls, at, call);
	else
		g_queue_push_head(&memory->calls, call);
}

static struct call *new_call(enum call_kind kind, ks_str_t key, void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	call->kind = kind;
	call->key = ks_str_dup(key);
	call->body = g_string_new(NULL);
	call->ctx = ctx;
	return call;
}

static void submit(memory_store_t *memory, struct call *call)
{
	if (is_read(call->kind))
		memory->n_reads++;
	else
		memory->n_writes++;
	call->fault = select_fault(memory, call);
	call->due_us = now(memory) + memory->delay_us;
	insert_call(memory, call);
}

static void submit_writes(memory_store_t *memory, struct call *call,
			  const ks_store_write_t *writes, size_t n_writes)
{
	call->writes = g_new0(ks_store_write_t, n_writes + 1);
	call->n_writes = n_writes;
	for (size_t i = 0; i < n_writes; i++) {
		call->writes[i] = writes[i];
		call->writes[i].key = copy_str(writes[i].key);
		call->writes[i].etag = copy_str(writes[i].etag);
		call->writes[i].value = copy_str(writes[i].value);
	}
	submit(memory, call);
}

static void store_get(void *impl, ks_str_t key, ks_store_row_func_t func,
		      void *ctx)
{
	struct call *call = new_call(CALL_GET, key, ctx);

	call->row_func = func;
	submit(impl, call);
}

static void store_list(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
		       void *ctx)
{
	struct call *call = new_call(CALL_LIST, prefix, ctx);

	call->rows_func = func;
	submit(impl, call);
}

static void store_write(void *impl, const ks_store_write_t *write,
			ks_store_row_func_t func, void *ctx)
{
	struct call *call = new_call(CALL_WRITE, write->key, ctx);

	call->row_func = func;
	submit_writes(impl, call, write, 1);
}

static void store_transact(void *impl, const ks_store_write_t *writes,
			   size_t n_writes, ks_store_rows_func_t func,
			   void *ctx)
{
	struct call *call = new_call(
		CALL_WRITE, n_writes ? writes[0].key : KS_STR(""), ctx);

	call->rows_func = func;
	submit_writes(impl, call, writes, n_writes);
}

static void store_remove_prefix(void *impl, ks_str_t prefix,
				ks_store_row_func_t func, void *ctx)
{
	struct call *call = new_call(CALL_REMOVE_PREFIX, prefix, ctx);

	call->row_func = func;
	submit(impl, call);
}

static void store_object_get(void *impl, ks_str_t name,
			     ks_store_row_func_t func, void *ctx)
{
	struct call *call = new_call(CALL_OBJECT_GET, name, ctx);

	call->row_func = func;
	submit(impl, call);
}

static void store_object_put(void *impl, ks_str_t name, ks_str_t body,
			     ks_store_row_func_t func, void *ctx)
{
	struct call *call = new_call(CALL_OBJECT_PUT, name, ctx);

	call->row_func = func;
	g_string_append_len(call->body, body.data, (gssize)body.len);
	submit(impl, call);
}

/**
 * memory_store_init() - initialize an empty store without faults
 * @clock: clock for the delays; NULL if every response is due immediately
 */
void memory_store_init(memory_store_t *memory, const ks_clock_t *clock)
{
	*memory = (memory_store_t){ 0 };
	memory->store = (ks_store_t){
		.get = store_get,
		.list = store_list,
		.write = store_write,
		.transact = store_transact,
		.remove_prefix = store_remove_prefix,
		.object_get = store_object_get,
		.object_put = store_object_put,
		.impl = memory,
	};
	memory->clock = clock;
	fake_tables_init(&memory->tables);
	g_queue_init(&memory->calls);
}

/**
 * memory_store_deinit() - free the store
 *
 * The callbacks of pending calls are not called.
 */
void memory_store_deinit(memory_store_t *memory)
{
	g_queue_clear_full(&memory->calls, free_call);
	fake_tables_deinit(&memory->tables);
}

/*
 * Applies the writes of a call. Returns the index of the first write whose
 * precondition failed, or -1.
 */
static int apply_call(memory_store_t *memory, const struct call *call)
{
	ks_str_t key = ks_str_from(call->key);

	switch (call->kind) {
	case CALL_WRITE:
		return fake_tables_transact(&memory->tables, call->writes,
					    call->n_writes);
	case CALL_REMOVE_PREFIX:
		fake_tables_remove_prefix(&memory->tables, key);
		break;
	case CALL_OBJECT_PUT:
		fake_tables_put_object(
			&memory->tables, key,
			(ks_str_t){ call->body->str, call->body->len });
		break;
	case CALL_GET:
	case CALL_LIST:
	case CALL_OBJECT_GET:
		break;
	}
	return -1;
}

static void report_failure(const struct call *call, ks_store_outcome_t outcome,
			   int failed)
{
	if (call->rows_func)
		call->rows_func(call->ctx, outcome, NULL, 0, failed);
	else
		call->row_func(call->ctx, outcome, NULL);
}

/* Rows are copied so that they stay valid while the callback changes the store.
 */
static ks_row_t copy_row(const char *key, const fake_row_t *row, bool stale)
{
	const GString *value =
		row ? (stale ? row->old_value : row->value) : NULL;
	const char *etag = row ? (stale ? row->old_etag : row->etag) : "";

	return (ks_row_t){
		.key = copy_str(ks_str_from(key)),
		.etag = copy_str(ks_str_from(etag)),
		.value = value && *etag ? copy_str((ks_str_t){ value->str,
							       value->len })
					: (ks_str_t){ NULL, 0 },
	};
}

static void free_copies(ks_row_t *rows, size_t n_rows)
{
	for (size_t i = 0; i < n_rows; i++) {
		g_free((char *)rows[i].key.data);
		g_free((char *)rows[i].etag.data);
		g_free((char *)rows[i].value.data);
	}
	g_free(rows);
}

static ks_row_t *rows_of_list(const memory_store_t *memory,
			      const struct call *call, size_t *n_rows)
{
	GPtrArray *found =
		fake_tables_list(&memory->tables, ks_str_from(call->key));
	ks_row_t *rows = g_new0(ks_row_t, found->len + 1);

	*n_rows = found->len;
	for (guint i = 0; i < found->len; i++) {
		const fake_row_t *row = found->pdata[i];

		rows[i] = copy_row(row->key, row, false);
	}
	g_ptr_array_free(found, TRUE);
	return rows;
}

static ks_row_t *rows_of_writes(const memory_store_t *memory,
				const struct call *call, size_t *n_rows)
{
	ks_row_t *rows = g_new0(ks_row_t, call->n_writes + 1);

	*n_rows = call->n_writes;
	for (size_t i = 0; i < call->n_writes; i++)
		rows[i] = copy_row(
			call->writes[i].key.data,
			fake_tables_get(&memory->tables, call->writes[i].key),
			false);
	return rows;
}

static ks_row_t *rows_of_one(const memory_store_t *memory,
			     const struct call *call, size_t *n_rows)
{
	ks_str_t key = ks_str_from(call->key);
	const fake_row_t *row =
		call->kind == CALL_GET
			? fake_tables_get(&memory->tables, key)
			: fake_tables_get_object(&memory->tables, key);
	ks_row_t *rows = g_new0(ks_row_t, 1);

	*n_rows = 1;
	rows[0] = copy_row(call->key, row,
			   call->kind == CALL_GET && memory->stale_reads);
	return rows;
}

static void report_success(const memory_store_t *memory,
			   const struct call *call)
{
	size_t n_rows;
	ks_row_t *rows = call->kind == CALL_LIST
				 ? rows_of_list(memory, call, &n_rows)
			 : call->kind == CALL_WRITE
				 ? rows_of_writes(memory, call, &n_rows)
				 : rows_of_one(memory, call, &n_rows);

	if (call->rows_func)
		call->rows_func(call->ctx, KS_STORE_DONE, rows, n_rows, -1);
	else
		call->row_func(call->ctx, KS_STORE_DONE, rows);
	free_copies(rows, n_rows);
}

static void report_unknown(const struct call *call)
{
	report_failure(call,
		       is_read(call->kind) ? KS_STORE_UNREACHABLE
					   : KS_STORE_UNKNOWN,
		       -1);
}

static void finish(memory_store_t *memory, struct call *call)
{
	int failed = -1;

	if (call->fault == MEMORY_FAULT_NONE ||
	    call->fault == MEMORY_FAULT_LOSE_RESPONSE)
		failed = apply_call(memory, call);
	if (call->fault == MEMORY_FAULT_DOWN)
		report_failure(call, KS_STORE_UNREACHABLE, -1);
	else if (call->fault != MEMORY_FAULT_NONE)
		report_unknown(call);
	else if (failed >= 0)
		report_failure(call, KS_STORE_REFUSED, failed);
	else
		report_success(memory, call);
}

/*
 * Handles MEMORY_FAULT_LATE: reports an unknown outcome now and queues the call
 * again, without callbacks, for its effect.
 */
static bool postpone(memory_store_t *memory, struct call *call)
{
	if (call->fault != MEMORY_FAULT_LATE || is_read(call->kind))
		return false;
	report_unknown(call);
	call->row_func = NULL;
	call->rows_func = NULL;
	call->fault = MEMORY_FAULT_NONE;
	call->due_us = now(memory) + memory->late_us;
	insert_call(memory, call);
	return true;
}

/**
 * memory_store_run_one() - process the first call that is due
 *
 * Return: false if no call is due.
 */
bool memory_store_run_one(memory_store_t *memory)
{
	struct call *call = g_queue_peek_head(&memory->calls);

	if (!call || call->due_us > now(memory))
		return false;
	g_queue_pop_head(&memory->calls);
	if (postpone(memory, call))
		return true;
	if (call->row_func || call->rows_func)
		finish(memory, call);
	else
		apply_call(memory, call);
	free_call(call);
	return true;
}

/**
 * memory_store_run() - process all calls that are due
 *
 * Return: the number of calls processed.
 */
unsigned memory_store_run(memory_store_t *memory)
{
	unsigned count = 0;

	while (count < MAX_RUN && memory_store_run_one(memory))
		count++;
	return count;
}

/**
 * memory_store_next_due() - time at which the next call is due
 * @due_us: set to the time, in microseconds of the store's clock
 *
 * Return: false if no call is pending.
 */
bool memory_store_next_due(const memory_store_t *memory, int64_t *due_us)
{
	const struct call *call =
		memory->calls.head ? memory->calls.head->data : NULL;

	if (call)
		*due_us = call->due_us;
	return call != NULL;
}
