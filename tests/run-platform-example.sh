#!/bin/bash
# Starts two gateways and fake-site, the stand-in for the users' platform, sends
# lookups, bookings and streams through both gateways and stops everything
# gracefully.
set -u
cd "$(dirname "$0")/.."
. tests/system/lib.sh
. tests/system/site.sh

start_site_platform
start_gateway gateway1
start_gateway gateway2
for i in $(seq 1 10)
do
	for gateway in gateway1 gateway2
	do
		call_gateway "$gateway" "read-$gateway-$i" GET /read/x \
			>/dev/null ||
			fail "a lookup failed"
		call_gateway "$gateway" "book-$gateway-$i" POST /book/x \
			-d v=1 >/dev/null || fail "a booking failed"
	done
done
for gateway in gateway1 gateway2
do
	call_gateway "$gateway" "advise-$gateway" POST /advise/x -d prompt \
		>"$WORK/$gateway.stream"
	check_stream "$WORK/$gateway.stream" || fail "a stream is not complete"
done
for name in gateway1 gateway2 site
do
	kill -TERM "${PID[$name]}"
	wait "${PID[$name]}" || fail "$name did not stop gracefully"
	unset "PID[$name]"
done
echo "lookups: 20, bookings: 20, streams: 2"
tail -n 1 "$WORK/site.log"
echo "stopped gracefully"
