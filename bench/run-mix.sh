#!/bin/bash
# Goodput while the prompt-to-output mix moves: every routing policy through the
# same processes, with freshly started engines and the same requests.
#
# run-mix.sh [--deployments "verhaegen ringside"] [--workloads "step ..."]
#	[--policies "..."] [--seeds "11 12 13"] [--scale PERCENT]
#
# Service model: an engine prefills one token at a time (PREFILL) and decodes a
# batch of up to 16 in steps of 10 ms, 2% longer for each further sequence, with
# 2,048 tokens of prefill between two steps. Prompts of 16 groups share three
# quarters of their text; half of the prompts belong to a group.
#
# Time is scaled by about 1:5 in Verhaegen (prompts of 30 s patience have 6 s)
# and 1:3 in Ringside. The rates are near what the stand-in engines can do for
# each mix; "twice" doubles them.
set -u
cd "$(dirname "$0")/.."

DEPLOYMENTS="verhaegen ringside"
WORKLOADS="step ramp oscillation rush loss twice"
POLICIES="expected_finish round_robin least_connections prefix_affinity"
SEEDS="11"
SCALE=100
ONE=
while test $# -gt 0
do
	case $1 in
	--deployments) DEPLOYMENTS=$2 ;;
	--workloads) WORKLOADS=$2 ;;
	--policies) POLICIES=$2 ;;
	--seeds) SEEDS=$2 ;;
	--scale) SCALE=$2 ;;
	--one) ONE=$2 ;;
	*)
		echo "run-mix.sh: unknown option $1" >&2
		exit 2
		;;
	esac
	shift 2
done

# report: lines of goodput with the ratio of the system to the best baseline.
report () {
	sort "$@" | awk '
	{
		key = $1 " " $2 " seed " $3
		if (!(key in seen)) { seen[key] = 1; order[++n] = key }
		line[key] = line[key] "  " $0 "\n"
		if ($4 == "expected_finish") ours[key] = $5
		else if ($5 > best[key]) best[key] = $5
	}
	END {
		print "# deployment workload seed policy goodput/s sent refused" \
			" late failed completion-p95-ms p99 lookup-p95-ms p99" \
			" charge-p95-ms p99"
		for (i = 1; i <= n; i++) {
			k = order[i]
			printf "%s", line[k]
			printf "%s: system / best baseline = %.2f / %.2f = %.2f\n", \
				k, ours[k], best[k], best[k] ? ours[k] / best[k] : 0
			sum_ours += ours[k]
			sum_best += best[k]
		}
		printf "total: %.2f\n", sum_best ? sum_ours / sum_best : 0
	}'
}

