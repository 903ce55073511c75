# Starts a test system: a platform, engines, one HTTP service, an upstream
# process for each backend, and two entries that serve release 1. Also runs
# load and checks its report. Sourced after lib.sh.

# engine_line INDEX: prints the entry of an engine in a release note. All
# engines but the last check the fencing numbers of orders. (An order is a
# request of an upstream process to its engine to load or change a model.)
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
	# shellcheck disable=SC2086 # an empty option must expand to nothing
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

# engine_has_version INDEX VERSION: the engine reports this model version.
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

# Additional settings of the upstream processes and of the entries.
UPSTREAM_SETTINGS=()
ENTRY_SETTINGS=()

# start_cluster N_ENGINES: starts the system and waits until both entries serve.
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
	publish "$WORK/release1.yaml" || fail "the release note was rejected"
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

# start_load SECONDS: runs a mixed load through both entries in the background.
# COMPLETIONS, LOOKUPS and CHARGES are rates per second, TIMEOUT_MS is the
# deadline of a request and OUTPUT_TOKENS the range of completion lengths. The
# report goes to load.log.
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

# finish_load: waits for the load to end. No response may be wrong.
finish_load () {
	wait "${PID[load]}"
	local status=$?
	unset "PID[load]"
	cat "$WORK/load.log"
	test $status = 0 || fail "the load got a wrong response"
}

# load_count CLASS FIELD: prints a count of the load's report. CLASS is
# completions, lookups or charges.
load_count () {
	sed -n "s/^$1 .*[ ,(]$2 \([0-9]*\).*/\1/p" "$WORK/load.log"
}

# expect_none CLASS FIELD...: the counts must be 0.
expect_none () {
	local class=$1 field
	shift
	for field in "$@"
	do
		test "$(load_count "$class" "$field")" = 0 ||
			fail "$class: $field is not 0"
	done
}

# Checks with the service's own counters that no idempotency key ran twice.
expect_no_duplicate_charges () {
	local most
	most=$(get_json service /stats | json_number max_per_key)
	test "${most:-0}" -le 1 || fail "a charge was executed $most times"
}

# Prints "KEY executed" for each key that the service executed, then "KEY
# VERDICT" for each response to a charge of the load.
list_charge_outcomes () {
	get_json service /stats | grep -o '"[0-9a-f-]* [0-9a-f]*": *[1-9]' |
		sed 's/^"\([^ ]*\) .*/\1 executed/'
	cat "$WORK/charges.keys"
}

# Prints how many charges of the load were executed although every response
# refused them as not run ("false not-run"), and how many got a complete
# response and were never executed ("lost"). Keys that were sent more than once
# and got different verdicts are left out of the first count: such a refusal is
# true for its own copy even if another copy was executed.
count_false_refusals () {
	list_charge_outcomes | awk '
		$2 == "executed" { ran[$1] = 1; next }
		{ answers[$1]++; if ($2 == "refused") refused[$1]++
		  if ($2 == "whole") whole[$1] = 1 }
		END {
			for (key in answers) {
				if (refused[key] == answers[key]) {
					checked++
					if (key in ran) untrue++
				}
				if (whole[key] && !(key in ran)) lost++
			}
			printf "refused keys %d, false not-run %d, lost %d\n",
				checked, untrue, lost
		}'
}

# Guards against a charge that is refused as not run although it was or will be
# executed, and against a complete response to a charge that was never executed.
expect_no_false_refusals () {
	local counts
	counts=$(count_false_refusals)
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
			fail "engine$i counted conflicting orders"
		test "$(get_json "engine$i" /stats |
			json_number orders_while_running)" = 0 ||
			fail "engine$i got an order while requests were running"
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
	expect_no_duplicate_charges
	expect_no_conflicts
}

# platform_writes PREFIX: prints how many rows under a prefix were written.
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

# charge ENTRY KEY VALUE [CURL-OPTION...]: sends a charge with an idempotency
# key that is dated at the start of the test.
charge () {
	local entry=$1 key=$2 value=$3
	shift 3
	http -H "idempotency-key: $key" -H "idempotency-key-date: $KEY_DATE" \
		-d "{\"value\":$value}" "$@" \
		"http://${ADDRESS[$entry]}/checkout/charge"
}
KEY_DATE=$(date +%s)

# executions KEY: prints how often the service executed a key.
executions () {
	local count
	count=$(get_json service /stats | grep -o "\"$1 [0-9a-f]*\": *[0-9]*" |
		sed 's/.*: *//' | sort -n | tail -n 1)
	echo "${count:-0}"
}

has_executed () {
	test "$(executions "$1")" -ge 1
}

# expect_response FILE PATTERN: the stored response must match the pattern.
expect_response () {
	grep -Eq "$2" "$1" || fail "$(basename "$1"): $(cat "$1")"
}

# serves_charges ENTRY: sends a charge with a new key in each call.
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

# stream_to FILE ENTRY PROMPT TOKENS: starts a stream in the background.
stream_to () {
	complete "$2" fitting "$3" "$4" true >"$WORK/$1" 2>&1 &
	STREAMS+=($!)
}

# has_bytes FILE SIZE
has_bytes () {
	test "$(stat -c %s "$WORK/$1" 2>/dev/null || echo 0)" -ge "$2"
}

# stream_text FILE: prints the generated text of a stream without its framing.
stream_text () {
	grep -o '"\(text\|content\)": *"[^"]*"' "$WORK/$1" |
		sed 's/.*: *"//; s/"$//' | tr -d '\n'
}

# is_whole_stream FILE TOKENS
is_whole_stream () {
	grep -q '^data: \[DONE\]' "$WORK/$1" &&
		! grep -q '"error"' "$WORK/$1" &&
		test "$(stream_text "$1" | wc -w)" = "$2"
}
