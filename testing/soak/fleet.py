"""Runs daemons, targets, fault proxies and a store as processes on loopback
addresses."""
import http.client
import os
import pathlib
import signal
import subprocess
import time

SERVICE = "quoting"
HOST_HEADER = "quoting.karri-ridge.example"
ZONES = [("perth", "perth-north"), ("perth", "perth-south"),
         ("south-west", "bunbury"), ("south-west", "albany")]

SETTINGS = """\
workers = 1
[listen]
callers = "{address}:8080"
peers = "{address}:7100"
announced = "{address}:7101"
admin = "{address}:7200"
[store]
address = "{store}"
[locality]
region = "{region}"
availability_zone = "{zone}"
[retry]
ratio = {ratio}
[log]
call_share = 0.05
"""


def http_call(address, port, method, path, body=None, timeout=2):
    """Returns the status and the body of the answer, or None without one."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Process:
    """A program that can be stopped, paused and started again."""

    def __init__(self, log, command):
        self.log = log
        self.command = command
        self.process = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log,
                                            stderr=log)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def handles(self, number):
        """Returns whether the process blocks or handles a signal; until then
        the signal has its default action. Also true if the process ended."""
        try:
            lines = pathlib.Path(
                f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return True
        masks = [int(line.split()[1], 16) for line in lines
                 if line.startswith(("SigBlk", "SigCgt"))]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def end(self, number=signal.SIGKILL, timeout=40):
        """Ends the process; returns its exit code, None if it did not end."""
        self.send(number)
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


class Host:
    """A daemon, its target, and the proxy in front of the daemon's peers
    address."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.address = f"{fleet.net}.{number}"
        self.target_starts = 0
        # Times at which the daemon was killed, which interrupts its callers.
        self.killed_at = []
        # Address at which the daemon reaches the store.
        self.store = fleet.store_for(self)
        self.write_settings(0.1)
        self.proxy = fleet.launch(
            f"proxy-{number}", "testing/fault_proxy", "--listen",
            f"{self.address}:7101", "--to", f"{self.address}:7100",
            "--control", f"{self.address}:7102")
        self.daemon = fleet.launch(f"daemon-{number}", fleet.program,
                                   "--settings", str(self.settings))
        self.target = None
        self.start_target()

    @property
    def settings(self):
        return self.fleet.work / f"host-{self.number}.toml"

    def write_settings(self, ratio):
        region, zone = ZONES[self.number % len(ZONES)]
        text = self.fleet.settings.format(
            address=self.address, store=self.store,
            region=region, zone=zone, ratio=ratio)
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self.settings)

    def start_target(self):
        self.target_starts += 1
        record = (self.fleet.work /
                  f"record-{self.number}-{self.target_starts}")
        self.target = self.fleet.launch(
            f"target-{self.number}", "testing/target_standin", "--listen",
            f"{self.address}:8000", "--daemon", f"{self.address}:7200",
            "--service", SERVICE, "--mean_ms", "10", "--seed",
            str(self.number), "--record", str(record))

    def kill_daemon(self):
        self.killed_at.append(time.monotonic())
        self.daemon.end(signal.SIGKILL)

    def metric(self, name):
        answer = http_call(self.address, 7200, "GET", "/metrics")
        if answer is None:
            return None
        for line in answer[1].decode().splitlines():
            if line.startswith(f"baobab_{name} "):
                return float(line.split()[1])
        return None


class Fleet:
    """All processes of a run; their files are in one folder."""

    # Program of the daemons, and the template of their settings.
    program = "baobabd"
    settings = SETTINGS

    def __init__(self, build, work, net, hosts):
        self.build = pathlib.Path(build)
        self.work = pathlib.Path(work)
        self.net = net
        self.store = f"{net}.250:7000"
        self.processes = []
        self.revision = 0
        self.store_process = self.launch_store()
        self.hosts = [Host(self, n + 1) for n in range(hosts)]

    def launch_store(self):
        return self.launch("store", "testing/store_standin", "--listen",
                           self.store)

    def store_for(self, host):
        """Returns the address at which a host's daemon reaches the store."""
        return self.store

    def launch(self, name, program, *arguments):
        process = Process(self.work / f"{name}.log",
                          [str(self.build / program), *arguments])
        self.processes.append(process)
        return process

    def publish(self):
        """Publishes the next revision. Returns whether it succeeded; it fails
        while the store is unavailable."""
        self.revision += 1
        text = pathlib.Path("examples/services/quoting.toml").read_text()
        path = self.work / "quoting.toml"
        path.write_text(text.replace("revision = 1",
                                     f"revision = {self.revision}", 1))
        return subprocess.run(
            [str(self.build / "baobab-publish"), "--store", self.store,
             str(path)], capture_output=True, timeout=60).returncode == 0

    def set_store_faults(self, text):
        address, port = self.store.split(":")
        http_call(address, int(port), "POST", "/faults", text)

    def wait_ready(self, generation, seconds):
        """Waits until every host has adopted the generation and can route to
        every target. Returns what is missing when the time is over."""
        end = time.monotonic() + seconds
        while True:
            missing = [
                f"host {host.number}: {name} is {host.metric(name)}"
                for host in self.hosts
                for name, minimum in (("generation", generation),
                                      ("routable_targets", len(self.hosts)))
                if (host.metric(name) or 0) < minimum]
            if not missing or time.monotonic() > end:
                return missing
            time.sleep(0.2)

    def stop(self):
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes:
            process.process.wait()
