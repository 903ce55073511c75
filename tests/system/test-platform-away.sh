#!/bin/bash
# Guards against completions and lookups that fail while the platform is down,
# and against charges that run twice or get a wrong refusal when responses of
# the platform are lost.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 2

runs_charge () {
	http -H "idempotency-key: again-$RANDOM" \
		-H "idempotency-key-date: $(date +%s)" -d '{"value":8}' \
		"http://${ADDRESS[entry1]}/checkout/charge" |
		grep -q '"executions": *1'
}

# The platform applies writes of claims and loses its responses: each charge
# still runs once.
control platform '{"lose_answers":20,"lose_matching":"claim/"}'
COMPLETIONS=5 start_load 4
finish_load
expect_no_duplicate_charges

# The platform is down: completions and lookups are served, a charge is refused
# as not run.
control platform '{"lose_answers":0,"down":true}'
complete entry1 fitting while-down 5 true | grep -q 'data: \[DONE\]' ||
	fail "no completion while the platform is down"
serves_shop entry2 || fail "no lookup while the platform is down"
http -H 'idempotency-key: down-1' -H "idempotency-key-date: $(date +%s)" \
	-H 'x-request-timeout-ms: 2000' -d '{"value":7}' \
	"http://${ADDRESS[entry1]}/checkout/charge" >"$WORK/refusal"
grep -q '"code": *"store_unavailable"' "$WORK/refusal" ||
	fail "unexpected response: $(cat "$WORK/refusal")"
grep -q '"not_run": *true' "$WORK/refusal" ||
	fail "not_run is not true: $(cat "$WORK/refusal")"

# A process that restarts meanwhile gets the configuration from its peers.
kill_now up-engine1
start_upstream up-engine1 engine1 engine1 domain-1
wait_until "up-engine1 has version 1" has_log up-engine1 "version 1 from a peer"

control platform '{"down":false}'
wait_until "charges run again" runs_charge
stop_cluster
