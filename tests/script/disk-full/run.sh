# A data folder that takes no more bytes: edits are refused with the remedy,
# packets go on; with space again, edits are taken and nothing is lost.  The
# limit on the size of a file stands for the full disk.
. "$(dirname "$0")/../lib.sh"
layout home-1:home:entry,control
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 2 --service-ms 20
traffic_start fieldline 0 50 2 20
edit pool set before --prefer flows
step "no file may grow"
prlimit --pid "${PID[home-1]}" --fsize=1:unlimited
cli pool set refused --prefer flows --wait 0 |
    grep -o 'refused (unavailable)' | sort -u
sleep 3
step "files may grow again"
prlimit --pid "${PID[home-1]}" --fsize=unlimited:unlimited
edit pool set after --prefer flows
cli pool list --json | grep -o '"name":"[a-z]*"' | sort
callers_stop
broken_promises --min-streams 50 --min-answers 60
step "killed and started again"
kill_hard home-1
daemon_start home-1
wait_for 10 port_open "${IP[home-1]}" 8080
wait_for 10 cli pool get after
cli pool list --json | grep -o '"name":"[a-z]*"' | sort
