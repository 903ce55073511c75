# Functions that start the programs of a test system on loopback, poll for
# conditions and send requests. Sourced by the system tests, the examples and
# the benchmarks. BIN is the directory of the programs.
#
# Each start_* function takes a process name as its first argument and stores
# the address in ADDRESS[NAME] and the process id in PID[NAME]. A process that
# has no address yet listens on a port that the kernel chooses; one that is
# started again reuses its address. Output goes to $WORK/NAME.log.
#
# An entry is knapweedstaird in the role entry, the HTTP proxy that callers
# connect to. An upstream process is knapweedstaird in the role upstream: it
# runs next to one backend and forwards the requests of the entries to it.
# fake-engine (LLM inference) and fake-service (plain HTTP) stand in for the
# backends. fake-platform stands in for the platform's store of rows, which
# holds the published releases, the leases, and the claims on idempotency keys
# that entries write before they send a charge.

: "${BIN:=build/plain}"
BIN=$(cd "$BIN" && pwd)
WORK=$(mktemp -d)
declare -A PID ADDRESS

API_KEY=example-key
OPERATOR_TOKEN=example-operator
export KS_PLATFORM_TOKEN=example-platform
export KS_OPERATOR_TOKEN=$OPERATOR_TOKEN
WAIT_LIMIT_S=60
LINK_SETTINGS=("link_plain: true")

