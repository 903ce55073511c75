/*
 * Write budget: a store whose writes pass a token bucket, the ledger's before
 * those of leases, and both before the rest. Reads pass untouched.
 */
#include "ks/store.h"

/* A write that waited longer is dropped: what it was for has moved on. */
#define MAX_WAIT_US (5 * KS_USEC_PER_SEC)
/* Bounds the memory that waiting writes take while the store is away. */
#define MAX_WAITING 4096
#define BACKOFF_BASE_US (100 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * KS_USEC_PER_SEC)

enum write_kind {
	WRITE_ROW,
	WRITE_TRANSACTION,
	WRITE_REMOVE_PREFIX,
	WRITE_OBJECT,
};

struct waiting_write {
	ks_write_budget_t *budget;
	enum write_kind kind;
	int64_t since_us;
	ks_store_write_t *writes;
	size_t n_writes;
	ks_store_row_func_t row_func;
	ks_store_rows_func_t rows_func;
	void *ctx;
};

struct lane {
	ks_store_t store;
	ks_write_budget_t *budget;
	GQueue queue;
};

/**
 * struct ks_write_budget - the bucket and what waits for it
 * @tokens: may fall below zero after a large transaction
 * @retry_at_us: after a failure, no write is sent before
 * @n_sent: writes that are out
 * @n_held: callbacks under way, which may free the budget
 */
struct ks_write_budget {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_rng_t *rng;
	double per_s;
	double burst;
	double tokens;
	int64_t refilled_us;
	int64_t retry_at_us;
	ks_backoff_t backoff;
	ks_timer_t timer;
	struct lane lanes[KS_WRITE_N_PRIORITIES];
	unsigned n_sent;
	unsigned n_held;
	bool closed;
};

static ks_str_t copy_str(ks_str_t text)
{
	return (ks_str_t){ ks_str_dup(text), text.len };
}

static void free_write(struct waiting_write *write)
{
	for (size_t i = 0; i < write->n_writes; i++) {
		g_free((char *)write->writes[i].key.data);
		g_free((char *)write->writes[i].etag.data);
		g_free((char *)write->writes[i].value.data);
	}
	g_free(write->writes);
	g_free(write);
}

static void answer(struct waiting_write *write, ks_store_outcome_t outcome,
		   const ks_row_t *rows, size_t n_rows, int failed)
{
	if (write->rows_func)
		write->rows_func(write->ctx, outcome, rows, n_rows, failed);
	else
		write->row_func(write->ctx, outcome, rows);
	free_write(write);
}

static void refill(ks_write_budget_t *budget)
{
	int64_t now = ks_loop_now(budget->loop);

	budget->tokens += budget->per_s * (double)(now - budget->refilled_us) /
			  (double)KS_USEC_PER_SEC;
	budget->tokens = MIN(budget->tokens, budget->burst);
	budget->refilled_us = now;
}

static void drop_expired(ks_write_budget_t *budget, struct lane *lane)
{
	int64_t now = ks_loop_now(budget->loop);
	struct waiting_write *write;

	while ((write = g_queue_peek_head(&lane->queue)) &&
	       now - write->since_us >= MAX_WAIT_US) {
		g_queue_pop_head(&lane->queue);
		answer(write, KS_STORE_UNREACHABLE, NULL, 0, -1);
	}
}

static struct waiting_write *next_write(ks_write_budget_t *budget)
{
	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++) {
		struct waiting_write *write =
			g_queue_pop_head(&budget->lanes[i].queue);

		if (write)
			return write;
	}
	return NULL;
}

static bool has_waiting(const ks_write_budget_t *budget, int64_t *oldest_us)
{
	bool found = false;

	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++) {
		const GList *head = budget->lanes[i].queue.head;
		const struct waiting_write *write = head ? head->data : NULL;

		if (!write)
			continue;
		if (!found || write->since_us < *oldest_us)
			*oldest_us = write->since_us;
		found = true;
	}
	return found;
}

