"""Checks, beside random faults, that a published configuration is in force
everywhere in time and never goes back.

    config_soak.py --seed N --seconds S [--hosts H] [--spinners K] [--keep DIR]
"""
import argparse
import collections
import datetime
import http.client
import json
import pathlib
import sys
import tempfile
import threading
import time

from config_checks import Answer, Checks
from config_fleet import ConfigFleet, ConfigSchedule, Publisher
from fleet import Process
from platform_operator import HOST

START_SECONDS = 60

# After the last fault: until a version is in force, and until daemons answer.
IN_FORCE_SECONDS = 8
ANSWER_SECONDS = 30

PAUSE_SECONDS = 0.02
EVENTS = ("configuration_adopted", "configuration_state", "store_lost",
          "pull_failed")


class Asker(threading.Thread):
    """Asks one daemon for routes, on a kept connection and on new ones."""

    def __init__(self, host, publisher, answers):
        super().__init__(daemon=True)
        self.host = host
        self.publisher = publisher
        self.answers = answers
        self.kept = None
        self.kept_life = None
        self.ended = threading.Event()
        # Route that was served last: a daemon that stays behind serves it on.
        self.served = 0

    def run(self):
        while not self.ended.is_set():
            newest = self.publisher.newest()
            for route in {newest, newest - 2, self.served}:
                if route > 0:
                    self.ask_kept(route)
                    self.ask_new(route)
            time.sleep(PAUSE_SECONDS)

    def connect(self):
        """Returns a connection and the daemon's life that it belongs to."""
        life = self.host.daemon.process.pid
        connection = http.client.HTTPConnection(self.host.address, 8080,
                                                timeout=4)
        try:
            connection.connect()
        except OSError:
            return None, None
        if self.host.daemon.process.pid != life:
            connection.close()
            return None, None
        return connection, life

    def ask_kept(self, route):
        if self.kept is None:
            self.kept, self.kept_life = self.connect()
        if self.kept is not None and not self.ask(
                self.kept, self.kept_life, "kept", route):
            self.kept.close()
            self.kept = None

    def ask_new(self, route):
        connection, life = self.connect()
        if connection is not None:
            self.ask(connection, life, "new", route)
            connection.close()

    def ask(self, connection, life, kind, route):
        """Returns whether the connection can be used again."""
        wall = datetime.datetime.now(datetime.timezone.utc)
        sent = time.monotonic()
        try:
            connection.request("GET", f"/r{route}/", None, {"Host": HOST})
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            return False
        if answer.status == 200:
            self.served = max(route, self.served)
        elif answer.status == 404 and route == self.served:
            self.served = 0
        self.answers.append(Answer(self.host.number, life, kind, route,
                                   answer.status, sent, time.monotonic(),
                                   wall.isoformat()))
        return not answer.will_close


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--gap", type=float, default=0.5,
                        help="mean time between faults in seconds")
    parser.add_argument("--spinners", type=int, default=0,
                        help="busy processes during the whole run")
    parser.add_argument("--build", default="build")
    parser.add_argument("--net", default="127.21.1")
    parser.add_argument("--keep", help="folder that keeps the files of the run")
    return parser.parse_args()


def status_of(host, route):
    connection = http.client.HTTPConnection(host.address, 8080, timeout=2)
    try:
        connection.request("GET", f"/r{route}/", None, {"Host": HOST})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def in_force(host, version):
    return (status_of(host, version) == 200 and
            status_of(host, version - 2) == 404)


def wait_in_force(fleet, version):
    """Returns what is wrong with the fleet after the last fault."""
    began = time.monotonic()
    waiting = list(fleet.hosts)
    late = []
    while waiting and time.monotonic() - began < ANSWER_SECONDS:
        waiting = [host for host in waiting if not in_force(host, version)]
        if not late and time.monotonic() - began > IN_FORCE_SECONDS:
            late = [
                f"host {host.number}: version {version} is not in force "
                f"{IN_FORCE_SECONDS} s after the last fault"
                for host in waiting
                if 404 == status_of(host, version) or
                200 == status_of(host, version - 2)]
        time.sleep(0.05)
    return late + [f"host {host.number}: does not serve version {version} "
                   f"{ANSWER_SECONDS} s after the last fault"
                   for host in waiting]


