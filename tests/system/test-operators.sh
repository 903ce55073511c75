#!/bin/bash
# The operators' command line against the fake platform: outcomes, exit codes
# and what is told to an operator who loses a race or an answer. Guards against
# a command that reports an outcome that it does not know.
set -eu

work=$(mktemp -d)
pids=()
finish () {
	for pid in "${pids[@]}"
	do
		kill "$pid" 2>/dev/null || :
	done
	rm -rf "$work"
}
trap finish EXIT

unset KS_PLATFORM_TOKEN KS_OPERATOR_TOKEN

fail () {
	echo "FAILED: $*" >&2
	exit 1
}

# start_platform: sets $platform once the fake has named its port.
start_platform () {
	"$BIN/fake-platform" --listen 127.0.0.1:0 "$@" 2>"$work/platform.err" &
	pids+=($!)
	for _ in $(seq 200)
	do
		platform=$(sed -n 's/^listens on //p' "$work/platform.err")
		test -n "$platform" && return
		sleep 0.05
	done
	fail "the fake platform did not start"
}

control () {
	curl -sf --noproxy '*' -d "$1" "http://$platform/control" >/dev/null
}

# expect CODE COMMAND...: runs the command line and checks its exit code.
expect () {
	local want=$1 got=0
	shift
	"$BIN/knapweedstair" "$@" >"$work/out" 2>"$work/err" || got=$?
	test "$got" = "$want" ||
		fail "$*: exit code $got, expected $want: $(cat "$work/out" "$work/err")"
}

output_has () {
	grep -q -- "$1" "$work/out" "$work/err" ||
		fail "expected '$1' in: $(cat "$work/out" "$work/err")"
}

# note NAME BASE ID PORT: writes a release note that adds one service.
note () {
	cat >"$work/$1.yaml" <<-EOF2
	base: $2
	note: add $3
	upstreams:
	  add:
	    - {id: $3, process: "127.0.0.1:$4", endpoint: "127.0.0.1:1",
	       host: h, domain: d, service: shop, limit: 4}
	EOF2
}

start_platform --token secret
export KS_PLATFORM_TOKEN=secret

note first 0 s1 7001
note second 1 s2 7002
note rival 1 s3 7003

expect 2
expect 2 release
expect 2 release publish
expect 2 release publish "$work/first.yaml"
expect 2 --output xml --platform "$platform" release status
expect 0 --help
output_has "release publish"
expect 0 --version
expect 0 release check "$work/first.yaml"
output_has "+ upstream s1"
expect 0 release check docs/examples/first-release.yaml
output_has "+ upstream verse-a1"

# Completion offers what the program takes.
source cli/knapweedstair.bash
COMP_WORDS=(knapweedstair --platform 1 release p) COMP_CWORD=4
_knapweedstair
test "${COMPREPLY[*]}" = publish || fail "completion: ${COMPREPLY[*]}"

expect 0 --platform "$platform" release publish "$work/first.yaml"
output_has "version 1 is published"
expect 0 --platform "$platform" release check "$work/second.yaml"
output_has "+ upstream s2"
expect 0 --platform "$platform" release publish "$work/second.yaml"
expect 3 --platform "$platform" release publish "$work/rival.yaml"
output_has "+ upstream s2 at 127.0.0.1:7002"
expect 3 --platform "$platform" --output json release publish "$work/rival.yaml"
output_has '"result": "conflict"'
expect 0 --platform "$platform" --base 2 release publish "$work/rival.yaml"
expect 0 --platform "$platform" release history
test "$(wc -l <"$work/out")" = 3 || fail "history: $(cat "$work/out")"
expect 0 --platform "$platform" release diff 1 3
output_has "+ upstream s2"
output_has "+ upstream s3"
expect 0 --platform "$platform" release show 1
output_has '"id": "s1"'
expect 1 --platform "$platform" release show 9
output_has "there is no version 9"
expect 0 --platform "$platform" release status
output_has "version 3 is the newest"

# The answer to the transaction is lost; the rows tell that it took effect.
note fourth 3 s4 7004
control '{"lose_answers":1,"lose_matching":"release/"}'
expect 0 --platform "$platform" release publish "$work/fourth.yaml"
output_has "version 4 is published"
control '{"lose_answers":0,"lose_matching":null}'

# A wrong note is refused with its line, and nothing is published.
printf 'base: 4\nupstreams:\n  change:\n    - {id: s9, limit: 1}\n' \
	>"$work/wrong.yaml"
expect 1 --platform "$platform" release publish "$work/wrong.yaml"
output_has "wrong.yaml:4: there is no upstream 's9'"

# Every operator of a race learns the truth: one publishes, the rest conflict.
racers=()
for i in 1 2 3 4
do
	note "racer$i" 4 "r$i" "800$i"
	"$BIN/knapweedstair" --platform "$platform" release publish \
		"$work/racer$i.yaml" >"$work/racer$i.out" 2>&1 &
	racers+=($!)
done
won=0 lost=0
for pid in "${racers[@]}"
do
	code=0
	wait "$pid" || code=$?
	case $code in
	0) won=$((won + 1)) ;;
	3) lost=$((lost + 1)) ;;
	*) fail "a racer ended with exit code $code" ;;
	esac
done
test "$won $lost" = "1 3" || fail "$won won and $lost lost"

# The state of a claim.
key=0191d5a0-0000-7000-8000-000000000000
hour=$((0x0191d5a00000 / 3600000))
curl -sf --noproxy '*' -H 'Authorization: Bearer secret' -X PUT \
	-d '{"state":"done"}' "http://$platform/v1/rows/claim/$hour/t1/$key"
expect 0 --platform "$platform" request status "$key" --tenant t1
output_has "^done$"
expect 1 --platform "$platform" request status "$key" --tenant t2
output_has "there is no such claim"
expect 2 --platform "$platform" request status "$key"
expect 2 --platform "$platform" request status plain-key --tenant t1

# Without the store, or without its token, nothing is claimed.
control '{"down":true}'
expect 4 --platform "$platform" release status
control '{"down":false}'
KS_PLATFORM_TOKEN=wrong expect 4 --platform "$platform" release status
printf 'secret\n' >"$work/token"
KS_PLATFORM_TOKEN=wrong expect 0 --platform "$platform" \
	--token-file "$work/token" release status

printf 'two words\n' >"$work/token"
expect 2 --platform "$platform" --token-file "$work/token" release status

# An entry that cannot be reached is reported as such.
expect 2 fleet status
expect 1 fleet status --entry 127.0.0.1:1
output_has "no status"
expect 1 --platform "$platform" --entry 127.0.0.1:1 --timeout 1 \
	release status --wait
output_has "in force in 0 of 6 processes"

echo "operators: done"
