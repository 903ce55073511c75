#!/bin/bash
# usage: tests/soak/run.sh [OPTION-OF-SOAK...] FIRST-SEED LAST-SEED SECONDS
#
# Runs tests/soak/soak.sh with each seed, JOBS at a time, and prints a line for
# each. The last line counts the seeds that passed and failed. Logs of failed
# ones go to build/soak/SEED.
set -u

usage () {
	sed -n 's/^# usage: /usage: /p' "$0" >&2
	exit 2
}

options=()
while [[ ${1:-} == --* ]]
do
	options+=("$1")
	shift
done
test $# = 3 || usage
for number in "$@"
do
	[[ $number =~ ^[0-9]+$ ]] || usage
done
test "$1" -le "$2" || usage
cd "$(dirname "$0")/../.."
export SOAK_KEEP=${SOAK_KEEP:-build/soak}
mkdir -p "$SOAK_KEEP"
seq "$1" "$2" | xargs -P "${JOBS:-2}" -I{} \
	sh -c 'tests/soak/soak.sh "$@" >"$SOAK_KEEP/{}.out" 2>&1
		echo $? >"$SOAK_KEEP/{}.status"; cat "$SOAK_KEEP/{}.out"' \
	soak "${options[@]}" {} "$3"
passed=0 failed=
for seed in $(seq "$1" "$2")
do
	if test "$(cat "$SOAK_KEEP/$seed.status")" = 0
	then
		passed=$((passed + 1))
	else
		failed="$failed $seed"
	fi
done
echo "seeds passed: $passed, failed:${failed:- none}"
test -z "$failed" && test "$passed" -gt 0
