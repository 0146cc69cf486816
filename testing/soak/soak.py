"""Injects random faults into a fleet of real processes and checks the
guarantees to callers meanwhile.

    soak.py --seed N --seconds S [--hosts H] [--gap G] [--keep DIR]
"""
import argparse
import collections
import json
import pathlib
import sys
import tempfile
import threading
import time

from callers import ANSWERED, Caller
from faults import Schedule
from fleet import Fleet
from guarantees import RunRecords, find_violations

CALLERS_PER_HOST = 2

# Mean pause of a caller between two calls.
MEAN_PAUSE_SECONDS = 0.05

# Time in which the fleet must recover after the last fault.
RECOVERY_SECONDS = 90


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--gap", type=float, default=0.7,
                        help="mean time between faults in seconds")
    parser.add_argument("--build", default="build")
    parser.add_argument("--net", default="127.21.0")
    parser.add_argument("--keep", help="folder that keeps the files of the run")
    return parser.parse_args()


def run_soak(fleet, arguments):
    """Runs callers and faults. Returns the problems found and a summary."""
    if not fleet.publish():
        return ["the first configuration was not published"], {}
    if missing := fleet.wait_ready(1, RECOVERY_SECONDS):
        return [f"the fleet did not start: {missing}"], {}
    stop = threading.Event()
    results = []
    callers = [Caller(number, arguments.seed,
                      fleet.hosts[number % len(fleet.hosts)],
                      MEAN_PAUSE_SECONDS, results, stop.is_set)
               for number in range(CALLERS_PER_HOST * len(fleet.hosts))]
    schedule = Schedule(fleet, arguments.seed, arguments.seconds,
                        arguments.gap)
    records = RunRecords(fleet.work)
    violations = []
    fault_thread = threading.Thread(
        target=schedule.run, args=(lambda: bool(violations),))
    for thread in [*callers, fault_thread]:
        thread.start()
    while fault_thread.is_alive() and not violations:
        time.sleep(1)
        records.read()
        violations = find_violations(list(results), records)
    fault_thread.join()
    not_recovered = recover(fleet) if not violations else []
    stop.set()
    for caller in callers:
        caller.join(15)
    time.sleep(1)
    records.read()
    outcomes = collections.Counter(result.outcome for result in results)
    problems = (find_violations(results, records) + schedule.problems +
                not_recovered)
    if outcomes[ANSWERED] == 0:
        problems.append("no call was answered")
    return problems, {"seed": arguments.seed, "faults": len(schedule.started),
                      "plan": schedule.started, **outcomes}


def recover(fleet):
    """Ends the faults of the store, publishes once more and waits until the
    fleet has recovered. Returns what has not."""
    fleet.set_store_faults(
        '{"outage": false, "delay_ms": 0, "lose_answers": 0}')
    if not fleet.publish():
        return ["the last configuration was not published"]
    return fleet.wait_ready(fleet.hosts[0].metric("generation") or 1,
                            RECOVERY_SECONDS)


def main():
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory() as folder:
        work = pathlib.Path(arguments.keep or folder)
        work.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(arguments.build, work, arguments.net, arguments.hosts)
        try:
            problems, summary = run_soak(fleet, arguments)
        finally:
            fleet.stop()
    plan = summary.pop("plan", [])
    print(json.dumps(summary))
    for problem in problems[:20]:
        print(f"BROKEN (seed {arguments.seed}): {problem}")
    if problems:
        print("\n".join(plan))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
