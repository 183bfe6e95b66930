# A zone is emptied and restored: no new flow reaches its hosts, through the
# death of the leader, a lost disk and the restart of everything.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 3
hosts_start 9
fleet_serves 1
emptied_on_all() { # COUNT: as each entry daemon that runs has it
    local n
    for n in "${ENTRIES[@]}"; do
        metrics_of "$n" | grep -qx "parsleyspur_zones_emptied $1" || return 1
    done
}
# Hosts of zone 1, as they stand in the logs.
hosts_of_zone() {
    status_of entry-1 | python3 -c 'import json, sys
for row in json.load(sys.stdin)["targets"]:
    if int(row["address"].split(".")[3].split(":")[0]) % 3 == 1:
        print(row["target"])'
}
# New flows that the entry daemons gave to these hosts since their logs had the
# length that `mark_logs` noted.
mark_logs() {
    local n
    for n in "${ENTRIES[@]}"; do
        wc -l <"$RUN_DIR/$n.log" >"$RUN_DIR/$n.mark"
    done
}
placed() {
    local n
    for n in "${ENTRIES[@]}"; do
        tail -n "+$(($(cat "$RUN_DIR/$n.mark") + 1))" "$RUN_DIR/$n.log" |
            grep '"reason":"placed"'
    done
}
placed_in_zone() {
    placed | grep -c -F -f <(hosts_of_zone | sed 's/.*/"target":"&"/')
}
FLOWS=40
more_flows() { # callers open 20 more flows
    mark_logs
    mark
    FLOWS=$((FLOWS + 20))
    side flows $FLOWS >/dev/null
    wait_for 10 served 200 && wait_for 10 ten_placed
}
ten_placed() { [ "$(placed | wc -l)" -ge 10 ]; }
no_new_flows() { # WHAT
    more_flows && echo "$1: served"
    echo "$1: $(placed_in_zone) new flows in the zone"
}
zone empty z9
zone empty z1
wait_for 5 emptied_on_all 1 && echo "in force on all"
no_new_flows emptied
zone empty z1
leader=$(leader_name)
kill_hard "$leader"
rm -rf "$RUN_DIR/data/$leader"
daemon_up "$leader"
zone empty z2
wait_for 5 emptied_on_all 2 && echo "two zones"
zone restore z2
wait_for 5 emptied_on_all 1 && echo "one again"
no_new_flows "leader lost"
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do kill_hard "$n"; done
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do daemon_up "$n"; done
wait_for 15 emptied_on_all 1 && echo "in force after a restart of everything"
no_new_flows restarted
zone restore z1
wait_for 5 emptied_on_all 0 && echo "restored"
more_flows
[ "$(placed_in_zone)" -gt 0 ] && echo "new flows in the zone again"
promises
