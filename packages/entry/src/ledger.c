/*
 * Ledger of idempotency keys. Executes the steps of the state machine
 * ks_claim_machine_t against the store. ledger_group.c batches the inserts of
 * new claims.
 */
#include "ledger.h"

#include <string.h>

#define BACKOFF_BASE_US (50 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (1 * KS_USEC_PER_SEC)

static void run_step(ks_ledger_record_t *record, ks_claim_step_t step);

/* Monotonic and Unix time, both of which the state machine uses. */
static ks_claim_times_t current_times(const ks_ledger_t *ledger)
{
	return (ks_claim_times_t){ ks_loop_now(ledger->loop),
				   ks_clock_now(ledger->wall) };
}

static ks_claim_event_t event_from_outcome(ks_store_outcome_t outcome)
{
	switch (outcome) {
	case KS_STORE_DONE:
		return KS_CLAIM_EVENT_WRITTEN;
	case KS_STORE_REFUSED:
		return KS_CLAIM_EVENT_PRECONDITION_FAILED;
	case KS_STORE_UNREACHABLE:
		return KS_CLAIM_EVENT_FAILED;
	case KS_STORE_UNKNOWN:
		break;
	}
	return KS_CLAIM_EVENT_UNKNOWN;
}

/**
 * ks_ledger_record_event() - pass the result of a store operation to the
 * state machine
 * @row: the claim's row after a write, NULL if the write was not done
 */
void ks_ledger_record_event(ks_ledger_record_t *record,
			    ks_store_outcome_t outcome, const ks_row_t *row)
{
	if (row)
		record->era = row->era;
	run_step(record, ks_claim_machine_event(&record->machine,
						event_from_outcome(outcome),
						row ? row->etag : KS_STR(""),
						current_times(record->ledger)));
}

static void free_record(ks_ledger_record_t *record)
{
	ks_ledger_group_forget(record);
	if (record->op)
		record->op->record = NULL;
	ks_list_remove(&record->node);
	ks_list_remove(&record->waiting);
	ks_list_remove(&record->parked);
	ks_timer_clear(&record->deadline);
	ks_timer_clear(&record->wait);
	ks_claim_machine_deinit(&record->machine);
	ks_claim_deinit(&record->row);
	if (record->large_body)
		g_bytes_unref(record->large_body);
	g_free(record->key);
	g_free(record);
}

static ks_ledger_op_t *start_op(ks_ledger_record_t *record)
{
	ks_ledger_op_t *op = g_new0(ks_ledger_op_t, 1);

	op->record = record;
	record->op = op;
	return op;
}

/* Return: the record, or NULL if it was freed during the operation. */
static ks_ledger_record_t *end_op(void *ctx)
{
	ks_ledger_op_t *op = ctx;
	ks_ledger_record_t *record = op->record;

	if (record)
		record->op = NULL;
	g_free(op);
	return record;
}

static void on_write(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_ledger_record_t *record = end_op(ctx);

	if (record)
		ks_ledger_record_event(record, outcome, row);
}

static void write_claim(ks_ledger_record_t *record, const ks_claim_t *claim)
{
	ks_store_t *store = record->ledger->store;
	char *value = ks_claim_encode(claim);
	ks_store_write_t write = { .key = ks_str_from(record->key),
				   .value = ks_str_from(value) };

	write.etag.data = record->machine.etag->str;
	write.etag.len = record->machine.etag->len;
	store->write(store->impl, &write, on_write, start_op(record));
	g_free(value);
}

/*
 * Marks the expired claim of another request as unknown. Only the state
 * changes; the other fields stay as the holder wrote them.
 */
static void mark_unknown(ks_ledger_record_t *record)
{
	ks_claim_t expired = record->row;

	expired.state = KS_CLAIM_UNKNOWN;
	write_claim(record, &expired);
}

/* The owner has received its last event, or has ended the record itself. */
static void release_owner(ks_ledger_record_t *record)
{
	record->events = NULL;
	record->ctx = NULL;
	ks_timer_clear(&record->deadline);
}

static void replay(ks_ledger_record_t *record, ks_str_t body)
{
	const ks_ledger_events_t *events = record->events;
	void *ctx = record->ctx;

	release_owner(record);
	events->replay(ctx, record->row.status,
		       ks_str_from(record->row.content_type), body);
	run_step(record,
		 ks_claim_machine_end(&record->machine, KS_CLAIM_NOT_RUN,
				      current_times(record->ledger)));
}

