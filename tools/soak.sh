#!/usr/bin/env bash
# Random faults for MINUTES from SEED; the ledgers are checked at the end.
# The same seed gives the same schedule, printed before it is carried out.
#
#     tools/soak.sh SEED MINUTES
set -u
cd "$(dirname "$0")/.."
SEED=${1:-1}
MINUTES=${2:-10}
RUN_NAME=soak-$SEED
. tests/script/lib.sh

TARGET_COUNT=14
BUSY_S=4 # between two faults, about

# Print the schedule: "SECOND FAULT ARGUMENT NUMBER" a line.
schedule() {
    python3 - "$SEED" "$((MINUTES * 60 - 30))" "$BUSY_S" "$TARGET_COUNT" \
        "${#DAEMONS[@]}" "${#ZONES[@]}" <<'END'
import random
import sys

seed, end, busy, targets, daemons, zones = map(int, sys.argv[1:])
draw = random.Random(seed)
kinds = {
    "entry_kill": daemons, "entry_stop": daemons, "peer_loss": daemons,
    "peer_break": daemons, "zone_cut": zones, "target_drain": targets,
    "target_kill": targets, "forget": targets, "misbehave": targets,
    "slow": targets, "edit": 5,
}
at = 5
while at < end:
    kind = draw.choice(sorted(kinds))
    print(at, kind, draw.randrange(kinds[kind]), draw.randrange(1000000))
    at += 1 + draw.randrange(2 * busy)
END
}

back_later() { # SECONDS COMMAND...
    local at=$(($(date +%s) + $1))
    shift
    LATER+=("$at $*")
}

run_later() {
    local kept=() entry now
    now=$(date +%s)
    for entry in "${LATER[@]:-}"; do
        [ -n "$entry" ] || continue
        if [ "${entry%% *}" -le "$now" ]; then
            eval "${entry#* }"
        else
            kept+=("$entry")
        fi
    done
    LATER=("${kept[@]:-}")
}

target_again() { # NAME
    INCARNATION=$((INCARNATION + 1))
    target_start "$1" fieldline "${ZONES[$((${1##*-} % ZONE_COUNT))]}" \
        --service-ms 30 --incarnation "$INCARNATION"
}

fault_entry_kill() {
    local name=${DAEMONS[$1]}
    is_running "$name" || return
    entry_dies "$name"
    back_later 6 entry_returns "$name"
}

fault_entry_stop() {
    local name=${DAEMONS[$1]}
    is_running "$name" || return
    kill -TERM "${PID[$name]}"
    # The platform takes a stopping daemon out of the fabric after 1 s.
    (sleep 1; ctl fabric gone "${IP[$name]}:6081" >/dev/null) &
    back_later 10 daemon_again "$name"
}

daemon_again() {
    wait_for 10 not is_running "$1" || echo "$1 has not ended in 20 s"
    entry_returns "$1"
}

fault_target_drain() {
    local name=fieldline-$(($1 + 1))
    is_running "$name" || return
    ctl "$name" state draining >/dev/null
    back_later 12 "ctl $name state ready >/dev/null"
}

fault_target_kill() {
    local name=fieldline-$(($1 + 1))
    is_running "$name" || return
    kill_hard "$name"
    DEAD+=(--dead "${IP[$name]}")
    back_later 8 target_again "$name"
}

fault_zone_cut() {
    zone_cut "${ZONES[$1]}"
    back_later 8 zones_heal
}

# Only between daemons: no balancer can take back a doubling behind it.
fault_peer_loss() {
    local z
    for z in "${!ZONES[@]}"; do
        ctl fabric "fault ${IP[${DAEMONS[$1]}]} 127.$B.$((z + 1)).*" \
            "loss=20 reorder=20 double=5" >/dev/null
    done
    back_later 6 zones_heal
}

fault_peer_break() {
    ctl fabric "break ${IP[${DAEMONS[$1]}]}" \
        "${IP[${DAEMONS[$((($1 + 1) % ${#DAEMONS[@]}))]}]}" >/dev/null
}

fault_edit() {
    edit pool set "soak-$(($2 % 5))" --prefer balance
}

fault_forget() {
    local name=fieldline-$(($1 + 1))
    is_running "$name" && ctl "$name" forget 2 >/dev/null
}

fault_misbehave() {
    local name=fieldline-$(($1 + 1))
    is_running "$name" || return
    ctl "$name" mode shed=20 late=10 double=20 cross=10 >/dev/null
    ctl "$name" endpoint load frozen >/dev/null
    back_later 6 "is_running $name && ctl $name clear >/dev/null"
}

fault_slow() {
    local name=fieldline-$(($1 + 1))
    is_running "$name" || return
    ctl "$name" mode service-ms=400 >/dev/null
    back_later 6 "is_running $name && ctl $name clear >/dev/null"
}

LATER=() DEAD=() INCARNATION=1
layout_fiji
ZONE_COUNT=${#ZONES[@]}
schedule >"$RUN_DIR/schedule.txt"
cat "$RUN_DIR/schedule.txt"
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline "$TARGET_COUNT" --service-ms 30
traffic_start fieldline 0 500 10 60 --stall-ms 40000
BEGUN=$(date +%s)
while read -r at fault argument other; do
    while [ "$(($(date +%s) - BEGUN))" -lt "$at" ]; do
        run_later
        sleep 0.2
    done
    echo "$at s: $fault $argument" >&2
    "fault_$fault" "$argument" "$other"
done <"$RUN_DIR/schedule.txt"
while [ ${#LATER[@]} -gt 0 ] && [ -n "${LATER[0]}" ]; do
    run_later
    sleep 0.2
done
sleep 10
callers_stop
# Calls whose daemon was killed may end unknown, and a new flow may be refused
# while a zone is cut off; both are seen by the caller.
check_ledger --min-streams 500 --min-answers 100 --allow-unknown 200 \
    --allow-refused 100 \
    "${DEAD[@]}"
status=$?
tail -n 40 "$RUN_DIR/check-ledger.log"
exit $status
