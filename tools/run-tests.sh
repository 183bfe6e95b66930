#!/usr/bin/env bash
# Run every test named: a program, or a folder of scripted runs.
# Entries of KNOWN-RED.txt ("name | command and seed | what was seen | issue")
# are run and printed, and do not fail the run.
#
#     run-tests.sh [--jobs N] TEST...
#
# Programs run side by side, then the scripted runs, which are timed, with
# fewer at once.
set -u
cd "$(dirname "$0")/.."
JOBS=4 SCRIPT_JOBS=2
if [ "${1:-}" = --jobs ]; then
    JOBS=$2 SCRIPT_JOBS=$2
    shift 2
fi
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

known_red() { # NAME
    [ -f KNOWN-RED.txt ] && grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 |
        sed 's/ *$//' | grep -qxF "$1"
}

run_test() { # TEST: a program, or a folder with run.sh
    local name log start seconds scratch result status=0
    name=${1#build/tests/}
    name=${name#tests/}
    log=build/log/$name.txt
    mkdir -p "$(dirname "$log")"
    start=$(date +%s)
    case "$name" in
    fuzz/*)
        scratch=$(mktemp -d)
        "$1" -runs=200000 -seed=1 -max_len=2048 \
            -artifact_prefix="$scratch/" "$scratch" \
            "tests/fuzz/corpus/$(basename "$name")" >"$log" 2>&1 || status=1
        rm -rf "$scratch"
        ;;
    script/*) bash tests/script/runner.sh "$1" >"$log" 2>&1 || status=1 ;;
    *) "$1" >"$log" 2>&1 || status=1 ;;
    esac
    seconds=$(($(date +%s) - start))
    result=$(mktemp -p "$results")
    if [ $status -eq 0 ]; then
        echo "ok   $name ($seconds s)"
        echo passed >"$result"
    elif known_red "$name"; then
        echo "RED  $name ($seconds s), listed in KNOWN-RED.txt"
        echo red >"$result"
    else
        echo "FAIL $name ($seconds s)"
        tail -n 40 "$log" | sed 's/^/     /'
        echo failed >"$result"
    fi
}

run_all() { # JOBS TEST...
    local jobs=$1 test
    shift
    for test in "$@"; do
        while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do
            wait -n
        done
        run_test "$test" &
    done
    wait
}

programs=() scripts=()
for test in "$@"; do
    if [ -d "$test" ] && [ ! -e "$test/run.sh" ]; then
        for run in "$test"/*/run.sh; do
            [ -e "$run" ] && scripts+=("$(dirname "$run")")
        done
    elif [ -d "$test" ]; then
        scripts+=("$test")
    else
        programs+=("$test")
    fi
done
run_all "$JOBS" ${programs[@]+"${programs[@]}"}
run_all "$SCRIPT_JOBS" ${scripts[@]+"${scripts[@]}"}
count() { cat "$results"/* 2>/dev/null | grep -cx "$1"; }
passed=$(count passed) failed=$(count failed)
echo "known red: $(count red)"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
