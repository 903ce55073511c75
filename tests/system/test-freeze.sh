#!/bin/bash
# Guards against cut or repeated requests when processes stand still for longer
# than the silence that replaces a link, and then go on.
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
end_load
expect_no_repeats
wait_until "entry1 serves the model" serves_model entry1
stop_cluster
