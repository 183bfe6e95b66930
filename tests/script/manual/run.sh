# The manual pages and the binary's help name the same flags and commands.
. "$(dirname "$0")/../lib.sh"
flags_of_page() {
    sed -n 's/^\.It Fl -\([a-z-]*\).*/\1/p' "$@" | sort -u
}
flags_of_help() {
    grep -o -e '--[a-z][a-z-]*' | sed 's/^--//' | sort -u
}
compare() { # NAME, the page's list, the help's list
    diff "$2" "$3" >"$RUN_DIR/diff" && echo "$1: the same" || {
        echo "$1: differ"
        cat "$RUN_DIR/diff"
    }
}
flags_of_page "$ROOT/man/parsleyspur-serve.8" >"$RUN_DIR/page"
"$BIN" serve --help | grep '^  --' | sed 's/=.*//' | flags_of_help |
    grep -vx help >"$RUN_DIR/help"
compare serve "$RUN_DIR/page" "$RUN_DIR/help"
flags_of_page "$ROOT/man/parsleyspur.1" | grep -vx help >"$RUN_DIR/page"
for verb in set delete list; do
    "$BIN" route $verb --help
    "$BIN" pool $verb --help
done | grep '^  --' | sed 's/=.*//' | flags_of_help | grep -vx help \
    >"$RUN_DIR/help"
compare tables "$RUN_DIR/page" "$RUN_DIR/help"
"$BIN" --help | sed -n 's/^  \([a-z]*\) .*/\1/p' | sort >"$RUN_DIR/help"
sed -n 's/^\.Cm \([a-z]*\).*/\1/p' "$ROOT/man/parsleyspur.1" |
    sed '/^list$/d;/^delete$/d;/^set$/d' | sort -u >"$RUN_DIR/page"
grep -qx route "$RUN_DIR/page" && echo pool >>"$RUN_DIR/page"
sort -u -o "$RUN_DIR/page" "$RUN_DIR/page"
compare commands "$RUN_DIR/page" "$RUN_DIR/help"
