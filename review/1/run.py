"""RECOVER: after a machine was frozen for some seconds, its daemon says that it
is ready and serves no request any more.

Four machines in one zone. The consumers of the first one send 25 requests a
second, the rate of a machine of the busiest zone on the day `scale-1`. The
daemon of this machine stands still (SIGSTOP) for 4 s, six times at most. The
consumers behave as PROTOCOL says: they give up idempotent requests that were
not read in time, come again on new connections, and get no new work after two
misses of readiness, until the daemon is ready again."""
import asyncio
import os
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "ledger"
FREEZE_S = 4.0
FREEZES = 6
# From the end of one freeze to the start of the next one.
CALM_S = 9.0
RATE = 25.0
TIMEOUT_MS = 1500
# Of the consumers' requests: GET, path, share, time budget in ms; POST.
KINDS = (("GET", "/history/", 0.46, 1500), ("GET", "/price/", 0.27, 800),
         ("POST", "/order/", 0.27, 2000))
CONSUMERS = 34


class Platform:
    """Asks for readiness once a second."""

    def __init__(self, record, machine):
        self.record = record
        self.machine = machine
        self.misses = 0
        self.answers = []

    async def run(self):
        while True:
            begun = now()
            status, _ = await call((self.machine.ip, self.machine.ready),
                                   "GET", "/readyz", {}, b"", 0.9)
            self.answers.append((now(), status))
            self.misses = 0 if status == 200 else self.misses + 1
            self.record.line("readiness of %s: %s" % (
                self.machine.name, status if status else "no answer"))
            await asyncio.sleep(max(0.0, begun + 1.0 - now()))

    def takes_consumers(self):
        return self.misses < 2


class Attempt:
    def __init__(self, consumer, kind, sent):
        self.consumer = consumer
        self.kind = kind
        self.sent = sent
        self.ended = None
        self.status = 0


