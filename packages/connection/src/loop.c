/*
 * The event loop of a process: h2o's event loop for sockets, and a binary heap
 * of timers on a clock that tests can replace.
 */
#include "ks/connection.h"

#include <h2o.h>
#include <unistd.h>

/* Upper bound of one wait, after which ks_loop_run() checks for a stop. */
#define MAX_WAIT_US (1 * KS_USEC_PER_SEC)
#define TIMER_NOT_SET (-1)

/**
 * ks_loop_init() - initialize a loop
 * @clock: clock of the timers; must outlive the loop
 */
void ks_loop_init(ks_loop_t *loop, const ks_clock_t *clock)
{
	loop->h2o = h2o_evloop_create();
	loop->clock = clock;
	loop->timers = g_ptr_array_new();
	loop->stopping = false;
}

/**
 * ks_loop_deinit() - free the loop
 *
 * Its timers must be cleared and its sockets closed.
 */
void ks_loop_deinit(ks_loop_t *loop)
{
	g_ptr_array_free(loop->timers, TRUE);
	/* h2o 2.2 cannot destroy a loop; it lives as long as the process. */
	loop->h2o = NULL;
}

/**
 * ks_loop_now() - the time of the loop's clock in microseconds
 */
int64_t ks_loop_now(const ks_loop_t *loop)
{
	return ks_clock_now(loop->clock);
}

static ks_timer_t *timer_at(const ks_loop_t *loop, int position)
{
	return (ks_timer_t *)g_ptr_array_index(loop->timers, position);
}

static void place_timer(ks_loop_t *loop, ks_timer_t *timer, int position)
{
	g_ptr_array_index(loop->timers, position) = timer;
	timer->position = position;
}

static void sift_up(ks_loop_t *loop, ks_timer_t *timer, int position)
{
	while (position > 0) {
		int parent = (position - 1) / 2;

		if (timer_at(loop, parent)->due_us <= timer->due_us)
			break;
		place_timer(loop, timer_at(loop, parent), position);
		position = parent;
	}
	place_timer(loop, timer, position);
}

static void sift_down(ks_loop_t *loop, ks_timer_t *timer, int position)
{
	int count = (int)loop->timers->len;

	for (;;) {
		int child = 2 * position + 1;

		if (child >= count)
			break;
		if (child + 1 < count && timer_at(loop, child + 1)->due_us <
						 timer_at(loop, child)->due_us)
			child++;
		if (timer->due_us <= timer_at(loop, child)->due_us)
			break;
		place_timer(loop, timer_at(loop, child), position);
		position = child;
	}
	place_timer(loop, timer, position);
}

/**
 * ks_timer_init() - initialize a timer without setting it
 * @func: called once with @ctx when the timer expires
 */
void ks_timer_init(ks_timer_t *timer, ks_loop_t *loop, ks_timer_func_t func,
		   void *ctx)
{
	timer->loop = loop;
	timer->func = func;
	timer->ctx = ctx;
	timer->due_us = 0;
	timer->position = TIMER_NOT_SET;
}

/**
 * ks_timer_set() - set a timer, replacing an earlier expiry time
 * @delay_us: delay from now, in microseconds
 */
void ks_timer_set(ks_timer_t *timer, int64_t delay_us)
{
	ks_timer_clear(timer);
	timer->due_us = ks_loop_now(timer->loop) + delay_us;
	g_ptr_array_add(timer->loop->timers, timer);
	sift_up(timer->loop, timer, (int)timer->loop->timers->len - 1);
}

/**
 * ks_timer_clear() - cancel a timer; does nothing if it is not set
 */
void ks_timer_clear(ks_timer_t *timer)
{
	ks_loop_t *loop = timer->loop;
	int position = timer->position;
	ks_timer_t *last;

	if (position == TIMER_NOT_SET)
		return;
	timer->position = TIMER_NOT_SET;
	last = timer_at(loop, (int)loop->timers->len - 1);
	g_ptr_array_set_size(loop->timers, (int)loop->timers->len - 1);
	if (last == timer)
		return;
	if (position > 0 &&
	    last->due_us < timer_at(loop, (position - 1) / 2)->due_us)
		sift_up(loop, last, position);
	else
		sift_down(loop, last, position);
}

