/* Clock, loop and transport functions of the two link fuzz targets. */
#ifndef FUZZ_LINK_H
#define FUZZ_LINK_H

#include "fuzz.h"
#include "link_frame.h"

#define FUZZ_HEARTBEAT_US KS_USEC_PER_SEC
#define FUZZ_SILENCE_US (3 * KS_USEC_PER_SEC)
/* An incarnation of only this byte in a request of the corpus is a placeholder
 * for the incarnation that the server has generated. */
#define FUZZ_INCARNATION_BYTE 0x11

/**
 * fuzz_loop() - get the event loop shared by all inputs
 * @clock: set to the loop's clock, which only fuzz_advance() moves
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
 * fuzz_advance() - advance the clock and run the timers that are due
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
