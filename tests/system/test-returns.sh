#!/bin/bash
# Guards against a charge that runs twice because its claim is lost when the
# store returns from an older copy.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 1

# is_unknown ENTRY KEY: the charge is answered as possibly executed.
is_unknown () {
	charge "$1" "$2" 7 >"$WORK/again" 2>&1
	grep -q '"outcome_unknown"' "$WORK/again"
}

# Two returns in a row, each of which loses the claims since the copy.
control platform '{"copy":true}'
for round in 1 2
do
	charge entry1 "lost-$round" 7 >"$WORK/first-$round"
	test "$round" != 1 ||
		expect_response "$WORK/first-1" '"executions": *1'
	control platform '{"return":true}'
	for entry in entry1 entry2
	do
		wait_until "$entry cannot tell whether lost-1 ran" \
			is_unknown $entry lost-1
	done
done

# An entry that starts learns of the return from the store.
stop entry1
start_entry entry1 domain-1
wait_until "entry1 is ready" is_ready entry1
wait_until "entry1 cannot tell whether lost-1 ran" is_unknown entry1 lost-1
test "$(executions lost-1)" = 1 || fail "lost-1 ran $(executions lost-1) times"
test "$(executions lost-2)" = 0 || fail "lost-2 ran, its outcome was unknown"

# What needs no claim is served.
for entry in entry1 entry2
do
	wait_until "$entry serves the model" serves_model $entry
	wait_until "$entry serves the shop" serves_shop $entry
done
stop_cluster
