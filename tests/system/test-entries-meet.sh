#!/bin/bash
# Guards against gateways that announce an address at which the others cannot
# reach them, when the kernel chooses the port: none would hear of another.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/site.sh

# announced_addresses: one a line
announced_addresses () {
	curl -sS --noproxy '*' \
		"http://${ADDRESS[site]}/-/rows-get?table=entries&part=" |
		grep -o '"value": *"[^"]*"' | cut -d'"' -f4 |
		while read -r value
		do
			echo "$value" | base64 -d
			echo
		done | sed -n 's/.*"address": *"\([^"]*\)".*/\1/p'
}

both_are_announced () {
	test "$(announced_addresses | wc -l)" = 2
}

start_site_platform
start_gateway gateway1
start_gateway gateway2
wait_until "both gateways are announced" both_are_announced
for address in $(announced_addresses)
do
	(exec 3<>"/dev/tcp/${address%:*}/${address##*:}") 2>/dev/null ||
		fail "nothing listens at the announced address $address"
done
