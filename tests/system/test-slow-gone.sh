#!/bin/bash
# Guards against an upstream process that cannot stop after a slow caller has
# disconnected. The entry ends the stream of a caller that reads too slowly. If
# the caller then disconnects, the entry must still acknowledge the last frame
# of the response, because the upstream process waits for that before it stops.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

ENTRY_SETTINGS=("max_answer_kib: 256")
UPSTREAM_SETTINGS=("max_answer_kib: 256")
ENGINE_OPTIONS="--decode-us 50 --kv-blocks 4096"
start_cluster 1

has_cancelled () {
	test "$(get_json engine1 /stats | json_number cancelled)" -ge 1
}

is_idle () {
	test "$(http -H "authorization: Bearer $OPERATOR_TOKEN" \
		"http://${ADDRESS[entry1]}/internal/status" |
		json_number requests)" = 0
}

# curl is called directly, so that $! is its process id.
curl --noproxy '*' -sSN --limit-rate 20K -H "authorization: Bearer $API_KEY" \
	-d "$(completion_body fitting x 1000000 true)" \
	"http://${ADDRESS[entry1]}/v1/completions" >"$WORK/slow" 2>&1 &
PID[slow]=$!
wait_until "the stream of a slow caller was cancelled" has_cancelled
kill_now slow
wait_until "the entry has freed the request" is_idle
stop_cluster
