#!/bin/bash
# Guards against new requests at an upstream whose host leaves, and against
# requests that fail, while some processes cannot reach the platform. The
# upstream process of engine 1 must learn from the entries that its host leaves,
# and entry 2 must learn it about engine 2 from the NotStarted messages of that
# upstream process.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# behind_relay FUNCTION NAME ARGUMENTS...: calls a start_* function so that the
# process reaches the platform through a TCP relay of its own, relay-NAME.
behind_relay () {
	local direct=$PLATFORM
	test -n "${PID[relay-$2]:-}" ||
		launch "relay-$2" "$BIN/fake-relay" --listen 127.0.0.1:0 \
			--target "$direct"
	PLATFORM=${ADDRESS[relay-$2]}
	"$@"
	PLATFORM=$direct
}

start_engine_pair () {
	local fencing=--checks-fencing
	test "$1" = "$N_ENGINES" && fencing=
	# shellcheck disable=SC2086 # an empty option must expand to nothing
	start_engine "engine$1" --seed "$1" --change-ms 300 $fencing
	if test "$1" = 1
	then
		behind_relay start_upstream up-engine1 engine1 engine1 domain-1
	else
		start_upstream "up-engine$1" "engine$1" "engine$1" "domain-$1"
	fi
}

# The function of lib.sh under another name, as start_entry replaces it below.
eval "direct_$(declare -f start_entry)"
start_entry () {
	if test "$1" = entry2
	then
		behind_relay direct_start_entry "$@"
	else
		direct_start_entry "$@"
	fi
}

# disconnect NAME: SIGUSR2 makes the relay close its connections to the platform
# and refuse new ones, until reconnect sends it again.
disconnect () {
	kill -USR2 "${PID[relay-$1]}"
	wait_until "$1 is disconnected" last_log "relay-$1" refused
}

reconnect () {
	kill -USR2 "${PID[relay-$1]}"
	wait_until "$1 is reconnected" last_log "relay-$1" accepted
}

# last_log NAME PATTERN: matches the last line of the log.
last_log () {
	tail -n 1 "$WORK/$1.log" | grep -q "$2"
}

# request_count ENGINE: prints how many requests an engine got so far.
request_count () {
	get_json "$1" /stats | json_number requests
}

knows_host_leaves () {
	has_log "$1" "on a leaving host"
}

start_cluster 3
disconnect up-engine1
disconnect entry2
COMPLETIONS=6 CHARGES=2 TIMEOUT_MS=8000 start_load 12
control platform '{"leaving":["host-engine1"]}'
wait_until "up-engine1 learns from an entry that its host leaves" \
	knows_host_leaves up-engine1
control platform '{"leaving":["host-engine1","host-engine2"]}'
wait_until "up-engine2 learns that its host leaves" \
	knows_host_leaves up-engine2
finish_load
for class in completions lookups
do
	expect_none $class failed unknown
done
expect_none completions not-run
expect_none lookups not-run
expect_no_false_refusals
count1=$(request_count engine1)
count2=$(request_count engine2)
reconnect up-engine1
reconnect entry2
for i in $(seq 10)
do
	complete "entry$((i % 2 + 1))" fitting "after $i" 3 true |
		grep -q 'data: \[DONE\]' || fail "a completion was not served"
done
test "$(request_count engine1)" = "$count1" ||
	fail "engine1 got a new request although its host leaves"
test "$(request_count engine2)" = "$count2" ||
	fail "engine2 got a new request although its host leaves"
control platform '{"leaving":[]}'
wait_until_serving
stop_cluster
