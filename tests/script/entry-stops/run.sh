# Planned stops of entry daemons cut off nothing: neither a feed, nor an
# upload, nor a call in progress.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
targets_start fieldline 4 --service-ms 200
traffic_start fieldline 0 200 10 20 --resend-ms 0 --retries 0
for name in suva-1 suva-2; do
    step "$name stops"
    # The platform takes a stopping daemon out of the fabric after 1 s.
    (sleep 1; ctl fabric gone "${IP[$name]}:6081" >/dev/null) &
    stop "$name"
    daemon_start "$name"
    wait_for 5 port_open "${IP[$name]}" 8080
    ctl fabric entry "${IP[$name]}:6081" >/dev/null
    sleep 3
done
callers_stop
broken_promises --min-streams 210 --min-answers 100
