# Short runs of the fleet's soak: the seeds that once failed, side by side.
root=$(cd "$(dirname "$0")/../../.." && pwd)
results=$(mktemp -d)
while read -r seed seconds _; do
    case $seed in "" | \#*) continue ;; esac
    python3 "$root/tests/soak/fleet_soak.py" "$seed" "$seconds" \
        >"$results/$seed" 2>&1 &
done <"$root/tests/soak/SEEDS.txt"
wait
for result in "$results"/*; do
    echo "$(basename "$result") $(tail -n 1 "$result")"
done | sort -n
rm -r "$results"
