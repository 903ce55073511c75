/*
 * Write budget: a wrapper around a store that limits the rate of writes with a
 * token bucket. Waiting writes are sent in order of priority: ledger, leases,
 * others. Reads are not limited.
 */
#include "ks/store.h"

/* Writes that wait longer fail, because they are likely outdated by then. */
#define MAX_WAIT_US (5 * KS_USEC_PER_SEC)
/* Limits memory during a store outage; applies to each priority. */
#define MAX_WAITING 4096
#define BACKOFF_BASE_US (100 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * KS_USEC_PER_SEC)

enum write_kind {
	WRITE_ROW,
	WRITE_TRANSACTION,
	WRITE_REMOVE_PREFIX,
	WRITE_OBJECT,
};

/* A write that waits or is in flight. */
struct pending_write {
	ks_write_budget_t *budget;
	enum write_kind kind;
	int64_t queued_at_us;
	ks_store_write_t *writes;
	size_t n_writes;
	ks_store_row_func_t row_func;
	ks_store_rows_func_t rows_func;
	void *ctx;
};

/*
 * Queue of the waiting writes of one priority, and the store interface that
 * adds to it.
 */
struct write_class {
	ks_store_t store;
	ks_write_budget_t *budget;
	GQueue queue;
};

/**
 * struct ks_write_budget - token bucket and queues of waiting writes
 * @rate_per_s: tokens added per second; each write costs one
 * @burst: capacity of the bucket
 * @tokens: tokens left; negative after a transaction with more writes
 * @retry_at_us: earliest time of the next write after a failure
 * @n_in_flight: writes sent to the store that have not called back
 * @n_callbacks: nesting depth of functions that run callbacks, which may free
 *	the budget
 * @closed: freed by the owner; the memory is freed after the last callback
 */
struct ks_write_budget {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_rng_t *rng;
	double rate_per_s;
	double burst;
	double tokens;
	int64_t refilled_us;
	int64_t retry_at_us;
	ks_backoff_t backoff;
	ks_timer_t timer;
	struct write_class classes[KS_WRITE_N_PRIORITIES];
	unsigned n_in_flight;
	unsigned n_callbacks;
	bool closed;
};

static ks_str_t copy_str(ks_str_t text)
{
	return (ks_str_t){ ks_str_dup(text), text.len };
}

static void free_write(struct pending_write *write)
{
	for (size_t i = 0; i < write->n_writes; i++) {
		g_free((char *)write->writes[i].key.data);
		g_free((char *)write->writes[i].etag.data);
		g_free((char *)write->writes[i].value.data);
	}
	g_free(write->writes);
	g_free(write);
}

static void complete_write(struct pending_write *write,
			   ks_store_outcome_t outcome, const ks_row_t *rows,
			   size_t n_rows, int failed)
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

	budget->tokens += budget->rate_per_s *
			  (double)(now - budget->refilled_us) /
			  (double)KS_USEC_PER_SEC;
	budget->tokens = MIN(budget->tokens, budget->burst);
	budget->refilled_us = now;
}

static void drop_expired(ks_write_budget_t *budget,
			 struct write_class *write_class)
{
	int64_t now = ks_loop_now(budget->loop);
	struct pending_write *write;

	while ((write = g_queue_peek_head(&write_class->queue)) &&
	       now - write->queued_at_us >= MAX_WAIT_US) {
		g_queue_pop_head(&write_class->queue);
		complete_write(write, KS_STORE_UNREACHABLE, NULL, 0, -1);
	}
}

static struct pending_write *pop_write(ks_write_budget_t *budget)
{
	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++) {
		struct pending_write *write =
			g_queue_pop_head(&budget->classes[i].queue);

		if (write)
			return write;
	}
	return NULL;
}

