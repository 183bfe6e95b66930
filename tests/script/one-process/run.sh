# The default: one process with both roles, a data folder and no peers.
. "$(dirname "$0")/../lib.sh"
layout suva-1:suva:entry,control
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 2 --service-ms 20
traffic_start fieldline 0 60 5 30
sleep 2
callers_stop
broken_promises --min-streams 65 --min-answers 50
