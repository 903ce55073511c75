#!/bin/bash
# Guards against a break between the adapter, the gateway and the users'
# platform, against a planned stop that cuts a request, and against a call that
# runs twice.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/site.sh

start_site
start_gateway gateway1
start_gateway gateway2

for i in $(seq 1 20)
do
	gateway=gateway$((i % 2 + 1))
	test "$(ask "$gateway" "read-$i" GET /read/x)" = done ||
		fail "lookup $i has another answer"
	test "$(ask "$gateway" "book-$i" POST /book/x -d value=1)" = done ||
		fail "booking $i has another answer"
done
status=$(ask gateway1 nowhere GET /nowhere/ -o /dev/null -w '%{http_code}')
test "$status" = 404 || fail "an unknown route is answered $status"

# Two of the three engines are to read, so one order at least is given.
wait_until "an engine has been ordered to read" \
	grep -q 'order of a stage' "$WORK/gateway1.log" "$WORK/gateway2.log"

# Streams go on through the graceful stop of their gateway.
streams=()
for i in $(seq 1 6)
do
	ask gateway1 "advise-$i" POST /advise/x -d prompt >"$WORK/stream-$i" &
	streams+=($!)
done
wait_until "streams have begun" grep -q '^id: 1' "$WORK"/stream-6
kill -TERM "${PID[gateway1]}"
wait "${streams[@]}"
for i in $(seq 1 6)
do
	check_stream "$WORK/stream-$i" || fail "stream $i is not whole"
done
wait_until "gateway1 has stopped" is_gone gateway1
wait "${PID[gateway1]}" || fail "gateway1 did not stop gracefully"
unset "PID[gateway1]"

# A killed gateway is back with the configuration of the store.
kill -KILL "${PID[gateway2]}"
wait "${PID[gateway2]}" 2>/dev/null
start_gateway gateway2
test "$(ask gateway2 after GET /read/x)" = done ||
	fail "a restarted gateway does not serve"

kill -TERM "${PID[site]}"
wait "${PID[site]}" || fail "a call that may run once ran twice"
unset "PID[site]"
grep -q 'twice=0' "$WORK/site.log" || fail "no count of the runs"
