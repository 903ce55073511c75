/*
 * State machine of one request that needs a claim. Its inputs are the results
 * of store operations on the claim row and the current time; its output is the
 * next step.
 *
 * Invariant: an attempt is dispatched only if the row is known to contain this
 * request, holder and attempt, only before the deadline on both clocks, and
 * only once, since dispatching leaves the phase KS_CLAIM_CLAIMING, which is
 * never entered again.
 */
#include "ks/request.h"

#include <string.h>

/**
 * ks_claim_machine_init() - initialize the state machine of a request
 * @fingerprint: see ks_claim_fingerprint()
 * @holder: id of this entry process
 * @request: id of the request
 * @issued_us: when the idempotency key was created, Unix time
 * @timeout_us: time left until the caller's deadline
 */
void ks_claim_machine_init(ks_claim_machine_t *machine,
			   const uint8_t fingerprint[KS_FINGERPRINT_SIZE],
			   const ks_id_t *holder, const ks_id_t *request,
			   int64_t issued_us, int64_t timeout_us,
			   ks_claim_times_t now)
{
	/*
	 * A row may be removed an hour after the retention of its key. The
	 * attempt must be dispatched well before that.
	 */
	int64_t last_us =
		issued_us + KS_KEY_RETENTION_US + KS_CLAIM_DISPATCH_GRACE_US;

	memset(machine, 0, sizeof(*machine));
	memcpy(machine->claim.fingerprint, fingerprint, KS_FINGERPRINT_SIZE);
	machine->claim.holder = *holder;
	machine->claim.request = *request;
	machine->claim.attempt = 1;
	machine->claim.state = KS_CLAIM_CLAIMED;
	machine->claim.expires_us =
		now.wall_us + timeout_us + KS_CLAIM_EXPIRY_MARGIN_US;
	machine->deadline.loop_us = now.loop_us + timeout_us;
	machine->deadline.wall_us = MIN(now.wall_us + timeout_us, last_us);
	machine->etag = g_string_new(NULL);
	machine->phase = KS_CLAIM_CLAIMING;
	machine->last_step = KS_CLAIM_STEP_NONE;
	machine->failure = KS_ERROR_NONE;
}

/**
 * ks_claim_machine_deinit() - free the contents of a state machine
 */
void ks_claim_machine_deinit(ks_claim_machine_t *machine)
{
	ks_claim_deinit(&machine->claim);
	g_string_free(machine->etag, TRUE);
	machine->etag = NULL;
}

/**
 * ks_claim_machine_is_late() - whether the attempt must not be dispatched any
 * more
 */
bool ks_claim_machine_is_late(const ks_claim_machine_t *machine,
			      ks_claim_times_t now)
{
	return now.loop_us >= machine->deadline.loop_us ||
	       now.wall_us >= machine->deadline.wall_us;
}

static void set_etag(ks_claim_machine_t *machine, ks_str_t etag)
{
	g_string_truncate(machine->etag, 0);
	if (etag.len)
		g_string_append_len(machine->etag, etag.data, (gssize)etag.len);
}

static ks_claim_step_t next_step(ks_claim_machine_t *machine,
				 ks_claim_step_t step)
{
	machine->last_step = step;
	machine->in_flight = step == KS_CLAIM_STEP_INSERT ||
			     step == KS_CLAIM_STEP_READ ||
			     step == KS_CLAIM_STEP_TAKE_OVER ||
			     step == KS_CLAIM_STEP_MARK_UNKNOWN ||
			     step == KS_CLAIM_STEP_STORE;
	return step;
}

static ks_claim_step_t finish(ks_claim_machine_t *machine)
{
	machine->phase = KS_CLAIM_FINISHED;
	return next_step(machine, KS_CLAIM_STEP_FINISH);
}

/* Fails the request. It cannot be dispatched after this. */
static ks_claim_step_t fail_request(ks_claim_machine_t *machine,
				    ks_error_kind_t kind, ks_claim_times_t now)
{
	machine->phase = KS_CLAIM_SETTLING;
	machine->claim.state = KS_CLAIM_NOT_RUN;
	machine->settle_until_us = now.loop_us + KS_CLAIM_SETTLE_TIMEOUT_US;
	machine->failure = kind;
	return KS_CLAIM_STEP_FAIL;
}

/*
 * Whether the row may contain, or may yet receive, this request's claim. A
 * claim write of unknown outcome counts, since it may still take effect.
 */
static bool has_claim_to_settle(const ks_claim_machine_t *machine)
{
	return machine->held || machine->maybe_claimed;
}

static ks_error_kind_t deadline_failure(const ks_claim_machine_t *machine)
{
	if (machine->held || machine->last_step == KS_CLAIM_STEP_NONE)
		return KS_ERROR_DEADLINE_NOT_RUN;
	if (machine->row_exists)
		return KS_ERROR_IN_PROGRESS;
	return KS_ERROR_STORE_UNAVAILABLE;
}

