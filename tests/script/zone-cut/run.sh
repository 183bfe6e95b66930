# A zone is cut off and healed: its targets' feeds go on, an edit names the
# zone that cannot be reached, and after the heal all are at one version.
. "$(dirname "$0")/../lib.sh"
layout_fiji
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 9 --service-ms 20
traffic_start fieldline 0 150 5 30 --stall-ms 25000
step "lautoka is cut off"
zone_cut lautoka
sleep 5
CLI_AT=suva-1
cli pool set during --prefer flows --wait 3 >"$RUN_DIR/refusal.txt" 2>&1
echo "an edit: status $?, names the zone: $(grep -c lautoka \
    "$RUN_DIR/refusal.txt")"
edit pool set during --prefer flows --accept-without lautoka
step "it is healed"
zones_heal
version=$(status_of suva-1 in_force)
wait_for 15 all_at_version "$version" "${DAEMONS[@]}" ||
    echo "not every daemon has version $version"
sleep 2
callers_stop
broken_promises --min-streams 150 --min-answers 100 --allow-unknown 100
