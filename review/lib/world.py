"""Stand-ins for the platform's store, workers and clients, and control of the gateway's processes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). All run in one event loop; the gateway's processes are
real ones, started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of a small deployment (DEPLOY.md, SYSTEM.md).
CONTACT_S = 6.0
DRAIN_S = 4.0
CONFIG_S = 4.0
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
MEMORY_MB = 260


def now():
    return time.monotonic()


def encode(value):
    """As the store keeps it."""
    return json.dumps(value, separators=(",", ":")).encode()


class CouldNotRun(Exception):
    """The case can't be judged."""


class Record:
    """The case's record of what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = now()

    def write(self, text):
        self._file.write(f"{now() - self.started:8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# ---- HTTP/1.1 of the stand-ins


async def read_head(reader):
    """First line and headers (names in lower case), or None at the end of the channel."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close):
    """The whole body; raises when the channel ends before it."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, headers, body=b""):
    return head_bytes(status, list(headers) + [("Content-Length", len(body))]) + body


def chunk_bytes(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Listener:
    """Accepts channels on one loopback address; all of them can be cut."""

    def __init__(self, serve):
        self._serve = serve
        self._server = None
        self._writers = set()
        self.address = None

    async def open(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._accept, ip, port, limit=1 << 22)
        self.address = self._server.sockets[0].getsockname()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def cut_channels(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self):
        """As after the end of its process: no listener, and every channel reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.cut_channels()
        await asyncio.sleep(0)


# ---- The platform's store


