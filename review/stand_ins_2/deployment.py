"""A small deployment on loopback addresses, for the scripts of the cases.

Starts the project's two roles with the commands of deploy/system.toml, each
with a settings file as DEPLOY.md describes it, and plays the platform around
them: hosts, requesters, the router and the operator, as PROTOCOL.md describes
them.  Everything runs in one process beside the daemons; the stand-ins use a
thread for each call over HTTP and one for packets.
"""
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
DATAGRAM_PORT = 8172
READY_PORT = 8167
CALLS_PORT = 8166
INNER_PORTS = [7720, 7735]


def pick_net():
    """A second number for all addresses of this run whose ports are free."""
    first = os.getpid() % 200
    for step in range(200):
        net = 20 + (first + step) % 200
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as packets:
                packets.bind(("127.%d.8.1" % net, DATAGRAM_PORT))
                with socket.socket(socket.AF_INET,
                                   socket.SOCK_STREAM) as inner:
                    inner.bind(("127.%d.5.1" % net, INNER_PORTS[0]))
            return net
        except OSError:
            continue
    return 20 + first  # taken: the case cannot run


NET = pick_net()
HEARTBEAT_S = 0.77
CALL_TIMEOUT_S = 1.0
SYN, BOUNCED, FIN, ACK, RST = 1, 4, 16, 32, 128
HEAD = struct.Struct("<IHIHHIB3sIII")
SUM_KEY = b"the key of the sums of this stand-in"


