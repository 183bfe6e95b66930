# A caller opens 600 connections to the administration API, sends half a
# request line on each and waits: others are answered meanwhile, and so is the
# same caller's address once the connections have been silent for long enough.
. "$(dirname "$0")/../lib.sh"
layout suva-1:suva:entry,control
fabric_start
daemons_start
service_set fieldline 0 flows
start idle python3 "$ROOT/tests/script/idle-connections/idle.py" \
    "${IP[suva-1]}" 8080 "127.$B.9.9" 600 12
sleep 1
ask_from() { # ADDRESS: the status of one request, within 3 s
    python3 "$ROOT/tests/script/idle-connections/ask.py" "${IP[suva-1]}" 8080 "$1"
}
echo "another address: $(ask_from "127.$B.9.10")"
edit pool set during --prefer flows && echo "an edit is accepted"
sleep 6
echo "the same address, later: $(ask_from "127.$B.9.9")"
