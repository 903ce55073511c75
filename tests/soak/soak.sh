#!/bin/bash
# usage: tests/soak/soak.sh [--planned] [--many] [--timed] [--returns] [--crashing]
#                          [--limited] [--repeating] [--versions] [--paused]
#                          [--broken-streams] SEED SECONDS
#
# Runs gateways, replicas, a store and callers as separate processes and injects
# faults, drawn from SEED, from outside: signals to the processes, and relays
# that lose or refuse connections. Fails if a caller or a replica saw a rule
# broken, see soak-callers.c, or if a process ended by itself. With --planned, only
# restarts by SIGTERM, leaving replicas and new configurations; with --many, as many
# processes as the limits of a small machine bear; with --timed, rules with a time
# bound are checked as well, for a machine without other load. With --returns, the
# store also returns from older copies of itself. With --crashing, a part of some
# prompts crashes replicas; besides, only planned changes. How many requests with it
# arrive after the first crashes is checked with --timed. With --limited, replicas
# state limits on the requests of all gateways; whether they are kept is checked with
# --timed. With --repeating, a request of plain services that comes again crashes
# them; besides, only planned changes. With --versions, replicas have two versions of
# their software, three after restarts by faults, and callers break streams off and
# resume them at any gateway. With --paused, which is no planned change, a gateway
# stands still in each round, and some have just been told to stop. With
# --broken-streams, as with --versions, but replicas break streams off, and the
# faults are those of broken.sh.
# SOAK_KEEP names a directory that gets
# the logs of a run that failed. SOAK_SECOND is how many of 100 answers a faulty
# replica gives twice, 40 by default, and SOAK_NAMED how many of 3 of these have
# the id of their request, 2 by default.
set -u

usage () {
	sed -n '2,4s/^# *//p' "$0" >&2
	exit 2
}

planned= many= timed= returns= crashing= limited= repeating= versions= paused=
broken=
while [[ ${1:-} == --* ]]
do
	case $1 in
	--planned) planned=--planned ;;
	--many) many=yes ;;
	--timed) timed=--timed ;;
	--returns) returns=yes ;;
	--crashing) crashing=--crashing ;;
	--limited) limited=yes ;;
	--repeating) repeating=--repeating ;;
	--versions) versions=--versions ;;
	--paused) paused=yes ;;
	--broken-streams) broken=--broken-streams versions=--versions ;;
	*) usage ;;
	esac
	shift
done
test $# = 2 || usage
test -z "$paused" -o -z "$planned" || usage
[[ $1 =~ ^[0-9]+$ && $2 =~ ^[1-9][0-9]*$ ]] || usage
seed=$1 seconds=$2
cd "$(dirname "$0")/../.."
. tests/system/lib.sh
. tests/system/site.sh
RANDOM=$seed
record=$WORK/runs
: >"$record"

# between LOW HIGH: sets DRAWN, as a subshell would not advance RANDOM.
between () {
	DRAWN=$(($1 + RANDOM % ($2 - $1 + 1)))
}

if test -n "$many"
then
	n_gateways=40 n_apps=12 n_engines=60 n_callers=300
else
	between 2 4; n_gateways=$DRAWN
	between 2 4; n_apps=$DRAWN
	between 3 6; n_engines=$DRAWN
	between 16 48; n_callers=$DRAWN
fi
between 5 60; work_ms=$DRAWN
test -z "$versions" -o $n_engines -ge 4 || n_engines=4
if test -n "$broken"
then
	n_engines=8
	between 6 8; n_gateways=$DRAWN
	. tests/soak/broken.sh
fi

declare -A SOFTWARE

