#!/bin/bash
# usage: [TROUBLE=0] review/4/run.sh
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same runs without the disruption; see with_trouble() in
# case.c. The program ends all processes that it starts, after 110 s at the
# latest.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
test -x target/knapweedstaird && test -x target/review/case-4 || {
	echo "not built: run 'make programs BUILD=target' and review/build.sh" >&2
	exit 2
}
exec target/review/case-4 review/4
