"""A service whose name has 64 bytes or more.  See claim.txt."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_2"))
import deployment  # noqa: E402

SHORT = "permit-desk"
LONG = "permit-desk.gh-south.volta-shedline-permits-franchise-office.example"
SECONDS = 20


def play(fleet, trouble):
    service = LONG if trouble else SHORT
    route = ("198.18.0.1", 8080, service)
    fleet.record.add("service %s, %d bytes" % (service, len(service)))
    fleet.start(3, 3)
    fleet.add_hosts(6, service)
    if not fleet.put(deployment.manifest(7, [service], [route])) or (
            not fleet.wait(10, lambda: all(e.ready for e in fleet.entries))):
        return 2
    time.sleep(2 * deployment.HEARTBEAT_S)
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        fleet.open_flow(route[0], route[1], 0.5)
        time.sleep(0.5)
    fleet.record.add("served %d; flows opened: %d of %d" % (
        fleet.judge.served, sum(flow.host is not None for flow in fleet.flows),
        len(fleet.flows)))
    if fleet.judge.served == 0:
        fleet.judge.break_rule("Fault", "no request is served, although the "
                               "manifest is acknowledged and 6 hosts live")
    leaving = fleet.hosts[:2]
    for host in leaving:
        host.state = "draining"
        fleet.record.add("host %d: leaves" % host.index)
    fleet.wait(fleet.bounds["ack_timeout_ms"] / 1000.0, lambda: all(
        host.drain_acked is not None for host in leaving))
    unacked = [host.index for host in leaving if host.drain_acked is None]
    if unacked:
        fleet.judge.break_rule("Acks", "hosts %s say that they leave and have "
                               "no acknowledgement after ack_timeout_ms"
                               % unacked)
    return 1 if fleet.judge.broken else 0


sys.exit(deployment.run_case(HERE, play))
