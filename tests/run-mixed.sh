#!/bin/bash
# usage: tests/run-mixed.sh OLD NEW
#
# Runs the programs of two builds together with one stand-in platform. Guards
# against a build that cannot read the rows, objects and settings of the other
# build, or cannot communicate with its processes. OLD and NEW are directories
# of programs, such as build/plain. The fake programs are those of OLD.
#
# Processes of OLD are replaced by processes of NEW and then the other way
# round, in steps in which entries of each build use upstream processes of the
# other one.
set -u
test $# = 2 || { echo "usage: tests/run-mixed.sh OLD NEW" >&2; exit 2; }
old=$(cd "$1" && pwd) || exit 2
new=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.."
BIN=$old
. tests/system/lib.sh
. tests/system/cluster.sh
. tests/system/site.sh

# run_with BUILD NAME...: restarts those processes with BUILD that run the other
# build.
declare -A build_of
run_with () {
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

# check_load STEP: runs a load in which no request may fail or get a wrong
# response or one with unknown outcome.
check_load () {
	local class
	wait_until_serving
	start_load 6
	finish_load
	for class in completions lookups charges
	do
		expect_none $class failed unknown wrong
	done
	expect_no_duplicate_charges
	expect_no_false_refusals
	echo "step passed: $1"
}

# publish_with BUILD BASE: publishes a release with the command line of BUILD.
publish_with () {
	printf '%s\n' "base: $2" "note: limit" "upstreams:" "  change:" \
		"    - {id: service, limit: $((64 + $2))}" >"$WORK/next.yaml"
	"$1/knapweedstair" --platform "$PLATFORM" release publish \
		"$WORK/next.yaml" || fail "the release note was rejected"
	wait_for_release $(($2 + 1))
}

# expect_replay ENTRY KEY: a charge whose key was executed gets the stored
# response and is not executed again.
expect_replay () {
	charge "$1" "$2" 1 >"$WORK/replayed"
	expect_response "$WORK/replayed" '"executions": *1'
	test "$(executions "$2")" = 1 || fail "$2 ran again"
}

start_cluster 3
charge entry1 mixed-old 1 >/dev/null
check_load "all old"

run_with "$new" entry1 up-engine1 up-engine3
check_load "new entry with old and new upstream processes, and an old entry"
run_with "$new" up-service
check_load "old and new entries with a new upstream process of the service"

run_with "$new" entry2 up-engine2
publish_with "$new" 1
check_load "all new, with data that old wrote"
expect_replay entry2 mixed-old
charge entry1 mixed-new 1 >/dev/null

run_with "$old" entry2 up-engine2 up-service
publish_with "$old" 2
check_load "old entry with new and old upstream processes, and a new entry"

run_with "$old" entry1 up-engine1 up-engine3
check_load "all old, with data that new wrote"
expect_replay entry2 mixed-new
stop_cluster

# call_both_gateways STEP: sends lookups, bookings and streams through both
# gateways.
call_both_gateways () {
	local gateway i
	for gateway in gateway1 gateway2
	do
		for i in $(seq 20)
		do
			test "$(call_gateway "$gateway" "read-$1-$gateway-$i" \
				GET /read/x)" = done ||
				fail "a lookup through $gateway failed"
			test "$(call_gateway "$gateway" "book-$1-$gateway-$i" \
				POST /book/x -d value=1)" = done ||
				fail "a booking through $gateway failed"
			call_gateway "$gateway" "advise-$1-$gateway-$i" \
				POST /advise/x -d prompt >"$WORK/stream"
			check_stream "$WORK/stream" ||
				fail "a stream through $gateway is not complete"
		done
	done
	echo "step passed: gateways, $1"
}

BIN=$old
start_site_platform
start_gateway gateway1
start_gateway gateway2
call_both_gateways "old and old"
stop gateway2
BIN=$new
start_gateway gateway2
call_both_gateways "old and new"
stop gateway1
start_gateway gateway1
call_both_gateways "new and new"
stop gateway2
BIN=$old
start_gateway gateway2
call_both_gateways "new and old"
stop gateway1
stop gateway2
kill -TERM "${PID[site]}"
wait "${PID[site]}" ||
	fail "fake-site reports an at-most-once call that ran twice"
unset "PID[site]"
grep -q 'twice=0' "$WORK/site.log" || fail "fake-site did not print its counts"
echo "mixed builds passed"
