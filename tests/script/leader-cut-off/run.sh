# The leader is cut off in silence and still believes that it leads: it
# accepts no edit and serves no read as current, while the others go on.
. "$(dirname "$0")/../lib.sh"
layout_fiji
fabric_start
daemons_start
edit pool set fieldline --prefer flows
leader=$(status_of suva-1 leader)
ctl fabric "fault ${IP[$leader]} * cut=1" >/dev/null
ctl fabric "fault * ${IP[$leader]} cut=1" >/dev/null
sleep 0.1
CLI_AT=$leader
cli pool set lost --prefer flows --wait 3 >/dev/null 2>&1
echo "an edit at the one cut off: status $?"
for name in suva-1 nadi-1 lautoka-1; do
    [ "$name" = "$leader" ] || CLI_AT=$name
done
edit pool set kept --prefer flows --accept-without "${ZONE_OF[$leader]}" \
    --wait 5
echo "the one cut off calls itself current: $(status_of "$leader" current)"
ctl fabric clear >/dev/null
version=$(status_of "$CLI_AT" in_force)
wait_for 20 all_at_version "$version" "$leader" || echo "it has not caught up"
CLI_AT=$leader
echo "kept: $(cli pool list --json | grep -c '"kept"')," \
    "lost: $(cli pool list --json | grep -c '"lost"')"
