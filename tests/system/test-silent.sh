#!/bin/bash
# Guards against requests that hang, fail or run twice when the TCP connections
# between entries and an upstream process stay open but deliver no more data,
# while new connections work, as after a firewall has dropped its connection
# state. Covers idle links and links under load.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# start_relay NAME TARGET: starts the TCP relay through which the entries reach
# an upstream process.
start_relay () {
	launch "$1" "$BIN/fake-relay" --listen 127.0.0.1:0 --target "$2"
}

N_ENGINES=2
ENGINE_OPTIONS=
start_platform platform
start_engine_pair 1
start_engine_pair 2
start_service service
start_upstream up-service service service domain-1
start_relay relay-engine1 "${ADDRESS[up-engine1]}"
start_relay relay-service "${ADDRESS[up-service]}"
# The release note has the addresses of the relays as those of the processes.
direct_address=${ADDRESS[up-engine1]}
ADDRESS[up-engine1]=${ADDRESS[relay-engine1]}
ADDRESS[up-service]=${ADDRESS[relay-service]}
start_entry entry1 domain-1
start_entry entry2 domain-2
write_first_release >"$WORK/release1.yaml"
publish "$WORK/release1.yaml" || fail "the release note was rejected"
wait_for_release 1
for entry in entry1 entry2
do
	wait_until "$entry serves the model" serves_model $entry
	wait_until "$entry serves the shop" serves_shop $entry
done
ADDRESS[up-engine1]=$direct_address

# silence RELAY: SIGUSR1 makes the relay drop all data of its connections.
silence () {
	local before
	before=$(count_silenced "$1")
	kill -USR1 "${PID[$1]}"
	wait_until "$1 drops data" was_silenced_again "$1" "$before"
}

count_silenced () {
	grep -c 'connections are silent' "$WORK/$1.log"
}

was_silenced_again () {
	test "$(count_silenced "$1")" -gt "$2"
}

# Idle links: the next request is sent on the silent connection, is lost there
# and must be retried.
silence relay-service
serves_shop entry1 || fail "a lookup failed after an idle link went silent"

# Under load, twice.
start_load 12
sleep 1
silence relay-engine1
silence relay-service
sleep 5
silence relay-engine1
finish_load
for class in completions lookups charges
do
	expect_none $class failed unknown
done
stop_cluster
