/*
 * Publishes a release note as version N. The snapshot is stored as an object
 * first. One transaction then inserts row release/N and advances release/head
 * from N-1 to N, so exactly one of several concurrent publishers succeeds. If
 * the response to the transaction is lost, the rows are read back to learn the
 * outcome.
 */
#include "ks/control.h"

#define RETRY_BASE_US (100 * KS_USEC_PER_MSEC)
#define RETRY_MAX_US (2 * KS_USEC_PER_SEC)
#define MAX_RETRIES 20

typedef void (*publish_step_t)(ks_publish_t *publish);

/**
 * struct ks_publish - a release note being published
 * @step: step to run or retry when @timer expires
 * @store_call_pending: a store operation is pending; the memory must stay valid
 *	until it calls back
 * @cancelled: ks_publish_free() was called during a store operation
 * @maybe_published: the response to a transaction was lost
 * @conflict: another note was published as the same version
 * @head_version: version in release/head; 0 if there is no such row
 * @head_etag: ETag of release/head when publishing began
 * @base: snapshot that the note builds on
 * @target: @base with the note applied
 * @published_us: time of publication, stored in the release record
 */
struct ks_publish {
	ks_loop_t *loop;
	ks_store_t *store;
	ks_rng_t *rng;
	const ks_release_t *release;
	ks_id_t publisher;
	ks_publish_func_t func;
	void *ctx;
	ks_timer_t timer;
	ks_backoff_t backoff;
	publish_step_t step;
	bool store_call_pending;
	bool cancelled;
	bool maybe_published;
	bool conflict;
	uint64_t head_version;
	char *head_etag;
	ks_snapshot_t *base;
	ks_snapshot_t *target;
	int64_t published_us;
};

static void destroy(ks_publish_t *publish)
{
	ks_timer_clear(&publish->timer);
	g_free(publish->head_etag);
	ks_snapshot_unref(publish->base);
	ks_snapshot_unref(publish->target);
	g_free(publish);
}

/* Returns false, with @publish freed, if it was cancelled during the call. */
static bool end_store_call(ks_publish_t *publish)
{
	publish->store_call_pending = false;
	if (!publish->cancelled)
		return true;
	destroy(publish);
	return false;
}

static void run_step(ks_publish_t *publish, publish_step_t step)
{
	publish->step = step;
	publish->store_call_pending = true;
	step(publish);
}

static void on_timer(void *ctx)
{
	ks_publish_t *publish = ctx;

	run_step(publish, publish->step);
}

static void finish(ks_publish_t *publish, ks_error_kind_t kind,
		   const char *message, const char *difference)
{
	const ks_snapshot_t *target = publish->target;
	ks_publish_result_t result = {
		.kind = kind,
		.version = publish->head_version,
		.message = message,
		.difference = difference,
	};

	if (kind == KS_ERROR_NONE && target)
		result.version = target->version;
	publish->func(publish->ctx, &result);
}

/* Reports the outcome as far as it is known after MAX_RETRIES retries. */
static void finish_after_retries(ks_publish_t *publish)
{
	if (publish->conflict)
		finish(publish, KS_ERROR_CONFLICT,
		       "another release note was published as this version",
		       "");
	else if (publish->maybe_published)
		finish(publish, KS_ERROR_OUTCOME_UNKNOWN,
		       "cannot determine from the store whether the release "
		       "note was published",
		       "");
	else
		finish(publish, KS_ERROR_STORE_UNAVAILABLE,
		       "cannot reach the platform's store; nothing was "
		       "published",
		       "");
}

static void retry(ks_publish_t *publish, publish_step_t step)
{
	if (publish->backoff.failures >= MAX_RETRIES) {
		finish_after_retries(publish);
		return;
	}
	publish->step = step;
	ks_timer_set(&publish->timer,
		     ks_backoff_next(&publish->backoff, publish->rng));
}

static void on_winning_snapshot(void *ctx, ks_store_outcome_t outcome,
				const ks_release_record_t *record G_GNUC_UNUSED,
				ks_snapshot_t *snapshot);

static void step_fetch_winning_snapshot(ks_publish_t *publish)
{
	ks_release_fetch(publish->store, publish->head_version,
			 on_winning_snapshot, publish);
}

static void report_conflict(ks_publish_t *publish, const ks_snapshot_t *winner)
{
	char *difference = ks_snapshot_diff(publish->base, winner);
	char *message = g_strdup_printf(
		"the note builds on version %" G_GUINT64_FORMAT
		", but version %" G_GUINT64_FORMAT " is published",
		publish->base->version, winner->version);

	finish(publish, KS_ERROR_CONFLICT, message, difference);
	g_free(message);
	g_free(difference);
}

