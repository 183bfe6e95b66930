#!/usr/bin/env bash
# Run the benches named and print each line beside its bound, met or not.
# Bounds stand in bench/BOUNDS: name, operator, bound.
set -u
cd "$(dirname "$0")/.."
mkdir -p build
: >build/bench.txt
for bench in "$@"; do
    "$bench" | tee -a build/bench.txt || echo "bench failed: $bench"
done
echo
printf '%-40s %14s %-8s %s\n' LINE VALUE UNIT BOUND
awk 'NR == FNR { if ($1 !~ /^#/) { op[$1] = $2; bound[$1] = $3 } next }
{
    verdict = "-"
    if ($1 in bound) {
        met = op[$1] == "<=" ? $2 + 0 <= bound[$1] + 0 : $2 + 0 >= bound[$1] + 0
        verdict = op[$1] " " bound[$1] (met ? " met" : " NOT MET")
        seen[$1] = 1
    }
    printf "%-40s %14s %-8s %s\n", $1, $2, $3, verdict
}
END { for (name in bound) if (!(name in seen))
    printf "%-40s %14s %-8s %s\n", name, "not run", "-", op[name] " " bound[name] }' \
    bench/BOUNDS build/bench.txt
