# A target dies under load: only its own flows may break; it comes back
# under a new incarnation and gets work again.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 4 --service-ms 20
traffic_start fieldline 0 200 10 60 --stall-ms 6000
step "a target is killed"
kill_hard fieldline-1
sleep 8
step "it is back"
target_start fieldline-1 fieldline suva --service-ms 20 --incarnation 2
wait_for 15 at_least fieldline-1 flows 1 || echo "it gets no new work"
callers_stop
broken_promises --min-streams 210 --min-answers 200 \
    --dead "${IP[fieldline-1]}" --allow-unknown 20 --allow-refused 100