class Store:
    """Items, one revision counter, lists and watches. Each VM has a door of its own, to tell the VMs apart."""

    def __init__(self, record):
        self._record = record
        self._items = {}  # key: (value, revision, created)
        self._history = []  # (time, revision, key, value or None)
        self._dropped_up_to = 0
        self.revision = 0
        self.era = 1
        self.away = False
        self._changed = asyncio.Event()
        self._doors = {}
        self.watches = {}  # door: number of watches

    async def open_door(self, name):
        door = Listener(lambda reader, writer: self._serve(name, reader, writer))
        await door.open()
        self._doors[name] = door
        self.watches[name] = 0
        return "%s:%d" % door.address

    async def close(self):
        for door in self._doors.values():
            await door.close()

    def value(self, key):
        """None when there is no such item."""
        return self._items[key][0] if key in self._items else None

    def put(self, key, value):
        assert not self.away
        text = encode(value)
        self.revision += 1
        created = self._items[key][2] if key in self._items else self.revision
        self._items[key] = (text, self.revision, created)
        self._note(key, text)
        return self.revision

    def remove(self, key):
        assert not self.away
        self.revision += 1
        self._items.pop(key, None)
        self._note(key, None)
        return self.revision

    def _note(self, key, value):
        self._history.append((now(), self.revision, key, value))
        while self._history and now() - self._history[0][0] > HISTORY_S:
            self._dropped_up_to = self._history.pop(0)[1]
        what = "removed" if value is None else value.decode()[:160]
        self._record.write(f"store: revision {self.revision} {key} {what}")
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def go_away(self):
        """Resets every channel, and new ones too."""
        self.away = True
        for door in self._doors.values():
            door.cut_channels()

    def come_back(self):
        self.away = False

    def copy(self):
        return dict(self._items), self.revision

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and revisions go back."""
        self._items, self.revision = dict(copy[0]), copy[1]
        self._history = [change for change in self._history if change[1] <= self.revision]
        self.era += 1

    async def _serve(self, name, reader, writer):
        while True:
            if self.away:
                writer.transport.abort()
                return
            head = await read_head(reader)
            if head is None:
                return
            if self.away:
                writer.transport.abort()
                return
            url = urlsplit(head[0].split(" ")[1])
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            status, body = await self._answer(name, url.path, query)
            if self.away:
                writer.transport.abort()
                return
            headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
            writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, name, path, query):
        if path == "/cardamomstream/kv-range":
            return 200, self._list(query)
        if path == "/cardamomstream/kv-watch":
            self.watches[name] += 1
            return await self._watch(query)
        if path == "/cardamomstream/kv-key" and query.get("Key") in self._items:
            return 200, {**self._item(query["Key"]), "AsOf": self.revision}
        return 404, {}

    def _item(self, key):
        value, revision, created = self._items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": revision,
                "Created": created, "Lease": 0}

    def _list(self, query):
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        return {"items": [self._item(key) for key in keys[:500]], "HasMore": len(keys) > 500,
                "AsOf": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        era, until = self.era, now() + int(query["WaitMs"]) / 1000
        while True:
            if after > self.revision or after < self._dropped_up_to or era != self.era:
                return 410, {}
            events = []
            for _, revision, key, value in self._history:
                if revision <= after or not key.startswith(prefix):
                    continue
                event = {"Key": key, "Revision": revision}
                if value is None:
                    event["Removed"] = True
                else:
                    event["Value"] = base64.b64encode(value).decode()
                events.append(event)
            left = until - now()
            if events or left <= 0 or self.away:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass


# ---- Workers


class Worker:
    """A worker of one service, with its entry in the store."""

    def __init__(self, record, store, worker_id, service, zone, version="v1", slots=64, first_ms=60,
                 event_ms=40, events=20, work_ms=30):
        self._record, self._store = record, store
        self.id, self.service, self.zone, self.version = worker_id, service, zone, version
        self.slots, self.first_ms, self.event_ms, self.events = slots, first_ms, event_ms, events
        self.work_ms = work_ms
        self.born = int(time.time() * 1000)
        self.listener = Listener(self._serve)
        self.address = None  # kept over restarts
        self.arrivals = []  # (time, attempt) of the requests that it ran
        self.registered = False
        self.state = "ready"
        self.fault = None  # async function(worker, reader, writer, head of request) in place of the answer
        self._beat = None
        self._running = 0

    async def start(self):
        ip, port = self.address or ("127.0.0.1", 0)
        await self.listener.open(ip, port)
        self.address = self.listener.address
        self.registered = True
        self.register()
        self._beat = asyncio.create_task(self._beats())

    def entry(self):
        return {"Service": self.service, "Address": "%s:%d" % self.address, "Zone": self.zone,
                "Version": self.version, "Concurrency": self.slots, "State": self.state, "WarmupMs": 0,
                "Stage": "hybrid", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Sequence": 1,
                "born": self.born}

    def register(self):
        """Writes the entry if it is missing or says something else; a beat alone is no change."""
        if not self.registered or self._store.away:
            return
        key, entry = "servers/" + self.id, self.entry()
        if self._store.value(key) != encode(entry):
            self._store.put(key, entry)

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def restart(self, version, down_s):
        """Ends, and starts again under its id at its address; what it ran is lost."""
        self._record.write(f"worker {self.id}: ends, to start again with version {version}")
        await self.listener.close()
        await asyncio.sleep(down_s)
        self.version, self.born = version, int(time.time() * 1000)
        await self.listener.open(*self.address)
        self._record.write(f"worker {self.id}: runs with version {version}")
        self.register()

    def leave_without_notice(self):
        """Its entry is removed without a word; it serves on."""
        self.registered = False
        return self._store.remove("servers/" + self.id)

    async def stop(self):
        self.registered = False
        if self._beat is not None:
            self._beat.cancel()
        await self.listener.close()

    async def _serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            body = await read_body(reader, headers, False)
            method, target, _ = line.split(" ")
            load = ("X-Server-Load", f"{self._running},0,{self.slots}")
            if target == "/health":
                writer.write(answer_bytes(200, [("X-Instance-Id", self.id), load]))
                await writer.drain()
                continue
            if target == "/cardamomstream/report":
                report = {"Stage": "hybrid", "Models": [], "Busy": False, "Sequence": 1, "Queued": 0,
                          "Running": self._running, "KvUsed": 0, "KvTotal": 400000, "Handles": 0,
                          "born": self.born}
                writer.write(answer_bytes(200, [("Content-Type", "application/json")],
                                          json.dumps(report).encode()))
                await writer.drain()
                continue
            attempt = headers.get("x-attempt-id", "")
            own = [("X-Attempt-Id", attempt)]
            if headers.get("x-expect-instance", self.id) != self.id:
                writer.write(answer_bytes(421, own + [("X-Instance-Id", self.id)]))
                await writer.drain()
                continue
            self.arrivals.append((now(), attempt))
            self._record.write(f"worker {self.id} ({self.version}): runs {attempt} {method} {target} "
                               f"tenant={headers.get('x-tenant', '')} "
                               f"after={headers.get('last-event-id', '')}")
            own += [("X-Server-Stamp", f"stamp.{self.id}.{attempt}"), load]
            self._running += 1
            try:
                if self.fault is not None:
                    await self.fault(self, reader, writer, own)
                    return
                if self.service.startswith("drafter"):
                    await self._stream(writer, own, headers, attempt)
                else:
                    await asyncio.sleep(self.work_ms / 1000)
                    writer.write(answer_bytes(200, own, f"answer to {attempt} by {self.id}".encode()))
                    await writer.drain()
            finally:
                self._running -= 1

    async def _stream(self, writer, own, headers, attempt):
        await asyncio.sleep(self.first_ms / 1000)
        writer.write(head_bytes(200, own + [("Content-Type", "text/event-stream"),
                                            ("Transfer-Encoding", "chunked")]))
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.id}\n\n"
            writer.write(chunk_bytes(event.encode()))
            await writer.drain()
            await asyncio.sleep(self.event_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# ---- The gateway's processes


def network():
    """Loopback addresses of this run's VMs."""
    return "127.%d.%d." % (64 + random.randrange(128), random.randrange(256))


