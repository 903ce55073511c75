#!/bin/bash
# Guards against work that stops with the platform, and against untrue or
# repeated charges when its answers are lost.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 2

charge_runs () {
	http -H "idempotency-key: again-$RANDOM" \
		-H "idempotency-key-date: $(date +%s)" -d '{"value":8}' \
		"http://${ADDRESS[entry1]}/checkout/charge" |
		grep -q '"executions": *1'
}

# Answers lost after the write took effect: each charge still runs once.
control platform '{"lose_answers":20,"lose_matching":"claim/"}'
COMPLETIONS=5 start_load 4
end_load
expect_no_repeats

# Down: completions and lookups go on, a charge is refused as not run.
control platform '{"lose_answers":0,"down":true}'
complete entry1 fitting while-down 5 true | grep -q 'data: \[DONE\]' ||
	fail "no completion while the platform is down"
serves_shop entry2 || fail "no lookup while the platform is down"
http -H 'idempotency-key: down-1' -H "idempotency-key-date: $(date +%s)" \
	-H 'x-request-timeout-ms: 2000' -d '{"value":7}' \
	"http://${ADDRESS[entry1]}/checkout/charge" >"$WORK/refusal"
grep -q '"code": *"store_unavailable"' "$WORK/refusal" ||
	fail "unexpected answer: $(cat "$WORK/refusal")"
grep -q '"not_run": *true' "$WORK/refusal" || fail "not called not run"

# A process restarted meanwhile learns the configuration from its peers.
kill_now up-engine1
start_upstream up-engine1 engine1 engine1 domain-1
wait_until "up-engine1 has version 1" has_log up-engine1 "version 1 from a peer"

control platform '{"down":false}'
wait_until "charges run again" charge_runs
stop_cluster