/**
 * ks_timer_is_set() - whether the timer is set and has not expired
 */
bool ks_timer_is_set(const ks_timer_t *timer)
{
	return timer->position != TIMER_NOT_SET;
}

/*
 * Runs the timers that were due when it was called. With a clock that advances,
 * a timer set by a callback runs on the next iteration, even without a delay.
 */
static void run_expired_timers(ks_loop_t *loop)
{
	int64_t now = ks_loop_now(loop);

	while (loop->timers->len > 0 && timer_at(loop, 0)->due_us <= now) {
		ks_timer_t *timer = timer_at(loop, 0);

		ks_timer_clear(timer);
		timer->func(timer->ctx);
	}
}

static int64_t next_wait(const ks_loop_t *loop, int64_t max_wait_us)
{
	int64_t wait;

	if (loop->timers->len == 0)
		return max_wait_us;
	wait = timer_at(loop, 0)->due_us - ks_loop_now(loop);
	return CLAMP(wait, 0, max_wait_us);
}

/*
 * Calls the callbacks of writes that completed at once. h2o does so after it
 * has polled and freed the sockets that were closed, so that a socket which
 * code outside h2o's loop has written and closed would be used after it was
 * freed, and other callbacks would wait for an unrelated event.
 */
static void run_pending_callbacks(ks_loop_t *loop)
{
	if (loop->h2o->_pending_as_client || loop->h2o->_pending_as_server)
		h2o_timeout__do_post_callback(loop->h2o);
}

/**
 * ks_loop_run_once() - run one iteration of the loop
 * @max_wait_us: longest wait for events, in microseconds
 *
 * Callbacks of writes that timers have made are called after all timers that
 * are due.
 */
void ks_loop_run_once(ks_loop_t *loop, int64_t max_wait_us)
{
	int64_t wait;

	/* Between two iterations, connections may have been written as well. */
	run_pending_callbacks(loop);
	wait = next_wait(loop, max_wait_us);
	/* Rounded up: a wait rounded down would spin until the timer is due. */
	h2o_evloop_run(loop->h2o, (int32_t)((wait + 999) / 1000));
	run_expired_timers(loop);
	run_pending_callbacks(loop);
}

/**
 * ks_loop_run() - run the loop until ks_loop_stop()
 */
void ks_loop_run(ks_loop_t *loop)
{
	while (!loop->stopping)
		ks_loop_run_once(loop, MAX_WAIT_US);
}

/**
 * ks_loop_stop() - make ks_loop_run() return after the current iteration
 */
void ks_loop_stop(ks_loop_t *loop)
{
	loop->stopping = true;
}

static void on_readable(h2o_socket_t *sock, const char *err G_GNUC_UNUSED)
{
	ks_watch_t *watch = sock->data;

	watch->func(watch->ctx);
}

/**
 * ks_watch_init() - call a function whenever a file descriptor is readable
 * @fd: duplicated, so the caller keeps ownership
 * @func: must read until no input is left
 *
 * Return: false if the descriptor cannot be duplicated.
 */
bool ks_watch_init(ks_watch_t *watch, ks_loop_t *loop, int fd,
		   ks_watch_func_t func, void *ctx, GError **error)
{
	int copy = dup(fd);

	if (copy < 0) {
		ks_error_set(error, KS_ERROR_INTERNAL,
			     "cannot duplicate file descriptor: %s",
			     g_strerror(errno));
		return false;
	}
	watch->func = func;
	watch->ctx = ctx;
	watch->sock = h2o_evloop_socket_create(loop->h2o, copy,
					       H2O_SOCKET_FLAG_DONT_READ);
	watch->sock->data = watch;
	h2o_socket_read_start(watch->sock, on_readable);
	return true;
}

/**
 * ks_watch_deinit() - stop watching; does nothing after a failed init
 */
void ks_watch_deinit(ks_watch_t *watch)
{
	if (!watch->sock)
		return;
	h2o_socket_read_stop(watch->sock);
	h2o_socket_close(watch->sock);
	watch->sock = NULL;
}
