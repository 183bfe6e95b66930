# The network between daemons, by itself: a caller and a target stand for
# two daemons, and reach each other by the proxy's addresses alone.
. "$(dirname "$0")/../lib.sh"
NEAR=127.$B.30.1 FAR=127.$B.11.1
fabric_start --peer-port 6081 --way "$NEAR,$FAR,127.$B.101.2,127.$B.102.1"
TARGET_UP=127.$B.102.1:6081
target_start far fieldline suva --http-port 8081
start tcp "$STANDINS/target" --pool fieldline --address "127.$B.11.9" \
    --up "$TARGET_UP" --control "$FAR:6081"
wait_for 5 port_open "$FAR" 6081
caller_start near fieldline 10.0.0.1:443 --fabric "127.$B.101.2:6081" \
    --streams 50 --period-ms 100 --stall-ms 20000

echo "udp: $(wait_for 5 at_least near echoed 200 && echo passes)"
CONTROL_PORT=6081
CONTROL[by-proxy]=127.$B.101.2
asked() { # SECONDS: whether TCP through the proxy answers in that time
    timeout "$1" bash -c "exec 3<>/dev/tcp/127.$B.101.2/6081
        echo status >&3; cat <&3" | grep -c state=
}
echo "tcp: $(asked 2)"
CONTROL_PORT=7000
ctl fabric "fault $NEAR $FAR cut=1" >/dev/null
sleep 0.2
before=$(value near echoed)
sleep 1
echo "cut one way: udp $(($(value near echoed) - before)), tcp $(asked 1)"
ctl fabric clear >/dev/null
echo "healed: $(wait_for 5 at_least near echoed $((before + 50)) &&
    echo passes), tcp $(asked 2)"
ctl fabric "fault $FAR $NEAR cut=1" >/dev/null
sleep 0.2
before=$(value near echoed)
sleep 1
echo "cut the other way: udp $(($(value near echoed) - before)), tcp $(asked 1)"
ctl fabric clear >/dev/null
ctl fabric "fault * * delay=150" >/dev/null
begun=$(date +%s%N)
answered=$(asked 5)
took=$((($(date +%s%N) - begun) / 1000000))
echo "delay of 150 ms each way: tcp $answered, $([ $took -ge 300 ] &&
    echo at least 300 ms)"
ctl fabric "fault * * double=50 reorder=30 loss=20" >/dev/null
before=$(value near echoed)
echo "doubled, reordered, lost: $(wait_for 10 at_least near echoed \
    $((before + 200)) && echo passes), tcp $(asked 5)"
ctl fabric clear >/dev/null
callers_stop
broken_promises --min-streams 50
