#!/bin/bash
# Measures what the system adds to a direct connection to the stand-in engine
# and service, in one run on this machine. Arguments name the measurements to
# do; without any, all of them: requests latency tokens throughput memory links.
set -u
cd "$(dirname "$0")/.."
# shellcheck source=tests/system/lib.sh
. tests/system/lib.sh
# shellcheck source=tests/system/cluster.sh
. tests/system/cluster.sh

SECONDS_EACH=${SECONDS_EACH:-5}
ENGINE_LIMIT=512
WANTED=${*:-requests latency tokens throughput memory links}

wanted () {
	case " $WANTED " in
	*" $1 "*) return 0 ;;
	*) return 1 ;;
	esac
}

# A small system: one engine with the given options, one service, one entry.
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

# measure MEASUREMENT UPSTREAM [OPTION...]
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

# Requests of 1 us at a service without delay; half load is half of the rate
# that the closed loop reached.
if wanted requests || wanted latency
then
	start_system
	measure requests service --concurrency 32
	rate=$(sed -n 's/^requests: \([0-9]*\) a second$/\1/p' \
		"$WORK/measure.txt")
	test -n "$rate" || fail "no rate was measured"
	wanted latency && measure latency service --rate $((rate / 2 + 1))
	stop_system
fi

# Half load of an engine is half of the streams of a full batch.
if wanted tokens || wanted throughput
then
	start_system --decode-us 10000
	wanted tokens && measure tokens engine1 --concurrency 32 \
		--output-tokens 100
	wanted throughput && measure throughput engine1 --concurrency 64 \
		--output-tokens 100
	stop_system
fi

# Slow steps keep the streams open until the last has its tokens.
if wanted memory
then
	start_system --decode-us 2000
	measure memory engine1 --prompt-tokens 1000 --output-tokens 100000 \
		--streams 50 --streams 100 --streams 200 --streams 400
	stop_system
fi

if wanted links
then
	echo "== links"
	# Without the limit of the stand-in, which would hide the group size.
	start_platform platform --writes-per-s 0
	"$BIN/bench-links" --platform "$PLATFORM" \
		--token "$KS_PLATFORM_TOKEN" || status=1
	stop_system
fi
exit $status
