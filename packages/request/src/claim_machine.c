/*
 * The state machine of one request that needs a claim. It takes the outcomes of
 * operations on the row and the time, and says what to do next.
 *
 * An attempt is dispatched only when the row is known to carry this request,
 * holder and attempt, only before the deadline on both clocks, and only once:
 * dispatching leaves the phase CLAIMING, which is never entered again.
 */
#include "ks/request.h"

#include <string.h>

/**
 * ks_claim_machine_init() - set up the state of a request
 * @issued_us: time of issue of its key, Unix time
 * @timeout_us: time left until the caller's deadline
 */
void ks_claim_machine_init(ks_claim_machine_t *machine,
			   const uint8_t fingerprint[KS_FINGERPRINT_SIZE],
			   const ks_id_t *holder, const ks_id_t *request,
			   int64_t issued_us, int64_t timeout_us,
			   ks_claim_times_t now)
{
	/* A row may be removed an hour after the retention of its key. */
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
	machine->asked = KS_CLAIM_STEP_NONE;
	machine->failure = KS_ERROR_NONE;
}

/**
 * ks_claim_machine_deinit() - free what a machine owns
 */
void ks_claim_machine_deinit(ks_claim_machine_t *machine)
{
	ks_claim_deinit(&machine->claim);
	g_string_free(machine->etag, TRUE);
	machine->etag = NULL;
}

static bool is_past_deadline(const ks_claim_machine_t *machine,
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

static ks_claim_step_t ask(ks_claim_machine_t *machine, ks_claim_step_t step)
{
	machine->asked = step;
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
	return ask(machine, KS_CLAIM_STEP_FINISH);
}

/* The request is never dispatched after this. */
static ks_claim_step_t fail(ks_claim_machine_t *machine, ks_error_kind_t kind,
			    ks_claim_times_t now)
{
	machine->phase = KS_CLAIM_SETTLING;
	machine->claim.state = KS_CLAIM_NOT_RUN;
	machine->settle_until_us = now.loop_us + KS_CLAIM_SETTLE_TIMEOUT_US;
	machine->failure = kind;
	return KS_CLAIM_STEP_FAIL;
}

/*
 * A claim write whose outcome is unknown may still take effect, so it is
 * neither forgotten nor taken as lost.
 */
static bool has_claim_to_settle(const ks_claim_machine_t *machine)
{
	return machine->held || machine->maybe_claimed;
}

static ks_error_kind_t deadline_failure(const ks_claim_machine_t *machine)
{
	if (machine->held || machine->asked == KS_CLAIM_STEP_NONE)
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
	if (is_past_deadline(machine, now))
		return fail(machine, deadline_failure(machine), now);
	machine->phase = KS_CLAIM_DISPATCHED;
	return ask(machine, KS_CLAIM_STEP_DISPATCH);
}

/**
 * ks_claim_machine_start() - first step of a request
 */
ks_claim_step_t ks_claim_machine_start(ks_claim_machine_t *machine)
{
	return ask(machine, KS_CLAIM_STEP_INSERT);
}

/**
 * ks_claim_machine_settle() - next step after an answer that is not a dispatch
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
	return ask(machine, machine->held && machine->etag->len
				    ? KS_CLAIM_STEP_STORE
				    : KS_CLAIM_STEP_READ);
}

static bool is_claim_write(ks_claim_step_t step)
{
	return step == KS_CLAIM_STEP_INSERT || step == KS_CLAIM_STEP_TAKE_OVER;
}

static ks_claim_step_t on_written(ks_claim_machine_t *machine,
				  ks_claim_step_t asked, ks_str_t etag,
				  ks_claim_times_t now)
{
	if (machine->phase == KS_CLAIM_CLAIMING) {
		if (is_claim_write(asked))
			return dispatch(machine, etag, now);
		return fail(machine, KS_ERROR_OUTCOME_UNKNOWN, now);
	}
	if (!is_claim_write(asked))
		return finish(machine);
	/* The claim landed after the caller was told that it did not run. */
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
	return ask(machine, KS_CLAIM_STEP_READ);
}

/**
 * ks_claim_machine_event() - an operation has ended, other than by a row
 * @etag: of the row after KS_CLAIM_EVENT_WRITTEN
 */
ks_claim_step_t ks_claim_machine_event(ks_claim_machine_t *machine,
				       ks_claim_event_t event, ks_str_t etag,
				       ks_claim_times_t now)
{
	ks_claim_step_t asked = machine->asked;

	machine->in_flight = false;
	switch (event) {
	case KS_CLAIM_EVENT_WRITTEN:
		return on_written(machine, asked, etag, now);
	case KS_CLAIM_EVENT_PRECONDITION_FAILED:
		machine->row_exists = true;
		return read_or_settle(machine, now);
	case KS_CLAIM_EVENT_UNKNOWN:
		if (is_claim_write(asked))
			machine->maybe_claimed = true;
		/* Read back, after a wait that spares a store in trouble. */
		set_etag(machine, KS_STR(""));
		machine->asked = KS_CLAIM_STEP_READ;
		break;
	case KS_CLAIM_EVENT_FAILED:
		/* The step that failed decides what follows the wait. */
		break;
	}
	if (machine->phase == KS_CLAIM_SETTLING &&
	    (!has_claim_to_settle(machine) ||
	     now.loop_us >= machine->settle_until_us))
		return finish(machine);
	return KS_CLAIM_STEP_WAIT;
}

