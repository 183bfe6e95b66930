# A route split over twelve services: tables with more than eight for a route
# were refused with 400, whatever else changed in them.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
SPLIT=$(echo pool-{1..12})
export SPLIT
fleet_start 3 2
hosts_start 3
number=3
for service in $SPLIT; do
    number=$((number + 1))
    side host $number "$service" z1 "127.$B.7.$number:8283" >/dev/null
done
[ "$(put 1 3)" = acked ] || give_up "tables not acknowledged"
side flows 60 >/dev/null
pools_used() { # the services of the split whose hosts were given new flows
    status_of entry-1 | python3 -c 'import glob, json, sys
pool = {row["target"]: row["pool"] for row in json.load(sys.stdin)["targets"]}
used = set()
for name in glob.glob(sys.argv[1] + "/entry-*.log"):
    for line in open(name):
        if "\"reason\":\"placed\"" in line:
            used.add(pool.get(json.loads(line).get("target")))
print(len([name for name in used if name and name.startswith("pool-")]))' \
        "$RUN_DIR"
}
all_used() { [ "$(pools_used)" -eq 12 ]; }
wait_for 30 all_used && echo "all twelve get flows"
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do kill_hard "$n"; done
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
    : >"$RUN_DIR/$n.log"
    daemon_up "$n"
done
wait_for 30 all_used && echo "and after a restart of everything"
promises
