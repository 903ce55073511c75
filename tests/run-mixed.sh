#!/bin/bash
# usage: tests/run-mixed.sh OLD NEW
#
# Runs the programs of two builds side by side before one stand-in platform.
# Guards against a build that cannot read the rows, objects and settings of the
# other one, or cannot talk to its processes. OLD and NEW are folders of
# programs, such as build/plain. The stand-ins are those of OLD.
#
# Processes of OLD are replaced by processes of NEW and back, in steps in which
# entries of each build work with upstream processes of the other one.
set -u
test $# = 2 || { echo "usage: tests/run-mixed.sh OLD NEW" >&2; exit 2; }
old=$(cd "$1" && pwd) || exit 2
new=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.."
BIN=$old
. tests/system/lib.sh
. tests/system/cluster.sh
. tests/system/site.sh

# use BUILD NAME...: replaces the processes that run the other build.
declare -A build_of
use () {
	local build=$1 name index
	shift
	for name in "$@"
	do
		test "${build_of[$name]:-$old}" = "$build" && continue
		stop "$name"
		index=${name//[^0-9]/}
		BIN=$build
		case "$name" in
		up-engine*)
			start_upstream "$name" "engine$index" "engine$index" \
				"domain-$index"
			;;
		up-service)
			start_upstream "$name" service service domain-1
			;;
		entry*)
			start_entry "$name" "domain-$index"
			wait_until "$name is ready" is_ready "$name"
			;;
		esac
		BIN=$old
		build_of[$name]=$build
	done
}

# load_step NAME: a load in which no answer may be lost, wrong or unknown.
load_step () {
	local class
	wait_until_serving
	start_load 6
	end_load
	for class in completions lookups charges
	do
		expect_none $class failed unknown wrong
	done
	expect_no_repeats
	expect_true_refusals
	echo "step passed: $1"
}

# release BUILD BASE: publishes with the command line of a build.
release () {
	printf '%s\n' "base: $2" "note: limit" "upstreams:" "  change:" \
		"    - {id: service, limit: $((64 + $2))}" >"$WORK/next.yaml"
	"$1/knapweedstair" --platform "$PLATFORM" release publish \
		"$WORK/next.yaml" || fail "the release note was refused"
	wait_for_release $(($2 + 1))
}

# replayed ENTRY KEY: a charge with a key that ran before is not run again.
replayed () {
	charge "$1" "$2" 1 >"$WORK/replayed"
	expect_answer "$WORK/replayed" '"executions": *1'
	test "$(executions "$2")" = 1 || fail "$2 ran again"
}

start_cluster 3
charge entry1 mixed-old 1 >/dev/null
load_step "old"

use "$new" entry1 up-engine1 up-engine3
load_step "new entry with old and new upstream processes, and an old entry"
use "$new" up-service
load_step "old and new entries with a new process at the service"

use "$new" entry2 up-engine2
release "$new" 1
load_step "new, on what old wrote"
replayed entry2 mixed-old
charge entry1 mixed-new 1 >/dev/null

use "$old" entry2 up-engine2 up-service
release "$old" 2
load_step "old entry with new and old upstream processes, and a new entry"

use "$old" entry1 up-engine1 up-engine3
load_step "old, on what new wrote"
replayed entry2 mixed-new
stop_cluster

# ask_both STEP: calls and streams through both gateways.
ask_both () {
	local gateway i
	for gateway in gateway1 gateway2
	do
		for i in $(seq 20)
		do
			test "$(ask "$gateway" "read-$1-$gateway-$i" \
				GET /read/x)" = done ||
				fail "a lookup through $gateway is lost"
			test "$(ask "$gateway" "book-$1-$gateway-$i" \
				POST /book/x -d value=1)" = done ||
				fail "a booking through $gateway is lost"
			ask "$gateway" "advise-$1-$gateway-$i" \
				POST /advise/x -d prompt >"$WORK/stream"
			check_stream "$WORK/stream" ||
				fail "a stream through $gateway is not whole"
		done
	done
	echo "step passed: gateways, $1"
}

BIN=$old
start_site
start_gateway gateway1
start_gateway gateway2
ask_both "old and old"
stop gateway2
BIN=$new
start_gateway gateway2
ask_both "old and new"
stop gateway1
start_gateway gateway1
ask_both "new and new"
stop gateway2
BIN=$old
start_gateway gateway2
ask_both "new and old"
stop gateway1
stop gateway2
kill -TERM "${PID[site]}"
wait "${PID[site]}" || fail "a call that may run once ran twice"
unset "PID[site]"
grep -q 'twice=0' "$WORK/site.log" || fail "no count of the runs"
echo "mixed builds passed"