static void on_object(void *ctx, ks_store_outcome_t outcome,
		      const ks_row_t *row)
{
	ks_ledger_record_t *record = end_op(ctx);

	if (!record)
		return;
	if (outcome == KS_STORE_DONE && row && row->value.len && record->events)
		replay(record, row->value);
	else
		ks_ledger_record_event(record, KS_STORE_UNREACHABLE, NULL);
}

static void start_replay(ks_ledger_record_t *record)
{
	ks_store_t *store = record->ledger->store;
	const ks_claim_t *row = &record->row;
	gsize len = 0;
	const char *data;

	if (row->object) {
		store->object_get(store->impl, ks_str_from(row->object),
				  on_object, start_op(record));
		return;
	}
	data = g_bytes_get_data(row->answer, &len);
	replay(record, (ks_str_t){ data, len });
}

/* A row that cannot be decoded is treated like an unreachable store. */
static bool decode_row(ks_ledger_record_t *record, ks_str_t value)
{
	ks_claim_deinit(&record->row);
	if (ks_claim_decode(&record->row, value, NULL))
		return true;
	ks_log(KS_LOG_LEDGER, KS_LOG_ERROR, "cannot decode claim row %s",
	       record->key);
	record->machine.row_exists = true;
	return false;
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_ledger_record_t *record = end_op(ctx);
	bool present;

	if (!record)
		return;
	present = outcome == KS_STORE_DONE && row->etag.len;
	if (outcome != KS_STORE_DONE ||
	    (present && !decode_row(record, row->value))) {
		ks_ledger_record_event(record, KS_STORE_UNREACHABLE, NULL);
		return;
	}
	record->era = row->era;
	run_step(record,
		 ks_claim_machine_row(&record->machine,
				      present ? &record->row : NULL, row->etag,
				      current_times(record->ledger)));
}

static void on_wait_timer(void *ctx)
{
	ks_ledger_record_t *record = ctx;

	run_step(record,
		 ks_claim_machine_resume(&record->machine,
					 current_times(record->ledger)));
}

static void fail_record(ks_ledger_record_t *record)
{
	const ks_ledger_events_t *events = record->events;
	void *ctx = record->ctx;

	release_owner(record);
	events->fail(ctx, record->machine.failure);
	run_step(record,
		 ks_claim_machine_settle(&record->machine,
					 current_times(record->ledger)));
}

/**
 * ks_ledger_dispatch() - let the owner send the request
 */
void ks_ledger_dispatch(ks_ledger_record_t *record)
{
	ks_timer_clear(&record->deadline);
	record->events->dispatch(record->ctx, record->machine.claim.attempt);
}

/**
 * ks_ledger_refuse() - end a request that holds its claim and was not
 * dispatched
 * @state: stored as the end of the claim
 */
void ks_ledger_refuse(ks_ledger_record_t *record, ks_error_kind_t kind,
		      ks_claim_state_t state)
{
	const ks_ledger_events_t *events = record->events;
	void *ctx = record->ctx;

	release_owner(record);
	events->fail(ctx, kind);
	run_step(record, ks_claim_machine_end(&record->machine, state,
					      current_times(record->ledger)));
}

static void run_step(ks_ledger_record_t *record, ks_claim_step_t step)
{
	ks_store_t *store = record->ledger->store;

	switch (step) {
	case KS_CLAIM_STEP_INSERT:
		ks_ledger_group_add(record);
		break;
	case KS_CLAIM_STEP_READ:
		store->get(store->impl, ks_str_from(record->key), on_row,
			   start_op(record));
		break;
	case KS_CLAIM_STEP_TAKE_OVER:
	case KS_CLAIM_STEP_STORE:
		write_claim(record, &record->machine.claim);
		break;
	case KS_CLAIM_STEP_MARK_UNKNOWN:
		mark_unknown(record);
		break;
	case KS_CLAIM_STEP_WAIT:
		ks_timer_set(
			&record->wait,
			ks_backoff_next(&record->backoff, record->ledger->rng));
		break;
	case KS_CLAIM_STEP_DISPATCH:
		ks_ledger_era_dispatch(record);
		break;
	case KS_CLAIM_STEP_REPLAY:
		start_replay(record);
		break;
	case KS_CLAIM_STEP_FAIL:
		fail_record(record);
		break;
	case KS_CLAIM_STEP_FINISH:
		free_record(record);
		break;
	case KS_CLAIM_STEP_NONE:
		break;
	}
}

