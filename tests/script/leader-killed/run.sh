# Three control daemons: the leader dies under edits; every accepted edit
# stays, edits go on, and traffic does not notice.
. "$(dirname "$0")/../lib.sh"
layout_fiji
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 6 --service-ms 20
traffic_start fieldline 0 100 5 30
leader=$(status_of suva-1 leader)
echo "a leader is known: $([ -n "${IP[$leader]:-}" ] && echo yes)"
step "the leader is killed"
entry_dies "$leader"
for i in 1 2 3 4 5; do
    for name in suva-1 nadi-1 lautoka-1; do
        is_running "$name" && CLI_AT=$name
    done
    edit pool set "later-$i" --prefer balance
done
step "it is back"
entry_returns "$leader"
sleep 2
version=$(status_of "$CLI_AT" in_force)
wait_for 20 all_at_version "$version" "${DAEMONS[@]}" ||
    echo "not every daemon has version $version"
CLI_AT=$leader
echo "rows at the one that is back: $(cli pool list --json |
    grep -o '"name": *"later-[0-9]"' | sort -u | wc -l)"
callers_stop
broken_promises --min-streams 105 --min-answers 100 --allow-unknown 20
