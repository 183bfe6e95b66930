# Edits built on one version race: one wins, the others learn the current
# version; an edit sent again gets its first answer, also after restarts.
. "$(dirname "$0")/../lib.sh"
layout_fiji
fabric_start
daemons_start
edit pool set fieldline --prefer flows
base=$(status_of suva-1 in_force)
step "six race on one version"
pids=()
for i in 1 2 3 4 5 6; do
    (
        case $((i % 3)) in 0) CLI_AT=suva-1 ;; 1) CLI_AT=nadi-1 ;; *) CLI_AT=lautoka-1 ;; esac
        cli pool set "race-$i" --prefer flows --base "$base" \
            --edit-id "race-$i" >"$RUN_DIR/race-$i.txt"
        echo $? >"$RUN_DIR/race-$i.status"
    ) &
    pids+=($!)
done
wait "${pids[@]}"
echo "won: $(cat "$RUN_DIR"/race-*.status | grep -cx 0)"
echo "refused: $(cat "$RUN_DIR"/race-*.status | grep -cx 1)"
winner=$(grep -lx 0 "$RUN_DIR"/race-*.status | head -n 1)
winner=$(basename "$winner" .status)
after=$(status_of suva-1 in_force)
step "the winner is sent again"
cli pool set "$winner" --prefer flows --base "$base" --edit-id "$winner" \
    >/dev/null
echo "status $?, version moved by $(($(status_of suva-1 in_force) - after))"
step "every control daemon restarts"
for name in suva-1 nadi-1 lautoka-1; do
    stop "$name" >/dev/null
    daemon_start "$name"
    wait_for 10 port_open "${IP[$name]}" 8080
done
edit pool set afterwards --prefer flows
after=$(status_of suva-1 in_force)
cli pool set "$winner" --prefer flows --base "$base" --edit-id "$winner" \
    >/dev/null
echo "status $?, version moved by $(($(status_of suva-1 in_force) - after))"
loser=$(grep -lx 1 "$RUN_DIR"/race-*.status | head -n 1)
loser=$(basename "$loser" .status)
cli pool set "$loser" --prefer flows --base "$base" --edit-id "$loser" \
    >/dev/null
echo "a refused one again: status $?"
