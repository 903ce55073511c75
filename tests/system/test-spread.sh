#!/bin/bash
# Guards against a version that is lost or goes back when the store goes down
# right after accepting it and half of the processes are restarted, and against
# a burst of writes when the store is back. Times are printed, never checked.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

now_ms () {
	date +%s%3N
}

# peers_in_force ENTRY VERSION COUNT: at so many upstream processes.
peers_in_force () {
	test "$(http -H "authorization: Bearer $OPERATOR_TOKEN" \
		"http://${ADDRESS[$1]}/internal/status" |
		grep -o "\"peer_version\": *$2[,}]" | wc -l)" = "$3"
}

in_force_everywhere () {
	has_config_version entry1 "$1" && has_config_version entry2 "$1" &&
		peers_in_force entry1 "$1" 4
}

change_limit () {
	printf '%s\n' "base: $1" "note: limit" "upstreams:" "  change:" \
		"    - {id: service, limit: $((64 + $1))}" >"$WORK/next.yaml"
	publish "$WORK/next.yaml" || fail "the release note was refused"
}

start_cluster 3

# A load of the same requests with the platform up and away: claims that wait
# must not be written more than once when it is back.
load_writes () {
	local before
	before=$(platform_writes claim)
	CHARGES=20 TIMEOUT_MS=8000 start_load 8
	"$@"
	end_load
	WRITES=$(($(platform_writes claim) - ${before:-0}))
}

down_and_back () {
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

load_writes true
up=$WRITES
load_writes down_and_back
echo "writes of claims: $up with the platform up, $WRITES with it away"
test "$WRITES" -le $((2 * up)) || fail "a burst of writes"
test "$(get_json platform /v1/stats | json_number limited)" = 0 ||
	fail "the platform had to limit the calls"
expect_no_repeats
expect_true_refusals

# A version in force everywhere.
start=$(now_ms)
change_limit 1
wait_until "version 2 is in force everywhere" in_force_everywhere 2
echo "measured: in force everywhere after $(($(now_ms) - start)) ms"

# The store goes down once one process has the version.
change_limit 2
wait_until "entry1 has version 3" has_config_version entry1 3
control platform '{"down":true}'
kill_now up-engine1
kill_now up-service
start_upstream up-engine1 engine1 engine1 domain-1
start=$(now_ms)
start_upstream up-service service service domain-1
wait_until "entry1 serves the shop" serves_shop entry1
echo "measured: taken over by a new process after $(($(now_ms) - start)) ms"
wait_until "version 3 is in force everywhere" in_force_everywhere 3
for name in up-engine1 up-service
do
	has_log $name "version 3 from a peer" || fail "$name has no version 3"
done

# An entry knows its peers from the configuration only.
kill_now entry2
start_entry entry2 domain-2
! is_ready entry2 || fail "entry2 is ready without a configuration"
complete entry2 fitting early 2 false >"$WORK/early"
expect_answer "$WORK/early" '"not_run": *true'
control platform '{"down":false}'
wait_until "version 3 is in force everywhere" in_force_everywhere 3
has_config_version entry1 3 || fail "the version went back"
wait_until_serving

# The last new request of an upstream that leaves.
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
end_load
echo "measured: last new request $((last - start)) ms after the host left"
has_log up-engine1 "on a leaving host" || fail "engine1 does not leave"
for i in 1 2 3 4 5 6
do
	complete entry1 fitting "after $i" 2 true >/dev/null
done
test "$(get_json engine1 /stats | json_number requests)" = "$count" ||
	fail "an engine that leaves got a new request"
expect_none lookups failed unknown
expect_none completions failed unknown
stop_cluster
