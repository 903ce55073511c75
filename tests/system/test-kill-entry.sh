#!/bin/bash
# Guards against a charge that runs twice when its entry is killed and the
# caller asks again with the same key at another entry.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 1
date=$(date +%s)

charge () {
	http -H "idempotency-key: order-$2" -H "idempotency-key-date: $date" \
		-H 'x-request-timeout-ms: 3000' -d "{\"value\":$2}" \
		"http://${ADDRESS[$1]}/checkout/charge"
}

control service '{"silent":true}'
for i in 1 2 3 4 5
do
	charge entry1 $i >/dev/null 2>&1 &
done
executed () {
	test "$(get_json service /stats | json_number total)" -ge 6
}
has_claims () {
	test "$(get_json platform "/v1/rows?prefix=claim/" \
		-H "authorization: Bearer $KS_PLATFORM_TOKEN" |
		grep -o '"claim/' | wc -l)" -ge 5
}
get_json () {
	local name=$1 path=$2
	shift 2
	http "$@" "http://${ADDRESS[$name]}$path"
}
wait_until "the claims are in the table" has_claims
kill_now entry1
control service '{"silent":false}'
for i in 1 2 3 4 5
do
	charge entry2 $i >"$WORK/answer-$i"
	grep -Eq '"code": *"(outcome_unknown|in_progress)"|"executions": *1' \
		"$WORK/answer-$i" || fail "order $i: $(cat "$WORK/answer-$i")"
done
expect_no_repeats
ADDRESS[entry1]=
start_entry entry1 domain-1
wait_until "entry1 is ready" is_ready entry1
stop_cluster