/*
 * Cancels the insert of a claim that was not sent yet, so that the claim cannot
 * be stored after the caller was told that the request did not run.
 */
static void cancel_unsent_insert(ks_ledger_record_t *record)
{
	if (ks_list_is_empty(&record->waiting))
		return;
	ks_list_remove(&record->waiting);
	ks_claim_machine_event(&record->machine, KS_CLAIM_EVENT_FAILED,
			       KS_STR(""), current_times(record->ledger));
}

static void on_deadline(void *ctx)
{
	ks_ledger_record_t *record = ctx;

	if (ks_ledger_era_unpark(record)) {
		ks_ledger_refuse(record, KS_ERROR_DEADLINE_NOT_RUN,
				 KS_CLAIM_NOT_RUN);
		return;
	}
	ks_timer_clear(&record->wait);
	cancel_unsent_insert(record);
	run_step(record,
		 ks_claim_machine_deadline(&record->machine,
					   current_times(record->ledger)));
}

/**
 * ks_ledger_begin() - claim an idempotency key for a request
 * @fingerprint: fingerprint of the request, KS_FINGERPRINT_SIZE bytes
 * @timeout_us: microseconds left until the caller's deadline
 * @events: must outlive the record; not called before this function returns
 *
 * After @dispatch the owner calls exactly one of ks_ledger_done(),
 * ks_ledger_not_run(), ks_ledger_unknown() and ks_ledger_abandon(). After
 * @replay or @fail the owner must not use the record any more.
 *
 * Return: a record that the ledger owns.
 */
