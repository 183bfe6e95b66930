# Zones with long names, equal in their first 63 bytes: orders to empty one were
# refused with 400, since an order had room for 63 bytes.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
ZONE_PREFIX=$(printf 'district.%.0s' {1..20})
fleet_start 3 2
hosts_start 6
fleet_serves 1
emptied_on_all() { # ZONE...: the zones that each daemon has as emptied
    local n
    for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        [ "$(emptied "$n")" = "$*" ] || return 1
    done
}
emptied() { # NAME
    status_of "$1" | python3 -c 'import json, sys
print(" ".join(sorted(row["zone"].replace(sys.argv[1], "")
                      for row in json.load(sys.stdin)["zones"]
                      if row["emptied"])))' "$ZONE_PREFIX"
}
zone empty z1
wait_for 5 emptied_on_all z1 && echo "z1 is emptied"
zone empty z2
wait_for 5 emptied_on_all z1 z2 && echo "z2, too"
zone restore z1
wait_for 5 emptied_on_all z2 && echo "z1 is restored"
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do kill_hard "$n"; done
for n in "${CONTROLS[@]}" "${ENTRIES[@]}"; do daemon_up "$n"; done
wait_for 15 emptied_on_all z2 && echo "as it was after a restart of everything"
mark
wait_for 15 served 200 && echo served
promises
