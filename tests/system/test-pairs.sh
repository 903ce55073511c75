#!/bin/bash
# usage: test-pairs.sh [SEED]
#
# Guards against wrong responses, charges that run twice, charges that are
# refused as not run although they ran, and conflicting orders to an engine when
# two faults overlap. Three pairs of faults are drawn from SEED (default 1).
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

SEED=${1:-1}
FAULTS=(kill_upstream stop_upstream kill_engine kill_entry stop_entry
	platform_down lose_answers silent_links release_note host_leaving)
RANDOM=$SEED
VERSION=1

# start_FAULT injects a fault and end_FAULT undoes it. kill is SIGKILL, stop is
# SIGSTOP.
start_kill_upstream () { kill_now up-service; }
end_kill_upstream () { start_upstream up-service service service domain-1; }
start_stop_upstream () { kill -STOP "${PID[up-engine2]}"; }
end_stop_upstream () { kill -CONT "${PID[up-engine2]}"; }
start_kill_engine () { kill_now engine1; }
end_kill_engine () {
	cat "$WORK/engine1.log" >>"$WORK/engine1-before.log"
	start_engine engine1 --seed 1 --change-ms 300 --checks-fencing
}
start_kill_entry () { kill_now entry2; }
end_kill_entry () { start_entry entry2 domain-2; }
start_stop_entry () { kill -STOP "${PID[entry1]}"; }
end_stop_entry () { kill -CONT "${PID[entry1]}"; }
start_platform_down () { control platform '{"down":true}'; }
end_platform_down () { control platform '{"down":false}'; }
start_lose_answers () { control platform '{"lose_answers":20}'; }
end_lose_answers () { control platform '{"lose_answers":0}'; }
# SIGUSR1 makes the relay drop all data of its current connections, which stay
# open; new connections work.
start_silent_links () { kill -USR1 "${PID[relay-engine3]}"; }
end_silent_links () { :; }
start_release_note () {
	printf '%s\n' "base: $VERSION" "note: new weights" "models:" \
		"  change:" \
		"    - {name: fitting, version: v$((VERSION + 1))}" \
		>"$WORK/next.yaml"
	publish "$WORK/next.yaml" >"$WORK/publish.log" 2>&1 || return 0
}
# If the other fault made publishing fail, publish again.
end_release_note () {
	until grep -q 'is published' "$WORK/publish.log"
	do
		wait_until "the note is published" publish_again
	done
	VERSION=$((VERSION + 1))
}
publish_again () {
	publish "$WORK/next.yaml" >"$WORK/publish.log" 2>&1
}
start_host_leaving () { control platform '{"leaving":["host-engine2"]}'; }
end_host_leaving () { control platform '{"leaving":[]}'; }

# The entries reach the upstream process of engine 3 through a TCP relay.
start_engine_pair () {
	local fencing=--checks-fencing
	test "$1" = "$N_ENGINES" && fencing=
	# shellcheck disable=SC2086 # an empty option must expand to nothing
	start_engine "engine$1" --seed "$1" --change-ms 300 $fencing
	start_upstream "up-engine$1" "engine$1" "engine$1" "domain-$1" \
		"lease_ms: 4000"
	test "$1" = 3 || return 0
	launch relay-engine3 "$BIN/fake-relay" --listen 127.0.0.1:0 \
		--target "${ADDRESS[up-engine3]}"
	ADDRESS[up-engine3]=${ADDRESS[relay-engine3]}
}

requests_in_flight () {
	local entry count sum=0
	for entry in entry1 entry2
	do
		count=$(http -H "authorization: Bearer $OPERATOR_TOKEN" \
			"http://${ADDRESS[$entry]}/internal/status" |
			json_number requests)
		sum=$((sum + ${count:-0}))
	done
	echo $sum
}

run_pair () {
	local first=$1 second=$2 in_flight
	echo "pair: $first and $second, seed $SEED"
	TIMEOUT_MS=8000 start_load 8
	sleep 1
	in_flight=$(requests_in_flight)
	start_"$first"
	start_"$second"
	# Longer than the idle timeout that replaces a link and than a lease.
	sleep 5
	end_"$first"
	end_"$second"
	echo "requests in flight when the faults began: $in_flight"
	finish_load
	expect_no_duplicate_charges
	expect_no_conflicts
	expect_no_false_refusals
	wait_until_serving
}

start_cluster 3
for _ in 1 2 3
do
	i=$((RANDOM % ${#FAULTS[@]}))
	j=$((RANDOM % (${#FAULTS[@]} - 1)))
	test $j -lt $i || j=$((j + 1))
	run_pair "${FAULTS[i]}" "${FAULTS[j]}"
done
! grep -q CONFLICT "$WORK"/*-before.log 2>/dev/null ||
	fail "engine1 got conflicting orders before it was killed"
stop_cluster
