# Voters die, lose their disks and are replaced by standbys; tables that were
# acknowledged stay, and no read is older.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 4 2
hosts_start 6
fleet_serves 1
leader=$(leader_name)
[ -n "$leader" ] && echo "a leader"
kill_hard "$leader"
put 5 4
wait_for 10 reads 5 && echo "version 5 is read"
put 3 9
reads 5 && echo "an older version changes nothing"
rm -rf "$RUN_DIR/data/$leader"
daemon_up "$leader"
voters() { # how many daemons are voters
    local n count=0
    for n in "${CONTROLS[@]}"; do
        count=$((count + $(metric_is_set "$n" quorum_voter)))
    done
    echo "$count"
}
three_voters() { [ "$(voters)" -eq 3 ]; }
wait_for 10 three_voters && echo "three voters again"
second=$(leader_name)
kill_hard "$second"
put 7 2
wait_for 10 reads 7 && echo "version 7 is read"
daemon_up "$second"
for n in 1 2 3 4; do kill_hard "control-$n"; done
mark
wait_for 10 served 100 && echo "served without any control daemon"
for n in 1 2 3 4; do daemon_up "control-$n"; done
wait_for 15 reads 7 && echo "version 7 is read after the death of all"
put 9 1
promises
