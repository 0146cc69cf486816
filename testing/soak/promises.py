"""Compares what callers were told with what targets ran, during the run."""
import collections

from callers import ANSWERED, CUT, NOT_RUN, WRONG

# Time in which a target that leaves may still get new work, in milliseconds.
LEAVE_GRACE_MS = 5000

# Time before a kill in which a connection may be cut by it, in seconds.
KILL_SLACK = 12


class Records:
    """The lines that targets write before they run a request."""

    def __init__(self, work):
        self.work = work
        self.places = {}
        self.runs = collections.defaultdict(list)
        self.left = {}
        self.late = []

    def read(self):
        for path in self.work.glob("record-*"):
            with open(path, encoding="utf-8") as file:
                file.seek(self.places.get(path, 0))
                text = file.read()
                whole = text.rfind("\n") + 1
                self.places[path] = self.places.get(path, 0) + len(
                    text[:whole].encode())
            for line in text[:whole].splitlines():
                self.take(path.name, line.split())

    def take(self, record, words):
        call, _, at = words
        if call == "#leave":
            self.left[record] = int(at)
            return
        self.runs[call].append(record)
        if int(at) > self.left.get(record, int(at)) + LEAVE_GRACE_MS:
            self.late.append(f"{call} ran on {record} after it left")


def cut_by_kill(result):
    """True if the daemon was killed while the call was on its way."""
    return any(result.began - KILL_SLACK < at < result.ended + KILL_SLACK
               for at in result.host.killed_at)


def broken_promises(results, records):
    """Returns a line for each promise that is broken so far."""
    problems = list(records.late)
    for result in results:
        runs = len(records.runs.get(result.call, []))
        if not result.idempotent and runs > 1:
            problems.append(f"{result.call} ran {runs} times")
        if result.view == NOT_RUN and runs > 0:
            problems.append(f"{result.call} ran, its caller was told that it "
                            f"did not: {result.detail}")
        if result.view == ANSWERED and runs == 0:
            problems.append(f"{result.call} was answered and never ran")
        if result.view == WRONG:
            problems.append(f"{result.call} got another answer: "
                            f"{result.detail}")
        if result.view == CUT and runs > 0 and not cut_by_kill(result):
            problems.append(f"{result.call} ran and its connection was cut: "
                            f"{result.detail}")
    return problems