class Record:
    """What was sent, answered and run, a line each, with the time in s."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start,
                                             text))
            self.file.flush()


def call(address, method, path, body=None, timeout=CALL_TIMEOUT_S):
    """One call over HTTP; returns (status, body), status 0 for no answer."""
    data = b"" if body is None else body
    head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, address)
    if method == "POST":
        head += "Content-Type: application/json\r\nContent-Length: %d\r\n" % (
            len(data))
    head += "Connection: close\r\n\r\n"
    host, port = address.split(":")
    end = time.monotonic() + timeout
    try:
        with socket.create_connection((host, int(port)), timeout) as link:
            link.sendall(head.encode() + data)
            got = b""
            while True:
                left = end - time.monotonic()
                if left <= 0:
                    return 0, b""
                link.settimeout(left)
                part = link.recv(65536)
                if not part:
                    break
                got += part
                if b"\r\n\r\n" in got:
                    top, rest = got.split(b"\r\n\r\n", 1)
                    for line in top.split(b"\r\n")[1:]:
                        name, _, value = line.partition(b":")
                        if name.lower() == b"content-length" and (
                                len(rest) >= int(value)):
                            return int(top.split()[1]), rest[:int(value)]
        return 0, b""
    except (OSError, ValueError, IndexError):
        return 0, b""


class Daemon:
    """A process of the project."""

    def __init__(self, fleet, role, number, zone):
        self.fleet, self.role, self.number, self.zone = (
            fleet, role, number, zone)
        self.name = "%s-%d" % (role, number)
        part = 5 if role == "control" else 6
        self.ip = "127.%d.%d.%d" % (NET, part, number)
        self.calls = "%s:%d" % (self.ip, CALLS_PORT)
        self.process = None
        self.ready = False
        self.misses = 0

    def write_settings(self, bootstrap):
        control = self.role == "control"
        listen = ({"control": self.calls} if control else
                  {"datagram_addr": "%s:%d" % (self.ip, DATAGRAM_PORT),
                   "readiness_addr": "%s:%d" % (self.ip, READY_PORT)})
        data = None
        if control:
            data = os.path.join(self.fleet.folder, "data-" + self.name)
            os.makedirs(data, exist_ok=True)
        settings = {
            "node_name": self.name, "role": self.role,
            "machine_class": "core" if control else "edge",
            "serves": ["control_plane" if control else "edge"],
            "ip": self.ip, "zone": self.zone, "region": "gh-south",
            "zones": {zone: "gh-south" for zone in self.fleet.zones},
            "listen": listen, "internal_ports": INNER_PORTS,
            "seeds": [daemon.calls for daemon in self.fleet.controls[:3]],
            "bootstrap": bootstrap, "in_tolerance": control,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 256,
                       "max_fds": 4096, "link_mbps": 1000.0,
                       "disk_mb": 128 if control else 0},
            "data_dir": data, "discovery": "registration",
            "entry_mode": "anycast", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "policies": ["base", "drain", "config", "cost", "recover",
                         "flows"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.fleet.bounds, "config_mode": "highest",
            "hash_mode": "mod", "forwarding_mode": "echo"}
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path + ".new", "w") as file:
            json.dump(settings, file)
        os.rename(path + ".new", path)
        return path

    def start(self, bootstrap=False):
        environment = {key: os.environ[key]
                       for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["PARSLEYSPUR_NODE_FILE"] = self.write_settings(bootstrap)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            self.fleet.commands[self.role], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.record.add("platform: start %s bootstrap=%s" % (
            self.name, bootstrap))

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.fleet.record.add("platform: kill %s" % self.name)

    def wipe(self):
        data = os.path.join(self.fleet.folder, "data-" + self.name)
        shutil.rmtree(data, ignore_errors=True)
        self.fleet.record.add("platform: %s loses its disk" % self.name)


class Packet:
    """A packet as on the wire, decoded."""

    def __init__(self, data):
        (self.echo, self.len, self.src, self.dport, self.sport, self.dst,
         self.flags, _, self.sum, self.seq, self.ack) = HEAD.unpack(
             data[:HEAD.size])
        self.data = data[HEAD.size:]

    def intact(self):
        return self.sum == checksum(self.len, self.src, self.dport,
                                    self.sport, self.dst, self.flags,
                                    self.seq, self.ack, self.data)


def checksum(*parts):
    text = SUM_KEY + repr(parts).encode()
    return zlib.crc32(text) or 1


def encode(echo, src, sport, dst, dport, flags, seq, ack, data=b""):
    total = checksum(len(data), src, dport, sport, dst, flags, seq, ack, data)
    return HEAD.pack(echo, len(data), src, dport, sport, dst, flags,
                     b"\0\0\0", total, seq, ack) + data


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


class Host:
    """A host of a service: UDP for packets, TCP for liveness checks."""

    def __init__(self, fleet, index, service, zone):
        self.fleet, self.index, self.service, self.zone = (
            fleet, index, service, zone)
        self.ip = "127.%d.7.%d" % (NET, index)
        self.port = 8283
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.alive = True
        self.flows = {}
        self.ran = {}
        self.checked_in = False
        self.drain_acked = None
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((self.ip, self.port))
        self.udp.setblocking(False)
        self.tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((self.ip, self.port))
        self.tcp.listen(128)
        threading.Thread(target=self.serve_checks, daemon=True).start()
        threading.Thread(target=self.check_in_always, daemon=True).start()

    def serve_checks(self):
        while self.alive:
            try:
                link, _ = self.tcp.accept()
            except OSError:
                return
            link.settimeout(1)
            try:
                if link.recv(4096):
                    link.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                 b"Connection: close\r\n\r\n")
            except OSError:
                pass
            link.close()

    def check_in(self):
        """Say the state once, to one daemon after the other."""
        daemons = self.fleet.callable()
        random.shuffle(daemons)
        for daemon in daemons:
            self.seq += 1
            body = json.dumps({
                "service": self.service,
                "address": "%s:%d" % (self.ip, self.port),
                "zone": self.zone, "version": "v1", "slots": 2,
                "state": self.state, "warmup_left_ms": 0, "seq": self.seq,
                "born": self.born}).encode()
            status, _ = call(daemon.calls, "POST",
                             "/v1/Instances.Heartbeat/" + self.id, body)
            self.fleet.record.add("host %d: check-in %s seq %d at %s -> %d" % (
                self.index, self.state, self.seq, daemon.name, status))
            if 200 <= status < 300:
                self.checked_in = True
                return True
        return False

    def check_in_always(self):
        time.sleep(random.random() * 0.3)
        while self.alive:
            if self.check_in() and self.state == "draining" and (
                    self.drain_acked is None):
                self.drain_acked = time.monotonic()
            time.sleep(HEARTBEAT_S * (0.9 + 0.2 * random.random()))

    def send(self, to, flow, flags, data=b""):
        out = encode(flow["echo"], to.dst, to.dport, to.src, to.sport, flags,
                     flow["seq"], flow["ack"], data)
        requester = socket.inet_ntoa(struct.pack(">I", to.src))
        self.fleet.send_from(self.udp, out, (requester, DATAGRAM_PORT))

    def receive(self, data):
        if len(data) < 8 + HEAD.size:
            return
        wanted = int.from_bytes(data[:8], "big")
        packet = Packet(data[8:])
        if wanted not in (0, int(self.id[2:], 16)) or not self.alive:
            return
        if not packet.intact():
            self.fleet.judge.altered(self, packet)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["first"] != packet.seq:
                flow = self.flows[key] = {
                    "first": packet.seq, "seq": random.getrandbits(31),
                    "ack": packet.seq + 1 & 0xffffffff, "open": False,
                    "echo": packet.echo}
                flow["start"] = flow["seq"]
            self.send(packet, flow, SYN | ACK)
            return
        if flow is None:
            if not packet.flags & RST:
                # A host that does not hold the flow resets it.
                self.send(packet, {"echo": packet.echo, "seq": packet.ack,
                                   "ack": packet.seq}, RST)
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            if packet.ack != (flow["start"] + 1) & 0xffffffff:
                self.send(packet, flow, RST)
                return
            flow["open"] = True
            flow["seq"] = (flow["seq"] + 1) & 0xffffffff
            self.fleet.judge.opened(self, key, packet)
        if packet.flags & FIN:
            self.send(packet, flow, FIN | ACK)
            del self.flows[key]
            return
        if not packet.data:
            return
        if packet.seq == flow["ack"]:
            flow["ack"] = (packet.seq + len(packet.data)) & 0xffffffff
            request = packet.data.decode()
            name = request.split("X-Request-Id: ")[1].split("\r\n")[0]
            self.fleet.judge.run(self, name)
            body = "%s by %s" % (name, self.id)
            answer = ("HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\n"
                      "Content-Length: %d\r\n\r\n%s" % (
                          self.id, len(body), body)).encode()
            flow["last"] = (flow["seq"], answer)
            self.send(packet, flow, ACK, answer)
            flow["seq"] = (flow["seq"] + len(answer)) & 0xffffffff
        elif "last" in flow:
            seq, answer = flow["last"]
            self.send(packet, dict(flow, seq=seq), ACK, answer)


class Flow:
    """A requester's flow, which is kept open for many requests."""

    def __init__(self, fleet, index, dst, dport, pause_s):
        self.fleet, self.index, self.pause_s = fleet, index, pause_s
        self.src = number("127.%d.8.1" % NET)
        self.dst, self.dport = number(dst), dport
        self.sport = 20000 + fleet.next_port()
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.state = "opening"
        self.copies = 0
        self.host = None
        self.waiting = None
        self.count = 0
        self.started = self.due = time.monotonic()
        self.sent_at = 0
        self.tries = 0
        self.reset_by = None
        self.through = None

    def send(self, flags, data=b"", ack=None):
        packet = encode(self.echo, self.src, self.sport, self.dst, self.dport,
                        flags, self.seq, self.ack if ack is None else ack,
                        data)
        self.through = self.fleet.route_packet(self, packet)

    def tick(self, now):
        if self.state == "opening":
            if now >= self.due:
                if self.copies == 3:
                    self.state = "failed"
                    self.fleet.record.add(
                        "requester: flow %d did not open" % self.index)
                    return
                self.send(SYN, ack=self.copies)
                if self.copies == 0:
                    self.fleet.record.add("requester: flow %d SYN through %s"
                                          % (self.index, self.through))
                self.copies += 1
                self.due = self.started + (0.2, 0.6, 1.4)[self.copies - 1]
        elif self.state == "open":
            if self.waiting is None:
                if now >= self.due:
                    self.count += 1
                    name = "f%d-%d" % (self.index, self.count)
                    text = ("GET /feed HTTP/1.1\r\nX-Request-Id: %s\r\n\r\n"
                            % name).encode()
                    self.waiting = (name, text)
                    self.tries = 0
                    self.transmit(now)
            elif now >= self.sent_at + min(0.2 * 2 ** (self.tries - 1), 1.6):
                if self.tries > 6:
                    self.state = "failed"
                    self.fleet.record.add(
                        "requester: %s not answered" % self.waiting[0])
                    return
                self.transmit(now)

    def transmit(self, now):
        self.sent_at = now
        self.tries += 1
        self.send(ACK, self.waiting[1])
        self.fleet.record.add("requester: %s sent%s through %s" % (
            self.waiting[0], " again" if self.tries > 1 else "",
            self.through))

    def receive(self, packet, sender):
        if packet.flags & RST:
            own = packet.sum == 0
            if self.state in ("opening", "open"):
                self.fleet.judge.reset(self, own, sender)
                self.state = "reset"
            return
        if not packet.intact():
            self.fleet.judge.altered(self, packet)
            return
        self.echo = packet.echo
        if self.state == "opening" and packet.flags & SYN:
            self.ack = (packet.seq + 1) & 0xffffffff
            self.seq = (self.seq + 1) & 0xffffffff
            self.state = "open"
            self.due = time.monotonic()
            self.send(ACK)
        elif self.state == "open" and packet.data and self.waiting:
            text = packet.data.decode()
            if packet.seq != self.ack:
                return
            self.ack = (packet.seq + len(packet.data)) & 0xffffffff
            self.seq = (self.seq + len(self.waiting[1])) & 0xffffffff
            self.fleet.judge.answered(self, self.waiting[0], text)
            self.waiting = None
            self.due = time.monotonic() + self.pause_s
            self.send(ACK)


