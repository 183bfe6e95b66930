# Announcements of another writer, for a pool that no tables name, at the
# addresses of living hosts: before the first tables, and at a control daemon
# that has just started and holds no tables yet.  They ended the hosts: no
# request was served, and open flows were reset.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
writer() { # SECONDS NAME...: one announcement for each host, again and again
    python3 - "$B" "$CALLS_PORT" "$@" <<'P'
import json, sys, time, urllib.error, urllib.request

block, port, seconds, names = sys.argv[1], sys.argv[2], float(sys.argv[3]), sys.argv[4:]
born, end, sequence, taken = int(time.time() * 1000), time.monotonic() + seconds, 0, 0
while time.monotonic() < end:
    for host in range(1, 7):
        sequence += 1
        body = json.dumps({
            "service": "unheard-of", "address": f"127.{block}.7.{host}:8283",
            "zone": "z1", "version": "v1", "slots": 2, "state": "ready",
            "warmup_left_ms": 0, "seq": sequence, "born": born}).encode()
        for name in names:
            address = f"127.{block}.5.{name.split('-')[1]}:{port}"
            try:
                urllib.request.urlopen(urllib.request.Request(
                    f"http://{address}/v1/Instances.Heartbeat/i-ee{host:02x}",
                    data=body), timeout=1)
                taken += 1
            except OSError:
                pass
    time.sleep(0.02)
print("taken" if taken else "none taken", file=sys.stderr)
P
}
fleet_start 4 2
hosts_start 6
wait_for 10 leader_name >/dev/null || give_up "no leader"
sleep 1
writer 1 "${CONTROLS[@]}"
fleet_serves 1 && echo "served"
standby() { # the control daemon that does not vote
    local n
    for n in "${CONTROLS[@]}"; do
        [ "$(metric_is_set "$n" quorum_voter)" -eq 0 ] && echo "$n" && return
    done
}
name=$(standby)
for _ in 1 2 3; do
    kill -TERM "${PID[$name]}"
    wait "${PID[$name]}" 2>/dev/null
    daemon_up "$name"
    writer 1.5 "$name"
done
mark
wait_for 10 served 100 && echo "served after the restarts"
side drain 1 >/dev/null
drains() {
    status_of entry-1 | grep -o "\"address\":\"127.$B.7.1[^}]*" | grep -q draining
}
wait_for 10 drains && echo "a host that leaves is known to leave"
promises
