# A control daemon loses its disk and is repaired; just after, a second one
# is lost: every accepted edit is still there.
. "$(dirname "$0")/../lib.sh"
layout_fiji
fabric_start
daemons_start
for i in 1 2 3; do
    edit pool set "before-$i" --prefer flows
done
step "nadi-1 loses its disk and is repaired"
kill_hard nadi-1
rm -rf "$RUN_DIR/data-nadi-1"
daemon_start nadi-1
wait_for 10 port_open "${IP[nadi-1]}" 8080
edit pool set repaired --prefer flows
version=$(status_of suva-1 in_force)
wait_for 15 all_at_version "$version" nadi-1 || echo "it has not caught up"
sleep 3
step "suva-1 is lost"
kill_hard suva-1
CLI_AT=nadi-1
edit pool set after --prefer flows
echo "pools: $(cli pool list --json | grep -o '"name": *"[a-z0-9-]*"' |
    sort -u | wc -l)"
