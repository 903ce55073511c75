#!/bin/bash
# Guards against planned changes that cut requests: under load, an engine is
# withdrawn and added again, all engines get another model version, and a host
# leaves.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 3
start_load 20

printf '%s\n' "base: 1" "note: withdraw engine1" "upstreams:" \
	"  withdraw: [engine1]" >"$WORK/release2.yaml"
publish "$WORK/release2.yaml" || fail "release 2 was rejected"
wait_for_release 2
wait_until "engine1 takes no new requests" has_log up-engine1 "engine1 is"

{
	printf '%s\n' "base: 2" "note: put engine1 back" "upstreams:" "  add:"
	engine_line 1
} >"$WORK/release3.yaml"
publish "$WORK/release3.yaml" || fail "release 3 was rejected"
wait_for_release 3

printf '%s\n' "base: 3" "note: new weights" "models:" "  change:" \
	"    - {name: fitting, version: v2}" >"$WORK/release4.yaml"
publish "$WORK/release4.yaml" || fail "release 4 was rejected"
wait_for_release 4
for i in 1 2 3
do
	wait_until "engine$i has version v2" engine_has_version $i v2
done

control platform '{"leaving":["host-engine2"]}'
wait_until "up-engine2 learns that its host leaves" \
	has_log up-engine2 "engine2 is on a leaving host"
finish_load
for class in completions lookups charges
do
	expect_none $class failed unknown
done
stop_cluster
