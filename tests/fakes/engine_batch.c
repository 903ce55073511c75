/*
 * Continuous batching with chunked prefill. An iteration performs one decode
 * step for each running sequence whose prompt is prefilled, and prefills a
 * chunk of the other prompts. The role of the engine decides how decode and
 * prefill share an iteration. Iterations only take time; nothing is computed.
 */
#include "engine.h"

/* Each further sequence in the batch lengthens a decode step by this share. */
#define DECODE_GROWTH 0.02
/*
 * Iterations that are overdue by more than this are not made up for, so that a
 * process resumed after SIGSTOP continues at its normal speed.
 */
#define MAX_CATCH_UP_US (50 * KS_USEC_PER_MSEC)

/* Maximum number of tokens prefilled in an iteration, by role. */
#define CHUNK_TOKENS_BOTH 2048
#define CHUNK_TOKENS_PREFILL 8192
#define CHUNK_TOKENS_DECODE 512

/* Slowdown of decode steps in the role prefill. */
#define PREFILL_ROLE_DECODE_FACTOR 2.0
/* Number of consecutive prefill-only iterations before a decode step is due. */
#define PREFILL_ROLE_MAX_PREFILL_ITERATIONS 8
/* Slowdown of prefill in the role decode, where it shares decode steps. */
#define DECODE_ROLE_PREFILL_FACTOR 4.0

/* Inserts by priority, after the waiting sequences of the same priority. */
static void insert_waiting(struct engine_batch *batch,
			   struct engine_sequence *seq)
{
	ks_list_t *before = &batch->waiting;

	KS_LIST_FOREACH (it, &batch->waiting) {
		struct engine_sequence *other =
			KS_CONTAINER_OF(it, struct engine_sequence, node);

		if (other->priority > seq->priority) {
			before = it;
			break;
		}
	}
	ks_list_append(before, &seq->node);
	batch->n_waiting++;
}

static bool reserve_blocks(struct engine_sequence *seq)
{
	struct engine_cache *cache = &seq->engine->cache;
	unsigned tokens = seq->prompt_tokens + seq->max_tokens;
	unsigned needed = (tokens + BLOCK_TOKENS - 1) / BLOCK_TOKENS;

	seq->pinned = engine_cache_pin_prefix(cache, seq->hashes);
	if (engine_cache_reserve(cache, needed - seq->pinned)) {
		seq->private_blocks = needed - seq->pinned;
		return true;
	}
	while (seq->pinned > 0)
		engine_cache_unpin(cache, g_array_index(seq->hashes, uint64_t,
							--seq->pinned));
	return false;
}

static void admit_waiting(struct fake_engine *engine)
{
	struct engine_batch *batch = &engine->batch;

	while (batch->n_running < engine->options.max_batch &&
	       !ks_list_is_empty(&batch->waiting)) {
		struct engine_sequence *seq = KS_CONTAINER_OF(
			batch->waiting.next, struct engine_sequence, node);

		if (!reserve_blocks(seq))
			return;
		ks_list_remove(&seq->node);
		ks_list_append(&batch->running, &seq->node);
		batch->n_waiting--;
		batch->n_running++;
		seq->running = true;
		/* Computing the first output token needs the last prompt token,
		 * so at least one token is prefilled. */
		seq->cached_tokens =
			MIN(seq->pinned * BLOCK_TOKENS, seq->prompt_tokens - 1);
		seq->prefill_tokens_left = seq->prompt_tokens +
					   seq->resume_from -
					   seq->cached_tokens;
		engine->stats.max_running =
			MAX(engine->stats.max_running, batch->n_running);
	}
}

static unsigned assign_chunks(struct engine_batch *batch, unsigned budget)
{
	unsigned n_prefill = 0;

	KS_LIST_FOREACH (it, &batch->running) {
		struct engine_sequence *seq =
			KS_CONTAINER_OF(it, struct engine_sequence, node);

		seq->chunk = MIN(seq->prefill_tokens_left, budget - n_prefill);
		n_prefill += seq->chunk;
	}
	return n_prefill;
}

