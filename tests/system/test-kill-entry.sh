#!/bin/bash
# Guards against a charge that runs twice when its entry is killed and the
# caller retries with the same idempotency key at another entry.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 1

# send_charge ENTRY NUMBER
send_charge () {
	charge "$1" "order-$2" "$2" -H 'x-request-timeout-ms: 3000'
}

control service '{"silent":true}'
for i in 1 2 3 4 5
do
	send_charge entry1 $i >/dev/null 2>&1 &
done
has_claims () {
	test "$(http -H "authorization: Bearer $KS_PLATFORM_TOKEN" \
		"http://${ADDRESS[platform]}/v1/rows?prefix=claim/" |
		grep -o '"claim/' | wc -l)" -ge 5
}
wait_until "the claims are stored" has_claims
kill_now entry1
control service '{"silent":false}'
for i in 1 2 3 4 5
do
	send_charge entry2 $i >"$WORK/answer-$i"
	grep -Eq '"code": *"(outcome_unknown|in_progress)"|"executions": *1' \
		"$WORK/answer-$i" || fail "order $i: $(cat "$WORK/answer-$i")"
done
expect_no_duplicate_charges
ADDRESS[entry1]=
start_entry entry1 domain-1
wait_until "entry1 is ready" is_ready entry1
stop_cluster