static void set_timer(ks_write_budget_t *budget)
{
	int64_t now = ks_loop_now(budget->loop);
	int64_t oldest_us = now;
	int64_t delay;

	ks_timer_clear(&budget->timer);
	if (!has_waiting(budget, &oldest_us))
		return;
	delay = (int64_t)((1 - budget->tokens) / budget->per_s *
			  (double)KS_USEC_PER_SEC) +
		1;
	delay = MAX(delay, budget->retry_at_us - now);
	/* The answer to a probe pumps; until then only expiry needs a timer. */
	if (budget->backoff.failures && budget->n_sent)
		delay = MAX_WAIT_US;
	delay = MIN(delay, oldest_us + MAX_WAIT_US - now);
	ks_timer_set(&budget->timer, MAX(delay, 1));
}

/* After a failure one write at a time probes the store. */
static bool may_send(ks_write_budget_t *budget)
{
	if (budget->closed || budget->tokens < 1)
		return false;
	if (!budget->backoff.failures)
		return true;
	return !budget->n_sent &&
	       ks_loop_now(budget->loop) >= budget->retry_at_us;
}

static void send_write(ks_write_budget_t *budget, struct waiting_write *write);

/* Frees a closed budget once nothing refers to it any more. */
static void release(ks_write_budget_t *budget)
{
	if (budget->closed && !budget->n_sent && !budget->n_held)
		g_free(budget);
}

static void pump(ks_write_budget_t *budget)
{
	struct waiting_write *write;

	budget->n_held++;
	refill(budget);
	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++)
		drop_expired(budget, &budget->lanes[i]);
	while (may_send(budget) && (write = next_write(budget)))
		send_write(budget, write);
	if (!budget->closed)
		set_timer(budget);
	budget->n_held--;
	release(budget);
}

static void on_timer(void *ctx)
{
	pump(ctx);
}

static void finish(struct waiting_write *write, ks_store_outcome_t outcome,
		   const ks_row_t *rows, size_t n_rows, int failed)
{
	ks_write_budget_t *budget = write->budget;

	budget->n_sent--;
	if (outcome == KS_STORE_DONE || outcome == KS_STORE_REFUSED)
		ks_backoff_reset(&budget->backoff);
	else
		budget->retry_at_us =
			ks_loop_now(budget->loop) +
			ks_backoff_next(&budget->backoff, budget->rng);
	budget->n_held++;
	answer(write, outcome, rows, n_rows, failed);
	budget->n_held--;
	if (!budget->closed)
		pump(budget);
	else
		release(budget);
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	finish(ctx, outcome, row, row ? 1 : 0, -1);
}

static void on_rows(void *ctx, ks_store_outcome_t outcome, const ks_row_t *rows,
		    size_t n_rows, int failed)
{
	finish(ctx, outcome, rows, n_rows, failed);
}

static void send_write(ks_write_budget_t *budget, struct waiting_write *write)
{
	ks_store_t *store = budget->store;

	budget->tokens -= (double)MAX(write->n_writes, 1);
	budget->n_sent++;
	switch (write->kind) {
	case WRITE_ROW:
		store->write(store->impl, write->writes, on_row, write);
		break;
	case WRITE_TRANSACTION:
		store->transact(store->impl, write->writes, write->n_writes,
				on_rows, write);
		break;
	case WRITE_REMOVE_PREFIX:
		store->remove_prefix(store->impl, write->writes->key, on_row,
				     write);
		break;
	case WRITE_OBJECT:
		store->object_put(store->impl, write->writes->key,
				  write->writes->value, on_row, write);
		break;
	}
}

/*
 * Sending waits for the timer, since a store calls back only after its function
 * has returned.
 */
static void enqueue(struct lane *lane, enum write_kind kind,
		    const ks_store_write_t *writes, size_t n_writes,
		    ks_store_row_func_t row_func,
		    ks_store_rows_func_t rows_func, void *ctx)
{
	ks_write_budget_t *budget = lane->budget;
	struct waiting_write *write = g_new0(struct waiting_write, 1);

	write->budget = budget;
	write->kind = kind;
	write->since_us = ks_loop_now(budget->loop);
	write->row_func = row_func;
	write->rows_func = rows_func;
	write->ctx = ctx;
	write->n_writes = n_writes;
	write->writes = g_new0(ks_store_write_t, n_writes + 1);
	for (size_t i = 0; i < n_writes; i++) {
		write->writes[i] = writes[i];
		write->writes[i].key = copy_str(writes[i].key);
		write->writes[i].etag = copy_str(writes[i].etag);
		write->writes[i].value = copy_str(writes[i].value);
	}
	/* An overflow counts as expired and is answered by the next pump. */
	if (lane->queue.length >= MAX_WAITING) {
		write->since_us -= MAX_WAIT_US;
		g_queue_push_head(&lane->queue, write);
	} else {
		g_queue_push_tail(&lane->queue, write);
	}
	refill(budget);
	if (may_send(budget) || lane->queue.length > MAX_WAITING)
		ks_timer_set(&budget->timer, 0);
	else if (!ks_timer_is_set(&budget->timer))
		set_timer(budget);
}

