/*
 * The ledger: carries out the steps of ks_claim_machine_t over the store. New
 * claims that wait at the same time share a transaction.
 */
#include "ledger.h"

#include <string.h>

#define BACKOFF_BASE_US (50 * KS_USEC_PER_MSEC)
#define BACKOFF_MAX_US (1 * KS_USEC_PER_SEC)

static void run_step(ks_ledger_entry_t *entry, ks_claim_step_t step);

/* The moment on both clocks that the machine decides by. */
static ks_claim_times_t now_of(const ks_ledger_t *ledger)
{
	return (ks_claim_times_t){ ks_loop_now(ledger->loop),
				   ks_clock_now(ledger->wall) };
}

static ks_claim_event_t event_of(ks_store_outcome_t outcome)
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
 * ks_ledger_entry_event() - pass the end of an operation to the state machine
 */
void ks_ledger_entry_event(ks_ledger_entry_t *entry, ks_store_outcome_t outcome,
			   ks_str_t etag)
{
	run_step(entry,
		 ks_claim_machine_event(&entry->machine, event_of(outcome),
					etag, now_of(entry->ledger)));
}

static void free_entry(ks_ledger_entry_t *entry)
{
	ks_ledger_group_forget(entry);
	if (entry->op)
		entry->op->entry = NULL;
	ks_list_remove(&entry->node);
	ks_list_remove(&entry->waiting);
	ks_timer_clear(&entry->deadline);
	ks_timer_clear(&entry->wait);
	ks_claim_machine_deinit(&entry->machine);
	ks_claim_deinit(&entry->row);
	if (entry->large_answer)
		g_bytes_unref(entry->large_answer);
	g_free(entry->key);
	g_free(entry);
}

static ks_ledger_op_t *start_op(ks_ledger_entry_t *entry)
{
	ks_ledger_op_t *op = g_new0(ks_ledger_op_t, 1);

	op->entry = entry;
	entry->op = op;
	return op;
}

/* Return: the entry, or NULL if it has been freed in the meantime. */
static ks_ledger_entry_t *end_op(void *ctx)
{
	ks_ledger_op_t *op = ctx;
	ks_ledger_entry_t *entry = op->entry;

	if (entry)
		entry->op = NULL;
	g_free(op);
	return entry;
}

static void on_write(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_ledger_entry_t *entry = end_op(ctx);

	if (entry)
		ks_ledger_entry_event(entry, outcome,
				      row ? row->etag : KS_STR(""));
}

static void write_claim(ks_ledger_entry_t *entry, const ks_claim_t *claim)
{
	ks_store_t *store = entry->ledger->store;
	char *value = ks_claim_encode(claim);
	ks_store_write_t write = { .key = ks_str_from(entry->key),
				   .value = ks_str_from(value) };

	write.etag.data = entry->machine.etag->str;
	write.etag.len = entry->machine.etag->len;
	store->write(store->impl, &write, on_write, start_op(entry));
	g_free(value);
}

/* The row keeps all else as its holder wrote it. */
static void mark_unknown(ks_ledger_entry_t *entry)
{
	ks_claim_t lapsed = entry->row;

	lapsed.state = KS_CLAIM_UNKNOWN;
	write_claim(entry, &lapsed);
}

/* The owner has had its last event or has ended the entry itself. */
static void release_owner(ks_ledger_entry_t *entry)
{
	entry->events = NULL;
	entry->ctx = NULL;
	ks_timer_clear(&entry->deadline);
}

static void replay(ks_ledger_entry_t *entry, ks_str_t body)
{
	const ks_ledger_events_t *events = entry->events;
	void *ctx = entry->ctx;

	release_owner(entry);
	events->replay(ctx, entry->row.status,
		       ks_str_from(entry->row.content_type), body);
	run_step(entry, ks_claim_machine_end(&entry->machine, KS_CLAIM_NOT_RUN,
					     now_of(entry->ledger)));
}

