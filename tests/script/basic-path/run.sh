# One control daemon, three entry daemons, two targets: feeds, uploads and
# calls pass whole, with every packet sprayed.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 2 --service-ms 20
traffic_start fieldline 0 60 5 30
sleep 3
callers_stop
check_ledger --min-streams 65 --min-answers 60