class Judge:
    """Counts what the rules name, from what the stand-ins have seen."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.served = 0
        self.broken = []
        self.runs = {}

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.fleet.record.add("BROKEN %s: %s" % (rule, text))

    def altered(self, who, packet):
        self.break_rule("UNASKED", "a packet was altered")

    def opened(self, host, key, packet):
        for flow in self.fleet.flows:
            if flow.sport == packet.sport:
                flow.host = host
        self.fleet.record.add("host %d: flow from port %d is open" % (
            host.index, packet.sport))

    def run(self, host, name):
        self.runs[name] = self.runs.get(name, 0) + 1
        self.fleet.record.add("host %d: ran %s" % (host.index, name))

    def answered(self, flow, name, text):
        if not text.endswith("%s by %s" % (name, flow.host.id)):
            self.break_rule("MIXED", "%s got %r" % (name, text))
        self.served += 1
        self.fleet.record.add("requester: %s answered by host %d" % (
            name, flow.host.index))

    def reset(self, flow, own, sender):
        self.fleet.record.add("requester: flow %d (%s, host %s) reset by %s" % (
            flow.index, flow.state,
            "-" if flow.host is None else flow.host.index,
            "the system at " + sender if own else "a host"))
        flow.reset_by = ("system" if own else "host", time.monotonic())


def read_commands():
    """The words of `run` of each role in the deploy file."""
    commands = {}
    role = None
    with open(os.path.join(ROOT, "deploy/system.toml")) as file:
        for line in file:
            if line.startswith("[roles."):
                role = line.strip()[len("[roles."):-1]
            elif line.startswith("run = ") and role is not None:
                commands[role] = line.split("=", 1)[1].strip().strip('"').split()
    return commands


class Fleet:
    """The daemons and all stand-ins."""

    def __init__(self, folder, record, zones=("accra-a", "accra-b", "tema-a", "tema-b")):
        self.commands = read_commands()
        self.folder, self.record, self.zones = folder, record, zones
        self.bounds = {
            "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000,
            "ack_timeout_ms": 5000, "sync_time_s": 4, "drain_ms": 3000,
            "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
            "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12,
            "reorder_window_ms": 2000, "flow_max_s": 60}
        self.controls, self.entries, self.hosts, self.flows = [], [], [], []
        self.judge = Judge(self)
        self.port = 0
        self.stopping = False
        self.requester = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.requester.bind(("127.%d.8.1" % NET, DATAGRAM_PORT))
        self.requester.setblocking(False)

    def start(self, controls, entries):
        for index in range(controls):
            self.controls.append(Daemon(self, "control", index + 1,
                                        self.zones[index % len(self.zones)]))
        for index in range(entries):
            self.entries.append(Daemon(self, "entry", index + 1,
                                       self.zones[index % len(self.zones)]))
        for daemon in self.controls + self.entries:
            daemon.start(bootstrap=True)
        threading.Thread(target=self.probe_always, daemon=True).start()
        threading.Thread(target=self.move_packets, daemon=True).start()

    def callable(self):
        """The daemons on the list of those that serve `control_plane`."""
        return list(self.controls)

    def next_port(self):
        self.port += 1
        return self.port

    def add_hosts(self, count, service):
        for _ in range(count):
            index = len(self.hosts) + 1
            self.hosts.append(Host(self, index, service,
                                   self.zones[index % len(self.zones)]))

    def probe_always(self):
        """The router's readiness checks, twice a second."""
        while not self.stopping:
            for entry in self.entries:
                status, _ = call("%s:%d" % (entry.ip, READY_PORT), "GET",
                                 "/v1/readyz", timeout=0.4)
                entry.misses = 0 if status == 200 else entry.misses + 1
                if (entry.misses == 0) != entry.ready and (
                        entry.misses in (0, 2)):
                    entry.ready = entry.misses == 0
                    self.record.add("router: %s is %s rotation" % (
                        entry.name, "in" if entry.ready else "out of"))
            time.sleep(0.5)

    def route_packet(self, flow, packet):
        """Hand a requester's packet to an entry daemon; returns its name."""
        ready = [entry for entry in self.entries if entry.ready]
        ready = ready if len(ready) * 2 >= len(self.entries) else self.entries
        key = struct.pack("<IHIH", flow.src, flow.sport, flow.dst, flow.dport)
        entry = ready[zlib.crc32(key) % len(ready)]
        self.send_from(self.requester, packet, (entry.ip, DATAGRAM_PORT))
        return entry.name

    @staticmethod
    def send_from(sender, data, to):
        try:
            sender.sendto(data, to)
        except OSError:
            pass

    def open_flow(self, dst, dport, pause_s):
        flow = Flow(self, len(self.flows) + 1, dst, dport, pause_s)
        self.flows.append(flow)
        return flow

    def move_packets(self):
        while not self.stopping:
            sockets = [host.udp for host in self.hosts]
            ready, _, _ = select.select(sockets + [self.requester], [], [],
                                        0.005)
            for source in ready:
                for _ in range(64):
                    try:
                        data, sender = source.recvfrom(4096)
                    except OSError:
                        break
                    if source is self.requester:
                        self.take_answer(data, sender[0])
                    else:
                        for host in self.hosts:
                            if host.udp is source:
                                host.receive(data)
            now = time.monotonic()
            for flow in list(self.flows):
                flow.tick(now)

    def take_answer(self, data, sender):
        if len(data) < HEAD.size:
            return
        packet = Packet(data)
        for flow in self.flows:
            if flow.sport == packet.dport:
                flow.receive(packet, sender)

    def put(self, manifest, limit_s=15):
        """The operator sends MANIFEST until it is acknowledged."""
        body = json.dumps(manifest).encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            daemon = random.choice(self.callable())
            status, _ = call(daemon.calls, "POST", "/v1/Config.Replace", body)
            self.record.add("operator: version %d at %s -> %d" % (
                manifest["version"], daemon.name, status))
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def wait(self, seconds, condition):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def stop(self):
        self.stopping = True
        for host in self.hosts:
            host.alive = False
        for daemon in self.controls + self.entries:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()


def manifest(version, services, routes):
    """ROUTES: (address, port, service)."""
    return {
        "version": version,
        "routes": [{"name": "r-%d" % port, "host": address,
                    "path_prefix": "/%d/" % port, "kind": "idempotent",
                    "timeout_ms": 1200, "target_latency_ms": 120,
                    "priority": 2, "service": service, "max_attempts": 2}
                   for address, port, service in routes],
        "services": [{"name": name, "health_path": "/health",
                      "max_conns": 2000, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run_case(folder, play):
    """Run PLAY(fleet, trouble); returns the exit status of the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add("TROUBLE=%d" % trouble)
    scratch = tempfile.mkdtemp(prefix="review-")
    fleet = None
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        fleet = Fleet(scratch, record)
        status = play(fleet, trouble)
    except Exception:  # the case could not run
        record.add(traceback.format_exc())
    finally:
        if fleet is not None:
            fleet.stop()
        if os.environ.get("KEEP") == "1":
            print("kept", scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.add("exit %d: %s" % (status, ("the rule held",
                                         "the rule was broken",
                                         "could not run")[status]))
    return status