clean_up () {
	local pid
	for pid in "${PID[@]}"
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap clean_up EXIT

fail () {
	echo "FAILED: $*" >&2
	local log
	for log in "$WORK"/*.log
	do
		echo "--- $(basename "$log")" >&2
		tail -n 15 "$log" >&2
	done
	exit 1
}

# wait_until DESCRIPTION COMMAND...: polls until the command succeeds; fails the
# test after WAIT_LIMIT_S.
wait_until () {
	local condition=$1 start=$SECONDS
	shift
	until "$@"
	do
		test $((SECONDS - start)) -lt $WAIT_LIMIT_S ||
			fail "timed out after $WAIT_LIMIT_S s: $condition"
		sleep 0.05
	done
}

sha256 () {
	printf %s "$1" | sha256sum | cut -d ' ' -f 1
}

# has_log NAME PATTERN
has_log () {
	grep -q -- "$2" "$WORK/$1.log"
}

is_running () {
	kill -0 "${PID[$1]}" 2>/dev/null
}

has_exited () {
	! is_running "$1"
}

# launch NAME COMMAND...: starts a program and waits until it listens.
launch () {
	local name=$1
	shift
	: >"$WORK/$name.log"
	"$@" >>"$WORK/$name.log" 2>&1 &
	PID[$name]=$!
	wait_until "$name listens" listens_or_exited "$name"
	is_running "$name" || fail "$name exited before it listened"
	ADDRESS[$name]=$(sed -n 's/.*listens on \([0-9.:]*\).*/\1/p' \
		"$WORK/$name.log" | head -n 1)
}

listens_or_exited () {
	has_log "$1" "listens on" || has_exited "$1"
}

start_platform () {
	launch "$1" "$BIN/fake-platform" --listen "${ADDRESS[$1]:-127.0.0.1:0}" \
		--token "$KS_PLATFORM_TOKEN" "${@:2}"
	export PLATFORM=${ADDRESS[$1]}
}

start_engine () {
	launch "$1" "$BIN/fake-engine" --listen "${ADDRESS[$1]:-127.0.0.1:0}" \
		"${@:2}"
}

start_service () {
	launch "$1" "$BIN/fake-service" --listen "${ADDRESS[$1]:-127.0.0.1:0}" \
		"${@:2}"
}

# start_upstream NAME UPSTREAM-ID ENDPOINT-NAME DOMAIN [SETTING...]
start_upstream () {
	local name=$1 id=$2 endpoint=$3 domain=$4
	shift 4
	{
		echo "role: upstream"
		echo "name: $name"
		echo "domain: $domain"
		echo "host: host-$id"
		echo "listen: ${ADDRESS[$name]:-127.0.0.1:0}"
		echo "upstream: $id"
		echo "endpoint: ${ADDRESS[$endpoint]}"
		echo "platform: $PLATFORM"
		echo "platform_token: $KS_PLATFORM_TOKEN"
		printf '%s\n' "${LINK_SETTINGS[@]}"
		echo "poll_ms: 500"
		printf '%s\n' "$@"
	} >"$WORK/$name.yaml"
	launch "$name" "$BIN/knapweedstaird" --config "$WORK/$name.yaml"
}

# start_entry NAME DOMAIN [SETTING...]: /basket is an idempotent lookup,
# /checkout a charge that may run at most once.
start_entry () {
	local name=$1 domain=$2
	shift 2
	{
		echo "role: entry"
		echo "name: $name"
		echo "domain: $domain"
		echo "listen: ${ADDRESS[$name]:-127.0.0.1:0}"
		echo "platform: $PLATFORM"
		echo "platform_token: $KS_PLATFORM_TOKEN"
		printf '%s\n' "${LINK_SETTINGS[@]}"
		echo "poll_ms: 500"
		echo "operator_token_sha256: $(sha256 $OPERATOR_TOKEN)"
		echo "tenants:"
		echo "  - {name: shop, key_sha256: $(sha256 $API_KEY), weight: 1}"
		echo "routes:"
		echo "  - {path: /basket, method: GET, service: shop," \
			"tenant: shop, idempotent: true, timeout_ms: 5000}"
		echo "  - {path: /checkout, method: POST, service: shop," \
			"tenant: shop, idempotent: false, timeout_ms: 10000}"
		printf '%s\n' "$@"
	} >"$WORK/$name.yaml"
	launch "$name" "$BIN/knapweedstaird" --config "$WORK/$name.yaml"
}

# stop NAME: stops a process gracefully; it must exit with status 0.
stop () {
	kill -TERM "${PID[$1]}"
	wait_until "$1 has stopped" has_exited "$1"
	wait "${PID[$1]}"
	local status=$?
	test $status = 0 || fail "$1 exited with status $status"
	unset "PID[$1]"
}

# kill_now NAME: kills a process with SIGKILL.
kill_now () {
	kill -KILL "${PID[$1]}"
	wait "${PID[$1]}" 2>/dev/null
	unset "PID[$1]"
}

http () {
	curl --noproxy '*' -sS --max-time 30 "$@"
}

get_json () {
	http "http://${ADDRESS[$1]}$2"
}

# control NAME JSON: sets the fault injection of a fake program.
control () {
	http -X POST -d "$2" "http://${ADDRESS[$1]}/control" >/dev/null
}

# publish FILE: publishes a release note.
publish () {
	"$BIN/knapweedstair" --platform "$PLATFORM" release publish "$1"
}

# has_config_version ENTRY VERSION
has_config_version () {
	http -H "authorization: Bearer $OPERATOR_TOKEN" \
		"http://${ADDRESS[$1]}/internal/status" 2>/dev/null |
		grep -q "\"version\": *$2[,}]"
}

is_ready () {
	test "$(http -o /dev/null -w '%{http_code}' \
		"http://${ADDRESS[$1]}/readyz" 2>/dev/null)" = 200
}

# json_number KEY: prints the first number under KEY in the JSON on stdin.
json_number () {
	sed -n "s/.*\"$1\": *\([0-9][0-9]*\).*/\1/p" | head -n 1
}

completion_body () {
	printf '{"model":"%s","prompt":"%s","max_tokens":%s,"stream":%s}' \
		"$1" "$2" "$3" "$4"
}

# complete ENTRY MODEL PROMPT MAX_TOKENS STREAM [CURL-OPTION...]
complete () {
	local entry=$1 model=$2 prompt=$3 max=$4 stream=$5
	shift 5
	http -N -H "authorization: Bearer $API_KEY" \
		-H 'content-type: application/json' \
		-d "$(completion_body "$model" "$prompt" "$max" "$stream")" \
		"$@" "http://${ADDRESS[$entry]}/v1/completions"
}
