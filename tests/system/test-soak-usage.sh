#!/bin/bash
# Guards against a soak that is called wrongly, plays nothing and passes.
set -u
cd "$(dirname "$0")/../.."

failed=
# rejects COMMAND...
rejects () {
	timeout 10 "$@" >/dev/null 2>&1 && failed="$failed
	$*"
}

export SOAK_KEEP
SOAK_KEEP=$(mktemp -d)
trap 'rm -rf "$SOAK_KEEP"' EXIT
rejects tests/soak/run.sh 1 1 1 --planned
rejects tests/soak/run.sh 1 --planned 1 1
rejects tests/soak/run.sh planned 1 1 1
rejects tests/soak/run.sh 2 1 1
rejects tests/soak/run.sh 1 1
rejects tests/soak/run.sh
rejects tests/soak/soak.sh --unknown 1 1
rejects tests/soak/soak.sh 1
rejects tests/soak/soak.sh one 1
rejects tests/soak/soak.sh 1 0
rejects tests/soak/soak.sh --planned --paused 1 1
test -z "$failed" || { echo "FAILED: not rejected:$failed" >&2; exit 1; }