static bool is_own(const ks_claim_machine_t *machine, const ks_claim_t *row)
{
	return row->attempt == machine->claim.attempt &&
	       ks_id_equal(&row->holder, &machine->claim.holder) &&
	       ks_id_equal(&row->request, &machine->claim.request);
}

/* A row as a request sees it that has not been dispatched. */
static ks_claim_step_t claiming_row(ks_claim_machine_t *machine,
				    const ks_claim_t *row, ks_str_t etag,
				    ks_claim_times_t now)
{
	if (memcmp(row->fingerprint, machine->claim.fingerprint,
		   KS_FINGERPRINT_SIZE))
		return fail(machine, KS_ERROR_KEY_MISMATCH, now);
	switch (row->state) {
	case KS_CLAIM_DONE:
		return ask(machine, KS_CLAIM_STEP_REPLAY);
	case KS_CLAIM_UNKNOWN:
		return fail(machine, KS_ERROR_OUTCOME_UNKNOWN, now);
	case KS_CLAIM_NOT_RUN:
		machine->claim.attempt = row->attempt + 1;
		return ask(machine, KS_CLAIM_STEP_TAKE_OVER);
	case KS_CLAIM_CLAIMED:
		break;
	}
	if (is_own(machine, row))
		return dispatch(machine, etag, now);
	if (now.wall_us >= row->expires_us)
		return ask(machine, KS_CLAIM_STEP_MARK_UNKNOWN);
	return KS_CLAIM_STEP_WAIT;
}

/* A row as a request sees it whose attempt has ended or never started. */
static ks_claim_step_t settling_row(ks_claim_machine_t *machine,
				    const ks_claim_t *row)
{
	ks_claim_state_t final = machine->claim.state;

	if (is_own(machine, row)) {
		/* The holder knows better than who marked it unknown. */
		if (row->state == KS_CLAIM_CLAIMED ||
		    (row->state == KS_CLAIM_UNKNOWN && final != row->state))
			return ask(machine, KS_CLAIM_STEP_STORE);
		return finish(machine);
	}
	/* Changing the row that a late take-over expects keeps it out. */
	if (row->state == KS_CLAIM_NOT_RUN && final == KS_CLAIM_NOT_RUN &&
	    row->attempt + 1 == machine->claim.attempt)
		return ask(machine, KS_CLAIM_STEP_STORE);
	return finish(machine);
}

static ks_claim_step_t on_absent(ks_claim_machine_t *machine)
{
	/*
	 * The earlier write may still land. This one has the same precondition,
	 * so only one of the two can take effect.
	 */
	if (machine->phase == KS_CLAIM_CLAIMING)
		return ask(machine, KS_CLAIM_STEP_INSERT);
	/* A row that says not_run keeps a late claim out. */
	if (machine->claim.state == KS_CLAIM_NOT_RUN)
		return ask(machine, KS_CLAIM_STEP_STORE);
	return finish(machine);
}

/**
 * ks_claim_machine_row() - the row has been read
 * @row: NULL when there is none
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
		return on_absent(machine);
	machine->row_exists = true;
	if (machine->phase == KS_CLAIM_SETTLING)
		return settling_row(machine, row);
	return claiming_row(machine, row, etag, now);
}

/**
 * ks_claim_machine_resume() - the wait is over
 */
ks_claim_step_t ks_claim_machine_resume(ks_claim_machine_t *machine,
					ks_claim_times_t now)
{
	if (machine->phase == KS_CLAIM_SETTLING)
		return ks_claim_machine_settle(machine, now);
	if (machine->asked == KS_CLAIM_STEP_INSERT)
		return ask(machine, KS_CLAIM_STEP_INSERT);
	return ask(machine, KS_CLAIM_STEP_READ);
}

/**
 * ks_claim_machine_deadline() - the caller's deadline has passed
 *
 * Return: KS_CLAIM_STEP_FAIL, or KS_CLAIM_STEP_NONE when the request has been
 * dispatched or answered.
 */
ks_claim_step_t ks_claim_machine_deadline(ks_claim_machine_t *machine,
					  ks_claim_times_t now)
{
	if (machine->phase != KS_CLAIM_CLAIMING)
		return KS_CLAIM_STEP_NONE;
	return fail(machine, deadline_failure(machine), now);
}

/**
 * ks_claim_machine_end() - the request has ended, before or after its dispatch
 * @state: how; KS_CLAIM_NOT_RUN only if the attempt never runs
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
