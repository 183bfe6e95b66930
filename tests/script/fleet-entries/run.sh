# Entry daemons stop, die, freeze and come back while flows are open.
. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../fleet.sh"
fleet_start 3 4
hosts_start 9
fleet_serves 1
echo "served"
for n in entry-1 control-1; do
    [ "$(metrics_of $n | grep -c '^parsleyspur_')" -gt 10 ] &&
        [ -z "$(described_twice $n)" ] && echo "$n describes each metric once"
done
kill -TERM "${PID[entry-1]}"
mark
wait_for 10 served 200 && echo "served during a planned stop"
wait_for 10 not is_running entry-1 && echo "entry-1 has ended"
daemon_up entry-1
kill_hard entry-2
mark
wait_for 15 served 200 && echo "served after a death"
daemon_up entry-2
kill -STOP "${PID[entry-3]}"
sleep 2
kill -CONT "${PID[entry-3]}"
mark
wait_for 15 served 200 && echo "served after a freeze"
kill_hard entry-1
kill_hard entry-2
kill_hard entry-3
kill_hard entry-4
for n in 1 2 3 4; do daemon_up "entry-$n"; done
mark
wait_for 20 served 200 && echo "served after the death of all"
promises
