/*
 * Load generator: sends a mix of requests at fixed mean rates and verifies
 * every response. Exits with status 1 if any response was wrong, 2 on a usage
 * error.
 */
#include "load.h"

#include <signal.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	load_stats_t stats[LOAD_N_CLASSES];
	load_options_t options;
	ks_loop_t loop;
	int status;

	if (!load_options_parse(&options, argc, argv, &status))
		return status;
	signal(SIGPIPE, SIG_IGN);
	load_stats_init(stats);
	ks_loop_init(&loop, ks_clock_monotonic());
	load_run(&loop, &options, stats);
	load_report(&options, stats);
	status = load_any_wrong(stats) ? EXIT_FAILURE : EXIT_SUCCESS;
	ks_loop_deinit(&loop);
	load_stats_deinit(stats);
	load_options_deinit(&options);
	return status;
}
