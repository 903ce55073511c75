#!/bin/bash
# Measures the overhead of the system compared with direct connections to the
# stand-in engine and service, all on this machine.
#
# run-bench.sh [requests] [latency] [tokens] [throughput] [memory] [links]
#
# Without arguments, runs all measurements. SECONDS_EACH in the environment is
# the duration of each in seconds; BIN is the directory of the programs.
set -u
cd "$(dirname "$0")/.."
# shellcheck source=tests/system/lib.sh
. tests/system/lib.sh
# shellcheck source=tests/system/cluster.sh
. tests/system/cluster.sh

SECONDS_EACH=${SECONDS_EACH:-5}
ENGINE_LIMIT=512
SELECTED=${*:-requests latency tokens throughput memory links}

is_selected () {
	case " $SELECTED " in
	*" $1 "*) return 0 ;;
	*) return 1 ;;
	esac
}

# start_system [ENGINE_OPTION...]: starts one engine, one service and one entry.
start_system () {
	start_platform platform
	start_engine engine1 --change-ms 10 --checks-fencing \
		--max-batch $ENGINE_LIMIT --kv-blocks 4096 "$@"
	start_upstream up-engine1 engine1 engine1 domain-1
	start_service service --delay-us 0
	start_upstream up-service service service domain-1
	start_entry entry1 domain-1
	N_ENGINES=1
	write_first_release | sed "s/limit: [0-9]*/limit: $ENGINE_LIMIT/" \
		>"$WORK/release1.yaml"
	publish "$WORK/release1.yaml" || fail "the release note was refused"
	wait_until "version 1 is in force" has_config_version entry1 1
	wait_until "engine1 has its model" engine_has_version 1 v1
	wait_until "entry1 is ready" is_ready entry1
	wait_until "entry1 serves the model" serves_model entry1
	wait_until "entry1 serves the shop" serves_shop entry1
}

stop_system () {
	local name
	for name in "${!PID[@]}"
	do
		kill_now "$name"
	done
	ADDRESS=()
}

# measure MEASUREMENT UPSTREAM [OPTION...]: runs bench-overhead.
measure () {
	local mode=$1 upstream=$2
	shift 2
	echo "== $mode $*"
	"$BIN/bench-overhead" "$mode" --direct "${ADDRESS[$upstream]}" \
		--via "${ADDRESS[entry1]}" --api-key "$API_KEY" \
		--model fitting --entry-pid "${PID[entry1]}" \
		--upstream-pid "${PID[up-$upstream]}" \
		--duration-s "$SECONDS_EACH" "$@" | tee "$WORK/measure.txt"
	test "${PIPESTATUS[0]}" = 0 || status=1
}

status=0
echo "date: $(date -u +%Y-%m-%dT%H:%MZ), load average: $(cut -d ' ' -f 1-3 /proc/loadavg)"

# Requests that take about 1 us at a service without delay. The latency is
# measured at half load: half of the rate that the closed loop of the requests
# measurement reached.
if is_selected requests || is_selected latency
then
	start_system
	measure requests service --concurrency 32
	rate=$(sed -n 's/^requests: \([0-9]*\) a second$/\1/p' \
		"$WORK/measure.txt")
	test -n "$rate" || fail "bench-overhead reported no request rate"
	is_selected latency && measure latency service --rate $((rate / 2 + 1))
	stop_system
fi

# The token latency is measured at half load: half as many streams as for the
# throughput.
if is_selected tokens || is_selected throughput
then
	start_system --decode-us 10000
	is_selected tokens && measure tokens engine1 --concurrency 32 \
		--output-tokens 100
	is_selected throughput && measure throughput engine1 --concurrency 64 \
		--output-tokens 100
	stop_system
fi

# 100,000 decode steps of at least 2 ms keep all streams open until the last one
# has its first 20 tokens.
if is_selected memory
then
	start_system --decode-us 2000
	measure memory engine1 --prompt-tokens 1000 --output-tokens 100000 \
		--streams 50 --streams 100 --streams 200 --streams 400
	stop_system
fi

if is_selected links
then
	echo "== links"
	# Without the write limit of the stand-in store, which would hide the
	# effect of the batch size.
	start_platform platform --writes-per-s 0
	"$BIN/bench-links" --platform "$PLATFORM" \
		--token "$KS_PLATFORM_TOKEN" || status=1
	stop_system
fi
exit $status
