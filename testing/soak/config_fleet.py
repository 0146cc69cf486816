"""A fleet on the managed platform, its operator, and the faults of a
configuration soak."""
import pathlib
import random
import signal
import sys
import threading
import time

import faults
from fleet import Fleet, Process, SETTINGS, http_call

INTEGRATION = pathlib.Path(__file__).resolve().parent.parent / "integration"
sys.path.insert(0, str(INTEGRATION))
from platform_operator import Operator  # noqa: E402

CONFIG_SETTINGS = SETTINGS + """\
format = "json"
[control]
readers_per_zone = 1
status_ms = 600000
"""


class ConfigFleet(Fleet):
    """Daemons of the managed platform, each with a proxy before the store."""

    program = "baobab-sidecar"
    settings = CONFIG_SETTINGS

    def launch_store(self):
        host, port = self.store.split(":")
        if http_call(host, int(port), "GET", "/stats") is not None:
            sys.exit(f"another run uses {self.net}")
        return self.launch("store", sys.executable,
                           str(INTEGRATION / "platform_store.py"), self.store,
                           str(self.work / "store.journal"))

    def ended(self):
        """Returns the logs of programs that do not run."""
        return [process.log.name for process in self.processes
                if process.process.poll() is not None]

    def start_store(self, lost_writes=0):
        command = self.store_process.command
        self.store_process.command = (
            command + ["--lose", str(lost_writes)] if lost_writes else command)
        self.store_process.start()
        self.store_process.command = command

    def wait_store(self):
        host, port = self.store.split(":")
        end = time.monotonic() + 20
        while http_call(host, int(port), "GET", "/stats") is None and \
                time.monotonic() < end:
            time.sleep(0.02)

    def store_for(self, host):
        self.launch(f"store-proxy-{host.number}", "testing/fault_proxy",
                    "--listen", f"{host.address}:7001", "--to", self.store,
                    "--control", f"{host.address}:7002")
        return f"{host.address}:7001"


class Publisher(threading.Thread):
    """Publishes versions, each until the store acknowledges it. After the
    store came back from a copy, it first writes its last version again."""

    def __init__(self, store, seed):
        super().__init__(daemon=True)
        self.operator = Operator(store)
        self.rng = random.Random(seed * 7919 + 1)
        # Times of the first attempt and of the acknowledgement of versions.
        self.attempted = {}
        self.acknowledged = {}
        self.version = 4
        # How often the store lost writes, and how often it had lost any when
        # the last version was written.
        self.losses = 0
        self.written_after = 0
        self.ended = threading.Event()

    def run(self):
        while not self.ended.is_set():
            if self.written_after == self.losses:
                self.version += 1
            if self.write():
                for _ in range(self.rng.randrange(3)):
                    self.write_note()
            pause = 3.5 if self.rng.random() < 0.15 else \
                self.rng.uniform(0.3, 1)
            end = time.monotonic() + pause
            while time.monotonic() < end and not self.ended.is_set() and \
                    self.written_after == self.losses:
                time.sleep(0.02)

    def write(self):
        self.attempted.setdefault(self.version, time.monotonic())
        while not self.ended.is_set():
            losses = self.losses
            try:
                if self.operator.publish(self.version):
                    self.acknowledged.setdefault(self.version,
                                                 time.monotonic())
                    self.written_after = losses
                    return True
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        return False

    def write_note(self):
        try:
            self.operator.put("notes", "note", {"text": self.rng.random()})
        except (OSError, ValueError):
            pass

    def newest(self):
        return max(self.acknowledged, default=0)


def silence_link(fleet, host, rng, seconds):
    faults.silence_link(fleet, host, rng, seconds)
    # Silenced connections stay so until they end.
    faults.set_link_faults(host, '{"reset": true}')


def cut_link(fleet, host, rng, seconds):
    faults.cut_link(fleet, host, rng, seconds)
    # Connections with a hole in their streams do not go on.
    faults.set_link_faults(host, '{"reset": true}')


def set_store_path(host, text):
    http_call(host.address, 7002, "POST", "/faults", text)


def turned_away(fleet, host, rng):
    """Returns the hosts that a store turns away besides a host."""
    count = rng.randint(0, len(fleet.hosts) - 2)
    return [host, *rng.sample(fleet.hosts, count)]


def cut_store_path(fleet, host, rng, seconds):
    hosts = turned_away(fleet, host, rng)
    for other in hosts:
        set_store_path(other, '{"cut_from": ["127.0.0.1"]}')
    time.sleep(seconds)
    for other in hosts:
        set_store_path(other, '{"cut_from": [], "reset": true}')


