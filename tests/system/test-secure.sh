#!/bin/bash
# Guards against encrypted links that do not work, against upstream processes
# that serve an entry whose key is not allowed, and against keys and tokens that
# appear in logs, status or metrics.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/cluster.sh

read -r server_public server_secret <<<"$("$BIN/fake-keys")"
read -r entry_public entry_secret <<<"$("$BIN/fake-keys")"
read -r other_public other_secret <<<"$("$BIN/fake-keys")"

upstream_keys=("link_public_key: '$server_public'"
	"link_secret_key: '$server_secret'"
	"link_allowed_keys: ['$entry_public']")
entry_keys=("link_public_key: '$entry_public'"
	"link_secret_key: '$entry_secret'"
	"link_server_key: '$server_public'")
other_keys=("link_public_key: '$other_public'"
	"link_secret_key: '$other_secret'"
	"link_server_key: '$server_public'")

N_ENGINES=1
start_platform platform
start_service service
LINK_SETTINGS=("${upstream_keys[@]}")
start_engine engine1 --seed 1 --change-ms 300 --checks-fencing
start_upstream up-engine1 engine1 engine1 domain-1
start_upstream up-service service service domain-1
LINK_SETTINGS=("${entry_keys[@]}")
start_entry entry1 domain-1
LINK_SETTINGS=("${other_keys[@]}")
start_entry entry2 domain-2
write_first_release >"$WORK/release1.yaml"
publish "$WORK/release1.yaml" || fail "the release note was rejected"
wait_for_release 1
wait_until "entry1 serves the model" serves_model entry1
wait_until "entry1 serves the shop" serves_shop entry1
! serves_model entry2 || fail "an entry with an unknown key was served"

http -H "authorization: Bearer $OPERATOR_TOKEN" \
	"http://${ADDRESS[entry1]}/internal/status" >"$WORK/status.log"
http "http://${ADDRESS[entry1]}/metrics" >"$WORK/metrics.log"
for secret in "$server_secret" "$entry_secret" "$other_secret" "$API_KEY" \
	"$OPERATOR_TOKEN" "$KS_PLATFORM_TOKEN"
do
	! grep -lF -- "$secret" "$WORK"/*.log || fail "a secret is in a log"
done
for name in entry1 entry2 up-engine1 up-service
do
	stop $name
done