static void on_object(void *ctx, ks_store_outcome_t outcome,
		      const ks_row_t *row)
{
	ks_ledger_entry_t *entry = end_op(ctx);

	if (!entry)
		return;
	if (outcome == KS_STORE_DONE && row && row->value.len && entry->events)
		replay(entry, row->value);
	else
		ks_ledger_entry_event(entry, KS_STORE_UNREACHABLE, KS_STR(""));
}

static void start_replay(ks_ledger_entry_t *entry)
{
	ks_store_t *store = entry->ledger->store;
	const ks_claim_t *row = &entry->row;
	gsize len = 0;
	const char *data;

	if (row->object) {
		store->object_get(store->impl, ks_str_from(row->object),
				  on_object, start_op(entry));
		return;
	}
	data = g_bytes_get_data(row->answer, &len);
	replay(entry, (ks_str_t){ data, len });
}

/* A row that cannot be decoded is never acted on. */
static bool decode_row(ks_ledger_entry_t *entry, ks_str_t value)
{
	ks_claim_deinit(&entry->row);
	if (ks_claim_decode(&entry->row, value, NULL))
		return true;
	ks_log(KS_LOG_LEDGER, KS_LOG_ERROR, "row %s is damaged", entry->key);
	entry->machine.row_exists = true;
	return false;
}

static void on_row(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_ledger_entry_t *entry = end_op(ctx);
	bool present;

	if (!entry)
		return;
	present = outcome == KS_STORE_DONE && row->etag.len;
	if (outcome != KS_STORE_DONE ||
	    (present && !decode_row(entry, row->value))) {
		ks_ledger_entry_event(entry, KS_STORE_UNREACHABLE, KS_STR(""));
		return;
	}
	run_step(entry, ks_claim_machine_row(&entry->machine,
					     present ? &entry->row : NULL,
					     row->etag, now_of(entry->ledger)));
}

static void on_wait_over(void *ctx)
{
	ks_ledger_entry_t *entry = ctx;

	run_step(entry, ks_claim_machine_resume(&entry->machine,
						now_of(entry->ledger)));
}

static void fail_entry(ks_ledger_entry_t *entry)
{
	const ks_ledger_events_t *events = entry->events;
	void *ctx = entry->ctx;

	release_owner(entry);
	events->fail(ctx, entry->machine.failure);
	run_step(entry, ks_claim_machine_settle(&entry->machine,
						now_of(entry->ledger)));
}

static void run_step(ks_ledger_entry_t *entry, ks_claim_step_t step)
{
	ks_store_t *store = entry->ledger->store;

	switch (step) {
	case KS_CLAIM_STEP_INSERT:
		ks_ledger_group_add(entry);
		break;
	case KS_CLAIM_STEP_READ:
		store->get(store->impl, ks_str_from(entry->key), on_row,
			   start_op(entry));
		break;
	case KS_CLAIM_STEP_TAKE_OVER:
	case KS_CLAIM_STEP_STORE:
		write_claim(entry, &entry->machine.claim);
		break;
	case KS_CLAIM_STEP_MARK_UNKNOWN:
		mark_unknown(entry);
		break;
	case KS_CLAIM_STEP_WAIT:
		ks_timer_set(&entry->wait, ks_backoff_next(&entry->backoff,
							   entry->ledger->rng));
		break;
	case KS_CLAIM_STEP_DISPATCH:
		ks_timer_clear(&entry->deadline);
		entry->events->dispatch(entry->ctx,
					entry->machine.claim.attempt);
		break;
	case KS_CLAIM_STEP_REPLAY:
		start_replay(entry);
		break;
	case KS_CLAIM_STEP_FAIL:
		fail_entry(entry);
		break;
	case KS_CLAIM_STEP_FINISH:
		free_entry(entry);
		break;
	case KS_CLAIM_STEP_NONE:
		break;
	}
}