static double decode_step_us(const struct fake_engine *engine, double factor)
{
	unsigned n_decode = 0;

	KS_LIST_FOREACH (it, &engine->batch.running)
		if (!KS_CONTAINER_OF(it, struct engine_sequence, node)
			     ->prefill_tokens_left)
			n_decode++;
	if (n_decode == 0)
		return 0;
	return factor * engine->options.decode_us *
	       (1 + DECODE_GROWTH * (n_decode - 1));
}

/* Prefill and decode run one after the other in each iteration. */
static double plan_both(struct fake_engine *engine)
{
	unsigned n_prefill = assign_chunks(&engine->batch, CHUNK_TOKENS_BOTH);

	return n_prefill * engine->options.prefill_us +
	       decode_step_us(engine, 1);
}

/* Prefill takes precedence; a decode step runs only when it is overdue. */
static double plan_prefill(struct fake_engine *engine)
{
	struct engine_batch *batch = &engine->batch;
	double step = decode_step_us(engine, PREFILL_ROLE_DECODE_FACTOR);
	unsigned n_prefill = assign_chunks(batch, CHUNK_TOKENS_PREFILL);

	if (n_prefill > 0 &&
	    (step <= 0 ||
	     batch->prefill_iterations < PREFILL_ROLE_MAX_PREFILL_ITERATIONS)) {
		batch->prefill_iterations++;
		batch->has_decode_step = false;
		return n_prefill * engine->options.prefill_us;
	}
	batch->prefill_iterations = 0;
	assign_chunks(batch, 0);
	return step;
}

/* Prefill never lengthens a decode step; it progresses slowly alongside. */
static double plan_decode(struct fake_engine *engine)
{
	double prefill_us =
		engine->options.prefill_us * DECODE_ROLE_PREFILL_FACTOR;
	double step = decode_step_us(engine, 1);
	unsigned budget = CHUNK_TOKENS_DECODE;

	if (step > 0 && step < budget * prefill_us)
		budget = (unsigned)MAX(step / prefill_us, 1);
	budget = assign_chunks(&engine->batch, budget);
	return step > 0 ? step : budget * prefill_us;
}

/* Returns the duration of the next iteration in microseconds. */
static double plan_iteration(struct fake_engine *engine)
{
	double duration;

	engine->batch.has_decode_step = true;
	if (g_str_equal(engine->orders.role, "prefill"))
		duration = plan_prefill(engine);
	else if (g_str_equal(engine->orders.role, "decode"))
		duration = plan_decode(engine);
	else
		duration = plan_both(engine);
	return MAX(duration, 1);
}

static void remove_sequence(struct engine_sequence *seq)
{
	struct engine_batch *batch = &seq->engine->batch;
	struct engine_cache *cache = &seq->engine->cache;

	ks_list_remove(&seq->node);
	if (seq->running)
		batch->n_running--;
	else
		batch->n_waiting--;
	for (unsigned i = 0; i < seq->pinned; i++)
		engine_cache_unpin(cache,
				   g_array_index(seq->hashes, uint64_t, i));
	engine_cache_release(cache, seq->private_blocks);
	engine_sequence_free(seq);
}

static void store_prompt(struct engine_sequence *seq)
{
	while (seq->pinned < seq->hashes->len && seq->private_blocks > 0) {
		engine_cache_store_reserved(
			&seq->engine->cache,
			g_array_index(seq->hashes, uint64_t, seq->pinned));
		seq->pinned++;
		seq->private_blocks--;
	}
}

static void generate_token(struct engine_sequence *seq)
{
	unsigned index = seq->resume_from + seq->n_generated;

	/* A resumed stream may have all its tokens already, if the connection
	 * was lost just before the end of the stream. */
	if (index < seq->max_tokens) {
		seq->n_generated++;
		engine_reply_token(seq, engine_token(seq->prompt_hash, index),
				   index + 1 == seq->max_tokens);
	}
	if (index + 1 < seq->max_tokens)
		return;
	engine_reply_finish(seq);
	seq->engine->stats.completed++;
	remove_sequence(seq);
}

