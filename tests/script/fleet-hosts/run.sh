# Hosts drain, leave, crash, start again under their id, and hand their
# addresses to the other service.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 3
hosts_start 9
fleet_serves 1
side drain 1
mark
wait_for 15 served 300 && echo "served while a host drains"
sleep 4
side leave 1
side host 1 books z1 "127.$B.7.1:8283"
side crash 2
mark
wait_for 20 served 300 && echo "served after a crash"
side reborn 2
side crash 3
side host 3 feeds z3 "127.$B.7.3:8283"
mark
wait_for 20 served 300 && echo "served after an address was taken over"
promises
