# One odd announcement of another writer, at the address of a living host or
# under its id: nested deeply, with a number too large, or with a port out of
# range.  Each is refused, no daemon ends, the host lives on, and all daemons
# go on to follow what changes.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 2
hosts_start 6
fleet_serves 1
targets() {
    status_of "$1" | python3 -c 'import json, sys
for row in sorted(json.load(sys.stdin)["targets"], key=lambda row: row["address"]):
    print(row["target"], row["pool"], row["address"], row["state"])'
}
on_all() { # TEXT: the targets of every daemon
    local n
    for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        [ "$(targets "$n")" = "$1" ] || return 1
    done
}
all_ready() { [ "$(targets entry-1 | grep -c ' ready$')" -eq 6 ]; }
wait_for 10 all_ready
before=$(targets entry-1)
OWN=$(grep " 127.$B.7.1 " <<<"$before" | cut -d' ' -f1)
python3 - "$OWN" "127.$B.7.1:8283" $(control_addresses) <<'P'
import http.client, json, sys, time

own, address, daemons = sys.argv[1], sys.argv[2], sys.argv[3:]
now = int(time.time() * 1000)
valid = {"service": "feeds", "address": address, "zone": "z1", "version": "v1",
         "slots": 2, "state": "ready", "warmup_left_ms": 0, "seq": 10 ** 6,
         "born": now}


def nested(depth):
    return "[" * depth + "]" * depth


def entry(**changed):
    """The valid entry with members replaced by text of their own."""
    members = {name: json.dumps(value) for name, value in valid.items()}
    members.update(changed)
    return "{%s}" % ",".join('"%s":%s' % item for item in members.items())


ODD = [
    ("nested without end", "[" * 200000),
    ("nested objects", '{"a":' * 100000),
    ("nested slots", entry(slots=nested(1500))),
    ("nested service", entry(service=nested(1500))),
    ("nested too deeply", entry(slots=nested(100000))),
    ("nested beside the rest", entry(more=nested(100000))),
    ("slots above 64 bits", entry(slots="1" + "0" * 30)),
    ("slots of 400 digits", entry(slots="9" * 400)),
    ("slots of 1e999", entry(slots="1e999")),
    ("slots of 2^32 + 2", entry(slots=str(2 ** 32 + 2))),
    ("sequence above 64 bits", entry(seq=str(2 ** 64 + 1))),
    ("sequence of 2^63 - 1", entry(seq=str(2 ** 63 - 1))),
    ("sequence below 0", entry(seq="-1")),
    ("time left of 2^40", entry(warmup_left_ms=str(2 ** 40))),
    ("start above 64 bits", entry(born=str(2 ** 64))),
    ("start of 2^63 - 1", entry(born=str(2 ** 63 - 1))),
    ("start of 2^53", entry(born=str(2 ** 53))),
    ("start in nanoseconds", entry(born=str(now * 10 ** 6))),
    ("start in microseconds", entry(born=str(now * 1000))),
    ("port 65536", entry(address='"%s"' % address.replace("8283", "65536"))),
    ("port 8283 + 65536", entry(address='"%s"' % address.replace("8283", str(8283 + 65536)))),
    ("port of 40 digits", entry(address='"%s"' % address.replace("8283", "8" * 40))),
    ("port 0", entry(address='"%s"' % address.replace("8283", "0"))),
    ("port below 0", entry(address='"%s"' % address.replace("8283", "-8283"))),
    ("bytes that are no text", b'{"service":"\xff\xfe"}'),
    ("a NUL within the text", entry(service='"feeds\\u0000x"')),
    ("5 MB", entry(more='"%s"' % ("x" * (5 << 20)))),
]


def post(daemon, host, body, call="Heartbeat"):
    connection = http.client.HTTPConnection(daemon, timeout=5)
    try:
        connection.request("POST", "/v1/Instances.%s/i-%s" % (call, host),
                           body if isinstance(body, bytes) else body.encode())
        return connection.getresponse().status
    except OSError:
        return 0  # closed while the body was being sent
    finally:
        connection.close()


for what, body in ODD:
    seen = {post(daemon, host, body) for daemon in daemons for host in ("ff01", own)}
    print("%s: %s" % (what, "refused" if 200 not in seen and seen <= {400, 413, 0}
                      else sorted(seen)))
for what, body in [("nested", '{"born":%s}' % nested(100000)),
                   ("a start of 2^63 - 1", '{"born":%d}' % (2 ** 63 - 1)),
                   ("a start above 64 bits", '{"born":%d}' % 2 ** 64)]:
    seen = {post(daemon, own, body, "Deregister") for daemon in daemons}
    print("leave, %s: %s" % (what, "refused" if seen == {400} else sorted(seen)))
for host in ("f" * 17, "f" * 20000):
    seen = {post(daemon, host, entry()) for daemon in daemons}
    print("id of %d digits: %s" % (len(host), "refused" if 200 not in seen else sorted(seen)))
P
sleep 2
[ "$(targets entry-1)" = "$before" ] || targets entry-1
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
    is_running "$n" || echo "$n has ended"
done
mark
wait_for 10 served 100 && echo served
side host 7 feeds z1 "127.$B.7.7:8283" >/dev/null
side drain 1 >/dev/null
followed() {
    local now
    now=$(targets entry-1)
    grep -q "127.$B.7.1 draining" <<<"$now" &&
        grep -q "127.$B.7.7 ready" <<<"$now" && on_all "$now"
}
wait_for 10 followed && echo "all daemons follow a host that leaves and one that comes"
promises
