#!/bin/bash
# Guards against truncated or repeated requests when a process is paused for
# longer than the idle timeout after which its links are replaced, and then
# continues.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 3
start_load 14
sleep 1
for name in up-engine1 up-service entry1
do
	kill -STOP "${PID[$name]}"
	sleep 4
	kill -CONT "${PID[$name]}"
done
finish_load
expect_no_duplicate_charges
wait_until "entry1 serves the model" serves_model entry1
stop_cluster
