# Two voters lose their disks one after the other, and each finds its new disk
# full for two seconds.  Both got their votes again, but never stored which
# voter they are: after a restart of both, with the third one lost, there was
# no leader, and what had been acknowledged could not be read.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 1
wait_for 10 leader_name >/dev/null || give_up "no leader"
echo "tables: $(put 1 0)"
votes() { [ "$(metric_is_set "$1" quorum_voter)" -eq 1 ]; }
for n in control-1 control-2; do
    kill_hard "$n"
    rm -rf "$RUN_DIR/data/$n"
    daemon_up_with_full_disk "$n"
    sleep 2.5
    disk_has_room "$n"
    wait_for 15 votes "$n" && echo "$n votes again"
done
echo "tables: $(put 5 0)"
for n in "${CONTROLS[@]}"; do kill_hard "$n"; done
for n in control-1 control-2; do daemon_up "$n"; done
wait_for 15 reads 5 && echo "version 5 is read, with the third one lost"
echo "tables: $(put 7 0)"
