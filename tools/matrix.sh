#!/usr/bin/env bash
# Play each day of one trouble (deploy/days/one-*.toml) with several seeds on
# each site, and print a row a site and day: mean and least worth, the mean
# part of the nines and of the worst windows, and the worth served of each
# kind of request.  Outside CI; it needs the users' bench.
#
#     BENCH=.../bin/fleetbench bash tools/matrix.sh WHY SITE...
#
# SEEDS are the seeds ("1 2 3 4 5"), DAYS a pattern of the days' names (one-*),
# JOBS the runs at a time (3).
set -u
cd "$(dirname "$0")/.."
if [ -z "${BENCH:-}" ] || [ $# -lt 2 ]; then
    echo "matrix: usage: BENCH=... bash tools/matrix.sh WHY SITE..." >&2
    exit 2
fi
why=$1
shift
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export BENCH folder why

play() {
    "$BENCH" run "$1" "$2" --seed "$3" --no-cpu --why "$why" \
        >"$folder/$(basename "$1" .toml)@$(basename "$2" .toml)@$3" 2>&1
}
export -f play

"$BENCH" build >/dev/null 2>&1 || exit 1
for site in "$@"; do
    for day in deploy/days/${DAYS:-one-*}.toml; do
        for seed in ${SEEDS:-1 2 3 4 5}; do
            printf '%s %s %s\n' "$site" "$day" "$seed"
        done
    done
done | xargs -P "${JOBS:-3}" -L 1 bash -c 'play "$@"' play

printf '%-20s %-29s %5s %5s %5s %5s  %s\n' \
    site day mean least nines windw "worth served by kind"
for site in "$@"; do
    for day in deploy/days/${DAYS:-one-*}.toml; do
        name=$(basename "$site" .toml)@$(basename "$day" .toml)
        awk -v name="$name" '
            $1 == "worth" && $2 ~ /^[-0-9]/ && $3 == "=" {
                plays++
                sum += $2
                if (plays == 1 || $2 < least) least = $2
                match($0, /nines [-0-9.]+/)
                nines += substr($0, RSTART + 6, RLENGTH - 6)
                match($0, /worst windows [-0-9.]+/)
                windows += substr($0, RSTART + 14, RLENGTH - 14)
            }
            / rules? broken|BROKEN|fault:/ { broken++ }
            /^class / { kinds = 1; next }
            /^$/ { kinds = 0 }
            kinds {
                if (!($1 in served)) order[++count] = $1
                served[$1] += $8
            }
            END {
                split(name, at, "@")
                if (plays == 0) {
                    printf "%-20s %-29s not played\n", at[1], at[2]
                    exit
                }
                printf "%-20s %-29s %.3f %.3f %.3f %.3f ", at[1], at[2],
                    sum / plays, least, nines / plays, windows / plays
                for (i = 1; i <= count; i++)
                    printf " %s %.3f", order[i], served[order[i]] / plays
                printf "%s\n", broken ? " BROKEN " broken : ""
            }' "$folder/$name"@*
    done
done
