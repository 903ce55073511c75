/* What the targets of both link sides share. */
#ifndef FUZZ_LINK_H
#define FUZZ_LINK_H

#include "fuzz.h"
#include "link_frame.h"

#define FUZZ_HEARTBEAT_US KS_USEC_PER_SEC
#define FUZZ_SILENCE_US (3 * KS_USEC_PER_SEC)
/* Stands in a corpus for the incarnation that the other side has drawn. */
#define FUZZ_INCARNATION_BYTE 0x11

/**
 * fuzz_loop() - the one loop of the program, on the paused clock @clock
 */
static inline ks_loop_t *fuzz_loop(ks_test_clock_t **clock)
{
	static ks_test_clock_t paused;
	static ks_loop_t loop;

	if (!loop.h2o) {
		ks_test_clock_init(&paused, KS_USEC_PER_SEC);
		ks_loop_init(&loop, &paused.clock);
	}
	*clock = &paused;
	return &loop;
}

/**
 * fuzz_advance() - let time pass and run the timers that are due
 */
static inline void fuzz_advance(ks_loop_t *loop, ks_test_clock_t *clock,
				int64_t delta_us)
{
	ks_test_clock_advance(clock, delta_us);
	ks_loop_run_once(loop, 0);
}

static inline bool fuzz_reopen(void *impl G_GNUC_UNUSED)
{
	return true;
}

static inline void fuzz_close(void *impl G_GNUC_UNUSED)
{
}

#endif
