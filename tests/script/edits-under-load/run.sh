# Pools and routes are edited under load, also twice at once: no flow breaks
# and no packet reaches another service.
. "$(dirname "$0")/../lib.sh"
layout_small
fabric_start
daemons_start
service_set fieldline 0 flows
service_set plansdesk 1 balance
targets_start fieldline 4 --service-ms 20
targets_start plansdesk 2 --service-ms 20
traffic_start fieldline 0 150 5 30
traffic_start plansdesk 1 50 5 20
for i in 1 2 3 4 5 6; do
    edit pool set fieldline --prefer "$([ $((i % 2)) = 0 ] && echo flows ||
        echo balance)" --weight "${IP[fieldline-1]}=$((i * 50))" &
    first=$!
    edit route set "extra-$i" --address "10.0.9.$i" --port 80 --kind stream \
        --pool plansdesk
    wait $first
    sleep 0.5
done
edit route delete extra-1
edit route set extra-2 --address 10.0.9.2 --port 80 --kind stream \
    --pool fieldline
callers_stop
broken_promises --min-streams 200 --min-answers 100
