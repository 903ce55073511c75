#!/bin/bash
# Guards against work that a leaving upstream still gets, and refusals that
# callers see, when one process is cut off from the platform: the process beside
# engine 1 learns from the entries that its host leaves, and entry 2 from
# NotStarted that engine 2 does. Then the platform goes down for all.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# behind_relay FUNCTION NAME ARGUMENTS...: starts a process that reaches the
# platform through a relay of its own, relay-NAME.
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
	# shellcheck disable=SC2086 # an empty option must vanish
	start_engine "engine$1" --seed "$1" --change-ms 300 $fencing
	if test "$1" = 1
	then
		behind_relay start_upstream up-engine1 engine1 engine1 domain-1
	else
		start_upstream "up-engine$1" "engine$1" "engine$1" "domain-$1"
	fi
}

eval "plain_$(declare -f start_entry)"
start_entry () {
	if test "$1" = entry2
	then
		behind_relay plain_start_entry "$@"
	else
		plain_start_entry "$@"
	fi
}

# cut_off NAME and join NAME: from the platform.
cut_off () {
	kill -USR2 "${PID[relay-$1]}"
	wait_until "$1 is cut off" last_log "relay-$1" refused
}

# has_served ENGINE COUNT: it has got exactly so many requests.
has_served () {
	test "$(get_json "$1" /stats | json_number requests)" = "$2"
}

join () {
	kill -USR2 "${PID[relay-$1]}"
	wait_until "$1 is joined" last_log "relay-$1" accepted
}

last_log () {
	tail -n 1 "$WORK/$1.log" | grep -q "$2"
}

sees_host () {
	has_log "$1" "on a leaving host"
}

start_cluster 3
cut_off up-engine1
cut_off entry2
COMPLETIONS=6 CHARGES=2 TIMEOUT_MS=8000 start_load 12
control platform '{"leaving":["host-engine1"]}'
wait_until "up-engine1 learns from an entry" sees_host up-engine1
control platform '{"leaving":["host-engine1","host-engine2"]}'
wait_until "up-engine2 leaves" sees_host up-engine2
end_load
for class in completions lookups
do
	expect_none $class failed unknown
done
expect_none completions not-run
expect_none lookups not-run
expect_true_refusals
served1=$(get_json engine1 /stats | json_number requests)
served2=$(get_json engine2 /stats | json_number requests)
join up-engine1
join entry2
for i in $(seq 10)
do
	complete "entry$((i % 2 + 1))" fitting "after $i" 3 true |
		grep -q 'data: \[DONE\]' || fail "a completion was not served"
done
has_served engine1 "$served1" || fail "engine1 leaves and got new work"
has_served engine2 "$served2" || fail "engine2 leaves and got new work"
control platform '{"leaving":[]}'
wait_until_serving
stop_cluster
