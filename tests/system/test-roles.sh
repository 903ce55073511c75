#!/bin/bash
# Guards against disaggregated prefill and decode that is not used or changes
# the response, against role plans from an entry that has lost the planner
# lease, and against requests that fail while engines change roles. The entry
# that holds the planner lease writes the plan: which engines prefill and which
# decode.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# The first two engines prefill, the others decode. The colon in the model name
# must be escaped in the key of the plan's row.
MODEL=lug:1
# A role change must pay off in each sixteenth of the dwell time, so a sixteenth
# must be long enough for many requests.
DWELL_MS=8000
N_ENGINES=5
ENTRIES="entry1 entry2"

role_of () {
	test "$1" -le 2 && echo prefill || echo decode
}

write_release () {
	local i
	printf '%s\n' "base: 0" "note: roles" "models:" "  add:" \
		"    - {name: '$MODEL', version: v1}" "upstreams:" "  add:"
	for i in $(seq $N_ENGINES)
	do
		echo "    - {id: engine$i, process: '${ADDRESS[up-engine$i]}'," \
			"endpoint: '${ADDRESS[engine$i]}'," \
			"host: host-engine$i, domain: domain-$i," \
			"model: '$MODEL', role: $(role_of "$i"), limit: 8," \
			"checks_fencing: true, resumes: true}"
	done
}

status_of () {
	http -H "authorization: Bearer $OPERATOR_TOKEN" \
		"http://${ADDRESS[$1]}/internal/status"
}

engine_role () {
	get_json "engine$1" /state | sed -n 's/.*"role": *"\([a-z]*\)".*/\1/p'
}

has_role () {
	test "$(engine_role "$1")" = "$2"
}

serves () {
	complete "$1" $MODEL warm-up 2 false 2>/dev/null | grep -q '"usage"'
}

holds_lease () {
	status_of "$1" 2>/dev/null | grep -q '"holds_lease": *true'
}

lease_holder () {
	local entry
	for entry in $ENTRIES
	do
		is_running "$entry" && holds_lease "$entry" && echo "$entry"
	done | head -n 1
}

has_lease_holder () {
	test -n "$(lease_holder)"
}

# Prints the row of the plan in the store.
read_plan () {
	http -H "authorization: Bearer $KS_PLATFORM_TOKEN" \
		"http://${ADDRESS[platform]}/v1/rows?prefix=plan/" | tr -d '\\'
}

plan_number () {
	local number
	number=$(read_plan | json_number number)
	echo "${number:-0}"
}

plan_is_at_least () {
	test "$(plan_number)" -ge "$1"
}

count_role () {
	local i n=0
	for i in $(seq $N_ENGINES)
	do
		has_role "$i" "$1" && n=$((n + 1))
	done
	echo $n
}

prefill_engines_are () {
	test "$(count_role prefill)" = "$1"
}

# Polls the plan's number, which must not decrease, until $WORK/stop-watching
# exists.
watch_plan_number () {
	local last=0 now
	while test ! -e "$WORK/stop-watching"
	do
		now=$(plan_number)
		test "$now" -ge "$last" ||
			echo "$last to $now" >>"$WORK/decreased"
		last=$now
		sleep 0.2
	done
}

long_prompt () {
	printf '%*s' 40000 "" | tr ' ' "$1"
}

start_platform platform
for i in $(seq $N_ENGINES)
do
	start_engine "engine$i" --seed "$i" --change-ms 300 --checks-fencing \
		--decode-us 20000
	start_upstream "up-engine$i" "engine$i" "engine$i" "domain-$i"
done
for entry in $ENTRIES
do
	start_entry "$entry" domain-1 "role_dwell_ms: $DWELL_MS" \
		"role_change_cost: 0.05" "lease_ms: 3000"
done
write_release >"$WORK/release1.yaml"
publish "$WORK/release1.yaml" || fail "the release note was rejected"
for i in $(seq $N_ENGINES)
do
	wait_until "engine$i has its role" has_role "$i" "$(role_of "$i")"
done
for entry in $ENTRIES
do
	wait_until "$entry is ready" is_ready "$entry"
	wait_until "$entry serves the model" serves "$entry"
done

