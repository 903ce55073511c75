#!/bin/bash
# Guards against a configuration version that is lost or reverted when the store
# goes down right after it accepted the version and half of the processes are
# restarted, and against a burst of writes when the store is back. Times are
# printed but not checked.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

now_ms () {
	date +%s%3N
}

# peers_have_version ENTRY VERSION COUNT: according to the status of the entry,
# COUNT upstream processes have the version.
peers_have_version () {
	test "$(http -H "authorization: Bearer $OPERATOR_TOKEN" \
		"http://${ADDRESS[$1]}/internal/status" |
		grep -o "\"peer_version\": *$2[,}]" | wc -l)" = "$3"
}

is_version_everywhere () {
	has_config_version entry1 "$1" && has_config_version entry2 "$1" &&
		peers_have_version entry1 "$1" 4
}

change_limit () {
	printf '%s\n' "base: $1" "note: limit" "upstreams:" "  change:" \
		"    - {id: service, limit: $((64 + $1))}" >"$WORK/next.yaml"
	publish "$WORK/next.yaml" || fail "the release note was rejected"
}

start_cluster 3

# The same load runs with the platform up and with an outage of 4 s. Claims that
# wait for the store must not be written repeatedly when it is back.
count_load_writes () {
	local before
	before=$(platform_writes claim)
	CHARGES=20 TIMEOUT_MS=8000 start_load 8
	"$@"
	finish_load
	CLAIM_WRITES=$(($(platform_writes claim) - ${before:-0}))
}

interrupt_platform () {
	local i last next
	control platform '{"down":true}'
	sleep 4
	control platform '{"down":false}'
	last=$(platform_writes claim)
	for i in 1 2 3
	do
		sleep 1
		next=$(platform_writes claim)
		echo "writes of claims in second $i: $((next - last))"
		last=$next
	done
}

count_load_writes true
undisturbed=$CLAIM_WRITES
count_load_writes interrupt_platform
echo "writes of claims: $undisturbed without an outage, $CLAIM_WRITES with one"
test "$CLAIM_WRITES" -le $((2 * undisturbed)) ||
	fail "more than twice as many writes of claims after the outage"
test "$(get_json platform /v1/stats | json_number limited)" = 0 ||
	fail "the platform rate-limited calls"
expect_no_duplicate_charges
expect_no_false_refusals

# Time until a new version is in use in every process.
start=$(now_ms)
change_limit 1
wait_until "version 2 is in force everywhere" is_version_everywhere 2
echo "measured: in force everywhere after $(($(now_ms) - start)) ms"

# The store goes down as soon as one process has the version. Restarted upstream
# processes get it from an entry.
change_limit 2
wait_until "entry1 has version 3" has_config_version entry1 3
control platform '{"down":true}'
kill_now up-engine1
kill_now up-service
start_upstream up-engine1 engine1 engine1 domain-1
start=$(now_ms)
start_upstream up-service service service domain-1
wait_until "entry1 serves the shop" serves_shop entry1
echo "measured: a new process serves after $(($(now_ms) - start)) ms"
wait_until "version 3 is in force everywhere" is_version_everywhere 3
for name in up-engine1 up-service
do
	has_log $name "version 3 from a peer" ||
		fail "$name did not get version 3 from a peer"
done

# An entry learns its peers from the configuration only, so one that starts
# while the store is down is not ready and refuses requests as not run.
kill_now entry2
start_entry entry2 domain-2
! is_ready entry2 || fail "entry2 is ready without a configuration"
complete entry2 fitting early 2 false >"$WORK/early"
expect_response "$WORK/early" '"not_run": *true'
control platform '{"down":false}'
wait_until "version 3 is in force everywhere" is_version_everywhere 3
has_config_version entry1 3 || fail "entry1 reverted to an older version"
wait_until_serving

# Time until an engine whose host leaves gets its last new request.
COMPLETIONS=30 start_load 6
sleep 1
start=$(now_ms)
last=$start
count=$(get_json engine1 /stats | json_number requests)
control platform '{"leaving":["host-engine1"]}'
while kill -0 "${PID[load]}" 2>/dev/null
do
	next=$(get_json engine1 /stats | json_number requests)
	test "$next" = "$count" || last=$(now_ms)
	count=$next
	sleep 0.05
done
finish_load
echo "measured: last new request $((last - start)) ms after the host left"
has_log up-engine1 "on a leaving host" ||
	fail "up-engine1 did not learn that its host leaves"
for i in 1 2 3 4 5 6
do
	complete entry1 fitting "after $i" 2 true >/dev/null
done
test "$(get_json engine1 /stats | json_number requests)" = "$count" ||
	fail "engine1 got a new request although its host leaves"
expect_none lookups failed unknown
expect_none completions failed unknown
stop_cluster
