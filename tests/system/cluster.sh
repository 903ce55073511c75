# A small system for the tests: a platform, engines, one plain service, the
# process beside each, and two entries, with release 1 in force. Sourced after
# lib.sh.

# engine_line INDEX: the release note's line of an engine. The first engines
# check fencing numbers, and the last does not.
engine_line () {
	local checks=true
	test "$1" = "$N_ENGINES" && checks=false
	echo "    - {id: engine$1, process: '${ADDRESS[up-engine$1]}'," \
		"endpoint: '${ADDRESS[engine$1]}', host: host-engine$1," \
		"domain: domain-$1, model: fitting, limit: 32," \
		"checks_fencing: $checks, resumes: true}"
}

start_engine_pair () {
	local fencing=--checks-fencing
	test "$1" = "$N_ENGINES" && fencing=
	# shellcheck disable=SC2086 # an empty option must vanish
	start_engine "engine$1" --seed "$1" --change-ms 300 $fencing \
		$ENGINE_OPTIONS
	start_upstream "up-engine$1" "engine$1" "engine$1" "domain-$1" \
		"${UPSTREAM_SETTINGS[@]}"
}

write_first_release () {
	local i
	echo "base: 0"
	echo "note: first release"
	echo "models:"
	echo "  add:"
	echo "    - {name: fitting, version: v1, adapters: [straps]}"
	echo "upstreams:"
	echo "  add:"
	for i in $(seq "$N_ENGINES")
	do
		engine_line "$i"
	done
	echo "    - {id: service, process: '${ADDRESS[up-service]}'," \
		"endpoint: '${ADDRESS[service]}', host: host-service," \
		"domain: domain-1, service: shop, limit: 64}"
}

serves_model () {
	complete "$1" fitting warm-up 2 false 2>/dev/null | grep -q '"usage"'
}

serves_shop () {
	http -o /dev/null -f "http://${ADDRESS[$1]}/basket/size" 2>/dev/null
}

# engine_has_version INDEX VERSION: the engine itself reports the model version.
engine_has_version () {
	get_json "engine$1" /state 2>/dev/null |
		grep -q "\"version\": *\"$2\""
}

wait_for_release () {
	local entry
	for entry in entry1 entry2
	do
		wait_until "version $1 is in force at $entry" \
			has_config_version $entry "$1"
	done
}

# More settings of the upstream processes and of the entries.
UPSTREAM_SETTINGS=()
ENTRY_SETTINGS=()

# start_cluster ENGINES: all of it, serving.
start_cluster () {
	N_ENGINES=$1
	ENGINE_OPTIONS=${ENGINE_OPTIONS:-}
	local i entry
	start_platform platform
	for i in $(seq "$N_ENGINES")
	do
		start_engine_pair "$i"
	done
	start_service service
	start_upstream up-service service service domain-1 \
		"${UPSTREAM_SETTINGS[@]}"
	start_entry entry1 domain-1 "${ENTRY_SETTINGS[@]}"
	start_entry entry2 domain-2 "${ENTRY_SETTINGS[@]}"
	write_first_release >"$WORK/release1.yaml"
	publish "$WORK/release1.yaml" || fail "the release note was refused"
	wait_for_release 1
	for i in $(seq "$N_ENGINES")
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

# start_load SECONDS: a mixed load through both entries, in the background, at
# the rates in COMPLETIONS, LOOKUPS and CHARGES, with the deadline TIMEOUT_MS
# and answers of OUTPUT_TOKENS; its report goes to load.log.
start_load () {
	"$BIN/bench-load" --entry "${ADDRESS[entry1]}" \
		--entry "${ADDRESS[entry2]}" --seed 1 --duration-s "$1" \
		--completions-per-s "${COMPLETIONS:-20}" \
		--lookups-per-s "${LOOKUPS:-20}" \
		--charges-per-s "${CHARGES:-10}" \
		--prompt-tokens 200:2000 \
		--api-key $API_KEY --model fitting --lookup-path /basket/size \
		--charge-path /checkout/charge \
		--timeout-ms "${TIMEOUT_MS:-30000}" \
		--output-tokens "${OUTPUT_TOKENS:-20:100}" \
		--log-keys "$WORK/charges.keys" >"$WORK/load.log" 2>&1 &
	PID[load]=$!
}

# Waits for the load to end. No answer may be wrong.
end_load () {
	wait "${PID[load]}"
	local status=$?
	unset "PID[load]"
	cat "$WORK/load.log"
	test $status = 0 || fail "the load saw a wrong answer"
}

# load_count CLASS FIELD: a count of the load's report.
load_count () {
	sed -n "s/^$1 .*[ ,(]$2 \([0-9]*\).*/\1/p" "$WORK/load.log"
}

# expect_none CLASS FIELD...: these counts must be 0.
expect_none () {
	local class=$1 field
	shift
	for field in "$@"
	do
		test "$(load_count "$class" "$field")" = 0 ||
			fail "$class: $field is not 0"
	done
}

# At most once, by the service's own count.
expect_no_repeats () {
	local most
	most=$(get_json service /stats | json_number max_per_key)
	test "${most:-0}" -le 1 || fail "a charge ran $most times"
}

# charges_seen: the keys that ran at the service as "KEY executed", then
# a line "KEY VERDICT" for each answer to a charge of the load.
charges_seen () {
	get_json service /stats | grep -o '"[0-9a-f-]* [0-9a-f]*": *[1-9]' |
		sed 's/^"\([^ ]*\) .*/\1 executed/'
	cat "$WORK/charges.keys"
}

# Prints how many charges of the load were refused as not run in every answer
# and ran all the same ("false"), and how many were answered whole and never
# ran ("lost"). A key whose copies got different answers is not judged by its
# refusals: they are true if the other copy ran.
count_untrue () {
	charges_seen | awk '
		$2 == "executed" { ran[$1] = 1; next }
		{ answers[$1]++; if ($2 == "refused") refused[$1]++
		  if ($2 == "whole") whole[$1] = 1 }
		END {
			for (key in answers) {
				if (refused[key] == answers[key]) {
					judged++
					if (key in ran) untrue++
				}
				if (whole[key] && !(key in ran)) lost++
			}
			printf "refused keys %d, false not-run %d, lost %d\n",
				judged, untrue, lost
		}'
}

# Guards against a refusal that calls a charge not run although it has run or
# runs later, and against an answer to a charge that never ran.
expect_true_refusals () {
	local counts
	counts=$(count_untrue)
	echo "charges: $counts"
	case "$counts" in
	*"false not-run 0, lost 0") ;;
	*) fail "$counts" ;;
	esac
}

