"""Faults of a soak run, and their schedule, which is drawn from the seed."""
import random
import signal
import threading
import time

from fleet import http_call


# Longest wait until a started process handles signals. Before that, SIGTERM
# ends it without a graceful shutdown.
STARTUP_SECONDS = 10


def set_link_faults(host, faults_json):
    http_call(host.address, 7102, "POST", "/faults", faults_json)


def silence_link(fleet, host, rng, seconds):
    """Open connections stay silent until they end; new ones work."""
    direction = rng.choice(["both", "up", "down"])
    set_link_faults(host, f'{{"silence": "{direction}"}}')
    time.sleep(seconds)


def reset_link(fleet, host, rng, seconds):
    set_link_faults(host, '{"reset": true}')
    time.sleep(seconds / 4)
    set_link_faults(host, '{"reset": true}')


def delay_link(fleet, host, rng, seconds):
    set_link_faults(host, f'{{"delay_ms": {rng.randint(20, 200)}}}')
    time.sleep(seconds)
    set_link_faults(host, '{"delay_ms": 0}')


def cut_link(fleet, host, rng, seconds):
    """Traffic from some hosts to this one is dropped, but not the reverse."""
    others = rng.sample(fleet.hosts, max(1, len(fleet.hosts) // 3))
    addresses = ", ".join(f'"{other.address}"' for other in others)
    set_link_faults(host, f'{{"cut_from": [{addresses}]}}')
    time.sleep(seconds)
    set_link_faults(host, '{"cut_from": []}')


def pause_daemon(fleet, host, rng, seconds):
    host.daemon.send(signal.SIGSTOP)
    time.sleep(min(seconds, 3))
    host.daemon.send(signal.SIGCONT)


def kill_daemon(fleet, host, rng, seconds):
    host.kill_daemon()
    time.sleep(rng.uniform(0, seconds))
    host.daemon.start()


def restart_daemon(fleet, host, rng, seconds):
    """Shuts the daemon down gracefully, which must end with exit code 0."""
    end = time.monotonic() + STARTUP_SECONDS
    while not host.daemon.handles(signal.SIGTERM) and time.monotonic() < end:
        time.sleep(0.005)
    code = host.daemon.end(signal.SIGTERM)
    host.daemon.start()
    if code != 0:
        return f"daemon {host.number}: exit code {code} after SIGTERM"


def restart_in_turn(fleet, host, rng, seconds):
    for other in fleet.hosts[:3]:
        problem = restart_daemon(fleet, other, rng, seconds)
        if problem:
            return problem


def change_settings(fleet, host, rng, seconds):
    host.write_settings(rng.choice([0.05, 0.1, 0.2]))
    if rng.random() < 0.5:
        host.daemon.send(signal.SIGHUP)


def kill_target(fleet, host, rng, seconds):
    host.target.end()
    time.sleep(rng.uniform(0, seconds))
    host.start_target()


def pause_target(fleet, host, rng, seconds):
    host.target.send(signal.SIGSTOP)
    time.sleep(min(seconds, 3))
    host.target.send(signal.SIGCONT)


def stall_target(fleet, host, rng, seconds):
    http_call(host.address, 8000, "POST", "/control/stall", "on")
    time.sleep(min(seconds, 2))
    http_call(host.address, 8000, "POST", "/control/stall", "off")


def replace_target(fleet, host, rng, seconds):
    """The target leaves, and another one starts at the same address."""
    http_call(host.address, 8000, "POST", "/control/leave")
    time.sleep(seconds + 1)
    host.target.end()
    host.start_target()


def lose_store(fleet, host, rng, seconds):
    fleet.set_store_faults('{"outage": true}')
    time.sleep(seconds)
    fleet.set_store_faults('{"outage": false}')


def slow_store(fleet, host, rng, seconds):
    fleet.set_store_faults('{"delay_ms": 300}')
    time.sleep(seconds)
    fleet.set_store_faults('{"delay_ms": 0}')


def lose_store_answers(fleet, host, rng, seconds):
    fleet.set_store_faults('{"lose_answers": 2}')


def publish(fleet, host, rng, seconds):
    fleet.publish()


FAULTS = [silence_link, reset_link, delay_link, cut_link, pause_daemon,
          kill_daemon, restart_daemon, restart_in_turn, change_settings,
          kill_target, pause_target, stall_target, replace_target, lose_store,
          slow_store, lose_store_answers, publish, publish]

# Faults of one group do not overlap if they act on the same process.
EXCLUSIVE_FAULTS = {
    "daemon": (pause_daemon, kill_daemon, restart_daemon, restart_in_turn),
    "target": (kill_target, pause_target, stall_target, replace_target),
    "store": (lose_store, slow_store, lose_store_answers, publish),
}


class Schedule:
    """Starts faults at times drawn from a seed. Faults may overlap."""

    def __init__(self, fleet, seed, seconds, gap, faults=FAULTS,
                 exclusive=EXCLUSIVE_FAULTS):
        self.fleet = fleet
        self.exclusive = exclusive
        self.problems = []
        self.started = []
        rng = random.Random(seed)
        self.plan = []
        at = 0.0
        while at < seconds:
            self.plan.append((at, rng.choice(faults),
                              rng.randrange(len(fleet.hosts)),
                              rng.uniform(0.2, 4), rng.random()))
            at += self.draw_gap(rng, gap)
        self.locks = {}

    def draw_gap(self, rng, gap):
        """Returns the time from one fault to the next."""
        return rng.expovariate(1 / gap)

    def lock_for(self, fault, number):
        for group, faults in self.exclusive.items():
            if fault in faults:
                any_host = group == "store" or fault is restart_in_turn
                return self.locks.setdefault(
                    (group, None if any_host else number), threading.Lock())
        return threading.Lock()

    def perform(self, fault, host, rng, seconds):
        """Carries out a fault; returns a problem or None."""
        return fault(self.fleet, host, rng, seconds)

    def run_fault(self, fault, number, seconds, seed):
        locks = [self.lock_for(fault, number)]
        if fault is restart_in_turn:
            locks = [self.lock_for(restart_daemon, host.number - 1)
                     for host in self.fleet.hosts[:3]]
        for lock in locks:
            lock.acquire()
        try:
            problem = self.perform(fault, self.fleet.hosts[number],
                                   random.Random(seed), seconds)
            if problem:
                self.problems.append(problem)
        finally:
            for lock in locks:
                lock.release()

    def run(self, stopped):
        """Carries out the plan; returns when every fault has ended."""
        start = time.monotonic()
        threads = []
        for at, fault, number, seconds, seed in self.plan:
            while time.monotonic() - start < at and not stopped():
                time.sleep(0.02)
            if stopped():
                break
            self.started.append(f"{at:7.2f} s  {fault.__name__} host "
                                f"{number + 1} for {seconds:.1f} s")
            thread = threading.Thread(
                target=self.run_fault, args=(fault, number, seconds, seed))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
