"""Stand-ins for the scripts of the second review: the platform's store and its
operator, upstreams and consumers, all in one process, and the project's
daemons as separate processes, started with the command and the template of
the deploy file."""
import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "mesh.example"
OBJECTS = "/baobabcourse/objects/"
# The figures of the site karri-mesh.
BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 62, "grace_s": 6}
LIMITS = {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100,
          "link_mbps": 1000.0, "disk_mb": 0}
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be carried out, so that it shows nothing."""


def now_ms():
    return time.time_ns() // 1000000


async def read_message(reader):
    """Reads an HTTP message. Returns its first line, headers and body, and
    whether the body was complete; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in
               (line.partition(":") for line in lines)}
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif first.startswith("HTTP/") and first.split(" ")[1] not in ("204",
                                                                      "304"):
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return first, headers, body, False
    return first, headers, body, True


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store. Responses are linearizable."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Age of what calls with `serializable` = 1 return, in seconds.
        self.stale_s = 0
        self.log = []
        # Function that decides on a request: None to serve it, "reset",
        # "silent" or "busy". Its argument is the peer's address.
        self.fault = lambda peer: None

    async def put(self, kind, name, spec, deleted=False):
        key = kind, name
        old = self.objects.get(key)
        if old is not None and not deleted and old["spec"] == spec:
            return old
        self.revision += 1
        if deleted:
            event = {"deleted": True, "object": self.objects.pop(key)}
        else:
            self.objects[key] = {
                "metadata": {"name": name, "revision": self.revision,
                             "created_at": 0, "finalizers": [],
                             "deleting": False},
                "spec": spec, "status": None}
            event = {"deleted": False, "object": self.objects[key]}
        self.history.append((self.revision, kind, event))
        self.log.append((time.monotonic(), key, self.objects.get(key)))
        async with self.changed:
            self.changed.notify_all()
        return event["object"]

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(OBJECTS):
            return 404, {}
        kind, _, name = urllib.parse.unquote(
            url.path[len(OBJECTS):]).partition("/")
        objects = self.objects
        if self.stale_s and query.get("serializable") == "1":
            seen = time.monotonic() - self.stale_s
            objects = {key: value for at, key, value in self.log if at <= seen}
            objects = {key: value for key, value in objects.items() if value}
        if method == "GET" and name:
            found = objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", "0")) / 1000)
        if method == "GET":
            return 200, {"items": [objects[key] for key in sorted(objects)
                                   if key[0] == kind and
                                   key[1] > query.get("after", "")],
                         "more": False, "current_rev": self.revision}
        value = json.loads(body or b"{}")
        metadata = value.get("metadata", {})
        name = name or metadata["name"]
        found = self.objects.get((kind, name))
        if method == "POST":
            if found:
                return 409, found
            return 201, await self.put(kind, name, value.get("spec"))
        if found is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and \
                int(expected) != found["metadata"]["revision"]:
            return 409, found
        return 200, await self.put(kind, name, value.get("spec"),
                                   method == "DELETE")

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for revision, event_kind, event in self.history
                      if revision > since and event_kind == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")
        try:
            while (request := await read_message(reader)) is not None:
                method, target, _ = request[0].split(" ", 2)
                fault = self.fault(peer)
                if fault == "reset":
                    writer.transport.abort()
                    return
                while fault == "silent":
                    await asyncio.sleep(0.05)
                    fault = self.fault(peer)
                status, value = (503, {}) if fault == "busy" else \
                    await self.handle(method, target, request[2])
                writer.write(message(
                    "HTTP/1.1 %d %s" % (status, REASONS.get(status, "-")),
                    [("Content-Type", "application/json")],
                    json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Upstream:
    """An upstream. It runs requests, says its load, and sends heartbeats to
    the admin address of its machine. `behave` may be replaced: a coroutine
    that is called with the request and returns the answer as bytes, or
    "reset"."""

    def __init__(self, world, machine, identity, slots=18):
        self.world = world
        self.machine = machine
        self.id = identity
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = now_ms()
        self.running = 0
        self.server = None
        self.beats = None
        self.writers = set()
        self.behave = self.answer

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.port("app"),
            reuse_address=True, backlog=512)
        self.beats = asyncio.create_task(self.send_beats())

    async def crash(self):
        """Ends at once: no heartbeat, no answer, all connections reset."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.note("upstream %s ends", self.id)

    async def beat(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        body = {"service": self.machine.service,
                "address": "%s:%d" % (self.machine.ip,
                                      self.machine.port("app")),
                "zone": self.machine.zone, "version": "v1",
                "slots": self.slots, "state": self.state,
                "warmup_left_ms": 0, "seq": self.sequence, "born": self.born}
        if self.state == "draining":
            body["state"] = "leaving"  # the word of deploy/wire.toml
        return await self.tell("PUT", body)

    async def tell(self, method, body=None):
        answer = await self.world.call(
            self.machine.ip, self.machine.port("admin"), method,
            "/targets/" + self.id, [("Content-Type", "application/json")],
            b"" if body is None else json.dumps(body).encode(), 1)
        return answer is not None and 200 <= answer[0] < 300

    async def send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.handle(request)
                if answer == "reset":
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request):
        method, target, _ = request[0].split(" ", 2)
        headers = request[1]
        if target == "/health":
            well = self.state == "ready"
            return message("HTTP/1.1 200 OK" if well else
                           "HTTP/1.1 503 Service Unavailable",
                           [("X-Instance-Id", self.id),
                            ("X-Server-Load", self.load())])
        identity = headers.get("x-request-id", "")
        wanted = headers.get("x-target-instance")
        if wanted is not None and wanted != self.id:
            self.world.note("upstream %s rejects %s with 421", self.id,
                            identity)
            return message("HTTP/1.1 421 Misdirected Request",
                           [("X-Instance-Id", self.id),
                            ("X-Request-Id", identity)])
        self.world.runs.append((time.monotonic(), self, identity, request))
        self.world.note("upstream %s (born %d) runs %s: %s, X-Deadline-Ms %s",
                        self.id, self.born, identity, request[0],
                        headers.get("x-deadline-ms"))
        self.running += 1
        try:
            return await self.behave(request)
        finally:
            self.running -= 1

    async def answer(self, request):
        return self.success(request)

    def success(self, request, body=b"done"):
        return message("HTTP/1.1 200 OK",
                       [("X-Request-Id", request[1].get("x-request-id", "")),
                        ("X-Server-Stamp", "stamp-of-" + self.id),
                        ("X-Server-Load", self.load())], body)


class Machine:
    """A machine with one daemon, at a loopback address of its own."""

    PORTS = {"app": 8145, "inbound": 8146, "outbound": 8147,
             "readiness": 8141, "admin": 8144, "peers": 7380}

    def __init__(self, world, number, service, zone, region):
        self.world = world
        self.ip = "%s.%d" % (world.net, number)
        self.name = "sidecar-%d" % number
        self.service = service
        self.zone = zone
        self.region = region
        self.process = None
        self.settings = world.work / (self.name + ".toml")
        self.log = world.work / (self.name + ".log")

    def port(self, name):
        return self.PORTS[name]

    def start(self):
        listen = {name: "%s:%d" % (self.ip, self.port(name)) for name in
                  ("inbound", "outbound", "readiness", "admin")}
        fields = {"node": self.name, "ip": self.ip, "zone": self.zone,
                  "region": self.region, "service": self.service,
                  "app_addr": "%s:%d" % (self.ip, self.port("app")),
                  "limits": LIMITS, "listen": listen, "seeds": [],
                  "internal_ports": [self.port("peers"),
                                     self.port("peers") + 15],
                  "platform": {"address": self.world.store_address},
                  "bounds": {**BOUNDS, **self.world.bounds},
                  "fault_tolerance": {"machines": 2, "zones": 0,
                                      "regions": 0}}
        self.settings.write_text(render(self.world.template, fields))
        command = self.world.command.replace(
            "/etc/baobabcourse/settings.toml", str(self.settings)).split()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "BAOBABCOURSE_SETTINGS": str(self.settings)})
        self.world.note("%s starts", self.name)

    def signal(self, number):
        self.world.note("%s gets %s", self.name,
                        signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self, seconds):
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None


def render(template, fields):
    """Fills in a template as DEPLOY.md says, as far as ours needs it."""
    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        value = find(match[1])
        return match[2] if value not in (None, False) else ""

    def text(match):
        value = find(match[1])
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        return str(value)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                      flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class World:
    """Everything that a case starts, and its record."""

    def __init__(self, record, bounds=None):
        self.record = open(record, "w", encoding="utf-8")
        self.bounds = bounds or {}
        self.started = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.work = pathlib.Path(self.temporary.name)
        self.machines = []
        self.runs = []
        self.store = Store()
        self.server = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        self.command = role["run"]
        self.template = (ROOT / role["template"]).read_text()
        if not (ROOT / self.command.split()[0]).exists():
            raise CannotRun("the program is not built")
        self.net = self.free_net()
        self.store_address = "%s.250:8142" % self.net

    def free_net(self):
        """Returns a loopback network on which all ports are free."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 200),
                                 random.randint(1, 250))
            try:
                for host, port in [(n, p) for n in range(1, 9) for p in
                                   list(Machine.PORTS.values()) + [9464]] + \
                        [(250, 8142)]:
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (net, host), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def note(self, text, *values):
        self.record.write("%8.3f  %s\n" % (time.monotonic() - self.started,
                                           text % values))
        self.record.flush()

    async def start_store(self):
        host, port = self.store_address.split(":")
        self.server = await asyncio.start_server(self.store.serve, host,
                                                 int(port), backlog=512)

    def machine(self, service, zone="zone-a", region="region-a"):
        machine = Machine(self, len(self.machines) + 1, service, zone, region)
        self.machines.append(machine)
        return machine

    async def publish(self, version, routes, services, limits=None,
                      tenants=None):
        document = {
            "version": version,
            "routes": [{"name": "r%d" % number, "host": HOST,
                        "kind": "idempotent", "timeout_ms": 5000,
                        "target_latency_ms": 600, "priority": 1,
                        "max_attempts": 2, **route}
                       for number, route in enumerate(routes)],
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": 260, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384,
                       "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **(limits or {})}}
        if tenants is not None:
            document["tenants"] = tenants
        await self.store.put("config", "main", document)
        self.note("operator: version %d is acknowledged", version)

    async def call(self, ip, port, method, target, headers, body, seconds):
        """Sends a request on a new connection. Returns status, headers, body;
        None without a complete answer."""
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(ip, port)
                try:
                    writer.write(message(
                        "%s %s HTTP/1.1" % (method, target),
                        [("Host", HOST)] + headers, body))
                    await writer.drain()
                    answer = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, asyncio.TimeoutError):
            return None
        if answer is None or not answer[3]:
            return None
        return int(answer[0].split(" ")[1]), answer[1], answer[2]

    async def request(self, machine, method, path, deadline_ms, body=b"",
                      identity=None, headers=()):
        """Sends a consumer's request and notes its answer."""
        identity = identity or "%016x" % random.getrandbits(64)
        self.note("consumer at %s sends %s: %s %s", machine.name, identity,
                  method, path)
        answer = await self.call(
            machine.ip, machine.port("outbound"), method, path,
            [("X-Request-Id", identity), ("X-Deadline-Ms", deadline_ms),
             *headers], body, deadline_ms / 1000 + 1)
        self.note("consumer at %s gets %s: %s", machine.name, identity,
                  "no answer" if answer is None else
                  "%d %r" % (answer[0], answer[2][:120]))
        return answer

    async def until(self, condition, seconds, what):
        """Waits for something; the case can't run without it."""
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    async def until_served(self, machine, path, seconds=25):
        """Waits until a path answers with success at a machine."""
        async def served():
            answer = await self.call(
                machine.ip, machine.port("outbound"), "GET", path,
                [("X-Request-Id", "%016x" % random.getrandbits(64)),
                 ("X-Deadline-Ms", 1000)], b"", 2)
            return answer is not None and answer[0] == 200
        await self.until(served, seconds, "nothing is served")

    async def ready(self, machine):
        answer = await self.call(machine.ip, machine.port("readiness"), "GET",
                                 "/readyz", [], b"", 1)
        return answer is not None and answer[0] == 200

    def end(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for machine in self.machines:
                if machine.log.exists():
                    (pathlib.Path(keep) / machine.log.name).write_bytes(
                        machine.log.read_bytes())
        self.temporary.cleanup()
        self.record.close()


def main(case, folder, bounds=None):
    """Runs a case: a coroutine with the world and whether there is trouble,
    which returns what was broken, or an empty text. Exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE") != "0"
    record = pathlib.Path(folder) / "record.txt"
    try:
        world = World(record, bounds)
    except CannotRun as error:
        print("cannot run:", error)
        sys.exit(2)

    async def run():
        await world.start_store()
        async with asyncio.timeout(110):
            return await case(world, trouble)

    # All processes end also if this one is told to.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
        world.note("%s", broken or "the rule held")
        print(broken or "the rule held")
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        world.note("cannot run: %s", error)
        print("cannot run:", error)
        sys.exit(2)
    finally:
        world.end()
    sys.exit(1 if broken else 0)