static void on_winning_snapshot(void *ctx, ks_store_outcome_t outcome,
				const ks_release_record_t *record G_GNUC_UNUSED,
				ks_snapshot_t *snapshot)
{
	ks_publish_t *publish = ctx;

	if (!end_store_call(publish))
		return;
	if (outcome == KS_STORE_DONE && snapshot)
		report_conflict(publish, snapshot);
	else
		retry(publish, step_fetch_winning_snapshot);
}

static void step_fetch_base(ks_publish_t *publish);
static void step_transact(ks_publish_t *publish);
static void step_reread_head(ks_publish_t *publish);

/* Reads the published snapshot, to report how it differs from the base. */
static void resolve_conflict(ks_publish_t *publish)
{
	publish->conflict = true;
	run_step(publish,
		 publish->base ? step_fetch_winning_snapshot : step_fetch_base);
}

static bool is_own_record(const ks_publish_t *publish,
			  const ks_release_record_t *record)
{
	return ks_id_equal(&record->publisher, &publish->publisher) &&
	       ks_digest_equal(&record->digest, &publish->target->digest);
}

static void on_release_row(void *ctx, ks_store_outcome_t outcome,
			   const ks_row_t *row)
{
	ks_publish_t *publish = ctx;
	ks_release_record_t record;

	if (!end_store_call(publish))
		return;
	if (outcome != KS_STORE_DONE || !row->etag.len ||
	    !ks_release_record_parse(&record, row->value)) {
		retry(publish, step_reread_head);
		return;
	}
	if (is_own_record(publish, &record))
		finish(publish, KS_ERROR_NONE, "", "");
	else
		resolve_conflict(publish);
	ks_release_record_deinit(&record);
}

static void step_read_release_row(ks_publish_t *publish)
{
	char *key = ks_release_row_key(publish->target->version);

	publish->store->get(publish->store->impl, ks_str_from(key),
			    on_release_row, publish);
	g_free(key);
}

/* Returns false if the value of the row is malformed. */
static bool read_head_version(ks_publish_t *publish, const ks_row_t *row)
{
	ks_release_record_t record = { 0 };

	if (row->etag.len && !ks_release_record_parse(&record, row->value))
		return false;
	publish->head_version = record.version;
	ks_release_record_deinit(&record);
	return true;
}

/*
 * If the head is still below the target, a transaction whose response was lost
 * may yet take effect. It is sent again: release/N can be inserted only once,
 * so at most one of the copies takes effect.
 */
static void on_reread_head(void *ctx, ks_store_outcome_t outcome,
			   const ks_row_t *row)
{
	ks_publish_t *publish = ctx;

	if (!end_store_call(publish))
		return;
	if (outcome != KS_STORE_DONE || !read_head_version(publish, row))
		retry(publish, step_reread_head);
	else if (publish->head_version >= publish->target->version)
		run_step(publish, step_read_release_row);
	else
		retry(publish,
		      publish->conflict ? step_reread_head : step_transact);
}

static void step_reread_head(ks_publish_t *publish)
{
	publish->store->get(publish->store->impl, KS_STR(KS_RELEASE_HEAD_KEY),
			    on_reread_head, publish);
}

static void on_transacted(void *ctx, ks_store_outcome_t outcome,
			  const ks_row_t *rows G_GNUC_UNUSED,
			  size_t n_rows G_GNUC_UNUSED, int failed G_GNUC_UNUSED)
{
	ks_publish_t *publish = ctx;

	if (!end_store_call(publish))
		return;
	switch (outcome) {
	case KS_STORE_DONE:
		finish(publish, KS_ERROR_NONE, "", "");
		break;
	case KS_STORE_REFUSED:
		/* The conflicting row may be from an earlier copy. */
		publish->conflict |= !publish->maybe_published;
		run_step(publish, step_reread_head);
		break;
	case KS_STORE_UNKNOWN:
		publish->maybe_published = true;
		retry(publish, step_reread_head);
		break;
	case KS_STORE_UNREACHABLE:
		retry(publish, step_transact);
		break;
	}
}

static void step_transact(ks_publish_t *publish)
{
	ks_release_record_t record = {
		.version = publish->target->version,
		.digest = publish->target->digest,
		.publisher = publish->publisher,
		.published_us = publish->published_us,
		.note = (char *)ks_release_note(publish->release),
	};
	char *key = ks_release_row_key(record.version);
	char *value = ks_release_record_format(&record);
	ks_store_write_t writes[] = {
		{ .key = ks_str_from(key), .value = ks_str_from(value) },
		{ .key = KS_STR(KS_RELEASE_HEAD_KEY),
		  .etag = ks_str_from(publish->head_etag),
		  .value = ks_str_from(value) },
	};

	publish->store->transact(publish->store->impl, writes,
				 G_N_ELEMENTS(writes), on_transacted, publish);
	g_free(key);
	g_free(value);
}

