"""Sends a request that crashes each target that runs it, again and again and
through all daemons, and counts how many targets crash.

    crashing_request.py SCENARIO [--method M] [--build B] [--net N] [--keep D]

At most three more targets may crash for each request once the third has crashed and the fleet
was given SETTLING_SECONDS to act on it. Targets that crash in the settling
time after a restart of a daemon are not counted.
"""
import argparse
import http.client
import pathlib
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "soak"))
from callers import ANSWERED, Caller  # noqa: E402
from faults import set_link_faults  # noqa: E402
from fleet import HOST_HEADER, Fleet  # noqa: E402

HOSTS = 6
CRASH_EXIT_CODE = 1
TARGET_DOWN_SECONDS = 1.0
REPEAT_SECONDS = 0.25
SETTLING_SECONDS = 3.0
RESTARTS = 2
REPEATED_SECONDS = 5
RESTART_GAP_SECONDS = 0.7
MAX_LATE_CRASHES = 3
START_SECONDS = 60

# Share of the calls that must be answered at the end.
MIN_ANSWERED = 0.5


class Supervisor(threading.Thread):
    """Starts targets again after they have crashed, and notes the crashes."""

    def __init__(self, fleet, stop):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stop = stop
        self.crashes = []

    def run(self):
        down = {}
        while not self.stop.is_set():
            now = time.monotonic()
            for host in self.fleet.hosts:
                if host.number in down:
                    if now >= down[host.number]:
                        del down[host.number]
                        host.start_target()
                elif host.target.process.poll() == CRASH_EXIT_CODE:
                    self.crashes.append((now, host.number))
                    down[host.number] = now + TARGET_DOWN_SECONDS
            time.sleep(0.02)


class Repeater(threading.Thread):
    """Sends the request to one daemon after the other."""

    def __init__(self, fleet, method, requests, stop):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.method = method
        self.requests = requests
        self.request = 0
        self.stop = stop
        self.paused = threading.Event()
        self.answers = []

    def run(self):
        turn = 0
        while not self.stop.is_set():
            turn += 1
            self.request = turn % self.requests
            if not self.paused.is_set():
                host = self.fleet.hosts[turn * 5 % len(self.fleet.hosts)]
                self.answers.append(
                    (time.monotonic(), host.number, self.send(host, turn)))
            time.sleep(REPEAT_SECONDS)

    def send(self, host, number):
        connection = http.client.HTTPConnection(host.address, 8080, timeout=5)
        try:
            post = self.method == "POST"
            body = f"poison {self.request}" if post else None
            path = "/order" if post else f"/poison/{self.request}"
            connection.request(self.method, path, body,
                               {"Host": HOST_HEADER, "X-Call-Id": str(number)})
            answer = connection.getresponse()
            answer.read()
            return f"{answer.status} {answer.getheader('Baobab-Outcome')}"
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__
        finally:
            connection.close()


def restart(fleet, repeater, gap, power_loss=False):
    """Restarts all daemons, `gap` seconds apart, and with a loss of power their
    targets too. The request is not sent until they have settled, so that crashes
    show what they still know."""
    for _ in range(RESTARTS):
        repeater.paused.set()
        if power_loss:
            # Targets that crashed are running again by then.
            time.sleep(2 * TARGET_DOWN_SECONDS)
        for host in fleet.hosts:
            host.kill_daemon()
            if power_loss:
                host.target.end(signal.SIGKILL)
            if gap > 0:
                host.daemon.start()
                time.sleep(gap)
        for host in fleet.hosts:
            if gap == 0:
                host.daemon.start()
            if power_loss:
                host.start_target()
        time.sleep(SETTLING_SECONDS)
        repeater.paused.clear()
        time.sleep(REPEATED_SECONDS)


def disrupt(fleet):
    """Cuts off one daemon, freezes another and resets links, while the requests
    are sent."""
    others = ", ".join(f'"{host.address}"' for host in fleet.hosts[1:])
    set_link_faults(fleet.hosts[0], f'{{"cut_from": [{others}]}}')
    fleet.hosts[1].daemon.send(signal.SIGSTOP)
    time.sleep(REPEATED_SECONDS)
    set_link_faults(fleet.hosts[0], '{"cut_from": []}')
    fleet.hosts[1].daemon.send(signal.SIGCONT)
    for host in fleet.hosts:
        set_link_faults(host, '{"reset": true}')


