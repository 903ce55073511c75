#!/bin/bash
# Guards against two concurrent publishers who are both told that their release
# note was published, and against a configuration version that is lost or
# reverted when the store goes down.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 2
for side in a b
do
	printf '%s\n' "base: 1" "note: from operator $side" "upstreams:" \
		"  change:" "    - {id: engine-$side, limit: 33}" |
		sed 's/engine-a/engine1/; s/engine-b/engine2/' \
			>"$WORK/release-$side.yaml"
done
publish "$WORK/release-a.yaml" >"$WORK/out-a" 2>&1 &
pid_a=$!
publish "$WORK/release-b.yaml" >"$WORK/out-b" 2>&1
status_b=$?
wait $pid_a
status_a=$?
case "$status_a $status_b" in
"0 3" | "3 0") ;;
*) fail "statuses $status_a and $status_b: $(cat "$WORK"/out-?)" ;;
esac
wait_for_release 2

# The response to a publish is lost; the command reads the result back.
control platform '{"lose_answers":1,"lose_matching":"release/"}'
printf '%s\n' "base: 2" "note: response lost" "upstreams:" "  change:" \
	"    - {id: service, limit: 65}" >"$WORK/release-c.yaml"
publish "$WORK/release-c.yaml" || fail "publishing failed after a lost response"
control platform '{"lose_answers":0}'
wait_for_release 3

# The store goes down, and a process that restarts gets version 3 from a peer.
# Reads of an older version from the store must not replace it.
control platform '{"down":true}'
kill_now up-engine1
start_upstream up-engine1 engine1 engine1 domain-1
wait_until "up-engine1 has version 3" has_log up-engine1 "version 3 from a peer"
control platform '{"down":false,"stale_reads":true}'
sleep 1
has_config_version entry1 3 || fail "a stale read reverted the version"
control platform '{"stale_reads":false}'
stop_cluster