class Vm:
    def __init__(self, world, number, zone, region):
        self._world = world
        self.name = f"front-{zone}-{number}"
        self.zone, self.region = zone, region
        self.ip = world.net + str(10 + number)
        self.process = None
        self.starts = 0
        self.settings = None

    @property
    def front(self):
        return self.ip, 8501

    async def prepare(self):
        store = await self._world.store.open_door(self.name)
        seeds = ",".join(f'"{vm.ip}:8509"' for vm in self._world.vms[:3])
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self._world.zones.items())
        self.settings = os.path.join(self._world.folder, self.name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'''Node = "{self.name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "{self.region}"
PortRange = [7020,7035]
SeedAddrs = [{seeds}]
Bootstrap = true
LossCounts = false
Discovery = "platform"
EntryMode = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","tenants","quota","platform"]
[Zones]
{zones}
[Listen]
Front = "{self.ip}:8501"
Readiness = "{self.ip}:8503"
Control = "{self.ip}:8509"
Directory = "{self.ip}:8506"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = {MEMORY_MB}
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
BudgetExtra = 52
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
        self.starts += 1
        log = open(os.path.join(self._world.folder, f"{self.name}-{self.starts}.log"), "wb")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CARDAMOMSTREAM_CONFIG"] = self.settings
        self.process = subprocess.Popen(self._world.command, cwd=REPO, env=environment, stdout=log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self._world.record.write(f"VM {self.name}: process {self.process.pid} starts")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._world.record.write(f"VM {self.name}: process {self.process.pid} was killed")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait()

    async def ready(self):
        try:
            channel = await Channel.open((self.ip, 8503))
        except OSError:
            return False
        try:
            result = await channel.call("GET", "/cardamomstream/ready", [], timeout_s=1)
            return result.status == 200
        finally:
            channel.close()


# ---- Clients


class Result:
    """What a client saw of one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.reason = ""


class Channel:
    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer
        self.requests = 0
        self.usable = True

    @staticmethod
    async def open(address):
        return Channel(*await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 22), 1))

    def close(self):
        self.usable = False
        self._writer.close()

    async def call(self, method, target, headers, body=b"", timeout_s=15):
        """Sends one request and reads its whole answer; never raises for what the other side does."""
        result = Result()
        self.requests += 1
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append("Host: site.example")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(self._receive(result), timeout_s)
        except asyncio.TimeoutError:
            result.reason = "no whole answer in time"
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError) as failure:
            result.reason = f"the channel broke: {type(failure).__name__}"
        if not result.whole or result.headers.get("connection", "").lower() == "close":
            self.close()
        return result

    async def _receive(self, result):
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionError
        result.status, result.headers = int(head[0].split(" ")[1]), head[1]
        if result.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await self._reader.readline()
                if not line.endswith(b"\r\n"):
                    raise ConnectionError
                size = int(line.split(b";")[0], 16)
                part = await self._reader.readexactly(size + 2)
                if size == 0:
                    break
                result.body += part[:-2]
        else:
            result.body = await read_body(self._reader, result.headers, True)
        result.whole = True


_attempts = 0


def attempt_id():
    global _attempts
    _attempts += 1
    return f"{os.getpid():08x}{_attempts:08x}"


def request_headers(attempt, key, deadline_ms, tokens=None, extra=()):
    headers = [("Host", "site.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", deadline_ms),
               ("X-Api-Key", key)]
    if tokens is not None:
        part = random.getrandbits(32)
        headers += [("X-Model", "m"), ("X-Token-Usage", f"{tokens},80"),
                    ("X-Prompt-Prefix", f"5c1e07a2:100,{part:x}:{tokens - 100}")]
    return headers + list(extra)


# ---- Configurations


def config(version, keys=("key-a",), streams=None, calls=None):
    """A configuration with one route of each kind; `streams` and `calls` change fields of these."""
    stream = {"Name": "r-streams", "Host": "site.example", "PathPrefix": "/streams/", "Kind": "streaming",
              "TimeoutMs": 12000, "TargetLatencyMs": 1200, "Priority": 2, "Service": "drafter",
              "MaxAttempts": 2, "Public": False, "Affinity": True, "Resumable": False, "GapAimMs": 300,
              "HomeRegions": []}
    call = {"Name": "r-calls", "Host": "site.example", "PathPrefix": "/calls/", "Kind": "non_idempotent",
            "TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 2, "Service": "filing",
            "MaxAttempts": 1, "Public": False, "Affinity": False, "Resumable": False, "HomeRegions": []}
    engine = {"Concurrency": 64, "KvCapacity": 429672, "KvBytes": 163840, "LinkMbps": 370000.0,
              "Moves": True, "Backups": True, "Stride": 7, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
              "handle_s": 5.0, "Models": [{"Name": "m"}]}
    return {
        "Version": version,
        "Routes": [{**stream, **(streams or {})}, {**call, **(calls or {})}],
        "Services": [
            {"Name": "drafter", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1",
             "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0, "Engine": engine},
            {"Name": "filing", "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1",
             "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "tenant-" + key.split("-")[1], "ApiKeys": [key], "Priority": 1,
                     "Unit": "tokens", "PlainTokens": 200, "RatePerS": 0, "Burst": 0, "HomeRegions": []}
                    for key in keys]}


# ---- One case


def deploy_command():
    with open(os.path.join(REPO, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["gateway"]["run"].split(" ")


class World:
    def __init__(self, case_folder, zones):
        self.record = Record(case_folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="cardamomstream-review-")
        self.net = network()
        self.zones = zones  # name: region
        self.store = Store(self.record)
        self.vms = []
        self.workers = []
        self.command = deploy_command()

    def add_vms(self, zone, count):
        for _ in range(count):
            self.vms.append(Vm(self, len(self.vms) + 1, zone, self.zones[zone]))

    def add_worker(self, worker_id, service, zone, **traits):
        self.workers.append(Worker(self.record, self.store, worker_id, service, zone, **traits))
        return self.workers[-1]

    async def start(self, config):
        """Everything runs, and every VM is ready; traffic starts 10 s after the machines do."""
        if not os.access(os.path.join(REPO, self.command[0]), os.X_OK):
            raise CouldNotRun(f"{self.command[0]} has not been built")
        self.store.put("op/config", config)
        for worker in self.workers:
            await worker.start()
        for vm in self.vms:
            await vm.prepare()
        for vm in self.vms:
            vm.start()
        await asyncio.sleep(10)
        for vm in self.vms:
            if not await vm.ready():
                raise CouldNotRun(f"{vm.name} is not ready after 10 s")

    async def end(self):
        for vm in self.vms:
            vm.end()
        for worker in self.workers:
            await worker.stop()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, case_file, zones):
    """Exits with the verdict that `case(world)` returns."""

    async def play():
        world = World(os.path.dirname(os.path.abspath(case_file)), zones)
        world.record.say(f"trouble: {'yes' if world.trouble else 'no'}")
        try:
            verdict = await case(world)
        except (CouldNotRun, OSError) as failure:
            world.record.say(f"the case could not run: {failure}")
            verdict = NOT_RUN
        finally:
            await world.end()
        world.record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                          NOT_RUN: "the case could not run"}[verdict])
        return verdict

    sys.stdout.reconfigure(line_buffering=True)
    # Nothing of a case may outlive it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(play()))
