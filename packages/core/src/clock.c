/* Clocks of the system, and one that tests advance by hand. */
#include "ks/core.h"

#include <time.h>

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * KS_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static int64_t monotonic_now(void *ctx G_GNUC_UNUSED)
{
	return read_clock(CLOCK_MONOTONIC);
}

static int64_t boottime_now(void *ctx G_GNUC_UNUSED)
{
	return read_clock(CLOCK_BOOTTIME);
}

static int64_t wall_now(void *ctx G_GNUC_UNUSED)
{
	return read_clock(CLOCK_REALTIME);
}

static int64_t test_now(void *ctx)
{
	return ((const ks_test_clock_t *)ctx)->time_us;
}

/**
 * ks_clock_now() - the current time of a clock
 *
 * Return: microseconds.
 */
int64_t ks_clock_now(const ks_clock_t *clock)
{
	return clock->now_us(clock->ctx);
}

/**
 * ks_clock_monotonic() - clock for timers and latencies
 */
const ks_clock_t *ks_clock_monotonic(void)
{
	static const ks_clock_t clock = { monotonic_now, NULL };

	return &clock;
}

/**
 * ks_clock_boottime() - monotonic clock for leases
 *
 * It also counts the time in which the machine was suspended.
 */
const ks_clock_t *ks_clock_boottime(void)
{
	static const ks_clock_t clock = { boottime_now, NULL };

	return &clock;
}

/**
 * ks_clock_wall() - clock that counts from the Unix epoch
 */
const ks_clock_t *ks_clock_wall(void)
{
	static const ks_clock_t clock = { wall_now, NULL };

	return &clock;
}

/**
 * ks_test_clock_init() - set up a clock that only moves when advanced
 * @test: must not be moved in memory while its clock is in use
 * @start_us: its first time
 */
void ks_test_clock_init(ks_test_clock_t *test, int64_t start_us)
{
	test->clock.now_us = test_now;
	test->clock.ctx = test;
	test->time_us = start_us;
}

/**
 * ks_test_clock_advance() - move a test clock forward
 */
void ks_test_clock_advance(ks_test_clock_t *test, int64_t delta_us)
{
	test->time_us += delta_us;
}
