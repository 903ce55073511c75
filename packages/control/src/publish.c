/*
 * Publishing of a release note. The snapshot's object is put first; then one
 * transaction inserts release/N and moves release/head from N-1 to N, so of two
 * operators exactly one wins. When the answer to the transaction is lost, the
 * rows are read back: the outcome is never guessed.
 */
#include "ks/control.h"

#define RETRY_BASE_US (100 * KS_USEC_PER_MSEC)
#define RETRY_MAX_US (2 * KS_USEC_PER_SEC)
#define MAX_RETRIES 20

typedef void (*step_func_t)(ks_publish_t *publish);

/**
 * struct ks_publish - one note on its way into the store
 * @busy: a store operation is out; the memory must stay until it calls back
 * @maybe_published: the answer to a transaction was lost
 * @lost: another operator's note holds the version
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
	step_func_t step;
	bool busy;
	bool closed;
	bool maybe_published;
	bool lost;
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

/* Return: false if the publishing was given up while the operation was out. */
static bool resume(ks_publish_t *publish)
{
	publish->busy = false;
	if (!publish->closed)
		return true;
	destroy(publish);
	return false;
}

static void run_step(ks_publish_t *publish, step_func_t step)
{
	publish->step = step;
	publish->busy = true;
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

static void give_up(ks_publish_t *publish)
{
	if (publish->lost)
		finish(publish, KS_ERROR_CONFLICT,
		       "another release note took the version", "");
	else if (publish->maybe_published)
		finish(publish, KS_ERROR_OUTCOME_UNKNOWN,
		       "the store does not tell whether the release note was "
		       "published",
		       "");
	else
		finish(publish, KS_ERROR_STORE_UNAVAILABLE,
		       "the platform's store cannot be reached; nothing was "
		       "published",
		       "");
}

static void retry(ks_publish_t *publish, step_func_t step)
{
	if (publish->backoff.failures >= MAX_RETRIES) {
		give_up(publish);
		return;
	}
	publish->step = step;
	ks_timer_set(&publish->timer,
		     ks_backoff_next(&publish->backoff, publish->rng));
}

static void on_winner(void *ctx, ks_store_outcome_t outcome,
		      const ks_release_record_t *record G_GNUC_UNUSED,
		      ks_snapshot_t *snapshot);

static void step_fetch_winner(ks_publish_t *publish)
{
	ks_release_fetch(publish->store, publish->head_version, on_winner,
			 publish);
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

static void on_winner(void *ctx, ks_store_outcome_t outcome,
		      const ks_release_record_t *record G_GNUC_UNUSED,
		      ks_snapshot_t *snapshot)
{
	ks_publish_t *publish = ctx;

	if (!resume(publish))
		return;
	if (outcome == KS_STORE_DONE && snapshot)
		report_conflict(publish, snapshot);
	else
		retry(publish, step_fetch_winner);
}

static void step_fetch_base(ks_publish_t *publish);
static void step_transact(ks_publish_t *publish);
static void step_resolve(ks_publish_t *publish);

static void begin_conflict(ks_publish_t *publish)
{
	publish->lost = true;
	run_step(publish, publish->base ? step_fetch_winner : step_fetch_base);
}

static bool is_own(const ks_publish_t *publish,
		   const ks_release_record_t *record)
{
	return ks_id_equal(&record->publisher, &publish->publisher) &&
	       ks_digest_equal(&record->digest, &publish->target->digest);
}

static void on_resolved_row(void *ctx, ks_store_outcome_t outcome,
			    const ks_row_t *row)
{
	ks_publish_t *publish = ctx;
	ks_release_record_t record;

	if (!resume(publish))
		return;
	if (outcome != KS_STORE_DONE || !row->etag.len ||
	    !ks_release_record_parse(&record, row->value)) {
		retry(publish, step_resolve);
		return;
	}
	if (is_own(publish, &record))
		finish(publish, KS_ERROR_NONE, "", "");
	else
		begin_conflict(publish);
	ks_release_record_deinit(&record);
}

static void step_read_row(ks_publish_t *publish)
{
	char *key = ks_release_row_key(publish->target->version);

	publish->store->get(publish->store->impl, ks_str_from(key),
			    on_resolved_row, publish);
	g_free(key);
}

/* Return: false if the value of the row is damaged. */
static bool take_head(ks_publish_t *publish, const ks_row_t *row)
{
	ks_release_record_t record = { 0 };

	if (row->etag.len && !ks_release_record_parse(&record, row->value))
		return false;
	publish->head_version = record.version;
	ks_release_record_deinit(&record);
	return true;
}

/*
 * While the head is still below the target, the lost transaction may take
 * effect later. It is sent again: release/N can be inserted only once, so at
 * most one of the copies takes effect.
 */
static void on_resolved_head(void *ctx, ks_store_outcome_t outcome,
			     const ks_row_t *row)
{
	ks_publish_t *publish = ctx;

	if (!resume(publish))
		return;
	if (outcome != KS_STORE_DONE || !take_head(publish, row))
		retry(publish, step_resolve);
	else if (publish->head_version >= publish->target->version)
		run_step(publish, step_read_row);
	else
		retry(publish, publish->lost ? step_resolve : step_transact);
}

static void step_resolve(ks_publish_t *publish)
{
	publish->store->get(publish->store->impl, KS_STR(KS_RELEASE_HEAD_KEY),
			    on_resolved_head, publish);
}

static void on_transacted(void *ctx, ks_store_outcome_t outcome,
			  const ks_row_t *rows G_GNUC_UNUSED,
			  size_t n_rows G_GNUC_UNUSED, int failed G_GNUC_UNUSED)
{
	ks_publish_t *publish = ctx;

	if (!resume(publish))
		return;
	switch (outcome) {
	case KS_STORE_DONE:
		finish(publish, KS_ERROR_NONE, "", "");
		break;
	case KS_STORE_REFUSED:
		/* An earlier copy may be what this one collided with. */
		publish->lost |= !publish->maybe_published;
		run_step(publish, step_resolve);
		break;
	case KS_STORE_UNKNOWN:
		publish->maybe_published = true;
		retry(publish, step_resolve);
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

	if (!resume(publish))
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

	if (!resume(publish))
		return;
	if (outcome != KS_STORE_DONE || !snapshot) {
		retry(publish, step_fetch_base);
		return;
	}
	publish->base = ks_snapshot_ref(snapshot);
	if (publish->lost)
		run_step(publish, step_fetch_winner);
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

	if (!resume(publish))
		return;
	if (outcome != KS_STORE_DONE || !take_head(publish, row)) {
		retry(publish, step_read_head);
		return;
	}
	publish->head_etag = ks_str_dup(row->etag);
	if (publish->head_version > base)
		begin_conflict(publish);
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
 * ks_publish_new() - begin to publish a note
 * @release: with its base set; must outlive the publishing
 * @publisher: drawn for this publishing alone
 * @func: called once, unless ks_publish_free() comes first; may free
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
 * ks_publish_free() - stop; a transaction on its way may still take effect
 */
void ks_publish_free(ks_publish_t *publish)
{
	if (!publish)
		return;
	if (!publish->busy) {
		destroy(publish);
		return;
	}
	publish->closed = true;
	ks_timer_clear(&publish->timer);
}