if test -z "$ONE"
then
	out=$(mktemp -d)
	trap 'rm -rf "$out"' EXIT
	for deployment in $DEPLOYMENTS
	do
		for seed in $SEEDS
		do
			pids=()
			for policy in $POLICIES
			do
				"$0" --one "$deployment $seed $policy" \
					--workloads "$WORKLOADS" --scale "$SCALE" \
					>"$out/$deployment-$seed-$policy" \
					2>"$out/err-$deployment-$seed-$policy" &
				pids+=($!)
			done
			for pid in "${pids[@]}"
			do
				wait "$pid" || {
					cat "$out"/err-*
					exit 1
				}
			done
		done
	done
	rm -f "$out"/err-*
	report "$out"/*
	exit 0
fi

read -r deployment seed policy <<<"$ONE"
# shellcheck source=tests/system/lib.sh
. tests/system/lib.sh
# shellcheck source=tests/system/cluster.sh
. tests/system/cluster.sh

# Rates are for 9 engines. A mix is RATE:PROMPT_MIN:PROMPT_MAX:OUT_MIN:OUT_MAX.
N_ENGINES=9
case $deployment in
verhaegen)
	N_DOMAINS=3 N_SERVICES=3 PREFILL=100 TIMEOUT_MS=6000
	LOOKUPS=30 CHARGES=3
	BALANCED=(18 2000:8000:20:100)
	PROMPTS=(12 6000:14000:10:40)
	OUTPUTS=(26 500:2000:100:250)
	;;
ringside)
	N_DOMAINS=4 N_SERVICES=4 PREFILL=200 TIMEOUT_MS=2000
	LOOKUPS=40 CHARGES=5
	BALANCED=(60 100:600:10:60)
	PROMPTS=(22 1000:2000:5:20)
	OUTPUTS=(60 50:200:60:100)
	;;
*)
	fail "unknown deployment $deployment"
	;;
esac

start_engines () {
	local i
	for i in $(seq $N_ENGINES)
	do
		start_engine "engine$i" --seed "$i" --change-ms 100 \
			--checks-fencing --max-batch 16 --decode-us 10000 \
			--prefill-us-per-token $PREFILL --kv-blocks 128
		start_upstream "up-engine$i" "engine$i" "engine$i" \
			"domain-$((i % N_DOMAINS + 1))"
	done
	for i in $(seq $N_SERVICES)
	do
		start_service "service$i"
		start_upstream "up-service$i" "service$i" "service$i" \
			"domain-$((i % N_DOMAINS + 1))"
	done
}

write_release () {
	local i
	printf '%s\n' "base: 0" "note: mix" "models:" "  add:" \
		"    - {name: fitting, version: v1}" "upstreams:" "  add:"
	for i in $(seq $N_ENGINES)
	do
		echo "    - {id: engine$i, process: '${ADDRESS[up-engine$i]}'," \
			"endpoint: '${ADDRESS[engine$i]}', host: host-engine$i," \
			"domain: domain-$((i % N_DOMAINS + 1)), model: fitting," \
			"limit: 16, checks_fencing: true, resumes: true}"
	done
	for i in $(seq $N_SERVICES)
	do
		echo "    - {id: service$i, process: '${ADDRESS[up-service$i]}'," \
			"endpoint: '${ADDRESS[service$i]}', host: host-service$i," \
			"domain: domain-$((i % N_DOMAINS + 1)), service: shop," \
			"limit: 64}"
	done
}

start_deployment () {
	local i entry
	start_platform platform
	start_engines
	start_entry entry1 domain-1 "routing_policy: $policy"
	start_entry entry2 domain-2 "routing_policy: $policy"
	write_release >"$WORK/release.yaml"
	publish "$WORK/release.yaml" >&2 || fail "the release note was refused"
	wait_for_release 1
	for i in $(seq $N_ENGINES)
	do
		wait_until "engine$i has its model" engine_has_version "$i" v1
	done
	for entry in entry1 entry2
	do
		wait_until "$entry is ready" is_ready $entry
		wait_until "$entry serves the model" serves_model $entry
		wait_until "$entry serves the shop" serves_shop $entry
	done
}

# part SECONDS PERCENT RATE RANGES: adds a phase to the run.
part () {
	RUN+=(--phase "$1:$(awk -v r="$3" -v p="$2" -v s="$SCALE" \
		'BEGIN { print r * p * s / 10000 }'):$4")
}

# mixed SECONDS SHARE: a phase between balanced (0) and long prompts (100).
mixed () {
	local mix
	mix=$(awk -v s="$2" -v a="${BALANCED[0]}:${BALANCED[1]}" \
		-v b="${PROMPTS[0]}:${PROMPTS[1]}" 'BEGIN {
		split(a, x, ":")
		split(b, y, ":")
		for (i = 1; i <= 5; i++)
			printf "%d%s", x[i] + (y[i] - x[i]) * s / 100, i < 5 ? ":" : ""
	}')
	part "$1" 100 "${mix%%:*}" "${mix#*:}"
}

write_run () {
	RUN=()
	case $1 in
	step | twice)
		local percent=100
		test "$1" = twice && percent=200
		part 3 $percent "${BALANCED[@]}"
		part 4 $percent "${PROMPTS[@]}"
		part 4 $percent "${OUTPUTS[@]}"
		;;
	ramp)
		mixed 2 0
		mixed 2 33
		mixed 2 67
		mixed 2 100
		part 2 100 "${OUTPUTS[@]}"
		;;
	oscillation)
		for _ in 1 2 3
		do
			part 1.5 100 "${PROMPTS[@]}"
			part 1.5 100 "${OUTPUTS[@]}"
		done
		;;
	rush | loss)
		part 2 50 "${BALANCED[@]}"
		part 5 200 "${BALANCED[@]}"
		part 2 50 "${BALANCED[@]}"
		;;
	esac
}

member () {
	sed -n "s/.*\"$1\": {\([^}]*\)}.*/\1/p" "$2" | tr ',' '\n' |
		sed -n "s/.*\"$3\": \([0-9.]*\).*/\1/p"
}

# run WORKLOAD: prints one line of figures.
run () {
	local json=$WORK/report.json load
	write_run "$1"
	"$BIN/bench-load" --entry "${ADDRESS[entry1]}" \
		--entry "${ADDRESS[entry2]}" --seed "$seed" "${RUN[@]}" \
		--lookups-per-s $LOOKUPS --charges-per-s $CHARGES \
		--timeout-ms $TIMEOUT_MS --api-key $API_KEY --model fitting \
		--output json >"$json" &
	load=$!
	if test "$1" = loss
	then
		sleep 4
		kill_now engine1
	fi
	wait $load || fail "an answer was wrong"
	local v=() class
	for field in whole late sent refused_not_run failed unknown
	do
		v+=("$(member completions "$json" $field)")
	done
	echo "$deployment $1 $seed $policy" "$(awk -v w="${v[0]}" -v l="${v[1]}" \
		-v s="$(sed -n 's/.*"duration_s": \([0-9.]*\).*/\1/p' "$json")" \
		'BEGIN { printf "%.2f", (w - l) / s }')" "${v[2]}" "${v[3]}" \
		"${v[1]}" "$((v[4] + v[5]))" "$(for class in completions lookups charges
		do
			member $class "$json" whole_p95_ms
			member $class "$json" whole_p99_ms
		done | xargs printf '%.0f ')"
}

start_deployment
for workload in $WORKLOADS
do
	run "$workload"
done