# A long prompt is prefilled on one engine and decoded on another. The response
# and its usage must be those of a single engine. The body is read from a file,
# as it is too long for an argument.
long_prompt a | sed 's/^/{"model":"lug:1","max_tokens":5,"prompt":"/
	s/$/"}/' | tee "$WORK/body" |
	http -d @- "http://${ADDRESS[engine5]}/v1/completions" >/dev/null
http -H "authorization: Bearer $API_KEY" -d "@$WORK/body" \
	"http://${ADDRESS[entry1]}/v1/completions" >/dev/null
long_prompt b | sed 's/^/{"model":"lug:1","max_tokens":5,"prompt":"/
	s/$/"}/' >"$WORK/body"
split_response=$(http -H "authorization: Bearer $API_KEY" -d "@$WORK/body" \
	"http://${ADDRESS[entry1]}/v1/completions")
direct_response=$(http -d "@$WORK/body" \
	"http://${ADDRESS[engine5]}/v1/completions")
completion_text () {
	sed -n 's/.*"text":"\([^"]*\)".*/\1/p' <<<"$1"
}
test -n "$(completion_text "$split_response")" ||
	fail "no completion: $split_response"
test "$(completion_text "$split_response")" = \
	"$(completion_text "$direct_response")" ||
	fail "the completions differ: $split_response / $direct_response"
grep -q '"prompt_tokens":10000,"completion_tokens":5' <<<"$split_response" ||
	fail "the usage is wrong: $split_response"
grep -q '"cached_tokens":0' <<<"$split_response" ||
	fail "transferred KV blocks are counted as cached: $split_response"
sum_stats () {
	local i n sum=0
	for i in $(seq $N_ENGINES)
	do
		n=$(get_json "engine$i" /stats | json_number "$1")
		sum=$((sum + n))
	done
	echo $sum
}
test "$(sum_stats prefilled)" -ge 1 ||
	fail "no prompt was prefilled for another engine"
test "$(sum_stats kv_imports)" -ge 1 || fail "no KV cache blocks were imported"

# Under a load with short prompts and long outputs, one of the prefill engines
# must change to decode.
wait_until "an entry holds the planner lease" has_lease_holder
watch_plan_number &
PID[watcher]=$!
"$BIN/bench-load" --entry "${ADDRESS[entry1]}" --entry "${ADDRESS[entry2]}" \
	--seed 1 --duration-s 28 --completions-per-s 80 --lookups-per-s 0 \
	--charges-per-s 0 --prompt-tokens 20:60 --output-tokens 30:50 \
	--api-key $API_KEY --model $MODEL >"$WORK/load.log" 2>&1 &
PID[load]=$!
wait_until "a change is planned" plan_is_at_least 1
wait_until "an engine changes its role" prefill_engines_are 1
first_number=$(plan_number)

# The entry that holds the lease is paused until the lease expires, and the
# other entry takes over.
paused_entry=$(lease_holder)
test -n "$paused_entry" || fail "no entry holds the planner lease"
other_entry=entry1
test "$paused_entry" = entry1 && other_entry=entry2
fence=$(read_plan | json_number fence)
kill -STOP "${PID[$paused_entry]}"
wait_until "$other_entry takes the planner lease" holds_lease $other_entry
kill -CONT "${PID[$paused_entry]}"
has_lost_lease () {
	status_of "$paused_entry" | grep -q '"holds_lease": *false'
}
wait_until "$paused_entry reports that it lost the lease" has_lost_lease
holds_lease $other_entry ||
	fail "$other_entry lost the lease to the former holder"
finish_load
touch "$WORK/stop-watching"
wait "${PID[watcher]}"
unset "PID[watcher]"
test ! -e "$WORK/decreased" ||
	fail "the number of the plan decreased: $(cat "$WORK/decreased")"
test "$(plan_number)" -ge "$first_number" ||
	fail "the number of the plan decreased"
test "$(read_plan | json_number fence)" -ge "$fence" ||
	fail "the former lease holder wrote the plan"
test "$(count_role prefill)" = 1 ||
	fail "the last prefill engine changed its role"
expect_none completions failed unknown

for entry in $ENTRIES
do
	stop "$entry"
done
for i in $(seq $N_ENGINES)
do
	stop "up-engine$i"
done
expect_no_conflicts
