# Fiji: three zones, nine entry daemons, fieldline on 14 hosts and plansdesk
# on 4.  In the busiest hour: a daemon dies, a target joins, another drains,
# a route is edited, the leader dies, all under load.
. "$(dirname "$0")/../lib.sh"
layout_fiji
fabric_start
latency 1
daemons_start
service_set fieldline 0 flows
service_set plansdesk 1 flows
targets_start fieldline 13 --service-ms 30
targets_start plansdesk 4 --service-ms 30
traffic_start fieldline 0 400 10 100
traffic_start plansdesk 1 50 10 20
step "a daemon dies while a target joins"
entry_dies suva-3
target_start fieldline-14 fieldline lautoka --service-ms 30
sleep 2
step "a target drains while a route is edited"
ctl fieldline-2 state draining >/dev/null
CLI_AT=nadi-1 edit route set extra --address 10.0.9.1 --port 80 \
    --kind stream --pool plansdesk
sleep 2
step "the leader dies, and the first daemon is back"
entry_returns suva-3
leader=$(status_of nadi-1 leader)
[ -n "${PID[$leader]:-}" ] && entry_dies "$leader"
sleep 4
callers_stop
broken_promises --min-streams 450 --min-answers 400 --allow-unknown 40