expect_no_conflicts () {
	local i
	for i in $(seq "$N_ENGINES")
	do
		test "$(get_json "engine$i" /stats |
			json_number conflicts)" = 0 ||
			fail "engine$i counts conflicting orders"
		test "$(get_json "engine$i" /stats |
			json_number orders_while_running)" = 0 ||
			fail "engine$i got an order with requests running"
	done
	! grep -l CONFLICT "$WORK"/engine*.log ||
		fail "an engine got conflicting orders"
}

stop_cluster () {
	local i
	stop entry1
	stop entry2
	for i in $(seq "$N_ENGINES")
	do
		stop "up-engine$i"
	done
	stop up-service
	expect_no_repeats
	expect_no_conflicts
}

# platform_writes PREFIX: writes of rows under a prefix so far.
platform_writes () {
	get_json platform /v1/stats | grep -o "\"$1\":{[^}]*}" |
		json_number writes
}

# writes_exceed PREFIX COUNT
writes_exceed () {
	local writes
	writes=$(platform_writes "$1")
	test "${writes:-0}" -gt "$2"
}

# charge ENTRY KEY VALUE [CURL-OPTION...]: one charge with a key issued now.
charge () {
	local entry=$1 key=$2 value=$3
	shift 3
	http -H "idempotency-key: $key" -H "idempotency-key-date: $KEY_DATE" \
		-d "{\"value\":$value}" "$@" \
		"http://${ADDRESS[$entry]}/checkout/charge"
}
KEY_DATE=$(date +%s)

# executions KEY: how often the service has run a key.
executions () {
	local count
	count=$(get_json service /stats | grep -o "\"$1 [0-9a-f]*\": *[0-9]*" |
		sed 's/.*: *//' | sort -n | tail -n 1)
	echo "${count:-0}"
}

has_executed () {
	test "$(executions "$1")" -ge 1
}

# expect_answer FILE PATTERN
expect_answer () {
	grep -Eq "$2" "$1" || fail "$(basename "$1"): $(cat "$1")"
}

serves_charges () {
	SERIAL=$((${SERIAL:-0} + 1))
	charge "$1" "probe-$1-$SERIAL" 1 2>/dev/null |
		grep -q '"executions": *1'
}

wait_until_serving () {
	local entry
	for entry in entry1 entry2
	do
		wait_until "$entry serves the model" serves_model $entry
		wait_until "$entry serves the shop" serves_shop $entry
		wait_until "$entry serves charges" serves_charges $entry
	done
}

# stream_to FILE ENTRY PROMPT TOKENS: a stream in the background.
stream_to () {
	complete "$2" fitting "$3" "$4" true >"$WORK/$1" 2>&1 &
	STREAMS+=($!)
}

has_bytes () {
	test "$(stat -c %s "$WORK/$1" 2>/dev/null || echo 0)" -ge "$2"
}

# stream_text FILE: the tokens of a stream without their framing.
stream_text () {
	grep -o '"\(text\|content\)": *"[^"]*"' "$WORK/$1" |
		sed 's/.*: *"//; s/"$//' | tr -d '\n'
}

is_whole_stream () {
	grep -q '^data: \[DONE\]' "$WORK/$1" &&
		! grep -q '"error"' "$WORK/$1" &&
		test "$(stream_text "$1" | wc -w)" = "$2"
}
