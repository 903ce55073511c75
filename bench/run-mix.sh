#!/bin/bash
# Measures goodput while the mix of prompt and output lengths changes, for each
# routing policy of the entry: expected_finish, which is the one of the system,
# and the baselines. Each policy runs on freshly started processes with the same
# requests; the policies of one deployment and seed run at the same time.
# Goodput is the number of complete answers within the deadline per second.
#
# run-mix.sh [--deployments "verhaegen ringside"] [--workloads "step ..."]
#	[--policies "..."] [--seeds "11 12 13"] [--scale PERCENT]
#
# --scale multiplies the rates of completions. --one "DEPLOYMENT SEED POLICY" is
# for the script itself: it runs the workloads of one combination.
#
# Workloads:
#   step         from balanced to long prompts to long outputs
#   twice        step at twice the rates
#   ramp         gradually from balanced to long prompts, then long outputs
#   oscillation  long prompts and long outputs in turn
#   rush         a balanced mix at half, twice and half the rate
#   loss         rush, with one engine killed after 4 s
#
# Service model: an engine prefills one token at a time, PREFILL us each, and
# decodes a batch of up to 16 sequences in steps of 10 ms, 2% longer for each
# further sequence, with 2,048 tokens of prefill between two steps. Half of the
# prompts belong to one of 16 groups; the prompts of a group share three
# quarters of their text.
#
# Time is scaled down by about 5 in deployment Verhaegen (a deadline of 30 s
# becomes 6 s) and by about 3 in Ringside. The rates are close to the capacity
# of the stand-in engines for each mix.
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

# report FILE...: prints the results with the ratio of the goodput of the system
# to that of the best baseline.
report () {
	sort "$@" | awk '
	{
		key = $1 " " $2 " seed " $3
		if (!(key in seen)) { seen[key] = 1; order[++n] = key }
		line[key] = line[key] "  " $0 "\n"
		if ($4 == "expected_finish") system_goodput[key] = $5
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
				k, system_goodput[k], best[k], \
				best[k] ? system_goodput[k] / best[k] : 0
			sum_system += system_goodput[k]
			sum_best += best[k]
		}
		printf "total: %.2f\n", sum_best ? sum_system / sum_best : 0
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

# Rates are for 9 engines. BALANCED, PROMPTS (long prompts) and OUTPUTS (long
# outputs) are mixes: completions per second and the token ranges
# PROMPT_MIN:PROMPT_MAX:OUTPUT_MIN:OUTPUT_MAX. PREFILL is in us per token.
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

# add_phase SECONDS PERCENT RATE RANGES: adds a phase with PERCENT of the rate.
add_phase () {
	PHASES+=(--phase "$1:$(awk -v r="$3" -v p="$2" -v s="$SCALE" \
		'BEGIN { print r * p * s / 10000 }'):$4")
}

# add_blend SECONDS PERCENT: adds a phase whose mix is interpolated between
# BALANCED (0) and PROMPTS (100).
add_blend () {
	local mix
	mix=$(awk -v s="$2" -v a="${BALANCED[0]}:${BALANCED[1]}" \
		-v b="${PROMPTS[0]}:${PROMPTS[1]}" 'BEGIN {
		split(a, x, ":")
		split(b, y, ":")
		for (i = 1; i <= 5; i++)
			printf "%d%s", x[i] + (y[i] - x[i]) * s / 100, i < 5 ? ":" : ""
	}')
	add_phase "$1" 100 "${mix%%:*}" "${mix#*:}"
}

# set_phases WORKLOAD: sets PHASES to the options of bench-load.
set_phases () {
	PHASES=()
	case $1 in
	step | twice)
		local percent=100
		test "$1" = twice && percent=200
		add_phase 3 $percent "${BALANCED[@]}"
		add_phase 4 $percent "${PROMPTS[@]}"
		add_phase 4 $percent "${OUTPUTS[@]}"
		;;
	ramp)
		add_blend 2 0
		add_blend 2 33
		add_blend 2 67
		add_blend 2 100
		add_phase 2 100 "${OUTPUTS[@]}"
		;;
	oscillation)
		for _ in 1 2 3
		do
			add_phase 1.5 100 "${PROMPTS[@]}"
			add_phase 1.5 100 "${OUTPUTS[@]}"
		done
		;;
	rush | loss)
		add_phase 2 50 "${BALANCED[@]}"
		add_phase 5 200 "${BALANCED[@]}"
		add_phase 2 50 "${BALANCED[@]}"
		;;
	esac
}

# report_number OBJECT FILE NAME: prints a number of an object in the report.
report_number () {
	sed -n "s/.*\"$1\": {\([^}]*\)}.*/\1/p" "$2" | tr ',' '\n' |
		sed -n "s/.*\"$3\": \([0-9.]*\).*/\1/p"
}

# run_workload WORKLOAD: runs it and prints the columns that report() describes.
run_workload () {
	local json=$WORK/report.json load
	set_phases "$1"
	"$BIN/bench-load" --entry "${ADDRESS[entry1]}" \
		--entry "${ADDRESS[entry2]}" --seed "$seed" "${PHASES[@]}" \
		--lookups-per-s $LOOKUPS --charges-per-s $CHARGES \
		--timeout-ms $TIMEOUT_MS --api-key $API_KEY --model fitting \
		--output json >"$json" &
	load=$!
	if test "$1" = loss
	then
		sleep 4
		kill_now engine1
	fi
	wait $load || fail "bench-load failed or received a wrong answer"
	local v=() class
	for field in whole late sent refused_not_run failed unknown
	do
		v+=("$(report_number completions "$json" $field)")
	done
	echo "$deployment $1 $seed $policy" "$(awk -v w="${v[0]}" -v l="${v[1]}" \
		-v s="$(sed -n 's/.*"duration_s": \([0-9.]*\).*/\1/p' "$json")" \
		'BEGIN { printf "%.2f", (w - l) / s }')" "${v[2]}" "${v[3]}" \
		"${v[1]}" "$((v[4] + v[5]))" "$(for class in completions lookups charges
		do
			report_number $class "$json" whole_p95_ms
			report_number $class "$json" whole_p99_ms
		done | xargs printf '%.0f ')"
}

start_deployment
for workload in $WORKLOADS
do
	run_workload "$workload"
done