static bool find_oldest(const ks_write_budget_t *budget, int64_t *oldest_us)
{
	bool found = false;

	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++) {
		const GList *head = budget->classes[i].queue.head;
		const struct pending_write *write = head ? head->data : NULL;

		if (!write)
			continue;
		if (!found || write->queued_at_us < *oldest_us)
			*oldest_us = write->queued_at_us;
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
	if (!find_oldest(budget, &oldest_us))
		return;
	delay = (int64_t)((1 - budget->tokens) / budget->rate_per_s *
			  (double)KS_USEC_PER_SEC) +
		1;
	delay = MAX(delay, budget->retry_at_us - now);
	/*
	 * While a probe is in flight, its result triggers the next write, so
	 * the timer is needed only for expired writes.
	 */
	if (budget->backoff.failures && budget->n_in_flight)
		delay = MAX_WAIT_US;
	delay = MIN(delay, oldest_us + MAX_WAIT_US - now);
	ks_timer_set(&budget->timer, MAX(delay, 1));
}

/* After a failure, the store is probed with one write at a time. */
static bool may_send(ks_write_budget_t *budget)
{
	if (budget->closed || budget->tokens < 1)
		return false;
	if (!budget->backoff.failures)
		return true;
	return !budget->n_in_flight &&
	       ks_loop_now(budget->loop) >= budget->retry_at_us;
}

static void send_write(ks_write_budget_t *budget, struct pending_write *write);

/* Frees a closed budget that no write and no running callback refers to. */
static void free_if_unused(ks_write_budget_t *budget)
{
	if (budget->closed && !budget->n_in_flight && !budget->n_callbacks)
		g_free(budget);
}

static void process_queues(ks_write_budget_t *budget)
{
	struct pending_write *write;

	budget->n_callbacks++;
	refill(budget);
	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++)
		drop_expired(budget, &budget->classes[i]);
	while (may_send(budget) && (write = pop_write(budget)))
		send_write(budget, write);
	if (!budget->closed)
		set_timer(budget);
	budget->n_callbacks--;
	free_if_unused(budget);
}

static void on_timer(void *ctx)
{
	process_queues(ctx);
}

static void on_write_done(struct pending_write *write,
			  ks_store_outcome_t outcome, const ks_row_t *rows,
			  size_t n_rows, int failed)
{
	ks_write_budget_t *budget = write->budget;

	budget->n_in_flight--;
	if (outcome == KS_STORE_DONE || outcome == KS_STORE_REFUSED)
		ks_backoff_reset(&budget->backoff);
	else
		budget->retry_at_us =
			ks_loop_now(budget->loop) +
			ks_backoff_next(&budget->backoff, budget->rng);
	budget->n_callbacks++;
	complete_write(write, outcome, rows, n_rows, failed);
	budget->n_callbacks--;
	if (!budget->closed)
		process_queues(budget);
	else
		free_if_unused(budget);
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	on_write_done(ctx, outcome, row, row ? 1 : 0, -1);
}

static void on_rows(void *ctx, ks_store_outcome_t outcome, const ks_row_t *rows,
		    size_t n_rows, int failed)
{
	on_write_done(ctx, outcome, rows, n_rows, failed);
}

