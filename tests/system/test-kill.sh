#!/bin/bash
# Guards against responses that are lost, repeated or delivered to the wrong
# caller when processes are killed under load: an upstream process of an engine,
# then an engine, then the upstream process of the service.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 3
start_load 12
sleep 1
kill_now up-engine1
start_upstream up-engine1 engine1 engine1 domain-1
wait_until "up-engine1 serves again" has_log up-engine1 "is ready"
kill_now engine2
start_engine engine2 --seed 2 --change-ms 300 --checks-fencing
wait_until "engine2 has its model again" engine_has_version 2 v1
kill_now up-service
start_upstream up-service service service domain-1
finish_load
expect_no_duplicate_charges
wait_until "entry1 serves the model" serves_model entry1
wait_until "entry2 serves the shop" serves_shop entry2
stop_cluster