static void step_put_object(ks_publish_t *publish);

static void on_object_put(void *ctx, ks_store_outcome_t outcome,
			  const ks_row_t *row G_GNUC_UNUSED)
{
	ks_publish_t *publish = ctx;

	if (!end_store_call(publish))
		return;
	if (outcome == KS_STORE_DONE)
		run_step(publish, step_transact);
	else
		retry(publish, step_put_object);
}

static void step_put_object(ks_publish_t *publish)
{
	ks_snapshot_t *target = publish->target;
	char *name = ks_release_object_name(target->version, &target->digest);

	publish->store->object_put(publish->store->impl, ks_str_from(name),
				   ks_snapshot_compressed(target),
				   on_object_put, publish);
	g_free(name);
}

static void apply_note(ks_publish_t *publish)
{
	GError *error = NULL;

	publish->target =
		ks_release_apply(publish->release, publish->base, &error);
	if (publish->target) {
		run_step(publish, step_put_object);
		return;
	}
	finish(publish, ks_error_kind(error), error->message, "");
	g_error_free(error);
}

static void on_base(void *ctx, ks_store_outcome_t outcome,
		    const ks_release_record_t *record G_GNUC_UNUSED,
		    ks_snapshot_t *snapshot)
{
	ks_publish_t *publish = ctx;

	if (!end_store_call(publish))
		return;
	if (outcome != KS_STORE_DONE || !snapshot) {
		retry(publish, step_fetch_base);
		return;
	}
	publish->base = ks_snapshot_ref(snapshot);
	if (publish->conflict)
		run_step(publish, step_fetch_winning_snapshot);
	else
		apply_note(publish);
}

static void step_fetch_base(ks_publish_t *publish)
{
	ks_release_fetch(publish->store, ks_release_base(publish->release),
			 on_base, publish);
}

static void step_read_head(ks_publish_t *publish);

static void on_head(void *ctx, ks_store_outcome_t outcome, const ks_row_t *row)
{
	ks_publish_t *publish = ctx;
	uint64_t base = ks_release_base(publish->release);

	if (!end_store_call(publish))
		return;
	if (outcome != KS_STORE_DONE || !read_head_version(publish, row)) {
		retry(publish, step_read_head);
		return;
	}
	publish->head_etag = ks_str_dup(row->etag);
	if (publish->head_version > base)
		resolve_conflict(publish);
	else if (publish->head_version < base)
		finish(publish, KS_ERROR_BAD_REQUEST,
		       "the note builds on a version that is not published",
		       "");
	else
		run_step(publish, step_fetch_base);
}

static void step_read_head(ks_publish_t *publish)
{
	publish->store->get(publish->store->impl, KS_STR(KS_RELEASE_HEAD_KEY),
			    on_head, publish);
}

/**
 * ks_publish_new() - start to publish a release note
 * @release: note with its base set; must outlive the returned object
 * @publisher: unique id, generated for this call, by which the outcome of a
 *	transaction is recognized
 * @func: called once with the result, unless ks_publish_free() is called first;
 *	may call ks_publish_free()
 *
 * Return: to be freed with ks_publish_free().
 */
ks_publish_t *ks_publish_new(ks_loop_t *loop, ks_store_t *store, ks_rng_t *rng,
			     const ks_release_t *release,
			     const ks_id_t *publisher, ks_publish_func_t func,
			     void *ctx)
{
	ks_publish_t *publish = g_new0(ks_publish_t, 1);

	publish->loop = loop;
	publish->store = store;
	publish->rng = rng;
	publish->release = release;
	publish->publisher = *publisher;
	publish->func = func;
	publish->ctx = ctx;
	publish->published_us = ks_clock_now(ks_clock_wall());
	ks_timer_init(&publish->timer, loop, on_timer, publish);
	ks_backoff_init(&publish->backoff, RETRY_BASE_US, RETRY_MAX_US);
	publish->step = step_read_head;
	ks_timer_set(&publish->timer, 0);
	return publish;
}

/**
 * ks_publish_free() - stop publishing
 *
 * A transaction that has been sent may still take effect.
 */
void ks_publish_free(ks_publish_t *publish)
{
	if (!publish)
		return;
	if (!publish->store_call_pending) {
		destroy(publish);
		return;
	}
	publish->cancelled = true;
	ks_timer_clear(&publish->timer);
}