static void send_write(ks_write_budget_t *budget, struct pending_write *write)
{
	ks_store_t *store = budget->store;

	budget->tokens -= (double)MAX(write->n_writes, 1);
	budget->n_in_flight++;
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
 * Writes are sent from the timer and not from here, because a store must not
 * call back before its function has returned.
 */
static void enqueue_write(struct write_class *write_class, enum write_kind kind,
			  const ks_store_write_t *writes, size_t n_writes,
			  ks_store_row_func_t row_func,
			  ks_store_rows_func_t rows_func, void *ctx)
{
	ks_write_budget_t *budget = write_class->budget;
	struct pending_write *write = g_new0(struct pending_write, 1);

	write->budget = budget;
	write->kind = kind;
	write->queued_at_us = ks_loop_now(budget->loop);
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
	/*
	 * If the queue is full, the write is marked as expired, so that the
	 * next process_queues() fails it.
	 */
	if (write_class->queue.length >= MAX_WAITING) {
		write->queued_at_us -= MAX_WAIT_US;
		g_queue_push_head(&write_class->queue, write);
	} else {
		g_queue_push_tail(&write_class->queue, write);
	}
	refill(budget);
	if (may_send(budget) || write_class->queue.length > MAX_WAITING)
		ks_timer_set(&budget->timer, 0);
	else if (!ks_timer_is_set(&budget->timer))
		set_timer(budget);
}

static void budget_get(void *impl, ks_str_t key, ks_store_row_func_t func,
		       void *ctx)
{
	const ks_store_t *store = ((struct write_class *)impl)->budget->store;

	store->get(store->impl, key, func, ctx);
}

static void budget_list(void *impl, ks_str_t prefix, ks_store_rows_func_t func,
			void *ctx)
{
	const ks_store_t *store = ((struct write_class *)impl)->budget->store;

	store->list(store->impl, prefix, func, ctx);
}

static void budget_object_get(void *impl, ks_str_t name,
			      ks_store_row_func_t func, void *ctx)
{
	const ks_store_t *store = ((struct write_class *)impl)->budget->store;

	store->object_get(store->impl, name, func, ctx);
}

static void budget_write(void *impl, const ks_store_write_t *write,
			 ks_store_row_func_t func, void *ctx)
{
	enqueue_write(impl, WRITE_ROW, write, 1, func, NULL, ctx);
}

static void budget_transact(void *impl, const ks_store_write_t *writes,
			    size_t n_writes, ks_store_rows_func_t func,
			    void *ctx)
{
	enqueue_write(impl, WRITE_TRANSACTION, writes, n_writes, NULL, func,
		      ctx);
}

static void budget_remove_prefix(void *impl, ks_str_t prefix,
				 ks_store_row_func_t func, void *ctx)
{
	ks_store_write_t write = { .key = prefix };

	enqueue_write(impl, WRITE_REMOVE_PREFIX, &write, 1, func, NULL, ctx);
}

static void budget_object_put(void *impl, ks_str_t name, ks_str_t body,
			      ks_store_row_func_t func, void *ctx)
{
	ks_store_write_t write = { .key = name, .value = body };

	enqueue_write(impl, WRITE_OBJECT, &write, 1, func, NULL, ctx);
}

/**
 * ks_write_budget_new() - create a rate limit for the writes to a store
 * @store: must outlive the budget
 * @writes_per_s: writes per second, above 0; each write of a transaction counts
 * @burst: number of writes that may be sent at once after an idle period; 0
 *	counts as 1
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
	budget->rate_per_s = writes_per_s;
	budget->burst = MAX(burst, 1);
	budget->tokens = budget->burst;
	budget->refilled_us = ks_loop_now(loop);
	ks_backoff_init(&budget->backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	ks_timer_init(&budget->timer, loop, on_timer, budget);
	for (int i = 0; i < KS_WRITE_N_PRIORITIES; i++) {
		struct write_class *write_class = &budget->classes[i];

		write_class->budget = budget;
		g_queue_init(&write_class->queue);
		write_class->store = (ks_store_t){
			.get = budget_get,
			.list = budget_list,
			.write = budget_write,
			.transact = budget_transact,
			.remove_prefix = budget_remove_prefix,
			.object_get = budget_object_get,
			.object_put = budget_object_put,
			.impl = write_class,
		};
	}
	return budget;
}

/**
 * ks_write_budget_free() - free a write budget
 *
 * Waiting writes call back immediately with KS_STORE_UNREACHABLE. Writes in
 * flight call back when the store responds.
 */
void ks_write_budget_free(ks_write_budget_t *budget)
{
	struct pending_write *write;

	if (!budget)
		return;
	budget->closed = true;
	ks_timer_clear(&budget->timer);
	while ((write = pop_write(budget)))
		complete_write(write, KS_STORE_UNREACHABLE, NULL, 0, -1);
	free_if_unused(budget);
}

/**
 * ks_write_budget_store() - get the store interface for a priority
 *
 * Return: an interface that is valid as long as the budget.
 */
ks_store_t *ks_write_budget_store(ks_write_budget_t *budget,
				  ks_write_priority_t priority)
{
	return &budget->classes[priority].store;
}