ks_ledger_record_t *ks_ledger_begin(ks_ledger_t *ledger,
				    const ks_idempotency_key_t *key,
				    ks_str_t tenant, const uint8_t *fingerprint,
				    const ks_id_t *request, int64_t timeout_us,
				    const ks_ledger_events_t *events, void *ctx)
{
	ks_ledger_record_t *record = g_new0(ks_ledger_record_t, 1);

	record->ledger = ledger;
	record->key = ks_claim_row_key(key, tenant);
	record->issued_us = key->issued_us;
	record->hour = ks_claim_hour(key->issued_us);
	record->events = events;
	record->ctx = ctx;
	ks_list_init(&record->waiting);
	ks_list_init(&record->parked);
	ks_list_append(&ledger->records, &record->node);
	ks_backoff_init(&record->backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	ks_claim_machine_init(&record->machine, fingerprint, &ledger->holder,
			      request, key->issued_us, timeout_us,
			      current_times(ledger));
	ks_timer_init(&record->deadline, ledger->loop, on_deadline, record);
	ks_timer_init(&record->wait, ledger->loop, on_wait_timer, record);
	ks_timer_set(&record->deadline, MAX(timeout_us, 0));
	/*
	 * After the deadline nothing is written; the timer fails the request.
	 */
	if (timeout_us > 0 &&
	    ks_claim_machine_start(&record->machine) == KS_CLAIM_STEP_INSERT)
		ks_ledger_group_add(record);
	return record;
}

/* Stores how the attempt ended; the owner gets no event for it. */
static void end_record(ks_ledger_record_t *record, ks_claim_state_t state)
{
	if (ks_ledger_era_unpark(record))
		state = KS_CLAIM_NOT_RUN;
	release_owner(record);
	ks_timer_clear(&record->wait);
	cancel_unsent_insert(record);
	run_step(record, ks_claim_machine_end(&record->machine, state,
					      current_times(record->ledger)));
}

static void end_put(ks_ledger_record_t *record, ks_claim_state_t state)
{
	ks_timer_init(&record->wait, record->ledger->loop, on_wait_timer,
		      record);
	end_record(record, state);
}

static void on_body_put(void *ctx, ks_store_outcome_t outcome,
			const ks_row_t *row G_GNUC_UNUSED)
{
	ks_ledger_record_t *record = end_op(ctx);

	if (!record)
		return;
	if (outcome == KS_STORE_DONE) {
		end_put(record, KS_CLAIM_DONE);
	} else if (ks_loop_now(record->ledger->loop) >=
		   record->put_deadline_us) {
		ks_log(KS_LOG_LEDGER, KS_LOG_WARN,
		       "cannot store the response for %s; its outcome "
		       "becomes unknown",
		       record->key);
		end_put(record, KS_CLAIM_UNKNOWN);
	} else {
		ks_timer_set(
			&record->wait,
			ks_backoff_next(&record->backoff, record->ledger->rng));
	}
}

/* Safe to repeat: the object's name is unique to this attempt. */
static void put_body(void *ctx)
{
	ks_ledger_record_t *record = ctx;
	ks_store_t *store = record->ledger->store;
	gsize len;
	const char *data = g_bytes_get_data(record->large_body, &len);

	store->object_put(
		store->impl, ks_str_from(record->machine.claim.object),
		(ks_str_t){ data, len }, on_body_put, start_op(record));
}

/**
 * ks_ledger_done() - record that the request ran, and store its response
 * @body: copied; a body over KS_CLAIM_MAX_INLINE bytes is stored as an object
 *
 * The owner must not use the record any more.
 */
void ks_ledger_done(ks_ledger_record_t *record, int status,
		    ks_str_t content_type, ks_str_t body)
{
	ks_claim_t *claim = &record->machine.claim;
	char hex[KS_ID_HEX_SIZE];

	claim->status = status;
	claim->content_type =
		content_type.len ? ks_str_dup(content_type) : NULL;
	if (body.len <= KS_CLAIM_MAX_INLINE) {
		claim->answer = g_bytes_new(body.data, body.len);
		end_record(record, KS_CLAIM_DONE);
		return;
	}
	release_owner(record);
	record->large_body = g_bytes_new(body.data, body.len);
	claim->object = g_strdup_printf(
		"answer/%" G_GINT64_FORMAT "/%s-%u", record->hour,
		ks_id_format(&claim->request, hex), claim->attempt);
	record->put_deadline_us =
		ks_loop_now(record->ledger->loop) + KS_CLAIM_SETTLE_TIMEOUT_US;
	ks_timer_init(&record->wait, record->ledger->loop, put_body, record);
	put_body(record);
}

/**
 * ks_ledger_not_run() - record that the attempt never ran and never will
 *
 * Another request with the key may take over the claim. Before @dispatch this
 * cancels the request. The owner must not use the record any more.
 */
void ks_ledger_not_run(ks_ledger_record_t *record)
{
	end_record(record, KS_CLAIM_NOT_RUN);
}

/**
 * ks_ledger_unknown() - record that the attempt may have run without a response
 *
 * The owner must not use the record any more.
 */
void ks_ledger_unknown(ks_ledger_record_t *record)
{
	end_record(record, KS_CLAIM_UNKNOWN);
}

/**
 * ks_ledger_abandon() - stop the events of a record
 *
 * Before @dispatch the request is cancelled and recorded as not run; after it
 * the outcome is recorded as unknown. The owner must not use the record any
 * more.
 */
void ks_ledger_abandon(ks_ledger_record_t *record)
{
	end_record(record, KS_CLAIM_UNKNOWN);
}

/**
 * ks_ledger_new() - create the ledger of an entry process
 * @wall: clock of Unix time
 * @holder: incarnation of the process
 */
ks_ledger_t *ks_ledger_new(ks_loop_t *loop, ks_store_t *store,
			   const ks_clock_t *wall, ks_rng_t *rng,
			   const ks_id_t *holder)
{
	ks_ledger_t *ledger = g_new0(ks_ledger_t, 1);

	ledger->loop = loop;
	ledger->store = store;
	ledger->wall = wall;
	ledger->rng = rng;
	ledger->holder = *holder;
	ks_list_init(&ledger->records);
	ks_ledger_group_init(ledger);
	ks_ledger_era_init(ledger);
	ledger->sweep = ks_claim_sweep_new(loop, store, wall, rng);
	return ledger;
}

/**
 * ks_ledger_free() - free the ledger and its records, without events
 *
 * Claims whose outcome was not stored expire and are then marked unknown. Must
 * not be called from an event.
 */
void ks_ledger_free(ks_ledger_t *ledger)
{
	KS_LIST_FOREACH_SAFE (it, next, &ledger->records)
		free_record(KS_CONTAINER_OF(it, ks_ledger_record_t, node));
	ks_ledger_group_deinit(ledger);
	ks_ledger_era_deinit(ledger);
	ks_claim_sweep_free(ledger->sweep);
	g_free(ledger);
}

/**
 * ks_ledger_is_idle() - whether no request holds or waits for a claim and no
 * outcome is still to be stored
 */
bool ks_ledger_is_idle(const ks_ledger_t *ledger)
{
	return ks_list_is_empty(&ledger->records);
}
