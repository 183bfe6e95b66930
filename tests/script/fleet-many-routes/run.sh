# Tables grow to 12,000 routes, 2.3 MB: those above 1 MiB were refused with 503
# for good, and so was every later change.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 4 2
hosts_start 6
fleet_serves 1
in_force() { # VERSION: on all daemons
    local n
    for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        metrics_of "$n" | grep -qx "parsleyspur_catalog_version $1" || return 1
    done
}
version=1
for routes in 4000 6000 9000 12000; do
    version=$((version + 1))
    echo "$routes routes: $(put $version $routes)"
    wait_for 10 in_force $version && echo "in force on all"
done
# Names that cannot be compressed: nothing makes them fit, and that is said.
python3 - $(control_addresses) <<'P'
import json, random, sys, urllib.error, urllib.request
name = "".join(random.choices("0123456789abcdefghijklmnopqrstuvwxyz", k=2500000))
body = json.dumps({"version": 7, "routes": [], "limits": {},
                   "services": [{"name": name}]}).encode()
for address in sys.argv[1:]:
    try:
        urllib.request.urlopen(f"http://{address}/v1/Config.Replace", data=body,
                               timeout=5)
        print("taken")
    except urllib.error.HTTPError as error:
        print(error.code, "too large" in error.read().decode())
P
kill_hard "$(leader_name)"
echo "one more: $(put 8 12001)"
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do kill_hard "$n"; done
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do daemon_up "$n"; done
wait_for 15 in_force 8 && echo "in force after a restart of everything"
wait_for 5 reads 8 && echo "and read"
echo "fewer: $(put 9 10)"
mark
wait_for 15 served 100 && echo served
promises
