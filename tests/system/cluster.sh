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

# engine_has INDEX VERSION: the engine itself reports the model version.
engine_has () {
	get_json "engine$1" /state 2>/dev/null |
		grep -q "\"version\": *\"$2\""
}

wait_for_release () {
	local entry
	for entry in entry1 entry2
	do
		wait_until "version $1 is in force at $entry" \
			in_force $entry "$1"
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
		wait_until "engine$i has its model" engine_has "$i" v1
	done
	for entry in entry1 entry2
	do
		wait_until "$entry is ready" is_ready $entry
		wait_until "$entry serves the model" serves_model $entry
		wait_until "$entry serves the shop" serves_shop $entry
	done
}

# start_load SECONDS: a mixed load through both entries, in the background, at
# the rates in COMPLETIONS, LOOKUPS and CHARGES; its report goes to load.log.
start_load () {
	"$BIN/bench-load" --entry "${ADDRESS[entry1]}" \
		--entry "${ADDRESS[entry2]}" --seed 1 --duration-s "$1" \
		--completions-per-s "${COMPLETIONS:-20}" \
		--lookups-per-s "${LOOKUPS:-20}" \
		--charges-per-s "${CHARGES:-10}" \
		--prompt-tokens 200:2000 --output-tokens 20:100 \
		--api-key $API_KEY --model fitting --lookup-path /basket/size \
		--charge-path /checkout/charge >"$WORK/load.log" 2>&1 &
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

expect_no_conflicts () {
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
