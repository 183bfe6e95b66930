#!/usr/bin/env bash
# Rules of the house that no linter knows.  Arguments: source files.
# Each failing line is printed; the exit status is 1 if there is any.
set -u
failed=0
report() {
    echo "house rule: $1"
    failed=1
}
grep -nE '^typedef ' "$@" | grep -v 'typedef void (\*' &&
    report "struct tags only; remove the typedef"
grep -nEi 'copyright|licen[cs]e|SPDX' "$@" &&
    report "source files carry no notice"
grep -nP '\t' "$@" && report "indent with spaces"
grep -nE '\b(fork|vfork|execv|execvp|posix_spawn|system|popen|uv_spawn)\(' \
    $(printf '%s\n' "$@" | grep '^src/') /dev/null &&
    report "a process of the product starts no other process"
for file in "$@"; do
    lines=$(wc -l <"$file")
    [ "$lines" -le 800 ] || report "$file has $lines lines; split it"
done
exit $failed
