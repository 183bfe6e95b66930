#!/usr/bin/env bash
# Start one daemon with both roles, a stand-in target and callers; set a pool
# and two routes; send calls and streams; print answers, spans and counters.
set -u
RUN_NAME=demo
source "$(dirname "$0")/../tests/script/lib.sh"

layout demo:home:entry,control
fabric_start
daemons_start --span-file "$RUN_DIR/spans.jsonl" --span-sample 1
target_start desk fieldline home --slots 4

echo "== the operator sets a pool and two routes"
edit pool set fieldline --prefer flows --wait 10
edit route set alerts --address 10.0.0.1 --kind stream --pool fieldline
edit route set bookings --address 10.0.0.2 --kind call --pool fieldline
cli pool list
cli route list

echo "== callers: 20 streams and 20 calls a second for 5 seconds"
caller_start feeds fieldline 10.0.0.1:443 --streams 20 --period-ms 200
caller_start fitters fieldline 10.0.0.2:80 --calls-per-s 20 --deadline-ms 2000
sleep 5
callers_stop
echo "streams: $(tail -n 1 "$RUN_DIR/feeds.status")"
echo "calls:   $(tail -n 1 "$RUN_DIR/fitters.status")"
echo "== what the ledgers show"
check_ledger --min-streams 20 --min-answers 50
status=$?
echo "== the first spans"
head -n 3 "$RUN_DIR/spans.jsonl"
echo "== some counters"
curl -s --noproxy '*' "http://${IP[demo]}:8080/metrics" |
    grep -E '^parsleyspur_(packets|flows_opened|calls_answered|spans)'
exit $status
