#!/bin/bash
# Guards against roles that are not used, plans of a holder that has lost the
# planner lease, and requests that are cut while roles change.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

# The first two engines prefill, the others decode. The name of the model needs
# escaping in the row of its plan.
MODEL=lug:1
# A change must pay in each sixteenth of the dwell time, so that each needs many
# requests.
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

holder () {
	local entry
	for entry in $ENTRIES
	do
		is_running "$entry" && holds_lease "$entry" && echo "$entry"
	done | head -n 1
}

has_holder () {
	test -n "$(holder)"
}

# The row of the plan, as the table has it.
plan () {
	http -H "authorization: Bearer $KS_PLATFORM_TOKEN" \
		"http://${ADDRESS[platform]}/v1/rows?prefix=plan/" | tr -d '\\'
}

plan_number () {
	local number
	number=$(plan | json_number number)
	echo "${number:-0}"
}

plan_is_at_least () {
	test "$(plan_number)" -ge "$1"
}

n_with_role () {
	local i n=0
	for i in $(seq $N_ENGINES)
	do
		has_role "$i" "$1" && n=$((n + 1))
	done
	echo $n
}

prefill_engines_are () {
	test "$(n_with_role prefill)" = "$1"
}

# The plan's number may only grow; each look is compared with the last one.
watch_plan () {
	local last=0 now
	while test ! -e "$WORK/stop-watching"
	do
		now=$(plan_number)
		test "$now" -ge "$last" || echo "$last to $now" >>"$WORK/went-back"
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
publish "$WORK/release1.yaml" || fail "the release note was refused"
for i in $(seq $N_ENGINES)
do
	wait_until "engine$i has its role" has_role "$i" "$(role_of "$i")"
done
for entry in $ENTRIES
do
	wait_until "$entry is ready" is_ready "$entry"
	wait_until "$entry serves the model" serves "$entry"
done

# A long prompt is prefilled on one engine and decoded on another, and the
# answer and its usage are those of one engine. The body is read from a file,
# as it is too long for an argument.
alone=$(long_prompt a | sed 's/^/{"model":"lug:1","max_tokens":5,"prompt":"/
	s/$/"}/' | tee "$WORK/body" |
	http -d @- "http://${ADDRESS[engine5]}/v1/completions")
http -H "authorization: Bearer $API_KEY" -d "@$WORK/body" \
	"http://${ADDRESS[entry1]}/v1/completions" >/dev/null
long_prompt b | sed 's/^/{"model":"lug:1","max_tokens":5,"prompt":"/
	s/$/"}/' >"$WORK/body"
split=$(http -H "authorization: Bearer $API_KEY" -d "@$WORK/body" \
	"http://${ADDRESS[entry1]}/v1/completions")
again=$(http -d "@$WORK/body" "http://${ADDRESS[engine5]}/v1/completions")
text_of () {
	sed -n 's/.*"text":"\([^"]*\)".*/\1/p' <<<"$1"
}
test -n "$(text_of "$split")" || fail "no answer: $split"
test "$(text_of "$split")" = "$(text_of "$again")" ||
	fail "the split answer differs: $split / $again"
grep -q '"prompt_tokens":10000,"completion_tokens":5' <<<"$split" ||
	fail "the usage is wrong: $split"
grep -q '"cached_tokens":0' <<<"$split" ||
	fail "moved blocks are counted as cached: $split"
total () {
	local i n sum=0
	for i in $(seq $N_ENGINES)
	do
		n=$(get_json "engine$i" /stats | json_number "$1")
		sum=$((sum + n))
	done
	echo $sum
}
test "$(total prefilled)" -ge 1 || fail "no prompt was prefilled elsewhere"
test "$(total kv_imports)" -ge 1 || fail "no KV was imported"

# The mix shifts to long outputs: an engine that prefills is to decode.
wait_until "an entry holds the planner lease" has_holder
watch_plan &
PID[watcher]=$!
"$BIN/bench-load" --entry "${ADDRESS[entry1]}" --entry "${ADDRESS[entry2]}" \
	--seed 1 --duration-s 28 --completions-per-s 80 --lookups-per-s 0 \
	--charges-per-s 0 --prompt-tokens 20:60 --output-tokens 30:50 \
	--api-key $API_KEY --model $MODEL >"$WORK/load.log" 2>&1 &
PID[load]=$!
wait_until "a change is planned" plan_is_at_least 1
wait_until "an engine changes its role" prefill_engines_are 1
first=$(plan_number)

# The holder is paused beyond its lease, and the other entry takes over.
paused=$(holder)
test -n "$paused" || fail "no entry holds the planner lease"
other=entry1
test "$paused" = entry1 && other=entry2
fence=$(plan | json_number fence)
kill -STOP "${PID[$paused]}"
wait_until "$other takes the planner lease" holds_lease $other
kill -CONT "${PID[$paused]}"
has_lost_lease () {
	status_of "$paused" | grep -q '"holds_lease": *false'
}
wait_until "$paused knows that it has lost the lease" has_lost_lease
holds_lease $other || fail "$other has lost the lease to an old holder"
end_load
touch "$WORK/stop-watching"
wait "${PID[watcher]}"
unset "PID[watcher]"
test ! -e "$WORK/went-back" ||
	fail "the plan went back: $(cat "$WORK/went-back")"
test "$(plan_number)" -ge "$first" || fail "the plan went back"
test "$(plan | json_number fence)" -ge "$fence" ||
	fail "an old holder has written the plan"
test "$(n_with_role prefill)" = 1 || fail "the last engine of a role changed"
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