static ks_claim_step_t dispatch(ks_claim_machine_t *machine, ks_str_t etag,
				ks_claim_times_t now)
{
	machine->held = true;
	set_etag(machine, etag);
	if (ks_claim_machine_is_late(machine, now))
		return fail_request(machine, deadline_failure(machine), now);
	machine->phase = KS_CLAIM_DISPATCHED;
	return next_step(machine, KS_CLAIM_STEP_DISPATCH);
}

/**
 * ks_claim_machine_start() - get the first step of a request
 */
ks_claim_step_t ks_claim_machine_start(ks_claim_machine_t *machine)
{
	return next_step(machine, KS_CLAIM_STEP_INSERT);
}

/**
 * ks_claim_machine_settle() - get the next step towards storing the outcome
 *
 * To be called after KS_CLAIM_STEP_FAIL has been carried out.
 */
ks_claim_step_t ks_claim_machine_settle(ks_claim_machine_t *machine,
					ks_claim_times_t now)
{
	if (machine->phase != KS_CLAIM_SETTLING)
		return finish(machine);
	if (machine->in_flight)
		return KS_CLAIM_STEP_NONE;
	if (!has_claim_to_settle(machine) ||
	    now.loop_us >= machine->settle_until_us)
		return finish(machine);
	return next_step(machine, machine->held && machine->etag->len
					  ? KS_CLAIM_STEP_STORE
					  : KS_CLAIM_STEP_READ);
}

static bool is_claim_write(ks_claim_step_t step)
{
	return step == KS_CLAIM_STEP_INSERT || step == KS_CLAIM_STEP_TAKE_OVER;
}

static ks_claim_step_t handle_written(ks_claim_machine_t *machine,
				      ks_claim_step_t last_step, ks_str_t etag,
				      ks_claim_times_t now)
{
	if (machine->phase == KS_CLAIM_CLAIMING) {
		if (is_claim_write(last_step))
			return dispatch(machine, etag, now);
		return fail_request(machine, KS_ERROR_OUTCOME_UNKNOWN, now);
	}
	if (!is_claim_write(last_step))
		return finish(machine);
	/* The claim was written after the caller was told it had not run. */
	machine->held = true;
	set_etag(machine, etag);
	return ks_claim_machine_settle(machine, now);
}

static ks_claim_step_t read_or_settle(ks_claim_machine_t *machine,
				      ks_claim_times_t now)
{
	set_etag(machine, KS_STR(""));
	if (machine->phase == KS_CLAIM_SETTLING)
		return ks_claim_machine_settle(machine, now);
	return next_step(machine, KS_CLAIM_STEP_READ);
}

/**
 * ks_claim_machine_event() - handle the end of a write or of a failed read
 * @etag: new etag of the row if @event is KS_CLAIM_EVENT_WRITTEN
 */
ks_claim_step_t ks_claim_machine_event(ks_claim_machine_t *machine,
				       ks_claim_event_t event, ks_str_t etag,
				       ks_claim_times_t now)
{
	ks_claim_step_t last_step = machine->last_step;

	machine->in_flight = false;
	switch (event) {
	case KS_CLAIM_EVENT_WRITTEN:
		return handle_written(machine, last_step, etag, now);
	case KS_CLAIM_EVENT_PRECONDITION_FAILED:
		machine->row_exists = true;
		return read_or_settle(machine, now);
	case KS_CLAIM_EVENT_UNKNOWN:
		if (is_claim_write(last_step))
			machine->maybe_claimed = true;
		/* Read back, after a delay that limits load on the store. */
		set_etag(machine, KS_STR(""));
		machine->last_step = KS_CLAIM_STEP_READ;
		break;
	case KS_CLAIM_EVENT_FAILED:
		/* ks_claim_machine_resume() continues from the failed step. */
		break;
	}
	if (machine->phase == KS_CLAIM_SETTLING &&
	    (!has_claim_to_settle(machine) ||
	     now.loop_us >= machine->settle_until_us))
		return finish(machine);
	return KS_CLAIM_STEP_WAIT;
}

static bool is_own_claim(const ks_claim_machine_t *machine,
			 const ks_claim_t *row)
{
	return row->attempt == machine->claim.attempt &&
	       ks_id_equal(&row->holder, &machine->claim.holder) &&
	       ks_id_equal(&row->request, &machine->claim.request);
}

