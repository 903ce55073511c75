#!/bin/bash
# Slopes of the decisions, then what the way through an entry adds to a direct
# connection to the stand-in engine: both under the same load, as ratios.
set -u
cd "$(dirname "$0")/.."
seconds=${1:-10}
build/plain/bench-slopes
# shellcheck source=tests/system/lib.sh
. tests/system/lib.sh
# shellcheck source=tests/system/cluster.sh
. tests/system/cluster.sh

# Half of what the engine does at most: 16 sequences, 5 ms for each step.
ENGINE_OPTIONS="--max-batch 16 --decode-us 5000 --prefill-us-per-token 20"
start_cluster 1

# measure ADDRESS: a JSON report of one run.
measure () {
	"$BIN/bench-load" --entry "$1" --seed "$2" --duration-s "$seconds" \
		--completions-per-s 16 --prompt-tokens 100:400 \
		--output-tokens 50:150 --api-key $API_KEY --model fitting \
		--output json || fail "an answer was wrong"
}

# value JSON FIELD: a number of the completions' report.
value () {
	echo "$1" | sed -n "s/.*\"completions\": {\([^}]*\)}.*/\1/p" |
		sed -n "s/.*\"$2\": \([0-9.]*\).*/\1/p"
}

ratio () {
	awk -v a="$(value "$1" "$3")" -v b="$(value "$2" "$3")" \
		'BEGIN { printf "%.1f / %.1f = %.3f\n", a, b, b ? a / b : 0 }'
}

# A warm-up with another seed, so that neither run meets a cold process.
measure "${ADDRESS[engine1]}" 3 >/dev/null
measure "${ADDRESS[entry1]}" 4 >/dev/null
direct=$(measure "${ADDRESS[engine1]}" 1)
through=$(measure "${ADDRESS[entry1]}" 2)
# The seeds differ, since the second run would find the first one's prompts in
# the engine's prefix cache.
for field in first_token_p50_ms first_token_p95_ms whole_p50_ms whole_p95_ms
do
	echo "$field, through an entry / direct: $(ratio "$through" "$direct" $field)"
done
