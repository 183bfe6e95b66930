# Steps of scripted runs over a fleet: control and entry daemons as separate
# processes with settings files, and the stand-in cookie_side for the router,
# the hosts and the callers.  Sourced after lib.sh.
#
#   127.B.5.N  control daemon N (zone zN)    127.B.7.N  host N
#   127.B.6.N  entry daemon N                127.B.8.1  callers
#
# shellcheck shell=bash
FLEET_PORT=8172   # of packets; READY, CALLS and the inner ports follow
READY_PORT=8167
CALLS_PORT=8166
INNER_PORT=7720
CONTROLS=() ENTRIES=()

address_of() { # NAME: control-N or entry-N
    case $1 in
    control-*) echo "127.$B.5.${1#control-}" ;;
    entry-*) echo "127.$B.6.${1#entry-}" ;;
    esac
}

# Write the settings of daemon NAME; FIRST says whether the fleet is new.
settings_write() { # NAME FIRST
    local name=$1 first=$2 ip number seeds= n listen data=null
    ip=$(address_of "$name")
    number=${name##*-}
    for n in "${SEED_NUMBERS[@]}"; do
        seeds+="${seeds:+,}\"127.$B.5.$n:$CALLS_PORT\""
    done
    listen="\"control\":\"$ip:$CALLS_PORT\""
    if [[ $name == entry-* ]]; then
        listen="\"datagram_addr\":\"$ip:$FLEET_PORT\","
        listen+="\"readiness_addr\":\"$ip:$READY_PORT\""
    else
        data="\"$RUN_DIR/data/$name\""
        mkdir -p "$RUN_DIR/data/$name"
    fi
    cat >"$RUN_DIR/$name.json.new" <<END
{"node_name":"$name","ip":"$ip","zone":"${ZONE_PREFIX:-}z$(((number - 1) % 3 + 1))",
"listen":{$listen},"internal_ports":[$INNER_PORT,$((INNER_PORT + 15))],
"seeds":[$seeds],"bootstrap":$first,"data_dir":$data,"heartbeat_ms":300,
"limits":{"link_mbps":1000},"fault_tolerance":{"machines":1},
"bounds":{"grace_s":6}}
END
    mv "$RUN_DIR/$name.json.new" "$RUN_DIR/$name.json"
}

daemon_up() { # NAME [FIRST]
    settings_write "$1" "${2:-false}"
    if [ -n "${SPANS:-}" ]; then
        export PARSLEYSPUR_SPAN_FILE=$RUN_DIR/$1.spans
        export PARSLEYSPUR_SPAN_SAMPLE=1
    fi
    # shellcheck disable=SC2086
    PARSLEYSPUR_NODE_FILE=$RUN_DIR/$1.json start "$1" ${WRAP:-} "$BIN" "${1%-*}"
}

# A limit on the size of a file stands for a full disk; the daemon's log is not
# written meanwhile either.
FULL_DISK="--fsize=1:unlimited"

daemon_up_with_full_disk() { # NAME [FIRST]
    WRAP="prlimit $FULL_DISK" daemon_up "$@"
}

disk_full() { # NAME
    prlimit --pid "${PID[$1]}" $FULL_DISK
}

disk_has_room() { # NAME
    prlimit --pid "${PID[$1]}" --fsize=unlimited:unlimited
}

# A fleet of C control and E entry daemons; the first three are the seeds.
fleet_start() { # C E
    local n args=()
    SEED_NUMBERS=(1 2 3)
    for n in $(seq "$1"); do
        CONTROLS+=("control-$n")
        args+=(--control "127.$B.5.$n:$CALLS_PORT")
    done
    for n in $(seq "$2"); do
        ENTRIES+=("entry-$n")
        args+=(--entry "127.$B.6.$n:$FLEET_PORT,127.$B.6.$n:$READY_PORT")
    done
    for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        daemon_up "$n" true
    done
    CONTROL[side]=127.$B.8.2
    UV_THREADPOOL_SIZE=16 start side "$STANDINS/cookie_side" \
        --listen "127.$B.8.2:$CONTROL_PORT" \
        --callers "127.$B.8.1:$FLEET_PORT" --route 198.18.0.1 "${args[@]}"
    wait_for 10 port_open "127.$B.8.2" "$CONTROL_PORT" ||
        give_up "the stand-in does not listen"
}

metrics_of() { # NAME: the text of its metrics; nothing if it does not answer
    python3 - "http://$(address_of "$1"):$((INNER_PORT + 1))/metrics" <<'P'
import sys, urllib.request
try:
    sys.stdout.write(
        urllib.request.urlopen(sys.argv[1], timeout=1).read().decode())
except OSError:
    pass
P
}

status_of() { # NAME: its status as JSON
    "$BIN" status --fleet "http://$(address_of "$1"):$((INNER_PORT + 1))" --json
}

metric_is_set() { # NAME METRIC: 1 if it is above 0
    metrics_of "$1" | awk -v metric="parsleyspur_$2" \
        '$1 == metric && $2 > 0 { set = 1 } END { print set + 0 }'
}

# Lines that describe a metric which was described before.
described_twice() { # NAME
    metrics_of "$1" | grep -E '^# (HELP|TYPE)' | cut -d' ' -f2,3 | sort |
        uniq -d
}

side() { # COMMAND...
    ctl side "$@"
}

control_addresses() {
    printf "127.$B.5.%s:$CALLS_PORT\n" "${CONTROLS[@]#control-}"
}

put() { # VERSION EXTRA
    # shellcheck disable=SC2046
    python3 "$ROOT/tests/script/fleet_operator.py" put "$1" "$2" \
        $(control_addresses)
}

zone() { # empty|restore ZONE
    # shellcheck disable=SC2046
    python3 "$ROOT/tests/script/fleet_operator.py" "$1" "${ZONE_PREFIX:-}$2" \
        $(control_addresses)
}

versions() {
    # shellcheck disable=SC2046
    python3 "$ROOT/tests/script/fleet_operator.py" read $(control_addresses) |
        sort -u | tr '\n' ' ' | sed 's/ $//'
}

reads() { # VERSION: every control daemon that answers has it, and one does
    [ "$(versions)" = "$1" ]
}

hosts_start() { # COUNT: every third serves books
    local n service
    for n in $(seq "$1"); do
        service=feeds
        [ $((n % 3)) -eq 0 ] && service=books
        side host "$n" "${SERVICE_PREFIX:-}$service" \
            "${ZONE_PREFIX:-}z$(((n - 1) % 3 + 1))" "127.$B.7.$n:8283" >/dev/null
    done
}

count_of() { # KEY
    side counts | tr ' ' '\n' | sed -n "s/^$1=//p"
}

served() { # NUMBER more requests than at the last `mark`
    [ "$(count_of served)" -ge $((MARK + $1)) ]
}

mark() {
    MARK=$(count_of served)
}

# What must never happen, as the hosts and callers saw it.
promises() {
    local key
    for key in reset_open mixed wrong_pool drained ran_twice; do
        echo "$key $(count_of $key)"
    done
}

leading() { # NAME
    grep -q . "$RUN_DIR/$1.log" && [ "$(
        grep '"event":"quorum-role"' "$RUN_DIR/$1.log" | tail -1 |
            grep -c '"role":"leader"'
    )" -eq 1 ]
}

leader_name() {
    local n
    for n in "${CONTROLS[@]}"; do
        is_running "$n" && leading "$n" && echo "$n" && return
    done
    return 1
}

fleet_serves() { # VERSION
    [ "$(put "$1" 3)" = acked ] || give_up "tables not acknowledged"
    side flows 40 >/dev/null
    MARK=0
    wait_for 20 served 200 || give_up "no requests are served"
}
