#!/bin/bash
# Guards against requests that hang, break or run twice when the connections
# between entries and an upstream process go silent for good while new ones
# work, both under load and when the links are idle.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# The entries reach the processes beside engine1 and the service through relays.
start_upstream_process () {
	launch "relay-$2" "$BIN/fake-relay" --listen 127.0.0.1:0 \
		--target "$1"
}

N_ENGINES=2
ENGINE_OPTIONS=
start_platform platform
start_engine_pair 1
start_engine_pair 2
start_service service
start_upstream up-service service service domain-1
start_upstream_process "${ADDRESS[up-engine1]}" engine1
start_upstream_process "${ADDRESS[up-service]}" service
direct1=${ADDRESS[up-engine1]}
ADDRESS[up-engine1]=${ADDRESS[relay-engine1]}
ADDRESS[up-service]=${ADDRESS[relay-service]}
start_entry entry1 domain-1
start_entry entry2 domain-2
write_first_release >"$WORK/release1.yaml"
publish "$WORK/release1.yaml" || fail "the release note was refused"
wait_for_release 1
for entry in entry1 entry2
do
	wait_until "$entry serves the model" serves_model $entry
	wait_until "$entry serves the shop" serves_shop $entry
done
ADDRESS[up-engine1]=$direct1

silence () {
	local before
	before=$(grep -c 'connections are silent' "$WORK/$1.log")
	kill -USR1 "${PID[$1]}"
	wait_until "$1 went silent" more_silent "$1" "$before"
}

more_silent () {
	test "$(grep -c 'connections are silent' "$WORK/$1.log")" -gt "$2"
}

# Idle links: the first request afterwards is lost on the silent connection.
silence relay-service
serves_shop entry1 || fail "no lookup after an idle link went silent"

# Under load, twice.
start_load 12
sleep 1
silence relay-engine1
silence relay-service
sleep 5
silence relay-engine1
end_load
for class in completions lookups charges
do
	expect_none $class failed unknown
done
stop_cluster