static void budget_get(void *impl, ks_str_t key, ks_store_row_func_t func,
		       void *ctx)
{
	const ks_store_t *store = ((struct lane *)impl)->budget->store;

	store->get(store->impl, key, func, ctx);
}

static void budget_list(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
			void *ctx)
{
	const ks_store_t *store = ((struct lane *)impl)->budget->store;

	store->list(store->impl, prefix, func, ctx);
}

static void budget_object_get(void *impl, ks_str_t name,
			      ks_store_row_func_t func, void *ctx)
{
	const ks_store_t *store = ((struct lane *)impl)->budget->store;

	store->object_get(store->impl, name, func, ctx);
}

static void budget_write(void *impl, const ks_store_write_t *write,
			 ks_store_row_func_t func, void *ctx)
{
	enqueue(impl, WRITE_ROW, write, 1, func, NULL, ctx);
}

static void budget_transact(void *impl, const ks_store_write_t *writes,
			    size_t n_writes, ks_store_rows_func_t func,
			    void *ctx)
{
	enqueue(impl, WRITE_TRANSACTION, writes, n_writes, NULL, func, ctx);
}

static void budget_remove_prefix(void *impl, ks_str_t prefix,
				 ks_store_row_func_t func, void *ctx)
{
	ks_store_write_t write = { .key = prefix };

	enqueue(impl, WRITE_REMOVE_PREFIX, &write, 1, func, NULL, ctx);
}

static void budget_object_put(void *impl, ks_str_t name, ks_str_t body,
			      ks_store_row_func_t func, void *ctx)
{
	ks_store_write_t write = { .key = name, .value = body };

	enqueue(impl, WRITE_OBJECT, &write, 1, func, NULL, ctx);
}

/**
 * ks_write_budget_new() - put a budget in front of a store
 * @store: must outlive the budget
 * @writes_per_s: above 0; each write of a transaction counts
 * @burst: writes that may go at once after a quiet time, at least 1
 *
 * Return: to be freed with ks_write_budget_free().
 */
ks_write_budget_t *ks_write_budget_new(ks_loop_t *loop, ks_store_t *store,
				       ks_rng_t *rng, double writes_per_s,
				       unsigned burst)
{
	ks_write_budget_t *budget = g_new0(ks_write_budget_t, 1);

	budget->loop = loop;
	budget->store = store;
	budget->rng = rng;
	budget->per_s = writes_per_s;
	budget->burst = MAX(burst, 1);
	budget->tokens = budget->burst;
	budget->refilled_us = ks_loop_now(loop);
	ks_backoff_init(&budget->backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	ks_timer_init(&budget->timer, loop, on_timer, budget);
	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++) {
		struct lane *lane = &budget->lanes[i];

		lane->budget = budget;
		g_queue_init(&lane->queue);
		lane->store = (ks_store_t){
			.get = budget_get,
			.list = budget_list,
			.write = budget_write,
			.transact = budget_transact,
			.remove_prefix = budget_remove_prefix,
			.object_get = budget_object_get,
			.object_put = budget_object_put,
			.impl = lane,
		};
	}
	return budget;
}

/**
 * ks_write_budget_free() - stop
 *
 * Writes that wait end as UNREACHABLE now; those that are out call back later.
 */
void ks_write_budget_free(ks_write_budget_t *budget)
{
	struct waiting_write *write;

	if (!budget)
		return;
	budget->closed = true;
	ks_timer_clear(&budget->timer);
	while ((write = next_write(budget)))
		answer(write, KS_STORE_UNREACHABLE, NULL, 0, -1);
	release(budget);
}

/**
 * ks_write_budget_store() - the store to use for writes of a priority
 *
 * Return: valid as long as the budget.
 */
ks_store_t *ks_write_budget_store(ks_write_budget_t *budget,
				  ks_write_priority_t priority)
{
	return &budget->lanes[priority].store;
}
