# Between daemons 20% of packets are lost, others doubled and reordered:
# nobody is held dead, no flow breaks, no call runs twice.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 3 --service-ms 20
traffic_start fieldline 0 100 5 40
for a in "${DAEMONS[@]}"; do
    for b in "${DAEMONS[@]}"; do
        [ "$a" = "$b" ] || ctl fabric "fault ${IP[$a]} ${IP[$b]}" \
            "loss=20 double=10 reorder=20 delay=2" >/dev/null
    done
done
sleep 6
edit pool set during --prefer flows
callers_stop
broken_promises --min-streams 105 --min-answers 150 --allow-unknown 10