def answered_share(results, since):
    late = [result for result in results if result.began > since]
    if not late:
        return 0
    return sum(result.outcome == ANSWERED for result in late) / len(late)


def wait_for_crashes(supervisor, count, seconds):
    end = time.monotonic() + seconds
    while len(supervisor.crashes) < count and time.monotonic() < end:
        time.sleep(0.05)


def run(fleet, arguments):
    """Returns the problems found and the times of all crashes."""
    if not fleet.publish():
        return ["the configuration was not published"], []
    if missing := fleet.wait_ready(1, START_SECONDS):
        return [f"the fleet did not start: {missing}"], []
    stop = threading.Event()
    results = []
    callers = [Caller(number, 1, host, 0.02, results, stop.is_set)
               for host in fleet.hosts
               for number in (host.number * 2, host.number * 2 + 1)]
    supervisor = Supervisor(fleet, stop)
    repeater = Repeater(fleet, arguments.method, arguments.requests, stop)
    began = time.monotonic()
    for thread in [supervisor, *callers]:
        thread.start()
    time.sleep(1)
    if arguments.scenario == "store_outage":
        fleet.set_store_faults('{"outage": true}')
    repeater.start()
    wait_for_crashes(supervisor, 3 * arguments.requests, 15)
    third = time.monotonic()
    time.sleep(SETTLING_SECONDS)
    if arguments.scenario == "store_outage":
        fleet.set_store_faults('{"outage": false}')
        time.sleep(SETTLING_SECONDS)
    if arguments.scenario == "disrupted":
        disrupt(fleet)
    if arguments.scenario != "calm":
        restart(fleet, repeater, RESTART_GAP_SECONDS
                if arguments.scenario == "restart_each" else 0,
                arguments.scenario == "power_loss")
    time.sleep(REPEATED_SECONDS)
    ended = time.monotonic()
    stop.set()
    for thread in [supervisor, repeater, *callers]:
        thread.join(15)
    restarts = [at for host in fleet.hosts for at in host.killed_at]
    late = [(round(at - began, 2), number)
            for at, number in supervisor.crashes
            if at > third + SETTLING_SECONDS and
            not any(0 <= at - restart < SETTLING_SECONDS
                    for restart in restarts)]
    problems = []
    if len(late) > MAX_LATE_CRASHES * arguments.requests:
        problems.append(f"{len(late)} targets crashed late: {late}")
    share = answered_share(results, ended - REPEATED_SECONDS)
    if share < MIN_ANSWERED:
        problems.append(f"only {share:.2f} of the calls were answered at the end")
    print(f"{len(supervisor.crashes)} crashes, {len(late)} of them late; "
          f"{share:.2f} answered at the end")
    timeline = [(at, f"target {number} crashed")
                for at, number in supervisor.crashes]
    timeline += [(at, f"daemon {host.number} restarted")
                 for host in fleet.hosts for at in host.killed_at]
    timeline += [(at, f"daemon {number} answered {answer}")
                 for at, number, answer in repeater.answers]
    return problems, [f"{at - began:7.2f} {text}"
                      for at, text in sorted(timeline)]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario",
                        choices=["calm", "restart_each", "restart_all",
                                 "store_outage", "disrupted",
                                 "power_loss"])
    parser.add_argument("--requests", type=int, default=1,
                        help="number of different requests that crash targets")
    parser.add_argument("--method", default="POST", choices=["GET", "POST"])
    parser.add_argument("--build", default="build")
    parser.add_argument("--net", default="127.20.30")
    parser.add_argument("--keep", help="folder that keeps the files of the run")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        work = pathlib.Path(arguments.keep or folder)
        work.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(arguments.build, work, arguments.net, HOSTS)
        try:
            problems, timeline = run(fleet, arguments)
        finally:
            fleet.stop()
    if problems or arguments.keep:
        print("\n".join(timeline))
    for problem in problems:
        print(f"FAILED: {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
