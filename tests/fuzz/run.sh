#!/bin/bash
# Runs each fuzz target in build/fuzz with libFuzzer.
# usage: run.sh SECONDS_EACH
#
# New inputs are kept in build/fuzz/corpus, logs and inputs that cause failures
# in build/fuzz. Exits with 1 if any target fails.
set -u
cd "$(dirname "$0")/../.."

seconds=${1:?number of seconds to run each target}
export LSAN_OPTIONS=suppressions=$PWD/tests/lsan.supp:print_suppressions=0
export UBSAN_OPTIONS=print_stacktrace=1
failed=0
for source in tests/fuzz/fuzz-*.c
do
	target=$(basename "$source" .c)
	corpus=build/fuzz/corpus/${target#fuzz-}
	mkdir -p "$corpus"
	if "build/fuzz/tests/fuzz/$target" -max_total_time="$seconds" \
		-max_len=65536 -print_final_stats=1 \
		-artifact_prefix="build/fuzz/$target-" "$corpus" \
		"tests/fuzz/corpus/${target#fuzz-}" \
		>"build/fuzz/$target.log" 2>&1
	then
		echo "ok      $target:" \
			"$(sed -n 's/stat::number_of_executed_units: *//p' \
			"build/fuzz/$target.log") runs"
	else
		echo "FAILED  $target, see build/fuzz/$target.log"
		failed=1
	fi
done
exit $failed
