"""Plays faults on a fleet of real processes and checks its promises meanwhile.

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
from promises import Records, broken_promises

# Callers for each host, and the mean pause between their calls in seconds.
CALLERS = 2
PAUSE = 0.05

# Time in which the fleet must be whole again after the last fault.
HEAL_SECONDS = 90


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--gap", type=float, default=0.7,
                        help="mean time between faults")
    parser.add_argument("--build", default="build")
    parser.add_argument("--net", default="127.21.0")
    parser.add_argument("--keep", help="folder for the logs of a failed run")
    return parser.parse_args()


def play(fleet, arguments):
    """Returns the problems that were seen, and a summary."""
    if not fleet.publish():
        return ["the first configuration was not published"], {}
    if missing := fleet.wait_whole(1, HEAL_SECONDS):
        return [f"the fleet did not start: {missing}"], {}
    stop = threading.Event()
    results = []
    callers = [Caller(number, arguments.seed,
                      fleet.hosts[number % len(fleet.hosts)], PAUSE, results,
                      stop.is_set)
               for number in range(CALLERS * len(fleet.hosts))]
    schedule = Schedule(fleet, arguments.seed, arguments.seconds,
                        arguments.gap)
    records = Records(fleet.work)
    broken = []
    player = threading.Thread(
        target=schedule.run, args=(lambda: bool(broken),))
    for thread in [*callers, player]:
        thread.start()
    while player.is_alive() and not broken:
        time.sleep(1)
        records.read()
        broken = broken_promises(list(results), records)
    player.join()
    healed = heal(fleet) if not broken else []
    stop.set()
    for caller in callers:
        caller.join(15)
    time.sleep(1)
    records.read()
    views = collections.Counter(result.view for result in results)
    problems = (broken_promises(results, records) + schedule.problems + healed)
    if views[ANSWERED] == 0:
        problems.append("no call was answered")
    return problems, {"seed": arguments.seed, "faults": len(schedule.started),
                      "plan": schedule.started, **views}


def heal(fleet):
    """Ends what lasts, publishes once more and waits for the whole fleet."""
    fleet.store_fault('{"outage": false, "delay_ms": 0, "lose_answers": 0}')
    if not fleet.publish():
        return ["the last configuration was not published"]
    return fleet.wait_whole(fleet.hosts[0].metric("generation") or 1,
                            HEAL_SECONDS)


def main():
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory() as folder:
        work = pathlib.Path(arguments.keep or folder)
        work.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(arguments.build, work, arguments.net, arguments.hosts)
        try:
            problems, summary = play(fleet, arguments)
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