def run_soak(fleet, arguments):
    """Returns the violations, further problems, a summary and the plan."""
    publisher = fleet.publisher = Publisher(fleet.store, arguments.seed)
    fleet.wait_store()
    publisher.start()
    if missing := fleet.wait_ready(5, START_SECONDS):
        return [], [f"the fleet did not start: {missing}"], {}, []
    if fleet.ended():
        return [], [f"ended at the start, is {fleet.net} in use? "
                    f"{fleet.ended()}"], {}, []
    answers = []
    askers = [Asker(host, publisher, answers) for host in fleet.hosts]
    for asker in askers:
        asker.start()
    schedule = ConfigSchedule(fleet, arguments.seed, arguments.seconds,
                              arguments.gap)
    began = time.monotonic()
    schedule.run(lambda: False)
    problems = list(schedule.problems)
    publisher.ended.set()
    publisher.join(10)
    publisher.ended.clear()
    publisher.version += 1
    if not publisher.write():
        problems.append("the last version was not acknowledged")
    problems += wait_in_force(fleet, publisher.version)
    for asker in askers:
        asker.ended.set()
    for asker in askers:
        asker.join(10)
    checks = Checks(publisher.attempted, publisher.acknowledged,
                    schedule.disturbances)
    violations = checks.run(answers)
    plan = [f"{item.began - began:7.2f} to {item.ended - began:7.2f} s  "
            f"{item.fault.__name__} hosts {sorted(item.hosts)}"
            for item in schedule.disturbances]
    statuses = collections.Counter(answer.status for answer in answers)
    summary = {"seed": arguments.seed, "hosts": arguments.hosts,
               "versions": len(publisher.acknowledged),
               "faults": len(plan), "answers": len(answers),
               "in_touch": checks.in_touch,
               **{str(status): statuses[status] for status in
                  sorted(statuses)}}
    if not statuses[200] or not statuses[404] or not checks.in_touch:
        problems.append("no version was seen in force")
    for violation in violations:
        violation.text = (f"at {violation.answer.sent - began:.3f} s "
                          f"{violation.text}")
    return violations, problems, summary, plan


def log_lines(path, until):
    """Returns a log's last lines of some events before a time."""
    lines = [line.strip() for line in
             path.read_text(errors="replace").splitlines()
             if any(f'"{event}"' in line for event in EVENTS)]
    before = []
    for line in lines:
        try:
            if json.loads(line).get("time", "")[:19] <= until[:19]:
                before.append(line)
        except ValueError:
            pass
    return before[-8:]


def report(arguments, work, violations, problems, plan):
    for problem in problems:
        print(f"BROKEN (seed {arguments.seed}): {problem}")
    first_of_host = {}
    for violation in violations:
        first_of_host.setdefault(violation.answer.host, violation)
    for host, violation in first_of_host.items():
        answer = violation.answer
        print(f"BROKEN (seed {arguments.seed}): host {host}, "
              f"{answer.connection} connection, GET /r{answer.route}/ -> "
              f"{answer.status} {violation.text} ({answer.wall})")
        for line in log_lines(work / f"daemon-{host}.log", answer.wall):
            print("  " + line)
    if violations:
        print(f"{len(violations)} violations on {len(first_of_host)} hosts")
    if violations or problems:
        print("\n".join(plan))


def main():
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory() as folder:
        work = pathlib.Path(arguments.keep or folder)
        work.mkdir(parents=True, exist_ok=True)
        fleet = ConfigFleet(arguments.build, work, arguments.net,
                            arguments.hosts)
        spinners = [Process(work / "spinner.log",
                            [sys.executable, "-c", "while True: pass"])
                    for _ in range(arguments.spinners)]
        try:
            violations, problems, summary, plan = run_soak(fleet, arguments)
        finally:
            for spinner in spinners:
                spinner.end()
            fleet.stop()
        (work / "plan.txt").write_text("\n".join(plan) + "\n")
        print(json.dumps(summary))
        report(arguments, work, violations, problems, plan)
    return 1 if violations or problems else 0


if __name__ == "__main__":
    sys.exit(main())