/*
 * A claim that has not left this process is withdrawn, so that it cannot land
 * after the caller was told that the request did not run.
 */
static void withdraw_unsent(ks_ledger_entry_t *entry)
{
	if (ks_list_is_empty(&entry->waiting))
		return;
	ks_list_remove(&entry->waiting);
	ks_claim_machine_event(&entry->machine, KS_CLAIM_EVENT_FAILED,
			       KS_STR(""), now_of(entry->ledger));
}

static void on_deadline(void *ctx)
{
	ks_ledger_entry_t *entry = ctx;

	ks_timer_clear(&entry->wait);
	withdraw_unsent(entry);
	run_step(entry, ks_claim_machine_deadline(&entry->machine,
						  now_of(entry->ledger)));
}

/**
 * ks_ledger_begin() - claim a key for a request
 * @fingerprint: of the request, KS_FINGERPRINT_SIZE bytes
 * @timeout_us: time left until the caller's deadline
 * @events: must outlive the entry; not called before this function returns
 *
 * After @dispatch the owner calls exactly one of ks_ledger_done(),
 * ks_ledger_not_run(), ks_ledger_unknown() and ks_ledger_abandon(). After
 * @replay or @fail the entry is gone.
 *
 * Return: an entry that the ledger owns.
 */
ks_ledger_entry_t *ks_ledger_begin(ks_ledger_t *ledger,
				   const ks_idempotency_key_t *key,
				   ks_str_t tenant, const uint8_t *fingerprint,
				   const ks_id_t *request, int64_t timeout_us,
				   const ks_ledger_events_t *events, void *ctx)
{
	ks_ledger_entry_t *entry = g_new0(ks_ledger_entry_t, 1);

	entry->ledger = ledger;
	entry->key = ks_claim_row_key(key, tenant);
	entry->hour = ks_claim_hour(key->issued_us);
	entry->events = events;
	entry->ctx = ctx;
	ks_list_init(&entry->waiting);
	ks_list_append(&ledger->entries, &entry->node);
	ks_backoff_init(&entry->backoff, BACKOFF_BASE_US, BACKOFF_MAX_US);
	ks_claim_machine_init(&entry->machine, fingerprint, &ledger->holder,
			      request, key->issued_us, timeout_us,
			      now_of(ledger));
	ks_timer_init(&entry->deadline, ledger->loop, on_deadline, entry);
	ks_timer_init(&entry->wait, ledger->loop, on_wait_over, entry);
	ks_timer_set(&entry->deadline, MAX(timeout_us, 0));
	/* Past the deadline nothing is started; its timer ends the request. */
	if (timeout_us > 0)
		run_step(entry, ks_claim_machine_start(&entry->machine));
	return entry;
}

/* How the attempt ended goes to the table; the owner is not told of it. */
static void end_entry(ks_ledger_entry_t *entry, ks_claim_state_t state)
{
	release_owner(entry);
	ks_timer_clear(&entry->wait);
	withdraw_unsent(entry);
	run_step(entry, ks_claim_machine_end(&entry->machine, state,
					     now_of(entry->ledger)));
}

static void end_put(ks_ledger_entry_t *entry, ks_claim_state_t state)
{
	ks_timer_init(&entry->wait, entry->ledger->loop, on_wait_over, entry);
	end_entry(entry, state);
}

static void on_answer_put(void *ctx, ks_store_outcome_t outcome,
			  const ks_row_t *row G_GNUC_UNUSED)
{
	ks_ledger_entry_t *entry = end_op(ctx);

	if (!entry)
		return;
	if (outcome == KS_STORE_DONE) {
		end_put(entry, KS_CLAIM_DONE);
	} else if (ks_loop_now(entry->ledger->loop) >= entry->put_until_us) {
		ks_log(KS_LOG_LEDGER, KS_LOG_WARN,
		       "the answer for %s could not be stored", entry->key);
		end_put(entry, KS_CLAIM_UNKNOWN);
	} else {
		ks_timer_set(&entry->wait, ks_backoff_next(&entry->backoff,
							   entry->ledger->rng));
	}
}

