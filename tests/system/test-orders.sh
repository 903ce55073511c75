#!/bin/bash
# Guards against conflicting orders to an engine and orders from a process that
# does not hold the engine's lease. An order is a request of an upstream process
# to its engine, here to load another model version. The engine crashes during
# an order; then the upstream process is killed during an order; then it is
# paused for longer than its lease. Engine 1 checks fencing numbers and engine 2
# does not.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# A model change takes 1.5 s, long enough to be interrupted.
start_slow_engine () {
	local fencing=--checks-fencing
	test "$1" = 2 && fencing=
	# shellcheck disable=SC2086 # an empty option must expand to nothing
	start_engine "engine$1" --seed "$1" --change-ms 1500 $fencing
}

start_engine_pair () {
	start_slow_engine "$1"
	start_upstream "up-engine$1" "engine$1" "engine$1" "domain-$1" \
		"lease_ms: 4000"
}

VERSION=1
# Publishes the next version of the model.
change_model () {
	printf '%s\n' "base: $VERSION" "note: new weights" "models:" \
		"  change:" "    - {name: fitting, version: v$((VERSION + 1))}" \
		>"$WORK/next.yaml"
	publish "$WORK/next.yaml" || fail "the release note was rejected"
	VERSION=$((VERSION + 1))
}

count_log_lines () {
	grep -c -- "$2" "$WORK/$1.log"
}

# has_more_orders ENGINE COUNT: the engine has started more than COUNT orders.
has_more_orders () {
	test "$(count_log_lines "$1" ' begins')" -gt "$2"
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

# The engines crash during a change. Their upstream processes must read their
# state after the restart before they load a model again.
for i in 1 2
do
	control engine$i '{"crash_in_change":true}'
done
change_model
for i in 1 2
do
	wait_until "engine$i crashes" has_exited engine$i
	wait "${PID[engine$i]}" 2>/dev/null
	cat "$WORK/engine$i.log" >>"$WORK/engine$i-before.log"
	start_slow_engine $i
done
wait_for_change

# The upstream processes are killed during an order and started again.
for i in 1 2
do
	order_count[i]=$(count_log_lines engine$i ' begins')
done
change_model
for i in 1 2
do
	wait_until "engine$i executes an order" \
		has_more_orders engine$i "${order_count[i]}"
	kill_now up-engine$i
	start_upstream up-engine$i engine$i engine$i domain-$i "lease_ms: 4000"
done
wait_for_change

# The upstream processes are paused for longer than their leases of 4 s.
for i in 1 2
do
	order_count[i]=$(count_log_lines engine$i ' begins')
done
change_model
for i in 1 2
do
	wait_until "engine$i executes an order" \
		has_more_orders engine$i "${order_count[i]}"
	kill -STOP "${PID[up-engine$i]}"
done
sleep 6
# A second process for the same upstream must not start: the address is in use.
sed "s/^name: .*/name: second/" "$WORK/up-engine1.yaml" |
	sed "s/^listen: .*/listen: ${ADDRESS[up-engine1]}/" >"$WORK/second.yaml"
if timeout 10 "$BIN/knapweedstaird" --config "$WORK/second.yaml" \
	>"$WORK/second.log" 2>&1
then
	fail "a second process for engine1 exited with status 0"
else
	status=$?
	test $status != 124 || fail "a second process for engine1 keeps running"
fi
for i in 1 2
do
	kill -CONT "${PID[up-engine$i]}"
done
wait_for_change

# Two release notes with the same base are published during a change.
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
"0 3") published=v-a ;;
"3 0") published=v-b ;;
*) fail "not exactly one note was published: $(cat "$WORK"/out-?)" ;;
esac
for i in 1 2
do
	wait_until "engine$i has version $published" \
		engine_has_version $i $published
	! grep -q CONFLICT "$WORK/engine$i-before.log" ||
		fail "engine$i got conflicting orders before its crash"
done
wait_until_serving
stop_cluster
