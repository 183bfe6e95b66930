# A target forgets feeds without a word while new ones work: each is reset
# within 30 s, and feeds that are merely quiet are left alone.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 2 --service-ms 20
traffic_start fieldline 0 80 5 20 --stall-ms 45000
caller_start quiet fieldline 10.0.0.1:99 --streams 20 --period-ms 30000 \
    --stall-ms 60000
caller_start churn fieldline 10.0.0.1:22 --streams 20 --messages 5 \
    --period-ms 100 --stall-ms 45000
sleep 1
echo "silent: $(ctl fieldline-1 forget 5)"
gone() {
    [ "$(cat "$RUN_DIR"/*.ledger | grep -c '"why":"reset"')" -ge 5 ]
}
# A quiet feed may be among them: it sends each 30 s, and is found silent 10 s
# after the first packet that is not answered.
wait_for 45 gone || echo "not all were reset"
callers_stop
broken_promises --min-streams 100 --min-answers 20
