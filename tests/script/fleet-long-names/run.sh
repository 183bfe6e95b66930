# Services with long names, equal in their first 63 bytes: their hosts were
# refused with 400, since the id of a pool came from a cut name.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
SERVICE_PREFIX=$(printf 'office.%.0s' {1..25})
export SERVICE_PREFIX
fleet_start 3 2
hosts_start 6
fleet_serves 1
pools() {
    status_of "$1" | python3 -c 'import json, sys
print(" ".join(sorted("%s:%d" % (row["pool"].replace(sys.argv[1], "..."), row["ready"])
                      for row in json.load(sys.stdin)["pools"])))' \
        "$SERVICE_PREFIX"
}
on_all() { # WHAT: the pools of each daemon, if all agree
    local n
    echo "$1: $(for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        pools "$n"
        metrics_of "$n" | grep routes_without_pool | grep -v '^#'
    done | sort -u | tr '\n' ' ')"
}
ready_on_all() { # FEEDS: ready hosts of feeds on each daemon, and both of books
    local n
    for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        [ "$(pools "$n")" = "...books:2 ...feeds:$1" ] || return 1
    done
}
wait_for 10 ready_on_all 4
on_all "in force"
side drain 1 >/dev/null
wait_for 10 ready_on_all 3 && echo "a host that leaves is known to leave"
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do kill_hard "$n"; done
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do daemon_up "$n"; done
mark
wait_for 15 served 200 && echo "served after a restart of everything"
wait_for 10 ready_on_all 3
on_all "read from the logs"
promises
