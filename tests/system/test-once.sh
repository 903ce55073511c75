#!/bin/bash
# Guards against a charge that runs twice: its key is used at two entries at
# once, its answer is lost by the service, and the processes on its way die
# before and after they have handed it on.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 1
settled='"code": *"(outcome_unknown|in_progress)"|"executions": *1'

# One key at two entries at once.
for i in 1 2 3 4 5
do
	charge entry1 twin-$i $i >"$WORK/twin-a-$i" &
	pids=$!
	charge entry2 twin-$i $i >"$WORK/twin-b-$i" &
	wait $pids $!
	for side in a b
	do
		expect_answer "$WORK/twin-$side-$i" '"executions": *1'
	done
done

# The service runs the charge and its answer is lost.
control service '{"lose_answers":1}'
charge entry1 lost 1 >"$WORK/lost-1"
charge entry2 lost 1 >"$WORK/lost-2"
expect_answer "$WORK/lost-1" '"not_run": *false'
expect_answer "$WORK/lost-2" "$settled"
test "$(executions lost)" = 1 || fail "the lost charge did not run once"

# The entry dies between claim and dispatch: the write of the claim takes
# effect, and its answer comes too late for the entry.
control platform '{"delay_ms":3000}'
before=$(platform_writes claim)
charge entry1 claimed 1 -H 'x-request-timeout-ms: 4000' \
	>/dev/null 2>&1 &
wait_until "the claim is in the table" \
	writes_exceed claim "$before"
kill_now entry1
control platform '{"delay_ms":0}'
charge entry2 claimed 1 -H 'x-request-timeout-ms: 4000' >"$WORK/claimed"
expect_answer "$WORK/claimed" '"code": *"(outcome_unknown|in_progress)"'
test "$(executions claimed)" = 0 || fail "a charge ran for a dead entry"
start_entry entry1 domain-1
wait_until "entry1 serves the shop" serves_shop entry1

# The entry dies between dispatch and answer.
control service '{"lose_answers":0}'
kill -STOP "${PID[service]}"
before=$(platform_writes claim)
charge entry1 sent 1 >/dev/null 2>&1 &
wait_until "the claim is in the table" writes_exceed claim "$before"
sleep 0.5
kill_now entry1
kill -CONT "${PID[service]}"
wait_until "the charge has run" has_executed sent
charge entry2 sent 1 -H 'x-request-timeout-ms: 2000' >"$WORK/sent"
expect_answer "$WORK/sent" "$settled"
start_entry entry1 domain-1
wait_until "entry1 serves the shop" serves_shop entry1

# The upstream process dies before it reads the request from its link.
kill -STOP "${PID[up-service]}"
charge entry1 unread 1 -H 'x-request-timeout-ms: 3000' \
	>"$WORK/unread" 2>&1 &
asked=$!
sleep 0.5
kill_now up-service
start_upstream up-service service service domain-1
wait $asked
expect_answer "$WORK/unread" '"not_run"|"executions": *1'
wait_until "entry2 serves the shop" serves_shop entry2
if grep -q '"not_run": *true' "$WORK/unread"
then
	test "$(executions unread)" = 0 || fail "a charge called not run ran"
fi
charge entry2 unread 1 -H 'x-request-timeout-ms: 2000' >"$WORK/unread-2"
expect_answer "$WORK/unread-2" "$settled|\"not_run\": *true"

# The upstream process dies after it has handed the request on.
control service '{"silent":false}'
kill -STOP "${PID[service]}"
charge entry1 handed 1 -H 'x-request-timeout-ms: 3000' \
	>"$WORK/handed" 2>&1 &
asked=$!
sleep 0.5
kill_now up-service
kill -CONT "${PID[service]}"
wait_until "the charge has run" has_executed handed
start_upstream up-service service service domain-1
wait $asked
expect_answer "$WORK/handed" '"not_run": *false'
wait_until "entry2 serves the shop" serves_shop entry2
charge entry2 handed 1 -H 'x-request-timeout-ms: 2000' >"$WORK/handed-2"
expect_answer "$WORK/handed-2" "$settled"
expect_no_repeats
stop_cluster
