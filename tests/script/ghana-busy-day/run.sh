# Ghana: four zones, eight entry daemons, permit-desk on 14 hosts and
# doc-intake on 4.  Quotes at a high rate; a desk sheds, one is slow, a
# daemon stops and a target of a busy pool dies.
. "$(dirname "$0")/../lib.sh"
layout_ghana
fabric_start
latency 1.5
daemons_start
service_set permit-desk 0 balance
service_set doc-intake 1 flows
targets_start permit-desk 14 --service-ms 30
targets_start doc-intake 4 --service-ms 30
traffic_start permit-desk 0 300 5 200
traffic_start doc-intake 1 50 10 20
step "a desk sheds, another is slow"
ctl permit-desk-1 mode shed=50 >/dev/null
ctl permit-desk-2 mode service-ms=300 >/dev/null
sleep 3
step "a daemon stops while a desk dies"
kill_hard permit-desk-3
(sleep 1; ctl fabric gone "${IP[tema-b-2]}:6081" >/dev/null) &
stop tema-b-2
sleep 4
callers_stop
broken_promises --min-streams 350 --min-answers 600 \
    --dead "${IP[permit-desk-3]}" --allow-unknown 40 --allow-refused 50
