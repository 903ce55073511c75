#!/bin/bash
# Guards against conflicting orders and orders without authority: an engine
# crashes in the middle of a load; the process beside it is killed in the middle
# of an order, and stands still for longer than its lease. Engine 1 checks
# fencing numbers and engine 2 does not.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# An order takes long enough to be interrupted.
start_slow_engine () {
	local fencing=--checks-fencing
	test "$1" = 2 && fencing=
	# shellcheck disable=SC2086 # an empty option must vanish
	start_engine "engine$1" --seed "$1" --change-ms 1500 $fencing
}

start_engine_pair () {
	start_slow_engine "$1"
	start_upstream "up-engine$1" "engine$1" "engine$1" "domain-$1" \
		"lease_ms: 4000"
}

VERSION=1
change_model () {
	printf '%s\n' "base: $VERSION" "note: new weights" "models:" \
		"  change:" "    - {name: fitting, version: v$((VERSION + 1))}" \
		>"$WORK/next.yaml"
	publish "$WORK/next.yaml" || fail "the release note was refused"
	VERSION=$((VERSION + 1))
}

count_log () {
	grep -c -- "$2" "$WORK/$1.log"
}

# order_begins ENGINE COUNT: more than COUNT orders have begun.
order_begins () {
	test "$(count_log "$1" ' begins')" -gt "$2"
}

wait_for_change () {
	local i
	for i in 1 2
	do
		wait_until "engine$i has version v$VERSION" \
			engine_has_version $i "v$VERSION"
	done
	wait_until_serving
}

start_cluster 2

# An engine crashes in a change, and is observed before it is loaded again.
for i in 1 2
do
	control engine$i '{"crash_in_change":true}'
done
change_model
for i in 1 2
do
	wait_until "engine$i crashes" is_gone engine$i
	wait "${PID[engine$i]}" 2>/dev/null
	cat "$WORK/engine$i.log" >>"$WORK/engine$i-before.log"
	start_slow_engine $i
done
wait_for_change

# The process is killed in the middle of an order and started again.
for i in 1 2
do
	begun[i]=$(count_log engine$i ' begins')
done
change_model
for i in 1 2
do
	wait_until "an order to engine$i is under way" \
		order_begins engine$i "${begun[i]}"
	kill_now up-engine$i
	start_upstream up-engine$i engine$i engine$i domain-$i "lease_ms: 4000"
done
wait_for_change

# It stands still for longer than its lease, then goes on.
for i in 1 2
do
	begun[i]=$(count_log engine$i ' begins')
done
change_model
for i in 1 2
do
	wait_until "an order to engine$i is under way" \
		order_begins engine$i "${begun[i]}"
	kill -STOP "${PID[up-engine$i]}"
done
sleep 6
# A second process for the same upstream finds the address taken.
sed "s/^name: .*/name: second/" "$WORK/up-engine1.yaml" |
	sed "s/^listen: .*/listen: ${ADDRESS[up-engine1]}/" >"$WORK/second.yaml"
if timeout 10 "$BIN/knapweedstaird" --config "$WORK/second.yaml" \
	>"$WORK/second.log" 2>&1
then
	fail "a second process for engine1 started"
else
	status=$?
	test $status != 124 || fail "a second process for engine1 runs"
fi
for i in 1 2
do
	kill -CONT "${PID[up-engine$i]}"
done
wait_for_change

# Two release notes race while the engines change.
change_model
printf '%s\n' "base: $VERSION" "note: a" "models:" "  change:" \
	"    - {name: fitting, version: v-a}" >"$WORK/a.yaml"
sed 's/v-a/v-b/; s/note: a/note: b/' "$WORK/a.yaml" >"$WORK/b.yaml"
publish "$WORK/a.yaml" >"$WORK/out-a" 2>&1 &
pid_a=$!
publish "$WORK/b.yaml" >"$WORK/out-b" 2>&1
status_b=$?
wait $pid_a
case "$? $status_b" in
"0 3") winner=v-a ;;
"3 0") winner=v-b ;;
*) fail "not exactly one note won: $(cat "$WORK"/out-?)" ;;
esac
for i in 1 2
do
	wait_until "engine$i has version $winner" engine_has_version $i $winner
	! grep -q CONFLICT "$WORK/engine$i-before.log" ||
		fail "engine$i got conflicting orders before its crash"
done
wait_until_serving
stop_cluster
