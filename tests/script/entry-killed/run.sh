# An entry daemon dies without warning, joins again, and then another dies:
# the flows go on, no call runs twice.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 4 --service-ms 20
traffic_start fieldline 0 200 10 60
step "an entry daemon is killed"
entry_dies suva-1
sleep 4
step "it joins again"
entry_returns suva-1
sleep 4
step "another is killed"
entry_dies suva-2
sleep 4
callers_stop
broken_promises --min-streams 210 --min-answers 300 --allow-unknown 20
