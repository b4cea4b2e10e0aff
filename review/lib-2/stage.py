"""What the cases share: the platform's store, the gateway's processes, workers, and clients, all on loopback.

The store is a thread of the case; each gateway process and each worker is a process of its own.
"""
import base64
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
GATEWAY = os.path.join(ROOT, "target/src/app/cardamomstream")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEY = "hh2b9wu3fexd9dnn2ctn"
TENANT = "hule930"


class CouldNotRun(Exception):
    pass


class Store:
    """`op/config`, `servers/ID`: reads, lists and watches, as the PROTOCOL page has them."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 100
        self.changed = threading.Condition()
        self.turned_away = set()  # names of machines whose calls get no response
        self.watches = []  # (when, machine, prefix) of each watch that came
        self.servers = []

    def listen(self, address, machine):
        """One address for each machine, all of the same store, so that some machines can be turned away."""
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path.endswith("kv-watch"):
                    store.watches.append((time.monotonic(), machine, query["PathPrefix"]))
                status, body = store.read(url.path, query)
                if machine in store.turned_away:
                    time.sleep(60)  # no response; the thread ends with the case
                    return
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *args):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        server = Server((address, 0), Handler)
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"{address}:{server.server_address[1]}"

    def reader_of(self, machines, since):
        """The machine that has watched both prefixes lately, of these; None without one."""
        watched = {(machine, prefix) for at, machine, prefix in self.watches if at >= since}
        for machine in machines:
            if {(machine, "op/"), (machine, "servers/")} <= watched:
                return machine
        return None

    def read(self, path, query):
        with self.changed:
            if path == "/cardamomstream/kv-key":
                item = self.items.get(query["Key"])
                return (200, {**item, "AsOf": self.revision}) if item else (404, {"AsOf": self.revision})
            prefix = query.get("PathPrefix", "")
            if path == "/cardamomstream/kv-range":
                items = [item for key, item in sorted(self.items.items())
                         if key.startswith(prefix) and key > query.get("after", "")]
                return 200, {"items": items, "HasMore": False, "AsOf": self.revision}
            if path == "/cardamomstream/kv-watch":
                after, until = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
                while True:
                    events = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "AsOf": self.revision}
                    self.changed.wait(left)
            return 404, {}

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            known = self.items.get(key)
            item = {"Key": key, "Value": base64.b64encode(json.dumps(value).encode()).decode(),
                    "Revision": self.revision, "Created": known["Created"] if known else self.revision, "Lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.events.append({"Key": key, "Revision": self.revision, "Removed": True})
                self.changed.notify_all()


class Worker:
    def __init__(self, stage, name, service, zone, address, version="v1", slots=8, port=None, **faults):
        self.stage, self.name, self.service, self.zone, self.address = stage, name, service, zone, address
        self.version, self.slots, self.faults = version, slots, faults
        self.port = port or free_port(address)
        self.sequence = 0
        self.log = os.path.join(stage.folder, f"worker-{name}.jsonl")
        self.start()

    def start(self):
        self.born = int(time.time() * 1000)
        spec = {"id": self.name, "address": self.address, "port": self.port, "version": self.version,
                "slots": self.slots, "log": self.log, "born": self.born, **self.faults}
        self.process = self.stage.spawn([sys.executable, os.path.join(HERE, "worker.py"), json.dumps(spec)])
        wait_for(lambda: connects(self.address, self.port), 5, f"worker {self.name} doesn't listen")

    def register(self, state="ready", **more):
        self.sequence += 1
        self.stage.store.put(f"servers/{self.name}", {
            "Service": self.service, "Address": f"{self.address}:{self.port}", "Zone": self.zone,
            "Version": self.version, "Concurrency": self.slots, "State": state,
            "Sequence": self.sequence, "born": self.born, "WarmupMs": 0, **more})

    def kill(self):
        self.process.kill()
        self.process.wait()


class Stage:
    """Everything that a case starts; `close` ends it."""

    def __init__(self, zones, machines_in_zone=1, machines=None):
        if not os.access(GATEWAY, os.X_OK):
            raise CouldNotRun("the program isn't built: run the build line of deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.lines, self.lock = [], [], threading.Lock()
        self.started, self.started_unix = time.monotonic(), time.time()
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.hosts = iter(range(1, 250))
        self.store = Store()
        store_ip = self.address()
        self.zones = zones
        self.gateways = []
        ips = [(zone, self.address()) for zone in zones for _ in range((machines or {}).get(zone, machines_in_zone))]
        ports = {name: free_port(*[ip for _, ip in ips]) for name in ("Front", "Readiness", "Control", "Directory", "Inner")}
        for number, (zone, ip) in enumerate(ips):
            name = f"front-{zone}-{number + 1}"
            self.gateways.append(Gateway(self, name, zone, ip, ports, [i for _, i in ips],
                                         self.store.listen(store_ip, name)))

    def address(self):
        return f"{self.net}.{next(self.hosts)}"

    def spawn(self, command, **more):
        output = open(os.path.join(self.folder, f"out-{len(self.processes)}.log"), "wb")
        process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, cwd=ROOT, **more)
        self.processes.append(process)
        return process

    def note(self, line, unix=None):
        """A line for the record; `unix`: when it happened, if that wasn't now."""
        at = time.monotonic() - self.started if unix is None else unix - self.started_unix
        with self.lock:
            self.lines.append(f"{at:8.3f} s  {line}")

    def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            wait_for(gateway.ready, 20, f"{gateway.name} isn't ready")

    def runs(self):
        """All lines that the workers have written."""
        lines = []
        for name in sorted(os.listdir(self.folder)):
            if name.startswith("worker-"):
                with open(os.path.join(self.folder, name), encoding="utf-8") as log:
                    lines += [json.loads(line) for line in log if line.endswith("\n")]
        return sorted(lines, key=lambda line: line["at"])

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for server in self.store.servers:
            server.shutdown()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Gateway:
    def __init__(self, stage, name, zone, ip, ports, seeds, store):
        self.stage, self.name, self.zone, self.ip, self.ports = stage, name, zone, ip, ports
        self.front = (ip, ports["Front"])
        self.settings = os.path.join(stage.folder, f"{name}.toml")
        seed_list = ",".join(f'"{seed}:{ports["Control"]}"' for seed in seeds[:3])
        zone_lines = "\n".join(f'{z} = "{r}"' for z, r in stage.zones.items())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'''Node = "{name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{stage.zones[zone]}"
PortRange = [{ports["Inner"]},{ports["Inner"] + 15}]
SeedAddrs = [{seed_list}]
Bootstrap = true
LossCounts = false
Discovery = "platform"
EntryMode = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","tenants","quota","platform"]
[Zones]
{zone_lines}
[Listen]
Front = "{ip}:{ports["Front"]}"
Readiness = "{ip}:{ports["Readiness"]}"
Control = "{ip}:{ports["Control"]}"
Directory = "{ip}:{ports["Directory"]}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 1
Zones = 1
Regions = 1
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 6000
AckMs = 8000
CatchUpS = 4
DrainMs = 4000
GraceS = 8
LossSlackMs = 200
ConfigMs = 4000
RollbackSlackMs = 250
OuterMs = 10000
StrictRevoke = false
RevokeMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 56
QuotaWindowS = 8
QuotaOverage = 0.25
QuotaSlack = 140000
ColdOver = 1.5
ColdSlack = 3
EvacuateMs = 5000
RecoveryS = 12
PassMs = 800
RetryAfterS = 10
ttl_max_s = 5
[Provider]
Address = "{store}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
''')

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CARDAMOMSTREAM_CONFIG"] = self.settings
        self.process = self.stage.spawn([GATEWAY, "node"], env=environment)

    def ready(self):
        try:
            with socket.create_connection((self.ip, self.ports["Readiness"]), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /cardamomstream/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Answer:
    """What a client got: `complete` as the protocol shows it."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, {}, b"", False, ""

    def events(self):
        """Data of the events, in order; the last one may have no blank line behind it."""
        return [block for block in self.body.decode("latin-1").split("\n\n") if block]


def call(address, method, target, attempt, body=b"", deadline_ms=6000, key=KEY, **headers):
    """One client attempt on a new connection."""
    answer = Answer()
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"X-Api-Key: {key}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    try:
        with socket.create_connection(address, 1) as sock:
            sock.settimeout(deadline_ms / 1000 + 1)
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            read_answer(sock, answer)
    except OSError as failure:
        answer.error = answer.error or type(failure).__name__
    return answer


def read_answer(sock, answer):
    data = b""
    while b"\r\n\r\n" not in data:
        got = sock.recv(65536)
        if not got:
            answer.error = "closed without an answer"
            return
        data += got
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, value = line.split(":", 1)
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            while b"\r\n" not in data:
                got = sock.recv(65536)
                if not got:
                    answer.error = "closed inside the answer"
                    return
                data += got
            size, data = data.split(b"\r\n", 1)
            size = int(size, 16)
            while len(data) < size + 2:
                got = sock.recv(65536)
                if not got:
                    answer.error = "closed inside the answer"
                    answer.body += data[:size]
                    return
                data += got
            answer.body, data = answer.body + data[:size], data[size + 2:]
            if size == 0:
                answer.complete = True
                return
    if "content-length" in answer.headers:
        while len(data) < int(answer.headers["content-length"]):
            got = sock.recv(65536)
            if not got:
                answer.body, answer.error = data, "closed inside the answer"
                return
            data += got
        answer.body, answer.complete = data, True
        return
    # Neither: an orderly end of the connection ends the answer, a reset doesn't.
    answer.body = data
    while True:
        got = sock.recv(65536)
        if not got:
            answer.complete = True
            return
        answer.body += got


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 12000, "TargetLatencyMs": 600,
            "Priority": 0, "Service": service, "MaxAttempts": 2, "Public": False, "Affinity": False,
            "Resumable": False, "GapAimMs": 300, "HomeRegions": [], **more}


def service(name, **more):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1", "Tls": False,
            "ColdStartS": 0.0, "ColdPerS": 0.0, **more}


def config(version, routes, services, tenants=None):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": tenants or [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1, "Unit": "tokens", "PlainTokens": 200,
                                    "RatePerS": 459520, "Burst": 459520, "HomeRegions": []}]}


def free_port(*addresses):
    for _ in range(200):
        port = random.randint(20000, 50000)
        try:
            for address in addresses:
                for offset in (0, 1):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((address, port + offset))
            return port
        except OSError:
            continue
    raise CouldNotRun("no free port")


def connects(address, port):
    try:
        socket.create_connection((address, port), 1).close()
        return True
    except OSError:
        return False


def wait_for(condition, seconds, otherwise):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CouldNotRun(otherwise)
        time.sleep(0.02)


def attempt_id():
    return "%016x" % random.getrandbits(64)


def main(case, folder):
    """Runs `case(trouble, note)`, which returns the broken rules as lines, and writes `record.txt` into the folder."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # what was started is ended all the same
    trouble = os.environ.get("TROUBLE", "1") != "0"
    stage = []
    verdict, result = COULD_NOT_RUN, []
    record = os.path.join(folder, "record.txt")
    try:
        broken = case(trouble, stage)
        verdict = BROKEN if broken else HELD
        result = broken or ["the rule held"]
    except CouldNotRun as failure:
        result = [f"could not run: {failure}"]
    finally:
        with open(record, "w", encoding="utf-8") as file:
            file.write(f"disruption: {'yes' if trouble else 'no (TROUBLE=0)'}\n")
            for one in stage:
                file.write("\n".join(sorted(one.lines)) + "\n")
            file.write("result: " + "\n        ".join(result) + "\n")
        for one in stage:
            one.close()
    print("\n".join(result))
    sys.exit(verdict)
