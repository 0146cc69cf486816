"""The faults of a run, drawn from its seed before it starts."""
import random
import signal
import threading
import time

from fleet import http_call


# Time in which a process must have reached its main function.
LOADER_SECONDS = 10


def link_fault(host, text):
    http_call(host.address, 7102, "POST", "/faults", text)


def silence_link(fleet, host, draw, seconds):
    """Open connections go silent for good; new ones work."""
    direction = draw.choice(["both", "up", "down"])
    link_fault(host, f'{{"silence": "{direction}"}}')
    time.sleep(seconds)


def reset_link(fleet, host, draw, seconds):
    link_fault(host, '{"reset": true}')
    time.sleep(seconds / 4)
    link_fault(host, '{"reset": true}')


def delay_link(fleet, host, draw, seconds):
    link_fault(host, f'{{"delay_ms": {draw.randint(20, 200)}}}')
    time.sleep(seconds)
    link_fault(host, '{"delay_ms": 0}')


def cut_link(fleet, host, draw, seconds):
    """Some hosts do not reach this one; it reaches them."""
    others = draw.sample(fleet.hosts, max(1, len(fleet.hosts) // 3))
    names = ", ".join(f'"{other.address}"' for other in others)
    link_fault(host, f'{{"cut_from": [{names}]}}')
    time.sleep(seconds)
    link_fault(host, '{"cut_from": []}')


def pause_daemon(fleet, host, draw, seconds):
    host.daemon.send(signal.SIGSTOP)
    time.sleep(min(seconds, 3))
    host.daemon.send(signal.SIGCONT)


def kill_daemon(fleet, host, draw, seconds):
    host.kill_daemon()
    time.sleep(draw.uniform(0, seconds))
    host.daemon.start()


def restart_daemon(fleet, host, draw, seconds):
    """A graceful shutdown: it must end by itself with code 0."""
    end = time.monotonic() + LOADER_SECONDS
    while not host.daemon.handles(signal.SIGTERM) and time.monotonic() < end:
        time.sleep(0.005)
    code = host.daemon.end(signal.SIGTERM)
    host.daemon.start()
    if code != 0:
        return f"daemon {host.number} ended with {code} after SIGTERM"


def restart_in_turn(fleet, host, draw, seconds):
    for other in fleet.hosts[:3]:
        problem = restart_daemon(fleet, other, draw, seconds)
        if problem:
            return problem


def change_settings(fleet, host, draw, seconds):
    host.write_settings(draw.choice([0.05, 0.1, 0.2]))
    if draw.random() < 0.5:
        host.daemon.send(signal.SIGHUP)


def kill_target(fleet, host, draw, seconds):
    host.target.end()
    time.sleep(draw.uniform(0, seconds))
    host.start_target()


def pause_target(fleet, host, draw, seconds):
    host.target.send(signal.SIGSTOP)
    time.sleep(min(seconds, 3))
    host.target.send(signal.SIGCONT)


def stall_target(fleet, host, draw, seconds):
    http_call(host.address, 8000, "POST", "/control/stall", "on")
    time.sleep(min(seconds, 2))
    http_call(host.address, 8000, "POST", "/control/stall", "off")


def replace_target(fleet, host, draw, seconds):
    """The target leaves and another one starts at its address."""
    http_call(host.address, 8000, "POST", "/control/leave")
    time.sleep(seconds + 1)
    host.target.end()
    host.start_target()


def lose_store(fleet, host, draw, seconds):
    fleet.store_fault('{"outage": true}')
    time.sleep(seconds)
    fleet.store_fault('{"outage": false}')


def slow_store(fleet, host, draw, seconds):
    fleet.store_fault('{"delay_ms": 300}')
    time.sleep(seconds)
    fleet.store_fault('{"delay_ms": 0}')


def lose_store_answers(fleet, host, draw, seconds):
    fleet.store_fault('{"lose_answers": 2}')


def publish(fleet, host, draw, seconds):
    fleet.publish()


FAULTS = [silence_link, reset_link, delay_link, cut_link, pause_daemon,
          kill_daemon, restart_daemon, restart_in_turn, change_settings,
          kill_target, pause_target, stall_target, replace_target, lose_store,
          slow_store, lose_store_answers, publish, publish]

# Pairs that act on the same process wait for each other.
PARTS = {
    "daemon": (pause_daemon, kill_daemon, restart_daemon, restart_in_turn),
    "target": (kill_target, pause_target, stall_target, replace_target),
    "store": (lose_store, slow_store, lose_store_answers, publish),
}


class Schedule:
    """Starts faults at times drawn from a seed. They overlap."""

    def __init__(self, fleet, seed, seconds, gap):
        self.fleet = fleet
        self.problems = []
        self.started = []
        draw = random.Random(seed)
        self.plan = []
        at = 0.0
        while at < seconds:
            self.plan.append((at, draw.choice(FAULTS),
                              draw.randrange(len(fleet.hosts)),
                              draw.uniform(0.2, 4), draw.random()))
            at += draw.expovariate(1 / gap)
        self.locks = {}

    def lock_for(self, fault, number):
        for part, faults in PARTS.items():
            if fault in faults:
                whole = part == "store" or fault is restart_in_turn
                return self.locks.setdefault((part, None if whole else number),
                                             threading.Lock())
        return threading.Lock()

    def play(self, fault, number, seconds, seed):
        locks = [self.lock_for(fault, number)]
        if fault is restart_in_turn:
            locks = [self.lock_for(restart_daemon, host.number - 1)
                     for host in self.fleet.hosts[:3]]
        for lock in locks:
            lock.acquire()
        try:
            problem = fault(self.fleet, self.fleet.hosts[number],
                            random.Random(seed), seconds)
            if problem:
                self.problems.append(problem)
        finally:
            for lock in locks:
                lock.release()

    def run(self, stopped):
        """Plays the plan; returns when every fault is over."""
        begin = time.monotonic()
        threads = []
        for at, fault, number, seconds, seed in self.plan:
            while time.monotonic() - begin < at and not stopped():
                time.sleep(0.02)
            if stopped():
                break
            self.started.append(f"{at:7.2f} s  {fault.__name__} host "
                                f"{number + 1} for {seconds:.1f} s")
            thread = threading.Thread(
                target=self.play, args=(fault, number, seconds, seed))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