class Consumers:
    """The consumers of one machine."""

    def __init__(self, record, machine, platform):
        self.record = record
        self.machine = machine
        self.platform = platform
        self.frozen = False
        self.attempts = []
        self.given_up = 0
        self.tasks = set()

    async def run(self):
        while True:
            await asyncio.sleep(random.expovariate(RATE))
            if not self.platform.takes_consumers():
                continue
            task = asyncio.ensure_future(
                self.send(random.randrange(CONSUMERS)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send(self, consumer):
        draw = random.random()
        for kind in KINDS:
            draw -= kind[2]
            if draw < 0:
                break
        method, path, _, budget_ms = kind
        end = now() + budget_ms / 1000
        # One retry, as the site's consumers do.
        for _ in range(2):
            left = end - now()
            if left < 0.05:
                return
            attempt = Attempt(consumer, kind, now())
            self.attempts.append(attempt)
            again = await self.attempt(attempt, method, path, left)
            attempt.ended = now()
            if not again:
                return

    async def attempt(self, attempt, method, path, left):
        """Returns true if the consumer comes again."""
        request_id = "%016x" % random.getrandbits(64)
        self.record.line("send     %s %s %s by consumer %d" % (
            request_id, method, path, attempt.consumer))
        body = b"x" * 1200 if method == "POST" else b""
        task = asyncio.ensure_future(call(
            (self.machine.ip, self.machine.outbound), method, path + "1",
            {"Host": "shop.example", "X-Request-Id": request_id,
             "X-Deadline-Ms": str(int(left * 1000))}, body, left))
        patience = min(1.0, left / 3)
        done, _ = await asyncio.wait({task}, timeout=patience)
        # A daemon that stands still has read nothing.
        if not done and method == "GET" and self.frozen:
            task.cancel()
            self.given_up += 1
            self.record.line("given up %s, not read" % request_id)
            return True
        attempt.status, headers = await task
        self.record.line("answer   %s %s" % (
            request_id, attempt.status if attempt.status else "none"))
        if attempt.status == 200:
            return False
        if attempt.status in (429, 503, 408, 421):
            await asyncio.sleep(float(headers.get("retry-after", "0.1")))
            return True
        return method == "GET"


def accept_queue(machine):
    """Connections that the daemon has not accepted yet."""
    port = "%04X" % machine.outbound
    with open("/proc/net/tcp") as file:
        for line in file:
            fields = line.split()
            if fields[3] == "0A" and fields[1].endswith(":" + port):
                ip = bytes.fromhex(fields[1][:8])[::-1]
                if ".".join(map(str, ip)) == machine.ip:
                    return int(fields[4].split(":")[1], 16)
    return 0


async def play(folder, record, machines):
    network, base = free_network(6)
    store_place = ("127.%d.%d.6" % network, base)
    store = Store(record)
    await store.start(*store_place)
    for number in range(1, 5):
        machine = Machine(network, number,
                          (base, base + 2, base + 3, base + 4, base + 5),
                          "bandung", "jawa-barat", SERVICE, store_place)
        machine.write_settings(folder)
        machine.upstream = Upstream(
            record, SERVICE, machine.ip, machine.app,
            (machine.ip, machine.admin), work_s=0.2)
        await machine.upstream.start()
        machine.start_daemon()
        machines.append(machine)
    await store.put("config", "main", manifest(
        3, {"/history/": ("idempotent", SERVICE),
            "/price/": ("idempotent", SERVICE),
            "/order/": ("non_idempotent", SERVICE)}, [SERVICE], TIMEOUT_MS))
    if not await wait_until_served(machines, "/history/1"):
        print("the deployment does not serve")
        return 2
    await asyncio.sleep(3.0)
    machine = machines[0]
    platform = Platform(record, machine)
    consumers = Consumers(record, machine, platform)
    tasks = [asyncio.ensure_future(platform.run()),
             asyncio.ensure_future(consumers.run())]
    await asyncio.sleep(4.0)
    served_before = sum(a.status == 200 for a in consumers.attempts)
    calm_from = now()
    for number in range(FREEZES):
        if TROUBLE:
            record.line("SIGSTOP to the daemon of " + machine.name)
            machine.process.send_signal(signal.SIGSTOP)
            consumers.frozen = True
        await asyncio.sleep(FREEZE_S)
        if TROUBLE:
            machine.process.send_signal(signal.SIGCONT)
            consumers.frozen = False
            record.line("SIGCONT to the daemon of " + machine.name)
        calm_from = now()
        await asyncio.sleep(CALM_S)
        recent = [a for a in consumers.attempts if a.sent > calm_from + 5]
        if not any(a.status for a in recent):
            break
    end = now()
    queued = accept_queue(machine)
    for task in tasks:
        task.cancel()
    # Judged from the moment at which the machine is in touch again, and up to
    # TIMEOUT_MS + 0.5 s before the end.
    from_s = calm_from + STABILITY_MS / 1000
    judged = [a for a in consumers.attempts if from_s < a.sent < end - 2.2]
    answered = sum(a.status != 0 for a in judged)
    ready = [status for at, status in platform.answers if at > from_s]
    tried = len({a.consumer for a in judged})
    line = "%d requests served before; %d requests given up during freezes; " \
        "from %.1f s to %.1f s, in touch: %d of %d readiness answers are " \
        "200, %d consumers sent %d requests, %d were answered; %d " \
        "connections wait to be accepted at the end" % (
            served_before, consumers.given_up, from_s, end,
            sum(s == 200 for s in ready), len(ready), tried, len(judged),
            answered, queued)
    print(line)
    record.line(line)
    if served_before < 40 or not ready:
        return 2
    hung = all(s == 200 for s in ready) and tried >= 7 and answered == 0 \
        and queued > 0 and end - from_s > STABILITY_MS / 1000
    return 1 if hung else 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    machines = []
    try:
        code = asyncio.run(asyncio.wait_for(
            play(folder, record, machines), 110))
    except Exception as error:  # the case could not run
        print("could not run: %r" % error)
        code = 2
    finally:
        for machine in machines:
            machine.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs: " + folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.line("RECOVER broken" if code == 1 else "exit code %d" % code)
    sys.stdout.flush()
    # Open connections of the stand-ins end with the process.
    os._exit(code)


main()
