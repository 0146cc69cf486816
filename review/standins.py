"""Stand-ins for the platform's store, upstreams and consumers, and a starter
for daemons. All of them use loopback addresses and the real clock, and run in
one process; each daemon is a process of its own, started with the command and
the settings template of deploy/."""
import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_slack": 62,
    "grace_s": 6,
}
CONFIG_MS = 2000
MAX_SKEW_MS = 5000
DRAIN_MS = 2000
STABILITY_MS = 3000
HEARTBEAT_S = 1.5
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable"}


def response_bytes(status, headers, body):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves `handle(request) -> (status, headers, body)`; None closes the
    connection without an answer."""

    def __init__(self, address, port, handle):
        self.address = address
        self.port = port
        self.handle = handle
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port, backlog=512)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(
                    Request(method, target, headers, body))
                if answer is None:
                    break
                writer.write(response_bytes(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store, as PROTOCOL describes it: objects by kind and
    name, one revision counter, conditional writes, watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.watching = {}

    async def start(self, address, port):
        self.server = HttpServer(address, port, self.handle)
        await self.server.start()

    async def handle(self, request):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[3:]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if request.method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, query)
            return self.list(kind, query)
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return self.answer(200 if found else 404, found or {})
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        if request.method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return self.answer(409, self.objects[kind, name])
            return self.answer(
                201, await self.put(kind, name, body.get("spec")))
        found = self.objects.get((kind, name))
        if found is None:
            return self.answer(404, {})
        expected = metadata.get("revision")
        if expected not in (None, found["metadata"]["revision"]):
            return self.answer(409, found)
        if request.method == "PUT":
            return self.answer(
                200, await self.put(kind, name, body.get("spec")))
        return self.answer(404, {})

    def answer(self, status, value):
        return (status, {"Content-Type": "application/json"},
                json.dumps(value).encode())

    def list(self, kind, query):
        after = query.get("after", "")
        items = [self.objects[key] for key in sorted(self.objects)
                 if key[0] == kind and key[1] > after]
        return self.answer(200, {"items": items, "more": False,
                                 "current_rev": self.revision})

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [event for revision, event_kind, event in self.history
                      if revision > since and event_kind == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.answer(200, {"events": events,
                                         "current_rev": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        value = {"metadata": {"name": name, "revision": self.revision,
                              "created_at": int(time.time() * 1000),
                              "finalizers": [], "deleting": False},
                 "spec": spec, "status": None}
        self.objects[kind, name] = value
        self.history.append((self.revision, kind,
                             {"deleted": False, "object": value}))
        async with self.changed:
            self.changed.notify_all()
        return value


class StoreLink:
    """The path of one machine to the store: a proxy that can be cut. A cut
    resets open connections and refuses new ones."""

    def __init__(self, address, port, store_address, store_port):
        self.place = (address, port)
        self.store = (store_address, store_port)
        self.open = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.place, backlog=64)

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.store)
        except OSError:
            writer.transport.abort()
            return
        state = {"last": b""}
        self.open[writer] = (up_writer, state)

        async def pump(source, sink, outward):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    if outward:
                        state["last"] = data
                    else:
                        state["last"] = b""
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            sink.close()

        await asyncio.gather(pump(reader, up_writer, True),
                             pump(up_reader, writer, False))
        self.open.pop(writer, None)

    def is_watching_config(self):
        """True if the machine waits for a change of the manifest."""
        return any(b"objects/config?watch=" in state["last"]
                   for _, state in self.open.values())

    def cut(self):
        self.server.close()
        for writer, (up_writer, _) in list(self.open.items()):
            writer.transport.abort()
            up_writer.transport.abort()

    async def heal(self):
        await self.start()


class Upstream:
    """A sound upstream. Work takes `work_s`. It beats at the daemon beside it
    and rejects requests for another instance."""

    def __init__(self, record, service, address, port, admin, work_s=0.02,
                 slots=18):
        self.record = record
        self.service = service
        self.address = address
        self.port = port
        self.admin = admin
        self.work_s = work_s
        self.slots = slots
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.leaving = False
        self.beating = True
        self.running = 0
        self.runs = []

    async def start(self):
        self.server = HttpServer(self.address, self.port, self.handle)
        await self.server.start()
        self.task = asyncio.ensure_future(self.beat_always())

    async def handle(self, request):
        headers = {"X-Instance-Id": self.id,
                   "X-Server-Load": "%d,0,%d,100" % (self.running, self.slots)}
        if request.target == "/health":
            return (503 if self.leaving else 200, headers, b"")
        request_id = request.headers.get("x-request-id", "")
        headers["X-Request-Id"] = request_id
        expected = request.headers.get("x-target-instance")
        if expected is not None and expected != self.id:
            return (421, headers, b"")
        self.runs.append((now(), request_id, request.method, request.target))
        self.record.line("run      %s at %s (%s)" %
                         (request_id, self.id, self.service))
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        headers["X-Server-Stamp"] = "stamp-" + self.id
        return (200, headers, ("ran at " + self.id).encode())

    def beat(self):
        """Returns the next heartbeat."""
        self.seq += 1
        return json.dumps({
            "service": self.service,
            "address": "%s:%d" % (self.address, self.port),
            "zone": "perth-north", "version": "v1", "slots": self.slots,
            "state": "ready", "warmup_left_ms": 0, "seq": self.seq,
            "born": self.born}).encode()

    async def send(self, method, body=b""):
        """Sends a heartbeat or a leave; returns the status, 0 if none."""
        status, _ = await call(self.admin, method, "/targets/" + self.id,
                               {"Content-Type": "application/json"}, body, 1)
        return status

    async def beat_always(self):
        while self.beating:
            await self.send("PUT", self.beat())
            await asyncio.sleep(HEARTBEAT_S)


async def call(place, method, target, headers, body=b"", time_s=5.0):
    """Sends one request on a new connection; returns status and headers, or
    (0, {}) if there was no complete answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(*place)
            lines = ["%s %s HTTP/1.1" % (method, target)]
            fields = dict(headers)
            fields.setdefault("Host", "%s:%d" % place)
            if body or method in ("PUT", "POST"):
                fields["Content-Length"] = str(len(body))
            lines += ["%s: %s" % item for item in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answer_headers, _ = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers
        return await asyncio.wait_for(exchange(), time_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """A machine: its addresses, its daemon's process and its upstream."""

    def __init__(self, network, number, ports, zone, region, service, store):
        self.name = "sidecar-%s-%d" % (zone, number)
        self.ip = "127.%d.%d.%d" % (*network, number)
        self.zone = zone
        self.region = region
        self.service = service
        self.peers, self.admin, self.outbound, self.ready, self.app = ports
        self.store = store
        self.process = None
        self.upstream = None

    def write_settings(self, folder):
        """Renders deploy/settings.toml as the platform does."""
        values = {
            "service": self.service,
            "app_addr": "%s:%d" % (self.ip, self.app),
            "limits.link_mbps": "1000.0",
            "listen.outbound": "%s:%d" % (self.ip, self.outbound),
            "internal_ports.0": str(self.peers),
            "listen.admin": "%s:%d" % (self.ip, self.admin),
            "listen.readiness": "%s:%d" % (self.ip, self.ready),
            "ip": self.ip,
            "platform.address": "%s:%d" % self.store,
            "region": self.region,
            "zone": self.zone,
        }
        values.update(("bounds." + k, str(v)) for k, v in BOUNDS.items())
        with open(os.path.join(ROOT, "deploy", "settings.toml")) as file:
            text = file.read()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m[1]], text)
        # The port of the metrics is fixed in the template; a free one is used.
        text = text.replace(":9464", ":%d" % (self.peers + 1))
        self.settings = os.path.join(folder, self.name + ".toml")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = os.path.join(folder, self.name + ".log")

    def start_daemon(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'^run = "([^"]*)"', file.read(), re.M)[1]
        command = run.split(" ")
        command[0] = os.path.join(ROOT, command[0])
        command[command.index("--settings") + 1] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log,
                                            cwd=ROOT)

    def kill_daemon(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_network(count):
    """Returns a loopback network (two numbers) and ports that are free on all
    of its first `count` addresses."""
    for _ in range(50):
        network = (random.randint(20, 250), random.randint(1, 250))
        base = random.randrange(20000, 30000, 10)
        sockets = []
        try:
            for number in range(1, count + 1):
                for offset in range(8):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        sockets.append(probe)
                        probe.bind(("127.%d.%d.%d" % (*network, number),
                                    base + offset))
            return network, base
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free ports")


def manifest(version, routes, services, timeout_ms=1500):
    """A manifest. `routes`: path prefix -> (kind, service)."""
    return {
        "version": version,
        "routes": [{"name": "r" + prefix.strip("/"), "host": "shop.example",
                    "path_prefix": prefix, "kind": kind,
                    "timeout_ms": timeout_ms, "target_latency_ms": 600,
                    "priority": 1, "service": service, "max_attempts": 2}
                   for prefix, (kind, service) in routes.items()],
        "services": [{"name": name, "health_path": "/health",
                      "max_connections": 240, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "base_version": version - 1}


class Consumer:
    """Sends requests at a steady rate to the daemon of one machine, each on a
    new connection."""

    def __init__(self, record, machine, method, path, interval_s,
                 deadline_ms=1500):
        self.record = record
        self.machine = machine
        self.method = method
        self.path = path
        self.interval_s = interval_s
        self.deadline_ms = deadline_ms
        self.sent = {}
        self.tasks = set()

    def start(self):
        self.task = asyncio.ensure_future(self.send_always())

    async def send_always(self):
        await asyncio.sleep(random.random() * self.interval_s)
        while True:
            task = asyncio.ensure_future(self.send_one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.interval_s)

    async def send_one(self):
        request_id = "%016x" % random.getrandbits(64)
        self.sent[request_id] = now()
        self.record.line("send     %s %s %s to %s" % (
            request_id, self.method, self.path, self.machine.name))
        status, _ = await call(
            (self.machine.ip, self.machine.outbound), self.method, self.path,
            {"Host": "shop.example", "X-Request-Id": request_id,
             "X-Deadline-Ms": str(self.deadline_ms)},
            b"", self.deadline_ms / 1000)
        self.record.line("answer   %s %s" % (
            request_id, status if status else "none"))

    def stop(self):
        self.task.cancel()


async def wait_until_served(machines, path, time_s=20.0):
    """Waits until each machine serves a request; False if one does not."""
    end = now() + time_s
    for machine in machines:
        while True:
            status, _ = await call(
                (machine.ip, machine.outbound), "GET", path,
                {"Host": "shop.example", "X-Deadline-Ms": "1000",
                 "X-Request-Id": "%016x" % random.getrandbits(64)}, b"", 1)
            if status == 200:
                break
            if now() > end:
                return False
            await asyncio.sleep(0.2)
    return True