# draw_software NAME: with --versions, so that each version has two replicas
# unless faults happen.
draw_software () {
	local number=${1##*[a-z]}
	test -n "$versions" -a -z "$broken" || return
	if test -z "${SOFTWARE[$1]:-}" || test -n "$planned"
	then
		SOFTWARE[$1]=v$((number % 2 + 1))
	else
		between 1 3; SOFTWARE[$1]=v$DRAWN
	fi
}

# start_replica NAME SERVICE [STAGE]: on the address of an earlier process of
# this name, if there was one. Every third replica is behind a relay.
start_replica () {
	local name=$1 service=$2 stage=${3:-}
	local launch=launch more=()
	draw_software "$name"
	if test -n "$broken" -a "$service" = llm
	then
		launch=launch_replica
		draw_id "$name"
		more=(--id "${ID[$name]}" --break-of-100 $BREAK_OF_100
			--close-of-100 $CLOSE_OF_100)
	fi
	$launch "$name" "$BIN/soak-replica" \
		--listen "${ADDRESS[$name]:-127.0.0.1:0}" \
		--store "${ADDRESS[site]}" --service "$service" \
		${stage:+--stage "$stage"} --record "$record" \
		--software "${SOFTWARE[$name]:-v1}" \
		--work-ms "$work_ms" --slots 6 --seed $((seed + ++started)) \
		${SOAK_SECOND:+--second-of-100 "$SOAK_SECOND"} \
		${SOAK_NAMED:+--named-of-3 "$SOAK_NAMED"} \
		${ADDRESS[relay-$name]:+--announce "${ADDRESS[relay-$name]}"} \
		"${more[@]}"
}

# A relay needs the address of its target, which needs that of the relay.
start_relayed_replica () {
	local name=$1
	start_replica "$@"
	launch "relay-$name" "$BIN/fake-relay" --listen 127.0.0.1:0 \
		--target "${ADDRESS[$name]}"
	kill -KILL "${PID[$name]}"
	wait "${PID[$name]}" 2>/dev/null
	start_replica "$@"
}

restart_replica () {
	case $1 in
	app*) start_replica "$1" app ;;
	*) start_replica "$1" llm decode ;;
	esac
}

# signal NAME SIGNAL
signal () {
	kill -"$2" "${PID[$1]}" 2>/dev/null
}

# excuse NAME: a gateway that was disturbed need not know what it was told.
excuse () {
	case $1 in
	gateway*) echo "X ${1#gateway} ${1#gateway} $(date +%s%6N) 0" \
		>>"$record" ;;
	esac
}

# freeze NAME: for 0.2 to 3 s
freeze () {
	local pid=${PID[$1]}
	between 2 30
	excuse "$1"
	kill -STOP "$pid" 2>/dev/null
	{ sleep "$((DRAWN / 10)).$((DRAWN % 10))"; kill -CONT "$pid"; } \
		2>/dev/null &
}

ended=

# report_end NAME STATUS: a process ended, and nothing told it to end so.
report_end () {
	local how="exit status $2"
	test "$2" -le 128 || how=SIG$(kill -l $(($2 - 128)))
	echo "violation ENDED $1 by $how" | tee -a "$WORK/ended.out"
	ended=yes
}

# reap NAME: waits for a process that was told to end; it may be frozen.
reap () {
	kill -CONT "${PID[$1]}" 2>/dev/null
	wait "${PID[$1]}" 2>/dev/null
	local status=$?
	case $1 in
	gateway*) test $status = 0 || report_end "$1" $status ;;
	esac
}

killed=() stopping=()
launch_gateway=launch_gateway
test -z "$broken" || launch_gateway=launch_gateway_by_relay

# Finds the processes that have ended by themselves. Replicas may crash on a
# request with --crashing and --repeating.
check_ends () {
	local name names
	names="site $(seq -s ' ' -f gateway%g $n_gateways)"
	test -n "$crashing$repeating" || names="$names $(
		seq -s ' ' -f engine%g $n_engines) $(seq -s ' ' -f app%g $n_apps)"
	for name in $names
	do
		! is_stopping $name && has_exited $name || continue
		test $name != site -o -z "$ended" || continue
		wait "${PID[$name]}" 2>/dev/null
		report_end $name $?
		test $name = site || killed+=($name)
	done
}

# Notes the replicas that have crashed on a request.
find_crashed () {
	local name
	for name in $(seq -f engine%g $n_engines) $(seq -f app%g $n_apps)
	do
		! is_stopping $name && has_exited $name || continue
		reap $name
		killed+=($name)
	done
}

# Starts the processes again that were killed or have stopped.
start_again () {
	local name rest=()
	for name in "${killed[@]}"
	do
		excuse "$name"
		cat "$WORK/$name.log" >>"$WORK/$name-before.log"
		case $name in
		gateway*) $launch_gateway "$name" ;;
		*) restart_replica "$name" ;;
		esac
	done
	killed=()
	for name in "${stopping[@]}"
	do
		if has_exited "$name"
		then
			reap "$name"
			killed+=("$name")
		else
			rest+=("$name")
		fi
	done
	stopping=("${rest[@]}")
}

is_stopping () {
	local name
	for name in "${stopping[@]}" "${killed[@]}"
	do
		test "$name" = "$1" && return 0
	done
	return 1
}

draw_gateway () {
	between 1 $n_gateways; NAME=gateway$DRAWN
}

draw_replica () {
	if between 0 1; test $DRAWN = 0
	then
		between 1 $n_apps; NAME=app$DRAWN
	else
		between 1 $n_engines; NAME=engine$DRAWN
	fi
}

