#!/bin/bash
# Guards against upstreams whose bytes, without end or without more to come, use up the
# memory of a gateway.
set -u
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/site.sh
. tests/system/memory.sh

start_site_platform
start_gateway gateway1
for pattern in ${PATTERNS:-unread:/follow/fault-events \
	unread:/advise/fault-events /advise/fault-event \
	/book/fault-error-body /read/fault-interim-fields \
	/follow/fault-fields /follow/fault-trailer \
	/follow/fault-many-fields /follow/fault-event-id \
	/follow/fault-half-event /follow/fault-short-chunks}
do
	run_crowd gateway1 "$pattern" 100
done

# The process checks at its end that its account is empty.
stop gateway1