/* Putting the same object twice is harmless: its name is of this attempt. */
static void put_answer(void *ctx)
{
	ks_ledger_entry_t *entry = ctx;
	ks_store_t *store = entry->ledger->store;
	gsize len;
	const char *data = g_bytes_get_data(entry->large_answer, &len);

	store->object_put(store->impl, ks_str_from(entry->machine.claim.object),
			  (ks_str_t){ data, len }, on_answer_put,
			  start_op(entry));
}

/**
 * ks_ledger_done() - the request ran and this is its answer
 * @body: stored with the claim; the entry is gone for the owner
 */
void ks_ledger_done(ks_ledger_entry_t *entry, int status, ks_str_t content_type,
		    ks_str_t body)
{
	ks_claim_t *claim = &entry->machine.claim;
	char hex[KS_ID_HEX_SIZE];

	claim->status = status;
	claim->content_type =
		content_type.len ? ks_str_dup(content_type) : NULL;
	if (body.len <= KS_CLAIM_MAX_INLINE) {
		claim->answer = g_bytes_new(body.data, body.len);
		end_entry(entry, KS_CLAIM_DONE);
		return;
	}
	release_owner(entry);
	entry->large_answer = g_bytes_new(body.data, body.len);
	claim->object = g_strdup_printf(
		"answer/%" G_GINT64_FORMAT "/%s-%u", entry->hour,
		ks_id_format(&claim->request, hex), claim->attempt);
	entry->put_until_us =
		ks_loop_now(entry->ledger->loop) + KS_CLAIM_SETTLE_TIMEOUT_US;
	ks_timer_init(&entry->wait, entry->ledger->loop, put_answer, entry);
	put_answer(entry);
}

/**
 * ks_ledger_not_run() - the attempt never ran and never will
 *
 * Another request with the key may take the claim over. Before @dispatch this
 * gives the request up.
 */
void ks_ledger_not_run(ks_ledger_entry_t *entry)
{
	end_entry(entry, KS_CLAIM_NOT_RUN);
}

/**
 * ks_ledger_unknown() - the attempt may have run, and its answer is lost
 */
void ks_ledger_unknown(ks_ledger_entry_t *entry)
{
	end_entry(entry, KS_CLAIM_UNKNOWN);
}

/**
 * ks_ledger_abandon() - the owner wants no more events
 *
 * Before @dispatch the request is given up and counts as not run; after it the
 * outcome counts as unknown.
 */
void ks_ledger_abandon(ks_ledger_entry_t *entry)
{
	end_entry(entry, KS_CLAIM_UNKNOWN);
}

/**
 * ks_ledger_new() - set up the ledger of an entry process
 * @wall: Unix time
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
	ks_list_init(&ledger->entries);
	ks_ledger_group_init(ledger);
	ledger->sweep = ks_claim_sweep_new(loop, store, wall, rng);
	return ledger;
}

/**
 * ks_ledger_free() - drop every entry without an event
 *
 * Claims that were not stored lapse and are then marked unknown. Must not be
 * called from an event.
 */
void ks_ledger_free(ks_ledger_t *ledger)
{
	KS_LIST_FOREACH_SAFE (it, next, &ledger->entries)
		free_entry(KS_CONTAINER_OF(it, ks_ledger_entry_t, node));
	ks_ledger_group_deinit(ledger);
	ks_claim_sweep_free(ledger->sweep);
	g_free(ledger);
}

/**
 * ks_ledger_is_idle() - whether no request is claimed and no answer is on its
 * way to the store
 */
bool ks_ledger_is_idle(const ks_ledger_t *ledger)
{
	return ks_list_is_empty(&ledger->entries);
}