stop_one () {
	is_stopping "$NAME" && return
	excuse "$NAME"
	signal "$NAME" TERM
	stopping+=("$NAME")
}

kill_one () {
	is_stopping "$NAME" && return
	excuse "$NAME"
	signal "$NAME" KILL
	wait "${PID[$NAME]}" 2>/dev/null
	killed+=("$NAME")
}

inject_planned () {
	between 0 3
	case $DRAWN in
	0) test ${#stopping[@]} = 0 && draw_gateway && stop_one ;;
	1) test ${#stopping[@]} = 0 && draw_replica && stop_one ;;
	*) signal site USR2 ;;
	esac
}

inject_fault () {
	between 0 17
	case $DRAWN in
	0) draw_gateway; freeze "$NAME" ;;
	1) draw_gateway; kill_one ;;
	2) draw_replica; freeze "$NAME" ;;
	3) draw_replica; kill_one ;;
	4|5|6|7|8) draw_replica; signal "$NAME" USR1 ;;
	9) freeze site ;;
	10) signal site USR1 ;;
	11) between 1 ${#relays[@]}; signal "${relays[DRAWN - 1]}" USR1 ;;
	12) between 1 ${#relays[@]}; signal "${relays[DRAWN - 1]}" USR2 ;;
	13|14) between 1 ${#relays[@]}; signal "${relays[DRAWN - 1]}" HUP ;;
	15|16) between 1 ${#relays[@]}; signal "${relays[DRAWN - 1]}" WINCH ;;
	17) between 1 ${#relays[@]}; signal "${relays[DRAWN - 1]}" URG ;;
	esac
}

# The store does not return more often than about once in a second.
inject_return () {
	between 0 4
	test $DRAWN != 0 || signal site HUP
}

# A limit lasts for some seconds on average.
inject_limit () {
	between 0 9
	test $DRAWN = 0 || return
	draw_replica
	is_stopping "$NAME" || signal "$NAME" USR2
}

inject_pause () {
	draw_gateway
	if between 0 2; test $DRAWN = 0
	then
		stop_one
	fi
	freeze "$NAME"
}

started=0
relays=()
launch site "$BIN/soak-store" ${broken:+--max-attempts $MAX_ATTEMPTS}
for i in $(seq $n_apps)
do
	if test $((i % 3)) = 2
	then
		start_relayed_replica app$i app
		relays+=("relay-app$i")
	else
		start_replica app$i app
	fi
done
for i in $(seq $n_engines)
do
	if test $((i % 3)) = 2 -a -z "$broken"
	then
		start_relayed_replica engine$i llm decode
		relays+=("relay-engine$i")
	else
		start_replica engine$i llm decode
	fi
done
gateways=
for i in $(seq $n_gateways)
do
	$launch_gateway gateway$i
	wait_until "gateway$i has a configuration" \
		has_log gateway$i "configuration in force"
	gateways=$gateways${gateways:+,}${ADDRESS[gateway$i]}
done

# Replicas cut answers as well then.
callers_planned=$planned
test -z "$broken" || callers_planned=
"$BIN/soak-callers" --gateways "$gateways" --record "$record" \
	--seconds "$seconds" --callers $n_callers --seed "$seed" $callers_planned $timed \
	$crashing $repeating $versions $broken \
	>"$WORK/callers.out" 2>&1 &
callers=$!

# Faults come in series, and a series may begin before the last one is over.
while kill -0 $callers 2>/dev/null && test $SECONDS -lt $((seconds + 30))
do
	between 1 4
	for _ in $(seq $DRAWN)
	do
		test -n "$broken" || inject_planned
		test -n "$planned$crashing$repeating$broken" || inject_fault
		test -z "$returns" || inject_return
		test -z "$limited" || inject_limit
	done
	test -z "$paused" || inject_pause
	test -z "$broken" || inject_broken_streams
	between 2 9
	sleep 0.$DRAWN
	test -z "$crashing$repeating" || find_crashed
	check_ends
	start_again
done
wait $callers
status=$?
check_ends
test -z "$ended" || status=1
grep -v '^violation' "$WORK/callers.out" | sed "s/^/seed=$seed /"
grep '^violation' "$WORK/callers.out" | head -n 20
if test $status != 0 && test -n "${SOAK_KEEP:-}"
then
	mkdir -p "$SOAK_KEEP/$seed"
	cp "$WORK"/*.log "$WORK/runs" "$WORK/callers.out" "$SOAK_KEEP/$seed"
fi
exit $status
