#!/bin/bash
# Guards against a soak that passes though a gateway ended by a signal that
# nobody sent.
set -u
cd "$(dirname "$0")/../.."

SEED=1
SECONDS_EACH=6

# The sanitizer would turn the signal into an exit status.
export ASAN_OPTIONS=${ASAN_OPTIONS:-}:handle_segv=0
out=$(mktemp)
trap 'rm -f "$out"' EXIT
tests/soak/soak.sh --planned $SEED $SECONDS_EACH >"$out" 2>&1 &
soak=$!
for _ in $(seq 100)
do
	sleep 0.1
	gateway=$(pgrep -P $soak -x soak-callers >/dev/null &&
		pgrep -P $soak -x knapweedstaird | head -n 1)
	test -z "$gateway" || break
done
test -n "$gateway" || { echo "FAILED: no gateway" >&2; cat "$out"; exit 1; }
kill -SEGV "$gateway"
wait $soak
status=$?
cat "$out"
test $status != 0 && grep -q '^violation ENDED gateway.* by SIGSEGV' "$out" ||
	{ echo "FAILED: status $status" >&2; exit 1; }
