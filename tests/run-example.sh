#!/bin/bash
# Starts the example system, publishes a release note, runs a mixed load
# through both entries and stops everything gracefully. With --keep the system
# runs until the script is interrupted. With --platform, runs the gateways
# against the stand-in for the users' platform instead.
set -u
cd "$(dirname "$0")/.."
keep=
test "${1:-}" = --keep && keep=1
test "${1:-}" = --platform && exec tests/run-platform-example.sh
# shellcheck source=tests/system/lib.sh
. tests/system/lib.sh
# shellcheck source=tests/system/cluster.sh
. tests/system/cluster.sh

start_cluster 3

if test -n "$keep"
then
	echo "entries: ${ADDRESS[entry1]} ${ADDRESS[entry2]}"
	echo "platform: $PLATFORM"
	echo "curl --noproxy '*' -N -H 'authorization: Bearer $API_KEY'" \
		"-d '$(completion_body fitting hello 20 true)'" \
		"http://${ADDRESS[entry1]}/v1/completions"
	echo "KS_PLATFORM_TOKEN=$KS_PLATFORM_TOKEN" \
		"$BIN/knapweedstair --platform $PLATFORM release history"
	echo "Press Ctrl-C to stop."
	sleep infinity
fi

LOOKUPS=50 start_load 10
finish_load
stop_cluster
echo "run twice: 0"
echo "stopped gracefully"
