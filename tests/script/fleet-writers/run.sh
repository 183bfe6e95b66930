# Announcements of other writers, with fields missing or of another type, of a
# pool that no tables name, or that contradict what a living host says: each is
# refused or changes nothing, and the hosts' open flows go on.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 2
hosts_start 6
fleet_serves 1
targets() {
    status_of control-1 | python3 -c 'import json, sys
print(sorted((row["target"], row["pool"], row["state"])
             for row in json.load(sys.stdin)["targets"]))'
}
announce() { # WHAT ID BODY: the statuses that the control daemons answer with
    local n
    echo -n "$1:"
    for n in "${CONTROLS[@]}"; do
        python3 - "http://$(address_of "$n"):$CALLS_PORT" "$2" "$3" <<'P'
import sys, urllib.error, urllib.request
try:
    request = urllib.request.Request(
        f"{sys.argv[1]}/v1/Instances.Heartbeat/i-{sys.argv[2]}",
        data=sys.argv[3].encode())
    print(" ", urllib.request.urlopen(request, timeout=2).status, end="")
except urllib.error.HTTPError as error:
    print(" ", error.code, end="")
P
    done
    echo
}
# The host 1 serves feeds at this address; BORN is later than its start.
BORN=$(($(date +%s) * 1000 + 1000))
body() { # SERVICE ADDRESS EXTRA
    echo "{\"service\":\"$1\",\"address\":\"$2\",\"zone\":\"z1\",\"slots\":2,\
\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1000000$3}"
}
before=$(targets)
announce "pool of no tables" ff01 \
    "$(body other "127.$B.7.1:8283" ",\"version\":\"v1\",\"born\":$BORN")"
announce "no version" 1 "$(body books "127.$B.7.1:8283" "")"
announce "version of another type" ff02 \
    "$(body books "127.$B.7.1:8283" ",\"version\":1,\"born\":$BORN")"
announce "cut off" 1 '{"service":"feeds","address":"127.'
mark
wait_for 10 served 100 && echo "served"
[ "$(targets)" = "$before" ] && echo "the targets are the same"
promises