/* Handles the row that was read before the request was dispatched. */
static ks_claim_step_t handle_row_claiming(ks_claim_machine_t *machine,
					   const ks_claim_t *row, ks_str_t etag,
					   ks_claim_times_t now)
{
	if (memcmp(row->fingerprint, machine->claim.fingerprint,
		   KS_FINGERPRINT_SIZE))
		return fail_request(machine, KS_ERROR_KEY_MISMATCH, now);
	switch (row->state) {
	case KS_CLAIM_DONE:
		return next_step(machine, KS_CLAIM_STEP_REPLAY);
	case KS_CLAIM_UNKNOWN:
		return fail_request(machine, KS_ERROR_OUTCOME_UNKNOWN, now);
	case KS_CLAIM_NOT_RUN:
		machine->claim.attempt = row->attempt + 1;
		return next_step(machine, KS_CLAIM_STEP_TAKE_OVER);
	case KS_CLAIM_CLAIMED:
		break;
	}
	if (is_own_claim(machine, row))
		return dispatch(machine, etag, now);
	if (now.wall_us >= row->expires_us)
		return next_step(machine, KS_CLAIM_STEP_MARK_UNKNOWN);
	return KS_CLAIM_STEP_WAIT;
}

/* Handles the row that was read after the attempt ended or was given up. */
static ks_claim_step_t handle_row_settling(ks_claim_machine_t *machine,
					   const ks_claim_t *row)
{
	ks_claim_state_t final = machine->claim.state;

	if (is_own_claim(machine, row)) {
		/* The holder knows the outcome; it may replace unknown. */
		if (row->state == KS_CLAIM_CLAIMED ||
		    (row->state == KS_CLAIM_UNKNOWN && final != row->state))
			return next_step(machine, KS_CLAIM_STEP_STORE);
		return finish(machine);
	}
	/* Rewriting the row changes its etag, so a late take-over fails. */
	if (row->state == KS_CLAIM_NOT_RUN && final == KS_CLAIM_NOT_RUN &&
	    row->attempt + 1 == machine->claim.attempt)
		return next_step(machine, KS_CLAIM_STEP_STORE);
	return finish(machine);
}

static ks_claim_step_t handle_missing_row(ks_claim_machine_t *machine)
{
	/*
	 * An earlier insert may still take effect. Both have the same
	 * precondition, so at most one of them succeeds.
	 */
	if (machine->phase == KS_CLAIM_CLAIMING)
		return next_step(machine, KS_CLAIM_STEP_INSERT);
	/* A not_run row prevents a late insert of the claim. */
	if (machine->claim.state == KS_CLAIM_NOT_RUN)
		return next_step(machine, KS_CLAIM_STEP_STORE);
	return finish(machine);
}

/**
 * ks_claim_machine_row() - handle the result of KS_CLAIM_STEP_READ
 * @row: NULL if there is no row
 * @etag: etag of the row; empty if there is no row
 */
ks_claim_step_t ks_claim_machine_row(ks_claim_machine_t *machine,
				     const ks_claim_t *row, ks_str_t etag,
				     ks_claim_times_t now)
{
	machine->in_flight = false;
	set_etag(machine, etag);
	if (machine->phase == KS_CLAIM_SETTLING &&
	    (!has_claim_to_settle(machine) ||
	     now.loop_us >= machine->settle_until_us))
		return finish(machine);
	if (!row)
		return handle_missing_row(machine);
	machine->row_exists = true;
	if (machine->phase == KS_CLAIM_SETTLING)
		return handle_row_settling(machine, row);
	return handle_row_claiming(machine, row, etag, now);
}

/**
 * ks_claim_machine_resume() - continue after KS_CLAIM_STEP_WAIT
 */
ks_claim_step_t ks_claim_machine_resume(ks_claim_machine_t *machine,
					ks_claim_times_t now)
{
	if (machine->phase == KS_CLAIM_SETTLING)
		return ks_claim_machine_settle(machine, now);
	if (machine->last_step == KS_CLAIM_STEP_INSERT)
		return next_step(machine, KS_CLAIM_STEP_INSERT);
	return next_step(machine, KS_CLAIM_STEP_READ);
}

/**
 * ks_claim_machine_deadline() - handle the caller's deadline
 *
 * Return: KS_CLAIM_STEP_FAIL, or KS_CLAIM_STEP_NONE if the request has already
 * been dispatched or answered.
 */
ks_claim_step_t ks_claim_machine_deadline(ks_claim_machine_t *machine,
					  ks_claim_times_t now)
{
	if (machine->phase != KS_CLAIM_CLAIMING)
		return KS_CLAIM_STEP_NONE;
	return fail_request(machine, deadline_failure(machine), now);
}

/**
 * ks_claim_machine_end() - handle the end of the request
 * @state: outcome to store; KS_CLAIM_NOT_RUN only if the attempt has not run
 *	and never will. Before the dispatch, KS_CLAIM_NOT_RUN is stored
 *	regardless.
 */
ks_claim_step_t ks_claim_machine_end(ks_claim_machine_t *machine,
				     ks_claim_state_t state,
				     ks_claim_times_t now)
{
	if (machine->phase == KS_CLAIM_CLAIMING)
		state = KS_CLAIM_NOT_RUN;
	machine->phase = KS_CLAIM_SETTLING;
	machine->claim.state = state;
	machine->settle_until_us = now.loop_us + KS_CLAIM_SETTLE_TIMEOUT_US;
	return ks_claim_machine_settle(machine, now);
}