def reset_store_path(fleet, host, rng, seconds):
    hosts = turned_away(fleet, host, rng)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for other in hosts:
            set_store_path(other, '{"reset": true}')
        time.sleep(0.05)


def kill_store(fleet, host, rng, seconds):
    fleet.store_process.end()
    time.sleep(rng.uniform(0, seconds))
    fleet.start_store()
    fleet.wait_store()


def copy_store(fleet, host, rng, seconds):
    """The store comes back from a copy that lacks the last writes."""
    fleet.store_process.end()
    fleet.publisher.losses += 1
    time.sleep(rng.uniform(0, seconds))
    fleet.start_store(rng.randint(5, 60))
    fleet.wait_store()
    # The operator's part of the recovery.
    while fleet.publisher.written_after != fleet.publisher.losses and \
            fleet.publisher.is_alive():
        time.sleep(0.02)


def refuse_at_store(fleet, host, rng, seconds):
    mode = rng.choice(["busy", "reset", "silent"])
    fleet.set_store_faults(f'{{"mode": "{mode}"}}')
    time.sleep(seconds)
    fleet.set_store_faults('{"mode": "none"}')


def drop_history(fleet, host, rng, seconds):
    address, port = fleet.store.split(":")
    http_call(address, int(port), "POST", "/compact")


def reload_settings(fleet, host, rng, seconds):
    end = time.monotonic() + faults.STARTUP_SECONDS
    while not host.daemon.handles(signal.SIGHUP) and time.monotonic() < end:
        time.sleep(0.005)
    host.write_settings(rng.choice([0.05, 0.1, 0.2]))
    host.daemon.send(signal.SIGHUP)


def busy_machine(fleet, host, rng, seconds):
    spinners = [Process(fleet.work / "spinner.log",
                        [sys.executable, "-c", "while True: pass"])
                for _ in range(rng.randint(1, 3))]
    time.sleep(seconds)
    for spinner in spinners:
        spinner.end()


STORE_FAULTS = [kill_store, copy_store, refuse_at_store]
PATH_FAULTS = [cut_store_path, reset_store_path]
LINK_FAULTS = [silence_link, faults.reset_link, faults.delay_link, cut_link]
DAEMON_FAULTS = [faults.pause_daemon, faults.kill_daemon,
                 faults.restart_daemon, faults.restart_in_turn]
# Faults after which the pages still take all daemons as in touch.
CALM_FAULTS = [drop_history, reload_settings, busy_machine]

CONFIG_FAULTS = [*STORE_FAULTS, copy_store, copy_store, *PATH_FAULTS, *LINK_FAULTS,
                 *DAEMON_FAULTS, *CALM_FAULTS]

EXCLUSIVE = {"daemon": (*DAEMON_FAULTS, reload_settings),
             "store": (*STORE_FAULTS, drop_history),
             "link": tuple(LINK_FAULTS)}


class Disturbance:
    """A fault that was carried out, and the hosts that it disturbed."""

    def __init__(self, fault, hosts):
        self.fault = fault
        self.hosts = hosts
        self.began = time.monotonic()
        self.ended = float("inf")

    def overlaps(self, begin, end):
        return self.began <= end and self.ended >= begin


class ConfigSchedule(faults.Schedule):
    """Records which hosts a fault disturbs, and when."""

    def __init__(self, fleet, seed, seconds, gap):
        super().__init__(fleet, seed, seconds, gap, CONFIG_FAULTS, EXCLUSIVE)
        self.disturbances = []
        self.path_lock = threading.Lock()

    def draw_gap(self, rng, gap):
        # Without calm times, no daemon would be in touch.
        calm = rng.uniform(5, 8) if rng.random() < 0.25 else 0
        return calm + super().draw_gap(rng, gap)

    def disturbed_hosts(self, fault, host, rng):
        if fault in STORE_FAULTS:
            return {other.number for other in self.fleet.hosts}
        if fault in PATH_FAULTS:
            return {other.number
                    for other in turned_away(self.fleet, host, rng)}
        if fault is faults.restart_in_turn:
            return {other.number for other in self.fleet.hosts[:3]}
        return set() if fault in CALM_FAULTS else {host.number}

    def perform(self, fault, host, rng, seconds):
        state = rng.getstate()
        hosts = self.disturbed_hosts(fault, host, rng)
        rng.setstate(state)
        with self.path_lock if fault in PATH_FAULTS else threading.Lock():
            disturbance = Disturbance(fault, hosts)
            self.disturbances.append(disturbance)
            try:
                return super().perform(fault, host, rng, seconds)
            finally:
                disturbance.ended = time.monotonic()
