# Faults of tests/soak/soak.sh --broken-streams: releases of new versions,
# outages of the store, and gateways that are stopped, killed or cut off from the
# store. Sourced by soak.sh. With --planned, only releases whose replicas are told
# to leave, and gateways that are told to stop.

BREAK_OF_100=40
CLOSE_OF_100=85
SAME_ID_OF_100=35
MAX_ATTEMPTS=2

release=1 released=() release_pause=2
away= away_left=0 away_pause=0
cut= cut_left=0
between 10 18; away_pause=$DRAWN
declare -A ID STARTS

# draw_id NAME: a process keeps the id of the one before in a share of restarts.
draw_id () {
	STARTS[$1]=$((${STARTS[$1]:-0} + 1))
	between 1 100
	test -n "${ID[$1]:-}" -a $DRAWN -le $SAME_ID_OF_100 ||
		ID[$1]=i-$1-${STARTS[$1]}
}

# launch_replica NAME COMMAND...: does not wait for a process that has an address,
# as it listens once the store has accepted its announcement.
launch_replica () {
	local name=$1
	shift
	if test -z "${ADDRESS[$name]:-}"
	then
		launch "$name" "$@"
		return
	fi
	: >"$WORK/$name.log"
	"$@" >>"$WORK/$name.log" 2>&1 &
	PID[$name]=$!
	# A signal before that would run the script's EXIT trap in the child.
	wait_until "$name runs" runs_or_exited "$name"
}

runs_or_exited () {
	has_log "$1" "waits for the store" || has_exited "$1"
}

# Each gateway reaches the store through a relay of its own.
launch_gateway_by_relay () {
	local name=$1 site=${ADDRESS[site]}
	test -n "${ADDRESS[store-$name]:-}" ||
		launch "store-$name" "$BIN/fake-relay" --listen 127.0.0.1:0 \
			--target "$site"
	ADDRESS[site]=${ADDRESS[store-$name]}
	launch_gateway "$name"
	ADDRESS[site]=$site
}

# note_store 0|1: whether the store is disturbed
note_store () {
	echo "O - - $(date +%s%6N) $1" >>"$record"
}

# signal_store_relays SIGNAL
signal_store_relays () {
	local i
	for i in $(seq $n_gateways)
	do
		signal "store-gateway$i" "$1"
	done
}

# The same signal begins and ends an outage.
toggle_store () {
	case $away in
	silent) signal site URG ;;
	refusing) signal site USR1 ;;
	slow) signal_store_relays WINCH ;;
	esac
}

inject_outage () {
	if test -n "$away"
	then
		note_store 1
		test $((--away_left)) -le 0 || return
		toggle_store
		note_store 0
		away=
		between 14 22; away_pause=$DRAWN
	elif test $((--away_pause)) -le 0
	then
		local kinds=(silent refusing slow)
		between 0 2; away=${kinds[DRAWN]}
		between 4 10; away_left=$DRAWN
		note_store 1
		toggle_store
	fi
}

# Replaces some of the replicas, one after the other.
inject_release () {
	local i
	if test ${#released[@]} = 0
	then
		test $((--release_pause)) -le 0 || return
		release=$((release + 1))
		between 3 7; release_pause=$DRAWN
		between 1 $n_engines
		for i in $(seq $((n_engines * 3 / 4)))
		do
			released+=("engine$(((DRAWN + i) % n_engines + 1))")
		done
	fi
	NAME=${released[0]}
	! is_stopping "$NAME" || return
	released=("${released[@]:1}")
	SOFTWARE[$NAME]=v$release
	if between 0 1; test -n "$planned" -o $DRAWN = 0
	then
		stop_one
	else
		kill_one
	fi
}

# At most one gateway is cut off, and one told to stop, at a time.
inject_gateway_fault () {
	if test -n "$cut"
	then
		test $((--cut_left)) -gt 0 || {
			signal "store-$cut" CONT
			excuse "$cut"
			cut=
		}
	fi
	between 0 15
	case $DRAWN in
	0) test -n "$planned" && return
		test -n "$cut" || {
			draw_gateway
			cut=$NAME
			between 2 6; cut_left=$DRAWN
			signal "store-$cut" STOP
		} ;;
	1) draw_gateway; test -n "$planned" || kill_one ;;
	2) test ${#stopping[@]} -gt 2 || { draw_gateway; stop_one; } ;;
	esac
	local name
	for name in $cut "${stopping[@]}" "${killed[@]}"
	do
		excuse "$name"
	done
}

inject_broken_streams () {
	inject_release
	inject_gateway_fault
	test -n "$planned" || inject_outage
	between 0 5
	test $DRAWN != 0 || signal site USR2
}
