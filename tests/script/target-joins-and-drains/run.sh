# A target joins under load; another drains and gets no new work after 3 s,
# while its feeds live on; then both at once.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 4 --service-ms 20
traffic_start fieldline 0 200 10 60
caller_start churn fieldline 10.0.0.1:22 --streams 50 --messages 5 \
    --period-ms 100
step "a target joins"
target_start fieldline-5 fieldline suva --service-ms 20
wait_for 10 at_least fieldline-5 flows 1 || echo "it gets no new work"
step "a target drains"
held=$(value fieldline-1 flows)
ctl fieldline-1 state draining
sleep 6
echo "its feeds live on: $([ "$(value fieldline-1 flows)" -gt 0 ] &&
    [ "$held" -gt 0 ] && echo yes)"
step "one joins while one drains by its row"
target_start fieldline-6 fieldline suva --service-ms 20
edit pool set fieldline --prefer flows --drain "${IP[fieldline-2]}"
sleep 4
before=$(grep -c '"ev":"open"' "$RUN_DIR/fieldline-2.ledger")
sleep 3
after=$(grep -c '"ev":"open"' "$RUN_DIR/fieldline-2.ledger")
echo "opened at the drained one after 4 s: $((after - before))"
callers_stop
broken_promises --min-streams 400 --min-answers 200
