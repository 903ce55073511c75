#!/bin/bash
# Guards against regressions in the basic requests and errors of an entry
# (streams, authentication, unknown models and routes, idempotency keys and
# metrics), and against a graceful stop of an upstream process that cuts
# requests.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

start_cluster 2

status_of () {
	http -o "$WORK/body" -w '%{http_code}' "$@"
}

# expect_error STATUS CODE CURL-OPTION...: checks status and error code.
expect_error () {
	local want=$1 code=$2 status
	shift 2
	status=$(status_of "$@")
	test "$status" = "$want" || fail "$code: status $status, not $want"
	grep -q "\"code\": *\"$code\"" "$WORK/body" ||
		fail "no code $code in $(cat "$WORK/body")"
}

url=http://${ADDRESS[entry1]}
auth="authorization: Bearer $API_KEY"
complete entry1 fitting hello 10 true | grep -q 'data: \[DONE\]' ||
	fail "a stream did not end with [DONE]"
expect_error 401 unauthorized -H 'authorization: Bearer wrong' \
	-d "$(completion_body fitting x 1 false)" "$url/v1/completions"
expect_error 404 unknown_model -H "$auth" \
	-d "$(completion_body nosuch x 1 false)" "$url/v1/completions"
expect_error 400 bad_request -H "$auth" -d '{"model":' "$url/v1/completions"
expect_error 404 unknown_route -H "$auth" "$url/nowhere"
expect_error 400 bad_request -H 'idempotency-key: undated' -d '{"value":1}' \
	"$url/checkout/charge"

key_date=$(date +%s)
# The charge is executed once and the other requests get its stored response.
for entry in entry1 entry2 entry1
do
	http -H 'idempotency-key: order-1' \
		-H "idempotency-key-date: $key_date" -d '{"value":42}' \
		"http://${ADDRESS[$entry]}/checkout/charge" |
		grep -q '"executions": *1' || fail "a charge ran twice"
done
expect_error 422 key_mismatch -H 'idempotency-key: order-1' \
	-H "idempotency-key-date: $key_date" -d '{"value":43}' \
	"$url/checkout/charge"
http "$url/metrics" | grep -q '^# TYPE' || fail "no metrics"

# A graceful stop of an upstream process with streams in progress.
start_load 3
sleep 1
stop up-engine1
finish_load
expect_none completions failed unknown
expect_none charges failed unknown
start_upstream up-engine1 engine1 engine1 domain-1
stop_cluster
