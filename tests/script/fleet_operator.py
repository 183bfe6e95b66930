"""An operator of a fleet's tables, against several control daemons.

    fleet_operator.py put VERSION EXTRA ADDRESS...   prints "acked" or "not acked"
    fleet_operator.py read ADDRESS...                prints the versions that come
    fleet_operator.py empty|restore ZONE ADDRESS...  prints "acked" or "not acked"

`put` sends one table to the daemons in turn until one acknowledges it, as the
platform does: a call without a clear answer is sent again, unchanged.
"""
import json
import os
import sys
import time
import urllib.error
import urllib.request

PUT_LIMIT_S = 15
CALL_LIMIT_S = 1.0


# Ports 81 and on; what follows them sees no traffic.
ZONE_CALLS = {"empty": "/v1/Evacuation.Begin/",
              "restore": "/v1/Evacuation.Finish/"}
# Before the names of both services; longer than any name of a host in DNS.
PREFIX = os.environ.get("SERVICE_PREFIX", "")
# Services over which the route of port 81 is split, with equal weights.
SPLIT = os.environ.get("SPLIT", "").split()
KINDS = ["non_idempotent", "non_idempotent", "download", "upload",
         "idempotent"]


def table(version, extra):
    """Port 81 goes to feeds, 82 to books, 83 to feeds; others are unused."""
    routes = [
        {
            "name": f"r{n}",
            "host": "198.18.0.1",
            "path_prefix": f"/{81 + n}/",
            "kind": KINDS[min(n, len(KINDS) - 1)],
            "timeout_ms": 1000,
            "target_latency_ms": 100,
            "priority": 1,
            "service": PREFIX + ("books" if n == 1 else "feeds"),
        }
        for n in range(2 + extra)
    ]
    if SPLIT:
        del routes[0]["service"]
        routes[0]["split"] = [{"service": s, "weight": 1} for s in SPLIT]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": PREFIX + "feeds", "warmup_per_s": 10.0},
                     {"name": PREFIX + "books"}] +
                    [{"name": s} for s in SPLIT],
        "limits": {"idle_timeout_ms": 15000},
    }


def call(address, path, body=None):
    """The status and the body; status 0 without an answer."""
    request = urllib.request.Request(f"http://{address}{path}", data=body)
    try:
        with urllib.request.urlopen(request, timeout=CALL_LIMIT_S) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, b""
    except OSError:
        return 0, b""


def order(path, body, addresses):
    """Send an order until a daemon gives a clear answer; True if it is 200."""
    end = time.monotonic() + PUT_LIMIT_S
    at = 0
    while time.monotonic() < end:
        status, _ = call(addresses[at % len(addresses)], path, body)
        if status in (200, 400, 404):
            return status == 200
        at += 1
        time.sleep(0.05)
    return False


def main():
    acked = None
    if sys.argv[1] == "put":
        body = json.dumps(table(int(sys.argv[2]), int(sys.argv[3]))).encode()
        acked = order("/v1/Config.Replace", body, sys.argv[4:])
    elif sys.argv[1] in ZONE_CALLS:
        acked = order(ZONE_CALLS[sys.argv[1]] + sys.argv[2], b"", sys.argv[3:])
    if acked is not None:
        print("acked" if acked else "not acked")
        return
    for address in sys.argv[2:]:
        status, body = call(address, "/v1/Config.Read")
        if status == 200:
            print(json.loads(body)["version"])


if __name__ == "__main__":
    main()
