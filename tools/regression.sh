#!/usr/bin/env bash
# Play the standard days of the sites that must hold, and hunt a few days with
# other luck on each: sites named in deploy/regression.txt, one a line with the
# days to hunt.  Outside CI; it needs the users' bench.
#
#     BENCH=.../bin/fleetbench SITES=.../system bash tools/regression.sh [WHY]
set -u
cd "$(dirname "$0")/.."
why=${1:-regression on $(git rev-parse --short HEAD)}
failed=0
for name in BENCH SITES; do
    if [ -z "${!name:-}" ]; then
        echo "regression: set $name; see the head of tools/regression.sh" >&2
        exit 2
    fi
done
mkdir -p build/log
while read -r site days; do
    case $site in '' | '#'*) continue ;; esac
    log=build/log/regression-$(basename "$site" .toml).txt
    echo "$site"
    {
        "$BENCH" score "$SITES/$site" --jobs "${JOBS:-3}" --why "$why"
        "$BENCH" hunt "$SITES/$site" --days "$days" --jobs "${JOBS:-3}" \
            --why "$why"
    } >"$log" 2>&1
    grep -E "^GATE|^score on|with a rule broken" "$log" | sed 's/^/    /'
    grep -q "^GATE passed" "$log" && grep -q " 0 with a rule broken" "$log" ||
        failed=1
done <deploy/regression.txt
exit $failed
