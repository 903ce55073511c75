#!/bin/bash
# Guards against a charge that runs twice: its idempotency key is used at two
# entries at once, the service loses its response, or an entry or upstream
# process is killed before or after it has forwarded the charge. In the row
# store a claim marks a key as taken by one entry before the charge is sent.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 1
# The response to a retry: the outcome is not known, or it is that of one run.
not_repeated='"code": *"(outcome_unknown|in_progress)"|"executions": *1'

# One key at two entries at once.
for i in 1 2 3 4 5
do
	charge entry1 concurrent-$i $i >"$WORK/concurrent-a-$i" &
	pids=$!
	charge entry2 concurrent-$i $i >"$WORK/concurrent-b-$i" &
	wait $pids $!
	for side in a b
	do
		expect_response "$WORK/concurrent-$side-$i" '"executions": *1'
	done
done

# The service executes the charge and its response is lost.
control service '{"lose_answers":1}'
charge entry1 lost 1 >"$WORK/lost-1"
charge entry2 lost 1 >"$WORK/lost-2"
expect_response "$WORK/lost-1" '"not_run": *false'
expect_response "$WORK/lost-2" "$not_repeated"
test "$(executions lost)" = 1 ||
	fail "the charge with the lost response did not run once"

# The entry is killed between claim and dispatch: the claim is written, but the
# platform delays its response until after the kill.
control platform '{"delay_ms":3000}'
before=$(platform_writes claim)
charge entry1 claimed 1 -H 'x-request-timeout-ms: 4000' \
	>/dev/null 2>&1 &
wait_until "the claim is stored" writes_exceed claim "$before"
kill_now entry1
control platform '{"delay_ms":0}'
charge entry2 claimed 1 -H 'x-request-timeout-ms: 4000' >"$WORK/claimed"
expect_response "$WORK/claimed" '"code": *"(outcome_unknown|in_progress)"'
test "$(executions claimed)" = 0 ||
	fail "a charge ran although its entry was killed before dispatch"
start_entry entry1 domain-1
wait_until "entry1 serves the shop" serves_shop entry1

# The entry is killed between dispatch and response.
control service '{"lose_answers":0}'
kill -STOP "${PID[service]}"
before=$(platform_writes claim)
charge entry1 sent 1 >/dev/null 2>&1 &
wait_until "the claim is stored" writes_exceed claim "$before"
sleep 0.5
kill_now entry1
kill -CONT "${PID[service]}"
wait_until "the charge is executed" has_executed sent
charge entry2 sent 1 -H 'x-request-timeout-ms: 2000' >"$WORK/sent"
expect_response "$WORK/sent" "$not_repeated"
start_entry entry1 domain-1
wait_until "entry1 serves the shop" serves_shop entry1

# The upstream process is killed before it reads the request from its link.
kill -STOP "${PID[up-service]}"
charge entry1 unread 1 -H 'x-request-timeout-ms: 3000' \
	>"$WORK/unread" 2>&1 &
charge_pid=$!
sleep 0.5
kill_now up-service
start_upstream up-service service service domain-1
wait $charge_pid
expect_response "$WORK/unread" '"not_run"|"executions": *1'
wait_until "entry2 serves the shop" serves_shop entry2
if grep -q '"not_run": *true' "$WORK/unread"
then
	test "$(executions unread)" = 0 ||
		fail "a charge ran that was refused as not run"
fi
charge entry2 unread 1 -H 'x-request-timeout-ms: 2000' >"$WORK/unread-2"
expect_response "$WORK/unread-2" "$not_repeated|\"not_run\": *true"

# The upstream process is killed after it has forwarded the request.
control service '{"silent":false}'
kill -STOP "${PID[service]}"
charge entry1 forwarded 1 -H 'x-request-timeout-ms: 3000' \
	>"$WORK/forwarded" 2>&1 &
charge_pid=$!
sleep 0.5
kill_now up-service
kill -CONT "${PID[service]}"
wait_until "the charge is executed" has_executed forwarded
start_upstream up-service service service domain-1
wait $charge_pid
expect_response "$WORK/forwarded" '"not_run": *false'
wait_until "entry2 serves the shop" serves_shop entry2
charge entry2 forwarded 1 -H 'x-request-timeout-ms: 2000' >"$WORK/forwarded-2"
expect_response "$WORK/forwarded-2" "$not_repeated"
expect_no_duplicate_charges
stop_cluster
