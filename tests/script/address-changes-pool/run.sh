# A target of plansdesk ends and its address comes back as one of fieldline:
# not one packet of plansdesk reaches it there.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
service_set plansdesk 1 flows
targets_start fieldline 2 --service-ms 20
targets_start plansdesk 2 --service-ms 20
traffic_start fieldline 0 60 5 20
traffic_start plansdesk 1 60 5 20 --stall-ms 4000
step "the address changes hands"
kill_hard plansdesk-1
IP[fieldline-9]=${IP[plansdesk-1]}
TARGETS+=(fieldline-9)
target_start fieldline-9 fieldline suva --service-ms 20 --incarnation 2
wait_for 15 at_least fieldline-9 flows 1 || {
    caller_start more fieldline 10.0.0.1:25 --streams 60 --messages 5
    wait_for 15 at_least fieldline-9 flows 1 || echo "it gets no new work"
}
sleep 4
callers_stop
broken_promises --min-streams 120 --min-answers 60 \
    --dead "${IP[plansdesk-1]}" --allow-unknown 20 --allow-refused 60
