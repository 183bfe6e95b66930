# The disks of four control daemons are full for three seconds each, one after
# the other, while tables and targets change: each change is taken in time, also
# after the last disk has room again, and none is lost when all are killed.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 4 2
hosts_start 6
fleet_serves 1
version=1
change() { # WHAT: two changes of the tables
    local i
    for i in 1 2; do
        version=$((version + 1))
        [ "$(put $version $((version % 4)))" = acked ] ||
            echo "$1: version $version is not acknowledged"
    done
}
for n in "${CONTROLS[@]}"; do
    disk_full "$n"
    change "$n is full"
    sleep 1.5
    change "$n is full"
    sleep 1.5
    disk_has_room "$n"
    sleep 0.2
done
change "all have room"
side host 7 feeds z1 "127.$B.7.7:8283" >/dev/null
side drain 1 >/dev/null
followed() { # NAME
    status_of "$1" | python3 -c 'import json, sys
state = {row["address"].split(".")[3]: row["state"]
         for row in json.load(sys.stdin)["targets"]}
sys.exit(0 if (state.get("7"), state.get("1")) == ("ready", "draining") else 1)'
}
wait_for 10 followed entry-1 && wait_for 10 followed entry-2 &&
    echo "targets that come and leave are followed"
wait_for 10 reads $version && echo "the newest version is read"
mark
wait_for 10 served 100 && echo served
for n in "${CONTROLS[@]}"; do kill_hard "$n"; done
for n in "${CONTROLS[@]}"; do daemon_up "$n"; done
wait_for 15 reads $version && echo "also after the death of all"
change "restarted"
promises