static void step_sequence(struct engine_sequence *seq)
{
	if (seq->prefill_tokens_left == 0) {
		if (seq->engine->batch.has_decode_step)
			generate_token(seq);
		return;
	}
	seq->prefill_tokens_left -= seq->chunk;
	if (seq->prefill_tokens_left > 0)
		return;
	store_prompt(seq);
	if (!seq->prefill_only) {
		generate_token(seq);
		return;
	}
	engine_kv_publish(seq);
	seq->engine->stats.prefilled++;
	remove_sequence(seq);
}

static void cancel_disconnected(struct fake_engine *engine, ks_list_t *list)
{
	KS_LIST_FOREACH_SAFE (it, next, list) {
		struct engine_sequence *seq =
			KS_CONTAINER_OF(it, struct engine_sequence, node);

		if (!engine_reply_is_closed(seq->reply))
			continue;
		engine_reply_abort(seq);
		engine->stats.cancelled++;
		remove_sequence(seq);
	}
}

static void run_iteration(struct fake_engine *engine)
{
	KS_LIST_FOREACH_SAFE (it, next, &engine->batch.running)
		step_sequence(
			KS_CONTAINER_OF(it, struct engine_sequence, node));
}

static void start_iteration(struct fake_engine *engine)
{
	struct engine_batch *batch = &engine->batch;

	admit_waiting(engine);
	batch->due_us += (int64_t)plan_iteration(engine);
}

/*
 * Timers have a resolution of a millisecond, so an iteration starts at the time
 * at which the previous one was due, not at the time at which the timer fired.
 */
static void on_timer(void *ctx)
{
	struct fake_engine *engine = ctx;
	struct engine_batch *batch = &engine->batch;
	int64_t now = ks_loop_now(&engine->loop);

	cancel_disconnected(engine, &batch->waiting);
	cancel_disconnected(engine, &batch->running);
	batch->due_us = MAX(batch->due_us, now - MAX_CATCH_UP_US);
	while (batch->due_us <= now) {
		run_iteration(engine);
		start_iteration(engine);
		if (batch->n_running == 0)
			break;
	}
	engine_state_record(engine);
	if (batch->n_running + batch->n_waiting == 0)
		return;
	batch->due_us = MAX(batch->due_us, now);
	ks_timer_set(&batch->timer, batch->due_us - now);
}

/**
 * engine_batch_init() - initialize an empty batch
 */
void engine_batch_init(struct fake_engine *engine)
{
	struct engine_batch *batch = &engine->batch;

	ks_list_init(&batch->running);
	ks_list_init(&batch->waiting);
	ks_timer_init(&batch->timer, &engine->loop, on_timer, engine);
}

/**
 * engine_batch_add() - queue a sequence for the next iteration
 * @seq: owned by the batch from here on
 */
void engine_batch_add(struct fake_engine *engine, struct engine_sequence *seq)
{
	struct engine_batch *batch = &engine->batch;

	insert_waiting(batch, seq);
	engine_state_record(engine);
	if (ks_timer_is_set(&batch->timer) || engine->silent)
		return;
	batch->due_us = ks_loop_now(&engine->loop);
	start_iteration(engine);
	ks_timer_set(&batch->timer, batch->due_us - ks_loop_now(&engine->loop));
}

/**
 * engine_batch_pause() - suspend or resume the iterations
 */
void engine_batch_pause(struct fake_engine *engine, bool paused)
{
	struct engine_batch *batch = &engine->batch;

	if (paused)
		ks_timer_clear(&batch->timer);
	else if (batch->n_running + batch->n_waiting > 0)
		ks_timer_set(&batch->timer, 0);
}
