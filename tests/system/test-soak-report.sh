#!/bin/bash
# Guards against a replica of the soak whose report and row differ on which
# process it is, or that reports for another replica.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh

# start_replica: starts it again under its id and address if it ran before
start_replica () {
	launch replica "$BIN/soak-replica" \
		--listen "${ADDRESS[replica]:-127.0.0.1:0}" \
		--store "${ADDRESS[site]}" --service llm --stage decode \
		--record "$WORK/runs" --work-ms 1 --slots 1 --seed 1 --id i-1
}

# report [CURL-OPTION...]
report () {
	http "$@" "http://${ADDRESS[replica]}/-/report"
}

born_in_row () {
	get_json site '/-/rows-get?table=servers' |
		sed -n 's/.*"value": *"\([^"]*\)".*/\1/p' | base64 -d |
		json_number born
}

is_announced () {
	test "$(born_in_row)" = "$(report | json_number born)"
}

launch site "$BIN/soak-store"
start_replica
wait_until "the replica is announced" is_announced
first=$(born_in_row)
test -n "$first" || fail "no start in the row"
for field in stage models busy seq queued running kv-used kv-total kv-handles \
	state runs
do
	report | grep -q "\"$field\":" || fail "no $field in the report"
done
test "$(report -H 'expect-instance: i-1' -o /dev/null -w '%{http_code}')" = 200 ||
	fail "the report is refused"
test "$(report -H 'expect-instance: i-2' -o /dev/null -w '%{http_code}')" = 421 ||
	fail "a report for another replica"

kill_now replica
start_replica
is_announced || fail "listens before the store has its row"
test "$(born_in_row)" -gt "$first" || fail "the start is that of before"
