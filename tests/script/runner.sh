#!/usr/bin/env bash
# Run the script in FOLDER and compare what it prints with expected.txt.
# The run's logs and ledgers stay in build/log/runs/NAME.
set -u
LIMIT_S=120
folder=$1
name=$(basename "$folder")
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT
RUN_NAME=$name timeout -k 10 "$LIMIT_S" bash "$folder/run.sh" >"$actual"
status=$?
if [ "$status" -ne 0 ]; then
    echo "$name: exit status $status"
fi
diff -u --label expected --label seen "$folder/expected.txt" "$actual" &&
    [ "$status" -eq 0 ]
